/* The reservation ledger of one upstream: what may change, on what evidence.
 */

#include "decide/ledger.h"

#include <string.h>

enum {
    /*
     * An engine lists the latest 64 orders that it carried out.  Fewer than
     * that may be open at once, so that none falls off the list between two
     * reports and stays reserved for good.
     */
    MOST_LOADS_OPEN = 32,
    MOST_UNLOADS_OPEN = 24,
};

/* An empty ledger, of no boot: nothing can be reserved before a report told
 * what the engine already holds. */
struct ch_ledger *
ch_ledger_new(const char *upstream, uint32_t capacity_mb)
{
    struct ch_ledger *ledger = g_new0(struct ch_ledger, 1);
    ledger->upstream = g_strdup(upstream);
    ledger->capacity_mb = capacity_mb;
    return ledger;
}

/* Frees what a send holds. */
static void
send_clear(struct ch_ledger_send *sending)
{
    g_free(sending->item);
    g_free(sending->sender);
}

/* Frees a ledger; NULL is fine. */
void
ch_ledger_free(struct ch_ledger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    for (size_t i = 0; i < ledger->count; i++) {
        g_free(ledger->entries[i].item);
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        send_clear(&ledger->sends[i]);
    }
    g_free(ledger->entries);
    g_free(ledger->sends);
    g_free(ledger->upstream);
    g_free(ledger->boot);
    g_free(ledger->writer);
    g_free(ledger);
}

/* A deep copy. */
struct ch_ledger *
ch_ledger_copy(const struct ch_ledger *ledger)
{
    struct ch_ledger *copy = g_new0(struct ch_ledger, 1);
    *copy = *ledger;
    copy->upstream = g_strdup(ledger->upstream);
    copy->boot = g_strdup(ledger->boot);
    copy->writer = g_strdup(ledger->writer);
    copy->entries = g_new0(struct ch_ledger_entry, ledger->count + 1);
    copy->sends = g_new0(struct ch_ledger_send, ledger->send_count + 1);
    for (size_t i = 0; i < ledger->count; i++) {
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

/* A copy of the next version with the mark of its writer. */
struct ch_ledger *
ch_ledger_next(const struct ch_ledger *ledger, const char *writer)
{
    struct ch_ledger *next = ch_ledger_copy(ledger);
    next->version++;
    g_free(next->writer);
    next->writer = g_strdup(writer);
    return next;
}

/* The entry of an item, or NULL. */
static struct ch_ledger_entry *
entry_of(const struct ch_ledger *ledger, const char *item)
{
    for (size_t i = 0; i < ledger->count; i++) {
        if (strcmp(ledger->entries[i].item, item) == 0) {
            return &ledger->entries[i];
        }
    }
    return NULL;
}

/* The entry of an item, valid until the ledger changes; NULL: none. */
const struct ch_ledger_entry *
ch_ledger_find(const struct ch_ledger *ledger, const char *item)
{
    return entry_of(ledger, item);
}

/* The send of an order by a sender, or NULL. */
static struct ch_ledger_send *
send_of(const struct ch_ledger *ledger, const char *order, const char *sender)
{
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (strcmp(sending->order, order) == 0 &&
            strcmp(sending->sender, sender) == 0) {
            return sending;
        }
    }
    return NULL;
}

/* Megabytes of all entries; the largest number when they are beyond it. */
uint32_t
ch_ledger_committed(const struct ch_ledger *ledger)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < ledger->count; i++) {
        sum += ledger->entries[i].memory_mb;
    }
    return (uint32_t)MIN(sum, UINT32_MAX);
}

/* True for the first of an item's sends that may reach a new boot. */
static bool
first_unsettled(const struct ch_ledger *ledger, size_t index)
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

/* Megabytes that copies on the way could take, leaving one item out (NULL:
 * none). */
static uint64_t
exposed_without(const struct ch_ledger *ledger, const char *item)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (first_unsettled(ledger, i) &&
            (item == NULL || strcmp(sending->item, item) != 0)) {
            sum += sending->memory_mb;
        }
    }
    return sum;
}

/* Megabytes of the models whose orders may reach a new boot. */
uint32_t
ch_ledger_exposed(const struct ch_ledger *ledger)
{
    return (uint32_t)MIN(exposed_without(ledger, NULL), UINT32_MAX);
}

/*
 * Whether a copy of an order for item may be put on its way.  In a new boot
 * every copy that has not settled may be carried out, and nothing that runs
 * there by then could be taken back in time: so together they must fit.
 */
