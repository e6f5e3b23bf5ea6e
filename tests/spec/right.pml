/*
 * The right to order the engines of a data centre (libchestnuthitch/node/claim.c).
 *
 * Nodes create one key under a lease, and renew that.  Calls and answers take
 * any time or are lost; a node may stand still at any point, since nothing
 * makes it act before time goes on; a process may be killed and start again
 * under the same name.
 *
 * Properties: two nodes never order within the pause that engines are owed
 * between two holders, and whoever orders later has no lower fencing number.
 */

#define NODES 2
#define NOBODY 255
#define END 5 /* of time: a lease, and the next one */

#define MOST 3 /* times that the key is created */

#define USE 1   /* after the sending of the last renewal that was answered */
#define PAUSE 2 /* between the orders of two nodes */
#ifdef MUTATION_SHORT_LEASE
#define TTL USE
#else
#define TTL (USE + PAUSE)
#endif

/* A node's call to the service. */
#define IDLE 0
#define SENT 1
#define DONE 2

byte now;

/* The service: the key's owner, its lease's end and its number. */
byte owner = NOBODY;
byte ends;
byte number;

byte phase[NODES];
bit creates[NODES]; /* the call under way: creates the key, else renews it */
byte sent[NODES];
bit held[NODES];
byte asked[NODES]; /* when the last good call was sent */
byte fence[NODES];
bit leaving[NODES]; /* gave the right up; the key goes after the pause */
byte left_at[NODES];

/* The last order that any engine of the data centre was sent. */
byte last_by = NOBODY;
byte last_at;
byte last_fence;

#ifdef MUTATION_NO_LIMIT
#define MAY_ORDER(n) (held[n])
#else
#define MAY_ORDER(n) (held[n] && now - asked[n] < USE)
#endif

/* A call reaches the service, at any time after it was sent. */
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

/* The answer comes, at any time after that. */
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
    :: d_step { phase[n] == SENT -> phase[n] = IDLE } /* lost on the way */
    :: d_step { phase[n] == DONE && !leaving[n] -> answer(n) }
    :: d_step { phase[n] == DONE -> phase[n] = IDLE } /* lost on the way back */
    :: d_step { MAY_ORDER(n) && !leaving[n] -> order(n) }
    /* A planned stop. */
    :: d_step { held[n] && phase[n] == IDLE && !leaving[n] ->
           held[n] = 0; leaving[n] = 1; left_at[n] = now }
#ifdef MUTATION_LEAVES_AT_ONCE
    :: d_step { leaving[n] && owner == n -> owner = NOBODY }
#else
    :: d_step { leaving[n] && owner == n && now - left_at[n] >= PAUSE ->
           owner = NOBODY }
#endif
    /* Killed, and started again under its name. */
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
