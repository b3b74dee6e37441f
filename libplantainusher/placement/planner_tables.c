#include "placement/planner_internal.h"

#include <math.h>

/* Time constant of the urgency of an item, the stream time below which it is
   not known, and the bound on its effect on the weight of late streams.  */
#define URGENCY_DECAY_S 10.0
#define URGENCY_MIN_MS 1.0
#define URGENCY_MAX 16.0
/* Bound on the effect of an engine's slowness: a faulty sample must not give
   an engine the capacity of ten.  */
#define SLOWNESS_MAX 4.0
#define DEFAULT_MOVES_WEIGHT 0.5
#define DEFAULT_PAYBACK_S 120.0
#define DEFAULT_MOVE_PRICE 10.0
#define DEFAULT_MIN_STAY_S 120.0
#define DEFAULT_WATCH_S 60.0
#define DEFAULT_MAX_FAILURES 3
#define DEFAULT_MAX_CONCURRENT_LOADS 3
#define DEFAULT_FORECAST_PERIOD_MS 1000
#define DEFAULT_HOT_UTILIZATION 0.7
#define MS_PER_S 1000
/* Lower limit for the streams of an engine.  The load of an engine is divided
   by this number, which must not be 0.  */
#define MIN_STREAMS 0.001
#define FAILURE_BACKOFF_MS 5000
#define FAILURE_BACKOFF_DOUBLINGS_MAX 8
#define FAILURE_BACKOFF_MAX_MS 300000

void
pu_planner_options_init (pu_planner_options_t *o)
{
  o->moves_weight = DEFAULT_MOVES_WEIGHT;
  o->payback_s = DEFAULT_PAYBACK_S;
  o->move_price = DEFAULT_MOVE_PRICE;
  o->min_stay_s = DEFAULT_MIN_STAY_S;
  o->watch_s = DEFAULT_WATCH_S;
  o->max_failures = DEFAULT_MAX_FAILURES;
  o->max_concurrent_loads = DEFAULT_MAX_CONCURRENT_LOADS;
  o->forecast_period_ms = DEFAULT_FORECAST_PERIOD_MS;
  o->hot_utilization = DEFAULT_HOT_UTILIZATION;
  o->zone_spread = true;
  o->serial_loads = false;
  o->restore_by_gain = false;
  o->place_by_urgency = false;
  o->place_by_speed = false;
  o->loads_per_s = 0;
  pu_forecast_options_init (&o->forecast);
  o->test_breaks = PU_PLANNER_BREAK_NONE;
}

static void
clear_engine (gpointer data)
{
  pu_planned_engine_t *e = data;

  g_array_unref (e->copies);
  g_array_unref (e->blocks);
  g_clear_pointer (&e->cached, g_hash_table_unref);
}

static void
clear_item (gpointer data)
{
  pu_planned_item_t *t = data;

  g_free ((char *)t->i.name);
  g_array_unref (t->locations);
  g_array_unref (t->adapters);
}

pu_planner_t *
pu_planner_new (const pu_planner_options_t *o)
{
  pu_planner_t *p = g_new0 (pu_planner_t, 1);

  p->o = *o;
  p->engines = g_array_new (FALSE, TRUE, sizeof (pu_planned_engine_t));
  p->items = g_array_new (FALSE, TRUE, sizeof (pu_planned_item_t));
  g_array_set_clear_func (p->engines, clear_engine);
  g_array_set_clear_func (p->items, clear_item);
  p->n_zones = 1;
  p->load_slots = G_MAXUINT;
  p->zone_copies = g_new0 (guint, p->n_zones);
  return p;
}

void
pu_planner_set_options (pu_planner_t *p, const pu_planner_options_t *o)
{
  p->o = *o;
}

void
pu_planner_free (pu_planner_t *p)
{
  if (p == NULL)
    return;
  g_array_unref (p->engines);
  g_array_unref (p->items);
  g_free (p->holder_stamp);
  g_free (p->scratch_load);
  g_free (p->scratch_share);
  g_free (p->zone_copies);
  g_free (p);
}

