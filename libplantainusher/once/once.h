#ifndef PU_ONCE_ONCE_H
#define PU_ONCE_ONCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * once - at-most-once execution of calls that have an idempotency key.
 *
 * A call with an idempotency key is claimed in the replicated log before it is
 * dispatched, dispatched at most once, and its result recorded, so that a
 * retry through any entry gets the first answer.  This module does no I/O: it
 * returns actions, and its user proposes commands to the log, sends the call
 * and answers the callers.
 *
 *   begin -> CLAIM -> claimed -> DISPATCH -> finished -> RECORD -> recorded
 *
 * Invariant: DISPATCH is returned only for an attempt whose claim was
 * granted, and once for each attempt.  A call whose claim timed out is
 * answered as not run and never dispatched; the claim is retried in the
 * background until the log settles it, and if it is granted then, the outcome
 * is recorded as not run.
 */

typedef struct pu_once pu_once_t;

typedef guint32 pu_once_handle_t; /* a call in progress; 0: none */

/* The longest key and service name in bytes.  */
#define PU_ONCE_NAME_MAX 128

typedef struct
{
  guint keys_max;    /* keys in progress at the same time */
  guint waiters_max; /* callers waiting for one key */
  guint64 window_ms; /* how long the log keeps results; not read here */
  guint64 skew_ms;   /* assumed bound on clock skew; capped at half the
                        window */
  guint64 retry_ms;  /* backoff before a claim or record is retried */
  guint test_breaks; /* pu_once_break_t; 0 outside tests */
} pu_once_options_t;

/* Faults that tests inject to show that their checks can fail.  */
typedef enum
{
  PU_ONCE_BREAK_DISPATCH_LATE = 1,      /* dispatch without a waiting caller */
  PU_ONCE_BREAK_SHARED_ATTEMPT = 2,     /* give all calls one attempt number */
  PU_ONCE_BREAK_UNKNOWN_AS_NOT_RUN = 4, /* record unknown as not run */
  PU_ONCE_BREAK_IGNORE_TIMEOUT = 8      /* refusal settles a timed-out claim */
} pu_once_break_t;

/* pu_once_options_init - 10,000 keys, 64 waiters, 30 s of skew, 1 s of
   backoff.  */
void pu_once_options_init (pu_once_options_t *o);

/* What the user of this module must do next.  */
typedef enum
{
  PU_ONCE_ACTION_CLAIM,    /* propose the claim: handle, attempt */
  PU_ONCE_ACTION_DISPATCH, /* send the call, once: handle */
  PU_ONCE_ACTION_RECORD,   /* propose the outcome: handle, position, outcome,
                              result */
  PU_ONCE_ACTION_ANSWER    /* answer the caller: caller, answer, result */
} pu_once_action_type_t;

/* How a call ended, as in the X-Outcome header.  */
typedef enum
{
  PU_ONCE_OUTCOME_RAN,
  PU_ONCE_OUTCOME_NOT_RUN,
  PU_ONCE_OUTCOME_UNKNOWN
} pu_once_outcome_t;

typedef enum
{
  PU_ONCE_ANSWER_RESULT,   /* the result of this or an earlier run */
  PU_ONCE_ANSWER_RUNNING,  /* another entry runs it; retry later */
  PU_ONCE_ANSWER_CONFLICT, /* the key was used for another request */
  PU_ONCE_ANSWER_UNKNOWN,  /* it may have run and will not run again */
  PU_ONCE_ANSWER_NOT_RUN   /* no claim, or refused by the backend server */
} pu_once_answer_t;

/* A result of a call.  A result that is passed in is copied.  The pointers of
   a result in an action are valid until the next pu_once_next or
   pu_once_free.  */
typedef struct
{
  guint status; /* HTTP */
  const char *content_type;
  const void *body;
  size_t len;
} pu_once_result_t;

typedef struct
{
  pu_once_action_type_t type;
  pu_once_handle_t handle;
  const char *service;
  const char *key;
  guint64 fingerprint;
  guint64 attempt;           /* CLAIM */
  guint64 window_ms;         /* CLAIM: how long the log keeps the result */
  guint64 position;          /* RECORD: log position of the claim */
  pu_once_outcome_t outcome; /* RECORD */
  guint64 caller;            /* ANSWER */
  pu_once_answer_t answer;   /* ANSWER */
  pu_once_result_t result;   /* RECORD and ANSWER_RESULT */
} pu_once_action_t;

/* The log's reply to a claim (state/state_msg.x: pu_outcome and the phase of
   the claim record).  */
