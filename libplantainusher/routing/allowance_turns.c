/* When requests that are refused are to return.  */

#include "routing/allowance_private.h"

#include <math.h>

enum
{
  RETRY_AFTER_MIN_MS = 1,
  /* Callers honour Retry-After up to this part of the time that they have
     left.  One that returns earlier is not counted as expected back.  */
  HONOURED_DIVISOR = 3,
  OTHERS_MS = 1000, /* how long the others' refusals are extrapolated */
};

/* Wait added in a millisecond by what other entries refuse, at most.  */
#define OTHERS_MAX 20.0

/* Part of its turn by which a refused request may be told to return earlier:
   requests refused at the same time at several entries return apart.  */
#define SPREAD_PART 0.5

/* Time constant of the distribution of refused units over priorities.  */
#define REFUSED_MS 2000.0

guint
pu_allowance_clamp_retry (double ms)
{
  return (guint)CLAMP (ceil (ms), RETRY_AFTER_MIN_MS,
                       PU_ALLOWANCE_RETRY_MAX_MS);
}

double
pu_allowance_decayed (double value, guint64 at, guint64 now,
                      double constant_ms)
{
  return now > at ? value * exp (-(double)(now - at) / constant_ms) : value;
}

/* Returns the units a second that refused requests of T share.  Without word
   of the leader: what is granted to this entry, but at least its share.  */
static double
left_per_s (const pu_allowance_t *a, const team_t *t, guint64 now)
{
  double rate = (double)t->rate;
  double granted;

  if (t->told_at > 0)
    return MAX (t->left_per_s, 1);
  granted = a->alone ? 0
                     : pu_allowance_decayed (t->grants_per_s, t->grants_at,
                                             now, PU_ALLOWANCE_GRANTS_MS);
  return CLAMP (granted, rate / a->entries, rate);
}

/* Returns the milliseconds until all that were refused are back.  */
static double
turns_ms (const team_t *t, guint64 now)
{
  guint64 since = now > t->told_at ? now - t->told_at : 0;
  double end = t->turns_end + t->others * (double)MIN (since, OTHERS_MS);

  return CLAMP (end - (double)now, 0, PU_ALLOWANCE_RETRY_MAX_MS);
}

static void
count_refused (team_t *t, guint priority, guint64 units, guint64 now)
{
  for (guint i = 0; i < PU_ALLOWANCE_PRIORITIES; i++)
    {
      t->refused_of[i] = pu_allowance_decayed (t->refused_of[i], t->refused_at,
                                               now, REFUSED_MS);
    }
  t->refused_at = now;
  t->refused_of[priority] += (double)units;
}

/* Returns the part of the refused units whose priority is PRIORITY or
   higher.  */
static double
part_from (const team_t *t, guint priority)
{
  double from = 0;
  double all = 0;

  for (guint i = 0; i < PU_ALLOWANCE_PRIORITIES; i++)
    {
      all += t->refused_of[i];
      from += i >= priority ? t->refused_of[i] : 0;
    }
  return all > 0 ? from / all : 0;
}

guint
pu_allowance_take_turn (const pu_allowance_t *a, team_t *t, const request_t *q,
                        guint next_ms, guint64 now)
{
  guint priority = MIN (q->priority, PU_ALLOWANCE_PRIORITIES - 1);
  double own = (double)q->units * 1000 / left_per_s (a, t, now);
  double all = turns_ms (t, now) + own;
  double begin;
  double end;
  guint ms;

  count_refused (t, priority, q->units, now);
  end = all * part_from (t, priority);
  begin = all * part_from (t, priority + 1);
  end -= (end - begin) * SPREAD_PART * g_rand_double (a->rand);
  ms = pu_allowance_clamp_retry (next_ms + end);
  if (q->left_ms == 0 || ms <= q->left_ms / HONOURED_DIVISOR)
    {
      t->turns_end = MIN (MAX (t->turns_end, (double)now) + own,
                          (double)now + PU_ALLOWANCE_RETRY_MAX_MS);
      t->refused += q->units;
    }
  return ms;
}

void
pu_allowance_take_turns_end (team_t *t, const pu_allowance_grant_t *g,
                             guint64 now)
{
  double end = (double)now + g->wait_ms;
  double left = (double)MAX (g->left_per_s, 1);
  double before = MAX (t->told_end, (double)t->told_at);
  double moved = end - before - (double)t->refused_asked * 1000 / left;
  /* Replies come PU_ALLOWANCE_QUESTION_MS apart where nothing waits, some of
     them late.  */
  bool recent = t->told_at > 0
                && now <= t->told_at + PU_ALLOWANCE_QUESTION_MS
                              + PU_ALLOWANCE_REPLY_LATE_MS;

  t->others = recent && now > t->told_at
                  ? CLAMP (moved / (double)(now - t->told_at), 0, OTHERS_MAX)
                  : 0;
  t->left_per_s = left;
  t->told_end = end;
  t->told_at = now;
  t->turns_end = MIN (end + (double)t->refused * 1000 / left,
                      (double)now + PU_ALLOWANCE_RETRY_MAX_MS);
}
