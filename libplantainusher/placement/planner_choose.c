#include "placement/planner_internal.h"

#include <string.h>

/* Weights of the score by which engines are ranked, in units of use.  */
#define SAME_ZONE_SCORE 0.5
#define FULL_MEMORY_SCORE 0.2
/* A load that takes a second instead of six, and nothing of the store.  */
#define QUICK_SCORE 0.6
/* Engines tried for making room, the least used first.  */
#define ROOM_TRIES 8
#define CROWDED 0.5
/* Use of its ready copies above which an item needs those that come.  */
#define NEEDED 0.3
/* What a stream that has to end before its copy is unloaded counts where an
   unreachable item waits for the room, in late streams.  */
#define DRAIN_LOSS 2.0
#define MS_PER_S 1000

guint32
pu_planned_free_mb (const pu_planned_engine_t *e)
{
  return e->committed_mb < e->memory_mb ? e->memory_mb - e->committed_mb : 0;
}

guint32
pu_planned_room (const pu_planned_engine_t *e, const pu_planned_item_t *t)
{
  guint32 free = pu_planned_free_mb (e);
  bool waits = t->i.base != PU_PLAN_NONE && t->ready == 0;

  if (waits)
    return free;
  return free - MIN (free, e->held_mb);
}

guint32
pu_planned_need (const pu_planner_t *p, const pu_planned_item_t *t)
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

  p->stamp++;
  memset (p->zone_copies, 0, p->n_zones * sizeof *p->zone_copies);
  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);
      const pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      if (c->c.version == version)
        p->mark[at.engine] = p->stamp;
      if (c->c.phase != PU_PLAN_LEAVING)
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
      if (g_array_index (e->blocks, pu_block_t, i).item == item)
        return true;
    }
  return false;
}

/* The same as pu_planner_can_hold for T, which needs NEED MB.  */
static inline bool
can_hold (const pu_planner_t *p, guint32 engine, guint32 item,
          const pu_planned_item_t *t, guint32 need)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);

  if (!e->usable || e->closed || e->promised || need > e->memory_mb
      || e->accelerators < t->i.accelerators || p->mark[engine] == p->stamp)
    return false;
  if (p->cached_only && !pu_planned_quick (e, item))
    return false;
  if (e->blocks->len > 0 && blocked (e, item))
    return false;
  return t->i.base == PU_PLAN_NONE || holds_ready (e, t->i.base);
}

bool
pu_planner_can_hold (const pu_planner_t *p, guint32 engine, guint32 item)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);

  return can_hold (p, engine, item, t, pu_planned_need (p, t));
}

/* Whether T needs more than the copies that are ready: room for it would have
   to be made elsewhere.  Loads that came too late, as demand had moved on,
   keep none of its copies.  */
static bool
grows (const pu_planner_t *p, const pu_planned_item_t *t)
{
  double capacity = 0;

  for (guint i = 0; i < t->places->len; i++)
    {
      pu_copy_location_t at = pu_item_location (t, i);
      const pu_planned_engine_t *e = pu_planned_engine (p, at.engine);

      if (pu_planned_copy (e, at.slot)->c.phase == PU_PLAN_READY)
        capacity += e->streams;
    }
  return t->ready <= 1 || t->forecast.expected > NEEDED * capacity;
}

/* Whether the copy in SLOT may go, so far as its own item is concerned.  */
static bool
removable (const pu_planner_t *p, const pu_planned_engine_t *e, guint slot,
           guint32 item, pu_room_t room)
{
  const pu_planned_copy_t *c = pu_planned_copy (e, slot);
  const pu_planned_item_t *t = pu_planned_item (p, c->c.item);
  const pu_planned_item_t *wants
      = item != PU_PLAN_NONE ? pu_planned_item (p, item) : NULL;
  guint keep = room == PU_EVICT_TO_LAST ? 1 : MAX (1, t->i.min_copies);

  if (c->c.phase != PU_PLAN_READY)
    return false;
  if (wants != NULL && c->c.item == wants->i.base)
    return false;
  if (!t->declared)
    return true;
  if (room == PU_EVICT_ABOVE_MINIMUM && t->coming > 0 && grows (p, t))
    return false;
  if (c->c.item == item && c->c.version == pu_planned_version (t))
    return false;
  if ((p->o.test_breaks & PU_PLANNER_BREAK_LAST_COPY) != 0)
    keep = 0;
  return t->ready > keep;
}

