/*
 * The callers' listener: takes requests in whole and within bounds, and hands
 * the good ones on.  What is bad, too large or too late is answered here.
 */

#include "base/annotate.h"
#include "node/crash_keeper.h"
#include "node/exchange.h"
#include "node/hangup.h"
#include "node/intake.h"
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
    /* A connection on which nothing moves, as with a caller that never ends
     * its request or never reads its answer.  Those that wait for an answer
     * are not counted. */
    IDLE_SECONDS = 30,
    /* How long a stop waits for requests that have begun to come in. */
    INCOMING = 5 * G_USEC_PER_SEC,
    /* What is left of the platform's grace once requests are cut, for what is
     * given back after them: two calls to the store and a pause between. */
    AFTER_CUT = G_USEC_PER_SEC,
    NANO = 1000 * 1000 * 1000,
    MOST_LISTENER_THREADS = 4,
    /* Another node takes the request at once. */
    STOPPING_RETRY_AFTER = 50 * 1000,
    /* A node reads its configuration within a second of its start. */
    NOT_READY_RETRY_AFTER = 1000 * 1000,
};

/* Of the repeats that are allowed, what the nodes use in all. */
static const double RETRY_PART = 0.8;

/* ---- ids and counts ---- */

/* A number that is unique in this process, and a text that is unique among
 * all nodes and their restarts. */
