/* Tests of the age of copies of a list, and of which nodes read it. */

#include "freshness/freshness.h"

#define MS INT64_C(1000)

enum {
    BOUND_US = 3000 * MS,
    MAX_NODES = 320,
    TICK_US = 100 * MS,
    RUN_US = 20000 * MS,
    FAULT_US = 6000 * MS, /* when nodes lose the store */
    /* Four round trips to a store in another region, one for each page. */
    CALL_US = 256 * MS,
    MESSAGE_US = 30 * MS,
    CALL_TIMEOUT_US = 1000 * MS,
    MIN_BACKOFF_US = 250 * MS,
    MAX_BACKOFF_US = 2000 * MS,
};

/* ---- a fleet in virtual time ---- */

struct node {
    struct ch_freshness freshness;
    bool reaches_store;
    bool in_flight;
    int64_t sent_at;
    int64_t ends_at;
    int64_t wait;
    bool fails;
    int64_t backoff;
    int64_t next_call_at;
    int64_t heard_at; /* when the message of heard_age comes; 0: none */
    int64_t heard_age;
    bool heard_preceding;
    bool was_reader;
};

struct fleet {
    struct node nodes[MAX_NODES];
    size_t count;
    bool silent; /* calls of nodes without the store hang */
    unsigned calls;
};

static void
start_call(struct fleet *fleet, struct node *node, bool is_reader, int64_t now)
{
    bool begins = is_reader && !node->was_reader;
    node->was_reader = is_reader;
    if (!is_reader || node->in_flight || now < node->next_call_at) {
        return;
    }
    node->in_flight = true;
    node->sent_at = now;
    node->wait = begins ? 0
                        : ch_freshness_get_wait(&node->freshness,
                                                g_random_double(), now);
    node->fails = !node->reaches_store;
    node->ends_at = now + node->wait + CALL_US;
    if (node->fails) {
        node->ends_at =
            fleet->silent ? now + node->wait + CALL_TIMEOUT_US : now + MS;
    }
    fleet->calls++;
}

/* Sends what node `from` knows to all others. */
static void
publish(struct fleet *fleet, size_t from, int64_t now)
{
    int64_t age = ch_freshness_get_age(&fleet->nodes[from].freshness, now);
    for (size_t i = 0; i < fleet->count; i++) {
        struct node *node = &fleet->nodes[i];
        if (i != from && (node->heard_at == 0 || age < node->heard_age)) {
            node->heard_at = now + MESSAGE_US;
            node->heard_age = age;
            node->heard_preceding = from < i;
        }
    }
}

static void
end_call(struct fleet *fleet, size_t index, int64_t now)
{
    struct node *node = &fleet->nodes[index];
    if (!node->in_flight || now < node->ends_at) {
        return;
    }
    node->in_flight = false;
    if (node->fails || !node->reaches_store) {
        node->backoff =
            CLAMP(node->backoff * 2, MIN_BACKOFF_US, MAX_BACKOFF_US);
        node->next_call_at = now + node->backoff;
        return;
    }
    node->backoff = 0;
    ch_freshness_confirm(&node->freshness, node->sent_at + node->wait);
    publish(fleet, index, now);
}

/* One tick of all nodes; returns the age of the oldest copy. */
static int64_t
run_tick(struct fleet *fleet, int64_t now)
{
    int64_t oldest = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        struct node *node = &fleet->nodes[i];
        if (node->heard_at != 0 && now >= node->heard_at) {
            ch_freshness_receive(&node->freshness, node->heard_age,
                                 node->heard_preceding, now);
            node->heard_at = 0;
        }
        end_call(fleet, i, now);
        start_call(fleet, node, ch_freshness_update(&node->freshness, i, now),
                   now);
        int64_t age = ch_freshness_get_age(&node->freshness, now);
        oldest = MAX(oldest, age);
    }
    return oldest;
}

static unsigned
count_readers(const struct fleet *fleet)
{
    unsigned count = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        count += fleet->nodes[i].was_reader ? 1 : 0;
    }
    return count;
}

static const struct loss {
    const char *what;
    size_t node_count;
    size_t first_able; /* nodes that rank before it lose the store, */
    size_t able_step;  /* and behind it all but each able_step'th */
    bool silent;
    unsigned max_calls_s; /* from the fault on, all nodes together */
} losses[] = {
    {"all is well, 7 nodes", 7, 0, 1, false, 5},
    {"all is well, 320 nodes", 320, 0, 1, false, 5},
    {"the first three refused, 7 nodes", 7, 3, 1, false, 10},
    {"the first three silent, 7 nodes", 7, 3, 1, true, 10},
    {"all but the last silent, 7 nodes", 7, 6, 1, true, 15},
    {"nine in ten refused, 75 nodes", 75, 9, 10, false, 50},
    {"nine in ten silent, 75 nodes", 75, 9, 10, true, 50},
    {"nine in ten silent, 320 nodes", 320, 9, 10, true, 50},
    {"all but the last silent, 75 nodes", 75, 74, 1, true, 75},
    {"all but the last silent, 320 nodes", 320, 319, 1, true, 320},
};

/* Guards against nodes that do not learn of changes, as those that read the
 * list for all have lost the store. */
