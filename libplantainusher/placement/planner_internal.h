#ifndef PU_PLACEMENT_PLANNER_INTERNAL_H
#define PU_PLACEMENT_PLANNER_INTERNAL_H

#include "placement/planner.h"

/*
 * planner_internal - the planner's tables, shared by its files only:
 *   planner_tables.c  input and queries
 *   planner_load.c    index of copies, distribution of demand over copies,
 *                     cost of overload
 *   planner_choose.c  choice of an engine for a load, and of eviction victims
 *   planner.c         phases of a step, plan up to a stable placement
 *   planner_repair.c  loads for items without a ready copy or below their
 *                     minimum, deferred loads
 *   planner_room.c    moves last copies to other engines to free memory for an
 *                     item without a ready copy
 *   planner_grow.c    copies for demand and in spare memory
 *   planner_explain.c messages
 *
 * Times are in milliseconds of the caller's clock.
 */

typedef struct
{
  pu_plan_copy_t c;
  pu_plan_reason_t reason;
  guint64 since;    /* when it entered its phase */
  guint32 for_item; /* PU_REASON_MAKE_ROOM: the item that needs the memory */
  double gain;      /* of the move that loaded it, late stream-seconds */
  double price;     /* of that move, late stream-seconds */
  double share;     /* streams of its item's demand assigned to it */
  bool deferred;    /* not ordered yet: waits for memory or the store */
} pu_planned_copy_t;

/* Excludes loads of ITEM on an engine before UNTIL.  */
typedef struct
{
  guint32 item;
  guint64 until;
} pu_load_block_t;

typedef struct
{
  bool known;
  bool usable;
  bool loads_suspended;
  guint32 zone;
  guint32 accelerators;
  guint32 memory_mb;
  guint32 committed_mb;
  guint32 for_adapters_mb; /* free, but reserved for adapters of bases on it */
  double streams;
  GArray *copies;       /* of pu_planned_copy_t */
  GArray *blocks;       /* of pu_load_block_t; expired ones are dropped */
  GHashTable *cached;   /* set of items whose weights are cached locally; NULL:
                          none */
  guint models_loading; /* loads of models in flight; adapters not counted */
  double load;          /* expected demand, streams */
  double weighted_load; /* expected demand times importance, streams */
  bool deferred; /* a load is deferred until memory or the store is free */
  pu_planned_copy_t deferred_load;
  guint64 deferred_until;
} pu_planned_engine_t;

typedef struct
{
  guint32 engine;
  guint slot; /* in the engine's copies */
} pu_copy_location_t;

typedef struct
{
  bool declared;
  pu_plan_item_t i; /* its name is owned */
  bool rolled_back;
  /* Failed loads since the last success or change of version.  */
  guint failures;
  guint64 new_ready_since;   /* when the new version became ready beside an
                                older one; 0: not yet */
  guint64 unreachable_since; /* when it was found without a ready copy; 0: has
                                one */
  guint64 not_before; /* no load earlier: backoff after a failure, or after
                         no engine had memory */
  guint64 spare_not_before; /* no spare copy earlier: backoff after no engine
                          was found for one */
  /* Engine whose last copies are moved to others to free memory for it.  */
  guint32 evacuated_engine;
  guint64 evacuated_until; /* deadline of the move; 0: none in progress */
  bool no_room;            /* the last attempt found no engine */
  pu_forecast_t forecast;
  GArray *locations;   /* of pu_copy_location_t: copies on usable engines */
  GArray *adapters;    /* of guint32: the items whose base it is */
  guint ready;         /* copies */
  guint pending_loads; /* ordered, loading or deferred */
  /* Pending loads deferred for at least STALLED_LOAD_MS, with the memory still
     not free; counted while ready is 0.  */
  guint stalled_loads;
  guint copies_before_change; /* ready when a version change began, at least 1;
                          0: no change in progress */
} pu_planned_item_t;

struct pu_planner
{
  pu_planner_options_t o;
  GArray *engines; /* of pu_planned_engine_t */
  GArray *items;   /* of pu_planned_item_t */
  guint64 last_forecast_ms;
  pu_forecast_request_stats_t request_stats;
  guint store_loads; /* loads from the store in flight, all items */
  guint load_slots;  /* loads from the store that may still be ordered */
  /* The last load slot went to a copy for demand, not to an unreachable item
     without demand.  */
  bool last_slot_for_demand;
  bool any_cached; /* an engine has or had cached weights */
  /* The store accepts no load: only engines with cached weights are chosen. */
  bool cached_only;
  /* The last pu_planner_choose found free memory only on engines that are
     loading.  */
  bool only_loading_engines_fit;
  guint deferred_loads; /* deferred loads, all items */
  bool ignore_adapters; /* pu_planned_need_mb leaves out the adapters of a base
                           model */
  guint32 *holder_stamp; /* by engine: equals item_stamp if the engine holds
                            the marked item */
  double *scratch_load;  /* scratch by copy: engine load without the item */
  double *scratch_share; /* scratch by copy: the item's share */
  guint n_holder_stamp;
  guint n_scratch; /* length of the scratch arrays by copy */
  guint32 item_stamp;
  guint *zone_copies; /* scratch by zone: copies of the marked item */
  guint n_zones;
};

static inline pu_planned_engine_t *
pu_planned_engine (const pu_planner_t *p, guint32 engine)
{
  return &g_array_index (p->engines, pu_planned_engine_t, engine);
}

