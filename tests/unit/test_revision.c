/* The configuration's revision: the outcome of a write, in every order of
 * events up to a bound. */

#include "decide/revision.h"

#include "unit/explore.h"

#include <string.h>

enum {
    OPERATORS = 2,
};

static const char *const write_ids[] = {"t0", "t1", "t2"};

struct operator
{
    struct ch_revision_write write;
    struct ch_revision_record *base; /* the record read at base */
    enum ch_revision_step step;
    bool late_write; /* an unanswered write may still take effect */
};

struct model {
    struct ch_revision_record *record;
    uint64_t revision;
    struct operator operators[OPERATORS];
};

/* Applies the operator's compare-and-swap to the stored record. */
static enum ch_code
apply_write(struct model *model, unsigned index)
{
    struct operator* operator= & model->operators[index];
    if (operator->write.base != model->revision) {
        return CH_KV_CONFLICT;
    }
    struct ch_revision_record *record = ch_revision_record_new(
        write_ids[index], "a", "text", model->record, model->revision);
    ch_revision_record_free(model->record);
    model->record = record;
    model->revision++;
    return CH_OK;
}

/* Makes the next call of an operator's write.  result of a read: 0 answered, 1
 * store not reachable.  Of a write: 0 answered, 1 takes effect and the answer
 * is lost, 2 may take effect later, 3 store not reachable. */
static void
make_call(struct model *model, unsigned index, unsigned result)
{
    struct operator* operator= & model->operators[index];
    if (operator->step == CH_REVISION_READ) {
        enum ch_code code = model->record == NULL ? CH_KV_MISSING : CH_OK;
        operator->step = ch_revision_write_handle_read(
            &operator->write, result == 0 ? code : CH_KV_UNREACHABLE,
            result == 0 ? model->record : NULL, model->revision);
        return;
    }
    enum ch_code code = CH_KV_AMBIGUOUS;
    if (result == 0) {
        code = apply_write(model, index);
    }
    else if (result == 1) {
        (void)apply_write(model, index);
    }
    else if (result == 2) {
        operator->late_write = true;
    }
    else {
        code = CH_KV_UNREACHABLE;
    }
    operator->step = ch_revision_write_handle_write(&operator->write, code,
                                                    model->revision);
}

/* True when the operator's write is in force or was earlier. */
static bool
is_in_history(const struct model *model, unsigned index)
{
    const struct ch_revision_record *record = model->record;
    if (record == NULL) {
        return false;
    }
    bool found = strcmp(record->write_id, write_ids[index]) == 0;
    for (size_t i = 0; i < record->history_count; i++) {
        found |= strcmp(record->history[i].write_id, write_ids[index]) == 0;
    }
    return found;
}

/* Asserts that what the operators were told is still true. */
static void
check_outcomes(const struct model *model)
{
    for (unsigned index = 0; index < OPERATORS; index++) {
        enum ch_revision_step step = model->operators[index].step;
        g_assert_true(step != CH_REVISION_ACCEPTED ||
                      is_in_history(model, index));
        g_assert_true(
            (step != CH_REVISION_CONFLICT && step != CH_REVISION_FAILED) ||
            !is_in_history(model, index));
    }
}

/* Makes one chosen move.  Returns false when no move is possible. */
static bool
make_move(struct model *model, struct explore *explore)
{
    unsigned moves[2 * OPERATORS];
    unsigned count = 0;
    for (unsigned index = 0; index < OPERATORS; index++) {
        enum ch_revision_step step = model->operators[index].step;
        if (step == CH_REVISION_READ || step == CH_REVISION_WRITE) {
            moves[count++] = index;
        }
        if (model->operators[index].late_write) {
            moves[count++] = OPERATORS + index;
        }
    }
    if (count == 0) {
        return false;
    }
    unsigned move = moves[explore_choose(explore, count)];
    if (move >= OPERATORS) {
        model->operators[move - OPERATORS].late_write = false;
        (void)apply_write(model, move - OPERATORS);
        return true;
    }
    bool read = model->operators[move].step == CH_REVISION_READ;
    make_call(model, move, explore_choose(explore, read ? 2 : 4));
    return true;
}

