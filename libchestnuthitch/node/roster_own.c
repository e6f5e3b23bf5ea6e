/* This node's own entry, under its own lease. */

#include "base/json.h"
#include "node/kv_call.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 2 * 1000 * 1000,
    /* A node's own entry goes this long after its last renewal.  Whether a
     * node answers is judged by its peers much sooner; the entry alone says
     * that it may exist. */
    NODE_TTL = 30 * 1000 * 1000,
    NODE_RENEWAL = 8 * 1000 * 1000,
    /*
     * While the service is away or refuses, the fleet asks for its own entries
     * some ten times a second in all, whatever its size: each node this often
     * for each live node, and at least once in a renewal's time.  Asked again
     * at each tick, a hundred nodes made most of a thousand calls a second.
     */
    OWN_PAUSE_EACH = 100 * 1000,
};

/* The entry's value; a new string. */
static char *
print_own(const struct ch_settings *settings)
{
    JsonBuilder *builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, settings->peers);
    json_builder_set_member_name(builder, "data_centre");
    json_builder_add_string_value(builder, settings->data_centre);
    json_builder_set_member_name(builder, "region");
    json_builder_add_string_value(builder, settings->region);
    json_builder_set_member_name(builder, "capacity");
    json_builder_add_int_value(builder, ch_settings_capacity(settings));
    json_builder_end_object(builder);
    return ch_json_print(builder);
}

/* Notes how a call for the own entry went, and when the next may begin: not
 * all nodes at once after an outage that they all saw.  Lock held. */
static void
end_own(struct ch_roster *roster, enum ch_code code)
{
    roster->writing = false;
    if (code == CH_OK || code == CH_KV_CONFLICT || code == CH_KV_MISSING) {
        roster->own_pause = 0;
        return;
    }
    struct ch_node *node = roster->node;
    g_auto(GStrv) live = ch_peers_live(node->peers);
    int64_t most = (int64_t)OWN_PAUSE_EACH * g_strv_length(live);
    most = CLAMP(most, MOST_PAUSE, NODE_RENEWAL);
    roster->own_pause = CLAMP(roster->own_pause * 2, FIRST_PAUSE, most);
    roster->own_not_before =
        ch_client_now(node->client) +
        (int64_t)(g_random_double_range(0.5, 1.5) * (double)roster->own_pause);
}

/* The entry was written, or another is in the way: an earlier process of this
 * node left it, and it is written over next time. */
static void
own_written(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    end_own(roster, answer->code);
    roster->listed = answer->code == CH_OK;
    if (roster->listed && roster->listed_at == 0) {
        roster->listed_at = ch_client_now(roster->node->client);
    }
    if (answer->code == CH_KV_CONFLICT) {
        roster->own_revision = answer->revision;
        roster->returns = true;
        g_atomic_int_set(&roster->node->returns, 1);
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->lease = 0;
    }
    pthread_mutex_unlock(&roster->lock);
    roster_unref(roster);
}

/* The lease was given or renewed, or neither. */
static void
own_leased(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    end_own(roster, answer->code);
    if (answer->code == CH_OK) {
        roster->renewed = ch_client_now(roster->node->client);
        if (answer->revision != 0) {
            roster->lease = answer->revision;
            roster->listed = false;
        }
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->lease = 0;
    }
    pthread_mutex_unlock(&roster->lock);
    roster_unref(roster);
}

/* Does the next step for this node's entry, if one is due: a lease, the entry,
 * a renewal.  Lock not held. */
void
roster_keep_own(struct ch_roster *roster, int64_t now)
{
    struct ch_node *node = roster->node;
    pthread_mutex_lock(&roster->lock);
    bool renew = now - roster->renewed >= NODE_RENEWAL;
    bool paused = roster->own_pause > 0 && now < roster->own_not_before;
    bool due = !roster->writing && !roster->leaving && !paused &&
               (roster->lease == 0 || !roster->listed || renew);
    uint64_t lease = roster->lease;
    uint64_t revision = roster->own_revision;
    bool listed = roster->listed;
    if (due) {
        roster->writing = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!due) {
        return;
    }
    if (lease == 0) {
        ch_kv_call_lease(node, NODE_TTL, own_leased, roster);
    }
    else if (!listed) {
        g_autofree char *key =
            g_strconcat(NODES_PREFIX, node->settings->name, NULL);
        g_autofree char *value = print_own(node->settings);
        ch_kv_call_put_leased(node, key, value, strlen(value), revision, lease,
                              own_written, roster);
    }
    else {
        ch_kv_call_renew(node, lease, own_leased, roster);
    }
}

/* The lease's end was told, or not: it ends by itself then. */
static void
own_ended(void *data, const struct ch_kv_answer *answer)
{
    (void)answer;
    roster_unref(data);
}

/* See roster.h. */
void
ch_roster_leave(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->leaving = true;
    uint64_t lease = roster->lease;
    pthread_mutex_unlock(&roster->lock);
    if (lease != 0) {
        ch_kv_call_end_lease(roster->node, lease, own_ended,
                             roster_ref(roster));
    }
}
