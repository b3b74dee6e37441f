#ifndef PU_PLACEMENT_LEDGER_H
#define PU_PLACEMENT_LEDGER_H

#include "base/error.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * ledger - the accelerator memory that is, or may come to be, in use.
 *
 * Every voter runs the ledger while it applies log entries, so it is
 * deterministic: no clock, no random numbers, no I/O.  It never counts less
 * than a backend server can hold, whatever happens to the orders sent to it.
 *
 * A copy takes the same memory on each accelerator of its backend server, so
 * one sum for each backend server, in MB on each accelerator, is enough.
 *
 * How the state machine uses it:
 *   BACKEND_UP      pu_ledger_backend_up; on PU_LEDGER_MERGED keep what
 *                   pu_ledger_get_backend gives, rather than the report, in
 * the backend record; drop the order records whose tokens come back in CLOSED.
 *   BACKEND_DOWN    pu_ledger_backend_down.  Keep the record, marked as down:
 *                   the process may be alive beyond a partition, and what
 *                   was known of it must outlive a snapshot.
 *   RESERVE         pu_ledger_reserve with the log position as the token;
 *                   its refusal is the answer PU_OUTCOME_CONFLICT.
 *   RELEASE         pu_ledger_release; keep the record when it says false
 *                   (PU_OUTCOME_REFUSED).
 *   image -> state  pu_ledger_restore_backend for each backend record, then
 *                   pu_ledger_restore_order for each order record.
 * Handles are the state machine's own small integers: one for each name of a
 * backend server, one for each pair of model and version.
 *
 * When a load order stops counting.  A backend server that checks tokens has
 * fenced an order off when its process reports a LATER token: whatever the
 * order did is in that report, and it is refused from now on.  (Its own token
 * is no proof: a doubled order could come again.)  The order then counts no
 * more, but stays open: a new process would know no tokens, and an order under
 * way could still reach it.  So with a new incarnation it counts again, until
 * that one reports a later token.
 * RELEASE removes an order for good when its life is over: it can reach no
 * process any more.  The leader says so, counted on its monotonic clock from
 * the last moment at which it, or a leader before it, could have sent the
 * order (see orders.h).  It is refused while a backend server that checks
 * tokens has not fenced the order off, since what has reached a process may
 * wait there for any time.  For those that ignore tokens it is the only proof.
 * Either way a load counts while its copy is reported as loading, since it may
 * report less than it will take.
 * Neither an answer, a lost answer, a timeout, a lost lease nor a restart is a
 * proof.
 * Orders and reports for the same copy are not added up: a backend server
 * holds a copy at most once, so the largest of them counts.
 */

typedef struct pu_ledger pu_ledger_t;

/* The same numbers as pu_copy_phase.  */
typedef enum
{
  PU_LEDGER_LOADING = 0,
  PU_LEDGER_READY = 1,
  PU_LEDGER_DRAINING = 2,
  PU_LEDGER_UNLOADING = 3
} pu_ledger_phase_t;

/* The same numbers as pu_order_kind.  */
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

/* What a backend server says of itself: always the whole list.  */
typedef struct
{
  guint32 backend;
  guint64 incarnation;
  guint64 seq;   /* of the report within the incarnation; 0: whoever sends
                    the reports keeps their order */
  guint64 token; /* highest order token that it has seen */
  guint32 accelerators;
  guint32 memory_mb; /* size of each accelerator */
  bool fenced;       /* refuses an order with an old token */
  bool leaving;
  const pu_ledger_copy_t *held;
  guint n_held;
} pu_ledger_report_t;

/* An order that takes (load) or gives back (unload) memory.  */
typedef struct
{
  guint64 token; /* log position of the reservation; never 0 */
  pu_ledger_kind_t kind;
  guint32 backend;
  guint64 incarnation; /* that the order was meant for */
  guint32 copy;
  guint32 memory_mb; /* on each accelerator, KV-cache reserve included;
                        not counted for an unload */
} pu_ledger_order_t;

