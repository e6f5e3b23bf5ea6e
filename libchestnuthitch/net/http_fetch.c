/* Whole answers gathered in memory, for calls to the platform. */

#include "net/net.h"

#include <stdio.h>
#include <strings.h>

struct fetch {
    GString *body;
    char *etag;
    size_t most_bytes;
    bool too_large;
    void (*done)(void *data, const struct ch_http_answer *answer);
    void *data;
};

/* Keeps the one header that callers of a fetch look at. */
static void
fetch_header(void *data, const char *name, const char *value)
{
    struct fetch *fetch = data;
    if (strcasecmp(name, "ETag") == 0) {
        g_free(fetch->etag);
        fetch->etag = g_strdup(value);
    }
}

/* Gathers bytes up to the bound.  What is over it is dropped: the answer then
 * ends as malformed, and never as a whole one. */
static void
fetch_data(void *data, const char *bytes, size_t length)
{
    struct fetch *fetch = data;
    if (fetch->too_large || length > fetch->most_bytes - fetch->body->len) {
        fetch->too_large = true;
        return;
    }
    g_string_append_len(fetch->body, bytes, (gssize)length);
}

/* Tells the answer and frees the fetch. */
static void
fetch_end(void *data, const struct ch_http_end *end)
{
    struct fetch *fetch = data;
    struct ch_http_answer answer = {
        .end = *end,
        .body = fetch->body->str,
        .length = fetch->body->len,
        .etag = fetch->etag,
    };
    if (fetch->too_large && end->code == CH_OK) {
        answer.end.code = CH_UPSTREAM_ANSWER;
        (void)snprintf(answer.end.message, sizeof(answer.end.message),
                       "the answer is over %zu bytes", fetch->most_bytes);
    }
    fetch->done(fetch->data, &answer);
    g_string_free(fetch->body, TRUE);
    g_free(fetch->etag);
    g_free(fetch);
}

/* As ch_http_submit(), with the answer of most_bytes at most in one piece. */
uint64_t
ch_http_fetch(struct ch_http *http, const struct ch_http_request *request,
              size_t most_bytes,
              void (*done)(void *data, const struct ch_http_answer *answer),
              void *data)
{
    static const struct ch_http_handlers handlers = {
        .on_header = fetch_header,
        .on_data = fetch_data,
        .on_end = fetch_end,
    };
    struct fetch *fetch = g_new0(struct fetch, 1);
    fetch->body = g_string_new(NULL);
    fetch->most_bytes = most_bytes;
    fetch->done = done;
    fetch->data = data;
    return ch_http_submit(http, request, &handlers, fetch);
}
