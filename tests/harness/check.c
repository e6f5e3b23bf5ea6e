/* Holds what callers were told against what the upstreams ran. */

#include "harness/harness.h"

#include <inttypes.h>
#include <string.h>

enum {
    LEFT_LIMIT_MS = 5000,
    SETTLED_MS = 500, /* of good service at the end, to count as recovered */
};

/* What the upstreams ran, by request id, key and body. */
struct runs {
    GHashTable *ids;
    GHashTable *bodies; /* hash text to count */
    GHashTable *keys;
};

/* Adds one to a name's count; the new count. */
static unsigned
count_up(GHashTable *table, const char *name)
{
    unsigned count = GPOINTER_TO_UINT(g_hash_table_lookup(table, name)) + 1;
    g_hash_table_replace(table, g_strdup(name), GUINT_TO_POINTER(count));
    return count;
}

/* A table of counts. */
static GHashTable *
counts_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Takes in one run. */
static void
take_run(const struct harness_upstream *upstream, JsonObject *run,
         struct runs *runs, struct harness_verdict *verdict)
{
    const char *key = json_object_get_string_member(run, "key");
    const char *body = json_object_get_string_member(run, "body_hash");
    bool again = count_up(runs->bodies, body) > 1;
    bool key_again = key[0] != '\0' && count_up(runs->keys, key) > 1;
    (void)count_up(runs->ids,
                   json_object_get_string_member(run, "request_id"));
    /* Each order has a body of its own: the same body again is a repeat. */
    if (upstream->service != NULL && (again || key_again)) {
        verdict->ran_twice++;
        g_printerr("ran twice at %s: %s %s\n", upstream->name, key,
                   json_object_get_string_member(run, "request_id"));
    }
    if (upstream->left_at != 0 && json_object_get_int_member(run, "at_ms") >
                                      upstream->left_at + LEFT_LIMIT_MS) {
        verdict->after_left++;
    }
}

/* Takes in an upstream's record. */
static void
take_record(const struct harness_upstream *upstream, struct runs *runs,
            struct harness_verdict *verdict)
{
    JsonNode *node = harness_record(&upstream->standin);
    JsonObject *record = json_node_get_object(node);
    JsonArray *list = json_object_get_array_member(record, "runs");
    for (guint i = 0; i < json_array_get_length(list); i++) {
        take_run(upstream, json_array_get_object_element(list, i), runs,
                 verdict);
    }
    if (upstream->service == NULL) {
        verdict->overcommit +=
            (unsigned)json_object_get_int_member(record, "overcommits");
    }
    json_node_unref(node);
}

/* True when the stream tells its caller how it ended. */
static bool
stream_told(const struct harness_answer *answer)
{
    return strstr(answer->text->str, "data: {\"error\"") != NULL;
}

/* True when the caller takes the answer for whole. */
static bool
looks_whole(const struct harness_answer *answer)
{
    bool stream = answer->body != NULL &&
                  strstr(answer->body, "\"stream\":true") != NULL;
    return !stream || g_str_has_suffix(answer->text->str, "data: [DONE]\n\n");
}

/* An answer with status 200. */
static void
judge_accepted(const struct harness_answer *answer,
               struct harness_verdict *verdict)
{
    if (harness_answer_good(answer)) {
        verdict->good++;
    }
    else if (looks_whole(answer)) {
        verdict->wrong++;
        g_printerr("wrong answer to %s: %s\n", answer->body,
                   answer->text->str);
    }
    else if (stream_told(answer)) {
        verdict->failed++;
    }
    else {
        verdict->untold++;
        g_printerr("cut without telling: %s\n", answer->body);
    }
}

/* An error; bodies: how often each was sent. */
static void
judge_error(const struct harness_answer *answer, const struct runs *runs,
            GHashTable *bodies, struct harness_verdict *verdict)
{
    char hash[20];
    const char *body = answer->body == NULL ? "" : answer->body;
    (void)g_snprintf(hash, sizeof hash, "%016" PRIx64, ch_hash_string(body));
    if (answer->outcome == NULL || answer->code == 0) {
        verdict->untold++;
        g_printerr("status %d without outcome: %s\n", answer->status,
                   answer->text->str);
    }
    if (g_strcmp0(answer->outcome, "not-run") != 0) {
        verdict->failed++;
        return;
    }
    verdict->refused++;
    bool once = GPOINTER_TO_UINT(g_hash_table_lookup(bodies, body)) == 1;
    if ((answer->request_id != NULL &&
         g_hash_table_contains(runs->ids, answer->request_id)) ||
        (once && g_hash_table_contains(runs->bodies, hash))) {
        verdict->not_run_ran++;
        g_printerr("not-run, but it ran: %s %s\n", body, answer->text->str);
    }
}

/* Counts one answer. */
static void
judge_answer(const struct harness_answer *answer, const struct runs *runs,
             GHashTable *bodies, struct harness_verdict *verdict)
{
    unsigned good = verdict->good;
    verdict->answers++;
    if (answer->curl != 0) {
        verdict->broken++;
    }
    else if (answer->status == 200) {
        judge_accepted(answer, verdict);
    }
    else {
        judge_error(answer, runs, bodies, verdict);
    }
    if (answer->key == NULL && verdict->good == good) {
        verdict->idempotent_bad++;
    }
}

/* The answer's error as "CODE MESSAGE"; g_free. */
static char *
error_text(const struct harness_answer *answer)
{
    const char *found = strstr(answer->text->str, "\"message\":\"");
    if (answer->curl != 0) {
        return g_strdup_printf("connection broken (%d)", answer->curl);
    }
    found = found == NULL ? "" : found + strlen("\"message\":\"");
    return g_strdup_printf("%s %d %.*s",
                           answer->outcome == NULL ? "-" : answer->outcome,
                           answer->code, (int)strcspn(found, "\""), found);
}

