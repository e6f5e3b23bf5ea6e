#ifndef CH_NODE_LOCAL_H
#define CH_NODE_LOCAL_H

/* Requests that this node answers without an upstream. */

#include "node/incoming_request.h"

/* True when the path is one of the node's own, which is then answered. */
bool ch_local_serve(struct ch_frontend *frontend,
                    const struct ch_incoming_request *incoming);
/* Answers GET /v1/models with the models that the request's class may use. */
void ch_local_send_models(const struct ch_declaration *declaration,
                          const struct ch_request *request,
                          struct ch_response *response);

#endif
