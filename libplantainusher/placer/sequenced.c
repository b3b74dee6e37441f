#include "placer/sequenced_private.h"

#include <string.h>

#include "base/log.h"
#include "state/software.h"

#define PART "placer"

enum
{
  CONNECT_TIMEOUT_MS = 300,
  ORDER_TIMEOUT_MS = 300,
  PLAN_INTERVAL_MS = 250,
  LEASE_MS = 3000,
  /* Interval between two fetches of the report of an engine.  Entry instances
     learn of the requests of each other only from these reports.  */
  REPORT_INTERVAL_MS = 400,
  /* How long a refused connection counts as evidence of a crash: a few reports
     of entries and a few fetches.  */
  OUTAGE_EVIDENCE_MS = 2000,
};

/* Time constants of the demand forecast, in seconds.  The set of busy models
   changes within five seconds, and a load takes a second or two where the
   weights are cached for the engine.  */
#define FORECAST_FAST_S 1.0
#define FORECAST_MID_S 2.0
#define FORECAST_SLOW_S 2.0
#define FORECAST_PEAK_DECAY_S 3.0
#define FORECAST_HORIZON_S 1.0

#define STORE_BURST 3.0

void
pu_sequenced_options_init (pu_sequenced_options_t *o)
{
  *o = (pu_sequenced_options_t){ .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                 .order_timeout_ms = ORDER_TIMEOUT_MS,
                                 .plan_interval_ms = PLAN_INTERVAL_MS,
                                 .lease_ms = LEASE_MS,
                                 .store_share = 1,
                                 .store_burst = STORE_BURST };
}

/* --- the document --- */

guint32
pu_sequenced_item_memory_mb (const leader_state_t *l, guint32 item)
{
  return item < l->item_memory_mb->len
             ? g_array_index (l->item_memory_mb, guint32, item)
             : 0;
}

static void
set_item_memory (leader_state_t *l, guint32 item, guint32 mb)
{
  if (l->item_memory_mb->len <= item)
    g_array_set_size (l->item_memory_mb, item + 1);
  g_array_index (l->item_memory_mb, guint32, item) = mb;
}

static void
declare_item (leader_state_t *l, const pu_model_t *m)
{
  guint32 item = pu_names_intern (&l->item_names, m->name);
  pu_plan_item_t t = { .name = pu_names_name (&l->item_names, item),
                       .base = PU_PLAN_NONE,
                       .previous_version = PU_PLAN_NONE,
                       .memory_mb = pu_model_load_mb (m),
                       .accelerators = m->accelerators,
                       .min_copies = m->min_copies,
                       .max_copies = m->max_copies,
                       .importance = 5 };

  set_item_memory (l, item, t.memory_mb);
  if (m->kind == PU_MODEL_ADAPTER)
    {
      pu_dispatcher_set_adapter (l->dispatcher, item);
      pu_adapters_add (l->adapters, item,
                       pu_names_intern (&l->item_names, m->base_name));
    }
  else
    {
      pu_dispatcher_set_item_memory (l->dispatcher, item, t.memory_mb);
      pu_planner_set_item (l->planner, item, &t);
    }
}

static void
set_planner_options (const pu_sequenced_t *s, leader_state_t *l)
{
  const pu_placement_settings_t *p = pu_document_placement (l->document);
  pu_planner_options_t o;

  pu_planner_options_init (&o);
  o.moves_weight = p->moves_weight;
  o.payback_s = p->payback_s;
  o.min_stay_s = p->min_stay_s;
  o.zone_spread = p->zone_spread;
  o.restore_by_gain = p->restore_by_gain || s->options.restore_by_gain;
  o.place_by_urgency = p->place_by_urgency || s->options.place_by_urgency;
  o.place_by_speed = p->place_by_speed || s->options.place_by_speed;
  o.loads_per_s = p->store_loads_per_s * s->options.store_share;
  o.max_concurrent_loads = p->store_full_speed;
  o.forecast_period_ms = s->options.plan_interval_ms;
  o.move_price = 1;
  o.serial_loads = true;
  o.forecast.fast_s = FORECAST_FAST_S;
  o.forecast.mid_s = FORECAST_MID_S;
  o.forecast.slow_s = FORECAST_SLOW_S;
  o.forecast.peak_decay_s = FORECAST_PEAK_DECAY_S;
  o.forecast.horizon_s = FORECAST_HORIZON_S;
  pu_planner_set_options (l->planner, &o);
  l->store_tokens_per_s = o.loads_per_s;
}

