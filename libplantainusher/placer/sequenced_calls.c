#include "placer/sequenced_private.h"

#include <string.h>

#include "base/log.h"
#include "http/fetch.h"

/* HTTP calls to engines: orders, and fetches of their reports.  */

#define PART "placer"

enum
{
  BODY_MAX_BYTES = 262144, /* largest response to an order or a fetch */
  HTTP_STATUS_OK = 200,
  /* Time-out of a fetch: a report that takes longer is of no use.  */
  REPORT_TIMEOUT_MS = 600,
  REPORT_AGE_MS = 300, /* assumed age of the numbers in a report when
                          the engine sends it */
  LOG_INTERVAL_MS = 10000,
  SEQ_TERM_SHIFT = 40, /* number of low bits of a sequence number
                          that count the reports of one term */
};

/* An order, a fetch or a probe in flight.  */
typedef struct
{
  pu_sequenced_t *owner;
  guint64 leader_epoch; /* leader_epoch of the owner when the call started */
  guint32 engine;
  bool order; /* an order, else a fetch or a probe */
  guint64 started_ms;
  pu_http_fetch_t *fetch;
} call_t;

static void
count (const pu_sequenced_t *s, pu_counter_t c)
{
  if (s->options.counters != NULL)
    pu_counters_add (s->options.counters, c, 1);
}

static call_t *
call_new (pu_sequenced_t *s, guint32 engine, bool order)
{
  call_t *a = g_new0 (call_t, 1);

  a->owner = s;
  a->leader_epoch = s->leader_epoch;
  a->engine = engine;
  a->order = order;
  a->started_ms = pu_sequenced_now (s);
  g_hash_table_add (s->calls, a);
  return a;
}

/* Records that A, if it is an order, has ended.  */
static void
record_order (const call_t *a, bool answered)
{
  pu_sequenced_t *s = a->owner;

  if (a->order)
    {
      pu_order_turns_record (
          s->turns, pu_sequenced_get_engine (s->leader, a->engine)->name,
          answered, pu_sequenced_now (s));
    }
}

/* Frees the call A, which has ended.  Returns false when its result is void
   because the leadership in which it was started has ended.  */
static bool
call_end (call_t *a, bool answered)
{
  pu_sequenced_t *s = a->owner;
  bool current = s->leader != NULL && a->leader_epoch == s->leader_epoch;

  if (current)
    record_order (a, answered);
  g_hash_table_remove (s->calls, a);
  return current;
}

/* Returns what the end RESULT of an order without an answer tells.  */
static pu_dispatcher_answer_t
no_answer_kind (const pu_http_result_t *result)
{
  return result->refused ? PU_DISPATCHER_UNDELIVERED : PU_DISPATCHER_NO_ANSWER;
}

static void
on_order_answer (void *data, const pu_http_fetched_t *f)
{
  call_t a = *(call_t *)data;
  bool complete = pu_http_fetched_in_order (f);
  pu_dispatcher_answer_t answer
      = complete ? a.owner->options.wire->order_answer (f->response->status)
                 : no_answer_kind (&f->result);

  if (!call_end (data, complete))
    return;
  pu_sequenced_note_call (a.owner, a.engine, &f->result, a.started_ms);
  if (answer == PU_DISPATCHER_NO_ANSWER)
    count (a.owner, a.owner->answers_lost);
  if (answer != PU_DISPATCHER_ACCEPTED && answer != PU_DISPATCHER_COMPLETED)
    {
      pu_log_info (PART, "Engine %s answered an order: %d (%s).",
                   pu_sequenced_get_engine (a.owner->leader, a.engine)->name,
                   complete ? f->response->status : 0,
                   pu_http_end_name (f->result.kind));
    }
  pu_dispatcher_handle_answer (a.owner->leader->dispatcher, a.engine, answer,
                               pu_sequenced_now (a.owner));
  pu_sequenced_step (a.owner);
}

static bool
call_start (pu_sequenced_t *s, guint32 engine,
            const pu_http_call_options_t *shared, pu_http_fetch_cb cb)
{
  const engine_t *e = pu_sequenced_get_engine (s->leader, engine);
  const pu_http_header_t headers[]
      = { { "Content-Type", "application/json" },
          { s->options.wire->engine_header, e->name } };
  pu_http_call_options_t o = *shared;
  call_t *a = call_new (s, engine, cb == on_order_answer);

  o.address = e->address;
  o.headers = headers;
  o.header_count = G_N_ELEMENTS (headers);
  a->fetch = pu_http_fetch (s->client, &o, BODY_MAX_BYTES, cb, a, NULL);
  if (a->fetch != NULL)
    return true;
  call_end (a, true);
  return false;
}

