/* Parses a request whose class is chosen by its host and path. */

#include "node/request.h"

#include <string.h>

enum {
    /* Time limit of a class that sets none. */
    DEFAULT_TIME_LIMIT_US = 60 * G_USEC_PER_SEC,
    /*
     * Time without a response after which a request that may be repeated is
     * sent to another upstream, in tenths of the target for its first byte.
     * Early enough that the second upstream can still meet the target, and
     * late enough for a usual response to have come: engines answer within a
     * tenth of a second unless they are full, plain services within a tenth of
     * their target.
     */
    FIRST_BYTE_TARGET_TENTHS = 6,
    MIN_FIRST_BYTE_US = 150 * 1000,
    MAX_FIRST_BYTE_US = 2 * G_USEC_PER_SEC,
    /* The same between two events, in multiples of the longest pause that
     * meets the target. Four such pauses, and at least a second, are far
     * longer than a pause for a batch that fills up, and end well before
     * callers abandon a stream. */
    STALL_GAPS = 4,
    MIN_STALL_US = G_USEC_PER_SEC,
};

/* Chooses the service by weight; the same request ID always gets the same one.
 */
static int
choose_service(const struct ch_class *class, const char *request_id)
{
    uint64_t total = 0;
    for (size_t i = 0; i < class->share_count; i++) {
        total += class->shares[i].weight;
    }
    if (total == 0) {
        return class->share_count > 0 ? class->shares[0].service_index : -1;
    }
    uint64_t point = ch_hash_string(request_id) % total;
    size_t share = 0;
    while (point >= class->shares[share].weight) {
        point -= class->shares[share].weight;
        share++;
    }
    return class->shares[share].service_index;
}

/* Finds the class by host and path; NULL with *fault. */
static const struct ch_class *
choose_class(struct ch_request *request,
             const struct ch_declaration *declaration,
             const struct ch_request_input *input, struct ch_fault *fault)
{
    if (input->host == NULL) {
        ch_fault_set(fault, CH_BAD_FIELD, "Host", "the host is missing");
        return NULL;
    }
    char *host = g_strndup(input->host, strcspn(input->host, ":"));
    int index = ch_declaration_find_route(declaration, host, input->uri,
                                          strcspn(input->uri, "?"));
    g_free(host);
    if (index < 0) {
        ch_fault_set(fault, CH_UNKNOWN_PATH, "path",
                     "no class matches this host and path");
        return NULL;
    }
    const struct ch_class *class = &declaration->classes[index];
    request->path = g_strdup(input->uri);
    request->class_name = g_strdup(class->name);
    request->caller = g_strdup("");
    request->tenant = g_strdup("other");
    request->stream = class->stream;
    request->first_token_target = class->first_token_target;
    request->token_target = class->token_target;
    request->answer_target = class->response_target;
    request->event_gap_target = class->event_gap_target;
    request->info.class_name = g_quark_from_string(class->name);
    request->info.idempotent = class->idempotent;
    request->info.max_attempts = MAX(class->max_attempts, 1);
    request->info.priority = class->priority;
    request->info.class_priority = class->priority;
    request->info.event_gap_target = class->event_gap_target;
    return class;
}

/* Resolves the model and adapter that the request names. */
static bool
resolve_model(struct ch_request *request,
              const struct ch_declaration *declaration, int service,
              const struct ch_request_input *input, struct ch_fault *fault)
{
    if (input->model == NULL) {
        ch_fault_set(fault, CH_BAD_FIELD, "model", "the model is missing");
        return false;
    }
    size_t length = strcspn(input->model, "/");
    request->model = g_strndup(input->model, length);
    int index = ch_declaration_find_model(declaration, request->model);
    const struct ch_model *model =
        index < 0 ? NULL : &declaration->models[index];
    if (model == NULL || !model->allowed_services[service]) {
        ch_fault_set(fault, CH_UNKNOWN_MODEL, "model",
                     "the service has no such model");
        return false;
    }
    request->kind = CH_REQUEST_MODEL_CALL;
    request->info.model = g_quark_from_string(model->name);
    request->info.model_mb = model->memory_mb;
    if (input->model[length] == '\0') {
        return true;
    }
    request->adapter = g_strdup(input->model + length + 1);
    if (!ch_model_has_numbered_adapter(model, request->adapter)) {
        ch_fault_set(fault, CH_UNKNOWN_MODEL, "model",
                     "the model has no such adapter");
        return false;
    }
    request->info.adapter = g_quark_from_string(input->model);
    request->info.adapter_mb = model->adapter_memory_mb;
    return true;
}

/* Resolves the service, and the model if its upstreams are engines. */
static bool
resolve_service(struct ch_request *request,
                const struct ch_declaration *declaration,
                const struct ch_class *class,
                const struct ch_request_input *input, struct ch_fault *fault)
{
    int index = choose_service(class, input->request_id);
    if (index < 0) {
        ch_fault_set(fault, CH_UNKNOWN_SERVICE, "path",
                     "the class has no service");
        return false;
    }
    const struct ch_service *service = &declaration->services[index];
    request->info.required_service = g_quark_from_string(service->name);
    if (service->memory_mb > 0) {
        return resolve_model(request, declaration, index, input, fault);
    }
    request->kind = CH_REQUEST_SERVICE_CALL;
    request->model = g_strdup(service->name);
    request->info.is_service = true;
    request->info.model = request->info.required_service;
    return true;
}

