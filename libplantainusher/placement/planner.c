#include "placement/planner_round.h"

#define MS_PER_S 1000
#define DEFERRED_LOAD_TIMEOUT_MS 60000
#define NO_ROOM_BACKOFF_MS 2000
/* Time for which the unload order of a last copy that gives way may be sent
   again.  */
#define YIELD_MS 60000
/* Limit on the rounds (passes over the phases of a step) of a plan up to a
   stable placement.  */
#define STABLE_ROUNDS_MAX 100

static void
emit (pu_round_t *r, pu_move_kind_t kind, guint32 engine,
      const pu_planned_copy_t *c, pu_plan_reason_t reason, guint32 for_item)
{
  pu_move_t m = { 0 };

  m.kind = kind;
  m.engine = engine;
  m.item = c->c.item;
  m.version = c->c.version;
  m.memory_mb = c->c.memory_mb;
  m.reason = reason;
  m.for_item = for_item;
  m.gain = kind == PU_MOVE_LOAD ? c->gain : 0;
  m.price = kind == PU_MOVE_LOAD ? c->price : 0;
  g_array_append_val (r->moves, m);
}

static void
emit_unload (pu_round_t *r, guint32 engine, guint slot,
             pu_plan_reason_t reason, guint32 for_item)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_copy_t *c = pu_planned_copy (e, slot);
  pu_planned_item_t *t = pu_planned_item (r->p, c->c.item);

  t->ready -= c->c.phase == PU_PLAN_READY;
  if (t->ready == 0 && for_item != PU_PLAN_NONE)
    c->yields_until = r->now + YIELD_MS;
  c->c.phase = PU_PLAN_UNLOADING;
  c->since = r->now;
  emit (r, PU_MOVE_UNLOAD, engine, c, reason, for_item);
  pu_planner_spread_item_demand (r->p, c->c.item);
}

/* Adds C to ENGINE's copies and distributes the demand for the item of C over
   its copies again.  */
static void
add_copy (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, c->c.item);
  pu_copy_location_t at = { engine, e->copies->len };

  g_array_append_val (e->copies, *c);
  g_array_append_val (t->locations, at);
  t->pending_loads++;
  pu_planner_reserve_for_adapters (r->p, engine, c->c.item);
  pu_planner_spread_item_demand (r->p, c->c.item);
}

void
pu_round_emit_load (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);

  emit (r, PU_MOVE_LOAD, engine, c, c->reason, c->for_item);
  e->committed_mb += c->c.memory_mb;
  e->models_loading
      += pu_planned_item (r->p, c->c.item)->i.base == PU_PLAN_NONE;
  r->loads++;
  if (pu_planned_is_cached (e, c->c.item))
    return;
  r->p->store_loads++;
  r->p->load_slots -= MIN (r->p->load_slots, 1);
}

void
pu_round_load (pu_round_t *r, guint32 engine, guint32 item,
               pu_plan_reason_t reason, double gain, double price)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_planned_copy_t c = { 0 };

  c.c.item = item;
  c.c.version = pu_planned_version (t);
  c.c.memory_mb = t->i.memory_mb;
  c.c.phase = PU_PLAN_ORDERED;
  c.reason = reason;
  c.for_item = r->for_item;
  c.since = r->now;
  c.gain = gain;
  c.price = price;
  t->no_room = false;
  t->evacuated_until = 0;
  if (r->victims.slots->len == 0
      && (pu_round_may_start_urgent_load (r)
          || pu_planned_is_cached (e, item)))
    {
      pu_round_emit_load (r, engine, &c);
      add_copy (r, engine, &c);
      return;
    }
  for (guint i = 0; i < r->victims.slots->len; i++)
    {
      emit_unload (r, engine, g_array_index (r->victims.slots, guint, i),
                   PU_REASON_MAKE_ROOM, item);
    }
  c.deferred = true;
  e->deferred = true;
  e->deferred_load = c;
  e->deferred_until = r->now + DEFERRED_LOAD_TIMEOUT_MS;
  r->p->deferred_loads++;
  add_copy (r, engine, &c);
}

