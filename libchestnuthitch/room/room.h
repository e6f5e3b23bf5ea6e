#ifndef CH_ROOM_H
#define CH_ROOM_H

/*
 * Who is admitted while the callers of all nodes together ask more of a
 * model's engines than these can do: the more urgent requests first, among
 * equally urgent ones the teams in fair shares. Decides nothing while there is
 * room.
 *
 * demand.c, level.c, admit.c, returns.c: no sockets, no clock, no threads;
 * times are microseconds. manager.c, messages.c: one node's part, with
 * threads.
 */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

#include <json-glib/json-glib.h>

/* What the decision needs to know of a request. */
struct ch_room_request {
    uint64_t id; /* differs for each request and attempt */
    GQuark service;
    GQuark model;      /* 0: a plain service's */
    uint32_t rank;     /* 0 is the most urgent */
    uint64_t team;     /* hash of the name; 0: none */
    int64_t work;      /* engine time that the request takes */
    int64_t remaining; /* time that its caller still waits; 0: not known */
};

/* ---- the demand at one node (demand.c) ---- */

/* Demand of one rank and team, in seconds of engine time per second. */
struct ch_room_demand {
    uint32_t rank;
    uint64_t team;
    double work;
};

struct ch_room_window; /* requests of one model over the last second or so */

struct ch_room_window *ch_room_window_new(void);
void ch_room_window_free(struct ch_room_window *window);
void ch_room_window_add(struct ch_room_window *window,
                        const struct ch_room_request *request, int64_t now);
/* Appends struct ch_room_demand for each rank and team with some demand. */
void ch_room_window_get(const struct ch_room_window *window, int64_t now,
                        GArray *out);

/* ---- the level of admission of one model (level.c) ---- */

/* The part of the demand of one rank and team that is admitted, 0 to 1. */
struct ch_room_share {
    uint32_t rank;
    uint64_t team;
    double admitted;
};

/*
 * Appends struct ch_room_share for each demand. room: seconds of engine time
 * per second. The more urgent ranks go first; within a rank the teams get
 * equal shares, and what a team does not ask for goes to the others; a team
 * alone may use all.
 */
void ch_room_divide(const GArray *demands, double room, GArray *out);

/* Whether a model lacks room, with hysteresis. */
struct ch_room_state {
    bool short_of_room;
    int64_t changed_at;
};
bool ch_room_state_update(struct ch_room_state *state, double demand,
                          double room, int64_t now);

/* ---- one request (admit.c) ---- */

/* Whether the request is among the admitted part of its rank and team. The
 * same request gets the same result everywhere. */
bool ch_room_is_admitted(const GArray *shares,
                         const struct ch_room_request *request);

/* ---- when refused callers may return (returns.c) ---- */

struct ch_room_returns; /* returns that were promised for one model */

struct ch_room_returns *ch_room_returns_new(void);
void ch_room_returns_free(struct ch_room_returns *returns);
/*
 * When the caller of a refused request may return, from now. Returns are
 * spread over the room that is likely to become free: more urgent requests
 * return first, and within a rank those that were refused first. spare:
 * seconds of engine time per second that this node may promise.
 */
int64_t ch_room_returns_promise(struct ch_room_returns *returns,
                                const struct ch_room_request *request,
                                double spare, int64_t now);

/* ---- one node's part (manager.c, messages.c) ---- */

struct ch_room;

/* How the manager reaches other nodes. */
struct ch_room_peers {
    void *data;
    const char *self; /* name of this node */
    /* The node that counts the demand for a service, a new string; NULL:
     * none. */
    char *(*find_counter)(void *data, GQuark service);
    /* The number of listed nodes; 0: not known. */
    size_t (*count_listed)(void *data);
    /* The other nodes that this node hears, as new strings. */
    GPtrArray *(*list_live)(void *data);
    void (*send)(void *data, const char *to,
                 Chestnuthitch__Wire__Frame *frame);
};

/* client, pool and timers must outlive the manager. */
struct ch_room *ch_room_new(struct ch_client *client, struct ch_pool *pool,
                            struct ch_timers *timers,
                            const struct ch_room_peers *peers);
void ch_room_start(struct ch_room *room);
void ch_room_stop(struct ch_room *room);
/* To be called once all threads have ended; room may be NULL. */
void ch_room_free(struct ch_room *room);

/* The functions below accept NULL for room: then everything is admitted. */

/* Records a request, before it is routed for the first time. */
void ch_room_record(struct ch_room *room,
                    const struct ch_room_request *request);
/*
 * Decides about a request that no upstream can serve within its target now.
 * engine_room: seconds of engine time per second that the engines have for the
 * model, as this node sees it. False: the request is refused, and *retry_after
 * says when its caller may return.
 */
bool ch_room_admit(struct ch_room *room, const struct ch_room_request *request,
                   double engine_room, int64_t *retry_after);
/* Handle messages of other nodes. */
void ch_room_handle_report(struct ch_room *room,
                           const Chestnuthitch__Wire__Frame *frame);
void ch_room_handle_levels(struct ch_room *room,
                           const Chestnuthitch__Wire__Frame *frame);
/* Adds the models that lack room as the member "room" of an open object. */
void ch_room_write_status(struct ch_room *room, JsonBuilder *builder);

#endif
