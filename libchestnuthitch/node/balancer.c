/*
 * Routes the requests of this node's callers by its own view of the upstreams:
 * what the roster lists, and what this node has sent.  Nobody is asked for
 * leave, so that no other node's trouble holds a request up.
 */

#include "node/balancer.h"

#include "decide/balance.h"
#include "decide/late.h"
#include "node/controller.h"
#include "node/crash_keeper.h"
#include "node/dialect.h"
#include "node/roster.h"

#include <pthread.h>
#include <string.h>

enum {
    /* A bound for orders and reports to upstreams. */
    CALL_LIMIT = 2 * 1000 * 1000,
    /* What a holder told stands against the list for this long, and for as
     * long as the list's word is older. */
    TOLD_FRESH = 6 * 1000 * 1000,
    /* How long a request waits for its model, in times the target of its
     * class: callers give up a stream that brings nothing for four. */
    WAIT_TARGETS = 3,
    /* ... and for somebody to begin with a model that nobody is loading. */
    WAIT_BEGIN = 1500 * 1000,
    /* When a caller may come back whose model is not there: a copy near by
     * loads in two seconds. */
    MODEL_RETRY_AFTER = 2000 * 1000,
    ADAPTER_RETRY_AFTER = 500 * 1000,
    /* A request that is held for its engine to rest keeps this part of its
     * target free, and is looked at again after so long. */
    PACE_MARGIN = 4,
    PACE_LOOK = 15 * 1000,
    /* Engines at which an adapter is asked for in vain. */
    MOST_PREPARED = 2,
};

/* An upstream's client, for as long as it is listed or a call uses it. */
struct seat_client {
    int references;
    struct ch_upstream *client;
    char *address;
};

enum request_state {
    REQUEST_PREPARING, /* its adapter is being loaded */
    REQUEST_WAITING,   /* no engine has its model yet */
    REQUEST_PACED,     /* sent a little later; see is_too_dense */
    REQUEST_GRANTED,
};

/* A request that was routed, or waits for what it needs. */
struct request {
    uint64_t handle;
    enum request_state state;
    struct ch_request_info work;
    GArray *excluded; /* GQuark */
    const struct ch_router_handlers *handlers;
    void *data;
    struct ch_upstream_choice choice;
    struct seat_client *client; /* of a granted one */
    unsigned prepared;          /* adapters asked for in vain */
    bool begun;
    int64_t at;    /* granted */
    int64_t until; /* waits so long at most */
};

/* What a holder told of an engine, for as long as it is fresh. */
struct told_engine {
    uint64_t boot;
    int64_t at;
    GArray *models;   /* GQuark */
    GArray *adapters; /* GQuark */
};

struct balancer {
    struct ch_router router;
    struct ch_node *node;
    struct ch_roster *roster;
    struct ch_controller *controller;
    pthread_mutex_t lock;
    struct ch_balance *balance;      /* guarded by lock, like the rest */
    GHashTable *clients;             /* GQuark to struct seat_client */
    GHashTable *listed;              /* of the update that runs: GQuark */
    GHashTable *told;                /* GQuark to struct told_engine */
    struct ch_pending_loads *coming; /* models that are being loaded */
    GHashTable *used;                /* "UPSTREAM MODEL/ADAPTER" */
    struct ch_table *requests;
    bool looking; /* what waits will be looked at soon */
};

/* ---- clients ---- */

/* One owner less; the last frees the client.  Lock held. */
static void
client_unref(void *data)
{
    struct seat_client *client = data;
    if (--client->references > 0) {
        return;
    }
    client->client->ops->free(client->client);
    g_free(client->address);
    g_free(client);
}

/* Makes sure of a client for a listed upstream; one with another address is
 * another process.  Lock held. */
