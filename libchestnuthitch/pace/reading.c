/* Reads the header by which an upstream states its load. */

#include "pace/pace_internal.h"

#include <string.h>

enum {
    MIN_FIELDS = 3, /* running, waiting, slots */
    MAX_FIELDS = 4, /* and percent */
    /* Digits of a number, with leading zeros; fits in 32 bits. */
    MAX_DIGITS = 9,
};

/* Parses the digits at *text, with spaces and tabs around them, and advances
 * *text past them. g_ascii_strtoull() alone would accept signs. */
static bool
parse_number(const char **text, uint32_t *number)
{
    const char *next = *text + strspn(*text, " \t");
    size_t digits = strspn(next, "0123456789");
    if (digits == 0 || digits > MAX_DIGITS) {
        return false;
    }
    *number = (uint32_t)g_ascii_strtoull(next, NULL, 10);
    next += digits;
    *text = next + strspn(next, " \t");
    return true;
}

/* Parses the list of numbers; returns how many there are, 0: unreadable. */
static size_t
parse_fields(const char *text, uint32_t fields[MAX_FIELDS])
{
    for (size_t count = 0; count < MAX_FIELDS; text++) {
        if (!parse_number(&text, &fields[count])) {
            return 0;
        }
        count++;
        if (*text == '\0') {
            return count;
        }
        if (*text != ',') {
            return 0;
        }
    }
    return 0;
}

/* See pace_internal.h. */
bool
pace_reading_is_valid(const struct ch_pace_reading *reading)
{
    return reading->running <= PACE_MAX_COUNT &&
           reading->waiting <= PACE_MAX_COUNT &&
           reading->slots <= PACE_MAX_COUNT &&
           reading->percent <= PACE_MAX_PERCENT;
}

/* See pace.h. A percentage of 0 would mean that work takes no time. */
enum ch_pace_reading_kind
ch_pace_read(const char *text, struct ch_pace_reading *reading)
{
    if (text == NULL) {
        return CH_PACE_ABSENT;
    }
    uint32_t fields[MAX_FIELDS] = {0};
    size_t count = parse_fields(text, fields);
    const struct ch_pace_reading found = {fields[0], fields[1], fields[2],
                                          fields[3]};
    if (count < MIN_FIELDS || (count == MAX_FIELDS && found.percent == 0) ||
        !pace_reading_is_valid(&found)) {
        return CH_PACE_UNREADABLE;
    }
    *reading = found;
    return CH_PACE_STATED;
}
