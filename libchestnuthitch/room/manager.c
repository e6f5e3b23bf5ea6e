/* One node's part of the division of short room: records this node's demand,
 * decides about its requests, and counts the demand of all nodes where it is
 * the counting node. */

#include "room/room_internal.h"

#include <string.h>

enum {
    /* As long as a pace is known: a service is switched on by its upstreams'
     * stating theirs. */
    SERVICE_ON_US = 10 * 1000 * 1000,
    /* A model without a request for this long is forgotten. */
    FORGET_US = 60 * 1000 * 1000,
    /* Models that one node records or counts, against reports without end. */
    MAX_MODELS = 4096,
    MILLI = 1000,
};

/* A node may promise at least this part of its room to returning callers: the
 * demand of more urgent ranks changes until they return. */
static const double MIN_SPARE_SHARE = 0.05;

static void
count_event(const struct ch_room *room, enum ch_counter counter)
{
    if (room->client->metrics != NULL) {
        ch_metrics_add_count(room->client->metrics, counter, 1);
    }
}

/* ---- tables ---- */

static guint
hash_key(gconstpointer data)
{
    const struct room_key *key = data;
    return (guint)ch_hash_pair(key->service, key->model);
}

static gboolean
are_keys_equal(gconstpointer a, gconstpointer b)
{
    const struct room_key *first = a;
    const struct room_key *second = b;
    return first->service == second->service && first->model == second->model;
}

static void
free_model(void *data)
{
    struct room_model *model = data;
    ch_room_window_free(model->window);
    ch_room_returns_free(model->returns);
    g_array_free(model->level.shares, TRUE);
    g_free(model);
}

static void
free_count(void *data)
{
    struct room_count *count = data;
    ch_room_count_clear(&count->count);
    g_free(count);
}

static struct room_model *
find_model(const struct ch_room *room, const struct ch_room_request *request)
{
    const struct room_key key = {request->service, request->model};
    return g_hash_table_lookup(room->models, &key);
}

/* Returns the model of a request, added if it is not known yet; NULL if there
 * are too many. Lock held. */
static struct room_model *
find_or_add_model(struct ch_room *room, const struct ch_room_request *request)
{
    struct room_model *model = find_model(room, request);
    if (model != NULL || g_hash_table_size(room->models) >= MAX_MODELS) {
        return model;
    }
    model = g_new0(struct room_model, 1);
    model->key = (struct room_key){request->service, request->model};
    model->window = ch_room_window_new();
    model->returns = ch_room_returns_new();
    model->level.shares =
        g_array_new(FALSE, FALSE, sizeof(struct ch_room_share));
    g_hash_table_insert(room->models, &model->key, model);
    return model;
}

/* See room_internal.h. */
struct room_count *
room_find_or_add_count(struct ch_room *room, GQuark service, GQuark model)
{
    const struct room_key key = {service, model};
    struct room_count *count = g_hash_table_lookup(room->counts, &key);
    if (count != NULL || g_hash_table_size(room->counts) >= MAX_MODELS) {
        return count;
    }
    count = g_new0(struct room_count, 1);
    count->key = key;
    ch_room_count_init(&count->count);
    g_hash_table_insert(room->counts, &count->key, count);
    return count;
}

/* See room_internal.h. */
const struct room_level *
room_get_level(const struct room_model *model, int64_t now)
{
    const struct room_level *level = &model->level;
    return level->from != 0 && now - level->received_at <= ROOM_LEVEL_EXPIRY_US
               ? level
               : NULL;
}

/* Whether a service is switched on, for good or lately. Lock held. */
static bool
is_service_on(const struct ch_room *room, GQuark service, int64_t now)
{
    const int64_t *enabled_at =
        g_hash_table_lookup(room->services, GUINT_TO_POINTER(service));
    return room->is_on ||
           (enabled_at != NULL && now - *enabled_at <= SERVICE_ON_US);
}

/* ---- requests ---- */

/* Whether the part decides about the request's service. Lock held. */
static bool
is_on(const struct ch_room *room, const struct ch_room_request *request)
{
    return request->model != 0 &&
           is_service_on(room, request->service,
                         ch_client_get_time(room->client));
}

