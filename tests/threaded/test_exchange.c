/*
 * The callers' listener and the course of a request, over real sockets to the
 * caller, with homes, once records and upstreams that do as they are told.
 */

#include "node/exchange.h"
#include "node/dialect.h"
#include "node/front.h"
#include "node/listener.h"
#include "threaded/fake_crashes.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    PATIENCE_S = 20,
    MOST_TRIES = 4,
    MOST_CALLERS = 12,
    EVENTS = 5, /* of a whole stream */
    MOST_QUESTIONS = 100,
};

/* What a home does with a request. */
enum home_act {
    GRANTS,
    REFUSES,
    HOLDS_BACK, /* neither, until it is withdrawn */
};

/* What an upstream does with a call. */
enum call_act {
    WHOLE,
    CUT,          /* after two events, or in the middle of a plain answer */
    NO_CONNECT,   /* certainly not run */
    SAYS_NOT_RUN, /* 429 or 503 with X-Not-Run */
    CROSSED,
    SILENT,       /* until it is cancelled or released by the test */
    FLOODS,       /* events without an end, until it is cancelled */
    PAUSES,       /* silent after two events; whole when it is resumed */
    SERVER_ERROR, /* a failure of its own, whole */
    CUT_BEFORE,   /* before any of the answer */
};

struct ch_homes {
    struct ch_router router;
    struct world *world;
};

struct ch_once_keeper {
    struct world *world;
};

struct ch_config_keeper {
    struct world *world;
};

struct held_call {
    struct world *world;
    struct ch_call_handlers handlers;
    void *data;
    enum call_act act;
    bool stream;
    uint32_t resume_from;
    bool cancelled;
    char id[CH_REPLY_ID];
};

/* The node's other parts, and what they saw. */
struct world {
    struct ch_upstream upstream; /* first: the fake upstream is the world */
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    struct ch_homes homes;
    struct ch_once_keeper once;
    struct ch_config_keeper config_keeper;
    struct ch_config *config;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    enum home_act home_acts[MOST_TRIES];
    enum call_act call_acts[MOST_TRIES];
    struct ch_once_answer once_answer;
    unsigned asked;
    unsigned granted;
    unsigned released;
    unsigned withdrawn;
    unsigned calls;
    unsigned fresh; /* calls that may not be repeated by libcurl */
    unsigned cancelled;
    unsigned begun;    /* once records asked for */
    unsigned finished; /* with an answer */
    unsigned freed;    /* as not run */
    unsigned excluded; /* upstreams that the last request left out */
    unsigned resumed_from;
    bool once_waits; /* the record's answer is held back */
    bool asks_again; /* asked for without another attempt */
    GQuark only;     /* upstream that the last request is bound to */
    bool told_begun; /* the last request's caller has the beginning */
    struct once_job *once_job;
    struct held_call *held;
    struct held_call *paused[MOST_CALLERS];
    unsigned paused_count;
    int port;
};

static void
notify(struct world *world)
{
    pthread_cond_broadcast(&world->changed);
    pthread_mutex_unlock(&world->lock);
}

/* Waits until a counter has reached a value. */
static void
wait_for(struct world *world, const unsigned *counter, unsigned value)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += PATIENCE_S;
    pthread_mutex_lock(&world->lock);
    while (*counter < value) {
        g_assert_cmpint(
            pthread_cond_timedwait(&world->changed, &world->lock, &until), ==,
            0);
    }
    pthread_mutex_unlock(&world->lock);
}

/* ---- homes ---- */

struct home_job {
    struct world *world;
    struct ch_router_handlers handlers;
    void *data;
    enum home_act act;
    uint64_t handle;
};

static void
run_home(void *data)
{
    struct home_job *job = data;
    if (job->act == GRANTS) {
        const struct ch_grant grant = {
            .handle = job->handle,
            .upstream = g_quark_from_string("w01"),
            .client = &job->world->upstream,
            .priority = 3,
        };
        pthread_mutex_lock(&job->world->lock);
        job->world->granted++;
        notify(job->world);
        job->handlers.granted(job->data, &grant);
    }
    else {
        job->handlers.refused(job->data, CH_LATE, 1500000, "too late");
    }
    g_free(job);
}

static uint64_t
home_request(struct ch_router *router, const struct ch_request_info *work,
             const GArray *excluded, const struct ch_router_handlers *handlers,
             void *data)
{
    struct world *world = ((struct ch_homes *)router)->world;
    pthread_mutex_lock(&world->lock);
    unsigned number = world->asked++;
    enum home_act act = world->home_acts[MIN(number, MOST_TRIES - 1)];
    world->excluded = excluded == NULL ? 0 : excluded->len;
    g_assert_true(world->asks_again || work->attempt == number);
    world->only = work->required_upstream;
    world->told_begun = work->answer_started;
    notify(world);
    if (act != HOLDS_BACK) {
        struct home_job *job = g_new(struct home_job, 1);
        *job = (struct home_job){world, *handlers, data, act, number + 1};
        ch_pool_submit(world->node.pool, run_home, job);
    }
    return number + 1;
}

static bool
home_withdraw(struct ch_router *router, uint64_t handle)
{
    struct world *world = ((struct ch_homes *)router)->world;
    pthread_mutex_lock(&world->lock);
    bool held = world->home_acts[handle - 1] == HOLDS_BACK;
    world->withdrawn += held;
    notify(world);
    return held;
}

static void
home_release(struct ch_router *router, uint64_t handle,
             const struct ch_timing_sample *sample)
{
    struct world *world = ((struct ch_homes *)router)->world;
    g_assert_cmpuint(handle, >, 0);
    g_assert_cmpint(sample->first_byte_time, >=, 0);
    pthread_mutex_lock(&world->lock);
    world->released++;
    notify(world);
}

static bool
home_ready(struct ch_router *router)
{
    return ((struct ch_homes *)router)->world != NULL;
}

static const struct ch_router_ops router_ops = {
    .ready = home_ready,
    .request = home_request,
    .withdraw = home_withdraw,
    .release = home_release,
};

/* The node is alone. */
char **
ch_peers_live(struct ch_peers *peers)
{
    (void)peers;
    return g_strdupv((char *[]){"alone", NULL});
}

/* ---- once records and configuration ---- */

struct once_job {
    struct world *world;
    void (*begun)(void *data, const struct ch_once_answer *answer);
    void (*finished)(void *data, bool kept);
    void *data;
};

static void
run_once(void *data)
{
    struct once_job *job = data;
    if (job->begun != NULL) {
        job->begun(job->data, &job->world->once_answer);
    }
    else {
        job->finished(job->data, true);
    }
    g_free(job);
}

void
ch_once_keeper_begin(struct ch_once_keeper *keeper, const char *caller,
                     const char *key, uint64_t fingerprint,
                     void (*done)(void *data,
                                  const struct ch_once_answer *answer),
                     void *data)
{
    struct world *world = keeper->world;
    g_assert_cmpstr(caller, ==, "llanelli");
    g_assert_cmpstr(key, ==, "k1");
    g_assert_cmpuint(fingerprint, !=, 0);
    pthread_mutex_lock(&world->lock);
    struct once_job *job = g_new0(struct once_job, 1);
    *job = (struct once_job){.world = world, .begun = done, .data = data};
    world->begun++;
    world->once_job = job;
    bool waits = world->once_waits;
    notify(world);
    if (!waits) {
        ch_pool_submit(world->node.pool, run_once, job);
    }
}

