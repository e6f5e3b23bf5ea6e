#ifndef CH_PACE_H
#define CH_PACE_H

/*
 * The load that upstreams state in their responses: the requests that run and
 * wait there, and how long work takes at this moment, which changes where an
 * upstream shares its host with others.
 *
 * reading.c, state.c: no sockets, no clock, no threads; times are microseconds
 * of one node's clock. manager.c, messages.c: one node's part, with threads.
 */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

#include <json-glib/json-glib.h>

/* ---- what a response says (reading.c) ---- */

enum ch_pace_reading_kind {
    CH_PACE_ABSENT,
    CH_PACE_STATED,
    CH_PACE_UNREADABLE, /* says nothing */
};

struct ch_pace_reading {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t percent; /* how long work takes; 100: as usual, 0: not stated */
};

/* Reads the value of the header that states the load: running, waiting, slots
 * and, where it is stated, percent, separated by commas. NULL: the response
 * has no such header. Numbers out of range, signs, further fields and repeated
 * headers make it unreadable. */
enum ch_pace_reading_kind ch_pace_read(const char *text,
                                       struct ch_pace_reading *reading);

/* ---- what a node knows of one upstream (state.c) ---- */

enum {
    CH_PACE_SAMPLES = 16,
};

struct ch_pace_sample {
    int64_t at;
    double pace;
};

struct ch_pace_state {
    struct ch_pace_reading last;
    int64_t last_at; /* when the upstream stated it; 0: nothing is known */
    /* Earlier readings of the pace, at least 100 ms apart. */
    struct ch_pace_sample samples[CH_PACE_SAMPLES];
    unsigned sample_count;
    unsigned next_sample;
};

/* Takes over a reading that the upstream stated at `at`; false if a later one
 * is known. One without a percentage leaves a pace that is known, and last_at,
 * as they are. */
bool ch_pace_state_observe(struct ch_pace_state *state,
                           const struct ch_pace_reading *reading, int64_t at);
/* Whether the upstream has stated its pace lately. */
bool ch_pace_state_is_known(const struct ch_pace_state *state, int64_t now);
/* How long work usually takes; 1: as at a usual upstream. 1 while nothing is
 * known. */
double ch_pace_state_get_usual(const struct ch_pace_state *state);
/* How long work is expected to take now: the last reading, which counts less
 * the older it is, and what is usual. */
double ch_pace_state_expect(const struct ch_pace_state *state, int64_t now);
/* The probability that the pace is above a threshold now, 0 to 1. */
double ch_pace_state_get_chance(const struct ch_pace_state *state,
                                double threshold, int64_t now);

/* Is told what a response states of the load of its upstream. handle runs on
 * the HTTP loop's thread, also for calls that outlive the client of the
 * upstream. */
struct ch_pace_listener {
    void (*handle)(const struct ch_pace_listener *listener, const char *text);
    void *data;
    GQuark upstream;
};

/* ---- one node's part (manager.c, messages.c) ---- */

struct ch_pace;

/* How the manager reaches other nodes. */
struct ch_pace_peers {
    void *data;
    const char *self;        /* name of this node */
    const char *data_centre; /* of this node */
    const char *region;      /* of this node */
    /* The node that forwards the readings of a data centre's nodes, a new
     * string; NULL: none. */
    char *(*find_aggregator)(void *data, const char *data_centre);
    /* The other nodes of this node's data centre that it hears, as new
     * strings. */
    GPtrArray *(*list_neighbours)(void *data);
    /* The aggregators of the other data centres of this region (near) or of
     * other regions, as new strings. */
    GPtrArray *(*list_aggregators)(void *data, bool near);
    void (*send)(void *data, const char *to,
                 Chestnuthitch__Wire__Frame *frame);
};

/* client, pool and timers must outlive the manager. */
struct ch_pace *ch_pace_new(struct ch_client *client, struct ch_pool *pool,
                            struct ch_timers *timers,
                            const struct ch_pace_peers *peers);
void ch_pace_start(struct ch_pace *pace);
void ch_pace_stop(struct ch_pace *pace);
/* To be called once all threads have ended; pace may be NULL. */
void ch_pace_free(struct ch_pace *pace);

/* The functions below accept NULL for pace: then nothing is known. */

/* Records the listed process of an upstream; another one has stated nothing
 * yet. What is stated of upstreams that are not listed is left out. */
void ch_pace_update_upstream(struct ch_pace *pace, GQuark upstream,
                             uint64_t boot_id);
void ch_pace_forget(struct ch_pace *pace, GQuark upstream);
/* The listener for a client of an upstream; the manager outlives all calls. */
struct ch_pace_listener ch_pace_get_listener(struct ch_pace *pace,
                                             GQuark upstream);
/* handle is called on a pool worker, without locks and one call at a time,
 * with a copy of the state when readings of an upstream that states its pace
 * were taken over, and with an empty state after such an upstream started
 * again. Set it before ch_pace_start(). */
void ch_pace_set_handler(struct ch_pace *pace,
                         void (*handle)(void *data, GQuark upstream,
                                        const struct ch_pace_state *state),
                         void *data);
/* How long work usually takes at the upstream; 1 if it states nothing. */
double ch_pace_get_usual(struct ch_pace *pace, GQuark upstream);
/* Takes over the readings that another node tells. Left out are those that are
 * out of range or older than 10 s, and what exceeds 64 upstreams. */
void ch_pace_handle_readings(struct ch_pace *pace,
                             const Chestnuthitch__Wire__Frame *frame);
/* Adds the upstreams that state their load as the member "pace" of an open
 * object. */
void ch_pace_write_status(struct ch_pace *pace, JsonBuilder *builder);

#endif
