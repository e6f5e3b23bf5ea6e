/* Scheduling decisions under load, without sockets or a clock.  Each test
 * checks a table of cases for the outcome that callers see. */

#include "decide/home.h"

#include <string.h>

#define MS ((int64_t)1000)
#define SECOND ((int64_t)G_USEC_PER_SEC)

/* A scheduler and the actions that it issued last. */
struct fixture {
    struct ch_home *home;
    struct ch_actions out;
    uint64_t next_id;
};

/* Returns a scheduler under the policy for an engine that has model m01 in
 * memory. */
static struct fixture
fixture_new(const char *policy, uint32_t batch)
{
    struct ch_upstream_config facts = {
        .name = g_quark_from_string("w01"),
        .capacity_mb = 24000,
        .accelerators = 1,
        .batch = batch,
        .max_queue = 64,
    };
    struct fixture fixture = {
        .home = ch_home_new(ch_policy_find(policy), &facts, 0),
        .out = {g_array_new(FALSE, FALSE, sizeof(struct ch_action))},
        .next_id = 1,
    };
    ch_home_set_item(fixture.home, g_quark_from_string("m01"),
                     CH_ITEM_RESIDENT, 10000, 0, &fixture.out);
    return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
    ch_home_free(fixture->home);
    g_array_unref(fixture->out.list);
}

/* Returns a request for a model that arrives now and must have its first token
 * within `target`. */
static struct ch_request_info
make_request(struct fixture *fixture, const char *model, int64_t now,
             int64_t target)
{
    return (struct ch_request_info){
        .id = fixture->next_id++,
        .model = g_quark_from_string(model),
        .tenant = 1,
        .model_mb = 10000,
        .prompt_tokens = 100,
        .max_output_tokens = 50,
        .arrived_at = now,
        .first_token_deadline = now + target,
        .idempotent = true,
    };
}

/* Returns the number of pending actions of a kind with this code, and clears
 * all pending actions. */
static unsigned
count_actions(struct fixture *fixture, enum ch_action_kind kind,
              enum ch_code code)
{
    unsigned count = 0;
    for (guint i = 0; i < fixture->out.list->len; i++) {
        const struct ch_action *action =
            &g_array_index(fixture->out.list, struct ch_action, i);
        count += action->kind == kind && action->code == code ? 1 : 0;
    }
    g_array_set_size(fixture->out.list, 0);
    return count;
}

/* Releases a request with 100 ms to the first byte and the given time per
 * token. */
static void
release_request(struct fixture *fixture, uint64_t request_id, int64_t now,
                int64_t token)
{
    struct ch_timing_sample sample = {.code = CH_OK,
                                      .first_byte_time = 100 * MS,
                                      .token_time = token,
                                      .token_count = 50};
    ch_home_release(fixture->home, request_id, &sample, now, &fixture->out);
}

/* In a burst, as many requests run as the batch limit allows, those that can
 * still meet their target wait, and the others are refused in the same call,
 * with a time to retry after. */
static void
test_burst_admission(void)
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
        struct fixture fixture = fixture_new("default", 8);
        unsigned granted = 0;
        unsigned refused = 0;
        for (unsigned n = 0; n < cases[i].burst; n++) {
            struct ch_request_info request =
                make_request(&fixture, "m01", 0, cases[i].target);
            ch_home_enqueue(fixture.home, &request, NULL, 0, &fixture.out);
            for (guint a = 0; a < fixture.out.list->len; a++) {
                const struct ch_action *action =
                    &g_array_index(fixture.out.list, struct ch_action, a);
                g_assert_cmpint(action->kind, <=, CH_ACTION_REFUSE);
                granted += action->kind == CH_ACTION_GRANT ? 1 : 0;
                refused += action->kind == CH_ACTION_REFUSE ? 1 : 0;
                if (action->kind == CH_ACTION_REFUSE) {
                    g_assert_cmpint(action->code, ==, CH_LATE);
                    g_assert_cmpint(action->retry_after, >, 0);
                }
            }
            g_array_set_size(fixture.out.list, 0);
        }
        g_assert_cmpuint(granted, ==, cases[i].granted);
        g_assert_true((refused > 0) == cases[i].some_refused);
        fixture_free(&fixture);
    }
}

