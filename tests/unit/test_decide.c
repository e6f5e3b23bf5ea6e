/* The decisions under load, without sockets or clock: tables of cases that
 * look at the outcome for callers. */

#include "decide/home.h"

#include <string.h>

#define MS ((int64_t)1000)
#define SECOND ((int64_t)G_USEC_PER_SEC)

/* A home with models in memory, and what it decided last. */
struct bench {
    struct ch_home *home;
    struct ch_actions out;
    uint64_t next;
};

/* A home of an engine that holds one model, m01, under a policy. */
static struct bench
bench_new(const char *policy, uint32_t batch)
{
    struct ch_home_facts facts = {
        .name = g_quark_from_string("w01"),
        .capacity_mb = 24000,
        .accelerators = 1,
        .batch = batch,
        .max_queue = 64,
    };
    struct bench bench = {
        .home = ch_home_new(ch_policy_find(policy), &facts, 0),
        .out = {g_array_new(FALSE, FALSE, sizeof(struct ch_action))},
        .next = 1,
    };
    ch_home_set_item(bench.home, g_quark_from_string("m01"), CH_ITEM_RESIDENT,
                     10000, 0, &bench.out);
    return bench;
}

static void
bench_free(struct bench *bench)
{
    ch_home_free(bench->home);
    g_array_unref(bench->out.list);
}

/* Work on a model that arrives now with a target. */
static struct ch_work
work_of(struct bench *bench, const char *model, int64_t now, int64_t target)
{
    return (struct ch_work){
        .id = bench->next++,
        .model = g_quark_from_string(model),
        .tenant = 1,
        .model_mb = 10000,
        .prompt_tokens = 100,
        .output_tokens = 50,
        .arrived = now,
        .first_by = now + target,
        .idempotent = true,
    };
}

/* How many actions of a kind (and code, for refusals) came out; empties. */
static unsigned
drain(struct bench *bench, enum ch_action_kind kind, enum ch_code code)
{
    unsigned count = 0;
    for (guint i = 0; i < bench->out.list->len; i++) {
        const struct ch_action *action =
            &g_array_index(bench->out.list, struct ch_action, i);
        count += action->kind == kind && action->code == code ? 1 : 0;
    }
    g_array_set_size(bench->out.list, 0);
    return count;
}

/* Ends a request after so long, with the first byte and token times given. */
static void
end(struct bench *bench, uint64_t work, int64_t now, int64_t token)
{
    struct ch_sample sample = {
        .code = CH_OK, .first = 100 * MS, .token = token, .tokens = 50};
    ch_home_release(bench->home, work, &sample, now, &bench->out);
}

/* A burst: as many run as the batch holds, those that can still make their
 * target wait, and the rest is refused in the same call, with when to come
 * back. */
static void
test_burst(void)
{
    static const struct {
        unsigned burst;
        int64_t target;
        unsigned granted;
        bool some_refused;
    } cases[] = {
        {4, SECOND, 4, false},
        {20, 100 * SECOND, 8, false},
        {20, SECOND, 8, true},
        {60, 10 * SECOND, 8, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench = bench_new("default", 8);
        unsigned granted = 0;
        unsigned refused = 0;
        for (unsigned n = 0; n < cases[i].burst; n++) {
            struct ch_work work = work_of(&bench, "m01", 0, cases[i].target);
            ch_home_offer(bench.home, &work, NULL, 0, &bench.out);
            for (guint a = 0; a < bench.out.list->len; a++) {
                const struct ch_action *action =
                    &g_array_index(bench.out.list, struct ch_action, a);
                g_assert_cmpint(action->kind, <=, CH_ACTION_REFUSE);
                granted += action->kind == CH_ACTION_GRANT ? 1 : 0;
                refused += action->kind == CH_ACTION_REFUSE ? 1 : 0;
                if (action->kind == CH_ACTION_REFUSE) {
                    g_assert_cmpint(action->code, ==, CH_LATE);
                    g_assert_cmpint(action->retry_after, >, 0);
                }
            }
            g_array_set_size(bench.out.list, 0);
        }
        g_assert_cmpuint(granted, ==, cases[i].granted);
        g_assert_true((refused > 0) == cases[i].some_refused);
        bench_free(&bench);
    }
}

/* Long and short work on one upstream: the short one's nearer deadline goes
 * first though it came last; under first come, first served it does not. */
static void
test_order(void)
{
    static const struct {
        const char *policy;
        uint64_t first;
    } cases[] = {{"default", 3}, {"fcfs", 2}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench = bench_new(cases[i].policy, 1);
        struct ch_work running = work_of(&bench, "m01", 0, 60 * SECOND);
        struct ch_work advice = work_of(&bench, "m01", 0, 60 * SECOND);
        struct ch_work lookup = work_of(&bench, "m01", 0, 10 * SECOND);
        ch_home_offer(bench.home, &running, NULL, 0, &bench.out);
        ch_home_offer(bench.home, &advice, NULL, 0, &bench.out);
        ch_home_offer(bench.home, &lookup, NULL, 0, &bench.out);
        g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 1);
        end(&bench, running.id, SECOND, 20 * MS);
        const struct ch_action *action =
            &g_array_index(bench.out.list, struct ch_action, 0);
        g_assert_cmpint(action->kind, ==, CH_ACTION_GRANT);
        g_assert_cmpuint(action->work, ==, cases[i].first);
        bench_free(&bench);
    }
}

