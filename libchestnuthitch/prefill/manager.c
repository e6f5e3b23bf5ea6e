/* Asks the home nodes of engines when prompts may be sent, and keeps the lines
 * of the engines that have their home at this node. */

#include "prefill/prefill.h"

#include <pthread.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Time for a home node to answer, beside the round trip to another region.
     * A prompt that waited longer for an answer would be late by that. */
    ASK_TIMEOUT_US = 100 * 1000,
    /* A shorter wait is not worth a timer. */
    MIN_WAIT_US = 2 * 1000,
    /* Lines of engines that got no prompt for this long are dropped, once
     * there are so many. */
    LINE_IDLE_US = 10 * 1000 * 1000,
    MAX_LINES = 4096,
    MAX_WAIT_US = 10 * 1000 * 1000,
};

struct ch_prefill {
    struct ch_client *client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_prefill_peers peers;
    pthread_mutex_t lock;
    GHashTable *lines; /* GQuark to struct ch_prefill_line; guarded by lock */
};

/* A request that asks, or waits until it may be sent. */
struct waiting_ask {
    struct ch_prefill *prefill;
    struct ch_prefill_answer answer;
    void (*done)(void *data, bool granted, int64_t wait);
    void *data;
};

/* Creates a manager without lines. */
struct ch_prefill *
ch_prefill_new(struct ch_client *client, struct ch_pool *pool,
               struct ch_timers *timers, const struct ch_prefill_peers *peers)
{
    struct ch_prefill *prefill = g_new0(struct ch_prefill, 1);
    prefill->client = client;
    prefill->pool = pool;
    prefill->timers = timers;
    prefill->peers = *peers;
    pthread_mutex_init(&prefill->lock, NULL);
    prefill->lines = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return prefill;
}

/* See prefill.h. */
void
ch_prefill_free(struct ch_prefill *prefill)
{
    if (prefill != NULL) {
        g_hash_table_destroy(prefill->lines);
        pthread_mutex_destroy(&prefill->lock);
        g_free(prefill);
    }
}

static void
count_event(const struct ch_prefill *prefill, enum ch_counter counter)
{
    if (prefill->client->metrics != NULL) {
        ch_metrics_add_count(prefill->client->metrics, counter, 1);
    }
}

/* For g_hash_table_foreach_remove(); data is the current time. */
static gboolean
is_idle(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const struct ch_prefill_line *line = value;
    return *(const int64_t *)data - line->updated_at > LINE_IDLE_US;
}

/* Asks the line of an engine that has its home at this node. */
static struct ch_prefill_answer
take_here(struct ch_prefill *prefill, const struct ch_prefill_ask *ask)
{
    gpointer key = GUINT_TO_POINTER(ask->upstream);
    int64_t now = ch_client_get_time(prefill->client);
    pthread_mutex_lock(&prefill->lock);
    struct ch_prefill_line *line = g_hash_table_lookup(prefill->lines, key);
    if (line == NULL) {
        if (g_hash_table_size(prefill->lines) >= MAX_LINES) {
            g_hash_table_foreach_remove(prefill->lines, is_idle, &now);
        }
        line = g_new0(struct ch_prefill_line, 1);
        g_hash_table_insert(prefill->lines, key, line);
    }
    const struct ch_prefill_answer answer = ch_prefill_line_take(
        line, &ask->rule, ask->max_wait, ask->forced, now);
    pthread_mutex_unlock(&prefill->lock);
    return answer;
}

/* Reports the result and frees the ask. */
static void
end_ask(void *data)
{
    struct waiting_ask *waiting = data;
    waiting->done(waiting->data, waiting->answer.granted,
                  waiting->answer.wait);
    g_free(waiting);
}