uint64_t
ch_front_new_id(struct ch_front *front, char text[CH_REPLY_ID])
{
    pthread_mutex_lock(&front->lock);
    uint64_t number = ++front->last_id;
    pthread_mutex_unlock(&front->lock);
    (void)snprintf(text, CH_REPLY_ID,
                   "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                   front->id_start, number);
    return number;
}

/* Nodes among which the slack is shared, looked up now and then. */
static unsigned
count_sharers(struct ch_front *front)
{
    int64_t now = ch_client_now(front->node->client);
    if (front->live == 0 || now - front->shared_at > G_USEC_PER_SEC) {
        char **live = ch_peers_live(front->node->peers);
        front->live = MAX(g_strv_length(live), 1U);
        front->shared_at = now;
        g_strfreev(live);
    }
    return front->live;
}

/*
 * Load: an upstream that fails, or a platform that does, fails requests on all
 * nodes at once.  Harm prevented: more repeats towards a service than the
 * operators allow it, over all nodes: a share of its requests, and a slack in
 * any window.  Each node takes its part of the slack and no more of the share
 * than its own requests give; a part of both stays unused, since nodes that
 * start or stop do not agree on their number at once.
 */
static void
share_budget(struct ch_front *front, struct ch_retry_budget *budget)
{
    const struct ch_settings *settings = front->node->settings;
    double slack = RETRY_PART * settings->retry_slack / count_sharers(front);
    budget->share = RETRY_PART * settings->retry_share;
    budget->max_level = MAX(slack, 1);
    budget->level = MIN(budget->level, budget->max_level);
}

/* See front.h. */
struct ch_retry_budget *
ch_front_budget(struct ch_front *front, GQuark service)
{
    gpointer key = GUINT_TO_POINTER(service);
    if (service == 0) {
        return &front->retries;
    }
    struct ch_retry_budget *budget =
        g_hash_table_lookup(front->service_retries, key);
    if (budget == NULL) {
        budget = g_new0(struct ch_retry_budget, 1);
        ch_retry_budget_init(budget,
                             RETRY_PART * front->node->settings->retry_share);
        g_hash_table_insert(front->service_retries, key, budget);
    }
    share_budget(front, budget);
    return budget;
}

/* A course begins. */
void
ch_front_enter(struct ch_front *front, struct ch_exchange *exchange)
{
    pthread_mutex_lock(&front->lock);
    g_hash_table_add(front->exchanges, exchange);
    pthread_mutex_unlock(&front->lock);
}

/* A course is over. */
void
ch_front_leave(struct ch_front *front, struct ch_exchange *exchange)
{
    pthread_mutex_lock(&front->lock);
    g_hash_table_remove(front->exchanges, exchange);
    pthread_cond_broadcast(&front->quiet);
    pthread_mutex_unlock(&front->lock);
}

/* True once new requests are to be refused; *stopping: once callers are to
 * look for another node. */
static bool
is_refusing(struct ch_front *front, bool *stopping)
{
    pthread_mutex_lock(&front->lock);
    bool refusing = front->refusing;
    *stopping = front->stopping;
    pthread_mutex_unlock(&front->lock);
    return refusing;
}

/* True when a configuration and the upstreams are known and the node is not
 * stopping. */
bool
ch_node_ready(struct ch_node *node)
{
    bool stopping = false;
    struct ch_front *front = ck_pr_load_ptr(&node->front);
    if (front == NULL) {
        return false;
    }
    (void)is_refusing(front, &stopping);
    struct ch_config *config = ch_config_keeper_current(node->config);
    bool known = config != NULL;
    if (known) {
        ch_config_unref(config);
    }
    return known && !stopping && ch_crash_keeper_known(node->crashes) &&
           node->router->ops->ready(node->router);
}

/* ---- one request that was taken in ---- */

/* Answers with a refusal that was decided before any course began. */
static void
refuse(struct ch_front *front, struct ch_reply *reply,
       const struct ch_fault *fault, int64_t retry_after)
{
    enum ch_code code = fault->error.code;
    const struct ch_refusal refusal = {
        .code = code,
        .outcome = CH_NOT_RUN,
        .message = fault->error.message,
        .field = fault->field,
        .retry_after = retry_after,
        .request_id = ch_reply_id(reply),
    };
    char *json = ch_refusal_print(&refusal);
    const struct ch_reply_answer answer = {
        .status = ch_code_http(code),
        .content_type = "application/json",
        .outcome = CH_NOT_RUN,
        .code = code,
        .retry_after = retry_after,
        .body = json,
        .length = strlen(json),
    };
    ch_reply_whole(reply, &answer);
    ch_metrics_count(front->node->client->metrics, CH_COUNT_REFUSED, 1);
    ch_log(front->node->client, CH_LOG_INFO, "refused",
           CH_F_STR("request_id", ch_reply_id(reply)), CH_F_INT("code", code),
           CH_F_STR("name", ch_code_name(code)),
           CH_F_STR("field", fault->field),
           CH_F_STR("message", fault->error.message),
           CH_F_STR("outcome", ch_outcome_name(CH_NOT_RUN)), CH_F_END);
}

/* Parses a request of a class that is chosen by host and path. */
static struct ch_request *
parse_routed(struct ch_front *front, struct ch_intake *intake,
             const struct ch_config *config, int64_t now,
             struct ch_fault *fault)
{
    struct ch_request_input *input = g_new0(struct ch_request_input, 1);
    struct ch_request *request = NULL;
    bool good = ch_intake_read(intake, front->node->dialect, input, fault);
    if (input->request_id != NULL &&
        strlen(input->request_id) <= CH_REPLY_MOST_ID) {
        ch_reply_own_id(intake->reply, front->node->dialect->request_id_header,
                        input->request_id);
    }
    if (good) {
        request =
            ch_request_parse_routed(config->declaration, input, now, fault);
    }
    g_array_free(input->passed, TRUE);
    g_free(input);
    return request;
}

/* Parses a request by the configuration in force, and begins its course or
 * answers it. */
static void
take_request(struct ch_front *front, struct ch_intake *intake,
             const struct ch_config *config)
{
    struct ch_fault fault = {.error.code = CH_OK};
    struct ch_request_input input;
    struct ch_request *request = NULL;
    int64_t now = ch_client_now(front->node->client);
    if (front->node->dialect != NULL) {
        request = parse_routed(front, intake, config, now, &fault);
    }
    else {
        ch_intake_input(intake, &input);
        request = ch_request_parse(config->declaration, &input, now, &fault);
    }
    if (request == NULL) {
        refuse(front, intake->reply, &fault, 0);
        return;
    }
    if (request->kind == CH_REQUEST_MODEL_LIST) {
        ch_local_models(config->declaration, request, intake->reply);
        ch_request_free(request);
        return;
    }
    request->work.id = intake->number;
    ch_exchange_start(front, request, intake->reply);
}

/* Decides what becomes of a request that has come whole. */
static void
take_intake(struct ch_front *front, struct ch_intake *intake, bool refusing)
{
    struct ch_fault fault = {.error.code = CH_OK};
    if (front->node->dialect == NULL && ch_local_serve(front, intake)) {
        return;
    }
    ch_metrics_count(front->node->client->metrics, CH_COUNT_REQUESTS, 1);
    if (refusing) {
        ch_fault_set(&fault, CH_STOPPING, "", "this node is stopping");
        refuse(front, intake->reply, &fault, STOPPING_RETRY_AFTER);
        return;
    }
    struct ch_config *config = ch_config_keeper_current(front->node->config);
    if (config == NULL) {
        ch_fault_set(&fault, CH_NOT_READY, "",
                     "this node has no configuration yet");
        refuse(front, intake->reply, &fault, NOT_READY_RETRY_AFTER);
        return;
    }
    take_request(front, intake, config);
    ch_config_unref(config);
}

/* ---- the library's callbacks ---- */

/* The request line came; it is kept as it stood, since the library decodes the
 * path that it gives to the handler. */
static void *
request_begun(void *data, const char *uri, struct MHD_Connection *connection)
{
    struct ch_front *front = data;
    CH_ACQUIRE(&front->listener); /* see take_connection() */
    char id[CH_REPLY_ID];
    uint64_t number = ch_front_new_id(front, id);
    struct ch_intake *intake = ch_intake_new(connection, uri, id, number);
    if (front->node->dialect != NULL) {
        ch_reply_own_id(intake->reply, front->node->dialect->request_id_header,
                        NULL);
    }
    pthread_mutex_lock(&front->lock);
    front->incoming++;
    intake->mark = ch_table_add(front->replies, intake->reply);
    pthread_mutex_unlock(&front->lock);
    ch_hangups_add(front->hangups, ch_reply_fd(intake->reply), intake->mark);
    return intake;
}

/* The whole request has come, or is answered before that: from here on the
 * node stops only after it was answered. */
static void
accept_intake(struct ch_front *front, struct ch_intake *intake)
{
    intake->complete = true;
    pthread_mutex_lock(&front->lock);
    front->incoming--;
    front->accepted++;
    pthread_cond_broadcast(&front->quiet);
    pthread_mutex_unlock(&front->lock);
}

/* The library's handler: once for the head, for each part of the body, for the
 * end of the request, and after each resume. */
static enum MHD_Result
handle(void *data, struct MHD_Connection *connection, const char *path,
       const char *method, const char *version, const char *upload,
       size_t *upload_size, void **request)
{
    (void)path;
    (void)version;
    struct ch_front *front = data;
    struct ch_intake *intake = *request;
    const struct ch_settings *settings = front->node->settings;
    bool stopping = false;
    bool refusing = is_refusing(front, &stopping);
    if (!intake->begun) {
        struct ch_fault fault = {.error.code = CH_OK};
        if (ch_intake_head(intake, connection, method, settings, &fault)) {
            return MHD_YES;
        }
        accept_intake(front, intake);
        refuse(front, intake->reply, &fault, 0);
        /* Its body is not read: what follows is not a request's beginning. */
        return ch_reply_serve(intake->reply, true);
    }
    if (*upload_size > 0) {
        bool good =
            ch_intake_body(intake, upload, *upload_size, settings->max_body);
        *upload_size = 0;
        return good ? MHD_YES : MHD_NO;
    }
    if (!intake->complete) {
        accept_intake(front, intake);
        struct ch_fault fault = {.error.code = CH_OK};
        if (ch_intake_check(intake, settings->max_body, &fault)) {
            take_intake(front, intake, refusing);
        }
        else {
            refuse(front, intake->reply, &fault, 0);
        }
    }
    return ch_reply_serve(intake->reply, stopping);
}

/* The library is done with a request, well or not. */
static void
request_over(void *data, struct MHD_Connection *connection, void **request,
             enum MHD_RequestTerminationCode why)
{
    (void)connection;
    struct ch_front *front = data;
    struct ch_intake *intake = *request;
    if (intake == NULL) {
        return;
    }
    ch_hangups_remove(front->hangups, ch_reply_fd(intake->reply));
    pthread_mutex_lock(&front->lock);
    ch_table_remove(front->replies, intake->mark);
    pthread_mutex_unlock(&front->lock);
    if (!intake->complete) {
        ch_log(front->node->client, CH_LOG_INFO, "request-cut-short",
               CH_F_STR("request_id", ch_reply_id(intake->reply)),
               CH_F_INT("code", CH_BODY_TRUNCATED), CH_F_INT("why", (int)why),
               CH_F_END);
    }
    bool complete = intake->complete;
    ch_reply_detach(intake->reply);
    ch_intake_free(intake);
    *request = NULL;
    pthread_mutex_lock(&front->lock);
    front->accepted -= complete;
    front->incoming -= !complete;
    pthread_cond_broadcast(&front->quiet);
    pthread_mutex_unlock(&front->lock);
}

/* A caller's socket was closed at its end. */
static void
caller_hung_up(void *data, uint64_t mark)
{
    struct ch_front *front = data;
    pthread_mutex_lock(&front->lock);
    struct ch_reply *reply = ch_table_get(front->replies, mark);
    if (reply != NULL) {
        ch_reply_ref(reply);
    }
    pthread_mutex_unlock(&front->lock);
    if (reply != NULL) {
        ch_reply_hang_up(reply);
        ch_reply_unref(reply);
    }
}

static void library_log(void *data, const char *form, va_list arguments)
    G_GNUC_PRINTF(2, 0);

/* The library's own complaints, such as of malformed requests. */
static void
library_log(void *data, const char *form, va_list arguments)
{
    struct ch_front *front = data;
    char text[256];
    (void)vsnprintf(text, sizeof(text), form, arguments);
    ch_log(front->node->client, CH_LOG_DEBUG, "listener",
           CH_F_STR("message", g_strchomp(text)), CH_F_END);
}

/* ---- start and stop ---- */

/* Says that there are too many connections, not more than once a second. */
static void
log_full(struct ch_front *front)
{
    int64_t now = ch_client_now(front->node->client);
    if (front->full_at != 0 && now - front->full_at < G_USEC_PER_SEC) {
        return;
    }
    front->full_at = now;
    ch_log(front->node->client, CH_LOG_WARNING, "too-many-connections",
           CH_F_INT("limit", front->node->settings->max_connections),
           CH_F_END);
}

/* Counts a connection, unless there are as many as there may be.  The
 * library's own limit is one for each of its threads, so that it turns callers
 * away while another thread has room. */
static bool
enter_connection(struct ch_front *front)
{
    pthread_mutex_lock(&front->lock);
    bool room = front->connections < front->node->settings->max_connections;
    front->connections += room;
    pthread_mutex_unlock(&front->lock);
    return room;
}

/* A connection is no more. */
static void
leave_connection(struct ch_front *front)
{
    pthread_mutex_lock(&front->lock);
    front->connections--;
    pthread_mutex_unlock(&front->lock);
}

/* The library begins with a connection, or is done with it. */
static void
connection_changed(void *data, struct MHD_Connection *connection,
                   void **context, enum MHD_ConnectionNotificationCode what)
{
    (void)connection;
    (void)context;
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        leave_connection(data);
    }
}

