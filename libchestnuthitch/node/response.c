/*
 * The response to one caller's request.
 *
 * Lock order: a response's lock is taken after its exchange's; while it is
 * held only the lock of the response memory and the HTTP library's locks are
 * taken.
 */

#include "node/response.h"

#include "buffers/buffers.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum {
    /* Bytes that the library requests at a time, and allocates for each open
     * stream: about ten events. */
    STREAM_BLOCK_BYTES = 2 * 1024,
};

struct ch_response_memory {
    struct ch_client *client;
    pthread_mutex_t lock;
    struct ch_unsent unsent;
};

struct ch_response {
    int references;
    char id[CH_RESPONSE_MAX_ID_BYTES + 1];
    const char *id_header; /* NULL: Chestnuthitch's headers are sent */
    int fd;
    pthread_mutex_t lock;
    struct MHD_Connection *connection; /* NULL once the library has finished */
    bool suspended;
    bool answered; /* a complete response or the head of a stream was given */
    bool streams;
    bool ended;   /* no more events will be added */
    bool aborted; /* the connection is to be closed without ending the
                          stream */
    struct ch_response_data data; /* owns its strings */
    GByteArray *unsent;
    size_t taken; /* bytes at the start of unsent that the library has taken */
    struct ch_response_watcher watcher;
    void *watcher_data;
    struct ch_response_memory *memory;   /* NULL: not counted */
    struct ch_unsent_entry unsent_entry; /* guarded by the memory's lock */
};

/* See response.h. */
struct ch_response_memory *
ch_response_memory_new(struct ch_client *client, size_t bound)
{
    struct ch_response_memory *memory = g_new0(struct ch_response_memory, 1);
    memory->client = client;
    memory->unsent.bound = bound;
    pthread_mutex_init(&memory->lock, NULL);
    return memory;
}

/* See response.h. */
void
ch_response_memory_free(struct ch_response_memory *memory)
{
    if (memory != NULL) {
        pthread_mutex_destroy(&memory->lock);
        g_free(memory);
    }
}

static void
add_number(JsonBuilder *builder, const char *name, size_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)value);
}

/* See response.h. */
void
ch_response_memory_write_status(struct ch_response_memory *memory,
                                JsonBuilder *builder)
{
    if (memory == NULL) {
        return;
    }
    pthread_mutex_lock(&memory->lock);
    struct ch_unsent unsent = memory->unsent;
    pthread_mutex_unlock(&memory->lock);
    json_builder_set_member_name(builder, "unsent");
    json_builder_begin_object(builder);
    add_number(builder, "bytes", unsent.bytes);
    add_number(builder, "highest", unsent.highest);
    add_number(builder, "bound", unsent.bound);
    add_number(builder, "responses", unsent.count);
    json_builder_end_object(builder);
}

/* Creates the response for a connection of the library; request_id is copied.
 */
struct ch_response *
ch_response_new(struct MHD_Connection *connection, const char *request_id,
                struct ch_response_memory *memory)
{
    struct ch_response *response = g_new0(struct ch_response, 1);
    response->references = 1;
    response->connection = connection;
    response->fd = -1;
    response->memory = memory;
    response->unsent = g_byte_array_new();
    g_strlcpy(response->id, request_id, sizeof(response->id));
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != NULL) {
        response->fd = info->connect_fd;
    }
    pthread_mutex_init(&response->lock, NULL);
    return response;
}

struct ch_response *
ch_response_ref(struct ch_response *response)
{
    g_atomic_int_inc(&response->references);
    return response;
}

static void
free_headers(struct ch_response *response)
{
    for (size_t i = 0; i < response->data.header_count; i++) {
        g_free((char *)response->data.headers[i].name);
        g_free((char *)response->data.headers[i].value);
    }
    g_free((struct ch_http_header *)response->data.headers);
}

/* Copies the upstream's headers.  Lock held. */
static void
copy_headers(struct ch_response *response,
             const struct ch_http_header *headers, size_t count)
{
    struct ch_http_header *copy = g_new0(struct ch_http_header, count + 1);
    for (size_t i = 0; i < count; i++) {
        copy[i].name = g_strdup(headers[i].name);
        copy[i].value = g_strdup(headers[i].value);
    }
    response->data.headers = copy;
    response->data.header_count = count;
}

/* Releases a reference; the last one frees the response. */
void
ch_response_unref(struct ch_response *response)
{
    if (!g_atomic_int_dec_and_test(&response->references)) {
        return;
    }
    if (response->watcher.unref_data != NULL) {
        response->watcher.unref_data(response->watcher_data);
    }
    g_free((char *)response->data.content_type);
    g_free((char *)response->data.allow);
    g_free(response->data.body);
    free_headers(response);
    g_byte_array_free(response->unsent, TRUE);
    pthread_mutex_destroy(&response->lock);
    g_free(response);
}

