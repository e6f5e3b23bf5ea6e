#ifndef FAKE_CRASHES_H
#define FAKE_CRASHES_H

/* A crash guard for tests of a single node. It bars requests from a given
 * check on, and counts what it is told. */

#include "node/crash_keeper.h"

struct ch_crash_keeper {
    int allowed; /* checks that find a request not barred; atomic */
    int asked;   /* checks made; atomic, like the rest */
    int cuts;
    int fresh_cuts;
    int refused;
    int whole;
    uint64_t boot; /* of the latest interrupted call */
};

/* Bars every request after the allowed checks. */
bool
ch_crash_keeper_bars(struct ch_crash_keeper *guard,
                     const struct ch_request *request)
{
    (void)request;
    return guard != NULL &&
           g_atomic_int_add(&guard->asked, 1) >= guard->allowed;
}

void
ch_crash_keeper_cut(struct ch_crash_keeper *guard,
                    const struct ch_request *request,
                    const struct ch_grant *grant, bool before_response)
{
    (void)request;
    if (guard != NULL) {
        guard->boot = grant->boot;
        g_atomic_int_add(&guard->fresh_cuts, before_response);
        g_atomic_int_inc(&guard->cuts);
    }
}

void
ch_crash_keeper_refused(struct ch_crash_keeper *guard, GQuark upstream)
{
    (void)upstream;
    if (guard != NULL) {
        g_atomic_int_inc(&guard->refused);
    }
}

void
ch_crash_keeper_answered(struct ch_crash_keeper *guard, GQuark upstream,
                         int64_t sent_at)
{
    (void)guard;
    (void)upstream;
    (void)sent_at;
}

void
ch_crash_keeper_whole(struct ch_crash_keeper *guard,
                      const struct ch_request *request)
{
    (void)request;
    if (guard != NULL) {
        g_atomic_int_inc(&guard->whole);
    }
}

void
ch_crash_keeper_listed(struct ch_crash_keeper *guard,
                       const struct ch_crash_listed_upstream *upstreams,
                       size_t count)
{
    (void)guard;
    (void)upstreams;
    (void)count;
}

/* Ready at once. */
bool
ch_crash_keeper_known(struct ch_crash_keeper *guard)
{
    (void)guard;
    return true;
}

/* Knows one request, with a digest of zeros. */
bool
ch_crash_keeper_release(struct ch_crash_keeper *guard,
                        const struct ch_digest *digest)
{
    static const struct ch_digest known = {{0}};
    (void)guard;
    return ch_digest_equal(digest, &known);
}

/* Writes an empty list. */
void
ch_crash_keeper_status(struct ch_crash_keeper *guard, JsonBuilder *builder)
{
    (void)guard;
    json_builder_set_member_name(builder, "crash_suspects");
    json_builder_begin_array(builder);
    json_builder_end_array(builder);
}

#endif
