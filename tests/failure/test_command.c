/*
 * Guards against an operator's command that reports a wrong result.  The node
 * is scripted: it accepts, refuses, has a newer revision, closes the
 * connection before its response, or is unreachable.  The operator sees the
 * exit status and the output.  The command reads the configuration in force,
 * posts, and reads again if the response to the post was lost.  A lost
 * response does not say whether the post took effect, only the configuration
 * in force does; a second post could undo somebody else's change.
 */

#include "harness/harness.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define FILE_DECLARATION                                                      \
    "[class c]\\nanswer-ms = 1\\nidempotent = true\\nmodels = *\\n\\n"
#define OTHER_DECLARATION                                                     \
    "[class c]\\nanswer-ms = 2\\nidempotent = true\\nmodels = *\\n\\n"
#define CONFIG(revision, author, text)                                        \
    "{\"revision\":" #revision ",\"token\":\"t\",\"author\":\"" author        \
    "\",\"text\":\"" text "\"}"
#define ERROR(code) "{\"error\":{\"code\":" #code ",\"message\":\"why\"}"

enum {
    CLOSE_CONNECTION = -1, /* close the connection without a response */
    CUT_IN_HEAD = -2,      /* send these bytes, then close the connection */
    RUN_TIMEOUT_MS = 30000,
};

struct scripted_response {
    int status;
    const char *body;
};

static const struct scripted_response NO_CONFIG = {404, ERROR(404) "}"};
static const struct scripted_response OTHER_7 = {
    200, CONFIG(7, "ann", OTHER_DECLARATION)};
static const struct scripted_response FILE_7 = {
    200, CONFIG(7, "ann", FILE_DECLARATION)};
static const struct scripted_response FILE_8 = {
    200, CONFIG(8, "bob", FILE_DECLARATION)};
static const struct scripted_response OTHER_9 = {
    200, CONFIG(9, "cai", OTHER_DECLARATION)};
static const struct scripted_response CONFLICT = {
    409, ERROR(402) ",\"config\":" CONFIG(9, "cai", OTHER_DECLARATION) "}"};
static const struct scripted_response BAD_INPUT = {400, ERROR(505) "}"};
static const struct scripted_response KV_UNAVAILABLE = {503, ERROR(401) "}"};
static const struct scripted_response AMBIGUOUS = {503, ERROR(403) "}"};
static const struct scripted_response LOST = {CLOSE_CONNECTION, NULL};
static const struct scripted_response CUT_404 = {
    CUT_IN_HEAD, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"};
static const struct scripted_response CUT_200 = {
    CUT_IN_HEAD, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"};

struct command_case {
    const char *name;
    const char *verb;
    const struct scripted_response *before; /* to each GET before the post */
    const struct scripted_response *post;
    const struct scripted_response *after; /* to each GET after the post */
    const char *output;                    /* a part of the expected output */
    int exit;
    unsigned posts;
};

static const struct command_case cases[] = {
    {"shown", "show", &FILE_7, NULL, NULL,
     "# revision 7 by ann\n[class c]\nanswer-ms = 1\n", 0, 0},
    {"nothing-to-show", "show", &NO_CONFIG, NULL, NULL, "no configuration", 1,
     0},
    {"difference", "diff", &OTHER_7, NULL, NULL,
     " [class c]\n-answer-ms = 2\n+answer-ms = 1\n", 0, 0},
    {"accepted", "apply", &OTHER_7, &FILE_8, NULL,
     "in force: revision 8 by bob", 0, 1},
    {"first-one", "apply", &NO_CONFIG, &FILE_8, NULL, "in force: revision 8",
     0, 1},
    {"already-in-force", "apply", &FILE_7, NULL, NULL,
     "already in force: revision 7 by ann", 0, 0},
    {"conflict", "apply", &OTHER_7, &CONFLICT, NULL,
     "conflict, nothing applied: revision 9 by cai", 3, 1},
    {"refused-input", "apply", &OTHER_7, &BAD_INPUT, NULL, "why", 2, 1},
    {"kv-away", "apply", &OTHER_7, &KV_UNAVAILABLE, NULL, "why", 4, 1},
    {"lost-and-accepted", "apply", &OTHER_7, &LOST, &FILE_8,
     "in force: revision 8 by bob", 0, 1},
    {"ambiguous-and-accepted", "apply", &OTHER_7, &AMBIGUOUS, &FILE_8,
     "in force: revision 8", 0, 1},
    {"lost-and-overtaken", "apply", &OTHER_7, &LOST, &OTHER_9,
     "now in force is revision 9 by cai", 4, 1},
    {"cut-in-head", "show", &CUT_404, NULL, NULL,
     "connection closed within the response's headers", 4, 0},
    {"cut-in-head-and-accepted", "apply", &OTHER_7, &CUT_200, &FILE_8,
     "in force: revision 8 by bob", 0, 1},
    {"lost-and-unknown", "apply", &OTHER_7, &LOST, &OTHER_7,
     "run `config show`", 4, 1},
};

struct scripted_node {
    struct MHD_Daemon *daemon;
    const struct command_case *row;
    pthread_mutex_t lock;
    unsigned posts;
};

/* Chooses the scripted response to a request, and counts posts. */
static const struct scripted_response *
choose_response(struct scripted_node *node, bool post)
{
    pthread_mutex_lock(&node->lock);
    const struct scripted_response *scripted = post ? node->row->post
                                               : node->posts > 0
                                                   ? node->row->after
                                                   : node->row->before;
    node->posts += post ? 1 : 0;
    pthread_mutex_unlock(&node->lock);
    return scripted;
}

/* Request handler of the scripted node (MHD_AccessHandlerCallback). */
static enum MHD_Result
handle_request(void *data, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *bytes,
               size_t *length, void **state)
{
    static int request_started;
    (void)path;
    (void)version;
    (void)bytes;
    if (*state == NULL || *length > 0) {
        *state = &request_started;
        *length = 0;
        return MHD_YES;
    }
    const struct scripted_response *scripted =
        choose_response(data, strcmp(method, "POST") == 0);
    if (scripted->status == CUT_IN_HEAD) {
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        ssize_t sent = send(info->connect_fd, scripted->body,
                            strlen(scripted->body), MSG_NOSIGNAL);
        g_assert_cmpint(sent, ==, (ssize_t)strlen(scripted->body));
    }
    if (scripted->status < 0) {
        return MHD_NO;
    }
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(scripted->body), (void *)scripted->body,
        MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)scripted->status, response);
    MHD_destroy_response(response);
    return result;
}