/* Gives a new connection to the library; closes it when there are too many. */
static void
take_connection(void *data, int fd, const struct sockaddr_in *from)
{
    struct ch_front *front = data;
    if (!enter_connection(front)) {
        log_full(front);
        close(fd);
        return;
    }
    CH_RELEASE(&front->listener); /* the library's lock hands fd on */
    if (MHD_add_connection(front->daemon, fd, (const struct sockaddr *)from,
                           sizeof(*from)) != MHD_YES) {
        leave_connection(front);
    }
}

/* Starts the library's threads.  Its memory for a connection bounds the head
 * of a request even before this node can look at it. */
static struct MHD_Daemon *
start_daemon(struct ch_front *front)
{
    const struct ch_settings *settings = front->node->settings;
    unsigned threads = CLAMP(settings->workers, 1, MOST_LISTENER_THREADS);
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET |
            MHD_USE_ERROR_LOG,
        0, NULL, NULL, handle, front, MHD_OPTION_EXTERNAL_LOGGER, library_log,
        front, MHD_OPTION_URI_LOG_CALLBACK, request_begun, front,
        MHD_OPTION_NOTIFY_COMPLETED, request_over, front,
        MHD_OPTION_CONNECTION_LIMIT, settings->max_connections * threads,
        MHD_OPTION_NOTIFY_CONNECTION, connection_changed, front,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        settings->max_headers + CH_INTAKE_MEMORY,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_SECONDS,
        MHD_OPTION_THREAD_POOL_SIZE, threads > 1 ? threads : 0,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

/* Starts listening for callers.  The node's other parts are to be there, but
 * for its configuration: without one the answer is NOT_READY. */
struct ch_front *
ch_front_new(struct ch_node *node, struct ch_error *error)
{
    struct ch_front *front = g_new0(struct ch_front, 1);
    front->node = node;
    front->id_start =
        ch_hash_pair(ch_hash_string(node->settings->name), node->incarnation);
    front->replies = ch_table_new();
    pthread_mutex_init(&front->lock, NULL);
    pthread_cond_init(&front->quiet, NULL);
    ch_retry_budget_init(&front->retries, node->settings->retry_share);
    front->exchanges = g_hash_table_new(NULL, NULL);
    front->service_retries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    front->hangups = ch_hangups_new(caller_hung_up, front);
    front->daemon = start_daemon(front);
    if (front->daemon == NULL) {
        ch_error_set(error, CH_SYSTEM, "cannot serve HTTP: %s",
                     g_strerror(errno));
        ch_front_free(front);
        return NULL;
    }
    front->listener = ch_listener_new(node->settings->callers, take_connection,
                                      front, error);
    if (front->listener == NULL) {
        ch_front_free(front);
        return NULL;
    }
    ch_log(node->client, CH_LOG_NOTICE, "listening-for-callers",
           CH_F_STR("address", node->settings->callers),
           CH_F_INT("port", ch_listener_port(front->listener)), CH_F_END);
    return front;
}

/* A point of the clock that conditions wait by, this long from now. */
static struct timespec
until_after(int64_t wait)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    int64_t nanoseconds = until.tv_nsec + wait % G_USEC_PER_SEC * 1000;
    until.tv_sec += wait / G_USEC_PER_SEC + nanoseconds / NANO;
    until.tv_nsec = nanoseconds % NANO;
    return until;
}

