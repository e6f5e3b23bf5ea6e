/* Tests the client of the host list against a server that sends a scripted
 * response for each fetch. */

#include "platform/platform.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    CALL_LIMIT_US = 10 * G_USEC_PER_SEC,
};

#define LIST                                                                  \
    "{\"hosts\":[{\"name\":\"w1\",\"kind\":\"engine\",\"address\":"           \
    "\"127.0.0.1:9\",\"region\":\"r\",\"data_centre\":\"d\",\"state\":"       \
    "\"live\"}]}"

/*
 * Successive fetches by one client, which sends the ETag of the last valid
 * list in If-None-Match and receives a list only when it has changed.  The
 * client must not store the ETag of an unreadable list.  Otherwise the server
 * would respond "not modified" to the next fetch, and the node would not get a
 * valid list until the list changed once more.  Callers notice none of
 * this.
 */
static const struct {
    const char *if_none_match; /* If-None-Match that the request must have;
                                  NULL: none */
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

/* Accepts one connection per row and sends the row's response.  Returns the
 * number of requests with the wrong If-None-Match. */
static void *
run_server(void *data)
{
    int listener = GPOINTER_TO_INT(data);
    uintptr_t mismatches = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char request[4096];
        size_t length = 0;
        int fd = accept(listener, NULL, NULL);
        do {
            ssize_t received =
                recv(fd, request + length, sizeof(request) - 1 - length, 0);
            length += received > 0 ? (size_t)received : 0;
            request[length] = '\0';
        } while (strstr(request, "\r\n\r\n") == NULL);
        char expect[64];
        g_snprintf(expect, sizeof(expect), "\r\nIf-None-Match: %s\r\n",
                   rows[i].if_none_match != NULL ? rows[i].if_none_match : "");
        bool found = strstr(request, rows[i].if_none_match != NULL
                                         ? expect
                                         : "If-None-Match") != NULL;
        mismatches += found != (rows[i].if_none_match != NULL);
        char *response = g_strdup_printf(
            "HTTP/1.1 %s\r\nConnection: close\r\n%s%s%sContent-Length: %zu"
            "\r\n\r\n%s",
            rows[i].status, rows[i].etag != NULL ? "ETag: " : "",
            rows[i].etag != NULL ? rows[i].etag : "",
            rows[i].etag != NULL ? "\r\n" : "", strlen(rows[i].body),
            rows[i].body);
        g_assert_cmpint(send(fd, response, strlen(response), MSG_NOSIGNAL), >,
                        0);
        g_free(response);
        close(fd);
    }
    return (void *)mismatches;
}

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool done;
    enum ch_code code;
    bool list;
};

/* Stores the outcome of a fetch and wakes the test. */
static void
record_result(void *data, enum ch_code code, struct ch_host_list *list)
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
test_conditional_fetch(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(listener, (struct sockaddr *)&address, size), ==, 0);
    g_assert_cmpint(listen(listener, 8), ==, 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    pthread_t thread;
    void *mismatches = NULL;
    pthread_create(&thread, NULL, run_server, GINT_TO_POINTER(listener));
    char text[32];
    g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
    struct ch_client client;
    ch_client_init(&client, "test");
    struct ch_http *http = ch_http_new(&client);
    struct ch_host_source *hosts =
        ch_host_source_http_new(&client, http, text, CALL_LIMIT_US);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct result result = {PTHREAD_MUTEX_INITIALIZER,
                                PTHREAD_COND_INITIALIZER, false, CH_OK, false};
        hosts->ops->fetch(hosts, record_result, &result);
        pthread_mutex_lock(&result.lock);
        while (!result.done) {
            pthread_cond_wait(&result.changed, &result.lock);
        }
        pthread_mutex_unlock(&result.lock);
        g_assert_cmpint(result.code, ==, rows[i].code);
        g_assert_cmpint(result.list, ==, rows[i].list);
    }
    pthread_join(thread, &mismatches);
    g_assert_cmpuint((uintptr_t)mismatches, ==, 0);
    ch_http_free(http);
    hosts->ops->free(hosts);
    close(listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hosts/unchanged", test_conditional_fetch);
    return g_test_run();
}
