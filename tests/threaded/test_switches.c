/*
 * Tests features that a node's settings disable: those of the balancer, which
 * routes by the node's own view of the engines, and the loading of adapters
 * before requests need them. The roster, the leases and the configuration are
 * faked.
 */

#include "node/balancer.h"
#include "node/controller_internal.h"
#include "threaded/fake_crashes.h"
#include "threaded/fake_limits.h"
#include "threaded/fake_paths.h"
#include "threaded/fake_quota.h"
#include "threaded/fake_streams.h"

#include <string.h>

#define TEXT                                                                  \
    "[class c]\nanswer-ms = 1\nidempotent = true\nmodels = *\n\n"             \
    "[service s]\nmemory-mb = 1000\nadapter-places = 4\n\n"                   \
    "[model m1]\nmemory-mb = 100\nservices = s\nadapter-memory-mb = 10\n"     \
    "numbered-adapters = 2\n"

enum {
    SECOND = G_USEC_PER_SEC,
};

/* ---- the rest of the node, faked ---- */

struct ch_roster {
    void (*changed)(void *data);
    void *data;
};

/* The callbacks that the balancer has registered. */
static struct {
    struct ch_roster roster;
    const struct ch_controller_handlers *handlers;
    void *data;
} registered;

/* Fake: one model with adapters, one service. */
struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration =
        ch_declaration_parse(TEXT, "f.ini", &error);
    (void)manager;
    g_assert_cmpstr(error.message, ==, "");
    return ch_config_new(7, "token-7", "ann", declaration);
}

struct ch_roster *
ch_roster_new(struct ch_node *node, void (*changed)(void *data), void *data)
{
    (void)node;
    registered.roster = (struct ch_roster){changed, data};
    return &registered.roster;
}

/* Fake: two engines; the host list doesn't say what they hold. */
void
ch_roster_foreach(struct ch_roster *roster,
                  void (*each)(void *data, const struct ch_host *host),
                  void *data)
{
    char *names[] = {"e1", "e2"};
    (void)roster;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const struct ch_host host = {
            .name = names[i],
            .kind = CH_HOST_ENGINE,
            .address = "127.0.0.1:9",
            .region = "r1",
            .data_centre = "d1",
            .service = "s",
            .boot_id = 1,
            .max_batch = 64,
        };
        each(data, &host);
    }
}

void
ch_roster_start(struct ch_roster *roster)
{
    (void)roster;
}

void
ch_roster_unregister(struct ch_roster *roster)
{
    (void)roster;
}

void
ch_roster_stop(struct ch_roster *roster)
{
    (void)roster;
}

void
ch_roster_free(struct ch_roster *roster)
{
    (void)roster;
}

int64_t
ch_roster_get_age(struct ch_roster *roster)
{
    (void)roster;
    return 0;
}

bool
ch_roster_may_call(struct ch_roster *roster, const char *upstream,
                   uint64_t boot_id)
{
    (void)roster, (void)upstream, (void)boot_id;
    return true;
}

bool
ch_roster_is_known(struct ch_roster *roster)
{
    (void)roster;
    return true;
}

struct ch_controller *
ch_controller_new(struct ch_node *node, struct ch_roster *roster,
                  const struct ch_controller_handlers *handlers, void *data)
{
    (void)node, (void)roster;
    registered.handlers = handlers;
    registered.data = data;
    return NULL;
}

void
ch_controller_start(struct ch_controller *controller)
{
    (void)controller;
}

void
ch_controller_refresh(struct ch_controller *controller)
{
    (void)controller;
}

void
ch_controller_drain(struct ch_controller *controller)
{
    (void)controller;
}

void
ch_controller_stop(struct ch_controller *controller)
{
    (void)controller;
}

void
ch_controller_free(struct ch_controller *controller)
{
    (void)controller;
}

void
ch_controller_status(struct ch_controller *controller, JsonBuilder *builder)
{
    (void)controller, (void)builder;
}

bool
ch_controller_has_lease_holder(struct ch_controller *controller,
                               GQuark data_centre)
{
    (void)controller, (void)data_centre;
    return false;
}

bool
ch_controller_prepare_adapter(struct ch_controller *controller,
                              GQuark upstream, GQuark data_centre,
                              GQuark model, GQuark adapter,
                              void (*done)(void *data, enum ch_code code,
                                           const Chestnuthitch__Wire__Frame *),
                              void *data)
{
    (void)controller, (void)upstream, (void)data_centre, (void)model;
    (void)adapter, (void)done, (void)data;
    return false;
}

GHashTable *
controller_sum_demands(struct ch_controller *controller,
                       const struct centre_state *duty, int64_t now)
{
    (void)controller, (void)duty, (void)now;
    return g_hash_table_new(NULL, NULL);
}

void
controller_reply_waiter(struct ch_controller *controller,
                        const struct adapter_waiter *wait, enum ch_code code)
{
    (void)controller, (void)wait, (void)code;
}

