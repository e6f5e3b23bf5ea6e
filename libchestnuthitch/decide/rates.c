/* Service times estimated from granted requests: time per token as a function
 * of the number of concurrent requests, time to the first byte, and time that
 * a request holds its slot. */

#include "decide/home.h"

#include <math.h>

enum {
    /* Values assumed for an upstream until there are samples. */
    ENGINE_FIRST_BYTE_US = 150 * 1000,
    SERVICE_FIRST_BYTE_US = 50 * 1000,
    ENGINE_US_PER_TOKEN = 30 * 1000,
    /* Demand decays by 1/e in these times: fast enough for a burst at the
     * start of a rehearsal to show within seconds, and slow enough that a
     * model requested ten times a minute doesn't look idle between two
     * requests. */
    FAST_DEMAND_DECAY_US = 10 * G_USEC_PER_SEC,
    SLOW_DEMAND_DECAY_US = 60 * G_USEC_PER_SEC,
};

/* Weight that older samples keep when one is added.  About the last fifty
 * samples count, so that an upstream that becomes slow is noticed after a few
 * responses. */
static const double SAMPLE_DECAY = 0.98;

void
ch_service_times_init(struct ch_service_times *rates, bool engine)
{
    *rates = (struct ch_service_times){
        .first_byte_time =
            engine ? ENGINE_FIRST_BYTE_US : SERVICE_FIRST_BYTE_US,
        .slot_time =
            engine ? 100.0 * ENGINE_US_PER_TOKEN : SERVICE_FIRST_BYTE_US,
        .is_engine = engine,
    };
}

/* Adds the sample of a finished request; failed requests are ignored. running:
 * mean number of concurrent requests while it ran; slot_time: microseconds
 * from grant to release. */
void
ch_service_times_add_sample(struct ch_service_times *rates,
                            const struct ch_timing_sample *sample,
                            double running, int64_t slot_time, int64_t now)
{
    if (sample->code != CH_OK) {
        return;
    }
    rates->last_sample_at = now;
    rates->slot_time += 0.05 * ((double)slot_time - rates->slot_time);
    if (sample->first_byte_time > 0) {
        rates->first_byte_time +=
            0.1 * ((double)sample->first_byte_time - rates->first_byte_time);
    }
    if (sample->token_time <= 0) {
        return;
    }
    double us_per_token = (double)sample->token_time;
    rates->weight = rates->weight * SAMPLE_DECAY + 1;
    rates->sum_n = rates->sum_n * SAMPLE_DECAY + running;
    rates->sum_t = rates->sum_t * SAMPLE_DECAY + us_per_token;
    rates->sum_nn = rates->sum_nn * SAMPLE_DECAY + running * running;
    rates->sum_nt = rates->sum_nt * SAMPLE_DECAY + running * us_per_token;
}

/* Predicts the microseconds per token with this many concurrent requests, by
 * linear regression over the samples.  The prediction never falls as the
 * number grows. */
double
ch_service_times_predict_token(const struct ch_service_times *rates,
                               double running)
{
    if (rates->weight <= 0) {
        return ENGINE_US_PER_TOKEN;
    }
    double mean_n = rates->sum_n / rates->weight;
    double mean_t = rates->sum_t / rates->weight;
    double variance = rates->sum_nn / rates->weight - mean_n * mean_n;
    if (variance < 0.5) {
        return mean_t;
    }
    double slope =
        (rates->sum_nt / rates->weight - mean_n * mean_t) / variance;
    slope = CLAMP(slope, 0.0, mean_t / MAX(mean_n, 1.0));
    return mean_t + slope * (running - mean_n);
}

/* Predicts the microseconds that the request will hold its slot, with
 * `running` concurrent requests including this one. */
int64_t
ch_service_times_predict_slot(const struct ch_service_times *rates,
                              const struct ch_request_info *request,
                              uint32_t running)
{
    if (!rates->is_engine) {
        return (int64_t)rates->slot_time;
    }
    double us_per_token =
        ch_service_times_predict_token(rates, (double)running);
    return (int64_t)(rates->first_byte_time +
                     us_per_token * (double)request->max_output_tokens);
}

/*
 * Returns how many requests may run at once so that a token takes no longer
 * than token_target (0: no target), but at most `max`.
 *
 * Each further request in an engine's batch slows down the tokens of all.  If
 * a queue of waiting requests were granted without this limit, every request
 * in the batch would miss its target.  One request is always allowed to run,
 * so that an upstream that has become slow is still measured.
 */
uint32_t
ch_service_times_limit_batch(const struct ch_service_times *rates,
                             int64_t token_target, uint32_t max)
{
    if (token_target <= 0 || rates->weight < 5) {
        return max;
    }
    uint32_t low = 1;
    uint32_t high = max;
    while (low < high) {
        uint32_t middle = low + (high - low + 1) / 2;
        if (ch_service_times_predict_token(rates, middle) <=
            (double)token_target) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return low;
}

/* Returns a level after exponential decay since updated_at. */
static double
decay_level(double level, int64_t updated_at, int64_t now, int64_t decay_us)
{
    return now <= updated_at
               ? level
               : level * exp(-(double)(now - updated_at) / (double)decay_us);
}

/* Counts one request. */
void
ch_demand_add_request(struct ch_demand *demand, int64_t now)
{
    demand->fast_rate = decay_level(demand->fast_rate, demand->updated_at, now,
                                    FAST_DEMAND_DECAY_US) +
                        (double)G_USEC_PER_SEC / FAST_DEMAND_DECAY_US;
    demand->slow_rate = decay_level(demand->slow_rate, demand->updated_at, now,
                                    SLOW_DEMAND_DECAY_US) +
                        (double)G_USEC_PER_SEC / SLOW_DEMAND_DECAY_US;
    demand->updated_at = MAX(demand->updated_at, now);
}

/* Returns the highest plausible demand in requests per second: the larger of
 * the two averages. */
double
ch_demand_get_upper(const struct ch_demand *demand, int64_t now)
{
    return MAX(decay_level(demand->fast_rate, demand->updated_at, now,
                           FAST_DEMAND_DECAY_US),
               decay_level(demand->slow_rate, demand->updated_at, now,
                           SLOW_DEMAND_DECAY_US));
}

/* Returns the demand in requests per second that is nearly certain: the larger
 * of the one-minute average and the fast average minus its standard error, as
 * few arrivals go into it. */
double
ch_demand_get_lower(const struct ch_demand *demand, int64_t now)
{
    double fast = decay_level(demand->fast_rate, demand->updated_at, now,
                              FAST_DEMAND_DECAY_US);
    double standard_error =
        sqrt(fast * G_USEC_PER_SEC / (2.0 * FAST_DEMAND_DECAY_US));
    return MAX(fast - standard_error,
               decay_level(demand->slow_rate, demand->updated_at, now,
                           SLOW_DEMAND_DECAY_US));
}
