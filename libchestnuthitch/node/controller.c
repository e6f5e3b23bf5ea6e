/* Rights to order engines, and adapters on request. */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    TICK = 100 * 1000,
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
    g_autofree char *region =
        ch_settings_region(settings, g_quark_to_string(data_centre));
    duty->region = g_quark_from_string(region);
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

/* This node's place among those that may take the duty; *foreign: they are of
 * other data centres too. */
static size_t
rank_of(const struct ch_controller *controller, const struct duty *duty,
        bool *foreign)
{
    const char *centre = g_quark_to_string(duty->data_centre);
    *foreign = strcmp(centre, controller->node->settings->data_centre) != 0;
    return ch_peers_rank(controller->node->peers, ch_hash_string(centre),
                         *foreign ? NULL : centre, NULL);
}

/*
 * Whether this node is to try for the duty.  Load: the holder was killed or
 * cut off, or all nodes start at once.  Harm prevented: nobody loads what
 * requests need; all nodes asking the service for it at once; a node that
 * knows no other yet, and so finds itself the first in order, takes the duty
 * from a host that can do more.  A later start of all would then find the
 * right with one that is far down the order, and wait for its lease to run
 * out.
 */
static bool
is_wanted(const struct ch_controller *controller, const struct duty *duty,
          int64_t now)
{
    int64_t silent = now - duty->heard;
    if (controller->draining || controller->stopping ||
        silent < HOLDER_SILENT || !ch_peers_listed(controller->node->peers)) {
        return false;
    }
    bool foreign = false;
    size_t rank = rank_of(controller, duty, &foreign);
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
    ch_window_assume_full(&duty->loads, most, now);
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
        ch_roster_refresh(controller->roster);
        for (int i = 0; i < AUDIENCES; i++) {
            controller->telling[i].next_whole = now;
        }
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
        engine->mirrored = false;
        engine->report_at = now;
        engine->news = ALL_NEWS;
        engine_fail_waits(engine, CH_NOT_READY);
    }
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
    controller_tell(controller, now);
    pthread_mutex_unlock(&controller->lock);
    controller_demand_step(controller);
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

/* Names the nodes that order engines. */
static void
name_holders(void *data, GPtrArray *names)
{
    struct ch_controller *controller = data;
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&controller->lock);
    g_hash_table_iter_init(&iterator, controller->duties);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct duty *duty = value;
        if (duty->holder != NULL) {
            g_ptr_array_add(names, g_strdup(duty->holder));
        }
    }
    pthread_mutex_unlock(&controller->lock);
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
    controller->smoothed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    controller_demand_init(controller);
    controller_tell_init(controller);
    controller_hear_init(controller);
    ch_peers_handle(node->peers, WIRE(FRAME__BODY_PREPARE), handle_prepare,
                    controller);
    ch_roster_set_orderers(roster, name_holders, controller);
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
    g_hash_table_destroy(controller->used);
    g_hash_table_destroy(controller->tellers);
    g_hash_table_destroy(controller->smoothed);
    pthread_mutex_destroy(&controller->lock);
    pthread_cond_destroy(&controller->idle);
    g_free(controller);
}
