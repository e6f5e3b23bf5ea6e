/* A fleet: settings files, the host list, nodes and the command line tool. */

#include "harness/harness.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Default settings of a node, with short timeouts so that tests are fast. */
static const char *const default_settings[] = {
    "node.workers=2",
    "node.log-level=info",
    "upstreams.fencing=ignore",
    "upstreams.report-ms=100",
    "platform.list-ms=200",
    "platform.kv-timeout-ms=1000",
    "once.slots=16",
    "once.gather-ms=5",
    "once.keep-s=600",
    "limits.body-bytes=1048576",
    "limits.header-bytes=16384",
    "limits.queue=1000",
    "limits.connections=4000",
    "limits.retry-share=0.1",
    "weight-store.loads-per-s=5",
    "weight-store.parallel=10",
    "weight-store.adapters-parallel=80",
    "link.mbit-per-s=30",
    "timeouts.connect-ms=500",
    "timeouts.first-byte-ms=1500",
    "timeouts.stall-ms=1000",
    "timeouts.peer-silent-ms=600",
    "timeouts.idle-connection-ms=5000",
    "timeouts.drain-ms=600",
};

/* Sets "group.key=value" in a settings file. */
static void
set_setting(GKeyFile *file, const char *setting)
{
    const char *dot = strchr(setting, '.');
    const char *equals = strchr(setting, '=');
    char *group = g_strndup(setting, (gsize)(dot - setting));
    char *key = g_strndup(dot + 1, (gsize)(equals - dot - 1));
    g_key_file_set_value(file, group, key, equals + 1);
    g_free(group);
    g_free(key);
}

static void
write_settings(struct harness_fleet *fleet, struct harness_node *node)
{
    GKeyFile *file = g_key_file_new();
    for (size_t i = 0; i < G_N_ELEMENTS(default_settings); i++) {
        set_setting(file, default_settings[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fleet->config.settings) &&
                       fleet->config.settings[i] != NULL;
         i++) {
        set_setting(file, fleet->config.settings[i]);
    }
    char *listen = g_strdup_printf("127.0.0.1:%u", node->peer_port);
    g_key_file_set_value(file, "node", "name", node->name);
    g_key_file_set_value(file, "node", "region", node->region);
    g_key_file_set_value(file, "node", "data-centre", node->data_centre);
    g_key_file_set_value(file, "listen", "callers", node->caller_address);
    g_key_file_set_value(file, "listen", "admin", node->admin_address);
    g_key_file_set_value(file, "listen", "peers", listen);
    g_key_file_set_value(file, "listen", "relay", "127.0.0.1:0");
    const char *kv = fleet->kv.address;
    const char *hosts = fleet->config.separate_paths
                            ? node->host_list.address
                            : fleet->host_list.address;
    if (fleet->config.users_platform) {
        kv = hosts = node->store_path.address;
        g_key_file_set_value(file, "platform", "kind", "users");
        g_key_file_set_value(file, "node", "data-centres",
                             "caerdydd:de-cymru");
    }
    g_key_file_set_value(file, "platform", "kv", kv);
    g_key_file_set_value(file, "platform", "hosts", hosts);
    if (!g_key_file_save_to_file(file, node->settings_path, NULL)) {
        g_error("harness: cannot write %s", node->settings_path);
    }
    g_free(listen);
    g_key_file_unref(file);
}

/* Starts a node's own host list, and a relay to each upstream. */
static void
start_paths(struct harness_fleet *fleet, struct harness_node *node)
{
    harness_standin_start(&node->host_list, fleet->build_directory, "hosts",
                          NULL);
    g_assert_cmpuint(fleet->upstream_count, <=, HARNESS_MAX_PATHS);
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        char *target =
            g_strdup_printf("target=%s", fleet->upstreams[i].standin.address);
        const char *const args[] = {target, NULL};
        harness_standin_start(&node->paths[i], fleet->build_directory, "relay",
                              args);
        g_free(target);
    }
}

