/* Connections that are opened to learn whether an upstream can be reached, and
 * what nodes tell each other of it. */

#include "node/path_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Some round trips between regions. */
    PROBE_TIMEOUT_US = 400 * 1000,
    /* Time for a node to answer: its own probe and the way there. */
    ASK_TIMEOUT_US = 700 * 1000,
    /* A connection that was established so recently answers for the present.
     */
    FRESH_US = 300 * 1000,
    /* A node that has connected to no upstream for this long may be cut off
     * without knowing yet: a failure says nothing about the upstream then. */
    WITNESS_US = 1000 * 1000,
    /* Nodes that are asked about one upstream at a time. */
    ASKED_NODES = 2,
    /* Upstreams to which a connection is opened after another one refused. */
    CHECK_PROBES = 2,
};

/* Whether an upstream that refused a connection has crashed, as long as
 * connections to others are being opened to learn it; see
 * ch_path_manager_check_refusal(). */
struct check {
    int references;
    GQuark upstream;
    int has_path; /* atomic: a connection to another upstream was
                     established */
    void (*done)(void *data, bool crashed);
    void *data;
};

/* A connection that is being opened. */
struct probe {
    struct ch_path_manager *manager;
    GQuark upstream;
    struct check *check; /* NULL: none waits for the probe */
    char *asked_by;      /* the node that gets the result; NULL: this one */
    uint64_t frame_id;
};

static void
send_view(struct ch_path_manager *manager, const char *to, uint64_t frame_id,
          enum path_view view)
{
    Chestnuthitch__Wire__PathView body = WIRE(PATH_VIEW__INIT);
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    body.result = view;
    reply.body_case = WIRE(FRAME__BODY_PATH_VIEW);
    reply.path_view = &body;
    ch_peers_reply(manager->node->peers, to, frame_id, &reply);
}

static enum path_view
get_view(const struct ch_path_sample *sample)
{
    switch (sample->evidence) {
    case CH_PATH_CONNECTED:
        return PATH_VIEW_REACHED;
    case CH_PATH_REFUSED:
        return PATH_VIEW_REFUSED;
    default:
        return PATH_VIEW_TIMED_OUT;
    }
}

/* What this node tells others. One that may be cut off itself can't tell that
 * an upstream is down. */
static enum path_view
get_view_for_others(struct ch_path_manager *manager,
                    const struct ch_path_sample *sample)
{
    enum path_view view = get_view(sample);
    pthread_mutex_lock(&manager->lock);
    bool is_witness = ch_path_tracker_get_cut_since(manager->tracker) == 0 &&
                      sample->ended_at - ch_path_tracker_get_last_connected_at(
                                             manager->tracker) <
                          WITNESS_US;
    pthread_mutex_unlock(&manager->lock);
    return view == PATH_VIEW_REACHED || is_witness ? view : PATH_VIEW_UNKNOWN;
}

/* Drops references to a check; the last one ends it. */
static void
check_drop(struct ch_path_manager *manager, struct check *check, int count)
{
    if (g_atomic_int_add(&check->references, -count) != count) {
        return;
    }
    pthread_mutex_lock(&manager->lock);
    bool is_lost = ch_path_tracker_get_state(manager->tracker,
                                             check->upstream) == CH_PATH_LOST;
    pthread_mutex_unlock(&manager->lock);
    check->done(check->data,
                g_atomic_int_get(&check->has_path) != 0 && !is_lost);
    g_free(check);
}

static void
probe_free(struct probe *probe)
{
    g_free(probe->asked_by);
    g_free(probe);
}

/* Handles the end of a probe; on the HTTP loop's thread. */
static void
handle_probe_end(void *data, const struct ch_http_result *result)
{
    struct probe *probe = data;
    struct ch_path_manager *manager = probe->manager;
    int64_t now = ch_client_get_time(manager->node->client);
    struct ch_path_sample sample;
    bool known =
        path_manager_read_result(result, probe->upstream, now, &sample);
    if (known) {
        path_manager_record(manager, &sample);
    }
    if (probe->asked_by != NULL) {
        send_view(manager, probe->asked_by, probe->frame_id,
                  known ? get_view_for_others(manager, &sample)
                        : PATH_VIEW_UNKNOWN);
    }
    if (probe->check != NULL) {
        if (result->connected_at != 0) {
            g_atomic_int_set(&probe->check->has_path, 1);
        }
        check_drop(manager, probe->check, 1);
    }
    probe_free(probe);
}

/* Opens the connection of a probe; false if the upstream is not listed. */
static bool
probe_start(struct probe *probe)
{
    struct ch_path_manager *manager = probe->manager;
    pthread_mutex_lock(&manager->lock);
    const struct path_upstream *upstream = g_hash_table_lookup(
        manager->upstreams, GUINT_TO_POINTER(probe->upstream));
    g_autofree char *address =
        upstream == NULL ? NULL : g_strdup(upstream->address);
    pthread_mutex_unlock(&manager->lock);
    if (address == NULL) {
        return false;
    }
    path_manager_count(manager, CH_COUNT_PATH_PROBES);
    ch_http_probe(manager->node->http, address, PROBE_TIMEOUT_US,
                  handle_probe_end, probe);
    return true;
}

/* See path_internal.h. */
void
path_probe_open(struct ch_path_manager *manager, GQuark upstream)
{
    struct probe *probe = g_new0(struct probe, 1);
    probe->manager = manager;
    probe->upstream = upstream;
    if (!probe_start(probe)) {
        probe_free(probe);
    }
}