void
ch_once_keeper_finish(struct ch_once_keeper *keeper, const char *caller,
                      const char *key, uint64_t attempt, bool not_run,
                      int status, const char *content_type, const void *body,
                      size_t length, void (*done)(void *data, bool kept),
                      void *data)
{
    struct world *world = keeper->world;
    (void)caller;
    (void)key;
    (void)content_type;
    g_assert_cmpuint(attempt, ==, 77);
    if (!not_run) {
        g_assert_cmpint(status, ==, 200);
        g_assert_cmpmem(body, length, "whole answer", 12);
    }
    pthread_mutex_lock(&world->lock);
    world->finished += !not_run;
    world->freed += not_run;
    notify(world);
    struct once_job *job = g_new0(struct once_job, 1);
    *job = (struct once_job){.world = world, .finished = done, .data = data};
    ch_pool_submit(world->node.pool, run_once, job);
}

struct ch_config *
ch_config_keeper_current(struct ch_config_keeper *keeper)
{
    struct ch_config *config = keeper->world->config;
    return config == NULL ? NULL : ch_config_ref(config);
}

/* ---- upstreams ---- */

static void
end_call(struct held_call *call, enum ch_code code, bool may_have_run)
{
    struct ch_call_end end = {
        .code = code,
        .status = 200,
        .may_have_run = may_have_run,
    };
    call->handlers.on_end(call->data, &end);
    g_free(call);
}

static void
send_events(struct held_call *call, uint32_t upto)
{
    call->handlers.on_head(call->data, 200, "text/event-stream");
    for (uint32_t i = call->resume_from; i < upto; i++) {
        char event[64];
        (void)snprintf(event, sizeof(event), "data: {\"n\":%u}\n\n", i);
        call->handlers.on_data(call->data, event, strlen(event));
    }
}

static void
send_plain(struct held_call *call, const char *bytes)
{
    call->handlers.on_head(call->data, 200, "application/json");
    call->handlers.on_data(call->data, bytes, strlen(bytes));
}

/* Sends events until the call is cancelled. */
static void
flood(struct held_call *call)
{
    const size_t length = 65536;
    char *event = g_strnfill(length, 'x');
    bool cancelled = false;
    call->handlers.on_head(call->data, 200, "text/event-stream");
    for (unsigned i = 0; i < 100000 && !cancelled; i++) {
        call->handlers.on_data(call->data, event, length);
        pthread_mutex_lock(&call->world->lock);
        cancelled = call->cancelled;
        pthread_mutex_unlock(&call->world->lock);
    }
    g_free(event);
    g_assert_true(cancelled);
}

/* Sends the beginning of a stream, and leaves the rest to the test. */
static void
pause_call(struct held_call *call)
{
    struct world *world = call->world;
    send_events(call, 2);
    pthread_mutex_lock(&world->lock);
    world->paused[world->paused_count++] = call;
    notify(world);
}

static void
run_call(void *data)
{
    struct held_call *call = data;
    if (call->act == PAUSES && call->resume_from == 0) {
        pause_call(call);
        return;
    }
    switch (call->act) {
    case PAUSES:
    case WHOLE:
        if (call->stream) {
            send_events(call, EVENTS);
        }
        else {
            send_plain(call, "whole answer");
        }
        end_call(call, CH_OK, true);
        return;
    case CUT:
        if (call->stream) {
            send_events(call, 2);
        }
        else {
            send_plain(call, "half an");
        }
        end_call(call, CH_UPSTREAM_CUT, true);
        return;
    case SERVER_ERROR:
        call->handlers.on_head(call->data, 500, "text/plain");
        call->handlers.on_data(call->data, "the upstream's word", 19);
        end_call(call, CH_OK, true);
        return;
    case CUT_BEFORE:
        end_call(call, CH_UPSTREAM_CUT, true);
        return;
    case NO_CONNECT:
        end_call(call, CH_UPSTREAM_CONNECT, false);
        return;
    case SAYS_NOT_RUN:
        end_call(call, CH_UPSTREAM_REFUSED, false);
        return;
    case CROSSED:
        end_call(call, CH_UPSTREAM_CROSSED, true);
        return;
    case FLOODS:
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
    struct world *world = (struct world *)upstream;
    struct held_call *held = g_new0(struct held_call, 1);
    held->world = world;
    held->handlers = *handlers;
    held->data = data;
    held->stream = call->stream;
    held->resume_from = call->resume_from;
    pthread_mutex_lock(&world->lock);
    held->act = world->call_acts[MIN(world->calls, MOST_TRIES - 1)];
    world->calls++;
    world->fresh += !call->may_repeat || call->fresh;
    world->resumed_from = call->resume_from;
    world->held = held;
    bool runs = held->act != SILENT;
    notify(world);
    if (runs) {
        ch_pool_submit(world->node.pool, run_call, held);
    }
    return 1;
}

static void
upstream_cancel(struct ch_upstream *upstream, uint64_t handle)
{
    struct world *world = (struct world *)upstream;
    (void)handle;
    pthread_mutex_lock(&world->lock);
    struct held_call *held = world->held;
    held->cancelled = true;
    world->cancelled++;
    bool silent = held->act == SILENT;
    notify(world);
    if (silent) {
        ch_pool_submit(world->node.pool, run_call, held);
    }
}

/* Lets a silent call answer after all. */
static void
answer_late(struct world *world)
{
    pthread_mutex_lock(&world->lock);
    world->held->act = WHOLE;
    struct held_call *held = world->held;
    pthread_mutex_unlock(&world->lock);
    ch_pool_submit(world->node.pool, run_call, held);
}

/* ---- the world ---- */

static void
no_log(void *data, const char *line, size_t length)
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

static struct world *
world_new(void)
{
    static const struct ch_upstream_ops ops = {
        .call = upstream_call,
        .cancel = upstream_cancel,
    };
    struct world *world = g_new0(struct world, 1);
    struct ch_error error = {.code = CH_OK};
    world->upstream.ops = &ops;
    ch_client_init(&world->client, "n1");
    world->client.log_write = no_log;
    world->client.metrics = ch_metrics_new();
    world->settings = (struct ch_settings){
        .name = (char *)"n1",
        .callers = (char *)"127.0.0.1:0",
        .workers = 2,
        .max_body = 4096,
        .max_headers = 2048,
        .max_connections = 64,
        .retry_share = 0.1,
        .connect_ms = 1000,
        .first_byte_ms = 1000,
        .stall_ms = 1000,
    };
    world->homes.world = world;
    world->once.world = world;
    world->config_keeper.world = world;
    pthread_mutex_init(&world->lock, NULL);
    pthread_cond_init(&world->changed, NULL);
    struct ch_declaration *declaration =
        ch_declaration_parse(declaration_text, "test", &error);
    g_assert_nonnull(declaration);
    world->config = ch_config_new(1, "t", "a", declaration);
    world->once_answer = (struct ch_once_answer){
        .state = CH_ONCE_CREATED,
        .attempt = 77,
    };
    return world;
}

/* Opens the listener; what the fakes are to do was set before. */
static void
world_start(struct world *world)
{
    struct ch_error error = {.code = CH_OK};
    struct ch_node *node = &world->node;
    node->client = &world->client;
    node->settings = &world->settings;
    node->incarnation = 1;
    node->pool = ch_pool_new(4);
    node->timers = ch_timers_new(node->pool);
    world->homes.router.ops = &router_ops;
    node->router = &world->homes.router;
    node->once = &world->once;
    node->config = &world->config_keeper;
    node->front = ch_front_new(node, &error);
    g_assert_cmpstr(error.message, ==, "");
    world->port = ch_listener_port(node->front->listener);
}

/* Stops as a node does.  Threads are joined: the counters may be read. */
static void
world_stop(struct world *world)
{
    ch_front_stop(world->node.front);
    ch_timers_stop(world->node.timers);
    ch_pool_free(world->node.pool);
    world->node.pool = NULL;
}

/* Checks what must hold after any course, that each grant was given back once,
 * and frees all. */
static void
world_free(struct world *world)
{
    if (world->node.pool != NULL) {
        world_stop(world);
    }
    ch_timers_free(world->node.timers);
    ch_front_free(world->node.front);
    g_assert_cmpuint(world->granted, ==, world->released);
    if (world->config != NULL) {
        ch_config_unref(world->config);
    }
    ch_metrics_free(world->client.metrics);
    pthread_mutex_destroy(&world->lock);
    pthread_cond_destroy(&world->changed);
    g_free(world);
}

/* ---- the caller ---- */

static int
dial(const struct world *world)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)world->port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct timeval patience = {.tv_sec = PATIENCE_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

/* Sends a request; headers are lines that end in CR LF. */
static int
ask(const struct world *world, const char *line, const char *headers,
    const char *body)
{
    int fd = dial(world);
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: n1\r\n%s"
                                 "Connection: close\r\n"
                                 "Content-Length: %zu\r\n\r\n%s",
                                 line, headers, strlen(body), body);
    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
    g_free(text);
    return fd;
}

