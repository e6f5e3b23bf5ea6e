/* Reads traces as CSV, one event a line, and rejects any malformed line.
 * Errors name the file, line and column; lines and columns count from 1. */

#include "base/ini.h"
#include "replay/trace_read.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char HEADER[] = "at_ms,event,target,value,caller,class,model,"
                             "adapter,prefix,prompt_tokens,output_tokens,key";

enum {
    AT,
    EVENT,
    TARGET,
    VALUE,
    CALLER,
    CLASS,
    MODEL,
    ADAPTER,
    PREFIX,
    PROMPT_TOKENS,
    OUTPUT_TOKENS,
    KEY,
    COLUMNS,
};

/* Kind of machine that an event's target names. */
enum target_kind {
    TARGET_NONE,
    TARGET_UPSTREAM,
    TARGET_ENTRY,
};

static const struct {
    const char *name;
    enum ch_trace_kind kind;
    enum target_kind target;
} events[] = {
    {"request", CH_TRACE_REQUEST, TARGET_NONE},
    {"slow", CH_TRACE_SLOW, TARGET_UPSTREAM},
    {"down", CH_TRACE_DOWN, TARGET_UPSTREAM},
    {"up", CH_TRACE_UP, TARGET_UPSTREAM},
    {"leave", CH_TRACE_DRAIN, TARGET_UPSTREAM},
    {"kv-down", CH_TRACE_KV_DOWN, TARGET_NONE},
    {"kv-up", CH_TRACE_KV_UP, TARGET_NONE},
    {"link-down", CH_TRACE_LINK_DOWN, TARGET_NONE},
    {"link-up", CH_TRACE_LINK_UP, TARGET_NONE},
    {"entry-down", CH_TRACE_ENTRY_DOWN, TARGET_ENTRY},
    {"entry-up", CH_TRACE_ENTRY_UP, TARGET_ENTRY},
};

/* Sets BAD_TRACE with the reader's line and a column. */
void
ch_trace_set_error(const struct ch_trace_reader *reader, size_t column,
                   const char *format, ...)
{
    char reason[256];
    va_list arguments;
    va_start(arguments, format);
    (void)vsnprintf(reason, sizeof(reason), format, arguments);
    va_end(arguments);
    ch_error_set(reader->error, CH_BAD_TRACE, "%s:%zu:%zu: %s", reader->path,
                 reader->line, column, reason);
}

/* A line split at its commas, and the column where each field starts. */
struct row {
    char *fields[COLUMNS];
    size_t columns[COLUMNS];
};

/* Splits a line in place.  The row points into the line. */
static bool
split(const struct ch_trace_reader *reader, char *line, struct row *row)
{
    char *field = line;
    for (size_t i = 0; i < COLUMNS; i++) {
        row->fields[i] = field;
        row->columns[i] = (size_t)(field - line) + 1;
        char *comma = strchr(field, ',');
        if (i + 1 == COLUMNS) {
            if (comma != NULL) {
                ch_trace_set_error(reader, (size_t)(comma - line) + 1,
                                   "more than %d columns", COLUMNS);
                return false;
            }
            return true;
        }
        if (comma == NULL) {
            ch_trace_set_error(reader,
                               (size_t)(field - line) + strlen(field) + 1,
                               "%zu columns, expected %d", i + 1, COLUMNS);
            return false;
        }
        *comma = '\0';
        field = comma + 1;
    }
    return true;
}

/* Reads a number from 0 to max.  An empty field gives the default value, or an
 * error if the default value is negative. */
static bool
read_number(const struct ch_trace_reader *reader, const struct row *row,
            size_t field, double default_value, double max, double *out)
{
    const char *text = row->fields[field];
    if (text[0] == '\0' && default_value >= 0) {
        *out = default_value;
        return true;
    }
    char *end = NULL;
    errno = 0;
    double value = g_ascii_strtod(text, &end);
    if (text[0] == '\0' || *end != '\0' || errno != 0 || !isfinite(value) ||
        value < 0 || value > max) {
        ch_trace_set_error(reader, row->columns[field],
                           "not a number from 0 to %.0f", max);
        return false;
    }
    *out = value;
    return true;
}

