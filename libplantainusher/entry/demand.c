#include "entry/entry_private.h"

#include <math.h>

/*
 * Demand reported to the leader: each request for a model, and how long it is
 * expected to occupy one of the concurrent request slots of an engine, or a
 * whole engine if the request gives the token counts of its prompt.  The time
 * in a slot is estimated by a moving average over the requests for the same
 * model that ended at this entry.  Requests take longer on an overloaded
 * engine, so the demand is overestimated rather than underestimated in an
 * overload.
 */

/* The run time, in milliseconds, assumed for requests for a model until the
   first of them has ended at this entry.  */
#define DEFAULT_RUN_MS 1000.0

/* The weight of the newest request in the moving average.  */
#define RUN_EWMA_WEIGHT 0.05

/* The weight of a request doubles with each priority above this one, and is
   multiplied by this time over its target for the first event, within a
   factor of TARGET_FACTOR_MAX: a request with a late target can be served
   after a load that took a request with an early one past its deadline.  */
#define MEAN_PRIORITY 5
#define MEAN_TARGET_MS 2000.0
#define TARGET_FACTOR_MAX 2.0

/* A GHRFunc: whether the document of the entry DATA does not declare
   MODEL.  */
static gboolean
is_undeclared (gpointer model, gpointer mean, gpointer data)
{
  const pu_entry_t *en = data;

  (void)mean;
  return pu_document_find_model (en->document, model) == PU_HANDLE_NONE;
}

/* Estimates how long X would occupy a whole engine, in milliseconds.  */
static double
engine_exclusive_ms (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const pu_engine_class_t *c
      = pu_document_engine_class (en->document, x->q.service);
  guint event_tokens = c != NULL && c->event_tokens > 0 ? c->event_tokens : 1;

  return pu_router_cost_ms (en->router,
                            pu_router_find_model (en->router, x->q.model),
                            x->q.prompt_tokens, x->q.max_tokens / event_tokens,
                            c != NULL ? c->slots : 0);
}

/* Estimates how long, in milliseconds, X will occupy one of the concurrent
   request slots of an engine, or a whole engine if the request gives the token
   counts of its prompt.  */
static double
expected_busy_ms (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const double *mean;

  if (x->q.has_prefix_tokens)
    return engine_exclusive_ms (x);
  mean = g_hash_table_lookup (en->mean_run_ms, x->q.model);
  return mean == NULL ? DEFAULT_RUN_MS : *mean;
}

/* Returns how much a late request like X weighs, against one of mean
   priority.  */
static double
urgency_weight (const pu_exchange_t *x)
{
  double weight = ldexp (1, (int)x->q.priority - MEAN_PRIORITY);

  if (x->q.target_ms == 0)
    return weight;
  return weight
         * CLAMP (MEAN_TARGET_MS / x->q.target_ms, 1 / TARGET_FACTOR_MAX,
                  TARGET_FACTOR_MAX);
}

static void
report_urgency (const pu_exchange_t *x, double ms)
{
  const pu_entry_t *en = x->en;

  if (en->o.hooks.urgency == NULL
      || !(en->o.place_by_urgency
           || pu_document_placement (en->document)->place_by_urgency))
    return;
  en->o.hooks.urgency (en->o.hooks.data, x->q.model, (guint32)(ms + 0.5),
                       (guint32)(ms * urgency_weight (x) + 0.5));
}

void
pu_demand_report (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  double ms;

  if (x->q.plain || x->demand_reported)
    return;
  x->demand_reported = true;
  /* No engine can be told to load it, and callers could fill the table with
     names of their own.  */
  if (is_undeclared (x->q.model, NULL, en))
    return;
  ms = expected_busy_ms (x);
  en->o.hooks.demand (en->o.hooks.data, x->q.model, 1, (guint32)(ms + 0.5));
  report_urgency (x, ms);
}

void
pu_demand_remove_stale (pu_entry_t *en)
{
  g_hash_table_foreach_remove (en->mean_run_ms, is_undeclared, en);
}

void
pu_demand_record_run (pu_exchange_t *x)
{
  double ms = (double)(uv_now (x->en->o.loop) - x->at.sent_at);
  double *mean;

  /* The time of a relayed request, or of a later attempt that may only resume
     a stream, is not that of a whole run.  */
  if (x->q.plain || x->at.server == NULL || x->at.owner != NULL
      || x->attempts > 1)
    return;
  /* The document may have dropped the model while X ran.  */
  if (is_undeclared (x->q.model, NULL, x->en))
    return;
  mean = g_hash_table_lookup (x->en->mean_run_ms, x->q.model);
  if (mean != NULL)
    {
      *mean += RUN_EWMA_WEIGHT * (ms - *mean);
      return;
    }
  mean = g_new (double, 1);
  *mean = ms;
  g_hash_table_insert (x->en->mean_run_ms, g_strdup (x->q.model), mean);
}
