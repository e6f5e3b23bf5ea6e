/* The homes on this node: one queue with exact counts for each upstream whose
 * home is here (see decide/), and the actions that it decides on. */

#include "node/homes_internal.h"

#include <string.h>

enum {
    /* Delay before a service that refused a connection is used again: services
     * send no reports that would show their recovery. */
    SERVICE_RETRY_DELAY_US = 1000 * 1000,
    /* Time after an adapter's load order in which the engine is asked for a
     * report at every tick: an adapter loads in milliseconds and a request
     * waits for it. */
    ADAPTER_REPORT_WINDOW_US = 300 * 1000,
};

/* A new empty list; home_apply_actions frees it. */
struct ch_actions
home_actions_new(void)
{
    return (struct ch_actions){
        .list = g_array_new(FALSE, TRUE, sizeof(struct ch_action)),
    };
}

/* Frees a ticket that is in no table. */
void
home_free_ticket(struct ticket *ticket)
{
    upstream_unref(ticket->upstream);
    g_free(ticket->from_node);
    g_free(ticket);
}

/* The local request of a ticket; NULL if the ticket is another node's or the
 * request has ended. */
static struct request *
find_local_request(const struct ch_homes *homes, const struct ticket *ticket)
{
    if (ticket->from_node != NULL) {
        return NULL;
    }
    return ch_table_get(homes->requests, ticket->enqueue_id);
}

/* Tells the ticket's entry node that the request may be sent. */
static void
apply_grant(struct ch_homes *homes, const struct ch_action *action,
            struct effects *effects)
{
    struct ticket *ticket = ch_table_get(homes->tickets, action->request_id);
    if (ticket == NULL) {
        return;
    }
    ticket->granted = true;
    ch_metrics_add_count(homes->node->client->metrics, CH_COUNT_GRANTS, 1);
    if (ticket->from_node != NULL) {
        effects_add_grant_frame(effects, ticket, action->request_id,
                                action->priority, homes);
        return;
    }
    struct request *request = find_local_request(homes, ticket);
    if (request != NULL) {
        request_handle_grant(homes, request, action->priority, effects);
    }
}

/* Tells the ticket's entry node that the request is refused. */
static void
apply_refuse(struct ch_homes *homes, const struct ch_action *action,
             int64_t now, struct effects *effects)
{
    struct ticket *ticket =
        ch_table_remove(homes->tickets, action->request_id);
    if (ticket == NULL) {
        return;
    }
    struct request *request = find_local_request(homes, ticket);
    ch_log(homes->node->client, CH_LOG_DEBUG, "home-refused",
           CH_F_STR("upstream", g_quark_to_string(ticket->upstream->name)),
           CH_F_INT("code", action->code), CH_F_STR("reason", action->message),
           CH_F_END);
    if (ticket->from_node != NULL) {
        effects_add_refuse_frame(effects, ticket, action->code,
                                 action->retry_after, action->message, homes);
    }
    else if (request != NULL) {
        request_handle_refusal(homes, request, action->code,
                               action->retry_after, action->message, now,
                               effects);
    }
    home_free_ticket(ticket);
}

/* Whether an item is a model, which is loaded at its full size from the weight
 * store, and not an adapter. */
static bool
is_model(GQuark item)
{
    return strchr(g_quark_to_string(item), '/') == NULL;
}

/*
 * Takes a load from this node's share of the weight store's rate; false when
 * none is left.  The shares keep all nodes together within the store's rate
 * without asking each other; above that rate every load gets slower.
 */
static bool
take_load(struct ch_homes *homes, GQuark item, int64_t now)
{
    if (!is_model(item)) {
        return true;
    }
    return ch_token_bucket_take(&homes->load_budget, 1.0, now);
}

/* Counts the models that are being loaded in this node's region, as far as
 * this node knows: they share one weight store. */
static unsigned
count_running_loads(const struct ch_homes *homes)
{
    unsigned loads = 0;
    for (size_t i = 0; i < homes->fleet.count; i++) {
        const struct ch_upstream_view *view = &homes->fleet.upstreams[i];
        if (view->region != homes->fleet.region) {
            continue;
        }
        for (guint k = 0; k < view->loading->len; k++) {
            loads +=
                is_model(g_array_index(view->loading, struct ch_item, k).name);
        }
    }
    return loads;
}

/* Updates the number of loads that may start now: within this node's share of
 * the rate, and no more in parallel than the store serves at full speed. */
