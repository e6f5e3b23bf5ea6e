/*
 * One caller's answer.
 *
 * Lock order: a reply's lock is taken after its exchange's, and nothing is
 * taken while it is held but the HTTP library's own locks.
 */

#include "node/reply.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum {
    /* What the library asks for at once, and holds for each open stream: some
     * ten events. */
    STREAM_BLOCK = 2 * 1024,
};

struct ch_reply {
    int references;
    char id[CH_REPLY_MOST_ID + 1];
    const char *id_header; /* NULL: our own headers are sent */
    int fd;
    pthread_mutex_t lock;
    struct MHD_Connection *connection; /* NULL once the library is done */
    bool suspended;
    bool answered; /* a whole answer, or the head of a stream */
    bool streams;
    bool ended; /* no more events will come */
    bool cut;   /* the connection is to be closed without an end */
    struct ch_reply_answer answer; /* owns its strings */
    GByteArray *unsent;
    size_t taken; /* bytes at the start of unsent that were sent */
    struct ch_reply_watcher watcher;
    void *watcher_data;
};

/* A reply on a connection of the library; request_id is copied. */
struct ch_reply *
ch_reply_new(struct MHD_Connection *connection, const char *request_id)
{
    struct ch_reply *reply = g_new0(struct ch_reply, 1);
    reply->references = 1;
    reply->connection = connection;
    reply->fd = -1;
    reply->unsent = g_byte_array_new();
    g_strlcpy(reply->id, request_id, sizeof(reply->id));
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != NULL) {
        reply->fd = info->connect_fd;
    }
    pthread_mutex_init(&reply->lock, NULL);
    return reply;
}

/* One more holder. */
struct ch_reply *
ch_reply_ref(struct ch_reply *reply)
{
    g_atomic_int_inc(&reply->references);
    return reply;
}

/* Frees the upstream's headers. */
static void
free_headers(struct ch_reply *reply)
{
    for (size_t i = 0; i < reply->answer.header_count; i++) {
        g_free((char *)reply->answer.headers[i].name);
        g_free((char *)reply->answer.headers[i].value);
    }
    g_free((struct ch_http_header *)reply->answer.headers);
}

/* Copies the upstream's headers.  Lock held. */
static void
copy_headers(struct ch_reply *reply, const struct ch_http_header *headers,
             size_t count)
{
    struct ch_http_header *copy = g_new0(struct ch_http_header, count + 1);
    for (size_t i = 0; i < count; i++) {
        copy[i].name = g_strdup(headers[i].name);
        copy[i].value = g_strdup(headers[i].value);
    }
    reply->answer.headers = copy;
    reply->answer.header_count = count;
}

/* Gives a reference back; the last one frees the reply. */
void
ch_reply_unref(struct ch_reply *reply)
{
    if (!g_atomic_int_dec_and_test(&reply->references)) {
        return;
    }
    if (reply->watcher.drop != NULL) {
        reply->watcher.drop(reply->watcher_data);
    }
    g_free((char *)reply->answer.content_type);
    g_free((char *)reply->answer.allow);
    g_free(reply->answer.body);
    free_headers(reply);
    g_byte_array_free(reply->unsent, TRUE);
    pthread_mutex_destroy(&reply->lock);
    g_free(reply);
}

/* The request's id, as the caller gets it. */
const char *
ch_reply_id(const struct ch_reply *reply)
{
    return reply->id;
}

/* The caller's socket; valid until the library is done with the request. */
int
ch_reply_fd(const struct ch_reply *reply)
{
    return reply->fd;
}

/* See reply.h. */
void
ch_reply_own_id(struct ch_reply *reply, const char *header, const char *id)
{
    reply->id_header = header;
    if (id != NULL) {
        g_strlcpy(reply->id, id, sizeof(reply->id));
    }
}

/* Sets who is told when the caller goes away; data is the watcher's.  One that
 * has just gone is told of when the library closes its connection. */
void
ch_reply_watch(struct ch_reply *reply, const struct ch_reply_watcher *watcher,
               void *data)
{
    pthread_mutex_lock(&reply->lock);
    reply->watcher = *watcher;
    reply->watcher_data = data;
    pthread_mutex_unlock(&reply->lock);
}

/* Lets the library look at the connection again.  Lock held. */
static void
wake(struct ch_reply *reply)
{
    if (reply->suspended && reply->connection != NULL) {
        reply->suspended = false;
        MHD_resume_connection(reply->connection);
    }
}

