#include "routing/router_int.h"

#include <string.h>
#include <xxhash.h>

/* Expected output tokens of a request for a model that has answered no request
   yet.  */
#define DEFAULT_OUTPUT_TOKENS 64
/* Batch size assumed for an engine that reports none.  */
#define DEFAULT_BATCH_SIZE 64
/* Added to the score of a copy for each request in flight on its backend
   server; breaks ties in favour of lower load.  */
#define LOAD_TIEBREAK_MS 0.01
/* Safety margin between the predicted first token and the time when it is due,
   in mean deviations of the estimate.  */
#define MARGIN_DEVIATIONS 2
/* Copies whose scores differ by no more count as equal with the numbers of
   other entries, which tell the load more exactly than reports do.  */
#define NEARLY_EQUAL_MS 5
/* Most rounds of sampling in one choice, each of `candidates` copies.  */
#define SAMPLE_ROUNDS_MAX 3

guint
expected_output_tokens (const pu_router_t *r, const request_t *q)
{
  const model_t *m = model_at (r, q->model);
  double mean = m->mean_output_tokens > 0 ? m->mean_output_tokens
                                          : DEFAULT_OUTPUT_TOKENS;

  return MIN (q->max_tokens, (guint)mean);
}

/* Returns the prefill time of one prompt token, in milliseconds, on an engine
   without other work; 0: not known.  */
static double
model_prefill_token_ms (const pu_router_t *r, const model_t *m)
{
  return m->prefill_token_ms > 0 ? m->prefill_token_ms : r->prefill_token_ms;
}

/* The fitted line includes the delay that other requests caused when its
   samples were taken.  Used alone, it would make the router refuse requests
   that an idle copy can answer in time, so the result is at most the time
   measured without other work.  */
double
unloaded_first_token_ms (const pu_router_t *r, const request_t *q)
{
  const model_t *m = model_at (r, q->model);
  double fitted = linear_fit_predict (&m->first_token_fit, q->prompt_tokens);
  double without_load = model_prefill_token_ms (r, m) * q->prompt_tokens
                        + linear_fit_predict (&m->decode_step_fit, 1);

  /* The only backend server that may run Q is kept busy with others.  */
  if (q->backend_name != NULL || model_prefill_token_ms (r, m) <= 0)
    return fitted;
  return MIN (fitted, without_load);
}

/* Returns the time between two output tokens, in milliseconds, on an engine
   without other work; the configured decode_token_ms until a time has been
   measured.  */
static double
model_decode_step_ms (const pu_router_t *r, const model_t *m)
{
  if (m->decode_step_ms > 0)
    return m->decode_step_ms;
  return r->decode_step_ms > 0 ? r->decode_step_ms
                               : r->options.decode_token_ms;
}

double
pu_router_cost_ms (const pu_router_t *r, pu_router_model_t m, guint prompt,
                   guint output, guint batch)
{
  const model_t *t = model_at (r, m);
  double prefill_token_ms;

  if (t == NULL)
    return 0;
  prefill_token_ms = model_prefill_token_ms (r, t) > 0
                         ? model_prefill_token_ms (r, t)
                         : r->options.prefill_token_ms;
  return prefill_token_ms * prompt * t->mean_uncached_share
         + output * model_decode_step_ms (r, t)
               / (batch > 0 ? batch : DEFAULT_BATCH_SIZE);
}

static bool
is_block_cached (const backend_t *s, guint64 block)
{
  return g_hash_table_contains (s->blocks, GSIZE_TO_POINTER (block));
}

/* Returns how many prompt tokens of Q are in the prefix cache of S, by the
   cache events of S and the past requests to it.  Block hashes are chained: a
   cached block means that those before it are cached too, so a binary search
   finds the last cached one.  */
