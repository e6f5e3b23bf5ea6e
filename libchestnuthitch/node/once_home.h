#ifndef CH_NODE_ONCE_HOME_H
#define CH_NODE_ONCE_HOME_H

/* The slots of at-most-once records that this node writes for the fleet. */

#include "node/node.h"

struct ch_once_home;

struct ch_once_home *ch_once_home_new(struct ch_node *node);
void ch_once_home_stop(struct ch_once_home *home);
void ch_once_home_unref(struct ch_once_home *home);

/* The slot of a caller's key, of `slots` in all. */
uint32_t ch_once_slot_of(const char *caller, const char *key, uint32_t slots);
/* The live node that is the slot's home; a new string. */
char *ch_once_slot_home(struct ch_node *node, uint32_t slot);
/* "once/SLOT/", and "once/SLOT/SEQUENCE"; new strings. */
char *ch_once_slot_prefix(uint32_t slot);
char *ch_once_batch_key(uint32_t slot, uint64_t sequence);
/* What a list of the slot holds, with the bytes of entries; g_array_free. */
GArray *ch_once_listed_new(const struct ch_kv_entry *entries, size_t count);

#endif
