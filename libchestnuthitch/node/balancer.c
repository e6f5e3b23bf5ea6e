/*
 * Routes the requests of this node's callers by its own view of the upstreams:
 * what the roster lists, and what this node has sent.  Nobody is asked for
 * leave, so that no other node's trouble holds a request up.
 */

#include "node/balancer.h"

#include "decide/balance.h"
#include "node/dialect.h"
#include "node/roster.h"

#include <pthread.h>
#include <string.h>

enum {
    /* A bound for orders and reports to upstreams. */
    CALL_LIMIT = 2 * 1000 * 1000,
};

/* An upstream's client, for as long as it is listed or a call uses it. */
struct seat_client {
    int references;
    struct ch_upstream *client;
    char *address;
};

/* A request that was routed. */
struct request {
    uint64_t handle;
    struct ch_work work;
    struct ch_choice choice;
    struct seat_client *client;
    bool sent; /* counted in the balance */
    bool begun;
    int64_t at;
};

struct balancer {
    struct ch_router router;
    struct ch_node *node;
    struct ch_roster *roster;
    pthread_mutex_t lock;
    struct ch_balance *balance; /* guarded by lock, like the rest */
    GHashTable *clients;        /* GQuark to struct seat_client */
    GHashTable *listed;         /* of the update that runs: GQuark */
    struct ch_table *requests;
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

/* Takes one upstream of the list.  Lock held. */
static void
take_host(void *data, const struct ch_host *host)
{
    const struct update *update = data;
    struct balancer *balancer = update->balancer;
    const struct ch_service *service = service_of(update->config,
                                                  host->service);
    GArray *models = g_array_new(FALSE, FALSE, sizeof(GQuark));
    GArray *adapters = g_array_new(FALSE, FALSE, sizeof(GQuark));
    split_resident(host->resident, models, adapters);
    const struct ch_seat_facts facts = {
        .name = g_quark_from_string(host->name),
        .service = g_quark_from_string(host->service),
        .region = g_quark_from_string(host->region),
        .data_centre = g_quark_from_string(host->data_centre),
        .engine = host->kind == CH_HOST_ENGINE,
        .leaving = host->leaving,
        .boot = host->boot,
        .slots = host->batch,
        .context_tokens = service == NULL ? 0 : service->context_tokens,
        .adapter_places = service == NULL ? 0 : service->adapter_places,
        .resident = (const GQuark *)(void *)models->data,
        .resident_count = models->len,
    };
    need_client(balancer, facts.name, host);
    g_hash_table_add(balancer->listed, GUINT_TO_POINTER(facts.name));
    ch_balance_listed(balancer->balance, &facts);
    for (guint i = 0; i < adapters->len; i++) {
        ch_balance_adapter(balancer->balance, facts.name,
                           g_array_index(adapters, GQuark, i), true);
    }
    g_array_free(models, TRUE);
    g_array_free(adapters, TRUE);
}

/* Whether a client's upstream is not listed any more. */
static gboolean
is_unlisted(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    return !g_hash_table_contains(data, key);
}

/* The roster changed, on the pool. */
static void
roster_changed(void *data)
{
    struct balancer *balancer = data;
    struct update update = {
        .balancer = balancer,
        .config = ch_config_keeper_current(balancer->node->config),
    };
    pthread_mutex_lock(&balancer->lock);
    balancer->listed = g_hash_table_new(NULL, NULL);
    ch_balance_begin_update(balancer->balance);
    ch_roster_each(balancer->roster, take_host, &update);
    ch_balance_end_update(balancer->balance);
    g_hash_table_foreach_remove(balancer->clients, is_unlisted,
                                balancer->listed);
    g_hash_table_destroy(balancer->listed);
    balancer->listed = NULL;
    pthread_mutex_unlock(&balancer->lock);
    if (update.config != NULL) {
        ch_config_unref(update.config);
    }
}

/* ---- requests ---- */

/* What one of the handlers is told, on the pool, without the lock. */
struct told {
    const struct ch_router_handlers *handlers;
    void *data;
    struct ch_grant grant;
    struct ch_choice choice;
};

/* Tells how the request was routed. */
static void
run_told(void *data)
{
    struct told *told = data;
    if (told->choice.code == CH_OK) {
        told->handlers->granted(told->data, &told->grant);
    }
    else {
        told->handlers->refused(told->data, told->choice.code,
                                told->choice.retry_after,
                                told->choice.message);
    }
    g_free(told);
}

/* Keeps a request that goes out.  Lock held. */
static void
keep_request(struct balancer *balancer, const struct ch_work *work,
             const struct ch_choice *choice, struct ch_grant *grant,
             int64_t now)
{
    struct request *request = g_new0(struct request, 1);
    request->work = *work;
    request->choice = *choice;
    request->at = now;
    request->client = g_hash_table_lookup(
        balancer->clients, GUINT_TO_POINTER(choice->upstream));
    request->client->references++;
    request->sent = true;
    ch_balance_sent(balancer->balance, work, choice, now);
    request->handle = ch_table_add(balancer->requests, request);
    *grant = (struct ch_grant){
        .handle = request->handle,
        .upstream = choice->upstream,
        .client = request->client->client,
        .priority = work->priority,
        .other_region = choice->other_region,
    };
}

/* Routes a request; see struct ch_router_ops.  The handler runs on the pool.
 */
static uint64_t
balancer_request(struct ch_router *router, const struct ch_work *work,
                 const GArray *excluded,
                 const struct ch_router_handlers *handlers, void *data)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_now(balancer->node->client);
    struct told *told = g_new0(struct told, 1);
    told->handlers = handlers;
    told->data = data;
    pthread_mutex_lock(&balancer->lock);
    told->choice =
        ch_balance_choose(balancer->balance, work, excluded, now);
    if (told->choice.code == CH_OK) {
        keep_request(balancer, work, &told->choice, &told->grant, now);
    }
    pthread_mutex_unlock(&balancer->lock);
    run_told(told);
    return 0;
}

