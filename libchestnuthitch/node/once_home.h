#ifndef CH_NODE_ONCE_HOME_H
#define CH_NODE_ONCE_HOME_H

/* At-most-once records are spread over slots by key; this is the home node's
 * side, which writes the slots whose home node is this one. */

#include "node/node.h"

struct ch_once_home;

struct ch_once_home *ch_once_home_new(struct ch_node *node);
void ch_once_home_stop(struct ch_once_home *home);
void ch_once_home_unref(struct ch_once_home *home);

/* The slot of a caller's key among slot_count slots; the same on every
 * node. */
uint32_t ch_once_slot_for_key(const char *caller, const char *key,
                              uint32_t slot_count);
/* The live node that is the slot's home node, of all data centres; a new
 * string. */
char *ch_once_slot_find_home(struct ch_node *node, uint32_t slot);
/* The key prefix "once/SLOT/" and the batch key "once/SLOT/SEQUENCE"; new
 * strings. */
char *ch_once_slot_format_prefix(uint32_t slot);
char *ch_once_batch_format_key(uint32_t slot, uint64_t sequence);
/* The batches (struct ch_once_batch_entry) among the entries listed for a
 * slot, in order of sequence. Their bytes still belong to the entries; free
 * with g_array_free. */
GArray *ch_once_batch_entries_new(const struct ch_kv_entry *entries,
                                  size_t count);

#endif
