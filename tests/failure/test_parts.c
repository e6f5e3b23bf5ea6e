/*
 * Guards against upstreams that a part of a prompt crashes one after the
 * other, under requests of which no two are alike, and against sound requests
 * that are refused because they share the other parts, or because upstreams
 * crash together for another reason.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MODELS "m1,m2"
#define FIRST_PART "f1:350"
#define CRASH_PART "dead01:100"
#define OTHER_CRASH_PART "dead02:100"

enum {
    NODES = 7,
    WORKERS = 6,
    SOUND_CALLERS = 30,
    CRASHING_CALLERS = 3,
    EVENTS = 12, /* at 20 ms each */
    DEADLINE_MS = 4 * 1000,
    CRASH_MS = 1000, /* until a worker is back */
    MAX_TRIES = 2,   /* of a caller for one request */
    CRASHING_PAUSE_MS = 200,
    WARM_UP_MS = 1500,
    BEFORE_MS = 2500,
    DURING_MS = 13 * 1000,
    AFTER_MS = 4 * 1000,
    /* Sends that reach upstreams from STABLE_MS after the crash of this number
     * on, at most MAX_LATE_SENDS, and sound requests from twice that time on,
     * begin at least half as often as before. */
    CRASHES = 5,
    STABLE_MS = 4000,
    MAX_LATE_SENDS = 3,
};

/* ---- callers ---- */

/* A sound request's first attempt. */
struct attempt {
    int64_t at_ms;
    bool began;
};

struct callers {
    struct harness_fleet *fleet;
    pthread_mutex_t lock;
    bool stopped;
    bool crashing; /* requests that crash workers are sent as well */
    bool has_two_parts;
    unsigned last_id;
    GArray *attempts; /* struct attempt */
    unsigned barred;  /* sound requests refused as they crash upstreams */
};

struct caller {
    struct callers *callers;
    unsigned number;
    bool is_crashing;
};

/* Sends one attempt to a random node; returns whether the answer began. */
static bool
send_attempt(struct callers *callers, GRand *random, const char *id,
             const char *prefix, int64_t *retry_after_ms)
{
    const struct harness_node *node =
        &callers->fleet->nodes[g_rand_int_range(random, 0, NODES)];
    const struct harness_stream_call call = {
        .address = node->caller_address,
        .host = HARNESS_USERS_HOST,
        .path = HARNESS_USERS_PATH,
        .request_id = id,
        .model = g_rand_boolean(random) ? "m1" : "m2",
        .prompt_prefix = prefix,
        .body = prefix,
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
    };
    struct harness_stream *stream = harness_request_stream(&call);
    bool began = stream->status == 200 && stream->body->len > 0;
    *retry_after_ms = (int64_t)(stream->retry_after_s * 1000);
    if (strstr(stream->body->str, "crashed under this request") != NULL &&
        strstr(prefix, "dead") == NULL) {
        pthread_mutex_lock(&callers->lock);
        callers->barred++;
        pthread_mutex_unlock(&callers->lock);
    }
    harness_stream_free(stream);
    return began;
}

/* The parts of a request's prompt: the first part is shared by all, the second
 * by some, the last is its own. */
static char *
make_prefix(const struct caller *caller, GRand *random, const char *id)
{
    const char *crash_part =
        caller->callers->has_two_parts && g_rand_boolean(random)
            ? OTHER_CRASH_PART
            : CRASH_PART;
    int shared = g_rand_int_range(random, 0, 8);
    return caller->is_crashing
               ? g_strdup_printf(FIRST_PART ",%s,b%d:50,%s:50", crash_part,
                                 shared, id)
               : g_strdup_printf(FIRST_PART ",a%d:100,b%d:50,%s:50",
                                 g_rand_int_range(random, 0, 40), shared, id);
}

