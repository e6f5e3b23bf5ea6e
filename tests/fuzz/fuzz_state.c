/* Any bytes as what the platform keeps for the system: a ledger, a host list,
 * a batch of at-most-once records, a configuration's record.  No fault, an
 * error or a result; a result written again reads back the same. */

#include "decide/ledger.h"
#include "decide/once.h"
#include "decide/revision.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

/* Aborts unless a reader gave either a result or an error. */
static void
check_either(bool result, const struct ch_error *error)
{
    if (result != (error->code == CH_OK)) {
        abort();
    }
}

/* Aborts unless both texts are the same; frees them. */
static void
check_same(char *first, char *second)
{
    if (strcmp(first, second) != 0) {
        abort();
    }
    g_free(first);
    g_free(second);
}

/* A ledger, and a report of an engine that holds what the ledger holds. */
static void
try_ledger(const char *text, size_t length)
{
    struct ch_error error = {0};
    struct ch_ledger *ledger = ch_ledger_parse(text, length, &error);
    check_either(ledger != NULL, &error);
    if (ledger == NULL) {
        return;
    }
    char *once = ch_ledger_print(ledger);
    struct ch_ledger *back = ch_ledger_parse(once, strlen(once), NULL);
    if (back == NULL) {
        abort();
    }
    check_same(once, ch_ledger_print(back));
    const struct ch_ledger_report evidence = {.boot_id = "b",
                                              .requested_after_ends = true};
    (void)ch_ledger_apply_report(back, &evidence);
    (void)ch_ledger_reserve(back, "m", 1, "o", "n#1", NULL);
    ch_ledger_free(back);
    ch_ledger_free(ledger);
}

/* A batch of at-most-once records. */
static void
try_batch(const char *text, size_t length)
{
    struct ch_error error = {0};
    struct ch_once_batch *batch = ch_once_batch_decode(text, length, &error);
    check_either(batch != NULL, &error);
    if (batch == NULL) {
        return;
    }
    char *once = ch_once_batch_encode(batch);
    struct ch_once_batch *back =
        ch_once_batch_decode(once, strlen(once), NULL);
    if (back == NULL) {
        abort();
    }
    check_same(once, ch_once_batch_encode(back));
    ch_once_batch_free(back);
    ch_once_batch_free(batch);
}

/* A configuration's record. */
static void
try_record(const char *text, size_t length)
{
    struct ch_error error = {0};
    struct ch_revision_record *record =
        ch_revision_record_parse(text, length, &error);
    check_either(record != NULL, &error);
    if (record != NULL) {
        g_free(ch_revision_record_print(record));
    }
    ch_revision_record_free(record);
}

/* One input, read in each of the four ways. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    struct ch_error error = {0};
    char *text = g_strndup((const char *)bytes, length);
    size_t read = strlen(text);
    try_ledger(text, read);
    try_batch(text, read);
    try_record(text, read);
    struct ch_host_list *list = ch_host_list_parse(text, read, &error);
    check_either(list != NULL, &error);
    ch_host_list_free(list);
    g_free(text);
    return 0;
}
