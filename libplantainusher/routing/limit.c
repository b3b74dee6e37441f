#include "routing/router_int.h"

/* Constants of the adaptive concurrency limit of a service.  */
#define LATE_SAMPLES_MIN 16 /* fewest first tokens before an adjustment */
/* The limit shrinks above this share of late first tokens.  */
#define LATE_SHRINK_PCT 20
/* Below this share of late first tokens, the limit grows if it was
   saturated.  */
#define LATE_GROW_PCT 5
/* The limit counts as saturated if the peak number of requests in flight was
   at least this percentage of it.  */
#define LIMIT_SATURATED_PCT 90
/* The limit shrinks only if the peak number of requests in flight was at least
   this percentage of it.  With a lower peak, lateness is not caused by too
   many concurrent requests of the service.  */
#define LIMIT_RELEVANT_PCT 50
#define SHRINK_FACTOR 0.9
#define GROW_FACTOR 1.1
/* Growth factor until the limit has shrunk once.  */
#define LIMIT_GROW_FACTOR_INITIAL 2.0

/* Constants of the adaptive slots of a backend server, its limit of concurrent
   requests.  */
#define SLOTS_MIN 4
/* The slots count as saturated if the load is at least this percentage of
   them.  */
#define SLOTS_SATURATED_PCT 80
#define SLOTS_GROW_PERIOD_MS 1000
#define SLOTS_GROW_STEPS_MAX 8
/* An engine counts as queueing if more requests wait than this number plus a
   quarter of those that run.  With at most this many waiting, the slots may
   grow.  */
#define ENGINE_WAITING_MAX 2
/* Growth factor until the slots have shrunk once.  */
#define SLOTS_GROW_FACTOR_INITIAL 1.3
/* Consecutive reports of a queueing engine after which the slots of its
   backend server (the adaptive limit of concurrent requests) shrink; fewer may
   be a burst.  */
#define QUEUEING_REPORTS_MIN 2

/* Constants of the prefill window of a backend server (see prefill_window):
   additive increase, multiplicative decrease.  */
#define PREFILL_WINDOW_GROW 0.01
#define PREFILL_WINDOW_SHRINK 0.7
#define PREFILL_WINDOW_MIN 0.1

/* Time without new requests after a refusal as overloaded.  */
#define FULL_COOLDOWN_MS 100
/* Weight of a new outcome in the failure share.  */
#define FAILURE_WEIGHT 0.2
/* A backend server with a higher failure share is ejected.  */
#define FAILURE_SHARE_MAX 0.5
#define EJECT_DOUBLINGS 10 /* most doublings of an ejection's length */
/* Highest random addition to Retry-After, as a share of it.  */
#define RETRY_AFTER_JITTER 0.25

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

/* Returns how many of all requests in flight S is entitled to by its
   importance among the active services, which have requests in flight or
   waiting.  Returns 0 if S is the only active service, because the load of S
   then causes its lateness.  */
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
service_mark_backends_dirty (pu_router_t *r, const service_t *s)
{
  for (guint i = 0; s->waiting > 0 && i < s->models->len; i++)
    {
      pu_router_model_t h = g_array_index (s->models, pu_router_model_t, i);
      const model_t *m = model_at (r, h);

      for (guint j = 0; m->waiting > 0 && j < m->ready->len; j++)
        {
          backend_mark_dirty (
              r, g_array_index (m->ready, ready_copy_t, j).backend);
        }
    }
}

static void
service_limit_adjust (pu_router_t *r, service_t *s)
{
  guint late_pct = s->late_samples * 100 / s->samples;
  bool saturated = s->peak_in_flight * 100.0 >= s->limit * LIMIT_SATURATED_PCT;
  bool relevant = s->peak_in_flight * 100.0 >= s->limit * LIMIT_RELEVANT_PCT;
  double floor = MAX (r->options.limit_min, fair_share (r, s));

  if (late_pct > LATE_SHRINK_PCT && relevant && s->limit > floor)
    {
      s->limit = MAX (s->limit * SHRINK_FACTOR, floor);
      s->limit_has_shrunk = true;
    }
  if (late_pct < LATE_GROW_PCT && saturated)
    {
      s->limit = s->limit
                     * (s->limit_has_shrunk ? GROW_FACTOR
                                            : LIMIT_GROW_FACTOR_INITIAL)
                 + 1;
      service_mark_backends_dirty (r, s);
    }
  s->samples = 0;
  s->late_samples = 0;
  s->peak_in_flight = s->in_flight;
}

