/*
 * Guards against streams that hold events from upstreams of two software
 * versions, within one response or over several attempts of their caller, and
 * against streams that could go on at the version that began them but are
 * refused.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BOTH_MODELS "m1,m2"

enum {
    NODES = 7,
    CALLERS = 28,
    EVENTS = 60, /* at 20 ms each */
    STREAM_MS = 1200,
    MAX_TRIES = 4,
    DEADLINE_MS = 12 * 1000,
    REST_MS = 100, /* of a caller whose attempt was refused or cut */
    SETTLE_MS = 1500,
    LOAD_MS = 9000,
    /* Of fewer streams the share that goes on is not compared. */
    MIN_TAKEN_UP = 12,
    OUT_OF_STEP = 3, /* nodes at once */
};

/* ---- callers ---- */

struct counts {
    unsigned streams; /* whose first attempt was answered */
    unsigned began;   /* brought an event */
    unsigned whole;
    unsigned taken_up;
    unsigned went_on;
    unsigned joined; /* hold events of two versions */
    unsigned gaps;   /* miss an event, or have one twice */
    unsigned refused_take_ups;
    unsigned without_retry_after; /* refusals that name no time to return */
};

struct callers {
    struct harness_fleet *fleet;
    pthread_mutex_t lock;
    struct counts counts;
    bool stopped;
    bool resumes; /* callers name the request that began the stream */
    unsigned max_tries;
    unsigned last_id;
};

/* What one caller has of one stream. */
struct stream_state {
    char first_id[32]; /* of the attempt that brought the first event */
    char version[32];  /* of the first event */
    unsigned last_event;
    bool joined;
    bool gap;
    bool taken_up;
    bool went_on;
};

static bool
is_stopped(struct callers *callers)
{
    pthread_mutex_lock(&callers->lock);
    bool stopped = callers->stopped;
    pthread_mutex_unlock(&callers->lock);
    return stopped;
}

/* Reads the events of one attempt; returns their number. */
static unsigned
read_events(struct stream_state *state, const char *body)
{
    unsigned count = 0;
    unsigned id = 0;
    char version[32];
    const char *at = body;
    while ((at = strstr(at, "id: ")) != NULL && strstr(at, "\n\n") != NULL &&
           sscanf(at, "id: %u\ndata: %31[^/]/", &id, version) == 2) {
        if (state->version[0] == '\0') {
            g_strlcpy(state->version, version, sizeof state->version);
        }
        if (strcmp(state->version, version) != 0 && !state->joined) {
            state->joined = true;
            g_print("# stream %s: %s from event %u on, began at %s\n",
                    state->first_id, version, id, state->version);
        }
        state->gap |= id != state->last_event + 1;
        state->last_event = id;
        count++;
        at += 4;
    }
    return count;
}

static void
make_request_id(struct callers *callers, char *id, size_t size)
{
    pthread_mutex_lock(&callers->lock);
    (void)g_snprintf(id, size, "%08x", ++callers->last_id);
    pthread_mutex_unlock(&callers->lock);
}

/* Sends one attempt to a random node; returns the response, or NULL if no node
 * answered. Each node gets an ID of its own, as a node that was killed may
 * have begun the stream. */
static struct harness_stream *
send_attempt(struct callers *callers, GRand *random,
             const struct stream_state *state, char *id, size_t id_size,
             const char *model)
{
    char last[16];
    (void)g_snprintf(last, sizeof last, "%u", state->last_event);
    bool takes_up = state->last_event > 0;
    for (unsigned i = 0; i < NODES * 2; i++) {
        const struct harness_node *node =
            &callers->fleet->nodes[g_rand_int_range(
                random, 0, (gint32)callers->fleet->node_count)];
        make_request_id(callers, id, id_size);
        const struct harness_stream_call call = {
            .address = node->caller_address,
            .host = HARNESS_USERS_HOST,
            .path = HARNESS_USERS_PATH,
            .request_id = id,
            .resumes = takes_up && callers->resumes ? state->first_id : NULL,
            .last_event_id = takes_up ? last : NULL,
            .model = model,
            .events = EVENTS,
            .deadline_ms = DEADLINE_MS,
        };
        struct harness_stream *stream = harness_request_stream(&call);
        if (stream->status != 0) {
            return stream;
        }
        harness_stream_free(stream);
        harness_sleep_ms(10);
    }
    return NULL;
}

