/* A configuration: a declaration with its revision, reference counted. */

#include "base/base.h"
#include "base/annotate.h"

#include <ck_pr.h>

/* Returns a configuration with one reference.  Takes ownership of the
 * declaration and copies the strings. */
struct ch_config *
ch_config_new(uint64_t revision, const char *write_id, const char *author,
              struct ch_declaration *declaration)
{
    struct ch_config *config = g_new0(struct ch_config, 1);
    config->reference_count = 1;
    config->revision = revision;
    config->write_id = g_strdup(write_id);
    config->author = g_strdup(author);
    config->declaration = declaration;
    return config;
}

/* Adds a reference.  Any thread that holds a reference may call this. */
struct ch_config *
ch_config_ref(struct ch_config *config)
{
    ck_pr_inc_int(&config->reference_count);
    return config;
}

/* Drops a reference; dropping the last one frees the configuration.  NULL is
 * allowed. */
void
ch_config_unref(struct ch_config *config)
{
    if (config == NULL) {
        return;
    }
    CH_TSAN_RELEASE(&config->reference_count);
    ck_pr_fence_release();
    if (!ck_pr_dec_int_is_zero(&config->reference_count)) {
        return;
    }
    ck_pr_fence_acquire();
    CH_TSAN_ACQUIRE(&config->reference_count);
    ch_declaration_free(config->declaration);
    g_free(config->write_id);
    g_free(config->author);
    g_free(config);
}
