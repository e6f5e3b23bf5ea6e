/* chestnuthitch explain: what nodes' logs tell of requests for models. */

#include "cli.h"

#include "explain/explain.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum {
    USUAL_INTERVAL = 5,   /* seconds */
    MOST_INTERVAL = 3600, /* seconds */
};

/* What was read. */
struct counts {
    unsigned lines;
    unsigned strange;
};

/* Reads the command line; false when it is wrong, which is said.  What is
 * left in argv are the files. */
static bool
read_options(int *argc, char ***argv, gint *interval)
{
    GOptionEntry entries[] = {
        {"interval", 0, 0, G_OPTION_ARG_INT, interval,
         "Seconds of one row (default: 5)", "SECONDS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(
        "LOG... - tell from nodes' logs what became of requests, and why");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context, "LOG is a file of JSON lines, or - for standard input.  Exit "
                 "status: 0; 2 for\na file that can't be read or that holds "
                 "no line of a log.\n");
    GError *reason = NULL;
    bool fine = g_option_context_parse(context, argc, argv, &reason);
    if (!fine) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", reason->message);
        g_error_free(reason);
    }
    else if (*argc < 2 || *interval < 1 || *interval > MOST_INTERVAL) {
        (void)fprintf(stderr,
                      "chestnuthitch: explain needs a log, and an interval "
                      "of 1 to %d seconds\n",
                      MOST_INTERVAL);
        fine = false;
    }
    g_option_context_free(context);
    return fine;
}

/* Takes all lines of a stream. */
static void
read_lines(struct ch_explain *explain, FILE *in, struct counts *counts)
{
    char *line = NULL;
    size_t size = 0;
    while (getline(&line, &size, in) >= 0) {
        counts->lines++;
        counts->strange += ch_explain_line(explain, line) ? 0 : 1;
    }
    free(line);
}

/* Takes a file; false when it can't be read, which is said. */
static bool
read_file(struct ch_explain *explain, const char *path, struct counts *counts)
{
    bool standard = strcmp(path, "-") == 0;
    FILE *in = standard ? stdin : fopen(path, "re");
    if (in == NULL) {
        (void)fprintf(stderr, "chestnuthitch: %s: %s\n", path,
                      g_strerror(errno));
        return false;
    }
    read_lines(explain, in, counts);
    bool fine = !ferror(in);
    if (!fine) {
        (void)fprintf(stderr, "chestnuthitch: %s can't be read to its end\n",
                      path);
    }
    if (!standard) {
        (void)fclose(in);
    }
    return fine;
}

/* Runs `chestnuthitch explain`. */
int
cli_explain(int argc, char **argv)
{
    gint interval = USUAL_INTERVAL;
    struct counts counts = {0};
    if (!read_options(&argc, &argv, &interval)) {
        return CLI_BAD_INPUT;
    }
    struct ch_explain *explain = ch_explain_new((unsigned)interval);
    bool fine = true;
    for (int i = 1; fine && i < argc; i++) {
        fine = read_file(explain, argv[i], &counts);
    }
    if (fine && counts.strange == counts.lines) {
        (void)fprintf(stderr,
                      "chestnuthitch: no line of a node's log in %u "
                      "lines\n",
                      counts.lines);
        fine = false;
    }
    if (fine) {
        char *report = ch_explain_report(explain);
        (void)fputs(report, stdout);
        g_free(report);
    }
    if (fine && counts.strange > 0) {
        (void)fprintf(stderr,
                      "chestnuthitch: %u of %u lines are none of a node's "
                      "log\n",
                      counts.strange, counts.lines);
    }
    ch_explain_free(explain);
    return fine ? CLI_OK : CLI_BAD_INPUT;
}
