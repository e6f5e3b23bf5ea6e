/* Tests the operators' listener over real connections, with fakes of the
 * node's other components: the response to each call, and that no pending call
 * is aborted by a stop. */

#include "node/node.h"
#include "threaded/fake_crashes.h"
#include "threaded/fake_limits.h"
#include "threaded/fake_paths.h"
#include "threaded/fake_quota.h"
#include "threaded/fake_streams.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <pthread.h>
#include <semaphore.h>
#include <string.h>

#define TEXT "[class c]\nanswer-ms = 1\nidempotent = true\nmodels = *\n\n"

/* ---- fakes of the node's other components ---- */

/* A fake configuration manager: its results, and the arguments of the last
 * change. */
struct ch_config_manager {
    pthread_mutex_t lock; /* protects the members below */
    enum ch_code code;
    bool known;
    bool ready;
    uint64_t base;
    char author[80];
    pthread_t thread;
    bool threaded;
    int asked;   /* by g_atomic_int: a change has arrived */
    sem_t *gate; /* NULL: answers at once; otherwise waits for the semaphore */
    char *text;
    void (*done)(void *data, const struct ch_error *error,
                 struct ch_config *config);
    void *data;
};

/* A configuration of revision 7, with one reference. */
static struct ch_config *
make_config(void)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration =
        ch_declaration_parse(TEXT, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    return ch_config_new(7, "token-7", "ann", declaration);
}

/* Fake: returns revision 7, or none. */
struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    bool known = manager->known;
    pthread_mutex_unlock(&manager->lock);
    return known ? make_config() : NULL;
}

/* Answers with the case's code, after the gate. */
static void *
run_apply(void *data)
{
    struct ch_config_manager *manager = data;
    pthread_mutex_lock(&manager->lock);
    enum ch_code code = manager->code;
    sem_t *gate = manager->gate;
    pthread_mutex_unlock(&manager->lock);
    if (gate != NULL) {
        sem_wait(gate);
    }
    struct ch_error error = {0};
    struct ch_config *config = NULL;
    if (code != CH_OK) {
        ch_error_set(&error, code, "as the case says");
    }
    if (code == CH_OK || code == CH_KV_CONFLICT) {
        config = make_config();
    }
    manager->done(manager->data, &error, config);
    ch_config_unref(config);
    return NULL;
}

/* Fake: answers from a thread of its own, as the real manager does from the
 * pool. */
void
ch_config_manager_apply(struct ch_config_manager *manager, const char *text,
                        const char *author, uint64_t base,
                        void (*done)(void *data, const struct ch_error *error,
                                     struct ch_config *config),
                        void *data)
{
    pthread_mutex_lock(&manager->lock);
    g_free(manager->text);
    manager->text = g_strdup(text);
    manager->base = base;
    (void)g_strlcpy(manager->author, author, sizeof(manager->author));
    manager->done = done;
    manager->data = data;
    manager->threaded = true;
    g_assert_cmpint(pthread_create(&manager->thread, NULL, run_apply, manager),
                    ==, 0);
    pthread_mutex_unlock(&manager->lock);
}

bool
ch_node_is_ready(struct ch_node *node)
{
    pthread_mutex_lock(&node->config->lock);
    bool ready = node->config->ready;
    pthread_mutex_unlock(&node->config->lock);
    return ready;
}

static bool
router_ready(struct ch_router *router)
{
    (void)router;
    return true;
}

/* Fake status of the peers. */
void
ch_peers_write_status(struct ch_peers *peers, JsonBuilder *builder)
{
    (void)peers;
    json_builder_set_member_name(builder, "nodes");
    json_builder_add_int_value(builder, 1);
}

/* There is no front end. */
void
ch_frontend_write_status(struct ch_frontend *frontend, JsonBuilder *builder)
{
    (void)frontend, (void)builder;
}

static void
router_status(struct ch_router *router, JsonBuilder *builder)
{
    (void)router;
    json_builder_set_member_name(builder, "upstreams");
    json_builder_add_int_value(builder, 2);
}

