/* The workers of the users' platform: streams whose text depends on the
 * version of the worker's software, orders and reports. */

#include "users.h"

#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_EVENTS = 40,
    MAX_EVENTS = 10000,
    DEFAULT_SLOTS = 64,
    /* The entry of a crashed worker lapses after this time. */
    LAPSE_US = 3 * 400 * 1000,
};

struct worker {
    struct users *users;
    char *name;
    char *service;
    char *zone;
    char *version;
    uint16_t port;
    struct MHD_Daemon *daemon; /* NULL: it does not run */
    int64_t born_ms;
    bool draining;
    bool listed;
    GPtrArray *models; /* names of resident models */
    unsigned loading;
    int64_t sequence; /* orders accepted */
    int64_t writes;   /* of its entry, since its start */
    int64_t fence;    /* the highest fencing token seen */
    unsigned fenced;  /* orders with a lower one */
    unsigned running;
    int64_t running_since; /* this number of them */
    int64_t slot_us;       /* slots in use, times how long */
    GQueue *waiting;       /* struct exchange */
    GArray *rejections;    /* int64_t: when, for want of room */
    unsigned rejected;
    unsigned falls;
    bool leaves;     /* says in its responses that it leaves */
    int64_t wait_ms; /* rejects all, and asks to wait so long; 0: no */
    unsigned boot;   /* counts its starts */
    struct timer *lapse;
};

/* One run of a request. */
struct users_run {
    char *request_id;
    char *resumes;
    char *worker;
    char *version;
    unsigned first; /* number of its first event */
    int64_t at;
};

/* A streamed response. */
struct stream {
    struct exchange *exchange;
    struct worker *worker;
    char *version;
    unsigned boot;
    unsigned next;
    unsigned total;
    int64_t due;
    bool finished;
    GString *ready;
};

/* A response of a plain service. */
struct plain {
    struct worker *worker;
    unsigned boot;
};

/* A fall of a worker under its rejections. */
struct fall {
    struct worker *worker;
    unsigned boot;
};

/* A request with a part that crashes workers. */
struct part_arrival {
    int64_t at;
    bool crashed;
};

/* A call to a worker that leaves or asks to wait. */
struct noticed_call {
    int64_t at;
    const struct worker *worker;
    char *request_id; /* NULL: a report or an order */
    int64_t wait_ms;
};

/* Filled as workers run requests; entries stay until the process ends. */
static GPtrArray *runs;
static GArray *noticed_calls; /* struct noticed_call */
static GArray *part_arrivals; /* struct part_arrival */

/* ---- room ---- */

static int64_t
get_fault(const struct worker *worker, enum fault fault)
{
    return worker->users->standin->faults[fault];
}

static unsigned
get_slots(const struct worker *worker)
{
    int64_t slots = get_fault(worker, FAULT_slots);
    return slots == 0 ? DEFAULT_SLOTS : (unsigned)slots;
}

static void
change_running(struct worker *worker, int change)
{
    int64_t now = monotonic_now_us();
    worker->slot_us += worker->running * (now - worker->running_since);
    worker->running_since = now;
    worker->running = (unsigned)((int)worker->running + change);
}

/* ---- entries ---- */

