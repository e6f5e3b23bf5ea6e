/* What a home learns from the requests that it granted: time for a token
 * against the number that run at once, time to the first byte, time a slot is
 * held. */

#include "decide/home.h"

#include <math.h>

enum {
    /* What is assumed of an upstream until it has been measured. */
    FIRST_ENGINE = 150 * 1000,
    FIRST_SERVICE = 50 * 1000,
    TOKEN = 30 * 1000,
    /* Demand fades by 1/e in these times: short enough that a burst at the
     * start of a rehearsal shows within seconds, and long enough that a model
     * asked for ten times a minute is not taken for idle between two. */
    FAST = 10 * G_USEC_PER_SEC,
    SLOW = 60 * G_USEC_PER_SEC,
};

/* Weight of the past at each sample: about the last fifty count, so that an
 * upstream that turns slow is seen after a few of its answers. */
static const double KEEP = 0.98;

/* Nothing measured yet: the assumptions above hold. */
void
ch_rates_init(struct ch_rates *rates, bool engine)
{
    *rates = (struct ch_rates){
        .first = engine ? FIRST_ENGINE : FIRST_SERVICE,
        .hold = engine ? 100.0 * TOKEN : FIRST_SERVICE,
        .engine = engine,
    };
}

/* Takes in how one request went.  running: how many ran at once, on average;
 * held: microseconds from grant to release. */
void
ch_rates_add(struct ch_rates *rates, const struct ch_sample *sample,
             double running, int64_t held, int64_t now)
{
    if (sample->code != CH_OK) {
        return;
    }
    rates->sampled = now;
    rates->hold += 0.05 * ((double)held - rates->hold);
    if (sample->first > 0) {
        rates->first += 0.1 * ((double)sample->first - rates->first);
    }
    if (sample->token <= 0) {
        return;
    }
    double token = (double)sample->token;
    rates->weight = rates->weight * KEEP + 1;
    rates->sum_n = rates->sum_n * KEEP + running;
    rates->sum_t = rates->sum_t * KEEP + token;
    rates->sum_nn = rates->sum_nn * KEEP + running * running;
    rates->sum_nt = rates->sum_nt * KEEP + running * token;
}

/* Microseconds for a token when so many run at once: the line of least
 * squares through the samples, never falling with the number. */
double
ch_rates_token(const struct ch_rates *rates, double running)
{
    if (rates->weight <= 0) {
        return TOKEN;
    }
    double mean_n = rates->sum_n / rates->weight;
    double mean_t = rates->sum_t / rates->weight;
    double spread = rates->sum_nn / rates->weight - mean_n * mean_n;
    if (spread < 0.5) {
        return mean_t;
    }
    double slope = (rates->sum_nt / rates->weight - mean_n * mean_t) / spread;
    slope = CLAMP(slope, 0.0, mean_t / MAX(mean_n, 1.0));
    return mean_t + slope * (running - mean_n);
}

/* Microseconds that the request will hold its slot beside so many others. */
int64_t
ch_rates_hold(const struct ch_rates *rates, const struct ch_work *work,
              uint32_t running)
{
    if (!rates->engine) {
        return (int64_t)rates->hold;
    }
    double token = ch_rates_token(rates, (double)running);
    return (int64_t)(rates->first + token * (double)work->output_tokens);
}

/*
 * How many requests may run at once so that a token takes no longer than
 * `between` (0: no target), and never more than most.
 *
 * Load: a queue of waiting requests in front of an engine that batches.  Harm
 * prevented: each further request in the batch slows the tokens of all; past
 * the target every one of them misses.  One always may run, so that an
 * upstream that has become slow is still measured.
 */
uint32_t
ch_rates_batch(const struct ch_rates *rates, int64_t between, uint32_t most)
{
    if (between <= 0 || rates->weight < 5) {
        return most;
    }
    uint32_t low = 1;
    uint32_t high = most;
    while (low < high) {
        uint32_t middle = low + (high - low + 1) / 2;
        if (ch_rates_token(rates, middle) <= (double)between) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return low;
}

/* A level that has faded since. */
static double
faded(double level, int64_t since, int64_t now, int64_t fades)
{
    return now <= since ? level
                        : level * exp(-(double)(now - since) / (double)fades);
}

/* Counts one request. */
void
ch_demand_add(struct ch_demand *demand, int64_t now)
{
    demand->fast = faded(demand->fast, demand->at, now, FAST) +
                   (double)G_USEC_PER_SEC / FAST;
    demand->slow = faded(demand->slow, demand->at, now, SLOW) +
                   (double)G_USEC_PER_SEC / SLOW;
    demand->at = MAX(demand->at, now);
}

/* Requests a second that have to be reckoned with: the higher of both. */
double
ch_demand_most(const struct ch_demand *demand, int64_t now)
{
    return MAX(faded(demand->fast, demand->at, now, FAST),
               faded(demand->slow, demand->at, now, SLOW));
}

/* Requests a second that can be counted on: those of the last minute, or of
 * the last seconds less the chance error of so few arrivals. */
double
ch_demand_least(const struct ch_demand *demand, int64_t now)
{
    double fast = faded(demand->fast, demand->at, now, FAST);
    double chance = sqrt(fast * G_USEC_PER_SEC / (2.0 * FAST));
    return MAX(fast - chance, faded(demand->slow, demand->at, now, SLOW));
}
