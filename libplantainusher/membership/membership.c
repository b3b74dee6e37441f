#include "membership/membership.h"

#include <math.h>
#include <string.h>

#define SUBJECT_KINDS 2

/* The timeout is this many mean intervals, so that one heartbeat may be lost,
   plus the allowance for deviations.  */
#define MEAN_INTERVALS 2

/* Weights of a new interval in the moving averages.  */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t last_heard;  /* leader's clock, ms */
  double mean;          /* of heartbeat intervals, ms; 0: none yet */
  double deviation;     /* mean absolute deviation of the intervals, ms */
  char *route;          /* route of the last heartbeat; NULL: none */
  bool expected;        /* named by pu_membership_expect since the last tick */
  uint64_t reported_at; /* when a failure was last reported, ms; 0: never */
} subject_t;

struct pu_membership
{
  pu_membership_options_t options;
  GHashTable *subjects[SUBJECT_KINDS]; /* name -> subject_t */
  GHashTable *routes; /* voter name -> last_heard, uint64_t * */
  uint64_t last_tick; /* ms; 0: none yet */
};

static void
subject_free (gpointer p)
{
  subject_t *s = p;

  g_free (s->name);
  g_free (s->route);
  g_free (s);
}

void
pu_membership_options_init (pu_membership_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->min_timeout_ms[PU_SUBJECT_MEMBER] = 8000;
  o->max_timeout_ms[PU_SUBJECT_MEMBER] = 32000;
  o->min_timeout_ms[PU_SUBJECT_BACKEND] = 5000;
  o->max_timeout_ms[PU_SUBJECT_BACKEND] = 20000;
  o->deviation_factor = 6;
  o->route_timeout_ms = 3000;
  o->max_tick_gap_ms = 1000;
  o->report_interval_ms = 3000;
}

pu_membership_t *
pu_membership_new (const pu_membership_options_t *o)
{
  pu_membership_t *m = g_new0 (pu_membership_t, 1);

  m->options = *o;
  for (int i = 0; i < SUBJECT_KINDS; i++)
    {
      m->subjects[i] = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              subject_free);
    }
  m->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return m;
}

void
pu_membership_free (pu_membership_t *m)
{
  if (m == NULL)
    return;
  for (int i = 0; i < SUBJECT_KINDS; i++)
    g_hash_table_unref (m->subjects[i]);
  g_hash_table_unref (m->routes);
  g_free (m);
}

static bool
is_rule_broken (const pu_membership_t *m, pu_membership_break_t rule)
{
  return (m->options.breaks & rule) != 0;
}

void
pu_membership_reset (pu_membership_t *m, uint64_t now)
{
  m->last_tick = now;
  if (is_rule_broken (m, PU_MEMBERSHIP_BREAK_NO_RESET))
    return;
  for (int i = 0; i < SUBJECT_KINDS; i++)
    g_hash_table_remove_all (m->subjects[i]);
  g_hash_table_remove_all (m->routes);
}

/* subject_restart - discards the interval statistics: a new incarnation may
   send heartbeats at another rate.  */
static void
subject_restart (subject_t *s, uint64_t incarnation, uint64_t at)
{
  s->incarnation = incarnation;
  s->last_heard = at;
  s->mean = 0;
  s->deviation = 0;
  s->reported_at = 0;
}

void
pu_membership_expect (pu_membership_t *m, pu_subject_kind_t kind,
                      const char *name, uint64_t incarnation, uint64_t now)
{
  subject_t *s = g_hash_table_lookup (m->subjects[kind], name);

  if (s == NULL)
    {
      s = g_new0 (subject_t, 1);
      s->name = g_strdup (name);
      subject_restart (s, incarnation, now);
      g_hash_table_insert (m->subjects[kind], s->name, s);
    }
  else if (s->incarnation != incarnation)
    subject_restart (s, incarnation, now);
  s->expected = true;
}

static void
subject_record_interval (subject_t *s, uint64_t at)
{
  double interval = (double)(at - s->last_heard);

  if (s->mean == 0)
    {
      s->mean = interval;
      s->deviation = interval / 2;
    }
  else
    {
      s->deviation
          += DEVIATION_WEIGHT * (fabs (interval - s->mean) - s->deviation);
      s->mean += MEAN_WEIGHT * (interval - s->mean);
    }
  s->last_heard = at;
  s->reported_at = 0;
}

void
pu_membership_record_heartbeat (pu_membership_t *m, pu_subject_kind_t kind,
                                const char *name, uint64_t incarnation,
                                const char *route, uint64_t at)
{
  subject_t *s = g_hash_table_lookup (m->subjects[kind], name);

  /* Only subjects that are up in the log, in this incarnation, can fail.  */
  if (s == NULL || incarnation != s->incarnation)
    return;
  if (g_strcmp0 (s->route, route) != 0)
    {
      g_free (s->route);
      s->route = g_strdup (route);
    }
  if (at > s->last_heard)
    subject_record_interval (s, at);
}

