#ifndef CH_DECIDE_MEMBER_H
#define CH_DECIDE_MEMBER_H

/*
 * Membership and failure detection.  The platform's host list says which nodes
 * may exist; each node decides from the messages that it receives itself which
 * of them are alive.  Another node's message that a member is silent is only a
 * hint: it makes this node probe the member, and its own probe decides.  So
 * neither refutations nor an agreement are needed, and a node that is cut off
 * from one other node cannot make the rest drop that node.
 */

#include "base/base.h"

enum ch_member_status {
    CH_MEMBER_ALIVE,
    CH_MEMBER_SILENT,
    CH_MEMBER_STOPPING, /* only in messages: a node's own announcement */
};

struct ch_member {
    char *name;
    char *address;
    char *region;
    char *data_centre;
    enum ch_member_status status;
    bool draining; /* the host list marks its host as draining */
    uint64_t stopping_incarnation; /* incarnation that announced its stop; 0:
                                      none */
    uint32_t capacity;             /* of its host, in any unit; 0: not known */
    bool no_path;                  /* it is cut off from the upstreams */
    uint16_t relay_port;           /* where it relays calls; 0: not known */
    bool not_ready; /* answers, but is not ready to be a home node */
    bool listed;    /* found in the host list by the update in progress */
    uint64_t incarnation;
    uint64_t name_hash;    /* of the name, for rendezvous hashing */
    int64_t last_heard_us; /* time of the last message from it */
    int64_t next_probe_us; /* time of an extra probe, after a lost connection
                         or a hint, or while the member is silent; 0: none */
    int64_t hint_until_us; /* time until which other nodes are told that it is
                           silent */
};

struct ch_members;

/* Members as seen by the node self, which is not listed among them.  A member
   whose connection is lost is silent after silent_after_us without a message
   from it.  The seed makes the order of probes repeatable. */
struct ch_members *ch_members_new(const char *self, const char *region,
                                  const char *data_centre, uint64_t seed,
                                  int64_t silent_after_us);
void ch_members_free(struct ch_members *members);

/* An update takes a whole host list: ch_members_begin_update, one call of
   ch_members_update_member for each node, ch_members_end_update, which removes
   the members that are not in the list. */
void ch_members_begin_update(struct ch_members *members);
void ch_members_update_member(struct ch_members *members, const char *name,
                              const char *address, const char *region,
                              const char *data_centre, bool leaving,
                              int64_t now);
/* Sets the capacity of a listed member's host, in any unit; 0: not known. */
void ch_members_set_capacity(struct ch_members *members, const char *name,
                             uint32_t capacity);
void ch_members_end_update(struct ch_members *members);

/* Records a message from a member, which is then alive. */
void ch_members_record_message(struct ch_members *members, const char *name,
                               int64_t now);
/* Records that a connection to a member could not be made or went silent.
   Returns true when the member now counts as silent, because no message came
   over another connection either. */
bool ch_members_record_lost_connection(struct ch_members *members,
                                       const char *name, int64_t now);
/* Records that the member's host refused a connection: no process listens. */
void ch_members_record_refused_connection(struct ch_members *members,
                                          const char *name, int64_t now);
/* Records that another node found a member silent. */
void ch_members_record_silence_hint(struct ch_members *members,
                                    const char *name, int64_t now);
/* Records a member's announcement that it stops: it is the home node of no key
   any more. */
void ch_members_record_stopping(struct ch_members *members, const char *name,
                                uint64_t incarnation);
/* Records that this node stops: it is the home node of no key any more. */
void ch_members_stop_self(struct ch_members *members);
/* Sets the incarnation, which changes when a new process takes the name. */
void ch_members_set_incarnation(struct ch_members *members, const char *name,
                                uint64_t incarnation);
/* Sets whether a member says that it is ready to be a home node. */
void ch_members_set_ready(struct ch_members *members, const char *name,
                          bool ready);
/* Sets whether a member says that it is cut off from the upstreams. */
void ch_members_set_no_path(struct ch_members *members, const char *name,
                            bool no_path);
/* Sets the port at which a member relays calls; 0: none. */
void ch_members_set_relay_port(struct ch_members *members, const char *name,
                               uint16_t port);
/* Sets whether this node is ready to be a home node. */
void ch_members_set_self_ready(struct ch_members *members, bool ready);
/* True when the member may be a home node, apart from its readiness. */
bool ch_member_is_available(const struct ch_member *member);
/* Records that this process did not run for gap_us, until now, and therefore
   probed no member. */
void ch_members_record_pause(struct ch_members *members, int64_t gap_us,
                             int64_t now);

/* Selects at most max_names members to probe now and returns their number.
   The names are valid until the next update.  To be called at least once per
   CH_MEMBER_PROBE_PERIOD_US. */
size_t ch_members_select_probes(struct ch_members *members, int64_t now,
                                const char **names, size_t max_names);
/* Returns NULL for this node and for an unknown name. */
const struct ch_member *ch_members_find(const struct ch_members *members,
                                        const char *name);
/* A number that changes whenever a key may have another home node. */
uint64_t ch_members_get_version(const struct ch_members *members);
size_t ch_members_get_count(const struct ch_members *members);
/* Members are sorted by name; this node is not among them. */
const struct ch_member *ch_members_get(const struct ch_members *members,
                                       size_t index);

/*
 * The key's home node: the available node with the highest rendezvous weight
 * for the key in the data centre; when none is available there, in the region;
 * else anywhere.  NULL for data centre or region means any.  Returns NULL when
 * no node is available at all.  The name is valid until the next update.
 */
const char *ch_members_find_home(const struct ch_members *members,
                                 uint64_t key, const char *region,
                                 const char *data_centre);
/* The home node among the nodes that are ready; when none is ready, the same
   as ch_members_find_home. */
const char *ch_members_find_ready_home(const struct ch_members *members,
                                       uint64_t key, const char *region,
                                       const char *data_centre);

enum {
    /*
     * Each node sends one probe per half second, that is two messages a
     * second.  With probes in random order, each node is probed twice a second
     * on average, whatever the number of nodes.
     */
    CH_MEMBER_PROBE_PERIOD_US = 500 * 1000,
};

#endif
