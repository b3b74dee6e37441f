#include "http/fetch.h"

enum
{
  /* How many times the limit between two bytes the whole body may take.  */
  BODY_TIMEOUTS = 4,
  US_PER_MS = 1000,
};

struct pu_http_fetch
{
  pu_http_call_t *call;
  const pu_http_response_t *response;
  GString *body;
  gsize max;
  gint64 body_max_us; /* from the head to the end of the body; 0: no limit */
  gint64 head_at_us;
  pu_http_fetch_cb cb;
  void *cb_data;
};

static void
fetch_free (pu_http_fetch_t *f)
{
  g_string_free (f->body, TRUE);
  g_free (f);
}

static void
fetch_report (pu_http_fetch_t *f, const pu_http_result_t *result)
{
  pu_http_fetched_t got = {
    .result = *result,
    .response = f->response,
    .body = f->body->str,
    .body_len = f->body->len,
  };

  f->cb (f->cb_data, &got);
}

static void
on_head (void *data, pu_http_call_t *call, const pu_http_response_t *r)
{
  pu_http_fetch_t *f = data;

  (void)call;
  f->response = r;
  f->head_at_us = g_get_monotonic_time ();
}

static bool
is_too_slow (const pu_http_fetch_t *f)
{
  return f->body_max_us > 0
         && g_get_monotonic_time () > f->head_at_us + f->body_max_us;
}

static void
on_body (void *data, pu_http_call_t *call, const char *bytes, gsize len)
{
  pu_http_fetch_t *f = data;
  bool slow = is_too_slow (f);
  pu_http_result_t result
      = { .kind = slow ? PU_HTTP_END_PROGRESS_TIMEOUT : PU_HTTP_END_TOO_LARGE,
          .written = true,
          .head = true };

  if (!slow && len <= f->max - f->body->len)
    {
      g_string_append_len (f->body, bytes, (gssize)len);
      return;
    }
  fetch_report (f, &result);
  pu_http_call_cancel (call);
  fetch_free (f);
}

static void
on_end (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  pu_http_fetch_t *f = data;

  (void)call;
  fetch_report (f, result);
  fetch_free (f);
}

pu_http_fetch_t *
pu_http_fetch (pu_http_client_t *c, const pu_http_call_options_t *o, gsize max,
               pu_http_fetch_cb cb, void *data, pu_error_t *e)
{
  pu_http_fetch_t *f = g_new0 (pu_http_fetch_t, 1);
  pu_http_call_options_t one = *o;

  f->body = g_string_new (NULL);
  f->max = max;
  f->body_max_us = (gint64)o->progress_timeout_ms * BODY_TIMEOUTS * US_PER_MS;
  f->cb = cb;
  f->cb_data = data;
  one.events = (pu_http_call_events_t){ on_head, on_body, on_end };
  one.data = f;
  f->call = pu_http_client_start (c, &one, e);
  if (f->call != NULL)
    return f;
  fetch_free (f);
  return NULL;
}

void
pu_http_fetch_cancel (pu_http_fetch_t *f)
{
  if (f == NULL)
    return;
  pu_http_call_cancel (f->call);
  fetch_free (f);
}

bool
pu_http_fetched_in_order (const pu_http_fetched_t *f)
{
  return f->response != NULL
         && (f->result.kind == PU_HTTP_END_COMPLETE
             || f->result.kind == PU_HTTP_END_UNTIL_CLOSE);
}
