/* /healthz, /readyz, /metrics and /v1/models. */

#include "node/local.h"
#include "base/json.h"

#include <string.h>

/* Answers with a body that is taken over. */
static void
answer(struct ch_reply *reply, int status, const char *type, char *body)
{
    const struct ch_reply_answer whole = {
        .status = status,
        .content_type = type,
        .outcome = CH_RAN,
        .body = body,
        .length = strlen(body),
    };
    ch_reply_whole(reply, &whole);
}

/* The process is alive: it answers. */
static void
serve_health(struct ch_front *front, struct ch_reply *reply)
{
    (void)front;
    answer(reply, 200, "text/plain", g_strdup("ok\n"));
}

/* Whether the balancer is to send requests here, and if not, why. */
static void
serve_ready(struct ch_front *front, struct ch_reply *reply)
{
    pthread_mutex_lock(&front->lock);
    bool stopping = front->stopping;
    pthread_mutex_unlock(&front->lock);
    if (ch_node_ready(front->node)) {
        answer(reply, 200, "application/json", g_strdup("{\"ready\":true}\n"));
        return;
    }
    answer(reply, 503, "application/json",
           g_strdup_printf("{\"ready\":false,\"reason\":\"%s\"}\n",
                           stopping ? ch_code_meaning(CH_STOPPING)
                                    : ch_code_meaning(CH_NOT_READY)));
}

/* Counters and histograms. */
static void
serve_metrics(struct ch_front *front, struct ch_reply *reply)
{
    GString *text = g_string_new(NULL);
    ch_metrics_render(front->node->client->metrics, text);
    ch_peers_render(front->node->peers, text);
    answer(reply, 200, "text/plain; version=0.0.4",
           g_string_free(text, FALSE));
}

static const struct {
    const char *path;
    void (*serve)(struct ch_front *front, struct ch_reply *reply);
} paths[] = {
    {"/healthz", serve_health},
    {"/readyz", serve_ready},
    {"/metrics", serve_metrics},
};

/* Serves the path if it is one of this node's own. */
bool
ch_local_serve(struct ch_front *front, const struct ch_intake *intake)
{
    if (strcmp(intake->method, "GET") != 0 &&
        strcmp(intake->method, "HEAD") != 0) {
        return false;
    }
    size_t length = strcspn(intake->uri, "?");
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        if (strlen(paths[i].path) == length &&
            strncmp(paths[i].path, intake->uri, length) == 0) {
            paths[i].serve(front, intake->reply);
            return true;
        }
    }
    return false;
}

/* Adds one entry of the list. */
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

/* Adds the models that a class may use, each with its adapters. */
static void
add_models(JsonBuilder *builder, const struct ch_declaration *declaration,
           const struct ch_class *class)
{
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        if (!class->every_model &&
            (class->models == NULL || class->models[i] == 0)) {
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
ch_local_models(const struct ch_declaration *declaration,
                const struct ch_request *request, struct ch_reply *reply)
{
    int index = ch_declaration_class(declaration, request->class_name);
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
    answer(reply, 200, "application/json", ch_json_print(builder));
}
