#ifndef PU_PLACEMENT_PLANNER_ROUND_H
#define PU_PLACEMENT_PLANNER_ROUND_H

#include "placement/planner_internal.h"

/*
 * planner_round - one pass over the phases of a step, shared by planner.c,
 * which repairs, and planner_grow.c, which adds copies where they pay.
 */

typedef struct
{
  pu_planner_t *p;
  guint64 now;
  GArray *moves;
  pu_victims_t v;
  bool full; /* the store has no limits */
} pu_round_t;

/* pu_round_load - loads ITEM on ENGINE: at once when it fits, else after the
   copies in r->v have made room.  */
void pu_round_load (pu_round_t *r, guint32 engine, guint32 item,
                    pu_plan_reason_t reason, double gain, double price);

/* pu_round_store_takes - whether the store takes one more load that is not
   urgent.  */
bool pu_round_store_takes (const pu_round_t *r);

/* pu_round_may_try - whether T is declared and not held back.  */
bool pu_round_may_try (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_base_is_ready - whether any engine holds the base of an adapter, so
   that a try makes sense.  */
bool pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_follow_demand - phase 5: copies whose gain exceeds their price.  */
void pu_round_follow_demand (pu_round_t *r);

/* pu_round_use_spare - phase 6: copies in free memory.  */
void pu_round_use_spare (pu_round_t *r);

#endif
