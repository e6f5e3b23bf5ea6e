/* Rights to order engines, and what their holders and the other nodes tell one
 * another. */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    TICK = 100 * 1000,
    /* A holder tells of changes no more often than this, and of all its
     * engines this often, for nodes that missed a message. */
    TELL = 200 * 1000,
    TELL_WHOLE = 2000 * 1000,
    /*
     * The same to nodes of other regions, whose requests come here only when
     * their own region has no room: a second is the pause after which they
     * look again.  With the periods above, what holders told the other region
     * was most of what the link between them carried.  It is told also when
     * nothing is new, for HOLDER_SILENT.
     */
    TELL_FAR = 1000 * 1000,
    TELL_WHOLE_FAR = 8 * 1000 * 1000,
    /* What requests ask for is told this often. */
    DEMAND_PERIOD = 250 * 1000,
    ARRANGE_PERIOD = 250 * 1000,
    /* A holder that told nothing for this long may be gone: three messages.
     * Asking for its right in vain costs two calls. */
    HOLDER_SILENT = 2500 * 1000,
    /* The next in order tries this much later, so that they do not all ask the
     * service at once. */
    TRY_STEP = 700 * 1000,
    /* Nodes of other data centres try after those of the own one. */
    TRY_FOREIGN = 2500 * 1000,
    /* The service that keeps the rights is away when it did not renew one for
     * this long: it renews each 0.7 s. */
    SERVICE_AWAY = 1000 * 1000,
    /* Two orders take different times on their way, so that the second load
     * may begin sooner after the first than it was ordered. */
    LOADS_MARGIN = 500 * 1000,
    /* An adapter that cannot be loaded within this is looked for elsewhere. */
    PREPARE_LIMIT = 500 * 1000,
};

/* Of the weight store's rate, what is used. */
static const double LOADS_PART = 0.9;

/* ---- duties ---- */

/* See controller_internal.h. */
struct duty *
controller_duty(struct ch_controller *controller, GQuark data_centre)
{
    gpointer key = GUINT_TO_POINTER(data_centre);
    struct duty *duty = g_hash_table_lookup(controller->duties, key);
    if (duty != NULL) {
        return duty;
    }
    const struct ch_settings *settings = controller->node->settings;
    g_autofree char *name =
        g_strconcat("orders/", g_quark_to_string(data_centre), NULL);
    duty = g_new0(struct duty, 1);
    duty->data_centre = data_centre;
    duty->claim = ch_claim_new(controller->node, name,
                               (int64_t)settings->lease_ms * 1000);
    duty->heard = ch_client_now(controller->node->client) - HOLDER_SILENT;
    ch_window_init(&duty->loads,
                   (int64_t)(settings->load_window_s * G_USEC_PER_SEC) +
                       LOADS_MARGIN);
    g_hash_table_insert(controller->duties, key, duty);
    return duty;
}

/* Frees a duty. */
static void
free_duty(void *data)
{
    struct duty *duty = data;
    ch_claim_free(duty->claim);
    ch_window_clear(&duty->loads);
    g_free(duty->holder);
    g_free(duty);
}

/* Orders names by their weight for a key, the highest first. */
static gint
by_weight(gconstpointer a, gconstpointer b, gpointer key)
{
    uint64_t of = *(const uint64_t *)key;
    uint64_t first = ch_hash_pair(of, ch_hash_string(*(char *const *)a));
    uint64_t second = ch_hash_pair(of, ch_hash_string(*(char *const *)b));
    return (first < second) - (first > second);
}

/* This node's place among those that may take the duty; *foreign: they are of
 * other data centres. */
