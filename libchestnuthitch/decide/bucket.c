/* Token buckets: a share that grows with time and is used up by taking. */

#include "decide/fleet.h"

/* A full bucket that grows by rate a second, up to most. */
void
ch_bucket_init(struct ch_bucket *bucket, double rate, double most, int64_t now)
{
    *bucket = (struct ch_bucket){
        .level = most, .rate = rate, .most = most, .at = now};
}

/* What may be taken now.  A clock that seems to run back adds nothing. */
double
ch_bucket_level(struct ch_bucket *bucket, int64_t now)
{
    if (now > bucket->at) {
        double grown = (double)(now - bucket->at) / G_USEC_PER_SEC;
        bucket->level =
            MIN(bucket->most, bucket->level + grown * bucket->rate);
        bucket->at = now;
    }
    return bucket->level;
}

/* Takes the amount, or nothing at all and answers false. */
bool
ch_bucket_take(struct ch_bucket *bucket, double amount, int64_t now)
{
    if (ch_bucket_level(bucket, now) < amount) {
        return false;
    }
    bucket->level -= amount;
    return true;
}
