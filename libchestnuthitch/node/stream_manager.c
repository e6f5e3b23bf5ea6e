/* Records of where streams began, and questions for them. */

#include "node/stream_manager.h"

#include "origins/origins.h"

#include <pthread.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A stream's record is some hundred bytes here; callers make at most some
     * thousand requests a second in the whole fleet. */
    MAX_RECORDS = 64 * 1024,
    /* Time for the asked nodes to reply, some round trips between regions. */
    QUERY_TIMEOUT_US = 250 * 1000,
    /* How often a search that waits for a current list looks again. */
    RENEWAL_US = 100 * 1000,
    TICK_US = 1000 * 1000,
    /* Until the nodes are known. */
    START_TICK_US = 200 * 1000,
    /* Records in one message. */
    MAX_BATCH = 128,
    /* Records that expire sooner are not handed over. */
    MIN_HANDOVER_LIFE_US = 500 * 1000,
    /* Nodes that are ranked for a shard. */
    MAX_RANKED = CH_STREAM_ASKED + 1,
};

/* The names of the nodes that keep a shard's records. */
struct holders {
    char *names[CH_STREAM_COPIES]; /* NULL: none */
};

struct ch_stream_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    struct ch_stream_records *records; /* guarded by lock, like the rest */
    struct ch_version_history *history;
    struct ch_origins *origins;               /* at the key-value store */
    struct holders holders[CH_STREAM_SHARDS]; /* at the last tick */
    uint64_t peers_version;
    bool fleet_age_known;
    bool stopped;
    int64_t (*get_list_age)(void *data);
    void *list_age_data;
};

static int64_t
get_time(const struct ch_stream_manager *manager)
{
    return ch_client_get_time(manager->node->client);
}

