#include "placer/placer_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

#define DEFAULT_LEASE_MS 800
#define DEFAULT_ORDER_LIFE_MS 60000
#define DEFAULT_CONNECT_MS 1000
#define DEFAULT_REPORT_INTERVAL_MS 1000
#define DEFAULT_PLAN_INTERVAL_MS 1000
#define DEFAULT_STREAMS_PER_ACCELERATOR 16.0
/* Number of equal parts of the lifetime of an order: sending, transit and
   report.  */
#define ORDER_LIFE_PHASES 3
#define US_PER_MS 1000

void
pu_placer_options_init (pu_placer_options_t *o)
{
  memset (o, 0, sizeof *o);
  pu_planner_options_init (&o->placement.planner);
  pu_orders_options_init (&o->placement.orders);
  o->streams_per_accelerator = DEFAULT_STREAMS_PER_ACCELERATOR;
}

static guint32
value_or_default (guint32 value, guint32 default_value)
{
  return value != 0 ? value : default_value;
}

static void
set_timeouts (pu_placer_options_t *o)
{
  pu_orders_options_t *r = &o->placement.orders;

  o->lease_ms = value_or_default (o->lease_ms, DEFAULT_LEASE_MS);
  o->order_life_ms
      = value_or_default (o->order_life_ms, DEFAULT_ORDER_LIFE_MS);
  o->connect_ms = value_or_default (o->connect_ms, DEFAULT_CONNECT_MS);
  o->report_interval_ms
      = value_or_default (o->report_interval_ms, DEFAULT_REPORT_INTERVAL_MS);
  o->plan_interval_ms
      = value_or_default (o->plan_interval_ms, DEFAULT_PLAN_INTERVAL_MS);
  r->lease_ms = o->lease_ms;
  r->send_ms = o->order_life_ms / ORDER_LIFE_PHASES;
  r->transit_ms = o->order_life_ms / ORDER_LIFE_PHASES;
  r->report_ms = o->order_life_ms - r->send_ms - r->transit_ms;
  r->retry_ms = MIN (r->retry_ms, r->send_ms / 2);
}

/* Injects faults for the process tests; without effect in builds without
   PU_BREAKS.  */
static void
set_test_breaks (pu_placer_options_t *o)
{
  o->placement.orders.test_breaks |= pu_break_bit (
      PU_BREAK_TIMEOUT_FREES, PU_ORDERS_BREAK_RELEASE_ON_TIMEOUT);
  o->placement.planner.test_breaks |= pu_break_bit (
      PU_BREAK_LAST_COPY_UNLOADED, PU_PLANNER_BREAK_LAST_COPY);
}

/* --- counters --- */

static void
count_event (pu_placer_t *p, pu_counter_t counter)
{
  if (p->o.counters != NULL)
    pu_counters_add (p->o.counters, counter, 1);
}

/* --- proposals to the log --- */

static bool
is_reserve_pending (void *data, guint32 backend, guint32 copy)
{
  const pu_placer_t *p = data;
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, p->pending_reserves);
  while (g_hash_table_iter_next (&i, &key, NULL))
    {
      const pu_placer_pending_reserve_t *r = key;

      if (r->backend == backend && r->copy == copy)
        return true;
    }
  return false;
}

static void
on_reserved (void *data, const pu_reply *reply, const pu_error_t *e)
{
  pu_placer_pending_reserve_t *r = data;
  pu_placer_t *p = r->placer;
  bool accepted = e->kind == PU_OK && reply->outcome == PU_OUTCOME_DONE;
  guint64 token = accepted ? reply->position : 0;

  if (p->sync == NULL || r->takeover != p->takeovers)
    {
      g_free (r);
      return;
    }
  g_hash_table_remove (p->pending_reserves, r);
  if (accepted)
    {
      pu_placer_sync_add_order (p->sync, token);
    }
  else
    {
      count_event (p, p->counters.reserves_refused);
      pu_placer_sync_add_failure (p->sync, r->backend, r->copy);
      pu_log_info (PU_PLACER_PART, "Reservation for %s on %s failed: %s",
                   pu_placer_sync_copy_model (p->sync, r->copy),
                   pu_names_name (&p->sync->backends, r->backend),
                   e->kind == PU_OK ? reply->detail : e->message);
    }
  pu_placement_handle_reserved (p->sync->placement, r->id, accepted, token,
                                pu_control_now (p->o.control));
  g_free (r);
}

