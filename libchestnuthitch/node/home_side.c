/*
 * The homes on this node: for each upstream that is at home here, one queue
 * with exact counts (decide/), its engine's reports and its ledger.
 */

#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    SECOND = 1000 * 1000,
    REHOME_PERIOD = 500 * 1000,
    /* Reports missed in a row before an engine counts as down: one may be
     * lost to a connection that went silent. */
    REPORTS_MISSED = 2,
    /* A plain service that refused a connection is tried again after this: it
     * sends no reports that would tell. */
    SERVICE_TRIAL = 1000 * 1000,
    /*
     * A grant whose node was not heard for this long, and could not be, ends:
     * its streams ended with the node's process or are cut off from here. Well
     * past a pause that a node survives, since a grant ended too soon means
     * one request too many at the upstream until the other ends.
     */
    GRANT_SILENCE = 5 * 1000 * 1000,
};

/* Does what a home's decisions ask for. */
static void apply_actions(struct ch_homes *homes, struct upstream *upstream,
                          struct ch_actions *actions, int64_t now,
                          struct effects *effects);

/* An empty list of actions. */
static struct ch_actions
new_actions(void)
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
    struct ticket *ticket = ch_table_get(homes->tickets, action->work);
    if (ticket == NULL) {
        return;
    }
    ticket->granted = true;
    ch_metrics_count(homes->node->client->metrics, CH_COUNT_GRANTS, 1);
    if (ticket->from != NULL) {
        effects_grant_frame(effects, ticket, action->work, action->priority,
                            homes);
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
    struct ticket *ticket = ch_table_remove(homes->tickets, action->work);
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
    return ch_bucket_take(&homes->loads, 1.0, now);
}

/* Hands an order to the ledger, or tells the home that it must wait. */
static void
apply_order(struct ch_homes *homes, struct upstream *upstream,
            const struct ch_action *action, int64_t now,
            struct effects *effects)
{
    if (action->kind == CH_ACTION_LOAD &&
        !may_load(homes, action->item, now)) {
        struct ch_actions more = new_actions();
        /* As if somebody else had been first: tried again a tick later. */
        ch_home_order_failed(upstream->home, action->item, action->kind,
                             CH_KV_CONFLICT, now, &more);
        apply_actions(homes, upstream, &more, now, effects);
        return;
    }
    effects_order(effects, upstream, action->kind, action->item,
                  action->memory_mb);
}

static void
apply_actions(struct ch_homes *homes, struct upstream *upstream,
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
    ch_home_view(upstream->home, now, view);
    view->region = region;
    view->data_centre = data_centre;
    view->leaving = view->leaving || upstream->leaving;
}

/* Tells a home that an item is in memory, of which the ledger has not told
 * yet. */
static void
assume_resident(struct upstream *upstream, GQuark item, uint32_t memory_mb,
                int64_t now, struct ch_actions *actions)
{
    g_array_append_val(upstream->items, item);
    ch_home_set_item(upstream->home, item, CH_ITEM_RESIDENT, memory_mb, now,
                     actions);
}

/*
 * A home that has just opened takes what its predecessor told the fleet to be
 * in memory as still there, until the ledger is read.  While the key-value
 * service is away that may be an hour, in which the models are served all the
 * same: to send a request needs no reservation.  An engine that has lost or
 * unloads the model refuses the request before running it, and it is tried
 * elsewhere.  Loads and unloads wait for the ledger as ever.
 */
static void
assume_view(struct ch_homes *homes, struct upstream *upstream, int64_t now,
            struct effects *effects)
{
    const struct ch_upstream_view *view = site_view(homes, upstream);
    struct ch_actions actions = new_actions();
    for (guint i = 0; view != NULL && i < view->resident->len; i++) {
        GQuark item = g_array_index(view->resident, struct ch_item, i).name;
        assume_resident(upstream, item, 0, now, &actions);
    }
    apply_actions(homes, upstream, &actions, now, effects);
}

/* Whether an item is among items. */
static bool
has_item(const GArray *items, GQuark item)
{
    for (guint i = 0; i < items->len; i++) {
        if (g_array_index(items, GQuark, i) == item) {
            return true;
        }
    }
    return false;
}

