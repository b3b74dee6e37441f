#ifndef PU_SUSPECTS_SUSPECTS_H
#define PU_SUSPECTS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * suspects - requests that may have crashed a backend server.
 *
 * Limits how many backend servers one crashing request can take down.  An
 * entry records which request is in flight on which backend server.  When a
 * backend server dies, each request in flight there gets a strike in the
 * replicated log, which makes it a suspect on every daemon.  A suspect runs
 * isolated: only the entry that its model hashes to dispatches it, one
 * duplicate at a time, on a backend server that runs no other suspect.  When
 * that backend server dies too, only the suspect gets a strike; the requests
 * that ran beside it are assumed to be harmless.  At the second strike the log
 * convicts the suspect, and a convicted request is refused.
 *
 * Duplicates are requests with the same fingerprint.  Until they are suspects
 * they are kept on one backend server: while one of them is in flight without
 * an answer, the others go to the same backend server or wait for a limited
 * time.  While it is being checked whether the backend server of one of them
 * has died, the others wait.  The router sends duplicates that arrive through
 * other entries to the same backend server where possible (the fingerprint in
 * pu_router_request_t).
 *
 * A crashing request therefore takes down two backend servers at most: at the
 * first it is one of several requests in flight, at the second it is isolated.
 * Two crashing requests on one backend server at the same time can take down
 * a third.
 *
 * With isolate_strikes at 2, a request becomes a suspect at its second strike
 * only.  The many requests that one crash breaks off are then not isolated, at
 * the price of one more backend server for each crashing request.
 *
 * Times are milliseconds of the event loop's clock.
 */

typedef struct pu_suspects pu_suspects_t;

typedef struct
{
  guint64 local_strike_ms;      /* how long a strike counts on this daemon
                                   while the log has not accepted it */
  guint64 duplicate_wait_ms;    /* longest wait for the answer to a duplicate
                                   on another backend server */
  guint64 aborted_retention_ms; /* an aborted request gets a strike for a
                                   death within this time */
  guint64 suspect_cooldown_ms;  /* wait after a suspect was aborted, for its
                                   duplicates and its backend server */
  guint isolate_strikes;        /* strikes that make a request a suspect */
  guint together_strikes;       /* strikes from which duplicates are kept on
                                   one backend server */
  guint test_breaks;            /* pu_suspects_break_t; 0 outside tests */
} pu_suspects_options_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_SUSPECTS_BREAK_NO_STRIKE = 1,         /* a death gives no strikes */
  PU_SUSPECTS_BREAK_CONCURRENT = 2,        /* duplicates of a suspect run at
                                              the same time */
  PU_SUSPECTS_BREAK_NO_REFUSAL = 4,        /* convicted requests still run */
  PU_SUSPECTS_BREAK_SPREAD_DUPLICATES = 8, /* duplicates need not go to the
                                              same backend server */
  PU_SUSPECTS_BREAK_ABORTED_ISOLATED = 16  /* an aborted request counts as
                                              isolated if it has become a
                                              suspect since */
} pu_suspects_break_t;

/* pu_suspects_options_init - fills O with the defaults: local strikes count
   for ten minutes, duplicates wait for 200 ms, aborted requests are kept for
   5 s, the cooldown of a suspect is 1 s, one strike makes a suspect, and
   duplicates are kept together without any strike.  */
void pu_suspects_options_init (pu_suspects_options_t *o);

/* pu_suspects_new - returns a new, empty table.  Copies O.  The caller
   frees it with pu_suspects_free.  */
pu_suspects_t *pu_suspects_new (const pu_suspects_options_t *o);
void pu_suspects_free (pu_suspects_t *s);

/* pu_suspects_fingerprint - returns the hash of MODEL and the LEN bytes of
   INPUT.  Requests with the same fingerprint are duplicates: a backend server
   gets the same work from each.  */
guint64 pu_suspects_fingerprint (const char *model, const void *input,
                                 size_t len);

typedef enum
{
  PU_SUSPECTS_RUN,          /* not a suspect: no restriction */
  PU_SUSPECTS_RUN_ISOLATED, /* a suspect: may run now, isolated */
  PU_SUSPECTS_WAIT,  /* ask again soon: a duplicate of a suspect is in flight
                        or in its cooldown, or the backend server of a
                        duplicate is being checked after a lost connection */
  PU_SUSPECTS_REFUSE /* convicted */
} pu_suspects_verdict_t;

