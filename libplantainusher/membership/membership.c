#include "membership/membership.h"

#include <math.h>
#include <string.h>

#define KINDS 2

/* Intervals that are allowed: one beat may get lost.  */
#define BEATS 2

/* Weights of a new interval in the mean and in the deviation.  */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25

typedef struct
{
  char *name;
  uint64_t incarnation;
  uint64_t heard;   /* leader's clock */
  double mean;      /* of the intervals between beats; 0: none yet */
  double deviation; /* mean deviation of them */
  char *route;      /* that the last beat came by; NULL: none */
  bool expected;    /* since the last tick */
  uint64_t judged;  /* when a verdict was given; 0: never */
} subject_t;

struct pu_membership
{
  pu_membership_options_t options;
  GHashTable *subjects[KINDS]; /* name -> subject_t */
  GHashTable *routes;          /* name of a voter -> heard, uint64_t * */
  uint64_t ticked;             /* 0: not yet */
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
  o->deviations = 6;
  o->route_timeout_ms = 3000;
  o->pause_ms = 1000;
  o->repeat_ms = 3000;
}

pu_membership_t *
pu_membership_new (const pu_membership_options_t *o)
{
  pu_membership_t *m = g_new0 (pu_membership_t, 1);

  m->options = *o;
  for (int i = 0; i < KINDS; i++)
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
  for (int i = 0; i < KINDS; i++)
    g_hash_table_unref (m->subjects[i]);
  g_hash_table_unref (m->routes);
  g_free (m);
}

static bool
broken (const pu_membership_t *m, pu_membership_break_t rule)
{
  return (m->options.breaks & rule) != 0;
}

void
pu_membership_reset (pu_membership_t *m, uint64_t now)
{
  m->ticked = now;
  if (broken (m, PU_MEMBERSHIP_BREAK_NO_GRACE))
    return;
  for (int i = 0; i < KINDS; i++)
    g_hash_table_remove_all (m->subjects[i]);
  g_hash_table_remove_all (m->routes);
}

/* subject_restart - a new incarnation has its own rhythm.  */
static void
subject_restart (subject_t *s, uint64_t incarnation, uint64_t at)
{
  s->incarnation = incarnation;
  s->heard = at;
  s->mean = 0;
  s->deviation = 0;
  s->judged = 0;
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
subject_beat (subject_t *s, uint64_t at)
{
  double interval = (double)(at - s->heard);

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
  s->heard = at;
  s->judged = 0;
}

void
pu_membership_record_heartbeat (pu_membership_t *m, pu_subject_kind_t kind,
                                const char *name, uint64_t incarnation,
                                const char *route, uint64_t at)
{
  subject_t *s = g_hash_table_lookup (m->subjects[kind], name);

  /* One that the log does not know as up is nobody's to bury.  */
  if (s == NULL || incarnation != s->incarnation)
    return;
  if (g_strcmp0 (s->route, route) != 0)
    {
      g_free (s->route);
      s->route = g_strdup (route);
    }
  if (at > s->heard)
    subject_beat (s, at);
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

/* route_heard - when the route of S was last heard itself; 0: never.  */
static uint64_t
route_heard (const pu_membership_t *m, pu_subject_kind_t kind,
             const subject_t *s)
{
  const subject_t *home;
  const uint64_t *heard;

  if (s->route == NULL)
    return 0;
  if (kind == PU_SUBJECT_MEMBER)
    {
      heard = g_hash_table_lookup (m->routes, s->route);
      return heard == NULL ? 0 : *heard;
    }
  home = g_hash_table_lookup (m->subjects[PU_SUBJECT_MEMBER], s->route);
  return home == NULL ? 0 : home->heard;
}

static bool
route_is_silent (const pu_membership_t *m, pu_subject_kind_t kind,
                 const subject_t *s, uint64_t now)
{
  if (broken (m, PU_MEMBERSHIP_BREAK_ROUTE))
    return false;
  return s->route != NULL
         && now - route_heard (m, kind, s) > m->options.route_timeout_ms;
}

static uint64_t
allowed_ms (const pu_membership_t *m, pu_subject_kind_t kind,
            const subject_t *s, uint64_t now)
{
  uint64_t least = m->options.min_timeout_ms[kind];
  uint64_t most = MAX (m->options.max_timeout_ms[kind], least);
  double rhythm = BEATS * s->mean + m->options.deviations * s->deviation;

  if (broken (m, PU_MEMBERSHIP_BREAK_FIXED))
    return least;
  if (route_is_silent (m, kind, s, now))
    return most;
  return (uint64_t)CLAMP (rhythm, (double)least, (double)most);
}

static void
shift_all (pu_membership_t *m, uint64_t by)
{
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < KINDS; i++)
    {
      g_hash_table_iter_init (&iter, m->subjects[i]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        ((subject_t *)value)->heard += by;
    }
  g_hash_table_iter_init (&iter, m->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *(uint64_t *)value += by;
}

/* discount_pause - a leader that did not run could not listen.  */
static void
discount_pause (pu_membership_t *m, uint64_t now)
{
  uint64_t gap = m->ticked == 0 ? 0 : now - m->ticked;

  if (gap > m->options.pause_ms)
    shift_all (m, gap - m->options.pause_ms);
  m->ticked = now;
}

static void
judge (pu_membership_t *m, pu_subject_kind_t kind, subject_t *s, uint64_t now,
       GArray *verdicts)
{
  uint64_t silent = now > s->heard ? now - s->heard : 0;
  pu_membership_failure_t v = { kind, s->name, s->incarnation, silent };

  if (silent <= allowed_ms (m, kind, s, now))
    return;
  if (s->judged != 0 && now - s->judged < m->options.repeat_ms)
    return;
  s->judged = now;
  g_array_append_val (verdicts, v);
}

void
pu_membership_tick (pu_membership_t *m, uint64_t now, GArray *verdicts)
{
  GHashTableIter iter;
  gpointer value;

  discount_pause (m, now);
  for (int i = 0; i < KINDS; i++)
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
          judge (m, (pu_subject_kind_t)i, s, now, verdicts);
        }
    }
}

bool
pu_membership_get_silence (const pu_membership_t *m, pu_subject_kind_t kind,
                           const char *name, uint64_t now, uint64_t *silent,
                           uint64_t *allowed)
{
  const subject_t *s = g_hash_table_lookup (m->subjects[kind], name);

  if (s == NULL)
    return false;
  *silent = now > s->heard ? now - s->heard : 0;
  *allowed = allowed_ms (m, kind, s, now);
  return true;
}
