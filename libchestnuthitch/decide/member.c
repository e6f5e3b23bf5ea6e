/* Membership: which nodes are listed, which are alive, which to probe next. */

#include "decide/member.h"

#include <string.h>

enum {
    /* Time between probes of a silent member, so that it is soon in use again
     * after it recovers. */
    SILENT_PROBE_PERIOD_US = 1000 * 1000,
    /* All silent members together are probed once in this time.  When regions
     * are cut off from each other and 200 of 320 nodes are silent, each node
     * would otherwise send 200 probes a second, a load on the link as soon as
     * it recovers.  The limit changes nothing for up to 20 silent members, nor
     * in present fleets.  200 silent members are each probed every 10 s; that
     * is enough, because the first probe between two nodes restores both. */
    SILENT_PROBE_SPACING_US = 50 * 1000,
    /* Time for which other nodes are told that a member is silent: several
     * gossip rounds with 320 nodes. */
    HINT_DURATION_US = 4 * 1000 * 1000,
};

struct ch_members {
    char *self;
    char *region;
    char *data_centre;
    uint64_t hash; /* of this node's name */
    uint64_t version;
    bool stopping;
    bool self_not_ready; /* not ready to be a home node */
    GPtrArray *list;     /* struct ch_member, sorted by name */
    GRand *random;
    int64_t silent_after_us;
    int64_t next_probe_us;
    GArray *round; /* uint32_t: indexes still to be probed in this round */
};

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

/* This node always counts as alive. */
struct ch_members *
ch_members_new(const char *self, const char *region, const char *data_centre,
               uint64_t seed, int64_t silent_after_us)
{
    struct ch_members *members = g_new0(struct ch_members, 1);
    members->self = g_strdup(self);
    members->hash = ch_hash_string(self);
    members->version = 1;
    members->region = g_strdup(region);
    members->data_centre = g_strdup(data_centre);
    members->list = g_ptr_array_new_with_free_func(free_member);
    members->random = g_rand_new_with_seed((guint32)seed);
    members->silent_after_us = silent_after_us;
    members->round = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    return members;
}

/* Frees the members, which may be NULL, and all names that were returned. */
void
ch_members_free(struct ch_members *members)
{
    if (members == NULL) {
        return;
    }
    g_ptr_array_free(members->list, TRUE);
    g_array_free(members->round, TRUE);
    g_rand_free(members->random);
    g_free(members->self);
    g_free(members->region);
    g_free(members->data_centre);
    g_free(members);
}

/* The index of the name in the sorted list, or the index to insert it at. */
static guint
find_index(const struct ch_members *members, const char *name, bool *found)
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

static struct ch_member *
find_member(const struct ch_members *members, const char *name)
{
    bool found = false;
    guint index = find_index(members, name, &found);
    return found ? g_ptr_array_index(members->list, index) : NULL;
}

/* Valid until the next update. */
const struct ch_member *
ch_members_find(const struct ch_members *members, const char *name)
{
    return find_member(members, name);
}

/* Marks all members as not listed. */
void
ch_members_begin_update(struct ch_members *members)
{
    for (guint i = 0; i < members->list->len; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        member->listed = false;
    }
}

/* Replaces an allocated string when the value differs. */
static void
replace_string(char **target, const char *value)
{
    if (g_strcmp0(*target, value) != 0) {
        g_free(*target);
        *target = g_strdup(value);
    }
}

/* Adds or updates the member of one entry of the host list.  A new member
 * counts as alive until it is found silent: the list names hosts that the
 * platform considers up, and if one is not, its first use as a home node
 * costs one timeout. */
