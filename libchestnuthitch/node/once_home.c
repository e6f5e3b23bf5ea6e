/* The slots of at-most-once records at their home: frames in, key-value calls
 * out, with decide/once.h between them. */

#include "node/once_home.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Looks for expired batches, and for slots that moved away. */
    SWEEP = 5 * 1000 * 1000,
    /* A slot that another node is home of is forgotten after this. */
    FORGET = 60 * 1000 * 1000,
    /* Slots that a frame may name. */
    MOST_SLOTS = 65536,
};

struct ch_once_home {
    struct ch_node *node;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    uint64_t writer;
    GHashTable *slots;        /* number to struct home_slot */
    struct ch_table *waiters; /* of struct waiter */
    uint64_t sweep_timer;
};

struct home_slot {
    struct ch_once_home *home;
    uint32_t number;
    struct ch_once_slot *machine;
    int64_t used;
    int64_t timer_due; /* INT64_MAX: no timer */
    uint64_t timer;
    unsigned calls; /* key-value calls and timers under way */
};

/* The frame that waits for an answer. */
struct waiter {
    char *to;
    uint64_t id;
    char *caller;
    char *key;
};

/* ---- names ---- */

/* Which slot a caller's key is in: the same on every node. */
uint32_t
ch_once_slot_of(const char *caller, const char *key, uint32_t slots)
{
    return (
        uint32_t)(ch_hash_pair(ch_hash_string(caller), ch_hash_string(key)) %
                  MAX(slots, 1));
}

/* The home of a slot, over all live nodes. */
char *
ch_once_slot_home(struct ch_node *node, uint32_t slot)
{
    return ch_peers_home(node->peers,
                         ch_hash_pair(ch_hash_string("once"), slot), NULL);
}

/* The prefix of a slot's batches. */
char *
ch_once_slot_prefix(uint32_t slot)
{
    return g_strdup_printf("once/%u/", slot);
}

/* The key of a batch; the zeros keep a list in order of sequence. */
char *
ch_once_batch_key(uint32_t slot, uint64_t sequence)
{
    return g_strdup_printf("once/%u/%012" G_GUINT64_FORMAT, slot, sequence);
}

/* Order of sequence. */
static int
compare_listed(const void *a, const void *b)
{
    uint64_t first = ((const struct ch_once_batch_entry *)a)->sequence;
    uint64_t second = ((const struct ch_once_batch_entry *)b)->sequence;
    return first < second ? -1 : first > second;
}

/* The batches of a list, in order; bytes are those of the entries. */
GArray *
ch_once_listed_new(const struct ch_kv_entry *entries, size_t count)
{
    GArray *listed =
        g_array_new(FALSE, TRUE, sizeof(struct ch_once_batch_entry));
    for (size_t i = 0; i < count; i++) {
        const char *number = strrchr(entries[i].key, '/');
        guint64 sequence = 0;
        if (number == NULL ||
            !g_ascii_string_to_unsigned(number + 1, 10, 1, G_MAXUINT64,
                                        &sequence, NULL)) {
            continue;
        }
        const struct ch_once_batch_entry batch = {
            .sequence = sequence,
            .revision = entries[i].revision,
            .bytes = entries[i].value == NULL ? "" : entries[i].value,
            .length = entries[i].length,
        };
        g_array_append_val(listed, batch);
    }
    g_array_sort(listed, compare_listed);
    return listed;
}

/* ---- ownership ---- */

/* Frees a slot; a GDestroyNotify. */
static void
slot_free(void *data)
{
    struct home_slot *slot = data;
    ch_once_slot_free(slot->machine);
    g_free(slot);
}

/* Frees a waiter. */
static void
waiter_free(struct waiter *waiter)
{
    g_free(waiter->to);
    g_free(waiter->caller);
    g_free(waiter->key);
    g_free(waiter);
}

/* Frees a waiter that will get no answer; for ch_table_each. */
static void
waiter_free_each(void *item, uint64_t handle, void *data)
{
    (void)handle;
    (void)data;
    waiter_free(item);
}

/* One more owner: a call or timer under way. */
static struct ch_once_home *
home_ref(struct ch_once_home *home)
{
    g_atomic_int_inc(&home->references);
    return home;
}

