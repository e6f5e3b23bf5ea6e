/* Entry nodes of a run, and how they handle requests. */

#include "replay/sim.h"

#include <string.h>

enum {
    /* Home nodes that a request asks before it is refused. */
    MAX_ASKS = 3,
    /* Time after which a node notices an interrupted link. */
    SILENCE_LIMIT_US = G_USEC_PER_SEC,
    /* A response that makes no progress for this long is abandoned. */
    STALL_TIMEOUT_US = 2 * G_USEC_PER_SEC,
    KV_WRITE_US = 3 * 1000,
};

/* Share of the link for requests and responses; control messages have the
 * rest. */
static const double LINK_DATA_SHARE = 0.8;
/* Retries for each new request, as in a node's default settings. */
static const double RETRIES_PER_REQUEST = 0.1;

/* Sets up an entry node that lists all upstreams but doesn't know their state
 * yet. */
void
sim_entry_init(struct sim *sim, size_t entry)
{
    const struct ch_site *site = sim->site;
    struct sim_entry *host = &sim->entries[entry];
    size_t centre = site->entries[entry].data_centre;
    host->site = &site->entries[entry];
    host->region = site->data_centres[centre].region;
    host->up = true;
    host->pending_asks = g_new0(uint32_t, site->upstream_count);
    host->fleet = (struct ch_fleet){
        .upstreams = g_new0(struct ch_upstream_view, site->upstream_count),
        .count = site->upstream_count,
        .region = (uint16_t)host->region,
        .data_centre = (uint16_t)centre,
        .region_delay = site->region_delay,
    };
    size_t neighbours = 0;
    for (size_t i = 0; i < site->entry_count; i++) {
        size_t other = site->entries[i].data_centre;
        neighbours += site->data_centres[other].region == host->region ? 1 : 0;
    }
    double bytes = site->link_mbit_per_s * 1e6 / 8.0 * LINK_DATA_SHARE;
    bytes /= (double)neighbours;
    ch_token_bucket_init(&host->link_budget, bytes, 2.0 * bytes, 0);
    ch_token_bucket_init(&host->load_budget, site->loads_per_s, 3.0, 0);
    ch_retry_budget_init(&host->retry_budget, RETRIES_PER_REQUEST);
}

/* Frees the members of an entry node, but not the node itself. */
void
sim_entry_clear(struct sim *sim, struct sim_entry *entry)
{
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        struct ch_upstream_view *view = &entry->fleet.upstreams[i];
        if (view->resident != NULL) {
            g_array_unref(view->resident);
            g_array_unref(view->loading);
        }
    }
    g_free(entry->fleet.upstreams);
    g_free(entry->pending_asks);
}

/* Returns the one-way delay in microseconds between two data centres (200
 * within a data centre). */
int64_t
sim_get_delay(const struct sim *sim, size_t centre_a, size_t centre_b)
{
    const struct ch_site *site = sim->site;
    if (centre_a == centre_b) {
        return 200;
    }
    if (site->data_centres[centre_a].region ==
        site->data_centres[centre_b].region) {
        return site->data_centre_delay;
    }
    return site->region_delay;
}

/* Returns the unfinished request whose current ask has this number, or NULL.
 */
struct sim_request *
sim_request_find_by_ask(struct sim *sim, uint64_t ask)
{
    size_t index = g_array_index(sim->asks, struct sim_ask, ask).request;
    struct sim_request *request = &sim->requests[index];
    return request->state != SIM_FINISHED && request->current_ask == ask
               ? request
               : NULL;
}

/* Returns the region where a caller's requests arrive. */
static size_t
find_caller_region(const struct sim *sim, const char *caller)
{
    const struct ch_site *site = sim->site;
    for (size_t i = 0; i < site->region_count; i++) {
        if (g_strv_contains((const char *const *)site->regions[i].callers,
                            caller)) {
            return i;
        }
    }
    return ch_hash_string(caller) % MAX(site->region_count, 1);
}

/* Returns a live entry node, chosen at random as by the platform's load
 * balancer, in the caller's region if possible; SIM_NO_HOST: none is live. */
