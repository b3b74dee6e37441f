/* fake-engine - a stand-in for a model engine, with switches for faults.  */

#include <stdlib.h>
#include <string.h>

#include "announcer.h"
#include "batch.h"
#include "engine_options.h"
#include "memory.h"
#include "orders.h"
#include "run.h"

#define TICK_MS 10
#define LOADS_KEPT 64 /* for reports that lag */
#define DEFAULT_PRIORITY 5
#define MS_PER_S 1000

typedef struct
{
  guint64 at;
  guint running;
  guint waiting;
  guint kv_used_mb;
  double tokens_per_s;
} load_t;

typedef struct
{
  engine_options_t options;
  uv_loop_t *loop;
  uv_timer_t tick;
  fake_ledger_t *ledger;
  fake_faults_t faults;
  fake_memory_t *memory;
  fake_kv_cache_t *cache;
  fake_batch_t *batch;
  fake_orders_t *orders;
  fake_announcer_t *announcer;
  GQueue loads; /* of load_t, newest first */
  guint64 last_tokens;
  guint64 told_changes; /* of memory, in the last report */
  guint64 leave_since;  /* 0: not leaving */
  guint64 last_new_ms;  /* newest request after the leave began, from then */
  guint64 new_work_after_leave;
} engine_t;

/* Load, as it is or as a lagging report shows it.  */

static load_t *
load_take (engine_t *e)
{
  load_t *last = g_queue_peek_head (&e->loads);
  load_t *load = g_new0 (load_t, 1);
  guint64 tokens = fake_batch_tokens (e->batch);

  load->at = uv_now (e->loop);
  load->running = fake_batch_running (e->batch);
  load->waiting = fake_batch_waiting (e->batch);
  load->kv_used_mb = fake_kv_cache_blocks (e->cache);
  if (last != NULL && load->at > last->at)
    {
      load->tokens_per_s = (double)(tokens - e->last_tokens) * MS_PER_S
                           / (double)(load->at - last->at);
    }
  e->last_tokens = tokens;
  g_queue_push_head (&e->loads, load);
  if (e->loads.length > LOADS_KEPT)
    g_free (g_queue_pop_tail (&e->loads));
  return load;
}

static json_t *
load_report (engine_t *e)
{
  const fake_fault_t *lag = fake_faults_take (&e->faults, FAKE_LAG_REPORTS);
  const load_t *load = load_take (e);
  guint64 now = load->at;

  for (GList *i = e->loads.head; lag != NULL && i != NULL; i = i->next)
    {
      load = i->data;
      if (load->at + lag->ms <= now)
        break;
    }
  return json_pack ("{s:i, s:i, s:i, s:f}", "running", (int)load->running,
                    "waiting", (int)load->waiting, "kv_used_mb",
                    (int)load->kv_used_mb, "tokens_per_s", load->tokens_per_s);
}

static json_t *
on_report (void *data, gboolean whole)
{
  engine_t *e = data;
  const engine_options_t *o = &e->options;
  json_t *out = json_object ();
  json_t *events = fake_kv_cache_events (e->cache, uv_now (e->loop));
  json_t *fixed;

  if (whole)
    {
      fixed = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:b}", "kind",
                         "engine", "service", "", "address", o->listen,
                         "region", o->region, "zone", o->zone, "accelerators",
                         o->accelerators, "memory_mb", o->memory_mb, "fenced",
                         o->fenced);
      json_object_update (out, fixed);
      json_decref (fixed);
    }
  if (whole || e->told_changes != fake_memory_changes (e->memory))
    json_object_set_new (out, "copies", fake_memory_copies (e->memory));
  e->told_changes = fake_memory_changes (e->memory);
  json_object_set_new (out, "leaving", json_boolean (e->leave_since != 0));
  json_object_set_new (
      out, "token", json_integer ((json_int_t)fake_memory_token (e->memory)));
  json_object_set_new (out, "load", load_report (e));
  if (events != NULL)
    json_object_set_new (out, "kv_events", events);
  return out;
}

/* Requests.  */

static void
refuse (pu_http_request_t *r, int status, const char *message)
{
  web_answer (r, status, "not-run",
              json_pack ("{s:s, s:s, s:s}", "error", "refused", "message",
                         message, "outcome", "not-run"));
}

static guint
header_number (pu_http_request_t *r, const char *name, guint absent)
{
  const char *text = pu_http_request_header (r, name);

  return text == NULL ? absent : (guint)g_ascii_strtoull (text, NULL, 10);
}

static void
note_new_work (engine_t *e, const char *id)
{
  if (e->leave_since == 0)
    return;
  e->new_work_after_leave++;
  e->last_new_ms = uv_now (e->loop) - e->leave_since;
  fake_ledger_write (e->ledger, "new_work_after_leave",
                     json_pack ("{s:s, s:I}", "request", id, "ms",
                                (json_int_t)e->last_new_ms));
}

static void
on_completion (engine_t *e, pu_http_request_t *r, bool chat)
{
  const char *given = pu_http_request_header (r, "x-request-id");
  const char *id = given == NULL ? "none" : given;
  fake_question_t q;
  gsize len;
  const char *body = pu_http_request_body (r, &len);

  note_new_work (e, id);
  if (!fake_question_parse (&q, body, len, chat))
    {
      refuse (r, 400, "not a completion request");
      return;
    }
  if (fake_faults_take (&e->faults, FAKE_REJECT) != NULL)
    {
      refuse (r, 503, "rejected by a switch");
    }
  else if (!fake_memory_serves (e->memory, q.model))
    {
      refuse (r, 404, "the model is not ready here");
    }
  else if (!fake_batch_add (e->batch, r, &q, id,
                            header_number (r, "x-priority", DEFAULT_PRIORITY),
                            header_number (r, "x-resume-tokens", 0)))
    {
      refuse (r, 503, "too many wait");
    }
  fake_question_clear (&q);
}