static void
count_refusal(struct callers *callers, const struct harness_stream *stream,
              bool takes_up)
{
    pthread_mutex_lock(&callers->lock);
    callers->counts.refused_take_ups += takes_up;
    callers->counts.without_retry_after +=
        takes_up && stream->status == 503 && stream->retry_after_s <= 0;
    pthread_mutex_unlock(&callers->lock);
}

/* One attempt; returns whether the stream is whole now. */
static bool
run_attempt(struct callers *callers, GRand *random, struct stream_state *state,
            const char *model)
{
    char id[32];
    bool takes_up = state->last_event > 0;
    struct harness_stream *stream =
        send_attempt(callers, random, state, id, sizeof id, model);
    if (stream == NULL) {
        return false;
    }
    unsigned events = 0;
    if (stream->status == 200) {
        events = read_events(state, stream->body->str);
    }
    else {
        count_refusal(callers, stream, takes_up);
    }
    if (events > 0 && !takes_up) {
        g_strlcpy(state->first_id, id, sizeof state->first_id);
    }
    state->taken_up |= takes_up;
    state->went_on |= takes_up && events > 0;
    bool whole = stream->complete && state->last_event == EVENTS;
    harness_stream_free(stream);
    return whole;
}

static void
run_stream(struct callers *callers, GRand *random)
{
    struct stream_state state = {0};
    const char *model = g_rand_boolean(random) ? "m1" : "m2";
    bool whole = false;
    for (unsigned i = 0; i < callers->max_tries && !whole; i++) {
        if (i > 0) {
            harness_sleep_ms(REST_MS);
        }
        whole = run_attempt(callers, random, &state, model);
    }
    pthread_mutex_lock(&callers->lock);
    struct counts *counts = &callers->counts;
    counts->streams++;
    counts->began += state.last_event > 0;
    counts->whole += whole;
    counts->taken_up += state.taken_up;
    counts->went_on += state.went_on;
    counts->joined += state.joined;
    counts->gaps += state.gap;
    pthread_mutex_unlock(&callers->lock);
}

struct caller {
    struct callers *callers;
    guint32 seed;
};

static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    GRand *random = g_rand_new_with_seed(caller->seed);
    /* So that streams of all ages are cut by a fault. */
    harness_sleep_ms(g_rand_int_range(random, 0, STREAM_MS));
    while (!is_stopped(caller->callers)) {
        run_stream(caller->callers, random);
    }
    g_rand_free(random);
    return NULL;
}

/* ---- faults ---- */

struct scenario;

/* A running scenario. */
struct play {
    const struct scenario *scenario;
    struct harness_fleet *fleet;
    GRand *random;
    int64_t ends_at_ms;
    unsigned next_worker; /* number of the next worker to be started */
};

struct scenario {
    const char *name;
    void (*faults)(struct play *play); /* until play->ends_at_ms */
    unsigned max_tries;                /* of a caller; 0: MAX_TRIES */
    bool without_resumes;
    /* All of a version is gone at the end, so that few streams can go on. */
    bool may_refuse;
    bool begins_with_one_version;
};

static bool
goes_on(const struct play *play)
{
    return harness_now_ms() < play->ends_at_ms;
}

static void
start_worker(struct play *play, char *name, size_t size, const char *version)
{
    (void)g_snprintf(name, size, "e%u", ++play->next_worker);
    harness_users_start_worker(play->fleet, name, version, BOTH_MODELS);
}

/* A worker of each version in turn crashes; another one of its version takes
 * its place. */
static void
crash_upstreams(struct play *play)
{
    char names[4][16] = {"e1", "e2", "e3", "e4"};
    static const char *const versions[] = {"v1", "v1", "v1.2", "v1.2"};
    while (goes_on(play)) {
        unsigned i = (unsigned)g_rand_int_range(play->random, 0, 4);
        harness_users_change_worker(play->fleet, names[i], "crash");
        harness_sleep_ms(g_rand_int_range(play->random, 100, 600));
        start_worker(play, names[i], sizeof names[i], versions[i]);
        harness_sleep_ms(g_rand_int_range(play->random, 300, 900));
    }
}

