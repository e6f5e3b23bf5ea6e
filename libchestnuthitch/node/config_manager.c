/*
 * The configuration in force on this node.
 *
 * A few nodes watch the configuration in the key-value store. The others learn
 * of a new revision from the revision number in every message between nodes,
 * and pull the new configuration. A node that applies a new revision notifies
 * a few others, so that the change is everywhere after a number of hops that
 * grows with the logarithm of the fleet. Between regions the configuration is
 * pulled by a few nodes only, and the other nodes of the region pull it from
 * those.
 */

#include "node/compress.h"
#include "node/dialect.h"
#include "node/kv_call.h"

#include "decide/revision.h"
#include "decide/poll_schedule.h"

#include <pthread.h>
#include <string.h>

#define CONFIG_KEY "config/current"

enum {
    /* Nodes with a watch: three, so that with one lost and one paused, one
     * remains. */
    WATCHER_COUNT = 3,
    /* Nodes that are notified of a new revision by each node that applies
     * it. */
    NOTIFIED_NODES = 4,
    /*
     * Bounds of the random duration of a watch. A connection that falls silent
     * takes its watch with it, and one network fault on the way to the
     * key-value store takes the watches of all watchers. A change must be in
     * force within three to four seconds; so each watch is renewed after 1 to
     * 2 s. The durations are random so that the watchers are out of step, and
     * the first notices within some 1.5 s (with 30 s, a change was in force
     * after 16 s). It costs 2.4 calls a second at any size of the fleet.
     */
    MIN_WATCH_US = 1000 * 1000,
    MAX_WATCH_US = 2000 * 1000,
    /*
     * Time between two reads of the configuration by any nodes of the fleet,
     * on top of the watches. A key-value store that drops its history may
     * leave a change out of a watch, and may refuse the very nodes that watch.
     * So all nodes also read the configuration in turns: one read of the fleet
     * in this time, whatever its size, finds a change before it must be in
     * force, even when a third of the nodes are refused (with 0.5 s between
     * reads a change took 2.4 s of the allowed 3 s, since the reads are not
     * evenly spaced). It costs 3.3 calls a second, and each of 320 nodes one
     * copy in 96 s.
     */
    READ_PERIOD_US = 300 * 1000,
    TICK_US = 250 * 1000,
    PULL_TIMEOUT_US = 2 * 1000 * 1000,
    /* A second node is asked when the first has not replied for this long,
     * which is some round trips between regions. */
    PULL_RETRY_DELAY_US = 500 * 1000,
    MAX_PULLS = 2,
    /* Nodes of each region that pull from other regions at once: two, so that
     * one may be lost. */
    ENTRY_NODES = 2,
    /* The other nodes of the region wait this long for a node of their region
     * to have the revision. It is the time that a node gets to reply to one of
     * the two entry nodes. */
    LOCAL_COPY_TIMEOUT_US = 600 * 1000,
    /* Largest text accepted from another node: ten times a configuration of
     * some ten thousand paths. */
    MAX_TEXT_BYTES = 8 * 1024 * 1024,
    MIN_BACKOFF_US = 250 * 1000,
    /* A node that returns to the fleet asks other nodes for this long before
     * it reads from the key-value store. */
    RETURN_READ_DELAY_US = 300 * 1000,
    /* A node that has no host list after this long reads all the same: the
     * key-value store may work for the configuration alone. */
    HOST_LIST_TIMEOUT_US = 1500 * 1000,
    /* A third of the time within which a change has to be in force; three
     * watchers make three calls a second with it. */
    MAX_BACKOFF_US = 1000 * 1000,
    /* Other nodes name their revision in every message, so that one which is
     * named no more was a mistake. */
    NOTED_US = 5 * 1000 * 1000,
};

struct ch_config_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    struct ch_config *current;
    uint64_t passed_over;      /* the last value that counted as older */
    uint64_t parsing_revision; /* highest one being parsed; 0: none */
    unsigned pulls;            /* in progress */
    int64_t last_pull_at;      /* when the latest pull began */
    uint64_t remote_revision;  /* newest revision in other regions, and since
                                  when it is known */
    int64_t remote_since;
    uint64_t noted_revision; /* newest revision at other nodes, and when it was
                                named last */
    int64_t noted_at;
    GBytes *compressed;           /* text in force; NULL: not compressed yet */
    struct ch_poll_schedule turn; /* of reads; see READ_PERIOD_US */
    bool read_in_progress;
    bool return_read_done;  /* a node that returns has read by itself */
    bool watch_in_progress; /* a watch of the key-value store is in progress */
    int64_t backoff;
    int64_t next_watch_at;
    uint64_t timer;
    uint64_t write_count;
    int64_t started_at;
};

