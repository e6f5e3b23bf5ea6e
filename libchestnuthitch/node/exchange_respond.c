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
    exchange->responded = true;
    exchange->code = code;
    exchange->outcome = outcome;
    exchange->responded_at =
        ch_client_get_time(exchange->frontend->node->client);
}

/* Ends a stream that the caller has begun to receive: the error is its last
 * event, and the end marker is left out. */
static void
end_stream_with_error(struct ch_exchange *exchange, const char *json)
{
    char *event = g_strdup_printf("data: %s\n\n", json);
    ch_response_add_event(exchange->response, event, strlen(event));
    ch_response_end_stream(exchange->response);
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
    int status = ch_code_get_http_status(code);
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
ch_exchange_send_failure(struct ch_exchange *exchange, enum ch_code code,
                         const char *message, int64_t retry_after)
{
    if (exchange->responded) {
        return;
    }
    record_response(exchange, code,
                    exchange->may_have_run ? CH_UNKNOWN : CH_NOT_RUN);
    const struct ch_refusal refusal = {
        .code = code,
        .outcome = exchange->outcome,
        .message = message,
        .retry_after = retry_after,
        .request_id = ch_exchange_get_request_id(exchange),
    };
    char *json = ch_refusal_to_json(&refusal);
    if (exchange->stream_started && exchange->request->routed) {
        /* Text after the upstream's events would be taken for a part of its
         * response. */
        ch_response_abort(exchange->response);
        g_free(json);
        return;
    }
    if (exchange->stream_started) {
        end_stream_with_error(exchange, json);
        g_free(json);
        return;
    }
    const struct ch_response_data response = {
        .status = exchange->request->routed
                      ? get_routed_status(code, exchange->outcome)
                      : ch_code_get_http_status(code),
        .content_type = "application/json",
        .outcome = exchange->outcome,
        .code = code,
        .retry_after = retry_after,
        .body = json,
        .body_length = strlen(json),
    };
    ch_response_send(exchange->response, &response);
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
    ch_response_start_stream(exchange->response,
                             get_response_headers(exchange),
                             exchange->headers->len);
}

/* Passes the upstream's complete response on. A 5xx status of a plain service
 * is a response too, but it does not show whether the work was done, so its
 * outcome is unknown. */
void
ch_exchange_send_response(struct ch_exchange *exchange)
{
    if (exchange->responded) {
        return;
    }
    record_response(exchange, CH_OK,
                    exchange->status >= 500 ? CH_UNKNOWN : CH_RAN);
    if (exchange->is_stream) {
        start_stream(exchange);
        if (!exchange->request->routed) {
            ch_response_add_event(exchange->response, stream_end_event,
                                  sizeof(stream_end_event) - 1);
        }
        ch_response_end_stream(exchange->response);
        return;
    }
    const struct ch_response_data response = {
        .status = exchange->status,
        .content_type = exchange->content_type,
        .outcome = exchange->outcome,
        .body = g_memdup2(exchange->body->data, exchange->body->len),
        .body_length = exchange->body->len,
        .headers = get_response_headers(exchange),
        .header_count = exchange->headers->len,
    };
    ch_response_send(exchange->response, &response);
}

/* Mean time between the tokens of a stream; 0: fewer than two. */
static int64_t
mean_token_gap(const struct ch_exchange *exchange)
{
    if (exchange->events_delivered < 2) {
        return 0;
    }
    return (exchange->last_data_at - exchange->first_data_at) /
           (exchange->events_delivered - 1);
}

/* Whether every target that the class states was met. Only the caller of a
 * stream can see when the first token and the later ones arrive. */
static bool
has_met_targets(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    int64_t total = exchange->responded_at - exchange->arrived_at;
    if (exchange->code != CH_OK || exchange->status >= 500) {
        return false;
    }
    if (request->answer_target > 0 && total > request->answer_target) {
        return false;
    }
    if (exchange->is_stream) {
        return (request->first_token_target == 0 ||
                exchange->first_data_at - exchange->arrived_at <=
                    request->first_token_target) &&
               (request->token_target == 0 ||
                mean_token_gap(exchange) <= request->token_target);
    }
    if (request->answer_target > 0 || request->first_token_target == 0) {
        return true;
    }
    return total <= request->first_token_target +
                        request->token_target * exchange->generated_tokens;
}

/* Time since the request's arrival; 0 when it did not happen. */
static int64_t
time_since_arrival(const struct ch_exchange *exchange, int64_t at)
{
    return at == 0 ? 0 : at - exchange->arrived_at;
}

static void
update_metrics(const struct ch_exchange *exchange)
{
    struct ch_metrics *metrics = exchange->frontend->node->client->metrics;
    const char *class_name = exchange->request->class_name;
    const char *tenant = exchange->request->tenant;
    enum ch_counter counter = CH_COUNT_FAILED;
    if (exchange->code == CH_OK) {
        counter = CH_COUNT_COMPLETED;
    }
    else if (exchange->outcome == CH_NOT_RUN) {
        counter = CH_COUNT_REFUSED;
    }
    ch_metrics_add_count(metrics, counter, 1);
    ch_metrics_count_outcome(metrics, class_name, tenant, exchange->code,
                             has_met_targets(exchange));
    if (exchange->first_granted_at != 0) {
        ch_metrics_observe(
            metrics, CH_HIST_QUEUE_TIME, class_name, tenant,
            time_since_arrival(exchange, exchange->first_granted_at));
    }
    if (exchange->is_stream && exchange->first_data_at != 0) {
        ch_metrics_observe(
            metrics, CH_HIST_FIRST_TOKEN, class_name, tenant,
            time_since_arrival(exchange, exchange->first_data_at));
    }
    if (exchange->events_delivered > 1) {
        ch_metrics_observe(metrics, CH_HIST_TOKEN_INTERVAL, class_name, tenant,
                           mean_token_gap(exchange));
    }
    if (exchange->code == CH_OK) {
        ch_metrics_observe(
            metrics, CH_HIST_RESPONSE_TIME, class_name, tenant,
            time_since_arrival(exchange, exchange->responded_at));
    }
}

/* Writes the log event "request", from which the log can be replayed as a
 * trace. */
void
ch_exchange_write_log(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    char prefix[20] = "";
    if (request->info.prefix_hash != 0) {
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
                   request->info.prefix_hash);
    }
    update_metrics(exchange);
    ch_log(exchange->frontend->node->client, CH_LOG_INFO, "request",
           CH_F_STR("request_id", ch_exchange_get_request_id(exchange)),
           CH_F_STR("caller", request->caller),
           CH_F_STR("team", request->team ? request->team : ""),
           CH_F_STR("class", request->class_name),
           CH_F_STR("model", request->model),
           CH_F_STR("adapter", request->adapter ? request->adapter : ""),
           CH_F_STR("prefix", prefix),
           CH_F_INT("prompt_tokens", request->info.prompt_tokens),
           CH_F_INT("output_tokens", request->info.max_output_tokens),
           CH_F_INT("made_tokens", exchange->generated_tokens),
           CH_F_STR("key", request->key ? request->key : ""),
           CH_F_STR("resumes", request->resumes ? request->resumes : ""),
           CH_F_STR("upstream",
                    exchange->grant.upstream == 0
                        ? ""
                        : g_quark_to_string(exchange->grant.upstream)),
           CH_F_STR("version", g_quark_to_string(exchange->grant.version)),
           CH_F_STR("relay", exchange->relay == 0
                                 ? ""
                                 : g_quark_to_string(exchange->relay)),
           CH_F_INT("code", exchange->code),
           CH_F_STR("outcome", ch_outcome_get_name(exchange->outcome)),
           CH_F_INT("status", exchange->status),
           CH_F_INT("attempts", exchange->call_count),
           CH_F_INT("at_ms", exchange->arrived_wall_ms),
           CH_F_INT("target_us", request->info.first_token_deadline -
                                     request->info.arrived_at),
           CH_F_INT("queued_us",
                    time_since_arrival(exchange, exchange->first_granted_at)),
           CH_F_INT("first_us",
                    time_since_arrival(exchange, exchange->first_data_at)),
           CH_F_INT("between_us", mean_token_gap(exchange)),
           CH_F_INT("longest_gap_us", exchange->longest_gap),
           CH_F_INT("total_us",
                    time_since_arrival(exchange, exchange->responded_at)),
           CH_F_END);
}
