#include "placement/adapters.h"

/* An adapter is evicted only when it has not been requested for this time.  An
   adapter requested more recently may be in use or have a request in transit;
   its unload would wait for that request, or make it fail.  */
#define EVICTION_MIN_IDLE_MS 2500

/* An adapter that was requested within this time is active: it is likely to be
   requested again soon.  Only active adapters are replicated, and no active
   adapter is evicted for a replica.  */
#define ACTIVE_WINDOW_MS 8000

/* An engine gets an additional copy of an adapter only if it has at least this
   many requests fewer than every engine that holds the adapter.  This is about
   the number of requests for one adapter that arrive and finish in one
   second.  */
#define REPLICATE_MIN_GAP 8
/* Number of requests that a new copy of an adapter is assumed to add to its
   engine until the engine's next report gives their number.  */
#define REPLICATE_LOAD_ESTIMATE 2
/* Maximum number of copies that one call of pu_adapters_replicate orders.  It
   is limited because each order of the leader takes a round trip.  */
#define REPLICATE_MAX 6

typedef struct
{
  bool is_adapter;
  guint32 base;
  guint64 last_used; /* time of the last request, ms; 0: never */
} adapter_t;

typedef struct
{
  guint slots; /* number of adapter slots; 0: no limit */
  guint load;  /* number of requests */
  bool usable;
  bool may_load;
} engine_t;

struct pu_adapters
{
  pu_dispatcher_t *dispatcher;
  GArray *adapters; /* of adapter_t, by item */
  GArray *engines;  /* of engine_t, by engine handle */
};

pu_adapters_t *
pu_adapters_new (pu_dispatcher_t *dispatcher)
{
  pu_adapters_t *a = g_new0 (pu_adapters_t, 1);

  a->dispatcher = dispatcher;
  a->adapters = g_array_new (FALSE, TRUE, sizeof (adapter_t));
  a->engines = g_array_new (FALSE, TRUE, sizeof (engine_t));
  return a;
}

void
pu_adapters_free (pu_adapters_t *a)
{
  if (a == NULL)
    return;
  g_array_unref (a->adapters);
  g_array_unref (a->engines);
  g_free (a);
}

static adapter_t *
adapter_at (const pu_adapters_t *a, guint32 item)
{
  return item < a->adapters->len
             ? &g_array_index (a->adapters, adapter_t, item)
             : NULL;
}

void
pu_adapters_add (pu_adapters_t *a, guint32 item, guint32 base)
{
  adapter_t *t;

  if (a->adapters->len <= item)
    g_array_set_size (a->adapters, item + 1);
  t = adapter_at (a, item);
  t->is_adapter = true;
  t->base = base;
}

bool
pu_adapters_contains (const pu_adapters_t *a, guint32 item)
{
  const adapter_t *t = adapter_at (a, item);

  return t != NULL && t->is_adapter;
}

guint32
pu_adapters_base (const pu_adapters_t *a, guint32 item)
{
  return adapter_at (a, item)->base;
}

static engine_t *
engine_of (const pu_adapters_t *a, guint32 engine)
{
  return &g_array_index (a->engines, engine_t, engine);
}

void
pu_adapters_set_engine (pu_adapters_t *a, guint32 engine, guint slots,
                        guint load, bool usable, bool may_load)
{
  engine_t e = { slots, load, usable, may_load };

  if (a->engines->len <= engine)
    g_array_set_size (a->engines, engine + 1);
  g_array_index (a->engines, engine_t, engine) = e;
}

void
pu_adapters_mark_used (pu_adapters_t *a, guint32 item, guint64 now)
{
  adapter_t *t = adapter_at (a, item);

  if (t != NULL)
    t->last_used = now;
}

guint
pu_adapters_count_active (const pu_adapters_t *a, guint32 base, guint64 now)
{
  guint active = 0;

  for (guint i = 0; i < a->adapters->len; i++)
    {
      const adapter_t *t = adapter_at (a, i);

      active += t->is_adapter && t->base == base && t->last_used != 0
                && now < t->last_used + ACTIVE_WINDOW_MS;
    }
  return active;
}

