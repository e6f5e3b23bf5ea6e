/* The host list over HTTP. */

#include "platform/platform.h"

enum {
    /* About 300 bytes a host, for some ten thousand hosts. */
    MOST_LIST = 4 * 1024 * 1024,
};

struct hosts_http {
    struct ch_hosts hosts;
    struct ch_client *client;
    struct ch_http *http;
    char *url;
    int64_t call_limit;
    char *etag; /* of the list that was given out last; NULL: none came */
};

struct hosts_call {
    struct hosts_http *owner;
    void (*done)(void *data, enum ch_code code, struct ch_host_list *list);
    void *data;
};

/* Parses the answer and gives the list to the caller.  The ETag of a list that
 * could not be read is not kept: the next fetch is to bring it whole again. */
static void
list_fetched(void *data, const struct ch_http_answer *answer)
{
    struct hosts_call *call = data;
    struct hosts_http *owner = call->owner;
    struct ch_error error = {0};
    struct ch_host_list *list = NULL;
    bool whole = answer->end.code == CH_OK;
    bool unchanged = whole && answer->end.status == 304 && owner->etag != NULL;
    if (whole && answer->end.status == 200) {
        list = ch_host_list_parse(answer->body, answer->length, &error);
        g_free(owner->etag);
        owner->etag = list != NULL ? g_strdup(answer->etag) : NULL;
    }
    if (error.code != CH_OK) {
        ch_log(call->owner->client, CH_LOG_WARNING, "host-list-damaged",
               CH_F_STR("code", ch_code_name(error.code)),
               CH_F_STR("message", error.message), CH_F_END);
    }
    bool answered = list != NULL || unchanged;
    call->done(call->data, answered ? CH_OK : CH_LIST_UNREACHABLE, list);
    g_free(call);
}

/*
 * Fetches the list once; see struct ch_hosts_ops.  At 320 entry hosts and
 * 1,900 upstreams the list is some 380 KB: each poll brought and parsed it,
 * although it changes every few minutes.  With If-None-Match an unchanged one
 * costs a 304.
 */
static void
hosts_http_fetch(struct ch_hosts *hosts,
                 void (*done)(void *data, enum ch_code code,
                              struct ch_host_list *list),
                 void *data)
{
    struct hosts_http *owner = (struct hosts_http *)hosts;
    struct hosts_call *call = g_new0(struct hosts_call, 1);
    call->owner = owner;
    call->done = done;
    call->data = data;
    const struct ch_http_header known = {"If-None-Match", owner->etag};
    const struct ch_http_request request = {
        .method = "GET",
        .url = owner->url,
        .headers = &known,
        .header_count = owner->etag != NULL ? 1 : 0,
        .connect_limit = owner->call_limit,
        .first_byte_limit = owner->call_limit,
        .stall_limit = owner->call_limit,
        .total_limit = owner->call_limit,
    };
    ch_http_fetch(owner->http, &request, MOST_LIST, list_fetched, call);
}

/* Frees the client; the HTTP loop has ended its calls by then. */
static void
hosts_http_free(struct ch_hosts *hosts)
{
    struct hosts_http *owner = (struct hosts_http *)hosts;
    g_free(owner->url);
    g_free(owner->etag);
    g_free(owner);
}

/* A client of the list at address ("ip:port"); client and http outlive it.
 * call_limit, in microseconds, bounds each fetch. */
struct ch_hosts *
ch_hosts_http_new(struct ch_client *client, struct ch_http *http,
                  const char *address, int64_t call_limit)
{
    static const struct ch_hosts_ops ops = {
        .fetch = hosts_http_fetch,
        .free = hosts_http_free,
    };
    struct hosts_http *owner = g_new0(struct hosts_http, 1);
    owner->hosts.ops = &ops;
    owner->client = client;
    owner->http = http;
    owner->url = g_strdup_printf("http://%s/v1/hosts", address);
    owner->call_limit = call_limit;
    return &owner->hosts;
}