static void
write_models(const struct worker *worker, JsonBuilder *out)
{
    json_builder_set_member_name(out, "models");
    json_builder_begin_array(out);
    for (guint i = 0; i < worker->models->len; i++) {
        json_builder_begin_object(out);
        json_text(out, "name", g_ptr_array_index(worker->models, i));
        json_number(out, "version", 1);
        json_builder_set_member_name(out, "adapters");
        json_builder_begin_array(out);
        json_builder_end_array(out);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
}

static void
put_entry(struct worker *worker)
{
    g_autofree char *key = g_strconcat("servers/", worker->name, NULL);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%u", (unsigned)worker->port);
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_text(out, "service", worker->service);
    json_text(out, "address", address);
    json_text(out, "zone", worker->zone);
    if (worker->version[0] != '\0') {
        json_text(out, "version", worker->version);
    }
    json_number(out, "slots", get_slots(worker));
    json_text(out, "state", worker->draining ? "draining" : "ready");
    json_number(out, "cold_remaining_ms", 0);
    json_text(out, "stage", "both");
    write_models(worker, out);
    json_number(out, "sequence", ++worker->writes);
    json_number(out, "born", worker->born_ms);
    json_builder_end_object(out);
    JsonNode *root = json_builder_get_root(out);
    g_autofree char *text = json_to_string(root, FALSE);
    users_put(worker->users, key, text, strlen(text), 0);
    worker->listed = true;
    json_node_unref(root);
    g_object_unref(out);
}

static void
remove_entry(struct worker *worker)
{
    g_autofree char *key = g_strconcat("servers/", worker->name, NULL);
    if (worker->listed) {
        users_put(worker->users, key, NULL, 0, 0);
        worker->listed = false;
    }
}

/* ---- streams ---- */

static struct worker *
find_worker(struct users *users, const char *name)
{
    for (guint i = 0; i < users->workers->len; i++) {
        struct worker *worker = g_ptr_array_index(users->workers, i);
        if (strcmp(worker->name, name) == 0) {
            return worker;
        }
    }
    return NULL;
}

static bool
has_model(const struct worker *worker, const char *name)
{
    for (guint i = 0; i < worker->models->len; i++) {
        if (strcmp(g_ptr_array_index(worker->models, i), name) == 0) {
            return true;
        }
    }
    return false;
}

static void admit_waiting(struct worker *worker);

static void
end_stream(struct exchange *exchange, bool whole)
{
    struct stream *stream = exchange->mode_data;
    (void)whole;
    if (stream->boot == stream->worker->boot) {
        change_running(stream->worker, -1);
        admit_waiting(stream->worker);
    }
    g_string_free(stream->ready, TRUE);
    g_free(stream->version);
    g_free(stream);
}

static int64_t
event_time_us(const struct stream *stream)
{
    return stream->exchange->standin->faults[FAULT_token_us];
}

/* Callback of libmicrohttpd: supplies the next event when it is due. */
static ssize_t
read_stream(void *data, uint64_t position, char *buffer, size_t most)
{
    struct stream *stream = data;
    (void)position;
    if (stream->ready->len == 0) {
        if (stream->next > stream->total) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        int64_t left = stream->due - monotonic_now_us();
        if (left > 0) {
            exchange_suspend(stream->exchange);
            stream->exchange->timer =
                timer_add(stream->exchange->standin, left, exchange_resume,
                          stream->exchange);
            return 0;
        }
        g_string_append_printf(stream->ready, "id: %u\ndata: %s/%u\n\n",
                               stream->next, stream->version, stream->next);
        stream->next++;
        stream->due += event_time_us(stream);
    }
    size_t length = MIN(most, stream->ready->len);
    memcpy(buffer, stream->ready->str, length);
    g_string_erase(stream->ready, 0, (gssize)length);
    return (ssize_t)length;
}

static void
record_run(const struct exchange *exchange, const struct worker *worker,
           unsigned first)
{
    struct users_run *run = g_new0(struct users_run, 1);
    run->request_id = g_strdup(exchange_header(exchange, "Request-Id"));
    run->resumes = g_strdup(exchange_header(exchange, "Resumes"));
    run->worker = g_strdup(worker->name);
    run->version = g_strdup(worker->version);
    run->first = first;
    run->at = monotonic_now_us();
    g_ptr_array_add(runs, run);
}

/* The number of events that the request asks for. */
static unsigned
parse_event_count(const struct exchange *exchange)
{
    const char *usage = exchange_header(exchange, "Token-Usage");
    const char *comma = usage == NULL ? NULL : strchr(usage, ',');
    uint64_t count =
        comma == NULL ? DEFAULT_EVENTS : g_ascii_strtoull(comma + 1, NULL, 10);
    return (unsigned)CLAMP(count, 1, MAX_EVENTS);
}

static void
add_brittle_header(struct exchange *exchange, const struct worker *worker)
{
    char text[24];
    int64_t brittle = get_fault(worker, FAULT_brittle);
    if (brittle > 0) {
        (void)g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, brittle - 1);
        exchange_add_header(exchange, "Server-Brittle", text);
    }
}

