#ifndef CH_JSON_H
#define CH_JSON_H

/* Strict parsing of JSON from untrusted sources, and helpers for json-glib. */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * True if text looks like a single JSON object that is nested at most
 * max_depth levels deep; sets *members to the number of its own members.
 * Checks only the structure: the parser may still refuse the text.
 */
bool ch_json_check_shape(const char *text, size_t length, unsigned max_depth,
                         size_t *members);

/* Parses a text that is a single JSON object; NULL if it is anything else.
   U+0000 in its strings becomes U+FFFD.
 *parser is always set and owns the object; unreference it after use. */
JsonObject *ch_json_parse_object(const char *text, size_t length,
                                 JsonParser **parser);

/* A string member, valid as long as the object; NULL if the member is missing
   or not a string. */
const char *ch_json_get_string(JsonObject *object, const char *name);

/* An integer member; the fallback if it is missing or not an integer. */
int64_t ch_json_get_integer(JsonObject *object, const char *name,
                            int64_t fallback);

/* The builder's JSON as a new string; takes over the builder's reference. */
char *ch_json_to_string(JsonBuilder *builder);

#endif
