#ifndef CH_TESTS_SLOTS_FLEET_H
#define CH_TESTS_SLOTS_FLEET_H

/*
 * A fleet in virtual time that calls one brittle upstream, in one of several
 * ways. Nodes are killed, stand still and are cut off from each other; each
 * knows of the others what was true DETECT_US ago. The upstream lets nobody
 * wait: a call without a free slot is rejected.
 */

#include "slots/slots.h"

enum {
    FLEET_MAX_NODES = 320,
    FLEET_MAX_SLOTS = 64,
    FLEET_STEP_US = 1000,
    FLEET_LATENCY_US = 1000, /* of a message or a call, one way */
    FLEET_DETECT_US = 1500 * 1000,
    FLEET_TICK_US = 500 * 1000,
    FLEET_ASK_TIMEOUT_US = 300 * 1000,
    FLEET_MAX_HISTORY = 64,
    FLEET_LEASE_CHECK_US = 20 * 1000,
};

enum fleet_way {
    FLEET_COUNTER, /* one node counts, and is asked for each call */
    FLEET_LEASES,  /* one node deals out slots, returned once they are idle */
    FLEET_SHARES,  /* each node has an equal share, and guesses beyond it */
    FLEET_WAYS
};

/* What was true of a node from a point in time. */
struct fleet_change {
    int64_t at;
    bool running;
    unsigned side; /* of a cut */
};

struct fleet_node {
    uint64_t weight; /* in the choice of the counting node */
    struct fleet_change changes[FLEET_MAX_HISTORY];
    unsigned change_count;
    bool frozen; /* stands still and keeps what it knows */
    struct ch_slots_account account;
    struct ch_slots_counter *counter;
    int told;            /* the node that it has told last; -1: none */
    unsigned calls;      /* FLEET_LEASES, FLEET_SHARES: outstanding */
    unsigned leased;     /* FLEET_LEASES: slots that it has */
    unsigned asked;      /* FLEET_LEASES: slots that it has asked for */
    unsigned leased_out; /* FLEET_LEASES: by this node as the counting one */
    GQueue *backlog;     /* FLEET_LEASES: callers' time limits */
    int64_t guessed_at;  /* FLEET_SHARES */
};

enum fleet_message_kind {
    FLEET_ASK,
    FLEET_PERMISSION,
    FLEET_STATE,
    FLEET_LEAVE,
    FLEET_ANNOUNCE,
    FLEET_CALL,   /* arrives at the upstream */
    FLEET_END,    /* of a call, arrives at its node */
    FLEET_RETURN, /* FLEET_LEASES: slots come back */
};

struct fleet_message {
    int64_t at;
    enum fleet_message_kind kind;
    unsigned from;
    unsigned to;
    struct ch_slots_holding holding;
    uint64_t epoch;
    uint64_t grant;
    uint64_t ticket; /* of an ask: until when it waits */
    bool rejected;
};

/* A call that the upstream runs. */
struct fleet_run {
    unsigned node;
    int64_t until;
};

struct fleet {
    enum fleet_way way;
    unsigned node_count;
    unsigned slots;
    unsigned rejections_per_s; /* that the upstream bears */
    int64_t service_us;
    int64_t wait_us; /* that a call may wait for a slot */
    int64_t now;
    struct fleet_node nodes[FLEET_MAX_NODES];
    GQueue *messages;   /* struct fleet_message; latency is the same for all */
    GArray *runs;       /* struct fleet_run */
    GArray *rejections; /* int64_t: of nodes that no fault has touched */
    int64_t used_us;    /* slots, times how long */
    int64_t wanted;
    uint64_t message_count; /* between nodes */
    GRand *random;
};

