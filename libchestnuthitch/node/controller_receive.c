/* Receiving the engine states that lease holders publish. */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* After a gap the full status is requested again, but no more often than
     * this. */
    FULL_REQUEST_PERIOD_US = 500 * 1000,
    /* The state of a publisher that was not heard of for this long is dropped.
     */
    PUBLISHER_RETENTION_US = 10 * 1000 * 1000,
    /* Frames of one sender may arrive out of order by this many. */
    MAX_REORDERED_MESSAGES = 16,
    /* Engines that one publisher may number; more are ignored. */
    MAX_NUMBERED_ENGINES = 16384,
};

/* Load of an engine as one publisher reported it. */
struct reported_load {
    GQuark upstream;
    uint32_t running;
    uint32_t prefill_backlog_ms;
};

/* What is known of one publisher for one audience. */
struct publisher {
    uint64_t sequence;
    uint64_t missing_sequence; /* the missing message before `sequence`, which
                                  may still arrive; 0: none */
    int64_t heard_at;
    int64_t full_requested_at;
    GHashTable *loads; /* engine number to struct reported_load */
};

static void
free_publisher(void *data)
{
    struct publisher *publisher = data;
    g_hash_table_destroy(publisher->loads);
    g_free(publisher);
}

/* ---- applying messages; lock held ---- */

/* The leases of a message; a node of an earlier version sends one, in fields
 * of the message itself. */
struct message_leases {
    Chestnuthitch__Wire__Right single;
    Chestnuthitch__Wire__Right *single_row;
    Chestnuthitch__Wire__Right **rows;
    size_t count;
};

/* Fills in the leases of a message; leases must outlive their use, as
 * leases->rows may point into it. */
static void
find_leases(const Chestnuthitch__Wire__Frame *frame,
            struct message_leases *leases)
{
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    leases->rows = engines->rights;
    leases->count = engines->n_rights;
    if (engines->n_rights > 0 || engines->data_centre[0] == '\0') {
        return;
    }
    chestnuthitch__wire__right__init(&leases->single);
    leases->single.data_centre = engines->data_centre;
    leases->single.fence = engines->fence;
    leases->single.holder = frame->from;
    leases->single_row = &leases->single;
    leases->rows = &leases->single_row;
    leases->count = 1;
}

/* Updates what is known of a lease from a message. A fencing token lower than
 * the known one means that the sender's holder has lost the lease. Returns
 * whether the message's lease is current. */
static bool
apply_lease(struct centre_state *centre,
            const Chestnuthitch__Wire__Right *lease, int64_t now)
{
    int64_t heard_at = now - (int64_t)lease->age_ms * 1000;
    if (lease->fence < centre->fencing_token || lease->holder[0] == '\0') {
        return false;
    }
    centre->heard_at = lease->fence > centre->fencing_token
                           ? heard_at
                           : MAX(centre->heard_at, heard_at);
    centre->fencing_token = lease->fence;
    if (g_strcmp0(centre->holder, lease->holder) != 0) {
        g_free(centre->holder);
        centre->holder = g_strdup(lease->holder);
    }
    return true;
}

/* Context for handling one message. */
struct message_context {
    struct ch_controller *controller;
    const char *from;
    GHashTable *current_holders; /* data centre to its lease holder's name, for
                                    current leases */
    struct publisher *publisher;
    int64_t now;
};

/* Updates the leases, and collects the current ones. */
static void
apply_leases(struct message_context *context,
             const Chestnuthitch__Wire__Frame *frame)
{
    struct message_leases leases;
    find_leases(frame, &leases);
    for (size_t i = 0; i < leases.count; i++) {
        struct centre_state *centre = controller_get_centre(
            context->controller,
            g_quark_from_string(leases.rows[i]->data_centre));
        if (apply_lease(centre, leases.rows[i], context->now)) {
            g_hash_table_insert(context->current_holders,
                                GUINT_TO_POINTER(centre->data_centre),
                                leases.rows[i]->holder);
        }
    }
}

/* Whether the state of an engine is to be used. An engine not listed yet is
 * used as well: its state is stored for when it is listed. */
