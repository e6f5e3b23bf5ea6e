/*
 * Exchange of crash observations between nodes. Changes are sent to all nodes
 * at once, as crashes are rare. Each second a node also sends a checksum of
 * all that it knows to a few others, and a node whose own checksum differs
 * asks for the full state. So a node that was disconnected, did not run for a
 * while or has just started learns what it missed.
 */

#include "node/crash_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Delay in which changes are collected into one message; the calls of one
     * upstream are interrupted within it. */
    SEND_DELAY_US = 10 * 1000,
    CHECKSUM_PERIOD_US = 1000 * 1000,
    /* Nodes that are sent the checksum in one period, or asked for the full
     * state at the start. */
    NODES_PER_PERIOD = 2,
    /* Upper bound of observations in a message, sent or received; about 60
     * bytes each. */
    MAX_OBSERVATIONS = 1024,
    /* A node whose periodic work is this late was not running, and asks for
     * the full state. */
    MAX_TICK_DELAY_US = 1500 * 1000,
};

/* ---- messages ---- */

/* A message that is being built. It does not own the strings. */
struct message {
    Chestnuthitch__Wire__Crashes crashes;
    GPtrArray *observations; /* CrashRun */
    GArray *harmless;        /* ProtobufCBinaryData */
    GPtrArray *releases;     /* CrashRelease */
    GPtrArray *begun;        /* CrashBegun */
    int64_t now;
};

static void
message_init(struct message *message, int64_t now)
{
    chestnuthitch__wire__crashes__init(&message->crashes);
    message->observations = g_ptr_array_new_with_free_func(g_free);
    message->harmless = g_array_new(FALSE, FALSE, sizeof(ProtobufCBinaryData));
    message->releases = g_ptr_array_new_with_free_func(g_free);
    message->begun = g_ptr_array_new_with_free_func(g_free);
    message->now = now;
}

/* Frees what the message owns. */
static void
message_clear(struct message *message)
{
    g_ptr_array_free(message->observations, TRUE);
    g_array_free(message->harmless, TRUE);
    g_ptr_array_free(message->releases, TRUE);
    g_ptr_array_free(message->begun, TRUE);
}

/* A digest in the type of the protocol; its bytes are not copied. */
static ProtobufCBinaryData
wire_digest(const struct ch_digest *digest)
{
    return (ProtobufCBinaryData){CH_DIGEST_BYTES, (uint8_t *)digest->bytes};
}

static uint32_t
age_ms(const struct message *message, int64_t at)
{
    return (uint32_t)CLAMP((message->now - at) / 1000, 0, UINT32_MAX);
}

/* Adds an observation, which must outlive the message. */
static void
message_add_observation(struct message *message,
                        const struct ch_crash_observation *observation)
{
    if (message->observations->len >= MAX_OBSERVATIONS) {
        return;
    }
    Chestnuthitch__Wire__CrashRun *row =
        g_new(Chestnuthitch__Wire__CrashRun, 1);
    chestnuthitch__wire__crash_run__init(row);
    row->digest = wire_digest(&observation->digest);
    row->fingerprint = observation->fingerprint;
    row->upstream = (char *)g_quark_to_string(observation->upstream);
    row->boot = observation->boot_id;
    row->age_ms = age_ms(message, observation->ended_at);
    row->fresh = observation->before_response;
    row->part = observation->part;
    g_ptr_array_add(message->observations, row);
}

/* Adds the digest of a harmless request, which must outlive the message. */
static void
message_add_harmless(struct message *message, const struct ch_digest *digest)
{
    const ProtobufCBinaryData bytes = wire_digest(digest);
    g_array_append_val(message->harmless, bytes);
}

/* Adds the digest of a released request, which must outlive the message. */
static void
message_add_release(struct message *message, const struct ch_digest *digest,
                    int64_t at)
{
    Chestnuthitch__Wire__CrashRelease *row =
        g_new(Chestnuthitch__Wire__CrashRelease, 1);
    chestnuthitch__wire__crash_release__init(row);
    row->digest = wire_digest(digest);
    row->age_ms = age_ms(message, at);
    g_ptr_array_add(message->releases, row);
}

/* Adds how many responses to prompts with a part began at a node; begun must
 * outlive the message. */
