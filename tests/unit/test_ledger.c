/* The reservation ledger: when memory is freed, and every order of events up
 * to a bound with a small model of an engine. */

#include "decide/ledger.h"

#include "unit/explore.h"

#include <string.h>

#define OLD_SENDER "n1#1"
#define NEW_SENDER "n1#2"
#define OTHER_SENDER "n2#1"

/* ---- scenarios: one line per step ---- */

/* A report step gives the report's boot ID as order, its resident items as
 * item and its executed orders as sender, such as "l1 u1". */
struct step {
    const char *action; /* reserve, release, resend, end, refused, earlier or
                           report */
    const char *item;
    const char *order;
    const char *sender;
    bool expect;
    const char *after; /* "item:state ..." with state r (reserved), R
                          (resident) or u (unloading), and the MB in flight */
};

/* Applies the report of a step. */
static bool
run_report_step(struct ch_ledger *ledger, const struct step *step)
{
    g_auto(GStrv) done = g_strsplit(step->sender, " ", -1);
    g_auto(GStrv) resident = g_strsplit(step->item, " ", -1);
    const uint32_t memory_mb[] = {1, 1, 1, 1};
    const struct ch_ledger_report report = {
        .boot_id = step->order,
        .resident_items = (const char *const *)resident,
        .resident_mb = memory_mb,
        .resident_count = step->item[0] == '\0' ? 0 : g_strv_length(resident),
        .done_order_ids = (const char *const *)done,
        .done_order_count = g_strv_length(done),
        .requested_after_ends = true,
    };
    return ch_ledger_apply_report(ledger, &report);
}

/* Runs a step and returns the result of its call. */
static bool
run_step(struct ch_ledger *ledger, const struct step *step)
{
    if (strcmp(step->action, "reserve") == 0) {
        return ch_ledger_reserve(ledger, step->item, 1, step->order,
                                 step->sender, NULL);
    }
    if (strcmp(step->action, "release") == 0) {
        return ch_ledger_release(ledger, step->item, step->order, NULL);
    }
    if (strcmp(step->action, "resend") == 0) {
        return ch_ledger_resend(ledger, step->item, step->sender, NULL);
    }
    if (strcmp(step->action, "earlier") == 0) {
        return ch_ledger_end_earlier_sends(ledger, step->sender);
    }
    if (strcmp(step->action, "report") == 0) {
        return run_report_step(ledger, step);
    }
    return ch_ledger_end_send(ledger, step->order, step->sender,
                              strcmp(step->action, "refused") == 0);
}

/* The ledger in the form of step.after. */
static char *
describe(const struct ch_ledger *ledger)
{
    GString *description = g_string_new(NULL);
    for (size_t i = 0; i < ledger->entry_count; i++) {
        g_string_append_printf(description, "%s:%c ", ledger->entries[i].item,
                               "rRu"[ledger->entries[i].state]);
    }
    g_string_append_printf(description, "%u",
                           ch_ledger_get_in_flight_mb(ledger));
    return g_string_free(description, FALSE);
}

#define FIRST_REPORT                                                          \
    {                                                                         \
        "report", "", "b1", "", true, "0"                                     \
    }

static const struct step normal_course[] = {
    {"reserve", "m1", "l1", OLD_SENDER, false, "0"},
    FIRST_REPORT,
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"reserve", "m1", "l2", OLD_SENDER, false, "m1:r 1"},
    {"release", "m1", "u1", OLD_SENDER, false, "m1:r 1"},
    /* A resident m1 alone doesn't prove that l1 can't arrive later. */
    {"report", "m1", "b1", "", false, "m1:r 1"},
    {"end", "", "l1", OLD_SENDER, true, "m1:r 1"},
    {"report", "m1", "b1", "l1", true, "m1:R 0"},
    {"release", "m1", "u1", OLD_SENDER, true, "m1:u 0"},
    {"report", "", "b1", "l1", false, "m1:u 0"},
    {"report", "", "b1", "l1 u1", true, "0"},
};

