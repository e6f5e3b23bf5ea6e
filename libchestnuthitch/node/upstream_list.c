/* Upstreams of the host list, with the state that their homes publish. */

#include "node/homes_internal.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"

#include <string.h>

/* Starts with no upstreams. */
void
upstream_list_init(struct ch_homes *homes)
{
    homes->upstreams = g_ptr_array_new();
    homes->regions = g_ptr_array_new_with_free_func(g_free);
    homes->data_centres = g_ptr_array_new_with_free_func(g_free);
}

/* Frees the arrays of a view. */
static void
clear_view(struct ch_upstream_view *view)
{
    if (view->resident != NULL) {
        g_array_unref(view->resident);
    }
    if (view->loading != NULL) {
        g_array_unref(view->loading);
    }
}

/* Frees all upstreams.  Requests and tickets have been freed before. */
void
upstream_list_clear(struct ch_homes *homes)
{
    for (size_t i = 0; i < homes->fleet.count; i++) {
        clear_view(&homes->fleet.upstreams[i]);
    }
    g_free(homes->fleet.upstreams);
    for (guint i = 0; i < homes->upstreams->len; i++) {
        upstream_unref(g_ptr_array_index(homes->upstreams, i));
    }
    g_ptr_array_free(homes->upstreams, TRUE);
    g_ptr_array_free(homes->regions, TRUE);
    g_ptr_array_free(homes->data_centres, TRUE);
}

/* Adds a reference; the homes' lock guards the count. */
struct upstream *
upstream_ref(struct upstream *upstream)
{
    upstream->references++;
    return upstream;
}

/* Drops a reference; the last frees the upstream with its client. */
void
upstream_unref(struct upstream *upstream)
{
    if (--upstream->references > 0) {
        return;
    }
    if (upstream->client != NULL) {
        upstream->client->ops->free(upstream->client);
    }
    ch_home_free(upstream->home);
    g_array_free(upstream->known_items, TRUE);
    g_free(upstream->address);
    g_free(upstream->region);
    g_free(upstream->data_centre);
    g_free(upstream);
}

/* Index of a name in names, which gets the name if it is new. */
static uint16_t
find_or_add_name(GPtrArray *names, const char *name)
{
    for (guint i = 0; i < names->len; i++) {
        if (strcmp(g_ptr_array_index(names, i), name) == 0) {
            return (uint16_t)i;
        }
    }
    g_ptr_array_add(names, g_strdup(name));
    return (uint16_t)(names->len - 1);
}

/* The listed upstream of that name, or NULL. */
struct upstream *
upstream_list_find(const struct ch_homes *homes, GQuark name)
{
    return name == 0 ? NULL
                     : upstream_list_find_name(homes, g_quark_to_string(name));
}

static int
compare_names(const struct upstream *upstream, const char *name)
{
    return strcmp(g_quark_to_string(upstream->name), name);
}

/* The listed upstream of that name, or NULL. */
struct upstream *
upstream_list_find_name(const struct ch_homes *homes, const char *name)
{
    guint low = 0;
    guint high = homes->upstreams->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, middle);
        int order = compare_names(upstream, name);
        if (order == 0) {
            return upstream;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* The fleet view of an upstream; NULL when it is no longer listed. */
struct ch_upstream_view *
upstream_list_get_view(struct ch_homes *homes, const struct upstream *upstream)
{
    return ch_fleet_find_upstream(&homes->fleet, upstream->name);
}

/* Creates the client for calls to an upstream. */
static struct ch_upstream *
make_client(struct ch_homes *homes, const struct ch_host *host)
{
    struct ch_node *node = homes->node;
    int64_t timeout = (int64_t)node->settings->first_byte_ms * 1000;
    struct ch_upstream *client =
        host->kind == CH_HOST_SERVICE
            ? ch_upstream_service_new(node->client, node->http, host->address,
                                      timeout)
            : ch_upstream_engine_new(node->client, node->http, host->address,
                                     timeout);
    client->limit_listener = ch_limit_manager_get_listener(
        node->limits, g_quark_from_string(host->name),
        g_quark_from_string(host->region));
    client->path_listener = ch_path_manager_get_listener(node->paths, host);
    client->notice_listener =
        ch_notices_get_listener(node->notices, g_quark_from_string(host->name),
                                g_quark_from_string(host->region));
    return client;
}

/* Creates a newly listed upstream. */
static struct upstream *
new_upstream(struct ch_homes *homes, const struct ch_host *host)
{
    struct upstream *upstream = g_new0(struct upstream, 1);
    upstream->references = 1;
    upstream->name = g_quark_from_string(host->name);
    upstream->key = ch_hash_string(host->name);
    upstream->kind = host->kind;
    upstream->address = g_strdup(host->address);
    upstream->region = g_strdup(host->region);
    upstream->data_centre = g_strdup(host->data_centre);
    upstream->client = make_client(homes, host);
    upstream->known_items = g_array_new(FALSE, FALSE, sizeof(GQuark));
    return upstream;
}

/* Copies the host list's data of an upstream. */
static void
apply_host_data(struct upstream *upstream, const struct ch_host *host)
{
    upstream->listed = true;
    upstream->listed_draining = host->draining;
    upstream->capacity_mb = host->memory_mb;
    upstream->accelerators = MAX(host->accelerators, 1);
    upstream->max_batch = host->max_batch;
    upstream->service =
        host->service != NULL ? g_quark_from_string(host->service) : 0;
    upstream->version = g_quark_from_string(host->version);
    /* Where a host list states no versions, all upstreams run the same. */
    upstream->version_id =
        ch_version_get_id(host->version == NULL ? "" : host->version);
}

/* Whether the host list still means the same process.  A host with another
 * address is another process; calls to the old process go on with the old
 * client. */
static bool
is_same_process(const struct upstream *upstream, const struct ch_host *host)
{
    return upstream->kind == host->kind &&
           strcmp(upstream->address, host->address) == 0 &&
           strcmp(upstream->data_centre, host->data_centre) == 0;
}

/* Compares array elements by name, for qsort. */
static int
compare_upstreams(const void *a, const void *b)
{
    const struct upstream *const *first = a;
    const struct upstream *const *second = b;
    return compare_names(*first, g_quark_to_string((*second)->name));
}

/* Initialises the view of an upstream of which no state was received yet. */
static void
init_view(struct ch_homes *homes, const struct upstream *upstream,
          struct ch_upstream_view *view)
{
    view->name = upstream->name;
    view->region = find_or_add_name(homes->regions, upstream->region);
    view->data_centre =
        find_or_add_name(homes->data_centres, upstream->data_centre);
    view->capacity_mb = upstream->capacity_mb;
    view->free_mb = upstream->capacity_mb;
    view->resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item));
    view->loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item));
}

