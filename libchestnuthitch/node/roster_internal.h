#ifndef CH_NODE_ROSTER_INTERNAL_H
#define CH_NODE_ROSTER_INTERNAL_H

/*
 * What roster.c (calls, the tick, life), roster_entries.c (what entries say),
 * roster_tell.c (from node to node) and roster_own.c (this node's own entry)
 * share.  One lock guards all of it.
 */

#include "decide/fleet.h"
#include "node/dialect.h"
#include "node/roster.h"

#include <pthread.h>

#define NODES_PREFIX "nodes/"

/* One entry. */
struct entry {
    struct ch_host host;
    uint64_t revision;
    char *value; /* as it lies in the service */
    size_t length;
    int64_t gone_at; /* it is removed then; 0: it is there */
    uint64_t gone;   /* revision of its removal */
};

/* A removal, to be told; or an entry that is to be told. */
struct news {
    char *key;
    uint64_t removed; /* revision; 0: the entry that is there */
    bool for_all;     /* else it is of use to those that order engines */
};

/* What lies below one prefix. */
struct feed {
    struct ch_roster *roster;
    char *prefix;
    GHashTable *entries;  /* key to struct entry */
    GHashTable *removed;  /* key to revision of its latest removal */
    GArray *news;         /* struct news: not told yet */
    uint64_t changes;     /* so many were noted */
    uint64_t told_at;     /* revision up to which all were told */
    uint64_t orderers_at; /* ... those that order engines */
    int64_t tell_at;      /* next time to tell all */
    bool watched;         /* by this node, at the last tick */
    int64_t heard;        /* when a node that watches last told something */
    bool pulling;
    uint64_t at; /* revision up to which it is known; 0: nothing is */
    bool known;
    bool calling;
    int64_t pause;
    int64_t not_before;
    struct ch_token_bucket watches; /* that bring something */
    int64_t troubled; /* the service last failed; 0: it did not */
    int64_t grace;    /* of entries that vanish after a failure */
};

struct ch_roster {
    struct ch_node *node;
    void (*changed)(void *data);
    void *data;
    void (*orderers)(void *data, GPtrArray *names); /* NULL: none */
    void *orderers_data;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    bool leaving;
    uint64_t timer;
    struct feed upstreams;
    struct feed nodes;
    GHashTable *strangers; /* keys that were complained of */
    /* This node's own entry. */
    bool writing;
    uint64_t lease;
    bool listed;
    uint64_t own_revision; /* of the entry that is in the way; 0: none */
    int64_t renewed;
    int64_t started;
    int64_t listed_at; /* when the entry was first written; 0: it was not */
    int64_t ask_at;    /* others are asked no sooner for what is not known */
    bool returns;      /* an earlier process of this host left its entry */
    int64_t own_pause; /* after the last call for it; 0: it was answered */
    int64_t own_not_before;
};

/* ---- roster.c; lock not held ---- */

/* One more owner: a call or timer under way. */
struct ch_roster *roster_ref(struct ch_roster *roster);
/* One owner less; the last frees it. */
void roster_unref(struct ch_roster *roster);
/* Tells who uses the list of a feed that it has changed. */
void roster_tell_users(struct feed *feed);

/* ---- roster_entries.c; lock held ---- */

void feed_init(struct feed *feed, struct ch_roster *roster, const char *prefix,
               int64_t grace);
void feed_clear(struct feed *feed);
/* Puts an entry in place of what the key had, unless that is later. */
void feed_put(struct feed *feed, const struct ch_kv_entry *from);
/* Another node's word that an entry is gone for good. */
void feed_take_removal(struct feed *feed, const char *key, uint64_t revision);
/* Compares all that is there now with what was known. */
void feed_take_all(struct feed *feed, const struct ch_kv_range *range,
                   int64_t now);
/* Takes what a watch told, in order. */
void feed_take_changes(struct feed *feed, const struct ch_kv_range *range,
                       int64_t now);
/* Drops what has been gone for long enough; true when there was any. */
bool feed_drop_gone(struct feed *feed, int64_t now);
/* Whether something that is new is for all nodes. */
bool feed_has_news_for_all(const struct feed *feed);

/* ---- roster_tell.c; lock not held ---- */

/* Takes what other nodes tell, from now on. */
void roster_tell_init(struct ch_roster *roster);
/* Asks a node that watches, or another one, for all that is there. */
void feed_pull(struct feed *feed, const char *from);
/* Tells others what is due, on a node that watches. */
void roster_tell(struct feed *feed, bool watcher, int64_t now);

/* ---- roster_own.c; lock not held ---- */

/* Does the next step for this node's entry, if one is due. */
void roster_keep_own(struct ch_roster *roster, int64_t now);

#endif
