/* Compares the responses that callers received with what the upstreams ran. */

#include "harness/harness.h"

#include <inttypes.h>
#include <string.h>

enum {
    /* An upstream may still begin requests this long after it is listed as
       leaving. */
    DRAINING_GRACE_MS = 5000,
    /* Counts as recovered if the load's last part, this long, has no missed
       target. */
    RECOVERY_WINDOW_MS = 500,
};

/* How often upstreams ran each request id, key and body. */
struct runs {
    GHashTable *ids;
    GHashTable *bodies; /* by the body's hash as text */
    GHashTable *keys;
};

static unsigned
increment(GHashTable *table, const char *name)
{
    unsigned count = GPOINTER_TO_UINT(g_hash_table_lookup(table, name)) + 1;
    g_hash_table_replace(table, g_strdup(name), GUINT_TO_POINTER(count));
    return count;
}

static GHashTable *
new_counts(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
check_run(const struct harness_upstream *upstream, JsonObject *run,
          struct runs *runs, struct harness_check_result *verdict)
{
    const char *key = json_object_get_string_member(run, "key");
    const char *body = json_object_get_string_member(run, "body_hash");
    bool body_again = increment(runs->bodies, body) > 1;
    bool key_again = key[0] != '\0' && increment(runs->keys, key) > 1;
    (void)increment(runs->ids,
                    json_object_get_string_member(run, "request_id"));
    /* Every request to a plain service has a different body, so the same body
       again means that a request ran twice. */
    if (upstream->service != NULL && (body_again || key_again)) {
        verdict->ran_twice++;
        g_printerr("request ran twice at %s: key %s, request id %s\n",
                   upstream->name, key,
                   json_object_get_string_member(run, "request_id"));
    }
    if (upstream->draining_since_ms != 0 &&
        json_object_get_int_member(run, "at_ms") >
            upstream->draining_since_ms + DRAINING_GRACE_MS) {
        verdict->begun_after_draining++;
    }
}

static void
check_record(const struct harness_upstream *upstream, struct runs *runs,
             struct harness_check_result *verdict)
{
    JsonNode *node = harness_get_record(&upstream->standin);
    JsonObject *record = json_node_get_object(node);
    JsonArray *list = json_object_get_array_member(record, "runs");
    for (guint i = 0; i < json_array_get_length(list); i++) {
        check_run(upstream, json_array_get_object_element(list, i), runs,
                  verdict);
    }
    if (upstream->service == NULL) {
        verdict->overcommits +=
            (unsigned)json_object_get_int_member(record, "overcommits");
    }
    json_node_unref(node);
}

/* Whether a stream ends with an error event. */
static bool
has_stream_error(const struct harness_response *answer)
{
    return strstr(answer->response_body->str, "data: {\"error\"") != NULL;
}

/* Whether a caller would take the response for complete: a stream is complete
 * with its [DONE] event, any other response by its framing. */
static bool
looks_complete(const struct harness_response *answer)
{
    bool stream = answer->request_body != NULL &&
                  strstr(answer->request_body, "\"stream\":true") != NULL;
    return !stream ||
           g_str_has_suffix(answer->response_body->str, "data: [DONE]\n\n");
}

/* Counts a response with status 200. */
static void
count_success(const struct harness_response *answer,
              struct harness_check_result *verdict)
{
    if (harness_response_is_correct(answer)) {
        verdict->correct++;
    }
    else if (looks_complete(answer)) {
        verdict->wrong_responses++;
        g_printerr("incorrect response to %s: %s\n", answer->request_body,
                   answer->response_body->str);
    }
    else if (has_stream_error(answer)) {
        verdict->failed++;
    }
    else {
        verdict->missing_outcome++;
        g_printerr("stream ended without [DONE] or an error: %s\n",
                   answer->request_body);
    }
}

/* Counts a response with another status. bodies: how often each body was sent.
 * Only a body that was sent once shows which request an upstream ran, if the
 * request id is not known. */
static void
count_error(const struct harness_response *answer, const struct runs *runs,
            GHashTable *bodies, struct harness_check_result *verdict)
{
    char hash[20];
    const char *body =
        answer->request_body == NULL ? "" : answer->request_body;
    (void)g_snprintf(hash, sizeof hash, "%016" PRIx64, ch_hash_string(body));
    if (answer->outcome == NULL || answer->error_code == 0) {
        verdict->missing_outcome++;
        g_printerr("status %d without outcome or code: %s\n", answer->status,
                   answer->response_body->str);
    }
    if (g_strcmp0(answer->outcome, "not-run") != 0) {
        verdict->failed++;
        return;
    }
    verdict->refused++;
    bool sent_once = GPOINTER_TO_UINT(g_hash_table_lookup(bodies, body)) == 1;
    if ((answer->request_id != NULL &&
         g_hash_table_contains(runs->ids, answer->request_id)) ||
        (sent_once && g_hash_table_contains(runs->bodies, hash))) {
        verdict->not_run_ran++;
        g_printerr("outcome not-run, but the request ran: %s %s\n", body,
                   answer->response_body->str);
    }
}

static void
count_response(const struct harness_response *answer, const struct runs *runs,
               GHashTable *bodies, struct harness_check_result *verdict)
{
    unsigned correct = verdict->correct;
    verdict->responses++;
    if (answer->curl_code != 0) {
        verdict->broken_connections++;
    }
    else if (answer->status == 200) {
        count_success(answer, verdict);
    }
    else {
        count_error(answer, runs, bodies, verdict);
    }
    if (answer->key == NULL && verdict->correct == correct) {
        verdict->unkeyed_incorrect++;
    }
}

/* The error as "OUTCOME CODE MESSAGE"; g_free. */
static char *
error_text(const struct harness_response *answer)
{
    const char *found = strstr(answer->response_body->str, "\"message\":\"");
    if (answer->curl_code != 0) {
        return g_strdup_printf("connection lost (curl code %d)",
                               answer->curl_code);
    }
    found = found == NULL ? "" : found + strlen("\"message\":\"");
    return g_strdup_printf(
        "%s %d %.*s", answer->outcome == NULL ? "-" : answer->outcome,
        answer->error_code, (int)strcspn(found, "\""), found);
}

static void
print_errors(const GPtrArray *answers)
{
    GHashTable *errors = new_counts();
    GHashTableIter iter;
    gpointer text;
    gpointer count;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_response *answer = g_ptr_array_index(answers, i);
        if (!harness_response_is_correct(answer)) {
            char *error = error_text(answer);
            char *line = g_strdup_printf(
                "%s: %s", answer->class_name ? answer->class_name : "-",
                error);
            (void)increment(errors, line);
            g_free(line);
            g_free(error);
        }
    }
    g_hash_table_iter_init(&iter, errors);
    while (g_hash_table_iter_next(&iter, &text, &count)) {
        g_print("# %u x %s\n", GPOINTER_TO_UINT(count), (char *)text);
    }
    g_hash_table_unref(errors);
}

