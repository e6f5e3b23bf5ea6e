/* Publishing of engine states by lease holders, to one another and to the
 * nodes. */

#include "decide/publisher.h"
#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A lease holder not heard of for this long no longer counts as a
     * publisher: another lease holder publishes to the nodes of its data
     * centre. Holders of other regions send a message each second. */
    PUBLISHER_SILENCE_US = 1700 * 1000,
    /* A smaller change of prefill backlog is not published. */
    PREFILL_BACKLOG_STEP_MS = 16,
};

/*
 * How often each audience gets a message: when something changed, when nothing
 * changed (a heartbeat), and with the full status, for changes whose loss went
 * unnoticed. Nodes route requests by the first, and take a lease holder for
 * lost after some missing heartbeats. Requests go to another region only when
 * their own has no capacity left, so a period of one second between regions
 * costs little and saves most of the volume on their link.
 */
static const struct {
    int change_ms;
    int heartbeat_ms;
    int full_ms;
} periods[AUDIENCE_COUNT] = {
    [AUDIENCE_NODES] = {100, 800, 16000},
    [AUDIENCE_LOCAL_HOLDERS] = {100, 400, 4000},
    [AUDIENCE_REMOTE_HOLDERS] = {1000, 1000, 8000},
};

/* ---- publishers and subscribers; lock held ---- */

/* See controller_internal.h. */
bool
controller_holds_lease(const struct centre_state *centre)
{
    uint64_t fencing_token = 0;
    return centre->was_held && ch_lease_is_held(centre->lease, &fencing_token);
}

/* See controller_internal.h. */
bool
controller_holds_any_lease(struct ch_controller *controller)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (controller_holds_lease(value)) {
            return true;
        }
    }
    return false;
}

/* The leases whose holders are known and were heard lately. */
static GArray *
list_leases(struct ch_controller *controller, int64_t now)
{
    const struct ch_settings *settings = controller->node->settings;
    GArray *leases =
        g_array_new(FALSE, FALSE, sizeof(struct ch_publisher_lease));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct centre_state *centre = value;
        bool own = controller_holds_lease(centre);
        if (!own && (centre->holder == NULL ||
                     now - centre->heard_at >= PUBLISHER_SILENCE_US ||
                     strcmp(centre->holder, settings->name) == 0)) {
            continue;
        }
        const struct ch_publisher_lease lease = {
            .data_centre = centre->data_centre,
            .holder =
                g_quark_from_string(own ? settings->name : centre->holder),
            .region = centre->region,
        };
        g_array_append_val(leases, lease);
    }
    return leases;
}

/* See controller_internal.h. */
char *
controller_find_publisher(struct ch_controller *controller, int64_t now)
{
    const struct ch_settings *settings = controller->node->settings;
    GArray *leases = list_leases(controller, now);
    GQuark publisher = ch_publisher_choose(
        (const struct ch_publisher_lease *)(void *)leases->data, leases->len,
        g_quark_from_string(settings->data_centre),
        g_quark_from_string(settings->region));
    g_array_free(leases, TRUE);
    return publisher == 0 ? NULL : g_strdup(g_quark_to_string(publisher));
}

/* See controller_internal.h. */
GPtrArray *
controller_list_other_holders(struct ch_controller *controller, bool near,
                              int64_t now)
{
    const char *self = controller->node->settings->name;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GArray *leases = list_leases(controller, now);
    for (guint i = 0; i < leases->len; i++) {
        const char *name = g_quark_to_string(
            g_array_index(leases, struct ch_publisher_lease, i).holder);
        if (strcmp(name, self) != 0 &&
            ch_peers_is_same_region(controller->node->peers, name) == near &&
            !g_ptr_array_find_with_equal_func(names, name, g_str_equal,
                                              NULL)) {
            g_ptr_array_add(names, g_strdup(name));
        }
    }
    g_array_free(leases, TRUE);
    return names;
}

struct subscriber_search {
    const GArray *leases;
    GQuark self;
    GPtrArray *names;
};

/* Adds a node to which this one publishes. */
static void
add_subscriber(void *data, const char *name, const char *data_centre,
               const char *region)
{
    const struct subscriber_search *search = data;
    GQuark publisher = ch_publisher_choose(
        (const struct ch_publisher_lease *)(void *)search->leases->data,
        search->leases->len, g_quark_from_string(data_centre),
        g_quark_from_string(region));
    if (publisher == search->self) {
        g_ptr_array_add(search->names, g_strdup(name));
    }
}

