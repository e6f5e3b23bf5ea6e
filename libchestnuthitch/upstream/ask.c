/* Orders to upstreams and their reports: who is told of the answer, and what
 * of it. */

#include "upstream/ask.h"

enum {
    /* Of a report: some hundred residents and orders of a hundred bytes. */
    MOST_REPORT = 1024 * 1024,
    MOST_ORDER_ANSWER = 64 * 1024,
};

/* An order under way: who is to be told. */
struct order_wait {
    enum ch_code (*code_of)(int status);
    void (*done)(void *data, enum ch_code code);
    void *data;
};

/* The answer to an order, or what kept it from coming.  A lost answer says
 * nothing of whether the order was taken; one that was not sent surely was
 * not. */
static void
order_answered(void *data, const struct ch_http_answer *answer)
{
    struct order_wait *wait = data;
    enum ch_code code = answer->end.code;
    if (code == CH_OK) {
        code = wait->code_of(answer->end.status);
    }
    else if (!answer->end.sent) {
        code = CH_UPSTREAM_CONNECT;
    }
    wait->done(wait->data, code);
    g_free(wait);
}

/* See ask.h. */
void
ch_ask_order(struct ch_http *http, const struct ch_http_request *request,
             enum ch_code (*code_of)(int status),
             void (*done)(void *data, enum ch_code code), void *data)
{
    struct order_wait *wait = g_new0(struct order_wait, 1);
    wait->code_of = code_of;
    wait->done = done;
    wait->data = data;
    ch_http_fetch(http, request, MOST_ORDER_ANSWER, order_answered, wait);
}

/* A report under way: who is to be told. */
struct report_wait {
    struct ch_report *(*read)(const char *text, size_t length,
                              struct ch_error *error);
    void (*done)(void *data, enum ch_code code, struct ch_report *report);
    void *data;
};

/* The answer to a report's call, or what kept it from coming. */
static void
report_answered(void *data, const struct ch_http_answer *answer)
{
    struct report_wait *wait = data;
    struct ch_error error = {.code = answer->end.code};
    struct ch_report *report = NULL;
    if (error.code == CH_OK && answer->end.status != 200) {
        ch_error_set(&error, CH_UPSTREAM_ANSWER, "report: status %d",
                     answer->end.status);
    }
    if (error.code == CH_OK) {
        report = wait->read(answer->body, answer->length, &error);
    }
    wait->done(wait->data, error.code, report);
    g_free(wait);
}

/* See ask.h. */
void
ch_ask_report(struct ch_http *http, const struct ch_http_request *request,
              struct ch_report *(*read)(const char *text, size_t length,
                                        struct ch_error *error),
              void (*done)(void *data, enum ch_code code,
                           struct ch_report *report),
              void *data)
{
    struct report_wait *wait = g_new0(struct report_wait, 1);
    wait->read = read;
    wait->done = done;
    wait->data = data;
    ch_http_fetch(http, request, MOST_REPORT, report_answered, wait);
}