void
pu_sequenced_send_order (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  leader_state_t *l = s->leader;
  pu_wire_order_t o = { .op = a->order.op,
                        .model = pu_names_name (&l->item_names, a->order.item),
                        .engine = pu_sequenced_get_engine (l, a->engine)->name,
                        .holder = s->options.name,
                        .fence = l->term,
                        .expected = a->expected };
  char *body = s->options.wire->order_body (&o);
  pu_http_call_options_t call
      = { .method = "POST",
          .target = s->options.wire->order_target,
          .body = g_bytes_new_take (body, strlen (body)),
          .fresh = true,
          .reset = true,
          .first_byte_timeout_ms = s->options.order_timeout_ms,
          .progress_timeout_ms = s->options.order_timeout_ms };

  count (s, s->orders_sent);
  if (o.op == PU_DISPATCHER_UNLOAD && !a->order.adapter
      && s->options.on_unload != NULL)
    s->options.on_unload (s->options.data, o.engine, o.model);
  if (!pu_control_is_leader (s->options.control)
      || !call_start (s, a->engine, &call, on_order_answer))
    {
      pu_dispatcher_handle_answer (l->dispatcher, a->engine,
                                   PU_DISPATCHER_NO_ANSWER,
                                   pu_sequenced_now (s));
    }
  g_bytes_unref (call.body);
}

static void on_report (void *data, const pu_http_fetched_t *f);

void
pu_sequenced_fetch_report (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  pu_http_call_options_t call = { .method = "GET",
                                  .target = s->options.wire->report_target,
                                  .first_byte_timeout_ms = REPORT_TIMEOUT_MS,
                                  .progress_timeout_ms = REPORT_TIMEOUT_MS };

  count (s, s->reports_fetched);
  if (!call_start (s, a->engine, &call, on_report))
    {
      pu_dispatcher_handle_report (s->leader->dispatcher, a->engine, NULL,
                                   pu_sequenced_now (s), pu_sequenced_now (s));
    }
}

static void
on_probe_end (void *data, const pu_http_fetched_t *f)
{
  call_t a = *(call_t *)data;

  if (!call_end (data, true))
    return;
  if (f->result.kind == PU_HTTP_END_COMPLETE)
    {
      pu_sequenced_note_connection (a.owner, a.started_ms);
    }
  else
    {
      pu_sequenced_note_call (a.owner, a.engine, &f->result, a.started_ms);
      if (a.owner->leader != NULL && f->result.refused)
        pu_sequenced_probe_another (a.owner, a.engine);
    }
}

void
pu_sequenced_probe (pu_sequenced_t *s, guint32 engine)
{
  pu_http_call_options_t call = { .method = "GET",
                                  .target = s->options.wire->report_target,
                                  .fresh = true,
                                  .connect_only = true };

  if (!call_start (s, engine, &call, on_probe_end))
    {
      pu_log_info (PART, "Engine %s can't be probed.",
                   pu_sequenced_get_engine (s->leader, engine)->name);
    }
}

static GArray *
items_by_names (leader_state_t *l, const GPtrArray *names)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (guint32));

  for (guint i = 0; i < names->len; i++)
    {
      guint32 item = pu_names_intern (&l->item_names, names->pdata[i]);

      g_array_append_val (items, item);
    }
  return items;
}

static void
add_cached (leader_state_t *l, guint32 engine, const GPtrArray *names)
{
  engine_t *e = pu_sequenced_get_engine (l, engine);

  for (guint i = 0; i < names->len; i++)
    {
      guint32 item = pu_names_intern (&l->item_names, names->pdata[i]);

      g_hash_table_add (e->cached_items, GUINT_TO_POINTER (item));
      pu_planner_set_cached (l->planner, engine, item, true);
    }
}

/* Clears the cached items of ENGINE; the caller then adds those of a new
   report.  */
static void
clear_cached (leader_state_t *l, guint32 engine)
{
  engine_t *e = pu_sequenced_get_engine (l, engine);
  GHashTableIter it;
  gpointer item;

  g_hash_table_iter_init (&it, e->cached_items);
  while (g_hash_table_iter_next (&it, &item, NULL))
    pu_planner_set_cached (l->planner, engine, GPOINTER_TO_UINT (item), false);
  g_hash_table_remove_all (e->cached_items);
}

/* Passes the load of E from its report R to options.on_load_report.  The term
   of the leader is in the high bits of the sequence number, so that a later
   leader's numbers are higher.  */
static void
notify_load (pu_sequenced_t *s, const engine_t *e, const call_t *a,
             const pu_wire_report_t *r)
{
  leader_state_t *l = s->leader;
  pu_router_report_t load
      = { .seq = (l->term << SEQ_TERM_SHIFT) + ++l->n_load_reports,
          .running = r->running,
          .waiting = r->waiting,
          .age_ms
          = (guint)(pu_sequenced_now (s) - a->started_ms) + REPORT_AGE_MS };

  if (s->options.on_load_report != NULL)
    s->options.on_load_report (s->options.data, e->name, &load);
}

