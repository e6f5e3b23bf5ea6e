/* Slots of at-most-once records on their home node. Connects the state machine
 * of decide/once.h with messages from entry nodes and with calls to the
 * key-value store. */

#include "node/once_home.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* How often expired batches and slots with another home node are looked
     * for. */
    SWEEP_PERIOD_US = 5 * 1000 * 1000,
    /* A slot with another home node is dropped after this idle time. */
    SLOT_IDLE_TIMEOUT_US = 60 * 1000 * 1000,
    /* Upper bound of slot numbers accepted in a message. */
    MAX_SLOTS = 65536,
};

struct ch_once_home {
    struct ch_node *node;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    uint64_t write_id;
    GHashTable *slots;        /* slot number to struct home_slot */
    struct ch_table *waiters; /* struct waiter by handle */
    uint64_t sweep_timer;
};

struct home_slot {
    struct ch_once_home *home;
    uint32_t number;
    struct ch_once_slot *machine;
    int64_t last_used_at;
    int64_t timer_due; /* INT64_MAX: no timer */
    uint64_t timer;
    unsigned pending_calls; /* key-value calls and timers in progress */
};

/* The sender of a message that waits for a reply. */
struct waiter {
    char *to;
    uint64_t id;
    char *caller;
    char *key;
};

/* ---- keys ---- */

/* See once_home.h. */
uint32_t
ch_once_slot_for_key(const char *caller, const char *key, uint32_t slot_count)
{
    return (
        uint32_t)(ch_hash_pair(ch_hash_string(caller), ch_hash_string(key)) %
                  MAX(slot_count, 1));
}

/* See once_home.h. */
char *
ch_once_slot_find_home(struct ch_node *node, uint32_t slot)
{
    return ch_peers_find_home(
        node->peers, ch_hash_pair(ch_hash_string("once"), slot), NULL);
}

/* See once_home.h. */
char *
ch_once_slot_format_prefix(uint32_t slot)
{
    return g_strdup_printf("once/%u/", slot);
}

/* The sequence is padded with zeros so that a list comes in order of
 * sequence. */
char *
ch_once_batch_format_key(uint32_t slot, uint64_t sequence)
{
    return g_strdup_printf("once/%u/%012" G_GUINT64_FORMAT, slot, sequence);
}

/* Orders by sequence; a GCompareFunc. */
static int
compare_listed(const void *a, const void *b)
{
    uint64_t first = ((const struct ch_once_batch_entry *)a)->sequence;
    uint64_t second = ((const struct ch_once_batch_entry *)b)->sequence;
    return first < second ? -1 : first > second;
}

/* See once_home.h. */
GArray *
ch_once_batch_entries_new(const struct ch_kv_entry *entries, size_t count)
{
    GArray *batches =
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
        g_array_append_val(batches, batch);
    }
    g_array_sort(batches, compare_listed);
    return batches;
}

/* ---- ownership ---- */

/* A GDestroyNotify. */
static void
slot_free(void *data)
{
    struct home_slot *slot = data;
    ch_once_slot_free(slot->machine);
    g_free(slot);
}

static void
waiter_free(struct waiter *waiter)
{
    g_free(waiter->to);
    g_free(waiter->caller);
    g_free(waiter->key);
    g_free(waiter);
}

/* Frees a waiter that gets no reply; for ch_table_foreach. */
static void
free_unanswered_waiter(void *item, uint64_t handle, void *data)
{
    (void)handle;
    (void)data;
    waiter_free(item);
}

/* Adds a reference, for a call or timer in progress. */
static struct ch_once_home *
home_add_reference(struct ch_once_home *home)
{
    g_atomic_int_inc(&home->references);
    return home;
}

/* Drops a number of references; frees the home with the last one. */
static void
home_drop_references(struct ch_once_home *home, int count)
{
    if (g_atomic_int_add(&home->references, -count) != count) {
        return;
    }
    ch_table_foreach(home->waiters, free_unanswered_waiter, NULL);
    ch_table_free(home->waiters);
    g_hash_table_destroy(home->slots);
    pthread_mutex_destroy(&home->lock);
    g_free(home);
}

