/* Results of calls that go by another node. */

#include "upstream/relay.h"

#include <string.h>
#include <strings.h>

static const struct {
    const char *name;
    enum ch_code code;
    bool is_unsent;
    bool is_about_node;
} rows[CH_RELAY_RESULTS] = {
    [CH_RELAY_NONE] = {"none", CH_OK, false, false},
    [CH_RELAY_UNREACHABLE] = {"unreachable", CH_UPSTREAM_CONNECT, true, true},
    [CH_RELAY_NO_PATH] = {"no-path", CH_UPSTREAM_CONNECT, true, true},
    [CH_RELAY_BUSY] = {"busy", CH_UPSTREAM_CONNECT, true, true},
    [CH_RELAY_STOPPING] = {"stopping", CH_UPSTREAM_CONNECT, true, true},
    [CH_RELAY_UNKNOWN_UPSTREAM] = {"unknown-upstream", CH_UPSTREAM_REFUSED,
                                   true, true},
    [CH_RELAY_DRAINING] = {"draining", CH_UPSTREAM_REFUSED, true, false},
    [CH_RELAY_UPSTREAM_REFUSED] = {"upstream-refused", CH_UPSTREAM_CONNECT,
                                   true, false},
    [CH_RELAY_UPSTREAM_TIMED_OUT] = {"upstream-timed-out", CH_UPSTREAM_CONNECT,
                                     true, false},
    [CH_RELAY_UPSTREAM_CUT] = {"upstream-cut", CH_UPSTREAM_CUT, false, false},
    [CH_RELAY_UPSTREAM_STALLED] = {"upstream-stalled", CH_UPSTREAM_STALLED,
                                   false, false},
    [CH_RELAY_LOST] = {"lost", CH_UPSTREAM_CUT, false, true},
};

/* See relay.h. */
const char *
ch_relay_result_get_name(enum ch_relay_result result)
{
    return rows[result].name;
}

/* See relay.h. */
enum ch_relay_result
ch_relay_result_parse(const char *name)
{
    for (int i = CH_RELAY_NONE + 1; i < CH_RELAY_RESULTS; i++) {
        if (strcmp(rows[i].name, name) == 0) {
            return (enum ch_relay_result)i;
        }
    }
    return CH_RELAY_LOST;
}

/* See relay.h. */
bool
ch_relay_result_is_unsent(enum ch_relay_result result)
{
    return rows[result].is_unsent;
}

/* See relay.h. */
bool
ch_relay_result_is_about_node(enum ch_relay_result result)
{
    return rows[result].is_about_node;
}

/* See relay.h. */
enum ch_code
ch_relay_result_get_code(enum ch_relay_result result)
{
    return rows[result].code;
}

/* See relay.h. */
bool
ch_relay_is_own_header(const char *name)
{
    return strcasecmp(name, CH_RELAY_UPSTREAM_HEADER) == 0 ||
           strcasecmp(name, CH_RELAY_FRESH_HEADER) == 0 ||
           strcasecmp(name, CH_RELAY_TIME_HEADER) == 0 ||
           strcasecmp(name, CH_RELAY_RESULT_HEADER) == 0;
}
