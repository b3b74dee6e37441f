#ifndef PU_PLACEMENT_LEDGER_H
#define PU_PLACEMENT_LEDGER_H

#include "base/error.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * ledger - accounts for the accelerator memory that is, or may come to be, in
 * use on each backend server.
 *
 * Every voter runs the ledger while it applies log entries, so the ledger is
 * deterministic: it uses no clock, no random numbers and no I/O.  The memory
 * counted for a backend server is never less than the server can come to
 * hold, even if orders to it are lost, delayed or duplicated.
 *
 * A copy takes the same memory on each accelerator of its backend server, so
 * one sum per backend server, in MB on each accelerator, is enough.
 *
 * How the state machine uses it:
 *   BACKEND_UP      pu_ledger_backend_up.  On PU_LEDGER_MERGED the backend
 *                   record keeps the result of pu_ledger_get_backend instead
 *                   of the report.  The order records whose tokens are
 *                   returned in CLOSED are deleted.
 *   BACKEND_DOWN    pu_ledger_backend_down.  The record is kept and marked as
 *                   down: the process may be alive on the other side of a
 *                   partition, and its known state must be in the next
 *                   snapshot.
 *   RESERVE         pu_ledger_reserve with the log position as the token; a
 *                   refusal is answered with PU_OUTCOME_CONFLICT.
 *   RELEASE         pu_ledger_release.  When it returns false the record is
 *                   kept and the answer is PU_OUTCOME_REFUSED.
 *   image loaded    pu_ledger_restore_backend for each backend record of the
 *                   image of the state, then pu_ledger_restore_order for each
 *                   order record.
 *
 * Handles are small integers assigned by the state machine: one for each name
 * of a backend server, one for each pair of model and version.
 *
 * When a load order stops counting.  A backend server that checks tokens has
 * fenced an order off when its process reports a later token: every effect of
 * the order is in that report, and the server refuses the order from then on.
 * A report of the order's own token is not enough, because a duplicate of the
 * order could still arrive.  An order that is fenced off no longer counts but
 * stays open: a new process knows no tokens, and a copy of the order in
 * transit could still reach it.  So the order counts again for a new
 * incarnation, until that incarnation reports a later token, and a leader
 * plans no load into its memory while it is open (pu_ledger_planned_mb).
 * RELEASE removes an order permanently when its lifetime has ended and it can
 * reach no process any more.  The leader decides this on its monotonic clock,
 * counting from the last moment at which it, or a leader before it, could have
 * sent the order (see orders.h).  A release is refused while a backend server
 * that checks tokens has not fenced the order off, because an order that has
 * reached a process may wait there for any time.  For a backend server that
 * ignores tokens, the end of the lifetime is the only proof.
 * Neither a later token nor a RELEASE ends the counting of a load while its
 * copy is reported as loading, because less memory may be reported for such a
 * copy than it will take.
 * An answer, a lost answer, a time-out, a lost lease or a restart is no proof
 * that an order can no longer take effect.
 * Orders and reports for the same copy are not added up: a backend server
 * holds a copy at most once, so the largest of them counts.
 */

typedef struct pu_ledger pu_ledger_t;

/* The phase of a copy; the same numbers as pu_copy_phase.  */
typedef enum
{
  PU_LEDGER_LOADING = 0,
  PU_LEDGER_READY = 1,
  PU_LEDGER_DRAINING = 2,
  PU_LEDGER_UNLOADING = 3
} pu_ledger_phase_t;

/* The kind of an order; the same numbers as pu_order_kind.  */
typedef enum
{
  PU_LEDGER_LOAD = 0,
  PU_LEDGER_UNLOAD = 1
} pu_ledger_kind_t;

/* A copy in a backend server's memory, as reported.  */
typedef struct
{
  guint32 copy;
  guint32 memory_mb; /* on each accelerator */
  pu_ledger_phase_t phase;
} pu_ledger_copy_t;

/* A report of a backend server; it always lists all copies in the server's
   memory.  */
typedef struct
{
  guint32 backend;
  guint64 incarnation;
  guint64 seq;   /* number of the report within the incarnation; a report whose
                    number is not higher than the last one is stale; 0: not
                    numbered, the sender sends its reports in order */
  guint64 token; /* highest order token that the process has seen */
  guint32 accelerators; /* number of accelerators */
  guint32 memory_mb;    /* memory of each accelerator */
  bool fenced;          /* the server checks tokens: it refuses an order with
                           an earlier token than it has seen */
  bool leaving;
  const pu_ledger_copy_t *held; /* copies in the server's memory */
  guint n_held;
} pu_ledger_report_t;

/* An order that takes memory (load) or frees it (unload).  */
typedef struct
{
  guint64 token; /* log position of the reservation; never 0 */
  pu_ledger_kind_t kind;
  guint32 backend;
  guint64 incarnation; /* of the backend server the order is for */
  guint32 copy;
  guint32 memory_mb; /* on each accelerator, KV-cache reserve included;
                        not counted for an unload */
} pu_ledger_order_t;

typedef enum
{
  PU_LEDGER_ACCEPTED, /* the report replaced the known state */
  PU_LEDGER_MERGED,   /* the report has a lower token than an earlier one:
                         copies and memory that it adds are applied, the copies
                         that it omits stay counted */
  PU_LEDGER_STALE     /* the report is of an old incarnation or has an old
                         number; it was ignored */
} pu_ledger_report_result_t;