static bool
may_send(const struct ch_ledger *ledger, const char *item, uint32_t memory_mb,
         struct ch_error *error)
{
    if (exposed_without(ledger, item) + memory_mb > ledger->capacity_mb) {
        ch_error_set(error, CH_QUEUE_FULL,
                     "%s: no room for %s beside orders that may yet arrive",
                     ledger->upstream, item);
        return false;
    }
    return true;
}

/* How many orders to load are not known to be carried out. */
static size_t
loads_open(const struct ch_ledger *ledger)
{
    size_t open = 0;
    for (size_t i = 0; i < ledger->send_count; i++) {
        open += !ledger->sends[i].done;
    }
    return open;
}

/* How many unloads are not known to be carried out. */
static size_t
unloads_open(const struct ch_ledger *ledger)
{
    size_t open = 0;
    for (size_t i = 0; i < ledger->count; i++) {
        open += ledger->entries[i].state == CH_LEDGER_UNLOADING;
    }
    return open;
}

/* Notes that sender is about to send a copy of an order to load. */
static void
open_send(struct ch_ledger *ledger, const char *order, const char *item,
          uint32_t memory_mb, const char *sender)
{
    struct ch_ledger_send *sending = send_of(ledger, order, sender);
    if (sending == NULL) {
        ledger->sends = g_renew(struct ch_ledger_send, ledger->sends,
                                ledger->send_count + 1);
        sending = &ledger->sends[ledger->send_count++];
        *sending = (struct ch_ledger_send){
            .item = g_strdup(item),
            .memory_mb = memory_mb,
            .sender = g_strdup(sender),
        };
        g_strlcpy(sending->order, order, sizeof(sending->order));
    }
    sending->copies++;
    sending->delivery = CH_LEDGER_OPEN;
}

/* Adds an entry; the item must have none. */
static struct ch_ledger_entry *
add_entry(struct ch_ledger *ledger, const char *item, uint32_t memory_mb,
          enum ch_ledger_state state, const char *order)
{
    ledger->entries =
        g_renew(struct ch_ledger_entry, ledger->entries, ledger->count + 1);
    struct ch_ledger_entry *entry = &ledger->entries[ledger->count++];
    *entry = (struct ch_ledger_entry){
        .item = g_strdup(item),
        .memory_mb = memory_mb,
        .state = state,
        .fence = ledger->version,
    };
    g_strlcpy(entry->order, order, sizeof(entry->order));
    return entry;
}

/* Reserves room for an item and notes that sender will order it.  Refused:
 * before the first report, when it is there already, and without room. */
bool
ch_ledger_reserve(struct ch_ledger *ledger, const char *item,
                  uint32_t memory_mb, const char *order, const char *sender,
                  struct ch_error *error)
{
    if (ledger->boot == NULL) {
        ch_error_set(error, CH_NOT_READY, "%s: no report was seen yet",
                     ledger->upstream);
        return false;
    }
    if (entry_of(ledger, item) != NULL) {
        ch_error_set(error, CH_DUPLICATE, "%s: %s is in the ledger",
                     ledger->upstream, item);
        return false;
    }
    if ((uint64_t)ch_ledger_committed(ledger) + memory_mb >
        ledger->capacity_mb) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: no room for %s",
                     ledger->upstream, item);
        return false;
    }
    if (loads_open(ledger) >= MOST_LOADS_OPEN) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: too many loads are open",
                     ledger->upstream);
        return false;
    }
    if (!may_send(ledger, item, memory_mb, error)) {
        return false;
    }
    add_entry(ledger, item, memory_mb, CH_LEDGER_RESERVED, order);
    open_send(ledger, order, item, memory_mb, sender);
    return true;
}

/* Marks a resident item for its unload; the room stays counted until the
 * unload was seen carried out. */
bool
ch_ledger_release(struct ch_ledger *ledger, const char *item,
                  const char *order, struct ch_error *error)
{
    struct ch_ledger_entry *entry = entry_of(ledger, item);
    if (entry == NULL || entry->state != CH_LEDGER_RESIDENT) {
        ch_error_set(error, CH_UNKNOWN_MODEL, "%s: %s is not resident",
                     ledger->upstream, item);
        return false;
    }
    if (unloads_open(ledger) >= MOST_UNLOADS_OPEN) {
        ch_error_set(error, CH_QUEUE_FULL, "%s: too many unloads are open",
                     ledger->upstream);
        return false;
    }
    entry->state = CH_LEDGER_UNLOADING;
    entry->fence = ledger->version;
    g_strlcpy(entry->order, order, sizeof(entry->order));
    return true;
}