static int
pick_entry(const struct sim *sim, const char *caller, uint64_t key)
{
    size_t region = find_caller_region(sim, caller);
    for (int local = 1; local >= 0; local--) {
        size_t count = 0;
        for (size_t i = 0; i < sim->site->entry_count; i++) {
            const struct sim_entry *entry = &sim->entries[i];
            bool eligible =
                entry->up && (local == 0 || entry->region == region);
            count += eligible ? 1 : 0;
        }
        if (count == 0) {
            continue;
        }
        size_t pick = (size_t)(sim_random(sim, key, 3) * (double)count);
        for (size_t i = 0; i < sim->site->entry_count; i++) {
            const struct sim_entry *entry = &sim->entries[i];
            bool eligible =
                entry->up && (local == 0 || entry->region == region);
            if (eligible && pick-- == 0) {
                return (int)i;
            }
        }
    }
    return SIM_NO_HOST;
}

/* Returns the key of sim.keys for a request; the caller frees it. */
static char *
format_key(const struct sim_request *request)
{
    return g_strdup_printf("%s/%s", request->event->caller,
                           request->event->key);
}

/* Returns whether the request must run at most once. */
static bool
is_keyed(const struct sim_request *request)
{
    return !request->work.idempotent && request->event->key != NULL;
}

/* Sets the state of the request's key, if it has one. */
static void
set_key_state(struct sim *sim, const struct sim_request *request,
              enum sim_key_state state)
{
    if (is_keyed(request)) {
        g_hash_table_replace(sim->keys, format_key(request),
                             GINT_TO_POINTER((int)state));
    }
}

/* Returns the counts of a request's caller, created if needed. */
static struct sim_tenant *
get_tenant(struct sim *sim, const struct sim_request *request)
{
    struct sim_tenant *tenant =
        g_hash_table_lookup(sim->tenants, request->event->caller);
    if (tenant == NULL) {
        tenant = g_new0(struct sim_tenant, 1);
        g_hash_table_insert(sim->tenants, request->event->caller, tenant);
    }
    return tenant;
}

/* Returns whether a complete response met the targets of its class.  first and
 * last: microseconds from arrival to the first and the last byte, at the
 * caller. */
static bool
is_within_target(const struct sim *sim, const struct sim_request *request,
                 int64_t first, int64_t last)
{
    const struct ch_class *class =
        &sim->declaration->classes[request->event->class_index];
    if (class->first_token_target > 0 && first > class->first_token_target) {
        return false;
    }
    if (class->response_target > 0 && last > class->response_target) {
        return false;
    }
    uint32_t tokens = request->event->output_tokens;
    if (class->token_target > 0 && tokens > 1) {
        return (last - first) / (tokens - 1) <= class->token_target;
    }
    return true;
}

/* Increments the count of the second that contains a time. */
static void
count_second(GArray *seconds, int64_t at)
{
    guint second = (guint)(at / G_USEC_PER_SEC);
    if (second >= seconds->len) {
        g_array_set_size(seconds, second + 1);
    }
    g_array_index(seconds, uint32_t, second)++;
}

/* Finishes a request and counts it.  Its time includes the delay back to the
 * caller. */
static void
finish(struct sim *sim, struct sim_request *request, enum ch_code code)
{
    struct ch_result *result = sim->result;
    struct ch_result_class *class =
        &result->classes[request->event->class_index];
    int64_t return_delay =
        sim->site->regions[sim->entries[request->entry].region].client_delay;
    int64_t last = sim->now + return_delay - request->sent_by_caller_at;
    int64_t first = request->first_byte_at > 0
                        ? request->first_byte_at + return_delay -
                              request->sent_by_caller_at
                        : last;
    struct sim_tenant *tenant = get_tenant(sim, request);
    request->state = SIM_FINISHED;
    sim->open_requests--;
    g_array_unref(request->excluded);
    request->excluded = NULL;
    if (code == CH_OK) {
        bool met = is_within_target(sim, request, first, last);
        g_array_append_val(class->response_times, last);
        result->met += met ? 1 : 0;
        class->met += met ? 1 : 0;
        tenant->met += met ? 1 : 0;
        result->run_late += met ? 0 : 1;
        if (met) {
            count_second(result->goodput, request->event->at);
        }
        if (request->event->model >= 0) {
            sim->model_served[request->event->model] = 1;
        }
        return;
    }
    if (!request->has_run && ch_code_get_outcome(code) == CH_NOT_RUN) {
        result->refused_not_run++;
        class->refused++;
        g_array_append_val(result->refusal_times, last);
    }
    else if (request->work.idempotent) {
        result->failed++;
    }
    else {
        result->unknown++;
    }
}

