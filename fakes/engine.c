/* fake-engine - a stand-in for a model engine, with switches for faults.  */

#include <stdlib.h>
#include <string.h>

#include "announcer.h"
#include "batch.h"
#include "memory.h"
#include "run.h"

#define TICK_MS 10
#define LEAVE_MS 2500 /* stays at least so long after its leave was told */
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
  char *name;
  char *listen;
  char **entries;
  char *key;
  char *region;
  char *zone;
  int accelerators;
  int memory_mb;
  int fenced;
  int greedy;
  char *models;
  double prefill_ms_per_ktoken;
  double decode_ms;
  int max_batch;
  int max_waiting;
  int load_ms;
  int kv_blocks;
  int kv_delay_ms;
  int leave_ms;
  char *ledger;
  char *crash_on;
} options_t;

typedef struct
{
  options_t options;
  uv_loop_t *loop;
  uv_timer_t tick;
  fake_ledger_t *ledger;
  fake_faults_t faults;
  fake_memory_t *memory;
  fake_kv_cache_t *cache;
  fake_batch_t *batch;
  fake_announcer_t *announcer;
  GQueue loads; /* of load_t, newest first */
  guint64 last_tokens;
  guint64 told_changes; /* of memory, in the last report */
  guint64 leave_since;  /* 0: not leaving */
  guint64 last_new_ms;  /* newest request after the leave began, from then */
  guint64 new_work_after_leave;
} engine_t;

typedef struct
{
  engine_t *engine;
  uv_timer_t timer;
  web_exchange_t *exchange; /* NULL when the peer left */
  json_t *body;
} late_order_t;

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
    load->tokens_per_s = (double)(tokens - e->last_tokens) * MS_PER_S
                         / (double)(load->at - last->at);
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
  const options_t *o = &e->options;
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
refuse (web_exchange_t *x, int status, const char *id, const char *message)
{
  json_t *root = json_pack ("{s:s, s:s, s:s}", "error", "refused", "message",
                            message, "outcome", "not-run");
  char *body = json_dumps (root, JSON_COMPACT);

  web_add_header (x, "x-outcome", "not-run");
  if (id != NULL)
    web_add_header (x, "x-request-id", id);
  web_answer (x, status, "application/json", body);
  free (body);
  json_decref (root);
}

