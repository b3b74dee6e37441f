#ifndef PU_ROUTING_ALLOWANCE_POOL_H
#define PU_ROUTING_ALLOWANCE_POOL_H

#include "routing/allowance.h"

G_BEGIN_DECLS

/*
 * allowance_pool - the leader's side of teams' allowances: one token bucket
 * for each team, from which entries are granted amounts.
 *
 * Memory only.  The voters ask the leader for its levels, several times a
 * second.  While it is silent, one of them stands in, and grants by the same
 * rules: no share of an entry is as large as a request of a small team, and
 * entries that each admit one exceed its allowance.  A leader or stand-in
 * starts with what the last one is known to have left, within 0.12 of the
 * tolerance, else with nothing, and gets a part of the refill at first.  An
 * entry that has not asked for a while, or says that it is alone, uses its own
 * share (routing/allowance.h), which is withheld from refill and burst; what
 * it reports as used is charged to that first.
 *
 * Units that entries refused and expect back are added up as the time by which
 * all these requests have returned, at the rate that was left for them; it
 * passes by itself.
 *
 * A bucket holds the burst and 0.12 of the tolerance, and may be 0.22 of the
 * tolerance below 0, so that large requests are served as often as small ones.
 * docs/design/hard-load.md adds up who may use which part.
 *
 * Pure: no I/O, no clock; `now` is monotonic milliseconds.
 */

typedef struct pu_allowance_pool pu_allowance_pool_t;

/* The tolerance within which the sum over all entries may exceed an
   allowance: over WINDOW_MS no more than
   (rate * window + burst) * (1 + overage) + slack units.  */
typedef struct
{
  guint window_ms;
  double overage;
  guint64 slack;
} pu_allowance_tolerance_t;

pu_allowance_pool_t *pu_allowance_pool_new (const pu_allowance_tolerance_t *t,
                                            guint64 now);
void pu_allowance_pool_free (pu_allowance_pool_t *p);

/* pu_allowance_pool_set_team - as pu_allowance_set_team; a lower level takes
   effect at once.  */
void pu_allowance_pool_set_team (pu_allowance_pool_t *p, const char *team,
                                 guint64 rate, guint64 burst, guint64 now);
void pu_allowance_pool_remove_team (pu_allowance_pool_t *p, const char *team);

/* pu_allowance_pool_has_teams - whether a team is set.  */
bool pu_allowance_pool_has_teams (const pu_allowance_pool_t *p);

/* pu_allowance_pool_set_entries - the entries that may use allowances: NAMES
   of N entries.  One that is no longer named is forgotten.  */
void pu_allowance_pool_set_entries (pu_allowance_pool_t *p,
                                    const char *const *names, guint n,
                                    guint64 now);

/* pu_allowance_pool_answer - answers ASKS of ENTRY.  Returns the grants, one
   for each ask of a known team; the caller frees the array.  */
GArray *pu_allowance_pool_answer (pu_allowance_pool_t *p, const char *entry,
                                  const GArray *asks, guint64 now);

/* pu_allowance_pool_restart - this voter has become the leader: all entries
   count as not heard of, and buckets hold what the last leader is known to
   have left.  One that stood in goes on.  */
void pu_allowance_pool_restart (pu_allowance_pool_t *p, guint64 now);

/* pu_allowance_pool_stand_in - this voter grants while the leader is silent.
   Does nothing if it does so already.  */
void pu_allowance_pool_stand_in (pu_allowance_pool_t *p, guint64 now);
bool pu_allowance_pool_stands_in (const pu_allowance_pool_t *p);

/* pu_allowance_pool_end_stand_in - a leader is heard again.  */
void pu_allowance_pool_end_stand_in (pu_allowance_pool_t *p);

/* pu_allowance_pool_levels - returns what each team that was granted some
   lately could be granted, in `granted`, for 64 teams at most; the caller
   frees the array.  */
GArray *pu_allowance_pool_levels (pu_allowance_pool_t *p, guint64 now);

/* pu_allowance_pool_set_levels - the leader told LEVELS, which it had at NOW
   or later.  */
void pu_allowance_pool_set_levels (pu_allowance_pool_t *p,
                                   const GArray *levels, guint64 now);

/* pu_allowance_pool_stood_in - returns what was granted as a stand-in since
   the last call, in `overdrawn`: a leader that goes on has to charge it.  The
   caller frees the array.  */
GArray *pu_allowance_pool_stood_in (pu_allowance_pool_t *p);

typedef struct
{
  guint64 rate;
  guint64 burst;
  gint64 level;     /* units that could be granted */
  double use_per_s; /* granted, lately */
  guint absent;     /* entries whose share is withheld */
} pu_allowance_pool_state_t;

/* Rules broken on purpose, by tests only.  */
typedef enum
{
  PU_ALLOWANCE_POOL_BREAK_STARTS_FULL
  = 1,                                 /* a new leader's buckets are full */
  PU_ALLOWANCE_POOL_BREAK_NO_SHARE = 2 /* no share is withheld */
} pu_allowance_pool_break_t;

/* pu_allowance_pool_set_breaks - BREAKS are pu_allowance_pool_break_t flags.
 */
void pu_allowance_pool_set_breaks (pu_allowance_pool_t *p, guint breaks);

bool pu_allowance_pool_state (const pu_allowance_pool_t *p, const char *team,
                              guint64 now, pu_allowance_pool_state_t *s);

G_END_DECLS

#endif
