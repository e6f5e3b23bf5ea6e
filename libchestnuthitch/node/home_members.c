/* Which homes are on this node, what each node may use of shared limits, and
 * the grants of nodes that are gone. */

#include "node/homes_internal.h"

#include <string.h>

enum {
    REHOME_PERIOD = 500 * 1000,
    /*
     * A grant whose node was not heard for this long, and could not be, ends:
     * its streams ended with the node's process or are cut off from here. Well
     * past a pause that a node survives, since a grant ended too soon means
     * one request too many at the upstream until the other ends.
     */
    GRANT_SILENCE = 5 * 1000 * 1000,
};

struct lost_pass {
    struct ch_homes *homes;
    int64_t now;
    GArray *handles;
};

/* Gathers the tickets of nodes that are gone: another process has their name,
 * or nothing was heard from them for long. */
static void
gather_lost(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct lost_pass *pass = data;
    if (ticket->from == NULL) {
        return;
    }
    uint64_t incarnation = 0;
    int64_t heard =
        ch_peers_heard(pass->homes->node->peers, ticket->from, &incarnation);
    bool other_process = incarnation != 0 && ticket->incarnation != 0 &&
                         incarnation != ticket->incarnation;
    if (other_process ||
        pass->now - MAX(heard, ticket->since) > GRANT_SILENCE) {
        g_array_append_val(pass->handles, handle);
    }
}

/* Ends the grants of nodes that are gone.  Without this every node that dies
 * would leave its requests counted at the homes, whose batches would fill up
 * with what nobody runs. */
static void
end_lost(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    struct lost_pass pass = {
        .homes = homes,
        .now = now,
        .handles = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    ch_table_each(homes->tickets, gather_lost, &pass);
    for (guint i = 0; i < pass.handles->len; i++) {
        ch_metrics_count(homes->node->client->metrics, CH_COUNT_GRANTS_LOST,
                         1);
        home_withdraw(homes, g_array_index(pass.handles, uint64_t, i), now,
                      effects);
    }
    g_array_free(pass.handles, TRUE);
}

/* Sets each node's part of the weight store and of the link: what the region
 * has, divided by the nodes that share it. */
static void
share_limits(struct ch_homes *homes)
{
    const struct ch_settings *settings = homes->node->settings;
    char **live = ch_peers_live(homes->node->peers);
    unsigned count = g_strv_length(live);
    g_strfreev(live);
    double nodes = MAX(count, 1U);
    homes->loads.rate_per_s = settings->loads_per_s / nodes;
    homes->loads.capacity = MAX(settings->loads_parallel / nodes, 1.0);
    homes->link.rate_per_s = settings->link_mbit * 1e6 / 8 / nodes;
    homes->link.capacity = homes->link.rate_per_s * 2;
    homes->news = count != homes->live;
    homes->live = count;
}

/* Opens and closes homes as membership says and ends lost grants. */
void
home_rehome(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    if (now < homes->next_rehome && !homes->draining) {
        return;
    }
    homes->next_rehome = now + REHOME_PERIOD;
    share_limits(homes);
    end_lost(homes, now, effects);
    uint64_t version = ch_peers_version(homes->node->peers);
    if (version == homes->homed_version && !homes->rehome) {
        return;
    }
    homes->homed_version = version;
    homes->rehome = false;
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        bool becomes = false;
        bool is_home = ch_peers_is_home(homes->node->peers, upstream->key,
                                        upstream->region,
                                        upstream->data_centre, &becomes);
        if (becomes) {
            home_open(homes, upstream, now, effects);
        }
        else if (!is_home) {
            home_close(homes, upstream, effects);
        }
    }
}