static void
need_client(struct balancer *balancer, GQuark name, const struct ch_host *host)
{
    struct ch_node *node = balancer->node;
    gpointer key = GUINT_TO_POINTER(name);
    const struct seat_client *known =
        g_hash_table_lookup(balancer->clients, key);
    if (known != NULL && strcmp(known->address, host->address) == 0) {
        return;
    }
    struct seat_client *client = g_new0(struct seat_client, 1);
    client->references = 1;
    client->address = g_strdup(host->address);
    client->client = node->dialect->upstream_new(node->client, node->http,
                                                 host, CALL_LIMIT);
    g_hash_table_replace(balancer->clients, key, client);
}

/* ---- the list ---- */

struct update {
    struct balancer *balancer;
    struct ch_config *config; /* NULL: none yet */
    GArray *listed;           /* struct ch_crash_listed_upstream */
};

/* Splits what an upstream holds into models and adapters. */
static void
split_resident(char **names, GArray *models, GArray *adapters)
{
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        GQuark name = g_quark_from_string(names[i]);
        GArray *into = strchr(names[i], '/') == NULL ? models : adapters;
        g_array_append_val(into, name);
    }
}

/* The declaration of an upstream's service, or NULL. */
static const struct ch_service *
service_of(const struct ch_config *config, const char *name)
{
    if (config == NULL) {
        return NULL;
    }
    int index = ch_declaration_service(config->declaration, name);
    return index < 0 ? NULL : &config->declaration->services[index];
}

/* What its holder told of a listed upstream, if that is newer than what the
 * upstream says of itself: it does so only now and then, and not at all of
 * adapters.  Lock held. */
static const struct told_engine *
fresh_told(const struct balancer *balancer, const struct ch_host *host)
{
    int64_t now = ch_client_now(balancer->node->client);
    const struct told_engine *told = g_hash_table_lookup(
        balancer->told, GUINT_TO_POINTER(g_quark_try_string(host->name)));
    return told != NULL && told->boot == host->boot &&
                   (now - told->at < TOLD_FRESH || told->at > host->read_at)
               ? told
               : NULL;
}

/* Takes one upstream of the list.  Lock held. */
static void
take_host(void *data, const struct ch_host *host)
{
    const struct update *update = data;
    struct balancer *balancer = update->balancer;
    const struct ch_service *service =
        service_of(update->config, host->service);
    GArray *models = g_array_new(FALSE, FALSE, sizeof(GQuark));
    GArray *adapters = g_array_new(FALSE, FALSE, sizeof(GQuark));
    split_resident(host->resident, models, adapters);
    const struct told_engine *told = fresh_told(balancer, host);
    if (told != NULL) {
        g_array_set_size(models, 0);
        g_array_append_vals(models, told->models->data, told->models->len);
    }
    const struct ch_upstream_info facts = {
        .name = g_quark_from_string(host->name),
        .service = g_quark_from_string(host->service),
        .region = g_quark_from_string(host->region),
        .data_centre = g_quark_from_string(host->data_centre),
        .engine = host->kind == CH_HOST_ENGINE,
        .draining = host->leaving,
        .boot_id = host->boot,
        .slots = host->batch,
        .context_tokens = service == NULL ? 0 : service->context_tokens,
        .adapter_slots = service == NULL ? 0 : service->adapter_places,
        .resident_models = (const GQuark *)(void *)models->data,
        .resident_model_count = models->len,
    };
    need_client(balancer, facts.name, host);
    const struct ch_crash_listed_upstream listed = {facts.name, facts.boot_id,
                                                    facts.draining};
    g_array_append_val(update->listed, listed);
    g_hash_table_add(balancer->listed, GUINT_TO_POINTER(facts.name));
    ch_balance_update_upstream(balancer->balance, &facts);
    if (told == NULL) {
        ch_balance_set_adapters(balancer->balance, facts.name,
                                (const GQuark *)(void *)adapters->data,
                                adapters->len);
    }
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
}

/* Whether a client's upstream is not listed any more: what it was loading will
 * not come.  Lock held. */
