#ifndef PU_PLACEMENT_ORDERS_H
#define PU_PLACEMENT_ORDERS_H

#include "placement/ledger.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * orders - what the leader has asked of the engines, and what became of it.
 *
 * An order is wanted, reserved in the log (its log position is its fencing
 * token), sent, acknowledged and seen done in the engine's report:
 *
 *   QUEUED -> PROPOSED -> RESERVED -> SENT -> ACKED -> DONE
 *                                        \-> FAILED (refused, or too late)
 *
 * An order in any state after PROPOSED counts in the ledger until it is
 * closed.  DONE and FAILED say nothing about memory.
 *
 * Engines that check tokens.  A load counts until the engine reports a later
 * token: no clock is trusted, an order that has reached the engine may wait
 * there for any time.  Where a given-up order stands in the way, DO_FENCE asks
 * for another order for the same copy, which carries the later token.
 *
 * Engines that ignore tokens.  The end of its life ends an order, by
 * RELEASE.  It may be sent, and sent again, until `send_ms` after it was
 * proposed; what is sent takes effect within `transit_ms` or never; and what
 * took effect is in the ledger within `report_ms`, or the engine's lease is
 * lost.  Life is the sum, counted from the proposal, so an order sent late
 * cannot take effect after it.  Those who send and report must keep to it:
 * each send uses a fresh connection, reset at the end of the transit time; a
 * report older than `report_ms` is dropped, never proposed.
 *
 * A new leader does not know when the one before it last sent.  That was
 * while it held its lease; so the orders that the new leader finds in the log
 * live for `lease_ms` and a whole life after it took over, and for as long it
 * orders no loads on the engines that they are for and that ignore tokens.
 * To an engine without an open order in the log nothing is under way: each
 * order, load or unload, is in the log before it is sent, and stays open
 * until the end of its life.  Make a new pu_orders_t at each take-over, when
 * the log up to the new term is applied, and adopt the open orders of the
 * state.
 *
 * The store's limits on loads, a second and at once, and the limit on orders
 * under way to one engine hold back proposals.  Orders to an engine that
 * checks tokens are sent by rising token, each after the one before it was
 * acknowledged, or has not been for two retries.
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

/* How an engine answered.  */
typedef enum
{
  PU_ORDERS_ACCEPTED,    /* 202 */
  PU_ORDERS_STALE_TOKEN, /* 409 */
  PU_ORDERS_NO_MEMORY,   /* 507 */
  PU_ORDERS_REFUSED,     /* another error */
  PU_ORDERS_LOST         /* no answer: nothing is known */
} pu_orders_answer_t;

/* What is wanted of an engine.  */
typedef struct
{
  pu_ledger_kind_t kind;
  guint32 backend;
  guint64 incarnation;
  bool fenced; /* checks tokens */
  guint32 copy;
  guint32 memory_mb;
  const char *reason;
} pu_orders_spec_t;

typedef struct
{
  guint32 id; /* of this object's own; never 0 */
  pu_orders_state_t state;
  pu_orders_spec_t spec; /* its reason lives as long as the order */
  guint64 token;         /* 0 before it is reserved */
  bool inherited;        /* from the leader before */
  bool ever_sent;
  bool lost;    /* an answer was */
  bool held;    /* the copy was in the last report */
  bool loading; /* and loading */
  guint32 tries;
  guint64 proposed; /* when, in ms; here and below */
  guint64 last_send;
  guint64 send_deadline; /* never sent after */
  guint64 life_until;    /* cannot take effect after */
  guint64 changed;       /* its state */
  guint64 release_at; /* next RELEASE, when it was asked already; G_MAXUINT64
                         when the ledger has closed it */
} pu_orders_order_t;

typedef enum
{
  PU_ORDERS_ACTION_RESERVE, /* propose RESERVE; answer by
                               pu_orders_handle_reserved */
  PU_ORDERS_ACTION_SEND,    /* send to the engine; answer by
                               pu_orders_handle_answer */
  PU_ORDERS_ACTION_RELEASE, /* propose RELEASE: its life is over */
  PU_ORDERS_ACTION_FENCE,   /* want another order for the same copy */
  PU_ORDERS_ACTION_FAIL     /* given up; only to be told */
} pu_orders_do_t;

typedef struct
{
  pu_orders_do_t what;
  pu_orders_order_t order; /* as it is now */
} pu_orders_action_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_ORDERS_BREAK_NONE = 0,
  PU_ORDERS_BREAK_LOST = 1, /* release on a lost answer */
  PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT
  = 2,                         /* release on a timeout without proof */
  PU_ORDERS_BREAK_NO_WAIT = 4, /* a new leader does not wait */
  PU_ORDERS_BREAK_UNLOGGED = 8 /* sent before it is reserved */
} pu_orders_break_t;

