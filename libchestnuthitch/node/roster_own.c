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
own_entry_to_json(const struct ch_node *node)
{
    const struct ch_settings *settings = node->settings;
    JsonBuilder *builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, settings->peers);
    json_builder_set_member_name(builder, "data_centre");
    json_builder_add_string_value(builder, settings->data_centre);
    json_builder_set_member_name(builder, "region");
    json_builder_add_string_value(builder, settings->region);
    json_builder_set_member_name(builder, "capacity");
    json_builder_add_int_value(builder, ch_settings_get_capacity(settings));
    json_builder_set_member_name(builder, "started_ms");
    json_builder_add_int_value(builder, (int64_t)(node->incarnation / 1000));
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

/* Records the result of a call for the own entry, and when the next call may
 * start; a random delay keeps all nodes from calling at once after an outage.
 * Lock held. */
static void
record_own_result(struct ch_roster *roster, enum ch_code code)
{
    roster->own_call_in_flight = false;
    if (code == CH_OK || code == CH_KV_CONFLICT || code == CH_KV_MISSING) {
        roster->own_backoff = 0;
        return;
    }
    struct ch_node *node = roster->node;
    g_auto(GStrv) live = ch_peers_list_live(node->peers);
    int64_t max_backoff = (int64_t)BACKOFF_US_PER_NODE * g_strv_length(live);
    max_backoff = CLAMP(max_backoff, MAX_BACKOFF_US, NODE_RENEWAL_INTERVAL_US);
    roster->own_backoff =
        CLAMP(roster->own_backoff * 2, MIN_BACKOFF_US, max_backoff);
    roster->next_own_call_at = ch_client_get_time(node->client) +
                               (int64_t)(g_random_double_range(0.5, 1.5) *
                                         (double)roster->own_backoff);
}

/* Handles the result of writing the own entry. On a conflict an earlier
 * process of this node left its entry, which the next write replaces. */
static void
handle_own_write(void *data, const struct ch_kv_result *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    record_own_result(roster, answer->code);
    roster->own_entry_listed = answer->code == CH_OK;
    if (roster->own_entry_listed && roster->first_listed_at == 0) {
        roster->first_listed_at = ch_client_get_time(roster->node->client);
    }
    if (answer->code == CH_KV_CONFLICT) {
        roster->conflicting_revision = answer->revision;
        roster->restarted = true;
        g_atomic_int_set(&roster->node->predecessor_listed, 1);
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->kv_lease_id = 0;
    }
    pthread_mutex_unlock(&roster->lock);
    if (answer->code == CH_OK) {
        ch_peers_confirm_listed(roster->node->peers);
    }
    roster_unref(roster);
}

/* Handles the result of granting or renewing the key-value lease. */
static void
handle_own_lease(void *data, const struct ch_kv_result *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    record_own_result(roster, answer->code);
    if (answer->code == CH_OK) {
        roster->lease_renewed_at = ch_client_get_time(roster->node->client);
        if (answer->revision != 0) {
            roster->kv_lease_id = answer->revision;
            roster->own_entry_listed = false;
        }
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->kv_lease_id = 0;
    }
    bool listed = roster->own_entry_listed && answer->code == CH_OK;
    pthread_mutex_unlock(&roster->lock);
    if (listed) {
        ch_peers_confirm_listed(roster->node->peers);
    }
    roster_unref(roster);
}

/* Starts the next call for this node's entry, if one is due: a grant of the
 * key-value lease, a write of the entry, or a renewal. Lock not held. */
void
roster_update_own_entry(struct ch_roster *roster, int64_t now)
{
    struct ch_node *node = roster->node;
    pthread_mutex_lock(&roster->lock);
    bool renewal_due =
        now - roster->lease_renewed_at >= NODE_RENEWAL_INTERVAL_US;
    bool in_backoff =
        roster->own_backoff > 0 && now < roster->next_own_call_at;
    bool due =
        !roster->own_call_in_flight && !roster->unregistering && !in_backoff &&
        (roster->kv_lease_id == 0 || !roster->own_entry_listed || renewal_due);
    uint64_t kv_lease_id = roster->kv_lease_id;
    uint64_t revision = roster->conflicting_revision;
    bool is_listed = roster->own_entry_listed;
    if (due) {
        roster->own_call_in_flight = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!due) {
        return;
    }
    if (kv_lease_id == 0) {
        ch_kv_call_create_lease(node, NODE_LEASE_TTL_US, handle_own_lease,
                                roster);
    }
    else if (!is_listed) {
        g_autofree char *key =
            g_strconcat(NODES_PREFIX, node->settings->name, NULL);
        g_autofree char *value = own_entry_to_json(node);
        ch_kv_call_put_leased(node, key, value, strlen(value), revision,
                              kv_lease_id, handle_own_write, roster);
    }
    else {
        ch_kv_call_renew_lease(node, kv_lease_id, handle_own_lease, roster);
    }
}

/* A failure to end the key-value lease does no harm: the lease expires by
 * itself. */
static void
handle_own_lease_end(void *data, const struct ch_kv_result *answer)
{
    (void)answer;
    roster_unref(data);
}

/* See roster.h. */
void
ch_roster_unregister(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->unregistering = true;
    uint64_t kv_lease_id = roster->kv_lease_id;
    pthread_mutex_unlock(&roster->lock);
    if (kv_lease_id != 0) {
        ch_kv_call_end_lease(roster->node, kv_lease_id, handle_own_lease_end,
                             roster_ref(roster));
    }
}
