/* Parts of prompts that crash upstreams: which one is the cause, and what
 * tells that one is not. */

#include "crash/crash.h"

#include <string.h>

enum {
    CRASHES_TO_BAR = 3,
    MAX_PARTS = 3,
    MAX_STEPS = 40,
    NODE_A = 1,
    NODE_B,
};

/* Parts by number; requests have numbers of their own. */
enum {
    FIRST = 1, /* shared by thousands of requests */
    GUILTY,
    RARE,
    OTHER_GUILTY,
    THIRD,
};

static struct ch_digest
compute_digest(const char *kind, unsigned number)
{
    const struct ch_digest_part parts[] = {{kind, strlen(kind)},
                                           {&number, sizeof(number)}};
    return ch_digest_compute(parts, G_N_ELEMENTS(parts));
}

static struct ch_crash_table *
table_new(void)
{
    const struct ch_crash_limits limits = {
        CRASHES_TO_BAR, 1000, G_GINT64_CONSTANT(3600) * G_USEC_PER_SEC};
    return ch_crash_table_new(&limits);
}

/* A request with these parts was on an upstream that ended. */
static void
add_crash(struct ch_crash_table *table, unsigned upstream, double at_s,
          unsigned request, const unsigned *parts)
{
    g_autofree char *name = g_strdup_printf("u%u", upstream);
    struct ch_crash_observation observation = {
        .digest = compute_digest("request", request),
        .fingerprint = request,
        .upstream = g_quark_from_string(name),
        .boot_id = 7,
        .ended_at = (int64_t)(at_s * G_USEC_PER_SEC),
        .before_response = true,
    };
    (void)ch_crash_table_add(table, &observation);
    for (unsigned i = 0; i < MAX_PARTS && parts[i] != 0; i++) {
        observation.digest = compute_digest("part", parts[i]);
        observation.fingerprint = 1000 + parts[i];
        observation.part = parts[i];
        (void)ch_crash_table_add(table, &observation);
    }
}

static void
report_begun(struct ch_crash_table *table, unsigned part, GQuark node,
             unsigned count)
{
    const struct ch_digest digest = compute_digest("part", part);
    ch_crash_table_report_begun(table, &digest, node, count);
}

static enum ch_crash_state
get_part_state(const struct ch_crash_table *table, unsigned part)
{
    const struct ch_digest digest = compute_digest("part", part);
    return ch_crash_table_assess(table, &digest).state;
}

/* ---- which part is the cause ---- */

struct step {
    unsigned upstream;
    double at_s;
    unsigned request;
    unsigned parts[MAX_PARTS]; /* but for the request's own last one */
};

struct row {
    const char *name;
    struct step steps[MAX_STEPS];
    /* Responses that began, over all nodes, by part. */
    unsigned begun[THIRD + 1];
    unsigned barred[MAX_PARTS];
    unsigned not_barred[MAX_PARTS];
};

/* Guards against an upstream-crashing part that is not found because no two
 * requests are alike, and against harmless parts that are barred because they
 * were beside it, are popular, or were on upstreams that crashed together. */
