#include "routing/router_int.h"

/* A drain rate is computed when requests of a model have waited without a
   break for at least DRAIN_RATE_BUSY_MIN_MS milliseconds and at least
   DRAIN_RATE_STARTS_MIN of them have been started.  */
#define DRAIN_RATE_BUSY_MIN_MS 200
#define DRAIN_RATE_STARTS_MIN 4
/* Most requests of one flow (the waiting requests of one service for one
   model) for which pick_from_flow checks whether a copy can start them.  */
#define FLOW_SCAN_MAX 4

/* Orders the requests of a flow: requests that can meet their target before
   late ones, then higher priority, then earlier due time, then earlier
   offer; with cost_of_delay as delay_cost.h has it.  */
static gint
compare_queue_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = a;
  const request_t *y = b;

  (void)data;
  if (x->cost_order != y->cost_order)
    return x->cost_order ? -1 : 1;
  if (x->cost_order)
    return pu_delay_compare (&x->delay, &y->delay);
  if (x->late != y->late)
    return x->late ? 1 : -1;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  if (x->first_token_due != y->first_token_due)
    return x->first_token_due < y->first_token_due ? -1 : 1;
  if (x->offered_at != y->offered_at)
    return x->offered_at < y->offered_at ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

static gint
compare_timeout (gconstpointer a, gconstpointer b, gpointer data)
{
  const request_t *x = a;
  const request_t *y = b;

  (void)data;
  if (queue_timeout_at (x) != queue_timeout_at (y))
    return queue_timeout_at (x) < queue_timeout_at (y) ? -1 : 1;
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
  q->delay.displaced = false;
  q->queue_iter
      = g_sequence_insert_sorted (f->queue, q, compare_queue_order, NULL);
  q->timeout_iter = g_sequence_insert_sorted (r->waiting_by_timeout, q,
                                              compare_timeout, NULL);
  service_at (r, q->service)->waiting++;
  m->waiting_bound += request_is_bound (q);
  delay_queue_changed (r, q, 1);
  if (m->waiting++ > 0)
    return;
  m->busy_since = now;
  m->starts = 0;
}

void
queue_remove (pu_router_t *r, request_t *q)
{
  model_t *m = model_at (r, q->model);

  g_sequence_remove (q->queue_iter);
  g_sequence_remove (q->timeout_iter);
  q->queue_iter = NULL;
  q->timeout_iter = NULL;
  service_at (r, q->service)->waiting--;
  m->waiting--;
  m->waiting_bound -= request_is_bound (q);
  delay_queue_changed (r, q, -1);
}

void
queue_count_start (model_t *m, guint64 now)
{
  guint64 busy = now - m->busy_since;

  m->starts++;
  if (busy < DRAIN_RATE_BUSY_MIN_MS || m->starts < DRAIN_RATE_STARTS_MIN)
    return;
  m->drain_per_ms = m->starts / (double)busy;
}

double
queue_wait_ms (const pu_router_t *r, const request_t *q, guint64 now)
{
  model_t *m = model_at (r, q->model);
  const flow_t *f = find_flow (m, q->service);
  double drain = m->drain_per_ms;
  GSequenceIter *at;

  if (q->by_cost && !(r->options.test_delay_off & PU_DELAY_OFF_REFUSE))
    return delay_wait_ms (r, q);
  /* The rate since the queue began to fill is too old in a long overload.  */
  if (q->backend_name != NULL && pu_overload_lasts (&m->overload, now))
    drain = pu_overload_starts_per_ms (&m->overload, now);
  if (drain <= 0 || !f || m->waiting == 0)
    return 0;
  at = g_sequence_search (f->queue, (gpointer)q, compare_queue_order, NULL);
  return g_sequence_iter_get_position (at) / drain;
}

/* Returns whether LAST, the last request of a flow, makes room for Q.  */
static bool
gives_way (const request_t *last, const request_t *q)
{
  if (!last->cost_order || !q->cost_order || last->priority != q->priority)
    return last->priority < q->priority;
  return pu_delay_class (&last->delay) > pu_delay_class (&q->delay);
}

bool
queue_evict (pu_router_t *r, const request_t *q)
{
  const flow_t *f = find_flow (model_at (r, q->model), q->service);
  request_t *last;
  pu_ticket_t t;

  if (!f || g_sequence_is_empty (f->queue))
    return false;
  last = g_sequence_get (
      g_sequence_iter_prev (g_sequence_get_end_iter (f->queue)));
  if (!gives_way (last, q))
    return false;
  queue_remove (r, last);
  t = ticket_of (last);
  g_array_append_val (r->evicted, t);
  return true;
}

/* Start-time fair queueing of the services on one backend server.  */

static double *
finish_tag (backend_t *s, pu_router_service_t service)
{
  if (service >= s->finish_tags->len)
    g_array_set_size (s->finish_tags, service + 1);
  return &g_array_index (s->finish_tags, double, service);
}