static guint
rank_of(const struct ch_controller *controller, const struct duty *duty,
        bool *foreign)
{
    const struct ch_settings *settings = controller->node->settings;
    const char *centre = g_quark_to_string(duty->data_centre);
    uint64_t key = ch_hash_string(centre);
    GPtrArray *near = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *far = g_ptr_array_new_with_free_func(g_free);
    ch_peers_others(controller->node->peers, near, far);
    *foreign = strcmp(centre, settings->data_centre) != 0;
    for (guint i = 0; *foreign && i < far->len; i++) {
        g_ptr_array_add(near, g_strdup(g_ptr_array_index(far, i)));
    }
    g_ptr_array_add(near, g_strdup(settings->name));
    g_ptr_array_sort_with_data(near, by_weight, &key);
    guint rank = 0;
    while (strcmp(g_ptr_array_index(near, rank), settings->name) != 0) {
        rank++;
    }
    g_ptr_array_free(near, TRUE);
    g_ptr_array_free(far, TRUE);
    return rank;
}

/*
 * Whether this node is to try for the duty.  Load: the holder was killed or
 * cut off.  Harm prevented: nobody loads what requests need; all nodes asking
 * the service for it at once.
 */
static bool
is_wanted(const struct ch_controller *controller, const struct duty *duty,
          int64_t now)
{
    int64_t silent = now - duty->heard;
    if (controller->draining || controller->stopping ||
        silent < HOLDER_SILENT) {
        return false;
    }
    bool foreign = false;
    guint rank = rank_of(controller, duty, &foreign);
    int64_t wait =
        HOLDER_SILENT + (int64_t)rank * TRY_STEP + (foreign ? TRY_FOREIGN : 0);
    return silent >= wait;
}

/* See controller_internal.h. */
unsigned
controller_loads_in_window(const struct ch_controller *controller,
                           const struct ch_declaration *declaration)
{
    const struct ch_settings *settings = controller->node->settings;
    double rate = settings->loads_per_s;
    for (size_t i = 0; i < declaration->service_count; i++) {
        double stated = declaration->services[i].loads_per_s;
        rate = stated > 0 ? stated : rate;
    }
    double share = rate * settings->load_window_s * settings->load_overshoot /
                   MAX(g_hash_table_size(controller->duties), 1U);
    return 1 + (unsigned)(LOADS_PART * share);
}

/* What another holder has loaded from the weight store lately is not known. */
static void
init_loads(struct ch_controller *controller, struct duty *duty, int64_t now)
{
    struct ch_config *config =
        ch_config_keeper_current(controller->node->config);
    unsigned most = 1;
    if (config != NULL) {
        most = controller_loads_in_window(controller, config->declaration);
        ch_config_unref(config);
    }
    ch_window_assume_used(&duty->loads, most, now);
}

/* What changes when the right is got or lost. */
static void
note_right(struct ch_controller *controller, struct duty *duty, bool held,
           int64_t now)
{
    if (held == duty->was_held) {
        return;
    }
    duty->was_held = held;
    duty->held_since = now;
    if (held) {
        init_loads(controller, duty, now);
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre != duty->data_centre) {
            continue;
        }
        engine->known = false;
        engine->report_at = now;
        engine->news = true;
        engine_fail_waits(engine, CH_NOT_READY);
    }
}

/* ---- telling ---- */

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
make_state(const struct controller_engine *engine, int64_t now)
{
    Chestnuthitch__Wire__EngineState *state =
        g_new(Chestnuthitch__Wire__EngineState, 1);
    chestnuthitch__wire__engine_state__init(state);
    state->upstream = (char *)g_quark_to_string(engine->name);
    state->boot = engine->boot;
    state->models = names_of(engine, true, CH_ITEM_RESIDENT, &state->n_models);
    state->adapters =
        names_of(engine, false, CH_ITEM_RESIDENT, &state->n_adapters);
    state->coming = coming_of(engine, now, &state->n_coming);
    state->running = engine->load_running;
    state->unread_ms = (uint32_t)(engine->load_unread / 1000);
    state->busy = engine_is_busy(engine);
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

/* Sends a frame's body to every live node of this region, this one among them,
 * or to those of all others. */
static void
send_to_all(struct ch_controller *controller, bool near,
            const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_peers *peers = controller->node->peers;
    char **live = ch_peers_live(peers);
    for (size_t i = 0; live[i] != NULL; i++) {
        Chestnuthitch__Wire__Frame copy = *frame;
        if (ch_peers_is_near(peers, live[i]) == near) {
            ch_peers_send(peers, live[i], &copy);
        }
    }
    g_strfreev(live);
}

/* Adds the states of the engines that this node orders: of all, or of those
 * with news for nodes near or far. */
static void
add_states(struct ch_controller *controller, const struct duty *duty,
           bool whole, bool near, int64_t now, GPtrArray *states)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        bool *news = near ? &engine->news : &engine->news_far;
        if (engine->data_centre != duty->data_centre || !engine->known ||
            (!whole && !*news)) {
            continue;
        }
        g_ptr_array_add(states, make_state(engine, now));
        engine->news_far = engine->news_far || near;
        *news = false;
    }
}