/* The whole answer as text, chunks as they are; closes the connection. */
static char *
hear(int fd)
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

enum asked_for {
    PLAIN,
    STREAM,
    ORDER,     /* non-idempotent, with a key */
    BARE_ORDER /* the same without */
};

static int
ask_for(const struct world *world, enum asked_for what, const char *headers)
{
    char *all = NULL;
    int fd = -1;
    switch (what) {
    case PLAIN:
    case STREAM:
        all = g_strconcat("Chestnuthitch-Caller: cardiff\r\n", headers, NULL);
        fd = ask(world, "POST /v1/completions", all,
                 what == STREAM ? stream_call : plain_call);
        break;
    default:
        all = g_strconcat("Chestnuthitch-Caller: llanelli\r\n",
                          what == ORDER ? "Idempotency-Key: k1\r\n" : "",
                          headers, NULL);
        fd = ask(world, "POST /services/orders/cut", all, "jacket");
        break;
    }
    g_free(all);
    return fd;
}

/* Every text of the list, parted by '|', is in the answer; after a '!', none
 * is. */
static void
check_texts(const char *answer, const char *list)
{
    char **texts = g_strsplit(list, "|", -1);
    for (size_t i = 0; texts[i] != NULL; i++) {
        bool absent = texts[i][0] == '!';
        const char *text = texts[i] + absent;
        if ((strstr(answer, text) != NULL) == absent) {
            g_test_message("'%s' %s in: %s", text, absent ? "is" : "is not",
                           answer);
            g_test_fail();
        }
    }
    g_strfreev(texts);
}

/* The same of an answer in our own interface, which bears an id. */
static void
check_answer(const char *answer, const char *list)
{
    check_texts(answer, list);
    g_assert_nonnull(strstr(answer, "Chestnuthitch-Request-Id: "));
}

/* ---- courses that end by themselves ---- */

struct course_case {
    const char *name;
    enum asked_for what;
    enum home_act home[MOST_TRIES];
    enum call_act call[MOST_TRIES];
    unsigned calls;
    unsigned finished;
    unsigned freed;
    const char *answer;
};

#define RAN "Chestnuthitch-Outcome: ran"
#define NOT_RUN "Chestnuthitch-Outcome: not-run"
#define UNKNOWN "Chestnuthitch-Outcome: unknown"

#define HOMES(...)                                                            \
    {                                                                         \
        __VA_ARGS__                                                           \
    }
#define CALLS(...)                                                            \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

static const struct course_case course_cases[] = {
    {"plain", PLAIN, HOMES(GRANTS), CALLS(WHOLE), 1, 0, 0,
     "HTTP/1.1 200|" RAN "|whole answer"},
    {"stream", STREAM, HOMES(GRANTS), CALLS(WHOLE), 1, 0, 0,
     "HTTP/1.1 200|" RAN "|text/event-stream|{\"n\":0}|{\"n\":4}|[DONE]"},
    {"refused by the home", PLAIN, HOMES(REFUSES), CALLS(WHOLE), 0, 0, 0,
     "HTTP/1.1 503|" NOT_RUN "|Retry-After: 2|Chestnuthitch-Code: 201|"
     "\"retry_after_ms\":1500"},
    {"no connection, then elsewhere", PLAIN, HOMES(GRANTS, GRANTS),
     CALLS(NO_CONNECT, WHOLE), 2, 0, 0, "HTTP/1.1 200|whole answer"},
    {"no connection, then refused", PLAIN, HOMES(GRANTS, REFUSES),
     CALLS(NO_CONNECT), 1, 0, 0, "HTTP/1.1 503|" NOT_RUN},
    {"cut, then refused: it may have run", PLAIN, HOMES(GRANTS, REFUSES),
     CALLS(CUT), 1, 0, 0, "HTTP/1.1 503|" UNKNOWN "|!half an"},
    {"cut, then no connection: it may have run", PLAIN,
     HOMES(GRANTS, GRANTS, GRANTS), CALLS(CUT, NO_CONNECT, NO_CONNECT), 3, 0,
     0, "HTTP/1.1 502|" UNKNOWN "|!half an"},
    {"cut, then elsewhere from the start", PLAIN, HOMES(GRANTS, GRANTS),
     CALLS(CUT, WHOLE), 2, 0, 0, "HTTP/1.1 200|whole answer|!half an"},
    {"crossed, then elsewhere", PLAIN, HOMES(GRANTS, GRANTS),
     CALLS(CROSSED, WHOLE), 2, 0, 0, "HTTP/1.1 200|whole answer"},
    {"stream cut and resumed", STREAM, HOMES(GRANTS, GRANTS),
     CALLS(CUT, WHOLE), 2, 0, 0,
     "HTTP/1.1 200|{\"n\":0}|{\"n\":1}|{\"n\":2}|{\"n\":4}|[DONE]|!error"},
    {"stream cut for good", STREAM, HOMES(GRANTS, REFUSES), CALLS(CUT), 1, 0,
     0, "HTTP/1.1 200|{\"n\":1}|!{\"n\":2}|!DONE|\"outcome\":\"unknown\""},
    {"order", ORDER, HOMES(GRANTS), CALLS(WHOLE), 1, 1, 0,
     "HTTP/1.1 200|" RAN "|whole answer"},
    {"order refused by the home", ORDER, HOMES(REFUSES), CALLS(WHOLE), 0, 0, 1,
     "HTTP/1.1 503|" NOT_RUN},
    {"order cut: never again", ORDER, HOMES(GRANTS, GRANTS), CALLS(CUT, WHOLE),
     1, 0, 0, "HTTP/1.1 502|" UNKNOWN "|!half an"},
    {"order crossed: never again", ORDER, HOMES(GRANTS, GRANTS),
     CALLS(CROSSED, WHOLE), 1, 0, 0, "HTTP/1.1 502|" UNKNOWN},
    {"order not connected, then elsewhere", ORDER, HOMES(GRANTS, GRANTS),
     CALLS(NO_CONNECT, WHOLE), 2, 1, 0, "HTTP/1.1 200|" RAN},
    {"order never connected: the key is free", ORDER,
     HOMES(GRANTS, GRANTS, GRANTS),
     CALLS(NO_CONNECT, SAYS_NOT_RUN, NO_CONNECT), 3, 0, 1,
     "HTTP/1.1 502|" NOT_RUN},
    {"order without a key", BARE_ORDER, HOMES(GRANTS), CALLS(WHOLE), 1, 0, 0,
     "HTTP/1.1 200|" RAN},
    {"order without a key: one dispatch", BARE_ORDER, HOMES(GRANTS, GRANTS),
     CALLS(NO_CONNECT, WHOLE), 1, 0, 0, "HTTP/1.1 502|" NOT_RUN},
};

