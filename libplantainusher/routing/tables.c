#include "routing/router_int.h"

#include <string.h>
#include <xxhash.h>

/* Ridge of fits over concurrent requests, in requests squared.  */
#define LOAD_RIDGE 1.0

static void
ready_list_add (pu_router_t *r, pu_router_backend_t b, guint copy)
{
  backend_t *s = backend_at (r, b);
  copy_t *c = &g_array_index (s->copies, copy_t, copy);
  ready_copy_t ready = { b, copy };
  model_t *m = model_at (r, c->model);

  g_array_append_val (m->ready, ready);
  m->drain_per_ms = 0;
}

/* Returns whether each copy in LIST backs off or has done so; true if LIST is
   empty.  */
static bool
may_all_back_off (const pu_router_t *r, const GArray *list)
{
  for (guint i = 0; i < list->len; i++)
    {
      const backend_t *s
          = backend_at (r, g_array_index (list, ready_copy_t, i).backend);

      if (s->back_off_until == 0)
        return false;
    }
  return true;
}

static void
ready_list_remove (pu_router_t *r, pu_router_backend_t b, pu_router_model_t m)
{
  GArray *list = model_at (r, m)->ready;

  for (guint i = list->len; i-- > 0;)
    {
      if (g_array_index (list, ready_copy_t, i).backend == b)
        g_array_remove_index_fast (list, i);
    }
  if (may_all_back_off (r, list) || model_at (r, m)->waiting_bound > 0)
    r->recheck_waiting = true;
}

static bool
copy_is_eligible (const pu_router_t *r, const backend_t *s, const copy_t *c)
{
  if (r->options.test_break == PU_ROUTER_BREAK_DRAINING)
    return c->phase != PU_ROUTER_COPY_LOADING && !s->removed;
  return c->phase == PU_ROUTER_COPY_READY && !s->leaving && !s->removed;
}

static void
ready_list_remove_backend (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  for (guint i = 0; i < s->copies->len; i++)
    ready_list_remove (r, b, g_array_index (s->copies, copy_t, i).model);
}

static void
ready_list_add_backend (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  for (guint i = 0; i < s->copies->len; i++)
    {
      if (copy_is_eligible (r, s, &g_array_index (s->copies, copy_t, i)))
        ready_list_add (r, b, i);
    }
  backend_mark_dirty (r, b);
}

/* Table of services.  */

pu_router_service_t
pu_router_find_service (const pu_router_t *r, const char *name)
{
  gpointer p;

  if (!g_hash_table_lookup_extended (r->service_names, name, NULL, &p))
    return PU_ROUTER_NONE;
  if (!service_at (r, GPOINTER_TO_UINT (p))->declared)
    return PU_ROUTER_NONE;
  return GPOINTER_TO_UINT (p);
}

static pu_router_service_t
service_new (pu_router_t *r, const char *name)
{
  service_t *s = g_new0 (service_t, 1);
  guint h = r->services->len;

  s->name = g_strdup (name);
  s->limit = r->options.limit_initial;
  s->retry_budget = r->service_retries.burst;
  s->models = g_array_new (FALSE, FALSE, sizeof (pu_router_model_t));
  g_ptr_array_add (r->services, s);
  g_hash_table_insert (r->service_names, s->name, GUINT_TO_POINTER (h));
  return h;
}

pu_router_service_t
pu_router_set_service (pu_router_t *r, const pu_router_service_options_t *o)
{
  gpointer p;
  guint h;
  service_t *s;

  if (g_hash_table_lookup_extended (r->service_names, o->name, NULL, &p))
    {
      h = GPOINTER_TO_UINT (p);
    }
  else
    {
      h = service_new (r, o->name);
    }
  s = service_at (r, h);
  s->declared = true;
  s->importance = MAX (o->importance, 1);
  s->first_token_ms = o->first_token_ms;
  s->per_token_ms = o->per_token_ms;
  s->timeout_ms = o->timeout_ms;
  s->max_concurrency = o->max_concurrency;
  s->max_queue = o->max_queue;
  s->serve_late = o->serve_late;
  s->patience_ms = o->patience_ms;
  s->cost_of_delay = o->cost_of_delay;
  return h;
}

void
pu_router_remove_service (pu_router_t *r, pu_router_service_t s)
{
  service_t *service = service_at (r, s);

  if (!service)
    return;
  service->declared = false;
  r->recheck_waiting = true;
}