/* Rebuilds the fleet view, keeping the known state of upstreams that are still
 * listed. */
static void
rebuild_fleet(struct ch_homes *homes)
{
    struct ch_fleet old = homes->fleet;
    homes->fleet.count = homes->upstreams->len;
    homes->fleet.upstreams =
        g_new0(struct ch_upstream_view, MAX(homes->upstreams->len, 1));
    for (guint i = 0; i < homes->upstreams->len; i++) {
        const struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, i);
        struct ch_upstream_view *view = &homes->fleet.upstreams[i];
        struct ch_upstream_view *previous =
            ch_fleet_find_upstream(&old, upstream->name);
        if (previous != NULL && upstream->sequence > 0) {
            *view = *previous;
            previous->resident = NULL;
            previous->loading = NULL;
        }
        else {
            init_view(homes, upstream, view);
        }
        view->service = upstream->service;
        view->version_id = upstream->version_id;
        view->accelerators = upstream->accelerators;
        view->capacity_mb = upstream->capacity_mb;
        view->max_batch =
            view->max_batch > 0 ? view->max_batch : upstream->max_batch;
        view->draining = view->draining || upstream->draining;
    }
    for (size_t i = 0; i < old.count; i++) {
        clear_view(&old.upstreams[i]);
    }
    g_free(old.upstreams);
    homes->fleet.region =
        find_or_add_name(homes->regions, homes->node->settings->region);
    homes->fleet.data_centre = find_or_add_name(
        homes->data_centres, homes->node->settings->data_centre);
}

/* Passes the host list's data of an upstream to its open home. */
static void
update_home(const struct ch_homes *homes, struct upstream *upstream)
{
    if (upstream->home == NULL) {
        return;
    }
    struct ch_upstream_config config = home_get_config(homes, upstream);
    ch_home_set_config(upstream->home, &config);
}

/* An upstream drains if the list says so, or a response of it did. */
static void
apply_draining(const struct ch_homes *homes, struct upstream *upstream)
{
    upstream->draining =
        upstream->listed_draining ||
        ch_notices_is_draining(homes->node->notices, upstream->name, 0);
    ch_path_manager_set_draining(homes->node->paths, upstream->name,
                                 upstream->draining);
}

/* See homes_internal.h. */
void
upstream_list_update_draining(struct ch_homes *homes)
{
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        struct ch_upstream_view *view =
            upstream_list_get_view(homes, upstream);
        bool was_draining = upstream->draining;
        apply_draining(homes, upstream);
        if (upstream->draining != was_draining) {
            view->draining = upstream->draining;
            update_home(homes, upstream);
        }
    }
}

/* Applies one upstream of the host list, new or known. */
static void
apply_host(struct ch_homes *homes, const struct ch_host *host,
           struct effects *effects)
{
    struct upstream *upstream = upstream_list_find_name(homes, host->name);
    if (upstream != NULL && !is_same_process(upstream, host)) {
        home_close(homes, upstream, effects);
        g_ptr_array_remove(homes->upstreams, upstream);
        upstream_unref(upstream);
        upstream = NULL;
    }
    if (upstream == NULL) {
        upstream = new_upstream(homes, host);
        g_ptr_array_add(homes->upstreams, upstream);
        qsort(homes->upstreams->pdata, homes->upstreams->len, sizeof(gpointer),
              compare_upstreams);
    }
    apply_host_data(upstream, host);
    apply_draining(homes, upstream);
    update_home(homes, upstream);
}