static guint
cached_prompt_tokens (const pu_router_t *r, const request_t *q,
                      const backend_t *s)
{
  guint low = 1;
  guint high = q->n_prefix;

  if (q->n_prefix == 0 || !is_block_cached (s, q->prefix[0]))
    return 0;
  while (low < high)
    {
      guint mid = (low + high + 1) / 2;

      if (is_block_cached (s, q->prefix[mid - 1]))
        {
          low = mid;
        }
      else
        {
          high = mid - 1;
        }
    }
  if (q->prefix_tokens != NULL)
    return MIN (q->prefix_tokens[low - 1], q->prompt_tokens);
  return MIN (low * r->options.block_tokens, q->prompt_tokens);
}

/* Prefill tokens queued on S ahead of a new request: those of this entry and
   an estimate of those of other entries.  */
static guint64
pending_prefill_tokens (const pu_router_t *r, const request_t *q,
                        const backend_t *s, guint64 now)
{
  const model_t *m = model_at (r, q->model);
  const pu_router_others_t *exchanged = backend_others (s, now);
  double others = backend_others_waiting (s, now) * m->mean_prompt_tokens;

  if (exchanged != NULL)
    return delay_pending_tokens (r, q, s) + exchanged->prefill_tokens;
  return delay_pending_tokens (r, q, s) + (guint64)others;
}

static bool
was_tried (const request_t *q, const backend_t *s)
{
  for (guint i = 0; i < q->n_tried; i++)
    {
      if (q->tried[i] == s->serial)
        return true;
    }
  return false;
}

bool
backend_may_run (const request_t *q, const backend_t *b)
{
  if (q->backend_name != NULL && strcmp (q->backend_name, b->name) != 0)
    return false;
  return q->software == NULL
         || (*q->software != '\0' && strcmp (q->software, b->software) == 0);
}

bool
has_copy (const pu_router_t *r, const request_t *q)
{
  const GArray *ready = model_at (r, q->model)->ready;

  for (guint i = 0; i < ready->len; i++)
    {
      if (backend_may_run (
              q,
              backend_at (r, g_array_index (ready, ready_copy_t, i).backend)))
        return true;
    }
  return false;
}

/* Whether S is no choice for Q, whatever its load.  */
static bool
is_excluded (const request_t *q, const backend_t *s)
{
  return was_tried (q, s) || !backend_may_run (q, s);
}

/* Returns whether S accepts Q: S has a free slot, has not just refused a
   request as overloaded, is not ejected and, if Q is a retry, has retry budget
   left.  After an ejection S gets one request at a time, as a probe, until one
   is answered.  */
static bool
accepts_request (const pu_router_t *r, const request_t *q, const backend_t *s,
                 bool ignore_ejection, guint64 now)
{
  if (s->lost || now < s->blocked_until)
    return false;
  if (now < s->back_off_until
      && r->options.test_break != PU_ROUTER_BREAK_BACK_OFF)
    return false;
  if (s->ejections > 0 && s->in_flight > 0)
    return false;
  if (now < s->ejected_until && !ignore_ejection)
    return false;
  if (q->attempt > 0 && !retry_budget_allows (r, s->retry_budget))
    return false;
  if (r->options.test_break == PU_ROUTER_BREAK_BACKEND_LIMIT)
    return true;
  return s->in_flight < backend_slot_limit (s)
         && backend_load (s, now) < MAX (backend_slot_limit (s), 1);
}

/* Returns whether the time between tokens stays within the service's target
   with one more request on S.  */
static bool
meets_step_target (pu_router_t *r, const request_t *q, const backend_t *s,
                   guint load, guint64 now)
{
  guint target = service_at (r, q->service)->per_token_ms;

  if (target == 0 || load == 0)
    return true;
  return backend_step_ms (r, s, model_at (r, q->model), load + 1, now)
         <= target;
}

/* Returns whether the prefill work queued on S is within its adaptive window,
   a share of the service's first-token target.  */
static bool
fits_window (pu_router_t *r, const request_t *q, const backend_t *s,
             const copy_t *c, guint64 pending, guint64 now)
{
  guint target = delay_window_target (r, q, s, now);
  double token_ms = backend_others (s, now) != NULL
                        ? backend_slowness (r, s, now)
                              * speed_token_ms (r, model_at (r, q->model))
                        : linear_fit_slope (copy_first_token_fit (r, c));
  double queued_ms = token_ms * (double)pending;

  if (target == 0 || pending == 0)
    return true;
  return queued_ms * 100
         <= s->prefill_window * target * r->options.prefill_window_pct;
}

