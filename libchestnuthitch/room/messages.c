/* What nodes tell each other of the demand for models that are short of room:
 * members report it, the node that counts sends levels of admission. */

#include "room/room_internal.h"

#include <math.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    MAX_NAME_BYTES = 256,
    /* Engine time per second of all engines, in milliseconds: a thousand times
     * that of the largest fleet. */
    MAX_WORK_MS = 1000 * 1000 * 1000,
    /* A figure that is older was sent by a clock or node that is wrong. */
    MAX_AGE_MS = 10 * 1000,
    MILLI = 1000,
};

/* Writes at least 1 for what is above 0, so that no pair seems to ask for
 * nothing. */
static uint32_t
to_milli(double value)
{
    return (uint32_t)ceil(CLAMP(value * MILLI, 0, MAX_WORK_MS));
}

static char *
get_name(GQuark quark)
{
    return (char *)g_quark_to_string(quark);
}

static bool
is_name(const char *name)
{
    size_t length = strnlen(name, MAX_NAME_BYTES + 1);
    return length > 0 && length <= MAX_NAME_BYTES;
}

static void
log_malformed(const struct ch_room *room,
              const Chestnuthitch__Wire__Frame *frame, const char *kind)
{
    ch_log(room->client, CH_LOG_WARNING, "room-message-malformed",
           CH_F_STR("from", frame->from), CH_F_STR("message", kind), CH_F_END);
}

/* ---- reports to the counting node ---- */

/* A report that is being put together. */
struct report {
    GQuark service;
    Chestnuthitch__Wire__RoomReport body;
    GPtrArray *demands; /* Chestnuthitch__Wire__RoomDemand */
};

static void
free_demand(void *data)
{
    Chestnuthitch__Wire__RoomDemand *demand = data;
    g_free(demand->ranks);
    g_free(demand->teams);
    g_free(demand->work);
    g_free(demand);
}

static void
free_report(void *data)
{
    struct report *report = data;
    g_ptr_array_free(report->demands, TRUE);
    g_free(report);
}

/* Writes the demand for one model. Lock held. */
static Chestnuthitch__Wire__RoomDemand *
write_demand(const struct room_model *model, int64_t now)
{
    Chestnuthitch__Wire__RoomDemand *out =
        g_new(Chestnuthitch__Wire__RoomDemand, 1);
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    ch_room_window_get(model->window, now, pairs);
    *out = (Chestnuthitch__Wire__RoomDemand)WIRE(ROOM_DEMAND__INIT);
    out->model = get_name(model->key.model);
    out->room = to_milli(model->engine_room);
    out->n_ranks = out->n_teams = out->n_work = pairs->len;
    out->ranks = g_new(uint32_t, pairs->len);
    out->teams = g_new(uint64_t, pairs->len);
    out->work = g_new(uint32_t, pairs->len);
    for (guint i = 0; i < pairs->len; i++) {
        const struct ch_room_demand *pair =
            &g_array_index(pairs, struct ch_room_demand, i);
        out->ranks[i] = pair->rank;
        out->teams[i] = pair->team;
        out->work[i] = to_milli(pair->work);
    }
    g_array_free(pairs, TRUE);
    return out;
}

static struct report *
find_or_add_report(GPtrArray *reports, GQuark service)
{
    for (guint i = 0; i < reports->len; i++) {
        struct report *report = g_ptr_array_index(reports, i);
        if (report->service == service) {
            return report;
        }
    }
    struct report *report = g_new0(struct report, 1);
    report->service = service;
    report->demands = g_ptr_array_new_with_free_func(free_demand);
    g_ptr_array_add(reports, report);
    return report;
}

/* Orders models by the time of their last short request, the latest first:
 * those are reported if there are too many. */
static gint
compare_last_short(gconstpointer a, gconstpointer b)
{
    int64_t first = (*(const struct room_model *const *)a)->last_short_at;
    int64_t second = (*(const struct room_model *const *)b)->last_short_at;
    return (first < second) - (first > second);
}

