/* Pool jobs for frames received from other nodes and for ended requests. */

#include "node/peers_internal.h"

struct job {
    struct ch_peers *peers;
    Chestnuthitch__Wire__Frame *frame;
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
    enum ch_code code;
};

/* Reports the revision in a frame to the configuration manager. */
static void
report_revision(const struct ch_peers *peers,
                const Chestnuthitch__Wire__Frame *frame)
{
    if (frame->config_revision > 0 && peers->node->config != NULL) {
        ch_config_manager_note_revision(peers->node->config,
                                        frame->config_revision, frame->from);
    }
}

/* Runs one job: passes a reply or failure to the requester, or a frame to its
 * handler. */
static void
run_job(void *data)
{
    struct job *job = data;
    struct ch_peers *peers = job->peers;
    if (job->frame != NULL) {
        report_revision(peers, job->frame);
    }
    if (job->done != NULL) {
        job->done(job->data, job->code, job->frame);
    }
    else if (job->frame != NULL && job->frame->reply) {
        if (peers->late_reply_handler.handle != NULL) {
            peers->late_reply_handler.handle(peers->late_reply_handler.data,
                                             job->frame);
        }
    }
    else if (job->frame != NULL && (unsigned)job->frame->body_case <
                                       (unsigned)PEERS_BODY_CASE_COUNT) {
        const struct frame_handler *handler =
            &peers->handlers[job->frame->body_case];
        if (handler->handle != NULL) {
            handler->handle(handler->data, job->frame);
        }
    }
    ch_wire_frame_free(job->frame);
    g_free(job);
}

/* See peers_internal.h. */
void
peers_submit_frame(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    struct job *job = g_new0(struct job, 1);
    job->peers = peers;
    job->frame = frame;
    ch_pool_submit(peers->node->pool, run_job, job);
}

/* See peers_internal.h. */
void
peers_submit_result(struct ch_peers *peers, const struct request *request,
                    enum ch_code code, Chestnuthitch__Wire__Frame *reply)
{
    struct job *job = g_new0(struct job, 1);
    job->peers = peers;
    job->frame = reply;
    job->done = request->done;
    job->data = request->data;
    job->code = code;
    ch_pool_submit(peers->node->pool, run_job, job);
}