static double
version_cost_ms (const pu_router_t *r, const request_t *q, const copy_t *c)
{
  const model_t *m = model_at (r, q->model);
  bool preferred;

  if (!m->preferred)
    return 0;
  preferred = strcmp (c->version, m->preferred) == 0;
  return preferred == q->wants_preferred ? 0 : r->options.version_cost_ms;
}

/* Rendezvous hashing weight of B for FINGERPRINT, the same at each entry.  */
static guint64
rendezvous_weight (guint64 fingerprint, const backend_t *b)
{
  return XXH64 (&fingerprint, sizeof fingerprint, b->name_hash);
}

/* Returns the network cost, in milliseconds, of the nearest copy that Q has
   not tried; the cost is 0 for a copy in the entry's zone.  */
static double
nearest_cost_ms (const pu_router_t *r, const request_t *q)
{
  const GArray *ready = model_at (r, q->model)->ready;
  double nearest = G_MAXDOUBLE;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *b
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (!is_excluded (q, b))
        nearest = MIN (nearest, b->network_cost_ms);
    }
  return nearest;
}

/* Returns the copy with the highest rendezvous weight for Q among those that Q
   has not tried and that have a network cost of at most FURTHEST_MS, or
   NULL.  */
static const ready_copy_t *
preferred_copy (const pu_router_t *r, const request_t *q, double furthest_ms)
{
  const GArray *ready = model_at (r, q->model)->ready;
  const ready_copy_t *preferred = NULL;
  guint64 highest = 0;

  for (guint i = 0; i < ready->len; i++)
    {
      const ready_copy_t *e = &g_array_index (ready, ready_copy_t, i);
      const backend_t *b = backend_at (r, e->backend);
      guint64 p = rendezvous_weight (q->fingerprint, b);

      if (p < highest || is_excluded (q, b)
          || b->network_cost_ms > furthest_ms)
        continue;
      highest = p;
      preferred = e;
    }
  return preferred;
}

/* Returns how many prompt tokens of Q are expected to be in the prefix cache
   of S.  All entries of a zone send prompts with the same fingerprint to the
   same copy in their zone, so that copy has the shared prefix cached,
   whichever of the entries sent the earlier prompts.  Each zone has such a
   copy of its own, because with a single copy for all zones two thirds of the
   prompts go to another zone.  One copy for each zone serves as many requests
   with 15 % fewer bytes sent between zones.  */
static guint
expected_cached_tokens (const pu_router_t *r, const request_t *q,
                        const backend_t *s)
{
  guint cached = cached_prompt_tokens (r, q, s);
  const ready_copy_t *preferred;

  if (q->fingerprint == 0 || q->shared_tokens <= cached)
    return cached;
  preferred = preferred_copy (r, q, nearest_cost_ms (r, q));
  if (preferred == NULL || backend_at (r, preferred->backend) != s)
    return cached;
  return q->shared_tokens;
}

/* Returns the expected time to the first token on C of S with TOKENS of
   prompts queued there, without the network.  */
static double
first_token_ms (pu_router_t *r, const backend_t *s, const copy_t *c,
                double tokens, guint64 now)
{
  if (backend_others (s, now) != NULL)
    {
      return backend_slowness (r, s, now)
             * speed_first_token_ms (r, model_at (r, c->model), tokens);
    }
  return linear_fit_predict (copy_first_token_fit (r, c), tokens);
}

