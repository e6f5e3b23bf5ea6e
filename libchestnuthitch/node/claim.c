/* A right under a lease. */

#include "node/claim.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>
#include <time.h>

enum {
    /*
     * How long the right is used after its last renewal was sent.  Longer, and
     * more outages of the service pass without anybody being kept from
     * ordering (users' platforms have them for 4 to 8 seconds); shorter, and
     * the successor of a holder that is lost with its host comes sooner.  A
     * holder whose process alone was lost takes its right back at its restart.
     */
    USE = 6000 * 1000,
    RENEWAL = 700 * 1000,
    /* Beyond the use and the pause: the clocks of two hosts differ a little
     * in speed. */
    MARGIN = 200 * 1000,
    /* Between two tries to get it. */
    TRY_AGAIN = 1000 * 1000,
};

struct ch_claim {
    struct ch_node *node;
    char *key;
    int64_t pause;
    pthread_mutex_t lock;
    int references;
    bool calling;
    bool given_up; /* since the try that runs began */
    uint64_t lease;
    int64_t asked; /* when the last good call for the lease was sent */
    int64_t sent;  /* the one under way */
    bool held;
    uint64_t fence;
    char *mark; /* of the write under way: knows one's own again */
    uint64_t marks;
    int64_t not_before;
    uint64_t over; /* revision of an earlier process's key; 0: the key is free
                    */
};

/* Microseconds of a clock that also counts while the host is suspended. */
static int64_t
boot_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* One owner less; the last frees it. */
static void
claim_unref(struct ch_claim *claim)
{
    if (!g_atomic_int_dec_and_test(&claim->references)) {
        return;
    }
    pthread_mutex_destroy(&claim->lock);
    g_free(claim->key);
    g_free(claim->mark);
    g_free(claim);
}

/* See claim.h. */
struct ch_claim *
ch_claim_new(struct ch_node *node, const char *key, int64_t pause)
{
    struct ch_claim *claim = g_new0(struct ch_claim, 1);
    claim->node = node;
    claim->key = g_strdup(key);
    claim->pause = pause;
    claim->references = 1;
    pthread_mutex_init(&claim->lock, NULL);
    return claim;
}

/* Drops the owner's hold; a call under way runs out. */
void
ch_claim_free(struct ch_claim *claim)
{
    if (claim != NULL) {
        claim_unref(claim);
    }
}

/* See claim.h. */
bool
ch_claim_held(struct ch_claim *claim, uint64_t *fence)
{
    pthread_mutex_lock(&claim->lock);
    bool held = claim->held && boot_now() - claim->asked < USE;
    *fence = claim->fence;
    pthread_mutex_unlock(&claim->lock);
    return held;
}

/* Says that the right was got or lost.  Lock held. */
static void
set_held(struct ch_claim *claim, bool held, const char *why)
{
    if (claim->held != held) {
        ch_log(claim->node->client, CH_LOG_NOTICE,
               held ? "right-got" : "right-lost", CH_F_STR("key", claim->key),
               CH_F_INT("fence", claim->fence), CH_F_STR("why", why),
               CH_F_END);
    }
    claim->held = held;
}

/* Begins anew after a while.  Lock held. */
static void
start_over(struct ch_claim *claim, const char *why)
{
    set_held(claim, false, why);
    claim->lease = 0;
    claim->not_before = boot_now() + TRY_AGAIN;
}

/* ---- steps ---- */

/* The key was written by this try; unless the right was given up meanwhile. */
static void
take_right(struct ch_claim *claim, uint64_t revision)
{
    if (claim->given_up) {
        return;
    }
    claim->fence = revision;
    set_held(claim, true, "the key was free");
}

/* The key as it is after a write whose answer was lost. */
static void
read_back(void *data, const struct ch_kv_answer *answer)
{
    struct ch_claim *claim = data;
    pthread_mutex_lock(&claim->lock);
    claim->calling = false;
    if (answer->code == CH_OK && answer->length == strlen(claim->mark) &&
        memcmp(answer->value, claim->mark, answer->length) == 0) {
        take_right(claim, answer->revision);
    }
    else {
        start_over(claim, "the write was lost");
    }
    pthread_mutex_unlock(&claim->lock);
    claim_unref(claim);
}

/* The key was written, or was there already. */
static void
written(void *data, const struct ch_kv_answer *answer)
{
    struct ch_claim *claim = data;
    if (answer->code == CH_KV_AMBIGUOUS) {
        ch_kv_call_get(claim->node, claim->key, read_back, claim);
        return;
    }
    pthread_mutex_lock(&claim->lock);
    claim->calling = false;
    if (answer->code == CH_OK) {
        take_right(claim, answer->revision);
    }
    else {
        start_over(claim, "another node has it");
    }
    pthread_mutex_unlock(&claim->lock);
    claim_unref(claim);
}

