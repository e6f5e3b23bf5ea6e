/* Upstreams as the platform lists them and as their homes describe them. */

#include "node/homes_internal.h"

#include <string.h>

/* An empty fleet. */
void
site_init(struct ch_homes *homes)
{
    homes->upstreams = g_ptr_array_new();
    homes->regions = g_ptr_array_new_with_free_func(g_free);
    homes->data_centres = g_ptr_array_new_with_free_func(g_free);
}

/* Frees what a view holds. */
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

/* Frees the fleet; every request and ticket is gone by now. */
void
site_clear(struct ch_homes *homes)
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

/* One more owner.  The count is guarded by the homes' lock. */
struct upstream *
upstream_ref(struct upstream *upstream)
{
    upstream->references++;
    return upstream;
}

/* One owner less; the last one frees it with its client. */
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
    g_array_free(upstream->items, TRUE);
    g_free(upstream->address);
    g_free(upstream->region);
    g_free(upstream->data_centre);
    g_free(upstream);
}

/* The index of a name in a list of names, added when it is new. */
static uint16_t
index_of(GPtrArray *names, const char *name)
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
site_find(const struct ch_homes *homes, GQuark name)
{
    return name == 0 ? NULL : site_find_name(homes, g_quark_to_string(name));
}

/* Orders upstreams by name. */
static int
compare_names(const struct upstream *upstream, const char *name)
{
    return strcmp(g_quark_to_string(upstream->name), name);
}

/* The listed upstream of that name, or NULL. */
struct upstream *
site_find_name(const struct ch_homes *homes, const char *name)
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

/* The fleet's view of an upstream; NULL when it is no longer listed. */
struct ch_upstream_view *
site_view(struct ch_homes *homes, const struct upstream *upstream)
{
    return ch_fleet_find_upstream(&homes->fleet, upstream->name);
}

/* Makes the client that talks to an upstream. */
static struct ch_upstream *
make_client(struct ch_homes *homes, const struct ch_host *host)
{
    const struct ch_settings *settings = homes->node->settings;
    int64_t limit = (int64_t)settings->first_byte_ms * 1000;
    if (host->kind == CH_HOST_SERVICE) {
        return ch_upstream_service_new(homes->node->client, homes->node->http,
                                       host->address, limit);
    }
    return ch_upstream_engine_new(homes->node->client, homes->node->http,
                                  host->address, limit);
}

/* A newly listed upstream. */
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
    upstream->items = g_array_new(FALSE, FALSE, sizeof(GQuark));
    return upstream;
}

/* What the list says of an upstream that is known already. */
static void
take_facts(struct upstream *upstream, const struct ch_host *host)
{
    upstream->listed = true;
    upstream->leaving = host->leaving;
    upstream->capacity_mb = host->memory_mb;
    upstream->accelerators = MAX(host->accelerators, 1);
    upstream->batch = host->batch;
    upstream->service =
        host->service != NULL ? g_quark_from_string(host->service) : 0;
}

/* Whether the list still means the same upstream: one with another address is
 * another process, and calls to the old one go on with the old client. */
static bool
is_same(const struct upstream *upstream, const struct ch_host *host)
{
    return upstream->kind == host->kind &&
           strcmp(upstream->address, host->address) == 0 &&
           strcmp(upstream->data_centre, host->data_centre) == 0;
}

/* Sorts by name. */
static int
order_upstreams(const void *a, const void *b)
{
    const struct upstream *const *first = a;
    const struct upstream *const *second = b;
    return compare_names(*first, g_quark_to_string((*second)->name));
}

/* The view of an upstream of which nothing was heard yet. */
static void
begin_view(struct ch_homes *homes, const struct upstream *upstream,
           struct ch_upstream_view *view)
{
    view->name = upstream->name;
    view->region = index_of(homes->regions, upstream->region);
    view->data_centre = index_of(homes->data_centres, upstream->data_centre);
    view->capacity_mb = upstream->capacity_mb;
    view->free_mb = upstream->capacity_mb;
    view->resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item));
    view->loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item));
}

/* Makes the fleet's views anew, keeping what is known of those that stay. */
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
        struct ch_upstream_view *before =
            ch_fleet_find_upstream(&old, upstream->name);
        if (before != NULL && upstream->sequence > 0) {
            *view = *before;
            before->resident = NULL;
            before->loading = NULL;
        }
        else {
            begin_view(homes, upstream, view);
        }
        view->service = upstream->service;
        view->accelerators = upstream->accelerators;
        view->capacity_mb = upstream->capacity_mb;
        view->max_batch =
            view->max_batch > 0 ? view->max_batch : upstream->batch;
        view->draining = view->draining || upstream->leaving;
    }
    for (size_t i = 0; i < old.count; i++) {
        clear_view(&old.upstreams[i]);
    }
    g_free(old.upstreams);
    homes->fleet.region =
        index_of(homes->regions, homes->node->settings->region);
    homes->fleet.data_centre =
        index_of(homes->data_centres, homes->node->settings->data_centre);
}

