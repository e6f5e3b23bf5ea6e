/*
 * Routes the requests of this node's callers by this node's own knowledge of
 * the upstreams: the roster's list, the engine status that lease holders
 * publish, and the requests that this node has sent. No other node is asked
 * for permission, so that a fault of another node delays no request.
 */

#include "node/balancer.h"

#include "decide/balance.h"
#include "decide/late.h"
#include "node/controller.h"
#include "node/crash_guard.h"
#include "node/dialect.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"
#include "node/roster.h"
#include "node/stream_manager.h"

#include <pthread.h>
#include <string.h>

enum {
    /* Timeout of load orders, unload orders and reports to upstreams. */
    UPSTREAM_ORDER_TIMEOUT_US = 2 * 1000 * 1000,
    /* A lease holder's status of an engine is preferred to the host list for
     * this long, and for as long as the list's report of the engine is
     * older. */
    STATUS_FRESH_US = 6 * 1000 * 1000,
    /* How long a request waits for its model, in multiples of its class's
     * target: callers give up a stream that brings no data for four
     * targets. */
    MODEL_WAIT_TARGETS = 3,
    /* How long a request waits for an engine to begin loading its model. Any
     * wait for a model also ends this long before the deadline for the whole
     * response. */
    LOAD_START_WAIT_US = 1500 * 1000,
    /* When a caller whose model is not loaded may retry: a local copy loads in
     * two seconds. */
    MODEL_RETRY_AFTER_US = 2000 * 1000,
    ADAPTER_RETRY_AFTER_US = 500 * 1000,
    /* A request is deferred only while this fraction of its target (one
     * divided by the divisor) remains free, and is routed again after the
     * recheck time. */
    DEFER_MARGIN_DIVISOR = 4,
    DEFER_RECHECK_US = 15 * 1000,
    /* How long an upstream is passed over after its limit refused a call. The
     * time that such a refusal states may lie behind those of other calls. */
    MAX_LIMITED_US = 1000 * 1000,
    /* A list that was confirmed longer ago than this may lack the restart of
     * an upstream under its name. */
    MAX_LIST_AGE_US = 6 * 1000 * 1000,
    /* The priority of the team orders requests before that of their class,
     * which is below this. */
    RANKS_PER_TEAM_PRIORITY = 10,
    /* Limit of engines that are asked in vain to load a request's adapter. */
    MAX_ADAPTER_LOADS = 2,
};

/* The client of an upstream, kept while the upstream is listed or a call uses
 * the client. */
struct upstream_client {
    int references;
    struct ch_upstream *client;
    char *address;
};

enum request_state {
    REQUEST_LOADING_ADAPTER,   /* waiting until its adapter is loaded */
    REQUEST_WAITING_FOR_MODEL, /* no engine can take the request yet */
    REQUEST_DEFERRED, /* deferred to limit prefill bursts; see may_defer() */
    REQUEST_GRANTED,
};

/* A request that was granted an upstream or is waiting for one. */
struct request {
    uint64_t handle;
    enum request_state state;
    struct ch_request_info info;
    GArray *excluded; /* GQuark */
    const struct ch_router_handlers *handlers;
    void *data;
    struct ch_upstream_choice choice;
    struct upstream_client *client; /* when granted */
    unsigned failed_adapter_loads;
    bool may_lack_room; /* to be asked about while room is short */
    bool has_first_byte;
    int64_t granted_time;
    int64_t wait_limit; /* time when the wait ends at the latest */
};

/* The last status of an engine that a lease holder published. */
struct received_status {
    uint64_t engine_boot_id;
    int64_t received_time;
    GArray *models;   /* GQuark */
    GArray *adapters; /* GQuark */
};

struct balancer {
    struct ch_router router;
    struct ch_node *node;
    struct ch_roster *roster;
    struct ch_controller *controller;
    pthread_mutex_t lock;
    struct ch_balance *balance; /* guarded by lock, like the members below */
    GHashTable *clients;        /* GQuark to struct upstream_client */
    /* GQuark; NULL except during an update from the roster */
    GHashTable *listed_upstreams;
    GHashTable *statuses; /* GQuark to struct received_status */
    struct ch_pending_loads
        *loading_models;         /* which engines load which models */
    GHashTable *adapters_in_use; /* set of "UPSTREAM MODEL/ADAPTER" */
    struct ch_table *requests;
    bool recheck_scheduled;
};

/* ---- clients ---- */

/* Drops a reference; the last one frees the client. Lock held. */
static void
client_unref(void *data)
{
    struct upstream_client *client = data;
    if (--client->references > 0) {
        return;
    }
    client->client->ops->free(client->client);
    g_free(client->address);
    g_free(client);
}

/* Handles what a response says of the rejections that its upstream bears. */
static void
handle_brittle(const struct ch_limit_listener *listener,
               const struct ch_limit_reading *reading, bool succeeded,
               int64_t sent_at)
{
    ch_slots_handle_reading(listener->data, listener->upstream, reading,
                            succeeded, sent_at);
}

/* Ensures that a listed upstream has a client. A changed address means another
 * process, which gets a new client. Lock held. */
