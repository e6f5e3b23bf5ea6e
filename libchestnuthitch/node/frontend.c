/*
 * The callers' HTTP listener: reads requests within size limits and starts an
 * exchange for each valid one. Requests that are invalid, too large or too
 * late are answered here.
 */

#include "base/annotate.h"
#include "node/crash_guard.h"
#include "node/exchange.h"
#include "node/disconnect.h"
#include "node/incoming_request.h"
#include "node/listener.h"
#include "node/local.h"
#include "node/refusal.h"

#include <ck_pr.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    /* Closes a connection without traffic, such as one of a caller that never
     * completes its request or never reads its response. Connections that wait
     * for a response are exempt. */
    IDLE_SECONDS = 30,
    /* How long a stop waits for requests that have partly arrived. */
    INCOMING_WAIT_US = 5 * G_USEC_PER_SEC,
    /* Part of the platform's grace period that stays after requests are
     * aborted, to release what they held: two calls to the key-value store and
     * a backoff between them. */
    RELEASE_RESERVE_US = G_USEC_PER_SEC,
    NS_PER_SECOND = 1000 * 1000 * 1000,
    MAX_LISTENER_THREADS = 4,
    /* Another node can take the request at once. */
    STOPPING_RETRY_AFTER_US = 50 * 1000,
    /* A node reads its configuration within a second of its start. */
    NOT_READY_RETRY_AFTER_US = 1000 * 1000,
};

/* Share of the allowed retries that all nodes together use. */
static const double RETRY_PART = 0.8;

/* ---- IDs and counts ---- */

