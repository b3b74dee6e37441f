#ifndef PU_PLACEMENT_PLANNER_ROUND_H
#define PU_PLACEMENT_PLANNER_ROUND_H

#include "placement/planner_internal.h"

/*
 * planner_round - one pass over the phases of a step.  Shared by planner.c,
 * planner_repair.c (missing copies), planner_room.c (memory for them) and
 * planner_grow.c (additional copies).
 */

typedef struct
{
  pu_planner_t *p;
  guint64 now;
  GArray *moves;
  pu_victims_t victims;
  guint32 for_item; /* the item that loads free memory for; PU_PLAN_NONE */
  /* Plans up to a stable placement: the store's limits do not apply.  */
  bool until_stable;
  /* An item has had no ready copy for less than GROWTH_DEFERRAL_MS, and no
     load of it failed: spare copies wait.  */
  bool any_unreachable;
  guint loads; /* ordered in this round */
  /* An item for which any_unreachable is set is in demand and has no load in
     flight: copies for demand wait.  */
  bool in_demand_not_loading;
  /* An item for which any_unreachable is set, in demand or not, has no load in
     flight: copies for demand get every other load slot.  */
  bool any_not_loading;
} pu_round_t;

/* pu_round_load - plans a load of ITEM on ENGINE.  The load is ordered now if
   r->victims is empty, and the store accepts it or the weights are cached.
   Otherwise unloads of the victims are ordered and the load is deferred.  */
void pu_round_load (pu_round_t *r, guint32 engine, guint32 item,
                    pu_plan_reason_t reason, double gain, double price);

/* pu_round_emit_load - orders the load of C on ENGINE.  */
void pu_round_emit_load (pu_round_t *r, guint32 engine,
                         const pu_planned_copy_t *c);

/* pu_round_try_load - chooses an engine for ITEM and plans a load there.
   Returns false when there is none; the item is then in backoff, unless an
   engine may be available once the store or a loading engine is free.  */
bool pu_round_try_load (pu_round_t *r, guint32 item, pu_eviction_t evict,
                        pu_plan_reason_t reason);

/* pu_round_may_start_urgent_load - returns whether the store accepts one more
   load.  */
bool pu_round_may_start_urgent_load (const pu_round_t *r);

/* pu_round_may_start_load - returns whether the store accepts one more load
   that is not urgent, beside all deferred loads.  */
bool pu_round_may_start_load (const pu_round_t *r);

/* pu_round_may_place - returns whether T is declared and not in backoff.  */
bool pu_round_may_place (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_base_is_ready - returns whether T is a model, or an adapter whose
   base has a ready copy that the adapter can be loaded beside.  */
bool pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_start_deferred - orders deferred loads whose memory is free now,
   those of items without a ready copy first, and cancels those that timed out
   or are no longer needed.  IDLE: orders only those of items that have neither
   a ready copy nor demand, else all others.  */
void pu_round_start_deferred (pu_round_t *r, bool idle);

/* pu_round_any_engine_hot - returns whether the utilization of any engine is
   above the option hot_utilization.  */
bool pu_round_any_engine_hot (const pu_round_t *r);

/* pu_round_evacuate - starts or continues to move last copies from one engine
   to others, to free memory for ITEM, which no engine has memory for.  */
void pu_round_evacuate (pu_round_t *r, guint32 item);

/* pu_round_repair_in_demand, pu_round_repair_idle - phases 1 and 2: plan loads
   for items without a ready copy, then for those below their minimum of
   copies.  The first handles the items in demand, the second the others.  */
void pu_round_repair_in_demand (pu_round_t *r);
void pu_round_repair_idle (pu_round_t *r);

/* pu_round_scale_up - phase 5: plans copies whose gain exceeds their
   price.  */
void pu_round_scale_up (pu_round_t *r);

/* pu_round_fill_spare_memory - phase 6: plans copies in free memory.  */
void pu_round_fill_spare_memory (pu_round_t *r);

#endif
