#ifndef PU_MEMBERSHIP_MEMBERSHIP_H
#define PU_MEMBERSHIP_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * membership - decides on the leader which daemons and backend servers are
 * dead: sessions of daemons with adaptive suspicion, and leases of backend
 * servers that their home entry renews.
 *
 * A core: the shell feeds what was heard and when, and asks for what is down.
 * Times are milliseconds of the leader's monotonic clock.
 *
 * How long a subject may be silent follows the beats it was heard at: twice
 * the mean of the intervals, so that one beat may get lost, and `deviations`
 * times their mean deviation, between its least and its most.  A slow instance
 * is given more time, never less than the least.  While the route it came by
 * (a voter for a session, the home entry for a lease) is silent itself, it
 * gets the most: its silence says nothing.  Time that the leader could not
 * listen does not count.
 */

typedef struct pu_membership pu_membership_t;

typedef enum
{
  PU_SUBJECT_MEMBER,
  PU_SUBJECT_BACKEND
} pu_subject_kind_t;

/* Rules broken on purpose; for tests alone.  */
typedef enum
{
  PU_MEMBERSHIP_BREAK_NO_GRACE = 1, /* a new leader starts from silence */
  PU_MEMBERSHIP_BREAK_FIXED = 2,    /* never more than the least */
  PU_MEMBERSHIP_BREAK_ROUTE = 4,    /* the route's silence is ignored */
} pu_membership_break_t;

typedef struct
{
  guint32
      min_timeout_ms[2]; /* by kind: silence that is never held against it */
  guint32 max_timeout_ms[2]; /* by kind: silence that always is */
  double deviations;         /* 6 */
  guint32 route_timeout_ms;  /* a route that is silent for longer is doubted */
  guint32 pause_ms;  /* a gap between ticks over this is a pause of ours */
  guint32 repeat_ms; /* a verdict not carried out is given again */
  unsigned breaks;   /* pu_membership_break_t; tests alone */
} pu_membership_options_t;

/* pu_membership_options_init - daemons 8 s to 32 s, backend servers 5 s to
   20 s.  */
void pu_membership_options_init (pu_membership_options_t *o);

pu_membership_t *pu_membership_new (const pu_membership_options_t *o);
void pu_membership_free (pu_membership_t *m);

/* pu_membership_reset - this voter leads from NOW on: forgets all, so that
   every subject gets its full time again.  */
void pu_membership_reset (pu_membership_t *m, uint64_t now);

/* pu_membership_expect - the log says that NAME is up as INCARNATION.  Called
   before each tick for all that are up; others are forgotten at the tick.  One
   that is new counts as heard NOW.  */
void pu_membership_expect (pu_membership_t *m, pu_subject_kind_t kind,
                           const char *name, uint64_t incarnation,
                           uint64_t now);

/* pu_membership_record_heartbeat - NAME as INCARNATION was heard at AT (not
   after NOW) over ROUTE: the voter's name for a daemon, the home entry's for a
   backend server.  An older incarnation is ignored.  */
void pu_membership_record_heartbeat (pu_membership_t *m,
                                     pu_subject_kind_t kind, const char *name,
                                     uint64_t incarnation, const char *route,
                                     uint64_t at);

/* pu_membership_record_route_heartbeat - voter NAME itself was heard at AT.
   (Home entries are heard as daemons.)  */
void pu_membership_record_route_heartbeat (pu_membership_t *m,
                                           const char *name, uint64_t at);

/* A subject that is down; NAME lives until the next call.  */
typedef struct
{
  pu_subject_kind_t kind;
  const char *name;
  uint64_t incarnation;
  uint64_t silent_ms;
} pu_membership_failure_t;

/* pu_membership_tick - appends to VERDICTS (pu_membership_failure_t) who is
   down at NOW.  The shell proposes it; the verdict comes again after
   `repeat_ms` while the subject is still expected.  */
void pu_membership_tick (pu_membership_t *m, uint64_t now, GArray *verdicts);

/* pu_membership_get_silence - how long NAME has been silent, in *SILENT, and
   the silence it is allowed, in *ALLOWED.  False when it is not known.  */
bool pu_membership_get_silence (const pu_membership_t *m,
                                pu_subject_kind_t kind, const char *name,
                                uint64_t now, uint64_t *silent,
                                uint64_t *allowed);

G_END_DECLS

#endif
