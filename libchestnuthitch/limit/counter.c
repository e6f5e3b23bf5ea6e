/* The count of all nodes' calls to one upstream with a limit. */

#include "limit/limit.h"

enum {
    /* Of a refused call, and of one that must not be sent at all. */
    MIN_RETRY_AFTER_US = 50 * 1000,
    MAX_RETRY_AFTER_US = 10 * G_USEC_PER_SEC,
};

/* An upstream that gets no call can't say that its limit has ended, so it is
 * called at least this often. */
static const double MIN_PER_S = 0.2;
/* Calls that may go at once after a pause: this many, and those of this
 * time. */
static const double BURST_CALLS = 2;
static const double BURST_S = 0.5;
/*
 * Credit that other calls leave for those of last resort. Load: an upstream
 * with the only copy of one model and a copy of another one that is asked for
 * more. Harm prevented: requests for the second take every call, and those for
 * the first are rejected.
 */
static const double LAST_RESORT_CALLS = 1;

/* See limit.h. */
double
ch_limit_get_part(size_t live, size_t listed)
{
    return listed == 0 ? 0 : MIN((double)live / (double)listed, 1);
}

/* A counter begins without credit: another node may have counted until now and
 * given out all that the upstream takes. */
static void
update_bucket(struct ch_limit_counter *counter, double rate, double capacity,
              int64_t now)
{
    struct ch_token_bucket *bucket = &counter->bucket;
    if (!counter->open) {
        *counter = (struct ch_limit_counter){.open = true};
        ch_token_bucket_init(bucket, rate, capacity, now);
        bucket->tokens = 0;
        return;
    }
    (void)ch_token_bucket_level(bucket, now);
    bucket->rate_per_s = rate;
    bucket->capacity = capacity;
    bucket->tokens = MIN(bucket->tokens, capacity);
}

/*
 * When a refused call may be sent. Load: several times what the upstream
 * takes. Harm prevented: all refused callers return at the same moment, and
 * all but one of them are refused again.
 */
static int64_t
get_retry_after(struct ch_limit_counter *counter, double missing,
                bool last_resort, int64_t now)
{
    double rate = counter->bucket.rate_per_s;
    double seconds =
        (double)(now - counter->promised_at) / (double)G_USEC_PER_SEC;
    counter->promised = MAX(counter->promised - rate * seconds, 0);
    counter->promised_at = now;
    double before = last_resort ? counter->promised : 0;
    double wait_us = (missing + before) / rate * G_USEC_PER_SEC;
    if (wait_us >= MAX_RETRY_AFTER_US) {
        return MAX_RETRY_AFTER_US;
    }
    counter->promised += last_resort ? 1 : 0;
    return MAX((int64_t)wait_us, MIN_RETRY_AFTER_US);
}

/* See limit.h. */
struct ch_limit_permission
ch_limit_counter_take(struct ch_limit_counter *counter, double per_s,
                      double part, bool last_resort, int64_t now)
{
    double rate = MAX(per_s, MIN_PER_S) * part;
    if (rate <= 0) {
        return (struct ch_limit_permission){.retry_after = MAX_RETRY_AFTER_US};
    }
    double capacity = MAX((BURST_CALLS + BURST_S * per_s) * part, 1);
    update_bucket(counter, rate, capacity, now);
    double needed = last_resort ? 1 : MIN(1 + LAST_RESORT_CALLS, capacity);
    double missing = needed - counter->bucket.tokens;
    if (missing <= 0 && ch_token_bucket_take(&counter->bucket, 1, now)) {
        return (struct ch_limit_permission){.granted = true};
    }
    return (struct ch_limit_permission){
        .retry_after = get_retry_after(counter, missing, last_resort, now),
    };
}

/* See limit.h. */
void
ch_limit_counter_close(struct ch_limit_counter *counter)
{
    counter->open = false;
}
