/* Leases to order engines, and loading of adapters on request. */

#include "node/controller_internal.h"
#include "node/path_manager.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    TICK_PERIOD_US = 100 * 1000,
    PLACEMENT_PERIOD_US = 250 * 1000,
    /* A lease holder not heard of for this long, three messages, may be gone.
     * An attempt to take its lease in vain costs two calls. */
    HOLDER_SILENCE_US = 2500 * 1000,
    /* Each node in rank order tries this much later than the one before, so
     * that they do not all call the key-value store at once. */
    LEASE_ATTEMPT_STEP_US = 700 * 1000,
    /* Nodes of other data centres try this much later than those of the data
     * centre itself. */
    OTHER_CENTRE_DELAY_US = 2500 * 1000,
    /* The key-value store counts as unavailable if it has not renewed a lease
     * for this long: leases are renewed every 0.7 s. */
    KV_UNAVAILABLE_US = 1000 * 1000,
    /* Added to the window in which loads are counted: two orders take
     * different times to arrive, so the second load may start sooner after the
     * first than their orders were apart. */
    LOAD_WINDOW_MARGIN_US = 500 * 1000,
    /* If an adapter cannot be loaded within this time, the request looks for
     * another engine. */
    PREPARE_TIMEOUT_US = 500 * 1000,
    /* A lease holder that is cut off from the engines for this long hands the
     * lease over. */
    CUT_HANDOVER_US = 2000 * 1000,
};

/* Part of the weight store's load rate that is used. */
static const double LOAD_RATE_SHARE = 0.9;

/* ---- state of a data centre, and its lease ---- */

/* See controller_internal.h. */
struct centre_state *
controller_get_centre(struct ch_controller *controller, GQuark data_centre)
{
    gpointer key = GUINT_TO_POINTER(data_centre);
    struct centre_state *centre =
        g_hash_table_lookup(controller->centres, key);
    if (centre != NULL) {
        return centre;
    }
    const struct ch_settings *settings = controller->node->settings;
    g_autofree char *name =
        g_strconcat("orders/", g_quark_to_string(data_centre), NULL);
    centre = g_new0(struct centre_state, 1);
    centre->data_centre = data_centre;
    g_autofree char *region =
        ch_settings_get_region(settings, g_quark_to_string(data_centre));
    centre->region = g_quark_from_string(region);
    centre->lease = ch_lease_new(controller->node, name,
                                 (int64_t)settings->lease_ms * 1000);
    centre->heard_at =
        ch_client_get_time(controller->node->client) - HOLDER_SILENCE_US;
    ch_window_init(&centre->load_window,
                   (int64_t)(settings->load_window_s * G_USEC_PER_SEC) +
                       LOAD_WINDOW_MARGIN_US);
    g_hash_table_insert(controller->centres, key, centre);
    return centre;
}

static void
free_centre(void *data)
{
    struct centre_state *centre = data;
    ch_lease_free(centre->lease);
    ch_window_clear(&centre->load_window);
    g_free(centre->holder);
    g_free(centre);
}

/* Returns this node's rank among the nodes that may take the lease;
 * *other_centres: these include nodes of other data centres. */
static size_t
find_rank(const struct ch_controller *controller,
          const struct centre_state *centre, bool *other_centres)
{
    const char *centre_name = g_quark_to_string(centre->data_centre);
    *other_centres =
        strcmp(centre_name, controller->node->settings->data_centre) != 0;
    return ch_peers_get_rank(controller->node->peers,
                             ch_hash_string(centre_name),
                             *other_centres ? NULL : centre_name, NULL);
}

/*
 * Whether this node should try to acquire the lease.
 *
 * Load: the lease holder was killed or cut off, or all nodes start at once.
 * Harm prevented: nobody loads what requests need; all nodes call the
 * key-value store at once; a node that does not know the others yet, and so
 * ranks itself first, takes the lease from a host with more capacity. After a
 * later restart of all nodes, the lease would still be held by a node of low
 * rank, and the others would wait for it to expire.
 */
static bool
should_acquire_lease(const struct ch_controller *controller,
                     const struct centre_state *centre, int64_t now)
{
    int64_t silence = now - centre->heard_at;
    if (controller->draining || controller->stopping ||
        ch_path_manager_get_cut_since(controller->node->paths) != 0 ||
        silence < HOLDER_SILENCE_US ||
        !ch_peers_has_list(controller->node->peers)) {
        return false;
    }
    bool other_centres = false;
    size_t rank = find_rank(controller, centre, &other_centres);
    int64_t delay = HOLDER_SILENCE_US + (int64_t)rank * LEASE_ATTEMPT_STEP_US +
                    (other_centres ? OTHER_CENTRE_DELAY_US : 0);
    return silence >= delay;
}

