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
 * sequenced - the leader's duty that puts models and adapters onto engines
 * that count their orders (placement/dispatcher.h).
 *
 * It polls the engines' reports, plans models by demand, and loads adapters
 * when daemons ask for them.  Nothing of it is kept in the log: a new leader
 * begins with the reports.
 */

typedef struct pu_sequenced pu_sequenced_t;

typedef struct
{
  uv_loop_t *loop;
  pu_control_t *control;
  const char *name;        /* of this instance: the holder of its orders */
  pu_counters_t *counters; /* may be NULL */
  const pu_order_protocol_t *wire;
  guint32 connect_ms;
  guint32 answer_ms;  /* an engine answers orders and reports within this */
  guint32 plan_ms;    /* between two plans */
  double store_burst; /* loads from the store that may begin at once */
  /* The load of an engine, as it reports it; may be NULL.  */
  void (*load) (void *data, const char *engine, const pu_router_report_t *r);
  /* ENGINE is being told to unload MODEL; may be NULL.  */
  void (*unload) (void *data, const char *engine, const char *model);
  void *data;
} pu_sequenced_options_t;

void pu_sequenced_options_init (pu_sequenced_options_t *o);

/* pu_sequenced_new - adds the duty to O->control, and takes its demand and
   what daemons want.  */
pu_sequenced_t *pu_sequenced_new (const pu_sequenced_options_t *o);

/* pu_sequenced_free - call it when pu_control_close has called back.  The loop
   must run until the handles are closed.  */
void pu_sequenced_free (pu_sequenced_t *s);

/* pu_sequenced_status - a new object: {"leads":BOOL,"engines":[{"engine",
   "known","busy","items":[{"model","phase"}]}]}.  */
json_t *pu_sequenced_status (pu_sequenced_t *s);

G_END_DECLS

#endif
