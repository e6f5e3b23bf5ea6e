/* Counters of frames and bytes to and from other nodes, by kind, direction and
 * region. */

#include "node/peers_internal.h"

#include <ck_pr.h>
#include <inttypes.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

static const char *const direction_names[PEERS_DIRECTION_COUNT] = {
    [PEERS_SENT] = "sent",
    [PEERS_RECEIVED] = "received",
};

/* Indexed by whether the other node is in another region. */
static const char *const way_names[] = {"region", "other_region"};

/* The name of a kind of frame in the protocol description; NULL: there is no
 * such kind. */
static const char *
get_kind_name(unsigned kind)
{
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field(
            &chestnuthitch__wire__frame__descriptor, kind);
    return field == NULL ? NULL : field->name;
}

/* See peers_internal.h. */
void
peers_count_frame(struct ch_peers *peers, enum peers_direction direction,
                  Chestnuthitch__Wire__Frame__BodyCase body, bool other_region,
                  size_t bytes)
{
    if ((unsigned)body >= (unsigned)PEERS_BODY_CASE_COUNT) {
        return;
    }
    struct traffic_counters *traffic =
        &peers->traffic[body][direction][other_region ? 1 : 0];
    ck_pr_add_64(&traffic->frames, 1);
    ck_pr_add_64(&traffic->bytes, bytes);
}

/* Calls each for every nonzero counter. */
static void
foreach_counter(const struct ch_peers *peers,
                void (*each)(void *data, const char *kind,
                             const char *direction, const char *way,
                             uint64_t frames, uint64_t bytes),
                void *data)
{
    for (unsigned kind = 0; kind < PEERS_BODY_CASE_COUNT; kind++) {
        const char *name = get_kind_name(kind);
        for (unsigned i = 0; name != NULL && i < PEERS_DIRECTION_COUNT; i++) {
            for (unsigned j = 0; j < G_N_ELEMENTS(way_names); j++) {
                const struct traffic_counters *traffic =
                    &peers->traffic[kind][i][j];
                uint64_t frames = ck_pr_load_64(&traffic->frames);
                if (frames > 0) {
                    each(data, name, direction_names[i], way_names[j], frames,
                         ck_pr_load_64(&traffic->bytes));
                }
            }
        }
    }
}

struct metric_rendering {
    GString *out;
    bool bytes;
};

/* Appends one line of a metric. */
static void
append_metric_line(void *data, const char *kind, const char *direction,
                   const char *way, uint64_t frames, uint64_t bytes)
{
    const struct metric_rendering *rendering = data;
    g_string_append_printf(
        rendering->out,
        "chestnuthitch_peer_%s_total{kind=\"%s\",direction=\"%s\",way=\"%s\"}"
        " %" PRIu64 "\n",
        rendering->bytes ? "bytes" : "frames", kind, direction, way,
        rendering->bytes ? bytes : frames);
}

/* Appends the counters in the Prometheus text exposition format. */
void
ch_peers_render_metrics(const struct ch_peers *peers, GString *out)
{
    struct metric_rendering rendering = {out, false};
    if (peers == NULL) {
        return;
    }
    g_string_append(out,
                    "# HELP chestnuthitch_peer_frames_total frames to and "
                    "from other nodes, by kind\n"
                    "# TYPE chestnuthitch_peer_frames_total counter\n");
    foreach_counter(peers, append_metric_line, &rendering);
    rendering.bytes = true;
    g_string_append(out,
                    "# HELP chestnuthitch_peer_bytes_total bytes of frames to "
                    "and from other nodes, by kind\n"
                    "# TYPE chestnuthitch_peer_bytes_total counter\n");
    foreach_counter(peers, append_metric_line, &rendering);
}

/* Adds one entry to the status. */
static void
add_status_entry(void *data, const char *kind, const char *direction,
                 const char *way, uint64_t frames, uint64_t bytes)
{
    JsonBuilder *builder = data;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "kind");
    json_builder_add_string_value(builder, kind);
    json_builder_set_member_name(builder, "direction");
    json_builder_add_string_value(builder, direction);
    json_builder_set_member_name(builder, "way");
    json_builder_add_string_value(builder, way);
    json_builder_set_member_name(builder, "frames");
    json_builder_add_int_value(builder, (int64_t)frames);
    json_builder_set_member_name(builder, "bytes");
    json_builder_add_int_value(builder, (int64_t)bytes);
    json_builder_end_object(builder);
}

/* Writes the counters as an array "traffic" into an open JSON object. */
void
ch_peers_write_traffic(const struct ch_peers *peers, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "traffic");
    json_builder_begin_array(builder);
    foreach_counter(peers, add_status_entry, builder);
    json_builder_end_array(builder);
}