/* A long and a short request wait for one upstream: the short one has the
 * earlier deadline and goes first although it arrived last.  Under "fcfs" it
 * doesn't. */
static void
test_deadline_order(void)
{
    static const struct {
        const char *policy;
        uint64_t first;
    } cases[] = {{"default", 3}, {"fcfs", 2}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture = fixture_new(cases[i].policy, 1);
        struct ch_request_info running =
            make_request(&fixture, "m01", 0, 60 * SECOND);
        struct ch_request_info long_request =
            make_request(&fixture, "m01", 0, 60 * SECOND);
        struct ch_request_info short_request =
            make_request(&fixture, "m01", 0, 10 * SECOND);
        ch_home_enqueue(fixture.home, &running, NULL, 0, &fixture.out);
        ch_home_enqueue(fixture.home, &long_request, NULL, 0, &fixture.out);
        ch_home_enqueue(fixture.home, &short_request, NULL, 0, &fixture.out);
        g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==,
                         1);
        release_request(&fixture, running.id, SECOND, 20 * MS);
        const struct ch_action *action =
            &g_array_index(fixture.out.list, struct ch_action, 0);
        g_assert_cmpint(action->kind, ==, CH_ACTION_GRANT);
        g_assert_cmpuint(action->request_id, ==, cases[i].first);
        fixture_free(&fixture);
    }
}

/* The batch limit is the largest at which the time per token meets the target,
 * by regression over the samples: 20 ms, plus 5 ms for each concurrent
 * request. */
static void
test_batch_limit(void)
{
    static const struct {
        int64_t between;
        uint32_t batch;
    } cases[] = {
        {0, 32}, {31 * MS, 2}, {62 * MS, 8}, {101 * MS, 16}, {10 * MS, 1}};
    struct ch_service_times rates;
    ch_service_times_init(&rates, true);
    for (int64_t n = 1; n <= 12; n++) {
        struct ch_timing_sample sample = {.code = CH_OK,
                                          .first_byte_time = 1,
                                          .token_time = (20 + 5 * n) * MS};
        ch_service_times_add_sample(&rates, &sample, (double)n, SECOND, 0);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpuint(
            ch_service_times_limit_batch(&rates, cases[i].between, 32), ==,
            cases[i].batch);
    }
}

/* A tenant fills the batch and the queue of an upstream, then another tenant
 * sends a request.  The last queued request of the first tenant is refused at
 * once to make room for it. */
static void
test_tenant_fairness(void)
{
    static const struct {
        const char *policy;
        enum ch_code code;
    } cases[] = {{"default", CH_SHARE_FULL}, {"no-fairness", CH_LATE}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture = fixture_new(cases[i].policy, 4);
        for (unsigned n = 0; n < 40; n++) {
            struct ch_request_info request =
                make_request(&fixture, "m01", 0, 4 * SECOND);
            ch_home_enqueue(fixture.home, &request, NULL, 0, &fixture.out);
        }
        g_array_set_size(fixture.out.list, 0);
        struct ch_request_info request =
            make_request(&fixture, "m01", 0, 4 * SECOND);
        request.tenant = 2;
        ch_home_enqueue(fixture.home, &request, NULL, 0, &fixture.out);
        const struct ch_action *action =
            &g_array_index(fixture.out.list, struct ch_action, 0);
        g_assert_cmpint(action->code, ==, cases[i].code);
        g_assert_true((action->request_id == request.id) ==
                      (cases[i].code == CH_LATE));
        fixture_free(&fixture);
    }
}

/* Counts are exact: releasing a request for a lost node frees its slot,
 * releasing it again frees nothing, and a withdrawn request is never granted.
 */
