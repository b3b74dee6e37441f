#include "load_call.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http/sse.h"

#define EVENT_MAX 65536
#define BODY_MAX (1U << 20)
#define HEADERS_MAX 10
#define MS_PER_S 1000
#define NUMBER_MAX 24

typedef struct
{
  load_call_options_t o;
  load_result_t result;
  pu_sse_t *sse;
  GString *text; /* of the tokens, or the whole body */
  gint64 last_us;
  bool done; /* the end mark came */
  bool right_id;
  bool not_run;
} call_t;

static void
call_free (call_t *c)
{
  if (c->sse != NULL)
    pu_sse_free (c->sse);
  g_string_free (c->text, TRUE);
  g_free (c);
}

/* The text of a streamed token.  The fake engine's tokens need no escapes, so
   the event is searched, not parsed: the driver must not be the slow part.  */
static void
take_token (call_t *c, const pu_sse_event_t *ev)
{
  static const char mark[] = "\"content\":\"";
  const char *from = g_strstr_len (ev->data, (gssize)ev->data_len, mark);
  const char *to;
  gint64 now = g_get_monotonic_time ();

  if (from == NULL)
    return;
  from += strlen (mark);
  to = memchr (from, '"', (gsize)(ev->data + ev->data_len - from));
  if (to == NULL)
    return;
  g_string_append_len (c->text, from, to - from);
  if (c->result.first_us == 0)
    {
      c->result.first_us = now;
    }
  else
    {
      pu_histogram_add (c->o.gaps, (guint64)(now - c->last_us));
    }
  c->last_us = now;
}

static bool
on_event (void *data, const pu_sse_event_t *ev)
{
  call_t *c = data;

  if (c->done || !ev->has_data)
    return true;
  if (pu_sse_is_done (ev))
    {
      c->done = true;
    }
  else
    {
      take_token (c, ev);
    }
  return true;
}

static void
on_head (void *data, pu_http_call_t *call, const pu_http_response_t *r)
{
  call_t *c = data;
  const char *id = pu_http_response_header (r, "x-request-id");
  const char *outcome = pu_http_response_header (r, "x-outcome");
  const char *after = pu_http_response_header (r, "retry-after");

  (void)call;
  c->result.status = r->status;
  c->right_id = g_strcmp0 (id, c->o.id) == 0;
  c->not_run = g_strcmp0 (outcome, "not-run") == 0;
  if (after != NULL)
    {
      c->result.retry_after_ms
          = (guint)(g_ascii_strtod (after, NULL) * MS_PER_S);
    }
}

static void
on_body (void *data, pu_http_call_t *call, const char *bytes, gsize len)
{
  call_t *c = data;

  (void)call;
  if (c->sse != NULL && c->result.status == 200)
    {
      pu_sse_feed (c->sse, bytes, len);
    }
  else if (c->text->len + len <= BODY_MAX)
    {
      g_string_append_len (c->text, bytes, (gssize)len);
    }
}

static bool
is_own_text (const call_t *c)
{
  char *want = fake_answer_text (c->o.question);
  bool same = strcmp (want, c->text->str) == 0;

  g_free (want);
  return same;
}

static bool
is_own_assignment (const call_t *c)
{
  json_t *root = json_loads (c->text->str, 0, NULL);
  const char *key = json_string_value (json_object_get (root, "key"));
  bool same = g_strcmp0 (key, c->o.key) == 0;

  json_decref (root);
  return same;
}

/* A cut stream must still be the head of its own text.  */
static bool
is_own_head (const call_t *c)
{
  char *want;
  bool head;

  if (c->o.question == NULL || c->result.status != 200)
    return true;
  want = fake_answer_text (c->o.question);
  head = g_str_has_prefix (want, c->text->str);
  g_free (want);
  return head;
}

static load_outcome_t
judge_whole (const call_t *c)
{
  if (c->result.status == 200 && !c->right_id)
    return LOAD_WRONG;
  if (c->result.status == 200 && c->o.question == NULL)
    return is_own_assignment (c) ? LOAD_OK : LOAD_WRONG;
  if (c->result.status == 200 && !c->done)
    return is_own_head (c) ? LOAD_CUT : LOAD_WRONG;
  if (c->result.status == 200)
    return is_own_text (c) ? LOAD_OK : LOAD_WRONG;
  if (c->not_run)
    return LOAD_REFUSED;
  return c->result.status >= 500 ? LOAD_UNKNOWN : LOAD_FAILED;
}

static load_outcome_t
judge (const call_t *c, const pu_http_result_t *r)
{
  if (r->kind == PU_HTTP_END_COMPLETE)
    return judge_whole (c);
  if (!r->written)
    return LOAD_NOT_SENT;
  if (!r->head || c->o.question == NULL)
    return LOAD_UNKNOWN;
  return is_own_head (c) ? LOAD_CUT : LOAD_WRONG;
}

static void
on_end (void *data, pu_http_call_t *call, const pu_http_result_t *r)
{
  call_t *c = data;

  (void)call;
  c->result.outcome = judge (c, r);
  c->result.end_us = g_get_monotonic_time ();
  c->result.answer = c->text->str;
  c->o.cb (c->o.data, &c->result);
  call_free (c);
}

static gsize
fill_headers (const load_call_options_t *o, char *priority, char *timeout,
              pu_http_header_t *h)
{
  gsize n = 0;

  g_snprintf (priority, NUMBER_MAX, "%u", o->priority);
  g_snprintf (timeout, NUMBER_MAX, "%u", o->timeout_ms);
  h[n++] = (pu_http_header_t){ "content-type", "application/json" };
  h[n++] = (pu_http_header_t){ "x-request-id", o->id };
  h[n++] = (pu_http_header_t){ "x-priority", priority };
  h[n++] = (pu_http_header_t){ "x-timeout-ms", timeout };
  if (o->service != NULL)
    h[n++] = (pu_http_header_t){ "x-service", o->service };
  if (o->question == NULL)
    {
      h[n++] = (pu_http_header_t){ "idempotency-key", o->key };
      h[n++] = (pu_http_header_t){ "x-not-repeatable", "1" };
    }
  return n;
}

bool
load_call_start (pu_http_client_t *client, const load_call_options_t *o)
{
  char priority[NUMBER_MAX];
  char timeout[NUMBER_MAX];
  pu_http_header_t headers[HEADERS_MAX];
  pu_http_call_options_t h = { .address = o->address,
                               .method = "POST",
                               .target = "/v1/chat/completions",
                               .headers = headers,
                               .first_byte_timeout_ms = o->timeout_ms,
                               .progress_timeout_ms = o->timeout_ms,
                               .events = { on_head, on_body, on_end } };
  call_t *c = g_new0 (call_t, 1);
  char *path = NULL;
  bool good;

  c->o = *o;
  c->text = g_string_new (NULL);
  if (o->question != NULL)
    {
      c->sse = pu_sse_new (EVENT_MAX, on_event, c);
    }
  else
    {
      h.target = path = g_strdup_printf ("/services/%s/assign", o->service);
    }
  h.header_count = fill_headers (o, priority, timeout, headers);
  h.body = g_bytes_new (o->body, strlen (o->body));
  h.data = c;
  good = pu_http_client_start (client, &h, NULL) != NULL;
  g_bytes_unref (h.body);
  g_free (path);
  if (!good)
    call_free (c);
  return good;
}
