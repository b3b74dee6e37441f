/* Forwards the response of an attempt to the caller.  */

#include "entry/entry_private.h"
#include "entry/trace.h"

#include <string.h>

enum
{
  /* Reading from the backend server pauses while more bytes than this have not
     been sent to the caller yet.  */
  CALLER_BUFFER_MAX_BYTES = 256 * 1024,
  STATUS_OK = 200,
  STATUS_CLIENT_ERROR = 400,
  STATUS_BAD_GATEWAY = 502,
};

static guint64
now_of (const pu_exchange_t *x)
{
  return uv_now (x->en->o.loop);
}

/* --- response heads sent to the caller --- */

/* Returns the response headers in PASSED, which holds names and values in
   turn.  */
static GArray *
headers_of (const GPtrArray *passed)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));

  for (guint i = 0; i + 1 < passed->len; i += 2)
    {
      pu_http_header_t one = { passed->pdata[i], passed->pdata[i + 1] };

      g_array_append_val (headers, one);
    }
  return headers;
}

/* Starts the streamed response to X with HEADERS (of pu_http_header_t).  The
   entry that relayed X is told the software version.  */
static void
head_send (pu_exchange_t *x, int status, GArray *headers)
{
  char *software = x->relayed && x->software != NULL
                       ? pu_software_encode (x->software)
                       : NULL;
  pu_http_header_t one = { PU_SOFTWARE_RELAY_HEADER, software };

  if (software != NULL)
    g_array_append_val (headers, one);
  x->head_sent = true;
  pu_http_respond_start (x->http, status,
                         (const pu_http_header_t *)(void *)headers->data,
                         headers->len);
  g_free (software);
}

static void
forwarded_head_send (pu_exchange_t *x)
{
  GArray *headers = headers_of (x->at.headers);

  head_send (x, x->at.status, headers);
  g_array_free (headers, TRUE);
}

static void
completion_head_send (pu_exchange_t *x)
{
  char tokens[16];
  const pu_http_header_t own[] = { { "content-type", "text/event-stream" },
                                   { "cache-control", "no-cache" },
                                   { "x-request-id", x->q.id },
                                   { "x-resume-tokens", tokens } };
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));

  g_snprintf (tokens, sizeof tokens, "%u", x->resumed);
  g_array_append_vals (headers, own,
                       G_N_ELEMENTS (own) - (x->resumed > 0 ? 0 : 1));
  head_send (x, STATUS_OK, headers);
  g_array_free (headers, TRUE);
}

static void
stream_head_send (pu_exchange_t *x)
{
  if (x->head_sent)
    return;
  if (x->at.headers != NULL)
    {
      forwarded_head_send (x);
    }
  else
    {
      completion_head_send (x);
    }
}

/* --- streams sent to the caller --- */

static void
stream_write (pu_exchange_t *x, const char *bytes, gsize len)
{
  if (x->http == NULL)
    return;
  pu_software_begin (x);
  stream_head_send (x);
  if (pu_http_respond_write (x->http, bytes, len) > CALLER_BUFFER_MAX_BYTES)
    pu_http_call_pause (x->at.call);
}

/* Reports to the suspects table and to the router that TOTAL tokens or events
   have been received in this attempt.  */
static void
progress_report (pu_exchange_t *x, guint total)
{
  if (x->at.suspect_tracked && !x->at.reported_to_suspects)
    {
      x->at.reported_to_suspects = true;
      pu_suspects_answered (x->en->suspects, x->number);
    }
  pu_part_wrote (x, total);
  if (x->ticket == 0)
    return;
  if (!x->at.reported_to_router)
    {
      x->at.reported_to_router = true;
      pu_router_first_token (x->en->router, x->ticket, now_of (x));
    }
  pu_router_tokens (x->en->router, x->ticket, total, now_of (x));
}

