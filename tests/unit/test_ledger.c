/* The reservation ledger: what gives room back, and every order of events up
 * to a bound against a small model of an engine. */

#include "decide/ledger.h"

#include "unit/explore.h"

#include <string.h>

#define OLD "n1#1"
#define NEW "n1#2"
#define OTHER "n2#1"

/* ---- cases: one line a step ---- */

struct step {
    const char *what; /* reserve, release, resend, end, refused, earlier or
                         report (then order: boot, item: resident) */
    const char *item;
    const char *order;
    const char *sender; /* of a report: the orders done, "l1 u1" */
    bool expect;
    const char *after; /* "item:state ..." with state r, R or u, and exposed */
};

/* Carries out a report step. */
static bool
step_report(struct ch_ledger *ledger, const struct step *step)
{
    g_auto(GStrv) done = g_strsplit(step->sender, " ", -1);
    g_auto(GStrv) resident = g_strsplit(step->item, " ", -1);
    const uint32_t memory[] = {1, 1, 1, 1};
    const struct ch_ledger_evidence evidence = {
        .boot = step->order,
        .resident = (const char *const *)resident,
        .resident_mb = memory,
        .resident_count = step->item[0] == '\0' ? 0 : g_strv_length(resident),
        .orders_done = (const char *const *)done,
        .orders_done_count = g_strv_length(done),
        .after_ends = true,
    };
    return ch_ledger_observe(ledger, &evidence);
}

/* Carries out a step; its result. */
static bool
step_run(struct ch_ledger *ledger, const struct step *step)
{
    if (strcmp(step->what, "reserve") == 0) {
        return ch_ledger_reserve(ledger, step->item, 1, step->order,
                                 step->sender, NULL);
    }
    if (strcmp(step->what, "release") == 0) {
        return ch_ledger_release(ledger, step->item, step->order, NULL);
    }
    if (strcmp(step->what, "resend") == 0) {
        return ch_ledger_resend(ledger, step->item, step->sender, NULL);
    }
    if (strcmp(step->what, "earlier") == 0) {
        return ch_ledger_end_earlier(ledger, step->sender);
    }
    if (strcmp(step->what, "report") == 0) {
        return step_report(ledger, step);
    }
    return ch_ledger_end(ledger, step->order, step->sender,
                         strcmp(step->what, "refused") == 0);
}

/* The ledger in the words of the cases. */
static char *
describe(const struct ch_ledger *ledger)
{
    GString *text = g_string_new(NULL);
    for (size_t i = 0; i < ledger->count; i++) {
        g_string_append_printf(text, "%s:%c ", ledger->entries[i].item,
                               "rRu"[ledger->entries[i].state]);
    }
    g_string_append_printf(text, "%u", ch_ledger_exposed(ledger));
    return g_string_free(text, FALSE);
}

#define FIRST                                                                 \
    {                                                                         \
        "report", "", "b1", "", true, "0"                                     \
    }

static const struct step course[] = {
    {"reserve", "m1", "l1", OLD, false, "0"},
    FIRST,
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"reserve", "m1", "l2", OLD, false, "m1:r 1"},
    {"release", "m1", "u1", OLD, false, "m1:r 1"},
    /* Resident alone is no evidence that l1 will not arrive. */
    {"report", "m1", "b1", "", false, "m1:r 1"},
    {"end", "", "l1", OLD, true, "m1:r 1"},
    {"report", "m1", "b1", "l1", true, "m1:R 0"},
    {"release", "m1", "u1", OLD, true, "m1:u 0"},
    {"report", "", "b1", "l1", false, "m1:u 0"},
    {"report", "", "b1", "l1 u1", true, "0"},
};

static const struct step full[] = {
    FIRST,
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"reserve", "m2", "l2", OLD, true, "m1:r m2:r 2"},
    {"reserve", "m3", "l3", OLD, false, "m1:r m2:r 2"},
    {"refused", "", "l2", OLD, true, "m1:r 1"},
    {"reserve", "m3", "l3", OLD, true, "m1:r m3:r 2"},
};

/* MUTATION_REFUSED_FREES: two copies went out, one was refused; the other may
 * yet be carried out. */
static const struct step refused_once[] = {
    FIRST,
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"end", "", "l1", OLD, true, "m1:r 1"},
    {"resend", "m1", "", OLD, true, "m1:r 1"},
    {"refused", "", "l1", OLD, true, "m1:r 1"},
    {"report", "", "b1", "", true, "m1:r 0"},
    {"reserve", "m2", "l2", OLD, true, "m1:r m2:r 1"},
    {"reserve", "m3", "l3", OLD, false, "m1:r m2:r 1"},
};

