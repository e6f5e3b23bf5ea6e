#ifndef CLI_ADMIN_CLIENT_H
#define CLI_ADMIN_CLIENT_H

/* Calls of the operators' commands to a node's admin listener. */

#include "cli.h"

struct cli_answer {
    int status; /* 0: no answer came */
    bool sent;  /* some byte of the request may have gone out */
    char *body; /* NUL-terminated; "" when there is none */
    char message[160];
};

/* Of a configuration as a node gives it. */
struct cli_config {
    uint64_t revision; /* 0: none is in force */
    char *token;
    char *author;
    char *text;
};

void cli_call(const char *node, const char *method, const char *path,
              const char *body, struct cli_answer *answer);
void cli_call_any(char **nodes, const char *method, const char *path,
                  const char *body, struct cli_answer *answer);
void cli_answer_clear(struct cli_answer *answer);
bool cli_nodes_check(char **nodes);
void cli_config_parse(const char *json, const char *member,
                      struct cli_config *config);
void cli_config_clear(struct cli_config *config);
void cli_error_parse(const char *json, struct ch_error *error);

#endif
