/*
 * The lease to send orders to the engines of a data centre
 * (libchestnuthitch/node/lease.c).
 *
 * Nodes create one key under a lease of the key-value store and renew that
 * key-value lease.  Calls and their results take any time or are lost.  A node
 * may be paused at any point: time can advance before the node takes its next
 * step.  A process may be killed and restarted under the same name.
 *
 * Properties: the last order of one lease holder and the first order of the
 * next are at least the handover pause (PAUSE) apart, and the fencing token of
 * a later order is never lower than that of an earlier order.
 */

#define NODES 2
#define NOBODY 255
#define END 5 /* last value of now: enough for one lease and the next */

#define MOST 3 /* maximum number of times that the key is created */

/* Time for which the lease may be used, from the sending of the last successful
 * create or renew call. */
#define USE 1
/* Handover pause: minimum time between the orders of two lease holders. */
#define PAUSE 2
#ifdef MUTATION_SHORT_LEASE
#define TTL USE
#else
#define TTL (USE + PAUSE)
#endif

/* States of a node's call to the key-value store (phase). */
#define IDLE 0
#define SENT 1
#define DONE 2

byte now;

/* The key-value store: the node that owns the key, the expiry time of its
 * key-value lease, and how often the key has been created (the revision, which
 * is the fencing token). */
byte owner = NOBODY;
byte ends;
byte number;

byte phase[NODES];
bit creates[NODES]; /* the call in progress creates the key, else renews it */
byte sent[NODES];   /* when the call in progress was sent */
bit held[NODES];    /* the node takes itself for the lease holder */
byte asked[NODES];  /* when the last successful call was sent */
byte fence[NODES];  /* fencing token */
bit leaving[NODES]; /* released the lease; deletes the key after PAUSE */
byte left_at[NODES]; /* when the node released the lease */

/* The latest order sent to any engine of the data centre: sender, time and
 * fencing token. */
byte last_by = NOBODY;
byte last_at;
byte last_fence;

#ifdef MUTATION_NO_LIMIT
#define MAY_ORDER(n) (held[n])
#else
#define MAY_ORDER(n) (held[n] && now - asked[n] < USE)
#endif

/* The call reaches the key-value store, at any time after it was sent. */
inline reach(n)
{
    if
#ifdef MUTATION_TAKE_OVER
    :: creates[n] ->
#else
    :: creates[n] && (owner == NOBODY || owner == n) ->
#endif
       owner = n;
       number++;
       fence[n] = number;
       ends = now + TTL;
       phase[n] = DONE
    :: !creates[n] && owner == n ->
       ends = now + TTL;
       phase[n] = DONE
    :: else ->
       phase[n] = IDLE;
       held[n] = held[n] && creates[n]
    fi
}

/* The result reaches the node, at any time after the call was carried out. */
inline answer(n)
{
    held[n] = 1;
#ifdef MUTATION_FROM_ANSWER
    asked[n] = now;
#else
    asked[n] = sent[n];
#endif
    phase[n] = IDLE
}

inline order(n)
{
    assert(last_by == NOBODY || last_by == n || now - last_at >= PAUSE);
    assert(fence[n] >= last_fence);
    last_by = n;
    last_at = now;
    last_fence = fence[n]
}

proctype node(byte n)
{
    do
    :: atomic { now < END && number < MOST && phase[n] == IDLE && !leaving[n] &&
           !held[n] ->
           creates[n] = 1; sent[n] = now; phase[n] = SENT }
    :: atomic { now < END && phase[n] == IDLE && !leaving[n] && held[n] ->
           creates[n] = 0; sent[n] = now; phase[n] = SENT }
    :: d_step { phase[n] == SENT -> reach(n) }
    :: d_step { phase[n] == SENT -> phase[n] = IDLE } /* call lost */
    :: d_step { phase[n] == DONE && !leaving[n] -> answer(n) }
    :: d_step { phase[n] == DONE -> phase[n] = IDLE } /* result lost */
    :: d_step { MAY_ORDER(n) && !leaving[n] -> order(n) }
    /* Planned stop of the node. */
    :: d_step { held[n] && phase[n] == IDLE && !leaving[n] ->
           held[n] = 0; leaving[n] = 1; left_at[n] = now }
#ifdef MUTATION_LEAVES_AT_ONCE
    :: d_step { leaving[n] && owner == n -> owner = NOBODY }
#else
    :: d_step { leaving[n] && owner == n && now - left_at[n] >= PAUSE ->
           owner = NOBODY }
#endif
    /* The process is killed and restarted under the same name. */
    :: d_step { held[n] && !leaving[n] && number < MOST ->
           held[n] = 0; phase[n] = IDLE }
    :: atomic { now == END -> break }
    od
}

proctype time()
{
    do
    :: d_step { now < END ->
           now++;
           if
           :: owner != NOBODY && now >= ends -> owner = NOBODY
           :: else
           fi }
    :: atomic { now == END -> break }
    od
}

init
{
    byte n;
    atomic {
        for (n : 0 .. NODES - 1) {
            run node(n)
        }
        run time()
    }
}
