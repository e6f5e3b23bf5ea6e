/*
 * The best that any policy could do on a trace, by an optimistic calculation.
 *
 * All engines are taken for one that holds every model, needs no prefill and
 * no load, and makes tokens at the rate of full batches that still keep the
 * targets between tokens.  Requests that come and are due within a stretch of
 * time must share what it makes in that stretch; when they need more, the
 * least that must miss is what is left after the shortest are served.  Misses
 * of stretches that do not overlap add up; the best set of stretches on a
 * grid is found by dynamic programming.  Each step leaves out something that
 * a real policy has to pay for, so none can pass the figure.
 */

#include "replay/replay.h"

enum {
    GRID = 5 * G_USEC_PER_SEC,
    LONGEST = 9, /* stretches of 1, 2, 4, ... 256 grid steps */
};

/* A request as the bound sees it. */
struct job {
    int64_t from;
    int64_t due; /* its last token, to be in time */
    double work; /* tokens */
};

/* Tokens a second that one engine makes with a full batch within the largest
 * target between tokens (0: none). */
static double
engine_rate(const struct ch_site *site, uint32_t batch, int64_t between)
{
    const struct ch_site_engine *engine = &site->engine;
    double best = 0;
    for (uint32_t n = 1; n <= batch; n++) {
        double token =
            (double)engine->token + (double)engine->token_per_request * n;
        if (n > 1 && between > 0 && token > (double)between) {
            break;
        }
        best = MAX(best, n / token * G_USEC_PER_SEC);
    }
    return best;
}

/* Tokens a second of the whole site at its best. */
static double
site_rate(const struct ch_site *site, const struct ch_declaration *declaration)
{
    int64_t between = 0;
    for (size_t i = 0; i < declaration->class_count; i++) {
        between = MAX(between, declaration->classes[i].between_tokens);
    }
    double sum = 0;
    for (size_t i = 0; i < site->upstream_count; i++) {
        if (site->upstreams[i].service == NULL) {
            sum += engine_rate(site, site->upstreams[i].batch, between);
        }
    }
    return sum;
}

/* The jobs of a trace that have a target for the first token. */
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
        if (class->first_token == 0 || class->between_tokens == 0) {
            continue;
        }
        struct job job = {
            .from = event->at,
            .due = event->at + class->first_token +
                   class->between_tokens * (event->output_tokens - 1),
            .work = event->output_tokens,
        };
        g_array_append_val(jobs, job);
    }
    return jobs;
}

/* Order of work, least first. */
static int
compare_work(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

/* The fewest that must miss among jobs that lie within a stretch. */
static uint32_t
must_miss(const GArray *jobs, int64_t from, int64_t to, double rate)
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
    double room = rate * (double)(to - from) / G_USEC_PER_SEC;
    uint32_t missed = 0;
    if (sum > room) {
        g_array_sort(work, compare_work);
        for (guint i = work->len; i-- > 0 && sum > room;) {
            sum -= g_array_index(work, double, i);
            missed++;
        }
    }
    g_array_unref(work);
    return missed;
}

/* The attainment that no policy can pass on this trace. */
double
ch_bound_attainment(const struct ch_site *site,
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
    size_t steps = (size_t)(last / GRID) + (1u << (LONGEST - 1)) + 1;
    uint32_t *best = g_new0(uint32_t, steps + 1);
    for (size_t step = 1; step <= steps; step++) {
        best[step] = best[step - 1];
        for (unsigned k = 0; k < LONGEST && (1u << k) <= step; k++) {
            size_t begin = step - (1u << k);
            uint32_t missed = must_miss(jobs, (int64_t)begin * GRID,
                                        (int64_t)step * GRID, rate);
            best[step] = MAX(best[step], best[begin] + missed);
        }
    }
    uint32_t missed = best[steps];
    g_free(best);
    g_array_unref(jobs);
    return 1.0 - (double)missed / (double)requests;
}
