/*
 * Upper bound of the attainment that any policy can reach on a trace.
 *
 * All engines are treated as a single engine that holds every model, needs no
 * prefill and no loads, and generates tokens at the rate of the largest
 * batches that still meet the token targets.  Requests that arrive and are
 * due within a time interval must share the tokens generated in the interval.
 * If they need more, serving the shortest requests first leaves the fewest
 * misses.  Misses of intervals that don't overlap add up; dynamic programming
 * finds the set of intervals on a grid with the most misses.  Each
 * simplification leaves out a cost that a real policy has, so no policy can
 * exceed the bound.
 */

#include "replay/replay.h"

enum {
    GRID_US = 5 * G_USEC_PER_SEC,
    INTERVAL_SIZES = 9, /* intervals of 1, 2, 4, ... 256 grid steps */
};

struct job {
    int64_t from;
    int64_t due; /* target time of the last token */
    double work; /* tokens */
};

/* Returns the most tokens a second of one engine, over all batch sizes that
 * meet the token target (0: no target). */
static double
engine_rate(const struct ch_site *site, uint32_t batch, int64_t token_target)
{
    const struct ch_site_engine *engine = &site->engine;
    double best = 0;
    for (uint32_t n = 1; n <= batch; n++) {
        double token = (double)engine->token_time +
                       (double)engine->token_time_per_request * n;
        if (n > 1 && token_target > 0 && token > (double)token_target) {
            break;
        }
        best = MAX(best, n / token * G_USEC_PER_SEC);
    }
    return best;
}

/* Returns the most tokens a second of all engines together, under the largest
 * token target of any class. */
static double
site_rate(const struct ch_site *site, const struct ch_declaration *declaration)
{
    int64_t token_target = 0;
    for (size_t i = 0; i < declaration->class_count; i++) {
        token_target = MAX(token_target, declaration->classes[i].token_target);
    }
    double sum = 0;
    for (size_t i = 0; i < site->upstream_count; i++) {
        if (site->upstreams[i].service == NULL) {
            sum +=
                engine_rate(site, site->upstreams[i].max_batch, token_target);
        }
    }
    return sum;
}

/* Returns the requests that have targets for the first token and between
 * tokens. */
static GArray *
read_jobs(const struct ch_declaration *declaration,
          const struct ch_trace *trace)
{
    GArray *jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
    for (size_t i = 0; i < trace->count; i++) {
        const struct ch_trace_event *event = &trace->events[i];
        if (event->kind != CH_TRACE_REQUEST || event->model < 0) {
            continue;
        }
        const struct ch_class *class =
            &declaration->classes[event->class_index];
        if (class->first_token_target == 0 || class->token_target == 0) {
            continue;
        }
        struct job job = {
            .from = event->at,
            .due = event->at + class->first_token_target +
                   class->token_target * (event->output_tokens - 1),
            .work = event->output_tokens,
        };
        g_array_append_val(jobs, job);
    }
    return jobs;
}

static int
compare_token_counts(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* Returns the fewest jobs that must miss their target among those that arrive
 * and are due within an interval. */
static uint32_t
count_misses(const GArray *jobs, int64_t from, int64_t to, double rate)
{
    GArray *work = g_array_new(FALSE, FALSE, sizeof(double));
    double sum = 0;
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = &g_array_index(jobs, struct job, i);
        if (job->from >= to) {
            break;
        }
        if (job->from >= from && job->due <= to) {
            g_array_append_val(work, job->work);
            sum += job->work;
        }
    }
    double capacity = rate * (double)(to - from) / G_USEC_PER_SEC;
    uint32_t missed = 0;
    if (sum > capacity) {
        g_array_sort(work, compare_token_counts);
        for (guint i = work->len; i-- > 0 && sum > capacity;) {
            sum -= g_array_index(work, double, i);
            missed++;
        }
    }
    g_array_unref(work);
    return missed;
}

/* Returns the attainment that no policy can exceed on this trace. */
double
ch_bound_compute_attainment(const struct ch_site *site,
                            const struct ch_declaration *declaration,
                            const struct ch_trace *trace)
{
    size_t requests = 0;
    int64_t last = 0;
    for (size_t i = 0; i < trace->count; i++) {
        requests += trace->events[i].kind == CH_TRACE_REQUEST ? 1 : 0;
        last = MAX(last, trace->events[i].at);
    }
    if (requests == 0) {
        return 1.0;
    }
    GArray *jobs = read_jobs(declaration, trace);
    double rate = site_rate(site, declaration);
    size_t steps = (size_t)(last / GRID_US) + (1u << (INTERVAL_SIZES - 1)) + 1;
    uint32_t *best = g_new0(uint32_t, steps + 1);
    for (size_t step = 1; step <= steps; step++) {
        best[step] = best[step - 1];
        for (unsigned k = 0; k < INTERVAL_SIZES && (1u << k) <= step; k++) {
            size_t begin = step - (1u << k);
            uint32_t missed = count_misses(jobs, (int64_t)begin * GRID_US,
                                           (int64_t)step * GRID_US, rate);
            best[step] = MAX(best[step], best[begin] + missed);
        }
    }
    uint32_t missed = best[steps];
    g_free(best);
    g_array_unref(jobs);
    return 1.0 - (double)missed / (double)requests;
}
