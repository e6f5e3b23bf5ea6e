#ifndef FAKE_CRASHES_H
#define FAKE_CRASHES_H

/* A crash guard for tests of a single node. It bars requests from a given
 * check on, and counts what it is told. */

#include "node/crash_guard.h"

struct ch_crash_guard {
    int allowed_checks; /* checks that find a request not barred; atomic */
    int check_count;    /* checks made; atomic, like the rest */
    int interrupted_calls;
    int interrupted_before_response;
    int refused_count;
    int complete_count;
    uint64_t last_boot_id; /* of the latest interrupted call */
};

/* Bars every request after the allowed checks. */
bool
ch_crash_guard_is_barred(struct ch_crash_guard *guard,
                         const struct ch_request *request)
{
    (void)request;
    return guard != NULL &&
           g_atomic_int_add(&guard->check_count, 1) >= guard->allowed_checks;
}

/* Bars no part of a prompt. */
bool
ch_crash_guard_is_barred_by_part(struct ch_crash_guard *guard,
                                 const struct ch_request *request)
{
    (void)guard;
    (void)request;
    return false;
}

bool
ch_crash_guard_has_suspected_part(struct ch_crash_guard *guard,
                                  const struct ch_request *request)
{
    (void)guard;
    (void)request;
    return false;
}

void
ch_crash_guard_record_begun(struct ch_crash_guard *guard,
                            const struct ch_request *request)
{
    (void)guard;
    (void)request;
}

void
ch_crash_guard_record_interrupted(struct ch_crash_guard *guard,
                                  const struct ch_request *request,
                                  const struct ch_grant *grant,
                                  bool before_response)
{
    (void)request;
    if (guard != NULL) {
        guard->last_boot_id = grant->boot_id;
        g_atomic_int_add(&guard->interrupted_before_response, before_response);
        g_atomic_int_inc(&guard->interrupted_calls);
    }
}

void
ch_crash_guard_record_refused(struct ch_crash_guard *guard, GQuark upstream)
{
    (void)upstream;
    if (guard != NULL) {
        g_atomic_int_inc(&guard->refused_count);
    }
}

void
ch_crash_guard_record_response(struct ch_crash_guard *guard, GQuark upstream,
                               int64_t sent_at)
{
    (void)guard;
    (void)upstream;
    (void)sent_at;
}

void
ch_crash_guard_record_complete(struct ch_crash_guard *guard,
                               const struct ch_request *request)
{
    (void)request;
    if (guard != NULL) {
        g_atomic_int_inc(&guard->complete_count);
    }
}

void
ch_crash_guard_update_upstreams(
    struct ch_crash_guard *guard,
    const struct ch_crash_listed_upstream *upstreams, size_t count)
{
    (void)guard;
    (void)upstreams;
    (void)count;
}

/* Ready at once. */
bool
ch_crash_guard_is_ready(struct ch_crash_guard *guard)
{
    (void)guard;
    return true;
}

/* Knows one request, with a digest of zeros. */
bool
ch_crash_guard_release(struct ch_crash_guard *guard,
                       const struct ch_digest *digest)
{
    static const struct ch_digest known = {{0}};
    (void)guard;
    return ch_digest_equal(digest, &known);
}

/* Writes an empty list. */
void
ch_crash_guard_write_status(struct ch_crash_guard *guard, JsonBuilder *builder)
{
    (void)guard;
    json_builder_set_member_name(builder, "crash_suspects");
    json_builder_begin_array(builder);
    json_builder_end_array(builder);
}

#endif
