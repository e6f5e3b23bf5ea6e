/*
 * Decides which requests, and which parts of prompts, are barred.
 *
 * Load: upstreams crash under a request that its callers repeat at any node,
 * or under all requests with one part in their prompts, no two of them alike;
 * or a quarter of all upstreams crashes at once under requests that did not
 * cause it.  Harm prevented: a request or part that crashes its upstream takes
 * down one upstream after the other, with everything that others run there;
 * and a harmless request is refused because it was on the wrong upstreams.
 *
 * A crash is held against a request in full if no part of the response had
 * arrived, no other request or part explains the crash as well, and the crash
 * was not one of several that nothing explains: those have another cause, such
 * as a rack that lost power.  A request that was on so many more crashed
 * upstreams that chance is ruled out is barred all the same.  A request that
 * ever got a complete response is not barred.
 *
 * For a part, crashes are compared with responses that began: upstreams crash
 * as they begin to write, so that a begun response speaks for all parts of its
 * prompt.  A part with several times as many begun responses as crashes is not
 * the cause, as that of a first part which thousands of requests share.  One
 * that crashes only some of its upstreams begins as often as it crashes, and
 * remains suspected.
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
    /* Responses that began for each crash show that a part is not the cause.
     */
    BEGUN_PER_CRASH = 4,
};

/* See crash_internal.h. */
unsigned
crash_suspect_count_begun(const struct crash_suspect *suspect)
{
    unsigned begun = suspect->own_begun;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (suspect->begun_elsewhere == NULL) {
        return begun;
    }
    g_hash_table_iter_init(&iterator, suspect->begun_elsewhere);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        begun += GPOINTER_TO_UINT(value);
    }
    return begun;
}

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

/* Counts the upstreams that crashed under a suspect, before its response began
 * or at any time. */
static unsigned
count_crashes_at(const struct crash_suspect *suspect, bool before_response)
{
    unsigned crashes = 0;
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct crash_involvement *involvement =
            &g_array_index(suspect->involvements, struct crash_involvement, i);
        crashes += is_evidence(suspect, involvement->crash) &&
                   (involvement->before_response || !before_response);
    }
    return crashes;
}

/* Counts the upstreams that crashed under a suspect. A part that responses
 * began to is not the cause of those crashes. */
static unsigned
count_crashes(const struct crash_suspect *suspect)
{
    return count_crashes_at(suspect, suspect->part != 0);
}

/* How many begun responses show that a part is not the cause. */
static unsigned
get_begun_needed(const struct ch_crash_table *table,
                 const struct crash_suspect *suspect)
{
    unsigned crashes = MAX(count_crashes(suspect), 1);
    return BEGUN_PER_CRASH * (is_restored_barred(suspect)
                                  ? MAX(crashes, table->limits.crashes_to_bar)
                                  : crashes);
}

/* See crash_internal.h. */
unsigned
crash_suspect_get_begun_told(const struct ch_crash_table *table,
                             const struct crash_suspect *suspect)
{
    return BEGUN_PER_CRASH *
           (count_crashes(suspect) + table->limits.crashes_to_bar);
}

/* Whether so many responses to prompts with the part began that it is not the
 * cause. */
static bool
is_cleared(const struct ch_crash_table *table,
           const struct crash_suspect *suspect)
{
    return suspect->part != 0 && crash_suspect_count_begun(suspect) >=
                                     get_begun_needed(table, suspect);
}

/* Whether `other` explains a crash as well as a suspect with this number of
 * crashes. A request has all parts of its prompt, so that a part explains the
 * crash better only with more crashes than a request, and than another part.
 */
static bool
explains(const struct ch_crash_table *table, const struct crash_suspect *other,
         const struct crash_suspect *suspect, unsigned crashes)
{
    if (other == suspect || is_cleared(table, other)) {
        return false;
    }
    if (other->part != 0) {
        return count_crashes(other) > crashes;
    }
    return count_crashes_at(other, suspect->part != 0) >= crashes;
}

/* Whether a request or part other than the suspect explains the crash. */
static bool
is_explained(const struct ch_crash_table *table,
             const struct upstream_crash *crash,
             const struct crash_suspect *suspect, unsigned crashes)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        if (explains(table, g_ptr_array_index(crash->suspects, i), suspect,
                     crashes)) {
            return true;
        }
    }
    return false;
}

/* Whether a part was on the upstream that explains a crash of the request. */
static bool
is_explained_by_part(const struct ch_crash_table *table,
                     const struct upstream_crash *crash,
                     const struct crash_suspect *suspect)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        const struct crash_suspect *other =
            g_ptr_array_index(crash->suspects, i);
        if (other->part != 0 &&
            explains(table, other, suspect, count_crashes_at(suspect, true))) {
            return true;
        }
    }
    return false;
}

