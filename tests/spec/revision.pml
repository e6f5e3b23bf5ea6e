/*
 * The configuration's revision (libchestnuthitch/decide/revision.c,
 * node/config_keeper.c).
 *
 * Operators write by compare-and-swap; answers are lost, and a write may take
 * effect long after its sender gave up on it.  Nodes take revisions that come
 * late, twice and out of order, from the service or from each other, and join
 * at any time.
 *
 * Properties: a node never goes back; a write that was told to be accepted is
 * in the line of what is in force, one told to be a conflict or a failure never
 * gets there; once messages flow, every node has the highest revision.
 */

#define OPERATORS 3
#define NODES 2
#define NOBODY 255

#define SILENT 0
#define ACCEPTED 1
#define CONFLICT 2
#define FAILED 3
#define UNSURE 4

/* config/current: revisions are 1, 2, ...; token and past of each. */
byte revision;
byte token[OPERATORS + 1];
byte past[OPERATORS + 1]; /* bits of the tokens before it */

byte told[OPERATORS];
bit late[OPERATORS]; /* a write is under way without its sender */
byte base[OPERATORS];
byte node_has[NODES];
byte highest_seen[NODES];
bit calm;

#define BIT(o) (1 << (o))
#define LINE (revision == 0 -> 0 : (past[revision] | BIT(token[revision])))

/* What was told holds, whatever happens later. */
inline check_told()
{
    d_step {
        for (i : 0 .. OPERATORS - 1) {
            assert(told[i] != ACCEPTED || (LINE & BIT(i)));
            assert((told[i] != CONFLICT && told[i] != FAILED) ||
                   !(LINE & BIT(i)))
        }
        i = 0
    }
}

/* The compare-and-swap itself; done: it took effect. */
inline swap(o, done)
{
#ifdef MUTATION_BLIND_WRITE
    if
    :: revision < OPERATORS ->
#else
    if
    :: revision == base[o] ->
#endif
       past[revision + 1] =
           (base[o] == 0 -> 0 : (past[base[o]] | BIT(token[base[o]])));
       token[revision + 1] = o;
       revision++;
       done = 1
    :: else -> done = 0
    fi
}

hidden byte i;

proctype operator(byte o)
{
    byte writes, tries;
    bit done;

read_first:
    atomic {
        if
        :: base[o] = revision
        :: told[o] = FAILED; goto over /* the service is away */
        fi
    }
write:
    atomic {
        writes++;
        if
        :: true -> swap(o, done);
           if
           :: done -> told[o] = ACCEPTED; check_told(); goto over
           :: else ->
#ifdef MUTATION_CONFLICT_AT_ONCE
              told[o] = CONFLICT; check_told(); goto over
#else
              if
              :: writes == 1 -> told[o] = CONFLICT; check_told(); goto over
              :: else -> goto resolve
              fi
#endif
           fi
        :: true -> swap(o, done); check_told(); goto doubt /* the answer is lost */
        :: late[o] = 1; goto doubt  /* it may arrive yet, or never */
        :: writes--; goto doubt     /* surely not sent */
        fi
    }
doubt:
    atomic {
        done = 0;
        tries++;
#ifdef MUTATION_LOST_IS_FAILED
        told[o] = FAILED; check_told(); goto over;
#endif
        if
        :: tries == 2 && writes > 0 -> told[o] = UNSURE; goto over
        :: tries == 2 && writes == 0 -> told[o] = FAILED; check_told(); goto over
        :: else -> goto resolve
        fi
    }
resolve:
    atomic {
        if
        :: goto doubt /* the service is away */
        :: writes == 0 && revision == base[o] -> goto write
        :: writes == 0 && revision != base[o] ->
           told[o] = CONFLICT; check_told(); goto over
        :: writes > 0 && revision != 0 && token[revision] == o ->
           told[o] = ACCEPTED; check_told(); goto over
#ifndef MUTATION_FORGET_PAST
        :: writes > 0 && revision != 0 && token[revision] != o &&
           (past[revision] & BIT(o)) ->
           told[o] = ACCEPTED; check_told(); goto over
#endif
        :: writes > 0 && revision == base[o] -> goto write
        :: writes > 0 && revision != base[o] &&
#ifdef MUTATION_FORGET_PAST
           token[revision] != o ->
#else
           !(LINE & BIT(o)) ->
#endif
           told[o] = CONFLICT; check_told(); goto over
        fi
    }
over:
    skip
}

/* Writes that arrive without their sender. */
active proctype world()
{
    byte o;
    bit done;
end:
    do
    :: atomic { late[0] -> late[0] = 0; swap(0, done); done = 0; check_told() }
    :: atomic { late[1] -> late[1] = 0; swap(1, done); done = 0; check_told() }
    :: atomic { late[2] -> late[2] = 0; swap(2, done); done = 0; check_told() }
    :: d_step { late[0] -> late[0] = 0 }
    :: d_step { late[1] -> late[1] = 0 }
    :: d_step { late[2] -> late[2] = 0 }
    od
}

inline take(n, offered)
{
#ifdef MUTATION_TAKE_ANY
    node_has[n] = offered;
#else
    if
    :: offered > node_has[n] -> node_has[n] = offered
    :: else
    fi;
#endif
    assert(node_has[n] >= highest_seen[n]); /* never goes back */
    highest_seen[n] = node_has[n]
}

/* Any revision that was ever in force may come, again and late. */
proctype node(byte n)
{
end:
    do
    :: d_step { !calm && revision >= 1 -> take(n, 1) }
    :: d_step { !calm && revision >= 2 -> take(n, 2) }
    :: d_step { !calm && revision >= 3 -> take(n, 3) }
    :: d_step { !calm && node_has[1 - n] > 0 -> take(n, node_has[1 - n]) }
    od
}

/* From some moment on messages flow: a watcher hears of the service's value,
 * the other sees the revision in its frames and pulls. */
active proctype flow()
{
    atomic {
        calm = 1;
        d_step {
#ifndef MUTATION_NO_WATCH
            take(0, revision);
#endif
            take(1, node_has[0]);
            assert(node_has[0] == revision && node_has[1] == revision)
        }
    }
}

init {
    atomic {
        run operator(0);
        run operator(1);
        run operator(2);
        run node(0);
        run node(1)
    }
}