static gboolean
drop_unlisted(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    struct balancer *balancer = data;
    if (g_hash_table_contains(balancer->listed, key)) {
        return FALSE;
    }
    ch_pending_loads_update(balancer->coming, GPOINTER_TO_UINT(key), NULL, 0,
                            NULL, 0, ch_client_now(balancer->node->client));
    return TRUE;
}

static void route_waiting(struct balancer *balancer);

/* The roster changed, on the pool. */
static void
roster_changed(void *data)
{
    struct balancer *balancer = data;
    struct update update = {
        .balancer = balancer,
        .config = ch_config_keeper_current(balancer->node->config),
        .listed =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_listed_upstream)),
    };
    pthread_mutex_lock(&balancer->lock);
    balancer->listed = g_hash_table_new(NULL, NULL);
    ch_balance_begin_update(balancer->balance);
    ch_roster_each(balancer->roster, take_host, &update);
    ch_balance_end_update(balancer->balance);
    g_hash_table_foreach_remove(balancer->clients, drop_unlisted, balancer);
    g_hash_table_destroy(balancer->listed);
    balancer->listed = NULL;
    pthread_mutex_unlock(&balancer->lock);
    ch_config_unref(update.config);
    ch_crash_keeper_listed(
        balancer->node->crashes,
        (const struct ch_crash_listed_upstream *)(void *)update.listed->data,
        update.listed->len);
    g_array_free(update.listed, TRUE);
    ch_controller_changed(balancer->controller);
    route_waiting(balancer);
}

/* ---- requests ---- */

/* Frees a request that is out of the table.  Lock held. */
static void
free_request(struct request *request)
{
    if (request->client != NULL) {
        client_unref(request->client);
    }
    g_array_free(request->excluded, TRUE);
    g_free(request);
}

/* What is to be done for a request without the lock. */
struct step {
    enum {
        STEP_NONE,
        STEP_GRANT,
        STEP_REFUSE,
        STEP_PREPARE,
        STEP_PACE,
    } kind;
    const struct ch_router_handlers *handlers;
    void *data;
    uint64_t handle;
    struct ch_grant grant;
    struct ch_upstream_choice choice;
    GQuark model;
    GQuark adapter;
};

/* Refuses a request: it is out of the table.  Lock held. */
static struct step
refuse(struct balancer *balancer, struct request *request, enum ch_code code,
       int64_t retry_after, const char *message)
{
    const struct step step = {
        .kind = STEP_REFUSE,
        .handlers = request->handlers,
        .data = request->data,
        .choice = {.code = code,
                   .retry_after = retry_after,
                   .message = message},
    };
    ch_table_remove(balancer->requests, request->handle);
    free_request(request);
    return step;
}

/* Notes that a request's adapter is used where it runs.  Lock held. */
static void
note_used(struct balancer *balancer, const struct request *request)
{
    g_hash_table_add(
        balancer->used,
        g_strdup_printf("%s %s", g_quark_to_string(request->choice.upstream),
                        g_quark_to_string(request->work.adapter)));
}

/* Lets a request go out as chosen.  Lock held. */
static struct step
grant(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_upstream_choice *choice = &request->choice;
    request->state = REQUEST_GRANTED;
    request->at = now;
    request->client = g_hash_table_lookup(balancer->clients,
                                          GUINT_TO_POINTER(choice->upstream));
    request->client->references++;
    ch_balance_record_sent(balancer->balance, &request->work, choice, now);
    if (request->work.adapter != 0) {
        note_used(balancer, request);
    }
    return (struct step){
        .kind = STEP_GRANT,
        .handlers = request->handlers,
        .data = request->data,
        .grant =
            {
                .handle = request->handle,
                .upstream = choice->upstream,
                .boot = choice->boot_id,
                .client = request->client->client,
                .address = request->client->address,
                .priority = request->work.priority,
                .other_region = choice->other_region,
                .expected = choice->expected_latency,
            },
    };
}

/* When an engine is likely to have the model that it is loading; 0: none is
 * waited for.  Lock held. */