/* Returns the state record of the order R; its strings are borrowed.  */
static pu_order_record
order_record_of (const pu_placer_t *p, const pu_orders_order_t *r)
{
  const pu_placer_sync_t *sync = p->sync;
  pu_order_record o = { 0 };

  o.token = r->token;
  o.kind = (pu_order_kind)r->spec.kind;
  o.backend = (char *)pu_names_name (&sync->backends, r->spec.backend);
  o.incarnation = r->spec.incarnation;
  o.model = (char *)pu_placer_sync_copy_model (sync, r->spec.copy);
  o.model_version = (char *)pu_placer_sync_copy_version (sync, r->spec.copy);
  o.memory_mb = r->spec.memory_mb;
  o.wall = (guint64)(g_get_real_time () / US_PER_MS);
  o.life_ms = (u_int)pu_orders_life_ms (&p->o.placement.orders);
  o.reason = (char *)pu_placer_move_reason (r->spec.reason);
  return o;
}

static void
propose_reserve (pu_placer_t *p, const pu_orders_order_t *r)
{
  pu_command c = { 0 };
  pu_placer_pending_reserve_t *n = g_new0 (pu_placer_pending_reserve_t, 1);

  n->placer = p;
  n->takeover = p->takeovers;
  n->id = r->id;
  n->backend = r->spec.backend;
  n->copy = r->spec.copy;
  g_hash_table_add (p->pending_reserves, n);
  count_event (p, p->counters.reserves);
  c.type = PU_COMMAND_RESERVE;
  c.pu_command_u.reserve = order_record_of (p, r);
  pu_control_propose (p->o.control, &c, on_reserved, n);
}

static void
on_released (void *data, const pu_reply *reply, const pu_error_t *e)
{
  (void)data;
  if (e->kind == PU_OK && reply->outcome == PU_OUTCOME_REFUSED)
    {
      pu_log_debug (PU_PLACER_PART, "RELEASE refused: %s", reply->detail);
    }
}

static void
propose_release (pu_placer_t *p, const pu_orders_order_t *r)
{
  pu_command c = { 0 };

  count_event (p, p->counters.releases);
  c.type = PU_COMMAND_RELEASE;
  c.pu_command_u.release.token = r->token;
  c.pu_command_u.release.proof = (char *)"the life of the order is over";
  pu_control_propose (p->o.control, &c, on_released, NULL);
}

/* --- orders to engines --- */

/* Records the failure of the order TOKEN, which the engine refused.  */
static void
record_refusal (pu_placer_t *p, guint64 token)
{
  const pu_order_record *o
      = pu_state_order (pu_control_state (p->o.control), token);

  if (o == NULL)
    return;
  pu_placer_sync_add_failure (
      p->sync, pu_names_intern (&p->sync->backends, o->backend),
      pu_placer_sync_intern_copy (p->sync, o->model, o->model_version));
}

static void
on_answer (void *data, guint64 token, pu_orders_answer_t answer)
{
  pu_placer_t *p = data;

  if (answer == PU_ORDERS_LOST)
    count_event (p, p->counters.answers_lost);
  if (p->sync == NULL)
    return;
  if (answer != PU_ORDERS_LOST && answer != PU_ORDERS_ACCEPTED)
    record_refusal (p, token);
  pu_placement_handle_answer (p->sync->placement, token, answer,
                              pu_control_now (p->o.control));
}

static const char *
order_verb (const pu_orders_order_t *r)
{
  return r->spec.kind == PU_LEDGER_LOAD ? "load" : "unload";
}

