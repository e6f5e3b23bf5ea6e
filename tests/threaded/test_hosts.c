/* The host list's client against a server that answers as each row says. */

#include "platform/platform.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    PATIENCE = 10 * G_USEC_PER_SEC,
};

#define LIST                                                                  \
    "{\"hosts\":[{\"name\":\"w1\",\"kind\":\"engine\",\"address\":"           \
    "\"127.0.0.1:9\",\"region\":\"r\",\"data_centre\":\"d\",\"state\":"       \
    "\"live\"}]}"

/*
 * What the caller sees: nothing; the list is asked for again and again, and
 * comes only when it differs.  The order: a list with an ETag, then answers to
 * If-None-Match.  What could not be read must not be taken as known, or its
 * successor would be kept from the node until the list changed once more.
 */
static const struct {
    const char *known; /* If-None-Match that must come; NULL: none */
    const char *status;
    const char *etag;
    const char *body;
    enum ch_code code;
    bool list;
} rows[] = {
    {NULL, "304 Not Modified", "\"a\"", "", CH_LIST_UNREACHABLE, false},
    {NULL, "200 OK", "\"a\"", LIST, CH_OK, true},
    {"\"a\"", "304 Not Modified", "\"a\"", "", CH_OK, false},
    {"\"a\"", "503 Away", NULL, "", CH_LIST_UNREACHABLE, false},
    {"\"a\"", "200 OK", "\"b\"", LIST, CH_OK, true},
    {"\"b\"", "200 OK", "\"c\"", "{\"hosts\":7}", CH_LIST_UNREACHABLE, false},
    {NULL, "200 OK", NULL, LIST, CH_OK, true},
    {NULL, "200 OK", "\"d\"", LIST, CH_OK, true},
    {"\"d\"", "304 Not Modified", "\"d\"", "", CH_OK, false},
};

/* Answers one connection for each row; the mismatches found. */
static void *
serve(void *data)
{
    int listener = GPOINTER_TO_INT(data);
    uintptr_t wrong = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char request[4096];
        size_t length = 0;
        int fd = accept(listener, NULL, NULL);
        do {
            ssize_t got =
                recv(fd, request + length, sizeof(request) - 1 - length, 0);
            length += got > 0 ? (size_t)got : 0;
            request[length] = '\0';
        } while (strstr(request, "\r\n\r\n") == NULL);
        char expect[64];
        g_snprintf(expect, sizeof(expect), "\r\nIf-None-Match: %s\r\n",
                   rows[i].known != NULL ? rows[i].known : "");
        bool found =
            strstr(request,
                   rows[i].known != NULL ? expect : "If-None-Match") != NULL;
        wrong += found != (rows[i].known != NULL);
        char *answer = g_strdup_printf(
            "HTTP/1.1 %s\r\nConnection: close\r\n%s%s%sContent-Length: %zu"
            "\r\n\r\n%s",
            rows[i].status, rows[i].etag != NULL ? "ETag: " : "",
            rows[i].etag != NULL ? rows[i].etag : "",
            rows[i].etag != NULL ? "\r\n" : "", strlen(rows[i].body),
            rows[i].body);
        g_assert_cmpint(send(fd, answer, strlen(answer), MSG_NOSIGNAL), >, 0);
        g_free(answer);
        close(fd);
    }
    return (void *)wrong;
}

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool done;
    enum ch_code code;
    bool list;
};

/* Notes how a fetch ended. */
static void
note(void *data, enum ch_code code, struct ch_host_list *list)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->done = true;
    result->code = code;
    result->list = list != NULL;
    pthread_cond_broadcast(&result->changed);
    pthread_mutex_unlock(&result->lock);
    ch_host_list_free(list);
}

static void
test_unchanged(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(listener, (struct sockaddr *)&address, size), ==, 0);
    g_assert_cmpint(listen(listener, 8), ==, 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    pthread_t thread;
    void *wrong = NULL;
    pthread_create(&thread, NULL, serve, GINT_TO_POINTER(listener));
    char text[32];
    g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
    struct ch_client client;
    ch_client_init(&client, "test");
    struct ch_http *http = ch_http_new(&client);
    struct ch_hosts *hosts = ch_hosts_http_new(&client, http, text, PATIENCE);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct result result = {PTHREAD_MUTEX_INITIALIZER,
                                PTHREAD_COND_INITIALIZER, false, CH_OK, false};
        hosts->ops->fetch(hosts, note, &result);
        pthread_mutex_lock(&result.lock);
        while (!result.done) {
            pthread_cond_wait(&result.changed, &result.lock);
        }
        pthread_mutex_unlock(&result.lock);
        g_assert_cmpint(result.code, ==, rows[i].code);
        g_assert_cmpint(result.list, ==, rows[i].list);
    }
    pthread_join(thread, &wrong);
    g_assert_cmpuint((uintptr_t)wrong, ==, 0);
    ch_http_free(http);
    hosts->ops->free(hosts);
    close(listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hosts/unchanged", test_unchanged);
    return g_test_run();
}
