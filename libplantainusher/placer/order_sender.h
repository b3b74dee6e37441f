#ifndef PU_PLACER_ORDER_SENDER_H
#define PU_PLACER_ORDER_SENDER_H

#include <uv.h>

#include "http/client.h"
#include "placement/orders.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * order_sender - sends orders to engines over HTTP.
 *
 * Each order has a connection of its own, which is reset at the end of the
 * transit time (within which an order takes effect or never does) or by
 * pu_order_sender_cancel_all.  The clock of the loop does not advance while
 * the process is stopped, so the caller also enforces the transit time, by
 * calling pu_order_sender_expire with its own clock.
 */

typedef struct pu_order_sender pu_order_sender_t;

/* pu_order_sender_answer_fn - gets the ANSWER to the order TOKEN.  Called once
   for each order that was sent and not cancelled, never from within
   pu_order_sender_send.  */
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

/* pu_order_sender_send - sends O to ADDRESS.  False when ADDRESS cannot be
   parsed.  */
bool pu_order_sender_send (pu_order_sender_t *s, const char *address,
                           const pu_order_record *o, guint64 now);

/* pu_order_sender_expire - resets the connections of the orders that were sent
   at least the transit time before NOW; their answer is PU_ORDERS_LOST.  */
void pu_order_sender_expire (pu_order_sender_t *s, guint64 now);

/* pu_order_sender_cancel_all - resets all connections without calling the
   answer function.  */
void pu_order_sender_cancel_all (pu_order_sender_t *s);

/* pu_order_sender_in_flight - returns the number of orders without an answer.
 */
guint pu_order_sender_in_flight (const pu_order_sender_t *s);

G_END_DECLS

#endif