/* ---- ownership ---- */

/* Adds a reference, for a call or timer in progress. */
static struct ch_config_manager *
manager_add_reference(struct ch_config_manager *manager)
{
    g_atomic_int_inc(&manager->references);
    return manager;
}

/* Drops a reference; frees the manager with the last one. */
static void
manager_drop_reference(struct ch_config_manager *manager)
{
    if (!g_atomic_int_dec_and_test(&manager->references)) {
        return;
    }
    if (manager->current != NULL) {
        ch_config_unref(manager->current);
    }
    g_bytes_unref(manager->compressed);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}

/* ---- applying a revision ---- */

/* See node.h. */
struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    struct ch_config *config =
        manager->current == NULL ? NULL : ch_config_ref(manager->current);
    pthread_mutex_unlock(&manager->lock);
    return config;
}

/* The revision in force; 0: none. */
static uint64_t
current_revision(struct ch_config_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    uint64_t revision =
        manager->current == NULL ? 0 : manager->current->revision;
    pthread_mutex_unlock(&manager->lock);
    return revision;
}

/* The revision in force, or a higher one that is being parsed. Lock held. */
static uint64_t
known_revision(const struct ch_config_manager *manager)
{
    uint64_t current =
        manager->current == NULL ? 0 : manager->current->revision;
    return ch_revision_is_newer(current, manager->parsing_revision)
               ? manager->parsing_revision
               : current;
}

/*
 * Registers the parsing of a copy; false when the copy is not needed.
 *
 * While a small node parses a large configuration, for a second or two, every
 * message that arrives names the revision that the node lacks, and watch,
 * scheduled read and pull may each bring a copy. Parsing the copies side by
 * side takes two and three times as long for all of them. A copy that is
 * skipped while a damaged one is parsed is not lost: the next message or read
 * brings it again.
 */
static bool
begin_applying(struct ch_config_manager *manager, uint64_t revision)
{
    pthread_mutex_lock(&manager->lock);
    bool begin = ch_revision_is_newer(known_revision(manager), revision);
    if (begin) {
        manager->parsing_revision = revision;
    }
    pthread_mutex_unlock(&manager->lock);
    return begin;
}

/* Ends what begin_applying registered; the parsing of a higher revision may
 * have begun meanwhile. */
static void
end_applying(struct ch_config_manager *manager, uint64_t revision)
{
    pthread_mutex_lock(&manager->lock);
    if (manager->parsing_revision == revision) {
        manager->parsing_revision = 0;
    }
    pthread_mutex_unlock(&manager->lock);
}

/* Notifies a few nodes of the new revision, which all messages of this node
 * carry now; nodes that are behind then pull it. */
static void
notify_others(struct ch_config_manager *manager)
{
    struct ch_node *node = manager->node;
    g_auto(GStrv) live = ch_peers_list_live(node->peers);
    guint count = g_strv_length(live);
    for (guint i = 0; i < NOTIFIED_NODES && count > 0; i++) {
        const char *name = live[g_random_int_range(0, (gint32)count)];
        if (strcmp(name, node->settings->name) == 0) {
            continue;
        }
        Chestnuthitch__Wire__ConfigPull pull =
            CHESTNUTHITCH__WIRE__CONFIG_PULL__INIT;
        Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
        pull.above = current_revision(manager);
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL;
        frame.config_pull = &pull;
        ch_peers_send(node->peers, name, &frame);
    }
}

