/*
 * Simulates a middlebox that forwards TCP to target=IP:PORT. It can lose its
 * connection table (/control/silence): open connections then stay open, but
 * are never read or written again, while new connections work. It can also
 * cut the path (/control/cut?form=FORM) until /control/cut?form=none:
 *
 *   silent   nothing is forwarded, and new connections hang
 *   reset    open connections are reset, new ones are refused
 *   refuse   open connections live on, new ones are refused
 */

#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    POLL_MS = 20,
    BACKLOG = 4096,
    /* Connections that fill an accept queue of length 0, so that the kernel
     * drops the opening packets of further ones. */
    FILLER_COUNT = 4,
};

enum cut_form {
    CUT_NONE,
    CUT_SILENT,
    CUT_RESET,
    CUT_REFUSE,
};

struct relay {
    uint16_t port;
    struct sockaddr_in target;
    pthread_mutex_t lock;
    int socket;
    enum cut_form form;
    unsigned resets;   /* number of cuts that reset connections */
    unsigned silences; /* number of times the connection table was lost */
    int64_t connections;
    int fillers[FILLER_COUNT];
};

struct pair {
    struct relay *relay;
    int ends[2];
    unsigned silences; /* the relay's numbers when the pair was opened */
    unsigned resets;
};

enum pair_state {
    PAIR_FORWARDS,
    PAIR_WAITS,  /* the path is cut in silence */
    PAIR_RESET,  /* the connection is to be reset */
    PAIR_SILENT, /* the connection table was lost */
};

/* Sends all bytes; false when the other end has closed. */
static bool
send_all(int fd, const char *bytes, ssize_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, (size_t)length, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= sent;
    }
    return true;
}

static enum pair_state
get_pair_state(struct pair *pair)
{
    struct relay *relay = pair->relay;
    enum pair_state state = PAIR_FORWARDS;
    pthread_mutex_lock(&relay->lock);
    if (pair->silences != relay->silences) {
        state = PAIR_SILENT;
    }
    else if (pair->resets != relay->resets) {
        state = PAIR_RESET;
    }
    else if (relay->form == CUT_SILENT) {
        state = PAIR_WAITS;
    }
    pthread_mutex_unlock(&relay->lock);
    return state;
}

/* Closes a connection with a reset. */
static void
close_with_reset(int fd)
{
    const struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    (void)close(fd);
}

/* Forwards what has arrived; false when an end has closed. */
static bool
forward_available(const struct pair *pair, const struct pollfd *polls)
{
    char bytes[16384];
    for (int i = 0; i < 2; i++) {
        if (polls[i].revents == 0) {
            continue;
        }
        ssize_t length = recv(pair->ends[i], bytes, sizeof bytes, 0);
        if (length <= 0 || !send_all(pair->ends[1 - i], bytes, length)) {
            return false;
        }
    }
    return true;
}

/* The thread of one pair of connections. */
static gpointer
forward_pair(gpointer data)
{
    struct pair *pair = data;
    struct pollfd polls[2] = {{pair->ends[0], POLLIN, 0},
                              {pair->ends[1], POLLIN, 0}};
    enum pair_state state = PAIR_FORWARDS;
    bool open = true;
    while (open && state != PAIR_RESET) {
        int ready = poll(polls, 2, POLL_MS);
        state = get_pair_state(pair);
        if (state == PAIR_SILENT) {
            return NULL; /* both ends stay open until the process ends */
        }
        if (state == PAIR_WAITS) {
            g_usleep((gulong)POLL_MS * 1000);
        }
        else if (state == PAIR_FORWARDS && ready > 0) {
            open = forward_available(pair, polls);
        }
    }
    for (int i = 0; i < 2; i++) {
        if (state == PAIR_RESET) {
            close_with_reset(pair->ends[i]);
        }
        else {
            (void)close(pair->ends[i]);
        }
    }
    g_free(pair);
    return NULL;
}

/* Connects an accepted connection to the target. */
static void
open_pair(struct relay *relay, int client_fd)
{
    int target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(target_fd, (struct sockaddr *)&relay->target,
                sizeof relay->target) != 0) {
        (void)close(client_fd);
        (void)close(target_fd);
        return;
    }
    struct pair *pair = g_new(struct pair, 1);
    pair->relay = relay;
    pair->ends[0] = client_fd;
    pair->ends[1] = target_fd;
    pthread_mutex_lock(&relay->lock);
    pair->silences = relay->silences;
    pair->resets = relay->resets;
    relay->connections++;
    pthread_mutex_unlock(&relay->lock);
    g_thread_unref(g_thread_new("pair", forward_pair, pair));
}