/* The request's ID as sent to the caller. */
const char *
ch_response_get_id(const struct ch_response *response)
{
    return response->id;
}

/* The caller's socket; valid until the library has finished with the request.
 */
int
ch_response_get_fd(const struct ch_response *response)
{
    return response->fd;
}

/* See response.h. */
void
ch_response_use_caller_id(struct ch_response *response, const char *header,
                          const char *id)
{
    response->id_header = header;
    if (id != NULL) {
        g_strlcpy(response->id, id, sizeof(response->id));
    }
}

/* See response.h. */
void
ch_response_set_watcher(struct ch_response *response,
                        const struct ch_response_watcher *watcher, void *data)
{
    pthread_mutex_lock(&response->lock);
    response->watcher = *watcher;
    response->watcher_data = data;
    pthread_mutex_unlock(&response->lock);
}

/* Resumes the connection if it is suspended. Lock held. */
static void
resume_connection(struct ch_response *response)
{
    if (response->suspended && response->connection != NULL) {
        response->suspended = false;
        MHD_resume_connection(response->connection);
    }
}

/* Counts the bytes that the response holds. Not once the library has finished
 * with it: its entry must not be listed when the response is freed. Lock held.
 */
static void
count_unsent(struct ch_response *response, size_t bytes)
{
    struct ch_response_memory *memory = response->memory;
    if (memory != NULL && response->connection != NULL) {
        pthread_mutex_lock(&memory->lock);
        ch_unsent_set(&memory->unsent, &response->unsent_entry, bytes);
        pthread_mutex_unlock(&memory->lock);
    }
}

/* Gives back what the response is counted with, for good. Lock held. */
static void
release_unsent(struct ch_response *response)
{
    struct ch_response_memory *memory = response->memory;
    if (memory != NULL) {
        pthread_mutex_lock(&memory->lock);
        ch_unsent_release(&memory->unsent, &response->unsent_entry);
        pthread_mutex_unlock(&memory->lock);
    }
}

/* The response that is to be cut off next, with a reference; NULL: none. A
 * listed response has the reference of its incoming request, which is
 * released only after the entry is. */
static struct ch_response *
choose_largest(struct ch_response_memory *memory, size_t *bytes)
{
    pthread_mutex_lock(&memory->lock);
    struct ch_unsent_entry *entry = ch_unsent_choose(&memory->unsent, bytes);
    struct ch_response *largest =
        entry == NULL
            ? NULL
            : ch_response_ref(
                  (struct ch_response *)(void *)((char *)entry -
                                                 offsetof(struct ch_response,
                                                          unsent_entry)));
    pthread_mutex_unlock(&memory->lock);
    return largest;
}

/* Cuts off the largest responses while all together hold too much. The bound
 * of one response does not bound their sum: with 4,096 connections it would be
 * 4 GB. No response's lock held. */
static void
enforce_bound(struct ch_response_memory *memory)
{
    struct ch_response *largest = NULL;
    size_t bytes = 0;
    while (memory != NULL &&
           (largest = choose_largest(memory, &bytes)) != NULL) {
        ch_metrics_add_count(memory->client->metrics, CH_COUNT_UNSENT_CUT, 1);
        ch_log(memory->client, CH_LOG_WARNING, "unread-response-cut",
               CH_F_STR("request_id", largest->id),
               CH_F_INT("bytes", (int64_t)bytes),
               CH_F_INT("bound", (int64_t)memory->unsent.bound), CH_F_END);
        ch_response_abort(largest);
        ch_response_unref(largest);
    }
}

/* Gives a complete response; a second one is ignored. */
void
ch_response_send(struct ch_response *response,
                 const struct ch_response_data *data)
{
    pthread_mutex_lock(&response->lock);
    if (response->answered) {
        pthread_mutex_unlock(&response->lock);
        g_free(data->body);
        return;
    }
    response->answered = true;
    response->data = *data;
    response->data.content_type = g_strdup(data->content_type);
    response->data.allow = g_strdup(data->allow);
    copy_headers(response, data->headers, data->header_count);
    count_unsent(response, data->body_length);
    resume_connection(response);
    pthread_mutex_unlock(&response->lock);
    enforce_bound(response->memory);
}

/* Starts a response whose body is added later. */
static void
start_body(struct ch_response *response, int status, const char *content_type,
           const struct ch_http_header *headers, size_t count)
{
    pthread_mutex_lock(&response->lock);
    if (!response->answered) {
        response->answered = true;
        response->streams = true;
        response->data.status = status;
        response->data.outcome = CH_RAN;
        response->data.content_type = g_strdup(content_type);
        copy_headers(response, headers, count);
        resume_connection(response);
    }
    pthread_mutex_unlock(&response->lock);
}

