/* Teams' allowances at this entry: requests are charged before they are
   routed, and units are asked of the leader (routing/allowance.h).  */

#include "entry/entry_private.h"

#include "base/breaks.h"
#include "base/log.h"
#include "entry/trace.h"

enum
{
  /* A later reply is void, see routing/allowance.c.  */
  QUESTION_TIMEOUT_MS = 400,
  /* Requests that wait for units, over all teams; they wait 400 ms at
     most.  */
  WAITING_MAX = 2000,
  RATES_INTERVAL_MS = 1000,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000,
  PERCENT = 100,
};

/* The weight of the last second in a team's rates.  */
#define RATES_WEIGHT 0.3

/* What is known of a team beyond its allowance.  */
typedef struct
{
  guint64 admitted; /* units, by the last tick */
  guint64 requests_admitted;
  guint64 requests_refused;
  guint64 refused_before; /* it was last held back */
  bool held;              /* back to its allowance */
  double units_per_s;
  double requests_per_s;
  double refused_per_s;
} team_rates_t;

static guint64
clock_ms (void)
{
  /* The loop's time stands still while callbacks run, also in a process that
     was stopped in one, and stock must expire meanwhile.  */
  return uv_hrtime () / NS_PER_MS;
}

/* --- requests that wait --- */

static void
waiting_begin (pu_exchange_t *x)
{
  if (x->waits_for_allowance)
    return;
  x->waits_for_allowance = true;
  x->phase = PU_EXCHANGE_WAITING;
  g_queue_push_tail_link (&x->en->allowance_waiting, &x->allowance_link);
}

static void
waiting_end (pu_exchange_t *x)
{
  if (!x->waits_for_allowance)
    return;
  x->waits_for_allowance = false;
  g_queue_unlink (&x->en->allowance_waiting, &x->allowance_link);
}

/* --- the decision on a request --- */

static void
refuse_beyond (pu_exchange_t *x, guint retry_after_ms)
{
  const pu_refusal_t beyond
      = { 429, "allowance", PU_RUN_OUTCOME_NOT_RUN, retry_after_ms };

  pu_exchange_fail (x, &beyond, "The team has used up its allowance.");
}

static void
refuse_crowded (pu_exchange_t *x)
{
  static const pu_refusal_t crowded
      = { 503, "overloaded", PU_RUN_OUTCOME_NOT_RUN, PU_BUSY_RETRY_AFTER_MS };

  pu_allowance_cancel (x->en->allowance, x->q.team, x->number);
  pu_exchange_fail (x, &crowded,
                    "Too many requests wait for their team's allowance.");
}

static pu_allowance_request_t
request_of (const pu_exchange_t *x)
{
  guint64 now = uv_now (x->en->o.loop);
  guint64 end = x->q.disconnect_at > 0 ? x->q.disconnect_at : x->q.deadline;
  guint64 left = end > now ? end - now : 1;

  return (pu_allowance_request_t){
    .ticket = x->number,
    .units = x->q.team_cost,
    .priority = x->q.priority,
    .left_ms = (guint)MIN (left, G_MAXUINT),
  };
}

bool
pu_allowance_admits (pu_exchange_t *x)
{
  pu_entry_t *en = x->en;
  pu_allowance_request_t q;
  pu_allowance_decision_t d;

  if (x->q.team == NULL || x->q.team_charged || x->q.team_cost == 0
      || pu_break_active (PU_BREAK_ALLOWANCE_IGNORED))
    return true;
  q = request_of (x);
  d = pu_allowance_take (en->allowance, x->q.team, &q, clock_ms ());
  switch (d.verdict)
    {
    case PU_ALLOWANCE_ADMIT:
      waiting_end (x);
      x->q.team_charged = true;
      x->charged_here = true;
      return true;
    case PU_ALLOWANCE_WAIT:
      if (!x->waits_for_allowance
          && en->allowance_waiting.length >= WAITING_MAX)
        {
          refuse_crowded (x);
          return false;
        }
      waiting_begin (x);
      pu_allowances_schedule (en);
      return false;
    case PU_ALLOWANCE_REFUSE:
      waiting_end (x);
      refuse_beyond (x, d.retry_after_ms);
      return false;
    }
  return true;
}

