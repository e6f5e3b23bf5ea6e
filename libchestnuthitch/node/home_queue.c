/* The homes on this node: for each upstream at home here one queue with exact
 * counts (decide/), and what its decisions lead to. */

#include "node/homes_internal.h"

#include <string.h>

enum {
    /* A plain service that refused a connection is tried again after this: it
     * sends no reports that would tell. */
    SERVICE_TRIAL = 1000 * 1000,
    /* An adapter loads in milliseconds: for so long after its order the engine
     * is asked for a report at every tick, since a request waits for it. */
    ADAPTER_WATCH = 300 * 1000,
};

/* An empty list of actions. */
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
    g_free(ticket->from);
    g_free(ticket);
}

/* The local request of a ticket, if it still waits for it. */
static struct request *
request_of(const struct ch_homes *homes, const struct ticket *ticket)
{
    if (ticket->from != NULL) {
        return NULL;
    }
    return ch_table_get(homes->requests, ticket->enqueue);
}

/* Tells who asked that the work may be dispatched. */
static void
apply_grant(struct ch_homes *homes, const struct ch_action *action,
            struct effects *effects)
{
    struct ticket *ticket = ch_table_get(homes->tickets, action->request_id);
    if (ticket == NULL) {
        return;
    }
    ticket->granted = true;
    ch_metrics_count(homes->node->client->metrics, CH_COUNT_GRANTS, 1);
    if (ticket->from != NULL) {
        effects_grant_frame(effects, ticket, action->request_id,
                            action->priority, homes);
        return;
    }
    struct request *request = request_of(homes, ticket);
    if (request != NULL) {
        request_granted(homes, request, action->priority, effects);
    }
}

/* Tells who asked that the work is refused. */
static void
apply_refuse(struct ch_homes *homes, const struct ch_action *action,
             int64_t now, struct effects *effects)
{
    struct ticket *ticket =
        ch_table_remove(homes->tickets, action->request_id);
    if (ticket == NULL) {
        return;
    }
    struct request *request = request_of(homes, ticket);
    ch_log(homes->node->client, CH_LOG_DEBUG, "home-refused",
           CH_F_STR("upstream", g_quark_to_string(ticket->upstream->name)),
           CH_F_INT("code", action->code), CH_F_STR("reason", action->message),
           CH_F_END);
    if (ticket->from != NULL) {
        effects_refuse_frame(effects, ticket, action->code,
                             action->retry_after, action->message, homes);
    }
    else if (request != NULL) {
        request_refused(homes, request, action->code, action->retry_after,
                        action->message, now, effects);
    }
    home_free_ticket(ticket);
}

/* Whether an item is a model, which comes from the weight store at its full
 * size, and not an adapter. */
static bool
is_model(GQuark item)
{
    return strchr(g_quark_to_string(item), '/') == NULL;
}

/*
 * Begins a load when the region's share of the weight store has room.  Each
 * node keeps to its part of the store's rate, so that all together stay within
 * it without asking each other; past the rate every load gets slower.
 */
static bool
may_load(struct ch_homes *homes, GQuark item, int64_t now)
{
    if (!is_model(item)) {
        return true;
    }
    return ch_token_bucket_take(&homes->loads, 1.0, now);
}

/* Models that are being loaded anywhere in this node's region, as far as it
 * knows: all of them share one weight store. */
static unsigned
loads_under_way(const struct ch_homes *homes)
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

/* Puts into the fleet how many loads may begin now: what this node's part of
 * the rate allows, and no more at once than the store serves at full speed. */
void
homes_refresh_loads(struct ch_homes *homes, int64_t now)
{
    unsigned parallel = homes->node->settings->loads_parallel;
    unsigned busy = loads_under_way(homes);
    unsigned level = (unsigned)ch_token_bucket_level(&homes->loads, now);
    homes->fleet.store_loads_left =
        busy < parallel ? MIN(level, parallel - busy) : 0;
}

/* Hands an order to the ledger, or tells the home that it must wait. */
static void
apply_order(struct ch_homes *homes, struct upstream *upstream,
            const struct ch_action *action, int64_t now,
            struct effects *effects)
{
    if (action->kind == CH_ACTION_LOAD &&
        !may_load(homes, action->item, now)) {
        struct ch_actions more = home_actions_new();
        /* As if somebody else had been first: tried again a tick later. */
        ch_home_handle_failed_order(upstream->home, action->item, action->kind,
                                    CH_KV_CONFLICT, now, &more);
        home_apply(homes, upstream, &more, now, effects);
        return;
    }
    if (action->kind == CH_ACTION_LOAD && !is_model(action->item)) {
        upstream->quick_until = now + ADAPTER_WATCH;
    }
    effects_order(effects, upstream, action->kind, action->item,
                  action->memory_mb);
}

void
home_apply(struct ch_homes *homes, struct upstream *upstream,
           struct ch_actions *actions, int64_t now, struct effects *effects)
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