typedef struct
{
  guint64 lease_ms; /* of a leader */
  guint64 send_ms;
  guint64 transit_ms;
  guint64 report_ms;  /* from a change on an engine until it is applied */
  guint64 retry_ms;   /* between sends of the same order */
  guint64 load_ms;    /* from reserved to ready, else given up */
  guint64 unload_ms;  /* from reserved to gone: a drain may take long */
  guint64 queue_ms;   /* wanted but not proposed, then dropped */
  guint64 backoff_ms; /* after a failure; doubles */
  guint64 backoff_max_ms;
  guint max_orders_per_engine; /* orders under way to one engine */
  double loads_per_s;          /* of the store */
  guint max_store_loads;       /* of the store at full speed */
  guint test_breaks;           /* pu_orders_break_t; 0 outside tests */
} pu_orders_options_t;

void pu_orders_options_init (pu_orders_options_t *o);

/* pu_orders_life_ms - `life_ms` of the order records in the log.  */
guint64 pu_orders_life_ms (const pu_orders_options_t *o);

/* pu_orders_new - for a leader that took over at NOW.  */
pu_orders_t *pu_orders_new (const pu_orders_options_t *o, guint64 now);
void pu_orders_free (pu_orders_t *o);

/* pu_orders_set_store_limits - the store's limits from now on.  */
void pu_orders_set_store_limits (pu_orders_t *o, double loads_per_s,
                                 guint max_store_loads);

/* pu_orders_adopt - takes over an order that is open in the state.  */
void pu_orders_adopt (pu_orders_t *o, const pu_ledger_order_t *open,
                      bool fenced, guint64 now);

/* pu_orders_may_load - whether loads may be ordered on BACKEND, which is
   FENCED or not: not yet for a new leader and one that is not, while an order
   of the leader before may be under way to it.  */
bool pu_orders_may_load (const pu_orders_t *o, guint32 backend, bool fenced,
                         guint64 now);

/* pu_orders_loads_suspended - whether any backend server gets no loads for
 * that.  */
bool pu_orders_loads_suspended (const pu_orders_t *o, guint64 now);

/* pu_orders_enqueue - queues an order.  Returns its id, or 0 when it is
   refused: another order for the same copy there is under way, the copy's last
   failures hold it back, or pu_orders_may_load says no.  */
guint32 pu_orders_enqueue (pu_orders_t *o, const pu_orders_spec_t *w,
                           guint64 now);

/* pu_orders_handle_reserved - RESERVE for the order ID was applied with TOKEN,
   or refused (ACCEPTED false).  */
void pu_orders_handle_reserved (pu_orders_t *o, guint32 id, bool accepted,
                                guint64 token, guint64 now);

/* pu_orders_handle_answer - the engine answered the order TOKEN.  An answer
   for an order that is not known, or doubled, is no harm.  */
void pu_orders_handle_answer (pu_orders_t *o, guint64 token,
                              pu_orders_answer_t a, guint64 now);

/* pu_orders_handle_report - what a backend server reported; the ledger has
   taken it in already.  */
void pu_orders_handle_report (pu_orders_t *o, const pu_ledger_report_t *r,
                              guint64 now);

/* pu_orders_down - BACKEND lost its lease: nothing more is sent to it.  */
void pu_orders_down (pu_orders_t *o, guint32 backend, guint64 now);

/* pu_orders_handle_closed - the ledger counts the order TOKEN no more.  */
void pu_orders_handle_closed (pu_orders_t *o, guint64 token);

/* pu_orders_cancel - the order ID is not sent any more.  */
void pu_orders_cancel (pu_orders_t *o, guint32 id, guint64 now);

/* pu_orders_step - appends what is to be done now (pu_orders_action_t).  */
void pu_orders_step (pu_orders_t *o, guint64 now, GArray *actions);

/* pu_orders_count, pu_orders_get - the orders that are not closed, oldest
   first.  */
guint pu_orders_count (const pu_orders_t *o);
const pu_orders_order_t *pu_orders_get (const pu_orders_t *o, guint i);

/* pu_orders_failures - failures of COPY on BACKEND in a row; UNTIL, when not
   NULL, is set to the end of its back-off.  */
guint pu_orders_failures (const pu_orders_t *o, guint32 backend, guint32 copy,
                          guint64 *until);

const char *pu_orders_state_name (pu_orders_state_t state);

G_END_DECLS

#endif