static void
test_losses(void)
{
    for (size_t row = 0; row < G_N_ELEMENTS(losses); row++) {
        const struct loss *loss = &losses[row];
        struct fleet *fleet = g_new0(struct fleet, 1);
        int64_t oldest = 0;
        unsigned calls_before = 0;
        fleet->count = loss->node_count;
        fleet->silent = loss->silent;
        for (size_t i = 0; i < fleet->count; i++) {
            fleet->nodes[i].reaches_store = true;
            ch_freshness_init(&fleet->nodes[i].freshness, BOUND_US, MS);
        }
        for (int64_t now = TICK_US; now < RUN_US; now += TICK_US) {
            if (now == FAULT_US) {
                calls_before = fleet->calls;
                for (size_t i = 0; i < fleet->count; i++) {
                    fleet->nodes[i].reaches_store =
                        i >= loss->first_able &&
                        (i - loss->first_able) % loss->able_step == 0;
                }
            }
            int64_t age = run_tick(fleet, now);
            oldest = now > FAULT_US ? MAX(oldest, age) : oldest;
        }
        double calls = (double)(fleet->calls - calls_before) * G_USEC_PER_SEC /
                       (double)(RUN_US - FAULT_US);
        g_test_message("%s: oldest copy %" G_GINT64_FORMAT
                       " ms, %.1f calls a second, %u readers at the end",
                       loss->what, oldest / MS, calls, count_readers(fleet));
        g_assert_cmpint(oldest, <, BOUND_US);
        g_assert_cmpfloat(calls, <=, loss->max_calls_s);
        g_free(fleet);
    }
}

/* ---- one copy ---- */

static void
test_age(void)
{
    struct ch_freshness freshness;
    ch_freshness_init(&freshness, BOUND_US, 0);
    g_assert_cmpint(ch_freshness_get_age(&freshness, MS), ==, G_MAXINT64);
    g_assert_false(
        ch_freshness_update_late(&freshness, (int64_t)10 * BOUND_US));
    ch_freshness_confirm(&freshness, 5 * MS);
    g_assert_cmpint(ch_freshness_get_age(&freshness, 8 * MS), ==, 3 * MS);
    ch_freshness_confirm(&freshness, 2 * MS); /* an older call ends later */
    g_assert_cmpint(ch_freshness_get_age(&freshness, 8 * MS), ==, 3 * MS);
    ch_freshness_receive(&freshness, 4 * MS, false, 10 * MS);
    g_assert_cmpint(ch_freshness_get_age(&freshness, 10 * MS), ==, 4 * MS);
    g_assert_true(ch_freshness_update_late(&freshness, (int64_t)2 * BOUND_US));
    g_assert_false(
        ch_freshness_update_late(&freshness, (int64_t)2 * BOUND_US));
    ch_freshness_confirm(&freshness, (int64_t)2 * BOUND_US);
    g_assert_true(ch_freshness_update_late(&freshness, (int64_t)2 * BOUND_US));
}

/* Guards against a node that stood still and takes the messages that waited
 * for it for news. */
static void
test_pause(void)
{
    struct ch_freshness freshness;
    int64_t now = MS;
    ch_freshness_init(&freshness, BOUND_US, now);
    ch_freshness_receive(&freshness, 0, true, now);
    ch_freshness_update(&freshness, 4, now);
    now += 4000 * MS;
    ch_freshness_receive(&freshness, 0, true, now);
    g_assert_cmpint(ch_freshness_get_age(&freshness, now), ==, 4000 * MS);
    g_assert_true(ch_freshness_update(&freshness, 4, now));
    ch_freshness_receive(&freshness, 0, true, now + MS);
    g_assert_cmpint(ch_freshness_get_age(&freshness, now + MS), >, 4000 * MS);
    for (int i = 1; i <= 10; i++) {
        ch_freshness_update(&freshness, 4, now + (int64_t)i * TICK_US);
    }
    now += (int64_t)11 * TICK_US;
    ch_freshness_receive(&freshness, 0, true, now);
    g_assert_cmpint(ch_freshness_get_age(&freshness, now), ==, 0);
}

static const struct watch_row {
    const char *what;
    int64_t wait;
    bool has_changes;
    int64_t ended_after;
    int64_t confirmed_after;
} watch_rows[] = {
    {"nothing changed", 1000 * MS, false, 1060 * MS, 1000 * MS},
    {"nothing changed, answered too soon", 1000 * MS, false, 200 * MS, 0},
    {"a change", 1000 * MS, true, 900 * MS, 0},
    {"an answer that was held up", 1000 * MS, false, 1900 * MS, 1000 * MS},
};

static void
test_watches(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(watch_rows); i++) {
        const struct watch_row *row = &watch_rows[i];
        g_test_message("%s", row->what);
        g_assert_cmpint(ch_freshness_get_watch_time(MS, row->wait,
                                                    row->has_changes,
                                                    MS + row->ended_after),
                        ==, MS + row->confirmed_after);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/freshness/age", test_age);
    g_test_add_func("/freshness/watches", test_watches);
    g_test_add_func("/freshness/pause", test_pause);
    g_test_add_func("/freshness/losses", test_losses);
    return g_test_run();
}