void
harness_node_cut_paths(struct harness_fleet *fleet, struct harness_node *node,
                       const char *form)
{
    char *path = g_strconcat("cut?form=", form, NULL);
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        g_free(harness_call_control(&node->paths[i], path, ""));
    }
    g_free(path);
}

/* Reserves a node's ports, writes its settings file and starts its relays. */
static void
prepare_node(struct harness_fleet *fleet, unsigned i)
{
    struct harness_node *node = &fleet->nodes[i];
    (void)g_snprintf(node->name, sizeof node->name, "n%02u", i + 1);
    node->region = "de-cymru";
    node->data_centre = "caerdydd";
    node->caller_port = harness_reserve_port();
    node->admin_port = harness_reserve_port();
    node->peer_port = harness_reserve_port();
    (void)g_snprintf(node->caller_address, 32, "127.0.0.1:%u",
                     node->caller_port);
    (void)g_snprintf(node->admin_address, 32, "127.0.0.1:%u",
                     node->admin_port);
    (void)g_snprintf(node->peer_address, 32, "127.0.0.1:%u", node->peer_port);
    node->settings_path =
        g_strdup_printf("%s/%s.ini", fleet->directory, node->name);
    node->log_path =
        g_strdup_printf("%s/%s.log", fleet->directory, node->name);
    if (fleet->config.separate_paths) {
        start_paths(fleet, node);
    }
    if (fleet->config.users_platform) {
        harness_users_prepare_node(fleet, node);
    }
    write_settings(fleet, node);
    if (fleet->config.use_relays) {
        char *target = g_strdup_printf("target=%s", node->peer_address);
        const char *const args[] = {target, NULL};
        harness_standin_start(&node->relay, fleet->build_directory, "relay",
                              args);
        (void)g_snprintf(node->peer_address, 32, "%s", node->relay.address);
        g_free(target);
    }
}

/* Starts the stand-in of a plain service, or of an engine if service is
 * NULL. */
static void
start_upstream(struct harness_fleet *fleet, const char *service, unsigned i)
{
    struct harness_upstream *upstream =
        &fleet->upstreams[fleet->upstream_count++];
    char *models =
        g_strdup_printf("models=%s", fleet->config.declaration_path);
    char *weights = g_strdup_printf("weights=%s", fleet->weight_store.address);
    const char *args[16] = {"token_us=5000",   "load_ms=100", "answer_ms=10",
                            "memory_mb=40000", models,        weights};
    for (size_t k = 0; k < G_N_ELEMENTS(fleet->config.engine_args) &&
                       fleet->config.engine_args[k] != NULL;
         k++) {
        args[6 + k] = fleet->config.engine_args[k];
    }
    (void)g_snprintf(upstream->name, sizeof upstream->name, "%c%02u",
                     service == NULL ? 'w' : 'o', i + 1);
    upstream->service = service;
    upstream->region = "de-cymru";
    upstream->data_centre = "caerdydd";
    harness_standin_start(&upstream->standin, fleet->build_directory,
                          service == NULL ? "engine" : "service", args);
    g_free(models);
    g_free(weights);
}

/* Adds a host to the host list. texts: values of the names below; NULL: left
 * out. */
static void
add_host(const struct harness_fleet_config *shape, JsonBuilder *out,
         const char *const *texts, bool engine, bool draining)
{
    static const char *const names[] = {"name",   "kind",        "address",
                                        "region", "data_centre", "service"};
    json_builder_begin_object(out);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (texts[i] != NULL) {
            json_builder_set_member_name(out, names[i]);
            json_builder_add_string_value(out, texts[i]);
        }
    }
    if (engine) {
        json_builder_set_member_name(out, "memory_mb");
        json_builder_add_int_value(out, shape->engine_memory_mb == 0
                                            ? 40000
                                            : shape->engine_memory_mb);
        json_builder_set_member_name(out, "accelerators");
        json_builder_add_int_value(out, 1);
        json_builder_set_member_name(out, "batch");
        json_builder_add_int_value(
            out, shape->engine_batch == 0 ? 64 : shape->engine_batch);
    }
    json_builder_set_member_name(out, "state");
    json_builder_add_string_value(out, draining ? "leaving" : "live");
    json_builder_end_object(out);
}