/* Says in the response that was set that the worker leaves, or asks to wait.
 */
static void
add_notice(struct exchange *exchange, const struct worker *worker)
{
    char text[24];
    if (worker->leaves) {
        exchange_add_header(exchange, "Server-Leaving", "1");
    }
    if (worker->wait_ms > 0) {
        (void)g_snprintf(text, sizeof text, "%.3f",
                         (double)worker->wait_ms / 1000);
        exchange_add_header(exchange, "Retry-After", text);
    }
}

static void
record_noticed_call(const struct exchange *exchange,
                    const struct worker *worker)
{
    const struct noticed_call call = {
        .at = monotonic_now_us(),
        .worker = worker,
        .request_id = g_strdup(exchange_header(exchange, "Request-Id")),
        .wait_ms = worker->wait_ms,
    };
    g_array_append_val(noticed_calls, call);
}

static void crash_worker(struct worker *worker);
static void restart_worker(struct worker *worker);

/* The worker is back after its end. */
static void
end_fall(void *data)
{
    struct fall *fall = data;
    if (fall->worker->boot == fall->boot) {
        restart_worker(fall->worker);
    }
    g_free(fall);
}

/* Ends a worker, which is back after a time. */
static void
end_for(struct fall *fall, enum fault time)
{
    crash_worker(fall->worker);
    (void)timer_add(fall->worker->users->standin,
                    get_fault(fall->worker, time) * 1000, end_fall, fall);
}

static struct fall *
fall_new(struct worker *worker)
{
    struct fall *fall = g_new0(struct fall, 1);
    *fall = (struct fall){worker, worker->boot};
    return fall;
}

/* Whether the prompt has a part, but for the last one, that crashes workers.
 */
static bool
has_crash_part(const struct exchange *exchange)
{
    const char *text = exchange_header(exchange, "Prompt-Prefix");
    char **parts = g_strsplit(text == NULL ? "" : text, ",", -1);
    bool found = false;
    for (size_t i = 0; parts[i] != NULL && parts[i + 1] != NULL; i++) {
        found |= g_str_has_prefix(parts[i], CRASH_PART);
    }
    g_strfreev(parts);
    return found;
}

static void
crash_by_part(void *data)
{
    struct fall *fall = data;
    struct worker *worker = fall->worker;
    if (worker->boot != fall->boot || worker->daemon == NULL) {
        g_free(fall);
        return;
    }
    const struct part_arrival crash = {monotonic_now_us(), true};
    g_array_append_val(part_arrivals, crash);
    end_for(fall, FAULT_crash_ms);
}

static void
begin_stream(struct exchange *exchange, struct worker *worker)
{
    if (has_crash_part(exchange) &&
        rand() % 100 < get_fault(worker, FAULT_crash_percent)) {
        (void)timer_add(exchange->standin, get_fault(worker, FAULT_token_us),
                        crash_by_part, fall_new(worker));
    }
    const char *last = exchange_header(exchange, "Last-Event-Id");
    struct stream *stream = g_new0(struct stream, 1);
    stream->exchange = exchange;
    stream->worker = worker;
    /* Two workers without a version may run different software. */
    stream->version = worker->version[0] != '\0'
                          ? g_strdup(worker->version)
                          : g_strconcat("unknown-", worker->name, NULL);
    stream->boot = worker->boot;
    stream->next =
        last == NULL ? 1 : (unsigned)g_ascii_strtoull(last, NULL, 10) + 1;
    stream->total = parse_event_count(exchange);
    stream->ready = g_string_new(NULL);
    stream->due = monotonic_now_us() + event_time_us(stream);
    exchange->mode_data = stream;
    exchange->on_end = end_stream;
    change_running(worker, 1);
    record_run(exchange, worker, stream->next);
    exchange->status = 200;
    exchange->response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 1024, read_stream, stream, NULL);
    exchange_add_header(exchange, "Content-Type", "text/event-stream");
    exchange_add_header(exchange, "Server-Signature", worker->name);
    exchange_add_header(exchange, "Weight-Versions", "1");
    add_brittle_header(exchange, worker);
    add_notice(exchange, worker);
    exchange_add_header(exchange, "Request-Id",
                        exchange_header(exchange, "Request-Id"));
}

