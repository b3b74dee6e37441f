#ifndef PU_DAEMON_METRICS_H
#define PU_DAEMON_METRICS_H

#include <uv.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * metrics - a listener of its own for whoever gathers counters: it needs no
 * key, and answers GET /metrics and nothing else.
 */

typedef struct pu_metrics pu_metrics_t;

/* Appends what is to be told now to OUT.  */
typedef void pu_metrics_print_fn (GString *out, void *data);

/* pu_metrics_new - listens at ADDRESS.  NULL and E as pu_http_server_new.  */
pu_metrics_t *pu_metrics_new (uv_loop_t *loop, const char *address,
                              pu_metrics_print_fn *print, void *data,
                              pu_error_t *e);

/* pu_metrics_free - closes the listener and its connections; the loop must run
   until they are closed.  M may be NULL.  */
void pu_metrics_free (pu_metrics_t *m);

G_END_DECLS

#endif
