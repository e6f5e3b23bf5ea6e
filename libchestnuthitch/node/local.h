#ifndef CH_NODE_LOCAL_H
#define CH_NODE_LOCAL_H

/* Answers that this node gives by itself. */

#include "node/intake.h"

/* True when the path was one of these, and is answered. */
bool ch_local_serve(struct ch_front *front, const struct ch_intake *intake);
/* GET /v1/models: the models that the request's class may use. */
void ch_local_models(const struct ch_declaration *declaration,
                     const struct ch_request *request, struct ch_reply *reply);

#endif
