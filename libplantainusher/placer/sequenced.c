#include "placer/sequenced_private.h"

#include <string.h>

#include "base/log.h"

#define PART "placer"

enum
{
  CONNECT_MS = 300,
  ANSWER_MS = 300,
  PLAN_MS = 250,
  /* Entries learn of each other's requests by these reports alone.  */
  POLL_MS = 400,
};

/* Demand is told in milliseconds of one engine; an engine is hot, by the
   planner's measure, above 70 in 100 of its time.  */
#define ENGINE_STREAMS 1.0

/* Time constants of the demand: busy models change within five seconds, and a
   copy costs a second or two to load where the engine had it before.  */
#define FORECAST_FAST_S 1.0
#define FORECAST_MID_S 2.0
#define FORECAST_SLOW_S 2.0
#define FORECAST_PEAK_DECAY_S 3.0
#define FORECAST_HORIZON_S 1.0

#define STORE_BURST 3.0

void
pu_sequenced_options_init (pu_sequenced_options_t *o)
{
  *o = (pu_sequenced_options_t){ .connect_ms = CONNECT_MS,
                                 .answer_ms = ANSWER_MS,
                                 .plan_ms = PLAN_MS,
                                 .store_burst = STORE_BURST };
}

/* --- the document --- */

static guint32
memory_of (const lead_t *l, guint32 item)
{
  return item < l->memory->len ? g_array_index (l->memory, guint32, item) : 0;
}

static void
memory_set (lead_t *l, guint32 item, guint32 mb)
{
  if (l->memory->len <= item)
    g_array_set_size (l->memory, item + 1);
  g_array_index (l->memory, guint32, item) = mb;
}

static void
item_declare (lead_t *l, const pu_model_t *m)
{
  guint32 item = pu_names_intern (&l->items, m->name);
  pu_plan_item_t t = { .name = pu_names_name (&l->items, item),
                       .base = PU_PLAN_NONE,
                       .previous_version = PU_PLAN_NONE,
                       .memory_mb = pu_model_load_mb (m),
                       .accelerators = m->accelerators,
                       .min_copies = m->min_copies,
                       .max_copies = m->max_copies,
                       .importance = 5 };

  memory_set (l, item, t.memory_mb);
  if (m->kind == PU_MODEL_ADAPTER)
    {
      pu_dispatcher_set_adapter (l->dispatcher, item);
      pu_adapters_add (l->adapters, item,
                       pu_names_intern (&l->items, m->base_name));
    }
  else
    {
      pu_dispatcher_set_item_memory (l->dispatcher, item, t.memory_mb);
      pu_planner_set_item (l->planner, item, &t);
    }
}

static void
options_set (const pu_sequenced_t *s, lead_t *l)
{
  const pu_placement_settings_t *p = pu_document_placement (l->document);
  pu_planner_options_t o;

  pu_planner_options_init (&o);
  o.moves_weight = p->moves_weight;
  o.payback_s = p->payback_s;
  o.min_stay_s = p->min_stay_s;
  o.zone_spread = p->zone_spread;
  o.max_concurrent_loads = p->store_full_speed;
  o.forecast_period_ms = s->o.plan_ms;
  o.move_price = 1;
  o.serial_loads = true;
  o.forecast.fast_s = FORECAST_FAST_S;
  o.forecast.mid_s = FORECAST_MID_S;
  o.forecast.slow_s = FORECAST_SLOW_S;
  o.forecast.peak_decay_s = FORECAST_PEAK_DECAY_S;
  o.forecast.horizon_s = FORECAST_HORIZON_S;
  pu_planner_set_options (l->planner, &o);
  l->store_rate = p->store_loads_per_s;
}

/* Every adapter that was declared counts: an engine may hold one yet that is
   declared no more.  */
static guint32
largest_adapter (const lead_t *l)
{
  guint32 largest = 0;

  for (guint32 i = 0; i < l->memory->len; i++)
    {
      if (pu_adapters_contains (l->adapters, i))
        largest = MAX (largest, memory_of (l, i));
    }
  return largest;
}