struct centre_state *
controller_get_centre(struct ch_controller *controller, GQuark data_centre)
{
    (void)controller, (void)data_centre;
    return NULL;
}

unsigned
controller_get_max_loads(const struct ch_controller *controller,
                         const struct ch_declaration *declaration)
{
    (void)controller, (void)declaration;
    return 1;
}

/* Fake: the lease is not held, so no order is sent. */
bool
ch_lease_is_held(struct ch_lease *lease, uint64_t *fence)
{
    (void)lease, (void)fence;
    return false;
}

int64_t
ch_lease_get_end(struct ch_lease *lease)
{
    (void)lease;
    return 0;
}

void
ch_lease_release(struct ch_lease *lease, int64_t pause)
{
    (void)lease, (void)pause;
}

static void
free_upstream(struct ch_upstream *upstream)
{
    g_free(upstream);
}

static struct ch_upstream *
new_upstream(struct ch_client *client, struct ch_http *http,
             const struct ch_host *host, int64_t call_limit)
{
    static const struct ch_upstream_ops ops = {.free = free_upstream};
    (void)client, (void)http, (void)host, (void)call_limit;
    struct ch_upstream *upstream = g_new0(struct ch_upstream, 1);
    upstream->ops = &ops;
    return upstream;
}

static void
discard_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