/* Sends a host list to the stand-in that serves it. paths: relays that stand
 * for the upstreams; NULL: none. */
static void
publish_list(const struct harness_fleet *fleet,
             const struct harness_standin *host_list,
             const struct harness_standin *paths)
{
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_builder_set_member_name(out, "hosts");
    json_builder_begin_array(out);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct harness_node *node = &fleet->nodes[i];
        const char *texts[] = {node->name,         "entry",
                               node->peer_address, node->region,
                               node->data_centre,  NULL};
        add_host(&fleet->config, out, texts, false, false);
    }
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        const struct harness_upstream *upstream = &fleet->upstreams[i];
        const char *texts[] = {upstream->name,
                               upstream->service ? "service" : "engine",
                               paths == NULL ? upstream->standin.address
                                             : paths[i].address,
                               upstream->region,
                               upstream->data_centre,
                               upstream->service};
        add_host(&fleet->config, out, texts, upstream->service == NULL,
                 upstream->draining_since_ms != 0);
    }
    json_builder_end_array(out);
    json_builder_end_object(out);
    JsonNode *root = json_builder_get_root(out);
    char *text = json_to_string(root, FALSE);
    g_free(harness_call_control(host_list, "hosts", text));
    g_free(text);
    json_node_unref(root);
    g_object_unref(out);
}

void
harness_fleet_publish_hosts(struct harness_fleet *fleet)
{
    publish_list(fleet, &fleet->host_list, NULL);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct harness_node *node = &fleet->nodes[i];
        if (node->host_list.pid != 0) {
            publish_list(fleet, &node->host_list, node->paths);
        }
    }
}

struct harness_fleet *
harness_fleet_prepare(const char *build,
                      const struct harness_fleet_config *shape)
{
    static const char *const weight_store_args[] = {"transfer_ms=100",
                                                    "parallel=10", NULL};
    struct harness_fleet *fleet = g_new0(struct harness_fleet, 1);
    fleet->build_directory = build;
    fleet->config = *shape;
    if (fleet->config.declaration_path == NULL) {
        fleet->config.declaration_path = "examples/small.ini";
    }
    fleet->directory = g_dir_make_tmp("chestnuthitch-XXXXXX", NULL);
    g_print("# logs in %s\n", fleet->directory);
    if (shape->users_platform) {
        harness_users_start(fleet);
    }
    else {
        harness_standin_start(&fleet->kv, build, "kv", NULL);
        harness_standin_start(&fleet->host_list, build, "hosts", NULL);
        harness_standin_start(&fleet->weight_store, build, "weights",
                              weight_store_args);
    }
    for (unsigned i = 0; i < shape->engine_count; i++) {
        start_upstream(fleet, NULL, i);
    }
    for (unsigned i = 0; i < shape->service_count; i++) {
        start_upstream(fleet, "orders", i);
    }
    for (unsigned i = 0; i < shape->node_count; i++) {
        prepare_node(fleet, i);
        fleet->node_count++;
    }
    if (!shape->users_platform) {
        harness_fleet_publish_hosts(fleet);
    }
    return fleet;
}

void
harness_node_start(struct harness_fleet *fleet, struct harness_node *node)
{
    char *program =
        g_build_filename(fleet->build_directory, "chestnuthitch", NULL);
    const char *argv[] = {program,
                          "node",
                          "--settings",
                          node->settings_path,
                          node->was_started ? NULL : "--first-start",
                          NULL};
    node->was_started = true;
    node->pid = harness_spawn(argv, node->log_path, NULL);
    g_free(program);
}

bool
harness_node_wait_ready(const struct harness_node *node, bool ready,
                        int64_t limit_ms)
{
    int64_t deadline = harness_now_ms() + limit_ms;
    do {
        const char *address = node->store_path.pid != 0 ? node->admin_address
                                                        : node->caller_address;
        int status = harness_get(address, "/readyz", NULL);
        if (status == 200 ? ready : (status != 0 && !ready)) {
            return true;
        }
        harness_sleep_ms(20);
    } while (harness_now_ms() < deadline);
    return false;
}