static int64_t
coming_at(const struct balancer *balancer, GQuark model, int64_t now)
{
    return balancer->node->settings->without.wait_for_model
               ? 0
               : ch_pending_loads_estimate_ready(balancer->coming, model, now);
}

/*
 * What becomes of a request that no upstream can take.  One whose model is on
 * its way waits for it, as long as its caller would; one that nobody brings is
 * refused soon, with when to come back.
 */
static struct step
wait_or_refuse(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_request_info *work = &request->work;
    int64_t limit =
        work->arrived_at +
        WAIT_TARGETS * (work->first_token_deadline - work->arrived_at);
    if (work->is_service || request->excluded->len > 0) {
        return refuse(balancer, request, CH_NO_UPSTREAM,
                      request->choice.retry_after, request->choice.message);
    }
    if (coming_at(balancer, work->model, now) == 0) {
        limit = MIN(limit, work->arrived_at + WAIT_BEGIN);
    }
    limit = MIN(limit, work->answer_deadline - WAIT_BEGIN);
    if (now >= limit) {
        return refuse(balancer, request, CH_NO_UPSTREAM, MODEL_RETRY_AFTER,
                      "no engine has the model");
    }
    request->state = REQUEST_WAITING;
    request->until = limit;
    return (struct step){.kind = STEP_NONE};
}

/* What becomes of a request that the chosen engine would begin with too late.
 * Lock held. */
static struct step
wait_or_refuse_late(struct balancer *balancer, struct request *request,
                    int64_t now)
{
    const struct ch_late_decision late =
        ch_late_decide(&request->work, request->choice.expected_latency,
                       coming_at(balancer, request->work.model, now), now);
    if (late.should_wait) {
        request->state = REQUEST_WAITING;
        request->until = late.wait_until;
        return (struct step){.kind = STEP_NONE};
    }
    return refuse(balancer, request, CH_LATE, late.retry_after,
                  "the model's engines are full");
}

/* Whether a request may wait for its engine to rest: not for longer than
 * leaves the rest of its target for what is expected. */
static bool
may_pace(const struct request *request, int64_t now)
{
    const struct ch_request_info *work = &request->work;
    int64_t target = work->first_token_deadline - work->arrived_at;
    return now + request->choice.expected_latency + target / PACE_MARGIN <
           work->first_token_deadline;
}

/* Chooses an upstream for a request.  Lock held. */
static struct step
route(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_request_info *work = &request->work;
    bool ready = request->prepared >= MOST_PREPARED;
    request->choice = ch_balance_choose(balancer->balance, work,
                                        request->excluded, ready, now);
    if (request->choice.code != CH_OK && ready) {
        return refuse(balancer, request, CH_NO_UPSTREAM, ADAPTER_RETRY_AFTER,
                      "the adapter cannot be loaded now");
    }
    if (request->choice.code != CH_OK) {
        return wait_or_refuse(balancer, request, now);
    }
    if (!balancer->node->settings->without.refuse_late &&
        ch_late_is_expected(work, request->choice.expected_latency, now)) {
        return wait_or_refuse_late(balancer, request, now);
    }
    if (request->choice.should_defer && may_pace(request, now)) {
        request->state = REQUEST_PACED;
        return (struct step){.kind = STEP_PACE};
    }
    if (!request->choice.adapter_missing) {
        return grant(balancer, request, now);
    }
    request->state = REQUEST_PREPARING;
    return (struct step){
        .kind = STEP_PREPARE,
        .handle = request->handle,
        .choice = request->choice,
        .model = work->model,
        .adapter = work->adapter,
    };
}

/* ---- steps without the lock ---- */

/* A request whose adapter was asked for. */
struct preparation {
    struct balancer *balancer;
    uint64_t handle;
};

static void run_step(struct balancer *balancer, const struct step *step);

