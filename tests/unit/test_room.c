/* Who is admitted while a model is short of room, and when the others may
 * return. */

#include "room/room.h"

#include <math.h>

#define S INT64_C(1000000) /* one second */
#define MS INT64_C(1000)

enum {
    MAX_PAIRS = 6,
    REQUESTS = 4000,
};

static GArray *
new_demands(const struct ch_room_demand *demands, size_t count)
{
    GArray *array = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    for (size_t i = 0; i < count && demands[i].work > 0; i++) {
        g_array_append_val(array, demands[i]);
    }
    return array;
}

/* Guards against a team or class that takes the room of others by sending
 * more, and against room that nobody gets although somebody asks for it. */
static void
test_divide(void)
{
    static const struct {
        const char *load;
        double room;
        struct ch_room_demand demands[MAX_PAIRS];
        double given[MAX_PAIRS];
    } rows[] = {
        {"one team alone", 4, {{0, 1, 4}}, {4}},
        {"one team alone asks for too much", 4, {{0, 1, 40}}, {4}},
        {"burst of one team", 4, {{0, 1, 7}, {0, 2, 1}, {0, 3, 1}}, {2, 1, 1}},
        {"burst of one team, others over their share",
         3,
         {{0, 1, 70}, {0, 2, 2}, {0, 3, 2}},
         {1, 1, 1}},
        {"two ranks over capacity", 4, {{20, 1, 4}, {10, 1, 3}}, {1, 3}},
        {"urgent rank fills all", 4, {{20, 1, 4}, {10, 2, 6}}, {0, 4}},
        {"burst in the urgent rank",
         4,
         {{0, 1, 9}, {0, 2, 1}, {10, 3, 1}},
         {3, 1, 0}},
        {"requests without a team", 2, {{0, 0, 3}, {0, 1, 3}}, {1, 1}},
        {"no room", 0, {{0, 1, 1}}, {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        GArray *demands = new_demands(rows[i].demands, MAX_PAIRS);
        GArray *shares =
            g_array_new(FALSE, FALSE, sizeof(struct ch_room_share));
        g_test_message("%s", rows[i].load);
        ch_room_divide(demands, rows[i].room, shares);
        g_assert_cmpuint(shares->len, ==, demands->len);
        for (guint j = 0; j < demands->len; j++) {
            const struct ch_room_demand *demand = &rows[i].demands[j];
            double admitted =
                ch_room_find_admitted(shares, demand->rank, demand->team);
            g_assert_cmpfloat_with_epsilon(admitted * demand->work,
                                           rows[i].given[j], 1e-9);
        }
        g_array_free(demands, TRUE);
        g_array_free(shares, TRUE);
    }
}

/* Guards against a refused newcomer while others of its rank, or less urgent
 * ranks, are admitted. */
static void
test_unknown_pairs(void)
{
    static const struct ch_room_share listed[] = {
        {10, 1, 1}, {20, 1, 0.2}, {20, 2, 0.6}, {40, 1, 0}};
    static const struct {
        uint32_t rank;
        uint64_t team;
        double admitted;
    } rows[] = {
        {20, 1, 0.2}, {20, 3, 0.6}, {10, 3, 1}, {0, 3, 1},
        {15, 3, 1},   {30, 3, 0},   {40, 3, 0}, {50, 3, 0},
    };
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(struct ch_room_share));
    g_assert_cmpfloat(ch_room_find_admitted(shares, 0, 1), ==, 1);
    g_array_append_vals(shares, listed, G_N_ELEMENTS(listed));
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpfloat(
            ch_room_find_admitted(shares, rows[i].rank, rows[i].team), ==,
            rows[i].admitted);
    }
    g_array_free(shares, TRUE);
}

/* Guards against large requests that are refused more often than small ones,
 * and against a share that a team gets beside what it got in time. */
