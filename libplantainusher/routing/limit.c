#include "routing/router_int.h"

/* The adaptive limit of a service.  */
#define WINDOW_MIN 16    /* first tokens judged together, at least */
#define LATE_HIGH_PCT 20 /* more late ones shrink the limit */
#define LATE_LOW_PCT 5   /* fewer let it grow, when it was used */
#define USED_PCT 90      /* of the limit, to count as used */
#define PARTLY_PCT 50    /* of the limit; below, lateness has other causes */
#define SHRINK 0.9
#define GROW 1.1
#define GROW_FIRST 2.0 /* until a window was late */

/* The adaptive slots of a backend server.  */
#define SLOTS_MIN 4
#define SLOTS_USED_PCT 80
#define GROW_PERIOD_MS 1000
#define GROW_STEPS_MAX 8
#define WAITING_MAX 2        /* requests an engine may have waiting */
#define SLOTS_GROW_FIRST 1.3 /* until they were too many once */
#define QUEUEING_REPORTS 2   /* in a row, to tell a queue from a burst */

/* The adaptive share of work sent ahead to a backend server.  */
#define AHEAD_GROW 0.01
#define AHEAD_SHRINK 0.7
#define AHEAD_MIN 0.1

#define BLOCK_MS 100      /* rest for one that says it is full */
#define FAILURE_SHARE 0.2 /* weight of a new outcome */
#define FAILURE_HIGH 0.5  /* share of failures that ejects */
#define EJECT_DOUBLINGS 10
#define JITTER 0.25 /* of a Retry-After */

guint
service_limit (const service_t *s)
{
  guint limit = (guint)s->limit;

  if (s->max_concurrency && s->max_concurrency < limit)
    limit = s->max_concurrency;
  return limit;
}

bool
service_may_start (const pu_router_t *r, const service_t *s)
{
  if (r->options.test_break == PU_ROUTER_BREAK_SERVICE_LIMIT)
    return true;
  return s->in_flight < service_limit (s);
}

/* What S may use by its importance among the services now at work; 0 when it
   is alone, as its own lateness is then its own doing.  */
static double
fair_share (const pu_router_t *r, const service_t *s)
{
  guint total = 0;

  for (guint i = 0; i < r->services->len; i++)
    {
      const service_t *other = service_at (r, i);

      if (other->in_flight + other->waiting > 0)
        total += other->importance;
    }
  if (total <= s->importance)
    return 0;
  return (double)r->in_flight * s->importance / total;
}

void
open_flows (pu_router_t *r, const service_t *s)
{
  for (guint i = 0; s->waiting > 0 && i < s->models->len; i++)
    {
      pu_router_model_t h = g_array_index (s->models, pu_router_model_t, i);
      const model_t *m = model_at (r, h);

      for (guint j = 0; m->waiting > 0 && j < m->ready->len; j++)
        backend_mark_dirty (r,
                            g_array_index (m->ready, ready_copy_t, j).backend);
    }
}

static void
window_close (pu_router_t *r, service_t *s)
{
  guint late_pct = s->late * 100 / s->samples;
  bool used = s->peak * 100.0 >= s->limit * USED_PCT;
  bool partly = s->peak * 100.0 >= s->limit * PARTLY_PCT;
  double floor = MAX (r->options.limit_min, fair_share (r, s));

  if (late_pct > LATE_HIGH_PCT && partly && s->limit > floor)
    {
      s->limit = MAX (s->limit * SHRINK, floor);
      s->was_late = true;
    }
  if (late_pct < LATE_LOW_PCT && used)
    {
      s->limit = s->limit * (s->was_late ? GROW : GROW_FIRST) + 1;
      open_flows (r, s);
    }
  s->samples = 0;
  s->late = 0;
  s->peak = s->in_flight;
}

void
service_record_first_token (pu_router_t *r, pu_router_service_t h, bool late)
{
  service_t *s = service_at (r, h);

  s->samples++;
  s->late += late;
  if (s->samples >= WINDOW_MIN && s->samples * 2 >= s->limit)
    window_close (r, s);
}

void
prefill_window_update (backend_t *b, guint64 sent_at, bool late, guint64 now)
{
  if (!late)
    {
      b->window = MIN (b->window + AHEAD_GROW, 1);
      return;
    }
  /* One cut for all that was sent before the last one took effect.  */
  if (sent_at < b->window_cut_at)
    return;
  b->window = MAX (b->window * AHEAD_SHRINK, AHEAD_MIN);
  b->window_cut_at = now;
}

