/* Admission: what is let into the queue, and what is refused at once. */

#include "decide/home.h"

enum {
    /* An adapter's load, as the brief states it (6 to 19 ms), rounded up. */
    ADAPTER_LOAD = 20 * 1000,
    /* Displacements for one newcomer: bounds the work at each offer. */
    MOST_DISPLACED = 4,
    /* Where the settings state no limit. */
    DEFAULT_QUEUE = 256,
    /* Tenths of the predicted wait that must be left.  The prediction is a
     * mean: without a margin some of those let in are refused only when their
     * turn comes, seconds after they could have asked elsewhere. */
    MARGIN = 11,
    /* A measurement older than this no longer speaks for the upstream. */
    STALE = 10 * G_USEC_PER_SEC,
};

/* Microseconds until the nth slot is given back (0: the first), from the
 * exact list of what runs and how long each was expected to take. */
static int64_t
time_to_free(const struct ch_home *home, guint nth, int64_t now)
{
    guint count = home->granted->len;
    if (count == 0) {
        return 0;
    }
    GArray *left = g_array_sized_new(FALSE, FALSE, sizeof(int64_t), count);
    for (guint i = 0; i < count; i++) {
        const struct ch_granted *granted =
            &g_array_index(home->granted, struct ch_granted, i);
        int64_t rest = granted->at + granted->expected - now;
        /* One that is overdue has still a tenth to go, for all we know. */
        rest = MAX(rest, granted->expected / 10);
        g_array_append_val(left, rest);
    }
    g_array_sort(left, ch_compare_int64);
    int64_t rounds = nth / count;
    int64_t wait = g_array_index(left, int64_t, nth % count) +
                   (int64_t)(home->rates.hold * (double)rounds);
    g_array_unref(left);
    return wait;
}

/* Microseconds until a request of this rank would be granted, were its model
 * here: all of lower rank go before it. */
int64_t
ch_home_wait(const struct ch_home *home, int64_t rank, int64_t now)
{
    guint ahead = 0;
    for (guint i = 0; i < home->queue.entries->len; i++) {
        if (ch_queue_at(&home->queue, i)->rank > rank) {
            break;
        }
        ahead++;
    }
    uint32_t limit = ch_home_limit(home);
    guint running = home->granted->len;
    /* Without a limit, what was granted beyond it waits at the upstream. */
    if (running + ahead < limit) {
        return 0;
    }
    return time_to_free(home, running + ahead - limit, now);
}

/* Microseconds until the request's model and adapter are here; -1: they are
 * not going to be. */
static int64_t
time_to_load(struct ch_home *home, const struct ch_work *work,
             const struct ch_fleet *fleet, int64_t now)
{
    if (work->service) {
        return 0;
    }
    struct ch_held *model = ch_home_item(home, work->model);
    int64_t load = ch_place_load_time(model);
    int64_t adapter = 0;
    if (work->adapter != 0 && !ch_home_has(home, work->adapter)) {
        adapter = ADAPTER_LOAD;
    }
    if (model->state == CH_ITEM_RESIDENT && !model->leaving) {
        return adapter;
    }
    if (model->state == CH_ITEM_LOADING) {
        int64_t left = model->changed + load - now;
        return MAX(left, load / 10) + adapter;
    }
    if (!ch_place_may_load(home, work, fleet, now)) {
        return -1;
    }
    model->wanted = true;
    return load + adapter;
}

/* How much of a tenant is here, running and waiting. */
static guint
tenant_share(const struct ch_home *home, uint64_t tenant)
{
    guint share = 0;
    for (guint i = 0; i < home->granted->len; i++) {
        const struct ch_granted *granted =
            &g_array_index(home->granted, struct ch_granted, i);
        share += granted->tenant == tenant ? 1 : 0;
    }
    for (guint i = 0; i < home->queue.entries->len; i++) {
        share += ch_queue_at(&home->queue, i)->work.tenant == tenant ? 1 : 0;
    }
    return share;
}

/*
 * Load: full saturation by one caller while others ask for little.  Harm
 * prevented: whoever asks most gets most, and the others are refused with it.
 * The last waiting entry of the tenant that holds most here makes room, when
 * that tenant holds at least two more than the newcomer's.  Limit: the gap of
 * two keeps two equal tenants from displacing each other in turn.
 */
static bool
displace(struct ch_home *home, const struct ch_work *work,
         struct ch_actions *out)
{
    guint own = tenant_share(home, work->tenant);
    guint most = own + 1;
    int victim = -1;
    for (guint at = home->queue.entries->len; at-- > 0;) {
        uint64_t tenant = ch_queue_at(&home->queue, at)->work.tenant;
        guint share = tenant == work->tenant ? 0 : tenant_share(home, tenant);
        if (share > most) {
            most = share;
            victim = (int)at;
        }
    }
    if (victim < 0) {
        return false;
    }
    ch_home_refuse(home, (guint)victim, CH_SHARE_FULL, G_USEC_PER_SEC,
                   "other callers have had less", out);
    return true;
}