static void
count_event(const struct ch_stream_manager *manager, enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- messages ---- */

static void
write_record(Chestnuthitch__Wire__StreamRecord *to,
             const struct ch_stream_record *record, int64_t now)
{
    chestnuthitch__wire__stream_record__init(to);
    to->key = record->key;
    to->service = record->origin.service;
    to->version = record->origin.version;
    to->writer = record->writer;
    to->sequence = record->sequence;
    to->ambiguous = record->ambiguous;
    to->ttl_ms = (uint32_t)(MAX(record->expires_at - now, 0) / 1000);
    to->age_ms =
        (uint32_t)(CLAMP(now - record->written_at, 0, CH_STREAM_LIFE_US) /
                   1000);
    if (record->upstream != 0) {
        to->upstream = (char *)g_quark_to_string(record->upstream);
    }
}

/* A record that another node told; its life is bounded. */
static struct ch_stream_record
read_record(const Chestnuthitch__Wire__StreamRecord *from, int64_t now)
{
    return (struct ch_stream_record){
        .key = from->key,
        .origin = {from->service, from->version},
        .writer = from->writer,
        .sequence = from->sequence,
        .ambiguous = from->ambiguous,
        .expires_at =
            now + MIN((int64_t)from->ttl_ms * 1000, CH_STREAM_LIFE_US),
        .upstream = from->upstream[0] == '\0'
                        ? 0
                        : g_quark_from_string(from->upstream),
        .written_at = now - (int64_t)from->age_ms * 1000,
    };
}

/* Sends records to a node, in messages of MAX_BATCH at most. */
static void
send_records(const struct ch_stream_manager *manager, const char *to,
             const struct ch_stream_record *records, size_t count)
{
    Chestnuthitch__Wire__StreamRecord bodies[MAX_BATCH];
    Chestnuthitch__Wire__StreamRecord *pointers[MAX_BATCH];
    int64_t now = get_time(manager);
    for (size_t sent = 0; sent < count; sent += MAX_BATCH) {
        Chestnuthitch__Wire__StreamRecords body = WIRE(STREAM_RECORDS__INIT);
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        body.n_records = MIN(count - sent, MAX_BATCH);
        body.records = pointers;
        for (size_t i = 0; i < body.n_records; i++) {
            write_record(&bodies[i], &records[sent + i], now);
            pointers[i] = &bodies[i];
        }
        frame.body_case = WIRE(FRAME__BODY_STREAM_RECORDS);
        frame.stream_records = &body;
        ch_peers_send(manager->node->peers, to, &frame);
    }
}

static void
handle_records(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_stream_manager *manager = data;
    int64_t now = get_time(manager);
    pthread_mutex_lock(&manager->lock);
    for (size_t i = 0; i < frame->stream_records->n_records; i++) {
        const struct ch_stream_record record =
            read_record(frame->stream_records->records[i], now);
        ch_stream_records_put(manager->records, &record, now);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* ---- writing ---- */

/* The other nodes that keep a shard's records; new strings. */
static GPtrArray *
find_holders(const struct ch_stream_manager *manager, unsigned shard,
             size_t max)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_stream_holders(manager->node->peers, shard, MAX_RANKED,
                                 names);
    for (guint i = names->len; i > 0; i--) {
        if (strcmp(g_ptr_array_index(names, i - 1),
                   manager->node->settings->name) == 0) {
            g_ptr_array_remove_index(names, i - 1);
        }
    }
    if (names->len > max) {
        g_ptr_array_set_size(names, (gint)max);
    }
    return names;
}

/* See stream_manager.h. */
void
ch_stream_manager_write(struct ch_stream_manager *manager,
                        const struct ch_stream_record *record)
{
    if (manager == NULL) {
        return;
    }
    int64_t now = get_time(manager);
    pthread_mutex_lock(&manager->lock);
    ch_stream_records_put(manager->records, record, now);
    pthread_mutex_unlock(&manager->lock);
    GPtrArray *holders = find_holders(
        manager, ch_stream_get_shard(record->key), CH_STREAM_COPIES);
    for (guint i = 0; i < holders->len; i++) {
        send_records(manager, g_ptr_array_index(holders, i), record, 1);
    }
    count_event(manager, CH_COUNT_STREAM_RECORDS);
    g_ptr_array_free(holders, TRUE);
}

/* See stream_manager.h. */
bool
ch_stream_manager_may_begin(struct ch_stream_manager *manager,
                            const struct ch_stream_record *record,
                            struct ch_stream_origin *stored)
{
    return manager == NULL || ch_origins_add(manager->origins, record, stored);
}

/* ---- handover, where other nodes come to keep a shard ---- */

static GArray *
list_shard(struct ch_stream_manager *manager, unsigned shard)
{
    GArray *records =
        g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
    pthread_mutex_lock(&manager->lock);
    ch_stream_records_list(manager->records, shard,
                           get_time(manager) + MIN_HANDOVER_LIFE_US, records);
    pthread_mutex_unlock(&manager->lock);
    return records;
}

static bool
is_holder(const struct holders *holders, const char *name)
{
    for (size_t i = 0; i < CH_STREAM_COPIES; i++) {
        if (g_strcmp0(holders->names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether this node hands a shard's records over: it has kept them, or none of
 * those that did is live. */
static bool
should_hand_over(const struct ch_stream_manager *manager,
                 const struct holders *previous)
{
    if (is_holder(previous, manager->node->settings->name)) {
        return true;
    }
    for (size_t i = 0; i < CH_STREAM_COPIES; i++) {
        if (previous->names[i] != NULL &&
            ch_peers_is_live(manager->node->peers, previous->names[i])) {
            return false;
        }
    }
    return true;
}

/* Takes records that were read from the key-value store, for this node and for
 * those that keep them. */
static void
take_stored(void *data, const struct ch_stream_record *records, size_t count)
{
    struct ch_stream_manager *manager = data;
    int64_t now = get_time(manager);
    GArray *of_shard =
        g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
    pthread_mutex_lock(&manager->lock);
    for (size_t i = 0; i < count; i++) {
        ch_stream_records_put(manager->records, &records[i], now);
    }
    pthread_mutex_unlock(&manager->lock);
    for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
        g_array_set_size(of_shard, 0);
        for (size_t i = 0; i < count; i++) {
            if (ch_stream_get_shard(records[i].key) == shard) {
                g_array_append_vals(of_shard, &records[i], 1);
            }
        }
        GPtrArray *names = find_holders(manager, shard, CH_STREAM_COPIES);
        for (guint i = 0; of_shard->len > 0 && i < names->len; i++) {
            send_records(
                manager, g_ptr_array_index(names, i),
                (const struct ch_stream_record *)(void *)of_shard->data,
                of_shard->len);
        }
        g_ptr_array_free(names, TRUE);
    }
    g_array_free(of_shard, TRUE);
}

/* Whether a process answers; its records need not be read. */
static bool
is_process_live(void *data, const char *name, uint64_t incarnation)
{
    const struct ch_stream_manager *manager = data;
    struct ch_peers *peers = manager->node->peers;
    uint64_t present = 0;
    bool is_self = strcmp(name, manager->node->settings->name) == 0;
    int64_t heard = ch_peers_get_last_heard(peers, name, &present);
    return heard != 0 && present == incarnation &&
           (is_self || ch_peers_is_live(peers, name));
}

static size_t
get_node_count(void *data)
{
    const struct ch_stream_manager *manager = data;
    struct ch_peers_counts counts;
    ch_peers_count(manager->node->peers, manager->node->settings->region,
                   &counts);
    return counts.listed;
}

/* Reads the stored records of a partition when this node comes to keep the
 * shard of the same number; there are none unless versions were mixed. */
static void
read_stored(struct ch_stream_manager *manager, unsigned shard,
            const struct holders *previous, const struct holders *present)
{
    const char *self = manager->node->settings->name;
    pthread_mutex_lock(&manager->lock);
    bool may_exist =
        ch_version_history_may_be_mixed(manager->history, get_time(manager));
    pthread_mutex_unlock(&manager->lock);
    if (may_exist && is_holder(present, self) && !is_holder(previous, self)) {
        ch_origins_read(manager->origins, shard);
    }
}

/* Compares the holders of a shard with those of the last tick, and sends the
 * records to those that are new. */
static void
update_holders(struct ch_stream_manager *manager, unsigned shard)
{
    struct holders *previous = &manager->holders[shard];
    struct holders present = {{NULL}};
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_stream_holders(manager->node->peers, shard, CH_STREAM_COPIES,
                                 names);
    GArray *records = NULL;
    for (guint i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        present.names[i] = g_strdup(name);
        if (is_holder(previous, name) || previous->names[0] == NULL ||
            strcmp(name, manager->node->settings->name) == 0 ||
            !should_hand_over(manager, previous)) {
            continue;
        }
        if (records == NULL) {
            records = list_shard(manager, shard);
        }
        send_records(manager, name,
                     (const struct ch_stream_record *)(void *)records->data,
                     records->len);
    }
    if (records != NULL) {
        g_array_free(records, TRUE);
    }
    read_stored(manager, shard, previous, &present);
    for (size_t i = 0; i < CH_STREAM_COPIES; i++) {
        g_free(previous->names[i]);
    }
    *previous = present;
    g_ptr_array_free(names, TRUE);
}

/* See stream_manager.h. */
void
ch_stream_manager_drain(struct ch_stream_manager *manager)
{
    for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
        GArray *records = list_shard(manager, shard);
        GPtrArray *names = find_holders(manager, shard, CH_STREAM_COPIES);
        for (guint i = 0; records->len > 0 && i < names->len; i++) {
            send_records(
                manager, g_ptr_array_index(names, i),
                (const struct ch_stream_record *)(void *)records->data,
                records->len);
        }
        g_ptr_array_free(names, TRUE);
        g_array_free(records, TRUE);
    }
}

/* Whether no process of the fleet is older than this one: then no stream began
 * before it. */
static void
note_fleet_age(struct ch_stream_manager *manager)
{
    bool known = false;
    bool is_new = ch_peers_is_new_fleet(manager->node->peers, &known);
    pthread_mutex_lock(&manager->lock);
    if (known && !manager->fleet_age_known) {
        manager->fleet_age_known = true;
        if (is_new) {
            ch_version_history_set_new_fleet(manager->history);
        }
    }
    pthread_mutex_unlock(&manager->lock);
}

static void
tick(void *data)
{
    struct ch_stream_manager *manager = data;
    note_fleet_age(manager);
    uint64_t version = ch_peers_get_version(manager->node->peers);
    bool has_list = ch_peers_has_list(manager->node->peers);
    if (version != manager->peers_version && has_list) {
        manager->peers_version = version;
        for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
            update_holders(manager, shard);
        }
    }
    pthread_mutex_lock(&manager->lock);
    ch_stream_records_expire(manager->records, get_time(manager));
    bool is_mixed =
        ch_version_history_is_mixed(manager->history, get_time(manager));
    if (!manager->stopped) {
        ch_timers_add(manager->node->timers,
                      has_list ? TICK_US : START_TICK_US, tick, manager);
    }
    pthread_mutex_unlock(&manager->lock);
    ch_origins_set_mixed(manager->origins, is_mixed);
}

/* ---- questions ---- */

/* What this node knows of a service. */
static struct ch_stream_versions
get_versions(struct ch_stream_manager *manager, uint64_t service)
{
    int64_t age = manager->get_list_age == NULL
                      ? 0
                      : manager->get_list_age(manager->list_age_data);
    pthread_mutex_lock(&manager->lock);
    struct ch_stream_versions versions =
        ch_version_history_get(manager->history, service, get_time(manager));
    pthread_mutex_unlock(&manager->lock);
    versions.age = age;
    return versions;
}

static bool
find_record(struct ch_stream_manager *manager, uint64_t key,
            struct ch_stream_record *copy)
{
    pthread_mutex_lock(&manager->lock);
    const struct ch_stream_record *record =
        ch_stream_records_find(manager->records, key, get_time(manager));
    if (record != NULL) {
        *copy = *record;
    }
    pthread_mutex_unlock(&manager->lock);
    return record != NULL;
}

/* Answers another node's question. */
static void
handle_query(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_stream_manager *manager = data;
    const Chestnuthitch__Wire__StreamQuery *query = frame->stream_query;
    Chestnuthitch__Wire__StreamReply body = WIRE(STREAM_REPLY__INIT);
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__StreamRecord wire_record;
    struct ch_stream_record record;
    struct ch_stream_versions versions = get_versions(manager, query->service);
    if (query->key != 0 && find_record(manager, query->key, &record)) {
        write_record(&wire_record, &record, get_time(manager));
        body.record = &wire_record;
    }
    body.n_versions = versions.count;
    body.versions = versions.ids;
    body.covers_ms =
        (uint32_t)(CLAMP(versions.covers, 0, CH_STREAM_LIFE_US) / 1000);
    body.age_ms = (uint32_t)(CLAMP(versions.age, 0, G_MAXINT32) / 1000);
    reply.body_case = WIRE(FRAME__BODY_STREAM_REPLY);
    reply.stream_reply = &body;
    ch_peers_reply(manager->node->peers, frame->from, frame->id, &reply);
}

/* A question that waits for replies. */
struct search {
    struct ch_stream_manager *manager;
    pthread_mutex_t lock;
    int references; /* one for each node asked, one for the asking itself */
    bool ended;
    bool waits; /* for a list that is confirmed after the question */
    int64_t begun_at;
    struct ch_stream_lookup lookup;
    char *source;
    void (*done)(void *data, const struct ch_stream_result *result);
    void *data;
};

/* Drops a reference; lock held, which is released. */
static void
search_unref(struct search *search)
{
    bool last = --search->references == 0;
    pthread_mutex_unlock(&search->lock);
    if (last) {
        pthread_mutex_destroy(&search->lock);
        g_free(search->source);
        g_free(search);
    }
}

static void
count_finding(const struct ch_stream_manager *manager,
              enum ch_stream_finding finding)
{
    count_event(manager, CH_COUNT_STREAM_QUERIES);
    if (!ch_stream_finding_is_origin(finding)) {
        count_event(manager, CH_COUNT_STREAM_ORIGINS_UNKNOWN);
    }
}

static void search_settle(struct search *search);

/* Takes over what this node knows by now. For ch_timers_add(). */
static void
search_renew(void *data)
{
    struct search *search = data;
    struct ch_stream_manager *manager = search->manager;
    struct ch_stream_versions own =
        get_versions(manager, search->lookup.service);
    struct ch_peers_counts counts;
    ch_peers_count(manager->node->peers, manager->node->settings->region,
                   &counts);
    int64_t waited = get_time(manager) - search->begun_at;
    pthread_mutex_lock(&search->lock);
    search->waits = false;
    ch_stream_lookup_renew(&search->lookup, &own, counts.listed, counts.live,
                           waited);
    search_settle(search);
}

/* Looks again in a moment once all replies have come. Lock held. */
static void
search_wait(struct search *search)
{
    const struct ch_stream_lookup *lookup = &search->lookup;
    if (search->waits || lookup->replied + lookup->failed < lookup->asked) {
        return;
    }
    search->waits = true;
    search->references++;
    ch_timers_add(search->manager->node->timers, RENEWAL_US, search_renew,
                  search);
}

/* Ends the search once the finding is clear, and drops a reference. Lock held,
 * which is released. */
static void
search_settle(struct search *search)
{
    struct ch_stream_result result = {.source = search->source};
    int64_t waited = get_time(search->manager) - search->begun_at;
    result.finding =
        ch_stream_lookup_decide(&search->lookup, waited, &result.origin);
    result.record = search->lookup.record;
    if (search->ended || result.finding == CH_STREAM_ASKING) {
        if (!search->ended) {
            search_wait(search);
        }
        search_unref(search);
        return;
    }
    search->ended = true;
    pthread_mutex_unlock(&search->lock);
    count_finding(search->manager, result.finding);
    search->done(search->data, &result);
    pthread_mutex_lock(&search->lock);
    search_unref(search);
}

static struct ch_stream_versions
read_versions(const Chestnuthitch__Wire__StreamReply *reply)
{
    struct ch_stream_versions versions = {
        .count = (unsigned)MIN(reply->n_versions, CH_STREAM_MAX_VERSIONS),
        .covers = (int64_t)reply->covers_ms * 1000,
        .age = (int64_t)reply->age_ms * 1000,
    };
    for (unsigned i = 0; i < versions.count; i++) {
        versions.ids[i] = reply->versions[i];
    }
    return versions;
}

/* Handles a reply, or that none came in time. */
static void
handle_reply(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct search *search = data;
    bool valid = code == CH_OK && reply != NULL &&
                 reply->body_case == WIRE(FRAME__BODY_STREAM_REPLY);
    pthread_mutex_lock(&search->lock);
    if (!valid) {
        search->lookup.failed++;
    }
    else {
        const Chestnuthitch__Wire__StreamReply *body = reply->stream_reply;
        const struct ch_stream_versions versions = read_versions(body);
        struct ch_stream_record record = {0};
        if (body->record != NULL) {
            record = read_record(body->record, get_time(search->manager));
            if (search->source == NULL) {
                search->source = g_strdup(reply->from);
            }
        }
        ch_stream_lookup_add_reply(
            &search->lookup, body->record == NULL ? NULL : &record, &versions);
    }
    search_settle(search);
}

static void
send_query(struct search *search, const char *to, uint64_t key)
{
    Chestnuthitch__Wire__StreamQuery body = WIRE(STREAM_QUERY__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.key = key;
    body.service = search->lookup.service;
    frame.body_case = WIRE(FRAME__BODY_STREAM_QUERY);
    frame.stream_query = &body;
    ch_peers_request(search->manager->node->peers, to, &frame,
                     QUERY_TIMEOUT_US, handle_reply, search);
}

static struct search *
search_new(struct ch_stream_manager *manager, uint64_t key, uint64_t service)
{
    struct search *search = g_new0(struct search, 1);
    struct ch_peers_counts counts;
    struct ch_stream_versions own = get_versions(manager, service);
    ch_peers_count(manager->node->peers, manager->node->settings->region,
                   &counts);
    search->manager = manager;
    search->begun_at = get_time(manager);
    search->references = 1;
    pthread_mutex_init(&search->lock, NULL);
    ch_stream_lookup_init(&search->lookup, service, &own, counts.listed,
                          counts.live);
    search->lookup.has_record =
        key != 0 && find_record(manager, key, &search->lookup.record);
    if (search->lookup.has_record) {
        search->source = g_strdup(manager->node->settings->name);
    }
    return search;
}

/* Runs on the pool, so that done never runs within ch_stream_manager_find().
 */
static void
settle_first(void *data)
{
    struct search *search = data;
    pthread_mutex_lock(&search->lock);
    search_settle(search);
}

/* See stream_manager.h. */
void
ch_stream_manager_find(struct ch_stream_manager *manager, uint64_t key,
                       uint64_t service,
                       void (*done)(void *data,
                                    const struct ch_stream_result *result),
                       void *data)
{
    struct search *search = search_new(manager, key, service);
    search->done = done;
    search->data = data;
    GPtrArray *names =
        find_holders(manager, ch_stream_get_shard(key),
                     search->lookup.has_record ? 0 : CH_STREAM_ASKED);
    search->lookup.asked = names->len;
    search->references += (int)names->len;
    for (guint i = 0; i < names->len; i++) {
        send_query(search, g_ptr_array_index(names, i), key);
    }
    g_ptr_array_free(names, TRUE);
    ch_pool_submit(manager->node->pool, settle_first, search);
}

/* ---- versions, status, lifetime ---- */

/* See stream_manager.h. */
void
ch_stream_manager_update_versions(struct ch_stream_manager *manager,
                                  const struct ch_stream_origin *listed,
                                  size_t count)
{
    pthread_mutex_lock(&manager->lock);
    ch_version_history_update(manager->history, listed, count,
                              get_time(manager));
    bool is_mixed =
        ch_version_history_is_mixed(manager->history, get_time(manager));
    pthread_mutex_unlock(&manager->lock);
    ch_origins_set_mixed(manager->origins, is_mixed);
}

/* See stream_manager.h. */
void
ch_stream_manager_set_list_age(struct ch_stream_manager *manager,
                               int64_t (*get_age)(void *data), void *data)
{
    manager->get_list_age = get_age;
    manager->list_age_data = data;
}

/* See stream_manager.h. */
void
ch_stream_manager_write_status(struct ch_stream_manager *manager,
                               JsonBuilder *builder)
{
    pthread_mutex_lock(&manager->lock);
    size_t count = ch_stream_records_count(manager->records);
    pthread_mutex_unlock(&manager->lock);
    json_builder_set_member_name(builder, "streams");
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "records");
    json_builder_add_int_value(builder, (gint64)count);
    json_builder_end_object(builder);
}

/* Creates a manager without records; node must outlive it. */
struct ch_stream_manager *
ch_stream_manager_new(struct ch_node *node)
{
    struct ch_stream_manager *manager = g_new0(struct ch_stream_manager, 1);
    manager->node = node;
    manager->records = ch_stream_records_new(MAX_RECORDS);
    manager->history = ch_version_history_new(get_time(manager));
    const struct ch_origins_node origins_node = {
        .data = manager,
        .take = take_stored,
        .is_live = is_process_live,
        .get_node_count = get_node_count,
    };
    manager->origins =
        ch_origins_new(node->client, node->pool, node->timers, node->kv,
                       &origins_node, node->settings->name, node->incarnation);
    pthread_mutex_init(&manager->lock, NULL);
    return manager;
}

/* See stream_manager.h. */
void
ch_stream_manager_start(struct ch_stream_manager *manager)
{
    struct ch_peers *peers = manager->node->peers;
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_STREAM_RECORDS),
                         handle_records, manager);
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_STREAM_QUERY), handle_query,
                         manager);
    ch_timers_add(manager->node->timers, START_TICK_US, tick, manager);
    ch_origins_start(manager->origins);
}

/* See stream_manager.h. */
void
ch_stream_manager_stop(struct ch_stream_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    pthread_mutex_unlock(&manager->lock);
    ch_origins_stop(manager->origins);
}

/* See stream_manager.h. */
void
ch_stream_manager_free(struct ch_stream_manager *manager)
{
    if (manager == NULL) {
        return;
    }
    for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
        for (size_t i = 0; i < CH_STREAM_COPIES; i++) {
            g_free(manager->holders[shard].names[i]);
        }
    }
    ch_origins_free(manager->origins);
    ch_stream_records_free(manager->records);
    ch_version_history_free(manager->history);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}