/* Nothing waits here: a handler has run, or is about to. */
static bool
balancer_withdraw(struct ch_router *router, uint64_t handle)
{
    (void)router;
    (void)handle;
    return false;
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
        ch_balance_first(balancer->balance, &request->choice,
                         now - request->at, now);
    }
    pthread_mutex_unlock(&balancer->lock);
}

/* Learns from a refusal by an upstream that does not hold what was asked. */
static void
note_refused(struct balancer *balancer, const struct request *request)
{
    if (request->work.adapter != 0) {
        ch_balance_adapter(balancer->balance, request->choice.upstream,
                           request->work.adapter, false);
    }
}

/* See struct ch_router_ops. */
static void
balancer_release(struct ch_router *router, uint64_t handle,
                 const struct ch_sample *sample)
{
    struct balancer *balancer = (struct balancer *)router;
    int64_t now = ch_client_now(balancer->node->client);
    pthread_mutex_lock(&balancer->lock);
    struct request *request = ch_table_remove(balancer->requests, handle);
    if (request != NULL) {
        ch_balance_ended(balancer->balance, &request->work, &request->choice,
                         request->begun, sample->code, now);
        if (sample->code == CH_UPSTREAM_REFUSED) {
            note_refused(balancer, request);
        }
        client_unref(request->client);
        g_free(request);
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
}

/* ---- life ---- */

/* See struct ch_router_ops. */
static void
balancer_start(struct ch_router *router)
{
    ch_roster_start(((struct balancer *)router)->roster);
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
    ch_roster_leave(((struct balancer *)router)->roster);
}

/* See struct ch_router_ops. */
static void
balancer_stop(struct ch_router *router)
{
    ch_roster_stop(((struct balancer *)router)->roster);
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
        struct request *request = g_ptr_array_index(left, i);
        client_unref(request->client);
        g_free(request);
    }
    g_ptr_array_free(left, TRUE);
    ch_table_free(balancer->requests);
    ch_roster_free(balancer->roster);
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
    struct balancer *balancer = g_new0(struct balancer, 1);
    balancer->router.ops = &ops;
    balancer->node = node;
    balancer->balance = ch_balance_new(
        g_quark_from_string(node->settings->region),
        g_quark_from_string(node->settings->data_centre));
    balancer->clients =
        g_hash_table_new_full(NULL, NULL, NULL, client_unref);
    balancer->requests = ch_table_new();
    pthread_mutex_init(&balancer->lock, NULL);
    balancer->roster = ch_roster_new(node, roster_changed, balancer);
    return &balancer->router;
}