void
harness_node_signal(struct harness_node *node, int signal)
{
    (void)kill(node->pid, signal);
    if (signal == SIGKILL) {
        (void)harness_wait_exit(node->pid, 5000);
        node->pid = 0;
    }
}

/* Applies the declaration, with retries for HARNESS_READY_TIMEOUT_MS: a node
 * that has just started listens, but may not have reached the key-value store
 * yet. */
static void
apply_declaration(struct harness_fleet *fleet)
{
    char *output = NULL;
    int64_t deadline = harness_now_ms() + HARNESS_READY_TIMEOUT_MS;
    while (harness_apply_config(fleet, &fleet->nodes[0],
                                fleet->config.declaration_path,
                                &output) != 0) {
        if (harness_now_ms() > deadline) {
            g_error("harness: config apply failed: %s", output);
        }
        g_clear_pointer(&output, g_free);
        harness_sleep_ms(100);
    }
    g_free(output);
}

struct harness_fleet *
harness_fleet_start(const char *build,
                    const struct harness_fleet_config *shape)
{
    struct harness_fleet *fleet = harness_fleet_prepare(build, shape);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    apply_declaration(fleet);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (!harness_node_wait_ready(&fleet->nodes[i], true,
                                     HARNESS_READY_TIMEOUT_MS)) {
            g_error("harness: %s is not ready, see %s", fleet->nodes[i].name,
                    fleet->nodes[i].log_path);
        }
    }
    return fleet;
}

/* Removes the files of a fleet once the program ends without a failure. A
 * check after the fleet has stopped may still fail, and needs the logs. */
static void
remove_files(int status, void *data)
{
    g_autofree char *directory = data;
    GDir *files = status == 0 && g_getenv("HARNESS_KEEP") == NULL
                      ? g_dir_open(directory, 0, NULL)
                      : NULL;
    const char *name = NULL;
    while (files != NULL && (name = g_dir_read_name(files)) != NULL) {
        g_autofree char *path = g_build_filename(directory, name, NULL);
        (void)g_unlink(path);
    }
    if (files != NULL) {
        g_dir_close(files);
        (void)g_rmdir(directory);
    }
}

void
harness_standin_stop(struct harness_standin *standin)
{
    if (standin->pid != 0) {
        (void)kill(standin->pid, SIGTERM);
        (void)harness_wait_exit(standin->pid, 5000);
    }
}

/*
 * Nodes stop before the stand-ins, so that they can drain. The files stay if a
 * test of the program fails, or if the environment variable HARNESS_KEEP is
 * set.
 */
unsigned
harness_fleet_stop(struct harness_fleet *fleet)
{
    unsigned failed = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (fleet->nodes[i].pid != 0) {
            (void)kill(fleet->nodes[i].pid, SIGTERM);
        }
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct harness_node *node = &fleet->nodes[i];
        int status = node->pid == 0 ? 0 : harness_wait_exit(node->pid, 15000);
        if (status != 0) {
            g_printerr("%s exited with status %d, see %s\n", node->name,
                       status, node->log_path);
            failed++;
        }
        if (status == -1) {
            harness_node_signal(node, SIGKILL);
        }
    }
    harness_standin_stop(&fleet->kv);
    harness_standin_stop(&fleet->host_list);
    harness_standin_stop(&fleet->weight_store);
    harness_standin_stop(&fleet->users);
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        harness_standin_stop(&fleet->upstreams[i].standin);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_standin_stop(&fleet->nodes[i].relay);
        harness_standin_stop(&fleet->nodes[i].host_list);
        harness_standin_stop(&fleet->nodes[i].store_path);
        for (unsigned k = 0; k < HARNESS_MAX_PATHS; k++) {
            harness_standin_stop(&fleet->nodes[i].paths[k]);
        }
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_free(fleet->nodes[i].settings_path);
        g_free(fleet->nodes[i].log_path);
    }
    if (failed == 0) {
        (void)on_exit(remove_files, fleet->directory);
    }
    else {
        g_free(fleet->directory);
    }
    g_free(fleet);
    return failed;
}

