/* The count of all nodes' calls to one brittle upstream. */

#include "slots/slots.h"

#include <math.h>

enum {
    /* Time for all nodes to tell a new counter of their calls. */
    SETTLE_US = 1000 * 1000,
    /* A permission that its node has not confirmed by then was lost on the
     * way: the node has given up waiting for it. */
    GRANT_LAPSE_US = 1000 * 1000,
    /* A node that has calls tells of them each half second; of one that is
     * silent for this long the upstream has closed the connections. */
    HOLDER_LAPSE_US = 5 * 1000 * 1000,
    /* After a rejection for want of room no more calls are sent than the
     * upstream had room for then. */
    REJECTION_US = 1000 * 1000,
    /* Slots that became free in this time give the rate at which they do. */
    RATE_WINDOW_US = 2 * 1000 * 1000,
    /* Of a refused call. */
    MIN_RETRY_AFTER_US = 50 * 1000,
    MAX_RETRY_AFTER_US = 5 * 1000 * 1000,
};

/* A permission that its node has not confirmed. */
struct slots_grant {
    uint64_t number;
    uint32_t tokens;
    int64_t at;
};

/* A node with calls. */
struct slots_holder {
    struct ch_slots_holding told;
    int64_t heard_at;
    bool is_member;
    uint64_t last_grant; /* number of the node's latest permission */
    GArray *unconfirmed; /* struct slots_grant, oldest first */
};

/* A call that waits for a slot. */
struct slots_waiting {
    GQuark node;
    uint64_t ticket;
    uint32_t tokens;
    int64_t until;
};

struct ch_slots_counter {
    uint64_t epoch;
    int64_t opened_at;
    GHashTable *holders; /* GQuark to struct slots_holder */
    GQueue *waiting;     /* struct slots_waiting, in order of arrival */
    uint32_t calls;      /* sums over the holders */
    uint64_t tokens;
    uint32_t room_calls;    /* what is given out of the room's calls */
    uint32_t pending_calls; /* to be given out from raise_at on */
    int64_t raise_at;       /* 0: no raise is pending */
    uint32_t ceiling;       /* of calls, until ceiling_until */
    int64_t ceiling_until;
    unsigned freed;        /* slots, since window_at */
    unsigned freed_before; /* in the window before */
    int64_t window_at;
};

/* See slots.h. */
struct ch_slots_room
ch_slots_get_room(uint32_t slots, uint64_t tokens, size_t members,
                  size_t listed)
{
    if (listed == 0) {
        return (struct ch_slots_room){0};
    }
    double part = MIN((double)members / (double)listed, 1);
    double calls = slots * part;
    return (struct ch_slots_room){
        .calls = 2 * members > listed ? (uint32_t)MAX(round(calls), 1)
                                      : (uint32_t)floor(calls),
        .tokens = tokens == 0 ? 0 : (uint64_t)MAX((double)tokens * part, 1),
    };
}

static void
free_holder(void *data)
{
    struct slots_holder *holder = data;
    g_array_free(holder->unconfirmed, TRUE);
    g_free(holder);
}

/* See slots.h. */
struct ch_slots_counter *
ch_slots_counter_new(uint64_t epoch, int64_t now)
{
    struct ch_slots_counter *counter = g_new0(struct ch_slots_counter, 1);
    counter->epoch = epoch;
    counter->opened_at = now;
    counter->window_at = now;
    counter->room_calls = G_MAXUINT32; /* until it is known */
    counter->holders = g_hash_table_new_full(NULL, NULL, NULL, free_holder);
    counter->waiting = g_queue_new();
    return counter;
}

/* See slots.h. */
void
ch_slots_counter_free(struct ch_slots_counter *counter)
{
    if (counter == NULL) {
        return;
    }
    g_hash_table_destroy(counter->holders);
    g_queue_free_full(counter->waiting, g_free);
    g_free(counter);
}

/* See slots.h. */
uint64_t
ch_slots_counter_get_epoch(const struct ch_slots_counter *counter)
{
    return counter->epoch;
}

/* See slots.h. */
size_t
ch_slots_counter_count_waiting(const struct ch_slots_counter *counter)
{
    return counter->waiting->length;
}

/* See slots.h. */
uint32_t
ch_slots_counter_count_calls(const struct ch_slots_counter *counter)
{
    return counter->calls;
}

/* ---- holders ---- */

/* Adds a holder to the sums, or takes it out of them. */
static void
add_to_sums(struct ch_slots_counter *counter,
            const struct slots_holder *holder, bool add)
{
    uint32_t calls = holder->told.calls + holder->unconfirmed->len;
    uint64_t tokens = holder->told.tokens;
    for (guint i = 0; i < holder->unconfirmed->len; i++) {
        tokens +=
            g_array_index(holder->unconfirmed, struct slots_grant, i).tokens;
    }
    counter->calls += add ? calls : -calls;
    counter->tokens += add ? tokens : -tokens;
}