/* MUTATION_DROP_AT_BOOT: a copy that never settled is counted in the new boot,
 * also when its model was unloaded in the old one; one that settled is not. */
static const struct step new_boot[] = {
    FIRST,
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"reserve", "m2", "l2", OLD, true, "m1:r m2:r 2"},
    {"end", "", "l2", OLD, true, "m1:r m2:r 2"},
    {"report", "m1 m2", "b1", "l1 l2", true, "m1:R m2:R 1"},
    {"release", "m1", "u1", OLD, true, "m1:u m2:R 1"},
    {"report", "m2", "b1", "l1 l2 u1", true, "m2:R 1"},
    {"report", "", "b2", "", true, "m1:r 1"},
    {"resend", "m1", "", OTHER, true, "m1:r 1"},
    {"report", "m1", "b2", "l1", true, "m1:R 1"},
};

/* MUTATION_NO_EXPOSURE: m1's order never settled, so a new boot may meet it;
 * beside it there is room for one more order on its way, though the boot of
 * now has room for two. */
static const struct step exposure[] = {
    FIRST,
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"report", "m1", "b1", "l1", true, "m1:R 1"},
    {"release", "m1", "u1", OLD, true, "m1:u 1"},
    {"report", "", "b1", "l1 u1", true, "1"},
    {"reserve", "m2", "l2", OLD, true, "m2:r 2"},
    {"reserve", "m3", "l3", OLD, false, "m2:r 2"},
    {"earlier", "", "", NEW, true, "m2:r 2"},
    {"report", "", "b1", "l1 u1", true, "m2:r 0"},
    {"reserve", "m3", "l3", NEW, true, "m2:r m3:r 1"},
};

/* An unload that arrives after a later load of the same model: it is not taken
 * for the model's absence before it was seen carried out, and when the model
 * goes all the same, the ledger follows the engine. */
static const struct step late_unload[] = {
    FIRST,
    {"report", "m1", "b1", "", true, "m1:R 0"},
    {"release", "m1", "u1", OLD, true, "m1:u 0"},
    {"reserve", "m1", "l1", OLD, false, "m1:u 0"},
    {"report", "", "b2", "", true, "0"},
    {"reserve", "m1", "l1", OLD, true, "m1:r 1"},
    {"end", "", "l1", OLD, true, "m1:r 1"},
    {"report", "m1", "b2", "l1", true, "m1:R 0"},
    {"report", "", "b2", "l1 u1", true, "0"},
};

#undef FIRST

static const struct {
    const char *name;
    const struct step *steps;
    size_t count;
} courses[] = {
    {"course", course, G_N_ELEMENTS(course)},
    {"full", full, G_N_ELEMENTS(full)},
    {"refused-once", refused_once, G_N_ELEMENTS(refused_once)},
    {"new-boot", new_boot, G_N_ELEMENTS(new_boot)},
    {"exposure", exposure, G_N_ELEMENTS(exposure)},
    {"late-unload", late_unload, G_N_ELEMENTS(late_unload)},
};

/* Runs a course; after each step also through the JSON and back. */
static void
test_course(const void *data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    struct ch_ledger *ledger = ch_ledger_new("w01", 2);
    for (size_t i = 0; i < courses[index].count; i++) {
        const struct step *step = &courses[index].steps[i];
        struct ch_ledger *next = ch_ledger_next(ledger, "w");
        bool result = step_run(next, step);
        g_autofree char *text = describe(next);
        g_test_message("%zu: %s %s", i, step->what, text);
        g_assert_cmpint(result, ==, step->expect);
        g_assert_cmpstr(text, ==, step->after);
        g_autofree char *json = ch_ledger_print(next);
        struct ch_ledger *back = ch_ledger_parse(json, strlen(json), NULL);
        g_assert_nonnull(back);
        g_autofree char *again = ch_ledger_print(back);
        g_assert_cmpstr(json, ==, again);
        ch_ledger_free(next);
        ch_ledger_free(ledger);
        ledger = back;
    }
    ch_ledger_free(ledger);
}

/* ---- every order of events ---- */

enum {
    HOLDERS = 2,
    ORDERS = 4,
    ITEMS = 2,
};

