/* Parses a caller's request: path, headers and permissions. */

#include "node/request.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
    MAX_URI_BYTES = 8 * 1024,
    /* Default by which queues order requests of a class without any target. */
    DEFAULT_TARGET_US = 60 * G_USEC_PER_SEC,
};

/* Records a fault and its field; a later one is ignored. */
void
ch_fault_set(struct ch_fault *fault, enum ch_code code, const char *field,
             const char *form, ...)
{
    if (fault->error.code != CH_OK) {
        return;
    }
    char text[sizeof(fault->error.message)];
    va_list arguments;
    va_start(arguments, form);
    (void)vsnprintf(text, sizeof(text), form, arguments);
    va_end(arguments);
    ch_error_set(&fault->error, code, "%s", text);
    g_strlcpy(fault->field, field, sizeof(fault->field));
}

void
ch_request_free(struct ch_request *request)
{
    if (request == NULL) {
        return;
    }
    g_free(request->method);
    g_free(request->path);
    g_free(request->content_type);
    g_free(request->key);
    g_free(request->body);
    g_free(request->caller);
    g_free(request->team);
    g_free(request->owner);
    g_free(request->tenant);
    g_free(request->class_name);
    g_free(request->model);
    g_free(request->adapter);
    g_free(request->request_id);
    g_free(request->resume_id);
    g_free(request->resumes);
    g_free(request->host);
    for (size_t i = 0; i < request->header_count; i++) {
        g_free((char *)request->headers[i].name);
        g_free((char *)request->headers[i].value);
    }
    g_free(request->headers);
    g_free(request->parts);
    g_free(request);
}

/* True when the text is 1 to max bytes of printable ASCII. space: a space
 * counts as printable, as in header values. */
static bool
is_printable(const char *text, size_t max, bool space)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i]) && !(space && text[i] == ' ')) {
            return false;
        }
    }
    return length > 0 && length <= max;
}

/* ---- path ---- */

struct route {
    const char *path;
    const char *method;
    enum ch_request_kind kind;
};

static const struct route routes[] = {
    {"/v1/completions", "POST", CH_REQUEST_MODEL_CALL},
    {"/v1/chat/completions", "POST", CH_REQUEST_MODEL_CALL},
    {"/v1/models", "GET", CH_REQUEST_MODEL_LIST},
};

static const char service_prefix[] = "/services/";

/* Checks the path of the request line. Plain services receive it byte by byte;
 * '#' is refused since an HTTP client cuts the URL there. */
bool
ch_request_check_uri(const char *uri, struct ch_fault *fault)
{
    if (uri[0] != '/' || !is_printable(uri, MAX_URI_BYTES, false) ||
        strpbrk(uri, "#\\\"<>^`{|}") != NULL) {
        ch_fault_set(fault, CH_BAD_FIELD, "path",
                     "the path is not 1 to %d bytes of a URL's characters",
                     MAX_URI_BYTES);
        return false;
    }
    return true;
}

/* Splits /services/NAME/REST into the service and the path. */
static bool
parse_service_path(struct ch_request *request, const char *uri,
                   struct ch_fault *fault)
{
    const char *name = uri + sizeof(service_prefix) - 1;
    size_t length = strcspn(name, "/?");
    if (length == 0 || length > CH_REQUEST_MAX_NAME_BYTES) {
        ch_fault_set(fault, CH_UNKNOWN_SERVICE, "path",
                     "the path names no service");
        return false;
    }
    request->kind = CH_REQUEST_SERVICE_CALL;
    request->model = g_strndup(name, length);
    request->path = name[length] == '/'
                        ? g_strdup(name + length)
                        : g_strconcat("/", name + length, NULL);
    return true;
}

/* Determines the request's kind from path and method. */
static bool
parse_path(struct ch_request *request, const struct ch_request_input *input,
           struct ch_fault *fault)
{
    if (!ch_request_check_uri(input->uri, fault)) {
        return false;
    }
    if (g_str_has_prefix(input->uri, service_prefix)) {
        return parse_service_path(request, input->uri, fault);
    }
    size_t length = strcspn(input->uri, "?");
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strlen(routes[i].path) != length ||
            strncmp(routes[i].path, input->uri, length) != 0) {
            continue;
        }
        if (strcmp(routes[i].method, input->method) != 0) {
            ch_fault_set(fault, CH_BAD_METHOD, "method", "%s accepts only %s",
                         routes[i].path, routes[i].method);
            return false;
        }
        request->kind = routes[i].kind;
        request->path = g_strdup(input->uri);
        return true;
    }
    ch_fault_set(fault, CH_UNKNOWN_PATH, "path", "no such path");
    return false;
}

/* ---- headers ---- */