/* The courses that are under way, with a reference to each. */
static GPtrArray *
open_exchanges(struct ch_front *front)
{
    GPtrArray *open = g_ptr_array_new_with_free_func(ch_exchange_unref);
    GHashTableIter iterator;
    gpointer exchange = NULL;
    pthread_mutex_lock(&front->lock);
    g_hash_table_iter_init(&iterator, front->exchanges);
    while (g_hash_table_iter_next(&iterator, &exchange, NULL)) {
        g_ptr_array_add(open, ch_exchange_ref(exchange));
    }
    pthread_mutex_unlock(&front->lock);
    return open;
}

/* See node.h. */
void
ch_front_drop_barred(struct ch_front *front)
{
    GPtrArray *open = open_exchanges(front);
    for (guint i = 0; i < open->len; i++) {
        ch_exchange_drop_barred(g_ptr_array_index(open, i));
    }
    g_ptr_array_free(open, TRUE);
}

/* Ends all courses that are under way. */
static void
cut_all(struct ch_front *front)
{
    GPtrArray *open = open_exchanges(front);
    ch_log(front->node->client, CH_LOG_WARNING, "requests-cut",
           CH_F_INT("count", open->len), CH_F_END);
    for (guint i = 0; i < open->len; i++) {
        ch_exchange_cut(g_ptr_array_index(open, i));
    }
    g_ptr_array_free(open, TRUE);
}

