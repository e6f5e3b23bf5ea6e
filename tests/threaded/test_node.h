#ifndef TEST_NODE_H
#define TEST_NODE_H

/* A node with a pool of threads and peers, for tests of what builds on them.
 */

#include "node/limit_manager.h"

/* Discards log lines: the tests check results. */
static inline void
discard_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

/* Creates the pool and the peers, which are not started, and sets what they
 * need; node, client and settings are zero, and name outlives them. */
static inline void
test_node_set_up(struct ch_node *node, struct ch_client *client,
                 struct ch_settings *settings, const char *name,
                 unsigned threads)
{
    struct ch_error error = {0};
    ch_client_init(client, name);
    client->log_write = discard_log;
    settings->name = (char *)name;
    settings->region = (char *)"r1";
    settings->data_centre = (char *)"a";
    settings->peers = (char *)"127.0.0.1:0";
    settings->peer_timeout_ms = 600;
    settings->idle_connection_ms = 60000;
    node->client = client;
    node->settings = settings;
    node->incarnation = 1;
    node->pool = ch_pool_new(threads);
    node->peers = ch_peers_new(node, &error);
    g_assert_nonnull(node->peers);
    node->limits = ch_limit_manager_new(node);
}

#endif
