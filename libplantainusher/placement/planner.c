#include "placement/planner_round.h"

#define MS_PER_S 1000
#define PROMISE_MS 60000
#define NO_ROOM_WAIT_MS 2000
#define FULL_ROUNDS 100

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
  c->c.phase = PU_PLAN_LEAVING;
  c->since = r->now;
  emit (r, PU_MOVE_UNLOAD, engine, c, reason, for_item);
  pu_planner_spread_item_demand (r->p, c->c.item);
}

/* Puts the copy C on ENGINE's list.  */
static void
place (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, c->c.item);
  pu_copy_location_t at = { engine, e->copies->len };

  g_array_append_val (e->copies, *c);
  g_array_append_val (t->places, at);
  t->coming++;
  pu_planner_hold (r->p, engine, c->c.item);
  pu_planner_spread_item_demand (r->p, c->c.item);
}

void
pu_round_emit_load (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);

  emit (r, PU_MOVE_LOAD, engine, c, c->reason, c->for_item);
  e->committed_mb += c->c.memory_mb;
  e->loading += pu_planned_item (r->p, c->c.item)->i.base == PU_PLAN_NONE;
  r->loads++;
  if (pu_planned_quick (e, c->c.item))
    return;
  r->p->coming++;
  r->p->store -= MIN (r->p->store, 1);
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
  if (r->v.slots->len == 0
      && (pu_round_may_start_urgent_load (r) || pu_planned_quick (e, item)))
    {
      pu_round_emit_load (r, engine, &c);
      place (r, engine, &c);
      return;
    }
  for (guint i = 0; i < r->v.slots->len; i++)
    {
      emit_unload (r, engine, g_array_index (r->v.slots, guint, i),
                   PU_REASON_MAKE_ROOM, item);
    }
  c.promised = true;
  e->promised = true;
  e->deferred_load = c;
  e->deferred_until = r->now + PROMISE_MS;
  r->p->promised++;
  place (r, engine, &c);
}

bool
pu_round_may_start_urgent_load (const pu_round_t *r)
{
  return r->full
         || (r->p->coming < r->p->o.max_concurrent_loads && r->p->store > 0);
}

bool
pu_round_may_start_load (const pu_round_t *r)
{
  return r->full
         || (r->p->coming + r->p->promised < r->p->o.max_concurrent_loads
             && r->p->promised < r->p->store);
}

bool
pu_round_may_place (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->declared && r->now >= t->not_before;
}

/* Whether any engine holds the base of an adapter, so that a try makes
   sense.  */
bool
pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->i.base == PU_PLAN_NONE
         || pu_planned_item (r->p, t->i.base)->ready > 0;
}

bool
pu_round_try_load (pu_round_t *r, guint32 item, pu_room_t room,
                   pu_plan_reason_t reason)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint32 version = pu_planned_version (t);
  guint32 engine
      = pu_planner_choose (r->p, item, version, room, r->now, &r->v);

  if (engine == PU_PLAN_NONE && room == PU_EVICT_TO_LAST
      && !r->p->only_loading_engines_fit)
    {
      r->p->ignore_adapters = true;
      engine = pu_planner_choose (r->p, item, version, room, r->now, &r->v);
      r->p->ignore_adapters = false;
    }
  if (engine == PU_PLAN_NONE
      && (r->p->cached_only || r->p->only_loading_engines_fit))
    return false;
  if (engine == PU_PLAN_NONE)
    {
      t->no_room = true;
      t->not_before = r->now + NO_ROOM_WAIT_MS;
      return false;
    }
  pu_round_load (r, engine, item, reason, 0, 0);
  return true;
}

/* Copies of an item by version and phase.  */
typedef struct
{
  guint old_ready;
  guint old_any;
  guint new_ready;
  guint new_any;
  pu_copy_location_t old_place; /* of a ready copy of another version */
} pu_versions_t;

static pu_versions_t
count_versions (const pu_planner_t *p, const pu_planned_item_t *t)
{
  guint32 wanted = pu_planned_version (t);
  pu_versions_t n = { 0 };

  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_copy_t *c
          = pu_planned_copy (pu_planned_engine (p, at.engine), at.slot);
      bool ready = c->c.phase == PU_PLAN_READY;

      if (c->c.phase == PU_PLAN_LEAVING)
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

/* Loads copies elsewhere of the adapters that keep the base in PLACE from
   being unloaded.  */
static void
free_adapters (pu_round_t *r, pu_copy_location_t place)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, place.engine);
  guint32 base = pu_planned_copy (e, place.slot)->c.item;

  for (guint s = 0; s < e->copies->len; s++)
    {
      guint32 item = pu_planned_copy (e, s)->c.item;
      const pu_planned_item_t *t = pu_planned_item (r->p, item);

      if (t->i.base != base || t->ready > 1 || t->coming > 0)
        continue;
      if (pu_round_may_place (r, t) && pu_round_may_start_load (r))
        pu_round_try_load (r, item, PU_EVICT_TO_LAST, PU_REASON_VERSION);
      e = pu_planned_engine (r->p, place.engine);
    }
}