/* A caller sends one request; homes and upstreams do as the row says.  It gets
 * the whole answer or an error with the true outcome, and what may have run
 * and may not run twice is never dispatched again. */
static void
test_course(gconstpointer data)
{
    const struct course_case *row = data;
    struct world *world = world_new();
    memcpy(world->home_acts, row->home, sizeof(row->home));
    memcpy(world->call_acts, row->call, sizeof(row->call));
    world_start(world);
    char *answer = hear(ask_for(world, row->what, ""));
    check_answer(answer, row->answer);
    g_free(answer);
    world_stop(world);
    g_assert_cmpuint(world->calls, ==, row->calls);
    g_assert_cmpuint(world->finished, ==, row->finished);
    g_assert_cmpuint(world->freed, ==, row->freed);
    /* All but the first try of what may be repeated are on fresh ones. */
    bool repeats = row->what == PLAIN || row->what == STREAM;
    g_assert_cmpuint(world->fresh, ==,
                     row->calls - (repeats && row->calls > 0));
    if (row->what == STREAM && row->calls == 2) {
        g_assert_cmpuint(world->resumed_from, ==, 2);
        g_assert_cmpuint(world->excluded, ==, 1);
    }
    world_free(world);
}

/* ---- streams that have begun, of classes chosen by host and path ---- */

static const char routed_text[] =
    "[class advice]\nhost = h\npath = /r/\nshares = models:1\n"
    "first-token-ms = 400\ngap-ms = 300\ntime-limit-ms = 20000\ntries = 2\n"
    "stream = true\nresumable = true\nidempotent = true\n"
    "[model m01]\nmemory-mb = 1\nservices = models\n[service models]\n";

static bool
read_headers(const struct ch_http_header *headers, size_t count,
             struct ch_request_input *input, struct ch_fault *fault)
{
    (void)headers, (void)count, (void)fault;
    input->host = "h";
    input->request_id = "r1";
    input->model = "m01";
    input->prompt_tokens = 10;
    input->output_tokens = 10;
    return true;
}

/* Puts a configuration in force whose class may be repeated or not. */
static void
set_idempotent(struct world *world, const char *value)
{
    struct ch_error error = {0};
    g_auto(GStrv) parts = g_strsplit(routed_text,
                                     "resumable = true\n"
                                     "idempotent = true",
                                     2);
    g_autofree char *text =
        g_strdup_printf("%sresumable = %s\nidempotent = %s%s", parts[0], value,
                        value, parts[1]);
    ch_config_unref(world->config);
    world->config =
        ch_config_new(1, "t", "a", ch_declaration_parse(text, "test", &error));
    g_assert_cmpstr(error.message, ==, "");
}

/* A world whose classes are chosen by host and path. */
static struct world *
routed_world(void)
{
    static const struct ch_dialect dialect = {
        .request_id_header = "Id",
        .read_headers = read_headers,
    };
    struct world *world = world_new();
    struct ch_error error = {.code = CH_OK};
    ch_config_unref(world->config);
    world->config = ch_config_new(
        1, "t", "a", ch_declaration_parse(routed_text, "test", &error));
    g_assert_cmpstr(error.message, ==, "");
    world->asks_again = true;
    world->settings.retry_slack = 54;
    world->node.dialect = &dialect;
    return world;
}

/* The tries that are left for the service's requests. */
static double
tries_left(struct world *world)
{
    struct ch_front *front = world->node.front;
    pthread_mutex_lock(&front->lock);
    double left = ch_front_budget(front, g_quark_from_string("models"))->level;
    pthread_mutex_unlock(&front->lock);
    return left;
}

enum {
    TRIES = 3, /* of a node that has had few requests */
};

static const struct {
    const char *name;
    enum home_act home[MOST_TRIES];
    enum call_act call[MOST_TRIES];
    unsigned calls;
    bool whole;
    bool bound; /* to the upstream that refused it */
} routed_cases[] = {
    {"cut, then refused as full, then whole", HOMES(GRANTS, GRANTS, GRANTS),
     CALLS(CUT, SAYS_NOT_RUN, WHOLE), 3, true, true},
    {"cut, refused twice, then whole", HOMES(GRANTS, GRANTS, GRANTS, GRANTS),
     CALLS(CUT, SAYS_NOT_RUN, SAYS_NOT_RUN, WHOLE), 4, true, true},
    {"cut, no upstream at that moment, then whole",
     HOMES(GRANTS, REFUSES, GRANTS), CALLS(CUT, WHOLE), 2, true, false},
    {"cut twice: no third upstream", HOMES(GRANTS, GRANTS, GRANTS),
     CALLS(CUT, CUT, WHOLE), 2, false, false},
};

/*
 * A golfer's report stops in the middle: its engine fell silent and was given
 * up, the engine that was asked next was full at that moment, and the answer
 * was cut though its caller would have waited for seconds.  It is asked for
 * again at the engine that refused it, which has not run it.
 */
static void
test_begun(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routed_cases); i++) {
        struct world *world = routed_world();
        g_test_message("%s", routed_cases[i].name);
        memcpy(world->home_acts, routed_cases[i].home,
               sizeof(world->home_acts));
        memcpy(world->call_acts, routed_cases[i].call,
               sizeof(world->call_acts));
        world_start(world);
        char *answer = hear(ask(world, "POST /r/1", "", ""));
        bool whole = strstr(answer, "{\"n\":4}") != NULL &&
                     g_str_has_suffix(answer, "\r\n0\r\n\r\n");
        g_test_message("%s", answer);
        g_assert_cmpint(whole, ==, routed_cases[i].whole);
        g_free(answer);
        world_stop(world);
        g_assert_cmpuint(world->calls, ==, routed_cases[i].calls);
        g_assert_cmpint(world->only != 0, ==, routed_cases[i].bound);
        g_assert_true(world->told_begun);
        world_free(world);
    }
}