static const struct step full_memory[] = {
    FIRST_REPORT,
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"reserve", "m2", "l2", OLD_SENDER, true, "m1:r m2:r 2"},
    {"reserve", "m3", "l3", OLD_SENDER, false, "m1:r m2:r 2"},
    {"refused", "", "l2", OLD_SENDER, true, "m1:r 1"},
    {"reserve", "m3", "l3", OLD_SENDER, true, "m1:r m3:r 2"},
};

/* One of two copies was refused, but the other may still be executed, so m1's
 * memory stays reserved.  Fails with the mutation MUTATION_REFUSED_FREES of
 * tests/spec/ledger.pml. */
static const struct step refused_once[] = {
    FIRST_REPORT,
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"end", "", "l1", OLD_SENDER, true, "m1:r 1"},
    {"resend", "m1", "", OLD_SENDER, true, "m1:r 1"},
    {"refused", "", "l1", OLD_SENDER, true, "m1:r 1"},
    {"report", "", "b1", "", true, "m1:r 0"},
    {"reserve", "m2", "l2", OLD_SENDER, true, "m1:r m2:r 1"},
    {"reserve", "m3", "l3", OLD_SENDER, false, "m1:r m2:r 1"},
};

/* After a restart of the engine, a copy that never settled counts as reserved,
 * even if its model was unloaded before the restart; a settled copy doesn't.
 * Fails with the mutation MUTATION_DROP_AT_BOOT of tests/spec/ledger.pml. */
static const struct step new_boot[] = {
    FIRST_REPORT,
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"reserve", "m2", "l2", OLD_SENDER, true, "m1:r m2:r 2"},
    {"end", "", "l2", OLD_SENDER, true, "m1:r m2:r 2"},
    {"report", "m1 m2", "b1", "l1 l2", true, "m1:R m2:R 1"},
    {"release", "m1", "u1", OLD_SENDER, true, "m1:u m2:R 1"},
    {"report", "m2", "b1", "l1 l2 u1", true, "m2:R 1"},
    {"report", "", "b2", "", true, "m1:r 1"},
    {"resend", "m1", "", OTHER_SENDER, true, "m1:r 1"},
    {"report", "m1", "b2", "l1", true, "m1:R 1"},
};

/* m1's order never settled, so a restarted engine may execute it.  Only one
 * more order may be in flight besides, although the current boot has free
 * memory for two.  Fails with the mutation MUTATION_NO_EXPOSURE of
 * tests/spec/ledger.pml. */
static const struct step exposure[] = {
    FIRST_REPORT,
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"report", "m1", "b1", "l1", true, "m1:R 1"},
    {"release", "m1", "u1", OLD_SENDER, true, "m1:u 1"},
    {"report", "", "b1", "l1 u1", true, "1"},
    {"reserve", "m2", "l2", OLD_SENDER, true, "m2:r 2"},
    {"reserve", "m3", "l3", OLD_SENDER, false, "m2:r 2"},
    {"earlier", "", "", NEW_SENDER, true, "m2:r 2"},
    {"report", "", "b1", "l1 u1", true, "m2:r 0"},
    {"reserve", "m3", "l3", NEW_SENDER, true, "m2:r m3:r 1"},
};

/* An unload that arrives after a later load of the same model.  An absent
 * model doesn't count as unloaded before a report shows that the unload was
 * executed, and when the delayed unload does remove the model, the ledger
 * follows the engine. */
static const struct step late_unload[] = {
    FIRST_REPORT,
    {"report", "m1", "b1", "", true, "m1:R 0"},
    {"release", "m1", "u1", OLD_SENDER, true, "m1:u 0"},
    {"reserve", "m1", "l1", OLD_SENDER, false, "m1:u 0"},
    {"report", "", "b2", "", true, "0"},
    {"reserve", "m1", "l1", OLD_SENDER, true, "m1:r 1"},
    {"end", "", "l1", OLD_SENDER, true, "m1:r 1"},
    {"report", "m1", "b2", "l1", true, "m1:R 0"},
    {"report", "", "b2", "l1 u1", true, "0"},
};

