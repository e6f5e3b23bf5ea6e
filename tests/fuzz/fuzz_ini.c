/* Fuzz test: parses any bytes as settings and as a declaration.  Each parser
 * must give either a result or an error, and parsing the canonical text of a
 * declaration must give the same text again. */

#include "base/base.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

/* Parses one input; aborts if a parser breaks one of these rules. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    char *text = g_strndup((const char *)bytes, length);
    struct ch_error error = {0};
    struct ch_settings *settings = ch_settings_parse(text, "f.ini", &error);
    if ((settings == NULL) != (error.code != CH_OK)) {
        abort();
    }
    ch_settings_free(settings);
    ch_error_clear(&error);
    struct ch_declaration *first = ch_declaration_parse(text, "f.ini", &error);
    if ((first == NULL) != (error.code != CH_OK)) {
        abort();
    }
    if (first != NULL) {
        struct ch_declaration *second =
            ch_declaration_parse(first->canonical_text, "canonical", &error);
        if (second == NULL ||
            strcmp(first->canonical_text, second->canonical_text) != 0) {
            abort();
        }
        ch_declaration_free(second);
    }
    ch_declaration_free(first);
    g_free(text);
    return 0;
}
