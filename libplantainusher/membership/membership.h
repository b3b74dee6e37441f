#ifndef PU_MEMBERSHIP_MEMBERSHIP_H
#define PU_MEMBERSHIP_MEMBERSHIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * membership - the leader's failure detector for daemons and backend servers.
 *
 * Daemons keep sessions alive with heartbeats; a backend server has a lease
 * that its home entry renews.  This module does no I/O: its user reports which
 * heartbeats arrived and when, and asks which subjects have failed.  Times are
 * milliseconds of the leader's monotonic clock.
 *
 * The suspicion timeout of a subject adapts to its heartbeats.  It is twice
 * the mean interval, so that one heartbeat may be lost, plus
 * `deviation_factor` times the mean deviation of the intervals, clamped to
 * min_timeout_ms and max_timeout_ms.  A slow instance thus gets more time, and
 * no subject less than min_timeout_ms.  While the route of the subject (a
 * voter for a session, the home entry for a lease) has itself been silent for
 * over route_timeout_ms, or over half of min_timeout_ms, the timeout is
 * max_timeout_ms, because missing heartbeats then say nothing about the
 * subject.  Time in which the leader did not run does not count as silence.
 */

typedef struct pu_membership pu_membership_t;

typedef enum
{
  PU_SUBJECT_MEMBER,
  PU_SUBJECT_BACKEND
} pu_subject_kind_t;

/* Faults that tests inject to show that their checks can fail.  */
typedef enum
{
  PU_MEMBERSHIP_BREAK_NO_RESET = 1, /* pu_membership_reset removes nothing */
  PU_MEMBERSHIP_BREAK_FIXED_TIMEOUT
  = 2, /* the timeout is always min_timeout_ms */
  PU_MEMBERSHIP_BREAK_IGNORE_ROUTE = 4, /* silence of the route is ignored */
} pu_membership_break_t;

typedef struct
{
  guint32 min_timeout_ms[2]; /* by kind: lower bound of the timeout */
  guint32 max_timeout_ms[2]; /* by kind: upper bound of the timeout */
  double deviation_factor;   /* mean deviations in the timeout; default 6 */
  guint32 route_timeout_ms;  /* silence after which a route is suspected, half
                                of min_timeout_ms at most */
  guint32 max_tick_gap_ms; /* time between ticks beyond this is not counted as
                              silence */
  guint32 report_interval_ms; /* between reports of the same failure */
  unsigned breaks;            /* pu_membership_break_t; 0 outside tests */
} pu_membership_options_t;

/* pu_membership_options_init - sets the defaults: timeouts of 8 s to 32 s for
   daemons and of 5 s to 20 s for backend servers.  */
void pu_membership_options_init (pu_membership_options_t *o);

pu_membership_t *pu_membership_new (const pu_membership_options_t *o);
void pu_membership_free (pu_membership_t *m);

/* pu_membership_reset - this voter leads from NOW on.  Removes all subjects
   and routes, so that every subject gets a full timeout again.  */
void pu_membership_reset (pu_membership_t *m, uint64_t now);

/* pu_membership_expect - NAME is up in INCARNATION according to the log.  Must
   be called before each tick for all subjects that are up; the tick removes
   the others.  A new subject or incarnation counts as heard at NOW.  */
void pu_membership_expect (pu_membership_t *m, pu_subject_kind_t kind,
                           const char *name, uint64_t incarnation,
                           uint64_t now);

/* pu_membership_record_heartbeat - records a heartbeat or lease renewal of
   NAME in INCARNATION that arrived at AT, not in the future, over ROUTE: the
   name of the voter for a daemon, of the home entry for a backend server.
   Ignored unless NAME is expected in this incarnation.  */
void pu_membership_record_heartbeat (pu_membership_t *m,
                                     pu_subject_kind_t kind, const char *name,
                                     uint64_t incarnation, const char *route,
                                     uint64_t at);

/* pu_membership_record_route_heartbeat - records that voter NAME was heard at
   AT.  Home entries are daemons and are recorded with
   pu_membership_record_heartbeat.  */
void pu_membership_record_route_heartbeat (pu_membership_t *m,
                                           const char *name, uint64_t at);

/* A failed subject; NAME is valid until the next call.  */
typedef struct
{
  pu_subject_kind_t kind;
  const char *name;
  uint64_t incarnation;
  uint64_t silent_ms; /* time since its last heartbeat */
} pu_membership_failure_t;

/* pu_membership_tick - appends to FAILURES (pu_membership_failure_t) the
   subjects that have failed at NOW.  The caller proposes the failure to the
   log; it is reported again after report_interval_ms while the subject is
   expected.  */
void pu_membership_tick (pu_membership_t *m, uint64_t now, GArray *failures);

/* pu_membership_get_silence - stores how long NAME has been silent in
   *SILENT_MS and its suspicion timeout in *TIMEOUT_MS.  False if NAME is not
   known.
 */
bool pu_membership_get_silence (const pu_membership_t *m,
                                pu_subject_kind_t kind, const char *name,
                                uint64_t now, uint64_t *silent_ms,
                                uint64_t *timeout_ms);

G_END_DECLS

#endif
