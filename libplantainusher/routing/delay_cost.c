#include "routing/delay_cost.h"

#include <math.h>

/* Time constant of the decaying sums of a load.  */
#define LOAD_DECAY_MS 2000.0
/* A rate is known after requests waited for so long and so many started.  */
#define BUSY_MIN_MS 200.0
#define STARTS_MIN 3.0
/* Least part of the rate that is left to a priority, whatever comes above it:
   the arrivals of the last seconds are no forecast for the next.  */
#define RATE_LEFT_MIN 0.1
/* Weight of a start in the mean time that servers' queues take.  */
#define LEAD_WEIGHT 0.1
/* By how much an estimated wait may be too long.  */
#define WAIT_ERROR 0.5
/* Bound of the error of an output hint, as a factor of the mean.  */
#define HINT_ERROR_MAX 4.0
/* Addition to a Retry-After for each priority below the highest.  */
#define RETRY_PER_PRIORITY 0.1

/* Time constant of the decaying sums of shares.  */
#define SHARES_DECAY_MS 10000.0
#define LARGE_SHARE 0.1 /* of all requests that count as large */
/* Weight of a request in the estimates of the mean and the quantile.  */
#define SIZE_WEIGHT 0.05
/* Requests hardly longer than the mean do not count as large.  */
#define LARGE_FACTOR_MIN 1.5
/* How often large requests are served, compared with all.  The aim of one half
   needs a margin, as the sums lag.  */
#define LARGE_SERVED 0.75

/* A request has much slack if it has this many times the time it needs, and so
   long.  An engine under load may keep it back for seconds; with less time a
   share of such requests became late at a load of 0.8.  */
#define SLACK_FACTOR 4
#define SLACK_MIN_MS 3000
/* Ranks of one priority: in time, with much slack, late.  */
#define RANK_CLASSES 3

/* --- order --- */

guint
pu_delay_class (const pu_delay_item_t *q)
{
  if (q->late)
    return 2;
  return q->displaced ? 1 : 0;
}

static int
compare_times (guint64 a, guint64 b)
{
  return a < b ? -1 : a > b;
}

int
pu_delay_compare (const pu_delay_item_t *a, const pu_delay_item_t *b)
{
  int c;

  if (a->priority != b->priority)
    return a->priority > b->priority ? -1 : 1;
  if (pu_delay_class (a) != pu_delay_class (b))
    return pu_delay_class (a) < pu_delay_class (b) ? -1 : 1;
  c = a->late ? compare_times (a->expires, b->expires)
              : compare_times (a->due, b->due);
  return c != 0 ? c : compare_times (a->sequence, b->sequence);
}

guint
pu_delay_output_tokens (guint hint, double mean)
{
  if (mean <= 0)
    return hint;
  if (hint == 0)
    return (guint)mean;
  /* The error of a hint is a factor: half of its logarithm counts.  */
  return (guint)CLAMP (sqrt (hint * mean), mean / HINT_ERROR_MAX,
                       mean * HINT_ERROR_MAX);
}

/* --- load --- */

static void
load_advance (pu_delay_load_t *l, guint64 now)
{
  double keep;

  if (now <= l->at)
    return;
  keep = exp (-(double)(now - l->at) / LOAD_DECAY_MS);
  l->at = now;
  l->span_ms = l->span_ms * keep + LOAD_DECAY_MS * (1 - keep);
  for (guint i = 0; i < PU_DELAY_PRIORITIES; i++)
    l->came_ms[i] *= keep;
  l->busy_ms *= keep;
  l->starts *= keep;
  l->started_ms *= keep;
  if (l->waiting > 0)
    l->busy_ms += LOAD_DECAY_MS * (1 - keep);
}

void
pu_delay_load_came (pu_delay_load_t *l, guint priority, double work_ms,
                    guint64 now)
{
  load_advance (l, now);
  l->came_ms[MIN (priority, PU_DELAY_PRIORITIES - 1)] += work_ms;
}

void
pu_delay_load_started (pu_delay_load_t *l, double work_ms, double queued_ms,
                       guint64 now)
{
  load_advance (l, now);
  if (l->waiting == 0)
    return;
  l->starts += 1;
  l->started_ms += work_ms;
  l->lead_ms += LEAD_WEIGHT * (queued_ms - l->lead_ms);
}

void
pu_delay_load_waits (pu_delay_load_t *l, int change, guint64 now)
{
  load_advance (l, now);
  l->waiting += (guint)change;
}

/* Returns the work done in a millisecond; 0: not known.  */
static double
rate_of_all (const pu_delay_load_t *l)
{
  if (l->busy_ms < BUSY_MIN_MS || l->starts < STARTS_MIN)
    return 0;
  return l->started_ms / l->busy_ms;
}

