#include "placement/planner_internal.h"

#include <math.h>

#define MS_PER_S 1000
#define PROMISE_MS 60000
#define NO_ROOM_WAIT_MS 2000
#define SPARE_WAIT_MS 10000
#define ADVANCE_MS 1000
#define HOT_ENGINES 4
/* Copies of one item that may be on their way for its demand.  */
#define GROW_AT_ONCE 4
#define DEMAND_MOVES 4       /* of a step */
#define DEMAND_MOVES_FULL 64 /* of a round of the full plan */
#define SPARE_TRIES 4        /* items tried in a step */
#define FULL_ROUNDS 100
/* How much dearer a move is when moves weigh all.  */
#define WEIGHT_PRICE 9.0
/* Moves that a copy which has not stayed long counts as, more than one.  */
#define YOUNG_PRICE 2.0
/* Copies beyond two that spare memory is given to, for a demand of one
   engine's streams.  */
#define SPARE_COPIES 3.0

typedef struct
{
  pu_planner_t *p;
  guint64 now;
  GArray *moves;
  pu_victims_t v;
  bool full; /* the store has no limits */
} pu_round_t;

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
  pu_planner_spread_item (r->p, c->c.item);
}

/* Puts the copy C on ENGINE's list.  */
static void
place (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, c->c.item);
  pu_place_t at = { engine, e->copies->len };

  g_array_append_val (e->copies, *c);
  g_array_append_val (t->places, at);
  t->coming++;
  pu_planner_spread_item (r->p, c->c.item);
}

static void
emit_load (pu_round_t *r, guint32 engine, const pu_planned_copy_t *c)
{
  emit (r, PU_MOVE_LOAD, engine, c, c->reason, PU_PLAN_NONE);
  pu_planned_engine (r->p, engine)->committed_mb += c->c.memory_mb;
  r->p->coming++;
}

/* Loads ITEM on ENGINE: at once when it fits, else after the copies in r->v
   have made room.  */
static void
load (pu_round_t *r, guint32 engine, guint32 item, pu_plan_reason_t reason,
      double gain, double price)
{
  pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_planned_copy_t c = { 0 };

  c.c.item = item;
  c.c.version = pu_planned_version (t);
  c.c.memory_mb = t->i.memory_mb;
  c.c.phase = PU_PLAN_ORDERED;
  c.reason = reason;
  c.since = r->now;
  c.gain = gain;
  c.price = price;
  t->no_room = false;
  if (r->v.slots->len == 0)
    {
      emit_load (r, engine, &c);
      place (r, engine, &c);
      return;
    }
  for (guint i = 0; i < r->v.slots->len; i++)
    {
      emit_unload (r, engine, g_array_index (r->v.slots, guint, i),
                   PU_REASON_ROOM, item);
    }
  c.promised = true;
  e->promised = true;
  e->promise = c;
  e->promise_until = r->now + PROMISE_MS;
  r->p->promised++;
  place (r, engine, &c);
}

static bool
store_takes_urgent (const pu_round_t *r)
{
  return r->full || r->p->coming < r->p->o.max_coming;
}

static bool
store_takes (const pu_round_t *r)
{
  return r->full || r->p->coming + r->p->promised < r->p->o.max_coming;
}

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
  pu_planner_spread_item (r->p, c->c.item);
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
  emit_load (r, engine, c);
}

/* Loads what was promised where the room has become free.  */
static void
keep_promises (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_planned_engine_t *e = pu_planned_engine (r->p, i);
      const pu_planned_item_t *t;
      bool valid;

      if (!e->promised || !e->usable)
        continue;
      t = pu_planned_item (r->p, e->promise.c.item);
      valid = t->declared && pu_planned_version (t) == e->promise.c.version
              && r->now < e->promise_until;
      if (!valid)
        {
          drop_promise (r, e);
          continue;
        }
      if (pu_planned_free (e) < e->promise.c.memory_mb
          || !store_takes_urgent (r))
        continue;
      keep_promise (r, i);
    }
}

static bool
may_try (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->declared && r->now >= t->not_before;
}

/* Whether any engine holds the base of an adapter, so that a try makes
   sense.  */
static bool
base_is_ready (const pu_round_t *r, const pu_planned_item_t *t)
{
  return t->i.base == PU_PLAN_NONE
         || pu_planned_item (r->p, t->i.base)->ready > 0;
}