/* See room.h. */
bool
ch_room_is_on(struct ch_room *room, GQuark service)
{
    if (room == NULL) {
        return false;
    }
    pthread_mutex_lock(&room->lock);
    bool is_on_now =
        is_service_on(room, service, ch_client_get_time(room->client));
    pthread_mutex_unlock(&room->lock);
    return is_on_now;
}

/* See room.h. */
void
ch_room_enable_service(struct ch_room *room, GQuark service)
{
    if (room == NULL) {
        return;
    }
    pthread_mutex_lock(&room->lock);
    int64_t *enabled_at = g_new(int64_t, 1);
    *enabled_at = ch_client_get_time(room->client);
    g_hash_table_replace(room->services, GUINT_TO_POINTER(service),
                         enabled_at);
    pthread_mutex_unlock(&room->lock);
}

/* See room.h. */
void
ch_room_record(struct ch_room *room, const struct ch_room_request *request)
{
    if (room == NULL) {
        return;
    }
    int64_t now = ch_client_get_time(room->client);
    pthread_mutex_lock(&room->lock);
    struct room_model *model =
        is_on(room, request) ? find_or_add_model(room, request) : NULL;
    if (model != NULL) {
        model->last_used_at = now;
        ch_room_window_add(model->window, request, now);
        ch_room_rarity_record(&model->rarity, now);
    }
    pthread_mutex_unlock(&room->lock);
}

/* This node's part of the room that the more urgent ranks leave, in seconds of
 * engine time per second. Lock held. */
static double
estimate_spare(const struct room_model *model, const struct room_level *level,
               uint32_t rank, int64_t now)
{
    double part = level->room / MAX(level->members, 1);
    double spare = part;
    GArray *demands = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    ch_room_window_get(model->window, now, demands);
    for (guint i = 0; i < demands->len; i++) {
        const struct ch_room_demand *demand =
            &g_array_index(demands, struct ch_room_demand, i);
        if (demand->rank < rank) {
            spare -= demand->work * ch_room_find_admitted(level->shares,
                                                          demand->rank,
                                                          demand->team);
        }
    }
    g_array_free(demands, TRUE);
    return MAX(spare, part * MIN_SPARE_SHARE);
}

/* Logs a refusal with what it was decided on. */
static void
log_refusal(const struct ch_room *room, const struct ch_room_request *request,
            const struct room_level *level, double admitted,
            int64_t retry_after, int64_t now)
{
    char team[2 * sizeof(request->team) + 1];
    g_snprintf(team, sizeof(team), "%016" G_GINT64_MODIFIER "x",
               request->team);
    ch_log(room->client, CH_LOG_INFO, "room-refused",
           CH_F_STR("request_id", request->name == NULL ? "" : request->name),
           CH_F_STR("service", g_quark_to_string(request->service)),
           CH_F_STR("model", g_quark_to_string(request->model)),
           CH_F_INT("rank", request->rank), CH_F_STR("team_hash", team),
           CH_F_INT("work_ms", request->work / MILLI),
           CH_F_NUM("admitted", admitted),
           CH_F_STR("counted_by", g_quark_to_string(level->from)),
           CH_F_INT("members", level->members), CH_F_NUM("room", level->room),
           CH_F_INT("level_age_ms",
                    (now - level->received_at + level->age) / MILLI),
           CH_F_INT("retry_ms", retry_after / MILLI), CH_F_END);
}

/* Decides about a request of a model with a level. Lock held. */
static bool
admit_by_level(const struct ch_room *room, struct room_model *model,
               const struct room_level *level,
               const struct ch_room_request *request, int64_t now,
               int64_t *retry_after)
{
    double admitted =
        ch_room_find_admitted(level->shares, request->rank, request->team);
    const struct ch_room_use use = ch_room_window_get_use(
        model->window, request->rank, request->team, now);
    if (ch_room_is_admitted(admitted, &use, request) ||
        ch_room_rarity_spare(&model->rarity, now)) {
        count_event(room, CH_COUNT_ROOM_ADMITTED);
        return true;
    }
    *retry_after = ch_room_returns_promise(
        model->returns, request,
        estimate_spare(model, level, request->rank, now), now);
    count_event(room, CH_COUNT_ROOM_REFUSED);
    log_refusal(room, request, level, admitted, *retry_after, now);
    return false;
}

