/* The operators' HTTP listener: health, metrics, status and the configuration.
 */

#include "node/crash_guard.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"
#include "node/quota_manager.h"
#include "node/response.h"
#include "node/stream_manager.h"
#include "base/json.h"
#include "base/ini.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>

enum {
    /* For operators, their scripts, a metrics collector and the load balancer;
     * callers use another listener. */
    MAX_CONNECTIONS = 64,
    /* A connection without a request for this long is closed, so that
     * forgotten connections do not use up the 64. */
    IDLE_SECONDS = 30,
    CONNECTION_MEMORY_BYTES = 32 * 1024,
};

struct ch_admin {
    struct ch_node *node;
    struct MHD_Daemon *daemon;
    pthread_mutex_t lock;
    pthread_cond_t idle; /* signalled when pending reaches 0 */
    unsigned pending; /* configuration changes whose response the operator does
                         not have yet */
    bool stopping;
};

/* One request; freed when libmicrohttpd reports its end. */
struct request {
    struct ch_admin *admin;
    struct MHD_Connection *connection;
    GString *body;
    bool begun;
    bool too_large;
    bool suspended; /* waits for the configuration manager; the response is set
                       before the resume */
    int status;
    char *response;
};

/* ---- responses ---- */

static void
add_string(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

static void
add_int(JsonBuilder *builder, const char *name, int64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, value);
}

/* Adds the members of a configuration to the open object. */
static void
add_config(JsonBuilder *builder, const struct ch_config *config)
{
    add_int(builder, "revision", (int64_t)config->revision);
    add_string(builder, "token", config->write_id);
    add_string(builder, "author", config->author);
    add_string(builder, "text", config->declaration->canonical_text);
}

/* {"error": {...}} as a new string, with the configuration in force if config
 * is given. */
static char *
error_json(const struct ch_error *error, const struct ch_config *config)
{
    JsonBuilder *builder = json_builder_new();
    char *message = g_utf8_make_valid(error->message, -1);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "error");
    json_builder_begin_object(builder);
    add_int(builder, "code", error->code);
    add_string(builder, "name", ch_code_get_name(error->code));
    add_string(builder, "message", message);
    add_string(builder, "outcome",
               ch_outcome_get_name(ch_code_get_outcome(error->code)));
    json_builder_end_object(builder);
    if (config != NULL) {
        json_builder_set_member_name(builder, "config");
        json_builder_begin_object(builder);
        add_config(builder, config);
        json_builder_end_object(builder);
    }
    json_builder_end_object(builder);
    g_free(message);
    return ch_json_to_string(builder);
}

/* Queues a response; takes ownership of body. */
static enum MHD_Result
send_response(struct MHD_Connection *connection, int status, const char *type,
              char *body)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(body), body, MHD_RESPMEM_MUST_COPY);
    g_free(body);
    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

/* Queues a JSON response; takes ownership of json. */
static enum MHD_Result
send_json(struct MHD_Connection *connection, int status, char *json)
{
    return send_response(connection, status, "application/json", json);
}

/* Queues an error response with the status of its code. message NULL: the
 * code's meaning. */
static enum MHD_Result
send_error(struct MHD_Connection *connection, enum ch_code code,
           const char *message)
{
    struct ch_error error = {0};
    ch_error_set(&error, code, "%s",
                 message == NULL ? ch_code_get_meaning(code) : message);
    return send_json(connection, ch_code_get_http_status(code),
                     error_json(&error, NULL));
}

/* ---- GET requests ---- */

/* Answers 200 whenever the listener's thread runs. */
static enum MHD_Result
get_health(struct request *request)
{
    return send_json(request->connection, MHD_HTTP_OK,
                     g_strdup("{\"status\":\"alive\"}"));
}

