/*
 * Two operators who apply at once, in a loop, from two nodes.  What an
 * operator sees: accepted, or a conflict with a diff; what is accepted is in
 * force at every node within five seconds and never goes back.  Order: both
 * apply on the same base; meanwhile answers to writes are lost, the service is
 * slow, a node dies and comes back.  Why: accepted means that the
 * compare-and-swap succeeded, a lost answer is settled by reading back the
 * writer's token, and a node takes only a higher revision.
 */

#include "harness/harness.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

enum {
    ROUNDS = 8,
    IN_FORCE_MS = 5000,
    EXIT_OK = 0,
    EXIT_CONFLICT = 3,
};

/* A thread that looks at every node's revision all the time. */
struct watcher {
    struct harness_fleet *fleet;
    pthread_mutex_t lock;
    bool stopping;
    unsigned looks;
    unsigned went_back;
    GThread *thread;
};

/* Looks until it is stopped; a node that was started anew may know none. */
static gpointer
watch(gpointer data)
{
    struct watcher *watcher = data;
    uint64_t last[HARNESS_MOST] = {0};
    bool stop = false;
    while (!stop) {
        for (unsigned i = 0; i < watcher->fleet->node_count; i++) {
            uint64_t now = harness_revision(&watcher->fleet->nodes[i]);
            pthread_mutex_lock(&watcher->lock);
            watcher->looks++;
            watcher->went_back += now != 0 && now < last[i] ? 1 : 0;
            stop = watcher->stopping;
            pthread_mutex_unlock(&watcher->lock);
            last[i] = now == 0 ? last[i] : now;
        }
        harness_sleep(10);
    }
    return NULL;
}

/* Writes an operator's declaration: its own target in it. */
static char *
write_declaration(const struct harness_fleet *fleet, unsigned operator,
                  unsigned round)
{
    GKeyFile *file = g_key_file_new();
    char *path =
        g_strdup_printf("%s/operator-%u.ini", fleet->directory, operator);
    g_assert_true(g_key_file_load_from_file(file, fleet->shape.declaration,
                                            G_KEY_FILE_NONE, NULL));
    g_key_file_set_integer(file, "class advice", "first-token-ms",
                           (int)(1000 + 100 * operator+ round));
    g_assert_true(g_key_file_save_to_file(file, path, NULL));
    g_key_file_unref(file);
    return path;
}

/* Starts `config apply` on a base. */
static pid_t
start_apply(const struct harness_fleet *fleet, const struct harness_node *node,
            const char *path, uint64_t base, unsigned operator)
{
    char *program = g_build_filename(fleet->build, "chestnuthitch", NULL);
    char *on = g_strdup_printf("--base=%" PRIu64, base);
    char *author = g_strdup_printf("--author=operator-%u", operator);
    const char *argv[] = {program, "config", "apply",
                          path,    "--node", node->admin_address,
                          on,      author,   NULL};
    pid_t pid = harness_spawn(argv, NULL, NULL);
    g_free(author);
    g_free(on);
    g_free(program);
    return pid;
}

/* True when every node has this target in force within the limit. */
static bool
in_force(const struct harness_fleet *fleet, unsigned target, int64_t *took)
{
    char *line = g_strdup_printf("first-token-ms = %u", target);
    char *tight = g_strdup_printf("first-token-ms=%u", target);
    int64_t begun = harness_now();
    unsigned have = 0;
    while (have < fleet->node_count && harness_now() - begun < IN_FORCE_MS) {
        char *body = NULL;
        if (harness_get(fleet->nodes[have].admin_address, "/admin/v1/config",
                        &body) == 200 &&
            (strstr(body, line) != NULL || strstr(body, tight) != NULL)) {
            have++;
        }
        else {
            harness_sleep(10);
        }
        g_free(body);
    }
    *took = harness_now() - begun;
    g_free(line);
    g_free(tight);
    return have == fleet->node_count;
}

/* The revision that most is known of. */
static uint64_t
newest(const struct harness_fleet *fleet)
{
    uint64_t most = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        most = MAX(most, harness_revision(&fleet->nodes[i]));
    }
    return most;
}

/* Brings about a round's fault. */
static void
disturb(struct harness_fleet *fleet, unsigned round)
{
    struct harness_node *last = &fleet->nodes[fleet->node_count - 1];
    if (round % 4 == 1) {
        harness_set(&fleet->kv, "drop_after=1");
    }
    if (round % 4 == 2) {
        harness_set(&fleet->kv, "slow_ms=300");
    }
    if (round == 3) {
        harness_node_kill(last, SIGKILL);
    }
}

/* Takes it away again. */
static void
settle(struct harness_fleet *fleet, unsigned round)
{
    struct harness_node *last = &fleet->nodes[fleet->node_count - 1];
    harness_set(&fleet->kv, "slow_ms=0&drop_after=0");
    if (round == 3) {
        harness_node_start(fleet, last);
        g_assert_true(harness_node_wait(last, true, HARNESS_READY_MS));
    }
}

/* One round: both on the same base. */
static void
run_round(struct harness_fleet *fleet, unsigned round, int64_t *slowest)
{
    uint64_t base = newest(fleet);
    pid_t pids[2];
    int status[2];
    int64_t took = 0;
    disturb(fleet, round);
    for (unsigned i = 0; i < 2; i++) {
        char *path = write_declaration(fleet, i, round);
        pids[i] = start_apply(fleet, &fleet->nodes[i], path, base, i);
        g_free(path);
    }
    for (unsigned i = 0; i < 2; i++) {
        status[i] = harness_wait(pids[i], 30000);
    }
    settle(fleet, round);
    g_print("# round %u: base %" PRIu64 ", exits %d and %d\n", round, base,
            status[0], status[1]);
    unsigned accepted =
        (status[0] == EXIT_OK ? 1 : 0) + (status[1] == EXIT_OK ? 1 : 0);
    g_assert_cmpuint(accepted, ==, 1);
    g_assert_true(status[0] == EXIT_CONFLICT || status[1] == EXIT_CONFLICT);
    unsigned winner = status[0] == EXIT_OK ? 0 : 1;
    g_assert_true(in_force(fleet, 1000 + 100 * winner + round, &took));
    *slowest = MAX(*slowest, took);
}

/* Rounds of two operators, with every node's revision watched. */
static void
test_operators(void)
{
    static const struct harness_shape shape = {
        .nodes = 5, .engines = 1, .services = 1};
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    struct watcher watcher = {.fleet = fleet};
    int64_t slowest = 0;
    pthread_mutex_init(&watcher.lock, NULL);
    watcher.thread = g_thread_new("watcher", watch, &watcher);
    for (unsigned round = 0; round < ROUNDS; round++) {
        run_round(fleet, round, &slowest);
    }
    pthread_mutex_lock(&watcher.lock);
    watcher.stopping = true;
    pthread_mutex_unlock(&watcher.lock);
    (void)g_thread_join(watcher.thread);
    g_print("figure: two-operators: %d rounds, %u looks, slowest to be in "
            "force everywhere %" PRId64 " ms\n",
            ROUNDS, watcher.looks, slowest);
    g_assert_cmpuint(watcher.went_back, ==, 0);
    pthread_mutex_destroy(&watcher.lock);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/config/two-operators", test_operators);
    return g_test_run();
}