void
ch_members_update_member(struct ch_members *members, const char *name,
                         const char *address, const char *region,
                         const char *data_centre, bool leaving, int64_t now)
{
    if (strcmp(name, members->self) == 0) {
        return;
    }
    bool found = false;
    guint index = find_index(members, name, &found);
    if (!found) {
        struct ch_member *new_member = g_new0(struct ch_member, 1);
        new_member->name = g_strdup(name);
        new_member->name_hash = ch_hash_string(name);
        members->version++;
        new_member->last_heard_us = now;
        g_ptr_array_insert(members->list, (gint)index, new_member);
        g_array_set_size(members->round, 0);
    }
    struct ch_member *member = g_ptr_array_index(members->list, index);
    replace_string(&member->address, address);
    if (g_strcmp0(member->data_centre, data_centre) != 0 ||
        g_strcmp0(member->region, region) != 0 ||
        member->draining != leaving) {
        members->version++;
    }
    replace_string(&member->region, region);
    replace_string(&member->data_centre, data_centre);
    member->draining = leaving;
    member->listed = true;
}

/* Does nothing for an unknown member. */
void
ch_members_set_capacity(struct ch_members *members, const char *name,
                        uint32_t capacity)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL) {
        member->capacity = capacity;
    }
}

/* Removes the members that were not listed.  The round of probes is restarted
 * only when members were added or removed: if every list restarted it, no
 * round would ever end in a fleet whose list comes more often than a round
 * takes. */
void
ch_members_end_update(struct ch_members *members)
{
    for (guint i = members->list->len; i > 0; i--) {
        const struct ch_member *member =
            g_ptr_array_index(members->list, i - 1);
        if (!member->listed) {
            members->version++;
            g_ptr_array_remove_index(members->list, i - 1);
            g_array_set_size(members->round, 0);
        }
    }
}

/* Records a message from a member and marks the member alive. */
void
ch_members_record_message(struct ch_members *members, const char *name,
                          int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return;
    }
    member->last_heard_us = MAX(member->last_heard_us, now);
    if (member->status != CH_MEMBER_ALIVE) {
        members->version++;
    }
    member->status = CH_MEMBER_ALIVE;
    member->hint_until_us = 0;
    member->next_probe_us = 0;
}

/* The time between two probes of the same silent member, in microseconds. */
static int64_t
compute_silent_probe_period_us(const struct ch_members *members)
{
    int64_t silent_count = 0;
    for (guint i = 0; i < members->list->len; i++) {
        const struct ch_member *member = g_ptr_array_index(members->list, i);
        silent_count += member->status == CH_MEMBER_SILENT;
    }
    return MAX((int64_t)SILENT_PROBE_PERIOD_US,
               silent_count * SILENT_PROBE_SPACING_US);
}

/* Handles the loss of one connection.  The member is silent only if no message
 * came from it over any other connection for silent_after_us: a device on the
 * network path may have dropped the state of a single connection while the
 * node is well. */
bool
ch_members_record_lost_connection(struct ch_members *members, const char *name,
                                  int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return false;
    }
    if (now - member->last_heard_us < members->silent_after_us) {
        member->next_probe_us = now;
        return false;
    }
    if (member->status == CH_MEMBER_ALIVE) {
        member->status = CH_MEMBER_SILENT;
        members->version++;
        member->hint_until_us = now + HINT_DURATION_US;
    }
    member->next_probe_us = now + compute_silent_probe_period_us(members);
    return true;
}

/*
 * Marks a member silent whose host refused a connection: its process has
 * ended, so there is no need to wait for silent_after_us.  During that wait
 * every request for the member's keys would be sent to it and refused.  A
 * process that is only just starting answers the next probe; until then its
 * requests go to other nodes, at no more cost than a separate queue there.
 */
void
ch_members_record_refused_connection(struct ch_members *members,
                                     const char *name, int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL) {
        return;
    }
    if (member->status == CH_MEMBER_ALIVE) {
        member->status = CH_MEMBER_SILENT;
        members->version++;
        member->hint_until_us = now + HINT_DURATION_US;
    }
    member->next_probe_us = now + compute_silent_probe_period_us(members);
}

/* Schedules an immediate probe of a member that another node found silent; the
 * hint alone doesn't change the member's status. */
void
ch_members_record_silence_hint(struct ch_members *members, const char *name,
                               int64_t now)
{
    struct ch_member *member = find_member(members, name);
    if (member == NULL || member->status == CH_MEMBER_SILENT ||
        now - member->last_heard_us < members->silent_after_us) {
        return;
    }
    member->next_probe_us = now;
}