/* See frontend.h. */
uint64_t
ch_frontend_new_id(struct ch_frontend *frontend,
                   char text[CH_RESPONSE_ID_SIZE])
{
    pthread_mutex_lock(&frontend->lock);
    uint64_t number = ++frontend->last_id;
    pthread_mutex_unlock(&frontend->lock);
    (void)snprintf(text, CH_RESPONSE_ID_SIZE,
                   "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                   frontend->id_prefix, number);
    return number;
}

/* The number of live nodes among which the retry slack is divided, refreshed
 * once a second. */
static unsigned
count_live_nodes(struct ch_frontend *frontend)
{
    int64_t now = ch_client_get_time(frontend->node->client);
    if (frontend->live_count == 0 ||
        now - frontend->live_updated_at > G_USEC_PER_SEC) {
        char **live = ch_peers_list_live(frontend->node->peers);
        frontend->live_count = MAX(g_strv_length(live), 1U);
        frontend->live_updated_at = now;
        g_strfreev(live);
    }
    return frontend->live_count;
}

/*
 * Load: an upstream that fails, or a failing platform, makes requests fail on
 * all nodes at once. Harm prevented: more retries towards a service, over all
 * nodes, than the operators allow (a share of its requests, plus a slack in
 * any window). Each node uses its part of the slack and at most its own
 * requests' share. RETRY_PART leaves some of both unused, since nodes do not
 * agree at once on the number of live nodes when some start or stop.
 */
static void
update_budget(struct ch_frontend *frontend, struct ch_retry_budget *budget)
{
    const struct ch_settings *settings = frontend->node->settings;
    double slack =
        RETRY_PART * settings->retry_slack / count_live_nodes(frontend);
    budget->share = RETRY_PART * settings->retry_share;
    budget->max_level = MAX(slack, 1);
    budget->level = MIN(budget->level, budget->max_level);
}

/* See frontend.h. */
struct ch_retry_budget *
ch_frontend_get_retry_budget(struct ch_frontend *frontend, GQuark service)
{
    gpointer key = GUINT_TO_POINTER(service);
    if (service == 0) {
        return &frontend->retry_budget;
    }
    struct ch_retry_budget *budget =
        g_hash_table_lookup(frontend->service_retry_budgets, key);
    if (budget == NULL) {
        budget = g_new0(struct ch_retry_budget, 1);
        ch_retry_budget_init(
            budget, RETRY_PART * frontend->node->settings->retry_share);
        g_hash_table_insert(frontend->service_retry_budgets, key, budget);
    }
    update_budget(frontend, budget);
    return budget;
}

void
ch_frontend_add_exchange(struct ch_frontend *frontend,
                         struct ch_exchange *exchange)
{
    pthread_mutex_lock(&frontend->lock);
    g_hash_table_add(frontend->exchanges, exchange);
    pthread_mutex_unlock(&frontend->lock);
}

void
ch_frontend_remove_exchange(struct ch_frontend *frontend,
                            struct ch_exchange *exchange)
{
    pthread_mutex_lock(&frontend->lock);
    g_hash_table_remove(frontend->exchanges, exchange);
    pthread_cond_broadcast(&frontend->count_lowered);
    pthread_mutex_unlock(&frontend->lock);
}

/* True once new requests are refused. *stopping: whether callers are told to
 * close their connections. */
static bool
is_refusing(struct ch_frontend *frontend, bool *stopping)
{
    pthread_mutex_lock(&frontend->lock);
    bool refusing = frontend->refusing;
    *stopping = frontend->stopping;
    pthread_mutex_unlock(&frontend->lock);
    return refusing;
}

/* See node.h. */
bool
ch_node_is_ready(struct ch_node *node)
{
    bool stopping = false;
    struct ch_frontend *frontend = ck_pr_load_ptr(&node->frontend);
    if (frontend == NULL) {
        return false;
    }
    (void)is_refusing(frontend, &stopping);
    struct ch_config *config = ch_config_manager_get_current(node->config);
    bool known = config != NULL;
    if (known) {
        ch_config_unref(config);
    }
    return known && !stopping && ch_crash_guard_is_ready(node->crash_guard) &&
           node->router->ops->is_ready(node->router);
}

/* ---- one complete request ---- */

static bool
is_access_refusal(enum ch_code code)
{
    return code == CH_KEY_MISSING || code == CH_KEY_MALFORMED ||
           code == CH_KEY_UNKNOWN;
}

/* Scheme of the Authorization header with an access key. */
static const char *
get_key_scheme(const struct ch_frontend *frontend)
{
    const struct ch_dialect *dialect = frontend->node->dialect;
    return dialect == NULL ? CH_INCOMING_KEY_SCHEME : dialect->key_scheme;
}

/* Refuses a request for which no exchange was started. */
static void
refuse(struct ch_frontend *frontend, struct ch_response *response,
       const struct ch_fault *fault, int64_t retry_after)
{
    enum ch_code code = fault->error.code;
    const struct ch_refusal refusal = {
        .code = code,
        .outcome = CH_NOT_RUN,
        .message = fault->error.message,
        .field = fault->field,
        .retry_after = retry_after,
        .request_id = ch_response_get_id(response),
    };
    char *json = ch_refusal_to_json(&refusal);
    const struct ch_response_data data = {
        .status = ch_code_get_http_status(code),
        .content_type = "application/json",
        .outcome = CH_NOT_RUN,
        .code = code,
        .retry_after = retry_after,
        .challenge = is_access_refusal(code) ? get_key_scheme(frontend) : NULL,
        .body = json,
        .body_length = strlen(json),
    };
    ch_response_send(response, &data);
    ch_metrics_add_count(frontend->node->client->metrics, CH_COUNT_REFUSED, 1);
    if (is_access_refusal(code)) {
        ch_metrics_add_count(frontend->node->client->metrics,
                             CH_COUNT_KEYS_REFUSED, 1);
    }
    ch_log(frontend->node->client, CH_LOG_INFO, "refused",
           CH_F_STR("request_id", ch_response_get_id(response)),
           CH_F_INT("code", code), CH_F_STR("name", ch_code_get_name(code)),
           CH_F_STR("field", fault->field),
           CH_F_STR("message", fault->error.message),
           CH_F_STR("outcome", ch_outcome_get_name(CH_NOT_RUN)), CH_F_END);
}

/* Parses a request whose class is chosen by host and path. */
static struct ch_request *
parse_routed(struct ch_frontend *frontend,
             struct ch_incoming_request *incoming,
             const struct ch_config *config, int64_t now,
             struct ch_fault *fault)
{
    struct ch_request_input *input = g_new0(struct ch_request_input, 1);
    struct ch_request *request = NULL;
    bool good = ch_incoming_request_read_dialect(
        incoming, frontend->node->dialect, input, fault);
    if (input->request_id != NULL &&
        strlen(input->request_id) <= CH_RESPONSE_MAX_ID_BYTES) {
        ch_response_use_caller_id(incoming->response,
                                  frontend->node->dialect->request_id_header,
                                  input->request_id);
    }
    if (good) {
        request =
            ch_request_parse_routed(config->declaration, input, now, fault);
    }
    g_array_free(input->forwarded_headers, TRUE);
    g_free(input);
    return request;
}

/*
 * Refuses a request that the configuration in force does not allow. A path or
 * key that is not known may have been added by a newer configuration, which
 * this node is still reading: its caller is told to return.
 */
static void
refuse_by_config(struct ch_frontend *frontend, struct ch_response *response,
                 const struct ch_fault *fault)
{
    struct ch_fault behind = {.error.code = CH_OK};
    bool may_be_added = fault->error.code == CH_UNKNOWN_PATH ||
                        fault->error.code == CH_KEY_UNKNOWN;
    if (may_be_added && ch_config_manager_is_behind(frontend->node->config)) {
        ch_fault_set(&behind, CH_NOT_READY, "",
                     "this node is reading a newer configuration");
        refuse(frontend, response, &behind, NOT_READY_RETRY_AFTER_US);
        return;
    }
    refuse(frontend, response, fault, 0);
}

/* Parses a request by the configuration in force, and starts its exchange or
 * answers it. */
static void
start_request(struct ch_frontend *frontend,
              struct ch_incoming_request *incoming,
              const struct ch_config *config)
{
    struct ch_fault fault = {.error.code = CH_OK};
    struct ch_request_input input;
    struct ch_request *request = NULL;
    int64_t now = ch_client_get_time(frontend->node->client);
    if (frontend->node->dialect != NULL) {
        request = parse_routed(frontend, incoming, config, now, &fault);
    }
    else {
        ch_incoming_request_get_input(incoming, &input);
        request = ch_request_parse(config->declaration, &input, now, &fault);
    }
    if (request == NULL) {
        refuse_by_config(frontend, incoming->response, &fault);
        return;
    }
    if (request->kind == CH_REQUEST_MODEL_LIST) {
        ch_local_send_models(config->declaration, request, incoming->response);
        ch_request_free(request);
        return;
    }
    request->info.id = incoming->number;
    request->info.request_id = request->request_id;
    ch_exchange_start(frontend, request, incoming->response);
}

/* Handles a request that has arrived completely. */
static void
handle_complete_request(struct ch_frontend *frontend,
                        struct ch_incoming_request *incoming, bool refusing)
{
    struct ch_fault fault = {.error.code = CH_OK};
    if (frontend->node->dialect == NULL &&
        ch_local_serve(frontend, incoming)) {
        return;
    }
    ch_metrics_add_count(frontend->node->client->metrics, CH_COUNT_REQUESTS,
                         1);
    if (refusing) {
        ch_fault_set(&fault, CH_STOPPING, "", "this node is stopping");
        refuse(frontend, incoming->response, &fault, STOPPING_RETRY_AFTER_US);
        return;
    }
    struct ch_config *config =
        ch_config_manager_get_current(frontend->node->config);
    if (config == NULL) {
        ch_fault_set(&fault, CH_NOT_READY, "",
                     "this node has no configuration yet");
        refuse(frontend, incoming->response, &fault, NOT_READY_RETRY_AFTER_US);
        return;
    }
    start_request(frontend, incoming, config);
    ch_config_unref(config);
}

/* ---- callbacks of libmicrohttpd ---- */

/* The request line has arrived. The URI is stored as received, since the
 * library decodes the path that it later passes to the handler. */
static void *
handle_request_line(void *data, const char *uri,
                    struct MHD_Connection *connection)
{
    struct ch_frontend *frontend = data;
    CH_TSAN_ACQUIRE(&frontend->listener); /* see handle_new_connection() */
    char id[CH_RESPONSE_ID_SIZE];
    uint64_t number = ch_frontend_new_id(frontend, id);
    struct ch_incoming_request *incoming = ch_incoming_request_new(
        connection, frontend->node->response_memory, uri, id, number);
    if (frontend->node->dialect != NULL) {
        ch_response_use_caller_id(incoming->response,
                                  frontend->node->dialect->request_id_header,
                                  NULL);
    }
    pthread_mutex_lock(&frontend->lock);
    frontend->incoming++;
    pthread_mutex_unlock(&frontend->lock);
    incoming->watch_handle = ch_disconnect_watch_add(
        frontend->disconnect_watch, incoming->response);
    return incoming;
}

/* Counts the request as accepted, because it is complete or is answered early:
 * from here on the node stops only after sending the response. */
static void
accept_request(struct ch_frontend *frontend,
               struct ch_incoming_request *incoming)
{
    incoming->complete = true;
    pthread_mutex_lock(&frontend->lock);
    frontend->incoming--;
    frontend->accepted++;
    pthread_cond_broadcast(&frontend->count_lowered);
    pthread_mutex_unlock(&frontend->lock);
}

/* The library calls this once for the request's head, for each part of the
 * body, at the end of the request, and after each resume. */
static enum MHD_Result
handle_request(void *data, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *upload,
               size_t *upload_size, void **request)
{
    (void)path;
    (void)version;
    struct ch_frontend *frontend = data;
    struct ch_incoming_request *incoming = *request;
    const struct ch_settings *settings = frontend->node->settings;
    bool stopping = false;
    bool refusing = is_refusing(frontend, &stopping);
    if (!incoming->head_checked) {
        struct ch_fault fault = {.error.code = CH_OK};
        if (ch_incoming_request_read_head(incoming, connection, method,
                                          settings, &fault)) {
            return MHD_YES;
        }
        accept_request(frontend, incoming);
        refuse(frontend, incoming->response, &fault, 0);
        /* The body is not read, so the bytes that follow are not the start of
         * another request: the connection has to close. */
        return ch_response_queue(incoming->response, true);
    }
    if (*upload_size > 0) {
        bool good = ch_incoming_request_add_body(
            incoming, upload, *upload_size, settings->max_body_bytes);
        *upload_size = 0;
        return good ? MHD_YES : MHD_NO;
    }
    if (!incoming->complete) {
        accept_request(frontend, incoming);
        struct ch_fault fault = {.error.code = CH_OK};
        if (ch_incoming_request_check(incoming, settings->max_body_bytes,
                                      &fault)) {
            handle_complete_request(frontend, incoming, refusing);
        }
        else {
            refuse(frontend, incoming->response, &fault, 0);
        }
    }
    return ch_response_queue(incoming->response, stopping);
}

/* The library has finished with a request, successfully or not. */
static void
handle_request_end(void *data, struct MHD_Connection *connection,
                   void **request, enum MHD_RequestTerminationCode why)
{
    (void)connection;
    struct ch_frontend *frontend = data;
    struct ch_incoming_request *incoming = *request;
    if (incoming == NULL) {
        return;
    }
    ch_disconnect_watch_remove(frontend->disconnect_watch, incoming->response,
                               incoming->watch_handle);
    if (!incoming->complete) {
        ch_log(frontend->node->client, CH_LOG_INFO, "request-cut-short",
               CH_F_STR("request_id", ch_response_get_id(incoming->response)),
               CH_F_INT("code", CH_BODY_TRUNCATED), CH_F_INT("why", (int)why),
               CH_F_END);
    }
    bool complete = incoming->complete;
    ch_response_detach(incoming->response);
    ch_incoming_request_free(incoming);
    *request = NULL;
    pthread_mutex_lock(&frontend->lock);
    frontend->accepted -= complete;
    frontend->incoming -= !complete;
    pthread_cond_broadcast(&frontend->count_lowered);
    pthread_mutex_unlock(&frontend->lock);
}

static void log_library_message(void *data, const char *form,
                                va_list arguments) G_GNUC_PRINTF(2, 0);

/* Logs the library's own messages, such as those on malformed requests. */
static void
log_library_message(void *data, const char *form, va_list arguments)
{
    struct ch_frontend *frontend = data;
    char text[256];
    (void)vsnprintf(text, sizeof(text), form, arguments);
    ch_log(frontend->node->client, CH_LOG_DEBUG, "listener",
           CH_F_STR("message", g_strchomp(text)), CH_F_END);
}

/* ---- start and stop ---- */

/* Logs that there are too many connections, at most once a second. */
static void
log_connection_limit(struct ch_frontend *frontend)
{
    int64_t now = ch_client_get_time(frontend->node->client);
    if (frontend->limit_logged_at != 0 &&
        now - frontend->limit_logged_at < G_USEC_PER_SEC) {
        return;
    }
    frontend->limit_logged_at = now;
    ch_log(frontend->node->client, CH_LOG_WARNING, "too-many-connections",
           CH_F_INT("limit", frontend->node->settings->max_connections),
           CH_F_END);
}

/* Counts a new connection; false at the limit. The library's own limit applies
 * to each of its threads, so that it would reject callers while another thread
 * still has capacity. */
static bool
count_connection(struct ch_frontend *frontend)
{
    pthread_mutex_lock(&frontend->lock);
    bool room =
        frontend->connections < frontend->node->settings->max_connections;
    frontend->connections += room;
    pthread_mutex_unlock(&frontend->lock);
    return room;
}

static void
uncount_connection(struct ch_frontend *frontend)
{
    pthread_mutex_lock(&frontend->lock);
    frontend->connections--;
    pthread_mutex_unlock(&frontend->lock);
}

/* The library has opened or closed a connection. */
static void
handle_connection_change(void *data, struct MHD_Connection *connection,
                         void **context,
                         enum MHD_ConnectionNotificationCode what)
{
    (void)connection;
    (void)context;
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        uncount_connection(data);
    }
}

