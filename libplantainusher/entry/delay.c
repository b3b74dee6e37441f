/* What the entry does for routes with cost_of_delay (routing/delay_cost.h)
   beside the router: the ranks told to engines and the log line.  */

#include "entry/entry_private.h"

#include "base/log.h"

enum
{
  PRIORITY_MAX = PU_ROUTER_PRIORITY_MAX,
  /* A team without a priority, after the priorities a team may have.  */
  TEAM_NO_PRIORITY = PU_DELAY_PRIORITIES,
  LOG_INTERVAL_MS = 1000,
};

/* --- ranks told to engines --- */

/* Sets TEAMS, of PU_DELAY_PRIORITIES + 1, to a team of D for each priority
   that a team has, PU_HANDLE_NONE if none has it.  Requests without a team
   count as those of one without a priority.  */
static void
teams_by_priority (const pu_document_t *d, pu_team_handle_t *teams,
                   bool *occurs)
{
  for (guint i = 0; i <= TEAM_NO_PRIORITY; i++)
    {
      teams[i] = PU_HANDLE_NONE;
      occurs[i] = i == TEAM_NO_PRIORITY;
    }
  for (guint i = 0; i < pu_document_teams (d); i++)
    {
      guint32 own = pu_document_team (d, i)->priority;

      if (own >= TEAM_NO_PRIORITY)
        continue;
      teams[own] = i;
      occurs[own] = true;
    }
}

void
pu_entry_delay_ranks_set (pu_entry_t *en, const pu_document_t *d)
{
  pu_team_handle_t teams[TEAM_NO_PRIORITY + 1];
  bool occurs[TEAM_NO_PRIORITY + 1];

  teams_by_priority (d, teams, occurs);
  en->delay_priorities = 0;
  en->fixed_priorities = 0;
  for (guint i = 0; i < pu_document_routes (d); i++)
    {
      const pu_route_t *r = pu_document_route (d, i);
      guint *set
          = r->cost_of_delay ? &en->delay_priorities : &en->fixed_priorities;

      for (guint t = 0; t <= TEAM_NO_PRIORITY; t++)
        {
          if (occurs[t])
            *set |= 1U << pu_document_request_priority (d, r, teams[t]);
        }
    }
}

/* Returns the loop time when the first event of X, or its complete response,
   is due.  */
static guint64
due_at (const pu_exchange_t *x)
{
  const pu_request_t *q = &x->q;
  guint64 arrived = q->arrived - MIN (q->arrived, x->relay_age_ms);

  if (q->target_ms == 0 || q->last_event > 0 || x->last_event > 0)
    return q->deadline;
  return MIN (arrived + q->target_ms, q->deadline);
}

guint
pu_exchange_rank (const pu_exchange_t *x, guint64 now)
{
  const pu_entry_t *en = x->en;
  gint64 left;

  if (!x->q.cost_of_delay)
    return PRIORITY_MAX - MIN (x->q.priority, PRIORITY_MAX);
  left = (gint64)due_at (x) - (gint64)now;
  return pu_delay_rank (en->delay_priorities, en->fixed_priorities,
                        x->q.priority, left, x->predicted_ms);
}

/* --- counters and the log line --- */

static void
counter_set (const pu_entry_t *en, guint64 value, const char *name,
             const char *reason, guint priority)
{
  char *full;

  if (en->o.counters == NULL || value == 0)
    return;
  full = g_strdup_printf (
      "%s{%s%s%spriority=\"%u\"}", name, reason != NULL ? "reason=\"" : "",
      reason != NULL ? reason : "", reason != NULL ? "\"," : "", priority);
  pu_counters_set (en->o.counters, pu_counters_get (en->o.counters, full),
                   (gint64)value);
  g_free (full);
}

static void
counters_set (const pu_entry_t *en, const pu_router_stats_t *s, guint p)
{
  counter_set (en, s->displaced[p], "requests_displaced_total", NULL, p);
  for (guint i = 0; i < PU_ROUTER_REASONS; i++)
    {
      counter_set (en, s->delay_refused[i][p], "requests_delay_refused_total",
                   pu_router_reason_name (i), p);
    }
}

typedef struct
{
  guint64 displaced;
  guint64 deadline;
  guint64 queue_full;
  guint lowest; /* priority of those counted */
  guint highest;
} delayed_t;

static void
delayed_add (delayed_t *sum, const pu_router_stats_t *s,
             const pu_router_stats_t *before, guint p)
{
  guint64 displaced = s->displaced[p] - before->displaced[p];
  guint64 deadline = s->delay_refused[PU_ROUTER_REASON_DEADLINE][p]
                     - before->delay_refused[PU_ROUTER_REASON_DEADLINE][p];
  guint64 full = s->delay_refused[PU_ROUTER_REASON_QUEUE_FULL][p]
                 - before->delay_refused[PU_ROUTER_REASON_QUEUE_FULL][p];

  if (displaced + deadline + full == 0)
    return;
  sum->displaced += displaced;
  sum->deadline += deadline;
  sum->queue_full += full;
  sum->lowest = MIN (sum->lowest, p);
  sum->highest = p;
}

void
pu_entry_delay_tick (pu_entry_t *en, guint64 now)
{
  delayed_t sum = { .lowest = PRIORITY_MAX };
  pu_router_stats_t s;

  if (en->delay_priorities == 0)
    return;
  s = pu_router_stats (en->router);
  for (guint p = 0; p <= PRIORITY_MAX; p++)
    delayed_add (&sum, &s, &en->delay_logged, p);
  if (sum.displaced + sum.deadline + sum.queue_full == 0
      || !pu_log_limited (&en->delay_logged_at, now, LOG_INTERVAL_MS))
    return;
  en->delay_logged = s;
  for (guint p = 0; p <= PRIORITY_MAX; p++)
    counters_set (en, &s, p);
  pu_log_event (PU_ENTRY_LOG_SLICE,
                "Requests were delayed or refused for want of room.",
                PU_LOG_NUMBER ("displaced", sum.displaced),
                PU_LOG_NUMBER ("refused_deadline", sum.deadline),
                PU_LOG_NUMBER ("refused_queue_full", sum.queue_full),
                PU_LOG_NUMBER ("lowest_priority", sum.lowest),
                PU_LOG_NUMBER ("highest_priority", sum.highest));
}
