/* Slots of brittle upstreams: the count of all nodes' calls, and a fleet that
 * uses it. */

#include "unit/slots_fleet.h"

#define SECONDS(count) ((int64_t)(count)*G_USEC_PER_SEC)
#define START SECONDS(50)
#define MS(count) ((int64_t)(count)*1000)

enum {
    MIN_USED_PERCENT = 90,
    NODE_A = 1,
    NODE_B,
};

/* ---- the part of the room that a counter gives out ---- */

/* Guards against two counters on both sides of a cut giving out the same slot,
 * and against one that gives out none though it hears most nodes. */
static void
test_room(void)
{
    static const struct {
        size_t live;
        size_t listed;
        uint32_t slots;
        uint32_t calls;
    } rows[] = {
        {7, 7, 16, 16}, {0, 0, 16, 0}, {4, 7, 16, 9}, {3, 7, 16, 6},
        {7, 7, 1, 1},   {6, 7, 1, 1},  {4, 7, 1, 1},  {3, 7, 1, 0},
        {4, 7, 4, 2},   {3, 7, 4, 1},  {1, 7, 6, 0},  {2, 4, 6, 3},
        {9, 7, 64, 64},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpuint(
            ch_slots_get_room(rows[i].slots, 0, rows[i].live, rows[i].listed)
                .calls,
            ==, rows[i].calls);
    }
    for (uint32_t slots = 1; slots <= 64; slots++) {
        for (size_t listed = 1; listed <= 320; listed++) {
            for (size_t live = 0; live <= listed; live++) {
                uint32_t both =
                    ch_slots_get_room(slots, 0, live, listed).calls +
                    ch_slots_get_room(slots, 0, listed - live, listed).calls;
                g_assert_cmpuint(both, <=, slots);
            }
        }
    }
}

/* ---- the count ---- */

struct counter_test {
    struct ch_slots_counter *counter;
    struct ch_slots_account accounts[NODE_B + 1];
    struct ch_slots_room room;
    int64_t now;
    GArray *results;
};

static void
counter_test_init(struct counter_test *test, uint32_t slots, uint64_t tokens)
{
    test->now = START;
    test->counter = ch_slots_counter_new(77, test->now);
    test->room = (struct ch_slots_room){slots, tokens};
    test->results = g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    for (unsigned i = 0; i <= NODE_B; i++) {
        ch_slots_account_init(&test->accounts[i]);
    }
}

static void
counter_test_clear(struct counter_test *test)
{
    ch_slots_counter_free(test->counter);
    g_array_free(test->results, TRUE);
    for (unsigned i = 0; i <= NODE_B; i++) {
        ch_slots_account_clear(&test->accounts[i]);
    }
}

static void
tell(struct counter_test *test, GQuark node)
{
    const struct ch_slots_holding holding =
        ch_slots_account_get(&test->accounts[node], test->now);
    ch_slots_counter_hear(test->counter, node, &holding, test->now);
}

/* Runs the counter; the results replace the earlier ones. */
static unsigned
count_granted(struct counter_test *test)
{
    unsigned granted = 0;
    g_array_set_size(test->results, 0);
    ch_slots_counter_run(test->counter, &test->room, test->now, test->results);
    for (guint i = 0; i < test->results->len; i++) {
        granted +=
            g_array_index(test->results, struct ch_slots_result, i).grant != 0;
    }
    return granted;
}

static void
ask(struct counter_test *test, GQuark node, uint64_t ticket, uint32_t tokens,
    int64_t wait)
{
    tell(test, node);
    ch_slots_counter_ask(test->counter, node, ticket, tokens,
                         test->now + wait);
}

/* A node receives a permission and calls. */
static void
take_up(struct counter_test *test, GQuark node, uint64_t grant)
{
    ch_slots_account_begin(&test->accounts[node], 0);
    ch_slots_account_note_grant(&test->accounts[node], 77, grant, test->now);
}

/* Guards against a counter that gives out slots before it has heard of the
 * calls that the nodes have already. */
