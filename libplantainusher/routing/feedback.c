#include "routing/router_int.h"

/* Fewest output tokens over which one sample of the time between tokens is
   taken.  */
#define STEP_SAMPLE_TOKENS 8

void
pu_router_sent (pu_router_t *r, pu_ticket_t t, guint64 now)
{
  request_t *q = request_lookup_running (r, t);

  if (q && !q->first_token_at)
    q->sent_at = now;
}

/* Updates the estimate of the prefill time of one prompt token on an engine
   without other work.  The estimate stays near the lowest samples, because
   with other entries' requests and full batches the mean is far longer.  */
static void
update_prefill_time (pu_router_t *r, const request_t *q, double net_ms)
{
  double ms;

  if (q->prefill_tokens < PU_PREFILL_SAMPLE_TOKENS_MIN)
    return;
  ms = net_ms / (double)q->prefill_tokens;
  min_filter_add (&model_at (r, q->model)->prefill_token_ms, ms);
  min_filter_add (&r->prefill_token_ms, ms);
}

static void
update_first_token_time (pu_router_t *r, const request_t *q, guint64 now)
{
  backend_t *b = backend_at (r, q->backend);
  double ms = (double)(now - q->sent_at);
  double net_ms = MAX (ms - b->network_cost_ms, 0);
  double normal_ms;

  if (delay_was_overtaken (b, q))
    return;
  normal_ms = speed_add_first_token (r, q, net_ms, now);
  update_prefill_time (r, q, normal_ms);
  for (guint i = 0; i < b->copies->len; i++)
    {
      copy_t *c = &g_array_index (b->copies, copy_t, i);

      if (c->model == q->model && c->phase == PU_ROUTER_COPY_READY)
        copy_add_sample (r, c, (double)q->prefill_tokens, net_ms);
    }
  linear_fit_add (&model_at (r, q->model)->first_token_fit,
                  (double)q->prefill_tokens, normal_ms);
}

/* Records that the prompt blocks of Q are now in the prefix cache of its
   backend server.  */
static void
record_cached_prefix (pu_router_t *r, const request_t *q)
{
  backend_t *b = backend_at (r, q->backend);

  if (g_hash_table_size (b->blocks) + q->n_prefix
      > r->options.prefix_blocks_max)
    g_hash_table_remove_all (b->blocks);
  for (guint i = 0; i < q->n_prefix; i++)
    g_hash_table_add (b->blocks, GSIZE_TO_POINTER (q->prefix[i]));
}

void
pu_router_first_token (pu_router_t *r, pu_ticket_t t, guint64 now)
{
  request_t *q = request_lookup_running (r, t);
  guint target;

  if (!q || q->first_token_at)
    return;
  q->first_token_at = MAX (now, 1);
  q->sampled_at = now;
  q->sampled_tokens = 1;
  q->tokens = 1;
  q->gave_tokens = true;
  prefill_done (r, q);
  if (service_at (r, q->service)->per_token_ms > 0)
    {
      q->is_timed_stream = true;
      backend_at (r, q->backend)->streams++;
    }
  update_first_token_time (r, q, now);
  record_cached_prefix (r, q);
  target = service_at (r, q->service)->first_token_ms;
  if (target > 0)
    {
      prefill_window_update (backend_at (r, q->backend), q->sent_at,
                             now > q->first_token_due, now);
    }
  if (target > 0 && q->attempt == 1 && !q->late)
    service_record_first_token (r, q->service, now - q->offered_at > target);
  backend_mark_dirty (r, q->backend);
}

void
pu_router_tokens (pu_router_t *r, pu_ticket_t t, guint total, guint64 now)
{
  request_t *q = request_lookup_running (r, t);
  backend_t *b;
  double ms;
  double normal_ms;
  double load;
  guint before;

  if (!q || !q->first_token_at || total <= q->tokens)
    return;
  before = q->tokens;
  q->tokens = total;
  speed_add_event (r, q, before, now);
  if (total < q->sampled_tokens + STEP_SAMPLE_TOKENS)
    return;
  b = backend_at (r, q->backend);
  ms = (double)(now - q->sampled_at) / (total - q->sampled_tokens);
  load = backend_load (b, now);
  linear_fit_add (&b->decode_step_fit, load, ms);
  normal_ms = ms / backend_slowness (r, b, now);
  linear_fit_add (&model_at (r, q->model)->decode_step_fit, load, normal_ms);
  min_filter_add (&model_at (r, q->model)->decode_step_ms, normal_ms);
  min_filter_add (&r->decode_step_ms, normal_ms);
  b->decode_step_known = true;
  q->sampled_at = now;
  q->sampled_tokens = total;
}

static void
update_mean_output (pu_router_t *r, const request_t *q)
{
  model_t *m = model_at (r, q->model);

  if (m->mean_output_tokens <= 0)
    {
      m->mean_output_tokens = q->tokens;
    }
  else
    {
      m->mean_output_tokens
          += MEAN_SAMPLE_WEIGHT * (q->tokens - m->mean_output_tokens);
    }
}

void
pu_router_finished (pu_router_t *r, pu_ticket_t t, pu_router_outcome_t outcome,
                    guint64 now)
{
  request_t *q = request_lookup_running (r, t);

  if (!q)
    return;
  if (outcome == PU_ROUTER_COMPLETE && q->tokens > 0)
    update_mean_output (r, q);
  backend_succeeded (r, q->backend);
  request_stop (r, q, now);
  r->stats.finished++;
  request_end (r, q);
}

