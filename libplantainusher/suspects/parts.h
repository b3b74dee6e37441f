#ifndef PU_SUSPECTS_PARTS_H
#define PU_SUSPECTS_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * parts - parts of prompts that may crash backend servers.
 *
 * Requests that are all different may share a part of their prompts under
 * which each backend server crashes that begins to write a response.  The
 * requests' own fingerprints (suspects.h) never add up then.
 *
 * Evidence has two sides.  When a backend server crashes, the parts of the
 * requests that were running there are accused.  A run that has written for a
 * good while, or to its end, clears its parts: such a run crashes nothing.
 * Cleared parts are neither accused nor refused.  A run that a crash broke off
 * before that clears nothing.  The last part of a prompt belongs to one
 * request or session and is left out by the caller.
 *
 * The accusations are kept in the replicated log.  A part is convicted when
 * different backend servers have crashed under different requests with it.
 * Where the crashes under one part are fewer than those under another, and
 * among them, the other part explains them.  Among parts with the same crashes
 * nobody can tell which it is: only a request with all of them is refused.
 *
 * A conviction rests some minutes after the last crash, at each entry at
 * another time, so that one request tells whether it still holds.
 *
 * Times are milliseconds of the event loop's clock.
 */

typedef struct pu_parts pu_parts_t;

typedef struct
{
  guint convict_servers;  /* different backend servers that convict a part */
  guint convict_requests; /* and different requests */
  guint suspect_servers;  /* from which a broken request is not repeated */
  guint suspect_requests; /* and different requests */
  guint accused_max;      /* parts accused of one crash */
  guint cleared_max;      /* parts that are known to be cleared */
  guint64 cleared_ms;     /* how long a part stays cleared */
  guint written_events;   /* a run that has written so many events, and for */
  guint64 written_ms;     /* so long, is not going to crash */
  guint64 closed_ms;      /* after which a response that ended with its
                             connection is taken for complete, if its backend
                             server has accepted another one since and has not
                             crashed */
  guint64 ended_ms;       /* how long a broken run is accused of a crash */
  guint64 own_ms;         /* how long an accusation counts here while the log
                             has not accepted it */
  guint64 heard_ms;       /* the same for an accusation of another entry */
  guint learn_runs;       /* nothing is accused before so many runs have got
                             on, */
  guint64 learn_ms;       /* or so long after the first run */
  guint64 rest_after_ms;  /* after the last crash, a conviction rests between
                             this time and twice this time */
  guint64 seed;           /* decides when within that */
} pu_parts_options_t;

/* pu_parts_options_init - fills O with the defaults.  */
void pu_parts_options_init (pu_parts_options_t *o);

/* pu_parts_new - returns a new, empty table.  Copies O.  The caller frees it
   with pu_parts_free.  */
pu_parts_t *pu_parts_new (const pu_parts_options_t *o);
void pu_parts_free (pu_parts_t *p);

/* pu_parts_hash - returns the hash of the part that the LEN bytes at ID name.
   It differs from the fingerprint of any request.  */
guint64 pu_parts_hash (const void *id, size_t len);

/* --- runs --- */

/* pu_parts_started - RUN, a number that the caller assigns, of a request with
   the hash REQUEST and the N PARTS has been sent to INCARNATION of the backend
   server with the hash BACKEND.  */
void pu_parts_started (pu_parts_t *p, guint64 run, guint64 request,
                       const guint64 *parts, guint n, guint64 backend,
                       guint64 incarnation, guint64 now);

/* pu_parts_wrote - RUN has written EVENTS events so far; 0: the head of its
   response.  */
void pu_parts_wrote (pu_parts_t *p, guint64 run, guint events, guint64 now);

/* pu_parts_completed - RUN has written its whole response.  PROVEN is false if
   the end of the connection is the only sign of that.  */
void pu_parts_completed (pu_parts_t *p, guint64 run, bool proven, guint64 now);

/* pu_parts_ended - RUN has ended in another way.  CUT: it was cancelled or
   broke off, and may have crashed its backend server.  */
void pu_parts_ended (pu_parts_t *p, guint64 run, bool cut, guint64 now);

/* pu_parts_backend_alive - INCARNATION of BACKEND has accepted a connection
   that was begun at SINCE.  */
void pu_parts_backend_alive (pu_parts_t *p, guint64 backend,
                             guint64 incarnation, guint64 since);

/* pu_parts_tick - takes the responses that ended with their connections for
   complete when it is time, and forgets old runs.  */
void pu_parts_tick (pu_parts_t *p, guint64 now);

typedef struct
{
  guint64 part;
  guint64 request;
} pu_parts_accusation_t;

/* pu_parts_backend_died - INCARNATION of BACKEND, or an older one, has
   crashed.  Appends the accusations to propose to the log to ACCUSED (of
   pu_parts_accusation_t), at most one for each part; they count here at
   once.  */
void pu_parts_backend_died (pu_parts_t *p, guint64 backend,
                            guint64 incarnation, GArray *accused, guint64 now);

/* A crash under a part.  */
typedef struct
{
  guint64 backend;
  guint64 request;
} pu_parts_crash_t;

/* pu_parts_heard - another entry accuses PART of CRASH.  It counts here until
   heard_ms after the last one that was heard, so that crashes at several
   entries add up while the log accepts nothing.  */
void pu_parts_heard (pu_parts_t *p, guint64 part,
                     const pu_parts_crash_t *crash, guint64 now);

/* --- accusations of the log --- */

/* pu_parts_put - the log has the N CRASHES under PART.  */
void pu_parts_put (pu_parts_t *p, guint64 part,
                   const pu_parts_crash_t *crashes, guint n, guint64 now);

/* pu_parts_remove - the log has lifted the accusations of PART.  */
void pu_parts_remove (pu_parts_t *p, guint64 part);

/* pu_parts_take_lifts - appends to PARTS (of guint64) the parts in the log
   that a run has cleared since the last call.  */
void pu_parts_take_lifts (pu_parts_t *p, GArray *parts);

/* --- verdicts --- */

typedef enum
{
  PU_PARTS_UNKNOWN,   /* no accusation counts */
  PU_PARTS_ACCUSED,   /* some backend server has crashed under a part */
  PU_PARTS_SUSPECTED, /* several have: a broken request is not repeated */
  PU_PARTS_CONVICTED  /* the request is refused */
} pu_parts_verdict_t;

/* pu_parts_check - returns the verdict on a request with the N PARTS.  Stores
   the part that decides in *WHICH, which may be NULL.  */
pu_parts_verdict_t pu_parts_check (const pu_parts_t *p, const guint64 *parts,
                                   guint n, guint64 now, guint64 *which);

/* pu_parts_is_cleared - whether a run has cleared PART lately.  */
bool pu_parts_is_cleared (const pu_parts_t *p, guint64 part, guint64 now);

G_END_DECLS

#endif