/* Unloads the copy in PLACE with the adapters beside it, when they may.  */
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
unload_old (pu_round_t *r, const pu_planned_item_t *t, const pu_versions_t *n,
            pu_plan_reason_t reason)
{
  guint least = MAX (1, t->i.min_copies);
  guint64 watch = (guint64)(r->p->o.watch_s * MS_PER_S);
  bool watched = t->rolled_back || r->full
                 || (t->first_ready != 0 && r->now >= t->first_ready + watch);
  guint keep = t->no_room ? least : MAX (least, t->copies_before_change);

  if (n->new_ready == 0 || n->old_ready == 0 || !watched)
    return;
  if (n->new_ready + n->old_ready <= MIN (keep, t->i.max_copies))
    return;
  if (!unload_bundle (r, n->old_place, reason))
    free_adapters (r, n->old_place);
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
      t->first_ready = 0;
      t->copies_before_change = 0;
      return;
    }
  if (t->copies_before_change == 0)
    t->copies_before_change = MAX (1, n.old_ready + n.new_ready);
  if (n.new_ready > 0 && t->first_ready == 0)
    t->first_ready = r->now;
  target = MIN (t->copies_before_change, t->i.max_copies);
  if (n.new_any < target && t->coming == 0 && pu_round_may_place (r, t)
      && pu_round_base_is_ready (r, t) && pu_round_may_start_load (r))
    {
      pu_room_t room
          = n.new_any == 0 ? PU_EVICT_TO_LAST : PU_EVICT_ABOVE_MINIMUM;

      pu_round_try_load (r, item, room, reason);
    }
  unload_old (r, t, &n, reason);
}

/* Phase 3.  */
static void
change_versions (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);

      if (t->declared && t->places->len > 0)
        change_version (r, i);
    }
}

/* Phase 4: copies that are not declared, or too many.  */
static void
unload_undeclared (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      bool surplus = t->declared && t->coming == 0
                     && t->copies_before_change == 0
                     && t->ready > MAX (1, t->i.max_copies);

      if (t->declared && !surplus)
        continue;
      for (guint k = 0; k < t->places->len; k++)
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
advance (pu_planner_t *p, guint64 now)
{
  guint64 ms = now - p->last_advance;
  pu_forecast_weights_t period;

  if (p->last_advance != 0 && ms < p->o.forecast_period_ms)
    return;
  if (p->last_advance == 0)
    ms = p->o.forecast_period_ms;
  period = pu_forecast_get_weights (&p->o.forecast, ms / (double)MS_PER_S);
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_forecast_advance (&pu_planned_item (p, i)->forecast, &p->o.forecast,
                           &period);
    }
  p->last_advance = now;
}

static void
run_round (pu_round_t *r)
{
  bool idle_first;

  pu_planner_index (r->p, r->now);
  pu_planner_spread (r->p);
  r->v.slots = g_array_new (FALSE, FALSE, sizeof (guint));
  pu_round_start_deferred (r, false);
  pu_round_repair_in_demand (r);
  idle_first = r->full || r->p->grew || !pu_round_any_engine_hot (r);
  if (idle_first)
    pu_round_repair_idle (r);
  change_versions (r);
  unload_undeclared (r);
  if (r->full || !r->missing_in_demand)
    pu_round_scale_up (r);
  if (!idle_first)
    pu_round_repair_idle (r);
  if (r->full || !r->repairing)
    pu_round_fill_spare_memory (r);
  g_array_unref (r->v.slots);
}

void
pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves)
{
  pu_round_t r = { 0 };

  r.p = p;
  r.for_item = PU_PLAN_NONE;
  r.now = now;
  r.moves = moves;
  advance (p, now);
  run_round (&r);
}

/* Ends all that is under way: loads are ready, unloads gone.  */
static void
settle (pu_planner_t *p)
{
  for (guint i = 0; i < p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = e->copies->len; s-- > 0;)
        {
          pu_planned_copy_t *c = pu_planned_copy (e, s);

          if (c->promised)
            continue;
          if (c->c.phase != PU_PLAN_LEAVING)
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

static void
run_full (pu_planner_t *p, guint64 now, GArray *moves)
{
  pu_round_t r = { 0 };

  r.p = p;
  r.for_item = PU_PLAN_NONE;
  r.now = now;
  r.moves = moves;
  r.full = true;
  for (guint i = 0; i < FULL_ROUNDS; i++)
    {
      guint before = moves->len;

      run_round (&r);
      settle (p);
      if (moves->len == before)
        return;
    }
}

void
pu_planner_plan_until_stable (const pu_planner_t *p, guint64 now,
                              GArray *moves)
{
  pu_planner_t *q = pu_planner_clone (p);

  run_full (q, now, moves);
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
  run_full (q, now, moves);
  pu_planner_free (q);
}