static void
ensure_client(struct balancer *balancer, GQuark name,
              const struct ch_host *host)
{
    struct ch_node *node = balancer->node;
    gpointer key = GUINT_TO_POINTER(name);
    const struct upstream_client *known =
        g_hash_table_lookup(balancer->clients, key);
    if (known != NULL && strcmp(known->address, host->address) == 0) {
        return;
    }
    struct upstream_client *client = g_new0(struct upstream_client, 1);
    client->references = 1;
    client->address = g_strdup(host->address);
    client->client = node->dialect->upstream_new(
        node->client, node->http, host, UPSTREAM_ORDER_TIMEOUT_US);
    client->client->limit_listener = ch_limit_manager_get_listener(
        node->limits, name, g_quark_from_string(host->region));
    client->client->brittle_listener = (struct ch_limit_listener){
        .handle = handle_brittle,
        .data = node->slots,
        .upstream = name,
    };
    client->client->path_listener =
        ch_path_manager_get_listener(node->paths, host);
    client->client->notice_listener = ch_notices_get_listener(
        node->notices, name, g_quark_from_string(host->region));
    client->client->pace_listener = ch_pace_get_listener(node->pace, name);
    g_hash_table_replace(balancer->clients, key, client);
}

/* Takes over what is known of an upstream's pace; runs on the pool. */
static void
handle_pace(void *data, GQuark upstream, const struct ch_pace_state *state)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    ch_balance_set_pace(balancer->balance, upstream, state);
    GQuark service = ch_balance_get_service(balancer->balance, upstream);
    pthread_mutex_unlock(&balancer->lock);
    if (service != 0 &&
        balancer->node->settings->overload_control != CH_OVERLOAD_OFF) {
        ch_room_enable_service(balancer->node->room, service);
    }
}

/* ---- updates from the roster ---- */

struct update {
    struct balancer *balancer;
    struct ch_config *config; /* NULL: none yet */
    GArray *listed;           /* struct ch_crash_listed_upstream */
    GArray *versions;         /* struct ch_stream_origin */
};

/* Splits the names of an upstream's resident items into models and
 * adapters. */
static void
split_resident(char **names, GArray *models, GArray *adapters)
{
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        GQuark name = g_quark_from_string(names[i]);
        GArray *into = strchr(names[i], '/') == NULL ? models : adapters;
        g_array_append_val(into, name);
    }
}

/* Returns the declaration of a service, or NULL. */
static const struct ch_service *
find_service(const struct ch_config *config, const char *name)
{
    if (config == NULL) {
        return NULL;
    }
    int index = ch_declaration_find_service(config->declaration, name);
    return index < 0 ? NULL : &config->declaration->services[index];
}

/* Returns the lease holder's status of a listed upstream if it is fresh or
 * newer than the upstream's own report, which comes only now and then and
 * never lists adapters; otherwise NULL. Lock held. */
static const struct received_status *
find_fresh_status(const struct balancer *balancer, const struct ch_host *host)
{
    int64_t now = ch_client_get_time(balancer->node->client);
    const struct received_status *status = g_hash_table_lookup(
        balancer->statuses, GUINT_TO_POINTER(g_quark_try_string(host->name)));
    return status != NULL && status->engine_boot_id == host->boot_id &&
                   (now - status->received_time < STATUS_FRESH_US ||
                    status->received_time > host->received_at)
               ? status
               : NULL;
}

/* Updates one upstream from the list. Lock held. */
static void
update_upstream(void *data, const struct ch_host *host)
{
    const struct update *update = data;
    struct balancer *balancer = update->balancer;
    const struct ch_service *service =
        find_service(update->config, host->service);
    GArray *models = g_array_new(FALSE, FALSE, sizeof(GQuark));
    GArray *adapters = g_array_new(FALSE, FALSE, sizeof(GQuark));
    split_resident(host->resident_items, models, adapters);
    const struct received_status *status = find_fresh_status(balancer, host);
    if (status != NULL) {
        g_array_set_size(models, 0);
        g_array_append_vals(models, status->models->data, status->models->len);
    }
    const struct ch_upstream_info upstream = {
        .name = g_quark_from_string(host->name),
        .service = g_quark_from_string(host->service),
        .region = g_quark_from_string(host->region),
        .data_centre = g_quark_from_string(host->data_centre),
        .version = g_quark_from_string(host->version),
        .version_id = ch_version_get_id(host->version),
        .engine = host->kind == CH_HOST_ENGINE,
        .draining = host->draining,
        .boot_id = host->boot_id,
        .confirmed_at = host->received_at,
        .slots = host->max_batch,
        .context_tokens = service == NULL ? 0 : service->context_tokens,
        .adapter_slots = service == NULL ? 0 : service->adapter_slots,
        .resident_models = (const GQuark *)(void *)models->data,
        .resident_model_count = models->len,
    };
    ensure_client(balancer, upstream.name, host);
    ch_path_manager_set_draining(balancer->node->paths, upstream.name,
                                 host->draining);
    ch_limit_manager_update_upstream(balancer->node->limits, upstream.name,
                                     upstream.boot_id);
    ch_notices_update_upstream(balancer->node->notices, upstream.name,
                               upstream.region, upstream.boot_id);
    ch_pace_update_upstream(balancer->node->pace, upstream.name,
                            upstream.boot_id);
    const struct ch_slots_upstream slots = {
        .name = upstream.name,
        .service = upstream.service,
        .region = upstream.region,
        .boot_id = upstream.boot_id,
        .slots = upstream.slots,
        .tokens = upstream.engine ? upstream.context_tokens : 0,
    };
    ch_slots_update_upstream(balancer->node->slots, &slots);
    const struct ch_crash_listed_upstream listed = {
        upstream.name, upstream.boot_id, upstream.draining};
    g_array_append_val(update->listed, listed);
    const struct ch_stream_origin version = {ch_hash_string(host->service),
                                             upstream.version_id};
    g_array_append_val(update->versions, version);
    g_hash_table_add(balancer->listed_upstreams,
                     GUINT_TO_POINTER(upstream.name));
    ch_balance_update_upstream(balancer->balance, &upstream);
    if (status == NULL) {
        ch_balance_set_adapters(balancer->balance, upstream.name,
                                (const GQuark *)(void *)adapters->data,
                                adapters->len);
    }
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
}