static void
test_admission(void)
{
    static const struct {
        const char *load;
        double admitted;
        int64_t work;
        struct ch_room_use use;
        double expected;
    } rows[] = {
        {"all short", 0.25, 10 * MS, {4, 4}, 0.25},
        {"large requests", 0.25, 10 * S, {4, 4}, 0.25},
        {"half was sent in time", 0.75, 10 * MS, {4, 2}, 0.5},
        {"the share was sent in time", 0.25, 10 * MS, {4, 2}, 0},
        {"everything is admitted", 1, 10 * MS, {4, 1}, 1},
        {"nothing is admitted", 0, 10 * MS, {4, 4}, 0},
        {"first request", 0.25, 10 * MS, {0, 0}, 0.25},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        unsigned admitted = 0;
        for (uint64_t id = 1; id <= REQUESTS; id++) {
            const struct ch_room_request request = {.id = id,
                                                    .work = rows[i].work};
            admitted +=
                ch_room_is_admitted(rows[i].admitted, &rows[i].use, &request);
        }
        g_test_message("%s: %u", rows[i].load, admitted);
        /* Four standard deviations of REQUESTS independent draws. */
        g_assert_cmpfloat(
            fabs((double)admitted / REQUESTS - rows[i].expected), <=,
            4 * sqrt(rows[i].expected * (1 - rows[i].expected) / REQUESTS));
    }
}

/* Guards against a rare model whose callers are all refused, and against
 * frequent models that are admitted as rare. */
static void
test_rare_models(void)
{
    static const struct {
        int64_t interval;
        unsigned spared;
    } rows[] = {{60 * S, 4}, {3 * S, 4}, {2 * S, 0}, {100 * MS, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_room_rarity rarity = {0};
        unsigned spared = 0;
        for (int j = 0; j < 3; j++) { /* before there was a shortage */
            ch_room_rarity_record(&rarity, S + j * rows[i].interval);
        }
        for (int j = 3; j < 43; j++) {
            int64_t now = S + j * rows[i].interval;
            ch_room_rarity_record(&rarity, now);
            spared += ch_room_rarity_spare(&rarity, now);
        }
        g_assert_cmpuint(spared, ==, rows[i].spared);
    }
}

/* Guards against a model that changes its state with each report. */
static void
test_hysteresis(void)
{
    static const struct {
        int64_t at;
        double demand;
        bool is_short;
    } steps[] = {
        {0, 0.99, false},        {S, 1.0, true},      {S + 200 * MS, 0, true},
        {S + 999 * MS, 0, true}, {2 * S, 0.85, true}, {3 * S, 0.84, false},
        {4 * S, 0.99, false},    {5 * S, 3, true},    {7 * S, 0.9, true},
        {8 * S, 0, false},
    };
    struct ch_room_state state = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        bool before = state.short_of_room;
        bool changed =
            ch_room_state_update(&state, 4 * steps[i].demand, 4, steps[i].at);
        g_assert_cmpint(state.short_of_room, ==, steps[i].is_short);
        g_assert_cmpint(changed, ==, before != steps[i].is_short);
    }
    state = (struct ch_room_state){0};
    g_assert_false(ch_room_state_update(&state, 4, 0, S));
}

/* Guards against demand that is kept too long, or lost at a slice's end. */
static void
test_window(void)
{
    static const struct {
        int64_t now;
        double work;
        double short_work;
    } rows[] = {
        {1000 * MS, 0.2, 0.1},  {1500 * MS, 0.2, 0.1}, {1999 * MS, 0.2, 0.1},
        {2050 * MS, 0.1, 0.05}, {2100 * MS, 0, 0},     {9000 * MS, 0, 0},
    };
    const struct ch_room_request request = {
        .rank = 1, .team = 2, .work = 100 * MS};
    struct ch_room_window *window = ch_room_window_new();
    ch_room_window_add(window, &request, S);
    ch_room_window_add(window, &request, S);
    ch_room_window_add_short(window, &request, S);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_room_use use =
            ch_room_window_get_use(window, 1, 2, rows[i].now);
        g_assert_cmpfloat_with_epsilon(use.work, rows[i].work, 1e-3);
        g_assert_cmpfloat_with_epsilon(use.short_work, rows[i].short_work,
                                       1e-3);
    }
    /* More teams than a report takes: those of earlier make way. */
    GArray *demands = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    for (uint64_t team = 0; team < UINT64_C(2) * CH_ROOM_MAX_PAIRS; team++) {
        const struct ch_room_request other = {.team = team, .work = MS};
        ch_room_window_add(window, &other, 9 * S);
    }
    ch_room_window_get(window, 9 * S, demands);
    g_assert_cmpuint(demands->len, ==, CH_ROOM_MAX_PAIRS);
    g_array_free(demands, TRUE);
    ch_room_window_free(window);
}