static void
test_exact_counts(void)
{
    struct fixture fixture = fixture_new("default", 1);
    struct ch_request_info a = make_request(&fixture, "m01", 0, 60 * SECOND);
    struct ch_request_info b = make_request(&fixture, "m01", 0, 60 * SECOND);
    struct ch_request_info c = make_request(&fixture, "m01", 0, 60 * SECOND);
    ch_home_enqueue(fixture.home, &a, NULL, 0, &fixture.out);
    ch_home_enqueue(fixture.home, &b, NULL, 0, &fixture.out);
    ch_home_enqueue(fixture.home, &c, NULL, 0, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==, 1);
    struct ch_timing_sample lost = {.code = CH_PEER_LOST};
    ch_home_release(fixture.home, a.id, &lost, SECOND, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==, 1);
    ch_home_release(fixture.home, a.id, &lost, SECOND, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==, 0);
    ch_home_withdraw(fixture.home, c.id, SECOND, &fixture.out);
    release_request(&fixture, b.id, 2 * SECOND, 20 * MS);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==, 0);
    struct ch_upstream_view view;
    ch_home_get_view(fixture.home, 2 * SECOND, &view);
    g_assert_cmpuint(view.running, ==, 0);
    g_assert_cmpuint(view.queued, ==, 0);
    g_array_unref(view.resident);
    g_array_unref(view.loading);
    fixture_free(&fixture);
}

/* Returns a fleet with one other upstream that has the named models in memory.
 */
static struct ch_fleet
make_fleet(struct ch_upstream_view *view, const char *const *models)
{
    *view = (struct ch_upstream_view){
        .name = g_quark_from_string("w02"),
        .max_batch = 8,
        .capacity_mb = 24000,
        .free_mb = 4000,
        .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
    };
    for (size_t i = 0; models[i] != NULL; i++) {
        struct ch_item item = {.name = g_quark_from_string(models[i])};
        g_array_append_val(view->resident, item);
    }
    return (struct ch_fleet){.upstreams = view,
                             .count = 1,
                             .store_loads_left = 4,
                             .link_bytes_left = 1 << 20};
}

static void
fleet_free(struct ch_upstream_view *view)
{
    g_array_unref(view->resident);
    g_array_unref(view->loading);
}

/* Sends this many requests for m01 at once, each finished immediately. */
static void
run_requests(struct fixture *fixture, const struct ch_fleet *fleet,
             unsigned m01_rate, int64_t now)
{
    for (unsigned n = 0; n < m01_rate; n++) {
        struct ch_request_info request =
            make_request(fixture, "m01", now, SECOND);
        ch_home_enqueue(fixture->home, &request, fleet, now, &fixture->out);
        release_request(fixture, request.id, now, 20 * MS);
    }
}

/* Sends requests for m01 and m02 at these rates per second, from second 40
 * until `until`.  Returns whether m01 was unloaded. */
static bool
is_evicted(struct fixture *fixture, const struct ch_fleet *fleet,
           unsigned m01_rate, unsigned m02_rate, int64_t until)
{
    unsigned unloaded = 0;
    for (int64_t now = 40 * SECOND; now < until; now += SECOND) {
        run_requests(fixture, fleet, m01_rate, now);
        for (unsigned n = 0; n < m02_rate; n++) {
            struct ch_request_info request =
                make_request(fixture, "m02", now, SECOND);
            request.model_mb = 20000;
            ch_home_enqueue(fixture->home, &request, fleet, now,
                            &fixture->out);
        }
        ch_home_tick(fixture->home, fleet, now, &fixture->out);
        unloaded += count_actions(fixture, CH_ACTION_UNLOAD, CH_OK);
    }
    return unloaded > 0;
}

/* The last replica of a model in demand isn't evicted for a few requests for a
 * model that is served elsewhere, nor for a few for a model on no upstream.
 * For a model on no upstream it is evicted at once if it is idle, and after 90
 * seconds in any case, so that every model stays reachable. */
