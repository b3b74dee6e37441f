#include "routing/router_int.h"

#define BUSY_MIN_MS 200 /* a drain rate is known after waiting this long */
#define DRAINED_MIN 4   /* and after this many starts */
#define LOOK_MAX 4      /* requests of one flow looked at for one slot */

/* What may be on target first, higher priority, then the earlier due time,
 * then the older.  */
static gint
compare_place (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = a;
  const request_t *y = b;

  (void)data;
  if (x->late != y->late)
    return x->late ? 1 : -1;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  if (x->offered_at != y->offered_at)
    return x->offered_at < y->offered_at ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

static gint
compare_expiry (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = a;
  const request_t *y = b;

  (void)data;
  if (acts_at (x) != acts_at (y))
    return acts_at (x) < acts_at (y) ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

static flow_t *
find_flow (model_t *m, pu_router_service_t s)
{
  for (guint i = 0; i < m->flows->len; i++)
    {
      flow_t *f = &g_array_index (m->flows, flow_t, i);

      if (f->service == s)
        return f;
    }
  return NULL;
}

static flow_t *
flow_of (pu_router_t *r, const request_t *q)
{
  model_t *m = model_at (r, q->model);
  flow_t *f = find_flow (m, q->service);
  flow_t fresh = { q->service, NULL };

  if (f)
    return f;
  fresh.queue = g_sequence_new (NULL);
  g_array_append_val (m->flows, fresh);
  g_array_append_val (service_at (r, q->service)->models, q->model);
  return find_flow (m, q->service);
}

void
queue_add (pu_router_t *r, request_t *q, guint64 now)
{
  model_t *m = model_at (r, q->model);
  flow_t *f = flow_of (r, q);

  q->state = REQUEST_WAITING;
  q->place = g_sequence_insert_sorted (f->queue, q, compare_place, NULL);
  q->expiry = g_sequence_insert_sorted (r->expiries, q, compare_expiry, NULL);
  service_at (r, q->service)->waiting++;
  if (m->waiting++ > 0)
    return;
  m->busy_since = now;
  m->drained = 0;
}

void
queue_remove (pu_router_t *r, request_t *q)
{
  model_t *m = model_at (r, q->model);

  g_sequence_remove (q->place);
  g_sequence_remove (q->expiry);
  q->place = NULL;
  q->expiry = NULL;
  service_at (r, q->service)->waiting--;
  m->waiting--;
}

void
queue_drained (model_t *m, guint64 now)
{
  guint64 busy = now - m->busy_since;

  m->drained++;
  if (busy < BUSY_MIN_MS || m->drained < DRAINED_MIN)
    return;
  m->drain_rate = m->drained / (double)busy;
}

double
queue_wait_ms (const pu_router_t *r, const request_t *q)
{
  model_t *m = model_at (r, q->model);
  const flow_t *f = find_flow (m, q->service);
  GSequenceIter *at;

  if (m->drain_rate <= 0 || !f || m->waiting == 0)
    return 0;
  at = g_sequence_search (f->queue, (gpointer)q, compare_place, NULL);
  return g_sequence_iter_get_position (at) / m->drain_rate;
}

bool
queue_displace (pu_router_t *r, const request_t *q)
{
  const flow_t *f = find_flow (model_at (r, q->model), q->service);
  request_t *last;
  pu_ticket_t t;

  if (!f || g_sequence_is_empty (f->queue))
    return false;
  last = g_sequence_get (
      g_sequence_iter_prev (g_sequence_get_end_iter (f->queue)));
  if (last->priority >= q->priority)
    return false;
  queue_remove (r, last);
  t = ticket_of (last);
  g_array_append_val (r->displaced, t);
  return true;
}

/* Fair shares on one backend server: start-time fair queueing.  */

static double *
finish_tag (backend_t *s, pu_router_service_t service)
{
  if (service >= s->tags->len)
    g_array_set_size (s->tags, service + 1);
  return &g_array_index (s->tags, double, service);
}

static double
start_tag (backend_t *s, pu_router_service_t service)
{
  return MAX (*finish_tag (s, service), s->virtual_time);
}

void
queue_charge (pu_router_t *r, const request_t *q, const candidate_t *c)
{
  backend_t *s = backend_at (r, c->backend);
  const service_t *service = service_at (r, q->service);
  const model_t *m = model_at (r, q->model);
  const copy_t *copy = &g_array_index (s->copies, copy_t, c->copy);
  guint own = q->prompt_tokens - c->cached;
  double step = backend_step_ms (r, s, m, s->in_flight + 1);
  double cost = linear_fit_slope (copy_first_token_fit (r, copy)) * own
                + step * expected_output_tokens (r, q) / (s->in_flight + 1);

  s->virtual_time = start_tag (s, q->service);
  *finish_tag (s, q->service)
      = s->virtual_time + (cost + 1) / service->importance;
}

/* The best request of F that may start on B.  */
static request_t *
pick_from_flow (pu_router_t *r, const flow_t *f, pu_router_backend_t b,
                guint copy, guint64 now, candidate_t *c)
{
  GSequenceIter *at = g_sequence_get_begin_iter (f->queue);

  for (guint i = 0; i < LOOK_MAX && !g_sequence_iter_is_end (at); i++)
    {
      request_t *q = g_sequence_get (at);

      if (evaluate_candidate (r, q, b, copy, now, c))
        return q;
      at = g_sequence_iter_next (at);
    }
  return NULL;
}

static bool
precedes (const pu_router_t *r, backend_t *s, pu_router_service_t a,
          pu_router_service_t b)
{
  if (r->options.test_break == PU_ROUTER_BREAK_FAIRNESS)
    return a < b;
  return start_tag (s, a) < start_tag (s, b);
}

/* Whether A goes before B, both of them able to start on S.  */
static bool
goes_first (const pu_router_t *r, backend_t *s, const request_t *a,
            const request_t *b)
{
  if (!b)
    return true;
  if (a->service != b->service)
    return precedes (r, s, a->service, b->service);
  return compare_place (a, b, NULL) < 0;
}

request_t *
queue_pick (pu_router_t *r, pu_router_backend_t b, guint64 now, candidate_t *c)
{
  backend_t *s = backend_at (r, b);
  request_t *best = NULL;

  for (guint i = 0; i < s->copies->len; i++)
    {
      const copy_t *copy = &g_array_index (s->copies, copy_t, i);
      model_t *m = model_at (r, copy->model);

      if (m->waiting == 0 || copy->phase != PU_ROUTER_COPY_READY)
        continue;
      for (guint j = 0; j < m->flows->len; j++)
        {
          const flow_t *f = &g_array_index (m->flows, flow_t, j);
          candidate_t found;
          request_t *q;

          if (!service_may_start (r, service_at (r, f->service)))
            continue;
          q = pick_from_flow (r, f, b, i, now, &found);
          if (!q || !goes_first (r, s, q, best))
            continue;
          best = q;
          *c = found;
        }
    }
  return best;
}
