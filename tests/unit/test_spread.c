/*
 * How a configuration spreads between nodes: from which node it is pulled and
 * when, and that it arrives unchanged. The peers are fakes, on a clock that
 * the cases set.
 */

#include "node/compress.h"
#include "node/dialect.h"
#include "node/node.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    START_US = 100 * G_USEC_PER_SEC,
    US_PER_MS = 1000,
    MAX_BYTES = 100 * 1000,
};

static const char text[] = "[class c]\nhost = h\npath = /x/\n"
                           "shares = s:1\nanswer-ms = 1000\n[service s]\n";

/* The environment of the configuration keeper under test: what it is told, and
 * what it asked of other nodes. */
static struct {
    int64_t now;
    bool is_local;
    const char *entry_node;
    const char *watcher_node;
    void (*pull)(void *data, const Chestnuthitch__Wire__Frame *frame);
    void (*push)(void *data, const Chestnuthitch__Wire__Frame *frame);
    unsigned requests;
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
    GByteArray *packed; /* compressed text of the latest reply */
    unsigned lines;     /* log lines */
} environment;

bool
ch_peers_is_same_region(struct ch_peers *peers, const char *name)
{
    (void)peers, (void)name;
    return environment.is_local;
}

bool
ch_peers_has_role(struct ch_peers *peers, const char *role, unsigned count,
                  const char *region)
{
    (void)peers, (void)role, (void)count;
    return strcmp(region == NULL ? environment.watcher_node
                                 : environment.entry_node,
                  "n1") == 0;
}

bool
ch_peers_has_list(struct ch_peers *peers)
{
    (void)peers;
    return true;
}

char **
ch_peers_list_live(struct ch_peers *peers)
{
    (void)peers;
    return g_strdupv((char *[]){"n1", NULL});
}

void
ch_peers_send(struct ch_peers *peers, const char *to,
              Chestnuthitch__Wire__Frame *frame)
{
    (void)peers, (void)to, (void)frame;
}

uint64_t
ch_peers_request(struct ch_peers *peers, const char *to,
                 Chestnuthitch__Wire__Frame *frame, int64_t limit,
                 void (*done)(void *data, enum ch_code code,
                              const Chestnuthitch__Wire__Frame *reply),
                 void *data)
{
    (void)peers, (void)to, (void)frame, (void)limit;
    environment.requests++;
    environment.done = done;
    environment.data = data;
    return environment.requests;
}

bool
ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
               Chestnuthitch__Wire__Frame *frame)
{
    (void)peers, (void)to, (void)id;
    g_assert_cmpint(frame->body_case, ==, WIRE(FRAME__BODY_CONFIG_PUSH));
    g_byte_array_set_size(environment.packed, 0);
    g_byte_array_append(environment.packed, frame->config_push->packed.data,
                        (guint)frame->config_push->packed.len);
    return true;
}

void
ch_peers_set_handler(struct ch_peers *peers,
                     Chestnuthitch__Wire__Frame__BodyCase body,
                     void (*handle)(void *data,
                                    const Chestnuthitch__Wire__Frame *frame),
                     void *data)
{
    (void)peers, (void)data;
    if (body == WIRE(FRAME__BODY_CONFIG_PULL)) {
        environment.pull = handle;
    }
    else {
        environment.push = handle;
    }
}

static int64_t
fake_now(void *data)
{
    (void)data;
    return environment.now;
}

/* Counts log lines instead of writing them. */
static void
count_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
    environment.lines++;
}

/* Initialises a node with a configuration keeper that has revision 5. */
static void
node_init(struct ch_node *node, struct ch_client *client,
          struct ch_settings *settings)
{
    ch_client_init(client, "n1");
    client->now = fake_now;
    client->log_write = count_line;
    *settings = (struct ch_settings){.name = "n1", .region = "r1"};
    *node = (struct ch_node){.client = client, .settings = settings};
    environment.now = START_US;
    environment.requests = 0;
    environment.watcher_node = "other";
    environment.packed = g_byte_array_new();
    node->config = ch_config_manager_new(node);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    push.revision = 5;
    push.text = (char *)text;
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    environment.push(node->config, &frame);
}

static void
node_clear(struct ch_node *node)
{
    ch_config_manager_free(node->config);
    g_byte_array_free(environment.packed, TRUE);
}

/* ---- from which node, and when ---- */

static const struct {
    const char *what;
    bool is_local;
    bool entry_node;
    unsigned pulls; /* pulls in total, none of which got a reply */
    uint64_t revision;
    int waited_ms; /* milliseconds since a message first carried it */
} pull_cases[] = {
    {"a node of this region has it", true, false, 1, 6, 0},
    {"it is known", true, false, 0, 5, 0},
    {"a node of another region has it", false, false, 0, 6, 0},
    {"a node of another region, and none of this one for long", false, false,
     1, 6, 700},
    {"a node of another region, at an entry node", false, true, 1, 6, 0},
    {"the first does not reply yet", true, false, 1, 6, 300},
    {"the first does not reply for long", true, false, 2, 6, 600},
};