static inline struct fleet *
fleet_new(enum fleet_way way, unsigned nodes, unsigned slots,
          unsigned rejections_per_s, guint32 seed)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->way = way;
    fleet->node_count = nodes;
    fleet->slots = slots;
    fleet->rejections_per_s = rejections_per_s;
    fleet->service_us = 400 * 1000;
    fleet->wait_us = 800 * 1000;
    fleet->now = 100 * G_USEC_PER_SEC;
    fleet->messages = g_queue_new();
    fleet->runs = g_array_new(FALSE, FALSE, sizeof(struct fleet_run));
    fleet->rejections = g_array_new(FALSE, FALSE, sizeof(int64_t));
    fleet->random = g_rand_new_with_seed(seed);
    for (unsigned i = 0; i < nodes; i++) {
        struct fleet_node *node = &fleet->nodes[i];
        node->weight = ch_hash(&i, sizeof(i));
        node->changes[0] = (struct fleet_change){0, true, 0};
        node->change_count = 1;
        node->backlog = g_queue_new();
        node->told = -1;
        ch_slots_account_init(&node->account);
    }
    return fleet;
}

static inline void
fleet_free(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_queue_free_full(fleet->nodes[i].backlog, g_free);
        ch_slots_account_clear(&fleet->nodes[i].account);
        ch_slots_counter_free(fleet->nodes[i].counter);
    }
    g_queue_free_full(fleet->messages, g_free);
    g_array_free(fleet->runs, TRUE);
    g_array_free(fleet->rejections, TRUE);
    g_rand_free(fleet->random);
    g_free(fleet);
}

/* ---- faults ---- */

/* What was true of a node at a point in time. */
static inline const struct fleet_change *
fleet_at(const struct fleet_node *node, int64_t at)
{
    unsigned i = node->change_count - 1;
    while (i > 0 && node->changes[i].at > at) {
        i--;
    }
    return &node->changes[i];
}

static inline bool
fleet_is_running(const struct fleet *fleet, unsigned index)
{
    return fleet_at(&fleet->nodes[index], fleet->now)->running;
}

static inline void
fleet_change(struct fleet *fleet, unsigned index, bool running, unsigned side)
{
    struct fleet_node *node = &fleet->nodes[index];
    g_assert_cmpuint(node->change_count, <, FLEET_MAX_HISTORY);
    node->changes[node->change_count++] =
        (struct fleet_change){fleet->now, running, side};
}

/* The upstream ends the calls of a node whose connections are closed. */
static inline void
fleet_end_runs(struct fleet *fleet, unsigned index)
{
    for (guint i = fleet->runs->len; i > 0; i--) {
        if (g_array_index(fleet->runs, struct fleet_run, i - 1).node ==
            index) {
            g_array_remove_index_fast(fleet->runs, i - 1);
        }
    }
}

/* Ends a node's process, or starts a new one that knows nothing. */
static inline void
fleet_set_running(struct fleet *fleet, unsigned index, bool running)
{
    struct fleet_node *node = &fleet->nodes[index];
    fleet_change(fleet, index, running, fleet_at(node, fleet->now)->side);
    fleet_end_runs(fleet, index);
    ch_slots_account_clear(&node->account);
    ch_slots_account_init(&node->account);
    ch_slots_counter_free(node->counter);
    node->counter = NULL;
    node->frozen = false;
    node->told = -1;
    node->calls = 0;
    node->leased = 0;
    node->asked = 0;
    node->leased_out = 0;
    g_queue_clear_full(node->backlog, g_free);
}

static inline void
fleet_set_side(struct fleet *fleet, unsigned index, unsigned side)
{
    fleet_change(fleet, index,
                 fleet_at(&fleet->nodes[index], fleet->now)->running, side);
}

/* A node that stands still answers nobody, like one that does not run. */
static inline void
fleet_set_frozen(struct fleet *fleet, unsigned index, bool frozen)
{
    fleet_change(fleet, index, !frozen,
                 fleet_at(&fleet->nodes[index], fleet->now)->side);
    fleet->nodes[index].frozen = frozen;
}

/* Whether no fault has touched a node in the last 4 s. */
static inline bool
fleet_is_in_touch(const struct fleet *fleet, unsigned index)
{
    const struct fleet_node *node = &fleet->nodes[index];
    const struct fleet_change *last = fleet_at(node, fleet->now);
    return last->running && last->side == 0 &&
           (node->change_count == 1 ||
            fleet->now - last->at >= 4 * G_USEC_PER_SEC);
}

static inline bool
fleet_reaches(const struct fleet *fleet, unsigned from, unsigned to)
{
    const struct fleet_change *a = fleet_at(&fleet->nodes[from], fleet->now);
    const struct fleet_change *b = fleet_at(&fleet->nodes[to], fleet->now);
    return b->running && (from == to || a->side == b->side);
}