static bool
evaluate_copy (pu_router_t *r, const request_t *q, pu_router_backend_t b,
               guint copy, bool ignore_ejection, guint64 now, candidate_t *out)
{
  const backend_t *s = backend_at (r, b);
  const copy_t *c = &g_array_index (s->copies, copy_t, copy);
  const linear_fit_t *first = copy_first_token_fit (r, c);
  guint load;
  bool serve_late = service_at (r, q->service)->serve_late;
  double stretch = delay_stretch (r, q);
  guint64 pending;
  double margin;

  if (is_excluded (q, s) || !accepts_request (r, q, s, ignore_ejection, now))
    return false;
  load = backend_load (s, now);
  pending = pending_prefill_tokens (r, q, s, now);
  if (serve_late && delay_is_held (r, q, s)
      && !fits_window (r, q, s, c, (guint64)(stretch * (double)pending), now))
    return false;
  if (!serve_late
      && (!meets_step_target (r, q, s, load, now)
          || !fits_window (r, q, s, c, (guint64)(stretch * (double)pending),
                           now)))
    return false;
  out->backend = b;
  out->copy = copy;
  out->cached = expected_cached_tokens (r, q, s);
  out->prefill_tokens = pending + q->prompt_tokens - out->cached;
  out->predicted_ms
      = first_token_ms (r, s, c, stretch * (double)out->prefill_tokens, now)
        + s->network_cost_ms;
  out->score = out->predicted_ms + version_cost_ms (r, q, c)
               + load * LOAD_TIEBREAK_MS
               + backend_step_ms (r, s, model_at (r, q->model), load + 1, now)
               + speed_risk_ms (r, q, s, out, now);
  /* The errors of the estimate are symmetric: without the margin, half of the
     requests predicted to be just in time would be late.  An idle backend
     server takes Q in any case, as waiting would gain nothing.  */
  if (serve_late)
    return true;
  margin = MARGIN_DEVIATIONS * first->deviation;
  return load == 0
         || (double)now + out->predicted_ms + margin
                <= (double)q->first_token_due;
}

/* Returns whether all copies that Q has not tried are on ejected backend
   servers.  */
static bool
all_untried_ejected (const pu_router_t *r, const request_t *q, guint64 now)
{
  const GArray *ready = model_at (r, q->model)->ready;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *s
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (!is_excluded (q, s) && !s->lost && now >= s->ejected_until)
        return false;
    }
  return true;
}

guint64
earliest_start (const pu_router_t *r, const request_t *q)
{
  const GArray *ready = model_at (r, q->model)->ready;
  guint64 earliest = G_MAXUINT64;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *s
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (!is_excluded (q, s))
        earliest = MIN (earliest, s->back_off_until);
    }
  return earliest == G_MAXUINT64 ? 0 : earliest;
}

retry_copies_t
retry_copies (const pu_router_t *r, const request_t *q)
{
  const GArray *ready = model_at (r, q->model)->ready;
  retry_copies_t left = RETRY_COPIES_NONE;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *s
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (is_excluded (q, s))
        continue;
      if (retry_budget_allows (r, s->retry_budget))
        return RETRY_COPIES_AVAILABLE;
      left = RETRY_COPIES_NO_BUDGET;
    }
  return left;
}

bool
evaluate_candidate (pu_router_t *r, const request_t *q, pu_router_backend_t b,
                    guint copy, guint64 now, candidate_t *c)
{
  bool ejected = now < backend_at (r, b)->ejected_until;

  /* An ejection is ignored when no other copy is left to try: ejections must
     not make a model unreachable.  */
  if (ejected && !all_untried_ejected (r, q, now))
    return false;
  return evaluate_copy (r, q, b, copy, ejected, now, c);
}

/* Adds the copy E to the candidates in r->found if it can take Q.  */
static void
add_candidate (pu_router_t *r, const request_t *q, const ready_copy_t *e,
               bool ignore_ejection, guint64 now)
{
  candidate_t c;

  if (evaluate_copy (r, q, e->backend, e->copy, ignore_ejection, now, &c))
    g_array_append_val (r->found, c);
}

static const candidate_t *
lowest_score (const GArray *found)
{
  const candidate_t *best = &g_array_index (found, candidate_t, 0);

  for (guint i = 1; i < found->len; i++)
    {
      const candidate_t *c = &g_array_index (found, candidate_t, i);

      if (c->score < best->score)
        best = c;
    }
  return best;
}

