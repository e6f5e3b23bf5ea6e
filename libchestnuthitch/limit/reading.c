/* Reads the header by which an upstream names its limit. */

#include "limit/limit.h"

#include <math.h>
#include <string.h>

enum {
    /* The longest decimal number that is read. */
    MAX_NUMBER_LENGTH = 32,
};

/* Parses a decimal number without sign and exponent, such as 1.5; g_strtod
 * alone would accept "nan", "inf", hexadecimal digits and a sign. */
static bool
parse_decimal(const char *text, double *value)
{
    size_t length = strlen(text);
    if (length == 0 || length > MAX_NUMBER_LENGTH ||
        strspn(text, "0123456789.") != length) {
        return false;
    }
    char *end = NULL;
    *value = g_ascii_strtod(text, &end);
    return end == text + length && isfinite(*value);
}

/* See limit.h. */
struct ch_limit_reading
ch_limit_read(const char *text)
{
    struct ch_limit_reading reading = {.kind = CH_LIMIT_ABSENT};
    if (text == NULL) {
        return reading;
    }
    reading.kind = CH_LIMIT_UNREADABLE;
    char **values = g_strsplit(text, ",", -1);
    for (size_t i = 0; values[i] != NULL; i++) {
        double per_s = 0;
        if (!parse_decimal(g_strstrip(values[i]), &per_s)) {
            continue;
        }
        reading.per_s =
            reading.kind == CH_LIMIT_NAMED ? MIN(reading.per_s, per_s) : per_s;
        reading.kind = CH_LIMIT_NAMED;
    }
    g_strfreev(values);
    return reading;
}
