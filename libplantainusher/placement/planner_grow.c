#include "placement/planner_round.h"

#include <math.h>

#define SPARE_RETRY_MS 10000
#define MAX_HOT_ENGINES 4
/* Limits on the copies planned for demand in a step, and in a round of a plan
   up to a stable placement.  */
#define DEMAND_MOVES 4
#define DEMAND_MOVES_UNTIL_STABLE 64
/* Limit on the items for which a spare copy is tried in a step.  */
#define SPARE_TRIES 4
/* The price of a move is the option move_price times 1 plus this factor, at a
   moves_weight of 1.  */
#define WEIGHT_PRICE_FACTOR 9.0
/* Number of moves whose price is added for each evicted copy whose minimum
   stay is not over.  */
#define BELOW_MIN_STAY_EXTRA_MOVES 2.0
/* Spare memory is used until an item has two copies, plus this number for each
   engine that its peak demand would fill, at a moves_weight of 0.  */
#define SPARE_COPIES_PER_ENGINE 3.0
/* Ratio of an item's demand to the capacity of its copies at which
   demand_pressure returns one half.  Under contention, demand is overestimated
   by up to this factor.  */
#define PRESSURE_HALF_RATIO 3.0

static guint
count_copies (const pu_planned_item_t *t)
{
  return t->ready + t->pending_loads;
}

static double
move_price (const pu_planner_t *p)
{
  return p->o.move_price * (1 + WEIGHT_PRICE_FACTOR * p->o.moves_weight);
}

/* Returns the utilization of E; with place_by_urgency, it is weighted by
   importance and urgency.  */
static double
weighted_utilization (const pu_planner_t *p, const pu_planned_engine_t *e)
{
  return (p->o.place_by_urgency ? e->weighted_load : e->load) / e->streams;
}

/* Fills ENGINES with the engines whose utilization is above the option
   hot_utilization, those with the highest weighted utilization first and at
   most MAX of them.  Returns their number.  */
static guint
find_hot_engines (const pu_planner_t *p, guint32 *engines, guint max)
{
  guint n = 0;

  for (guint32 i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);
      double use = weighted_utilization (p, e);
      guint k;

      if (!e->usable || e->load / e->streams <= p->o.hot_utilization)
        continue;
      k = n < max ? n++ : max;
      for (; k > 0; k--)
        {
          const pu_planned_engine_t *o = pu_planned_engine (p, engines[k - 1]);

          if (weighted_utilization (p, o) >= use)
            break;
          if (k < max)
            engines[k] = engines[k - 1];
        }
      if (k < max)
        engines[k] = i;
    }
  return n;
}

/* Returns the capacity of the copies of T in streams.  Copies that are not
   ready yet are included.  */
static double
capacity_streams (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double sum = 0;

  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);

      if (pu_planned_copy (e, at.slot)->c.phase != PU_PLAN_UNLOADING)
        sum += e->streams;
    }
  return sum;
}

/* Returns how far the demand for T exceeds the capacity of its copies, from 0
   to 1.  The gain alone rates one more copy of any overloaded item the same.
   But demand may be overestimated, and then only the item whose demand exceeds
   its capacity most is worth a copy.  */
static double
demand_pressure (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double demand = t->forecast.expected;

  return demand
         / (demand + PRESSURE_HALF_RATIO * capacity_streams (p, t) + 1e-9);
}

/* Computes the engine, gain, price and rank of one more copy of ITEM.  The
   engine is PU_PLAN_NONE when no engine can take a copy.  */
static pu_scale_up_t
evaluate_scale_up (pu_round_t *r, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_scale_up_t o = { item, PU_PLAN_NONE, 0, 0, 0 };

  o.engine = pu_planner_choose (
      r->p, item, pu_planned_version (t),
      pu_planner_eviction (r->p, PU_EVICT_ABOVE_MINIMUM), r->now, &r->victims);
  if (o.engine == PU_PLAN_NONE)
    return o;
  o.gain = r->p->o.payback_s * pu_planner_gain (r->p, item, o.engine);
  o.price
      = r->p->o.payback_s * r->victims.loss
        + move_price (r->p)
              * (1 + r->victims.slots->len
                 + BELOW_MIN_STAY_EXTRA_MOVES * r->victims.n_below_min_stay);
  o.rank = (o.gain - o.price) * demand_pressure (r->p, t);
  return o;
}