static struct slots_holder *
find_or_add_holder(struct ch_slots_counter *counter, GQuark node)
{
    struct slots_holder *holder =
        g_hash_table_lookup(counter->holders, GUINT_TO_POINTER(node));
    if (holder == NULL) {
        holder = g_new0(struct slots_holder, 1);
        holder->unconfirmed =
            g_array_new(FALSE, FALSE, sizeof(struct slots_grant));
        g_hash_table_insert(counter->holders, GUINT_TO_POINTER(node), holder);
    }
    return holder;
}

/* Removes the permissions that the node has confirmed by now, and those that
 * were lost. */
static void
confirm_grants(struct slots_holder *holder, uint64_t last_grant, int64_t now)
{
    GArray *grants = holder->unconfirmed;
    while (grants->len > 0) {
        const struct slots_grant *grant =
            &g_array_index(grants, struct slots_grant, 0);
        if (grant->number > last_grant && now - grant->at < GRANT_LAPSE_US) {
            break;
        }
        g_array_remove_index(grants, 0);
    }
}

/* Counts slots that became free, in windows. */
static void
count_freed(struct ch_slots_counter *counter, unsigned freed, int64_t now)
{
    if (now - counter->window_at >= RATE_WINDOW_US) {
        bool is_next = now - counter->window_at < 2 * (int64_t)RATE_WINDOW_US;
        counter->freed_before = is_next ? counter->freed : 0;
        counter->freed = 0;
        counter->window_at = now;
    }
    counter->freed += freed;
}

/* See slots.h. Messages of one node may overtake each other. */
void
ch_slots_counter_hear(struct ch_slots_counter *counter, GQuark node,
                      const struct ch_slots_holding *holding, int64_t now)
{
    struct slots_holder *holder = find_or_add_holder(counter, node);
    bool is_late = holding->told_at < holder->told.told_at &&
                   now - holder->heard_at < HOLDER_LAPSE_US;
    if (is_late) {
        return;
    }
    bool is_first = holder->heard_at == 0;
    uint32_t rejected = is_first || holding->rejected < holder->told.rejected
                            ? 0
                            : holding->rejected - holder->told.rejected;
    uint32_t calls = holder->told.calls + holder->unconfirmed->len;
    add_to_sums(counter, holder, false);
    holder->told = *holding;
    holder->heard_at = now;
    holder->is_member = true;
    uint64_t last_grant =
        holding->epoch == counter->epoch ? holding->last_grant : 0;
    holder->last_grant = MAX(holder->last_grant, last_grant);
    confirm_grants(holder, last_grant, now);
    add_to_sums(counter, holder, true);
    uint32_t calls_now = holder->told.calls + holder->unconfirmed->len;
    count_freed(counter, calls > calls_now ? calls - calls_now : 0, now);
    if (rejected > 0) {
        counter->ceiling = counter->calls;
        counter->ceiling_until = now + REJECTION_US;
    }
}

/* See slots.h. */
void
ch_slots_counter_leave(struct ch_slots_counter *counter, GQuark node)
{
    struct slots_holder *holder =
        g_hash_table_lookup(counter->holders, GUINT_TO_POINTER(node));
    if (holder != NULL) {
        holder->is_member = false;
    }
}

/* See slots.h. */
bool
ch_slots_counter_is_member(const struct ch_slots_counter *counter, GQuark node)
{
    const struct slots_holder *holder =
        g_hash_table_lookup(counter->holders, GUINT_TO_POINTER(node));
    return holder != NULL && holder->is_member;
}

/* Forgets the calls of holders that have been silent for long. */
static void
remove_silent(struct ch_slots_counter *counter, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, counter->holders);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct slots_holder *holder = value;
        if (now - holder->heard_at < HOLDER_LAPSE_US) {
            continue;
        }
        add_to_sums(counter, holder, false);
        holder->told.calls = 0;
        holder->told.tokens = 0;
        g_array_set_size(holder->unconfirmed, 0);
        if (!holder->is_member) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* ---- calls that ask ---- */

/* See slots.h. */
void
ch_slots_counter_ask(struct ch_slots_counter *counter, GQuark node,
                     uint64_t ticket, uint32_t tokens, int64_t wait_until)
{
    struct slots_waiting *waiting = g_new(struct slots_waiting, 1);
    *waiting = (struct slots_waiting){node, ticket, tokens, wait_until};
    g_queue_push_tail(counter->waiting, waiting);
}