/* Copies the home's own state into the fleet's view. */
void
home_refresh_view(struct ch_homes *homes, struct upstream *upstream,
                  int64_t now)
{
    struct ch_upstream_view *view = site_view(homes, upstream);
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
    view->draining = view->draining || upstream->leaving;
}

/* Makes this node the home of an upstream. */
void
home_open(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    if (upstream->home != NULL) {
        return;
    }
    struct ch_upstream_config facts = {
        .name = upstream->name,
        .service = upstream->service,
        .capacity_mb = upstream->capacity_mb,
        .accelerators = upstream->accelerators,
        .batch = upstream->batch,
        .max_queue = homes->node->settings->max_queue,
        .draining = upstream->leaving,
    };
    upstream->home = ch_home_new(homes->policy, &facts, now);
    g_array_set_size(upstream->items, 0);
    upstream->ledger_read = false;
    home_assume_view(homes, upstream, now, effects);
    upstream->report_at = now;
    upstream->report_failures = 0;
    upstream->incarnation = homes->node->incarnation;
    if (upstream->kind == CH_HOST_ENGINE) {
        effects_ledger(effects, upstream, true);
    }
    home_refresh_view(homes, upstream, now);
    ch_log(homes->node->client, CH_LOG_INFO, "home-opened",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)), CH_F_END);
}

struct close_pass {
    struct ch_homes *homes;
    const struct upstream *upstream;
    GArray *handles;
};

/* Gathers the tickets of one upstream. */
static void
gather_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct close_pass *pass = data;
    if (ticket->upstream == pass->upstream) {
        g_array_append_val(pass->handles, handle);
    }
}

/* Ends this node's being home.  What is queued is sent back with PEER_LOST, by
 * which an entry node routes it anew to the home that there is now; what was
 * granted runs on, and the new home sees it in the engine's report. */
void
home_close(struct ch_homes *homes, struct upstream *upstream,
           struct effects *effects)
{
    if (upstream->home == NULL) {
        return;
    }
    int64_t now = ch_client_now(homes->node->client);
    struct close_pass pass = {
        .homes = homes,
        .upstream = upstream,
        .handles = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    ch_table_each(homes->tickets, gather_ticket, &pass);
    ch_home_free(upstream->home);
    upstream->home = NULL;
    if (upstream->kind == CH_HOST_ENGINE) {
        effects_ledger(effects, upstream, false);
    }
    for (guint i = 0; i < pass.handles->len; i++) {
        struct ch_action action = {
            .request_id = g_array_index(pass.handles, uint64_t, i),
            .code = CH_PEER_LOST,
            .message = "the home has moved",
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
    g_array_free(pass.handles, TRUE);
    ch_log(homes->node->client, CH_LOG_INFO, "home-closed",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)), CH_F_END);
}

/* Offers work to a home under a new ticket, whose handle is in *handle before
 * the home answers. */
void
home_offer(struct ch_homes *homes, struct upstream *upstream,
           struct ch_request_info *work, struct ticket *ticket,
           uint64_t *handle, int64_t now, struct effects *effects)
{
    ticket->upstream = upstream_ref(upstream);
    ticket->since = now;
    work->id = ch_table_add(homes->tickets, ticket);
    *handle = work->id;
    struct ch_actions actions = home_actions_new();
    homes_refresh_loads(homes, now);
    ch_home_enqueue(upstream->home, work, &homes->fleet, now, &actions);
    home_apply(homes, upstream, &actions, now, effects);
}

/* Puts a request of this node into the queue of a home here.  The request may
 * be answered, and gone, when this returns. */
void
home_offer_local(struct ch_homes *homes, struct request *request, int64_t now,
                 struct effects *effects)
{
    struct ticket *ticket = g_new0(struct ticket, 1);
    ticket->enqueue = request->handle;
    struct ch_request_info work = request->work;
    request->state = REQUEST_QUEUED_HERE;
    home_offer(homes, request->upstream, &work, ticket, &request->ticket, now,
               effects);
}

/* What a refused connection tells of a plain service, which sends no reports:
 * it is down until a trial. */
static void
note_failure(struct upstream *upstream, enum ch_code code, int64_t now)
{
    if (code != CH_UPSTREAM_CONNECT) {
        return;
    }
    if (upstream->kind == CH_HOST_SERVICE) {
        upstream->down_until = now + SERVICE_TRIAL;
    }
    else {
        upstream->report_at = now;
    }
}

/* A granted request has ended.  An unknown ticket was ended before. */
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
        note_failure(upstream, sample->code, now);
        struct ch_actions actions = home_actions_new();
        if (upstream->down_until > now) {
            ch_home_update_engine_state(
                upstream->home, 0, 0, upstream->leaving, true, now, &actions);
        }
        ch_home_release(upstream->home, handle, sample, now, &actions);
        home_apply(homes, upstream, &actions, now, effects);
    }
    home_free_ticket(ticket);
}

/* A request is no longer wanted, queued or granted. */
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
        home_apply(homes, upstream, &actions, now, effects);
    }
    home_free_ticket(ticket);
}