/* The node that counts, as one node sees it, and how many it hears. */
static inline unsigned
fleet_find_counter(const struct fleet *fleet, unsigned from, unsigned *live)
{
    int64_t seen_at = fleet->now - FLEET_DETECT_US;
    unsigned side = fleet_at(&fleet->nodes[from], seen_at)->side;
    unsigned best = from;
    *live = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct fleet_change *seen = fleet_at(&fleet->nodes[i], seen_at);
        if (i != from && (!seen->running || seen->side != side)) {
            continue;
        }
        ++*live;
        if (fleet->nodes[i].weight > fleet->nodes[best].weight) {
            best = i;
        }
    }
    return best;
}

/* Whether a node is live, as another one sees it. */
static inline bool
fleet_hears(const struct fleet *fleet, unsigned from, unsigned other)
{
    int64_t seen_at = fleet->now - FLEET_DETECT_US;
    const struct fleet_change *seen = fleet_at(&fleet->nodes[other], seen_at);
    return seen->running &&
           seen->side == fleet_at(&fleet->nodes[from], seen_at)->side;
}

/* ---- messages ---- */

static inline void
fleet_send(struct fleet *fleet, const struct fleet_message *message)
{
    struct fleet_message *copy = g_memdup2(message, sizeof(*message));
    bool is_between_nodes = message->kind != FLEET_CALL &&
                            message->kind != FLEET_END &&
                            message->from != message->to;
    fleet->message_count += is_between_nodes ? 1 : 0;
    copy->at = fleet->now + (is_between_nodes || message->kind == FLEET_CALL ||
                                     message->kind == FLEET_END
                                 ? FLEET_LATENCY_US
                                 : 0);
    GList *link = fleet->messages->tail;
    while (link != NULL &&
           ((struct fleet_message *)link->data)->at > copy->at) {
        link = link->prev;
    }
    g_queue_insert_after(fleet->messages, link, copy);
}

/* The counting node as one node sees it; the one before is told that this node
 * tells another one. */
static inline unsigned
fleet_change_counter(struct fleet *fleet, unsigned from)
{
    unsigned live = 0;
    unsigned counter = fleet_find_counter(fleet, from, &live);
    struct fleet_node *node = &fleet->nodes[from];
    if (node->told >= 0 && node->told != (int)counter &&
        node->told != (int)from) {
        const struct fleet_message leave = {
            .kind = FLEET_LEAVE,
            .from = from,
            .to = (unsigned)node->told,
            .holding = ch_slots_account_get(&node->account, fleet->now),
        };
        fleet_send(fleet, &leave);
    }
    node->told = (int)counter;
    return counter;
}

/* Tells the counting node of a node's calls. */
static inline void
fleet_tell(struct fleet *fleet, unsigned from)
{
    const struct fleet_message state = {
        .kind = FLEET_STATE,
        .from = from,
        .to = fleet_change_counter(fleet, from),
        .holding =
            ch_slots_account_get(&fleet->nodes[from].account, fleet->now),
    };
    fleet_send(fleet, &state);
}

static inline void
fleet_call(struct fleet *fleet, unsigned from)
{
    const struct fleet_message call = {.kind = FLEET_CALL, .from = from};
    fleet_send(fleet, &call);
}

/* ---- one node counts ---- */

/* Lets a node's counter decide. */
static inline void
fleet_run_counter(struct fleet *fleet, unsigned index)
{
    struct fleet_node *node = &fleet->nodes[index];
    size_t members = node->told == (int)index ? 1 : 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        members += i != index && fleet_hears(fleet, index, i) &&
                           ch_slots_counter_is_member(node->counter, i + 1)
                       ? 1
                       : 0;
    }
    const struct ch_slots_room room =
        ch_slots_get_room(fleet->slots, 0, members, fleet->node_count);
    const struct ch_slots_holding own =
        ch_slots_account_get(&node->account, fleet->now);
    ch_slots_counter_hear(node->counter, index + 1, &own, fleet->now);
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    ch_slots_counter_run(node->counter, &room, fleet->now, results);
    for (guint i = 0; i < results->len; i++) {
        const struct ch_slots_result *result =
            &g_array_index(results, struct ch_slots_result, i);
        const struct fleet_message permission = {
            .kind = FLEET_PERMISSION,
            .from = index,
            .to = result->node - 1,
            .epoch = ch_slots_counter_get_epoch(node->counter),
            .grant = result->grant,
            .ticket = result->ticket,
        };
        fleet_send(fleet, &permission);
    }
    g_array_free(results, TRUE);
}