/* Whether another part was on the upstream, that is as likely the cause. */
static bool
has_rival(const struct ch_crash_table *table,
          const struct upstream_crash *crash,
          const struct crash_suspect *suspect, unsigned crashes)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        const struct crash_suspect *other =
            g_ptr_array_index(crash->suspects, i);
        if (other != suspect && other->part != 0 &&
            !is_cleared(table, other) && count_crashes(other) == crashes) {
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
is_on_concurrent_crash(const struct ch_crash_table *table,
                       const struct crash_suspect *suspect,
                       const struct upstream_crash *crash)
{
    if (is_cleared(table, suspect)) {
        return false;
    }
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

/* Whether so many upstreams crashed under a part that it is a cause. */
static bool
is_likely_part(const struct ch_crash_table *table,
               const struct crash_suspect *suspect)
{
    return suspect->part != 0 && !is_cleared(table, suspect) &&
           count_crashes(suspect) >= table->limits.crashes_to_bar;
}

/* Whether the crash has a cause of its own: one of the requests or parts on
 * the upstream was on several that crashed at about the same time, or is a
 * part under which others crashed. */
static bool
has_own_cause(const struct ch_crash_table *table,
              const struct upstream_crash *crash)
{
    for (guint i = 0; i < crash->suspects->len; i++) {
        const struct crash_suspect *suspect =
            g_ptr_array_index(crash->suspects, i);
        if (is_on_concurrent_crash(table, suspect, crash) ||
            is_likely_part(table, suspect)) {
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
            !was_running_on(suspect, other) && !has_own_cause(table, other);
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
        unexplained +=
            involvement->before_response &&
            is_evidence(suspect, involvement->crash) &&
            !is_explained(table, involvement->crash, suspect, crashes) &&
            !is_wave(table, involvement->crash, suspect);
    }
    return unexplained;
}

/* Counts the crashes of a request that no part explains. */
static unsigned
count_without_part(const struct ch_crash_table *table,
                   const struct crash_suspect *suspect)
{
    unsigned crashes = 0;
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct upstream_crash *crash =
            g_array_index(suspect->involvements, struct crash_involvement, i)
                .crash;
        crashes += is_evidence(suspect, crash) &&
                   !is_explained_by_part(table, crash, suspect);
    }
    return crashes;
}

/* The crashes that bar a part: more where another part is as likely the
 * cause, since a harmless one may be beside it by chance. */
static unsigned
count_needed(const struct ch_crash_table *table,
             const struct crash_suspect *suspect, unsigned crashes)
{
    unsigned needed = table->limits.crashes_to_bar;
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct crash_involvement *involvement =
            &g_array_index(suspect->involvements, struct crash_involvement, i);
        if (involvement->before_response &&
            is_evidence(suspect, involvement->crash) &&
            has_rival(table, involvement->crash, suspect, crashes)) {
            return needed + CRASHES_RULING_OUT_CHANCE;
        }
    }
    return needed;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const int64_t first = *(const int64_t *)a;
    const int64_t second = *(const int64_t *)b;
    return (first > second) - (first < second);
}

/* When the crash of this number happened under a part, counted from 1. */
static int64_t
find_crash_time(const struct crash_suspect *suspect, unsigned number)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < suspect->involvements->len; i++) {
        const struct crash_involvement *involvement =
            &g_array_index(suspect->involvements, struct crash_involvement, i);
        if (involvement->before_response &&
            is_evidence(suspect, involvement->crash)) {
            g_array_append_val(times, involvement->crash->crashed_at);
        }
    }
    g_array_sort(times, compare_times);
    int64_t time =
        number <= times->len ? g_array_index(times, int64_t, number - 1) : 0;
    g_array_free(times, TRUE);
    return time;
}

/* Completes the assessment of a part. */
static void
assess_part(const struct ch_crash_table *table,
            const struct crash_suspect *suspect,
            struct ch_crash_assessment *assessment)
{
    assessment->begun = crash_suspect_count_begun(suspect);
    assessment->state =
        assessment->crashes > 0 ? CH_CRASH_SUSPECTED : CH_CRASH_UNKNOWN;
    if (is_cleared(table, suspect)) {
        assessment->state = CH_CRASH_HARMLESS;
        return;
    }
    if (is_restored_barred(suspect)) {
        assessment->is_restored = true;
        assessment->state = CH_CRASH_BARRED;
        return;
    }
    if (assessment->crashes < table->limits.crashes_to_bar) {
        return;
    }
    assessment->unexplained_crashes =
        count_unexplained(table, suspect, assessment->crashes);
    unsigned needed = count_needed(table, suspect, assessment->crashes);
    if (assessment->unexplained_crashes >= needed) {
        assessment->state = CH_CRASH_BARRED;
        assessment->decided_at = find_crash_time(suspect, needed);
    }
}

/* Completes the assessment of a request. */
static void
assess_request(const struct ch_crash_table *table,
               const struct crash_suspect *suspect,
               struct ch_crash_assessment *assessment)
{
    unsigned limit = table->limits.crashes_to_bar;
    unsigned many = limit + CRASHES_RULING_OUT_CHANCE;
    assessment->unexplained_crashes =
        count_unexplained(table, suspect, assessment->crashes);
    if (suspect->harmless) {
        assessment->state = CH_CRASH_HARMLESS;
    }
    else if (is_restored_barred(suspect) ||
             assessment->unexplained_crashes >= limit ||
             (assessment->crashes >= many &&
              count_without_part(table, suspect) >= many)) {
        assessment->state = CH_CRASH_BARRED;
    }
    else if (assessment->crashes > 0) {
        assessment->state = CH_CRASH_SUSPECTED;
    }
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
    assessment.part = suspect->part;
    assessment.last_evidence_at = suspect->last_evidence_at;
    assessment.crashes = count_crashes(suspect);
    if (suspect->part != 0) {
        assess_part(table, suspect, &assessment);
    }
    else {
        assess_request(table, suspect, &assessment);
    }
    return assessment;
}