guint
backend_slot_limit (const backend_t *s)
{
  return s->fixed_slots ? s->fixed_slots : (guint)s->slots;
}

static void
slots_shrink (backend_t *s, guint64 now)
{
  double load = backend_load (s, now);

  s->slots = MAX (MIN (s->slots, load) * SHRINK, SLOTS_MIN);
  s->was_full = true;
}

/* Reports that come seldom grow the slots no slower: a step for each second
   since the last, up to GROW_STEPS_MAX.  */
static void
slots_grow (const pu_router_t *r, backend_t *s, guint64 since)
{
  guint64 steps = CLAMP (since / GROW_PERIOD_MS, 1, GROW_STEPS_MAX);
  double factor = s->was_full ? GROW : SLOTS_GROW_FIRST;

  for (guint64 i = 0; i < steps; i++)
    s->slots = MIN (s->slots * factor + 1, r->options.slots_max);
}

void
slots_report (const pu_router_t *r, backend_t *s, guint64 since, guint64 now)
{
  const pu_router_report_t *report = &s->report;
  bool queueing = report->waiting > WAITING_MAX + report->running / 4;
  bool used = backend_load (s, now) * 100 >= s->slots * SLOTS_USED_PCT;

  /* What came since the engine's last step waits for its next one, however
     much room there is: one report of a queue is no sign of being full.  */
  s->queueing = queueing ? s->queueing + 1 : 0;
  if (s->queueing >= QUEUEING_REPORTS)
    {
      slots_shrink (s, now);
    }
  else if (report->waiting <= WAITING_MAX && used)
    {
      slots_grow (r, s, since);
    }
}

static void
hold (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (s->held || s->gone)
    return;
  s->held = true;
  g_array_append_val (r->held, b);
}

static void
eject (pu_router_t *r, pu_router_backend_t b, guint64 now)
{
  backend_t *s = backend_at (r, b);
  guint doublings = MIN (s->ejections, EJECT_DOUBLINGS);
  guint64 rest = (guint64)r->options.eject_ms << doublings;

  s->ejections++;
  s->ejected_until = now + MIN (rest, r->options.eject_max_ms);
  s->failure_share = 0;
  s->failures = 0;
  r->stats.ejected++;
  hold (r, b);
}

void
backend_failed (pu_router_t *r, pu_router_backend_t b,
                pu_router_failure_t failure, guint64 now)
{
  backend_t *s = backend_at (r, b);

  if (failure == PU_ROUTER_FAIL_NOT_RUN)
    {
      slots_shrink (s, now);
      s->blocked_until = now + BLOCK_MS;
      hold (r, b);
      return;
    }
  if (failure == PU_ROUTER_FAIL_ABSENT)
    return;
  /* A failure that it answers itself says less than a broken connection: some
     requests fail wherever they run.  */
  if (failure != PU_ROUTER_FAIL_ERROR)
    s->failures++;
  s->failure_share += FAILURE_SHARE * (1 - s->failure_share);
  if (now < s->ejected_until)
    return;
  if (s->ejections > 0 || s->failures >= r->options.eject_failures
      || s->failure_share > FAILURE_HIGH)
    eject (r, b, now);
}

void
backend_succeeded (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  s->failures = 0;
  s->failure_share -= FAILURE_SHARE * s->failure_share;
  if (s->ejections == 0)
    return;
  s->ejections = 0;
  s->ejected_until = 0;
  backend_mark_dirty (r, b);
}

void
retry_budget_credit (const pu_router_t *r, double *retry_budget)
{
  *retry_budget += r->options.retry_pct / 100.0;
  *retry_budget = MIN (*retry_budget, r->options.retry_burst);
}

bool
retry_budget_allows (const pu_router_t *r, double retry_budget)
{
  return retry_budget >= 1 || r->options.test_break == PU_ROUTER_BREAK_BUDGET;
}

guint
retry_after (pu_router_t *r, const model_t *m, double wait_ms)
{
  double ms = wait_ms;

  if (m && m->waiting > 0 && m->drain_rate > 0)
    ms = MAX (ms, m->waiting / m->drain_rate);
  ms = MAX (ms, r->options.retry_after_min_ms);
  ms *= 1 + JITTER * g_rand_double (r->rand);
  return (guint)MIN (ms, r->options.retry_after_max_ms);
}