static const struct row rows[] = {
    {"the second of three parts",
     {{1, 1, 1, {FIRST, GUILTY, THIRD}},
      {2, 2, 2, {FIRST, GUILTY, THIRD}},
      {3, 3, 3, {FIRST, GUILTY, THIRD}}},
     {[FIRST] = 500, [THIRD] = 40},
     {GUILTY},
     {FIRST, THIRD}},
    {"the only part beside the requests' own",
     {{1, 1, 1, {GUILTY}}, {2, 2, 2, {GUILTY}}, {3, 3, 3, {GUILTY}}},
     {0},
     {GUILTY},
     {0}},
    {"two first parts, one of them the cause",
     {{1, 1, 1, {GUILTY, THIRD}},
      {2, 2, 2, {FIRST, THIRD}},
      {3, 3, 3, {GUILTY, THIRD}},
      {4, 4, 4, {GUILTY, THIRD}}},
     {[FIRST] = 30, [THIRD] = 30},
     {GUILTY},
     {FIRST, THIRD}},
    {"two crashes",
     {{1, 1, 1, {FIRST, GUILTY}}, {2, 2, 2, {FIRST, GUILTY}}},
     {[FIRST] = 100},
     {0},
     {FIRST, GUILTY}},
    {"all crashes within a second",
     {{1, 1, 1, {FIRST, GUILTY}},
      {2, 1.1, 2, {FIRST, GUILTY}},
      {3, 1.2, 3, {FIRST, GUILTY}},
      {4, 1.3, 4, {FIRST, GUILTY}},
      {5, 1.5, 5, {FIRST, GUILTY}}},
     {[FIRST] = 100},
     {GUILTY},
     {FIRST}},
    {"a rare harmless part is repeated beside it",
     {{1, 1, 1, {FIRST, GUILTY}},
      {1, 1, 50, {FIRST, RARE}},
      {2, 2, 2, {FIRST, GUILTY}},
      {2, 2, 50, {FIRST, RARE}},
      {3, 3, 3, {FIRST, GUILTY}},
      {3, 3, 50, {FIRST, RARE}},
      {4, 4, 4, {FIRST, GUILTY}}},
     {[FIRST] = 100},
     {GUILTY},
     {RARE, FIRST}},
    {"which of two parts is not known yet",
     {{1, 1, 1, {FIRST, GUILTY}},
      {1, 1, 50, {FIRST, RARE}},
      {2, 2, 2, {FIRST, GUILTY}},
      {2, 2, 50, {FIRST, RARE}},
      {3, 3, 3, {FIRST, GUILTY}},
      {3, 3, 50, {FIRST, RARE}}},
     {[FIRST] = 100},
     {0},
     {RARE, GUILTY, FIRST}},
    {"a part that only ever comes with it",
     {{1, 1, 1, {GUILTY, RARE}},
      {2, 2, 2, {GUILTY, RARE}},
      {3, 3, 3, {GUILTY, RARE}},
      {4, 4, 4, {GUILTY, RARE}},
      {5, 5, 5, {GUILTY, RARE}}},
     {0},
     {GUILTY, RARE},
     {0}},
    {"two parts crash upstreams",
     {{1, 1, 1, {FIRST, GUILTY}},
      {2, 2, 2, {FIRST, OTHER_GUILTY}},
      {3, 3, 3, {FIRST, GUILTY}},
      {4, 4, 4, {FIRST, OTHER_GUILTY}},
      {5, 5, 5, {FIRST, GUILTY}},
      {6, 6, 6, {FIRST, OTHER_GUILTY}}},
     {[FIRST] = 100},
     {GUILTY, OTHER_GUILTY},
     {FIRST}},
    {"it crashes half of its upstreams",
     {{1, 1, 1, {FIRST, GUILTY}},
      {2, 3, 2, {FIRST, GUILTY}},
      {3, 5, 3, {FIRST, GUILTY}},
      {4, 7, 4, {FIRST, GUILTY}},
      {5, 9, 5, {FIRST, GUILTY}}},
     {[FIRST] = 100, [GUILTY] = 5},
     {GUILTY},
     {FIRST}},
    {"one request is the cause, and not its parts",
     {{1, 1, 9, {FIRST, RARE}},
      {2, 2, 9, {FIRST, RARE}},
      {3, 3, 9, {FIRST, RARE}}},
     {[FIRST] = 100},
     {0},
     {FIRST, RARE}},
    {"a popular part on upstreams that lose power together",
     {{1, 1, 1, {FIRST}},
      {2, 1, 2, {FIRST}},
      {3, 1, 3, {FIRST}},
      {4, 1, 4, {FIRST, RARE}},
      {5, 1, 5, {FIRST, THIRD}}},
     {[FIRST] = 200},
     {0},
     {FIRST, RARE, THIRD}},
    {"a rare part on three of the upstreams that lose power together",
     {{1, 1, 1, {RARE}},
      {2, 1, 2, {RARE}},
      {3, 1, 3, {RARE}},
      {4, 1, 4, {THIRD}},
      {5, 1, 5, {0}},
      {6, 1, 6, {0}}},
     {0},
     {0},
     {RARE, THIRD}},
};

static void
run_row(const struct row *row, bool is_reversed)
{
    struct ch_crash_table *table = table_new();
    unsigned count = 0;
    while (count < MAX_STEPS && row->steps[count].upstream != 0) {
        count++;
    }
    g_test_message("%s", row->name);
    /* Messages come in any order, and more than once. */
    for (unsigned i = 0; i < 2 * count; i++) {
        unsigned index = i % count;
        const struct step *step =
            &row->steps[is_reversed ? count - 1 - index : index];
        add_crash(table, step->upstream, step->at_s, step->request,
                  step->parts);
    }
    for (unsigned part = FIRST; part <= THIRD; part++) {
        report_begun(table, part, NODE_A, row->begun[part] / 2);
        report_begun(table, part, NODE_B,
                     row->begun[part] - row->begun[part] / 2);
    }
    for (unsigned i = 0; i < MAX_PARTS && row->barred[i] != 0; i++) {
        g_assert_cmpint(get_part_state(table, row->barred[i]), ==,
                        CH_CRASH_BARRED);
    }
    for (unsigned i = 0; i < MAX_PARTS && row->not_barred[i] != 0; i++) {
        g_assert_cmpint(get_part_state(table, row->not_barred[i]), !=,
                        CH_CRASH_BARRED);
    }
    ch_crash_table_free(table);
}

static void
test_cause(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        run_row(&rows[i], false);
        run_row(&rows[i], true);
    }
}

/* Guards against a request that is barred for the crashes of a part of other
 * requests beside it. */