/* The batch is the largest at which a token keeps its target, by the line
 * through what was measured: 20 ms and 5 ms more for each request. */
static void
test_batch(void)
{
    static const struct {
        int64_t between;
        uint32_t batch;
    } cases[] = {
        {0, 32}, {31 * MS, 2}, {62 * MS, 8}, {101 * MS, 16}, {10 * MS, 1}};
    struct ch_rates rates;
    ch_rates_init(&rates, true);
    for (int64_t n = 1; n <= 12; n++) {
        struct ch_sample sample = {
            .code = CH_OK, .first = 1, .token = (20 + 5 * n) * MS};
        ch_rates_add(&rates, &sample, (double)n, SECOND, 0);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpuint(ch_rates_batch(&rates, cases[i].between, 32), ==,
                         cases[i].batch);
    }
}

/* What the caller sees: of two callers on a full upstream, the one that asked
 * for little is served.  One fills batch and queue; then the other comes; the
 * last waiting request of the first makes room, refused at once. */
static void
test_fairness(void)
{
    static const struct {
        const char *policy;
        enum ch_code code;
    } cases[] = {{"default", CH_SHARE_FULL}, {"no-fairness", CH_LATE}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench = bench_new(cases[i].policy, 4);
        for (unsigned n = 0; n < 40; n++) {
            struct ch_work work = work_of(&bench, "m01", 0, 4 * SECOND);
            ch_home_offer(bench.home, &work, NULL, 0, &bench.out);
        }
        g_array_set_size(bench.out.list, 0);
        struct ch_work work = work_of(&bench, "m01", 0, 4 * SECOND);
        work.tenant = 2;
        ch_home_offer(bench.home, &work, NULL, 0, &bench.out);
        const struct ch_action *action =
            &g_array_index(bench.out.list, struct ch_action, 0);
        g_assert_cmpint(action->code, ==, cases[i].code);
        g_assert_true((action->work == work.id) == (cases[i].code == CH_LATE));
        bench_free(&bench);
    }
}

/* Counts are exact: a grant that never comes back is given back by the node's
 * loss, a second release of it frees nothing, and a withdrawn one is gone. */
static void
test_counts(void)
{
    struct bench bench = bench_new("default", 1);
    struct ch_work a = work_of(&bench, "m01", 0, 60 * SECOND);
    struct ch_work b = work_of(&bench, "m01", 0, 60 * SECOND);
    struct ch_work c = work_of(&bench, "m01", 0, 60 * SECOND);
    ch_home_offer(bench.home, &a, NULL, 0, &bench.out);
    ch_home_offer(bench.home, &b, NULL, 0, &bench.out);
    ch_home_offer(bench.home, &c, NULL, 0, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 1);
    struct ch_sample lost = {.code = CH_PEER_LOST};
    ch_home_release(bench.home, a.id, &lost, SECOND, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 1);
    ch_home_release(bench.home, a.id, &lost, SECOND, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 0);
    ch_home_withdraw(bench.home, c.id, SECOND, &bench.out);
    end(&bench, b.id, 2 * SECOND, 20 * MS);
    g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 0);
    struct ch_upstream_view view;
    ch_home_view(bench.home, 2 * SECOND, &view);
    g_assert_cmpuint(view.running, ==, 0);
    g_assert_cmpuint(view.queued, ==, 0);
    g_array_unref(view.resident);
    g_array_unref(view.loading);
    bench_free(&bench);
}

