/* What other nodes ask of the homes on this node. */

#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* For what never gets as far as a queue: the configuration or the home
     * will have reached its place by then. */
    RETRY_AFTER_MS = 1000,
};

/* Replies to a frame of which no more than its arrival need be known. */
static void
acknowledge(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    reply.body_case = WIRE(FRAME__BODY_DONE);
    reply.done = &done;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Refuses an Enqueue that never gets as far as a queue. */
static void
refuse_enqueue(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
               enum ch_code code, const char *message)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Refuse refuse = WIRE(REFUSE__INIT);
    refuse.code = (uint32_t)code;
    refuse.message = (char *)message;
    refuse.retry_after_ms = RETRY_AFTER_MS;
    reply.body_case = WIRE(FRAME__BODY_REFUSE);
    reply.refuse = &refuse;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Makes the work of an Enqueue.  Names are looked up in this node's own
 * configuration: what it does not know is not made into a quark, so that
 * quarks stay as few as the names that operators declared. */
static bool
make_work(const struct ch_declaration *declaration,
          const Chestnuthitch__Wire__Enqueue *enqueue, int64_t now,
          struct ch_request_info *work)
{
    *work = (struct ch_request_info){
        .is_service = enqueue->service,
        .tenant = ch_hash_string(enqueue->tenant),
        .prompt_tokens = enqueue->prompt_tokens,
        .max_output_tokens = enqueue->output_tokens,
        .prefix_hash = enqueue->prefix,
        .arrived_at = now,
        .first_token_deadline = now + (int64_t)enqueue->left_us,
        .token_target = (int64_t)enqueue->between_us,
        .answer_deadline =
            enqueue->whole_us > 0 ? now + (int64_t)enqueue->whole_us : 0,
        .attempt = enqueue->attempt,
        .idempotent = enqueue->idempotent,
    };
    if (ch_declaration_class(declaration, enqueue->class_name) < 0) {
        return false;
    }
    work->class_name = g_quark_from_string(enqueue->class_name);
    if (enqueue->service) {
        work->model = g_quark_from_string(enqueue->model);
        return ch_declaration_service(declaration, enqueue->model) >= 0;
    }
    int model = ch_declaration_model(declaration, enqueue->model);
    if (model < 0) {
        return false;
    }
    work->model = g_quark_from_string(enqueue->model);
    work->model_mb = declaration->models[model].memory_mb;
    const char *adapter = strchr(enqueue->adapter, '/');
    if (adapter == NULL) {
        return enqueue->adapter[0] == '\0';
    }
    int index = -1;
    if (ch_declaration_adapter(declaration, adapter + 1, &index) != model) {
        return false;
    }
    work->adapter = g_quark_from_string(enqueue->adapter);
    work->adapter_mb = declaration->models[model].adapter_memory_mb;
    return true;
}

/* Queues another node's request at the home here.  When this node does not
 * hold itself to be home it serves as one all the same until it learns better:
 * two homes cost some quality and no promise. */
static void
queue_remote(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
             struct ch_request_info *work)
{
    int64_t now = ch_client_now(homes->node->client);
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream =
        homes->draining ? NULL
                        : site_find_name(homes, frame->enqueue->upstream);
    if (upstream != NULL) {
        struct ticket *ticket = g_new0(struct ticket, 1);
        ticket->from = g_strdup(frame->from);
        ticket->enqueue = frame->id;
        ch_peers_heard(homes->node->peers, frame->from, &ticket->incarnation);
        uint64_t handle = 0;
        homes->rehome |= upstream->home == NULL;
        home_open(homes, upstream, now, &effects);
        home_offer(homes, upstream, work, ticket, &handle, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    if (upstream == NULL) {
        refuse_enqueue(homes, frame, CH_PEER_LOST, "not home here");
    }
}

/* Handles an Enqueue. */
static void
handle_enqueue(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ch_config *config = ch_config_keeper_current(homes->node->config);
    if (config == NULL) {
        refuse_enqueue(homes, frame, CH_NOT_READY, "no configuration yet");
        return;
    }
    struct ch_request_info work;
    if (make_work(config->declaration, frame->enqueue,
                  ch_client_now(homes->node->client), &work)) {
        queue_remote(homes, frame, &work);
    }
    else {
        refuse_enqueue(homes, frame, CH_UNKNOWN_MODEL,
                       "the home's configuration does not have it yet");
    }
    ch_config_unref(config);
}

/* Handles a Release: acknowledged also when the grant is not known, since it
 * has then ended before. */
static void
handle_release(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ch_timing_sample sample = {
        .code = (enum ch_code)frame->release->code,
        .first_byte_time = (int64_t)frame->release->first_us,
        .token_time = (int64_t)frame->release->token_us,
        .token_count = frame->release->tokens,
    };
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    home_release(homes, frame->release->grant, &sample,
                 ch_client_now(homes->node->client), &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

struct find_pass {
    const char *from;
    uint64_t enqueue;
    uint64_t handle;
};

/* Finds the ticket of a node's Enqueue. */
static void
find_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct find_pass *pass = data;
    if (ticket->from != NULL && ticket->enqueue == pass->enqueue &&
        strcmp(ticket->from, pass->from) == 0) {
        pass->handle = handle;
    }
}

/* Handles a Withdraw.  The Enqueue, if it still waits, gets its reply too: the
 * other end keeps its connection watched for as long as one is owed. */
static void
handle_withdraw(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct find_pass pass = {
        .from = frame->from,
        .enqueue = frame->withdraw->enqueue,
    };
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    ch_table_each(homes->tickets, find_ticket, &pass);
    const struct ticket *ticket = ch_table_get(homes->tickets, pass.handle);
    if (ticket != NULL && !ticket->granted) {
        effects_refuse_frame(&effects, ticket, CH_PEER_LOST, 0, "withdrawn",
                             homes);
    }
    if (ticket != NULL) {
        home_withdraw(homes, pass.handle, ch_client_now(homes->node->client),
                      &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

/* Sets the handlers of the frames that homes get. */
void
home_handlers(struct ch_homes *homes)
{
    struct ch_peers *peers = homes->node->peers;
    ch_peers_handle(peers, WIRE(FRAME__BODY_ENQUEUE), handle_enqueue, homes);
    ch_peers_handle(peers, WIRE(FRAME__BODY_RELEASE), handle_release, homes);
    ch_peers_handle(peers, WIRE(FRAME__BODY_WITHDRAW), handle_withdraw, homes);
}
