/* This node's own entry, which has its own key-value lease. */

#include "base/json.h"
#include "node/kv_call.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    MIN_BACKOFF_US = 250 * 1000,
    MAX_BACKOFF_US = 2 * 1000 * 1000,
    /* The entry expires this long after the last renewal. Peers detect a lost
     * node much sooner; the entry only says that the node may exist. */
    NODE_LEASE_TTL_US = 30 * 1000 * 1000,
    NODE_RENEWAL_INTERVAL_US = 8 * 1000 * 1000,
    /*
     * Backoff for each live node, with a maximum of at least MAX_BACKOFF_US
     * and at most the renewal interval. While the key-value store is
     * unavailable or refuses, it keeps the fleet's calls for its own entries
     * at about ten a second, whatever the fleet's size. With a retry at each
     * tick, a hundred nodes made most of a thousand calls a second.
     */
    BACKOFF_US_PER_NODE = 100 * 1000,
};

/* The entry's value; a new string. */
static char *
own_entry_to_json(const struct ch_settings *settings)
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

/* Records the result of a call for the own entry, and when the next call may
 * start; a random delay keeps all nodes from calling at once after an outage.
 * Lock held. */
static void
record_own_result(struct ch_roster *roster, enum ch_code code)
{
    roster->writing = false;
    if (code == CH_OK || code == CH_KV_CONFLICT || code == CH_KV_MISSING) {
        roster->own_pause = 0;
        return;
    }
    struct ch_node *node = roster->node;
    g_auto(GStrv) live = ch_peers_live(node->peers);
    int64_t max_backoff = (int64_t)BACKOFF_US_PER_NODE * g_strv_length(live);
    max_backoff = CLAMP(max_backoff, MAX_BACKOFF_US, NODE_RENEWAL_INTERVAL_US);
    roster->own_pause =
        CLAMP(roster->own_pause * 2, MIN_BACKOFF_US, max_backoff);
    roster->own_not_before =
        ch_client_now(node->client) +
        (int64_t)(g_random_double_range(0.5, 1.5) * (double)roster->own_pause);
}

/* Handles the result of writing the own entry. On a conflict an earlier
 * process of this node left its entry, which the next write replaces. */
static void
handle_own_write(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    record_own_result(roster, answer->code);
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

/* Handles the result of granting or renewing the key-value lease. */
static void
handle_own_lease(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    record_own_result(roster, answer->code);
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

/* Starts the next call for this node's entry, if one is due: a grant of the
 * key-value lease, a write of the entry, or a renewal. Lock not held. */
void
roster_keep_own(struct ch_roster *roster, int64_t now)
{
    struct ch_node *node = roster->node;
    pthread_mutex_lock(&roster->lock);
    bool renewal_due = now - roster->renewed >= NODE_RENEWAL_INTERVAL_US;
    bool in_backoff = roster->own_pause > 0 && now < roster->own_not_before;
    bool due = !roster->writing && !roster->leaving && !in_backoff &&
               (roster->lease == 0 || !roster->listed || renewal_due);
    uint64_t kv_lease_id = roster->lease;
    uint64_t revision = roster->own_revision;
    bool is_listed = roster->listed;
    if (due) {
        roster->writing = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!due) {
        return;
    }
    if (kv_lease_id == 0) {
        ch_kv_call_lease(node, NODE_LEASE_TTL_US, handle_own_lease, roster);
    }
    else if (!is_listed) {
        g_autofree char *key =
            g_strconcat(NODES_PREFIX, node->settings->name, NULL);
        g_autofree char *value = own_entry_to_json(node->settings);
        ch_kv_call_put_leased(node, key, value, strlen(value), revision,
                              kv_lease_id, handle_own_write, roster);
    }
    else {
        ch_kv_call_renew(node, kv_lease_id, handle_own_lease, roster);
    }
}

/* A failure to end the key-value lease does no harm: the lease expires by
 * itself. */
static void
handle_own_lease_end(void *data, const struct ch_kv_answer *answer)
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
    uint64_t kv_lease_id = roster->lease;
    pthread_mutex_unlock(&roster->lock);
    if (kv_lease_id != 0) {
        ch_kv_call_end_lease(roster->node, kv_lease_id, handle_own_lease_end,
                             roster_ref(roster));
    }
}
