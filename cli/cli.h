#ifndef CLI_H
#define CLI_H

/* The subcommands.  Each one parses its own options and returns an exit
 * status.  argv[0] is the name of the subcommand. */

#include "chestnuthitch.h"

enum cli_exit {
    CLI_OK = 0,
    CLI_FAILED = 1,    /* the request was valid but did not succeed */
    CLI_BAD_INPUT = 2, /* invalid command line, file or declaration */
    CLI_CONFLICT = 3,  /* another author changed the configuration first */
    /* The node or the platform could not be reached, or the outcome of a
       change is unknown. */
    CLI_UNREACHABLE = 4,
};

int cli_node(int argc, char **argv);
int cli_config(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_replay(int argc, char **argv);
int cli_release(int argc, char **argv);
int cli_explain(int argc, char **argv);

#endif