bool
pu_round_may_start_urgent_load (const pu_round_t *r)
{
  return r->until_stable
         || (r->p->store_loads < r->p->o.max_concurrent_loads
             && r->p->load_slots > 0);
}

bool
pu_round_may_start_load (const pu_round_t *r)
{
  return r->until_stable
         || (r->p->store_loads + r->p->deferred_loads
                 < r->p->o.max_concurrent_loads
             && r->p->deferred_loads < r->p->load_slots);
}

bool
pu_round_may_place (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->declared && r->now >= t->not_before;
}

bool
pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->i.base == PU_PLAN_NONE
         || pu_planned_item (r->p, t->i.base)->ready > 0;
}

bool
pu_round_try_load (pu_round_t *r, guint32 item, pu_eviction_t evict,
                   pu_plan_reason_t reason)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint32 version = pu_planned_version (t);
  guint32 engine
      = pu_planner_choose (r->p, item, version, evict, r->now, &r->victims);

  if (engine == PU_PLAN_NONE && evict >= PU_EVICT_TO_LAST
      && !r->p->only_loading_engines_fit)
    {
      r->p->ignore_adapters = true;
      engine = pu_planner_choose (r->p, item, version, evict, r->now,
                                  &r->victims);
      r->p->ignore_adapters = false;
    }
  if (engine == PU_PLAN_NONE
      && (r->p->cached_only || r->p->free_only
          || r->p->only_loading_engines_fit))
    return false;
  if (engine == PU_PLAN_NONE)
    {
      t->no_room = true;
      t->not_before = r->now + NO_ROOM_BACKOFF_MS;
      return false;
    }
  if (!r->only_deferred || r->victims.slots->len > 0
      || pu_planned_is_cached (pu_planned_engine (r->p, engine), item))
    pu_round_load (r, engine, item, reason, 0, 0);
  return true;
}

/* Numbers of copies of an item.  `new` stands for the version that the item
   should have, `old` for any other version.  `any` includes copies that are
   not ready, but not those being unloaded.  */
typedef struct
{
  guint old_ready;
  guint old_any;
  guint new_ready;
  guint new_any;
  pu_copy_location_t old_place; /* location of a ready copy of an old
                                   version */
} pu_versions_t;

static pu_versions_t
count_versions (const pu_planner_t *p, const pu_planned_item_t *t)
{
  guint32 wanted = pu_planned_version (t);
  pu_versions_t n = { 0 };

  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_copy_t *c
          = pu_planned_copy (pu_planned_engine (p, at.engine), at.slot);
      bool ready = c->c.phase == PU_PLAN_READY;

      if (c->c.phase == PU_PLAN_UNLOADING)
        continue;
      if (c->c.version == wanted)
        {
          n.new_ready += ready;
          n.new_any++;
          continue;
        }
      n.old_any++;
      n.old_ready += ready;
      if (ready)
        n.old_place = at;
    }
  return n;
}

/* The base model at PLACE cannot be unloaded while an adapter of it has its
   last copy on the same engine.  Loads copies of such adapters on other
   engines.  */
static void
load_adapters_elsewhere (pu_round_t *r, pu_copy_location_t place)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, place.engine);
  guint32 base = pu_planned_copy (e, place.slot)->c.item;

  for (guint s = 0; s < e->copies->len; s++)
    {
      guint32 item = pu_planned_copy (e, s)->c.item;
      const pu_planned_item_t *t = pu_planned_item (r->p, item);

      if (t->i.base != base || t->ready > 1 || t->pending_loads > 0)
        continue;
      if (pu_round_may_place (r, t) && pu_round_may_start_load (r))
        pu_round_try_load (r, item, PU_EVICT_TO_LAST, PU_REASON_VERSION);
      e = pu_planned_engine (r->p, place.engine);
    }
}

/* Unloads the copy at PLACE and its adapters on the same engine.  Returns
   false, and unloads nothing, when one of these copies must not be
   unloaded.  */
