#include "routing/router_int.h"

#include <string.h>

/* Interval, in milliseconds, at which one request is admitted although the
   estimate predicts that it will be late.  */
#define PROBE_INTERVAL_MS 1000
/* The first-token target of a request is raised to at least this many times
   its expected first-token time on an idle copy.  */
#define UNLOADED_FACTOR 2

void
pu_router_options_init (pu_router_options_t *o)
{
  *o = (pu_router_options_t){
    .seed = 1,
    .region = "",
    .zone = "",
    .zone_cost_ms = 1,
    .region_cost_ms = 20,
    .version_cost_ms = 2000,
    .candidates = 8,
    .block_tokens = 16,
    .prefix_blocks_max = 65536,
    .slots_initial = 32,
    .slots_max = 512,
    .limit_initial = 128,
    .limit_min = 8,
    .prefill_window_pct = 50,
    .score_tolerance_pct = 5,
    .retry_pct = 10,
    .retry_burst = 5,
    .attempts_max = 3,
    .eject_failures = 2,
    .eject_ms = 1000,
    .eject_max_ms = 30000,
    .retry_after_min_ms = 250,
    .retry_after_max_ms = 30000,
    .prefill_token_ms = 0.1,
    .decode_token_ms = 20,
  };
}

const char *
pu_router_reason_name (pu_router_reason_t reason)
{
  switch (reason)
    {
    case PU_ROUTER_REASON_NONE:
      break;
    case PU_ROUTER_REASON_SERVICE:
      return "service";
    case PU_ROUTER_REASON_MODEL:
      return "model";
    case PU_ROUTER_REASON_COPY:
      return "copy";
    case PU_ROUTER_REASON_QUEUE_FULL:
      return "queue-full";
    case PU_ROUTER_REASON_DEADLINE:
      return "deadline";
    case PU_ROUTER_REASON_BUDGET:
      return "budget";
    case PU_ROUTER_REASON_ATTEMPTS:
      return "attempts";
    case PU_ROUTER_REASON_REPEAT:
      return "repeat";
    }
  return "none";
}

/* Requests and their tickets.  */

request_t *
request_lookup (const pu_router_t *r, pu_ticket_t t)
{
  guint index = (guint32)t - 1;
  request_t *q;

  if ((guint32)t == 0 || index >= r->requests->len)
    return NULL;
  q = r->requests->pdata[index];
  if (q->state == REQUEST_FREE || ticket_of (q) != t)
    return NULL;
  return q;
}

request_t *
request_lookup_running (const pu_router_t *r, pu_ticket_t t)
{
  request_t *q = request_lookup (r, t);

  return q && q->state == REQUEST_RUNNING ? q : NULL;
}

static request_t *
request_new (pu_router_t *r)
{
  request_t *q;

  if (r->free_requests->len > 0)
    {
      guint last = r->free_requests->len - 1;
      guint index = g_array_index (r->free_requests, guint, last);

      g_array_set_size (r->free_requests, last);
      return r->requests->pdata[index];
    }
  q = g_new0 (request_t, 1);
  q->index = r->requests->len;
  g_ptr_array_add (r->requests, q);
  return q;
}

void
request_end (pu_router_t *r, request_t *q)
{
  guint index = q->index;
  guint32 generation = q->generation + 1;

  g_free (q->software);
  g_free (q->backend_name);
  g_free (q->prefix);
  g_free (q->prefix_tokens);
  delay_request_clear (q);
  *q = (request_t){ .index = index, .generation = generation };
  g_array_append_val (r->free_requests, index);
}

/* Returns AT minus UNLOADED, the time in milliseconds that an idle copy needs,
   but at least 0.  */
static guint64
latest_start (double at, double unloaded)
{
  return at > unloaded ? (guint64)(at - unloaded) : 0;
}

/* The first token is due early enough for the decode steps to end by the
   deadline, and before the client disconnects.  If Q is not late and has not
   been attempted, the first token is also due by the first-token target of its
   service.  The target is extended if it leaves an idle copy too little
   time.  */
