/* /healthz, /readyz, /metrics and /v1/models. */

#include "node/local.h"
#include "base/json.h"

#include <string.h>

/* Sends a response; takes ownership of body. */
static void
send_response(struct ch_response *response, int status, const char *type,
              char *body)
{
    const struct ch_response_data whole = {
        .status = status,
        .content_type = type,
        .outcome = CH_RAN,
        .body = body,
        .body_length = strlen(body),
    };
    ch_response_send(response, &whole);
}

/* Answers 200 whenever the process is alive. */
static void
serve_health(struct ch_frontend *frontend, struct ch_response *response)
{
    (void)frontend;
    send_response(response, 200, "text/plain", g_strdup("ok\n"));
}

/* Answers whether the load balancer should send requests here, and if not,
 * why. */
static void
serve_ready(struct ch_frontend *frontend, struct ch_response *response)
{
    pthread_mutex_lock(&frontend->lock);
    bool stopping = frontend->stopping;
    pthread_mutex_unlock(&frontend->lock);
    if (ch_node_is_ready(frontend->node)) {
        send_response(response, 200, "application/json",
                      g_strdup("{\"ready\":true}\n"));
        return;
    }
    send_response(response, 503, "application/json",
                  g_strdup_printf("{\"ready\":false,\"reason\":\"%s\"}\n",
                                  stopping
                                      ? ch_code_get_meaning(CH_STOPPING)
                                      : ch_code_get_meaning(CH_NOT_READY)));
}

/* Answers with counters and histograms. */
static void
serve_metrics(struct ch_frontend *frontend, struct ch_response *response)
{
    GString *text = g_string_new(NULL);
    ch_metrics_render(frontend->node->client->metrics, text);
    ch_peers_render_metrics(frontend->node->peers, text);
    send_response(response, 200, "text/plain; version=0.0.4",
                  g_string_free(text, FALSE));
}

static const struct {
    const char *path;
    void (*serve)(struct ch_frontend *frontend, struct ch_response *response);
} paths[] = {
    {"/healthz", serve_health},
    {"/readyz", serve_ready},
    {"/metrics", serve_metrics},
};

/* See local.h. */
bool
ch_local_serve(struct ch_frontend *frontend,
               const struct ch_incoming_request *incoming)
{
    if (strcmp(incoming->method, "GET") != 0 &&
        strcmp(incoming->method, "HEAD") != 0) {
        return false;
    }
    size_t length = strcspn(incoming->uri, "?");
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        if (strlen(paths[i].path) == length &&
            strncmp(paths[i].path, incoming->uri, length) == 0) {
            paths[i].serve(frontend, incoming->response);
            return true;
        }
    }
    return false;
}

/* Adds a model or an adapter to the list. parent: an adapter's model; NULL for
 * a model. */
static void
add_model(JsonBuilder *builder, const char *name, const char *parent)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "id");
    json_builder_add_string_value(builder, name);
    json_builder_set_member_name(builder, "object");
    json_builder_add_string_value(builder, "model");
    json_builder_set_member_name(builder, "owned_by");
    json_builder_add_string_value(builder, "chestnuthitch");
    if (parent != NULL) {
        json_builder_set_member_name(builder, "parent");
        json_builder_add_string_value(builder, parent);
    }
    json_builder_end_object(builder);
}

/* Adds the models that a class may use, each followed by its adapters. */
static void
add_models(JsonBuilder *builder, const struct ch_declaration *declaration,
           const struct ch_class *class)
{
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        if (!class->allows_every_model &&
            (class->allowed_models == NULL || class->allowed_models[i] == 0)) {
            continue;
        }
        add_model(builder, model->name, NULL);
        for (size_t k = 0; k < model->adapter_count; k++) {
            add_model(builder, model->adapters[k], model->name);
        }
    }
}

/* Answers with {"object": "list", "data": [...]}. */
void
ch_local_send_models(const struct ch_declaration *declaration,
                     const struct ch_request *request,
                     struct ch_response *response)
{
    int index = ch_declaration_find_class(declaration, request->class_name);
    JsonBuilder *builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "object");
    json_builder_add_string_value(builder, "list");
    json_builder_set_member_name(builder, "data");
    json_builder_begin_array(builder);
    if (index >= 0) {
        add_models(builder, declaration, &declaration->classes[index]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    send_response(response, 200, "application/json",
                  ch_json_to_string(builder));
}
