/*
 * Some workers break off some of their answers, as in `garble`: in the head,
 * after the signature, or in the body.  A client must not get such an answer
 * as a whole one.
 */

#include "config.h"
#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    NODES = 2,
    EVENTS = 10,
    /* Every 20th answer of a faulty worker: x = 0.05. */
    BREAK_EVERY = 20,
};

static const double TROUBLE_S = 6.0;
static struct deployment deployment;
static double stop_at;
static bool trouble; /* guarded by world_lock */
static unsigned answers[MAX_WORKERS];
static unsigned broken_off;
static unsigned broken_in_head;
static unsigned calls;
static unsigned wrong;

/* Three of the five workers are faulty: a share of 0.6. */
static bool
is_faulty(int index)
{
    return index == 0 || index == 2 || index == 3;
}

/* See worker_break_off. */
static long
break_off(struct worker *worker, const char *id, const char *answer,
          size_t length)
{
    const char *signature = strstr(answer, "Server-Signature:");
    const char *type = strstr(answer, "Content-Type:");
    const char *end = strstr(answer, "\r\n\r\n");
    long at = -1;
    pthread_mutex_lock(&world_lock);
    for (int i = 0; trouble && i < deployment.worker_count; i++) {
        if (deployment.workers[i] != worker || !is_faulty(i) ||
            ++answers[i] % BREAK_EVERY != 0) {
            continue;
        }
        switch (broken_off++ % 3) {
        case 0: /* after the line of the signature */
            at = strstr(signature, "\r\n") + 2 - answer;
            break;
        case 1: /* after the line of the type, in the next one */
            at = strstr(type, "\r\n") + 2 + 9 - answer;
            break;
        default: /* in the body, or before a stream's first event */
            at = end + 4 - answer +
                 (long)(length - (size_t)(end + 4 - answer)) / 2;
            break;
        }
        broken_in_head += at < end + 4 - answer ? 1 : 0;
        world_record("%s breaks off its answer to %s after %ld bytes; the "
                     "head has %ld",
                     worker->id, id, at, (long)(end + 4 - answer));
    }
    pthread_mutex_unlock(&world_lock);
    return at;
}

/* Whether the body is what a worker answers to the request. */
static bool
is_whole(const struct client_call *call)
{
    if (call->model == NULL) {
        g_autofree char *body = worker_make_body(call->id);
        return strcmp(call->body->str, body) == 0;
    }
    g_autoptr(GString) expected = g_string_new(NULL);
    for (unsigned i = 1; i <= EVENTS; i++) {
        g_string_append_printf(expected, "id: %u\ndata: %s/%u\n\n", i,
                               call->id, i);
    }
    return strcmp(call->body->str, expected->str) == 0;
}

static void *
run_call(void *data)
{
    struct client_call *call = data;
    client_send(call);
    bool is_wrong = call->status >= 200 && call->status < 300 &&
                    (call->signature == NULL || !is_whole(call));
    pthread_mutex_lock(&world_lock);
    calls++;
    wrong += is_wrong ? 1 : 0;
    pthread_mutex_unlock(&world_lock);
    if (is_wrong) {
        world_record("BROKEN: request %s to %s is answered %d by %s, as a "
                     "whole answer, with %zu bytes that are not the worker's",
                     call->id, call->path, call->status,
                     call->signature == NULL ? "nobody" : call->signature,
                     call->body->len);
    }
    return NULL;
}

/* Thirty requests a second at one node. */
static void *
run_clients(void *data)
{
    int node = GPOINTER_TO_INT(data);
    static const char *const models[] = {"m0", "m1"};
    for (unsigned i = 0; world_now() < stop_at; i++) {
        struct client_call *call = g_new0(struct client_call, 1);
        bool streams = i % 2 == 0;
        *call = (struct client_call){
            .deployment = &deployment,
            .node = node,
            .path = streams ? "/notes/a" : "/book/b",
            .model = streams ? models[i / 2 % 2] : NULL,
            .events = EVENTS,
            .deadline_ms = 3000,
        };
        world_start_thread(run_call, call);
        g_usleep(1000 * 1000 / 30);
    }
    return NULL;
}

static void
set_trouble(bool on)
{
    pthread_mutex_lock(&world_lock);
    trouble = on;
    pthread_mutex_unlock(&world_lock);
    world_record("workers %s", on ? "begin to break off answers"
                                  : "break off no more answers");
}

int
main(void)
{
    const char *text = getenv("TROUBLE");
    bool with_trouble = text == NULL || strcmp(text, "0") != 0;
    worker_break_off = break_off;
    deployment.workers[0] =
        worker_start("i-1a", "helper-llm", "luzon-a", "m0,m1", 0.01);
    deployment.workers[1] =
        worker_start("i-2b", "helper-llm", "luzon-a", "m0,m1", 0.01);
    deployment.workers[2] =
        worker_start("i-3c", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.workers[3] =
        worker_start("i-4d", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.workers[4] =
        worker_start("i-5e", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.worker_count = 5;
    deployment_start(&deployment, NODES, config_get());
    stop_at = world_now() + 10;
    for (int i = 0; i < NODES; i++) {
        world_start_thread(run_clients, GINT_TO_POINTER(i));
    }
    world_sleep_until(world_now() + 2);
    if (with_trouble) {
        set_trouble(true);
        world_sleep_until(world_now() + TROUBLE_S);
        set_trouble(false);
    }
    world_sleep_until(stop_at + 4);
    deployment_stop(&deployment);
    pthread_mutex_lock(&world_lock);
    world_record("%u requests, %u answers broken off, %u of them in the head; "
                 "%u clients got one as a whole answer",
                 calls, broken_off, broken_in_head, wrong);
    (void)printf("%u requests, %u answers broken off, %u of them in the head; "
                 "%u clients got one as a whole answer\n",
                 calls, broken_off, broken_in_head, wrong);
    bool could_run = calls > 300 && (!with_trouble || broken_in_head > 0);
    pthread_mutex_unlock(&world_lock);
    return !could_run ? 2 : wrong > 0 ? 1 : 0;
}
