/* The configuration's revision: what became of a write, in every order of
 * events up to a bound. */

#include "decide/revision.h"

#include "unit/explore.h"

#include <string.h>

enum {
    OPERATORS = 2,
};

static const char *const tokens[] = {"t0", "t1", "t2"};

struct operator
{
    struct ch_revision_write write;
    struct ch_revision_record *base; /* what was read at base */
    enum ch_revision_step step;
    bool late; /* a write is under way without its sender */
};

struct model {
    struct ch_revision_record *record;
    uint64_t revision;
    struct operator operators[OPERATORS];
};

/* The compare-and-swap. */
static enum ch_code
model_put(struct model *model, unsigned o)
{
    struct operator* operator= & model->operators[o];
    if (operator->write.base != model->revision) {
        return CH_KV_CONFLICT;
    }
    struct ch_revision_record *record = ch_revision_record_new(
        tokens[o], "a", "text", model->record, model->revision);
    ch_revision_record_free(model->record);
    model->record = record;
    model->revision++;
    return CH_OK;
}

/* One call of an operator's write. */
static void
model_step(struct model *model, unsigned o, unsigned fate)
{
    struct operator* operator= & model->operators[o];
    if (operator->step == CH_REVISION_READ) {
        enum ch_code code = model->record == NULL ? CH_KV_MISSING : CH_OK;
        operator->step = ch_revision_write_read(
            &operator->write, fate == 0 ? code : CH_KV_UNREACHABLE,
            fate == 0 ? model->record : NULL, model->revision);
        return;
    }
    enum ch_code code = CH_KV_AMBIGUOUS;
    if (fate == 0) {
        code = model_put(model, o);
    }
    else if (fate == 1) {
        (void)model_put(model, o);
    }
    else if (fate == 2) {
        operator->late = true;
    }
    else {
        code = CH_KV_UNREACHABLE;
    }
    operator->step =
        ch_revision_write_written(&operator->write, code, model->revision);
}

/* Whether a token is, or was, in force. */
static bool
in_line(const struct model *model, unsigned o)
{
    const struct ch_revision_record *record = model->record;
    if (record == NULL) {
        return false;
    }
    bool there = strcmp(record->token, tokens[o]) == 0;
    for (size_t i = 0; i < record->past_count; i++) {
        there |= strcmp(record->past[i].token, tokens[o]) == 0;
    }
    return there;
}

/* What operators were told holds. */
static void
check_told(const struct model *model)
{
    for (unsigned o = 0; o < OPERATORS; o++) {
        enum ch_revision_step step = model->operators[o].step;
        g_assert_true(step != CH_REVISION_ACCEPTED || in_line(model, o));
        g_assert_true(
            (step != CH_REVISION_CONFLICT && step != CH_REVISION_FAILED) ||
            !in_line(model, o));
    }
}

/* One move of the world; false when nothing can move. */
static bool
explore_move(struct model *model, struct explore *explore)
{
    unsigned moves[2 * OPERATORS];
    unsigned count = 0;
    for (unsigned o = 0; o < OPERATORS; o++) {
        enum ch_revision_step step = model->operators[o].step;
        if (step == CH_REVISION_READ || step == CH_REVISION_WRITE) {
            moves[count++] = o;
        }
        if (model->operators[o].late) {
            moves[count++] = OPERATORS + o;
        }
    }
    if (count == 0) {
        return false;
    }
    unsigned move = moves[explore_choose(explore, count)];
    if (move >= OPERATORS) {
        model->operators[move - OPERATORS].late = false;
        (void)model_put(model, move - OPERATORS);
        return true;
    }
    bool read = model->operators[move].step == CH_REVISION_READ;
    model_step(model, move, explore_choose(explore, read ? 2 : 4));
    return true;
}

