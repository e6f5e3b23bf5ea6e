/* The JSON body of error responses. */

#include "node/refusal.h"
#include "base/json.h"

static void
add_string_member(JsonBuilder *builder, const char *name, const char *text)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, text);
}

/* See refusal.h. An invalid message is made valid UTF-8; the retry time is
 * rounded up to milliseconds. */
char *
ch_refusal_to_json(const struct ch_refusal *refusal)
{
    JsonBuilder *builder = json_builder_new_immutable();
    const char *message = refusal->message;
    if (message == NULL || message[0] == '\0') {
        message = ch_code_get_meaning(refusal->code);
    }
    char *valid_message = g_utf8_make_valid(message, -1);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "error");
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "code");
    json_builder_add_int_value(builder, refusal->code);
    add_string_member(builder, "name", ch_code_get_name(refusal->code));
    add_string_member(builder, "message", valid_message);
    if (refusal->field != NULL && refusal->field[0] != '\0') {
        add_string_member(builder, "field", refusal->field);
    }
    add_string_member(builder, "outcome",
                      ch_outcome_get_name(refusal->outcome));
    if (refusal->retry_after > 0) {
        json_builder_set_member_name(builder, "retry_after_ms");
        json_builder_add_int_value(builder,
                                   (refusal->retry_after + 999) / 1000);
    }
    add_string_member(builder, "request_id", refusal->request_id);
    json_builder_end_object(builder);
    json_builder_end_object(builder);
    g_free(valid_message);
    return ch_json_to_string(builder);
}