#undef FIRST_REPORT

static const struct {
    const char *name;
    const struct step *steps;
    size_t count;
} scenarios[] = {
    {"course", normal_course, G_N_ELEMENTS(normal_course)},
    {"full", full_memory, G_N_ELEMENTS(full_memory)},
    {"refused-once", refused_once, G_N_ELEMENTS(refused_once)},
    {"new-boot", new_boot, G_N_ELEMENTS(new_boot)},
    {"exposure", exposure, G_N_ELEMENTS(exposure)},
    {"late-unload", late_unload, G_N_ELEMENTS(late_unload)},
};

/* Runs a scenario.  After each step the ledger is printed as JSON and parsed
 * again. */
static void
test_scenario(const void *data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    struct ch_ledger *ledger = ch_ledger_new("w01", 2);
    for (size_t i = 0; i < scenarios[index].count; i++) {
        const struct step *step = &scenarios[index].steps[i];
        struct ch_ledger *next = ch_ledger_copy_next(ledger, "w");
        bool result = run_step(next, step);
        g_autofree char *description = describe(next);
        g_test_message("%zu: %s %s", i, step->action, description);
        g_assert_cmpint(result, ==, step->expect);
        g_assert_cmpstr(description, ==, step->after);
        g_autofree char *json = ch_ledger_print(next);
        struct ch_ledger *parsed = ch_ledger_parse(json, strlen(json), NULL);
        g_assert_nonnull(parsed);
        g_autofree char *printed_again = ch_ledger_print(parsed);
        g_assert_cmpstr(json, ==, printed_again);
        ch_ledger_free(next);
        ch_ledger_free(ledger);
        ledger = parsed;
    }
    ch_ledger_free(ledger);
}

/* ---- every order of events ---- */

enum {
    NODES = 2,
    ORDERS = 4,
    ITEMS = 2,
};

static const char *const items[] = {"m1", "m2"};
static const char *const orders[] = {"l0", "l1", "l2", "l3"};
static const char *const senders[] = {OLD_SENDER, OTHER_SENDER};

/* An engine with memory for one item, and two nodes that both consider
 * themselves its home node. */
struct model {
    struct ch_ledger *kv;
    struct ch_ledger *known[NODES];
    int sending[NODES];         /* order recorded and not yet sent; -1: none */
    bool in_flight[ORDERS];     /* sent and not answered */
    unsigned late_boot[ORDERS]; /* 1 + boot that may still execute the order
                                   after its sender gave up; 0: none */
    unsigned sender[ORDERS];
    unsigned item[ORDERS];
    int order_count;
    unsigned boot;
    bool resident[ITEMS];
    bool done[ORDERS];
};

/* The engine receives an order.  Asserts that its memory is not exceeded. */
static void
execute_order(struct model *model, int order)
{
    if (model->done[order]) {
        return;
    }
    model->done[order] = true;
    model->resident[model->item[order]] = true;
    g_assert_false(model->resident[0] && model->resident[1]);
}

/* Applies the engine's current report. */
static bool
apply_report(const struct model *model, struct ch_ledger *ledger)
{
    char boot[8];
    const char *resident[ITEMS];
    const char *done[ORDERS];
    const uint32_t memory_mb[] = {1, 1};
    struct ch_ledger_report report = {
        .boot_id = boot,
        .resident_items = resident,
        .resident_mb = memory_mb,
        .done_order_ids = done,
        .requested_after_ends = true,
    };
    (void)g_snprintf(boot, sizeof(boot), "b%u", model->boot);
    for (int i = 0; i < ITEMS; i++) {
        if (model->resident[i]) {
            resident[report.resident_count++] = items[i];
        }
    }
    for (int i = 0; i < ORDERS; i++) {
        if (model->done[i]) {
            done[report.done_order_count++] = orders[i];
        }
    }
    return ch_ledger_apply_report(ledger, &report);
}