/* Table of models.  */

pu_router_model_t
pu_router_find_model (const pu_router_t *r, const char *name)
{
  gpointer p;

  if (!g_hash_table_lookup_extended (r->model_names, name, NULL, &p))
    return PU_ROUTER_NONE;
  if (!model_at (r, GPOINTER_TO_UINT (p))->declared)
    return PU_ROUTER_NONE;
  return GPOINTER_TO_UINT (p);
}

static void
flow_clear (gpointer data)
{
  flow_t *f = data;

  g_sequence_free (f->queue);
}

/* Returns the handle of the model NAME, which is added undeclared if it is
   new.  */
static pu_router_model_t
model_intern (pu_router_t *r, const char *name)
{
  guint h = r->models->len;
  gpointer p;
  model_t *m;

  if (g_hash_table_lookup_extended (r->model_names, name, NULL, &p))
    return GPOINTER_TO_UINT (p);
  m = g_new0 (model_t, 1);
  m->name = g_strdup (name);
  m->ready = g_array_new (FALSE, FALSE, sizeof (ready_copy_t));
  m->flows = g_array_new (FALSE, FALSE, sizeof (flow_t));
  m->mean_uncached_share = 1;
  m->delay = g_rc_box_new0 (pu_delay_load_t);
  g_array_set_clear_func (m->flows, flow_clear);
  linear_fit_init (&m->first_token_fit, r->options.decode_token_ms,
                   r->options.prefill_token_ms, PU_TOKEN_RIDGE);
  linear_fit_init (&m->decode_step_fit, r->options.decode_token_ms, 0,
                   LOAD_RIDGE);
  pu_step_model_init (&m->steps, r->options.decode_token_ms);
  g_ptr_array_add (r->models, m);
  g_hash_table_insert (r->model_names, m->name, GUINT_TO_POINTER (h));
  return h;
}

pu_router_model_t
pu_router_set_model (pu_router_t *r, const char *name, const char *preferred,
                     guint share)
{
  pu_router_model_t h = model_intern (r, name);
  model_t *m = model_at (r, h);

  m->declared = true;
  g_free (m->preferred);
  m->preferred = g_strdup (preferred);
  m->share = MIN (share, 1000);
  return h;
}

void
pu_router_remove_model (pu_router_t *r, pu_router_model_t m)
{
  model_t *model = model_at (r, m);

  if (!model)
    return;
  model->declared = false;
  r->recheck_waiting = true;
}

/* Table of backend servers.  */

static void
copy_clear (gpointer data)
{
  copy_t *c = data;

  g_free (c->version);
}

static GArray *
copies_new (void)
{
  GArray *copies = g_array_new (FALSE, TRUE, sizeof (copy_t));

  g_array_set_clear_func (copies, copy_clear);
  return copies;
}

static const copy_t *
find_copy (const GArray *copies, pu_router_model_t m, const char *version)
{
  for (guint i = 0; i < copies->len; i++)
    {
      const copy_t *c = &g_array_index (copies, copy_t, i);

      if (c->model == m && strcmp (c->version, version) == 0)
        return c;
    }
  return NULL;
}

/* Replaces the copies of S; a copy that S had before keeps its estimates.  */
static void
set_copies (pu_router_t *r, backend_t *s, const pu_router_copy_t *copies,
            guint n)
{
  GArray *list = copies_new ();

  for (guint i = 0; i < n; i++)
    {
      pu_router_model_t m = model_intern (r, copies[i].model);
      const copy_t *old = find_copy (s->copies, m, copies[i].version);
      copy_t c = {
        .model = m,
        .version = g_strdup (copies[i].version),
        .phase = copies[i].phase,
      };

      if (old)
        {
          c.first_token_fit = old->first_token_fit;
          c.has_samples = old->has_samples;
        }
      g_array_append_val (list, c);
    }
  g_array_free (s->copies, TRUE);
  s->copies = list;
}

static guint
network_cost_ms (const pu_router_t *r, const backend_t *s)
{
  if (strcmp (s->region, r->region) != 0)
    return r->options.region_cost_ms;
  if (strcmp (s->zone, r->zone) != 0)
    return r->options.zone_cost_ms;
  return 0;
}

