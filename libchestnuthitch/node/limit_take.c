/* Permission for calls to upstreams with a limit, and the count of them at the
 * node that counts. */

#include "node/limit_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Time for the counting node to answer, some round trips between
     * regions. */
    TAKE_TIMEOUT_US = 300 * 1000,
    /* The counting node did not answer: by then another one counts. */
    UNAVAILABLE_RETRY_AFTER_US = 1000 * 1000,
};

/* A call that waits for permission. */
struct take {
    struct ch_limit_manager *manager;
    GQuark upstream;
    enum ch_limited_call kind;
    bool last_resort;
    struct ch_limit_permission permission;
    void (*done)(void *data, bool granted, int64_t retry_after);
    void *data;
};

/* Reports the result and frees the take; on a pool worker. */
static void
take_end(void *data)
{
    struct take *take = data;
    struct ch_limit_manager *manager = take->manager;
    if (take->permission.granted) {
        pthread_mutex_lock(&manager->lock);
        struct limited_upstream *upstream =
            limit_manager_find_limited(manager, take->upstream);
        if (upstream != NULL) {
            limit_manager_count_call(manager, upstream, take->kind);
        }
        pthread_mutex_unlock(&manager->lock);
    }
    else {
        limit_manager_count_event(manager, CH_COUNT_LIMITED_REFUSED);
    }
    take->done(take->data, take->permission.granted,
               take->permission.retry_after);
    g_free(take);
}

/* Asks this node's own count; an upstream without a limit takes any call. */
static struct ch_limit_permission
count_here(struct ch_limit_manager *manager, GQuark name, bool last_resort)
{
    int64_t now = ch_client_get_time(manager->node->client);
    struct ch_peers_counts counts;
    ch_peers_count(manager->node->peers, manager->node->settings->region,
                   &counts);
    struct ch_limit_permission permission = {.granted = true};
    pthread_mutex_lock(&manager->lock);
    struct limited_upstream *upstream =
        limit_manager_find_limited(manager, name);
    if (upstream != NULL) {
        permission = ch_limit_counter_take(
            &upstream->counter, upstream->state.last.per_s,
            ch_limit_get_part(counts.live, counts.listed), last_resort, now);
    }
    pthread_mutex_unlock(&manager->lock);
    return permission;
}

/* Handles the counting node's reply, or that none came in time. */
static void
handle_permission(void *data, enum ch_code code,
                  const Chestnuthitch__Wire__Frame *reply)
{
    struct take *take = data;
    struct ch_limit_manager *manager = take->manager;
    take->permission = (struct ch_limit_permission){
        .retry_after = UNAVAILABLE_RETRY_AFTER_US};
    if (code == CH_OK && reply != NULL &&
        reply->body_case == WIRE(FRAME__BODY_LIMIT_PERMISSION)) {
        const Chestnuthitch__Wire__LimitPermission *permission =
            reply->limit_permission;
        take->permission.granted = permission->granted;
        take->permission.retry_after =
            (int64_t)permission->retry_after_ms * 1000;
        if (permission->state != NULL) {
            int64_t now = ch_client_get_time(manager->node->client);
            pthread_mutex_lock(&manager->lock);
            limit_spread_read_state(manager, permission->state, reply->from,
                                    now, NULL);
            pthread_mutex_unlock(&manager->lock);
        }
    }
    take_end(take);
}

/* Asks the node that counts. */
static void
send_take(struct take *take, const char *counter,
          Chestnuthitch__Wire__LimitState *state)
{
    Chestnuthitch__Wire__LimitTake body = WIRE(LIMIT_TAKE__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.state = state;
    body.last_resort = take->last_resort;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_TAKE);
    frame.limit_take = &body;
    ch_peers_request(take->manager->node->peers, counter, &frame,
                     TAKE_TIMEOUT_US, handle_permission, take);
}

/* Answers a node that asks for permission. */
static void
handle_take(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_limit_manager *manager = data;
    if (frame->limit_take->slot != NULL && manager->node->slots != NULL) {
        ch_slots_handle_ask(manager->node->slots, frame);
        return;
    }
    int64_t now = ch_client_get_time(manager->node->client);
    enum ch_limit_change change = CH_LIMIT_UNCHANGED;
    Chestnuthitch__Wire__LimitState state = WIRE(LIMIT_STATE__INIT);
    Chestnuthitch__Wire__LimitPermission body = WIRE(LIMIT_PERMISSION__INIT);
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    GQuark name = 0;
    if (frame->limit_take->state != NULL) {
        pthread_mutex_lock(&manager->lock);
        const struct limited_upstream *upstream = limit_spread_read_state(
            manager, frame->limit_take->state, frame->from, now, &change);
        if (upstream != NULL) {
            name = upstream->name;
            state = limit_spread_write_state(upstream, now);
            body.state = &state;
        }
        pthread_mutex_unlock(&manager->lock);
    }
    if (change != CH_LIMIT_UNCHANGED) {
        limit_spread_change(manager, name);
    }
    const struct ch_limit_permission permission =
        count_here(manager, name, frame->limit_take->last_resort);
    body.granted = permission.granted;
    body.retry_after_ms = (uint32_t)((permission.retry_after + 999) / 1000);
    reply.body_case = WIRE(FRAME__BODY_LIMIT_PERMISSION);
    reply.limit_permission = &body;
    ch_peers_reply(manager->node->peers, frame->from, frame->id, &reply);
}

/* See limit_manager.h. */
void
ch_limit_manager_take(struct ch_limit_manager *manager, GQuark name,
                      enum ch_limited_call kind, bool last_resort,
                      void (*done)(void *data, bool granted,
                                   int64_t retry_after),
                      void *data)
{
    struct take *take = g_new0(struct take, 1);
    *take = (struct take){
        .manager = manager,
        .upstream = name,
        .kind = kind,
        .last_resort = last_resort,
        .permission = {.granted = true},
        .done = done,
        .data = data,
    };
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    const struct limited_upstream *upstream =
        limit_manager_find_limited(manager, name);
    GQuark region = upstream == NULL ? 0 : upstream->region;
    Chestnuthitch__Wire__LimitState state = WIRE(LIMIT_STATE__INIT);
    if (upstream != NULL) {
        state = limit_spread_write_state(upstream, now);
    }
    pthread_mutex_unlock(&manager->lock);
    g_autofree char *counter =
        upstream == NULL ? NULL
                         : limit_spread_find_counter(manager, name, region);
    if (counter != NULL &&
        strcmp(counter, manager->node->settings->name) != 0) {
        send_take(take, counter, &state);
        return;
    }
    if (upstream != NULL) {
        take->permission = count_here(manager, name, last_resort);
    }
    ch_pool_submit(manager->node->pool, take_end, take);
}

/* See limit_internal.h. */
void
limit_take_init(struct ch_limit_manager *manager)
{
    ch_peers_set_handler(manager->node->peers, WIRE(FRAME__BODY_LIMIT_TAKE),
                         handle_take, manager);
}