/* When a slot is expected to be free for a call behind `before` others;
 * 0: not known. The next slot is on average half-way to being free. */
static int64_t
expect_slot(const struct ch_slots_counter *counter, size_t before, int64_t now)
{
    int64_t time = now - counter->window_at +
                   (counter->freed_before > 0 ? (int64_t)RATE_WINDOW_US : 0);
    unsigned freed = counter->freed + counter->freed_before;
    return freed == 0
               ? 0
               : (int64_t)(((double)before + 0.5) * (double)time / freed);
}

static void
grant_call(struct ch_slots_counter *counter,
           const struct slots_waiting *waiting, int64_t now, GArray *results)
{
    struct slots_holder *holder = find_or_add_holder(counter, waiting->node);
    const struct slots_grant grant = {++holder->last_grant, waiting->tokens,
                                      now};
    holder->heard_at = MAX(holder->heard_at, now);
    g_array_append_val(holder->unconfirmed, grant);
    counter->calls++;
    counter->tokens += waiting->tokens;
    const struct ch_slots_result result = {waiting->node, waiting->ticket,
                                           grant.number, 0};
    g_array_append_val(results, result);
}

static void
refuse_call(const struct slots_waiting *waiting, int64_t retry_after,
            GArray *results)
{
    const struct ch_slots_result result = {
        .node = waiting->node,
        .ticket = waiting->ticket,
        .retry_after =
            CLAMP(retry_after, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    };
    g_array_append_val(results, result);
}

/*
 * Takes over the room's calls. Nodes that come back after a cut have calls
 * that this counter has not heard of, so more room is given out only once they
 * have had time to tell them.
 */
static void
update_room(struct ch_slots_counter *counter, uint32_t calls, int64_t now)
{
    bool is_new = now - counter->opened_at < SETTLE_US;
    if (is_new || calls <= counter->room_calls) {
        counter->room_calls = calls;
        counter->raise_at = 0;
        return;
    }
    if (counter->raise_at == 0) {
        counter->pending_calls = calls;
        counter->raise_at = now + SETTLE_US;
    }
    counter->pending_calls = MIN(counter->pending_calls, calls);
    if (now >= counter->raise_at) {
        counter->room_calls = counter->pending_calls;
        counter->raise_at = 0;
    }
}

static bool
has_room(const struct ch_slots_counter *counter,
         const struct ch_slots_room *room, uint32_t tokens, int64_t now)
{
    uint32_t calls = now < counter->ceiling_until
                         ? MIN(counter->room_calls, counter->ceiling)
                         : counter->room_calls;
    return now - counter->opened_at >= SETTLE_US && counter->calls < calls &&
           (room->tokens == 0 || counter->tokens + tokens <= room->tokens);
}

/* Whether the call will not get a slot while it may wait. */
static bool
is_hopeless(const struct ch_slots_counter *counter,
            const struct ch_slots_room *room,
            const struct slots_waiting *waiting, size_t before, int64_t now)
{
    bool is_too_large = room->tokens > 0 && waiting->tokens > room->tokens;
    return is_too_large || waiting->until <= now ||
           now + expect_slot(counter, before, now) > waiting->until;
}

/* See slots.h. A call that has to wait holds up those behind it, so that large
 * ones get their turn. */
void
ch_slots_counter_run(struct ch_slots_counter *counter,
                     const struct ch_slots_room *room, int64_t now,
                     GArray *results)
{
    size_t before = 0;
    remove_silent(counter, now);
    update_room(counter, room->calls, now);
    count_freed(counter, 0, now);
    for (GList *link = counter->waiting->head; link != NULL;) {
        GList *next = link->next;
        struct slots_waiting *waiting = link->data;
        if (before == 0 && has_room(counter, room, waiting->tokens, now)) {
            grant_call(counter, waiting, now, results);
        }
        else if (is_hopeless(counter, room, waiting, before, now)) {
            refuse_call(waiting, expect_slot(counter, before, now), results);
        }
        else {
            before++;
            link = next;
            continue;
        }
        g_free(waiting);
        g_queue_delete_link(counter->waiting, link);
        link = next;
    }
}

/* See slots.h. */
void
ch_slots_counter_end(struct ch_slots_counter *counter, bool granted,
                     int64_t now, GArray *results)
{
    struct slots_waiting *waiting = NULL;
    while ((waiting = g_queue_pop_head(counter->waiting)) != NULL) {
        if (granted) {
            grant_call(counter, waiting, now, results);
        }
        else {
            refuse_call(waiting, 0, results);
        }
        g_free(waiting);
    }
}
