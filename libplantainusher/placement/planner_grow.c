#include "placement/planner_round.h"

#include <math.h>

#define SPARE_WAIT_MS 10000
#define HOT_ENGINES 4
#define DEMAND_MOVES 4       /* of a step */
#define DEMAND_MOVES_FULL 64 /* of a round of the full plan */
#define SPARE_TRIES 4        /* items tried in a step */
/* How much dearer a move is when moves weigh all.  */
#define WEIGHT_PRICE 9.0
/* Moves that a copy which has not stayed long counts as, more than one.  */
#define YOUNG_PRICE 2.0
/* Copies beyond two that spare memory is given to, for a demand of one
   engine's streams.  */
#define SPARE_COPIES 3.0
/* Demand, in what the copies of an item do, at which its pressure is a half:
   estimates are up to so many times too high in a crowd.  */
#define PRESSURE_HALF 3.0

static guint
copies (const pu_planned_item_t *t)
{
  return t->ready + t->coming;
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
  double rank; /* of offers that pay, the highest is taken */
} pu_offer_t;

/* What the copies of T do, those on their way included, in streams.  */
static double
capacity (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double sum = 0;

  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);

      if (pu_planned_copy (e, at.slot)->c.phase != PU_PLAN_LEAVING)
        sum += e->streams;
    }
  return sum;
}

/* How far the demand for T is beyond its copies, 0 to 1.  By the gain alone
   all copies that have too much to do are worth the same; but where demand is
   estimated too high, only the one furthest beyond is worth it at all.  */
static double
pressure (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double asked = t->forecast.expected;

  return asked / (asked + PRESSURE_HALF * capacity (p, t) + 1e-9);
}

/* What one more copy of ITEM would bring; an engine of PU_PLAN_NONE when
   there is none to be had.  */
static pu_offer_t
make_offer (pu_round_t *r, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_offer_t o = { item, PU_PLAN_NONE, 0, 0, 0 };

  o.engine = pu_planner_choose (r->p, item, pu_planned_version (t),
                                PU_EVICT_ABOVE_MINIMUM, r->now, &r->v);
  if (o.engine == PU_PLAN_NONE)
    return o;
  o.gain = r->p->o.payback_s * pu_planner_gain (r->p, item, o.engine);
  o.price = r->p->o.payback_s * r->v.loss
            + move_price (r->p)
                  * (1 + r->v.slots->len + YOUNG_PRICE * r->v.n_young);
  o.rank = (o.gain - o.price) * pressure (r->p, t);
  return o;
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

/* What one copy does before requests are late, on an engine of its own, in
   streams.  */
static double
copy_streams (const pu_planner_t *p)
{
  return p->o.hot * mean_streams (p);
}

/* Whether one more copy of T is possible beside those that it has.  */
static bool
may_add (const pu_round_t *r, const pu_planned_item_t *t)
{
  return pu_round_may_place (r, t) && t->ready > 0
         && copies (t) < t->i.max_copies && t->copies_before_change == 0
         && pu_round_base_is_ready (r, t);
}

/* Whether the demand for T needs more copies than it has or is getting, where
   each does EACH streams.  */
static bool
may_grow (const pu_round_t *r, const pu_planned_item_t *t, double each)
{
  return may_add (r, t) && copies (t) < ceil (t->forecast.expected / each);
}

/* Whether ITEM was met on a hotter engine than the one at INDEX: its offer is
   the same.  */
static bool
met_before (const pu_planner_t *p, const guint32 *hot, guint index,
            guint32 item)
{
  for (guint i = 0; i < index; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, hot[i]);

      for (guint s = 0; s < e->copies->len; s++)
        {
          const pu_planned_copy_t *c = pu_planned_copy (e, s);

          if (c->c.item == item && c->share > 0)
            return true;
        }
    }
  return false;
}

/* The best offer for the items on hot engines.  */
static pu_offer_t
best_offer (pu_round_t *r)
{
  guint32 hot[HOT_ENGINES];
  guint n_hot = find_hot (r->p, hot);
  double each = copy_streams (r->p);
  pu_offer_t best = { 0, PU_PLAN_NONE, 0, 0, 0 };

  for (guint i = 0; i < n_hot; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (r->p, hot[i]);

      for (guint s = 0; s < e->copies->len; s++)
        {
          const pu_planned_copy_t *c = pu_planned_copy (e, s);
          pu_offer_t o;

          if (c->share <= 0 || met_before (r->p, hot, i, c->c.item)
              || !may_grow (r, pu_planned_item (r->p, c->c.item), each))
            continue;
          o = make_offer (r, c->c.item);
          if (o.engine == PU_PLAN_NONE || o.gain <= o.price)
            continue;
          if (best.engine == PU_PLAN_NONE || o.rank > best.rank)
            best = o;
        }
    }
  return best;
}

