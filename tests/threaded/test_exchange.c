/*
 * Tests the callers' listener and the exchange of a request, over real sockets
 * to the caller, with a fake router, fake at-most-once records and fake
 * upstreams that do as each test states.
 */

#include "node/exchange.h"
#include "node/dialect.h"
#include "node/frontend.h"
#include "node/listener.h"
#include "threaded/fake_crashes.h"
#include "threaded/fake_limits.h"
#include "threaded/fake_paths.h"
#include "threaded/fake_quota.h"
#include "threaded/fake_streams.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    TIMEOUT_S = 20,
    MAX_ACTIONS = 4,
    MAX_CALLERS = 12,
    EVENT_COUNT = 5, /* of a complete stream */
    NEVER_BARRED = 100,
};

/* What the router does with a request. */
enum router_action {
    GRANTS,
    REFUSES,
    KEEPS_WAITING, /* no reply until the request is withdrawn */
};

/* What an upstream does with a call. */
enum upstream_action {
    COMPLETES,
    INTERRUPTED,   /* loses the connection after two events, or within a plain
                      response */
    NOT_CONNECTED, /* the request certainly did not run */
    REFUSED_NOT_RUN, /* responds 429 or 503 with X-Not-Run */
    CROSSED,         /* the response belongs to another request */
    SILENT,          /* until it is cancelled or completed by the test */
    FLOODING,        /* sends events until it is cancelled */
    PAUSED,       /* silent after two events; completes when it is resumed */
    SERVER_ERROR, /* a complete response with status 500 */
    INTERRUPTED_EARLY, /* loses the connection before any of the response */
};

struct ch_homes {
    struct ch_router router;
    struct fixture *fixture;
};

struct ch_once_manager {
    struct fixture *fixture;
};

struct ch_config_manager {
    struct fixture *fixture;
};

struct fake_call {
    struct fixture *fixture;
    struct ch_call_handlers handlers;
    void *data;
    enum upstream_action action;
    bool stream;
    uint32_t resume_from;
    bool cancelled;
    char id[CH_RESPONSE_ID_SIZE];
};

/* The fakes for the node's other parts, with counters of their use. */
struct fixture {
    struct ch_upstream upstream; /* first: the fixture is the fake upstream */
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    struct ch_homes fake_router;
    struct ch_once_manager once;
    struct ch_config_manager config_manager;
    struct ch_config *config;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    enum router_action router_actions[MAX_ACTIONS];
    enum upstream_action upstream_actions[MAX_ACTIONS];
    struct ch_once_result once_result;
    unsigned router_requests;
    const char *granted_version; /* of upstreams; NULL: not known */
    bool may_have_restarted;     /* the upstream, as the router knows */
    uint64_t reported_start;     /* of its process; 0: no report */
    int process_reports;         /* atomic: reports asked for */
    uint64_t last_required_version;
    unsigned granted;
    unsigned released;
    unsigned withdrawn;
    unsigned outdated_grants; /* of the first ones: the list has not got the
                                 upstream any more when it is to be called */
    unsigned calls;
    unsigned fresh_calls; /* calls that libcurl may not repeat */
    unsigned cancelled;
    unsigned once_begins;    /* at-most-once records asked for */
    unsigned once_stored;    /* records finished with a response */
    unsigned once_released;  /* records finished as not run */
    unsigned excluded_count; /* upstreams that the last request excluded */
    unsigned resumed_from;
    bool once_delayed;        /* the record's state is held back */
    bool allows_same_attempt; /* the router may be asked again with the same
                                 attempt number */
    GQuark last_required;     /* upstream that the last request requires */
    bool stream_had_started;  /* whether the caller of the last request had the
                                 start of a stream */
    struct once_job *once_job;
    struct fake_call *last_call;
    struct fake_call *paused[MAX_CALLERS];
    unsigned paused_count;
    int port;
};

static void
unlock_and_notify(struct fixture *fixture)
{
    pthread_cond_broadcast(&fixture->changed);
    pthread_mutex_unlock(&fixture->lock);
}

/* Waits until a counter has reached a value. */
static void
wait_for_count(struct fixture *fixture, const unsigned *counter,
               unsigned value)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += TIMEOUT_S;
    pthread_mutex_lock(&fixture->lock);
    while (*counter < value) {
        g_assert_cmpint(
            pthread_cond_timedwait(&fixture->changed, &fixture->lock, &until),
            ==, 0);
    }
    pthread_mutex_unlock(&fixture->lock);
}

/* ---- fake router ---- */

struct router_job {
    struct fixture *fixture;
    struct ch_router_handlers handlers;
    void *data;
    enum router_action action;
    uint64_t handle;
    const char *upstream;
};

static void
run_router_job(void *data)
{
    struct router_job *job = data;
    if (job->action == GRANTS) {
        const struct ch_grant grant = {
            .handle = job->handle,
            .upstream = g_quark_from_string(job->upstream),
            .version = g_quark_from_string(job->fixture->granted_version),
            .version_id = ch_version_get_id(job->fixture->granted_version),
            .boot_id = 3,
            .may_have_restarted = job->fixture->may_have_restarted,
            .client = &job->fixture->upstream,
            .priority = 3,
        };
        pthread_mutex_lock(&job->fixture->lock);
        job->fixture->granted++;
        unlock_and_notify(job->fixture);
        job->handlers.granted(job->data, &grant);
    }
    else {
        job->handlers.refused(job->data, CH_LATE, 1500000, "too late");
    }
    g_free(job);
}

static uint64_t
router_request(struct ch_router *router, const struct ch_request_info *info,
               const GArray *excluded,
               const struct ch_router_handlers *handlers, void *data)
{
    struct fixture *fixture = ((struct ch_homes *)router)->fixture;
    pthread_mutex_lock(&fixture->lock);
    unsigned number = fixture->router_requests++;
    enum router_action action =
        fixture->router_actions[MIN(number, MAX_ACTIONS - 1)];
    fixture->excluded_count = excluded == NULL ? 0 : excluded->len;
    g_assert_true(fixture->allows_same_attempt || info->attempt == number);
    fixture->last_required = info->required_upstream;
    fixture->last_required_version = info->required_version;
    if (excluded != NULL && excluded->len > 0 &&
        (fixture->node.limits != NULL ||
         fixture->settings.max_upstream_bytes > 0)) {
        action = REFUSES; /* the only upstream is excluded */
    }
    fixture->stream_had_started = info->answer_started;
    unlock_and_notify(fixture);
    if (action != KEEPS_WAITING) {
        struct router_job *job = g_new(struct router_job, 1);
        *job = (struct router_job){
            fixture,
            *handlers,
            data,
            action,
            number + 1,
            number > 0 && fixture->outdated_grants > 0 ? "w02" : "w01"};
        ch_pool_submit(fixture->node.pool, run_router_job, job);
    }
    return number + 1;
}

static bool
router_withdraw(struct ch_router *router, uint64_t handle)
{
    struct fixture *fixture = ((struct ch_homes *)router)->fixture;
    pthread_mutex_lock(&fixture->lock);
    bool waits = fixture->router_actions[handle - 1] == KEEPS_WAITING;
    fixture->withdrawn += waits;
    unlock_and_notify(fixture);
    return waits;
}

static void
router_release(struct ch_router *router, uint64_t handle,
               const struct ch_timing_sample *sample)
{
    struct fixture *fixture = ((struct ch_homes *)router)->fixture;
    g_assert_cmpuint(handle, >, 0);
    g_assert_cmpint(sample->first_byte_time, >=, 0);
    pthread_mutex_lock(&fixture->lock);
    fixture->released++;
    unlock_and_notify(fixture);
}

static bool
router_may_call(struct ch_router *router, uint64_t handle)
{
    struct fixture *fixture = ((struct ch_homes *)router)->fixture;
    return handle > fixture->outdated_grants;
}

static bool
router_ready(struct ch_router *router)
{
    return ((struct ch_homes *)router)->fixture != NULL;
}

static const struct ch_router_ops router_ops = {
    .is_ready = router_ready,
    .request = router_request,
    .withdraw = router_withdraw,
    .release = router_release,
    .may_call = router_may_call,
};

/* The node has no peers. */
char **
ch_peers_list_live(struct ch_peers *peers)
{
    (void)peers;
    return g_strdupv((char *[]){"alone", NULL});
}

/* ---- fake at-most-once records and configuration ---- */

struct once_job {
    struct fixture *fixture;
    void (*handle_begun)(void *data, const struct ch_once_result *result);
    void (*handle_finished)(void *data, bool stored);
    void *data;
};

static void
run_once_job(void *data)
{
    struct once_job *job = data;
    if (job->handle_begun != NULL) {
        job->handle_begun(job->data, &job->fixture->once_result);
    }
    else {
        job->handle_finished(job->data, true);
    }
    g_free(job);
}

void
ch_once_manager_begin(struct ch_once_manager *manager, const char *caller,
                      const char *key, uint64_t fingerprint,
                      void (*done)(void *data,
                                   const struct ch_once_result *result),
                      void *data)
{
    struct fixture *fixture = manager->fixture;
    g_assert_cmpstr(caller, ==, "llanelli");
    g_assert_cmpstr(key, ==, "k1");
    g_assert_cmpuint(fingerprint, !=, 0);
    pthread_mutex_lock(&fixture->lock);
    struct once_job *job = g_new0(struct once_job, 1);
    *job = (struct once_job){
        .fixture = fixture, .handle_begun = done, .data = data};
    fixture->once_begins++;
    fixture->once_job = job;
    bool waits = fixture->once_delayed;
    unlock_and_notify(fixture);
    if (!waits) {
        ch_pool_submit(fixture->node.pool, run_once_job, job);
    }
}

void
ch_once_manager_finish(struct ch_once_manager *manager, const char *caller,
                       const char *key, uint64_t attempt, bool not_run,
                       int status, const char *content_type, const void *body,
                       size_t length, void (*done)(void *data, bool stored),
                       void *data)
{
    struct fixture *fixture = manager->fixture;
    (void)caller;
    (void)key;
    (void)content_type;
    g_assert_cmpuint(attempt, ==, 77);
    if (!not_run) {
        g_assert_cmpint(status, ==, 200);
        g_assert_cmpmem(body, length, "whole answer", 12);
    }
    pthread_mutex_lock(&fixture->lock);
    fixture->once_stored += !not_run;
    fixture->once_released += not_run;
    unlock_and_notify(fixture);
    struct once_job *job = g_new0(struct once_job, 1);
    *job = (struct once_job){
        .fixture = fixture, .handle_finished = done, .data = data};
    ch_pool_submit(fixture->node.pool, run_once_job, job);
}

struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    struct ch_config *config = manager->fixture->config;
    return config == NULL ? NULL : ch_config_ref(config);
}

bool
ch_config_manager_is_behind(struct ch_config_manager *manager)
{
    (void)manager;
    return false;
}

/* ---- fake upstreams ---- */

static void
end_call(struct fake_call *call, enum ch_code code, bool may_have_run)
{
    struct ch_call_result end = {
        .code = code,
        .status = 200,
        .may_have_run = may_have_run,
    };
    call->handlers.on_end(call->data, &end);
    g_free(call);
}

static void
send_events(struct fake_call *call, uint32_t upto)
{
    call->handlers.on_response(call->data, 200, "text/event-stream");
    for (uint32_t i = call->resume_from; i < upto; i++) {
        char event[64];
        (void)snprintf(event, sizeof(event), "data: {\"n\":%u}\n\n", i);
        call->handlers.on_data(call->data, event, strlen(event));
    }
}