double
pu_delay_load_share (const pu_delay_load_t *l, guint priority, guint servers)
{
  double all = rate_of_all (l);
  double above = 0;

  for (guint i = priority + 1; i < PU_DELAY_PRIORITIES; i++)
    above += l->came_ms[i];
  if (all <= 0)
    all = MAX (servers, 1);
  return MAX (1 - above / MAX (l->span_ms, LOAD_DECAY_MS / 2) / all,
              RATE_LEFT_MIN);
}

double
pu_delay_load_rate (const pu_delay_load_t *l, guint priority)
{
  return rate_of_all (l) * pu_delay_load_share (l, priority, 1);
}

double
pu_delay_wait_ms (const pu_delay_load_t *l, guint priority, double ahead_ms)
{
  double rate = pu_delay_load_rate (l, priority);

  return rate > 0 ? ahead_ms / rate : 0;
}

bool
pu_delay_is_hopeless (const pu_delay_item_t *q, const pu_delay_load_t *l,
                      double wait_ms, guint64 now)
{
  double least = (wait_ms + l->lead_ms) * (1 - WAIT_ERROR);

  return wait_ms > 0 && (double)now + least > (double)q->expires;
}

double
pu_delay_retry_ms (double wait_ms, guint priority)
{
  guint below = PU_DELAY_PRIORITIES - 1 - MIN (priority, 9);

  return wait_ms * (1 + RETRY_PER_PRIORITY * below);
}

/* --- the plan --- */

static gint
compare_pointers (gconstpointer a, gconstpointer b)
{
  return pu_delay_compare (*(pu_delay_item_t *const *)a,
                           *(pu_delay_item_t *const *)b);
}

void
pu_delay_sort (GPtrArray *items)
{
  g_ptr_array_sort (items, compare_pointers);
}

/* The longest first.  */
static gint
compare_work (gconstpointer a, gconstpointer b, gpointer data)
{
  const pu_delay_item_t *x = a;
  const pu_delay_item_t *y = b;

  (void)data;
  if (x->work_ms != y->work_ms)
    return x->work_ms > y->work_ms ? -1 : 1;
  return compare_times (y->sequence, x->sequence);
}

/* The requests of one priority as they are gone through by due time.  */
typedef struct
{
  double rate;
  double now;           /* with the time that servers' queues take */
  double ahead_ms;      /* work of the requests before, in time */
  double kept_ms;       /* of `ahead_ms`, that of kept requests */
  GSequence *droppable; /* of pu_delay_item_t: in time and not kept */
} level_t;

static bool
starts_in_time (const level_t *v, const pu_delay_item_t *q, double ahead_ms)
{
  return v->now + ahead_ms / v->rate <= (double)q->start_by;
}

/* Displaces the longest request of V, if there is any.  */
static pu_delay_item_t *
longest_displace (level_t *v)
{
  GSequenceIter *first = g_sequence_get_begin_iter (v->droppable);
  pu_delay_item_t *longest;

  if (g_sequence_iter_is_end (first))
    return NULL;
  longest = g_sequence_get (first);
  g_sequence_remove (first);
  longest->displaced = true;
  v->ahead_ms -= longest->work_ms;
  return longest;
}

/* Adds Q, the next by due time, to those in time.  Displaces as many as it
   takes for it to start in time.  */
static void
level_add (level_t *v, pu_delay_item_t *q)
{
  if (q->kept)
    {
      if (!starts_in_time (v, q, v->kept_ms))
        {
          q->displaced = true;
          return;
        }
      v->kept_ms += q->work_ms;
    }
  else
    g_sequence_insert_sorted (v->droppable, q, compare_work, NULL);
  v->ahead_ms += q->work_ms;
  while (!starts_in_time (v, q, v->ahead_ms - q->work_ms))
    {
      if (longest_displace (v) == q || q->displaced)
        return;
    }
}

/* Plans the requests of one priority from index FROM of ITEMS.  Returns the
   index of the first of the next priority.  */
static guint
level_plan (GPtrArray *items, guint from, level_t *v, const pu_delay_load_t *l)
{
  const pu_delay_item_t *first = items->pdata[from];
  guint i;

  v->kept_ms = v->ahead_ms;
  v->rate = pu_delay_load_rate (l, first->priority);
  v->droppable = g_sequence_new (NULL);
  for (i = from; i < items->len; i++)
    {
      pu_delay_item_t *q = items->pdata[i];

      if (q->priority != first->priority)
        break;
      if (!q->late && v->rate > 0)
        level_add (v, q);
    }
  g_sequence_free (v->droppable);
  return i;
}

