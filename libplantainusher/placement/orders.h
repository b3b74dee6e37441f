#ifndef PU_PLACEMENT_ORDERS_H
#define PU_PLACEMENT_ORDERS_H

#include "placement/ledger.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * orders - the load and unload orders of the leader and their state.
 *
 * The functions do no I/O and read no clock.  `now` is monotonic milliseconds.
 *
 * An order is queued, reserved in the log (its log position is its fencing
 * token), sent, acknowledged, and done when the engine's report shows it:
 *
 *   QUEUED -> PROPOSED -> RESERVED -> SENT -> ACKED -> DONE
 *                                        \-> FAILED (refused or timed out)
 *
 * An order in any state after PROPOSED counts in the ledger until it is
 * closed.  The states DONE and FAILED do not free its memory.
 *
 * Engines that check tokens.  A load counts until the engine reports a later
 * token.  Elapsed time does not prove that the load has no later effect, since
 * an order that has reached the engine may wait in it for any time.  When an
 * order that has ended could still take effect, PU_ORDERS_ACTION_FENCE
 * requests another order for the same copy, which has a later token.
 *
 * Engines that ignore tokens.  An order ends by RELEASE at the end of its
 * lifetime.  It may be sent, and sent again, until `send_ms` after it was
 * proposed.  An order that was sent takes effect within `transit_ms` or never.
 * The effect is in the ledger within `report_ms`, or the engine's lease is
 * lost.  The lifetime is the sum of the three, counted from the proposal, so
 * an order that is sent late cannot take effect after its lifetime.  Senders
 * and reporters must keep to these limits: each send uses a new connection,
 * which is reset at the end of the transit time; a report older than
 * `report_ms` is dropped and never proposed.
 *
 * Take-over.  A new leader does not know when the previous one last sent an
 * order, only that the previous leader held its lease then.  Orders that the
 * new leader finds in the log therefore live for `lease_ms` plus one full
 * lifetime after the take-over.  For that time the new leader orders no loads
 * on the engines that these orders are for and that ignore tokens.  An engine
 * without an open order in the log has none in flight: each order, load or
 * unload, is in the log before it is sent, and stays open until the end of its
 * lifetime.  Create a new pu_orders_t at each take-over, when the log is
 * applied up to the new term, and adopt the open orders of the replicated
 * state.
 *
 * Unsent orders.  An order that has not been sent by send_deadline never will
 * be.  It fails then and expires at once, and does not count as a failure of
 * its copy.
 *
 * Limits.  Proposals wait for the weights store's limits on loads per second
 * and on concurrent loads, and for the limit on orders in flight to one
 * engine.  Orders to an engine that checks tokens are sent by increasing
 * token: each waits until the previous one is acknowledged, or until two retry
 * intervals after the proposal of the previous one.
 */

typedef struct pu_orders pu_orders_t;

typedef enum
{
  PU_ORDERS_QUEUED,
  PU_ORDERS_PROPOSED,
  PU_ORDERS_RESERVED,
  PU_ORDERS_SENT,
  PU_ORDERS_ACKED,
  PU_ORDERS_DONE,
  PU_ORDERS_FAILED
} pu_orders_state_t;

/* The engine's answer to an order; the numbers below are HTTP statuses.  */
typedef enum
{
  PU_ORDERS_ACCEPTED,    /* 202 */
  PU_ORDERS_STALE_TOKEN, /* 409 */
  PU_ORDERS_NO_MEMORY,   /* 507 */
  PU_ORDERS_REFUSED,     /* any other error */
  PU_ORDERS_LOST         /* no answer: the order may have arrived or not */
} pu_orders_answer_t;

/* The contents of an order to an engine.  */
typedef struct
{
  pu_ledger_kind_t kind;
  guint32 backend;
  guint64 incarnation;
  bool fenced; /* the engine checks tokens */
  guint32 copy;
  guint32 memory_mb; /* on each accelerator */
  const char *reason;
} pu_orders_spec_t;

