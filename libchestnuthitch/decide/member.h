#ifndef CH_DECIDE_MEMBER_H
#define CH_DECIDE_MEMBER_H

/*
 * Which nodes answer.  The platform's list says who may exist; who answers is
 * judged by each node from what it hears itself.  A silence that another node
 * reports is only a hint: it makes this node probe, and its own probe decides.
 * So no refutation and no agreement are needed, and a node that is cut off
 * from one other cannot talk the rest into dropping it.
 */

#include "base/base.h"

enum ch_member_status {
    CH_MEMBER_ALIVE,
    CH_MEMBER_SILENT,
    CH_MEMBER_STOPPING, /* in messages alone: its own word */
};

struct ch_member {
    char *name;
    char *address;
    char *region;
    char *data_centre;
    enum ch_member_status status;
    bool leaving;      /* by the list */
    uint64_t leaves;   /* incarnation that said that it stops; 0: none */
    uint32_t capacity; /* of its host; 0: not told */
    bool unready;      /* it answers, but is not ready to be home */
    bool listed;       /* found by the update that runs now */
    uint64_t incarnation;
    uint64_t hash;      /* of the name, for rendezvous */
    int64_t heard;      /* last time that anything came from it */
    int64_t probe_at;   /* next probe while it is silent, or after a hint */
    int64_t hint_until; /* tell others of its silence until then */
};

struct ch_members;

/* silent_after: microseconds without an answer that make a member silent. */
struct ch_members *ch_members_new(const char *self, const char *region,
                                  const char *data_centre, uint64_t seed,
                                  int64_t silent_after);
void ch_members_free(struct ch_members *members);

/* The platform's list, whole: who is not in it is forgotten. */
void ch_members_begin_update(struct ch_members *members);
void ch_members_listed(struct ch_members *members, const char *name,
                       const char *address, const char *region,
                       const char *data_centre, bool leaving, int64_t now);
/* What a listed one's host can do. */
void ch_members_capacity(struct ch_members *members, const char *name,
                         uint32_t capacity);
void ch_members_end_update(struct ch_members *members);

void ch_members_heard(struct ch_members *members, const char *name,
                      int64_t now);
/* A connection to it could not be made or went silent.  True: it is now held
   to be silent, as nothing else was heard from it either. */
bool ch_members_lost(struct ch_members *members, const char *name,
                     int64_t now);
/* Its host answered that nobody listens there. */
void ch_members_refused(struct ch_members *members, const char *name,
                        int64_t now);
void ch_members_hint(struct ch_members *members, const char *name,
                     int64_t now);
/* It says itself that it stops: no key has its home there any more. */
void ch_members_leaves(struct ch_members *members, const char *name,
                       uint64_t incarnation);
/* This node stops: it is no home any more, unless it is alone. */
void ch_members_stop_self(struct ch_members *members);
void ch_members_incarnation(struct ch_members *members, const char *name,
                            uint64_t incarnation);
/* Whether it says that it knows what a home must know. */
void ch_members_ready(struct ch_members *members, const char *name,
                      bool ready);
/* The same of this node itself. */
void ch_members_ready_self(struct ch_members *members, bool ready);
bool ch_member_serves(const struct ch_member *member);
/* This process did not run for `gap`, until `now`: what seems silent was not
   asked. */
void ch_members_paused(struct ch_members *members, int64_t gap, int64_t now);

/* Members to probe now, at most `most`; the names live until the next update.
   Called every CH_MEMBER_PERIOD or more often. */
size_t ch_members_probe(struct ch_members *members, int64_t now,
                        const char **names, size_t most);
const struct ch_member *ch_members_find(const struct ch_members *members,
                                        const char *name);
/* Changes whenever some key may have another home than before. */
uint64_t ch_members_version(const struct ch_members *members);
size_t ch_members_count(const struct ch_members *members);
/* Members in order of name; this node is not among them. */
const struct ch_member *ch_members_at(const struct ch_members *members,
                                      size_t index);

/*
 * The live node with the highest rendezvous weight for key in the data
 * centre; when none is live there, in the region; else anywhere.  NULL for
 * either means any.  The name lives until the next update.
 */
const char *ch_members_home(const struct ch_members *members, uint64_t key,
                            const char *region, const char *data_centre);
/* The same among the nodes that are ready, as long as any is. */
const char *ch_members_ready_home(const struct ch_members *members,
                                  uint64_t key, const char *region,
                                  const char *data_centre);

enum {
    /*
     * One probe each half second: with n nodes probing at random, each is
     * probed twice a second on average whatever n is, at two messages a
     * second for each node.
     */
    CH_MEMBER_PERIOD = 500 * 1000,
};

#endif