/* See room.h. */
bool
ch_room_admit(struct ch_room *room, const struct ch_room_request *request,
              double engine_room, int64_t *retry_after)
{
    bool admitted = true;
    if (room == NULL) {
        return true;
    }
    int64_t now = ch_client_get_time(room->client);
    pthread_mutex_lock(&room->lock);
    struct room_model *model =
        is_on(room, request) ? find_model(room, request) : NULL;
    if (model != NULL) {
        count_event(room, CH_COUNT_ROOM_SHORT);
        model->last_short_at = now;
        model->engine_room = engine_room;
        ch_room_window_add_short(model->window, request, now);
        const struct room_level *level = room_get_level(model, now);
        admitted = level == NULL || admit_by_level(room, model, level, request,
                                                   now, retry_after);
    }
    pthread_mutex_unlock(&room->lock);
    return admitted;
}

/* ---- the tick ---- */

/* The part of the room that this node divides where it counts. Nodes that it
 * does not hear may be alive and have another node that counts for them. */
static double
get_part(const struct ch_room *room)
{
    size_t listed = room->peers.count_listed(room->peers.data);
    GPtrArray *others = room->peers.list_live(room->peers.data);
    size_t live = others->len + 1;
    g_ptr_array_free(others, TRUE);
    return listed > live ? (double)live / (double)listed : 1;
}

/* Logs that a model has become short of room, or is no longer. Lock held. */
static void
log_change(const struct ch_room *room, const struct room_count *count)
{
    const struct ch_room_count *state = &count->count;
    ch_log(room->client, CH_LOG_NOTICE,
           state->state.short_of_room ? "room-short" : "room-enough",
           CH_F_STR("service", g_quark_to_string(count->key.service)),
           CH_F_STR("model", g_quark_to_string(count->key.model)),
           CH_F_NUM("demand", state->demand), CH_F_NUM("room", state->room),
           CH_F_INT("members", state->members->len), CH_F_END);
}

/* Divides the room of the models that this node counts, and forgets those
 * that nobody reports any more. Lock held. */
static void
update_counts(struct ch_room *room, double part, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, room->counts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct room_count *count = value;
        if (ch_room_count_update(&count->count, part, now)) {
            log_change(room, count);
        }
        if (count->count.members->len == 0 &&
            !count->count.state.short_of_room) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* For g_hash_table_foreach_remove(). */
static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const struct room_model *model = value;
    const int64_t *now = data;
    return *now - model->last_used_at > FORGET_US;
}

static void
tick(void *data)
{
    struct ch_room *room = data;
    double part = get_part(room);
    int64_t now = ch_client_get_time(room->client);
    pthread_mutex_lock(&room->lock);
    if (room->stopped) {
        pthread_mutex_unlock(&room->lock);
        return;
    }
    update_counts(room, part, now);
    g_hash_table_foreach_remove(room->models, is_forgotten, &now);
    ch_timers_add(room->timers, ROOM_PERIOD_US, tick, room);
    pthread_mutex_unlock(&room->lock);
    room_send_reports(room);
    room_send_levels(room);
}

/* ---- status ---- */

static void
add_integer(JsonBuilder *builder, const char *name, int64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, value);
}

static void
add_number(JsonBuilder *builder, const char *name, double value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, value);
}

static void
add_name(JsonBuilder *builder, const char *name, GQuark value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, g_quark_to_string(value));
}

