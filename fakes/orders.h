#ifndef FAKES_ORDERS_H
#define FAKES_ORDERS_H

#include <glib.h>
#include <uv.h>

#include "faults.h"
#include "http/server.h"
#include "memory.h"

G_BEGIN_DECLS

/*
 * orders - takes orders over HTTP, and loses or delays them by switches.
 */

typedef struct fake_orders fake_orders_t;

fake_orders_t *fake_orders_new (uv_loop_t *loop, fake_memory_t *memory,
                                fake_faults_t *faults);

/* fake_orders_take - carries out the order in R and answers it, now or later
   or never.  A late one takes effect also when its sender has gone.  */
void fake_orders_take (fake_orders_t *s, pu_http_request_t *r);

G_END_DECLS

#endif
