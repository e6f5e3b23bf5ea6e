/*
 * The reservation ledger of one upstream (libchestnuthitch/decide/ledger.c,
 * node/upstream_ledger.c).
 *
 * Two nodes ("holders") both act as the upstream's home node.  Each may be
 * paused between any two of its steps for any time, or die and restart under
 * the same name.  Results of key-value writes are lost.  Orders are lost,
 * delayed or sent again.  The engine restarts, and then forgets which orders it
 * executed and which fencing tokens it saw.  Every item takes one unit of
 * memory.
 *
 * Property: the memory of resident items never exceeds CAPACITY.  With RECOVER
 * also: when the failures end, any wanted item becomes resident.
 *
 * FENCING: the engine refuses an order whose fencing token is lower than one
 * that it saw before.  Each MUTATION_... removes one safeguard; spin must find
 * a violation then.
 */

#ifndef CAPACITY
#define CAPACITY 1
#endif
#ifndef LOADS
#define LOADS 2 /* load orders recorded in total */
#endif
#ifndef UNLOADS
#define UNLOADS 1
#endif
#ifndef RESENDS
#define RESENDS 1 /* orders sent again in total */
#endif
#ifndef BOOTS
#define BOOTS 2
#endif
#define ITEMS 2
#define HOLDERS 2
#ifdef RECOVER
/* Two more orders of each kind for the recovery. */
#define ALL_LOADS (LOADS + 2)
#define ALL_UNLOADS (UNLOADS + 2)
#else
#define ALL_LOADS LOADS
#define ALL_UNLOADS UNLOADS
#endif
/* A send: all copies of one load order that one holder has sent or may send. */
#define SENDS (ALL_LOADS * HOLDERS)
#define SEND(order, holder) ((order) * HOLDERS + (holder))

/* States of an entry (enum ch_ledger_state; ABSENT: no entry), and delivery of
 * a send (enum ch_ledger_delivery; NONE: no such send in the ledger). */
#define ABSENT 0
#define RESERVED 1
#define RESIDENT 2
#define UNLOADING 3
#define NONE 0
#define OPEN 1
#define ENDED 2
#define SETTLED 3

/* How a copy ended for its sender: ENDED, or REFUSED when the copy certainly
 * did not reach the engine or was rejected by it. */
#define REFUSED 4

typedef Ledger {
    byte fence; /* fencing token; incremented with each recorded order, like
                 * the ledger's version */
    byte boot;  /* boot ID of the engine process that the entries describe */
    byte state[ITEMS];
    byte order[ITEMS]; /* the unload order, while UNLOADING */
    byte delivery[SENDS];
    byte copies[SENDS];
    bit done[ALL_LOADS]; /* executed by the current boot */
};

typedef Report {
    bit here; /* the holder has a report */
    byte boot;
    bit resident[ITEMS];
    bit loads_done[ALL_LOADS];
    bit unloads_done[ALL_UNLOADS];
    bit ripe[SENDS]; /* the report was requested after the holder knew that its
                      * copy had ended */
};

typedef Copy {
    bit on_way;       /* in flight: the sender's connection is open */
    byte with_boot;   /* 1 + the boot that received the copy but has not read it
                       * yet; 0: none */
    byte fence;       /* fencing token of the copy in flight */
    byte held_fence;  /* fencing token of the copy at with_boot */
    byte end;         /* ENDED or REFUSED, not yet in the ledger; 0: no end */
    bit sent;         /* the sender still waits for the copy's end, or has to
                       * record that end */
};

typedef Order {
    byte kind; /* 0: none, 1: load, 2: unload */
    byte id;
    byte fence;
};

/* The ledger in the key-value store. */
Ledger kv;

/* The engine.  What it executed and saw is lost at a restart. */
byte boot;
bit resident[ITEMS];
bit loads_done[ALL_LOADS];
bit unloads_done[ALL_UNLOADS];
byte highest_fence;

/* The network.  An unload order may arrive at any time after it was sent, also
 * again after a restart of the engine. */
Copy copy[SENDS];
bit unload_sent[ALL_UNLOADS];

/* The holders. */
Ledger known[HOLDERS];
bit knows[HOLDERS];
bit current[HOLDERS]; /* known has the revision in the key-value store */
Report report[HOLDERS];
Order to_send[HOLDERS];