static void
test_last_replica_eviction(void)
{
    static const char *const m02_elsewhere[] = {"m02", NULL};
    static const char *const nothing_elsewhere[] = {NULL};
    static const struct {
        const char *const *elsewhere;
        unsigned m01_rate; /* requests per second for m01 */
        unsigned m02_rate;
        int64_t until;
        bool evicted;
    } cases[] = {
        {m02_elsewhere, 2, 1, 45 * SECOND, false},
        {nothing_elsewhere, 2, 1, 45 * SECOND, false},
        {nothing_elsewhere, 0, 1, 45 * SECOND, true},
        {nothing_elsewhere, 2, 1, 140 * SECOND, true},
        {m02_elsewhere, 2, 1, 140 * SECOND, false},
        {m02_elsewhere, 0, 8, 60 * SECOND, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture = fixture_new("default", 8);
        struct ch_upstream_view view;
        struct ch_fleet fleet = make_fleet(&view, cases[i].elsewhere);
        for (int64_t now = 0; now < 40 * SECOND; now += SECOND) {
            run_requests(&fixture, &fleet, cases[i].m01_rate, now);
        }
        g_array_set_size(fixture.out.list, 0);
        bool evicted = is_evicted(&fixture, &fleet, cases[i].m01_rate,
                                  cases[i].m02_rate, cases[i].until);
        if (evicted != cases[i].evicted) {
            g_error("case %zu: evicted %d", i, evicted);
        }
        fleet_free(&view);
        fixture_free(&fixture);
    }
}

/* If a load order can't be carried out because the key-value store is
 * unreachable, the requests that wait for it are refused at once, and requests
 * for other models are still granted. */
static void
test_failed_load_order(void)
{
    struct fixture fixture = fixture_new("default", 8);
    static const char *const no_models[] = {NULL};
    struct ch_upstream_view view;
    struct ch_fleet fleet = make_fleet(&view, no_models);
    struct ch_request_info request =
        make_request(&fixture, "m03", 0, 60 * SECOND);
    ch_home_enqueue(fixture.home, &request, &fleet, 0, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_LOAD, CH_OK), ==, 1);
    ch_home_handle_failed_order(fixture.home, request.model, CH_ACTION_LOAD,
                                CH_KV_UNREACHABLE, MS, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_REFUSE, CH_NO_UPSTREAM),
                     ==, 1);
    struct ch_request_info other =
        make_request(&fixture, "m01", 2 * MS, SECOND);
    ch_home_enqueue(fixture.home, &other, &fleet, 2 * MS, &fixture.out);
    g_assert_cmpuint(count_actions(&fixture, CH_ACTION_GRANT, CH_OK), ==, 1);
    fleet_free(&view);
    fixture_free(&fixture);
}

/* An upstream that is draining or down is given no new requests, and queued
 * requests are refused at once. */
static void
test_draining_or_down(void)
{
    static const struct {
        bool leaving;
        bool down;
    } cases[] = {{true, false}, {false, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct fixture fixture = fixture_new("default", 1);
        struct ch_request_info a =
            make_request(&fixture, "m01", 0, 60 * SECOND);
        struct ch_request_info b =
            make_request(&fixture, "m01", 0, 60 * SECOND);
        ch_home_enqueue(fixture.home, &a, NULL, 0, &fixture.out);
        ch_home_enqueue(fixture.home, &b, NULL, 0, &fixture.out);
        g_array_set_size(fixture.out.list, 0);
        ch_home_update_engine_state(fixture.home, 1, 0, cases[i].leaving,
                                    cases[i].down, MS, &fixture.out);
        g_assert_cmpuint(
            count_actions(&fixture, CH_ACTION_REFUSE, CH_NO_UPSTREAM), ==, 1);
        struct ch_request_info c =
            make_request(&fixture, "m01", MS, 60 * SECOND);
        ch_home_enqueue(fixture.home, &c, NULL, MS, &fixture.out);
        g_assert_cmpuint(
            count_actions(&fixture, CH_ACTION_REFUSE, CH_NO_UPSTREAM), ==, 1);
        fixture_free(&fixture);
    }
}

/* With two upstreams of which one is slow, the router chooses the other. */
static void
test_slow_upstream(void)
{
    static const char *const models[] = {"m01", NULL};
    struct ch_upstream_view views[2];
    (void)make_fleet(&views[0], models);
    struct ch_fleet fleet = make_fleet(&views[1], models);
    views[0].name = g_quark_from_string("w01");
    views[0].token_time = 600 * MS;
    views[1].token_time = 30 * MS;
    views[1].running = 7;
    fleet.upstreams = views;
    fleet.count = 2;
    struct ch_request_info request = {.id = 1,
                                      .model = g_quark_from_string("m01"),
                                      .first_token_deadline = 10 * SECOND,
                                      .token_target = 62 * MS};
    struct ch_route route =
        ch_route_choose(ch_policy_find("default"), &fleet, &request, NULL, 0);
    g_assert_cmpint(route.code, ==, CH_OK);
    g_assert_cmpuint(route.upstream, ==, 1);
    g_assert_cmpuint(views[1].sent_since_report, ==, 1);
    fleet_free(&views[0]);
    fleet_free(&views[1]);
}

/* If all upstreams fail all the time, retries stay below a tenth of the new
 * requests, apart from the few that a newly started node has. */
static void
test_retry_amplification(void)
{
    struct ch_retry_budget budget;
    ch_retry_budget_init(&budget, 0.1);
    unsigned retries = 0;
    for (unsigned i = 0; i < 10000; i++) {
        const struct ch_retry_failure failure = {.code = CH_UPSTREAM_CUT,
                                                 .may_have_run = true,
                                                 .is_resumable = true};
        struct ch_request_info request = {.idempotent = true};
        bool reserved = false;
        ch_retry_budget_add_request(&budget);
        while (ch_retry_decide(&budget, &reserved, &request, &failure, 0) !=
               CH_RETRY_NO) {
            reserved = false;
            request.attempt++;
            retries++;
        }
    }
    g_assert_cmpuint(retries, <=, 1003);
    g_assert_cmpuint(retries, >, 900);
}

/* Which failures are retried, and from which point of the response. */
static void
test_retry_decisions(void)
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
        {CH_UPSTREAM_CONNECT, false, false, false, 0, 0, CH_RETRY_RESTART},
        {CH_UPSTREAM_CUT, false, true, false, 0, 0, CH_RETRY_NO},
        {CH_UPSTREAM_CUT, true, true, false, 0, 0, CH_RETRY_RESTART},
        {CH_UPSTREAM_STALLED, true, true, true, 7, 0, CH_RETRY_RESUME},
        {CH_UPSTREAM_STALLED, true, true, false, 7, 0, CH_RETRY_NO},
        {CH_UPSTREAM_CUT, true, true, true, 0, 2, CH_RETRY_NO},
        {CH_LATE, true, false, true, 0, 0, CH_RETRY_NO},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_retry_budget budget;
        ch_retry_budget_init(&budget, 0.1);
        struct ch_request_info request = {.idempotent = cases[i].idempotent,
                                          .attempt = cases[i].attempt};
        const struct ch_retry_failure failure = {
            cases[i].code, cases[i].may_have_run, cases[i].stream,
            cases[i].given};
        bool reserved = false;
        g_assert_cmpint(
            ch_retry_decide(&budget, &reserved, &request, &failure, 0), ==,
            cases[i].retry);
    }
}

