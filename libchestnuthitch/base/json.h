#ifndef CH_JSON_H
#define CH_JSON_H

/* Strict JSON: texts that others wrote. */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * True for one JSON object that is nested max_depth deep at most; members is
 * how many the object itself has.  Finds no more than the shape.
 */
bool ch_json_shape(const char *text, size_t length, unsigned max_depth,
                   size_t *members);

/* The object of a text that is one JSON object, or NULL.  *parser is always
   set, owns the object, and is to be unreferenced. */
JsonObject *ch_json_object(const char *text, size_t length,
                           JsonParser **parser);

/* A member that is a string, as long as the object; NULL: it is none. */
const char *ch_json_text(JsonObject *object, const char *name);

/* What a builder holds, as a new string; the builder is given up. */
/* An integer member; the fallback when there is none. */
int64_t ch_json_integer(JsonObject *object, const char *name,
                        int64_t fallback);
char *ch_json_print(JsonBuilder *builder);

#endif
