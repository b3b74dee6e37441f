#include "entry/entry_private.h"

/*
 * What the leader hears of demand: each request for a model, and how long it
 * will keep a stream of an engine busy.  That is taken from those of the same
 * model that ended here; an engine that is crowded makes them longer, so the
 * demand is then told too high rather than too low.
 */

/* Before the first request of a model has ended here.  */
#define FIRST_MS 1000.0

/* How much the newest request counts in the mean.  */
#define NEWEST 0.05

/* How long X keeps an engine to itself.  */
static double
engine_time (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const pu_engine_class_t *c
      = pu_document_engines (en->document, x->q.service);
  guint event_tokens = c != NULL && c->event_tokens > 0 ? c->event_tokens : 1;

  return pu_router_cost_ms (en->router,
                            pu_router_find_model (en->router, x->q.model),
                            x->q.prompt_tokens, x->q.max_tokens / event_tokens,
                            c != NULL ? c->slots : 0);
}

/* How long X keeps a stream of an engine busy; or, where its tokens are told,
   the engine itself.  */
static double
time_of (const pu_exchange_t *x)
{
  const pu_entry_t *en = x->en;
  const double *mean;

  if (x->q.has_prefix_tokens)
    return engine_time (x);
  mean = g_hash_table_lookup (en->run_ms, x->q.model);
  return mean == NULL ? FIRST_MS : *mean;
}

void
pu_demand_report (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  double ms;

  if (x->q.plain || x->demand_told)
    return;
  x->demand_told = true;
  ms = time_of (x);
  en->o.hooks.demand (en->o.hooks.data, x->q.model, 1, (guint32)(ms + 0.5));
}

void
pu_demand_record_run (pu_exchange_t *x)
{
  double ms = (double)(uv_now (x->en->o.loop) - x->at.sent_at);
  double *mean;

  /* Neither what ran elsewhere nor the rest of a stream tells how long.  */
  if (x->q.plain || x->at.server == NULL || x->attempts > 1)
    return;
  mean = g_hash_table_lookup (x->en->run_ms, x->q.model);
  if (mean != NULL)
    {
      *mean += NEWEST * (ms - *mean);
      return;
    }
  mean = g_new (double, 1);
  *mean = ms;
  g_hash_table_insert (x->en->run_ms, g_strdup (x->q.model), mean);
}