/* Whether something is to be told now. */
static bool
is_due(const struct tell_times *times, int64_t now)
{
    return now >= MIN(times->next, times->next_whole);
}

/* Tells nodes near or far what changed, or all, of the engines that this node
 * orders. */
static void
tell(struct ch_controller *controller, struct duty *duty, uint64_t fence,
     bool near, int64_t now)
{
    struct tell_times *times = near ? &duty->near : &duty->far;
    bool whole = now >= times->next_whole;
    GPtrArray *states = g_ptr_array_new_with_free_func(free_state);
    add_states(controller, duty, whole, near, now, states);
    if (whole || states->len > 0 || !near) {
        Chestnuthitch__Wire__Engines engines = WIRE(ENGINES__INIT);
        engines.data_centre = (char *)g_quark_to_string(duty->data_centre);
        engines.fence = fence;
        engines.whole = whole;
        engines.n_engines = states->len;
        engines.engines = (Chestnuthitch__Wire__EngineState **)states->pdata;
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_ENGINES);
        frame.engines = &engines;
        send_to_all(controller, near, &frame);
        times->next = now + (near ? TELL : TELL_FAR);
    }
    if (whole) {
        times->next_whole = now + (near ? TELL_WHOLE : TELL_WHOLE_FAR);
    }
    g_ptr_array_free(states, TRUE);
}

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

/* Takes over what another holder tells of an engine, for decisions here. */
static void
mirror(struct controller_engine *engine, const struct ch_engine_told *told,
       int64_t now)
{
    engine_fail_waits(engine, CH_NOT_READY);
    g_array_set_size(engine->items, 0);
    for (size_t i = 0; i < told->model_count; i++) {
        engine_add_item(engine, told->models[i], 0, CH_ITEM_RESIDENT, now);
    }
    for (size_t i = 0; i < told->adapter_count; i++) {
        engine_add_item(engine, told->adapters[i],
                        controller_model_of(told->adapters[i]),
                        CH_ITEM_RESIDENT, now);
    }
    for (size_t i = 0; i < told->coming_count; i++) {
        struct item *item =
            engine_add_item(engine, told->coming[i], 0, CH_ITEM_LOADING, now);
        item->told = true;
    }
}

/* One engine of a message: for the decisions here, and for the router. */
static void
take_state(struct ch_controller *controller,
           const Chestnuthitch__Wire__EngineState *state, bool own,
           int64_t now)
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
    pthread_mutex_lock(&controller->lock);
    struct controller_engine *engine = g_hash_table_lookup(
        controller->engines, GUINT_TO_POINTER(told.upstream));
    if (engine != NULL && !own && engine->boot == told.boot) {
        mirror(engine, &told, now);
    }
    pthread_mutex_unlock(&controller->lock);
    controller->handlers->told(controller->data, &told);
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
    g_array_free(coming, TRUE);
}

/* A holder tells of its engines.  One with a lower fence than was heard has
 * lost its right. */