/* Asks for a grant at the home node of the upstream that the router chooses.
 */
static void
ask_home(struct sim *sim, struct sim_request *request)
{
    struct sim_entry *entry = &sim->entries[request->entry];
    request->current_ask = sim->asks->len;
    request->work.id = request->current_ask;
    request->state = SIM_ASKING;
    entry->fleet.link_bytes_left =
        (int64_t)ch_token_bucket_level(&entry->link_budget, sim->now);
    struct ch_route route = ch_route_choose_retry(
        sim->policy, &entry->fleet, &request->work, request->excluded,
        request->failed_count, sim->now);
    struct sim_ask record = {
        .request = (uint64_t)(request - sim->requests),
        .upstream = route.code == CH_OK ? route.upstream : 0,
    };
    g_array_append_val(sim->asks, record);
    if (route.code != CH_OK) {
        set_key_state(sim, request, request->has_run ? SIM_KEY_UNKNOWN : 0);
        /* The caller receives the last home node's refusal, as from a real
         * node. */
        finish(sim, request,
               request->last_refusal != CH_OK ? request->last_refusal
                                              : route.code);
        return;
    }
    request->upstream = (int)route.upstream;
    request->asks_since_dispatch++;
    entry->pending_asks[route.upstream]++;
    int host = sim->upstreams[route.upstream].host;
    if (host == SIM_NO_HOST) {
        sim_schedule(sim, sim->now + 1000, sim_request_handle_reply,
                     request->current_ask, CH_PEER_LOST, 0);
        return;
    }
    if (sim->link_down && sim->entries[host].region != entry->region) {
        sim_schedule(sim, sim->now + SILENCE_LIMIT_US,
                     sim_request_handle_reply, request->current_ask,
                     CH_PEER_TIMEOUT, 0);
        return;
    }
    int64_t delay = sim_get_delay(sim, entry->site->data_centre,
                                  sim->entries[host].site->data_centre);
    sim_schedule(sim, sim->now + delay, sim_home_handle_ask,
                 request->current_ask, 0, 0);
}

/* Fills in the part of a request on which decisions are based. */
static void
fill_request_info(struct sim *sim, struct sim_request *request)
{
    const struct ch_trace_event *event = request->event;
    const struct ch_declaration *declaration = sim->declaration;
    const struct ch_class *class = &declaration->classes[event->class_index];
    struct ch_request_info *work = &request->work;
    int64_t target = class->first_token_target > 0 ? class->first_token_target
                                                   : class->response_target;
    *work = (struct ch_request_info){
        .is_service =
            event->model<0, .class_name = g_quark_from_string(class->name),
                         .tenant = ch_hash_string(event->caller),
                         .prompt_tokens = event->prompt_tokens,
                         .max_output_tokens = event->output_tokens,
                         .prefix_hash = event->prefix, .arrived_at = sim->now,
                         .first_token_deadline = target> 0
                ? sim->now + target
                : 0,
        .token_target = class->token_target,
        .answer_deadline =
            class->response_target > 0 ? sim->now + class->response_target : 0,
        .idempotent = class->idempotent,
    };
    if (work->is_service) {
        work->model =
            g_quark_from_string(declaration->services[event->service].name);
        return;
    }
    const struct ch_model *model = &declaration->models[event->model];
    work->model = g_quark_from_string(model->name);
    work->model_mb = model->memory_mb;
    sim->model_requested[event->model] = 1;
    if (event->adapter >= 0) {
        char *name = g_strdup_printf("%s/%s", model->name,
                                     model->adapters[event->adapter]);
        work->adapter = g_quark_from_string(name);
        work->adapter_mb = model->adapter_memory_mb;
        g_free(name);
    }
}

/* Returns whether a request's entry node reaches the key-value store, which is
 * in the first region. */
