/*
 * The configuration in force on this node.
 *
 * A few nodes hold a watch on the key-value service; the others learn from the
 * revision that every frame bears, and pull.  Whoever takes a new one tells a
 * few others, so that it is everywhere after a number of hops that grows with
 * the logarithm of the fleet.  Between regions it goes to a few nodes, and the
 * others get it from those.
 */

#include "node/pack.h"
#include "node/dialect.h"
#include "node/kv_call.h"

#include "decide/revision.h"
#include "decide/poll_schedule.h"

#include <pthread.h>
#include <string.h>

#define CONFIG_KEY "config/current"

enum {
    /* Nodes with a watch: three, so that one lost and one paused leave one. */
    WATCHERS = 3,
    /* Nodes that are told of a new revision by whoever takes it. */
    FANOUT = 4,
    /*
     * A connection that falls silent takes its watch with it, and one fault on
     * the way to the service takes those of all watchers.  A change must be in
     * force within three to four seconds; so a watch is asked anew after 1 to
     * 2 s.  The watchers are out of step, so that the first finds out within
     * some 1.5 s (with 30 s, a change was in force after 16 s).  It costs 2.4
     * calls a second at any size of the fleet.
     */
    LEAST_WATCH = 1000 * 1000,
    MOST_WATCH = 2000 * 1000,
    /*
     * A service that drops its history may leave a change out of a watch, and
     * may turn the very nodes away that watch.  So the configuration is also
     * read, by all nodes in turn: one read of the fleet in this time, whatever
     * its size, finds a change before it must be in force also when a third of
     * the nodes are turned away (with 0.5 s between reads, after 2.4 s of 3,
     * since the turns are not evenly spaced).  It costs 3.3 calls a second,
     * and each of 320 nodes one copy in 96 s.
     */
    READ_EVERY = 300 * 1000,
    TICK = 250 * 1000,
    PULL_LIMIT = 2 * 1000 * 1000,
    /* Another node is asked as well when the first has not answered for this
     * long: some round trips between regions. */
    PULL_AGAIN = 500 * 1000,
    PULLS = 2,
    /* Nodes of each region that pull from others at once: two, so that one may
     * be lost. */
    ENTRIES = 2,
    /* The others of the region wait this long for one that is near: the same
     * time that a node gets to answer one of those two. */
    FAR_PATIENCE = 600 * 1000,
    /* The largest text that is taken from another node: ten times one with
     * some ten thousand paths. */
    MOST_TEXT = 8 * 1024 * 1024,
    FIRST_PAUSE = 250 * 1000,
    /* A node that returns has asked others for so long before it reads. */
    FIRST_READ = 300 * 1000,
    /* A node that knows no list of the others after this long reads all the
     * same: the service may answer for the configuration alone. */
    UNLISTED = 1500 * 1000,
    /* A third of the time within which a change has to be in force; three
     * watchers make three calls a second of it. */
    MOST_PAUSE = 1000 * 1000,
};

struct ch_config_keeper {
    struct ch_node *node;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    struct ch_config *current;
    uint64_t taking;       /* the highest that is being read; 0: none */
    unsigned pulls;        /* under way */
    int64_t pulled;        /* when the latest began */
    uint64_t far_revision; /* what far nodes have, and since when */
    int64_t far_since;
    GBytes *packed;               /* the text in force; NULL: not packed yet */
    struct ch_poll_schedule turn; /* to read; see READ_EVERY */
    bool reading;
    bool read_first; /* a node that returns has read by itself */
    bool calling;    /* a watch or read of the service is under way */
    int64_t pause;
    int64_t not_before;
    uint64_t timer;
    uint64_t tokens;
    int64_t started;
};

/* ---- ownership ---- */

/* One more owner: a call or timer under way. */
static struct ch_config_keeper *
keeper_ref(struct ch_config_keeper *keeper)
{
    g_atomic_int_inc(&keeper->references);
    return keeper;
}

/* One owner less; the last frees it. */
static void
keeper_unref(struct ch_config_keeper *keeper)
{
    if (!g_atomic_int_dec_and_test(&keeper->references)) {
        return;
    }
    if (keeper->current != NULL) {
        ch_config_unref(keeper->current);
    }
    g_bytes_unref(keeper->packed);
    pthread_mutex_destroy(&keeper->lock);
    g_free(keeper);
}

