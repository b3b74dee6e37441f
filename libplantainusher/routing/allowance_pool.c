#include "routing/allowance_pool.h"

#include <math.h>

enum
{
  ABSENT_MS = 1500,  /* without a question */
  CAREFUL_MS = 1000, /* after the start, while the last leader may answer */
  /* The same of a stand-in: the leader withholds nothing before ABSENT_MS.  */
  STAND_IN_CAREFUL_MS = 1200,
  TOLD_MS = 1000,  /* how long a level that the leader told counts */
  FIRST_MS = 2000, /* after the start, with a smaller debt */
  LEVELS_MAX = 64, /* teams told of, which bounds the bytes */
  RELEASE_MAX_MS
  = 1000,         /* of the refill, to an entry that is first heard of */
  ADVANCE_MS = 5, /* between calculations of the shares withheld */
  WITHHELD_MS = 2000,
  TURNS_MAX_MS = 60000,
  NEXT_MAX_MS = 5000,
  DEBT_MS_MIN = 1000,
  USE_MS = 1000, /* time constant of the estimate of recent use */
};

/* Parts of the tolerance that a bucket uses: below an empty bucket, so that
   large requests are served as well as small ones, and above the burst.  The
   rest is for stock, entries whose absence is not noticed yet, and a leader
   that follows another.  */
#define TOLERANCE_BELOW 0.22
#define TOLERANCE_ABOVE 0.12

/* The same in the first seconds of a leader or stand-in, which follows another
   that may have used these parts, and what it has of them at most when it
   starts.  */
#define TOLERANCE_BELOW_FIRST 0.12
#define TOLERANCE_BELOW_STAND_IN 0.1
#define TOLERANCE_START 0.12

/* Part of the refill that is granted at first: a small team, whose tolerance
   is worth seconds of its rate, gets more, so that the sum of a second with
   another leader stays within TOLERANCE_TWICE.  */
#define CAREFUL_PART 0.5
#define STAND_IN_CAREFUL_PART 0.4
#define TOLERANCE_TWICE 0.2

/* Units a second that refused requests share, at least, as a part of the
   rate.  */
#define LEFT_PART_MIN 0.1

/* Stock is at most this part of the level: the rest is for requests that
   wait at other entries.  */
#define STOCK_PART 0.25

typedef struct
{
  char *name;
  guint64 rate;
  guint64 burst;
  double level;    /* at least -below, but for requests that are larger */
  double withheld; /* for use that is reported later */
  double use_per_s;
  guint64 use_at;
  double refused_per_s; /* and expected back, by all entries; lately */
  guint64 refused_at;   /* time of `refused_per_s` */
  double turns_end;     /* time when all that were refused are back */
  double told;          /* level of the leader's bucket */
  guint64 told_at;      /* time of `told`; 0: never */
  double stood_in;      /* granted as a stand-in, and not told the leader */
} bucket_t;

typedef struct
{
  char *name;
  guint64 heard_at;
  bool heard;
  bool alone; /* as it says: no reply reaches it */
} entry_t;

struct pu_allowance_pool
{
  pu_allowance_tolerance_t tolerance;
  GHashTable *buckets; /* name -> bucket_t */
  GHashTable *entries; /* name -> entry_t */
  guint64 since;       /* this voter is the leader, or stands in */
  bool stands_in;
  guint64 advanced_at;
  guint breaks;
};

static void
bucket_free (gpointer data)
{
  bucket_t *b = data;

  g_free (b->name);
  g_free (b);
}

static void
entry_free (gpointer data)
{
  entry_t *e = data;

  g_free (e->name);
  g_free (e);
}

pu_allowance_pool_t *
pu_allowance_pool_new (const pu_allowance_tolerance_t *t, guint64 now)
{
  pu_allowance_pool_t *p = g_new0 (pu_allowance_pool_t, 1);

  p->tolerance = *t;
  p->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, bucket_free);
  p->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  p->since = now;
  p->advanced_at = now;
  return p;
}

