/* The age of a node's copy of a list, and whether the node reads it. */

#include "freshness/freshness.h"

/* Parts of the bound; see freshness.h. */
static const double READ_INTERVAL = 1.0 / 3;
static const double BATCH_DELAY = 1.0 / 5;
static const double MIN_WAIT = 1.0 / 60;
static const double SUBSTITUTE_AGE = 7.0 / 15;
static const double SUBSTITUTE_STEP = 1.0 / 30;
static const double START_DELAY = 1.0 / 2;
/* A longer time between two updates counts as a pause of this process. */
static const double PAUSE = 1.0 / 6;
/* Readers wait for a random part of the interval, at least this. */
static const double MIN_RANDOM_PART = 0.75;

static int64_t
get_part(const struct ch_freshness *freshness, double part)
{
    return (int64_t)((double)freshness->bound * part);
}

/* See freshness.h. */
void
ch_freshness_init(struct ch_freshness *freshness, int64_t bound, int64_t now)
{
    *freshness = (struct ch_freshness){
        .bound = bound, .begun_at = now, .updated_at = now};
}

/* See freshness.h. */
void
ch_freshness_confirm(struct ch_freshness *freshness, int64_t at)
{
    freshness->own_confirmed_at = MAX(freshness->own_confirmed_at, at);
    freshness->confirmed_at = MAX(freshness->confirmed_at, at);
}

/* Notes a pause of this process: messages that came meanwhile say how old the
 * sender's copy was before the pause. */
static void
note_pause(struct ch_freshness *freshness, int64_t now)
{
    int64_t pause = get_part(freshness, PAUSE);
    if (now - freshness->updated_at > pause) {
        freshness->distrusted_until = now + pause;
    }
}

/* See freshness.h. */
void
ch_freshness_receive(struct ch_freshness *freshness, int64_t age,
                     bool is_preceding, int64_t now)
{
    note_pause(freshness, now);
    if (now < freshness->distrusted_until) {
        return;
    }
    freshness->confirmed_at = MAX(freshness->confirmed_at, now - age);
    if (is_preceding) {
        freshness->preceding_confirmed_at =
            MAX(freshness->preceding_confirmed_at, now - age);
    }
}

/*
 * The age of its copy at which a node begins to read. Load: hundreds of nodes,
 * of which the first may be unable to reach the store, or most of them. Harm
 * prevented: all of them read at once although one would be enough. Limit: the
 * number of nodes that have begun doubles with each step, so that the last
 * begin after a time that grows with the logarithm of the fleet.
 */
static int64_t
get_substitute_age(const struct ch_freshness *freshness, size_t rank)
{
    int64_t age = get_part(freshness, SUBSTITUTE_AGE);
    for (size_t i = rank / CH_FRESHNESS_READERS; i > 1; i /= 2) {
        age += get_part(freshness, SUBSTITUTE_STEP);
    }
    return age;
}

/*
 * See freshness.h. Load: a store that turns away the nodes that rank first, or
 * leaves their calls unanswered. Harm prevented: the other nodes rely on them
 * and do not learn of changes. Limit: a node reads as long as its own calls
 * are the ones that keep the copies current, and as long as none does.
 */
bool
ch_freshness_update(struct ch_freshness *freshness, size_t rank, int64_t now)
{
    note_pause(freshness, now);
    freshness->updated_at = now;
    if (rank < CH_FRESHNESS_READERS) {
        freshness->is_substitute = false;
        return true;
    }
    int64_t current_age = get_part(freshness, SUBSTITUTE_AGE);
    int64_t begun_at = freshness->begun_at + get_part(freshness, START_DELAY);
    int64_t age = now - MAX(freshness->confirmed_at, begun_at);
    if (age >= get_substitute_age(freshness, rank)) {
        freshness->is_substitute = true;
    }
    else if (age < current_age &&
             (now - freshness->own_confirmed_at >= current_age ||
              now - freshness->preceding_confirmed_at < current_age)) {
        freshness->is_substitute = false;
    }
    return freshness->is_substitute;
}

/* See freshness.h. */
bool
ch_freshness_reaches_store(const struct ch_freshness *freshness, int64_t now)
{
    return !freshness->is_substitute ||
           now - freshness->own_confirmed_at <
               get_part(freshness, SUBSTITUTE_AGE);
}

/* See freshness.h. */
int64_t
ch_freshness_get_age(const struct ch_freshness *freshness, int64_t now)
{
    return freshness->confirmed_at == 0
               ? G_MAXINT64
               : MAX(now - freshness->confirmed_at, 0);
}

/* See freshness.h. */
bool
ch_freshness_update_late(struct ch_freshness *freshness, int64_t now)
{
    bool was_late = freshness->is_late;
    freshness->is_late =
        freshness->confirmed_at != 0 &&
        ch_freshness_get_age(freshness, now) > freshness->bound;
    return freshness->is_late != was_late;
}

/* See freshness.h. */
int64_t
ch_freshness_get_wait(const struct ch_freshness *freshness, double random,
                      int64_t now)
{
    double part = MIN_RANDOM_PART + (1 - MIN_RANDOM_PART) * random;
    int64_t interval = get_part(freshness, READ_INTERVAL * part);
    return CLAMP(freshness->own_confirmed_at + interval - now,
                 get_part(freshness, MIN_WAIT), interval);
}

/* See freshness.h. */
int64_t
ch_freshness_get_batch_delay(const struct ch_freshness *freshness)
{
    return get_part(freshness, BATCH_DELAY);
}

/* See freshness.h. */
int64_t
ch_freshness_get_watch_time(int64_t sent_at, int64_t wait, bool has_changes,
                            int64_t now)
{
    return has_changes || now < sent_at + wait ? sent_at : sent_at + wait;
}
