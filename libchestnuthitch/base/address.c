/* Addresses such as "192.0.2.1:80". */

#include "base/base.h"

#include <arpa/inet.h>
#include <string.h>

/* Parses an IPv4 number and a port from 0 to 65535 (0: the kernel chooses).
 * Host names are refused: nodes use IP numbers, so that no resolver can delay
 * or misdirect them. */
bool
ch_address_parse(const char *text, struct sockaddr_in *address,
                 struct ch_error *error)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN] = "";
    struct in_addr number;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        ch_error_set(error, CH_BAD_VALUE, "'%s' is not ip:port", text);
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    guint64 port = 0;
    if (inet_pton(AF_INET, host, &number) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL)) {
        ch_error_set(error, CH_BAD_VALUE, "'%s' is not ip:port", text);
        return false;
    }
    *address = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)port),
        .sin_addr = number,
    };
    return true;
}

/* Whether ch_address_parse() accepts the text. */
bool
ch_address_check(const char *text, struct ch_error *error)
{
    struct sockaddr_in address;
    return ch_address_parse(text, &address, error);
}

/* See base.h. */
bool
ch_address_check_remote(const char *text, struct ch_error *error)
{
    struct sockaddr_in address;
    if (!ch_address_parse(text, &address, error)) {
        return false;
    }
    if (address.sin_port == 0 || address.sin_addr.s_addr == INADDR_ANY) {
        ch_error_set(error, CH_BAD_VALUE, "nothing can be sent to '%s'", text);
        return false;
    }
    return true;
}
