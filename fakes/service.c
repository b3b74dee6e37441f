/* fake-service - a stand-in for a plain service, with a ledger of its calls.
 */

#include <stdlib.h>
#include <string.h>

#include "announcer.h"
#include "ledger.h"
#include "run.h"
#include "web.h"

#define TICK_MS 10

typedef struct
{
  char *name;
  char *service;
  char *listen;
  char **entries;
  char *key;
  char *region;
  char *zone;
  int work_ms;
  int leave_ms;
  char *ledger;
} options_t;

typedef struct
{
  options_t options;
  uv_loop_t *loop;
  uv_timer_t tick;
  fake_ledger_t *ledger;
  fake_faults_t faults;
  fake_announcer_t *announcer;
  GHashTable *runs;    /* idempotency key -> times that it ran */
  guint64 assigned;    /* calls that ran */
  guint doubled;       /* keys that ran more than once */
  guint running;       /* calls in progress */
  guint64 leave_since; /* 0: not leaving */
} service_t;

/* A call of /assign in progress.  */
typedef struct
{
  service_t *service;
  uv_timer_t timer;
  pu_http_request_t *request; /* NULL when the peer left */
  char *key;
  char *id;
} call_t;

static json_t *
on_report (void *data, gboolean whole)
{
  service_t *s = data;
  const options_t *o = &s->options;
  json_t *out
      = json_pack ("{s:b, s:{s:i, s:i}}", "leaving", s->leave_since != 0,
                   "load", "running", (int)s->running, "waiting", 0);
  json_t *fixed;

  if (whole)
    {
      fixed = json_pack ("{s:s, s:s, s:s, s:s, s:s}", "kind", "plain",
                         "service", o->service, "address", o->listen, "region",
                         o->region, "zone", o->zone);
      json_object_update (out, fixed);
      json_decref (fixed);
    }
  return out;
}

static void
on_call_close (uv_handle_t *handle)
{
  call_t *call = handle->data;

  g_free (call->key);
  g_free (call->id);
  g_free (call);
}

static guint
count_run (service_t *s, const char *key)
{
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (s->runs, key)) + 1;

  g_hash_table_replace (s->runs, g_strdup (key), GUINT_TO_POINTER (n));
  s->assigned++;
  if (n == 2 && *key != '\0')
    s->doubled++;
  return n;
}

static void
on_work_done (uv_timer_t *timer)
{
  call_t *call = timer->data;
  service_t *s = call->service;
  guint n = count_run (s, call->key);

  fake_ledger_write (s->ledger, "ran",
                     json_pack ("{s:s, s:s, s:i}", "key", call->key, "request",
                                call->id, "times", (int)n));
  if (fake_faults_take (&s->faults, FAKE_DIE_AFTER) != NULL)
    abort ();
  s->running--;
  if (call->request != NULL)
    {
      web_answer (call->request, 200, NULL,
                  json_pack ("{s:b, s:s, s:s, s:I}", "assigned", 1, "key",
                             call->key, "request", call->id, "number",
                             (json_int_t)s->assigned));
    }
  uv_close ((uv_handle_t *)timer, on_call_close);
}

/* A call that has begun runs on, whoever still listens.  */
static void
on_gone (void *data)
{
  ((call_t *)data)->request = NULL;
}

static char *
header_copy (pu_http_request_t *r, const char *name)
{
  const char *text = pu_http_request_header (r, name);

  return g_strdup (text == NULL ? "" : text);
}

static void
on_assign (service_t *s, pu_http_request_t *r)
{
  const fake_fault_t *slow = fake_faults_take (&s->faults, FAKE_SLOW);
  guint ms = (guint)s->options.work_ms + (slow == NULL ? 0 : slow->ms);
  call_t *call;

  if (fake_faults_take (&s->faults, FAKE_DIE_BEFORE) != NULL)
    abort ();
  if (fake_faults_take (&s->faults, FAKE_REJECT) != NULL)
    {
      web_answer (r, 503, "not-run",
                  json_pack ("{s:s}", "outcome", "not-run"));
      return;
    }
  call = g_new0 (call_t, 1);
  call->service = s;
  call->request = r;
  call->key = header_copy (r, "idempotency-key");
  call->id = header_copy (r, "x-request-id");
  web_on_gone (r, on_gone, call);
  uv_timer_init (s->loop, &call->timer);
  call->timer.data = call;
  s->running++;
  uv_timer_start (&call->timer, on_work_done, ms, 0);
}

static void
on_echo_due (uv_timer_t *timer)
{
  call_t *call = timer->data;
  const char *body;
  gsize len;

  call->service->running--;
  if (call->request != NULL)
    {
      body = pu_http_request_body (call->request, &len);
      pu_http_respond (call->request, 200, NULL, 0, body, len);
    }
  uv_close ((uv_handle_t *)timer, on_call_close);
}

