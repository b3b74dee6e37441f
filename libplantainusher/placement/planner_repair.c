#include "placement/planner_round.h"

/* Time after which an unreachable item, which is one without a ready copy, no
   longer delays loads that are not urgent.  */
#define GROWTH_DEFERRAL_MS 60000
/* Time after which a deferred load of an item without a ready copy that still
   waits for memory is stalled: the item may then get a second deferred load,
   on another engine.  */
#define STALLED_LOAD_MS 3000
#define MAX_DEFERRED_PER_ITEM 2
/* Limit on deferred loads, as a multiple of max_concurrent_loads: memory for
   them is freed while the store is busy.  */
#define DEFERRED_PER_STORE_LOAD 2

/* Returns the slot of the copy of E's deferred load.  index_engine makes it
   the last of E's copies, but a load ordered after that may follow it.  */
static guint
deferred_slot (const pu_planned_engine_t *e)
{
  guint s = e->copies->len - 1;

  while (!pu_planned_copy (e, s)->deferred)
    s--;
  return s;
}

static void
cancel_deferred (pu_round_t *r, pu_planned_engine_t *e)
{
  pu_planned_copy_t *c = pu_planned_copy (e, deferred_slot (e));

  e->deferred = false;
  r->p->deferred_loads--;
  pu_planned_item (r->p, c->c.item)->pending_loads--;
  c->c.phase = PU_PLAN_UNLOADING;
  pu_planner_spread_item_demand (r->p, c->c.item);
}

/* Cancels all deferred loads of ITEM, which has no ready copy.  */
static void
cancel_item_deferred (pu_round_t *r, guint32 item)
{
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (r->p, i);

      if (e->deferred && e->usable && e->deferred_load.c.item == item)
        cancel_deferred (r, e);
    }
}

void
pu_round_start_deferred_on (pu_round_t *r, guint32 engine)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_copy_t *c = pu_planned_copy (e, deferred_slot (e));

  e->deferred = false;
  c->deferred = false;
  r->p->deferred_loads--;
  pu_round_emit_load (r, engine, c);
  if (pu_planned_item (r->p, c->c.item)->stalled_loads > 0)
    cancel_item_deferred (r, c->c.item);
}

static bool
deferred_is_valid (const pu_round_t *r, const pu_planned_engine_t *e)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, e->deferred_load.c.item);

  return t->declared && pu_planned_version (t) == e->deferred_load.c.version
         && r->now < e->deferred_until;
}

bool
pu_round_keep_deferred (pu_round_t *r, guint32 engine)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);

  if (!e->deferred || !e->usable)
    return false;
  if (deferred_is_valid (r, e))
    return true;
  cancel_deferred (r, e);
  return false;
}

bool
pu_round_deferred_fits (pu_round_t *r, guint32 engine)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, e->deferred_load.c.item);

  if (pu_planned_free_mb (e) >= e->deferred_load.c.memory_mb)
    return true;
  if (t->ready == 0 && r->now >= e->deferred_load.since + STALLED_LOAD_MS)
    t->stalled_loads++;
  return false;
}

/* An item that needs a load, or an item with a deferred load on ENGINE.  */
typedef struct
{
  guint32 item;
  guint32 engine; /* PU_PLAN_NONE: no deferred load */
  /* The item needs a first copy; for a deferred load: the item has no ready
     copy.  */
  bool unreachable;
  pu_planned_item_t *t;
} pu_repair_t;

/* Returns the expected demand for T, weighted by its urgency.  */
static double
urgent_streams (const pu_planned_item_t *t)
{
  return t->forecast.expected * t->urgency;
}

/* Sorts items without a ready copy first, then by importance, then items in
   demand by expected demand, then items without demand by size, as the largest
   are the hardest to place.  */
static gint
compare_repairs (gconstpointer a, gconstpointer b)
{
  const pu_repair_t *x = a;
  const pu_repair_t *y = b;

  if (x->unreachable != y->unreachable)
    return x->unreachable ? -1 : 1;
  if (x->t->i.importance != y->t->i.importance)
    return x->t->i.importance > y->t->i.importance ? -1 : 1;
  if (pu_planned_in_demand (x->t) != pu_planned_in_demand (y->t))
    return pu_planned_in_demand (x->t) ? -1 : 1;
  if (pu_planned_in_demand (x->t)
      && urgent_streams (x->t) != urgent_streams (y->t))
    return urgent_streams (x->t) > urgent_streams (y->t) ? -1 : 1;
  if (x->t->i.memory_mb != y->t->i.memory_mb)
    return x->t->i.memory_mb > y->t->i.memory_mb ? -1 : 1;
  return x->item < y->item ? -1 : x->item > y->item;
}

