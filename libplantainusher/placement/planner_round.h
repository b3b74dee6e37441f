#ifndef PU_PLACEMENT_PLANNER_ROUND_H
#define PU_PLACEMENT_PLANNER_ROUND_H

#include "placement/planner_internal.h"

/*
 * planner_round - one pass over the phases of a step, shared by planner.c,
 * planner_repair.c, which mends what is missing, planner_room.c, which opens
 * room for it, and planner_grow.c, which adds copies where they pay.
 */

typedef struct
{
  pu_planner_t *p;
  guint64 now;
  GArray *moves;
  pu_victims_t v;
  guint32 for_item;       /* whom loads make room for; PU_PLAN_NONE */
  bool full;              /* the store has no limits */
  bool repairing;         /* an item is unreachable: spare copies wait */
  guint loads;            /* ordered in this round */
  bool missing_in_demand; /* nothing is under way for one that is asked for:
                   growth waits */
  bool missing_any;       /* or for any: growth takes every other turn */
} pu_round_t;

/* pu_round_load - loads ITEM on ENGINE: at once when it fits and the store
   takes it, else after the copies in r->v have made room.  */
void pu_round_load (pu_round_t *r, guint32 engine, guint32 item,
                    pu_plan_reason_t reason, double gain, double price);

/* pu_round_emit_load - orders C, which is on ENGINE's list.  */
void pu_round_emit_load (pu_round_t *r, guint32 engine,
                         const pu_planned_copy_t *c);

/* pu_round_try_load - finds an engine and loads; false without room, and the
   item waits a little.  */
bool pu_round_try_load (pu_round_t *r, guint32 item, pu_room_t room,
                        pu_plan_reason_t reason);

/* pu_round_may_start_urgent_load - whether the store takes one more load.  */
bool pu_round_may_start_urgent_load (const pu_round_t *r);

/* pu_round_may_start_load - whether the store takes one more load that is not
   urgent.  */
bool pu_round_may_start_load (const pu_round_t *r);

/* pu_round_may_place - whether T is declared and not held back.  */
bool pu_round_may_place (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_base_is_ready - whether any engine holds the base of an adapter, so
   that a try makes sense.  */
bool pu_round_base_is_ready (const pu_round_t *r, const pu_planned_item_t *t);

/* pu_round_start_deferred - loads what was promised where the room has become
   free, the unreachable first.  */
void pu_round_start_deferred (pu_round_t *r, bool idle);

/* pu_round_any_engine_hot - whether an engine has more to do than it can do in
 * time.
 */
bool pu_round_any_engine_hot (const pu_round_t *r);

/* pu_round_evacuate - begins or goes on to move a last copy elsewhere, so
   that ITEM, which found no room, may have its place.  */
void pu_round_evacuate (pu_round_t *r, guint32 item);

/* pu_round_repair_in_demand, pu_round_repair_idle - phases 1 and 2: what is
   unreachable, then what is below its minimum; of what callers ask for, and of
   the rest.  */
void pu_round_repair_in_demand (pu_round_t *r);
void pu_round_repair_idle (pu_round_t *r);

/* pu_round_scale_up - phase 5: copies whose gain exceeds their price.  */
void pu_round_scale_up (pu_round_t *r);

/* pu_round_fill_spare_memory - phase 6: copies in free memory.  */
void pu_round_fill_spare_memory (pu_round_t *r);

#endif
