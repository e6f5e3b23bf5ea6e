/*
 * At most once, at the entry node: one attempt for each request with a key.
 *
 * The slot's home is asked to create the key; when it is lost on the way, the
 * log itself is read.  An attempt is told to be CREATED on evidence that the
 * log gives it the key, or it is given up, and never both: what comes after
 * the end is dropped, and what it may have created is released.
 */

#include "node/once_home.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

#define SLOTS_KEY "once/slots"

enum {
    /*
     * A caller hears of an outage in less than a second.  A create takes two
     * calls in turn, of some milliseconds in the region and 60 ms between
     * regions.
     */
    BEGIN_LIMIT = 900 * 1000,
    /* Homes that are asked in turn when one is lost. */
    BEGIN_TRIES = 3,
    /*
     * Before the next one is asked.  A home whose process was killed refuses
     * connections at once, and is still named as home for the moment that the
     * membership takes to learn of it: without the pause all tries went to it
     * within twenty milliseconds, and the caller was refused though another
     * home would have served it a moment later.
     */
    LOST_PAUSE = 60 * 1000,
    FINISH_LIMIT = 1000 * 1000,
    /* An answer is offered this often: 1, 2, 4, 8 s apart. */
    FINISH_TRIES = 5,
};

struct ch_once_keeper {
    struct ch_node *node;
    struct ch_once_home *home;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    uint32_t slots; /* as all nodes agreed; 0: not known yet */
    uint64_t attempts;
    uint64_t sender;
    GHashTable *waiting; /* of struct finish with a timer */
};

struct begin {
    struct ch_once_keeper *keeper;
    int references;
    char *caller;
    char *key;
    uint64_t fingerprint;
    uint64_t attempt;
    uint32_t slot;
    unsigned tries;
    int64_t asked; /* when the home of the latest try was */
    bool in_doubt; /* the attempt may have been written */
    bool finished;
    uint64_t timer;
    void (*done)(void *data, const struct ch_once_answer *answer);
    void *data;
};

struct finish {
    struct ch_once_keeper *keeper;
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
    unsigned tries;
    uint64_t timer;
    void (*done)(void *data, bool kept);
    void *data;
};

/* ---- ownership ---- */

/* One more owner: a call or timer under way. */
static struct ch_once_keeper *
keeper_ref(struct ch_once_keeper *keeper)
{
    g_atomic_int_inc(&keeper->references);
    return keeper;
}

/* One owner less; the last frees it. */
static void
keeper_unref(struct ch_once_keeper *keeper)
{
    if (!g_atomic_int_dec_and_test(&keeper->references)) {
        return;
    }
    g_hash_table_destroy(keeper->waiting);
    pthread_mutex_destroy(&keeper->lock);
    g_free(keeper);
}

/* One more holder of a begin: a call or its timer. */
static struct begin *
begin_ref(struct begin *begin)
{
    g_atomic_int_inc(&begin->references);
    return begin;
}

/* One holder less; the last frees it. */
static void
begin_unref(struct begin *begin)
{
    if (!g_atomic_int_dec_and_test(&begin->references)) {
        return;
    }
    keeper_unref(begin->keeper);
    g_free(begin->caller);
    g_free(begin->key);
    g_free(begin);
}

/* True when the begin has ended, or the keeper was stopped. */
static bool
is_over(const struct begin *begin)
{
    pthread_mutex_lock(&begin->keeper->lock);
    bool over = begin->finished || begin->keeper->stopped;
    pthread_mutex_unlock(&begin->keeper->lock);
    return over;
}

/* Counts by a counter, if there are counters. */
static void
count(struct ch_once_keeper *keeper, enum ch_counter counter)
{
    if (keeper->node->client->metrics != NULL) {
        ch_metrics_count(keeper->node->client->metrics, counter, 1);
    }
}

/* ---- the end of an attempt ---- */