void
pu_round_start_deferred (pu_round_t *r, bool idle)
{
  GArray *startable;

  if (r->p->deferred_loads == 0)
    return;
  startable = g_array_new (FALSE, FALSE, sizeof (pu_repair_t));
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (r->p, i);
      pu_repair_t n = { e->deferred_load.c.item, i, false, NULL };

      if (!pu_round_keep_deferred (r, i))
        continue;
      n.t = pu_planned_item (r->p, n.item);
      n.unreachable = n.t->ready == 0;
      if (idle != (n.unreachable && !pu_planned_in_demand (n.t)))
        continue;
      if (pu_round_deferred_fits (r, i))
        g_array_append_val (startable, n);
    }
  g_array_sort (startable, compare_repairs);
  for (guint i = 0; i < startable->len && pu_round_may_start_urgent_load (r);
       i++)
    {
      guint32 engine = g_array_index (startable, pu_repair_t, i).engine;

      /* An earlier start in this loop, for the same item, may have
         cancelled this deferred load.  */
      if (pu_planned_engine (r->p, engine)->deferred)
        pu_round_start_deferred_on (r, engine);
    }
  g_array_unref (startable);
}

bool
pu_planned_load_is_ordered (const pu_planner_t *p, const pu_planned_item_t *t)
{
  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_copy_t *c
          = pu_planned_copy (pu_planned_engine (p, at.engine), at.slot);

      if (c->c.phase <= PU_PLAN_LOADING && !c->deferred)
        return true;
    }
  return false;
}

void
pu_round_note_unreachable (pu_round_t *r, pu_planned_item_t *t)
{
  if (!t->declared || t->ready > 0)
    {
      t->unreachable_since = 0;
      t->waits_since = 0;
      return;
    }
  if (t->unreachable_since == 0)
    t->unreachable_since = r->now;
  if (t->failures > 0 || r->now >= t->unreachable_since + GROWTH_DEFERRAL_MS)
    return;
  r->any_unreachable = true;
  if (pu_planned_load_is_ordered (r->p, t))
    return;
  r->in_demand_not_loading
      = r->in_demand_not_loading || pu_planned_in_demand (t);
  r->any_not_loading = true;
}

bool
pu_planned_needs_first (const pu_planned_item_t *t)
{
  return t->ready == 0 && t->pending_loads == t->stalled_loads
         && t->stalled_loads < MAX_DEFERRED_PER_ITEM;
}

static GArray *
find_repairs (pu_round_t *r)
{
  GArray *repairs = g_array_new (FALSE, FALSE, sizeof (pu_repair_t));

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (r->p, i);
      pu_repair_t n = { i, PU_PLAN_NONE, pu_planned_needs_first (t), t };

      pu_round_note_unreachable (r, t);
      if (!pu_round_may_place (r, t) || !pu_round_base_is_ready (r, t))
        continue;
      if (n.unreachable
          || t->ready + t->pending_loads < MAX (1, t->i.min_copies))
        g_array_append_val (repairs, n);
    }
  g_array_sort (repairs, compare_repairs);
  return repairs;
}

/* Whether a load may be planned for an item without a ready copy.  While the
   store is busy the load is deferred, and memory is freed for it in the
   meantime.  */
static bool
may_add_deferred (const pu_round_t *r)
{
  return pu_round_may_start_urgent_load (r)
         || r->p->deferred_loads
                < DEFERRED_PER_STORE_LOAD * r->p->o.max_concurrent_loads;
}

static bool
may_repair (const pu_round_t *r, const pu_repair_t *n)
{
  return n->unreachable ? may_add_deferred (r)
                        : pu_round_may_start_urgent_load (r);
}

void
pu_round_load_first (pu_round_t *r, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint before = r->loads;

  pu_eviction_t evict = pu_planned_in_demand (t)
                            ? pu_planner_eviction (r->p, PU_EVICT_TO_LAST)
                        : r->p->overcommitted ? PU_EVICT_NONE
                                              : PU_EVICT_TO_LAST;

  if (!pu_round_try_load (r, item, evict, PU_REASON_UNREACHABLE)
      && !r->p->overcommitted && t->stalled_loads == 0 && !r->p->cached_only
      && !r->p->free_only && !r->p->only_loading_engines_fit)
    pu_round_evacuate (r, item);
  if (t->stalled_loads > 0 && r->loads > before)
    cancel_item_deferred (r, item);
}

static void
repair (pu_round_t *r, const pu_repair_t *n)
{
  if (n->unreachable)
    {
      pu_round_load_first (r, n->item);
    }
  else
    {
      pu_round_try_load (r, n->item, PU_EVICT_ABOVE_MINIMUM,
                         PU_REASON_MINIMUM);
    }
}

/* Plans loads for the items in demand (IN_DEMAND) or for the other items that
   have no ready copy or fewer copies than their minimum.  */
static void
repair_items (pu_round_t *r, bool in_demand)
{
  GArray *repairs = find_repairs (r);

  for (guint i = 0; i < repairs->len; i++)
    {
      const pu_repair_t *n = &g_array_index (repairs, pu_repair_t, i);

      if (pu_planned_in_demand (n->t) != in_demand)
        continue;
      r->p->cached_only = !may_repair (r, n);
      if (r->p->cached_only && !r->p->any_cached)
        break;
      repair (r, n);
    }
  r->p->cached_only = false;
  g_array_unref (repairs);
}

void
pu_round_repair_in_demand (pu_round_t *r)
{
  repair_items (r, true);
}

void
pu_round_repair_idle (pu_round_t *r)
{
  /* Gives copies for demand the next load slot, even if no engine is found for
     any of the idle items.  */
  if (pu_round_may_start_urgent_load (r))
    r->p->last_slot_for_demand = false;
  pu_round_start_deferred (r, true);
  repair_items (r, false);
}
