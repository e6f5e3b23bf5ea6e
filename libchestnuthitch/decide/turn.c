/* Turns of many nodes, drawn by each for itself. */

#include "decide/turn.h"

/* A turn that was drawn when the fleet was this much smaller, or larger, is
 * drawn anew: a node that has just started knows of no other, and one that
 * drew from the round of a single node acts together with all who did. */
static const double GROWN = 1.1;
static const double SHRUNK = 0.9;
/* Part of a round by which a turn is moved either way: enough that nodes which
 * once act together drift apart, little enough that none misses its turn. */
static const double JITTER = 0.25;

/*
 * See turn.h.  Load: hundreds of nodes that start within a second, or are
 * replaced one by one.  Harm prevented: all act in the same second and then
 * none for a whole round, in which a change goes unnoticed.
 */
bool
ch_turn_due(struct ch_turn *turn, int64_t round, double random, int64_t now)
{
    double change = (double)round / (double)MAX(turn->round, 1);
    if (turn->at == 0 || change > GROWN || change < SHRUNK) {
        turn->round = round;
        turn->at = now + (int64_t)(random * (double)round);
    }
    if (now < turn->at) {
        return false;
    }
    turn->at =
        now + (int64_t)((1 - JITTER + 2 * JITTER * random) * (double)round);
    return true;
}