typedef enum
{
  PU_ONCE_CLAIM_GRANTED,     /* this attempt may be dispatched */
  PU_ONCE_CLAIM_COMPLETED,   /* it ran earlier; RESULT is its result */
  PU_ONCE_CLAIM_IN_PROGRESS, /* another attempt is running it */
  PU_ONCE_CLAIM_KEY_REUSED,  /* the key was used for another request */
  PU_ONCE_CLAIM_OWNER_LOST,  /* the owner failed; the outcome stays unknown */
  PU_ONCE_CLAIM_ALREADY_CLOSED, /* this attempt is already closed */
  PU_ONCE_CLAIM_REFUSED,  /* not recorded, e.g. no quorum or not a member */
  PU_ONCE_CLAIM_TIMED_OUT /* may or may not have been recorded */
} pu_once_claim_result_t;

/* pu_once_new - creates an empty table.  Attempts are numbered from 1 within
   the entry's incarnation.  Free with pu_once_free.  */
pu_once_t *pu_once_new (const pu_once_options_t *o);
void pu_once_free (pu_once_t *c);

/* Whether a call is accepted; all but PU_ONCE_BEGIN_ACCEPTED leave it
 * unclaimed.  */
typedef enum
{
  PU_ONCE_BEGIN_ACCEPTED,
  PU_ONCE_BEGIN_KEY_EXPIRED, /* the key's timestamp is too old */
  PU_ONCE_BEGIN_INVALID_KEY, /* empty or too long */
  PU_ONCE_BEGIN_KEY_REUSED,  /* in progress here for another request */
  PU_ONCE_BEGIN_OVERLOADED   /* keys_max or waiters_max is reached */
} pu_once_begin_result_t;

/* pu_once_begin - starts or joins the call with KEY of SERVICE for CALLER, a
   number that the user chooses.  FINGERPRINT is the hash of method, path and
   body.  KEY_WALL is the timestamp in the key (pu_once_key_time_ms) or 0 and
   WALL is the current time, both in ms since 1970; WINDOW_MS is how long
   results of the service are kept; NOW is monotonic, in ms.  On
   PU_ONCE_BEGIN_ACCEPTED actions follow, among them exactly one ANSWER for
   CALLER.  Otherwise returns why the call was refused.  Keys and service names
   are 1 to PU_ONCE_NAME_MAX bytes long.  */
pu_once_begin_result_t pu_once_begin (pu_once_t *c, guint64 caller,
                                      const char *service, const char *key,
                                      guint64 fingerprint, guint64 key_wall,
                                      guint64 wall, guint64 window_ms,
                                      guint64 now);

/* pu_once_claimed - reports the log's REPLY to the claim of HANDLE.  POSITION
   is the log position of the claim; RESULT is used with
   PU_ONCE_CLAIM_COMPLETED.  */
void pu_once_claimed (pu_once_t *c, pu_once_handle_t handle,
                      pu_once_claim_result_t reply, guint64 position,
                      const pu_once_result_t *result, guint64 now);

/* pu_once_finished - reports that the dispatched call of HANDLE ended.  RESULT
   is used with PU_ONCE_OUTCOME_RAN.  The callers are answered before the
   outcome is recorded.  */
void pu_once_finished (pu_once_t *c, pu_once_handle_t handle,
                       pu_once_outcome_t outcome,
                       const pu_once_result_t *result, guint64 now);

/* pu_once_recorded - reports the log's reply to the record of HANDLE.  If OK
   is false, the record may not be in the log and is proposed again after
   retry_ms.  */
void pu_once_recorded (pu_once_t *c, pu_once_handle_t handle, bool ok,
                       guint64 now);

/* pu_once_remove_caller - answers CALLER, whose deadline has passed, as not
   run, or as unknown if the call was dispatched, and removes it.  Returns
   false if CALLER is not waiting.  */
bool pu_once_remove_caller (pu_once_t *c, guint64 caller, guint64 now);

/* pu_once_tick - retries claims and records whose backoff has ended.  */
void pu_once_tick (pu_once_t *c, guint64 now);

/* pu_once_next - takes the next action into *A; false if there is none.  The
   pointers in *A are valid until the next pu_once_next or pu_once_free.  */
bool pu_once_next (pu_once_t *c, pu_once_action_t *a);

/* pu_once_key_time_ms - returns the timestamp in KEY, in ms since 1970, if KEY
   is a UUID of version 7 (RFC 9562), else 0.  */
guint64 pu_once_key_time_ms (const char *key);

/* pu_once_count_active - returns the number of keys in progress, for the state
   dump and for a planned stop: a daemon stops only when every outcome is
   recorded.
 */
guint pu_once_count_active (const pu_once_t *c);

G_END_DECLS

#endif
