/* What upstreams say in their responses of calls to come: reading it, and what
 * a node knows of one upstream. */

#include "notices/notices.h"

#define S INT64_C(1000000) /* one second */
#define HOUR (3600 * S)

static const int64_t WALL_TIME = INT64_C(1767225600) * G_USEC_PER_SEC;

/* Guards against a Retry-After that is misread, so that an upstream is called
 * on too early or taken out of use for good. */
static void
test_reading(void)
{
    static const struct {
        int status;
        const char *draining;
        const char *retry_after[2];
        struct ch_notice notice;
    } rows[] = {
        {503, NULL, {NULL}, {false, 0, false}},
        {503, NULL, {"3"}, {false, 3 * S, false}},
        {429, NULL, {"3"}, {false, 3 * S, false}},
        {503, NULL, {"0"}, {false, 0, false}},
        {503, NULL, {"0.25"}, {false, S / 4, false}},
        {503, NULL, {"1.5"}, {false, 3 * S / 2, false}},
        {503, NULL, {"2", "5"}, {false, 5 * S, false}},
        {503, NULL, {"5", "2"}, {false, 5 * S, false}},
        {503, NULL, {"2, 5"}, {false, 5 * S, false}},
        {503, NULL, {"2", "x"}, {false, 2 * S, true}},
        {503, NULL, {"-3"}, {false, 0, true}},
        {503, NULL, {"+3"}, {false, 0, true}},
        {503, NULL, {"1e3"}, {false, 0, true}},
        {503, NULL, {"nan"}, {false, 0, true}},
        {503, NULL, {"inf"}, {false, 0, true}},
        {503, NULL, {""}, {false, 0, true}},
        {503, NULL, {"soon"}, {false, 0, true}},
        {503, NULL, {"86400"}, {false, HOUR, false}},
        {503, NULL, {"99999999999999999999"}, {false, HOUR, false}},
        {503, NULL, {"Thu, 01 Jan 2026 00:00:07 GMT"}, {false, 7 * S, false}},
        {503, NULL, {"Wed, 31 Dec 2025 23:59:00 GMT"}, {false, 0, false}},
        {200, NULL, {"3"}, {false, 0, false}},
        {500, NULL, {"x"}, {false, 0, false}},
        {200, "1", {NULL}, {true, 0, false}},
        {503, "1", {"3"}, {true, 3 * S, false}},
        {421, "1", {NULL}, {true, 0, false}},
        {200, "0", {NULL}, {false, 0, false}},
        {200, "", {NULL}, {false, 0, false}},
        {200, "yes", {NULL}, {false, 0, false}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_notice_reader reader = {.draining_header = "X-Draining"};
        g_test_message("row %zu", i);
        ch_notice_reader_add(&reader, "Content-Type", "text/plain", WALL_TIME);
        if (rows[i].draining != NULL) {
            ch_notice_reader_add(&reader, "x-draining", rows[i].draining,
                                 WALL_TIME);
        }
        for (size_t j = 0; j < 2 && rows[i].retry_after[j] != NULL; j++) {
            ch_notice_reader_add(&reader, "retry-after",
                                 rows[i].retry_after[j], WALL_TIME);
        }
        struct ch_notice notice =
            ch_notice_reader_get(&reader, rows[i].status);
        g_assert_cmpint(notice.draining, ==, rows[i].notice.draining);
        g_assert_cmpint(notice.wait, ==, rows[i].notice.wait);
        g_assert_cmpint(notice.unreadable, ==, rows[i].notice.unreadable);
    }
}

/* Guards against a drain that ends by an older entry or a late response, or
 * that outlives the process which said so. */
static void
test_drains(void)
{
    enum {
        MAX_STEPS = 5
    };
    static const struct {
        const char *name;
        struct {
            char what; /* b: listed boot, r: response, p: another node */
            uint64_t boot;
            int sent;
        } steps[MAX_STEPS];
        size_t count;
        uint64_t boot;
        bool draining;
    } rows[] = {
        {"nothing said", {{'b', 5, 0}}, 1, 5, false},
        {"said", {{'b', 5, 0}, {'r', 0, 1}}, 2, 5, true},
        {"said before it was listed", {{'r', 0, 0}, {'b', 5, 0}}, 2, 5, true},
        {"listed again", {{'b', 5, 0}, {'r', 0, 1}, {'b', 5, 0}}, 3, 5, true},
        {"started again",
         {{'b', 5, 0}, {'r', 0, 1}, {'b', 7, 0}},
         3,
         7,
         false},
        {"a late response of the process before",
         {{'b', 5, 0}, {'b', 7, 0}, {'r', 0, 1}},
         3,
         7,
         false},
        {"the new process says so too",
         {{'b', 5, 0}, {'r', 0, 1}, {'b', 7, 0}, {'r', 0, 9}},
         4,
         7,
         true},
        {"another node heard", {{'b', 5, 0}, {'p', 5, 0}}, 2, 5, true},
        {"another node heard of the process before",
         {{'b', 7, 0}, {'p', 5, 0}},
         2,
         7,
         false},
        {"another node heard of a later process",
         {{'b', 5, 0}, {'p', 7, 0}, {'b', 7, 0}},
         3,
         7,
         true},
        {"news of the process before come after those of the later one",
         {{'b', 5, 0}, {'p', 7, 0}, {'p', 5, 0}, {'b', 7, 0}},
         4,
         7,
         true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_notice drains = {.draining = true};
        struct ch_notice_state state = {0};
        g_test_message("%s", rows[i].name);
        for (size_t j = 0; j < rows[i].count; j++) {
            int64_t now = (int64_t)(j + 1) * 2 * S;
            switch (rows[i].steps[j].what) {
            case 'b':
                ch_notice_state_set_boot(&state, rows[i].steps[j].boot, now);
                break;
            case 'r':
                ch_notice_state_observe(&state, &drains,
                                        rows[i].steps[j].sent * S, now);
                break;
            default:
                ch_notice_state_observe_drain(&state, rows[i].steps[j].boot,
                                              now);
                break;
            }
        }
        g_assert_cmpint(
            ch_notice_state_is_draining(&state, rows[i].boot, 600 * S), ==,
            rows[i].draining);
    }
}

/* Guards against a wait that is cut short by a later, shorter one, or that
 * outlives the process which asked for it. */
static void
test_waits(void)
{
    static const struct {
        const char *name;
        int waits[2];  /* seconds, asked for at 1 s and at 2 s */
        uint64_t boot; /* listed at 3 s */
        int ends;
    } rows[] = {
        {"none", {0, 0}, 5, 0},
        {"one", {10, 0}, 5, 11},
        {"a longer one", {4, 10}, 5, 12},
        {"a shorter one", {10, 1}, 5, 11},
        {"started again", {10, 10}, 7, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_notice_state state = {0};
        g_test_message("%s", rows[i].name);
        ch_notice_state_set_boot(&state, 5, 0);
        for (int j = 0; j < 2; j++) {
            const struct ch_notice notice = {
                .wait = (int64_t)rows[i].waits[j] * S};
            ch_notice_state_observe(&state, &notice, S / 2, (j + 1) * S);
        }
        ch_notice_state_set_boot(&state, rows[i].boot, 3 * S);
        for (int second = 3; second < 20; second++) {
            g_assert_cmpint(ch_notice_state_is_waiting(&state, second * S), ==,
                            second < rows[i].ends);
        }
    }
}

/* Guards against all that waited coming back at the moment at which a wait
 * ends. A request is tried each 10 ms. */
static void
test_return(void)
{
    enum {
        STEP_US = 10 * 1000,
    };
    static const struct {
        int wait_ms;
        int from_ms; /* since the end of the wait */
        int to_ms;
        unsigned sent;
    } rows[] = {
        {3000, -3000, 0, 0},   {3000, 0, 250, 2},       {3000, 250, 500, 4},
        {3000, 500, 750, 8},   {3000, 2000, 3000, 100}, {800, 0, 100, 2},
        {800, 800, 1800, 100},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const int64_t wait = (int64_t)rows[i].wait_ms * 1000;
        const struct ch_notice notice = {.wait = wait};
        struct ch_notice_state state = {0};
        unsigned sent = 0;
        ch_notice_state_observe(&state, &notice, 1, S);
        for (int64_t at = 0; at < 8 * S; at += STEP_US) {
            int64_t left = ch_notice_state_take(&state, S + at);
            int64_t since = at - wait;
            bool counted = since >= (int64_t)rows[i].from_ms * 1000 &&
                           since < (int64_t)rows[i].to_ms * 1000;
            sent += left == 0 && counted ? 1 : 0;
            g_assert_cmpint(left, >=, since < 0 ? -since : 0);
        }
        g_test_message("row %zu", i);
        g_assert_cmpuint(sent, ==, rows[i].sent);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/notices/reading", test_reading);
    g_test_add_func("/notices/drains", test_drains);
    g_test_add_func("/notices/waits", test_waits);
    g_test_add_func("/notices/return", test_return);
    return g_test_run();
}
