#include "placement/adapters.h"

/* One that was asked for so lately may be in use, or have a request on its
   way: unloading it would wait, or cost that request.  */
#define KEEP_MS 2500

/* One that was asked for so lately is likely to be asked for again soon.  */
#define ACTIVE_MS 8000

/* Requests that an engine must have fewer than all that hold an adapter, to be
   given it too: what a second's requests for one adapter add and take.  */
#define SPREAD_GAP 8
/* What an adapter that is given to an engine adds to its requests, until its
   next report.  */
#define SPREAD_LOAD 2
/* Adapters given in one call: a leader's order takes a round trip.  */
#define SPREAD_MAX 6

typedef struct
{
  bool is_adapter;
  guint32 base;
  guint64 used; /* when it was last asked for, ms */
} adapter_t;

typedef struct
{
  guint places;
  guint load;
  bool usable;
} engine_t;

struct pu_adapters
{
  pu_dispatcher_t *dispatcher;
  GArray *adapters; /* of adapter_t, by item */
  GArray *engines;  /* of engine_t */
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
pu_adapters_set_engine (pu_adapters_t *a, guint32 engine, guint places,
                        guint load, bool usable)
{
  engine_t e = { places, load, usable };

  if (a->engines->len <= engine)
    g_array_set_size (a->engines, engine + 1);
  g_array_index (a->engines, engine_t, engine) = e;
}

void
pu_adapters_mark_used (pu_adapters_t *a, guint32 item, guint64 now)
{
  adapter_t *t = adapter_at (a, item);

  if (t != NULL)
    t->used = now;
}

guint
pu_adapters_count_active (const pu_adapters_t *a, guint32 base, guint64 now)
{
  guint active = 0;

  for (guint i = 0; i < a->adapters->len; i++)
    {
      const adapter_t *t = adapter_at (a, i);

      active += t->is_adapter && t->base == base && t->used != 0
                && now < t->used + ACTIVE_MS;
    }
  return active;
}

/* What an engine offers to one adapter.  */
typedef struct
{
  guint32 engine;
  guint taken;        /* places */
  guint32 victim;     /* item to be unloaded; PU_ADAPTERS_NONE: none */
  guint64 idle_since; /* of the victim */
} offer_t;

/* Looks at the adapters on ENGINE.  False: it has no place to give.  */
static bool
offer_make (const pu_adapters_t *a, guint32 engine, guint64 now, offer_t *o)
{
  const engine_t *e = engine_of (a, engine);
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (a->dispatcher, engine, &n);
  guint leaving = 0;

  *o = (offer_t){ engine, 0, PU_ADAPTERS_NONE, G_MAXUINT64 };
  for (guint i = 0; i < n; i++)
    {
      const adapter_t *t = adapter_at (a, items[i].item);

      if (t == NULL || !t->is_adapter)
        continue;
      o->taken++;
      leaving += items[i].phase == PU_DISPATCHER_UNLOADING;
      if (items[i].phase != PU_DISPATCHER_READY || now < t->used + KEEP_MS
          || t->used >= o->idle_since)
        continue;
      o->victim = items[i].item;
      o->idle_since = t->used;
    }
  if (e->places == 0 || o->taken < e->places)
    {
      o->victim = PU_ADAPTERS_NONE;
      return true;
    }
  /* A place that is being given up is given to whoever asked for that.  */
  return o->victim != PU_ADAPTERS_NONE && leaving == 0;
}

/* Free places first, then the victim that was idle for the longest time; of
   equals the engine with less to do.  */
static bool
is_better (const pu_adapters_t *a, const offer_t *x, const offer_t *y)
{
  bool x_free = x->victim == PU_ADAPTERS_NONE;
  bool y_free = y->victim == PU_ADAPTERS_NONE;

  if (x_free != y_free)
    return x_free;
  if (!x_free && x->idle_since != y->idle_since)
    return x->idle_since < y->idle_since;
  if (x->taken != y->taken)
    return x->taken < y->taken;
  return engine_of (a, x->engine)->load < engine_of (a, y->engine)->load;
}

static bool
order (pu_adapters_t *a, const offer_t *o, guint32 item, guint64 now)
{
  pu_dispatcher_order_t load = { PU_DISPATCHER_LOAD, item, true };
  pu_dispatcher_order_t unload = { PU_DISPATCHER_UNLOAD, o->victim, true };

  if (o->victim != PU_ADAPTERS_NONE
      && !pu_dispatcher_enqueue (a->dispatcher, o->engine, &unload, now))
    return false;
  return pu_dispatcher_enqueue (a->dispatcher, o->engine, &load, now);
}

/* Whether ENGINE may serve ITEM: its base is ready there.  */
static bool
has_base (const pu_adapters_t *a, guint32 engine, guint32 item)
{
  const engine_t *e = engine_of (a, engine);

  return e->usable && pu_dispatcher_accepts_orders (a->dispatcher, engine)
         && pu_dispatcher_phase (a->dispatcher, engine,
                                 pu_adapters_base (a, item))
                == PU_DISPATCHER_READY;
}

/* The engine that has ITEM or is getting it, the least loaded one.  */
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

      if (!has || !has_base (a, i, item))
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
  offer_t best = { PU_ADAPTERS_NONE, 0, 0, 0 };

  if (!pu_adapters_contains (a, item))
    return PU_ADAPTERS_NONE;
  pu_adapters_mark_used (a, item, now);
  holder = find_holder (a, item);
  if (holder != PU_ADAPTERS_NONE)
    return holder;
  for (guint32 i = 0; i < a->engines->len; i++)
    {
      offer_t o;

      if (!has_base (a, i, item) || !offer_make (a, i, now, &o))
        continue;
      if (best.engine == PU_ADAPTERS_NONE || is_better (a, &o, &best))
        best = o;
    }
  if (best.engine == PU_ADAPTERS_NONE || !order (a, &best, item, now))
    return PU_ADAPTERS_NONE;
  return best.engine;
}

/* --- spreading --- */

/* Whether ENGINE can be given ITEM without taking a place from one in use.  */
static bool
has_place (const pu_adapters_t *a, guint32 engine, guint32 item, guint64 now,
           offer_t *o)
{
  return has_base (a, engine, item)
         && pu_dispatcher_phase (a->dispatcher, engine, item)
                == PU_DISPATCHER_ABSENT
         && offer_make (a, engine, now, o)
         && (o->victim == PU_ADAPTERS_NONE
             || now >= o->idle_since + ACTIVE_MS);
}

/* The engine with the fewest requests that can be given ITEM, in BEST; false
   when none has so few that it pays.  */
static bool
find_relief (const pu_adapters_t *a, guint32 item, guint32 holder, guint64 now,
             offer_t *best)
{
  guint most = engine_of (a, holder)->load;
  bool found = false;

  for (guint32 i = 0; i < a->engines->len; i++)
    {
      guint load = engine_of (a, i)->load;
      offer_t o;

      if (load + SPREAD_GAP > most || !has_place (a, i, item, now, &o))
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
  guint given = 0;

  for (guint32 i = 0; i < a->adapters->len && given < SPREAD_MAX; i++)
    {
      const adapter_t *t = adapter_at (a, i);
      guint32 holder;
      offer_t best;

      if (!t->is_adapter || t->used == 0 || now >= t->used + ACTIVE_MS)
        continue;
      holder = find_holder (a, i);
      if (holder == PU_ADAPTERS_NONE || !find_relief (a, i, holder, now, &best)
          || !order (a, &best, i, now))
        continue;
      engine_of (a, best.engine)->load += SPREAD_LOAD;
      given++;
    }
}
