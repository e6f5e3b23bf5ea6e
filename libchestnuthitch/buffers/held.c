/* The account of request bytes that are in progress at upstreams. */

#include "buffers/buffers.h"

struct account {
    size_t bytes;
    bool refuses; /* a request was refused since it held less than half */
};

struct ch_held {
    size_t bound;
    size_t highest;       /* that one upstream has held */
    GHashTable *accounts; /* GQuark to struct account; those with bytes */
};

/* See buffers.h. */
struct ch_held *
ch_held_new(size_t bound)
{
    struct ch_held *held = g_new0(struct ch_held, 1);
    held->bound = bound;
    held->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return held;
}

/* See buffers.h. */
void
ch_held_free(struct ch_held *held)
{
    if (held != NULL) {
        g_hash_table_destroy(held->accounts);
        g_free(held);
    }
}

static struct account *
find_account(const struct ch_held *held, GQuark upstream)
{
    return g_hash_table_lookup(held->accounts, GUINT_TO_POINTER(upstream));
}

/* See buffers.h. A request that is larger than the bound alone is refused too:
 * the upstream has no memory for it. */
enum ch_held_result
ch_held_take(struct ch_held *held, GQuark upstream, size_t bytes)
{
    struct account *account = find_account(held, upstream);
    size_t before = account == NULL ? 0 : account->bytes;
    if (bytes > held->bound || before > held->bound - bytes) {
        bool begins = account != NULL && !account->refuses;
        if (begins) {
            account->refuses = true;
        }
        return begins ? CH_HELD_BEGINS_TO_REFUSE : CH_HELD_REFUSED;
    }
    if (account == NULL && bytes > 0) {
        account = g_new0(struct account, 1);
        g_hash_table_insert(held->accounts, GUINT_TO_POINTER(upstream),
                            account);
    }
    if (account != NULL) {
        account->bytes += bytes;
        held->highest = MAX(held->highest, account->bytes);
    }
    return CH_HELD_TAKEN;
}

/* See buffers.h. */
void
ch_held_give_back(struct ch_held *held, GQuark upstream, size_t bytes)
{
    struct account *account = find_account(held, upstream);
    if (account == NULL) {
        return;
    }
    account->bytes -= MIN(bytes, account->bytes);
    account->refuses = account->refuses && account->bytes >= held->bound / 2;
    if (account->bytes == 0) {
        g_hash_table_remove(held->accounts, GUINT_TO_POINTER(upstream));
    }
}

/* See buffers.h. */
size_t
ch_held_get(const struct ch_held *held, GQuark upstream)
{
    const struct account *account = find_account(held, upstream);
    return account == NULL ? 0 : account->bytes;
}

/* See buffers.h. */
size_t
ch_held_get_highest(const struct ch_held *held)
{
    return held->highest;
}
