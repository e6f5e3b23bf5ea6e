/* Starts the project's nodes with the command of the deploy file. */

#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static char *
replace(char *text, const char *from, const char *to)
{
    char **parts = g_strsplit(text, from, -1);
    char *result = g_strjoinv(to, parts);
    g_strfreev(parts);
    g_free(text);
    return result;
}

/* The settings as the platform fills them in for the deployment that the site
 * file of the cases describes. */
static char *
make_settings(const struct node *node, const char *zone, const char *region,
              const char *zones)
{
    char *text = NULL;
    if (!g_file_get_contents("platform/settings.ini.in", &text, NULL, NULL)) {
        world_give_up("platform/settings.ini.in can't be read");
    }
    g_autofree char *store = g_strdup_printf("%s:%d", node->store->ip, node->store->port);
    g_autofree char *callers = g_strdup_printf("%s:%d", node->ip, node->callers);
    g_autofree char *admin = g_strdup_printf("%s:%d", node->ip, node->admin);
    g_autofree char *peers = g_strdup_printf("%d", node->peers);
    g_autofree char *relay = g_strdup_printf("%d", node->relay);
    const char *const rows[][2] = {
        {"{{#zones}}{{@}}:{{.}}{{,}} {{/zones}}", zones},
        {"{{node_name}}", node->name},
        {"{{region}}", region},
        {"{{zone}}", zone},
        {"{{limits.cpu_share}}", "0.25"},
        {"{{limits.link_mbps}}", "1000.0"},
        {"{{listen.frontend}}", callers},
        {"{{listen.ready}}", admin},
        {"{{ip}}", node->ip},
        {"{{internal_ports.0}}", peers},
        {"{{internal_ports.1}}", relay},
        {"{{platform.address}}", store},
        {"{{bounds.lease_ms}}", "3000"},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.retry_slack}}", "52"},
        {"{{contracts}}",
         "base,drain,config,cost,retry,recover,fleet,stream,engine,platform"},
        {"{{bounds.ceiling_window_s}}", "5"},
        {"{{bounds.load_overshoot}}", "1.1"},
        {"{{bounds.grace_s}}", "8"},
        {"{{#bounds.quota_window_s}}window-s = {{.}}"
         "{{/bounds.quota_window_s}}", ""},
        {"{{#bounds.quota_overshoot}}overshoot = {{.}}"
         "{{/bounds.quota_overshoot}}", ""},
        {"{{#bounds.quota_slack}}slack = {{.}}{{/bounds.quota_slack}}", ""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        text = replace(text, rows[i][0], rows[i][1]);
    }
    if (strstr(text, "{{") != NULL) {
        world_give_up("an unknown field in platform/settings.ini.in");
    }
    return text;
}

/* The words of "run" in the deploy file. */
static char **
read_command(void)
{
    char *text = NULL;
    if (!g_file_get_contents("deploy/system.toml", &text, NULL, NULL)) {
        world_give_up("deploy/system.toml can't be read");
    }
    const char *begin = strstr(text, "\nrun = \"");
    if (begin == NULL) {
        world_give_up("deploy/system.toml names no command");
    }
    begin += strlen("\nrun = \"");
    g_autofree char *line = g_strndup(begin, strcspn(begin, "\""));
    g_free(text);
    return g_strsplit(line, " ", -1);
}

void
node_start(struct node *node, const char *folder, const char *zone,
           const char *region, const char *zones)
{
    g_autofree char *path = g_strdup_printf("%s/%s.ini", folder, node->name);
    g_autofree char *log = g_strdup_printf("%s/%s.log", folder, node->name);
    g_autofree char *variable =
        g_strconcat("CHESTNUTHITCH_SETTINGS=", path, NULL);
    g_autofree char *settings = make_settings(node, zone, region, zones);
    g_autofree char *home =
        g_strconcat("HOME=", getenv("HOME") == NULL ? "/" : getenv("HOME"),
                    NULL);
    char *environment[] = {variable, home, "PATH=/usr/bin:/bin", "LANG=C.UTF-8",
                           NULL};
    char **command = read_command();
    if (!g_file_set_contents(path, settings, -1, NULL)) {
        world_give_up("the settings can't be written");
    }
    pid_t parent = getpid();
    node->pid = fork();
    if (node->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        (void)dup2(fd, 1);
        (void)dup2(fd, 2);
        execve(command[0], command, environment);
        _exit(127);
    }
    g_strfreev(command);
    world_record("node %s is started", node->name);
}

bool
node_wait_ready(const struct node *node, double seconds)
{
    static const char request[] =
        "GET /api/readyz HTTP/1.1\r\nHost: platform\r\n"
        "Connection: close\r\n\r\n";
    double until = world_now() + seconds;
    while (world_now() < until) {
        int fd = world_connect(node->ip, node->admin);
        if (fd >= 0) {
            struct http_connection connection = {.fd = fd};
            struct http_message *reply =
                http_write(fd, request, sizeof(request) - 1)
                    ? http_read(&connection, true)
                    : NULL;
            int status = reply == NULL ? 0 : reply->status;
            if (reply != NULL) {
                http_free(reply);
            }
            close(fd);
            if (status == 200) {
                world_record("node %s is ready", node->name);
                return true;
            }
        }
        g_usleep(100 * 1000);
    }
    return false;
}

/* Ends the processes that node_start() started, by their ids. */
void
node_stop_all(struct node *nodes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (nodes[i].pid > 0) {
            (void)kill(nodes[i].pid, SIGCONT);
            (void)kill(nodes[i].pid, SIGTERM);
        }
    }
    double until = world_now() + 9;
    for (size_t i = 0; i < count; i++) {
        int status = 0;
        while (nodes[i].pid > 0 &&
               waitpid(nodes[i].pid, &status, WNOHANG) == 0) {
            if (world_now() > until) {
                (void)kill(nodes[i].pid, SIGKILL);
            }
            g_usleep(20 * 1000);
        }
        nodes[i].pid = 0;
    }
}
