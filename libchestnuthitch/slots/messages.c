/* What nodes tell each other of brittle upstreams and of their calls there. */

#include "slots/slots_internal.h"

#include <math.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A counter's members are counted, and the other live nodes asked to
     * become members, this often. */
    ANNOUNCE_US = 500 * 1000,
};

/* See slots_internal.h. */
Chestnuthitch__Wire__SlotState
slots_write_state(const struct ch_slots *slots,
                  struct slots_upstream *upstream, int64_t now)
{
    const struct ch_limit_observation *last = &upstream->state.last;
    const struct ch_slots_holding own =
        ch_slots_account_get(&upstream->account, now);
    Chestnuthitch__Wire__SlotState state = WIRE(SLOT_STATE__INIT);
    state.upstream = (char *)g_quark_to_string(upstream->info.name);
    state.region = upstream->info.region == 0
                       ? (char *)""
                       : (char *)g_quark_to_string(upstream->info.region);
    state.boot_id = upstream->info.boot_id;
    state.brittle = ch_limit_state_is_limited(&upstream->state);
    state.rejections_per_s = last->per_s;
    state.sent_age_us = (uint64_t)MAX(now - last->sent_at, 0);
    state.received_age_us = (uint64_t)MAX(now - last->received_at, 0);
    state.since_age_us =
        (uint64_t)MAX(now - slots_get_since(slots, upstream, now), 0);
    state.calls = own.calls;
    state.tokens = own.tokens;
    state.rejected = own.rejected;
    state.epoch = own.epoch;
    state.last_grant = own.last_grant;
    state.told_at = own.told_at;
    return state;
}

static int64_t
subtract_age(int64_t now, uint64_t age)
{
    return now - (int64_t)MIN(age, (uint64_t)now);
}

/* See slots_internal.h. Of two nodes that know different boots of an upstream,
 * one has not heard of the latest one. */
struct slots_upstream *
slots_read_state(struct ch_slots *slots,
                 const Chestnuthitch__Wire__SlotState *state, const char *from,
                 int64_t now, enum ch_limit_change *change)
{
    if (state->upstream[0] == '\0' || !isfinite(state->rejections_per_s) ||
        state->rejections_per_s < 0) {
        return NULL;
    }
    struct slots_upstream *upstream =
        slots_find_or_add(slots, g_quark_from_string(state->upstream));
    if (upstream->info.region == 0) {
        upstream->info.region = g_quark_from_string(state->region);
    }
    bool is_same_boot = state->boot_id == 0 || upstream->info.boot_id == 0 ||
                        state->boot_id == upstream->info.boot_id;
    if (!is_same_boot) {
        return upstream;
    }
    const struct ch_limit_observation observation = {
        .named = state->brittle,
        .per_s = state->rejections_per_s,
        .sent_at = subtract_age(now, state->sent_age_us),
        .received_at = subtract_age(now, state->received_age_us),
    };
    /* A node that has had no response says nothing of the upstream. */
    if (state->brittle || upstream->state.known) {
        enum ch_limit_change result =
            slots_observe(slots, upstream, &observation,
                          subtract_age(now, state->since_age_us), from, now);
        if (change != NULL) {
            *change = result;
        }
    }
    return upstream;
}

/* See slots_internal.h. */
void
slots_hear(struct slots_upstream *upstream,
           const Chestnuthitch__Wire__SlotState *state, const char *from,
           int64_t now)
{
    if (upstream->counter == NULL) {
        return;
    }
    const struct ch_slots_holding holding = {
        .calls = state->calls,
        .tokens = state->tokens,
        .rejected = state->rejected,
        .epoch = state->epoch,
        .last_grant = state->last_grant,
        .told_at = state->told_at,
    };
    ch_slots_counter_hear(upstream->counter, g_quark_from_string(from),
                          &holding, now);
}

/* ---- to the counting nodes ---- */

static void
send_states(const struct ch_slots *slots, const char *to,
            Chestnuthitch__Wire__SlotStates *states)
{
    Chestnuthitch__Wire__LimitStates body = WIRE(LIMIT_STATES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.slots = states;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_STATES);
    frame.limit_states = &body;
    slots->peers.send(slots->peers.data, to, &frame);
}

/* Sends one state with flags. */
static void
send_flagged(const struct ch_slots *slots, const char *to,
             Chestnuthitch__Wire__SlotState *state, bool is_announcement,
             bool leaves)
{
    Chestnuthitch__Wire__SlotState *rows[] = {state};
    Chestnuthitch__Wire__SlotStates states = WIRE(SLOT_STATES__INIT);
    states.n_states = 1;
    states.states = rows;
    states.is_announcement = is_announcement;
    states.leaves = leaves;
    send_states(slots, to, &states);
}