/* Frees a finish and lets its keeper go. */
static void
finish_free(struct finish *finish)
{
    keeper_unref(finish->keeper);
    g_free(finish->caller);
    g_free(finish->key);
    g_free(finish->content_type);
    g_free(finish->body);
    g_free(finish);
}

/* Tells the owner once whether the answer is kept. */
static void
finish_tell(struct finish *finish, bool kept)
{
    if (finish->done != NULL) {
        finish->done(finish->data, kept);
        finish->done = NULL;
    }
}

static void finish_send(void *data);

/* Tries again later; false when there were enough tries. */
static bool
finish_again(struct finish *finish)
{
    struct ch_once_keeper *keeper = finish->keeper;
    int64_t delay = (int64_t)G_USEC_PER_SEC << finish->tries;
    pthread_mutex_lock(&keeper->lock);
    bool again = ++finish->tries < FINISH_TRIES && !keeper->stopped;
    if (again) {
        g_hash_table_add(keeper->waiting, finish);
        finish->timer =
            ch_timers_after(keeper->node->timers, delay, finish_send, finish);
    }
    pthread_mutex_unlock(&keeper->lock);
    return again;
}

/* The home's answer to a finish.  Without one, or while the service is away,
 * it is sent again: the log takes a completion of an attempt once. */
static void
finish_answered(void *data, enum ch_code code,
                const Chestnuthitch__Wire__Frame *reply)
{
    struct finish *finish = data;
    bool answered =
        code == CH_OK && reply != NULL &&
        reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_ANSWER;
    bool kept = answered && reply->once_answer->state == CH_ONCE_DONE;
    bool final = kept || (answered && reply->once_answer->code == CH_OK);
    finish_tell(finish, kept);
    if (final || !finish_again(finish)) {
        finish_free(finish);
    }
}

/* Sends a finish to the slot's home of now. */
static void
finish_send(void *data)
{
    struct finish *finish = data;
    struct ch_node *node = finish->keeper->node;
    Chestnuthitch__Wire__OnceFinish body =
        CHESTNUTHITCH__WIRE__ONCE_FINISH__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pthread_mutex_lock(&finish->keeper->lock);
    g_hash_table_remove(finish->keeper->waiting, finish);
    pthread_mutex_unlock(&finish->keeper->lock);
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
    g_autofree char *home = ch_once_slot_home(node, finish->slot);
    ch_peers_request(node->peers, home, &frame, FINISH_LIMIT, finish_answered,
                     finish);
}

/* A finish without an answer to keep. */
static struct finish *
finish_new(struct ch_once_keeper *keeper, const char *caller, const char *key,
           uint64_t attempt, uint32_t slot)
{
    struct finish *finish = g_new0(struct finish, 1);
    finish->keeper = keeper_ref(keeper);
    finish->slot = slot;
    finish->caller = g_strdup(caller);
    finish->key = g_strdup(key);
    finish->attempt = attempt;
    finish->content_type = g_strdup("");
    return finish;
}