/* A number of owners less; the last frees it. */
static void
home_unref_by(struct ch_once_home *home, int owners)
{
    if (g_atomic_int_add(&home->references, -owners) != owners) {
        return;
    }
    ch_table_each(home->waiters, waiter_free_each, NULL);
    ch_table_free(home->waiters);
    g_hash_table_destroy(home->slots);
    pthread_mutex_destroy(&home->lock);
    g_free(home);
}

/* One owner less; NULL is fine. */
void
ch_once_home_unref(struct ch_once_home *home)
{
    if (home != NULL) {
        home_unref_by(home, 1);
    }
}

/* ---- answers ---- */

/* Sends an answer to a waiter and frees it. */
static void
reply(struct ch_once_home *home, struct waiter *waiter,
      Chestnuthitch__Wire__OnceAnswer *answer)
{
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_ANSWER;
    frame.once_answer = answer;
    ch_peers_reply(home->node->peers, waiter->to, waiter->id, &frame);
    waiter_free(waiter);
}

struct kept_call {
    struct ch_once_home *home;
    struct waiter *waiter;
    uint64_t attempt;
};

/* The batch that holds a kept answer was read: the answer goes to the waiter,
 * or just the word that it ran. */
static void
kept_read(void *data, const struct ch_kv_answer *value)
{
    struct kept_call *call = data;
    Chestnuthitch__Wire__OnceAnswer answer =
        CHESTNUTHITCH__WIRE__ONCE_ANSWER__INIT;
    struct ch_once_batch *batch = NULL;
    const struct ch_once_event *event = NULL;
    answer.state = CH_ONCE_DONE;
    if (value->code == CH_OK) {
        batch = ch_once_batch_decode(value->value, value->length, NULL);
    }
    if (batch != NULL) {
        event = ch_once_batch_find_completion(
            batch, call->waiter->caller, call->waiter->key, call->attempt);
    }
    if (event != NULL && event->response_stored) {
        answer.kept = true;
        answer.status = (uint32_t)event->status;
        answer.content_type = event->content_type;
        answer.body.data = event->body;
        answer.body.len = event->body_length;
    }
    reply(call->home, call->waiter, &answer);
    ch_once_batch_free(batch);
    ch_once_home_unref(call->home);
    g_free(call);
}

/* Answers a waiter as the slot's machine says. */
static void
run_answer(struct ch_once_home *home, uint32_t slot,
           const struct ch_once_action *action)
{
    pthread_mutex_lock(&home->lock);
    struct waiter *waiter = ch_table_remove(home->waiters, action->waiter);
    bool stopped = home->stopped;
    pthread_mutex_unlock(&home->lock);
    if (waiter == NULL) {
        return;
    }
    if (action->completed_sequence != 0 && !stopped) {
        struct kept_call *call = g_new0(struct kept_call, 1);
        call->home = home_ref(home);
        call->waiter = waiter;
        call->attempt = action->completed_by_attempt;
        g_autofree char *key =
            ch_once_batch_key(slot, action->completed_sequence);
        ch_kv_call_get(home->node, key, kept_read, call);
        return;
    }
    Chestnuthitch__Wire__OnceAnswer answer =
        CHESTNUTHITCH__WIRE__ONCE_ANSWER__INIT;
    answer.state = action->state;
    answer.code = action->code;
    reply(home, waiter, &answer);
}

/* ---- a slot's key-value calls ---- */

static void run_actions(struct home_slot *slot,
                        struct ch_once_actions *actions);
static void follow_due(struct home_slot *slot);

/* Begins an event for a slot's machine: takes the lock. */
static void
enter(struct home_slot *slot, struct ch_once_actions *actions)
{
    ch_once_actions_init(actions);
    pthread_mutex_lock(&slot->home->lock);
}

/* Ends it: drops the lock, then does what the machine asked for.  ended: a
 * call or timer of the slot is over; its hold on the home goes last. */