/* Returns why R must not be sent to the backend server B of the replicated
   state, or NULL if it may be sent.  Reads the clock again: the tick that
   decided to send R may have taken long.  */
static const char *
send_obstacle (const pu_placer_t *p, const pu_orders_order_t *r,
               const pu_backend_record *b)
{
  if (b == NULL || b->down)
    return "the backend server is down";
  if (b->incarnation != r->spec.incarnation)
    return "the backend server has restarted";
  if (!pu_control_is_leader (p->o.control))
    return "this voter does not lead";
  if (pu_control_now (p->o.control) >= r->send_deadline)
    return "it is too late to send it";
  return NULL;
}

static void
send_order (pu_placer_t *p, const pu_orders_order_t *r, guint64 now)
{
  pu_order_record o = order_record_of (p, r);
  const pu_backend_record *b
      = pu_state_backend (pu_control_state (p->o.control), o.backend);
  const char *obstacle = send_obstacle (p, r, b);

  if (obstacle == NULL
      && !pu_order_sender_send (p->sender, b->address, &o, now))
    obstacle = "the address of the backend server is invalid";
  if (obstacle == NULL)
    {
      count_event (p, p->counters.orders_sent);
      return;
    }
  pu_log_warn (PU_PLACER_PART,
               "Did not send the order to %s %s version %s on %s: %s.",
               order_verb (r), o.model, o.model_version, o.backend, obstacle);
  pu_placement_handle_unsent (p->sync->placement, r->token, now);
}

static void
report_failure (pu_placer_t *p, const pu_orders_order_t *r)
{
  pu_placer_sync_t *sync = p->sync;

  count_event (p, p->counters.orders_failed);
  pu_placer_sync_add_failure (sync, r->spec.backend, r->spec.copy);
  pu_log_note (PU_PLACER_PART,
               "Abandoned the order to %s %s version %s on %s.",
               order_verb (r), pu_placer_sync_copy_model (sync, r->spec.copy),
               pu_placer_sync_copy_version (sync, r->spec.copy),
               pu_names_name (&sync->backends, r->spec.backend));
}

static void
report_unsent (const pu_placer_t *p, const pu_orders_order_t *r, guint64 now)
{
  const pu_placer_sync_t *sync = p->sync;

  pu_log_note (
      PU_PLACER_PART,
      "Gave up the order to %s %s version %s on %s, which was never "
      "sent: %" G_GUINT64_FORMAT " ms have passed since its proposal.",
      order_verb (r), pu_placer_sync_copy_model (sync, r->spec.copy),
      pu_placer_sync_copy_version (sync, r->spec.copy),
      pu_names_name (&sync->backends, r->spec.backend), now - r->proposed_at);
}

static void
execute_action (pu_placer_t *p, const pu_orders_action_t *a, guint64 now)
{
  switch (a->kind)
    {
    case PU_ORDERS_ACTION_RESERVE:
      propose_reserve (p, &a->order);
      return;
    case PU_ORDERS_ACTION_SEND:
      send_order (p, &a->order, now);
      return;
    case PU_ORDERS_ACTION_RELEASE:
      propose_release (p, &a->order);
      return;
    case PU_ORDERS_ACTION_FAIL:
      report_failure (p, &a->order);
      return;
    case PU_ORDERS_ACTION_UNSENT:
      report_unsent (p, &a->order, now);
      return;
    case PU_ORDERS_ACTION_FENCE:
      return;
    }
}

/* --- leader task --- */

static void
on_begin (void *data, uint64_t now, uint64_t term)
{
  pu_placer_t *p = data;

  (void)term;
  p->takeovers++;
  p->next_plan_at = now;
  p->sync
      = pu_placer_sync_new (pu_control_state (p->o.control), &p->o.placement,
                            p->o.streams_per_accelerator, now);
}