void
pu_allowance_pool_free (pu_allowance_pool_t *p)
{
  if (p == NULL)
    return;
  g_hash_table_destroy (p->buckets);
  g_hash_table_destroy (p->entries);
  g_free (p);
}

void
pu_allowance_pool_set_breaks (pu_allowance_pool_t *p, guint breaks)
{
  p->breaks = breaks;
}

/* Units by which the sum may exceed an allowance.  */
static double
tolerated (const pu_allowance_pool_t *p, const bucket_t *b)
{
  const pu_allowance_tolerance_t *t = &p->tolerance;
  double allowed = (double)b->rate * t->window_ms / 1000 + (double)b->burst;

  return t->overage * allowed + (double)t->slack;
}

static double
capacity (const pu_allowance_pool_t *p, const bucket_t *b)
{
  return (double)b->burst + TOLERANCE_ABOVE * tolerated (p, b);
}

/* The lowest level.  A caller may state any number of units: what was used a
   window ago no longer counts.  */
static double
debt_limit (const pu_allowance_pool_t *p, const bucket_t *b)
{
  guint window_ms = MAX (p->tolerance.window_ms, DEBT_MS_MIN);

  return -(double)b->rate * window_ms / 1000;
}

/* The time that passes.  */

/* Milliseconds between FROM and TO in which E was absent.  */
static double
absent_ms (const entry_t *e, guint64 from, guint64 to)
{
  bool present = e->heard && !e->alone;
  guint64 begin = present ? MAX (from, e->heard_at + ABSENT_MS) : from;

  return to > begin ? (double)(to - begin) : 0;
}

/* Returns the part of the refill between FROM and TO that belongs to absent
   entries.  */
