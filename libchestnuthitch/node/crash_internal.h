#ifndef CH_NODE_CRASH_INTERNAL_H
#define CH_NODE_CRASH_INTERNAL_H

/* What crash_keeper.c (what calls show, and the gate), crash_tell.c (what
 * nodes tell one another) and crash_record.c (what outlives them) share.  One
 * lock guards all of it. */

#include "node/crash_keeper.h"

#include <pthread.h>

enum {
    /* "crashes/DIGEST". */
    CRASH_RECORD_KEY = 16 + CH_DIGEST_TEXT_SIZE,
};

struct ch_crash_keeper {
    struct ch_node *node;
    pthread_mutex_t lock;
    pthread_cond_t idle;
    struct ch_crash_table *table;
    struct ch_interrupted_calls *cuts;
    GHashTable *staying; /* GQuark of upstreams listed and not leaving; NULL:
                            no list came yet */
    GHashTable *probed;  /* GQuark to when a connection was asked for */
    GArray *barred;      /* of struct ch_digest: noted in the log */
    /* News that the other nodes have not been told. */
    GArray *runs;       /* struct ch_crash_observation */
    GArray *sound;      /* struct ch_digest */
    GArray *released;   /* struct ch_digest */
    GArray *unrecorded; /* struct ch_crash_assessment: barred, to be written */
    bool recording;     /* the first of them is being written */
    bool read;          /* the records were read */
    bool reading;
    int64_t read_at; /* they were last asked for; 0: never */
    bool telling;    /* they will be told soon */
    int64_t started;
    int64_t ticked;
    int64_t pulled;
    unsigned turn; /* whose turn it is to be told the sum */
    bool heard;    /* a node told all that it knows */
    bool stopping;
    unsigned jobs; /* timers under way */
    int active;    /* something is known or suspected; atomic */
};

/* ---- crash_keeper.c; lock held ---- */

/* Takes a piece of evidence, from a node or, NULL, from here; true when it is
   news. */
bool crash_keeper_take(struct ch_crash_keeper *keeper,
                       const struct ch_crash_observation *run,
                       const char *from);
/* Takes this node's calls that were cut by the end of their upstream, struct
   ch_crash_observation; frees the list. */
void crash_keeper_take_ended(struct ch_crash_keeper *keeper, GArray *ended);
/* Forgets that a request was noted as barred. */
void crash_keeper_forget_barred(struct ch_crash_keeper *keeper,
                                const struct ch_digest *digest);
/* Notes whether there is anything to look at for each call. */
void crash_keeper_note_active(struct ch_crash_keeper *keeper);

/* ---- crash_record.c ---- */

/* A request is barred: its record is written if that is for this node to do.
   Lock held. */
void crash_record_note(struct ch_crash_keeper *keeper,
                       const struct ch_crash_assessment *view);
/* A request was released.  Lock not held, like the next. */
void crash_record_remove(struct ch_crash_keeper *keeper,
                         const struct ch_digest *digest);
/* Reads the records once, and writes what is to be written. */
void crash_record_tick(struct ch_crash_keeper *keeper, int64_t now);

/* ---- crash_tell.c ---- */

void crash_tell_init(struct ch_crash_keeper *keeper);
/* Has the news told soon.  Lock held. */
void crash_tell_soon(struct ch_crash_keeper *keeper);
/* What is due each tick: asks others what they know, tells them the sum.  Lock
   not held. */
void crash_tell_tick(struct ch_crash_keeper *keeper, int64_t now);

#endif