/* Puts the config (owned) into force if its revision is higher. */
static void
apply_config(struct ch_config_manager *manager, struct ch_config *config)
{
    struct ch_node *node = manager->node;
    struct ch_config *old = config;
    pthread_mutex_lock(&manager->lock);
    uint64_t known = manager->current == NULL ? 0 : manager->current->revision;
    bool newer = ch_revision_is_newer(known, config->revision);
    if (newer) {
        old = manager->current;
        manager->current = config;
        g_bytes_unref(manager->compressed);
        manager->compressed = NULL;
    }
    pthread_mutex_unlock(&manager->lock);
    if (newer) {
        if (node->client->metrics != NULL) {
            ch_metrics_add_count(node->client->metrics,
                                 CH_COUNT_CONFIG_CHANGES, 1);
        }
        ch_log(node->client, CH_LOG_NOTICE, "config-in-force",
               CH_F_INT("revision", config->revision),
               CH_F_STR("author", config->author), CH_F_END);
        notify_others(manager);
    }
    if (old != NULL) {
        ch_config_unref(old);
    }
}

/* Puts a revision into force from its parts. A text that this node can't parse
 * leaves the configuration in force as it is. */
static void
apply_parts(struct ch_config_manager *manager, uint64_t revision,
            const char *token, const char *author, const char *text)
{
    struct ch_error error = {0};
    if (!ch_revision_is_newer(current_revision(manager), revision)) {
        return;
    }
    struct ch_declaration *declaration =
        ch_declaration_parse(text, CONFIG_KEY, &error);
    if (declaration == NULL) {
        ch_log(manager->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", revision),
               CH_F_STR("message", error.message), CH_F_END);
        return;
    }
    apply_config(manager, ch_config_new(revision, token, author, declaration));
}

/* The record in a value of the key-value store, or a record made of the
 * platform's own format there; NULL with an error. */
static struct ch_revision_record *
parse_record(const struct ch_config_manager *manager,
             const struct ch_kv_result *answer, struct ch_error *error)
{
    const struct ch_dialect *dialect = manager->node->dialect;
    if (dialect == NULL || dialect->extract_config == NULL) {
        return ch_revision_record_parse(answer->value, answer->length, error);
    }
    g_autofree char *text =
        dialect->extract_config(answer->value, answer->length, error);
    return text == NULL
               ? NULL
               : ch_revision_record_new("operator", "operator", text, NULL, 0);
}

/* Logs a value of the key-value store that counts as older than the one in
 * force, once for each. */
static void
log_passed_over(struct ch_config_manager *manager, uint64_t revision)
{
    const struct ch_node *node = manager->node;
    uint64_t current = current_revision(manager);
    pthread_mutex_lock(&manager->lock);
    bool is_new = revision < current && manager->passed_over != revision;
    manager->passed_over = revision;
    pthread_mutex_unlock(&manager->lock);
    if (!is_new) {
        return;
    }
    if (node->client->metrics != NULL) {
        ch_metrics_add_count(node->client->metrics, CH_COUNT_STORE_PASSED_OVER,
                             1);
    }
    ch_log(node->client, CH_LOG_NOTICE, "config-passed-over",
           CH_F_INT("revision", revision), CH_F_INT("in_force", current),
           CH_F_END);
}

/*
 * Puts a value of the key-value store into force; false when it can't be
 * parsed.
 *
 * Each node reads the value repeatedly, and a watch that failed brings it
 * again. A large value takes a small node a second to translate and parse, in
 * which its streams pause; so the revision is compared first.
 */
static bool
apply_value(struct ch_config_manager *manager,
            const struct ch_kv_result *answer)
{
    struct ch_error error = {0};
    if (!begin_applying(manager, answer->revision)) {
        log_passed_over(manager, answer->revision);
        return true;
    }
    struct ch_revision_record *record = parse_record(manager, answer, &error);
    if (record == NULL) {
        ch_log(manager->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", answer->revision),
               CH_F_STR("message", error.message), CH_F_END);
    }
    else {
        apply_parts(manager, answer->revision, record->write_id,
                    record->author, record->text);
    }
    end_applying(manager, answer->revision);
    ch_revision_record_free(record);
    return record != NULL;
}

/* ---- from the key-value store: watch and read ---- */

static void begin_watch(struct ch_config_manager *manager);

/* Ends a watch. After a failure the next watch waits for a backoff, so that
 * the key-value store can recover under the calls of all nodes; likewise while
 * there is no configuration to read. */