static guint
backend_handle_alloc (pu_router_t *r)
{
  for (guint i = 0; i < r->backends->len; i++)
    {
      if (!backend_at (r, i)->in_use)
        return i;
    }
  g_ptr_array_add (r->backends, g_new0 (backend_t, 1));
  return r->backends->len - 1;
}

static pu_router_backend_t
backend_new (pu_router_t *r, const pu_router_backend_options_t *o)
{
  guint h = backend_handle_alloc (r);
  backend_t *s = backend_at (r, h);

  *s = (backend_t){
    .name = g_strdup (o->name),
    .name_hash = XXH64 (o->name, strlen (o->name), 0),
    .incarnation = o->incarnation,
    .serial = ++r->serial,
    .in_use = true,
    .slots = r->options.slots_initial,
    .prefill_window = 1,
    .software = g_strdup (""),
    .copies = copies_new (),
    .retry_budget = r->backend_retries.burst,
    .finish_tags = g_array_new (FALSE, TRUE, sizeof (double)),
    .blocks = g_hash_table_new (NULL, NULL),
    .delay = g_rc_box_new0 (pu_delay_load_t),
  };
  linear_fit_init (&s->decode_step_fit, r->options.decode_token_ms, 0,
                   LOAD_RIDGE);
  g_hash_table_replace (r->backend_names, g_strdup (o->name),
                        GUINT_TO_POINTER (h));
  return h;
}

pu_router_backend_t
pu_router_find_backend (const pu_router_t *r, const char *name)
{
  gpointer p;

  if (!g_hash_table_lookup_extended (r->backend_names, name, NULL, &p))
    return PU_ROUTER_NONE;
  return GPOINTER_TO_UINT (p);
}

static void
replace_string (char **s, const char *value)
{
  char *copy = g_strdup (value ? value : "");

  g_free (*s);
  *s = copy;
}

pu_router_backend_t
pu_router_set_backend (pu_router_t *r, const pu_router_backend_options_t *o)
{
  pu_router_backend_t h = pu_router_find_backend (r, o->name);
  backend_t *s = backend_at (r, h);

  if (s && o->incarnation < s->incarnation)
    return PU_ROUTER_NONE;
  if (s && o->incarnation > s->incarnation)
    {
      pu_router_remove_backend (r, h);
      s = NULL;
    }
  if (!s)
    h = backend_new (r, o);
  s = backend_at (r, h);
  ready_list_remove_backend (r, h);
  s->kind = o->kind;
  s->leaving = o->leaving;
  s->fixed_slots = o->slots;
  replace_string (&s->region, o->region);
  replace_string (&s->zone, o->zone);
  replace_string (&s->software, o->software);
  s->network_cost_ms = network_cost_ms (r, s);
  set_copies (r, s, o->copies, o->n_copies);
  ready_list_add_backend (r, h);
  return h;
}

void
pu_router_remove_backend (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (!s || !s->in_use || s->removed)
    return;
  ready_list_remove_backend (r, b);
  s->removed = true;
  g_hash_table_remove (r->backend_names, s->name);
  backend_reclaim (r, b);
}

void
pu_router_set_leaving (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (!s || !s->in_use || s->removed || s->leaving)
    return;
  ready_list_remove_backend (r, b);
  s->leaving = true;
  ready_list_add_backend (r, b);
}

static void
list_remove_backend (GArray *list, pu_router_backend_t b)
{
  for (guint i = list->len; i-- > 0;)
    {
      if (g_array_index (list, pu_router_backend_t, i) == b)
        g_array_remove_index_fast (list, i);
    }
}

static void
backend_clear (backend_t *s)
{
  if (!s->in_use)
    return;
  g_free (s->name);
  g_free (s->region);
  g_free (s->zone);
  g_free (s->software);
  g_array_free (s->copies, TRUE);
  g_array_free (s->finish_tags, TRUE);
  g_hash_table_destroy (s->blocks);
  g_rc_box_release (s->delay);
  *s = (backend_t){ .in_use = false };
}

void
backend_reclaim (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (!s->removed || s->in_flight > 0)
    return;
  list_remove_backend (r->dirty, b);
  list_remove_backend (r->cooldowns, b);
  backend_clear (s);
}

const char *
pu_router_backend_name (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);

  return s && s->in_use ? s->name : "";
}