/* Some listed upstreams other than one, new array of GQuark. */
static GArray *
choose_others(struct ch_path_manager *manager, GQuark upstream)
{
    GArray *chosen = g_array_new(FALSE, FALSE, sizeof(GQuark));
    GHashTableIter iterator;
    gpointer key = NULL;
    pthread_mutex_lock(&manager->lock);
    g_hash_table_iter_init(&iterator, manager->upstreams);
    while (chosen->len < CHECK_PROBES &&
           g_hash_table_iter_next(&iterator, &key, NULL)) {
        GQuark name = GPOINTER_TO_UINT(key);
        if (name != upstream) {
            g_array_append_val(chosen, name);
        }
    }
    pthread_mutex_unlock(&manager->lock);
    return chosen;
}

/*
 * See path_manager.h. A node whose path is cut by resets sees all upstreams
 * refuse connections, so a refusal shows a crash only if the node has a path
 * to another upstream at the same time.
 */
void
ch_path_manager_check_refusal(struct ch_path_manager *manager, GQuark upstream,
                              void (*done)(void *data, bool crashed),
                              void *data)
{
    if (manager == NULL || ch_path_manager_get_cut_since(manager) != 0) {
        done(data, manager == NULL);
        return;
    }
    GArray *others = choose_others(manager, upstream);
    struct check *check = g_new0(struct check, 1);
    *check = (struct check){
        .references = (int)others->len + 1,
        .upstream = upstream,
        .has_path = others->len == 0,
        .done = done,
        .data = data,
    };
    int dropped = 1; /* this function's reference */
    for (guint i = 0; i < others->len; i++) {
        struct probe *probe = g_new0(struct probe, 1);
        probe->manager = manager;
        probe->upstream = g_array_index(others, GQuark, i);
        probe->check = check;
        if (!probe_start(probe)) {
            probe_free(probe);
            dropped++;
        }
    }
    g_array_free(others, TRUE);
    check_drop(manager, check, dropped);
}

/* ---- what other nodes tell ---- */

/* A question to another node. */
struct question {
    struct ch_path_manager *manager;
    GQuark upstream;
};

static void
handle_answer(void *data, enum ch_code code,
              const Chestnuthitch__Wire__Frame *reply)
{
    struct question *question = data;
    if (code == CH_OK && reply != NULL &&
        reply->body_case == WIRE(FRAME__BODY_PATH_VIEW) &&
        reply->path_view->result <= PATH_VIEW_TIMED_OUT) {
        path_manager_record_view(question->manager, question->upstream,
                                 (enum path_view)reply->path_view->result,
                                 reply->from);
    }
    g_free(question);
}

/* Asks one node. */
static void
send_question(struct ch_path_manager *manager, const char *node,
              GQuark upstream)
{
    Chestnuthitch__Wire__PathProbe body = WIRE(PATH_PROBE__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.upstream = (char *)g_quark_to_string(upstream);
    frame.body_case = WIRE(FRAME__BODY_PATH_PROBE);
    frame.path_probe = &body;
    struct question *question = g_new(struct question, 1);
    *question = (struct question){manager, upstream};
    ch_peers_request(manager->node->peers, node, &frame, ASK_TIMEOUT_US,
                     handle_answer, question);
}

/* See path_internal.h. Nodes are drawn at random, since most of them may be
 * cut off as well. */
void
path_probe_ask(struct ch_path_manager *manager, GQuark upstream)
{
    uint64_t draw = ch_hash_pair(
        (uint64_t)ch_client_get_time(manager->node->client), upstream);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(manager->node->peers, names, names);
    for (unsigned i = 0; i < ASKED_NODES && names->len > 0; i++) {
        guint chosen = (guint)(ch_hash_pair(draw, i) % names->len);
        send_question(manager, g_ptr_array_index(names, chosen), upstream);
        g_ptr_array_remove_index_fast(names, chosen);
    }
    g_ptr_array_free(names, TRUE);
}

/* Whether what is known answers for the present; *view is then set. */
static bool
find_fresh_view(struct ch_path_manager *manager, GQuark upstream,
                enum path_view *view)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    bool is_cut = ch_path_tracker_get_cut_since(manager->tracker) != 0;
    bool is_fresh =
        ch_path_tracker_get_state(manager->tracker, upstream) ==
            CH_PATH_OPEN &&
        now - ch_path_tracker_get_connected_at(manager->tracker, upstream) <
            FRESH_US;
    pthread_mutex_unlock(&manager->lock);
    *view = is_cut ? PATH_VIEW_UNKNOWN : PATH_VIEW_REACHED;
    return is_cut || is_fresh;
}

/* Answers a node that asks whether this one reaches an upstream. */
static void
handle_path_probe(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_path_manager *manager = data;
    GQuark upstream = g_quark_try_string(frame->path_probe->upstream);
    enum path_view view = PATH_VIEW_UNKNOWN;
    if (upstream == 0 || find_fresh_view(manager, upstream, &view)) {
        send_view(manager, frame->from, frame->id, view);
        return;
    }
    struct probe *probe = g_new0(struct probe, 1);
    probe->manager = manager;
    probe->upstream = upstream;
    probe->asked_by = g_strdup(frame->from);
    probe->frame_id = frame->id;
    if (!probe_start(probe)) {
        send_view(manager, frame->from, frame->id, PATH_VIEW_UNKNOWN);
        probe_free(probe);
    }
}

/* See path_internal.h. */
void
path_probe_init(struct ch_path_manager *manager)
{
    ch_peers_set_handler(manager->node->peers, WIRE(FRAME__BODY_PATH_PROBE),
                         handle_path_probe, manager);
}