void
harness_check_responses(struct harness_fleet *fleet, const GPtrArray *answers,
                        struct harness_check_result *verdict)
{
    struct runs runs = {new_counts(), new_counts(), new_counts()};
    GHashTable *bodies = new_counts();
    memset(verdict, 0, sizeof *verdict);
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        check_record(&fleet->upstreams[i], &runs, verdict);
    }
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_response *answer = g_ptr_array_index(answers, i);
        (void)increment(
            bodies, answer->request_body == NULL ? "" : answer->request_body);
    }
    for (guint i = 0; i < answers->len; i++) {
        count_response(g_ptr_array_index(answers, i), &runs, bodies, verdict);
    }
    print_errors(answers);
    g_hash_table_unref(bodies);
    g_hash_table_unref(runs.ids);
    g_hash_table_unref(runs.bodies);
    g_hash_table_unref(runs.keys);
}

void
harness_assert_guarantees(const char *name,
                          const struct harness_check_result *verdict)
{
    g_print("figure: %s: %u responses, %u correct, %u refused (not-run), "
            "%u failed, %u connections lost; %u incorrect without a key\n",
            name, verdict->responses, verdict->correct, verdict->refused,
            verdict->failed, verdict->broken_connections,
            verdict->unkeyed_incorrect);
    g_assert_cmpuint(verdict->ran_twice, ==, 0);
    g_assert_cmpuint(verdict->not_run_ran, ==, 0);
    g_assert_cmpuint(verdict->wrong_responses, ==, 0);
    g_assert_cmpuint(verdict->missing_outcome, ==, 0);
    g_assert_cmpuint(verdict->overcommits, ==, 0);
    g_assert_cmpuint(verdict->begun_after_draining, ==, 0);
}

