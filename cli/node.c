/* chestnuthitch node: the process that runs on each entry host. */

#include "cli.h"

#include "platform_dialect.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Blocks the signals that stop the node in this thread and in all threads
 * started later.  Only the main thread receives them, with sigwait(), so that
 * they interrupt no system call of a worker thread. */
static void
block_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    sigaddset(signals, SIGHUP);
    (void)pthread_sigmask(SIG_BLOCK, signals, NULL);
    /* Writing to a connection that the peer has closed returns an error
       instead of ending the process. */
    (void)signal(SIGPIPE, SIG_IGN);
}

/* Waits for a signal that stops the node.  SIGHUP usually means that the
 * settings have changed, but no setting can change while a node runs: SIGHUP
 * only logs that a restart is needed. */
static void
wait_for_stop_signal(const struct ch_client *client, const sigset_t *signals)
{
    int signal_number = SIGHUP;
    while (signal_number == SIGHUP) {
        (void)sigwait(signals, &signal_number);
        ch_log(client, CH_LOG_NOTICE, "signal",
               CH_F_STR("name", strsignal(signal_number)),
               CH_F_STR("effect", signal_number == SIGHUP
                                      ? "settings take effect at a restart"
                                      : "stopping"),
               CH_F_END);
    }
}

/* Runs the node until a signal stops it.  The signals stay blocked during the
 * stop, so that a second signal does not interrupt requests in progress. */
static int
run_node(const struct ch_settings *settings)
{
    sigset_t signals;
    block_signals(&signals);
    struct ch_client client;
    ch_client_init(&client, settings->name);
    client.log_level = (enum ch_log_level)settings->log_level;
    client.metrics = ch_metrics_new();
    struct ch_error error = {0};
    struct ch_node *node = ch_node_start(
        &client, settings,
        settings->platform == CH_PLATFORM_USERS ? platform_get_dialect()
                                                : NULL,
        &error);
    if (node == NULL) {
        ch_log(&client, CH_LOG_ERR, "start-failed",
               CH_F_STR("code", ch_code_get_name(error.code)),
               CH_F_STR("message", error.message), CH_F_END);
        ch_metrics_free(client.metrics);
        return CLI_FAILED;
    }
    ch_log(&client, CH_LOG_NOTICE, "started",
           CH_F_STR("version", CHESTNUTHITCH_VERSION),
           CH_F_BOOL("first_start", settings->first_start), CH_F_END);
    wait_for_stop_signal(&client, &signals);
    ch_node_stop(node);
    ch_metrics_free(client.metrics);
    return CLI_OK;
}

/* Loads the settings and runs the node; with check_only, only reports that the
 * settings are valid. */
static int
load_and_run(const char *path, bool check_only, bool first_start)
{
    struct ch_error error = {0};
    struct ch_settings *settings = ch_settings_load(path, &error);
    if (settings == NULL) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", error.message);
        return CLI_BAD_INPUT;
    }
    int status = CLI_OK;
    settings->first_start = first_start;
    if (check_only) {
        (void)printf("%s: settings of node %s are good\n", path,
                     settings->name);
    }
    else {
        status = run_node(settings);
    }
    ch_settings_free(settings);
    return status;
}

/* Reads CHESTNUTHITCH_FIRST_START; false with a message if it has another
 * value than true, false or none. */
static bool
read_first_start(gboolean *first_start)
{
    const char *text = g_getenv("CHESTNUTHITCH_FIRST_START");
    if (text != NULL && strcmp(text, "true") == 0) {
        *first_start = TRUE;
        return true;
    }
    if (text == NULL || text[0] == '\0' || strcmp(text, "false") == 0) {
        return true;
    }
    (void)fprintf(stderr,
                  "chestnuthitch: CHESTNUTHITCH_FIRST_START is '%s', not "
                  "'true' or 'false'\n",
                  text);
    return false;
}

int
cli_node(int argc, char **argv)
{
    char *path = NULL;
    gboolean check_only = FALSE;
    gboolean first_start = FALSE;
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
         "Settings of this node (INI; default: CHESTNUTHITCH_SETTINGS)",
         "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &check_only,
         "Check the settings and exit", NULL},
        {"first-start", 0, 0, G_OPTION_ARG_NONE, &first_start,
         "The whole system starts for the first time (default: "
         "CHESTNUTHITCH_FIRST_START)",
         NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_set_summary(context,
                                 "Runs the node of this entry host until "
                                 "SIGTERM or SIGINT, then stops gracefully.");
    g_option_context_set_description(
        context,
        "Exit status: 0 stopped as asked, 1 could not start, 2 invalid "
        "command line or settings.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *parse_error = NULL;
    int status = CLI_BAD_INPUT;
    path = g_strdup(g_getenv("CHESTNUTHITCH_SETTINGS"));
    if (!g_option_context_parse(context, &argc, &argv, &parse_error)) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", parse_error->message);
        g_error_free(parse_error);
    }
    else if (path == NULL || argc > 1) {
        (void)fprintf(stderr, "chestnuthitch: node takes --settings FILE "
                              "(or CHESTNUTHITCH_SETTINGS) [--check]\n");
    }
    else if (read_first_start(&first_start)) {
        status = load_and_run(path, check_only, first_start);
    }
    g_option_context_free(context);
    g_free(path);
    return status;
}
