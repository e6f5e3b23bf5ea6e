/*
 * Calls whose connection ended before the response did, kept until it is known
 * whether their upstream crashed: a lost, reset or refused connection alone
 * does not tell.
 */

#include "crash/crash.h"

enum {
    /* An upstream that starts to refuse connections later than this after the
     * call was interrupted may have ended for another reason since. */
    MAX_REFUSAL_DELAY_US = 2 * 1000 * 1000,
    /* The host list drops an entry some seconds after the host's last
     * heartbeat; calls that are older than this are dropped. */
    MAX_CALL_AGE_US = 10 * 1000 * 1000,
    /* Beyond this the oldest calls are dropped. */
    MAX_CALLS = 1024,
};

struct ch_interrupted_calls {
    GArray *observations; /* struct ch_crash_observation, ordered by time */
};

/* See crash.h. */
struct ch_interrupted_calls *
ch_interrupted_calls_new(void)
{
    struct ch_interrupted_calls *calls =
        g_new0(struct ch_interrupted_calls, 1);
    calls->observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    return calls;
}

/* See crash.h. */
void
ch_interrupted_calls_free(struct ch_interrupted_calls *calls)
{
    if (calls != NULL) {
        g_array_free(calls->observations, TRUE);
        g_free(calls);
    }
}

/* See crash.h. */
void
ch_interrupted_calls_add(struct ch_interrupted_calls *calls,
                         const struct ch_crash_observation *observation)
{
    if (calls->observations->len >= MAX_CALLS) {
        g_array_remove_index(calls->observations, 0);
    }
    g_array_append_val(calls->observations, *observation);
}

/* What happens to an interrupted call. */
enum verdict {
    VERDICT_UNDECIDED,
    VERDICT_CRASHED,
    VERDICT_DROPPED,
};

/* Keeps, drops or moves to `ended` each call, as decide() says; `ended` may be
 * NULL if decide() moves none. */
static void
apply_verdicts(
    struct ch_interrupted_calls *calls,
    enum verdict (*decide)(const void *data,
                           const struct ch_crash_observation *observation),
    const void *data, GArray *ended)
{
    guint kept_count = 0;
    for (guint i = 0; i < calls->observations->len; i++) {
        const struct ch_crash_observation observation =
            g_array_index(calls->observations, struct ch_crash_observation, i);
        enum verdict verdict = decide(data, &observation);
        if (verdict == VERDICT_UNDECIDED) {
            g_array_index(calls->observations, struct ch_crash_observation,
                          kept_count++) = observation;
        }
        else if (verdict == VERDICT_CRASHED) {
            g_array_append_val(ended, observation);
        }
    }
    g_array_set_size(calls->observations, kept_count);
}

/* An event of an upstream, and its time. */
struct upstream_event {
    GQuark upstream;
    uint64_t boot;
    int64_t at;
};

/* The upstream refuses connections. */
static enum verdict
decide_refused(const void *data,
               const struct ch_crash_observation *observation)
{
    const struct upstream_event *event = data;
    return observation->upstream == event->upstream &&
                   event->at - observation->ended_at <= MAX_REFUSAL_DELAY_US
               ? VERDICT_CRASHED
               : VERDICT_UNDECIDED;
}

/* See crash.h. */
void
ch_interrupted_calls_note_refused(struct ch_interrupted_calls *calls,
                                  GQuark upstream, int64_t now, GArray *ended)
{
    const struct upstream_event event = {upstream, 0, now};
    apply_verdicts(calls, decide_refused, &event, ended);
}

/* Another node found that the upstream crashed. */
static enum verdict
decide_crashed(const void *data,
               const struct ch_crash_observation *observation)
{
    const struct upstream_event *event = data;
    return observation->upstream == event->upstream &&
                   observation->boot_id == event->boot
               ? VERDICT_CRASHED
               : VERDICT_UNDECIDED;
}

/* See crash.h. */
void
ch_interrupted_calls_note_crash(struct ch_interrupted_calls *calls,
                                GQuark upstream, uint64_t boot, GArray *ended)
{
    const struct upstream_event event = {upstream, boot, 0};
    apply_verdicts(calls, decide_crashed, &event, ended);
}

struct host_list {
    const struct ch_crash_listed_upstream *rows;
    size_t count;
};

/* Compares a call with the host list.  An upstream that is listed as draining
 * ends as planned: that is no crash. */
static enum verdict
decide_listed(const void *data, const struct ch_crash_observation *observation)
{
    const struct host_list *list = data;
    for (size_t i = 0; i < list->count; i++) {
        const struct ch_crash_listed_upstream *row = &list->rows[i];
        if (row->upstream == observation->upstream &&
            row->boot_id == observation->boot_id) {
            return row->draining ? VERDICT_DROPPED : VERDICT_UNDECIDED;
        }
    }
    return VERDICT_CRASHED;
}

/* See crash.h. */
void
ch_interrupted_calls_note_list(struct ch_interrupted_calls *calls,
                               const struct ch_crash_listed_upstream *listed,
                               size_t count, GArray *ended)
{
    const struct host_list list = {listed, count};
    apply_verdicts(calls, decide_listed, &list, ended);
}

/* The upstream answers a call that was sent after the interruption. */
static enum verdict
decide_responding(const void *data,
                  const struct ch_crash_observation *observation)
{
    const struct upstream_event *event = data;
    return observation->upstream == event->upstream &&
                   observation->ended_at < event->at
               ? VERDICT_DROPPED
               : VERDICT_UNDECIDED;
}

/* See crash.h. */
void
ch_interrupted_calls_note_response(struct ch_interrupted_calls *calls,
                                   GQuark upstream, int64_t sent_at)
{
    const struct upstream_event event = {upstream, 0, sent_at};
    apply_verdicts(calls, decide_responding, &event, NULL);
}

/* The cause did not become known in time. */
static enum verdict
decide_expired(const void *data,
               const struct ch_crash_observation *observation)
{
    const struct upstream_event *event = data;
    return event->at - observation->ended_at > MAX_CALL_AGE_US
               ? VERDICT_DROPPED
               : VERDICT_UNDECIDED;
}

/* See crash.h. */
void
ch_interrupted_calls_expire(struct ch_interrupted_calls *calls, int64_t now)
{
    const struct upstream_event event = {0, 0, now};
    apply_verdicts(calls, decide_expired, &event, NULL);
}

/* See crash.h. */
size_t
ch_interrupted_calls_count(const struct ch_interrupted_calls *calls)
{
    return calls->observations->len;
}