/* Asks the nodes that are no members to become members. */
static inline void
fleet_announce(struct fleet *fleet, unsigned index)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (i != index && fleet_hears(fleet, index, i) &&
            !ch_slots_counter_is_member(fleet->nodes[index].counter, i + 1)) {
            const struct fleet_message announcement = {
                .kind = FLEET_ANNOUNCE, .from = index, .to = i};
            fleet_send(fleet, &announcement);
        }
    }
}

static inline void
fleet_open_counter(struct fleet *fleet, unsigned index)
{
    struct fleet_node *node = &fleet->nodes[index];
    if (node->counter == NULL) {
        node->counter = ch_slots_counter_new(
            ((uint64_t)fleet->now << 10) + index, fleet->now);
        fleet_announce(fleet, index);
    }
}

static inline void
fleet_handle_state(struct fleet *fleet, const struct fleet_message *message)
{
    unsigned live = 0;
    struct fleet_node *node = &fleet->nodes[message->to];
    if (message->kind == FLEET_ANNOUNCE) {
        if (fleet_find_counter(fleet, message->to, &live) == message->from) {
            fleet_tell(fleet, message->to);
        }
        return;
    }
    if (message->kind == FLEET_LEAVE) {
        if (node->counter != NULL) {
            ch_slots_counter_hear(node->counter, message->from + 1,
                                  &message->holding, fleet->now);
            ch_slots_counter_leave(node->counter, message->from + 1);
        }
        return;
    }
    if (message->kind == FLEET_STATE &&
        fleet_find_counter(fleet, message->to, &live) != message->to) {
        return;
    }
    fleet_open_counter(fleet, message->to);
    ch_slots_counter_hear(node->counter, message->from + 1, &message->holding,
                          fleet->now);
    if (message->kind == FLEET_ASK) {
        ch_slots_counter_ask(node->counter, message->from + 1, message->ticket,
                             0, fleet->now + fleet->wait_us);
    }
    fleet_run_counter(fleet, message->to);
}

static inline void
fleet_handle_permission(struct fleet *fleet,
                        const struct fleet_message *message)
{
    struct fleet_node *node = &fleet->nodes[message->to];
    if (message->grant == 0 || fleet->now >= (int64_t)message->ticket) {
        return;
    }
    ch_slots_account_begin(&node->account, 0);
    ch_slots_account_note_grant(&node->account, message->epoch, message->grant,
                                fleet->now);
    fleet_call(fleet, message->to);
}

/* Each node tells its calls; a counter ends where another node counts. */
static inline void
fleet_tick(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct fleet_node *node = &fleet->nodes[i];
        unsigned live = 0;
        if (!fleet_is_running(fleet, i)) {
            continue;
        }
        if (node->counter != NULL &&
            fleet_find_counter(fleet, i, &live) != i) {
            ch_slots_counter_free(node->counter);
            node->counter = NULL;
        }
        if (node->account.holding.calls > 0 || node->counter != NULL) {
            fleet_tell(fleet, i);
        }
        if (node->counter != NULL) {
            fleet_announce(fleet, i);
        }
    }
}

/* Calls that wait at counters are looked at. */
static inline void
fleet_poll(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (fleet_is_running(fleet, i) && fleet->nodes[i].counter != NULL &&
            ch_slots_counter_count_waiting(fleet->nodes[i].counter) > 0) {
            fleet_run_counter(fleet, i);
        }
    }
}

/* ---- slots dealt out, and shares ---- */