/* Applies a complete host list.  Upstreams that are no longer listed get no
 * new requests; requests that run there may finish. */
void
upstream_list_update(struct ch_homes *homes, const struct ch_host_list *list,
                     struct effects *effects)
{
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        upstream->listed = false;
    }
    for (size_t i = 0; i < list->count; i++) {
        if (list->hosts[i].kind != CH_HOST_ENTRY) {
            apply_host(homes, &list->hosts[i], effects);
        }
    }
    for (guint i = homes->upstreams->len; i > 0; i--) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i - 1);
        if (!upstream->listed) {
            ch_path_manager_forget(homes->node->paths, upstream->name);
            home_close(homes, upstream, effects);
            g_ptr_array_remove_index(homes->upstreams, i - 1);
            upstream_unref(upstream);
        }
    }
    rebuild_fleet(homes);
    homes->rehome_needed = true;
    if (homes->first_list_at == 0) {
        homes->first_list_at = ch_client_get_time(homes->node->client);
    }
}

/* Fills an array of items.  The names are safe to make into quarks: they come
 * from other nodes only, which took them from the configuration. */
static void
set_items(GArray *items, size_t count, char **names, size_t rate_count,
          const uint32_t *rates)
{
    g_array_set_size(items, 0);
    for (size_t i = 0; i < count; i++) {
        struct ch_item item = {
            .name = g_quark_from_string(names[i]),
            .rate = rates != NULL && i < rate_count ? rates[i] : 0,
        };
        g_array_append_val(items, item);
    }
}

/* Applies an upstream's state from a message if it is newer than the known
 * state.  A sequence number is the later of the last known number plus one and
 * the wall clock.  So a new home, which may have missed the last states of the
 * previous home, still supersedes them, even when their clocks differ. */
void
upstream_list_apply_state(struct ch_homes *homes,
                          const Chestnuthitch__Wire__UpstreamState *state,
                          int64_t now)
{
    struct upstream *upstream =
        upstream_list_find_name(homes, state->upstream);
    if (upstream == NULL || upstream->home != NULL) {
        return;
    }
    if (state->sequence <= upstream->sequence) {
        return;
    }
    struct ch_upstream_view *view = upstream_list_get_view(homes, upstream);
    upstream->incarnation = state->incarnation;
    upstream->sequence = state->sequence;
    view->running = state->running;
    view->queued = state->queued;
    view->predicted_wait = (int64_t)state->wait_us;
    view->token_time = (int64_t)state->token_us;
    view->free_mb = state->free_mb;
    view->max_batch = state->batch;
    view->draining = state->leaving || upstream->draining;
    view->down = state->down;
    view->reported_at = now;
    view->sent_since_report = 0;
    set_items(view->resident, state->n_resident, state->resident,
              state->n_resident_rate, state->resident_rate);
    set_items(view->loading, state->n_loading, state->loading, 0, NULL);
}

/* Copies the names of items into a new array of new strings. */
static char **
copy_items(const GArray *items, size_t *count)
{
    char **names = g_new0(char *, items->len + 1);
    for (guint i = 0; i < items->len; i++) {
        names[i] = g_strdup(
            g_quark_to_string(g_array_index(items, struct ch_item, i).name));
    }
    *count = items->len;
    return names;
}

/* Builds the message with the state of an upstream as this node knows it.  The
 * sending node is named once in the frame: repeated in each state, its name
 * would take 6 of 103 bytes. */
Chestnuthitch__Wire__UpstreamState *
upstream_make_state(struct ch_homes *homes, const struct upstream *upstream)
{
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, upstream);
    if (view == NULL) {
        return NULL;
    }
    Chestnuthitch__Wire__UpstreamState *state =
        g_new(Chestnuthitch__Wire__UpstreamState, 1);
    chestnuthitch__wire__upstream_state__init(state);
    state->upstream = g_strdup(g_quark_to_string(upstream->name));
    state->incarnation = upstream->incarnation;
    state->sequence = upstream->sequence;
    state->running = view->running;
    state->queued = view->queued;
    state->wait_us = (uint64_t)MAX(view->predicted_wait, 0);
    state->token_us = (uint64_t)MAX(view->token_time, 0);
    state->free_mb = view->free_mb;
    state->batch = view->max_batch;
    state->leaving = view->draining;
    state->down = view->down;
    state->resident = copy_items(view->resident, &state->n_resident);
    state->loading = copy_items(view->loading, &state->n_loading);
    state->n_resident_rate = view->resident->len;
    state->resident_rate = g_new0(uint32_t, view->resident->len + 1);
    for (guint i = 0; i < view->resident->len; i++) {
        state->resident_rate[i] =
            g_array_index(view->resident, struct ch_item, i).rate;
    }
    return state;
}

/* Frees a state made by upstream_make_state. */
void
upstream_free_state(Chestnuthitch__Wire__UpstreamState *state)
{
    if (state == NULL) {
        return;
    }
    g_strfreev(state->resident);
    g_strfreev(state->loading);
    g_free(state->resident_rate);
    g_free(state->upstream);
    g_free(state);
}