static void
send_plain_response(struct fake_call *call, const char *bytes)
{
    call->handlers.on_response(call->data, 200, "application/json");
    call->handlers.on_data(call->data, bytes, strlen(bytes));
}

static void
flood(struct fake_call *call)
{
    const size_t length = 65536;
    char *event = g_strnfill(length, 'x');
    bool cancelled = false;
    call->handlers.on_response(call->data, 200, "text/event-stream");
    for (unsigned i = 0; i < 100000 && !cancelled; i++) {
        call->handlers.on_data(call->data, event, length);
        pthread_mutex_lock(&call->fixture->lock);
        cancelled = call->cancelled;
        pthread_mutex_unlock(&call->fixture->lock);
    }
    g_free(event);
    g_assert_true(cancelled);
}

/* Sends the start of a stream and leaves the rest to the test. */
static void
pause_call(struct fake_call *call)
{
    struct fixture *fixture = call->fixture;
    send_events(call, 2);
    pthread_mutex_lock(&fixture->lock);
    fixture->paused[fixture->paused_count++] = call;
    unlock_and_notify(fixture);
}

static void
run_call(void *data)
{
    struct fake_call *call = data;
    if (call->action == PAUSED && call->resume_from == 0) {
        pause_call(call);
        return;
    }
    switch (call->action) {
    case PAUSED:
    case COMPLETES:
        if (call->stream) {
            send_events(call, EVENT_COUNT);
        }
        else {
            send_plain_response(call, "whole answer");
        }
        end_call(call, CH_OK, true);
        return;
    case INTERRUPTED:
        if (call->stream) {
            send_events(call, 2);
        }
        else {
            send_plain_response(call, "half an");
        }
        end_call(call, CH_UPSTREAM_CUT, true);
        return;
    case SERVER_ERROR:
        call->handlers.on_response(call->data, 500, "text/plain");
        call->handlers.on_data(call->data, "the upstream's word", 19);
        end_call(call, CH_OK, true);
        return;
    case INTERRUPTED_EARLY:
        end_call(call, CH_UPSTREAM_CUT, true);
        return;
    case NOT_CONNECTED:
        end_call(call, CH_UPSTREAM_CONNECT, false);
        return;
    case REFUSED_NOT_RUN:
        end_call(call, CH_UPSTREAM_REFUSED, false);
        return;
    case CROSSED:
        end_call(call, CH_UPSTREAM_CROSSED, true);
        return;
    case FLOODING:
        flood(call);
        end_call(call, CH_CANCELLED, true);
        return;
    default:
        end_call(call, call->cancelled ? CH_CANCELLED : CH_UPSTREAM_STALLED,
                 true);
        return;
    }
}

static uint64_t
upstream_call(struct ch_upstream *upstream, const struct ch_call *call,
              const struct ch_call_handlers *handlers, void *data)
{
    struct fixture *fixture = (struct fixture *)upstream;
    struct fake_call *new_call = g_new0(struct fake_call, 1);
    new_call->fixture = fixture;
    new_call->handlers = *handlers;
    new_call->data = data;
    new_call->stream = call->stream;
    new_call->resume_from = call->resume_from;
    pthread_mutex_lock(&fixture->lock);
    new_call->action =
        fixture->upstream_actions[MIN(fixture->calls, MAX_ACTIONS - 1)];
    fixture->calls++;
    fixture->fresh_calls += !call->may_repeat || call->fresh_connection;
    fixture->resumed_from = call->resume_from;
    fixture->last_call = new_call;
    bool runs = new_call->action != SILENT;
    unlock_and_notify(fixture);
    if (runs) {
        ch_pool_submit(fixture->node.pool, run_call, new_call);
    }
    return 1;
}

static void
upstream_cancel(struct ch_upstream *upstream, uint64_t handle)
{
    struct fixture *fixture = (struct fixture *)upstream;
    (void)handle;
    pthread_mutex_lock(&fixture->lock);
    struct fake_call *call = fixture->last_call;
    call->cancelled = true;
    fixture->cancelled++;
    bool silent = call->action == SILENT;
    unlock_and_notify(fixture);
    if (silent) {
        ch_pool_submit(fixture->node.pool, run_call, call);
    }
}

/* Lets a silent call complete. */
static void
complete_silent_call(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->lock);
    fixture->last_call->action = COMPLETES;
    struct fake_call *call = fixture->last_call;
    pthread_mutex_unlock(&fixture->lock);
    ch_pool_submit(fixture->node.pool, run_call, call);
}

/* ---- fixture ---- */

static void
discard_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

static const char declaration_text[] = "[model m01]\nmemory-mb = 1\n"
                                       "[service orders]\n"
                                       "[class advice]\nmodels = m01\n"
                                       "first-token-ms = 400\n"
                                       "callers = cardiff\n"
                                       "[class order]\nservices = orders\n"
                                       "answer-ms = 900\n"
                                       "idempotent = false\n"
                                       "callers = llanelli\n";

struct report_job {
    const struct fixture *fixture;
    void (*done)(void *data, enum ch_code code,
                 struct ch_engine_report *report);
    void *data;
};

static void
run_report_job(void *data)
{
    struct report_job *job = data;
    struct ch_engine_report *report = NULL;
    if (job->fixture->reported_start != 0) {
        report = g_new0(struct ch_engine_report, 1);
        report->boot_id = g_strdup("");
        report->started = job->fixture->reported_start;
    }
    job->done(job->data, report == NULL ? CH_UPSTREAM_CONNECT : CH_OK, report);
    g_free(job);
}

/* The upstream's report, or none. */
static void
upstream_report(struct ch_upstream *upstream,
                void (*done)(void *data, enum ch_code code,
                             struct ch_engine_report *report),
                void *data)
{
    struct fixture *fixture = (struct fixture *)upstream;
    struct report_job *job = g_new(struct report_job, 1);
    *job = (struct report_job){fixture, done, data};
    g_atomic_int_inc(&fixture->process_reports);
    ch_pool_submit(fixture->node.pool, run_report_job, job);
}

static struct fixture *
fixture_new(void)
{
    static const struct ch_upstream_ops ops = {
        .call = upstream_call,
        .cancel = upstream_cancel,
        .fetch_report = upstream_report,
    };
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct ch_error error = {.code = CH_OK};
    fixture->upstream.ops = &ops;
    fixture->granted_version = "v1";
    ch_client_init(&fixture->client, "n1");
    fixture->client.log_write = discard_log;
    fixture->client.metrics = ch_metrics_new();
    fixture->settings = (struct ch_settings){
        .name = (char *)"n1",
        .callers = (char *)"127.0.0.1:0",
        .workers = 2,
        .max_body_bytes = 4096,
        .max_header_bytes = 2048,
        .max_connections = 64,
        .retry_share = 0.1,
        .connect_ms = 1000,
        .first_byte_ms = 1000,
        .stall_ms = 1000,
    };
    fixture->fake_router.fixture = fixture;
    fixture->once.fixture = fixture;
    fixture->config_manager.fixture = fixture;
    pthread_mutex_init(&fixture->lock, NULL);
    pthread_cond_init(&fixture->changed, NULL);
    struct ch_declaration *declaration =
        ch_declaration_parse(declaration_text, "test", &error);
    g_assert_nonnull(declaration);
    fixture->config = ch_config_new(1, "t", "a", declaration);
    fixture->once_result = (struct ch_once_result){
        .state = CH_ONCE_CREATED,
        .attempt = 77,
    };
    return fixture;
}

/* Opens the listener; the actions of the fakes must be set before. */
static void
fixture_start(struct fixture *fixture)
{
    struct ch_error error = {.code = CH_OK};
    struct ch_node *node = &fixture->node;
    node->client = &fixture->client;
    node->settings = &fixture->settings;
    node->incarnation = 1;
    node->pool = ch_pool_new(4);
    node->timers = ch_timers_new(node->pool);
    fixture->fake_router.router.ops = &router_ops;
    node->router = &fixture->fake_router.router;
    node->once = &fixture->once;
    node->config = &fixture->config_manager;
    node->frontend = ch_frontend_new(node, &error);
    g_assert_cmpstr(error.message, ==, "");
    fixture->port = ch_listener_get_port(node->frontend->listener);
}

/* Stops as a node does. The threads are joined, so the counters may be read
 * without the lock. */
static void
fixture_stop(struct fixture *fixture)
{
    ch_frontend_stop(fixture->node.frontend);
    ch_timers_stop(fixture->node.timers);
    ch_pool_free(fixture->node.pool);
    fixture->node.pool = NULL;
}

/* Checks that each grant was released once, which must hold after every
 * exchange, and frees the fixture. */
static void
fixture_free(struct fixture *fixture)
{
    if (fixture->node.pool != NULL) {
        fixture_stop(fixture);
    }
    ch_timers_free(fixture->node.timers);
    ch_frontend_free(fixture->node.frontend);
    g_assert_cmpuint(fixture->granted, ==, fixture->released);
    if (fixture->config != NULL) {
        ch_config_unref(fixture->config);
    }
    ch_metrics_free(fixture->client.metrics);
    pthread_mutex_destroy(&fixture->lock);
    pthread_cond_destroy(&fixture->changed);
    g_free(fixture);
}

/* ---- the caller ---- */

static int
connect_to_node(const struct fixture *fixture)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)fixture->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct timeval timeout = {.tv_sec = TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

/* Sends a request; each header line must end in CR LF. */
static int
send_request(const struct fixture *fixture, const char *line,
             const char *headers, const char *body)
{
    int fd = connect_to_node(fixture);
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: n1\r\n%s"
                                 "Connection: close\r\n"
                                 "Content-Length: %zu\r\n\r\n%s",
                                 line, headers, strlen(body), body);
    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
    g_free(text);
    return fd;
}

/* Returns the whole response as text, with the chunk sizes of a chunked body;
 * closes the connection. */
static char *
read_response(int fd)
{
    GString *text = g_string_new(NULL);
    char bytes[4096];
    ssize_t got = 0;
    while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(text, bytes, got);
    }
    close(fd);
    return g_string_free(text, FALSE);
}

static const char plain_call[] = "{\"model\":\"m01\",\"prompt\":\"x\"}";
static const char stream_call[] =
    "{\"model\":\"m01\",\"prompt\":\"x\",\"stream\":true}";

enum request_kind {
    PLAIN,
    STREAM,
    ORDER,            /* non-idempotent, with a key */
    ORDER_WITHOUT_KEY /* the same without a key */
};

static int
send_request_kind(const struct fixture *fixture, enum request_kind kind,
                  const char *headers)
{
    char *all = NULL;
    int fd = -1;
    switch (kind) {
    case PLAIN:
    case STREAM:
        all = g_strconcat("Chestnuthitch-Caller: cardiff\r\n", headers, NULL);
        fd = send_request(fixture, "POST /v1/completions", all,
                          kind == STREAM ? stream_call : plain_call);
        break;
    default:
        all = g_strconcat("Chestnuthitch-Caller: llanelli\r\n",
                          kind == ORDER ? "Idempotency-Key: k1\r\n" : "",
                          headers, NULL);
        fd = send_request(fixture, "POST /services/orders/cut", all, "jacket");
        break;
    }
    g_free(all);
    return fd;
}