/*
 * Guards against two faults of pulls. A change of some thousand paths was in
 * force in one region, and callers in the other were told for seconds that its
 * paths are unknown: every node there pulled its own copy over the link
 * between the regions, and the copies filled the link. A paused node delayed
 * the only pull of the nodes that had asked it.
 */
static void
test_pulls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pull_cases); i++) {
        struct ch_node node;
        struct ch_client client;
        struct ch_settings settings;
        g_test_message("%s", pull_cases[i].what);
        node_init(&node, &client, &settings);
        environment.is_local = pull_cases[i].is_local;
        environment.entry_node = pull_cases[i].entry_node ? "n1" : "other";
        ch_config_manager_note_revision(node.config, pull_cases[i].revision,
                                        "n2");
        environment.now += (int64_t)pull_cases[i].waited_ms * US_PER_MS;
        ch_config_manager_note_revision(node.config, pull_cases[i].revision,
                                        "n3");
        g_assert_cmpuint(environment.requests, ==, pull_cases[i].pulls);
        for (unsigned j = 0; j < environment.requests; j++) {
            environment.done(environment.data, CH_PEER_TIMEOUT, NULL);
        }
        node_clear(&node);
    }
}

/* ---- what arrives ---- */

/* What one node compresses for another is in force there unchanged. */
static void
test_arrives_unchanged(void)
{
    struct ch_node node;
    struct ch_client client;
    struct ch_settings settings;
    node_init(&node, &client, &settings);
    struct ch_config *first = ch_config_manager_get_current(node.config);
    Chestnuthitch__Wire__ConfigPull pull = WIRE(CONFIG_PULL__INIT);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PULL);
    frame.config_pull = &pull;
    environment.pull(node.config, &frame);
    environment.is_local = true;
    g_assert_false(ch_config_manager_is_behind(node.config));
    ch_config_manager_note_revision(node.config, 6, "n2");
    g_assert_true(ch_config_manager_is_behind(node.config));
    push.revision = 6;
    push.packed.data = environment.packed->data;
    push.packed.len = environment.packed->len;
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    environment.done(environment.data, CH_OK, &frame);
    struct ch_config *config = ch_config_manager_get_current(node.config);
    g_assert_cmpuint(config->revision, ==, 6);
    g_assert_false(ch_config_manager_is_behind(node.config));
    g_assert_cmpstr(config->declaration->canonical_text, ==,
                    first->declaration->canonical_text);
    ch_config_unref(first);
    ch_config_unref(config);
    node_clear(&node);
}

/* A copy that is not above the revision in force isn't even decompressed: a
 * damaged copy is logged only if it could have come into force. */