void
request_set_due (pu_router_t *r, request_t *q)
{
  const service_t *s = service_at (r, q->service);
  const model_t *m = model_at (r, q->model);
  double unloaded = unloaded_first_token_ms (r, q);
  double decode = expected_output_tokens (r, q)
                  * linear_fit_predict (&m->decode_step_fit, 1);
  double latest = (double)q->deadline - decode;
  double target = MAX (s->first_token_ms, UNLOADED_FACTOR * unloaded);
  double due;

  if (s->patience_ms > 0)
    latest = MIN (latest, (double)q->offered_at + s->patience_ms);
  due = latest;
  if (s->first_token_ms > 0 && q->attempt == 0 && !q->late)
    due = MIN (due, (double)q->offered_at + target);
  q->first_token_due = due > 0 ? (guint64)due : 0;
  q->late_at = latest_start (due, unloaded);
  q->expires_at = latest_start (s->serve_late ? latest : due, unloaded);
  q->expires_at = MIN (q->expires_at, q->deadline);
  delay_set_due (q);
}

/* Marks Q as unable to meet its first-token target.  */
static void
mark_late (pu_router_t *r, request_t *q)
{
  q->late = true;
  request_set_due (r, q);
}

/* Records that an attempt of Q failed on the backend server NAME before Q was
   offered.  */
static void
tried_note (const pu_router_t *r, request_t *q, const char *name)
{
  const backend_t *b = backend_at (r, pu_router_find_backend (r, name));

  if (b != NULL && model_at (r, q->model)->ready->len > 1)
    q->tried[q->n_tried++] = b->serial;
}

static void
request_fill (pu_router_t *r, request_t *q, const pu_router_request_t *in,
              guint64 now)
{
  const service_t *s = service_at (r, in->service);
  const model_t *m = model_at (r, in->model);

  q->service = in->service;
  q->model = in->model;
  q->priority = MIN (in->priority, PU_ROUTER_PRIORITY_MAX);
  q->offered_at = now - MIN (now, in->age_ms);
  q->deadline = in->deadline ? in->deadline : now + s->timeout_ms;
  q->prompt_tokens = in->prompt_tokens;
  q->max_tokens = in->max_tokens;
  q->n_prefix = MIN (in->n_prefix, PU_ROUTER_PREFIX_MAX);
  q->prefix = g_memdup2 (in->prefix, q->n_prefix * sizeof *in->prefix);
  if (in->prefix_tokens != NULL)
    {
      q->prefix_tokens = g_memdup2 (in->prefix_tokens,
                                    q->n_prefix * sizeof *in->prefix_tokens);
    }
  q->attempts_max
      = in->attempts_max > 0 ? in->attempts_max : r->options.attempts_max;
  q->fingerprint = in->fingerprint;
  q->shared_tokens = MIN (in->shared_tokens, in->prompt_tokens);
  q->repeatable = in->repeatable;
  q->software = g_strdup (in->software);
  q->backend_name = g_strdup (in->backend_name);
  if (in->tried_backend != NULL && in->backend_name == NULL)
    tried_note (r, q, in->tried_backend);
  q->wants_preferred = (guint)g_rand_int_range (r->rand, 0, 1000) < m->share;
  if (s->cost_of_delay)
    delay_request_init (r, q, now);
  request_set_due (r, q);
}

/* Refusal, queueing and start of a request.  */

/* Returns the Retry-After of Q, which would wait for WAIT_MS (0: not
   known).  */
static guint
retry_after_of (pu_router_t *r, const request_t *q, double wait_ms)
{
  if (!q->by_cost || r->options.test_delay_off & PU_DELAY_OFF_REFUSE)
    return retry_after (r, model_at (r, q->model), wait_ms);
  if (wait_ms <= 0)
    wait_ms = delay_wait_ms (r, q);
  return retry_after (r, NULL, pu_delay_retry_ms (wait_ms, q->priority));
}

void
request_refuse (pu_router_t *r, request_t *q, pu_router_reason_t reason,
                double wait_ms, pu_router_decision_t *d)
{
  pu_router_ran_t ran = PU_ROUTER_NOT_RUN;

  if (q->may_have_run)
    ran = PU_ROUTER_UNKNOWN;
  if (q->gave_tokens)
    ran = PU_ROUTER_RAN;
  *d = (pu_router_decision_t){
    .verdict = PU_ROUTER_REFUSE,
    .ticket = ticket_of (q),
    .backend = PU_ROUTER_NONE,
    .reason = reason,
    .ran = ran,
    .retry_after_ms = retry_after_of (r, q, wait_ms),
  };
  r->stats.refused++;
  if (q->by_cost)
    r->stats.delay_refused[reason][q->priority]++;
  request_end (r, q);
}

