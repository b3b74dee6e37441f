#include "routing/router_int.h"

#include <string.h>
#include <xxhash.h>

/* Tokens taken for a model without any answer yet.  */
#define OUTPUT_UNKNOWN 64
/* Requests in a batch of an engine that tells none.  */
#define BATCH_UNKNOWN 64
#define LOAD_TIE_MS 0.01 /* breaks ties towards the less loaded */
#define DEVIATIONS 2     /* of the estimate, kept free before the due time */
#define SAMPLE_ROUNDS 3  /* times `candidates` copies are sampled */

guint
expected_output_tokens (const pu_router_t *r, const request_t *q)
{
  const model_t *m = model_at (r, q->model);
  double mean
      = m->mean_output_tokens > 0 ? m->mean_output_tokens : OUTPUT_UNKNOWN;

  return MIN (q->max_tokens, (guint)mean);
}

/* Of a prompt token on an engine with nothing else to do; 0: not known.  */
static double
prefill_token_ms (const pu_router_t *r, const model_t *m)
{
  return m->prefill_token_ms > 0 ? m->prefill_token_ms : r->prefill_token_ms;
}

/* The line was learnt in whatever crowd there was, and would call a request
   hopeless that an idle copy answers at once.  */
double
unloaded_first_token_ms (const pu_router_t *r, const request_t *q)
{
  const model_t *m = model_at (r, q->model);
  double crowded = linear_fit_predict (&m->first, q->prompt_tokens);
  double alone = prefill_token_ms (r, m) * q->prompt_tokens
                 + linear_fit_predict (&m->step, 1);

  return prefill_token_ms (r, m) > 0 ? MIN (crowded, alone) : crowded;
}

/* Between two tokens of an undisturbed stream; the prior where no stream has
   told yet.  */
static double
decode_step_ms (const pu_router_t *r, const model_t *m)
{
  if (m->decode_step_ms > 0)
    return m->decode_step_ms;
  return r->decode_step_ms > 0 ? r->decode_step_ms : r->options.decode_ms;
}

double
pu_router_cost_ms (const pu_router_t *r, pu_router_model_t m, guint prompt,
                   guint output, guint batch)
{
  const model_t *t = model_at (r, m);
  double each;

  if (t == NULL)
    return 0;
  each = prefill_token_ms (r, t) > 0 ? prefill_token_ms (r, t)
                                     : r->options.prefill_ms;
  return each * prompt * t->mean_uncached_share
         + output * decode_step_ms (r, t)
               / (batch > 0 ? batch : BATCH_UNKNOWN);
}

static bool
has_block (const backend_t *s, guint64 block)
{
  return g_hash_table_contains (s->blocks, GSIZE_TO_POINTER (block));
}

/* The tokens of Q's prompt believed cached on S.  Blocks are chained, so a
   cached block means that those before it are cached too.  */