/* An order.  Times are monotonic milliseconds.  */
typedef struct
{
  guint32 id; /* unique within the pu_orders_t; never 0 */
  pu_orders_state_t state;
  pu_orders_spec_t spec; /* spec.reason is owned by the order */
  guint64 token;         /* 0 until the order is reserved */
  bool inherited;        /* adopted from the previous leader */
  bool ever_sent;
  bool acknowledged;  /* ever, by an answer or by a report */
  bool answer_lost;   /* at least one send had no answer */
  bool copy_reported; /* the last report lists the copy */
  bool copy_loading;  /* the last report lists the copy as loading */
  guint32 tries;
  guint64 proposed_at;
  guint64 last_sent_at;
  guint64 send_deadline;   /* the order is not sent from then on */
  guint64 expires_at;      /* the order cannot take effect after this */
  guint64 state_since;     /* time of the last change of state */
  guint64 next_release_at; /* when RELEASE of the order may be proposed again;
                              G_MAXUINT64 when the ledger has closed the
                              order */
} pu_orders_order_t;

typedef enum
{
  PU_ORDERS_ACTION_RESERVE, /* propose RESERVE and pass the result to
                               pu_orders_handle_reserved */
  PU_ORDERS_ACTION_SEND,    /* send the order to the engine and pass its answer
                               to pu_orders_handle_answer */
  PU_ORDERS_ACTION_RELEASE, /* propose RELEASE, as the lifetime is over */
  PU_ORDERS_ACTION_FENCE,   /* queue another order for the same copy,
                               whose later token fences this one off */
  PU_ORDERS_ACTION_FAIL,    /* the order failed; for information only */
  PU_ORDERS_ACTION_UNSENT   /* the order failed because its reservation took
                               until send_deadline, so that it was never sent;
                               for information only */
} pu_orders_action_kind_t;

typedef struct
{
  pu_orders_action_kind_t kind;
  pu_orders_order_t order; /* the order as it was when the action was
                              appended */
} pu_orders_action_t;

/* Faults that tests inject to show that their checks can fail.  */
typedef enum
{
  PU_ORDERS_BREAK_NONE = 0,
  PU_ORDERS_BREAK_RELEASE_ON_LOST_ANSWER = 1, /* an order is released when its
                                                 answer is lost */
  PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT
  = 2, /* an order is released on a timeout, although it may still take
          effect */
  PU_ORDERS_BREAK_NO_TAKEOVER_WAIT = 4, /* a new leader does not wait until the
                                           orders of the previous leader have
                                           expired */
  PU_ORDERS_BREAK_SEND_UNRESERVED = 8   /* an order is sent before it is
                                           reserved */
} pu_orders_break_t;

typedef struct
{
  guint64 lease_ms;          /* duration of a leader's lease */
  guint64 send_ms;           /* longest time from the proposal of an order to
                                its last send */
  guint64 transit_ms;        /* an order that was sent takes effect within this
                                time, or never */
  guint64 report_ms;         /* longest time from a change on an engine until
                                the ledger has applied the report of it */
  guint64 retry_ms;          /* time between two sends of the same order */
  guint64 load_timeout_ms;   /* time from acknowledged to ready; a load that
                                takes longer fails */
  guint64 unload_timeout_ms; /* time from acknowledged until the copy is gone;
                                an unload that takes longer fails; long, since
                                running requests may take long */
  guint64 queue_timeout_ms;  /* an order that is queued for this time without
                                being proposed is dropped */
  guint64 backoff_ms;        /* wait after the first failure of a copy; doubles
                                with each failure */
  guint64 backoff_max_ms;
  guint max_orders_per_engine; /* maximum number of orders in flight to one
                                  engine */
  double loads_per_s;          /* the weights store's limit on loads per
                                  second */
  guint max_store_loads; /* number of concurrent loads that the weights store
                            serves at full speed */
  guint test_breaks;     /* pu_orders_break_t; 0 outside tests */
} pu_orders_options_t;

void pu_orders_options_init (pu_orders_options_t *o);

/* pu_orders_life_ms - returns the lifetime of an order, which is `life_ms` of
   the order records in the log.  */
guint64 pu_orders_life_ms (const pu_orders_options_t *o);

