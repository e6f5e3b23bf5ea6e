/* Permission for calls to brittle upstreams, and the counts of those upstreams
 * that this node counts. */

#include "slots/slots_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Time for the counting node to answer, some round trips between regions,
     * beside the time that the call may wait for a slot. */
    ASK_TIMEOUT_US = 300 * 1000,
    /* The counting node did not answer: by then another one counts. */
    UNAVAILABLE_RETRY_AFTER_US = 1000 * 1000,
    /* While calls wait, their time limits are looked at this often. */
    POLL_US = 20 * 1000,
};

/* A call that asks for permission. */
struct ask {
    struct ch_slots *slots;
    GQuark upstream;
    uint32_t tokens;
    int64_t expires_at; /* a permission that comes later is not used */
    bool granted;
    int64_t retry_after;
    void (*done)(void *data, bool granted, int64_t retry_after);
    void *data;
};

/* Reports the result and frees the ask; on a pool worker. */
static void
end_ask(void *data)
{
    struct ask *ask = data;
    slots_count_event(ask->slots, ask->granted ? CH_COUNT_SLOTS_GRANTED
                                               : CH_COUNT_SLOTS_REFUSED);
    ask->done(ask->data, ask->granted, ask->retry_after);
    g_free(ask);
}

/* Takes over the result of an ask of this node. Lock held. */
static void
record_result(struct ask *ask, uint64_t epoch, uint64_t grant,
              int64_t retry_after)
{
    ask->granted = grant != 0;
    ask->retry_after = retry_after;
    if (ask->granted) {
        struct ch_slots_account *account =
            &slots_find_or_add(ask->slots, ask->upstream)->account;
        ch_slots_account_begin(account, ask->tokens);
        ch_slots_account_note_grant(account, epoch, grant,
                                    ch_client_get_time(ask->slots->client));
    }
}

/* ---- counters ---- */

/* Looks at the calls that wait, until none does. */
static void
poll_waiting(void *data)
{
    struct ch_slots *slots = data;
    GHashTableIter iterator;
    gpointer value = NULL;
    GArray *names = g_array_new(FALSE, FALSE, sizeof(GQuark));
    pthread_mutex_lock(&slots->lock);
    slots->is_polling = false;
    g_hash_table_iter_init(&iterator, slots->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct slots_upstream *upstream = value;
        if (upstream->counter != NULL &&
            ch_slots_counter_count_waiting(upstream->counter) > 0) {
            g_array_append_val(names, upstream->info.name);
        }
    }
    pthread_mutex_unlock(&slots->lock);
    for (guint i = 0; i < names->len; i++) {
        GQuark name = g_array_index(names, GQuark, i);
        GArray *results =
            g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
        pthread_mutex_lock(&slots->lock);
        slots_run_counter(slots, slots_find_or_add(slots, name),
                          ch_client_get_time(slots->client), results);
        pthread_mutex_unlock(&slots->lock);
        slots_deliver(slots, name, results);
    }
    g_array_free(names, TRUE);
}

/* Lock held. */
static void
start_polling(struct ch_slots *slots)
{
    if (!slots->is_polling && !slots->stopped) {
        slots->is_polling = true;
        ch_timers_add(slots->timers, POLL_US, poll_waiting, slots);
    }
}

/* See slots_internal.h. */
void
slots_open_counter(struct ch_slots *slots, struct slots_upstream *upstream,
                   int64_t now)
{
    if (upstream->counter == NULL && slots_is_brittle(slots, upstream, now)) {
        upstream->counter =
            ch_slots_counter_new(MAX((uint64_t)g_get_real_time(), 1), now);
        upstream->members = 0;
        upstream->announced_at = 0;
    }
}