static bool
kv_reachable(const struct sim *sim, const struct sim_request *request)
{
    return !sim->kv_down &&
           (!sim->link_down || sim->entries[request->entry].region == 0);
}

/* Asks for a grant, once the at-most-once record is written.  a: the request.
 */
static void
ask_after_record(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = &sim->requests[event->a];
    if (request->state != SIM_FINISHED) {
        ask_home(sim, request);
    }
}

/* Starts a request with a key, or finishes it at once: its response is stored,
 * it is in progress, its outcome is unknown, or the key-value store can't be
 * reached. */
static void
start_keyed(struct sim *sim, struct sim_request *request)
{
    if (!kv_reachable(sim, request)) {
        finish(sim, request, CH_ONCE_UNAVAILABLE);
        return;
    }
    char *text = format_key(request);
    int state = GPOINTER_TO_INT(g_hash_table_lookup(sim->keys, text));
    g_free(text);
    if (state == SIM_KEY_DONE) {
        finish(sim, request, CH_OK);
    }
    else if (state != 0) {
        request->has_run = true;
        finish(sim, request,
               state == SIM_KEY_RUNNING ? CH_IN_PROGRESS : CH_OUTCOME_UNKNOWN);
    }
    else {
        set_key_state(sim, request, SIM_KEY_RUNNING);
        size_t centre = sim->entries[request->entry].site->data_centre;
        int64_t delay = KV_WRITE_US + 2 * sim_get_delay(sim, centre, 0);
        sim_schedule(sim, sim->now + delay, ask_after_record,
                     (uint64_t)(request - sim->requests), 0, 0);
    }
}

/* Handles a request that arrives at an entry node.  a: index in the trace. */
void
sim_request_arrive(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = &sim->requests[event->a];
    const struct ch_trace_event *from = &sim->trace->events[event->a];
    int entry = pick_entry(sim, from->caller, event->a);
    request->event = from;
    request->sent_by_caller_at = from->at;
    request->entry = entry == SIM_NO_HOST ? 0 : (size_t)entry;
    request->upstream = SIM_NO_HOST;
    request->current_ask = G_MAXUINT64;
    request->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    fill_request_info(sim, request);
    get_tenant(sim, request)->requests++;
    sim->result->requests++;
    sim->result->classes[from->class_index].requests++;
    count_second(sim->result->offered, from->at);
    if (entry == SIM_NO_HOST) {
        finish(sim, request, CH_NO_UPSTREAM);
        return;
    }
    ch_retry_budget_add_request(&sim->entries[entry].retry_budget);
    if (is_keyed(request)) {
        start_keyed(sim, request);
        return;
    }
    ask_home(sim, request);
}

/* Releases a grant at the home node, with the microseconds to the first byte
 * and per token. */
static void
release_grant(struct sim *sim, uint64_t ask, enum ch_code code, int64_t first,
              int64_t token)
{
    const struct sim_ask *record =
        &g_array_index(sim->asks, struct sim_ask, ask);
    const struct sim_request *request = &sim->requests[record->request];
    int host = sim->upstreams[record->upstream].host;
    if (host == SIM_NO_HOST) {
        return;
    }
    int64_t delay =
        sim_get_delay(sim, sim->entries[request->entry].site->data_centre,
                      sim->entries[host].site->data_centre);
    uint64_t sample = ((uint64_t)MIN(first, UINT32_MAX) << 32) |
                      (uint64_t)MIN(token, UINT32_MAX);
    sim_schedule(sim, sim->now + delay, sim_home_handle_release, ask, code,
                 sample);
}

