/*
 * The at-most-once record of one key (libchestnuthitch/decide/once_slot.c,
 * once_log.c, node/once_manager.c).
 *
 * A slot is a log of batches; a batch is created only if its sequence is
 * absent.  Two nodes act as the slot's owner ("home") and write the log; each
 * may be paused between any two steps or die.  Two attempts (three with THIRD),
 * at entry nodes of their own, claim the key.  When a home is lost or slow, an
 * attempt reads the log itself, asks the other home, or gives up.  Results of
 * writes are lost, and a write may take effect long after its sender gave up
 * on it.  Batches expire in order, all but the last.  Batches of kind OTHER
 * belong to other keys.
 *
 * Assumption: a batch expires only after the attempts in it are over, that is,
 * no entry node is paused for the whole retention time of keys.  A home may be
 * paused that long.
 *
 * Properties: of the attempts whose creation has not expired from the log, at
 * most one is dispatched; an attempt that was reported as not run is never
 * dispatched.
 */

#define HOMES 2
#ifdef THIRD
#define ATTEMPTS 3
#else
#define ATTEMPTS 2
#endif
#define SEQUENCES 3
#ifndef WRITES
#define WRITES 4 /* batches created in total */
#endif

/* Kinds of a batch. */
#define NOTHING 0
#define CREATE 1
#define RELEASE 2
#define OTHER 3

/* Phases of a home's write. */
#define IDLE 0
#define WRITING 1
#define RESOLVING 2
#define CHECKING 3

/* A home's reply to an attempt; WAITS: none yet. */
#define WAITS 0
#define CREATED 1
#define TAKEN 2
#define REFUSED 3

typedef Batch {
    byte kind; /* NOTHING: absent */
    byte attempt;
    byte writer;
    byte revision;
    byte previous; /* link: revision of the batch before; 0: none */
};

Batch log[SEQUENCES + 1]; /* sequences start at 1 */
byte last_revision;

typedef Home {
    bit knows; /* has listed the log */
    byte last; /* sequence and revision of the last batch it knows */
    byte last_revision;
    byte owner; /* 1 + the attempt that has the key; 0: none */
    byte phase; /* of the batch that it is writing, described below */
    byte kind;
    byte attempt;
    byte revision;
};

Home home[HOMES];
Batch late[HOMES]; /* a write in flight that its sender has given up on */
byte late_at[HOMES]; /* the sequence of that write; 0: none */

bit asked[ATTEMPTS * HOMES]; /* the attempt waits for the home's reply */
byte answer[ATTEMPTS];
bit over[ATTEMPTS];
bit told_not_run[ATTEMPTS];
bit wants_release[ATTEMPTS];
bit dispatched[ATTEMPTS];
bit held[ATTEMPTS]; /* dispatched, and its creation has not expired */

hidden byte i, first, top, owner, took;

/* ---- the log ---- */

/* Sets top to the last sequence, first to the first one that links reach from
 * the last, and owner to 1 + the attempt that has the key by the batches from
 * first on (0: none). */
inline read_log()
{
    top = 0;
    for (i : 1 .. SEQUENCES) {
        if
        :: log[i].kind != NOTHING -> top = i
        :: else
        fi
    }
    first = top;
#ifdef MUTATION_NO_LINKS
    first = 1;
#else
    do
    :: first > 1 && log[first - 1].kind != NOTHING &&
       log[first].previous == log[first - 1].revision -> first--
    :: else -> break
    od;
#endif
    owner = 0;
    for (i : 1 .. SEQUENCES) {
        if
        :: i >= first && log[i].kind == CREATE && owner == 0 ->
           owner = 1 + log[i].attempt
        :: i >= first && log[i].kind == RELEASE &&
#ifdef MUTATION_ANY_RELEASE
           1 ->
#else
           owner == 1 + log[i].attempt ->
#endif
           owner = 0
        :: else
        fi
    }
    i = 0
}

inline clear_scratch()
{
    i = 0; first = 0; top = 0; owner = 0; took = 0
}

/* Creates the batch if its sequence is absent, and then sets took. */
inline create(at, what, who, by, link)
{
    if
    :: at <= SEQUENCES && last_revision < WRITES &&
#ifdef MUTATION_OVERWRITE
       1 ->
#else
       log[at].kind == NOTHING ->
#endif
       last_revision++;
       log[at].kind = what;
       log[at].attempt = who;
       log[at].writer = by;
       log[at].revision = last_revision;
       log[at].previous = link;
       took = 1
    :: else -> took = 0
    fi
}

/* ---- a home ---- */

inline forget(h)
{
    home[h].knows = 0;
    home[h].last = 0;
    home[h].last_revision = 0;
    home[h].owner = 0;
    home[h].phase = IDLE;
    home[h].kind = NOTHING;
    home[h].attempt = 0;
    home[h].revision = 0
}

