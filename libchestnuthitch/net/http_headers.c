/* Headers, and which of them apply to one connection only. */

#include "net/net.h"

#include <strings.h>

static void
clear_header(void *data)
{
    struct ch_http_header *header = data;
    g_free((char *)header->name);
    g_free((char *)header->value);
}

/* See net.h. */
GArray *
ch_http_headers_new(void)
{
    GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    g_array_set_clear_func(headers, clear_header);
    return headers;
}

/* See net.h. */
void
ch_http_headers_add(GArray *headers, const char *name, const char *value)
{
    const struct ch_http_header header = {g_strdup(name), g_strdup(value)};
    g_array_append_val(headers, header);
}

/* See net.h. */
bool
ch_http_is_hop_header(const char *name)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}