/* Passes a new connection to the library; closes it when there are too many.
 */
static void
handle_new_connection(void *data, int fd, const struct sockaddr_in *from)
{
    struct ch_frontend *frontend = data;
    if (!count_connection(frontend)) {
        log_connection_limit(frontend);
        close(fd);
        return;
    }
    CH_TSAN_RELEASE(&frontend->listener); /* the library's lock passes on fd */
    if (MHD_add_connection(frontend->daemon, fd, (const struct sockaddr *)from,
                           sizeof(*from)) != MHD_YES) {
        uncount_connection(frontend);
    }
}

/* Starts the library's threads. The library's memory limit for a connection
 * bounds the head of a request even before this node can check it. */
static struct MHD_Daemon *
start_daemon(struct ch_frontend *frontend)
{
    const struct ch_settings *settings = frontend->node->settings;
    unsigned threads = CLAMP(settings->workers, 1, MAX_LISTENER_THREADS);
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET |
            MHD_USE_ERROR_LOG,
        0, NULL, NULL, handle_request, frontend, MHD_OPTION_EXTERNAL_LOGGER,
        log_library_message, frontend, MHD_OPTION_URI_LOG_CALLBACK,
        handle_request_line, frontend, MHD_OPTION_NOTIFY_COMPLETED,
        handle_request_end, frontend, MHD_OPTION_CONNECTION_LIMIT,
        settings->max_connections * threads, MHD_OPTION_NOTIFY_CONNECTION,
        handle_connection_change, frontend, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        settings->max_header_bytes + CH_INCOMING_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_SECONDS,
        MHD_OPTION_THREAD_POOL_SIZE, threads > 1 ? threads : 0,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

/* Starts listening for callers. The node's other components must exist, but
 * not its configuration: without one, requests are refused with NOT_READY. */
struct ch_frontend *
ch_frontend_new(struct ch_node *node, struct ch_error *error)
{
    struct ch_frontend *frontend = g_new0(struct ch_frontend, 1);
    frontend->node = node;
    frontend->id_prefix =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    pthread_mutex_init(&frontend->lock, NULL);
    pthread_cond_init(&frontend->count_lowered, NULL);
    ch_retry_budget_init(&frontend->retry_budget, node->settings->retry_share);
    frontend->exchanges = g_hash_table_new(NULL, NULL);
    if (node->settings->max_upstream_bytes > 0) {
        frontend->held = ch_held_new(node->settings->max_upstream_bytes);
    }
    frontend->service_retry_budgets =
        g_hash_table_new_full(NULL, NULL, NULL, g_free);
    frontend->disconnect_watch = ch_disconnect_watch_new();
    frontend->daemon = start_daemon(frontend);
    if (frontend->daemon == NULL) {
        ch_error_set(error, CH_SYSTEM, "cannot serve HTTP: %s",
                     g_strerror(errno));
        ch_frontend_free(frontend);
        return NULL;
    }
    frontend->listener = ch_listener_new(
        node->settings->callers, handle_new_connection, frontend, error);
    if (frontend->listener == NULL) {
        ch_frontend_free(frontend);
        return NULL;
    }
    ch_log(node->client, CH_LOG_NOTICE, "listening-for-callers",
           CH_F_STR("address", node->settings->callers),
           CH_F_INT("port", ch_listener_get_port(frontend->listener)),
           CH_F_END);
    return frontend;
}

/* The time `wait` microseconds from now, on the clock of
 * pthread_cond_timedwait(). */
static struct timespec
time_after(int64_t wait)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    int64_t nanoseconds = until.tv_nsec + wait % G_USEC_PER_SEC * 1000;
    until.tv_sec += wait / G_USEC_PER_SEC + nanoseconds / NS_PER_SECOND;
    until.tv_nsec = nanoseconds % NS_PER_SECOND;
    return until;
}

