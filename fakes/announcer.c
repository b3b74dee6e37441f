#include "announcer.h"

#include <string.h>

#include "base/log.h"
#include "http/fetch.h"

#define DEFAULT_INTERVAL_MS 1000
#define RETRY_MS 200
#define CALL_TIMEOUT_MS 2000
#define ANSWER_MAX 65536
#define MS_PER_S 1000

struct fake_announcer
{
  fake_announcer_options_t options;
  pu_http_client_t *client;
  uv_timer_t timer;
  GPtrArray *learnt;   /* addresses that an entry told, best first */
  guint64 learn_again; /* loop time */
  char *entry;         /* the one in use; NULL: choose */
  guint next;          /* index of the next one to choose */
  gint64 incarnation;
  gint64 seq;
  guint interval_ms;
  guint64 failures;
  bool whole;
  bool busy;
  bool again; /* report as soon as the one in flight is answered */
};

static void on_timer (uv_timer_t *timer);

static void
wait_ms (fake_announcer_t *a, guint ms)
{
  uv_timer_start (&a->timer, on_timer, ms, 0);
}

static bool
fetch (fake_announcer_t *a, const char *method, const char *target, char *body,
       pu_http_fetch_cb cb)
{
  char *bearer = g_strdup_printf ("Bearer %s", a->options.key);
  pu_http_header_t headers[] = { { "content-type", "application/json" },
                                 { "authorization", bearer } };
  pu_http_call_options_t o = { .address = a->entry,
                               .method = method,
                               .target = target,
                               .headers = headers,
                               .header_count = a->options.key == NULL ? 1 : 2,
                               .first_byte_timeout_ms = CALL_TIMEOUT_MS,
                               .progress_timeout_ms = CALL_TIMEOUT_MS };
  pu_http_fetch_t *f;

  if (body != NULL)
    o.body = g_bytes_new_with_free_func (body, strlen (body), free, body);
  f = pu_http_fetch (a->client, &o, ANSWER_MAX, cb, a, NULL);
  g_clear_pointer (&o.body, g_bytes_unref);
  g_free (bearer);
  return f != NULL;
}

static void
entry_failed (fake_announcer_t *a, int status)
{
  pu_log_info ("fake", "Entry %s did not take the report (%d).", a->entry,
               status);
  a->failures++;
  g_clear_pointer (&a->entry, g_free);
  a->whole = true;
  a->learn_again = 0;
  wait_ms (a, RETRY_MS);
}

static void
entry_choose (fake_announcer_t *a)
{
  guint given = g_strv_length (a->options.entries);
  guint i;

  if (a->entry != NULL || a->learnt->len + given == 0)
    return;
  i = a->next++ % (a->learnt->len + given);
  if (i < a->learnt->len)
    {
      a->entry = g_strdup (g_ptr_array_index (a->learnt, i));
    }
  else
    {
      a->entry = g_strdup (a->options.entries[i - a->learnt->len]);
    }
  a->whole = true;
}

static bool
is_learnt (const fake_announcer_t *a, const char *address)
{
  for (guint i = 0; i < a->learnt->len; i++)
    {
      if (g_strcmp0 (g_ptr_array_index (a->learnt, i), address) == 0)
        return true;
    }
  return false;
}

static void
take_entries (fake_announcer_t *a, json_t *root)
{
  json_t *entries = json_object_get (root, "entries");
  json_int_t ttl = json_integer_value (json_object_get (root, "ttl_s"));
  json_t *one;
  size_t i;

  if (json_array_size (entries) == 0)
    return;
  g_ptr_array_set_size (a->learnt, 0);
  json_array_foreach (entries, i, one)
  {
    const char *address = json_string_value (json_object_get (one, "address"));

    if (address != NULL)
      g_ptr_array_add (a->learnt, g_strdup (address));
  }
  a->learn_again = uv_now (a->options.loop) + (guint64)MAX (ttl, 1) * MS_PER_S;
  if (is_learnt (a, a->entry))
    return;
  g_clear_pointer (&a->entry, g_free);
  a->next = 0;
}

