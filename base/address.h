/**
 * @file address.h
 * @brief IPv4 addresses with a port, as one number and as text.
 */
#ifndef LC_BASE_ADDRESS_H
#define LC_BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Longest text form, "255.255.255.255:65535", with its NUL. */
#define ADDRESS_TEXT_SIZE 24

/** IP number in bits 16 to 47, port in bits 0 to 15; 0 is none. */
typedef uint64_t Address;

/** Parses "IP:port"; false if either is malformed or the port is 0. */
bool Address_Parse(const char *text, Address *address);

/** Writes the text form. */
void Address_Format(Address address, char text[ADDRESS_TEXT_SIZE]);

/** Socket address for the system's calls. */
struct sockaddr_in Address_ToSocket(Address address);

/** Text form in a buffer that the next four calls leave intact. */
const char *Address_Text(Address address);

#endif