/* Whether to remove the client of an upstream that is no longer listed. The
 * models that this upstream was loading are no longer expected. Lock held. */
static gboolean
remove_unlisted(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    struct balancer *balancer = data;
    if (g_hash_table_contains(balancer->listed_upstreams, key)) {
        return FALSE;
    }
    ch_pending_loads_update(balancer->loading_models, GPOINTER_TO_UINT(key),
                            NULL, 0, NULL, 0,
                            ch_client_get_time(balancer->node->client));
    ch_path_manager_forget(balancer->node->paths, GPOINTER_TO_UINT(key));
    ch_pace_forget(balancer->node->pace, GPOINTER_TO_UINT(key));
    return TRUE;
}

static void route_waiting(struct balancer *balancer);

/* Takes over the roster's list after a change; runs on the pool. */
static void
handle_roster_change(void *data)
{
    struct balancer *balancer = data;
    struct update update = {
        .balancer = balancer,
        .config = ch_config_manager_get_current(balancer->node->config),
        .listed =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_listed_upstream)),
        .versions = g_array_new(FALSE, FALSE, sizeof(struct ch_stream_origin)),
    };
    pthread_mutex_lock(&balancer->lock);
    balancer->listed_upstreams = g_hash_table_new(NULL, NULL);
    ch_balance_begin_update(balancer->balance);
    ch_roster_foreach(balancer->roster, update_upstream, &update);
    ch_balance_end_update(balancer->balance);
    g_hash_table_foreach_remove(balancer->clients, remove_unlisted, balancer);
    g_hash_table_destroy(balancer->listed_upstreams);
    balancer->listed_upstreams = NULL;
    pthread_mutex_unlock(&balancer->lock);
    ch_config_unref(update.config);
    ch_crash_guard_update_upstreams(
        balancer->node->crash_guard,
        (const struct ch_crash_listed_upstream *)(void *)update.listed->data,
        update.listed->len);
    g_array_free(update.listed, TRUE);
    ch_stream_manager_update_versions(
        balancer->node->streams,
        (const struct ch_stream_origin *)(void *)update.versions->data,
        update.versions->len);
    g_array_free(update.versions, TRUE);
    ch_controller_refresh(balancer->controller);
    route_waiting(balancer);
}

/* ---- requests ---- */

/* Frees a request that was removed from the table. Lock held. */
static void
free_request(struct request *request)
{
    if (request->client != NULL) {
        client_unref(request->client);
    }
    g_array_free(request->excluded, TRUE);
    g_free(request);
}

/* An action for a request, to be run without the lock. */
struct action {
    enum {
        ACTION_NONE,
        ACTION_GRANT,
        ACTION_REFUSE,
        ACTION_LOAD_ADAPTER,
        ACTION_DEFER,
    } kind;
    const struct ch_router_handlers *handlers;
    void *data;
    uint64_t handle;
    struct ch_grant grant;
    struct ch_upstream_choice choice;
    GQuark model;
    GQuark adapter;
};

/* Removes a request from the table and refuses it. Lock held. */
static struct action
refuse(struct balancer *balancer, struct request *request, enum ch_code code,
       int64_t retry_after, const char *message)
{
    const struct action action = {
        .kind = ACTION_REFUSE,
        .handlers = request->handlers,
        .data = request->data,
        .choice = {.code = code,
                   .retry_after = retry_after,
                   .message = message},
    };
    ch_table_remove(balancer->requests, request->handle);
    free_request(request);
    return action;
}

/* Records that a request's adapter is in use at its upstream. Lock held. */
static void
record_adapter_use(struct balancer *balancer, const struct request *request)
{
    g_hash_table_add(
        balancer->adapters_in_use,
        g_strdup_printf("%s %s", g_quark_to_string(request->choice.upstream),
                        g_quark_to_string(request->info.adapter)));
}

/* Counts and logs what the choice of an upstream was based on. Lock held. */
static void
log_choice(const struct balancer *balancer, const struct request *request)
{
    const struct ch_client *client = balancer->node->client;
    const struct ch_upstream_choice *choice = &request->choice;
    if (choice->avoided_pauses) {
        ch_metrics_add_count(client->metrics, CH_COUNT_PAUSES_AVOIDED, 1);
    }
    ch_log(client, CH_LOG_DEBUG, "upstream-chosen",
           CH_F_STR("upstream", g_quark_to_string(choice->upstream)),
           CH_F_STR("model", g_quark_to_string(request->info.model)),
           CH_F_INT("attempt", request->info.attempt),
           CH_F_INT("expected_us", choice->expected_latency),
           CH_F_INT("prefill_us", choice->prefill_time),
           CH_F_NUM("pace", choice->expected_pace),
           CH_F_INT("pace_age_us", choice->pace_age),
           CH_F_NUM("late_streams", choice->late_streams),
           CH_F_BOOL("avoided_pauses", choice->avoided_pauses), CH_F_END);
}