/* A fleet of one other upstream that holds the models named. */
static struct ch_fleet
fleet_of(struct ch_upstream_view *view, const char *const *models)
{
    *view = (struct ch_upstream_view){
        .name = g_quark_from_string("w02"),
        .batch = 8,
        .capacity_mb = 24000,
        .free_mb = 4000,
        .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
    };
    for (size_t i = 0; models[i] != NULL; i++) {
        struct ch_item item = {.name = g_quark_from_string(models[i])};
        g_array_append_val(view->resident, item);
    }
    return (struct ch_fleet){
        .upstreams = view, .count = 1, .loads_left = 4, .link_bytes = 1 << 20};
}

static void
fleet_free(struct ch_upstream_view *view)
{
    g_array_unref(view->resident);
    g_array_unref(view->loading);
}

/* Offers so many requests a second on m01, each over at once. */
static void
keep_busy(struct bench *bench, const struct ch_fleet *fleet, unsigned own,
          int64_t now)
{
    for (unsigned n = 0; n < own; n++) {
        struct ch_work work = work_of(bench, "m01", now, SECOND);
        ch_home_offer(bench->home, &work, fleet, now, &bench->out);
        end(bench, work.id, now, 20 * MS);
    }
}

/* From second 40 until `until`, m01 and m02 are asked for so many times a
 * second; true when the home unloaded m01. */
static bool
unloads(struct bench *bench, const struct ch_fleet *fleet, unsigned own,
        unsigned wanted, int64_t until)
{
    unsigned unloaded = 0;
    for (int64_t now = 40 * SECOND; now < until; now += SECOND) {
        keep_busy(bench, fleet, own, now);
        for (unsigned n = 0; n < wanted; n++) {
            struct ch_work work = work_of(bench, "m02", now, SECOND);
            work.model_mb = 20000;
            ch_home_offer(bench->home, &work, fleet, now, &bench->out);
        }
        ch_home_tick(bench->home, fleet, now, &bench->out);
        unloaded += drain(bench, CH_ACTION_UNLOAD, CH_OK);
    }
    return unloaded > 0;
}

/* The last replica of a model that is asked for goes neither for a few
 * requests of a model served elsewhere nor for a few of an absent one; it
 * goes, idle, at once for an absent one, and after a minute and a half
 * whatever it serves, as every model stays reachable. */
static void
test_last_replica(void)
{
    static const char *const with[] = {"m02", NULL};
    static const char *const without[] = {NULL};
    static const struct {
        const char *const *elsewhere;
        unsigned own; /* requests a second on m01 */
        unsigned wanted;
        int64_t until;
        bool goes;
    } cases[] = {
        {with, 2, 1, 45 * SECOND, false},
        {without, 2, 1, 45 * SECOND, false},
        {without, 0, 1, 45 * SECOND, true},
        {without, 2, 1, 140 * SECOND, true},
        {with, 2, 1, 140 * SECOND, false},
        {with, 0, 8, 60 * SECOND, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench = bench_new("default", 8);
        struct ch_upstream_view view;
        struct ch_fleet fleet = fleet_of(&view, cases[i].elsewhere);
        for (int64_t now = 0; now < 40 * SECOND; now += SECOND) {
            keep_busy(&bench, &fleet, cases[i].own, now);
        }
        g_array_set_size(bench.out.list, 0);
        bool goes = unloads(&bench, &fleet, cases[i].own, cases[i].wanted,
                            cases[i].until);
        if (goes != cases[i].goes) {
            g_error("case %zu: goes %d", i, goes);
        }
        fleet_free(&view);
        bench_free(&bench);
    }
}

/* An order that cannot be done (the key-value service is away) refuses those
 * who wait for it at once, and the rest of the home goes on. */
static void
test_order_failed(void)
{
    struct bench bench = bench_new("default", 8);
    static const char *const none[] = {NULL};
    struct ch_upstream_view view;
    struct ch_fleet fleet = fleet_of(&view, none);
    struct ch_work work = work_of(&bench, "m03", 0, 60 * SECOND);
    ch_home_offer(bench.home, &work, &fleet, 0, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_LOAD, CH_OK), ==, 1);
    ch_home_order_failed(bench.home, work.model, CH_ACTION_LOAD,
                         CH_KV_UNREACHABLE, MS, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_REFUSE, CH_NO_UPSTREAM), ==, 1);
    struct ch_work other = work_of(&bench, "m01", 2 * MS, SECOND);
    ch_home_offer(bench.home, &other, &fleet, 2 * MS, &bench.out);
    g_assert_cmpuint(drain(&bench, CH_ACTION_GRANT, CH_OK), ==, 1);
    fleet_free(&view);
    bench_free(&bench);
}

