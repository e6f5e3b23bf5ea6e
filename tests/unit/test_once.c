/* At-most-once execution: encoding of batches, the log, and the state machine
 * of a slot, explored in every order of events up to a bound against a small
 * model of the key-value store. */

#include "decide/once.h"

#include "unit/explore.h"

#include <string.h>

enum {
    BATCH_DELAY_US = 5 * 1000,
    RETENTION_US = 1000 * 1000 * 1000,
    MAX_BATCHES = 8,
    OWNERS = 2,
};

/* ---- model: a key-value store and owner nodes that call it ---- */

struct model_batch {
    char *bytes; /* NULL: absent */
    uint64_t revision;
};

struct model {
    struct model_batch batches[MAX_BATCHES + 1]; /* index 0 is not used */
    uint64_t revision;
    struct ch_once_slot *owner[OWNERS];
    struct ch_once_action call[OWNERS]; /* in progress if in_call */
    bool in_call[OWNERS];
    int replies[8]; /* by waiter: 1 + state; 0: no reply yet */
    uint64_t completed[8];
    char *late_put; /* a put that arrives after its sender gave up */
    uint64_t late_sequence;
    int64_t now;
};

/* Carries out the actions of an owner: starts a call, records replies. */
static void
model_run_actions(struct model *model, unsigned owner,
                  struct ch_once_actions *actions)
{
    for (guint i = 0; i < actions->list->len; i++) {
        struct ch_once_action *action =
            &g_array_index(actions->list, struct ch_once_action, i);
        if (action->kind == CH_ONCE_REPLY) {
            g_assert_cmpint(model->replies[action->waiter], ==, 0);
            model->replies[action->waiter] = 1 + (int)action->state;
            model->completed[action->waiter] = action->completed_sequence;
            continue;
        }
        g_assert_false(model->in_call[owner]);
        model->in_call[owner] = true;
        model->call[owner] = *action;
        action->bytes = NULL;
    }
    ch_once_actions_clear(actions);
}

/* Makes an event of an attempt for a key. */
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

/* Adds an event at an owner and lets the batch delay pass. */
static void
model_add(struct model *model, unsigned owner, struct ch_once_event *event,
          uint64_t waiter)
{
    struct ch_once_actions actions;
    ch_once_actions_init(&actions);
    ch_once_slot_add_event(model->owner[owner], event, waiter, model->now,
                           &actions);
    model_run_actions(model, owner, &actions);
    ch_once_actions_init(&actions);
    model->now += BATCH_DELAY_US + 1;
    ch_once_slot_tick(model->owner[owner], false, model->now, &actions);
    model_run_actions(model, owner, &actions);
}

/* Creates a batch if its sequence is absent. */
static enum ch_code
model_put(struct model *model, uint64_t sequence, const char *bytes)
{
    g_assert_cmpuint(sequence, <=, MAX_BATCHES);
    struct model_batch *batch = &model->batches[sequence];
    if (batch->bytes != NULL) {
        return CH_KV_CONFLICT;
    }
    batch->bytes = g_strdup(bytes);
    batch->revision = ++model->revision;
    return CH_OK;
}

/* Answers a LIST; lost: the result does not arrive. */
static void
model_list(struct model *model, unsigned owner, bool lost,
           struct ch_once_actions *actions)
{
    struct ch_once_batch_entry listed[MAX_BATCHES];
    size_t count = 0;
    for (uint64_t i = 1; i <= MAX_BATCHES; i++) {
        const struct model_batch *batch = &model->batches[i];
        if (batch->bytes != NULL) {
            listed[count++] = (struct ch_once_batch_entry){
                i, batch->revision, batch->bytes, strlen(batch->bytes)};
        }
    }
    ch_once_slot_handle_list(model->owner[owner],
                             lost ? CH_KV_UNREACHABLE : CH_OK, listed,
                             lost ? 0 : count, model->now, actions);
}

/* Answers a GET; lost: the result does not arrive. */
static void
model_get(struct model *model, unsigned owner, uint64_t sequence, bool lost,
          struct ch_once_actions *actions)
{
    const struct model_batch *batch = &model->batches[sequence];
    enum ch_code code = batch->bytes == NULL ? CH_KV_MISSING : CH_OK;
    ch_once_slot_handle_get(model->owner[owner],
                            lost ? CH_KV_UNREACHABLE : code, batch->bytes,
                            batch->bytes ? strlen(batch->bytes) : 0,
                            batch->revision, model->now, actions);
}

