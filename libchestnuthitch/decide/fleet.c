/* Lookups in a node's view of the fleet. */

#include "decide/fleet.h"

/* See fleet.h. */
uint64_t
ch_version_get_id(const char *text)
{
    if (text == NULL) {
        return CH_VERSION_NOT_KNOWN;
    }
    uint64_t id = ch_hash_string(text);
    return id == CH_VERSION_NOT_KNOWN ? 1 : id;
}

/* Whether a list of struct ch_item contains the item; list may be NULL. */
static bool
list_has(const GArray *list, GQuark item)
{
    if (list == NULL) {
        return false;
    }
    for (guint i = 0; i < list->len; i++) {
        if (g_array_index(list, struct ch_item, i).name == item) {
            return true;
        }
    }
    return false;
}

/* Whether the item is resident in the upstream's memory, by the last
 * report. */
bool
ch_upstream_view_has_item(const struct ch_upstream_view *view, GQuark item)
{
    return list_has(view->resident, item);
}

/* Whether the upstream is loading the item, by the last report. */
bool
ch_upstream_view_is_loading(const struct ch_upstream_view *view, GQuark item)
{
    return list_has(view->loading, item);
}

/* The view of an upstream, owned by the fleet; NULL if the fleet has none. */
struct ch_upstream_view *
ch_fleet_find_upstream(struct ch_fleet *fleet, GQuark name)
{
    for (size_t i = 0; i < fleet->count; i++) {
        if (fleet->upstreams[i].name == name) {
            return &fleet->upstreams[i];
        }
    }
    return NULL;
}