/* Drops a reference; home may be NULL. */
void
ch_once_home_unref(struct ch_once_home *home)
{
    if (home != NULL) {
        home_drop_references(home, 1);
    }
}

/* ---- replies ---- */

/* Sends a reply to a waiter and frees the waiter. */
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

struct stored_call {
    struct ch_once_home *home;
    struct waiter *waiter;
    uint64_t attempt;
};

/* The batch with a stored response was read: replies with the response, or,
 * when the batch can't be read, only with the state "done". */
static void
handle_stored_response(void *data, const struct ch_kv_result *value)
{
    struct stored_call *call = data;
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

/* Sends the reply that the slot's state machine decided on, after reading the
 * stored response if there is one. */
static void
run_reply(struct ch_once_home *home, uint32_t slot,
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
        struct stored_call *call = g_new0(struct stored_call, 1);
        call->home = home_add_reference(home);
        call->waiter = waiter;
        call->attempt = action->completed_by_attempt;
        g_autofree char *key =
            ch_once_batch_format_key(slot, action->completed_sequence);
        ch_kv_call_get(home->node, key, handle_stored_response, call);
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
static void update_timer(struct home_slot *slot);

/* Takes the lock before an event is given to a slot's state machine. */
static void
begin_event(struct home_slot *slot, struct ch_once_actions *actions)
{
    ch_once_actions_init(actions);
    pthread_mutex_lock(&slot->home->lock);
}

/* Releases the lock after an event, then does what the state machine asked
 * for. call_ended: the event is the end of a call or timer of the slot, whose
 * reference to the home is dropped last. */
static void
end_event(struct home_slot *slot, struct ch_once_actions *actions,
          bool call_ended)
{
    struct ch_once_home *home = slot->home;
    update_timer(slot);
    /* Counts as a call during run_actions, so that the sweep does not drop the
     * slot. */
    slot->pending_calls++;
    pthread_mutex_unlock(&home->lock);
    run_actions(slot, actions);
    ch_once_actions_clear(actions);
    pthread_mutex_lock(&home->lock);
    slot->pending_calls -= call_ended ? 2 : 1;
    pthread_mutex_unlock(&home->lock);
    if (call_ended) {
        ch_once_home_unref(home);
    }
}

/* Handles the reply to CH_ONCE_LIST. */
static void
handle_list(void *data, enum ch_code code, const struct ch_kv_entry *entries,
            size_t count)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    GArray *batches = ch_once_batch_entries_new(entries, count);
    begin_event(slot, &actions);
    ch_once_slot_handle_list(
        slot->machine, code,
        (const struct ch_once_batch_entry *)(void *)batches->data,
        batches->len, ch_client_get_time(slot->home->node->client), &actions);
    end_event(slot, &actions, true);
    g_array_free(batches, TRUE);
}

/* Handles the reply to CH_ONCE_PUT. */
static void
handle_put(void *data, const struct ch_kv_result *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    begin_event(slot, &actions);
    ch_once_slot_handle_put(slot->machine, answer->code, answer->revision,
                            ch_client_get_time(slot->home->node->client),
                            &actions);
    end_event(slot, &actions, true);
}

/* Handles the reply to CH_ONCE_GET. */
static void
handle_get(void *data, const struct ch_kv_result *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    begin_event(slot, &actions);
    ch_once_slot_handle_get(slot->machine, answer->code, answer->value,
                            answer->length, answer->revision,
                            ch_client_get_time(slot->home->node->client),
                            &actions);
    end_event(slot, &actions, true);
}

/* Handles the reply to CH_ONCE_REMOVE: the next expired batch may be removed
 * at once. */
static void
handle_remove(void *data, const struct ch_kv_result *answer)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    int64_t now = ch_client_get_time(slot->home->node->client);
    begin_event(slot, &actions);
    ch_once_slot_handle_remove(slot->machine, answer->code, now, &actions);
    ch_once_slot_tick(slot->machine, answer->code == CH_OK, now, &actions);
    end_event(slot, &actions, true);
}

/* Starts a key-value call that the state machine asked for; none after the
 * stop, when the HTTP loop may be gone. A waiting entry node then sees its
 * connection close and reads the log itself. */
