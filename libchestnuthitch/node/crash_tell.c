/*
 * What nodes tell one another of requests on upstreams that ended.  News goes
 * to all at once, as crashes are rare; each second a node tells a few others
 * the sum of what it knows, and who knows something else asks for all of it.
 * So a node that was cut off, stood still or has just started learns what it
 * missed.
 */

#include "node/crash_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* News of so long goes in one message: calls of one upstream are cut
     * within it. */
    GATHER = 10 * 1000,
    SUM_PERIOD = 1000 * 1000,
    /* Nodes that are told the sum in one round, or asked at the start. */
    AT_ONCE = 2,
    /* Pieces in one message, and in one that is taken: about 60 bytes each. */
    MOST_RUNS = 1024,
    /* A node whose tick comes so late was not running. */
    STOOD_STILL = 1500 * 1000,
};

/* ---- messages ---- */

/* A message as it is built: the strings are not owned. */
struct message {
    Chestnuthitch__Wire__Crashes crashes;
    GPtrArray *runs;     /* CrashRun */
    GArray *sound;       /* ProtobufCBinaryData */
    GPtrArray *released; /* CrashRelease */
    int64_t now;
};

/* An empty message. */
static void
message_init(struct message *message, int64_t now)
{
    chestnuthitch__wire__crashes__init(&message->crashes);
    message->runs = g_ptr_array_new_with_free_func(g_free);
    message->sound = g_array_new(FALSE, FALSE, sizeof(ProtobufCBinaryData));
    message->released = g_ptr_array_new_with_free_func(g_free);
    message->now = now;
}

/* Frees what it holds. */
static void
message_clear(struct message *message)
{
    g_ptr_array_free(message->runs, TRUE);
    g_array_free(message->sound, TRUE);
    g_ptr_array_free(message->released, TRUE);
}

/* A digest as the protocol has it; the bytes are not copied. */
static ProtobufCBinaryData
wire_digest(const struct ch_digest *digest)
{
    return (ProtobufCBinaryData){CH_DIGEST_BYTES, (uint8_t *)digest->bytes};
}

/* Milliseconds since a time. */
static uint32_t
age_ms(const struct message *message, int64_t at)
{
    return (uint32_t)CLAMP((message->now - at) / 1000, 0, UINT32_MAX);
}

/* Adds a piece of evidence, which outlives the message. */
static void
message_add_run(struct message *message,
                const struct ch_crash_observation *run)
{
    if (message->runs->len >= MOST_RUNS) {
        return;
    }
    Chestnuthitch__Wire__CrashRun *row =
        g_new(Chestnuthitch__Wire__CrashRun, 1);
    chestnuthitch__wire__crash_run__init(row);
    row->digest = wire_digest(&run->digest);
    row->fingerprint = run->fingerprint;
    row->upstream = (char *)g_quark_to_string(run->upstream);
    row->boot = run->boot_id;
    row->age_ms = age_ms(message, run->ended_at);
    row->fresh = run->before_response;
    g_ptr_array_add(message->runs, row);
}

/* Adds a request that was answered. */
static void
message_add_sound(struct message *message, const struct ch_digest *digest)
{
    const ProtobufCBinaryData bytes = wire_digest(digest);
    g_array_append_val(message->sound, bytes);
}

/* Adds a request that was released. */
static void
message_add_released(struct message *message, const struct ch_digest *digest,
                     int64_t at)
{
    Chestnuthitch__Wire__CrashRelease *row =
        g_new(Chestnuthitch__Wire__CrashRelease, 1);
    chestnuthitch__wire__crash_release__init(row);
    row->digest = wire_digest(digest);
    row->age_ms = age_ms(message, at);
    g_ptr_array_add(message->released, row);
}

/* Sends a message to the nodes named. */
static void
message_send(struct ch_crash_keeper *keeper, struct message *message,
             char **names, size_t count)
{
    message->crashes.n_runs = message->runs->len;
    message->crashes.runs =
        (Chestnuthitch__Wire__CrashRun **)message->runs->pdata;
    message->crashes.n_sound = message->sound->len;
    message->crashes.sound =
        (ProtobufCBinaryData *)(void *)message->sound->data;
    message->crashes.n_released = message->released->len;
    message->crashes.released =
        (Chestnuthitch__Wire__CrashRelease **)message->released->pdata;
    for (size_t i = 0; i < count; i++) {
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_CRASHES);
        frame.crashes = &message->crashes;
        ch_peers_send(keeper->node->peers, names[i], &frame);
    }
}

/* The live nodes but this one; g_ptr_array_free. */
static GPtrArray *
other_nodes(struct ch_crash_keeper *keeper)
{
    GPtrArray *near = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *far = g_ptr_array_new();
    ch_peers_others(keeper->node->peers, near, far);
    g_ptr_array_extend_and_steal(near, far);
    return near;
}