/* A request is only retried after a delay if its caller already has the
 * beginning of the stream and no upstream has run it since. */
static void
test_retry_delays(void)
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
        const struct ch_request_info request = {
            .idempotent = cases[i].idempotent,
            .max_attempts = cases[i].tries,
        };
        g_assert_cmpint(ch_retry_is_delayed(&request, cases[i].code,
                                            cases[i].may_have_run,
                                            cases[i].given),
                        ==, cases[i].waits);
    }
}

/* A bucket allows its rate and no more, even if the clock goes back. */
static void
test_token_bucket(void)
{
    struct ch_token_bucket bucket;
    ch_token_bucket_init(&bucket, 2.0, 3.0, SECOND);
    g_assert_true(ch_token_bucket_take(&bucket, 3.0, SECOND));
    g_assert_false(ch_token_bucket_take(&bucket, 1.0, SECOND));
    g_assert_false(ch_token_bucket_take(&bucket, 1.0, 0));
    g_assert_true(ch_token_bucket_take(&bucket, 1.0, SECOND + SECOND / 2));
    g_assert_cmpfloat(ch_token_bucket_level(&bucket, 100 * SECOND), ==, 3.0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/decide/burst", test_burst_admission);
    g_test_add_func("/decide/order", test_deadline_order);
    g_test_add_func("/decide/batch", test_batch_limit);
    g_test_add_func("/decide/fairness", test_tenant_fairness);
    g_test_add_func("/decide/counts", test_exact_counts);
    g_test_add_func("/decide/last-replica", test_last_replica_eviction);
    g_test_add_func("/decide/order-failed", test_failed_load_order);
    g_test_add_func("/decide/gone", test_draining_or_down);
    g_test_add_func("/decide/slow-upstream", test_slow_upstream);
    g_test_add_func("/decide/retry-amplification", test_retry_amplification);
    g_test_add_func("/decide/retry-cases", test_retry_decisions);
    g_test_add_func("/decide/retry-waits", test_retry_delays);
    g_test_add_func("/decide/bucket", test_token_bucket);
    return g_test_run();
}
