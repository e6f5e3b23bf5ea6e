/* Which few nodes do something for all others. */

#include "node/node.h"

#include <stdio.h>
#include <string.h>

/* See node.h. */
bool
ch_peers_has_role(struct ch_peers *peers, const struct ch_settings *own,
                  const char *role, unsigned count, const char *region)
{
    for (unsigned i = 0; i < count; i++) {
        char name[32];
        (void)snprintf(name, sizeof(name), "%s-%u", role, i);
        uint64_t key = ch_hash_string(name);
        g_autofree char *home =
            region == NULL ? ch_peers_home(peers, key, NULL)
                           : ch_peers_upstream_home(peers, key, region, "");
        if (g_strcmp0(home, own->name) == 0) {
            return true;
        }
    }
    return false;
}