static void
write_shares(const GArray *shares, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "shares");
    json_builder_begin_array(builder);
    for (guint i = 0; i < shares->len; i++) {
        const struct ch_room_share *share =
            &g_array_index(shares, struct ch_room_share, i);
        g_autofree char *team =
            g_strdup_printf("%016" G_GINT64_MODIFIER "x", share->team);
        json_builder_begin_object(builder);
        add_integer(builder, "rank", share->rank);
        json_builder_set_member_name(builder, "team_hash");
        json_builder_add_string_value(builder, team);
        add_number(builder, "admitted", share->admitted);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

/* A model for which this node has a level. */
static void
write_model(const struct room_model *model, const struct room_level *level,
            int64_t now, JsonBuilder *builder)
{
    json_builder_begin_object(builder);
    add_name(builder, "service", model->key.service);
    add_name(builder, "model", model->key.model);
    add_name(builder, "counted_by", level->from);
    add_integer(builder, "members", level->members);
    add_number(builder, "room", level->room);
    add_number(builder, "room_seen_here", model->engine_room);
    add_integer(builder, "level_age_ms",
                (now - level->received_at + level->age) / MILLI);
    write_shares(level->shares, builder);
    json_builder_end_object(builder);
}

/* A model that this node counts. */
static void
write_count(const struct room_count *count, JsonBuilder *builder)
{
    json_builder_begin_object(builder);
    add_name(builder, "service", count->key.service);
    add_name(builder, "model", count->key.model);
    json_builder_set_member_name(builder, "short");
    json_builder_add_boolean_value(builder, count->count.state.short_of_room);
    add_integer(builder, "members", count->count.members->len);
    add_number(builder, "demand", count->count.demand);
    add_number(builder, "room", count->count.room);
    json_builder_end_object(builder);
}

/* Writes the two arrays. Lock held. */
static void
write_tables(const struct ch_room *room, JsonBuilder *builder)
{
    int64_t now = ch_client_get_time(room->client);
    GHashTableIter iterator;
    gpointer value = NULL;
    json_builder_set_member_name(builder, "models");
    json_builder_begin_array(builder);
    g_hash_table_iter_init(&iterator, room->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct room_level *level = room_get_level(value, now);
        if (level != NULL) {
            write_model(value, level, now, builder);
        }
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "counted");
    json_builder_begin_array(builder);
    g_hash_table_iter_init(&iterator, room->counts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        write_count(value, builder);
    }
    json_builder_end_array(builder);
}

/* See room.h. */
void
ch_room_write_status(struct ch_room *room, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "room");
    json_builder_begin_object(builder);
    if (room != NULL) {
        pthread_mutex_lock(&room->lock);
        write_tables(room, builder);
        pthread_mutex_unlock(&room->lock);
    }
    json_builder_end_object(builder);
}

/* ---- lifetime ---- */

/* See room.h. */
struct ch_room *
ch_room_new(struct ch_client *client, struct ch_timers *timers,
            const struct ch_room_peers *peers, bool is_on_for_all)
{
    struct ch_room *room = g_new0(struct ch_room, 1);
    room->client = client;
    room->timers = timers;
    room->peers = *peers;
    room->is_on = is_on_for_all;
    room->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    room->counters = g_hash_table_new(NULL, NULL);
    room->models =
        g_hash_table_new_full(hash_key, are_keys_equal, NULL, free_model);
    room->counts =
        g_hash_table_new_full(hash_key, are_keys_equal, NULL, free_count);
    pthread_mutex_init(&room->lock, NULL);
    return room;
}

/* See room.h. */
void
ch_room_start(struct ch_room *room)
{
    if (room != NULL) {
        ch_timers_add(room->timers, ROOM_PERIOD_US, tick, room);
    }
}

/* See room.h. */
void
ch_room_stop(struct ch_room *room)
{
    if (room != NULL) {
        pthread_mutex_lock(&room->lock);
        room->stopped = true;
        pthread_mutex_unlock(&room->lock);
    }
}

/* See room.h. */
void
ch_room_free(struct ch_room *room)
{
    if (room == NULL) {
        return;
    }
    g_hash_table_destroy(room->models);
    g_hash_table_destroy(room->counts);
    g_hash_table_destroy(room->services);
    g_hash_table_destroy(room->counters);
    pthread_mutex_destroy(&room->lock);
    g_free(room);
}