/* Starts the scripted node and writes its IP:PORT to address. */
static void
start_scripted_node(struct scripted_node *node, const struct command_case *row,
                    char *address, size_t size)
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    node->row = row;
    node->posts = 0;
    pthread_mutex_init(&node->lock, NULL);
    node->daemon = MHD_start_daemon(
        MHD_USE_AUTO_INTERNAL_THREAD, 0, NULL, NULL, handle_request, node,
        MHD_OPTION_SOCK_ADDR, &local, MHD_OPTION_END);
    g_assert_nonnull(node->daemon);
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(node->daemon, MHD_DAEMON_INFO_BIND_PORT);
    (void)g_snprintf(address, (gulong)size, "127.0.0.1:%u",
                     (unsigned)info->port);
}

/* Stops the scripted node; returns the number of posts that it received. */
static unsigned
stop_scripted_node(struct scripted_node *node)
{
    MHD_stop_daemon(node->daemon);
    pthread_mutex_destroy(&node->lock);
    return node->posts;
}

/* Runs chestnuthitch; returns its exit status.  *output receives its
 * standard output and standard error; the caller frees it. */
static int
run_program(const char *const *arguments, char **output)
{
    char *program =
        g_build_filename(harness_get_build_directory(), "chestnuthitch", NULL);
    char *errors_path = NULL;
    const char *argv[16] = {program};
    char text[4096];
    int out = -1;
    int file = g_file_open_tmp("command-XXXXXX", &errors_path, NULL);
    (void)close(file);
    for (size_t i = 0; arguments[i] != NULL && i + 2 < 16; i++) {
        argv[i + 1] = arguments[i];
    }
    pid_t pid = harness_spawn(argv, errors_path, &out);
    GString *all = g_string_new(NULL);
    for (ssize_t length; (length = read(out, text, sizeof(text))) > 0;) {
        g_string_append_len(all, text, length);
    }
    (void)close(out);
    int status = harness_wait_exit(pid, RUN_TIMEOUT_MS);
    char *errors = NULL;
    if (g_file_get_contents(errors_path, &errors, NULL, NULL)) {
        g_string_append(all, errors);
    }
    (void)unlink(errors_path);
    g_free(errors);
    g_free(errors_path);
    g_free(program);
    *output = g_string_free(all, FALSE);
    return status;
}