static void
enqueue (pu_router_t *r, request_t *q, guint64 now, pu_router_decision_t *d)
{
  pu_overload_came (&model_at (r, q->model)->overload, now);
  queue_add (r, q, now);
  *d = (pu_router_decision_t){
    .verdict = PU_ROUTER_QUEUED,
    .ticket = ticket_of (q),
    .backend = PU_ROUTER_NONE,
  };
}

void
request_start (pu_router_t *r, request_t *q, const candidate_t *c, guint64 now,
               pu_router_decision_t *d)
{
  service_t *s = service_at (r, q->service);
  backend_t *b = backend_at (r, c->backend);
  model_t *m = model_at (r, q->model);

  queue_charge (r, q, c, now);
  if (q->attempt == 0)
    {
      retry_budget_credit (&r->backend_retries, &b->retry_budget);
    }
  else
    {
      b->retry_budget -= 1;
      r->stats.retried++;
    }
  q->state = REQUEST_RUNNING;
  q->attempt++;
  q->backend = c->backend;
  q->sent_at = now;
  q->first_token_at = 0;
  q->prefill_tokens = c->prefill_tokens;
  q->uncached_tokens = q->prompt_tokens - c->cached;
  q->tokens = 0;
  q->sampled_tokens = 0;
  q->event_at = 0;
  b->in_flight++;
  b->prefilling++;
  b->pending_tokens += q->uncached_tokens;
  b->use_changed = true;
  delay_pending_add (b, q, true);
  backend_record_in_flight (b, now);
  s->in_flight++;
  s->peak_in_flight = MAX (s->peak_in_flight, s->in_flight);
  m->in_flight++;
  pu_overload_started (&m->overload, now);
  m->mean_prompt_tokens
      += MEAN_SAMPLE_WEIGHT * (q->prompt_tokens - m->mean_prompt_tokens);
  if (q->prompt_tokens > 0)
    {
      m->mean_uncached_share
          += MEAN_SAMPLE_WEIGHT
             * ((double)q->uncached_tokens / q->prompt_tokens
                - m->mean_uncached_share);
    }
  r->in_flight++;
  r->stats.dispatched++;
  r->stats.prompt_tokens += q->prompt_tokens;
  r->stats.prefix_hit_tokens += c->cached;
  *d = (pu_router_decision_t){
    .verdict = PU_ROUTER_DISPATCH,
    .ticket = ticket_of (q),
    .backend = c->backend,
    .attempt = q->attempt,
    .predicted_ms = (guint)MIN (c->predicted_ms, G_MAXINT),
    .cached_tokens = c->cached,
  };
}

void
prefill_done (pu_router_t *r, request_t *q)
{
  backend_t *b = backend_at (r, q->backend);

  b->prefilling--;
  b->pending_tokens -= q->uncached_tokens;
  b->use_changed = true;
  delay_pending_add (b, q, false);
}

/* Takes the running request Q off its backend server.  */
static void
detach_from_backend (pu_router_t *r, request_t *q, guint64 now)
{
  backend_t *b = backend_at (r, q->backend);

  if (!q->first_token_at)
    prefill_done (r, q);
  if (q->is_timed_stream)
    b->streams--;
  q->is_timed_stream = false;
  b->use_changed = true;
  b->in_flight--;
  backend_record_in_flight (b, now);
  service_at (r, q->service)->in_flight--;
  model_at (r, q->model)->in_flight--;
  r->in_flight--;
  backend_mark_dirty (r, q->backend);
  backend_reclaim (r, q->backend);
}

void
request_stop (pu_router_t *r, request_t *q, guint64 now)
{
  const service_t *s = service_at (r, q->service);
  bool was_full = !service_may_start (r, s);

  detach_from_backend (r, q, now);
  if (was_full)
    service_mark_backends_dirty (r, s);
}

/* Admission of new requests.  */

static void
refuse_undeclared (pu_router_t *r, pu_router_reason_t reason,
                   pu_router_decision_t *d)
{
  *d = (pu_router_decision_t){
    .verdict = PU_ROUTER_REFUSE,
    .backend = PU_ROUTER_NONE,
    .reason = reason,
    .retry_after_ms = retry_after (r, NULL, 0),
  };
  r->stats.refused++;
}