static const char *const items[] = {"m1", "m2"};
static const char *const orders[] = {"l0", "l1", "l2", "l3"};
static const char *const senders[] = {OLD, OTHER};

/* One engine of room for one item, and two nodes that believe to be its home.
 */
struct model {
    struct ch_ledger *kv;
    struct ch_ledger *known[HOLDERS];
    int sending[HOLDERS];     /* an order written and not yet sent; -1: none */
    bool on_way[ORDERS];      /* sent and not answered */
    unsigned held_by[ORDERS]; /* boot + 1 that may read it late; 0: none */
    unsigned sender[ORDERS];
    unsigned item[ORDERS];
    int given;
    unsigned boot;
    bool resident[ITEMS];
    bool done[ORDERS];
};

/* The engine reads an order. */
static void
model_arrives(struct model *model, int order)
{
    if (model->done[order]) {
        return;
    }
    model->done[order] = true;
    model->resident[model->item[order]] = true;
    g_assert_false(model->resident[0] && model->resident[1]);
}

/* Applies the engine's present report. */
static bool
model_observe(const struct model *model, struct ch_ledger *ledger)
{
    char boot[8];
    const char *resident[ITEMS];
    const char *done[ORDERS];
    const uint32_t memory[] = {1, 1};
    struct ch_ledger_evidence evidence = {
        .boot = boot,
        .resident = resident,
        .resident_mb = memory,
        .orders_done = done,
        .after_ends = true,
    };
    (void)g_snprintf(boot, sizeof(boot), "b%u", model->boot);
    for (int i = 0; i < ITEMS; i++) {
        if (model->resident[i]) {
            resident[evidence.resident_count++] = items[i];
        }
    }
    for (int i = 0; i < ORDERS; i++) {
        if (model->done[i]) {
            done[evidence.orders_done_count++] = orders[i];
        }
    }
    return ch_ledger_observe(ledger, &evidence);
}

/* A holder writes a change; true when the compare-and-swap succeeded. */
static bool
model_write(struct model *model, unsigned holder, struct ch_ledger *next)
{
    struct ch_ledger *known = model->known[holder];
    if (known->version != model->kv->version) {
        ch_ledger_free(next);
        ch_ledger_free(known);
        model->known[holder] = ch_ledger_copy(model->kv);
        return false;
    }
    ch_ledger_free(model->kv);
    model->kv = ch_ledger_copy(next);
    ch_ledger_free(known);
    model->known[holder] = next;
    return true;
}

/* A holder reserves an item; the order is sent in a later move. */
static void
model_reserve(struct model *model, unsigned holder, unsigned item)
{
    struct ch_ledger *next = ch_ledger_next(model->known[holder], "w");
    int order = model->given;
    if (order == ORDERS ||
        !ch_ledger_reserve(next, items[item], 1, orders[order],
                           senders[holder], NULL)) {
        ch_ledger_free(next);
        return;
    }
    model->given++;
    model->item[order] = item;
    model->sender[order] = holder;
    if (model_write(model, holder, next)) {
        model->sending[holder] = order;
    }
}

/* A holder takes a report, and releases what is resident. */
static void
model_report(struct model *model, unsigned holder, bool release)
{
    struct ch_ledger *next = ch_ledger_next(model->known[holder], "w");
    bool changed = model_observe(model, next);
    for (unsigned i = 0; release && i < ITEMS; i++) {
        /* The unload is carried out at once; a late one only makes room. */
        if (ch_ledger_release(next, items[i], "u", NULL)) {
            changed = true;
        }
    }
    if (!changed) {
        ch_ledger_free(next);
    }
    else if (model_write(model, holder, next) && release) {
        model->resident[0] = false;
        model->resident[1] = false;
    }
}

/* The sender notes that its copy has ended. */
static void
model_end(struct model *model, int order)
{
    unsigned holder = model->sender[order];
    model->on_way[order] = false;
    for (int i = 0; i < 2; i++) {
        struct ch_ledger *next = ch_ledger_next(model->known[holder], "w");
        if (!ch_ledger_end(next, orders[order], senders[holder], false)) {
            ch_ledger_free(next);
        }
        else if (model_write(model, holder, next)) {
            return;
        }
    }
}

enum move_kind {
    MOVE_SEND,
    MOVE_RESERVE,
    MOVE_REPORT,
    MOVE_RELEASE,
    MOVE_BOOT,
    MOVE_ARRIVE,
    MOVE_GIVE_UP,
    MOVE_ARRIVE_LATE,
};