void
homes_update_loads_left(struct ch_homes *homes, int64_t now)
{
    unsigned parallel = homes->node->settings->max_parallel_loads;
    unsigned running_loads = count_running_loads(homes);
    unsigned load_budget =
        (unsigned)ch_token_bucket_level(&homes->load_budget, now);
    homes->fleet.store_loads_left =
        running_loads < parallel ? MIN(load_budget, parallel - running_loads)
                                 : 0;
}

/* Passes an order to the ledger, or tells the home that the order must
 * wait. */
static void
apply_order(struct ch_homes *homes, struct upstream *upstream,
            const struct ch_action *action, int64_t now,
            struct effects *effects)
{
    if (action->kind == CH_ACTION_LOAD &&
        !take_load(homes, action->item, now)) {
        struct ch_actions retry_actions = home_actions_new();
        /* Handled like a write conflict: the home retries a tick later. */
        ch_home_handle_failed_order(upstream->home, action->item, action->kind,
                                    CH_KV_CONFLICT, now, &retry_actions);
        home_apply_actions(homes, upstream, &retry_actions, now, effects);
        return;
    }
    if (action->kind == CH_ACTION_LOAD && !is_model(action->item)) {
        upstream->fast_reports_until = now + ADAPTER_REPORT_WINDOW_US;
    }
    effects_add_order(effects, upstream, action->kind, action->item,
                      action->memory_mb);
}

void
home_apply_actions(struct ch_homes *homes, struct upstream *upstream,
                   struct ch_actions *actions, int64_t now,
                   struct effects *effects)
{
    for (guint i = 0; i < actions->list->len; i++) {
        const struct ch_action *action =
            &g_array_index(actions->list, struct ch_action, i);
        switch (action->kind) {
        case CH_ACTION_GRANT:
            apply_grant(homes, action, effects);
            break;
        case CH_ACTION_REFUSE:
            apply_refuse(homes, action, now, effects);
            break;
        case CH_ACTION_LOAD:
        case CH_ACTION_UNLOAD:
            apply_order(homes, upstream, action, now, effects);
            break;
        }
    }
    g_array_free(actions->list, TRUE);
    home_refresh_view(homes, upstream, now);
}

/* Copies the home's own state into the fleet view. */
void
home_refresh_view(struct ch_homes *homes, struct upstream *upstream,
                  int64_t now)
{
    struct ch_upstream_view *view = upstream_list_get_view(homes, upstream);
    if (view == NULL || upstream->home == NULL) {
        return;
    }
    uint16_t region = view->region;
    uint16_t data_centre = view->data_centre;
    g_array_unref(view->resident);
    g_array_unref(view->loading);
    ch_home_get_view(upstream->home, now, view);
    view->region = region;
    view->data_centre = data_centre;
    view->version_id = upstream->version_id;
    view->draining = view->draining || upstream->draining;
}

/* See homes_internal.h. */
struct ch_upstream_config
home_get_config(const struct ch_homes *homes, const struct upstream *upstream)
{
    return (struct ch_upstream_config){
        .name = upstream->name,
        .service = upstream->service,
        .capacity_mb = upstream->capacity_mb,
        .accelerators = upstream->accelerators,
        .batch = upstream->max_batch,
        .max_queue = homes->node->settings->max_queue_length,
        .draining = upstream->draining,
    };
}

/* Makes this node the home of an upstream. */
void
home_open(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    if (upstream->home != NULL) {
        return;
    }
    struct ch_upstream_config config = home_get_config(homes, upstream);
    upstream->home = ch_home_new(homes->policy, &config, now);
    g_array_set_size(upstream->known_items, 0);
    upstream->ledger_read = false;
    home_assume_published_items(homes, upstream, now, effects);
    upstream->next_report_at = now;
    upstream->report_failures = 0;
    upstream->incarnation = homes->node->incarnation;
    if (upstream->kind == CH_HOST_ENGINE) {
        effects_add_ledger_change(effects, upstream, true);
    }
    home_refresh_view(homes, upstream, now);
    ch_log(homes->node->client, CH_LOG_INFO, "home-opened",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)), CH_F_END);
}

struct ticket_search {
    struct ch_homes *homes;
    const struct upstream *upstream;
    GArray *handles;
};

/* Collects the tickets of one upstream. */
static void
collect_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct ticket_search *search = data;
    if (ticket->upstream == search->upstream) {
        g_array_append_val(search->handles, handle);
    }
}

/* Ends this node's role as home of an upstream.  Queued requests are refused
 * with CH_PEER_LOST, which makes their entry node route them to the new home.
 * Granted requests go on, and the new home sees them in the engine's
 * report. */
