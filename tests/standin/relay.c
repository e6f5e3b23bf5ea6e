/*
 * Simulates a middlebox that forwards TCP to target=IP:PORT and can lose its
 * connection table (/control/silence): open connections then stay open, but
 * are never read or written again, while new connections work.
 */

#include "standin.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct relay {
    int socket;
    struct sockaddr_in target;
    pthread_mutex_t lock;
    unsigned silences; /* number of times the connection table was lost */
    int64_t connections;
};

struct pair {
    struct relay *relay;
    int ends[2];
    unsigned silences; /* the relay's number when the pair was opened */
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

/* True when the connection table was lost since the pair was opened. */
static bool
is_silent(struct pair *pair)
{
    pthread_mutex_lock(&pair->relay->lock);
    bool silent = pair->silences != pair->relay->silences;
    pthread_mutex_unlock(&pair->relay->lock);
    return silent;
}

/* The thread of one pair of connections. */
static gpointer
forward_pair(gpointer data)
{
    struct pair *pair = data;
    char bytes[16384];
    struct pollfd polls[2] = {{pair->ends[0], POLLIN, 0},
                              {pair->ends[1], POLLIN, 0}};
    bool open = true;
    while (open) {
        int ready = poll(polls, 2, 20);
        if (is_silent(pair)) {
            return NULL; /* both ends stay open until the process ends */
        }
        for (int i = 0; ready > 0 && i < 2 && open; i++) {
            if (polls[i].revents == 0) {
                continue;
            }
            ssize_t length = recv(polls[i].fd, bytes, sizeof bytes, 0);
            open = length > 0 && send_all(polls[1 - i].fd, bytes, length);
        }
    }
    (void)close(pair->ends[0]);
    (void)close(pair->ends[1]);
    g_free(pair);
    return NULL;
}

/* The thread that accepts connections. */
static gpointer
accept_connections(gpointer data)
{
    struct relay *relay = data;
    for (;;) {
        int client_fd = accept(relay->socket, NULL, NULL);
        int target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (client_fd < 0 ||
            connect(target_fd, (struct sockaddr *)&relay->target,
                    sizeof relay->target) != 0) {
            (void)close(client_fd);
            (void)close(target_fd);
            g_usleep(1000);
            continue;
        }
        struct pair *pair = g_new(struct pair, 1);
        pair->relay = relay;
        pair->ends[0] = client_fd;
        pair->ends[1] = target_fd;
        pthread_mutex_lock(&relay->lock);
        pair->silences = relay->silences;
        relay->connections++;
        pthread_mutex_unlock(&relay->lock);
        g_thread_unref(g_thread_new("pair", forward_pair, pair));
    }
    return NULL;
}

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
    relay->socket = standin_socket(&standin->port, false);
    pthread_mutex_init(&relay->lock, NULL);
    standin->mode_data = relay;
    g_thread_unref(g_thread_new("relay", accept_connections, relay));
}

/* Handles POST /control/silence. */
static bool
relay_control(struct exchange *exchange)
{
    struct relay *relay = exchange->standin->mode_data;
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
