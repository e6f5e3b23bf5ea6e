/* Receives a request's head and body within size limits. */

#include "node/incoming_request.h"

#include <string.h>
#include <strings.h>

static const char *const header_names[CH_INCOMING_HEADER_COUNT] = {
    [CH_INCOMING_CALLER] = "Chestnuthitch-Caller",
    [CH_INCOMING_CLASS] = "Chestnuthitch-Class",
    [CH_INCOMING_DEADLINE] = "Chestnuthitch-Deadline-Ms",
    [CH_INCOMING_KEY] = "Idempotency-Key",
    [CH_INCOMING_CONTENT_TYPE] = "Content-Type",
};

/* Creates an incoming request once its first line has arrived. */
struct ch_incoming_request *
ch_incoming_request_new(struct MHD_Connection *connection,
                        struct ch_response_memory *memory, const char *uri,
                        const char *request_id, uint64_t number)
{
    struct ch_incoming_request *incoming =
        g_new0(struct ch_incoming_request, 1);
    incoming->response = ch_response_new(connection, request_id, memory);
    incoming->number = number;
    incoming->uri = g_strdup(uri);
    incoming->body = g_byte_array_new();
    incoming->repeated_header = -1;
    incoming->all_headers =
        g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    return incoming;
}

/* Frees the incoming request and its reference to the response. */
void
ch_incoming_request_free(struct ch_incoming_request *incoming)
{
    ch_response_unref(incoming->response);
    g_array_free(incoming->all_headers, TRUE);
    g_byte_array_free(incoming->body, TRUE);
    for (int i = 0; i < CH_INCOMING_HEADER_COUNT; i++) {
        g_free(incoming->headers[i]);
    }
    g_free(incoming->method);
    g_free(incoming->uri);
    g_free(incoming);
}

/* Whether the value of a header that frames the body is valid. */
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
 * Detects heads that two parsers of the same bytes could read as different
 * requests, one of them hidden in the other's body (request smuggling): a
 * blank in a header name, a control byte, two lengths, a length together with
 * chunked encoding, a transfer coding other than chunked. The HTTP library
 * accepts several of these and would answer the hidden request. Such a head is
 * refused and its connection closed, so that nothing after it is read.
 */
static void
check_ambiguity(struct ch_incoming_request *incoming, const char *name,
                const char *value)
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
    incoming->framing_headers += framing ? 1 : 0;
    if (!clean || incoming->framing_headers > 1 ||
        (framing && !is_framing(name, value))) {
        incoming->malformed = true;
    }
}

/* Counts a header's bytes as they were in the request, and stores the headers
 * in use. */
static enum MHD_Result
add_header(void *data, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    (void)kind;
    struct ch_incoming_request *incoming = data;
    const char *text = value == NULL ? "" : value;
    const struct ch_http_header header = {name, text};
    incoming->header_bytes += strlen(name) + strlen(text) + 4;
    check_ambiguity(incoming, name, text);
    g_array_append_val(incoming->all_headers, header);
    for (int i = 0; i < CH_INCOMING_HEADER_COUNT; i++) {
        if (strcasecmp(name, header_names[i]) != 0) {
            continue;
        }
        if (incoming->headers[i] != NULL) {
            incoming->repeated_header = i;
        }
        g_free(incoming->headers[i]);
        incoming->headers[i] = g_strdup(text);
    }
    return MHD_YES;
}

/* The body's Content-Length; 0 without one, in which case a chunked body is
 * counted as it arrives. */