/* Grants a request the chosen upstream. Lock held. */
static struct action
grant(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_upstream_choice *choice = &request->choice;
    request->state = REQUEST_GRANTED;
    request->granted_time = now;
    request->client = g_hash_table_lookup(balancer->clients,
                                          GUINT_TO_POINTER(choice->upstream));
    request->client->references++;
    ch_balance_record_sent(balancer->balance, &request->info, choice, now);
    log_choice(balancer, request);
    if (request->info.adapter != 0) {
        record_adapter_use(balancer, request);
    }
    return (struct action){
        .kind = ACTION_GRANT,
        .handlers = request->handlers,
        .data = request->data,
        .grant =
            {
                .handle = request->handle,
                .upstream = choice->upstream,
                .boot_id = choice->boot_id,
                .version = choice->version,
                .version_id = choice->version_id,
                .may_have_restarted =
                    choice->may_have_restarted ||
                    ch_roster_get_age(balancer->roster) > MAX_LIST_AGE_US,
                .client = request->client->client,
                .address = request->client->address,
                .priority = request->info.priority,
                .other_region = choice->other_region,
                .is_last_resort = choice->is_last_resort,
                .expected_latency = choice->expected_latency,
                .region = choice->region,
                .prefill = choice->prefill,
            },
    };
}

struct required_version {
    const struct ch_balance *balance;
    uint64_t version; /* 0: any */
};

/* For ch_pending_loads_estimate_ready_on(): whether the upstream runs the
 * software that the request requires. */
static bool
runs_required_version(const void *data, GQuark upstream)
{
    const struct required_version *required = data;
    return required->version == 0 ||
           ch_balance_get_version(required->balance, upstream) ==
               required->version;
}

/* Time at which an engine that is loading the request's model is expected to
 * have it; 0: no engine is loading it, or requests are not to wait for models.
 * Lock held. */
static int64_t
estimate_model_ready(const struct balancer *balancer,
                     const struct ch_request_info *info, int64_t now)
{
    const struct required_version required = {balancer->balance,
                                              info->required_version};
    return balancer->node->settings->disabled_features.wait_for_model
               ? 0
               : ch_pending_loads_estimate_ready_on(
                     balancer->loading_models, info->model,
                     runs_required_version, &required, now);
}

/*
 * Decides about a request that no upstream can take. A request whose model is
 * being loaded waits for it, for as long as its caller would wait. If no
 * engine is loading the model, the request is refused soon, with a time to
 * retry. Lock held.
 */
static struct action
wait_or_refuse(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_request_info *info = &request->info;
    int64_t limit =
        info->arrived_at +
        MODEL_WAIT_TARGETS * (info->first_token_deadline - info->arrived_at);
    if (info->is_service || request->excluded->len > 0 ||
        request->choice.code == CH_VERSION_GONE) {
        return refuse(balancer, request, request->choice.code,
                      request->choice.retry_after, request->choice.message);
    }
    if (estimate_model_ready(balancer, info, now) == 0) {
        limit = MIN(limit, info->arrived_at + LOAD_START_WAIT_US);
    }
    limit = MIN(limit, info->answer_deadline - LOAD_START_WAIT_US);
    if (now >= limit) {
        return refuse(balancer, request, CH_NO_UPSTREAM, MODEL_RETRY_AFTER_US,
                      "no engine has the model");
    }
    request->state = REQUEST_WAITING_FOR_MODEL;
    request->may_lack_room = false; /* it is not refused after a wait */
    request->wait_limit = limit;
    return (struct action){.kind = ACTION_NONE};
}

/* Decides about a request that the chosen engine would start too late. Lock
 * held. */
static struct action
wait_or_refuse_late(struct balancer *balancer, struct request *request,
                    int64_t now)
{
    const struct ch_late_decision late = ch_late_decide(
        &request->info, request->choice.expected_latency,
        estimate_model_ready(balancer, &request->info, now), now);
    if (late.should_wait) {
        request->state = REQUEST_WAITING_FOR_MODEL;
        request->wait_limit = late.wait_until;
        return (struct action){.kind = ACTION_NONE};
    }
    return refuse(balancer, request, CH_LATE, late.retry_after,
                  "the model's engines are full");
}

/* Whether a request may be deferred so that its prefill does not pause the
 * engine's streams for too long: the expected latency and a margin must still
 * fit into the time to the request's target. Lock held. */
static bool
may_defer(const struct request *request, int64_t now)
{
    const struct ch_request_info *info = &request->info;
    int64_t target = info->first_token_deadline - info->arrived_at;
    return now + request->choice.expected_latency +
               target / DEFER_MARGIN_DIVISOR <
           info->first_token_deadline;
}

/* What the division of short room needs to know of a request. Lock held. */
static struct ch_room_request
describe_for_room(const struct balancer *balancer,
                  const struct ch_request_info *info, int64_t now)
{
    return (struct ch_room_request){
        .id = ch_hash_pair(info->id,
                           ch_hash_string(balancer->node->settings->name)),
        .name = info->request_id,
        .service = info->required_service,
        .model = info->model,
        .rank = info->priority * RANKS_PER_TEAM_PRIORITY +
                MIN(info->class_priority, RANKS_PER_TEAM_PRIORITY - 1),
        .team = info->has_team ? info->tenant : 0,
        .work = ch_balance_estimate_work(balancer->balance, info),
        .remaining = MAX(info->answer_deadline - now, 1),
    };
}

/* Whether a request that no upstream can serve within its target is admitted
 * nevertheless. It is asked about only once, so that a request that waits is
 * not refused later. Lock held. */
static bool
is_admitted_to_room(struct balancer *balancer, struct request *request,
                    int64_t now, int64_t *retry_after)
{
    const struct ch_request_info *info = &request->info;
    int64_t expected = request->choice.shortest_latency;
    if (!request->may_lack_room ||
        (now + expected <= info->first_token_deadline &&
         !ch_late_is_expected(info, expected, now))) {
        return true;
    }
    /* Another engine may have the model within the target. */
    int64_t ready_at = estimate_model_ready(balancer, info, now);
    if (ready_at != 0 && ready_at < info->first_token_deadline) {
        return true;
    }
    request->may_lack_room = false;
    const struct ch_room_request described =
        describe_for_room(balancer, info, now);
    return ch_room_admit(balancer->node->room, &described,
                         ch_balance_estimate_engine_room(balancer->balance,
                                                         described.service,
                                                         described.model, now),
                         retry_after);
}

