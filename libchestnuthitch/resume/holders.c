/* Which nodes keep the records of a shard of the streams. */

#include "resume/resume.h"

/* See resume.h. */
unsigned
ch_stream_get_shard(uint64_t key)
{
    return (unsigned)(ch_hash_pair(key, 0) % CH_STREAM_SHARDS);
}

/* See resume.h. */
size_t
ch_stream_choose_holders(const struct ch_rank_node *nodes, size_t count,
                         unsigned shard, size_t *chosen, size_t max)
{
    return ch_rank_find_top(
        nodes, count, ch_hash_pair(ch_hash_string("stream-records"), shard),
        chosen, max);
}