/*
 * The order that is to be sent (again) for an entry.  Of a load it may be an
 * older one: until the boot in force has carried out every order whose copies
 * may reach it, a late one could bring the item back after its unload.
 */
const char *
ch_ledger_unclosed(const struct ch_ledger *ledger, const char *item)
{
    const struct ch_ledger_entry *entry = entry_of(ledger, item);
    if (entry == NULL || entry->state == CH_LEDGER_RESIDENT) {
        return NULL;
    }
    if (entry->state == CH_LEDGER_UNLOADING) {
        return entry->order;
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (!sending->done && strcmp(sending->item, item) == 0) {
            return sending->order;
        }
    }
    return NULL;
}

/* Notes that sender will send the entry's unclosed order again, now under this
 * version's fence. */
bool
ch_ledger_resend(struct ch_ledger *ledger, const char *item,
                 const char *sender, struct ch_error *error)
{
    const char *unclosed = ch_ledger_unclosed(ledger, item);
    struct ch_ledger_entry *entry = entry_of(ledger, item);
    if (unclosed == NULL || entry == NULL) {
        ch_error_set(error, CH_UNKNOWN_MODEL, "%s: %s has no open order",
                     ledger->upstream, item);
        return false;
    }
    if (entry->state == CH_LEDGER_RESERVED) {
        if (!may_send(ledger, item, entry->memory_mb, error)) {
            return false;
        }
        g_strlcpy(entry->order, unclosed, sizeof(entry->order));
        open_send(ledger, entry->order, item, entry->memory_mb, sender);
    }
    entry->fence = ledger->version;
    return true;
}

/* Takes the entry at index out. */
static void
drop_entry(struct ch_ledger *ledger, size_t index)
{
    g_free(ledger->entries[index].item);
    ledger->count--;
    memmove(&ledger->entries[index], &ledger->entries[index + 1],
            (ledger->count - index) * sizeof(ledger->entries[0]));
}

/* Takes the send at index out. */
static void
drop_send(struct ch_ledger *ledger, size_t index)
{
    send_clear(&ledger->sends[index]);
    ledger->send_count--;
    memmove(&ledger->sends[index], &ledger->sends[index + 1],
            (ledger->send_count - index) * sizeof(ledger->sends[0]));
}

/* True when this is the only copy of any order for its item ever sent, as far
 * as it could still matter. */
static bool
only_copy(const struct ch_ledger *ledger, const struct ch_ledger_send *only)
{
    for (size_t i = 0; i < ledger->send_count; i++) {
        const struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending != only && strcmp(sending->item, only->item) == 0) {
            return false;
        }
    }
    return only->copies == 1 && !only->done;
}

/*
 * A sender tells that its copy has ended.  When the engine refused it and no
 * other copy was ever sent, the order is certain not to be carried out, and
 * the room is free at once.  Otherwise the copy may be with the boot that runs
 * now, so it stays until a later report tells which boot that is.
 */
bool
ch_ledger_end(struct ch_ledger *ledger, const char *order, const char *sender,
              bool refused)
{
    struct ch_ledger_send *sending = send_of(ledger, order, sender);
    if (sending == NULL || sending->delivery != CH_LEDGER_OPEN) {
        return false;
    }
    if (!refused || !only_copy(ledger, sending)) {
        sending->delivery = CH_LEDGER_ENDED;
        return true;
    }
    struct ch_ledger_entry *entry = entry_of(ledger, sending->item);
    if (entry != NULL && entry->state == CH_LEDGER_RESERVED) {
        drop_entry(ledger, (size_t)(entry - ledger->entries));
    }
    drop_send(ledger, (size_t)(sending - ledger->sends));
    return true;
}

/* A process that bears the same node's name knows that earlier ones of that
 * name have ended, and with them all that they had on the way. */
bool
ch_ledger_end_earlier(struct ch_ledger *ledger, const char *sender)
{
    const char *mark = strrchr(sender, '#');
    size_t length = mark == NULL ? strlen(sender) : (size_t)(mark - sender);
    bool changed = false;
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending->delivery == CH_LEDGER_OPEN &&
            strncmp(sending->sender, sender, length) == 0 &&
            sending->sender[length] == '#' &&
            strcmp(sending->sender, sender) != 0) {
            sending->delivery = CH_LEDGER_ENDED;
            changed = true;
        }
    }
    return changed;
}

/* True when the list holds the text. */
static bool
holds(const char *const *list, size_t count, const char *text)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(list[i], text) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * A new boot holds nothing, but copies that had not settled may reach it:
 * their items are reserved anew, each to be carried out once more so that it
 * is closed in this boot too.
 */
