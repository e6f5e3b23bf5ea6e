/* Leases, each stored as a key under a lease of the key-value store. */

#include "node/lease.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

enum {
    /*
     * How long the lease is used after its last renewal was sent. A longer
     * time bridges more outages of the key-value store without stopping orders
     * (on users' platforms these outages last 4 to 8 seconds); a shorter time
     * lets a successor start sooner when the holder is lost with its host. If
     * only the process was lost, it takes its lease back when it restarts.
     */
    LEASE_USE_US = 6000 * 1000,
    RENEWAL_PERIOD_US = 700 * 1000,
    /* Added to use and pause in the lease of the store: the clocks of two
     * hosts differ a little in speed. */
    CLOCK_MARGIN_US = 200 * 1000,
    /* Between two attempts to acquire the lease. */
    RETRY_DELAY_US = 1000 * 1000,
};

struct ch_lease {
    struct ch_node *node;
    char *key;
    int64_t handover_pause;
    pthread_mutex_t lock;
    int references;
    bool call_in_flight;
    bool released; /* since the current attempt began */
    uint64_t kv_lease_id;
    int64_t renewed_at;   /* when the last successful call for the key-value
                             lease was sent */
    int64_t call_sent_at; /* when the call in flight was sent */
    bool held;
    uint64_t fencing_token;
    bool was_holder;     /* until the store came back from a copy */
    uint64_t returns;    /* of the store, when the lease was acquired */
    int64_t usable_from; /* an earlier holder may use the lease until then */
    char *write_id;      /* value of the write in flight, to recognise it */
    uint64_t write_count;
    int64_t next_attempt_at;
    uint64_t replaced_revision; /* revision of the key of an earlier process;
                                   0: the key is free */
};

/* Drops a reference; the last one frees the lease. */
static void
lease_unref(struct ch_lease *lease)
{
    if (!g_atomic_int_dec_and_test(&lease->references)) {
        return;
    }
    pthread_mutex_destroy(&lease->lock);
    g_free(lease->key);
    g_free(lease->write_id);
    g_free(lease);
}

/* See lease.h. */
struct ch_lease *
ch_lease_new(struct ch_node *node, const char *key, int64_t handover_pause)
{
    struct ch_lease *lease = g_new0(struct ch_lease, 1);
    lease->node = node;
    lease->key = g_strdup(key);
    lease->handover_pause = handover_pause;
    lease->references = 1;
    pthread_mutex_init(&lease->lock, NULL);
    return lease;
}

/* Drops the owner's reference; a call in flight still ends by itself. */
void
ch_lease_free(struct ch_lease *lease)
{
    if (lease != NULL) {
        lease_unref(lease);
    }
}

/* See lease.h. */
bool
ch_lease_is_held(struct ch_lease *lease, uint64_t *fencing_token)
{
    pthread_mutex_lock(&lease->lock);
    int64_t now = ch_clock_get_boottime();
    bool held = lease->held && now - lease->renewed_at < LEASE_USE_US &&
                now >= lease->usable_from;
    *fencing_token = lease->fencing_token;
    pthread_mutex_unlock(&lease->lock);
    return held;
}

/* See lease.h. */
int64_t
ch_lease_get_end(struct ch_lease *lease)
{
    pthread_mutex_lock(&lease->lock);
    int64_t end = lease->renewed_at + LEASE_USE_US;
    pthread_mutex_unlock(&lease->lock);
    return end;
}

/* Sets and logs whether the lease is held. Lock held. */
static void
set_held(struct ch_lease *lease, bool held, const char *why)
{
    if (lease->held != held) {
        ch_log(lease->node->client, CH_LOG_NOTICE,
               held ? "right-got" : "right-lost", CH_F_STR("key", lease->key),
               CH_F_INT("fence", lease->fencing_token), CH_F_STR("why", why),
               CH_F_END);
    }
    lease->held = held;
}

/* Gives up this attempt or lease, and tries again after a delay. Lock held. */
static void
schedule_retry(struct ch_lease *lease, const char *why)
{
    set_held(lease, false, why);
    lease->kv_lease_id = 0;
    lease->next_attempt_at = ch_clock_get_boottime() + RETRY_DELAY_US;
}

/* ---- acquiring and renewing ---- */

/* How long after its last renewal the next holder may use the lease. */
static int64_t
get_ttl(const struct ch_lease *lease)
{
    return LEASE_USE_US + lease->handover_pause + CLOCK_MARGIN_US;
}