static bool
unload_bundle (pu_round_t *r, pu_copy_location_t place,
               pu_plan_reason_t reason)
{
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (guint));
  bool may = pu_planner_bundle (r->p, place.engine, place.slot, PU_PLAN_NONE,
                                PU_EVICT_TO_LAST, slots);

  for (guint i = 0; may && i < slots->len; i++)
    {
      emit_unload (r, place.engine, g_array_index (slots, guint, i), reason,
                   PU_PLAN_NONE);
    }
  g_array_unref (slots);
  return may;
}

static void
unload_old_version (pu_round_t *r, const pu_planned_item_t *t,
                    const pu_versions_t *n, pu_plan_reason_t reason)
{
  guint least = MAX (1, t->i.min_copies);
  guint64 watch = (guint64)(r->p->o.watch_s * MS_PER_S);
  bool observed
      = t->rolled_back || r->until_stable
        || (t->new_ready_since != 0 && r->now >= t->new_ready_since + watch);
  guint keep = t->no_room ? least : MAX (least, t->copies_before_change);

  if (n->new_ready == 0 || n->old_ready == 0 || !observed)
    return;
  if (n->new_ready + n->old_ready <= MIN (keep, t->i.max_copies))
    return;
  if (!unload_bundle (r, n->old_place, reason))
    load_adapters_elsewhere (r, n->old_place);
}

static void
change_version (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_versions_t n = count_versions (r->p, t);
  pu_plan_reason_t reason
      = t->rolled_back ? PU_REASON_ROLL_BACK : PU_REASON_VERSION;
  guint target;

  if (n.old_any == 0)
    {
      t->new_ready_since = 0;
      t->copies_before_change = 0;
      return;
    }
  if (t->copies_before_change == 0)
    t->copies_before_change = MAX (1, n.old_ready + n.new_ready);
  if (n.new_ready > 0 && t->new_ready_since == 0)
    t->new_ready_since = r->now;
  target = MIN (t->copies_before_change, t->i.max_copies);
  if (n.new_any < target && t->pending_loads == 0 && pu_round_may_place (r, t)
      && pu_round_base_is_ready (r, t) && pu_round_may_start_load (r))
    {
      pu_eviction_t evict
          = n.new_any == 0 ? PU_EVICT_TO_LAST : PU_EVICT_ABOVE_MINIMUM;

      pu_round_try_load (r, item, evict, reason);
    }
  unload_old_version (r, t, &n, reason);
}

/* Phase 3 of a step: replaces copies whose version is not the one that their
   item should have.  */
static void
change_versions (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);

      if (t->declared && t->locations->len > 0)
        change_version (r, i);
    }
}

/* Phase 4 of a step: unloads copies of undeclared items, and copies above the
   maximum of their item.  */
static void
unload_unneeded (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      bool surplus = t->declared && t->pending_loads == 0
                     && t->copies_before_change == 0
                     && t->ready > MAX (1, t->i.max_copies);

      if (t->declared && !surplus)
        continue;
      for (guint k = 0; k < t->locations->len; k++)
        {
          pu_copy_location_t at = pu_item_location (t, k);
          const pu_planned_copy_t *c
              = pu_planned_copy (pu_planned_engine (r->p, at.engine), at.slot);

          if (c->c.phase != PU_PLAN_READY)
            continue;
          if (!t->declared)
            {
              emit_unload (r, at.engine, at.slot, PU_REASON_UNDECLARED,
                           PU_PLAN_NONE);
            }
          else if (unload_bundle (r, at, PU_REASON_MAXIMUM))
            {
              break;
            }
        }
    }
}

static void
advance_forecasts (pu_planner_t *p, guint64 now)
{
  guint64 ms = now - p->last_forecast_ms;
  pu_forecast_weights_t weights;

  if (p->last_forecast_ms != 0 && ms < p->o.forecast_period_ms)
    return;
  if (p->last_forecast_ms == 0)
    ms = p->o.forecast_period_ms;
  weights = pu_forecast_get_weights (&p->o.forecast, ms / (double)MS_PER_S);
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_forecast_advance (&pu_planned_item (p, i)->forecast, &p->o.forecast,
                           &weights);
    }
  pu_planner_update_urgency (p, ms / (double)MS_PER_S);
  p->last_forecast_ms = now;
}