/* 200 when the node takes requests, else 503 with the reason. */
static enum MHD_Result
get_ready(struct request *request)
{
    struct ch_node *node = request->admin->node;
    if (ch_node_is_ready(node)) {
        return send_json(request->connection, MHD_HTTP_OK,
                         g_strdup("{\"status\":\"ready\"}"));
    }
    struct ch_config *config = ch_config_manager_get_current(node->config);
    bool is_initialized =
        config != NULL && node->router->ops->is_ready(node->router);
    enum ch_code code = is_initialized ? CH_STOPPING : CH_NOT_READY;
    ch_config_unref(config);
    return send_error(request->connection, code, NULL);
}

/* Appends the age of the list of upstreams, once it is known. */
static void
render_list_age(struct ch_router *router, GString *text)
{
    int64_t age = router->ops->get_list_age == NULL
                      ? G_MAXINT64
                      : router->ops->get_list_age(router);
    if (age != G_MAXINT64) {
        g_string_append_printf(
            text,
            "# HELP chestnuthitch_list_age_seconds time since the list of "
            "upstreams was last known to be current\n"
            "# TYPE chestnuthitch_list_age_seconds gauge\n"
            "chestnuthitch_list_age_seconds %.3f\n",
            (double)age / G_USEC_PER_SEC);
    }
}

/* Counters, histograms and gauges in Prometheus format. */
static enum MHD_Result
get_metrics(struct request *request)
{
    GString *text = g_string_new(NULL);
    ch_metrics_render(request->admin->node->client->metrics, text);
    ch_peers_render_metrics(request->admin->node->peers, text);
    render_list_age(request->admin->node->router, text);
    return send_response(request->connection, MHD_HTTP_OK,
                         "text/plain; version=0.0.4; charset=utf-8",
                         g_string_free(text, FALSE));
}

/* Adds one class's outcomes to the open object. */
static void
add_outcomes(void *data, const char *class_name,
             const struct ch_class_outcomes *all)
{
    JsonBuilder *builder = data;
    uint64_t met = 0;
    uint64_t requests = 0;
    char *name = g_utf8_make_valid(class_name, -1);
    json_builder_set_member_name(builder, name);
    g_free(name);
    json_builder_begin_object(builder);
    for (int i = 0; i <= CH_UNKNOWN; i++) {
        uint64_t count = all->counts[i][0] + all->counts[i][1];
        add_int(builder, ch_outcome_get_name((enum ch_outcome)i),
                (int64_t)count);
        requests += count;
        met += all->counts[i][1];
    }
    add_int(builder, "requests", (int64_t)requests);
    add_int(builder, "met", (int64_t)met);
    json_builder_end_object(builder);
}

static void
add_counters(JsonBuilder *builder, const struct ch_metrics *metrics)
{
    static const char *const names[] = {
#define CH_COUNTER(name, text) #name,
#include "base/counters.def"
#undef CH_COUNTER
    };
    for (int i = 0; i < CH_COUNTERS; i++) {
        char *name = g_ascii_strdown(names[i], -1);
        add_int(builder, name,
                (int64_t)ch_metrics_get_count(metrics, (enum ch_counter)i));
        g_free(name);
    }
}

/* Adds this node's name and place and the revision in force. */
static void
add_node(JsonBuilder *builder, struct ch_node *node)
{
    add_string(builder, "node", node->settings->name);
    add_string(builder, "region", node->settings->region);
    add_string(builder, "data_centre", node->settings->data_centre);
    json_builder_set_member_name(builder, "ready");
    json_builder_add_boolean_value(builder, ch_node_is_ready(node));
    struct ch_config *config = ch_config_manager_get_current(node->config);
    add_int(builder, "revision",
            config == NULL ? 0 : (int64_t)config->revision);
    add_string(builder, "author", config == NULL ? "" : config->author);
    ch_config_unref(config);
}

/* Adds whether a policy mechanism is on. */
static void
add_mechanism(void *data, const char *key, bool on)
{
    add_string(data, key, on ? "on" : "off");
}

