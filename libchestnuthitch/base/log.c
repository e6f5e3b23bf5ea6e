/* Logs: one JSON object per line, with the severities of syslog. */

#include "base/base.h"

#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum {
    /* Longer strings are truncated, so that a value from outside can't fill
     * the log with a single line. */
    MAX_STRING_BYTES = 4096,
};

static const char *const level_names[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

/* Appends one character, escaped for a JSON string. */
static void
append_character(GString *line, gunichar character)
{
    switch (character) {
    case '"':
        g_string_append(line, "\\\"");
        return;
    case '\\':
        g_string_append(line, "\\\\");
        return;
    case '\n':
        g_string_append(line, "\\n");
        return;
    case '\t':
        g_string_append(line, "\\t");
        return;
    default:
        break;
    }
    if (character < 0x20 || character == 0x7f) {
        g_string_append_printf(line, "\\u%04x", (unsigned)character);
        return;
    }
    g_string_append_unichar(line, character);
}

/* Appends a JSON string, or null for NULL.  Bytes that are not valid UTF-8
 * become U+FFFD; otherwise a caller's header could produce a line that log
 * readers reject. */
static void
append_string(GString *line, const char *text)
{
    if (text == NULL) {
        g_string_append(line, "null");
        return;
    }
    char *valid =
        g_utf8_make_valid(text, (gssize)strnlen(text, MAX_STRING_BYTES));
    g_string_append_c(line, '"');
    for (const char *next = valid; *next != '\0';
         next = g_utf8_next_char(next)) {
        append_character(line, g_utf8_get_char(next));
    }
    g_string_append_c(line, '"');
    g_free(valid);
}

/* Appends `,"key":`. */
static void
append_key(GString *line, const char *key)
{
    g_string_append_c(line, ',');
    append_string(line, key);
    g_string_append_c(line, ':');
}

/* Appends a number; null for infinity and NaN, which JSON can't express. */
static void
append_double(GString *line, double value)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    if (!isfinite(value)) {
        g_string_append(line, "null");
        return;
    }
    g_string_append(line, g_ascii_dtostr(text, sizeof(text), value));
}

/* Appends the current time as RFC 3339 in UTC with milliseconds. */
static void
append_time(GString *line)
{
    int64_t now = g_get_real_time();
    time_t seconds = (time_t)(now / G_USEC_PER_SEC);
    struct tm parts;
    char text[sizeof("2000-01-01T00:00:00")];
    gmtime_r(&seconds, &parts);
    (void)strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    g_string_append_printf(line, "\"%s.%03dZ\"", text,
                           (int)(now % G_USEC_PER_SEC / 1000));
}

/* Appends the fields up to CH_F_END. */
static void
append_fields(GString *line, va_list fields)
{
    for (;;) {
        enum ch_log_field_kind kind =
            (enum ch_log_field_kind)va_arg(fields, int);
        if (kind == CH_FIELD_END) {
            return;
        }
        append_key(line, va_arg(fields, const char *));
        switch (kind) {
        case CH_FIELD_STRING:
            append_string(line, va_arg(fields, const char *));
            break;
        case CH_FIELD_INT:
            g_string_append_printf(line, "%" PRId64, va_arg(fields, int64_t));
            break;
        case CH_FIELD_DOUBLE:
            append_double(line, va_arg(fields, double));
            break;
        default:
            g_string_append(line, va_arg(fields, int) ? "true" : "false");
            break;
        }
    }
}

/* Writes a line: time, severity, node, event, then the given fields, which end
 * with CH_F_END.  Lines above the client's log level are not written. */
void
ch_log(const struct ch_client *client, enum ch_log_level level,
       const char *event, ...)
{
    if (level > client->log_level || client->log_write == NULL) {
        return;
    }
    GString *line = g_string_sized_new(256);
    g_string_append(line, "{\"time\":");
    append_time(line);
    g_string_append_printf(line, ",\"severity\":%d,\"severity_name\":\"%s\"",
                           (int)level, level_names[level]);
    append_key(line, "node");
    append_string(line, client->name);
    append_key(line, "event");
    append_string(line, event);
    va_list fields;
    va_start(fields, event);
    append_fields(line, fields);
    va_end(fields);
    g_string_append(line, "}\n");
    client->log_write(client->log_data, line->str, line->len);
    g_string_free(line, TRUE);
}
