#ifndef CH_UPSTREAM_REPORT_H
#define CH_UPSTREAM_REPORT_H

#include "upstream/upstream.h"

/* From the JSON of GET /v1/load; freed by ch_report_free(). */
struct ch_report *ch_report_parse(const char *json, size_t length,
                                  struct ch_error *error);

#endif
