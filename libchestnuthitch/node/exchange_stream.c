/* Streams that go on after their first upstream failed, within one response or
 * in a later request of their caller: where they began, and what may take
 * them. */

#include "node/exchange.h"

#include "node/stream_manager.h"

enum {
    /* The record of a stream outlives the caller's deadline by this. */
    RECORD_MARGIN_US = 5 * G_USEC_PER_SEC,
};

/* Where the present call goes. */
static struct ch_stream_place
get_place(const struct ch_exchange *exchange)
{
    return (struct ch_stream_place){
        .upstream = exchange->grant.upstream,
        .version = exchange->grant.version,
        .boot_id = exchange->grant.boot_id,
    };
}

/* See exchange.h. */
bool
ch_exchange_takes_up_stream(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    return request->stream && request->resume_id != NULL &&
           exchange->frontend->node->streams != NULL;
}

/* See exchange.h. */
void
ch_exchange_record_begin(struct ch_exchange *exchange)
{
    if (!ch_exchange_takes_up_stream(exchange)) {
        exchange->began_at = get_place(exchange);
        exchange->request->info.required_version = exchange->grant.version_id;
    }
}

/* ---- records at other nodes ---- */

/* The record of a stream that the present call begins. */
static struct ch_stream_record
make_record(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    const struct ch_node *node = exchange->frontend->node;
    return (struct ch_stream_record){
        .key = ch_stream_get_key(request->owner,
                                 ch_exchange_get_request_id(exchange)),
        .origin = {ch_hash_string(
                       g_quark_to_string(request->info.required_service)),
                   exchange->grant.version_id},
        .writer = ch_hash_pair(node->incarnation,
                               ch_hash_string(node->settings->name)),
        .sequence = exchange->call_count,
        .upstream = exchange->grant.upstream,
        .written_at = ch_client_get_time(node->client),
    };
}

/* When the caller can't take up the stream any more. */
static int64_t
get_record_end(const struct ch_exchange *exchange)
{
    int64_t now = ch_client_get_time(exchange->frontend->node->client);
    int64_t deadline = exchange->request->deadline;
    return deadline == 0
               ? now + CH_STREAM_LIFE_US
               : MIN(deadline + RECORD_MARGIN_US, now + CH_STREAM_LIFE_US);
}

/* Whether the stream of the request is recorded with a call made now. */
static bool
is_recorded(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    return exchange->frontend->node->streams != NULL && request->stream &&
           request->info.idempotent && !exchange->stream_started;
}

/* See exchange.h. */
bool
ch_exchange_may_begin_stream(struct ch_exchange *exchange)
{
    struct ch_stream_origin stored;
    if (!is_recorded(exchange)) {
        return true;
    }
    bool takes_up = ch_exchange_takes_up_stream(exchange);
    struct ch_stream_record record =
        takes_up ? exchange->stream_record : make_record(exchange);
    if (record.key == 0) {
        return true;
    }
    record.expires_at = get_record_end(exchange);
    if (!takes_up) {
        record.sequence =
            exchange->call_count + 1; /* of the call to be made */
    }
    if (ch_stream_manager_may_begin(exchange->frontend->node->streams, &record,
                                    &stored)) {
        return true;
    }
    exchange->request->info.required_version = stored.version;
    return false;
}

/* See exchange.h. A call that goes to the same version as the one before needs
 * no further record. */
void
ch_exchange_write_stream_record(struct ch_exchange *exchange)
{
    struct ch_stream_manager *streams = exchange->frontend->node->streams;
    struct ch_stream_record *record = &exchange->stream_record;
    if (!is_recorded(exchange)) {
        return;
    }
    if (!ch_exchange_takes_up_stream(exchange)) {
        const struct ch_stream_record made = make_record(exchange);
        if (record->key != 0 &&
            record->origin.version == made.origin.version) {
            return;
        }
        *record = made;
    }
    else if (record->key == 0 || exchange->call_count > 1) {
        return;
    }
    record->expires_at = get_record_end(exchange);
    ch_stream_manager_write(streams, record);
}

/* ---- streams that an earlier request began ---- */

/* Ends the question; on the pool. */
static void
handle_found(void *data, const struct ch_stream_result *result)
{
    ch_exchange_handle_origin(data, result);
}

/* See exchange.h. */
void
ch_exchange_find_origin(struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    uint64_t key = request->resumes == NULL
                       ? 0
                       : ch_stream_get_key(request->owner, request->resumes);
    uint64_t service =
        ch_hash_string(g_quark_to_string(request->info.required_service));
    ch_stream_manager_find(exchange->frontend->node->streams, key, service,
                           handle_found, exchange);
}

/* ---- logs ---- */

/* By whose knowledge the stream goes on where it does. */
static const char *
get_known_by(const struct ch_exchange *exchange)
{
    if (!ch_exchange_takes_up_stream(exchange)) {
        return "response";
    }
    return ch_stream_finding_get_name(exchange->stream_finding);
}

/* See exchange.h. */
void
ch_exchange_log_going_on(const struct ch_exchange *exchange)
{
    const struct ch_client *client = exchange->frontend->node->client;
    const struct ch_stream_place *began = &exchange->began_at;
    const struct ch_stream_place here = get_place(exchange);
    const struct ch_stream_record *record = &exchange->stream_record;
    uint64_t required = exchange->request->info.required_version;
    uint64_t here_id = exchange->grant.version_id;
    bool taken_up = ch_exchange_takes_up_stream(exchange);
    if (!taken_up && !exchange->stream_started) {
        return;
    }
    if (required != 0 && required != here_id) {
        ch_metrics_add_count(client->metrics, CH_COUNT_VERSIONS_MIXED, 1);
    }
    ch_log(client, CH_LOG_INFO, "stream-goes-on",
           CH_F_STR("request_id", ch_exchange_get_request_id(exchange)),
           CH_F_STR("resumes", exchange->request->resumes),
           CH_F_BOOL("new_request", taken_up && !exchange->stream_started),
           CH_F_STR("after_event", exchange->last_event_id),
           CH_F_STR("known_by", get_known_by(exchange)),
           CH_F_STR("source", g_quark_to_string(exchange->stream_source)),
           CH_F_INT("known_for_ms",
                    record->key == 0
                        ? -1
                        : (ch_client_get_time(client) - record->written_at) /
                              1000),
           CH_F_STR("began_upstream",
                    g_quark_to_string(taken_up ? record->upstream
                                               : began->upstream)),
           CH_F_STR("began_version",
                    g_quark_to_string(taken_up && required == here_id
                                          ? here.version
                                          : began->version)),
           CH_F_INT("began_boot", (int64_t)began->boot_id),
           CH_F_STR("upstream", g_quark_to_string(here.upstream)),
           CH_F_STR("version", g_quark_to_string(here.version)),
           CH_F_INT("boot", (int64_t)here.boot_id), CH_F_END);
}
