#ifndef PU_DAEMON_LAG_H
#define PU_DAEMON_LAG_H

#include <uv.h>

#include "base/counters.h"

G_BEGIN_DECLS

/*
 * lag - how long the event loop is blocked by its own work.
 *
 * While a callback runs, nothing else is read, sent or timed.  A turn of the
 * loop that takes PU_LAG_TOLD_MS or more is counted and logged, at most once a
 * second: `event_loop_blocked_total`, `event_loop_blocked_ms_total`.
 */

#define PU_LAG_TOLD_MS 200

typedef struct pu_lag pu_lag_t;

/* pu_lag_new - watches LOOP; COUNTERS must live longer.  */
pu_lag_t *pu_lag_new (uv_loop_t *loop, pu_counters_t *counters);

/* pu_lag_free - the loop must run until its handles are closed.  */
void pu_lag_free (pu_lag_t *lag);

G_END_DECLS

#endif