typedef enum
{
  PU_LEDGER_ACCEPTED, /* the report replaces what was known */
  PU_LEDGER_MERGED,   /* the report contradicts a later token: only what it
                         adds is believed */
  PU_LEDGER_STALE     /* an old incarnation or an old report; nothing done */
} pu_ledger_report_result_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_LEDGER_BREAK_NONE = 0,
  PU_LEDGER_BREAK_NO_MEMORY_CHECK
  = 1, /* reserve without looking at the size */
  PU_LEDGER_BREAK_OWN_TOKEN_FENCES
  = 2, /* an order's own token fences it off */
  PU_LEDGER_BREAK_DOWN_CLOSES_ORDERS
  = 4 /* a lost backend server closes its orders */
} pu_ledger_break_t;

typedef struct
{
  guint test_breaks; /* pu_ledger_break_t; 0 outside tests */
} pu_ledger_options_t;

/* pu_ledger_new - an empty ledger; O may be NULL.  */
pu_ledger_t *pu_ledger_new (const pu_ledger_options_t *o);
void pu_ledger_free (pu_ledger_t *l);

/* pu_ledger_backend_up - takes in the report R.  The tokens (guint64) of the
   unload orders that it fences off, which are open no more, are appended to
   CLOSED; it may be NULL.  */
pu_ledger_report_result_t pu_ledger_backend_up (pu_ledger_t *l,
                                                const pu_ledger_report_t *r,
                                                GArray *closed);

/* pu_ledger_backend_down - its lease is over.  It takes no reservations until
   the next report; its memory and its open orders stay counted.  False when
   another incarnation, or none, is known.  */
bool pu_ledger_backend_down (pu_ledger_t *l, guint32 backend,
                             guint64 incarnation);

/* pu_ledger_backend_leaving - it takes no more load orders.  */
bool pu_ledger_backend_leaving (pu_ledger_t *l, guint32 backend,
                                guint64 incarnation);

/* pu_ledger_remove_backend - removes a backend server that is down and has no
   open order; false otherwise.  For names that will not come back.  */
bool pu_ledger_remove_backend (pu_ledger_t *l, guint32 backend);

/* pu_ledger_reserve - counts the order O from now on.  A token that is open
   already is accepted again.  Errors: PU_ERROR_NOT_FOUND (backend server not
   known or down), PU_ERROR_CONFLICT (another incarnation, leaving, or no
   memory: the message gives the sum), PU_ERROR_INVALID (token 0).  */
bool pu_ledger_reserve (pu_ledger_t *l, const pu_ledger_order_t *o,
                        pu_error_t *e);

/* pu_ledger_release - the life of the order TOKEN is over (the caller's
   word: see above).  False when no such order is open, or when it must stay
   open: its copy is loading, or it is not fenced off by a backend server that
   checks tokens.  Keep its record then; it is released again later.  */
bool pu_ledger_release (pu_ledger_t *l, guint64 token);

/* pu_ledger_restore_backend, pu_ledger_restore_order - rebuild a ledger from
   an image, without checks: all that was counted is counted again.  */
void pu_ledger_restore_backend (pu_ledger_t *l, const pu_ledger_report_t *r,
                                bool down);
void pu_ledger_restore_order (pu_ledger_t *l, const pu_ledger_order_t *o);

/* pu_ledger_get_backend - fills R with what is believed of BACKEND; held
   points into the ledger until its next change.  DOWN may be NULL.  False when
   it is not known.  */
bool pu_ledger_get_backend (const pu_ledger_t *l, guint32 backend,
                            pu_ledger_report_t *r, bool *down);

/* pu_ledger_committed_mb - MB counted on each accelerator of BACKEND.  */
guint64 pu_ledger_committed_mb (const pu_ledger_t *l, guint32 backend);

/* pu_ledger_free_mb - MB that a new copy may take on each accelerator; 0 when
   the backend server is down, leaving, not known or over its size.  */
guint64 pu_ledger_free_mb (const pu_ledger_t *l, guint32 backend);

/* pu_ledger_fits - whether a load of COPY with MEMORY_MB would be accepted
   now; memory counted for the same copy is not needed twice.  */
bool pu_ledger_fits (const pu_ledger_t *l, guint32 backend, guint32 copy,
                     guint32 memory_mb);

/* pu_ledger_order - the open order TOKEN, or NULL.  */
const pu_ledger_order_t *pu_ledger_order (const pu_ledger_t *l, guint64 token);

/* pu_ledger_orders - the open orders by rising token, as a new array of
   pu_ledger_order_t that the caller frees with g_array_unref.  */
GArray *pu_ledger_orders (const pu_ledger_t *l);

G_END_DECLS

#endif