static void
reject(struct exchange *exchange, const struct worker *worker, int status,
       const char *text)
{
    const char *id = exchange_header(exchange, "Request-Id");
    exchange_reply_text(exchange, status, text);
    exchange_add_header(exchange, "Not-Executed", "1");
    add_brittle_header(exchange, worker);
    add_notice(exchange, worker);
    if (id != NULL) {
        exchange_add_header(exchange, "Request-Id", id);
    }
}

/* ---- plain services ---- */

static void
end_plain(struct exchange *exchange, bool whole)
{
    struct plain *plain = exchange->mode_data;
    (void)whole;
    if (plain->boot == plain->worker->boot) {
        change_running(plain->worker, -1);
        admit_waiting(plain->worker);
    }
    g_free(plain);
}

static void
respond_plain(void *data)
{
    struct exchange *exchange = data;
    const struct plain *plain = exchange->mode_data;
    exchange->timer = NULL;
    exchange_reply_text(exchange, 200, "done\n");
    exchange_add_header(exchange, "Server-Signature", plain->worker->name);
    exchange_add_header(exchange, "Request-Id",
                        exchange_header(exchange, "Request-Id"));
    add_brittle_header(exchange, plain->worker);
    add_notice(exchange, plain->worker);
    exchange_resume(exchange);
}

static void
begin_plain(struct exchange *exchange, struct worker *worker)
{
    struct plain *plain = g_new0(struct plain, 1);
    *plain = (struct plain){worker, worker->boot};
    exchange->mode_data = plain;
    exchange->on_end = end_plain;
    change_running(worker, 1);
    record_run(exchange, worker, 0);
    exchange->timer = timer_add(worker->users->standin,
                                get_fault(worker, FAULT_answer_ms) * 1000,
                                respond_plain, exchange);
}

/* Begins a request that has a slot; one that names no model is of a plain
 * service. Returns whether its response has begun. */
static bool
begin_request(struct exchange *exchange, struct worker *worker)
{
    if (exchange_header(exchange, "Model") == NULL) {
        begin_plain(exchange, worker);
        return false;
    }
    begin_stream(exchange, worker);
    return true;
}

static void
begin_fall(void *data)
{
    struct fall *fall = data;
    struct worker *worker = fall->worker;
    if (worker->boot != fall->boot || worker->daemon == NULL) {
        g_free(fall);
        return;
    }
    worker->falls++;
    end_for(fall, FAULT_fall_ms);
}

/* Rejects for want of room; beyond what a brittle worker bears in a second, it
 * falls over. */
static void
reject_full(struct exchange *exchange, struct worker *worker)
{
    int64_t now = monotonic_now_us();
    int64_t brittle = get_fault(worker, FAULT_brittle);
    reject(exchange, worker, 503, "full\n");
    if (brittle == 0) {
        return;
    }
    worker->rejected++;
    g_array_append_val(worker->rejections, now);
    while (g_array_index(worker->rejections, int64_t, 0) <
           now - G_USEC_PER_SEC) {
        g_array_remove_index(worker->rejections, 0);
    }
    if (worker->rejections->len >= brittle &&
        get_fault(worker, FAULT_fall_ms) > 0) {
        g_array_set_size(worker->rejections, 0);
        (void)timer_add(worker->users->standin, 0, begin_fall,
                        fall_new(worker));
    }
}

/* A waiting request whose caller has left, or whose worker has ended. */
static void
end_waiting(struct exchange *exchange, bool whole)
{
    struct worker *worker = exchange->mode_data;
    (void)whole;
    g_queue_remove(worker->waiting, exchange);
}