/* Finds an engine and loads; without room waits a little.  */
static bool
try_load (pu_round_t *r, guint32 item, pu_room_t room, pu_plan_reason_t reason)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint32 version = pu_planned_version (t);
  guint32 engine
      = pu_planner_choose (r->p, item, version, room, r->now, &r->v);

  if (engine == PU_PLAN_NONE && room == PU_ROOM_MINIMUM)
    {
      r->p->lean = true;
      engine = pu_planner_choose (r->p, item, version, room, r->now, &r->v);
      r->p->lean = false;
    }
  if (engine == PU_PLAN_NONE)
    {
      t->no_room = true;
      t->not_before = r->now + NO_ROOM_WAIT_MS;
      return false;
    }
  load (r, engine, item, reason, 0, 0);
  return true;
}

typedef struct
{
  guint32 item;
  bool lost; /* no copy is ready or coming */
  const pu_planned_item_t *t;
} pu_needy_t;

static gint
compare_needy (gconstpointer a, gconstpointer b)
{
  const pu_needy_t *x = a;
  const pu_needy_t *y = b;

  if (x->lost != y->lost)
    return x->lost ? -1 : 1;
  if (x->t->i.importance != y->t->i.importance)
    return x->t->i.importance > y->t->i.importance ? -1 : 1;
  if (x->t->i.memory_mb != y->t->i.memory_mb)
    return x->t->i.memory_mb > y->t->i.memory_mb ? -1 : 1;
  return x->item < y->item ? -1 : x->item > y->item;
}

static GArray *
find_needy (const pu_round_t *r)
{
  GArray *needy = g_array_new (FALSE, FALSE, sizeof (pu_needy_t));

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      pu_needy_t n = { i, t->ready + t->coming == 0, t };

      if (!may_try (r, t) || !base_is_ready (r, t))
        continue;
      if (t->ready + t->coming < MAX (1, t->i.min_copies))
        g_array_append_val (needy, n);
    }
  g_array_sort (needy, compare_needy);
  return needy;
}

/* Phases 1 and 2: what is unreachable, then what is below its minimum.  */
static void
repair (pu_round_t *r)
{
  GArray *needy = find_needy (r);

  for (guint i = 0; i < needy->len && store_takes_urgent (r); i++)
    {
      const pu_needy_t *n = &g_array_index (needy, pu_needy_t, i);

      if (n->lost)
        try_load (r, n->item, PU_ROOM_MINIMUM, PU_REASON_UNREACHABLE);
      else
        try_load (r, n->item, PU_ROOM_SPARE, PU_REASON_MINIMUM);
    }
  g_array_unref (needy);
}

/* Copies of an item by version and phase.  */
typedef struct
{
  guint old_ready;
  guint old_any;
  guint new_ready;
  guint new_any;
  pu_place_t old_place; /* of a ready copy of another version */
} pu_versions_t;

static pu_versions_t
count_versions (const pu_planner_t *p, const pu_planned_item_t *t)
{
  guint32 wanted = pu_planned_version (t);
  pu_versions_t n = { 0 };

  for (guint i = 0; i < t->places->len; i++)
    {
      pu_place_t at = pu_item_place (t, i);
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
free_adapters (pu_round_t *r, pu_place_t place)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, place.engine);
  guint32 base = pu_planned_copy (e, place.slot)->c.item;

  for (guint s = 0; s < e->copies->len; s++)
    {
      guint32 item = pu_planned_copy (e, s)->c.item;
      const pu_planned_item_t *t = pu_planned_item (r->p, item);

      if (t->i.base != base || t->ready > 1 || t->coming > 0)
        continue;
      if (may_try (r, t) && store_takes (r))
        try_load (r, item, PU_ROOM_MINIMUM, PU_REASON_VERSION);
      e = pu_planned_engine (r->p, place.engine);
    }
}