static bool
is_current(const struct message_context *context,
           const struct controller_engine *engine)
{
    return engine == NULL ||
           g_hash_table_contains(context->current_holders,
                                 GUINT_TO_POINTER(engine->data_centre));
}

/* Whether to use the reported state of an engine for decisions here: another
 * node sent it, and this node does not hold the lease to order the engine. */
static bool
is_controlled_elsewhere(const struct message_context *context,
                        const struct controller_engine *engine)
{
    return strcmp(context->from, context->controller->node->settings->name) !=
               0 &&
           !controller_holds_lease(controller_get_centre(context->controller,
                                                         engine->data_centre));
}

/* Replaces an engine's items by those that another lease holder reports, for
 * decisions here. If the sender controls the engine, the state is published on
 * to the nodes. */
static void
apply_peer_state(const struct message_context *context,
                 struct controller_engine *engine,
                 const Chestnuthitch__Wire__EngineState *state)
{
    const char *holder = g_hash_table_lookup(
        context->current_holders, GUINT_TO_POINTER(engine->data_centre));
    engine_fail_waiters(engine, CH_NOT_READY);
    g_array_set_size(engine->items, 0);
    for (size_t i = 0; i < state->n_models; i++) {
        engine_add_item(engine, g_quark_from_string(state->models[i]), 0,
                        CH_ITEM_RESIDENT, context->now);
    }
    for (size_t i = 0; i < state->n_adapters; i++) {
        GQuark adapter = g_quark_from_string(state->adapters[i]);
        engine_add_item(engine, adapter, controller_get_adapter_model(adapter),
                        CH_ITEM_RESIDENT, context->now);
    }
    for (size_t i = 0; i < state->n_coming; i++) {
        struct item *item =
            engine_add_item(engine, g_quark_from_string(state->coming[i]), 0,
                            CH_ITEM_LOADING, context->now);
        item->from_peer = true;
    }
    engine->from_peer = true;
    engine->peer_busy = state->busy;
    if (strcmp(holder, context->from) == 0) {
        engine->unpublished |= 1U << AUDIENCE_NODES;
    }
}

/* For g_hash_table_foreach_remove: whether an earlier number stands for the
 * same engine as the later one. */
static gboolean
is_same_engine(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((struct reported_load *)value)->upstream ==
           ((struct reported_load *)data)->upstream;
}

/* Records the number that a publisher gives an engine, with its load. */
static void
record_number(struct publisher *publisher,
              const Chestnuthitch__Wire__EngineState *state)
{
    gpointer key = GUINT_TO_POINTER(state->number);
    struct reported_load load = {
        .upstream = g_quark_from_string(state->upstream),
        .running = state->running,
        .prefill_backlog_ms = state->unread_ms,
    };
    if (state->number == 0) {
        return;
    }
    struct reported_load *known = g_hash_table_lookup(publisher->loads, key);
    if (known == NULL) {
        g_hash_table_foreach_remove(publisher->loads, is_same_engine, &load);
        if (g_hash_table_size(publisher->loads) >= MAX_NUMBERED_ENGINES) {
            return;
        }
        known = g_new0(struct reported_load, 1);
        g_hash_table_insert(publisher->loads, key, known);
    }
    *known = load;
}

/* Applies one engine's state. Returns whether to pass it to the router. */
static bool
apply_state(const struct message_context *context,
            const Chestnuthitch__Wire__EngineState *state)
{
    struct controller_engine *engine = g_hash_table_lookup(
        context->controller->engines,
        GUINT_TO_POINTER(g_quark_from_string(state->upstream)));
    if (!is_current(context, engine)) {
        return false;
    }
    record_number(context->publisher, state);
    if (engine != NULL && engine->boot_id == state->boot &&
        is_controlled_elsewhere(context, engine)) {
        apply_peer_state(context, engine, state);
    }
    return true;
}

/* Applies the loads of a message. Returns false if an engine number is unknown
 * or the arrays differ in length. */