static void
send_request(struct caller *caller, GRand *random, const char *id)
{
    struct callers *callers = caller->callers;
    g_autofree char *prefix = make_prefix(caller, random, id);
    struct attempt attempt = {.at_ms = harness_now_ms()};
    int64_t retry_after_ms = 0;
    for (unsigned i = 0; i < MAX_TRIES; i++) {
        bool began =
            send_attempt(callers, random, id, prefix, &retry_after_ms);
        if (i == 0) {
            attempt.began = began;
        }
        if (began || retry_after_ms > DEADLINE_MS) {
            break;
        }
        harness_sleep_ms(CLAMP(retry_after_ms, 50, 1000));
    }
    if (!caller->is_crashing) {
        pthread_mutex_lock(&callers->lock);
        g_array_append_val(callers->attempts, attempt);
        pthread_mutex_unlock(&callers->lock);
    }
}

static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    struct callers *callers = caller->callers;
    GRand *random = g_rand_new_with_seed(1000 + caller->number);
    while (true) {
        char id[32];
        pthread_mutex_lock(&callers->lock);
        bool stopped = callers->stopped;
        bool rests = caller->is_crashing && !callers->crashing;
        (void)g_snprintf(id, sizeof id, "%08x", ++callers->last_id);
        pthread_mutex_unlock(&callers->lock);
        if (stopped) {
            break;
        }
        if (!rests) {
            send_request(caller, random, id);
        }
        harness_sleep_ms(caller->is_crashing ? CRASHING_PAUSE_MS : 20);
    }
    g_rand_free(random);
    return NULL;
}

/* ---- the upstreams' own record ---- */

/* Requests with a crashing part that reached upstreams, and the crashes. */
struct part_record {
    int64_t fifth_crash_ms; /* 0: there were fewer */
    unsigned crashes;
    unsigned sends;
    unsigned late_sends;
};

static struct part_record
read_parts(const struct harness_fleet *fleet)
{
    struct part_record result = {0};
    JsonNode *record = harness_get_record(&fleet->users);
    JsonArray *arrivals = json_object_get_array_member(
        json_node_get_object(record), "part_arrivals");
    for (guint i = 0; i < json_array_get_length(arrivals); i++) {
        JsonObject *arrival = json_array_get_object_element(arrivals, i);
        int64_t at = json_object_get_int_member(arrival, "at_ms");
        if (json_object_get_int_member(arrival, "crashed") != 0) {
            if (++result.crashes == CRASHES) {
                result.fifth_crash_ms = at;
            }
            continue;
        }
        result.sends++;
        result.late_sends += result.fifth_crash_ms != 0 &&
                                     at > result.fifth_crash_ms + STABLE_MS
                                 ? 1
                                 : 0;
    }
    json_node_unref(record);
    return result;
}

/* In percent, of the sound requests sent in a time. */
static unsigned
get_begun_percent(const struct callers *callers, int64_t from, int64_t to)
{
    unsigned sent = 0;
    unsigned began = 0;
    for (guint i = 0; i < callers->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(callers->attempts, struct attempt, i);
        if (attempt->at_ms >= from && attempt->at_ms < to) {
            sent++;
            began += attempt->began ? 1 : 0;
        }
    }
    g_assert_cmpuint(sent, >=, 20);
    return 100 * began / sent;
}

/* ---- scenarios ---- */

struct scenario {
    const char *name;
    unsigned crash_percent; /* of the requests with the part */
    bool has_two_parts;
    bool has_waves; /* workers end together, under no such request */
};

static const struct scenario scenarios[] = {
    {"no-two-alike", 100, false, false},
    {"two-parts", 100, true, false},
    {"crashes-half-of-the-time", 50, false, false},
    {"waves", 0, false, true},
};

static void
end_workers_together(struct harness_fleet *fleet, unsigned first)
{
    for (unsigned i = 0; i < 3; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof name, "e%u", (first + i) % WORKERS + 1);
        harness_users_change_worker(fleet, name, "crash");
    }
    harness_sleep_ms(500);
    for (unsigned i = 0; i < 3; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof name, "e%u", (first + i) % WORKERS + 1);
        harness_users_start_worker(fleet, name, "v1", MODELS);
    }
}

