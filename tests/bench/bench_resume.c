/* What it costs nodes to know where streams began, in three ways: each node
 * tells all others, each asks all others when a stream is taken up, and a few
 * nodes chosen by the stream's key keep the record. Sizes are those of packed
 * frames, with 60 bytes for TCP/IP and the acknowledgement. */

#include "resume/resume.h"
#include "wire/wire.h"

#include <stdio.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    PACKET_BYTES = 60 + 52,
    /* Streams that a node serves when it dies; its callers come back within a
     * second. */
    BROKEN_STREAMS = 300,
};

static char node_name[] = "frontend-caerdydd-a-1";

static size_t
measure(Chestnuthitch__Wire__Frame *frame)
{
    frame->version = 1;
    frame->from = node_name;
    frame->id = 100000;
    frame->config_revision = 1000;
    frame->ready = true;
    return 4 + chestnuthitch__wire__frame__get_packed_size(frame) +
           PACKET_BYTES;
}

static Chestnuthitch__Wire__StreamRecord
make_record(void)
{
    Chestnuthitch__Wire__StreamRecord record = WIRE(STREAM_RECORD__INIT);
    record.key = record.service = record.version = record.writer = UINT64_MAX;
    record.sequence = 1;
    record.ttl_ms = 20000;
    record.upstream = (char *)"i-82b8372235";
    record.age_ms = 900;
    return record;
}

static size_t
measure_record(void)
{
    Chestnuthitch__Wire__StreamRecord record = make_record();
    Chestnuthitch__Wire__StreamRecord *records[] = {&record};
    Chestnuthitch__Wire__StreamRecords body = WIRE(STREAM_RECORDS__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.n_records = 1;
    body.records = records;
    frame.body_case = WIRE(FRAME__BODY_STREAM_RECORDS);
    frame.stream_records = &body;
    return measure(&frame);
}

/* A question and its reply with a record. */
static size_t
measure_question(void)
{
    Chestnuthitch__Wire__StreamRecord record = make_record();
    Chestnuthitch__Wire__StreamQuery query = WIRE(STREAM_QUERY__INIT);
    Chestnuthitch__Wire__StreamReply reply = WIRE(STREAM_REPLY__INIT);
    Chestnuthitch__Wire__Frame asked = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Frame replied = WIRE(FRAME__INIT);
    uint64_t versions[] = {UINT64_MAX, UINT64_MAX};
    query.key = query.service = UINT64_MAX;
    asked.body_case = WIRE(FRAME__BODY_STREAM_QUERY);
    asked.stream_query = &query;
    reply.record = &record;
    reply.n_versions = G_N_ELEMENTS(versions);
    reply.versions = versions;
    reply.covers_ms = 120000;
    reply.age_ms = 900;
    replied.body_case = WIRE(FRAME__BODY_STREAM_REPLY);
    replied.stream_reply = &reply;
    return measure(&asked) + measure(&replied);
}

int
main(void)
{
    static const struct {
        size_t nodes;
        double streams_per_s; /* that each node begins */
    } fleets[] = {{7, 10.8}, {75, 4.0}, {300, 2.7}, {320, 10.9}};
    double record = (double)measure_record();
    double question = (double)measure_question();
    printf("a record is %.0f bytes on the link, a question with its reply "
           "%.0f\n",
           record, question);
    printf("nodes streams/s tell-all-kB/s ask-all-kB/s-after-a-death "
           "holders-kB/s holders-kB/s-after-a-death\n");
    for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
        double others = (double)fleets[i].nodes - 1;
        double asked = MIN(others, CH_STREAM_ASKED);
        printf("%5zu %9.1f %13.1f %28.1f %12.1f %27.1f\n", fleets[i].nodes,
               fleets[i].streams_per_s,
               fleets[i].streams_per_s * others * record / 1000,
               BROKEN_STREAMS * question * 2 / 1000,
               fleets[i].streams_per_s * CH_STREAM_COPIES * record / 1000,
               BROKEN_STREAMS * asked * 2 * question / others / 1000);
    }
    return 0;
}
