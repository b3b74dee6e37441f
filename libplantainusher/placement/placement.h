#ifndef PU_PLACEMENT_PLACEMENT_H
#define PU_PLACEMENT_PLACEMENT_H

#include "placement/ledger.h"
#include "placement/orders.h"
#include "placement/planner.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * placement - runs the leader's planner and its orders together.
 *
 * A new leader creates a pu_placement_t when the log is applied up to its
 * term:
 *   pu_placement_new;
 *   pu_placement_map_copy for each pair of model and version;
 *   pu_planner_set_item for each declared item;
 *   pu_placement_update_backend for each backend record;
 *   pu_placement_adopt for each open order.
 * Then, as log entries are applied:
 *   BACKEND_UP     pu_placement_handle_closed for each order that it closed,
 *                  then pu_placement_update_backend with the ledger's state
 *   BACKEND_DOWN   pu_placement_update_backend with DOWN set
 *   RESERVE        pu_placement_handle_reserved, if this leader proposed it
 *   RELEASE done   pu_placement_handle_closed
 * Call pu_placement_step with PLAN set once a second and after the loss of an
 * engine, and carry out the actions that it returns.
 * The handle of a backend server is also its engine handle in the planner.
 */

typedef struct pu_placement pu_placement_t;

/* Returns the MB that the ledger counts on each accelerator of BACKEND.  */
typedef guint64 pu_placement_committed_fn (void *data, guint32 backend);

typedef struct
{
  pu_planner_options_t planner;
  pu_orders_options_t orders;
  pu_placement_committed_fn *committed;
  void *data; /* passed to committed */
} pu_placement_options_t;

/* pu_placement_new - creates the placement of a leader that took over at NOW.
   NOW is in monotonic milliseconds, here and below.  */
pu_placement_t *pu_placement_new (const pu_placement_options_t *o,
                                  guint64 now);
void pu_placement_free (pu_placement_t *pl);

/* pu_placement_planner, pu_placement_orders - return the planner and the
   orders, owned by PL: used to declare items, count demand, explain the plan
   and list the orders.  */
pu_planner_t *pu_placement_planner (pu_placement_t *pl);
pu_orders_t *pu_placement_orders (pu_placement_t *pl);

/* pu_placement_map_copy - maps the ledger's handle COPY to VERSION of ITEM.  A
   copy without a mapping is not planned; the planner counts only its
   memory.  */
void pu_placement_map_copy (pu_placement_t *pl, guint32 copy, guint32 item,
                            guint32 version);

/* pu_placement_update_backend - replaces the state of a backend server.  R is
   the ledger's state of the server, ZONE its availability zone, STREAMS the
   number of concurrent requests that it runs at full speed.  */
void pu_placement_update_backend (pu_placement_t *pl,
                                  const pu_ledger_report_t *r, bool down,
                                  guint32 zone, double streams, guint64 now);

/* pu_placement_adopt - takes over an order that is open in the replicated
   state.  */
void pu_placement_adopt (pu_placement_t *pl, const pu_ledger_order_t *open,
                         guint64 now);

/* pu_placement_handle_reserved, pu_placement_handle_unsent,
   pu_placement_handle_answer, pu_placement_handle_closed - see
   pu_orders_handle_reserved, pu_orders_handle_unsent, pu_orders_handle_answer
   and pu_orders_handle_closed.  They also update the planner's state of the
   engine that the order is for.  */
void pu_placement_handle_reserved (pu_placement_t *pl, guint32 id,
                                   bool accepted, guint64 token, guint64 now);
void pu_placement_handle_unsent (pu_placement_t *pl, guint64 token,
                                 guint64 now);
void pu_placement_handle_answer (pu_placement_t *pl, guint64 token,
                                 pu_orders_answer_t a, guint64 now);
void pu_placement_handle_closed (pu_placement_t *pl, guint64 token,
                                 guint64 now);

/* pu_placement_step - plans, and appends the actions that are due
   (pu_orders_action_t) to ACTIONS: propose RESERVE, send, propose RELEASE.
   PU_ORDERS_ACTION_FAIL and PU_ORDERS_ACTION_UNSENT are only for the caller to
   log.  With PLAN false no new
   moves are planned and only existing orders advance, for calls between two
   rounds of planning.  */
void pu_placement_step (pu_placement_t *pl, bool plan, guint64 now,
                        GArray *actions);

G_END_DECLS

#endif
