/* How long an entry is used that is missing from the key-value store. */

#include "decide/absence.h"

enum {
    SECOND = G_USEC_PER_SEC,
    GRACE_US = 2200 * 1000,
    MAX_EVENTS = 12,
};

/* What happens at a time, in tenths of a second: F: a call fails, A: one is
 * answered with the entry, M: one is answered without it. */
struct event {
    unsigned tenths;
    char what; /* '\0': no more */
};

static const struct {
    const char *name;
    struct event events[MAX_EVENTS];
    int64_t end_tenths; /* 0: the entry is there */
} cases[] = {
    {"removal told", {{10, 'A'}, {20, 'M'}}, 20},
    {"read after a reset", {{10, 'A'}, {20, 'F'}, {22, 'M'}}, 22},
    {"read after the store was away", {{10, 'A'}, {20, 'F'}, {40, 'M'}}, 62},
    {"away, back, and missed soon after",
     {{10, 'F'}, {30, 'A'}, {40, 'M'}},
     52},
    {"away long ago", {{10, 'F'}, {30, 'A'}, {60, 'M'}}, 60},
    {"missed in a reset's wake, then resets in series",
     {{10, 'A'},
      {20, 'F'},
      {22, 'M'},
      {24, 'F'},
      {26, 'M'},
      {28, 'F'},
      {30, 'M'}},
     22},
    {"missed after an outage, then resets in series",
     {{10, 'F'},
      {30, 'M'},
      {34, 'F'},
      {36, 'M'},
      {40, 'F'},
      {42, 'M'},
      {46, 'F'},
      {48, 'M'}},
     52},
    {"missed after an outage, then a second outage",
     {{10, 'F'}, {30, 'M'}, {32, 'F'}, {44, 'M'}},
     52},
    {"back after an outage", {{10, 'F'}, {30, 'M'}, {40, 'A'}}, 0},
    {"never away", {{10, 'M'}}, 10},
};

/* Guards against an upstream that gets requests long after its entry has gone,
 * because connections to the store are reset. */
static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_store_contact contact = {0};
        int64_t end = 0;
        for (size_t j = 0; cases[i].events[j].what != '\0'; j++) {
            const struct event *event = &cases[i].events[j];
            int64_t now = (int64_t)event->tenths * SECOND / 10;
            ch_store_contact_record(&contact, event->what != 'F', now);
            if (event->what == 'A') {
                end = 0;
            }
            if (event->what == 'M') {
                end = ch_absence_get_end(&contact, end, GRACE_US, now);
            }
        }
        g_test_message("%s", cases[i].name);
        g_assert_cmpint(end, ==, cases[i].end_tenths * SECOND / 10);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/absence/cases", test_cases);
    return g_test_run();
}