/*
 * When the lease may be used. A store that comes back from a copy has lost the
 * leases of the last seconds, and the key is free while its holder, if it is
 * cut off, still uses the lease. The holder itself goes on at once. A process
 * does not see a return before its start, so it takes one for possible, unless
 * it found the key of an earlier process of its host, or nothing ran before.
 */
static int64_t
get_usable_from(const struct ch_lease *lease,
                const struct ch_kv_returns *returns)
{
    const int64_t lost_lease = get_ttl(lease);
    if (lease->was_holder) {
        return 0;
    }
    bool may_follow_return =
        lease->replaced_revision == 0 && !lease->node->settings->first_start;
    int64_t usable_from =
        may_follow_return ? lease->node->started_at + lost_lease : 0;
    if (returns->last_at != 0) {
        int64_t now = ch_clock_get_boottime();
        int64_t age =
            ch_client_get_time(lease->node->client) - returns->last_at;
        usable_from = MAX(usable_from, now + lost_lease - age);
    }
    return usable_from;
}

/* Records that this attempt wrote the key, unless the lease was released
 * meanwhile. Lock held. */
static void
record_acquired(struct ch_lease *lease, uint64_t revision)
{
    if (lease->released) {
        return;
    }
    const struct ch_kv_returns returns = ch_kv_get_returns(lease->node);
    lease->usable_from = get_usable_from(lease, &returns);
    lease->returns = returns.count;
    lease->was_holder = false;
    lease->fencing_token = revision;
    set_held(lease, true, "the key was free");
}

/* Reads the key after a write whose outcome is unknown. */
static void
handle_read_back(void *data, const struct ch_kv_result *answer)
{
    struct ch_lease *lease = data;
    pthread_mutex_lock(&lease->lock);
    lease->call_in_flight = false;
    if (answer->code == CH_OK && answer->length == strlen(lease->write_id) &&
        memcmp(answer->value, lease->write_id, answer->length) == 0) {
        record_acquired(lease, answer->revision);
    }
    else {
        schedule_retry(lease, "the write of the key failed");
    }
    pthread_mutex_unlock(&lease->lock);
    lease_unref(lease);
}

/* Handles the result of the write: done, refused because the key exists, or
 * outcome unknown. */
static void
handle_write(void *data, const struct ch_kv_result *answer)
{
    struct ch_lease *lease = data;
    if (answer->code == CH_KV_AMBIGUOUS) {
        ch_kv_call_get(lease->node, lease->key, handle_read_back, lease);
        return;
    }
    pthread_mutex_lock(&lease->lock);
    lease->call_in_flight = false;
    if (answer->code == CH_OK) {
        record_acquired(lease, answer->revision);
    }
    else {
        schedule_retry(lease, "another node holds the lease");
    }
    pthread_mutex_unlock(&lease->lock);
    lease_unref(lease);
}

/* Handles the grant of a key-value lease: writes the key under it. */
static void
handle_kv_lease(void *data, const struct ch_kv_result *answer)
{
    struct ch_lease *lease = data;
    pthread_mutex_lock(&lease->lock);
    bool proceed = answer->code == CH_OK && !lease->released;
    if (proceed) {
        lease->kv_lease_id = answer->revision;
        lease->renewed_at = lease->call_sent_at;
        g_free(lease->write_id);
        lease->write_id = g_strdup_printf(
            "%s %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x",
            lease->node->settings->name, lease->node->incarnation,
            ++lease->write_count);
    }
    else {
        lease->call_in_flight = false;
        schedule_retry(lease, "the key-value store granted no lease");
    }
    uint64_t kv_lease_id = lease->kv_lease_id;
    pthread_mutex_unlock(&lease->lock);
    if (!proceed) {
        lease_unref(lease);
        return;
    }
    ch_kv_call_put_leased(lease->node, lease->key, lease->write_id,
                          strlen(lease->write_id), lease->replaced_revision,
                          kv_lease_id, handle_write, lease);
}

/* Whether the key was written by an earlier process of this host. That process
 * has ended, because this one has its address. */
static bool
is_from_earlier_process(const struct ch_lease *lease,
                        const struct ch_kv_result *answer)
{
    const char *name = lease->node->settings->name;
    size_t length = strlen(name);
    return answer->code == CH_OK && answer->length > length &&
           memcmp(answer->value, name, length) == 0 &&
           ((const char *)answer->value)[length] == ' ';
}

/* Handles the current key: it is free, left by an earlier process of this
 * host, or another node's. */