enum outcome {
    OUTCOME_REPLIED,
    OUTCOME_DONE_REPLY_LOST,
    OUTCOME_NOT_DONE,
    OUTCOME_LATE, /* PUT only: no reply; takes effect at any time */
};

/* Carries out the call that an owner has in progress. */
static void
model_finish_call(struct model *model, unsigned owner, enum outcome outcome)
{
    struct ch_once_action call = model->call[owner];
    struct ch_once_actions actions;
    enum ch_code code = CH_KV_AMBIGUOUS;
    ch_once_actions_init(&actions);
    model->in_call[owner] = false;
    switch (call.kind) {
    case CH_ONCE_LIST:
        model_list(model, owner, outcome != OUTCOME_REPLIED, &actions);
        break;
    case CH_ONCE_GET:
        model_get(model, owner, call.sequence, outcome != OUTCOME_REPLIED,
                  &actions);
        break;
    default:
        if (outcome == OUTCOME_LATE && model->late_put == NULL) {
            model->late_put = g_strdup(call.bytes);
            model->late_sequence = call.sequence;
        }
        else if (outcome == OUTCOME_REPLIED ||
                 outcome == OUTCOME_DONE_REPLY_LOST) {
            code = model_put(model, call.sequence, call.bytes);
        }
        ch_once_slot_handle_put(model->owner[owner],
                                outcome == OUTCOME_REPLIED ? code
                                                           : CH_KV_AMBIGUOUS,
                                model->revision, model->now, &actions);
    }
    g_free(call.bytes);
    model_run_actions(model, owner, &actions);
}

/* Completes the calls of an owner until none is in progress. */
static void
model_finish_calls(struct model *model, unsigned owner)
{
    for (int i = 0; i < 50 && model->in_call[owner]; i++) {
        model_finish_call(model, owner, OUTCOME_REPLIED);
    }
    g_assert_false(model->in_call[owner]);
}

static void
model_init(struct model *model)
{
    *model = (struct model){0};
    for (unsigned i = 0; i < OWNERS; i++) {
        model->owner[i] =
            ch_once_slot_new(i + 1, BATCH_DELAY_US, RETENTION_US);
    }
}

static void
model_clear(struct model *model)
{
    for (unsigned i = 0; i < OWNERS; i++) {
        ch_once_slot_free(model->owner[i]);
        if (model->in_call[i]) {
            g_free(model->call[i].bytes);
        }
    }
    for (unsigned i = 1; i <= MAX_BATCHES; i++) {
        g_free(model->batches[i].bytes);
    }
    g_free(model->late_put);
}

/* ---- every order of events ---- */

/* Makes one move that is possible now; false when there is none. */
static bool
explore_move(struct model *model, struct explore *explore, bool *requested)
{
    unsigned moves[8];
    unsigned count = 0;
    for (unsigned owner = 0; owner < OWNERS; owner++) {
        if (model->in_call[owner]) {
            moves[count++] = owner;
        }
        if (!requested[owner]) {
            moves[count++] = 2 + owner;
        }
    }
    if (model->late_put != NULL) {
        moves[count++] = 4;
    }
    if (count == 0) {
        return false;
    }
    unsigned move = moves[explore_choose(explore, count)];
    if (move < 2) {
        bool put = model->call[move].kind == CH_ONCE_PUT;
        unsigned outcome = explore_choose(explore, put ? 4 : 2);
        model_finish_call(model, move,
                          put || outcome == 0 ? (enum outcome)outcome
                                              : OUTCOME_NOT_DONE);
    }
    else if (move < 4) {
        unsigned owner = move - 2;
        requested[owner] = true;
        model_add(model, owner,
                  event_new(CH_ONCE_EVENT_CREATE, "k", owner + 1), owner + 1);
    }
    else {
        (void)model_put(model, model->late_sequence, model->late_put);
        g_clear_pointer(&model->late_put, g_free);
    }
    return true;
}

/*
 * Guards against a request that runs twice: two entry nodes send the same key,
 * each to a different node that acts as the slot's owner, while replies of the
 * key-value store are lost or a write takes effect after its sender gave up.
 * At most one of the two may get the state CREATED.
 */