/* The item of each order, and how many orders have been recorded. */
byte load_item[ALL_LOADS];
byte unload_item[ALL_UNLOADS];
byte loads_given;
byte unloads_given;
byte resends_given;

bit calm; /* no further failures: the recovery runs */

/* Temporary variables, used only within one step. */
hidden Ledger next;
hidden byte i, j, k, sum, sole;
hidden byte changed, allowed;

/* ---- ledgers ---- */

inline assign(to, from)
{
    to.fence = from.fence;
    to.boot = from.boot;
    for (i : 0 .. ITEMS - 1) {
        to.state[i] = from.state[i];
        to.order[i] = from.order[i];
    }
    for (i : 0 .. SENDS - 1) {
        to.delivery[i] = from.delivery[i];
        to.copies[i] = from.copies[i];
    }
    for (i : 0 .. ALL_LOADS - 1) {
        to.done[i] = from.done[i];
    }
}

inline clear_scratch()
{
    next.fence = 0;
    next.boot = 0;
    for (i : 0 .. ITEMS - 1) {
        next.state[i] = 0;
        next.order[i] = 0;
    }
    for (i : 0 .. SENDS - 1) {
        next.delivery[i] = 0;
        next.copies[i] = 0;
    }
    for (i : 0 .. ALL_LOADS - 1) {
        next.done[i] = 0;
    }
    i = 0; j = 0; k = 0; sum = 0; sole = 0;
}

inline drop_send(s)
{
    next.delivery[s] = NONE;
    next.copies[s] = 0;
}

/* Sets sum to the committed memory: the number of items in the ledger. */
inline committed()
{
    sum = 0;
    for (i : 0 .. ITEMS - 1) {
        if
        :: next.state[i] != ABSENT -> sum++
        :: else
        fi
    }
}

/* Sets allowed when a copy for item fits into memory beside all copies that a
 * new boot of the engine could still execute. */
inline may_send(item)
{
    sum = 1;
    for (i : 0 .. ITEMS - 1) {
        changed = 0;
        for (j : 0 .. SENDS - 1) {
            if
            :: (next.delivery[j] == OPEN || next.delivery[j] == ENDED) &&
               load_item[j / HOLDERS] == i && i != item -> changed = 1
            :: else
            fi
        }
        sum = sum + changed;
    }
    changed = 0;
#ifdef MUTATION_NO_EXPOSURE
    allowed = 1;
#else
    allowed = (sum <= CAPACITY);
#endif
}

/* Sets k to an order for item that the current boot has not executed;
 * ALL_LOADS: none. */
inline unclosed(item)
{
    k = ALL_LOADS;
    for (j : 0 .. SENDS - 1) {
        if
        :: k == ALL_LOADS && next.delivery[j] != NONE &&
           load_item[j / HOLDERS] == item && !next.done[j / HOLDERS] ->
           k = j / HOLDERS
        :: else
        fi
    }
}

inline open_send(order, holder)
{
    next.delivery[SEND(order, holder)] = OPEN;
    next.copies[SEND(order, holder)] =
        (next.copies[SEND(order, holder)] == 2 -> 2
            : next.copies[SEND(order, holder)] + 1);
}

/* ---- evidence ---- */

/* Records that the sender's copy has ended. */
inline end_send(s, was_refused)
{
    if
    :: next.delivery[s] == OPEN ->
        sole = (next.copies[s] == 1 && !next.done[s / HOLDERS]);
        for (j : 0 .. SENDS - 1) {
            if
            :: j != s && next.delivery[j] != NONE &&
               load_item[j / HOLDERS] == load_item[s / HOLDERS] -> sole = 0
            :: else
            fi
        }
#ifdef MUTATION_REFUSED_FREES
        sole = 1;
#endif
        changed = 1;
        if
        :: was_refused && sole ->
            if
            :: next.state[load_item[s / HOLDERS]] == RESERVED ->
               next.state[load_item[s / HOLDERS]] = ABSENT
            :: else
            fi;
            drop_send(s)
        :: else ->
#ifdef MUTATION_SETTLED_BY_ANSWER
            next.delivery[s] = SETTLED
#else
            next.delivery[s] = ENDED
#endif
        fi
    :: else
    fi
}