static double
absent_part (const pu_allowance_pool_t *p, guint64 from, guint64 to)
{
  guint n = g_hash_table_size (p->entries);
  double sum = 0;
  GHashTableIter i;
  gpointer value;

  if (n == 0 || to <= from || (p->breaks & PU_ALLOWANCE_POOL_BREAK_NO_SHARE))
    return 0;
  g_hash_table_iter_init (&i, p->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    sum += absent_ms (value, from, to);
  return sum / (double)(to - from) / n;
}

/* Returns the part of B's refill that is granted: the last leader may answer
   for a while after this one has begun.  */
static double
careful_part (const pu_allowance_pool_t *p, const bucket_t *b, guint64 now)
{
  guint64 ms = p->stands_in ? STAND_IN_CAREFUL_MS : CAREFUL_MS;
  double least = p->stands_in ? STAND_IN_CAREFUL_PART : CAREFUL_PART;
  double part;

  if (now >= p->since + ms || b->rate == 0
      || (p->breaks & PU_ALLOWANCE_POOL_BREAK_STARTS_FULL))
    return 1;
  part = TOLERANCE_TWICE * tolerated (p, b) * 1000
         / ((double)b->rate * (double)ms);
  return CLAMP (part, least, 1);
}

/* Absent entries have their share of the burst as well.  */
static void
refill (const pu_allowance_pool_t *p, bucket_t *b, double ms, double absent)
{
  double careful = careful_part (p, b, p->advanced_at);
  double units = (double)b->rate * ms / 1000;
  double most = (double)b->rate * WITHHELD_MS / 1000;

  b->withheld = MIN (b->withheld + units * absent, most);
  b->level += units * (1 - absent) * careful;
  b->level = MIN (b->level, capacity (p, b) - (double)b->burst * absent);
}

static void
advance (pu_allowance_pool_t *p, guint64 now, bool at_once)
{
  double absent;
  GHashTableIter i;
  gpointer value;

  if (now <= p->advanced_at || (!at_once && now < p->advanced_at + ADVANCE_MS))
    return;
  absent = absent_part (p, p->advanced_at, now);
  g_hash_table_iter_init (&i, p->buckets);
  while (g_hash_table_iter_next (&i, NULL, &value))
    refill (p, value, (double)(now - p->advanced_at), absent);
  p->advanced_at = now;
}

/* Teams and entries.  */

void
pu_allowance_pool_set_team (pu_allowance_pool_t *p, const char *team,
                            guint64 rate, guint64 burst, guint64 now)
{
  bucket_t *b = g_hash_table_lookup (p->buckets, team);

  advance (p, now, true);
  if (b == NULL)
    {
      b = g_new0 (bucket_t, 1);
      b->name = g_strdup (team);
      g_hash_table_insert (p->buckets, b->name, b);
    }
  b->rate = rate;
  b->burst = burst;
  b->level = MIN (b->level, capacity (p, b));
}

void
pu_allowance_pool_remove_team (pu_allowance_pool_t *p, const char *team)
{
  g_hash_table_remove (p->buckets, team);
}

bool
pu_allowance_pool_has_teams (const pu_allowance_pool_t *p)
{
  return g_hash_table_size (p->buckets) > 0;
}

void
pu_allowance_pool_set_entries (pu_allowance_pool_t *p,
                               const char *const *names, guint n, guint64 now)
{
  GHashTable *old = p->entries;

  advance (p, now, true);
  p->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  for (guint i = 0; i < n; i++)
    {
      entry_t *known = g_hash_table_lookup (old, names[i]);
      entry_t *e = g_new0 (entry_t, 1);

      if (known != NULL)
        *e = *known;
      e->name = g_strdup (names[i]);
      g_hash_table_replace (p->entries, e->name, e);
    }
  g_hash_table_destroy (old);
}

static double
decayed_use (const bucket_t *b, guint64 now)
{
  double ms = now > b->use_at ? (double)(now - b->use_at) : 0;

  return b->use_per_s * exp (-ms / USE_MS);
}

/* Returns the level at which B starts: what the leader before is known to have
   left, within a small part of the tolerance.  */
static double
level_at_start (const pu_allowance_pool_t *p, const bucket_t *b, guint64 now)
{
  if (p->breaks & PU_ALLOWANCE_POOL_BREAK_STARTS_FULL)
    return capacity (p, b);
  if (b->told_at == 0 || now > b->told_at + TOLD_MS)
    return 0;
  return MIN (b->told, TOLERANCE_START * tolerated (p, b));
}

static void
restart (pu_allowance_pool_t *p, bool stands_in, guint64 now)
{
  GHashTableIter i;
  gpointer value;

  p->since = now;
  p->stands_in = stands_in;
  p->advanced_at = now;
  g_hash_table_iter_init (&i, p->buckets);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      bucket_t *b = value;

      b->withheld = 0;
      b->refused_per_s = 0;
      b->turns_end = 0;
      b->level = level_at_start (p, b, now);
      b->told_at = 0;
      b->stood_in = 0;
    }
  g_hash_table_iter_init (&i, p->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((entry_t *)value)->heard = false;
}

void
pu_allowance_pool_restart (pu_allowance_pool_t *p, guint64 now)
{
  /* Who stood in knows what it granted, and whom it has heard.  */
  if (p->stands_in)
    {
      advance (p, now, true);
      p->stands_in = false;
      return;
    }
  restart (p, false, now);
}

/* Levels told by the leader.  */

void
pu_allowance_pool_stand_in (pu_allowance_pool_t *p, guint64 now)
{
  if (!p->stands_in)
    restart (p, true, now);
}

bool
pu_allowance_pool_stands_in (const pu_allowance_pool_t *p)
{
  return p->stands_in;
}

void
pu_allowance_pool_end_stand_in (pu_allowance_pool_t *p)
{
  p->stands_in = false;
}

GArray *
pu_allowance_pool_levels (pu_allowance_pool_t *p, guint64 now)
{
  GArray *levels = pu_allowance_grants_new ();
  GHashTableIter i;
  gpointer value;

  advance (p, now, false);
  g_hash_table_iter_init (&i, p->buckets);
  while (levels->len < LEVELS_MAX && g_hash_table_iter_next (&i, NULL, &value))
    {
      const bucket_t *b = value;
      pu_allowance_grant_t g = { .granted = (guint64)MAX (b->level, 0) };

      if (b->rate == 0 || decayed_use (b, now) < 1)
        continue;
      g.team = g_strdup (b->name);
      g_array_append_val (levels, g);
    }
  return levels;
}

void
pu_allowance_pool_set_levels (pu_allowance_pool_t *p, const GArray *levels,
                              guint64 now)
{
  for (guint i = 0; i < levels->len; i++)
    {
      const pu_allowance_grant_t *g
          = &g_array_index (levels, pu_allowance_grant_t, i);
      bucket_t *b = g_hash_table_lookup (p->buckets, g->team);

      if (b == NULL)
        continue;
      b->told = (double)g->granted;
      b->told_at = now;
    }
}

GArray *
pu_allowance_pool_stood_in (pu_allowance_pool_t *p)
{
  GArray *asks = pu_allowance_asks_new ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, p->buckets);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      bucket_t *b = value;
      pu_allowance_ask_t ask = { .overdrawn = (guint64)b->stood_in };

      if (ask.overdrawn == 0)
        continue;
      b->stood_in = 0;
      ask.team = g_strdup (b->name);
      g_array_append_val (asks, ask);
    }
  return asks;
}