/* Returns whether Q cannot be answered in time even on an idle copy.  While no
   request for the model is in flight, one such request each PROBE_INTERVAL_MS
   is admitted, as a wrong estimate would otherwise never be corrected.  */
static bool
cannot_be_on_time (pu_router_t *r, const request_t *q, guint64 now)
{
  model_t *m = model_at (r, q->model);

  if (q->deadline <= now)
    return true;
  if (q->expires_at >= now)
    return false;
  if (m->in_flight > 0 || m->probed_at + PROBE_INTERVAL_MS > now)
    return true;
  m->probed_at = now;
  return false;
}

static bool
can_start_now (pu_router_t *r, const request_t *q, guint64 now, candidate_t *c)
{
  if (!service_may_start (r, service_at (r, q->service)))
    return false;
  if (!choose_copy (r, q, now, c))
    return false;
  /* A waiting request that could start on the chosen backend server goes
     before Q.  There can be such a request only if the backend server has been
     marked dirty since the last pu_router_schedule, no matter which requests
     wait for the model.  */
  return !backend_at (r, c->backend)->dirty
         || g_sequence_is_empty (r->waiting_by_timeout);
}

/* Returns for how long all copies that Q may try back off.  */
static double
back_off_ms (const pu_router_t *r, const request_t *q, guint64 now)
{
  guint64 start = earliest_start (r, q);

  return start > now ? (double)(start - now) : 0;
}

/* Whether late requests that only the backend server of Q may run do not
   start, as more that are not late come than it does.  Others may start on a
   copy that has less to do.  */
static bool
late_do_not_start (const pu_router_t *r, const request_t *q, guint64 now)
{
  return q->backend_name != NULL
         && pu_overload_lasts (&model_at (r, q->model)->overload, now);
}

/* Whether Q, which would wait for WAIT_MS, will be late and not start.  */
static bool
will_not_start (const pu_router_t *r, const request_t *q, double wait_ms,
                guint64 now)
{
  bool late = q->late || (double)now + wait_ms > (double)q->late_at;

  return late && late_do_not_start (r, q, now);
}

/* Returns when the caller of Q, which will not start, may come back: when
   those that wait now have started, the later the more others come back too.
 */
static double
overload_wait_ms (pu_router_t *r, const request_t *q, guint64 now)
{
  return service_at (r, q->service)->first_token_ms
         * pu_overload_ratio (&model_at (r, q->model)->overload, now);
}

/* Whether Q, which would wait for WAIT_MS, is of no use then.  */
static bool
waits_too_long (const pu_router_t *r, const request_t *q, double wait_ms,
                guint64 now)
{
  bool by_work
      = q->by_cost && !(r->options.test_delay_off & PU_DELAY_OFF_REFUSE);

  if (by_work && delay_is_hopeless (r, q, wait_ms, now))
    return true;
  if (by_work)
    wait_ms = back_off_ms (r, q, now);
  return (double)now + wait_ms > (double)q->expires_at;
}

void
enqueue_or_refuse (pu_router_t *r, request_t *q, guint64 now,
                   pu_router_decision_t *d)
{
  const service_t *s = service_at (r, q->service);
  double wait = MAX (queue_wait_ms (r, q, now), back_off_ms (r, q, now));

  if (will_not_start (r, q, wait, now))
    {
      pu_overload_came (&model_at (r, q->model)->overload, now);
      request_refuse (r, q, PU_ROUTER_REASON_DEADLINE,
                      overload_wait_ms (r, q, now), d);
    }
  else if (q->expires_at < now || waits_too_long (r, q, wait, now))
    {
      request_refuse (r, q, PU_ROUTER_REASON_DEADLINE, wait, d);
    }
  else if (s->waiting >= s->max_queue && !queue_evict (r, q))
    {
      request_refuse (r, q, PU_ROUTER_REASON_QUEUE_FULL, wait, d);
    }
  else
    {
      enqueue (r, q, now, d);
    }
}

static void
decide (pu_router_t *r, request_t *q, guint64 now, pu_router_decision_t *d)
{
  candidate_t c;

  if (!has_copy (r, q))
    {
      request_refuse (r, q, PU_ROUTER_REASON_COPY, 0, d);
    }
  else if (cannot_be_on_time (r, q, now))
    {
      request_refuse (r, q, PU_ROUTER_REASON_DEADLINE, 0, d);
    }
  else if (can_start_now (r, q, now, &c))
    {
      pu_overload_came (&model_at (r, q->model)->overload, now);
      delay_count_start (r, q, &c, now);
      request_start (r, q, &c, now, d);
    }
  else
    {
      enqueue_or_refuse (r, q, now, d);
    }
}