static void
document_take (pu_sequenced_t *s)
{
  lead_t *l = s->lead;
  const pu_doc_record *r = pu_state_document (pu_control_state (s->o.control));
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
  for (guint32 i = 0; i < pu_names_count (&l->items); i++)
    pu_planner_set_item (l->planner, i, NULL);
  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    item_declare (l, pu_document_model (d, h));
  l->adapter_mb = largest_adapter (l);
  options_set (s, l);
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
  if (e->cached != NULL)
    g_hash_table_destroy (e->cached);
}

static void
engine_new (pu_sequenced_t *s, guint32 handle, const pu_backend_record *b)
{
  lead_t *l = s->lead;
  engine_t *e;

  if (l->engines->len <= handle)
    g_array_set_size (l->engines, handle + 1);
  e = pu_sequenced_engine (l, handle);
  if (e->name != NULL)
    return;
  e->name = g_strdup (b->name);
  e->incarnation = b->incarnation;
  e->zone = g_strdup (b->zone);
  e->service = g_strdup (b->service);
  e->cached = g_hash_table_new (NULL, NULL);
}

/* What a check-in says of models is as good a sign of a load's end as a
   report.  */
static void
copies_seen (pu_sequenced_t *s, guint32 handle, const pu_backend_record *b)
{
  lead_t *l = s->lead;

  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      guint32 item
          = pu_names_intern (&l->items, b->copies.copies_val[i].model);

      pu_dispatcher_mark_loaded (l->dispatcher, handle, item,
                                 pu_sequenced_now (s));
    }
}

static void
backend_take (const pu_backend_record *b, void *data)
{
  pu_sequenced_t *s = data;
  lead_t *l = s->lead;
  guint32 handle;
  engine_t *e;

  if (b->kind != PU_BACKEND_ENGINE)
    return;
  handle = pu_names_intern_incarnation (&l->engine_names, b->name,
                                        b->incarnation);
  engine_new (s, handle, b);
  e = pu_sequenced_engine (l, handle);
  g_free (e->address);
  e->address = g_strdup (b->address);
  e->usable = !b->down && !b->leaving;
  e->seen = true;
  if (b->down)
    {
      pu_dispatcher_remove_engine (l->dispatcher, handle);
      return;
    }
  pu_dispatcher_add_engine (l->dispatcher, handle, pu_sequenced_now (s));
  copies_seen (s, handle, b);
}

static void
state_take (pu_sequenced_t *s)
{
  const pu_state_t *state = pu_control_state (s->o.control);
  lead_t *l = s->lead;

  if (pu_state_change_count (state) == l->changes)
    return;
  l->changes = pu_state_change_count (state);
  document_take (s);
  for (guint i = 0; i < l->engines->len; i++)
    pu_sequenced_engine (l, i)->seen = false;
  pu_state_each_backend (state, backend_take, s);
  for (guint i = 0; i < l->engines->len; i++)
    {
      if (!pu_sequenced_engine (l, i)->seen)
        {
          pu_sequenced_engine (l, i)->usable = false;
          pu_dispatcher_remove_engine (l->dispatcher, i);
        }
    }
}

/* --- the store --- */

static void
store_refill (pu_sequenced_t *s, guint64 now)
{
  lead_t *l = s->lead;
  double ms = (double)(now - l->store_at);

  l->store = MIN (s->o.store_burst, l->store + ms / 1000 * l->store_rate);
  l->store_at = now;
}

/* --- planning --- */

static const pu_engine_class_t *
class_of (const lead_t *l, const engine_t *e)
{
  return l->document != NULL && e->service != NULL
             ? pu_document_engines (l->document, e->service)
             : NULL;
}

static pu_plan_phase_t
plan_phase (pu_dispatcher_phase_t phase)
{
  switch (phase)
    {
    case PU_DISPATCHER_QUEUED:
      return PU_PLAN_ORDERED;
    case PU_DISPATCHER_LOADING:
      return PU_PLAN_LOADING;
    case PU_DISPATCHER_READY:
      return PU_PLAN_READY;
    case PU_DISPATCHER_UNLOADING:
    case PU_DISPATCHER_ABSENT:
      break;
    }
  return PU_PLAN_LEAVING;
}

/* Memory that adapters may come to take on an engine of class C: as many of
   the largest as there are places.  */
static guint32
adapter_room (const lead_t *l, const pu_engine_class_t *c)
{
  return c->adapter_places * l->adapter_mb;
}

