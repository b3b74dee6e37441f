#include "placement/planner_round.h"

/* How long an unreachable item holds back loads that are not urgent.  */
#define HOLD_GROWTH_MS 60000
/* How long an unreachable item waits for room until it looks elsewhere too,
   and on how many engines room is made for it at once.  */
#define SLOW_ROOM_MS 3000
#define ROOMS_AT_ONCE 2
/* Places that are found ahead, for each load that the store takes at once.  */
#define PLACES_AHEAD 2

/* The promised copy of E, which index_engine listed last; a load may have
   been listed after it since.  */
static guint
promise_slot (const pu_planned_engine_t *e)
{
  guint s = e->copies->len - 1;

  while (!pu_planned_copy (e, s)->promised)
    s--;
  return s;
}

static void
drop_promise (pu_round_t *r, pu_planned_engine_t *e)
{
  pu_planned_copy_t *c = pu_planned_copy (e, promise_slot (e));

  e->promised = false;
  r->p->promised--;
  pu_planned_item (r->p, c->c.item)->coming--;
  c->c.phase = PU_PLAN_LEAVING;
  pu_planner_spread_item_demand (r->p, c->c.item);
}

/* Drops what else is promised to the unreachable ITEM.  */
static void
drop_others (pu_round_t *r, guint32 item)
{
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (r->p, i);

      if (e->promised && e->usable && e->deferred_load.c.item == item)
        drop_promise (r, e);
    }
}

/* The promise of E comes true: its copy is ordered.  */
static void
keep_promise (pu_round_t *r, guint32 engine)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_copy_t *c = pu_planned_copy (e, promise_slot (e));

  e->promised = false;
  c->promised = false;
  r->p->promised--;
  pu_round_emit_load (r, engine, c);
  if (pu_planned_item (r->p, c->c.item)->slow > 0)
    drop_others (r, c->c.item);
}

static bool
is_valid (const pu_round_t *r, const pu_planned_engine_t *e)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, e->deferred_load.c.item);

  return t->declared && pu_planned_version (t) == e->deferred_load.c.version
         && r->now < e->deferred_until;
}

/* An item that wants a load: one without a copy, or a promise on ENGINE.  */
typedef struct
{
  guint32 item;
  guint32 engine;
  bool lost; /* no copy is ready, nor one coming but for the promise */
  pu_planned_item_t *t;
} pu_needy_t;

/* What most callers wait for goes first; of what nobody asks for, the largest,
   which is the hardest to find room for.  */
static gint
compare_needy (gconstpointer a, gconstpointer b)
{
  const pu_needy_t *x = a;
  const pu_needy_t *y = b;

  if (x->lost != y->lost)
    return x->lost ? -1 : 1;
  if (x->t->i.importance != y->t->i.importance)
    return x->t->i.importance > y->t->i.importance ? -1 : 1;
  if (pu_planned_in_demand (x->t) != pu_planned_in_demand (y->t))
    return pu_planned_in_demand (x->t) ? -1 : 1;
  if (pu_planned_in_demand (x->t)
      && x->t->forecast.expected != y->t->forecast.expected)
    return x->t->forecast.expected > y->t->forecast.expected ? -1 : 1;
  if (x->t->i.memory_mb != y->t->i.memory_mb)
    return x->t->i.memory_mb > y->t->i.memory_mb ? -1 : 1;
  return x->item < y->item ? -1 : x->item > y->item;
}

void
pu_round_start_deferred (pu_round_t *r, bool idle)
{
  GArray *kept;

  if (r->p->promised == 0)
    return;
  kept = g_array_new (FALSE, FALSE, sizeof (pu_needy_t));
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (r->p, i);
      pu_needy_t n = { e->deferred_load.c.item, i, false, NULL };

      if (!e->promised || !e->usable)
        continue;
      if (!is_valid (r, e))
        {
          drop_promise (r, e);
          continue;
        }
      n.t = pu_planned_item (r->p, n.item);
      n.lost = n.t->ready == 0;
      if (idle != (n.lost && !pu_planned_in_demand (n.t)))
        continue;
      if (pu_planned_free_mb (e) >= e->deferred_load.c.memory_mb)
        {
          g_array_append_val (kept, n);
        }
      else if (n.lost && r->now >= e->deferred_load.since + SLOW_ROOM_MS)
        {
          n.t->slow++;
        }
    }
  g_array_sort (kept, compare_needy);
  for (guint i = 0; i < kept->len && pu_round_may_start_urgent_load (r); i++)
    {
      guint32 engine = g_array_index (kept, pu_needy_t, i).engine;

      /* It may have been dropped for another of the same item.  */
      if (pu_planned_engine (r->p, engine)->promised)
        keep_promise (r, engine);
    }
  g_array_unref (kept);
}

