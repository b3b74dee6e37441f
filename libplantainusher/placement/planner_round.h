#ifndef PU_PLACEMENT_PLANNER_ROUND_H
#define PU_PLACEMENT_PLANNER_ROUND_H

#include "placement/planner_internal.h"

/*
 * planner_round - a round: one pass over the phases of a step, which are
 * listed in planner.h.  Shared by planner.c, planner_repair.c (missing
 * copies), planner_restore.c (their order by gain), planner_room.c (memory for
 * missing copies) and planner_grow.c (additional copies).
 */

typedef struct
{
  pu_planner_t *p;
  guint64 now;
  GArray *moves;
  pu_victims_t victims;
  guint32 for_item; /* item for which the loads planned now free memory;
                       PU_PLAN_NONE: none */
  /* The plan goes up to a stable placement, for which a round plans no move:
     the store's limits do not apply.  */
  bool until_stable;
  /* An item has had no ready copy for less than GROWTH_DEFERRAL_MS, and no
     load of it failed: no spare copies are planned in this round.  */
  bool any_unreachable;
  guint loads; /* number of loads ordered in this round */
  /* With restore_by_gain: the store accepts no load now.  A load that fits in
     free memory isn't planned, as it would keep the engine from others.  */
  bool only_deferred;
  /* An item for which any_unreachable is set is in demand and has no load in
     flight: no copies for demand are planned in this round.  */
  bool in_demand_not_loading;
  /* An item for which any_unreachable is set, in demand or not, has no load in
     flight: only every other load from the weights store may be for a copy for
     demand.  */
  bool any_not_loading;
} pu_round_t;

/* pu_round_load - plans a load of ITEM on ENGINE.  The load is ordered in this
   round if r->victims is empty and either the weights store accepts the load
   or the weights are cached.  Otherwise the unloads of the victims are ordered
   and the load is deferred.  */
void pu_round_load (pu_round_t *r, guint32 engine, guint32 item,
                    pu_plan_reason_t reason, double gain, double price);

/* pu_round_emit_load - appends the load of C on ENGINE to the moves and counts
   it against the limits on loads.  */
void pu_round_emit_load (pu_round_t *r, guint32 engine,
                         const pu_planned_copy_t *c);

/* pu_round_try_load - chooses an engine for ITEM and plans a load on it.
   Returns false when there is no engine for ITEM; the item is then in backoff,
   unless an engine may be available once the weights store or a loading engine
   is free.  Plans nothing if only_deferred is set and no memory has to be
   freed.  */
bool pu_round_try_load (pu_round_t *r, guint32 item, pu_eviction_t evict,
                        pu_plan_reason_t reason);

/* pu_round_may_start_urgent_load - returns whether the weights store accepts
   one more load.  */
bool pu_round_may_start_urgent_load (const pu_round_t *r);

/* pu_round_may_start_load - returns whether the weights store accepts one more
   load in addition to all deferred loads, as is required for a load that is
   not urgent.  */
bool pu_round_may_start_load (const pu_round_t *r);