struct move {
    enum move_kind kind;
    unsigned holder;
    unsigned which; /* item or order */
};

/* Adds a move to those that are possible. */
static void
add_move(GArray *moves, enum move_kind kind, unsigned holder, unsigned which)
{
    const struct move move = {kind, holder, which};
    g_array_append_val(moves, move);
}

/* What a holder can do. */
static void
holder_moves(const struct model *model, unsigned holder, GArray *moves)
{
    if (model->sending[holder] >= 0) {
        add_move(moves, MOVE_SEND, holder, 0);
        return;
    }
    for (unsigned i = 0; i < ITEMS && model->given < ORDERS; i++) {
        if (ch_ledger_find(model->known[holder], items[i]) == NULL) {
            add_move(moves, MOVE_RESERVE, holder, i);
        }
    }
    add_move(moves, MOVE_REPORT, holder, 0);
    if (model->resident[0] || model->resident[1]) {
        add_move(moves, MOVE_RELEASE, holder, 0);
    }
}

/* What can happen to the orders and the engine. */
static void
world_moves(const struct model *model, GArray *moves)
{
    for (unsigned i = 0; i < ORDERS; i++) {
        if (model->on_way[i]) {
            add_move(moves, MOVE_ARRIVE, 0, i);
            add_move(moves, MOVE_GIVE_UP, 0, i);
        }
        if (model->held_by[i] == model->boot + 1) {
            add_move(moves, MOVE_ARRIVE_LATE, 0, i);
        }
    }
    if (model->given > 0 && model->boot == 0) {
        add_move(moves, MOVE_BOOT, 0, 0);
    }
}

/* Makes a move. */
static void
make_move(struct model *model, const struct move *move)
{
    int order = (int)move->which;
    switch (move->kind) {
    case MOVE_SEND:
        model->on_way[model->sending[move->holder]] = true;
        model->sending[move->holder] = -1;
        break;
    case MOVE_RESERVE:
        model_reserve(model, move->holder, move->which);
        break;
    case MOVE_REPORT:
    case MOVE_RELEASE:
        model_report(model, move->holder, move->kind == MOVE_RELEASE);
        break;
    case MOVE_BOOT:
        model->boot++;
        memset(model->resident, 0, sizeof(model->resident));
        memset(model->done, 0, sizeof(model->done));
        break;
    case MOVE_ARRIVE:
        model_arrives(model, order);
        model_end(model, order);
        break;
    case MOVE_GIVE_UP:
        model->held_by[order] = model->boot + 1;
        model_end(model, order);
        break;
    case MOVE_ARRIVE_LATE:
        model->held_by[order] = 0;
        model_arrives(model, order);
        break;
    }
}

/* One move of the world. */
static void
explore_move(struct model *model, struct explore *explore)
{
    GArray *moves = g_array_new(FALSE, FALSE, sizeof(struct move));
    for (unsigned holder = 0; holder < HOLDERS; holder++) {
        holder_moves(model, holder, moves);
    }
    world_moves(model, moves);
    unsigned chosen = explore_choose(explore, moves->len);
    make_move(model, &g_array_index(moves, struct move, chosen));
    g_array_free(moves, TRUE);
}

/*
 * An operator would see an engine killed for want of memory, some time after a
 * node was paused between its write and its order, or after the engine was
 * started anew while an order was under way.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 7};
    do {
        struct model model = {.sending = {-1, -1}};
        model.kv = ch_ledger_new("w01", 1);
        (void)model_observe(&model, model.kv);
        for (unsigned i = 0; i < HOLDERS; i++) {
            model.known[i] = ch_ledger_copy(model.kv);
        }
        while (explore.depth < explore.bound) {
            explore_move(&model, &explore);
        }
        ch_ledger_free(model.kv);
        for (unsigned i = 0; i < HOLDERS; i++) {
            ch_ledger_free(model.known[i]);
        }
    } while (explore_next(&explore));
    g_print("figure: ledger interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* Damaged records are refused whole. */
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
    for (size_t i = 0; i < G_N_ELEMENTS(courses); i++) {
        g_autofree char *path = g_strconcat("/ledger/", courses[i].name, NULL);
        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_course);
    }
    g_test_add_func("/ledger/every-order", test_every_order);
    g_test_add_func("/ledger/damaged", test_damaged);
    return g_test_run();
}
