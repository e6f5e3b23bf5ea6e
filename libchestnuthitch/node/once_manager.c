/*
 * At-most-once requests on the entry node: one attempt for each request with a
 * key.
 *
 * The slot's home node is asked to create the record of the key. When the
 * connection to the home node is lost, the slot's log is read from the
 * key-value store instead. An attempt is reported as CREATED only on evidence
 * that the log gives it the key; otherwise it is given up. Once the caller's
 * result is settled, later replies are ignored, and a record that a given-up
 * attempt may have created is released.
 */

#include "node/once_home.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

#define SLOTS_KEY "once/slots"

enum {
    /*
     * Callers learn of an outage in less than a second. Creating a record
     * takes two calls in sequence, each of some milliseconds within a region
     * and 60 ms between regions.
     */
    BEGIN_TIMEOUT_US = 900 * 1000,
    /* A home node that has fallen silent is noticed about as late. Then the
     * caller waits for this many times the silence limit more, in which
     * another home node is asked. */
    SILENT_HOME_EXTENSION = 2,
    /* Home nodes that are asked one after another when a connection is
     * lost. */
    BEGIN_MAX_ATTEMPTS = 3,
    /*
     * Minimum time between two requests to home nodes. A home node whose
     * process was killed refuses connections at once, and stays the home node
     * until the membership notices. Without the delay all attempts went to it
     * within 20 ms, and the caller was refused although another home node
     * would have served the request a moment later.
     */
    LOST_HOME_DELAY_US = 60 * 1000,
    FINISH_TIMEOUT_US = 1000 * 1000,
    /* Attempts to send the end of an attempt, 1, 2, 4 and 8 s apart. */
    FINISH_MAX_ATTEMPTS = 5,
};

struct ch_once_manager {
    struct ch_node *node;
    struct ch_once_home *home;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    uint32_t slot_count; /* the number that all nodes use; 0: not known yet */
    uint64_t attempt_count;
    uint64_t incarnation_id;
    GHashTable *waiting_finishes; /* struct finish with a timer, as a set */
};

struct begin {
    struct ch_once_manager *manager;
    int references;
    char *caller;
    char *key;
    uint64_t fingerprint;
    uint64_t attempt;
    uint32_t slot;
    unsigned attempts_made;
    int64_t last_asked_at; /* when the latest home node was asked */
    char *home;            /* the latest home node; NULL: none was asked */
    bool extended;         /* the timeout was extended, as the home node was
                              silent */
    bool may_be_written;   /* the attempt may have been written to the log */
    bool finished;
    uint64_t timer;
    void (*done)(void *data, const struct ch_once_result *answer);
    void *data;
};

struct finish {
    struct ch_once_manager *manager;
    uint32_t slot;
    char *caller;
    char *key;
    uint64_t attempt;
    bool not_run;
    bool kept;
    int status;
    char *content_type;
    void *body;
    size_t length;
    unsigned attempts_made;
    uint64_t timer;
    void (*done)(void *data, bool kept);
    void *data;
};

/* ---- ownership ---- */

/* Adds a reference, for a call or timer in progress. */
static struct ch_once_manager *
manager_add_reference(struct ch_once_manager *manager)
{
    g_atomic_int_inc(&manager->references);
    return manager;
}

/* Drops a reference; frees the manager with the last one. */
static void
manager_drop_reference(struct ch_once_manager *manager)
{
    if (!g_atomic_int_dec_and_test(&manager->references)) {
        return;
    }
    g_hash_table_destroy(manager->waiting_finishes);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}

/* Adds a reference, for a call or the timer. */
static struct begin *
begin_add_reference(struct begin *begin)
{
    g_atomic_int_inc(&begin->references);
    return begin;
}

/* Drops a reference; frees the begin with the last one. */
static void
begin_drop_reference(struct begin *begin)
{
    if (!g_atomic_int_dec_and_test(&begin->references)) {
        return;
    }
    manager_drop_reference(begin->manager);
    g_free(begin->caller);
    g_free(begin->key);
    g_free(begin->home);
    g_free(begin);
}