/*
 * Guards against wrong outcomes.  Two operators write a change of the same
 * revision, while answers of the key-value store are lost or its writes take
 * effect late.  An operator who is told of a conflict although the change is
 * in force would make it twice; one who is told that it was accepted although
 * it is not in force would not make it again.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 13};
    do {
        struct model model = {0};
        for (unsigned index = 0; index < OPERATORS; index++) {
            ch_revision_write_init(&model.operators[index].write, 0,
                                   write_ids[index]);
        }
        for (int i = 0; i < 60 && make_move(&model, &explore); i++) {
            check_outcomes(&model);
        }
        for (unsigned index = 0; index < OPERATORS; index++) {
            ch_revision_write_clear(&model.operators[index].write);
        }
        ch_revision_record_free(model.record);
    } while (explore_next(&explore));
    g_print("figure: revision interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* After a lost answer, the write IDs decide the outcome: the write is in
 * force, in the history, in neither, or older than the history. */
static void
test_lost_answer(void)
{
    const struct {
        unsigned writes_after; /* by others, since the write */
        bool took_effect;
        enum ch_revision_step expect;
    } cases[] = {
        {0, true, CH_REVISION_ACCEPTED},
        {3, true, CH_REVISION_ACCEPTED},
        {0, false, CH_REVISION_WRITE},
        {1, false, CH_REVISION_CONFLICT},
        {CH_REVISION_HISTORY_LENGTH + 1, true, CH_REVISION_OUTCOME_UNKNOWN},
        {CH_REVISION_HISTORY_LENGTH + 1, false, CH_REVISION_OUTCOME_UNKNOWN},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_revision_write write;
        struct ch_revision_record *record =
            ch_revision_record_new("base", "a", "x", NULL, 0);
        uint64_t revision = 5;
        ch_revision_write_init(&write, revision, "mine");
        g_assert_cmpint(
            ch_revision_write_handle_read(&write, CH_OK, record, 5), ==,
            CH_REVISION_WRITE);
        g_assert_cmpint(
            ch_revision_write_handle_write(&write, CH_KV_AMBIGUOUS, 0), ==,
            CH_REVISION_READ);
        unsigned write_count = cases[i].writes_after + cases[i].took_effect;
        for (unsigned k = 0; k < write_count; k++) {
            bool is_own = k == 0 && cases[i].took_effect;
            struct ch_revision_record *next = ch_revision_record_new(
                is_own ? "mine" : "theirs", "b", "y", record, revision++);
            ch_revision_record_free(record);
            record = next;
        }
        g_assert_cmpint(
            ch_revision_write_handle_read(&write, CH_OK, record, revision), ==,
            cases[i].expect);
        if (cases[i].expect == CH_REVISION_ACCEPTED) {
            g_assert_cmpuint(write.revision, ==, 6);
        }
        ch_revision_write_clear(&write);
        ch_revision_record_free(record);
    }
}

/* Older and equal revisions are not applied. */
static void
test_older_revision(void)
{
    g_assert_true(ch_revision_is_newer(0, 1));
    g_assert_false(ch_revision_is_newer(1, 1));
    g_assert_false(ch_revision_is_newer(2, 1));
    g_assert_false(ch_revision_is_newer(0, 0));
}

/* A record printed as JSON and parsed again is the same; a truncated one is
 * refused. */
static void
test_record_json(void)
{
    struct ch_revision_record *first =
        ch_revision_record_new("t1", "eira", "[class a]\n", NULL, 0);
    struct ch_revision_record *second =
        ch_revision_record_new("t2", "bob", "[class \"b\"]\n", first, 7);
    g_autofree char *json = ch_revision_record_print(second);
    struct ch_revision_record *parsed =
        ch_revision_record_parse(json, strlen(json), NULL);
    g_assert_nonnull(parsed);
    g_autofree char *printed_again = ch_revision_record_print(parsed);
    g_assert_cmpstr(json, ==, printed_again);
    g_assert_cmpuint(parsed->history[0].revision, ==, 7);
    for (size_t cut = 0; cut < strlen(json); cut++) {
        g_assert_null(ch_revision_record_parse(json, cut, NULL));
    }
    ch_revision_record_free(first);
    ch_revision_record_free(second);
    ch_revision_record_free(parsed);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/revision/every-order", test_every_order);
    g_test_add_func("/revision/resolve", test_lost_answer);
    g_test_add_func("/revision/newer", test_older_revision);
    g_test_add_func("/revision/record", test_record_json);
    return g_test_run();
}