/* Whether a load of T is under way, not only promised.  */
static bool
is_coming (const pu_planner_t *p, const pu_planned_item_t *t)
{
  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_copy_t *c
          = pu_planned_copy (pu_planned_engine (p, at.engine), at.slot);

      if (c->c.phase <= PU_PLAN_LOADING && !c->promised)
        return true;
    }
  return false;
}

/* Notes since when T has had no ready copy.  */
static void
note_lost (pu_round_t *r, pu_planned_item_t *t)
{
  if (!t->declared || t->ready > 0)
    {
      t->lost_since = 0;
      return;
    }
  if (t->lost_since == 0)
    t->lost_since = r->now;
  if (t->failures > 0 || r->now >= t->lost_since + HOLD_GROWTH_MS)
    return;
  r->repairing = true;
  if (is_coming (r->p, t))
    return;
  r->missing_in_demand = r->missing_in_demand || pu_planned_in_demand (t);
  r->missing_any = true;
}

/* Whether T has no copy, and none coming but for rooms that take long.  */
static bool
is_lost (const pu_planned_item_t *t)
{
  return t->ready == 0 && t->coming == t->slow && t->slow < ROOMS_AT_ONCE;
}

static GArray *
find_needy (pu_round_t *r)
{
  GArray *needy = g_array_new (FALSE, FALSE, sizeof (pu_needy_t));

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (r->p, i);
      pu_needy_t n = { i, PU_PLAN_NONE, is_lost (t), t };

      note_lost (r, t);
      if (!pu_round_may_place (r, t) || !pu_round_base_is_ready (r, t))
        continue;
      if (n.lost || t->ready + t->coming < MAX (1, t->i.min_copies))
        g_array_append_val (needy, n);
    }
  g_array_sort (needy, compare_needy);
  return needy;
}

/* Whether a lost item may be promised a place: room is made while the store
   is busy.  */
static bool
may_promise (const pu_round_t *r)
{
  return pu_round_may_start_urgent_load (r)
         || r->p->promised < PLACES_AHEAD * r->p->o.max_concurrent_loads;
}

static bool
may_begin (const pu_round_t *r, const pu_needy_t *n)
{
  return n->lost ? may_promise (r) : pu_round_may_start_urgent_load (r);
}

static void
repair_lost (pu_round_t *r, const pu_needy_t *n)
{
  guint before = r->loads;

  if (!pu_round_try_load (r, n->item, PU_EVICT_TO_LAST, PU_REASON_UNREACHABLE)
      && n->t->slow == 0 && !r->p->cached_only
      && !r->p->only_loading_engines_fit)
    pu_round_evacuate (r, n->item);
  if (n->t->slow > 0 && r->loads > before)
    drop_others (r, n->item);
}

static void
repair (pu_round_t *r, const pu_needy_t *n)
{
  if (n->lost)
    {
      repair_lost (r, n);
    }
  else
    {
      pu_round_try_load (r, n->item, PU_EVICT_ABOVE_MINIMUM,
                         PU_REASON_MINIMUM);
    }
}

/* Those of the needy that are ASKED for, or the others.  */
static void
repair_some (pu_round_t *r, bool asked)
{
  GArray *needy = find_needy (r);

  for (guint i = 0; i < needy->len; i++)
    {
      const pu_needy_t *n = &g_array_index (needy, pu_needy_t, i);

      if (pu_planned_in_demand (n->t) != asked)
        continue;
      r->p->cached_only = !may_begin (r, n);
      if (r->p->cached_only && !r->p->any_cached)
        break;
      repair (r, n);
    }
  r->p->cached_only = false;
  g_array_unref (needy);
}

void
pu_round_repair_in_demand (pu_round_t *r)
{
  repair_some (r, true);
}

void
pu_round_repair_idle (pu_round_t *r)
{
  /* Their turn is over also when there was no room for any of them.  */
  if (pu_round_may_start_urgent_load (r))
    r->p->grew = false;
  pu_round_start_deferred (r, true);
  repair_some (r, false);
}