/* Whether the begin has ended or the manager was stopped. */
static bool
is_ended(const struct begin *begin)
{
    pthread_mutex_lock(&begin->manager->lock);
    bool ended = begin->finished || begin->manager->stopped;
    pthread_mutex_unlock(&begin->manager->lock);
    return ended;
}

/* Increments a counter, if the client has metrics. */
static void
count_event(struct ch_once_manager *manager, enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- the end of an attempt ---- */

/* Frees a finish and drops its reference to the manager. */
static void
finish_free(struct finish *finish)
{
    manager_drop_reference(finish->manager);
    g_free(finish->caller);
    g_free(finish->key);
    g_free(finish->content_type);
    g_free(finish->body);
    g_free(finish);
}

/* Reports, the first time only, whether the response is stored. */
static void
finish_report(struct finish *finish, bool kept)
{
    if (finish->done != NULL) {
        finish->done(finish->data, kept);
        finish->done = NULL;
    }
}

static void finish_send(void *data);

/* Schedules another attempt to send; false after FINISH_MAX_ATTEMPTS or the
 * stop. */
static bool
finish_retry_later(struct finish *finish)
{
    struct ch_once_manager *manager = finish->manager;
    int64_t delay = (int64_t)G_USEC_PER_SEC << finish->attempts_made;
    pthread_mutex_lock(&manager->lock);
    bool again =
        ++finish->attempts_made < FINISH_MAX_ATTEMPTS && !manager->stopped;
    if (again) {
        g_hash_table_add(manager->waiting_finishes, finish);
        finish->timer =
            ch_timers_add(manager->node->timers, delay, finish_send, finish);
    }
    pthread_mutex_unlock(&manager->lock);
    return again;
}

/* Handles the home node's reply to a finish. Without a reply, or while the
 * key-value store is unavailable, the finish is sent again; the log accepts
 * the end of an attempt once only. */
static void
finish_handle_reply(void *data, enum ch_code code,
                    const Chestnuthitch__Wire__Frame *reply)
{
    struct finish *finish = data;
    bool has_reply =
        code == CH_OK && reply != NULL &&
        reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_ANSWER;
    bool kept = has_reply && reply->once_answer->state == CH_ONCE_DONE;
    bool final = kept || (has_reply && reply->once_answer->code == CH_OK);
    finish_report(finish, kept);
    if (final || !finish_retry_later(finish)) {
        finish_free(finish);
    }
}

/* Sends a finish to the slot's current home node. */
static void
finish_send(void *data)
{
    struct finish *finish = data;
    struct ch_node *node = finish->manager->node;
    Chestnuthitch__Wire__OnceFinish body =
        CHESTNUTHITCH__WIRE__ONCE_FINISH__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pthread_mutex_lock(&finish->manager->lock);
    g_hash_table_remove(finish->manager->waiting_finishes, finish);
    pthread_mutex_unlock(&finish->manager->lock);
    body.slot = finish->slot;
    body.caller = finish->caller;
    body.key = finish->key;
    body.attempt = finish->attempt;
    body.not_run = finish->not_run;
    body.kept = finish->kept;
    body.status = (uint32_t)finish->status;
    body.content_type = finish->content_type;
    body.body.data = finish->body;
    body.body.len = finish->length;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_FINISH;
    frame.once_finish = &body;
    g_autofree char *home = ch_once_slot_find_home(node, finish->slot);
    ch_peers_request(node->peers, home, &frame, FINISH_TIMEOUT_US,
                     finish_handle_reply, finish);
}

/* Creates a finish without a stored response. */
static struct finish *
finish_new(struct ch_once_manager *manager, const char *caller,
           const char *key, uint64_t attempt, uint32_t slot)
{
    struct finish *finish = g_new0(struct finish, 1);
    finish->manager = manager_add_reference(manager);
    finish->slot = slot;
    finish->caller = g_strdup(caller);
    finish->key = g_strdup(key);
    finish->attempt = attempt;
    finish->content_type = g_strdup("");
    return finish;
}

/* See node.h. */
void
ch_once_manager_finish(struct ch_once_manager *manager, const char *caller,
                       const char *key, uint64_t attempt, bool not_run,
                       int status, const char *content_type, const void *body,
                       size_t length, void (*done)(void *data, bool kept),
                       void *data)
{
    pthread_mutex_lock(&manager->lock);
    uint32_t slot_count = manager->slot_count;
    pthread_mutex_unlock(&manager->lock);
    struct finish *finish =
        finish_new(manager, caller, key, attempt,
                   ch_once_slot_for_key(caller, key, slot_count));
    finish->not_run = not_run;
    finish->kept = !not_run && length <= CH_ONCE_MAX_BODY_BYTES;
    finish->status = status;
    if (finish->kept) {
        g_free(finish->content_type);
        finish->content_type =
            g_strdup(content_type == NULL ? "" : content_type);
        finish->body = g_memdup2(body, length);
        finish->length = length;
    }
    finish->done = done;
    finish->data = data;
    finish_send(finish);
}

/* ---- the end of a begin ---- */

/* Releases the key of an attempt that was given up. The attempt will never be
 * dispatched, but the log may have given it the key. */
static void
release_key(struct begin *begin)
{
    struct finish *finish =
        finish_new(begin->manager, begin->caller, begin->key, begin->attempt,
                   begin->slot);
    finish->not_run = true;
    finish_send(finish);
}

/*
 * Ends a begin with its one result; later results are ignored. An attempt that
 * was refused must not be dispatched because of a late reply, as its caller
 * was told that the request did not run.
 */
static void
begin_end(struct begin *begin, struct ch_once_result *answer)
{
    struct ch_once_manager *manager = begin->manager;
    static const enum ch_counter counters[] = {
        [CH_ONCE_CREATED] = CH_COUNT_ONCE_CREATED,
        [CH_ONCE_DONE] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_IN_PROGRESS] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_MISMATCH] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_REFUSED] = CH_COUNT_ONCE_REFUSED,
    };
    pthread_mutex_lock(&manager->lock);
    bool is_first = !begin->finished;
    begin->finished = true;
    uint64_t timer = begin->timer;
    bool may_be_written = begin->may_be_written;
    pthread_mutex_unlock(&manager->lock);
    if (!is_first) {
        return;
    }
    if (timer != 0 && ch_timers_cancel(manager->node->timers, timer)) {
        /* The timer's reference; it is not the last one, as the function's
         * caller has one. */
        (void)g_atomic_int_add(&begin->references, -1);
    }
    count_event(manager, counters[answer->state]);
    answer->attempt = begin->attempt;
    begin->done(begin->data, answer);
    if (answer->state == CH_ONCE_REFUSED && may_be_written) {
        release_key(begin);
    }
}

