/*
 * Demonstrates a small deployment: the platform's stand-ins, two model
 * engines, a plain service and three nodes run as processes on loopback. Sends
 * requests of each class through different nodes, shows the status and stops
 * all nodes gracefully. Exits with 1 if any step fails.
 */

#include "harness/harness.h"

#include <stdio.h>
#include <string.h>

struct request {
    const char *what;
    unsigned node;
    const char *class_name;
    const char *caller;
    const char *path;
    const char *model; /* NULL: a plain service */
    unsigned tokens;
    bool stream;
    const char *key;
    const char *body; /* for a plain service */
};

static const struct request requests[] = {
    {"a streamed response; the model is loaded first", 0, "advice", "fitter",
     "/v1/chat/completions", "m01", 8, true, NULL, NULL},
    {"the same model, now in memory, through another node", 1, "advice",
     "fitter", "/v1/chat/completions", "m01", 8, true, NULL, NULL},
    {"a second model, with the whole response at once", 2, "lookup",
     "secretary", "/v1/completions", "m02", 6, false, NULL, NULL},
    {"a third model, which fills most of an engine", 0, "advice", "fitter",
     "/v1/completions", "m03", 4, false, NULL, NULL},
    {"an adapter of the first model", 1, "advice", "fitter", "/v1/completions",
     "m01-a1", 4, false, NULL, NULL},
    {"an order with an Idempotency-Key", 1, "order", "workshop",
     "/services/orders/jackets", NULL, 0, false, "llanelli-silver-7",
     "{\"hem\":\"Llanelli Silver\",\"jackets\":1}"},
    {"the same order again, through another node", 2, "order", "workshop",
     "/services/orders/jackets", NULL, 0, false, "llanelli-silver-7",
     "{\"hem\":\"Llanelli Silver\",\"jackets\":1}"},
};

static void
print_response(const struct harness_response *answer)
{
    printf("   status %d, request id %s, outcome %s\n", answer->status,
           answer->request_id == NULL ? "-" : answer->request_id,
           answer->outcome == NULL ? "-" : answer->outcome);
    printf("   first byte after %" G_GINT64_FORMAT
           " ms, whole response after %" G_GINT64_FORMAT " ms\n",
           answer->first_byte_at_ms - answer->sent_at_ms,
           answer->ended_at_ms - answer->sent_at_ms);
    char **lines = g_strsplit(answer->response_body->str, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0') {
            printf("   | %s\n", lines[i]);
        }
    }
    g_strfreev(lines);
}

/* To be freed with g_free. */
static char *
request_body(const struct request *request, unsigned serial)
{
    if (request->model == NULL) {
        return g_strdup(request->body);
    }
    return strstr(request->path, "chat") != NULL
               ? harness_chat_body(request->model, request->tokens,
                                   request->stream, serial)
               : harness_model_body(request->model, request->tokens,
                                    request->stream, serial);
}

/* Sends a request and prints the response, to be freed with
 * harness_response_free(). */
static struct harness_response *
send_request(struct harness_fleet *fleet, size_t i)
{
    const struct request *request = &requests[i];
    char *body = request_body(request, (unsigned)i);
    struct harness_call call = {.address =
                                    fleet->nodes[request->node].caller_address,
                                .method = "POST",
                                .path = request->path,
                                .class_name = request->class_name,
                                .caller = request->caller,
                                .key = request->key,
                                .body = body,
                                .timeout_ms = 15000};
    printf("\n%zu. %s\n   POST http://%s%s, class %s%s%s\n   %s\n", i + 1,
           request->what, call.address, call.path, call.class_name,
           call.key == NULL ? "" : ", Idempotency-Key ",
           call.key == NULL ? "" : call.key, body);
    struct harness_response *answer = harness_call(&call);
    print_response(answer);
    (void)fflush(stdout);
    g_free(body);
    return answer;
}

/* Runs the command line tool and prints its output; whether it exited with
 * 0. */
static bool
run_cli(const struct harness_fleet *fleet, const char *const *args)
{
    char *output = NULL;
    int status = harness_run_cli(fleet, &fleet->nodes[2], &output, args);
    printf("\n$ chestnuthitch");
    for (size_t i = 0; args[i] != NULL; i++) {
        printf(" %s", args[i]);
    }
    printf(" --node %s\n%s", fleet->nodes[2].admin_address, output);
    g_free(output);
    return status == 0;
}

/* Prints a line of the summary; returns the number of failures, 0 or 1. */
static unsigned
report_check(const char *what, bool passed)
{
    printf("%s  %s\n", passed ? "ok  " : "FAIL", what);
    return passed ? 0 : 1;
}

/* Sends all requests and prints the summary; returns the number of failures.
 */
static unsigned
run_requests(struct harness_fleet *fleet)
{
    struct harness_check_result verdict;
    GPtrArray *answers =
        g_ptr_array_new_with_free_func((GDestroyNotify)harness_response_free);
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        g_ptr_array_add(answers, send_request(fleet, i));
    }
    harness_check_responses(fleet, answers, &verdict);
    unsigned failures =
        run_cli(fleet, (const char *[]){"status", NULL}) ? 0 : 1;
    printf("\n");
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        failures += report_check(
            requests[i].what,
            harness_response_is_correct(g_ptr_array_index(answers, i)));
    }
    failures += report_check("the order ran once", verdict.ran_twice == 0);
    failures += report_check("no engine was asked for more than its memory",
                             verdict.overcommits == 0);
    g_ptr_array_unref(answers);
    return failures;
}

int
main(int argc, char **argv)
{
    static const struct harness_fleet_config shape = {
        .node_count = 3, .engine_count = 2, .service_count = 1};
    if (argc != 2) {
        (void)fprintf(stderr, "usage: demo BUILD-DIRECTORY\n");
        return 2;
    }
    printf("starting the platform's stand-ins, two engines, one service and "
           "three nodes\n");
    (void)fflush(stdout);
    struct harness_fleet *fleet = harness_fleet_start(argv[1], &shape);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        printf("node %s: callers at http://%s, operators at http://%s\n",
               fleet->nodes[i].name, fleet->nodes[i].caller_address,
               fleet->nodes[i].admin_address);
    }
    bool config_shown =
        run_cli(fleet, (const char *[]){"config", "show", NULL});
    unsigned failures =
        report_check("the declaration is in force", config_shown);
    failures += run_requests(fleet);
    failures += report_check("every node stopped gracefully",
                             harness_fleet_stop(fleet) == 0);
    printf("%s\n",
           failures == 0 ? "the whole path works" : "some checks FAILED");
    return failures == 0 ? 0 : 1;
}