/* ---- taking a revision into force ---- */

/* A reference to what is in force, or NULL. */
struct ch_config *
ch_config_keeper_current(struct ch_config_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    struct ch_config *config =
        keeper->current == NULL ? NULL : ch_config_ref(keeper->current);
    pthread_mutex_unlock(&keeper->lock);
    return config;
}

/* The revision in force; 0: none. */
static uint64_t
current_revision(struct ch_config_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    uint64_t revision =
        keeper->current == NULL ? 0 : keeper->current->revision;
    pthread_mutex_unlock(&keeper->lock);
    return revision;
}

/* The revision in force, or a higher one that is being read; the lock is
 * held. */
static uint64_t
known_revision(const struct ch_config_keeper *keeper)
{
    uint64_t current = keeper->current == NULL ? 0 : keeper->current->revision;
    return ch_revision_is_newer(current, keeper->taking) ? keeper->taking
                                                         : current;
}

/*
 * Begins to read a copy; false for one that is needless.
 *
 * While a small node reads a large configuration, for a second or two, every
 * frame that comes tells it of the revision that it lacks, and watch, turn and
 * pull may each bring a copy.  Reading them side by side takes two and three
 * times as long, for all of them.  A copy that is left out for one that turns
 * out to be damaged is not lost: the next frame or turn brings it again.
 */
static bool
begin_taking(struct ch_config_keeper *keeper, uint64_t revision)
{
    pthread_mutex_lock(&keeper->lock);
    bool begin = ch_revision_is_newer(known_revision(keeper), revision);
    if (begin) {
        keeper->taking = revision;
    }
    pthread_mutex_unlock(&keeper->lock);
    return begin;
}

/* Ends what begin_taking began; a higher one may have begun meanwhile. */
static void
end_taking(struct ch_config_keeper *keeper, uint64_t revision)
{
    pthread_mutex_lock(&keeper->lock);
    if (keeper->taking == revision) {
        keeper->taking = 0;
    }
    pthread_mutex_unlock(&keeper->lock);
}

/* Tells a few nodes of the revision that this node's frames now bear: they
 * pull it when they are behind. */
static void
tell_others(struct ch_config_keeper *keeper)
{
    struct ch_node *node = keeper->node;
    g_auto(GStrv) live = ch_peers_live(node->peers);
    guint count = g_strv_length(live);
    for (guint i = 0; i < FANOUT && count > 0; i++) {
        const char *name = live[g_random_int_range(0, (gint32)count)];
        if (strcmp(name, node->settings->name) == 0) {
            continue;
        }
        Chestnuthitch__Wire__ConfigPull pull =
            CHESTNUTHITCH__WIRE__CONFIG_PULL__INIT;
        Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
        pull.above = current_revision(keeper);
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL;
        frame.config_pull = &pull;
        ch_peers_send(node->peers, name, &frame);
    }
}

/* Takes the config (owned) into force, if its revision is higher. */
static void
take_config(struct ch_config_keeper *keeper, struct ch_config *config)
{
    struct ch_node *node = keeper->node;
    struct ch_config *old = config;
    pthread_mutex_lock(&keeper->lock);
    uint64_t known = keeper->current == NULL ? 0 : keeper->current->revision;
    bool newer = ch_revision_is_newer(known, config->revision);
    if (newer) {
        old = keeper->current;
        keeper->current = config;
        g_bytes_unref(keeper->packed);
        keeper->packed = NULL;
    }
    pthread_mutex_unlock(&keeper->lock);
    if (newer) {
        if (node->client->metrics != NULL) {
            ch_metrics_count(node->client->metrics, CH_COUNT_CONFIG_CHANGES,
                             1);
        }
        ch_log(node->client, CH_LOG_NOTICE, "config-in-force",
               CH_F_INT("revision", config->revision),
               CH_F_STR("author", config->author), CH_F_END);
        tell_others(keeper);
    }
    if (old != NULL) {
        ch_config_unref(old);
    }
}

/* Takes a revision into force from its parts.  A text that this node can't
 * read leaves what is in force as it is. */