static void
end_watch(struct ch_config_manager *manager, enum ch_code code)
{
    pthread_mutex_lock(&manager->lock);
    bool no_change = code == CH_KV_MISSING && manager->current != NULL;
    manager->watch_in_progress = false;
    if (code == CH_OK || no_change) {
        manager->backoff = 0;
    }
    else {
        if (manager->backoff == 0) {
            ch_log(manager->node->client, CH_LOG_WARNING, "config-unreachable",
                   CH_F_INT("code", code), CH_F_END);
        }
        manager->backoff =
            CLAMP(manager->backoff * 2, MIN_BACKOFF_US, MAX_BACKOFF_US);
        manager->next_watch_at =
            ch_client_get_time(manager->node->client) + manager->backoff;
    }
    pthread_mutex_unlock(&manager->lock);
}

/* Handles the reply to a watch. After a value, the next watch follows at
 * once. */
static void
handle_watch(void *data, const struct ch_kv_result *answer)
{
    struct ch_config_manager *manager = data;
    enum ch_code code = answer->code;
    if (code == CH_OK && !apply_value(manager, answer)) {
        code =
            CH_KV_UNREACHABLE; /* the next watch waits, as after a failure */
    }
    end_watch(manager, code);
    if (code == CH_OK) {
        begin_watch(manager);
    }
    manager_drop_reference(manager);
}

/*
 * Whether this node can tell by now whether it is one of the watchers. Load:
 * all nodes start at once. Harm prevented: each of them, as it knows no other
 * node yet, watches the key-value store, which counts every call.
 */
static bool
is_role_known(const struct ch_config_manager *manager)
{
    const struct ch_node *node = manager->node;
    return ch_peers_has_list(node->peers) ||
           ch_client_get_time(node->client) - manager->started_at >=
               HOST_LIST_TIMEOUT_US;
}

/*
 * Whether this node is one of the watchers. Where the list of upstreams is
 * watched too, the same nodes do both: a node that watches in place of others
 * that do not reach the key-value store is then known to reach it.
 */
static bool
is_watcher(const struct ch_config_manager *manager)
{
    struct ch_node *node = manager->node;
    int duty = g_atomic_int_get(&node->watch_duty);
    if (!is_role_known(manager)) {
        return false;
    }
    return duty == CH_WATCH_BY_RANK
               ? ch_peers_has_role(node->peers, "config-watch", WATCHER_COUNT,
                                   NULL)
               : duty == CH_WATCHES;
}

/* Starts a watch on a watcher, unless a watch is in progress, a copy is being
 * parsed or the backoff has not passed. The other nodes learn of a revision
 * from the watchers, and from scheduled reads. */
static void
begin_watch(struct ch_config_manager *manager)
{
    struct ch_node *node = manager->node;
    bool watches = is_watcher(manager);
    pthread_mutex_lock(&manager->lock);
    uint64_t revision =
        manager->current == NULL ? 0 : manager->current->revision;
    bool begin = watches && !manager->stopped && !manager->watch_in_progress &&
                 manager->parsing_revision == 0 &&
                 ch_client_get_time(node->client) >= manager->next_watch_at;
    if (begin) {
        manager->watch_in_progress = true;
        manager_add_reference(manager);
    }
    pthread_mutex_unlock(&manager->lock);
    if (begin) {
        ch_kv_call_watch(node, CONFIG_KEY, revision,
                         g_random_int_range(MIN_WATCH_US, MAX_WATCH_US),
                         handle_watch, manager);
    }
}

/* Handles the reply to a scheduled read. Only the watchers log that the
 * key-value store is unavailable. */
static void
handle_read(void *data, const struct ch_kv_result *answer)
{
    struct ch_config_manager *manager = data;
    if (answer->code == CH_OK) {
        (void)apply_value(manager, answer);
    }
    pthread_mutex_lock(&manager->lock);
    manager->read_in_progress = false;
    pthread_mutex_unlock(&manager->lock);
    manager_drop_reference(manager);
}

/*
 * Whether this node, whose host was in the fleet before, must read by itself,
 * once. Load: all hosts were without power, and no node knows the
 * configuration. Harm prevented: callers are refused until the configuration
 * has spread from the few watchers. Where other nodes know it, they have been
 * asked by then. Lock held.
 */
static bool
should_read_on_return(struct ch_config_manager *manager, int64_t now)
{
    bool should_read =
        g_atomic_int_get(&manager->node->predecessor_listed) != 0 &&
        manager->current == NULL && !manager->return_read_done &&
        now - manager->started_at >= RETURN_READ_DELAY_US;
    manager->return_read_done = manager->return_read_done || should_read;
    return should_read;
}

