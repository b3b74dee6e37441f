#ifndef PU_PLACEMENT_PLACEMENT_H
#define PU_PLACEMENT_PLACEMENT_H

#include "placement/ledger.h"
#include "placement/orders.h"
#include "placement/planner.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * placement - the leader's planner and orders, joined.
 *
 * Make one at each take-over, when the log up to the new term is applied:
 *   pu_placement_new; pu_placement_map_copy for each pair of model and
 *   version; pu_planner_set_item for each declared item;
 *   pu_placement_update_backend for each backend record; pu_placement_adopt
 * for each open order. Then, as log entries are applied: BACKEND_UP
 * pu_placement_handle_closed for each order that it closed, then
 *                  pu_placement_update_backend with what the ledger believes
 *   BACKEND_DOWN   pu_placement_update_backend with DOWN
 *   RESERVE        pu_placement_handle_reserved, for one's own proposals
 *   RELEASE done   pu_placement_handle_closed
 * and once a second, or after a loss, pu_placement_step; its actions are to be
 * carried out.  A backend server's handle is also its engine in the planner.
 */

typedef struct pu_placement pu_placement_t;

/* MB that the ledger counts on each accelerator of BACKEND.  */
typedef guint64 pu_placement_committed_fn (void *data, guint32 backend);

typedef struct
{
  pu_planner_options_t planner;
  pu_orders_options_t orders;
  pu_placement_committed_fn *committed;
  void *data;
} pu_placement_options_t;

pu_placement_t *pu_placement_new (const pu_placement_options_t *o,
                                  guint64 now);
void pu_placement_free (pu_placement_t *pl);

/* The parts, to declare items, count demand, explain and list.  */
pu_planner_t *pu_placement_planner (pu_placement_t *pl);
pu_orders_t *pu_placement_orders (pu_placement_t *pl);

/* pu_placement_map_copy - the ledger's handle COPY stands for VERSION of
   ITEM.  Copies without a name count as memory only.  */
void pu_placement_map_copy (pu_placement_t *pl, guint32 copy, guint32 item,
                            guint32 version);

/* pu_placement_update_backend - what the ledger believes of a backend server,
   its zone, and the requests that it runs at once at full speed.  */
void pu_placement_update_backend (pu_placement_t *pl,
                                  const pu_ledger_report_t *r, bool down,
                                  guint32 zone, double streams, guint64 now);

void pu_placement_adopt (pu_placement_t *pl, const pu_ledger_order_t *open,
                         guint64 now);
void pu_placement_handle_reserved (pu_placement_t *pl, guint32 id,
                                   bool accepted, guint64 token, guint64 now);
void pu_placement_handle_answer (pu_placement_t *pl, guint64 token,
                                 pu_orders_answer_t a, guint64 now);
void pu_placement_handle_closed (pu_placement_t *pl, guint64 token,
                                 guint64 now);

/* pu_placement_step - plans and appends what is to be done now
   (pu_orders_action_t): propose RESERVE, send, propose RELEASE.  DO_FAIL is
   for the log only.  PLAN false: only orders go on, for calls in between.  */
void pu_placement_step (pu_placement_t *pl, bool plan, guint64 now,
                        GArray *actions);

G_END_DECLS

#endif