/* A node uses the slots that it has, asks for more, and returns idle ones. */
static inline void
fleet_use_leases(struct fleet *fleet, unsigned index)
{
    struct fleet_node *node = &fleet->nodes[index];
    unsigned live = 0;
    int64_t *until = NULL;
    while ((until = g_queue_peek_head(node->backlog)) != NULL) {
        if (*until > fleet->now && node->calls >= node->leased) {
            break;
        }
        if (*until > fleet->now) {
            node->calls++;
            fleet_call(fleet, index);
        }
        g_free(g_queue_pop_head(node->backlog));
    }
    struct fleet_message message = {
        .from = index, .to = fleet_find_counter(fleet, index, &live)};
    for (; node->asked < node->backlog->length; node->asked++) {
        message.kind = FLEET_ASK;
        fleet_send(fleet, &message);
    }
    for (; node->leased > node->calls && node->backlog->length == 0;
         node->leased--) {
        message.kind = FLEET_RETURN;
        fleet_send(fleet, &message);
    }
}

static inline void
fleet_handle_lease(struct fleet *fleet, const struct fleet_message *message)
{
    struct fleet_node *node = &fleet->nodes[message->to];
    if (message->kind == FLEET_RETURN) {
        node->leased_out -= MIN(node->leased_out, 1);
    }
    else if (message->kind == FLEET_ASK) {
        unsigned live = 0;
        (void)fleet_find_counter(fleet, message->to, &live);
        bool granted =
            node->leased_out <
            ch_slots_get_room(fleet->slots, 0, live, fleet->node_count).calls;
        node->leased_out += granted ? 1 : 0;
        const struct fleet_message reply = {.kind = FLEET_PERMISSION,
                                            .from = message->to,
                                            .to = message->from,
                                            .grant = granted};
        fleet_send(fleet, &reply);
    }
    else {
        node->asked -= MIN(node->asked, 1);
        node->leased += message->grant != 0 ? 1 : 0;
    }
}

/* A node sends within its share of the slots, and guesses at its share of the
 * rejections that the upstream bears. */
static inline void
fleet_use_share(struct fleet *fleet, unsigned index)
{
    struct fleet_node *node = &fleet->nodes[index];
    bool has_share = node->calls < fleet->slots / fleet->node_count;
    int64_t pause = fleet->rejections_per_s == 0
                        ? G_MAXINT64 / 2
                        : G_USEC_PER_SEC * (int64_t)fleet->node_count /
                              (int64_t)fleet->rejections_per_s;
    if (!has_share && fleet->now - node->guessed_at < pause) {
        return;
    }
    node->guessed_at = has_share ? node->guessed_at : fleet->now;
    node->calls++;
    fleet_call(fleet, index);
}

/* ---- the run ---- */

static inline void
fleet_want_call(struct fleet *fleet, unsigned from)
{
    fleet->wanted++;
    switch (fleet->way) {
    case FLEET_COUNTER: {
        const struct fleet_message ask = {
            .kind = FLEET_ASK,
            .from = from,
            .to = fleet_change_counter(fleet, from),
            .holding =
                ch_slots_account_get(&fleet->nodes[from].account, fleet->now),
            .ticket =
                (uint64_t)(fleet->now + fleet->wait_us + FLEET_ASK_TIMEOUT_US),
        };
        fleet_send(fleet, &ask);
        return;
    }
    case FLEET_LEASES: {
        int64_t until = fleet->now + fleet->wait_us;
        g_queue_push_tail(fleet->nodes[from].backlog,
                          g_memdup2(&until, sizeof(until)));
        fleet_use_leases(fleet, from);
        return;
    }
    default:
        fleet_use_share(fleet, from);
        return;
    }
}

/* A call arrives at the upstream. */
static inline void
fleet_handle_call(struct fleet *fleet, unsigned from)
{
    bool has_room = fleet->runs->len < fleet->slots;
    if (has_room) {
        const struct fleet_run run = {from, fleet->now + fleet->service_us};
        g_array_append_val(fleet->runs, run);
        return;
    }
    if (fleet_is_in_touch(fleet, from)) {
        g_array_append_val(fleet->rejections, fleet->now);
    }
    const struct fleet_message end = {
        .kind = FLEET_END, .to = from, .rejected = true};
    fleet_send(fleet, &end);
}