guint64
pu_router_backend_incarnation (const pu_router_t *r, pu_router_backend_t b)
{
  const backend_t *s = backend_at (r, b);

  return s && s->in_use ? s->incarnation : 0;
}

void
backend_mark_dirty (pu_router_t *r, pu_router_backend_t b)
{
  backend_t *s = backend_at (r, b);

  if (s->dirty || s->removed)
    return;
  s->dirty = true;
  g_array_append_val (r->dirty, b);
}

/* Load and cached blocks of backend servers.  */

/* Fills the history of S up to the tick of NOW with the last recorded number
   of requests in flight.  */
static void
history_advance (backend_t *s, guint64 now)
{
  guint64 tick = now / HISTORY_TICK_MS;
  guint last = s->in_flight_history[s->history_tick % HISTORY_MAX];
  guint64 steps = tick - s->history_tick;

  if (tick <= s->history_tick)
    return;
  for (guint64 i = 1; i <= MIN (steps, HISTORY_MAX); i++)
    s->in_flight_history[(s->history_tick + i) % HISTORY_MAX] = last;
  s->in_flight_history[tick % HISTORY_MAX] = last;
  s->history_tick = tick;
}

void
backend_record_in_flight (backend_t *s, guint64 now)
{
  history_advance (s, now);
  s->in_flight_history[s->history_tick % HISTORY_MAX] = s->in_flight;
}

/* Returns how many requests of this entry were in flight on S AGE milliseconds
   ago.  */
static guint
in_flight_before (backend_t *s, guint age, guint64 now)
{
  guint ticks = MIN (age / HISTORY_TICK_MS, HISTORY_MAX - 1);

  history_advance (s, now);
  if (s->history_tick < ticks)
    return 0;
  return s->in_flight_history[(s->history_tick - ticks) % HISTORY_MAX];
}

bool
pu_router_report (pu_router_t *r, pu_router_backend_t b,
                  const pu_router_report_t *report, guint64 now)
{
  backend_t *s = backend_at (r, b);
  guint64 since;
  guint own;
  guint total;

  if (!s || !s->in_use || s->removed || report->seq <= s->seq)
    return false;
  own = in_flight_before (s, report->age_ms, now);
  total = report->running + report->waiting;
  since = s->reported_at ? now - s->reported_at : 0;
  s->seq = report->seq;
  s->reported_at = now;
  s->report = *report;
  s->others_running = total > own ? total - own : 0;
  s->others_waiting = MIN (report->waiting, s->others_running);
  slots_update (r, s, since, now);
  backend_mark_dirty (r, b);
  return true;
}

static bool
report_is_fresh (const backend_t *s, guint64 now)
{
  guint life = s->report.life_ms != 0 ? s->report.life_ms : REPORT_VALID_MS;

  return s->reported_at && now < s->reported_at + life;
}

guint
backend_load (const backend_t *s, guint64 now)
{
  const pu_router_others_t *others = backend_others (s, now);

  if (others != NULL)
    return s->in_flight + others->running;
  return s->in_flight + (report_is_fresh (s, now) ? s->others_running : 0);
}

guint
backend_others_waiting (const backend_t *s, guint64 now)
{
  return report_is_fresh (s, now) ? s->others_waiting : 0;
}

double
backend_step_ms (pu_router_t *r, const backend_t *s, const model_t *m,
                 guint load, guint64 now)
{
  if (backend_others (s, now) != NULL)
    return backend_slowness (r, s, now) * speed_gap_ms (r, m, load, 0);
  return linear_fit_predict (
      s->decode_step_known ? &s->decode_step_fit : &m->decode_step_fit, load);
}

const linear_fit_t *
copy_first_token_fit (const pu_router_t *r, const copy_t *c)
{
  return c->has_samples ? &c->first_token_fit
                        : &model_at (r, c->model)->first_token_fit;
}

void
copy_add_sample (const pu_router_t *r, copy_t *c, double prefill_tokens,
                 double ms)
{
  if (!c->has_samples)
    {
      c->first_token_fit = model_at (r, c->model)->first_token_fit;
      c->first_token_fit.weight = MIN (c->first_token_fit.weight, 1);
      c->has_samples = true;
    }
  linear_fit_add (&c->first_token_fit, prefill_tokens, ms);
}