/* Gives a whole answer; of two, the first one counts. */
void
ch_reply_whole(struct ch_reply *reply, const struct ch_reply_answer *answer)
{
    pthread_mutex_lock(&reply->lock);
    if (reply->answered) {
        pthread_mutex_unlock(&reply->lock);
        g_free(answer->body);
        return;
    }
    reply->answered = true;
    reply->answer = *answer;
    reply->answer.content_type = g_strdup(answer->content_type);
    reply->answer.allow = g_strdup(answer->allow);
    copy_headers(reply, answer->headers, answer->header_count);
    wake(reply);
    pthread_mutex_unlock(&reply->lock);
}

/* Begins a stream: 200, and events as they come. */
void
ch_reply_begin(struct ch_reply *reply, const struct ch_http_header *headers,
               size_t count)
{
    pthread_mutex_lock(&reply->lock);
    if (!reply->answered) {
        reply->answered = true;
        reply->streams = true;
        reply->answer.status = 200;
        reply->answer.outcome = CH_RAN;
        reply->answer.content_type = g_strdup("text/event-stream");
        copy_headers(reply, headers, count);
        wake(reply);
    }
    pthread_mutex_unlock(&reply->lock);
}

/* Cuts the stream.  The socket is shut down since the library may be waiting
 * for a caller that does not read, and would not look here.  Lock held. */
static void
cut(struct ch_reply *reply)
{
    reply->cut = true;
    if (reply->connection != NULL && reply->fd >= 0) {
        shutdown(reply->fd, SHUT_RDWR);
    }
    wake(reply);
}

/* See reply.h. */
void
ch_reply_cut(struct ch_reply *reply)
{
    pthread_mutex_lock(&reply->lock);
    cut(reply);
    pthread_mutex_unlock(&reply->lock);
}

/* Adds an event.  A caller that leaves more than CH_REPLY_MOST_UNSENT unread
 * is cut off: holding its tokens would take memory from all the others, and
 * waiting for it would stall the thread that serves them. */
bool
ch_reply_event(struct ch_reply *reply, const char *bytes, size_t length)
{
    pthread_mutex_lock(&reply->lock);
    bool good = reply->connection != NULL && !reply->cut && !reply->ended;
    if (good &&
        reply->unsent->len - reply->taken + length > CH_REPLY_MOST_UNSENT) {
        cut(reply);
        good = false;
    }
    if (good) {
        g_byte_array_append(reply->unsent, (const guint8 *)bytes,
                            (guint)length);
        wake(reply);
    }
    pthread_mutex_unlock(&reply->lock);
    return good;
}

/* No more events: the stream ends once what is there was sent. */
void
ch_reply_end(struct ch_reply *reply)
{
    pthread_mutex_lock(&reply->lock);
    reply->ended = true;
    wake(reply);
    pthread_mutex_unlock(&reply->lock);
}

/* Moves up to `most` unsent bytes out.  Lock held. */
static size_t
take_unsent(struct ch_reply *reply, char *out, size_t most)
{
    size_t length = MIN(most, reply->unsent->len - reply->taken);
    memcpy(out, reply->unsent->data + reply->taken, length);
    reply->taken += length;
    if (reply->taken == reply->unsent->len) {
        g_byte_array_set_size(reply->unsent, 0);
        reply->taken = 0;
    }
    else if (reply->taken > CH_REPLY_MOST_UNSENT / 16) {
        g_byte_array_remove_range(reply->unsent, 0, (guint)reply->taken);
        reply->taken = 0;
    }
    return length;
}

/* The library asks for bytes of a stream.  With none there the connection is
 * suspended, so that it is not asked for in a loop. */
static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t most)
{
    (void)position;
    struct ch_reply *reply = data;
    ssize_t result = 0;
    pthread_mutex_lock(&reply->lock);
    if (reply->cut) {
        result = MHD_CONTENT_READER_END_WITH_ERROR;
    }
    else if (reply->unsent->len > reply->taken) {
        result = (ssize_t)take_unsent(reply, out, most);
    }
    else if (reply->ended) {
        result = MHD_CONTENT_READER_END_OF_STREAM;
    }
    else if (reply->connection != NULL) {
        reply->suspended = true;
        MHD_suspend_connection(reply->connection);
    }
    pthread_mutex_unlock(&reply->lock);
    return result;
}

/* The library is done with a stream's response. */
static void
release_stream(void *data)
{
    ch_reply_unref(data);
}

/* Adds the headers of an answer to a caller with an id of its own: those of
 * the upstream, or the few that a refusal has. */