void
service_record_first_token (pu_router_t *r, pu_router_service_t h, bool late)
{
  service_t *s = service_at (r, h);

  s->samples++;
  s->late_samples += late;
  if (s->samples >= LATE_SAMPLES_MIN && s->samples * 2 >= s->limit)
    service_limit_adjust (r, s);
}

void
prefill_window_update (backend_t *b, guint64 sent_at, bool late, guint64 now)
{
  if (!late)
    {
      b->prefill_window = MIN (b->prefill_window + PREFILL_WINDOW_GROW, 1);
      return;
    }
  /* A late request that was sent before the last reduction of the window took
     effect does not reduce it again.  */
  if (sent_at < b->prefill_window_shrunk_at)
    return;
  b->prefill_window
      = MAX (b->prefill_window * PREFILL_WINDOW_SHRINK, PREFILL_WINDOW_MIN);
  b->prefill_window_shrunk_at = now;
}

/* Whether the adaptive slots of S have nothing to go by but rejections.  */
static bool
reports_no_load (const backend_t *s)
{
  return s->reported_at == 0;
}

guint
backend_slot_limit (const backend_t *s)
{
  guint slots = s->fixed_slots ? s->fixed_slots : (guint)s->slots;

  if (s->slots_cap == 0)
    return slots;
  /* Whoever sets the cap knows more than the adaptive slots do.  */
  if (s->fixed_slots == 0 && reports_no_load (s))
    return s->slots_cap;
  return MIN (slots, s->slots_cap);
}

static void
slots_shrink (backend_t *s, guint64 now)
{
  double load = backend_load (s, now);

  s->slots = MAX (MIN (s->slots, load) * SHRINK_FACTOR, SLOTS_MIN);
  s->slots_have_shrunk = true;
}

/* Grows the slots by one step for each second since the last report, up to
   SLOTS_GROW_STEPS_MAX, so that the slots grow no slower when reports are
   rare.  */
static void
slots_grow (const pu_router_t *r, backend_t *s, guint64 since)
{
  guint64 steps
      = CLAMP (since / SLOTS_GROW_PERIOD_MS, 1, SLOTS_GROW_STEPS_MAX);
  double factor
      = s->slots_have_shrunk ? GROW_FACTOR : SLOTS_GROW_FACTOR_INITIAL;

  for (guint64 i = 0; i < steps; i++)
    s->slots = MIN (s->slots * factor + 1, r->options.slots_max);
}

void
slots_update (const pu_router_t *r, backend_t *s, guint64 since, guint64 now)
{
  const pu_router_report_t *report = &s->report;
  bool queueing = report->waiting > ENGINE_WAITING_MAX + report->running / 4;
  bool saturated
      = backend_load (s, now) * 100 >= s->slots * SLOTS_SATURATED_PCT;

  /* Requests that arrived since the last engine step wait for the next step
     even when the engine has room, so a single report of a queue does not show
     that the engine is full.  */
  s->queueing_reports = queueing ? s->queueing_reports + 1 : 0;
  if (s->queueing_reports >= QUEUEING_REPORTS_MIN)
    {
      slots_shrink (s, now);
    }
  else if (report->waiting <= ENGINE_WAITING_MAX && saturated)
    {
      slots_grow (r, s, since);
    }
}

static void
start_cooldown (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (s->cooling_down || s->removed)
    return;
  s->cooling_down = true;
  g_array_append_val (r->cooldowns, b);
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
  s->consecutive_failures = 0;
  r->stats.ejected++;
  start_cooldown (r, b);
}

