/* Time, the record, sockets, HTTP messages and paths. */

#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;

static double
monotonic(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double
world_now(void)
{
    static double start;
    if (start == 0) {
        start = monotonic();
    }
    return monotonic() - start;
}

void
world_sleep_until(double time)
{
    double left = time - world_now();
    if (left > 0) {
        g_usleep((gulong)(left * 1e6));
    }
}

void
world_record(const char *form, ...)
{
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    if (record == NULL) {
        const char *path = getenv("RECORD");
        record = fopen(path == NULL ? "record.txt" : path, "w");
        if (record == NULL) {
            exit(2);
        }
    }
    va_start(arguments, form);
    (void)fprintf(record, "%8.3f ", world_now());
    (void)vfprintf(record, form, arguments);
    (void)fputc('\n', record);
    (void)fflush(record);
    va_end(arguments);
    pthread_mutex_unlock(&record_lock);
}

static void (*give_up_hook)(void);
void world_on_give_up(void (*hook)(void));

void
world_on_give_up(void (*hook)(void))
{
    give_up_hook = hook;
}

void
world_give_up(const char *form, ...)
{
    char text[256];
    va_list arguments;
    va_start(arguments, form);
    (void)vsnprintf(text, sizeof(text), form, arguments);
    va_end(arguments);
    world_record("the case could not run: %s", text);
    (void)fprintf(stderr, "the case could not run: %s\n", text);
    if (give_up_hook != NULL) {
        give_up_hook();
    }
    _exit(2);
}

static struct sockaddr_in
loopback(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    if (strncmp(ip, "127.", 4) != 0 ||
        inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
        world_give_up("%s is no loopback address", ip);
    }
    return address;
}

int
world_listen(const char *ip, int *port)
{
    struct sockaddr_in address = loopback(ip, *port);
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, size) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        world_give_up("no port: %s", strerror(errno));
    }
    *port = ntohs(address.sin_port);
    return fd;
}

int
world_free_port(const char *ip)
{
    static GHashTable *given;
    int port = 0;
    given = given == NULL ? g_hash_table_new(NULL, NULL) : given;
    do {
        port = 0;
        close(world_listen(ip, &port));
    } while (!g_hash_table_add(given, GINT_TO_POINTER(port)));
    return port;
}

int
world_connect(const char *ip, int port)
{
    struct sockaddr_in address = loopback(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
world_start_thread(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, run, data) != 0) {
        world_give_up("no thread");
    }
    pthread_attr_destroy(&attributes);
}

/* ---- HTTP ---- */

static int
read_byte(struct http_connection *connection)
{
    if (connection->start == connection->end) {
        ssize_t count =
            recv(connection->fd, connection->buffer, sizeof(connection->buffer), 0);
        if (count <= 0) {
            return -1;
        }
        connection->start = 0;
        connection->end = (size_t)count;
    }
    return (unsigned char)connection->buffer[connection->start++];
}

static bool
read_line(struct http_connection *connection, GString *line)
{
    g_string_truncate(line, 0);
    for (;;) {
        int byte = read_byte(connection);
        if (byte < 0) {
            return false;
        }
        if (byte == '\n') {
            break;
        }
        g_string_append_c(line, (char)byte);
    }
    if (line->len > 0 && line->str[line->len - 1] == '\r') {
        g_string_truncate(line, line->len - 1);
    }
    return true;
}

static bool
read_bytes(struct http_connection *connection, GString *body, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        int byte = read_byte(connection);
        if (byte < 0) {
            return false;
        }
        g_string_append_c(body, (char)byte);
    }
    return true;
}

const char *
http_header(const struct http_message *message, const char *name)
{
    for (guint i = 0; i < message->names->len; i++) {
        if (strcasecmp(g_ptr_array_index(message->names, i), name) == 0) {
            return g_ptr_array_index(message->values, i);
        }
    }
    return NULL;
}

void
http_free(struct http_message *message)
{
    g_free(message->method);
    g_free(message->path);
    g_ptr_array_free(message->names, TRUE);
    g_ptr_array_free(message->values, TRUE);
    g_string_free(message->body, TRUE);
    g_free(message);
}

static bool
read_body(struct http_connection *connection, struct http_message *message,
          bool is_response)
{
    const char *length = http_header(message, "Content-Length");
    const char *coding = http_header(message, "Transfer-Encoding");
    if (coding != NULL && strcasecmp(coding, "chunked") == 0) {
        GString *line = g_string_new(NULL);
        bool good = true;
        uint64_t size = 1;
        while (good && size > 0) {
            good = read_line(connection, line);
            size = good ? g_ascii_strtoull(line->str, NULL, 16) : 0;
            good = good && read_bytes(connection, message->body, size) &&
                   read_line(connection, line);
        }
        g_string_free(line, TRUE);
        return good;
    }
    if (length != NULL) {
        return read_bytes(connection, message->body,
                          g_ascii_strtoull(length, NULL, 10));
    }
    return !is_response || message->status == 204;
}

