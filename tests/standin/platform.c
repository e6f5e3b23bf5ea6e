/* Simulates the host list and the rate-limited weight store. */

#include "standin.h"

#include <string.h>

/* ---- host list ---- */

/* Serves the last list posted to /control/hosts, after a delay of lag_ms. */
struct hosts {
    char *list;
    char *next; /* served after lag_ms; NULL: none */
    int64_t version;
    int64_t calls;
    int64_t unchanged; /* calls answered with 304 */
};

static void
hosts_start(struct standin *standin)
{
    struct hosts *hosts = g_new0(struct hosts, 1);
    hosts->list = g_strdup("{\"hosts\":[]}");
    standin->mode_data = hosts;
}

/* Handles GET /v1/hosts. */
static void
hosts_handle(struct exchange *exchange)
{
    struct hosts *hosts = exchange->standin->mode_data;
    const char *known = exchange_header(exchange, "If-None-Match");
    char etag[32];
    (void)g_snprintf(etag, sizeof etag, "\"%" G_GINT64_FORMAT "\"",
                     hosts->version);
    hosts->calls++;
    if (g_strcmp0(known, etag) == 0) {
        hosts->unchanged++;
        exchange_reply_text(exchange, 304, "");
    }
    else {
        exchange_reply_text(exchange, 200, hosts->list);
        exchange_add_header(exchange, "Content-Type", "application/json");
    }
    exchange_add_header(exchange, "ETag", etag);
}

/* Serves the posted list from now on. */
static void
hosts_apply(void *data)
{
    struct hosts *hosts = data;
    if (hosts->next != NULL) {
        g_free(hosts->list);
        hosts->list = g_steal_pointer(&hosts->next);
        hosts->version++;
    }
}

/* Handles POST /control/hosts with a list. */
static bool
hosts_control(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    struct hosts *hosts = standin->mode_data;
    if (strcmp(exchange->path, "/control/hosts") != 0) {
        return false;
    }
    g_free(hosts->next);
    hosts->next = g_strdup(exchange->body->str);
    int64_t lag = standin->faults[FAULT_lag_ms];
    if (lag == 0) {
        hosts_apply(hosts);
    }
    else {
        (void)timer_add(standin, lag * 1000, hosts_apply, hosts);
    }
    return true;
}

static void
hosts_record(struct standin *standin, JsonBuilder *out)
{
    const struct hosts *hosts = standin->mode_data;
    json_number(out, "gets", hosts->calls);
    json_number(out, "unchanged", hosts->unchanged);
}

const struct mode mode_hosts = {"hosts", hosts_start, hosts_handle,
                                hosts_record, hosts_control};

/* ---- weight store ---- */

/* More concurrent transfers than the fault "parallel" slow each other down. */
struct weights {
    int64_t transfers;
    int64_t running;
    int64_t most;
};

static void
weights_start(struct standin *standin)
{
    standin->mode_data = g_new0(struct weights, 1);
}

/* Counts a transfer out, complete or not. */
static void
weights_ended(struct exchange *exchange, bool whole)
{
    (void)whole;
    ((struct weights *)exchange->standin->mode_data)->running--;
}

/* Answers a transfer after its time. */
static void
weights_respond(void *data)
{
    struct exchange *exchange = data;
    exchange->timer = NULL;
    exchange_reply_text(exchange, 200, "");
    exchange_resume(exchange);
}

/* Handles GET /v1/weights/NAME. */
static void
weights_handle(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    struct weights *weights = standin->mode_data;
    int64_t parallel = MAX(standin->faults[FAULT_parallel], 1);
    weights->transfers++;
    weights->running++;
    weights->most = MAX(weights->most, weights->running);
    exchange->on_end = weights_ended;
    int64_t concurrent = MAX(weights->running, parallel);
    exchange->timer = timer_add(standin,
                                standin->faults[FAULT_transfer_ms] * 1000 *
                                    concurrent / parallel,
                                weights_respond, exchange);
}

static void
weights_record(struct standin *standin, JsonBuilder *out)
{
    struct weights *weights = standin->mode_data;
    json_number(out, "transfers", weights->transfers);
    json_number(out, "running", weights->running);
    json_number(out, "most", weights->most);
}

const struct mode mode_weights = {"weights", weights_start, weights_handle,
                                  weights_record, NULL};