static void
test_every_order(void)
{
    struct explore explore = {.bound = 16};
    guint64 total_created = 0;
    do {
        struct model model;
        bool requested[OWNERS] = {false, false};
        model_init(&model);
        for (int i = 0; i < 60; i++) {
            if (!explore_move(&model, &explore, requested)) {
                break;
            }
        }
        unsigned created_count = 0;
        for (unsigned i = 1; i <= OWNERS; i++) {
            created_count += model.replies[i] == 1 + CH_ONCE_CREATED;
            g_assert_cmpint(model.replies[i], !=, 0);
        }
        g_assert_cmpuint(created_count, <=, 1);
        total_created += created_count;
        model_clear(&model);
    } while (explore_next(&explore));
    g_assert_cmpuint(total_created, >, 0);
    g_print("figure: once interleavings %" G_GUINT64_FORMAT "\n",
            explore.runs);
}

/* ---- counter-examples of tests/spec/once.pml as cases ---- */

/*
 * MUTATION_NO_CHECK: guards against a paused owner that reuses a sequence.
 * Owner 1 lists an empty slot and is paused.  Owner 0 writes two batches, of
 * which the second gives the key to attempt 2, and the first expires.  Owner 1
 * resumes and creates the first sequence again, for attempt 1.  It must not
 * get the state CREATED, because attempt 2 was dispatched.
 */
static void
test_paused_owner(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 1, event_new(CH_ONCE_EVENT_CREATE, "k", 1), 1);
    model_finish_call(&model, 1, OUTCOME_REPLIED);
    g_assert_true(model.in_call[1]);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "other", 9), 3);
    model_finish_calls(&model, 0);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 2), 2);
    model_finish_calls(&model, 0);
    g_assert_cmpint(model.replies[2], ==, 1 + CH_ONCE_CREATED);
    g_clear_pointer(&model.batches[1].bytes, g_free);
    model_finish_calls(&model, 1);
    g_assert_cmpint(model.replies[1], ==, 1 + CH_ONCE_IN_PROGRESS);
    model_clear(&model);
}

/* MUTATION_NO_LINKS: a first sequence that was created again must not count
 * for an entry node that reads the log itself after the owner was lost. */
static void
test_unlinked_batch(void)
{
    struct ch_once_log *log = ch_once_log_new();
    struct ch_once_batch_entry listed[2];
    char *bytes[2];
    const uint64_t previous[] = {0, 5};
    const uint64_t attempts[] = {1, 2};
    for (unsigned i = 0; i < 2; i++) {
        struct ch_once_batch *batch = ch_once_batch_new(previous[i], "w");
        g_ptr_array_add(batch->events,
                        event_new(CH_ONCE_EVENT_CREATE, "k", attempts[i]));
        bytes[i] = ch_once_batch_encode(batch);
        listed[i] = (struct ch_once_batch_entry){i + 1, 9 - i, bytes[i],
                                                 strlen(bytes[i])};
        ch_once_batch_free(batch);
    }
    g_assert_true(ch_once_log_load(log, listed, 2, 0, NULL));
    g_assert_cmpuint(ch_once_log_find(log, "c", "k")->attempt, ==, 2);
    g_assert_false(ch_once_log_contains(log, 1, 9));
    listed[0].revision = 5;
    g_assert_true(ch_once_log_load(log, listed, 2, 0, NULL));
    g_assert_cmpuint(ch_once_log_find(log, "c", "k")->attempt, ==, 1);
    listed[1].length = 3;
    g_assert_false(ch_once_log_load(log, listed, 2, 0, NULL));
    ch_once_log_free(log);
    g_free(bytes[0]);
    g_free(bytes[1]);
}

/* The states of a key: created, asked for again, released and then free for
 * another attempt, completed, used with another body.  Steps alternate between
 * two owners, whose copies of the log may be older. */
static void
test_key_states(void)
{
    const struct {
        unsigned owner;
        enum ch_once_event_kind kind;
        uint64_t attempt;
        uint64_t fingerprint;
        enum ch_once_state expect;
    } steps[] = {
        {0, CH_ONCE_EVENT_CREATE, 1, 7, CH_ONCE_CREATED},
        {0, CH_ONCE_EVENT_CREATE, 1, 7, CH_ONCE_CREATED},
        {1, CH_ONCE_EVENT_CREATE, 2, 7, CH_ONCE_IN_PROGRESS},
        {0, CH_ONCE_EVENT_RELEASE, 2, 7, CH_ONCE_DONE},
        {0, CH_ONCE_EVENT_CREATE, 2, 7, CH_ONCE_IN_PROGRESS},
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
            event->response_stored = true;
            event->status = 200;
            event->body = g_memdup2("cut", 3);
            event->body_length = 3;
        }
        model.replies[1] = 0;
        model_add(&model, steps[i].owner, event, 1);
        model_finish_calls(&model, steps[i].owner);
        g_assert_cmpint(model.replies[1], ==, 1 + (int)steps[i].expect);
        if (steps[i].kind == CH_ONCE_EVENT_CREATE &&
            steps[i].expect == CH_ONCE_DONE) {
            g_assert_cmpuint(model.completed[1], !=, 0);
        }
    }
    model_clear(&model);
}

