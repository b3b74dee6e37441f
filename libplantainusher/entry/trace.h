#ifndef PU_ENTRY_TRACE_H
#define PU_ENTRY_TRACE_H

#include "entry/entry_private.h"

G_BEGIN_DECLS

/*
 * trace - logs and counts the decisions about a request.
 *
 * Each decision is one line of the log, with the id of the request, the
 * figures behind the decision and the age of these figures, so that `grep ID`
 * shows everything that happened to a request.
 */

/* pu_trace_queued - the request X waits in the router's queue.  */
void pu_trace_queued (const pu_exchange_t *x);

/* pu_trace_model_wait - X waits until its model is loaded.  */
void pu_trace_model_wait (const pu_exchange_t *x);

/* pu_trace_sent - X was sent to the backend server S.  */
void pu_trace_sent (const pu_exchange_t *x, const pu_server_t *s);

/* pu_trace_relayed - X is relayed to the entry TO.  */
void pu_trace_relayed (const pu_exchange_t *x, const char *to);

/* pu_trace_attempt_failed - an attempt of X failed with FAILURE.  */
void pu_trace_attempt_failed (const pu_exchange_t *x,
                              pu_router_failure_t failure);

/* pu_trace_convicted - X is refused, as requests of its content have crashed
   backend servers.  */
void pu_trace_convicted (const pu_exchange_t *x);

/* pu_trace_convicted_part - X is refused, as requests with a part of its
   prompt have crashed backend servers.  */
void pu_trace_convicted_part (const pu_exchange_t *x);

/* pu_trace_request_failed - X is answered with the refusal or failure R.  */
void pu_trace_request_failed (const pu_exchange_t *x, const pu_refusal_t *r,
                              const char *message);

/* pu_trace_rejected - the request ID (may be NULL) is refused with R before
   any of it is read.  */
void pu_trace_rejected (const pu_entry_t *en, const char *id,
                        const pu_refusal_t *r, const char *message);

/* pu_trace_answered - the complete response to X has arrived.  */
void pu_trace_answered (const pu_exchange_t *x);

/* pu_trace_first_event - the first event of a stream is forwarded to the
   caller of X.  The event is counted but not logged.  */
void pu_trace_first_event (const pu_exchange_t *x);

/* pu_trace_caller_gone - X's caller closed its connection before the response
   was complete.  */
void pu_trace_caller_gone (const pu_exchange_t *x);

G_END_DECLS

#endif
