#include "placement/planner_internal.h"

#include <string.h>

/* Utilization of an engine above which some of its requests are late or
   rejected.  */
#define LATE_UTILIZATION 0.7
#define MEAN_IMPORTANCE 5.0
/* Last copies yield only after the fleet has been overcommitted for this long:
   a new leader knows the engines only after their next reports.  */
#define OVERCOMMITTED_MS 5000
/* Loss, in late streams, that is added when an eviction leaves an item with
   one ready copy at most.  It is the loss at mean importance and without peak
   demand.  */
#define LAST_COPY_LOSS 0.05

guint32
pu_planned_version (const pu_planned_item_t *t)
{
  return t->rolled_back ? t->i.previous_version : t->i.version;
}

/* Resizes the scratch arrays for N copies.  An item can have more copies than
   there are engines, as an engine may hold two versions of it.  */
static void
reserve_scratch (pu_planner_t *p, guint n)
{
  if (n <= p->n_scratch)
    return;
  p->n_scratch = 2 * n;
  p->scratch_load = g_renew (double, p->scratch_load, p->n_scratch);
  p->scratch_share = g_renew (double, p->scratch_share, p->n_scratch);
}

static void
resize_holder_stamp (pu_planner_t *p)
{
  guint n = p->engines->len + 1;

  if (n <= p->n_holder_stamp)
    return;
  p->holder_stamp = g_renew (guint32, p->holder_stamp, n);
  memset (p->holder_stamp, 0, n * sizeof *p->holder_stamp);
  p->n_holder_stamp = n;
}

static void
clear_counts (pu_planner_t *p)
{
  p->store_loads = 0;
  p->deferred_loads = 0;
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (p, i);

      g_array_set_size (t->locations, 0);
      t->ready = 0;
      t->pending_loads = 0;
      t->stalled_loads = 0;
    }
}

/* Makes the copy of E's deferred load, if E has one, the last of E's copies,
   so that demand is distributed to this copy too.  */
static void
list_deferred (pu_planned_engine_t *e)
{
  for (guint s = e->copies->len; s-- > 0;)
    {
      if (pu_planned_copy (e, s)->deferred)
        g_array_remove_index (e->copies, s);
    }
  if (e->deferred)
    g_array_append_val (e->copies, e->deferred_load);
}

static void
index_engine (pu_planner_t *p, guint32 engine)
{
  pu_planned_engine_t *e = pu_planned_engine (p, engine);

  list_deferred (e);
  e->for_adapters_mb = 0;
  e->models_loading = 0;
  e->load = 0;
  e->weighted_load = 0;
  for (guint s = 0; s < e->copies->len; s++)
    {
      pu_planned_copy_t *c = pu_planned_copy (e, s);
      pu_planned_item_t *t = pu_planned_item (p, c->c.item);
      pu_copy_location_t place = { engine, s };

      c->share = 0;
      g_array_append_val (t->locations, place);
      t->ready += c->c.phase == PU_PLAN_READY;
      if (c->c.phase > PU_PLAN_LOADING)
        continue;
      t->pending_loads++;
      e->models_loading += !c->deferred && t->i.base == PU_PLAN_NONE;
      p->store_loads += !c->deferred && !pu_planned_is_cached (e, c->c.item);
      p->deferred_loads += c->deferred;
    }
}

static void
drop_expired_blocks (pu_planned_engine_t *e, guint64 now)
{
  for (guint i = e->blocks->len; i-- > 0;)
    {
      if (now >= g_array_index (e->blocks, pu_load_block_t, i).until)
        g_array_remove_index_fast (e->blocks, i);
    }
}

void
pu_planner_reserve_for_adapters (pu_planner_t *p, guint32 engine, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);

  for (guint i = 0; i < t->adapters->len; i++)
    {
      const pu_planned_item_t *a
          = pu_planned_item (p, g_array_index (t->adapters, guint32, i));

      if (a->ready + a->pending_loads == 0)
        pu_planned_engine (p, engine)->for_adapters_mb += a->i.memory_mb;
    }
}

static void
reserve_for_all_adapters (pu_planner_t *p)
{
  for (guint32 i = 0; i < p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (p, i);

      if (t->adapters->len == 0)
        continue;
      for (guint k = 0; k < t->locations->len; k++)
        pu_planner_reserve_for_adapters (p, pu_item_location (t, k).engine, i);
    }
}

/* Whether the usable engines certainly cannot hold one copy of each declared
   model: their memory is too small for all, or each has too few places even
   for copies of the smallest.  */
static bool
is_overcommitted (const pu_planner_t *p)
{
  guint64 models_mb = 0;
  guint64 engines_mb = 0;
  guint32 smallest_mb = G_MAXUINT32;
  guint models = 0;
  guint places = 0;

  for (guint i = 0; i < p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (p, i);

      if (!t->declared || t->i.base != PU_PLAN_NONE)
        continue;
      models_mb += t->i.memory_mb;
      smallest_mb = MIN (smallest_mb, t->i.memory_mb);
      models++;
    }
  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      if (!e->usable)
        continue;
      engines_mb += e->memory_mb;
      places += e->memory_mb / MAX (smallest_mb, 1);
    }
  return models_mb > engines_mb || places < models;
}

