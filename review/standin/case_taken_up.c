/*
 * Two software versions of one service serve side by side, two workers of each.
 * All nodes are killed at the same moment.  Clients take up the streams that
 * were broken off, and other clients begin new ones.
 */

#include "config.h"
#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    NODES = 3,
    STREAMS = 24,
    NEW_STREAMS = 24,
    EVENTS = 150,
    TRIES = 4,
};

/* stable_window_ms */
static const double WINDOW_S = 4.0;
/* Of the processes, until they are started again. */
static const double DOWN_S = 0.8;
static struct deployment deployment;
static double started_at;
static unsigned begun;
static unsigned tried;   /* streams that were taken up at nodes in touch */
static unsigned went_on; /* of these */
static unsigned fresh;   /* new streams at nodes in touch */
static unsigned fresh_begun;
static unsigned mixed;

/* Version by request ID, as the workers run them; guarded by world_lock. */
static GHashTable *versions;

/* See worker_on_run. */
static void
note_run(const struct worker *worker, const struct http_message *request)
{
    g_hash_table_insert(versions, g_strdup(http_header(request, "Request-Id")),
                        worker->version);
}

static uint64_t
count_events(const GString *body)
{
    uint64_t count = 0;
    for (const char *at = body->str; (at = strstr(at, "\n\n")) != NULL;
         at += 2) {
        count++;
    }
    return count;
}

/* One client: a stream, and tries to take it up at the other nodes. */
static void *
run_client(void *data)
{
    int index = GPOINTER_TO_INT(data);
    double until = world_now() + 12;
    bool was_in_touch = false;
    struct client_call call = {
        .deployment = &deployment,
        .node = index % NODES,
        .path = "/notes/a",
        .model = index % 2 == 0 ? "m0" : "m1",
        .events = EVENTS,
        .deadline_ms = 12000,
    };
    client_send(&call);
    uint64_t events = count_events(call.body);
    bool goes_on = false;
    g_autofree char *first = g_strdup(call.id);
    pthread_mutex_lock(&world_lock);
    const char *version = g_hash_table_lookup(versions, first);
    begun += events > 0 ? 1 : 0;
    pthread_mutex_unlock(&world_lock);
    /* A few tries, each at another node, 0.5, 1, 2 and 4 s after the one
     * before. */
    for (int i = 1;
         events > 0 && call.status == 0 && !goes_on && i <= TRIES; i++) {
        g_usleep((gulong)(250 * 1000) << i);
        struct client_call again = call;
        again.node = (index + i) % NODES;
        again.resumes = first;
        again.last_event = events;
        again.deadline_ms = (unsigned)((until - world_now()) * 1000);
        was_in_touch = started_at > 0 && world_now() > started_at + WINDOW_S;
        client_send(&again);
        goes_on = count_events(again.body) > 0;
        pthread_mutex_lock(&world_lock);
        const char *now = g_hash_table_lookup(versions, again.id);
        mixed += goes_on && now != NULL && strcmp(now, version) != 0 ? 1 : 0;
        pthread_mutex_unlock(&world_lock);
    }
    pthread_mutex_lock(&world_lock);
    tried += was_in_touch ? 1 : 0;
    went_on += was_in_touch && goes_on ? 1 : 0;
    if (was_in_touch && !goes_on) {
        world_record("the stream that began as %s goes on nowhere", first);
    }
    pthread_mutex_unlock(&world_lock);
    return NULL;
}

/* One client that begins a new stream at a node in touch. */
static void *
run_new_client(void *data)
{
    int index = GPOINTER_TO_INT(data);
    struct client_call call = {
        .deployment = &deployment,
        .node = index % NODES,
        .path = "/notes/a",
        .model = index % 2 == 0 ? "m0" : "m1",
        .events = 10,
        .deadline_ms = 12000,
    };
    client_send(&call);
    pthread_mutex_lock(&world_lock);
    fresh++;
    fresh_begun += count_events(call.body) > 0 ? 1 : 0;
    pthread_mutex_unlock(&world_lock);
    return NULL;
}

int
main(void)
{
    const char *text = getenv("TROUBLE");
    bool trouble = text == NULL || strcmp(text, "0") != 0;
    versions = g_hash_table_new(g_str_hash, g_str_equal);
    worker_on_run = note_run;
    deployment.workers[0] = worker_start_version(
        "i-1a", "helper-llm", "luzon-a", "m0,m1", 0.03, "v1");
    deployment.workers[1] = worker_start_version(
        "i-2b", "helper-llm", "luzon-a", "m0,m1", 0.03, "v2");
    deployment.workers[2] = worker_start_version(
        "i-4d", "helper-llm", "luzon-a", "m0,m1", 0.03, "v1");
    deployment.workers[3] = worker_start_version(
        "i-5e", "helper-llm", "luzon-a", "m0,m1", 0.03, "v2");
    deployment.workers[4] =
        worker_start("i-3c", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.worker_count = 5;
    world_sleep_until(0.2);
    deployment_start(&deployment, NODES, config_get());
    world_sleep_until(world_now() + 2);
    double begin = world_now();
    for (int i = 0; i < STREAMS; i++) {
        world_start_thread(run_client, GINT_TO_POINTER(i));
    }
    world_sleep_until(begin + 1.5);
    if (trouble) {
        for (int i = 0; i < NODES; i++) {
            deployment_kill_node(&deployment, i);
        }
        world_sleep_until(begin + 1.5 + DOWN_S);
        for (int i = 0; i < NODES; i++) {
            deployment_start_node(&deployment, i);
        }
        started_at = world_now();
    }
    world_sleep_until(begin + 1.5 + DOWN_S + WINDOW_S + 0.2);
    for (int i = 0; i < NEW_STREAMS; i++) {
        world_start_thread(run_new_client, GINT_TO_POINTER(i));
        g_usleep(150 * 1000);
    }
    world_sleep_until(begin + 14);
    deployment_stop(&deployment);
    pthread_mutex_lock(&world_lock);
    bool could_run = begun >= 12 && fresh >= 12 && (!trouble || tried >= 12);
    bool broken = could_run && trouble &&
                  (double)went_on / tried <
                      0.5 * (double)fresh_begun / fresh;
    world_record("%u streams begun; %u of %u that were taken up at nodes in "
                 "touch went on, %u of %u new ones began; %u went on at "
                 "another version%s",
                 begun, went_on, tried, fresh_begun, fresh, mixed,
                 broken ? ": BROKEN" : "");
    (void)printf("%u streams begun; %u of %u that were taken up at nodes in "
                 "touch went on, %u of %u new ones began; %u went on at "
                 "another version\n",
                 begun, went_on, tried, fresh_begun, fresh, mixed);
    return !could_run ? 2 : broken ? 1 : 0;
}
