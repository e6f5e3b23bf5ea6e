/* Splits a stream of server-sent events into complete events. */

#include "upstream/sse.h"

#include <string.h>

void
ch_sse_init(struct ch_sse_parser *sse)
{
    *sse = (struct ch_sse_parser){
        .event = g_string_new(NULL),
        .line = g_string_new(NULL),
    };
}

/* Frees the parser's buffers, not the struct. */
void
ch_sse_clear(struct ch_sse_parser *sse)
{
    g_string_free(sse->event, TRUE);
    g_string_free(sse->line, TRUE);
}

/*
 * Whether some line of the event is a "data" line. Comments, which keep a
 * connection alive, have none and are not events.
 */
static bool
has_data(const GString *event)
{
    return g_str_has_prefix(event->str, "data:") ||
           strstr(event->str, "\ndata:") != NULL;
}

/* Handles a complete line; an empty line ends the event. */
static void
handle_line(struct ch_sse_parser *sse,
            void (*event)(void *data, const char *text, size_t length),
            void *data)
{
    if (sse->line->len > 0) {
        g_string_append_len(sse->event, sse->line->str,
                            (gssize)sse->line->len);
        g_string_append_c(sse->event, '\n');
        g_string_truncate(sse->line, 0);
        return;
    }
    if (has_data(sse->event)) {
        g_string_append_c(sse->event, '\n');
        event(data, sse->event->str, sse->event->len);
    }
    g_string_truncate(sse->event, 0);
}

/* Lines may end in LF, CR LF or CR, and the input may be split anywhere. */
bool
ch_sse_feed(struct ch_sse_parser *sse, const char *bytes, size_t length,
            void (*event)(void *data, const char *text, size_t length),
            void *data)
{
    for (size_t i = 0; i < length && !sse->too_large; i++) {
        char byte = bytes[i];
        bool ends_line = byte == '\r' || (byte == '\n' && !sse->after_cr);
        if (ends_line) {
            handle_line(sse, event, data);
        }
        else if (byte != '\n') {
            g_string_append_c(sse->line, byte);
        }
        sse->after_cr = byte == '\r';
        if (sse->event->len + sse->line->len > CH_SSE_MAX_EVENT_BYTES) {
            sse->too_large = true;
        }
    }
    return !sse->too_large;
}

bool
ch_sse_is_partial(const struct ch_sse_parser *sse)
{
    return sse->event->len > 0 || sse->line->len > 0;
}

/* Looks at the first line only: the end marker is an event of one line. */
bool
ch_sse_is_done(const char *text, size_t length)
{
    static const char marker[] = "[DONE]";
    const char *end = memchr(text, '\n', length);
    if (end == NULL || strncmp(text, "data:", 5) != 0) {
        return false;
    }
    const char *value = text + 5;
    while (value < end && *value == ' ') {
        value++;
    }
    return (size_t)(end - value) == sizeof(marker) - 1 &&
           memcmp(value, marker, sizeof(marker) - 1) == 0;
}

/* Returns the first byte that is not JSON white space. */
static const char *
skip_space(const char *at, const char *end)
{
    while (at < end && (*at == ' ' || *at == '\t' || *at == '\n')) {
        at++;
    }
    return at;
}

/*
 * Whether the text at `at`, just after an "id", continues with a colon and
 * this string.
 */
static bool
is_id_value(const char *at, const char *end, const char *id)
{
    size_t length = strlen(id);
    at = skip_space(at, end);
    if (at == end || *at != ':') {
        return false;
    }
    at = skip_space(at + 1, end);
    return (size_t)(end - at) >= length + 2 && at[0] == '"' &&
           memcmp(at + 1, id, length) == 0 && at[length + 1] == '"';
}

/*
 * Searches instead of parsing, since this runs for each token. Inside a JSON
 * string a quote is escaped, so "id" in quotes is always a whole string; and a
 * caller's text cannot contain this request's own id as a member.
 */
bool
ch_sse_has_id(const char *text, size_t length, const char *id)
{
    static const char member[] = "\"id\"";
    const char *end = text + length;
    const char *at = text;
    while ((at = memmem(at, (size_t)(end - at), member, sizeof(member) - 1)) !=
           NULL) {
        at += sizeof(member) - 1;
        if (is_id_value(at, end, id)) {
            return true;
        }
    }
    return false;
}