static guint
cached_tokens (const pu_router_t *r, const request_t *q, const backend_t *s)
{
  guint low = 1;
  guint high = q->n_prefix;

  if (q->n_prefix == 0 || !has_block (s, q->prefix[0]))
    return 0;
  while (low < high)
    {
      guint mid = (low + high + 1) / 2;

      if (has_block (s, q->prefix[mid - 1]))
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

/* Prefill tokens that S has to work off before a new request's.  */
static guint64
pending_tokens (const backend_t *s, const model_t *m, guint64 now)
{
  double others = backend_others_waiting (s, now) * m->mean_prompt_tokens;

  return s->pending_tokens + (guint64)others;
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

/* Whether S may be used at all: neither full, nor ejected, nor short of
   retry budget.  A backend server that comes back from an ejection gets one
   request as a probe.  */
static bool
is_open (const pu_router_t *r, const request_t *q, const backend_t *s,
         bool ignore_ejection, guint64 now)
{
  if (now < s->blocked_until)
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

/* Whether one more request keeps the time between tokens on target.  */
static bool
step_allows (const pu_router_t *r, const request_t *q, const backend_t *s,
             guint load)
{
  guint target = service_at (r, q->service)->per_token_ms;

  if (target == 0 || load == 0)
    return true;
  return backend_step_ms (r, s, model_at (r, q->model), load + 1) <= target;
}

/* Whether the work sent ahead to S leaves room for more.  */
static bool
window_allows (const pu_router_t *r, const request_t *q, const backend_t *s,
               const copy_t *c, guint64 pending)
{
  guint target = service_at (r, q->service)->first_token_ms;
  double ahead_ms
      = linear_fit_slope (copy_first_token_fit (r, c)) * (double)pending;

  if (target == 0 || pending == 0)
    return true;
  return ahead_ms * 100 <= s->window * target * r->options.window_pct;
}

static double
version_cost (const pu_router_t *r, const request_t *q, const copy_t *c)
{
  const model_t *m = model_at (r, q->model);
  bool preferred;

  if (!m->preferred)
    return 0;
  preferred = strcmp (c->version, m->preferred) == 0;
  return preferred == q->wants_preferred ? 0 : r->options.version_cost_ms;
}

/* How much FINGERPRINT prefers B: the same number at each entry.  */
static guint64
preference (guint64 fingerprint, const backend_t *b)
{
  return XXH64 (&fingerprint, sizeof fingerprint, b->name_hash);
}

/* The way to the nearest copy that Q has not tried: 0 in the own zone.  */
static double
nearest_ms (const pu_router_t *r, const request_t *q)
{
  const GArray *ready = model_at (r, q->model)->ready;
  double nearest = G_MAXDOUBLE;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *b
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (!was_tried (q, b))
        nearest = MIN (nearest, b->network_cost_ms);
    }
  return nearest;
}

/* Of the copies no further away than FURTHEST_MS, the one that Q's fingerprint
   prefers.  */
static const ready_copy_t *
home_of (const pu_router_t *r, const request_t *q, double furthest_ms)
{
  const GArray *ready = model_at (r, q->model)->ready;
  const ready_copy_t *home = NULL;
  guint64 most = 0;

  for (guint i = 0; i < ready->len; i++)
    {
      const ready_copy_t *e = &g_array_index (ready, ready_copy_t, i);
      const backend_t *b = backend_at (r, e->backend);
      guint64 p = preference (q->fingerprint, b);

      if (p < most || was_tried (q, b) || b->network_cost_ms > furthest_ms)
        continue;
      most = p;
      home = e;
    }
  return home;
}

/* The tokens of Q's prompt that S need not read.  All entries of a zone send
   what begins alike to the copy of their zone that its fingerprint prefers, so
   that one has read the shared part, whichever entry sent it there.  With one
   such copy for all zones, two thirds of all prompts went to another zone: 15
   in 100 of the bytes between zones are saved, and as many are served.  */
static guint
tokens_saved (const pu_router_t *r, const request_t *q, const backend_t *s)
{
  guint known = cached_tokens (r, q, s);
  const ready_copy_t *home;

  if (q->fingerprint == 0 || q->shared_tokens <= known)
    return known;
  home = home_of (r, q, nearest_ms (r, q));
  if (home == NULL || backend_at (r, home->backend) != s)
    return known;
  return q->shared_tokens;
}

static bool
evaluate (pu_router_t *r, const request_t *q, pu_router_backend_t b,
          guint copy, bool ignore_ejection, guint64 now, candidate_t *out)
{
  const backend_t *s = backend_at (r, b);
  const copy_t *c = &g_array_index (s->copies, copy_t, copy);
  const model_t *m = model_at (r, q->model);
  const linear_fit_t *first = copy_first_token_fit (r, c);
  guint load;
  bool eager = service_at (r, q->service)->serve_late;
  guint64 pending;
  double margin;

  if (was_tried (q, s) || !is_open (r, q, s, ignore_ejection, now))
    return false;
  load = backend_load (s, now);
  pending = pending_tokens (s, m, now);
  if (!eager
      && (!step_allows (r, q, s, load)
          || !window_allows (r, q, s, c, pending)))
    return false;
  out->backend = b;
  out->copy = copy;
  out->cached = tokens_saved (r, q, s);
  out->work = pending + q->prompt_tokens - out->cached;
  out->first_ms
      = linear_fit_predict (first, (double)out->work) + s->network_cost_ms;
  out->score = out->first_ms + version_cost (r, q, c) + load * LOAD_TIE_MS
               + backend_step_ms (r, s, m, load + 1);
  /* Of equal errors up and down, half would be late without the margin.
     An idle one takes what would otherwise wait for nothing better.  */
  if (eager)
    return true;
  margin = DEVIATIONS * first->deviation;
  return load == 0 || (double)now + out->first_ms + margin <= (double)q->due;
}

/* Whether all copies that Q has not tried are on ejected backend servers.  */
static bool
all_ejected (const pu_router_t *r, const request_t *q, guint64 now)
{
  const GArray *ready = model_at (r, q->model)->ready;

  for (guint i = 0; i < ready->len; i++)
    {
      const backend_t *s
          = backend_at (r, g_array_index (ready, ready_copy_t, i).backend);

      if (!was_tried (q, s) && now >= s->ejected_until)
        return false;
    }
  return true;
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

      if (was_tried (q, s))
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

  /* An ejection may not make a model unreachable.  */
  if (ejected && !all_ejected (r, q, now))
    return false;
  return evaluate (r, q, b, copy, ejected, now, c);
}

/* Notes B as one of R's found when it can take Q.  */
static void
consider (pu_router_t *r, const request_t *q, const ready_copy_t *e,
          bool ignore_ejection, guint64 now)
{
  candidate_t c;

  if (evaluate (r, q, e->backend, e->copy, ignore_ejection, now, &c))
    g_array_append_val (r->found, c);
}

static const candidate_t *
least_score (const GArray *found)
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

/* Of those found that are nearly as good as the best, the one that Q's
   fingerprint prefers.  Rendezvous hashing: requests that are the same choose
   the same, though they come through entries that know nothing of each
   other.  */
static bool
best_found (const pu_router_t *r, const request_t *q, candidate_t *best)
{
  const GArray *found = r->found;
  const candidate_t *least;
  guint64 most = 0;
  double limit;

  if (found->len == 0)
    return false;
  least = least_score (found);
  *best = *least;
  if (q->fingerprint == 0 || found->len == 1)
    return true;
  limit = least->score
          + service_at (r, q->service)->first_token_ms
                * (double)r->options.score_tolerance_pct / 100;
  for (guint i = 0; i < found->len; i++)
    {
      const candidate_t *c = &g_array_index (found, candidate_t, i);
      guint64 p;

      if (c->score > limit || c->cached < least->cached)
        continue;
      p = preference (q->fingerprint, backend_at (r, c->backend));
      if (p < most)
        continue;
      most = p;
      *best = *c;
    }
  return true;
}

static bool
choose_from_all (pu_router_t *r, const request_t *q, bool ignore_ejection,
                 guint64 now, candidate_t *best)
{
  const GArray *ready = model_at (r, q->model)->ready;
  guint start = ready->len > 1 ? g_rand_int (r->rand) % ready->len : 0;

  g_array_set_size (r->found, 0);
  for (guint i = 0; i < ready->len; i++)
    {
      consider (r, q,
                &g_array_index (ready, ready_copy_t, (start + i) % ready->len),
                ignore_ejection, now);
    }
  return best_found (r, q, best);
}

/* With many copies a few are sampled, and a few more when none of them may
   take the request.  */
static bool
choose_from_sample (pu_router_t *r, const request_t *q, guint64 now,
                    candidate_t *best)
{
  const GArray *ready = model_at (r, q->model)->ready;
  const ready_copy_t *home = NULL;
  const ready_copy_t *near = NULL;

  if (q->fingerprint != 0)
    home = home_of (r, q, G_MAXDOUBLE);
  if (q->fingerprint != 0 && q->shared_tokens > 0)
    near = home_of (r, q, nearest_ms (r, q));
  g_array_set_size (r->found, 0);
  if (home != NULL)
    consider (r, q, home, false, now);
  if (near != NULL && near != home)
    consider (r, q, near, false, now);
  for (guint round = 0; round < SAMPLE_ROUNDS; round++)
    {
      for (guint i = 0; i < r->options.candidates; i++)
        {
          guint at = g_rand_int (r->rand) % ready->len;

          consider (r, q, &g_array_index (ready, ready_copy_t, at), false,
                    now);
        }
      if (r->found->len > 0)
        break;
    }
  return best_found (r, q, best);
}

bool
choose_copy (pu_router_t *r, const request_t *q, guint64 now, candidate_t *c)
{
  const GArray *ready = model_at (r, q->model)->ready;

  if (ready->len == 0)
    return false;
  if (ready->len > r->options.candidates)
    {
      if (choose_from_sample (r, q, now, c))
        return true;
    }
  else if (choose_from_all (r, q, false, now, c))
    return true;
  return all_ejected (r, q, now) && choose_from_all (r, q, true, now, c);
}
