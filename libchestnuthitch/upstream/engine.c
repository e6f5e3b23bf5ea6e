/* Client of a model engine: calls, orders and reports over HTTP. */

#include "upstream/control.h"
#include "base/json.h"
#include "upstream/call.h"
#include "upstream/report.h"

#include <string.h>

static const char *const kept_headers[] = {CH_CALL_DEFAULT_LIMIT_HEADER,
                                           CH_CALL_DEFAULT_DRAINING_HEADER,
                                           "Retry-After", NULL};

struct engine {
    struct ch_upstream base;
    struct ch_client *client;
    struct ch_http *http;
    char *address;
    int64_t control_timeout;
};

/* Forwards a caller's request to the engine. */
static uint64_t
engine_call(struct ch_upstream *upstream, const struct ch_call *call,
            const struct ch_call_handlers *handlers, void *data)
{
    static const struct ch_call_rules rules = {
        CH_CALL_DEFAULT_RULES,
        .fail_on_server_error = true,
        .check_event_ids = true,
    };
    struct engine *engine = (struct engine *)upstream;
    return ch_call_start(engine->client, engine->http, engine->address, &rules,
                         upstream, call, handlers, data);
}

/* Ends a call; the closed connection notifies the engine. */
static void
engine_cancel(struct ch_upstream *upstream, uint64_t handle)
{
    struct engine *engine = (struct engine *)upstream;
    ch_http_cancel(engine->http, handle);
}

/* Maps the status of the response to an order to a code. */
static enum ch_code
map_order_status(int status)
{
    switch (status) {
    case 200:
    case 202:
        return CH_OK;
    case 409:
        return CH_STALE_FENCE;
    case 507:
        return CH_UPSTREAM_REFUSED;
    default:
        return CH_UPSTREAM_ANSWER;
    }
}

/* The JSON of an order; a new string. */
static char *
order_to_json(const struct ch_order *order)
{
    JsonBuilder *builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "id");
    json_builder_add_string_value(builder, order->id);
    json_builder_set_member_name(builder, "fence");
    json_builder_add_int_value(builder, (int64_t)order->fencing_token);
    json_builder_set_member_name(builder, "action");
    json_builder_add_string_value(
        builder, order->action == CH_ORDER_LOAD ? "load" : "unload");
    json_builder_set_member_name(builder, "model");
    json_builder_add_string_value(builder, order->model);
    if (order->adapter != NULL) {
        json_builder_set_member_name(builder, "adapter");
        json_builder_add_string_value(builder, order->adapter);
    }
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

/* Sends an order on a new connection, so that libcurl cannot repeat it. */
static void
engine_send_order(struct ch_upstream *upstream, const struct ch_order *order,
                  void (*done)(void *data, enum ch_code code), void *data)
{
    struct engine *engine = (struct engine *)upstream;
    static const struct ch_http_header headers[] = {
        {"Content-Type", "application/json"},
    };
    char *url = g_strdup_printf("http://%s/v1/orders", engine->address);
    char *body = order_to_json(order);
    struct ch_http_request request = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .header_count = G_N_ELEMENTS(headers),
        .body = body,
        .body_length = strlen(body),
        .connect_timeout = engine->control_timeout,
        .first_byte_timeout = engine->control_timeout,
        .stall_timeout = engine->control_timeout,
        .total_timeout = engine->control_timeout,
        .fresh_connection = true,
        .valid_until = order->valid_until,
        .kept_headers = kept_headers,
    };
    const struct ch_control_peer peer = {
        .client = engine->client,
        .http = engine->http,
        .upstream = upstream,
        .limit_header = CH_CALL_DEFAULT_LIMIT_HEADER,
        .draining_header = CH_CALL_DEFAULT_DRAINING_HEADER,
    };
    ch_control_send_order(&peer, &request, map_order_status, done, data);
    g_free(url);
    g_free(body);
}

static void
engine_fetch_report(struct ch_upstream *upstream,
                    void (*done)(void *data, enum ch_code code,
                                 struct ch_engine_report *report),
                    void *data)
{
    struct engine *engine = (struct engine *)upstream;
    char *url = g_strdup_printf("http://%s/v1/load", engine->address);
    struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_timeout = engine->control_timeout,
        .first_byte_timeout = engine->control_timeout,
        .stall_timeout = engine->control_timeout,
        .total_timeout = engine->control_timeout,
        .kept_headers = kept_headers,
    };
    const struct ch_control_peer peer = {
        .client = engine->client,
        .http = engine->http,
        .upstream = upstream,
        .limit_header = CH_CALL_DEFAULT_LIMIT_HEADER,
        .draining_header = CH_CALL_DEFAULT_DRAINING_HEADER,
    };
    ch_control_fetch_report(&peer, &request, ch_engine_report_parse, done,
                            data);
    g_free(url);
}

/* Frees the client; calls in flight continue without it. */
static void
engine_free(struct ch_upstream *upstream)
{
    struct engine *engine = (struct engine *)upstream;
    g_free(engine->address);
    g_free(engine);
}

/*
 * Creates a client of the engine at "ip:port". control_timeout applies to
 * orders and reports. Calls in flight may outlive the client.
 */
struct ch_upstream *
ch_upstream_engine_new(struct ch_client *client, struct ch_http *http,
                       const char *address, int64_t control_timeout)
{
    static const struct ch_upstream_ops ops = {
        .call = engine_call,
        .cancel = engine_cancel,
        .send_order = engine_send_order,
        .fetch_report = engine_fetch_report,
        .free = engine_free,
    };
    struct engine *engine = g_new0(struct engine, 1);
    engine->base.ops = &ops;
    engine->client = client;
    engine->http = http;
    engine->address = g_strdup(address);
    engine->control_timeout = control_timeout;
    return &engine->base;
}