static void
test_settles(void)
{
    struct counter_test test;
    counter_test_init(&test, 2, 0);
    ask(&test, NODE_A, 1, 0, MS(3000));
    g_assert_cmpuint(count_granted(&test), ==, 0);
    ch_slots_account_begin(&test.accounts[NODE_B], 0);
    tell(&test, NODE_B);
    ask(&test, NODE_A, 2, 0, MS(3000));
    test.now += SECONDS(1);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    g_assert_cmpuint(ch_slots_counter_count_calls(test.counter), ==, 2);
    counter_test_clear(&test);
}

/* Guards against a slot that is given out twice because a permission is not
 * confirmed yet, or is confirmed out of order, and against one that is lost
 * for good with a message. */
static void
test_confirmation(void)
{
    struct counter_test test;
    counter_test_init(&test, 2, 0);
    test.now += SECONDS(1);
    ask(&test, NODE_A, 1, 0, MS(500));
    ask(&test, NODE_A, 2, 0, MS(500));
    g_assert_cmpuint(count_granted(&test), ==, 2);
    tell(&test, NODE_A); /* sent before the permissions arrived */
    ask(&test, NODE_B, 3, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    take_up(&test, NODE_A, 2); /* overtook the first */
    tell(&test, NODE_A);
    ask(&test, NODE_B, 4, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    take_up(&test, NODE_A, 1);
    tell(&test, NODE_A);
    g_assert_cmpuint(ch_slots_counter_count_calls(test.counter), ==, 2);
    ch_slots_account_end(&test.accounts[NODE_A], 0, CH_SLOTS_ENDED, test.now);
    tell(&test, NODE_A);
    ask(&test, NODE_B, 5, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    /* The reply with this permission is lost. */
    test.now += MS(1100);
    tell(&test, NODE_B);
    g_assert_cmpuint(ch_slots_counter_count_calls(test.counter), ==, 1);
    counter_test_clear(&test);
}

/* Guards against an upstream that looks full for ever because a node with
 * calls has ended. */
static void
test_silent_node(void)
{
    struct counter_test test;
    counter_test_init(&test, 1, 0);
    ch_slots_account_begin(&test.accounts[NODE_A], 0);
    tell(&test, NODE_A);
    for (unsigned i = 0; i < 10; i++) {
        test.now += MS(480);
        ask(&test, NODE_B, i, 0, 0);
        g_assert_cmpuint(count_granted(&test), ==, 0);
    }
    test.now += MS(400);
    ask(&test, NODE_B, 11, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    counter_test_clear(&test);
}

/* Guards against a call that is cut and still runs not being counted. */
static void
test_cut_call(void)
{
    struct counter_test test;
    counter_test_init(&test, 1, 0);
    test.now += SECONDS(1);
    ch_slots_account_begin(&test.accounts[NODE_A], 0);
    ch_slots_account_end(&test.accounts[NODE_A], 0, CH_SLOTS_CUT, test.now);
    tell(&test, NODE_A);
    ask(&test, NODE_B, 1, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    test.now += SECONDS(1);
    tell(&test, NODE_A);
    ask(&test, NODE_B, 2, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    counter_test_clear(&test);
}

/* Guards against more calls after a rejection than the upstream had room for
 * then. */
static void
test_rejection(void)
{
    struct counter_test test;
    counter_test_init(&test, 4, 0);
    test.now += SECONDS(1);
    for (unsigned i = 0; i < 3; i++) {
        ch_slots_account_begin(&test.accounts[NODE_A], 0);
    }
    tell(&test, NODE_A);
    ch_slots_account_end(&test.accounts[NODE_A], 0, CH_SLOTS_REJECTED,
                         test.now);
    tell(&test, NODE_A);
    ask(&test, NODE_B, 1, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    test.now += SECONDS(1);
    ask(&test, NODE_B, 2, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    counter_test_clear(&test);
}

/* Guards against calls that are sent though their tokens do not fit, and
 * against a large one that never gets its turn. */
static void
test_tokens(void)
{
    struct counter_test test;
    counter_test_init(&test, 16, 1000);
    test.now += SECONDS(1);
    ask(&test, NODE_A, 1, 600, MS(500));
    g_assert_cmpuint(count_granted(&test), ==, 1);
    ask(&test, NODE_A, 2, 500, MS(500));
    ask(&test, NODE_B, 3, 100, MS(500));
    g_assert_cmpuint(count_granted(&test), ==, 0);
    ask(&test, NODE_B, 4, 1001, MS(500));
    (void)count_granted(&test);
    g_assert_cmpuint(test.results->len, ==, 1);
    g_assert_cmpuint(
        g_array_index(test.results, struct ch_slots_result, 0).ticket, ==, 4);
    counter_test_clear(&test);
}

/* Guards against calls that are served out of turn, and against a refusal that
 * comes late or names no time. */
static void
test_order(void)
{
    struct counter_test test;
    counter_test_init(&test, 1, 0);
    test.now += SECONDS(1);
    ask(&test, NODE_A, 1, 0, MS(500));
    g_assert_cmpuint(count_granted(&test), ==, 1);
    take_up(&test, NODE_A, 1);
    ask(&test, NODE_B, 2, 0, MS(100));
    ask(&test, NODE_A, 3, 0, MS(500));
    ask(&test, NODE_A, 4, 0, 0);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    g_assert_cmpuint(test.results->len, ==, 1);
    const struct ch_slots_result *result =
        &g_array_index(test.results, struct ch_slots_result, 0);
    g_assert_cmpuint(result->ticket, ==, 4);
    g_assert_cmpint(result->retry_after, >, 0);
    test.now += MS(100);
    g_assert_cmpuint(count_granted(&test), ==, 0);
    g_assert_cmpuint(test.results->len, ==, 1);
    g_assert_cmpuint(
        g_array_index(test.results, struct ch_slots_result, 0).ticket, ==, 2);
    ch_slots_account_end(&test.accounts[NODE_A], 0, CH_SLOTS_ENDED, test.now);
    tell(&test, NODE_A);
    g_assert_cmpuint(count_granted(&test), ==, 1);
    g_assert_cmpuint(
        g_array_index(test.results, struct ch_slots_result, 0).ticket, ==, 3);
    counter_test_clear(&test);
}

/* Guards against nodes that go on with the numbers of an earlier counter. */
static void
test_new_counter(void)
{
    struct ch_slots_account account;
    ch_slots_account_init(&account);
    ch_slots_account_note_grant(&account, 1, 1, START);
    ch_slots_account_note_grant(&account, 1, 2, START);
    g_assert_cmpuint(ch_slots_account_get(&account, START).last_grant, ==, 2);
    ch_slots_account_note_grant(&account, 2, 1, START);
    g_assert_cmpuint(ch_slots_account_get(&account, START).last_grant, ==, 1);
    g_assert_cmpuint(ch_slots_account_get(&account, START).epoch, ==, 2);
    ch_slots_account_note_grant(&account, 2, 3, START);
    g_assert_cmpuint(ch_slots_account_get(&account, START).last_grant, ==, 1);
    g_assert_cmpuint(
        ch_slots_account_get(&account, START + SECONDS(1)).last_grant, ==, 3);
    ch_slots_account_clear(&account);
}

/* ---- a fleet ---- */

static unsigned
get_used_percent(const struct fleet *fleet, int64_t used_before,
                 int64_t duration)
{
    return (unsigned)(100 * (fleet->used_us - used_before) /
                      ((int64_t)fleet->slots * duration));
}

/* Guards against rejections, or unused slots while work waits, at any number
 * of nodes and slots. */
static void
test_fleet_sizes(void)
{
    static const unsigned slots[] = {1, 4, 16};
    static const unsigned nodes[] = {1, 7, 75, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(slots); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(nodes); j++) {
            struct fleet *fleet =
                fleet_new(FLEET_COUNTER, nodes[j], slots[i], 0, 1);
            double wanted = 6.0 * slots[i];
            fleet_run(fleet, SECONDS(3), wanted);
            int64_t used = fleet->used_us;
            fleet_run(fleet, SECONDS(10), wanted);
            unsigned percent = get_used_percent(fleet, used, SECONDS(10));
            g_test_message("%u slots, %u nodes: %u rejected, %u in 100 used",
                           slots[i], nodes[j], fleet->rejections->len,
                           percent);
            g_assert_cmpuint(fleet->rejections->len, ==, 0);
            g_assert_cmpuint(percent, >=, MIN_USED_PERCENT);
            fleet_free(fleet);
        }
    }
}

/* One random fault, or the end of one. */
static void
disturb(struct fleet *fleet)
{
    unsigned index = (unsigned)g_rand_int_range(fleet->random, 0,
                                                (gint32)fleet->node_count);
    struct fleet_node *node = &fleet->nodes[index];
    const struct fleet_change *last = fleet_at(node, fleet->now);
    if (node->change_count > FLEET_MAX_HISTORY - 3) {
        return;
    }
    if (node->frozen) {
        fleet_set_frozen(fleet, index, false);
    }
    else if (!last->running) {
        fleet_set_running(fleet, index, true);
    }
    else if (last->side != 0) {
        fleet_set_side(fleet, index, 0);
    }
    else {
        switch (g_rand_int_range(fleet->random, 0, 3)) {
        case 0:
            fleet_set_running(fleet, index, false);
            break;
        case 1:
            fleet_set_frozen(fleet, index, true);
            break;
        default:
            fleet_set_side(fleet, index, 1);
            break;
        }
    }
}

/* The seeds of a run: the environment variable SEEDS, or 6. */
static guint32
get_seed_count(void)
{
    const char *text = g_getenv("SEEDS");
    return text == NULL ? 6 : (guint32)g_ascii_strtoull(text, NULL, 10);
}

/* Guards against rejections of nodes that no fault touches while others are
 * killed, stand still or are cut off, the counting node too. N is 2: one call
 * more than that in a second lets the upstream fall over. */
static void
test_random_faults(void)
{
    static const unsigned nodes[] = {7, 75};
    unsigned worst = 0;
    double used = 0;
    unsigned runs = 0;
    for (guint32 seed = 1; seed <= get_seed_count(); seed++) {
        for (size_t j = 0; j < G_N_ELEMENTS(nodes); j++) {
            struct fleet *fleet =
                fleet_new(FLEET_COUNTER, nodes[j], 4 + seed % 3 * 6, 2, seed);
            fleet_run(fleet, SECONDS(3), 60);
            for (unsigned i = 0; i < 20; i++) {
                disturb(fleet);
                fleet_run(fleet, MS(g_rand_int_range(fleet->random, 50, 1500)),
                          60);
            }
            used +=
                (double)fleet->used_us /
                ((double)fleet->slots * (double)(fleet->now - SECONDS(100)));
            runs++;
            unsigned most = fleet_find_most_rejections(fleet);
            worst = MAX(worst, most);
            if (most > 2) {
                g_print("# seed %u, %u nodes: %u rejected in a second\n", seed,
                        nodes[j], most);
            }
            fleet_free(fleet);
        }
    }
    g_print("# worst second: %u rejected; %.0f in 100 of the slots used\n",
            worst, 100 * used / runs);
    g_assert_cmpuint(worst, <=, 2);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slots/room", test_room);
    g_test_add_func("/slots/settles", test_settles);
    g_test_add_func("/slots/confirmation", test_confirmation);
    g_test_add_func("/slots/silent-node", test_silent_node);
    g_test_add_func("/slots/cut-call", test_cut_call);
    g_test_add_func("/slots/rejection", test_rejection);
    g_test_add_func("/slots/tokens", test_tokens);
    g_test_add_func("/slots/order", test_order);
    g_test_add_func("/slots/new-counter", test_new_counter);
    g_test_add_func("/slots/fleet-sizes", test_fleet_sizes);
    g_test_add_func("/slots/random-faults", test_random_faults);
    return g_test_run();
}