/* Reads the configuration if this node's read is due; see READ_PERIOD_US. */
static void
read_if_due(struct ch_config_manager *manager)
{
    struct ch_node *node = manager->node;
    g_auto(GStrv) live = ch_peers_list_live(node->peers);
    int64_t now = ch_client_get_time(node->client);
    int64_t period = (int64_t)READ_PERIOD_US * MAX(g_strv_length(live), 1U);
    pthread_mutex_lock(&manager->lock);
    bool begin = !manager->stopped && !manager->read_in_progress &&
                 manager->parsing_revision == 0 && is_role_known(manager) &&
                 (should_read_on_return(manager, now) ||
                  ch_poll_schedule_is_due(&manager->turn, period,
                                          g_random_double(), now));
    if (begin) {
        manager->read_in_progress = true;
        manager_add_reference(manager);
    }
    pthread_mutex_unlock(&manager->lock);
    if (begin) {
        ch_kv_call_get(node, CONFIG_KEY, handle_read, manager);
    }
}

/* ---- from other nodes: pull and push ---- */

/* Puts the configuration of a ConfigPush into force. */
static void
apply_push(struct ch_config_manager *manager,
           const Chestnuthitch__Wire__ConfigPush *push)
{
    if (push->packed.len == 0) {
        apply_parts(manager, push->revision, push->token, push->author,
                    push->text);
        return;
    }
    struct ch_error error = {0};
    char *text = ch_decompress(push->packed.data, push->packed.len,
                               MAX_TEXT_BYTES, NULL, &error);
    if (text == NULL) {
        ch_log(manager->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", push->revision),
               CH_F_STR("message", error.message), CH_F_END);
        return;
    }
    apply_parts(manager, push->revision, push->token, push->author, text);
    g_free(text);
}

/* Puts the ConfigPush of a message into force, unless it is not needed. */
static void
receive_push(struct ch_config_manager *manager,
             const Chestnuthitch__Wire__Frame *frame)
{
    if (frame->body_case != CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH) {
        return;
    }
    uint64_t revision = frame->config_push->revision;
    if (begin_applying(manager, revision)) {
        apply_push(manager, frame->config_push);
        end_applying(manager, revision);
    }
}

/* Handles the reply to a pull. */
static void
handle_pull_reply(void *data, enum ch_code code,
                  const Chestnuthitch__Wire__Frame *reply)
{
    struct ch_config_manager *manager = data;
    if (code == CH_OK && reply != NULL) {
        receive_push(manager, reply);
    }
    pthread_mutex_lock(&manager->lock);
    manager->pulls--;
    pthread_mutex_unlock(&manager->lock);
    manager_drop_reference(manager);
}

/* Pulls from a node, unless another node was asked just now. A node that is
 * disconnected or paused thus delays the newest revision by
 * PULL_RETRY_DELAY_US at most. */
static void
begin_pull(struct ch_config_manager *manager, const char *from)
{
    Chestnuthitch__Wire__ConfigPull pull =
        CHESTNUTHITCH__WIRE__CONFIG_PULL__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pthread_mutex_lock(&manager->lock);
    int64_t now = ch_client_get_time(manager->node->client);
    bool begin = !manager->stopped && manager->pulls < MAX_PULLS &&
                 (manager->pulls == 0 ||
                  now >= manager->last_pull_at + PULL_RETRY_DELAY_US);
    if (begin) {
        manager->pulls++;
        manager->last_pull_at = now;
        manager_add_reference(manager);
        pull.above = manager->current == NULL ? 0 : manager->current->revision;
    }
    pthread_mutex_unlock(&manager->lock);
    if (begin) {
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL;
        frame.config_pull = &pull;
        ch_peers_request(manager->node->peers, from, &frame, PULL_TIMEOUT_US,
                         handle_pull_reply, manager);
    }
}

/*
 * Whether this node may pull a revision from a node. Load: a new
 * configuration, which every node needs within seconds. Harm prevented: a copy
 * for each node over the link between regions, which fills the link; with 76
 * nodes and some thousand paths, the last copy arrived nine seconds after the
 * first. Limit: the region's entry nodes pull at once, the others when no node
 * of their region had the revision within LOCAL_COPY_TIMEOUT_US.
 */