/* See slots_internal.h. */
void
slots_run_counter(struct ch_slots *slots, struct slots_upstream *upstream,
                  int64_t now, GArray *results)
{
    if (!slots_is_brittle(slots, upstream, now)) {
        slots_close_counter(upstream, true, now, results);
        return;
    }
    slots_open_counter(slots, upstream, now);
    const struct ch_slots_holding own =
        ch_slots_account_get(&upstream->account, now);
    ch_slots_counter_hear(upstream->counter, slots->self, &own, now);
    const struct ch_slots_room room = ch_slots_get_room(
        upstream->info.slots, upstream->info.tokens, upstream->members,
        slots->peers.count_listed(slots->peers.data));
    ch_slots_counter_run(upstream->counter, &room, now, results);
    if (ch_slots_counter_count_waiting(upstream->counter) > 0) {
        start_polling(slots);
    }
}

/* See slots_internal.h. */
void
slots_close_counter(struct slots_upstream *upstream, bool granted, int64_t now,
                    GArray *results)
{
    if (upstream->counter == NULL) {
        return;
    }
    ch_slots_counter_end(upstream->counter, granted, now, results);
    ch_slots_counter_free(upstream->counter);
    upstream->counter = NULL;
}

/* Replies to a node that asked. */
static void
send_result(const struct ch_slots *slots, uint64_t epoch,
            Chestnuthitch__Wire__SlotState *state,
            const struct ch_slots_result *result)
{
    Chestnuthitch__Wire__SlotPermission slot = WIRE(SLOT_PERMISSION__INIT);
    Chestnuthitch__Wire__LimitPermission body = WIRE(LIMIT_PERMISSION__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    slot.grant = result->grant;
    slot.epoch = epoch;
    slot.state = state;
    slot.retry_after_ms = (uint32_t)((result->retry_after + 999) / 1000);
    body.slot = &slot;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_PERMISSION);
    frame.limit_permission = &body;
    slots->peers.reply(slots->peers.data, g_quark_to_string(result->node),
                       result->ticket, &frame);
}

/* See slots_internal.h. */
void
slots_deliver(struct ch_slots *slots, GQuark name, GArray *results)
{
    slots_update_members(slots, name);
    if (results->len == 0) {
        g_array_free(results, TRUE);
        return;
    }
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    Chestnuthitch__Wire__SlotState state =
        slots_write_state(slots, upstream, ch_client_get_time(slots->client));
    uint64_t epoch = upstream->counter == NULL
                         ? 0
                         : ch_slots_counter_get_epoch(upstream->counter);
    pthread_mutex_unlock(&slots->lock);
    for (guint i = 0; i < results->len; i++) {
        const struct ch_slots_result *result =
            &g_array_index(results, struct ch_slots_result, i);
        if (result->node != slots->self) {
            send_result(slots, epoch, &state, result);
            continue;
        }
        struct ask *ask = (struct ask *)(uintptr_t)result->ticket;
        pthread_mutex_lock(&slots->lock);
        record_result(ask, epoch, result->grant, result->retry_after);
        pthread_mutex_unlock(&slots->lock);
        ch_pool_submit(slots->pool, end_ask, ask);
    }
    g_array_free(results, TRUE);
}

/* ---- calls that ask ---- */

/* See slots.h. */
void
ch_slots_handle_ask(struct ch_slots *slots,
                    const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__SlotAsk *ask = frame->limit_take->slot;
    int64_t now = ch_client_get_time(slots->client);
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    GQuark name = 0;
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream =
        ask->state == NULL
            ? NULL
            : slots_read_state(slots, ask->state, frame->from, now, NULL);
    if (upstream != NULL) {
        name = upstream->info.name;
        slots_open_counter(slots, upstream, now);
    }
    if (upstream != NULL && upstream->counter != NULL) {
        slots_hear(upstream, ask->state, frame->from, now);
        ch_slots_counter_ask(upstream->counter,
                             g_quark_from_string(frame->from), frame->id,
                             ask->tokens, now + (int64_t)ask->wait_ms * 1000);
        slots_run_counter(slots, upstream, now, results);
    }
    else {
        /* This node does not know the upstream as brittle. */
        const struct ch_slots_result result = {
            g_quark_from_string(frame->from), frame->id, 1, 0};
        g_array_append_val(results, result);
    }
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, name, results);
}

/* Whether this node itself knows that the upstream is brittle. Lock held. */
static bool
is_known_brittle(const struct ask *ask)
{
    return slots_is_brittle(ask->slots,
                            slots_find_or_add(ask->slots, ask->upstream),
                            ch_client_get_time(ask->slots->client));
}