/* After the ledger was read: a send of this holder that is open in the ledger,
 * but that the holder does not wait for, was forgotten or belongs to an earlier
 * process of the holder, so it has ended. */
inline adopt(holder)
{
    for (k : 0 .. ALL_LOADS - 1) {
        if
#ifdef MUTATION_ADOPT_ENDED
        :: !copy[SEND(k, holder)].on_way ->
#else
        :: !copy[SEND(k, holder)].sent ->
#endif
           end_send(SEND(k, holder), 0)
        :: else
        fi
    }
}

/* Records the ends that the holder knows of: refusals at once, other ends when
 * the holder has a report that was requested after the end. */
inline note_ends(holder)
{
    for (k : 0 .. ALL_LOADS - 1) {
        if
        :: copy[SEND(k, holder)].end == REFUSED ||
           (copy[SEND(k, holder)].end == ENDED &&
            (report[holder].here && report[holder].ripe[SEND(k, holder)])) ->
           end_send(SEND(k, holder), copy[SEND(k, holder)].end == REFUSED);
           copy[SEND(k, holder)].end = 0;
           copy[SEND(k, holder)].sent = 0
        :: else
        fi
    }
}

inline take_boot(to)
{
    next.boot = to;
    for (i : 0 .. ITEMS - 1) {
        next.state[i] = ABSENT;
        next.order[i] = 0;
    }
    for (j : 0 .. SENDS - 1) {
        if
        :: next.delivery[j] == SETTLED -> drop_send(j)
        :: else
        fi
    }
    for (j : 0 .. ALL_LOADS - 1) {
        next.done[j] = 0;
    }
    for (j : 0 .. SENDS - 1) {
        if
        :: next.delivery[j] != NONE ->
#ifdef MUTATION_DROP_AT_BOOT
           skip
#else
           next.state[load_item[j / HOLDERS]] = RESERVED
#endif
        :: else
        fi
    }
}

inline observe_sends(r)
{
    for (j : 0 .. SENDS - 1) {
        if
        :: next.delivery[j] == ENDED -> next.delivery[j] = SETTLED; changed = 1
        :: else
        fi;
        if
        :: next.delivery[j] != NONE && r.loads_done[j / HOLDERS] &&
           !next.done[j / HOLDERS] ->
           next.done[j / HOLDERS] = 1; changed = 1
        :: else
        fi
    }
}

inline observe_entry(r, item)
{
    if
    :: next.state[item] == RESERVED ->
        unclosed(item);
        if
        :: k == ALL_LOADS ->
           next.state[item] = (r.resident[item] -> RESIDENT : ABSENT);
           changed = 1
        :: else
        fi
    :: next.state[item] == RESIDENT && !r.resident[item] ->
        next.state[item] = ABSENT; changed = 1
    :: next.state[item] == UNLOADING &&
       r.unloads_done[next.order[item]] ->
        next.state[item] = (r.resident[item] -> RESIDENT : ABSENT);
        changed = 1
    :: next.state[item] == ABSENT && r.resident[item] ->
        next.state[item] = RESIDENT; changed = 1
    :: else
    fi
}

inline observe(r)
{
    if
    :: r.boot != next.boot -> take_boot(r.boot); changed = 1
    :: else
    fi;
    observe_sends(r);
    for (i : 0 .. ITEMS - 1) {
        observe_entry(r, i)
    }
    for (j : 0 .. SENDS - 1) {
        if
        :: next.delivery[j] == SETTLED && next.done[j / HOLDERS] ->
           drop_send(j)
        :: else
        fi
    }
    for (j : 0 .. ALL_LOADS - 1) {
        /* The ledger keeps done in its sends: it goes with the last send. */
        sole = 0;
        for (k : 0 .. HOLDERS - 1) {
            if
            :: next.delivery[SEND(j, k)] != NONE -> sole = 1
            :: else
            fi
        }
        if
        :: !sole -> next.done[j] = 0
        :: else
        fi
    }
}

/* ---- the engine ---- */

