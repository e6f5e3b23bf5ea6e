/*
 * How a configuration gets from node to node: from whom it is pulled and when,
 * and that it arrives as it was.  The peers are fakes on a clock that the
 * cases set.
 */

#include "node/pack.h"
#include "node/dialect.h"
#include "node/node.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    START = 100 * G_USEC_PER_SEC,
    MILLI = 1000,
    MOST = 100 * 1000,
};

static const char text[] = "[class c]\nhost = h\npath = /x/\n"
                           "shares = s:1\nanswer-ms = 1000\n[service s]\n";

/* What the keeper under test asked of the other nodes. */
static struct {
    int64_t now;
    bool near;
    const char *entry;
    const char *watcher;
    void (*pull)(void *data, const Chestnuthitch__Wire__Frame *frame);
    void (*push)(void *data, const Chestnuthitch__Wire__Frame *frame);
    unsigned requests;
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
    GByteArray *packed; /* of the latest reply */
    unsigned lines;     /* of the log */
} world;

bool
ch_peers_is_near(struct ch_peers *peers, const char *name)
{
    (void)peers, (void)name;
    return world.near;
}

bool
ch_peers_has_role(struct ch_peers *peers, const char *role, unsigned count,
                  const char *region)
{
    (void)peers, (void)role, (void)count;
    return strcmp(region == NULL ? world.watcher : world.entry, "n1") == 0;
}

bool
ch_peers_listed(struct ch_peers *peers)
{
    (void)peers;
    return true;
}

char **
ch_peers_live(struct ch_peers *peers)
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
    world.requests++;
    world.done = done;
    world.data = data;
    return world.requests;
}

bool
ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
               Chestnuthitch__Wire__Frame *frame)
{
    (void)peers, (void)to, (void)id;
    g_assert_cmpint(frame->body_case, ==, WIRE(FRAME__BODY_CONFIG_PUSH));
    g_byte_array_set_size(world.packed, 0);
    g_byte_array_append(world.packed, frame->config_push->packed.data,
                        (guint)frame->config_push->packed.len);
    return true;
}

void
ch_peers_handle(struct ch_peers *peers,
                Chestnuthitch__Wire__Frame__BodyCase body,
                void (*handle)(void *data,
                               const Chestnuthitch__Wire__Frame *frame),
                void *data)
{
    (void)peers, (void)data;
    if (body == WIRE(FRAME__BODY_CONFIG_PULL)) {
        world.pull = handle;
    }
    else {
        world.push = handle;
    }
}

static int64_t
fake_now(void *data)
{
    (void)data;
    return world.now;
}

/* Counts lines in place of writing them. */
static void
drop_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
    world.lines++;
}

/* A node with a keeper that has revision 5. */
static void
node_init(struct ch_node *node, struct ch_client *client,
          struct ch_settings *settings)
{
    ch_client_init(client, "n1");
    client->now = fake_now;
    client->log_write = drop_line;
    *settings = (struct ch_settings){.name = "n1", .region = "r1"};
    *node = (struct ch_node){.client = client, .settings = settings};
    world.now = START;
    world.requests = 0;
    world.watcher = "other";
    world.packed = g_byte_array_new();
    node->config = ch_config_keeper_new(node);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    push.revision = 5;
    push.text = (char *)text;
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    world.push(node->config, &frame);
}

static void
node_clear(struct ch_node *node)
{
    ch_config_keeper_free(node->config);
    g_byte_array_free(world.packed, TRUE);
}

/* ---- from whom, and when ---- */

static const struct {
    const char *what;
    bool near;
    bool entry;
    unsigned pulls; /* in the end, none of them answered */
    uint64_t revision;
    int waited; /* milliseconds since it was first borne */
} rows[] = {
    {"a near node has it", true, false, 1, 6, 0},
    {"it is known", true, false, 0, 5, 0},
    {"a far node has it", false, false, 0, 6, 0},
    {"a far node, and no near one for long", false, false, 1, 6, 700},
    {"a far node, at an entry", false, true, 1, 6, 0},
    {"the first does not answer yet", true, false, 1, 6, 300},
    {"the first does not answer for long", true, false, 2, 6, 600},
};

/*
 * A change of some thousand paths is in force in one region, and callers in
 * the other are told for seconds that its paths are unknown: every node there
 * pulled its own copy over the link between the two, which was full of them.
 * A node that was paused held up the one pull of those that had asked it.
 */
