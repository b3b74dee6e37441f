#include "placement/planner_internal.h"

#include <string.h>

/* Terms that are added to the score of an engine, in units of utilization; the
   engine with the lowest score is preferred.  SAME_ZONE_SCORE is added when
   the zone has a copy of the item, FULL_MEMORY_SCORE in proportion to the
   memory that is committed.  */
#define SAME_ZONE_SCORE 0.5
#define FULL_MEMORY_SCORE 0.2
/* Subtracted from the score of an engine on which the item's weights are
   cached: the load takes one second instead of six and does not use the
   store.  */
#define CACHED_SCORE 0.6
/* Number of engines on which eviction is tried, those with the lowest score
   first.  */
#define EVICTION_TRIES 8
/* Utilization above which an engine is crowded: eviction on another engine may
   then be better than the use of free memory on the crowded one.  */
#define CROWDED_UTILIZATION 0.5
/* Ratio of an item's expected demand to the streams of the engines that hold
   its ready copies.  Above it, the item needs its pending loads.  */
#define PENDING_NEEDED_UTILIZATION 0.3
/* Loss, in late streams, that is counted for each stream of a copy that is
   evicted for an item without a ready copy: the streams of the evicted copy
   must drain before the memory is free.  */
#define DRAIN_LOSS 2.0
/* Ratio of the demand for an item to that for another, whose last copy is
   evicted for it while the fleet is overcommitted; and the least time for
   which that copy has been ready, several times that of a load.  */
#define YIELD_DEMAND_RATIO 4.0
#define YIELD_MIN_STAY_MS 20000
#define MS_PER_S 1000

guint32
pu_planned_free_mb (const pu_planned_engine_t *e)
{
  return e->committed_mb < e->memory_mb ? e->memory_mb - e->committed_mb : 0;
}

guint32
pu_planned_usable_mb (const pu_planned_engine_t *e, const pu_planned_item_t *t)
{
  guint32 free = pu_planned_free_mb (e);
  bool waits = t->i.base != PU_PLAN_NONE && t->ready == 0;

  if (waits)
    return free;
  return free - MIN (free, e->for_adapters_mb);
}

guint32
pu_planned_need_mb (const pu_planner_t *p, const pu_planned_item_t *t)
{
  guint32 need = t->i.memory_mb;

  for (guint i = 0; !p->ignore_adapters && i < t->adapters->len; i++)
    {
      guint32 a = g_array_index (t->adapters, guint32, i);

      need += pu_planned_item (p, a)->i.memory_mb;
    }
  return need;
}

void
pu_planner_mark_item (pu_planner_t *p, guint32 item, guint32 version)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);

  p->item_stamp++;
  memset (p->zone_copies, 0, p->n_zones * sizeof *p->zone_copies);
  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      const pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      if (c->c.version == version)
        p->holder_stamp[at.engine] = p->item_stamp;
      if (c->c.phase != PU_PLAN_UNLOADING)
        p->zone_copies[e->zone]++;
    }
}

static bool
holds_ready (const pu_planned_engine_t *e, guint32 item)
{
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (c->c.item == item && c->c.phase == PU_PLAN_READY)
        return true;
    }
  return false;
}

static bool
blocked (const pu_planned_engine_t *e, guint32 item)
{
  for (guint i = 0; i < e->blocks->len; i++)
    {
      if (g_array_index (e->blocks, pu_load_block_t, i).item == item)
        return true;
    }
  return false;
}

/* Does the same as pu_planner_can_hold for ITEM, whose record is T and which
   needs NEED MB.  */
static inline bool
can_hold (const pu_planner_t *p, guint32 engine, guint32 item,
          const pu_planned_item_t *t, guint32 need)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);

  if (!e->usable || e->loads_suspended || e->deferred || need > e->memory_mb
      || e->accelerators < t->i.accelerators
      || p->holder_stamp[engine] == p->item_stamp)
    return false;
  if (p->cached_only && !pu_planned_is_cached (e, item))
    return false;
  if (e->blocks->len > 0 && blocked (e, item))
    return false;
  return t->i.base == PU_PLAN_NONE || holds_ready (e, t->i.base);
}

bool
pu_planner_can_hold (const pu_planner_t *p, guint32 engine, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);

  return can_hold (p, engine, item, t, pu_planned_need_mb (p, t));
}