static GHashTable *
copy_item_set (GHashTable *set)
{
  GHashTable *copy;
  GHashTableIter it;
  gpointer item;

  if (set == NULL)
    return NULL;
  copy = g_hash_table_new (NULL, NULL);
  g_hash_table_iter_init (&it, set);
  while (g_hash_table_iter_next (&it, &item, NULL))
    g_hash_table_add (copy, item);
  return copy;
}

pu_planner_t *
pu_planner_clone (const pu_planner_t *p)
{
  pu_planner_t *q = pu_planner_new (&p->o);

  q->last_forecast_ms = p->last_forecast_ms;
  q->load_slots = p->load_slots;
  q->any_cached = p->any_cached;
  q->n_zones = p->n_zones;
  q->zone_copies = g_renew (guint, q->zone_copies, p->n_zones);
  for (guint i = 0; i < p->engines->len; i++)
    {
      pu_planned_engine_t e = *pu_planned_engine (p, i);

      e.copies = g_array_copy (e.copies);
      e.blocks = g_array_copy (e.blocks);
      e.cached = copy_item_set (e.cached);
      g_array_append_val (q->engines, e);
    }
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t t = *pu_planned_item (p, i);

      t.i.name = g_strdup (t.i.name);
      t.locations = g_array_copy (t.locations);
      t.adapters = g_array_copy (t.adapters);
      g_array_append_val (q->items, t);
    }
  return q;
}

static void
grow_engines (pu_planner_t *p, guint32 engine)
{
  while (p->engines->len <= engine)
    {
      pu_planned_engine_t e = { 0 };

      e.copies = g_array_new (FALSE, FALSE, sizeof (pu_planned_copy_t));
      e.blocks = g_array_new (FALSE, FALSE, sizeof (pu_load_block_t));
      e.streams = MIN_STREAMS;
      g_array_append_val (p->engines, e);
    }
}

static void
grow_items (pu_planner_t *p, guint32 item)
{
  while (p->items->len <= item)
    {
      pu_planned_item_t t = { 0 };

      t.i.base = PU_PLAN_NONE;
      t.urgency = 1;
      t.locations = g_array_new (FALSE, FALSE, sizeof (pu_copy_location_t));
      t.adapters = g_array_new (FALSE, FALSE, sizeof (guint32));
      g_array_append_val (p->items, t);
    }
}

static void
grow_zones (pu_planner_t *p, guint32 zone)
{
  if (zone < p->n_zones)
    return;
  p->n_zones = zone + 1;
  p->zone_copies = g_renew (guint, p->zone_copies, p->n_zones);
}

static const pu_planned_copy_t *
find_copy (const GArray *copies, const pu_plan_copy_t *c)
{
  for (guint i = 0; i < copies->len; i++)
    {
      const pu_planned_copy_t *o
          = &g_array_index (copies, pu_planned_copy_t, i);

      if (o->c.item == c->item && o->c.version == c->version)
        return o;
    }
  return NULL;
}

/* Returns the copies that FROM lists.  A copy that E already has keeps its
   reason, gain and price, and the time since when it is in its phase unless
   the phase changed.  */
static GArray *
merge_copies (const pu_planned_engine_t *e, const pu_plan_engine_t *from,
              guint64 now)
{
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (pu_planned_copy_t));

  for (guint i = 0; i < from->n_copies; i++)
    {
      const pu_plan_copy_t *c = &from->copies[i];
      const pu_planned_copy_t *old = find_copy (e->copies, c);
      pu_planned_copy_t n = { 0 };

      n.reason = PU_REASON_PREEXISTING;
      n.since = now;
      if (old != NULL)
        n = *old;
      n.deferred = false;
      if (old == NULL || old->c.phase != c->phase)
        n.since = now;
      if (c->phase != PU_PLAN_UNLOADING)
        n.yields_until = 0;
      n.c = *c;
      g_array_append_val (copies, n);
    }
  return copies;
}

/* Resets the number of failed loads of each item that has had a ready copy on
   E for watch_s, in the version given by pu_planned_version.  */
static void
reset_failures (const pu_planner_t *p, const pu_planned_engine_t *e,
                guint64 now)
{
  guint64 watch = (guint64)(p->o.watch_s * MS_PER_S);

  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);
      pu_planned_item_t *t = pu_planned_item (p, c->c.item);

      if (c->c.version == pu_planned_version (t) && c->c.phase == PU_PLAN_READY
          && now >= c->since + watch)
        t->failures = 0;
    }
}