/* ---- news ---- */

/* Takes the news out of the keeper.  Lock held. */
static GArray *
steal(GArray **news, size_t size)
{
    GArray *taken = *news;
    *news = g_array_new(FALSE, FALSE, (guint)size);
    return taken;
}

/* Tells all other nodes what is new, on the pool. */
static void
tell_news(void *data)
{
    struct ch_crash_keeper *keeper = data;
    struct message message;
    message_init(&message, ch_client_now(keeper->node->client));
    pthread_mutex_lock(&keeper->lock);
    GArray *runs = steal(&keeper->runs, sizeof(struct ch_crash_observation));
    GArray *sound = steal(&keeper->sound, sizeof(struct ch_digest));
    GArray *released = steal(&keeper->released, sizeof(struct ch_digest));
    keeper->telling = false;
    pthread_mutex_unlock(&keeper->lock);
    for (guint i = 0; i < runs->len; i++) {
        message_add_run(&message,
                        &g_array_index(runs, struct ch_crash_observation, i));
    }
    for (guint i = 0; i < sound->len; i++) {
        message_add_sound(&message,
                          &g_array_index(sound, struct ch_digest, i));
    }
    for (guint i = 0; i < released->len; i++) {
        message_add_released(&message,
                             &g_array_index(released, struct ch_digest, i),
                             message.now);
    }
    GPtrArray *others = other_nodes(keeper);
    message_send(keeper, &message, (char **)others->pdata, others->len);
    g_ptr_array_free(others, TRUE);
    message_clear(&message);
    g_array_free(runs, TRUE);
    g_array_free(sound, TRUE);
    g_array_free(released, TRUE);
    pthread_mutex_lock(&keeper->lock);
    keeper->jobs--;
    pthread_cond_broadcast(&keeper->idle);
    pthread_mutex_unlock(&keeper->lock);
}

/* See crash_internal.h. */
void
crash_tell_soon(struct ch_crash_keeper *keeper)
{
    if (!keeper->telling && !keeper->stopping) {
        keeper->telling = true;
        keeper->jobs++;
        ch_timers_after(keeper->node->timers, GATHER, tell_news, keeper);
    }
}

/* ---- the sum, and all that is known ---- */

/* Asks a node for all that it knows. */
static void
pull(struct ch_crash_keeper *keeper, const char *from)
{
    Chestnuthitch__Wire__CrashesPull body = WIRE(CRASHES_PULL__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_CRASHES_PULL);
    frame.crashes_pull = &body;
    ch_peers_send(keeper->node->peers, from, &frame);
}

/* Tells a few nodes in turn the sum, or asks them for what they know.  A node
 * that is alone has nobody to ask. */
static void
tell_few(struct ch_crash_keeper *keeper, uint64_t sum, bool pulls, int64_t now)
{
    GPtrArray *others = other_nodes(keeper);
    struct message message;
    if (others->len == 0 && ch_peers_listed(keeper->node->peers)) {
        pthread_mutex_lock(&keeper->lock);
        keeper->heard = true;
        pthread_mutex_unlock(&keeper->lock);
    }
    message_init(&message, now);
    message.crashes.sum = sum;
    for (guint i = 0; i < MIN(others->len, AT_ONCE); i++) {
        char *name = g_ptr_array_index(others, (keeper->turn++) % others->len);
        if (pulls) {
            pull(keeper, name);
        }
        else {
            message_send(keeper, &message, &name, 1);
        }
    }
    message_clear(&message);
    g_ptr_array_free(others, TRUE);
}

/* See crash_internal.h. */
void
crash_tell_tick(struct ch_crash_keeper *keeper, int64_t now)
{
    pthread_mutex_lock(&keeper->lock);
    bool pulls = !keeper->heard || now - keeper->ticked > STOOD_STILL;
    bool due = now - keeper->pulled >= SUM_PERIOD &&
               !ch_crash_table_is_empty(keeper->table);
    uint64_t sum = due ? ch_crash_table_checksum(keeper->table) : 0;
    keeper->ticked = now;
    if (due) {
        keeper->pulled = now;
    }
    pthread_mutex_unlock(&keeper->lock);
    if (pulls || due) {
        tell_few(keeper, sum, pulls, now);
    }
}

/* A copy of what the table holds, to be told without the lock. */
struct whole {
    GArray *runs;  /* struct ch_crash_observation */
    GArray *views; /* struct ch_crash_assessment */
};

/* Copies a piece of evidence. */
static void
copy_run(void *data, const struct ch_crash_observation *run)
{
    g_array_append_val(((struct whole *)data)->runs, *run);
}

/* Copies what follows for one request. */
static void
copy_view(void *data, const struct ch_crash_assessment *view)
{
    g_array_append_val(((struct whole *)data)->views, *view);
}