static const struct {
    const char *name;
    const char *idempotent;
    enum call_act call[MOST_TRIES];
    unsigned calls;
    bool whole;
} refused_cases[] = {
    {"refused twice, then whole", "true",
     CALLS(SAYS_NOT_RUN, SAYS_NOT_RUN, WHOLE), 3, true},
    {"refused three times: no fourth upstream", "true",
     CALLS(SAYS_NOT_RUN, SAYS_NOT_RUN, SAYS_NOT_RUN, WHOLE), 3, false},
    {"refused, then cut, then whole", "true", CALLS(SAYS_NOT_RUN, CUT, WHOLE),
     3, true},
    {"given up before it began, refused, then whole", "true",
     CALLS(CROSSED, SAYS_NOT_RUN, WHOLE), 3, true},
    {"refused, then cut twice: it ran on two", "true",
     CALLS(SAYS_NOT_RUN, CUT, CUT, WHOLE), 3, false},
    {"not to run twice: refused twice, then whole", "false",
     CALLS(SAYS_NOT_RUN, SAYS_NOT_RUN, WHOLE), 3, true},
    {"not to run twice: refused, then cut", "false",
     CALLS(SAYS_NOT_RUN, CUT, WHOLE), 2, false},
};

/*
 * Guards against callers who are refused beside engines with places free: an
 * engine that had been filled by others meanwhile, or had just given up the
 * model, used up a try of the class although it ran nothing.
 */
static void
test_refused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(refused_cases); i++) {
        struct world *world = routed_world();
        g_test_message("%s", refused_cases[i].name);
        set_idempotent(world, refused_cases[i].idempotent);
        memcpy(world->call_acts, refused_cases[i].call,
               sizeof(world->call_acts));
        world_start(world);
        char *answer = hear(ask(world, "POST /r/1", "", ""));
        bool whole = strstr(answer, "{\"n\":4}") != NULL &&
                     g_str_has_suffix(answer, "\r\n0\r\n\r\n");
        g_test_message("%s", answer);
        g_assert_cmpint(whole, ==, refused_cases[i].whole);
        g_free(answer);
        world_stop(world);
        g_assert_cmpuint(world->calls, ==, refused_cases[i].calls);
        world_free(world);
    }
}

static const struct {
    const char *name;
    const char *idempotent;
    enum call_act call[MOST_TRIES];
    unsigned calls;
    const char *answer; /* has this */
} server_error_cases[] = {
    {"fails at one, another answers", "true", CALLS(SERVER_ERROR, WHOLE), 2,
     "{\"n\":4}"},
    {"fails at both", "true", CALLS(SERVER_ERROR, SERVER_ERROR), 2,
     "HTTP/1.1 500"},
    {"may not run twice", "false", CALLS(SERVER_ERROR, WHOLE), 1,
     "HTTP/1.1 500"},
};

/*
 * Guards against an upstream's own failure that is told as one of the node's:
 * a request that fails wherever it runs was tried at a second upstream, whose
 * answer was thrown away for a 502.  The last try's answer goes to the caller
 * as it is.
 */
static void
test_server_error(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(server_error_cases); i++) {
        struct world *world = routed_world();
        g_test_message("%s", server_error_cases[i].name);
        set_idempotent(world, server_error_cases[i].idempotent);
        memcpy(world->call_acts, server_error_cases[i].call,
               sizeof(world->call_acts));
        world_start(world);
        char *answer = hear(ask(world, "POST /r/1", "", ""));
        g_test_message("%s", answer);
        g_assert_nonnull(strstr(answer, server_error_cases[i].answer));
        g_assert_cmpint(strstr(answer, "HTTP/1.1 500") != NULL, ==,
                        strstr(answer, "the upstream's word") != NULL);
        g_free(answer);
        world_stop(world);
        g_assert_cmpuint(world->calls, ==, server_error_cases[i].calls);
        world_free(world);
    }
}

/*
 * Guards against an engine that goes on with a stream whose caller has left:
 * one that may not be repeated was left to run to its end, like an order, and
 * took a place that others waited for.
 */
static void
test_stream_left(void)
{
    struct world *world = routed_world();
    set_idempotent(world, "false");
    world->call_acts[0] = SILENT;
    world_start(world);
    int fd = ask(world, "POST /r/1", "", "");
    wait_for(world, &world->calls, 1);
    shutdown(fd, SHUT_RDWR);
    wait_for(world, &world->cancelled, 1);
    close(fd);
    world_free(world);
}

static const struct {
    const char *name;
    int allowed; /* questions whether it is barred that are answered with no */
    enum call_act call[MOST_TRIES];
    unsigned asked;
    unsigned calls;
    const char *answer; /* has this */
} crasher_cases[] = {
    {"barred before it came", 0, CALLS(WHOLE), 0, 0,
     "HTTP/1.1 503 Service Unavailable|Retry-After: 60.00"},
    {"barred while it waited for an upstream", 1, CALLS(WHOLE), 1, 0,
     "HTTP/1.1 503 Service Unavailable|Retry-After: 60.00"},
    {"barred when its first call failed", 2, CALLS(CROSSED, WHOLE), 1, 1,
     "HTTP/1.1 502 Bad Gateway"},
    {"barred before its second call", 3, CALLS(CROSSED, WHOLE), 1, 1,
     "HTTP/1.1 502 Bad Gateway|Retry-After: 60.00"},
    {"barred while its second call waited", 4, CALLS(CROSSED, WHOLE), 2, 1,
     "HTTP/1.1 502 Bad Gateway|Retry-After: 60.00"},
    {"not barred", MOST_QUESTIONS, CALLS(CROSSED, WHOLE), 2, 2, "{\"n\":4}"},
};

/*
 * Guards against a request that crashes upstreams and still gets to one, as it
 * was let through before it was barred: by a queue, or for another try.  Its
 * caller is told at once, and "not run" only when no upstream had it.
 */
static void
test_crasher(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(crasher_cases); i++) {
        struct world *world = routed_world();
        struct ch_crash_keeper keeper = {.allowed = crasher_cases[i].allowed};
        world->node.crashes = &keeper;
        g_test_message("%s", crasher_cases[i].name);
        memcpy(world->call_acts, crasher_cases[i].call,
               sizeof(world->call_acts));
        world_start(world);
        char *answer = hear(ask(world, "POST /r/1", "", ""));
        check_texts(answer, crasher_cases[i].answer);
        g_free(answer);
        world_stop(world);
        g_assert_cmpuint(world->asked, ==, crasher_cases[i].asked);
        g_assert_cmpuint(world->calls, ==, crasher_cases[i].calls);
        g_assert_cmpuint(world->released, ==, world->granted);
        world_free(world);
    }
}

static const struct {
    const char *name;
    enum home_act home;
    int allowed;
    unsigned calls;
    unsigned cancelled;
    unsigned withdrawn;
    const char *answer; /* has this */
} under_way_cases[] = {
    {"waits for an upstream", HOLDS_BACK, 1, 0, 0, 1,
     "HTTP/1.1 503 Service Unavailable|\"code\":208"},
    {"waits at an upstream", GRANTS, 2, 1, 1, 0,
     "HTTP/1.1 502 Bad Gateway|\"code\":208"},
    {"is not barred", GRANTS, MOST_QUESTIONS, 1, 0, 0, "{\"n\":4}"},
};