/* See controller_internal.h. */
unsigned
controller_get_max_loads(const struct ch_controller *controller,
                         const struct ch_declaration *declaration)
{
    const struct ch_settings *settings = controller->node->settings;
    double rate = settings->loads_per_s;
    for (size_t i = 0; i < declaration->service_count; i++) {
        double service_rate = declaration->services[i].loads_per_s;
        rate = service_rate > 0 ? service_rate : rate;
    }
    double share = rate * settings->load_window_s * settings->load_overshoot /
                   MAX(g_hash_table_size(controller->centres), 1U);
    return 1 + (unsigned)(LOAD_RATE_SHARE * share);
}

/* Assumes that the window is full: what the previous lease holder has loaded
 * from the weight store lately is not known. */
static void
assume_window_full(struct ch_controller *controller,
                   struct centre_state *centre, int64_t now)
{
    struct ch_config *config =
        ch_config_manager_get_current(controller->node->config);
    unsigned max_loads = 1;
    if (config != NULL) {
        max_loads = controller_get_max_loads(controller, config->declaration);
        ch_config_unref(config);
    }
    ch_window_assume_full(&centre->load_window, max_loads, now);
}

/* Resets the engine states after this node has acquired or lost the lease:
 * they must be read again, and waiters for adapters must ask the new holder.
 */
static void
record_lease_change(struct ch_controller *controller,
                    struct centre_state *centre, bool held, int64_t now)
{
    if (held == centre->was_held) {
        return;
    }
    centre->was_held = held;
    centre->held_since = now;
    if (held) {
        assume_window_full(controller, centre, now);
        ch_roster_refresh(controller->roster);
        for (int i = 0; i < AUDIENCE_COUNT; i++) {
            controller->publishing[i].next_full_at = now;
        }
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre != centre->data_centre) {
            continue;
        }
        engine->state_known = false;
        engine->from_peer = false;
        engine->next_report_at = now;
        engine->unpublished = ALL_AUDIENCES;
        engine_fail_waiters(engine, CH_NOT_READY);
    }
}

/* ---- adapters on request ---- */

/* See controller_internal.h. */
void
controller_reply_waiter(struct ch_controller *controller,
                        const struct adapter_waiter *waiter, enum ch_code code)
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
        refuse.message = (char *)ch_code_get_meaning(code);
        frame.body_case = WIRE(FRAME__BODY_REFUSE);
        frame.refuse = &refuse;
    }
    ch_peers_reply(controller->node->peers, waiter->from, waiter->request_id,
                   &frame);
}

