#ifndef PU_PLACER_PRIVATE_H
#define PU_PLACER_PRIVATE_H

#include "placer/order_sender.h"
#include "placer/placer.h"
#include "placer/sync.h"

G_BEGIN_DECLS

/* Declarations shared by placer.c and status.c.  */

#define PU_PLACER_PART "placer"

/* A RESERVE that was proposed and not answered yet.  */
typedef struct
{
  pu_placer_t *placer;
  guint64 takeover; /* value of pu_placer.takeovers when the RESERVE was
                       proposed */
  guint32 id;       /* id of the order in the pu_orders_t */
  guint32 backend;
  guint32 copy;
} pu_placer_pending_reserve_t;

typedef struct
{
  pu_counter_t plans;
  pu_counter_t reserves;
  pu_counter_t reserves_refused;
  pu_counter_t orders_sent;
  pu_counter_t answers_lost;
  pu_counter_t releases;
  pu_counter_t orders_failed;
} pu_placer_counters_t;

struct pu_placer
{
  pu_placer_options_t o;
  pu_placer_sync_t *sync; /* NULL unless this voter leads */
  pu_order_sender_t *sender;
  GHashTable *pending_reserves; /* set of pu_placer_pending_reserve_t of this
                                   leadership */
  GArray *actions;              /* of pu_orders_action_t; reused buffer */
  guint64 takeovers;            /* times that this voter became leader */
  guint64 next_plan_at;         /* time in milliseconds */
  pu_placer_counters_t counters;
};

/* pu_placer_status_of - pu_placer_status for SYNC, which is NULL on a voter
   that does not lead.  */
json_t *pu_placer_status_of (const pu_placer_sync_t *sync, guint64 now);

/* pu_placer_move_reason - returns the part of TEXT, an explanation of the
   planner, after its first ": "; all of TEXT when there is none.  */
const char *pu_placer_move_reason (const char *text);

G_END_DECLS

#endif