/* Sends a request to its upstream. */
static void
send_request(struct sim *sim, struct sim_request *request)
{
    struct sim_entry *entry = &sim->entries[request->entry];
    const struct sim_upstream *to = &sim->upstreams[request->upstream];
    request->state = SIM_RUNNING;
    request->dispatched_at = sim->now;
    request->dispatch_first_byte_at = 0;
    request->dispatch_count++;
    sim->result->dispatches++;
    sim->result->retries += request->dispatch_count > 1 ? 1 : 0;
    int64_t delay =
        sim_get_delay(sim, entry->site->data_centre, to->site->data_centre);
    if (to->region != entry->region) {
        const struct ch_site_engine *model = &sim->site->engine;
        uint64_t bytes = 4ull * request->work.prompt_tokens;
        uint64_t response_bytes =
            (uint64_t)model->token_bytes * request->work.max_output_tokens;
        ch_token_bucket_take(&entry->link_budget,
                             (double)(bytes + response_bytes), sim->now);
        delay += sim_link_send(sim, entry->region, to->region, bytes);
    }
    sim_schedule(sim, sim->now + delay, sim_request_dispatch,
                 request->current_ask, 0, 0);
}

/* Returns whether another home node may still grant a request refused with
 * this code. */
static bool
may_ask_other_home(enum ch_code code)
{
    return code == CH_LATE || code == CH_SHARE_FULL || code == CH_QUEUE_FULL ||
           code == CH_NO_UPSTREAM || code == CH_PEER_LOST ||
           code == CH_PEER_TIMEOUT;
}

/* Handles a home node's reply to an ask.  a: the ask, b: code, c: time after
 * which to retry. */
void
sim_request_handle_reply(struct sim *sim, const struct sim_event *event)
{
    const struct sim_ask *record =
        &g_array_index(sim->asks, struct sim_ask, event->a);
    struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    enum ch_code code = (enum ch_code)event->b;
    if (request == NULL || request->state != SIM_ASKING) {
        if (code == CH_OK) {
            release_grant(sim, event->a, CH_DEADLINE, 0, 0);
        }
        return;
    }
    sim->entries[request->entry].pending_asks[record->upstream]--;
    if (code == CH_OK) {
        send_request(sim, request);
        return;
    }
    GQuark name = sim->upstreams[record->upstream].name;
    g_array_append_val(request->excluded, name);
    if (ch_code_get_outcome(code) == CH_NOT_RUN) {
        request->last_refusal = code;
    }
    if (request->asks_since_dispatch < MAX_ASKS && may_ask_other_home(code)) {
        ask_home(sim, request);
        return;
    }
    if (code == CH_PEER_LOST || code == CH_PEER_TIMEOUT) {
        code = CH_NO_UPSTREAM; /* without a grant, nothing was dispatched */
    }
    set_key_state(sim, request, request->has_run ? SIM_KEY_UNKNOWN : 0);
    finish(sim, request, code);
}

/* Handles a request that reaches its upstream.  a: the ask. */
void
sim_request_dispatch(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    if (request == NULL) {
        return;
    }
    size_t upstream = (size_t)request->upstream;
    if (is_keyed(request) && !sim->upstreams[upstream].engine.down) {
        char *text = format_key(request);
        int runs = GPOINTER_TO_INT(
            g_hash_table_lookup(sim->key_dispatch_counts, text));
        g_hash_table_replace(sim->key_dispatch_counts, text,
                             GINT_TO_POINTER(runs + 1));
        sim->result->ran_twice += runs == 1 ? 1 : 0;
    }
    sim_engine_accept(sim, upstream, event->a);
}

/* Handles the first token at the entry node.  a: the ask. */
void
sim_request_handle_first_byte(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    if (request == NULL || request->state != SIM_RUNNING) {
        return;
    }
    request->dispatch_first_byte_at = sim->now;
    if (request->first_byte_at == 0) {
        request->first_byte_at = sim->now;
    }
}

/* Handles the end of a complete response.  a: the ask, b: tokens. */
void
sim_request_handle_completion(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    if (request == NULL || request->state != SIM_RUNNING) {
        return;
    }
    int64_t first =
        (request->dispatch_first_byte_at > 0 ? request->dispatch_first_byte_at
                                             : sim->now) -
        request->dispatched_at;
    int64_t token = 0;
    if (event->b > 1 && !request->work.is_service) {
        token = (sim->now - request->dispatched_at - first) /
                (int64_t)(event->b - 1);
    }
    release_grant(sim, event->a, CH_OK, first, token);
    set_key_state(sim, request, SIM_KEY_DONE);
    finish(sim, request, CH_OK);
}

/* Handles a failed dispatch: retries the request or finishes it.  a: the ask,
 * b: code, c: 1 if the request may have run. */
