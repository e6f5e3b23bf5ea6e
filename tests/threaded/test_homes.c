/* Tests how a node's requests are granted, with a clock that the test
 * moves. */

#include "node/limit_manager.h"
#include "node/node.h"

#include <ck_pr.h>
#include <semaphore.h>
#include <string.h>

struct world {
    /* First member: fetch() casts its pointer to struct world. */
    struct ch_host_source hosts;
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    uint64_t clock_offset_us; /* offset of the clock, in microseconds */
    const char *state;
    sem_t replied;
    sem_t worker_release; /* lets the blocked worker go on */
    sem_t worker_blocked;
    unsigned granted;
    unsigned refused;
    enum ch_code code;
    struct ch_grant grant;
};

/* The clock, moved by clock_offset_us. */
static int64_t
get_moved_time(void *data)
{
    struct world *world = data;
    return g_get_monotonic_time() +
           (int64_t)ck_pr_load_64(&world->clock_offset_us);
}

/* Drops log lines. */
static void
no_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

/* The host list: one service. */
static void
fetch_hosts(struct ch_host_source *hosts,
            void (*done)(void *data, enum ch_code code,
                         struct ch_host_list *list),
            void *data)
{
    const struct world *world = (const struct world *)hosts;
    char *json = g_strdup_printf(
        "{\"hosts\":[{\"name\":\"o01\",\"kind\":\"service\",\"address\":"
        "\"127.0.0.1:9\",\"region\":\"r1\",\"data_centre\":\"a\","
        "\"service\":\"orders\",\"state\":\"%s\"}]}",
        world->state);
    struct ch_error error = {0};
    struct ch_host_list *list = ch_host_list_parse(json, strlen(json), &error);
    g_assert_nonnull(list);
    g_free(json);
    done(data, CH_OK, list);
}

static const struct ch_host_source_ops hosts_ops = {.fetch = fetch_hosts};

/* A node with one worker, a host list and homes only. */
static struct world *
world_new(const char *state)
{
    struct world *world = g_new0(struct world, 1);
    struct ch_error error = {0};
    world->hosts.ops = &hosts_ops;
    world->state = state;
    sem_init(&world->replied, 0, 0);
    sem_init(&world->worker_release, 0, 0);
    sem_init(&world->worker_blocked, 0, 0);
    ch_client_init(&world->client, "e01");
    world->client.log_write = no_log;
    world->client.now = get_moved_time;
    world->client.now_data = world;
    world->client.metrics = ch_metrics_new();
    world->settings = (struct ch_settings){
        .name = (char *)"e01",
        .region = (char *)"r1",
        .data_centre = (char *)"a",
        .peers = (char *)"127.0.0.1:0",
        .peer_timeout_ms = 600,
        .idle_connection_ms = 60000,
        .host_list_period_ms = 10000,
        .max_queue_length = 10,
        .first_byte_ms = 1000,
        .loads_per_s = 1,
        .max_parallel_loads = 1,
        .region_link_mbit_per_s = 30,
    };
    struct ch_node *node = &world->node;
    node->client = &world->client;
    node->settings = &world->settings;
    node->incarnation = 1;
    node->hosts = &world->hosts;
    node->pool = ch_pool_new(1);
    node->timers = ch_timers_new(node->pool);
    node->http = ch_http_new(&world->client);
    node->peers = ch_peers_new(node, &error);
    g_assert_nonnull(node->peers);
    node->limits = ch_limit_manager_new(node);
    node->homes = ch_homes_new(node);
    ch_peers_start(node->peers);
    ch_homes_start(node->homes);
    while (!ch_homes_is_ready(node->homes)) {
        g_usleep(1000);
    }
    return world;
}

