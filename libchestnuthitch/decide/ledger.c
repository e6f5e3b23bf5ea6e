/* The reservation ledger of one upstream: its changes and their conditions. */

#include "decide/ledger.h"

#include <string.h>

enum {
    /*
     * An engine reports the latest 64 orders that it executed.  Open loads and
     * unloads together stay below 64, because an order that drops off that
     * list between two reports would keep its memory reserved for ever.
     */
    MAX_OPEN_LOADS = 32,
    MAX_OPEN_UNLOADS = 24,
};

/* An empty ledger without a boot ID: nothing can be reserved before a report
 * tells what is already resident in the engine.  Free with ch_ledger_free. */
struct ch_ledger *
ch_ledger_new(const char *upstream, uint32_t capacity_mb)
{
    struct ch_ledger *ledger = g_new0(struct ch_ledger, 1);
    ledger->upstream = g_strdup(upstream);
    ledger->capacity_mb = capacity_mb;
    return ledger;
}

static void
clear_send(struct ch_ledger_send *sending)
{
    g_free(sending->item);
    g_free(sending->sender);
}

/* Frees a ledger, which may be NULL. */
void
ch_ledger_free(struct ch_ledger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    for (size_t i = 0; i < ledger->entry_count; i++) {
        g_free(ledger->entries[i].item);
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        clear_send(&ledger->sends[i]);
    }
    g_free(ledger->entries);
    g_free(ledger->sends);
    g_free(ledger->upstream);
    g_free(ledger->boot_id);
    g_free(ledger->write_id);
    g_free(ledger);
}

/* A deep copy, to be freed with ch_ledger_free. */
struct ch_ledger *
ch_ledger_copy(const struct ch_ledger *ledger)
{
    struct ch_ledger *copy = g_new0(struct ch_ledger, 1);
    *copy = *ledger;
    copy->upstream = g_strdup(ledger->upstream);
    copy->boot_id = g_strdup(ledger->boot_id);
    copy->write_id = g_strdup(ledger->write_id);
    copy->entries = g_new0(struct ch_ledger_entry, ledger->entry_count + 1);
    copy->sends = g_new0(struct ch_ledger_send, ledger->send_count + 1);
    for (size_t i = 0; i < ledger->entry_count; i++) {
        copy->entries[i] = ledger->entries[i];
        copy->entries[i].item = g_strdup(ledger->entries[i].item);
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        copy->sends[i] = ledger->sends[i];
        copy->sends[i].item = g_strdup(ledger->sends[i].item);
        copy->sends[i].sender = g_strdup(ledger->sends[i].sender);
    }
    return copy;
}

/* A deep copy with the next version number and the given write ID. */
struct ch_ledger *
ch_ledger_copy_next(const struct ch_ledger *ledger, const char *write_id)
{
    struct ch_ledger *next = ch_ledger_copy(ledger);
    next->version++;
    g_free(next->write_id);
    next->write_id = g_strdup(write_id);
    return next;
}

/* Returns NULL when the item has no entry. */
static struct ch_ledger_entry *
find_entry(const struct ch_ledger *ledger, const char *item)
{
    for (size_t i = 0; i < ledger->entry_count; i++) {
        if (strcmp(ledger->entries[i].item, item) == 0) {
            return &ledger->entries[i];
        }
    }
    return NULL;
}

/* The entry of an item, valid until the ledger changes, or NULL. */
const struct ch_ledger_entry *
ch_ledger_find_entry(const struct ch_ledger *ledger, const char *item)
{
    return find_entry(ledger, item);
}

/* Returns NULL when the sender has no send of that order. */
static struct ch_ledger_send *
find_send(const struct ch_ledger *ledger, const char *order_id,
          const char *sender)
{
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (strcmp(sending->order_id, order_id) == 0 &&
            strcmp(sending->sender, sender) == 0) {
            return sending;
        }
    }
    return NULL;
}