void
pu_allowance_put_back_unused (pu_exchange_t *x)
{
  if (!x->charged_here)
    return;
  x->charged_here = false;
  pu_allowance_put_back (x->en->allowance, x->q.team, x->q.team_cost,
                         clock_ms ());
}

void
pu_allowance_finish (pu_exchange_t *x)
{
  if (x->waits_for_allowance)
    {
      waiting_end (x);
      pu_allowance_cancel (x->en->allowance, x->q.team, x->number);
    }
  if (x->attempts == 0)
    pu_allowance_put_back_unused (x);
}

/* Decides again on the requests that wait, in order of arrival.  */
static void
waiting_decide (pu_entry_t *en)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (guint64));

  for (const GList *l = en->allowance_waiting.head; l != NULL; l = l->next)
    g_array_append_val (numbers, ((const pu_exchange_t *)l->data)->number);
  for (guint i = 0; i < numbers->len; i++)
    {
      pu_exchange_t *x = g_hash_table_lookup (
          en->numbers, &g_array_index (numbers, guint64, i));

      if (x != NULL && x->waits_for_allowance && pu_allowance_admits (x))
        pu_exchange_start (x);
    }
  g_array_free (numbers, TRUE);
}

/* --- questions to the leader --- */

static void
on_grants (void *data, const GArray *grants, const pu_error_t *e)
{
  pu_entry_t *en = data;

  en->pending--;
  if (!en->freed)
    {
      if (grants == NULL)
        {
          pu_log_debug (PU_ENTRY_LOG_SLICE,
                        "The leader granted no allowance: %s",
                        e != NULL ? e->message : "no reply.");
          pu_allowance_failed (en->allowance, clock_ms ());
        }
      else
        {
          pu_allowance_reply (en->allowance, grants, clock_ms ());
        }
      waiting_decide (en);
      pu_allowances_schedule (en);
    }
  pu_entry_check_stopped (en);
}

static void
on_question_due (uv_timer_t *t)
{
  pu_entry_t *en = t->data;
  guint64 now = clock_ms ();
  GArray *asks;

  if (pu_allowance_next_at (en->allowance) > now)
    {
      pu_allowances_schedule (en);
      return;
    }
  asks = pu_allowance_question (en->allowance, now);
  en->pending++;
  en->o.hooks.ask_allowance (en->o.hooks.data, asks, QUESTION_TIMEOUT_MS,
                             on_grants, en);
  g_array_unref (asks);
}

void
pu_allowances_schedule (pu_entry_t *en)
{
  guint64 at = pu_allowance_next_at (en->allowance);
  guint64 now = clock_ms ();

  if (en->freed)
    return;
  if (at == G_MAXUINT64)
    {
      uv_timer_stop (&en->allowance_timer);
      return;
    }
  uv_timer_start (&en->allowance_timer, on_question_due,
                  at > now ? at - now : 0, 0);
}

/* --- the teams of the document and the entries of the view --- */

static void
teams_remove_stale (pu_entry_t *en)
{
  GHashTableIter it;
  gpointer name;

  g_hash_table_iter_init (&it, en->team_rates);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      if (pu_document_find_team (en->document, name) != PU_HANDLE_NONE)
        continue;
      pu_allowance_remove_team (en->allowance, name);
      g_hash_table_iter_remove (&it);
    }
}

static void
team_set (pu_entry_t *en, const pu_team_t *t)
{
  bool asks = en->o.hooks.ask_allowance != NULL;

  pu_allowance_set_team (en->allowance, t->name, asks ? t->rate_per_s : 0,
                         t->burst);
  if (g_hash_table_contains (en->team_rates, t->name))
    return;
  g_hash_table_insert (en->team_rates, g_strdup (t->name),
                       g_new0 (team_rates_t, 1));
}

void
pu_allowances_set_document (pu_entry_t *en)
{
  teams_remove_stale (en);
  for (guint i = 0; i < pu_document_teams (en->document); i++)
    team_set (en, pu_document_team (en->document, i));
  waiting_decide (en);
  pu_allowances_schedule (en);
}

void
pu_allowances_set_entries (pu_entry_t *en, guint n)
{
  pu_allowance_set_entries (en->allowance, n);
}

void
pu_allowances_init (pu_entry_t *en)
{
  const pu_allowance_options_t o = { .seed = en->o.seed };

  en->allowance = pu_allowance_new (&o);
  en->team_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&en->allowance_waiting);
}