/* Guards against one more crash by a request that waits at an upstream, or for
 * one, when it is barred. */
static void
test_barred_under_way(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(under_way_cases); i++) {
        struct world *world = routed_world();
        struct ch_crash_keeper keeper = {.allowed =
                                             under_way_cases[i].allowed};
        world->node.crashes = &keeper;
        world->home_acts[0] = under_way_cases[i].home;
        world->call_acts[0] = SILENT;
        g_test_message("%s", under_way_cases[i].name);
        world_start(world);
        int fd = ask(world, "POST /r/1", "", "");
        wait_for(world, &world->asked, 1);
        wait_for(world, &world->calls, under_way_cases[i].calls);
        ch_front_drop_barred(world->node.front);
        if (under_way_cases[i].allowed == MOST_QUESTIONS) {
            answer_late(world);
        }
        char *answer = hear(fd);
        check_texts(answer, under_way_cases[i].answer);
        g_free(answer);
        world_stop(world);
        g_assert_cmpuint(world->cancelled, ==, under_way_cases[i].cancelled);
        g_assert_cmpuint(world->withdrawn, ==, under_way_cases[i].withdrawn);
        world_free(world);
    }
}

static const struct {
    const char *name;
    enum call_act call[MOST_TRIES];
    int cuts;
    int fresh;
    int whole;
} evidence_cases[] = {
    {"cut before any of the answer", CALLS(CUT_BEFORE, WHOLE), 1, 1, 1},
    {"cut in the middle", CALLS(CUT, WHOLE), 1, 0, 1},
    {"cut twice", CALLS(CUT_BEFORE, CUT), 2, 1, 0},
    {"whole at once", CALLS(WHOLE), 0, 0, 1},
    {"crossed, then whole", CALLS(CROSSED, WHOLE), 0, 0, 1},
    {"refused, then whole", CALLS(SAYS_NOT_RUN, WHOLE), 0, 0, 1},
};

/* Guards against crashes that go unnoticed, and against answers that do. */
static void
test_crash_evidence(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(evidence_cases); i++) {
        struct world *world = routed_world();
        struct ch_crash_keeper keeper = {.allowed = MOST_QUESTIONS};
        world->node.crashes = &keeper;
        g_test_message("%s", evidence_cases[i].name);
        memcpy(world->call_acts, evidence_cases[i].call,
               sizeof(world->call_acts));
        world_start(world);
        g_free(hear(ask(world, "POST /r/1", "", "")));
        world_stop(world);
        g_assert_cmpint(keeper.cuts, ==, evidence_cases[i].cuts);
        g_assert_cmpint(keeper.fresh_cuts, ==, evidence_cases[i].fresh);
        g_assert_cmpint(keeper.whole, ==, evidence_cases[i].whole);
        world_free(world);
    }
}

static const struct {
    const char *name;
    bool routed;
    int64_t deadline;
    int64_t now;
    int64_t left;
} time_cases[] = {
    {"our own interface", false, 500, 100, 0},
    {"no deadline", true, 0, 100, 0},
    {"before it", true, 500, 100, 400},
    {"at it", true, 500, 500, 1},
    {"after it", true, 500, 900, 1},
};

/* Guards against a call without a limit: leave for it came after its caller's
 * deadline, whose timer had not run yet. */
static void
test_time_left(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(time_cases); i++) {
        const struct ch_request request = {
            .routed = time_cases[i].routed,
            .deadline = time_cases[i].deadline,
        };
        g_test_message("%s", time_cases[i].name);
        g_assert_cmpint(ch_exchange_time_left(&request, time_cases[i].now), ==,
                        time_cases[i].left);
    }
}

/* Ends the calls that are silent for too long as the loop of calls out does:
 * all are asked for first, and those that are given up end after that. */
static unsigned
sweep_paused(struct world *world)
{
    bool ends[MOST_CALLERS] = {false};
    unsigned ended = 0;
    for (unsigned i = 0; i < world->paused_count; i++) {
        struct held_call *call = world->paused[i];
        ends[i] = !call->handlers.on_silent(call->data);
    }
    for (unsigned i = 0; i < world->paused_count; i++) {
        if (ends[i]) {
            end_call(world->paused[i], CH_UPSTREAM_STALLED, true);
            world->paused[i] = NULL;
            ended++;
        }
    }
    return ended;
}

/* The calls that are still waited for go on after all. */
static void
finish_paused(struct world *world)
{
    for (unsigned i = 0; i < world->paused_count; i++) {
        struct held_call *call = world->paused[i];
        if (call != NULL) {
            call->resume_from = 2;
            send_events(call, EVENTS);
            end_call(call, CH_OK, true);
        }
    }
}

/*
 * Guards against streams that are cut as more fall silent at once than there
 * are tries left: a node that stood still found all its streams silent, gave
 * all of them up for another try, and had two tries.  What can't be tried
 * elsewhere is waited for.
 */
static void
test_silent_together(void)
{
    enum {
        CALLERS = 8,
    };
    struct world *world = routed_world();
    int callers[CALLERS];
    for (size_t i = 0; i < MOST_TRIES; i++) {
        world->call_acts[i] = PAUSES;
    }
    world_start(world);
    for (size_t i = 0; i < CALLERS; i++) {
        callers[i] = ask(world, "POST /r/1", "", "");
    }
    wait_for(world, &world->paused_count, CALLERS);
    unsigned ended = sweep_paused(world);
    finish_paused(world);
    for (size_t i = 0; i < CALLERS; i++) {
        char *answer = hear(callers[i]);
        g_test_message("%s", answer);
        g_assert_nonnull(strstr(answer, "{\"n\":4}"));
        g_assert_true(g_str_has_suffix(answer, "\r\n0\r\n\r\n"));
        g_free(answer);
    }
    world_stop(world);
    g_assert_cmpuint(ended, ==, TRIES);
    g_assert_cmpuint(world->calls, ==, CALLERS + ended);
    world_free(world);
}

/*
 * Guards against tries that are drawn for nothing: a stream that waited for an
 * upstream drew one each time that it asked, although nobody had it meanwhile,
 * and the other streams of its node had none left.
 */
static void
test_try_drawn_once(void)
{
    struct world *world = routed_world();
    const enum home_act acts[MOST_TRIES] = {GRANTS, REFUSES, REFUSES, GRANTS};
    memcpy(world->home_acts, acts, sizeof(acts));
    world->call_acts[0] = CUT;
    world_start(world);
    double before = tries_left(world);
    char *answer = hear(ask(world, "POST /r/1", "", ""));
    g_assert_nonnull(strstr(answer, "{\"n\":4}"));
    g_free(answer);
    world_stop(world);
    g_assert_cmpuint(world->asked, ==, 4);
    g_assert_cmpuint(world->calls, ==, 2);
    g_assert_cmpfloat(tries_left(world), >=, before - 1);
    g_assert_cmpfloat(tries_left(world), <, before);
    world_free(world);
}