/* An engine that can take an adapter, and the adapter that it would evict.  */
typedef struct
{
  guint32 engine;
  guint slots_used;
  guint32 victim;     /* adapter to evict; PU_ADAPTERS_NONE: a slot is free */
  guint64 idle_since; /* time of the last request for the victim, ms */
} candidate_t;

/* Fills O with ENGINE and the adapter that it would evict: the least recently
   used one, or none when a slot is free.  Returns false when ENGINE may not
   load, or has neither a free slot nor an adapter that may be evicted.  */
static bool
find_candidate (const pu_adapters_t *a, guint32 engine, guint64 now,
                candidate_t *o)
{
  const engine_t *e = engine_of (a, engine);
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (a->dispatcher, engine, &n);
  guint leaving = 0;

  *o = (candidate_t){ engine, 0, PU_ADAPTERS_NONE, G_MAXUINT64 };
  if (!e->may_load)
    return false;
  for (guint i = 0; i < n; i++)
    {
      const adapter_t *t = adapter_at (a, items[i].item);

      if (t == NULL || !t->is_adapter)
        continue;
      o->slots_used++;
      leaving += items[i].phase == PU_DISPATCHER_UNLOADING;
      if (items[i].phase != PU_DISPATCHER_READY
          || now < t->last_used + EVICTION_MIN_IDLE_MS
          || t->last_used >= o->idle_since)
        continue;
      o->victim = items[i].item;
      o->idle_since = t->last_used;
    }
  if (e->slots == 0 || o->slots_used < e->slots)
    {
      o->victim = PU_ADAPTERS_NONE;
      return true;
    }
  /* While the engine unloads an adapter, no other adapter is evicted: the slot
     that becomes free is for the load that caused the unload.  */
  return o->victim != PU_ADAPTERS_NONE && leaving == 0;
}

/* Whether the candidate X is preferred to Y.  The criteria are, in this order:
   a free slot, the longer idle time of the adapter to evict, fewer slots in
   use, fewer requests.  */
static bool
is_better (const pu_adapters_t *a, const candidate_t *x, const candidate_t *y)
{
  bool x_free = x->victim == PU_ADAPTERS_NONE;
  bool y_free = y->victim == PU_ADAPTERS_NONE;

  if (x_free != y_free)
    return x_free;
  if (!x_free && x->idle_since != y->idle_since)
    return x->idle_since < y->idle_since;
  if (x->slots_used != y->slots_used)
    return x->slots_used < y->slots_used;
  return engine_of (a, x->engine)->load < engine_of (a, y->engine)->load;
}

static bool
queue_load (pu_adapters_t *a, const candidate_t *o, guint32 item, guint64 now)
{
  pu_dispatcher_order_t load = { PU_DISPATCHER_LOAD, item, true };
  pu_dispatcher_order_t unload = { PU_DISPATCHER_UNLOAD, o->victim, true };

  if (o->victim != PU_ADAPTERS_NONE
      && !pu_dispatcher_enqueue (a->dispatcher, o->engine, &unload, now))
    return false;
  return pu_dispatcher_enqueue (a->dispatcher, o->engine, &load, now);
}

/* Whether ENGINE can serve the adapter ITEM once ITEM is loaded: ENGINE is
   usable, and the base model is ready on it.  */
static bool
can_serve (const pu_adapters_t *a, guint32 engine, guint32 item)
{
  const engine_t *e = engine_of (a, engine);

  return e->usable && pu_dispatcher_accepts_orders (a->dispatcher, engine)
         && pu_dispatcher_phase (a->dispatcher, engine,
                                 pu_adapters_base (a, item))
                == PU_DISPATCHER_READY;
}

