/* One node's calls to one upstream. */

#include "slots/slots.h"

enum {
    /* An upstream notices within this time that the connection of a call was
     * closed, and stops processing it. */
    LINGER_US = 1000 * 1000,
    /* A permission that is missing for this long is not on its way. */
    LOST_US = 1000 * 1000,
};

/* A permission that came before one with a lower number. */
struct slots_early {
    uint64_t number;
    int64_t received_at;
};

/* A call that was cut and may still take a slot. */
struct slots_lingering {
    int64_t until;
    uint32_t tokens;
};

/* See slots.h. */
void
ch_slots_account_init(struct ch_slots_account *account)
{
    *account = (struct ch_slots_account){0};
    account->lingering =
        g_array_new(FALSE, FALSE, sizeof(struct slots_lingering));
    account->early = g_array_new(FALSE, FALSE, sizeof(struct slots_early));
}

/* See slots.h. */
void
ch_slots_account_clear(struct ch_slots_account *account)
{
    g_array_free(account->lingering, TRUE);
    g_array_free(account->early, TRUE);
}

/* See slots.h. */
void
ch_slots_account_begin(struct ch_slots_account *account, uint32_t tokens)
{
    account->holding.calls++;
    account->holding.tokens += tokens;
}

static void
subtract_call(struct ch_slots_account *account, uint32_t tokens)
{
    struct ch_slots_holding *holding = &account->holding;
    holding->calls -= MIN(holding->calls, 1);
    holding->tokens -= MIN(holding->tokens, tokens);
}

/* See slots.h. */
void
ch_slots_account_end(struct ch_slots_account *account, uint32_t tokens,
                     enum ch_slots_end end, int64_t now)
{
    if (end == CH_SLOTS_CUT) {
        const struct slots_lingering lingering = {now + LINGER_US, tokens};
        g_array_append_val(account->lingering, lingering);
        return;
    }
    account->holding.rejected += end == CH_SLOTS_REJECTED ? 1 : 0;
    subtract_call(account, tokens);
}

/* Takes the next permissions that came early into last_grant. One that has
 * been missing for long was lost, and is passed over. */
static void
advance_last_grant(struct ch_slots_account *account, int64_t now)
{
    struct ch_slots_holding *holding = &account->holding;
    GArray *early = account->early;
    while (early->len > 0) {
        guint first = 0;
        for (guint i = 1; i < early->len; i++) {
            if (g_array_index(early, struct slots_early, i).number <
                g_array_index(early, struct slots_early, first).number) {
                first = i;
            }
        }
        const struct slots_early *next =
            &g_array_index(early, struct slots_early, first);
        if (next->number > holding->last_grant + 1 &&
            now - next->received_at < LOST_US) {
            return;
        }
        holding->last_grant = MAX(holding->last_grant, next->number);
        g_array_remove_index_fast(early, first);
    }
}

/* See slots.h. Replies may overtake each other. */
void
ch_slots_account_note_grant(struct ch_slots_account *account, uint64_t epoch,
                            uint64_t grant, int64_t now)
{
    struct ch_slots_holding *holding = &account->holding;
    const struct slots_early early = {grant, now};
    if (epoch != holding->epoch) {
        holding->epoch = epoch;
        holding->last_grant = 0;
        g_array_set_size(account->early, 0);
    }
    g_array_append_val(account->early, early);
    advance_last_grant(account, now);
}

/* See slots.h. */
struct ch_slots_holding
ch_slots_account_get(struct ch_slots_account *account, int64_t now)
{
    GArray *lingering = account->lingering;
    while (lingering->len > 0 &&
           g_array_index(lingering, struct slots_lingering, 0).until <= now) {
        subtract_call(
            account,
            g_array_index(lingering, struct slots_lingering, 0).tokens);
        g_array_remove_index(lingering, 0);
    }
    advance_last_grant(account, now);
    account->holding.told_at =
        MAX(account->holding.told_at + 1, (uint64_t)now);
    return account->holding;
}
