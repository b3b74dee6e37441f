#ifndef PU_ONCE_ONCE_H
#define PU_ONCE_ONCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * once - at-most-once calls at an entry.
 *
 * A call with an idempotency key is claimed in the replicated log before it is
 * dispatched, dispatched at most once, and its result recorded, so that a
 * resend through any entry gets the first answer.  This core decides; its
 * shell proposes commands, sends the call and answers the callers.
 *
 *   begin -> CLAIM -> claimed -> DISPATCH -> finished -> RECORD -> recorded
 *
 * The rule everything hangs on: DISPATCH is given only for an attempt whose
 * claim was granted, to one caller, once.  A call whose claim timed out is
 * answered as not run and never dispatched; the core goes on claiming in the
 * background until it knows, and then records that it did not run.
 */

typedef struct pu_once pu_once_t;

typedef guint32 pu_once_handle_t; /* one key at this entry; 0 is none */

/* The longest key and service name in bytes.  */
#define PU_ONCE_NAME_MAX 128

typedef struct
{
  guint keys_max;    /* keys at work at the same time */
  guint waiters_max; /* callers that wait for the same key */
  guint64 window_ms; /* as the log keeps results */
  guint64 skew_ms;   /* clocks differ by no more than this; half a
                           window at most */
  guint64 retry_ms;  /* pause before a claim or record is sent again */
  guint test_breaks; /* pu_once_break_t; 0 outside tests */
} pu_once_options_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_ONCE_BREAK_DISPATCH_LATE = 1,  /* dispatch when a late claim is granted */
  PU_ONCE_BREAK_ONE_ATTEMPT = 2,    /* callers claim under one attempt */
  PU_ONCE_BREAK_RAN_AS_NOT_RUN = 4, /* record an unknown outcome as not run */
  PU_ONCE_BREAK_FORGET_TIMEOUT = 8  /* let a refused try settle a claim */
} pu_once_break_t;

/* pu_once_options_init - 10,000 keys, 64 waiters, 30 s of skew, one second
   between tries.  */
void pu_once_options_init (pu_once_options_t *o);

/* What the shell does next.  */
typedef enum
{
  PU_ONCE_ACTION_CLAIM,    /* propose the claim: handle, attempt */
  PU_ONCE_ACTION_DISPATCH, /* send the call, once: handle */
  PU_ONCE_ACTION_RECORD,   /* propose the outcome: handle, position, phase,
                              result */
  PU_ONCE_ACTION_ANSWER    /* answer the caller: caller, answer, result */
} pu_once_action_type_t;

/* How a call ended, in the words of X-Outcome.  */
typedef enum
{
  PU_ONCE_OUTCOME_RAN,
  PU_ONCE_OUTCOME_NOT_RUN,
  PU_ONCE_OUTCOME_UNKNOWN
} pu_once_outcome_t;

typedef enum
{
  PU_ONCE_ANSWER_RESULT,   /* the result of the run, now or kept */
  PU_ONCE_ANSWER_RUNNING,  /* another entry runs it: come back */
  PU_ONCE_ANSWER_CONFLICT, /* the key was used for another request */
  PU_ONCE_ANSWER_UNKNOWN,  /* it may have run; it won't run again */
  PU_ONCE_ANSWER_NOT_RUN   /* no claim, or the backend server refused */
} pu_once_answer_t;

/* A result, or the answer of the log to a claim.  BODY is not copied on the
   way in and belongs to the core on the way out, until the next call.  */
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
  guint64 window_ms;         /* CLAIM: the log keeps the result that long */
  guint64 position;          /* RECORD */
  pu_once_outcome_t outcome; /* RECORD */
  guint64 caller;            /* ANSWER */
  pu_once_answer_t answer;   /* ANSWER */
  pu_once_result_t result;   /* RECORD and ANSWER_RESULT */
} pu_once_action_t;