/* The running exchanges, with a reference to each. */
static GPtrArray *
list_exchanges(struct ch_frontend *frontend)
{
    GPtrArray *open = g_ptr_array_new_with_free_func(ch_exchange_unref);
    GHashTableIter iterator;
    gpointer exchange = NULL;
    pthread_mutex_lock(&frontend->lock);
    g_hash_table_iter_init(&iterator, frontend->exchanges);
    while (g_hash_table_iter_next(&iterator, &exchange, NULL)) {
        g_ptr_array_add(open, ch_exchange_ref(exchange));
    }
    pthread_mutex_unlock(&frontend->lock);
    return open;
}

/* See node.h. */
void
ch_frontend_abandon_barred(struct ch_frontend *frontend)
{
    GPtrArray *open = list_exchanges(frontend);
    for (guint i = 0; i < open->len; i++) {
        ch_exchange_abandon_barred(g_ptr_array_index(open, i));
    }
    g_ptr_array_free(open, TRUE);
}

/* Aborts all running exchanges. */
static void
abort_exchanges(struct ch_frontend *frontend)
{
    GPtrArray *open = list_exchanges(frontend);
    ch_log(frontend->node->client, CH_LOG_WARNING, "requests-cut",
           CH_F_INT("count", open->len), CH_F_END);
    for (guint i = 0; i < open->len; i++) {
        ch_exchange_abort(g_ptr_array_index(open, i));
    }
    g_ptr_array_free(open, TRUE);
}