static void
test_request_beside_part(void)
{
    static const unsigned guilty[MAX_PARTS] = {GUILTY};
    static const unsigned none[MAX_PARTS] = {0};
    struct ch_crash_table *table = table_new();
    for (unsigned i = 1; i <= 6; i++) {
        add_crash(table, i, i, 100 + i, guilty);
        if (i > 1) {
            add_crash(table, i, i, 9, none);
        }
    }
    const struct ch_digest digest = compute_digest("request", 9);
    g_assert_cmpint(get_part_state(table, GUILTY), ==, CH_CRASH_BARRED);
    g_assert_cmpint(ch_crash_table_assess(table, &digest).state, !=,
                    CH_CRASH_BARRED);
    ch_crash_table_free(table);
}

/* ---- what outlives the nodes ---- */

/* Guards against a barred part that a stored record brings back as a request,
 * and against one that can't be released. */
static void
test_record(void)
{
    const struct ch_digest digest = compute_digest("part", GUILTY);
    struct ch_crash_table *table = table_new();
    ch_crash_table_restore_barred_part(table, &digest, 1002, GUILTY, 1000);
    g_assert_cmpint(get_part_state(table, GUILTY), ==, CH_CRASH_BARRED);
    g_assert_true(ch_crash_table_assess(table, &digest).is_restored);
    g_assert_true(ch_crash_table_has_fingerprint(table, 1002));
    report_begun(table, GUILTY, NODE_A, 1);
    g_assert_cmpint(get_part_state(table, GUILTY), ==, CH_CRASH_BARRED);
    g_assert_true(ch_crash_table_release(table, &digest, 2000));
    g_assert_cmpint(get_part_state(table, GUILTY), !=, CH_CRASH_BARRED);
    ch_crash_table_free(table);
}

/* ---- what nodes tell each other ---- */

/* Guards against all nodes telling of a popular part, and against none telling
 * of one that few know. */
static void
test_collect(void)
{
    static const unsigned parts[MAX_PARTS] = {FIRST, GUILTY};
    const struct ch_digest first = compute_digest("part", FIRST);
    struct ch_crash_table *table = table_new();
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ch_crash_begun));
    add_crash(table, 1, 1, 1, parts);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 0);
    ch_crash_table_set_own_begun(table, &first, 3);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 1);
    g_assert_cmpuint(g_array_index(out, struct ch_crash_begun, 0).count, ==,
                     3);
    g_assert_true(ch_digest_equal(
        &g_array_index(out, struct ch_crash_begun, 0).digest, &first));
    ch_crash_table_set_own_begun(table, &first, 16);
    g_array_set_size(out, 0);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 1); /* enough for the third crash as well */
    g_assert_cmpuint(g_array_index(out, struct ch_crash_begun, 0).count, ==,
                     16);
    ch_crash_table_set_own_begun(table, &first, 17);
    g_array_set_size(out, 0);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 0); /* the others know enough */
    add_crash(table, 2, 5, 2, parts);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 1);
    add_crash(table, 3, 6, 3, parts);
    add_crash(table, 4, 7, 4, parts);
    add_crash(table, 5, 8, 5, parts);
    report_begun(table, FIRST, NODE_B, 50);
    ch_crash_table_set_own_begun(table, &first, 20);
    g_array_set_size(out, 0);
    ch_crash_table_collect_begun(table, out);
    g_assert_cmpuint(out->len, ==, 0);
    g_assert_cmpint(get_part_state(table, FIRST), ==, CH_CRASH_HARMLESS);
    g_array_free(out, TRUE);
    ch_crash_table_free(table);
}

/* Guards against parts that are forgotten at once when many are seen, and
 * against memory that grows with them. */
static void
test_begun_parts(void)
{
    struct ch_begun_parts *parts = ch_begun_parts_new();
    int64_t now = G_GINT64_CONSTANT(1000) * G_USEC_PER_SEC;
    for (unsigned i = 0; i < 5; i++) {
        ch_begun_parts_add(parts, FIRST, now);
    }
    g_assert_cmpuint(ch_begun_parts_count(parts, FIRST, now), ==, 5);
    g_assert_cmpuint(ch_begun_parts_count(parts, RARE, now), ==, 0);
    now += 61 * (int64_t)G_USEC_PER_SEC;
    ch_begun_parts_add(parts, FIRST, now);
    g_assert_cmpuint(ch_begun_parts_count(parts, FIRST, now), ==, 6);
    now += 61 * (int64_t)G_USEC_PER_SEC;
    g_assert_cmpuint(ch_begun_parts_count(parts, FIRST, now), ==, 1);
    now += 300 * (int64_t)G_USEC_PER_SEC;
    g_assert_cmpuint(ch_begun_parts_count(parts, FIRST, now), ==, 0);
    ch_begun_parts_add(parts, FIRST, now);
    for (unsigned i = 0; i < 10000; i++) {
        ch_begun_parts_add(parts, 100 + i, now);
    }
    g_assert_cmpuint(ch_begun_parts_count(parts, FIRST, now), ==, 1);
    ch_begun_parts_free(parts);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/parts/cause", test_cause);
    g_test_add_func("/parts/request-beside-part", test_request_beside_part);
    g_test_add_func("/parts/record", test_record);
    g_test_add_func("/parts/collect", test_collect);
    g_test_add_func("/parts/begun", test_begun_parts);
    return g_test_run();
}