/* Its answer names no request.  */
static void
on_echo (service_t *s, pu_http_request_t *r)
{
  const fake_fault_t *slow = fake_faults_take (&s->faults, FAKE_SLOW);
  call_t *call = g_new0 (call_t, 1);

  call->service = s;
  call->request = r;
  web_on_gone (r, on_gone, call);
  uv_timer_init (s->loop, &call->timer);
  call->timer.data = call;
  s->running++;
  uv_timer_start (&call->timer, on_echo_due, slow == NULL ? 0 : slow->ms, 0);
}

static void
on_state (service_t *s, pu_http_request_t *r)
{
  json_t *out
      = json_pack ("{s:I, s:i, s:i, s:b}", "assigned", (json_int_t)s->assigned,
                   "doubled", (int)s->doubled, "running", (int)s->running,
                   "leaving", s->leave_since != 0);

  fake_announcer_add_state (s->announcer, out);
  web_answer (r, 200, NULL, out);
}

static void
on_request (void *data, pu_http_request_t *r)
{
  service_t *s = data;
  const char *path = pu_http_request_path (r);

  if (web_is_silent (r, &s->faults))
    return;
  if (strcmp (path, "/fake/fault") == 0)
    {
      web_on_fault (r, &s->faults);
    }
  else if (g_str_has_suffix (path, "/state"))
    {
      on_state (s, r);
    }
  else if (g_str_has_suffix (path, "/assign"))
    {
      on_assign (s, r);
    }
  else if (g_str_has_suffix (path, "/echo"))
    {
      on_echo (s, r);
    }
  else
    {
      web_answer (r, 404, NULL, json_pack ("{s:s}", "error", "not_found"));
    }
}

static void
on_tick (uv_timer_t *timer)
{
  service_t *s = timer->data;
  guint64 stay = s->leave_since + (guint64)s->options.leave_ms;

  if (s->leave_since == 0 || uv_now (s->loop) < stay || s->running > 0)
    return;
  fake_ledger_write (s->ledger, "exit", NULL);
  exit (EXIT_SUCCESS);
}

static void
on_term (void *data)
{
  service_t *s = data;

  if (s->leave_since != 0)
    return;
  s->leave_since = uv_now (s->loop);
  fake_announcer_now (s->announcer);
}

static void
read_options (options_t *o, int argc, char **argv)
{
  struct poptOption table[] = {
    { "name", 0, POPT_ARG_STRING, &o->name, 0, "name", "NAME" },
    { "service", 0, POPT_ARG_STRING, &o->service, 0, "service", "NAME" },
    { "listen", 0, POPT_ARG_STRING, &o->listen, 0, "own address", "H:P" },
    { "entry", 0, POPT_ARG_ARGV, &o->entries, 0, "an entry; any number",
      "H:P" },
    { "key", 0, POPT_ARG_STRING, &o->key, 0, "backend key", "KEY" },
    { "region", 0, POPT_ARG_STRING, &o->region, 0, "region", "R" },
    { "zone", 0, POPT_ARG_STRING, &o->zone, 0, "availability zone", "Z" },
    { "work-ms", 0, POPT_ARG_INT, &o->work_ms, 0, "time of a call", "MS" },
    { "leave-ms", 0, POPT_ARG_INT, &o->leave_ms, 0,
      "stay at least so long after SIGTERM", "MS" },
    { "ledger", 0, POPT_ARG_STRING, &o->ledger, 0, "what ran", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };

  fake_run_options (argc, argv, table);
  if (o->name == NULL || o->listen == NULL || o->service == NULL)
    fake_run_fail ("--name, --service and --listen are needed");
}

int
main (int argc, char **argv)
{
  service_t s
      = { .options = { .region = "r", .zone = "a", .leave_ms = 2500 } };
  fake_announcer_options_t announcer = { 0 };

  read_options (&s.options, argc, argv);
  s.loop = uv_default_loop ();
  s.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s.ledger = fake_ledger_open (s.options.ledger, s.options.name);
  if (s.ledger == NULL)
    fake_run_fail ("--ledger: the file can't be opened");
  web_listen (s.loop, s.options.listen, on_request, &s);
  announcer.loop = s.loop;
  announcer.name = s.options.name;
  announcer.service = s.options.service;
  announcer.key = s.options.key;
  announcer.entries = s.options.entries;
  announcer.faults = &s.faults;
  announcer.report = on_report;
  announcer.data = &s;
  s.announcer = fake_announcer_new (&announcer);
  uv_timer_init (s.loop, &s.tick);
  s.tick.data = &s;
  uv_timer_start (&s.tick, on_tick, TICK_MS, TICK_MS);
  fake_run_on_term (s.loop, on_term, &s);
  return uv_run (s.loop, UV_RUN_DEFAULT);
}