static void
handle_engines(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Engines *engines = frame->engines;
    int64_t now = ch_client_now(controller->node->client);
    uint64_t fence = 0;
    pthread_mutex_lock(&controller->lock);
    struct duty *duty =
        controller_duty(controller, g_quark_from_string(engines->data_centre));
    bool newest = engines->fence >= duty->fence;
    if (newest) {
        duty->fence = engines->fence;
        duty->heard = now;
        if (g_strcmp0(duty->holder, frame->from) != 0) {
            g_free(duty->holder);
            duty->holder = g_strdup(frame->from);
        }
    }
    bool own = ch_claim_held(duty->claim, &fence);
    pthread_mutex_unlock(&controller->lock);
    for (size_t i = 0; newest && i < engines->n_engines; i++) {
        take_state(controller, engines->engines[i], own, now);
    }
    if (newest) {
        controller->handlers->told_all(controller->data);
    }
}

/* ---- demand ---- */

/* What this node tells of its requests, gathered once for all holders. */
struct own_demand {
    GArray *models; /* struct ch_model_demand */
    GArray *loads;  /* struct ch_engine_load */
    GPtrArray *used;
};

/* Sends the demand to the holder of a data centre, with the loads of its
 * engines. */
static void
send_demand(struct ch_controller *controller, const struct own_demand *own,
            const char *holder, GQuark data_centre)
{
    guint count = own->models->len;
    g_autofree char **models = g_new0(char *, count + 1);
    g_autofree uint32_t *work = g_new0(uint32_t, count + 1);
    g_autofree uint32_t *backlog = g_new0(uint32_t, count + 1);
    for (guint i = 0; i < count; i++) {
        const struct ch_model_demand *model =
            &g_array_index(own->models, struct ch_model_demand, i);
        models[i] = (char *)g_quark_to_string(model->model);
        work[i] = model->work;
        backlog[i] = model->backlog;
    }
    Chestnuthitch__Wire__EngineLoad *loads =
        g_new0(Chestnuthitch__Wire__EngineLoad, own->loads->len + 1);
    Chestnuthitch__Wire__EngineLoad **pointers =
        g_new0(Chestnuthitch__Wire__EngineLoad *, own->loads->len + 1);
    size_t sent = 0;
    for (guint i = 0; i < own->loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(own->loads, struct ch_engine_load, i);
        if (load->data_centre != data_centre) {
            continue;
        }
        chestnuthitch__wire__engine_load__init(&loads[sent]);
        loads[sent].upstream = (char *)g_quark_to_string(load->upstream);
        loads[sent].running = load->running;
        loads[sent].unread_ms = (uint32_t)(load->unread / 1000);
        pointers[sent] = &loads[sent];
        sent++;
    }
    Chestnuthitch__Wire__Demand demand = WIRE(DEMAND__INIT);
    demand.n_models = count;
    demand.models = models;
    demand.n_work = count;
    demand.work = work;
    demand.n_backlog = count;
    demand.backlog = backlog;
    demand.n_used = own->used->len;
    demand.used = (char **)own->used->pdata;
    demand.n_loads = sent;
    demand.loads = pointers;
    demand.data_centre = (char *)g_quark_to_string(data_centre);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_DEMAND);
    frame.demand = &demand;
    ch_peers_send(controller->node->peers, holder, &frame);
    g_free(loads);
    g_free(pointers);
}

/* A data centre and the node that orders its engines. */
struct holder {
    GQuark data_centre;
    char *name;
};

/* The holders that are known; new strings. */
static GArray *
list_holders(struct ch_controller *controller)
{
    GArray *holders = g_array_new(FALSE, FALSE, sizeof(struct holder));
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&controller->lock);
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct duty *duty = value;
        if (duty->holder != NULL) {
            const struct holder holder = {duty->data_centre,
                                          g_strdup(duty->holder)};
            g_array_append_val(holders, holder);
        }
    }
    pthread_mutex_unlock(&controller->lock);
    return holders;
}

/* Tells the holders what this node's requests ask for, where they run, and
 * which adapters they use. */
