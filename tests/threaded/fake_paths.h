#ifndef FAKE_PATHS_H
#define FAKE_PATHS_H

/* Paths for tests of a single node, whose calls all go directly: whether it is
 * cut off is as the test states. */

#include "node/path_manager.h"

struct ch_path_manager {
    int64_t cut_since; /* atomic */
    bool knows_relay;
};

struct ch_path_listener
ch_path_manager_get_listener(struct ch_path_manager *manager,
                             const struct ch_host *host)
{
    (void)manager;
    return (struct ch_path_listener){.upstream =
                                         g_quark_from_string(host->name)};
}

void
ch_path_manager_forget(struct ch_path_manager *manager, GQuark upstream)
{
    (void)manager;
    (void)upstream;
}

void
ch_path_manager_set_draining(struct ch_path_manager *manager, GQuark upstream,
                             bool draining)
{
    (void)manager;
    (void)upstream;
    (void)draining;
}

int64_t
ch_path_manager_get_cut_since(struct ch_path_manager *manager)
{
    return manager == NULL
               ? 0
               : __atomic_load_n(&manager->cut_since, __ATOMIC_SEQ_CST);
}

bool
ch_path_manager_knows_relay(struct ch_path_manager *manager)
{
    return manager != NULL && manager->knows_relay;
}

bool
ch_path_manager_choose_relay(struct ch_path_manager *manager, GQuark upstream,
                             const GArray *failed, struct ch_path_relay *relay)
{
    (void)manager;
    (void)upstream;
    (void)failed;
    (void)relay;
    return false;
}

void
ch_path_manager_release_relay(struct ch_path_manager *manager, GQuark relay,
                              GQuark upstream, enum ch_relay_result result)
{
    (void)manager;
    (void)relay;
    (void)upstream;
    (void)result;
}

void
ch_path_manager_check_refusal(struct ch_path_manager *manager, GQuark upstream,
                              void (*done)(void *data, bool crashed),
                              void *data)
{
    (void)manager;
    (void)upstream;
    done(data, true);
}

void
ch_path_manager_write_status(struct ch_path_manager *manager,
                             JsonBuilder *builder)
{
    (void)manager;
    (void)builder;
}

#endif