static double
mean_engine_streams (const pu_planner_t *p)
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

/* Returns the streams that one copy serves before requests are late, if its
   engine holds no other copy and has the mean number of streams.  */
static double
streams_per_copy (const pu_planner_t *p)
{
  return p->o.hot_utilization * mean_engine_streams (p);
}

/* Whether T has a ready copy and may get one more copy now.  */
static bool
may_add_copy (const pu_round_t *r, const pu_planned_item_t *t)
{
  return pu_round_may_place (r, t) && t->ready > 0
         && count_copies (t) < t->i.max_copies && t->copies_before_change == 0
         && pu_round_base_is_ready (r, t);
}

/* Whether T may get one more copy and its expected demand needs one: the ready
   copies and the pending loads are too few if each copy serves EACH
   streams.  */
static bool
needs_copy (const pu_round_t *r, const pu_planned_item_t *t, double each)
{
  return may_add_copy (r, t)
         && count_copies (t) < ceil (t->forecast.expected / each);
}

/* Whether ITEM was evaluated already, for one of the first INDEX engines of
   HOT.  A second evaluation would give the same result.  */
static bool
already_evaluated (const pu_planner_t *p, const guint32 *hot, guint index,
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

pu_scale_up_t
pu_round_best_scale_up (pu_round_t *r, guint max_hot)
{
  guint32 hot[max_hot];
  guint n_hot = find_hot_engines (r->p, hot, max_hot);
  double each = streams_per_copy (r->p);
  pu_scale_up_t best = { 0, PU_PLAN_NONE, 0, 0, 0 };

  for (guint i = 0; i < n_hot; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (r->p, hot[i]);

      for (guint s = 0; s < e->copies->len; s++)
        {
          const pu_planned_copy_t *c = pu_planned_copy (e, s);
          pu_scale_up_t o;

          if (c->share <= 0 || already_evaluated (r->p, hot, i, c->c.item)
              || !needs_copy (r, pu_planned_item (r->p, c->c.item), each))
            continue;
          o = evaluate_scale_up (r, c->c.item);
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
  guint32 hot;

  return find_hot_engines (r->p, &hot, 1) > 0;
}

/* Whether the weights store may run a load for demand.  While items with
   neither a ready copy nor demand wait for the store, their loads and the
   loads for demand alternate: an item with ten times the demand that its
   copies can serve can't wait for all of these loads.  */
static bool
may_load_for_demand (const pu_round_t *r)
{
  if (r->until_stable || !r->any_not_loading)
    return pu_round_may_start_load (r);
  return !r->p->last_slot_for_demand && pu_round_may_start_urgent_load (r);
}

bool
pu_round_load_scale_up (pu_round_t *r, pu_scale_up_t *o)
{
  /* Computes the victims of the scale-up again, as later evaluations overwrote
     r->victims.  */
  o->engine = pu_planner_choose (
      r->p, o->item, pu_planned_version (pu_planned_item (r->p, o->item)),
      pu_planner_eviction (r->p, PU_EVICT_ABOVE_MINIMUM), r->now, &r->victims);
  if (o->engine == PU_PLAN_NONE)
    return false;
  pu_round_load (r, o->engine, o->item, PU_REASON_DEMAND, o->gain, o->price);
  return true;
}

/* Phase 5 of a step: plans copies for demand.  */
void
pu_round_scale_up (pu_round_t *r)
{
  guint max = r->until_stable ? DEMAND_MOVES_UNTIL_STABLE : DEMAND_MOVES;

  for (guint i = 0; i < max; i++)
    {
      pu_scale_up_t o;

      r->p->cached_only = !may_load_for_demand (r);
      if (r->p->cached_only && !r->p->any_cached)
        break;
      o = pu_round_best_scale_up (r, MAX_HOT_ENGINES);
      if (o.engine == PU_PLAN_NONE)
        break;
      if (!pu_round_load_scale_up (r, &o))
        break;
      r->p->last_slot_for_demand
          = r->p->last_slot_for_demand || !r->p->cached_only;
    }
  r->p->cached_only = false;
}

/* Returns the number of copies up to which T may get copies in spare memory.
   STREAMS is the mean number of streams of an engine.  */
static guint
spare_copy_limit (const pu_planner_t *p, const pu_planned_item_t *t,
                  double streams)
{
  double more = (1 - p->o.moves_weight) * SPARE_COPIES_PER_ENGINE
                * t->forecast.peak / MAX (1.0, streams);

  return MIN (t->i.max_copies, 2 + (guint)ceil (more));
}

/* Returns the largest free memory, in MB, of an engine that takes loads
   now.  */
static guint32
max_free_mb (const pu_planner_t *p)
{
  guint32 most = 0;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      if (e->usable && !e->loads_suspended && !e->deferred)
        most = MAX (most, pu_planned_free_mb (e));
    }
  return most;
}

/* An item that may get a copy in spare memory.  */
typedef struct
{
  guint32 item;
  double exposure; /* (peak demand + 1) times importance, divided by the square
                      of the number of copies */
} pu_spare_candidate_t;

/* Returns the items that may get a spare copy and fit in FREE_MB.  STREAMS is
   the mean number of streams of an engine.  */
static GArray *
find_spare_candidates (const pu_round_t *r, double streams, guint32 free_mb)
{
  GArray *candidates
      = g_array_new (FALSE, FALSE, sizeof (pu_spare_candidate_t));

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      double n = count_copies (t);
      pu_spare_candidate_t x = { i, 0 };

      if (t->pending_loads > 0 || t->i.memory_mb > free_mb
          || r->now < t->spare_not_before || !may_add_copy (r, t)
          || n >= spare_copy_limit (r->p, t, streams))
        continue;
      x.exposure = (1 + t->forecast.peak) * pu_planned_weight (t) / (n * n);
      g_array_append_val (candidates, x);
    }
  return candidates;
}

/* Removes the item with the highest exposure from CANDIDATES and returns it;
   of items with equal exposure, the one with the lowest handle.  */
static guint32
take_most_exposed (GArray *candidates)
{
  const pu_spare_candidate_t *all
      = (const pu_spare_candidate_t *)(void *)candidates->data;
  guint best = 0;
  guint32 item;

  for (guint i = 1; i < candidates->len; i++)
    {
      if (all[i].exposure > all[best].exposure
          || (all[i].exposure == all[best].exposure
              && all[i].item < all[best].item))
        best = i;
    }
  item = all[best].item;
  g_array_remove_index_fast (candidates, best);
  return item;
}

/* Phase 6 of a step: plans copies in spare memory.  The list of candidates is
   made only once: spare copies evict nothing, so that a load changes no other
   candidate.  */
void
pu_round_fill_spare_memory (pu_round_t *r)
{
  guint tries = r->until_stable ? r->p->items->len : SPARE_TRIES;
  bool any_hot = pu_round_any_engine_hot (r);
  GArray *candidates;

  if (!r->p->any_cached && (any_hot || !pu_round_may_start_load (r)))
    return;
  candidates = find_spare_candidates (r, mean_engine_streams (r->p),
                                      max_free_mb (r->p));
  for (guint i = 0; i < tries && candidates->len > 0; i++)
    {
      guint32 item = take_most_exposed (candidates);
      guint32 engine;

      /* While an engine is hot, no spare copy is loaded from the weights
         store, only from cached weights: the store is left to the items on hot
         engines.  */
      r->p->cached_only = any_hot || !pu_round_may_start_load (r);
      engine = pu_planner_choose (
          r->p, item, pu_planned_version (pu_planned_item (r->p, item)),
          PU_EVICT_NONE, r->now, &r->victims);

      if (engine != PU_PLAN_NONE)
        {
          pu_round_load (r, engine, item, PU_REASON_SPARE, 0, 0);
        }
      else if (!r->p->cached_only && !r->p->only_loading_engines_fit)
        {
          pu_planned_item (r->p, item)->spare_not_before
              = r->now + SPARE_RETRY_MS;
        }
    }
  r->p->cached_only = false;
  g_array_unref (candidates);
}