/* Handles the answer: the request goes on when its prompt may be sent. */
static void
handle_answer(struct waiting_ask *waiting)
{
    struct ch_prefill *prefill = waiting->prefill;
    count_event(prefill, waiting->answer.granted ? CH_COUNT_PREFILL_GRANTED
                                                 : CH_COUNT_PREFILL_REFUSED);
    if (waiting->answer.granted && waiting->answer.wait >= MIN_WAIT_US) {
        count_event(prefill, CH_COUNT_PREFILL_DELAYED);
        ch_timers_add(prefill->timers, waiting->answer.wait, end_ask, waiting);
    }
    else {
        ch_pool_submit(prefill->pool, end_ask, waiting);
    }
}

/* Handles the home node's reply, or that none came in time. */
static void
handle_reply(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct waiting_ask *waiting = data;
    waiting->answer = (struct ch_prefill_answer){.granted = true};
    if (code == CH_OK && reply != NULL &&
        reply->body_case == WIRE(FRAME__BODY_PREFILL_REPLY)) {
        waiting->answer.granted = reply->prefill_reply->granted;
        waiting->answer.wait = MIN(reply->prefill_reply->wait_us, MAX_WAIT_US);
    }
    handle_answer(waiting);
}

static void
send_ask(struct waiting_ask *waiting, const struct ch_prefill_ask *ask,
         const char *home)
{
    Chestnuthitch__Wire__PrefillAsk body = WIRE(PREFILL_ASK__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    const struct ch_prefill_peers *peers = &waiting->prefill->peers;
    body.upstream = (char *)g_quark_to_string(ask->upstream);
    body.cost_us = (uint32_t)MIN(ask->rule.cost, MAX_WAIT_US);
    body.capacity_us = (uint32_t)MIN(ask->rule.capacity, MAX_WAIT_US);
    body.permille = (uint32_t)(ask->rule.part * 1000);
    body.wait_ms = (uint32_t)(CLAMP(ask->max_wait, 0, MAX_WAIT_US) / 1000);
    body.forced = ask->forced;
    frame.body_case = WIRE(FRAME__BODY_PREFILL_ASK);
    frame.prefill_ask = &body;
    peers->request(peers->data, home, &frame, ASK_TIMEOUT_US, handle_reply,
                   waiting);
}

/* See prefill.h. */
void
ch_prefill_ask(struct ch_prefill *prefill, const struct ch_prefill_ask *ask,
               void (*done)(void *data, bool granted, int64_t wait),
               void *data)
{
    struct waiting_ask *waiting = g_new0(struct waiting_ask, 1);
    *waiting = (struct waiting_ask){
        .prefill = prefill,
        .done = done,
        .data = data,
    };
    g_autofree char *home = prefill->peers.find_home(
        prefill->peers.data, ask->upstream, ask->region);
    if (home == NULL || strcmp(home, prefill->peers.self) == 0) {
        waiting->answer = take_here(prefill, ask);
        handle_answer(waiting);
    }
    else {
        send_ask(waiting, ask, home);
    }
}

/* See prefill.h. */
void
ch_prefill_handle_ask(struct ch_prefill *prefill,
                      const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__PrefillAsk *body = frame->prefill_ask;
    Chestnuthitch__Wire__PrefillReply reply_body = WIRE(PREFILL_REPLY__INIT);
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    const struct ch_prefill_ask ask = {
        .upstream = g_quark_try_string(body->upstream),
        .rule =
            {
                .cost = MIN(body->cost_us, MAX_WAIT_US),
                .capacity = MIN(body->capacity_us, MAX_WAIT_US),
                .part = MIN(body->permille, 1000) / 1000.0,
            },
        .max_wait = MIN((int64_t)body->wait_ms * 1000, MAX_WAIT_US),
        .forced = body->forced,
    };
    struct ch_prefill_answer answer = {.granted = true};
    if (ask.upstream != 0) { /* one that is not known has no line here */
        answer = take_here(prefill, &ask);
    }
    reply_body.granted = answer.granted;
    reply_body.wait_us = (uint32_t)MIN(answer.wait, MAX_WAIT_US);
    reply.body_case = WIRE(FRAME__BODY_PREFILL_REPLY);
    reply.prefill_reply = &reply_body;
    prefill->peers.reply(prefill->peers.data, frame->from, frame->id, &reply);
}
