/* Token buckets: tokens accrue over time and are used up by taking. */

#include "decide/fleet.h"

/* Initialises a full bucket: rate in tokens per second, up to capacity. */
void
ch_token_bucket_init(struct ch_token_bucket *bucket, double rate,
                     double capacity, int64_t now)
{
    *bucket = (struct ch_token_bucket){.tokens = capacity,
                                       .rate_per_s = rate,
                                       .capacity = capacity,
                                       .updated_at = now};
}

/* The tokens available now.  A clock that runs backwards adds none. */
double
ch_token_bucket_level(struct ch_token_bucket *bucket, int64_t now)
{
    if (now > bucket->updated_at) {
        double elapsed_s = (double)(now - bucket->updated_at) / G_USEC_PER_SEC;
        bucket->tokens = MIN(bucket->capacity,
                             bucket->tokens + elapsed_s * bucket->rate_per_s);
        bucket->updated_at = now;
    }
    return bucket->tokens;
}

/* Takes the amount; if too few tokens are left, takes none and returns
 * false. */
bool
ch_token_bucket_take(struct ch_token_bucket *bucket, double amount,
                     int64_t now)
{
    if (ch_token_bucket_level(bucket, now) < amount) {
        return false;
    }
    bucket->tokens -= amount;
    return true;
}