/* Waits until every accepted request has its response, or until the time
 * `until` (NULL: no limit). Lock held; false when the time has come. */
static bool
wait_for_responses(struct ch_frontend *frontend, const struct timespec *until)
{
    int error = 0;
    while (error == 0 && (frontend->accepted > 0 ||
                          g_hash_table_size(frontend->exchanges) > 0)) {
        error =
            until == NULL
                ? pthread_cond_wait(&frontend->count_lowered, &frontend->lock)
                : pthread_cond_timedwait(&frontend->count_lowered,
                                         &frontend->lock, until);
    }
    return error == 0;
}

/*
 * Waits until every accepted request has its response. Requests that are still
 * arriving get INCOMING_WAIT_US at most: a caller that sends a byte now and
 * then must not keep the node from stopping.
 */
static void
wait_until_idle(struct ch_frontend *frontend, const struct timespec *abort_at)
{
    struct timespec until = time_after(INCOMING_WAIT_US);
    pthread_mutex_lock(&frontend->lock);
    int error = 0;
    while (frontend->incoming > 0 && error == 0) {
        error = pthread_cond_timedwait(&frontend->count_lowered,
                                       &frontend->lock, &until);
    }
    if (!wait_for_responses(frontend, abort_at)) {
        pthread_mutex_unlock(&frontend->lock);
        abort_exchanges(frontend);
        pthread_mutex_lock(&frontend->lock);
        wait_for_responses(frontend, NULL);
    }
    pthread_mutex_unlock(&frontend->lock);
}