/* Whether T needs its pending loads in addition to its ready copies.  If it
   does, none of its ready copies is evicted, as memory would have to be freed
   on another engine to replace it.  Pending loads for demand that no longer
   exists do not prevent the eviction of ready copies.  */
static bool
needs_pending_loads (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double capacity = 0;

  for (guint i = 0; i < t->locations->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);

      if (pu_planned_copy (e, at.slot)->c.phase == PU_PLAN_READY)
        capacity += e->streams;
    }
  return t->ready <= 1
         || t->forecast.expected > PENDING_NEEDED_UTILIZATION * capacity;
}

/* Whether the last copy C of T gives way to WANTS: T is not in demand, or has
   a fraction of the demand of WANTS and its copy has been ready for a while,
   so that two items do not evict each other in turn.  */
static bool
yields_last_copy (const pu_planned_copy_t *c, const pu_planned_item_t *t,
                  const pu_planned_item_t *wants, guint64 now)
{
  if (wants == NULL || !pu_planned_in_demand (wants))
    return false;
  return !pu_planned_in_demand (t)
         || (wants->forecast.expected * wants->urgency
                 > YIELD_DEMAND_RATIO * t->forecast.expected * t->urgency
             && now >= c->since + YIELD_MIN_STAY_MS);
}

/* Whether the copy in SLOT of E may be unloaded to free memory for ITEM; the
   adapters of the copy are not considered.  ITEM is PU_PLAN_NONE when the
   memory is for no particular item.  */
static bool
may_remove (const pu_planner_t *p, const pu_planned_engine_t *e, guint slot,
            guint32 item, pu_eviction_t evict)
{
  const pu_planned_copy_t *c = pu_planned_copy (e, slot);
  const pu_planned_item_t *t = pu_planned_item (p, c->c.item);
  const pu_planned_item_t *wants
      = item != PU_PLAN_NONE ? pu_planned_item (p, item) : NULL;
  guint keep = evict >= PU_EVICT_TO_LAST ? 1 : MAX (1, t->i.min_copies);

  if (c->c.phase != PU_PLAN_READY)
    return false;
  if (wants != NULL && c->c.item == wants->i.base)
    return false;
  if (!t->declared)
    return true;
  if (evict == PU_EVICT_ABOVE_MINIMUM && t->pending_loads > 0
      && needs_pending_loads (p, t))
    return false;
  if (c->c.item == item && c->c.version == pu_planned_version (t))
    return false;
  if ((p->o.test_breaks & PU_PLANNER_BREAK_LAST_COPY) != 0)
    keep = 0;
  if (evict == PU_EVICT_IDLE_LAST
      && yields_last_copy (c, t, wants, p->step_ms))
    return true;
  return t->ready > keep;
}

/* Whether C has been in its phase for less than the minimum stay.  */
static bool
is_below_min_stay (const pu_planner_t *p, const pu_planned_copy_t *c,
                   guint64 now)
{
  return now < c->since + (guint64)(p->o.min_stay_s * MS_PER_S);
}

bool
pu_planner_bundle (const pu_planner_t *p, guint32 engine, guint slot,
                   guint32 item, pu_eviction_t evict, GArray *slots)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  guint32 base = pu_planned_copy (e, slot)->c.item;

  g_array_set_size (slots, 0);
  if (!may_remove (p, e, slot, item, evict))
    return false;
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (pu_planned_item (p, c->c.item)->i.base != base
          || c->c.phase == PU_PLAN_UNLOADING)
        continue;
      if (!may_remove (p, e, s, item, evict))
        return false;
      g_array_append_val (slots, s);
    }
  g_array_append_val (slots, slot);
  return true;
}

static bool
has_slot (const GArray *slots, guint slot)
{
  for (guint i = 0; i < slots->len; i++)
    {
      if (g_array_index (slots, guint, i) == slot)
        return true;
    }
  return false;
}

/* Adds the copies in SLOTS to V and returns the memory that they free, in MB.
   Lowers the number of ready copies of their items, so that the choice of the
   next victims takes these evictions into account.  */
static guint32
add_victims (const pu_planner_t *p, const pu_planned_engine_t *e,
             const GArray *slots, guint64 now, pu_victims_t *v)
{
  guint32 memory_mb = 0;

  for (guint i = 0; i < slots->len; i++)
    {
      guint s = g_array_index (slots, guint, i);
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (has_slot (v->slots, s))
        continue;
      g_array_append_val (v->slots, s);
      v->n_below_min_stay += is_below_min_stay (p, c, now);
      memory_mb += c->c.memory_mb;
      pu_planned_item (p, c->c.item)->ready--;
    }
  return memory_mb;
}