/* Chooses an upstream for a request. Lock held. */
static struct action
route(struct balancer *balancer, struct request *request, int64_t now)
{
    const struct ch_request_info *info = &request->info;
    bool ready = request->failed_adapter_loads >= MAX_ADAPTER_LOADS;
    int64_t retry_after = 0;
    request->choice = ch_balance_choose(balancer->balance, info,
                                        request->excluded, ready, now);
    if (request->choice.code != CH_OK && ready) {
        return refuse(balancer, request, CH_NO_UPSTREAM,
                      ADAPTER_RETRY_AFTER_US,
                      "the adapter cannot be loaded now");
    }
    if (request->choice.code != CH_OK) {
        return wait_or_refuse(balancer, request, now);
    }
    if (!is_admitted_to_room(balancer, request, now, &retry_after)) {
        return refuse(balancer, request, CH_OVER_SHARE, retry_after,
                      "the room goes to more urgent requests or other teams");
    }
    if (!balancer->node->settings->disabled_features.refuse_late &&
        ch_late_is_expected(info, request->choice.expected_latency, now)) {
        return wait_or_refuse_late(balancer, request, now);
    }
    if (request->choice.should_defer && may_defer(request, now)) {
        request->state = REQUEST_DEFERRED;
        return (struct action){.kind = ACTION_DEFER};
    }
    if (!request->choice.adapter_missing) {
        return grant(balancer, request, now);
    }
    request->state = REQUEST_LOADING_ADAPTER;
    return (struct action){
        .kind = ACTION_LOAD_ADAPTER,
        .handle = request->handle,
        .choice = request->choice,
        .model = info->model,
        .adapter = info->adapter,
    };
}

/* ---- actions, without the lock ---- */

/* A request whose adapter is being loaded. */
struct adapter_load {
    struct balancer *balancer;
    uint64_t handle;
};

static void run_action(struct balancer *balancer, const struct action *action);

/* Continues with a request whose adapter was loaded or could not be loaded. */
static void
continue_after_adapter_load(struct balancer *balancer, uint64_t handle,
                            bool loaded)
{
    struct action action = {.kind = ACTION_NONE};
    int64_t now = ch_client_get_time(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL && request->state == REQUEST_LOADING_ADAPTER) {
        GQuark upstream = request->choice.upstream;
        bool listed = g_hash_table_contains(balancer->clients,
                                            GUINT_TO_POINTER(upstream));
        ch_balance_set_adapter_resident(balancer->balance, upstream,
                                        request->info.adapter, loaded);
        if (loaded && listed) {
            action = grant(balancer, request, now);
        }
        else {
            request->failed_adapter_loads++;
            request->may_lack_room = false;
            g_array_append_val(request->excluded, upstream);
            action = route(balancer, request, now);
        }
    }
    pthread_mutex_unlock(&balancer->lock);
    run_action(balancer, &action);
}

/* Handles the lease holder's reply to an adapter load. */
static void
handle_adapter_loaded(void *data, enum ch_code code,
                      const Chestnuthitch__Wire__Frame *reply)
{
    struct adapter_load *adapter_load = data;
    bool loaded = code == CH_OK && reply != NULL &&
                  reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_DONE;
    continue_after_adapter_load(adapter_load->balancer, adapter_load->handle,
                                loaded);
    g_free(adapter_load);
}

/* Routes the waiting requests again; runs on the pool. */
static void
recheck_waiting(void *data)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    balancer->recheck_scheduled = false;
    pthread_mutex_unlock(&balancer->lock);
    route_waiting(balancer);
}

/* Schedules a recheck of the waiting requests unless one is pending. */
static void
schedule_recheck(struct balancer *balancer)
{
    pthread_mutex_lock(&balancer->lock);
    bool must_schedule = !balancer->recheck_scheduled;
    balancer->recheck_scheduled = true;
    pthread_mutex_unlock(&balancer->lock);
    if (must_schedule) {
        ch_timers_add(balancer->node->timers, DEFER_RECHECK_US,
                      recheck_waiting, balancer);
    }
}

/* Runs the action that was chosen for a request. */
static void
run_action(struct balancer *balancer, const struct action *action)
{
    struct adapter_load *adapter_load = NULL;
    switch (action->kind) {
    case ACTION_GRANT:
        action->handlers->granted(action->data, &action->grant);
        return;
    case ACTION_REFUSE:
        action->handlers->refused(action->data, action->choice.code,
                                  action->choice.retry_after,
                                  action->choice.message);
        return;
    case ACTION_LOAD_ADAPTER:
        adapter_load = g_new0(struct adapter_load, 1);
        adapter_load->balancer = balancer;
        adapter_load->handle = action->handle;
        if (!ch_controller_has_lease_holder(balancer->controller,
                                            action->choice.data_centre) ||
            !ch_controller_prepare_adapter(
                balancer->controller, action->choice.upstream,
                action->choice.data_centre, action->model, action->adapter,
                handle_adapter_loaded, adapter_load)) {
            g_free(adapter_load);
            continue_after_adapter_load(balancer, action->handle, false);
        }
        return;
    case ACTION_DEFER:
        schedule_recheck(balancer);
        return;
    default:
        return;
    }
}

