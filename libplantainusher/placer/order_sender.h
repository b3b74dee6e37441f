#ifndef PU_PLACER_ORDER_SENDER_H
#define PU_PLACER_ORDER_SENDER_H

#include <uv.h>

#include "http/client.h"
#include "placement/orders.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * order_sender - sends the orders of placement/orders.h, which load or unload
 * a copy, to engines over HTTP.
 *
 * Each order has a connection of its own, which is reset by
 * pu_order_sender_cancel_all or at the end of the transit time.  An order
 * takes effect within the transit time or never.  The clock of the loop does
 * not advance while the process is stopped, so the caller also enforces the
 * transit time, by calling pu_order_sender_expire with its own clock.
 */

typedef struct pu_order_sender pu_order_sender_t;

/* pu_order_sender_answer_fn - gets the ANSWER to the order with the fencing
   token TOKEN.  Called once for each order that was sent and not cancelled,
   never from within pu_order_sender_send.  */
typedef void pu_order_sender_answer_fn (void *data, guint64 token,
                                        pu_orders_answer_t answer);

typedef struct
{
  uv_loop_t *loop;
  guint connect_ms;
  guint transit_ms;
  pu_order_sender_answer_fn *answer;
  void *data;
} pu_order_sender_options_t;

pu_order_sender_t *pu_order_sender_new (const pu_order_sender_options_t *o);

/* pu_order_sender_free - cancels all orders and frees S.  The loop must run
   until the handles are closed.  */
void pu_order_sender_free (pu_order_sender_t *s);

/* pu_order_sender_send - sends O to ADDRESS.  Returns false when ADDRESS
   cannot be parsed.  */
bool pu_order_sender_send (pu_order_sender_t *s, const char *address,
                           const pu_order_record *o, guint64 now);

/* pu_order_sender_expire - resets the connections of the orders that were sent
   at least the transit time before NOW; the answer to these orders is
   PU_ORDERS_LOST.  */
void pu_order_sender_expire (pu_order_sender_t *s, guint64 now);

/* pu_order_sender_cancel_all - resets all connections without calling the
   answer function.  */
void pu_order_sender_cancel_all (pu_order_sender_t *s);

/* pu_order_sender_in_flight - returns the number of orders that were sent and
   have no answer yet.  */
guint pu_order_sender_in_flight (const pu_order_sender_t *s);

G_END_DECLS

#endif