inline carry_out(id, with_fence, refused_out)
{
    refused_out = 0;
    if
    :: loads_done[id]
#ifdef FENCING
    :: !loads_done[id] && with_fence < highest_fence -> refused_out = 1
    :: !loads_done[id] && with_fence >= highest_fence ->
        highest_fence = with_fence;
#else
    :: !loads_done[id] ->
#endif
        loads_done[id] = 1;
        resident[load_item[id]] = 1;
        printf("engine boot %d: load %d of item %d\n", boot, id,
               load_item[id]);
        sum = 0;
        for (i : 0 .. ITEMS - 1) {
            sum = sum + resident[i];
        }
        assert(sum <= CAPACITY); /* no overcommitted memory */
        sum = 0; i = 0
    fi
}

inline restart_engine()
{
    boot++;
    printf("engine: boot %d\n", boot);
    highest_fence = 0;
    for (i : 0 .. ITEMS - 1) {
        resident[i] = 0;
    }
    for (i : 0 .. ALL_LOADS - 1) {
        loads_done[i] = 0;
    }
    for (i : 0 .. ALL_UNLOADS - 1) {
        unloads_done[i] = 0;
    }
    i = 0
}

/* What may happen to a copy of one send. */
#define TRAVEL(s)                                                             \
    :: d_step { /* arrives and ends; a lost response is also an end */        \
        !calm && copy[s].on_way ->                                            \
        carry_out(s / HOLDERS, copy[s].fence, no);                            \
        copy[s].on_way = 0;                                                   \
        copy[s].end = (no -> REFUSED : ENDED);                                \
        no = 0                                                                \
       }                                                                      \
    :: d_step { /* refused: the engine has not enough memory */               \
        !calm && copy[s].on_way ->                                            \
        printf("refused: copy %d\n", s);                                      \
        copy[s].on_way = 0;                                                   \
        copy[s].end = REFUSED                                                 \
       }                                                                      \
    :: d_step { /* lost */                                                    \
        !calm && copy[s].on_way ->                                            \
        printf("lost: copy %d\n", s);                                         \
        copy[s].on_way = 0;                                                   \
        copy[s].end = ENDED                                                   \
       }                                                                      \
    :: d_step { /* the sender gives up; the current boot has it unread */     \
        !calm && copy[s].on_way && copy[s].with_boot == 0 ->                  \
        printf("given up: copy %d\n", s);                                     \
        copy[s].on_way = 0;                                                   \
        copy[s].end = ENDED;                                                  \
        copy[s].with_boot = 1 + boot;                                         \
        copy[s].held_fence = copy[s].fence                                    \
       }                                                                      \
    :: d_step { /* the same boot reads and executes it later */               \
        !calm && copy[s].with_boot == 1 + boot ->                             \
        carry_out(s / HOLDERS, copy[s].held_fence, no);                       \
        copy[s].with_boot = 0; copy[s].held_fence = 0; no = 0                 \
       }

#define UNLOAD(u)                                                             \
    :: d_step {                                                               \
        !calm && unload_sent[u] && !unloads_done[u] ->                        \
        printf("engine: unload %d\n", u);                                     \
        unloads_done[u] = 1;                                                  \
        resident[unload_item[u]] = 0                                          \
       }

/* The engine, which may restart, and the network, which may lose orders. */
active proctype world()
{
    bit no;
end:
    do
    TRAVEL(0)
    TRAVEL(1)
    TRAVEL(2)
    TRAVEL(3)
#if LOADS > 2
    TRAVEL(4)
    TRAVEL(5)
#endif
    UNLOAD(0)
#if UNLOADS > 1
    UNLOAD(1)
#endif
    :: d_step { !calm && boot < BOOTS - 1 -> restart_engine() }
    od
}

/* ---- a holder ---- */

/* Makes the change of this step in next, a copy of the known ledger, and sets
 * changed if there is any.  what: 0 records ends and the report only, 1 also
 * reserves memory to load item, 2 unloads item, 3 sends the open order for item
 * again, 4 frees the reservation after a timeout (mutation only). */
