#include "base/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_BUFFER_COUNT 5

bool
Address_Parse(const char *text, Address *address)
{
    char host[ADDRESS_TEXT_SIZE];
    const char *colon = strchr(text, ':');
    struct in_addr ip;
    char *end;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 1 || port > 65535) {
        return false;
    }
    if (inet_pton(AF_INET, host, &ip) != 1) {
        return false;
    }
    *address = (Address)ntohl(ip.s_addr) << 16 | (Address)port;
    return true;
}

void
Address_Format(Address address, char text[ADDRESS_TEXT_SIZE])
{
    snprintf(text, ADDRESS_TEXT_SIZE, "%u.%u.%u.%u:%u",
             (unsigned)(address >> 40 & 255), (unsigned)(address >> 32 & 255),
             (unsigned)(address >> 24 & 255), (unsigned)(address >> 16 & 255),
             (unsigned)(address & 65535));
}

const char *
Address_Text(Address address)
{
    static char buffers[TEXT_BUFFER_COUNT][ADDRESS_TEXT_SIZE];
    static int next;

    next = (next + 1) % TEXT_BUFFER_COUNT;
    Address_Format(address, buffers[next]);
    return buffers[next];
}

struct sockaddr_in
Address_ToSocket(Address address)
{
    struct sockaddr_in socket_address;

    memset(&socket_address, 0, sizeof(socket_address));
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
    socket_address.sin_port = htons((uint16_t)address);
    return socket_address;
}