static uint64_t
get_content_length(struct MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

/* Checks the head, so that a request that it makes invalid is refused before
 * its body is sent. */
bool
ch_incoming_request_read_head(struct ch_incoming_request *incoming,
                              struct MHD_Connection *connection,
                              const char *method,
                              const struct ch_settings *settings,
                              struct ch_fault *fault)
{
    incoming->head_checked = true;
    incoming->method = g_strdup(method);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header,
                              incoming);
    incoming->header_bytes += strlen(incoming->uri) + strlen(method);
    if (incoming->header_bytes > settings->max_header_bytes) {
        ch_fault_set(fault, CH_HEADERS_TOO_LARGE, "headers",
                     "the headers exceed %zu bytes",
                     settings->max_header_bytes);
        return false;
    }
    if (incoming->malformed) {
        ch_fault_set(fault, CH_BAD_FIELD, "headers",
                     "the head of the request is malformed");
        return false;
    }
    if (incoming->repeated_header >= 0) {
        ch_fault_set(
            fault, CH_BAD_FIELD, header_names[incoming->repeated_header],
            "%s was sent twice", header_names[incoming->repeated_header]);
        return false;
    }
    if (get_content_length(connection) > settings->max_body_bytes) {
        ch_fault_set(fault, CH_BODY_TOO_LARGE, "body",
                     "the body exceeds %zu bytes", settings->max_body_bytes);
        return false;
    }
    return true;
}

/* See incoming_request.h. */
bool
ch_incoming_request_add_body(struct ch_incoming_request *incoming,
                             const char *bytes, size_t length, size_t max)
{
    if (incoming->too_large || length > max - incoming->body->len) {
        incoming->too_large = true;
        incoming->dropped_bytes += length;
        return incoming->body->len + incoming->dropped_bytes <= 2 * max;
    }
    g_byte_array_append(incoming->body, (const guint8 *)bytes, (guint)length);
    return true;
}

/* See incoming_request.h. */
bool
ch_incoming_request_check(const struct ch_incoming_request *incoming,
                          size_t max, struct ch_fault *fault)
{
    if (incoming->too_large) {
        ch_fault_set(fault, CH_BODY_TOO_LARGE, "body",
                     "the body exceeds %zu bytes", max);
        return false;
    }
    return true;
}

/* Reads the Authorization headers. */
static struct ch_credential
read_credential(const struct ch_incoming_request *incoming, const char *scheme)
{
    struct ch_credential credential = {.state = CH_CREDENTIAL_ABSENT};
    for (guint i = 0; i < incoming->all_headers->len; i++) {
        const struct ch_http_header *header =
            &g_array_index(incoming->all_headers, struct ch_http_header, i);
        if (strcasecmp(header->name, "Authorization") == 0) {
            ch_credential_add(&credential, scheme, header->value);
        }
    }
    return credential;
}

/* See incoming_request.h. */
void
ch_incoming_request_get_input(const struct ch_incoming_request *incoming,
                              struct ch_request_input *input)
{
    *input = (struct ch_request_input){
        .method = incoming->method,
        .uri = incoming->uri,
        .caller = incoming->headers[CH_INCOMING_CALLER],
        .class_name = incoming->headers[CH_INCOMING_CLASS],
        .deadline_ms = incoming->headers[CH_INCOMING_DEADLINE],
        .key = incoming->headers[CH_INCOMING_KEY],
        .content_type = incoming->headers[CH_INCOMING_CONTENT_TYPE],
        .credential = read_credential(incoming, CH_INCOMING_KEY_SCHEME),
        .body = incoming->body->data,
        .body_length = incoming->body->len,
    };
}

/* See incoming_request.h. */
bool
ch_incoming_request_read_dialect(const struct ch_incoming_request *incoming,
                                 const struct ch_dialect *dialect,
                                 struct ch_request_input *input,
                                 struct ch_fault *fault)
{
    memset(input, 0, sizeof(*input));
    input->method = incoming->method;
    input->uri = incoming->uri;
    input->content_type = incoming->headers[CH_INCOMING_CONTENT_TYPE];
    input->credential = read_credential(incoming, dialect->key_scheme);
    input->body = incoming->body->data;
    input->body_length = incoming->body->len;
    input->forwarded_headers =
        g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    return dialect->read_headers(
        (const struct ch_http_header *)(void *)incoming->all_headers->data,
        incoming->all_headers->len, input, fault);
}