/* See response.h. */
void
ch_response_start_stream(struct ch_response *response,
                         const struct ch_http_header *headers, size_t count)
{
    start_body(response, 200, "text/event-stream", headers, count);
}

/* See response.h. */
void
ch_response_start_forward(struct ch_response *response, int status,
                          const struct ch_http_header *headers, size_t count)
{
    start_body(response, status, NULL, headers, count);
}

/* Aborts the stream. The socket is shut down because the library may be
 * waiting for a caller that does not read, and would not notice the flag. Lock
 * held. */
static void
abort_stream(struct ch_response *response)
{
    response->aborted = true;
    release_unsent(response);
    g_byte_array_free(response->unsent, TRUE);
    response->unsent = g_byte_array_new();
    response->taken = 0;
    if (response->connection != NULL && response->fd >= 0) {
        shutdown(response->fd, SHUT_RDWR);
    }
    resume_connection(response);
}

/* See response.h. */
void
ch_response_abort(struct ch_response *response)
{
    pthread_mutex_lock(&response->lock);
    abort_stream(response);
    pthread_mutex_unlock(&response->lock);
}

/* Appends an event. The stream of a caller that leaves more than
 * CH_RESPONSE_MAX_UNSENT_BYTES unread is aborted: storing its tokens would
 * take memory from the other callers, and waiting for it would stall the
 * thread that serves them. */
bool
ch_response_add_event(struct ch_response *response, const char *bytes,
                      size_t length)
{
    pthread_mutex_lock(&response->lock);
    bool good =
        response->connection != NULL && !response->aborted && !response->ended;
    if (good && response->unsent->len - response->taken + length >
                    CH_RESPONSE_MAX_UNSENT_BYTES) {
        abort_stream(response);
        good = false;
    }
    if (good) {
        g_byte_array_append(response->unsent, (const guint8 *)bytes,
                            (guint)length);
        count_unsent(response, response->unsent->len - response->taken);
        resume_connection(response);
    }
    pthread_mutex_unlock(&response->lock);
    if (good) {
        enforce_bound(response->memory);
    }
    return good;
}

/* Ends the stream once the stored events are sent. */
void
ch_response_end_stream(struct ch_response *response)
{
    pthread_mutex_lock(&response->lock);
    response->ended = true;
    resume_connection(response);
    pthread_mutex_unlock(&response->lock);
}

/* Copies up to max unsent bytes to out and returns their number. Lock held. */
static size_t
take_unsent(struct ch_response *response, char *out, size_t max)
{
    size_t length = MIN(max, response->unsent->len - response->taken);
    memcpy(out, response->unsent->data + response->taken, length);
    response->taken += length;
    if (response->taken == response->unsent->len) {
        g_byte_array_set_size(response->unsent, 0);
        response->taken = 0;
    }
    else if (response->taken > CH_RESPONSE_MAX_UNSENT_BYTES / 16) {
        g_byte_array_remove_range(response->unsent, 0, (guint)response->taken);
        response->taken = 0;
    }
    return length;
}

/* The library requests bytes of a stream. When there are none the connection
 * is suspended, since the library would otherwise call again in a loop. */
static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t max)
{
    (void)position;
    struct ch_response *response = data;
    ssize_t result = 0;
    pthread_mutex_lock(&response->lock);
    if (response->aborted) {
        result = MHD_CONTENT_READER_END_WITH_ERROR;
    }
    else if (response->unsent->len > response->taken) {
        result = (ssize_t)take_unsent(response, out, max);
        count_unsent(response, response->unsent->len - response->taken);
    }
    else if (response->ended) {
        result = MHD_CONTENT_READER_END_OF_STREAM;
    }
    else if (response->connection != NULL) {
        response->suspended = true;
        MHD_suspend_connection(response->connection);
    }
    pthread_mutex_unlock(&response->lock);
    return result;
}

/* The library has finished with a stream's response. */
static void
release_stream(void *data)
{
    ch_response_unref(data);
}

/* Adds the headers for a caller that uses its own request ID: those of the
 * upstream, or the few of a refusal. */
static void
add_forwarded_headers(struct MHD_Response *library_response,
                      const struct ch_response *response, bool stopping)
{
    const struct ch_response_data *data = &response->data;
    char seconds[G_ASCII_DTOSTR_BUF_SIZE];
    for (size_t i = 0; i < data->header_count; i++) {
        MHD_add_response_header(library_response, data->headers[i].name,
                                data->headers[i].value);
    }
    if (data->header_count == 0) {
        MHD_add_response_header(library_response, response->id_header,
                                response->id);
        if (data->content_type != NULL) {
            MHD_add_response_header(library_response, "Content-Type",
                                    data->content_type);
        }
    }
    if (data->retry_after > 0) {
        g_ascii_formatd(seconds, sizeof(seconds), "%.2f",
                        (double)data->retry_after / G_USEC_PER_SEC);
        MHD_add_response_header(library_response, "Retry-After", seconds);
    }
    if (stopping) {
        MHD_add_response_header(library_response, "Connection", "close");
    }
}