struct fixture {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

/* A node with these features disabled. */
static struct fixture *
fixture_new(const struct ch_disabled_features *disabled)
{
    static const struct ch_dialect dialect = {.upstream_new = new_upstream};
    struct fixture *fixture = g_new0(struct fixture, 1);
    fixture->settings = (struct ch_settings){
        .name = "n1",
        .region = "r1",
        .data_centre = "d1",
        .disabled_features = *disabled,
    };
    ch_client_init(&fixture->client, "n1");
    fixture->client.log_write = discard_line;
    fixture->node = (struct ch_node){
        .client = &fixture->client,
        .settings = &fixture->settings,
        .dialect = &dialect,
        .pool = ch_pool_new(1),
    };
    fixture->node.timers = ch_timers_new(fixture->node.pool);
    return fixture;
}

static void
fixture_stop(struct fixture *fixture)
{
    ch_timers_stop(fixture->node.timers);
    ch_pool_free(fixture->node.pool);
    ch_timers_free(fixture->node.timers);
}

/* ---- requests ---- */

#define FEATURE(member) offsetof(struct ch_disabled_features, member)

/* Requests for m1, with the expected outcome while a feature is enabled and
 * while it is disabled. e1 may hold m1, and e2 may be loading it. */
static const struct {
    const char *description;
    size_t feature;
    unsigned prefill_backlog_ms; /* of e1 */
    unsigned age_ms;             /* since the arrival of the request */
    const char *when_enabled;
    const char *when_disabled;
    bool follows_another; /* sent after another request */
    bool resident;        /* m1 is in the memory of e1 */
    bool loading;         /* e2 is loading m1 */
    unsigned target_ms;   /* for the first token; 0: 1000 */
} cases[] = {
    {"a load is coming; the request waited longer than for a load to begin",
     FEATURE(wait_for_model), 0, 2000, "waits", "refused", false, false, true,
     0},
    {"a load is coming; it might just have begun", FEATURE(wait_for_model), 0,
     1000, "waits", "waits", false, false, true, 0},
    {"no engine is loading the model", FEATURE(wait_for_model), 0, 2000,
     "refused", "refused", false, false, false, 0},
    {"its engine is full; another one will have loaded it within the target",
     FEATURE(wait_for_model), 15000, 0, "waits", "refused", false, true, true,
     4000},
    {"its engine is full; another one will have loaded it after the target",
     FEATURE(wait_for_model), 5000, 0, "refused", "refused", false, true, true,
     0},
    {"its engine is full", FEATURE(refuse_late), 5000, 0, "refused", "granted",
     false, true, false, 0},
    {"its engine has time for the request", FEATURE(refuse_late), 0, 0,
     "granted", "granted", false, true, false, 0},
    {"a second long prompt directly after the first", FEATURE(defer_prompts),
     0, 0, "waits", "granted", true, true, false, 0},
    {"a single long prompt", FEATURE(defer_prompts), 0, 0, "granted",
     "granted", false, true, false, 0},
};

struct outcome {
    const char *name;
};

static void
handle_grant(void *data, const struct ch_grant *grant)
{
    (void)grant;
    ((struct outcome *)data)->name = "granted";
}

static void
handle_refusal(void *data, enum ch_code code, int64_t retry_after,
               const char *message)
{
    (void)code, (void)retry_after, (void)message;
    ((struct outcome *)data)->name = "refused";
}

static void
publish_engines(size_t case_index)
{
    GQuark model = g_quark_from_string("m1");
    const struct ch_engine_status first = {
        .upstream = g_quark_from_string("e1"),
        .boot_id = 1,
        .models = &model,
        .model_count = cases[case_index].resident ? 1 : 0,
        .running = cases[case_index].prefill_backlog_ms > 0 ? 1 : 0,
        .prefill_backlog =
            (int64_t)cases[case_index].prefill_backlog_ms * 1000,
    };
    const struct ch_engine_status second = {
        .upstream = g_quark_from_string("e2"),
        .boot_id = 1,
        .pending_loads = &model,
        .pending_load_count = cases[case_index].loading ? 1 : 0,
    };
    registered.handlers->engine_status(registered.data, &first);
    registered.handlers->engine_status(registered.data, &second);
    registered.handlers->status_complete(registered.data);
}

/* Sends the request of a case, after another one if the case says so. Returns
 * the outcome of the last, "waits" unless it was decided at once. */
static const char *
send_requests(struct fixture *fixture, struct ch_router *router,
              size_t case_index)
{
    static const struct ch_router_handlers handlers = {handle_grant,
                                                       handle_refusal};
    const struct ch_timing_sample sample = {.code = CH_OK};
    uint64_t handles[2] = {0};
    struct outcome outcomes[2] = {{"waits"}, {"waits"}};
    unsigned last = cases[case_index].follows_another ? 1 : 0;
    int64_t now = ch_client_get_time(&fixture->client);
    int64_t arrived = now - (int64_t)cases[case_index].age_ms * 1000;
    int64_t target = cases[case_index].target_ms == 0
                         ? SECOND
                         : (int64_t)cases[case_index].target_ms * 1000;
    for (unsigned i = 0; i <= last; i++) {
        const struct ch_request_info work = {
            .id = i,
            .model = g_quark_from_string("m1"),
            .required_service = g_quark_from_string("s"),
            .prompt_tokens = 3500,
            .max_output_tokens = 100,
            .arrived_at = arrived,
            .first_token_deadline = arrived + target,
            .answer_deadline = now + 20 * (int64_t)SECOND,
            .idempotent = true,
        };
        handles[i] =
            router->ops->request(router, &work, NULL, &handlers, &outcomes[i]);
    }
    for (unsigned i = 0; i <= last; i++) {
        if (strcmp(outcomes[i].name, "waits") != 0) {
            router->ops->release(router, handles[i], &sample);
        }
        else {
            g_assert_true(router->ops->withdraw(router, handles[i]));
        }
    }
    return outcomes[last].name;
}

/* Runs each case with its feature enabled and disabled. */
static void
test_requests(void)
{
    for (size_t i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
        bool is_disabled = i % 2 == 1;
        struct ch_disabled_features disabled = {0};
        ((bool *)&disabled)[cases[i / 2].feature] = is_disabled;
        struct fixture *fixture = fixture_new(&disabled);
        struct ch_router *router = ch_balancer_new(&fixture->node);
        registered.roster.changed(registered.roster.data);
        publish_engines(i / 2);
        const char *outcome = send_requests(fixture, router, i / 2);
        g_test_message("%s, %s: %s", cases[i / 2].description,
                       is_disabled ? "off" : "on", outcome);
        g_assert_cmpstr(outcome, ==,
                        is_disabled ? cases[i / 2].when_disabled
                                    : cases[i / 2].when_enabled);
        fixture_stop(fixture);
        router->ops->free(router);
        g_free(fixture);
    }
}

/* ---- adapters ---- */

/* The number of items of an engine that holds m1, after adapters were loaded
 * before requests. */
static guint
count_items_after_preload(const struct ch_disabled_features *disabled)
{
    struct fixture *fixture = fixture_new(disabled);
    const struct ch_host host = {.name = "e1", .address = "127.0.0.1:9"};
    struct ch_controller controller = {
        .node = &fixture->node,
        .engines = g_hash_table_new(NULL, NULL),
    };
    struct centre_state duty = {.data_centre = g_quark_from_string("d1")};
    struct controller_engine *engine = engine_new(&controller, &host);
    engine->service = g_quark_from_string("s");
    engine->data_centre = duty.data_centre;
    engine->listed = true;
    engine->state_known = true;
    engine_add_item(engine, g_quark_from_string("m1"), 0, CH_ITEM_RESIDENT, 0);
    g_hash_table_insert(controller.engines, GUINT_TO_POINTER(engine->name),
                        engine);
    controller_preload_adapters(&controller, &duty, 1);
    guint count = engine->items->len;
    engine_unref(engine);
    g_hash_table_destroy(controller.engines);
    fixture_stop(fixture);
    g_free(fixture);
    return count;
}

/* An adapter that no engine holds is loaded into a free slot, unless the
 * feature is disabled. */
static void
test_adapters(void)
{
    const struct ch_disabled_features nothing = {0};
    const struct ch_disabled_features preloading = {.preload_adapters = true};
    g_assert_cmpuint(count_items_after_preload(&nothing), ==, 2);
    g_assert_cmpuint(count_items_after_preload(&preloading), ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/switches/requests", test_requests);
    g_test_add_func("/switches/adapters", test_adapters);
    return g_test_run();
}
