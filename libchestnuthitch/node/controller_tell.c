/* What holders of rights tell of their engines, one another and the nodes. */

#include "decide/publisher.h"
#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A holder that was not heard for this long tells nobody: one of the
     * others tells the nodes of its data centre.  Far holders tell each
     * second. */
    TELLER_SILENT = 1700 * 1000,
    /* A prompt's reading time that changed by less is not news. */
    UNREAD_STEP_MS = 16,
};

/*
 * How often each audience is told: when there is news, when there is none, and
 * of all engines, for what was missed without a trace.  Nodes route by the
 * first, and hold a holder to be lost after some of the second.  Requests go
 * to another region only when their own has no room, so that a second between
 * regions costs little and saves most of what their link carried.
 */
static const struct {
    int news_ms;
    int quiet_ms;
    int whole_ms;
} periods[AUDIENCES] = {
    [AUDIENCE_NODES] = {100, 800, 16000},
    [AUDIENCE_NEAR] = {100, 400, 4000},
    [AUDIENCE_FAR] = {1000, 1000, 8000},
};

/* ---- who tells whom; lock held ---- */

/* See controller_internal.h. */
bool
controller_holds(const struct duty *duty)
{
    uint64_t fence = 0;
    return duty->was_held && ch_claim_held(duty->claim, &fence);
}

/* See controller_internal.h. */
bool
controller_holds_any(struct ch_controller *controller)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (controller_holds(value)) {
            return true;
        }
    }
    return false;
}

/* The rights whose holders are known and were heard lately. */
static GArray *
list_rights(struct ch_controller *controller, int64_t now)
{
    const struct ch_settings *settings = controller->node->settings;
    GArray *rights =
        g_array_new(FALSE, FALSE, sizeof(struct ch_publisher_lease));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct duty *duty = value;
        bool own = controller_holds(duty);
        if (!own &&
            (duty->holder == NULL || now - duty->heard >= TELLER_SILENT ||
             strcmp(duty->holder, settings->name) == 0)) {
            continue;
        }
        const struct ch_publisher_lease right = {
            .data_centre = duty->data_centre,
            .holder = g_quark_from_string(own ? settings->name : duty->holder),
            .region = duty->region,
        };
        g_array_append_val(rights, right);
    }
    return rights;
}

/* See controller_internal.h. */
char *
controller_teller(struct ch_controller *controller, int64_t now)
{
    const struct ch_settings *settings = controller->node->settings;
    GArray *rights = list_rights(controller, now);
    GQuark teller = ch_publisher_choose(
        (const struct ch_publisher_lease *)(void *)rights->data, rights->len,
        g_quark_from_string(settings->data_centre),
        g_quark_from_string(settings->region));
    g_array_free(rights, TRUE);
    return teller == 0 ? NULL : g_strdup(g_quark_to_string(teller));
}

/* See controller_internal.h. */
GPtrArray *
controller_other_holders(struct ch_controller *controller, bool near,
                         int64_t now)
{
    const char *self = controller->node->settings->name;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GArray *rights = list_rights(controller, now);
    for (guint i = 0; i < rights->len; i++) {
        const char *name = g_quark_to_string(
            g_array_index(rights, struct ch_publisher_lease, i).holder);
        if (strcmp(name, self) != 0 &&
            ch_peers_is_near(controller->node->peers, name) == near &&
            !g_ptr_array_find_with_equal_func(names, name, g_str_equal,
                                              NULL)) {
            g_ptr_array_add(names, g_strdup(name));
        }
    }
    g_array_free(rights, TRUE);
    return names;
}

struct listening {
    const GArray *rights;
    GQuark self;
    GPtrArray *names;
};

/* Adds a node that this one tells. */
static void
add_listener(void *data, const char *name, const char *data_centre,
             const char *region)
{
    const struct listening *listening = data;
    GQuark teller = ch_publisher_choose(
        (const struct ch_publisher_lease *)(void *)listening->rights->data,
        listening->rights->len, g_quark_from_string(data_centre),
        g_quark_from_string(region));
    if (teller == listening->self) {
        g_ptr_array_add(listening->names, g_strdup(name));
    }
}