/* Ends a begin with a state and no response. */
static void
begin_end_state(struct begin *begin, enum ch_once_state state)
{
    struct ch_once_result answer = {.state = state};
    begin_end(begin, &answer);
}

/* The time of an extended timeout, and the longest of a request to a home
 * node. */
static int64_t
get_extension(const struct ch_once_manager *manager)
{
    return (int64_t)SILENT_HOME_EXTENSION * 1000 *
           manager->node->settings->peer_timeout_ms;
}

/* Whether nothing has come from the home node since it was asked. */
static bool
is_home_silent(struct begin *begin)
{
    struct ch_once_manager *manager = begin->manager;
    pthread_mutex_lock(&manager->lock);
    g_autofree char *home = g_strdup(begin->home);
    int64_t asked_at = begin->last_asked_at;
    pthread_mutex_unlock(&manager->lock);
    return home != NULL && ch_peers_get_last_heard(manager->node->peers, home,
                                                   NULL) < asked_at;
}

/*
 * Ends a begin that got no result within BEGIN_TIMEOUT_US. While the home node
 * is silent the begin goes on: the request would be refused although another
 * home node serves it as soon as the silence is noticed.
 */
static void
begin_handle_timeout(void *data)
{
    struct begin *begin = data;
    struct ch_once_manager *manager = begin->manager;
    bool silent = is_home_silent(begin);
    pthread_mutex_lock(&manager->lock);
    bool extend =
        silent && !begin->extended && !begin->finished && !manager->stopped;
    if (extend) {
        begin->extended = true;
        begin->timer =
            ch_timers_add(manager->node->timers, get_extension(manager),
                          begin_handle_timeout, begin);
    }
    pthread_mutex_unlock(&manager->lock);
    if (!extend) {
        begin_end_state(begin, CH_ONCE_REFUSED);
        begin_drop_reference(begin);
    }
}