struct http_message *
http_read(struct http_connection *connection, bool is_response)
{
    GString *line = g_string_new(NULL);
    struct http_message *message = g_new0(struct http_message, 1);
    message->names = g_ptr_array_new_with_free_func(g_free);
    message->values = g_ptr_array_new_with_free_func(g_free);
    message->body = g_string_new(NULL);
    bool good = read_line(connection, line);
    if (good) {
        char **words = g_strsplit(line->str, " ", 3);
        good = g_strv_length(words) >= 2;
        if (good && is_response) {
            message->status = (int)g_ascii_strtoll(words[1], NULL, 10);
        }
        else if (good) {
            message->method = g_strdup(words[0]);
            message->path = g_strdup(words[1]);
        }
        g_strfreev(words);
    }
    while (good && (good = read_line(connection, line)) && line->len > 0) {
        char *colon = strchr(line->str, ':');
        if (colon != NULL) {
            g_ptr_array_add(message->names,
                            g_strndup(line->str, (size_t)(colon - line->str)));
            g_ptr_array_add(message->values,
                            g_strstrip(g_strdup(colon + 1)));
        }
    }
    good = good && read_body(connection, message, is_response);
    g_string_free(line, TRUE);
    if (!good) {
        if (connection->partial != NULL) {
            g_string_assign(connection->partial, message->body->str);
        }
        http_free(message);
        return NULL;
    }
    return message;
}

bool
http_write(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t count = send(fd, bytes, length, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes += count;
        length -= (size_t)count;
    }
    return true;
}

bool
http_reply(int fd, int status, const char *headers, const char *body,
           size_t length)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
                    status, headers, length);
    g_string_append_len(text, body, (gssize)length);
    bool good = http_write(fd, text->str, text->len);
    g_string_free(text, TRUE);
    return good;
}

/* ---- paths ---- */

enum {
    MAX_PATH_NODES = 8,
};

static struct {
    pid_t pid;
    double cut_at;
    double healed_at;
    bool reaches_workers;
} machines[MAX_PATH_NODES]; /* guarded by world_lock */

void
path_set_process(int node, pid_t pid)
{
    pthread_mutex_lock(&world_lock);
    machines[node].pid = pid;
    pthread_mutex_unlock(&world_lock);
}

void
path_cut_off(int node, bool workers_too)
{
    pthread_mutex_lock(&world_lock);
    machines[node].reaches_workers = !workers_too;
    machines[node].cut_at = world_now();
    machines[node].healed_at = 0;
    pthread_mutex_unlock(&world_lock);
}

void
path_heal(int node)
{
    pthread_mutex_lock(&world_lock);
    machines[node].healed_at = world_now();
    pthread_mutex_unlock(&world_lock);
}

static bool
is_machine_cut(int node, double time)
{
    return node >= 0 && machines[node].cut_at > 0 &&
           time >= machines[node].cut_at &&
           (machines[node].healed_at == 0 || time < machines[node].healed_at);
}

/* The inode of the socket at the other end of a loopback connection; 0: it is
 * not there any more. */
static unsigned long
find_inode(const struct sockaddr_in *from)
{
    char line[256];
    unsigned long found = 0;
    FILE *table = fopen("/proc/net/tcp", "r");
    while (table != NULL && found == 0 &&
           fgets(line, sizeof(line), table) != NULL) {
        unsigned address = 0;
        unsigned port = 0;
        unsigned long inode = 0;
        if (sscanf(line, " %*d: %x:%x %*x:%*x %*x %*x:%*x %*x:%*x %*x %*u %*d "
                         "%lu",
                   &address, &port, &inode) == 3 &&
            address == from->sin_addr.s_addr &&
            port == ntohs(from->sin_port)) {
            found = inode;
        }
    }
    if (table != NULL) {
        (void)fclose(table);
    }
    return found;
}