static inline pu_planned_item_t *
pu_planned_item (const pu_planner_t *p, guint32 item)
{
  return &g_array_index (p->items, pu_planned_item_t, item);
}

static inline pu_planned_copy_t *
pu_planned_copy (const pu_planned_engine_t *e, guint slot)
{
  return &g_array_index (e->copies, pu_planned_copy_t, slot);
}

static inline pu_copy_location_t
pu_item_location (const pu_planned_item_t *t, guint i)
{
  return g_array_index (t->locations, pu_copy_location_t, i);
}

static inline bool
pu_planned_is_cached (const pu_planned_engine_t *e, guint32 item)
{
  return e->cached != NULL
         && g_hash_table_contains (e->cached, GUINT_TO_POINTER (item));
}

/* Expected demand above which an item counts as in demand, in streams; it is
   less than one request in several seconds.  */
#define PU_DEMAND_MIN_STREAMS 0.01

/* Whether there is demand for T.  */
static inline bool
pu_planned_in_demand (const pu_planned_item_t *t)
{
  return t->forecast.expected > PU_DEMAND_MIN_STREAMS;
}

/* Returns the version that T should have: the declared one, or the previous
   one after a roll-back.  */
guint32 pu_planned_version (const pu_planned_item_t *t);

/* pu_planner_rebuild_index - rebuilds the locations and counts of copies and
   drops expired blocks.  */
void pu_planner_rebuild_index (pu_planner_t *p, guint64 now);

/* pu_planner_reserve_for_adapters - reserves memory on ENGINE, which has or
   will have the base ITEM, for adapters of ITEM that have no copy.  */
void pu_planner_reserve_for_adapters (pu_planner_t *p, guint32 engine,
                                      guint32 item);

/* pu_planner_spread_demand - distributes the expected demand of each item over
   its copies, so that the utilization of their engines is level.  */
void pu_planner_spread_demand (pu_planner_t *p);

/* pu_planner_spread_item_demand - does the same for ITEM alone.  */
void pu_planner_spread_item_demand (pu_planner_t *p, guint32 item);

/* pu_planner_gain - returns the late streams that one more copy of ITEM on
   ENGINE would save.  The demand of an adapter that has as many copies as its
   base counts too, as it can spread to the new copy.  */
double pu_planner_gain (pu_planner_t *p, guint32 item, guint32 engine);

/* pu_planner_eviction_loss - returns the late streams that the removal of the
   copy of ITEM at PLACE, with its adapters there, would cost at the forecast's
   peak demand.  WITH_BASE: ITEM is an adapter that is removed along with its
   base, whose loss already includes its demand.  */
double pu_planner_eviction_loss (pu_planner_t *p, guint32 item,
                                 pu_copy_location_t place, bool with_base);

/* Copies on one engine to evict.  A late stream is defined in planner.h.  */
typedef struct
{
  GArray *slots;          /* of guint */
  double loss;            /* late streams */
  guint n_below_min_stay; /* victims below their minimum stay */
} pu_victims_t;

/* Which copies a load may evict.  */
typedef enum
{
  PU_EVICT_NONE,          /* none: only free memory is used */
  PU_EVICT_ABOVE_MINIMUM, /* copies above their item's minimum */
  PU_EVICT_TO_LAST        /* all but the last ready copy of an item */
} pu_eviction_t;

/* pu_planner_choose - returns the engine for a copy of VERSION of ITEM, or
   PU_PLAN_NONE.  Sets V to the copies to evict there, empty when it fits in
   free memory.  */
guint32 pu_planner_choose (pu_planner_t *p, guint32 item, guint32 version,
                           pu_eviction_t evict, guint64 now, pu_victims_t *v);

/* pu_planner_victims - fills V with the copies on ENGINE to evict for ITEM,
   chosen in order of loss per MB.  Returns false when they do not free enough
   memory.  */
bool pu_planner_victims (pu_planner_t *p, guint32 engine, guint32 item,
                         pu_eviction_t evict, guint64 now, pu_victims_t *v);

/* pu_planner_mark_item - marks the engines that hold VERSION of ITEM, and
   counts the copies of ITEM by zone.  */
void pu_planner_mark_item (pu_planner_t *p, guint32 item, guint32 version);

/* pu_planner_can_hold - returns whether ENGINE can take a copy of ITEM once
   memory is free there.  Call pu_planner_mark_item for the item and version
   first.  */
bool pu_planner_can_hold (const pu_planner_t *p, guint32 engine, guint32 item);

/* pu_planner_bundle - fills SLOTS with the copies to unload along with the
   copy in SLOT of ENGINE: its adapters there, then the copy.  Returns false
   when one of them must not be unloaded for ITEM; PU_PLAN_NONE: for no
   particular item.  */
bool pu_planner_bundle (const pu_planner_t *p, guint32 engine, guint slot,
                        guint32 item, pu_eviction_t evict, GArray *slots);

/* Returns the free memory that a copy of T needs, in MB.  For a base model,
   memory for its adapters is included unless ignore_adapters is set, as it is
   for an item that has no room otherwise.  */
guint32 pu_planned_need_mb (const pu_planner_t *p, const pu_planned_item_t *t);

/* Returns the free memory of E, in MB.  */
guint32 pu_planned_free_mb (const pu_planned_engine_t *e);

/* Returns the free memory of E that a new copy of T may use, in MB.  Memory
   reserved for adapters counts only for an adapter without a ready copy.  */
guint32 pu_planned_usable_mb (const pu_planned_engine_t *e,
                              const pu_planned_item_t *t);

#endif