/* Checks that the response has every text of the list, which is separated by
 * '|', and none of the texts that begin with '!'. */
static void
check_texts(const char *response, const char *list)
{
    char **texts = g_strsplit(list, "|", -1);
    for (size_t i = 0; texts[i] != NULL; i++) {
        bool absent = texts[i][0] == '!';
        const char *text = texts[i] + absent;
        if ((strstr(response, text) != NULL) == absent) {
            g_test_message("'%s' %s in: %s", text, absent ? "is" : "is not",
                           response);
            g_test_fail();
        }
    }
    g_strfreev(texts);
}

/* The same for a response of the node's own interface, which has a request
 * ID. */
static void
check_response(const char *response, const char *list)
{
    check_texts(response, list);
    g_assert_nonnull(strstr(response, "Chestnuthitch-Request-Id: "));
}

/* ---- exchanges that end without further action of the caller ---- */

struct exchange_case {
    const char *name;
    enum request_kind kind;
    enum router_action router[MAX_ACTIONS];
    enum upstream_action upstream[MAX_ACTIONS];
    unsigned calls;
    unsigned once_stored;
    unsigned once_released;
    const char *response;
};

#define RAN "Chestnuthitch-Outcome: ran"
#define NOT_RUN "Chestnuthitch-Outcome: not-run"
#define UNKNOWN "Chestnuthitch-Outcome: unknown"

#define ROUTER(...)                                                           \
    {                                                                         \
        __VA_ARGS__                                                           \
    }
#define UPSTREAMS(...)                                                        \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

static const struct exchange_case exchange_cases[] = {
    {"plain", PLAIN, ROUTER(GRANTS), UPSTREAMS(COMPLETES), 1, 0, 0,
     "HTTP/1.1 200|" RAN "|whole answer"},
    {"stream", STREAM, ROUTER(GRANTS), UPSTREAMS(COMPLETES), 1, 0, 0,
     "HTTP/1.1 200|" RAN "|text/event-stream|{\"n\":0}|{\"n\":4}|[DONE]"},
    {"refused by the home", PLAIN, ROUTER(REFUSES), UPSTREAMS(COMPLETES), 0, 0,
     0,
     "HTTP/1.1 503|" NOT_RUN "|Retry-After: 2|Chestnuthitch-Code: 201|"
     "\"retry_after_ms\":1500"},
    {"no connection, then elsewhere", PLAIN, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(NOT_CONNECTED, COMPLETES), 2, 0, 0,
     "HTTP/1.1 200|whole answer"},
    {"no connection, then refused", PLAIN, ROUTER(GRANTS, REFUSES),
     UPSTREAMS(NOT_CONNECTED), 1, 0, 0, "HTTP/1.1 503|" NOT_RUN},
    {"cut, then refused: it may have run", PLAIN, ROUTER(GRANTS, REFUSES),
     UPSTREAMS(INTERRUPTED), 1, 0, 0, "HTTP/1.1 503|" UNKNOWN "|!half an"},
    {"cut, then no connection: it may have run", PLAIN,
     ROUTER(GRANTS, GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, NOT_CONNECTED, NOT_CONNECTED), 3, 0, 0,
     "HTTP/1.1 502|" UNKNOWN "|!half an"},
    {"cut, then elsewhere from the start", PLAIN, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, COMPLETES), 2, 0, 0,
     "HTTP/1.1 200|whole answer|!half an"},
    {"crossed, then elsewhere", PLAIN, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(CROSSED, COMPLETES), 2, 0, 0, "HTTP/1.1 200|whole answer"},
    {"stream cut and resumed", STREAM, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, COMPLETES), 2, 0, 0,
     "HTTP/1.1 200|{\"n\":0}|{\"n\":1}|{\"n\":2}|{\"n\":4}|[DONE]|!error"},
    {"stream cut for good", STREAM, ROUTER(GRANTS, REFUSES),
     UPSTREAMS(INTERRUPTED), 1, 0, 0,
     "HTTP/1.1 200|{\"n\":1}|!{\"n\":2}|!DONE|\"outcome\":\"unknown\""},
    {"order", ORDER, ROUTER(GRANTS), UPSTREAMS(COMPLETES), 1, 1, 0,
     "HTTP/1.1 200|" RAN "|whole answer"},
    {"order refused by the home", ORDER, ROUTER(REFUSES), UPSTREAMS(COMPLETES),
     0, 0, 1, "HTTP/1.1 503|" NOT_RUN},
    {"order cut: never again", ORDER, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, COMPLETES), 1, 0, 0,
     "HTTP/1.1 502|" UNKNOWN "|!half an"},
    {"order crossed: never again", ORDER, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(CROSSED, COMPLETES), 1, 0, 0, "HTTP/1.1 502|" UNKNOWN},
    {"order not connected, then elsewhere", ORDER, ROUTER(GRANTS, GRANTS),
     UPSTREAMS(NOT_CONNECTED, COMPLETES), 2, 1, 0, "HTTP/1.1 200|" RAN},
    {"order never connected: the key is free", ORDER,
     ROUTER(GRANTS, GRANTS, GRANTS),
     UPSTREAMS(NOT_CONNECTED, REFUSED_NOT_RUN, NOT_CONNECTED), 3, 0, 1,
     "HTTP/1.1 502|" NOT_RUN},
    {"order without a key", ORDER_WITHOUT_KEY, ROUTER(GRANTS),
     UPSTREAMS(COMPLETES), 1, 0, 0, "HTTP/1.1 200|" RAN},
    {"order without a key: one dispatch", ORDER_WITHOUT_KEY,
     ROUTER(GRANTS, GRANTS), UPSTREAMS(NOT_CONNECTED, COMPLETES), 1, 0, 0,
     "HTTP/1.1 502|" NOT_RUN},
};

/* Sends one request while the router and the upstreams act as the row states.
 * The caller must get the complete response or an error with the true outcome,
 * and a request that may have run and must not run twice must not be
 * dispatched again. */
static void
test_exchange(gconstpointer data)
{
    const struct exchange_case *row = data;
    struct fixture *fixture = fixture_new();
    memcpy(fixture->router_actions, row->router, sizeof(row->router));
    memcpy(fixture->upstream_actions, row->upstream, sizeof(row->upstream));
    fixture_start(fixture);
    char *response = read_response(send_request_kind(fixture, row->kind, ""));
    check_response(response, row->response);
    g_free(response);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->calls, ==, row->calls);
    g_assert_cmpuint(fixture->once_stored, ==, row->once_stored);
    g_assert_cmpuint(fixture->once_released, ==, row->once_released);
    /* All calls use a fresh connection except the first call of an idempotent
     * request. */
    bool repeats = row->kind == PLAIN || row->kind == STREAM;
    g_assert_cmpuint(fixture->fresh_calls, ==,
                     row->calls - (repeats && row->calls > 0));
    if (row->kind == STREAM && row->calls == 2) {
        g_assert_cmpuint(fixture->resumed_from, ==, 2);
        g_assert_cmpuint(fixture->excluded_count, ==, 1);
    }
    fixture_free(fixture);
}

/* ---- streams that have started, of classes chosen by host and path ---- */

static const char routed_text[] =
    "[class advice]\nhost = h\npath = /r/\nshares = models:1\n"
    "first-token-ms = 400\ngap-ms = 300\ntime-limit-ms = 20000\ntries = 2\n"
    "stream = true\nresumable = true\nidempotent = true\n"
    "[model m01]\nmemory-mb = 1\nservices = models\n[service models]\n";

static bool
read_headers(const struct ch_http_header *headers, size_t count,
             struct ch_request_input *input, struct ch_fault *fault)
{
    (void)fault;
    for (size_t i = 0; i < count; i++) {
        if (g_ascii_strcasecmp(headers[i].name, "Last-Event-Id") == 0) {
            input->resume_id = headers[i].value;
        }
        if (g_ascii_strcasecmp(headers[i].name, "Resumes") == 0) {
            input->resumes = headers[i].value;
        }
    }
    input->host = "h";
    input->request_id = "r1";
    input->model = "m01";
    input->prompt_tokens = 10;
    input->output_tokens = 10;
    return true;
}

/* Applies a configuration whose class is resumable and idempotent or
 * neither. */
static void
set_idempotent(struct fixture *fixture, const char *value)
{
    struct ch_error error = {0};
    g_auto(GStrv) parts = g_strsplit(routed_text,
                                     "resumable = true\n"
                                     "idempotent = true",
                                     2);
    g_autofree char *text =
        g_strdup_printf("%sresumable = %s\nidempotent = %s%s", parts[0], value,
                        value, parts[1]);
    ch_config_unref(fixture->config);
    fixture->config =
        ch_config_new(1, "t", "a", ch_declaration_parse(text, "test", &error));
    g_assert_cmpstr(error.message, ==, "");
}

/* Creates a fixture whose classes are chosen by host and path. */
static struct fixture *
routed_fixture(void)
{
    static const struct ch_dialect dialect = {
        .request_id_header = "Id",
        .read_headers = read_headers,
    };
    struct fixture *fixture = fixture_new();
    struct ch_error error = {.code = CH_OK};
    ch_config_unref(fixture->config);
    fixture->config = ch_config_new(
        1, "t", "a", ch_declaration_parse(routed_text, "test", &error));
    g_assert_cmpstr(error.message, ==, "");
    fixture->allows_same_attempt = true;
    fixture->settings.retry_slack = 54;
    fixture->node.dialect = &dialect;
    return fixture;
}

/* The retries that are left in the budget of the service's requests. */
static double
retries_left(struct fixture *fixture)
{
    struct ch_frontend *frontend = fixture->node.frontend;
    pthread_mutex_lock(&frontend->lock);
    double left =
        ch_frontend_get_retry_budget(frontend, g_quark_from_string("models"))
            ->level;
    pthread_mutex_unlock(&frontend->lock);
    return left;
}

enum {
    INITIAL_RETRIES = 3, /* of a node that has had few requests */
};

static const struct {
    const char *name;
    enum router_action router[MAX_ACTIONS];
    enum upstream_action upstream[MAX_ACTIONS];
    unsigned calls;
    bool complete;
    bool bound_to_upstream; /* the last request required the upstream that
                               refused it */
} started_stream_cases[] = {
    {"interrupted, then refused as full, then whole",
     ROUTER(GRANTS, GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, REFUSED_NOT_RUN, COMPLETES), 3, true, true},
    {"interrupted, refused twice, then whole",
     ROUTER(GRANTS, GRANTS, GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, REFUSED_NOT_RUN, REFUSED_NOT_RUN, COMPLETES), 4,
     true, true},
    {"interrupted, no upstream at that moment, then whole",
     ROUTER(GRANTS, REFUSES, GRANTS), UPSTREAMS(INTERRUPTED, COMPLETES), 2,
     true, false},
    {"interrupted twice: no third upstream", ROUTER(GRANTS, GRANTS, GRANTS),
     UPSTREAMS(INTERRUPTED, INTERRUPTED, COMPLETES), 2, false, false},
};

/*
 * Guards against a stream that is ended early although its caller would have
 * waited for seconds: its engine fell silent and was given up, and the next
 * engine was full at that moment. The node must ask again for the engine that
 * refused the request, which has not run it.
 */