/* Clears the deferred load of E when E reports the copy, or when E is not
   usable or UNREACHABLE.  */
static void
clear_obsolete_deferred (pu_planned_engine_t *e, bool unreachable)
{
  if (!e->deferred)
    return;
  if (!e->usable || unreachable
      || find_copy (e->copies, &e->deferred_load.c) != NULL)
    e->deferred = false;
}

void
pu_planner_set_engine (pu_planner_t *p, guint32 engine,
                       const pu_plan_engine_t *from, guint64 now)
{
  pu_planned_engine_t *e;
  GArray *copies;
  bool more_memory;

  grow_engines (p, engine);
  e = pu_planned_engine (p, engine);
  if (from == NULL)
    {
      g_array_set_size (e->copies, 0);
      e->known = false;
      e->usable = false;
      e->deferred = false;
      return;
    }
  for (guint i = 0; i < from->n_copies; i++)
    grow_items (p, from->copies[i].item);
  grow_zones (p, from->zone);
  copies = merge_copies (e, from, now);
  g_array_unref (e->copies);
  e->copies = copies;
  more_memory = from->usable && (!e->usable || e->memory_mb < from->memory_mb);
  e->known = true;
  e->usable = from->usable;
  e->loads_suspended = from->loads_suspended;
  e->zone = from->zone;
  e->accelerators = from->accelerators;
  e->memory_mb = from->memory_mb;
  e->committed_mb = from->committed_mb;
  e->streams = fmax (from->streams, MIN_STREAMS);
  if (p->o.place_by_speed && from->slowness > 0)
    e->streams /= CLAMP (from->slowness, 1 / SLOWNESS_MAX, SLOWNESS_MAX);
  clear_obsolete_deferred (e, from->unreachable);
  reset_failures (p, e, now);
  if (more_memory)
    pu_planner_note_capacity (p);
}

static void
rebuild_adapters (pu_planner_t *p)
{
  for (guint32 i = 0; i < p->items->len; i++)
    g_array_set_size (pu_planned_item (p, i)->adapters, 0);
  for (guint32 i = 0; i < p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (p, i);

      if (t->declared && t->i.base != PU_PLAN_NONE)
        g_array_append_val (pu_planned_item (p, t->i.base)->adapters, i);
    }
}

/* Returns the version to roll back to when T is declared again as I: the
   previous version that I names, else the version that T had before.  */
static guint32
previous_version (const pu_planned_item_t *t, const pu_plan_item_t *i)
{
  if (i->previous_version != PU_PLAN_NONE || !t->declared)
    return i->previous_version;
  return t->i.version != i->version ? t->i.version : t->i.previous_version;
}

void
pu_planner_set_min_copies (pu_planner_t *p, guint32 item, guint32 min_copies)
{
  pu_planned_item_t *t;

  grow_items (p, item);
  t = pu_planned_item (p, item);
  t->i.min_copies = MIN (min_copies, t->i.max_copies);
}

void
pu_planner_set_item (pu_planner_t *p, guint32 item, const pu_plan_item_t *i)
{
  pu_planned_item_t *t;
  guint32 old_base;

  grow_items (p, item);
  if (i != NULL && i->base != PU_PLAN_NONE)
    grow_items (p, i->base);
  t = pu_planned_item (p, item);
  old_base = t->i.base;
  if (i == NULL)
    {
      t->declared = false;
      t->i.base = PU_PLAN_NONE;
    }
  else
    {
      char *name = g_strdup (i->name);
      guint32 previous = previous_version (t, i);

      if (t->declared && t->i.version != i->version)
        {
          t->rolled_back = false;
          t->failures = 0;
          t->new_ready_since = 0;
        }
      g_free ((char *)t->i.name);
      t->i = *i;
      t->i.name = name;
      t->i.previous_version = previous;
      t->declared = true;
      t->not_before = 0;
    }
  if (old_base != t->i.base)
    rebuild_adapters (p);
  pu_planner_note_capacity (p);
}

void
pu_planner_add_demand (pu_planner_t *p, guint32 item, guint32 requests,
                       double stream_ms)
{
  grow_items (p, item);
  pu_forecast_add (&pu_planned_item (p, item)->forecast, &p->request_stats,
                   requests, stream_ms);
}

