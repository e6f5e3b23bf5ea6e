/* Reads the headers by which an upstream says that it drains, or asks a node
 * to wait. */

#include "notices/notices.h"

#include <curl/curl.h>
#include <math.h>
#include <string.h>
#include <strings.h>

enum {
    /* A longer time is taken for this one: a wrong value must not take an
     * upstream out of use for good. */
    MAX_WAIT_S = 60 * 60,
    MAX_NUMBER_LENGTH = 32,
};

/* Parses seconds, also with a fraction; g_strtod alone would accept "nan",
 * "inf", hexadecimal digits, a sign and an exponent. */
static bool
parse_seconds(const char *text, double *seconds)
{
    size_t length = strlen(text);
    if (length == 0 || length > MAX_NUMBER_LENGTH ||
        strspn(text, "0123456789.") != length) {
        return false;
    }
    char *end = NULL;
    *seconds = g_ascii_strtod(text, &end);
    return end == text + length && isfinite(*seconds);
}

/* Parses a date of HTTP; one that has passed is a wait of 0. */
static bool
parse_date(const char *text, int64_t wall_time, double *seconds)
{
    if (!g_ascii_isalpha(text[0])) {
        return false;
    }
    time_t date = curl_getdate(text, NULL);
    if (date == (time_t)-1) {
        return false;
    }
    *seconds = MAX((double)date - (double)wall_time / G_USEC_PER_SEC, 0);
    return true;
}

/* Takes over one time to wait. */
static void
add_wait(struct ch_notice *notice, const char *text, int64_t wall_time)
{
    double seconds = 0;
    if (!parse_seconds(text, &seconds) &&
        !parse_date(text, wall_time, &seconds)) {
        notice->unreadable = true;
        return;
    }
    int64_t wait = (int64_t)(MIN(seconds, MAX_WAIT_S) * G_USEC_PER_SEC);
    notice->wait = MAX(notice->wait, wait);
}

/* Whether text may be a list of numbers, which a proxy makes of several
 * headers; a date has a comma as well. */
static bool
is_number_list(const char *text)
{
    return strchr(text, ',') != NULL &&
           strspn(text, "0123456789., \t") == strlen(text);
}

/* See notices.h. */
void
ch_notice_reader_add(struct ch_notice_reader *reader, const char *name,
                     const char *value, int64_t wall_time)
{
    if (reader->draining_header != NULL &&
        strcasecmp(name, reader->draining_header) == 0) {
        reader->found.draining |= strcmp(value, "1") == 0;
        return;
    }
    if (strcasecmp(name, "Retry-After") != 0) {
        return;
    }
    if (!is_number_list(value)) {
        add_wait(&reader->found, value, wall_time);
        return;
    }
    char **values = g_strsplit(value, ",", -1);
    for (size_t i = 0; values[i] != NULL; i++) {
        add_wait(&reader->found, g_strstrip(values[i]), wall_time);
    }
    g_strfreev(values);
}

/* See notices.h. */
struct ch_notice
ch_notice_reader_get(const struct ch_notice_reader *reader, int status)
{
    struct ch_notice notice = reader->found;
    if (status != 429 && status != 503) {
        notice.wait = 0;
        notice.unreadable = false;
    }
    return notice;
}

/* See notices.h. */
bool
ch_notice_is_empty(const struct ch_notice *notice)
{
    return !notice->draining && notice->wait == 0 && !notice->unreadable;
}