/* The nodes to which this lease holder publishes, itself included. */
static GPtrArray *
list_subscribers(struct ch_controller *controller, int64_t now)
{
    const char *self = controller->node->settings->name;
    const struct subscriber_search search = {
        .leases = list_leases(controller, now),
        .self = g_quark_from_string(self),
        .names = g_ptr_array_new_with_free_func(g_free),
    };
    g_ptr_array_add(search.names, g_strdup(self));
    ch_peers_foreach_other(controller->node->peers, add_subscriber,
                           (void *)&search);
    g_array_free((GArray *)search.leases, TRUE);
    return search.names;
}

/* ---- messages; lock held ---- */

/* Appends the names of an engine's models or adapters in a state. */
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

/* Lists the names of an engine's models or adapters in a state; the caller
 * frees the array, not the names. */
static char **
list_names(const struct controller_engine *engine, bool models,
           enum ch_item_state state, size_t *count)
{
    GPtrArray *names = g_ptr_array_new();
    add_names(engine, models, state, names);
    *count = names->len;
    return (char **)g_ptr_array_free(names, FALSE);
}

/*
 * The models that an engine is loading or has reserved memory for; the caller
 * frees the array, not the names.
 *
 * Load: changing demand, seen by the lease holders of all data centres at
 * once. Harm prevented: each of them frees memory for the same model, as no
 * engine is loading it yet; and callers that could wait for the model are
 * refused.
 */
static char **
list_pending_loads(const struct controller_engine *engine, int64_t now,
                   size_t *count)
{
    GPtrArray *names = g_ptr_array_new();
    add_names(engine, true, CH_ITEM_LOADING, names);
    if (engine->reserved_for != 0 && now < engine->reserved_until) {
        g_ptr_array_add(names,
                        (char *)g_quark_to_string(engine->reserved_for));
    }
    *count = names->len;
    return (char **)g_ptr_array_free(names, FALSE);
}

/* Creates the message of one engine's state; it points to the names of quarks.
 */
static Chestnuthitch__Wire__EngineState *
make_state(struct ch_controller *controller, struct controller_engine *engine,
           int64_t now)
{
    Chestnuthitch__Wire__EngineState *state =
        g_new(Chestnuthitch__Wire__EngineState, 1);
    chestnuthitch__wire__engine_state__init(state);
    if (engine->number == 0) {
        engine->number = ++controller->last_engine_number;
    }
    state->upstream = (char *)g_quark_to_string(engine->name);
    state->boot = engine->boot_id;
    state->models =
        list_names(engine, true, CH_ITEM_RESIDENT, &state->n_models);
    state->adapters =
        list_names(engine, false, CH_ITEM_RESIDENT, &state->n_adapters);
    state->coming = list_pending_loads(engine, now, &state->n_coming);
    state->running = engine->total_running;
    state->unread_ms = (uint32_t)(engine->total_prefill_backlog / 1000);
    state->busy =
        engine->from_peer ? engine->peer_busy : engine_is_busy(engine);
    state->number = engine->number;
    return state;
}

static void
free_state(void *data)
{
    Chestnuthitch__Wire__EngineState *state = data;
    g_free(state->models);
    g_free(state->adapters);
    g_free(state->coming);
    g_free(state);
}

/* A message for one audience. */
struct message {
    enum audience audience;
    bool full;
    bool is_reply;     /* to one node: others still need the changes */
    GPtrArray *states; /* Chestnuthitch__Wire__EngineState */
    GArray *numbers;   /* uint32_t, as in the next two */
    GArray *running;
    GArray *prefill_backlog_ms;
    GPtrArray *leases; /* Chestnuthitch__Wire__Right */
};

/* Whether an audience gets the engines of a data centre: nodes get those of
 * all data centres whose lease holder was heard lately, other lease holders
 * those that this node controls. */
static bool
covers_centre(const struct centre_state *centre, enum audience audience,
              int64_t now)
{
    return controller_holds_lease(centre) ||
           (audience == AUDIENCE_NODES && centre->holder != NULL &&
            now - centre->heard_at < PUBLISHER_SILENCE_US);
}

