/* What a node takes of what holders of rights tell it of engines. */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Something was missed: all is asked for again no more often than this. */
    PULL_PERIOD = 500 * 1000,
    /* What is kept of a teller that was not heard for this long goes. */
    TELLER_GONE = 10 * 1000 * 1000,
    /* Frames of one sender may be taken out of order by so many. */
    MOST_OVERTAKEN = 16,
    /* Engines that one teller may name; more are left out. */
    MOST_NUMBERS = 16384,
};

/* What one teller told of an engine. */
struct told_load {
    GQuark upstream;
    uint32_t running;
    uint32_t unread_ms;
};

/* What one node tells to one audience that this node is of. */
struct teller {
    uint64_t sequence;
    uint64_t missing; /* the one before it, not taken yet; 0: none */
    int64_t heard;
    int64_t pulled;
    GHashTable *loads; /* its number of an engine to struct told_load */
};

/* Frees what is kept of a teller. */
static void
free_teller(void *data)
{
    struct teller *teller = data;
    g_hash_table_destroy(teller->loads);
    g_free(teller);
}

/* ---- taking; lock held ---- */

/* The rights of a message: of a node of an earlier version, one. */
struct told_rights {
    Chestnuthitch__Wire__Right earlier;
    Chestnuthitch__Wire__Right *earlier_row;
    Chestnuthitch__Wire__Right **rows;
    size_t count;
};

/* Finds them. */
static void
find_rights(const Chestnuthitch__Wire__Frame *frame,
            struct told_rights *rights)
{
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    rights->rows = engines->rights;
    rights->count = engines->n_rights;
    if (engines->n_rights > 0 || engines->data_centre[0] == '\0') {
        return;
    }
    chestnuthitch__wire__right__init(&rights->earlier);
    rights->earlier.data_centre = engines->data_centre;
    rights->earlier.fence = engines->fence;
    rights->earlier.holder = frame->from;
    rights->earlier_row = &rights->earlier;
    rights->rows = &rights->earlier_row;
    rights->count = 1;
}

/* A right as a message has it.  One with a lower fence than was heard is lost
 * by its holder.  Whether it counts. */
static bool
take_right(struct duty *duty, const Chestnuthitch__Wire__Right *right,
           int64_t now)
{
    int64_t heard = now - (int64_t)right->age_ms * 1000;
    if (right->fence < duty->fence || right->holder[0] == '\0') {
        return false;
    }
    duty->heard = right->fence > duty->fence ? heard : MAX(duty->heard, heard);
    duty->fence = right->fence;
    if (g_strcmp0(duty->holder, right->holder) != 0) {
        g_free(duty->holder);
        duty->holder = g_strdup(right->holder);
    }
    return true;
}

/* What is taken from one message. */
struct taking {
    struct ch_controller *controller;
    const char *from;
    GHashTable *current; /* data centre to the holder's name */
    struct teller *teller;
    int64_t now;
};

/* Takes the rights, and keeps those that count. */
static void
take_rights(struct taking *taking, const Chestnuthitch__Wire__Frame *frame)
{
    struct told_rights rights;
    find_rights(frame, &rights);
    for (size_t i = 0; i < rights.count; i++) {
        struct duty *duty =
            controller_duty(taking->controller,
                            g_quark_from_string(rights.rows[i]->data_centre));
        if (take_right(duty, rights.rows[i], taking->now)) {
            g_hash_table_insert(taking->current,
                                GUINT_TO_POINTER(duty->data_centre),
                                rights.rows[i]->holder);
        }
    }
}

/* Whether what is told of an engine counts.  One that is not listed yet is
 * kept for when it is. */
static bool
is_current(const struct taking *taking, const struct controller_engine *engine)
{
    return engine == NULL ||
           g_hash_table_contains(taking->current,
                                 GUINT_TO_POINTER(engine->data_centre));
}

/* Whether this node is to learn what an engine of another holder does. */
static bool
is_others(const struct taking *taking, const struct controller_engine *engine)
{
    return strcmp(taking->from, taking->controller->node->settings->name) !=
               0 &&
           !controller_holds(
               controller_duty(taking->controller, engine->data_centre));
}

/* Takes over what another holder tells of an engine, for decisions here, and
 * to pass it on when it is the engine's own holder that tells. */