void
sim_request_handle_failure(struct sim *sim, const struct sim_event *event)
{
    struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    if (request == NULL || request->state != SIM_RUNNING) {
        return;
    }
    enum ch_code code = (enum ch_code)event->b;
    bool ran = event->c != 0;
    request->has_run = request->has_run || ran;
    release_grant(sim, event->a, code, 0, 0);
    GQuark name = sim->upstreams[request->upstream].name;
    g_array_set_size(request->excluded, request->failed_count);
    g_array_append_val(request->excluded, name);
    request->failed_count++;
    request->last_refusal = CH_OK;
    const struct ch_retry_failure failure = {
        .code = code,
        .may_have_run = ran,
        .is_resumable = !request->work.is_service,
        .events_delivered = request->tokens_delivered,
    };
    bool retry_taken = false;
    enum ch_retry retry =
        ch_retry_decide(&sim->entries[request->entry].retry_budget,
                        &retry_taken, &request->work, &failure, sim->now);
    if (retry == CH_RETRY_NO) {
        set_key_state(sim, request, request->has_run ? SIM_KEY_UNKNOWN : 0);
        finish(sim, request, code);
        return;
    }
    if (retry == CH_RETRY_RESUME) {
        uint32_t all = request->event->output_tokens;
        request->work.max_output_tokens =
            MAX(all - MIN(request->tokens_delivered, all), 1);
    }
    else {
        request->tokens_delivered = 0;
    }
    request->work.attempt++;
    request->asks_since_dispatch = 0;
    ask_home(sim, request);
}

/* A home node notices that an entry node is lost.  a: the ask. */
static void
withdraw_ask(struct sim *sim, const struct sim_event *event)
{
    size_t upstream =
        g_array_index(sim->asks, struct sim_ask, event->a).upstream;
    sim_home_withdraw(sim, upstream, event->a);
}

/* Stops an entry node, which interrupts the connections of its callers. */
void
sim_entry_stop(struct sim *sim, size_t entry)
{
    sim->entries[entry].up = false;
    for (size_t i = 0; i < sim->trace->count; i++) {
        struct sim_request *request = &sim->requests[i];
        if (request->event == NULL || request->state == SIM_FINISHED ||
            request->entry != entry) {
            continue;
        }
        if (request->state == SIM_RUNNING) {
            sim_engine_cancel(sim, (size_t)request->upstream,
                              request->current_ask);
        }
        if (request->upstream != SIM_NO_HOST) {
            sim_schedule(sim, sim->now + SILENCE_LIMIT_US, withdraw_ask,
                         request->current_ask, 0, 0);
        }
        request->has_run = true; /* the caller can't know whether it ran */
        set_key_state(sim, request, SIM_KEY_UNKNOWN);
        finish(sim, request, CH_UPSTREAM_CUT);
    }
    memset(sim->entries[entry].pending_asks, 0,
           sim->site->upstream_count * sizeof(uint32_t));
}

/* Interrupts the link between regions: calls and asks across it stall. */
void
sim_link_interrupt(struct sim *sim)
{
    for (size_t i = 0; i < sim->trace->count; i++) {
        struct sim_request *request = &sim->requests[i];
        if (request->event == NULL || request->state == SIM_FINISHED ||
            request->upstream == SIM_NO_HOST) {
            continue;
        }
        const struct sim_upstream *to = &sim->upstreams[request->upstream];
        if (to->region == sim->entries[request->entry].region) {
            continue;
        }
        if (request->state == SIM_RUNNING) {
            sim_engine_cancel(sim, (size_t)request->upstream,
                              request->current_ask);
            sim_schedule(sim, sim->now + STALL_TIMEOUT_US,
                         sim_request_handle_failure, request->current_ask,
                         CH_UPSTREAM_STALLED, 1);
        }
        else {
            sim_schedule(sim, sim->now + SILENCE_LIMIT_US,
                         sim_request_handle_reply, request->current_ask,
                         CH_PEER_TIMEOUT, 0);
            sim_schedule(sim, sim->now + SILENCE_LIMIT_US, withdraw_ask,
                         request->current_ask, 0, 0);
        }
    }
}
