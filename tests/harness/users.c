/* A fleet on the users' platform, and callers of its streams. */

#include "harness/harness.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

void
harness_users_start(struct harness_fleet *fleet)
{
    static const char *const args[] = {"token_us=20000", "load_ms=300", NULL};
    harness_standin_start(&fleet->users, fleet->build_directory, "users",
                          args);
}

/* Starts a relay in front of an address. */
static void
start_relay(const struct harness_fleet *fleet, struct harness_standin *relay,
            const char *address)
{
    g_autofree char *target = g_strdup_printf("target=%s", address);
    const char *const args[] = {target, NULL};
    harness_standin_start(relay, fleet->build_directory, "relay", args);
}

/* Other nodes reach the node by its relay: in the node's entry, as the store
 * serves it, the relay's address stands for the node's own. */
void
harness_users_prepare_node(struct harness_fleet *fleet,
                           struct harness_node *node)
{
    start_relay(fleet, &node->store_path, fleet->users.address);
    start_relay(fleet, &node->relay, node->peer_address);
    g_autofree char *path = g_strdup_printf(
        "alias?from=%s&to=%s", node->peer_address, node->relay.address);
    g_free(harness_call_control(&fleet->users, path, ""));
}

static void
start_worker(struct harness_fleet *fleet, const char *service,
             const char *name, const char *version, const char *models)
{
    g_autofree char *path = g_strdup_printf(
        "worker?name=%s&action=start&service=%s&zone=caerdydd&version=%s"
        "&models=%s",
        name, service, version, models);
    g_free(harness_call_control(&fleet->users, path, ""));
}

void
harness_users_start_worker(struct harness_fleet *fleet, const char *name,
                           const char *version, const char *models)
{
    start_worker(fleet, "engines", name, version, models);
}

void
harness_users_start_service(struct harness_fleet *fleet, const char *name)
{
    start_worker(fleet, "orders", name, "v1", "");
}

void
harness_users_change_worker(struct harness_fleet *fleet, const char *name,
                            const char *action)
{
    g_autofree char *path =
        g_strdup_printf("worker?name=%s&action=%s", name, action);
    g_free(harness_call_control(&fleet->users, path, ""));
}

void
harness_users_put_config(struct harness_fleet *fleet, const char *json)
{
    g_free(harness_call_control(&fleet->users, "put?key=op/config", json));
}

static void
cut(const struct harness_standin *relay, const char *form)
{
    g_autofree char *path = g_strconcat("cut?form=", form, NULL);
    g_free(harness_call_control(relay, path, ""));
}

void
harness_users_cut_store(const struct harness_node *node, const char *form)
{
    cut(&node->store_path, form);
}

void
harness_users_cut_peers(const struct harness_node *node, const char *form)
{
    cut(&node->relay, form);
}

/* ---- callers ---- */

enum {
    /* A stream that brings nothing for this long is given up. */
    MAX_SILENCE_MS = 2000,
};

static size_t
on_data(char *bytes, size_t size, size_t count, void *data)
{
    struct harness_stream *stream = data;
    stream->last_data_ms = harness_now_ms();
    g_string_append_len(stream->body, bytes, (gssize)(size * count));
    return size * count;
}

/* For CURLOPT_XFERINFOFUNCTION: not 0 ends the transfer. */
static int
on_progress(void *data, curl_off_t total, curl_off_t now, curl_off_t up_total,
            curl_off_t up_now)
{
    const struct harness_stream *stream = data;
    (void)total;
    (void)now;
    (void)up_total;
    (void)up_now;
    return harness_now_ms() - stream->last_data_ms > MAX_SILENCE_MS;
}

static size_t
on_header(char *line, size_t size, size_t count, void *data)
{
    static const char name[] = "Retry-After:";
    struct harness_stream *stream = data;
    if (size * count > sizeof name &&
        g_ascii_strncasecmp(line, name, sizeof name - 1) == 0) {
        stream->retry_after_s = g_ascii_strtod(line + sizeof name - 1, NULL);
    }
    return size * count;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    if (value == NULL) {
        return list;
    }
    g_autofree char *line = g_strdup_printf("%s: %s", name, value);
    return curl_slist_append(list, line);
}

static struct curl_slist *
make_headers(const struct harness_stream_call *call)
{
    g_autofree char *usage = g_strdup_printf("100,%u", call->events);
    g_autofree char *deadline =
        g_strdup_printf("%" G_GINT64_FORMAT, call->deadline_ms);
    struct curl_slist *headers = NULL;
    headers = add_header(headers, "Host", call->host);
    headers = add_header(headers, "Request-Id", call->request_id);
    headers = add_header(headers, "Resumes", call->resumes);
    headers = add_header(headers, "Last-Event-Id", call->last_event_id);
    headers = add_header(headers, "Model", call->model);
    headers = add_header(headers, "Token-Usage", usage);
    headers = add_header(headers, "Prompt-Prefix", call->prompt_prefix);
    headers = add_header(headers, "Deadline-Ms", deadline);
    return curl_slist_append(headers, "Expect:");
}

struct harness_stream *
harness_request_stream(const struct harness_stream_call *call)
{
    struct harness_stream *stream = g_new0(struct harness_stream, 1);
    struct curl_slist *headers = make_headers(call);
    g_autofree char *url =
        g_strdup_printf("http://%s%s", call->address, call->path);
    CURL *curl = curl_easy_init();
    long status = 0;
    stream->body = g_string_new(NULL);
    stream->last_data_ms = harness_now_ms();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->deadline_ms);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, stream);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
                     call->body == NULL ? "{}" : call->body);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, stream);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, stream);
    stream->complete = curl_easy_perform(curl) == CURLE_OK;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    stream->status = (int)status;
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return stream;
}

void
harness_stream_free(struct harness_stream *stream)
{
    g_string_free(stream->body, TRUE);
    g_free(stream);
}