void
pu_planner_add_urgency (pu_planner_t *p, guint32 item, double stream_ms,
                        double weighted_ms)
{
  pu_planned_item_t *t;

  grow_items (p, item);
  t = pu_planned_item (p, item);
  t->urgency_ms += stream_ms;
  t->urgency_weighted_ms += weighted_ms;
}

void
pu_planner_update_urgency (pu_planner_t *p, double period_s)
{
  double keep = exp (-period_s / URGENCY_DECAY_S);
  double all_ms = 0;
  double all_weighted_ms = 0;

  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (p, i);

      t->urgency_ms *= keep;
      t->urgency_weighted_ms *= keep;
      all_ms += t->urgency_ms;
      all_weighted_ms += t->urgency_weighted_ms;
    }
  for (guint i = 0; i < p->items->len; i++)
    {
      pu_planned_item_t *t = pu_planned_item (p, i);

      t->urgency = 1;
      if (!p->o.place_by_urgency || t->urgency_ms < URGENCY_MIN_MS
          || all_weighted_ms <= 0)
        continue;
      t->urgency
          = t->urgency_weighted_ms / t->urgency_ms * all_ms / all_weighted_ms;
      t->urgency = CLAMP (t->urgency, 1 / URGENCY_MAX, URGENCY_MAX);
    }
}

/* Returns a version of ITEM other than the declared one that has a ready copy,
   or PU_PLAN_NONE.  */
static guint32
ready_other_version (const pu_planner_t *p, guint32 item)
{
  guint32 declared = pu_planned_item (p, item)->i.version;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = 0; e->usable && s < e->copies->len; s++)
        {
          const pu_plan_copy_t *c = &pu_planned_copy (e, s)->c;

          if (c->item == item && c->version != declared
              && c->phase == PU_PLAN_READY)
            return c->version;
        }
    }
  return PU_PLAN_NONE;
}

void
pu_planner_set_cached (pu_planner_t *p, guint32 engine, guint32 item,
                       bool cached)
{
  pu_planned_engine_t *e;

  grow_engines (p, engine);
  e = pu_planned_engine (p, engine);
  if (e->cached == NULL && !cached)
    return;
  if (e->cached == NULL)
    e->cached = g_hash_table_new (NULL, NULL);
  if (!cached)
    {
      g_hash_table_remove (e->cached, GUINT_TO_POINTER (item));
      return;
    }
  g_hash_table_add (e->cached, GUINT_TO_POINTER (item));
  p->any_cached = true;
}

void
pu_planner_set_load_slots (pu_planner_t *p, guint n)
{
  p->load_slots = n;
}

void
pu_planner_block (pu_planner_t *p, guint32 engine, guint32 item, guint64 until)
{
  pu_load_block_t b = { item, until };
  GArray *blocks;

  grow_engines (p, engine);
  blocks = pu_planned_engine (p, engine)->blocks;
  for (guint i = 0; i < blocks->len; i++)
    {
      pu_load_block_t *o = &g_array_index (blocks, pu_load_block_t, i);

      if (o->item == item)
        {
          o->until = until;
          return;
        }
    }
  g_array_append_val (blocks, b);
}

void
pu_planner_load_failed (pu_planner_t *p, guint32 engine, guint32 item,
                        guint32 version, guint64 now)
{
  pu_planned_item_t *t;
  guint64 wait;
  guint32 older;

  grow_items (p, item);
  t = pu_planned_item (p, item);
  wait = (guint64)FAILURE_BACKOFF_MS
         << MIN (t->failures, FAILURE_BACKOFF_DOUBLINGS_MAX);
  wait = MIN (wait, FAILURE_BACKOFF_MAX_MS);
  pu_planner_block (p, engine, item, now + wait);
  if (version != pu_planned_version (t))
    return;
  t->failures++;
  if (t->failures < p->o.max_failures)
    return;

  t->not_before = now + wait;
  older = ready_other_version (p, item);
  if (older != PU_PLAN_NONE)
    t->i.previous_version = older;
  if (t->i.previous_version == PU_PLAN_NONE
      || t->i.previous_version == t->i.version)
    return;
  /* If the previous version was in use already and failed as well, the
     declared one is tried again.  */
  t->rolled_back = !t->rolled_back;
  t->failures = 0;
}

