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
    uint64_t id;      /* differs for each request and attempt */
    const char *name; /* the id that its caller knows, for the log; or NULL */
    GQuark service;
    GQuark model;      /* 0: a plain service's */
    uint32_t rank;     /* 0 is the most urgent */
    uint64_t team;     /* hash of the name; 0: none */
    int64_t work;      /* engine time that the request takes */
    int64_t remaining; /* time that its caller still waits; 0: not known */
};

enum {
    CH_ROOM_MAX_MODELS = 32, /* in one report */
    CH_ROOM_MAX_PAIRS = 64,  /* of rank and team, of one model */
};

/* ---- the demand at one node (demand.c) ---- */

/* Demand of one rank and team, in seconds of engine time per second. */
struct ch_room_demand {
    uint32_t rank;
    uint64_t team;
    double work;
};

/* What one rank and team asked for at this node, in seconds of engine time per
 * second. */
struct ch_room_use {
    double work;
    double short_work; /* the part for which no upstream was free in time */
};

struct ch_room_window; /* requests of one model over the last second or so */

struct ch_room_window *ch_room_window_new(void);
void ch_room_window_free(struct ch_room_window *window);
void ch_room_window_add(struct ch_room_window *window,
                        const struct ch_room_request *request, int64_t now);
/* Records that no upstream can serve the request in time; it was added before.
 */
void ch_room_window_add_short(struct ch_room_window *window,
                              const struct ch_room_request *request,
                              int64_t now);
/* Appends struct ch_room_demand for each rank and team with some demand. */
void ch_room_window_get(const struct ch_room_window *window, int64_t now,
                        GArray *out);
struct ch_room_use ch_room_window_get_use(const struct ch_room_window *window,
                                          uint32_t rank, uint64_t team,
                                          int64_t now);

/* ---- the level of admission of one model (level.c) ---- */

/* The part of the demand of one rank and team that is admitted, 0 to 1. */
struct ch_room_share {
    uint32_t rank;
    uint64_t team;
    double admitted;
};

/*
 * Appends struct ch_room_share for each demand, of which there is one for each
 * rank and team. room: seconds of engine time per second. The more urgent
 * ranks go first; within a rank the teams get equal shares, and what a team
 * does not ask for goes to the others; a team alone may use all.
 */
void ch_room_divide(const GArray *demands, double room, GArray *out);

/* Whether a model lacks room, with hysteresis. */
struct ch_room_state {
    bool short_of_room;
    int64_t changed_at;
};
/* Returns whether the state has changed. */
bool ch_room_state_update(struct ch_room_state *state, double demand,
                          double room, int64_t now);

/* The demand of all nodes for one model, at the node that counts it. */
struct ch_room_count {
    GArray *members; /* struct room_member: nodes that reported lately */
    int64_t since;   /* when the first of them reported */
    struct ch_room_state state;
    double demand; /* as of the last update, like the members below */
    double room;
    GArray *shares; /* struct ch_room_share; empty: everything is admitted */
    int64_t oldest_report; /* age of the oldest report that was counted */
};

void ch_room_count_init(struct ch_room_count *count);
void ch_room_count_clear(struct ch_room_count *count);
/* Takes over the report of a node. demands: struct ch_room_demand. */
void ch_room_count_hear(struct ch_room_count *count, GQuark node,
                        const GArray *demands, double room, int64_t now);
/* The name of a member; index: below members->len. */
GQuark ch_room_count_get_member(const struct ch_room_count *count,
                                guint index);
/*
 * Drops reports that have expired, and divides the room anew. part: the part
 * of the room that this node divides, 0 to 1; less than 1 where other nodes
 * may count as well. Returns whether the state has changed.
 */
bool ch_room_count_update(struct ch_room_count *count, double part,
                          int64_t now);

/* ---- one request (admit.c) ---- */

/* The admitted part of the demand of a rank and team, also of those that are
 * not among the shares. */
double ch_room_find_admitted(const GArray *shares, uint32_t rank,
                             uint64_t team);
/* Whether a request that no upstream can serve in time is admitted, of a rank
 * and team of which `admitted` is. The same request gets the same result
 * everywhere. */
bool ch_room_is_admitted(double admitted, const struct ch_room_use *use,
                         const struct ch_room_request *request);

/* The requests and refusals of one model at this node, to tell whether it is
 * asked for rarely. */
struct ch_room_rarity {
    int64_t times[4]; /* of the last requests */
    unsigned next;    /* index of the oldest one */
    unsigned refusals;
};

void ch_room_rarity_record(struct ch_room_rarity *rarity, int64_t now);
/* Counts a refusal; true if the request is admitted nevertheless, because the
 * model is asked for rarely. Call this after ch_room_rarity_record(). */
bool ch_room_rarity_spare(struct ch_room_rarity *rarity, int64_t now);

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

/* client and timers must outlive the manager. is_on_for_all: for all services;
 * else for those of ch_room_enable_service(). */
struct ch_room *ch_room_new(struct ch_client *client, struct ch_timers *timers,
                            const struct ch_room_peers *peers,
                            bool is_on_for_all);
void ch_room_start(struct ch_room *room);
void ch_room_stop(struct ch_room *room);
/* To be called once all threads have ended. */
void ch_room_free(struct ch_room *room);

/* All functions accept NULL for room: then everything is admitted. */

/* Switches the decisions on for the models of a service, for 10 s. */
void ch_room_enable_service(struct ch_room *room, GQuark service);
/* Whether the decisions are on for the models of a service; false for NULL. */
bool ch_room_is_on(struct ch_room *room, GQuark service);
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
