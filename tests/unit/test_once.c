/* At most once: batches, the log and the slot's machine, with every order of
 * events up to a bound against a small model of the service. */

#include "decide/once.h"

#include "unit/explore.h"

#include <string.h>

enum {
    GATHER = 5 * 1000,
    KEEP = 1000 * 1000 * 1000,
    MOST_BATCHES = 8,
    HOMES = 2,
};

/* ---- a service, and homes that call it ---- */

struct model_batch {
    char *bytes; /* NULL: absent */
    uint64_t revision;
};

struct model {
    struct model_batch batches[MOST_BATCHES + 1]; /* from 1 */
    uint64_t revision;
    struct ch_once_slot *home[HOMES];
    struct ch_once_action call[HOMES]; /* under way, if called */
    bool called[HOMES];
    int answers[8]; /* by waiter: 1 + state; 0: none yet */
    uint64_t completed[8];
    char *late; /* a put that arrives without its sender */
    uint64_t late_at;
    int64_t now;
};

/* Takes the actions of a home: a call that is now under way, and answers. */
static void
model_take(struct model *model, unsigned home, struct ch_once_actions *actions)
{
    for (guint i = 0; i < actions->list->len; i++) {
        struct ch_once_action *action =
            &g_array_index(actions->list, struct ch_once_action, i);
        if (action->kind == CH_ONCE_ANSWER) {
            g_assert_cmpint(model->answers[action->waiter], ==, 0);
            model->answers[action->waiter] = 1 + (int)action->state;
            model->completed[action->waiter] = action->completed;
            continue;
        }
        g_assert_false(model->called[home]);
        model->called[home] = true;
        model->call[home] = *action;
        action->bytes = NULL;
    }
    ch_once_actions_clear(actions);
}

/* An event of attempt for the one key. */
static struct ch_once_event *
event_new(enum ch_once_event_kind kind, const char *key, uint64_t attempt)
{
    struct ch_once_event *event = g_new0(struct ch_once_event, 1);
    event->kind = kind;
    event->caller = g_strdup("c");
    event->key = g_strdup(key);
    event->attempt = attempt;
    event->fingerprint = 7;
    return event;
}

/* Hands an event to a home. */
static void
model_add(struct model *model, unsigned home, struct ch_once_event *event,
          uint64_t waiter)
{
    struct ch_once_actions actions;
    ch_once_actions_init(&actions);
    ch_once_slot_add(model->home[home], event, waiter, model->now, &actions);
    model_take(model, home, &actions);
    ch_once_actions_init(&actions);
    model->now += GATHER + 1;
    ch_once_slot_tick(model->home[home], false, model->now, &actions);
    model_take(model, home, &actions);
}

/* Creates a batch, if absent. */
static enum ch_code
model_put(struct model *model, uint64_t sequence, const char *bytes)
{
    g_assert_cmpuint(sequence, <=, MOST_BATCHES);
    struct model_batch *batch = &model->batches[sequence];
    if (batch->bytes != NULL) {
        return CH_KV_CONFLICT;
    }
    batch->bytes = g_strdup(bytes);
    batch->revision = ++model->revision;
    return CH_OK;
}

/* Answers a list. */
static void
model_list(struct model *model, unsigned home, bool lost,
           struct ch_once_actions *actions)
{
    struct ch_once_listed listed[MOST_BATCHES];
    size_t count = 0;
    for (uint64_t i = 1; i <= MOST_BATCHES; i++) {
        const struct model_batch *batch = &model->batches[i];
        if (batch->bytes != NULL) {
            listed[count++] = (struct ch_once_listed){
                i, batch->revision, batch->bytes, strlen(batch->bytes)};
        }
    }
    ch_once_slot_listed(model->home[home], lost ? CH_KV_UNREACHABLE : CH_OK,
                        listed, lost ? 0 : count, model->now, actions);
}

/* Answers a get. */
static void
model_get(struct model *model, unsigned home, uint64_t sequence, bool lost,
          struct ch_once_actions *actions)
{
    const struct model_batch *batch = &model->batches[sequence];
    enum ch_code code = batch->bytes == NULL ? CH_KV_MISSING : CH_OK;
    ch_once_slot_got(model->home[home], lost ? CH_KV_UNREACHABLE : code,
                     batch->bytes, batch->bytes ? strlen(batch->bytes) : 0,
                     batch->revision, model->now, actions);
}