/* A lease was given: the key is written under it. */
static void
leased(void *data, const struct ch_kv_answer *answer)
{
    struct ch_claim *claim = data;
    pthread_mutex_lock(&claim->lock);
    bool good = answer->code == CH_OK && !claim->given_up;
    if (good) {
        claim->lease = answer->revision;
        claim->asked = claim->sent;
        g_free(claim->mark);
        claim->mark = g_strdup_printf(
            "%s %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x",
            claim->node->settings->name, claim->node->incarnation,
            ++claim->marks);
    }
    else {
        claim->calling = false;
        start_over(claim, "no lease was given");
    }
    uint64_t lease = claim->lease;
    pthread_mutex_unlock(&claim->lock);
    if (!good) {
        claim_unref(claim);
        return;
    }
    ch_kv_call_put_leased(claim->node, claim->key, claim->mark,
                          strlen(claim->mark), claim->over, lease, written,
                          claim);
}

/* Whether the key is of an earlier process of this host, which is no more as
 * this one has its address. */
static bool
is_own(const struct ch_claim *claim, const struct ch_kv_answer *answer)
{
    const char *name = claim->node->settings->name;
    size_t length = strlen(name);
    return answer->code == CH_OK && answer->length > length &&
           memcmp(answer->value, name, length) == 0 &&
           ((const char *)answer->value)[length] == ' ';
}

/* The key as it is: free, left by an earlier process of this host, or
 * another's. */
static void
looked(void *data, const struct ch_kv_answer *answer)
{
    struct ch_claim *claim = data;
    int64_t ttl = USE + claim->pause + MARGIN;
    pthread_mutex_lock(&claim->lock);
    bool own = is_own(claim, answer);
    bool good = !claim->given_up && (own || answer->code == CH_KV_MISSING);
    if (good) {
        claim->over = own ? answer->revision : 0;
        claim->sent = boot_now();
    }
    else {
        claim->calling = false;
        start_over(claim, "another node has it");
    }
    pthread_mutex_unlock(&claim->lock);
    if (!good) {
        claim_unref(claim);
        return;
    }
    ch_kv_call_lease(claim->node, ttl, leased, claim);
}

/* The lease was renewed, or has ended. */
static void
renewed(void *data, const struct ch_kv_answer *answer)
{
    struct ch_claim *claim = data;
    pthread_mutex_lock(&claim->lock);
    claim->calling = false;
    if (answer->code == CH_OK) {
        claim->asked = claim->sent;
    }
    else if (answer->code == CH_KV_MISSING) {
        start_over(claim, "the lease has ended");
    }
    pthread_mutex_unlock(&claim->lock);
    claim_unref(claim);
}

/* See claim.h. */
void
ch_claim_step(struct ch_claim *claim, bool wanted)
{
    int64_t now = boot_now();
    int64_t ttl = USE + claim->pause + MARGIN;
    pthread_mutex_lock(&claim->lock);
    if (claim->held && now - claim->asked > ttl) {
        start_over(claim, "the lease could not be renewed");
    }
    bool renew = claim->held && now - claim->asked >= RENEWAL;
    bool begin = !claim->held && claim->lease == 0 && wanted &&
                 now >= claim->not_before;
    bool call = !claim->calling && (renew || begin);
    uint64_t lease = claim->lease;
    if (call) {
        claim->calling = true;
        claim->given_up = false;
        claim->sent = now;
        g_atomic_int_inc(&claim->references);
    }
    pthread_mutex_unlock(&claim->lock);
    if (call && renew) {
        ch_kv_call_renew(claim->node, lease, renewed, claim);
    }
    else if (call) {
        ch_kv_call_get(claim->node, claim->key, looked, claim);
    }
}

/* ---- giving up ---- */

/* The lease's end was told, or not: it ends by itself then. */
static void
ended(void *data, const struct ch_kv_answer *answer)
{
    (void)answer;
    claim_unref(data);
}

struct ending {
    struct ch_claim *claim;
    uint64_t lease;
};

/* Ends the lease, by which the key goes. */
static void
end_lease(void *data)
{
    struct ending *ending = data;
    ch_kv_call_end_lease(ending->claim->node, ending->lease, ended,
                         ending->claim);
    g_free(ending);
}

/* See claim.h. */
int64_t
ch_claim_age(struct ch_claim *claim)
{
    pthread_mutex_lock(&claim->lock);
    int64_t age = boot_now() - claim->asked;
    pthread_mutex_unlock(&claim->lock);
    return age;
}

/* See claim.h. */
void
ch_claim_give_up(struct ch_claim *claim, int64_t after)
{
    pthread_mutex_lock(&claim->lock);
    struct ending *ending = g_new0(struct ending, 1);
    ending->claim = claim;
    ending->lease = claim->held ? claim->lease : 0;
    start_over(claim, "given up");
    claim->given_up = true;
    pthread_mutex_unlock(&claim->lock);
    if (ending->lease == 0) {
        g_free(ending);
        return;
    }
    g_atomic_int_inc(&claim->references);
    ch_timers_after(claim->node->timers, after, end_lease, ending);
}