/* Whether the upstream was lately measured to be slower, alone, than the
 * request's target between tokens. */
static bool
too_slow(const struct ch_home *home, const struct ch_work *work, int64_t now)
{
    if (work->between == 0 || home->rates.weight < 1 ||
        now - home->rates.sampled > STALE) {
        return false;
    }
    return ch_rates_token(&home->rates, 1.0) > (double)work->between;
}

/* A refusal's fields, in one. */
static struct ch_admission
refuse(enum ch_code code, int64_t retry_after, const char *reason)
{
    return (struct ch_admission){
        .code = code, .retry_after = retry_after, .reason = reason};
}

/*
 * What would be late: refused, unless this is another try of a request that
 * was let in before.  Load: an upstream that failed what it ran.  Harm
 * prevented: a caller who holds half an answer, or has waited for a whole one,
 * is told that it failed, though it can still be served.  Limit: retries are a
 * small share of the fresh requests (see retry.c), and go behind those that
 * can still be on time.
 */
static struct ch_admission
late(const struct ch_work *work, int64_t retry_after, const char *reason)
{
    if (work->attempt > 0) {
        return (struct ch_admission){.code = CH_OK, .late_ok = true};
    }
    return refuse(CH_LATE, retry_after, reason);
}

/*
 * Load: more than can be served in time.  Harm prevented: queues that grow
 * until every answer is late (goodput falls as load grows), and callers who
 * are told late what was known at once.  A request is refused when even the
 * exact count of what runs, and the time that each was measured to need, put
 * its first token past its target.  Limit: the prediction is the mean and not
 * a tail, so that what might make it is let in.
 *
 * A request whose model is nowhere cannot make a short target whatever is
 * done; it is let in and served late, as refusing it would leave the model
 * out of reach.
 */
struct ch_admission
ch_admit_predicting(struct ch_home *home, const struct ch_work *work,
                    const struct ch_fleet *fleet, int64_t now,
                    struct ch_actions *out)
{
    if (too_slow(home, work, now)) {
        return refuse(CH_NO_UPSTREAM, STALE, "the upstream is too slow");
    }
    int64_t load = time_to_load(home, work, fleet, now);
    if (load < 0) {
        return refuse(CH_LATE, G_USEC_PER_SEC, "the model is not here");
    }
    if (work->first_by == 0) {
        return (struct ch_admission){.code = CH_OK};
    }
    int64_t first = (int64_t)home->rates.first;
    if (now + load + first > work->first_by) {
        if (load > ADAPTER_LOAD && !ch_place_is_served(home, work, fleet)) {
            return (struct ch_admission){.code = CH_OK, .late_ok = true};
        }
        return late(work, load, "the model would come too late");
    }
    int64_t rank = home->policy->ordering->rank(home, work, now);
    for (int tries = 0; tries <= MOST_DISPLACED; tries++) {
        int64_t wait = ch_home_wait(home, rank, now) * MARGIN / 10;
        wait = MAX(load, wait);
        int64_t late_by = now + wait + first - work->first_by;
        if (late_by <= 0) {
            return (struct ch_admission){.code = CH_OK};
        }
        if (!home->policy->admitting->fair || !displace(home, work, out)) {
            return late(work, late_by, "the queue is too long");
        }
    }
    return late(work, G_USEC_PER_SEC, "the queue is too long");
}

/* Lets in whatever the queue has room for: the baselines' way. */
struct ch_admission
ch_admit_all(struct ch_home *home, const struct ch_work *work,
             const struct ch_fleet *fleet, int64_t now, struct ch_actions *out)
{
    (void)out;
    int64_t load = time_to_load(home, work, fleet, now);
    if (load < 0) {
        return refuse(CH_NO_UPSTREAM, G_USEC_PER_SEC, "the model is not here");
    }
    return (struct ch_admission){.code = CH_OK, .late_ok = load > 0};
}

/* Decides on a request that has come; what has to make room for it goes out
 * with a refusal of its own. */
struct ch_admission
ch_admit(struct ch_home *home, const struct ch_work *work,
         const struct ch_fleet *fleet, int64_t now, struct ch_actions *out)
{
    if (home->leaving || home->down) {
        return refuse(CH_NO_UPSTREAM, G_USEC_PER_SEC,
                      home->leaving ? "the upstream is leaving"
                                    : "the upstream does not answer");
    }
    uint32_t most =
        home->facts.max_queue > 0 ? home->facts.max_queue : DEFAULT_QUEUE;
    if (home->queue.entries->len >= most) {
        if (!home->policy->admitting->fair || !displace(home, work, out)) {
            return refuse(CH_QUEUE_FULL, G_USEC_PER_SEC, "the queue is full");
        }
    }
    return home->policy->admitting->admit(home, work, fleet, now, out);
}
