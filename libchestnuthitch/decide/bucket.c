/* Token buckets: tokens accrue over time and are used up by taking. */

#include "decide/fleet.h"

/* Initialises a full bucket: rate in tokens per second, up to capacity. */
void
ch_bucket_init(struct ch_bucket *bucket, double rate, double capacity,
               int64_t now)
{
    *bucket = (struct ch_bucket){
        .level = capacity, .rate = rate, .most = capacity, .at = now};
}

/* The tokens available now.  A clock that runs backwards adds none. */
double
ch_bucket_level(struct ch_bucket *bucket, int64_t now)
{
    if (now > bucket->at) {
        double elapsed_s = (double)(now - bucket->at) / G_USEC_PER_SEC;
        bucket->level =
            MIN(bucket->most, bucket->level + elapsed_s * bucket->rate);
        bucket->at = now;
    }
    return bucket->level;
}

/* Takes the amount; if too few tokens are left, takes none and returns
 * false. */
bool
ch_bucket_take(struct ch_bucket *bucket, double amount, int64_t now)
{
    if (ch_bucket_level(bucket, now) < amount) {
        return false;
    }
    bucket->level -= amount;
    return true;
}