bool
pu_router_kv_events (pu_router_t *r, pu_router_backend_t b,
                     const pu_router_kv_events_t *e)
{
  backend_t *s = backend_at (r, b);
  bool gap;

  if (!s || !s->in_use || s->removed)
    return true;
  if (s->next_kv_event && e->last < s->next_kv_event)
    return true;
  gap = s->next_kv_event && e->first != s->next_kv_event;
  if (gap)
    {
      g_hash_table_remove_all (s->blocks);
      r->stats.kv_gaps++;
    }
  if (g_hash_table_size (s->blocks) + e->n_added
      > r->options.prefix_blocks_max)
    g_hash_table_remove_all (s->blocks);
  for (guint i = 0; i < e->n_added; i++)
    g_hash_table_add (s->blocks, GSIZE_TO_POINTER (e->added[i]));
  for (guint i = 0; i < e->n_removed; i++)
    g_hash_table_remove (s->blocks, GSIZE_TO_POINTER (e->removed[i]));
  s->next_kv_event = e->last + 1;
  return !gap;
}

/* Construction and destruction of the router.  */

static void
service_free (gpointer data)
{
  service_t *s = data;

  g_free (s->name);
  g_array_free (s->models, TRUE);
  g_free (s);
}

static void
model_free (gpointer data)
{
  model_t *m = data;

  g_free (m->name);
  g_free (m->preferred);
  g_array_free (m->ready, TRUE);
  g_array_free (m->flows, TRUE);
  g_rc_box_release (m->delay);
  g_free (m);
}

static void
backend_free (gpointer data)
{
  backend_clear (data);
  g_free (data);
}

static void
request_free (gpointer data)
{
  request_t *q = data;

  g_free (q->software);
  g_free (q->backend_name);
  g_free (q->prefix);
  g_free (q->prefix_tokens);
  delay_request_clear (q);
  g_free (q);
}

pu_router_t *
pu_router_new (const pu_router_options_t *o)
{
  pu_router_t *r = g_new0 (pu_router_t, 1);

  r->options = *o;
  r->options.candidates = MAX (o->candidates, 2);
  r->region = g_strdup (o->region ? o->region : "");
  r->zone = g_strdup (o->zone ? o->zone : "");
  r->options.region = r->region;
  r->options.zone = r->zone;
  r->rand = g_rand_new_with_seed ((guint32)o->seed);
  r->service_retries
      = (retry_earnings_t){ r->options.retry_pct, r->options.retry_burst };
  r->backend_retries = r->service_retries;
  r->services = g_ptr_array_new_with_free_func (service_free);
  r->models = g_ptr_array_new_with_free_func (model_free);
  r->backends = g_ptr_array_new_with_free_func (backend_free);
  r->service_names = g_hash_table_new (g_str_hash, g_str_equal);
  r->model_names = g_hash_table_new (g_str_hash, g_str_equal);
  r->backend_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->requests = g_ptr_array_new_with_free_func (request_free);
  r->free_requests = g_array_new (FALSE, FALSE, sizeof (guint));
  r->waiting_by_timeout = g_sequence_new (NULL);
  r->dirty = g_array_new (FALSE, FALSE, sizeof (pu_router_backend_t));
  r->cooldowns = g_array_new (FALSE, FALSE, sizeof (pu_router_backend_t));
  r->found = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  r->evicted = g_array_new (FALSE, FALSE, sizeof (pu_ticket_t));
  r->hopeless = g_array_new (FALSE, FALSE, sizeof (pu_ticket_t));
  speed_init (r);
  return r;
}

void
pu_router_free (pu_router_t *r)
{
  if (!r)
    return;
  g_hash_table_destroy (r->service_names);
  g_hash_table_destroy (r->model_names);
  g_hash_table_destroy (r->backend_names);
  g_sequence_free (r->waiting_by_timeout);
  g_ptr_array_free (r->requests, TRUE);
  g_ptr_array_free (r->services, TRUE);
  g_ptr_array_free (r->models, TRUE);
  g_ptr_array_free (r->backends, TRUE);
  g_array_free (r->free_requests, TRUE);
  g_array_free (r->dirty, TRUE);
  g_array_free (r->cooldowns, TRUE);
  g_array_free (r->found, TRUE);
  g_array_free (r->evicted, TRUE);
  g_array_free (r->hopeless, TRUE);
  g_rand_free (r->rand);
  g_free (r->region);
  g_free (r->zone);
  g_free (r);
}
