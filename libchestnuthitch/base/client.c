/* The client struct: log, clock and metrics, passed to every package. */

#include "base/base.h"

#include <time.h>
#include <unistd.h>

/* Writes a line to standard output in one call, so that lines of several
 * threads don't mix.  If the write fails, the line is dropped: a failing log
 * must not stop the service. */
static void
write_stdout(void *data, const char *line, size_t length)
{
    (void)data;
    ssize_t written = write(STDOUT_FILENO, line, length);
    (void)written;
}

static int64_t
monotonic_now(void *data)
{
    (void)data;
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Sets the default handlers: log to standard output, monotonic clock, no
 * metrics.  The name isn't copied and must outlive the client. */
void
ch_client_init(struct ch_client *client, const char *name)
{
    *client = (struct ch_client){
        .log_write = write_stdout,
        .log_level = CH_LOG_INFO,
        .now = monotonic_now,
        .name = name,
    };
}

/* Microseconds on the client's clock; only differences are meaningful. */
int64_t
ch_client_get_time(const struct ch_client *client)
{
    return client->now(client->now_data);
}

/* See base.h. */
int64_t
ch_clock_get_boottime(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}