/* Tells an open home what the list says of its upstream. */
static void
update_home(const struct ch_homes *homes, struct upstream *upstream)
{
    if (upstream->home == NULL) {
        return;
    }
    struct ch_upstream_config facts = {
        .name = upstream->name,
        .service = upstream->service,
        .capacity_mb = upstream->capacity_mb,
        .accelerators = upstream->accelerators,
        .batch = upstream->batch,
        .max_queue = homes->node->settings->max_queue,
        .draining = upstream->leaving,
    };
    ch_home_set_config(upstream->home, &facts);
}

/* Takes one upstream of the list, new or known. */
static void
take_host(struct ch_homes *homes, const struct ch_host *host,
          struct effects *effects)
{
    struct upstream *upstream = site_find_name(homes, host->name);
    if (upstream != NULL && !is_same(upstream, host)) {
        home_close(homes, upstream, effects);
        g_ptr_array_remove(homes->upstreams, upstream);
        upstream_unref(upstream);
        upstream = NULL;
    }
    if (upstream == NULL) {
        upstream = new_upstream(homes, host);
        g_ptr_array_add(homes->upstreams, upstream);
        qsort(homes->upstreams->pdata, homes->upstreams->len, sizeof(gpointer),
              order_upstreams);
    }
    take_facts(upstream, host);
    update_home(homes, upstream);
}

/* Takes the platform's list whole.  What is not in it any more gets no new
 * work from now on; what runs there ends by itself. */
void
site_take_list(struct ch_homes *homes, const struct ch_host_list *list,
               struct effects *effects)
{
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        upstream->listed = false;
    }
    for (size_t i = 0; i < list->count; i++) {
        if (list->hosts[i].kind != CH_HOST_ENTRY) {
            take_host(homes, &list->hosts[i], effects);
        }
    }
    for (guint i = homes->upstreams->len; i > 0; i--) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i - 1);
        if (!upstream->listed) {
            home_close(homes, upstream, effects);
            g_ptr_array_remove_index(homes->upstreams, i - 1);
            upstream_unref(upstream);
        }
    }
    rebuild_fleet(homes);
    homes->rehome = true;
    if (homes->listed_at == 0) {
        homes->listed_at = ch_client_now(homes->node->client);
    }
}

/* Fills an array of items from names that the configuration knows or knew:
 * names come from other nodes alone, which took them from it. */
static void
take_items(GArray *items, size_t count, char **names, size_t rate_count,
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

/* Takes the state of an upstream from a message when it is newer than what is
 * known.  The sequence is the later of one more than the last known and the
 * wall clock, so that a home's successor, which has not always heard its last
 * words, overrules it all the same, also when their clocks differ. */
void
site_take_state(struct ch_homes *homes,
                const Chestnuthitch__Wire__UpstreamState *state, int64_t now)
{
    struct upstream *upstream = site_find_name(homes, state->upstream);
    if (upstream == NULL || upstream->home != NULL) {
        return;
    }
    if (state->sequence <= upstream->sequence) {
        return;
    }
    struct ch_upstream_view *view = site_view(homes, upstream);
    upstream->incarnation = state->incarnation;
    upstream->sequence = state->sequence;
    view->running = state->running;
    view->queued = state->queued;
    view->predicted_wait = (int64_t)state->wait_us;
    view->token_time = (int64_t)state->token_us;
    view->free_mb = state->free_mb;
    view->max_batch = state->batch;
    view->draining = state->leaving || upstream->leaving;
    view->down = state->down;
    view->reported_at = now;
    view->sent_since_report = 0;
    take_items(view->resident, state->n_resident, state->resident,
               state->n_resident_rate, state->resident_rate);
    take_items(view->loading, state->n_loading, state->loading, 0, NULL);
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

/* The state of an upstream as this node knows it, new.  Whose word it is the
 * frame says; repeated in each state, the name was 6 bytes of 103. */
Chestnuthitch__Wire__UpstreamState *
site_make_state(struct ch_homes *homes, const struct upstream *upstream)
{
    const struct ch_upstream_view *view = site_view(homes, upstream);
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

/* Frees a state made by site_make_state. */
void
site_free_state(Chestnuthitch__Wire__UpstreamState *state)
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
