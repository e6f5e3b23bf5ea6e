/* chestnuthitch replay: a trace through the decisions, in virtual time. */

#include "cli.h"

#include "base/ini.h"
#include "replay/replay.h"

#include <stdio.h>

struct options {
    char *settings;
    char *trace;
    char *policy;
    char *expect;
    gint64 seed;
};

/* Everything that a run is made from. */
struct input {
    struct ch_declaration *declaration;
    struct ch_site *site;
    struct ch_trace *trace;
    const struct ch_policy *policy;
    char *expect; /* NULL: none */
};

/* Writes an error for the operator. */
static void
complain(const char *message)
{
    (void)fprintf(stderr, "chestnuthitch: %s\n", message);
}

/* Reads the command line; false when it is wrong, which is said. */
static bool
read_options(int argc, char **argv, struct options *options)
{
    GOptionEntry entries[] = {
        {"settings", 0, 0, G_OPTION_ARG_FILENAME, &options->settings,
         "Declaration and site", "FILE.ini"},
        {"trace", 0, 0, G_OPTION_ARG_FILENAME, &options->trace,
         "Trace, or a node's log", "FILE.csv"},
        {"policy", 0, 0, G_OPTION_ARG_STRING, &options->policy,
         "Policy to run (default: default)", "NAME"},
        {"expect", 0, 0, G_OPTION_ARG_FILENAME, &options->expect,
         "Outcomes to hold the run against", "FILE.ini"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed,
         "Seed of what is drawn (default: 1)", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context =
        g_option_context_new("- run a trace through the decisions");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context,
        "One JSON object goes to standard output.  Exit status: 0; 1 when an "
        "expectation\nfails; 2 for bad input, named by file, line and "
        "column.\n");
    GError *reason = NULL;
    bool fine = g_option_context_parse(context, &argc, &argv, &reason);
    if (!fine) {
        complain(reason->message);
        g_error_free(reason);
    }
    else if (argc > 1 || options->settings == NULL || options->trace == NULL) {
        complain("replay needs --settings and --trace, and nothing else "
                 "without a name");
        fine = false;
    }
    g_option_context_free(context);
    return fine;
}

/* The policy by name; NULL when there is none, which is said. */
static const struct ch_policy *
find_policy(const char *name)
{
    const struct ch_policy *policy = ch_policy_find(name);
    if (policy == NULL) {
        char *names = g_strjoinv(", ", (char **)ch_policy_list_names());
        (void)fprintf(stderr, "chestnuthitch: no policy '%s'; there are: %s\n",
                      name, names);
        g_free(names);
    }
    return policy;
}

/* Reads all files; false when one is wrong, which is said. */
static bool
read_input(const struct options *options, struct input *input)
{
    struct ch_error error = {0};
    input->policy =
        find_policy(options->policy == NULL ? "default" : options->policy);
    if (input->policy == NULL) {
        return false;
    }
    bool fine = true;
    input->declaration = ch_declaration_load(options->settings, &error);
    fine = input->declaration != NULL;
    if (fine) {
        input->site = ch_site_load(options->settings, &error);
        fine = input->site != NULL;
    }
    if (fine) {
        input->trace = ch_trace_load(options->trace, input->declaration,
                                     input->site, &error);
        fine = input->trace != NULL;
    }
    if (fine && options->expect != NULL) {
        input->expect = ch_ini_file_text(options->expect, &error);
        fine = input->expect != NULL;
    }
    if (!fine) {
        complain(error.message);
    }
    return fine;
}

/* Runs, prints, and holds the run against its expectations. */
static int
run(const struct options *options, const struct input *input)
{
    struct ch_result *result =
        ch_replay_run(input->site, input->declaration, input->trace,
                      input->policy, (uint64_t)options->seed);
    GString *text = g_string_new(NULL);
    ch_result_print(result, text);
    (void)fputs(text->str, stdout);
    g_string_free(text, TRUE);
    int status = CLI_OK;
    struct ch_error error = {0};
    if (input->expect != NULL &&
        !ch_expect_check(input->expect, options->expect, result, &error)) {
        complain(error.message);
        status = error.code == CH_EXPECTATION ? CLI_FAILED : CLI_BAD_INPUT;
    }
    ch_result_free(result);
    return status;
}

int
cli_replay(int argc, char **argv)
{
    struct options options = {.seed = 1};
    struct input input = {0};
    int status = CLI_BAD_INPUT;
    if (read_options(argc, argv, &options) && read_input(&options, &input)) {
        status = run(&options, &input);
    }
    ch_trace_free(input.trace);
    ch_site_free(input.site);
    ch_declaration_free(input.declaration);
    g_free(input.expect);
    g_free(options.settings);
    g_free(options.trace);
    g_free(options.policy);
    g_free(options.expect);
    return status;
}