/* Returns the work of all requests of ITEMS before index END.  */
static double
work_before (const GPtrArray *items, guint end)
{
  double sum = 0;

  for (guint i = 0; i < end; i++)
    sum += ((const pu_delay_item_t *)items->pdata[i])->work_ms;
  return sum;
}

void
pu_delay_plan (GPtrArray *items, const pu_delay_load_t *l, guint64 now)
{
  level_t v = { .now = (double)now + l->lead_ms };

  for (guint i = 0; i < items->len; i++)
    ((pu_delay_item_t *)items->pdata[i])->displaced = false;
  pu_delay_sort (items);
  for (guint i = 0; i < items->len;)
    {
      v.ahead_ms = work_before (items, i);
      i = level_plan (items, i, &v, l);
    }
  pu_delay_sort (items);
}

/* --- large requests --- */

static void
shares_advance (pu_delay_shares_t *s, guint64 now)
{
  double keep;

  if (now <= s->at)
    return;
  keep = exp (-(double)(now - s->at) / SHARES_DECAY_MS);
  s->at = now;
  s->came *= keep;
  s->came_large *= keep;
  s->started *= keep;
  s->started_large *= keep;
}

static void
sizes_update (pu_delay_shares_t *s, double work_ms)
{
  double step;

  if (s->mean_ms <= 0)
    {
      s->mean_ms = work_ms;
      s->large_ms = work_ms;
      return;
    }
  s->mean_ms += SIZE_WEIGHT * (work_ms - s->mean_ms);
  /* Moves up nine times as far as down, so that it comes to rest where one
     request in ten is above it.  */
  step = SIZE_WEIGHT * s->mean_ms;
  s->large_ms += work_ms > s->large_ms ? step * (1 - LARGE_SHARE)
                                       : -step * LARGE_SHARE;
}

bool
pu_delay_shares_came (pu_delay_shares_t *s, double work_ms, guint64 now)
{
  bool large;

  shares_advance (s, now);
  large = work_ms >= s->large_ms && work_ms >= LARGE_FACTOR_MIN * s->mean_ms
          && s->mean_ms > 0;
  sizes_update (s, work_ms);
  s->came += 1;
  s->came_large += large;
  return large;
}

void
pu_delay_shares_started (pu_delay_shares_t *s, bool large, guint64 now)
{
  shares_advance (s, now);
  s->started += 1;
  s->started_large += large;
}

guint
pu_delay_shares_owed (pu_delay_shares_t *s, guint64 now)
{
  double owed;

  shares_advance (s, now);
  if (s->came <= 0)
    return 0;
  owed = LARGE_SERVED * MIN (s->started / s->came, 1) * s->came_large
         - s->started_large;
  return owed > 0 ? (guint)ceil (owed) : 0;
}

/* --- ranks --- */

/* Returns which of WIDTH ranks of its priority a request gets.  */
static guint
rank_within (guint width, gint64 left_ms, guint64 needs_ms)
{
  if (left_ms < (gint64)needs_ms)
    return width - 1;
  if (left_ms <= (gint64)MAX (SLACK_FACTOR * needs_ms, SLACK_MIN_MS)
      || width == 1)
    return 0;
  return 1;
}

/* Sets the FIRST rank and the number of ranks of PRIORITY where each priority
   gets its even part of the ten ranks.  */
static guint
band_even (guint in_use, guint priority, guint *first)
{
  guint n = (guint)__builtin_popcount (in_use);
  guint above = (guint)__builtin_popcount (in_use >> (priority + 1));

  *first = above * PU_DELAY_PRIORITIES / n;
  return (above + 1) * PU_DELAY_PRIORITIES / n - *first;
}

/* The same where requests of some priorities keep their ranks: a priority gets
   the free ranks that follow its own.  */
static guint
band_after (guint in_use, guint priority, guint *first)
{
  guint width = 1;

  *first = PU_DELAY_PRIORITIES - 1 - priority;
  while (width <= priority && !(in_use & 1U << (priority - width)))
    width++;
  return width;
}

guint
pu_delay_rank (guint in_use, guint fixed, guint priority, gint64 left_ms,
               guint64 needs_ms)
{
  guint first;
  guint width;

  priority = MIN (priority, PU_DELAY_PRIORITIES - 1);
  in_use |= fixed | 1U << priority;
  width = fixed != 0 ? band_after (in_use, priority, &first)
                     : band_even (in_use, priority, &first);
  return first + rank_within (MIN (width, RANK_CLASSES), left_ms, needs_ms);
}