static void
tell_demand(struct ch_controller *controller)
{
    struct own_demand own = {
        .models = g_array_new(FALSE, FALSE, sizeof(struct ch_model_demand)),
        .loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load)),
        .used = g_ptr_array_new_with_free_func(g_free),
    };
    controller->handlers->demand(controller->data, own.models, own.loads);
    controller->handlers->used(controller->data, own.used);
    GArray *holders = list_holders(controller);
    for (guint i = 0; i < holders->len; i++) {
        struct holder *holder = &g_array_index(holders, struct holder, i);
        send_demand(controller, &own, holder->name, holder->data_centre);
        g_free(holder->name);
    }
    g_array_free(holders, TRUE);
    g_array_free(own.models, TRUE);
    g_array_free(own.loads, TRUE);
    g_ptr_array_free(own.used, TRUE);
}

/* Notes that an adapter was used: "UPSTREAM MODEL/ADAPTER". */
static void
take_used(struct ch_controller *controller, const char *text, int64_t now)
{
    const char *space = strchr(text, ' ');
    if (space == NULL) {
        return;
    }
    g_autofree char *name = g_strndup(text, (size_t)(space - text));
    struct controller_engine *engine = g_hash_table_lookup(
        controller->engines, GUINT_TO_POINTER(g_quark_try_string(name)));
    GQuark adapter = g_quark_try_string(space + 1);
    struct item *item =
        engine == NULL || adapter == 0 ? NULL : engine_item(engine, adapter);
    if (item != NULL) {
        item->used = now;
    }
}