/* Handles the request of a node to have an adapter loaded. */
static void
handle_prepare(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Prepare *prepare = frame->prepare;
    int64_t now = ch_client_get_time(controller->node->client);
    const struct adapter_waiter waiter = {
        .from = frame->from,
        .request_id = frame->id,
        .deadline = now + PREPARE_TIMEOUT_US,
    };
    uint64_t fencing_token = 0;
    pthread_mutex_lock(&controller->lock);
    struct controller_engine *engine = g_hash_table_lookup(
        controller->engines,
        GUINT_TO_POINTER(g_quark_try_string(prepare->upstream)));
    struct centre_state *centre =
        engine == NULL
            ? NULL
            : controller_get_centre(controller, engine->data_centre);
    if (centre == NULL || !ch_lease_is_held(centre->lease, &fencing_token)) {
        controller_reply_waiter(controller, &waiter, CH_NOT_READY);
    }
    else {
        engine_prepare_adapter(
            engine, centre, g_quark_from_string(prepare->model),
            g_quark_from_string(prepare->adapter), &waiter, now);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* See controller.h. */
bool
ch_controller_has_lease_holder(struct ch_controller *controller,
                               GQuark data_centre)
{
    int64_t now = ch_client_get_time(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    const struct centre_state *centre =
        controller_get_centre(controller, data_centre);
    bool has_holder =
        centre->holder != NULL && now - centre->heard_at < HOLDER_SILENCE_US;
    pthread_mutex_unlock(&controller->lock);
    return has_holder;
}

/* See controller.h. */
bool
ch_controller_prepare_adapter(struct ch_controller *controller,
                              GQuark upstream, GQuark data_centre,
                              GQuark model, GQuark adapter,
                              void (*done)(void *data, enum ch_code code,
                                           const Chestnuthitch__Wire__Frame *),
                              void *data)
{
    pthread_mutex_lock(&controller->lock);
    const struct centre_state *centre =
        controller_get_centre(controller, data_centre);
    g_autofree char *holder = g_strdup(centre->holder);
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
                     PREPARE_TIMEOUT_US + 100 * 1000, done, data);
    return true;
}

/* ---- the host list ---- */

struct refresh {
    struct ch_controller *controller;
    int64_t now;
};

/* Adds or updates the engine of one host in the list. Lock held. */
static void
apply_host(void *data, const struct ch_host *host)
{
    const struct refresh *refresh = data;
    struct ch_controller *controller = refresh->controller;
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
    engine_apply_host(engine, host, refresh->now);
    (void)controller_get_centre(controller, engine->data_centre);
}

/* Whether an engine is no longer listed; fails its waiters if so. */
static gboolean
fail_if_unlisted(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    struct controller_engine *engine = value;
    if (!engine->listed) {
        engine_fail_waiters(engine, CH_NO_UPSTREAM);
    }
    return !engine->listed;
}

/* See controller.h. */
void
ch_controller_refresh(struct ch_controller *controller)
{
    const struct refresh refresh = {
        controller,
        ch_client_get_time(controller->node->client),
    };
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((struct controller_engine *)value)->listed = false;
    }
    ch_roster_foreach(controller->roster, apply_host, (void *)&refresh);
    g_hash_table_foreach_remove(controller->engines, fail_if_unlisted, NULL);
    pthread_mutex_unlock(&controller->lock);
}

/* ---- periodic work ---- */

/* Until when the last order of a data centre that is under way may arrive:
 * time from now. */
static int64_t
get_orders_under_way(const struct ch_controller *controller,
                     const struct centre_state *centre, int64_t now)
{
    int64_t longest = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controller_engine *engine = value;
        if (engine->data_centre == centre->data_centre &&
            engine->order_in_flight) {
            longest = MAX(longest, engine->last_order_at +
                                       CH_CONTROLLER_CALL_TIMEOUT_US - now);
        }
    }
    return longest;
}

/*
 * Releases the lease because this node stops. Lock held.
 *
 * Load: hosts are replaced one after the other while the key-value store is
 * unavailable. Harm prevented: the lease is released though no node can
 * acquire it, and no engine of the data centre gets orders until the store is
 * back. So the node keeps the lease for as long as it lasts, and releases it
 * once the store answers.
 */
static void
release_lease(struct ch_controller *controller, struct centre_state *centre,
              int64_t now)
{
    int64_t handover_pause =
        (int64_t)controller->node->settings->lease_ms * 1000 +
        get_orders_under_way(controller, centre, now);
    if (centre->was_held &&
        ch_lease_get_renewal_age(centre->lease) < KV_UNAVAILABLE_US) {
        ch_lease_release(centre->lease, handover_pause);
    }
}

/*
 * Whether this node cannot order engines, as it is cut off from them. Load:
 * cuts of some seconds, of single nodes or of a whole data centre. Harm
 * prevented: no engine gets orders, and all nodes are told of loads that stand
 * still, while another node could do both. A handover takes some seconds
 * itself, so short cuts don't lead to one, nor do cuts of all nodes.
 */
static bool
must_hand_over(const struct ch_controller *controller, int64_t now)
{
    int64_t since = ch_path_manager_get_cut_since(controller->node->paths);
    return since != 0 && now - since > CUT_HANDOVER_US &&
           ch_path_manager_knows_relay(controller->node->paths);
}

/* Does the periodic work for one data centre. Lock held. */
static void
run_centre(struct ch_controller *controller, struct centre_state *centre,
           int64_t now)
{
    uint64_t fencing_token = 0;
    ch_lease_update(centre->lease,
                    should_acquire_lease(controller, centre, now));
    bool held = ch_lease_is_held(centre->lease, &fencing_token);
    record_lease_change(controller, centre, held, now);
    if (!held) {
        return;
    }
    if (controller->draining || must_hand_over(controller, now)) {
        release_lease(controller, centre, now);
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    size_t engine_count = 0;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == centre->data_centre) {
            engine_count++;
            engine_send_due(engine, centre, now);
        }
    }
    centre->engine_count = engine_count;
    if (now >= centre->next_placement_at) {
        centre->next_placement_at = now + PLACEMENT_PERIOD_US;
        controller_place_models(controller, centre, now);
        controller_preload_adapters(controller, centre, now);
    }
}

