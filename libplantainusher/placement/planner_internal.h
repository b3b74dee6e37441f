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
 *   planner_restore.c order of these loads and of copies for demand by gain
 *   planner_room.c    moves last copies to other engines to free memory for an
 *                     item without a ready copy
 *   planner_grow.c    copies for demand and in spare memory
 *   planner_explain.c texts that explain placements and moves
 *
 * The terms, such as item, stream and deferred, are explained in planner.h.
 * Times are in milliseconds of the calling code's clock.
 */

typedef struct
{
  pu_plan_copy_t c;
  pu_plan_reason_t reason;
  guint64 since;    /* when the copy entered its phase */
  guint32 for_item; /* with PU_REASON_MAKE_ROOM: the item that needs the
                       memory */
  double gain;      /* gain of the load, in late stream-seconds */
  double price;     /* price of the load, in late stream-seconds */
  double share;     /* streams of the item's demand assigned to this copy */
  bool deferred;    /* the load is not ordered yet: it waits for memory or the
                       store */
  /* The copy, the last ready one, is being unloaded for an item with more
     demand, and the order may be repeated until this time; 0: it is not.  */
  guint64 yields_until;
} pu_planned_copy_t;

/* No load of ITEM is planned on the engine before UNTIL.  */
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
  guint32 for_adapters_mb; /* free memory reserved for adapters of the engine's
                              base models */
  double streams;
  GArray *copies;       /* of pu_planned_copy_t */
  GArray *blocks;       /* of pu_load_block_t; a step removes expired ones */
  GHashTable *cached;   /* set of items whose weights are cached on the
                           engine's disk or in its host's memory; NULL: none */
  guint models_loading; /* loads of models in flight; loads of adapters do not
                           count */
  double load;          /* expected demand on the engine, in streams */
  double weighted_load; /* sum of each item's expected demand times its
                           importance, in streams */
  bool deferred; /* deferred_load is valid: it waits for memory or the store */
  pu_planned_copy_t deferred_load;
  guint64 deferred_until;
} pu_planned_engine_t;

typedef struct
{
  guint32 engine;
  guint slot; /* index in the engine's copies */
} pu_copy_location_t;

typedef struct
{
  bool declared;
  pu_plan_item_t i; /* i.name is owned by this struct */
  bool rolled_back;
  /* Failed loads since the last success or change of version.  */
  guint failures;
  guint64 new_ready_since;   /* when the new version became ready while an
                                older one has copies; 0: not yet */
  guint64 unreachable_since; /* when the item was found without a ready copy;
                                0: the item has one */
  /* With restore_by_gain: when the item was last in demand, and since when it
     has been requested while no load of it was ordered; 0: it is not.  */
  guint64 in_demand_at;
  guint64 waits_since;
  guint64 not_before; /* no load of the item is planned earlier: backoff after
                         a failure, or after no engine had memory */
  guint64 spare_not_before; /* no spare copy is planned earlier: backoff after
                               no engine was found for one */
  /* Engine from which last copies are moved to other engines, to free memory
     for this item.  */
  guint32 evacuated_engine;
  guint64 evacuated_until; /* deadline for moving these copies; 0: no move in
                              progress */
  bool no_room;            /* the last attempt to place a copy found no
                              engine */
  pu_forecast_t forecast;
  /* Stream time of the requests for the item, and the same weighted by their
     urgency, in milliseconds; both decay.  */
  double urgency_ms;
  double urgency_weighted_ms;
  double urgency; /* of the item's requests, relative to those of all items; 1:
                     not known, or place_by_urgency is not set */
  GArray *locations;   /* of pu_copy_location_t: copies on usable engines */
  GArray *adapters;    /* of guint32: handles of the adapters of this base
                          model */
  guint ready;         /* number of ready copies */
  guint pending_loads; /* number of loads ordered, in progress or deferred */
  /* Deferred loads that have waited for memory for at least STALLED_LOAD_MS
     and still do; counted only while the item has no ready copy.  */
  guint stalled_loads;
  guint copies_before_change; /* number of ready copies when a version change
                                 began, at least 1; 0: no change in progress */
} pu_planned_item_t;