void
pu_allowances_clear (pu_entry_t *en)
{
  pu_allowance_free (en->allowance);
  g_hash_table_destroy (en->team_rates);
}

/* --- what operators see --- */

static void
rate_update (double *rate, guint64 n, guint64 ms)
{
  double last = (double)n * MS_PER_S / (double)ms;

  *rate += RATES_WEIGHT * (last - *rate);
}

/* Units that were put back may exceed those admitted since.  */
static guint64
rise (guint64 before, guint64 now)
{
  return now > before ? now - before : 0;
}

static void
log_held (const char *team, team_rates_t *r, const pu_allowance_state_t *s,
          bool held)
{
  if (r->held == held)
    return;
  r->held = held;
  if (held)
    {
      r->refused_before = r->requests_refused;
      pu_log_event (
          PU_ENTRY_LOG_SLICE, "A team is held back to its allowance.",
          PU_LOG_TEXT ("team", team), PU_LOG_NUMBER ("rate_per_s", s->rate),
          PU_LOG_NUMBER ("alone", s->alone ? 1 : 0));
      return;
    }
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "A team is no longer held back.",
      PU_LOG_TEXT ("team", team),
      PU_LOG_NUMBER ("refused", s->requests_refused - r->refused_before));
}

static void
team_tick (pu_entry_t *en, const char *team, team_rates_t *r, guint64 ms)
{
  pu_allowance_state_t s;

  if (!pu_allowance_state (en->allowance, team, clock_ms (), &s))
    return;
  rate_update (&r->units_per_s, rise (r->admitted, s.admitted), ms);
  rate_update (&r->requests_per_s,
               rise (r->requests_admitted, s.requests_admitted), ms);
  rate_update (&r->refused_per_s,
               rise (r->requests_refused, s.requests_refused), ms);
  log_held (team, r, &s, s.requests_refused > r->requests_refused);
  r->admitted = s.admitted;
  r->requests_admitted = s.requests_admitted;
  r->requests_refused = s.requests_refused;
}

void
pu_allowances_tick (pu_entry_t *en, guint64 now)
{
  GHashTableIter it;
  gpointer name;
  gpointer rates;

  if (now - en->team_rates_at < RATES_INTERVAL_MS)
    return;
  g_hash_table_iter_init (&it, en->team_rates);
  while (g_hash_table_iter_next (&it, &name, &rates))
    team_tick (en, name, rates, now - en->team_rates_at);
  en->team_rates_at = now;
}

/* The part of requests lately that was refused, in percent.  */
static guint
refused_pct (const team_rates_t *r)
{
  double all = r->requests_per_s + r->refused_per_s;

  return all > 0 ? (guint)(r->refused_per_s / all * PERCENT + 0.5) : 0;
}

static json_t *
team_json (const pu_team_t *t, const team_rates_t *r,
           const pu_allowance_state_t *s)
{
  return json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:f, s:f, s:i, s:I, s:I, s:I, s:I, s:b, "
      "s:b}",
      "name", t->name, "unit",
      t->unit == PU_TEAM_TOKENS ? "tokens" : "requests", "rate_per_s",
      (json_int_t)t->rate_per_s, "burst", (json_int_t)t->burst, "units_per_s",
      (json_int_t)(r->units_per_s + 0.5), "requests_per_s", r->requests_per_s,
      "refused_per_s", r->refused_per_s, "refused_pct", (int)refused_pct (r),
      "units", (json_int_t)s->admitted, "requests",
      (json_int_t)s->requests_admitted, "refused",
      (json_int_t)s->requests_refused, "waiting", (json_int_t)s->waiting,
      "held_back", r->held, "alone", s->alone);
}

json_t *
pu_entry_teams (const pu_entry_t *en)
{
  json_t *out = json_array ();
  guint n = en->document != NULL ? pu_document_teams (en->document) : 0;

  for (guint i = 0; i < n; i++)
    {
      const pu_team_t *t = pu_document_team (en->document, i);
      const team_rates_t *r = g_hash_table_lookup (en->team_rates, t->name);
      pu_allowance_state_t s;

      if (r == NULL
          || !pu_allowance_state (en->allowance, t->name, clock_ms (), &s))
        continue;
      json_array_append_new (out, team_json (t, r, &s));
    }
  return out;
}
