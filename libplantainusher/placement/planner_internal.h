#ifndef PU_PLACEMENT_PLANNER_INTERNAL_H
#define PU_PLACEMENT_PLANNER_INTERNAL_H

#include "placement/planner.h"

/*
 * planner_internal - the tables of the planner, shared by its files only:
 *   planner_tables.c  what comes in, and what can be asked
 *   planner_load.c    index of copies, spread of demand, cost of a crowd
 *   planner_choose.c  which engine, and who makes room
 *   planner.c         the phases of a step, the full plan
 *   planner_repair.c  unreachable items first, kept promises
 *   planner_room.c    moves a last copy away, for an unreachable item
 *   planner_grow.c    copies for demand and in spare memory
 *   planner_explain.c texts
 */

typedef struct
{
  pu_plan_copy_t c;
  pu_plan_reason_t reason;
  guint64 since;    /* when it came to its phase */
  guint32 for_item; /* PU_REASON_MAKE_ROOM: whom it makes room for */
  double gain;      /* of the move that brought it */
  double price;
  double share;  /* streams of its item's demand that come to it */
  bool promised; /* not ordered yet: waits for room */
} pu_planned_copy_t;

/* No load of ITEM on an engine before UNTIL.  */
typedef struct
{
  guint32 item;
  guint64 until;
} pu_block_t;

typedef struct
{
  bool known;
  bool usable;
  bool closed;
  guint32 zone;
  guint32 accelerators;
  guint32 memory_mb;
  guint32 committed_mb;
  guint32 held_mb; /* free, but for adapters of bases that are on it */
  double streams;
  GArray *copies;    /* of pu_planned_copy_t */
  GArray *blocks;    /* of pu_block_t; those that are over are dropped */
  GHashTable *quick; /* set of items that it need not get from the store; NULL:
                        none */
  guint loading;     /* models on their way to it, adapters not counted */
  double load;       /* streams expected on it */
  double weight;     /* the same, times importance */
  bool promised;     /* room is being made for `promise` */
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
  guint failures;
  guint64 first_ready; /* of the declared version beside an older one; 0 */
  guint64 lost_since;  /* when its last ready copy was missed; 0: has one */
  guint64 not_before;  /* no load before, after a failure or a try in vain */
  guint64 spare_not_before; /* no spare copy before, after a try in vain */
  guint32 evacuated_engine; /* where room is being opened for it, */
  guint64 evacuated_until;  /* and until when; 0: nowhere */
  bool no_room;             /* the last try found no engine */
  pu_forecast_t forecast;
  GArray *places;   /* of pu_copy_location_t: copies on usable engines */
  GArray *adapters; /* of guint32: items whose base this is */
  guint ready;
  guint coming; /* ordered, loading or promised */
  guint slow;   /* of them, promised long ago, while ready is 0 */
  guint copies_before_change; /* ready when a version change began; 0: none */
} pu_planned_item_t;

struct pu_planner
{
  pu_planner_options_t o;
  GArray *engines; /* of pu_planned_engine_t */
  GArray *items;   /* of pu_planned_item_t */
  guint64 last_advance;
  pu_forecast_request_stats_t common;
  guint coming;     /* loads under way from the store, all items */
  guint store;      /* loads that it lets begin now */
  bool grew;        /* the last turn of the store went to demand */
  bool any_cached;  /* an engine has something that needs no store */
  bool cached_only; /* it takes no more: only what it need not give */
  bool only_loading_engines_fit; /* the last choice: none yet, but engines that
                                    load now */
  guint promised;                /* loads that wait for room, all items */
  bool ignore_adapters; /* a base needs no room for its adapters beside it */
  guint32 *mark;        /* by engine: stamp of the item that it holds */
  double *other;        /* scratch by place: load without the item */
  double *filled;       /* scratch by place: the item's share */
  guint n_mark;
  guint n_places; /* of other and filled */
  guint32 stamp;
  guint *zone_copies; /* scratch by zone */
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
  return g_array_index (t->places, pu_copy_location_t, i);
}

