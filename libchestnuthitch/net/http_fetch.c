/* Collects complete responses in memory, for calls to the platform, and opens
 * connections without a call. */

#include "net/net.h"

#include <stdio.h>
#include <strings.h>

struct fetch {
    GString *body;
    char *etag;
    const char *const *kept_names; /* NULL: none */
    GArray *kept;                  /* struct ch_http_header */
    size_t max_bytes;
    bool too_large;
    void (*done)(void *data, const struct ch_http_response *answer);
    void *data;
};

/* See net.h. */
void
ch_http_append_value(char **values, const char *value)
{
    char *joined = *values == NULL ? g_strdup(value)
                                   : g_strconcat(*values, ",", value, NULL);
    g_free(*values);
    *values = joined;
}

/* Stores the headers that users of a fetch need. */
static void
fetch_header(void *data, const char *name, const char *value)
{
    struct fetch *fetch = data;
    if (strcasecmp(name, "ETag") == 0) {
        g_free(fetch->etag);
        fetch->etag = g_strdup(value);
    }
    const char *const *kept = fetch->kept_names;
    for (; kept != NULL && *kept != NULL; kept++) {
        if (strcasecmp(name, *kept) == 0) {
            ch_http_headers_add(fetch->kept, name, value);
        }
    }
}

/*
 * Collects the body up to the limit. Bytes over it are dropped, and the
 * response ends as malformed, never as complete.
 */
static void
fetch_data(void *data, const char *bytes, size_t length)
{
    struct fetch *fetch = data;
    if (fetch->too_large || length > fetch->max_bytes - fetch->body->len) {
        fetch->too_large = true;
        return;
    }
    g_string_append_len(fetch->body, bytes, (gssize)length);
}

/* Reports the response and frees the fetch. */
static void
fetch_end(void *data, const struct ch_http_result *result)
{
    struct fetch *fetch = data;
    struct ch_http_response response = {
        .result = *result,
        .body = fetch->body->str,
        .body_length = fetch->body->len,
        .etag = fetch->etag,
        .kept_headers =
            (const struct ch_http_header *)(void *)fetch->kept->data,
        .kept_header_count = result->head_complete ? fetch->kept->len : 0,
    };
    if (fetch->too_large && result->code == CH_OK) {
        response.result.code = CH_UPSTREAM_ANSWER;
        (void)snprintf(response.result.message,
                       sizeof(response.result.message),
                       "the response is over %zu bytes", fetch->max_bytes);
    }
    fetch->done(fetch->data, &response);
    g_string_free(fetch->body, TRUE);
    g_free(fetch->etag);
    g_array_free(fetch->kept, TRUE);
    g_free(fetch);
}

uint64_t
ch_http_fetch(struct ch_http *http, const struct ch_http_request *request,
              size_t max_bytes,
              void (*done)(void *data,
                           const struct ch_http_response *response),
              void *data)
{
    static const struct ch_http_handlers handlers = {
        .on_header = fetch_header,
        .on_data = fetch_data,
        .on_end = fetch_end,
    };
    struct fetch *fetch = g_new0(struct fetch, 1);
    fetch->body = g_string_new(NULL);
    fetch->kept_names = request->kept_headers;
    fetch->kept = ch_http_headers_new();
    fetch->max_bytes = max_bytes;
    fetch->done = done;
    fetch->data = data;
    return ch_http_submit(http, request, &handlers, fetch);
}

/* See net.h. */
void
ch_http_probe(struct ch_http *http, const char *address, int64_t timeout,
              void (*on_end)(void *data, const struct ch_http_result *result),
              void *data)
{
    const struct ch_http_handlers handlers = {.on_end = on_end};
    g_autofree char *url = g_strdup_printf("http://%s/", address);
    const struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_timeout = timeout,
        .total_timeout = timeout,
        .connect_only = true,
    };
    ch_http_submit(http, &request, &handlers, data);
}