/* Goes on with a request whose adapter is there, or cannot be. */
static void
take_prepared(struct balancer *balancer, uint64_t handle, bool good)
{
    struct step step = {.kind = STEP_NONE};
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL && request->state == REQUEST_PREPARING) {
        GQuark upstream = request->choice.upstream;
        bool listed = g_hash_table_contains(balancer->clients,
                                            GUINT_TO_POINTER(upstream));
        ch_balance_set_adapter_resident(balancer->balance, upstream,
                                        request->work.adapter, good);
        if (good && listed) {
            step = grant(balancer, request, now);
        }
        else {
            request->prepared++;
            g_array_append_val(request->excluded, upstream);
            step = route(balancer, request, now);
        }
    }
    pthread_mutex_unlock(&balancer->lock);
    run_step(balancer, &step);
}

/* The holder's word on an adapter. */
static void
prepare_done(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct preparation *preparation = data;
    bool good = code == CH_OK && reply != NULL &&
                reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_DONE;
    take_prepared(preparation->balancer, preparation->handle, good);
    g_free(preparation);
}

/* Looks at what waits, on the pool. */
static void
run_look(void *data)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    balancer->looking = false;
    pthread_mutex_unlock(&balancer->lock);
    route_waiting(balancer);
}

/* Has what waits looked at again soon. */
static void
look_again(struct balancer *balancer)
{
    pthread_mutex_lock(&balancer->lock);
    bool begin = !balancer->looking;
    balancer->looking = true;
    pthread_mutex_unlock(&balancer->lock);
    if (begin) {
        ch_timers_after(balancer->node->timers, PACE_LOOK, run_look, balancer);
    }
}

/* Does what was found to be done for a request. */
static void
run_step(struct balancer *balancer, const struct step *step)
{
    struct preparation *preparation = NULL;
    switch (step->kind) {
    case STEP_GRANT:
        step->handlers->granted(step->data, &step->grant);
        return;
    case STEP_REFUSE:
        step->handlers->refused(step->data, step->choice.code,
                                step->choice.retry_after,
                                step->choice.message);
        return;
    case STEP_PREPARE:
        preparation = g_new0(struct preparation, 1);
        preparation->balancer = balancer;
        preparation->handle = step->handle;
        if (!ch_controller_has_holder(balancer->controller,
                                      step->choice.data_centre) ||
            !ch_controller_prepare(balancer->controller, step->choice.upstream,
                                   step->choice.data_centre, step->model,
                                   step->adapter, prepare_done, preparation)) {
            g_free(preparation);
            take_prepared(balancer, step->handle, false);
        }
        return;
    case STEP_PACE:
        look_again(balancer);
        return;
    default:
        return;
    }
}

/* Routes a request; see struct ch_router_ops. */
static uint64_t
balancer_request(struct ch_router *router, const struct ch_request_info *work,
                 const GArray *excluded,
                 const struct ch_router_handlers *handlers, void *data)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_now(balancer->node->client);
    struct request *request = g_new0(struct request, 1);
    request->work = *work;
    request->handlers = handlers;
    request->data = data;
    request->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (excluded != NULL && excluded->len > 0) {
        g_array_append_vals(request->excluded, excluded->data, excluded->len);
    }
    pthread_mutex_lock(&balancer->lock);
    if (!work->is_service && work->attempt == 0 && work->refusals == 0) {
        ch_balance_record_demand(balancer->balance, work, now);
    }
    uint64_t handle = ch_table_add(balancer->requests, request);
    request->handle = handle;
    struct step step = route(balancer, request, now);
    pthread_mutex_unlock(&balancer->lock);
    run_step(balancer, &step);
    return handle;
}

/* See struct ch_router_ops. */
static bool
balancer_withdraw(struct ch_router *router, uint64_t handle)
{
    struct balancer *balancer = (struct balancer *)router;
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    bool waits = request != NULL && request->state != REQUEST_GRANTED;
    if (waits) {
        ch_table_remove(balancer->requests, handle);
        free_request(request);
    }
    pthread_mutex_unlock(&balancer->lock);
    return waits;
}