/* pu_suspects_put - stores what the replicated state holds for FINGERPRINT:
   the number of STRIKES and whether it is CONVICTED.  Replaces a local
   strike.  */
void pu_suspects_put (pu_suspects_t *s, guint64 fingerprint, guint strikes,
                      bool convicted);

/* pu_suspects_remove - removes the strikes and the conviction of
   FINGERPRINT.  */
void pu_suspects_remove (pu_suspects_t *s, guint64 fingerprint);

/* pu_suspects_check - returns whether a request with FINGERPRINT may run at
   NOW.  */
pu_suspects_verdict_t pu_suspects_check (pu_suspects_t *s, guint64 fingerprint,
                                         guint64 now);

/* pu_suspects_strikes - returns the number of strikes against FINGERPRINT that
   count at NOW, those included that the log has not accepted yet.  */
guint pu_suspects_strikes (const pu_suspects_t *s, guint64 fingerprint,
                           guint64 now);

/* pu_suspects_is_suspect - returns whether a request with FINGERPRINT has so
   many strikes that it must run isolated.  */
bool pu_suspects_is_suspect (const pu_suspects_t *s, guint64 fingerprint,
                             guint64 now);

/* pu_suspects_started - records that REQUEST, a number that the caller
   assigns, is in flight on INCARNATION of BACKEND, a handle that the caller
   assigns.  */
void pu_suspects_started (pu_suspects_t *s, guint64 request,
                          guint64 fingerprint, guint32 backend,
                          guint64 incarnation, guint64 now);

/* pu_suspects_answered - the first token of REQUEST, or its whole answer, has
   arrived.  */
void pu_suspects_answered (pu_suspects_t *s, guint64 request);

/* pu_suspects_connection_lost - the connection of REQUEST was lost, and the
   caller is checking whether its backend server has died.  The caller must
   report the result with pu_suspects_backend_died, pu_suspects_aborted or
   pu_suspects_finished.  */
void pu_suspects_connection_lost (pu_suspects_t *s, guint64 request);

/* pu_suspects_finished - REQUEST ended in any way other than the death of its
   backend server or an abort.  */
void pu_suspects_finished (pu_suspects_t *s, guint64 request);

/* pu_suspects_aborted - REQUEST was aborted: it was cancelled, or its
   connection was lost while its backend server still accepted connections. The
   backend server may still die because of REQUEST.  */
void pu_suspects_aborted (pu_suspects_t *s, guint64 request, guint64 now);

/* pu_suspects_must_avoid - returns whether a request with FINGERPRINT must not
   be sent to BACKEND because a duplicate is in flight on another one without
   an answer and they are kept together.  SINCE is the time from which the
   request has waited for that; 0: it has not waited yet.  */
bool pu_suspects_must_avoid (const pu_suspects_t *s, guint64 fingerprint,
                             guint32 backend, guint64 since, guint64 now);

/* A strike to be proposed to the replicated log.  */
typedef struct
{
  guint64 fingerprint;
  guint32 backend;
  guint64 incarnation;
  bool apart; /* the request was isolated: the replicated state counts the
                 death against it alone */
} pu_suspects_strike_t;

/* pu_suspects_backend_died - INCARNATION of BACKEND has died, and so have
   older ones.  Removes the requests in flight there and those aborted there
   within the retention time, any of which may have caused the death.  Appends
   the strikes to propose to STRIKES (of pu_suspects_strike_t), at most one for
   each fingerprint; they count on this daemon at once.  Returns how many
   requests were in flight.  */
guint pu_suspects_backend_died (pu_suspects_t *s, guint32 backend,
                                guint64 incarnation, GArray *strikes,
                                guint64 now);

/* pu_suspects_is_reserved - returns whether BACKEND runs a suspect, or is in
   the cooldown after one was aborted there.  The entry must then dispatch
   nothing else to BACKEND, whether a suspect or not.  */
bool pu_suspects_is_reserved (const pu_suspects_t *s, guint32 backend,
                              guint64 now);

/* pu_suspects_has_open - returns whether a request whose connection was not
   lost is in flight on INCARNATION of BACKEND.  */
bool pu_suspects_has_open (const pu_suspects_t *s, guint32 backend,
                           guint64 incarnation);

/* pu_suspects_in_flight - returns the number of requests recorded as in
   flight, for the state dump.  */
guint pu_suspects_in_flight (const pu_suspects_t *s);

G_END_DECLS

#endif