static const struct ch_router_ops router_ops = {
    .is_ready = router_ready,
    .write_status = router_status,
};

/* ---- a listener and calls to it ---- */

struct fixture {
    struct ch_client client;
    struct ch_settings *settings;
    struct ch_config_manager manager;
    struct ch_router router;
    struct ch_node node;
    struct ch_admin *admin;
    GString *log;
    char *url; /* http://ip:port */
};

/* Stores a log line. */
static void
store_line(void *data, const char *line, size_t length)
{
    g_string_append_len(data, line, (gssize)length);
}

/* Sets the fakes' results. */
static void
set_fakes(struct fixture *fixture, bool known, bool ready, enum ch_code code,
          sem_t *gate)
{
    pthread_mutex_lock(&fixture->manager.lock);
    fixture->manager.known = known;
    fixture->manager.ready = ready;
    fixture->manager.code = code;
    fixture->manager.gate = gate;
    pthread_mutex_unlock(&fixture->manager.lock);
}

/* Starts a listener on a port that the kernel chooses; the port is read from
 * the log. */
static void
set_up(struct fixture *fixture)
{
    struct ch_error error = {0};
    *fixture = (struct fixture){0};
    pthread_mutex_init(&fixture->manager.lock, NULL);
    fixture->log = g_string_new(NULL);
    fixture->settings = ch_settings_parse(
        "[node]\nname = n1\nregion = r\ndata-centre = d\n[listen]\n"
        "callers = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
        "[platform]\nkv = 127.0.0.1:1\nhosts = 127.0.0.1:1\n"
        "[policy]\nseveral-victims = off\n",
        "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    ch_client_init(&fixture->client, "n1");
    fixture->client.log_write = store_line;
    fixture->client.log_data = fixture->log;
    fixture->client.metrics = ch_metrics_new();
    set_fakes(fixture, true, true, CH_OK, NULL);
    fixture->node.client = &fixture->client;
    fixture->node.settings = fixture->settings;
    fixture->node.config = &fixture->manager;
    fixture->router.ops = &router_ops;
    fixture->node.router = &fixture->router;
    fixture->admin = ch_admin_new(&fixture->node, &error);
    g_assert_cmpstr(error.message, ==, "");
    const char *address_start = strstr(fixture->log->str, "\"admin\":\"");
    g_assert_nonnull(address_start);
    char **parts = g_strsplit(address_start, "\"", 5);
    fixture->url = g_strconcat("http://", parts[3], NULL);
    g_strfreev(parts);
}

/* Joins the fake manager's thread; false when the manager was not called. */
static bool
join_manager(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->manager.lock);
    bool threaded = fixture->manager.threaded;
    fixture->manager.threaded = false;
    pthread_t thread = fixture->manager.thread;
    pthread_mutex_unlock(&fixture->manager.lock);
    if (threaded) {
        pthread_join(thread, NULL);
    }
    return threaded;
}

/* True once the fake manager was called. */
static bool
is_called(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->manager.lock);
    bool called = fixture->manager.threaded;
    pthread_mutex_unlock(&fixture->manager.lock);
    return called;
}

static void
tear_down(struct fixture *fixture)
{
    ch_admin_free(fixture->admin);
    (void)join_manager(fixture);
    pthread_mutex_destroy(&fixture->manager.lock);
    ch_settings_free(fixture->settings);
    ch_metrics_free(fixture->client.metrics);
    g_string_free(fixture->log, TRUE);
    g_free(fixture->manager.text);
    g_free(fixture->url);
}

/* Collects the body of a response. */
static size_t
store_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

/* Makes a call and returns the status, 0 when the connection was closed early.
 * body NULL: no body. */
static long
call(const struct fixture *fixture, const char *method, const char *path,
     const char *body, GString *response)
{
    CURL *curl = curl_easy_init();
    char *url = g_strconcat(fixture->url, path, NULL);
    long status = 0;
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, store_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return status;
}

/* ---- test cases ---- */

#define DIGEST(last) "0000000000000000000000000000000" last

struct call_case {
    const char *method;
    const char *path;
    const char *body;
    long status;
    const char *part; /* of the response */
};