/* A node writes a change.  Returns true when the compare-and-swap succeeded.
 * Takes ownership of next. */
static bool
write_ledger(struct model *model, unsigned node, struct ch_ledger *next)
{
    struct ch_ledger *known = model->known[node];
    if (known->version != model->kv->version) {
        ch_ledger_free(next);
        ch_ledger_free(known);
        model->known[node] = ch_ledger_copy(model->kv);
        return false;
    }
    ch_ledger_free(model->kv);
    model->kv = ch_ledger_copy(next);
    ch_ledger_free(known);
    model->known[node] = next;
    return true;
}

/* A node reserves an item; the order is sent in a later move. */
static void
reserve_item(struct model *model, unsigned node, unsigned item)
{
    struct ch_ledger *next = ch_ledger_copy_next(model->known[node], "w");
    int order = model->order_count;
    if (order == ORDERS ||
        !ch_ledger_reserve(next, items[item], 1, orders[order], senders[node],
                           NULL)) {
        ch_ledger_free(next);
        return;
    }
    model->order_count++;
    model->item[order] = item;
    model->sender[order] = node;
    if (write_ledger(model, node, next)) {
        model->sending[node] = order;
    }
}

/* A node applies a report and unloads all resident items if release is set. */
static void
handle_report(struct model *model, unsigned node, bool release)
{
    struct ch_ledger *next = ch_ledger_copy_next(model->known[node], "w");
    bool changed = apply_report(model, next);
    for (unsigned i = 0; release && i < ITEMS; i++) {
        /* The unload is executed at once; a late one would only free memory.
         */
        if (ch_ledger_release(next, items[i], "u", NULL)) {
            changed = true;
        }
    }
    if (!changed) {
        ch_ledger_free(next);
    }
    else if (write_ledger(model, node, next) && release) {
        model->resident[0] = false;
        model->resident[1] = false;
    }
}

/* The sender records that its copy has ended, and tries again once after a
 * conflict. */
static void
end_order(struct model *model, int order)
{
    unsigned node = model->sender[order];
    model->in_flight[order] = false;
    for (int i = 0; i < 2; i++) {
        struct ch_ledger *next = ch_ledger_copy_next(model->known[node], "w");
        if (!ch_ledger_end_send(next, orders[order], senders[node], false)) {
            ch_ledger_free(next);
        }
        else if (write_ledger(model, node, next)) {
            return;
        }
    }
}

enum move_kind {
    MOVE_SEND,
    MOVE_RESERVE,
    MOVE_REPORT,
    MOVE_RELEASE,
    MOVE_RESTART,
    MOVE_EXECUTE,
    MOVE_GIVE_UP,
    MOVE_EXECUTE_LATE,
};

struct move {
    enum move_kind kind;
    unsigned node;
    unsigned index; /* item or order */
};

static void
add_move(GArray *moves, enum move_kind kind, unsigned node, unsigned index)
{
    const struct move move = {kind, node, index};
    g_array_append_val(moves, move);
}

/* Adds the possible moves of a node. */
static void
add_node_moves(const struct model *model, unsigned node, GArray *moves)
{
    if (model->sending[node] >= 0) {
        add_move(moves, MOVE_SEND, node, 0);
        return;
    }
    for (unsigned i = 0; i < ITEMS && model->order_count < ORDERS; i++) {
        if (ch_ledger_find_entry(model->known[node], items[i]) == NULL) {
            add_move(moves, MOVE_RESERVE, node, i);
        }
    }
    add_move(moves, MOVE_REPORT, node, 0);
    if (model->resident[0] || model->resident[1]) {
        add_move(moves, MOVE_RELEASE, node, 0);
    }
}

/* Adds the possible moves of the orders and the engine. */
static void
add_engine_moves(const struct model *model, GArray *moves)
{
    for (unsigned i = 0; i < ORDERS; i++) {
        if (model->in_flight[i]) {
            add_move(moves, MOVE_EXECUTE, 0, i);
            add_move(moves, MOVE_GIVE_UP, 0, i);
        }
        if (model->late_boot[i] == model->boot + 1) {
            add_move(moves, MOVE_EXECUTE_LATE, 0, i);
        }
    }
    if (model->order_count > 0 && model->boot == 0) {
        add_move(moves, MOVE_RESTART, 0, 0);
    }
}