static bool
is_young (const pu_planner_t *p, const pu_planned_copy_t *c, guint64 now)
{
  return now < c->since + (guint64)(p->o.min_stay_s * MS_PER_S);
}

bool
pu_planner_bundle (const pu_planner_t *p, guint32 engine, guint slot,
                   guint32 item, pu_room_t room, GArray *slots)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  guint32 base = pu_planned_copy (e, slot)->c.item;

  g_array_set_size (slots, 0);
  if (!removable (p, e, slot, item, room))
    return false;
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (pu_planned_item (p, c->c.item)->i.base != base
          || c->c.phase == PU_PLAN_LEAVING)
        continue;
      if (!removable (p, e, s, item, room))
        return false;
      g_array_append_val (slots, s);
    }
  g_array_append_val (slots, slot);
  return true;
}

static bool
taken (const GArray *slots, guint slot)
{
  for (guint i = 0; i < slots->len; i++)
    {
      if (g_array_index (slots, guint, i) == slot)
        return true;
    }
  return false;
}

/* Adds the copies in SLOTS to V; returns the memory that they give back.  */
static guint32
take (const pu_planner_t *p, const pu_planned_engine_t *e, const GArray *slots,
      guint64 now, pu_victims_t *v)
{
  guint32 memory_mb = 0;

  for (guint i = 0; i < slots->len; i++)
    {
      guint s = g_array_index (slots, guint, i);
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (taken (v->slots, s))
        continue;
      g_array_append_val (v->slots, s);
      v->n_young += is_young (p, c, now);
      memory_mb += c->c.memory_mb;
      pu_planned_item (p, c->c.item)->ready--;
    }
  return memory_mb;
}

/* Loss of letting SLOTS go; MB is set to their memory.  */
static double
loss_of (pu_planner_t *p, guint32 engine, const GArray *slots, pu_room_t room,
         double *mb)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  double loss = 0;

  *mb = 0;
  for (guint i = 0; i < slots->len; i++)
    {
      pu_copy_location_t at = { engine, g_array_index (slots, guint, i) };
      const pu_planned_copy_t *c = pu_planned_copy (e, at.slot);

      *mb += c->c.memory_mb;
      if (room == PU_EVICT_TO_LAST)
        loss += DRAIN_LOSS * c->share;
      if (pu_planned_item (p, c->c.item)->declared)
        loss += pu_planner_loss (p, c->c.item, at, i + 1 < slots->len);
    }
  return loss;
}

/* The cheapest bundle that is not in V yet, in BEST; its loss, or -1.  */
static double
cheapest (pu_planner_t *p, guint32 engine, guint32 item, pu_room_t room,
          const pu_victims_t *v, GArray *best)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (guint));
  double best_rate = -1;
  double best_loss = -1;

  for (guint s = 0; s < e->copies->len; s++)
    {
      double mb;
      double loss;

      if (taken (v->slots, s)
          || !pu_planner_bundle (p, engine, s, item, room, slots))
        continue;
      loss = loss_of (p, engine, slots, room, &mb);
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
                    pu_room_t room, guint64 now, pu_victims_t *v)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);
  guint32 need = pu_planned_need (p, pu_planned_item (p, item));
  guint32 have = pu_planned_room (e, pu_planned_item (p, item));
  GArray *best;

  v->loss = 0;
  v->n_young = 0;
  g_array_set_size (v->slots, 0);
  if (have >= need || room == PU_EVICT_NONE)
    return have >= need;

  best = g_array_new (FALSE, FALSE, sizeof (guint));
  while (have < need)
    {
      double loss = cheapest (p, engine, item, room, v, best);

      if (loss < 0)
        break;
      v->loss += loss;
      have += take (p, e, best, now, v);
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

  if (pu_planned_quick (e, item))
    s -= QUICK_SCORE;

  if (p->o.zone_spread && p->zone_copies[e->zone] > 0)
    s += SAME_ZONE_SCORE;
  return s + FULL_MEMORY_SCORE * e->committed_mb / MAX (1, e->memory_mb);
}

