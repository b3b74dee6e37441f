#ifndef PU_PLACER_PLACER_H
#define PU_PLACER_PLACER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "base/counters.h"
#include "control/control.h"
#include "document/document.h"
#include "placement/placement.h"

G_BEGIN_DECLS

/*
 * placer - the leader's task that loads and unloads models on engines.
 *
 * The placer passes the replicated state to the planner and to the order table
 * (placement/planner.h, placement/orders.h) and executes their actions: it
 * proposes RESERVE and RELEASE to the log and sends orders to the engines over
 * HTTP.  The placer of a new leader starts from the replicated state alone.
 * Backend servers that are not engines are ignored.
 *
 * An order is sent on a new connection, which is closed at the end of the
 * transit time, and only while the lease of the leader is held.
 */

typedef struct pu_placer pu_placer_t;

typedef struct
{
  uv_loop_t *loop;
  pu_control_t *control;
  pu_counters_t *counters; /* may be NULL */

  /* Milliseconds, as in the settings; 0: the default.  */
  guint32 lease_ms;           /* duration of the leader's lease */
  guint32 order_life_ms;      /* lifetime of an order: a third each to send it,
                                 for its transit and to report its effect */
  guint32 connect_ms;         /* time-out of a new connection to an engine */
  guint32 report_interval_ms; /* interval between the reports of a backend
                                 server */
  guint32 plan_interval_ms;   /* interval between two plans; default 1000 */

  /* Options that are neither in the document nor in the settings;
     pu_placer_options_init sets their defaults.  The planner's settings and
     the limits of the weights store are replaced by those of the document in
     force if it gives them.  */
  pu_placement_options_t placement;
  double streams_per_accelerator; /* requests that one accelerator runs at full
                                     speed */
} pu_placer_options_t;

/* pu_placer_options_init - sets O to the defaults; fields without a default
   are cleared.  */
void pu_placer_options_init (pu_placer_options_t *o);

/* pu_placer_new - registers the task with O->control and sets the control's
   callback for demand.  */
pu_placer_t *pu_placer_new (const pu_placer_options_t *o);

/* pu_placer_free - frees P.  Call it after pu_control_close has called back;
   the loop must run until the handles are closed.  */
void pu_placer_free (pu_placer_t *p);

/* pu_placer_status - returns a new object: {"leads":BOOL,"quiet":BOOL,
   "orders":[{"kind","model","version","backend","memory_mb","state","token",
   "tries","inherited","reason"}],
   "models":[{"model","version","ready","standing","rolled_back","why",
   "copies":[{"backend","version","phase","memory_mb","reason"}]}],
   "missing":[MODEL...], "repairing":[MODEL...],
   "failures":[{"model","version","backend","failures","retry_ms"}]}.  "quiet"
   is the result of pu_orders_loads_suspended: whether any backend server takes
   no loads because of an order of the previous leader.  "inherited" is whether
   the order was adopted from the previous leader.  "standing" is the
   availability of the model to its callers, a name of pu_item_state_name.
   "missing" lists the models without a ready copy, "repairing" lists those
   missing models that are being loaded.  On a voter that does not lead the
   lists are empty.  */
json_t *pu_placer_status (pu_placer_t *p);

/* pu_placer_dump - returns the status with the object "numbers" added, which
   describes this process: the counts "take_overs", "sends_open" and
   "reservations_open", and the times of its options "lease_ms", "send_ms",
   "transit_ms" and "report_ms".  */
json_t *pu_placer_dump (pu_placer_t *p);

/* pu_placer_document - returns the document in force and its version; NULL on
   a voter that does not lead, or before the first document.  Valid until the
   loop runs again.  */
const pu_document_t *pu_placer_document (const pu_placer_t *p,
                                         guint64 *version);

/* pu_placer_plan - returns the moves that would follow if D were the document
   in force, as a new object {"moves":[{"kind","model","version","backend",
   "memory_mb","reason"}]}.  Uses the newest state.  The known demand is taken
   into account only on a leader whose placement is up to date with that state
   and which does not suspend loads (pu_orders_loads_suspended).  */
json_t *pu_placer_plan (pu_placer_t *p, const pu_document_t *d);

/* pu_placer_plan_state - like pu_placer_plan, from S alone, on any daemon: the
   plan takes no demand into account and, when S is a public view, no open
   orders.  */
json_t *pu_placer_plan_state (const pu_state_t *s, const pu_document_t *d);

G_END_DECLS

#endif