/* Returns the loss of evicting the copies in SLOTS, in late streams; sets MB
   to the memory that they take, in MB.  */
static double
slots_loss (pu_planner_t *p, guint32 engine, const GArray *slots,
            pu_eviction_t evict, double *mb)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  double loss = 0;

  *mb = 0;
  for (guint i = 0; i < slots->len; i++)
    {
      pu_copy_location_t at = { engine, g_array_index (slots, guint, i) };
      const pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      *mb += c->c.memory_mb;
      if (evict >= PU_EVICT_TO_LAST)
        loss += DRAIN_LOSS * c->share;
      if (pu_planned_item (p, c->c.item)->declared)
        {
          loss += pu_planner_eviction_loss (p, c->c.item, at,
                                            i + 1 < slots->len);
        }
    }
  return loss;
}

/* Sets BEST to the bundle (a copy and its adapters on ENGINE) with the least
   loss per MB whose copy is not in V yet.  Returns the loss of that bundle in
   late streams, or -1 when there is none.  */
static double
find_cheapest_bundle (pu_planner_t *p, guint32 engine, guint32 item,
                      pu_eviction_t evict, const pu_victims_t *v, GArray *best)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (guint));
  double best_rate = -1;
  double best_loss = -1;

  for (guint s = 0; s < e->copies->len; s++)
    {
      double mb;
      double loss;

      if (has_slot (v->slots, s)
          || !pu_planner_bundle (p, engine, s, item, evict, slots))
        continue;
      loss = slots_loss (p, engine, slots, evict, &mb);
      if (best_rate >= 0 && (loss + 1e-6) / mb >= best_rate)
        continue;
      best_rate = (loss + 1e-6) / MAX (1.0, mb);
      best_loss = loss;
      g_array_set_size (best, 0);
      g_array_append_vals (best, slots->data, slots->len);
    }
  g_array_unref (slots);
  return best_loss;
}

bool
pu_planner_victims (pu_planner_t *p, guint32 engine, guint32 item,
                    pu_eviction_t evict, guint64 now, pu_victims_t *v)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  guint32 need = pu_planned_need_mb (p, pu_planned_item (p, item));
  guint32 have = pu_planned_usable_mb (e, pu_planned_item (p, item));
  GArray *best;

  v->loss = 0;
  v->n_below_min_stay = 0;
  g_array_set_size (v->slots, 0);
  if (have >= need || evict == PU_EVICT_NONE)
    return have >= need;

  best = g_array_new (FALSE, FALSE, sizeof (guint));
  while (have < need)
    {
      double loss = find_cheapest_bundle (p, engine, item, evict, v, best);

      if (loss < 0)
        break;
      v->loss += loss;
      have += add_victims (p, e, best, now, v);
    }
  for (guint i = 0; i < v->slots->len; i++)
    {
      guint s = g_array_index (v->slots, guint, i);

      pu_planned_item (p, pu_planned_copy (e, s)->c.item)->ready++;
    }
  g_array_unref (best);
  return have >= need;
}

static double
score (const pu_planner_t *p, const pu_planned_engine_t *e, guint32 item)
{
  double s = e->load / e->streams;

  if (pu_planned_is_cached (e, item))
    s -= CACHED_SCORE;

  if (p->o.zone_spread && p->zone_copies[e->zone] > 0)
    s += SAME_ZONE_SCORE;
  return s + FULL_MEMORY_SCORE * e->committed_mb / MAX (1, e->memory_mb);
}

/* Inserts ENGINE with its score VALUE into the arrays ENGINES and SCORES.  The
   arrays are sorted by score, have N entries, and keep the MAX lowest
   scores.  */
static void
insert_ranked (guint32 *engines, double *scores, guint *n, guint max,
               guint32 engine, double value)
{
  guint i;

  if (*n == max && value >= scores[max - 1])
    return;
  i = *n < max ? (*n)++ : max - 1;
  for (; i > 0 && scores[i - 1] > value; i--)
    {
      scores[i] = scores[i - 1];
      engines[i] = engines[i - 1];
    }
  scores[i] = value;
  engines[i] = engine;
}

/* Whether ENGINE is so utilized that an eviction on another engine may be
   better than the use of free memory on ENGINE.  */
static bool
is_crowded (const pu_planner_t *p, guint32 engine)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);

  return e->load > CROWDED_UTILIZATION * e->streams;
}

