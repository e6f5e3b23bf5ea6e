#ifndef CH_PLATFORM_H
#define CH_PLATFORM_H

/*
 * The platform's key-value service and host list.  Each is behind a vtable, so
 * that a service with another protocol is one new file.
 */

#include "net/net.h"

/* ---- key-value service (kv.c: the vtable; kv_http.c: over HTTP) ---- */

struct ch_kv_answer {
    enum ch_code code; /* OK, KV_MISSING, KV_CONFLICT, KV_UNREACHABLE (surely
                          not written), KV_AMBIGUOUS (a write whose answer was
                          lost: it may have taken effect) */
    const void *value; /* valid during the call alone */
    size_t length;
    uint64_t revision; /* of the value; of a conflict, the one in force */
};

struct ch_kv_entry {
    char *key;
    char *value;
    size_t length;
    uint64_t revision;
};

/* Entries below a prefix as they were at a revision, or what has changed. */
struct ch_kv_range {
    enum ch_code code; /* OK, KV_MISSING (a watch: nothing changed within its
                          wait), KV_HISTORY_GONE, KV_UNREACHABLE */
    const struct ch_kv_entry *entries; /* value NULL: the key was removed */
    size_t count;
    uint64_t at; /* the service's revision */
};

struct ch_kv;

struct ch_kv_ops {
    void (*get)(struct ch_kv *kv, const char *key,
                void (*done)(void *data, const struct ch_kv_answer *answer),
                void *data);
    /* revision 0: only if absent; else only if the value is at revision. */
    void (*put)(struct ch_kv *kv, const char *key, const void *value,
                size_t length, uint64_t revision,
                void (*done)(void *data, const struct ch_kv_answer *answer),
                void *data);
    void (*remove)(struct ch_kv *kv, const char *key, uint64_t revision,
                   void (*done)(void *data, const struct ch_kv_answer *answer),
                   void *data);
    /* Answers when the value is above revision, or KV_MISSING after wait. */
    void (*watch)(struct ch_kv *kv, const char *key, uint64_t revision,
                  int64_t wait,
                  void (*done)(void *data, const struct ch_kv_answer *answer),
                  void *data);
    /* Every key below prefix in order, with values. */
    void (*list)(struct ch_kv *kv, const char *prefix,
                 void (*done)(void *data, enum ch_code code,
                              const struct ch_kv_entry *entries, size_t count),
                 void *data);
    /*
     * The rest is NULL where the service has no such calls.  range: the keys
     * below a prefix; changes: waits for what changes there after a revision.
     */
    void (*range)(struct ch_kv *kv, const char *prefix,
                  void (*done)(void *data, const struct ch_kv_range *range),
                  void *data);
    void (*changes)(struct ch_kv *kv, const char *prefix, uint64_t after,
                    int64_t wait,
                    void (*done)(void *data, const struct ch_kv_range *range),
                    void *data);
    /* Keys written under a lease go when it ends; ttl in microseconds, from
       when the service takes the call.  value of the answer is empty, revision
       the lease's number. */
    void (*lease)(struct ch_kv *kv, int64_t ttl,
                  void (*done)(void *data, const struct ch_kv_answer *answer),
                  void *data);
    /* KV_MISSING: it has ended. */
    void (*renew)(struct ch_kv *kv, uint64_t lease,
                  void (*done)(void *data, const struct ch_kv_answer *answer),
                  void *data);
    void (*end_lease)(struct ch_kv *kv, uint64_t lease,
                      void (*done)(void *data,
                                   const struct ch_kv_answer *answer),
                      void *data);
    /* As put, under a lease; KV_MISSING: there is no such lease. */
    void (*put_leased)(struct ch_kv *kv, const char *key, const void *value,
                       size_t length, uint64_t revision, uint64_t lease,
                       void (*done)(void *data,
                                    const struct ch_kv_answer *answer),
                       void *data);
    void (*free)(struct ch_kv *kv);
};

struct ch_kv {
    const struct ch_kv_ops *ops;
};

/* Calls are counted in the client's metrics.  done runs exactly once. */
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
    char *address; /* upstream: HTTP; entry: its peers listener */
    char *region;
    char *data_centre;
    char *service; /* of a plain service: its name; else NULL */
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t batch; /* most requests at once; 0: not stated */
    bool leaving;
    /* What an engine tells of itself there; empty where the list has none. */
    uint64_t boot;     /* higher after each start; 0: not told */
    int64_t leaves_in; /* it is gone after this; 0: not told */
    int64_t slow_for;  /* it works slowly for so long after its start */
    char **resident;   /* "model" and "model/adapter"; NULL: none */
    char **copies;     /* models of which it keeps a copy near by */
    uint32_t capacity; /* of an entry host; 0: not told */
    int64_t read_at; /* when all this came, by the node's clock; 0: not kept */
};

/* Frees what a host holds, not the struct. */
void ch_host_clear(struct ch_host *host);

struct ch_host_list {
    struct ch_host *hosts;
    size_t count;
};

struct ch_host_list *ch_host_list_parse(const char *json, size_t length,
                                        struct ch_error *error);
void ch_host_list_free(struct ch_host_list *list);

struct ch_hosts;

struct ch_hosts_ops {
    /* list is owned by the callee; NULL with a code when there is none, and
       with OK when it is the one that was given last.  One at a time. */
    void (*fetch)(struct ch_hosts *hosts,
                  void (*done)(void *data, enum ch_code code,
                               struct ch_host_list *list),
                  void *data);
    void (*free)(struct ch_hosts *hosts);
};

struct ch_hosts {
    const struct ch_hosts_ops *ops;
};

struct ch_hosts *ch_hosts_http_new(struct ch_client *client,
                                   struct ch_http *http, const char *address,
                                   int64_t call_limit);

#endif
