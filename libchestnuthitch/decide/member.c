/* Membership: who is listed, who answers, whom to probe next. */

#include "decide/member.h"

#include <string.h>

enum {
    /* A silent member is probed this often: soon enough to come back into
     * use. */
    SILENT_PROBE = 1000 * 1000,
    /* All silent members together are probed no more often than this.  Load:
     * regions that have lost each other, where 200 of 320 nodes are silent.
     * Harm prevented: 200 tries a second from each node, which the link that
     * is about to come back would carry.  Up to 20 silent members, and in any
     * fleet of today, it changes nothing; 200 have their turn every 10 s, and
     * whichever of two nodes tries first brings both back. */
    SILENT_SHARE = 50 * 1000,
    /* How long others are told: several rounds of gossip at 320 nodes. */
    HINT_TIME = 4 * 1000 * 1000,
};

struct ch_members {
    char *self;
    char *region;
    char *data_centre;
    uint64_t hash; /* of this node's name */
    uint64_t version;
    bool stopping;
    bool unready;    /* this node knows no configuration */
    GPtrArray *list; /* of struct ch_member, by name */
    GRand *random;
    int64_t silent_after;
    int64_t next_probe;
    GArray *order; /* uint32_t: what is left of this round's shuffle */
};

/* Frees one member. */
static void
free_member(gpointer data)
{
    struct ch_member *member = data;
    g_free(member->name);
    g_free(member->address);
    g_free(member->region);
    g_free(member->data_centre);
    g_free(member);
}

/* Members as seen by the node `self`, which is always live and not listed
 * among them.  The seed makes the order of probes repeatable. */
struct ch_members *
ch_members_new(const char *self, const char *region, const char *data_centre,
               uint64_t seed, int64_t silent_after)
{
    struct ch_members *members = g_new0(struct ch_members, 1);
    members->self = g_strdup(self);
    members->hash = ch_hash_string(self);
    members->version = 1;
    members->region = g_strdup(region);
    members->data_centre = g_strdup(data_centre);
    members->list = g_ptr_array_new_with_free_func(free_member);
    members->random = g_rand_new_with_seed((guint32)seed);
    members->silent_after = silent_after;
    members->order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    return members;
}

/* Frees the members and every name that was given out. */
void
ch_members_free(struct ch_members *members)
{
    if (members == NULL) {
        return;
    }
    g_ptr_array_free(members->list, TRUE);
    g_array_free(members->order, TRUE);
    g_rand_free(members->random);
    g_free(members->self);
    g_free(members->region);
    g_free(members->data_centre);
    g_free(members);
}

/* The place of name in the list, or where it belongs. */
static guint
place_of(const struct ch_members *members, const char *name, bool *found)
{
    guint low = 0;
    guint high = members->list->len;
    *found = false;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const struct ch_member *member =
            g_ptr_array_index(members->list, middle);
        int order = strcmp(member->name, name);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* The member of that name, to be changed; NULL for this node or an unknown
 * one. */
static struct ch_member *
find_member(const struct ch_members *members, const char *name)
{
    bool found = false;
    guint at = place_of(members, name, &found);
    return found ? g_ptr_array_index(members->list, at) : NULL;
}

/* The member of that name; NULL for this node or an unknown one. */
const struct ch_member *
ch_members_find(const struct ch_members *members, const char *name)
{
    return find_member(members, name);
}

/* Begins an update by the platform's list. */
void
ch_members_begin_update(struct ch_members *members)
{
    for (guint i = 0; i < members->list->len; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        member->listed = false;
    }
}

/* Replaces a string when it differs. */
static void
set_string(char **at, const char *value)
{
    if (g_strcmp0(*at, value) != 0) {
        g_free(*at);
        *at = g_strdup(value);
    }
}

/* One line of the list.  A new member counts as live until it is found
 * silent: the list names hosts that the platform holds to be up, and the first
 * use of a home that is not costs one time-out. */
void
ch_members_listed(struct ch_members *members, const char *name,
                  const char *address, const char *region,
                  const char *data_centre, bool leaving, int64_t now)
{
    if (strcmp(name, members->self) == 0) {
        return;
    }
    bool found = false;
    guint at = place_of(members, name, &found);
    if (!found) {
        struct ch_member *fresh = g_new0(struct ch_member, 1);
        fresh->name = g_strdup(name);
        fresh->hash = ch_hash_string(name);
        members->version++;
        fresh->heard = now;
        g_ptr_array_insert(members->list, (gint)at, fresh);
        g_array_set_size(members->order, 0);
    }
    struct ch_member *member = g_ptr_array_index(members->list, at);
    set_string(&member->address, address);
    if (g_strcmp0(member->data_centre, data_centre) != 0 ||
        g_strcmp0(member->region, region) != 0 || member->leaving != leaving) {
        members->version++;
    }
    set_string(&member->region, region);
    set_string(&member->data_centre, data_centre);
    member->leaving = leaving;
    member->listed = true;
}

/* See member.h. */
void
ch_members_capacity(struct ch_members *members, const char *name,
                    uint32_t capacity)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL) {
        member->capacity = capacity;
    }
}