/* Memory of all entries in MB, at most UINT32_MAX. */
uint32_t
ch_ledger_get_committed_mb(const struct ch_ledger *ledger)
{
    uint64_t sum_mb = 0;
    for (size_t i = 0; i < ledger->entry_count; i++) {
        sum_mb += ledger->entries[i].memory_mb;
    }
    return (uint32_t)MIN(sum_mb, UINT32_MAX);
}

/* True for the first of an item's sends that a restarted engine may execute;
 * the item's memory is counted once, for that send. */
static bool
is_first_unsettled(const struct ch_ledger *ledger, size_t index)
{
    if (ledger->sends[index].delivery == CH_LEDGER_SETTLED) {
        return false;
    }
    for (size_t i = 0; i < index; i++) {
        if (ledger->sends[i].delivery != CH_LEDGER_SETTLED &&
            strcmp(ledger->sends[i].item, ledger->sends[index].item) == 0) {
            return false;
        }
    }
    return true;
}

/* Memory in MB that copies in flight could use, without the given item (NULL:
 * of all items). */
static uint64_t
sum_in_flight_mb_without(const struct ch_ledger *ledger, const char *item)
{
    uint64_t sum_mb = 0;
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (is_first_unsettled(ledger, i) &&
            (item == NULL || strcmp(sending->item, item) != 0)) {
            sum_mb += sending->memory_mb;
        }
    }
    return sum_mb;
}

/* Memory in MB of the items whose load orders a restarted engine may execute,
 * at most UINT32_MAX. */
uint32_t
ch_ledger_get_in_flight_mb(const struct ch_ledger *ledger)
{
    return (uint32_t)MIN(sum_in_flight_mb_without(ledger, NULL), UINT32_MAX);
}

/*
 * Checks that another copy of a load order may be sent.  A restarted engine
 * may execute every copy that has not settled, and there would be no time to
 * unload anything first, so all of them together must fit into its memory.
 */
static bool
check_memory_for_send(const struct ch_ledger *ledger, const char *item,
                      uint32_t memory_mb, struct ch_error *error)
{
    if (sum_in_flight_mb_without(ledger, item) + memory_mb >
        ledger->capacity_mb) {
        ch_error_set(error, CH_QUEUE_FULL,
                     "%s: not enough memory for %s: other load orders may "
                     "still arrive",
                     ledger->upstream, item);
        return false;
    }
    return true;
}

/* Counts the load orders that the engine has not reported as executed. */
static size_t
count_open_loads(const struct ch_ledger *ledger)
{
    size_t open_count = 0;
    for (size_t i = 0; i < ledger->send_count; i++) {
        open_count += !ledger->sends[i].executed;
    }
    return open_count;
}

/* Counts the unload orders that the engine has not reported as executed. */
static size_t
count_open_unloads(const struct ch_ledger *ledger)
{
    size_t open_count = 0;
    for (size_t i = 0; i < ledger->entry_count; i++) {
        open_count += ledger->entries[i].state == CH_LEDGER_UNLOADING;
    }
    return open_count;
}

/* Records that sender is about to send a copy of a load order. */
static void
record_send(struct ch_ledger *ledger, const char *order_id, const char *item,
            uint32_t memory_mb, const char *sender)
{
    struct ch_ledger_send *sending = find_send(ledger, order_id, sender);
    if (sending == NULL) {
        ledger->sends = g_renew(struct ch_ledger_send, ledger->sends,
                                ledger->send_count + 1);
        sending = &ledger->sends[ledger->send_count++];
        *sending = (struct ch_ledger_send){
            .item = g_strdup(item),
            .memory_mb = memory_mb,
            .sender = g_strdup(sender),
        };
        g_strlcpy(sending->order_id, order_id, sizeof(sending->order_id));
    }
    sending->copies++;
    sending->delivery = CH_LEDGER_OPEN;
}