/* Writes the declaration that the cases apply to a temporary file; the caller
 * frees the path and removes the file. */
static char *
write_declaration(void)
{
    char *path = NULL;
    int file = g_file_open_tmp("declaration-XXXXXX", &path, NULL);
    (void)close(file);
    char *text = g_strcompress(FILE_DECLARATION);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    return path;
}

static void
test_scripted_node(const void *data)
{
    const struct command_case *row = data;
    struct scripted_node node;
    char address[32];
    char *output = NULL;
    char *path = write_declaration();
    bool file = strcmp(row->verb, "show") != 0;
    start_scripted_node(&node, row, address, sizeof(address));
    const char *const arguments[] = {
        "config",  "--node",           address, "--author", "bob",
        row->verb, file ? path : NULL, NULL,
    };
    int status = run_program(arguments, &output);
    g_test_message("%d: %s", status, output);
    g_assert_cmpint(status, ==, row->exit);
    g_assert_nonnull(strstr(output, row->output));
    g_assert_cmpuint(stop_scripted_node(&node), ==, row->posts);
    (void)unlink(path);
    g_free(path);
    g_free(output);
}

struct command_line_case {
    const char *arguments[8];
    int exit;
    const char *output;
};

static const struct command_line_case command_line_cases[] = {
    {{NULL}, 2, "Usage: chestnuthitch COMMAND"},
    {{"--help"}, 0, "Usage: chestnuthitch COMMAND"},
    {{"sing"}, 2, "no command 'sing'"},
    {{"node"}, 2, "node takes --settings FILE"},
    {{"node", "--help"}, 0, "--settings=FILE"},
    {{"node", "--help"}, 0, "--first-start"},
    {{"node", "--settings", "examples/node.ini", "--check"},
     0,
     "settings of node entry-1 are good"},
    {{"node", "--settings", "examples/small.ini", "--check"},
     2,
     "examples/small.ini: [class advice]: no such group"},
    {{"config"}, 2, "config takes: check FILE"},
    {{"config", "--help"}, 0, "chestnuthitch config [OPTION"},
    {{"config", "check"}, 2, "config takes: check FILE"},
    {{"config", "check", "examples/small.ini"},
     0,
     "3 classes, 3 models, 1 services"},
    {{"config", "check", "examples/node.ini"},
     2,
     "examples/node.ini: [node]: no such group"},
    {{"config", "check", "examples/none.ini"}, 2, "examples/none.ini"},
    {{"config", "show"}, 2, "--node IP:PORT is missing"},
    {{"config", "show", "--node", "here"}, 2, "'here' is not ip:port"},
    {{"config", "show", "--weight", "1"}, 2, "--weight"},
    {{"config", "show", "--base", "-2"}, 2, "--base: not a revision"},
    {{"config", "show", "--node", "127.0.0.1:1"}, 4, "127.0.0.1:1"},
    {{"status", "--node", "127.0.0.1:1"}, 4, "127.0.0.1:1"},
    {{"status", "extra"}, 2, "status takes no 'extra'"},
    {{"status", "--help"}, 0, "--json"},
    {{"release"}, 2, "release takes one digest"},
    {{"release", "--help"}, 0, "release [OPTION"},
    {{"release", "12", "--node", "127.0.0.1:1"},
     2,
     "'12' is not 32 hexadecimal digits"},
    {{"release", "00000000000000000000000000000000"},
     2,
     "--node IP:PORT is missing"},
    {{"release", "00000000000000000000000000000000", "--node", "127.0.0.1:1"},
     4,
     "127.0.0.1:1"},
};

/* Command lines that need no node, or cannot connect to one. */
static void
test_command_lines(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(command_line_cases); i++) {
        char *output = NULL;
        int status = run_program(command_line_cases[i].arguments, &output);
        g_test_message("case %zu: %d: %s", i, status, output);
        g_assert_cmpint(status, ==, command_line_cases[i].exit);
        g_assert_nonnull(strstr(output, command_line_cases[i].output));
        g_free(output);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/command/lines", test_command_lines);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strconcat("/command/config/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i], test_scripted_node);
        g_free(path);
    }
    return g_test_run();
}