static void
handle_lookup(void *data, const struct ch_kv_result *answer)
{
    struct ch_lease *lease = data;
    int64_t ttl = get_ttl(lease);
    pthread_mutex_lock(&lease->lock);
    bool from_earlier = is_from_earlier_process(lease, answer);
    bool proceed =
        !lease->released && (from_earlier || answer->code == CH_KV_MISSING);
    if (answer->code == CH_OK && !from_earlier) {
        lease->was_holder = false;
    }
    if (proceed) {
        lease->replaced_revision = from_earlier ? answer->revision : 0;
        lease->call_sent_at = ch_clock_get_boottime();
    }
    else {
        lease->call_in_flight = false;
        schedule_retry(lease, "another node holds the lease");
    }
    pthread_mutex_unlock(&lease->lock);
    if (!proceed) {
        lease_unref(lease);
        return;
    }
    ch_kv_call_create_lease(lease->node, ttl, handle_kv_lease, lease);
}

/* Handles the result of a renewal: renewed, or expired; after other errors a
 * later renewal may still succeed. */
static void
handle_renewal(void *data, const struct ch_kv_result *answer)
{
    struct ch_lease *lease = data;
    pthread_mutex_lock(&lease->lock);
    lease->call_in_flight = false;
    if (answer->code == CH_OK) {
        lease->renewed_at = lease->call_sent_at;
    }
    else if (answer->code == CH_KV_MISSING) {
        lease->was_holder =
            lease->held &&
            ch_clock_get_boottime() - lease->renewed_at < LEASE_USE_US &&
            ch_clock_get_boottime() >= lease->usable_from &&
            ch_kv_get_returns(lease->node).count > lease->returns;
        schedule_retry(lease, "the lease has ended");
    }
    pthread_mutex_unlock(&lease->lock);
    lease_unref(lease);
}

/* See lease.h. */
void
ch_lease_update(struct ch_lease *lease, bool wanted)
{
    int64_t now = ch_clock_get_boottime();
    int64_t ttl = get_ttl(lease);
    pthread_mutex_lock(&lease->lock);
    if (lease->held && now - lease->renewed_at > ttl) {
        schedule_retry(lease, "the lease could not be renewed");
    }
    bool renew = lease->held && now - lease->renewed_at >= RENEWAL_PERIOD_US;
    bool acquire = !lease->held && lease->kv_lease_id == 0 && wanted &&
                   now >= lease->next_attempt_at;
    bool do_call = !lease->call_in_flight && (renew || acquire);
    uint64_t kv_lease_id = lease->kv_lease_id;
    if (do_call) {
        lease->call_in_flight = true;
        lease->released = false;
        lease->call_sent_at = now;
        g_atomic_int_inc(&lease->references);
    }
    pthread_mutex_unlock(&lease->lock);
    if (do_call && renew) {
        ch_kv_call_renew_lease(lease->node, kv_lease_id, handle_renewal,
                               lease);
    }
    else if (do_call) {
        ch_kv_call_get(lease->node, lease->key, handle_lookup, lease);
    }
}

/* ---- releasing ---- */

/* Handles the result of ending the key-value lease; if the call failed, that
 * lease expires by itself. */
static void
handle_kv_lease_end(void *data, const struct ch_kv_result *answer)
{
    (void)answer;
    lease_unref(data);
}

struct lease_release {
    struct ch_lease *lease;
    uint64_t kv_lease_id;
};

/* Ends the key-value lease, which removes the key. */
static void
end_kv_lease(void *data)
{
    struct lease_release *release = data;
    ch_kv_call_end_lease(release->lease->node, release->kv_lease_id,
                         handle_kv_lease_end, release->lease);
    g_free(release);
}

/* See lease.h. */
int64_t
ch_lease_get_renewal_age(struct ch_lease *lease)
{
    pthread_mutex_lock(&lease->lock);
    int64_t age = ch_clock_get_boottime() - lease->renewed_at;
    pthread_mutex_unlock(&lease->lock);
    return age;
}

/* See lease.h. */
void
ch_lease_release(struct ch_lease *lease, int64_t delay)
{
    pthread_mutex_lock(&lease->lock);
    struct lease_release *release = g_new0(struct lease_release, 1);
    release->lease = lease;
    release->kv_lease_id = lease->held ? lease->kv_lease_id : 0;
    schedule_retry(lease, "given up by this node");
    lease->released = true;
    pthread_mutex_unlock(&lease->lock);
    if (release->kv_lease_id == 0) {
        g_free(release);
        return;
    }
    g_atomic_int_inc(&lease->references);
    ch_timers_add(lease->node->timers, delay, end_kv_lease, release);
}