inline change(h, what, item)
{
    assign(next, known[h]);
    changed = 0;
    adopt(h);
    note_ends(h);
    if
    :: report[h].here -> observe(report[h])
    :: else
    fi;
    if
    :: what == 1 && next.state[item] == ABSENT && loads_given < LOADS ->
        committed();
        allowed = (sum < CAPACITY);
        if
        :: allowed -> may_send(item)
        :: else
        fi;
        if
        :: allowed ->
           load_item[loads_given] = item;
           next.state[item] = RESERVED;
           open_send(loads_given, h);
           to_send[h].kind = 1; to_send[h].id = loads_given;
           loads_given++;
           changed = 1
        :: else
        fi
    :: what == 2 && next.state[item] == RESIDENT &&
       unloads_given < UNLOADS ->
        unload_item[unloads_given] = item;
        next.order[item] = unloads_given;
#ifdef MUTATION_UNLOAD_FREES
        next.state[item] = ABSENT;
#else
        next.state[item] = UNLOADING;
#endif
        to_send[h].kind = 2; to_send[h].id = unloads_given;
        unloads_given++;
        changed = 1
    :: what == 3 && next.state[item] == RESERVED && resends_given < RESENDS ->
        unclosed(item);
        if
        :: k != ALL_LOADS && !copy[SEND(k, h)].sent ->
            sole = k;
            may_send(item);
            if
            :: allowed ->
               open_send(sole, h);
               to_send[h].kind = 1; to_send[h].id = sole;
               resends_given++;
               changed = 1
            :: else
            fi
        :: else
        fi
#ifdef MUTATION_TIMEOUT_FREES
    :: what == 4 && next.state[item] == RESERVED ->
        next.state[item] = ABSENT;
        changed = 1
#endif
    :: else
    fi;
    if
    :: to_send[h].kind != 0 ->
       next.fence++;
       to_send[h].fence = next.fence
    :: else
    fi
}

inline clear_known(h)
{
    known[h].fence = 0;
    known[h].boot = 0;
    for (i : 0 .. ITEMS - 1) {
        known[h].state[i] = 0;
        known[h].order[i] = 0;
    }
    for (i : 0 .. SENDS - 1) {
        known[h].delivery[i] = 0;
        known[h].copies[i] = 0;
    }
    for (i : 0 .. ALL_LOADS - 1) {
        known[h].done[i] = 0;
    }
    i = 0
}

/* Writes next by compare-and-swap.  how: 0 the result arrives, 1 the write
 * takes effect and the result is lost.  (A write that takes no effect and whose
 * result is lost is the same as no attempt to write.) */
inline write(h, how)
{
    if
    ::
#ifdef MUTATION_BLIND_WRITE
       1 ->
#else
       current[h] ->
#endif
       assign(kv, next);
       current[0] = 0;
       current[1] = 0;
       current[h] = 1;
       allowed = 1
    :: else -> allowed = 0
    fi;
    printf("%d writes: items %d%d sends %d%d%d%d done %d%d took %d how %d\n", h,
           next.state[0], next.state[1], next.delivery[0], next.delivery[1],
           next.delivery[2], next.delivery[3], next.done[0], next.done[1],
           allowed, how);
    if
    :: allowed && how == 0 -> assign(known[h], next)
    :: else ->
       knows[h] = 0;
       current[h] = 0;
       clear_known(h);
#ifdef MUTATION_SEND_IN_DOUBT
       if
       :: how != 0
       :: else -> to_send[h].kind = 0; to_send[h].id = 0; to_send[h].fence = 0
       fi
#else
       to_send[h].kind = 0; to_send[h].id = 0; to_send[h].fence = 0
#endif
    fi
}

inline drop_report(h)
{
    report[h].here = 0;
    report[h].boot = 0;
    for (i : 0 .. ITEMS - 1) {
        report[h].resident[i] = 0;
    }
    for (i : 0 .. ALL_LOADS - 1) {
        report[h].loads_done[i] = 0;
    }
    for (i : 0 .. ALL_UNLOADS - 1) {
        report[h].unloads_done[i] = 0;
    }
    for (i : 0 .. SENDS - 1) {
        report[h].ripe[i] = 0;
    }
    i = 0
}

inline take_report(h)
{
    printf("%d has a report: boot %d resident %d%d\n", h, boot, resident[0],
           resident[1]);
    report[h].here = 1;
    report[h].boot = boot;
    for (i : 0 .. ITEMS - 1) {
        report[h].resident[i] = resident[i];
    }
    for (i : 0 .. ALL_LOADS - 1) {
        report[h].loads_done[i] = loads_done[i];
    }
    for (i : 0 .. ALL_UNLOADS - 1) {
        report[h].unloads_done[i] = unloads_done[i];
    }
    for (i : 0 .. SENDS - 1) {
        report[h].ripe[i] = (i % HOLDERS == h && copy[i].end == ENDED);
    }
    i = 0
}