void
pu_sequenced_engine_plan (pu_sequenced_t *s, guint32 handle)
{
  lead_t *l = s->lead;
  const engine_t *e = pu_sequenced_engine (l, handle);
  const pu_engine_class_t *c = class_of (l, e);
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (l->dispatcher, handle, &n);
  pu_plan_engine_t p = { .accelerators = 1, .streams = ENGINE_STREAMS };

  if (c == NULL || e->name == NULL)
    return;
  g_array_set_size (s->copies, 0);
  for (guint i = 0; i < n; i++)
    {
      pu_plan_copy_t copy = { .item = items[i].item,
                              .memory_mb = memory_of (l, items[i].item),
                              .phase = plan_phase (items[i].phase) };

      if (pu_adapters_contains (l->adapters, items[i].item))
        continue;
      p.committed_mb += copy.memory_mb;
      g_array_append_val (s->copies, copy);
    }
  p.zone = pu_names_intern (&l->zones, e->zone);
  p.memory_mb = c->memory_mb - MIN (c->memory_mb, adapter_room (l, c));
  p.usable = e->usable && pu_dispatcher_accepts_orders (l->dispatcher, handle);
  p.closed
      = !p.usable || pu_dispatcher_has_unknown_order (l->dispatcher, handle);
  pu_dispatcher_set_capacity (l->dispatcher, handle, p.memory_mb);
  pu_dispatcher_set_adapter_slots (l->dispatcher, handle, c->adapter_places);
  p.copies = (const pu_plan_copy_t *)(void *)s->copies->data;
  p.n_copies = s->copies->len;
  pu_planner_set_engine (l->planner, handle, &p, pu_sequenced_now (s));
  pu_adapters_set_engine (l->adapters, handle, c->adapter_places, e->load,
                          p.usable);
}

static void
move_want (pu_sequenced_t *s, const pu_move_t *m)
{
  lead_t *l = s->lead;
  bool load = m->kind == PU_MOVE_LOAD;
  pu_dispatcher_order_t o
      = { load ? PU_DISPATCHER_LOAD : PU_DISPATCHER_UNLOAD, m->item, false };
  GString *why = g_string_new (NULL);

  pu_planner_explain_move (l->planner, m, why);
  if (pu_dispatcher_enqueue (l->dispatcher, m->engine, &o,
                             pu_sequenced_now (s)))
    {
      pu_log_info (PART, "Wanted: %.*s.", (int)why->len - 1, why->str);
    }
  else if (load)
    {
      pu_planner_block (l->planner, m->engine, m->item,
                        pu_sequenced_now (s) + s->o.plan_ms);
    }
  g_string_free (why, TRUE);
}

/* A model needs as many copies as hold the adapters in use.  */
static void
copies_demand (pu_sequenced_t *s, guint64 now)
{
  const lead_t *l = s->lead;
  const pu_document_t *d = l->document;

  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    {
      const pu_model_t *m = pu_document_model (d, h);
      pu_service_handle_t v = pu_document_default_service (d, h);
      guint places = pu_document_service (d, v)->engine.adapter_places;
      guint32 item;
      guint n;

      if (m->kind == PU_MODEL_ADAPTER || places == 0
          || !pu_names_find (&l->items, m->name, &item))
        continue;
      n = pu_adapters_count_active (l->adapters, item, now);
      pu_planner_set_min_copies (
          l->planner, item, MAX (m->min_copies, (n + places - 1) / places));
    }
}

/* Loads from the store that wait for their turn at it.  */
static guint
store_queue (const lead_t *l)
{
  guint waiting = 0;

  for (guint32 i = 0; i < l->engines->len; i++)
    {
      guint n;
      const pu_dispatcher_item_t *items
          = pu_dispatcher_items (l->dispatcher, i, &n);

      for (guint k = 0; k < n; k++)
        {
          waiting
              += items[k].phase == PU_DISPATCHER_QUEUED
                 && !pu_adapters_contains (l->adapters, items[k].item)
                 && !g_hash_table_contains (pu_sequenced_engine (l, i)->cached,
                                            GUINT_TO_POINTER (items[k].item));
        }
    }
  return waiting;
}

/* Loads that may be ordered: as many as the store lets begin, and one that
   begins before the next plan.  */
static guint
store_free (pu_sequenced_t *s)
{
  guint waiting = store_queue (s->lead);
  guint free;

  store_refill (s, pu_sequenced_now (s));
  free = (guint)s->lead->store + 1;
  return free - MIN (free, waiting);
}

