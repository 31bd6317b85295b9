/**
 * @file address.h
 * @brief IPv4 address and port as one integer, with conversions to text and
 * socket addresses.
 */
#ifndef LC_BASE_ADDRESS_H
#define LC_BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Bytes that hold any text form; the longest is "255.255.255.255:65535" with
 * its NUL. */
#define ADDRESS_TEXT_SIZE 24

/** IPv4 address in bits 16 to 47, port in bits 0 to 15; 0 means no address. */
typedef uint64_t Address;

/** Parses "IP:port"; false if either is malformed or the port is 0. */
bool Address_Parse(const char *text, Address *address);

/** Writes "IP:port" into @p text. */
void Address_Format(Address address, char text[ADDRESS_TEXT_SIZE]);

/** Converts to the socket address that system calls take. */
struct sockaddr_in Address_ToSocket(Address address);

/** Text form in a static buffer, which is reused by the fifth call after this
 * one. */
const char *Address_Text(Address address);

#endif
