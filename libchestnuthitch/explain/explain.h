#ifndef CH_EXPLAIN_H
#define CH_EXPLAIN_H

/*
 * What nodes' logs tell of requests for models: how many were asked for, what
 * became of them and why, how long changes of models took, and which models
 * were short.  No files, no clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ch_explain;

/* interval: seconds of one row, at least 1. */
struct ch_explain *ch_explain_new(unsigned interval);
void ch_explain_free(struct ch_explain *explain);

/* Takes one line of a log, in any order among nodes; what stands before the
   object is passed over.  False: it is no line of a node's log. */
bool ch_explain_line(struct ch_explain *explain, const char *line);

/* The report as text; a new string. */
char *ch_explain_report(struct ch_explain *explain);

#endif