static bool
may_pull_from(struct ch_config_manager *manager, uint64_t revision,
              const char *from)
{
    const struct ch_node *node = manager->node;
    const struct ch_settings *own = node->settings;
    if (ch_peers_is_same_region(node->peers, from) ||
        ch_peers_has_role(node->peers, "config-entry", ENTRY_NODES,
                          own->region)) {
        return true;
    }
    int64_t now = ch_client_get_time(node->client);
    pthread_mutex_lock(&manager->lock);
    if (ch_revision_is_newer(manager->remote_revision, revision)) {
        manager->remote_revision = revision;
        manager->remote_since = now;
    }
    bool has_waited = now >= manager->remote_since + LOCAL_COPY_TIMEOUT_US;
    pthread_mutex_unlock(&manager->lock);
    return has_waited;
}

/* A message carried a revision: pulls it if it is higher. */
void
ch_config_manager_note_revision(struct ch_config_manager *manager,
                                uint64_t revision, const char *from)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    uint64_t known = known_revision(manager);
    if (!ch_revision_is_newer(revision, manager->noted_revision)) {
        manager->noted_revision = revision;
        manager->noted_at = now;
    }
    pthread_mutex_unlock(&manager->lock);
    if (ch_revision_is_newer(known, revision) &&
        may_pull_from(manager, revision, from)) {
        begin_pull(manager, from);
    }
}

/* See node.h. */
bool
ch_config_manager_is_behind(struct ch_config_manager *manager)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    uint64_t current =
        manager->current == NULL ? 0 : manager->current->revision;
    bool behind = ch_revision_is_newer(current, manager->parsing_revision) ||
                  (ch_revision_is_newer(current, manager->noted_revision) &&
                   now - manager->noted_at < NOTED_US);
    pthread_mutex_unlock(&manager->lock);
    return behind;
}

/* The compressed text of the config, compressed once for all nodes that ask; a
 * new reference. */
static GBytes *
compress_config(struct ch_config_manager *manager,
                const struct ch_config *config)
{
    pthread_mutex_lock(&manager->lock);
    GBytes *compressed =
        manager->current == config && manager->compressed != NULL
            ? g_bytes_ref(manager->compressed)
            : NULL;
    pthread_mutex_unlock(&manager->lock);
    if (compressed != NULL) {
        return compressed;
    }
    compressed = ch_compress(config->declaration->canonical_text,
                             strlen(config->declaration->canonical_text));
    pthread_mutex_lock(&manager->lock);
    if (manager->current == config && manager->compressed == NULL) {
        manager->compressed = g_bytes_ref(compressed);
    }
    pthread_mutex_unlock(&manager->lock);
    return compressed;
}

/* Handles a node's request for a revision above its own. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_config_manager *manager = data;
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    Chestnuthitch__Wire__ConfigPush push =
        CHESTNUTHITCH__WIRE__CONFIG_PUSH__INIT;
    Chestnuthitch__Wire__Done done = CHESTNUTHITCH__WIRE__DONE__INIT;
    struct ch_config *config = ch_config_manager_get_current(manager);
    GBytes *compressed = NULL;
    if (config != NULL &&
        ch_revision_is_newer(frame->config_pull->above, config->revision)) {
        push.revision = config->revision;
        push.token = config->write_id;
        push.author = config->author;
        compressed = compress_config(manager, config);
        push.packed.data = (uint8_t *)(uintptr_t)g_bytes_get_data(
            compressed, &push.packed.len);
        reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH;
        reply.config_push = &push;
    }
    else {
        reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_DONE;
        reply.done = &done;
    }
    ch_peers_reply(manager->node->peers, frame->from, frame->id, &reply);
    g_bytes_unref(compressed);
    if (config != NULL) {
        ch_config_unref(config);
    }
}

/* Handles a ConfigPush that is not a reply. */
static void
handle_push(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    receive_push(data, frame);
}

/* While no configuration is known, asks one node after another: a new node may
 * start while the key-value store is unavailable. */