/*
 * Stops without aborting a request. The load balancer takes some time to see
 * that the node is not ready, and sends requests meanwhile; so for drain_ms
 * requests are served as usual, and callers are told to close their
 * connections. After that new requests are refused, all accepted ones get
 * their responses, and only then is the listener closed.
 *
 * Where the platform kills a process that takes too long to stop, the
 * exchanges that are still open shortly before that time are aborted: their
 * callers get an error, and the node's leases, its entry in the key-value
 * store and its connections are released in order. A killed node would leave
 * its entry behind until the entry expires, and its callers' connections would
 * be reset.
 */
void
ch_frontend_stop(struct ch_frontend *frontend)
{
    int64_t grace = (int64_t)frontend->node->settings->grace_ms * 1000;
    struct timespec at =
        time_after(grace - MIN(RELEASE_RESERVE_US, grace / 2));
    const struct timespec *abort_at = grace > 0 ? &at : NULL;
    pthread_mutex_lock(&frontend->lock);
    frontend->stopping = true;
    pthread_mutex_unlock(&frontend->lock);
    g_usleep((gulong)frontend->node->settings->drain_ms * 1000);
    pthread_mutex_lock(&frontend->lock);
    frontend->refusing = true;
    pthread_mutex_unlock(&frontend->lock);
    wait_until_idle(frontend, abort_at);
    ch_listener_free(frontend->listener);
    frontend->listener = NULL;
    wait_until_idle(frontend, abort_at);
    MHD_stop_daemon(frontend->daemon);
    frontend->daemon = NULL;
}

