/* The prompts that all nodes send to one engine. */

#include "prefill/prefill.h"

enum {
    /* A line is no longer than this: prompts that were sent although they had
     * to wait are read at the engine's full speed. */
    MAX_LINE_US = 1000 * 1000,
};

/* Part of the time between two events of a stream that prompts may take
 * without a pause; the rest of that time is for those that follow. In the time
 * of the gap target an engine then reads no more than the target allows. */
static const double BURST_PART = 0.3;
/* Part of the gap target that is left for prompts at the slowest engine: else
 * none would be sent there any more. */
static const double MIN_PROMPT_PART = 0.2;
/* See prefill.h. */
struct ch_prefill_rule
ch_prefill_rule_new(int64_t prefill_time, double pace, int64_t event_time,
                    int64_t gap_target)
{
    if (gap_target <= 0 || prefill_time <= 0) {
        return (struct ch_prefill_rule){0};
    }
    double target = (double)gap_target;
    double room = target - (double)event_time * pace;
    room = MAX(room, target * MIN_PROMPT_PART);
    return (struct ch_prefill_rule){
        .cost = (int64_t)((double)prefill_time * pace),
        .capacity = (int64_t)(room * BURST_PART),
        .part = room * (1 - BURST_PART) / target,
    };
}

/*
 * See prefill.h. Load: many nodes send prompts to an engine with many streams,
 * each by a view of the others that is some hundred milliseconds old. Harm
 * prevented: prompts that happen to come together pause all streams for longer
 * than their target, while the engine is idle before and after. A prompt
 * longer than the capacity goes once the ones before it have been read.
 */
struct ch_prefill_answer
ch_prefill_line_take(struct ch_prefill_line *line,
                     const struct ch_prefill_rule *rule, int64_t max_wait,
                     bool forced, int64_t now)
{
    if (rule->cost <= 0 || rule->part <= 0) {
        return (struct ch_prefill_answer){.granted = true};
    }
    double elapsed = (double)MAX(now - line->updated_at, 0);
    double backlog = MAX(line->backlog - elapsed * rule->part, 0);
    double excess =
        backlog + (double)MIN(rule->cost, rule->capacity) - rule->capacity;
    int64_t wait = excess > 0 ? (int64_t)(excess / rule->part) : 0;
    if (wait > max_wait && !forced) {
        return (struct ch_prefill_answer){.granted = false, .wait = wait};
    }
    double most = (double)rule->capacity +
                  MAX((double)rule->cost, MAX_LINE_US * rule->part);
    line->backlog = MIN(backlog + (double)rule->cost, most);
    /* Threads that ask at once may come in another order than their times. */
    line->updated_at = MAX(now, line->updated_at);
    return (struct ch_prefill_answer){.granted = true,
                                      .wait = MIN(wait, max_wait)};
}
