#ifndef CH_PLATFORM_H
#define CH_PLATFORM_H

/*
 * The platform's key-value store and host list.  Each is behind a vtable, so
 * that supporting another protocol takes one new file.
 */

#include "net/net.h"

/* ---- key-value store (kv_http.c: over HTTP) ---- */

struct ch_kv_result {
    enum ch_code code; /* OK, KV_MISSING, KV_CONFLICT, KV_UNREACHABLE (a write
                          certainly had no effect), KV_AMBIGUOUS (the response
                          to a write was lost: it may have taken effect) */
    const void *value; /* valid only during the callback */
    size_t length;
    uint64_t revision; /* of the value; after a conflict, the current one */
};

struct ch_kv_entry {
    char *key;
    char *value;
    size_t length;
    uint64_t revision;
};

/* The entries below a prefix as of one revision, or the changes to them. */
struct ch_kv_range {
    enum ch_code code; /* OK, KV_MISSING (a watch saw no change within its wait
                          time), KV_HISTORY_GONE, KV_UNREACHABLE */
    const struct ch_kv_entry *entries; /* value NULL: the key was removed */
    size_t count;
    uint64_t revision; /* the store's revision */
};

struct ch_kv;

/* Returns of the store from a copy, as this client has seen them. */
struct ch_kv_returns {
    uint64_t count;
    int64_t last_at; /* by the client's clock; 0: never */
};

struct ch_kv_ops {
    void (*get)(struct ch_kv *kv, const char *key,
                void (*done)(void *data, const struct ch_kv_result *result),
                void *data);
    /* Writes only if the value is still at revision; 0: only if the key is
       absent. */
    void (*put)(struct ch_kv *kv, const char *key, const void *value,
                size_t length, uint64_t revision,
                void (*done)(void *data, const struct ch_kv_result *result),
                void *data);
    void (*remove)(struct ch_kv *kv, const char *key, uint64_t revision,
                   void (*done)(void *data, const struct ch_kv_result *result),
                   void *data);
    /* Completes when the value's revision exceeds revision, or with
       KV_MISSING after wait microseconds. */
    void (*watch)(struct ch_kv *kv, const char *key, uint64_t revision,
                  int64_t wait,
                  void (*done)(void *data, const struct ch_kv_result *result),
                  void *data);
    /* Every key below prefix in order, with values. */
    void (*list)(struct ch_kv *kv, const char *prefix,
                 void (*done)(void *data, enum ch_code code,
                              const struct ch_kv_entry *entries, size_t count),
                 void *data);
    /*
     * The remaining members are NULL where the store lacks such calls.  range
     * lists the keys below a prefix; watch_changes waits up to wait
     * microseconds for changes to them after a revision.
     */
    void (*range)(struct ch_kv *kv, const char *prefix,
                  void (*done)(void *data, const struct ch_kv_range *range),
                  void *data);
    void (*watch_changes)(
        struct ch_kv *kv, const char *prefix, uint64_t after, int64_t wait,
        void (*done)(void *data, const struct ch_kv_range *range), void *data);
    /* Keys written under a lease are removed when the lease ends.  ttl, in
       microseconds, counts from when the store accepts the call.  The result
       has no value; its revision is the lease ID. */
    void (*create_lease)(struct ch_kv *kv, int64_t ttl,
                         void (*done)(void *data,
                                      const struct ch_kv_result *result),
                         void *data);
    /* KV_MISSING: the lease has ended. */
    void (*renew_lease)(struct ch_kv *kv, uint64_t lease_id,
                        void (*done)(void *data,
                                     const struct ch_kv_result *result),
                        void *data);
    void (*end_lease)(struct ch_kv *kv, uint64_t lease_id,
                      void (*done)(void *data,
                                   const struct ch_kv_result *result),
                      void *data);
    /* As put, under a lease; KV_MISSING: there is no such lease. */
    void (*put_with_lease)(struct ch_kv *kv, const char *key,
                           const void *value, size_t length, uint64_t revision,
                           uint64_t lease_id,
                           void (*done)(void *data,
                                        const struct ch_kv_result *result),
                           void *data);
    /* After a return, what was written in the seconds before it is lost. */
    struct ch_kv_returns (*get_returns)(struct ch_kv *kv);
    void (*free)(struct ch_kv *kv);
};

struct ch_kv {
    const struct ch_kv_ops *ops;
};

/* Calls are counted in the client's metrics.  done runs exactly once per call.
 * call_limit in microseconds. */
struct ch_kv *ch_kv_http_new(struct ch_client *client, struct ch_http *http,
                             const char *address, int64_t call_limit);

/* ---- host list (hosts.c, hosts_http.c) ---- */

enum ch_host_kind {
    CH_HOST_ENTRY,
    CH_HOST_ENGINE,
    CH_HOST_SERVICE,
};

struct ch_host {
    char *name;
    enum ch_host_kind kind;
    char *address; /* upstream: its HTTP address; entry node: the address where
                      it listens for other nodes */
    char *region;
    char *data_centre;
    char *service; /* a plain service's name; else NULL */
    char *version; /* of the upstream's software; NULL: not known */
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t max_batch; /* maximum concurrent requests; 0: not stated */
    bool draining;
    /* What an engine reports of itself in the host list; empty where the list
       has no such data. */
    uint64_t boot_id;       /* increases with each restart; 0: unknown */
    uint64_t write_count;   /* of this entry, by that process; 0: not stated */
    int64_t remaining_time; /* time until the engine stops; 0: unknown */
    int64_t
        slow_time_left;    /* for how much longer it is slow after its start */
    char **resident_items; /* "model" and "model/adapter"; NULL: none */
    char **local_copies;   /* models of which the engine has a local copy */
    uint32_t capacity;     /* of an entry host; 0: unknown */
    int64_t received_at;   /* when this entry arrived, by the node's clock; 0:
                          not   recorded */
};

enum {
    CH_HOST_MAX_VERSION_BYTES = 64,
};

/* Whether a text can name an upstream or a node: it is sent in headers. */
bool ch_host_is_name(const char *text);
/* Whether a text can name a service or a data centre. */
bool ch_host_is_label(const char *text);
/* Whether a text names a version of an upstream's software. */
bool ch_host_is_version(const char *text);
/* Frees the members of a host, not the struct. */
void ch_host_clear(struct ch_host *host);

struct ch_host_list {
    struct ch_host *hosts;
    size_t count;
};

/* Parses the JSON of a host list; NULL with an error. */
struct ch_host_list *ch_host_list_parse(const char *json, size_t length,
                                        struct ch_error *error);
void ch_host_list_free(struct ch_host_list *list);

struct ch_host_source;

struct ch_host_source_ops {
    /* done takes ownership of the list.  list is NULL with an error code when
       the fetch failed, and NULL with OK when the list is unchanged since the
       last fetch.  Only one fetch may run at a time. */
    void (*fetch)(struct ch_host_source *hosts,
                  void (*done)(void *data, enum ch_code code,
                               struct ch_host_list *list),
                  void *data);
    void (*free)(struct ch_host_source *hosts);
};

/* A source of host lists. */
struct ch_host_source {
    const struct ch_host_source_ops *ops;
};

/* call_limit, in microseconds, limits each fetch. */
struct ch_host_source *ch_host_source_http_new(struct ch_client *client,
                                               struct ch_http *http,
                                               const char *address,
                                               int64_t call_limit);

#endif