void
pu_router_set_slots_cap (pu_router_t *r, pu_router_backend_t b, guint cap)
{
  backend_t *s = backend_at (r, b);

  if (s == NULL || !s->in_use || s->slots_cap == cap)
    return;
  s->slots_cap = cap;
  backend_mark_dirty (r, b);
}

void
pu_router_set_lost (pu_router_t *r, pu_router_backend_t b, bool lost)
{
  backend_t *s = backend_at (r, b);

  if (s == NULL || !s->in_use || s->lost == lost)
    return;
  s->lost = lost;
  if (!lost)
    backend_mark_dirty (r, b);
}

void
pu_router_set_back_off (pu_router_t *r, pu_router_backend_t b, guint64 until)
{
  backend_t *s = backend_at (r, b);

  if (s == NULL || !s->in_use || until <= s->back_off_until)
    return;
  s->back_off_until = until;
  r->recheck_waiting = true;
  start_cooldown (r, b);
}

void
backend_failed (pu_router_t *r, pu_router_backend_t b,
                pu_router_failure_t failure, guint64 now)
{
  backend_t *s = backend_at (r, b);

  if (failure == PU_ROUTER_FAIL_NOT_RUN)
    {
      slots_shrink (s, now);
      s->blocked_until = now + FULL_COOLDOWN_MS;
      start_cooldown (r, b);
      return;
    }
  if (failure == PU_ROUTER_FAIL_ABSENT || failure == PU_ROUTER_FAIL_UNSENT
      || failure == PU_ROUTER_FAIL_DECLINED || failure == PU_ROUTER_FAIL_RELAY)
    return;
  /* An error response is weaker evidence than a broken connection, as some
     requests fail on every backend server.  */
  if (failure != PU_ROUTER_FAIL_ERROR)
    s->consecutive_failures++;
  s->failure_share += FAILURE_WEIGHT * (1 - s->failure_share);
  if (now < s->ejected_until)
    return;
  if (s->ejections > 0 || s->consecutive_failures >= r->options.eject_failures
      || s->failure_share > FAILURE_SHARE_MAX)
    eject (r, b, now);
}

/* Grows the slots of S, which has answered a request, by one for as many
   answers as there are slots.  Rejections have shrunk them, and S has no
   reports that would let them grow again.  */
static void
slots_grow_unreported (const pu_router_t *r, backend_t *s)
{
  if (reports_no_load (s) && s->slots_have_shrunk
      && s->in_flight * 100 >= s->slots * SLOTS_SATURATED_PCT)
    s->slots = MIN (s->slots + 1 / s->slots, r->options.slots_max);
}

void
backend_succeeded (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  slots_grow_unreported (r, s);
  s->consecutive_failures = 0;
  s->failure_share -= FAILURE_WEIGHT * s->failure_share;
  if (s->ejections == 0)
    return;
  s->ejections = 0;
  s->ejected_until = 0;
  backend_mark_dirty (r, b);
}

void
retry_budget_credit (const retry_earnings_t *earnings, double *retry_budget)
{
  double most = earnings->burst;

  if (earnings->pct > 0)
    most = MAX (most, 1);
  *retry_budget += earnings->pct / 100.0;
  *retry_budget = MIN (*retry_budget, most);
}

void
pu_router_set_service_retries (pu_router_t *r, double pct, double burst)
{
  r->service_retries = (retry_earnings_t){ pct, burst };
  for (guint i = 0; i < r->services->len; i++)
    {
      service_t *s = g_ptr_array_index (r->services, i);

      s->retry_budget = MIN (s->retry_budget, burst);
    }
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

  if (m && m->waiting > 0 && m->drain_per_ms > 0)
    ms = MAX (ms, m->waiting / m->drain_per_ms);
  ms = MAX (ms, r->options.retry_after_min_ms);
  ms *= 1 + RETRY_AFTER_JITTER * g_rand_double (r->rand);
  return (guint)MIN (ms, r->options.retry_after_max_ms);
}