/* ---- reading the log when the home node's connection was lost ---- */

static void ask_home(struct begin *begin);

/* Ends a begin with the state of a record, with its stored response from the
 * listed batches. */
static void
begin_end_by_record(struct begin *begin, const struct ch_once_record *record,
                    const GArray *batches)
{
    struct ch_once_result answer = {
        .state = ch_once_record_get_state(record, begin->attempt,
                                          begin->fingerprint),
    };
    struct ch_once_batch *batch = NULL;
    for (guint i = 0; answer.state == CH_ONCE_DONE &&
                      record->response_stored && i < batches->len;
         i++) {
        const struct ch_once_batch_entry *listed =
            &g_array_index(batches, struct ch_once_batch_entry, i);
        if (listed->sequence == record->completed_sequence) {
            batch = ch_once_batch_decode(listed->bytes, listed->length, NULL);
        }
    }
    const struct ch_once_event *event =
        batch == NULL ? NULL
                      : ch_once_batch_find_completion(
                            batch, begin->caller, begin->key, record->attempt);
    if (event != NULL && event->response_stored) {
        answer.response_stored = true;
        answer.status = event->status;
        answer.content_type = event->content_type;
        answer.body = event->body;
        answer.body_length = event->body_length;
    }
    begin_end(begin, &answer);
    ch_once_batch_free(batch);
}

/* Handles the slot's log. Without a record, the next home node is asked with
 * the same attempt ID: if the lost home node still writes the record, the
 * record belongs to this attempt all the same. */
static void
handle_log(void *data, enum ch_code code, const struct ch_kv_entry *entries,
           size_t entry_count)
{
    struct begin *begin = data;
    GArray *batches = ch_once_batch_entries_new(entries, entry_count);
    struct ch_once_log *log = ch_once_log_new();
    const struct ch_once_record *record = NULL;
    bool readable =
        code == CH_OK &&
        ch_once_log_load(
            log, (const struct ch_once_batch_entry *)(void *)batches->data,
            batches->len, 0, NULL);
    if (readable) {
        record = ch_once_log_find(log, begin->caller, begin->key);
    }
    if (!readable) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else if (record != NULL) {
        begin_end_by_record(begin, record, batches);
    }
    else {
        ask_home(begin);
    }
    ch_once_log_free(log);
    g_array_free(batches, TRUE);
    begin_drop_reference(begin);
}

static void
read_log(struct begin *begin)
{
    g_autofree char *prefix = ch_once_slot_format_prefix(begin->slot);
    ch_kv_call_list(begin->manager->node, prefix, handle_log,
                    begin_add_reference(begin));
}

/* ---- asking the slot's home node ---- */

/* Ends a begin with the home node's reply. When the key-value store was
 * unreachable on the first attempt, nothing can have been written. */
static void
begin_end_by_reply(struct begin *begin,
                   const Chestnuthitch__Wire__OnceAnswer *reply)
{
    struct ch_once_result answer = {
        .state = CH_ONCE_REFUSED,
        .response_stored = reply->kept,
        .status = (int)reply->status,
        .content_type = reply->content_type,
        .body = reply->body.data,
        .body_length = reply->body.len,
    };
    if (reply->state <= CH_ONCE_REFUSED) {
        answer.state = (enum ch_once_state)reply->state;
    }
    pthread_mutex_lock(&begin->manager->lock);
    if (begin->attempts_made == 1 && reply->code == CH_KV_UNREACHABLE) {
        begin->may_be_written = false;
    }
    pthread_mutex_unlock(&begin->manager->lock);
    begin_end(begin, &answer);
}

/* Continues after LOST_HOME_DELAY_US with the log. */
static void
handle_delay_end(void *data)
{
    struct begin *begin = data;
    if (is_ended(begin)) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else {
        read_log(begin);
    }
    begin_drop_reference(begin);
}

/* The time left before the next home node is asked; see LOST_HOME_DELAY_US. It
 * is 0 for a home node that fell silent, as that took longer already. */