void
pu_planner_note_capacity (pu_planner_t *p)
{
  if (!p->overcommitted
      || (p->o.test_breaks & PU_PLANNER_BREAK_LATE_CAPACITY) != 0
      || is_overcommitted (p))
    return;
  p->overcommitted = false;
  p->overcommitted_since = 0;
  p->last_copies_yield = false;
}

static void
note_overcommitted (pu_planner_t *p, guint64 now)
{
  p->overcommitted = is_overcommitted (p);
  if (!p->overcommitted)
    {
      p->overcommitted_since = 0;
    }
  else if (p->overcommitted_since == 0)
    {
      p->overcommitted_since = MAX (now, 1);
    }
  p->last_copies_yield
      = p->overcommitted && now >= p->overcommitted_since + OVERCOMMITTED_MS;
}

void
pu_planner_rebuild_index (pu_planner_t *p, guint64 now)
{
  resize_holder_stamp (p);
  clear_counts (p);
  for (guint i = 0; i < p->engines->len; i++)
    {
      drop_expired_blocks (pu_planned_engine (p, i), now);
      if (pu_planned_engine (p, i)->usable)
        index_engine (p, i);
    }
  reserve_for_all_adapters (p);
  note_overcommitted (p, now);
}

/* Distributes DEMAND over N copies of an item.  The engines of the copies have
   CAPACITY streams each and the load p->scratch_load from other items.  Sets
   p->scratch_share to the demand that each copy gets, in streams.  Copies that
   get demand give their engines the same utilization; a copy whose engine is
   above that utilization already gets none.  */
static void
level_utilization (pu_planner_t *p, guint n, const double *capacity,
                   double demand)
{
  bool dropped = true;
  double level = 0;

  for (guint i = 0; i < n; i++)
    p->scratch_share[i] = 1;
  while (dropped)
    {
      double load = demand;
      double total_capacity = 0;

      for (guint i = 0; i < n; i++)
        {
          load += p->scratch_share[i] > 0 ? p->scratch_load[i] : 0;
          total_capacity += p->scratch_share[i] > 0 ? capacity[i] : 0;
        }
      level = load / total_capacity;
      dropped = false;
      for (guint i = 0; i < n; i++)
        {
          if (p->scratch_share[i] > 0
              && p->scratch_load[i] > level * capacity[i])
            {
              p->scratch_share[i] = 0;
              dropped = true;
            }
        }
    }
  for (guint i = 0; i < n; i++)
    {
      if (p->scratch_share[i] > 0)
        p->scratch_share[i] = level * capacity[i] - p->scratch_load[i];
    }
}

static bool
takes_demand (const pu_planned_copy_t *c)
{
  return c->c.phase != PU_PLAN_UNLOADING;
}

void
pu_planner_spread_item_demand (pu_planner_t *p, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  double capacity[t->locations->len + 1];
  guint n = 0;

  reserve_scratch (p, t->locations->len + 1);
  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      e->load -= c->share;
      e->weighted_load -= c->share * pu_planned_weight (t);
      c->share = 0;
      if (!takes_demand (c))
        continue;
      p->scratch_load[n] = e->load;
      capacity[n++] = e->streams;
    }
  if (n == 0 || t->forecast.expected <= 0)
    return;

  level_utilization (p, n, capacity, t->forecast.expected);
  n = 0;
  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      if (!takes_demand (c))
        continue;
      c->share = p->scratch_share[n++];
      e->load += c->share;
      e->weighted_load += c->share * pu_planned_weight (t);
    }
}

void
pu_planner_spread_demand (pu_planner_t *p)
{
  for (guint i = 0; i < p->items->len; i++)
    pu_planner_spread_item_demand (p, i);
}

/* Returns the late streams, weighted by importance, on an engine of CAPACITY
   streams with a load of LOAD streams.  An overloaded engine still serves the
   same number of streams on time, as it rejects the rest, so that one more
   copy is a gain even where ten are needed.  */
static double
late_streams (double load, double weighted_load, double capacity)
{
  double on_target = LATE_UTILIZATION * capacity;

  if (load <= on_target)
    return 0;
  return weighted_load / MEAN_IMPORTANCE * (1 - on_target / load);
}

/* Whether the adapter T has as many copies as its base model, so that one more
   copy of T needs one more copy of the base.  */
static bool
covers_base (const pu_planner_t *p, const pu_planned_item_t *t)
{
  return t->locations->len >= pu_planned_item (p, t->i.base)->locations->len;
}