/* Phases 1 to 5 of a step.  */
static void
run_repairs_and_growth (pu_round_t *r)
{
  bool idle_first;

  pu_round_start_deferred (r, false);
  pu_round_repair_in_demand (r);
  idle_first = r->until_stable || r->p->last_slot_for_demand
               || !pu_round_any_engine_hot (r);
  if (idle_first)
    pu_round_repair_idle (r);
  change_versions (r);
  unload_unneeded (r);
  if (r->until_stable || !r->in_demand_not_loading)
    pu_round_scale_up (r);
  if (!idle_first)
    pu_round_repair_idle (r);
}

static void
run_round (pu_round_t *r)
{
  r->p->step_ms = r->now;
  pu_planner_rebuild_index (r->p, r->now);
  pu_planner_spread_demand (r->p);
  r->victims.slots = g_array_new (FALSE, FALSE, sizeof (guint));
  if (pu_round_needs_restore (r))
    {
      pu_round_restore (r);
      change_versions (r);
      unload_unneeded (r);
    }
  else
    {
      run_repairs_and_growth (r);
    }
  if (r->until_stable || !r->any_unreachable)
    pu_round_fill_spare_memory (r);
  g_array_unref (r->victims.slots);
}

void
pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves)
{
  pu_round_t r = { 0 };

  r.p = p;
  r.for_item = PU_PLAN_NONE;
  r.now = now;
  r.moves = moves;
  if (p->first_step_ms == 0)
    p->first_step_ms = MAX (now, 1);
  advance_forecasts (p, now);
  run_round (&r);
}

/* Completes all ordered moves in the tables of P: loads become ready, unloaded
   copies are removed.  */
static void
complete_moves (pu_planner_t *p)
{
  for (guint i = 0; i < p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = e->copies->len; s-- > 0;)
        {
          pu_planned_copy_t *c = pu_planned_copy (e, s);

          if (c->deferred)
            continue;
          if (c->c.phase != PU_PLAN_UNLOADING)
            {
              c->c.phase = PU_PLAN_READY;
              continue;
            }
          e->committed_mb -= MIN (e->committed_mb, c->c.memory_mb);
          g_array_remove_index (e->copies, s);
        }
    }
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (p, i);

      if (!t->no_room)
        t->not_before = 0;
    }
}

/* Runs rounds, which append moves to MOVES, until a round adds no move or
   STABLE_ROUNDS_MAX rounds have run.  */
static void
run_until_stable (pu_planner_t *p, guint64 now, GArray *moves)
{
  pu_round_t r = { 0 };

  r.p = p;
  r.for_item = PU_PLAN_NONE;
  r.now = now;
  r.moves = moves;
  r.until_stable = true;
  for (guint i = 0; i < STABLE_ROUNDS_MAX; i++)
    {
      guint before = moves->len;

      run_round (&r);
      complete_moves (p);
      if (moves->len == before)
        return;
    }
}

void
pu_planner_plan_until_stable (const pu_planner_t *p, guint64 now,
                              GArray *moves)
{
  pu_planner_t *q = pu_planner_clone (p);

  run_until_stable (q, now, moves);
  pu_planner_free (q);
}

void
pu_planner_what_if (const pu_planner_t *p, const pu_plan_item_t *const *items,
                    guint n, guint64 now, GArray *moves)
{
  pu_planner_t *q = pu_planner_clone (p);

  for (guint32 i = 0; i < n; i++)
    pu_planner_set_item (q, i, items[i]);
  for (guint32 i = n; i < q->items->len; i++)
    pu_planner_set_item (q, i, NULL);
  run_until_stable (q, now, moves);
  pu_planner_free (q);
}