static void
test_started_stream(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(started_stream_cases); i++) {
        struct fixture *fixture = routed_fixture();
        g_test_message("%s", started_stream_cases[i].name);
        memcpy(fixture->router_actions, started_stream_cases[i].router,
               sizeof(fixture->router_actions));
        memcpy(fixture->upstream_actions, started_stream_cases[i].upstream,
               sizeof(fixture->upstream_actions));
        fixture_start(fixture);
        char *response =
            read_response(send_request(fixture, "POST /r/1", "", ""));
        bool complete = strstr(response, "{\"n\":4}") != NULL &&
                        g_str_has_suffix(response, "\r\n0\r\n\r\n");
        g_test_message("%s", response);
        g_assert_cmpint(complete, ==, started_stream_cases[i].complete);
        g_free(response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->calls, ==, started_stream_cases[i].calls);
        g_assert_cmpint(fixture->last_required != 0, ==,
                        started_stream_cases[i].bound_to_upstream);
        g_assert_cmpuint(fixture->last_required_version, ==,
                         ch_version_get_id("v1"));
        g_assert_true(fixture->stream_had_started);
        fixture_free(fixture);
    }
}

/* Guards against a stream that goes on although the version of the software
 * that began it is not known. */
static void
test_stream_of_unknown_version(void)
{
    struct fixture *fixture = routed_fixture();
    fixture->granted_version = NULL;
    fixture->upstream_actions[0] = INTERRUPTED;
    fixture->upstream_actions[1] = COMPLETES;
    fixture_start(fixture);
    char *response = read_response(send_request(fixture, "POST /r/1", "", ""));
    g_assert_null(strstr(response, "{\"n\":4}"));
    g_free(response);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->calls, ==, 1);
    fixture_free(fixture);
}

static const struct {
    const char *name;
    uint64_t reported_start;
    int reports;
    bool may_have_restarted;
    bool goes_on;
} process_cases[] = {
    {"no connection was lost", 9, 0, false, true},
    {"the same process answers", 3, 1, true, true},
    {"another process has its name", 9, 2, true, false},
    {"no report", 0, 2, true, false},
};

/* Guards against a stream that goes on at an upstream which has started again
 * under its name, with other software. */
static void
test_process_checked(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(process_cases); i++) {
        struct fixture *fixture = routed_fixture();
        const struct ch_stream_origin origin = {ch_hash_string("models"),
                                                ch_version_get_id("v1")};
        struct ch_stream_manager streams = {
            .node = &fixture->node,
            .result = {.finding = CH_STREAM_SOLE, .origin = origin},
        };
        fixture->node.streams = &streams;
        fixture->may_have_restarted = process_cases[i].may_have_restarted;
        fixture->reported_start = process_cases[i].reported_start;
        g_test_message("%s", process_cases[i].name);
        fixture_start(fixture);
        char *response = read_response(
            send_request(fixture, "POST /r/1", "Last-Event-Id: 2\r\n", ""));
        fixture_stop(fixture);
        g_assert_cmpint(fixture->process_reports, ==,
                        process_cases[i].reports);
        g_assert_cmpint(fixture->calls > 0, ==, process_cases[i].goes_on);
        g_assert_cmpint(strstr(response, "503") == NULL, ==,
                        process_cases[i].goes_on);
        g_free(response);
        fixture_free(fixture);
    }
}

/* Guards against a stream of which no other node knows at which version it
 * began. */
static void
test_stream_record(void)
{
    struct fixture *fixture = routed_fixture();
    struct ch_stream_manager streams = {.node = &fixture->node};
    fixture->node.streams = &streams;
    fixture_start(fixture);
    g_free(read_response(send_request(fixture, "POST /r/1", "", "")));
    fixture_stop(fixture);
    g_assert_cmpint(streams.asked, ==, 0);
    g_assert_cmpint(streams.written, ==, 1);
    g_assert_cmpuint(streams.last.key, ==, ch_stream_get_key("", "r1"));
    g_assert_cmpuint(streams.last.origin.version, ==, ch_version_get_id("v1"));
    g_assert_cmpuint(streams.last.origin.service, ==,
                     ch_hash_string("models"));
    fixture_free(fixture);
}

static const struct {
    const char *stored;
    unsigned calls;
} stored_cases[] = {
    {"v1", 1},
    {"v2", 0},
};

/* Guards against a stream that begins at another version than the key-value
 * store names for it, from a call that failed before its first event. */
static void
test_stored_origin(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(stored_cases); i++) {
        struct fixture *fixture = routed_fixture();
        uint64_t version = ch_version_get_id(stored_cases[i].stored);
        struct ch_stream_manager streams = {
            .node = &fixture->node,
            .stored = {ch_hash_string("models"), version},
        };
        fixture->node.streams = &streams;
        fixture->allows_same_attempt = true;
        fixture_start(fixture);
        char *response =
            read_response(send_request(fixture, "POST /r/1", "", ""));
        fixture_stop(fixture);
        g_test_message("%s: %s", stored_cases[i].stored, response);
        g_assert_cmpuint(fixture->calls, ==, stored_cases[i].calls);
        g_assert_cmpint(strstr(response, "503") == NULL, ==,
                        stored_cases[i].calls > 0);
        if (stored_cases[i].calls == 0) {
            g_assert_cmpuint(fixture->last_required_version, ==, version);
        }
        g_free(response);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    const char *headers;
    enum ch_stream_finding finding;
    const char *service;
    const char *version; /* NULL: the record says that it is not known */
    const char *code;    /* "": the stream goes on */
} taken_up_cases[] = {
    {"a record names the version", "Last-Event-Id: 2\r\nResumes: r0\r\n",
     CH_STREAM_FOUND, "models", "v1", ""},
    {"the only version for long", "Last-Event-Id: 2\r\n", CH_STREAM_SOLE,
     "models", "v1", ""},
    {"several versions, no record", "Last-Event-Id: 2\r\nResumes: r0\r\n",
     CH_STREAM_SEVERAL, "models", "v1", "212"},
    {"records that differ", "Last-Event-Id: 2\r\nResumes: r0\r\n",
     CH_STREAM_AMBIGUOUS, "models", "v1", "212"},
    {"began at an unknown version", "Last-Event-Id: 2\r\nResumes: r0\r\n",
     CH_STREAM_FOUND, "models", NULL, "212"},
    {"began at another service", "Last-Event-Id: 2\r\nResumes: r0\r\n",
     CH_STREAM_FOUND, "orders", "v1", "212"},
};

/* Guards against a caller's stream that goes on at another version or service
 * than the one that began it, against one that is held while it may go on
 * nowhere, and against one that is refused as late like a new request. */
static void
test_taken_up(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(taken_up_cases); i++) {
        struct fixture *fixture = routed_fixture();
        const struct ch_stream_origin origin = {
            ch_hash_string(taken_up_cases[i].service),
            ch_version_get_id(taken_up_cases[i].version)};
        struct ch_stream_manager streams = {
            .node = &fixture->node,
            .result = {.finding = taken_up_cases[i].finding, .origin = origin},
        };
        if (taken_up_cases[i].finding == CH_STREAM_FOUND) {
            streams.result.record = (struct ch_stream_record){
                .key = ch_stream_get_key("", "r0"), .origin = origin};
        }
        fixture->node.streams = &streams;
        g_test_message("%s", taken_up_cases[i].name);
        fixture_start(fixture);
        char *response = read_response(
            send_request(fixture, "POST /r/1", taken_up_cases[i].headers, ""));
        fixture_stop(fixture);
        bool goes_on = taken_up_cases[i].code[0] == '\0';
        g_assert_cmpint(streams.asked, ==, 1);
        g_assert_cmpint(fixture->router_requests > 0, ==, goes_on);
        if (goes_on) {
            g_assert_cmpuint(fixture->last_required_version, ==,
                             ch_version_get_id("v1"));
            g_assert_cmpint(streams.written, ==,
                            taken_up_cases[i].finding == CH_STREAM_FOUND);
            g_assert_true(fixture->stream_had_started);
        }
        else {
            g_assert_nonnull(strstr(response, "503"));
            g_assert_nonnull(strstr(response, taken_up_cases[i].code));
            g_assert_nonnull(strstr(response, "Retry-After"));
        }
        g_free(response);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    const char *idempotent;
    enum upstream_action upstream[MAX_ACTIONS];
    unsigned calls;
    bool complete;
} refused_cases[] = {
    {"refused twice, then whole", "true",
     UPSTREAMS(REFUSED_NOT_RUN, REFUSED_NOT_RUN, COMPLETES), 3, true},
    {"refused three times: no fourth upstream", "true",
     UPSTREAMS(REFUSED_NOT_RUN, REFUSED_NOT_RUN, REFUSED_NOT_RUN, COMPLETES),
     3, false},
    {"refused, then interrupted, then whole", "true",
     UPSTREAMS(REFUSED_NOT_RUN, INTERRUPTED, COMPLETES), 3, true},
    {"given up before it began, refused, then whole", "true",
     UPSTREAMS(CROSSED, REFUSED_NOT_RUN, COMPLETES), 3, true},
    {"refused, then interrupted twice: it ran on two", "true",
     UPSTREAMS(REFUSED_NOT_RUN, INTERRUPTED, INTERRUPTED, COMPLETES), 3,
     false},
    {"not to run twice: refused twice, then whole", "false",
     UPSTREAMS(REFUSED_NOT_RUN, REFUSED_NOT_RUN, COMPLETES), 3, true},
    {"not to run twice: refused, then cut", "false",
     UPSTREAMS(REFUSED_NOT_RUN, INTERRUPTED, COMPLETES), 2, false},
};

/*
 * Guards against callers that are refused while engines have free slots: an
 * engine that had been filled by other nodes meanwhile, or had just unloaded
 * the model, used up an attempt of the class although it ran nothing.
 */
static void
test_refused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refused_cases); i++) {
        struct fixture *fixture = routed_fixture();
        g_test_message("%s", refused_cases[i].name);
        set_idempotent(fixture, refused_cases[i].idempotent);
        memcpy(fixture->upstream_actions, refused_cases[i].upstream,
               sizeof(fixture->upstream_actions));
        fixture_start(fixture);
        char *response =
            read_response(send_request(fixture, "POST /r/1", "", ""));
        bool complete = strstr(response, "{\"n\":4}") != NULL &&
                        g_str_has_suffix(response, "\r\n0\r\n\r\n");
        g_test_message("%s", response);
        g_assert_cmpint(complete, ==, refused_cases[i].complete);
        g_free(response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->calls, ==, refused_cases[i].calls);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    const char *idempotent;
    enum upstream_action upstream[MAX_ACTIONS];
    unsigned calls;
    const char *response; /* text in the response */
} upstream_failure_cases[] = {
    {"fails at one, another answers", "true",
     UPSTREAMS(SERVER_ERROR, COMPLETES), 2, "{\"n\":4}"},
    {"fails at both upstreams", "true", UPSTREAMS(SERVER_ERROR, SERVER_ERROR),
     2, "HTTP/1.1 500"},
    {"may not run twice", "false", UPSTREAMS(SERVER_ERROR, COMPLETES), 1,
     "HTTP/1.1 500"},
};

/*
 * Guards against an upstream's own failure that is reported as a failure of
 * the node: a request that fails at every upstream was tried at a second one,
 * whose response was replaced by a 502. The response to the last attempt must
 * reach the caller unchanged.
 */
