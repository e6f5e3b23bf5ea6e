/* Fuzzes the body of a model call; the first byte chooses its kind. */

#include "node/request.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
    struct ch_model_body body;
    struct ch_fault fault = {.error.code = CH_OK};
    if (length == 0) {
        return 0;
    }
    bool good = ch_model_body_parse((const char *)bytes + 1, length - 1,
                                    bytes[0] == 'c', &body, &fault);
    /* A body that is taken has a model and counts in range; one that is not
     * says why. */
    if (good ? body.model == NULL || body.output_tokens == 0 ||
                   body.output_tokens > CH_REQUEST_MOST_TOKENS
             : fault.error.code == CH_OK || body.model != NULL) {
        __builtin_trap();
    }
    g_free(body.model);
    return 0;
}