/* Tells how an attempt ended; see node.h. */
void
ch_once_keeper_finish(struct ch_once_keeper *keeper, const char *caller,
                      const char *key, uint64_t attempt, bool not_run,
                      int status, const char *content_type, const void *body,
                      size_t length, void (*done)(void *data, bool kept),
                      void *data)
{
    pthread_mutex_lock(&keeper->lock);
    uint32_t slots = keeper->slots;
    pthread_mutex_unlock(&keeper->lock);
    struct finish *finish = finish_new(keeper, caller, key, attempt,
                                       ch_once_slot_of(caller, key, slots));
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

/* Frees the key for others after an attempt that was given up: it will never
 * be dispatched, and the log may say that it has the key. */
static void
release(struct begin *begin)
{
    struct finish *finish = finish_new(
        begin->keeper, begin->caller, begin->key, begin->attempt, begin->slot);
    finish->not_run = true;
    finish_send(finish);
}

/*
 * Gives the one answer of a begin.  Whoever comes later comes in vain: an
 * attempt that was refused is not dispatched by an answer that was late, as
 * its caller was told that it was not run.
 */
static void
begin_end(struct begin *begin, struct ch_once_answer *answer)
{
    struct ch_once_keeper *keeper = begin->keeper;
    static const enum ch_counter counters[] = {
        [CH_ONCE_CREATED] = CH_COUNT_ONCE_CREATED,
        [CH_ONCE_DONE] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_IN_PROGRESS] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_MISMATCH] = CH_COUNT_ONCE_REPEATED,
        [CH_ONCE_REFUSED] = CH_COUNT_ONCE_REFUSED,
    };
    pthread_mutex_lock(&keeper->lock);
    bool first = !begin->finished;
    begin->finished = true;
    uint64_t timer = begin->timer;
    bool in_doubt = begin->in_doubt;
    pthread_mutex_unlock(&keeper->lock);
    if (!first) {
        return;
    }
    if (timer != 0 && ch_timers_cancel(keeper->node->timers, timer)) {
        /* The timer's hold; never the last, as the caller has one. */
        (void)g_atomic_int_add(&begin->references, -1);
    }
    count(keeper, counters[answer->state]);
    answer->attempt = begin->attempt;
    begin->done(begin->data, answer);
    if (answer->state == CH_ONCE_REFUSED && in_doubt) {
        release(begin);
    }
}

/* Ends a begin with a state alone. */
static void
begin_end_state(struct begin *begin, enum ch_once_state state)
{
    struct ch_once_answer answer = {.state = state};
    begin_end(begin, &answer);
}

/* The limit has passed. */
static void
begin_late(void *data)
{
    struct begin *begin = data;
    begin_end_state(begin, CH_ONCE_REFUSED);
    begin_unref(begin);
}

/* ---- reading the log when the home was lost ---- */

static void ask_home(struct begin *begin);

/* Answers a begin by a record, with the kept answer out of the list. */
static void
end_by_record(struct begin *begin, const struct ch_once_record *record,
              const GArray *batches)
{
    struct ch_once_answer answer = {
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
        answer.kept = true;
        answer.status = event->status;
        answer.content_type = event->content_type;
        answer.body = event->body;
        answer.length = event->body_length;
    }
    begin_end(begin, &answer);
    ch_once_batch_free(batch);
}

/* The slot's log was read.  Without a record the next home is asked under the
 * same attempt: if the lost one writes it yet, it is this attempt's all the
 * same. */
static void
log_read(void *data, enum ch_code code, const struct ch_kv_entry *entries,
         size_t entry_count)
{
    struct begin *begin = data;
    GArray *batches = ch_once_listed_new(entries, entry_count);
    struct ch_once_log *log = ch_once_log_new();
    const struct ch_once_record *record = NULL;
    bool known =
        code == CH_OK &&
        ch_once_log_load(
            log, (const struct ch_once_batch_entry *)(void *)batches->data,
            batches->len, 0, NULL);
    if (known) {
        record = ch_once_log_find(log, begin->caller, begin->key);
    }
    if (!known) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else if (record != NULL) {
        end_by_record(begin, record, batches);
    }
    else {
        ask_home(begin);
    }
    ch_once_log_free(log);
    g_array_free(batches, TRUE);
    begin_unref(begin);
}

/* Reads the slot's log. */
static void
read_log(struct begin *begin)
{
    g_autofree char *prefix = ch_once_slot_prefix(begin->slot);
    ch_kv_call_list(begin->keeper->node, prefix, log_read, begin_ref(begin));
}

/* ---- asking the slot's home ---- */

/* Gives the home's answer to the owner. */
static void
end_by_answer(struct begin *begin,
              const Chestnuthitch__Wire__OnceAnswer *reply)
{
    struct ch_once_answer answer = {
        .state = CH_ONCE_REFUSED,
        .kept = reply->kept,
        .status = (int)reply->status,
        .content_type = reply->content_type,
        .body = reply->body.data,
        .length = reply->body.len,
    };
    if (reply->state <= CH_ONCE_REFUSED) {
        answer.state = (enum ch_once_state)reply->state;
    }
    pthread_mutex_lock(&begin->keeper->lock);
    if (begin->tries == 1 && reply->code == CH_KV_UNREACHABLE) {
        begin->in_doubt = false;
    }
    pthread_mutex_unlock(&begin->keeper->lock);
    begin_end(begin, &answer);
}

