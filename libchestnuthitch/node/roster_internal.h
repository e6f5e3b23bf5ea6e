#ifndef CH_NODE_ROSTER_INTERNAL_H
#define CH_NODE_ROSTER_INTERNAL_H

/*
 * Shared by roster.c (calls to the key-value store, the tick, lifetime),
 * roster_entries.c (parsing and applying entries), roster_publish.c (messages
 * between nodes) and roster_own.c (this node's own entry). One lock guards all
 * of it.
 */

#include "decide/absence.h"
#include "decide/fleet.h"
#include "eras/eras.h"
#include "freshness/freshness.h"
#include "node/dialect.h"
#include "node/roster.h"

#include <pthread.h>

#define NODES_PREFIX "nodes/"

/* The entry of one upstream or node. */
struct roster_entry {
    struct ch_host host;
    uint64_t revision;
    char *value; /* as stored in the key-value store */
    size_t length;
    int64_t remove_at; /* when to remove the entry; 0: its key exists */
    uint64_t deleted_revision; /* revision in which its key was deleted */
};

/* The latest removal of a key. */
struct roster_removal {
    uint64_t revision;
    struct ch_entry_stamp stamp; /* of the entry that was removed */
};

/* A changed entry, or a removal, that other nodes have not received yet. */
struct unpublished_change {
    char *key;
    uint64_t removal_revision; /* revision of the removal; 0: an entry that
                                  exists */
    bool for_all_nodes;        /* false: only lease holders need it */
};

/* The entries below one key prefix. */
struct roster_list {
    struct ch_roster *roster;
    char *prefix;
    GHashTable *entries;         /* key to struct entry */
    GHashTable *removals;        /* key to struct roster_removal */
    GArray *unpublished;         /* of struct unpublished_change */
    uint64_t change_count;       /* number of changes recorded so far */
    uint64_t published_revision; /* revision up to which all nodes have the
                                    changes */
    uint64_t holders_revision;   /* the same for lease holders */
    bool was_watcher;            /* this node was a watcher at the last tick */
    bool confirmation_unpublished; /* a call has confirmed the list */
    size_t rank;                   /* of this node among possible watchers */
    bool pull_in_flight;
    uint64_t revision; /* revision up to which changes are known; 0: unknown */
    bool known;
    struct ch_freshness freshness;
    bool call_in_flight;
    int64_t call_sent_at;
    int64_t watch_wait; /* of the watch in flight */
    int64_t backoff;
    int64_t next_call_at;
    struct ch_token_bucket
        watch_bucket;        /* limits watches that return changes */
    int64_t last_failure_at; /* when the store last failed; 0: never */
    struct ch_store_contact contact;
    uint64_t era;          /* of the latest full read */
    int64_t removal_grace; /* time that an entry stays in use after its key is
                              gone */
};

struct ch_roster {
    struct ch_node *node;
    void (*changed)(void *data);
    void *data;
    void (*list_lease_holders)(void *data,
                               GPtrArray *names); /* NULL: there are none */
    void *lease_holders_data;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    bool unregistering;
    uint64_t timer;
    struct roster_list upstreams;
    struct roster_list nodes;
    GHashTable *unreadable_keys; /* keys logged as unreadable */
    /* This node's own entry. */
    bool own_call_in_flight;
    uint64_t kv_lease_id;
    bool own_entry_listed;
    uint64_t conflicting_revision; /* of an earlier process's entry; 0: none */
    int64_t lease_renewed_at;
    int64_t started_at;
    int64_t
        first_listed_at; /* when the own entry was first written; 0: not yet */
    int64_t next_list_request_at; /* when other nodes may next be asked for
                                     unknown lists */
    bool restarted;      /* an earlier process of this host left its entry */
    int64_t own_backoff; /* 0: the last call for the own entry was answered */
    int64_t next_own_call_at;
};

/* ---- roster.c; lock not held ---- */

/* Takes a reference, for a call or timer in progress. */
struct ch_roster *roster_ref(struct ch_roster *roster);
/* Drops a reference; the last one frees the roster. */
void roster_unref(struct ch_roster *roster);
/* Notifies the users of a list of a change. */
void roster_notify_users(struct roster_list *list);

/* ---- roster_entries.c; lock held ---- */

/* Times are in microseconds: how long entries stay in use after an outage, and
 * within which each node must know a change. */
void roster_list_init(struct roster_list *list, struct ch_roster *roster,
                      const char *prefix, int64_t grace, int64_t age_bound);
void roster_list_clear(struct roster_list *list);
/* Adds or replaces an entry, unless a later revision of its key is known.
 * by_store: the store itself lists it now, so that it is not missing. */
void roster_list_put(struct roster_list *list, const struct ch_kv_entry *from,
                     bool by_store);
/* Applies another node's message that an entry was removed for good. */
void roster_list_apply_removal(struct roster_list *list, const char *key,
                               uint64_t revision);
/* Removes the entries that another node's whole list of a revision does not
 * have. keys: those that it has. */
void roster_list_remove_absent(struct roster_list *list, GHashTable *keys,
                               uint64_t revision);
/* Replaces the list by the result of a range call. */
void roster_list_apply_range(struct roster_list *list,
                             const struct ch_kv_range *range, int64_t now);
/* Applies the changes that a watch returned, in order. */
void roster_list_apply_changes(struct roster_list *list,
                               const struct ch_kv_range *range, int64_t now);
/* Removes the entries whose grace has ended; true when there were any. */
bool roster_list_remove_expired(struct roster_list *list, int64_t now);
/* Whether an unpublished change is for all nodes. */
bool roster_list_has_change_for_all(const struct roster_list *list);

/* ---- roster_publish.c; lock not held ---- */

/* Sets the handlers of messages from other nodes. */
void roster_publish_init(struct ch_roster *roster);
/* Requests the whole list from another node, preferably a watcher. */
void roster_list_request(struct roster_list *list, const char *from);
/* On a watcher, sends the unpublished changes and confirmations to other
 * nodes. */
void roster_publish(struct roster_list *list, bool watcher);

/* ---- roster_own.c; lock not held ---- */

/* Starts the next call for this node's entry, if one is due. */
void roster_update_own_entry(struct ch_roster *roster, int64_t now);

#endif