static void
apply_report (pu_sequenced_t *s, const call_t *a, const pu_wire_report_t *r)
{
  leader_state_t *l = s->leader;
  engine_t *e = pu_sequenced_get_engine (l, a->engine);
  GArray *held = items_by_names (l, r->held);
  GArray *coming = items_by_names (l, r->coming);
  pu_dispatcher_report_t report
      = { .accepted = r->accepted,
          .busy = r->busy,
          .loaded = (const guint32 *)(void *)held->data,
          .n_loaded = held->len,
          .loading = (const guint32 *)(void *)coming->data,
          .n_loading = coming->len };

  clear_cached (l, a->engine);
  add_cached (l, a->engine, r->in_memory);
  add_cached (l, a->engine, r->on_disk);
  e->reported_requests = r->running + r->waiting;
  pu_dispatcher_handle_report (l->dispatcher, a->engine, &report,
                               a->started_ms, pu_sequenced_now (s));
  notify_load (s, e, a, r);
  g_array_unref (held);
  g_array_unref (coming);
}

/* Returns whether R comes from the incarnation of E that is in the log; true
   when either incarnation is unknown.  An engine that has restarted under the
   same name gets its new handle with its next check-in.  */
static bool
is_of_incarnation (const pu_wire_report_t *r, const engine_t *e)
{
  return r->incarnation == 0 || e->incarnation == PU_INCARNATION_UNREPORTED
         || r->incarnation == e->incarnation;
}

static void
init_wire_report (pu_wire_report_t *r)
{
  *r = (pu_wire_report_t){
    .held = g_ptr_array_new_with_free_func (g_free),
    .coming = g_ptr_array_new_with_free_func (g_free),
    .in_memory = g_ptr_array_new_with_free_func (g_free),
    .on_disk = g_ptr_array_new_with_free_func (g_free),
  };
}

static void
clear_wire_report (pu_wire_report_t *r)
{
  g_ptr_array_free (r->held, TRUE);
  g_ptr_array_free (r->coming, TRUE);
  g_ptr_array_free (r->in_memory, TRUE);
  g_ptr_array_free (r->on_disk, TRUE);
}

/* Counts and logs the names that were left out of the report R of E.  */
static void
note_left_out (pu_sequenced_t *s, const engine_t *e, const pu_wire_report_t *r)
{
  if (r->left_out == 0)
    return;
  count (s, s->reports_cut);
  if (pu_log_limited (&s->cut_report_logged_ms, pu_sequenced_now (s),
                      LOG_INTERVAL_MS))
    {
      pu_log_warn (PART,
                   "Engine %s reports %u models or adapters whose name is too "
                   "long; they are ignored.",
                   e->name, r->left_out);
    }
}

static void
on_report (void *data, const pu_http_fetched_t *f)
{
  call_t a = *(call_t *)data;
  pu_sequenced_t *s = a.owner;
  bool complete
      = pu_http_fetched_in_order (f) && f->response->status == HTTP_STATUS_OK;
  pu_findings_t *findings;
  pu_wire_report_t r;
  bool busy;

  if (!call_end (data, complete))
    return;
  pu_sequenced_note_call (s, a.engine, &f->result, a.started_ms);
  busy = pu_dispatcher_is_busy (s->leader->dispatcher, a.engine);
  findings = pu_findings_new ();
  init_wire_report (&r);
  if (complete
      && s->options.wire->report_read (f->body, f->body_len, &r, findings)
      && is_of_incarnation (&r, pu_sequenced_get_engine (s->leader, a.engine)))
    {
      note_left_out (s, pu_sequenced_get_engine (s->leader, a.engine), &r);
      apply_report (s, &a, &r);
    }
  else
    {
      pu_dispatcher_handle_report (s->leader->dispatcher, a.engine, NULL,
                                   a.started_ms, pu_sequenced_now (s));
    }
  clear_wire_report (&r);
  pu_findings_free (findings);
  /* When the load on this engine has ended, a load on another engine may start
     to read from the weights store.  */
  if (busy && !pu_dispatcher_is_busy (s->leader->dispatcher, a.engine))
    {
      pu_sequenced_step (s);
    }
  else
    {
      pu_sequenced_step_engine (s, a.engine);
    }
}

void
pu_sequenced_cancel_calls (pu_sequenced_t *s)
{
  GHashTableIter it;
  gpointer key;

  g_hash_table_iter_init (&it, s->calls);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      record_order (key, false);
      pu_http_fetch_cancel (((call_t *)key)->fetch);
      g_hash_table_iter_remove (&it);
    }
}
