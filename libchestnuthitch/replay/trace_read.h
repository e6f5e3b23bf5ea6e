#ifndef CH_REPLAY_TRACE_READ_H
#define CH_REPLAY_TRACE_READ_H

/* Shared by the readers of CSV traces and of node logs. */

#include "replay/replay.h"

struct ch_trace_reader {
    const char *path;
    size_t line;
    const struct ch_declaration *declaration;
    const struct ch_site *site;
    GArray *events; /* struct ch_trace_event */
    struct ch_error *error;
};

/* Names used by a request, with their columns for error messages. */
struct ch_trace_names {
    const char *class_name;
    size_t class_column;
    const char *model; /* or a plain service */
    size_t model_column;
    const char *adapter; /* empty: none */
    size_t adapter_column;
};

void ch_trace_set_error(const struct ch_trace_reader *reader, size_t column,
                        const char *format, ...) G_GNUC_PRINTF(3, 4);
bool ch_trace_resolve(const struct ch_trace_reader *reader,
                      const struct ch_trace_names *names,
                      struct ch_trace_event *event);
/* Reads the log of a node; text is modified.  False with an error. */
bool ch_trace_read_log(struct ch_trace_reader *reader, char *text);

#endif