bool
pu_round_any_engine_hot (const pu_round_t *r)
{
  guint32 hot[HOT_ENGINES];

  return find_hot (r->p, hot) > 0;
}

/* While an item is lost that nobody asks for, it gets every other turn: what
   is asked for ten times over can't wait for all of those.  */
static bool
store_takes_growth (const pu_round_t *r)
{
  if (r->full || !r->missing_any)
    return pu_round_may_start_load (r);
  return !r->p->grew && pu_round_may_start_urgent_load (r);
}

/* Phase 5.  */
void
pu_round_scale_up (pu_round_t *r)
{
  guint max = r->full ? DEMAND_MOVES_FULL : DEMAND_MOVES;

  for (guint i = 0; i < max; i++)
    {
      pu_offer_t o;

      r->p->cached_only = !store_takes_growth (r);
      if (r->p->cached_only && !r->p->any_cached)
        break;
      o = best_offer (r);
      if (o.engine == PU_PLAN_NONE)
        break;
      /* The victims of the best offer, which later offers wrote over.  */
      o.engine = pu_planner_choose (
          r->p, o.item, pu_planned_version (pu_planned_item (r->p, o.item)),
          PU_EVICT_ABOVE_MINIMUM, r->now, &r->v);
      pu_round_load (r, o.engine, o.item, PU_REASON_DEMAND, o.gain, o.price);
      r->p->grew = r->p->grew || !r->p->cached_only;
    }
  r->p->cached_only = false;
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

/* The most memory that any engine has free.  */
static guint32
most_free (const pu_planner_t *p)
{
  guint32 most = 0;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      if (e->usable && !e->closed && !e->promised)
        most = MAX (most, pu_planned_free_mb (e));
    }
  return most;
}

/* An item that spare memory may be given to.  */
typedef struct
{
  guint32 item;
  double exposed; /* its demand for the copies that it has */
} pu_exposed_t;

/* The items that need no more than FREE_MB.  */
static GArray *
find_exposed (const pu_round_t *r, double streams, guint32 free_mb)
{
  GArray *exposed = g_array_new (FALSE, FALSE, sizeof (pu_exposed_t));

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      double n = copies (t);
      pu_exposed_t x = { i, 0 };

      if (t->coming > 0 || t->i.memory_mb > free_mb
          || r->now < t->spare_not_before || !may_add (r, t)
          || n >= spare_copies (r->p, t, streams))
        continue;
      x.exposed = (1 + t->forecast.held) * t->i.importance / (n * n);
      g_array_append_val (exposed, x);
    }
  return exposed;
}

/* Removes and returns the most exposed item, the first of equals.  */
static guint32
take_most (GArray *exposed)
{
  const pu_exposed_t *all = (const pu_exposed_t *)(void *)exposed->data;
  guint best = 0;
  guint32 item;

  for (guint i = 1; i < exposed->len; i++)
    {
      if (all[i].exposed > all[best].exposed
          || (all[i].exposed == all[best].exposed
              && all[i].item < all[best].item))
        best = i;
    }
  item = all[best].item;
  g_array_remove_index_fast (exposed, best);
  return item;
}

/* Phase 6.  A load makes its own item coming, and takes no room from those
   that have a copy: the list is made once.  */
void
pu_round_fill_spare_memory (pu_round_t *r)
{
  guint tries = r->full ? r->p->items->len : SPARE_TRIES;
  bool any_hot = pu_round_any_engine_hot (r);
  GArray *exposed;

  if (!r->p->any_cached && (any_hot || !pu_round_may_start_load (r)))
    return;
  exposed = find_exposed (r, mean_streams (r->p), most_free (r->p));
  for (guint i = 0; i < tries && exposed->len > 0; i++)
    {
      guint32 item = take_most (exposed);
      guint32 engine;

      /* While an engine is hot, the store is for what it holds.  */
      r->p->cached_only = any_hot || !pu_round_may_start_load (r);
      engine = pu_planner_choose (
          r->p, item, pu_planned_version (pu_planned_item (r->p, item)),
          PU_EVICT_NONE, r->now, &r->v);

      if (engine != PU_PLAN_NONE)
        {
          pu_round_load (r, engine, item, PU_REASON_SPARE, 0, 0);
        }
      else if (!r->p->cached_only && !r->p->only_loading_engines_fit)
        {
          pu_planned_item (r->p, item)->spare_not_before
              = r->now + SPARE_WAIT_MS;
        }
    }
  r->p->cached_only = false;
  g_array_unref (exposed);
}
