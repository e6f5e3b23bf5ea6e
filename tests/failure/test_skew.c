/*
 * Guards against callers that are refused because the platform hands most new
 * connections to one node, later to another: what a node may use of a shared
 * bound must follow the callers.
 */

#include "harness/harness.h"

#include <stdio.h>
#include <string.h>

#define MODELS "m1,m2"

enum {
    NODES = 7,
    ENGINES = 4,
    SERVICES = 3,
    CALLERS = 40,
    EVENTS = 10, /* at 20 ms each */
    ANSWER_MS = 15,
    DEADLINE_MS = 4 * 1000,
    MAX_TRIES = 3,
    PAUSE_MS = 60, /* of a caller between two requests */
    SKEWED_PERCENT = 80,
    WARM_UP_MS = 2000,
    EVEN_MS = 6 * 1000,
    SKEWED_MS = 10 * 1000, /* for each of two nodes */
    /* Served at the first attempt from this long after connections are skewed,
     * at least three quarters as often as before. */
    SETTLE_MS = 4000,
};

/* ---- callers ---- */

/* A request's first attempt that a node read. */
struct attempt {
    int64_t at_ms;
    bool served;
};

struct callers {
    struct harness_fleet *fleet;
    pthread_mutex_t lock;
    bool stopped;
    int skewed; /* the node that most connections go to; -1: none */
    unsigned last_id;
    GArray *attempts; /* struct attempt */
};

struct caller {
    struct callers *callers;
    guint32 seed;
};

static struct harness_stream *
send_attempt(struct callers *callers, GRand *random, unsigned node,
             const char *id)
{
    bool is_stream = g_rand_boolean(random);
    const char *model = g_rand_boolean(random) ? "m1" : "m2";
    const struct harness_stream_call call = {
        .address = callers->fleet->nodes[node].caller_address,
        .host = HARNESS_USERS_HOST,
        .path = is_stream ? HARNESS_USERS_PATH : HARNESS_USERS_ORDERS_PATH,
        .request_id = id,
        .model = is_stream ? model : NULL,
        .body = id,
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
    };
    return harness_request_stream(&call);
}

/* The node to which the platform hands a first attempt. */
static unsigned
choose_node(GRand *random, int skewed)
{
    if (skewed >= 0 && g_rand_int_range(random, 0, 100) < SKEWED_PERCENT) {
        return (unsigned)skewed;
    }
    return (unsigned)g_rand_int_range(random, 0, NODES);
}

/* One request; retries meet other nodes. An attempt that no node read does not
 * count if a later one is read. */
static void
send_request(struct callers *callers, GRand *random, const char *id,
             int skewed)
{
    struct attempt attempt = {.at_ms = harness_now_ms()};
    unsigned node = choose_node(random, skewed);
    for (unsigned i = 0; i < MAX_TRIES; i++) {
        struct harness_stream *stream =
            send_attempt(callers, random, (node + i) % NODES, id);
        bool was_read = stream->status != 0;
        attempt.served = stream->status == 200 && stream->complete;
        harness_stream_free(stream);
        if (was_read) {
            break;
        }
    }
    pthread_mutex_lock(&callers->lock);
    g_array_append_val(callers->attempts, attempt);
    pthread_mutex_unlock(&callers->lock);
}

static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    struct callers *callers = caller->callers;
    GRand *random = g_rand_new_with_seed(caller->seed);
    while (true) {
        char id[32];
        pthread_mutex_lock(&callers->lock);
        bool stopped = callers->stopped;
        int skewed = callers->skewed;
        (void)g_snprintf(id, sizeof id, "%08x", ++callers->last_id);
        pthread_mutex_unlock(&callers->lock);
        if (stopped) {
            break;
        }
        send_request(callers, random, id, skewed);
        harness_sleep_ms(PAUSE_MS);
    }
    g_rand_free(random);
    return NULL;
}

static void
set_skewed(struct callers *callers, int skewed)
{
    pthread_mutex_lock(&callers->lock);
    callers->skewed = skewed;
    pthread_mutex_unlock(&callers->lock);
}

/* In percent, of the requests sent in a time. */
static double
get_served_percent(const struct callers *callers, int64_t from, int64_t to)
{
    unsigned sent = 0;
    unsigned served = 0;
    for (guint i = 0; i < callers->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(callers->attempts, struct attempt, i);
        if (attempt->at_ms >= from && attempt->at_ms < to) {
            sent++;
            served += attempt->served ? 1 : 0;
        }
    }
    g_assert_cmpuint(sent, >=, 20);
    return 100.0 * served / sent;
}

/* ---- the run ---- */

static struct harness_fleet *
start_fleet(void)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
    };
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    harness_set_faults(&fleet->users, "slots=16&queue=16&answer_ms=%d",
                       ANSWER_MS);
    const struct harness_users_config config = {.slots = 16,
                                                .timeout_ms = 6000,
                                                .max_attempts = 2,
                                                .orders = "unsafe",
                                                .orders_target_ms = 300,
                                                .orders_connections = 100};
    harness_users_put_standard_config(fleet, &config);
    for (unsigned i = 0; i < ENGINES + SERVICES; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof name, "u%u", i + 1);
        if (i < ENGINES) {
            harness_users_start_worker(fleet, name, "v1", MODELS);
        }
        else {
            harness_users_start_service(fleet, name);
        }
    }
    harness_users_start_nodes(fleet);
    return fleet;
}

static void
test_most_connections_to_one_node(void)
{
    struct harness_fleet *fleet = start_fleet();
    struct callers callers = {
        .fleet = fleet,
        .skewed = -1,
        .attempts = g_array_new(FALSE, FALSE, sizeof(struct attempt)),
    };
    struct caller caller[CALLERS];
    GThread *threads[CALLERS];
    int64_t skewed_at[2];
    pthread_mutex_init(&callers.lock, NULL);
    for (unsigned i = 0; i < CALLERS; i++) {
        caller[i] = (struct caller){&callers, 1000 + i};
        threads[i] = g_thread_new("caller", run_caller, &caller[i]);
    }
    harness_sleep_ms(WARM_UP_MS);
    int64_t even_at = harness_now_ms();
    harness_sleep_ms(EVEN_MS);
    for (int i = 0; i < 2; i++) {
        skewed_at[i] = harness_now_ms();
        set_skewed(&callers, 2 + i);
        harness_sleep_ms(SKEWED_MS);
    }
    int64_t ended_at = harness_now_ms();
    pthread_mutex_lock(&callers.lock);
    callers.stopped = true;
    pthread_mutex_unlock(&callers.lock);
    for (unsigned i = 0; i < CALLERS; i++) {
        (void)g_thread_join(threads[i]);
    }
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    double even = get_served_percent(&callers, even_at, skewed_at[0]);
    double first =
        get_served_percent(&callers, skewed_at[0] + SETTLE_MS, skewed_at[1]);
    double second =
        get_served_percent(&callers, skewed_at[1] + SETTLE_MS, ended_at);
    g_print("figure: served at the first attempt that was read, in 100: %.1f "
            "spread evenly, %.1f and %.1f with %d in 100 of the connections "
            "at one node\n",
            even, first, second, SKEWED_PERCENT);
    g_assert_cmpfloat(even, >, 50);
    g_assert_cmpfloat(first, >=, even * 3 / 4);
    g_assert_cmpfloat(second, >=, even * 3 / 4);
    g_array_free(callers.attempts, TRUE);
    pthread_mutex_destroy(&callers.lock);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/skew/most-connections-to-one-node",
                    test_most_connections_to_one_node);
    return g_test_run();
}