static void
take_parts(struct ch_config_keeper *keeper, uint64_t revision,
           const char *token, const char *author, const char *text)
{
    struct ch_error error = {0};
    if (!ch_revision_is_newer(current_revision(keeper), revision)) {
        return;
    }
    struct ch_declaration *declaration =
        ch_declaration_parse(text, CONFIG_KEY, &error);
    if (declaration == NULL) {
        ch_log(keeper->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", revision),
               CH_F_STR("message", error.message), CH_F_END);
        return;
    }
    take_config(keeper, ch_config_new(revision, token, author, declaration));
}

/* The record in a value of the service, or one made of what a platform keeps
 * there; NULL with an error. */
static struct ch_revision_record *
read_record(const struct ch_config_keeper *keeper,
            const struct ch_kv_answer *answer, struct ch_error *error)
{
    const struct ch_dialect *dialect = keeper->node->dialect;
    if (dialect == NULL || dialect->config_text == NULL) {
        return ch_revision_record_parse(answer->value, answer->length, error);
    }
    g_autofree char *text =
        dialect->config_text(answer->value, answer->length, error);
    return text == NULL
               ? NULL
               : ch_revision_record_new("operator", "operator", text, NULL, 0);
}

/*
 * Takes a value of the service into force; false when it can't be read.
 *
 * Each node reads the value again and again, and a watch that failed brings it
 * anew.  A large one takes a small node a second to translate and parse, in
 * which its streams pause; so its revision is looked at first.
 */
static bool
take_value(struct ch_config_keeper *keeper, const struct ch_kv_answer *answer)
{
    struct ch_error error = {0};
    if (!begin_taking(keeper, answer->revision)) {
        return true;
    }
    struct ch_revision_record *record = read_record(keeper, answer, &error);
    if (record == NULL) {
        ch_log(keeper->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", answer->revision),
               CH_F_STR("message", error.message), CH_F_END);
    }
    else {
        take_parts(keeper, answer->revision, record->write_id, record->author,
                   record->text);
    }
    end_taking(keeper, answer->revision);
    ch_revision_record_free(record);
    return record != NULL;
}

/* ---- from the service: watch, or the first read ---- */

static void begin_call(struct ch_config_keeper *keeper);

/* Notes how a watch or read went.  Without an answer the next one waits: the
 * service is to come back under the calls of all.  Likewise while there is no
 * configuration to read. */
static void
end_call(struct ch_config_keeper *keeper, enum ch_code code)
{
    pthread_mutex_lock(&keeper->lock);
    bool quiet = code == CH_KV_MISSING && keeper->current != NULL;
    keeper->calling = false;
    if (code == CH_OK || quiet) {
        keeper->pause = 0;
    }
    else {
        if (keeper->pause == 0) {
            ch_log(keeper->node->client, CH_LOG_WARNING, "config-unreachable",
                   CH_F_INT("code", code), CH_F_END);
        }
        keeper->pause = CLAMP(keeper->pause * 2, FIRST_PAUSE, MOST_PAUSE);
        keeper->not_before =
            ch_client_now(keeper->node->client) + keeper->pause;
    }
    pthread_mutex_unlock(&keeper->lock);
}

/* The answer to a watch or read; a watch follows at once when it answered. */
static void
call_done(void *data, const struct ch_kv_answer *answer)
{
    struct ch_config_keeper *keeper = data;
    enum ch_code code = answer->code;
    if (code == CH_OK && !take_value(keeper, answer)) {
        code =
            CH_KV_UNREACHABLE; /* the next one waits, as without an answer */
    }
    end_call(keeper, code);
    if (code == CH_OK) {
        begin_call(keeper);
    }
    keeper_unref(keeper);
}

/*
 * Whether this node knows by now whether it is one of those that watch.  Load:
 * all nodes start at once.  Harm prevented: each of them, as it knows no other
 * yet, watches the service, which counts every call.
 */
static bool
knows_its_role(const struct ch_config_keeper *keeper)
{
    const struct ch_node *node = keeper->node;
    return ch_peers_listed(node->peers) ||
           ch_client_now(node->client) - keeper->started >= UNLISTED;
}

/* Begins a watch on nodes that watch, unless one is under way, a copy is being
 * read or the service is given time.  The others hear of a revision from
 * those, and read in turn. */
