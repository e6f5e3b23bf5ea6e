/* A small deployment: nodes, paths and clients. */

#include "deployment.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

static struct deployment *running;

void world_on_give_up(void (*hook)(void));

static void
stop_running(void)
{
    if (running != NULL) {
        node_stop_all(running->nodes, (size_t)running->node_count);
    }
}

/* An address in the store's values, as the nodes see it. */
static void
add_alias(GHashTable *aliases, const char *ip, int port,
          const struct path *path)
{
    g_hash_table_insert(aliases, g_strdup_printf("%s:%d", ip, port),
                        g_strdup_printf("%s:%d", path->ip, path->port));
}

static void
add_paths(struct deployment *deployment)
{
    GHashTable *aliases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 0; i < deployment->worker_count; i++) {
        int port = deployment->workers[i]->port;
        add_alias(aliases, "127.0.0.1", port,
                  path_new("127.0.0.1", 0, "127.0.0.1", port,
                           PATH_TO_WORKER));
    }
    for (int i = 0; i < deployment->node_count; i++) {
        const struct node *node = &deployment->nodes[i];
        /* Nodes tell each other the port at which they relay, so that the
         * path has to begin at the same one. */
        g_autofree char *ip = g_strdup_printf("127.0.2.%d", i + 1);
        add_alias(aliases, node->ip, node->peers,
                  path_new(ip, 0, node->ip, node->peers, i));
        (void)path_new(ip, node->relay, node->ip, node->relay, i);
    }
    const struct path *store =
        path_new("127.0.0.1", 0, "127.0.0.1", store_serve(aliases),
                 PATH_TO_STORE);
    for (int i = 0; i < deployment->node_count; i++) {
        deployment->nodes[i].store = store;
    }
}

void
deployment_start(struct deployment *deployment, int node_count,
                 const char *config)
{
    if (getenv("FOLDER") == NULL) {
        world_give_up("FOLDER names no temporary folder");
    }
    deployment->node_count = node_count;
    for (int i = 0; i < node_count; i++) {
        struct node *node = &deployment->nodes[i];
        node->name = g_strdup_printf("frontend-luzon-a-%d", i + 1);
        node->ip = g_strdup_printf("127.0.1.%d", i + 1);
        node->callers = world_free_port(node->ip);
        node->admin = world_free_port(node->ip);
        node->peers = world_free_port(node->ip);
        node->relay = world_free_port(node->ip);
    }
    running = deployment;
    world_on_give_up(stop_running);
    add_paths(deployment);
    pthread_mutex_lock(&world_lock);
    store_put("op/config", config, 0);
    pthread_mutex_unlock(&world_lock);
    for (int i = 0; i < node_count; i++) {
        deployment_start_node(deployment, i);
    }
    for (int i = 0; i < node_count; i++) {
        if (!node_wait_ready(&deployment->nodes[i], 15)) {
            world_give_up("node %s is not ready", deployment->nodes[i].name);
        }
    }
}

void
deployment_start_node(struct deployment *deployment, int node)
{
    node_start(&deployment->nodes[node], getenv("FOLDER"), "luzon-a", "luzon",
               "luzon-a:luzon");
    path_set_process(node, deployment->nodes[node].pid);
}

void
deployment_kill_node(struct deployment *deployment, int node)
{
    (void)kill(deployment->nodes[node].pid, SIGKILL);
    (void)waitpid(deployment->nodes[node].pid, NULL, 0);
    deployment->nodes[node].pid = 0;
    world_record("%s is killed", deployment->nodes[node].name);
}

void
deployment_stop(struct deployment *deployment)
{
    node_stop_all(deployment->nodes, (size_t)deployment->node_count);
}

void
deployment_cut_off(struct deployment *deployment, int node, bool workers_too)
{
    world_record("%s is cut off from the store and the other nodes%s",
                 deployment->nodes[node].name,
                 workers_too ? ", and from the workers" : "");
    path_cut_off(node, workers_too);
}

void
deployment_heal(struct deployment *deployment, int node)
{
    path_heal(node);
    world_record("%s is back", deployment->nodes[node].name);
}

void
client_send(struct client_call *call)
{
    const struct node *node = &call->deployment->nodes[call->node];
    g_autoptr(GString) text = g_string_new(NULL);
    struct timeval limit = {.tv_sec = call->deadline_ms / 1000 + 1};
    g_snprintf(call->id, sizeof(call->id), "%08x%08x", g_random_int(),
               g_random_int());
    g_string_printf(text,
                    "POST %s HTTP/1.1\r\nHost: studio.example\r\n"
                    "Request-Id: %s\r\nDeadline-Ms: %u\r\n"
                    "Connection: close\r\nContent-Length: 2\r\n",
                    call->path, call->id, call->deadline_ms);
    if (call->model != NULL) {
        g_string_append_printf(text,
                               "Model: %s\r\nToken-Usage: 100,%u\r\n"
                               "Prompt-Prefix: 1:60,%s:40\r\n",
                               call->model, call->events, call->id);
    }
    if (call->resumes != NULL) {
        g_string_append_printf(text,
                               "Resumes: %s\r\nLast-Event-Id: %"
                               G_GUINT64_FORMAT "\r\n",
                               call->resumes, call->last_event);
    }
    g_string_append(text, "\r\n{}");
    int fd = world_connect(node->ip, node->callers);
    world_record("request %s to %s%s%s is sent to %s", call->id, call->path,
                 call->model == NULL ? "" : " for ",
                 call->model == NULL ? "" : call->model, node->name);
    struct http_message *answer = NULL;
    call->body = g_string_new(NULL);
    if (fd >= 0) {
        struct http_connection connection = {.fd = fd,
                                             .partial = call->body};
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        answer = http_write(fd, text->str, text->len)
                     ? http_read(&connection, true)
                     : NULL;
        close(fd);
    }
    call->status = answer == NULL ? 0 : answer->status;
    world_record("request %s is answered %d", call->id, call->status);
    if (answer != NULL) {
        call->signature = g_strdup(http_header(answer, "Server-Signature"));
        g_string_assign(call->body, answer->body->str);
        http_free(answer);
    }
}
