#include "placement/planner_internal.h"

#include <string.h>

/* Use of an engine above which requests are late, or refused.  */
#define LATE_FROM 0.7
#define MEAN_IMPORTANCE 5.0
/* What being left with one ready copy costs, beside the demand itself.  */
#define LAST_COPY_LOSS 0.05

guint32
pu_planned_version (const pu_planned_item_t *t)
{
  return t->rolled_back ? t->i.previous_version : t->i.version;
}

/* Room for N places: an engine may hold two versions of an item.  */
static void
reserve_places (pu_planner_t *p, guint n)
{
  if (n <= p->n_places)
    return;
  p->n_places = 2 * n;
  p->other = g_renew (double, p->other, p->n_places);
  p->filled = g_renew (double, p->filled, p->n_places);
}

static void
resize_mark (pu_planner_t *p)
{
  guint n = p->engines->len + 1;

  if (n <= p->n_mark)
    return;
  p->mark = g_renew (guint32, p->mark, n);
  memset (p->mark, 0, n * sizeof *p->mark);
  p->n_mark = n;
}

static void
clear_counts (pu_planner_t *p)
{
  p->coming = 0;
  p->promised = 0;
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (p, i);

      g_array_set_size (t->places, 0);
      t->ready = 0;
      t->coming = 0;
      t->slow = 0;
    }
}

/* A promised copy stands last in its engine's list, so that demand is spread
   over it too.  */
static void
list_promise (pu_planned_engine_t *e)
{
  for (guint s = e->copies->len; s-- > 0;)
    {
      if (pu_planned_copy (e, s)->promised)
        g_array_remove_index (e->copies, s);
    }
  if (e->promised)
    g_array_append_val (e->copies, e->deferred_load);
}

static void
index_engine (pu_planner_t *p, guint32 engine)
{
  pu_planned_engine_t *e = pu_planned_engine (p, engine);

  list_promise (e);
  e->held_mb = 0;
  e->loading = 0;
  e->load = 0;
  e->weight = 0;
  for (guint s = 0; s < e->copies->len; s++)
    {
      pu_planned_copy_t *c = pu_planned_copy (e, s);
      pu_planned_item_t *t = pu_planned_item (p, c->c.item);
      pu_copy_location_t place = { engine, s };

      c->share = 0;
      g_array_append_val (t->places, place);
      t->ready += c->c.phase == PU_PLAN_READY;
      if (c->c.phase > PU_PLAN_LOADING)
        continue;
      t->coming++;
      e->loading += !c->promised && t->i.base == PU_PLAN_NONE;
      p->coming += !c->promised && !pu_planned_quick (e, c->c.item);
      p->promised += c->promised;
    }
}

static void
drop_blocks (pu_planned_engine_t *e, guint64 now)
{
  for (guint i = e->blocks->len; i-- > 0;)
    {
      if (now >= g_array_index (e->blocks, pu_block_t, i).until)
        g_array_remove_index_fast (e->blocks, i);
    }
}

void
pu_planner_hold (pu_planner_t *p, guint32 engine, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);

  for (guint i = 0; i < t->adapters->len; i++)
    {
      const pu_planned_item_t *a
          = pu_planned_item (p, g_array_index (t->adapters, guint32, i));

      if (a->ready + a->coming == 0)
        pu_planned_engine (p, engine)->held_mb += a->i.memory_mb;
    }
}

static void
hold_for_adapters (pu_planner_t *p)
{
  for (guint32 i = 0; i < p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (p, i);

      if (t->adapters->len == 0)
        continue;
      for (guint k = 0; k < t->places->len; k++)
        pu_planner_hold (p, pu_item_location (t, k).engine, i);
    }
}

void
pu_planner_index (pu_planner_t *p, guint64 now)
{
  resize_mark (p);
  clear_counts (p);
  for (guint i = 0; i < p->engines->len; i++)
    {
      drop_blocks (pu_planned_engine (p, i), now);
      if (pu_planned_engine (p, i)->usable)
        index_engine (p, i);
    }
  hold_for_adapters (p);
}

/* Fills p->filled for DEMAND over N places with the loads p->other and
   the engines' streams CAPACITY, so that the use of those filled is level. */
static void
fill_level (pu_planner_t *p, guint n, const double *capacity, double demand)
{
  bool dropped = true;
  double level = 0;

  for (guint i = 0; i < n; i++)
    p->filled[i] = 1;
  while (dropped)
    {
      double load = demand;
      double room = 0;

      for (guint i = 0; i < n; i++)
        {
          load += p->filled[i] > 0 ? p->other[i] : 0;
          room += p->filled[i] > 0 ? capacity[i] : 0;
        }
      level = load / room;
      dropped = false;
      for (guint i = 0; i < n; i++)
        {
          if (p->filled[i] > 0 && p->other[i] > level * capacity[i])
            {
              p->filled[i] = 0;
              dropped = true;
            }
        }
    }
  for (guint i = 0; i < n; i++)
    {
      if (p->filled[i] > 0)
        p->filled[i] = level * capacity[i] - p->other[i];
    }
}

static bool
takes_demand (const pu_planned_copy_t *c)
{
  return c->c.phase != PU_PLAN_LEAVING;
}