static void
leave(struct home_slot *slot, struct ch_once_actions *actions, bool ended)
{
    struct ch_once_home *home = slot->home;
    follow_due(slot);
    /* Held over run_actions, so that the sweep does not forget the slot. */
    slot->calls++;
    pthread_mutex_unlock(&home->lock);
    run_actions(slot, actions);
    ch_once_actions_clear(actions);
    pthread_mutex_lock(&home->lock);
    slot->calls -= ended ? 2 : 1;
    pthread_mutex_unlock(&home->lock);
    if (ended) {
        ch_once_home_unref(home);
    }
}

/* The answer to a LIST. */
static void
listed(void *data, enum ch_code code, const struct ch_kv_entry *entries,
       size_t count)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    GArray *batches = ch_once_listed_new(entries, count);
    enter(slot, &actions);
    ch_once_slot_handle_list(
        slot->machine, code,
        (const struct ch_once_batch_entry *)(void *)batches->data,
        batches->len, ch_client_now(slot->home->node->client), &actions);
    leave(slot, &actions, true);
    g_array_free(batches, TRUE);
}

/* The answer to a PUT. */
static void
written(void *data, const struct ch_kv_answer *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    enter(slot, &actions);
    ch_once_slot_handle_put(slot->machine, answer->code, answer->revision,
                            ch_client_now(slot->home->node->client), &actions);
    leave(slot, &actions, true);
}

/* The answer to a GET. */
static void
got(void *data, const struct ch_kv_answer *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    enter(slot, &actions);
    ch_once_slot_handle_get(slot->machine, answer->code, answer->value,
                            answer->length, answer->revision,
                            ch_client_now(slot->home->node->client), &actions);
    leave(slot, &actions, true);
}

/* The answer to a REMOVE: the next expired batch may go at once. */
static void
removed(void *data, const struct ch_kv_answer *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    int64_t now = ch_client_now(slot->home->node->client);
    enter(slot, &actions);
    ch_once_slot_handle_remove(slot->machine, answer->code, now, &actions);
    ch_once_slot_tick(slot->machine, answer->code == CH_OK, now, &actions);
    leave(slot, &actions, true);
}

/* Begins a call that the machine asked for; none after the stop, when the HTTP
 * loop may be gone.  Who waits is told by the end of the connection, and reads
 * the log. */
static void
run_call(struct home_slot *slot, const struct ch_once_action *action)
{
    struct ch_node *node = slot->home->node;
    g_autofree char *prefix = ch_once_slot_prefix(slot->number);
    g_autofree char *key = ch_once_batch_key(slot->number, action->sequence);
    pthread_mutex_lock(&slot->home->lock);
    bool stopped = slot->home->stopped;
    slot->calls += !stopped;
    pthread_mutex_unlock(&slot->home->lock);
    if (stopped) {
        return;
    }
    home_ref(slot->home);
    switch (action->kind) {
    case CH_ONCE_LIST:
        ch_kv_call_list(node, prefix, listed, slot);
        return;
    case CH_ONCE_PUT:
        ch_kv_call_put(node, key, action->bytes, strlen(action->bytes), 0,
                       written, slot);
        return;
    case CH_ONCE_REMOVE:
        ch_kv_call_remove(node, key, action->revision, removed, slot);
        return;
    default:
        ch_kv_call_get(node, key, got, slot);
    }
}

/* Does what the machine asked for, with no lock held. */
static void
run_actions(struct home_slot *slot, struct ch_once_actions *actions)
{
    for (guint i = 0; i < actions->list->len; i++) {
        const struct ch_once_action *action =
            &g_array_index(actions->list, struct ch_once_action, i);
        if (action->kind == CH_ONCE_REPLY) {
            run_answer(slot->home, slot->number, action);
        }
        else {
            run_call(slot, action);
        }
    }
}

/* ---- a slot's timer ---- */

/* The timer of a slot. */
static void
slot_due(void *data)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    enter(slot, &actions);
    slot->timer_due = INT64_MAX;
    slot->timer = 0;
    ch_once_slot_tick(slot->machine, false,
                      ch_client_now(slot->home->node->client), &actions);
    leave(slot, &actions, true);
}