static int64_t
compute_delay(struct begin *begin)
{
    struct ch_once_manager *manager = begin->manager;
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    int64_t delay = begin->last_asked_at + LOST_HOME_DELAY_US - now;
    pthread_mutex_unlock(&manager->lock);
    return MAX(delay, 0);
}

/* Handles the home node's reply, or the loss of its connection. */
static void
handle_home_reply(void *data, enum ch_code code,
                  const Chestnuthitch__Wire__Frame *reply)
{
    struct begin *begin = data;
    if (code == CH_OK && reply != NULL &&
        reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_ANSWER) {
        begin_end_by_reply(begin, reply->once_answer);
    }
    else if (code == CH_PEER_TIMEOUT || is_ended(begin)) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else {
        ch_timers_add(begin->manager->node->timers, compute_delay(begin),
                      handle_delay_end, begin_add_reference(begin));
    }
    begin_drop_reference(begin);
}

/* Asks the slot's current home node to create the record of the key for the
 * attempt. */
static void
ask_home(struct begin *begin)
{
    struct ch_node *node = begin->manager->node;
    Chestnuthitch__Wire__OnceBegin body =
        CHESTNUTHITCH__WIRE__ONCE_BEGIN__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    uint64_t fingerprint = GUINT64_TO_BE(begin->fingerprint);
    pthread_mutex_lock(&begin->manager->lock);
    bool allowed =
        !begin->finished && begin->attempts_made < BEGIN_MAX_ATTEMPTS;
    begin->attempts_made += allowed;
    begin->last_asked_at = ch_client_get_time(node->client);
    begin->may_be_written |= allowed;
    pthread_mutex_unlock(&begin->manager->lock);
    if (!allowed) {
        begin_end_state(begin, CH_ONCE_REFUSED);
        return;
    }
    body.slot = begin->slot;
    body.caller = begin->caller;
    body.key = begin->key;
    body.fingerprint.data = (uint8_t *)&fingerprint;
    body.fingerprint.len = sizeof(fingerprint);
    body.attempt = begin->attempt;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_BEGIN;
    frame.once_begin = &body;
    g_autofree char *home = ch_once_slot_find_home(node, begin->slot);
    pthread_mutex_lock(&begin->manager->lock);
    g_free(begin->home);
    begin->home = g_strdup(home);
    pthread_mutex_unlock(&begin->manager->lock);
    ch_peers_request(node->peers, home, &frame,
                     BEGIN_TIMEOUT_US + get_extension(begin->manager),
                     handle_home_reply, begin_add_reference(begin));
}

/* ---- number of slots ---- */

static void read_slot_count(struct begin *begin);

/* Sets the number of slots and asks the home node. */
static void
set_slot_count(struct begin *begin, uint32_t slot_count)
{
    struct ch_once_manager *manager = begin->manager;
    pthread_mutex_lock(&manager->lock);
    manager->slot_count = slot_count;
    pthread_mutex_unlock(&manager->lock);
    if (slot_count != manager->node->settings->once_slots) {
        ch_log(manager->node->client, CH_LOG_WARNING, "once-slots-differ",
               CH_F_INT("in_use", slot_count),
               CH_F_INT("set", manager->node->settings->once_slots), CH_F_END);
    }
    begin->slot = ch_once_slot_for_key(begin->caller, begin->key, slot_count);
    ask_home(begin);
}

/* Handles the write of the number of slots, which fails with a conflict when
 * another node wrote it first. */
