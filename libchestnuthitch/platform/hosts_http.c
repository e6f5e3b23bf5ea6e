/* Fetches the host list over HTTP. */

#include "platform/platform.h"

enum {
    /* About 300 bytes for each of some ten thousand hosts. */
    MAX_LIST_BYTES = 4 * 1024 * 1024,
};

struct host_source_http {
    struct ch_host_source hosts;
    struct ch_client *client;
    struct ch_http *http;
    char *url;
    int64_t call_limit;
    char *etag; /* of the last list passed on; NULL: none */
};

struct fetch_call {
    struct host_source_http *owner;
    void (*done)(void *data, enum ch_code code, struct ch_host_list *list);
    void *data;
};

/* Parses the response and passes the list to the callback.  The ETag of an
 * unreadable list is not stored, so that the next fetch returns the whole list
 * again. */
static void
handle_list(void *data, const struct ch_http_response *response)
{
    struct fetch_call *call = data;
    struct host_source_http *owner = call->owner;
    struct ch_error error = {0};
    struct ch_host_list *list = NULL;
    bool complete = response->result.code == CH_OK;
    bool unchanged =
        complete && response->result.status == 304 && owner->etag != NULL;
    if (complete && response->result.status == 200) {
        list =
            ch_host_list_parse(response->body, response->body_length, &error);
        g_free(owner->etag);
        owner->etag = list != NULL ? g_strdup(response->etag) : NULL;
    }
    if (error.code != CH_OK) {
        ch_log(call->owner->client, CH_LOG_WARNING, "host-list-damaged",
               CH_F_STR("code", ch_code_get_name(error.code)),
               CH_F_STR("message", error.message), CH_F_END);
    }
    bool succeeded = list != NULL || unchanged;
    call->done(call->data, succeeded ? CH_OK : CH_LIST_UNREACHABLE, list);
    g_free(call);
}

/*
 * Fetches the list once; see struct ch_host_source_ops.  With 320 entry hosts
 * and 1,900 upstreams the list is some 380 KB but changes only every few
 * minutes.  If-None-Match saves each poll from transferring and parsing an
 * unchanged list: the response is then a 304 without a body.
 */
static void
host_source_http_fetch(struct ch_host_source *hosts,
                       void (*done)(void *data, enum ch_code code,
                                    struct ch_host_list *list),
                       void *data)
{
    struct host_source_http *owner = (struct host_source_http *)hosts;
    struct fetch_call *call = g_new0(struct fetch_call, 1);
    call->owner = owner;
    call->done = done;
    call->data = data;
    const struct ch_http_header if_none_match = {"If-None-Match", owner->etag};
    const struct ch_http_request request = {
        .method = "GET",
        .url = owner->url,
        .headers = &if_none_match,
        .header_count = owner->etag != NULL ? 1 : 0,
        .connect_timeout = owner->call_limit,
        .first_byte_timeout = owner->call_limit,
        .stall_timeout = owner->call_limit,
        .total_timeout = owner->call_limit,
    };
    ch_http_fetch(owner->http, &request, MAX_LIST_BYTES, handle_list, call);
}

/* Must run only after the HTTP loop has ended the client's calls. */
static void
host_source_http_free(struct ch_host_source *hosts)
{
    struct host_source_http *owner = (struct host_source_http *)hosts;
    g_free(owner->url);
    g_free(owner->etag);
    g_free(owner);
}

/* Creates a client of the list at address ("ip:port").  client and http must
 * outlive it.  call_limit, in microseconds, limits each fetch. */
struct ch_host_source *
ch_host_source_http_new(struct ch_client *client, struct ch_http *http,
                        const char *address, int64_t call_limit)
{
    static const struct ch_host_source_ops ops = {
        .fetch = host_source_http_fetch,
        .free = host_source_http_free,
    };
    struct host_source_http *owner = g_new0(struct host_source_http, 1);
    owner->hosts.ops = &ops;
    owner->client = client;
    owner->http = http;
    owner->url = g_strdup_printf("http://%s/v1/hosts", address);
    owner->call_limit = call_limit;
    return &owner->hosts;
}