/* Returns the memory of the largest adapter, in MB, including adapters that
   are no longer declared: an engine may still hold them.  */
static guint32
find_max_adapter_mb (const leader_state_t *l)
{
  guint32 largest = 0;

  for (guint32 i = 0; i < l->item_memory_mb->len; i++)
    {
      if (pu_adapters_contains (l->adapters, i))
        largest = MAX (largest, pu_sequenced_item_memory_mb (l, i));
    }
  return largest;
}

static void
update_document (pu_sequenced_t *s)
{
  leader_state_t *l = s->leader;
  const pu_doc_record *r
      = pu_state_document (pu_control_state (s->options.control));
  pu_findings_t *f;
  pu_document_t *d;

  if (r == NULL || r->doc_version == l->document_version)
    return;
  l->document_version = r->doc_version;
  f = pu_findings_new ();
  d = pu_document_load (r->text, strlen (r->text), f);
  if (d == NULL)
    {
      pu_log_warn (PART, "Can't read document %" G_GUINT64_FORMAT ": %s",
                   (guint64)r->doc_version, pu_findings_get (f, 0)->message);
    }
  pu_findings_free (f);
  if (d == NULL)
    return;
  pu_document_unref (l->document);
  l->document = d;
  for (guint32 i = 0; i < pu_names_count (&l->item_names); i++)
    pu_planner_set_item (l->planner, i, NULL);
  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    declare_item (l, pu_document_model (d, h));
  l->max_adapter_mb = find_max_adapter_mb (l);
  set_planner_options (s, l);
}

/* --- backend servers --- */

static void
engine_clear (gpointer data)
{
  engine_t *e = data;

  g_free (e->name);
  g_free (e->address);
  g_free (e->zone);
  g_free (e->service);
  if (e->cached_items != NULL)
    g_hash_table_destroy (e->cached_items);
}

static void
engine_init (pu_sequenced_t *s, guint32 handle, const pu_backend_record *b)
{
  leader_state_t *l = s->leader;
  engine_t *e;

  if (l->engines->len <= handle)
    g_array_set_size (l->engines, handle + 1);
  e = pu_sequenced_get_engine (l, handle);
  if (e->name != NULL)
    return;
  e->name = g_strdup (b->name);
  e->incarnation = b->incarnation;
  e->zone = g_strdup (b->zone);
  e->service = g_strdup (b->service);
  e->cached_items = g_hash_table_new (NULL, NULL);
}

/* Marks the copies listed in the check-in B as loaded: a check-in proves that
   a load has ended, and so does a fetched report.  */
static void
mark_reported_copies (pu_sequenced_t *s, guint32 handle,
                      const pu_backend_record *b)
{
  leader_state_t *l = s->leader;

  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      guint32 item;

      if (pu_copy_is_fact (&b->copies.copies_val[i]))
        continue;
      item = pu_names_intern (&l->item_names, b->copies.copies_val[i].model);
      pu_dispatcher_mark_loaded (l->dispatcher, handle, item,
                                 pu_sequenced_now (s));
    }
}

static void
update_engine (const pu_backend_record *b, void *data)
{
  pu_sequenced_t *s = data;
  leader_state_t *l = s->leader;
  guint32 handle;
  engine_t *e;

  if (b->kind != PU_BACKEND_ENGINE)
    return;
  handle = pu_names_intern_incarnation (&l->engine_names, b->name,
                                        b->incarnation);
  engine_init (s, handle, b);
  e = pu_sequenced_get_engine (l, handle);
  g_free (e->address);
  e->address = g_strdup (b->address);
  e->usable = !b->down && !b->leaving;
  e->in_state = true;
  if (b->down)
    {
      pu_dispatcher_remove_engine (l->dispatcher, handle);
      return;
    }
  pu_dispatcher_add_engine (l->dispatcher, handle, pu_sequenced_now (s));
  mark_reported_copies (s, handle, b);
}