/* A stopping node announces its stop, because the host list lags behind.  Its
 * keys move to other home nodes while it still answers, so that no request has
 * to wait for a timeout. */
void
ch_members_record_stopping(struct ch_members *members, const char *name,
                           uint64_t incarnation)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->stopping_incarnation != incarnation) {
        member->stopping_incarnation = incarnation;
        members->version++;
    }
}

/* From now on the keys of this node have other home nodes.  When there is no
 * other node, ch_members_find_home returns NULL. */
void
ch_members_stop_self(struct ch_members *members)
{
    members->stopping = true;
    members->version++;
}

/* A changed incarnation clears the announcement of a stop, which came from the
 * earlier process of that name. */
void
ch_members_set_incarnation(struct ch_members *members, const char *name,
                           uint64_t incarnation)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->incarnation != incarnation) {
        member->incarnation = incarnation;
        members->version += member->stopping_incarnation != 0;
        member->stopping_incarnation = 0;
    }
}

void
ch_members_set_no_path(struct ch_members *members, const char *name,
                       bool no_path)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL) {
        member->no_path = no_path;
    }
}

void
ch_members_set_relay_port(struct ch_members *members, const char *name,
                          uint16_t port)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL) {
        member->relay_port = port;
    }
}

/* Each frame from a node says whether it is ready to be a home node. */
void
ch_members_set_ready(struct ch_members *members, const char *name, bool ready)
{
    struct ch_member *member = find_member(members, name);
    if (member != NULL && member->not_ready == ready) {
        member->not_ready = !ready;
        members->version++;
    }
}

void
ch_members_set_self_ready(struct ch_members *members, bool ready)
{
    if (members->self_not_ready == ready) {
        members->self_not_ready = !ready;
        members->version++;
    }
}

/* A member may be a home node when it is alive, its host is not draining, and
 * it has not announced its stop. */
bool
ch_member_is_available(const struct ch_member *member)
{
    return member->status == CH_MEMBER_ALIVE && !member->draining &&
           member->stopping_incarnation == 0;
}

/* After a pause of this process (stopped, or starved of CPU time) every member
 * seems silent at once, although none was probed.  Therefore the pause is
 * added to the time of each member's last message; otherwise this node would
 * consider itself the home node of all keys until it had heard from each
 * member.  The result is never later than now: a member that was heard after
 * the pause and died at once would otherwise count as alive for as long as the
 * pause lasted. */
void
ch_members_record_pause(struct ch_members *members, int64_t gap_us,
                        int64_t now)
{
    for (guint i = 0; i < members->list->len; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        member->last_heard_us = MAX(member->last_heard_us,
                                    MIN(member->last_heard_us + gap_us, now));
    }
}

/* Draws the next member in a shuffled round.  Every member is probed once per
 * round, which bounds the time to detect a failure, as in SWIM (Das, Gupta and
 * Motivala, 2002).  Returns NULL when there are no members. */
static struct ch_member *
draw_member(struct ch_members *members)
{
    if (members->list->len == 0) {
        return NULL;
    }
    if (members->round->len == 0) {
        for (uint32_t i = 0; i < members->list->len; i++) {
            g_array_append_val(members->round, i);
        }
    }
    guint pick = (guint)g_rand_int_range(members->random, 0,
                                         (gint32)members->round->len);
    uint32_t index = g_array_index(members->round, uint32_t, pick);
    g_array_remove_index_fast(members->round, pick);
    return g_ptr_array_index(members->list, index);
}

/* Selects the members whose probe after a loss or a hint is due, and the next
 * member of the round when the probe period has passed. */
size_t
ch_members_select_probes(struct ch_members *members, int64_t now,
                         const char **names, size_t max_names)
{
    size_t count = 0;
    int64_t period_us = compute_silent_probe_period_us(members);
    for (guint i = 0; i < members->list->len && count < max_names; i++) {
        struct ch_member *member = g_ptr_array_index(members->list, i);
        if (member->next_probe_us > 0 && member->next_probe_us <= now) {
            member->next_probe_us = now + period_us;
            names[count++] = member->name;
        }
    }
    if (now < members->next_probe_us || count == max_names) {
        return count;
    }
    members->next_probe_us = now + CH_MEMBER_PROBE_PERIOD_US;
    const struct ch_member *drawn = draw_member(members);
    if (drawn != NULL && drawn->status == CH_MEMBER_ALIVE) {
        names[count++] = drawn->name;
    }
    return count;
}

