#ifndef CH_EXPLAIN_H
#define CH_EXPLAIN_H

/*
 * Report on requests for models, made from the logs of nodes: how many
 * requests arrived, their outcomes and the reasons, how long changes of the
 * models on engines took, and which models had a shortage of engines.  Reads
 * neither files nor the clock.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ch_explain;

/* interval: length of a report row in seconds; 0 counts as 1. */
struct ch_explain *ch_explain_new(unsigned interval);
void ch_explain_free(struct ch_explain *explain);

/* Adds one log line.  Lines of different nodes may come in any order.  Text
   before the JSON object is skipped.  Returns false if the line isn't a log
   line of a node. */
bool ch_explain_add_line(struct ch_explain *explain, const char *line);

/* Returns the report as a new string. */
char *ch_explain_report(struct ch_explain *explain);

#endif