/* Paths.  */

static void
on_state (engine_t *e, pu_http_request_t *r)
{
  json_t *out = json_object ();

  fake_memory_add_state (e->memory, out);
  fake_batch_add_state (e->batch, out);
  fake_announcer_add_state (e->announcer, out);
  json_object_set_new (out, "leaving", json_boolean (e->leave_since != 0));
  json_object_set_new (out, "new_work_after_leave",
                       json_integer ((json_int_t)e->new_work_after_leave));
  json_object_set_new (out, "last_new_work_ms",
                       json_integer ((json_int_t)e->last_new_ms));
  web_answer (r, 200, NULL, out);
}

static void
on_request (void *data, pu_http_request_t *r)
{
  engine_t *e = data;
  const char *path = pu_http_request_path (r);

  if (web_is_silent (r, &e->faults))
    return;
  if (strcmp (path, "/v1/chat/completions") == 0)
    {
      on_completion (e, r, true);
    }
  else if (strcmp (path, "/v1/completions") == 0)
    {
      on_completion (e, r, false);
    }
  else if (strcmp (path, "/control/orders") == 0)
    {
      fake_orders_take (e->orders, r);
    }
  else if (strcmp (path, "/fake/state") == 0)
    {
      on_state (e, r);
    }
  else if (strcmp (path, "/fake/fault") == 0)
    {
      web_on_fault (r, &e->faults);
    }
  else if (strcmp (path, "/health") == 0)
    {
      web_answer (r, 200, NULL, json_pack ("{s:s}", "status", "ok"));
    }
  else
    {
      web_answer (r, 404, NULL, json_pack ("{s:s}", "error", "not_found"));
    }
}

static guint
busy_of (void *data, const char *model)
{
  return fake_batch_busy (((engine_t *)data)->batch, model);
}

static bool
may_exit (const engine_t *e)
{
  guint64 now = uv_now (e->loop);

  return e->leave_since != 0
         && now >= e->leave_since + (guint64)e->options.leave_ms
         && fake_batch_running (e->batch) + fake_batch_waiting (e->batch) == 0;
}

static void
on_tick (uv_timer_t *timer)
{
  engine_t *e = timer->data;
  guint64 before = fake_memory_changes (e->memory);

  fake_memory_tick (e->memory, uv_now (e->loop), busy_of, e);
  if (before != fake_memory_changes (e->memory))
    fake_announcer_now (e->announcer);
  if (!may_exit (e))
    return;
  fake_ledger_write (e->ledger, "exit", NULL);
  exit (EXIT_SUCCESS);
}

static void
on_term (void *data)
{
  engine_t *e = data;

  if (e->leave_since != 0)
    return;
  uv_update_time (e->loop);
  e->leave_since = uv_now (e->loop);
  fake_ledger_write (e->ledger, "leave", NULL);
  fake_announcer_now (e->announcer);
}

static void
setup_parts (engine_t *e)
{
  const engine_options_t *o = &e->options;
  fake_memory_options_t memory = { .memory_mb = (guint)o->memory_mb,
                                   .load_ms = (guint)o->load_ms,
                                   .fenced = o->fenced != 0,
                                   .greedy = o->greedy != 0,
                                   .ledger = e->ledger };
  fake_batch_options_t batch
      = { .loop = e->loop,
          .prefill_ms_per_ktoken = o->prefill_ms_per_ktoken,
          .decode_ms = o->decode_ms,
          .max_batch = (guint)o->max_batch,
          .max_waiting = (guint)o->max_waiting,
          .replay = o->replay != 0,
          .event_ids = o->event_ids != 0,
          .ledger = e->ledger,
          .faults = &e->faults };
  fake_announcer_options_t announcer = { .loop = e->loop,
                                         .name = o->name,
                                         .service = "",
                                         .key = o->key,
                                         .entries = o->entries,
                                         .faults = &e->faults,
                                         .report = on_report,
                                         .data = e };

  e->memory = fake_memory_new (&memory);
  if (o->models != NULL && !fake_memory_preload (e->memory, o->models))
    fake_run_fail ("--models: not model:version:mb,..., or too much");
  e->cache = fake_kv_cache_new ((guint)o->kv_blocks, (guint)o->kv_delay_ms,
                                &e->faults);
  batch.cache = e->cache;
  e->batch = fake_batch_new (&batch);
  e->orders = fake_orders_new (e->loop, e->memory, &e->faults);
  if (o->crash_on != NULL)
    fake_faults_switch (&e->faults, FAKE_CRASH_ON, o->crash_on);
  e->announcer = fake_announcer_new (&announcer);
}

int
main (int argc, char **argv)
{
  engine_t e = { 0 };

  engine_options_read (&e.options, argc, argv);
  e.loop = uv_default_loop ();
  e.ledger = fake_ledger_open (e.options.ledger, e.options.name);
  if (e.ledger == NULL)
    fake_run_fail ("--ledger: the file can't be opened");
  setup_parts (&e);
  web_listen (e.loop, e.options.listen, on_request, &e);
  uv_timer_init (e.loop, &e.tick);
  e.tick.data = &e;
  uv_timer_start (&e.tick, on_tick, TICK_MS, TICK_MS);
  fake_run_on_term (e.loop, on_term, &e);
  return uv_run (e.loop, UV_RUN_DEFAULT);
}
