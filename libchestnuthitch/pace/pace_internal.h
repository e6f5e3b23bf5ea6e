#ifndef CH_PACE_INTERNAL_H
#define CH_PACE_INTERNAL_H

/* Shared by the files of pace/: bounds of readings (reading.c), what is known
 * of upstreams (manager.c), and what nodes tell each other (messages.c). */

#include "pace/pace.h"

#include <pthread.h>

enum {
    /* Bounds of what is taken from a response or another node. No upstream has
     * so many slots or works at a thousandth of the usual speed. */
    PACE_MAX_COUNT = 1000 * 1000,
    PACE_MAX_PERCENT = 100 * 1000,
    PACE_KNOWN_US = 10 * 1000 * 1000,
    PACE_MAX_MESSAGE_UPSTREAMS = 64,
    /* Messages to one node are this far apart, or more. */
    PACE_TICK_US = 100 * 1000,
};

/* From where the last reading of an upstream came, which decides to whom this
 * node tells it. */
enum pace_origin {
    PACE_ORIGIN_RESPONSE,     /* read by this node */
    PACE_ORIGIN_NODE,         /* read by a node of this data centre */
    PACE_ORIGIN_OTHER_CENTRE, /* passed on from another data centre */
    PACE_ORIGIN_AGGREGATOR,   /* passed on in this data centre */
};

/* To whom this node tells readings. */
enum pace_audience {
    PACE_TO_AGGREGATOR, /* of this data centre */
    /* Only while this node is the aggregator: */
    PACE_TO_NEIGHBOURS,
    PACE_TO_NEAR, /* aggregators of other data centres of this region */
    PACE_TO_FAR,  /* aggregators of other regions */
    PACE_AUDIENCES
};

/* What an audience was told last of an upstream. */
struct pace_told {
    struct ch_pace_reading reading;
    int64_t stated_at; /* by the upstream; 0: nothing was told */
    int64_t sent_at;
};

struct pace_upstream {
    uint64_t hash; /* of its name; key of by_hash */
    GQuark name;
    uint64_t boot_id;
    int64_t cleared_at; /* when another process was listed; 0: never */
    struct ch_pace_state state;
    enum pace_origin origin; /* of state.last */
    struct pace_told told[PACE_AUDIENCES];
    bool is_report_due;  /* is in the queue of reports */
    bool is_stating;     /* "pace-stated" was logged of this process */
    double logged_usual; /* 0: none */
    int64_t logged_at;
};

struct ch_pace {
    struct ch_client *client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_pace_peers peers;
    pthread_mutex_t lock;
    GHashTable *upstreams; /* GQuark to struct pace_upstream, owned */
    GHashTable *by_hash;   /* hash of the name to the same */
    bool stopped;
    bool is_tick_scheduled;
    int64_t last_tick_at;
    int64_t last_far_at;   /* when aggregators of other regions were told */
    GPtrArray *neighbours; /* names, as of the last message to them */
    /* Reports to the handler, in one job at a time, so that an older state
     * does not come after a newer one. */
    GQueue report_queue; /* GQuark */
    bool is_reporting;
    void (*handle)(void *data, GQuark upstream,
                   const struct ch_pace_state *state); /* may be NULL */
    void *handler_data;
};

/* ---- reading.c ---- */

/* Whether the numbers of a reading are within their bounds. */
bool pace_reading_is_valid(const struct ch_pace_reading *reading);

/* ---- manager.c ---- */

void pace_count(const struct ch_pace *pace, enum ch_counter counter,
                uint64_t by);
/* Takes over a reading, if it is later than the one that is known. source:
 * "response", or the node that told it. Lock held. */
void pace_take_over(struct ch_pace *pace, struct pace_upstream *upstream,
                    const struct ch_pace_reading *reading, int64_t at,
                    enum pace_origin origin, const char *source);

/* ---- messages.c ---- */

/* Has this node tell others what is known, soon; lock held. */
void pace_schedule_tick(struct ch_pace *pace);

#endif