guint
pu_planner_ready_copies (const pu_planner_t *p, guint32 item)
{
  guint n = 0;

  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = 0; e->usable && s < e->copies->len; s++)
        {
          const pu_plan_copy_t *c = &pu_planned_copy (e, s)->c;

          n += c->item == item && c->phase == PU_PLAN_READY;
        }
    }
  return n;
}

/* Whether ITEM waits for the weights store alone: its only pending load is
   deferred although the memory for the load is free.  */
static bool
waits_for_store (const pu_planner_t *p, guint32 item)
{
  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      if (e->deferred && e->usable && e->deferred_load.c.item == item)
        {
          return pu_planned_item (p, item)->pending_loads == 1
                 && pu_planned_free_mb (e) >= e->deferred_load.c.memory_mb;
        }
    }
  return false;
}

pu_item_state_t
pu_planner_item_state (const pu_planner_t *p, guint32 item, guint64 now)
{
  const pu_planned_item_t *t;

  if (item >= p->items->len || !pu_planned_item (p, item)->declared)
    return PU_ITEM_STATE_UNDECLARED;
  t = pu_planned_item (p, item);
  if (t->ready > 0)
    return PU_ITEM_STATE_READY;
  if (t->pending_loads > 0)
    {
      return waits_for_store (p, item) ? PU_ITEM_STATE_WAIT_STORE
                                       : PU_ITEM_STATE_LOADING;
    }
  if (t->i.base != PU_PLAN_NONE && pu_planned_item (p, t->i.base)->ready == 0)
    return PU_ITEM_STATE_WAIT_BASE;
  if (now < t->not_before)
    return PU_ITEM_STATE_WAIT_RETRY;
  return PU_ITEM_STATE_WAIT_STORE;
}

/* Returns the copy of VERSION of ITEM on ENGINE if it is ready, or is being
   unloaded and may still be ready; else NULL.  */
static const pu_planned_copy_t *
find_maybe_ready (const pu_planner_t *p, guint32 engine, guint32 item,
                  guint32 version)
{
  pu_plan_copy_t wanted = { item, version, 0, PU_PLAN_READY };
  const pu_planned_copy_t *c = NULL;

  if (engine < p->engines->len)
    c = find_copy (pu_planned_engine (p, engine)->copies, &wanted);
  return c != NULL && c->c.phase >= PU_PLAN_READY ? c : NULL;
}

bool
pu_planner_needs_version (const pu_planner_t *p, guint32 item, guint32 version)
{
  const pu_planned_item_t *t;

  if (item >= p->items->len)
    return false;
  t = pu_planned_item (p, item);
  return t->declared && pu_planned_version (t) == version
         && pu_planner_ready_copies (p, item) == 0;
}

bool
pu_planner_is_overcommitted (const pu_planner_t *p)
{
  return p->overcommitted;
}

bool
pu_planner_may_unload (const pu_planner_t *p, guint32 engine, guint32 item,
                       guint32 version)
{
  const pu_planned_copy_t *copy;

  if (item >= p->items->len || !pu_planned_item (p, item)->declared)
    return true;
  if ((p->o.test_breaks & PU_PLANNER_BREAK_LAST_COPY) != 0)
    return true;
  copy = find_maybe_ready (p, engine, item, version);
  if (copy == NULL
      || (p->last_copies_yield && p->step_ms < copy->yields_until))
    return true;
  for (guint i = 0; i < p->engines->len; i++)
    {
      const pu_planned_engine_t *e = pu_planned_engine (p, i);

      for (guint s = 0; e->usable && s < e->copies->len; s++)
        {
          const pu_plan_copy_t *c = &pu_planned_copy (e, s)->c;

          if (c->item == item && c->phase == PU_PLAN_READY
              && (i != engine || c->version != version))
            return true;
        }
    }
  return false;
}

double
pu_planner_expected_streams (const pu_planner_t *p, guint32 item)
{
  if (item >= p->items->len)
    return 0;
  return pu_planned_item (p, item)->forecast.expected;
}

bool
pu_planner_rolled_back (const pu_planner_t *p, guint32 item)
{
  return item < p->items->len && pu_planned_item (p, item)->rolled_back;
}
