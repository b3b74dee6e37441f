#include "placer/sequenced_private.h"

#include <string.h>

#include "base/log.h"
#include "http/fetch.h"

/* Orders to engines, and their reports.  */

#define PART "placer"

enum
{
  REPORT_MAX = 262144, /* bytes */
  STATUS_OK = 200,
  FETCH_MS = 600,      /* a report that takes longer is of no use */
  REPORT_AGE_MS = 300, /* what a report says was so that long ago */
  TERM_SHIFT = 40,     /* reports of one leader, as a power of two */
};

/* An order or a fetch under way.  */
typedef struct
{
  pu_sequenced_t *s;
  guint64 leads;
  guint32 engine;
  guint64 at; /* ms */
  pu_http_fetch_t *fetch;
} asked_t;

static void
count (const pu_sequenced_t *s, pu_counter_t c)
{
  if (s->o.counters != NULL)
    pu_counters_add (s->o.counters, c, 1);
}

static asked_t *
asked_new (pu_sequenced_t *s, guint32 engine)
{
  asked_t *a = g_new0 (asked_t, 1);

  a->s = s;
  a->leads = s->leads;
  a->engine = engine;
  a->at = pu_sequenced_now (s);
  g_hash_table_add (s->asked, a);
  return a;
}

/* The answer for A has come.  False: the lead that asked is over.  */
static bool
asked_end (asked_t *a)
{
  pu_sequenced_t *s = a->s;
  bool current = s->lead != NULL && a->leads == s->leads;

  g_hash_table_remove (s->asked, a);
  return current;
}

static void
on_ordered (void *data, const pu_http_fetched_t *f)
{
  asked_t a = *(asked_t *)data;
  bool whole = f->result.kind == PU_HTTP_END_COMPLETE && f->response != NULL;
  pu_dispatcher_answer_t answer
      = whole ? a.s->o.wire->order_answer (f->response->status)
              : PU_DISPATCHER_NO_ANSWER;

  if (!asked_end (data))
    return;
  if (answer == PU_DISPATCHER_NO_ANSWER)
    count (a.s, a.s->lost);
  if (answer != PU_DISPATCHER_ACCEPTED && answer != PU_DISPATCHER_COMPLETED)
    {
      pu_log_info (PART, "Engine %s answered an order: %d (%s).",
                   pu_sequenced_engine (a.s->lead, a.engine)->name,
                   whole ? f->response->status : 0,
                   pu_http_end_name (f->result.kind));
    }
  pu_dispatcher_handle_answer (a.s->lead->dispatcher, a.engine, answer,
                               pu_sequenced_now (a.s));
  pu_sequenced_act (a.s);
}

static bool
call_start (pu_sequenced_t *s, guint32 engine,
            const pu_http_call_options_t *shared, pu_http_fetch_cb cb)
{
  const engine_t *e = pu_sequenced_engine (s->lead, engine);
  const pu_http_header_t headers[] = { { "Content-Type", "application/json" },
                                       { s->o.wire->engine_header, e->name } };
  pu_http_call_options_t o = *shared;
  asked_t *a = asked_new (s, engine);

  o.address = e->address;
  o.headers = headers;
  o.header_count = G_N_ELEMENTS (headers);
  a->fetch = pu_http_fetch (s->client, &o, REPORT_MAX, cb, a, NULL);
  if (a->fetch != NULL)
    return true;
  asked_end (a);
  return false;
}

void
pu_sequenced_send (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  lead_t *l = s->lead;
  pu_wire_order_t o = { .op = a->order.op,
                        .model = pu_names_name (&l->items, a->order.item),
                        .engine = pu_sequenced_engine (l, a->engine)->name,
                        .holder = s->o.name,
                        .fence = l->term,
                        .expected = a->expected };
  char *body = s->o.wire->order_body (&o);
  pu_http_call_options_t call
      = { .method = "POST",
          .target = s->o.wire->order_target,
          .body = g_bytes_new_take (body, strlen (body)),
          .fresh = true,
          .reset = true,
          .first_byte_timeout_ms = s->o.answer_ms,
          .progress_timeout_ms = s->o.answer_ms };

  count (s, s->sent);
  if (o.op == PU_DISPATCHER_UNLOAD && !a->order.adapter && s->o.unload != NULL)
    s->o.unload (s->o.data, o.engine, o.model);
  if (!pu_control_is_leader (s->o.control)
      || !call_start (s, a->engine, &call, on_ordered))
    {
      pu_dispatcher_handle_answer (l->dispatcher, a->engine,
                                   PU_DISPATCHER_NO_ANSWER,
                                   pu_sequenced_now (s));
    }
  g_bytes_unref (call.body);
}

static void on_fetched (void *data, const pu_http_fetched_t *f);

void
pu_sequenced_fetch (pu_sequenced_t *s, const pu_dispatcher_action_t *a)
{
  pu_http_call_options_t call = { .method = "GET",
                                  .target = s->o.wire->report_target,
                                  .first_byte_timeout_ms = FETCH_MS,
                                  .progress_timeout_ms = FETCH_MS };

  count (s, s->fetched);
  if (!call_start (s, a->engine, &call, on_fetched))
    {
      pu_dispatcher_handle_report (s->lead->dispatcher, a->engine, NULL,
                                   pu_sequenced_now (s), pu_sequenced_now (s));
    }
}

