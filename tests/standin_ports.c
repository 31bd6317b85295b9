/* Prints N distinct TCP ports that are free on loopback at the time. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

int
main(int argc, char **argv)
{
    int count = argc == 2 ? atoi(argv[1]) : 0;
    int i;

    for (i = 0; i < count; i++) {
        struct sockaddr_in local;
        socklen_t length = sizeof(local);
        int fd = socket(AF_INET, SOCK_STREAM, 0);

        memset(&local, 0, sizeof(local));
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(fd, (struct sockaddr *)&local, length) != 0 ||
            getsockname(fd, (struct sockaddr *)&local, &length) != 0) {
            perror("standin_ports");
            return 1;
        }
        printf("%d\n", ntohs(local.sin_port));
        /* The socket stays open until exit, so that no port is printed twice.
         */
    }
    return 0;
}