static void
run_call(struct home_slot *slot, const struct ch_once_action *action)
{
    struct ch_node *node = slot->home->node;
    g_autofree char *prefix = ch_once_slot_format_prefix(slot->number);
    g_autofree char *key =
        ch_once_batch_format_key(slot->number, action->sequence);
    pthread_mutex_lock(&slot->home->lock);
    bool stopped = slot->home->stopped;
    slot->pending_calls += !stopped;
    pthread_mutex_unlock(&slot->home->lock);
    if (stopped) {
        return;
    }
    home_add_reference(slot->home);
    switch (action->kind) {
    case CH_ONCE_LIST:
        ch_kv_call_list(node, prefix, handle_list, slot);
        return;
    case CH_ONCE_PUT:
        ch_kv_call_put(node, key, action->bytes, strlen(action->bytes), 0,
                       handle_put, slot);
        return;
    case CH_ONCE_REMOVE:
        ch_kv_call_remove(node, key, action->revision, handle_remove, slot);
        return;
    default:
        ch_kv_call_get(node, key, handle_get, slot);
    }
}

/* Runs the actions of the state machine. Lock not held. */
static void
run_actions(struct home_slot *slot, struct ch_once_actions *actions)
{
    for (guint i = 0; i < actions->list->len; i++) {
        const struct ch_once_action *action =
            &g_array_index(actions->list, struct ch_once_action, i);
        if (action->kind == CH_ONCE_REPLY) {
            run_reply(slot->home, slot->number, action);
        }
        else {
            run_call(slot, action);
        }
    }
}

/* ---- a slot's timer ---- */

/* Handles a slot's timer. */
static void
handle_timer(void *data)
{
    struct home_slot *slot = data;
    struct ch_once_actions actions;
    begin_event(slot, &actions);
    slot->timer_due = INT64_MAX;
    slot->timer = 0;
    ch_once_slot_tick(slot->machine, false,
                      ch_client_get_time(slot->home->node->client), &actions);
    end_event(slot, &actions, true);
}

/* Moves the timer forward to when the state machine is due next. Lock held. */
static void
update_timer(struct home_slot *slot)
{
    struct ch_once_home *home = slot->home;
    int64_t due = ch_once_slot_next_due(slot->machine);
    if (due >= slot->timer_due || home->stopped) {
        return;
    }
    bool cancelled =
        slot->timer != 0 && ch_timers_cancel(home->node->timers, slot->timer);
    if (!cancelled) {
        slot->pending_calls++;
        home_add_reference(home);
    }
    slot->timer_due = due;
    slot->timer = ch_timers_add(home->node->timers,
                                due - ch_client_get_time(home->node->client),
                                handle_timer, slot);
}

/* ---- messages ---- */

/* Finds or creates the slot of a number; NULL for a number out of range, or
 * after the stop. Lock held. */
static struct home_slot *
find_slot(struct ch_once_home *home, uint32_t number)
{
    const struct ch_settings *settings = home->node->settings;
    struct home_slot *slot =
        g_hash_table_lookup(home->slots, GUINT_TO_POINTER(number));
    if (slot == NULL && number < MAX_SLOTS && !home->stopped) {
        slot = g_new0(struct home_slot, 1);
        slot->home = home;
        slot->number = number;
        slot->timer_due = INT64_MAX;
        slot->machine = ch_once_slot_new(
            ch_hash_pair(home->write_id, number),
            (int64_t)settings->once_batch_delay_ms * 1000,
            (int64_t)settings->once_retention_s * G_USEC_PER_SEC);
        g_hash_table_insert(home->slots, GUINT_TO_POINTER(number), slot);
    }
    return slot;
}

/* Hands the event (owned) of a message to its slot; the sender gets the
 * reply. */
static void
add_event(struct ch_once_home *home, uint32_t number,
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
    int64_t now = ch_client_get_time(home->node->client);
    slot->last_used_at = now;
    ch_once_actions_init(&actions);
    ch_once_slot_add_event(slot->machine, event,
                           ch_table_add(home->waiters, waiter), now, &actions);
    end_event(slot, &actions, false);
}

/* Handles an entry node's request to create the record of a key. */
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
    add_event(data, begin->slot, event, frame->from, frame->id);
}

