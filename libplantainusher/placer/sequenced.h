#ifndef PU_PLACER_SEQUENCED_H
#define PU_PLACER_SEQUENCED_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "base/counters.h"
#include "control/control.h"
#include "placer/wire.h"
#include "routing/router.h"

G_BEGIN_DECLS

/*
 * sequenced - the leader's task that places models and adapters on engines
 * that count their orders (placement/dispatcher.h).
 *
 * The task polls the engines' reports, plans the placement of models from
 * their demand, and loads adapters when daemons request them.  It keeps no
 * state in the log: a new leader starts from the engines' reports.
 */

typedef struct pu_sequenced pu_sequenced_t;

typedef struct
{
  uv_loop_t *loop;
  pu_control_t *control;
  const char *name; /* name of this instance, sent as the holder of orders */
  pu_counters_t *counters; /* may be NULL */
  const pu_order_protocol_t *wire;
  guint32 connect_timeout_ms;
  guint32 order_timeout_ms; /* time-out for an engine's answer to an order */
  guint32 plan_interval_ms;
  guint32 lease_ms;   /* an instance that leads again does not order an engine
                         until its own orders are older than this */
  bool checks_tokens; /* engines refuse orders with an old fencing token */
  double store_share; /* share of the weights store's rate that loads may
                         take */
  double store_burst; /* most loads from the weights store that the rate limit
                         admits in a burst */
  bool restore_by_gain; /* loads are ordered by what they save callers, also if
                           the document does not state it */
  bool place_by_urgency; /* the same for that field of /placement */
  bool place_by_speed;   /* the same */
  /* Returns the slowness of ENGINE as in pu_plan_engine_t, 0: not known; may
     be NULL.  */
  double (*slowness) (void *data, const char *engine);
  /* Receives the load of ENGINE from each report of ENGINE; may be NULL.  */
  void (*on_load_report) (void *data, const char *engine,
                          const pu_router_report_t *r);
  /* Called before ENGINE is ordered to unload the model MODEL; may be
     NULL.  */
  void (*on_unload) (void *data, const char *engine, const char *model);
  void *data;
} pu_sequenced_options_t;

void pu_sequenced_options_init (pu_sequenced_options_t *o);

/* pu_sequenced_new - registers the task with O->control and sets the control's
   callbacks for demand and for copy requests.  */
pu_sequenced_t *pu_sequenced_new (const pu_sequenced_options_t *o);

/* pu_sequenced_free - frees S; call it when pu_control_close has called back.
   The loop must run until the handles are closed.  */
void pu_sequenced_free (pu_sequenced_t *s);

/* pu_sequenced_status - returns a new object: {"leads":BOOL,"engines":
   [{"engine","known","busy","items":[{"model","phase"}]}]}.  "known": the
   engine takes orders of this leader.  */
json_t *pu_sequenced_status (pu_sequenced_t *s);

G_END_DECLS

#endif
