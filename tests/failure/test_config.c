/*
 * Guards against lost or reverted changes when two operators apply at the same
 * time, in a loop, from two nodes.  An operator sees either acceptance or a
 * conflict with a diff; an accepted change is in force at every node within
 * five seconds and no node returns to an older revision.  Both apply on the
 * same base while responses to writes are lost, the key-value store is slow,
 * or a node is killed and restarted.  A change is accepted only if its
 * compare-and-swap succeeded, a lost response is settled by reading back the
 * write ID, and a node takes only a higher revision.
 */

#include "harness/harness.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

enum {
    ROUNDS = 8,
    IN_FORCE_LIMIT_MS = 5000,
    EXIT_OK = 0,
    EXIT_CONFLICT = 3,
};

/* A thread that polls the revision of every node. */
struct watcher {
    struct harness_fleet *fleet;
    pthread_mutex_t lock;
    bool stop_requested;
    unsigned polls;
    unsigned revision_decreases;
    GThread *thread;
};

/* Polls until stopped.  A restarted node may have no revision (0) at
 * first; that does not count as a return to an older one. */
static gpointer
run_watcher(gpointer data)
{
    struct watcher *watcher = data;
    uint64_t last[HARNESS_MAX_PROCESSES] = {0};
    bool stop = false;
    while (!stop) {
        for (unsigned i = 0; i < watcher->fleet->node_count; i++) {
            uint64_t now = harness_get_revision(&watcher->fleet->nodes[i]);
            pthread_mutex_lock(&watcher->lock);
            watcher->polls++;
            watcher->revision_decreases += now != 0 && now < last[i] ? 1 : 0;
            stop = watcher->stop_requested;
            pthread_mutex_unlock(&watcher->lock);
            last[i] = now == 0 ? last[i] : now;
        }
        harness_sleep_ms(10);
    }
    return NULL;
}

/* Writes a declaration whose first-token target identifies the operator and
 * the round; returns its path, which the caller frees. */
static char *
write_declaration(const struct harness_fleet *fleet, unsigned operator,
                  unsigned round)
{
    GKeyFile *file = g_key_file_new();
    char *path =
        g_strdup_printf("%s/operator-%u.ini", fleet->directory, operator);
    g_assert_true(g_key_file_load_from_file(
        file, fleet->config.declaration_path, G_KEY_FILE_NONE, NULL));
    g_key_file_set_integer(file, "class advice", "first-token-ms",
                           (int)(1000 + 100 * operator+ round));
    g_assert_true(g_key_file_save_to_file(file, path, NULL));
    g_key_file_unref(file);
    return path;
}

/* Starts `config apply` on a base revision; returns the process ID. */
static pid_t
start_apply(const struct harness_fleet *fleet, const struct harness_node *node,
            const char *path, uint64_t base, unsigned operator)
{
    char *program =
        g_build_filename(fleet->build_directory, "chestnuthitch", NULL);
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

/* Waits until every node has this first-token target in force; false after
 * IN_FORCE_LIMIT_MS.  *elapsed_ms: the time waited in ms. */
static bool
wait_until_in_force(const struct harness_fleet *fleet, unsigned target,
                    int64_t *elapsed_ms)
{
    char *line = g_strdup_printf("first-token-ms = %u", target);
    char *compact_line = g_strdup_printf("first-token-ms=%u", target);
    int64_t started_at = harness_now_ms();
    unsigned nodes_in_force = 0;
    while (nodes_in_force < fleet->node_count &&
           harness_now_ms() - started_at < IN_FORCE_LIMIT_MS) {
        char *body = NULL;
        if (harness_get(fleet->nodes[nodes_in_force].admin_address,
                        "/admin/v1/config", &body) == 200 &&
            (strstr(body, line) != NULL ||
             strstr(body, compact_line) != NULL)) {
            nodes_in_force++;
        }
        else {
            harness_sleep_ms(10);
        }
        g_free(body);
    }
    *elapsed_ms = harness_now_ms() - started_at;
    g_free(line);
    g_free(compact_line);
    return nodes_in_force == fleet->node_count;
}

/* The highest revision at any node. */
static uint64_t
find_newest_revision(const struct harness_fleet *fleet)
{
    uint64_t most = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        most = MAX(most, harness_get_revision(&fleet->nodes[i]));
    }
    return most;
}

/* Injects the fault of a round. */
static void
inject_fault(struct harness_fleet *fleet, unsigned round)
{
    struct harness_node *last = &fleet->nodes[fleet->node_count - 1];
    if (round % 4 == 1) {
        harness_set_faults(&fleet->kv, "drop_after=1");
    }
    if (round % 4 == 2) {
        harness_set_faults(&fleet->kv, "slow_ms=300");
    }
    if (round == 3) {
        harness_node_signal(last, SIGKILL);
    }
}

/* Removes the fault of a round. */
static void
remove_fault(struct harness_fleet *fleet, unsigned round)
{
    struct harness_node *last = &fleet->nodes[fleet->node_count - 1];
    harness_set_faults(&fleet->kv, "slow_ms=0&drop_after=0");
    if (round == 3) {
        harness_node_start(fleet, last);
        g_assert_true(
            harness_node_wait_ready(last, true, HARNESS_READY_TIMEOUT_MS));
    }
}

/* One round: both operators apply on the same base. */
static void
run_round(struct harness_fleet *fleet, unsigned round, int64_t *slowest_ms)
{
    uint64_t base = find_newest_revision(fleet);
    pid_t pids[2];
    int status[2];
    int64_t elapsed_ms = 0;
    inject_fault(fleet, round);
    for (unsigned i = 0; i < 2; i++) {
        char *path = write_declaration(fleet, i, round);
        pids[i] = start_apply(fleet, &fleet->nodes[i], path, base, i);
        g_free(path);
    }
    for (unsigned i = 0; i < 2; i++) {
        status[i] = harness_wait_exit(pids[i], 30000);
    }
    remove_fault(fleet, round);
    g_print("# round %u: base %" PRIu64 ", exits %d and %d\n", round, base,
            status[0], status[1]);
    unsigned accepted =
        (status[0] == EXIT_OK ? 1 : 0) + (status[1] == EXIT_OK ? 1 : 0);
    g_assert_cmpuint(accepted, ==, 1);
    g_assert_true(status[0] == EXIT_CONFLICT || status[1] == EXIT_CONFLICT);
    unsigned winner = status[0] == EXIT_OK ? 0 : 1;
    g_assert_true(
        wait_until_in_force(fleet, 1000 + 100 * winner + round, &elapsed_ms));
    *slowest_ms = MAX(*slowest_ms, elapsed_ms);
}

static void
test_operators(void)
{
    static const struct harness_fleet_config shape = {
        .node_count = 5, .engine_count = 1, .service_count = 1};
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    struct watcher watcher = {.fleet = fleet};
    int64_t slowest_ms = 0;
    pthread_mutex_init(&watcher.lock, NULL);
    watcher.thread = g_thread_new("watcher", run_watcher, &watcher);
    for (unsigned round = 0; round < ROUNDS; round++) {
        run_round(fleet, round, &slowest_ms);
    }
    pthread_mutex_lock(&watcher.lock);
    watcher.stop_requested = true;
    pthread_mutex_unlock(&watcher.lock);
    (void)g_thread_join(watcher.thread);
    g_print("figure: two-operators: %d rounds, %u looks, slowest to be in "
            "force everywhere %" PRId64 " ms\n",
            ROUNDS, watcher.polls, slowest_ms);
    g_assert_cmpuint(watcher.revision_decreases, ==, 0);
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