static void
test_pulls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_node node;
        struct ch_client client;
        struct ch_settings settings;
        g_test_message("%s", rows[i].what);
        node_init(&node, &client, &settings);
        world.near = rows[i].near;
        world.entry = rows[i].entry ? "n1" : "other";
        ch_config_keeper_learn(node.config, rows[i].revision, "n2");
        world.now += (int64_t)rows[i].waited * MILLI;
        ch_config_keeper_learn(node.config, rows[i].revision, "n3");
        g_assert_cmpuint(world.requests, ==, rows[i].pulls);
        for (unsigned j = 0; j < world.requests; j++) {
            world.done(world.data, CH_PEER_TIMEOUT, NULL);
        }
        node_clear(&node);
    }
}

/* ---- what arrives ---- */

/* What one node packs for another is in force there as it was. */
static void
test_arrives(void)
{
    struct ch_node node;
    struct ch_client client;
    struct ch_settings settings;
    node_init(&node, &client, &settings);
    struct ch_config *first = ch_config_keeper_current(node.config);
    Chestnuthitch__Wire__ConfigPull pull = WIRE(CONFIG_PULL__INIT);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PULL);
    frame.config_pull = &pull;
    world.pull(node.config, &frame);
    world.near = true;
    ch_config_keeper_learn(node.config, 6, "n2");
    push.revision = 6;
    push.packed.data = world.packed->data;
    push.packed.len = world.packed->len;
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    world.done(world.data, CH_OK, &frame);
    struct ch_config *config = ch_config_keeper_current(node.config);
    g_assert_cmpuint(config->revision, ==, 6);
    g_assert_cmpstr(config->declaration->text, ==, first->declaration->text);
    ch_config_unref(first);
    ch_config_unref(config);
    node_clear(&node);
}

/* A copy that is not above the revision in force isn't even unpacked: a
 * damaged one is told only if it could have come into force. */