/* Frees the front end; closes it at once if ch_frontend_stop() was not called.
 */
void
ch_frontend_free(struct ch_frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    ch_listener_free(frontend->listener);
    if (frontend->daemon != NULL) {
        MHD_stop_daemon(frontend->daemon);
    }
    ch_disconnect_watch_free(frontend->disconnect_watch);
    if (frontend->service_retry_budgets != NULL) {
        g_hash_table_destroy(frontend->service_retry_budgets);
    }
    ch_held_free(frontend->held);
    if (frontend->exchanges != NULL) {
        g_hash_table_destroy(frontend->exchanges);
    }
    pthread_cond_destroy(&frontend->count_lowered);
    pthread_mutex_destroy(&frontend->lock);
    g_free(frontend);
}

/* See node.h. */
void
ch_frontend_write_status(struct ch_frontend *frontend, JsonBuilder *builder)
{
    size_t bound = frontend->node->settings->max_upstream_bytes;
    if (frontend->held == NULL) {
        return;
    }
    pthread_mutex_lock(&frontend->lock);
    size_t highest = ch_held_get_highest(frontend->held);
    pthread_mutex_unlock(&frontend->lock);
    json_builder_set_member_name(builder, "upstream_bytes");
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "highest");
    json_builder_add_int_value(builder, (gint64)highest);
    json_builder_set_member_name(builder, "bound");
    json_builder_add_int_value(builder, (gint64)bound);
    json_builder_end_object(builder);
}