/* The two workers of a version are replaced by two of another one. */
static void
replace_version(struct play *play, char names[2][16], const char *version)
{
    for (unsigned i = 0; i < 2 && goes_on(play); i++) {
        char old[16];
        g_strlcpy(old, names[i], sizeof old);
        start_worker(play, names[i], sizeof names[i], version);
        harness_sleep_ms(g_rand_int_range(play->random, 200, 700));
        harness_users_change_worker(play->fleet, old,
                                    g_rand_boolean(play->random) ? "drain"
                                                                 : "remove");
        harness_sleep_ms(g_rand_int_range(play->random, 700, 1300));
        harness_users_change_worker(play->fleet, old, "crash");
    }
}

/* Releases one way and back, while workers still run their streams. */
static void
release_versions(struct play *play)
{
    char names[2][16] = {"e1", "e2"};
    static const char *const versions[] = {"v1.2", "v1.3", "v1"};
    for (unsigned i = 0; goes_on(play); i = (i + 1) % 3) {
        replace_version(play, names, versions[i]);
    }
}

static struct harness_node *
choose_node(struct play *play)
{
    return &play->fleet->nodes[g_rand_int_range(play->random, 0, NODES)];
}

static void
kill_and_restart(struct play *play, unsigned count)
{
    unsigned first = (unsigned)g_rand_int_range(play->random, 0, NODES);
    for (unsigned i = 0; i < count; i++) {
        harness_node_signal(&play->fleet->nodes[(first + i) % NODES], SIGKILL);
    }
    harness_sleep_ms(g_rand_int_range(play->random, 50, 400));
    for (unsigned i = 0; i < count; i++) {
        harness_node_start(play->fleet,
                           &play->fleet->nodes[(first + i) % NODES]);
    }
    harness_sleep_ms(g_rand_int_range(play->random, 800, 1600));
}

static void
kill_nodes(struct play *play)
{
    while (goes_on(play)) {
        kill_and_restart(play, 1);
    }
}

static void
kill_three_nodes(struct play *play)
{
    while (goes_on(play)) {
        kill_and_restart(play, 3);
    }
}

static void
kill_all_nodes(struct play *play)
{
    harness_sleep_ms(2000);
    while (goes_on(play)) {
        kill_and_restart(play, NODES);
        harness_sleep_ms(2500);
    }
}

static void
signal_all_nodes(struct play *play, int signal)
{
    for (unsigned i = 0; i < NODES; i++) {
        harness_node_signal(&play->fleet->nodes[i], signal);
    }
}

static void
start_all_nodes(struct play *play)
{
    for (unsigned i = 0; i < NODES; i++) {
        harness_node_start(play->fleet, &play->fleet->nodes[i]);
    }
}

/* All nodes begin to stop, so that their entries are gone, and are killed. */
static void
stop_all_nodes(struct play *play)
{
    harness_sleep_ms(2000);
    while (goes_on(play)) {
        signal_all_nodes(play, SIGTERM);
        harness_sleep_ms(250);
        signal_all_nodes(play, SIGKILL);
        start_all_nodes(play);
        harness_sleep_ms(4000);
    }
}

/* All nodes are killed, and find the store only a while after their start. */
static void
kill_all_nodes_without_store(struct play *play)
{
    harness_sleep_ms(2000);
    while (goes_on(play)) {
        for (unsigned i = 0; i < NODES; i++) {
            harness_users_cut_store(&play->fleet->nodes[i], "refuse");
        }
        signal_all_nodes(play, SIGKILL);
        start_all_nodes(play);
        harness_sleep_ms(1000);
        for (unsigned i = 0; i < NODES; i++) {
            harness_users_cut_store(&play->fleet->nodes[i], "none");
        }
        harness_sleep_ms(3500);
    }
}

/* All nodes are killed while the store comes back from a copy, which lacks the
 * streams of the last moments. */
