/* Starts and stops the components of a node, in order. */

#include "node/dialect.h"
#include "node/balancer.h"
#include "node/crash_guard.h"
#include "node/homes_internal.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"
#include "node/quota_manager.h"
#include "node/relay_server.h"
#include "node/response.h"
#include "node/stream_manager.h"

#include <ck_pr.h>
#include <time.h>

enum {
    /* Timeout of a call for the host list. */
    LIST_TIMEOUT_US = 2 * 1000 * 1000,
};

/* Frees all components. They must have been stopped, or never started; each
 * free function accepts NULL. */
static void
free_node(struct ch_node *node)
{
    ch_frontend_free(node->frontend);
    ch_admin_free(node->admin);
    ch_relay_server_free(node->relay_server);
    ch_config_manager_free(node->config);
    ch_once_manager_free(node->once);
    ch_ledger_manager_free(node->ledger);
    ch_crash_guard_free(node->crash_guard);
    ch_quota_manager_free(node->quota);
    ch_limit_manager_free(node->limits);
    ch_slots_free(node->slots);
    ch_prefill_free(node->prefill);
    ch_notices_free(node->notices);
    ch_room_free(node->room);
    ch_pace_free(node->pace);
    ch_path_manager_free(node->paths);
    ch_stream_manager_free(node->streams);
    if (node->router != NULL) {
        node->router->ops->free(node->router);
    }
    ch_peers_free(node->peers);
    if (node->kv != NULL) {
        node->kv->ops->free(node->kv);
    }
    if (node->hosts != NULL) {
        node->hosts->ops->free(node->hosts);
    }
    ch_response_memory_free(node->response_memory);
    g_free(node);
}

/* Creates the components that the settings name. Sockets are opened, but
 * nothing is served yet. */
static bool
create_components(struct ch_node *node, struct ch_error *error)
{
    const struct ch_settings *settings = node->settings;
    if (ch_settings_controls_overload(settings)) {
        node->response_memory =
            ch_response_memory_new(node->client, settings->max_unsent_bytes);
    }
    node->pool = ch_pool_new(settings->workers);
    node->timers = ch_timers_new(node->pool);
    node->http = ch_http_new(node->client);
    ch_http_set_idle_timeout(node->http,
                             (int64_t)settings->idle_connection_ms * 1000);
    int64_t kv_limit = (int64_t)settings->kv_timeout_ms * 1000;
    if (node->dialect != NULL) {
        node->kv = node->dialect->kv_new(node->client, node->http,
                                         settings->kv, kv_limit);
    }
    else {
        node->kv =
            ch_kv_http_new(node->client, node->http, settings->kv, kv_limit);
        node->hosts = ch_host_source_http_new(
            node->client, node->http, settings->hosts, LIST_TIMEOUT_US);
    }
    node->peers = ch_peers_new(node, error);
    if (node->peers == NULL) {
        return false;
    }
    node->crash_guard = ch_crash_guard_new(node);
    node->config = ch_config_manager_new(node);
    node->quota = ch_quota_manager_new(node);
    node->limits = ch_limit_manager_new(node);
    node->slots = ch_node_create_slots(node);
    node->prefill = ch_node_create_prefill(node);
    node->notices = ch_node_create_notices(node);
    node->room = ch_node_create_room(node);
    node->pace = ch_node_create_pace(node);
    node->paths = ch_path_manager_new(node);
    node->once = ch_once_manager_new(node);
    if (node->dialect != NULL) {
        node->streams = ch_stream_manager_new(node);
        node->router = ch_balancer_new(node);
        return true;
    }
    node->homes = ch_homes_new(node);
    node->router = ch_homes_get_router(node->homes);
    node->ledger =
        ch_ledger_manager_new(node, home_ledger_handlers(), node->homes);
    return true;
}

/* Ends the threads: first those that hand work to the pool, then the pool. */
static void
stop_threads(struct ch_node *node)
{
    if (node->peers != NULL) {
        ch_peers_stop(node->peers);
    }
    ch_http_free(node->http);
    node->http = NULL;
    ch_timers_stop(node->timers);
    ch_pool_free(node->pool);
    node->pool = NULL;
    ch_timers_free(node->timers);
    node->timers = NULL;
}

/* Starts a node. The listeners are open and served when this returns; the node
 * is ready only once it knows a configuration and the upstreams. */
struct ch_node *
ch_node_start(struct ch_client *client, const struct ch_settings *settings,
              const struct ch_dialect *dialect, struct ch_error *error)
{
    struct ch_node *node = g_new0(struct ch_node, 1);
    node->client = client;
    node->settings = settings;
    node->dialect = dialect;
    node->incarnation = (uint64_t)g_get_real_time();
    node->started_at = ch_clock_get_boottime();
    if (!create_components(node, error)) {
        stop_threads(node);
        free_node(node);
        return NULL;
    }
    if (settings->relay != NULL) {
        node->relay_server = ch_relay_server_new(node, error);
        if (node->relay_server == NULL) {
            stop_threads(node);
            free_node(node);
            return NULL;
        }
    }
    ch_limit_manager_start(node->limits);
    ch_slots_start(node->slots);
    ch_notices_start(node->notices);
    ch_room_start(node->room);
    ch_pace_start(node->pace);
    ch_path_manager_start(node->paths);
    if (node->streams != NULL) {
        ch_stream_manager_start(node->streams);
    }
    ch_peers_start(node->peers);
    ch_config_manager_start(node->config);
    ch_crash_guard_start(node->crash_guard);
    ch_quota_manager_start(node->quota);
    node->router->ops->start(node->router);
    /* Stored atomically: the front end's threads may call ch_node_is_ready()
     * before this assignment. */
    ck_pr_store_ptr(&node->frontend, ch_frontend_new(node, error));
    node->admin = node->frontend != NULL ? ch_admin_new(node, error) : NULL;
    if (node->admin == NULL) {
        ch_node_stop(node);
        return NULL;
    }
    return node;
}

/* Stops a node without aborting a request: the callers' listener first, while
 * homes, at-most-once records and peers still work; then these. */
void
ch_node_stop(struct ch_node *node)
{
    ch_log(node->client, CH_LOG_NOTICE, "stopping", CH_F_END);
    ch_relay_server_drain(node->relay_server);
    node->router->ops->drain(node->router);
    ch_quota_manager_drain(node->quota);
    if (node->streams != NULL) {
        ch_stream_manager_drain(node->streams);
    }
    if (node->frontend != NULL) {
        ch_frontend_stop(node->frontend);
    }
    ch_relay_server_stop(node->relay_server);
    if (node->admin != NULL) {
        ch_admin_stop(node->admin);
    }
    node->router->ops->stop(node->router);
    ch_once_manager_stop(node->once);
    if (node->ledger != NULL) {
        ch_ledger_manager_stop(node->ledger);
    }
    ch_quota_manager_stop(node->quota);
    ch_limit_manager_stop(node->limits);
    ch_slots_stop(node->slots);
    ch_notices_stop(node->notices);
    ch_room_stop(node->room);
    ch_pace_stop(node->pace);
    ch_path_manager_stop(node->paths);
    if (node->streams != NULL) {
        ch_stream_manager_stop(node->streams);
    }
    ch_config_manager_stop(node->config);
    ch_crash_guard_stop(node->crash_guard);
    stop_threads(node);
    ch_log(node->client, CH_LOG_NOTICE, "stopped", CH_F_END);
    free_node(node);
}
