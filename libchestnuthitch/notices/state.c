/* What a node knows of the drain and the wait of one upstream. */

#include "notices/notices.h"

enum {
    UNKNOWN_DRAIN_US = 60 * 1000 * 1000,
    /* After a wait, requests are bounded for as long as it lasted, up to
     * MAX_RETURN_US, in periods of which each takes twice as many requests as
     * the one before. */
    MAX_RETURN_US = 2 * 1000 * 1000,
    RETURN_PERIODS = 8,
    FIRST_RETURN_CALLS = 2,
};

/* See notices.h. */
bool
ch_notice_state_observe_drain(struct ch_notice_state *state, uint64_t boot_id,
                              int64_t now)
{
    bool is_older = state->boot_id != 0 && boot_id != 0 &&
                    boot_id < MAX(state->boot_id, state->draining_boot);
    if (is_older) {
        return false;
    }
    if (ch_notice_state_is_draining(state, boot_id, now)) {
        return false;
    }
    state->draining = true;
    state->draining_boot = boot_id;
    state->drain_heard_at = now;
    return true;
}

/* See notices.h. A response to a call that was sent before the listed process
 * was known may be of the one before. */
unsigned
ch_notice_state_observe(struct ch_notice_state *state,
                        const struct ch_notice *notice, int64_t sent_at,
                        int64_t now)
{
    unsigned changes = CH_NOTICE_UNCHANGED;
    if (sent_at < state->boot_changed_at) {
        return changes;
    }
    if (notice->draining) {
        changes |= ch_notice_state_observe_drain(state, state->boot_id, now)
                       ? CH_NOTICE_DRAINS
                       : CH_NOTICE_UNCHANGED;
        state->drain_heard_at = now;
    }
    if (notice->wait > 0 && now + notice->wait > state->wait_until) {
        if (state->wait_until <= now) {
            state->wait_begun_at = now;
            changes |= CH_NOTICE_WAITS;
        }
        state->wait_until = now + notice->wait;
        state->return_length = state->wait_until - state->wait_begun_at;
        state->return_period = 0;
        state->return_calls = 0;
    }
    return changes;
}

/* See notices.h. */
void
ch_notice_state_set_boot(struct ch_notice_state *state, uint64_t boot_id,
                         int64_t now)
{
    if (state->boot_id == boot_id) {
        return;
    }
    if (state->boot_id != 0) {
        state->boot_changed_at = now;
        state->wait_until = 0;
    }
    state->boot_id = boot_id;
    if (state->draining && state->draining_boot == 0) {
        state->draining_boot = boot_id;
    }
}

/* See notices.h. */
bool
ch_notice_state_is_draining(const struct ch_notice_state *state,
                            uint64_t boot_id, int64_t now)
{
    return state->draining && state->draining_boot == boot_id &&
           (boot_id != 0 || now - state->drain_heard_at < UNKNOWN_DRAIN_US);
}

/* See notices.h. */
bool
ch_notice_state_is_waiting(const struct ch_notice_state *state, int64_t now)
{
    return now < state->wait_until;
}

/* See notices.h. */
int64_t
ch_notice_state_take(struct ch_notice_state *state, int64_t now)
{
    if (ch_notice_state_is_waiting(state, now)) {
        return state->wait_until - now;
    }
    int64_t length = MIN(state->return_length, MAX_RETURN_US);
    int64_t passed = now - state->wait_until;
    if (state->wait_until == 0 || passed >= length) {
        return 0;
    }
    unsigned period = (unsigned)(passed * RETURN_PERIODS / length);
    if (period != state->return_period) {
        state->return_period = period;
        state->return_calls = 0;
    }
    if (state->return_calls >= (unsigned)FIRST_RETURN_CALLS << period) {
        return (period + 1) * length / RETURN_PERIODS - passed + 1;
    }
    state->return_calls++;
    return 0;
}