static bool
parse_caller(struct ch_request *request, const struct ch_request_input *input,
             struct ch_fault *fault)
{
    const char *caller = input->caller == NULL ? "anonymous" : input->caller;
    if (!is_printable(caller, CH_REQUEST_MAX_NAME_BYTES, true)) {
        ch_fault_set(fault, CH_BAD_FIELD, "Chestnuthitch-Caller",
                     "the caller's name is not 1 to %d printable characters",
                     CH_REQUEST_MAX_NAME_BYTES);
        return false;
    }
    request->caller = g_strdup(caller);
    request->info.tenant = ch_hash_string(caller);
    return true;
}

static bool
parse_key(struct ch_request *request, const struct ch_request_input *input,
          struct ch_fault *fault)
{
    if (input->key == NULL) {
        return true;
    }
    if (!is_printable(input->key, CH_REQUEST_MAX_KEY_BYTES, true)) {
        ch_fault_set(fault, CH_BAD_KEY, "Idempotency-Key",
                     "the key is not 1 to %d printable ASCII characters",
                     CH_REQUEST_MAX_KEY_BYTES);
        return false;
    }
    request->key = g_strdup(input->key);
    return true;
}

/* Parses how long the caller waits. */
static bool
parse_deadline(struct ch_request *request,
               const struct ch_request_input *input, int64_t now,
               struct ch_fault *fault)
{
    guint64 wait = 0;
    if (input->deadline_ms == NULL) {
        return true;
    }
    if (!g_ascii_string_to_unsigned(input->deadline_ms, 10, 1,
                                    CH_REQUEST_MAX_DEADLINE_MS, &wait, NULL)) {
        ch_fault_set(fault, CH_BAD_FIELD, "Chestnuthitch-Deadline-Ms",
                     "the deadline is not a whole number from 1 to %d",
                     CH_REQUEST_MAX_DEADLINE_MS);
        return false;
    }
    request->deadline = now + (int64_t)wait * 1000;
    return true;
}

/* The class that the request names, or else the one declared for its caller;
 * NULL with *fault when there is neither. */
static const struct ch_class *
choose_class(struct ch_request *request,
             const struct ch_declaration *declaration,
             const struct ch_request_input *input, struct ch_fault *fault)
{
    int declared =
        ch_declaration_find_caller_class(declaration, request->caller);
    int index = declared;
    if (input->class_name != NULL) {
        index = ch_declaration_find_class(declaration, input->class_name);
        if (index < 0) {
            ch_fault_set(fault, CH_UNKNOWN_CLASS, "Chestnuthitch-Class",
                         "no such class");
            return NULL;
        }
    }
    if (index < 0) {
        ch_fault_set(
            fault, CH_CLASS_MISSING, "Chestnuthitch-Class",
            "no class was given, and none is declared for this caller");
        return NULL;
    }
    const struct ch_class *class = &declaration->classes[index];
    /* Callers choose their names, so counters for each name would grow without
     * bound: only declared callers are counted as tenants of their own. */
    request->tenant = g_strdup(declared >= 0 ? request->caller : "other");
    request->class_name = g_strdup(class->name);
    request->first_token_target = class->first_token_target;
    request->token_target = class->token_target;
    request->answer_target = class->response_target;
    request->info.class_name = g_quark_from_string(class->name);
    request->info.idempotent = class->idempotent;
    return class;
}

/* ---- permissions of the class ---- */

/* Resolves the model or adapter that the body names. */
static bool
resolve_model(struct ch_request *request,
              const struct ch_declaration *declaration,
              const struct ch_class *class, const char *name,
              struct ch_fault *fault)
{
    int adapter = -1;
    int index = ch_declaration_find_model(declaration, name);
    if (index < 0) {
        index = ch_declaration_find_adapter(declaration, name, &adapter);
    }
    if (index < 0) {
        ch_fault_set(fault, CH_UNKNOWN_MODEL, "model",
                     "no such model or adapter");
        return false;
    }
    if (!class->allows_every_model &&
        (class->allowed_models == NULL || class->allowed_models[index] == 0)) {
        ch_fault_set(fault, CH_MODEL_FORBIDDEN, "model",
                     "class %s may not use this model", class->name);
        return false;
    }
    const struct ch_model *model = &declaration->models[index];
    request->model = g_strdup(model->name);
    request->info.model = g_quark_from_string(model->name);
    request->info.model_mb = model->memory_mb;
    if (adapter >= 0) {
        request->adapter = g_strdup(model->adapters[adapter]);
        char *full = g_strconcat(model->name, "/", request->adapter, NULL);
        request->info.adapter = g_quark_from_string(full);
        request->info.adapter_mb = model->adapter_memory_mb;
        g_free(full);
    }
    return true;
}