/* Sets the timer to when the machine is due next.  Lock held. */
static void
follow_due(struct home_slot *slot)
{
    struct ch_once_home *home = slot->home;
    int64_t due = ch_once_slot_next_due(slot->machine);
    if (due >= slot->timer_due || home->stopped) {
        return;
    }
    bool waiting =
        slot->timer != 0 && ch_timers_cancel(home->node->timers, slot->timer);
    if (!waiting) {
        slot->calls++;
        home_ref(home);
    }
    slot->timer_due = due;
    slot->timer = ch_timers_after(home->node->timers,
                                  due - ch_client_now(home->node->client),
                                  slot_due, slot);
}

/* ---- frames ---- */

/* The slot of a number, made if need be; NULL for a number out of range.
 * Lock held. */
static struct home_slot *
find_slot(struct ch_once_home *home, uint32_t number)
{
    const struct ch_settings *settings = home->node->settings;
    struct home_slot *slot =
        g_hash_table_lookup(home->slots, GUINT_TO_POINTER(number));
    if (slot == NULL && number < MOST_SLOTS && !home->stopped) {
        slot = g_new0(struct home_slot, 1);
        slot->home = home;
        slot->number = number;
        slot->timer_due = INT64_MAX;
        slot->machine =
            ch_once_slot_new(ch_hash_pair(home->writer, number),
                             (int64_t)settings->once_gather_ms * 1000,
                             (int64_t)settings->once_keep_s * G_USEC_PER_SEC);
        g_hash_table_insert(home->slots, GUINT_TO_POINTER(number), slot);
    }
    return slot;
}

/* Hands an event (owned) of a frame to its slot; the frame gets the answer. */
static void
take_event(struct ch_once_home *home, uint32_t number,
           struct ch_once_event *event, const char *from, uint64_t id)
{
    struct ch_once_actions actions;
    struct waiter *waiter = g_new0(struct waiter, 1);
    waiter->to = g_strdup(from);
    waiter->id = id;
    waiter->caller = g_strdup(event->caller);
    waiter->key = g_strdup(event->key);
    pthread_mutex_lock(&home->lock);
    struct home_slot *slot = find_slot(home, number);
    if (slot == NULL) {
        pthread_mutex_unlock(&home->lock);
        Chestnuthitch__Wire__OnceAnswer answer =
            CHESTNUTHITCH__WIRE__ONCE_ANSWER__INIT;
        answer.state = CH_ONCE_REFUSED;
        answer.code = CH_KV_UNREACHABLE;
        reply(home, waiter, &answer);
        ch_once_event_free(event);
        return;
    }
    int64_t now = ch_client_now(home->node->client);
    slot->used = now;
    ch_once_actions_init(&actions);
    ch_once_slot_add_event(slot->machine, event,
                           ch_table_add(home->waiters, waiter), now, &actions);
    leave(slot, &actions, false);
}

/* An entry node asks for a key. */
static void
handle_begin(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__OnceBegin *begin = frame->once_begin;
    struct ch_once_event *event = g_new0(struct ch_once_event, 1);
    uint64_t fingerprint = 0;
    if (begin->fingerprint.len == sizeof(fingerprint)) {
        memcpy(&fingerprint, begin->fingerprint.data, sizeof(fingerprint));
    }
    event->kind = CH_ONCE_EVENT_CREATE;
    event->caller = g_strdup(begin->caller);
    event->key = g_strdup(begin->key);
    event->attempt = begin->attempt;
    event->fingerprint = GUINT64_FROM_BE(fingerprint);
    take_event(data, begin->slot, event, frame->from, frame->id);
}

/* An entry node tells how its attempt ended. */
static void
handle_finish(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__OnceFinish *finish = frame->once_finish;
    struct ch_once_event *event = g_new0(struct ch_once_event, 1);
    event->kind =
        finish->not_run ? CH_ONCE_EVENT_RELEASE : CH_ONCE_EVENT_COMPLETE;
    event->caller = g_strdup(finish->caller);
    event->key = g_strdup(finish->key);
    event->attempt = finish->attempt;
    event->response_stored =
        finish->kept && finish->body.len <= CH_ONCE_MAX_BODY_BYTES;
    if (event->response_stored) {
        event->status = (int)MIN(finish->status, 999);
        event->content_type = g_strdup(finish->content_type);
        event->body = g_memdup2(finish->body.data, finish->body.len);
        event->body_length = finish->body.len;
    }
    take_event(data, finish->slot, event, frame->from, frame->id);
}

