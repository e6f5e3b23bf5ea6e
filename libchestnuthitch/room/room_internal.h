#ifndef CH_ROOM_INTERNAL_H
#define CH_ROOM_INTERNAL_H

/* Shared by manager.c (what is known of models) and messages.c (what nodes
 * tell each other). */

#include "room/room.h"

#include <pthread.h>

enum {
    /* Times between two reports, and between two messages with levels. */
    ROOM_PERIOD_US = 200 * 1000,
    /* A model is reported for this long after a request found no upstream in
     * time. */
    ROOM_REPORTED_US = 1000 * 1000,
    /* A level is valid for this long after it was received. */
    ROOM_LEVEL_EXPIRY_US = 1000 * 1000,
};

struct room_key {
    GQuark service;
    GQuark model;
};

/* The last level that a counting node sent for a model. */
struct room_level {
    GQuark from; /* 0: none */
    int64_t received_at;
    int64_t age; /* of the oldest figure in it, when it was sent */
    double room;
    unsigned members;
    GArray *shares; /* struct ch_room_share */
};

/* A model that this node's callers ask for. */
struct room_model {
    struct room_key key;
    struct ch_room_window *window;
    struct ch_room_returns *returns;
    struct ch_room_rarity rarity;
    int64_t last_used_at;
    int64_t last_short_at; /* 0: never */
    double engine_room;    /* as last seen here */
    struct room_level level;
};

/* A model whose demand this node counts. */
struct room_count {
    struct room_key key;
    struct ch_room_count count;
};

struct ch_room {
    struct ch_client *client;
    struct ch_timers *timers;
    struct ch_room_peers peers;
    bool is_on; /* for all services */
    pthread_mutex_t lock;
    GHashTable *services; /* set of GQuark: those that are on */
    GHashTable *models;   /* struct room_key to struct room_model */
    GHashTable *counts;   /* struct room_key to struct room_count */
    GHashTable *counters; /* GQuark of a service to that of the node to which
                             this one reported last */
    bool stopped;
};

/* ---- manager.c; lock held ---- */

/* The level of a model that is valid now, or NULL. */
const struct room_level *room_get_level(const struct room_model *model,
                                        int64_t now);
/* The count of a model, added if there is none; NULL if there are too many. */
struct room_count *room_find_or_add_count(struct ch_room *room, GQuark service,
                                          GQuark model);

/* ---- messages.c; lock not held ---- */

/* Reports the models that were short of late to the nodes that count them. */
void room_send_reports(struct ch_room *room);
/* Sends the levels of the models that this node counts to their members. */
void room_send_levels(struct ch_room *room);

#endif
