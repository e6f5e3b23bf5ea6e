#ifndef CH_REPLAY_TRACE_READ_H
#define CH_REPLAY_TRACE_READ_H

/* What the two readers of traces share. */

#include "replay/replay.h"

struct ch_trace_reader {
    const char *path;
    size_t line;
    const struct ch_declaration *declaration;
    const struct ch_site *site;
    GArray *events; /* struct ch_trace_event */
    struct ch_error *error;
};

/* What a request names, and where for the errors. */
struct ch_trace_names {
    const char *class_name;
    size_t class_column;
    const char *model; /* or the plain service */
    size_t model_column;
    const char *adapter; /* "": none */
    size_t adapter_column;
};

void ch_trace_fail(const struct ch_trace_reader *reader, size_t column,
                   const char *form, ...) G_GNUC_PRINTF(3, 4);
bool ch_trace_resolve(const struct ch_trace_reader *reader,
                      const struct ch_trace_names *names,
                      struct ch_trace_event *event);
/* text is changed. */
bool ch_trace_read_log(struct ch_trace_reader *reader, char *text);

#endif