void
pu_membership_record_route_heartbeat (pu_membership_t *m, const char *name,
                                      uint64_t at)
{
  uint64_t *heard = g_hash_table_lookup (m->routes, name);

  if (heard == NULL)
    {
      heard = g_new0 (uint64_t, 1);
      g_hash_table_insert (m->routes, g_strdup (name), heard);
    }
  *heard = MAX (*heard, at);
}

/* route_last_heard - the time of the last heartbeat from the route of S; 0:
   never.  */
static uint64_t
route_last_heard (const pu_membership_t *m, pu_subject_kind_t kind,
                  const subject_t *s)
{
  const subject_t *home_entry;
  const uint64_t *heard;

  if (s->route == NULL)
    return 0;
  if (kind == PU_SUBJECT_MEMBER)
    {
      heard = g_hash_table_lookup (m->routes, s->route);
      return heard == NULL ? 0 : *heard;
    }
  home_entry = g_hash_table_lookup (m->subjects[PU_SUBJECT_MEMBER], s->route);
  return home_entry == NULL ? 0 : home_entry->last_heard;
}

/* Returns the silence after which the route of a subject is suspected.  That
   must be before the subject itself is, since both are silent from the same
   moment on.  */
static uint64_t
route_timeout_ms (const pu_membership_t *m, pu_subject_kind_t kind)
{
  return MIN (m->options.route_timeout_ms,
              m->options.min_timeout_ms[kind] / 2);
}

static bool
route_is_silent (const pu_membership_t *m, pu_subject_kind_t kind,
                 const subject_t *s, uint64_t now)
{
  if (is_rule_broken (m, PU_MEMBERSHIP_BREAK_IGNORE_ROUTE))
    return false;
  return s->route != NULL
         && now - route_last_heard (m, kind, s) > route_timeout_ms (m, kind);
}

static uint64_t
suspicion_timeout_ms (const pu_membership_t *m, pu_subject_kind_t kind,
                      const subject_t *s, uint64_t now)
{
  uint64_t min_ms = m->options.min_timeout_ms[kind];
  uint64_t max_ms = MAX (m->options.max_timeout_ms[kind], min_ms);
  double adaptive
      = MEAN_INTERVALS * s->mean + m->options.deviation_factor * s->deviation;

  if (is_rule_broken (m, PU_MEMBERSHIP_BREAK_FIXED_TIMEOUT))
    return min_ms;
  if (route_is_silent (m, kind, s, now))
    return max_ms;
  return (uint64_t)CLAMP (adaptive, (double)min_ms, (double)max_ms);
}

static void
shift_timestamps (pu_membership_t *m, uint64_t by)
{
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < SUBJECT_KINDS; i++)
    {
      g_hash_table_iter_init (&iter, m->subjects[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        ((subject_t *)value)->last_heard += by;
    }
  g_hash_table_iter_init (&iter, m->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *(uint64_t *)value += by;
}

/* exclude_local_pause - does not count time in which this process did not run
   as silence, because it could not receive heartbeats then.  */
static void
exclude_local_pause (pu_membership_t *m, uint64_t now)
{
  uint64_t gap = m->last_tick == 0 ? 0 : now - m->last_tick;

  if (gap > m->options.max_tick_gap_ms)
    shift_timestamps (m, gap - m->options.max_tick_gap_ms);
  m->last_tick = now;
}

static void
check_subject (pu_membership_t *m, pu_subject_kind_t kind, subject_t *s,
               uint64_t now, GArray *failures)
{
  uint64_t silent = now > s->last_heard ? now - s->last_heard : 0;
  pu_membership_failure_t v = { kind, s->name, s->incarnation, silent };

  if (silent <= suspicion_timeout_ms (m, kind, s, now))
    return;
  if (s->reported_at != 0
      && now - s->reported_at < m->options.report_interval_ms)
    return;
  s->reported_at = now;
  g_array_append_val (failures, v);
}

void
pu_membership_tick (pu_membership_t *m, uint64_t now, GArray *failures)
{
  GHashTableIter iter;
  gpointer value;

  exclude_local_pause (m, now);
  for (int i = 0; i < SUBJECT_KINDS; i++)
    {
      g_hash_table_iter_init (&iter, m->subjects[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          subject_t *s = value;

          if (!s->expected)
            {
              g_hash_table_iter_remove (&iter);
              continue;
            }
          s->expected = false;
          check_subject (m, (pu_subject_kind_t)i, s, now, failures);
        }
    }
}

bool
pu_membership_get_silence (const pu_membership_t *m, pu_subject_kind_t kind,
                           const char *name, uint64_t now, uint64_t *silent_ms,
                           uint64_t *timeout_ms)
{
  const subject_t *s = g_hash_table_lookup (m->subjects[kind], name);

  if (s == NULL)
    return false;
  *silent_ms = now > s->last_heard ? now - s->last_heard : 0;
  *timeout_ms = suspicion_timeout_ms (m, kind, s, now);
  return true;
}