/* Begins the requests that wait, as far as there are slots. */
static void
admit_waiting(struct worker *worker)
{
    while (worker->running < get_slots(worker) &&
           !g_queue_is_empty(worker->waiting)) {
        struct exchange *exchange = g_queue_pop_head(worker->waiting);
        if (begin_request(exchange, worker)) {
            exchange_resume(exchange);
        }
    }
}

static void
handle_request(struct exchange *exchange, struct worker *worker)
{
    const char *model = exchange_header(exchange, "Model");
    if (has_crash_part(exchange)) {
        const struct part_arrival arrival = {monotonic_now_us(), false};
        g_array_append_val(part_arrivals, arrival);
    }
    if (exchange_header(exchange, "Request-Id") == NULL) {
        reject(exchange, worker, 400, "no request id\n");
    }
    else if (model != NULL && !has_model(worker, model)) {
        reject(exchange, worker, 421, "the model is not resident\n");
    }
    else if (worker->running < get_slots(worker)) {
        (void)begin_request(exchange, worker);
    }
    else if (worker->waiting->length < get_fault(worker, FAULT_queue)) {
        exchange->mode_data = worker;
        exchange->on_end = end_waiting;
        g_queue_push_tail(worker->waiting, exchange);
    }
    else {
        reject_full(exchange, worker);
    }
}

/* ---- orders and reports ---- */

static void
write_report(struct exchange *exchange, const struct worker *worker)
{
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_text(out, "stage", "both");
    write_models(worker, out);
    json_builder_set_member_name(out, "busy");
    json_builder_add_boolean_value(out, worker->loading > 0);
    json_number(out, "sequence", worker->sequence);
    json_number(out, "queued", worker->waiting->length);
    json_number(out, "running", worker->running);
    json_number(out, "kv_used", 0);
    json_number(out, "kv_total", 100000);
    json_number(out, "born", worker->born_ms);
    json_builder_set_member_name(out, "pending");
    json_builder_begin_array(out);
    json_builder_end_array(out);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

/* A load that is under way. */
struct load {
    struct worker *worker;
    unsigned boot;
    char *model;
};

static void
finish_load(void *data)
{
    struct load *load = data;
    struct worker *worker = load->worker;
    if (worker->boot == load->boot && worker->daemon != NULL) {
        worker->loading--;
        if (!has_model(worker, load->model)) {
            g_ptr_array_add(worker->models, g_strdup(load->model));
        }
        if (worker->listed) {
            put_entry(worker);
        }
    }
    g_free(load->model);
    g_free(load);
}

static void
begin_load(struct worker *worker, const char *model)
{
    struct load *load = g_new0(struct load, 1);
    load->worker = worker;
    load->boot = worker->boot;
    load->model = g_strdup(model);
    worker->loading++;
    (void)timer_add(worker->users->standin,
                    worker->users->standin->faults[FAULT_load_ms] * 1000,
                    finish_load, load);
}

static void
unload(struct worker *worker, const char *model)
{
    for (guint i = worker->models->len; i > 0; i--) {
        if (strcmp(g_ptr_array_index(worker->models, i - 1), model) == 0) {
            g_ptr_array_remove_index(worker->models, i - 1);
        }
    }
    put_entry(worker);
}

/* Carries out an order; returns the status of the response. */
static int
carry_out_order(struct worker *worker, JsonObject *order)
{
    const char *operation =
        json_object_get_string_member_with_default(order, "operation", "");
    const char *model =
        json_object_get_string_member_with_default(order, "model", "");
    int64_t fence = json_object_get_int_member_with_default(
        order, "fencing_token", worker->fence);
    if (fence < worker->fence) {
        worker->fenced++;
        return 412;
    }
    worker->fence = fence;
    if (json_object_get_int_member_with_default(
            order, "precondition", worker->sequence) != worker->sequence ||
        worker->loading > 0) {
        return 409;
    }
    worker->sequence++;
    if (strcmp(operation, "load") == 0) {
        begin_load(worker, model);
    }
    else {
        unload(worker, model);
    }
    return 202;
}

static void
handle_order(struct exchange *exchange, struct worker *worker)
{
    JsonParser *parser = json_parser_new();
    int status = 400;
    if (json_parser_load_from_data(parser, exchange->body->str,
                                   (gssize)exchange->body->len, NULL) &&
        JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        status = carry_out_order(
            worker, json_node_get_object(json_parser_get_root(parser)));
    }
    exchange_reply_text(exchange, status, "");
    add_notice(exchange, worker);
    g_object_unref(parser);
}

/* See users.h. */
bool
users_handle_worker(struct exchange *exchange)
{
    struct users *users = exchange->standin->mode_data;
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_DAEMON);
    struct worker *worker = NULL;
    for (guint i = 0; i < users->workers->len; i++) {
        struct worker *candidate = g_ptr_array_index(users->workers, i);
        worker = candidate->daemon == info->daemon ? candidate : worker;
    }
    if (worker == NULL) {
        return false;
    }
    if (worker->leaves || worker->wait_ms > 0) {
        record_noticed_call(exchange, worker);
    }
    const char *expected = exchange_header(exchange, "Expect-Instance");
    if (expected != NULL && strcmp(expected, worker->name) != 0) {
        reject(exchange, worker, 421, "another instance\n");
    }
    else if (worker->wait_ms > 0) {
        reject(exchange, worker, 503, "wait\n");
    }
    else if (strcmp(exchange->path, "/api/report") == 0) {
        write_report(exchange, worker);
        add_notice(exchange, worker);
    }
    else if (strcmp(exchange->path, "/api/order") == 0) {
        handle_order(exchange, worker);
    }
    else {
        handle_request(exchange, worker);
    }
    return true;
}

