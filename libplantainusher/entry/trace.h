#ifndef PU_ENTRY_TRACE_H
#define PU_ENTRY_TRACE_H

#include "entry/entry_private.h"

G_BEGIN_DECLS

/*
 * trace - a line of the log for each decision that touches a request, with
 * its id, what decided it and how old that was.  `grep ID` tells its story.
 */

/* pu_trace_queued - X waits in the router.  */
void pu_trace_queued (const pu_exchange_t *x);

/* pu_trace_model_wait - X waits for its model to be loaded.  */
void pu_trace_model_wait (const pu_exchange_t *x);

/* pu_trace_sent - X goes to the backend server S.  */
void pu_trace_sent (const pu_exchange_t *x, const pu_server_t *s);

/* pu_trace_relayed - X goes to the entry TO.  */
void pu_trace_relayed (const pu_exchange_t *x, const char *to);

/* pu_trace_broke - an attempt of X has ended with FAILURE.  */
void pu_trace_broke (const pu_exchange_t *x, pu_router_failure_t failure);

/* pu_trace_failed - X is answered with R.  */
void pu_trace_failed (const pu_exchange_t *x, const pu_refusal_t *r,
                      const char *message);

/* pu_trace_rejected - the request ID (may be NULL) is answered with R
   before anything of it was read.  */
void pu_trace_rejected (const pu_entry_t *en, const char *id,
                        const pu_refusal_t *r, const char *message);

/* pu_trace_answered - X has its backend server's whole answer.  */
void pu_trace_answered (const pu_exchange_t *x);

/* pu_trace_first_event - X's caller gets the first event of a stream. Counted,
   not logged.  */
void pu_trace_first_event (const pu_exchange_t *x);

/* pu_trace_caller_gone - X's caller has gone.  */
void pu_trace_caller_gone (const pu_exchange_t *x);

G_END_DECLS

#endif