static void
message_add_begun(struct message *message, const struct ch_crash_begun *begun)
{
    Chestnuthitch__Wire__CrashBegun *row =
        g_new(Chestnuthitch__Wire__CrashBegun, 1);
    chestnuthitch__wire__crash_begun__init(row);
    row->digest = wire_digest(&begun->digest);
    row->count = begun->count;
    if (begun->node != 0) {
        row->node = (char *)g_quark_to_string(begun->node);
    }
    g_ptr_array_add(message->begun, row);
}

static void
message_send(struct ch_crash_guard *guard, struct message *message,
             char **names, size_t count)
{
    message->crashes.n_runs = message->observations->len;
    message->crashes.runs =
        (Chestnuthitch__Wire__CrashRun **)message->observations->pdata;
    message->crashes.n_sound = message->harmless->len;
    message->crashes.sound =
        (ProtobufCBinaryData *)(void *)message->harmless->data;
    message->crashes.n_released = message->releases->len;
    message->crashes.released =
        (Chestnuthitch__Wire__CrashRelease **)message->releases->pdata;
    message->crashes.n_begun = message->begun->len;
    message->crashes.begun =
        (Chestnuthitch__Wire__CrashBegun **)message->begun->pdata;
    for (size_t i = 0; i < count; i++) {
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_CRASHES);
        frame.crashes = &message->crashes;
        ch_peers_send(guard->node->peers, names[i], &frame);
    }
}

/* The names of the other live nodes; free with g_ptr_array_free. */
static GPtrArray *
list_other_nodes(struct ch_crash_guard *guard)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *remote_names = g_ptr_array_new();
    ch_peers_list_others(guard->node->peers, names, remote_names);
    g_ptr_array_extend_and_steal(names, remote_names);
    return names;
}

/* ---- unsent changes ---- */

/* Takes an array and leaves an empty one in its place. Lock held. */
static GArray *
steal_array(GArray **array, size_t size)
{
    GArray *taken = *array;
    *array = g_array_new(FALSE, FALSE, (guint)size);
    return taken;
}

/* Sends the unsent changes to all other nodes; runs on the pool. */
static void
send_changes(void *data)
{
    struct ch_crash_guard *guard = data;
    struct message message;
    message_init(&message, ch_client_get_time(guard->node->client));
    pthread_mutex_lock(&guard->lock);
    GArray *observations = steal_array(&guard->unsent_observations,
                                       sizeof(struct ch_crash_observation));
    GArray *harmless =
        steal_array(&guard->unsent_harmless, sizeof(struct ch_digest));
    GArray *released =
        steal_array(&guard->unsent_releases, sizeof(struct ch_digest));
    guard->publish_scheduled = false;
    pthread_mutex_unlock(&guard->lock);
    for (guint i = 0; i < observations->len; i++) {
        message_add_observation(
            &message,
            &g_array_index(observations, struct ch_crash_observation, i));
    }
    for (guint i = 0; i < harmless->len; i++) {
        message_add_harmless(&message,
                             &g_array_index(harmless, struct ch_digest, i));
    }
    for (guint i = 0; i < released->len; i++) {
        message_add_release(&message,
                            &g_array_index(released, struct ch_digest, i),
                            message.now);
    }
    GPtrArray *others = list_other_nodes(guard);
    message_send(guard, &message, (char **)others->pdata, others->len);
    g_ptr_array_free(others, TRUE);
    message_clear(&message);
    g_array_free(observations, TRUE);
    g_array_free(harmless, TRUE);
    g_array_free(released, TRUE);
    pthread_mutex_lock(&guard->lock);
    guard->pending_jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
}

/* See crash_internal.h. */
void
crash_publish_schedule(struct ch_crash_guard *guard)
{
    if (!guard->publish_scheduled && !guard->stopping) {
        guard->publish_scheduled = true;
        guard->pending_jobs++;
        ch_timers_add(guard->node->timers, SEND_DELAY_US, send_changes, guard);
    }
}

/* ---- the checksum and the full state ---- */

/* Requests the full state of a node. */
static void
request_full_state(struct ch_crash_guard *guard, const char *from)
{
    Chestnuthitch__Wire__CrashesPull body = WIRE(CRASHES_PULL__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_CRASHES_PULL);
    frame.crashes_pull = &body;
    ch_peers_send(guard->node->peers, from, &frame);
}

/* Sends the checksum to the next few nodes, or requests their full state. A
 * node that is alone has no state to wait for. */