/* While the version is unchanged, no key has another home node.  With 1,900
 * upstreams and 320 nodes, finding all home nodes takes 600,000 weights, too
 * much to repeat twice a second without need. */
uint64_t
ch_members_get_version(const struct ch_members *members)
{
    return members->version;
}

/* The number of members, without this node. */
size_t
ch_members_get_count(const struct ch_members *members)
{
    return members->list->len;
}

/* The member at an index in the order of names, valid until the next update.
 */
const struct ch_member *
ch_members_get(const struct ch_members *members, size_t index)
{
    return g_ptr_array_index(members->list, index);
}

/* True when a node of that region and data centre is in the wanted ones; NULL
 * means any. */
static bool
is_in_scope(const char *region, const char *data_centre,
            const char *want_region, const char *want_data_centre)
{
    return (want_region == NULL || strcmp(region, want_region) == 0) &&
           (want_data_centre == NULL ||
            strcmp(data_centre, want_data_centre) == 0);
}

/* The available node in the scope with the highest weight for the key, or
 * NULL.  ready: only nodes that are ready to be home nodes. */
static const char *
find_best_in_scope(const struct ch_members *members, uint64_t key,
                   const char *region, const char *data_centre, bool ready)
{
    const char *best = NULL;
    uint64_t best_weight = 0;
    if (!members->stopping && !(ready && members->self_not_ready) &&
        is_in_scope(members->region, members->data_centre, region,
                    data_centre)) {
        best = members->self;
        best_weight = ch_hash_pair(key, members->hash);
    }
    for (guint i = 0; i < members->list->len; i++) {
        const struct ch_member *member = g_ptr_array_index(members->list, i);
        if (!ch_member_is_available(member) || (ready && member->not_ready) ||
            !is_in_scope(member->region, member->data_centre, region,
                         data_centre)) {
            continue;
        }
        uint64_t weight = ch_hash_pair(key, member->name_hash);
        if (best == NULL || weight > best_weight) {
            best = member->name;
            best_weight = weight;
        }
    }
    return best;
}

/* The home node of a key in the narrowest scope that has an available node. */
static const char *
find_home_in_scopes(const struct ch_members *members, uint64_t key,
                    const char *region, const char *data_centre, bool ready)
{
    const char *best =
        find_best_in_scope(members, key, region, data_centre, ready);
    if (best == NULL) {
        best = find_best_in_scope(members, key, region, NULL, ready);
    }
    if (best == NULL) {
        best = find_best_in_scope(members, key, NULL, NULL, ready);
    }
    return best;
}

/* The home node is in the data centre if a node is available there, so that
 * the exact counts are kept within a millisecond of the upstream; else in the
 * region; else anywhere, so that a data centre's upstreams stay in use when
 * all of its nodes are lost. */
const char *
ch_members_find_home(const struct ch_members *members, uint64_t key,
                     const char *region, const char *data_centre)
{
    return find_home_in_scopes(members, key, region, data_centre, false);
}

/*
 * Requests go to home nodes that are ready.  A node that has just started
 * answers probes before it knows the configuration, the host list and the
 * state of the earlier home nodes, and refuses to queue requests.  A request
 * sent there first would use up all its attempts within a millisecond,
 * although the earlier home node still serves.  When no node is ready, the
 * whole fleet is starting, and readiness is ignored.
 */
const char *
ch_members_find_ready_home(const struct ch_members *members, uint64_t key,
                           const char *region, const char *data_centre)
{
    const char *best =
        find_home_in_scopes(members, key, region, data_centre, true);
    if (best == NULL) {
        best = ch_members_find_home(members, key, region, data_centre);
    }
    return best;
}