static void
test_upstream_failure(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(upstream_failure_cases); i++) {
        struct fixture *fixture = routed_fixture();
        g_test_message("%s", upstream_failure_cases[i].name);
        set_idempotent(fixture, upstream_failure_cases[i].idempotent);
        memcpy(fixture->upstream_actions, upstream_failure_cases[i].upstream,
               sizeof(fixture->upstream_actions));
        fixture_start(fixture);
        char *response =
            read_response(send_request(fixture, "POST /r/1", "", ""));
        g_test_message("%s", response);
        g_assert_nonnull(strstr(response, upstream_failure_cases[i].response));
        g_assert_cmpint(strstr(response, "HTTP/1.1 500") != NULL, ==,
                        strstr(response, "the upstream's word") != NULL);
        g_free(response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->calls, ==, upstream_failure_cases[i].calls);
        fixture_free(fixture);
    }
}

/*
 * Guards against an engine that continues a stream whose caller has
 * disconnected: a stream of a non-idempotent class was left to run to its end,
 * like an order, and took a slot that others waited for.
 */
static void
test_caller_disconnects_from_stream(void)
{
    struct fixture *fixture = routed_fixture();
    set_idempotent(fixture, "false");
    fixture->upstream_actions[0] = SILENT;
    fixture_start(fixture);
    int fd = send_request(fixture, "POST /r/1", "", "");
    wait_for_count(fixture, &fixture->calls, 1);
    shutdown(fd, SHUT_RDWR);
    wait_for_count(fixture, &fixture->cancelled, 1);
    close(fd);
    fixture_free(fixture);
}

static const struct {
    const char *name;
    int allowed; /* number of checks after which the request is barred */
    enum upstream_action upstream[MAX_ACTIONS];
    unsigned router_requests;
    unsigned calls;
    const char *response; /* texts in the response */
} barred_cases[] = {
    {"barred before it arrived", 0, UPSTREAMS(COMPLETES), 0, 0,
     "HTTP/1.1 503 Service Unavailable|Retry-After: 60.00"},
    {"barred while it waited for an upstream", 1, UPSTREAMS(COMPLETES), 1, 0,
     "HTTP/1.1 503 Service Unavailable|Retry-After: 60.00"},
    {"barred when its first call failed", 2, UPSTREAMS(CROSSED, COMPLETES), 1,
     1, "HTTP/1.1 502 Bad Gateway"},
    {"barred before its second call", 3, UPSTREAMS(CROSSED, COMPLETES), 1, 1,
     "HTTP/1.1 502 Bad Gateway|Retry-After: 60.00"},
    {"barred while its second call waited", 4, UPSTREAMS(CROSSED, COMPLETES),
     2, 1, "HTTP/1.1 502 Bad Gateway|Retry-After: 60.00"},
    {"not barred", NEVER_BARRED, UPSTREAMS(CROSSED, COMPLETES), 2, 2,
     "{\"n\":4}"},
};

/*
 * Guards against a request that crashes upstreams and still reaches another
 * upstream because it was let through before it was barred: by a queue, or for
 * a retry. Its caller must be told at once, with outcome "not run" only when
 * no upstream had the request.
 */
static void
test_barred(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(barred_cases); i++) {
        struct fixture *fixture = routed_fixture();
        struct ch_crash_guard guard = {.allowed_checks =
                                           barred_cases[i].allowed};
        fixture->node.crash_guard = &guard;
        g_test_message("%s", barred_cases[i].name);
        memcpy(fixture->upstream_actions, barred_cases[i].upstream,
               sizeof(fixture->upstream_actions));
        fixture_start(fixture);
        char *response =
            read_response(send_request(fixture, "POST /r/1", "", ""));
        check_texts(response, barred_cases[i].response);
        g_free(response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->router_requests, ==,
                         barred_cases[i].router_requests);
        g_assert_cmpuint(fixture->calls, ==, barred_cases[i].calls);
        g_assert_cmpuint(fixture->released, ==, fixture->granted);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    enum router_action router;
    int allowed;
    unsigned calls;
    unsigned cancelled;
    unsigned withdrawn;
    const char *response; /* texts in the response */
} barred_later_cases[] = {
    {"waits for an upstream", KEEPS_WAITING, 1, 0, 0, 1,
     "HTTP/1.1 503 Service Unavailable|\"code\":208"},
    {"waits at an upstream", GRANTS, 2, 1, 1, 0,
     "HTTP/1.1 502 Bad Gateway|\"code\":208"},
    {"not barred", GRANTS, NEVER_BARRED, 1, 0, 0, "{\"n\":4}"},
};

/* Guards against one more crash by a request that waits at an upstream, or for
 * an upstream, at the time when it is barred. */
static void
test_barred_later(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(barred_later_cases); i++) {
        struct fixture *fixture = routed_fixture();
        struct ch_crash_guard guard = {.allowed_checks =
                                           barred_later_cases[i].allowed};
        fixture->node.crash_guard = &guard;
        fixture->router_actions[0] = barred_later_cases[i].router;
        fixture->upstream_actions[0] = SILENT;
        g_test_message("%s", barred_later_cases[i].name);
        fixture_start(fixture);
        int fd = send_request(fixture, "POST /r/1", "", "");
        wait_for_count(fixture, &fixture->router_requests, 1);
        wait_for_count(fixture, &fixture->calls, barred_later_cases[i].calls);
        ch_frontend_abandon_barred(fixture->node.frontend);
        if (barred_later_cases[i].allowed == NEVER_BARRED) {
            complete_silent_call(fixture);
        }
        char *response = read_response(fd);
        check_texts(response, barred_later_cases[i].response);
        g_free(response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->cancelled, ==,
                         barred_later_cases[i].cancelled);
        g_assert_cmpuint(fixture->withdrawn, ==,
                         barred_later_cases[i].withdrawn);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    enum upstream_action upstream[MAX_ACTIONS];
    int interruptions;
    int early_interruptions;
    int complete;
} evidence_cases[] = {
    {"interrupted before any of the response",
     UPSTREAMS(INTERRUPTED_EARLY, COMPLETES), 1, 1, 1},
    {"interrupted in the middle", UPSTREAMS(INTERRUPTED, COMPLETES), 1, 0, 1},
    {"interrupted twice", UPSTREAMS(INTERRUPTED_EARLY, INTERRUPTED), 2, 1, 0},
    {"whole at once", UPSTREAMS(COMPLETES), 0, 0, 1},
    {"crossed, then whole", UPSTREAMS(CROSSED, COMPLETES), 0, 0, 1},
    {"refused, then whole", UPSTREAMS(REFUSED_NOT_RUN, COMPLETES), 0, 0, 1},
};

/* Guards against crashes, and against complete responses, that the crash
 * guard is not notified of. */
static void
test_crash_evidence(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(evidence_cases); i++) {
        struct fixture *fixture = routed_fixture();
        struct ch_crash_guard guard = {.allowed_checks = NEVER_BARRED};
        fixture->node.crash_guard = &guard;
        g_test_message("%s", evidence_cases[i].name);
        memcpy(fixture->upstream_actions, evidence_cases[i].upstream,
               sizeof(fixture->upstream_actions));
        fixture_start(fixture);
        g_free(read_response(send_request(fixture, "POST /r/1", "", "")));
        fixture_stop(fixture);
        g_assert_cmpint(guard.interrupted_calls, ==,
                        evidence_cases[i].interruptions);
        g_assert_cmpint(guard.interrupted_before_response, ==,
                        evidence_cases[i].early_interruptions);
        g_assert_cmpint(guard.complete_count, ==, evidence_cases[i].complete);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    bool routed;
    int64_t deadline;
    int64_t now;
    int64_t left;
} time_cases[] = {
    {"the node's own interface", false, 500, 100, 0},
    {"no deadline", true, 0, 100, 0},
    {"before the deadline", true, 500, 100, 400},
    {"at the deadline", true, 500, 500, 1},
    {"after the deadline", true, 500, 900, 1},
};

/* Guards against a call without a time limit: its grant came after the
 * caller's deadline, before the deadline's timer had run. */
static void
test_time_left(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(time_cases); i++) {
        const struct ch_request request = {
            .routed = time_cases[i].routed,
            .deadline = time_cases[i].deadline,
        };
        g_test_message("%s", time_cases[i].name);
        g_assert_cmpint(ch_exchange_get_time_left(&request, time_cases[i].now),
                        ==, time_cases[i].left);
    }
}

/* Ends the calls that are silent for too long, as the thread of outgoing calls
 * does: asks about all of them first, then ends those that were given up. */
static unsigned
end_silent_calls(struct fixture *fixture)
{
    bool ends[MAX_CALLERS] = {false};
    unsigned ended = 0;
    for (unsigned i = 0; i < fixture->paused_count; i++) {
        struct fake_call *call = fixture->paused[i];
        ends[i] = !call->handlers.on_stall(call->data);
    }
    for (unsigned i = 0; i < fixture->paused_count; i++) {
        if (ends[i]) {
            end_call(fixture->paused[i], CH_UPSTREAM_STALLED, true);
            fixture->paused[i] = NULL;
            ended++;
        }
    }
    return ended;
}

/* Completes the calls that were not given up. */
static void
complete_paused_calls(struct fixture *fixture)
{
    for (unsigned i = 0; i < fixture->paused_count; i++) {
        struct fake_call *call = fixture->paused[i];
        if (call != NULL) {
            call->resume_from = 2;
            send_events(call, EVENT_COUNT);
            end_call(call, CH_OK, true);
        }
    }
}

/*
 * Guards against streams that are ended early when more of them fall silent at
 * once than there are retries left: a node that had been suspended found all
 * its streams silent and gave all of them up for a retry, but had only two
 * retries. A call that can't be retried must be waited for.
 */
static void
test_many_silent(void)
{
    enum {
        CALLERS = 8,
    };
    struct fixture *fixture = routed_fixture();
    int callers[CALLERS];
    for (size_t i = 0; i < MAX_ACTIONS; i++) {
        fixture->upstream_actions[i] = PAUSED;
    }
    fixture_start(fixture);
    for (size_t i = 0; i < CALLERS; i++) {
        callers[i] = send_request(fixture, "POST /r/1", "", "");
    }
    wait_for_count(fixture, &fixture->paused_count, CALLERS);
    unsigned ended = end_silent_calls(fixture);
    complete_paused_calls(fixture);
    for (size_t i = 0; i < CALLERS; i++) {
        char *response = read_response(callers[i]);
        g_test_message("%s", response);
        g_assert_nonnull(strstr(response, "{\"n\":4}"));
        g_assert_true(g_str_has_suffix(response, "\r\n0\r\n\r\n"));
        g_free(response);
    }
    fixture_stop(fixture);
    g_assert_cmpuint(ended, ==, INITIAL_RETRIES);
    g_assert_cmpuint(fixture->calls, ==, CALLERS + ended);
    fixture_free(fixture);
}

/*
 * Guards against retries that are taken for nothing: a stream that waited for
 * an upstream took a retry each time that it asked the router, although no
 * upstream had it meanwhile, so that none were left for the node's other
 * streams.
 */