/* Counts the members among the live nodes. others: those that are none, to be
 * asked to become members. Lock held. */
static void
count_members(const struct ch_slots *slots, struct slots_upstream *upstream,
              const GPtrArray *live, GPtrArray *others)
{
    upstream->members = upstream->told == slots->self ? 1 : 0;
    for (guint i = 0; i < live->len; i++) {
        char *name = g_ptr_array_index(live, i);
        GQuark node = g_quark_from_string(name);
        if (ch_slots_counter_is_member(upstream->counter, node)) {
            upstream->members++;
        }
        else {
            g_ptr_array_add(others, name);
        }
    }
}

/* See slots_internal.h. */
void
slots_update_members(struct ch_slots *slots, GQuark name)
{
    Chestnuthitch__Wire__SlotState state = WIRE(SLOT_STATE__INIT);
    int64_t now = ch_client_get_time(slots->client);
    pthread_mutex_lock(&slots->lock);
    const struct slots_upstream *counted = slots_find_or_add(slots, name);
    bool is_due =
        counted->counter != NULL && now - counted->announced_at >= ANNOUNCE_US;
    pthread_mutex_unlock(&slots->lock);
    if (!is_due) {
        return;
    }
    GPtrArray *live = slots->peers.list_live(slots->peers.data);
    GPtrArray *others = g_ptr_array_new();
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    if (upstream->counter != NULL) {
        upstream->announced_at = now;
        count_members(slots, upstream, live, others);
        state = slots_write_state(slots, upstream, now);
    }
    pthread_mutex_unlock(&slots->lock);
    for (guint i = 0; i < others->len; i++) {
        send_flagged(slots, g_ptr_array_index(others, i), &state, true, false);
    }
    g_ptr_array_free(others, TRUE);
    g_ptr_array_free(live, TRUE);
}

/* See slots_internal.h. */
void
slots_change_counter(struct ch_slots *slots, GQuark name, const char *counter)
{
    GQuark present = g_quark_from_string(counter);
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    GQuark before = upstream->told;
    upstream->told = present;
    Chestnuthitch__Wire__SlotState state =
        slots_write_state(slots, upstream, ch_client_get_time(slots->client));
    pthread_mutex_unlock(&slots->lock);
    if (before != 0 && before != present && before != slots->self) {
        send_flagged(slots, g_quark_to_string(before), &state, false, true);
    }
}

/* Lets this node's own counter of an upstream decide; lock not held. */
static void
run_here(struct ch_slots *slots, GQuark name)
{
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    pthread_mutex_lock(&slots->lock);
    slots_run_counter(slots, slots_find_or_add(slots, name),
                      ch_client_get_time(slots->client), results);
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, name, results);
}

/* Ends this node's counter of an upstream that another node counts; lock not
 * held. */
static void
close_here(struct ch_slots *slots, GQuark name)
{
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    pthread_mutex_lock(&slots->lock);
    slots_close_counter(slots_find_or_add(slots, name), false,
                        ch_client_get_time(slots->client), results);
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, name, results);
}

/* See slots_internal.h. */
void
slots_tell_counter(struct ch_slots *slots, GQuark name)
{
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    GQuark region = upstream->info.region;
    Chestnuthitch__Wire__SlotState state =
        slots_write_state(slots, upstream, ch_client_get_time(slots->client));
    pthread_mutex_unlock(&slots->lock);
    g_autofree char *counter =
        slots->peers.find_counter(slots->peers.data, name, region);
    slots_change_counter(slots, name, counter);
    if (strcmp(counter, slots->peers.self) == 0) {
        run_here(slots, name);
        return;
    }
    send_flagged(slots, counter, &state, false, false);
}

/* The states to be sent to one counting node. */
static GPtrArray *
find_or_add_batch(GHashTable *batches, const char *counter)
{
    GPtrArray *batch = g_hash_table_lookup(batches, counter);
    if (batch == NULL) {
        batch = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(batches, g_strdup(counter), batch);
    }
    return batch;
}

/* What is to be told of one upstream, or done here. */
struct tell_row {
    GQuark name;
    GQuark region;
    bool is_brittle;
    bool has_calls;
    bool has_counter;
    Chestnuthitch__Wire__SlotState state;
};

static GArray *
collect_rows(struct ch_slots *slots, int64_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct tell_row));
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&slots->lock);
    g_hash_table_iter_init(&iterator, slots->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct slots_upstream *upstream = value;
        struct tell_row row = {
            .name = upstream->info.name,
            .region = upstream->info.region,
            .is_brittle = slots_is_brittle(slots, upstream, now),
            .has_calls = upstream->account.holding.calls > 0,
            .has_counter = upstream->counter != NULL,
        };
        if (row.has_counter || (row.is_brittle && row.has_calls)) {
            row.state = slots_write_state(slots, upstream, now);
            g_array_append_val(rows, row);
        }
    }
    pthread_mutex_unlock(&slots->lock);
    return rows;
}