static void
run_faults(const struct scenario *scenario, struct harness_fleet *fleet)
{
    if (!scenario->has_waves) {
        harness_sleep_ms(DURING_MS);
        return;
    }
    for (unsigned i = 0; i < 9; i++) {
        end_workers_together(fleet, i);
        harness_sleep_ms(900);
    }
}

/* Kills all nodes at once and starts them again: what is known of the part
 * remains. */
static void
replace_nodes(struct harness_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_signal(&fleet->nodes[i], SIGKILL);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
}

/* ---- runs ---- */

static struct harness_fleet *
start_fleet(const struct scenario *scenario)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
    };
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    harness_set_faults(&fleet->users, "crash_percent=%u&crash_ms=%d",
                       scenario->crash_percent, CRASH_MS);
    const struct harness_users_config config = {.timeout_ms = 6000,
                                                .max_attempts = 2};
    harness_users_put_standard_config(fleet, &config);
    for (unsigned i = 0; i < WORKERS; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof name, "e%u", i + 1);
        harness_users_start_worker(fleet, name, "v1", MODELS);
    }
    harness_users_start_nodes(fleet);
    return fleet;
}

static void
set_crashing(struct callers *callers, bool crashing)
{
    pthread_mutex_lock(&callers->lock);
    callers->crashing = crashing;
    pthread_mutex_unlock(&callers->lock);
}

/* The times of a run, in milliseconds. */
struct times {
    int64_t before;
    int64_t begun;
    int64_t ended;
};

static void
check(const struct scenario *scenario, const struct callers *callers,
      const struct part_record *parts, const struct times *times)
{
    unsigned before = get_begun_percent(callers, times->before, times->begun);
    int64_t from = parts->fifth_crash_ms != 0
                       ? parts->fifth_crash_ms + 2 * (int64_t)STABLE_MS
                       : times->begun;
    unsigned during = from < times->ended
                          ? get_begun_percent(callers, from, times->ended)
                          : 0;
    g_print("figure: %s: %u sends with the part, %u upstreams ended, %u sends "
            "later than 4 s after the fifth; sound requests begun %u in 100 "
            "before, %u after, %u refused as crashing\n",
            scenario->name, parts->sends, parts->crashes, parts->late_sends,
            before, during, callers->barred);
    g_assert_cmpuint(parts->late_sends, <=, MAX_LATE_SENDS);
    g_assert_cmpuint(callers->barred, ==, 0);
    if (!scenario->has_waves) {
        g_assert_cmpfloat(during, >=, before / 2.0);
    }
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct harness_fleet *fleet = start_fleet(scenario);
    struct callers callers = {
        .fleet = fleet,
        .has_two_parts = scenario->has_two_parts,
        .attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt)),
    };
    struct caller caller[SOUND_CALLERS + CRASHING_CALLERS];
    GThread *threads[SOUND_CALLERS + CRASHING_CALLERS];
    struct times times = {0};
    pthread_mutex_init(&callers.lock, NULL);
    for (unsigned i = 0; i < G_N_ELEMENTS(caller); i++) {
        caller[i] = (struct caller){&callers, i, i >= SOUND_CALLERS};
        threads[i] = g_thread_new("caller", run_caller, &caller[i]);
    }
    harness_sleep_ms(WARM_UP_MS);
    times.before = harness_now_ms();
    harness_sleep_ms(BEFORE_MS);
    times.begun = harness_now_ms();
    set_crashing(&callers, scenario->crash_percent > 0);
    run_faults(scenario, fleet);
    times.ended = harness_now_ms();
    if (!scenario->has_waves) {
        replace_nodes(fleet);
        harness_sleep_ms(AFTER_MS);
    }
    pthread_mutex_lock(&callers.lock);
    callers.stopped = true;
    pthread_mutex_unlock(&callers.lock);
    for (unsigned i = 0; i < G_N_ELEMENTS(caller); i++) {
        (void)g_thread_join(threads[i]);
    }
    const struct part_record parts = read_parts(fleet);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    check(scenario, &callers, &parts, &times);
    g_array_free(callers.attempts, TRUE);
    pthread_mutex_destroy(&callers.lock);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "parts", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