/*
 * Two operators apply a change made from the same revision, and answers of the
 * service are lost or its writes late.  An operator who was told "conflict"
 * while the change is in force would make it twice; one who was told
 * "accepted" while it is not would go home.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 13};
    do {
        struct model model = {0};
        for (unsigned o = 0; o < OPERATORS; o++) {
            ch_revision_write_init(&model.operators[o].write, 0, tokens[o]);
        }
        for (int i = 0; i < 60 && explore_move(&model, &explore); i++) {
            check_told(&model);
        }
        for (unsigned o = 0; o < OPERATORS; o++) {
            ch_revision_write_clear(&model.operators[o].write);
        }
        ch_revision_record_free(model.record);
    } while (explore_next(&explore));
    g_print("figure: revision interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* A lost answer is resolved by the tokens: in force, in the past, not there,
 * and past remembering. */
static void
test_resolve(void)
{
    const struct {
        unsigned writes_after; /* by others, since */
        bool took_effect;
        enum ch_revision_step expect;
    } cases[] = {
        {0, true, CH_REVISION_ACCEPTED},
        {3, true, CH_REVISION_ACCEPTED},
        {0, false, CH_REVISION_WRITE},
        {1, false, CH_REVISION_CONFLICT},
        {CH_REVISION_HISTORY + 1, true, CH_REVISION_UNSURE},
        {CH_REVISION_HISTORY + 1, false, CH_REVISION_UNSURE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_revision_write write;
        struct ch_revision_record *record =
            ch_revision_record_new("base", "a", "x", NULL, 0);
        uint64_t revision = 5;
        ch_revision_write_init(&write, revision, "mine");
        g_assert_cmpint(ch_revision_write_read(&write, CH_OK, record, 5), ==,
                        CH_REVISION_WRITE);
        g_assert_cmpint(ch_revision_write_written(&write, CH_KV_AMBIGUOUS, 0),
                        ==, CH_REVISION_READ);
        unsigned all = cases[i].writes_after + cases[i].took_effect;
        for (unsigned k = 0; k < all; k++) {
            bool mine = k == 0 && cases[i].took_effect;
            struct ch_revision_record *next = ch_revision_record_new(
                mine ? "mine" : "theirs", "b", "y", record, revision++);
            ch_revision_record_free(record);
            record = next;
        }
        g_assert_cmpint(
            ch_revision_write_read(&write, CH_OK, record, revision), ==,
            cases[i].expect);
        if (cases[i].expect == CH_REVISION_ACCEPTED) {
            g_assert_cmpuint(write.revision, ==, 6);
        }
        ch_revision_write_clear(&write);
        ch_revision_record_free(record);
    }
}

/* Older and equal revisions change nothing. */
static void
test_newer(void)
{
    g_assert_true(ch_revision_newer(0, 1));
    g_assert_false(ch_revision_newer(1, 1));
    g_assert_false(ch_revision_newer(2, 1));
    g_assert_false(ch_revision_newer(0, 0));
}

/* The record as JSON and back; what is damaged is refused. */
static void
test_record(void)
{
    struct ch_revision_record *first =
        ch_revision_record_new("t1", "eira", "[class a]\n", NULL, 0);
    struct ch_revision_record *second =
        ch_revision_record_new("t2", "bob", "[class \"b\"]\n", first, 7);
    g_autofree char *json = ch_revision_record_print(second);
    struct ch_revision_record *back =
        ch_revision_record_parse(json, strlen(json), NULL);
    g_assert_nonnull(back);
    g_autofree char *again = ch_revision_record_print(back);
    g_assert_cmpstr(json, ==, again);
    g_assert_cmpuint(back->past[0].revision, ==, 7);
    for (size_t cut = 0; cut < strlen(json); cut++) {
        g_assert_null(ch_revision_record_parse(json, cut, NULL));
    }
    ch_revision_record_free(first);
    ch_revision_record_free(second);
    ch_revision_record_free(back);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/revision/every-order", test_every_order);
    g_test_add_func("/revision/resolve", test_resolve);
    g_test_add_func("/revision/newer", test_newer);
    g_test_add_func("/revision/record", test_record);
    return g_test_run();
}