static void
update_state (pu_sequenced_t *s)
{
  const pu_state_t *state = pu_control_state (s->options.control);
  leader_state_t *l = s->leader;

  if (pu_state_change_count (state) == l->state_changes)
    return;
  l->state_changes = pu_state_change_count (state);
  update_document (s);
  for (guint i = 0; i < l->engines->len; i++)
    pu_sequenced_get_engine (l, i)->in_state = false;
  pu_state_each_backend (state, update_engine, s);
  for (guint i = 0; i < l->engines->len; i++)
    {
      if (!pu_sequenced_get_engine (l, i)->in_state)
        {
          pu_sequenced_get_engine (l, i)->usable = false;
          pu_dispatcher_remove_engine (l->dispatcher, i);
        }
    }
}

/* --- rate limit of the weights store --- */

static void
refill_store_tokens (pu_sequenced_t *s, guint64 now)
{
  leader_state_t *l = s->leader;
  double ms = (double)(now - l->store_refilled_at_ms);

  l->store_tokens = MIN (s->options.store_burst,
                         l->store_tokens + ms / 1000 * l->store_tokens_per_s);
  l->store_refilled_at_ms = now;
}

/* --- planning --- */

guint32
pu_sequenced_order_wait_ms (const pu_sequenced_t *s, guint32 engine)
{
  return (guint32)pu_order_turns_wait_ms (
      s->turns, pu_sequenced_get_engine (s->leader, engine)->name,
      pu_sequenced_now (s));
}

bool
pu_sequenced_may_order (const pu_sequenced_t *s, guint32 engine)
{
  return pu_sequenced_order_wait_ms (s, engine) == 0;
}

static void
enqueue_move (pu_sequenced_t *s, const pu_move_t *m)
{
  leader_state_t *l = s->leader;
  bool load = m->kind == PU_MOVE_LOAD;
  pu_dispatcher_order_t o
      = { load ? PU_DISPATCHER_LOAD : PU_DISPATCHER_UNLOAD, m->item, false };
  GString *why = g_string_new (NULL);

  pu_planner_explain_move (l->planner, m, why);
  if (pu_dispatcher_enqueue (l->dispatcher, m->engine, &o,
                             pu_sequenced_now (s)))
    {
      pu_log_info (PART, "Planned: %.*s.", (int)why->len - 1, why->str);
    }
  else if (load)
    {
      pu_planner_block (l->planner, m->engine, m->item,
                        pu_sequenced_now (s) + s->options.plan_interval_ms);
    }
  g_string_free (why, TRUE);
}

/* Raises the minimum of copies of each model so that the adapter slots of the
   copies of the model hold all of its adapters that are in use.  */
static void
set_min_copies_for_adapters (pu_sequenced_t *s, guint64 now)
{
  const leader_state_t *l = s->leader;
  const pu_document_t *d = l->document;

  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    {
      const pu_model_t *m = pu_document_model (d, h);
      pu_service_handle_t v = pu_document_default_service (d, h);
      guint places = pu_document_service (d, v)->engine.adapter_places;
      guint32 item;
      guint n;

      if (m->kind == PU_MODEL_ADAPTER || places == 0
          || !pu_names_find (&l->item_names, m->name, &item))
        continue;
      n = pu_adapters_count_active (l->adapters, item, now);
      pu_planner_set_min_copies (
          l->planner, item, MAX (m->min_copies, (n + places - 1) / places));
    }
}

/* Returns the number of queued loads that read from the weights store.  */
static guint
count_queued_store_loads (const leader_state_t *l)
{
  guint waiting = 0;

  for (guint32 i = 0; i < l->engines->len; i++)
    {
      guint n;
      const pu_dispatcher_item_t *items
          = pu_dispatcher_items (l->dispatcher, i, &n);

      for (guint k = 0; k < n; k++)
        {
          waiting += items[k].phase == PU_DISPATCHER_QUEUED
                     && !pu_adapters_contains (l->adapters, items[k].item)
                     && !g_hash_table_contains (
                         pu_sequenced_get_engine (l, i)->cached_items,
                         GUINT_TO_POINTER (items[k].item));
        }
    }
  return waiting;
}

