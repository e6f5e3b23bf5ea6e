/* The teams with quotas at this node, and the periodic work for them. */

#include "node/quota_internal.h"

enum {
    /* Teams that become known later than this after the first credit were
     * there, or not, while this process ran. */
    BEGIN_US = 10 * 1000 * 1000,
};

/* ---- ownership ---- */

static void
free_team(void *data)
{
    struct quota_team *team = data;
    g_free(team->name);
    g_free(team);
}

static void
free_region(void *data)
{
    struct quota_region *region = data;
    g_free(region->name);
    g_free(region);
}

/* Adds a reference, for a request or the timer. */
struct ch_quota_manager *
quota_manager_ref(struct ch_quota_manager *manager)
{
    g_atomic_int_inc(&manager->references);
    return manager;
}

/* Drops a reference; frees the manager with the last one. */
void
quota_manager_unref(struct ch_quota_manager *manager)
{
    if (!g_atomic_int_dec_and_test(&manager->references)) {
        return;
    }
    g_hash_table_destroy(manager->teams);
    g_ptr_array_free(manager->regions, TRUE);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}

/* ---- teams ---- */

/* See quota_internal.h. */
struct quota_team *
quota_manager_find(struct ch_quota_manager *manager, uint64_t id)
{
    return g_hash_table_lookup(manager->teams, &id);
}

static struct ch_quota_rule
get_rule(const struct ch_quota_manager *manager)
{
    const struct ch_settings *settings = manager->node->settings;
    return (struct ch_quota_rule){
        .window_s = settings->quota_window_s,
        .overshoot = settings->quota_overshoot,
        .slack = settings->quota_slack,
    };
}

/* Takes over a team's quota; what it has left stays. Lock held. */
static void
update_team(struct ch_quota_manager *manager, const struct ch_team *declared)
{
    const struct ch_quota_rule rule = get_rule(manager);
    uint64_t id = ch_hash_string(declared->name);
    struct quota_team *team = quota_manager_find(manager, id);
    if (team == NULL) {
        team = g_new0(struct quota_team, 1);
        team->id = id;
        team->name = g_strdup(declared->name);
        g_hash_table_insert(manager->teams, &team->id, team);
    }
    team->declared = true;
    ch_quota_limits_init(&team->limits, declared->quota_per_s,
                         declared->quota_burst, &rule);
}

/* For g_hash_table_foreach_remove: removes a team without a quota, and clears
 * the mark of the others. */
static gboolean
remove_undeclared(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    struct quota_team *team = value;
    bool declared = team->declared;
    team->declared = false;
    return !declared;
}

/* See quota_internal.h. */
void
quota_manager_refresh(struct ch_quota_manager *manager)
{
    struct ch_config *config =
        ch_config_manager_get_current(manager->node->config);
    if (config == NULL) {
        return;
    }
    const struct ch_declaration *declaration = config->declaration;
    pthread_mutex_lock(&manager->lock);
    if (config->revision != manager->revision) {
        manager->revision = config->revision;
        for (size_t i = 0; i < declaration->team_count; i++) {
            if (declaration->teams[i].quota_per_s > 0) {
                update_team(manager, &declaration->teams[i]);
            }
        }
        g_hash_table_foreach_remove(manager->teams, remove_undeclared, NULL);
    }
    pthread_mutex_unlock(&manager->lock);
    ch_config_unref(config);
}

/* See quota_internal.h. */
char *
quota_manager_find_pool(struct ch_quota_manager *manager, uint64_t team,
                        const char *region)
{
    pthread_mutex_lock(&manager->lock);
    size_t team_count = g_hash_table_size(manager->teams);
    bool leaving = manager->leaving;
    pthread_mutex_unlock(&manager->lock);
    g_autofree char *role = g_strdup_printf(
        "quota-pool-%u",
        (unsigned)(team % ch_quota_get_group_count(team_count)));
    return ch_peers_find_role_holder(manager->node->peers, role, region,
                                     !leaving);
}

/* See quota_internal.h. */
bool
quota_manager_uses_ranks(const struct ch_quota_manager *manager)
{
    const struct ch_settings *settings = manager->node->settings;
    return ch_settings_controls_overload(settings) &&
           !settings->disabled_features.quota_ranks;
}