/* Answers.  */

/* Takes in what an entry reports.  What is used without a grant is first
   charged to the refill that was withheld for it.  */
static void
settle (const pu_allowance_pool_t *p, bucket_t *b,
        const pu_allowance_ask_t *ask)
{
  double used = (double)ask->overdrawn;
  double reserved = MIN (used, b->withheld);

  b->withheld -= reserved;
  b->level += (double)ask->returned - (used - reserved);
  b->level = CLAMP (b->level, debt_limit (p, b), capacity (p, b));
}

/* Returns the level from which on a request of UNITS is granted.  One that is
   larger than the bucket needs a full one.  */
static double
level_needed (const pu_allowance_pool_t *p, const bucket_t *b, double units)
{
  bool first = p->advanced_at < p->since + FIRST_MS;
  double part = first ? TOLERANCE_BELOW_FIRST : TOLERANCE_BELOW;

  if (p->stands_in)
    part = TOLERANCE_BELOW_STAND_IN;
  return CLAMP (units - part * tolerated (p, b), 0, capacity (p, b));
}

/* Returns how much of WANTED is granted: all, or as much as there is, but
   never a part of the first request.  */
static double
grant_wanted (const pu_allowance_pool_t *p, const bucket_t *b,
              const pu_allowance_ask_t *ask)
{
  double first = (double)ask->first;
  double wanted = (double)ask->wanted;

  if (wanted <= 0 || b->level < level_needed (p, b, first))
    return 0;
  return floor (CLAMP (b->level, MIN (first, wanted), wanted));
}

static guint
time_until (const pu_allowance_pool_t *p, const bucket_t *b, double units,
            double absent, guint64 now)
{
  double careful = careful_part (p, b, now);
  double missing = level_needed (p, b, units) - b->level;
  double per_ms = (double)b->rate * (1 - absent) * careful / 1000;

  if (per_ms <= 0 || missing / per_ms > NEXT_MAX_MS)
    return NEXT_MAX_MS;
  return (guint)MAX (ceil (missing / per_ms), 1);
}

/* Returns the units a second that those who return share: all that come,
   whether refused before or not, have the same part of the rate.  */
static double
left_per_s (const bucket_t *b, double absent, guint64 now)
{
  double rate = (double)b->rate * (1 - absent);
  double ms = now > b->refused_at ? (double)(now - b->refused_at) : 0;
  double wanted = decayed_use (b, now) + b->refused_per_s * exp (-ms / USE_MS);
  double part = wanted > rate && wanted > 0 ? rate / wanted : 1;

  return MAX (rate * part, (double)b->rate * LEFT_PART_MIN);
}

/* Takes in what an entry refused and expects back.  */
static void
count_refused (bucket_t *b, guint64 units, double absent, guint64 now)
{
  double ms = now > b->refused_at ? (double)(now - b->refused_at) : 0;
  double end = MAX (b->turns_end, (double)now);

  b->refused_per_s
      = b->refused_per_s * exp (-ms / USE_MS) + (double)units * 1000 / USE_MS;
  b->refused_at = now;
  end += (double)units * 1000 / left_per_s (b, absent, now);
  b->turns_end = MIN (end, (double)now + TURNS_MAX_MS);
}

