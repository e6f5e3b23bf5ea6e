#ifndef CH_PATH_H
#define CH_PATH_H

/*
 * Which upstreams a node can connect to, and by which other node it calls
 * those that it cannot. A path belongs to a pair of node and upstream; a node
 * without any path to upstreams is cut off.
 *
 * Times are microseconds of one node's clock. No sockets, no clock, no
 * threads.
 */

#include "base/base.h"

/* ---- state of the paths (tracker.c) ---- */

/*
 * The end of an attempt to open a new connection. Calls on kept connections
 * say nothing: these may live on while new connections fail.
 */
enum ch_path_evidence {
    CH_PATH_CONNECTED,
    CH_PATH_TIMED_OUT,
    CH_PATH_REFUSED,
};

struct ch_path_sample {
    GQuark upstream;
    enum ch_path_evidence evidence;
    int64_t started_at;
    int64_t ended_at;
};

enum ch_path_state {
    CH_PATH_OPEN,
    CH_PATH_DOUBTFUL, /* the last connection failed; whether other nodes reach
                         the upstream is not known */
    CH_PATH_LOST,     /* other nodes reach the upstream */
    CH_PATH_DOWN,     /* other nodes do not reach it either */
};

enum ch_path_change {
    CH_PATH_UNCHANGED,
    CH_PATH_CUT_BEGAN,
    CH_PATH_CUT_ENDED,
};

struct ch_path_info {
    GQuark upstream;
    enum ch_path_state state;
    enum ch_path_evidence evidence; /* the latest */
    int64_t since;                  /* start of the first failed attempt */
};

struct ch_path_tracker;

struct ch_path_tracker *ch_path_tracker_new(void);
void ch_path_tracker_free(struct ch_path_tracker *tracker);
enum ch_path_change
ch_path_tracker_record(struct ch_path_tracker *tracker,
                       const struct ch_path_sample *sample);
/* Records whether another node reaches an upstream to which connections fail
 * here. */
enum ch_path_change
ch_path_tracker_record_view(struct ch_path_tracker *tracker, GQuark upstream,
                            bool reached, int64_t now);
/* Forgets an upstream that is no longer listed. */
void ch_path_tracker_forget(struct ch_path_tracker *tracker, GQuark upstream);
/* Whether another node is to be asked now if it reaches the upstream; true
 * once in a while only. */
bool ch_path_tracker_needs_view(struct ch_path_tracker *tracker,
                                GQuark upstream, int64_t now);
/* The upstream of which another node is to be asked again now, although no
 * connection has failed since; 0: none. */
GQuark ch_path_tracker_select_question(struct ch_path_tracker *tracker,
                                       int64_t now);
/* The upstream to which a connection is to be opened now, to learn whether the
 * path is back; 0: none. */
GQuark ch_path_tracker_select_probe(struct ch_path_tracker *tracker,
                                    int64_t now);
/* Whether a call is to go by another node. draw: any number, different for
 * each call. */
bool ch_path_tracker_needs_relay(const struct ch_path_tracker *tracker,
                                 GQuark upstream, uint64_t draw, int64_t now);
enum ch_path_state
ch_path_tracker_get_state(const struct ch_path_tracker *tracker,
                          GQuark upstream);
/* When the last new connection to the upstream was established; 0: never. */
int64_t ch_path_tracker_get_connected_at(const struct ch_path_tracker *tracker,
                                         GQuark upstream);
/* The same for any upstream. */
int64_t
ch_path_tracker_get_last_connected_at(const struct ch_path_tracker *tracker);
/* When the node was cut off from the upstreams; 0: it is not. */
int64_t ch_path_tracker_get_cut_since(const struct ch_path_tracker *tracker);
/* Calls each() for every upstream whose path is not open. */
void ch_path_tracker_foreach(const struct ch_path_tracker *tracker,
                             void (*each)(void *data,
                                          const struct ch_path_info *info),
                             void *data);

/* ---- choice of the node that relays a call (choose.c) ---- */

struct ch_path_relay_candidate {
    GQuark data_centre;
    GQuark region;
    uint32_t capacity;    /* of its host; 0: not known */
    unsigned outstanding; /* calls of this node that it relays */
};

struct ch_path_place {
    GQuark data_centre;
    GQuark region;
};

/* The index of the candidate that relays a call from one place to an upstream
 * in another; count: there is none. draw: a random number. */
size_t ch_path_choose_relay(const struct ch_path_relay_candidate *candidates,
                            size_t count, const struct ch_path_place *from,
                            const struct ch_path_place *to, uint64_t draw);

#endif