static void
plan (pu_sequenced_t *s, guint64 now)
{
  lead_t *l = s->lead;

  if (l->document == NULL || now < l->next_plan)
    return;
  l->next_plan = now + s->o.plan_ms;
  for (guint32 i = 0; i < l->engines->len; i++)
    pu_sequenced_engine_plan (s, i);
  copies_demand (s, now);
  pu_planner_set_load_slots (l->planner, store_free (s));
  g_array_set_size (s->moves, 0);
  pu_planner_step (l->planner, now, s->moves);
  for (guint i = 0; i < s->moves->len; i++)
    move_want (s, &g_array_index (s->moves, pu_move_t, i));
  pu_adapters_replicate (l->adapters, now);
}

/* --- steps --- */

/* Whether a load may begin: one from the store takes one of its turns.  */
static bool
load_may (void *data, guint32 engine, const pu_dispatcher_order_t *o)
{
  pu_sequenced_t *s = data;
  lead_t *l = s->lead;
  const engine_t *e = pu_sequenced_engine (l, engine);

  if (o->op != PU_DISPATCHER_LOAD || o->adapter
      || g_hash_table_contains (e->cached, GUINT_TO_POINTER (o->item)))
    return true;
  if (l->store < 1)
    return false;
  l->store -= 1;
  return true;
}

static void
done_tell (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  lead_t *l = s->lead;
  bool failed = a->what == PU_DISPATCHER_ACTION_FAILED;

  pu_log_info (PART, "%s to %s %s on %s.", failed ? "Failed" : "Began",
               a->order.op == PU_DISPATCHER_LOAD ? "load" : "unload",
               pu_names_name (&l->items, a->order.item),
               pu_sequenced_engine (l, a->engine)->name);
  if (failed && !a->order.adapter && a->order.op == PU_DISPATCHER_LOAD)
    {
      pu_planner_block (l->planner, a->engine, a->order.item,
                        pu_sequenced_now (s) + s->o.plan_ms);
    }
}

static void
actions_carry_out (pu_sequenced_t *s, const GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const pu_dispatcher_action_t *a
          = &g_array_index (actions, pu_dispatcher_action_t, i);

      switch (a->what)
        {
        case PU_DISPATCHER_ACTION_SEND:
          pu_sequenced_send (s, a);
          break;
        case PU_DISPATCHER_ACTION_FETCH:
          pu_sequenced_fetch (s, a);
          break;
        case PU_DISPATCHER_ACTION_ACCEPTED:
        case PU_DISPATCHER_ACTION_FAILED:
          done_tell (s, a);
          break;
        }
    }
}

void
pu_sequenced_act (pu_sequenced_t *s)
{
  GArray *actions
      = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  guint64 now = pu_sequenced_now (s);

  store_refill (s, now);
  pu_dispatcher_step (s->lead->dispatcher, load_may, s, now, actions);
  actions_carry_out (s, actions);
  g_array_unref (actions);
}

void
pu_sequenced_act_engine (pu_sequenced_t *s, guint32 engine)
{
  GArray *actions
      = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  guint64 now = pu_sequenced_now (s);

  store_refill (s, now);
  pu_dispatcher_step_engine (s->lead->dispatcher, engine, load_may, s, now,
                             actions);
  actions_carry_out (s, actions);
  g_array_unref (actions);
}

/* --- the duty --- */

static void
lead_free (lead_t *l)
{
  if (l == NULL)
    return;
  pu_adapters_free (l->adapters);
  pu_dispatcher_free (l->dispatcher);
  pu_planner_free (l->planner);
  pu_names_clear (&l->items);
  pu_names_clear (&l->engine_names);
  pu_names_clear (&l->zones);
  g_array_unref (l->engines);
  g_array_unref (l->memory);
  pu_document_unref (l->document);
  g_free (l);
}

