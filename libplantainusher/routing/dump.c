#include "routing/router_int.h"

#include <string.h>

pu_router_stats_t
pu_router_stats (const pu_router_t *r)
{
  return r->stats;
}

guint
pu_router_backend_in_flight (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);

  return s && s->in_use ? s->in_flight : 0;
}

guint
pu_router_backend_slots (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);

  return s && s->in_use ? backend_slot_limit (s) : 0;
}

guint
pu_router_service_in_flight (const pu_router_t *r, pu_router_service_t s)
{
  const service_t *service = service_at (r, s);

  return service ? service->in_flight : 0;
}

guint
pu_router_service_limit (const pu_router_t *r, pu_router_service_t s)
{
  const service_t *service = service_at (r, s);

  return service ? service_limit (service) : 0;
}

guint
pu_router_service_waiting (const pu_router_t *r, pu_router_service_t s)
{
  const service_t *service = service_at (r, s);

  return service ? service->waiting : 0;
}

guint
pu_router_ready_copies (const pu_router_t *r, pu_router_model_t m)
{
  const model_t *model = model_at (r, m);

  return model ? model->ready->len : 0;
}

bool
pu_router_all_lost (const pu_router_t *r, pu_router_model_t m,
                    const char *software)
{
  const model_t *model = model_at (r, m);
  bool any_lost = false;

  for (guint i = 0; model != NULL && i < model->ready->len; i++)
    {
      const backend_t *s = backend_at (
          r, g_array_index (model->ready, ready_copy_t, i).backend);

      if (software != NULL
          && (*software == '\0' || strcmp (software, s->software) != 0))
        continue;
      if (!s->lost)
        return false;
      any_lost = true;
    }
  return any_lost;
}

static json_t *
service_dump (const service_t *s)
{
  return json_pack ("{s:s, s:i, s:i, s:i, s:f, s:b}", "name", s->name,
                    "in_flight", (int)s->in_flight, "waiting", (int)s->waiting,
                    "limit", (int)service_limit (s), "retry_budget",
                    s->retry_budget, "declared", s->declared);
}

static json_t *
model_dump (const model_t *m)
{
  return json_pack ("{s:s, s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f}", "name",
                    m->name, "preferred", m->preferred ? m->preferred : "",
                    "share", (int)m->share, "ready", (int)m->ready->len,
                    "in_flight", (int)m->in_flight, "waiting", (int)m->waiting,
                    "prefill_ms", linear_fit_slope (&m->first_token_fit),
                    "step_ms", linear_fit_predict (&m->decode_step_fit, 1),
                    "mean_output", m->mean_output_tokens);
}

static json_t *
backend_dump (const backend_t *s)
{
  return json_pack (
      "{s:s, s:I, s:s, s:b, s:b, s:i, s:i, s:i, s:i, s:i, s:I, s:i, s:f}",
      "name", s->name, "incarnation", (json_int_t)s->incarnation, "zone",
      s->zone, "leaving", s->leaving, "gone", s->removed, "copies",
      (int)s->copies->len, "in_flight", (int)s->in_flight, "others",
      (int)s->others_running, "slots", (int)backend_slot_limit (s),
      "ejections", (int)s->ejections, "report_seq", (json_int_t)s->seq,
      "cached_blocks", (int)g_hash_table_size (s->blocks), "retry_budget",
      s->retry_budget);
}

static bool
has_delays (const pu_router_stats_t *s)
{
  static const pu_router_stats_t none;

  return memcmp (s->displaced, none.displaced, sizeof none.displaced) != 0
         || memcmp (s->delay_refused, none.delay_refused,
                    sizeof none.delay_refused)
                != 0;
}

static json_t *
by_priority_dump (const guint64 *counts)
{
  json_t *list = json_array ();

  for (guint i = 0; i < PU_DELAY_PRIORITIES; i++)
    json_array_append_new (list, json_integer ((json_int_t)counts[i]));
  return list;
}