static double
start_tag (backend_t *s, pu_router_service_t service)
{
  return MAX (*finish_tag (s, service), s->virtual_time);
}

void
queue_charge (pu_router_t *r, const request_t *q, const candidate_t *c,
              guint64 now)
{
  backend_t *s = backend_at (r, c->backend);
  const service_t *service = service_at (r, q->service);
  const model_t *m = model_at (r, q->model);
  const copy_t *copy = &g_array_index (s->copies, copy_t, c->copy);
  guint own = q->prompt_tokens - c->cached;
  double step = backend_step_ms (r, s, m, s->in_flight + 1, now);
  double cost = linear_fit_slope (copy_first_token_fit (r, copy)) * own
                + step * expected_output_tokens (r, q) / (s->in_flight + 1);

  if (q->by_cost && !(r->options.test_delay_off & PU_DELAY_OFF_SHARES))
    cost = q->delay.work_ms;
  s->virtual_time = start_tag (s, q->service);
  *finish_tag (s, q->service)
      = s->virtual_time + (cost + 1) / service->importance;
}

/* Returns the first request, in scheduling order, among the first
   FLOW_SCAN_MAX of F that may start on B; NULL if none of them may.  */
static request_t *
pick_from_flow (pu_router_t *r, const flow_t *f, pu_router_backend_t b,
                guint copy, guint64 now, candidate_t *c)
{
  const backend_t *s = backend_at (r, b);
  GSequenceIter *at = g_sequence_get_begin_iter (f->queue);
  guint scanned = 0;

  while (scanned < FLOW_SCAN_MAX && !g_sequence_iter_is_end (at))
    {
      request_t *q = g_sequence_get (at);

      /* Those that wait for another backend server or software version don't
         hold up the others.  */
      scanned += backend_may_run (q, s);
      if (evaluate_candidate (r, q, b, copy, now, c))
        return q;
      at = g_sequence_iter_next (at);
    }
  return NULL;
}

static bool
service_precedes (const pu_router_t *r, backend_t *s, pu_router_service_t a,
                  pu_router_service_t b)
{
  if (r->options.test_break == PU_ROUTER_BREAK_FAIRNESS)
    return a < b;
  return start_tag (s, a) < start_tag (s, b);
}

/* Returns whether A starts before B by the cost of a delay, when both can
   start on S.  Of requests that only S may run, services get equal shares of
   its work within one priority.  */
static bool
costs_more (const pu_router_t *r, backend_t *s, const request_t *a,
            const request_t *b)
{
  bool shared = a->service != b->service && a->backend_name != NULL
                && b->backend_name != NULL && a->priority == b->priority
                && pu_delay_class (&a->delay) == pu_delay_class (&b->delay);

  if (shared && !(r->options.test_delay_off & PU_DELAY_OFF_SHARES))
    return service_precedes (r, s, a->service, b->service);
  return pu_delay_compare (&a->delay, &b->delay) < 0;
}

/* Returns whether A starts before B, when both can start on S.  B may be
   NULL.  */
static bool
schedules_before (const pu_router_t *r, backend_t *s, const request_t *a,
                  const request_t *b)
{
  if (!b)
    return true;
  if (a->cost_order && b->cost_order)
    return costs_more (r, s, a, b);
  if (a->service != b->service)
    return service_precedes (r, s, a->service, b->service);
  return compare_queue_order (a, b, NULL) < 0;
}

/* The first requests by cost and the first of the others that may start on a
   backend server.  The two kinds are compared only once: service by service
   and by cost at the same time is no order.  */
typedef struct
{
  request_t *q;
  candidate_t c;
} first_t;

static void
first_offer (const pu_router_t *r, backend_t *s, first_t *firsts, request_t *q,
             const candidate_t *c)
{
  first_t *f = &firsts[q->cost_order];

  if (schedules_before (r, s, q, f->q))
    *f = (first_t){ q, *c };
}

request_t *
queue_select (pu_router_t *r, pu_router_backend_t b, guint64 now,
              candidate_t *c)
{
  backend_t *s = backend_at (r, b);
  first_t firsts[2] = { { .q = NULL }, { .q = NULL } };
  const first_t *best = &firsts[0];

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
          if (q)
            first_offer (r, s, firsts, q, &found);
        }
    }
  if (firsts[1].q && schedules_before (r, s, firsts[1].q, firsts[0].q))
    best = &firsts[1];
  if (best->q)
    *c = best->c;
  return best->q;
}

void
queue_resort (pu_router_t *r)
{
  for (guint i = 0; i < r->models->len; i++)
    {
      const model_t *m = model_at (r, i);

      for (guint j = 0; j < m->flows->len; j++)
        {
          flow_t *f = &g_array_index (m->flows, flow_t, j);

          if (service_at (r, f->service)->cost_of_delay)
            g_sequence_sort (f->queue, compare_queue_order, NULL);
        }
    }
}