/* As above, from the engine's own report: it overrides what was told. */
static void
assume_report(struct upstream *upstream, const struct ch_report *report,
              int64_t now, struct ch_actions *actions)
{
    if (upstream->ledger_read) {
        return;
    }
    GArray *before = upstream->items;
    upstream->items = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < report->resident_count; i++) {
        assume_resident(upstream,
                        g_quark_from_string(report->resident[i].name),
                        report->resident[i].memory_mb, now, actions);
    }
    for (guint i = 0; i < before->len; i++) {
        GQuark item = g_array_index(before, GQuark, i);
        if (!has_item(upstream->items, item)) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             actions);
        }
    }
    g_array_free(before, TRUE);
}

/* Makes this node the home of an upstream. */
void
home_open(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    if (upstream->home != NULL) {
        return;
    }
    struct ch_home_facts facts = {
        .name = upstream->name,
        .service = upstream->service,
        .capacity_mb = upstream->capacity_mb,
        .accelerators = upstream->accelerators,
        .batch = upstream->batch,
        .max_queue = homes->node->settings->max_queue,
        .leaving = upstream->leaving,
    };
    upstream->home = ch_home_new(homes->policy, &facts, now);
    g_array_set_size(upstream->items, 0);
    upstream->ledger_read = false;
    assume_view(homes, upstream, now, effects);
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
            .work = g_array_index(pass.handles, uint64_t, i),
            .code = CH_PEER_LOST,
            .message = "the home has moved",
        };
        struct ticket *ticket = ch_table_get(homes->tickets, action.work);
        if (ticket != NULL && !ticket->granted) {
            apply_refuse(homes, &action, now, effects);
        }
        else if (ticket != NULL) {
            home_free_ticket(ch_table_remove(homes->tickets, action.work));
        }
    }
    g_array_free(pass.handles, TRUE);
    ch_log(homes->node->client, CH_LOG_INFO, "home-closed",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)), CH_F_END);
}

/* Offers work to a home under a new ticket, whose handle is in *handle before
 * the home answers. */
static void
offer(struct ch_homes *homes, struct upstream *upstream, struct ch_work *work,
      struct ticket *ticket, uint64_t *handle, int64_t now,
      struct effects *effects)
{
    ticket->upstream = upstream_ref(upstream);
    ticket->since = now;
    work->id = ch_table_add(homes->tickets, ticket);
    *handle = work->id;
    struct ch_actions actions = new_actions();
    homes->fleet.loads_left = (uint32_t)ch_bucket_level(&homes->loads, now);
    ch_home_offer(upstream->home, work, &homes->fleet, now, &actions);
    apply_actions(homes, upstream, &actions, now, effects);
}

/* Puts a request of this node into the queue of a home here.  The request may
 * be answered, and gone, when this returns. */