/* pu_round_may_place - returns whether T is declared and not in backoff.  */
bool pu_round_may_place (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_base_is_ready - returns whether T is a model, or an adapter whose
   base model has a ready copy.  */
bool pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_start_deferred - orders deferred loads whose memory is free now,
   first the loads of items without a ready copy, and cancels deferred loads
   that timed out or are no longer needed.  If IDLE, only loads of items that
   have neither a ready copy nor demand are ordered, else only the loads of
   other items.  */
void pu_round_start_deferred (pu_round_t *r, bool idle);

/* pu_round_keep_deferred - returns whether ENGINE, a usable one, has a
   deferred load.  A deferred load that timed out or is no longer needed is
   cancelled.  */
bool pu_round_keep_deferred (pu_round_t *r, guint32 engine);

/* pu_round_deferred_fits - returns whether the memory for the deferred load of
   ENGINE is free.  Call it once a round for each deferred load: it counts the
   stalled loads.  */
bool pu_round_deferred_fits (pu_round_t *r, guint32 engine);

/* pu_round_start_deferred_on - orders the deferred load of ENGINE, for which
   memory is free now.  If loads of the same item have stalled, its other
   deferred loads are cancelled.  */
void pu_round_start_deferred_on (pu_round_t *r, guint32 engine);

/* pu_planned_load_is_ordered - returns whether a load of T is ordered or in
   progress; a deferred load doesn't count.  */
bool pu_planned_load_is_ordered (const pu_planner_t *p,
                                 const pu_planned_item_t *t);

/* pu_planned_needs_first - returns whether T needs a first copy: none is
   ready, and all its pending loads, fewer than MAX_DEFERRED_PER_ITEM, have
   stalled for lack of memory.  */
bool pu_planned_needs_first (const pu_planned_item_t *t);

/* pu_round_note_unreachable - records since when T has had no ready copy, and
   sets the flags of R that make other loads wait until T has a copy.  */
void pu_round_note_unreachable (pu_round_t *r, pu_planned_item_t *t);

/* pu_round_load_first - plans the load of the first copy of ITEM.  */
void pu_round_load_first (pu_round_t *r, guint32 item);

/* pu_round_any_engine_hot - returns whether the utilization of any engine is
   above the option hot_utilization.  */
bool pu_round_any_engine_hot (const pu_round_t *r);

/* pu_round_evacuate - frees memory for ITEM when no engine has enough for it:
   starts or continues to move the last copies of other items from one engine
   to others.  */
void pu_round_evacuate (pu_round_t *r, guint32 item);

/* pu_round_repair_in_demand, pu_round_repair_idle - phases 1 and 2 of a step:
   plan loads for items without a ready copy, then for items below their
   minimum of copies.  pu_round_repair_in_demand handles the items in demand,
   pu_round_repair_idle the other items.  */
void pu_round_repair_in_demand (pu_round_t *r);
void pu_round_repair_idle (pu_round_t *r);

/* pu_round_needs_restore - returns whether the option restore_by_gain is set
   and a declared item needs a first copy, or has fewer copies than its
   minimum.  pu_round_restore then replaces phases 1, 2 and 5.  */
bool pu_round_needs_restore (const pu_round_t *r);

/* pu_round_restore - phases 1, 2 and 5 of a step in one: plans the loads of
   first copies, of copies below the minimum and of copies for demand, in the
   order of what they save callers.  */
void pu_round_restore (pu_round_t *r);

/* A possible load of one more copy of an item, on the engine chosen for
   it.  */
typedef struct
{
  guint32 item;
  guint32 engine;
  double gain;
  double price;
  double rank; /* the scale-up with the highest rank is taken of those whose
                  gain exceeds the price */
} pu_scale_up_t;

/* pu_round_best_scale_up - returns the scale-up with the highest rank of the
   items on the MAX_HOT hottest engines.  The terms hot, gain and price are
   explained at the head of planner.h.  The rank is gain minus price,
   multiplied by demand_pressure.  The engine of the result is PU_PLAN_NONE
   when no gain exceeds its price.  */
pu_scale_up_t pu_round_best_scale_up (pu_round_t *r, guint max_hot);

/* pu_round_load_scale_up - plans the load of O, the last result of
   pu_round_best_scale_up.  Returns false, and sets the engine of O to
   PU_PLAN_NONE, when no engine can take the copy any more.  */
bool pu_round_load_scale_up (pu_round_t *r, pu_scale_up_t *o);

/* pu_round_scale_up - phase 5 of a step: plans copies whose gain exceeds their
   price.  */
void pu_round_scale_up (pu_round_t *r);

/* pu_round_fill_spare_memory - phase 6 of a step: plans copies in free
   memory.  */
void pu_round_fill_spare_memory (pu_round_t *r);

#endif
