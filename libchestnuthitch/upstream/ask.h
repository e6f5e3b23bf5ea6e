#ifndef CH_UPSTREAM_ASK_H
#define CH_UPSTREAM_ASK_H

/* Orders and reports over HTTP: what the clients of upstreams with different
 * interfaces have in common. */

#include "upstream/upstream.h"

/* Sends an order.  code_of gives the code for the status of an answer; what is
   no agreed status says nothing of whether the order was taken. */
void ch_ask_order(struct ch_http *http, const struct ch_http_request *request,
                  enum ch_code (*code_of)(int status),
                  void (*done)(void *data, enum ch_code code), void *data);

/* Asks for a report.  read takes it from a body; NULL with an error. */
void ch_ask_report(struct ch_http *http, const struct ch_http_request *request,
                   struct ch_report *(*read)(const char *text, size_t length,
                                             struct ch_error *error),
                   void (*done)(void *data, enum ch_code code,
                                struct ch_report *report),
                   void *data);

#endif