static void
test_retry_taken_once(void)
{
    struct fixture *fixture = routed_fixture();
    const enum router_action actions[MAX_ACTIONS] = {GRANTS, REFUSES, REFUSES,
                                                     GRANTS};
    memcpy(fixture->router_actions, actions, sizeof(actions));
    fixture->upstream_actions[0] = INTERRUPTED;
    fixture_start(fixture);
    double before = retries_left(fixture);
    char *response = read_response(send_request(fixture, "POST /r/1", "", ""));
    g_assert_nonnull(strstr(response, "{\"n\":4}"));
    g_free(response);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->router_requests, ==, 4);
    g_assert_cmpuint(fixture->calls, ==, 2);
    g_assert_cmpfloat(retries_left(fixture), >=, before - 1);
    g_assert_cmpfloat(retries_left(fixture), <, before);
    fixture_free(fixture);
}

/*
 * Guards against a retry that is lost: a silent call was to be given up for a
 * retry, its caller left before that, and the retry was not returned to the
 * budget.
 */
static void
test_retry_returned(void)
{
    struct fixture *fixture = routed_fixture();
    fixture->upstream_actions[0] = PAUSED;
    fixture_start(fixture);
    double before = retries_left(fixture);
    int caller = send_request(fixture, "POST /r/1", "", "");
    wait_for_count(fixture, &fixture->paused_count, 1);
    struct fake_call *call = fixture->paused[0];
    g_assert_false(call->handlers.on_stall(call->data));
    g_assert_cmpfloat(retries_left(fixture), <, before);
    close(caller);
    wait_for_count(fixture, &fixture->cancelled, 1);
    end_call(call, CH_CANCELLED, true);
    fixture_stop(fixture);
    g_assert_cmpfloat(retries_left(fixture), >=, before);
    g_assert_cmpuint(fixture->calls, ==, 1);
    fixture_free(fixture);
}

/* ---- slow callers ---- */

/* The response memory's own figures. */
static gint64
get_unsent(const struct fixture *fixture, const char *name)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    ch_response_memory_write_status(fixture->node.response_memory, builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    gint64 value = json_object_get_int_member(
        json_object_get_object_member(json_node_get_object(root), "unsent"),
        name);
    json_node_unref(root);
    g_object_unref(builder);
    return value;
}

static gpointer
read_caller(gpointer data)
{
    return read_response(GPOINTER_TO_INT(data));
}

/*
 * Guards against two faults of a node whose callers read nothing: responses
 * that are each within their bound but hold too much memory together, and
 * upstreams that are left unread meanwhile. This thread stands in for the one
 * of outgoing calls: the test would hang if handing over an event waited for a
 * caller. The responses that hold most are cut off and never look complete; a
 * caller who reads, and those that are left, get all of theirs.
 */
static void
test_slow_callers(void)
{
    enum {
        SLOW = 4,
        CALLERS = SLOW + 1,
        BOUND = 3 * CH_RESPONSE_MAX_UNSENT_BYTES / 2,
        EVENT_BYTES = 16 * 1024,
        MAX_ROUNDS = 4000,
        CUT = 2,
    };
    struct fixture *fixture = fixture_new();
    char *responses[CALLERS] = {NULL};
    int callers[CALLERS];
    unsigned complete = 0;
    char *event = g_strnfill(EVENT_BYTES, 'x');
    fixture->allows_same_attempt = true;
    fixture->node.response_memory =
        ch_response_memory_new(&fixture->client, BOUND);
    for (size_t i = 0; i < MAX_ACTIONS; i++) {
        fixture->upstream_actions[i] = PAUSED;
    }
    fixture_start(fixture);
    for (unsigned i = 0; i < CALLERS; i++) {
        callers[i] = send_request_kind(fixture, STREAM, "");
        wait_for_count(fixture, &fixture->paused_count, i + 1);
    }
    GThread *reader =
        g_thread_new("reader", read_caller, GINT_TO_POINTER(callers[SLOW]));
    for (unsigned round = 0;
         round < MAX_ROUNDS && ch_metrics_get_count(fixture->client.metrics,
                                                    CH_COUNT_UNSENT_CUT) < CUT;
         round++) {
        for (unsigned i = 0; i < CALLERS; i++) {
            struct fake_call *call = fixture->paused[i];
            call->handlers.on_data(call->data, event,
                                   i < SLOW ? EVENT_BYTES : 1);
            g_assert_cmpint(get_unsent(fixture, "bytes"), <=, BOUND);
        }
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        end_call(fixture->paused[i], CH_OK, true);
    }
    responses[SLOW] = g_thread_join(reader);
    for (unsigned i = 0; i < SLOW; i++) {
        responses[i] = read_response(callers[i]);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        bool ends = g_str_has_suffix(responses[i], "\r\n0\r\n\r\n");
        g_assert_true(ends == (strstr(responses[i], "[DONE]") != NULL));
        complete += ends ? 1 : 0;
    }
    g_assert_nonnull(strstr(responses[SLOW], "[DONE]"));
    g_assert_cmpuint(
        ch_metrics_get_count(fixture->client.metrics, CH_COUNT_UNSENT_CUT), ==,
        CUT);
    g_assert_cmpuint(complete, ==, CALLERS - CUT);
    fixture_stop(fixture);
    g_assert_cmpint(get_unsent(fixture, "bytes"), ==, 0);
    struct ch_response_memory *memory = fixture->node.response_memory;
    fixture_free(fixture);
    ch_response_memory_free(memory);
    for (unsigned i = 0; i < CALLERS; i++) {
        g_free(responses[i]);
    }
    g_free(event);
}

/* More than the socket buffers of a caller who does not read take, and less
 * than the bound of one plain response. */
enum {
    PLAIN_BOUND = 14 * 1024 * 1024,
};

static const struct {
    const char *name;
    size_t bytes;
    uint64_t cut;
} plain_cases[] = {
    {"within the bound", PLAIN_BOUND, 0},
    {"beyond the bound", PLAIN_BOUND + 1, 1},
};

/* Guards against a plain response that is cut off and looks complete, and
 * against one whose bytes stay counted after it was sent. */
static void
test_plain_response_cut(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(plain_cases); i++) {
        struct fixture *fixture = fixture_new();
        struct ch_response_memory *memory =
            ch_response_memory_new(&fixture->client, PLAIN_BOUND);
        g_autofree char *body = g_strnfill(plain_cases[i].bytes, 'x');
        g_test_message("%s", plain_cases[i].name);
        fixture->node.response_memory = memory;
        fixture->upstream_actions[0] = SILENT;
        fixture_start(fixture);
        int caller = send_request_kind(fixture, PLAIN, "");
        wait_for_count(fixture, &fixture->calls, 1);
        send_plain_response(fixture->last_call, body);
        end_call(fixture->last_call, CH_OK, true);
        g_autofree char *response = read_response(caller);
        g_assert_true(g_str_has_suffix(response, body) ==
                      (plain_cases[i].cut == 0));
        fixture_stop(fixture);
        g_assert_cmpuint(
            ch_metrics_get_count(fixture->client.metrics, CH_COUNT_UNSENT_CUT),
            ==, plain_cases[i].cut);
        g_assert_cmpint(get_unsent(fixture, "bytes"), ==, 0);
        fixture_free(fixture);
        ch_response_memory_free(memory);
    }
}

/* ---- states of the at-most-once record ---- */

struct once_case {
    const char *name;
    struct ch_once_result result;
    const char *expected;
};

#define RECORD(...)                                                           \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

static const struct once_case once_cases[] = {
    {"done and kept",
     RECORD(.state = CH_ONCE_DONE, .response_stored = true, .status = 201,
            .content_type = "text/x", .body = "first", .body_length = 5),
     "HTTP/1.1 201|" RAN "|text/x|first"},
    {"done, not kept", RECORD(.state = CH_ONCE_DONE),
     "HTTP/1.1 409|" UNKNOWN "|\"code\":307"},
    {"running", RECORD(.state = CH_ONCE_IN_PROGRESS),
     "HTTP/1.1 409|" UNKNOWN "|\"code\":310|Retry-After: 1"},
    {"another body", RECORD(.state = CH_ONCE_MISMATCH),
     "HTTP/1.1 422|" NOT_RUN "|\"code\":113"},
    {"no record to be had", RECORD(.state = CH_ONCE_REFUSED),
     "HTTP/1.1 503|" NOT_RUN "|\"code\":206|Retry-After: 1"},
};

/* A repeat of an order, or an order while the key-value store is unavailable:
 * the response comes from the record, and nothing is queued or sent. */
static void
test_once(gconstpointer data)
{
    const struct once_case *row = data;
    struct fixture *fixture = fixture_new();
    fixture->once_result = row->result;
    fixture_start(fixture);
    char *response = read_response(send_request_kind(fixture, ORDER, ""));
    check_response(response, row->expected);
    g_free(response);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->router_requests, ==, 0);
    g_assert_cmpuint(fixture->calls, ==, 0);
    g_assert_cmpuint(fixture->once_stored + fixture->once_released, ==, 0);
    fixture_free(fixture);
}

/* ---- callers that give up ---- */

struct give_up_case {
    const char *name;
    enum request_kind kind;
    enum router_action router;
    enum upstream_action upstream;
    bool disconnects; /* otherwise its deadline passes */
    bool completes_late;
    const char *response;
    unsigned withdrawn;
    unsigned cancelled;
    unsigned once_stored;
    unsigned once_released;
};

static const struct give_up_case give_up_cases[] = {
    {"deadline in the queue", PLAIN, KEEPS_WAITING, COMPLETES, false, false,
     "HTTP/1.1 504|" NOT_RUN "|\"code\":308", 1, 0, 0, 0},
    {"deadline of an order in the queue", ORDER, KEEPS_WAITING, COMPLETES,
     false, false, "HTTP/1.1 504|" NOT_RUN, 1, 0, 0, 1},
    {"deadline at a silent engine", PLAIN, GRANTS, SILENT, false, false,
     "HTTP/1.1 504|" UNKNOWN, 0, 1, 0, 0},
    {"deadline at a silent service", ORDER, GRANTS, SILENT, false, true,
     "HTTP/1.1 504|" UNKNOWN, 0, 0, 1, 0},
    {"hang-up in the queue", PLAIN, KEEPS_WAITING, COMPLETES, true, false,
     NULL, 1, 0, 0, 0},
    {"hang-up at a silent engine", STREAM, GRANTS, SILENT, true, false, NULL,
     0, 1, 0, 0},
    {"hang-up at a silent service", ORDER, GRANTS, SILENT, true, true, NULL, 0,
     0, 1, 0},
    {"reads nothing of a long stream", STREAM, GRANTS, FLOODING, false, false,
     NULL, 0, 1, 0, 0},
};

/*
 * A caller closes its connection, stops reading, or its deadline passes, while
 * its request waits at the router or is silent at an upstream. The caller must
 * be told at once, the request withdrawn, and an idempotent call cancelled. An
 * order that was dispatched must run to its end, with its response stored for
 * a repeat.
 */
static void
test_give_up(gconstpointer data)
{
    const struct give_up_case *row = data;
    struct fixture *fixture = fixture_new();
    fixture->router_actions[0] = row->router;
    fixture->upstream_actions[0] = row->upstream;
    fixture_start(fixture);
    bool waits = row->response != NULL;
    int fd = send_request_kind(
        fixture, row->kind, waits ? "Chestnuthitch-Deadline-Ms: 60\r\n" : "");
    if (waits) {
        char *response = read_response(fd);
        check_response(response, row->response);
        g_free(response);
        fd = -1;
    }
    else if (row->disconnects) {
        wait_for_count(fixture,
                       row->router == GRANTS ? &fixture->calls
                                             : &fixture->router_requests,
                       1);
        shutdown(fd, SHUT_RDWR);
    }
    if (row->completes_late) {
        wait_for_count(fixture, &fixture->calls, 1);
        complete_silent_call(fixture);
    }
    wait_for_count(fixture, &fixture->withdrawn, row->withdrawn);
    wait_for_count(fixture, &fixture->cancelled, row->cancelled);
    wait_for_count(fixture, &fixture->once_stored, row->once_stored);
    wait_for_count(fixture, &fixture->once_released, row->once_released);
    if (fd >= 0) {
        close(fd);
    }
    fixture_free(fixture);
}