/* ---- control ---- */

static char *
copy_query(const struct exchange *exchange, const char *name)
{
    const char *text = exchange_query(exchange, name);
    return g_strdup(text == NULL ? "" : text);
}

static struct worker *
add_worker(struct users *users, const char *name)
{
    struct worker *worker = g_new0(struct worker, 1);
    worker->users = users;
    worker->name = g_strdup(name);
    worker->models = g_ptr_array_new_with_free_func(g_free);
    worker->waiting = g_queue_new();
    worker->rejections = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_ptr_array_add(users->workers, worker);
    return worker;
}

static void
stop_worker(struct worker *worker)
{
    if (worker->daemon != NULL) {
        standin_close_daemon(worker->users->standin, worker->daemon);
        worker->daemon = NULL;
    }
}

/* Starts the worker's process; one that starts again holds nothing. */
static void
restart_worker(struct worker *worker)
{
    stop_worker(worker);
    timer_cancel(worker->users->standin, worker->lapse);
    worker->lapse = NULL;
    if (worker->boot > 0) {
        g_ptr_array_set_size(worker->models, 0);
    }
    worker->born_ms = g_get_real_time() / 1000;
    worker->draining = false;
    worker->loading = 0;
    worker->sequence = 0;
    worker->writes = 0;
    worker->fence = 0;
    change_running(worker, -(int)worker->running);
    worker->boot++;
    worker->daemon =
        standin_open_daemon(worker->users->standin, &worker->port);
    put_entry(worker);
}

static void
start_worker(struct worker *worker, const struct exchange *exchange)
{
    g_free(worker->service);
    g_free(worker->zone);
    g_free(worker->version);
    worker->service = copy_query(exchange, "service");
    worker->zone = copy_query(exchange, "zone");
    worker->version = copy_query(exchange, "version");
    g_autofree char *models = copy_query(exchange, "models");
    char **names = g_strsplit(models, ",", -1);
    for (size_t i = 0; worker->boot == 0 && names[i] != NULL; i++) {
        if (names[i][0] != '\0') {
            g_ptr_array_add(worker->models, g_strdup(names[i]));
        }
    }
    g_strfreev(names);
    restart_worker(worker);
}

static void
lapse(void *data)
{
    struct worker *worker = data;
    worker->lapse = NULL;
    remove_entry(worker);
}