static bool
apply_loads(const struct message_context *context,
            const Chestnuthitch__Wire__Engines *engines)
{
    size_t count =
        MIN(engines->n_numbers, MIN(engines->n_running, engines->n_unread_ms));
    bool known = count == engines->n_numbers;
    for (size_t i = 0; i < count; i++) {
        struct reported_load *load = g_hash_table_lookup(
            context->publisher->loads, GUINT_TO_POINTER(engines->numbers[i]));
        if (load == NULL) {
            known = false;
            continue;
        }
        load->running = engines->running[i];
        load->prefill_backlog_ms = engines->unread_ms[i];
    }
    return known;
}

/* Lists all current loads of the publisher: those that a message leaves out
 * are unchanged. */
static GArray *
list_loads(const struct message_context *context)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, context->publisher->loads);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct reported_load *reported = value;
        struct controller_engine *engine =
            g_hash_table_lookup(context->controller->engines,
                                GUINT_TO_POINTER(reported->upstream));
        if (engine == NULL || !is_current(context, engine)) {
            continue;
        }
        const struct ch_engine_load load = {
            .upstream = reported->upstream,
            .data_centre = engine->data_centre,
            .running = reported->running,
            .prefill_backlog = (int64_t)reported->prefill_backlog_ms * 1000,
        };
        g_array_append_val(loads, load);
        if (is_controlled_elsewhere(context, engine)) {
            engine->total_running = load.running;
            engine->total_prefill_backlog = load.prefill_backlog;
        }
    }
    return loads;
}

/* For g_hash_table_foreach_remove; data is the current time. */
static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(int64_t *)data - ((struct publisher *)value)->heard_at >
           PUBLISHER_RETENTION_US;
}

/* Finds or creates the state of the sender; *is_new: it was created. */
static struct publisher *
get_publisher(struct ch_controller *controller,
              const Chestnuthitch__Wire__Frame *frame, int64_t now,
              bool *is_new)
{
    g_autofree char *key =
        g_strdup_printf("%s %u", frame->from, frame->engines->audience);
    struct publisher *publisher =
        g_hash_table_lookup(controller->publishers, key);
    *is_new = publisher == NULL;
    if (publisher == NULL) {
        g_hash_table_foreach_remove(controller->publishers, is_expired, &now);
        publisher = g_new0(struct publisher, 1);
        publisher->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(controller->publishers, g_steal_pointer(&key),
                            publisher);
    }
    publisher->heard_at = now;
    return publisher;
}

/* Position of a message in the sequence of its publisher. */
enum message_position {
    MESSAGE_IN_SEQUENCE,
    MESSAGE_AFTER_GAP, /* earlier messages are missing */
    MESSAGE_OVERTAKEN, /* a later message was already applied */
};

/* Updates the sequence of a publisher with a message. */
static enum message_position
update_sequence(struct publisher *publisher,
                const Chestnuthitch__Wire__Engines *engines)
{
    uint64_t last_sequence = publisher->sequence;
    uint64_t sequence = engines->sequence;
    if (sequence == 0 || engines->whole) {
        publisher->missing_sequence = 0;
        publisher->sequence = sequence;
        return MESSAGE_IN_SEQUENCE;
    }
    if (sequence == last_sequence + 1) {
        publisher->sequence = sequence;
        return publisher->missing_sequence == 0 ? MESSAGE_IN_SEQUENCE
                                                : MESSAGE_AFTER_GAP;
    }
    if (sequence == publisher->missing_sequence) {
        publisher->missing_sequence = 0;
        return MESSAGE_IN_SEQUENCE;
    }
    if (sequence <= last_sequence &&
        last_sequence - sequence < MAX_REORDERED_MESSAGES) {
        return MESSAGE_OVERTAKEN;
    }
    publisher->sequence = sequence;
    /* The missing message may still arrive, if it was only overtaken. */
    bool overtaken =
        sequence == last_sequence + 2 && publisher->missing_sequence == 0;
    publisher->missing_sequence = last_sequence + 1;
    return overtaken ? MESSAGE_IN_SEQUENCE : MESSAGE_AFTER_GAP;
}