/* Engines that can hold an item only after an eviction, sorted by score, the
   lowest first.  */
typedef struct
{
  guint32 *engines;
  double *scores;
  guint n;
  guint max;
} ranked_t;

/* Whether a load ordered on E now would wait for another load on E to end.
   When four or five models are lost with an engine and their loads queue at
   one other engine, the model with the most demand waits for up to eleven
   seconds behind models without demand.  */
static bool
is_busy_loading (const pu_planner_t *p, const pu_planned_engine_t *e)
{
  return p->o.serial_loads && e->models_loading > 0;
}

/* Returns the engine with the lowest score of those that have NEED MB free, or
   PU_PLAN_NONE, and sets BEST_SCORE to the score.  Adds to FULL the engines
   that can hold ITEM only after an eviction.  Sets p->only_loading_engines_fit
   when an engine has NEED MB free but is loading.  */
static guint32
find_free (pu_planner_t *p, guint32 item, guint32 need, double *best_score,
           ranked_t *full)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);
  guint32 best = PU_PLAN_NONE;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);
      bool free = pu_planned_usable_mb (e, t) >= need;
      double s;

      if (!free
          && (full->max == 0
              || (p->free_only && !pu_planned_is_cached (e, item))))
        continue;
      /* The scores are compared first, because they exclude most engines and
         are cheaper to compute than can_hold.  */
      s = score (p, e, item);
      if (free ? best != PU_PLAN_NONE && s >= *best_score
               : full->n == full->max && s >= full->scores[full->max - 1])
        continue;
      if (!can_hold (p, i, item, t, need))
        continue;
      if (is_busy_loading (p, e))
        {
          p->only_loading_engines_fit = p->only_loading_engines_fit || free;
          continue;
        }
      if (!free)
        {
          insert_ranked (full->engines, full->scores, &full->n, full->max, i,
                         s);
        }
      else
        {
          best = i;
          *best_score = s;
        }
    }
  return best;
}

/* Whether ITEM waits for one of the engines that are loading, as only these
   have the memory free.  An item in demand does not wait; another item's
   second copy is evicted for it.  Otherwise, when two empty engines join,
   nothing is loaded on the other engines while those two load, which takes six
   seconds each time.  */
static bool
waits_for_loading_engine (const pu_planner_t *p, guint32 item)
{
  return p->only_loading_engines_fit
         && !pu_planned_in_demand (pu_planned_item (p, item));
}

guint32
pu_planner_choose (pu_planner_t *p, guint32 item, guint32 version,
                   pu_eviction_t evict, guint64 now, pu_victims_t *v)
{
  /* For the first copy of an item, eviction is tried on all engines, as the
     item cannot be loaded otherwise.  */
  bool first = evict == PU_EVICT_TO_LAST
               || (evict == PU_EVICT_IDLE_LAST
                   && pu_planned_item (p, item)->ready == 0);
  guint tries = first ? p->engines->len : EVICTION_TRIES;
  guint32 engines[tries + 1];
  double scores[tries + 1];
  ranked_t full = { engines, scores, 0, evict == PU_EVICT_NONE ? 0 : tries };
  guint32 need = pu_planned_need_mb (p, pu_planned_item (p, item));
  double least = 0;
  guint32 best;

  pu_planner_mark_item (p, item, version);
  v->loss = 0;
  v->n_below_min_stay = 0;
  g_array_set_size (v->slots, 0);
  p->only_loading_engines_fit = false;
  best = find_free (p, item, need, &least, &full);
  p->only_loading_engines_fit
      = p->only_loading_engines_fit && best == PU_PLAN_NONE;
  if (waits_for_loading_engine (p, item))
    return PU_PLAN_NONE;
  if (best != PU_PLAN_NONE && (first || !is_crowded (p, best)))
    return best;

  for (guint i = 0; i < full.n; i++)
    {
      if (best != PU_PLAN_NONE && i >= EVICTION_TRIES)
        break;
      if (!pu_planner_victims (p, engines[i], item, evict, now, v))
        continue;
      if (best != PU_PLAN_NONE && v->loss + scores[i] >= least)
        continue;
      best = engines[i];
      least = v->loss + scores[i];
    }
  if (best != PU_PLAN_NONE)
    {
      p->only_loading_engines_fit = false;
      pu_planner_victims (p, best, item, evict, now, v);
    }
  return best;
}
