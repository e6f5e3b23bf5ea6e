/* Result codes and the error struct that functions fill in. */

#include "base/base.h"

#include <stdarg.h>
#include <stdio.h>

struct code_row {
    enum ch_code code;
    const char *name;
    int http;
    enum ch_outcome outcome;
    const char *meaning;
};

static const struct code_row rows[] = {
#define CH_CODE(name, number, http, outcome, meaning)                         \
    {CH_##name, #name, http, CH_##outcome, meaning},
#include "codes.def"
#undef CH_CODE
};

/* The table's row for a code.  For a number that isn't in the table, which a
 * node of a later version may send, the row of SYSTEM. */
static const struct code_row *
code_row(enum ch_code code)
{
    const struct code_row *fallback = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].code == code) {
            return &rows[i];
        }
        if (rows[i].code == CH_SYSTEM) {
            fallback = &rows[i];
        }
    }
    return fallback;
}

/* Sets *error, unless error is NULL or holds an error already: the first error
 * is kept, since it is the cause.  A long message is truncated. */
void
ch_error_set(struct ch_error *error, enum ch_code code, const char *format,
             ...)
{
    if (error == NULL || error->code != CH_OK) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    error->code = code;
    (void)vsnprintf(error->message, sizeof(error->message), format, arguments);
    va_end(arguments);
}

/* Resets an error, so that it can be passed to another function. */
void
ch_error_clear(struct ch_error *error)
{
    error->code = CH_OK;
    error->message[0] = '\0';
}

/* The code's name without CH_, as in docs/RESULT-CODES.md. */
const char *
ch_code_get_name(enum ch_code code)
{
    return code_row(code)->name;
}

/* A short description in English for operators and callers. */
const char *
ch_code_get_meaning(enum ch_code code)
{
    return code_row(code)->meaning;
}

/* The HTTP status that a caller gets with this code. */
int
ch_code_get_http_status(enum ch_code code)
{
    return code_row(code)->http;
}

/* Whether a request that ends with this code was run, as far as the code alone
 * tells.  If it is known that no byte of the request was sent, NOT_RUN may be
 * reported instead. */
enum ch_outcome
ch_code_get_outcome(enum ch_code code)
{
    return code_row(code)->outcome;
}

/* The outcome's value in the Chestnuthitch-Outcome header. */
const char *
ch_outcome_get_name(enum ch_outcome outcome)
{
    static const char *const names[] = {"not-run", "ran", "unknown"};
    return names[outcome];
}
