/* What nodes tell each other of the load of upstreams: each its data centre's
 * aggregator, which tells the nodes there and the other aggregators. */

#include "pace/pace_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Aggregators of other regions are told less often: the links are slow
     * and paid, and readings are older when they arrive. */
    FAR_TICK_US = 500 * 1000,
    /* A later reading that differs little is told after this time. */
    REPEAT_US = 1000 * 1000,
    /* A reading that a node told comes back from an aggregator within this
     * time, and seems to be later than it is by the time on the way. */
    ECHO_US = 300 * 1000,
};

/* A pace that differs by this part of the one told is told again. */
static const double TOLD_CHANGE = 0.1;

/* The lists of a message; they have `count` entries each. */
struct readings {
    uint64_t hashes[PACE_MAX_MESSAGE_UPSTREAMS];
    uint32_t running[PACE_MAX_MESSAGE_UPSTREAMS];
    uint32_t waiting[PACE_MAX_MESSAGE_UPSTREAMS];
    uint32_t slots[PACE_MAX_MESSAGE_UPSTREAMS];
    uint32_t percent[PACE_MAX_MESSAGE_UPSTREAMS];
    uint32_t age_ms[PACE_MAX_MESSAGE_UPSTREAMS];
    size_t count;
};

/* ---- sending ---- */

/* Whether an audience is told readings of this origin. A reading that was
 * passed on is passed on once more at most, so that it does not circulate. */
static bool
is_for(enum pace_audience audience, enum pace_origin origin)
{
    switch (audience) {
    case PACE_TO_AGGREGATOR:
        return origin == PACE_ORIGIN_RESPONSE;
    case PACE_TO_NEIGHBOURS:
        return origin != PACE_ORIGIN_AGGREGATOR;
    default:
        return origin == PACE_ORIGIN_RESPONSE || origin == PACE_ORIGIN_NODE;
    }
}

/* Whether there is a reading that the audience has not been told yet. */
static bool
is_untold(const struct pace_upstream *upstream, enum pace_audience audience,
          int64_t now)
{
    return ch_pace_state_is_known(&upstream->state, now) &&
           is_for(audience, upstream->origin) &&
           upstream->state.last_at > upstream->told[audience].stated_at;
}

/* Whether an untold reading is to be told now. */
static bool
is_due(const struct pace_upstream *upstream, enum pace_audience audience,
       int64_t now)
{
    const struct ch_pace_reading *last = &upstream->state.last;
    const struct pace_told *told = &upstream->told[audience];
    double change = (double)last->percent - told->reading.percent;
    return now - told->sent_at >= REPEAT_US || told->stated_at == 0 ||
           last->running != told->reading.running ||
           last->waiting != told->reading.waiting ||
           ABS(change) >= told->reading.percent * TOLD_CHANGE;
}

static int
compare_by_sent_at(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct pace_upstream *const *first = a;
    const struct pace_upstream *const *second = b;
    enum pace_audience audience = GPOINTER_TO_UINT(data);
    int64_t difference =
        (*first)->told[audience].sent_at - (*second)->told[audience].sent_at;
    return difference < 0 ? -1 : difference > 0;
}

/* Adds the last reading of an upstream, and records that the audience is told.
 * Lock held. */
static void
add_reading(struct readings *readings, struct pace_upstream *upstream,
            enum pace_audience audience, int64_t now)
{
    const struct ch_pace_reading *last = &upstream->state.last;
    int64_t stated_at = upstream->state.last_at;
    size_t i = readings->count++;
    readings->hashes[i] = upstream->hash;
    readings->running[i] = last->running;
    readings->waiting[i] = last->waiting;
    readings->slots[i] = last->slots;
    readings->percent[i] = last->percent;
    readings->age_ms[i] = (uint32_t)(MAX(now - stated_at, 0) / 1000);
    upstream->told[audience] = (struct pace_told){*last, stated_at, now};
}

/* Collects what the audience is to be told now; true if something is left for
 * later. Lock not held. */