static bool
has_socket(pid_t pid, unsigned long inode)
{
    char wanted[64];
    bool found = false;
    (void)snprintf(wanted, sizeof(wanted), "socket:[%lu]", inode);
    g_autofree char *folder = g_strdup_printf("/proc/%d/fd", (int)pid);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name = NULL;
    while (dir != NULL && !found && (name = g_dir_read_name(dir)) != NULL) {
        g_autofree char *path = g_strconcat(folder, "/", name, NULL);
        g_autofree char *link = g_file_read_link(path, NULL);
        found = link != NULL && strcmp(link, wanted) == 0;
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return found;
}

/* The node that opened a connection; -1: it has closed it already. */
static int
find_machine(const struct sockaddr_in *from)
{
    unsigned long inode = find_inode(from);
    for (int i = 0; inode != 0 && i < MAX_PATH_NODES; i++) {
        pthread_mutex_lock(&world_lock);
        pid_t pid = machines[i].pid;
        pthread_mutex_unlock(&world_lock);
        if (pid != 0 && has_socket(pid, inode)) {
            return i;
        }
    }
    return -1;
}

/* One connection on a path. */
struct route {
    int from; /* node */
    int to;   /* node, PATH_TO_WORKER or PATH_TO_STORE */
};

struct pump {
    struct route route;
    int from;
    int to;
    int *ends; /* of both pumps of a connection; the second one closes */
};

/* Waits until what was sent at a time arrives. */
static void
wait_for_arrival(struct route route, double sent)
{
    double at = sent;
    double pause = 0.2;
    for (;;) {
        world_sleep_until(at);
        pthread_mutex_lock(&world_lock);
        bool passes = route.to == PATH_TO_WORKER &&
                      machines[route.from].reaches_workers;
        bool lost = !passes && (is_machine_cut(route.from, at) ||
                                is_machine_cut(route.to, at));
        pthread_mutex_unlock(&world_lock);
        if (!lost) {
            return;
        }
        at += pause;
        pause *= 2;
    }
}

static bool
was_reset(int fd)
{
    struct pollfd state = {.fd = fd, .events = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0;
}

static void
reset_at_close(int fd)
{
    const struct linger now = {1, 0};
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void *
run_pump(void *data)
{
    struct pump *pump = data;
    char buffer[16384];
    for (;;) {
        ssize_t count = recv(pump->from, buffer, sizeof(buffer), 0);
        double sent = world_now();
        if (count >= 0) {
            wait_for_arrival(pump->route, sent);
        }
        if (count < 0 || was_reset(pump->from)) {
            reset_at_close(pump->to);
            (void)shutdown(pump->to, SHUT_RDWR);
            (void)shutdown(pump->from, SHUT_RDWR);
            break;
        }
        if (count == 0) {
            (void)shutdown(pump->to, SHUT_WR);
            break;
        }
        if (!http_write(pump->to, buffer, (size_t)count)) {
            reset_at_close(pump->from);
            (void)shutdown(pump->from, SHUT_RDWR);
            break;
        }
    }
    if (g_atomic_int_add(pump->ends, 1) == 1) {
        close(pump->from);
        close(pump->to);
        g_free(pump->ends);
    }
    g_free(pump);
    return NULL;
}

struct arrival {
    const struct path *path;
    int fd;
    struct sockaddr_in from;
};

/* A connection: its opening packet arrives, then what both ends send. */
static void *
run_connection(void *data)
{
    struct arrival arrival = *(struct arrival *)data;
    struct route route = {find_machine(&arrival.from), arrival.path->owner};
    double sent = world_now();
    g_free(data);
    if (route.from >= 0) {
        wait_for_arrival(route, sent);
    }
    int to = route.from < 0 || was_reset(arrival.fd)
                 ? -1
                 : world_connect(arrival.path->target_ip,
                                 arrival.path->target);
    if (to < 0) {
        reset_at_close(arrival.fd);
        close(arrival.fd);
        return NULL;
    }
    int *ends = g_new0(int, 1);
    struct pump *there = g_new0(struct pump, 1);
    struct pump *back = g_new0(struct pump, 1);
    *there = (struct pump){route, arrival.fd, to, ends};
    *back = (struct pump){route, to, arrival.fd, ends};
    world_start_thread(run_pump, back);
    return run_pump(there);
}

struct path_listener {
    const struct path *path;
    int fd;
};

static void *
run_path(void *data)
{
    const struct path_listener *listener = data;
    for (;;) {
        struct arrival *arrival = g_new0(struct arrival, 1);
        socklen_t size = sizeof(arrival->from);
        arrival->path = listener->path;
        arrival->fd =
            accept(listener->fd, (struct sockaddr *)&arrival->from, &size);
        if (arrival->fd < 0) {
            g_free(arrival);
            continue;
        }
        world_start_thread(run_connection, arrival);
    }
    return NULL;
}

struct path *
path_new(const char *ip, int port, const char *target_ip, int target,
         int owner)
{
    struct path *path = g_new0(struct path, 1);
    struct path_listener *listener = g_new0(struct path_listener, 1);
    path->ip = g_strdup(ip);
    path->port = port;
    path->target_ip = g_strdup(target_ip);
    path->target = target;
    path->owner = owner;
    listener->path = path;
    listener->fd = world_listen(ip, &path->port);
    world_start_thread(run_path, listener);
    return path;
}