void
home_offer_local(struct ch_homes *homes, struct request *request, int64_t now,
                 struct effects *effects)
{
    struct ticket *ticket = g_new0(struct ticket, 1);
    ticket->enqueue = request->handle;
    struct ch_work work = request->work;
    request->state = REQUEST_QUEUED_HERE;
    offer(homes, request->upstream, &work, ticket, &request->ticket, now,
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
             const struct ch_sample *sample, int64_t now,
             struct effects *effects)
{
    struct ticket *ticket = ch_table_remove(homes->tickets, handle);
    if (ticket == NULL) {
        return;
    }
    struct upstream *upstream = ticket->upstream;
    if (upstream->home != NULL) {
        note_failure(upstream, sample->code, now);
        struct ch_actions actions = new_actions();
        if (upstream->down_until > now) {
            ch_home_report(upstream->home, 0, 0, upstream->leaving, true, now,
                           &actions);
        }
        ch_home_release(upstream->home, handle, sample, now, &actions);
        apply_actions(homes, upstream, &actions, now, effects);
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
        struct ch_sample sample = {.code = CH_PEER_LOST};
        home_release(homes, handle, &sample, now, effects);
        return;
    }
    struct upstream *upstream = ticket->upstream;
    ch_table_remove(homes->tickets, handle);
    if (upstream->home != NULL) {
        struct ch_actions actions = new_actions();
        ch_home_withdraw(upstream->home, handle, now, &actions);
        apply_actions(homes, upstream, &actions, now, effects);
    }
    home_free_ticket(ticket);
}

/* ---- membership: which homes are here, which grants are lost ---- */

struct lost_pass {
    struct ch_homes *homes;
    int64_t now;
    GArray *handles;
};

/* Gathers the tickets of nodes that are gone: another process has their name,
 * or nothing was heard from them for long. */
static void
gather_lost(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct lost_pass *pass = data;
    if (ticket->from == NULL) {
        return;
    }
    uint64_t incarnation = 0;
    int64_t heard =
        ch_peers_heard(pass->homes->node->peers, ticket->from, &incarnation);
    bool other_process = incarnation != 0 && ticket->incarnation != 0 &&
                         incarnation != ticket->incarnation;
    if (other_process ||
        pass->now - MAX(heard, ticket->since) > GRANT_SILENCE) {
        g_array_append_val(pass->handles, handle);
    }
}

/* Ends the grants of nodes that are gone.  Without this every node that dies
 * would leave its requests counted at the homes, whose batches would fill up
 * with what nobody runs. */
static void
end_lost(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    struct lost_pass pass = {
        .homes = homes,
        .now = now,
        .handles = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    ch_table_each(homes->tickets, gather_lost, &pass);
    for (guint i = 0; i < pass.handles->len; i++) {
        ch_metrics_count(homes->node->client->metrics, CH_COUNT_GRANTS_LOST,
                         1);
        home_withdraw(homes, g_array_index(pass.handles, uint64_t, i), now,
                      effects);
    }
    g_array_free(pass.handles, TRUE);
}

/* Sets each node's part of the weight store and of the link: what the region
 * has, divided by the nodes that share it. */
static void
share_limits(struct ch_homes *homes)
{
    const struct ch_settings *settings = homes->node->settings;
    char **live = ch_peers_live(homes->node->peers);
    unsigned count = g_strv_length(live);
    g_strfreev(live);
    double nodes = MAX(count, 1U);
    homes->loads.rate = settings->loads_per_s / nodes;
    homes->loads.most = MAX(settings->loads_parallel / nodes, 1.0);
    homes->link.rate = settings->link_mbit * 1e6 / 8 / nodes;
    homes->link.most = homes->link.rate * 2;
    homes->news = count != homes->live;
    homes->live = count;
}

/* Opens and closes homes as membership says and ends lost grants. */
void
home_rehome(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    if (now < homes->next_rehome && !homes->draining) {
        return;
    }
    homes->next_rehome = now + REHOME_PERIOD;
    share_limits(homes);
    end_lost(homes, now, effects);
    uint64_t version = ch_peers_version(homes->node->peers);
    if (version == homes->homed_version && !homes->rehome) {
        return;
    }
    homes->homed_version = version;
    homes->rehome = false;
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        char *home =
            ch_peers_upstream_home(homes->node->peers, upstream->key,
                                   upstream->region, upstream->data_centre);
        bool ours = strcmp(home, homes->node->settings->name) == 0;
        g_free(home);
        if (ours) {
            home_open(homes, upstream, now, effects);
        }
        else {
            home_close(homes, upstream, effects);
        }
    }
}

/* ---- reports of engines ---- */

struct report_job {
    struct ch_homes *homes;
    struct upstream *upstream;
    enum ch_code code;
    struct ch_report *report;
};

/* Takes a report, or notes that none came. */
static void
take_report(struct report_job *job, int64_t now, struct effects *effects)
{
    struct upstream *upstream = job->upstream;
    upstream->reporting = false;
    if (upstream->home == NULL) {
        return;
    }
    struct ch_actions actions = new_actions();
    if (job->report != NULL) {
        upstream->report_failures = 0;
        ch_home_report(
            upstream->home, job->report->running, job->report->waiting,
            job->report->leaving || upstream->leaving, false, now, &actions);
        assume_report(upstream, job->report, now, &actions);
    }
    else if (++upstream->report_failures >= REPORTS_MISSED ||
             job->code == CH_UPSTREAM_CONNECT) {
        ch_home_report(upstream->home, 0, 0, upstream->leaving, true, now,
                       &actions);
    }
    apply_actions(job->homes, upstream, &actions, now, effects);
}

/* On the pool: a report's result. */
static void
run_report(void *data)
{
    struct report_job *job = data;
    struct ch_homes *homes = job->homes;
    struct effects effects;
    effects_init(&effects);
    if (job->report != NULL) {
        ch_ledger_keeper_report(homes->node->ledger, job->upstream->name,
                                job->report);
    }
    pthread_mutex_lock(&homes->lock);
    take_report(job, ch_client_now(homes->node->client), &effects);
    upstream_unref(job->upstream);
    homes->jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    ch_report_free(job->report);
    g_free(job);
}

/* On the loop's thread: hands the result to the pool. */
static void
report_done(void *data, enum ch_code code, struct ch_report *report)
{
    struct report_job *job = data;
    job->code = code;
    job->report = report;
    ch_pool_submit(job->homes->node->pool, run_report, job);
}

/* Asks an engine for its report when it is time.  The call itself is made
 * without the lock, as an effect would be. */
static void
gather_report(struct ch_homes *homes, struct upstream *upstream, int64_t now,
              GPtrArray *jobs)
{
    if (upstream->home == NULL || upstream->kind != CH_HOST_ENGINE ||
        upstream->reporting || now < upstream->report_at) {
        return;
    }
    upstream->reporting = true;
    upstream->report_at =
        now + (int64_t)homes->node->settings->report_ms * 1000;
    struct report_job *job = g_new0(struct report_job, 1);
    job->homes = homes;
    job->upstream = upstream_ref(upstream);
    homes->jobs++;
    g_ptr_array_add(jobs, job);
}

/* One home's part of a tick. */
static void
tick_home(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    struct ch_actions actions = new_actions();
    if (upstream->down_until > 0 && upstream->down_until <= now) {
        upstream->down_until = 0;
        ch_home_report(upstream->home, 0, 0, upstream->leaving, false, now,
                       &actions);
    }
    ch_home_tick(upstream->home, &homes->fleet, now, &actions);
    apply_actions(homes, upstream, &actions, now, effects);
}

/* Takes the lock itself; effects are for the caller to run after. */
void
home_tick_all(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    GPtrArray *jobs = g_ptr_array_new();
    pthread_mutex_lock(&homes->lock);
    homes->fleet.loads_left = (uint32_t)ch_bucket_level(&homes->loads, now);
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        if (upstream->home != NULL) {
            tick_home(homes, upstream, now, effects);
            gather_report(homes, upstream, now, jobs);
        }
    }
    pthread_mutex_unlock(&homes->lock);
    for (guint i = 0; i < jobs->len; i++) {
        struct report_job *job = g_ptr_array_index(jobs, i);
        struct ch_upstream *client = job->upstream->client;
        client->ops->report(client, report_done, job);
    }
    g_ptr_array_free(jobs, TRUE);
}