/* The nodes that this holder tells, itself among them. */
static GPtrArray *
list_listeners(struct ch_controller *controller, int64_t now)
{
    const char *self = controller->node->settings->name;
    const struct listening listening = {
        .rights = list_rights(controller, now),
        .self = g_quark_from_string(self),
        .names = g_ptr_array_new_with_free_func(g_free),
    };
    g_ptr_array_add(listening.names, g_strdup(self));
    ch_peers_each_other(controller->node->peers, add_listener,
                        (void *)&listening);
    g_array_free((GArray *)listening.rights, TRUE);
    return listening.names;
}

/* ---- messages; lock held ---- */

/* Appends the names of an engine's items of a kind. */
static void
add_names(const struct controller_engine *engine, bool models,
          enum ch_item_state state, GPtrArray *names)
{
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        if ((item->model == 0) == models && item->state == state) {
            g_ptr_array_add(names, (char *)g_quark_to_string(item->name));
        }
    }
}

/* The names of an engine's items of a kind. */
static char **
names_of(const struct controller_engine *engine, bool models,
         enum ch_item_state state, size_t *count)
{
    GPtrArray *names = g_ptr_array_new();
    add_names(engine, models, state, names);
    *count = names->len;
    return (char **)g_ptr_array_free(names, FALSE);
}

/*
 * The models that an engine is loading, or makes room for.  Load: demand that
 * moves, seen by the holders of all data centres at once.  Harm prevented:
 * each of them makes room for the same model, as nothing is loading it yet;
 * and callers are refused who could wait for it.
 */
static char **
coming_of(const struct controller_engine *engine, int64_t now, size_t *count)
{
    GPtrArray *names = g_ptr_array_new();
    add_names(engine, true, CH_ITEM_LOADING, names);
    if (engine->pledged != 0 && now < engine->pledged_until) {
        g_ptr_array_add(names, (char *)g_quark_to_string(engine->pledged));
    }
    *count = names->len;
    return (char **)g_ptr_array_free(names, FALSE);
}

/* One engine's state as a message; the names are the quarks' own. */
static Chestnuthitch__Wire__EngineState *
make_state(struct ch_controller *controller, struct controller_engine *engine,
           int64_t now)
{
    Chestnuthitch__Wire__EngineState *state =
        g_new(Chestnuthitch__Wire__EngineState, 1);
    chestnuthitch__wire__engine_state__init(state);
    if (engine->number == 0) {
        engine->number = ++controller->last_number;
    }
    state->upstream = (char *)g_quark_to_string(engine->name);
    state->boot = engine->boot;
    state->models = names_of(engine, true, CH_ITEM_RESIDENT, &state->n_models);
    state->adapters =
        names_of(engine, false, CH_ITEM_RESIDENT, &state->n_adapters);
    state->coming = coming_of(engine, now, &state->n_coming);
    state->running = engine->load_running;
    state->unread_ms = (uint32_t)(engine->load_unread / 1000);
    state->busy =
        engine->mirrored ? engine->told_busy : engine_is_busy(engine);
    state->number = engine->number;
    return state;
}

/* Frees a state made by make_state. */
static void
free_state(void *data)
{
    Chestnuthitch__Wire__EngineState *state = data;
    g_free(state->models);
    g_free(state->adapters);
    g_free(state->coming);
    g_free(state);
}

/* What is put together for one audience. */
struct message {
    enum audience audience;
    bool whole;
    bool answer;       /* to one node alone: news stays news to the others */
    GPtrArray *states; /* Chestnuthitch__Wire__EngineState */
    GArray *numbers;   /* uint32_t, like the next two */
    GArray *running;
    GArray *unread;
    GPtrArray *rights; /* Chestnuthitch__Wire__Right */
};

