/*
 * Decides which requests are barred.
 *
 * Load: upstreams crash under a request that its callers repeat at any node,
 * or a quarter of all upstreams crashes at once under requests that did not
 * cause it.  Harm prevented: a request that crashes its upstream takes down
 * one upstream after the other, with everything that others run there; and a
 * harmless request is refused because it was on the wrong upstreams.
 *
 * A crash is held against a request in full if no part of the response had
 * arrived, no other request explains the crash as well, and the crash was not
 * one of several that no request explains: those have another cause, such as a
 * rack that lost power.  A request that was on so many more crashed upstreams
 * that chance is ruled out is barred all the same.  A request that ever got
 * a complete response is not barred.
 */

#include "crash/crash_internal.h"

enum {
    /* Crashes within this time of each other may have one cause ... */
    WAVE_WINDOW_US = 1000 * 1000,
    /* ... if at least this many other upstreams crash as well. */
    WAVE_MIN_OTHERS = 2,
    /* A request is barred at this many crashes beyond the limit, whatever else
     * explains them: more crashes than all tries of one caller's request can
     * cause. */
    CRASHES_RULING_OUT_CHANCE = 2,
};

/* Whether a crash counts as evidence against a suspect. */
static bool
is_evidence(const struct crash_suspect *suspect,
            const struct upstream_crash *crash)
{
    return !suspect->harmless &&
           (!suspect->released || crash->crashed_at > suspect->released_at);
}

/* Whether a suspect is stored as barred and was not released since. */
static bool
is_restored_barred(const struct crash_suspect *suspect)
{
    return suspect->restored &&
           (!suspect->released || suspect->restored_at > suspect->released_at);
}

/* Counts the upstreams that crashed under a suspect. */
static unsigned
count_crashes(const struct crash_suspect *suspect)
{
    unsigned crashes = 0;
    for (guint i = 0; i < suspect->involvements->len; i++) {
        crashes +=
            is_evidence(suspect, g_array_index(suspect->involvements,
                                               struct crash_involvement, i)
                                     .crash);
    }
    return crashes;
}

/* Whether a request other than the suspect, with at least `crashes` crashes,
 * was running on the upstream. */
static bool
is_explained(const struct upstream_crash *crash,
             const struct crash_suspect *suspect, unsigned crashes)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        const struct crash_suspect *other =
            g_ptr_array_index(crash->suspects, i);
        if (other != suspect && count_crashes(other) >= crashes) {
            return true;
        }
    }
    return false;
}

/* Whether the suspect was running on the upstream that crashed. */
static bool
was_running_on(const struct crash_suspect *suspect,
               const struct upstream_crash *crash)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        if (g_ptr_array_index(crash->suspects, i) == suspect) {
            return true;
        }
    }
    return false;
}

/* Whether a request was on another upstream that crashed at about the same
 * time.  Calls that a wave of crashes interrupts are retried on upstreams that
 * stay up, so such a request may be the cause of both. */
static bool
is_on_concurrent_crash(const struct crash_suspect *suspect,
                       const struct upstream_crash *crash)
{
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct upstream_crash *other =
            g_array_index(suspect->involvements, struct crash_involvement, i)
                .crash;
        if (other != crash && is_evidence(suspect, other) &&
            ABS(other->crashed_at - crash->crashed_at) <= WAVE_WINDOW_US) {
            return true;
        }
    }
    return false;
}

/* Whether one of the requests on the upstream was on several that crashed at
 * about the same time. */
static bool
has_suspect_on_concurrent_crash(const struct upstream_crash *crash)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        if (is_on_concurrent_crash(g_ptr_array_index(crash->suspects, i),
                                   crash)) {
            return true;
        }
    }
    return false;
}

/* Whether the crash is part of a wave: several upstreams crashed together, and
 * neither the suspect nor any other request is the reason. */
static bool
is_wave(const struct ch_crash_table *table, const struct upstream_crash *crash,
        const struct crash_suspect *suspect)
{
    unsigned others = 0;
    for (guint i = 0; i < table->crashes->len; i++) {
        const struct upstream_crash *other =
            g_ptr_array_index(table->crashes, i);
        others +=
            other != crash &&
            ABS(other->crashed_at - crash->crashed_at) <= WAVE_WINDOW_US &&
            !was_running_on(suspect, other) &&
            !has_suspect_on_concurrent_crash(other);
    }
    return others >= WAVE_MIN_OTHERS;
}

/* Counts the crashes that are held against a suspect in full. */
static unsigned
count_unexplained(const struct ch_crash_table *table,
                  const struct crash_suspect *suspect, unsigned crashes)
{
    unsigned unexplained = 0;
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct crash_involvement *involvement =
            &g_array_index(suspect->involvements, struct crash_involvement, i);
        unexplained += involvement->before_response &&
                       is_evidence(suspect, involvement->crash) &&
                       !is_explained(involvement->crash, suspect, crashes) &&
                       !is_wave(table, involvement->crash, suspect);
    }
    return unexplained;
}

/* See crash.h. */
struct ch_crash_assessment
ch_crash_table_assess(const struct ch_crash_table *table,
                      const struct ch_digest *digest)
{
    struct ch_crash_assessment assessment = {.digest = *digest};
    const struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect == NULL) {
        return assessment;
    }
    assessment.fingerprint = suspect->fingerprint;
    assessment.last_evidence_at = suspect->last_evidence_at;
    assessment.crashes = count_crashes(suspect);
    assessment.unexplained_crashes =
        count_unexplained(table, suspect, assessment.crashes);
    if (suspect->harmless) {
        assessment.state = CH_CRASH_HARMLESS;
    }
    else if (is_restored_barred(suspect) ||
             assessment.unexplained_crashes >= table->limits.crashes_to_bar ||
             assessment.crashes >=
                 table->limits.crashes_to_bar + CRASHES_RULING_OUT_CHANCE) {
        assessment.state = CH_CRASH_BARRED;
    }
    else if (assessment.crashes > 0) {
        assessment.state = CH_CRASH_SUSPECTED;
    }
    return assessment;
}