/* Whether the response is correct and met its target: the first byte of a
 * stream, the end of any other response. */
static bool
met_target(const struct harness_response *answer)
{
    bool stream = answer->request_body != NULL &&
                  strstr(answer->request_body, "\"stream\":true") != NULL;
    int64_t took = (stream ? answer->first_byte_at_ms : answer->ended_at_ms) -
                   answer->sent_at_ms;
    return harness_response_is_correct(answer) &&
           (answer->target_ms == 0 || took <= answer->target_ms);
}

struct share {
    unsigned met;
    unsigned all;
};

/* 100 if there were no requests. */
static double
percent(const struct share *share)
{
    return share->all == 0 ? 100.0 : 100.0 * share->met / share->all;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const int64_t *first = a;
    const int64_t *second = b;
    return (*first > *second) - (*first < *second);
}

/* The longest time until end between two correct responses to requests with a
 * key, or to those without; the time from the last one to end counts. */
static int64_t
longest_gap(const GPtrArray *answers, bool keyed, int64_t end)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    int64_t longest = 0;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_response *answer = g_ptr_array_index(answers, i);
        if ((answer->key != NULL) == keyed && answer->ended_at_ms <= end &&
            harness_response_is_correct(answer)) {
            g_array_append_val(times, answer->ended_at_ms);
        }
    }
    if (times->len > 0) {
        g_array_append_val(times, end);
    }
    g_array_sort(times, compare_times);
    for (guint i = 1; i < times->len; i++) {
        longest = MAX(longest, g_array_index(times, int64_t, i) -
                                   g_array_index(times, int64_t, i - 1));
    }
    g_array_unref(times);
    return longest;
}

void
harness_measure_impact(const char *name, const GPtrArray *answers,
                       int64_t begun, int64_t ended,
                       struct harness_impact *figures)
{
    struct share shares[2][3] = {0};
    int64_t last = begun;
    int64_t end = begun;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_response *answer = g_ptr_array_index(answers, i);
        bool correct = met_target(answer);
        size_t phase = answer->sent_at_ms < begun
                           ? 0
                           : (answer->sent_at_ms < ended ? 1 : 2);
        struct share *share = &shares[answer->key != NULL ? 1 : 0][phase];
        share->all++;
        share->met += correct ? 1 : 0;
        end = MAX(end, answer->sent_at_ms);
        if (!correct && answer->sent_at_ms >= begun) {
            last = MAX(last, answer->sent_at_ms);
        }
    }
    figures->before_percent = percent(&shares[0][0]);
    figures->during_percent = percent(&shares[0][1]);
    figures->after_percent = percent(&shares[0][2]);
    figures->keyed_before_percent = percent(&shares[1][0]);
    figures->keyed_during_percent = percent(&shares[1][1]);
    figures->keyed_after_percent = percent(&shares[1][2]);
    figures->longest_gap_ms = longest_gap(answers, false, end);
    figures->keyed_longest_gap_ms = longest_gap(answers, true, end);
    figures->recovery_ms = last > end - RECOVERY_WINDOW_MS ? -1 : last - begun;
    g_print("figure: %s: longest gap %" PRId64 " ms, of orders %" PRId64
            " ms; met target %.1f%% before, %.1f%% during, %.1f%% after, "
            "orders %.1f%%, %.1f%%, %.1f%%; recovered %" PRId64
            " ms after the fault began\n",
            name, figures->longest_gap_ms, figures->keyed_longest_gap_ms,
            figures->before_percent, figures->during_percent,
            figures->after_percent, figures->keyed_before_percent,
            figures->keyed_during_percent, figures->keyed_after_percent,
            figures->recovery_ms);
}