/* ---- requests that wait for their model ---- */

/* Gathers what waits. */
static void
collect_waiting(void *item, uint64_t handle, void *data)
{
    const struct request *request = item;
    if (request->state == REQUEST_WAITING || request->state == REQUEST_PACED) {
        g_array_append_val(data, handle);
    }
}

/* Looks at all that wait: something may have come, or their time is over. */
static void
route_waiting(struct balancer *balancer)
{
    GArray *handles = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *steps = g_array_new(FALSE, FALSE, sizeof(struct step));
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    ch_table_each(balancer->requests, collect_waiting, handles);
    for (guint i = 0; i < handles->len; i++) {
        struct request *request = ch_table_get(
            balancer->requests, g_array_index(handles, uint64_t, i));
        const struct step step = route(balancer, request, now);
        g_array_append_val(steps, step);
    }
    pthread_mutex_unlock(&balancer->lock);
    for (guint i = 0; i < steps->len; i++) {
        run_step(balancer, &g_array_index(steps, struct step, i));
    }
    g_array_free(handles, TRUE);
    g_array_free(steps, TRUE);
}

/* ---- what the holders tell, and are told ---- */

/* Frees what was told of an engine. */
static void
free_told(void *data)
{
    struct told_engine *told = data;
    g_array_free(told->models, TRUE);
    g_array_free(told->adapters, TRUE);
    g_free(told);
}

/* A list of names, copied. */
static GArray *
copy_names(const GQuark *names, size_t count)
{
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (count > 0) {
        g_array_append_vals(copy, names, (guint)count);
    }
    return copy;
}

/* A holder's word on one engine. */
static void
engine_told(void *data, const struct ch_engine_told *engine)
{
    struct balancer *balancer = data;
    struct told_engine *told = g_new0(struct told_engine, 1);
    told->boot = engine->boot;
    told->at = ch_client_now(balancer->node->client);
    told->models = copy_names(engine->models, engine->model_count);
    told->adapters = copy_names(engine->adapters, engine->adapter_count);
    pthread_mutex_lock(&balancer->lock);
    g_hash_table_replace(balancer->told, GUINT_TO_POINTER(engine->upstream),
                         told);
    ch_pending_loads_update(balancer->coming, engine->upstream, engine->models,
                            engine->model_count, engine->coming,
                            engine->coming_count, told->at);
    ch_balance_set_models(balancer->balance, engine->upstream, engine->models,
                          engine->model_count);
    ch_balance_set_adapters(balancer->balance, engine->upstream,
                            engine->adapters, engine->adapter_count);
    ch_balance_set_busy(balancer->balance, engine->upstream, engine->busy);
    ch_balance_set_total_load(balancer->balance, engine->upstream,
                              engine->running, engine->unread, told->at);
    pthread_mutex_unlock(&balancer->lock);
}