static void
mirror(const struct taking *taking, struct controller_engine *engine,
       const Chestnuthitch__Wire__EngineState *state)
{
    const char *holder = g_hash_table_lookup(
        taking->current, GUINT_TO_POINTER(engine->data_centre));
    engine_fail_waits(engine, CH_NOT_READY);
    g_array_set_size(engine->items, 0);
    for (size_t i = 0; i < state->n_models; i++) {
        engine_add_item(engine, g_quark_from_string(state->models[i]), 0,
                        CH_ITEM_RESIDENT, taking->now);
    }
    for (size_t i = 0; i < state->n_adapters; i++) {
        GQuark adapter = g_quark_from_string(state->adapters[i]);
        engine_add_item(engine, adapter, controller_model_of(adapter),
                        CH_ITEM_RESIDENT, taking->now);
    }
    for (size_t i = 0; i < state->n_coming; i++) {
        struct item *item =
            engine_add_item(engine, g_quark_from_string(state->coming[i]), 0,
                            CH_ITEM_LOADING, taking->now);
        item->told = true;
    }
    engine->mirrored = true;
    engine->told_busy = state->busy;
    if (strcmp(holder, taking->from) == 0) {
        engine->news |= 1U << AUDIENCE_NODES;
    }
}

/* Whether two numbers of a teller are of one engine; the later one counts. */
static gboolean
is_renumbered(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((struct told_load *)value)->upstream ==
           ((struct told_load *)data)->upstream;
}

/* Notes the number by which a teller names an engine, with its load. */
static void
take_number(struct teller *teller,
            const Chestnuthitch__Wire__EngineState *state)
{
    gpointer key = GUINT_TO_POINTER(state->number);
    struct told_load load = {
        .upstream = g_quark_from_string(state->upstream),
        .running = state->running,
        .unread_ms = state->unread_ms,
    };
    if (state->number == 0) {
        return;
    }
    struct told_load *known = g_hash_table_lookup(teller->loads, key);
    if (known == NULL) {
        g_hash_table_foreach_remove(teller->loads, is_renumbered, &load);
        if (g_hash_table_size(teller->loads) >= MOST_NUMBERS) {
            return;
        }
        known = g_new0(struct told_load, 1);
        g_hash_table_insert(teller->loads, key, known);
    }
    *known = load;
}

/* One engine's state.  Whether the router is to have it. */
static bool
take_state(const struct taking *taking,
           const Chestnuthitch__Wire__EngineState *state)
{
    struct controller_engine *engine = g_hash_table_lookup(
        taking->controller->engines,
        GUINT_TO_POINTER(g_quark_from_string(state->upstream)));
    if (!is_current(taking, engine)) {
        return false;
    }
    take_number(taking->teller, state);
    if (engine != NULL && engine->boot == state->boot &&
        is_others(taking, engine)) {
        mirror(taking, engine, state);
    }
    return true;
}

/* The loads of a message.  False: one of an engine that is not known by its
 * number. */
static bool
take_loads(const struct taking *taking,
           const Chestnuthitch__Wire__Engines *engines)
{
    size_t count =
        MIN(engines->n_numbers, MIN(engines->n_running, engines->n_unread_ms));
    bool known = count == engines->n_numbers;
    for (size_t i = 0; i < count; i++) {
        struct told_load *load = g_hash_table_lookup(
            taking->teller->loads, GUINT_TO_POINTER(engines->numbers[i]));
        if (load == NULL) {
            known = false;
            continue;
        }
        load->running = engines->running[i];
        load->unread_ms = engines->unread_ms[i];
    }
    return known;
}

/* All loads that the teller vouches for as of now: those that it left out are
 * as they were. */
static GArray *
list_loads(const struct taking *taking)
{
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, taking->teller->loads);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct told_load *told = value;
        struct controller_engine *engine = g_hash_table_lookup(
            taking->controller->engines, GUINT_TO_POINTER(told->upstream));
        if (engine == NULL || !is_current(taking, engine)) {
            continue;
        }
        const struct ch_engine_load load = {
            .upstream = told->upstream,
            .data_centre = engine->data_centre,
            .running = told->running,
            .unread = (int64_t)told->unread_ms * 1000,
        };
        g_array_append_val(loads, load);
        if (is_others(taking, engine)) {
            engine->load_running = load.running;
            engine->load_unread = load.unread;
        }
    }
    return loads;
}

/* For g_hash_table_foreach_remove. */
static gboolean
is_gone(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(int64_t *)data - ((struct teller *)value)->heard > TELLER_GONE;
}

/* What is kept of a teller; *fresh: it was not known. */
static struct teller *
need_teller(struct ch_controller *controller,
            const Chestnuthitch__Wire__Frame *frame, int64_t now, bool *fresh)
{
    g_autofree char *key =
        g_strdup_printf("%s %u", frame->from, frame->engines->audience);
    struct teller *teller = g_hash_table_lookup(controller->tellers, key);
    *fresh = teller == NULL;
    if (teller == NULL) {
        g_hash_table_foreach_remove(controller->tellers, is_gone, &now);
        teller = g_new0(struct teller, 1);
        teller->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(controller->tellers, g_steal_pointer(&key),
                            teller);
    }
    teller->heard = now;
    return teller;
}

/* How a message comes in a teller's order. */
enum order {
    ORDER_NEXT,
    ORDER_GAP,  /* some before it were not taken */
    ORDER_LATE, /* it was overtaken by one that was taken */
};