/* Whether an engine's load changed enough to be published to an audience. */
static bool
is_load_changed(const struct controller_engine *engine, enum audience audience)
{
    const struct published_load *published = &engine->published[audience];
    uint32_t prefill_backlog_ms =
        (uint32_t)(engine->total_prefill_backlog / 1000);
    return published->running != engine->total_running ||
           (published->prefill_backlog_ms == 0) != (prefill_backlog_ms == 0) ||
           MAX(published->prefill_backlog_ms, prefill_backlog_ms) -
                   MIN(published->prefill_backlog_ms, prefill_backlog_ms) >=
               PREFILL_BACKLOG_STEP_MS;
}

/* Adds an engine's load, identified by its number. */
static void
add_load(struct message *message, const struct controller_engine *engine)
{
    uint32_t prefill_backlog_ms =
        (uint32_t)(engine->total_prefill_backlog / 1000);
    g_array_append_val(message->numbers, engine->number);
    g_array_append_val(message->running, engine->total_running);
    g_array_append_val(message->prefill_backlog_ms, prefill_backlog_ms);
}

/* Adds an engine's state or load if it changed, or its state if the message
 * has the full status. */
static void
add_engine(struct ch_controller *controller, struct message *message,
           struct controller_engine *engine, int64_t now)
{
    enum audience audience = message->audience;
    unsigned bit = 1U << audience;
    bool with_state = message->full || (engine->unpublished & bit) != 0;
    if (with_state) {
        g_ptr_array_add(message->states, make_state(controller, engine, now));
    }
    else if (is_load_changed(engine, audience)) {
        add_load(message, engine);
    }
    else {
        return;
    }
    if (message->is_reply) {
        return;
    }
    engine->unpublished &= ~bit;
    engine->published[audience] = (struct published_load){
        engine->total_running,
        (uint32_t)(engine->total_prefill_backlog / 1000)};
}

/* Adds the lease of a data centre; it points to the names of the quark, the
 * settings or the centre state. */
static void
add_lease(const struct ch_controller *controller, struct message *message,
          struct centre_state *centre, int64_t now)
{
    uint64_t fencing_token = 0;
    bool own = ch_lease_is_held(centre->lease, &fencing_token);
    Chestnuthitch__Wire__Right *lease = g_new(Chestnuthitch__Wire__Right, 1);
    chestnuthitch__wire__right__init(lease);
    lease->data_centre = (char *)g_quark_to_string(centre->data_centre);
    lease->fence = own ? fencing_token : centre->fencing_token;
    lease->holder = own ? controller->node->settings->name : centre->holder;
    lease->age_ms = own ? 0 : (uint32_t)((now - centre->heard_at) / 1000);
    g_ptr_array_add(message->leases, lease);
}

/* Fills a message with what its audience gets now. */
static void
message_fill(struct ch_controller *controller, struct message *message,
             int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    message->states = g_ptr_array_new_with_free_func(free_state);
    message->leases = g_ptr_array_new_with_free_func(g_free);
    message->numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    message->running = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    message->prefill_backlog_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (covers_centre(value, message->audience, now)) {
            add_lease(controller, message, value, now);
        }
    }
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if ((engine->state_known || engine->from_peer) &&
            covers_centre(
                controller_get_centre(controller, engine->data_centre),
                message->audience, now)) {
            add_engine(controller, message, engine, now);
        }
    }
}

static void
message_clear(struct message *message)
{
    g_ptr_array_free(message->states, TRUE);
    g_ptr_array_free(message->leases, TRUE);
    g_array_free(message->numbers, TRUE);
    g_array_free(message->running, TRUE);
    g_array_free(message->prefill_backlog_ms, TRUE);
}