static void
begin_call(struct ch_config_keeper *keeper)
{
    struct ch_node *node = keeper->node;
    bool watcher =
        knows_its_role(keeper) &&
        ch_peers_has_role(node->peers, "config-watch", WATCHERS, NULL);
    pthread_mutex_lock(&keeper->lock);
    uint64_t revision =
        keeper->current == NULL ? 0 : keeper->current->revision;
    bool begin = watcher && !keeper->stopped && !keeper->calling &&
                 keeper->taking == 0 &&
                 ch_client_now(node->client) >= keeper->not_before;
    if (begin) {
        keeper->calling = true;
        keeper_ref(keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
    if (begin) {
        ch_kv_call_watch(node, CONFIG_KEY, revision,
                         g_random_int_range(LEAST_WATCH, MOST_WATCH),
                         call_done, keeper);
    }
}

/* What a read in turn brought.  That the service is away is said by those who
 * watch. */
static void
read_done(void *data, const struct ch_kv_answer *answer)
{
    struct ch_config_keeper *keeper = data;
    if (answer->code == CH_OK) {
        (void)take_value(keeper, answer);
    }
    pthread_mutex_lock(&keeper->lock);
    keeper->reading = false;
    pthread_mutex_unlock(&keeper->lock);
    keeper_unref(keeper);
}

/*
 * Whether a node whose host was in the fleet before reads by itself, once.
 * Load: all hosts were without power, and nobody knows the configuration.
 * Harm prevented: callers are refused until it has come round from the few
 * that watch.  Where others know it, they have been asked by then.  Lock held.
 */
static bool
reads_first(struct ch_config_keeper *keeper, int64_t now)
{
    bool reads = g_atomic_int_get(&keeper->node->returns) != 0 &&
                 keeper->current == NULL && !keeper->read_first &&
                 now - keeper->started >= FIRST_READ;
    keeper->read_first = keeper->read_first || reads;
    return reads;
}

/* Reads the configuration if it is this node's turn; see READ_EVERY. */
static void
read_in_turn(struct ch_config_keeper *keeper)
{
    struct ch_node *node = keeper->node;
    g_auto(GStrv) live = ch_peers_live(node->peers);
    int64_t now = ch_client_now(node->client);
    int64_t round = (int64_t)READ_EVERY * MAX(g_strv_length(live), 1U);
    pthread_mutex_lock(&keeper->lock);
    bool begin = !keeper->stopped && !keeper->reading && keeper->taking == 0 &&
                 knows_its_role(keeper) &&
                 (reads_first(keeper, now) ||
                  ch_poll_schedule_is_due(&keeper->turn, round,
                                          g_random_double(), now));
    if (begin) {
        keeper->reading = true;
        keeper_ref(keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
    if (begin) {
        ch_kv_call_get(node, CONFIG_KEY, read_done, keeper);
    }
}

/* ---- from other nodes: pull and push ---- */

/* Reads a ConfigPush and takes it into force. */
static void
read_push(struct ch_config_keeper *keeper,
          const Chestnuthitch__Wire__ConfigPush *push)
{
    if (push->packed.len == 0) {
        take_parts(keeper, push->revision, push->token, push->author,
                   push->text);
        return;
    }
    struct ch_error error = {0};
    char *text = ch_unpack(push->packed.data, push->packed.len, MOST_TEXT,
                           NULL, &error);
    if (text == NULL) {
        ch_log(keeper->node->client, CH_LOG_ERR, "config-unreadable",
               CH_F_INT("revision", push->revision),
               CH_F_STR("message", error.message), CH_F_END);
        return;
    }
    take_parts(keeper, push->revision, push->token, push->author, text);
    g_free(text);
}

/* Takes a frame's ConfigPush into force, unless it is needless. */
static void
take_push(struct ch_config_keeper *keeper,
          const Chestnuthitch__Wire__Frame *frame)
{
    if (frame->body_case != CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH) {
        return;
    }
    uint64_t revision = frame->config_push->revision;
    if (begin_taking(keeper, revision)) {
        read_push(keeper, frame->config_push);
        end_taking(keeper, revision);
    }
}

/* The answer to a pull. */
static void
pull_done(void *data, enum ch_code code,
          const Chestnuthitch__Wire__Frame *reply)
{
    struct ch_config_keeper *keeper = data;
    if (code == CH_OK && reply != NULL) {
        take_push(keeper, reply);
    }
    pthread_mutex_lock(&keeper->lock);
    keeper->pulls--;
    pthread_mutex_unlock(&keeper->lock);
    keeper_unref(keeper);
}

/* Pulls from a node, unless another has been asked just now: a node that is
 * cut off or paused holds the newest for the length of PULL_AGAIN at most. */
static void
begin_pull(struct ch_config_keeper *keeper, const char *from)
{
    Chestnuthitch__Wire__ConfigPull pull =
        CHESTNUTHITCH__WIRE__CONFIG_PULL__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pthread_mutex_lock(&keeper->lock);
    int64_t now = ch_client_now(keeper->node->client);
    bool begin = !keeper->stopped && keeper->pulls < PULLS &&
                 (keeper->pulls == 0 || now >= keeper->pulled + PULL_AGAIN);
    if (begin) {
        keeper->pulls++;
        keeper->pulled = now;
        keeper_ref(keeper);
        pull.above = keeper->current == NULL ? 0 : keeper->current->revision;
    }
    pthread_mutex_unlock(&keeper->lock);
    if (begin) {
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL;
        frame.config_pull = &pull;
        ch_peers_request(keeper->node->peers, from, &frame, PULL_LIMIT,
                         pull_done, keeper);
    }
}

/*
 * Load: a new configuration, which every node needs within seconds.  Harm
 * prevented: a copy for each node over the link between regions, which fills
 * it, so that the last one came there nine seconds after the first (measured
 * with 76 nodes and some thousand paths).  Limit: the region's entries pull at
 * once, the others when no near node had it within FAR_PATIENCE.
 */
static bool
may_pull_from(struct ch_config_keeper *keeper, uint64_t revision,
              const char *from)
{
    const struct ch_node *node = keeper->node;
    const struct ch_settings *own = node->settings;
    if (ch_peers_is_near(node->peers, from) ||
        ch_peers_has_role(node->peers, "config-entry", ENTRIES, own->region)) {
        return true;
    }
    int64_t now = ch_client_now(node->client);
    pthread_mutex_lock(&keeper->lock);
    if (ch_revision_is_newer(keeper->far_revision, revision)) {
        keeper->far_revision = revision;
        keeper->far_since = now;
    }
    bool waited = now >= keeper->far_since + FAR_PATIENCE;
    pthread_mutex_unlock(&keeper->lock);
    return waited;
}

/* Some frame bore a revision: if it is higher, it is pulled. */
void
ch_config_keeper_learn(struct ch_config_keeper *keeper, uint64_t revision,
                       const char *from)
{
    pthread_mutex_lock(&keeper->lock);
    uint64_t known = known_revision(keeper);
    pthread_mutex_unlock(&keeper->lock);
    if (ch_revision_is_newer(known, revision) &&
        may_pull_from(keeper, revision, from)) {
        begin_pull(keeper, from);
    }
}

/* The text of the config, packed; packed once for all that ask. */
static GBytes *
pack_config(struct ch_config_keeper *keeper, const struct ch_config *config)
{
    pthread_mutex_lock(&keeper->lock);
    GBytes *packed = keeper->current == config && keeper->packed != NULL
                         ? g_bytes_ref(keeper->packed)
                         : NULL;
    pthread_mutex_unlock(&keeper->lock);
    if (packed != NULL) {
        return packed;
    }
    packed =
        ch_pack(config->declaration->text, strlen(config->declaration->text));
    pthread_mutex_lock(&keeper->lock);
    if (keeper->current == config && keeper->packed == NULL) {
        keeper->packed = g_bytes_ref(packed);
    }
    pthread_mutex_unlock(&keeper->lock);
    return packed;
}

/* A node asks for what is above its revision. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_config_keeper *keeper = data;
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    Chestnuthitch__Wire__ConfigPush push =
        CHESTNUTHITCH__WIRE__CONFIG_PUSH__INIT;
    Chestnuthitch__Wire__Done done = CHESTNUTHITCH__WIRE__DONE__INIT;
    struct ch_config *config = ch_config_keeper_current(keeper);
    GBytes *packed = NULL;
    if (config != NULL &&
        ch_revision_is_newer(frame->config_pull->above, config->revision)) {
        push.revision = config->revision;
        push.token = config->token;
        push.author = config->author;
        packed = pack_config(keeper, config);
        push.packed.data =
            (uint8_t *)(uintptr_t)g_bytes_get_data(packed, &push.packed.len);
        reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH;
        reply.config_push = &push;
    }
    else {
        reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_DONE;
        reply.done = &done;
    }
    ch_peers_reply(keeper->node->peers, frame->from, frame->id, &reply);
    g_bytes_unref(packed);
    if (config != NULL) {
        ch_config_unref(config);
    }
}

/* A push that came by itself. */
static void
handle_push(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    take_push(data, frame);
}

/* While nothing is known, asks one node after another: a fresh node starts
 * while the service is away. */
static void
ask_others(struct ch_config_keeper *keeper)
{
    const struct ch_node *node = keeper->node;
    pthread_mutex_lock(&keeper->lock);
    bool known = known_revision(keeper) != 0;
    pthread_mutex_unlock(&keeper->lock);
    if (known) {
        return;
    }
    g_auto(GStrv) live = ch_peers_live(node->peers);
    guint count = g_strv_length(live);
    guint first = count == 0 ? 0 : g_random_int() % count;
    for (guint i = 0; i < count; i++) {
        const char *name = live[(first + i) % count];
        if (strcmp(name, node->settings->name) != 0) {
            begin_pull(keeper, name);
            return;
        }
    }
}

/* ---- the tick ---- */

/* Every TICK: watch if it falls to this node, read if it is its turn, read or
 * ask while nothing is known. */
static void
tick(void *data)
{
    struct ch_config_keeper *keeper = data;
    begin_call(keeper);
    read_in_turn(keeper);
    ask_others(keeper);
    pthread_mutex_lock(&keeper->lock);
    bool again = !keeper->stopped;
    if (again) {
        keeper->timer =
            ch_timers_after(keeper->node->timers, TICK, tick, keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
    if (!again) {
        keeper_unref(keeper);
    }
}

/* ---- an operator's write ---- */

struct apply {
    struct ch_config_keeper *keeper;
    struct ch_revision_write write;
    char *author;
    char *text;
    char *bytes;                     /* the record to write */
    struct ch_revision_record *read; /* what was read last; NULL: none */
    uint64_t read_revision;
    void (*done)(void *data, const struct ch_error *error,
                 struct ch_config *config);
    void *data;
};

/* Frees an operator's write. */
static void
apply_free(struct apply *apply)
{
    ch_revision_write_clear(&apply->write);
    ch_revision_record_free(apply->read);
    keeper_unref(apply->keeper);
    g_free(apply->author);
    g_free(apply->text);
    g_free(apply->bytes);
    g_free(apply);
}

/* Gives the verdict, with what is in force here by then. */
static void
apply_end(struct apply *apply, enum ch_revision_step step)
{
    static const struct {
        enum ch_revision_step step;
        enum ch_code code;
        const char *message;
    } verdicts[] = {
        {CH_REVISION_CONFLICT, CH_KV_CONFLICT,
         "another revision is in force than the one this was made from"},
        {CH_REVISION_FAILED, CH_KV_UNREACHABLE,
         "the key-value service is away; nothing was changed"},
        {CH_REVISION_OUTCOME_UNKNOWN, CH_KV_AMBIGUOUS,
         "the answer was lost; the change may be in force, or may yet come"},
    };
    struct ch_error error = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(verdicts); i++) {
        if (verdicts[i].step == step) {
            ch_error_set(&error, verdicts[i].code, "%s", verdicts[i].message);
        }
    }
    if (step == CH_REVISION_ACCEPTED) {
        take_parts(apply->keeper, apply->write.revision, apply->write.write_id,
                   apply->author, apply->text);
    }
    if (apply->read != NULL) {
        take_parts(apply->keeper, apply->read_revision, apply->read->write_id,
                   apply->read->author, apply->read->text);
    }
    struct ch_config *config = ch_config_keeper_current(apply->keeper);
    apply->done(apply->data, &error, config);
    if (config != NULL) {
        ch_config_unref(config);
    }
    apply_free(apply);
}

static void apply_step(struct apply *apply, enum ch_revision_step step);

/* The answer to the write. */
static void
apply_written(void *data, const struct ch_kv_answer *answer)
{
    struct apply *apply = data;
    apply_step(apply, ch_revision_write_handle_write(
                          &apply->write, answer->code, answer->revision));
}

/* The answer to a read. */
static void
apply_read(void *data, const struct ch_kv_answer *answer)
{
    struct apply *apply = data;
    enum ch_code code = answer->code;
    if (code == CH_OK) {
        struct ch_revision_record *record =
            read_record(apply->keeper, answer, NULL);
        ch_revision_record_free(apply->read);
        apply->read = record;
        apply->read_revision = answer->revision;
        code = record == NULL ? CH_SYSTEM : CH_OK;
    }
    apply_step(apply, ch_revision_write_handle_read(&apply->write, code,
                                                    code == CH_OK ? apply->read
                                                                  : NULL,
                                                    answer->revision));
}

/* The record is made once, from what was read at base, so that each try writes
 * the same. */
static void
make_record(struct apply *apply)
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

/* Does the next step of a write; none after the stop. */
static void
apply_step(struct apply *apply, enum ch_revision_step step)
{
    struct ch_node *node = apply->keeper->node;
    pthread_mutex_lock(&apply->keeper->lock);
    bool stopped = apply->keeper->stopped;
    pthread_mutex_unlock(&apply->keeper->lock);
    if (stopped && (step == CH_REVISION_READ || step == CH_REVISION_WRITE)) {
        apply_end(apply, apply->write.writes_sent > 0
                             ? CH_REVISION_OUTCOME_UNKNOWN
                             : CH_REVISION_FAILED);
        return;
    }
    switch (step) {
    case CH_REVISION_READ:
        ch_kv_call_get(node, CONFIG_KEY, apply_read, apply);
        return;
    case CH_REVISION_WRITE:
        make_record(apply);
        ch_kv_call_put(node, CONFIG_KEY, apply->bytes, strlen(apply->bytes),
                       apply->write.base, apply_written, apply);
        return;
    default:
        apply_end(apply, step);
    }
}

/* A mark that no other write of any process bears. */
static char *
new_token(struct ch_config_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    uint64_t number = ++keeper->tokens;
    pthread_mutex_unlock(&keeper->lock);
    return g_strdup_printf(
        "%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
        keeper->node->settings->name, keeper->node->incarnation, number);
}

/*
 * Writes an operator's text by compare-and-swap against base.  The text is
 * checked first: what can't be read is never accepted.  done runs once, on a
 * worker, or at once in this thread when the text is wrong.
 */
void
ch_config_keeper_apply(struct ch_config_keeper *keeper, const char *text,
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
    g_autofree char *token = new_token(keeper);
    struct apply *apply = g_new0(struct apply, 1);
    apply->keeper = keeper_ref(keeper);
    apply->author = g_strdup(author);
    apply->text = g_strdup(declaration->text);
    apply->done = done;
    apply->data = data;
    ch_revision_write_init(&apply->write, base, token);
    ch_declaration_free(declaration);
    apply_step(apply, CH_REVISION_READ);
}

/* ---- life ---- */

/* A keeper that knows nothing yet, registered with the node's peers; node
 * outlives it. */
struct ch_config_keeper *
ch_config_keeper_new(struct ch_node *node)
{
    struct ch_config_keeper *keeper = g_new0(struct ch_config_keeper, 1);
    keeper->node = node;
    keeper->references = 1;
    pthread_mutex_init(&keeper->lock, NULL);
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PULL,
                    handle_pull, keeper);
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_CONFIG_PUSH,
                    handle_push, keeper);
    return keeper;
}

/* Begins to read, watch and ask. */
void
ch_config_keeper_start(struct ch_config_keeper *keeper)
{
    keeper->started = ch_client_now(keeper->node->client);
    ch_pool_submit(keeper->node->pool, tick, keeper_ref(keeper));
}

/* Ends the tick; calls under way run out. */
void
ch_config_keeper_stop(struct ch_config_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    keeper->stopped = true;
    uint64_t timer = keeper->timer;
    pthread_mutex_unlock(&keeper->lock);
    if (timer != 0 && ch_timers_cancel(keeper->node->timers, timer)) {
        keeper_unref(keeper);
    }
}

/* Drops the node's hold. */
void
ch_config_keeper_free(struct ch_config_keeper *keeper)
{
    if (keeper != NULL) {
        keeper_unref(keeper);
    }
}
