/* chestnuthitch explain: reports from nodes' logs how requests ended, and
 * why. */

#include "cli.h"

#include "explain/explain.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum {
    DEFAULT_INTERVAL_S = 5,
    MAX_INTERVAL_S = 3600,
};

/* Counts of the lines read from all logs. */
struct line_counts {
    unsigned total;
    unsigned unrecognized; /* not in the format of a node's log */
};

/* Parses the command line; on an error, prints it and returns false.  The log
 * files stay in argv, from argv[1]. */
static bool
parse_options(int *argc, char ***argv, gint *interval_s)
{
    GOptionEntry entries[] = {
        {"interval", 0, 0, G_OPTION_ARG_INT, interval_s,
         "Length of one row in seconds (default: 5)", "SECONDS"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new(
        "LOG... - report from nodes' logs how requests ended, and why");
    g_option_context_add_main_entries(context, entries, NULL);
    g_option_context_set_description(
        context, "LOG is a file of JSON lines, or - for standard input.  Exit "
                 "status: 0 success,\n2 invalid command line, a file that "
                 "can't be read or no line of a node's log.\n");
    GError *parse_error = NULL;
    bool success = g_option_context_parse(context, argc, argv, &parse_error);
    if (!success) {
        (void)fprintf(stderr, "chestnuthitch: %s\n", parse_error->message);
        g_error_free(parse_error);
    }
    else if (*argc < 2 || *interval_s < 1 || *interval_s > MAX_INTERVAL_S) {
        (void)fprintf(stderr,
                      "chestnuthitch: explain requires at least one log, and "
                      "an interval of 1 to %d seconds\n",
                      MAX_INTERVAL_S);
        success = false;
    }
    g_option_context_free(context);
    return success;
}

static void
read_lines(struct ch_explain *explain, FILE *in,
           struct line_counts *line_counts)
{
    char *line = NULL;
    size_t size = 0;
    while (getline(&line, &size, in) >= 0) {
        line_counts->total++;
        line_counts->unrecognized +=
            ch_explain_add_line(explain, line) ? 0 : 1;
    }
    free(line);
}

/* Reads a log file ("-": standard input).  If it can't be read to its end,
 * prints an error and returns false. */
static bool
read_file(struct ch_explain *explain, const char *path,
          struct line_counts *line_counts)
{
    bool is_stdin = strcmp(path, "-") == 0;
    FILE *in = is_stdin ? stdin : fopen(path, "re");
    if (in == NULL) {
        (void)fprintf(stderr, "chestnuthitch: %s: %s\n", path,
                      g_strerror(errno));
        return false;
    }
    read_lines(explain, in, line_counts);
    bool success = !ferror(in);
    if (!success) {
        (void)fprintf(
            stderr,
            "chestnuthitch: %s: read error before the end of the file\n",
            path);
    }
    if (!is_stdin) {
        (void)fclose(in);
    }
    return success;
}

int
cli_explain(int argc, char **argv)
{
    gint interval_s = DEFAULT_INTERVAL_S;
    struct line_counts line_counts = {0};
    if (!parse_options(&argc, &argv, &interval_s)) {
        return CLI_BAD_INPUT;
    }
    struct ch_explain *explain = ch_explain_new((unsigned)interval_s);
    bool success = true;
    for (int i = 1; success && i < argc; i++) {
        success = read_file(explain, argv[i], &line_counts);
    }
    if (success && line_counts.unrecognized == line_counts.total) {
        (void)fprintf(stderr,
                      "chestnuthitch: none of %u lines is from a node's "
                      "log\n",
                      line_counts.total);
        success = false;
    }
    if (success) {
        char *report = ch_explain_report(explain);
        (void)fputs(report, stdout);
        g_free(report);
    }
    if (success && line_counts.unrecognized > 0) {
        (void)fprintf(stderr,
                      "chestnuthitch: %u of %u lines are not from a node's "
                      "log\n",
                      line_counts.unrecognized, line_counts.total);
    }
    ch_explain_free(explain);
    return success ? CLI_OK : CLI_BAD_INPUT;
}