void
pu_router_cancel (pu_router_t *r, pu_ticket_t t, guint64 now)
{
  request_t *q = request_lookup (r, t);

  if (!q)
    return;
  if (q->state == REQUEST_WAITING)
    {
      if (q->queue_iter)
        queue_remove (r, q);
    }
  else
    request_stop (r, q, now);
  r->stats.cancelled++;
  request_end (r, q);
}

/* Failed attempts and their retries.  */

bool
pu_router_failure_may_have_run (pu_router_failure_t failure)
{
  switch (failure)
    {
    case PU_ROUTER_FAIL_CONNECT:
    case PU_ROUTER_FAIL_NOT_RUN:
    case PU_ROUTER_FAIL_ABSENT:
    case PU_ROUTER_FAIL_UNSENT:
    case PU_ROUTER_FAIL_DECLINED:
      return false;
    case PU_ROUTER_FAIL_DIED:
    case PU_ROUTER_FAIL_ERROR:
    case PU_ROUTER_FAIL_SILENT:
    case PU_ROUTER_FAIL_TRUNCATED:
    case PU_ROUTER_FAIL_RELAY:
      return true;
    }
  return true;
}

/* Whether an attempt that ended with FAILURE has reached no backend
   server.  */
static bool
is_unconnected (pu_router_failure_t failure)
{
  return failure == PU_ROUTER_FAIL_CONNECT || failure == PU_ROUTER_FAIL_UNSENT
         || failure == PU_ROUTER_FAIL_DECLINED;
}

/* Takes back the attempt of Q that ended without a connection: it reached no
   backend server, so it is none of the attempts that the route allows, and
   needs no retry budget.  Returns false if Q has had too many of these.  */
static bool
uncharge_unconnected (request_t *q)
{
  if (q->unconnected >= TRIED_MAX - 1)
    return false;
  q->unconnected++;
  q->attempt--;
  return true;
}

static void
record_failure (pu_router_t *r, request_t *q, pu_router_failure_t failure,
                guint64 now)
{
  pu_router_backend_t b = q->backend;

  if (pu_router_failure_may_have_run (failure))
    q->may_have_run = true;
  backend_failed (r, b, failure, now);
  if (failure != PU_ROUTER_FAIL_NOT_RUN && failure != PU_ROUTER_FAIL_UNSENT
      && q->n_tried < TRIED_MAX)
    q->tried[q->n_tried++] = backend_at (r, b)->serial;
}

/* Returns why Q must not be retried, or PU_ROUTER_REASON_NONE if it may be.
   CHARGED: the retry needs budget.  */
static pu_router_reason_t
retry_refusal_reason (const pu_router_t *r, const request_t *q, bool charged,
                      guint64 now)
{
  const service_t *s = service_at (r, q->service);
  bool unsafe_to_repeat
      = !q->repeatable && (q->may_have_run || q->gave_tokens);

  if (unsafe_to_repeat && r->options.test_break != PU_ROUTER_BREAK_REPEAT)
    return PU_ROUTER_REASON_REPEAT;
  if (lost_dependency (r, q) != PU_ROUTER_REASON_NONE)
    return lost_dependency (r, q);
  if (q->attempt >= q->attempts_max
      || retry_copies (r, q) == RETRY_COPIES_NONE)
    return PU_ROUTER_REASON_ATTEMPTS;
  if (q->deadline <= now || q->expires_at < now)
    return PU_ROUTER_REASON_DEADLINE;
  if (charged
      && (!retry_budget_allows (r, s->retry_budget)
          || retry_copies (r, q) == RETRY_COPIES_NO_BUDGET))
    return PU_ROUTER_REASON_BUDGET;
  return PU_ROUTER_REASON_NONE;
}

/* Returns whether Q, which is about to be retried, has missed its first-token
   target while its service still serves late requests.  */
static bool
is_served_late (const pu_router_t *r, const request_t *q, guint64 now)
{
  const service_t *s = service_at (r, q->service);

  return s->serve_late && s->first_token_ms > 0
         && now > q->offered_at + s->first_token_ms;
}

void
pu_router_retry (pu_router_t *r, pu_ticket_t t, pu_router_failure_t failure,
                 guint64 now, pu_router_decision_t *d)
{
  request_t *q = request_lookup_running (r, t);
  pu_router_reason_t reason;
  candidate_t c;
  bool charged;

  if (!q)
    {
      *d = (pu_router_decision_t){ .verdict = PU_ROUTER_REFUSE,
                                   .backend = PU_ROUTER_NONE };
      return;
    }
  record_failure (r, q, failure, now);
  request_stop (r, q, now);
  charged = !is_unconnected (failure) || !uncharge_unconnected (q);
  q->late = is_served_late (r, q, now);
  request_set_due (r, q);
  reason = retry_refusal_reason (r, q, charged, now);
  if (reason != PU_ROUTER_REASON_NONE)
    {
      request_refuse (r, q, reason, 0, d);
      return;
    }
  if (charged)
    service_at (r, q->service)->retry_budget -= 1;
  if (service_may_start (r, service_at (r, q->service))
      && choose_copy (r, q, now, &c))
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
pu_router_abandon (pu_router_t *r, pu_ticket_t t, pu_router_failure_t failure,
                   guint64 now)
{
  request_t *q = request_lookup_running (r, t);

  if (!q)
    return;
  record_failure (r, q, failure, now);
  request_stop (r, q, now);
  r->stats.cancelled++;
  request_end (r, q);
}
