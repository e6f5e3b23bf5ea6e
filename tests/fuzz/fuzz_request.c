/* Fuzzes the parser of model call bodies; the first byte selects their kind.
 */

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
    bool accepted = ch_model_body_parse((const char *)bytes + 1, length - 1,
                                        bytes[0] == 'c', &body, &fault);
    /* An accepted body has a model and a token count in range; a rejected body
     * has an error and no model. */
    if (accepted ? body.model == NULL || body.output_tokens == 0 ||
                       body.output_tokens > CH_REQUEST_MAX_TOKENS
                 : fault.error.code == CH_OK || body.model != NULL) {
        __builtin_trap();
    }
    g_free(body.model);
    return 0;
}