/* What the log said to a claim (state/state_msg.x, pu_outcome and phase).  */
typedef enum
{
  PU_ONCE_CLAIM_GRANTED,        /* ours to run */
  PU_ONCE_CLAIM_COMPLETED,      /* it ran: RESULT is the first answer */
  PU_ONCE_CLAIM_IN_PROGRESS,    /* another owner runs it */
  PU_ONCE_CLAIM_KEY_REUSED,     /* the key was used for another request */
  PU_ONCE_CLAIM_OWNER_LOST,     /* its owner died: unknown for good */
  PU_ONCE_CLAIM_ALREADY_CLOSED, /* this very attempt is closed already */
  PU_ONCE_CLAIM_REFUSED,        /* surely not recorded: no quorum, no member */
  PU_ONCE_CLAIM_TIMED_OUT       /* not known whether it was recorded */
} pu_once_claim_result_t;

/* pu_once_new - an empty table.  Attempts are numbered from 1 within the
   entry's incarnation.  Free with pu_once_free.  */
pu_once_t *pu_once_new (const pu_once_options_t *o);
void pu_once_free (pu_once_t *c);

/* Why a call is refused before anything is claimed.  */
typedef enum
{
  PU_ONCE_BEGIN_ACCEPTED,
  PU_ONCE_BEGIN_KEY_EXPIRED, /* the key's own time is out of the window */
  PU_ONCE_BEGIN_INVALID_KEY, /* empty or too long */
  PU_ONCE_BEGIN_KEY_REUSED,  /* at work here for another request */
  PU_ONCE_BEGIN_OVERLOADED   /* too many keys or waiters */
} pu_once_begin_result_t;

/* pu_once_begin - CALLER, a number of the shell's, asks for KEY of SERVICE.
   FINGERPRINT is the hash of method, path and body.  KEY_WALL is the time in
   the key (pu_once_key_time_ms) or 0; WALL is now, both in ms since 1970;
   WINDOW_MS is how long the service keeps results; NOW is monotonic.  On
   PU_ONCE_BEGIN_ACCEPTED actions follow, and later one ANSWER.  */
pu_once_begin_result_t pu_once_begin (pu_once_t *c, guint64 caller,
                                      const char *service, const char *key,
                                      guint64 fingerprint, guint64 key_wall,
                                      guint64 wall, guint64 window_ms,
                                      guint64 now);

/* pu_once_claimed - the log's answer to the claim of HANDLE.  POSITION is the
   claim's in the log; RESULT goes with PU_ONCE_CLAIM_COMPLETED.  */
void pu_once_claimed (pu_once_t *c, pu_once_handle_t handle,
                      pu_once_claim_result_t what, guint64 position,
                      const pu_once_result_t *result, guint64 now);

/* pu_once_finished - the dispatched call of HANDLE ended.  RESULT goes with
   PU_ONCE_OUTCOME_RAN.  The callers are answered at once; the record follows.
 */
void pu_once_finished (pu_once_t *c, pu_once_handle_t handle,
                       pu_once_outcome_t outcome,
                       const pu_once_result_t *result, guint64 now);

/* pu_once_recorded - the log's answer to the record of HANDLE.  When not OK
   it is tried again after a pause.  */
void pu_once_recorded (pu_once_t *c, pu_once_handle_t handle, bool ok,
                       guint64 now);

/* pu_once_remove_caller - CALLER is answered as not run (or unknown once the
   call was dispatched) and forgotten, at its deadline.  False when not known.
 */
bool pu_once_remove_caller (pu_once_t *c, guint64 caller, guint64 now);

/* pu_once_tick - claims and records whose pause is over.  */
void pu_once_tick (pu_once_t *c, guint64 now);

/* pu_once_next - the next action, false when there is none.  Its pointers
   hold until the next call of any function but this one.  */
bool pu_once_next (pu_once_t *c, pu_once_action_t *a);

/* pu_once_key_time_ms - the time in KEY in ms since 1970 when KEY is a UUID of
   version 7 (RFC 9562), else 0.  */
guint64 pu_once_key_time_ms (const char *key);

/* pu_once_count_active - keys at work, for the dump and for a planned stop: a
   daemon stops only when every outcome is recorded.  */
guint pu_once_count_active (const pu_once_t *c);

G_END_DECLS

#endif