static GArray *
items_of (lead_t *l, const GPtrArray *names)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (guint32));

  for (guint i = 0; i < names->len; i++)
    {
      guint32 item = pu_names_intern (&l->items, names->pdata[i]);

      g_array_append_val (items, item);
    }
  return items;
}

static void
cached_take (lead_t *l, guint32 engine, const GPtrArray *names)
{
  engine_t *e = pu_sequenced_engine (l, engine);

  for (guint i = 0; i < names->len; i++)
    {
      guint32 item = pu_names_intern (&l->items, names->pdata[i]);

      g_hash_table_add (e->cached, GUINT_TO_POINTER (item));
      pu_planner_set_cached (l->planner, engine, item, true);
    }
}

/* The engine has nothing at hand until its next report says so.  */
static void
cached_clear (lead_t *l, guint32 engine)
{
  engine_t *e = pu_sequenced_engine (l, engine);
  GHashTableIter it;
  gpointer item;

  g_hash_table_iter_init (&it, e->cached);
  while (g_hash_table_iter_next (&it, &item, NULL))
    pu_planner_set_cached (l->planner, engine, GPOINTER_TO_UINT (item), false);
  g_hash_table_remove_all (e->cached);
}

/* Tells of the load of E in its report R, numbered so that a later leader's
   numbers are higher.  */
static void
load_tell (pu_sequenced_t *s, const engine_t *e, const asked_t *a,
           const pu_wire_report_t *r)
{
  lead_t *l = s->lead;
  pu_router_report_t load
      = { .seq = (l->term << TERM_SHIFT) + ++l->loads,
          .running = r->running,
          .waiting = r->waiting,
          .age_ms = (guint)(pu_sequenced_now (s) - a->at) + REPORT_AGE_MS };

  if (s->o.load != NULL)
    s->o.load (s->o.data, e->name, &load);
}

static void
report_take (pu_sequenced_t *s, const asked_t *a, const pu_wire_report_t *r)
{
  lead_t *l = s->lead;
  engine_t *e = pu_sequenced_engine (l, a->engine);
  GArray *held = items_of (l, r->held);
  GArray *coming = items_of (l, r->coming);
  pu_dispatcher_report_t report
      = { .accepted = r->accepted,
          .busy = r->busy,
          .held = (const guint32 *)(void *)held->data,
          .n_held = held->len,
          .coming = (const guint32 *)(void *)coming->data,
          .n_coming = coming->len };

  cached_clear (l, a->engine);
  cached_take (l, a->engine, r->in_memory);
  cached_take (l, a->engine, r->on_disk);
  e->load = r->running + r->waiting;
  pu_dispatcher_handle_report (l->dispatcher, a->engine, &report, a->at,
                               pu_sequenced_now (s));
  load_tell (s, e, a, r);
  g_array_unref (held);
  g_array_unref (coming);
}

/* Whether R is of the incarnation of E that the log knows.  One that has
   restarted under its name since is known by its next check-in.  */
static bool
is_of_incarnation (const pu_wire_report_t *r, const engine_t *e)
{
  return r->incarnation == 0 || e->incarnation == PU_INCARNATION_UNREPORTED
         || r->incarnation == e->incarnation;
}

static void
wire_report_init (pu_wire_report_t *r)
{
  *r = (pu_wire_report_t){
    .held = g_ptr_array_new_with_free_func (g_free),
    .coming = g_ptr_array_new_with_free_func (g_free),
    .in_memory = g_ptr_array_new_with_free_func (g_free),
    .on_disk = g_ptr_array_new_with_free_func (g_free),
  };
}

static void
wire_report_clear (pu_wire_report_t *r)
{
  g_ptr_array_free (r->held, TRUE);
  g_ptr_array_free (r->coming, TRUE);
  g_ptr_array_free (r->in_memory, TRUE);
  g_ptr_array_free (r->on_disk, TRUE);
}

static void
on_fetched (void *data, const pu_http_fetched_t *f)
{
  asked_t a = *(asked_t *)data;
  pu_sequenced_t *s = a.s;
  bool whole = f->result.kind == PU_HTTP_END_COMPLETE && f->response != NULL
               && f->response->status == STATUS_OK;
  pu_findings_t *findings;
  pu_wire_report_t r;
  bool busy;

  if (!asked_end (data))
    return;
  busy = pu_dispatcher_is_busy (s->lead->dispatcher, a.engine);
  findings = pu_findings_new ();
  wire_report_init (&r);
  if (whole && s->o.wire->report_read (f->body, f->body_len, &r, findings)
      && is_of_incarnation (&r, pu_sequenced_engine (s->lead, a.engine)))
    {
      report_take (s, &a, &r);
    }
  else
    {
      pu_dispatcher_handle_report (s->lead->dispatcher, a.engine, NULL, a.at,
                                   pu_sequenced_now (s));
    }
  wire_report_clear (&r);
  pu_findings_free (findings);
  /* A load that has ended leaves its turn of the store to another engine.  */
  if (busy && !pu_dispatcher_is_busy (s->lead->dispatcher, a.engine))
    {
      pu_sequenced_act (s);
    }
  else
    {
      pu_sequenced_act_engine (s, a.engine);
    }
}

void
pu_sequenced_calls_cancel (pu_sequenced_t *s)
{
  GHashTableIter it;
  gpointer key;

  g_hash_table_iter_init (&it, s->asked);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      pu_http_fetch_cancel (((asked_t *)key)->fetch);
      g_hash_table_iter_remove (&it);
    }
}