/*
 * Guards against tries that are lost: a silent call was to be given up for
 * another try, its caller left before that, and the try was in no hand.
 */
static void
test_try_given_back(void)
{
    struct world *world = routed_world();
    world->call_acts[0] = PAUSES;
    world_start(world);
    double before = tries_left(world);
    int caller = ask(world, "POST /r/1", "", "");
    wait_for(world, &world->paused_count, 1);
    struct held_call *call = world->paused[0];
    g_assert_false(call->handlers.on_silent(call->data));
    g_assert_cmpfloat(tries_left(world), <, before);
    close(caller);
    wait_for(world, &world->cancelled, 1);
    end_call(call, CH_CANCELLED, true);
    world_stop(world);
    g_assert_cmpfloat(tries_left(world), >=, before);
    g_assert_cmpuint(world->calls, ==, 1);
    world_free(world);
}

/* ---- the once record's answers ---- */

struct once_case {
    const char *name;
    struct ch_once_answer answer;
    const char *expected;
};

#define RECORD(...)                                                           \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

static const struct once_case once_cases[] = {
    {"done and kept",
     RECORD(.state = CH_ONCE_DONE, .kept = true, .status = 201,
            .content_type = "text/x", .body = "first", .length = 5),
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

/* A repeat of an order, or an order while the key-value service is away: it is
 * answered from the record, and nothing is queued or sent. */
static void
test_once(gconstpointer data)
{
    const struct once_case *row = data;
    struct world *world = world_new();
    world->once_answer = row->answer;
    world_start(world);
    char *answer = hear(ask_for(world, ORDER, ""));
    check_answer(answer, row->expected);
    g_free(answer);
    world_stop(world);
    g_assert_cmpuint(world->asked, ==, 0);
    g_assert_cmpuint(world->calls, ==, 0);
    g_assert_cmpuint(world->finished + world->freed, ==, 0);
    world_free(world);
}

/* ---- callers that give up ---- */

struct give_up_case {
    const char *name;
    enum asked_for what;
    enum home_act home;
    enum call_act call;
    bool hangs_up; /* else its deadline passes */
    bool answers_late;
    const char *answer;
    unsigned withdrawn;
    unsigned cancelled;
    unsigned finished;
    unsigned freed;
};

static const struct give_up_case give_up_cases[] = {
    {"deadline in the queue", PLAIN, HOLDS_BACK, WHOLE, false, false,
     "HTTP/1.1 504|" NOT_RUN "|\"code\":308", 1, 0, 0, 0},
    {"deadline of an order in the queue", ORDER, HOLDS_BACK, WHOLE, false,
     false, "HTTP/1.1 504|" NOT_RUN, 1, 0, 0, 1},
    {"deadline at a silent engine", PLAIN, GRANTS, SILENT, false, false,
     "HTTP/1.1 504|" UNKNOWN, 0, 1, 0, 0},
    {"deadline at a silent service", ORDER, GRANTS, SILENT, false, true,
     "HTTP/1.1 504|" UNKNOWN, 0, 0, 1, 0},
    {"hang-up in the queue", PLAIN, HOLDS_BACK, WHOLE, true, false, NULL, 1, 0,
     0, 0},
    {"hang-up at a silent engine", STREAM, GRANTS, SILENT, true, false, NULL,
     0, 1, 0, 0},
    {"hang-up at a silent service", ORDER, GRANTS, SILENT, true, true, NULL, 0,
     0, 1, 0},
    {"reads nothing of a long stream", STREAM, GRANTS, FLOODS, false, false,
     NULL, 0, 1, 0, 0},
};

/*
 * A caller hangs up, stops reading, or its deadline passes, while its request
 * waits at a home or is silent at an upstream.  It is told at once; the place
 * in the queue is given up and the idempotent call cancelled.  An order that
 * is out runs to its end, and its answer is kept for the repeat.
 */
static void
test_give_up(gconstpointer data)
{
    const struct give_up_case *row = data;
    struct world *world = world_new();
    world->home_acts[0] = row->home;
    world->call_acts[0] = row->call;
    world_start(world);
    bool waits = row->answer != NULL;
    int fd = ask_for(world, row->what,
                     waits ? "Chestnuthitch-Deadline-Ms: 60\r\n" : "");
    if (waits) {
        char *answer = hear(fd);
        check_answer(answer, row->answer);
        g_free(answer);
        fd = -1;
    }
    else if (row->hangs_up) {
        wait_for(world, row->home == GRANTS ? &world->calls : &world->asked,
                 1);
        shutdown(fd, SHUT_RDWR);
    }
    if (row->answers_late) {
        wait_for(world, &world->calls, 1);
        answer_late(world);
    }
    wait_for(world, &world->withdrawn, row->withdrawn);
    wait_for(world, &world->cancelled, row->cancelled);
    wait_for(world, &world->finished, row->finished);
    wait_for(world, &world->freed, row->freed);
    if (fd >= 0) {
        close(fd);
    }
    world_free(world);
}

static const struct {
    const char *name;
    enum asked_for what;
    enum home_act home;
    enum call_act call;
    const char *answer;
    unsigned cancelled;
} cut_cases[] = {
    {"in the queue", PLAIN, HOLDS_BACK, WHOLE,
     "HTTP/1.1 503|" NOT_RUN "|\"code\":204", 0},
    {"at a silent engine", PLAIN, GRANTS, SILENT,
     "HTTP/1.1 503|" UNKNOWN "|\"code\":204", 1},
    {"an order at a silent service", BARE_ORDER, GRANTS, SILENT,
     "HTTP/1.1 503|" UNKNOWN "|\"code\":204", 1},
};

/*
 * A node is asked to stop while an upstream hangs.  The stop waited for the
 * upstream; the platform killed the process at the end of its grace, the
 * caller's connection was reset, and the entry and the rights of the node
 * stood until they lapsed.  Now the caller is told before that, and the stop
 * goes on.
 */
static void
test_cut_by_stop(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cut_cases); i++) {
        struct world *world = world_new();
        g_test_message("%s", cut_cases[i].name);
        world->settings.grace_ms = 600;
        world->home_acts[0] = cut_cases[i].home;
        world->call_acts[0] = cut_cases[i].call;
        world_start(world);
        int fd = ask_for(world, cut_cases[i].what, "");
        wait_for(world,
                 cut_cases[i].home == GRANTS ? &world->calls : &world->asked,
                 1);
        int64_t began = g_get_monotonic_time();
        world_stop(world);
        g_assert_cmpint(g_get_monotonic_time() - began, >=, 250000);
        char *answer = hear(fd);
        check_answer(answer, cut_cases[i].answer);
        g_assert_cmpuint(world->cancelled, ==, cut_cases[i].cancelled);
        g_free(answer);
        world_free(world);
    }
}

/*
 * An order whose record can't be had in time: the key-value service is slow.
 * Nothing was sent, but an earlier try with the key may have run, so that the
 * caller is not told "not-run".  The record that comes late is given back.
 */
