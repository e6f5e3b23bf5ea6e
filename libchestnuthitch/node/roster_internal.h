#ifndef CH_NODE_ROSTER_INTERNAL_H
#define CH_NODE_ROSTER_INTERNAL_H

/*
 * Shared by roster.c (calls to the key-value store, the tick, lifetime),
 * roster_entries.c (parsing and applying entries), roster_publish.c (messages
 * between nodes) and roster_own.c (this node's own entry). One lock guards all
 * of it.
 */

#include "decide/fleet.h"
#include "node/dialect.h"
#include "node/roster.h"

#include <pthread.h>

#define NODES_PREFIX "nodes/"

/* The entry of one upstream or node. */
struct entry {
    struct ch_host host;
    uint64_t revision;
    char *value; /* as stored in the key-value store */
    size_t length;
    int64_t gone_at; /* when to remove the entry; 0: its key exists */
    uint64_t gone;   /* revision in which its key was deleted */
};

/* A changed entry, or a removal, that other nodes have not received yet. */
struct news {
    char *key;
    uint64_t removed; /* revision of the removal; 0: an entry that exists */
    bool for_all;     /* false: only lease holders need it */
};

/* The entries below one key prefix. */
struct feed {
    struct ch_roster *roster;
    char *prefix;
    GHashTable *entries;  /* key to struct entry */
    GHashTable *removed;  /* key to the revision of its latest removal */
    GArray *news;         /* of struct unpublished_change */
    uint64_t changes;     /* number of changes recorded so far */
    uint64_t told_at;     /* revision up to which all nodes have the changes */
    uint64_t orderers_at; /* the same for lease holders */
    int64_t tell_at;      /* next time to publish to all nodes */
    bool watched;         /* this node was a watcher at the last tick */
    int64_t heard;        /* last message received, or successful read */
    bool pulling;
    uint64_t at; /* revision up to which changes are known; 0: unknown */
    bool known;
    bool calling;
    int64_t pause;
    int64_t not_before;
    struct ch_token_bucket watches; /* limits watches that return changes */
    int64_t troubled;               /* when the store last failed; 0: never */
    int64_t grace; /* time that an entry stays in use after its key is gone */
};

struct ch_roster {
    struct ch_node *node;
    void (*changed)(void *data);
    void *data;
    void (*orderers)(void *data, GPtrArray *names); /* NULL: there are none */
    void *orderers_data;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    bool leaving;
    uint64_t timer;
    struct feed upstreams;
    struct feed nodes;
    GHashTable *strangers; /* keys logged as unreadable */
    /* This node's own entry. */
    bool writing;
    uint64_t lease;
    bool listed;
    uint64_t own_revision; /* of an earlier process's entry; 0: none */
    int64_t renewed;
    int64_t started;
    int64_t listed_at; /* when the own entry was first written; 0: not yet */
    int64_t ask_at; /* when other nodes may next be asked for unknown lists */
    bool returns;   /* an earlier process of this host left its entry */
    int64_t own_pause; /* 0: the last call for the own entry was answered */
    int64_t own_not_before;
};

/* ---- roster.c; lock not held ---- */

/* Takes a reference, for a call or timer in progress. */
struct ch_roster *roster_ref(struct ch_roster *roster);
/* Drops a reference; the last one frees the roster. */
void roster_unref(struct ch_roster *roster);
/* Notifies the users of a list of a change. */
void roster_tell_users(struct feed *list);

/* ---- roster_entries.c; lock held ---- */

void feed_init(struct feed *list, struct ch_roster *roster, const char *prefix,
               int64_t grace);
void feed_clear(struct feed *list);
/* Adds or replaces an entry, unless a later revision of its key is known. */
void feed_put(struct feed *list, const struct ch_kv_entry *from);
/* Applies another node's message that an entry was removed for good. */
void feed_take_removal(struct feed *list, const char *key, uint64_t revision);
/* Replaces the list by the result of a range call. */
void feed_take_all(struct feed *list, const struct ch_kv_range *range,
                   int64_t now);
/* Applies the changes that a watch returned, in order. */
void feed_take_changes(struct feed *list, const struct ch_kv_range *range,
                       int64_t now);
/* Removes the entries whose grace has ended; true when there were any. */
bool feed_drop_gone(struct feed *list, int64_t now);
/* Whether an unpublished change is for all nodes. */
bool feed_has_news_for_all(const struct feed *list);

/* ---- roster_publish.c; lock not held ---- */

/* Sets the handlers of messages from other nodes. */
void roster_tell_init(struct ch_roster *roster);
/* Requests the whole list from another node, preferably a watcher. */
void feed_pull(struct feed *list, const char *from);
/* On a watcher, sends the unpublished changes that are due to other nodes. */
void roster_tell(struct feed *list, bool watcher, int64_t now);

/* ---- roster_own.c; lock not held ---- */

/* Starts the next call for this node's entry, if one is due. */
void roster_keep_own(struct ch_roster *roster, int64_t now);

#endif