enum fate {
    FATE_ANSWERED,
    FATE_DONE_UNANSWERED,
    FATE_NOT_DONE,
    FATE_LATE, /* of a put: no answer, and it may arrive at any time */
};

/* Carries out the call that a home has under way. */
static void
model_call(struct model *model, unsigned home, enum fate fate)
{
    struct ch_once_action call = model->call[home];
    struct ch_once_actions actions;
    enum ch_code code = CH_KV_AMBIGUOUS;
    ch_once_actions_init(&actions);
    model->called[home] = false;
    switch (call.kind) {
    case CH_ONCE_LIST:
        model_list(model, home, fate != FATE_ANSWERED, &actions);
        break;
    case CH_ONCE_GET:
        model_get(model, home, call.sequence, fate != FATE_ANSWERED, &actions);
        break;
    default:
        if (fate == FATE_LATE && model->late == NULL) {
            model->late = g_strdup(call.bytes);
            model->late_at = call.sequence;
        }
        else if (fate == FATE_ANSWERED || fate == FATE_DONE_UNANSWERED) {
            code = model_put(model, call.sequence, call.bytes);
        }
        ch_once_slot_written(model->home[home],
                             fate == FATE_ANSWERED ? code : CH_KV_AMBIGUOUS,
                             model->revision, model->now, &actions);
    }
    g_free(call.bytes);
    model_take(model, home, &actions);
}

/* Calls of a home until it has none. */
static void
model_settle(struct model *model, unsigned home)
{
    for (int i = 0; i < 50 && model->called[home]; i++) {
        model_call(model, home, FATE_ANSWERED);
    }
    g_assert_false(model->called[home]);
}

static void
model_init(struct model *model)
{
    *model = (struct model){0};
    for (unsigned i = 0; i < HOMES; i++) {
        model->home[i] = ch_once_slot_new(i + 1, GATHER, KEEP);
    }
}

static void
model_clear(struct model *model)
{
    for (unsigned i = 0; i < HOMES; i++) {
        ch_once_slot_free(model->home[i]);
        if (model->called[i]) {
            g_free(model->call[i].bytes);
        }
    }
    for (unsigned i = 1; i <= MOST_BATCHES; i++) {
        g_free(model->batches[i].bytes);
    }
    g_free(model->late);
}

/* ---- every order of events ---- */

/* One move of the world; false when nothing can move. */
static bool
explore_move(struct model *model, struct explore *explore, bool *asked)
{
    unsigned moves[8];
    unsigned count = 0;
    for (unsigned home = 0; home < HOMES; home++) {
        if (model->called[home]) {
            moves[count++] = home;
        }
        if (!asked[home]) {
            moves[count++] = 2 + home;
        }
    }
    if (model->late != NULL) {
        moves[count++] = 4;
    }
    if (count == 0) {
        return false;
    }
    unsigned move = moves[explore_choose(explore, count)];
    if (move < 2) {
        bool put = model->call[move].kind == CH_ONCE_PUT;
        unsigned fate = explore_choose(explore, put ? 4 : 2);
        model_call(model, move,
                   put || fate == 0 ? (enum fate)fate : FATE_NOT_DONE);
    }
    else if (move < 4) {
        unsigned home = move - 2;
        asked[home] = true;
        model_add(model, home, event_new(CH_ONCE_EVENT_CREATE, "k", home + 1),
                  home + 1);
    }
    else {
        (void)model_put(model, model->late_at, model->late);
        g_clear_pointer(&model->late, g_free);
    }
    return true;
}

/*
 * Two entry nodes send the same key, each to another node that believes to be
 * the slot's home.  Answers of the service are lost, or a write arrives after
 * its sender gave up.  If both were told CREATED the order would be cut twice.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 16};
    guint64 created = 0;
    do {
        struct model model;
        bool asked[HOMES] = {false, false};
        model_init(&model);
        for (int i = 0; i < 60; i++) {
            if (!explore_move(&model, &explore, asked)) {
                break;
            }
        }
        unsigned both = 0;
        for (unsigned i = 1; i <= HOMES; i++) {
            both += model.answers[i] == 1 + CH_ONCE_CREATED;
            g_assert_cmpint(model.answers[i], !=, 0);
        }
        g_assert_cmpuint(both, <=, 1);
        created += both;
        model_clear(&model);
    } while (explore_next(&explore));
    g_assert_cmpuint(created, >, 0);
    g_print("figure: once interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* ---- counter-examples of tests/spec/once.pml as cases ---- */