/* Sets the times by which the response must start and end, and how long an
 * upstream may be silent. */
static void
set_times(struct ch_request *request, const struct ch_class *class,
          int64_t now)
{
    struct ch_request_info *info = &request->info;
    int64_t limit =
        class->time_limit > 0 ? class->time_limit : DEFAULT_TIME_LIMIT_US;
    request->deadline = request->deadline == 0
                            ? now + limit
                            : MIN(request->deadline, now + limit);
    int64_t target =
        class->stream ? class->first_token_target : class->response_target;
    info->arrived_at = now;
    info->first_token_deadline = target > 0 ? now + target : request->deadline;
    info->first_token_deadline =
        MIN(info->first_token_deadline, request->deadline);
    info->answer_deadline = request->deadline;
    request->first_byte_limit = request->deadline - now;
    request->stall_limit = request->deadline - now;
    if (class->idempotent && class->max_attempts > 1 && target > 0) {
        request->first_byte_limit =
            CLAMP(target * FIRST_BYTE_TARGET_TENTHS / 10, MIN_FIRST_BYTE_US,
                  MAX_FIRST_BYTE_US);
        request->stall_limit =
            MAX(class->event_gap_target * STALL_GAPS, MIN_STALL_US);
    }
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
    if (!g_ascii_string_to_unsigned(input->deadline_ms, 10, 0,
                                    CH_REQUEST_MAX_DEADLINE_MS, &wait, NULL)) {
        ch_fault_set(fault, CH_BAD_FIELD, "deadline",
                     "the deadline is not a whole number up to %d",
                     CH_REQUEST_MAX_DEADLINE_MS);
        return false;
    }
    request->deadline = now + MAX((int64_t)wait, 1) * 1000;
    return true;
}

static bool
is_request_id(const char *text)
{
    return text != NULL && text[0] != '\0' &&
           strlen(text) <= CH_REQUEST_MAX_NAME_BYTES;
}

/* Copies the headers that are forwarded to the upstream. Where access keys are
 * in use, those that carry one are left out. */
static void
copy_headers(struct ch_request *request,
             const struct ch_declaration *declaration,
             const struct ch_request_input *input)
{
    request->headers =
        g_new0(struct ch_http_header, input->forwarded_headers->len + 1);
    for (guint i = 0; i < input->forwarded_headers->len; i++) {
        const struct ch_http_header *header =
            &g_array_index(input->forwarded_headers, struct ch_http_header, i);
        if (declaration->requires_keys &&
            !ch_access_may_forward(&input->credential, header->name,
                                   header->value)) {
            continue;
        }
        struct ch_http_header *copy =
            &request->headers[request->header_count++];
        copy->name = g_strdup(header->name);
        copy->value = g_strdup(header->value);
    }
}

/* Copies what is forwarded to the upstream unchanged. */
static void
copy_forwarded(struct ch_request *request,
               const struct ch_declaration *declaration,
               const struct ch_request_input *input)
{
    copy_headers(request, declaration, input);
    request->resume_id = g_strdup(input->resume_id);
    request->resumes =
        is_request_id(input->resumes) ? g_strdup(input->resumes) : NULL;
    request->host = g_strdup(input->host);
    request->parts = g_memdup2(input->parts, sizeof(struct ch_prompt_part) *
                                                 MAX(input->part_count, 1));
    request->info.parts = request->parts;
    request->info.part_count = input->part_count;
    request->info.prompt_tokens = input->prompt_tokens;
    request->info.max_output_tokens = input->output_tokens;
    request->info.expected_output_tokens = input->expected_tokens;
}

/* Fills in the request; false with *fault at the first fault found. */
static bool
parse_request(struct ch_request *request,
              const struct ch_declaration *declaration,
              const struct ch_request_input *input, int64_t now,
              struct ch_fault *fault)
{
    if (!ch_request_check_uri(input->uri, fault)) {
        return false;
    }
    if (!is_request_id(input->request_id)) {
        ch_fault_set(fault, CH_BAD_FIELD, "request id",
                     "the request has no id of 1 to %d bytes",
                     CH_REQUEST_MAX_NAME_BYTES);
        return false;
    }
    request->request_id = g_strdup(input->request_id);
    const struct ch_class *class =
        choose_class(request, declaration, input, fault);
    const struct ch_team *team = NULL;
    if (class == NULL ||
        !ch_request_set_team(request, declaration, class, &input->credential,
                             &team, fault) ||
        !parse_deadline(request, input, now, fault) ||
        !resolve_service(request, declaration, class, input, fault)) {
        return false;
    }
    copy_forwarded(request, declaration, input);
    ch_request_set_quota_cost(request, team, input->states_tokens);
    ch_request_copy_body(request, input);
    set_times(request, class, now);
    return true;
}

/* See request.h. */
struct ch_request *
ch_request_parse_routed(const struct ch_declaration *declaration,
                        const struct ch_request_input *input, int64_t now,
                        struct ch_fault *fault)
{
    struct ch_request *request = g_new0(struct ch_request, 1);
    request->routed = true;
    if (!parse_request(request, declaration, input, now, fault)) {
        ch_request_free(request);
        return NULL;
    }
    return request;
}