/* Waits until everything accepted is answered, or until `until` (NULL: for as
 * long as it takes).  Front's lock held; false when that time has come. */
static bool
wait_answered(struct ch_front *front, const struct timespec *until)
{
    int error = 0;
    while (error == 0 &&
           (front->accepted > 0 || g_hash_table_size(front->exchanges) > 0)) {
        error = until == NULL ? pthread_cond_wait(&front->quiet, &front->lock)
                              : pthread_cond_timedwait(&front->quiet,
                                                       &front->lock, until);
    }
    return error == 0;
}

/*
 * Waits until everything accepted is answered.  Requests that are still coming
 * in are given a while: a caller that sends a byte now and then must not keep
 * the node from stopping.
 */
static void
wait_quiet(struct ch_front *front, const struct timespec *cut_at)
{
    struct timespec until = until_after(INCOMING);
    pthread_mutex_lock(&front->lock);
    int error = 0;
    while (front->incoming > 0 && error == 0) {
        error = pthread_cond_timedwait(&front->quiet, &front->lock, &until);
    }
    if (!wait_answered(front, cut_at)) {
        pthread_mutex_unlock(&front->lock);
        cut_all(front);
        pthread_mutex_lock(&front->lock);
        wait_answered(front, NULL);
    }
    pthread_mutex_unlock(&front->lock);
}