/*
 * MUTATION_NO_CHECK: home 1 lists an empty slot and is paused.  Home 0 writes
 * two batches, the second gives the key to attempt 2, and the first expires.
 * Home 1 goes on and creates the first sequence anew, for attempt 1.  It must
 * not be told CREATED, since attempt 2 was dispatched.
 */
static void
test_paused_home(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 1, event_new(CH_ONCE_EVENT_CREATE, "k", 1), 1);
    model_call(&model, 1, FATE_ANSWERED);
    g_assert_true(model.called[1]);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "other", 9), 3);
    model_settle(&model, 0);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 2), 2);
    model_settle(&model, 0);
    g_assert_cmpint(model.answers[2], ==, 1 + CH_ONCE_CREATED);
    g_clear_pointer(&model.batches[1].bytes, g_free);
    model_settle(&model, 1);
    g_assert_cmpint(model.answers[1], ==, 1 + CH_ONCE_RUNNING);
    model_clear(&model);
}

/* MUTATION_NO_LINKS: the same first sequence, created anew, must not count
 * for an entry node that reads the log after its home was lost. */
static void
test_unlinked_batch(void)
{
    struct ch_once_log *log = ch_once_log_new();
    struct ch_once_listed listed[2];
    char *bytes[2];
    const uint64_t previous[] = {0, 5};
    const uint64_t attempts[] = {1, 2};
    for (unsigned i = 0; i < 2; i++) {
        struct ch_once_batch *batch = ch_once_batch_new(previous[i], "w");
        g_ptr_array_add(batch->events,
                        event_new(CH_ONCE_EVENT_CREATE, "k", attempts[i]));
        bytes[i] = ch_once_batch_encode(batch);
        listed[i] =
            (struct ch_once_listed){i + 1, 9 - i, bytes[i], strlen(bytes[i])};
        ch_once_batch_free(batch);
    }
    g_assert_true(ch_once_log_load(log, listed, 2, 0, NULL));
    g_assert_cmpuint(ch_once_log_find(log, "c", "k")->attempt, ==, 2);
    g_assert_false(ch_once_log_holds(log, 1, 9));
    listed[0].revision = 5;
    g_assert_true(ch_once_log_load(log, listed, 2, 0, NULL));
    g_assert_cmpuint(ch_once_log_find(log, "c", "k")->attempt, ==, 1);
    listed[1].length = 3;
    g_assert_false(ch_once_log_load(log, listed, 2, 0, NULL));
    ch_once_log_free(log);
    g_free(bytes[0]);
    g_free(bytes[1]);
}

/* A key's course: created, asked again, completed, asked again; another body;
 * released, and then free for another attempt.  Also at the other home, whose
 * view is older. */
static void
test_course(void)
{
    const struct {
        unsigned home;
        enum ch_once_event_kind kind;
        uint64_t attempt;
        uint64_t fingerprint;
        enum ch_once_state expect;
    } steps[] = {
        {0, CH_ONCE_EVENT_CREATE, 1, 7, CH_ONCE_CREATED},
        {0, CH_ONCE_EVENT_CREATE, 1, 7, CH_ONCE_CREATED},
        {1, CH_ONCE_EVENT_CREATE, 2, 7, CH_ONCE_RUNNING},
        {0, CH_ONCE_EVENT_RELEASE, 2, 7, CH_ONCE_DONE},
        {0, CH_ONCE_EVENT_CREATE, 2, 7, CH_ONCE_RUNNING},
        {0, CH_ONCE_EVENT_RELEASE, 1, 7, CH_ONCE_DONE},
        {1, CH_ONCE_EVENT_CREATE, 3, 7, CH_ONCE_CREATED},
        {0, CH_ONCE_EVENT_COMPLETE, 3, 7, CH_ONCE_DONE},
        {1, CH_ONCE_EVENT_CREATE, 4, 7, CH_ONCE_DONE},
        {0, CH_ONCE_EVENT_CREATE, 4, 8, CH_ONCE_MISMATCH},
    };
    struct model model;
    model_init(&model);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct ch_once_event *event =
            event_new(steps[i].kind, "k", steps[i].attempt);
        event->fingerprint = steps[i].fingerprint;
        if (steps[i].kind == CH_ONCE_EVENT_COMPLETE) {
            event->kept = true;
            event->status = 200;
            event->body = g_memdup2("cut", 3);
            event->length = 3;
        }
        model.answers[1] = 0;
        model_add(&model, steps[i].home, event, 1);
        model_settle(&model, steps[i].home);
        g_assert_cmpint(model.answers[1], ==, 1 + (int)steps[i].expect);
        if (steps[i].kind == CH_ONCE_EVENT_CREATE &&
            steps[i].expect == CH_ONCE_DONE) {
            g_assert_cmpuint(model.completed[1], !=, 0);
        }
    }
    model_clear(&model);
}