/* Guards against callers who all return at once after a refusal at the same
 * moment: no 100 ms take more than the room does in them, and for callers in
 * a hurry not more than a part of all. */
static void
test_all_return_at_once(void)
{
    enum {
        CALLERS = 100,
        BUCKETS = 120,
    };
    static const struct {
        int64_t remaining;
        int64_t work;
        unsigned most;
    } rows[] = {
        {0, 50 * MS, 2},
        {60 * S, 50 * MS, 2},
        {6 * S, 50 * MS, 20},         /* 37 in turn, 63 spread over a second */
        {300 * MS, 50 * MS, CALLERS}, /* no time to spread them */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_room_returns *returns = ch_room_returns_new();
        unsigned buckets[BUCKETS] = {0};
        unsigned most = 0;
        for (uint64_t id = 0; id < CALLERS; id++) {
            const struct ch_room_request request = {
                .id = id,
                .work = rows[i].work,
                .remaining = rows[i].remaining,
            };
            int64_t wait = ch_room_returns_promise(returns, &request, 1, S);
            g_assert_cmpint(wait, >, 0);
            g_assert_true(rows[i].remaining == 0 ||
                          wait <= rows[i].remaining / 3);
            unsigned bucket = (unsigned)(wait / (100 * MS));
            g_assert_cmpuint(bucket, <, BUCKETS);
            buckets[bucket]++;
            most = MAX(most, buckets[bucket]);
        }
        g_test_message("row %zu: %u", i, most);
        g_assert_cmpuint(most, <=, rows[i].most);
        ch_room_returns_free(returns);
    }
}

/* Guards against a less urgent or later caller who is served first. */
static void
test_return_order(void)
{
    static const struct {
        uint32_t rank;
        int64_t wait;
    } steps[] = {
        {10, 200 * MS}, {10, 300 * MS}, {20, 400 * MS}, {10, 400 * MS},
        {20, 500 * MS}, {0, 200 * MS},  {20, 600 * MS}, {0, 300 * MS},
    };
    struct ch_room_returns *returns = ch_room_returns_new();
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        const struct ch_room_request request = {.rank = steps[i].rank,
                                                .work = 50 * MS};
        g_assert_cmpint(ch_room_returns_promise(returns, &request, 0.5, S), ==,
                        steps[i].wait);
    }
    ch_room_returns_free(returns);
}

/* Guards against a division by the demand of few nodes, by that of nodes that
 * are gone, or by the view of one node that is wrong. */
static void
test_count(void)
{
    static const struct ch_room_demand asked[] = {{0, 1, 2}, {0, 2, 1}};
    static const double rooms[] = {4, 0.01, 4};
    struct ch_room_count count;
    GArray *demands = new_demands(asked, G_N_ELEMENTS(asked));
    ch_room_count_init(&count);
    for (int64_t now = S; now <= S + 400 * MS; now += 200 * MS) {
        g_assert_false(count.state.short_of_room);
        for (GQuark node = 1; node <= 3; node++) {
            ch_room_count_hear(&count, node, demands, rooms[node - 1], now);
        }
        g_assert_cmpint(ch_room_count_update(&count, 1, now), ==,
                        now == S + 400 * MS);
    }
    g_assert_cmpfloat_with_epsilon(count.demand, 9, 1e-9);
    g_assert_cmpfloat_with_epsilon(count.room, 4, 1e-9);
    g_assert_cmpuint(count.shares->len, ==, 2);
    g_assert_cmpfloat_with_epsilon(ch_room_find_admitted(count.shares, 0, 2),
                                   0.95 * 4 / 2 / 3, 1e-9);
    ch_room_count_hear(&count, 1, demands, 4, S + 1000 * MS);
    ch_room_count_update(&count, 0.5, S + 1100 * MS);
    g_assert_cmpuint(count.members->len, ==, 1);
    g_assert_cmpfloat_with_epsilon(count.demand, 3, 1e-9);
    g_assert_cmpfloat_with_epsilon(count.room, 2, 1e-9);
    g_assert_true(ch_room_count_update(&count, 1, 3 * S));
    g_assert_false(count.state.short_of_room);
    g_assert_cmpuint(count.shares->len, ==, 0);
    ch_room_count_clear(&count);
    g_array_free(demands, TRUE);
}