/* Tells a node all that this one knows, on the pool. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_crash_keeper *keeper = data;
    struct whole whole = {
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation)),
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_assessment)),
    };
    struct message message;
    message_init(&message, ch_client_now(keeper->node->client));
    message.crashes.whole = true;
    pthread_mutex_lock(&keeper->lock);
    ch_crash_table_foreach_observation(keeper->table, copy_run, &whole);
    ch_crash_table_foreach(keeper->table, copy_view, &whole);
    for (guint i = 0; i < whole.views->len; i++) {
        const struct ch_crash_assessment *view =
            &g_array_index(whole.views, struct ch_crash_assessment, i);
        int64_t at = 0;
        if (view->state == CH_CRASH_HARMLESS) {
            message_add_sound(&message, &view->digest);
        }
        if (ch_crash_table_find_release(keeper->table, &view->digest, &at)) {
            message_add_released(&message, &view->digest, at);
        }
    }
    pthread_mutex_unlock(&keeper->lock);
    for (guint i = 0; i < whole.runs->len; i++) {
        message_add_run(
            &message,
            &g_array_index(whole.runs, struct ch_crash_observation, i));
    }
    char *name = frame->from;
    message_send(keeper, &message, &name, 1);
    message_clear(&message);
    g_array_free(whole.runs, TRUE);
    g_array_free(whole.views, TRUE);
}

/* ---- taking ---- */

/* Reads a digest; false for bytes that are none. */
static bool
read_digest(const ProtobufCBinaryData *bytes, struct ch_digest *digest)
{
    if (bytes->len != CH_DIGEST_BYTES) {
        return false;
    }
    memcpy(digest->bytes, bytes->data, CH_DIGEST_BYTES);
    return true;
}

/* Takes a piece of evidence, and this node's own calls that were cut by the
 * same end.  Lock held. */
static void
take_run(struct ch_crash_keeper *keeper,
         const Chestnuthitch__Wire__CrashRun *row, const char *from,
         int64_t now)
{
    struct ch_crash_observation run = {
        .fingerprint = row->fingerprint,
        .boot_id = row->boot,
        .ended_at = now - (int64_t)row->age_ms * 1000,
        .before_response = row->fresh,
    };
    if (!read_digest(&row->digest, &run.digest) || row->upstream[0] == '\0') {
        return;
    }
    run.upstream = g_quark_from_string(row->upstream);
    (void)crash_keeper_take(keeper, &run, from);
    GArray *ended =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    ch_interrupted_calls_note_crash(keeper->cuts, run.upstream, run.boot_id,
                                    ended);
    crash_keeper_take_ended(keeper, ended);
}

/* Takes what a message says, in the table's order: evidence first.  Lock
 * held. */
static void
take_message(struct ch_crash_keeper *keeper,
             const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    const Chestnuthitch__Wire__Crashes *crashes = frame->crashes;
    struct ch_digest digest;
    for (size_t i = 0; i < MIN(crashes->n_runs, MOST_RUNS); i++) {
        take_run(keeper, crashes->runs[i], frame->from, now);
    }
    for (size_t i = 0; i < crashes->n_sound; i++) {
        if (read_digest(&crashes->sound[i], &digest)) {
            (void)ch_crash_table_mark_harmless(keeper->table, &digest);
            crash_keeper_forget_barred(keeper, &digest);
        }
    }
    for (size_t i = 0; i < crashes->n_released; i++) {
        const Chestnuthitch__Wire__CrashRelease *row = crashes->released[i];
        if (read_digest(&row->digest, &digest)) {
            (void)ch_crash_table_release(keeper->table, &digest,
                                         now - (int64_t)row->age_ms * 1000);
            crash_keeper_forget_barred(keeper, &digest);
        }
    }
}

/* What another node tells, on the pool. */
static void
handle_crashes(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_crash_keeper *keeper = data;
    const Chestnuthitch__Wire__Crashes *crashes = frame->crashes;
    int64_t now = ch_client_now(keeper->node->client);
    pthread_mutex_lock(&keeper->lock);
    take_message(keeper, frame, now);
    keeper->heard = keeper->heard || crashes->whole;
    bool differs = crashes->sum != 0 &&
                   crashes->sum != ch_crash_table_checksum(keeper->table);
    crash_keeper_note_active(keeper);
    pthread_mutex_unlock(&keeper->lock);
    if (differs) {
        pull(keeper, frame->from);
    }
}

/* See crash_internal.h. */
void
crash_tell_init(struct ch_crash_keeper *keeper)
{
    ch_peers_handle(keeper->node->peers, WIRE(FRAME__BODY_CRASHES),
                    handle_crashes, keeper);
    ch_peers_handle(keeper->node->peers, WIRE(FRAME__BODY_CRASHES_PULL),
                    handle_pull, keeper);
}