/* The item must not have an entry yet. */
static struct ch_ledger_entry *
add_entry(struct ch_ledger *ledger, const char *item, uint32_t memory_mb,
          enum ch_ledger_state state, const char *order_id)
{
    ledger->entries = g_renew(struct ch_ledger_entry, ledger->entries,
                              ledger->entry_count + 1);
    struct ch_ledger_entry *entry = &ledger->entries[ledger->entry_count++];
    *entry = (struct ch_ledger_entry){
        .item = g_strdup(item),
        .memory_mb = memory_mb,
        .state = state,
        .fencing_token = ledger->version,
    };
    g_strlcpy(entry->order_id, order_id, sizeof(entry->order_id));
    return entry;
}

/* Reserves memory for an item and records that sender will send its load
 * order.  Fails before the first report (CH_NOT_READY), when the item already
 * has an entry (CH_DUPLICATE), and when memory is short or too many load
 * orders are open (CH_QUEUE_FULL). */
bool
ch_ledger_reserve(struct ch_ledger *ledger, const char *item,
                  uint32_t memory_mb, const char *order_id, const char *sender,
                  struct ch_error *error)
{
    if (ledger->boot_id == NULL) {
        ch_error_set(error, CH_NOT_READY,
                     "%s: no report received from the engine yet",
                     ledger->upstream);
        return false;
    }
    if (find_entry(ledger, item) != NULL) {
        ch_error_set(error, CH_DUPLICATE, "%s: %s already has a ledger entry",
                     ledger->upstream, item);
        return false;
    }
    if ((uint64_t)ch_ledger_get_committed_mb(ledger) + memory_mb >
        ledger->capacity_mb) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: not enough free memory for %s",
                     ledger->upstream, item);
        return false;
    }
    if (count_open_loads(ledger) >= MAX_OPEN_LOADS) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: too many loads are open",
                     ledger->upstream);
        return false;
    }
    if (!check_memory_for_send(ledger, item, memory_mb, error)) {
        return false;
    }
    add_entry(ledger, item, memory_mb, CH_LEDGER_RESERVED, order_id);
    record_send(ledger, order_id, item, memory_mb, sender);
    return true;
}

/* Marks a resident item as unloading.  Its memory stays counted until a report
 * shows that the unload was executed.  Fails when the item is not resident
 * (CH_UNKNOWN_MODEL) or too many unloads are open (CH_QUEUE_FULL). */
bool
ch_ledger_release(struct ch_ledger *ledger, const char *item,
                  const char *order_id, struct ch_error *error)
{
    struct ch_ledger_entry *entry = find_entry(ledger, item);
    if (entry == NULL || entry->state != CH_LEDGER_RESIDENT) {
        ch_error_set(error, CH_UNKNOWN_MODEL, "%s: %s is not resident",
                     ledger->upstream, item);
        return false;
    }
    if (count_open_unloads(ledger) >= MAX_OPEN_UNLOADS) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: too many unloads are open",
                     ledger->upstream);
        return false;
    }
    entry->state = CH_LEDGER_UNLOADING;
    entry->fencing_token = ledger->version;
    g_strlcpy(entry->order_id, order_id, sizeof(entry->order_id));
    return true;
}

/*
 * The order to send, or send again, for an entry.  For a load it may be an
 * older order of the same item: until the current boot has executed every
 * order whose copies may reach it, a delayed copy could load the item again
 * after it was unloaded.
 */
const char *
ch_ledger_find_open_order(const struct ch_ledger *ledger, const char *item)
{
    const struct ch_ledger_entry *entry = find_entry(ledger, item);
    if (entry == NULL || entry->state == CH_LEDGER_RESIDENT) {
        return NULL;
    }
    if (entry->state == CH_LEDGER_UNLOADING) {
        return entry->order_id;
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (!sending->executed && strcmp(sending->item, item) == 0) {
            return sending->order_id;
        }
    }
    return NULL;
}

/* Records that sender will send the entry's open order again, with this
 * version as its fencing token.  Fails when the item has no open order
 * (CH_UNKNOWN_MODEL) or the memory is short (CH_QUEUE_FULL). */