/* A node tells what its requests ask for. */
static void
handle_demand(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    int64_t now = ch_client_now(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    controller_take_demand(controller, frame->from, frame->demand, now);
    for (size_t i = 0; i < frame->demand->n_used; i++) {
        take_used(controller, frame->demand->used[i], now);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* ---- adapters on request ---- */

/* See controller_internal.h. */
void
controller_answer(struct ch_controller *controller,
                  const struct adapter_wait *wait, enum ch_code code)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    Chestnuthitch__Wire__Refuse refuse = WIRE(REFUSE__INIT);
    if (code == CH_OK) {
        frame.body_case = WIRE(FRAME__BODY_DONE);
        frame.done = &done;
    }
    else {
        refuse.code = code;
        refuse.message = (char *)ch_code_meaning(code);
        frame.body_case = WIRE(FRAME__BODY_REFUSE);
        frame.refuse = &refuse;
    }
    ch_peers_reply(controller->node->peers, wait->from, wait->id, &frame);
}

/* A node asks for an adapter. */
static void
handle_prepare(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Prepare *prepare = frame->prepare;
    int64_t now = ch_client_now(controller->node->client);
    const struct adapter_wait wait = {
        .from = frame->from,
        .id = frame->id,
        .until = now + PREPARE_LIMIT,
    };
    uint64_t fence = 0;
    pthread_mutex_lock(&controller->lock);
    struct controller_engine *engine = g_hash_table_lookup(
        controller->engines,
        GUINT_TO_POINTER(g_quark_try_string(prepare->upstream)));
    struct duty *duty = engine == NULL
                            ? NULL
                            : controller_duty(controller, engine->data_centre);
    if (duty == NULL || !ch_claim_held(duty->claim, &fence)) {
        controller_answer(controller, &wait, CH_NOT_READY);
    }
    else {
        engine_prepare(engine, duty, g_quark_from_string(prepare->model),
                       g_quark_from_string(prepare->adapter), &wait, now);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* See controller.h. */
bool
ch_controller_has_holder(struct ch_controller *controller, GQuark data_centre)
{
    int64_t now = ch_client_now(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    const struct duty *duty = controller_duty(controller, data_centre);
    bool has = duty->holder != NULL && now - duty->heard < HOLDER_SILENT;
    pthread_mutex_unlock(&controller->lock);
    return has;
}

/* See controller.h. */
bool
ch_controller_prepare(struct ch_controller *controller, GQuark upstream,
                      GQuark data_centre, GQuark model, GQuark adapter,
                      void (*done)(void *data, enum ch_code code,
                                   const Chestnuthitch__Wire__Frame *),
                      void *data)
{
    pthread_mutex_lock(&controller->lock);
    const struct duty *duty = controller_duty(controller, data_centre);
    g_autofree char *holder = g_strdup(duty->holder);
    pthread_mutex_unlock(&controller->lock);
    if (holder == NULL) {
        return false;
    }
    Chestnuthitch__Wire__Prepare prepare = WIRE(PREPARE__INIT);
    prepare.upstream = (char *)g_quark_to_string(upstream);
    prepare.model = (char *)g_quark_to_string(model);
    prepare.adapter = (char *)g_quark_to_string(adapter);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_PREPARE);
    frame.prepare = &prepare;
    ch_peers_request(controller->node->peers, holder, &frame,
                     PREPARE_LIMIT + 100 * 1000, done, data);
    return true;
}

/* ---- the list ---- */

struct listing {
    struct ch_controller *controller;
    int64_t now;
};

/* Takes one upstream of the list.  Lock held. */
static void
take_host(void *data, const struct ch_host *host)
{
    const struct listing *listing = data;
    struct ch_controller *controller = listing->controller;
    gpointer key = GUINT_TO_POINTER(g_quark_from_string(host->name));
    struct controller_engine *engine =
        g_hash_table_lookup(controller->engines, key);
    if (host->kind != CH_HOST_ENGINE) {
        return;
    }
    if (engine == NULL || strcmp(engine->address, host->address) != 0) {
        engine = engine_new(controller, host);
        g_hash_table_replace(controller->engines, key, engine);
    }
    engine_listed(engine, host, listing->now);
    (void)controller_duty(controller, engine->data_centre);
}

/* Whether an engine is not listed any more; what waits there is told. */
static gboolean
is_unlisted(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    struct controller_engine *engine = value;
    if (!engine->listed) {
        engine_fail_waits(engine, CH_NO_UPSTREAM);
    }
    return !engine->listed;
}

/* See controller.h. */
void
ch_controller_changed(struct ch_controller *controller)
{
    const struct listing listing = {
        controller,
        ch_client_now(controller->node->client),
    };
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct controller_engine *)value)->listed = false;
    }
    ch_roster_each(controller->roster, take_host, (void *)&listing);
    g_hash_table_foreach_remove(controller->engines, is_unlisted, NULL);
    pthread_mutex_unlock(&controller->lock);
}

/* ---- the tick ---- */

/*
 * A stopping node gives its right up.  Load: hosts are replaced one after the
 * other while the key-value service is away.  Harm prevented: the right is
 * given up though nobody can take it, and no engine of the data centre is
 * ordered until the service is back.  So it is kept as long as it lasts, and
 * given up when the service answers.  Lock held.
 */
static void
give_up(struct ch_controller *controller, struct duty *duty)
{
    int64_t pause = (int64_t)controller->node->settings->lease_ms * 1000;
    if (duty->was_held && ch_claim_age(duty->claim) < SERVICE_AWAY) {
        ch_claim_give_up(duty->claim, pause);
    }
}

/* A duty's part of a tick.  Lock held. */
static void
tick_duty(struct ch_controller *controller, struct duty *duty, int64_t now)
{
    uint64_t fence = 0;
    ch_claim_step(duty->claim, is_wanted(controller, duty, now));
    bool held = ch_claim_held(duty->claim, &fence);
    note_right(controller, duty, held, now);
    if (!held) {
        return;
    }
    if (controller->draining) {
        give_up(controller, duty);
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == duty->data_centre) {
            engine_pump(engine, duty, now);
        }
    }
    if (now >= duty->next_arrange) {
        duty->next_arrange = now + ARRANGE_PERIOD;
        controller_arrange(controller, duty, now);
        controller_fill_places(controller, duty, now);
    }
    bool near = is_due(&duty->near, now);
    bool far = is_due(&duty->far, now);
    if (near || far) {
        controller_sum_loads(controller, duty, now);
    }
    if (near) {
        tell(controller, duty, fence, true, now);
    }
    if (far) {
        tell(controller, duty, fence, false, now);
    }
}