static inline void
fleet_handle_end(struct fleet *fleet, const struct fleet_message *message)
{
    struct fleet_node *node = &fleet->nodes[message->to];
    if (fleet->way == FLEET_COUNTER) {
        ch_slots_account_end(&node->account, 0,
                             message->rejected ? CH_SLOTS_REJECTED
                                               : CH_SLOTS_ENDED,
                             fleet->now);
        fleet_tell(fleet, message->to);
        return;
    }
    node->calls -= MIN(node->calls, 1);
    if (fleet->way == FLEET_LEASES) {
        fleet_use_leases(fleet, message->to);
    }
}

/* Delivers a message; one to a node that stands still comes later. */
static inline void
fleet_deliver(struct fleet *fleet, struct fleet_message *message)
{
    if (message->kind == FLEET_CALL) {
        fleet_handle_call(fleet, message->from);
    }
    else if (fleet->nodes[message->to].frozen) {
        message->at = fleet->now + FLEET_LEASE_CHECK_US;
        GList *link = fleet->messages->tail;
        while (link != NULL &&
               ((struct fleet_message *)link->data)->at > message->at) {
            link = link->prev;
        }
        g_queue_insert_after(fleet->messages, link, message);
        return;
    }
    else if (message->kind == FLEET_END) {
        if (fleet_is_running(fleet, message->to)) {
            fleet_handle_end(fleet, message);
        }
    }
    else if (!fleet_reaches(fleet, message->from, message->to)) {
        /* lost */
    }
    else if (fleet->way == FLEET_LEASES) {
        fleet_handle_lease(fleet, message);
    }
    else if (message->kind == FLEET_PERMISSION) {
        fleet_handle_permission(fleet, message);
    }
    else {
        fleet_handle_state(fleet, message);
    }
    g_free(message);
}

/* The upstream finishes calls. */
static inline void
fleet_finish_runs(struct fleet *fleet)
{
    fleet->used_us += (int64_t)fleet->runs->len * FLEET_STEP_US;
    for (guint i = fleet->runs->len; i > 0; i--) {
        const struct fleet_run run =
            g_array_index(fleet->runs, struct fleet_run, i - 1);
        if (run.until <= fleet->now) {
            const struct fleet_message end = {.kind = FLEET_END,
                                              .to = run.node};
            fleet_send(fleet, &end);
            g_array_remove_index_fast(fleet->runs, i - 1);
        }
    }
}

/* Runs for a time with so many wanted calls a second, at random nodes. */
static inline void
fleet_run(struct fleet *fleet, int64_t duration, double wanted_per_s)
{
    double wanted_per_step = wanted_per_s * FLEET_STEP_US / G_USEC_PER_SEC;
    for (int64_t end = fleet->now + duration; fleet->now < end;
         fleet->now += FLEET_STEP_US) {
        fleet_finish_runs(fleet);
        struct fleet_message *message = NULL;
        while ((message = g_queue_peek_head(fleet->messages)) != NULL &&
               message->at <= fleet->now) {
            fleet_deliver(fleet, g_queue_pop_head(fleet->messages));
        }
        for (double wanted = wanted_per_step; wanted > 0; wanted--) {
            unsigned from = (unsigned)g_rand_int_range(
                fleet->random, 0, (gint32)fleet->node_count);
            if (g_rand_double(fleet->random) < wanted &&
                fleet_is_running(fleet, from)) {
                fleet_want_call(fleet, from);
            }
        }
        if (fleet->way == FLEET_COUNTER && fleet->now % FLEET_TICK_US == 0) {
            fleet_tick(fleet);
        }
        if (fleet->now % FLEET_LEASE_CHECK_US == 0 &&
            fleet->way == FLEET_COUNTER) {
            fleet_poll(fleet);
        }
        for (unsigned i = 0;
             fleet->way == FLEET_LEASES &&
             fleet->now % FLEET_LEASE_CHECK_US == 0 && i < fleet->node_count;
             i++) {
            if (fleet_is_running(fleet, i)) {
                fleet_use_leases(fleet, i);
            }
        }
    }
}

/* The most rejections in any second. */
static inline unsigned
fleet_find_most_rejections(const struct fleet *fleet)
{
    unsigned most = 0;
    guint first = 0;
    for (guint i = 0; i < fleet->rejections->len; i++) {
        int64_t at = g_array_index(fleet->rejections, int64_t, i);
        while (g_array_index(fleet->rejections, int64_t, first) <=
               at - G_USEC_PER_SEC) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

#endif