void
home_close(struct ch_homes *homes, struct upstream *upstream,
           struct effects *effects)
{
    if (upstream->home == NULL) {
        return;
    }
    int64_t now = ch_client_get_time(homes->node->client);
    struct ticket_search search = {
        .homes = homes,
        .upstream = upstream,
        .handles = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    ch_table_foreach(homes->tickets, collect_ticket, &search);
    ch_home_free(upstream->home);
    upstream->home = NULL;
    if (upstream->kind == CH_HOST_ENGINE) {
        effects_add_ledger_change(effects, upstream, false);
    }
    for (guint i = 0; i < search.handles->len; i++) {
        struct ch_action action = {
            .request_id = g_array_index(search.handles, uint64_t, i),
            .code = CH_PEER_LOST,
            .message = "the home has moved to another node",
        };
        struct ticket *ticket =
            ch_table_get(homes->tickets, action.request_id);
        if (ticket != NULL && !ticket->granted) {
            apply_refuse(homes, &action, now, effects);
        }
        else if (ticket != NULL) {
            home_free_ticket(
                ch_table_remove(homes->tickets, action.request_id));
        }
    }
    g_array_free(search.handles, TRUE);
    ch_log(homes->node->client, CH_LOG_INFO, "home-closed",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)), CH_F_END);
}

/* Queues a request at a home.  The new ticket then belongs to
 * ch_homes.tickets; *handle is set before the home decides. */
void
home_enqueue(struct ch_homes *homes, struct upstream *upstream,
             struct ch_request_info *info, struct ticket *ticket,
             uint64_t *handle, int64_t now, struct effects *effects)
{
    ticket->upstream = upstream_ref(upstream);
    ticket->created_at = now;
    info->id = ch_table_add(homes->tickets, ticket);
    *handle = info->id;
    struct ch_actions actions = home_actions_new();
    homes_update_loads_left(homes, now);
    ch_home_enqueue(upstream->home, info, &homes->fleet, now, &actions);
    home_apply_actions(homes, upstream, &actions, now, effects);
}

/* Queues a request of this node at a home on this node.  The request may have
 * been refused and freed when this returns. */
void
home_enqueue_local(struct ch_homes *homes, struct request *request,
                   int64_t now, struct effects *effects)
{
    struct ticket *ticket = g_new0(struct ticket, 1);
    ticket->enqueue_id = request->handle;
    struct ch_request_info info = request->info;
    request->state = REQUEST_QUEUED_LOCAL;
    home_enqueue(homes, request->upstream, &info, ticket,
                 &request->grant_handle, now, effects);
}

/* Records a refused connection.  A service, which sends no reports, counts as
 * down until its retry; an engine is asked for a report at once. */
static void
record_failure(struct upstream *upstream, enum ch_code code, int64_t now)
{
    if (code != CH_UPSTREAM_CONNECT) {
        return;
    }
    if (upstream->kind == CH_HOST_SERVICE) {
        upstream->down_until = now + SERVICE_RETRY_DELAY_US;
    }
    else {
        upstream->next_report_at = now;
    }
}

/* Ends a granted request.  An unknown ticket has ended before. */
void
home_release(struct ch_homes *homes, uint64_t handle,
             const struct ch_timing_sample *sample, int64_t now,
             struct effects *effects)
{
    struct ticket *ticket = ch_table_remove(homes->tickets, handle);
    if (ticket == NULL) {
        return;
    }
    struct upstream *upstream = ticket->upstream;
    if (upstream->home != NULL) {
        record_failure(upstream, sample->code, now);
        struct ch_actions actions = home_actions_new();
        if (upstream->down_until > now) {
            ch_home_update_engine_state(
                upstream->home, 0, 0, upstream->draining, true, now, &actions);
        }
        ch_home_release(upstream->home, handle, sample, now, &actions);
        home_apply_actions(homes, upstream, &actions, now, effects);
    }
    home_free_ticket(ticket);
}

/* Ends a queued or granted request that is no longer wanted. */
void
home_withdraw(struct ch_homes *homes, uint64_t handle, int64_t now,
              struct effects *effects)
{
    struct ticket *ticket = ch_table_get(homes->tickets, handle);
    if (ticket == NULL) {
        return;
    }
    if (ticket->granted) {
        struct ch_timing_sample sample = {.code = CH_PEER_LOST};
        home_release(homes, handle, &sample, now, effects);
        return;
    }
    struct upstream *upstream = ticket->upstream;
    ch_table_remove(homes->tickets, handle);
    if (upstream->home != NULL) {
        struct ch_actions actions = home_actions_new();
        ch_home_withdraw(upstream->home, handle, now, &actions);
        home_apply_actions(homes, upstream, &actions, now, effects);
    }
    home_free_ticket(ticket);
}
