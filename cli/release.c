/* chestnuthitch release: allows a barred request to be sent to upstreams
 * again. */

#include "admin_client.h"

#include <stdio.h>

/* Sends the release to one node, which forwards it to the other nodes. */
static int
run_release(char **nodes, const char *digest)
{
    struct ch_digest parsed;
    if (!ch_digest_parse(digest, &parsed)) {
        (void)fprintf(stderr,
                      "chestnuthitch: '%s' is not 32 hexadecimal digits\n",
                      digest);
        return CLI_BAD_INPUT;
    }
    if (!cli_nodes_check(nodes)) {
        return CLI_BAD_INPUT;
    }
    struct cli_response response;
    char *path = g_strconcat("/admin/v1/release?digest=", digest, NULL);
    cli_call_any_node(nodes, "POST", path, "", &response);
    g_free(path);
    int status = CLI_OK;
    if (response.status == 0) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", response.error_message);
        status = CLI_UNREACHABLE;
    }
    else if (response.status != 200) {
        struct ch_error error = {0};
        cli_error_parse(response.body, &error);
        (void)fprintf(stderr, "chestnuthitch: %s\n", error.message);
        status = CLI_FAILED;
    }
    else {
        (void)printf("released\n");
    }
    cli_response_clear(&response);
    return status;
}

int
cli_release(int argc, char **argv)
{
    char **nodes = NULL;
    const GOptionEntry entries[] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING_ARRAY, &nodes,
         "Admin listener of a node; if repeated, nodes are tried in turn",
         "IP:PORT"},
        {0},
    };
    GOptionContext *context = g_option_context_new("DIGEST");
    g_option_context_set_summary(context,
                                 "Allows a request that was barred after "
                                 "upstreams crashed to be sent to "
                                 "upstreams\nagain, on all nodes.  DIGEST is "
                                 "shown by `status` and in the log\n"
                                 "event \"request-barred\".");
    g_option_context_set_description(
        context, "Exit status: 0 released, 1 nothing is known of that digest, "
                 "2 invalid "
                 "command line,\n4 no node could be reached.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *parse_error = NULL;
    int status = CLI_BAD_INPUT;
    if (!g_option_context_parse(context, &argc, &argv, &parse_error)) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", parse_error->message);
        g_error_free(parse_error);
    }
    else if (argc != 2) {
        (void)fprintf(stderr, "chestnuthitch: release takes one digest\n");
    }
    else {
        status = run_release(nodes, argv[1]);
    }
    g_option_context_free(context);
    g_strfreev(nodes);
    return status;
}
