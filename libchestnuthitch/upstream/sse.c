/* Splits a stream of server-sent events into whole events. */

#include "upstream/sse.h"

#include <string.h>

/* Empty, ready for the first byte. */
void
ch_sse_init(struct ch_sse *sse)
{
    *sse = (struct ch_sse){
        .event = g_string_new(NULL),
        .line = g_string_new(NULL),
    };
}

/* Frees what the splitter holds, not the struct. */
void
ch_sse_clear(struct ch_sse *sse)
{
    g_string_free(sse->event, TRUE);
    g_string_free(sse->line, TRUE);
}

/* True when some line of the event is a "data" line.  Comments, which keep a
 * connection alive, have none and are not events. */
static bool
has_data(const GString *event)
{
    return g_str_has_prefix(event->str, "data:") ||
           strstr(event->str, "\ndata:") != NULL;
}

/* Takes the line that is now whole; an empty one ends the event. */
static void
end_line(struct ch_sse *sse,
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

/* Takes bytes; lines may end in LF, CR LF or CR, and may be cut anywhere. */
bool
ch_sse_feed(struct ch_sse *sse, const char *bytes, size_t length,
            void (*event)(void *data, const char *text, size_t length),
            void *data)
{
    for (size_t i = 0; i < length && !sse->failed; i++) {
        char byte = bytes[i];
        bool ends = byte == '\r' || (byte == '\n' && !sse->after_cr);
        if (ends) {
            end_line(sse, event, data);
        }
        else if (byte != '\n') {
            g_string_append_c(sse->line, byte);
        }
        sse->after_cr = byte == '\r';
        if (sse->event->len + sse->line->len > CH_SSE_MOST_BYTES) {
            sse->failed = true;
        }
    }
    return !sse->failed;
}

/* See sse.h. */
bool
ch_sse_is_partial(const struct ch_sse *sse)
{
    return sse->event->len > 0 || sse->line->len > 0;
}

/* Looks at the first line alone: the end mark is an event of one line. */
bool
ch_sse_is_done(const char *text, size_t length)
{
    static const char mark[] = "[DONE]";
    const char *end = memchr(text, '\n', length);
    if (end == NULL || strncmp(text, "data:", 5) != 0) {
        return false;
    }
    const char *value = text + 5;
    while (value < end && *value == ' ') {
        value++;
    }
    return (size_t)(end - value) == sizeof(mark) - 1 &&
           memcmp(value, mark, sizeof(mark) - 1) == 0;
}

/* The first byte that is not JSON's white space. */
static const char *
skip_space(const char *at, const char *end)
{
    while (at < end && (*at == ' ' || *at == '\t' || *at == '\n')) {
        at++;
    }
    return at;
}

/* True when `at`, just after a "id", goes on with a colon and this string. */
static bool
value_is(const char *at, const char *end, const char *id)
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
 * A search in place of a parse, since this runs for each token.  Inside a JSON
 * string a quote is escaped, so that "id" in quotes is always a whole string;
 * and a caller's text can't contain this request's own id as a member.
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
        if (value_is(at, end, id)) {
            return true;
        }
    }
    return false;
}