/* Returns the index of an upstream or entry node by name; -1: none. */
static int
find_target(const struct ch_site *site, enum target_kind kind,
            const char *name)
{
    size_t count =
        kind == TARGET_UPSTREAM ? site->upstream_count : site->entry_count;
    for (size_t i = 0; i < count; i++) {
        const char *other = kind == TARGET_UPSTREAM ? site->upstreams[i].name
                                                    : site->entries[i].name;
        if (strcmp(other, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Reads the kind of an event, its target and its value. */
static bool
read_event(const struct ch_trace_reader *reader, const struct row *row,
           struct ch_trace_event *event)
{
    size_t i = 0;
    while (i < G_N_ELEMENTS(events) &&
           strcmp(events[i].name, row->fields[EVENT]) != 0) {
        i++;
    }
    if (i == G_N_ELEMENTS(events)) {
        ch_trace_set_error(reader, row->columns[EVENT], "unknown event");
        return false;
    }
    event->kind = events[i].kind;
    if (events[i].target == TARGET_NONE) {
        return true;
    }
    int target =
        find_target(reader->site, events[i].target, row->fields[TARGET]);
    if (target < 0) {
        ch_trace_set_error(reader, row->columns[TARGET], "no %s of this name",
                           events[i].target == TARGET_UPSTREAM ? "upstream"
                                                               : "entry host");
        return false;
    }
    event->target = (size_t)target;
    if (event->kind != CH_TRACE_SLOW) {
        return true;
    }
    if (!read_number(reader, row, VALUE, -1, 1000, &event->value)) {
        return false;
    }
    if (event->value < 0.1) {
        ch_trace_set_error(reader, row->columns[VALUE],
                           "not a factor from 0.1 to 1000");
        return false;
    }
    return true;
}

/* Sets class, model or service, and adapter of an event from their names.
 * Errors use the columns in names. */
bool
ch_trace_resolve(const struct ch_trace_reader *reader,
                 const struct ch_trace_names *names,
                 struct ch_trace_event *event)
{
    const struct ch_declaration *declaration = reader->declaration;
    int class_index =
        ch_declaration_find_class(declaration, names->class_name);
    if (class_index < 0) {
        ch_trace_set_error(reader, names->class_column, "unknown class");
        return false;
    }
    const struct ch_class *class = &declaration->classes[class_index];
    event->class_index = (size_t)class_index;
    event->adapter = -1;
    event->model = ch_declaration_find_model(declaration, names->model);
    event->service =
        event->model >= 0
            ? -1
            : ch_declaration_find_service(declaration, names->model);
    if (event->model < 0 && event->service < 0) {
        ch_trace_set_error(reader, names->model_column,
                           "unknown model or plain service");
        return false;
    }
    bool allowed = event->model >= 0 ? class->allows_every_model ||
                                           class->allowed_models[event->model]
                                     : class->allowed_services[event->service];
    if (!allowed) {
        ch_trace_set_error(reader, names->model_column,
                           "the class may not use this model or service");
        return false;
    }
    if (names->adapter[0] == '\0') {
        return true;
    }
    const char *slash = strrchr(names->adapter, '/');
    int owner = ch_declaration_find_adapter(
        declaration, slash != NULL ? slash + 1 : names->adapter,
        &event->adapter);
    if (owner < 0 || owner != event->model) {
        ch_trace_set_error(reader, names->adapter_column,
                           "not an adapter of this model");
        return false;
    }
    return true;
}

/* Reads the columns of a request; the event owns its strings. */
static bool
read_request(const struct ch_trace_reader *reader, const struct row *row,
             struct ch_trace_event *event)
{
    if (row->fields[CALLER][0] == '\0') {
        ch_trace_set_error(reader, row->columns[CALLER], "missing caller");
        return false;
    }
    struct ch_trace_names names = {
        .class_name = row->fields[CLASS],
        .class_column = row->columns[CLASS],
        .model = row->fields[MODEL],
        .model_column = row->columns[MODEL],
        .adapter = row->fields[ADAPTER],
        .adapter_column = row->columns[ADAPTER],
    };
    double prompt;
    double output;
    if (!ch_trace_resolve(reader, &names, event) ||
        !read_number(reader, row, PROMPT_TOKENS, 0, 1e7, &prompt) ||
        !read_number(reader, row, OUTPUT_TOKENS, 0, 1e6, &output)) {
        return false;
    }
    event->caller = g_strdup(row->fields[CALLER]);
    event->prompt_tokens = (uint32_t)prompt;
    event->output_tokens = (uint32_t)MAX(output, 1);
    event->prefix = row->fields[PREFIX][0] == '\0'
                        ? 0
                        : ch_hash_string(row->fields[PREFIX]);
    event->key =
        row->fields[KEY][0] == '\0' ? NULL : g_strdup(row->fields[KEY]);
    return true;
}

/* Reads one line and appends its event. */
static bool
read_line(const struct ch_trace_reader *reader, char *line)
{
    struct row row;
    struct ch_trace_event event = {.adapter = -1, .model = -1, .service = -1};
    double at;
    /* At most 31 days; longer recordings must be split. */
    if (!split(reader, line, &row) ||
        !read_number(reader, &row, AT, -1, 31.0 * 86400 * 1000, &at) ||
        !read_event(reader, &row, &event)) {
        return false;
    }
    event.at = (int64_t)(at * 1000.0);
    if (event.kind == CH_TRACE_REQUEST &&
        !read_request(reader, &row, &event)) {
        return false;
    }
    g_array_append_val(reader->events, event);
    return true;
}

/* Checks the header and reads all lines. */
static bool
read_csv(struct ch_trace_reader *reader, char *text)
{
    bool first = true;
    char *next;
    for (char *line = text; line != NULL && *line != '\0'; line = next) {
        next = strchr(line, '\n');
        if (next != NULL) {
            *next++ = '\0';
        }
        size_t length = strlen(line);
        if (length > 0 && line[length - 1] == '\r') {
            line[length - 1] = '\0';
        }
        reader->line++;
        if (first) {
            first = false;
            if (strcmp(line, HEADER) != 0) {
                ch_trace_set_error(reader, 1, "the header line must be %s",
                                   HEADER);
                return false;
            }
        }
        else if (*line != '\0' && !read_line(reader, line)) {
            return false;
        }
    }
    if (first) {
        reader->line = 1;
        ch_trace_set_error(reader, 1, "the trace is empty");
    }
    return !first;
}

/* Frees the strings of an event. */
static void
clear_event(void *data)
{
    struct ch_trace_event *event = data;
    g_free(event->caller);
    g_free(event->key);
}

static int
compare_events(const void *a, const void *b)
{
    const struct ch_trace_event *left = a;
    const struct ch_trace_event *right = b;
    return (left->at > right->at) - (left->at < right->at);
}

/* Reads a trace from a text.  Events are sorted by time; those of the same
 * time keep their order.  The caller frees the trace; NULL with BAD_TRACE. */
struct ch_trace *
ch_trace_parse(const char *text, const char *path,
               const struct ch_declaration *declaration,
               const struct ch_site *site, struct ch_error *error)
{
    struct ch_trace_reader reader = {
        .path = path,
        .declaration = declaration,
        .site = site,
        .events = g_array_new(FALSE, FALSE, sizeof(struct ch_trace_event)),
        .error = error,
    };
    g_array_set_clear_func(reader.events, clear_event);
    char *copy = g_strdup(text);
    bool fine = copy[0] == '{' ? ch_trace_read_log(&reader, copy)
                               : read_csv(&reader, copy);
    g_free(copy);
    if (!fine) {
        g_array_free(reader.events, TRUE);
        return NULL;
    }
    g_array_sort(reader.events, compare_events);
    struct ch_trace *trace = g_new0(struct ch_trace, 1);
    trace->count = reader.events->len;
    trace->events =
        (struct ch_trace_event *)(void *)g_array_free(reader.events, FALSE);
    return trace;
}

/* Reads a trace from a file: CSV, or the log of a node.  The caller frees it;
 * NULL with an error. */
struct ch_trace *
ch_trace_load(const char *path, const struct ch_declaration *declaration,
              const struct ch_site *site, struct ch_error *error)
{
    char *text = NULL;
    size_t length = 0;
    GError *reason = NULL;
    if (!g_file_get_contents(path, &text, &length, &reason)) {
        ch_error_set(error, CH_FILE_UNREADABLE, "%s: %s", path,
                     reason->message);
        g_error_free(reason);
        return NULL;
    }
    struct ch_trace *trace = NULL;
    if (strlen(text) != length) {
        ch_error_set(error, CH_BAD_TRACE,
                     "%s:1:1: the file contains a NUL byte", path);
    }
    else {
        trace = ch_trace_parse(text, path, declaration, site, error);
    }
    g_free(text);
    return trace;
}

/* Frees a trace; NULL is fine. */
void
ch_trace_free(struct ch_trace *trace)
{
    if (trace == NULL) {
        return;
    }
    for (size_t i = 0; i < trace->count; i++) {
        clear_event(&trace->events[i]);
    }
    g_free(trace->events);
    g_free(trace);
}