static void
make_move(struct model *model, const struct move *move)
{
    int order = (int)move->index;
    switch (move->kind) {
    case MOVE_SEND:
        model->in_flight[model->sending[move->node]] = true;
        model->sending[move->node] = -1;
        break;
    case MOVE_RESERVE:
        reserve_item(model, move->node, move->index);
        break;
    case MOVE_REPORT:
    case MOVE_RELEASE:
        handle_report(model, move->node, move->kind == MOVE_RELEASE);
        break;
    case MOVE_RESTART:
        model->boot++;
        memset(model->resident, 0, sizeof(model->resident));
        memset(model->done, 0, sizeof(model->done));
        break;
    case MOVE_EXECUTE:
        execute_order(model, order);
        end_order(model, order);
        break;
    case MOVE_GIVE_UP:
        model->late_boot[order] = model->boot + 1;
        end_order(model, order);
        break;
    case MOVE_EXECUTE_LATE:
        model->late_boot[order] = 0;
        execute_order(model, order);
        break;
    }
}

/* Makes one chosen move. */
static void
make_chosen_move(struct model *model, struct explore *explore)
{
    GArray *moves = g_array_new(FALSE, FALSE, sizeof(struct move));
    for (unsigned node = 0; node < NODES; node++) {
        add_node_moves(model, node, moves);
    }
    add_engine_moves(model, moves);
    unsigned chosen = explore_choose(explore, moves->len);
    make_move(model, &g_array_index(moves, struct move, chosen));
    g_array_free(moves, TRUE);
}

/*
 * Guards against an engine that is killed because its memory is exceeded, some
 * time after a node was paused between its write and its order, or after the
 * engine was restarted while an order was in flight.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 7};
    do {
        struct model model = {.sending = {-1, -1}};
        model.kv = ch_ledger_new("w01", 1);
        (void)apply_report(&model, model.kv);
        for (unsigned i = 0; i < NODES; i++) {
            model.known[i] = ch_ledger_copy(model.kv);
        }
        while (explore.depth < explore.bound) {
            make_chosen_move(&model, &explore);
        }
        ch_ledger_free(model.kv);
        for (unsigned i = 0; i < NODES; i++) {
            ch_ledger_free(model.known[i]);
        }
    } while (explore_next(&explore));
    g_print("figure: ledger interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* A damaged record is refused as a whole. */
static void
test_damaged(void)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{}",
        "{\"upstream\":\"w\",\"version\":-1,\"capacity_mb\":1,\"entries\":[],"
        "\"sends\":[]}",
        "{\"upstream\":\"w\",\"version\":1,\"capacity_mb\":1,\"entries\":[1],"
        "\"sends\":[]}",
        "{\"upstream\":\"w\",\"version\":1,\"capacity_mb\":1,\"entries\":[{"
        "\"item\":\"m\",\"memory_mb\":1,\"state\":\"lost\",\"order\":\"\","
        "\"fence\":1}],\"sends\":[]}",
        "{\"upstream\":\"w\",\"version\":1,\"capacity_mb\":1,\"entries\":[]}",
        "{\"upstream\":\"w\",\"version\":1,\"capacity_mb\":1,\"boot\":7,"
        "\"entries\":[],\"sends\":[]}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct ch_error error = {0};
        g_assert_null(ch_ledger_parse(texts[i], strlen(texts[i]), &error));
        g_assert_cmpint(error.code, ==, CH_BAD_JSON);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        g_autofree char *path =
            g_strconcat("/ledger/", scenarios[i].name, NULL);
        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_scenario);
    }
    g_test_add_func("/ledger/every-order", test_every_order);
    g_test_add_func("/ledger/damaged", test_damaged);
    return g_test_run();
}