/* Ends the update: who was not listed is forgotten.  The round of probes goes
 * on unless the members are others: begun anew at each list, it would never
 * come to an end in a fleet whose list comes more often than a round takes. */
void
ch_members_end_update(struct ch_members *members)
{
    for (guint i = members->list->len; i > 0; i--) {
        const struct ch_member *member =
            g_ptr_array_index(members->list, i - 1);
        if (!member->listed) {
            members->version++;
            g_ptr_array_remove_index(members->list, i - 1);
            g_array_set_size(members->order, 0);
        }
    }
}

/* Something came from it: it is alive. */
void
ch_members_heard(struct ch_members *members, const char *name, int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return;
    }
    member->heard = MAX(member->heard, now);
    if (member->status != CH_MEMBER_ALIVE) {
        members->version++;
    }
    member->status = CH_MEMBER_ALIVE;
    member->hint_until = 0;
    member->probe_at = 0;
}

/* How long each silent member waits for its turn. */
static int64_t
silent_period(const struct ch_members *members)
{
    int64_t silent = 0;
    for (guint i = 0; i < members->list->len; i++) {
        const struct ch_member *member = g_ptr_array_index(members->list, i);
        silent += member->status == CH_MEMBER_SILENT;
    }
    return MAX((int64_t)SILENT_PROBE, silent * SILENT_SHARE);
}

/* One connection failed.  The member is silent only if nothing came from it
 * on any other for silent_after: a single connection that something on the way
 * has forgotten says nothing about the node. */
bool
ch_members_lost(struct ch_members *members, const char *name, int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return false;
    }
    if (now - member->heard < members->silent_after) {
        member->probe_at = now;
        return false;
    }
    if (member->status == CH_MEMBER_ALIVE) {
        member->status = CH_MEMBER_SILENT;
        members->version++;
        member->hint_until = now + HINT_TIME;
    }
    member->probe_at = now + silent_period(members);
    return true;
}

/*
 * Its host refused a connection: the process is gone, and no time need pass
 * before that is believed.  Without this every request for its homes went back
 * to the dead node until silent_after had passed, and was refused.  A process
 * that has only begun to start is heard from at the next probe; what went
 * elsewhere until then cost nothing but a queue of its own.
 */
void
ch_members_refused(struct ch_members *members, const char *name, int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return;
    }
    if (member->status == CH_MEMBER_ALIVE) {
        member->status = CH_MEMBER_SILENT;
        members->version++;
        member->hint_until = now + HINT_TIME;
    }
    member->probe_at = now + silent_period(members);
}

/* Another node finds it silent: probe it at once and judge by that. */
void
ch_members_hint(struct ch_members *members, const char *name, int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL || member->status == CH_MEMBER_SILENT ||
        now - member->heard < members->silent_after) {
        return;
    }
    member->probe_at = now;
}

/* A node that stops says so, ahead of the lagging list: homes move away while
 * it still answers, and nobody waits for a time-out. */
void
ch_members_leaves(struct ch_members *members, const char *name,
                  uint64_t incarnation)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->leaves != incarnation) {
        member->leaves = incarnation;
        members->version++;
    }
}

/* From now on the keys of this node have their homes elsewhere; where there is
 * nobody else, ch_members_home finds none. */
void
ch_members_stop_self(struct ch_members *members)
{
    members->stopping = true;
    members->version++;
}

/* The process behind the name: a new one has not said that it stops. */
void
ch_members_incarnation(struct ch_members *members, const char *name,
                       uint64_t incarnation)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->incarnation != incarnation) {
        member->incarnation = incarnation;
        members->version += member->leaves != 0;
        member->leaves = 0;
    }
}

/* A node says with each frame whether it is ready to be home. */
void
ch_members_ready(struct ch_members *members, const char *name, bool ready)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->unready == ready) {
        member->unready = !ready;
        members->version++;
    }
}

/* The same of this node. */
void
ch_members_ready_self(struct ch_members *members, bool ready)
{
    if (members->unready == ready) {
        members->unready = !ready;
        members->version++;
    }
}

/* Whether keys may have their home there. */
bool
ch_member_serves(const struct ch_member *member)
{
    return member->status == CH_MEMBER_ALIVE && !member->leaving &&
           member->leaves == 0;
}

/* After a pause of this process (stopped, or starved of processor time) every
 * member seems silent at once, though none was asked.  Without this the node
 * would call itself the home of everything until it had heard from each.  Who
 * was heard since gets nothing added: it would count as heard for as long as
 * the pause was, also if it died at once. */
void
ch_members_paused(struct ch_members *members, int64_t gap, int64_t now)
{
    for (guint i = 0; i < members->list->len; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        member->heard = MAX(member->heard, MIN(member->heard + gap, now));
    }
}