static void
test_not_needed(void)
{
    static const struct {
        uint64_t revision;
        unsigned lines;
    } push_cases[] = {{4, 0}, {5, 0}, {6, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(push_cases); i++) {
        struct ch_node node;
        struct ch_client client;
        struct ch_settings settings;
        Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        node_init(&node, &client, &settings);
        environment.lines = 0;
        push.revision = push_cases[i].revision;
        push.packed.data = (uint8_t *)(uintptr_t)text;
        push.packed.len = strlen(text);
        frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
        frame.config_push = &push;
        environment.push(node.config, &frame);
        g_assert_cmpuint(environment.lines, ==, push_cases[i].lines);
        struct ch_config *config = ch_config_manager_get_current(node.config);
        g_assert_cmpuint(config->revision, ==, 5);
        ch_config_unref(config);
        node_clear(&node);
    }
}

/* ---- while a copy is being parsed ---- */

/* What arrives while revision 6 is being parsed, for which a small node takes
 * a second, and how many pulls and log lines result. */
static const struct {
    const char *what;
    uint64_t offered;
    bool is_readable; /* whether revision 6 can be parsed */
    unsigned pulls;
    unsigned lines;
    unsigned pulls_afterwards; /* pulls when a message carries 6 again */
    uint64_t in_force;
} parallel_cases[] = {
    {"what is in force", 5, true, 0, 0, 0, 6},
    {"the same", 6, true, 0, 0, 0, 6},
    {"a higher revision", 7, true, 1, 1, 1, 6},
    {"the same, which can't be read", 6, false, 0, 0, 1, 5},
};

static struct {
    struct ch_node *node;
    size_t row;
    int watches;
    unsigned pulls;
    unsigned lines;
    gint offered; /* whether the other copy was offered; atomic */
} parallel;

/* Replies with revision 6 to the first watch only. */
static void
reply_once(struct ch_kv *kv, const char *key, uint64_t revision, int64_t wait,
           void (*done)(void *data, const struct ch_kv_result *answer),
           void *data)
{
    (void)kv, (void)key, (void)revision, (void)wait;
    struct ch_kv_result answer = {.code = CH_KV_MISSING};
    if (parallel.watches++ == 0) {
        answer = (struct ch_kv_result){
            .code = CH_OK, .value = "v", .length = 1, .revision = 6};
    }
    done(data, &answer);
}

/* Replies to scheduled reads that there is no value. */
static void
reply_missing(struct ch_kv *kv, const char *key,
              void (*done)(void *data, const struct ch_kv_result *answer),
              void *data)
{
    (void)kv, (void)key;
    const struct ch_kv_result answer = {.code = CH_KV_MISSING};
    done(data, &answer);
}

/* Offers another copy while this one is being parsed. */
static char *
offer_while_parsing(const char *value, size_t length, struct ch_error *error)
{
    (void)value, (void)length;
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    ch_config_manager_note_revision(
        parallel.node->config, parallel_cases[parallel.row].offered, "n2");
    parallel.pulls = environment.requests;
    environment.lines = 0;
    push.revision = parallel_cases[parallel.row].offered;
    push.packed.data = (uint8_t *)(uintptr_t)text;
    push.packed.len = strlen(text);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    environment.push(parallel.node->config, &frame);
    parallel.lines = environment.lines;
    g_atomic_int_set(&parallel.offered, 1);
    ch_error_set(error, CH_BAD_JSON, "not readable");
    return parallel_cases[parallel.row].is_readable ? g_strdup(text) : NULL;
}

static void
set_flag(void *data)
{
    g_atomic_int_set((gint *)data, 1);
}

/*
 * Guards against copies that are parsed in parallel. All streams of a small
 * node paused for seconds: while it parsed a large configuration from the
 * key-value store, every message named the revision that it lacked, so it
 * pulled two more copies and parsed them beside the first.
 */
static void
run_parallel_case(size_t row)
{
    static const struct ch_kv_ops ops = {.get = reply_missing,
                                         .watch = reply_once};
    static const struct ch_dialect dialect = {.extract_config =
                                                  offer_while_parsing};
    struct ch_kv kv = {.ops = &ops};
    struct ch_node node;
    struct ch_client client;
    struct ch_settings settings;
    node_init(&node, &client, &settings);
    node.kv = &kv;
    node.dialect = &dialect;
    node.pool = ch_pool_new(1);
    node.timers = ch_timers_new(node.pool);
    environment.is_local = true;
    environment.watcher_node = "n1";
    memset(&parallel, 0, sizeof(parallel));
    parallel.node = &node;
    parallel.row = row;
    ch_config_manager_start(node.config);
    for (int i = 0; i < 3000 && !g_atomic_int_get(&parallel.offered); i++) {
        g_usleep(US_PER_MS);
    }
    /* The only worker runs this task after it has parsed the copy. */
    gint done_flag = 0;
    ch_pool_submit(node.pool, set_flag, &done_flag);
    while (!g_atomic_int_get(&done_flag)) {
        g_usleep(US_PER_MS);
    }
    ch_config_manager_note_revision(node.config, 6, "n3");
    ch_config_manager_stop(node.config);
    ch_timers_stop(node.timers);
    ch_pool_free(node.pool);
    ch_timers_free(node.timers);
    g_assert_cmpuint(parallel.pulls, ==, parallel_cases[row].pulls);
    g_assert_cmpuint(parallel.lines, ==, parallel_cases[row].lines);
    g_assert_cmpuint(environment.requests, ==,
                     parallel_cases[row].pulls_afterwards);
    for (unsigned i = 0; i < environment.requests; i++) {
        environment.done(environment.data, CH_PEER_TIMEOUT, NULL);
    }
    struct ch_config *config = ch_config_manager_get_current(node.config);
    g_assert_cmpuint(config->revision, ==, parallel_cases[row].in_force);
    ch_config_unref(config);
    node_clear(&node);
}

static void
test_parallel_copies(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(parallel_cases); i++) {
        g_test_message("%s", parallel_cases[i].what);
        run_parallel_case(i);
    }
}

/* ---- compression ---- */

/* Damaged, truncated or too large input is rejected. */
static void
test_damaged(void)
{
    struct ch_error error = {0};
    char *large = g_strnfill((gsize)2 * MAX_BYTES, 'x');
    GBytes *packed = ch_compress(large, strlen(large));
    gsize length = 0;
    const void *bytes = g_bytes_get_data(packed, &length);
    g_assert_cmpuint(length, <, MAX_BYTES / 100);
    g_assert_null(ch_decompress(bytes, length, MAX_BYTES, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_TOO_LARGE);
    error = (struct ch_error){0};
    g_assert_null(
        ch_decompress(bytes, length / 2, (size_t)4 * MAX_BYTES, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_DAMAGED);
    error = (struct ch_error){0};
    g_assert_null(ch_decompress("text", 4, MAX_BYTES, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_DAMAGED);
    char *decompressed =
        ch_decompress(bytes, length, (size_t)2 * MAX_BYTES, NULL, &error);
    g_assert_cmpstr(decompressed, ==, large);
    g_free(decompressed);
    g_free(large);
    g_bytes_unref(packed);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/spread/pulls", test_pulls);
    g_test_add_func("/spread/arrives", test_arrives_unchanged);
    g_test_add_func("/spread/needless", test_not_needed);
    g_test_add_func("/spread/beside", test_parallel_copies);
    g_test_add_func("/spread/damaged", test_damaged);
    return g_test_run();
}