/* Keeps the N lowest scores, sorted.  */
static void
keep_low (guint32 *engines, double *scores, guint *n, guint max,
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

/* Whether one more copy on ENGINE would meet a crowd.  */
static bool
crowded (const pu_planner_t *p, guint32 engine)
{
  const pu_planned_engine_t *e = pu_planned_engine (p, engine);

  return e->load > CROWDED * e->streams;
}

/* Engines that can hold an item once room is made, the lowest score first.  */
typedef struct
{
  guint32 *engines;
  double *scores;
  guint n;
  guint max;
} ranked_t;

/* Whether a load that is ordered now would wait on E for another's end.  Four
   or five models that were lost with one engine queued up at the next one, in
   the order in which they were missed: the busiest waited for up to eleven
   seconds behind models that nobody asked for.  */
static bool
is_taken (const pu_planner_t *p, const pu_planned_engine_t *e)
{
  return p->o.serial_loads && e->loading > 0;
}

/* The engine with the lowest score that has NEED MB free, or PU_PLAN_NONE;
   its score in BEST_SCORE.  Those that are full go to FULL.  Notes whether one
   would do that is taken.  */
static guint32
find_free (pu_planner_t *p, guint32 item, guint32 need, double *best_score,
           ranked_t *full)
{
  const pu_planned_item_t *t = pu_planned_item (p, item);
  guint32 best = PU_PLAN_NONE;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);
      bool free = pu_planned_room (e, t) >= need;
      double s;

      if (!free && full->max == 0)
        continue;
      /* Most are ruled out by their score, which is the cheaper check.  */
      s = score (p, e, item);
      if (free ? best != PU_PLAN_NONE && s >= *best_score
               : full->n == full->max && s >= full->scores[full->max - 1])
        continue;
      if (!can_hold (p, i, item, t, need))
        continue;
      if (is_taken (p, e))
        {
          p->only_loading_engines_fit = p->only_loading_engines_fit || free;
          continue;
        }
      if (!free)
        {
          keep_low (full->engines, full->scores, &full->n, full->max, i, s);
        }
      else
        {
          best = i;
          *best_score = s;
        }
    }
  return best;
}

/* Whether ITEM, which fits on engines that load now alone, is to wait for one
   of these.  What callers ask for takes the place of another's second copy
   instead: with two empty engines that had just joined, nothing was loaded
   anywhere else for as long as these took, six seconds each time.  */
static bool
waits_for_turn (const pu_planner_t *p, guint32 item)
{
  return p->only_loading_engines_fit
         && !pu_planned_in_demand (pu_planned_item (p, item));
}

guint32
pu_planner_choose (pu_planner_t *p, guint32 item, guint32 version,
                   pu_room_t room, guint64 now, pu_victims_t *v)
{
  /* When nothing else would do, every engine is tried.  */
  guint tries = room == PU_EVICT_TO_LAST ? p->engines->len : ROOM_TRIES;
  guint32 engines[tries + 1];
  double scores[tries + 1];
  ranked_t full = { engines, scores, 0, room == PU_EVICT_NONE ? 0 : tries };
  guint32 need = pu_planned_need (p, pu_planned_item (p, item));
  double least = 0;
  guint32 best;

  pu_planner_mark_item (p, item, version);
  v->loss = 0;
  v->n_young = 0;
  g_array_set_size (v->slots, 0);
  p->only_loading_engines_fit = false;
  best = find_free (p, item, need, &least, &full);
  p->only_loading_engines_fit
      = p->only_loading_engines_fit && best == PU_PLAN_NONE;
  if (waits_for_turn (p, item))
    return PU_PLAN_NONE;
  if (best != PU_PLAN_NONE && (room == PU_EVICT_TO_LAST || !crowded (p, best)))
    return best;

  for (guint i = 0; i < full.n; i++)
    {
      if (best != PU_PLAN_NONE && i >= ROOM_TRIES)
        break;
      if (!pu_planner_victims (p, engines[i], item, room, now, v))
        continue;
      if (best != PU_PLAN_NONE && v->loss + scores[i] >= least)
        continue;
      best = engines[i];
      least = v->loss + scores[i];
    }
  if (best != PU_PLAN_NONE)
    {
      p->only_loading_engines_fit = false;
      pu_planner_victims (p, best, item, room, now, v);
    }
  return best;
}
