/* Client of a plain service: forwards the caller's request unchanged. */

#include "upstream/call.h"

struct service {
    struct ch_upstream base;
    struct ch_client *client;
    struct ch_http *http;
    char *address;
};

/* Forwards a caller's request to the service. */
static uint64_t
service_call(struct ch_upstream *upstream, const struct ch_call *call,
             const struct ch_call_handlers *handlers, void *data)
{
    static const struct ch_call_rules rules = {
        CH_CALL_DEFAULT_RULES,
        .fail_on_server_error = false,
        .check_event_ids = false,
    };
    struct service *service = (struct service *)upstream;
    return ch_call_start(service->client, service->http, service->address,
                         &rules, upstream, call, handlers, data);
}

/* Ends a call by closing its connection. */
static void
service_cancel(struct ch_upstream *upstream, uint64_t handle)
{
    struct service *service = (struct service *)upstream;
    ch_http_cancel(service->http, handle);
}

/* Frees the client; calls in flight continue without it. */
static void
service_free(struct ch_upstream *upstream)
{
    struct service *service = (struct service *)upstream;
    g_free(service->address);
    g_free(service);
}

/*
 * Creates a client of the plain service at "ip:port". It takes no orders and
 * gives no reports, so control_timeout is unused.
 */
struct ch_upstream *
ch_upstream_service_new(struct ch_client *client, struct ch_http *http,
                        const char *address, int64_t control_timeout)
{
    (void)control_timeout;
    static const struct ch_upstream_ops ops = {
        .call = service_call,
        .cancel = service_cancel,
        .free = service_free,
    };
    struct service *service = g_new0(struct service, 1);
    service->base.ops = &ops;
    service->client = client;
    service->http = http;
    service->address = g_strdup(address);
    return &service->base;
}