static void
contact_few_nodes(struct ch_crash_guard *guard, uint64_t checksum,
                  bool should_request, int64_t now)
{
    GPtrArray *others = list_other_nodes(guard);
    struct message message;
    if (others->len == 0 && ch_peers_has_list(guard->node->peers)) {
        pthread_mutex_lock(&guard->lock);
        guard->full_state_received = true;
        pthread_mutex_unlock(&guard->lock);
    }
    message_init(&message, now);
    message.crashes.sum = checksum;
    for (guint i = 0; i < MIN(others->len, NODES_PER_PERIOD); i++) {
        char *name =
            g_ptr_array_index(others, (guard->next_peer++) % others->len);
        if (should_request) {
            request_full_state(guard, name);
        }
        else {
            message_send(guard, &message, &name, 1);
        }
    }
    message_clear(&message);
    g_ptr_array_free(others, TRUE);
}

/* Tells all other nodes of responses that began here, to prompts with parts
 * that they may take for the cause of crashes. */
static void
send_begun(struct ch_crash_guard *guard, int64_t now)
{
    struct message message;
    GArray *begun = g_array_new(FALSE, FALSE, sizeof(struct ch_crash_begun));
    message_init(&message, now);
    pthread_mutex_lock(&guard->lock);
    crash_guard_update_own_begun(guard);
    ch_crash_table_collect_begun(guard->table, begun);
    pthread_mutex_unlock(&guard->lock);
    for (guint i = 0; i < begun->len; i++) {
        message_add_begun(&message,
                          &g_array_index(begun, struct ch_crash_begun, i));
    }
    if (begun->len > 0) {
        GPtrArray *others = list_other_nodes(guard);
        message_send(guard, &message, (char **)others->pdata, others->len);
        g_ptr_array_free(others, TRUE);
    }
    message_clear(&message);
    g_array_free(begun, TRUE);
}

/* See crash_internal.h. */
void
crash_publish_tick(struct ch_crash_guard *guard, int64_t now)
{
    pthread_mutex_lock(&guard->lock);
    bool should_request = !guard->full_state_received ||
                          now - guard->last_tick_at > MAX_TICK_DELAY_US;
    bool is_due = now - guard->last_checksum_at >= CHECKSUM_PERIOD_US &&
                  !ch_crash_table_is_empty(guard->table);
    uint64_t checksum = is_due ? ch_crash_table_checksum(guard->table) : 0;
    guard->last_tick_at = now;
    if (is_due) {
        guard->last_checksum_at = now;
    }
    pthread_mutex_unlock(&guard->lock);
    send_begun(guard, now);
    if (should_request || is_due) {
        contact_few_nodes(guard, checksum, should_request, now);
    }
}

/* A copy of the table's contents, to be sent without the lock. */
struct full_state {
    GArray *observations; /* struct ch_crash_observation */
    GArray *assessments;  /* struct ch_crash_assessment */
};

static void
copy_observation(void *data, const struct ch_crash_observation *observation)
{
    g_array_append_val(((struct full_state *)data)->observations,
                       *observation);
}

static void
copy_assessment(void *data, const struct ch_crash_assessment *assessment)
{
    g_array_append_val(((struct full_state *)data)->assessments, *assessment);
}

/* Handles a request for the full state; runs on the pool. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_crash_guard *guard = data;
    struct full_state state = {
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation)),
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_assessment)),
    };
    GArray *begun = g_array_new(FALSE, FALSE, sizeof(struct ch_crash_begun));
    struct message message;
    message_init(&message, ch_client_get_time(guard->node->client));
    message.crashes.whole = true;
    pthread_mutex_lock(&guard->lock);
    ch_crash_table_foreach_observation(guard->table, copy_observation, &state);
    ch_crash_table_foreach(guard->table, copy_assessment, &state);
    ch_crash_table_list_begun(guard->table, begun);
    for (guint i = 0; i < begun->len; i++) {
        message_add_begun(&message,
                          &g_array_index(begun, struct ch_crash_begun, i));
    }
    for (guint i = 0; i < state.assessments->len; i++) {
        const struct ch_crash_assessment *assessment =
            &g_array_index(state.assessments, struct ch_crash_assessment, i);
        int64_t released_at = 0;
        if (assessment->part == 0 && assessment->state == CH_CRASH_HARMLESS) {
            message_add_harmless(&message, &assessment->digest);
        }
        if (ch_crash_table_find_release(guard->table, &assessment->digest,
                                        &released_at)) {
            message_add_release(&message, &assessment->digest, released_at);
        }
    }
    pthread_mutex_unlock(&guard->lock);
    for (guint i = 0; i < state.observations->len; i++) {
        message_add_observation(
            &message, &g_array_index(state.observations,
                                     struct ch_crash_observation, i));
    }
    char *name = frame->from;
    message_send(guard, &message, &name, 1);
    message_clear(&message);
    g_array_free(begun, TRUE);
    g_array_free(state.observations, TRUE);
    g_array_free(state.assessments, TRUE);
}

/* ---- receiving ---- */