inline say(who, at, what)
{
    if
    :: asked[(who) * HOMES + (at)] && answer[who] == WAITS ->
       answer[who] = what
    :: else
    fi;
    asked[(who) * HOMES + (at)] = 0
}

/* The batch is certainly in the log: updates the home's copy and replies. */
inline written(h)
{
    home[h].last++;
    home[h].last_revision = home[h].revision;
    if
    :: home[h].kind == CREATE && home[h].owner == 0 ->
       home[h].owner = 1 + home[h].attempt
    :: home[h].kind == RELEASE && home[h].owner == 1 + home[h].attempt ->
       home[h].owner = 0
    :: else
    fi;
    if
    :: home[h].kind == CREATE ->
       say(home[h].attempt, h,
           (home[h].owner == 1 + home[h].attempt -> CREATED : TAKEN))
    :: home[h].kind == RELEASE -> wants_release[home[h].attempt] = 0
    :: else
    fi;
    home[h].phase = IDLE;
    home[h].kind = NOTHING;
    home[h].attempt = 0;
    home[h].revision = 0
}

inline start_write(h, what, who)
{
    home[h].phase = WRITING;
    home[h].kind = what;
    home[h].attempt = who
}

#define RESTS(h) (home[h].knows && home[h].phase == IDLE)

#define OWNED(h, a) (home[h].owner != 0 && home[h].owner != 1 + a)
#define SERVE(h, a)                                                           \
    :: d_step {                                                               \
        RESTS(h) && asked[a * HOMES + h] && home[h].owner == 1 + a ->         \
        say(a, h, CREATED)                                                    \
       }                                                                      \
    :: d_step {                                                               \
        RESTS(h) && asked[a * HOMES + h] && OWNED(h, a) ->                    \
        say(a, h, TAKEN)                                                      \
       }                                                                      \
    :: d_step {                                                               \
        RESTS(h) && asked[a * HOMES + h] && home[h].owner == 0 ->             \
        ANSWER_EARLY(h, a)                                                    \
        start_write(h, CREATE, a)                                             \
       }                                                                      \
    :: d_step {                                                               \
        RESTS(h) && wants_release[a] && RELEASABLE(h, a) ->                   \
        start_write(h, RELEASE, a)                                            \
       }

#ifdef MUTATION_ANSWER_EARLY
#define ANSWER_EARLY(h, a) say(a, h, CREATED);
#else
#define ANSWER_EARLY(h, a)
#endif
#ifdef MUTATION_ANY_RELEASE
#define RELEASABLE(h, a) 1
#else
#define RELEASABLE(h, a) (home[h].owner == 1 + a)
#endif

proctype at_home(byte h)
{
end:
    do
    :: d_step { /* lists the log */
        !home[h].knows ->
        read_log();
        home[h].knows = 1;
        home[h].last = top;
        home[h].last_revision = log[top].revision;
        home[h].owner = owner;
        clear_scratch()
       }
    SERVE(h, 0)
    SERVE(h, 1)
#ifdef THIRD
    SERVE(h, 2)
#endif
    :: d_step { RESTS(h) && home[h].last == 0 -> start_write(h, OTHER, 0) }
    :: d_step { /* put; the result arrives */
        home[h].phase == WRITING ->
        create(home[h].last + 1, home[h].kind, home[h].attempt, h,
               home[h].last_revision);
        home[h].phase = (took -> CHECKING : RESOLVING);
        home[h].revision = (took -> last_revision : 0);
        clear_scratch()
       }
    :: d_step { /* put takes effect; the result is lost */
        home[h].phase == WRITING ->
        create(home[h].last + 1, home[h].kind, home[h].attempt, h,
               home[h].last_revision);
        home[h].phase = RESOLVING;
        clear_scratch()
       }
    :: d_step { /* put that takes effect late or never */
        home[h].phase == WRITING && h == 0 && late_at[h] == 0 ->
        late_at[h] = home[h].last + 1;
        late[h].kind = home[h].kind;
        late[h].attempt = home[h].attempt;
        late[h].previous = home[h].last_revision;
        home[h].phase = RESOLVING
       }
    :: d_step { /* reads the sequence to learn whether its put took effect */
        home[h].phase == RESOLVING ->
        i = home[h].last + 1;
        if
#ifdef MUTATION_LOST_IS_WRITTEN
        :: i <= SEQUENCES ->
#else
        :: i <= SEQUENCES && log[i].kind == home[h].kind &&
           log[i].attempt == home[h].attempt && log[i].writer == h ->
#endif
           home[h].phase = CHECKING;
           home[h].revision = log[i].revision
        :: i <= SEQUENCES && log[i].kind == NOTHING -> home[h].phase = WRITING
        :: else -> forget(h)
        fi;
        i = 0
       }
    :: d_step { /* checks that the batch before is still in the log */
        home[h].phase == CHECKING ->
        if
#ifdef MUTATION_NO_CHECK
        :: 1 -> written(h)
#else
        :: home[h].last > 0 &&
           log[home[h].last].kind != NOTHING &&
           log[home[h].last].revision == home[h].last_revision -> written(h)
        :: home[h].last == 0 ->
           read_log();
           if
           :: first <= 1 && log[1].revision == home[h].revision -> written(h)
           :: else -> forget(h)
           fi
        :: home[h].last > 0 &&
           (log[home[h].last].kind == NOTHING ||
            log[home[h].last].revision != home[h].last_revision) -> forget(h)
#endif
        fi;
        clear_scratch()
       }
    :: d_step { /* key-value store unavailable: refuses, forgets the log */
        home[h].phase != IDLE ->
        if
        :: home[h].kind == CREATE -> say(home[h].attempt, h, REFUSED)
        :: else
        fi;
        forget(h)
       }
    od
}