/* The state of this node and its knowledge of the others. */
static enum MHD_Result
get_status(struct request *request)
{
    struct ch_node *node = request->admin->node;
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_node(builder, node);
    ch_peers_write_status(node->peers, builder);
    node->router->ops->write_status(node->router, builder);
    ch_crash_guard_write_status(node->crash_guard, builder);
    ch_quota_manager_write_status(node->quota, builder);
    ch_limit_manager_write_status(node->limits, builder);
    ch_slots_write_status(node->slots, builder);
    ch_notices_write_status(node->notices, builder);
    ch_room_write_status(node->room, builder);
    ch_pace_write_status(node->pace, builder);
    ch_frontend_write_status(node->frontend, builder);
    ch_response_memory_write_status(node->response_memory, builder);
    if (node->streams != NULL) {
        ch_stream_manager_write_status(node->streams, builder);
    }
    ch_path_manager_write_status(node->paths, builder);
    json_builder_set_member_name(builder, "policy");
    json_builder_begin_object(builder);
    ch_settings_foreach_policy(node->settings, add_mechanism, builder);
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "outcomes");
    json_builder_begin_object(builder);
    ch_metrics_foreach_class(node->client->metrics, add_outcomes, builder);
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "counters");
    json_builder_begin_object(builder);
    add_counters(builder, node->client->metrics);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    return send_json(request->connection, MHD_HTTP_OK,
                     ch_json_to_string(builder));
}

/* A configuration as JSON, in a new string. */
static char *
config_json(const struct ch_config *config)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_config(builder, config);
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

static enum MHD_Result
get_config(struct request *request)
{
    struct ch_config *config =
        ch_config_manager_get_current(request->admin->node->config);
    if (config == NULL) {
        return send_error(request->connection, CH_KV_MISSING,
                          "no configuration is known yet");
    }
    char *json = config_json(config);
    ch_config_unref(config);
    return send_json(request->connection, MHD_HTTP_OK, json);
}

/* ---- POST requests ---- */

/* Counts a configuration change as pending; false when the node is stopping.
 */
static bool
begin_apply(struct ch_admin *admin)
{
    pthread_mutex_lock(&admin->lock);
    bool open = !admin->stopping;
    if (open) {
        admin->pending++;
    }
    pthread_mutex_unlock(&admin->lock);
    return open;
}

/* Counts a configuration change as answered. */
static void
end_apply(struct ch_admin *admin)
{
    pthread_mutex_lock(&admin->lock);
    admin->pending--;
    if (admin->pending == 0) {
        pthread_cond_signal(&admin->idle);
    }
    pthread_mutex_unlock(&admin->lock);
}

/* The configuration manager's result: sets the response and resumes the
 * connection. With a code of OK there is always a configuration. */
static void
handle_applied(void *data, const struct ch_error *error,
               struct ch_config *config)
{
    struct request *request = data;
    struct ch_admin *admin = request->admin;
    bool accepted = error == NULL || error->code == CH_OK;
    ch_log(
        admin->node->client, accepted ? CH_LOG_NOTICE : CH_LOG_WARNING,
        "config-apply",
        CH_F_STR("result", ch_code_get_name(accepted ? CH_OK : error->code)),
        CH_F_INT("revision", config == NULL ? 0 : config->revision),
        CH_F_STR("author",
                 MHD_lookup_connection_value(request->connection,
                                             MHD_GET_ARGUMENT_KIND, "author")),
        CH_F_STR("message", accepted ? "" : error->message), CH_F_END);
    int status = accepted ? MHD_HTTP_OK : ch_code_get_http_status(error->code);
    char *response =
        accepted ? config_json(config) : error_json(error, config);
    pthread_mutex_lock(&admin->lock);
    struct MHD_Connection *connection = request->connection;
    request->status = status;
    request->response = response;
    pthread_mutex_unlock(&admin->lock);
    MHD_resume_connection(connection);
}

/* Parses the revision that the operator's change is based on; false when it is
 * not a number. */
static bool
read_base(struct MHD_Connection *connection, uint64_t *base)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "base");
    guint64 number = 0;
    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &number, NULL)) {
        return false;
    }
    *base = number;
    return true;
}

