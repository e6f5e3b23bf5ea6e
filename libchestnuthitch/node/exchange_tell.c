/* Responses to the caller, and the log and metrics of an exchange. */

#include "node/exchange.h"

#include "node/refusal.h"

#include <string.h>

static const char stream_end_event[] = "data: [DONE]\n\n";

/* Records that the caller was sent its result. Lock held. */
static void
record_response(struct ch_exchange *exchange, enum ch_code code,
                enum ch_outcome outcome)
{
    exchange->told = true;
    exchange->code = code;
    exchange->outcome = outcome;
    exchange->told_at = ch_client_now(exchange->front->node->client);
}

/* Ends a stream that the caller has begun to receive: the error is its last
 * event, and the end marker is left out. */
static void
end_stream_with_error(struct ch_exchange *exchange, const char *json)
{
    char *event = g_strdup_printf("data: %s\n\n", json);
    ch_reply_event(exchange->reply, event, strlen(event));
    ch_reply_end(exchange->reply);
    g_free(event);
}

/*
 * The HTTP status for callers that take 503 as a promise that the request was
 * not run and never will be. So 503 is sent only for requests that certainly
 * did not run.
 */
static int
get_routed_status(enum ch_code code, enum ch_outcome outcome)
{
    int status = ch_code_http(code);
    if (outcome == CH_NOT_RUN) {
        return status >= 500 ? 503 : status;
    }
    return status == 504 ? 504 : 502;
}

/*
 * Tells the caller that there will be no response. The outcome "not-run" is
 * sent only when no attempt may have run, whatever the code: a refusal by the
 * second upstream says nothing about the first.
 */
void
ch_exchange_tell_failure(struct ch_exchange *exchange, enum ch_code code,
                         const char *message, int64_t retry_after)
{
    if (exchange->told) {
        return;
    }
    record_response(exchange, code,
                    exchange->may_have_run ? CH_UNKNOWN : CH_NOT_RUN);
    const struct ch_refusal refusal = {
        .code = code,
        .outcome = exchange->outcome,
        .message = message,
        .retry_after = retry_after,
        .request_id = ch_exchange_id(exchange),
    };
    char *json = ch_refusal_print(&refusal);
    if (exchange->stream_begun && exchange->request->routed) {
        /* Text after the upstream's events would be taken for a part of its
         * response. */
        ch_reply_cut(exchange->reply);
        g_free(json);
        return;
    }
    if (exchange->stream_begun) {
        end_stream_with_error(exchange, json);
        g_free(json);
        return;
    }
    const struct ch_reply_answer response = {
        .status = exchange->request->routed
                      ? get_routed_status(code, exchange->outcome)
                      : ch_code_http(code),
        .content_type = "application/json",
        .outcome = exchange->outcome,
        .code = code,
        .retry_after = retry_after,
        .body = json,
        .length = strlen(json),
    };
    ch_reply_whole(exchange->reply, &response);
}

/* The headers passed on from the upstream. */
static const struct ch_http_header *
get_response_headers(const struct ch_exchange *exchange)
{
    return (const struct ch_http_header *)(void *)exchange->headers->data;
}

/* Starts the stream to the caller unless it has started. */
static void
start_stream(struct ch_exchange *exchange)
{
    ch_reply_begin(exchange->reply, get_response_headers(exchange),
                   exchange->headers->len);
}

/* Passes the upstream's complete response on. A 5xx status of a plain service
 * is a response too, but it does not show whether the work was done, so its
 * outcome is unknown. */
void
ch_exchange_tell_answer(struct ch_exchange *exchange)
{
    if (exchange->told) {
        return;
    }
    record_response(exchange, CH_OK,
                    exchange->status >= 500 ? CH_UNKNOWN : CH_RAN);
    if (exchange->is_stream) {
        start_stream(exchange);
        if (!exchange->request->routed) {
            ch_reply_event(exchange->reply, stream_end_event,
                           sizeof(stream_end_event) - 1);
        }
        ch_reply_end(exchange->reply);
        return;
    }
    const struct ch_reply_answer response = {
        .status = exchange->status,
        .content_type = exchange->content_type,
        .outcome = exchange->outcome,
        .body = g_memdup2(exchange->body->data, exchange->body->len),
        .length = exchange->body->len,
        .headers = get_response_headers(exchange),
        .header_count = exchange->headers->len,
    };
    ch_reply_whole(exchange->reply, &response);
}

/* Mean time between the tokens of a stream; 0: fewer than two. */
static int64_t
mean_token_gap(const struct ch_exchange *exchange)
{
    if (exchange->events < 2) {
        return 0;
    }
    return (exchange->last - exchange->first) / (exchange->events - 1);
}