bool
ch_ledger_resend(struct ch_ledger *ledger, const char *item,
                 const char *sender, struct ch_error *error)
{
    const char *open_order_id = ch_ledger_find_open_order(ledger, item);
    struct ch_ledger_entry *entry = find_entry(ledger, item);
    if (open_order_id == NULL || entry == NULL) {
        ch_error_set(error, CH_UNKNOWN_MODEL, "%s: %s has no open order",
                     ledger->upstream, item);
        return false;
    }
    if (entry->state == CH_LEDGER_RESERVED) {
        if (!check_memory_for_send(ledger, item, entry->memory_mb, error)) {
            return false;
        }
        g_strlcpy(entry->order_id, open_order_id, sizeof(entry->order_id));
        record_send(ledger, entry->order_id, item, entry->memory_mb, sender);
    }
    entry->fencing_token = ledger->version;
    return true;
}

static void
remove_entry(struct ch_ledger *ledger, size_t index)
{
    g_free(ledger->entries[index].item);
    ledger->entry_count--;
    memmove(&ledger->entries[index], &ledger->entries[index + 1],
            (ledger->entry_count - index) * sizeof(ledger->entries[0]));
}

static void
remove_send(struct ch_ledger *ledger, size_t index)
{
    clear_send(&ledger->sends[index]);
    ledger->send_count--;
    memmove(&ledger->sends[index], &ledger->sends[index + 1],
            (ledger->send_count - index) * sizeof(ledger->sends[0]));
}

/* True when no other copy of a load order for the same item can still be
 * executed, and this send's only copy has not been. */
static bool
is_only_copy(const struct ch_ledger *ledger,
             const struct ch_ledger_send *candidate)
{
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending != candidate &&
            strcmp(sending->item, candidate->item) == 0) {
            return false;
        }
    }
    return candidate->copies == 1 && !candidate->executed;
}

/*
 * Records that the sender's copy has ended.  When the copy was refused and no
 * other was ever sent, the order can't be executed any more, and its memory is
 * freed at once.  Otherwise the running engine process may still execute the
 * copy, so the send stays until a later report tells which boot that is.
 */
bool
ch_ledger_end_send(struct ch_ledger *ledger, const char *order_id,
                   const char *sender, bool refused)
{
    struct ch_ledger_send *sending = find_send(ledger, order_id, sender);
    if (sending == NULL || sending->delivery != CH_LEDGER_OPEN) {
        return false;
    }
    if (!refused || !is_only_copy(ledger, sending)) {
        sending->delivery = CH_LEDGER_ENDED;
        return true;
    }
    struct ch_ledger_entry *entry = find_entry(ledger, sending->item);
    if (entry != NULL && entry->state == CH_LEDGER_RESERVED) {
        remove_entry(ledger, (size_t)(entry - ledger->entries));
    }
    remove_send(ledger, (size_t)(sending - ledger->sends));
    return true;
}

/* A node's process knows that the earlier processes of its node have ended,
 * and so have the connections of their copies in flight. */
bool
ch_ledger_end_earlier_sends(struct ch_ledger *ledger, const char *sender)
{
    const char *separator = strrchr(sender, '#');
    size_t node_length =
        separator == NULL ? strlen(sender) : (size_t)(separator - sender);
    bool changed = false;
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending->delivery == CH_LEDGER_OPEN &&
            strncmp(sending->sender, sender, node_length) == 0 &&
            sending->sender[node_length] == '#' &&
            strcmp(sending->sender, sender) != 0) {
            sending->delivery = CH_LEDGER_ENDED;
            changed = true;
        }
    }
    return changed;
}

static bool
list_contains(const char *const *list, size_t count, const char *text)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(list[i], text) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * Starts the ledger over for a restarted engine.  Its memory is empty, but it
 * may still receive copies that had not settled.  Their items are reserved
 * again, and each order has to be executed once more, so that it is closed in
 * the new boot too.
 */
static void
start_boot(struct ch_ledger *ledger, const char *boot_id)
{
    g_free(ledger->boot_id);
    ledger->boot_id = g_strdup(boot_id);
    while (ledger->entry_count > 0) {
        remove_entry(ledger, ledger->entry_count - 1);
    }
    for (size_t i = ledger->send_count; i-- > 0;) {
        if (ledger->sends[i].delivery == CH_LEDGER_SETTLED) {
            remove_send(ledger, i);
        }
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        sending->executed = false;
        if (find_entry(ledger, sending->item) == NULL) {
            add_entry(ledger, sending->item, sending->memory_mb,
                      CH_LEDGER_RESERVED, sending->order_id);
        }
    }
}