static void
take_boot(struct ch_ledger *ledger, const char *boot)
{
    g_free(ledger->boot);
    ledger->boot = g_strdup(boot);
    while (ledger->count > 0) {
        drop_entry(ledger, ledger->count - 1);
    }
    for (size_t i = ledger->send_count; i-- > 0;) {
        if (ledger->sends[i].delivery == CH_LEDGER_SETTLED) {
            drop_send(ledger, i);
        }
    }
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        sending->done = false;
        if (entry_of(ledger, sending->item) == NULL) {
            add_entry(ledger, sending->item, sending->memory_mb,
                      CH_LEDGER_RESERVED, sending->order);
        }
    }
}

/* Settles what ended and closes what was carried out.  True: changed. */
static bool
observe_sends(struct ch_ledger *ledger,
              const struct ch_ledger_evidence *evidence)
{
    bool changed = false;
    for (size_t i = 0; i < ledger->send_count; i++) {
        struct ch_ledger_send *sending = &ledger->sends[i];
        if (sending->delivery == CH_LEDGER_ENDED && evidence->after_ends) {
            sending->delivery = CH_LEDGER_SETTLED;
            changed = true;
        }
        if (!sending->done &&
            holds(evidence->orders_done, evidence->orders_done_count,
                  sending->order)) {
            sending->done = true;
            changed = true;
        }
    }
    return changed;
}

/* The state of an entry by the evidence; false: it is to be dropped. */
static bool
observe_entry(const struct ch_ledger *ledger, struct ch_ledger_entry *entry,
              const struct ch_ledger_evidence *evidence)
{
    bool resident =
        holds(evidence->resident, evidence->resident_count, entry->item);
    switch (entry->state) {
    case CH_LEDGER_RESERVED:
        if (ch_ledger_unclosed(ledger, entry->item) != NULL) {
            return true;
        }
        entry->state = CH_LEDGER_RESIDENT;
        return resident;
    case CH_LEDGER_RESIDENT:
        return resident;
    case CH_LEDGER_UNLOADING:
        if (!holds(evidence->orders_done, evidence->orders_done_count,
                   entry->order)) {
            return true;
        }
        entry->state = CH_LEDGER_RESIDENT;
        return resident;
    }
    return true;
}

/* Applies the evidence to every entry.  True: changed. */
static bool
observe_entries(struct ch_ledger *ledger,
                const struct ch_ledger_evidence *evidence)
{
    bool changed = false;
    for (size_t i = ledger->count; i-- > 0;) {
        struct ch_ledger_entry *entry = &ledger->entries[i];
        enum ch_ledger_state before = entry->state;
        if (!observe_entry(ledger, entry, evidence)) {
            drop_entry(ledger, i);
            changed = true;
        }
        else if (entry->state != before) {
            changed = true;
        }
    }
    return changed;
}

/* Counts what the engine holds and the ledger does not know, as when the
 * system first meets an engine, or holds in a larger size than was thought. */
static bool
observe_resident(struct ch_ledger *ledger,
                 const struct ch_ledger_evidence *evidence)
{
    bool changed = false;
    for (size_t i = 0; i < evidence->resident_count; i++) {
        struct ch_ledger_entry *entry =
            entry_of(ledger, evidence->resident[i]);
        if (entry == NULL) {
            add_entry(ledger, evidence->resident[i], evidence->resident_mb[i],
                      CH_LEDGER_RESIDENT, "");
            changed = true;
        }
        else if (entry->memory_mb < evidence->resident_mb[i]) {
            entry->memory_mb = evidence->resident_mb[i];
            changed = true;
        }
    }
    return changed;
}

/*
 * Changes the ledger by a report, and gives room back where the report is
 * evidence that nothing can take it any more: an unload carried out and the
 * item gone, a load carried out and the item gone again, or a new boot.
 */
bool
ch_ledger_observe(struct ch_ledger *ledger,
                  const struct ch_ledger_evidence *evidence)
{
    bool changed = false;
    if (g_strcmp0(ledger->boot, evidence->boot) != 0) {
        take_boot(ledger, evidence->boot);
        changed = true;
    }
    changed |= observe_sends(ledger, evidence);
    changed |= observe_entries(ledger, evidence);
    changed |= observe_resident(ledger, evidence);
    for (size_t i = ledger->send_count; i-- > 0;) {
        if (ledger->sends[i].done &&
            ledger->sends[i].delivery == CH_LEDGER_SETTLED) {
            drop_send(ledger, i);
        }
    }
    return changed;
}