/* Passes the complete body to the configuration manager and suspends the
 * connection. */
static enum MHD_Result
post_config(struct request *request)
{
    struct MHD_Connection *connection = request->connection;
    const char *author = MHD_lookup_connection_value(
        connection, MHD_GET_ARGUMENT_KIND, "author");
    uint64_t base = 0;
    if (request->too_large) {
        return send_error(connection, CH_BODY_TOO_LARGE, NULL);
    }
    if (!read_base(connection, &base)) {
        return send_error(connection, CH_BAD_FIELD,
                          "base: not a revision (0 for none)");
    }
    if (author == NULL || !ch_ini_check_name(author)) {
        return send_error(connection, CH_BAD_FIELD,
                          "author: not 1 to 64 of A-Z a-z 0-9 . _ -");
    }
    if (strlen(request->body->str) != request->body->len) {
        return send_error(connection, CH_INI_SYNTAX,
                          "the body contains a NUL byte");
    }
    if (!begin_apply(request->admin)) {
        return send_error(connection, CH_STOPPING, NULL);
    }
    request->suspended = true;
    MHD_suspend_connection(connection);
    ch_config_manager_apply(request->admin->node->config, request->body->str,
                            author, base, handle_applied, request);
    return MHD_YES;
}

/* Allows a barred request to be sent to upstreams again, on all nodes. */
static enum MHD_Result
post_release(struct request *request)
{
    struct MHD_Connection *connection = request->connection;
    const char *text = MHD_lookup_connection_value(
        connection, MHD_GET_ARGUMENT_KIND, "digest");
    struct ch_digest digest;
    if (text == NULL || !ch_digest_parse(text, &digest)) {
        return send_error(connection, CH_BAD_FIELD,
                          "digest: not 32 hexadecimal digits");
    }
    if (!ch_crash_guard_release(request->admin->node->crash_guard, &digest)) {
        return send_error(connection, CH_UNKNOWN_REQUEST, NULL);
    }
    return send_json(connection, MHD_HTTP_OK,
                     g_strdup("{\"status\":\"released\"}"));
}

/* ---- routing ---- */

struct route {
    const char *method;
    const char *path;
    enum MHD_Result (*run)(struct request *request);
};

static const struct route routes[] = {
    {"GET", "/healthz", get_health},
    {"GET", "/readyz", get_ready},
    {"GET", "/metrics", get_metrics},
    {"GET", "/admin/v1/status", get_status},
    {"GET", "/admin/v1/config", get_config},
    {"POST", "/admin/v1/config", post_config},
    {"POST", "/admin/v1/release", post_release},
};

/* Runs the route of a completely received request. */
static enum MHD_Result
run_route(struct request *request, const char *method, const char *path)
{
    const struct ch_settings *settings = request->admin->node->settings;
    bool path_known = false;
    if (strcmp(path, settings->ready_path) == 0 &&
        strcmp(method, "GET") == 0) {
        return get_ready(request);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, path) != 0) {
            continue;
        }
        path_known = true;
        if (strcmp(routes[i].method, method) == 0) {
            return routes[i].run(request);
        }
    }
    return send_error(request->connection,
                      path_known ? CH_BAD_METHOD : CH_UNKNOWN_PATH, NULL);
}

/* Stores a part of the body, up to the limit. Bytes beyond the limit are read
 * and discarded, so that the operator gets the error instead of a reset
 * connection. */
static void
store_body(struct request *request, const char *bytes, size_t length)
{
    if (request->body->len + length > CH_INI_MAX_INPUT_BYTES) {
        request->too_large = true;
        return;
    }
    g_string_append_len(request->body, bytes, (gssize)length);
}

/* libmicrohttpd's handler: called for the head, for each part of the body, at
 * its end and after a resume. */