static void
kill_all_nodes_before_copy(struct play *play)
{
    harness_sleep_ms(2000);
    while (goes_on(play)) {
        g_free(harness_call_control(&play->fleet->users, "save-copy", ""));
        harness_sleep_ms(200);
        signal_all_nodes(play, SIGKILL);
        g_free(harness_call_control(&play->fleet->users,
                                    "restore-copy?leases=1", ""));
        start_all_nodes(play);
        harness_sleep_ms(4000);
    }
}

/* All nodes are killed while the store is away and its leases run out. */
static void
kill_all_nodes_as_leases_end(struct play *play)
{
    harness_sleep_ms(2000);
    while (goes_on(play)) {
        signal_all_nodes(play, SIGKILL);
        g_free(harness_call_control(&play->fleet->users, "save-copy", ""));
        g_free(harness_call_control(&play->fleet->users, "restore-copy", ""));
        start_all_nodes(play);
        harness_sleep_ms(4000);
    }
}

static void
freeze_nodes(struct play *play)
{
    while (goes_on(play)) {
        struct harness_node *node = choose_node(play);
        harness_node_signal(node, SIGSTOP);
        harness_sleep_ms(g_rand_int_range(play->random, 300, 4000));
        harness_node_signal(node, SIGCONT);
        harness_sleep_ms(g_rand_int_range(play->random, 100, 500));
    }
}

static void
stop_nodes_in_turn(struct play *play)
{
    for (unsigned i = 0; goes_on(play); i = (i + 1) % NODES) {
        struct harness_node *node = &play->fleet->nodes[i];
        harness_node_signal(node, SIGTERM);
        (void)harness_wait_exit(node->pid, 10000);
        harness_node_start(play->fleet, node);
        harness_sleep_ms(300);
    }
}

/* Nodes lose the store, and others their way to them, while a version is
 * replaced. */
static void
cut_nodes_in_release(struct play *play)
{
    static const char *const forms[] = {"silent", "reset", "refuse"};
    for (unsigned i = 0; i < 3; i++) {
        harness_users_cut_store(&play->fleet->nodes[i], forms[i]);
    }
    harness_users_cut_peers(&play->fleet->nodes[0], "silent");
    harness_users_cut_peers(&play->fleet->nodes[1], "reset");
    release_versions(play);
    for (unsigned i = 0; i < 3; i++) {
        harness_users_cut_store(&play->fleet->nodes[i], "none");
        harness_users_cut_peers(&play->fleet->nodes[i], "none");
    }
}

/* All nodes stop and start again at once, without a node that was there
 * before, while the last workers of a version go. */
static void
restart_all_nodes_in_release(struct play *play)
{
    for (unsigned round = 0; goes_on(play); round++) {
        signal_all_nodes(play, SIGTERM);
        harness_sleep_ms(250);
        harness_users_change_worker(play->fleet, "e1", "remove");
        harness_users_change_worker(play->fleet, "e2", "remove");
        signal_all_nodes(play, SIGKILL);
        start_all_nodes(play);
        harness_sleep_ms(3000);
        harness_users_change_worker(play->fleet, "e1", "crash");
        harness_users_change_worker(play->fleet, "e2", "crash");
        harness_users_start_worker(play->fleet, "e1", "v1", BOTH_MODELS);
        harness_users_start_worker(play->fleet, "e2", "v1", BOTH_MODELS);
        harness_sleep_ms(1500);
    }
}

/* A worker starts again under its name, with other software. */
static void
restart_under_same_name(struct play *play)
{
    static const char *const versions[] = {"v1.2", "v1"};
    for (unsigned i = 0; goes_on(play); i++) {
        const char *name = i % 4 < 2 ? "e1" : "e3";
        harness_users_change_worker(play->fleet, name, "crash");
        harness_sleep_ms(g_rand_int_range(play->random, 0, 300));
        harness_users_start_worker(play->fleet, name, versions[(i / 4) % 2],
                                   BOTH_MODELS);
        harness_sleep_ms(g_rand_int_range(play->random, 400, 1200));
    }
}

