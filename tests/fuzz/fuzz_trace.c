/* Fuzzes the reader of traces, CSV and JSON lines: an error must be BAD_TRACE
 * and begin with the file name. */

#include "replay/replay.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const char site_text[] =
        "[class advice]\nfirst-token-ms = 1000\nmodels = *\n"
        "[model m01]\nmemory-mb = 10\nadapters = m01-a1\n"
        "adapter-memory-mb = 1\n[service orders]\n"
        "[region r]\n[data-centre d]\nregion = r\n"
        "[upstream w01]\ndata-centre = d\nmemory-mb = 20\n"
        "accelerators = 1\nbatch = 2\n[entry e1]\ndata-centre = d\n";
    struct ch_error error = {0};
    struct ch_declaration *declaration =
        ch_declaration_parse(site_text, "s.ini", &error);
    struct ch_site *site = ch_site_parse(site_text, "s.ini", &error);
    char *text = g_strndup((const char *)data, size);
    struct ch_trace *trace =
        ch_trace_parse(text, "t.csv", declaration, site, &error);
    if (trace == NULL && (error.code != CH_BAD_TRACE ||
                          !g_str_has_prefix(error.message, "t.csv:"))) {
        g_error("refused without a position: %s", error.message);
    }
    ch_trace_free(trace);
    g_free(text);
    ch_site_free(site);
    ch_declaration_free(declaration);
    return 0;
}