/* Puts the reports together, one for each service. Lock held. */
static GPtrArray *
collect_reports(const struct ch_room *room, int64_t now)
{
    GPtrArray *reports = g_ptr_array_new_with_free_func(free_report);
    GPtrArray *models = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, room->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct room_model *model = value;
        if (model->last_short_at != 0 &&
            now - model->last_short_at <= ROOM_REPORTED_US) {
            g_ptr_array_add(models, value);
        }
    }
    g_ptr_array_sort(models, compare_last_short);
    for (guint i = 0; i < models->len; i++) {
        const struct room_model *model = g_ptr_array_index(models, i);
        struct report *report =
            find_or_add_report(reports, model->key.service);
        if (report->demands->len < CH_ROOM_MAX_MODELS) {
            g_ptr_array_add(report->demands, write_demand(model, now));
        }
    }
    g_ptr_array_free(models, TRUE);
    return reports;
}

/* Sends a report to the node that counts its service. */
static void
send_report(struct ch_room *room, struct report *report)
{
    Chestnuthitch__Wire__RoomReport body = WIRE(ROOM_REPORT__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    g_autofree char *counter =
        room->peers.find_counter(room->peers.data, report->service);
    if (counter == NULL) {
        return;
    }
    pthread_mutex_lock(&room->lock);
    g_hash_table_replace(room->counters, GUINT_TO_POINTER(report->service),
                         GUINT_TO_POINTER(g_quark_from_string(counter)));
    pthread_mutex_unlock(&room->lock);
    body.service = get_name(report->service);
    body.n_demands = report->demands->len;
    body.demands = (Chestnuthitch__Wire__RoomDemand **)report->demands->pdata;
    frame.body_case = WIRE(FRAME__BODY_ROOM_REPORT);
    frame.room_report = &body;
    room->peers.send(room->peers.data, counter, &frame);
}

/* See room_internal.h. */
void
room_send_reports(struct ch_room *room)
{
    pthread_mutex_lock(&room->lock);
    GPtrArray *reports =
        collect_reports(room, ch_client_get_time(room->client));
    pthread_mutex_unlock(&room->lock);
    for (guint i = 0; i < reports->len; i++) {
        send_report(room, g_ptr_array_index(reports, i));
    }
    g_ptr_array_free(reports, TRUE);
}

static bool
is_demand_valid(const Chestnuthitch__Wire__RoomDemand *demand)
{
    if (!is_name(demand->model) || demand->n_ranks > CH_ROOM_MAX_PAIRS ||
        demand->n_teams != demand->n_ranks ||
        demand->n_work != demand->n_ranks || demand->room > MAX_WORK_MS) {
        return false;
    }
    for (size_t i = 0; i < demand->n_work; i++) {
        if (demand->work[i] > MAX_WORK_MS) {
            return false;
        }
    }
    return true;
}

static bool
is_report_valid(const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__RoomReport *report = frame->room_report;
    if (!is_name(frame->from) || !is_name(report->service) ||
        report->n_demands > CH_ROOM_MAX_MODELS) {
        return false;
    }
    for (size_t i = 0; i < report->n_demands; i++) {
        if (!is_demand_valid(report->demands[i])) {
            return false;
        }
    }
    return true;
}

/* Takes over a node's demand for one model. Lock held. */
static void
hear_demand(struct ch_room *room, GQuark service, GQuark node,
            const Chestnuthitch__Wire__RoomDemand *demand, int64_t now)
{
    struct room_count *count = room_find_or_add_count(
        room, service, g_quark_from_string(demand->model));
    if (count == NULL) {
        return;
    }
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    for (size_t i = 0; i < demand->n_ranks; i++) {
        const struct ch_room_demand pair = {demand->ranks[i], demand->teams[i],
                                            (double)demand->work[i] / MILLI};
        g_array_append_val(pairs, pair);
    }
    ch_room_count_hear(&count->count, node, pairs,
                       (double)demand->room / MILLI, now);
    g_array_free(pairs, TRUE);
}

/* See room.h. */
void
ch_room_handle_report(struct ch_room *room,
                      const Chestnuthitch__Wire__Frame *frame)
{
    if (room == NULL) {
        return;
    }
    if (!is_report_valid(frame)) {
        log_malformed(room, frame, "report");
        return;
    }
    const Chestnuthitch__Wire__RoomReport *report = frame->room_report;
    GQuark service = g_quark_from_string(report->service);
    GQuark node = g_quark_from_string(frame->from);
    int64_t now = ch_client_get_time(room->client);
    pthread_mutex_lock(&room->lock);
    for (size_t i = 0; i < report->n_demands; i++) {
        hear_demand(room, service, node, report->demands[i], now);
    }
    pthread_mutex_unlock(&room->lock);
}

/* ---- levels to the members ---- */

/* The levels for one member. */
struct levels {
    GQuark to;
    GQuark service;
    int64_t age;
    GPtrArray *list; /* Chestnuthitch__Wire__RoomLevel */
};

static void
free_level(void *data)
{
    Chestnuthitch__Wire__RoomLevel *level = data;
    g_free(level->ranks);
    g_free(level->teams);
    g_free(level->admitted);
    g_free(level);
}

static void
free_levels(void *data)
{
    struct levels *levels = data;
    g_ptr_array_free(levels->list, TRUE);
    g_free(levels);
}

/* Orders shares by what is admitted, the least first: others need not be told,
 * as a pair that is not listed gets the largest part of its rank. */
static gint
compare_shares(gconstpointer a, gconstpointer b)
{
    double first = ((const struct ch_room_share *)a)->admitted;
    double second = ((const struct ch_room_share *)b)->admitted;
    return (first > second) - (first < second);
}

/* Writes the level of one model. Lock held. */
static Chestnuthitch__Wire__RoomLevel *
write_level(struct room_count *count)
{
    Chestnuthitch__Wire__RoomLevel *out =
        g_new(Chestnuthitch__Wire__RoomLevel, 1);
    GArray *shares = count->count.shares;
    guint listed = MIN(shares->len, CH_ROOM_MAX_PAIRS);
    g_array_sort(shares, compare_shares);
    *out = (Chestnuthitch__Wire__RoomLevel)WIRE(ROOM_LEVEL__INIT);
    out->model = get_name(count->key.model);
    out->room = to_milli(count->count.room);
    out->members = count->count.members->len;
    out->n_ranks = out->n_teams = out->n_admitted = listed;
    out->ranks = g_new(uint32_t, listed);
    out->teams = g_new(uint64_t, listed);
    out->admitted = g_new(uint32_t, listed);
    for (guint i = 0; i < listed; i++) {
        const struct ch_room_share *share =
            &g_array_index(shares, struct ch_room_share, i);
        out->ranks[i] = share->rank;
        out->teams[i] = share->team;
        out->admitted[i] =
            (uint32_t)lround(CLAMP(share->admitted, 0, 1) * MILLI);
    }
    return out;
}

static struct levels *
find_or_add_levels(GPtrArray *messages, GQuark to, GQuark service)
{
    for (guint i = 0; i < messages->len; i++) {
        struct levels *levels = g_ptr_array_index(messages, i);
        if (levels->to == to && levels->service == service) {
            return levels;
        }
    }
    struct levels *levels = g_new0(struct levels, 1);
    levels->to = to;
    levels->service = service;
    levels->list = g_ptr_array_new_with_free_func(free_level);
    g_ptr_array_add(messages, levels);
    return levels;
}

/* Adds the level of one model to the message of each of its members. A model
 * with enough room adds no level, but its members still get a message, which
 * ends the level that they have. Lock held. */
static void
add_level(struct room_count *count, GPtrArray *messages)
{
    for (guint i = 0; i < count->count.members->len; i++) {
        struct levels *levels = find_or_add_levels(
            messages, ch_room_count_get_member(&count->count, i),
            count->key.service);
        levels->age = MAX(levels->age, count->count.oldest_report);
        if (count->count.shares->len > 0 &&
            levels->list->len < CH_ROOM_MAX_MODELS) {
            g_ptr_array_add(levels->list, write_level(count));
        }
    }
}

static void
send_levels(const struct ch_room *room, const struct levels *levels)
{
    Chestnuthitch__Wire__RoomLevels body = WIRE(ROOM_LEVELS__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.service = get_name(levels->service);
    body.n_levels = levels->list->len;
    body.levels = (Chestnuthitch__Wire__RoomLevel **)levels->list->pdata;
    body.age_ms = (uint32_t)(levels->age / MILLI);
    frame.body_case = WIRE(FRAME__BODY_ROOM_LEVELS);
    frame.room_levels = &body;
    room->peers.send(room->peers.data, get_name(levels->to), &frame);
}

/* See room_internal.h. */
void
room_send_levels(struct ch_room *room)
{
    GPtrArray *messages = g_ptr_array_new_with_free_func(free_levels);
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&room->lock);
    g_hash_table_iter_init(&iterator, room->counts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        add_level(value, messages);
    }
    pthread_mutex_unlock(&room->lock);
    for (guint i = 0; i < messages->len; i++) {
        send_levels(room, g_ptr_array_index(messages, i));
    }
    g_ptr_array_free(messages, TRUE);
}

static bool
is_level_valid(const Chestnuthitch__Wire__RoomLevel *level)
{
    if (!is_name(level->model) || level->n_ranks > CH_ROOM_MAX_PAIRS ||
        level->n_teams != level->n_ranks ||
        level->n_admitted != level->n_ranks || level->room > MAX_WORK_MS) {
        return false;
    }
    for (size_t i = 0; i < level->n_admitted; i++) {
        if (level->admitted[i] > MILLI) {
            return false;
        }
    }
    return true;
}

static bool
are_levels_valid(const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__RoomLevels *levels = frame->room_levels;
    if (!is_name(frame->from) || !is_name(levels->service) ||
        levels->n_levels > CH_ROOM_MAX_MODELS || levels->age_ms > MAX_AGE_MS) {
        return false;
    }
    for (size_t i = 0; i < levels->n_levels; i++) {
        if (!is_level_valid(levels->levels[i])) {
            return false;
        }
    }
    return true;
}

/* Takes over the level of one model. Lock held. */
static void
set_level(struct room_level *level, GQuark from,
          const Chestnuthitch__Wire__RoomLevel *stated, int64_t age,
          int64_t now)
{
    level->from = from;
    level->received_at = now;
    level->age = age;
    level->room = (double)stated->room / MILLI;
    level->members = stated->members;
    g_array_set_size(level->shares, 0);
    for (size_t i = 0; i < stated->n_ranks; i++) {
        const struct ch_room_share share = {stated->ranks[i], stated->teams[i],
                                            (double)stated->admitted[i] /
                                                MILLI};
        g_array_append_val(level->shares, share);
    }
}

/* Takes over levels, and ends those that are no longer listed. Lock held. */
static void
set_levels(struct ch_room *room, GQuark service, GQuark from,
           const Chestnuthitch__Wire__RoomLevels *levels, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, room->models);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct room_model *model = value;
        if (model->key.service == service && model->level.from == from) {
            model->level.from = 0;
        }
    }
    for (size_t i = 0; i < levels->n_levels; i++) {
        const struct room_key key = {
            service, g_quark_try_string(levels->levels[i]->model)};
        struct room_model *model = g_hash_table_lookup(room->models, &key);
        if (model != NULL) {
            set_level(&model->level, from, levels->levels[i],
                      (int64_t)levels->age_ms * MILLI, now);
        }
    }
}

/* See room.h. Only the node that this one reported to last knows its demand;
 * levels of another one, which counted before, are ignored. */
void
ch_room_handle_levels(struct ch_room *room,
                      const Chestnuthitch__Wire__Frame *frame)
{
    if (room == NULL) {
        return;
    }
    if (!are_levels_valid(frame)) {
        log_malformed(room, frame, "levels");
        return;
    }
    GQuark service = g_quark_try_string(frame->room_levels->service);
    GQuark from = g_quark_try_string(frame->from);
    int64_t now = ch_client_get_time(room->client);
    pthread_mutex_lock(&room->lock);
    GQuark counter = GPOINTER_TO_UINT(
        g_hash_table_lookup(room->counters, GUINT_TO_POINTER(service)));
    if (service != 0 && from != 0 && from == counter) {
        set_levels(room, service, from, frame->room_levels, now);
    }
    pthread_mutex_unlock(&room->lock);
}