/* The loads of engines as of now, by the word of a holder. */
static void
engines_loaded(void *data, const GArray *loads)
{
    struct balancer *balancer = data;
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    for (guint i = 0; i < loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(loads, struct ch_engine_load, i);
        struct told_engine *told = g_hash_table_lookup(
            balancer->told, GUINT_TO_POINTER(load->upstream));
        if (told != NULL) {
            told->at = now;
        }
        ch_balance_set_total_load(balancer->balance, load->upstream,
                                  load->running, load->unread, now);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* A whole message was taken. */
static void
all_told(void *data)
{
    route_waiting(data);
}

/* What is gathered for the holders. */
struct gathered {
    const struct balancer *balancer;
    GArray *models; /* struct ch_model_demand */
};

/* The entry of a model, added when there is none. */
static struct ch_model_demand *
demand_of(GArray *models, GQuark model)
{
    for (guint i = 0; i < models->len; i++) {
        struct ch_model_demand *demand =
            &g_array_index(models, struct ch_model_demand, i);
        if (demand->model == model) {
            return demand;
        }
    }
    const struct ch_model_demand fresh = {.model = model};
    g_array_append_val(models, fresh);
    return &g_array_index(models, struct ch_model_demand, models->len - 1);
}

/* Adds what is asked of a model, unless it is next to nothing. */
static void
add_asked(void *data, GQuark model, double work)
{
    uint32_t thousandths = (uint32_t)(work * 1000);
    if (thousandths > 0) {
        demand_of(data, model)->work = thousandths;
    }
}

/* Adds a request that no engine has begun with. */
static void
add_backlog(void *item, uint64_t handle, void *data)
{
    (void)handle;
    const struct request *request = item;
    const struct gathered *gathered = data;
    if (request->work.is_service || request->begun) {
        return;
    }
    int64_t reading = ch_balance_estimate_prefill(gathered->balancer->balance,
                                                  &request->work);
    demand_of(gathered->models, request->work.model)->backlog +=
        (uint32_t)(reading / 1000);
}

/* Adds what this node has sent to one engine. */
static void
add_load(void *data, GQuark upstream, GQuark data_centre, uint32_t running,
         int64_t unread)
{
    const struct ch_engine_load load = {upstream, data_centre, running,
                                        unread};
    g_array_append_val((GArray *)data, load);
}

/* What this node's requests ask for, and where they run. */
static void
tell_demand(void *data, GArray *out, GArray *loads)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    const struct gathered gathered = {balancer, out};
    ch_balance_report_load(balancer->balance, add_load, loads);
    ch_balance_foreach_demand(balancer->balance,
                              ch_client_now(balancer->node->client), add_asked,
                              out);
    ch_table_each(balancer->requests, add_backlog, (void *)&gathered);
    pthread_mutex_unlock(&balancer->lock);
    route_waiting(balancer);
}

/* Adds the adapter that a request runs on. */
static void
add_used(void *item, uint64_t handle, void *data)
{
    (void)handle;
    const struct request *request = item;
    if (request->state == REQUEST_GRANTED && request->work.adapter != 0) {
        note_used(data, request);
    }
}

/* Which adapters are in use, or were since this was last asked. */
static void
tell_used(void *data, GPtrArray *out)
{
    struct balancer *balancer = data;
    GHashTableIter iterator;
    gpointer key = NULL;
    pthread_mutex_lock(&balancer->lock);
    ch_table_each(balancer->requests, add_used, balancer);
    g_hash_table_iter_init(&iterator, balancer->used);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_ptr_array_add(out, g_strdup(key));
    }
    g_hash_table_remove_all(balancer->used);
    pthread_mutex_unlock(&balancer->lock);
}