/*
 * Guards against callers that wait through an outage of the key-value store.
 * The first caller waits for the call that fails; later ones are refused at
 * once, without a call, until the backoff is over.
 */
static void
test_outage(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 1), 1);
    model_finish_call(&model, 0, OUTCOME_NOT_DONE);
    g_assert_cmpint(model.replies[1], ==, 1 + CH_ONCE_REFUSED);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 2), 2);
    g_assert_cmpint(model.replies[2], ==, 1 + CH_ONCE_REFUSED);
    g_assert_false(model.in_call[0]);
    model.now += (int64_t)10 * G_USEC_PER_SEC;
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "k", 3), 3);
    model_finish_calls(&model, 0);
    g_assert_cmpint(model.replies[3], ==, 1 + CH_ONCE_CREATED);
    model_clear(&model);
}

/* Batches older than the retention are removed in order, all but the last. */
static void
test_expiry(void)
{
    struct model model;
    model_init(&model);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "a", 1), 1);
    model_finish_calls(&model, 0);
    model_add(&model, 0, event_new(CH_ONCE_EVENT_CREATE, "b", 2), 2);
    model_finish_calls(&model, 0);
    model.now += RETENTION_US + 1;
    for (int i = 0; i < 2; i++) {
        struct ch_once_actions actions;
        ch_once_actions_init(&actions);
        ch_once_slot_tick(model.owner[0], true, model.now, &actions);
        g_assert_cmpuint(actions.list->len, ==, i == 0 ? 1 : 0);
        if (i == 0) {
            const struct ch_once_action *action =
                &g_array_index(actions.list, struct ch_once_action, 0);
            g_assert_cmpint(action->kind, ==, CH_ONCE_REMOVE);
            g_assert_cmpuint(action->sequence, ==, 1);
            ch_once_slot_handle_remove(model.owner[0], CH_OK, model.now,
                                       &actions);
        }
        ch_once_actions_clear(&actions);
    }
    model_clear(&model);
}

/* A batch is decoded as it was encoded; a truncated batch is an error. */
static void
test_batch(void)
{
    struct ch_once_batch *batch = ch_once_batch_new(3, "w");
    struct ch_once_event *event =
        event_new(CH_ONCE_EVENT_COMPLETE, "k", UINT64_MAX);
    event->response_stored = true;
    event->status = 201;
    event->content_type = g_strdup("text/plain; charset=\"x\"");
    event->body = g_memdup2("a\0b", 3);
    event->body_length = 3;
    g_free(event->caller);
    event->caller = g_strdup("Band \xe9\"\n%");
    g_ptr_array_add(batch->events, event);
    char *bytes = ch_once_batch_encode(batch);
    struct ch_once_batch *decoded =
        ch_once_batch_decode(bytes, strlen(bytes), NULL);
    g_assert_nonnull(decoded);
    const struct ch_once_event *completion =
        ch_once_batch_find_completion(decoded, event->caller, "k", UINT64_MAX);
    g_assert_nonnull(completion);
    g_assert_cmpmem(completion->body, completion->body_length, "a\0b", 3);
    g_assert_cmpint(completion->status, ==, 201);
    g_assert_cmpstr(completion->content_type, ==, event->content_type);
    for (size_t length = 0; length < strlen(bytes); length++) {
        struct ch_error error = {0};
        g_assert_null(ch_once_batch_decode(bytes, length, &error));
        g_assert_cmpint(error.code, ==, CH_BAD_JSON);
    }
    g_free(bytes);
    ch_once_batch_free(batch);
    ch_once_batch_free(decoded);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/once/every-order", test_every_order);
    g_test_add_func("/once/paused-home", test_paused_owner);
    g_test_add_func("/once/unlinked-batch", test_unlinked_batch);
    g_test_add_func("/once/course", test_key_states);
    g_test_add_func("/once/outage", test_outage);
    g_test_add_func("/once/expiry", test_expiry);
    g_test_add_func("/once/batch", test_batch);
    return g_test_run();
}
