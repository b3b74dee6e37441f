/* What an entry uses that gets no reply.  */

#include "routing/allowance_private.h"

enum
{
  ALONE_CAREFUL_MS = 2000,
  ALONE_LARGE_MS = 8000,
  ALONE_SAVED_MS = 3000, /* of the share, for requests that are larger */
};

/* Part of its share that an entry uses at first when it is alone: the leader
   notices its absence only after 1.5 s.  */
#define ALONE_CAREFUL_PART 0.5

/* What a request counts as, of an entry that is alone, if it is larger than
   the share of ALONE_LARGE_MS.  Such requests are admitted at random, and
   their sum over all entries varies by a third of what a small team may use.
 */
#define ALONE_LARGE_CHARGE 1.5

void
pu_allowance_begin_alone (pu_allowance_t *a, guint64 now)
{
  GHashTableIter i;
  gpointer value;

  if (a->alone)
    return;
  a->alone = true;
  a->alone_since = now;
  g_hash_table_iter_init (&i, a->teams);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      team_t *t = value;

      t->has_level = false;
      t->refused_until = 0;
      t->told_at = 0;
      t->others = 0;
    }
}

static double
share_per_ms (const pu_allowance_t *a, const team_t *t)
{
  return (double)t->rate / a->entries / 1000.0;
}

/* Milliseconds between FROM and TO, those of the careful time for a part.  */
static double
alone_ms (const pu_allowance_t *a, guint64 from, guint64 to)
{
  guint64 end = a->alone_since + ALONE_CAREFUL_MS;
  double careful = from < end ? (double)(MIN (to, end) - from) : 0;

  return (double)(to - from) - careful * (1 - ALONE_CAREFUL_PART);
}

/* Fills the level, but not beyond MORE and the share of the burst.  */
static void
fill_level (const pu_allowance_t *a, team_t *t, double more, guint64 now)
{
  double most = more + (double)MAX (t->burst, 1) / a->entries;

  if (now > t->level_at)
    {
      t->level += share_per_ms (a, t) * alone_ms (a, t->level_at, now);
      t->level_at = now;
    }
  t->level = MIN (t->level, most);
}

static void
begin_level (const pu_allowance_t *a, team_t *t)
{
  t->has_level = true;
  t->level = 0;
  t->level_at = a->alone_since;
  t->first_part = g_rand_double (a->rand);
}

/* Decides on a request that is larger than the share of many seconds: at
   random, so that all entries together admit what they have earned, on
   average.  A refusal uses up what has been earned as well; else each entry
   that had been idle would admit one request at once.  */
static guint
take_large (pu_allowance_t *a, team_t *t, guint64 units, guint64 now)
{
  double charge = (double)units * ALONE_LARGE_CHARGE;
  double earned;

  fill_level (a, t, share_per_ms (a, t) * ALONE_SAVED_MS, now);
  earned = MAX (t->level, 0);
  t->level -= earned;
  if (g_rand_double (a->rand) * charge >= earned)
    return pu_allowance_clamp_retry (charge * 1000 / (double)t->rate);
  t->overdrawn += units;
  return 0;
}

/* The level may go below 0, and the first request needs a random part of its
   own units: then all entries together admit the rate from the beginning, on
   average.  */
guint
pu_allowance_take_alone (pu_allowance_t *a, team_t *t, guint64 units,
                         guint64 now)
{
  double charge = (double)units;
  double needed;

  if (!t->has_level)
    begin_level (a, t);
  if (share_per_ms (a, t) * ALONE_LARGE_MS < charge)
    return take_large (a, t, units, now);
  needed = t->first_part * charge;
  fill_level (a, t, needed, now);
  if (t->level <= needed)
    {
      return pu_allowance_clamp_retry (
          (needed - t->level) / share_per_ms (a, t) + 1);
    }
  t->level -= needed + charge;
  t->first_part = 0;
  t->overdrawn += units;
  return 0;
}