/* See struct ch_router_ops. */
static void
balancer_first(struct ch_router *router, uint64_t handle)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL && !request->begun) {
        request->begun = true;
        ch_balance_record_first_byte(balancer->balance, &request->work,
                                     &request->choice, now - request->at, now);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* Learns from a refusal by an upstream that does not hold what was asked. */
static void
note_refused(struct balancer *balancer, const struct request *request)
{
    if (request->work.adapter != 0) {
        ch_balance_set_adapter_resident(balancer->balance,
                                        request->choice.upstream,
                                        request->work.adapter, false);
    }
}

/* See struct ch_router_ops. */
static void
balancer_release(struct ch_router *router, uint64_t handle,
                 const struct ch_timing_sample *sample)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_remove(balancer->requests, handle);
    if (request != NULL) {
        ch_balance_record_end(balancer->balance, &request->work,
                              &request->choice, request->begun, sample, now);
        if (sample->code == CH_UPSTREAM_REFUSED) {
            note_refused(balancer, request);
        }
        free_request(request);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* ---- status ---- */

/* One upstream in the status. */
static void
status_host(void *data, const struct ch_host *host)
{
    JsonBuilder *builder = data;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "name");
    json_builder_add_string_value(builder, host->name);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, host->address);
    json_builder_set_member_name(builder, "data_centre");
    json_builder_add_string_value(builder, host->data_centre);
    json_builder_set_member_name(builder, "leaving");
    json_builder_add_boolean_value(builder, host->leaving);
    json_builder_set_member_name(builder, "resident");
    json_builder_begin_array(builder);
    for (size_t i = 0; host->resident != NULL && host->resident[i] != NULL;
         i++) {
        json_builder_add_string_value(builder, host->resident[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
}

/* See struct ch_router_ops. */
static void
balancer_status(struct ch_router *router, JsonBuilder *builder)
{
    struct balancer *balancer = (struct balancer *)router;
    json_builder_set_member_name(builder, "upstreams");
    json_builder_begin_array(builder);
    ch_roster_each(balancer->roster, status_host, builder);
    json_builder_end_array(builder);
    ch_controller_status(balancer->controller, builder);
}

/* ---- life ---- */

/* See struct ch_router_ops. */
static void
balancer_start(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    ch_roster_start(balancer->roster);
    ch_controller_start(balancer->controller);
}

/* See struct ch_router_ops. */
static bool
balancer_ready(struct ch_router *router)
{
    return ch_roster_known(((struct balancer *)router)->roster);
}

/* See struct ch_router_ops. */
static void
balancer_drain(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    ch_controller_drain(balancer->controller);
    ch_roster_leave(balancer->roster);
}

/* See struct ch_router_ops. */
static void
balancer_stop(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    ch_controller_stop(balancer->controller);
    ch_roster_stop(balancer->roster);
}

/* Gathers what is left in a table. */
static void
collect(void *item, uint64_t handle, void *data)
{
    (void)handle;
    g_ptr_array_add(data, item);
}

/* See struct ch_router_ops. */
static void
balancer_free(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    GPtrArray *left = g_ptr_array_new();
    ch_table_each(balancer->requests, collect, left);
    for (guint i = 0; i < left->len; i++) {
        free_request(g_ptr_array_index(left, i));
    }
    g_ptr_array_free(left, TRUE);
    ch_table_free(balancer->requests);
    ch_controller_free(balancer->controller);
    ch_roster_free(balancer->roster);
    g_hash_table_destroy(balancer->told);
    g_hash_table_destroy(balancer->used);
    ch_pending_loads_free(balancer->coming);
    ch_balance_free(balancer->balance);
    g_hash_table_destroy(balancer->clients);
    pthread_mutex_destroy(&balancer->lock);
    g_free(balancer);
}

/* A router that knows no upstreams yet; node outlives it. */
struct ch_router *
ch_balancer_new(struct ch_node *node)
{
    static const struct ch_router_ops ops = {
        .start = balancer_start,
        .ready = balancer_ready,
        .request = balancer_request,
        .withdraw = balancer_withdraw,
        .first = balancer_first,
        .release = balancer_release,
        .drain = balancer_drain,
        .stop = balancer_stop,
        .free = balancer_free,
        .status = balancer_status,
    };
    static const struct ch_controller_handlers handlers = {
        .told = engine_told,
        .loads = engines_loaded,
        .told_all = all_told,
        .demand = tell_demand,
        .used = tell_used,
    };
    struct balancer *balancer = g_new0(struct balancer, 1);
    balancer->router.ops = &ops;
    balancer->node = node;
    balancer->balance =
        ch_balance_new(g_quark_from_string(node->settings->region),
                       g_quark_from_string(node->settings->data_centre));
    ch_balance_disable_features(balancer->balance, &node->settings->without);
    balancer->coming = ch_pending_loads_new();
    balancer->clients = g_hash_table_new_full(NULL, NULL, NULL, client_unref);
    balancer->requests = ch_table_new();
    pthread_mutex_init(&balancer->lock, NULL);
    balancer->told = g_hash_table_new_full(NULL, NULL, NULL, free_told);
    balancer->used =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    balancer->roster = ch_roster_new(node, roster_changed, balancer);
    balancer->controller =
        ch_controller_new(node, balancer->roster, &handlers, balancer);
    return &balancer->router;
}