/* The pause after a lost home is over. */
static void
pause_over(void *data)
{
    struct begin *begin = data;
    if (is_over(begin)) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else {
        read_log(begin);
    }
    begin_unref(begin);
}

/* How long to wait before the next home is asked; see LOST_PAUSE.  A home that
 * fell silent was lost for longer than that already. */
static int64_t
pause_left(struct begin *begin)
{
    struct ch_once_keeper *keeper = begin->keeper;
    int64_t now = ch_client_now(keeper->node->client);
    pthread_mutex_lock(&keeper->lock);
    int64_t left = begin->asked + LOST_PAUSE - now;
    pthread_mutex_unlock(&keeper->lock);
    return MAX(left, 0);
}

/* The home answered, or was lost. */
static void
home_answered(void *data, enum ch_code code,
              const Chestnuthitch__Wire__Frame *reply)
{
    struct begin *begin = data;
    if (code == CH_OK && reply != NULL &&
        reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_ANSWER) {
        end_by_answer(begin, reply->once_answer);
    }
    else if (code == CH_PEER_TIMEOUT || is_over(begin)) {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    else {
        ch_timers_after(begin->keeper->node->timers, pause_left(begin),
                        pause_over, begin_ref(begin));
    }
    begin_unref(begin);
}

/* Asks the slot's home of now to create the key for the attempt. */
static void
ask_home(struct begin *begin)
{
    struct ch_node *node = begin->keeper->node;
    Chestnuthitch__Wire__OnceBegin body =
        CHESTNUTHITCH__WIRE__ONCE_BEGIN__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    uint64_t fingerprint = GUINT64_TO_BE(begin->fingerprint);
    pthread_mutex_lock(&begin->keeper->lock);
    bool go = !begin->finished && begin->tries < BEGIN_TRIES;
    begin->tries += go;
    begin->asked = ch_client_now(node->client);
    begin->in_doubt |= go;
    pthread_mutex_unlock(&begin->keeper->lock);
    if (!go) {
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
    g_autofree char *home = ch_once_slot_home(node, begin->slot);
    ch_peers_request(node->peers, home, &frame, BEGIN_LIMIT, home_answered,
                     begin_ref(begin));
}

/* ---- how many slots there are ---- */

static void read_slots(struct begin *begin);

/* Takes the number of slots into use and asks the home. */
static void
take_slots(struct begin *begin, uint32_t slots)
{
    struct ch_once_keeper *keeper = begin->keeper;
    pthread_mutex_lock(&keeper->lock);
    keeper->slots = slots;
    pthread_mutex_unlock(&keeper->lock);
    if (slots != keeper->node->settings->once_slots) {
        ch_log(keeper->node->client, CH_LOG_WARNING, "once-slots-differ",
               CH_F_INT("in_use", slots),
               CH_F_INT("set", keeper->node->settings->once_slots), CH_F_END);
    }
    begin->slot = ch_once_slot_of(begin->caller, begin->key, slots);
    ask_home(begin);
}

/* The number was written, or another node's was there first. */
static void
slots_written(void *data, const struct ch_kv_answer *answer)
{
    struct begin *begin = data;
    if (answer->code == CH_OK) {
        take_slots(begin, begin->keeper->node->settings->once_slots);
    }
    else if (answer->code == CH_KV_CONFLICT && !is_over(begin)) {
        read_slots(begin);
    }
    else {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    begin_unref(begin);
}

/* The number was read; the first node of all writes its own. */
static void
slots_read(void *data, const struct ch_kv_answer *answer)
{
    struct begin *begin = data;
    struct ch_node *node = begin->keeper->node;
    guint64 slots = 0;
    if (answer->code == CH_KV_MISSING && !is_over(begin)) {
        char text[16];
        (void)g_snprintf(text, sizeof(text), "%u", node->settings->once_slots);
        ch_kv_call_put(node, SLOTS_KEY, text, strlen(text), 0, slots_written,
                       begin_ref(begin));
        begin_unref(begin);
        return;
    }
    g_autofree char *text = answer->code == CH_OK
                                ? g_strndup(answer->value, answer->length)
                                : NULL;
    if (text != NULL &&
        g_ascii_string_to_unsigned(text, 10, 1, 65536, &slots, NULL)) {
        take_slots(begin, (uint32_t)slots);
    }
    else {
        begin_end_state(begin, CH_ONCE_REFUSED);
    }
    begin_unref(begin);
}

/*
 * Reads how many slots there are, once in a process's life.  Two nodes whose
 * settings differ would look for one key in two slots and both create it; so
 * the first node's number is kept, and all use that.
 */
static void
read_slots(struct begin *begin)
{
    ch_kv_call_get(begin->keeper->node, SLOTS_KEY, slots_read,
                   begin_ref(begin));
}

/* ---- what the node calls ---- */

/* Begins an attempt for a caller's key; see node.h.  The answer comes within
 * a second. */
void
ch_once_keeper_begin(struct ch_once_keeper *keeper, const char *caller,
                     const char *key, uint64_t fingerprint,
                     void (*done)(void *data,
                                  const struct ch_once_answer *answer),
                     void *data)
{
    struct begin *begin = g_new0(struct begin, 1);
    begin->keeper = keeper_ref(keeper);
    begin->references = 2; /* this function's and the timer's */
    begin->caller = g_strdup(caller);
    begin->key = g_strdup(key);
    begin->fingerprint = fingerprint;
    begin->done = done;
    begin->data = data;
    pthread_mutex_lock(&keeper->lock);
    uint32_t slots = keeper->slots;
    begin->attempt = ch_hash_pair(keeper->sender, ++keeper->attempts);
    begin->timer =
        ch_timers_after(keeper->node->timers, BEGIN_LIMIT, begin_late, begin);
    pthread_mutex_unlock(&keeper->lock);
    if (slots == 0) {
        read_slots(begin);
    }
    else {
        begin->slot = ch_once_slot_of(caller, key, slots);
        ask_home(begin);
    }
    begin_unref(begin);
}

/* A keeper, registered with the node's peers; node outlives it. */
struct ch_once_keeper *
ch_once_keeper_new(struct ch_node *node)
{
    struct ch_once_keeper *keeper = g_new0(struct ch_once_keeper, 1);
    keeper->node = node;
    keeper->references = 1;
    keeper->sender =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    keeper->waiting = g_hash_table_new(g_direct_hash, g_direct_equal);
    pthread_mutex_init(&keeper->lock, NULL);
    keeper->home = ch_once_home_new(node);
    return keeper;
}

/* Gives up what waits for another try; calls under way run out. */
void
ch_once_keeper_stop(struct ch_once_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    keeper->stopped = true;
    GList *waiting = g_hash_table_get_keys(keeper->waiting);
    for (GList *at = waiting; at != NULL;) {
        GList *next = at->next;
        struct finish *finish = at->data;
        if (!ch_timers_cancel(keeper->node->timers, finish->timer)) {
            waiting = g_list_delete_link(waiting, at);
        }
        at = next;
    }
    pthread_mutex_unlock(&keeper->lock);
    for (GList *at = waiting; at != NULL; at = at->next) {
        finish_free(at->data);
    }
    g_list_free(waiting);
    ch_once_home_stop(keeper->home);
}

/* Drops the node's hold; the peers hand over no frames by then. */
void
ch_once_keeper_free(struct ch_once_keeper *keeper)
{
    if (keeper != NULL) {
        ch_once_home_unref(keeper->home);
        keeper_unref(keeper);
    }
}
