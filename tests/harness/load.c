/* Callers in a loop, and the platform's balancer in front of the nodes. */

#include "harness/harness.h"

#include <curl/curl.h>
#include <pthread.h>

enum {
    PROBE_MS = 250,
};

struct harness_running {
    struct harness_load load;
    GThread *balancer;
    GThread *callers[256];
    pthread_mutex_t lock; /* over what follows */
    GPtrArray *answers;
    bool ready[HARNESS_MOST];
    unsigned turn;
    unsigned serial;
    bool stopping;
};

struct caller {
    struct harness_running *running;
    unsigned number;
};

/* True once the load is to end. */
static bool
stopping(struct harness_running *running)
{
    pthread_mutex_lock(&running->lock);
    bool stop = running->stopping;
    pthread_mutex_unlock(&running->lock);
    return stop;
}

/* The balancer's thread: which nodes say that they are ready. */
static gpointer
probe(gpointer data)
{
    struct harness_running *running = data;
    const struct harness_fleet *fleet = running->load.fleet;
    while (!stopping(running)) {
        for (unsigned i = 0; i < fleet->node_count; i++) {
            struct harness_call call = {.address =
                                            fleet->nodes[i].caller_address,
                                        .method = "GET",
                                        .path = "/readyz",
                                        .limit_ms = PROBE_MS};
            struct harness_answer *answer = harness_call(&call);
            pthread_mutex_lock(&running->lock);
            running->ready[i] = answer->curl == 0 && answer->status == 200;
            pthread_mutex_unlock(&running->lock);
            harness_answer_free(answer);
        }
        harness_sleep(PROBE_MS);
    }
    return NULL;
}

/* The next ready node in turn, the one after `last`; any when none is. */
static unsigned
choose_node(struct harness_running *running, unsigned last)
{
    unsigned count = running->load.fleet->node_count;
    unsigned chosen = 0;
    pthread_mutex_lock(&running->lock);
    for (unsigned i = 0; i < count; i++) {
        chosen = running->turn++ % count;
        if (running->ready[chosen] && (chosen != last || count == 1)) {
            break;
        }
    }
    pthread_mutex_unlock(&running->lock);
    return chosen;
}

/* Notes a refused connection: the node gets nothing until it is ready. */
static void
mark_down(struct harness_running *running, unsigned node)
{
    pthread_mutex_lock(&running->lock);
    running->ready[node] = false;
    pthread_mutex_unlock(&running->lock);
}

/* Sends through the balancer: a refused connection is tried at the next. */
static struct harness_answer *
send_balanced(struct harness_running *running, struct harness_call *call,
              unsigned *last)
{
    const struct harness_fleet *fleet = running->load.fleet;
    for (unsigned attempt = 0;; attempt++) {
        unsigned chosen = choose_node(running, *last);
        call->address = fleet->nodes[chosen].caller_address;
        struct harness_answer *answer = harness_call(call);
        *last = chosen;
        if (answer->curl != CURLE_COULDNT_CONNECT ||
            attempt >= 2 * fleet->node_count) {
            return answer;
        }
        mark_down(running, chosen);
        harness_answer_free(answer);
    }
}

/* True when the same key is worth sending again: it may have run. */
static bool
uncertain(const struct harness_answer *answer)
{
    return answer->curl != 0 || (answer->outcome != NULL &&
                                 g_strcmp0(answer->outcome, "unknown") == 0);
}

/* Keeps an answer. */
static void
keep(struct harness_running *running, struct harness_answer *answer,
     const struct harness_kind *kind)
{
    answer->target_ms = kind->target_ms;
    pthread_mutex_lock(&running->lock);
    g_ptr_array_add(running->answers, answer);
    pthread_mutex_unlock(&running->lock);
}

/* One call of a kind; a keyed one whose outcome is unknown is repeated. */
static void
make_call(struct harness_running *running, const struct harness_kind *kind,
          unsigned serial)
{
    unsigned last = HARNESS_MOST;
    char *key = kind->keyed ? g_strdup_printf("key-%u", serial) : NULL;
    char *body = kind->model == NULL
                     ? g_strdup_printf("{\"order\":%u}", serial)
                     : harness_model_body(kind->model, kind->tokens,
                                          kind->stream, serial);
    struct harness_call call = {
        .method = "POST",
        .path = kind->model == NULL ? kind->service : "/v1/completions",
        .class_name = kind->class_name,
        .key = key,
        .body = body,
        .limit_ms = running->load.limit_ms};
    bool again;
    unsigned tries = 0;
    do {
        struct harness_answer *answer = send_balanced(running, &call, &last);
        again = kind->keyed && running->load.repeat_keyed && ++tries < 4 &&
                uncertain(answer);
        keep(running, answer, kind);
    } while (again && !stopping(running));
    g_free(key);
    g_free(body);
}

/* A caller's thread.  It sends one kind only, so that a kind whose answers are
 * slow keeps no caller of another kind waiting. */
static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    struct harness_running *running = caller->running;
    const struct harness_kind *kind =
        &running->load.kinds[caller->number % running->load.kind_count];
    while (!stopping(running)) {
        pthread_mutex_lock(&running->lock);
        unsigned serial = running->serial++;
        pthread_mutex_unlock(&running->lock);
        make_call(running, kind, serial);
        harness_sleep(running->load.pause_ms);
    }
    g_free(caller);
    return NULL;
}

/* Starts the callers. */
struct harness_running *
harness_load_start(const struct harness_load *load)
{
    struct harness_running *running = g_new0(struct harness_running, 1);
    running->load = *load;
    running->serial = load->first_serial;
    running->answers =
        g_ptr_array_new_with_free_func((GDestroyNotify)harness_answer_free);
    pthread_mutex_init(&running->lock, NULL);
    for (unsigned i = 0; i < HARNESS_MOST; i++) {
        running->ready[i] = true;
    }
    running->balancer = g_thread_new("balancer", probe, running);
    for (unsigned i = 0; i < load->callers; i++) {
        struct caller *caller = g_new(struct caller, 1);
        caller->running = running;
        caller->number = i;
        running->callers[i] = g_thread_new("caller", run_caller, caller);
    }
    return running;
}

/* Orders answers by when they were sent. */
static gint
by_sent(gconstpointer a, gconstpointer b)
{
    const struct harness_answer *const *one = a;
    const struct harness_answer *const *two = b;
    return ((*one)->sent > (*two)->sent) - ((*one)->sent < (*two)->sent);
}

/* Ends the load after the calls under way; every answer. */
GPtrArray *
harness_load_stop(struct harness_running *running)
{
    pthread_mutex_lock(&running->lock);
    running->stopping = true;
    pthread_mutex_unlock(&running->lock);
    for (unsigned i = 0; i < running->load.callers; i++) {
        (void)g_thread_join(running->callers[i]);
    }
    (void)g_thread_join(running->balancer);
    GPtrArray *answers = running->answers;
    g_ptr_array_sort(answers, by_sent);
    pthread_mutex_destroy(&running->lock);
    g_free(running);
    return answers;
}
