/* Takes a request in, head and body, within bounds. */

#include "node/intake.h"

#include <string.h>
#include <strings.h>

static const char *const header_names[CH_INTAKE_HEADERS] = {
    [CH_INTAKE_CALLER] = "Chestnuthitch-Caller",
    [CH_INTAKE_CLASS] = "Chestnuthitch-Class",
    [CH_INTAKE_DEADLINE] = "Chestnuthitch-Deadline-Ms",
    [CH_INTAKE_KEY] = "Idempotency-Key",
    [CH_INTAKE_CONTENT_TYPE] = "Content-Type",
};

/* An intake for a request whose first line has come. */
struct ch_intake *
ch_intake_new(struct MHD_Connection *connection, const char *uri,
              const char *request_id, uint64_t number)
{
    struct ch_intake *intake = g_new0(struct ch_intake, 1);
    intake->reply = ch_reply_new(connection, request_id);
    intake->number = number;
    intake->uri = g_strdup(uri);
    intake->body = g_byte_array_new();
    intake->repeated = -1;
    intake->all = g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    return intake;
}

/* Frees the intake and gives back its reference to the reply. */
void
ch_intake_free(struct ch_intake *intake)
{
    ch_reply_unref(intake->reply);
    g_array_free(intake->all, TRUE);
    g_byte_array_free(intake->body, TRUE);
    for (int i = 0; i < CH_INTAKE_HEADERS; i++) {
        g_free(intake->headers[i]);
    }
    g_free(intake->method);
    g_free(intake->uri);
    g_free(intake);
}

/* Whether a value is what a body's length or coding may be. */
static bool
is_framing(const char *name, const char *value)
{
    if (strcasecmp(name, "Transfer-Encoding") == 0) {
        return strcasecmp(value, "chunked") == 0;
    }
    return value[0] != '\0' && strspn(value, "0123456789") == strlen(value) &&
           strlen(value) < 19;
}

/*
 * Looks for what lets two readers of the same bytes see different requests,
 * one of them hidden in the other's body: a name with a blank, a control byte,
 * two lengths, a length and chunks together, another coding than chunks.  The
 * HTTP library takes several of these and answers what was hidden.  A head of
 * that kind is refused and its connection closed, so that nothing which comes
 * after it is read.
 */
static void
check_shape(struct ch_intake *intake, const char *name, const char *value)
{
    bool framing = strcasecmp(name, "Content-Length") == 0 ||
                   strcasecmp(name, "Transfer-Encoding") == 0;
    bool clean = name[0] != '\0';
    for (const char *c = name; *c != '\0'; c++) {
        clean = clean && g_ascii_isgraph(*c);
    }
    for (const char *c = value; *c != '\0'; c++) {
        clean =
            clean && ((unsigned char)*c >= 0x20 || *c == '\t') && *c != 0x7f;
    }
    intake->lengths += framing ? 1 : 0;
    if (!clean || intake->lengths > 1 ||
        (framing && !is_framing(name, value))) {
        intake->malformed = true;
    }
}

/* Counts a header's bytes as they stood in the request, and keeps those that
 * matter. */
static enum MHD_Result
take_header(void *data, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    struct ch_intake *intake = data;
    const char *text = value == NULL ? "" : value;
    const struct ch_http_header header = {name, text};
    intake->header_bytes += strlen(name) + strlen(text) + 4;
    check_shape(intake, name, text);
    g_array_append_val(intake->all, header);
    for (int i = 0; i < CH_INTAKE_HEADERS; i++) {
        if (strcasecmp(name, header_names[i]) != 0) {
            continue;
        }
        if (intake->headers[i] != NULL) {
            intake->repeated = i;
        }
        g_free(intake->headers[i]);
        intake->headers[i] = g_strdup(text);
    }
    return MHD_YES;
}

/* The stated length of the body; 0 when none is stated, so that a body in
 * chunks is counted as it comes. */
static uint64_t
stated_length(struct MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

/* Looks at the head: a request that is refused for it is refused before its
 * body is sent. */
bool
ch_intake_head(struct ch_intake *intake, struct MHD_Connection *connection,
               const char *method, const struct ch_settings *settings,
               struct ch_fault *fault)
{
    intake->begun = true;
    intake->method = g_strdup(method);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, take_header,
                              intake);
    intake->header_bytes += strlen(intake->uri) + strlen(method);
    if (intake->header_bytes > settings->max_headers) {
        ch_fault_set(fault, CH_HEADERS_TOO_LARGE, "headers",
                     "the headers are over %zu bytes", settings->max_headers);
        return false;
    }
    if (intake->malformed) {
        ch_fault_set(fault, CH_BAD_FIELD, "headers",
                     "the head of the request is malformed");
        return false;
    }
    if (intake->repeated >= 0) {
        ch_fault_set(fault, CH_BAD_FIELD, header_names[intake->repeated],
                     "%s came twice", header_names[intake->repeated]);
        return false;
    }
    if (stated_length(connection) > settings->max_body) {
        ch_fault_set(fault, CH_BODY_TOO_LARGE, "body",
                     "the body is over %zu bytes", settings->max_body);
        return false;
    }
    return true;
}

/* Takes a part of the body.  What is over the bound is dropped and refused at
 * the end; a body without an end is cut off at twice the bound. */
bool
ch_intake_body(struct ch_intake *intake, const char *bytes, size_t length,
               size_t most)
{
    if (intake->too_large || length > most - intake->body->len) {
        intake->too_large = true;
        intake->dropped += length;
        return intake->body->len + intake->dropped <= 2 * most;
    }
    g_byte_array_append(intake->body, (const guint8 *)bytes, (guint)length);
    return true;
}

/* Looks at the whole request. */
bool
ch_intake_check(const struct ch_intake *intake, size_t most,
                struct ch_fault *fault)
{
    if (intake->too_large) {
        ch_fault_set(fault, CH_BODY_TOO_LARGE, "body",
                     "the body is over %zu bytes", most);
        return false;
    }
    return true;
}

/* What the parser is to look at. */
void
ch_intake_input(const struct ch_intake *intake, struct ch_request_input *input)
{
    *input = (struct ch_request_input){
        .method = intake->method,
        .uri = intake->uri,
        .caller = intake->headers[CH_INTAKE_CALLER],
        .class_name = intake->headers[CH_INTAKE_CLASS],
        .deadline_ms = intake->headers[CH_INTAKE_DEADLINE],
        .key = intake->headers[CH_INTAKE_KEY],
        .content_type = intake->headers[CH_INTAKE_CONTENT_TYPE],
        .body = intake->body->data,
        .length = intake->body->len,
    };
}

/* See intake.h. */
bool
ch_intake_read(const struct ch_intake *intake,
               const struct ch_dialect *dialect,
               struct ch_request_input *input, struct ch_fault *fault)
{
    memset(input, 0, sizeof(*input));
    input->method = intake->method;
    input->uri = intake->uri;
    input->content_type = intake->headers[CH_INTAKE_CONTENT_TYPE];
    input->body = intake->body->data;
    input->length = intake->body->len;
    input->passed = g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    return dialect->read_headers(
        (const struct ch_http_header *)(void *)intake->all->data,
        intake->all->len, input, fault);
}