static lead_t *
lead_new (guint64 term, guint64 now)
{
  lead_t *l = g_new0 (lead_t, 1);
  pu_planner_options_t planner;
  pu_dispatcher_options_t o;

  pu_planner_options_init (&planner);
  pu_dispatcher_options_init (&o);
  o.poll_ms = POLL_MS;
  l->planner = pu_planner_new (&planner);
  l->dispatcher = pu_dispatcher_new (&o);
  l->adapters = pu_adapters_new (l->dispatcher);
  pu_names_init (&l->items);
  pu_names_init (&l->engine_names);
  pu_names_init (&l->zones);
  l->engines = g_array_new (FALSE, TRUE, sizeof (engine_t));
  g_array_set_clear_func (l->engines, engine_clear);
  l->memory = g_array_new (FALSE, TRUE, sizeof (guint32));
  l->changes = G_MAXUINT64;
  l->term = term;
  /* The leader before may have used the store up just now.  */
  l->store = 0;
  l->store_at = now;
  return l;
}

static void
on_begin (void *data, uint64_t now, uint64_t term)
{
  pu_sequenced_t *s = data;

  s->leads++;
  s->lead = lead_new (term, now);
}

static void
on_end (void *data)
{
  pu_sequenced_t *s = data;

  pu_sequenced_calls_cancel (s);
  pu_sequenced_wants_refuse (s);
  g_clear_pointer (&s->lead, lead_free);
}

static void
on_tick (void *data, uint64_t now)
{
  pu_sequenced_t *s = data;

  if (s->lead == NULL)
    return;
  state_take (s);
  plan (s, now);
  pu_sequenced_act (s);
  pu_sequenced_wants_check (s);
}

static void
on_demand (void *data, const char *model, guint32 requests, guint32 stream_ms)
{
  pu_sequenced_t *s = data;
  lead_t *l = s->lead;
  guint32 item;

  if (l == NULL || !pu_names_find (&l->items, model, &item))
    return;
  if (pu_adapters_contains (l->adapters, item))
    {
      pu_adapters_mark_used (l->adapters, item, pu_sequenced_now (s));
      item = pu_adapters_base (l->adapters, item);
    }
  pu_planner_add_demand (l->planner, item, requests, stream_ms);
}

/* --- life --- */

pu_sequenced_t *
pu_sequenced_new (const pu_sequenced_options_t *o)
{
  pu_sequenced_t *s = g_new0 (pu_sequenced_t, 1);
  pu_control_leader_task_t duty
      = { "placement", on_begin, on_tick, on_end, s };
  pu_http_client_options_t c
      = { .loop = o->loop, .connect_timeout_ms = o->connect_ms };

  s->o = *o;
  s->client = pu_http_client_new (&c);
  s->moves = g_array_new (FALSE, FALSE, sizeof (pu_move_t));
  s->copies = g_array_new (FALSE, FALSE, sizeof (pu_plan_copy_t));
  s->asked = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  g_queue_init (&s->wants);
  uv_timer_init (o->loop, &s->watch);
  s->watch.data = s;
  if (o->counters != NULL)
    {
      s->sent = pu_counters_get (o->counters, "placement_orders_sent_total");
      s->fetched
          = pu_counters_get (o->counters, "placement_reports_fetched_total");
      s->lost = pu_counters_get (o->counters, "placement_answers_lost_total");
    }
  pu_control_add_leader_task (o->control, &duty);
  pu_control_on_demand (o->control, on_demand, s);
  pu_control_on_want (o->control, pu_sequenced_on_want, s);
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
  pu_sequenced_calls_cancel (s);
  pu_sequenced_wants_refuse (s);
  lead_free (s->lead);
  s->lead = NULL;
  pu_http_client_free (s->client);
  g_array_unref (s->moves);
  g_array_unref (s->copies);
  g_hash_table_destroy (s->asked);
  uv_close ((uv_handle_t *)&s->watch, on_closed);
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
items_json (const lead_t *l, guint32 engine)
{
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (l->dispatcher, engine, &n);
  json_t *list = json_array ();

  for (guint i = 0; i < n; i++)
    {
      json_array_append_new (
          list, json_pack ("{s:s, s:s}", "model",
                           pu_names_name (&l->items, items[i].item), "phase",
                           phase_name (items[i].phase)));
    }
  return list;
}

json_t *
pu_sequenced_status (pu_sequenced_t *s)
{
  const lead_t *l = s->lead;
  json_t *engines = json_array ();

  for (guint32 i = 0; l != NULL && i < l->engines->len; i++)
    {
      const engine_t *e = pu_sequenced_engine (l, i);

      if (e->name == NULL || !e->seen)
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