/* Every TICK. */
static void
tick(void *data)
{
    struct ch_controller *controller = data;
    int64_t now = ch_client_now(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        tick_duty(controller, value, now);
    }
    bool demand = now >= controller->next_demand;
    if (demand) {
        controller->next_demand = now + DEMAND_PERIOD;
    }
    pthread_mutex_unlock(&controller->lock);
    if (demand) {
        tell_demand(controller);
    }
    pthread_mutex_lock(&controller->lock);
    if (controller->stopping) {
        controller->jobs--;
        pthread_cond_broadcast(&controller->idle);
    }
    else {
        ch_timers_after(controller->node->timers, TICK, tick, controller);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* ---- status ---- */

/* See controller.h. */
void
ch_controller_status(struct ch_controller *controller, JsonBuilder *builder)
{
    int64_t now = ch_client_now(controller->node->client);
    json_builder_set_member_name(builder, "rights");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct duty *duty = value;
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "data_centre");
        json_builder_add_string_value(builder,
                                      g_quark_to_string(duty->data_centre));
        json_builder_set_member_name(builder, "holder");
        json_builder_add_string_value(
            builder, duty->holder == NULL ? "" : duty->holder);
        json_builder_set_member_name(builder, "fence");
        json_builder_add_int_value(builder, (int64_t)duty->fence);
        json_builder_set_member_name(builder, "heard_ms_ago");
        json_builder_add_int_value(builder, (now - duty->heard) / 1000);
        json_builder_end_object(builder);
    }
    pthread_mutex_unlock(&controller->lock);
    json_builder_end_array(builder);
}

/* ---- life ---- */

/* Frees an engine that left the table. */
static void
drop_engine(void *data)
{
    engine_unref(data);
}

/* A controller that knows no engines yet; node and roster outlive it. */
struct ch_controller *
ch_controller_new(struct ch_node *node, struct ch_roster *roster,
                  const struct ch_controller_handlers *handlers, void *data)
{
    struct ch_controller *controller = g_new0(struct ch_controller, 1);
    controller->node = node;
    controller->roster = roster;
    controller->handlers = handlers;
    controller->data = data;
    pthread_mutex_init(&controller->lock, NULL);
    pthread_cond_init(&controller->idle, NULL);
    controller->engines = g_hash_table_new_full(NULL, NULL, NULL, drop_engine);
    controller->duties = g_hash_table_new_full(NULL, NULL, NULL, free_duty);
    controller->demands = controller_demands_new();
    controller->smoothed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    ch_peers_handle(node->peers, WIRE(FRAME__BODY_ENGINES), handle_engines,
                    controller);
    ch_peers_handle(node->peers, WIRE(FRAME__BODY_PREPARE), handle_prepare,
                    controller);
    ch_peers_handle(node->peers, WIRE(FRAME__BODY_DEMAND), handle_demand,
                    controller);
    return controller;
}

/* Begins the tick. */
void
ch_controller_start(struct ch_controller *controller)
{
    controller->jobs = 1;
    ch_timers_after(controller->node->timers, TICK, tick, controller);
}

/* See controller.h.  The right goes only when what this node ordered last is
 * as long ago as there has to be between two holders. */
void
ch_controller_drain(struct ch_controller *controller)
{
    pthread_mutex_lock(&controller->lock);
    controller->draining = true;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        give_up(controller, value);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Ends the tick, and waits for orders and reports under way. */
void
ch_controller_stop(struct ch_controller *controller)
{
    pthread_mutex_lock(&controller->lock);
    controller->stopping = true;
    while (controller->jobs > 0) {
        pthread_cond_wait(&controller->idle, &controller->lock);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Frees it after its stop. */
void
ch_controller_free(struct ch_controller *controller)
{
    if (controller == NULL) {
        return;
    }
    g_hash_table_destroy(controller->engines);
    g_hash_table_destroy(controller->duties);
    g_hash_table_destroy(controller->demands);
    g_hash_table_destroy(controller->smoothed);
    pthread_mutex_destroy(&controller->lock);
    pthread_cond_destroy(&controller->idle);
    g_free(controller);
}