inline send_order(h)
{
    if
    :: to_send[h].kind == 1 ->
       printf("%d sends copy %d\n", h, SEND(to_send[h].id, h));
       copy[SEND(to_send[h].id, h)].on_way = 1;
       copy[SEND(to_send[h].id, h)].sent = 1;
       copy[SEND(to_send[h].id, h)].fence = to_send[h].fence
    :: else ->
       printf("%d sends unload %d\n", h, to_send[h].id);
       unload_sent[to_send[h].id] = 1
    fi;
    to_send[h].kind = 0; to_send[h].id = 0; to_send[h].fence = 0
}

/* The process dies.  Its copies in flight are lost or, with kept, were received
 * by the current boot, which has not read them yet. */
inline die(h, kept)
{
    printf("%d dies\n", h);
    knows[h] = 0;
    current[h] = 0;
    clear_known(h);
    to_send[h].kind = 0; to_send[h].id = 0; to_send[h].fence = 0;
    drop_report(h);
    for (j : 0 .. ALL_LOADS - 1) {
        if
        :: copy[SEND(j, h)].on_way && kept &&
           copy[SEND(j, h)].with_boot == 0 ->
           copy[SEND(j, h)].with_boot = 1 + boot;
           copy[SEND(j, h)].held_fence = copy[SEND(j, h)].fence
        :: else
        fi;
        copy[SEND(j, h)].on_way = 0;
        copy[SEND(j, h)].fence = 0;
        copy[SEND(j, h)].end = 0;
        copy[SEND(j, h)].sent = 0
    }
    j = 0
}

/* Whether the holder has a report or the end of a copy to record. */
#define NEWS(h) (report[h].here || adopting(h) || refusal(h))
#define adopting(h)                                                           \
    ((known[h].delivery[SEND(0, h)] == OPEN && !copy[SEND(0, h)].sent) ||     \
     (known[h].delivery[SEND(1, h)] == OPEN && !copy[SEND(1, h)].sent))
#define refusal(h)                                                            \
    (copy[SEND(0, h)].end == REFUSED || copy[SEND(1, h)].end == REFUSED)
/* The items are interchangeable, so the first order is always for the first
 * item, which saves states. */
#define FIRST(item) (loads_given > 0 || item == 0)
#define FREE(h) (!calm && knows[h] && to_send[h].kind == 0)

#ifdef MUTATION_OLD_REPORT
#define OLD_REPORT_STAYS(h) if :: knows[h] -> drop_report(h) :: else fi;
#else
#define OLD_REPORT_STAYS(h) drop_report(h);
#endif

/* One step: a change and its write, which ends as how says. */
#define STEP(h, guard, what, item, how)                                       \
    :: d_step {                                                               \
        FREE(h) && (guard) ->                                                 \
        change(h, what, item);                                                \
        if                                                                    \
        :: changed -> write(h, how)                                           \
        :: else                                                               \
        fi;                                                                   \
        OLD_REPORT_STAYS(h)                                                   \
        clear_scratch();                                                      \
        changed = 0; allowed = 0                                              \
       }

#define STEPS(h, guard, what, item)                                           \
    STEP(h, guard, what, item, 0)                                             \
    STEP(h, guard, what, item, 1)

proctype holder(byte h)
{
    bit died;
end:
    do
    :: d_step {
        !calm && !knows[h] && to_send[h].kind == 0 ->
        printf("%d reads\n", h);
        assign(known[h], kv);
        knows[h] = 1;
        current[h] = 1;
#ifndef MUTATION_OLD_REPORT
        drop_report(h)
#endif
       }
    :: d_step { FREE(h) && !report[h].here -> take_report(h) }
    STEPS(h, NEWS(h), 0, 0)
    STEPS(h, known[h].state[0] == ABSENT && FIRST(0), 1, 0)
    STEPS(h, known[h].state[1] == ABSENT && FIRST(1), 1, 1)
    STEPS(h, known[h].state[0] == RESIDENT, 2, 0)
    STEPS(h, known[h].state[1] == RESIDENT, 2, 1)
    STEPS(h, known[h].state[0] == RESERVED && resends_given < RESENDS, 3, 0)
    STEPS(h, known[h].state[1] == RESERVED && resends_given < RESENDS, 3, 1)
#ifdef MUTATION_TIMEOUT_FREES
    STEPS(h, known[h].state[0] == RESERVED, 4, 0)
#endif
    :: d_step { !calm && to_send[h].kind != 0 -> send_order(h) }
    :: d_step { !calm && h == 0 && !died -> died = 1; die(h, 0) }
    :: d_step { !calm && h == 0 && !died -> died = 1; die(h, 1) }
    od
}

