/* Processes, ports and stand-ins. */

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

/* Milliseconds of CLOCK_MONOTONIC. */
int64_t
harness_now(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Sleeps; a test waits in steps of this, with a bound. */
void
harness_sleep(int64_t milliseconds)
{
    g_usleep((gulong)milliseconds * 1000);
}

/* In the child: dies with its parent, then becomes the program. */
static void
become(const char *const *argv, int out, int err, pid_t parent)
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

/*
 * Starts a program, from the main thread alone: a child is killed when the
 * thread that started it ends.  Standard error goes to log, standard output
 * too unless out is given.
 */
pid_t
harness_spawn(const char *const *argv, const char *log, int *out)
{
    int ends[2] = {-1, -1};
    pid_t parent = getpid();
    int err = log == NULL
                  ? open("/dev/null", O_WRONLY | O_CLOEXEC)
                  : open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (err < 0 || (out != NULL && pipe2(ends, O_CLOEXEC) != 0)) {
        g_error("harness: %s: %s", argv[0], g_strerror(errno));
    }
    pid_t pid = fork();
    if (pid == 0) {
        become(argv, out == NULL ? err : ends[1], err, parent);
    }
    if (pid < 0) {
        g_error("harness: fork: %s", g_strerror(errno));
    }
    (void)close(err);
    if (out != NULL) {
        (void)close(ends[1]);
        *out = ends[0];
    }
    return pid;
}

/* Waits for a child; its exit status, 128 + signal, or -1 after limit. */
int
harness_wait(pid_t pid, int64_t limit_ms)
{
    int64_t limit = harness_now() + limit_ms;
    int status;
    for (;;) {
        if (waitpid(pid, &status, WNOHANG) == pid) {
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (harness_now() >= limit) {
            return -1;
        }
        harness_sleep(5);
    }
}

/* Milliseconds of processor time that a process has used. */
double
harness_cpu_ms(pid_t pid)
{
    double ticks = 0;
    char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    char *text = NULL;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        /* Fields after the name: the 12th and 13th are user and system. */
        char **fields = g_strsplit(strrchr(text, ')') + 2, " ", 15);
        ticks = g_ascii_strtod(fields[11], NULL) +
                g_ascii_strtod(fields[12], NULL);
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return ticks * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

/* Kilobytes of a process that are in memory. */
double
harness_memory_kb(pid_t pid)
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

/* A port of the kernel's choice.  Its socket stays bound, and listens never:
 * nobody else gets the port, and a child with SO_REUSEADDR can listen on it,
 * more than once. */
uint16_t
harness_port(void)
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
        g_error("harness: no port: %s", g_strerror(errno));
    }
    return ntohs(address.sin_port);
}

/* Reads "WORD NUMBER" from a stand-in's first lines. */
static uint16_t
read_port(FILE *lines, const char *word)
{
    char line[64];
    if (fgets(line, sizeof line, lines) == NULL ||
        !g_str_has_prefix(line, word)) {
        g_error("harness: a stand-in did not start");
    }
    return (uint16_t)g_ascii_strtoull(line + strlen(word), NULL, 10);
}

/* Starts a stand-in on a port of its own and waits until it listens. */
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
    FILE *lines = fdopen(out, "r");
    standin->port = read_port(lines, "listening ");
    standin->control = read_port(lines, "control ");
    (void)fclose(lines);
    (void)g_snprintf(standin->address, sizeof standin->address, "127.0.0.1:%u",
                     standin->port);
    g_free(path);
}

/* Gathers a body. */
static size_t
gather(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

/* Calls PATH under /control/: a POST with a body, a GET without one. */
char *
harness_control(const struct harness_standin *standin, const char *path,
                const char *body)
{
    CURL *curl = curl_easy_init();
    GString *text = g_string_new(NULL);
    char *url = g_strdup_printf("http://127.0.0.1:%u/control/%s",
                                standin->control, path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, gather);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        g_error("harness: %s %s: %s", standin->mode, path,
                curl_easy_strerror(code));
    }
    curl_easy_cleanup(curl);
    g_free(url);
    return g_string_free(text, FALSE);
}

/* Sets faults: "drop_after=%d&slow_ms=20". */
void
harness_set(const struct harness_standin *standin, const char *form, ...)
{
    va_list list;
    va_start(list, form);
    char *query = g_strdup_vprintf(form, list);
    va_end(list);
    char *path = g_strconcat("set?", query, NULL);
    g_free(harness_control(standin, path, NULL));
    g_free(path);
    g_free(query);
}

/* What a stand-in has recorded; json_node_unref. */
JsonNode *
harness_record(const struct harness_standin *standin)
{
    char *text = harness_control(standin, "record", NULL);
    JsonNode *node = json_from_string(text, NULL);
    if (node == NULL) {
        g_error("harness: record of %s: %s", standin->mode, text);
    }
    g_free(text);
    return node;
}

/* One number of a stand-in's record. */
int64_t
harness_record_number(const struct harness_standin *standin,
                      const char *member)
{
    JsonNode *record = harness_record(standin);
    int64_t number =
        json_object_get_int_member(json_node_get_object(record), member);
    json_node_unref(record);
    return number;
}