static inline bool
pu_planned_quick (const pu_planned_engine_t *e, guint32 item)
{
  return e->quick != NULL
         && g_hash_table_contains (e->quick, GUINT_TO_POINTER (item));
}

/* Streams expected of an item that is asked for: less than one request in some
   seconds.  */
#define PU_ASKED_STREAMS 0.01

/* Whether callers ask for T now.  */
static inline bool
pu_planned_in_demand (const pu_planned_item_t *t)
{
  return t->forecast.expected > PU_ASKED_STREAMS;
}

/* The version that the item should have now: the declared one, or after a
   roll-back the one before.  */
guint32 pu_planned_version (const pu_planned_item_t *t);

/* pu_planner_index - rebuilds places, counts and scratch.  */
void pu_planner_index (pu_planner_t *p, guint64 now);

/* pu_planner_hold - holds memory on ENGINE, where the base ITEM is to be, for
   its adapters that have no copy.  */
void pu_planner_hold (pu_planner_t *p, guint32 engine, guint32 item);

/* pu_planner_spread - spreads the expected demand of each item over its
   copies, the less used engines first.  */
void pu_planner_spread (pu_planner_t *p);

/* pu_planner_spread_item_demand - the same for one item.  */
void pu_planner_spread_item_demand (pu_planner_t *p, guint32 item);

/* pu_planner_gain - late streams that one more copy of ITEM on ENGINE would
   save, its adapters' demand going with it.  */
double pu_planner_gain (pu_planner_t *p, guint32 item, guint32 engine);

/* pu_planner_loss - late streams that ITEM without its copy in PLACE, and
   without the adapters beside it, would cost, for the demand held in memory.
   LED: an adapter that goes with its base, which counts its demand.  */
double pu_planner_loss (pu_planner_t *p, guint32 item,
                        pu_copy_location_t place, bool led);

/* Who makes room on an engine.  */
typedef struct
{
  GArray *slots; /* of guint */
  double loss;   /* late streams */
  guint n_young; /* of them, have not stayed long */
} pu_victims_t;

/* How far a load may push others.  */
typedef enum
{
  PU_EVICT_NONE,          /* only free memory */
  PU_EVICT_ABOVE_MINIMUM, /* copies above the minimum */
  PU_EVICT_TO_LAST        /* down to one ready copy */
} pu_room_t;

/* pu_planner_choose - the engine for a copy of VERSION of ITEM, or
   PU_PLAN_NONE.  V is filled with those who make room (empty: it fits).  */
guint32 pu_planner_choose (pu_planner_t *p, guint32 item, guint32 version,
                           pu_room_t room, guint64 now, pu_victims_t *v);

/* pu_planner_victims - fills V with the copies on ENGINE that make room for
   ITEM at the least loss.  False when there is no way.  */
bool pu_planner_victims (pu_planner_t *p, guint32 engine, guint32 item,
                         pu_room_t room, guint64 now, pu_victims_t *v);

/* pu_planner_can_hold - whether ENGINE may take VERSION of ITEM, memory
   aside.  pu_planner_mark_item must have been called for the item.  */
bool pu_planner_can_hold (const pu_planner_t *p, guint32 engine, guint32 item);
void pu_planner_mark_item (pu_planner_t *p, guint32 item, guint32 version);

/* pu_planner_bundle - fills SLOTS with what goes with the copy in SLOT of
   ENGINE: its adapters there, then itself.  False when one of them may not
   go to make room for ITEM (PU_PLAN_NONE: for none).  */
bool pu_planner_bundle (const pu_planner_t *p, guint32 engine, guint slot,
                        guint32 item, pu_room_t room, GArray *slots);

/* MB that a copy of T should find free: a base's adapters go with it.  */
guint32 pu_planned_need (const pu_planner_t *p, const pu_planned_item_t *t);

/* MB that are free on E now.  */
guint32 pu_planned_free_mb (const pu_planned_engine_t *e);

/* MB that a new copy of T may take on E now.  */
guint32 pu_planned_room (const pu_planned_engine_t *e,
                         const pu_planned_item_t *t);

#endif