/* The thread that accepts connections. */
static gpointer
accept_connections(gpointer data)
{
    struct relay *relay = data;
    for (;;) {
        pthread_mutex_lock(&relay->lock);
        bool accepts = relay->form == CUT_NONE;
        int client_fd = accepts ? accept(relay->socket, NULL, NULL) : -1;
        pthread_mutex_unlock(&relay->lock);
        if (client_fd >= 0) {
            (void)fcntl(client_fd, F_SETFL, 0);
            open_pair(relay, client_fd);
            continue;
        }
        struct pollfd poll_fd = {relay->socket, POLLIN, 0};
        if (!accepts) {
            g_usleep((gulong)POLL_MS * 1000);
        }
        else {
            (void)poll(&poll_fd, 1, POLL_MS);
        }
    }
    return NULL;
}

/* ---- cutting the path; the lock is held ---- */

/* Makes further connections to the relay hang. */
static void
fill_accept_queue(struct relay *relay)
{
    struct sockaddr_in self = {.sin_family = AF_INET,
                               .sin_port = htons(relay->port)};
    self.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)listen(relay->socket, 0);
    for (int i = 0; i < FILLER_COUNT; i++) {
        relay->fillers[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)connect(relay->fillers[i], (struct sockaddr *)&self,
                      sizeof self);
    }
}

static void
close_fillers(struct relay *relay)
{
    for (int i = 0; i < FILLER_COUNT; i++) {
        (void)close(relay->fillers[i]);
    }
}

/* Replaces the listening socket by one that is bound to the same port and
 * refuses connections until listen() is called. */
static void
refuse_connections(struct relay *relay)
{
    struct sockaddr_in self = {.sin_family = AF_INET,
                               .sin_port = htons(relay->port)};
    int one = 1;
    self.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    /* Another thread may poll the socket, which keeps it open after close().
     */
    (void)shutdown(relay->socket, SHUT_RDWR);
    (void)close(relay->socket);
    if (bind(fd, (struct sockaddr *)&self, sizeof self) != 0) {
        g_error("relay: cannot bind its port again");
    }
    relay->socket = fd;
}

/* Ends a cut, or begins one. */
static void
set_cut(struct relay *relay, enum cut_form form)
{
    if (form == relay->form) {
        return;
    }
    if (relay->form == CUT_SILENT) {
        close_fillers(relay);
    }
    if (form == CUT_SILENT) {
        fill_accept_queue(relay);
    }
    else if (form == CUT_NONE) {
        (void)listen(relay->socket, BACKLOG);
    }
    else {
        refuse_connections(relay);
    }
    relay->resets += form == CUT_RESET ? 1 : 0;
    relay->form = form;
}

/* ---- the mode ---- */

/* Opens its own listening socket and starts the accepting thread. */
static void
relay_start(struct standin *standin)
{
    struct relay *relay = g_new0(struct relay, 1);
    const char *target = g_hash_table_lookup(standin->options, "target");
    char **parts = g_strsplit(target == NULL ? ":" : target, ":", 2);
    relay->target.sin_family = AF_INET;
    relay->target.sin_port =
        htons((uint16_t)g_ascii_strtoull(parts[1], NULL, 10));
    if (inet_pton(AF_INET, parts[0], &relay->target.sin_addr) != 1) {
        g_error("relay: missing or invalid target=IP:PORT");
    }
    g_strfreev(parts);
    relay->socket = standin_socket(&standin->port, true);
    relay->port = standin->port;
    pthread_mutex_init(&relay->lock, NULL);
    standin->mode_data = relay;
    g_thread_unref(g_thread_new("relay", accept_connections, relay));
}

/* Handles /control/cut; false for an unknown form. */
static bool
handle_cut(struct exchange *exchange)
{
    static const char *const names[] = {
        [CUT_NONE] = "none",
        [CUT_SILENT] = "silent",
        [CUT_RESET] = "reset",
        [CUT_REFUSE] = "refuse",
    };
    struct relay *relay = exchange->standin->mode_data;
    const char *wanted = exchange_query(exchange, "form");
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_strcmp0(wanted, names[i]) == 0) {
            pthread_mutex_lock(&relay->lock);
            set_cut(relay, (enum cut_form)i);
            pthread_mutex_unlock(&relay->lock);
            return true;
        }
    }
    return false;
}

/* Handles POST /control/silence and POST /control/cut. */
static bool
relay_control(struct exchange *exchange)
{
    struct relay *relay = exchange->standin->mode_data;
    if (strcmp(exchange->path, "/control/cut") == 0) {
        return handle_cut(exchange);
    }
    if (strcmp(exchange->path, "/control/silence") != 0) {
        return false;
    }
    pthread_mutex_lock(&relay->lock);
    relay->silences++;
    pthread_mutex_unlock(&relay->lock);
    return true;
}

static void
relay_record(struct standin *standin, JsonBuilder *out)
{
    struct relay *relay = standin->mode_data;
    pthread_mutex_lock(&relay->lock);
    json_number(out, "connections", relay->connections);
    pthread_mutex_unlock(&relay->lock);
}

const struct mode mode_relay = {"relay", relay_start, NULL, relay_record,
                                relay_control};