/* Requests the full status from a publisher. */
static void
request_full_status(const struct message_context *context, uint32_t audience)
{
    if (context->now - context->publisher->full_requested_at <
        FULL_REQUEST_PERIOD_US) {
        return;
    }
    context->publisher->full_requested_at = context->now;
    Chestnuthitch__Wire__EnginesPull request = WIRE(ENGINES_PULL__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    request.audience = audience;
    frame.body_case = WIRE(FRAME__BODY_ENGINES_PULL);
    frame.engines_pull = &request;
    ch_peers_send(context->controller->node->peers, context->from, &frame);
}

/* Applies a message to the state here. Returns the loads to pass to the
 * router, which the caller frees, or NULL if the message was overtaken. Sets
 * for_router[i] for each engine state that the router is to get. */
static GArray *
apply_message(struct ch_controller *controller,
              const Chestnuthitch__Wire__Frame *frame, bool *for_router)
{
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    struct message_context context = {
        .controller = controller,
        .from = frame->from,
        .current_holders = g_hash_table_new(NULL, NULL),
        .now = ch_client_get_time(controller->node->client),
    };
    GArray *loads = NULL;
    bool is_new = false;
    context.publisher = get_publisher(controller, frame, context.now, &is_new);
    enum message_position position =
        update_sequence(context.publisher, engines);
    if (position != MESSAGE_OVERTAKEN) {
        apply_leases(&context, frame);
        if (engines->whole) {
            g_hash_table_remove_all(context.publisher->loads);
        }
        for (size_t i = 0; i < engines->n_engines; i++) {
            for_router[i] = apply_state(&context, engines->engines[i]);
        }
        bool known = apply_loads(&context, engines);
        if (!engines->whole && engines->sequence != 0 &&
            (is_new || position == MESSAGE_AFTER_GAP || !known)) {
            request_full_status(&context, engines->audience);
        }
        loads = list_loads(&context);
    }
    g_hash_table_destroy(context.current_holders);
    return loads;
}

/* ---- passing to the router; lock not held ---- */

static GArray *
make_quarks(char **names, size_t count)
{
    GArray *quarks = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < count; i++) {
        GQuark quark = g_quark_from_string(names[i]);
        g_array_append_val(quarks, quark);
    }
    return quarks;
}

/* Passes one engine's state to the router. */
static void
pass_state_to_router(struct ch_controller *controller,
                     const Chestnuthitch__Wire__EngineState *state)
{
    GArray *models = make_quarks(state->models, state->n_models);
    GArray *adapters = make_quarks(state->adapters, state->n_adapters);
    GArray *pending_loads = make_quarks(state->coming, state->n_coming);
    const struct ch_engine_status reported = {
        .upstream = g_quark_from_string(state->upstream),
        .boot_id = state->boot,
        .models = (const GQuark *)(void *)models->data,
        .model_count = models->len,
        .adapters = (const GQuark *)(void *)adapters->data,
        .adapter_count = adapters->len,
        .pending_loads = (const GQuark *)(void *)pending_loads->data,
        .pending_load_count = pending_loads->len,
        .running = state->running,
        .prefill_backlog = (int64_t)state->unread_ms * 1000,
        .busy = state->busy,
    };
    controller->handlers->engine_status(controller->data, &reported);
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
    g_array_free(pending_loads, TRUE);
}

/* Handles a message with engine states from a lease holder. */
static void
handle_engines(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    bool *for_router = g_new0(bool, engines->n_engines + 1);
    pthread_mutex_lock(&controller->lock);
    GArray *loads = apply_message(controller, frame, for_router);
    pthread_mutex_unlock(&controller->lock);
    for (size_t i = 0; loads != NULL && i < engines->n_engines; i++) {
        if (for_router[i]) {
            pass_state_to_router(controller, engines->engines[i]);
        }
    }
    if (loads != NULL) {
        controller->handlers->engine_loads(controller->data, loads);
        controller->handlers->status_complete(controller->data);
        g_array_free(loads, TRUE);
    }
    g_free(for_router);
}

/* See controller_internal.h. */
void
controller_receive_init(struct ch_controller *controller)
{
    controller->publishers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_publisher);
    ch_peers_set_handler(controller->node->peers, WIRE(FRAME__BODY_ENGINES),
                         handle_engines, controller);
}
