/* chestnuthitch: runs the subcommand that the command line names. */

#include "cli.h"

#include <locale.h>
#include <stdio.h>
#include <string.h>

struct command {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *summary;
};

static const struct command commands[] = {
    {"node", cli_node, "run the node of this entry host"},
    {"config", cli_config, "check, show, diff or apply a declaration"},
    {"replay", cli_replay, "run a trace through the decision code"},
    {"status", cli_status, "show nodes, upstreams and the revision in force"},
    {"release", cli_release,
     "allow a barred request to be sent to upstreams again"},
    {"explain", cli_explain, "report from logs how requests ended, and why"},
};

static void
print_usage(FILE *out)
{
    (void)fprintf(out, "Usage: chestnuthitch COMMAND [OPTION...]\n\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        (void)fprintf(out, "  %-8s %s\n", commands[i].name,
                      commands[i].summary);
    }
    (void)fprintf(out, "\nRun `chestnuthitch COMMAND --help` for the options "
                       "of a command.\n");
}

/* Runs a subcommand.  The program name is set to "chestnuthitch NAME", which
 * the subcommand's --help shows. */
static int
run_command(const struct command *command, int argc, char **argv)
{
    char *name = g_strconcat("chestnuthitch ", command->name, NULL);
    g_set_prgname(name);
    g_free(name);
    return command->run(argc, argv);
}

int
main(int argc, char **argv)
{
    /* Only the character set follows the user's locale: numbers are read and
       written in the same format in every locale. */
    (void)setlocale(LC_CTYPE, "");
    if (argc < 2) {
        print_usage(stderr);
        return CLI_BAD_INPUT;
    }
    if (strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return CLI_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        (void)printf("chestnuthitch %s\n", CHESTNUTHITCH_VERSION);
        return CLI_OK;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return run_command(&commands[i], argc - 1, argv + 1);
        }
    }
    (void)fprintf(stderr, "chestnuthitch: no command '%s'\n", argv[1]);
    print_usage(stderr);
    return CLI_BAD_INPUT;
}