/* The engine with the fewest requests of those that can serve ITEM and hold
   it, are loading it or have its load queued; PU_ADAPTERS_NONE: none.  */
static guint32
find_holder (const pu_adapters_t *a, guint32 item)
{
  guint32 best = PU_ADAPTERS_NONE;

  for (guint32 i = 0; i < a->engines->len; i++)
    {
      pu_dispatcher_phase_t phase
          = pu_dispatcher_phase (a->dispatcher, i, item);
      bool has = phase == PU_DISPATCHER_READY || phase == PU_DISPATCHER_LOADING
                 || phase == PU_DISPATCHER_QUEUED;

      if (!has || !can_serve (a, i, item))
        continue;
      if (best == PU_ADAPTERS_NONE
          || engine_of (a, i)->load < engine_of (a, best)->load)
        best = i;
    }
  return best;
}

guint32
pu_adapters_ensure_loaded (pu_adapters_t *a, guint32 item, guint64 now)
{
  guint32 holder;
  candidate_t best = { PU_ADAPTERS_NONE, 0, 0, 0 };

  if (!pu_adapters_contains (a, item))
    return PU_ADAPTERS_NONE;
  pu_adapters_mark_used (a, item, now);
  holder = find_holder (a, item);
  if (holder != PU_ADAPTERS_NONE)
    return holder;
  for (guint32 i = 0; i < a->engines->len; i++)
    {
      candidate_t o;

      if (!can_serve (a, i, item) || !find_candidate (a, i, now, &o))
        continue;
      if (best.engine == PU_ADAPTERS_NONE || is_better (a, &o, &best))
        best = o;
    }
  if (best.engine == PU_ADAPTERS_NONE || !queue_load (a, &best, item, now))
    return PU_ADAPTERS_NONE;
  return best.engine;
}

/* --- additional copies of active adapters --- */

/* Whether ENGINE, which does not hold ITEM, can take a copy of it without
   evicting an active adapter.  Fills O as find_candidate does.  */
static bool
can_take_copy (const pu_adapters_t *a, guint32 engine, guint32 item,
               guint64 now, candidate_t *o)
{
  return can_serve (a, engine, item)
         && pu_dispatcher_phase (a->dispatcher, engine, item)
                == PU_DISPATCHER_ABSENT
         && find_candidate (a, engine, now, o)
         && (o->victim == PU_ADAPTERS_NONE
             || now >= o->idle_since + ACTIVE_WINDOW_MS);
}

/* Sets BEST to the engine with the fewest requests that can take ITEM.
   Returns false when no such engine has at least REPLICATE_MIN_GAP requests
   fewer than HOLDER.  */
static bool
find_replica_engine (const pu_adapters_t *a, guint32 item, guint32 holder,
                     guint64 now, candidate_t *best)
{
  guint most = engine_of (a, holder)->load;
  bool found = false;

  for (guint32 i = 0; i < a->engines->len; i++)
    {
      guint load = engine_of (a, i)->load;
      candidate_t o;

      if (load + REPLICATE_MIN_GAP > most
          || !can_take_copy (a, i, item, now, &o))
        continue;
      *best = o;
      most = load;
      found = true;
    }
  return found;
}

void
pu_adapters_replicate (pu_adapters_t *a, guint64 now)
{
  guint ordered = 0;

  for (guint32 i = 0; i < a->adapters->len && ordered < REPLICATE_MAX; i++)
    {
      const adapter_t *t = adapter_at (a, i);
      guint32 holder;
      candidate_t best;

      if (!t->is_adapter || t->last_used == 0
          || now >= t->last_used + ACTIVE_WINDOW_MS)
        continue;
      holder = find_holder (a, i);
      if (holder == PU_ADAPTERS_NONE
          || !find_replica_engine (a, i, holder, now, &best)
          || !queue_load (a, &best, i, now))
        continue;
      engine_of (a, best.engine)->load += REPLICATE_LOAD_ESTIMATE;
      ordered++;
    }
}