/* Handles an entry node's message of how its attempt ended. */
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
    add_event(data, finish->slot, event, frame->from, frame->id);
}

/* ---- sweep ---- */

/* Whether this node is the slot's home node now. */
static bool
is_home(struct ch_once_home *home, uint32_t number)
{
    g_autofree char *name = ch_once_slot_find_home(home->node, number);
    return g_strcmp0(name, home->node->settings->name) == 0;
}

/* The numbers of the slots in memory; an array of uint32_t. */
static GArray *
list_slot_numbers(struct ch_once_home *home)
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

/* Removes expired batches of a slot, or drops a slot whose home node is
 * another by now. */
static void
sweep_slot(struct ch_once_home *home, uint32_t number)
{
    struct ch_once_actions actions;
    bool own = is_home(home, number);
    int64_t now = ch_client_get_time(home->node->client);
    pthread_mutex_lock(&home->lock);
    struct home_slot *slot =
        g_hash_table_lookup(home->slots, GUINT_TO_POINTER(number));
    if (slot == NULL) {
        pthread_mutex_unlock(&home->lock);
        return;
    }
    if (!own && slot->pending_calls == 0 &&
        now - slot->last_used_at > SLOT_IDLE_TIMEOUT_US &&
        ch_once_slot_is_idle(slot->machine)) {
        g_hash_table_remove(home->slots, GUINT_TO_POINTER(number));
        pthread_mutex_unlock(&home->lock);
        return;
    }
    ch_once_actions_init(&actions);
    ch_once_slot_tick(slot->machine, own, now, &actions);
    end_event(slot, &actions, false);
}

/* Sweeps every slot, every SWEEP_PERIOD_US until the stop. */
static void
sweep(void *data)
{
    struct ch_once_home *home = data;
    GArray *numbers = list_slot_numbers(home);
    for (guint i = 0; i < numbers->len; i++) {
        sweep_slot(home, g_array_index(numbers, uint32_t, i));
    }
    g_array_free(numbers, TRUE);
    pthread_mutex_lock(&home->lock);
    bool again = !home->stopped;
    if (again) {
        home->sweep_timer =
            ch_timers_add(home->node->timers, SWEEP_PERIOD_US, sweep, home);
    }
    pthread_mutex_unlock(&home->lock);
    if (!again) {
        ch_once_home_unref(home);
    }
}

/* ---- lifetime ---- */

/* Creates a home without slots and registers its message handlers with the
 * node's peers. */
struct ch_once_home *
ch_once_home_new(struct ch_node *node)
{
    struct ch_once_home *home = g_new0(struct ch_once_home, 1);
    home->node = node;
    home->references = 2; /* of the caller and of the sweep */
    pthread_mutex_init(&home->lock, NULL);
    home->write_id =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    home->slots =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, slot_free);
    home->waiters = ch_table_new();
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_BEGIN,
                         handle_begin, home);
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_ONCE_FINISH,
                         handle_finish, home);
    pthread_mutex_lock(&home->lock);
    home->sweep_timer =
        ch_timers_add(node->timers, SWEEP_PERIOD_US, sweep, home);
    pthread_mutex_unlock(&home->lock);
    return home;
}

/* Cancels the timer of a slot; returns how many references to the home it
 * held. Lock held. */
static int
cancel_slot_timer(struct home_slot *slot)
{
    if (slot->timer == 0 ||
        !ch_timers_cancel(slot->home->node->timers, slot->timer)) {
        return 0;
    }
    slot->timer = 0;
    slot->pending_calls--;
    return 1;
}

/* Cancels the timers; messages and calls in progress still run to their
 * end. */
void
ch_once_home_stop(struct ch_once_home *home)
{
    GHashTableIter iter;
    void *value = NULL;
    int references = 0;
    pthread_mutex_lock(&home->lock);
    home->stopped = true;
    g_hash_table_iter_init(&iter, home->slots);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        references += cancel_slot_timer(value);
    }
    references += ch_timers_cancel(home->node->timers, home->sweep_timer);
    pthread_mutex_unlock(&home->lock);
    home_drop_references(home, references);
}