/* Settles sends that have ended and marks those executed that the report
 * lists.  Returns true when something changed. */
static bool
update_sends(struct ch_ledger *ledger, const struct ch_ledger_report *report)
{
    bool changed = false;
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending->delivery == CH_LEDGER_ENDED &&
            report->requested_after_ends) {
            sending->delivery = CH_LEDGER_SETTLED;
            changed = true;
        }
        if (!sending->executed &&
            list_contains(report->done_order_ids, report->done_order_count,
                          sending->order_id)) {
            sending->executed = true;
            changed = true;
        }
    }
    return changed;
}

/* Updates an entry's state from the report.  Returns false when the entry is
 * to be removed. */
static bool
update_entry(const struct ch_ledger *ledger, struct ch_ledger_entry *entry,
             const struct ch_ledger_report *report)
{
    bool resident = list_contains(report->resident_items,
                                  report->resident_count, entry->item);
    switch (entry->state) {
    case CH_LEDGER_RESERVED:
        if (ch_ledger_find_open_order(ledger, entry->item) != NULL) {
            return true;
        }
        entry->state = CH_LEDGER_RESIDENT;
        return resident;
    case CH_LEDGER_RESIDENT:
        return resident;
    case CH_LEDGER_UNLOADING:
        if (!list_contains(report->done_order_ids, report->done_order_count,
                           entry->order_id)) {
            return true;
        }
        entry->state = CH_LEDGER_RESIDENT;
        return resident;
    }
    return true;
}

/* Returns true when something changed. */
static bool
update_entries(struct ch_ledger *ledger, const struct ch_ledger_report *report)
{
    bool changed = false;
    for (size_t i = ledger->entry_count; i-- > 0;) {
        struct ch_ledger_entry *entry = &ledger->entries[i];
        enum ch_ledger_state old_state = entry->state;
        if (!update_entry(ledger, entry, report)) {
            remove_entry(ledger, i);
            changed = true;
        }
        else if (entry->state != old_state) {
            changed = true;
        }
    }
    return changed;
}

/* Adds resident items that the ledger doesn't know, as at the first report of
 * an engine, and raises the memory of those that are larger than recorded.
 * Returns true when something changed. */
static bool
merge_resident_items(struct ch_ledger *ledger,
                     const struct ch_ledger_report *report)
{
    bool changed = false;
    for (size_t i = 0; i < report->resident_count; i++) {
        struct ch_ledger_entry *entry =
            find_entry(ledger, report->resident_items[i]);
        if (entry == NULL) {
            add_entry(ledger, report->resident_items[i],
                      report->resident_mb[i], CH_LEDGER_RESIDENT, "");
            changed = true;
        }
        else if (entry->memory_mb < report->resident_mb[i]) {
            entry->memory_mb = report->resident_mb[i];
            changed = true;
        }
    }
    return changed;
}

/*
 * Updates the ledger from a report.  Memory is freed where the report proves
 * that no order can use it any more: an executed unload whose item is gone, an
 * executed load whose item is gone again, or a new boot ID.
 */
bool
ch_ledger_apply_report(struct ch_ledger *ledger,
                       const struct ch_ledger_report *report)
{
    bool changed = false;
    if (g_strcmp0(ledger->boot_id, report->boot_id) != 0) {
        start_boot(ledger, report->boot_id);
        changed = true;
    }
    changed |= update_sends(ledger, report);
    changed |= update_entries(ledger, report);
    changed |= merge_resident_items(ledger, report);
    for (size_t i = ledger->send_count; i-- > 0;) {
        if (ledger->sends[i].executed &&
            ledger->sends[i].delivery == CH_LEDGER_SETTLED) {
            remove_send(ledger, i);
        }
    }
    return changed;
}