/* ---- frames of other nodes ---- */

/* Replies to a frame of which no more than its arrival need be known. */
static void
acknowledge(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    reply.body_case = WIRE(FRAME__BODY_DONE);
    reply.done = &done;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Refuses an Enqueue that never gets as far as a queue. */
static void
refuse_enqueue(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
               enum ch_code code, const char *message)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Refuse refuse = WIRE(REFUSE__INIT);
    refuse.code = (uint32_t)code;
    refuse.message = (char *)message;
    refuse.retry_after_ms = SECOND / 1000;
    reply.body_case = WIRE(FRAME__BODY_REFUSE);
    reply.refuse = &refuse;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Makes the work of an Enqueue.  Names are looked up in this node's own
 * configuration: what it does not know is not made into a quark, so that
 * quarks stay as few as the names that operators declared. */
static bool
make_work(const struct ch_declaration *declaration,
          const Chestnuthitch__Wire__Enqueue *enqueue, int64_t now,
          struct ch_work *work)
{
    *work = (struct ch_work){
        .service = enqueue->service,
        .tenant = ch_hash_string(enqueue->tenant),
        .prompt_tokens = enqueue->prompt_tokens,
        .output_tokens = enqueue->output_tokens,
        .prefix = enqueue->prefix,
        .arrived = now,
        .first_by = now + (int64_t)enqueue->left_us,
        .between = (int64_t)enqueue->between_us,
        .whole_by =
            enqueue->whole_us > 0 ? now + (int64_t)enqueue->whole_us : 0,
        .attempt = enqueue->attempt,
        .idempotent = enqueue->idempotent,
    };
    if (ch_declaration_class(declaration, enqueue->class_name) < 0) {
        return false;
    }
    work->class_name = g_quark_from_string(enqueue->class_name);
    if (enqueue->service) {
        work->model = g_quark_from_string(enqueue->model);
        return ch_declaration_service(declaration, enqueue->model) >= 0;
    }
    int model = ch_declaration_model(declaration, enqueue->model);
    if (model < 0) {
        return false;
    }
    work->model = g_quark_from_string(enqueue->model);
    work->model_mb = declaration->models[model].memory_mb;
    const char *adapter = strchr(enqueue->adapter, '/');
    if (adapter == NULL) {
        return enqueue->adapter[0] == '\0';
    }
    int index = -1;
    if (ch_declaration_adapter(declaration, adapter + 1, &index) != model) {
        return false;
    }
    work->adapter = g_quark_from_string(enqueue->adapter);
    work->adapter_mb = declaration->models[model].adapter_memory_mb;
    return true;
}

/* Queues another node's request at the home here.  When this node does not
 * hold itself to be home it serves as one all the same until it learns better:
 * two homes cost some quality and no promise. */
static void
queue_remote(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
             struct ch_work *work)
{
    int64_t now = ch_client_now(homes->node->client);
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream =
        homes->draining ? NULL
                        : site_find_name(homes, frame->enqueue->upstream);
    if (upstream != NULL) {
        struct ticket *ticket = g_new0(struct ticket, 1);
        ticket->from = g_strdup(frame->from);
        ticket->enqueue = frame->id;
        ch_peers_heard(homes->node->peers, frame->from, &ticket->incarnation);
        uint64_t handle = 0;
        homes->rehome |= upstream->home == NULL;
        home_open(homes, upstream, now, &effects);
        offer(homes, upstream, work, ticket, &handle, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    if (upstream == NULL) {
        refuse_enqueue(homes, frame, CH_PEER_LOST, "not home here");
    }
}

/* Handles an Enqueue. */
static void
handle_enqueue(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ch_config *config = ch_config_keeper_current(homes->node->config);
    if (config == NULL) {
        refuse_enqueue(homes, frame, CH_NOT_READY, "no configuration yet");
        return;
    }
    struct ch_work work;
    if (make_work(config->declaration, frame->enqueue,
                  ch_client_now(homes->node->client), &work)) {
        queue_remote(homes, frame, &work);
    }
    else {
        refuse_enqueue(homes, frame, CH_UNKNOWN_MODEL,
                       "the home's configuration does not have it yet");
    }
    ch_config_unref(config);
}

/* Handles a Release: acknowledged also when the grant is not known, since it
 * has then ended before. */
static void
handle_release(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ch_sample sample = {
        .code = (enum ch_code)frame->release->code,
        .first = (int64_t)frame->release->first_us,
        .token = (int64_t)frame->release->token_us,
        .tokens = frame->release->tokens,
    };
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    home_release(homes, frame->release->grant, &sample,
                 ch_client_now(homes->node->client), &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

struct find_pass {
    const char *from;
    uint64_t enqueue;
    uint64_t handle;
};

/* Finds the ticket of a node's Enqueue. */
static void
find_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct find_pass *pass = data;
    if (ticket->from != NULL && ticket->enqueue == pass->enqueue &&
        strcmp(ticket->from, pass->from) == 0) {
        pass->handle = handle;
    }
}

/* Handles a Withdraw.  The Enqueue, if it still waits, gets its reply too: the
 * other end keeps its connection watched for as long as one is owed. */
static void
handle_withdraw(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct find_pass pass = {
        .from = frame->from,
        .enqueue = frame->withdraw->enqueue,
    };
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    ch_table_each(homes->tickets, find_ticket, &pass);
    const struct ticket *ticket = ch_table_get(homes->tickets, pass.handle);
    if (ticket != NULL && !ticket->granted) {
        effects_refuse_frame(&effects, ticket, CH_PEER_LOST, 0, "withdrawn",
                             homes);
    }
    if (ticket != NULL) {
        home_withdraw(homes, pass.handle, ch_client_now(homes->node->client),
                      &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

/* Sets the handlers of the frames that homes get. */
void
home_handlers(struct ch_homes *homes)
{
    struct ch_peers *peers = homes->node->peers;
    ch_peers_handle(peers, WIRE(FRAME__BODY_ENQUEUE), handle_enqueue, homes);
    ch_peers_handle(peers, WIRE(FRAME__BODY_RELEASE), handle_release, homes);
    ch_peers_handle(peers, WIRE(FRAME__BODY_WITHDRAW), handle_withdraw, homes);
}

/* ---- what the ledger tells ---- */

/* The state of an item as the decisions know it. */
static enum ch_item_state
item_state(enum ch_ledger_state state)
{
    switch (state) {
    case CH_LEDGER_RESERVED:
        return CH_ITEM_LOADING;
    case CH_LEDGER_RESIDENT:
        return CH_ITEM_RESIDENT;
    case CH_LEDGER_UNLOADING:
        break;
    }
    return CH_ITEM_UNLOADING;
}

/* Tells the home what the ledger holds now; what it no longer holds is
 * absent. */
static void
take_ledger(struct ch_homes *homes, struct upstream *upstream,
            const struct ch_ledger *ledger, int64_t now,
            struct effects *effects)
{
    struct ch_actions actions = new_actions();
    upstream->ledger_read = true;
    for (guint i = 0; i < upstream->items->len; i++) {
        GQuark item = g_array_index(upstream->items, GQuark, i);
        if (ch_ledger_find(ledger, g_quark_to_string(item)) == NULL) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             &actions);
        }
    }
    g_array_set_size(upstream->items, 0);
    for (size_t i = 0; i < ledger->count; i++) {
        const struct ch_ledger_entry *entry = &ledger->entries[i];
        GQuark item = g_quark_from_string(entry->item);
        g_array_append_val(upstream->items, item);
        ch_home_set_item(upstream->home, item, item_state(entry->state),
                         entry->memory_mb, now, &actions);
    }
    apply_actions(homes, upstream, &actions, now, effects);
}

/* The ledger of an upstream changed. */
static void
ledger_changed(void *data, GQuark name, const struct ch_ledger *ledger)
{
    struct ch_homes *homes = data;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = site_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        take_ledger(homes, upstream, ledger,
                    ch_client_now(homes->node->client), &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/*
 * An order will not be done.  That the ledger holds the item already is no
 * failure: a home that has just opened wants a model before its first read of
 * the ledger, which told it since how the item stands.  Taken for a failure it
 * blocked all loads for a second and refused what waited, at each change of
 * home.
 */
static void
ledger_failed(void *data, GQuark name, GQuark item, enum ch_action_kind kind,
              enum ch_code code)
{
    struct ch_homes *homes = data;
    if (code == CH_DUPLICATE) {
        return;
    }
    struct effects effects;
    effects_init(&effects);
    ch_log(homes->node->client, CH_LOG_NOTICE, "order-failed",
           CH_F_STR("upstream", g_quark_to_string(name)),
           CH_F_STR("item", g_quark_to_string(item)),
           CH_F_STR("action", kind == CH_ACTION_LOAD ? "load" : "unload"),
           CH_F_INT("code", code), CH_F_STR("reason", ch_code_meaning(code)),
           CH_F_END);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = site_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        int64_t now = ch_client_now(homes->node->client);
        struct ch_actions actions = new_actions();
        ch_home_order_failed(upstream->home, item, kind, code, now, &actions);
        apply_actions(homes, upstream, &actions, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/* The handlers that the ledger keeper is given, with the homes as data. */
const struct ch_ledger_handlers *
home_ledger_handlers(void)
{
    static const struct ch_ledger_handlers handlers = {
        .changed = ledger_changed,
        .failed = ledger_failed,
    };
    return &handlers;
}