/* Prints how often each error came. */
static void
print_errors(const GPtrArray *answers)
{
    GHashTable *errors = counts_new();
    GHashTableIter iter;
    gpointer text;
    gpointer count;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_answer *answer = g_ptr_array_index(answers, i);
        if (!harness_answer_good(answer)) {
            char *error = error_text(answer);
            char *line = g_strdup_printf(
                "%s: %s", answer->class_name ? answer->class_name : "-",
                error);
            (void)count_up(errors, line);
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

/* Compares every answer with every record. */
void
harness_check(struct harness_fleet *fleet, const GPtrArray *answers,
              struct harness_verdict *verdict)
{
    struct runs runs = {counts_new(), counts_new(), counts_new()};
    GHashTable *bodies = counts_new();
    memset(verdict, 0, sizeof *verdict);
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        take_record(&fleet->upstreams[i], &runs, verdict);
    }
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_answer *answer = g_ptr_array_index(answers, i);
        (void)count_up(bodies, answer->body == NULL ? "" : answer->body);
    }
    for (guint i = 0; i < answers->len; i++) {
        judge_answer(g_ptr_array_index(answers, i), &runs, bodies, verdict);
    }
    print_errors(answers);
    g_hash_table_unref(bodies);
    g_hash_table_unref(runs.ids);
    g_hash_table_unref(runs.bodies);
    g_hash_table_unref(runs.keys);
}

/* Prints the verdict; the test fails when a promise was broken. */
void
harness_assert(const char *name, const struct harness_verdict *verdict)
{
    g_print("figure: %s: %u answers, %u good, %u refused not-run, %u failed "
            "and told, %u connections broken; %u of them without a key\n",
            name, verdict->answers, verdict->good, verdict->refused,
            verdict->failed, verdict->broken, verdict->idempotent_bad);
    g_assert_cmpuint(verdict->ran_twice, ==, 0);
    g_assert_cmpuint(verdict->not_run_ran, ==, 0);
    g_assert_cmpuint(verdict->wrong, ==, 0);
    g_assert_cmpuint(verdict->untold, ==, 0);
    g_assert_cmpuint(verdict->overcommit, ==, 0);
    g_assert_cmpuint(verdict->after_left, ==, 0);
}

/* True when the answer is good and came within its target. */
static bool
met(const struct harness_answer *answer)
{
    bool stream = answer->body != NULL &&
                  strstr(answer->body, "\"stream\":true") != NULL;
    int64_t took = (stream ? answer->first : answer->ended) - answer->sent;
    return harness_answer_good(answer) &&
           (answer->target_ms == 0 || took <= answer->target_ms);
}

struct share {
    unsigned met;
    unsigned all;
};

/* A share in percent; 100 of nothing. */
static double
percent(const struct share *share)
{
    return share->all == 0 ? 100.0 : 100.0 * share->met / share->all;
}

/* Orders times. */
static gint
by_time(gconstpointer a, gconstpointer b)
{
    const int64_t *one = a;
    const int64_t *two = b;
    return (*one > *two) - (*one < *two);
}

/* The longest time between two good answers, of calls with a key or of those
 * without one. */
static int64_t
longest_gap(const GPtrArray *answers, bool keyed, int64_t end)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    int64_t longest = 0;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_answer *answer = g_ptr_array_index(answers, i);
        if ((answer->key != NULL) == keyed && answer->ended <= end &&
            harness_answer_good(answer)) {
            g_array_append_val(times, answer->ended);
        }
    }
    if (times->len > 0) {
        g_array_append_val(times, end);
    }
    g_array_sort(times, by_time);
    for (guint i = 1; i < times->len; i++) {
        longest = MAX(longest, g_array_index(times, int64_t, i) -
                                   g_array_index(times, int64_t, i - 1));
    }
    g_array_unref(times);
    return longest;
}

/* Measures what callers felt of a fault between begun and ended. */
void
harness_measure(const char *name, const GPtrArray *answers, int64_t begun,
                int64_t ended, struct harness_figures *figures)
{
    struct share shares[2][3] = {0};
    int64_t last = begun;
    int64_t end = begun;
    for (guint i = 0; i < answers->len; i++) {
        const struct harness_answer *answer = g_ptr_array_index(answers, i);
        bool good = met(answer);
        size_t when =
            answer->sent < begun ? 0 : (answer->sent < ended ? 1 : 2);
        struct share *share = &shares[answer->key != NULL ? 1 : 0][when];
        share->all++;
        share->met += good ? 1 : 0;
        end = MAX(end, answer->sent);
        if (!good && answer->sent >= begun) {
            last = MAX(last, answer->sent);
        }
    }
    figures->before = percent(&shares[0][0]);
    figures->during = percent(&shares[0][1]);
    figures->after = percent(&shares[0][2]);
    figures->orders_before = percent(&shares[1][0]);
    figures->orders_during = percent(&shares[1][1]);
    figures->orders_after = percent(&shares[1][2]);
    figures->longest_gap = longest_gap(answers, false, end);
    figures->orders_gap = longest_gap(answers, true, end);
    figures->recovered = last > end - SETTLED_MS ? -1 : last - begun;
    g_print("figure: %s: longest gap %" PRId64 " ms, of orders %" PRId64
            " ms; met target %.1f%% before, %.1f%% during, %.1f%% after, "
            "orders %.1f%%, %.1f%%, %.1f%%; recovered %" PRId64
            " ms after the fault began\n",
            name, figures->longest_gap, figures->orders_gap, figures->before,
            figures->during, figures->after, figures->orders_before,
            figures->orders_during, figures->orders_after, figures->recovered);
}
