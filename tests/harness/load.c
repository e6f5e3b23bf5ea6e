/* Callers in a loop, and a load balancer in front of the nodes. */

#include "harness/harness.h"

#include <curl/curl.h>
#include <pthread.h>

enum {
    POLL_INTERVAL_MS = 250, /* also the timeout of a poll */
};

struct harness_load_run {
    struct harness_load load;
    GThread *balancer;
    GThread *callers[256];
    pthread_mutex_t lock; /* protects the members below */
    GPtrArray *answers;
    bool ready[HARNESS_MAX_PROCESSES];
    unsigned turn;
    unsigned serial;
    bool stopping;
};

struct caller {
    struct harness_load_run *running;
    unsigned number;
};

static bool
is_stopping(struct harness_load_run *running)
{
    pthread_mutex_lock(&running->lock);
    bool stop = running->stopping;
    pthread_mutex_unlock(&running->lock);
    return stop;
}

/* The load balancer's thread: polls the readiness of all nodes. */
static gpointer
poll_readiness(gpointer data)
{
    struct harness_load_run *running = data;
    const struct harness_fleet *fleet = running->load.fleet;
    while (!is_stopping(running)) {
        for (unsigned i = 0; i < fleet->node_count; i++) {
            struct harness_call call = {.address =
                                            fleet->nodes[i].caller_address,
                                        .method = "GET",
                                        .path = "/readyz",
                                        .timeout_ms = POLL_INTERVAL_MS};
            struct harness_response *answer = harness_call(&call);
            pthread_mutex_lock(&running->lock);
            running->ready[i] =
                answer->curl_code == 0 && answer->status == 200;
            pthread_mutex_unlock(&running->lock);
            harness_response_free(answer);
        }
        harness_sleep_ms(POLL_INTERVAL_MS);
    }
    return NULL;
}

/* The next ready node by round robin, but not `last` if there are several
 * nodes; any node if none qualifies. */
static unsigned
choose_node(struct harness_load_run *running, unsigned last)
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

/* After a refused connection, the node gets no requests until it is polled as
 * ready again. */
static void
mark_down(struct harness_load_run *running, unsigned node)
{
    pthread_mutex_lock(&running->lock);
    running->ready[node] = false;
    pthread_mutex_unlock(&running->lock);
}

/* Sends through the load balancer, which tries the next node when a connection
 * is refused, up to twice as often as there are nodes. *last is the node tried
 * last. */
static struct harness_response *
send_balanced(struct harness_load_run *running, struct harness_call *call,
              unsigned *last)
{
    const struct harness_fleet *fleet = running->load.fleet;
    for (unsigned attempt = 0;; attempt++) {
        unsigned chosen = choose_node(running, *last);
        call->address = fleet->nodes[chosen].caller_address;
        struct harness_response *answer = harness_call(call);
        *last = chosen;
        if (answer->curl_code != CURLE_COULDNT_CONNECT ||
            attempt >= 2 * fleet->node_count) {
            return answer;
        }
        mark_down(running, chosen);
        harness_response_free(answer);
    }
}

/* Whether the request may have run, so that the key should be sent again. */
static bool
may_have_run(const struct harness_response *answer)
{
    return answer->curl_code != 0 ||
           (answer->outcome != NULL &&
            g_strcmp0(answer->outcome, "unknown") == 0);
}

static void
store_response(struct harness_load_run *running,
               struct harness_response *answer,
               const struct harness_call_kind *kind)
{
    answer->target_ms = kind->target_ms;
    pthread_mutex_lock(&running->lock);
    g_ptr_array_add(running->answers, answer);
    pthread_mutex_unlock(&running->lock);
}

/* Sends one request. With repeat_keyed, a request with a key whose outcome is
 * unknown is sent up to 4 times. */
static void
send_call(struct harness_load_run *running,
          const struct harness_call_kind *kind, unsigned serial)
{
    unsigned last = HARNESS_MAX_PROCESSES;
    char *key = kind->has_key ? g_strdup_printf("key-%u", serial) : NULL;
    char *body = kind->model == NULL
                     ? g_strdup_printf("{\"order\":%u}", serial)
                     : harness_model_body(kind->model, kind->max_tokens,
                                          kind->stream, serial);
    struct harness_call call = {
        .method = "POST",
        .path = kind->model == NULL ? kind->service_path : "/v1/completions",
        .class_name = kind->class_name,
        .key = key,
        .body = body,
        .timeout_ms = running->load.call_timeout_ms};
    bool send_again;
    unsigned attempts = 0;
    do {
        struct harness_response *answer = send_balanced(running, &call, &last);
        send_again = kind->has_key && running->load.retry_keyed &&
                     ++attempts < 4 && may_have_run(answer);
        store_response(running, answer, kind);
    } while (send_again && !is_stopping(running));
    g_free(key);
    g_free(body);
}

/* A caller's thread. It sends one kind of call only, so that slow responses to
 * one kind don't delay the others. */
static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    struct harness_load_run *running = caller->running;
    const struct harness_call_kind *kind =
        &running->load.kinds[caller->number % running->load.kind_count];
    while (!is_stopping(running)) {
        pthread_mutex_lock(&running->lock);
        unsigned serial = running->serial++;
        pthread_mutex_unlock(&running->lock);
        send_call(running, kind, serial);
        harness_sleep_ms(running->load.pause_ms);
    }
    g_free(caller);
    return NULL;
}

struct harness_load_run *
harness_load_start(const struct harness_load *load)
{
    struct harness_load_run *running = g_new0(struct harness_load_run, 1);
    running->load = *load;
    running->serial = load->first_serial;
    running->answers =
        g_ptr_array_new_with_free_func((GDestroyNotify)harness_response_free);
    pthread_mutex_init(&running->lock, NULL);
    for (unsigned i = 0; i < HARNESS_MAX_PROCESSES; i++) {
        running->ready[i] = true;
    }
    running->balancer = g_thread_new("balancer", poll_readiness, running);
    for (unsigned i = 0; i < load->caller_count; i++) {
        struct caller *caller = g_new(struct caller, 1);
        caller->running = running;
        caller->number = i;
        running->callers[i] = g_thread_new("caller", run_caller, caller);
    }
    return running;
}

static gint
compare_sent(gconstpointer a, gconstpointer b)
{
    const struct harness_response *const *first = a;
    const struct harness_response *const *second = b;
    return ((*first)->sent_at_ms > (*second)->sent_at_ms) -
           ((*first)->sent_at_ms < (*second)->sent_at_ms);
}

GPtrArray *
harness_load_stop(struct harness_load_run *running)
{
    pthread_mutex_lock(&running->lock);
    running->stopping = true;
    pthread_mutex_unlock(&running->lock);
    for (unsigned i = 0; i < running->load.caller_count; i++) {
        (void)g_thread_join(running->callers[i]);
    }
    (void)g_thread_join(running->balancer);
    GPtrArray *answers = running->answers;
    g_ptr_array_sort(answers, compare_sent);
    pthread_mutex_destroy(&running->lock);
    g_free(running);
    return answers;
}