static const struct {
    const char *name;
    enum request_kind kind;
    enum router_action router;
    enum upstream_action upstream;
    const char *response;
    unsigned cancelled;
} stop_cases[] = {
    {"in the queue", PLAIN, KEEPS_WAITING, COMPLETES,
     "HTTP/1.1 503|" NOT_RUN "|\"code\":204", 0},
    {"at a silent engine", PLAIN, GRANTS, SILENT,
     "HTTP/1.1 503|" UNKNOWN "|\"code\":204", 1},
    {"an order at a silent service", ORDER_WITHOUT_KEY, GRANTS, SILENT,
     "HTTP/1.1 503|" UNKNOWN "|\"code\":204", 1},
};

/*
 * Guards against a stop that waits for an upstream which does not respond: the
 * platform killed the process at the end of its grace period, the caller's
 * connection was reset, and the node's member entry and leases remained until
 * they expired. The caller must be told before that, and the stop must
 * proceed.
 */
static void
test_stop_silent_upstream(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(stop_cases); i++) {
        struct fixture *fixture = fixture_new();
        g_test_message("%s", stop_cases[i].name);
        fixture->settings.grace_ms = 600;
        fixture->router_actions[0] = stop_cases[i].router;
        fixture->upstream_actions[0] = stop_cases[i].upstream;
        fixture_start(fixture);
        int fd = send_request_kind(fixture, stop_cases[i].kind, "");
        wait_for_count(fixture,
                       stop_cases[i].router == GRANTS
                           ? &fixture->calls
                           : &fixture->router_requests,
                       1);
        int64_t started_at = g_get_monotonic_time();
        fixture_stop(fixture);
        g_assert_cmpint(g_get_monotonic_time() - started_at, >=, 250000);
        char *response = read_response(fd);
        check_response(response, stop_cases[i].response);
        g_assert_cmpuint(fixture->cancelled, ==, stop_cases[i].cancelled);
        g_free(response);
        fixture_free(fixture);
    }
}

/*
 * An order whose record can't be had before the deadline, since the key-value
 * store is slow. Nothing was sent, but an earlier attempt with the key may
 * have run, so the caller must not be told "not-run". The record that comes
 * late must be released.
 */
static void
test_late_once_record(void)
{
    struct fixture *fixture = fixture_new();
    fixture->once_delayed = true;
    fixture_start(fixture);
    char *response = read_response(send_request_kind(
        fixture, ORDER, "Chestnuthitch-Deadline-Ms: 60\r\n"));
    check_response(response, "HTTP/1.1 504|" UNKNOWN "|\"code\":308");
    g_free(response);
    pthread_mutex_lock(&fixture->lock);
    struct once_job *job = fixture->once_job;
    pthread_mutex_unlock(&fixture->lock);
    ch_pool_submit(fixture->node.pool, run_once_job, job);
    wait_for_count(fixture, &fixture->once_released, 1);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->router_requests, ==, 0);
    fixture_free(fixture);
}

/* ---- requests that are rejected ---- */

struct rejected_case {
    const char *name;
    const char *text; /* %s stands for 5,000 letters */
    const char *response;
};

#define SIXTY "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefgh"
#define LETTERS SIXTY SIXTY SIXTY SIXTY SIXTY
#define POST "POST /v1/completions HTTP/1.1\r\nHost: n1\r\n"

static const struct rejected_case rejected_cases[] = {
    {"stated length", POST "Content-Length: 5000\r\n\r\n",
     "HTTP/1.1 413|" NOT_RUN "|\"field\":\"body\""},
    {"chunks over the bound",
     POST "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
          "1388\r\n%s\r\n0\r\n\r\n",
     "HTTP/1.1 413|" NOT_RUN "|\"field\":\"body\""},
    {"long header", POST "X-Long: %s\r\nContent-Length: 0\r\n\r\n",
     "HTTP/1.1 431|" NOT_RUN "|\"field\":\"headers\""},
    {"header not too long",
     POST "X-Long: " LETTERS LETTERS LETTERS LETTERS LETTERS LETTERS "\r\n"
          "Chestnuthitch-Caller: cardiff\r\nConnection: close\r\n"
          "Content-Length: 1\r\n\r\n{",
     "HTTP/1.1 400|" NOT_RUN "|\"field\":\"body\""},
    {"header twice",
     POST "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"
          "Content-Length: 0\r\n\r\n",
     "HTTP/1.1 400|" NOT_RUN "|\"field\":\"Idempotency-Key\""},
    {"empty body",
     POST "Chestnuthitch-Caller: cardiff\r\nConnection: close\r\n"
          "Content-Length: 0\r\n\r\n",
     "HTTP/1.1 400|" NOT_RUN "|\"field\":\"body\""},
    {"no such path",
     "GET /x HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n",
     "HTTP/1.1 404|" NOT_RUN "|\"field\":\"path\""},
    {"wrong method",
     "GET /v1/completions HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n",
     "HTTP/1.1 405|" NOT_RUN "|\"field\":\"method\""},
};

static void
test_rejected(gconstpointer data)
{
    const struct rejected_case *row = data;
    struct fixture *fixture = fixture_new();
    fixture_start(fixture);
    char *letters = g_strnfill(5000, 'a');
    char **parts = g_strsplit(row->text, "%s", 2);
    char *text =
        g_strconcat(parts[0], parts[1] == NULL ? "" : letters, parts[1], NULL);
    int fd = connect_to_node(fixture);
    ssize_t sent = send(fd, text, strlen(text), MSG_NOSIGNAL);
    g_assert_cmpint(sent, ==, (ssize_t)strlen(text));
    char *response = read_response(fd);
    check_response(response, row->response);
    g_free(response);
    fixture_stop(fixture);
    g_assert_cmpuint(fixture->router_requests, ==, 0);
    g_free(letters);
    g_free(text);
    g_strfreev(parts);
    fixture_free(fixture);
}

/* A body or a head that ends before its full length: nothing may be
 * dispatched, and a node that stops must not wait for the rest. */
static void
test_truncated(void)
{
    static const char *const texts[] = {
        POST
        "Chestnuthitch-Caller: cardiff\r\nContent-Length: 90\r\n\r\n{\"mod",
        POST "Chestnuthitch-Cal",
        "POST /v1/comp",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct fixture *fixture = fixture_new();
        fixture_start(fixture);
        int fd = connect_to_node(fixture);
        ssize_t sent = send(fd, texts[i], strlen(texts[i]), MSG_NOSIGNAL);
        g_assert_cmpint(sent, ==, (ssize_t)strlen(texts[i]));
        close(fd);
        fixture_free(fixture);
    }
}

/* More callers than the node accepts connections: those over the limit are
 * closed at once, and the others are served. */
static void
test_too_many_connections(void)
{
    struct fixture *fixture = fixture_new();
    int fds[MAX_CALLERS + 1];
    char byte = 0;
    fixture->settings.max_connections = MAX_CALLERS;
    fixture_start(fixture);
    for (unsigned i = 0; i <= MAX_CALLERS; i++) {
        fds[i] = connect_to_node(fixture);
    }
    g_assert_cmpint(recv(fds[MAX_CALLERS], &byte, 1, 0), <=, 0);
    close(fds[MAX_CALLERS]);
    for (unsigned i = 0; i < MAX_CALLERS; i++) {
        static const char text[] =
            "GET /healthz HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n";
        ssize_t sent = send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL);
        g_assert_cmpint(sent, ==, (ssize_t)sizeof(text) - 1);
        char *response = read_response(fds[i]);
        check_response(response, "HTTP/1.1 200|ok");
        g_free(response);
    }
    fixture_free(fixture);
}

/* ---- starting and stopping ---- */

static void
test_not_ready(void)
{
    struct fixture *fixture = fixture_new();
    ch_config_unref(fixture->config);
    fixture->config = NULL;
    fixture_start(fixture);
    char *response = read_response(send_request_kind(fixture, PLAIN, ""));
    check_response(response,
                   "HTTP/1.1 503|" NOT_RUN "|\"code\":205|Retry-After");
    g_free(response);
    response = read_response(send_request(fixture, "GET /readyz", "", ""));
    check_response(response, "HTTP/1.1 503|\"ready\":false");
    g_free(response);
    response = read_response(send_request(fixture, "GET /healthz", "", ""));
    check_response(response, "HTTP/1.1 200|ok");
    g_free(response);
    fixture_free(fixture);
}

static void *
run_stop(void *data)
{
    struct fixture *fixture = data;
    fixture_stop(fixture);
    return NULL;
}

/*
 * SIGTERM while one request is at an engine and another arrives. The node must
 * become not ready, refuse the new request with a time to retry, and complete
 * the accepted request before the stop returns.
 */
static void
test_stop(void)
{
    struct fixture *fixture = fixture_new();
    pthread_t stopper;
    fixture->upstream_actions[0] = SILENT;
    fixture_start(fixture);
    int accepted = send_request_kind(fixture, PLAIN, "");
    wait_for_count(fixture, &fixture->calls, 1);
    pthread_create(&stopper, NULL, run_stop, fixture);
    char *response = NULL;
    for (unsigned i = 0; i < 2000; i++) {
        g_free(response);
        response = read_response(send_request(fixture, "GET /readyz", "", ""));
        if (strstr(response, "HTTP/1.1 503") != NULL) {
            break;
        }
    }
    check_response(response, "HTTP/1.1 503|Connection: close");
    g_free(response);
    g_assert_false(ch_node_is_ready(&fixture->node));
    for (unsigned i = 0; i < 2000; i++) {
        response = read_response(
            send_request(fixture, "POST /v1/completions", "", ""));
        if (strstr(response, "\"code\":204") != NULL) {
            break;
        }
        g_free(response);
        response = NULL;
    }
    check_response(response, "HTTP/1.1 503|" NOT_RUN
                             "|Retry-After: 1|Connection: close");
    g_free(response);
    complete_silent_call(fixture);
    response = read_response(accepted);
    check_response(response, "HTTP/1.1 200|whole answer");
    g_free(response);
    pthread_join(stopper, NULL);
    fixture_free(fixture);
}

/* Adds a test for each row of a table. */
#define ADD_CASES(prefix, table, test)                                        \
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {                        \
        char *path = g_strconcat(prefix, (table)[i].name, NULL);              \
        g_test_add_data_func(path, &(table)[i], test);                        \
        g_free(path);                                                         \
    }

/* ---- quotas ---- */

static const char team_text[] = "[model m01]\nmemory-mb = 1\n"
                                "[class advice]\nmodels = m01\n"
                                "first-token-ms = 400\ncallers = cardiff\n"
                                "[team bands]\nquota-per-s = 5\nkeys = ";

