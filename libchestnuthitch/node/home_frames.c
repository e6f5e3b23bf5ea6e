/* Messages from other nodes to the homes on this node. */

#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Retry time when an Enqueue can't be queued: by then this node should
     * have the configuration, or the entry node should know the right home. */
    REFUSAL_RETRY_AFTER_MS = 1000,
};

/* Replies that a message has arrived. */
static void
acknowledge(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    reply.body_case = WIRE(FRAME__BODY_DONE);
    reply.done = &done;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Refuses an Enqueue that can't be queued. */
static void
refuse_enqueue(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
               enum ch_code code, const char *message)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Refuse refuse = WIRE(REFUSE__INIT);
    refuse.code = (uint32_t)code;
    refuse.message = (char *)message;
    refuse.retry_after_ms = REFUSAL_RETRY_AFTER_MS;
    reply.body_case = WIRE(FRAME__BODY_REFUSE);
    reply.refuse = &refuse;
    ch_peers_reply(homes->node->peers, frame->from, frame->id, &reply);
}

/* Converts an Enqueue; false when it has names that this node's configuration
 * lacks.  Such names are not made into quarks, so that there are no more
 * quarks than names that operators declared. */
static bool
parse_enqueue(const struct ch_declaration *declaration,
              const Chestnuthitch__Wire__Enqueue *enqueue, int64_t now,
              struct ch_request_info *info)
{
    *info = (struct ch_request_info){
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
    if (ch_declaration_find_class(declaration, enqueue->class_name) < 0) {
        return false;
    }
    info->class_name = g_quark_from_string(enqueue->class_name);
    if (enqueue->service) {
        info->model = g_quark_from_string(enqueue->model);
        return ch_declaration_find_service(declaration, enqueue->model) >= 0;
    }
    int model = ch_declaration_find_model(declaration, enqueue->model);
    if (model < 0) {
        return false;
    }
    info->model = g_quark_from_string(enqueue->model);
    info->model_mb = declaration->models[model].memory_mb;
    const char *adapter = strchr(enqueue->adapter, '/');
    if (adapter == NULL) {
        return enqueue->adapter[0] == '\0';
    }
    int index = -1;
    if (ch_declaration_find_adapter(declaration, adapter + 1, &index) !=
        model) {
        return false;
    }
    info->adapter = g_quark_from_string(enqueue->adapter);
    info->adapter_mb = declaration->models[model].adapter_memory_mb;
    return true;
}

/* Queues another node's request at the home on this node.  A node that is not
 * home according to its own membership serves as home until its membership is
 * updated: two homes for one upstream cost some quality but break no
 * guarantee. */
static void
enqueue_remote(struct ch_homes *homes, const Chestnuthitch__Wire__Frame *frame,
               struct ch_request_info *info)
{
    int64_t now = ch_client_get_time(homes->node->client);
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream =
        homes->draining
            ? NULL
            : upstream_list_find_name(homes, frame->enqueue->upstream);
    if (upstream != NULL) {
        struct ticket *ticket = g_new0(struct ticket, 1);
        ticket->from_node = g_strdup(frame->from);
        ticket->enqueue_id = frame->id;
        ch_peers_get_last_heard(homes->node->peers, frame->from,
                                &ticket->from_incarnation);
        uint64_t handle = 0;
        homes->rehome_needed |= upstream->home == NULL;
        home_open(homes, upstream, now, &effects);
        home_enqueue(homes, upstream, info, ticket, &handle, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    if (upstream == NULL) {
        refuse_enqueue(homes, frame, CH_PEER_LOST,
                       "this node is not the home of the upstream");
    }
}

static void
handle_enqueue(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ch_config *config =
        ch_config_manager_get_current(homes->node->config);
    if (config == NULL) {
        refuse_enqueue(homes, frame, CH_NOT_READY,
                       "the home node has no configuration yet");
        return;
    }
    struct ch_request_info info;
    if (parse_enqueue(config->declaration, frame->enqueue,
                      ch_client_get_time(homes->node->client), &info)) {
        enqueue_remote(homes, frame, &info);
    }
    else {
        refuse_enqueue(homes, frame, CH_UNKNOWN_MODEL,
                       "the model, service or class is not yet in the home "
                       "node's configuration");
    }
    ch_config_unref(config);
}

/* Handles a Release.  An unknown grant is acknowledged too, since it has ended
 * before. */
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
                 ch_client_get_time(homes->node->client), &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

struct ticket_search {
    const char *from;
    uint64_t enqueue;
    uint64_t handle;
};

/* Finds the ticket of another node's Enqueue. */
static void
find_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct ticket_search *search = data;
    if (ticket->from_node != NULL && ticket->enqueue_id == search->enqueue &&
        strcmp(ticket->from_node, search->from) == 0) {
        search->handle = handle;
    }
}

/* Handles a Withdraw.  A queued Enqueue gets its reply too: the sender keeps
 * its connection watched while it waits for a reply. */
static void
handle_withdraw(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    struct ticket_search search = {
        .from = frame->from,
        .enqueue = frame->withdraw->enqueue,
    };
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    ch_table_foreach(homes->tickets, find_ticket, &search);
    const struct ticket *ticket = ch_table_get(homes->tickets, search.handle);
    if (ticket != NULL && !ticket->granted) {
        effects_add_refuse_frame(&effects, ticket, CH_PEER_LOST, 0,
                                 "withdrawn", homes);
    }
    if (ticket != NULL) {
        home_withdraw(homes, search.handle,
                      ch_client_get_time(homes->node->client), &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    acknowledge(homes, frame);
}

/* Registers the handlers of messages to homes. */
void
home_register_handlers(struct ch_homes *homes)
{
    struct ch_peers *peers = homes->node->peers;
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_ENQUEUE), handle_enqueue,
                         homes);
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_RELEASE), handle_release,
                         homes);
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_WITHDRAW), handle_withdraw,
                         homes);
}