/* Unloads the copy in PLACE with the adapters beside it, when they may.  */
static bool
unload_bundle (pu_round_t *r, pu_place_t place, pu_plan_reason_t reason)
{
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (guint));
  bool may = pu_planner_bundle (r->p, place.engine, place.slot, PU_PLAN_NONE,
                                PU_ROOM_MINIMUM, slots);

  for (guint i = 0; may && i < slots->len; i++)
    emit_unload (r, place.engine, g_array_index (slots, guint, i), reason,
                 PU_PLAN_NONE);
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
  guint keep = t->no_room ? least : MAX (least, t->copies_before);

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
      t->copies_before = 0;
      return;
    }
  if (t->copies_before == 0)
    t->copies_before = MAX (1, n.old_ready + n.new_ready);
  if (n.new_ready > 0 && t->first_ready == 0)
    t->first_ready = r->now;
  target = MIN (t->copies_before, t->i.max_copies);
  if (n.new_any < target && t->coming == 0 && may_try (r, t)
      && base_is_ready (r, t) && store_takes (r))
    {
      pu_room_t room = n.new_any == 0 ? PU_ROOM_MINIMUM : PU_ROOM_SPARE;

      try_load (r, item, room, reason);
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

static guint
copies (const pu_planned_item_t *t)
{
  return t->ready + t->coming;
}

/* Phase 4: copies that are not declared, or too many.  */
static void
unload_undeclared (pu_round_t *r)
{
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      bool surplus = t->declared && t->coming == 0 && t->copies_before == 0
                     && t->ready > MAX (1, t->i.max_copies);

      if (t->declared && !surplus)
        continue;
      for (guint k = 0; k < t->places->len; k++)
        {
          pu_place_t at = pu_item_place (t, k);
          const pu_planned_copy_t *c
              = pu_planned_copy (pu_planned_engine (r->p, at.engine), at.slot);

          if (c->c.phase != PU_PLAN_READY)
            continue;
          if (!t->declared)
            emit_unload (r, at.engine, at.slot, PU_REASON_UNDECLARED,
                         PU_PLAN_NONE);
          else if (unload_bundle (r, at, PU_REASON_MAXIMUM))
            break;
        }
    }
}

static double
move_price (const pu_planner_t *p)
{
  return p->o.move_price * (1 + WEIGHT_PRICE * p->o.moves_weight);
}

/* The engines most in use above `hot`, at most HOT_ENGINES of them.  */
static guint
find_hot (const pu_planner_t *p, guint32 *engines)
{
  guint n = 0;

  for (guint32 i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);
      double use = e->load / e->streams;
      guint k;

      if (!e->usable || use <= p->o.hot)
        continue;
      k = n < HOT_ENGINES ? n++ : HOT_ENGINES;
      for (; k > 0; k--)
        {
          const pu_planned_engine_t *o = pu_planned_engine (p, engines[k - 1]);

          if (o->load / o->streams >= use)
            break;
          if (k < HOT_ENGINES)
            engines[k] = engines[k - 1];
        }
      if (k < HOT_ENGINES)
        engines[k] = i;
    }
  return n;
}

typedef struct
{
  guint32 item;
  guint32 engine;
  double gain;
  double price;
} pu_offer_t;

/* What one more copy of ITEM would bring; an engine of PU_PLAN_NONE when
   there is none to be had.  */
static pu_offer_t
make_offer (pu_round_t *r, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_offer_t o = { item, PU_PLAN_NONE, 0, 0 };

  o.engine = pu_planner_choose (r->p, item, pu_planned_version (t),
                                PU_ROOM_SPARE, r->now, &r->v);
  if (o.engine == PU_PLAN_NONE)
    return o;
  o.gain = r->p->o.payback_s * pu_planner_gain (r->p, item, o.engine);
  o.price
      = r->p->o.payback_s * r->v.loss
        + move_price (r->p) * (1 + r->v.slots->len + YOUNG_PRICE * r->v.young);
  return o;
}

static bool
may_grow (const pu_round_t *r, const pu_planned_item_t *t)
{
  return may_try (r, t) && t->coming < GROW_AT_ONCE && t->ready > 0
         && copies (t) < t->i.max_copies && t->copies_before == 0
         && base_is_ready (r, t);
}

/* The best offer for the items on hot engines.  */
static pu_offer_t
best_offer (pu_round_t *r)
{
  guint32 hot[HOT_ENGINES];
  guint n_hot = find_hot (r->p, hot);
  pu_offer_t best = { 0, PU_PLAN_NONE, 0, 0 };

  for (guint i = 0; i < n_hot; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (r->p, hot[i]);

      for (guint s = 0; s < e->copies->len; s++)
        {
          const pu_planned_copy_t *c = pu_planned_copy (e, s);
          pu_offer_t o;

          if (c->share <= 0
              || !may_grow (r, pu_planned_item (r->p, c->c.item)))
            continue;
          o = make_offer (r, c->c.item);
          if (o.engine == PU_PLAN_NONE || o.gain <= o.price)
            continue;
          if (best.engine == PU_PLAN_NONE
              || o.gain - o.price > best.gain - best.price)
            best = o;
        }
    }
  return best;
}

