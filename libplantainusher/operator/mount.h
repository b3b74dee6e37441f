#ifndef PU_OPERATOR_MOUNT_H
#define PU_OPERATOR_MOUNT_H

#include "http/server.h"
#include "operator/operator.h"

G_BEGIN_DECLS

/*
 * mount - binds the operators' paths to the HTTP server.
 *
 * Give the server PU_OPERATOR_BODY_MAX as its body_max, so that a body over it
 * is refused (413) before it is held in memory.
 */

/* pu_operator_on_request - a handler of the HTTP server whose data is the
   pu_operator_t.  Answers R, at once or later.  */
void pu_operator_on_request (void *data, pu_http_request_t *r);

G_END_DECLS

#endif