void
pu_router_offer (pu_router_t *r, const pu_router_request_t *in, guint64 now,
                 pu_router_decision_t *d)
{
  service_t *s = service_at (r, in->service);
  const model_t *m = model_at (r, in->model);
  request_t *q;

  r->stats.offered++;
  if (!s || !s->declared)
    {
      refuse_undeclared (r, PU_ROUTER_REASON_SERVICE, d);
      return;
    }
  if (!m || !m->declared)
    {
      refuse_undeclared (r, PU_ROUTER_REASON_MODEL, d);
      return;
    }
  retry_budget_credit (&r->service_retries, &s->retry_budget);
  q = request_new (r);
  request_fill (r, q, in, now);
  decide (r, q, now, d);
  if (d->verdict == PU_ROUTER_REFUSE)
    d->ticket = 0;
}

void
pu_router_set_software (pu_router_t *r, pu_ticket_t t, const char *version)
{
  request_t *q = request_lookup_running (r, t);

  if (q == NULL)
    return;
  g_free (q->software);
  q->software = g_strdup (version);
}

/* Scheduling of waiting requests.  */

static void
refuse_waiting (pu_router_t *r, request_t *q, pu_router_reason_t reason,
                double wait_ms, GArray *out)
{
  pu_router_decision_t d;

  queue_remove (r, q);
  request_refuse (r, q, reason, wait_ms, &d);
  g_array_append_val (out, d);
}

static void
refuse_evicted (pu_router_t *r, GArray *out)
{
  for (guint i = 0; i < r->evicted->len; i++)
    {
      pu_ticket_t t = g_array_index (r->evicted, pu_ticket_t, i);
      request_t *q = request_lookup (r, t);
      pu_router_decision_t d;

      if (!q)
        continue;
      request_refuse (r, q, PU_ROUTER_REASON_QUEUE_FULL, 0, &d);
      g_array_append_val (out, d);
    }
  g_array_set_size (r->evicted, 0);
}

/* Moves Q behind the requests that can meet their target, and marks the
   backend servers of its model as dirty, because a late request may start
   where others may not.  */
static void
requeue_late (pu_router_t *r, request_t *q, guint64 now)
{
  const model_t *m = model_at (r, q->model);

  queue_remove (r, q);
  mark_late (r, q);
  queue_add (r, q, now);
  for (guint i = 0; i < m->ready->len; i++)
    backend_mark_dirty (r, g_array_index (m->ready, ready_copy_t, i).backend);
}

static void
expire_waiting (pu_router_t *r, guint64 now, GArray *out)
{
  GSequenceIter *at = g_sequence_get_begin_iter (r->waiting_by_timeout);

  while (!g_sequence_iter_is_end (at))
    {
      request_t *q = g_sequence_get (at);
      bool late_starts = !late_do_not_start (r, q, now);

      if (queue_timeout_at (q) >= now)
        return;
      if (!q->late && q->expires_at >= now && late_starts)
        {
          requeue_late (r, q, now);
          at = g_sequence_get_begin_iter (r->waiting_by_timeout);
          continue;
        }
      refuse_waiting (r, q, PU_ROUTER_REASON_DEADLINE,
                      late_starts ? 0 : overload_wait_ms (r, q, now), out);
      if (r->options.test_break == PU_ROUTER_BREAK_EXPIRY)
        {
          pu_router_decision_t again
              = g_array_index (out, pu_router_decision_t, out->len - 1);

          g_array_append_val (out, again);
        }
      at = g_sequence_get_begin_iter (r->waiting_by_timeout);
    }
}

pu_router_reason_t
lost_dependency (const pu_router_t *r, const request_t *q)
{
  const model_t *m = model_at (r, q->model);

  if (!service_at (r, q->service)->declared)
    return PU_ROUTER_REASON_SERVICE;
  if (!m->declared)
    return PU_ROUTER_REASON_MODEL;
  if (!has_copy (r, q))
    return PU_ROUTER_REASON_COPY;
  return PU_ROUTER_REASON_NONE;
}

