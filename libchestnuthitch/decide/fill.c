/* Spreads what many nodes send at the same time by the same view. */

#include "decide/fill.h"

/* Compares two costs for qsort(). */
static gint
compare_costs(gconstpointer a, gconstpointer b)
{
    double first = *(const double *)a;
    double second = *(const double *)b;
    return (first > second) - (first < second);
}

/* Returns the cost to which the cheapest places rise if each arrival goes to
 * the place that is the cheapest by then (water filling). amount: sum of the
 * costs that the arrivals add. */
static double
find_cost_level(const double *costs, size_t count, double amount)
{
    g_autofree double *sorted = g_memdup2(costs, count * sizeof(double));
    double level = 0;
    double sum = 0;
    qsort(sorted, count, sizeof(double), compare_costs);
    for (size_t i = 0; i < count; i++) {
        if (i > 0 && sorted[i] >= level) {
            break;
        }
        sum += sorted[i];
        level = (amount + sum) / (double)(i + 1);
    }
    return level;
}

static size_t
find_cheapest(const double *costs, size_t count)
{
    size_t best = 0;
    for (size_t i = 1; i < count; i++) {
        best = costs[i] < costs[best] ? i : best;
    }
    return best;
}

/*
 * See fill.h. Some hundred nodes may all see the same engine as the least busy
 * until its next load report. If all of them sent requests there, its queue
 * would outgrow its slots while other engines have free slots, and the next
 * report would turn all nodes to another engine.
 *
 * If the arrivals were placed one after the other, each at the cheapest place
 * by then, each place would get as many as raise it to a common cost level. So
 * a request chooses each place with the probability of that place's share of
 * the arrivals. With a single arrival, that is the cheapest place.
 */
size_t
ch_fill_choose(const double *costs, size_t count, double cost_per_request,
               double arrivals, double random)
{
    double amount = MAX(arrivals, 1) * cost_per_request;
    double level = find_cost_level(costs, count, amount);
    double remaining = random * amount;
    for (size_t i = 0; arrivals > 1 && i < count; i++) {
        double share = MAX(level - costs[i], 0);
        if (share > 0 && remaining < share) {
            return i;
        }
        remaining -= share;
    }
    return find_cheapest(costs, count);
}

/* A place with the cost of its next request and what each adds. */
struct uneven_place {
    double cost;
    double per_request;
};

/* Compares two places by cost for qsort(). */
static gint
compare_places(gconstpointer a, gconstpointer b)
{
    const struct uneven_place *first = a;
    const struct uneven_place *second = b;
    return compare_costs(&first->cost, &second->cost);
}

/* Like find_cost_level(), for uneven places: up to a level, a place takes its
 * distance from the level divided by what each request adds. */
static double
find_uneven_level(const double *costs, const double *costs_per_request,
                  size_t count, double arrivals)
{
    g_autofree struct uneven_place *places =
        g_new0(struct uneven_place, count);
    for (size_t i = 0; i < count; i++) {
        places[i] = (struct uneven_place){costs[i], costs_per_request[i]};
    }
    qsort(places, count, sizeof(struct uneven_place), compare_places);
    double level = 0;
    double sum = arrivals;
    double rate = 0;
    for (size_t i = 0; i < count; i++) {
        if (i > 0 && places[i].cost >= level) {
            break;
        }
        sum += places[i].cost / places[i].per_request;
        rate += 1 / places[i].per_request;
        level = sum / rate;
    }
    return level;
}

/*
 * See fill.h. For engines of uneven speed: a fast engine rises less by each
 * request, so that it takes more of the arrivals, in proportion to its speed.
 */
size_t
ch_fill_choose_uneven(const double *costs, const double *costs_per_request,
                      size_t count, double arrivals, double random)
{
    if (arrivals <= 1) {
        return find_cheapest(costs, count);
    }
    double level =
        find_uneven_level(costs, costs_per_request, count, arrivals);
    double remaining = random * arrivals;
    for (size_t i = 0; i < count; i++) {
        double share = MAX(level - costs[i], 0) / costs_per_request[i];
        if (share > 0 && remaining < share) {
            return i;
        }
        remaining -= share;
    }
    return find_cheapest(costs, count);
}