/* Adds the headers of a response: those that are always sent, and the optional
 * ones that apply. */
static void
add_headers(struct MHD_Response *library_response,
            const struct ch_response *response, bool stopping)
{
    const struct ch_response_data *data = &response->data;
    if (data->challenge != NULL) {
        MHD_add_response_header(library_response, "WWW-Authenticate",
                                data->challenge);
    }
    if (response->id_header != NULL) {
        add_forwarded_headers(library_response, response, stopping);
        return;
    }
    char number[24];
    MHD_add_response_header(library_response, "Chestnuthitch-Request-Id",
                            response->id);
    MHD_add_response_header(library_response, "Chestnuthitch-Outcome",
                            ch_outcome_get_name(data->outcome));
    if (data->content_type != NULL) {
        MHD_add_response_header(library_response, "Content-Type",
                                data->content_type);
    }
    if (data->code != CH_OK) {
        (void)snprintf(number, sizeof(number), "%d", (int)data->code);
        MHD_add_response_header(library_response, "Chestnuthitch-Code",
                                number);
    }
    if (data->retry_after > 0) {
        int64_t seconds =
            (data->retry_after + G_USEC_PER_SEC - 1) / G_USEC_PER_SEC;
        (void)snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, seconds);
        MHD_add_response_header(library_response, "Retry-After", number);
    }
    if (data->allow != NULL) {
        MHD_add_response_header(library_response, "Allow", data->allow);
    }
    if (stopping) {
        MHD_add_response_header(library_response, "Connection", "close");
    }
}

/* Creates the library's object for the response that was given. */
static struct MHD_Response *
create_library_response(struct ch_response *response, bool stopping)
{
    struct MHD_Response *library_response = NULL;
    if (response->streams) {
        library_response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream,
            ch_response_ref(response), release_stream);
    }
    else {
        library_response = MHD_create_response_from_buffer(
            response->data.body_length, response->data.body,
            MHD_RESPMEM_MUST_FREE);
        response->data.body = NULL;
    }
    if (library_response != NULL) {
        add_headers(library_response, response, stopping);
    }
    return library_response;
}

/* Queues the response. The lock is not held, because the library holds a
 * response's own lock when it calls read_stream(). The lock is not needed,
 * because a response that was given does not change any more. */
static enum MHD_Result
queue_response(struct ch_response *response, struct MHD_Connection *connection,
               bool stopping)
{
    struct MHD_Response *library_response =
        create_library_response(response, stopping);
    if (library_response == NULL) {
        return MHD_NO;
    }
    enum MHD_Result result = MHD_queue_response(
        connection, (unsigned)response->data.status, library_response);
    MHD_destroy_response(library_response);
    return result;
}

/* Called by the library's handler once the whole request has arrived, and
 * again after each resume. */
enum MHD_Result
ch_response_queue(struct ch_response *response, bool stopping)
{
    pthread_mutex_lock(&response->lock);
    struct MHD_Connection *connection = response->connection;
    bool answered = response->answered;
    bool gone = response->aborted;
    if (!answered && !gone) {
        response->suspended = true;
        MHD_suspend_connection(connection);
    }
    pthread_mutex_unlock(&response->lock);
    if (gone) {
        return MHD_NO;
    }
    return answered ? queue_response(response, connection, stopping) : MHD_YES;
}

/* Notifies the watcher, once. */
static void
notify_disconnected(struct ch_response *response)
{
    pthread_mutex_lock(&response->lock);
    void (*gone)(void *data) = response->watcher.disconnected;
    response->watcher.disconnected = NULL;
    pthread_mutex_unlock(&response->lock);
    if (gone != NULL) {
        gone(response->watcher_data);
    }
}

/* The caller has closed its end and can receive nothing, so the library may
 * close the connection. A response that is being sent is left to the library.
 */
void
ch_response_handle_disconnect(struct ch_response *response)
{
    pthread_mutex_lock(&response->lock);
    if (response->answered) {
        response->aborted = true;
        resume_connection(response);
    }
    else {
        abort_stream(response);
    }
    pthread_mutex_unlock(&response->lock);
    notify_disconnected(response);
}

/* See response.h. */
void
ch_response_detach(struct ch_response *response)
{
    pthread_mutex_lock(&response->lock);
    release_unsent(response);
    response->connection = NULL;
    response->suspended = false;
    pthread_mutex_unlock(&response->lock);
    notify_disconnected(response);
}