/* All workers of a version end at once, and come back later. */
static void
lose_version(struct play *play)
{
    while (goes_on(play)) {
        harness_sleep_ms(1000);
        harness_users_change_worker(play->fleet, "e3", "crash");
        harness_users_change_worker(play->fleet, "e4", "crash");
        harness_sleep_ms(2500);
        harness_users_start_worker(play->fleet, "e3", "v1.2", BOTH_MODELS);
        harness_users_start_worker(play->fleet, "e4", "v1.2", BOTH_MODELS);
    }
}

/* Entries without a usable version: nothing goes on there. */
static void
hide_versions(struct play *play)
{
    harness_users_start_worker(play->fleet, "e3", "", BOTH_MODELS);
    harness_users_start_worker(play->fleet, "e4", "", BOTH_MODELS);
    char names[2][16] = {"e1", "e2"};
    while (goes_on(play)) {
        unsigned i = (unsigned)g_rand_int_range(play->random, 0, 2);
        harness_users_change_worker(play->fleet, names[i], "crash");
        harness_sleep_ms(300);
        start_worker(play, names[i], sizeof names[i], "v1");
        harness_sleep_ms(700);
    }
}

/* Two workers of a new version join, and end with their streams after a
 * while. */
static void
run_new_version_for_a_while(struct play *play)
{
    char names[2][16];
    for (unsigned i = 0; i < 2; i++) {
        start_worker(play, names[i], sizeof names[i], "v1.2");
    }
    harness_sleep_ms(g_rand_int_range(play->random, 1500, 3000));
    for (unsigned i = 0; i < 2; i++) {
        harness_users_change_worker(play->fleet, names[i], "crash");
    }
}

/* Nodes stand still while a new version joins, and run on as its streams
 * break. */
static void
freeze_as_version_joins(struct play *play)
{
    while (goes_on(play)) {
        unsigned first = (unsigned)g_rand_int_range(play->random, 0, NODES);
        for (unsigned i = 0; i < OUT_OF_STEP; i++) {
            harness_node_signal(&play->fleet->nodes[(first + i) % NODES],
                                SIGSTOP);
        }
        run_new_version_for_a_while(play);
        for (unsigned i = 0; i < OUT_OF_STEP; i++) {
            harness_node_signal(&play->fleet->nodes[(first + i) % NODES],
                                SIGCONT);
        }
        harness_sleep_ms(1500);
    }
}

/* The same with nodes that are cut off from the store and the other nodes. */
static void
cut_as_version_joins(struct play *play)
{
    static const char *const forms[] = {"silent", "reset"};
    for (unsigned round = 0; goes_on(play); round++) {
        unsigned first = (unsigned)g_rand_int_range(play->random, 0, NODES);
        for (unsigned i = 0; i < OUT_OF_STEP; i++) {
            const struct harness_node *node =
                &play->fleet->nodes[(first + i) % NODES];
            harness_users_cut_store(node, forms[round % 2]);
            harness_users_cut_peers(node, forms[round % 2]);
        }
        run_new_version_for_a_while(play);
        for (unsigned i = 0; i < OUT_OF_STEP; i++) {
            const struct harness_node *node =
                &play->fleet->nodes[(first + i) % NODES];
            harness_users_cut_store(node, "none");
            harness_users_cut_peers(node, "none");
        }
        harness_sleep_ms(1500);
    }
}

/* ---- runs ---- */

static const struct scenario scenarios[] = {
    {.name = "upstreams-crash", .faults = crash_upstreams},
    {.name = "releases", .faults = release_versions},
    {.name = "nodes-killed", .faults = kill_nodes},
    {.name = "three-nodes-killed", .faults = kill_three_nodes},
    {.name = "all-nodes-killed", .faults = kill_all_nodes, .max_tries = 60},
    {.name = "all-nodes-stopped", .faults = stop_all_nodes, .max_tries = 60},
    {.name = "all-nodes-killed-without-store",
     .faults = kill_all_nodes_without_store,
     .max_tries = 60},
    {.name = "all-nodes-killed-before-copy",
     .faults = kill_all_nodes_before_copy,
     .max_tries = 60},
    {.name = "all-nodes-killed-as-leases-end",
     .faults = kill_all_nodes_as_leases_end,
     .max_tries = 60},
    {.name = "nodes-frozen", .faults = freeze_nodes},
    {.name = "nodes-stopped", .faults = stop_nodes_in_turn},
    {.name = "nodes-restarted-in-release",
     .faults = restart_all_nodes_in_release,
     .max_tries = 60,
     .may_refuse = true},
    {.name = "nodes-cut-off", .faults = cut_nodes_in_release},
    {.name = "frozen-as-version-joins",
     .faults = freeze_as_version_joins,
     .may_refuse = true,
     .begins_with_one_version = true},
    {.name = "cut-as-version-joins",
     .faults = cut_as_version_joins,
     .may_refuse = true,
     .begins_with_one_version = true},
    {.name = "same-name", .faults = restart_under_same_name},
    {.name = "version-gone", .faults = lose_version, .may_refuse = true},
    {.name = "no-version", .faults = hide_versions, .may_refuse = true},
    {.name = "no-resumes",
     .faults = crash_upstreams,
     .without_resumes = true,
     .may_refuse = true},
};

