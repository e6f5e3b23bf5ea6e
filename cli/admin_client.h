#ifndef CLI_ADMIN_CLIENT_H
#define CLI_ADMIN_CLIENT_H

/* HTTP calls from the operators' commands to a node's admin listener. */

#include "cli.h"

struct cli_response {
    int status; /* HTTP status; 0: no complete response was received */
    bool may_have_been_sent; /* a part of the request may have been sent */
    char *body;              /* NUL-terminated; "" for an empty body */
    char error_message[160]; /* why there is no response, when status is 0 */
};

/* A configuration in a node's response.  The strings are never NULL after
 * cli_config_parse(). */
struct cli_config {
    uint64_t revision; /* 0: no configuration is in force */
    char *token;
    char *author;
    char *text;
};

void cli_call_node(const char *node, const char *method, const char *path,
                   const char *body, struct cli_response *response);
void cli_call_any_node(char **nodes, const char *method, const char *path,
                       const char *body, struct cli_response *response);
void cli_response_clear(struct cli_response *response);
bool cli_nodes_check(char **nodes);
void cli_config_parse(const char *json, const char *member,
                      struct cli_config *config);
void cli_config_clear(struct cli_config *config);
void cli_error_parse(const char *json, struct ch_error *error);

#endif