/* Whether every target that the class states was met. Only the caller of a
 * stream can see when the first token and the later ones arrive. */
static bool
has_met_targets(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    int64_t total = exchange->told_at - exchange->arrived;
    if (exchange->code != CH_OK || exchange->status >= 500) {
        return false;
    }
    if (request->whole_answer > 0 && total > request->whole_answer) {
        return false;
    }
    if (exchange->is_stream) {
        return (request->first_token == 0 ||
                exchange->first - exchange->arrived <= request->first_token) &&
               (request->between_tokens == 0 ||
                mean_token_gap(exchange) <= request->between_tokens);
    }
    if (request->whole_answer > 0 || request->first_token == 0) {
        return true;
    }
    return total <= request->first_token +
                        request->between_tokens * exchange->made_tokens;
}

/* Time since the request's arrival; 0 when it did not happen. */
static int64_t
time_since_arrival(const struct ch_exchange *exchange, int64_t at)
{
    return at == 0 ? 0 : at - exchange->arrived;
}

static void
update_metrics(const struct ch_exchange *exchange)
{
    struct ch_metrics *metrics = exchange->front->node->client->metrics;
    const char *class_name = exchange->request->class_name;
    const char *tenant = exchange->request->tenant;
    enum ch_counter counter = CH_COUNT_FAILED;
    if (exchange->code == CH_OK) {
        counter = CH_COUNT_COMPLETED;
    }
    else if (exchange->outcome == CH_NOT_RUN) {
        counter = CH_COUNT_REFUSED;
    }
    ch_metrics_count(metrics, counter, 1);
    ch_metrics_outcome(metrics, class_name, tenant, exchange->code,
                       has_met_targets(exchange));
    if (exchange->first_grant != 0) {
        ch_metrics_observe(
            metrics, CH_HIST_QUEUED, class_name, tenant,
            time_since_arrival(exchange, exchange->first_grant));
    }
    if (exchange->is_stream && exchange->first != 0) {
        ch_metrics_observe(metrics, CH_HIST_FIRST_TOKEN, class_name, tenant,
                           time_since_arrival(exchange, exchange->first));
    }
    if (exchange->events > 1) {
        ch_metrics_observe(metrics, CH_HIST_BETWEEN_TOKENS, class_name, tenant,
                           mean_token_gap(exchange));
    }
    if (exchange->code == CH_OK) {
        ch_metrics_observe(metrics, CH_HIST_WHOLE_ANSWER, class_name, tenant,
                           time_since_arrival(exchange, exchange->told_at));
    }
}

/* Writes the log event "request", from which the log can be replayed as a
 * trace. */
void
ch_exchange_record(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    char prefix[20] = "";
    if (request->work.prefix_hash != 0) {
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
                   request->work.prefix_hash);
    }
    update_metrics(exchange);
    ch_log(
        exchange->front->node->client, CH_LOG_INFO, "request",
        CH_F_STR("request_id", ch_exchange_id(exchange)),
        CH_F_STR("caller", request->caller),
        CH_F_STR("class", request->class_name),
        CH_F_STR("model", request->model),
        CH_F_STR("adapter", request->adapter ? request->adapter : ""),
        CH_F_STR("prefix", prefix),
        CH_F_INT("prompt_tokens", request->work.prompt_tokens),
        CH_F_INT("output_tokens", request->work.max_output_tokens),
        CH_F_INT("made_tokens", exchange->made_tokens),
        CH_F_STR("key", request->key ? request->key : ""),
        CH_F_STR("upstream",
                 exchange->grant.upstream == 0
                     ? ""
                     : g_quark_to_string(exchange->grant.upstream)),
        CH_F_INT("code", exchange->code),
        CH_F_STR("outcome", ch_outcome_name(exchange->outcome)),
        CH_F_INT("status", exchange->status),
        CH_F_INT("attempts", exchange->calls),
        CH_F_INT("at_ms", exchange->at_wall_ms),
        CH_F_INT("target_us", request->work.first_token_deadline -
                                  request->work.arrived_at),
        CH_F_INT("queued_us",
                 time_since_arrival(exchange, exchange->first_grant)),
        CH_F_INT("first_us", time_since_arrival(exchange, exchange->first)),
        CH_F_INT("between_us", mean_token_gap(exchange)),
        CH_F_INT("longest_gap_us", exchange->longest_gap),
        CH_F_INT("total_us", time_since_arrival(exchange, exchange->told_at)),
        CH_F_END);
}
