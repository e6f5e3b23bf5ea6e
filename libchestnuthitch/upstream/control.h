#ifndef CH_UPSTREAM_CONTROL_H
#define CH_UPSTREAM_CONTROL_H

/*
 * Sends orders and fetches reports over HTTP; shared by the clients of
 * upstreams with different interfaces.
 */

#include "upstream/upstream.h"

/* How a call for an order or a report is made, beside the request, which has
 * to keep the headers that are read here. */
struct ch_control_peer {
    struct ch_client *client;
    struct ch_http *http;
    const struct ch_upstream *upstream; /* its listeners are copied */
    const char *limit_header;
    const char *draining_header;
    const char *load_header; /* NULL: none */
};

/*
 * Sends an order. code_of maps the status of a response to a code; for a
 * status that is not defined for orders, it is unknown whether the order was
 * taken.
 */
void ch_control_send_order(const struct ch_control_peer *peer,
                           const struct ch_http_request *request,
                           enum ch_code (*code_of)(int status),
                           void (*done)(void *data, enum ch_code code),
                           void *data);

/*
 * Fetches a report. read parses the body of a response; it returns NULL with
 * *error on failure.
 */
void ch_control_fetch_report(
    const struct ch_control_peer *peer, const struct ch_http_request *request,
    struct ch_engine_report *(*read)(const char *text, size_t length,
                                     struct ch_error *error),
    void (*done)(void *data, enum ch_code code,
                 struct ch_engine_report *report),
    void *data);

#endif