#ifdef RECOVER
/* ---- when the failures end ---- */

/* All copies of one holder have ended, and the ledger records that. */
inline settle_holder(h)
{
    for (j : 0 .. ALL_LOADS - 1) {
        copy[SEND(j, h)].on_way = 0;
        copy[SEND(j, h)].sent = 0;
        copy[SEND(j, h)].end = 0;
        if
        :: kv.delivery[SEND(j, h)] == OPEN -> kv.delivery[SEND(j, h)] = ENDED
        :: else
        fi
    }
}

/* Sends a load order, which arrives. */
inline recover_load(id)
{
    copy[SEND(id, 0)].sent = 0;
    next.fence++;
    carry_out(id, next.fence, refused);
    assert(!refused);
    next.delivery[SEND(id, 0)] = ENDED
}

/* One round of the only remaining holder (0): takes a report, then does the
 * next step that helps to make the wanted item resident. */
inline recover_round(want)
{
    assign(next, kv);
    take_report(0);
    observe(report[0]);
    drop_report(0);
    other = 1 - want;
    if
    :: next.state[want] == RESERVED ->
        unclosed(want);
        id = k;
        may_send(want);
        if
        :: id != ALL_LOADS && allowed -> open_send(id, 0); recover_load(id)
        :: else
        fi
    :: next.state[want] == ABSENT ->
        committed();
        allowed = (sum < CAPACITY);
        if
        :: allowed -> may_send(want)
        :: else
        fi;
        if
        :: allowed && loads_given < ALL_LOADS ->
           load_item[loads_given] = want;
           next.state[want] = RESERVED;
           id = loads_given;
           loads_given++;
           open_send(id, 0);
           recover_load(id)
        :: else ->
            if
            :: next.state[other] == RESIDENT && unloads_given < ALL_UNLOADS ->
               unload_item[unloads_given] = other;
               next.order[other] = unloads_given;
               next.state[other] = UNLOADING;
               unloads_done[unloads_given] = 1;
               resident[other] = 0;
               unloads_given++
            :: next.state[other] == UNLOADING ->
               unloads_done[next.order[other]] = 1;
               resident[other] = 0
            :: next.state[other] == RESERVED ->
                unclosed(other);
                id = k;
                may_send(other);
                if
                :: id != ALL_LOADS && allowed ->
                   open_send(id, 0); recover_load(id)
                :: else
                fi
            :: else
            fi
        fi
    :: next.state[want] == UNLOADING ->
        unloads_done[next.order[want]] = 1;
        resident[want] = 0
    :: else
    fi;
    assign(kv, next);
    clear_scratch();
    allowed = 0; changed = 0
}

/* The failures may end at any moment, with any item wanted.  The recovery then
 * takes at most 14 rounds. */
active proctype recovery()
{
    byte want, other, id, round, s;
    bit refused;
    select(want : 0 .. ITEMS - 1);
    atomic {
        calm = 1;
        d_step {
            for (s : 0 .. SENDS - 1) {
                if
                :: copy[s].with_boot == 1 + boot ->
                   carry_out(s / HOLDERS, copy[s].held_fence, refused)
                :: else
                fi;
                copy[s].with_boot = 0
            }
            settle_holder(0);
#ifndef MUTATION_NEVER_SETTLED
            settle_holder(1);
#endif
            for (round : 1 .. 14) {
                recover_round(want)
            }
        }
        /* Every wanted item can become resident again. */
        assert(resident[want] && kv.state[want] == RESIDENT)
    }
}
#endif

init {
    atomic {
        run holder(0);
        run holder(1)
    }
}