/* Faults that tests inject to show that their checks can fail.  */
typedef enum
{
  PU_LEDGER_BREAK_NONE = 0,
  PU_LEDGER_BREAK_NO_MEMORY_CHECK
  = 1, /* orders are reserved without a check of the memory, and planned
          beside those that the known process may accept */
  PU_LEDGER_BREAK_OWN_TOKEN_FENCES
  = 2, /* an order's own token fences it off */
  PU_LEDGER_BREAK_DOWN_CLOSES_ORDERS
  = 4, /* a lost lease closes the orders of the backend server */
  PU_LEDGER_BREAK_FENCED_OFF_FREES
  = 8 /* loads are planned into the memory of orders that are fenced off */
} pu_ledger_break_t;

typedef struct
{
  guint test_breaks; /* pu_ledger_break_t; 0 outside tests */
} pu_ledger_options_t;

/* pu_ledger_new - creates an empty ledger; O may be NULL.  */
pu_ledger_t *pu_ledger_new (const pu_ledger_options_t *o);
void pu_ledger_free (pu_ledger_t *l);

/* pu_ledger_backend_up - applies the report R and closes the unload orders
   that it fences off.  Their tokens (guint64) are appended to CLOSED, which
   may be NULL.  */
pu_ledger_report_result_t pu_ledger_backend_up (pu_ledger_t *l,
                                                const pu_ledger_report_t *r,
                                                GArray *closed);

/* pu_ledger_backend_down - records that the lease of BACKEND has expired.
   Reservations for it are refused until its next report; its memory and open
   orders stay counted.  False when BACKEND is unknown or known by another
   incarnation.  */
bool pu_ledger_backend_down (pu_ledger_t *l, guint32 backend,
                             guint64 incarnation);

/* pu_ledger_backend_leaving - records that BACKEND is leaving: load orders for
   it are refused from now on.  False when BACKEND is unknown or known by
   another incarnation.  */
bool pu_ledger_backend_leaving (pu_ledger_t *l, guint32 backend,
                                guint64 incarnation);

/* pu_ledger_remove_backend - removes BACKEND, whose name will not be used
   again.  False when BACKEND is unknown, is not down or has open orders.  */
bool pu_ledger_remove_backend (pu_ledger_t *l, guint32 backend);

/* pu_ledger_reserve - opens the order O and counts its memory.  No effect when
   an order with the same token is open.  Errors: PU_ERROR_NOT_FOUND (the
   backend server is unknown or down), PU_ERROR_CONFLICT (another incarnation,
   leaving, or not enough memory; the message then gives the sum),
   PU_ERROR_INVALID (token 0).  */
bool pu_ledger_reserve (pu_ledger_t *l, const pu_ledger_order_t *o,
                        pu_error_t *e);

/* pu_ledger_release - closes the order TOKEN, whose lifetime has ended; the
   caller guarantees that the lifetime has ended (see the head of this file).
   False when no such order is open, or when the order must stay open because
   its copy is loading or a backend server that checks tokens has not fenced it
   off.  The caller then keeps the record and tries to release the order again
   later.  */
bool pu_ledger_release (pu_ledger_t *l, guint64 token);

/* pu_ledger_restore_backend, pu_ledger_restore_order - rebuild a ledger from
   an image of the state, without checks, so that the same memory is counted
   again.  */
void pu_ledger_restore_backend (pu_ledger_t *l, const pu_ledger_report_t *r,
                                bool down);
void pu_ledger_restore_order (pu_ledger_t *l, const pu_ledger_order_t *o);

/* pu_ledger_get_backend - sets R to the known state of BACKEND and DOWN, which
   may be NULL, to whether it is down.  R->held is valid until the next change
   of the ledger.  False when BACKEND is unknown.  */
bool pu_ledger_get_backend (const pu_ledger_t *l, guint32 backend,
                            pu_ledger_report_t *r, bool *down);

/* pu_ledger_committed_mb - returns the MB counted on each accelerator of
   BACKEND; 0 when BACKEND is unknown.  */
guint64 pu_ledger_committed_mb (const pu_ledger_t *l, guint32 backend);

/* pu_ledger_planned_mb - the same, with the open load orders that have been
   fenced off.  A leader that plans a load must find room beside these: BACKEND
   may restart before the load reaches it, and its new process accepts them
   while they are in transit.  pu_ledger_reserve does not check this, as all
   voters must compute the same result in all releases.  */
guint64 pu_ledger_planned_mb (const pu_ledger_t *l, guint32 backend);

/* pu_ledger_free_mb - returns the MB that a new copy may take on each
   accelerator; 0 when BACKEND is unknown, down, leaving or overcommitted.  */
guint64 pu_ledger_free_mb (const pu_ledger_t *l, guint32 backend);

/* pu_ledger_fits - whether BACKEND is up, not leaving and has memory for a
   load of COPY with MEMORY_MB; memory that is already counted for COPY is not
   counted twice.  */
bool pu_ledger_fits (const pu_ledger_t *l, guint32 backend, guint32 copy,
                     guint32 memory_mb);

/* pu_ledger_get_order - returns the open order TOKEN, or NULL.  */
const pu_ledger_order_t *pu_ledger_get_order (const pu_ledger_t *l,
                                              guint64 token);

/* pu_ledger_orders - returns the open orders by ascending token, as a new
   array of pu_ledger_order_t that the caller frees with g_array_unref.  */
GArray *pu_ledger_orders (const pu_ledger_t *l);

G_END_DECLS

#endif
