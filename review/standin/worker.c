/* Workers: engines, which are ordered to hold models, and plain services. */

#include "world.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    SLOTS = 32,
    HEARTBEAT_MS = 1200,
    /* A report tells what was this long ago, in steps of 100 ms. */
    REPORT_LAG_STEPS = 2,
};

void (*worker_on_run)(const struct worker *worker,
                      const struct http_message *request);
long (*worker_break_off)(struct worker *worker, const char *id,
                         const char *answer, size_t length);

/* Writes an answer, or the part of it before the worker breaks off.  False:
 * the connection is to be closed. */
static bool
write_answer(struct worker *worker, int fd, const char *id,
             const char *answer, size_t length)
{
    long at = worker_break_off == NULL
                  ? -1
                  : worker_break_off(worker, id, answer, length);
    return http_write(fd, answer, at < 0 ? length : (size_t)at) && at < 0;
}

static int64_t
wall_ms(void)
{
    return g_get_real_time() / 1000;
}

/* "models":[...] with the adapters of each; lock held. */
static void
append_models(const struct worker *worker, GString *out)
{
    GHashTableIter iterator;
    gpointer model = NULL;
    bool first = true;
    g_string_append(out, "\"models\":[");
    g_hash_table_iter_init(&iterator, worker->items);
    while (g_hash_table_iter_next(&iterator, &model, NULL)) {
        GHashTableIter others;
        gpointer name = NULL;
        bool first_adapter = true;
        size_t length = strlen(model);
        if (strchr(model, '/') != NULL) {
            continue;
        }
        g_string_append_printf(
            out, "%s{\"name\":\"%s\",\"version\":1,\"adapters\":[",
            first ? "" : ",", (char *)model);
        first = false;
        g_hash_table_iter_init(&others, worker->items);
        while (g_hash_table_iter_next(&others, &name, NULL)) {
            const char *text = name;
            if (strncmp(text, model, length) == 0 && text[length] == '/') {
                g_string_append_printf(out, "%s\"%s\"",
                                       first_adapter ? "" : ",",
                                       text + length + 1);
                first_adapter = false;
            }
        }
        g_string_append(out, "]}");
    }
    g_string_append(out, "]");
}

static void
put_entry(struct worker *worker)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_autofree char *key = g_strconcat("servers/", worker->id, NULL);
    g_string_printf(
        out,
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
        "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
        "\"cold_remaining_ms\":0,\"sequence\":%" G_GINT64_FORMAT
        ",\"born\":%" G_GINT64_FORMAT,
        worker->service, worker->port, worker->zone, worker->version, SLOTS,
        worker->draining ? "draining" : "ready", ++worker->writes,
        worker->born_ms);
    if (worker->is_engine) {
        g_string_append(out, ",\"stage\":\"both\",");
        append_models(worker, out);
        g_string_append(out,
                        ",\"available\":{\"in_memory\":[],\"on_disk\":[]}");
    }
    g_string_append(out, "}");
    store_put(key, out->str, 0);
}

static void
take_report(struct worker *worker)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_string_printf(out,
                    "{\"stage\":\"both\",\"busy\":false,\"sequence\":%"
                    G_GINT64_FORMAT ",\"queued\":0,\"running\":%u,"
                    "\"kv_used\":1000,\"kv_total\":120000,\"handles\":0,"
                    "\"pending\":[],\"born\":%" G_GINT64_FORMAT ",",
                    worker->sequence, worker->running, worker->born_ms);
    append_models(worker, out);
    g_string_append(out, "}");
    g_ptr_array_add(worker->reports, g_strdup(out->str));
    if (worker->reports->len > REPORT_LAG_STEPS + 1) {
        g_ptr_array_remove_index(worker->reports, 0);
    }
}

/* Takes reports and writes the entry from time to time. */
static void *
run_clock(void *data)
{
    struct worker *worker = data;
    for (unsigned step = 0;; step++) {
        pthread_mutex_lock(&world_lock);
        if (worker->is_engine) {
            take_report(worker);
        }
        if (step % (HEARTBEAT_MS / 100) == 0 && !worker->gone) {
            put_entry(worker);
        }
        pthread_mutex_unlock(&world_lock);
        g_usleep(100 * 1000);
    }
    return NULL;
}