/* Selects from r->found the candidate with the highest rendezvous weight for Q
   among those that score nearly as well as the best one (score_tolerance_pct)
   and have no fewer prompt tokens cached.  Duplicates of a request thereby go
   to the same copy, even through entries that share no state.  With the
   numbers of other entries a request without a fingerprint gets a random one
   of these copies: all entries see the same numbers, and would send their
   requests to the same best copy until the next ones.  */
static bool
select_candidate (const pu_router_t *r, const request_t *q, guint64 now,
                  candidate_t *best)
{
  const GArray *found = r->found;
  const candidate_t *lowest;
  guint64 highest = 0;
  guint64 spread = q->fingerprint;
  double limit;

  if (found->len == 0)
    return false;
  lowest = lowest_score (found);
  *best = *lowest;
  if (found->len == 1)
    return true;
  limit = lowest->score
          + service_at (r, q->service)->first_token_ms
                * (double)r->options.score_tolerance_pct / 100;
  if (backend_others (backend_at (r, lowest->backend), now) != NULL)
    {
      limit = MIN (limit, lowest->score + NEARLY_EQUAL_MS);
      if (spread == 0)
        spread = 1 + (guint64)g_rand_int (r->rand);
    }
  if (spread == 0)
    return true;
  for (guint i = 0; i < found->len; i++)
    {
      const candidate_t *c = &g_array_index (found, candidate_t, i);
      guint64 p;

      if (c->score > limit || c->cached < lowest->cached)
        continue;
      p = rendezvous_weight (spread, backend_at (r, c->backend));
      if (p < highest)
        continue;
      highest = p;
      *best = *c;
    }
  return true;
}

static bool
choose_among_all (pu_router_t *r, const request_t *q, bool ignore_ejection,
                  guint64 now, candidate_t *best)
{
  const GArray *ready = model_at (r, q->model)->ready;
  guint start = ready->len > 1 ? g_rand_int (r->rand) % ready->len : 0;

  g_array_set_size (r->found, 0);
  for (guint i = 0; i < ready->len; i++)
    {
      add_candidate (
          r, q, &g_array_index (ready, ready_copy_t, (start + i) % ready->len),
          ignore_ejection, now);
    }
  return select_candidate (r, q, now, best);
}

/* Evaluates random samples of the copies instead of all, in up to
   SAMPLE_ROUNDS_MAX rounds until a sampled copy can take Q.  The copies that
   Q's fingerprint prefers are always evaluated.  */
static bool
choose_among_sample (pu_router_t *r, const request_t *q, guint64 now,
                     candidate_t *best)
{
  const GArray *ready = model_at (r, q->model)->ready;
  const ready_copy_t *preferred = NULL;
  const ready_copy_t *nearest_preferred = NULL;

  if (q->fingerprint != 0)
    preferred = preferred_copy (r, q, G_MAXDOUBLE);
  if (q->fingerprint != 0 && q->shared_tokens > 0)
    nearest_preferred = preferred_copy (r, q, nearest_cost_ms (r, q));
  g_array_set_size (r->found, 0);
  if (preferred != NULL)
    add_candidate (r, q, preferred, false, now);
  if (nearest_preferred != NULL && nearest_preferred != preferred)
    add_candidate (r, q, nearest_preferred, false, now);
  for (guint round = 0; round < SAMPLE_ROUNDS_MAX; round++)
    {
      for (guint i = 0; i < r->options.candidates; i++)
        {
          guint at = g_rand_int (r->rand) % ready->len;

          add_candidate (r, q, &g_array_index (ready, ready_copy_t, at), false,
                         now);
        }
      if (r->found->len > 0)
        break;
    }
  return select_candidate (r, q, now, best);
}

bool
choose_copy (pu_router_t *r, const request_t *q, guint64 now, candidate_t *c)
{
  const GArray *ready = model_at (r, q->model)->ready;

  if (ready->len == 0)
    return false;
  /* A sample could miss the few copies that may run the request.  */
  if (ready->len > r->options.candidates && !request_is_bound (q))
    {
      if (choose_among_sample (r, q, now, c))
        return true;
    }
  else if (choose_among_all (r, q, false, now, c))
    return true;
  return all_untried_ejected (r, q, now)
         && choose_among_all (r, q, true, now, c);
}