static enum MHD_Result
handle_request(void *data, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *bytes,
               size_t *length, void **state)
{
    (void)version;
    struct request *request = *state;
    if (request == NULL) {
        request = g_new0(struct request, 1);
        request->admin = data;
        request->connection = connection;
        request->body = g_string_new(NULL);
        *state = request;
        return MHD_YES;
    }
    if (*length > 0) {
        store_body(request, bytes, *length);
        *length = 0;
        return MHD_YES;
    }
    if (!request->suspended) {
        return run_route(request, method, path);
    }
    pthread_mutex_lock(&request->admin->lock);
    char *response = request->response;
    int status = request->status;
    request->response = NULL;
    pthread_mutex_unlock(&request->admin->lock);
    return response == NULL ? MHD_NO : send_json(connection, status, response);
}

/* Frees a request that has ended, with or without a response. */
static void
handle_request_end(void *data, struct MHD_Connection *connection, void **state,
                   enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    struct request *request = *state;
    if (request == NULL) {
        return;
    }
    if (request->suspended) {
        end_apply(request->admin);
    }
    g_string_free(request->body, TRUE);
    g_free(request->response);
    g_free(request);
    *state = NULL;
}

/* ---- the listener ---- */

/* Parses "ip:port", which was validated with the settings. */
static struct sockaddr_in
socket_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    char *host = g_strndup(text, (size_t)(colon - text));
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10)),
    };
    (void)inet_pton(AF_INET, host, &address.sin_addr);
    g_free(host);
    return address;
}

/* Logs the address with the port in use, which the kernel may have chosen. */
static void
log_listening(const struct ch_admin *admin)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_BIND_PORT);
    const char *address = admin->node->settings->admin;
    int host = (int)(strrchr(address, ':') - address);
    char *bound = g_strdup_printf("%.*s:%u", host, address,
                                  info == NULL ? 0U : (unsigned)info->port);
    ch_log(admin->node->client, CH_LOG_NOTICE, "listening",
           CH_F_STR("admin", bound), CH_F_END);
    g_free(bound);
}

/* Opens the listener. The node's configuration manager, crash guard, peers and
 * router must exist and outlive it. NULL with SYSTEM when the address cannot
 * be bound. */
struct ch_admin *
ch_admin_new(struct ch_node *node, struct ch_error *error)
{
    struct ch_admin *admin = g_new0(struct ch_admin, 1);
    admin->node = node;
    pthread_mutex_init(&admin->lock, NULL);
    pthread_cond_init(&admin->idle, NULL);
    struct sockaddr_in address = socket_address(node->settings->admin);
    admin->daemon = MHD_start_daemon(
        MHD_USE_AUTO_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        handle_request, admin, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_SECONDS,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_NOTIFY_COMPLETED, handle_request_end, NULL, MHD_OPTION_END);
    if (admin->daemon == NULL) {
        ch_error_set(error, CH_SYSTEM, "[listen] admin: cannot listen on %s",
                     node->settings->admin);
        ch_admin_free(admin);
        return NULL;
    }
    log_listening(admin);
    return admin;
}

/* Refuses new configurations, waits until the pending ones are answered
 * (bounded by the key-value store's timeout and IDLE_SECONDS), and closes the
 * listener. To be called before the configuration manager is stopped. */
void
ch_admin_stop(struct ch_admin *admin)
{
    pthread_mutex_lock(&admin->lock);
    admin->stopping = true;
    while (admin->pending > 0) {
        pthread_cond_wait(&admin->idle, &admin->lock);
    }
    pthread_mutex_unlock(&admin->lock);
    if (admin->daemon != NULL) {
        MHD_stop_daemon(admin->daemon);
        admin->daemon = NULL;
    }
}

/* Stops the listener unless it is stopped, and frees it; NULL is allowed. */
void
ch_admin_free(struct ch_admin *admin)
{
    if (admin == NULL) {
        return;
    }
    ch_admin_stop(admin);
    pthread_cond_destroy(&admin->idle);
    pthread_mutex_destroy(&admin->lock);
    g_free(admin);
}
