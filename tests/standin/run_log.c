/* The record of the requests that an upstream executed. */

#include "run_log.h"

#include <inttypes.h>

/* Copies a request header; "" if missing. */
static char *
copy_header(const struct exchange *exchange, const char *name)
{
    const char *value = exchange_header(exchange, name);
    return g_strdup(value == NULL ? "" : value);
}

/* Adds a run that starts now; the array owns it. */
struct run *
run_log_begin(GPtrArray *runs, const struct exchange *exchange,
              const char *item)
{
    const char *from = exchange_header(exchange, "X-Resume-From");
    struct run *run = g_new0(struct run, 1);
    run->request_id = copy_header(exchange, "X-Request-Id");
    run->key = copy_header(exchange, "Idempotency-Key");
    run->team = copy_header(exchange, "X-Team");
    run->has_credential = exchange_header(exchange, "Authorization") != NULL;
    run->method = g_strdup(exchange->method);
    run->path = g_strdup(exchange->path);
    run->item = g_strdup(item);
    run->hash = ch_hash(exchange->body->str, exchange->body->len);
    run->resume_from =
        from == NULL ? 0 : (unsigned)g_ascii_strtoull(from, NULL, 10);
    run->started_at = monotonic_now_us();
    g_ptr_array_add(runs, run);
    return run;
}

/* Writes the member "runs"; times are in milliseconds of CLOCK_MONOTONIC. */
void
run_log_write(const GPtrArray *runs, JsonBuilder *out)
{
    json_builder_set_member_name(out, "runs");
    json_builder_begin_array(out);
    for (guint i = 0; i < runs->len; i++) {
        const struct run *run = g_ptr_array_index(runs, i);
        char hash[20];
        (void)g_snprintf(hash, sizeof hash, "%016" PRIx64, run->hash);
        json_builder_begin_object(out);
        json_text(out, "request_id", run->request_id);
        json_text(out, "key", run->key);
        json_text(out, "team", run->team);
        json_builder_set_member_name(out, "has_credential");
        json_builder_add_boolean_value(out, run->has_credential);
        json_text(out, "method", run->method);
        json_text(out, "path", run->path);
        json_text(out, "item", run->item);
        json_text(out, "body_hash", hash);
        json_number(out, "resume_from", run->resume_from);
        json_number(out, "at_ms", run->started_at / 1000);
        json_builder_set_member_name(out, "whole");
        json_builder_add_boolean_value(out, run->complete);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
}