/* Runs every TICK_PERIOD_US. */
static void
run_periodic(void *data)
{
    struct ch_controller *controller = data;
    int64_t now = ch_client_get_time(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        run_centre(controller, value, now);
    }
    controller_publish(controller, now);
    pthread_mutex_unlock(&controller->lock);
    controller_send_demand(controller);
    pthread_mutex_lock(&controller->lock);
    if (controller->stopping) {
        controller->jobs--;
        pthread_cond_broadcast(&controller->idle);
    }
    else {
        ch_timers_add(controller->node->timers, TICK_PERIOD_US, run_periodic,
                      controller);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* ---- status ---- */

/* See controller.h. */
void
ch_controller_status(struct ch_controller *controller, JsonBuilder *builder)
{
    int64_t now = ch_client_get_time(controller->node->client);
    json_builder_set_member_name(builder, "rights");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&controller->lock);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct centre_state *centre = value;
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "data_centre");
        json_builder_add_string_value(builder,
                                      g_quark_to_string(centre->data_centre));
        json_builder_set_member_name(builder, "holder");
        json_builder_add_string_value(
            builder, centre->holder == NULL ? "" : centre->holder);
        json_builder_set_member_name(builder, "fence");
        json_builder_add_int_value(builder, (int64_t)centre->fencing_token);
        json_builder_set_member_name(builder, "heard_ms_ago");
        json_builder_add_int_value(builder, (now - centre->heard_at) / 1000);
        json_builder_end_object(builder);
    }
    pthread_mutex_unlock(&controller->lock);
    json_builder_end_array(builder);
}

/* ---- life cycle ---- */

/* Drops the table's reference. */
static void
release_engine(void *data)
{
    engine_unref(data);
}

/* Appends the names of the known lease holders, as new strings. */
static void
list_holders(void *data, GPtrArray *names)
{
    struct ch_controller *controller = data;
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&controller->lock);
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct centre_state *centre = value;
        if (centre->holder != NULL) {
            g_ptr_array_add(names, g_strdup(centre->holder));
        }
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Creates a controller that knows no engines yet; node and roster must outlive
 * it. */
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
    controller->engines =
        g_hash_table_new_full(NULL, NULL, NULL, release_engine);
    controller->centres = g_hash_table_new_full(NULL, NULL, NULL, free_centre);
    controller->average_demand =
        g_hash_table_new_full(NULL, NULL, NULL, g_free);
    controller_demand_init(controller);
    controller_publish_init(controller);
    controller_receive_init(controller);
    ch_peers_set_handler(node->peers, WIRE(FRAME__BODY_PREPARE),
                         handle_prepare, controller);
    ch_roster_set_lease_holders(roster, list_holders, controller);
    return controller;
}

/* Starts the periodic work. */
void
ch_controller_start(struct ch_controller *controller)
{
    controller->jobs = 1;
    ch_timers_add(controller->node->timers, TICK_PERIOD_US, run_periodic,
                  controller);
}

/* See controller.h. The lease is released only after the pause that must lie
 * between the last order of one lease holder and the first of the next. */
void
ch_controller_drain(struct ch_controller *controller)
{
    pthread_mutex_lock(&controller->lock);
    controller->draining = true;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        release_lease(controller, value,
                      ch_client_get_time(controller->node->client));
    }
    pthread_mutex_unlock(&controller->lock);
}

/* Stops the periodic work, and waits for orders and reports in flight. */
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

/* Must be called after ch_controller_stop(). */
void
ch_controller_free(struct ch_controller *controller)
{
    if (controller == NULL) {
        return;
    }
    g_hash_table_destroy(controller->engines);
    g_hash_table_destroy(controller->centres);
    g_hash_table_destroy(controller->node_demands);
    g_hash_table_destroy(controller->used_adapters);
    g_hash_table_destroy(controller->publishers);
    g_hash_table_destroy(controller->average_demand);
    pthread_mutex_destroy(&controller->lock);
    pthread_cond_destroy(&controller->idle);
    g_free(controller);
}
