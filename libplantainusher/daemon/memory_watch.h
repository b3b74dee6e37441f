#ifndef PU_DAEMON_MEMORY_WATCH_H
#define PU_DAEMON_MEMORY_WATCH_H

#include <uv.h>

#include "base/counters.h"
#include "base/memory_budget.h"

G_BEGIN_DECLS

/*
 * memory_watch - compares the memory of the process with its limit several
 * times a second, for all parts of the daemon.
 */

typedef struct pu_memory_watch pu_memory_watch_t;

/* pu_memory_watch_new - LIMIT_MB is the limit of the process; 0: that of its
   cgroup, if it has one.  */
pu_memory_watch_t *pu_memory_watch_new (uv_loop_t *loop,
                                        pu_counters_t *counters,
                                        guint32 limit_mb);
void pu_memory_watch_free (pu_memory_watch_t *m);

/* pu_memory_watch_budget - returns the budget, which lives as long as M.  */
pu_memory_budget_t *pu_memory_watch_budget (pu_memory_watch_t *m);

G_END_DECLS

#endif
