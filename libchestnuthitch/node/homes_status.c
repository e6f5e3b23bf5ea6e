/* Status of the upstreams, as shown to operators. */

#include "node/homes_internal.h"

static void
add_string(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

static void
add_int(JsonBuilder *builder, const char *name, int64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, value);
}

/* Adds an array of item names. */
static void
add_items(JsonBuilder *builder, const char *name, const GArray *items)
{
    json_builder_set_member_name(builder, name);
    json_builder_begin_array(builder);
    for (guint i = 0; i < items->len; i++) {
        json_builder_add_string_value(
            builder,
            g_quark_to_string(g_array_index(items, struct ch_item, i).name));
    }
    json_builder_end_array(builder);
}

/* Adds one upstream as a JSON object. */
static void
add_upstream(struct ch_homes *homes, const struct upstream *upstream,
             JsonBuilder *builder)
{
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, upstream);
    char *home =
        ch_peers_find_upstream_home(homes->node->peers, upstream->key,
                                    upstream->region, upstream->data_centre);
    json_builder_begin_object(builder);
    add_string(builder, "name", g_quark_to_string(upstream->name));
    add_string(builder, "kind",
               upstream->kind == CH_HOST_SERVICE ? "service" : "engine");
    add_string(builder, "region", upstream->region);
    add_string(builder, "data_centre", upstream->data_centre);
    add_string(builder, "home", home);
    add_string(builder, "state",
               view->down       ? "down"
               : view->draining ? "leaving"
                                : "live");
    add_int(builder, "memory_mb", view->capacity_mb);
    add_int(builder, "free_mb", view->free_mb);
    add_int(builder, "running", view->running);
    add_int(builder, "queued", view->queued);
    add_int(builder, "wait_ms", view->predicted_wait / 1000);
    add_items(builder, "resident", view->resident);
    add_items(builder, "reserved", view->loading);
    json_builder_end_object(builder);
    g_free(home);
}

/* Adds the upstreams as an array "upstreams" to an open JSON object. */
void
ch_homes_write_status(struct ch_homes *homes, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "upstreams");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&homes->lock);
    for (guint i = 0; i < homes->upstreams->len; i++) {
        add_upstream(homes, g_ptr_array_index(homes->upstreams, i), builder);
    }
    pthread_mutex_unlock(&homes->lock);
    json_builder_end_array(builder);
}