/* See slots_internal.h. */
void
slots_tell_all_counters(struct ch_slots *slots)
{
    GHashTable *batches = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    GArray *rows = collect_rows(slots, ch_client_get_time(slots->client));
    for (guint i = 0; i < rows->len; i++) {
        const struct tell_row *row = &g_array_index(rows, struct tell_row, i);
        g_autofree char *counter = slots->peers.find_counter(
            slots->peers.data, row->name, row->region);
        bool counts_here = strcmp(counter, slots->peers.self) == 0;
        slots_change_counter(slots, row->name, counter);
        if (counts_here) {
            run_here(slots, row->name);
        }
        else if (row->has_counter) {
            close_here(slots, row->name);
        }
        if (!counts_here && row->is_brittle && row->has_calls) {
            g_ptr_array_add(find_or_add_batch(batches, counter),
                            g_memdup2(&row->state, sizeof(row->state)));
        }
    }
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, batches);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        GPtrArray *batch = value;
        Chestnuthitch__Wire__SlotStates states = WIRE(SLOT_STATES__INIT);
        states.n_states = batch->len;
        states.states = (Chestnuthitch__Wire__SlotState **)batch->pdata;
        send_states(slots, key, &states);
    }
    g_hash_table_destroy(batches);
    g_array_free(rows, TRUE);
}

/* Lets this node's counter, if it counts, take over another node's calls.
 * Otherwise the sender has another view of which node counts, and tells its
 * calls again soon. */
static void
count_state(struct ch_slots *slots,
            const Chestnuthitch__Wire__SlotState *state, const char *from)
{
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    int64_t now = ch_client_get_time(slots->client);
    pthread_mutex_lock(&slots->lock);
    const struct slots_upstream *upstream =
        slots_read_state(slots, state, from, now, NULL);
    GQuark name = upstream == NULL ? 0 : upstream->info.name;
    GQuark region = upstream == NULL ? 0 : upstream->info.region;
    pthread_mutex_unlock(&slots->lock);
    if (name == 0) {
        g_array_free(results, TRUE);
        return;
    }
    g_autofree char *counter =
        slots->peers.find_counter(slots->peers.data, name, region);
    if (strcmp(counter, slots->peers.self) != 0) {
        g_array_free(results, TRUE);
        return;
    }
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *counted = slots_find_or_add(slots, name);
    slots_open_counter(slots, counted, now);
    slots_hear(counted, state, from, now);
    slots_run_counter(slots, counted, now, results);
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, name, results);
}

/* A node counts: tells it of this node's calls, if it is the counting node in
 * this node's view as well. */
static void
tell_announcer(struct ch_slots *slots,
               const Chestnuthitch__Wire__SlotState *state, const char *from)
{
    pthread_mutex_lock(&slots->lock);
    const struct slots_upstream *upstream = slots_read_state(
        slots, state, from, ch_client_get_time(slots->client), NULL);
    GQuark name = upstream == NULL ? 0 : upstream->info.name;
    GQuark region = upstream == NULL ? 0 : upstream->info.region;
    pthread_mutex_unlock(&slots->lock);
    if (name == 0) {
        return;
    }
    g_autofree char *counter =
        slots->peers.find_counter(slots->peers.data, name, region);
    if (strcmp(counter, from) == 0) {
        slots_tell_counter(slots, name);
    }
}

/* A node tells another counter from now on. */
static void
remove_member(struct ch_slots *slots,
              const Chestnuthitch__Wire__SlotState *state, const char *from)
{
    int64_t now = ch_client_get_time(slots->client);
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream =
        slots_read_state(slots, state, from, now, NULL);
    if (upstream != NULL && upstream->counter != NULL) {
        GQuark node = g_quark_from_string(from);
        bool was_member = ch_slots_counter_is_member(upstream->counter, node);
        slots_hear(upstream, state, from, now);
        ch_slots_counter_leave(upstream->counter, node);
        upstream->members -= was_member ? MIN(upstream->members, 1) : 0;
    }
    pthread_mutex_unlock(&slots->lock);
}

/* See slots.h. */
void
ch_slots_handle_states(struct ch_slots *slots,
                       const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__SlotStates *states = frame->limit_states->slots;
    for (size_t i = 0; i < states->n_states; i++) {
        if (states->is_announcement) {
            tell_announcer(slots, states->states[i], frame->from);
        }
        else if (states->leaves) {
            remove_member(slots, states->states[i], frame->from);
        }
        else {
            count_state(slots, states->states[i], frame->from);
        }
    }
}