/* Notes a message's place in the order. */
static enum order
take_sequence(struct teller *teller,
              const Chestnuthitch__Wire__Engines *engines)
{
    uint64_t before = teller->sequence;
    uint64_t sequence = engines->sequence;
    if (sequence == 0 || engines->whole) {
        teller->missing = 0;
        teller->sequence = sequence;
        return ORDER_NEXT;
    }
    if (sequence == before + 1) {
        teller->sequence = sequence;
        return teller->missing == 0 ? ORDER_NEXT : ORDER_GAP;
    }
    if (sequence == teller->missing) {
        teller->missing = 0;
        return ORDER_NEXT;
    }
    if (sequence <= before && before - sequence < MOST_OVERTAKEN) {
        return ORDER_LATE;
    }
    teller->sequence = sequence;
    /* One that is missing may come yet: it was only overtaken. */
    bool overtaken = sequence == before + 2 && teller->missing == 0;
    teller->missing = before + 1;
    return overtaken ? ORDER_NEXT : ORDER_GAP;
}

/* Asks a teller for all that it knows. */
static void
pull(const struct taking *taking, uint32_t audience)
{
    if (taking->now - taking->teller->pulled < PULL_PERIOD) {
        return;
    }
    taking->teller->pulled = taking->now;
    Chestnuthitch__Wire__EnginesPull ask = WIRE(ENGINES_PULL__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    ask.audience = audience;
    frame.body_case = WIRE(FRAME__BODY_ENGINES_PULL);
    frame.engines_pull = &ask;
    ch_peers_send(taking->controller->node->peers, taking->from, &frame);
}

/* Takes a message for the decisions here; the loads that are to be passed to
 * the router, NULL: nothing of it counts.  Sets which states are. */
static GArray *
take_message(struct ch_controller *controller,
             const Chestnuthitch__Wire__Frame *frame, bool *passed)
{
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    struct taking taking = {
        .controller = controller,
        .from = frame->from,
        .current = g_hash_table_new(NULL, NULL),
        .now = ch_client_now(controller->node->client),
    };
    GArray *loads = NULL;
    bool fresh = false;
    taking.teller = need_teller(controller, frame, taking.now, &fresh);
    enum order order = take_sequence(taking.teller, engines);
    if (order != ORDER_LATE) {
        take_rights(&taking, frame);
        if (engines->whole) {
            g_hash_table_remove_all(taking.teller->loads);
        }
        for (size_t i = 0; i < engines->n_engines; i++) {
            passed[i] = take_state(&taking, engines->engines[i]);
        }
        bool known = take_loads(&taking, engines);
        if (!engines->whole && engines->sequence != 0 &&
            (fresh || order == ORDER_GAP || !known)) {
            pull(&taking, engines->audience);
        }
        loads = list_loads(&taking);
    }
    g_hash_table_destroy(taking.current);
    return loads;
}

/* ---- to the router; lock not held ---- */

/* The quarks of names. */
static GArray *
quarks_of(char **names, size_t count)
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
pass_state(struct ch_controller *controller,
           const Chestnuthitch__Wire__EngineState *state)
{
    GArray *models = quarks_of(state->models, state->n_models);
    GArray *adapters = quarks_of(state->adapters, state->n_adapters);
    GArray *coming = quarks_of(state->coming, state->n_coming);
    const struct ch_engine_told told = {
        .upstream = g_quark_from_string(state->upstream),
        .boot = state->boot,
        .models = (const GQuark *)(void *)models->data,
        .model_count = models->len,
        .adapters = (const GQuark *)(void *)adapters->data,
        .adapter_count = adapters->len,
        .coming = (const GQuark *)(void *)coming->data,
        .coming_count = coming->len,
        .running = state->running,
        .unread = (int64_t)state->unread_ms * 1000,
        .busy = state->busy,
    };
    controller->handlers->told(controller->data, &told);
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
    g_array_free(coming, TRUE);
}

/* A holder tells of engines. */
static void
handle_engines(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    bool *passed = g_new0(bool, engines->n_engines + 1);
    pthread_mutex_lock(&controller->lock);
    GArray *loads = take_message(controller, frame, passed);
    pthread_mutex_unlock(&controller->lock);
    for (size_t i = 0; loads != NULL && i < engines->n_engines; i++) {
        if (passed[i]) {
            pass_state(controller, engines->engines[i]);
        }
    }
    if (loads != NULL) {
        controller->handlers->loads(controller->data, loads);
        controller->handlers->told_all(controller->data);
        g_array_free(loads, TRUE);
    }
    g_free(passed);
}

/* See controller_internal.h. */
void
controller_hear_init(struct ch_controller *controller)
{
    controller->tellers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_teller);
    ch_peers_handle(controller->node->peers, WIRE(FRAME__BODY_ENGINES),
                    handle_engines, controller);
}
