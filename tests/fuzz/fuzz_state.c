/* Fuzzes the readers of stored state: a ledger, a host list, a batch of
 * at-most-once records, a configuration record.  Each must return either a
 * result or an error.  A ledger and a batch, written and read again, must stay
 * the same. */

#include "decide/ledger.h"
#include "decide/once.h"
#include "decide/revision.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

/* Aborts unless a reader returned either a result or an error. */
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

/* Reads a ledger, writes it, and applies a report and a reservation to it. */
static void
check_ledger(const char *text, size_t length)
{
    struct ch_error error = {0};
    struct ch_ledger *ledger = ch_ledger_parse(text, length, &error);
    check_either(ledger != NULL, &error);
    if (ledger == NULL) {
        return;
    }
    char *written = ch_ledger_print(ledger);
    struct ch_ledger *reread = ch_ledger_parse(written, strlen(written), NULL);
    if (reread == NULL) {
        abort();
    }
    check_same(written, ch_ledger_print(reread));
    const struct ch_ledger_report evidence = {.boot_id = "b",
                                              .requested_after_ends = true};
    (void)ch_ledger_apply_report(reread, &evidence);
    (void)ch_ledger_reserve(reread, "m", 1, "o", "n#1", NULL);
    ch_ledger_free(reread);
    ch_ledger_free(ledger);
}

/* Reads and writes a batch of at-most-once records. */
static void
check_batch(const char *text, size_t length)
{
    struct ch_error error = {0};
    struct ch_once_batch *batch = ch_once_batch_decode(text, length, &error);
    check_either(batch != NULL, &error);
    if (batch == NULL) {
        return;
    }
    char *written = ch_once_batch_encode(batch);
    struct ch_once_batch *reread =
        ch_once_batch_decode(written, strlen(written), NULL);
    if (reread == NULL) {
        abort();
    }
    check_same(written, ch_once_batch_encode(reread));
    ch_once_batch_free(reread);
    ch_once_batch_free(batch);
}

/* Reads and writes a configuration record. */
static void
check_record(const char *text, size_t length)
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

/* Passes one input to all four readers. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    struct ch_error error = {0};
    char *text = g_strndup((const char *)bytes, length);
    size_t read = strlen(text);
    check_ledger(text, read);
    check_batch(text, read);
    check_record(text, read);
    struct ch_host_list *list = ch_host_list_parse(text, read, &error);
    check_either(list != NULL, &error);
    ch_host_list_free(list);
    g_free(text);
    return 0;
}