/* Returns the number of loads from the weights store that the planner may
   order now.  These are the loads that the rate limit admits immediately and
   one more, which may start before the next plan, less those already
   queued.  */
static guint
count_free_store_loads (pu_sequenced_t *s)
{
  guint waiting = count_queued_store_loads (s->leader);
  guint free;

  refill_store_tokens (s, pu_sequenced_now (s));
  free = (guint)s->leader->store_tokens + 1;
  return free - MIN (free, waiting);
}

static void
plan (pu_sequenced_t *s, guint64 now)
{
  leader_state_t *l = s->leader;

  if (l->document == NULL || now < l->next_plan_ms)
    return;
  l->next_plan_ms = now + s->options.plan_interval_ms;
  pu_sequenced_refresh_engines (s, 0);
  set_min_copies_for_adapters (s, now);
  pu_planner_set_load_slots (l->planner, count_free_store_loads (s));
  g_array_set_size (s->moves, 0);
  pu_planner_step (l->planner, now, s->moves);
  for (guint i = 0; i < s->moves->len; i++)
    enqueue_move (s, &g_array_index (s->moves, pu_move_t, i));
  pu_adapters_replicate (l->adapters, now);
}

/* --- orders --- */

/* A pu_dispatcher_admit_fn.  An engine that this instance ordered in an
   earlier leadership gets no order yet; a load from the weights store takes a
   token of the rate limit of the store; all other orders are admitted.  */
static bool
admit_order (void *data, guint32 engine, const pu_dispatcher_order_t *o)
{
  pu_sequenced_t *s = data;
  leader_state_t *l = s->leader;
  const engine_t *e = pu_sequenced_get_engine (l, engine);

  if (!pu_sequenced_may_order (s, engine))
    return false;
  if (o->op != PU_DISPATCHER_LOAD || o->adapter
      || g_hash_table_contains (e->cached_items, GUINT_TO_POINTER (o->item)))
    return true;
  if (l->store_tokens < 1)
    return false;
  l->store_tokens -= 1;
  return true;
}

static void
on_order_result (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  leader_state_t *l = s->leader;
  bool failed = a->kind == PU_DISPATCHER_ACTION_FAILED;

  pu_log_info (PART, "%s to %s %s on %s.", failed ? "Failed" : "Began",
               a->order.op == PU_DISPATCHER_LOAD ? "load" : "unload",
               pu_names_name (&l->item_names, a->order.item),
               pu_sequenced_get_engine (l, a->engine)->name);
  if (failed && !a->order.adapter && a->order.op == PU_DISPATCHER_LOAD)
    {
      pu_planner_block (l->planner, a->engine, a->order.item,
                        pu_sequenced_now (s) + s->options.plan_interval_ms);
    }
}

static void
execute_actions (pu_sequenced_t *s, const GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const pu_dispatcher_action_t *a
          = &g_array_index (actions, pu_dispatcher_action_t, i);

      switch (a->kind)
        {
        case PU_DISPATCHER_ACTION_SEND:
          pu_sequenced_send_order (s, a);
          break;
        case PU_DISPATCHER_ACTION_FETCH:
          pu_sequenced_fetch_report (s, a);
          break;
        case PU_DISPATCHER_ACTION_ACCEPTED:
        case PU_DISPATCHER_ACTION_FAILED:
          on_order_result (s, a);
          break;
        }
    }
}

void
pu_sequenced_step (pu_sequenced_t *s)
{
  GArray *actions
      = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  guint64 now = pu_sequenced_now (s);

  refill_store_tokens (s, now);
  pu_dispatcher_step (s->leader->dispatcher, admit_order, s, now, actions);
  execute_actions (s, actions);
  g_array_unref (actions);
}

