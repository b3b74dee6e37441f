#ifndef PU_SUSPECTS_SUSPECTS_H
#define PU_SUSPECTS_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * suspects - requests that may have crashed a backend server.
 *
 * An entry notes what runs where.  When a backend server dies, everything it
 * was running gets a strike in the replicated log and is a suspect on every
 * daemon.  A suspect runs apart: sent by the one entry that its model hashes
 * to, never twice at the same time, on a backend server that runs no other
 * suspect.  When that backend server dies too, the suspect alone is struck:
 * who ran beside it is taken for innocent.  The log convicts at the second
 * strike; a convicted request is refused.
 *
 * Copies of one request that nothing is known of yet stay together: while one
 * runs without an answer, the others go to the same backend server or wait a
 * little; while it is not known whether one died with its backend server,
 * they wait.  The router sends copies that come through other entries to the
 * same one where it can (pu_router_request_t's fingerprint).
 *
 * So a request that crashes what runs it takes two backend servers at most:
 * the first finds it among others, the second finds it alone.  Two crashing
 * requests on one backend server at the same moment can cost a third.
 */

typedef struct pu_suspects pu_suspects_t;

typedef struct
{
  guint64 strike_wait_ms; /* a strike that the log has not taken counts here
                             for that long */
  guint64 like_wait_ms;   /* the most that a request waits for the answer to
                             its like at another backend server */
  guint64 cut_kept_ms;    /* a death within this may be of a cut request */
  guint64 cut_wait_ms;    /* a suspect waits so long after its like was cut */
  guint test_breaks;      /* pu_suspects_break_t; 0 outside tests */
} pu_suspects_options_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_SUSPECTS_BREAK_NO_STRIKE = 1,     /* a death strikes nobody */
  PU_SUSPECTS_BREAK_TOGETHER = 2,      /* a suspect runs twice at a time */
  PU_SUSPECTS_BREAK_NO_CONVICTION = 4, /* the convicted run on */
  PU_SUSPECTS_BREAK_SCATTER = 8,       /* copies need not stay together */
  PU_SUSPECTS_BREAK_CUT_APART = 16     /* a cut request ran apart if it is a
                                          suspect by now */
} pu_suspects_break_t;

/* pu_suspects_options_init - strikes count here for ten minutes; likes wait
   for 200 ms; cuts are kept for 5 s and waited for for one.  */
void pu_suspects_options_init (pu_suspects_options_t *o);

pu_suspects_t *pu_suspects_new (const pu_suspects_options_t *o);
void pu_suspects_free (pu_suspects_t *s);

/* pu_suspects_fingerprint - the hash of MODEL and the input: what decides
   whether two requests are the same for a backend server.  */
guint64 pu_suspects_fingerprint (const char *model, const void *input,
                                 size_t len);

typedef enum
{
  PU_SUSPECTS_RUN,          /* no suspicion */
  PU_SUSPECTS_RUN_ISOLATED, /* may run now, apart */
  PU_SUSPECTS_WAIT,  /* its like runs apart, was cut there just now, or broke
                        and is looked at: ask again soon */
  PU_SUSPECTS_REFUSE /* convicted */
} pu_suspects_verdict_t;

/* pu_suspects_put - what the replicated state says of FINGERPRINT: STRIKES
   counted, CONVICTED.  pu_suspects_remove removes it.  */
void pu_suspects_put (pu_suspects_t *s, guint64 fingerprint, guint strikes,
                      bool convicted);
void pu_suspects_remove (pu_suspects_t *s, guint64 fingerprint);

/* pu_suspects_check - whether a request of FINGERPRINT may run at NOW.  */
pu_suspects_verdict_t pu_suspects_check (pu_suspects_t *s, guint64 fingerprint,
                                         guint64 now);

/* pu_suspects_is_suspect - whether it must be sent to the entry that its
   model hashes to.  */
bool pu_suspects_is_suspect (const pu_suspects_t *s, guint64 fingerprint,
                             guint64 now);

/* pu_suspects_started - REQUEST, a number of the caller's, runs at
   INCARNATION of BACKEND, a handle of the caller's.  */
void pu_suspects_started (pu_suspects_t *s, guint64 request,
                          guint64 fingerprint, guint32 backend,
                          guint64 incarnation, guint64 now);

/* pu_suspects_answered - its first token, or its whole answer, came.  */
void pu_suspects_answered (pu_suspects_t *s, guint64 request);

/* pu_suspects_connection_lost - its connection broke: whether its backend
   server died is being looked at.  The end of that is to be told, too.  */
void pu_suspects_connection_lost (pu_suspects_t *s, guint64 request);

/* pu_suspects_finished - it ended, in whatever way but its backend server's
   death or a cut.  */
void pu_suspects_finished (pu_suspects_t *s, guint64 request);

/* pu_suspects_aborted - it was cancelled, or broke while its backend server
   listened on.  The backend server may die of it yet.  */
void pu_suspects_aborted (pu_suspects_t *s, guint64 request, guint64 now);

/* pu_suspects_must_avoid - whether a request of FINGERPRINT has to keep away
   from BACKEND, because its like runs elsewhere without an answer.  It has
   waited since SINCE for that (0: not yet).  */
bool pu_suspects_must_avoid (const pu_suspects_t *s, guint64 fingerprint,
                             guint32 backend, guint64 since, guint64 now);

/* One strike to be proposed.  */
typedef struct
{
  guint64 fingerprint;
  guint32 backend;
  guint64 incarnation;
  bool apart; /* it ran apart: the log counts the death against it alone */
} pu_suspects_strike_t;

/* pu_suspects_backend_died - INCARNATION of BACKEND, or an older one, is dead:
   what ran there ends, and what was cut there lately may have killed it.  The
   strikes to propose are appended to STRIKES (of pu_suspects_strike_t), each
   fingerprint once; they count here at once. Returns how many requests ended.
 */
guint pu_suspects_backend_died (pu_suspects_t *s, guint32 backend,
                                guint64 incarnation, GArray *strikes,
                                guint64 now);

/* pu_suspects_occupied - whether BACKEND runs a suspect, or one was cut there
   just now, so that neither another suspect nor anything else is sent there
   from here.  */
bool pu_suspects_occupied (const pu_suspects_t *s, guint32 backend,
                           guint64 now);

/* pu_suspects_in_flight - requests noted, for the dump.  */
guint pu_suspects_in_flight (const pu_suspects_t *s);

G_END_DECLS

#endif
