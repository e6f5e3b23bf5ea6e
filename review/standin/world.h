#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins for a small deployment on loopback addresses: the platform's
 * store, workers, the paths between machines, and clients.  One thread serves
 * one connection.  All shared state is guarded by world_lock.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

extern pthread_mutex_t world_lock;

/* ---- time and the record ---- */

/* Seconds since the start of the script. */
double world_now(void);
void world_sleep_until(double time);
/* Writes a line with the time to record.txt. */
void world_record(const char *form, ...) G_GNUC_PRINTF(1, 2);
/* Ends the script with 2: the case couldn't run. */
void world_give_up(const char *form, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;
/* A listening socket at a loopback address; *port 0: at a free port, which is
 * stored there. */
int world_listen(const char *ip, int *port);
/* A port that is free now at this address. */
int world_free_port(const char *ip);
int world_connect(const char *ip, int port);
void world_start_thread(void *(*run)(void *), void *data);

/* ---- HTTP ---- */

struct http_message {
    char *method; /* of a request */
    char *path;
    int status; /* of a response */
    GPtrArray *names;
    GPtrArray *values;
    GString *body;
};

struct http_connection {
    int fd;
    char buffer[16384];
    size_t start;
    size_t end;
    GString *partial; /* gets the body of a message that is broken off */
};

/* Reads a request or response with its body.  NULL: the connection ended or
 * brought no whole message. */
struct http_message *http_read(struct http_connection *connection,
                               bool is_response);
const char *http_header(const struct http_message *message, const char *name);
void http_free(struct http_message *message);
bool http_write(int fd, const char *bytes, size_t length);
bool http_reply(int fd, int status, const char *headers, const char *body,
                size_t length);

/* ---- paths between machines ---- */

/*
 * The path from every machine to one address.  A machine is a node, found by
 * the process that opened the connection.  While a node is cut off, nothing
 * that it sends arrives, and nothing arrives at it.  A sender sends again what
 * was not acknowledged after 0.2 s, and then after twice the time before, as
 * TCP does, also after it has closed the connection.  What a sender had not
 * delivered when it reset the connection is lost.
 */
struct path {
    char *ip; /* where the path begins */
    int port;
    char *target_ip; /* where it ends */
    int target;
    int owner; /* the node at its end, or one of: */
};

enum {
    PATH_TO_WORKER = -1,
    PATH_TO_STORE = -2,
};

/* port 0: a free one. */
struct path *path_new(const char *ip, int port, const char *target_ip,
                      int target, int owner);
/* The process of a node; to be set before it opens a connection. */
void path_set_process(int node, pid_t pid);
/* Cuts a node off from the other nodes and the store; workers_too: from the
 * workers as well. */
void path_cut_off(int node, bool workers_too);
void path_heal(int node);

/* ---- the store ---- */

/* Starts the store at a port of 127.0.0.1.  In the values that it serves,
 * addresses ("IP:PORT") are replaced by those of the paths. */
int store_serve(GHashTable *aliases);
void store_put(const char *key, const char *value, uint64_t lease);
void store_remove(const char *key);
/* A copy of a value, or NULL. */
char *store_get(const char *key);
/* Drills: the store is away (its connections end), and comes back from the
 * copy that was saved, in the next era. */
void store_save_copy(void);
void store_set_away(bool away);
void store_restore_copy(void);

/* ---- workers ---- */

struct worker_order {
    double at;
    char *holder;
    int64_t fence;
    int status;
};

struct worker {
    char *id;
    char *service;
    char *zone;
    char *version; /* of its software */
    bool is_engine;
    int port;
    int64_t born_ms;
    bool draining;
    bool gone;
    double step_s; /* between events, or the work of a plain request */
    int64_t sequence;
    int64_t writes;
    unsigned running;
    GHashTable *items; /* "MODEL" and "MODEL/ADAPTER"; resident */
    GPtrArray *reports; /* the last ones, oldest first */
    GArray *orders;     /* struct worker_order */
};

/* models: "A,B" for an engine, or NULL. */
struct worker *worker_start(const char *id, const char *service,
                            const char *zone, const char *models,
                            double step_s);
struct worker *worker_start_version(const char *id, const char *service,
                                    const char *zone, const char *models,
                                    double step_s, const char *version);
/* Lock held for these. */
void worker_drain(struct worker *worker);
void worker_leave(struct worker *worker);
void worker_write_entry(struct worker *worker);
/* Called for each request that a worker begins to run; lock held. */
extern void (*worker_on_run)(const struct worker *worker,
                             const struct http_message *request);

/* Asked for each answer of a worker, or the head of a stream: the number of
 * bytes after which the worker breaks off, or -1.  NULL: it never does. */
extern long (*worker_break_off)(struct worker *worker, const char *id,
                                const char *answer, size_t length);
/* The body of a plain service's answer to a request; a new string. */
char *worker_make_body(const char *id);

/* ---- nodes ---- */

struct node {
    char *name;
    char *ip;
    pid_t pid;
    int callers;
    int admin;
    int peers;
    int relay;
    const struct path *store;
};

/* Fills in platform/settings.ini.in and starts the deploy file's command. */
void node_start(struct node *node, const char *folder, const char *zone,
                const char *region, const char *zones);
bool node_wait_ready(const struct node *node, double seconds);
void node_stop_all(struct node *nodes, size_t count);

#endif