void
pu_sequenced_step_engine (pu_sequenced_t *s, guint32 engine)
{
  GArray *actions
      = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  guint64 now = pu_sequenced_now (s);

  refill_store_tokens (s, now);
  pu_dispatcher_step_engine (s->leader->dispatcher, engine, admit_order, s,
                             now, actions);
  execute_actions (s, actions);
  g_array_unref (actions);
}

/* --- callbacks of the control --- */

static void
leader_state_free (leader_state_t *l)
{
  if (l == NULL)
    return;
  pu_adapters_free (l->adapters);
  pu_outages_free (l->outages);
  pu_dispatcher_free (l->dispatcher);
  pu_planner_free (l->planner);
  pu_names_clear (&l->item_names);
  pu_names_clear (&l->engine_names);
  pu_names_clear (&l->zone_names);
  g_array_unref (l->engines);
  g_array_unref (l->item_memory_mb);
  g_hash_table_unref (l->due_times);
  pu_document_unref (l->document);
  g_free (l);
}

static leader_state_t *
leader_state_new (guint64 term, guint64 now)
{
  leader_state_t *l = g_new0 (leader_state_t, 1);
  pu_planner_options_t planner;
  pu_dispatcher_options_t o;

  pu_planner_options_init (&planner);
  pu_dispatcher_options_init (&o);
  o.poll_interval_ms = REPORT_INTERVAL_MS;
  l->planner = pu_planner_new (&planner);
  l->dispatcher = pu_dispatcher_new (&o);
  l->adapters = pu_adapters_new (l->dispatcher);
  l->outages = pu_outages_new (OUTAGE_EVIDENCE_MS);
  pu_names_init (&l->item_names);
  pu_names_init (&l->engine_names);
  pu_names_init (&l->zone_names);
  l->engines = g_array_new (FALSE, TRUE, sizeof (engine_t));
  g_array_set_clear_func (l->engines, engine_clear);
  l->item_memory_mb = g_array_new (FALSE, TRUE, sizeof (guint32));
  l->due_times = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  pu_copy_pace_init (&l->pace, now);
  l->state_changes = G_MAXUINT64;
  l->term = term;
  /* Start without tokens of the rate limit of the weights store: the previous
     leader may have just used all of them.  */
  l->store_tokens = 0;
  l->store_refilled_at_ms = now;
  return l;
}

static void
on_begin (void *data, uint64_t now, uint64_t term)
{
  pu_sequenced_t *s = data;

  s->leader_epoch++;
  pu_order_turns_begin (s->turns, term, now);
  s->leader = leader_state_new (term, now);
}

static void
on_end (void *data)
{
  pu_sequenced_t *s = data;

  pu_sequenced_cancel_calls (s);
  pu_sequenced_refuse_copy_requests (s);
  g_clear_pointer (&s->leader, leader_state_free);
}

static void
on_tick (void *data, uint64_t now)
{
  pu_sequenced_t *s = data;

  if (s->leader == NULL)
    return;
  update_state (s);
  plan (s, now);
  pu_sequenced_step (s);
  pu_sequenced_check_copy_requests (s);
}

static void
on_demand (void *data, const char *model, guint32 requests, guint32 stream_ms)
{
  pu_sequenced_t *s = data;
  leader_state_t *l = s->leader;
  guint32 item;

  if (l == NULL || !pu_names_find (&l->item_names, model, &item))
    return;
  if (pu_adapters_contains (l->adapters, item))
    {
      pu_adapters_mark_used (l->adapters, item, pu_sequenced_now (s));
      item = pu_adapters_base (l->adapters, item);
    }
  pu_planner_add_demand (l->planner, item, requests, stream_ms);
}

static void
on_urgency (void *data, const char *model, guint32 stream_ms,
            guint32 weighted_ms)
{
  pu_sequenced_t *s = data;
  leader_state_t *l = s->leader;
  guint32 item;

  if (l == NULL || !pu_names_find (&l->item_names, model, &item))
    return;
  if (pu_adapters_contains (l->adapters, item))
    item = pu_adapters_base (l->adapters, item);
  pu_planner_add_urgency (l->planner, item, stream_ms, weighted_ms);
}

/* --- construction and status --- */

