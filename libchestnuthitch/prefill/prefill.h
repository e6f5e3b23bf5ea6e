#ifndef CH_PREFILL_H
#define CH_PREFILL_H

/*
 * Spaces the prompts that all nodes send to one engine. An engine reads
 * prompts between the tokens of the streams that run there, so that several
 * prompts at once pause all of them. One node for each engine, its home, keeps
 * the time at which the next prompt may be sent; the others ask it before they
 * send one.
 *
 * line.c: no sockets, no clock, no threads; times are microseconds. manager.c:
 * one node's part, with threads.
 */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

/* ---- the prompts sent to one engine (line.c) ---- */

/* How an engine takes prompts so that its streams keep their gap target. */
struct ch_prefill_rule {
    int64_t cost;     /* time that the engine takes to read the prompt; 0: the
                         prompt is not spaced */
    int64_t capacity; /* prompts that may be read without a pause */
    double part;      /* part of the engine's time that prompts may take */
};

/*
 * The rule for a prompt, from times at a usual engine. pace: how long work
 * takes at the engine; 1: as usual. event_time: between two events of a
 * stream, without prompts. gap_target: longest pause of a stream; 0: none, and
 * the prompt is not spaced.
 */
struct ch_prefill_rule ch_prefill_rule_new(int64_t prefill_time, double pace,
                                           int64_t event_time,
                                           int64_t gap_target);

/* Prompts that were sent and not read yet, in the time that may go by until
 * they have been. */
struct ch_prefill_line {
    double backlog;
    int64_t updated_at;
};

struct ch_prefill_answer {
    bool granted;
    int64_t wait; /* until the prompt may be sent */
};

/* Asks for one prompt, which is counted if it is granted. max_wait: the
 * longest wait that the request has time for; forced: it is granted in any
 * case, with a wait of max_wait at most. */
struct ch_prefill_answer
ch_prefill_line_take(struct ch_prefill_line *line,
                     const struct ch_prefill_rule *rule, int64_t max_wait,
                     bool forced, int64_t now);

/* ---- one node's part (manager.c) ---- */

struct ch_prefill;

/* How the manager reaches other nodes. */
struct ch_prefill_peers {
    void *data;
    const char *self; /* name of this node */
    /* The home node of an upstream, a new string. */
    char *(*find_home)(void *data, GQuark upstream, GQuark region);
    void (*request)(void *data, const char *to,
                    Chestnuthitch__Wire__Frame *frame, int64_t limit,
                    void (*done)(void *data, enum ch_code code,
                                 const Chestnuthitch__Wire__Frame *reply),
                    void *done_data);
    void (*reply)(void *data, const char *to, uint64_t id,
                  Chestnuthitch__Wire__Frame *frame);
};

/* client, pool and timers must outlive the manager. */
struct ch_prefill *ch_prefill_new(struct ch_client *client,
                                  struct ch_pool *pool,
                                  struct ch_timers *timers,
                                  const struct ch_prefill_peers *peers);
/* To be called once all threads have ended; prefill may be NULL. */
void ch_prefill_free(struct ch_prefill *prefill);

struct ch_prefill_ask {
    GQuark upstream;
    GQuark region; /* of the upstream */
    struct ch_prefill_rule rule;
    int64_t max_wait;
    bool forced;
};

/*
 * Asks when a prompt may be sent. done runs exactly once, on a pool worker:
 * with granted at the time when it may be sent, or at once without; wait then
 * says how long it would have had to wait. A home node that does not answer
 * grants the prompt, so that its loss delays no request for long. A NULL
 * prefill grants everything.
 */
void ch_prefill_ask(struct ch_prefill *prefill,
                    const struct ch_prefill_ask *ask,
                    void (*done)(void *data, bool granted, int64_t wait),
                    void *data);
/* Handles the question of another node. */
void ch_prefill_handle_ask(struct ch_prefill *prefill,
                           const Chestnuthitch__Wire__Frame *frame);

#endif