/* Phase 5.  */
static void
follow_demand (pu_round_t *r)
{
  guint max = r->full ? DEMAND_MOVES_FULL : DEMAND_MOVES;

  for (guint i = 0; i < max && store_takes (r); i++)
    {
      pu_offer_t o = best_offer (r);

      if (o.engine == PU_PLAN_NONE)
        return;
      /* The victims of the best offer, which later offers wrote over.  */
      o.engine = pu_planner_choose (
          r->p, o.item, pu_planned_version (pu_planned_item (r->p, o.item)),
          PU_ROOM_SPARE, r->now, &r->v);
      load (r, o.engine, o.item, PU_REASON_DEMAND, o.gain, o.price);
    }
}

/* Copies of T that spare memory may be given to.  */
static guint
spare_copies (const pu_planner_t *p, const pu_planned_item_t *t,
              double streams)
{
  double more = (1 - p->o.moves_weight) * SPARE_COPIES * t->forecast.held
                / MAX (1.0, streams);

  return MIN (t->i.max_copies, 2 + (guint)ceil (more));
}

static double
mean_streams (const pu_planner_t *p)
{
  double sum = 0;
  guint n = 0;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      sum += e->usable ? e->streams : 0;
      n += e->usable;
    }
  return n > 0 ? sum / n : 1;
}

/* The item that has the fewest copies for its demand, or PU_PLAN_NONE.  */
static guint32
most_exposed (const pu_round_t *r, double streams)
{
  guint32 best = PU_PLAN_NONE;
  double most = 0;

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      double exposed;

      if (!may_grow (r, t) || r->now < t->spare_after || t->coming > 0
          || copies (t) >= spare_copies (r->p, t, streams))
        continue;
      exposed = (1 + t->forecast.held) * t->i.importance
                / (copies (t) * copies (t));
      if (best != PU_PLAN_NONE && exposed <= most)
        continue;
      best = i;
      most = exposed;
    }
  return best;
}

/* Phase 6.  */
static void
use_spare (pu_round_t *r)
{
  double streams = mean_streams (r->p);
  guint tries = r->full ? r->p->items->len : SPARE_TRIES;

  for (guint i = 0; i < tries && store_takes (r); i++)
    {
      guint32 item = most_exposed (r, streams);
      guint32 engine;

      if (item == PU_PLAN_NONE)
        return;
      engine = pu_planner_choose (
          r->p, item, pu_planned_version (pu_planned_item (r->p, item)),
          PU_ROOM_NONE, r->now, &r->v);
      if (engine != PU_PLAN_NONE)
        load (r, engine, item, PU_REASON_SPARE, 0, 0);
      else
        pu_planned_item (r->p, item)->spare_after = r->now + SPARE_WAIT_MS;
    }
}

static void
advance (pu_planner_t *p, guint64 now)
{
  guint64 ms = now - p->last_advance;
  pu_forecast_period_t period;

  if (p->last_advance != 0 && ms < ADVANCE_MS)
    return;
  if (p->last_advance == 0)
    ms = ADVANCE_MS;
  period = pu_forecast_period (&p->o.forecast, ms / (double)MS_PER_S);
  for (guint i = 0; i < p->items->len; i++)
    pu_forecast_advance (&pu_planned_item (p, i)->forecast, &p->o.forecast,
                         &period);
  p->last_advance = now;
}

static void
run_round (pu_round_t *r)
{
  pu_planner_index (r->p, r->now);
  pu_planner_spread (r->p);
  r->v.slots = g_array_new (FALSE, FALSE, sizeof (guint));
  keep_promises (r);
  repair (r);
  change_versions (r);
  unload_undeclared (r);
  follow_demand (r);
  use_spare (r);
  g_array_unref (r->v.slots);
}

void
pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves)
{
  pu_round_t r = { 0 };

  r.p = p;
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
pu_planner_full (const pu_planner_t *p, guint64 now, GArray *moves)
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