/* Counts by priority, from 0 to 9, of requests by the cost of a delay.  */
static json_t *
delay_dump (const pu_router_stats_t *s)
{
  json_t *refused = json_object ();

  for (guint i = PU_ROUTER_REASON_SERVICE; i < PU_ROUTER_REASONS; i++)
    {
      json_object_set_new (refused, pu_router_reason_name (i),
                           by_priority_dump (s->delay_refused[i]));
    }
  return json_pack ("{s:o, s:o}", "displaced", by_priority_dump (s->displaced),
                    "refused", refused);
}

static json_t *
stats_dump (const pu_router_stats_t *s)
{
  json_t *o = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "offered",
      (json_int_t)s->offered, "dispatched", (json_int_t)s->dispatched,
      "retried", (json_int_t)s->retried, "refused", (json_int_t)s->refused,
      "finished", (json_int_t)s->finished, "cancelled",
      (json_int_t)s->cancelled, "ejected", (json_int_t)s->ejected, "kv_gaps",
      (json_int_t)s->kv_gaps, "prefix_hit_tokens",
      (json_int_t)s->prefix_hit_tokens, "prompt_tokens",
      (json_int_t)s->prompt_tokens);

  if (has_delays (s))
    json_object_set_new (o, "delay", delay_dump (s));
  return o;
}

json_t *
pu_router_dump (const pu_router_t *r)
{
  json_t *services = json_array ();
  json_t *models = json_array ();
  json_t *backends = json_array ();

  for (guint i = 0; i < r->services->len; i++)
    json_array_append_new (services, service_dump (service_at (r, i)));
  for (guint i = 0; i < r->models->len; i++)
    json_array_append_new (models, model_dump (model_at (r, i)));
  for (guint i = 0; i < r->backends->len; i++)
    {
      if (backend_at (r, i)->in_use)
        json_array_append_new (backends, backend_dump (backend_at (r, i)));
    }
  return json_pack ("{s:i, s:o, s:o, s:o, s:o}", "in_flight",
                    (int)r->in_flight, "services", services, "models", models,
                    "backends", backends, "totals", stats_dump (&r->stats));
}

void
pu_router_backend_load (const pu_router_t *r, pu_router_backend_t b,
                        guint64 now, pu_router_load_t *load)
{
  const backend_t *s = backend_at (r, b);

  *load = (pu_router_load_t){ .age_ms = G_MAXUINT32 };
  if (s == NULL)
    return;
  load->own = s->in_flight;
  load->slots = backend_slot_limit (s);
  if (s->reported_at == 0)
    return;
  load->running = s->report.running;
  load->waiting = s->report.waiting;
  load->age_ms = now - s->reported_at + s->report.age_ms;
}

guint
pu_router_waiting_for (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);
  guint n = 0;

  if (s == NULL)
    return 0;
  for (GSequenceIter *at = g_sequence_get_begin_iter (r->waiting_by_timeout);
       !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      const request_t *q = g_sequence_get (at);

      n += g_strcmp0 (q->backend_name, s->name) == 0;
    }
  return n;
}

const char *
pu_router_failure_name (pu_router_failure_t failure)
{
  static const char *const names[] = {
    [PU_ROUTER_FAIL_CONNECT] = "connect",
    [PU_ROUTER_FAIL_NOT_RUN] = "not-run",
    [PU_ROUTER_FAIL_DIED] = "died",
    [PU_ROUTER_FAIL_SILENT] = "silent",
    [PU_ROUTER_FAIL_TRUNCATED] = "truncated",
    [PU_ROUTER_FAIL_ERROR] = "error",
    [PU_ROUTER_FAIL_ABSENT] = "absent",
    [PU_ROUTER_FAIL_UNSENT] = "unsent",
    [PU_ROUTER_FAIL_DECLINED] = "declined",
    [PU_ROUTER_FAIL_RELAY] = "relay",
  };

  return names[failure];
}