static void
ask_others(struct ch_config_manager *manager)
{
    const struct ch_node *node = manager->node;
    pthread_mutex_lock(&manager->lock);
    bool known = known_revision(manager) != 0;
    pthread_mutex_unlock(&manager->lock);
    if (known) {
        return;
    }
    g_auto(GStrv) live = ch_peers_list_live(node->peers);
    guint count = g_strv_length(live);
    guint first = count == 0 ? 0 : g_random_int() % count;
    for (guint i = 0; i < count; i++) {
        const char *name = live[(first + i) % count];
        if (strcmp(name, node->settings->name) != 0) {
            begin_pull(manager, name);
            return;
        }
    }
}

/* ---- periodic work ---- */

/* Every TICK_US: watches if this node is a watcher, reads if a read is due,
 * and asks other nodes while no configuration is known. */
static void
tick(void *data)
{
    struct ch_config_manager *manager = data;
    begin_watch(manager);
    read_if_due(manager);
    ask_others(manager);
    pthread_mutex_lock(&manager->lock);
    bool is_rescheduled = !manager->stopped;
    if (is_rescheduled) {
        manager->timer =
            ch_timers_add(manager->node->timers, TICK_US, tick, manager);
    }
    pthread_mutex_unlock(&manager->lock);
    if (!is_rescheduled) {
        manager_drop_reference(manager);
    }
}

/* ---- an operator's write ---- */

struct apply {
    struct ch_config_manager *manager;
    struct ch_revision_write write;
    char *author;
    char *text;
    char *bytes;                     /* the record to write, as text */
    struct ch_revision_record *read; /* the latest record read; NULL: none */
    uint64_t read_revision;
    void (*done)(void *data, const struct ch_error *error,
                 struct ch_config *config);
    void *data;
};

static void
apply_free(struct apply *apply)
{
    ch_revision_write_clear(&apply->write);
    ch_revision_record_free(apply->read);
    manager_drop_reference(apply->manager);
    g_free(apply->author);
    g_free(apply->text);
    g_free(apply->bytes);
    g_free(apply);
}

/* Reports the result, with the configuration that is in force here by then. */
static void
apply_finish(struct apply *apply, enum ch_revision_step step)
{
    static const struct {
        enum ch_revision_step step;
        enum ch_code code;
        const char *message;
    } errors[] = {
        {CH_REVISION_CONFLICT, CH_KV_CONFLICT,
         "the revision in force is not the one that this change was made "
         "from"},
        {CH_REVISION_FAILED, CH_KV_UNREACHABLE,
         "the key-value service is unavailable; nothing was changed"},
        {CH_REVISION_OUTCOME_UNKNOWN, CH_KV_AMBIGUOUS,
         "no reply to the write; the change may be in force, or may still "
         "come into force"},
    };
    struct ch_error error = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(errors); i++) {
        if (errors[i].step == step) {
            ch_error_set(&error, errors[i].code, "%s", errors[i].message);
        }
    }
    if (step == CH_REVISION_ACCEPTED) {
        apply_parts(apply->manager, apply->write.revision,
                    apply->write.write_id, apply->author, apply->text);
    }
    if (apply->read != NULL) {
        apply_parts(apply->manager, apply->read_revision,
                    apply->read->write_id, apply->read->author,
                    apply->read->text);
    }
    struct ch_config *config = ch_config_manager_get_current(apply->manager);
    apply->done(apply->data, &error, config);
    if (config != NULL) {
        ch_config_unref(config);
    }
    apply_free(apply);
}

static void apply_run_step(struct apply *apply, enum ch_revision_step step);

/* Handles the reply to a write. */
static void
apply_handle_write(void *data, const struct ch_kv_result *answer)
{
    struct apply *apply = data;
    apply_run_step(apply, ch_revision_write_handle_write(
                              &apply->write, answer->code, answer->revision));
}

/* Handles the reply to a read. */
static void
apply_handle_read(void *data, const struct ch_kv_result *answer)
{
    struct apply *apply = data;
    enum ch_code code = answer->code;
    if (code == CH_OK) {
        struct ch_revision_record *record =
            parse_record(apply->manager, answer, NULL);
        ch_revision_record_free(apply->read);
        apply->read = record;
        apply->read_revision = answer->revision;
        code = record == NULL ? CH_SYSTEM : CH_OK;
    }
    apply_run_step(apply,
                   ch_revision_write_handle_read(
                       &apply->write, code, code == CH_OK ? apply->read : NULL,
                       answer->revision));
}