/* ---- sweep ---- */

/* Whether this node is the slot's home now. */
static bool
is_home(struct ch_once_home *home, uint32_t number)
{
    g_autofree char *name = ch_once_slot_home(home->node, number);
    return g_strcmp0(name, home->node->settings->name) == 0;
}

/* The numbers of the slots that are held; an array of uint32_t. */
static GArray *
slot_numbers(struct ch_once_home *home)
{
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    GHashTableIter iter;
    void *key = NULL;
    pthread_mutex_lock(&home->lock);
    g_hash_table_iter_init(&iter, home->slots);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        uint32_t number = GPOINTER_TO_UINT(key);
        g_array_append_val(numbers, number);
    }
    pthread_mutex_unlock(&home->lock);
    return numbers;
}

/* Drops what expired in a slot, or forgets a slot that moved away. */
static void
sweep_slot(struct ch_once_home *home, uint32_t number)
{
    struct ch_once_actions actions;
    bool own = is_home(home, number);
    int64_t now = ch_client_now(home->node->client);
    pthread_mutex_lock(&home->lock);
    struct home_slot *slot =
        g_hash_table_lookup(home->slots, GUINT_TO_POINTER(number));
    if (slot == NULL) {
        pthread_mutex_unlock(&home->lock);
        return;
    }
    if (!own && slot->calls == 0 && now - slot->used > FORGET &&
        ch_once_slot_is_idle(slot->machine)) {
        g_hash_table_remove(home->slots, GUINT_TO_POINTER(number));
        pthread_mutex_unlock(&home->lock);
        return;
    }
    ch_once_actions_init(&actions);
    ch_once_slot_tick(slot->machine, own, now, &actions);
    leave(slot, &actions, false);
}

/* Sweeps every slot, again and again. */
static void
sweep(void *data)
{
    struct ch_once_home *home = data;
    GArray *numbers = slot_numbers(home);
    for (guint i = 0; i < numbers->len; i++) {
        sweep_slot(home, g_array_index(numbers, uint32_t, i));
    }
    g_array_free(numbers, TRUE);
    pthread_mutex_lock(&home->lock);
    bool again = !home->stopped;
    if (again) {
        home->sweep_timer =
            ch_timers_after(home->node->timers, SWEEP, sweep, home);
    }
    pthread_mutex_unlock(&home->lock);
    if (!again) {
        ch_once_home_unref(home);
    }
}

/* ---- life ---- */

/* A home of no slots yet, registered with the node's peers. */
struct ch_once_home *
ch_once_home_new(struct ch_node *node)
{
    struct ch_once_home *home = g_new0(struct ch_once_home, 1);
    home->node = node;
    home->references = 2; /* the keeper's and the sweep's */
    pthread_mutex_init(&home->lock, NULL);
    home->writer =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    home->slots =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, slot_free);
    home->waiters = ch_table_new();
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_BEGIN,
                    handle_begin, home);
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_FINISH,
                    handle_finish, home);
    pthread_mutex_lock(&home->lock);
    home->sweep_timer = ch_timers_after(node->timers, SWEEP, sweep, home);
    pthread_mutex_unlock(&home->lock);
    return home;
}

/* Ends the timers of a slot.  Lock held; the holds that this gives back are
 * counted. */
static int
stop_slot(struct home_slot *slot)
{
    if (slot->timer == 0 ||
        !ch_timers_cancel(slot->home->node->timers, slot->timer)) {
        return 0;
    }
    slot->timer = 0;
    slot->calls--;
    return 1;
}

/* Ends the timers; frames and calls under way still run out. */
void
ch_once_home_stop(struct ch_once_home *home)
{
    GHashTableIter iter;
    void *value = NULL;
    int holds = 0;
    pthread_mutex_lock(&home->lock);
    home->stopped = true;
    g_hash_table_iter_init(&iter, home->slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        holds += stop_slot(value);
    }
    holds += ch_timers_cancel(home->node->timers, home->sweep_timer);
    pthread_mutex_unlock(&home->lock);
    home_unref_by(home, holds);
}