struct pu_planner
{
  pu_planner_options_t o;
  GArray *engines; /* of pu_planned_engine_t */
  GArray *items;   /* of pu_planned_item_t */
  guint64 last_forecast_ms;
  guint64 step_ms;       /* time of the current step */
  guint64 first_step_ms; /* time of the first step; 0: none yet */
  guint forced_loads;    /* with restore_by_gain: loads in succession for a
                            deadline, before others that save more */
  pu_forecast_request_stats_t request_stats;
  guint store_loads; /* loads from the weights store in flight, of all items */
  guint load_slots;  /* loads from the weights store that may still be
                        ordered */
  /* The last load from the weights store was ordered for a copy for demand,
     not for an item with neither a ready copy nor demand.  */
  bool last_slot_for_demand;
  bool any_cached; /* an engine has or had cached weights */
  /* No load may use the weights store now: only engines on which the item's
     weights are cached are chosen.  */
  bool cached_only;
  /* No load may be planned now that waits for memory, unless the item's
     weights are cached on the engine.  */
  bool free_only;
  /* The last pu_planner_choose found enough free memory only on engines that
     are loading.  */
  bool only_loading_engines_fit;
  bool overcommitted; /* the engines cannot hold a copy of each model */
  guint64 overcommitted_since; /* 0: they can */
  bool last_copies_yield; /* overcommitted for so long that it is no effect of
                             engines that have not reported yet */
  guint deferred_loads;   /* number of deferred loads, of all items */
  bool ignore_adapters;   /* pu_planned_need_mb leaves out the memory for the
                             adapters of a base model */
  /* By engine handle; equals item_stamp if the engine holds the item and
     version of the last pu_planner_mark_item.  */
  guint32 *holder_stamp;
  double *scratch_load;  /* scratch array by copy of an item: load of the
                            copy's engine without this item, in streams */
  double *scratch_share; /* scratch array by copy of an item: demand assigned
                            to the copy, in streams */
  guint n_holder_stamp;
  guint n_scratch; /* length of scratch_load and of scratch_share */
  guint32 item_stamp;
  guint *zone_copies; /* scratch array by zone: number of copies of the item of
                         the last pu_planner_mark_item */
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

/* Returns the weight of T's late streams.  */
static inline double
pu_planned_weight (const pu_planned_item_t *t)
{
  return t->i.importance * t->urgency;
}

/* Expected demand, in streams, above which an item counts as in demand; it is
   less than one request in several seconds.  */
#define PU_DEMAND_MIN_STREAMS 0.01

/* Whether T is in demand: its expected demand is above
   PU_DEMAND_MIN_STREAMS.  */
static inline bool
pu_planned_in_demand (const pu_planned_item_t *t)
{
  return t->forecast.expected > PU_DEMAND_MIN_STREAMS;
}

/* Returns the version that T should have: the declared one, or the previous
   one after a roll-back.  */
guint32 pu_planned_version (const pu_planned_item_t *t);

/* pu_planner_rebuild_index - finds the copies of each item on the usable
   engines, counts them by phase, and removes expired load blocks
   (pu_load_block_t), which are temporary bans on loading an item on an
   engine.  */
void pu_planner_rebuild_index (pu_planner_t *p, guint64 now);

/* pu_planner_note_capacity - ends the yielding of last copies when the engines
   may hold a copy of each declared model again.  Call it when an engine or a
   declaration changed: moves of the last step are sent after the change.  */
void pu_planner_note_capacity (pu_planner_t *p);

/* pu_planner_reserve_for_adapters - reserves memory on ENGINE, which has or
   will have a copy of the base model ITEM, for those adapters of ITEM that
   have no copy.  */
void pu_planner_reserve_for_adapters (pu_planner_t *p, guint32 engine,
                                      guint32 item);

/* pu_planner_update_urgency - ends a period of PERIOD_S seconds of
   pu_planner_add_urgency and computes the urgency of each item: the mean
   weight of its requests divided by that of all requests, so that the weight
   of all late streams together, and with it the number of moves, stays as it
   is.  */
void pu_planner_update_urgency (pu_planner_t *p, double period_s);

/* pu_planner_spread_demand - distributes the expected demand of each item over
   its copies, so that the engines that hold them have the same utilization as
   far as possible.  */
void pu_planner_spread_demand (pu_planner_t *p);

/* pu_planner_spread_item_demand - distributes the expected demand of ITEM
   alone over its copies, as pu_planner_spread_demand does.  */
void pu_planner_spread_item_demand (pu_planner_t *p, guint32 item);

/* pu_planner_gain - returns the late streams that one more copy of ITEM on
   ENGINE would save.  The demand for an adapter of ITEM that has as many
   copies as ITEM counts too, as it can spread to the new copy.  */
double pu_planner_gain (pu_planner_t *p, guint32 item, guint32 engine);

/* pu_planner_copy_gain - returns the late streams that the copy of ITEM on
   ENGINE saves, or will save when it is loaded.  */
double pu_planner_copy_gain (pu_planner_t *p, guint32 item, guint32 engine);

/* pu_planner_lost_streams - returns the expected demand for ITEM, and for its
   adapters without a ready copy, in late streams: what is lost while ITEM has
   no copy.  */
double pu_planner_lost_streams (const pu_planner_t *p, guint32 item);

/* pu_planner_eviction_loss - returns the late streams that the removal of the
   copy of ITEM at PLACE, and of its adapters on the same engine, would cost at
   the forecast's peak demand.  WITH_BASE: ITEM is an adapter that is removed
   along with its base, whose loss already includes the demand for ITEM.  */
double pu_planner_eviction_loss (pu_planner_t *p, guint32 item,
                                 pu_copy_location_t place, bool with_base);

/* The copies to evict on one engine, the victims.  A late stream is defined in
   planner.h.  */
typedef struct
{
  GArray *slots;          /* of guint: indices in the engine's copies */
  double loss;            /* late streams that the evictions cost */
  guint n_below_min_stay; /* number of victims that have been ready for less
                             than min_stay_s */
} pu_victims_t;

/* Which copies a load may evict.  */
typedef enum
{
  PU_EVICT_NONE,          /* none: only free memory is used */
  PU_EVICT_ABOVE_MINIMUM, /* copies that their item has above its minimum */
  PU_EVICT_TO_LAST,       /* all copies but the last ready one of an item */
  PU_EVICT_IDLE_LAST      /* the same, and last copies with little demand */
} pu_eviction_t;

/* pu_planner_eviction - returns EVICT, or PU_EVICT_IDLE_LAST in its place
   while last copies yield.  */
static inline pu_eviction_t
pu_planner_eviction (const pu_planner_t *p, pu_eviction_t evict)
{
  return p->last_copies_yield ? PU_EVICT_IDLE_LAST : evict;
}

/* pu_planner_choose - returns the engine for a copy of VERSION of ITEM, or
   PU_PLAN_NONE.  Sets V to the copies to evict on that engine; V is empty when
   the new copy fits in free memory.  */
guint32 pu_planner_choose (pu_planner_t *p, guint32 item, guint32 version,
                           pu_eviction_t evict, guint64 now, pu_victims_t *v);

/* pu_planner_victims - fills V with the copies on ENGINE to evict for ITEM,
   those with the least loss per MB first.  Returns false when these evictions
   do not free enough memory.  */
bool pu_planner_victims (pu_planner_t *p, guint32 engine, guint32 item,
                         pu_eviction_t evict, guint64 now, pu_victims_t *v);

/* pu_planner_mark_item - marks the engines that hold VERSION of ITEM in
   holder_stamp, and counts the copies of ITEM by zone in zone_copies.  */
void pu_planner_mark_item (pu_planner_t *p, guint32 item, guint32 version);

/* pu_planner_can_hold - returns whether ENGINE can take a copy of ITEM once
   enough of its memory is free.  Call pu_planner_mark_item for the item and
   version first.  */
bool pu_planner_can_hold (const pu_planner_t *p, guint32 engine, guint32 item);

/* pu_planner_bundle - fills SLOTS with the copies that are unloaded together
   with the copy in SLOT of ENGINE: first its adapters on ENGINE, then the copy
   itself.  ITEM is the item that needs the memory, or PU_PLAN_NONE.  Returns
   false when one of the copies must not be unloaded.  */
bool pu_planner_bundle (const pu_planner_t *p, guint32 engine, guint slot,
                        guint32 item, pu_eviction_t evict, GArray *slots);

/* Returns the free memory that a copy of T needs, in MB.  For a base model,
   memory for its adapters is included unless ignore_adapters is set; it is set
   when no engine has enough memory with the adapters included.  */
guint32 pu_planned_need_mb (const pu_planner_t *p, const pu_planned_item_t *t);

/* Returns the memory of E that is not committed, in MB on each
   accelerator.  */
guint32 pu_planned_free_mb (const pu_planned_engine_t *e);

/* Returns the free memory of E that a new copy of T may use, in MB.  Memory
   reserved for adapters is included only if T is an adapter without a ready
   copy.  */
guint32 pu_planned_usable_mb (const pu_planned_engine_t *e,
                              const pu_planned_item_t *t);

#endif