/* Refuses waiting requests whose service, model or last ready copy is gone,
   and those that can't start in time because all copies back off.  */
static void
refuse_unservable (pu_router_t *r, guint64 now, GArray *out)
{
  GSequenceIter *at = g_sequence_get_begin_iter (r->waiting_by_timeout);

  r->recheck_waiting = false;
  while (!g_sequence_iter_is_end (at))
    {
      request_t *q = g_sequence_get (at);
      pu_router_reason_t reason = lost_dependency (r, q);

      at = g_sequence_iter_next (at);
      if (reason == PU_ROUTER_REASON_NONE
          && earliest_start (r, q) > q->expires_at)
        reason = PU_ROUTER_REASON_DEADLINE;
      if (reason != PU_ROUTER_REASON_NONE)
        refuse_waiting (r, q, reason, back_off_ms (r, q, now), out);
    }
}

static guint64
cooldown_end (const backend_t *b)
{
  return MAX (MAX (b->blocked_until, b->ejected_until), b->back_off_until);
}

static void
end_cooldowns (pu_router_t *r, guint64 now)
{
  for (guint i = r->cooldowns->len; i-- > 0;)
    {
      pu_router_backend_t h
          = g_array_index (r->cooldowns, pu_router_backend_t, i);
      backend_t *b = backend_at (r, h);

      if (cooldown_end (b) > now)
        continue;
      b->cooling_down = false;
      g_array_remove_index_fast (r->cooldowns, i);
      backend_mark_dirty (r, h);
    }
}

/* Starts waiting requests on H while it has capacity.  */
static void
fill_backend (pu_router_t *r, pu_router_backend_t h, guint64 now, GArray *out)
{
  candidate_t c;
  request_t *q;

  while ((q = queue_select (r, h, now, &c)))
    {
      pu_router_decision_t d;

      delay_count_start (r, q, &c, now);
      queue_remove (r, q);
      queue_count_start (model_at (r, q->model), now);
      request_start (r, q, &c, now, &d);
      g_array_append_val (out, d);
    }
}

static void
fill_dirty_backends (pu_router_t *r, guint64 now, GArray *out)
{
  while (r->dirty->len > 0)
    {
      guint last = r->dirty->len - 1;
      pu_router_backend_t h
          = g_array_index (r->dirty, pu_router_backend_t, last);
      backend_t *b = backend_at (r, h);

      g_array_set_size (r->dirty, last);
      b->dirty = false;
      if (!b->removed && !b->leaving
          && !g_sequence_is_empty (r->waiting_by_timeout))
        fill_backend (r, h, now, out);
    }
}

/* Plans the requests by cost and refuses those that can't be answered in
   time.  */
static void
refuse_hopeless (pu_router_t *r, guint64 now, GArray *out)
{
  delay_plan (r, now);
  for (guint i = 0; i < r->hopeless->len; i++)
    {
      request_t *q
          = request_lookup (r, g_array_index (r->hopeless, pu_ticket_t, i));

      refuse_waiting (r, q, PU_ROUTER_REASON_DEADLINE, delay_wait_ms (r, q),
                      out);
    }
  g_array_set_size (r->hopeless, 0);
}

guint
pu_router_schedule (pu_router_t *r, guint64 now, GArray *out)
{
  guint before = out->len;

  refuse_evicted (r, out);
  if (r->recheck_waiting)
    refuse_unservable (r, now, out);
  expire_waiting (r, now, out);
  refuse_hopeless (r, now, out);
  end_cooldowns (r, now);
  fill_dirty_backends (r, now, out);
  return out->len - before;
}

guint64
pu_router_next_timeout_at (const pu_router_t *r)
{
  GSequenceIter *first = g_sequence_get_begin_iter (r->waiting_by_timeout);
  guint64 at;

  if (r->evicted->len > 0 || r->dirty->len > 0)
    return 0;
  if (g_sequence_iter_is_end (first))
    return G_MAXUINT64;
  if (r->recheck_waiting)
    return 0;
  at = queue_timeout_at (g_sequence_get (first)) + 1;
  for (guint i = 0; i < r->cooldowns->len; i++)
    {
      pu_router_backend_t h
          = g_array_index (r->cooldowns, pu_router_backend_t, i);

      at = MIN (at, cooldown_end (backend_at (r, h)));
    }
  return at;
}