/* Parses a digest; false for bytes of another length. */
static bool
parse_digest(const ProtobufCBinaryData *bytes, struct ch_digest *digest)
{
    if (bytes->len != CH_DIGEST_BYTES) {
        return false;
    }
    memcpy(digest->bytes, bytes->data, CH_DIGEST_BYTES);
    return true;
}

/* Adds an observation of another node, and those of this node's own calls that
 * were interrupted by the same crash. Lock held. */
static void
add_remote_observation(struct ch_crash_guard *guard,
                       const Chestnuthitch__Wire__CrashRun *row,
                       const char *from, int64_t now)
{
    struct ch_crash_observation observation = {
        .fingerprint = row->fingerprint,
        .boot_id = row->boot,
        .ended_at = now - (int64_t)row->age_ms * 1000,
        .before_response = row->fresh,
        .part = row->part,
    };
    if (!parse_digest(&row->digest, &observation.digest) ||
        row->upstream[0] == '\0') {
        return;
    }
    observation.upstream = g_quark_from_string(row->upstream);
    (void)crash_guard_add_observation(guard, &observation, from);
    GArray *own_observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    ch_interrupted_calls_note_crash(guard->interrupted_calls,
                                    observation.upstream, observation.boot_id,
                                    own_observations);
    crash_guard_add_own_observations(guard, own_observations);
}

/* Adds the contents of a message in the order that the table needs:
 * observations first. Lock held. */
static void
apply_message(struct ch_crash_guard *guard,
              const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    const Chestnuthitch__Wire__Crashes *crashes = frame->crashes;
    struct ch_digest digest;
    for (size_t i = 0; i < MIN(crashes->n_runs, MAX_OBSERVATIONS); i++) {
        add_remote_observation(guard, crashes->runs[i], frame->from, now);
    }
    for (size_t i = 0; i < crashes->n_sound; i++) {
        if (parse_digest(&crashes->sound[i], &digest)) {
            (void)ch_crash_table_mark_harmless(guard->table, &digest);
            crash_guard_remove_barred(guard, &digest);
        }
    }
    for (size_t i = 0; i < crashes->n_begun; i++) {
        const Chestnuthitch__Wire__CrashBegun *row = crashes->begun[i];
        const char *node = row->node[0] == '\0' ? frame->from : row->node;
        if (parse_digest(&row->digest, &digest) &&
            strcmp(node, guard->node->settings->name) != 0) {
            ch_crash_table_report_begun(guard->table, &digest,
                                        g_quark_from_string(node), row->count);
        }
    }
    for (size_t i = 0; i < crashes->n_released; i++) {
        const Chestnuthitch__Wire__CrashRelease *row = crashes->released[i];
        if (parse_digest(&row->digest, &digest)) {
            (void)ch_crash_table_release(guard->table, &digest,
                                         now - (int64_t)row->age_ms * 1000);
            crash_guard_remove_barred(guard, &digest);
        }
    }
}

/* Handles a message about crashes; runs on the pool. */
static void
handle_crashes(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_crash_guard *guard = data;
    const Chestnuthitch__Wire__Crashes *crashes = frame->crashes;
    int64_t now = ch_client_get_time(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    apply_message(guard, frame, now);
    guard->full_state_received = guard->full_state_received || crashes->whole;
    bool differs = crashes->sum != 0 &&
                   crashes->sum != ch_crash_table_checksum(guard->table);
    crash_guard_update_has_suspects(guard);
    pthread_mutex_unlock(&guard->lock);
    if (differs) {
        request_full_state(guard, frame->from);
    }
}

/* See crash_internal.h. */
void
crash_publish_init(struct ch_crash_guard *guard)
{
    ch_peers_set_handler(guard->node->peers, WIRE(FRAME__BODY_CRASHES),
                         handle_crashes, guard);
    ch_peers_set_handler(guard->node->peers, WIRE(FRAME__BODY_CRASHES_PULL),
                         handle_pull, guard);
}