/* Records the first attempt of a request for a model. A request that is bound
 * to an upstream or continues a stream is never refused for want of room. Lock
 * held. */
static void
record_for_room(struct balancer *balancer, struct request *request,
                int64_t now)
{
    const struct ch_request_info *info = &request->info;
    if (!ch_room_is_on(balancer->node->room, info->required_service)) {
        return;
    }
    const struct ch_room_request described =
        describe_for_room(balancer, info, now);
    ch_room_record(balancer->node->room, &described);
    request->may_lack_room = !info->answer_started &&
                             info->required_upstream == 0 &&
                             info->required_version == 0;
}

/* Routes a request; see struct ch_router_ops. */
static uint64_t
balancer_request(struct ch_router *router, const struct ch_request_info *info,
                 const GArray *excluded,
                 const struct ch_router_handlers *handlers, void *data)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_get_time(balancer->node->client);
    struct request *request = g_new0(struct request, 1);
    request->info = *info;
    request->handlers = handlers;
    request->data = data;
    request->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (excluded != NULL && excluded->len > 0) {
        g_array_append_vals(request->excluded, excluded->data, excluded->len);
    }
    pthread_mutex_lock(&balancer->lock);
    if (!info->is_service && info->attempt == 0 && info->refusals == 0 &&
        request->excluded->len == 0) {
        ch_balance_record_demand(balancer->balance, info, now);
        record_for_room(balancer, request, now);
    }
    uint64_t handle = ch_table_add(balancer->requests, request);
    request->handle = handle;
    struct action action = route(balancer, request, now);
    pthread_mutex_unlock(&balancer->lock);
    run_action(balancer, &action);
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

/* ---- requests that wait for an upstream ---- */

/* Collects the handles of waiting requests. */
static void
collect_waiting(void *item, uint64_t handle, void *data)
{
    const struct request *request = item;
    if (request->state == REQUEST_WAITING_FOR_MODEL ||
        request->state == REQUEST_DEFERRED) {
        g_array_append_val(data, handle);
    }
}

/* Routes all waiting requests again: their model may have been loaded, or
 * their wait may be over. */
static void
route_waiting(struct balancer *balancer)
{
    GArray *handles = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(struct action));
    int64_t now = ch_client_get_time(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    ch_table_foreach(balancer->requests, collect_waiting, handles);
    for (guint i = 0; i < handles->len; i++) {
        struct request *request = ch_table_get(
            balancer->requests, g_array_index(handles, uint64_t, i));
        const struct action action = route(balancer, request, now);
        g_array_append_val(actions, action);
    }
    pthread_mutex_unlock(&balancer->lock);
    for (guint i = 0; i < actions->len; i++) {
        run_action(balancer, &g_array_index(actions, struct action, i));
    }
    g_array_free(handles, TRUE);
    g_array_free(actions, TRUE);
}

/* ---- engine status from lease holders, demand to lease holders ---- */

static void
free_status(void *data)
{
    struct received_status *status = data;
    g_array_free(status->models, TRUE);
    g_array_free(status->adapters, TRUE);
    g_free(status);
}

static GArray *
copy_names(const GQuark *names, size_t count)
{
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (count > 0) {
        g_array_append_vals(copy, names, (guint)count);
    }
    return copy;
}

/* Whether a status is of another process than the list's entry: of an engine
 * that has started again under its name, with other software perhaps. Lock
 * held. */
static bool
is_of_other_process(const struct balancer *balancer,
                    const struct ch_engine_status *engine)
{
    uint64_t listed = ch_balance_get_boot(balancer->balance, engine->upstream);
    return listed != 0 && engine->boot_id != 0 && listed != engine->boot_id;
}

/* Handles a lease holder's status of one engine. */
static void
handle_engine_status(void *data, const struct ch_engine_status *engine)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    bool is_of_other = is_of_other_process(balancer, engine);
    pthread_mutex_unlock(&balancer->lock);
    if (is_of_other) {
        return;
    }
    struct received_status *status = g_new0(struct received_status, 1);
    status->engine_boot_id = engine->boot_id;
    status->received_time = ch_client_get_time(balancer->node->client);
    status->models = copy_names(engine->models, engine->model_count);
    status->adapters = copy_names(engine->adapters, engine->adapter_count);
    pthread_mutex_lock(&balancer->lock);
    g_hash_table_replace(balancer->statuses,
                         GUINT_TO_POINTER(engine->upstream), status);
    ch_pending_loads_update(balancer->loading_models, engine->upstream,
                            engine->models, engine->model_count,
                            engine->pending_loads, engine->pending_load_count,
                            status->received_time);
    ch_balance_set_models(balancer->balance, engine->upstream, engine->models,
                          engine->model_count);
    ch_balance_set_adapters(balancer->balance, engine->upstream,
                            engine->adapters, engine->adapter_count);
    ch_balance_set_busy(balancer->balance, engine->upstream, engine->busy);
    ch_balance_set_total_load(balancer->balance, engine->upstream,
                              engine->running, engine->prefill_backlog,
                              status->received_time);
    pthread_mutex_unlock(&balancer->lock);
}

/* Handles a lease holder's current loads of engines; the rest of their status
 * is unchanged, so it becomes fresh again. */