pu_sequenced_t *
pu_sequenced_new (const pu_sequenced_options_t *o)
{
  pu_sequenced_t *s = g_new0 (pu_sequenced_t, 1);
  pu_control_leader_task_t task
      = { "placement", on_begin, on_tick, on_end, s };
  pu_http_client_options_t c
      = { .loop = o->loop, .connect_timeout_ms = o->connect_timeout_ms };

  pu_order_turns_options_t turns = { .lease_ms = o->lease_ms,
                                     .transit_ms = o->order_timeout_ms,
                                     .started_at = pu_control_now (o->control),
                                     .checks_tokens = o->checks_tokens };

  s->options = *o;
  s->turns = pu_order_turns_new (&turns);
  s->client = pu_http_client_new (&c);
  s->moves = g_array_new (FALSE, FALSE, sizeof (pu_move_t));
  s->copies = g_array_new (FALSE, FALSE, sizeof (pu_plan_copy_t));
  s->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  g_queue_init (&s->copy_requests);
  uv_timer_init (o->loop, &s->copy_request_timer);
  s->copy_request_timer.data = s;
  if (o->counters != NULL)
    {
      s->orders_sent
          = pu_counters_get (o->counters, "placement_orders_sent_total");
      s->reports_fetched
          = pu_counters_get (o->counters, "placement_reports_fetched_total");
      s->answers_lost
          = pu_counters_get (o->counters, "placement_answers_lost_total");
      s->reports_cut
          = pu_counters_get (o->counters, "placement_reports_cut_total");
    }
  pu_control_add_leader_task (o->control, &task);
  pu_control_on_demand (o->control, on_demand, s);
  pu_control_on_urgency (o->control, on_urgency, s);
  pu_control_on_copy_request (o->control, pu_sequenced_on_copy_request, s);
  pu_control_on_refusal (o->control, pu_sequenced_on_refusal, s);
  return s;
}

static void
on_closed (uv_handle_t *h)
{
  g_free (h->data);
}

void
pu_sequenced_free (pu_sequenced_t *s)
{
  if (s == NULL)
    return;
  pu_sequenced_cancel_calls (s);
  pu_sequenced_refuse_copy_requests (s);
  leader_state_free (s->leader);
  s->leader = NULL;
  pu_http_client_free (s->client);
  pu_order_turns_free (s->turns);
  g_array_unref (s->moves);
  g_array_unref (s->copies);
  g_hash_table_destroy (s->calls);
  uv_close ((uv_handle_t *)&s->copy_request_timer, on_closed);
}

static const char *
phase_name (pu_dispatcher_phase_t phase)
{
  static const char *const names[] = {
    [PU_DISPATCHER_ABSENT] = "absent",     [PU_DISPATCHER_QUEUED] = "queued",
    [PU_DISPATCHER_LOADING] = "loading",   [PU_DISPATCHER_READY] = "ready",
    [PU_DISPATCHER_UNLOADING] = "leaving",
  };

  return names[phase];
}

static json_t *
items_json (const leader_state_t *l, guint32 engine)
{
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (l->dispatcher, engine, &n);
  json_t *list = json_array ();

  for (guint i = 0; i < n; i++)
    {
      json_array_append_new (
          list, json_pack ("{s:s, s:s}", "model",
                           pu_names_name (&l->item_names, items[i].item),
                           "phase", phase_name (items[i].phase)));
    }
  return list;
}

json_t *
pu_sequenced_status (pu_sequenced_t *s)
{
  const leader_state_t *l = s->leader;
  json_t *engines = json_array ();

  for (guint32 i = 0; l != NULL && i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_get_engine (l, i);

      if (e->name == NULL || !e->in_state)
        continue;
      json_array_append_new (
          engines,
          json_pack ("{s:s, s:b, s:b, s:o}", "engine", e->name, "known",
                     pu_dispatcher_accepts_orders (l->dispatcher, i), "busy",
                     pu_dispatcher_is_busy (l->dispatcher, i), "items",
                     items_json (l, i)));
    }
  return json_pack ("{s:b, s:o}", "leads", l != NULL, "engines", engines);
}
