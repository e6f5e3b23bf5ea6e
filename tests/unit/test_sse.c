/*
 * Tests that server-sent events come out complete however the input is split.
 */

#include "upstream/sse.h"

#include <string.h>

struct split_case {
    const char *name;
    const char *bytes;
    const char *events; /* joined by '|' */
};

static const struct split_case split_cases[] = {
    {"one", "data: {\"a\":1}\n\n", "data: {\"a\":1}\n\n"},
    {"two", "data: 1\n\ndata: 2\n\n", "data: 1\n\n|data: 2\n\n"},
    {"CR LF", "data: 1\r\n\r\ndata: 2\r\n\r\n", "data: 1\n\n|data: 2\n\n"},
    {"CR", "data: 1\r\rdata: 2\r\r", "data: 1\n\n|data: 2\n\n"},
    {"several lines", "event: x\ndata: 1\ndata: 2\n\n",
     "event: x\ndata: 1\ndata: 2\n\n"},
    {"a comment is no event", ": ping\n\ndata: 1\n\n", "data: 1\n\n"},
    {"empty lines", "\n\n\n\ndata: 1\n\n", "data: 1\n\n"},
    {"cut: not an event", "data: 1\n\ndata: 2\n", "data: 1\n\n"},
    {"cut in the line", "data: 1\n\ndata: [DO", "data: 1\n\n"},
    {"nothing", "", ""},
};

/* Joins events with '|'. */
static void
join(void *data, const char *text, size_t length)
{
    GString *joined = data;
    if (joined->len > 0) {
        g_string_append_c(joined, '|');
    }
    g_string_append_len(joined, text, (gssize)length);
}

/* Each row is fed whole, split at every position, and byte by byte. */
static void
test_split(gconstpointer data)
{
    const struct split_case *row = data;
    size_t length = strlen(row->bytes);
    for (size_t split_at = 0; split_at <= length + 1; split_at++) {
        struct ch_sse_parser sse;
        GString *joined = g_string_new(NULL);
        ch_sse_init(&sse);
        if (split_at <= length) {
            g_assert_true(
                ch_sse_feed(&sse, row->bytes, split_at, join, joined));
            g_assert_true(ch_sse_feed(&sse, row->bytes + split_at,
                                      length - split_at, join, joined));
        }
        else {
            for (size_t i = 0; i < length; i++) {
                g_assert_true(
                    ch_sse_feed(&sse, row->bytes + i, 1, join, joined));
            }
        }
        g_assert_cmpstr(joined->str, ==, row->events);
        ch_sse_clear(&sse);
        g_string_free(joined, TRUE);
    }
}

/* An upstream that never ends an event must not fill the node's memory. */
static void
test_size_limit(void)
{
    static const char *const lines[] = {"data: xxxxxxxxxxxxxx", "data: x\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        struct ch_sse_parser sse;
        GString *joined = g_string_new(NULL);
        bool ok = true;
        ch_sse_init(&sse);
        for (size_t fed_bytes = 0; fed_bytes <= CH_SSE_MAX_EVENT_BYTES + 32;
             fed_bytes += strlen(lines[i])) {
            ok = ch_sse_feed(&sse, lines[i], strlen(lines[i]), join, joined);
        }
        g_assert_false(ok);
        g_assert_false(ch_sse_feed(&sse, "\n\n", 2, join, joined));
        g_assert_cmpuint(joined->len, ==, 0);
        g_assert_cmpuint(sse.event->len + sse.line->len, <=,
                         CH_SSE_MAX_EVENT_BYTES + 1);
        ch_sse_clear(&sse);
        g_string_free(joined, TRUE);
    }
}

struct marker_case {
    const char *event;
    bool done;
    bool has_id; /* has the id "cmpl-7" */
};

static const struct marker_case marker_cases[] = {
    {"data: [DONE]\n\n", true, false},
    {"data:[DONE]\n\n", true, false},
    {"data: [DONE] \n\n", false, false},
    {"data: \"[DONE]\"\n\n", false, false},
    {"data: {\"id\":\"cmpl-7\"}\n\n", false, true},
    {"data: {\"text\":\"x\", \"id\" : \"cmpl-7\"}\n\n", false, true},
    {"data: {\"id\":\"cmpl-77\"}\n\n", false, false},
    {"data: {\"id\":\"cmpl-\"}\n\n", false, false},
    {"data: {\"id\":\"cmpl-8\"}\n\n", false, false},
    {"data: {\"text\":\"x\"}\n\n", false, false},
    {"data: {\"text\":\"\\\"id\\\":\\\"cmpl-7\\\"\"}\n\n", false, false},
    {"data: {\"text\":\"id\",\"id\":\"cmpl-7\"}\n\n", false, true},
    {"data: {\"calls\":[{\"id\":\"c1\"}],\"id\":\"cmpl-7\"}\n\n", false, true},
    {"data: {\"id\"", false, false},
    {"data: {\"id\":", false, false},
};

static void
test_markers(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(marker_cases); i++) {
        const struct marker_case *row = &marker_cases[i];
        size_t length = strlen(row->event);
        /*
         * A copy of the exact size, so that the sanitizer detects reads past
         * its end.
         */
        char *event = g_memdup2(row->event, length);
        g_assert_cmpint(ch_sse_is_done(event, length), ==, row->done);
        g_assert_cmpint(ch_sse_has_id(event, length, "cmpl-7"), ==,
                        row->has_id);
        g_free(event);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(split_cases); i++) {
        char *path = g_strdup_printf("/sse/split/%s", split_cases[i].name);
        g_test_add_data_func(path, &split_cases[i], test_split);
        g_free(path);
    }
    g_test_add_func("/sse/bound", test_size_limit);
    g_test_add_func("/sse/marks", test_markers);
    return g_test_run();
}
