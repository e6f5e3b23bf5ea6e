/*
 * The configuration's revision (libchestnuthitch/decide/revision.c,
 * node/config_manager.c).
 *
 * Operators write by compare-and-swap.  Results of writes are lost, and a write
 * may take effect long after its sender gave up on it.  Nodes receive revisions
 * late, twice and out of order, from the key-value store or from each other,
 * and join at any time.
 *
 * Properties: a node never goes back to a lower revision.  A write that was
 * reported as accepted is in the history of the revision in force or is that
 * revision; a write that was reported as a conflict or as failed never gets
 * there.  Once messages are delivered, every node has the highest revision.
 */

#define OPERATORS 3
#define NODES 2
#define NOBODY 255

/* Outcome of a write, as reported to its operator (told). */
#define SILENT 0 /* not reported yet */
#define ACCEPTED 1
#define CONFLICT 2
#define FAILED 3
#define UNSURE 4 /* CH_REVISION_OUTCOME_UNKNOWN */

/* config/current: the revision in force (1, 2, ...; 0: none) and, for each
 * revision, its write ID and history.  A write ID is the number of the operator
 * who wrote it, since each operator makes one write. */
byte revision;
byte token[OPERATORS + 1]; /* write ID */
byte past[OPERATORS + 1];  /* history: bit set of the earlier write IDs */

byte told[OPERATORS];
bit late[OPERATORS]; /* a write in flight that its sender has given up on */
byte base[OPERATORS]; /* revision that the write replaces; 0: none */
byte node_has[NODES]; /* revision that the node applies */
byte highest_seen[NODES];
bit calm; /* messages are delivered from now on: see flow */

/* LINE: bit set of the write IDs in force, now and earlier. */
#define BIT(o) (1 << (o))
#define LINE (revision == 0 -> 0 : (past[revision] | BIT(token[revision])))

/* Each reported outcome stays true, whatever happens later. */
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

/* The compare-and-swap.  Sets done when the write took effect. */
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
        :: told[o] = FAILED; goto over /* the key-value store is unavailable */
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
        :: true -> swap(o, done); check_told(); goto doubt /* result lost */
        :: late[o] = 1; goto doubt  /* may take effect later, or never */
        :: writes--; goto doubt     /* certainly not sent */
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
        :: goto doubt /* the key-value store is unavailable */
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

/* Writes that take effect, or are lost, after their sender gave up on them. */
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
    assert(node_has[n] >= highest_seen[n]); /* never a lower revision */
    highest_seen[n] = node_has[n]
}

/* A node may receive any revision that was ever in force, repeatedly and
 * late. */
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

/* From some moment on messages are delivered: a watcher learns the value in the
 * key-value store, and the other node sees the revision in the watcher's frames
 * and pulls the configuration. */
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