int
harness_run_cli(const struct harness_fleet *fleet,
                const struct harness_node *node, char **output,
                const char *const *args)
{
    char *program =
        g_build_filename(fleet->build_directory, "chestnuthitch", NULL);
    char *log = g_strdup_printf("%s/cli.log", fleet->directory);
    const char *argv[16] = {program};
    size_t count = 1;
    char text[4096];
    int out;
    while (args[count - 1] != NULL && count < 13) {
        argv[count] = args[count - 1];
        count++;
    }
    argv[count++] = "--node";
    argv[count] = node->admin_address;
    (void)g_unlink(log);
    pid_t pid = harness_spawn(argv, log, &out);
    GString *combined = g_string_new(NULL);
    for (ssize_t length; (length = read(out, text, sizeof text)) > 0;) {
        g_string_append_len(combined, text, length);
    }
    (void)close(out);
    int status = harness_wait_exit(pid, 30000);
    char *errors = NULL;
    if (g_file_get_contents(log, &errors, NULL, NULL)) {
        g_string_append(combined, errors);
        g_free(errors);
    }
    (void)g_unlink(log);
    g_free(log);
    g_free(program);
    if (output != NULL) {
        *output = combined->str;
    }
    (void)g_string_free(combined, output == NULL);
    return status;
}

int
harness_apply_config(const struct harness_fleet *fleet,
                     const struct harness_node *node, const char *path,
                     char **output)
{
    const char *args[] = {"config", "apply", path, NULL};
    return harness_run_cli(fleet, node, output, args);
}

/* A node's response to an admin GET as JSON; NULL unless the status is 200. */
static JsonNode *
admin_get(const struct harness_node *node, const char *path)
{
    char *body = NULL;
    JsonNode *root = NULL;
    if (harness_get(node->admin_address, path, &body) == 200) {
        root = json_from_string(body, NULL);
    }
    g_free(body);
    return root;
}

uint64_t
harness_get_revision(const struct harness_node *node)
{
    JsonNode *config = admin_get(node, "/admin/v1/config");
    if (config == NULL) {
        return 0;
    }
    uint64_t revision = (uint64_t)json_object_get_int_member(
        json_node_get_object(config), "revision");
    json_node_unref(config);
    return revision;
}

JsonNode *
harness_get_status(const struct harness_node *node)
{
    return admin_get(node, "/admin/v1/status");
}

struct harness_upstream *
harness_find_upstream(struct harness_fleet *fleet, const char *name)
{
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        if (strcmp(fleet->upstreams[i].name, name) == 0) {
            return &fleet->upstreams[i];
        }
    }
    return NULL;
}

struct harness_node *
harness_find_node(struct harness_fleet *fleet, const char *name)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (strcmp(fleet->nodes[i].name, name) == 0) {
            return &fleet->nodes[i];
        }
    }
    return NULL;
}

char *
harness_get_home(const struct harness_node *node, const char *upstream)
{
    char *home = NULL;
    JsonNode *status = harness_get_status(node);
    if (status == NULL) {
        return NULL;
    }
    JsonArray *list = json_object_get_array_member(
        json_node_get_object(status), "upstreams");
    for (guint i = 0; list != NULL && i < json_array_get_length(list); i++) {
        JsonObject *entry = json_array_get_object_element(list, i);
        if (strcmp(json_object_get_string_member(entry, "name"), upstream) ==
            0) {
            home = g_strdup(json_object_get_string_member(entry, "home"));
        }
    }
    json_node_unref(status);
    return home;
}

double
harness_get_counter(const struct harness_node *node, const char *name)
{
    char *text = NULL;
    char *key = g_strdup_printf("\nchestnuthitch_%s_total ", name);
    (void)harness_get(node->admin_address, "/metrics", &text);
    const char *found = text == NULL ? NULL : strstr(text, key);
    double value =
        found != NULL ? g_ascii_strtod(found + strlen(key), NULL) : 0;
    g_free(key);
    g_free(text);
    return value;
}