/* Carries an order out; lock held.  Returns the status. */
static int
carry_out(struct worker *worker, JsonObject *order)
{
    const char *operation =
        json_object_get_string_member(order, "operation");
    const char *model = json_object_get_string_member(order, "model");
    const char *adapter =
        json_object_get_string_member_with_default(order, "adapter", NULL);
    int64_t expected = json_object_get_int_member_with_default(
        order, "precondition", worker->sequence);
    if (expected != worker->sequence) {
        return 409;
    }
    if (adapter != NULL && !g_hash_table_contains(worker->items, model)) {
        return 421;
    }
    g_autofree char *name =
        adapter == NULL ? g_strdup(model)
                        : g_strconcat(model, "/", adapter, NULL);
    bool loads = strcmp(operation, "load") == 0;
    if (loads == (bool)g_hash_table_contains(worker->items, name)) {
        return 200;
    }
    worker->sequence++;
    if (loads) {
        g_hash_table_add(worker->items, g_strdup(name));
        return 202;
    }
    g_hash_table_remove(worker->items, name);
    return adapter == NULL ? 202 : 200;
}

static int
take_order(struct worker *worker, const struct http_message *call)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, call->body->str,
                                    (gssize)call->body->len, NULL)) {
        return 400;
    }
    JsonObject *order = json_node_get_object(json_parser_get_root(parser));
    struct worker_order entry = {
        .at = world_now(),
        .holder = g_strdup(json_object_get_string_member(order, "holder")),
        .fence = json_object_get_int_member(order, "fencing_token"),
    };
    entry.status = carry_out(worker, order);
    g_array_append_val(worker->orders, entry);
    world_record(
        "order at %s: %s %s %s by %s, fencing token %" G_GINT64_FORMAT
        ", precondition %" G_GINT64_FORMAT " -> %d",
        worker->id, json_object_get_string_member(order, "operation"),
        json_object_get_string_member(order, "model"),
        json_object_get_string_member_with_default(order, "adapter", ""),
        entry.holder, entry.fence,
        json_object_get_int_member_with_default(order, "precondition", -1),
        entry.status);
    return entry.status;
}

static bool
run_stream(struct worker *worker, const struct http_message *call, int fd,
           const char *id)
{
    const char *usage = http_header(call, "Token-Usage");
    const char *last = http_header(call, "Last-Event-Id");
    const char *comma = usage == NULL ? NULL : strchr(usage, ',');
    uint64_t count =
        comma == NULL ? 10 : g_ascii_strtoull(comma + 1, NULL, 10);
    uint64_t next =
        last == NULL ? 1 : g_ascii_strtoull(last, NULL, 10) + 1;
    char text[512];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                          "Server-Signature: %s\r\nWeight-Versions: 1\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          id, worker->id);
    bool good = write_answer(worker, fd, id, text, (size_t)length);
    for (; good && next <= count; next++) {
        char event[128];
        char byte = 0;
        g_usleep((gulong)(worker->step_s * 1e6));
        if (worker->gone ||
            recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            return false; /* or the caller has closed the connection */
        }
        int size = snprintf(event, sizeof(event),
                            "id: %" G_GUINT64_FORMAT
                            "\ndata: %s/%" G_GUINT64_FORMAT "\n\n",
                            next, id, next);
        length = snprintf(text, sizeof(text), "%x\r\n%s\r\n", (unsigned)size,
                          event);
        good = http_write(fd, text, (size_t)length);
    }
    return good && http_write(fd, "0\r\n\r\n", 5);
}

/* See world.h. */
char *
worker_make_body(const char *id)
{
    GString *body = g_string_new(NULL);
    g_string_printf(body, "done %s\n", id);
    while (body->len < 800) {
        g_string_append(body, "0123456789abcdef\n");
    }
    return g_string_free(body, FALSE);
}

static bool
run_plain(struct worker *worker, int fd, const char *id)
{
    g_autofree char *body = worker_make_body(id);
    g_autofree char *answer = g_strdup_printf(
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\n"
        "Content-Type: text/plain\r\nContent-Length: %zu\r\n\r\n%s",
        id, worker->id, strlen(body), body);
    g_usleep((gulong)(worker->step_s * 1e6));
    return write_answer(worker, fd, id, answer, strlen(answer));
}

/* Whether the worker has a place and what the request names; else replies. */
static bool
admit(struct worker *worker, const struct http_message *call, int fd,
      const char *id, bool *good)
{
    const char *model = http_header(call, "Model");
    int status = 0;
    pthread_mutex_lock(&world_lock);
    if (worker->is_engine &&
        (model == NULL || !g_hash_table_contains(worker->items, model))) {
        status = 421;
    }
    else if (worker->running >= SLOTS) {
        status = 503;
    }
    else {
        worker->running++;
        world_record("request %s runs at %s", id, worker->id);
        if (worker_on_run != NULL) {
            worker_on_run(worker, call);
        }
    }
    pthread_mutex_unlock(&world_lock);
    if (status != 0) {
        g_autofree char *headers =
            g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n", id);
        *good = http_reply(fd, status, headers, "", 0);
    }
    return status == 0;
}