/*
 * Stops without cutting a request short.  The balancer takes some time to see
 * that the node is not ready and goes on sending; so for drain_ms everything
 * is served as ever, and callers are told to close their connections.  Then
 * new requests are refused, all accepted ones are answered, and only then is
 * the listener closed.
 *
 * Where the platform kills a process that stops for too long, what is still
 * open shortly before is ended: those callers are told, and rights, entries
 * and connections are given back in order.  Killed, a node leaves its entry
 * behind until that lapses, and its callers with connections that are reset.
 */
void
ch_front_stop(struct ch_front *front)
{
    int64_t grace = (int64_t)front->node->settings->grace_ms * 1000;
    struct timespec at = until_after(grace - MIN(AFTER_CUT, grace / 2));
    const struct timespec *cut_at = grace > 0 ? &at : NULL;
    pthread_mutex_lock(&front->lock);
    front->stopping = true;
    pthread_mutex_unlock(&front->lock);
    g_usleep((gulong)front->node->settings->drain_ms * 1000);
    pthread_mutex_lock(&front->lock);
    front->refusing = true;
    pthread_mutex_unlock(&front->lock);
    wait_quiet(front, cut_at);
    ch_listener_free(front->listener);
    front->listener = NULL;
    wait_quiet(front, cut_at);
    MHD_stop_daemon(front->daemon);
    front->daemon = NULL;
}

/* Frees the front; stops it at once when ch_front_stop() was not called. */
void
ch_front_free(struct ch_front *front)
{
    if (front == NULL) {
        return;
    }
    ch_listener_free(front->listener);
    if (front->daemon != NULL) {
        MHD_stop_daemon(front->daemon);
    }
    ch_hangups_free(front->hangups);
    ch_table_free(front->replies);
    if (front->service_retries != NULL) {
        g_hash_table_destroy(front->service_retries);
    }
    if (front->exchanges != NULL) {
        g_hash_table_destroy(front->exchanges);
    }
    pthread_cond_destroy(&front->quiet);
    pthread_mutex_destroy(&front->lock);
    g_free(front);
}