/* One engine and one node, in virtual time: a request is in time while the
 * engine's backlog is within the target, and late beyond three targets. */
struct overload {
    struct ch_room_window *window;
    struct ch_room_count count;
    int64_t backlog;
    uint64_t last_id;
};

/* Sends one request; returns the work that the engine does for it. */
static int64_t
send_request(struct overload *load, uint32_t rank, uint64_t team, int64_t work,
             int64_t now)
{
    const struct ch_room_request request = {
        .id = ++load->last_id, .rank = rank, .team = team, .work = work};
    ch_room_window_add(load->window, &request, now);
    if (load->backlog > 600 * MS) {
        ch_room_window_add_short(load->window, &request, now);
        const struct ch_room_use use =
            ch_room_window_get_use(load->window, rank, team, now);
        double admitted =
            ch_room_find_admitted(load->count.shares, rank, team);
        if (load->backlog > 1800 * MS ||
            !ch_room_is_admitted(admitted, &use, &request)) {
            return 0;
        }
    }
    load->backlog += work;
    return work;
}

/* Guards against teams or urgent classes that pay for what others send beyond
 * the room, and against room that stays unused. Each team sends a request
 * every 100 ms, of its demand; the engine does 1 second of work per second. */
static void
test_overload(void)
{
    enum {
        SECONDS = 30,
        SETTLED = 3, /* until the first levels are known */
    };
    static const struct {
        const char *what;
        struct ch_room_demand sent[3];
        double least[3]; /* part of the demand that is served */
    } rows[] = {
        {"burst of one team",
         {{0, 1, 0.25}, {0, 2, 0.25}, {0, 3, 1.75}},
         {0.95, 0.95, 0.2}},
        {"two ranks over capacity",
         {{0, 1, 0.6}, {10, 2, 0.6}, {10, 3, 0.6}},
         {0.95, 0.2, 0.2}},
        {"one team alone", {{0, 1, 3}}, {0.3}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct overload load = {.window = ch_room_window_new()};
        double served[3] = {0};
        double total = 0;
        ch_room_count_init(&load.count);
        for (int64_t now = S; now < (1 + SECONDS) * S; now += 10 * MS) {
            if (now % (200 * MS) == 0) {
                GArray *demands =
                    g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
                ch_room_window_get(load.window, now, demands);
                ch_room_count_hear(&load.count, 1, demands, 1, now);
                ch_room_count_update(&load.count, 1, now);
                g_array_free(demands, TRUE);
            }
            for (int j = 0; j < 3; j++) {
                const struct ch_room_demand *sent = &rows[i].sent[j];
                if (sent->work > 0 && now / (10 * MS) % 10 == INT64_C(3) * j) {
                    int64_t done =
                        send_request(&load, sent->rank, sent->team,
                                     (int64_t)(sent->work * 100 * MS), now);
                    served[j] += now >= (1 + SETTLED) * S ? (double)done : 0;
                }
            }
            load.backlog = MAX(load.backlog - 10 * MS, 0);
        }
        for (int j = 0; j < 3 && rows[i].sent[j].work > 0; j++) {
            served[j] /= (double)(SECONDS - SETTLED) * S;
            total += served[j];
            g_test_message("%s: %.3f of %.3f", rows[i].what, served[j],
                           rows[i].sent[j].work);
            g_assert_cmpfloat(served[j], >=,
                              rows[i].least[j] * rows[i].sent[j].work);
        }
        g_assert_cmpfloat(total, >=, 0.95);
        ch_room_count_clear(&load.count);
        ch_room_window_free(load.window);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/room/divide", test_divide);
    g_test_add_func("/room/unknown-pairs", test_unknown_pairs);
    g_test_add_func("/room/admission", test_admission);
    g_test_add_func("/room/rare-models", test_rare_models);
    g_test_add_func("/room/hysteresis", test_hysteresis);
    g_test_add_func("/room/window", test_window);
    g_test_add_func("/room/all-return-at-once", test_all_return_at_once);
    g_test_add_func("/room/return-order", test_return_order);
    g_test_add_func("/room/count", test_count);
    g_test_add_func("/room/overload", test_overload);
    return g_test_run();
}