static void
add_passed_headers(struct MHD_Response *response, const struct ch_reply *reply,
                   bool stopping)
{
    const struct ch_reply_answer *answer = &reply->answer;
    char seconds[G_ASCII_DTOSTR_BUF_SIZE];
    for (size_t i = 0; i < answer->header_count; i++) {
        MHD_add_response_header(response, answer->headers[i].name,
                                answer->headers[i].value);
    }
    if (answer->header_count == 0) {
        MHD_add_response_header(response, reply->id_header, reply->id);
        if (answer->content_type != NULL) {
            MHD_add_response_header(response, "Content-Type",
                                    answer->content_type);
        }
    }
    if (answer->retry_after > 0) {
        g_ascii_formatd(seconds, sizeof(seconds), "%.2f",
                        (double)answer->retry_after / G_USEC_PER_SEC);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (stopping) {
        MHD_add_response_header(response, "Connection", "close");
    }
}

/* Adds the headers that every answer bears, and those that it may. */
static void
add_headers(struct MHD_Response *response, const struct ch_reply *reply,
            bool stopping)
{
    if (reply->id_header != NULL) {
        add_passed_headers(response, reply, stopping);
        return;
    }
    const struct ch_reply_answer *answer = &reply->answer;
    char number[24];
    MHD_add_response_header(response, "Chestnuthitch-Request-Id", reply->id);
    MHD_add_response_header(response, "Chestnuthitch-Outcome",
                            ch_outcome_name(answer->outcome));
    if (answer->content_type != NULL) {
        MHD_add_response_header(response, "Content-Type",
                                answer->content_type);
    }
    if (answer->code != CH_OK) {
        (void)snprintf(number, sizeof(number), "%d", (int)answer->code);
        MHD_add_response_header(response, "Chestnuthitch-Code", number);
    }
    if (answer->retry_after > 0) {
        int64_t seconds =
            (answer->retry_after + G_USEC_PER_SEC - 1) / G_USEC_PER_SEC;
        (void)snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, seconds);
        MHD_add_response_header(response, "Retry-After", number);
    }
    if (answer->allow != NULL) {
        MHD_add_response_header(response, "Allow", answer->allow);
    }
    if (stopping) {
        MHD_add_response_header(response, "Connection", "close");
    }
}

/* The library's response for the answer that is there. */
static struct MHD_Response *
make_response(struct ch_reply *reply, bool stopping)
{
    struct MHD_Response *response = NULL;
    if (reply->streams) {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream, ch_reply_ref(reply),
            release_stream);
    }
    else {
        response = MHD_create_response_from_buffer(
            reply->answer.length, reply->answer.body, MHD_RESPMEM_MUST_FREE);
        reply->answer.body = NULL;
    }
    if (response != NULL) {
        add_headers(response, reply, stopping);
    }
    return response;
}

/* Queues the answer.  The lock is not held: the library has one of its own for
 * a response, which it holds when it calls read_stream().  An answer that was
 * given is not written to any more, so that none is needed. */
static enum MHD_Result
queue_answer(struct ch_reply *reply, struct MHD_Connection *connection,
             bool stopping)
{
    struct MHD_Response *response = make_response(reply, stopping);
    if (response == NULL) {
        return MHD_NO;
    }
    enum MHD_Result result = MHD_queue_response(
        connection, (unsigned)reply->answer.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Called by the library's handler once the whole request has come, and again
 * after each resume. */
enum MHD_Result
ch_reply_serve(struct ch_reply *reply, bool stopping)
{
    pthread_mutex_lock(&reply->lock);
    struct MHD_Connection *connection = reply->connection;
    bool answered = reply->answered;
    bool gone = reply->cut;
    if (!answered && !gone) {
        reply->suspended = true;
        MHD_suspend_connection(connection);
    }
    pthread_mutex_unlock(&reply->lock);
    if (gone) {
        return MHD_NO;
    }
    return answered ? queue_answer(reply, connection, stopping) : MHD_YES;
}

/* Tells the watcher, once. */
static void
tell_gone(struct ch_reply *reply)
{
    pthread_mutex_lock(&reply->lock);
    void (*gone)(void *data) = reply->watcher.gone;
    reply->watcher.gone = NULL;
    pthread_mutex_unlock(&reply->lock);
    if (gone != NULL) {
        gone(reply->watcher_data);
    }
}

/* The caller's end closed: nothing can reach it, so the library may close.  An
 * answer that is on its way is left to it. */
void
ch_reply_hang_up(struct ch_reply *reply)
{
    pthread_mutex_lock(&reply->lock);
    if (reply->answered) {
        reply->cut = true;
        wake(reply);
    }
    else {
        cut(reply);
    }
    pthread_mutex_unlock(&reply->lock);
    tell_gone(reply);
}

/* The connection is not to be touched after this. */
void
ch_reply_detach(struct ch_reply *reply)
{
    pthread_mutex_lock(&reply->lock);
    reply->connection = NULL;
    reply->suspended = false;
    pthread_mutex_unlock(&reply->lock);
    tell_gone(reply);
}