static const struct call_case simple_cases[] = {
    {"GET", "/healthz", NULL, 200, "alive"},
    {"GET", "/readyz", NULL, 200, "ready"},
    {"GET", "/metrics", NULL, 200, "\nchestnuthitch_requests_total 0\n"},
    {"GET", "/admin/v1/config", NULL, 200, "\"revision\":7"},
    {"GET", "/admin/v1/status", NULL, 200, "\"revision\":7"},
    {"GET", "/admin/v1/status", NULL, 200, "\"nodes\":1"},
    {"GET", "/admin/v1/status", NULL, 200, "\"upstreams\":2"},
    {"GET", "/admin/v1/status", NULL, 200,
     "\"policy\":{\"whole-fleet\":\"on\",\"several-victims\":\"off\","},
    {"GET", "/nothing", NULL, 404, "UNKNOWN_PATH"},
    {"DELETE", "/admin/v1/config", NULL, 405, "BAD_METHOD"},
    {"POST", "/admin/v1/status", "x", 405, "BAD_METHOD"},
    {"POST", "/admin/v1/config?author=ann", TEXT, 400, "base: "},
    {"POST", "/admin/v1/config?base=x&author=ann", TEXT, 400, "base: "},
    {"POST", "/admin/v1/config?base=-1&author=ann", TEXT, 400, "base: "},
    {"POST", "/admin/v1/config?base=1", TEXT, 400, "author: "},
    {"POST", "/admin/v1/config?base=1&author=a%2Fb", TEXT, 400, "author: "},
    {"POST", "/admin/v1/release", "", 400, "digest: "},
    {"POST", "/admin/v1/release?digest=12", "", 400, "digest: "},
    {"POST", "/admin/v1/release?digest=" DIGEST("1"), "", 404,
     "UNKNOWN_REQUEST"},
    {"POST", "/admin/v1/release?digest=" DIGEST("0"), "", 200, "released"},
    {"GET", "/admin/v1/release", NULL, 405, "BAD_METHOD"},
    {"GET", "/admin/v1/status", NULL, 200, "\"crash_suspects\":[]"},
};

/* Calls that need no configuration manager, and invalid input that must not
 * reach the manager. */
static void
test_simple_calls(void)
{
    struct fixture fixture;
    set_up(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(simple_cases); i++) {
        const struct call_case *row = &simple_cases[i];
        GString *response = g_string_new(NULL);
        long status =
            call(&fixture, row->method, row->path, row->body, response);
        g_test_message("%s %s: %ld %s", row->method, row->path, status,
                       response->str);
        g_assert_cmpint(status, ==, row->status);
        g_assert_nonnull(strstr(response->str, row->part));
        g_string_free(response, TRUE);
    }
    g_assert_false(is_called(&fixture));
    tear_down(&fixture);
}

/* A node that is not ready gives the reason; without a configuration, GET
 * config answers 404. */
static void
test_not_ready(void)
{
    struct fixture fixture;
    GString *response = g_string_new(NULL);
    set_up(&fixture);
    set_fakes(&fixture, true, false, CH_OK, NULL);
    g_assert_cmpint(call(&fixture, "GET", "/readyz", NULL, response), ==, 503);
    g_assert_nonnull(strstr(response->str, "STOPPING"));
    set_fakes(&fixture, false, false, CH_OK, NULL);
    g_assert_cmpint(call(&fixture, "GET", "/readyz", NULL, response), ==, 503);
    g_assert_nonnull(strstr(response->str, "NOT_READY"));
    g_assert_cmpint(call(&fixture, "GET", "/admin/v1/config", NULL, response),
                    ==, 404);
    g_string_free(response, TRUE);
    tear_down(&fixture);
}

struct apply_case {
    enum ch_code code;
    long status;
    const char *part;
};