/* pu_orders_new - creates the orders of a leader that took over at NOW.  */
pu_orders_t *pu_orders_new (const pu_orders_options_t *o, guint64 now);
void pu_orders_free (pu_orders_t *o);

/* pu_orders_set_store_limits - replaces the limits of the weights store.  */
void pu_orders_set_store_limits (pu_orders_t *o, double loads_per_s,
                                 guint max_store_loads);

/* pu_orders_adopt - takes over an order that is open in the replicated state.
   FENCED: its engine checks tokens.  */
void pu_orders_adopt (pu_orders_t *o, const pu_ledger_order_t *open,
                      bool fenced, guint64 now);

/* pu_orders_may_load - whether loads may be ordered on BACKEND.  FENCED: its
   engine checks tokens.  False only for an engine that ignores tokens, while
   an order of the previous leader may be in flight to it.  */
bool pu_orders_may_load (const pu_orders_t *o, guint32 backend, bool fenced,
                         guint64 now);

/* pu_orders_loads_suspended - whether any backend server takes no loads
   because of an order of the previous leader.  */
bool pu_orders_loads_suspended (const pu_orders_t *o, guint64 now);

/* pu_orders_enqueue - queues an order.  Returns its id, or 0 when it is
   refused: it conflicts with another order for the same copy on the same
   backend server, the back-off after failures of that copy on that backend
   server is not over, or pu_orders_may_load forbids the load.  */
guint32 pu_orders_enqueue (pu_orders_t *o, const pu_orders_spec_t *w,
                           guint64 now);

/* pu_orders_handle_reserved - handles the result of RESERVE for the order ID.
   ACCEPTED: the reservation was applied, and TOKEN is the order's token;
   otherwise it was refused.  */
void pu_orders_handle_reserved (pu_orders_t *o, guint32 id, bool accepted,
                                guint64 token, guint64 now);

/* pu_orders_handle_unsent - records that the order TOKEN was not sent although
   the last PU_ORDERS_ACTION_SEND for it said so.  An order that has not been
   sent before either counts as never sent.  */
void pu_orders_handle_unsent (pu_orders_t *o, guint64 token, guint64 now);

/* pu_orders_handle_answer - handles the engine's answer to the order TOKEN. An
   answer for an unknown order and a duplicate answer are ignored.  */
void pu_orders_handle_answer (pu_orders_t *o, guint64 token,
                              pu_orders_answer_t a, guint64 now);

/* pu_orders_handle_report - handles a report of a backend server, after the
   ledger has applied it.  */
void pu_orders_handle_report (pu_orders_t *o, const pu_ledger_report_t *r,
                              guint64 now);

/* pu_orders_backend_down - handles the loss of BACKEND's lease: no more orders
   are sent to it.  */
void pu_orders_backend_down (pu_orders_t *o, guint32 backend, guint64 now);

/* pu_orders_handle_closed - records that the ledger has closed the order
   TOKEN.  */
void pu_orders_handle_closed (pu_orders_t *o, guint64 token);

/* pu_orders_cancel - fails the order ID, so that it is not sent again.  An
   order that was never sent expires immediately.  */
void pu_orders_cancel (pu_orders_t *o, guint32 id, guint64 now);

/* pu_orders_step - appends the actions that are due (pu_orders_action_t) to
   ACTIONS.  */
void pu_orders_step (pu_orders_t *o, guint64 now, GArray *actions);

/* pu_orders_count, pu_orders_get - list the orders that are not closed, oldest
   first.  */
guint pu_orders_count (const pu_orders_t *o);
const pu_orders_order_t *pu_orders_get (const pu_orders_t *o, guint i);

/* pu_orders_failures - returns the number of consecutive failures of COPY on
   BACKEND; UNTIL, when not NULL, is set to the end of the back-off, or to 0
   when there was no failure.  */
guint pu_orders_failures (const pu_orders_t *o, guint32 backend, guint32 copy,
                          guint64 *until);

const char *pu_orders_state_name (pu_orders_state_t state);

G_END_DECLS

#endif