/* Draws the next member of a shuffled round: every member is probed once a
 * round, so that the time to find a failure is bounded, as in SWIM (Das, Gupta
 * and Motivala, 2002). */
static struct ch_member *
draw_member(struct ch_members *members)
{
    if (members->list->len == 0) {
        return NULL;
    }
    if (members->order->len == 0) {
        for (uint32_t i = 0; i < members->list->len; i++) {
            g_array_append_val(members->order, i);
        }
    }
    guint pick = (guint)g_rand_int_range(members->random, 0,
                                         (gint32)members->order->len);
    uint32_t index = g_array_index(members->order, uint32_t, pick);
    g_array_remove_index_fast(members->order, pick);
    return g_ptr_array_index(members->list, index);
}

/* Gives the names to probe now: those due after a loss or hint, and one of
 * the round when the period is over. */
size_t
ch_members_probe(struct ch_members *members, int64_t now, const char **names,
                 size_t most)
{
    size_t count = 0;
    int64_t period = silent_period(members);
    for (guint i = 0; i < members->list->len && count < most; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        if (member->probe_at > 0 && member->probe_at <= now) {
            member->probe_at = now + period;
            names[count++] = member->name;
        }
    }
    if (now < members->next_probe || count == most) {
        return count;
    }
    members->next_probe = now + CH_MEMBER_PERIOD;
    const struct ch_member *drawn = draw_member(members);
    if (drawn != NULL && drawn->status == CH_MEMBER_ALIVE) {
        names[count++] = drawn->name;
    }
    return count;
}

/* A number that is the same for as long as no key can have moved.  With 1,900
 * upstreams and 320 nodes, finding every home takes 600,000 weights: too much
 * to do twice a second for nothing. */
uint64_t
ch_members_version(const struct ch_members *members)
{
    return members->version;
}

/* How many members there are besides this node. */
size_t
ch_members_count(const struct ch_members *members)
{
    return members->list->len;
}

/* The member at a place in the order of names. */
const struct ch_member *
ch_members_at(const struct ch_members *members, size_t index)
{
    return g_ptr_array_index(members->list, index);
}

/* Whether a node in that place serves the scope; NULL means any. */
static bool
in_scope(const char *region, const char *data_centre, const char *want_region,
         const char *want_data_centre)
{
    return (want_region == NULL || strcmp(region, want_region) == 0) &&
           (want_data_centre == NULL ||
            strcmp(data_centre, want_data_centre) == 0);
}

/* The live node of the scope with the highest weight, or NULL. */
static const char *
best_in_scope(const struct ch_members *members, uint64_t key,
              const char *region, const char *data_centre, bool ready)
{
    const char *best = NULL;
    uint64_t best_weight = 0;
    if (!members->stopping && !(ready && members->unready) &&
        in_scope(members->region, members->data_centre, region, data_centre)) {
        best = members->self;
        best_weight = ch_hash_pair(key, members->hash);
    }
    for (guint i = 0; i < members->list->len; i++) {
        const struct ch_member *member = g_ptr_array_index(members->list, i);
        if (!ch_member_serves(member) || (ready && member->unready) ||
            !in_scope(member->region, member->data_centre, region,
                      data_centre)) {
            continue;
        }
        uint64_t weight = ch_hash_pair(key, member->hash);
        if (best == NULL || weight > best_weight) {
            best = member->name;
            best_weight = weight;
        }
    }
    return best;
}

/* The home of a key among all nodes or the ready ones, by scope. */
static const char *
home_among(const struct ch_members *members, uint64_t key, const char *region,
           const char *data_centre, bool ready)
{
    const char *best = best_in_scope(members, key, region, data_centre, ready);
    if (best == NULL) {
        best = best_in_scope(members, key, region, NULL, ready);
    }
    if (best == NULL) {
        best = best_in_scope(members, key, NULL, NULL, ready);
    }
    return best;
}

/* The home of a key: in the data centre if a node lives there, so that the
 * exact counts are kept a millisecond from the upstream; else in its region;
 * else anywhere, so that losing every node of a data centre leaves its
 * upstreams in use. */
const char *
ch_members_home(const struct ch_members *members, uint64_t key,
                const char *region, const char *data_centre)
{
    return home_among(members, key, region, data_centre, false);
}

/*
 * A node that has just started answers probes before it knows configuration,
 * host list and what the homes before it knew, and refuses what it is asked to
 * queue.  Asked first, it would cost a request all its tries within a
 * millisecond, though the home of before still serves.  When none is ready
 * the fleet starts as a whole, and homes are found as ever.
 */
const char *
ch_members_ready_home(const struct ch_members *members, uint64_t key,
                      const char *region, const char *data_centre)
{
    const char *best = home_among(members, key, region, data_centre, true);
    if (best == NULL) {
        best = ch_members_home(members, key, region, data_centre);
    }
    return best;
}