/* See quota_internal.h. */
void
quota_manager_count(struct ch_quota_manager *manager, enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- periodic work ---- */

/* Decides, when this node first earns, whether it begins with credit. Lock
 * held. */
static void
note_begin(struct ch_quota_manager *manager, int64_t predecessor_age,
           int64_t now)
{
    if (manager->begun_at == 0 && manager->share > 0) {
        const struct ch_quota_rule rule = get_rule(manager);
        manager->begun_at = now;
        manager->begins_with_credit =
            ch_quota_may_begin_with_credit(&rule, predecessor_age);
        ch_log(manager->node->client, CH_LOG_INFO, "quota-begun",
               CH_F_NUM("share", manager->share),
               CH_F_BOOL("with_credit", manager->begins_with_credit),
               CH_F_END);
    }
    else if (now - manager->begun_at > BEGIN_US) {
        manager->begins_with_credit = false;
    }
}

/* Gives a team its credit of a node that starts again. A team that is known
 * soon after the start was there before: only the configuration came later.
 * Lock held. */
static void
begin_team(const struct ch_quota_manager *manager, struct quota_team *team,
           int64_t now)
{
    if (!team->begun && manager->begun_at != 0) {
        team->begun = true;
        team->credit.earned_at =
            now - manager->begun_at <= BEGIN_US ? manager->begun_at : now;
        team->credit.amount += manager->begins_with_credit
                                   ? team->limits.restart * manager->share
                                   : 0;
    }
}

/* Updates this node's share from the nodes that it knows, and earns credit.
 * Lock not held. */
static void
earn(struct ch_quota_manager *manager)
{
    int64_t now = ch_client_get_time(manager->node->client);
    struct ch_peers_counts counts;
    ch_peers_count(manager->node->peers, manager->node->settings->region,
                   &counts);
    const struct ch_quota_members members = {
        .listed = counts.listed,
        .live = counts.live,
        .live_in_region = counts.live_in_region,
        .self_listed = counts.self_listed,
        .confirmed = counts.confirmed,
    };
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&manager->lock);
    manager->share =
        ch_quota_share_update(&manager->share_state, &members, now);
    manager->region_part =
        members.listed == 0
            ? 0
            : (double)members.live_in_region / (double)members.listed;
    note_begin(manager, counts.predecessor_age, now);
    g_hash_table_iter_init(&iterator, manager->teams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct quota_team *team = value;
        begin_team(manager, team, now);
        ch_quota_credit_earn(&team->credit, &team->limits, manager->share,
                             now);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* Earns and settles, until the stop. */
static void
tick(void *data)
{
    struct ch_quota_manager *manager = data;
    quota_manager_refresh(manager);
    earn(manager);
    quota_pools_settle(manager, false);
    pthread_mutex_lock(&manager->lock);
    bool again = !manager->stopped;
    if (again) {
        manager->timer = ch_timers_add(
            manager->node->timers,
            ch_quota_get_settle_period(g_hash_table_size(manager->teams)),
            tick, manager);
    }
    pthread_mutex_unlock(&manager->lock);
    if (!again) {
        quota_manager_unref(manager);
    }
}

/* ---- status ---- */

static void
add_number(JsonBuilder *builder, const char *name, double value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, value);
}

/* See quota_manager.h. */
void
ch_quota_manager_write_status(struct ch_quota_manager *manager,
                              JsonBuilder *builder)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    json_builder_set_member_name(builder, "quotas");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&manager->lock);
    g_hash_table_iter_init(&iterator, manager->teams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct quota_team *team = value;
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "team");
        json_builder_add_string_value(builder, team->name);
        add_number(builder, "per_s", team->limits.rate);
        add_number(builder, "credit", team->credit.amount);
        add_number(builder, "pool", team->pool.level);
        json_builder_end_object(builder);
    }
    pthread_mutex_unlock(&manager->lock);
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* The regions that may have pools, this node's own first. */
static GPtrArray *
list_regions(const struct ch_settings *settings)
{
    GPtrArray *regions = g_ptr_array_new_with_free_func(free_region);
    char **names = ch_settings_list_regions(settings);
    for (size_t i = 0; names[i] != NULL; i++) {
        struct quota_region *region = g_new0(struct quota_region, 1);
        region->name = names[i];
        g_ptr_array_add(regions, region);
    }
    g_free(names);
    return regions;
}

/* Creates a manager that knows no team yet and registers its message handlers
 * with the node's peers; node outlives the manager. */
struct ch_quota_manager *
ch_quota_manager_new(struct ch_node *node)
{
    struct ch_quota_manager *manager = g_new0(struct ch_quota_manager, 1);
    manager->node = node;
    manager->references = 1;
    manager->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_team);
    manager->regions = list_regions(node->settings);
    pthread_mutex_init(&manager->lock, NULL);
    quota_pools_init(manager);
    return manager;
}

/* Starts the periodic work. */
void
ch_quota_manager_start(struct ch_quota_manager *manager)
{
    ch_pool_submit(manager->node->pool, tick, quota_manager_ref(manager));
}

/* See quota_manager.h. */
void
ch_quota_manager_drain(struct ch_quota_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->leaving = true;
    pthread_mutex_unlock(&manager->lock);
    quota_pools_settle(manager, false);
}

/* Hands over what is left and stops the periodic work; requests in progress
 * run to their end. */
void
ch_quota_manager_stop(struct ch_quota_manager *manager)
{
    quota_pools_settle(manager, true);
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    uint64_t timer = manager->timer;
    pthread_mutex_unlock(&manager->lock);
    if (timer != 0 && ch_timers_cancel(manager->node->timers, timer)) {
        quota_manager_unref(manager);
    }
}

/* Drops the node's reference; manager may be NULL. */
void
ch_quota_manager_free(struct ch_quota_manager *manager)
{
    if (manager != NULL) {
        quota_manager_unref(manager);
    }
}
