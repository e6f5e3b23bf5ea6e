/* standin MODE [NAME=VALUE...]: simulates one service until SIGTERM. */

#include "standin.h"

#include <stdio.h>
#include <string.h>

static const struct mode *const known_modes[] = {
    &mode_kv,      &mode_hosts, &mode_weights, &mode_engine,
    &mode_service, &mode_relay, &mode_users,
};

int
main(int argc, char **argv)
{
    struct standin standin = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(known_modes) && argc > 1; i++) {
        if (strcmp(known_modes[i]->name, argv[1]) == 0) {
            standin.mode = known_modes[i];
        }
    }
    if (standin.mode == NULL) {
        (void)fprintf(stderr,
                      "usage: standin kv|hosts|weights|engine|service|relay"
                      "|users [NAME=VALUE...]\n");
        return 2;
    }
    standin.options =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int i = 2; i < argc; i++) {
        char **pair = g_strsplit(argv[i], "=", 2);
        g_hash_table_insert(standin.options, g_strdup(pair[0]),
                            g_strdup(pair[1] != NULL ? pair[1] : ""));
        g_strfreev(pair);
    }
    return standin_run(&standin);
}