/* Returns the demand on E for ITEM and its adapters, in streams.  If
   ALL_ADAPTERS, all adapters of ITEM on E count, else only those that have as
   many copies as ITEM.  */
static double
bundle_share (const pu_planner_t *p, const pu_planned_engine_t *e,
              guint32 item, bool all_adapters)
{
  double sum = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);
      const pu_planned_item_t *t = pu_planned_item (p, c->c.item);

      if (c->c.item == item
          || (t->i.base == item && (all_adapters || covers_base (p, t))))
        sum += c->share;
    }
  return sum;
}

/* Whether one of the first N copies of T is on ENGINE.  An engine may hold
   copies of two versions of T.  */
static bool
is_on_engine (const pu_planned_item_t *t, guint n, guint32 engine)
{
  for (guint i = 0; i < n; i++)
    {
      if (pu_item_location (t, i).engine == engine)
        return true;
    }
  return false;
}

/* Whether copy I of T, which is on E, takes no demand.  If I is the number of
   copies, it stands for a copy to be added, which takes demand.  */
static bool
takes_no_demand (const pu_planned_item_t *t, guint i,
                 const pu_planned_engine_t *e)
{
  return i < t->locations->len
         && !takes_demand (pu_planned_copy (e, pu_item_location (t, i).slot));
}

/* Returns the increase in late streams when the demand for ITEM, multiplied by
   SCALE, is distributed again over the engines that hold it, without the
   engine SKIP and with the engine EXTRA.  SKIP and EXTRA may be
   PU_PLAN_NONE.  */
static double
late_streams_delta (pu_planner_t *p, guint32 item, guint32 skip, guint32 extra,
                    double scale)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  guint n_max = t->locations->len + 1;
  pu_planned_engine_t *at[n_max];
  double capacity[n_max];
  double share[n_max];
  double demand = 0;
  double before = 0;
  double after = 0;
  guint n = 0;

  reserve_scratch (p, n_max);
  for (guint i = 0; i <= t->locations->len; i++)
    {
      guint32 engine
          = i < t->locations->len ? pu_item_location (t, i).engine : extra;
      pu_planned_engine_t *e;
      double mine;

      if (engine == PU_PLAN_NONE || is_on_engine (t, i, engine))
        continue;
      e = pu_planned_engine (p, engine);
      mine = bundle_share (p, e, item, skip != PU_PLAN_NONE);
      demand += mine * scale;
      before += late_streams (e->load + mine * (scale - 1),
                              e->weighted_load
                                  + mine * (scale - 1) * pu_planned_weight (t),
                              e->streams);
      if (engine == skip || takes_no_demand (t, i, e))
        {
          after += late_streams (
              e->load - mine, e->weighted_load - mine * pu_planned_weight (t),
              e->streams);
          continue;
        }
      at[n] = e;
      share[n] = mine;
      p->scratch_load[n] = e->load - mine;
      capacity[n++] = e->streams;
    }
  if (n == 0)
    return demand * pu_planned_weight (t) / MEAN_IMPORTANCE;

  level_utilization (p, n, capacity, demand);
  for (guint i = 0; i < n; i++)
    {
      double weight = at[i]->weighted_load - share[i] * pu_planned_weight (t)
                      + p->scratch_share[i] * pu_planned_weight (t);

      after += late_streams (p->scratch_load[i] + p->scratch_share[i], weight,
                             capacity[i]);
    }
  return after - before;
}

double
pu_planner_gain (pu_planner_t *p, guint32 item, guint32 engine)
{
  return -late_streams_delta (p, item, PU_PLAN_NONE, engine, 1.0);
}

double
pu_planner_copy_gain (pu_planner_t *p, guint32 item, guint32 engine)
{
  return late_streams_delta (p, item, engine, PU_PLAN_NONE, 1.0);
}

double
pu_planner_lost_streams (const pu_planner_t *p, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);
  double sum = t->forecast.expected * pu_planned_weight (t);

  for (guint i = 0; i < t->adapters->len; i++)
    {
      const pu_planned_item_t *a
          = pu_planned_item (p, g_array_index (t->adapters, guint32, i));

      sum += a->ready == 0 ? a->forecast.expected * pu_planned_weight (a) : 0;
    }
  return sum / MEAN_IMPORTANCE;
}

double
pu_planner_eviction_loss (pu_planner_t *p, guint32 item,
                          pu_copy_location_t place, bool with_base)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  const pu_forecast_t *f = &t->forecast;
  double scale = f->expected > 0 ? MAX (1.0, f->peak / f->expected) : 1.0;
  double loss = 0;

  if (!with_base)
    {
      loss = MAX (0.0, late_streams_delta (p, item, place.engine, PU_PLAN_NONE,
                                           scale));
    }

  if (t->ready <= 2)
    {
      loss += LAST_COPY_LOSS * (1 + f->peak) * pu_planned_weight (t)
              / MEAN_IMPORTANCE;
    }
  return loss;
}
