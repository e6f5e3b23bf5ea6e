/* Spreading what many nodes send at once by one view. */

#include "decide/fill.h"

/* Orders costs, the least first. */
static gint
by_cost(gconstpointer a, gconstpointer b)
{
    double first = *(const double *)a;
    double second = *(const double *)b;
    return (first > second) - (first < second);
}

/*
 * The cost up to which the cheapest places are filled by all arrivals, if each
 * of them goes to the place that is cheapest by then.
 */
static double
level_of(const double *costs, size_t count, double amount)
{
    g_autofree double *sorted = g_memdup2(costs, count * sizeof(double));
    double level = 0;
    double sum = 0;
    qsort(sorted, count, sizeof(double), by_cost);
    for (size_t i = 0; i < count; i++) {
        if (i > 0 && sorted[i] >= level) {
            break;
        }
        sum += sorted[i];
        level = (amount + sum) / (double)(i + 1);
    }
    return level;
}

/* The cheapest place. */
static size_t
cheapest(const double *costs, size_t count)
{
    size_t best = 0;
    for (size_t i = 1; i < count; i++) {
        best = costs[i] < costs[best] ? i : best;
    }
    return best;
}

/*
 * See fill.h.  Load: some hundred nodes that all see the same engine as the
 * least busy one until the next word on it.  Harm prevented: all of them send
 * there, its queue grows past its slots beside engines with places free, and
 * the next word turns them all to another one.  If the arrivals were placed
 * one after the other, each where it is cheapest by then, a place would get
 * what lifts it to one level with the others; so each of them takes it with
 * the probability of that part.  With one arrival that is the cheapest place.
 */
size_t
ch_fill_choose(const double *costs, size_t count, double each, double arrivals,
               double random)
{
    double amount = MAX(arrivals, 1) * each;
    double level = level_of(costs, count, amount);
    double at = random * amount;
    for (size_t i = 0; arrivals > 1 && i < count; i++) {
        double part = MAX(level - costs[i], 0);
        if (part > 0 && at < part) {
            return i;
        }
        at -= part;
    }
    return cheapest(costs, count);
}
