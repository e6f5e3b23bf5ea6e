/* Child processes, ports and stand-ins. */

#include "harness/harness.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

int64_t
harness_now_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

void
harness_sleep_ms(int64_t milliseconds)
{
    g_usleep((gulong)milliseconds * 1000);
}

/* In the child: executes the program. The kernel kills it when the thread that
 * started it ends; getppid() shows whether the parent ended before prctl(). */
static void
execute(const char *const *argv, int out, int err, pid_t parent)
{
    sigset_t none;
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(127);
    }
    (void)dup2(out, STDOUT_FILENO);
    (void)dup2(err, STDERR_FILENO);
    sigemptyset(&none);
    (void)sigprocmask(SIG_SETMASK, &none, NULL);
    (void)execv(argv[0], (char *const *)argv);
    _exit(127);
}

/* Only for the main thread: a child is killed when the thread that started it
 * ends. */
pid_t
harness_spawn(const char *const *argv, const char *log, int *out)
{
    int pipe_fds[2] = {-1, -1};
    pid_t parent = getpid();
    int err = log == NULL
                  ? open("/dev/null", O_WRONLY | O_CLOEXEC)
                  : open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (err < 0 || (out != NULL && pipe2(pipe_fds, O_CLOEXEC) != 0)) {
        g_error("harness: cannot open the output of %s: %s", argv[0],
                g_strerror(errno));
    }
    pid_t pid = fork();
    if (pid == 0) {
        execute(argv, out == NULL ? err : pipe_fds[1], err, parent);
    }
    if (pid < 0) {
        g_error("harness: cannot fork: %s", g_strerror(errno));
    }
    (void)close(err);
    if (out != NULL) {
        (void)close(pipe_fds[1]);
        *out = pipe_fds[0];
    }
    return pid;
}

int
harness_wait_exit(pid_t pid, int64_t limit_ms)
{
    int64_t deadline = harness_now_ms() + limit_ms;
    int status;
    for (;;) {
        if (waitpid(pid, &status, WNOHANG) == pid) {
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (harness_now_ms() >= deadline) {
            return -1;
        }
        harness_sleep_ms(5);
    }
}

double
harness_get_cpu_ms(pid_t pid)
{
    double ticks = 0;
    char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    char *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        /* Of the fields after the name, the 12th and 13th are user and system
           time in clock ticks. */
        char **fields = g_strsplit(strrchr(text, ')') + 2, " ", 15);
        ticks = g_ascii_strtod(fields[11], NULL) +
                g_ascii_strtod(fields[12], NULL);
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return ticks * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

double
harness_get_memory_kb(pid_t pid)
{
    double pages = 0;
    char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
    char *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        pages = g_ascii_strtod(strchr(text, ' '), NULL);
    }
    g_free(text);
    g_free(path);
    return pages * (double)sysconf(_SC_PAGESIZE) / 1024.0;
}

/* The kernel chooses the port. The socket stays bound and never listens, so no
 * other process gets the port, but children with SO_REUSEADDR can listen on it
 * any number of times. */
uint16_t
harness_reserve_port(void)
{
    int one = 1;
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        g_error("harness: cannot reserve a port: %s", g_strerror(errno));
    }
    return ntohs(address.sin_port);
}

/* Reads the line "LABEL PORT" from a stand-in's output; label ends with a
 * space. */
static uint16_t
read_port(FILE *child_output, const char *label)
{
    char line[64];
    if (fgets(line, sizeof line, child_output) == NULL ||
        !g_str_has_prefix(line, label)) {
        g_error("harness: stand-in did not start");
    }
    return (uint16_t)g_ascii_strtoull(line + strlen(label), NULL, 10);
}

void
harness_standin_start(struct harness_standin *standin, const char *build,
                      const char *mode, const char *const *args)
{
    int out;
    char *path = g_build_filename(build, "standin", NULL);
    const char *argv[32] = {path, mode};
    for (size_t i = 0; args != NULL && args[i] != NULL && i < 29; i++) {
        argv[i + 2] = args[i];
    }
    standin->mode = mode;
    standin->pid = harness_spawn(argv, NULL, &out);
    FILE *child_output = fdopen(out, "r");
    standin->port = read_port(child_output, "listening ");
    standin->control_port = read_port(child_output, "control ");
    (void)fclose(child_output);
    (void)g_snprintf(standin->address, sizeof standin->address, "127.0.0.1:%u",
                     standin->port);
    g_free(path);
}

static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

char *
harness_call_control(const struct harness_standin *standin, const char *path,
                     const char *body)
{
    CURL *curl = curl_easy_init();
    GString *text = g_string_new(NULL);
    char *url = g_strdup_printf("http://127.0.0.1:%u/control/%s",
                                standin->control_port, path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        g_error("harness: control call %s %s failed: %s", standin->mode, path,
                curl_easy_strerror(code));
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return g_string_free(text, FALSE);
}

void
harness_set_faults(const struct harness_standin *standin, const char *format,
                   ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *query = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    char *path = g_strconcat("set?", query, NULL);
    g_free(harness_call_control(standin, path, NULL));
    g_free(path);
    g_free(query);
}

JsonNode *
harness_get_record(const struct harness_standin *standin)
{
    char *text = harness_call_control(standin, "record", NULL);
    JsonNode *node = json_from_string(text, NULL);
    if (node == NULL) {
        g_error("harness: record of %s is not JSON: %s", standin->mode, text);
    }
    g_free(text);
    return node;
}

int64_t
harness_get_record_number(const struct harness_standin *standin,
                          const char *member)
{
    JsonNode *record = harness_get_record(standin);
    int64_t number =
        json_object_get_int_member(json_node_get_object(record), member);
    json_node_unref(record);
    return number;
}
