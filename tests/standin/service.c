/* Simulates a plain service, which executes each request that it receives,
   repeated ones too. */

#include "answer.h"
#include "run_log.h"

#include <string.h>

enum {
    /* From the start of a request with CRASH_MARK to the simulated crash. */
    CRASH_AFTER_US = 20 * 1000,
};

static void
service_start(struct standin *standin)
{
    standin->mode_data = g_ptr_array_new();
}

/* Notes whether the response was sent before the connection ended. */
static void
service_ended(struct exchange *exchange, bool whole)
{
    ((struct run *)exchange->mode_data)->complete = whole;
}

/* Sets the response after the service time. */
static void
service_respond(void *data)
{
    struct exchange *exchange = data;
    const struct run *run = exchange->mode_data;
    GString *text = g_string_new(NULL);
    exchange->timer = NULL;
    append_response_service(text, run->method, run->path, run->hash);
    gsize length = text->len;
    exchange_reply(exchange, 200, g_string_free(text, FALSE), length);
    exchange_add_header(exchange, "Content-Type", "application/json");
    exchange_add_header(exchange, "X-Request-Id", run->request_id);
    exchange_resume(exchange);
}

/* Simulates the restart of the process. */
static void
service_restart(void *data)
{
    standin_listen(data, true);
}

/* Simulates a crash: stops listening and closes all connections. */
static void
service_crash(void *data)
{
    struct standin *standin = data;
    standin_listen(standin, false);
    (void)timer_add(standin, standin->faults[FAULT_crash_ms] * 1000,
                    service_restart, standin);
}

static void
service_handle(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    exchange->mode_data = run_log_begin(standin->mode_data, exchange, "");
    exchange->on_end = service_ended;
    if (standin->faults[FAULT_crash_ms] > 0 &&
        strstr(exchange->body->str, CRASH_MARK) != NULL) {
        (void)timer_add(standin, CRASH_AFTER_US, service_crash, standin);
        return;
    }
    int64_t time = standin->faults[FAULT_answer_ms];
    if (time == 0) {
        service_respond(exchange);
        return;
    }
    exchange->timer =
        timer_add(standin, time * 1000, service_respond, exchange);
}

static void
service_record(struct standin *standin, JsonBuilder *out)
{
    run_log_write(standin->mode_data, out);
}

const struct mode mode_service = {"service", service_start, service_handle,
                                  service_record, NULL};