static void
handle_engine_loads(void *data, const GArray *loads)
{
    struct balancer *balancer = data;
    int64_t now = ch_client_get_time(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    for (guint i = 0; i < loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(loads, struct ch_engine_load, i);
        struct received_status *status = g_hash_table_lookup(
            balancer->statuses, GUINT_TO_POINTER(load->upstream));
        if (status != NULL) {
            status->received_time = now;
        }
        ch_balance_set_total_load(balancer->balance, load->upstream,
                                  load->running, load->prefill_backlog, now);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* Handles the end of a status message: the status of all its engines was
 * applied. */
static void
handle_status_complete(void *data)
{
    route_waiting(data);
}

/* The demand that is gathered for the lease holders. */
struct gathered_demand {
    const struct balancer *balancer;
    GArray *models; /* struct ch_model_demand */
};

/* Returns the entry of a model, added if there is none. */
static struct ch_model_demand *
find_or_add_demand(GArray *models, GQuark model)
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

/* Adds the demand for a model unless it rounds down to zero. */
static void
add_model_demand(void *data, GQuark model, double demand)
{
    uint32_t thousandths = (uint32_t)(demand * 1000);
    if (thousandths > 0) {
        find_or_add_demand(data, model)->engine_ms_per_s = thousandths;
    }
}

/* Adds the prefill time of a request that has no first byte yet to the backlog
 * of its model. */
static void
add_backlog(void *item, uint64_t handle, void *data)
{
    (void)handle;
    const struct request *request = item;
    const struct gathered_demand *gathered_demand = data;
    if (request->info.is_service || request->has_first_byte) {
        return;
    }
    int64_t prefill_time = ch_balance_estimate_prefill(
        gathered_demand->balancer->balance, &request->info);
    find_or_add_demand(gathered_demand->models, request->info.model)
        ->backlog_ms += (uint32_t)(prefill_time / 1000);
}

/* Adds the load of this node's requests on one engine. */
static void
add_load(void *data, GQuark upstream, GQuark data_centre, uint32_t running,
         int64_t unread)
{
    const struct ch_engine_load load = {upstream, data_centre, running,
                                        unread};
    g_array_append_val((GArray *)data, load);
}

/* Gathers the demand of this node's requests and the load that they put on
 * each engine. */
static void
gather_demand(void *data, GArray *out, GArray *loads)
{
    struct balancer *balancer = data;
    pthread_mutex_lock(&balancer->lock);
    const struct gathered_demand gathered_demand = {balancer, out};
    ch_balance_report_load(balancer->balance, add_load, loads);
    ch_balance_foreach_demand(balancer->balance,
                              ch_client_get_time(balancer->node->client),
                              add_model_demand, out);
    ch_table_foreach(balancer->requests, add_backlog,
                     (void *)&gathered_demand);
    pthread_mutex_unlock(&balancer->lock);
    route_waiting(balancer);
}

/* Records the adapter that a granted request uses. */
static void
add_used_adapter(void *item, uint64_t handle, void *data)
{
    (void)handle;
    const struct request *request = item;
    if (request->state == REQUEST_GRANTED && request->info.adapter != 0) {
        record_adapter_use(data, request);
    }
}

/* Gathers the adapters that are in use or were used since the last call. */
static void
gather_used_adapters(void *data, GPtrArray *out)
{
    struct balancer *balancer = data;
    GHashTableIter iterator;
    gpointer key = NULL;
    pthread_mutex_lock(&balancer->lock);
    ch_table_foreach(balancer->requests, add_used_adapter, balancer);
    g_hash_table_iter_init(&iterator, balancer->adapters_in_use);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_ptr_array_add(out, g_strdup(key));
    }
    g_hash_table_remove_all(balancer->adapters_in_use);
    pthread_mutex_unlock(&balancer->lock);
}

/* See struct ch_router_ops. */
static bool
balancer_may_call(struct ch_router *router, uint64_t handle)
{
    struct balancer *balancer = (struct balancer *)router;
    GQuark upstream = 0;
    uint64_t boot_id = 0;
    pthread_mutex_lock(&balancer->lock);
    const struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL) {
        upstream = request->choice.upstream;
        boot_id = request->choice.boot_id;
    }
    pthread_mutex_unlock(&balancer->lock);
    return upstream != 0 &&
           ch_roster_may_call(balancer->roster, g_quark_to_string(upstream),
                              boot_id);
}

/* See struct ch_router_ops. The wait is not part of the time that the upstream
 * took. */
static void
balancer_delay(struct ch_router *router, uint64_t handle)
{
    struct balancer *balancer = (struct balancer *)router;
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL) {
        request->granted_time = ch_client_get_time(balancer->node->client);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* See struct ch_router_ops. */
static void
balancer_first_byte(struct ch_router *router, uint64_t handle)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_get_time(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_get(balancer->requests, handle);
    if (request != NULL && !request->has_first_byte) {
        request->has_first_byte = true;
        ch_balance_record_first_byte(balancer->balance, &request->info,
                                     &request->choice,
                                     now - request->granted_time, now);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* An upstream that refused a request may not hold the request's adapter: the
 * adapter counts as not resident from now on. Lock held. */
static void
record_refused_adapter(struct balancer *balancer,
                       const struct request *request)
{
    if (request->info.adapter != 0) {
        ch_balance_set_adapter_resident(balancer->balance,
                                        request->choice.upstream,
                                        request->info.adapter, false);
    }
}

/* Passes over an upstream that takes no call now: its limit is used up, or it
 * asked this node to wait. Lock held. */
static void
record_limited(struct balancer *balancer, GQuark upstream,
               const struct ch_timing_sample *sample, int64_t now)
{
    int64_t wait = 0;
    if (sample->code == CH_UPSTREAM_LIMITED) {
        wait = MIN(sample->retry_after, MAX_LIMITED_US);
    }
    else if (sample->code == CH_UPSTREAM_WAITS ||
             sample->code == CH_UPSTREAM_REFUSED) {
        wait = ch_notices_get_wait(balancer->node->notices, upstream);
    }
    if (wait > 0) {
        ch_balance_set_limited_until(balancer->balance, upstream, now + wait);
    }
}

/* See struct ch_router_ops. */
static void
balancer_release(struct ch_router *router, uint64_t handle,
                 const struct ch_timing_sample *sample)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_get_time(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_remove(balancer->requests, handle);
    if (request != NULL) {
        ch_balance_record_end(balancer->balance, &request->info,
                              &request->choice, request->has_first_byte,
                              sample, now);
        if (sample->code == CH_UPSTREAM_REFUSED) {
            record_refused_adapter(balancer, request);
        }
        record_limited(balancer, request->choice.upstream, sample, now);
        free_request(request);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* ---- status ---- */

static void
add_host_status(void *data, const struct ch_host *host)
{
    JsonBuilder *builder = data;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "name");
    json_builder_add_string_value(builder, host->name);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, host->address);
    json_builder_set_member_name(builder, "data_centre");
    json_builder_add_string_value(builder, host->data_centre);
    json_builder_set_member_name(builder, "version");
    json_builder_add_string_value(builder, host->version);
    json_builder_set_member_name(builder, "leaving");
    json_builder_add_boolean_value(builder, host->draining);
    json_builder_set_member_name(builder, "resident");
    json_builder_begin_array(builder);
    for (size_t i = 0;
         host->resident_items != NULL && host->resident_items[i] != NULL;
         i++) {
        json_builder_add_string_value(builder, host->resident_items[i]);
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
    ch_roster_foreach(balancer->roster, add_host_status, builder);
    json_builder_end_array(builder);
    ch_controller_status(balancer->controller, builder);
}

/* See struct ch_router_ops. */
static int64_t
balancer_get_list_age(struct ch_router *router)
{
    return ch_roster_get_age(((struct balancer *)router)->roster);
}

/* ---- lifecycle ---- */

/* How old the list of upstreams is; see ch_stream_manager_set_list_age(). */
static int64_t
get_list_age(void *data)
{
    return balancer_get_list_age(data);
}

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
    return ch_roster_is_known(((struct balancer *)router)->roster);
}

/* See struct ch_router_ops. */
static void
balancer_drain(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    ch_controller_drain(balancer->controller);
    ch_roster_unregister(balancer->roster);
}

/* See struct ch_router_ops. */
static void
balancer_stop(struct ch_router *router)
{
    struct balancer *balancer = (struct balancer *)router;
    ch_controller_stop(balancer->controller);
    ch_roster_stop(balancer->roster);
}

/* Collects the requests that are left in the table. */
static void
collect_request(void *item, uint64_t handle, void *data)
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
    ch_table_foreach(balancer->requests, collect_request, left);
    for (guint i = 0; i < left->len; i++) {
        free_request(g_ptr_array_index(left, i));
    }
    g_ptr_array_free(left, TRUE);
    ch_table_free(balancer->requests);
    ch_controller_free(balancer->controller);
    ch_roster_free(balancer->roster);
    g_hash_table_destroy(balancer->statuses);
    g_hash_table_destroy(balancer->adapters_in_use);
    ch_pending_loads_free(balancer->loading_models);
    ch_balance_free(balancer->balance);
    g_hash_table_destroy(balancer->clients);
    pthread_mutex_destroy(&balancer->lock);
    g_free(balancer);
}

/* Creates a router that knows no upstreams yet; node must outlive it. */
struct ch_router *
ch_balancer_new(struct ch_node *node)
{
    static const struct ch_router_ops ops = {
        .start = balancer_start,
        .is_ready = balancer_ready,
        .request = balancer_request,
        .withdraw = balancer_withdraw,
        .may_call = balancer_may_call,
        .record_delay = balancer_delay,
        .record_first_byte = balancer_first_byte,
        .release = balancer_release,
        .drain = balancer_drain,
        .stop = balancer_stop,
        .free = balancer_free,
        .write_status = balancer_status,
        .get_list_age = balancer_get_list_age,
    };
    static const struct ch_controller_handlers handlers = {
        .engine_status = handle_engine_status,
        .engine_loads = handle_engine_loads,
        .status_complete = handle_status_complete,
        .collect_demand = gather_demand,
        .collect_used_adapters = gather_used_adapters,
    };
    struct balancer *balancer = g_new0(struct balancer, 1);
    balancer->router.ops = &ops;
    balancer->node = node;
    balancer->balance =
        ch_balance_new(g_quark_from_string(node->settings->region),
                       g_quark_from_string(node->settings->data_centre));
    ch_balance_disable_features(balancer->balance,
                                &node->settings->disabled_features);
    ch_balance_control_overload(balancer->balance,
                                ch_settings_controls_overload(node->settings));
    balancer->loading_models = ch_pending_loads_new();
    balancer->clients = g_hash_table_new_full(NULL, NULL, NULL, client_unref);
    balancer->requests = ch_table_new();
    pthread_mutex_init(&balancer->lock, NULL);
    balancer->statuses = g_hash_table_new_full(NULL, NULL, NULL, free_status);
    balancer->adapters_in_use =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    balancer->roster = ch_roster_new(node, handle_roster_change, balancer);
    ch_notices_set_drain_handler(node->notices, handle_roster_change,
                                 balancer);
    ch_pace_set_handler(node->pace, handle_pace, balancer);
    if (node->streams != NULL) {
        ch_stream_manager_set_list_age(node->streams, get_list_age, balancer);
    }
    balancer->controller =
        ch_controller_new(node, balancer->roster, &handlers, balancer);
    return &balancer->router;
}
