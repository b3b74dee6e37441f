#ifndef PU_PLACER_SEND_H
#define PU_PLACER_SEND_H

#include <uv.h>

#include "http/client.h"
#include "placement/orders.h"
#include "state/state.h"

G_BEGIN_DECLS

/*
 * send - orders on their way to engines by HTTP.
 *
 * Each goes on a connection of its own, which is reset at the end of the
 * transit time or by pu_sends_cancel.  The loop's clock may stand still while
 * the process does, so the caller looks after the time by pu_sends_expire.
 */

typedef struct pu_sends pu_sends_t;

/* pu_sends_answer_fn - how the order TOKEN was answered; called once for each
   that was sent and not cancelled, never from within pu_sends_order.  */
typedef void pu_sends_answer_fn (void *data, guint64 token,
                                 pu_orders_answer_t answer);

typedef struct
{
  uv_loop_t *loop;
  guint connect_ms;
  guint transit_ms;
  pu_sends_answer_fn *answer;
  void *data;
} pu_sends_options_t;

pu_sends_t *pu_sends_new (const pu_sends_options_t *o);

/* pu_sends_free - cancels all.  The loop must run until the handles are
   closed.  */
void pu_sends_free (pu_sends_t *s);

/* pu_sends_order - sends O to ADDRESS.  False when the address is none.  */
bool pu_sends_order (pu_sends_t *s, const char *address,
                     const pu_order_record *o, guint64 now);

/* pu_sends_expire - ends what was sent longer ago than the transit time.  */
void pu_sends_expire (pu_sends_t *s, guint64 now);

/* pu_sends_cancel - closes all connections; nothing is answered.  */
void pu_sends_cancel (pu_sends_t *s);

guint pu_sends_count (const pu_sends_t *s);

G_END_DECLS

#endif
