#include "placer/sequenced_private.h"

/* What the planner, the dispatcher and the adapters know of each engine.  */

/* Capacity of an engine in the unit of demand.  The planner measures demand in
   concurrent requests, but the daemons report demand to this module in
   milliseconds of one engine's time, so the capacity is 1.  The planner's
   option hot_utilization is 70 % by default.  */
#define ENGINE_STREAMS 1.0

static const pu_engine_class_t *
engine_class (const leader_state_t *l, const engine_t *e)
{
  return l->document != NULL && e->service != NULL
             ? pu_document_engine_class (l->document, e->service)
             : NULL;
}

static pu_plan_phase_t
to_plan_phase (pu_dispatcher_phase_t phase)
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
  return PU_PLAN_UNLOADING;
}

/* Returns the memory, in MB, reserved for adapters on an engine of class C:
   each adapter slot may hold the largest adapter.  */
static guint32
adapter_reserve_mb (const leader_state_t *l, const pu_engine_class_t *c)
{
  return c->adapter_places * l->max_adapter_mb;
}

/* Appends the models that the dispatcher knows ENGINE to hold to s->copies. */
static void
append_known_copies (pu_sequenced_t *s, guint32 engine)
{
  const leader_state_t *l = s->leader;
  guint n;
  const pu_dispatcher_item_t *items
      = pu_dispatcher_items (l->dispatcher, engine, &n);

  for (guint i = 0; i < n; i++)
    {
      pu_plan_copy_t copy
          = { .item = items[i].item,
              .memory_mb = pu_sequenced_item_memory_mb (l, items[i].item),
              .phase = to_plan_phase (items[i].phase) };

      if (!pu_adapters_contains (l->adapters, items[i].item))
        g_array_append_val (s->copies, copy);
    }
}

/* Appends the models that E holds by its last check-in to s->copies.  */
static void
append_recorded_copies (pu_sequenced_t *s, const engine_t *e)
{
  const leader_state_t *l = s->leader;
  const pu_backend_record *b
      = pu_state_backend (pu_control_state (s->options.control), e->name);

  if (b == NULL || b->incarnation != e->incarnation)
    return;
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      pu_plan_copy_t copy = { .phase = PU_PLAN_READY };

      if (c->phase != PU_COPY_READY
          || !pu_names_find (&l->item_names, c->model, &copy.item)
          || pu_adapters_contains (l->adapters, copy.item))
        continue;
      copy.memory_mb = pu_sequenced_item_memory_mb (l, copy.item);
      g_array_append_val (s->copies, copy);
    }
}

/* Fills s->copies with the models on the engine HANDLE.  Until its first
   report, a new leader takes them from the state: otherwise it would load them
   elsewhere.  */
static void
find_copies (pu_sequenced_t *s, guint32 handle, bool awaits_report)
{
  g_array_set_size (s->copies, 0);
  if (awaits_report)
    {
      append_recorded_copies (s, pu_sequenced_get_engine (s->leader, handle));
    }
  else
    {
      append_known_copies (s, handle);
    }
}

static guint32
sum_memory_mb (const GArray *copies)
{
  guint32 mb = 0;

  for (guint i = 0; i < copies->len; i++)
    mb += g_array_index (copies, pu_plan_copy_t, i).memory_mb;
  return mb;
}

static void
refresh_engine (pu_sequenced_t *s, guint32 handle)
{
  leader_state_t *l = s->leader;
  const engine_t *e = pu_sequenced_get_engine (l, handle);
  const pu_engine_class_t *c = engine_class (l, e);
  bool ordered = pu_dispatcher_accepts_orders (l->dispatcher, handle);
  bool awaits_report
      = pu_dispatcher_awaits_first_report (l->dispatcher, handle);
  pu_plan_engine_t p = { .accelerators = 1, .streams = ENGINE_STREAMS };

  if (c == NULL || e->name == NULL)
    return;
  find_copies (s, handle, awaits_report);
  p.committed_mb = sum_memory_mb (s->copies);
  p.zone = pu_names_intern (&l->zone_names, e->zone);
  p.memory_mb = c->memory_mb - MIN (c->memory_mb, adapter_reserve_mb (l, c));
  p.usable = e->usable && (ordered || awaits_report);
  p.unreachable
      = pu_outages_refuses (l->outages, handle, pu_sequenced_now (s));
  p.loads_suspended
      = !e->usable || !ordered || p.unreachable
        || !pu_sequenced_may_order (s, handle)
        || pu_dispatcher_has_unknown_order (l->dispatcher, handle);
  if (s->options.slowness != NULL)
    p.slowness = s->options.slowness (s->options.data, e->name);
  pu_dispatcher_set_capacity (l->dispatcher, handle, p.memory_mb);
  pu_dispatcher_set_adapter_slots (l->dispatcher, handle, c->adapter_places);
  p.copies = (const pu_plan_copy_t *)(void *)s->copies->data;
  p.n_copies = s->copies->len;
  pu_planner_set_engine (l->planner, handle, &p, pu_sequenced_now (s));
  pu_adapters_set_engine (l->adapters, handle, c->adapter_places,
                          e->reported_requests, e->usable && ordered,
                          pu_sequenced_may_order (s, handle));
}

void
pu_sequenced_refresh_engines (pu_sequenced_t *s, guint64 max_age_ms)
{
  leader_state_t *l = s->leader;
  guint64 now = pu_sequenced_now (s);

  if (l->refreshed_ms != 0 && now < l->refreshed_ms + max_age_ms)
    return;
  l->refreshed_ms = now;
  for (guint32 i = 0; i < l->engines->len; i++)
    refresh_engine (s, i);
}