void
pu_deliver_tokens (void *data, const char *bytes, gsize len, guint tokens)
{
  pu_exchange_t *x = data;

  if (tokens > 0)
    progress_report (x, pu_stream_token_count (x->at.stream));
  if (x->once)
    {
      if (!pu_buffered_append (x, bytes, len))
        x->at.overflow = true;
      return;
    }
  stream_write (x, bytes, len);
}

/* Records the time to the first event and the longest pause between events, as
   the caller of X sees them.  */
static void
pacing_record (pu_exchange_t *x)
{
  guint64 now = now_of (x);

  if (x->events > 0)
    {
      x->max_event_gap_ms
          = MAX (x->max_event_gap_ms, (guint)(now - x->last_event_at));
    }
  else
    {
      x->first_event_ms = (guint)(now - x->q.arrived);
      pu_trace_first_event (x);
    }
  x->last_event_at = now;
}

void
pu_deliver_events (void *data, const char *bytes, gsize len, guint n)
{
  pu_exchange_t *x = data;

  x->last_event = pu_event_filter_last_id (x->at.events);
  if (n > 0)
    {
      pacing_record (x);
      x->events += n;
      progress_report (x, pu_event_filter_count (x->at.events));
    }
  stream_write (x, bytes, len);
}

void
pu_deliver_stream_end (pu_exchange_t *x)
{
  if (x->http == NULL)
    return;
  stream_head_send (x);
  pu_http_respond_finish (x->http);
  x->http = NULL;
}

/* --- complete responses sent to the caller --- */

/* The headers of a complete response of the completions interface.  */
static GArray *
completion_headers (const pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));
  pu_http_header_t id = { "x-request-id", x->q.id };
  pu_http_header_t type = { "content-type", at->content_type };
  pu_http_header_t outcome
      = { "x-outcome", at->outcome != NULL ? at->outcome : "ran" };
  pu_http_header_t retry = { "retry-after", at->retry_after };

  g_array_append_val (headers, id);
  if (at->content_type != NULL)
    g_array_append_val (headers, type);
  if (at->outcome != NULL || at->status >= STATUS_CLIENT_ERROR)
    g_array_append_val (headers, outcome);
  if (at->retry_after != NULL)
    g_array_append_val (headers, retry);
  return headers;
}

void
pu_deliver_response (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  GArray *headers;

  if (x->http == NULL)
    return;
  headers = at->headers != NULL ? headers_of (at->headers)
                                : completion_headers (x);
  pu_http_respond (x->http, at->status,
                   (const pu_http_header_t *)(void *)headers->data,
                   headers->len, (const char *)at->body->data, at->body->len);
  g_array_free (headers, TRUE);
  x->http = NULL;
}

void
pu_deliver_saved_failure (pu_exchange_t *x)
{
  GArray *headers = headers_of (x->saved_failure.headers);

  pu_http_respond (x->http, x->saved_failure.status,
                   (const pu_http_header_t *)(void *)headers->data,
                   headers->len, (const char *)x->saved_failure.body->data,
                   x->saved_failure.body->len);
  g_array_free (headers, TRUE);
  x->http = NULL;
}

/* Whether the log has room for R, the result of a request.  */
static bool
is_storable (const pu_once_result_t *r)
{
  return r->len <= PU_RESULT_MAX && strlen (r->content_type) <= PU_NAME_MAX;
}

void
pu_deliver_at_most_once (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  pu_once_result_t result = { .status = (guint)at->status,
                              .content_type = at->content_type,
                              .body = at->body->data,
                              .len = at->body->len };
  static const pu_refusal_t large
      = { STATUS_BAD_GATEWAY, "too_large", PU_RUN_OUTCOME_RAN, 0 };
  char *text = NULL;

  if (result.content_type == NULL)
    result.content_type = "";
  if (!is_storable (&result))
    {
      text = pu_error_json_text (
          &large, "The request ran; its response is too large to store.");
      result = (pu_once_result_t){ STATUS_BAD_GATEWAY, "application/json",
                                   text, strlen (text) };
    }
  pu_claim_finished (x, PU_ONCE_OUTCOME_RAN, &result);
  g_free (text);
}