/* Whether an audience is to know of the engines of a data centre: nodes of all
 * whose holder is heard, other holders of this one's own. */
static bool
is_told_of(const struct duty *duty, enum audience audience, int64_t now)
{
    return controller_holds(duty) ||
           (audience == AUDIENCE_NODES && duty->holder != NULL &&
            now - duty->heard < TELLER_SILENT);
}

/* Whether an engine's load is news to an audience. */
static bool
is_load_news(const struct controller_engine *engine, enum audience audience)
{
    const struct load *told = &engine->told[audience];
    uint32_t unread = (uint32_t)(engine->load_unread / 1000);
    return told->running != engine->load_running ||
           (told->unread_ms == 0) != (unread == 0) ||
           MAX(told->unread_ms, unread) - MIN(told->unread_ms, unread) >=
               UNREAD_STEP_MS;
}

/* Adds an engine's load by its number. */
static void
add_load(struct message *message, const struct controller_engine *engine)
{
    uint32_t unread = (uint32_t)(engine->load_unread / 1000);
    g_array_append_val(message->numbers, engine->number);
    g_array_append_val(message->running, engine->load_running);
    g_array_append_val(message->unread, unread);
}

/* Adds what is new of an engine, or all of it. */
static void
add_engine(struct ch_controller *controller, struct message *message,
           struct controller_engine *engine, int64_t now)
{
    enum audience audience = message->audience;
    unsigned bit = 1U << audience;
    bool state = message->whole || (engine->news & bit) != 0;
    if (state) {
        g_ptr_array_add(message->states, make_state(controller, engine, now));
    }
    else if (is_load_news(engine, audience)) {
        add_load(message, engine);
    }
    else {
        return;
    }
    if (message->answer) {
        return;
    }
    engine->news &= ~bit;
    engine->told[audience] = (struct load){
        engine->load_running, (uint32_t)(engine->load_unread / 1000)};
}

/* Adds a right, by its data centre's name and holder as they stand. */
static void
add_right(const struct ch_controller *controller, struct message *message,
          struct duty *duty, int64_t now)
{
    uint64_t fence = 0;
    bool own = ch_claim_held(duty->claim, &fence);
    Chestnuthitch__Wire__Right *right = g_new(Chestnuthitch__Wire__Right, 1);
    chestnuthitch__wire__right__init(right);
    right->data_centre = (char *)g_quark_to_string(duty->data_centre);
    right->fence = own ? fence : duty->fence;
    right->holder = own ? controller->node->settings->name : duty->holder;
    right->age_ms = own ? 0 : (uint32_t)((now - duty->heard) / 1000);
    g_ptr_array_add(message->rights, right);
}

/* Gathers what an audience is told. */
static void
message_fill(struct ch_controller *controller, struct message *message,
             int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    message->states = g_ptr_array_new_with_free_func(free_state);
    message->rights = g_ptr_array_new_with_free_func(g_free);
    message->numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    message->running = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    message->unread = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_told_of(value, message->audience, now)) {
            add_right(controller, message, value, now);
        }
    }
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if ((engine->known || engine->mirrored) &&
            is_told_of(controller_duty(controller, engine->data_centre),
                       message->audience, now)) {
            add_engine(controller, message, engine, now);
        }
    }
}

/* Frees what was gathered. */
static void
message_clear(struct message *message)
{
    g_ptr_array_free(message->states, TRUE);
    g_ptr_array_free(message->rights, TRUE);
    g_array_free(message->numbers, TRUE);
    g_array_free(message->running, TRUE);
    g_array_free(message->unread, TRUE);
}