/* Makes the record once, from what was read at the base revision, so that each
 * attempt writes the same bytes. */
static void
apply_make_record(struct apply *apply)
{
    if (apply->bytes != NULL) {
        return;
    }
    struct ch_revision_record *record = ch_revision_record_new(
        apply->write.write_id, apply->author, apply->text,
        apply->write.base == 0 ? NULL : apply->read, apply->write.base);
    apply->bytes = ch_revision_record_print(record);
    ch_revision_record_free(record);
}

/* Runs the next step of a write; none after the stop. */
static void
apply_run_step(struct apply *apply, enum ch_revision_step step)
{
    struct ch_node *node = apply->manager->node;
    pthread_mutex_lock(&apply->manager->lock);
    bool stopped = apply->manager->stopped;
    pthread_mutex_unlock(&apply->manager->lock);
    if (stopped && (step == CH_REVISION_READ || step == CH_REVISION_WRITE)) {
        apply_finish(apply, apply->write.writes_sent > 0
                                ? CH_REVISION_OUTCOME_UNKNOWN
                                : CH_REVISION_FAILED);
        return;
    }
    switch (step) {
    case CH_REVISION_READ:
        ch_kv_call_get(node, CONFIG_KEY, apply_handle_read, apply);
        return;
    case CH_REVISION_WRITE:
        apply_make_record(apply);
        ch_kv_call_put(node, CONFIG_KEY, apply->bytes, strlen(apply->bytes),
                       apply->write.base, apply_handle_write, apply);
        return;
    default:
        apply_finish(apply, step);
    }
}

/* A write ID that no other write of any process has. */
static char *
new_write_id(struct ch_config_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    uint64_t number = ++manager->write_count;
    pthread_mutex_unlock(&manager->lock);
    return g_strdup_printf(
        "%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
        manager->node->settings->name, manager->node->incarnation, number);
}

/*
 * Writes an operator's text by compare-and-swap against the base revision. The
 * text is checked first, so that text that can't be parsed is never accepted.
 * done runs once, on a worker, or at once in this thread when the text is
 * invalid.
 */
void
ch_config_manager_apply(struct ch_config_manager *manager, const char *text,
                        const char *author, uint64_t base,
                        void (*done)(void *data, const struct ch_error *error,
                                     struct ch_config *config),
                        void *data)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration =
        ch_declaration_parse(text, "configuration", &error);
    if (declaration == NULL) {
        done(data, &error, NULL);
        return;
    }
    g_autofree char *token = new_write_id(manager);
    struct apply *apply = g_new0(struct apply, 1);
    apply->manager = manager_add_reference(manager);
    apply->author = g_strdup(author);
    apply->text = g_strdup(declaration->canonical_text);
    apply->done = done;
    apply->data = data;
    ch_revision_write_init(&apply->write, base, token);
    ch_declaration_free(declaration);
    apply_run_step(apply, CH_REVISION_READ);
}

/* ---- lifetime ---- */

/* Creates a manager without a configuration and registers its message handlers
 * with the node's peers; node outlives the manager. */
struct ch_config_manager *
ch_config_manager_new(struct ch_node *node)
{
    struct ch_config_manager *manager = g_new0(struct ch_config_manager, 1);
    manager->node = node;
    manager->references = 1;
    pthread_mutex_init(&manager->lock, NULL);
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL,
                         handle_pull, manager);
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH,
                         handle_push, manager);
    return manager;
}

/* Starts the periodic work. */
void
ch_config_manager_start(struct ch_config_manager *manager)
{
    manager->started_at = ch_client_get_time(manager->node->client);
    ch_pool_submit(manager->node->pool, tick, manager_add_reference(manager));
}

/* Stops the periodic work; calls in progress run to their end. */
void
ch_config_manager_stop(struct ch_config_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    uint64_t timer = manager->timer;
    pthread_mutex_unlock(&manager->lock);
    if (timer != 0 && ch_timers_cancel(manager->node->timers, timer)) {
        manager_drop_reference(manager);
    }
}

/* Drops the node's reference; manager may be NULL. */
void
ch_config_manager_free(struct ch_config_manager *manager)
{
    if (manager != NULL) {
        manager_drop_reference(manager);
    }
}