/* Handles the counting node's reply, or that none came in time. */
static void
handle_permission(void *data, enum ch_code code,
                  const Chestnuthitch__Wire__Frame *reply)
{
    struct ask *ask = data;
    bool has_reply = code == CH_OK && reply != NULL &&
                     reply->body_case == WIRE(FRAME__BODY_LIMIT_PERMISSION) &&
                     reply->limit_permission->slot != NULL &&
                     ch_client_get_time(ask->slots->client) < ask->expires_at;
    pthread_mutex_lock(&ask->slots->lock);
    if (has_reply) {
        const Chestnuthitch__Wire__SlotPermission *permission =
            reply->limit_permission->slot;
        record_result(ask, permission->epoch, permission->grant,
                      (int64_t)permission->retry_after_ms * 1000);
        if (permission->state != NULL) {
            slots_read_state(ask->slots, permission->state, reply->from,
                             ch_client_get_time(ask->slots->client), NULL);
        }
    }
    else {
        record_result(ask, 0, is_known_brittle(ask) ? 0 : 1,
                      UNAVAILABLE_RETRY_AFTER_US);
    }
    pthread_mutex_unlock(&ask->slots->lock);
    end_ask(ask);
}

/* Asks the node that counts. */
static void
send_ask(struct ask *ask, const char *counter, int64_t wait)
{
    struct ch_slots *slots = ask->slots;
    int64_t now = ch_client_get_time(slots->client);
    Chestnuthitch__Wire__SlotAsk slot = WIRE(SLOT_ASK__INIT);
    Chestnuthitch__Wire__LimitTake body = WIRE(LIMIT_TAKE__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    pthread_mutex_lock(&slots->lock);
    Chestnuthitch__Wire__SlotState state =
        slots_write_state(slots, slots_find_or_add(slots, ask->upstream), now);
    pthread_mutex_unlock(&slots->lock);
    slot.state = &state;
    slot.tokens = ask->tokens;
    slot.wait_ms = (uint32_t)(wait / 1000);
    body.slot = &slot;
    ask->expires_at = now + ASK_TIMEOUT_US + wait;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_TAKE);
    frame.limit_take = &body;
    slots->peers.request(slots->peers.data, counter, &frame,
                         ASK_TIMEOUT_US + wait, handle_permission, ask);
}

/* Asks this node's own count. */
static void
ask_here(struct ask *ask, int64_t wait)
{
    struct ch_slots *slots = ask->slots;
    GQuark name = ask->upstream;
    int64_t now = ch_client_get_time(slots->client);
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    slots_open_counter(slots, upstream, now);
    if (upstream->counter != NULL) {
        ch_slots_counter_ask(upstream->counter, slots->self,
                             (uint64_t)(uintptr_t)ask, ask->tokens,
                             now + wait);
        slots_run_counter(slots, upstream, now, results);
    }
    else {
        const struct ch_slots_result result = {slots->self,
                                               (uint64_t)(uintptr_t)ask, 1, 0};
        g_array_append_val(results, result);
    }
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, name, results);
}

/* See slots.h. */
void
ch_slots_ask(struct ch_slots *slots, GQuark name, uint32_t tokens,
             int64_t wait,
             void (*done)(void *data, bool granted, int64_t retry_after),
             void *data)
{
    struct ask *ask = g_new0(struct ask, 1);
    *ask = (struct ask){
        .slots = slots,
        .upstream = name,
        .tokens = tokens,
        .done = done,
        .data = data,
    };
    wait = MAX(wait, 0);
    pthread_mutex_lock(&slots->lock);
    GQuark region = slots_find_or_add(slots, name)->info.region;
    pthread_mutex_unlock(&slots->lock);
    g_autofree char *counter =
        slots->peers.find_counter(slots->peers.data, name, region);
    slots_change_counter(slots, name, counter);
    if (strcmp(counter, slots->peers.self) == 0) {
        ask_here(ask, wait);
    }
    else {
        send_ask(ask, counter, wait);
    }
}