static struct harness_fleet *
start_fleet(bool with_one_version)
{
    const char *other = with_one_version ? "v1" : "v1.2";
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
        .settings = {"timeouts.stall-ms=1500"},
    };
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    const struct harness_users_config config = {.version = 3};
    harness_users_put_standard_config(fleet, &config);
    harness_users_start_worker(fleet, "e1", "v1", BOTH_MODELS);
    harness_users_start_worker(fleet, "e2", "v1", BOTH_MODELS);
    harness_users_start_worker(fleet, "e3", other, BOTH_MODELS);
    harness_users_start_worker(fleet, "e4", other, BOTH_MODELS);
    harness_users_start_nodes(fleet);
    return fleet;
}

static void
check(const struct scenario *scenario, const struct counts *counts)
{
    g_print("figure: %s: %u streams, %u began, %u whole, %u taken up, %u of "
            "them went on, %u joined, %u with gaps, %u take-ups refused\n",
            scenario->name, counts->streams, counts->began, counts->whole,
            counts->taken_up, counts->went_on, counts->joined, counts->gaps,
            counts->refused_take_ups);
    g_assert_cmpuint(counts->began, >, CALLERS);
    g_assert_cmpuint(counts->joined, ==, 0);
    g_assert_cmpuint(counts->gaps, ==, 0);
    g_assert_cmpuint(counts->without_retry_after, ==, 0);
    if (!scenario->may_refuse && counts->taken_up >= MIN_TAKEN_UP) {
        g_assert_cmpfloat((double)counts->went_on / counts->taken_up, >=,
                          (double)counts->began / counts->streams / 2);
    }
}

/* The seed in the environment variable SEED, or 1. */
static guint32
get_seed(void)
{
    const char *text = g_getenv("SEED");
    return text == NULL ? 1 : (guint32)g_ascii_strtoull(text, NULL, 10);
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct play play = {
        .scenario = scenario,
        .fleet = start_fleet(scenario->begins_with_one_version),
        .random = g_rand_new_with_seed(get_seed()),
        .next_worker = 4,
    };
    struct callers callers = {
        .fleet = play.fleet,
        .resumes = !scenario->without_resumes,
        .max_tries =
            scenario->max_tries == 0 ? MAX_TRIES : scenario->max_tries,
    };
    struct caller caller[CALLERS];
    GThread *threads[CALLERS];
    pthread_mutex_init(&callers.lock, NULL);
    for (unsigned i = 0; i < CALLERS; i++) {
        caller[i] = (struct caller){&callers, get_seed() * 1000 + i};
        threads[i] = g_thread_new("caller", run_caller, &caller[i]);
    }
    harness_sleep_ms(SETTLE_MS);
    play.ends_at_ms = harness_now_ms() + LOAD_MS;
    scenario->faults(&play);
    pthread_mutex_lock(&callers.lock);
    callers.stopped = true;
    pthread_mutex_unlock(&callers.lock);
    for (unsigned i = 0; i < CALLERS; i++) {
        (void)g_thread_join(threads[i]);
    }
    g_assert_cmpuint(harness_fleet_stop(play.fleet), ==, 0);
    check(scenario, &callers.counts);
    g_rand_free(play.random);
    pthread_mutex_destroy(&callers.lock);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "versions", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
