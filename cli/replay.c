/* chestnuthitch replay: replays a trace through the decision code in virtual
 * time. */

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

/* Everything that a run needs. */
struct input {
    struct ch_declaration *declaration;
    struct ch_site *site;
    struct ch_trace *trace;
    const struct ch_policy *policy;
    char *expect; /* text of the expectations; NULL: none */
};

static void
print_error(const char *message)
{
    (void)fprintf(stderr, "chestnuthitch: %s\n", message);
}

/* Parses the command line; on an error, prints it and returns false. */
static bool
parse_options(int argc, char **argv, struct options *options)
{
    GOptionEntry entries[] = {
        {"settings", 0, 0, G_OPTION_ARG_FILENAME, &options->settings,
         "Declaration and site", "FILE.ini"},
        {"trace", 0, 0, G_OPTION_ARG_FILENAME, &options->trace,
         "Trace, or a node's log", "FILE.csv"},
        {"policy", 0, 0, G_OPTION_ARG_STRING, &options->policy,
         "Policy to run (default: default)", "NAME"},
        {"expect", 0, 0, G_OPTION_ARG_FILENAME, &options->expect,
         "Expected outcomes to check the run against", "FILE.ini"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options->seed,
         "Seed of the random numbers (default: 1)", "N"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context =
        g_option_context_new("- run a trace through the decision code");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context,
        "Writes one JSON object to standard output.  Exit status: 0 success, "
        "1 an\nexpectation failed, 2 invalid input; the error names file, "
        "line and column.\n");
    GError *parse_error = NULL;
    bool success = g_option_context_parse(context, &argc, &argv, &parse_error);
    if (!success) {
        print_error(parse_error->message);
        g_error_free(parse_error);
    }
    else if (argc > 1 || options->settings == NULL || options->trace == NULL) {
        print_error("replay requires --settings and --trace, and nothing else "
                    "without an option name");
        success = false;
    }
    g_option_context_free(context);
    return success;
}

/* Finds a policy by name.  If there is none, prints the known names and
 * returns NULL. */
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

/* Reads all files; on the first error, prints it and returns false.  The
 * input must be freed in both cases. */
static bool
read_input(const struct options *options, struct input *input)
{
    struct ch_error error = {0};
    input->policy =
        find_policy(options->policy == NULL ? "default" : options->policy);
    if (input->policy == NULL) {
        return false;
    }
    bool success = true;
    input->declaration = ch_declaration_load(options->settings, &error);
    success = input->declaration != NULL;
    if (success) {
        input->site = ch_site_load(options->settings, &error);
        success = input->site != NULL;
    }
    if (success) {
        input->trace = ch_trace_load(options->trace, input->declaration,
                                     input->site, &error);
        success = input->trace != NULL;
    }
    if (success && options->expect != NULL) {
        input->expect = ch_ini_read_file(options->expect, &error);
        success = input->expect != NULL;
    }
    if (!success) {
        print_error(error.message);
    }
    return success;
}

/* Runs the trace, prints the result and checks it against the expectations.
 * Returns an exit status. */
static int
run_replay(const struct options *options, const struct input *input)
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
        print_error(error.message);
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
    if (parse_options(argc, argv, &options) && read_input(&options, &input)) {
        status = run_replay(&options, &input);
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