static const struct {
    const char *name;
    const char *authorization; /* header line; "" for none */
    const char *status;
    enum ch_code quota;
    enum router_action router;
    enum upstream_action upstream;
    int taken;
    int given_back;
    bool asks_router;
} quota_cases[] = {
    {"no key", "", "401", CH_OK, GRANTS, COMPLETES, 0, 0, false},
    {"unknown key", "Authorization: Bearer no\r\n", "401", CH_OK, GRANTS,
     COMPLETES, 0, 0, false},
    {"two keys",
     "Authorization: Bearer key-of-bands\r\n"
     "Authorization: Bearer key-of-bands\r\n",
     "401", CH_OK, GRANTS, COMPLETES, 0, 0, false},
    {"credit", "Authorization: Bearer key-of-bands\r\n", "200", CH_OK, GRANTS,
     COMPLETES, 1, 0, true},
    {"no credit", "Authorization: Bearer key-of-bands\r\n", "429",
     CH_QUOTA_USED, GRANTS, COMPLETES, 1, 0, false},
    {"no pool answers", "Authorization: Bearer key-of-bands\r\n", "503",
     CH_QUOTA_UNAVAILABLE, GRANTS, COMPLETES, 1, 0, false},
    {"refused by the router", "Authorization: Bearer key-of-bands\r\n", "503",
     CH_OK, REFUSES, COMPLETES, 1, 1, true},
    {"refused by the upstream", "Authorization: Bearer key-of-bands\r\n",
     "503", CH_OK, GRANTS, REFUSED_NOT_RUN, 1, 1, true},
    {"interrupted, may have run", "Authorization: Bearer key-of-bands\r\n",
     "502", CH_OK, GRANTS, INTERRUPTED, 1, 0, true},
};

/* ---- limits of upstreams ---- */

static const struct {
    const char *name;
    bool limited;
    int refusals;
    const char *status;
    int taken;
    unsigned calls;
    unsigned router_requests;
} limit_cases[] = {
    {"no limit", false, 0, "200", 0, 1, 1},
    {"permitted", true, 0, "200", 1, 1, 1},
    {"not permitted, no other upstream", true, 1, "503", 1, 0, 2},
};

/* Guards against calls to an upstream with a limit without permission, and
 * callers that are rejected without the time at which a call may go. */
static void
test_limit(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        struct fixture *fixture = fixture_new();
        struct ch_limit_manager limits = {
            .node = &fixture->node,
            .limited = limit_cases[i].limited,
            .refusals = limit_cases[i].refusals,
            .retry_after = 700000,
        };
        g_test_message("%s", limit_cases[i].name);
        fixture->node.limits = &limits;
        fixture->allows_same_attempt = true;
        fixture_start(fixture);
        g_autofree char *response = read_response(
            send_request(fixture, "POST /v1/completions",
                         "Chestnuthitch-Caller: cardiff\r\n", plain_call));
        fixture_stop(fixture);
        g_test_message("%s", response);
        g_assert_true(g_str_has_prefix(response + strlen("HTTP/1.1 "),
                                       limit_cases[i].status));
        bool refused = limit_cases[i].refusals > 0;
        g_assert_true((strstr(response, "\"retry_after_ms\":700") != NULL) ==
                      refused);
        g_assert_true((strstr(response, "UPSTREAM_LIMITED") != NULL) ==
                      refused);
        g_assert_cmpint(limits.taken, ==, limit_cases[i].taken);
        g_assert_cmpuint(fixture->calls, ==, limit_cases[i].calls);
        g_assert_cmpuint(fixture->router_requests, ==,
                         limit_cases[i].router_requests);
        fixture_free(fixture);
    }
}

static const struct {
    const char *name;
    enum upstream_action
        first;          /* what the upstream does with the first call */
    const char *status; /* of the second request */
    uint64_t refused;
} bytes_cases[] = {
    {"the first call is in progress", PAUSED, "503", 1},
    {"the first call has ended", COMPLETES, "200", 0},
    {"the first call has failed", SERVER_ERROR, "200", 0},
};

/* Guards against an upstream that runs out of memory as a node sends it more
 * request bytes than it bears, and against bytes that stay counted after their
 * call: the upstream would be refused for good. */
static void
test_upstream_bytes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bytes_cases); i++) {
        struct fixture *fixture = fixture_new();
        g_test_message("%s", bytes_cases[i].name);
        fixture->settings.max_upstream_bytes = 3 * strlen(stream_call) / 2;
        fixture->allows_same_attempt = true;
        fixture->upstream_actions[0] = bytes_cases[i].first;
        fixture_start(fixture);
        int first = send_request_kind(fixture, STREAM, "");
        bool pauses = bytes_cases[i].first == PAUSED;
        if (pauses) {
            wait_for_count(fixture, &fixture->paused_count, 1);
        }
        else {
            g_free(read_response(first));
        }
        g_autofree char *second =
            read_response(send_request_kind(fixture, STREAM, ""));
        g_test_message("%s", second);
        g_assert_true(g_str_has_prefix(second + strlen("HTTP/1.1 "),
                                       bytes_cases[i].status));
        g_assert_true((strstr(second, "Retry-After: ") != NULL) ==
                      (bytes_cases[i].refused > 0));
        if (pauses) {
            end_call(fixture->paused[0], CH_OK, true);
            g_free(read_response(first));
        }
        fixture_stop(fixture);
        g_assert_cmpuint(ch_metrics_get_count(fixture->client.metrics,
                                              CH_COUNT_UPSTREAM_BYTES_REFUSED),
                         ==, bytes_cases[i].refused);
        fixture_free(fixture);
    }
}

/* A request beyond its team's quota is refused before a router is asked, with
 * the time to come back; the cost of one that did not run is given back. */
static void
test_quota(void)
{
    char digest[CH_ACCESS_DIGEST_SIZE];
    ch_access_digest_key("key-of-bands", digest);
    g_autofree char *text = g_strconcat(team_text, digest, "\n", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(quota_cases); i++) {
        struct fixture *fixture = fixture_new();
        struct ch_quota_manager quota = {.code = quota_cases[i].quota};
        struct ch_error error = {.code = CH_OK};
        g_test_message("%s", quota_cases[i].name);
        ch_config_unref(fixture->config);
        fixture->config = ch_config_new(
            1, "t", "a", ch_declaration_parse(text, "test", &error));
        g_assert_cmpstr(error.message, ==, "");
        fixture->node.quota = &quota;
        fixture->router_actions[0] = quota_cases[i].router;
        for (size_t j = 0; j < MAX_ACTIONS; j++) {
            fixture->upstream_actions[j] = quota_cases[i].upstream;
        }
        fixture_start(fixture);
        g_autofree char *headers =
            g_strconcat("Chestnuthitch-Caller: cardiff\r\n",
                        quota_cases[i].authorization, NULL);
        g_autofree char *response = read_response(send_request(
            fixture, "POST /v1/completions", headers, plain_call));
        fixture_stop(fixture);
        g_test_message("%s", response);
        g_assert_true(g_str_has_prefix(response + strlen("HTTP/1.1 "),
                                       quota_cases[i].status));
        g_assert_cmpint(strstr(response, "WWW-Authenticate: Bearer") != NULL,
                        ==, strcmp(quota_cases[i].status, "401") == 0);
        g_assert_cmpint(strstr(response, "\"retry_after_ms\":700") != NULL, ==,
                        quota_cases[i].quota != CH_OK);
        g_assert_null(strstr(response, "key-of-bands"));
        g_assert_cmpint(quota.taken, ==, quota_cases[i].taken);
        g_assert_cmpint(quota.given_back, ==, quota_cases[i].given_back);
        g_assert_cmpint(fixture->router_requests > 0, ==,
                        quota_cases[i].asks_router);
        fixture_free(fixture);
    }
}

static const struct outdated_case {
    const char *what;
    enum request_kind kind;
    unsigned outdated_grants;
    enum upstream_action upstream;
    unsigned router_requests;
    unsigned calls;
    const char *response;
} outdated_cases[] = {
    {"model", PLAIN, 1, COMPLETES, 2, 1, "HTTP/1.1 200|whole answer"},
    {"order", ORDER, 1, COMPLETES, 2, 1, "HTTP/1.1 200|whole answer"},
    {"the other one as well", PLAIN, 3, COMPLETES, 3, 0,
     "HTTP/1.1 503|" NOT_RUN},
};

/* Guards against a request that is sent to an upstream which the list has
 * named as draining or gone while the request waited after its grant. */
static void
test_outdated_grants(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(outdated_cases); i++) {
        const struct outdated_case *row = &outdated_cases[i];
        struct fixture *fixture = fixture_new();
        fixture->outdated_grants = row->outdated_grants;
        fixture->allows_same_attempt = true;
        for (size_t j = 0; j < MAX_ACTIONS; j++) {
            fixture->router_actions[j] = GRANTS;
            fixture->upstream_actions[j] = row->upstream;
        }
        fixture_start(fixture);
        g_test_message("%s", row->what);
        char *response =
            read_response(send_request_kind(fixture, row->kind, ""));
        check_response(response, row->response);
        fixture_stop(fixture);
        g_assert_cmpuint(fixture->router_requests, ==, row->router_requests);
        g_assert_cmpuint(fixture->calls, ==, row->calls);
        g_free(response);
        fixture_free(fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD_CASES("/exchange/course/", exchange_cases, test_exchange)
    ADD_CASES("/exchange/once/", once_cases, test_once)
    ADD_CASES("/exchange/give up/", give_up_cases, test_give_up)
    ADD_CASES("/exchange/bounds/", rejected_cases, test_rejected)
    g_test_add_func("/exchange/begun", test_started_stream);
    g_test_add_func("/exchange/unknown-version",
                    test_stream_of_unknown_version);
    g_test_add_func("/exchange/stream-record", test_stream_record);
    g_test_add_func("/exchange/stored-origin", test_stored_origin);
    g_test_add_func("/exchange/taken-up", test_taken_up);
    g_test_add_func("/exchange/process-checked", test_process_checked);
    g_test_add_func("/exchange/time-left", test_time_left);
    g_test_add_func("/exchange/refused", test_refused);
    g_test_add_func("/exchange/server-error", test_upstream_failure);
    g_test_add_func("/exchange/stream-left",
                    test_caller_disconnects_from_stream);
    g_test_add_func("/exchange/crasher", test_barred);
    g_test_add_func("/exchange/barred-under-way", test_barred_later);
    g_test_add_func("/exchange/crash-evidence", test_crash_evidence);
    g_test_add_func("/exchange/silent-together", test_many_silent);
    g_test_add_func("/exchange/try-drawn-once", test_retry_taken_once);
    g_test_add_func("/exchange/try-given-back", test_retry_returned);
    g_test_add_func("/exchange/slow-callers", test_slow_callers);
    g_test_add_func("/exchange/plain-response-cut", test_plain_response_cut);
    g_test_add_func("/exchange/cut-by-stop", test_stop_silent_upstream);
    g_test_add_func("/exchange/once late", test_late_once_record);
    g_test_add_func("/exchange/truncated", test_truncated);
    g_test_add_func("/exchange/full", test_too_many_connections);
    g_test_add_func("/exchange/not ready", test_not_ready);
    g_test_add_func("/exchange/quota", test_quota);
    g_test_add_func("/exchange/limit", test_limit);
    g_test_add_func("/exchange/outdated-grants", test_outdated_grants);
    g_test_add_func("/exchange/upstream-bytes", test_upstream_bytes);
    g_test_add_func("/exchange/stop", test_stop);
    return g_test_run();
}