static void
test_once_late(void)
{
    struct world *world = world_new();
    world->once_waits = true;
    world_start(world);
    char *answer =
        hear(ask_for(world, ORDER, "Chestnuthitch-Deadline-Ms: 60\r\n"));
    check_answer(answer, "HTTP/1.1 504|" UNKNOWN "|\"code\":308");
    g_free(answer);
    pthread_mutex_lock(&world->lock);
    struct once_job *job = world->once_job;
    pthread_mutex_unlock(&world->lock);
    ch_pool_submit(world->node.pool, run_once, job);
    wait_for(world, &world->freed, 1);
    world_stop(world);
    g_assert_cmpuint(world->asked, ==, 0);
    world_free(world);
}

/* ---- requests that go no further ---- */

struct bounds_case {
    const char *name;
    const char *text; /* %s: 5,000 letters */
    const char *answer;
};

#define SIXTY "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefgh"
#define LETTERS SIXTY SIXTY SIXTY SIXTY SIXTY
#define POST "POST /v1/completions HTTP/1.1\r\nHost: n1\r\n"

static const struct bounds_case bounds_cases[] = {
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
test_bounds(gconstpointer data)
{
    const struct bounds_case *row = data;
    struct world *world = world_new();
    world_start(world);
    char *letters = g_strnfill(5000, 'a');
    char **parts = g_strsplit(row->text, "%s", 2);
    char *text =
        g_strconcat(parts[0], parts[1] == NULL ? "" : letters, parts[1], NULL);
    int fd = dial(world);
    ssize_t sent = send(fd, text, strlen(text), MSG_NOSIGNAL);
    g_assert_cmpint(sent, ==, (ssize_t)strlen(text));
    char *answer = hear(fd);
    check_answer(answer, row->answer);
    g_free(answer);
    world_stop(world);
    g_assert_cmpuint(world->asked, ==, 0);
    g_free(letters);
    g_free(text);
    g_strfreev(parts);
    world_free(world);
}

/* A body that ends before its stated length, and a head that does: nothing of
 * it goes on, and the node does not wait for the rest when it stops. */
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
        struct world *world = world_new();
        world_start(world);
        int fd = dial(world);
        ssize_t sent = send(fd, texts[i], strlen(texts[i]), MSG_NOSIGNAL);
        g_assert_cmpint(sent, ==, (ssize_t)strlen(texts[i]));
        close(fd);
        world_free(world);
    }
}

/* More callers than the node has connections for: those over the limit are
 * closed at once, the others are served as ever. */
static void
test_full(void)
{
    struct world *world = world_new();
    int fds[MOST_CALLERS + 1];
    char byte = 0;
    world->settings.max_connections = MOST_CALLERS;
    world_start(world);
    for (unsigned i = 0; i <= MOST_CALLERS; i++) {
        fds[i] = dial(world);
    }
    g_assert_cmpint(recv(fds[MOST_CALLERS], &byte, 1, 0), <=, 0);
    close(fds[MOST_CALLERS]);
    for (unsigned i = 0; i < MOST_CALLERS; i++) {
        static const char text[] =
            "GET /healthz HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n";
        ssize_t sent = send(fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL);
        g_assert_cmpint(sent, ==, (ssize_t)sizeof(text) - 1);
        char *answer = hear(fds[i]);
        check_answer(answer, "HTTP/1.1 200|ok");
        g_free(answer);
    }
    world_free(world);
}

/* ---- starting and stopping ---- */

static void
test_not_ready(void)
{
    struct world *world = world_new();
    ch_config_unref(world->config);
    world->config = NULL;
    world_start(world);
    char *answer = hear(ask_for(world, PLAIN, ""));
    check_answer(answer, "HTTP/1.1 503|" NOT_RUN "|\"code\":205|Retry-After");
    g_free(answer);
    answer = hear(ask(world, "GET /readyz", "", ""));
    check_answer(answer, "HTTP/1.1 503|\"ready\":false");
    g_free(answer);
    answer = hear(ask(world, "GET /healthz", "", ""));
    check_answer(answer, "HTTP/1.1 200|ok");
    g_free(answer);
    world_free(world);
}

static void *
run_stop(void *data)
{
    struct world *world = data;
    world_stop(world);
    return NULL;
}

/*
 * SIGTERM while a request is at an engine and another comes in.  The node is
 * no longer ready, the new one is refused with when to come back, and the one
 * that was accepted gets its whole answer before the stop returns.
 */
static void
test_stop(void)
{
    struct world *world = world_new();
    pthread_t stopper;
    world->call_acts[0] = SILENT;
    world_start(world);
    int accepted = ask_for(world, PLAIN, "");
    wait_for(world, &world->calls, 1);
    pthread_create(&stopper, NULL, run_stop, world);
    char *answer = NULL;
    for (unsigned i = 0; i < 2000; i++) {
        g_free(answer);
        answer = hear(ask(world, "GET /readyz", "", ""));
        if (strstr(answer, "HTTP/1.1 503") != NULL) {
            break;
        }
    }
    check_answer(answer, "HTTP/1.1 503|Connection: close");
    g_free(answer);
    g_assert_false(ch_node_ready(&world->node));
    for (unsigned i = 0; i < 2000; i++) {
        answer = hear(ask(world, "POST /v1/completions", "", ""));
        if (strstr(answer, "\"code\":204") != NULL) {
            break;
        }
        g_free(answer);
        answer = NULL;
    }
    check_answer(answer,
                 "HTTP/1.1 503|" NOT_RUN "|Retry-After: 1|Connection: close");
    g_free(answer);
    answer_late(world);
    answer = hear(accepted);
    check_answer(answer, "HTTP/1.1 200|whole answer");
    g_free(answer);
    pthread_join(stopper, NULL);
    world_free(world);
}

/* Adds a test for each row of a table. */
#define ADD_TABLE(prefix, table, test)                                        \
    for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {                        \
        char *path = g_strconcat(prefix, (table)[i].name, NULL);              \
        g_test_add_data_func(path, &(table)[i], test);                        \
        g_free(path);                                                         \
    }

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD_TABLE("/exchange/course/", course_cases, test_course)
    ADD_TABLE("/exchange/once/", once_cases, test_once)
    ADD_TABLE("/exchange/give up/", give_up_cases, test_give_up)
    ADD_TABLE("/exchange/bounds/", bounds_cases, test_bounds)
    g_test_add_func("/exchange/begun", test_begun);
    g_test_add_func("/exchange/time-left", test_time_left);
    g_test_add_func("/exchange/refused", test_refused);
    g_test_add_func("/exchange/server-error", test_server_error);
    g_test_add_func("/exchange/stream-left", test_stream_left);
    g_test_add_func("/exchange/crasher", test_crasher);
    g_test_add_func("/exchange/barred-under-way", test_barred_under_way);
    g_test_add_func("/exchange/crash-evidence", test_crash_evidence);
    g_test_add_func("/exchange/silent-together", test_silent_together);
    g_test_add_func("/exchange/try-drawn-once", test_try_drawn_once);
    g_test_add_func("/exchange/try-given-back", test_try_given_back);
    g_test_add_func("/exchange/cut-by-stop", test_cut_by_stop);
    g_test_add_func("/exchange/once late", test_once_late);
    g_test_add_func("/exchange/truncated", test_truncated);
    g_test_add_func("/exchange/full", test_full);
    g_test_add_func("/exchange/not ready", test_not_ready);
    g_test_add_func("/exchange/stop", test_stop);
    return g_test_run();
}