/* Resolves the plain service that the path names. */
static bool
resolve_service(struct ch_request *request,
                const struct ch_declaration *declaration,
                const struct ch_class *class, struct ch_fault *fault)
{
    int index = ch_declaration_find_service(declaration, request->model);
    if (index < 0) {
        ch_fault_set(fault, CH_UNKNOWN_SERVICE, "path", "no such service");
        return false;
    }
    if (class->allowed_services == NULL ||
        class->allowed_services[index] == 0) {
        ch_fault_set(fault, CH_MODEL_FORBIDDEN, "path",
                     "class %s may not use this service", class->name);
        return false;
    }
    request->info.model = g_quark_from_string(request->model);
    request->info.is_service = true;
    return true;
}

/* Parses a model call's body. */
static bool
parse_model_body(struct ch_request *request,
                 const struct ch_declaration *declaration,
                 const struct ch_class *class,
                 const struct ch_request_input *input, struct ch_fault *fault)
{
    struct ch_model_body body;
    bool chat = g_str_has_prefix(request->path, "/v1/chat/");
    if (!ch_model_body_parse(input->body, input->body_length, chat, &body,
                             fault)) {
        return false;
    }
    bool good = resolve_model(request, declaration, class, body.model, fault);
    request->stream = body.stream;
    request->info.prompt_tokens = body.prompt_tokens;
    request->info.max_output_tokens = body.output_tokens;
    request->info.prefix_hash = body.prefix_hash;
    g_free(body.model);
    return good;
}

/* ---- the whole request ---- */

/* Sets the times by which the class wants the response; a caller that stops
 * waiting earlier makes them earlier. */
static void
set_targets(struct ch_request *request, int64_t now)
{
    struct ch_request_info *info = &request->info;
    int64_t first = request->first_token_target;
    if (first == 0 || info->is_service) {
        first = request->answer_target > 0 ? request->answer_target : first;
    }
    info->arrived_at = now;
    info->first_token_deadline = now + (first > 0 ? first : DEFAULT_TARGET_US);
    info->token_target = request->token_target;
    info->answer_deadline =
        request->answer_target > 0 ? now + request->answer_target : 0;
    if (request->deadline != 0) {
        info->first_token_deadline =
            MIN(info->first_token_deadline, request->deadline);
        info->answer_deadline =
            info->answer_deadline == 0
                ? request->deadline
                : MIN(info->answer_deadline, request->deadline);
    }
}

/* See request.h. */
void
ch_request_copy_body(struct ch_request *request,
                     const struct ch_request_input *input)
{
    request->method = g_strdup(input->method);
    request->content_type = g_strdup(input->content_type);
    request->body_length = input->body_length;
    request->body = g_malloc(input->body_length + 1);
    if (input->body_length > 0) {
        memcpy(request->body, input->body, input->body_length);
    }
    request->body[input->body_length] = '\0';
    request->fingerprint = ch_hash_pair(
        ch_hash_string(input->method),
        ch_hash_pair(ch_hash_string(input->uri),
                     ch_hash(request->body, request->body_length)));
}

/* Fills in the request; false with *fault at the first fault found. */
static bool
parse_request(struct ch_request *request,
              const struct ch_declaration *declaration,
              const struct ch_request_input *input, int64_t now,
              struct ch_fault *fault)
{
    if (!parse_path(request, input, fault) ||
        !parse_caller(request, input, fault) ||
        !parse_key(request, input, fault) ||
        !parse_deadline(request, input, now, fault)) {
        return false;
    }
    const struct ch_class *class =
        choose_class(request, declaration, input, fault);
    const struct ch_team *team = NULL;
    if (class == NULL ||
        !ch_request_set_team(request, declaration, class, &input->credential,
                             &team, fault)) {
        return false;
    }
    if (request->kind == CH_REQUEST_MODEL_CALL &&
        !parse_model_body(request, declaration, class, input, fault)) {
        return false;
    }
    if (request->kind == CH_REQUEST_SERVICE_CALL &&
        !resolve_service(request, declaration, class, fault)) {
        return false;
    }
    ch_request_set_quota_cost(request, team,
                              request->kind == CH_REQUEST_MODEL_CALL);
    ch_request_copy_body(request, input);
    set_targets(request, now);
    return true;
}

/* See request.h. */
struct ch_request *
ch_request_parse(const struct ch_declaration *declaration,
                 const struct ch_request_input *input, int64_t now,
                 struct ch_fault *fault)
{
    struct ch_request *request = g_new0(struct ch_request, 1);
    if (!parse_request(request, declaration, input, now, fault)) {
        ch_request_free(request);
        return NULL;
    }
    return request;
}