/* Upstreams that leave or do not answer get nothing new, and what waits is
 * refused at once. */
static void
test_gone(void)
{
    static const struct {
        bool leaving;
        bool down;
    } cases[] = {{true, false}, {false, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct bench bench = bench_new("default", 1);
        struct ch_work a = work_of(&bench, "m01", 0, 60 * SECOND);
        struct ch_work b = work_of(&bench, "m01", 0, 60 * SECOND);
        ch_home_offer(bench.home, &a, NULL, 0, &bench.out);
        ch_home_offer(bench.home, &b, NULL, 0, &bench.out);
        g_array_set_size(bench.out.list, 0);
        ch_home_report(bench.home, 1, 0, cases[i].leaving, cases[i].down, MS,
                       &bench.out);
        g_assert_cmpuint(drain(&bench, CH_ACTION_REFUSE, CH_NO_UPSTREAM), ==,
                         1);
        struct ch_work c = work_of(&bench, "m01", MS, 60 * SECOND);
        ch_home_offer(bench.home, &c, NULL, MS, &bench.out);
        g_assert_cmpuint(drain(&bench, CH_ACTION_REFUSE, CH_NO_UPSTREAM), ==,
                         1);
        bench_free(&bench);
    }
}

/* One slow upstream of two: the router turns to the other. */
static void
test_slow_upstream(void)
{
    static const char *const models[] = {"m01", NULL};
    struct ch_upstream_view views[2];
    (void)fleet_of(&views[0], models);
    struct ch_fleet fleet = fleet_of(&views[1], models);
    views[0].name = g_quark_from_string("w01");
    views[0].token = 600 * MS;
    views[1].token = 30 * MS;
    views[1].running = 7;
    fleet.upstreams = views;
    fleet.count = 2;
    struct ch_work work = {.id = 1,
                           .model = g_quark_from_string("m01"),
                           .first_by = 10 * SECOND,
                           .between = 62 * MS};
    struct ch_route route =
        ch_route_choose(ch_policy_find("default"), &fleet, &work, NULL, 0);
    g_assert_cmpint(route.code, ==, CH_OK);
    g_assert_cmpuint(route.upstream, ==, 1);
    g_assert_cmpuint(views[1].sent_since, ==, 1);
    fleet_free(&views[0]);
    fleet_free(&views[1]);
}

/* All upstreams fail all the time: the retries stay under a tenth of the
 * fresh requests, but for the few of a node that has just started. */
static void
test_retry_amplification(void)
{
    struct ch_retry_budget budget;
    ch_retry_budget_init(&budget, 0.1);
    unsigned retries = 0;
    for (unsigned i = 0; i < 10000; i++) {
        const struct ch_retry_failure failure = {
            .code = CH_UPSTREAM_CUT, .may_have_run = true, .stream = true};
        struct ch_work work = {.idempotent = true};
        bool held = false;
        ch_retry_budget_fresh(&budget);
        while (ch_retry_decide(&budget, &held, &work, &failure, 0) !=
               CH_RETRY_NO) {
            held = false;
            work.attempt++;
            retries++;
        }
    }
    g_assert_cmpuint(retries, <=, 1003);
    g_assert_cmpuint(retries, >, 900);
}

/* Which failures are tried again, and from where. */
static void
test_retry_cases(void)
{
    static const struct {
        enum ch_code code;
        bool idempotent;
        bool may_have_run;
        bool stream;
        uint32_t given;
        uint32_t attempt;
        enum ch_retry retry;
    } cases[] = {
        {CH_UPSTREAM_CONNECT, false, false, false, 0, 0, CH_RETRY_AGAIN},
        {CH_UPSTREAM_CUT, false, true, false, 0, 0, CH_RETRY_NO},
        {CH_UPSTREAM_CUT, true, true, false, 0, 0, CH_RETRY_AGAIN},
        {CH_UPSTREAM_STALLED, true, true, true, 7, 0, CH_RETRY_RESUME},
        {CH_UPSTREAM_STALLED, true, true, false, 7, 0, CH_RETRY_NO},
        {CH_UPSTREAM_CUT, true, true, true, 0, 2, CH_RETRY_NO},
        {CH_LATE, true, false, true, 0, 0, CH_RETRY_NO},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_retry_budget budget;
        ch_retry_budget_init(&budget, 0.1);
        struct ch_work work = {.idempotent = cases[i].idempotent,
                               .attempt = cases[i].attempt};
        const struct ch_retry_failure failure = {
            cases[i].code, cases[i].may_have_run, cases[i].stream,
            cases[i].given};
        bool held = false;
        g_assert_cmpint(ch_retry_decide(&budget, &held, &work, &failure, 0),
                        ==, cases[i].retry);
    }
}

/* What is asked for again a little later: streams that their callers have the
 * beginning of and that no upstream has run since, and nothing else. */
static void
test_retry_waits(void)
{
    static const struct {
        enum ch_code code;
        uint32_t tries;
        uint32_t given;
        bool idempotent;
        bool may_have_run;
        bool waits;
    } cases[] = {
        {CH_UPSTREAM_REFUSED, 2, 7, true, false, true},
        {CH_LATE, 2, 7, true, false, true},
        {CH_NO_UPSTREAM, 2, 7, true, false, true},
        {CH_UPSTREAM_REFUSED, 2, 0, true, false, false},
        {CH_UPSTREAM_REFUSED, 2, 7, false, false, false},
        {CH_UPSTREAM_REFUSED, 0, 7, true, false, false},
        {CH_UPSTREAM_CUT, 2, 7, true, true, false},
        {CH_UPSTREAM_STALLED, 2, 7, true, true, false},
        {CH_DEADLINE, 2, 7, true, false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct ch_work work = {
            .idempotent = cases[i].idempotent,
            .tries = cases[i].tries,
        };
        g_assert_cmpint(ch_retry_waits(&work, cases[i].code,
                                       cases[i].may_have_run, cases[i].given),
                        ==, cases[i].waits);
    }
}

/* A bucket gives what its rate allows and no more, whatever the clock does. */
static void
test_bucket(void)
{
    struct ch_bucket bucket;
    ch_bucket_init(&bucket, 2.0, 3.0, SECOND);
    g_assert_true(ch_bucket_take(&bucket, 3.0, SECOND));
    g_assert_false(ch_bucket_take(&bucket, 1.0, SECOND));
    g_assert_false(ch_bucket_take(&bucket, 1.0, 0));
    g_assert_true(ch_bucket_take(&bucket, 1.0, SECOND + SECOND / 2));
    g_assert_cmpfloat(ch_bucket_level(&bucket, 100 * SECOND), ==, 3.0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/decide/burst", test_burst);
    g_test_add_func("/decide/order", test_order);
    g_test_add_func("/decide/batch", test_batch);
    g_test_add_func("/decide/fairness", test_fairness);
    g_test_add_func("/decide/counts", test_counts);
    g_test_add_func("/decide/last-replica", test_last_replica);
    g_test_add_func("/decide/order-failed", test_order_failed);
    g_test_add_func("/decide/gone", test_gone);
    g_test_add_func("/decide/slow-upstream", test_slow_upstream);
    g_test_add_func("/decide/retry-amplification", test_retry_amplification);
    g_test_add_func("/decide/retry-cases", test_retry_cases);
    g_test_add_func("/decide/retry-waits", test_retry_waits);
    g_test_add_func("/decide/bucket", test_bucket);
    return g_test_run();
}