/*
 * The service goes away.  The first caller waits for the call that finds out;
 * those after it are refused in the same moment, without a call, until the
 * pause is over.
 */
static void
test_outage(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 1), 1);
    model_call(&model, 0, FATE_NOT_DONE);
    g_assert_cmpint(model.answers[1], ==, 1 + CH_ONCE_REFUSED);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 2), 2);
    g_assert_cmpint(model.answers[2], ==, 1 + CH_ONCE_REFUSED);
    g_assert_false(model.called[0]);
    model.now += (int64_t)10 * G_USEC_PER_SEC;
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 3), 3);
    model_settle(&model, 0);
    g_assert_cmpint(model.answers[3], ==, 1 + CH_ONCE_CREATED);
    model_clear(&model);
}

/* Batches go in order once they are too old, all but the last. */
static void
test_expiry(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "a", 1), 1);
    model_settle(&model, 0);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "b", 2), 2);
    model_settle(&model, 0);
    model.now += KEEP + 1;
    for (int i = 0; i < 2; i++) {
        struct ch_once_actions actions;
        ch_once_actions_init(&actions);
        ch_once_slot_tick(model.home[0], true, model.now, &actions);
        g_assert_cmpuint(actions.list->len, ==, i == 0 ? 1 : 0);
        if (i == 0) {
            const struct ch_once_action *action =
                &g_array_index(actions.list, struct ch_once_action, 0);
            g_assert_cmpint(action->kind, ==, CH_ONCE_REMOVE);
            g_assert_cmpuint(action->sequence, ==, 1);
            ch_once_slot_removed(model.home[0], CH_OK, model.now, &actions);
        }
        ch_once_actions_clear(&actions);
    }
    model_clear(&model);
}

/* What is written is read back the same; what is damaged is refused. */
static void
test_batch(void)
{
    struct ch_once_batch *batch = ch_once_batch_new(3, "w");
    struct ch_once_event *event =
        event_new(CH_ONCE_EVENT_COMPLETE, "k", UINT64_MAX);
    event->kept = true;
    event->status = 201;
    event->content_type = g_strdup("text/plain; charset=\"x\"");
    event->body = g_memdup2("a\0b", 3);
    event->length = 3;
    g_free(event->caller);
    event->caller = g_strdup("Band \xe9\"\n%");
    g_ptr_array_add(batch->events, event);
    char *bytes = ch_once_batch_encode(batch);
    struct ch_once_batch *back =
        ch_once_batch_decode(bytes, strlen(bytes), NULL);
    g_assert_nonnull(back);
    const struct ch_once_event *read =
        ch_once_batch_completion(back, event->caller, "k", UINT64_MAX);
    g_assert_nonnull(read);
    g_assert_cmpmem(read->body, read->length, "a\0b", 3);
    g_assert_cmpint(read->status, ==, 201);
    g_assert_cmpstr(read->content_type, ==, event->content_type);
    for (size_t cut = 0; cut < strlen(bytes); cut++) {
        struct ch_error error = {0};
        g_assert_null(ch_once_batch_decode(bytes, cut, &error));
        g_assert_cmpint(error.code, ==, CH_BAD_JSON);
    }
    g_free(bytes);
    ch_once_batch_free(batch);
    ch_once_batch_free(back);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/once/every-order", test_every_order);
    g_test_add_func("/once/paused-home", test_paused_home);
    g_test_add_func("/once/unlinked-batch", test_unlinked_batch);
    g_test_add_func("/once/course", test_course);
    g_test_add_func("/once/outage", test_outage);
    g_test_add_func("/once/expiry", test_expiry);
    g_test_add_func("/once/batch", test_batch);
    return g_test_run();
}