static void
crash_worker(struct worker *worker)
{
    stop_worker(worker);
    if (worker->lapse == NULL) {
        worker->lapse =
            timer_add(worker->users->standin, LAPSE_US, lapse, worker);
    }
}

/* See users.h. */
bool
users_control_worker(struct exchange *exchange)
{
    struct users *users = exchange->standin->mode_data;
    const char *name = exchange_query(exchange, "name");
    const char *action = exchange_query(exchange, "action");
    if (strcmp(exchange->path, "/control/worker") != 0 || name == NULL ||
        action == NULL) {
        return false;
    }
    struct worker *worker = find_worker(users, name);
    if (worker == NULL) {
        worker = add_worker(users, name);
    }
    if (strcmp(action, "start") == 0) {
        start_worker(worker, exchange);
    }
    else if (strcmp(action, "crash") == 0) {
        crash_worker(worker);
    }
    else if (strcmp(action, "drain") == 0) {
        worker->draining = true;
        put_entry(worker);
    }
    else if (strcmp(action, "remove") == 0) {
        remove_entry(worker);
    }
    else if (strcmp(action, "write") == 0) {
        put_entry(worker);
    }
    else if (strcmp(action, "leave") == 0) {
        worker->leaves = true;
    }
    else if (strcmp(action, "wait") == 0) {
        const char *ms = exchange_query(exchange, "ms");
        worker->wait_ms = ms == NULL ? 0 : g_ascii_strtoll(ms, NULL, 10);
    }
    else {
        return false;
    }
    return true;
}

/* See users.h. */
void
users_record_workers(struct users *users, JsonBuilder *out)
{
    json_builder_set_member_name(out, "runs");
    json_builder_begin_array(out);
    for (guint i = 0; i < runs->len; i++) {
        const struct users_run *run = g_ptr_array_index(runs, i);
        json_builder_begin_object(out);
        json_text(out, "request_id", run->request_id);
        json_text(out, "resumes", run->resumes == NULL ? "" : run->resumes);
        json_text(out, "worker", run->worker);
        json_text(out, "version", run->version);
        json_number(out, "first", run->first);
        json_number(out, "at_ms", run->at / 1000);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
    json_builder_set_member_name(out, "part_arrivals");
    json_builder_begin_array(out);
    for (guint i = 0; i < part_arrivals->len; i++) {
        const struct part_arrival *arrival =
            &g_array_index(part_arrivals, struct part_arrival, i);
        json_builder_begin_object(out);
        json_number(out, "at_ms", arrival->at / 1000);
        json_number(out, "crashed", arrival->crashed);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
    json_builder_set_member_name(out, "noticed_calls");
    json_builder_begin_array(out);
    for (guint i = 0; i < noticed_calls->len; i++) {
        const struct noticed_call *call =
            &g_array_index(noticed_calls, struct noticed_call, i);
        json_builder_begin_object(out);
        json_number(out, "at_ms", call->at / 1000);
        json_text(out, "worker", call->worker->name);
        json_text(out, "request_id",
                  call->request_id == NULL ? "" : call->request_id);
        json_number(out, "wait_ms", call->wait_ms);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
    json_builder_set_member_name(out, "workers");
    json_builder_begin_array(out);
    for (guint i = 0; i < users->workers->len; i++) {
        struct worker *worker = g_ptr_array_index(users->workers, i);
        change_running(worker, 0);
        json_builder_begin_object(out);
        json_text(out, "name", worker->name);
        json_number(out, "slots", get_slots(worker));
        json_number(out, "slot_us", worker->slot_us);
        json_number(out, "rejected", worker->rejected);
        json_number(out, "falls", worker->falls);
        json_number(out, "fenced", worker->fenced);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
}

/* See users.h. */
void
users_init_workers(struct users *users)
{
    users->workers = g_ptr_array_new();
    runs = g_ptr_array_new();
    part_arrivals = g_array_new(FALSE, FALSE, sizeof(struct part_arrival));
    noticed_calls = g_array_new(FALSE, FALSE, sizeof(struct noticed_call));
}