static bool
collect_readings(struct ch_pace *pace, enum pace_audience audience,
                 int64_t now, struct readings *readings)
{
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_any_left = false;
    readings->count = 0;
    pthread_mutex_lock(&pace->lock);
    g_hash_table_iter_init(&iterator, pace->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (!is_untold(value, audience, now)) {
            continue;
        }
        if (is_due(value, audience, now)) {
            g_ptr_array_add(due, value);
        }
        else {
            is_any_left = true;
        }
    }
    if (due->len > PACE_MAX_MESSAGE_UPSTREAMS) {
        g_ptr_array_sort_with_data(due, compare_by_sent_at,
                                   GUINT_TO_POINTER(audience));
        is_any_left = true;
    }
    for (guint i = 0; i < MIN(due->len, PACE_MAX_MESSAGE_UPSTREAMS); i++) {
        add_reading(readings, g_ptr_array_index(due, i), audience, now);
    }
    pthread_mutex_unlock(&pace->lock);
    g_ptr_array_free(due, TRUE);
    return is_any_left;
}

static void
send_readings(const struct ch_pace *pace, const char *to,
              struct readings *readings, bool passed_on)
{
    Chestnuthitch__Wire__PaceReadings body = WIRE(PACE_READINGS__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.n_upstreams = readings->count;
    body.upstreams = readings->hashes;
    body.n_running = readings->count;
    body.running = readings->running;
    body.n_waiting = readings->count;
    body.waiting = readings->waiting;
    body.n_slots = readings->count;
    body.slots = readings->slots;
    body.n_percent = readings->count;
    body.percent = readings->percent;
    body.n_age_ms = readings->count;
    body.age_ms = readings->age_ms;
    body.passed_on = passed_on;
    frame.body_case = WIRE(FRAME__BODY_PACE_READINGS);
    frame.pace_readings = &body;
    pace->peers.send(pace->peers.data, to, &frame);
    pace_count(pace, CH_COUNT_PACE_TOLD, readings->count);
}

/* Tells an audience what is due; true if something is left for later. */
static bool
tell(struct ch_pace *pace, enum pace_audience audience, GPtrArray *names,
     int64_t now)
{
    struct readings readings;
    bool is_any_left = collect_readings(pace, audience, now, &readings);
    for (guint i = 0; i < names->len && readings.count > 0; i++) {
        send_readings(pace, g_ptr_array_index(names, i), &readings,
                      audience != PACE_TO_AGGREGATOR);
    }
    return is_any_left;
}

/* Tells all that an aggregator tells; true if something is left for later. */
static bool
tell_as_aggregator(struct ch_pace *pace, int64_t now)
{
    void *data = pace->peers.data;
    GPtrArray *neighbours = pace->peers.list_neighbours(data);
    bool is_any_left = tell(pace, PACE_TO_NEIGHBOURS, neighbours, now);
    pthread_mutex_lock(&pace->lock);
    GPtrArray *previous = pace->neighbours;
    pace->neighbours = neighbours;
    bool is_far_due = now - pace->last_far_at >= FAR_TICK_US;
    if (is_far_due) {
        pace->last_far_at = now;
    }
    pthread_mutex_unlock(&pace->lock);
    g_ptr_array_free(previous, TRUE);
    g_autoptr(GPtrArray) near = pace->peers.list_aggregators(data, true);
    is_any_left |= tell(pace, PACE_TO_NEAR, near, now);
    if (!is_far_due) {
        return true;
    }
    g_autoptr(GPtrArray) far = pace->peers.list_aggregators(data, false);
    return tell(pace, PACE_TO_FAR, far, now) || is_any_left;
}

static void
tick(void *data)
{
    struct ch_pace *pace = data;
    int64_t now = ch_client_get_time(pace->client);
    bool is_any_left = false;
    pthread_mutex_lock(&pace->lock);
    bool is_stopped = pace->stopped;
    pace->is_tick_scheduled = false;
    pace->last_tick_at = now;
    pthread_mutex_unlock(&pace->lock);
    if (is_stopped) {
        return;
    }
    g_autofree char *aggregator =
        pace->peers.find_aggregator(pace->peers.data, pace->peers.data_centre);
    if (aggregator == NULL) {
        return;
    }
    if (strcmp(aggregator, pace->peers.self) == 0) {
        is_any_left = tell_as_aggregator(pace, now);
    }
    else {
        g_autoptr(GPtrArray) names = g_ptr_array_new();
        g_ptr_array_add(names, aggregator);
        is_any_left = tell(pace, PACE_TO_AGGREGATOR, names, now);
    }
    if (is_any_left) {
        pthread_mutex_lock(&pace->lock);
        pace_schedule_tick(pace);
        pthread_mutex_unlock(&pace->lock);
    }
}

/* See pace_internal.h. There is no tick while there is nothing to tell. */
void
pace_schedule_tick(struct ch_pace *pace)
{
    if (pace->stopped || pace->is_tick_scheduled) {
        return;
    }
    int64_t passed = ch_client_get_time(pace->client) - pace->last_tick_at;
    pace->is_tick_scheduled = true;
    ch_timers_add(pace->timers, CLAMP(PACE_TICK_US - passed, 0, PACE_TICK_US),
                  tick, pace);
}

/* ---- receiving ---- */

/* Whether a node was among the neighbours that this node told last. Lock held.
 */
static bool
is_neighbour(const struct ch_pace *pace, const char *name)
{
    return g_ptr_array_find_with_equal_func(pace->neighbours, name,
                                            g_str_equal, NULL);
}

/* Whether this is a reading that this node told its data centre. It must not
 * replace the node's own: as one that was passed on, it would no longer be
 * told to the audiences that are still to be told. */
static bool
is_echo(const struct pace_upstream *upstream,
        const struct ch_pace_reading *reading, int64_t at)
{
    static const enum pace_audience audiences[] = {PACE_TO_AGGREGATOR,
                                                   PACE_TO_NEIGHBOURS};
    for (size_t i = 0; i < G_N_ELEMENTS(audiences); i++) {
        const struct pace_told *told = &upstream->told[audiences[i]];
        if (told->stated_at != 0 && at - told->stated_at < ECHO_US &&
            reading->running == told->reading.running &&
            reading->waiting == told->reading.waiting &&
            reading->percent == told->reading.percent) {
            return true;
        }
    }
    return false;
}

/* Takes over one reading of a message; false if it is left out. One from
 * before the listed process was known is of the process before it. Lock held.
 */
static bool
handle_reading(struct ch_pace *pace,
               const Chestnuthitch__Wire__PaceReadings *body, size_t i,
               enum pace_origin origin, const char *from, int64_t now)
{
    const struct ch_pace_reading reading = {body->running[i], body->waiting[i],
                                            body->slots[i], body->percent[i]};
    int64_t at = now - (int64_t)body->age_ms[i] * 1000;
    struct pace_upstream *upstream =
        g_hash_table_lookup(pace->by_hash, &body->upstreams[i]);
    if (upstream == NULL || reading.percent == 0 ||
        !pace_reading_is_valid(&reading) || now - at > PACE_KNOWN_US ||
        (upstream->cleared_at != 0 && at <= upstream->cleared_at)) {
        return false;
    }
    if (!body->passed_on || !is_echo(upstream, &reading, at)) {
        pace_take_over(pace, upstream, &reading, at, origin, from);
    }
    return true;
}

/* See pace.h. */
void
ch_pace_handle_readings(struct ch_pace *pace,
                        const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__PaceReadings *body = frame->pace_readings;
    size_t count = body->n_upstreams;
    if (pace == NULL || body->n_running != count || body->n_waiting != count ||
        body->n_slots != count || body->n_percent != count ||
        body->n_age_ms != count) {
        return;
    }
    int64_t now = ch_client_get_time(pace->client);
    uint64_t heard = 0;
    pthread_mutex_lock(&pace->lock);
    enum pace_origin origin = PACE_ORIGIN_NODE;
    if (body->passed_on) {
        origin = is_neighbour(pace, frame->from) ? PACE_ORIGIN_AGGREGATOR
                                                 : PACE_ORIGIN_OTHER_CENTRE;
    }
    for (size_t i = 0; i < MIN(count, PACE_MAX_MESSAGE_UPSTREAMS); i++) {
        heard += handle_reading(pace, body, i, origin, frame->from, now);
    }
    pthread_mutex_unlock(&pace->lock);
    pace_count(pace, CH_COUNT_PACE_HEARD, heard);
}