static bool
handle(struct worker *worker, const struct http_message *call, int fd)
{
    const char *expected = http_header(call, "Expect-Instance");
    const char *id = http_header(call, "Request-Id");
    bool good = true;
    if (expected != NULL && strcmp(expected, worker->id) != 0) {
        return http_reply(fd, 421, "Not-Executed: 1\r\n", "", 0);
    }
    if (strcmp(call->path, "/api/report") == 0) {
        pthread_mutex_lock(&world_lock);
        g_autofree char *report =
            g_strdup(g_ptr_array_index(worker->reports, 0));
        pthread_mutex_unlock(&world_lock);
        return http_reply(fd, 200, "Content-Type: application/json\r\n",
                          report, strlen(report));
    }
    if (strcmp(call->path, "/api/order") == 0) {
        pthread_mutex_lock(&world_lock);
        int status = take_order(worker, call);
        pthread_mutex_unlock(&world_lock);
        return http_reply(fd, status, "Content-Type: application/json\r\n",
                          "{}", 2);
    }
    if (strcmp(call->path, "/healthz") == 0) {
        g_autofree char *headers =
            g_strdup_printf("Instance-Id: %s\r\n", worker->id);
        return http_reply(fd, worker->draining ? 503 : 200, headers, "", 0);
    }
    if (id == NULL) {
        return http_reply(fd, 400, "Not-Executed: 1\r\n", "", 0);
    }
    if (!admit(worker, call, fd, id, &good)) {
        return good;
    }
    good = worker->is_engine ? run_stream(worker, call, fd, id)
                             : run_plain(worker, fd, id);
    pthread_mutex_lock(&world_lock);
    worker->running--;
    pthread_mutex_unlock(&world_lock);
    return good;
}

struct caller {
    struct worker *worker;
    int fd;
};

static void *
serve_caller(void *data)
{
    struct caller caller = *(struct caller *)data;
    struct http_connection connection = {.fd = caller.fd};
    struct http_message *call = NULL;
    bool good = true;
    g_free(data);
    while (good && (call = http_read(&connection, false)) != NULL) {
        good = handle(caller.worker, call, caller.fd);
        http_free(call);
    }
    close(caller.fd);
    return NULL;
}

struct listener {
    struct worker *worker;
    int fd;
};

static void *
run(void *data)
{
    const struct listener *listener = data;
    for (;;) {
        int fd = accept(listener->fd, NULL, NULL);
        if (fd >= 0 && listener->worker->gone) {
            close(fd);
        }
        else if (fd >= 0) {
            struct caller *caller = g_new(struct caller, 1);
            *caller = (struct caller){listener->worker, fd};
            world_start_thread(serve_caller, caller);
        }
    }
    return NULL;
}

void
worker_drain(struct worker *worker)
{
    worker->draining = true;
    put_entry(worker);
    world_record("%s reports that it leaves", worker->id);
}

void
worker_leave(struct worker *worker)
{
    g_autofree char *key = g_strconcat("servers/", worker->id, NULL);
    worker->gone = true;
    store_remove(key);
    world_record("%s has left", worker->id);
}

void
worker_write_entry(struct worker *worker)
{
    put_entry(worker);
}

struct worker *
worker_start(const char *id, const char *service, const char *zone,
             const char *models, double step_s)
{
    return worker_start_version(id, service, zone, models, step_s, "v1");
}

struct worker *
worker_start_version(const char *id, const char *service, const char *zone,
                     const char *models, double step_s, const char *version)
{
    struct worker *worker = g_new0(struct worker, 1);
    struct listener *listener = g_new0(struct listener, 1);
    worker->id = g_strdup(id);
    worker->service = g_strdup(service);
    worker->zone = g_strdup(zone);
    worker->version = g_strdup(version);
    worker->is_engine = models != NULL;
    worker->born_ms = wall_ms();
    worker->step_s = step_s;
    worker->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->reports = g_ptr_array_new_with_free_func(g_free);
    worker->orders = g_array_new(FALSE, FALSE, sizeof(struct worker_order));
    char **names = g_strsplit(models == NULL ? "" : models, ",", -1);
    for (size_t i = 0; names[i] != NULL; i++) {
        if (names[i][0] != '\0') {
            g_hash_table_add(worker->items, g_strdup(names[i]));
        }
    }
    g_strfreev(names);
    listener->worker = worker;
    listener->fd = world_listen("127.0.0.1", &worker->port);
    take_report(worker);
    world_start_thread(run, listener);
    world_start_thread(run_clock, worker);
    return worker;
}
