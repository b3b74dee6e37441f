#ifndef PU_PLACEMENT_ORDER_TURNS_H
#define PU_PLACEMENT_ORDER_TURNS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * order_turns - when an instance that leads again may order an engine.
 *
 * For leadership that moves to another instance and back within seconds, as
 * when instances are restarted in turn.  An order travels and takes effect
 * some time after it was sent, and engines that don't check fencing tokens
 * can't tell which of two leaders is the later one.  An instance that led
 * before therefore sends no order to an engine until its own earlier orders to
 * that engine are older than a lease.  An instance that has restarted does not
 * know its earlier orders; it waits for a lease after its start.  A new leader
 * waits until the last orders of the leader before have arrived.
 *
 * Does no I/O and reads no clock.  `now` is monotonic milliseconds.
 */

typedef struct pu_order_turns pu_order_turns_t;

typedef struct
{
  guint64 lease_ms;
  guint64 transit_ms; /* longest time until an order without an answer has
                         arrived */
  guint64 started_at; /* ms; when this process started */
  bool checks_tokens; /* engines refuse orders with an old fencing token: no
                         wait after a start or for the leader before */
} pu_order_turns_options_t;

pu_order_turns_t *pu_order_turns_new (const pu_order_turns_options_t *o);
void pu_order_turns_free (pu_order_turns_t *t);

/* pu_order_turns_begin - records that this instance leads in TERM.  Orders of
   the term before stay its own turn: nobody led in between.  */
void pu_order_turns_begin (pu_order_turns_t *t, guint64 term, guint64 now);

/* pu_order_turns_record - records that the call with an order of this instance
   to ENGINE has ended now.  ANSWERED: ENGINE had received the order.  */
void pu_order_turns_record (pu_order_turns_t *t, const char *engine,
                            bool answered, guint64 now);

/* pu_order_turns_wait_ms - returns the milliseconds until this instance, which
   leads, may order ENGINE; 0: now.  */
guint64 pu_order_turns_wait_ms (const pu_order_turns_t *t, const char *engine,
                                guint64 now);

/* pu_order_turns_allows - whether this instance, which leads, may order ENGINE
   now.  */
bool pu_order_turns_allows (const pu_order_turns_t *t, const char *engine,
                            guint64 now);

G_END_DECLS

#endif
