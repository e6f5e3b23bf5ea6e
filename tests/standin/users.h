#ifndef STANDIN_USERS_H
#define STANDIN_USERS_H

/*
 * The users' platform in one process: its metadata store (users_store.c) and
 * its workers (users_worker.c), each with a port of its own. A worker writes
 * its entry directly into the store.
 */

#include "standin.h"

struct users_item {
    GString *value;
    uint64_t revision;
    uint64_t lease; /* 0: none */
};

struct users {
    struct standin *standin;
    GTree *items; /* key to struct users_item */
    uint64_t revision;
    GArray *events;     /* struct users_event, oldest first */
    GHashTable *leases; /* ID to struct users_lease */
    uint64_t last_lease;
    uint64_t era;
    struct users_copy *copy; /* NULL: none was saved */
    GPtrArray *watches;      /* struct exchange */
    GPtrArray *workers;      /* struct worker */
    GHashTable *aliases;     /* in values served to nodes: text to its
                                replacement */
};

/* Writes a value, or removes the key if value is NULL. */
void users_put(struct users *users, const char *key, const char *value,
               size_t length, uint64_t lease);
/* Handles a call to the store. */
void users_handle_store(struct exchange *exchange);
/* Handles a call to a worker; false: it came to the store's port. */
bool users_handle_worker(struct exchange *exchange);
/*
 * Handles control calls: "worker" with name=, action= and, where it starts,
 * service=, zone=, version=, models=A,B:
 *   start    listens at its own port with these models in memory, and writes
 *            its entry; under a name that it had before, with none
 *   crash    ends at once, without a word; its entry lapses later
 *   drain    reports that it leaves, and serves on
 *   remove   removes its entry, and serves on
 *   write    writes its entry again
 *   leave    says in its responses alone that it leaves, and serves on
 *   wait     rejects all calls and asks to wait for ms= (0: no more)
 * False: another path.
 */
bool users_control_worker(struct exchange *exchange);
/* Writes the members "runs", what the workers ran, "part_arrivals", requests
 * with a part that crashes workers and the crashes, "noticed_calls", calls to
 * workers that leave or ask to wait, and "workers", their use and their falls.
 */
void users_record_workers(struct users *users, JsonBuilder *out);
/* Creates the workers' state. */
void users_init_workers(struct users *users);

#endif