static guint
header_number (web_exchange_t *x, const char *name, guint absent)
{
  const char *text = web_header (x, name);

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
on_completion (engine_t *e, web_exchange_t *x, bool chat)
{
  const char *given = web_header (x, "x-request-id");
  const char *id = given == NULL ? "none" : given;
  fake_question_t q;
  size_t len;
  const char *body = web_body (x, &len);

  note_new_work (e, id);
  if (!fake_question_parse (&q, body, len, chat))
    {
      refuse (x, 400, given, "not a completion request");
      return;
    }
  if (fake_faults_take (&e->faults, FAKE_REJECT) != NULL)
    refuse (x, 503, given, "rejected by a switch");
  else if (!fake_memory_serves (e->memory, q.model))
    refuse (x, 404, given, "the model is not ready here");
  else if (!fake_batch_add (e->batch, x, &q, id,
                            header_number (x, "x-priority", DEFAULT_PRIORITY),
                            header_number (x, "x-resume-tokens", 0)))
    refuse (x, 503, given, "too many wait");
  fake_question_clear (&q);
}

/* Orders.  */

static int
carry_out (engine_t *e, json_t *body)
{
  const char *kind = "";
  const char *model = NULL;
  const char *version = "1";
  json_int_t token = 0;
  json_int_t memory = 0;
  fake_order_t o = { 0 };

  if (json_unpack (body, "{s:I, s:s, s:s, s?s, s?I}", "token", &token, "kind",
                   &kind, "model", &model, "version", &version, "memory_mb",
                   &memory)
      != 0)
    return 400;
  o.token = (guint64)token;
  o.load = strcmp (kind, "load") == 0;
  o.model = model;
  o.version = version;
  o.memory_mb = (guint)memory;
  if (fake_faults_take (&e->faults, FAKE_FORGET_ORDERS) != NULL)
    return 202;
  o.will_fail
      = o.load && fake_faults_take (&e->faults, FAKE_LOAD_FAIL) != NULL;
  return fake_memory_order (e->memory, &o, uv_now (e->loop));
}

static void
answer_order (engine_t *e, web_exchange_t *x, int status)
{
  char *body = g_strdup_printf ("{\"token\":%" G_GUINT64_FORMAT "}",
                                fake_memory_token (e->memory));

  web_answer (x, status, "application/json", body);
  g_free (body);
}

static void
on_late_gone (void *data, web_exchange_t *x)
{
  (void)x;
  ((late_order_t *)data)->exchange = NULL;
}

static void
on_late_close (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
on_late (uv_timer_t *timer)
{
  late_order_t *late = timer->data;
  int status = carry_out (late->engine, late->body);

  if (late->exchange != NULL)
    answer_order (late->engine, late->exchange, status);
  json_decref (late->body);
  uv_close ((uv_handle_t *)timer, on_late_close);
}

static void
order_later (engine_t *e, web_exchange_t *x, json_t *body, guint ms)
{
  late_order_t *late = g_new0 (late_order_t, 1);

  late->engine = e;
  late->exchange = x;
  late->body = json_incref (body);
  web_on_gone (x, on_late_gone, late);
  uv_timer_init (e->loop, &late->timer);
  late->timer.data = late;
  uv_timer_start (&late->timer, on_late, ms, 0);
}

static void
on_order (engine_t *e, web_exchange_t *x)
{
  size_t len;
  const char *text = web_body (x, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  const fake_fault_t *late;

  if (fake_faults_take (&e->faults, FAKE_LOSE_ORDERS) != NULL)
    {
      json_decref (body);
      return;
    }
  late = fake_faults_take (&e->faults, FAKE_LATE_ORDERS);
  if (late != NULL)
    order_later (e, x, body, late->ms);
  else
    answer_order (e, x, carry_out (e, body));
  json_decref (body);
}

/* Paths.  */

static void
on_state (engine_t *e, web_exchange_t *x)
{
  json_t *out = json_object ();
  char *text;

  fake_memory_add_state (e->memory, out);
  fake_batch_add_state (e->batch, out);
  fake_announcer_add_state (e->announcer, out);
  json_object_set_new (out, "leaving", json_boolean (e->leave_since != 0));
  json_object_set_new (out, "new_work_after_leave",
                       json_integer ((json_int_t)e->new_work_after_leave));
  json_object_set_new (out, "last_new_work_ms",
                       json_integer ((json_int_t)e->last_new_ms));
  text = json_dumps (out, JSON_COMPACT | JSON_SORT_KEYS);
  web_answer (x, 200, "application/json", text);
  free (text);
  json_decref (out);
}

static bool
is_silent (engine_t *e, web_exchange_t *x)
{
  const fake_fault_t *f = fake_faults_on (&e->faults, FAKE_SILENT);

  return f != NULL && web_connected_ms (x) <= f->since;
}

static void
on_request (void *data, web_exchange_t *x)
{
  engine_t *e = data;
  const char *path = web_path (x);
  size_t len;
  const char *body = web_body (x, &len);

  if (is_silent (e, x))
    return;
  if (strcmp (path, "/v1/chat/completions") == 0)
    on_completion (e, x, true);
  else if (strcmp (path, "/v1/completions") == 0)
    on_completion (e, x, false);
  else if (strcmp (path, "/control/orders") == 0)
    on_order (e, x);
  else if (strcmp (path, "/fake/state") == 0)
    on_state (e, x);
  else if (strcmp (path, "/fake/fault") == 0)
    web_answer (x, fake_faults_set (&e->faults, body, len) ? 200 : 400,
                "application/json", "{}");
  else if (strcmp (path, "/health") == 0)
    web_answer (x, 200, "application/json", "{\"status\":\"ok\"}");
  else
    web_answer (x, 404, "application/json", "{\"error\":\"not_found\"}");
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
  const options_t *o = &e->options;
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
  if (o->crash_on != NULL)
    fake_faults_switch (&e->faults, FAKE_CRASH_ON, o->crash_on);
  e->announcer = fake_announcer_new (&announcer);
}

static void
read_options (options_t *o, int argc, char **argv)
{
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &o->name, 0, "name", "NAME" },
    { "listen", 0, POPT_ARG_STRING, &o->listen, 0, "own address", "H:P" },
    { "entry", 0, POPT_ARG_ARGV, &o->entries, 0, "an entry; any number",
      "H:P" },
    { "key", 0, POPT_ARG_STRING, &o->key, 0, "backend key", "KEY" },
    { "region", 0, POPT_ARG_STRING, &o->region, 0, "region", "R" },
    { "zone", 0, POPT_ARG_STRING, &o->zone, 0, "availability zone", "Z" },
    { "accelerators", 0, POPT_ARG_INT, &o->accelerators, 0, "count", "N" },
    { "memory-mb", 0, POPT_ARG_INT, &o->memory_mb, 0, "of each", "MB" },
    { "fenced", 0, POPT_ARG_VAL, &o->fenced, 1, "refuse old tokens", NULL },
    { "no-fenced", 0, POPT_ARG_VAL, &o->fenced, 0, "ignore tokens", NULL },
    { "greedy", 0, POPT_ARG_VAL, &o->greedy, 1,
      "take loads that do not fit, in place of 507", NULL },
    { "models", 0, POPT_ARG_STRING, &o->models, 0, "ready at the start",
      "M:V:MB,..." },
    { "prefill-ms-per-ktoken", 0, POPT_ARG_DOUBLE, &o->prefill_ms_per_ktoken,
      0, "time to read 1,000 tokens", "MS" },
    { "decode-ms", 0, POPT_ARG_DOUBLE, &o->decode_ms, 0, "time of a step",
      "MS" },
    { "max-batch", 0, POPT_ARG_INT, &o->max_batch, 0, "run at once", "N" },
    { "max-waiting", 0, POPT_ARG_INT, &o->max_waiting, 0, "then 503", "N" },
    { "load-ms", 0, POPT_ARG_INT, &o->load_ms, 0, "time of a load", "MS" },
    { "kv-blocks", 0, POPT_ARG_INT, &o->kv_blocks, 0, "blocks kept", "N" },
    { "kv-delay-ms", 0, POPT_ARG_INT, &o->kv_delay_ms, 0,
      "KV-cache events come so late", "MS" },
    { "leave-ms", 0, POPT_ARG_INT, &o->leave_ms, 0,
      "stay at least so long after SIGTERM", "MS" },
    { "ledger", 0, POPT_ARG_STRING, &o->ledger, 0, "what ran", "FILE" },
    { "crash-on", 0, POPT_ARG_STRING, &o->crash_on, 0,
      "abort when a prompt with TEXT runs", "TEXT" },
    POPT_AUTOHELP POPT_TABLEEND
  };

  fake_run_options (argc, argv, table);
  if (o->name == NULL || o->listen == NULL)
    fake_run_fail ("--name and --listen are needed");
}

int
main (int argc, char **argv)
{
  engine_t e = { .options = { .region = "r",
                              .zone = "a",
                              .accelerators = 1,
                              .memory_mb = 80000,
                              .fenced = 1,
                              .prefill_ms_per_ktoken = 20,
                              .decode_ms = 5,
                              .max_batch = 64,
                              .max_waiting = 1024,
                              .load_ms = 500,
                              .kv_blocks = 4096,
                              .kv_delay_ms = 200,
                              .leave_ms = LEAVE_MS } };

  read_options (&e.options, argc, argv);
  e.loop = uv_default_loop ();
  e.ledger = fake_ledger_open (e.options.ledger, e.options.name);
  if (e.ledger == NULL)
    fake_run_fail ("--ledger: the file can't be opened");
  setup_parts (&e);
  if (web_server_new (e.loop, e.options.listen, on_request, &e) == NULL)
    fake_run_fail ("--listen: the address can't be had");
  uv_timer_init (e.loop, &e.tick);
  e.tick.data = &e;
  uv_timer_start (&e.tick, on_tick, TICK_MS, TICK_MS);
  fake_run_on_term (e.loop, on_term, &e);
  return uv_run (e.loop, UV_RUN_DEFAULT);
}