static pu_allowance_grant_t
answer (const pu_allowance_pool_t *p, bucket_t *b,
        const pu_allowance_ask_t *ask, double absent, guint64 now)
{
  pu_allowance_grant_t g = { .team = g_strdup (ask->team) };
  double granted;

  settle (p, b, ask);
  granted = grant_wanted (p, b, ask);
  b->level = MAX (b->level - granted, debt_limit (p, b));
  if (ask->wanted > 0 && granted <= 0)
    {
      g.next_ms = time_until (p, b, (double)ask->first, absent, now);
    }
  else if (b->level > 0)
    {
      double stock = floor (MIN ((double)ask->stock, b->level * STOCK_PART));

      b->level -= stock;
      granted += stock;
    }
  g.granted = (guint64)granted;
  if (p->stands_in)
    b->stood_in = MAX (b->stood_in + granted - (double)ask->returned, 0);
  b->use_per_s = decayed_use (b, now) + granted * 1000 / USE_MS;
  b->use_at = now;
  if (ask->refused > 0)
    count_refused (b, ask->refused, absent, now);
  g.wait_ms = (guint)CLAMP (b->turns_end - (double)now, 1, TURNS_MAX_MS);
  g.left_per_s = (guint64)left_per_s (b, absent, now);
  return g;
}

static bool
says_alone (const GArray *asks)
{
  for (guint i = 0; i < asks->len; i++)
    {
      const pu_allowance_ask_t *ask
          = &g_array_index (asks, pu_allowance_ask_t, i);

      if (ask->first > 0 && ask->wanted == 0)
        return true;
    }
  return false;
}

/* An entry that is first heard of, and is not alone, has used no share of its
   own: its part of the refill since the start need not be withheld.  */
static void
release_share (pu_allowance_pool_t *p, guint64 now)
{
  double ms = (double)MIN (now - p->since, RELEASE_MAX_MS);
  guint n = g_hash_table_size (p->entries);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, p->buckets);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      bucket_t *b = value;
      double units
          = MIN ((double)b->rate * ms / 1000 / n, MAX (b->withheld, 0));

      b->withheld -= units;
      b->level = MIN (b->level + units * careful_part (p, b, p->since),
                      capacity (p, b));
    }
}

GArray *
pu_allowance_pool_answer (pu_allowance_pool_t *p, const char *entry,
                          const GArray *asks, guint64 now)
{
  GArray *grants = pu_allowance_grants_new ();
  entry_t *e = g_hash_table_lookup (p->entries, entry);
  double absent;

  advance (p, now, false);
  if (e != NULL)
    {
      bool first = !e->heard && now < p->since + FIRST_MS;

      e->heard = true;
      e->heard_at = now;
      e->alone = says_alone (asks);
      if (first && !e->alone)
        release_share (p, now);
    }
  absent = absent_part (p, now, now + 1);
  for (guint i = 0; i < asks->len; i++)
    {
      const pu_allowance_ask_t *ask
          = &g_array_index (asks, pu_allowance_ask_t, i);
      bucket_t *b = g_hash_table_lookup (p->buckets, ask->team);

      if (b != NULL && b->rate > 0)
        {
          pu_allowance_grant_t g = answer (p, b, ask, absent, now);

          g_array_append_val (grants, g);
        }
    }
  return grants;
}

bool
pu_allowance_pool_state (const pu_allowance_pool_t *p, const char *team,
                         guint64 now, pu_allowance_pool_state_t *s)
{
  const bucket_t *b = g_hash_table_lookup (p->buckets, team);
  guint n = g_hash_table_size (p->entries);

  if (b == NULL)
    return false;
  *s = (pu_allowance_pool_state_t){
    .rate = b->rate,
    .burst = b->burst,
    .level = (gint64)floor (b->level),
    .use_per_s = decayed_use (b, now),
    .absent = (guint)(absent_part (p, now, now + 1) * n + 0.5),
  };
  return true;
}