static void
handle_slot_count_write(void *data, const struct ch_kv_result *answer)
{
    struct begin *begin = data;
    if (answer->code == CH_OK) {
        set_slot_count(begin, begin->manager->node->settings->once_slots);
    }
    else if (answer->code == CH_KV_CONFLICT && !is_ended(begin)) {
        read_slot_count(begin);
    }
    else {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    begin_drop_reference(begin);
}

/* Handles the read of the number of slots; the first node of the fleet writes
 * its own setting. */
static void
handle_slot_count(void *data, const struct ch_kv_result *answer)
{
    struct begin *begin = data;
    struct ch_node *node = begin->manager->node;
    guint64 slot_count = 0;
    if (answer->code == CH_KV_MISSING && !is_ended(begin)) {
        char text[16];
        (void)g_snprintf(text, sizeof(text), "%u", node->settings->once_slots);
        ch_kv_call_put(node, SLOTS_KEY, text, strlen(text), 0,
                       handle_slot_count_write, begin_add_reference(begin));
        begin_drop_reference(begin);
        return;
    }
    g_autofree char *text = answer->code == CH_OK
                                ? g_strndup(answer->value, answer->length)
                                : NULL;
    if (text != NULL &&
        g_ascii_string_to_unsigned(text, 10, 1, 65536, &slot_count, NULL)) {
        set_slot_count(begin, (uint32_t)slot_count);
    }
    else {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    begin_drop_reference(begin);
}

/*
 * Reads the number of slots, once in a process's life. Two nodes with
 * different settings would look for one key in two slots and both create its
 * record; so the first node's number is stored, and all nodes use that.
 */
static void
read_slot_count(struct begin *begin)
{
    ch_kv_call_get(begin->manager->node, SLOTS_KEY, handle_slot_count,
                   begin_add_reference(begin));
}

/* ---- interface to the node ---- */

/* Begins an attempt for a caller's key; see node.h. The result comes within
 * BEGIN_TIMEOUT_US, or later if a home node is silent. */
void
ch_once_manager_begin(struct ch_once_manager *manager, const char *caller,
                      const char *key, uint64_t fingerprint,
                      void (*done)(void *data,
                                   const struct ch_once_result *answer),
                      void *data)
{
    struct begin *begin = g_new0(struct begin, 1);
    begin->manager = manager_add_reference(manager);
    begin->references = 2; /* of this function and of the timer */
    begin->caller = g_strdup(caller);
    begin->key = g_strdup(key);
    begin->fingerprint = fingerprint;
    begin->done = done;
    begin->data = data;
    pthread_mutex_lock(&manager->lock);
    uint32_t slot_count = manager->slot_count;
    begin->attempt =
        ch_hash_pair(manager->incarnation_id, ++manager->attempt_count);
    begin->timer = ch_timers_add(manager->node->timers, BEGIN_TIMEOUT_US,
                                 begin_handle_timeout, begin);
    pthread_mutex_unlock(&manager->lock);
    if (slot_count == 0) {
        read_slot_count(begin);
    }
    else {
        begin->slot = ch_once_slot_for_key(caller, key, slot_count);
        ask_home(begin);
    }
    begin_drop_reference(begin);
}

/* Creates a manager and registers its message handlers with the node's peers;
 * node outlives the manager. */
struct ch_once_manager *
ch_once_manager_new(struct ch_node *node)
{
    struct ch_once_manager *manager = g_new0(struct ch_once_manager, 1);
    manager->node = node;
    manager->references = 1;
    manager->incarnation_id =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    manager->waiting_finishes =
        g_hash_table_new(g_direct_hash, g_direct_equal);
    pthread_mutex_init(&manager->lock, NULL);
    manager->home = ch_once_home_new(node);
    return manager;
}

/* Drops finishes that wait for another attempt; calls in progress run to their
 * end. */
void
ch_once_manager_stop(struct ch_once_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    GList *waiting_finishes = g_hash_table_get_keys(manager->waiting_finishes);
    for (GList *at = waiting_finishes; at != NULL;) {
        GList *next = at->next;
        struct finish *finish = at->data;
        if (!ch_timers_cancel(manager->node->timers, finish->timer)) {
            waiting_finishes = g_list_delete_link(waiting_finishes, at);
        }
        at = next;
    }
    pthread_mutex_unlock(&manager->lock);
    for (GList *at = waiting_finishes; at != NULL; at = at->next) {
        finish_free(at->data);
    }
    g_list_free(waiting_finishes);
    ch_once_home_stop(manager->home);
}

/* Drops the node's reference; the peers deliver no messages any more by
 * then. */
void
ch_once_manager_free(struct ch_once_manager *manager)
{
    if (manager != NULL) {
        ch_once_home_unref(manager->home);
        manager_drop_reference(manager);
    }
}