static void
on_end (void *data)
{
  pu_placer_t *p = data;

  pu_order_sender_cancel_all (p->sender);
  g_hash_table_remove_all (p->pending_reserves);
  g_clear_pointer (&p->sync, pu_placer_sync_free);
}

static bool
begin_plan_if_due (pu_placer_t *p, bool urgent, guint64 now)
{
  if (p->sync->document == NULL || (!urgent && now < p->next_plan_at))
    return false;
  p->next_plan_at = now + p->o.plan_interval_ms;
  count_event (p, p->counters.plans);
  return true;
}

static void
on_tick (void *data, uint64_t now)
{
  pu_placer_t *p = data;
  bool urgent;

  if (p->sync == NULL)
    return;
  pu_order_sender_expire (p->sender, now);
  urgent = pu_placer_sync_update (p->sync, is_reserve_pending, p, now);
  g_array_set_size (p->actions, 0);
  pu_placement_step (p->sync->placement, begin_plan_if_due (p, urgent, now),
                     now, p->actions);
  for (guint i = 0; i < p->actions->len && p->sync != NULL; i++)
    {
      execute_action (p, &g_array_index (p->actions, pu_orders_action_t, i),
                      now);
    }
}

static void
on_demand (void *data, const char *model, guint32 requests, guint32 stream_ms)
{
  pu_placer_t *p = data;
  guint32 item;

  if (p->sync == NULL || !pu_names_find (&p->sync->items, model, &item))
    return;
  pu_planner_add_demand (pu_placement_planner (p->sync->placement), item,
                         requests, stream_ms);
}

static void
on_urgency (void *data, const char *model, guint32 stream_ms,
            guint32 weighted_ms)
{
  pu_placer_t *p = data;
  guint32 item;

  if (p->sync == NULL || !pu_names_find (&p->sync->items, model, &item))
    return;
  pu_planner_add_urgency (pu_placement_planner (p->sync->placement), item,
                          stream_ms, weighted_ms);
}

/* --- construction --- */

static void
init_counters (pu_placer_t *p)
{
  pu_counters_t *c = p->o.counters;

  if (c == NULL)
    return;
  p->counters.plans = pu_counters_get (c, "placement_plans_total");
  p->counters.reserves = pu_counters_get (c, "placement_reservations_total");
  p->counters.reserves_refused
      = pu_counters_get (c, "placement_reservations_refused_total");
  p->counters.orders_sent = pu_counters_get (c, "placement_orders_sent_total");
  p->counters.answers_lost
      = pu_counters_get (c, "placement_answers_lost_total");
  p->counters.releases = pu_counters_get (c, "placement_releases_total");
  p->counters.orders_failed
      = pu_counters_get (c, "placement_orders_failed_total");
}

pu_placer_t *
pu_placer_new (const pu_placer_options_t *o)
{
  pu_placer_t *p = g_new0 (pu_placer_t, 1);
  pu_control_leader_task_t task
      = { "placement", on_begin, on_tick, on_end, p };
  pu_order_sender_options_t s = { 0 };

  p->o = *o;
  set_timeouts (&p->o);
  set_test_breaks (&p->o);
  s.loop = o->loop;
  s.connect_ms = p->o.connect_ms;
  s.transit_ms = (guint)p->o.placement.orders.transit_ms;
  s.answer = on_answer;
  s.data = p;
  p->sender = pu_order_sender_new (&s);
  p->pending_reserves = g_hash_table_new (NULL, NULL);
  p->actions = g_array_new (FALSE, FALSE, sizeof (pu_orders_action_t));
  init_counters (p);
  pu_control_add_leader_task (o->control, &task);
  pu_control_on_demand (o->control, on_demand, p);
  pu_control_on_urgency (o->control, on_urgency, p);
  return p;
}

void
pu_placer_free (pu_placer_t *p)
{
  if (p == NULL)
    return;
  pu_placer_sync_free (p->sync);
  pu_order_sender_free (p->sender);
  g_hash_table_unref (p->pending_reserves);
  g_array_unref (p->actions);
  g_free (p);
}