static void
on_entries (void *data, const pu_http_fetched_t *f)
{
  fake_announcer_t *a = data;
  int status = f->response == NULL ? 0 : f->response->status;
  json_t *root;

  a->busy = false;
  if (f->result.kind != PU_HTTP_END_COMPLETE || status != 200)
    {
      entry_failed (a, status);
      return;
    }
  root = json_loadb (f->body, f->body_len, 0, NULL);
  a->learn_again = uv_now (a->options.loop) + a->interval_ms;
  take_entries (a, root);
  json_decref (root);
  wait_ms (a, 0);
}

static void
take_answer (fake_announcer_t *a, const pu_http_fetched_t *f)
{
  json_t *root = json_loadb (f->body, f->body_len, 0, NULL);
  json_int_t ms = json_integer_value (json_object_get (root, "interval_ms"));

  if (ms > 0)
    a->interval_ms = (guint)ms;
  a->whole = json_is_true (json_object_get (root, "whole"));
  json_decref (root);
  wait_ms (a, a->again || a->whole ? 0 : a->interval_ms);
}

static void
on_report (void *data, const pu_http_fetched_t *f)
{
  fake_announcer_t *a = data;
  int status = f->response == NULL ? 0 : f->response->status;

  a->busy = false;
  if (f->result.kind != PU_HTTP_END_COMPLETE)
    status = 0;
  if (status == 200)
    {
      take_answer (a, f);
      return;
    }
  if (status == 409)
    a->incarnation = MAX (a->incarnation + 1, g_get_real_time () / MS_PER_S);
  entry_failed (a, status);
}

static void
send_report (fake_announcer_t *a)
{
  json_t *body;

  a->again = false;
  if (fake_faults_take (a->options.faults, FAKE_DROP_REPORTS) != NULL)
    {
      a->seq++;
      wait_ms (a, a->interval_ms);
      return;
    }
  body = a->options.report (a->options.data, a->whole);
  a->seq++;
  json_object_set_new (body, "name", json_string (a->options.name));
  json_object_set_new (body, "incarnation", json_integer (a->incarnation));
  json_object_set_new (body, "seq", json_integer (a->seq));
  a->busy = fetch (a, "POST", "/v1/backends/announce",
                   json_dumps (body, JSON_COMPACT), on_report);
  json_decref (body);
  if (!a->busy)
    entry_failed (a, 0);
}

static void
on_timer (uv_timer_t *timer)
{
  fake_announcer_t *a = timer->data;
  char *target;

  entry_choose (a);
  if (a->entry == NULL || a->busy)
    return;
  if (uv_now (a->options.loop) < a->learn_again)
    {
      send_report (a);
      return;
    }
  target = g_strdup_printf ("/v1/entries?service=%s", a->options.service);
  a->busy = fetch (a, "GET", target, NULL, on_entries);
  g_free (target);
  if (!a->busy)
    entry_failed (a, 0);
}

fake_announcer_t *
fake_announcer_new (const fake_announcer_options_t *o)
{
  fake_announcer_t *a = g_new0 (fake_announcer_t, 1);
  pu_http_client_options_t client = { .loop = o->loop };
  char *none[] = { NULL };

  a->options = *o;
  a->options.entries = g_strdupv (o->entries != NULL ? o->entries : none);
  a->client = pu_http_client_new (&client);
  a->learnt = g_ptr_array_new_with_free_func (g_free);
  a->incarnation = g_get_real_time () / MS_PER_S;
  a->interval_ms = DEFAULT_INTERVAL_MS;
  a->whole = true;
  uv_timer_init (o->loop, &a->timer);
  a->timer.data = a;
  wait_ms (a, 0);
  return a;
}

void
fake_announcer_now (fake_announcer_t *a)
{
  if (a->busy)
    {
      a->again = true;
    }
  else
    {
      wait_ms (a, 0);
    }
}

void
fake_announcer_add_state (const fake_announcer_t *a, json_t *out)
{
  json_object_set_new (out, "entry",
                       json_string (a->entry == NULL ? "" : a->entry));
  json_object_set_new (out, "incarnation", json_integer (a->incarnation));
  json_object_set_new (out, "seq", json_integer (a->seq));
  json_object_set_new (out, "report_failures",
                       json_integer ((json_int_t)a->failures));
}