static void
world_free(struct world *world)
{
    struct ch_node *node = &world->node;
    ch_homes_stop(node->homes);
    ch_peers_stop(node->peers);
    ch_http_free(node->http);
    ch_timers_stop(node->timers);
    ch_pool_free(node->pool);
    ch_timers_free(node->timers);
    ch_homes_free(node->homes);
    ch_limit_manager_free(node->limits);
    ch_peers_free(node->peers);
    ch_metrics_free(world->client.metrics);
    g_free(world);
}

static void
on_granted(void *data, const struct ch_grant *grant)
{
    struct world *world = data;
    world->granted++;
    world->grant = *grant;
    sem_post(&world->replied);
}

static void
on_refused(void *data, enum ch_code code, int64_t retry_after,
           const char *message)
{
    struct world *world = data;
    (void)retry_after;
    (void)message;
    world->refused++;
    world->code = code;
    sem_post(&world->replied);
}

/* Waits for the semaphore, also when interrupted by signals. */
static void
wait_for(sem_t *semaphore)
{
    while (sem_wait(semaphore) != 0) {
    }
}

/* Requests a grant to send an order to the service. */
static uint64_t
request_grant(struct world *world)
{
    static const struct ch_router_handlers handlers = {
        .granted = on_granted,
        .refused = on_refused,
    };
    int64_t now = get_moved_time(world);
    struct ch_request_info info = {
        .id = 1,
        .model = g_quark_from_static_string("orders"),
        .is_service = true,
        .class_name = g_quark_from_static_string("order"),
        .arrived_at = now,
        .first_token_deadline = now + INT64_C(60000000),
    };
    return ch_homes_request(world->node.homes, &info, NULL, &handlers, world);
}

/* Blocks the only worker until the test releases it. */
static void
block_worker(void *data)
{
    struct world *world = data;
    sem_post(&world->worker_blocked);
    wait_for(&world->worker_release);
}

struct grant_case {
    const char *name;
    const char *state;
    int64_t pause_us; /* between the home's grant and its use */
    unsigned granted;
    unsigned refused;
    uint64_t grants; /* grants given by the home */
};

/*
 * Guards against using an outdated grant: the process is suspended for five
 * seconds after the home's grant and before the order is sent.  The upstream
 * may have been removed meanwhile, so the grant must be released and requested
 * again.  The caller's order is sent once, a little later.
 */
static const struct grant_case grant_cases[] = {
    {"at once", "live", 0, 1, 0, 1},
    {"after a short pause", "live", INT64_C(500000), 1, 0, 1},
    {"after a pause", "live", INT64_C(5000000), 1, 0, 2},
    {"leaving", "leaving", 0, 0, 1, 0},
};

static void
test_grant(gconstpointer data)
{
    const struct grant_case *grant_case = data;
    struct world *world = world_new(grant_case->state);
    ch_pool_submit(world->node.pool, block_worker, world);
    wait_for(&world->worker_blocked);
    uint64_t handle = request_grant(world);
    ck_pr_store_64(&world->clock_offset_us, (uint64_t)grant_case->pause_us);
    sem_post(&world->worker_release);
    wait_for(&world->replied);
    g_assert_cmpuint(world->granted, ==, grant_case->granted);
    g_assert_cmpuint(world->refused, ==, grant_case->refused);
    g_assert_cmpuint(
        ch_metrics_get_count(world->client.metrics, CH_COUNT_GRANTS), ==,
        grant_case->grants);
    if (world->granted > 0) {
        const struct ch_timing_sample sample = {.code = CH_OK,
                                                .first_byte_time = 1000};
        g_assert_cmpuint(world->grant.handle, ==, handle);
        ch_homes_release(world->node.homes, handle, &sample);
    }
    g_assert_false(ch_homes_withdraw(world->node.homes, handle));
    world_free(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(grant_cases); i++) {
        char *path = g_strdup_printf("/homes/grant/%s", grant_cases[i].name);
        g_test_add_data_func(path, &grant_cases[i], test_grant);
        g_free(path);
    }
    return g_test_run();
}
