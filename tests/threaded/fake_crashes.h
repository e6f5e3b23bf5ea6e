#ifndef FAKE_CRASHES_H
#define FAKE_CRASHES_H

/* A keeper of crashes for tests without other nodes: it bars as it is told,
 * and counts what it is told. */

#include "node/crash_keeper.h"

struct ch_crash_keeper {
    int allowed; /* so many questions are answered with no; atomic */
    int asked;   /* atomic, like the rest */
    int cuts;
    int fresh_cuts;
    int refused;
    int whole;
    uint64_t boot; /* of the last cut */
};

/* Fake: bars from the question on that is stated. */
bool
ch_crash_keeper_bars(struct ch_crash_keeper *keeper,
                     const struct ch_request *request)
{
    (void)request;
    return keeper != NULL &&
           g_atomic_int_add(&keeper->asked, 1) >= keeper->allowed;
}

/* Fake: counts. */
void
ch_crash_keeper_cut(struct ch_crash_keeper *keeper,
                    const struct ch_request *request,
                    const struct ch_grant *grant, bool fresh)
{
    (void)request;
    if (keeper != NULL) {
        keeper->boot = grant->boot;
        g_atomic_int_add(&keeper->fresh_cuts, fresh);
        g_atomic_int_inc(&keeper->cuts);
    }
}

/* Fake: counts. */
void
ch_crash_keeper_refused(struct ch_crash_keeper *keeper, GQuark upstream)
{
    (void)upstream;
    if (keeper != NULL) {
        g_atomic_int_inc(&keeper->refused);
    }
}

/* Fake: nothing. */
void
ch_crash_keeper_answered(struct ch_crash_keeper *keeper, GQuark upstream,
                         int64_t sent)
{
    (void)keeper;
    (void)upstream;
    (void)sent;
}

/* Fake: counts. */
void
ch_crash_keeper_whole(struct ch_crash_keeper *keeper,
                      const struct ch_request *request)
{
    (void)request;
    if (keeper != NULL) {
        g_atomic_int_inc(&keeper->whole);
    }
}

/* Fake: nothing. */
void
ch_crash_keeper_listed(struct ch_crash_keeper *keeper,
                       const struct ch_crash_listed_upstream *listed,
                       size_t count)
{
    (void)keeper;
    (void)listed;
    (void)count;
}

/* Fake: at once. */
bool
ch_crash_keeper_known(struct ch_crash_keeper *keeper)
{
    (void)keeper;
    return true;
}

/* Fake: what it was told of is one request, whose digest is all zeros. */
bool
ch_crash_keeper_release(struct ch_crash_keeper *keeper,
                        const struct ch_digest *digest)
{
    static const struct ch_digest known = {{0}};
    (void)keeper;
    return ch_digest_equal(digest, &known);
}

/* Fake: an empty list. */
void
ch_crash_keeper_status(struct ch_crash_keeper *keeper, JsonBuilder *builder)
{
    (void)keeper;
    json_builder_set_member_name(builder, "crash_suspects");
    json_builder_begin_array(builder);
    json_builder_end_array(builder);
}

#endif