/* Sends a message to nodes. */
static void
message_send(struct ch_controller *controller, const struct message *message,
             uint64_t sequence, const GPtrArray *recipients)
{
    Chestnuthitch__Wire__Engines engines = WIRE(ENGINES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    const Chestnuthitch__Wire__Right *first =
        g_ptr_array_index(message->leases, 0);
    engines.data_centre = first->data_centre;
    engines.fence = first->fence;
    engines.whole = message->full;
    engines.audience = message->audience;
    engines.sequence = sequence;
    engines.n_engines = message->states->len;
    engines.engines =
        (Chestnuthitch__Wire__EngineState **)message->states->pdata;
    engines.n_rights = message->leases->len;
    engines.rights = (Chestnuthitch__Wire__Right **)message->leases->pdata;
    engines.n_numbers = message->numbers->len;
    engines.numbers = (uint32_t *)(void *)message->numbers->data;
    engines.n_running = message->running->len;
    engines.running = (uint32_t *)(void *)message->running->data;
    engines.n_unread_ms = message->prefill_backlog_ms->len;
    engines.unread_ms = (uint32_t *)(void *)message->prefill_backlog_ms->data;
    frame.body_case = WIRE(FRAME__BODY_ENGINES);
    frame.engines = &engines;
    for (guint i = 0; i < recipients->len; i++) {
        Chestnuthitch__Wire__Frame copy = frame;
        ch_peers_send(controller->node->peers,
                      g_ptr_array_index(recipients, i), &copy);
    }
}

/* ---- publishing; lock held ---- */

/* Lists the nodes of an audience. */
static GPtrArray *
list_audience(struct ch_controller *controller, enum audience audience,
              int64_t now)
{
    return audience == AUDIENCE_NODES
               ? list_subscribers(controller, now)
               : controller_list_other_holders(
                     controller, audience == AUDIENCE_LOCAL_HOLDERS, now);
}

/* Publishes to one audience what is due. */
static void
publish(struct ch_controller *controller, enum audience audience, int64_t now)
{
    struct publish_times *times = &controller->publishing[audience];
    if (now < times->next_change_at) {
        return;
    }
    struct message message = {
        .audience = audience,
        .full = now >= times->next_full_at,
    };
    message_fill(controller, &message, now);
    bool has_changes = message.states->len > 0 || message.numbers->len > 0;
    if (message.leases->len > 0 &&
        (has_changes || now >= times->next_heartbeat_at)) {
        GPtrArray *recipients = list_audience(controller, audience, now);
        times->sequence++;
        message_send(controller, &message, times->sequence, recipients);
        g_ptr_array_free(recipients, TRUE);
        times->next_change_at =
            now + INT64_C(1000) * periods[audience].change_ms;
        times->next_heartbeat_at =
            now + INT64_C(1000) * periods[audience].heartbeat_ms;
    }
    if (message.full) {
        times->next_full_at =
            now + ch_publisher_get_full_period(
                      INT64_C(1000) * periods[audience].full_ms,
                      g_hash_table_size(controller->engines));
    }
    message_clear(&message);
}

/* See controller_internal.h. */
void
controller_publish(struct ch_controller *controller, int64_t now)
{
    bool due = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    for (int i = 0; i < AUDIENCE_COUNT; i++) {
        due = due || now >= controller->publishing[i].next_change_at;
    }
    if (!due || !controller_holds_any_lease(controller)) {
        return;
    }
    g_hash_table_iter_init(&iterator, controller->centres);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (controller_holds_lease(value)) {
            controller_sum_loads(controller, value, now);
        }
    }
    for (int i = 0; i < AUDIENCE_COUNT; i++) {
        publish(controller, (enum audience)i, now);
    }
}

/* Handles the request of a node that missed a message: sends it the full
 * status, under the current sequence number. */
static void
handle_full_request(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    int64_t now = ch_client_get_time(controller->node->client);
    if (frame->engines_pull->audience >= AUDIENCE_COUNT) {
        return;
    }
    struct message message = {
        .audience = (enum audience)frame->engines_pull->audience,
        .full = true,
        .is_reply = true,
    };
    GPtrArray *recipients = g_ptr_array_new();
    g_ptr_array_add(recipients, frame->from);
    pthread_mutex_lock(&controller->lock);
    message_fill(controller, &message, now);
    if (message.leases->len > 0) {
        message_send(controller, &message,
                     controller->publishing[message.audience].sequence,
                     recipients);
    }
    pthread_mutex_unlock(&controller->lock);
    message_clear(&message);
    g_ptr_array_free(recipients, TRUE);
}

/* See controller_internal.h. */
void
controller_publish_init(struct ch_controller *controller)
{
    ch_peers_set_handler(controller->node->peers,
                         WIRE(FRAME__BODY_ENGINES_PULL), handle_full_request,
                         controller);
}
