/* What the caller is told, and what is recorded of an exchange. */

#include "node/exchange.h"

#include "node/refusal.h"

#include <string.h>

static const char done_event[] = "data: [DONE]\n\n";

/* Notes that the caller has its answer.  Lock held. */
static void
note_told(struct ch_exchange *exchange, enum ch_code code,
          enum ch_outcome outcome)
{
    exchange->told = true;
    exchange->code = code;
    exchange->outcome = outcome;
    exchange->told_at = ch_client_now(exchange->front->node->client);
}

/* Ends a stream whose head the caller has with the error as its last event,
 * and without the end mark. */
static void
end_with_error(struct ch_exchange *exchange, const char *json)
{
    char *event = g_strdup_printf("data: %s\n\n", json);
    ch_reply_event(exchange->reply, event, strlen(event));
    ch_reply_end(exchange->reply);
    g_free(event);
}

/*
 * The status for callers who take 503 for a promise that the request was not
 * run and never will be: said of what surely was not, and of nothing else.
 */
static int
routed_status(enum ch_code code, enum ch_outcome outcome)
{
    int status = ch_code_http(code);
    if (outcome == CH_NOT_RUN) {
        return status >= 500 ? 503 : status;
    }
    return status == 504 ? 504 : 502;
}

/*
 * Tells the caller that there will be no answer.  "not-run" is said only when
 * no try may have run, whatever the code: a refusal by the second upstream
 * says nothing of the first.
 */
void
ch_exchange_tell_failure(struct ch_exchange *exchange, enum ch_code code,
                         const char *message, int64_t retry_after)
{
    if (exchange->told) {
        return;
    }
    note_told(exchange, code,
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
        /* Whatever came after the upstream's events would not be its answer.
         */
        ch_reply_cut(exchange->reply);
        g_free(json);
        return;
    }
    if (exchange->stream_begun) {
        end_with_error(exchange, json);
        g_free(json);
        return;
    }
    const struct ch_reply_answer answer = {
        .status = exchange->request->routed
                      ? routed_status(code, exchange->outcome)
                      : ch_code_http(code),
        .content_type = "application/json",
        .outcome = exchange->outcome,
        .code = code,
        .retry_after = retry_after,
        .body = json,
        .length = strlen(json),
    };
    ch_reply_whole(exchange->reply, &answer);
}

/* The headers that go on from the upstream. */
static const struct ch_http_header *
headers_of(const struct ch_exchange *exchange)
{
    return (const struct ch_http_header *)(void *)exchange->headers->data;
}

/* Begins the stream to the caller, if that was not done. */
static void
begin_stream(struct ch_exchange *exchange)
{
    ch_reply_begin(exchange->reply, headers_of(exchange),
                   exchange->headers->len);
}

/* Passes on the upstream's whole answer.  An error of a plain service's own is
 * an answer too, but not one that says whether the work was done. */
void
ch_exchange_tell_answer(struct ch_exchange *exchange)
{
    if (exchange->told) {
        return;
    }
    note_told(exchange, CH_OK, exchange->status >= 500 ? CH_UNKNOWN : CH_RAN);
    if (exchange->is_stream) {
        begin_stream(exchange);
        if (!exchange->request->routed) {
            ch_reply_event(exchange->reply, done_event,
                           sizeof(done_event) - 1);
        }
        ch_reply_end(exchange->reply);
        return;
    }
    const struct ch_reply_answer answer = {
        .status = exchange->status,
        .content_type = exchange->content_type,
        .outcome = exchange->outcome,
        .body = g_memdup2(exchange->body->data, exchange->body->len),
        .length = exchange->body->len,
        .headers = headers_of(exchange),
        .header_count = exchange->headers->len,
    };
    ch_reply_whole(exchange->reply, &answer);
}

/* Mean time between the tokens that the caller got; 0: fewer than two. */
static int64_t
between_tokens(const struct ch_exchange *exchange)
{
    if (exchange->events < 2) {
        return 0;
    }
    return (exchange->last - exchange->first) / (exchange->events - 1);
}

/* True when every target that the class states was met.  The first token and
 * those after it can be seen by the caller of a stream alone. */
static bool
was_met(const struct ch_exchange *exchange)
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
                between_tokens(exchange) <= request->between_tokens);
    }
    if (request->whole_answer > 0 || request->first_token == 0) {
        return true;
    }
    return total <= request->first_token +
                        request->between_tokens * exchange->made_tokens;
}

/* Time from arrival, 0 when it did not come. */
static int64_t
since_arrival(const struct ch_exchange *exchange, int64_t at)
{
    return at == 0 ? 0 : at - exchange->arrived;
}

/* Counters and histograms. */
static void
count(const struct ch_exchange *exchange)
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
                       was_met(exchange));
    if (exchange->first_grant != 0) {
        ch_metrics_observe(metrics, CH_HIST_QUEUED, class_name, tenant,
                           since_arrival(exchange, exchange->first_grant));
    }
    if (exchange->is_stream && exchange->first != 0) {
        ch_metrics_observe(metrics, CH_HIST_FIRST_TOKEN, class_name, tenant,
                           since_arrival(exchange, exchange->first));
    }
    if (exchange->events > 1) {
        ch_metrics_observe(metrics, CH_HIST_BETWEEN_TOKENS, class_name, tenant,
                           between_tokens(exchange));
    }
    if (exchange->code == CH_OK) {
        ch_metrics_observe(metrics, CH_HIST_WHOLE_ANSWER, class_name, tenant,
                           since_arrival(exchange, exchange->told_at));
    }
}

/* Writes the line "request", by which the log replays as a trace. */
void
ch_exchange_record(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    char prefix[20] = "";
    if (request->work.prefix_hash != 0) {
        g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
                   request->work.prefix_hash);
    }
    count(exchange);
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
        CH_F_INT("queued_us", since_arrival(exchange, exchange->first_grant)),
        CH_F_INT("first_us", since_arrival(exchange, exchange->first)),
        CH_F_INT("between_us", between_tokens(exchange)),
        CH_F_INT("longest_gap_us", exchange->longest_gap),
        CH_F_INT("total_us", since_arrival(exchange, exchange->told_at)),
        CH_F_END);
}