static void
test_needless(void)
{
    static const struct {
        uint64_t revision;
        unsigned lines;
    } pushes[] = {{4, 0}, {5, 0}, {6, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(pushes); i++) {
        struct ch_node node;
        struct ch_client client;
        struct ch_settings settings;
        Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        node_init(&node, &client, &settings);
        world.lines = 0;
        push.revision = pushes[i].revision;
        push.packed.data = (uint8_t *)(uintptr_t)text;
        push.packed.len = strlen(text);
        frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
        frame.config_push = &push;
        world.push(node.config, &frame);
        g_assert_cmpuint(world.lines, ==, pushes[i].lines);
        struct ch_config *config = ch_config_keeper_current(node.config);
        g_assert_cmpuint(config->revision, ==, 5);
        ch_config_unref(config);
        node_clear(&node);
    }
}

/* ---- while a copy is being read ---- */

/* What comes while revision 6 is being read, for which a small node takes a
 * second, and how many pulls and lines of the log that makes. */
static const struct {
    const char *what;
    uint64_t offered;
    bool readable; /* 6 is */
    unsigned pulls;
    unsigned lines;
    unsigned pulls_after; /* when 6 is told of again */
    uint64_t in_force;
} sides[] = {
    {"what is in force", 5, true, 0, 0, 0, 6},
    {"the same", 6, true, 0, 0, 0, 6},
    {"a higher one", 7, true, 1, 1, 1, 6},
    {"the same, which can't be read", 6, false, 0, 0, 1, 5},
};

static struct {
    struct ch_node *node;
    size_t row;
    int watches;
    unsigned pulls;
    unsigned lines;
    gint offered; /* the other copy was */
} side;

/* Brings revision 6 once. */
static void
watch_once(struct ch_kv *kv, const char *key, uint64_t revision, int64_t wait,
           void (*done)(void *data, const struct ch_kv_answer *answer),
           void *data)
{
    (void)kv, (void)key, (void)revision, (void)wait;
    struct ch_kv_answer answer = {.code = CH_KV_MISSING};
    if (side.watches++ == 0) {
        answer = (struct ch_kv_answer){
            .code = CH_OK, .value = "v", .length = 1, .revision = 6};
    }
    done(data, &answer);
}

/* Brings nothing to a read in turn. */
static void
get_nothing(struct ch_kv *kv, const char *key,
            void (*done)(void *data, const struct ch_kv_answer *answer),
            void *data)
{
    (void)kv, (void)key;
    const struct ch_kv_answer answer = {.code = CH_KV_MISSING};
    done(data, &answer);
}

/* Offers another copy in the middle of reading this one. */
static char *
read_beside(const char *value, size_t length, struct ch_error *error)
{
    (void)value, (void)length;
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    ch_config_keeper_learn(side.node->config, sides[side.row].offered, "n2");
    side.pulls = world.requests;
    world.lines = 0;
    push.revision = sides[side.row].offered;
    push.packed.data = (uint8_t *)(uintptr_t)text;
    push.packed.len = strlen(text);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    world.push(side.node->config, &frame);
    side.lines = world.lines;
    g_atomic_int_set(&side.offered, 1);
    ch_error_set(error, CH_BAD_JSON, "not readable");
    return sides[side.row].readable ? g_strdup(text) : NULL;
}

static void
set_flag(void *data)
{
    g_atomic_int_set((gint *)data, 1);
}

/*
 * All streams of a small node pause for seconds: while it read a large
 * configuration from the service, each frame told it of the revision that it
 * lacked, and it pulled two more copies and read them beside the first.
 */
static void
run_side(size_t row)
{
    static const struct ch_kv_ops ops = {.get = get_nothing,
                                         .watch = watch_once};
    static const struct ch_dialect dialect = {.config_text = read_beside};
    struct ch_kv kv = {.ops = &ops};
    struct ch_node node;
    struct ch_client client;
    struct ch_settings settings;
    node_init(&node, &client, &settings);
    node.kv = &kv;
    node.dialect = &dialect;
    node.pool = ch_pool_new(1);
    node.timers = ch_timers_new(node.pool);
    world.near = true;
    world.watcher = "n1";
    memset(&side, 0, sizeof(side));
    side.node = &node;
    side.row = row;
    ch_config_keeper_start(node.config);
    for (int i = 0; i < 3000 && !g_atomic_int_get(&side.offered); i++) {
        g_usleep(MILLI);
    }
    /* The one worker runs it when it has read the copy. */
    gint over = 0;
    ch_pool_submit(node.pool, set_flag, &over);
    while (!g_atomic_int_get(&over)) {
        g_usleep(MILLI);
    }
    ch_config_keeper_learn(node.config, 6, "n3");
    ch_config_keeper_stop(node.config);
    ch_timers_stop(node.timers);
    ch_pool_free(node.pool);
    ch_timers_free(node.timers);
    g_assert_cmpuint(side.pulls, ==, sides[row].pulls);
    g_assert_cmpuint(side.lines, ==, sides[row].lines);
    g_assert_cmpuint(world.requests, ==, sides[row].pulls_after);
    for (unsigned i = 0; i < world.requests; i++) {
        world.done(world.data, CH_PEER_TIMEOUT, NULL);
    }
    struct ch_config *config = ch_config_keeper_current(node.config);
    g_assert_cmpuint(config->revision, ==, sides[row].in_force);
    ch_config_unref(config);
    node_clear(&node);
}

static void
test_beside(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sides); i++) {
        g_test_message("%s", sides[i].what);
        run_side(i);
    }
}

/* ---- packing ---- */

/* Bytes that are not what a node packs. */
static void
test_damaged(void)
{
    struct ch_error error = {0};
    char *large = g_strnfill((gsize)2 * MOST, 'x');
    GBytes *packed = ch_pack(large, strlen(large));
    gsize length = 0;
    const void *bytes = g_bytes_get_data(packed, &length);
    g_assert_cmpuint(length, <, MOST / 100);
    g_assert_null(ch_unpack(bytes, length, MOST, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_TOO_LARGE);
    error = (struct ch_error){0};
    g_assert_null(
        ch_unpack(bytes, length / 2, (size_t)4 * MOST, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_DAMAGED);
    error = (struct ch_error){0};
    g_assert_null(ch_unpack("text", 4, MOST, NULL, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_DAMAGED);
    char *whole = ch_unpack(bytes, length, (size_t)2 * MOST, NULL, &error);
    g_assert_cmpstr(whole, ==, large);
    g_free(whole);
    g_free(large);
    g_bytes_unref(packed);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/spread/pulls", test_pulls);
    g_test_add_func("/spread/arrives", test_arrives);
    g_test_add_func("/spread/needless", test_needless);
    g_test_add_func("/spread/beside", test_beside);
    g_test_add_func("/spread/damaged", test_damaged);
    return g_test_run();
}