/* Late writes take effect, and batches expire. */
active proctype world()
{
end:
    do
    :: d_step {
        late_at[0] != 0 ->
        create(late_at[0], late[0].kind, late[0].attempt, 0,
               late[0].previous);
        late_at[0] = 0; late[0].kind = 0; late[0].attempt = 0;
        late[0].previous = 0; clear_scratch()
       }
#ifndef NO_EXPIRY
    :: d_step { /* sequence 1 expires */
        (log[1].kind != NOTHING &&
         (log[2].kind != NOTHING || log[3].kind != NOTHING) &&
         (log[1].kind != CREATE || over[log[1].attempt])) ->
        read_log();
        if
        :: log[1].kind == CREATE && first <= 1 -> held[log[1].attempt] = 0
        :: else
        fi;
        log[1].kind = NOTHING; log[1].attempt = 0; log[1].writer = 0;
        log[1].revision = 0; log[1].previous = 0;
        clear_scratch()
       }
    :: d_step {
        (log[1].kind == NOTHING && log[2].kind != NOTHING &&
         log[3].kind != NOTHING &&
         (log[2].kind != CREATE || over[log[2].attempt])) ->
        read_log();
        if
        :: log[2].kind == CREATE && first <= 2 -> held[log[2].attempt] = 0
        :: else
        fi;
        log[2].kind = NOTHING; log[2].attempt = 0; log[2].writer = 0;
        log[2].revision = 0; log[2].previous = 0;
        clear_scratch()
       }
#endif
    od
}

/* ---- an attempt, at its entry node ---- */

inline dispatch(a)
{
    assert(!told_not_run[a]);
#ifdef THIRD
    assert(!held[(a + 1) % 3] && !held[(a + 2) % 3]); /* at most one */
#else
    assert(!held[1 - a]); /* at most one */
#endif
    dispatched[a] = 1;
    held[a] = 1;
    over[a] = 1
}

inline end_not_run(a)
{
    over[a] = 1;
    told_not_run[a] = 1;
    wants_release[a] = 1
}

proctype entry(byte a)
{
    byte homes_asked;
    byte h;
    h = a % HOMES;
end:
    do
    :: d_step {
        !over[a] && homes_asked == 0 -> asked[a * HOMES + h] = 1; homes_asked++
       }
    :: d_step {
#ifdef MUTATION_LATE_ANSWER
        answer[a] == CREATED && !dispatched[a] ->
#else
        !over[a] && answer[a] == CREATED ->
#endif
        dispatch(a)
       }
    :: d_step { /* created, but refused by a queue: not run */
        !over[a] && answer[a] == CREATED -> end_not_run(a)
       }
    :: d_step { !over[a] && answer[a] == TAKEN -> over[a] = 1 }
    :: d_step { !over[a] && answer[a] == REFUSED -> end_not_run(a) }
    :: d_step { /* the attempt's timeout has expired */
        !over[a] && homes_asked > 0 -> end_not_run(a)
       }
    :: d_step { /* the home is lost: reads the log, else asks the other */
        !over[a] && homes_asked == 1 && answer[a] == WAITS ->
        read_log();
        if
#ifdef MUTATION_LOST_HOME_DISPATCH
        :: owner == 0 -> dispatch(a)
#endif
        :: owner == 1 + a -> dispatch(a)
        :: owner != 0 && owner != 1 + a -> over[a] = 1
#ifndef MUTATION_LOST_HOME_DISPATCH
        :: owner == 0 ->
           h = 1 - h;
           asked[a * HOMES + h] = 1;
           homes_asked++
#endif
        fi;
        clear_scratch()
       }
    od
}

init {
    atomic {
        run at_home(0);
        run at_home(1);
        run entry(0);
        run entry(1);
#ifdef THIRD
        run entry(2)
#endif
    }
}