void
pu_planner_spread_item_demand (pu_planner_t *p, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  double capacity[t->places->len + 1];
  guint n = 0;

  reserve_places (p, t->places->len + 1);
  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      e->load -= c->share;
      e->weight -= c->share * t->i.importance;
      c->share = 0;
      if (!takes_demand (c))
        continue;
      p->other[n] = e->load;
      capacity[n++] = e->streams;
    }
  if (n == 0 || t->forecast.expected <= 0)
    return;

  fill_level (p, n, capacity, t->forecast.expected);
  n = 0;
  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      if (!takes_demand (c))
        continue;
      c->share = p->filled[n++];
      e->load += c->share;
      e->weight += c->share * t->i.importance;
    }
}

void
pu_planner_spread (pu_planner_t *p)
{
  for (guint i = 0; i < p->items->len; i++)
    pu_planner_spread_item_demand (p, i);
}

/* Streams that are late on an engine with LOAD of CAPACITY, weighted by
   importance.  What an engine answers on target stays the same however much
   more is asked of it, as the rest is refused: so one copy more is a gain also
   where ten would be needed.  */
static double
late (double load, double weight, double capacity)
{
  double on_target = LATE_FROM * capacity;

  if (load <= on_target)
    return 0;
  return weight / MEAN_IMPORTANCE * (1 - on_target / load);
}

/* Whether the adapter T is wherever its base is, so that it needs another copy
   of the base to spread further.  */
static bool
fills_base (const pu_planner_t *p, const pu_planned_item_t *t)
{
  return t->places->len >= pu_planned_item (p, t->i.base)->places->len;
}

/* Share of ITEM on the engine E, and of its adapters: ALL of them, or those
   that fill their base.  */
static double
bundle_share (const pu_planner_t *p, const pu_planned_engine_t *e,
              guint32 item, bool all)
{
  double sum = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);
      const pu_planned_item_t *t = pu_planned_item (p, c->c.item);

      if (c->c.item == item
          || (t->i.base == item && (all || fills_base (p, t))))
        sum += c->share;
    }
  return sum;
}

/* Whether one of the first N places is on ENGINE: two versions may be.  */
static bool
seen_before (const pu_planned_item_t *t, guint n, guint32 engine)
{
  for (guint i = 0; i < n; i++)
    {
      if (pu_item_location (t, i).engine == engine)
        return true;
    }
  return false;
}

/* Whether place I of T, on E, takes no demand; the place after the last is one
   to come.  */
static bool
leaves (const pu_planned_item_t *t, guint i, const pu_planned_engine_t *e)
{
  return i < t->places->len
         && !takes_demand (pu_planned_copy (e, pu_item_location (t, i).slot));
}

/* Late streams before and after the demand of ITEM is spread again over its
   places without SKIP and with EXTRA; PU_PLAN_NONE for either.  SCALE
   enlarges the demand.  */
static double
change (pu_planner_t *p, guint32 item, guint32 skip, guint32 extra,
        double scale)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  guint n_max = t->places->len + 1;
  pu_planned_engine_t *at[n_max];
  double capacity[n_max];
  double share[n_max];
  double demand = 0;
  double before = 0;
  double after = 0;
  guint n = 0;

  reserve_places (p, n_max);
  for (guint i = 0; i <= t->places->len; i++)
    {
      guint32 engine
          = i < t->places->len ? pu_item_location (t, i).engine : extra;
      pu_planned_engine_t *e;
      double mine;

      if (engine == PU_PLAN_NONE || seen_before (t, i, engine))
        continue;
      e = pu_planned_engine (p, engine);
      mine = bundle_share (p, e, item, skip != PU_PLAN_NONE);
      demand += mine * scale;
      before += late (e->load + mine * (scale - 1),
                      e->weight + mine * (scale - 1) * t->i.importance,
                      e->streams);
      if (engine == skip || leaves (t, i, e))
        {
          after += late (e->load - mine, e->weight - mine * t->i.importance,
                         e->streams);
          continue;
        }
      at[n] = e;
      share[n] = mine;
      p->other[n] = e->load - mine;
      capacity[n++] = e->streams;
    }
  if (n == 0)
    return demand * t->i.importance / MEAN_IMPORTANCE;

  fill_level (p, n, capacity, demand);
  for (guint i = 0; i < n; i++)
    {
      double weight = at[i]->weight - share[i] * t->i.importance
                      + p->filled[i] * t->i.importance;

      after += late (p->other[i] + p->filled[i], weight, capacity[i]);
    }
  return after - before;
}

double
pu_planner_gain (pu_planner_t *p, guint32 item, guint32 engine)
{
  return -change (p, item, PU_PLAN_NONE, engine, 1.0);
}

double
pu_planner_loss (pu_planner_t *p, guint32 item, pu_copy_location_t place,
                 bool led)
{
  pu_planned_item_t *t = pu_planned_item (p, item);
  const pu_forecast_t *f = &t->forecast;
  double scale = f->expected > 0 ? MAX (1.0, f->held / f->expected) : 1.0;
  double loss = 0;

  if (!led)
    loss = MAX (0.0, change (p, item, place.engine, PU_PLAN_NONE, scale));

  if (t->ready <= 2)
    loss += LAST_COPY_LOSS * (1 + f->held) * t->i.importance / MEAN_IMPORTANCE;
  return loss;
}