static const struct apply_case apply_cases[] = {
    {CH_OK, 200, "\"revision\":7"},
    {CH_KV_CONFLICT, 409, "\"config\":{\"revision\":7"},
    {CH_KV_CONFLICT, 409, "\"author\":\"ann\""},
    {CH_KV_UNREACHABLE, 503, "\"outcome\":\"not-run\""},
    {CH_KV_AMBIGUOUS, 503, "\"outcome\":\"unknown\""},
    {CH_BAD_VALUE, 400, "as the case says"},
};

/* The manager's results as the operator receives them, and the arguments that
 * the manager got. */
static void
test_apply(void)
{
    struct fixture fixture;
    set_up(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(apply_cases); i++) {
        GString *response = g_string_new(NULL);
        set_fakes(&fixture, true, true, apply_cases[i].code, NULL);
        long status =
            call(&fixture, "POST", "/admin/v1/config?base=6&author=bob", TEXT,
                 response);
        g_test_message("%ld %s", status, response->str);
        g_assert_true(join_manager(&fixture));
        g_assert_cmpint(status, ==, apply_cases[i].status);
        g_assert_nonnull(strstr(response->str, apply_cases[i].part));
        g_assert_cmpstr(fixture.manager.text, ==, TEXT);
        g_assert_cmpstr(fixture.manager.author, ==, "bob");
        g_assert_cmpuint(fixture.manager.base, ==, 6);
        g_string_free(response, TRUE);
    }
    tear_down(&fixture);
}

/* A body over the limit is read to its end, then refused with the reason. */
static void
test_too_large(void)
{
    struct fixture fixture;
    GString *response = g_string_new(NULL);
    char *body = g_strnfill((gsize)2 << 20, '#');
    set_up(&fixture);
    g_assert_cmpint(call(&fixture, "POST",
                         "/admin/v1/config?base=6&author=bob", body, response),
                    ==, 413);
    g_assert_nonnull(strstr(response->str, "BODY_TOO_LARGE"));
    g_assert_false(is_called(&fixture));
    g_free(body);
    g_string_free(response, TRUE);
    tear_down(&fixture);
}

struct operator_call {
    const struct fixture *fixture;
    long status;
};

/* An operator's change while the node is told to stop. */
static void *
apply_during_stop(void *data)
{
    struct operator_call *operator_call = data;
    GString *response = g_string_new(NULL);
    operator_call->status =
        call(operator_call->fixture, "POST",
             "/admin/v1/config?base=6&author=bob", TEXT, response);
    g_string_free(response, TRUE);
    return NULL;
}

/* Opens the gate 50 ms later, after the stop has begun. */
static void *
open_gate(void *data)
{
    g_usleep(50000);
    sem_post(data);
    return NULL;
}

/*
 * The node is stopped while an operator's configuration change is pending. The
 * stop must wait for the key-value store's result, and the operator must get
 * it: otherwise the connection would be closed, and the operator would not
 * know whether the configuration is in force.
 */
static void
test_stop_waits(void)
{
    struct fixture fixture;
    sem_t gate;
    pthread_t operator_thread;
    pthread_t gate_thread;
    sem_init(&gate, 0, 0);
    set_up(&fixture);
    set_fakes(&fixture, true, true, CH_OK, &gate);
    struct operator_call operator_call = {&fixture, 0};
    g_assert_cmpint(pthread_create(&operator_thread, NULL, apply_during_stop,
                                   &operator_call),
                    ==, 0);
    while (!is_called(&fixture)) {
        g_usleep(1000);
    }
    g_assert_cmpint(pthread_create(&gate_thread, NULL, open_gate, &gate), ==,
                    0);
    ch_admin_stop(fixture.admin);
    pthread_join(operator_thread, NULL);
    pthread_join(gate_thread, NULL);
    g_assert_cmpint(operator_call.status, ==, 200);
    tear_down(&fixture);
    sem_destroy(&gate);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/admin/plain", test_simple_calls);
    g_test_add_func("/admin/unready", test_not_ready);
    g_test_add_func("/admin/apply", test_apply);
    g_test_add_func("/admin/too-large", test_too_large);
    g_test_add_func("/admin/stop-waits", test_stop_waits);
    int result = g_test_run();
    curl_global_cleanup();
    return result;
}
