#ifndef CH_UPSTREAM_REPORT_H
#define CH_UPSTREAM_REPORT_H

#include "upstream/upstream.h"

/*
 * Parses the JSON of GET /v1/load; the result is freed with
 * ch_engine_report_free(). NULL with *error on failure.
 */
struct ch_engine_report *ch_engine_report_parse(const char *json,
                                                size_t length,
                                                struct ch_error *error);

#endif