/* Sends what was gathered to nodes. */
static void
message_send(struct ch_controller *controller, const struct message *message,
             uint64_t sequence, const GPtrArray *to)
{
    Chestnuthitch__Wire__Engines engines = WIRE(ENGINES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    const Chestnuthitch__Wire__Right *first =
        g_ptr_array_index(message->rights, 0);
    engines.data_centre = first->data_centre;
    engines.fence = first->fence;
    engines.whole = message->whole;
    engines.audience = message->audience;
    engines.sequence = sequence;
    engines.n_engines = message->states->len;
    engines.engines =
        (Chestnuthitch__Wire__EngineState **)message->states->pdata;
    engines.n_rights = message->rights->len;
    engines.rights = (Chestnuthitch__Wire__Right **)message->rights->pdata;
    engines.n_numbers = message->numbers->len;
    engines.numbers = (uint32_t *)(void *)message->numbers->data;
    engines.n_running = message->running->len;
    engines.running = (uint32_t *)(void *)message->running->data;
    engines.n_unread_ms = message->unread->len;
    engines.unread_ms = (uint32_t *)(void *)message->unread->data;
    frame.body_case = WIRE(FRAME__BODY_ENGINES);
    frame.engines = &engines;
    for (guint i = 0; i < to->len; i++) {
        Chestnuthitch__Wire__Frame copy = frame;
        ch_peers_send(controller->node->peers, g_ptr_array_index(to, i),
                      &copy);
    }
}

/* ---- telling; lock held ---- */

/* Whom an audience is, now. */
static GPtrArray *
list_audience(struct ch_controller *controller, enum audience audience,
              int64_t now)
{
    return audience == AUDIENCE_NODES
               ? list_listeners(controller, now)
               : controller_other_holders(controller,
                                          audience == AUDIENCE_NEAR, now);
}

/* Tells one audience what is due. */
static void
tell(struct ch_controller *controller, enum audience audience, int64_t now)
{
    struct tell_times *times = &controller->telling[audience];
    if (now < times->next) {
        return;
    }
    struct message message = {
        .audience = audience,
        .whole = now >= times->next_whole,
    };
    message_fill(controller, &message, now);
    bool news = message.states->len > 0 || message.numbers->len > 0;
    if (message.rights->len > 0 && (news || now >= times->next_quiet)) {
        GPtrArray *to = list_audience(controller, audience, now);
        times->sequence++;
        message_send(controller, &message, times->sequence, to);
        g_ptr_array_free(to, TRUE);
        times->next = now + INT64_C(1000) * periods[audience].news_ms;
        times->next_quiet = now + INT64_C(1000) * periods[audience].quiet_ms;
    }
    if (message.whole) {
        times->next_whole = now + INT64_C(1000) * periods[audience].whole_ms;
    }
    message_clear(&message);
}

/* See controller_internal.h. */
void
controller_tell(struct ch_controller *controller, int64_t now)
{
    bool due = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    for (int i = 0; i < AUDIENCES; i++) {
        due = due || now >= controller->telling[i].next;
    }
    if (!due || !controller_holds_any(controller)) {
        return;
    }
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (controller_holds(value)) {
            controller_sum_loads(controller, value, now);
        }
    }
    for (int i = 0; i < AUDIENCES; i++) {
        tell(controller, (enum audience)i, now);
    }
}

/* A node missed something: it is told all, at the sequence of now. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    int64_t now = ch_client_now(controller->node->client);
    if (frame->engines_pull->audience >= AUDIENCES) {
        return;
    }
    struct message message = {
        .audience = (enum audience)frame->engines_pull->audience,
        .whole = true,
        .answer = true,
    };
    GPtrArray *to = g_ptr_array_new();
    g_ptr_array_add(to, frame->from);
    pthread_mutex_lock(&controller->lock);
    message_fill(controller, &message, now);
    if (message.rights->len > 0) {
        message_send(controller, &message,
                     controller->telling[message.audience].sequence, to);
    }
    pthread_mutex_unlock(&controller->lock);
    message_clear(&message);
    g_ptr_array_free(to, TRUE);
}

/* See controller_internal.h. */
void
controller_tell_init(struct ch_controller *controller)
{
    ch_peers_handle(controller->node->peers, WIRE(FRAME__BODY_ENGINES_PULL),
                    handle_pull, controller);
}
