#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  CALLER_BUFFER_MAX = 256 * 1024, /* unsent to the caller: reading pauses */
  PREDICTED_FACTOR = 4, /* the head may take so many times the estimate */
  RETRY_AFTER_MAX_S = 3600,
  STATUS_OK = 200,
  STATUS_CLIENT_ERROR = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_TOO_MANY = 429,
  STATUS_ERROR = 500,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
};

static guint64
now_of (const pu_exchange_t *x)
{
  return uv_now (x->en->o.loop);
}

/* The suspects' table is told that the attempt of X is over.  One that was
   cancelled, or broke while its backend server listened on, may be killing
   that.  */
static void
suspects_forget (const pu_exchange_t *x)
{
  pu_suspects_t *suspects = x->en->suspects;
  const pu_attempt_t *at = &x->at;
  bool cut = at->call != NULL || x->phase == PU_X_HELD;

  if (at->noted && cut)
    {
      pu_suspects_cut (suspects, x->number, now_of (x));
    }
  else if (at->noted)
    {
      pu_suspects_finished (suspects, x->number);
    }
  if (at->apart && cut)
    {
      pu_server_apart_cut (at->server);
    }
  else if (at->apart)
    {
      pu_server_apart (x->en, at->server, false);
    }
}

void
pu_attempt_clear (pu_exchange_t *x)
{
  pu_attempt_t *at = &x->at;

  suspects_forget (x);
  if (x->phase == PU_X_HELD)
    pu_server_unhold (x);
  if (at->call != NULL)
    pu_http_call_cancel (at->call);
  g_free (at->entry);
  g_free (at->content_type);
  g_free (at->outcome);
  g_free (at->retry_after);
  if (at->whole != NULL)
    g_byte_array_free (at->whole, TRUE);
  pu_stream_free (at->stream);
  memset (at, 0, sizeof *at);
}

/* --- to the caller --- */

static void
stream_head (pu_exchange_t *x)
{
  char tokens[16];
  pu_http_header_t headers[4] = { { "content-type", "text/event-stream" },
                                  { "cache-control", "no-cache" },
                                  { "x-request-id", x->id } };
  gsize n = 3;

  if (x->resumed > 0)
    {
      g_snprintf (tokens, sizeof tokens, "%u", x->resumed);
      headers[n++] = (pu_http_header_t){ "x-resume-tokens", tokens };
    }
  x->head_sent = true;
  pu_http_respond_start (x->http, STATUS_OK, headers, n);
}

static void
tokens_report (pu_exchange_t *x, guint tokens)
{
  guint total = pu_stream_tokens (x->at.stream);

  if (tokens > 0 && x->at.noted && !x->at.begun)
    {
      x->at.begun = true;
      pu_suspects_answered (x->en->suspects, x->number);
    }
  if (tokens == 0 || x->ticket == 0)
    return;
  if (total == 1)
    {
      pu_router_first_token (x->en->router, x->ticket, now_of (x));
    }
  else
    {
      pu_router_tokens (x->en->router, x->ticket, total, now_of (x));
    }
}

static void
on_event (void *data, const char *bytes, gsize len, guint tokens)
{
  pu_exchange_t *x = data;

  tokens_report (x, tokens);
  if (x->once)
    {
      g_byte_array_append (x->at.whole, (const guint8 *)bytes, (guint)len);
      return;
    }
  if (x->http == NULL)
    return;
  if (!x->head_sent)
    stream_head (x);
  if (pu_http_respond_write (x->http, bytes, len) > CALLER_BUFFER_MAX)
    pu_http_call_pause (x->at.call);
}

/* The answer that is held whole goes to the caller.  */
static void
whole_send (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  pu_http_header_t headers[5] = { { "x-request-id", x->id } };
  gsize n = 1;

  if (at->content_type != NULL)
    headers[n++] = (pu_http_header_t){ "content-type", at->content_type };
  if (at->outcome != NULL)
    {
      headers[n++] = (pu_http_header_t){ "x-outcome", at->outcome };
    }
  else if (at->status >= STATUS_CLIENT_ERROR)
    {
      headers[n++] = (pu_http_header_t){ "x-outcome", "ran" };
    }
  if (at->retry_after != NULL)
    headers[n++] = (pu_http_header_t){ "retry-after", at->retry_after };
  if (x->http != NULL)
    {
      pu_http_respond (x->http, at->status, headers, n,
                       (const char *)at->whole->data, at->whole->len);
    }
  x->http = NULL;
}

static void
router_finished (pu_exchange_t *x, pu_router_outcome_t outcome)
{
  pu_ticket_t ticket = x->ticket;

  if (ticket == 0)
    return;
  g_hash_table_remove (x->en->tickets, &x->ticket);
  x->ticket = 0;
  pu_router_finished (x->en->router, ticket, outcome, now_of (x));
  pu_router_due (x->en);
}

static void
claim_succeed (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  pu_once_result_t result = { .status = (guint)at->status,
                              .content_type = at->content_type,
                              .body = at->whole->data,
                              .len = at->whole->len };
  static const pu_refusal_t large
      = { STATUS_BAD_GATEWAY, "too_large", PU_RAN, 0 };
  char *text = NULL;

  if (result.content_type == NULL)
    result.content_type = "";
  if (at->whole->len > PU_RESULT_MAX)
    {
      text
          = pu_error_text (&large, "It ran; its answer is too large to keep.");
      result = (pu_once_result_t){ STATUS_BAD_GATEWAY, "application/json",
                                   text, strlen (text) };
    }
  pu_claim_finished (x, PU_ONCE_RAN, &result);
  g_free (text);
}

/* The answer is whole.  */
static void
attempt_succeed (pu_exchange_t *x)
{
  bool good = x->at.status < STATUS_CLIENT_ERROR;

  if (good)
    pu_demand_ran (x);
  router_finished (x, good ? PU_ROUTER_WHOLE : PU_ROUTER_REJECTED);
  if (x->claim != 0)
    {
      claim_succeed (x);
      return;
    }
  if (x->at.streaming && x->http != NULL)
    {
      pu_http_respond_finish (x->http);
    }
  else if (!x->at.streaming)
    {
      whole_send (x);
    }
  x->http = NULL;
  pu_exchange_done (x);
}

/* --- from the backend server or the other entry --- */

/* A broken attempt: the backend server is looked at before the next one.  */
static void
attempt_broke (pu_exchange_t *x, pu_router_failure_t failure)
{
  if (x->at.streaming && x->http != NULL && x->head_sent
      && pu_entry_breaks (x->en, PU_ENTRY_BREAK_WHOLE))
    {
      attempt_succeed (x);
      return;
    }
  x->at.failure = failure;
  x->may_have_run = true;
  if (x->at.server != NULL)
    {
      pu_server_hold (x->at.server, x);
    }
  else
    {
      pu_exchange_again (x, failure);
    }
}

/* An answer that is no stream, such as another entry's refusal, can't follow
   the beginning of one.  */
static void
rest_refused (pu_exchange_t *x)
{
  if (x->at.server == NULL
      && g_strcmp0 (x->at.outcome, pu_outcome_word (PU_NOT_RUN)) == 0)
    {
      pu_exchange_again (x, PU_ROUTER_FAIL_NOT_RUN);
    }
  else
    {
      attempt_broke (x, PU_ROUTER_FAIL_TRUNCATED);
    }
}

static char *
header_copy (const pu_http_response_t *r, const char *name)
{
  return g_strdup (pu_http_response_header (r, name));
}

/* Whether the answer is to X.  An engine names the request that it
   answers.  */
static bool
is_answer_to (const pu_exchange_t *x, const pu_http_response_t *r)
{
  const char *id = pu_http_response_header (r, "x-request-id");

  if (id == NULL)
    return x->plain || x->at.server == NULL || r->status != STATUS_OK;
  return strcmp (id, x->id) == 0;
}

static bool
is_event_stream (const char *content_type)
{
  static const char type[] = "text/event-stream";

  return content_type != NULL
         && g_ascii_strncasecmp (content_type, type, sizeof type - 1) == 0;
}

static bool
resume_confirmed (const pu_exchange_t *x, const pu_http_response_t *r)
{
  const char *tokens = pu_http_response_header (r, "x-resume-tokens");
  guint64 n = 0;

  return x->sent.tokens > 0 && tokens != NULL
         && g_ascii_string_to_unsigned (tokens, 10, 0, G_MAXUINT32, &n, NULL)
         && n == x->sent.tokens;
}

static void
on_head (void *data, pu_http_call_t *call, const pu_http_response_t *r)
{
  pu_exchange_t *x = data;
  pu_attempt_t *at = &x->at;

  (void)call;
  at->answered = true;
  at->status = r->status;
  at->foreign = !is_answer_to (x, r);
  at->content_type = header_copy (r, "content-type");
  at->outcome = header_copy (r, "x-outcome");
  at->retry_after = header_copy (r, "retry-after");
  at->streaming = !x->plain && r->status == STATUS_OK
                  && is_event_stream (at->content_type);
  at->whole = g_byte_array_new ();
  if (at->streaming)
    {
      at->stream = pu_stream_new (
          &x->sent,
          resume_confirmed (x, r)
              || pu_entry_breaks (x->en, PU_ENTRY_BREAK_REPLAY),
          on_event, x);
    }
  if (!at->streaming && !at->foreign && x->ticket != 0
      && r->status < STATUS_CLIENT_ERROR)
    pu_router_first_token (x->en->router, x->ticket, now_of (x));
}

static void
whole_take (pu_exchange_t *x, const char *bytes, gsize len)
{
  pu_attempt_t *at = &x->at;

  if (at->whole->len + len > x->en->o.body_max)
    {
      at->overflow = true;
    }
  else
    {
      g_byte_array_append (at->whole, (const guint8 *)bytes, (guint)len);
    }
}

static void
fail_doubled (pu_exchange_t *x)
{
  static const pu_refusal_t doubled
      = { STATUS_BAD_GATEWAY, "doubled", PU_RAN, 0 };

  pu_log_note (PU_ENTRY_PART, "The answer to request %s had tokens twice.",
               x->id);
  pu_exchange_fail (x, &doubled,
                    "The backend server sent more tokens than it counts.");
}

static void
on_body (void *data, pu_http_call_t *call, const char *bytes, gsize len)
{
  pu_exchange_t *x = data;
  pu_attempt_t *at = &x->at;
  bool doubled = false;

  if (!at->streaming && !at->foreign)
    {
      whole_take (x, bytes, len);
    }
  else if (!at->foreign && !at->done)
    {
      pu_stream_result_t result = pu_stream_feed (at->stream, bytes, len);

      at->done = result == PU_STREAM_DONE;
      at->broken = result == PU_STREAM_BROKEN;
      at->foreign = result == PU_STREAM_FOREIGN;
      doubled = result == PU_STREAM_DOUBLED;
    }
  if (!at->foreign && !at->broken && !at->overflow && !doubled)
    return;
  at->call = NULL;
  pu_http_call_cancel (call);
  if (doubled)
    {
      fail_doubled (x);
      return;
    }
  if (at->foreign)
    {
      pu_log_note (PU_ENTRY_PART, "Dropped a foreign answer to request %s.",
                   x->id);
    }
  attempt_broke (x, PU_ROUTER_FAIL_TRUNCATED);
}

/* Whether another entry says that it did not run X, which may have run
   before, here or on its way.  */
static bool
denies_earlier_run (const pu_exchange_t *x)
{
  return x->at.server == NULL && x->may_have_run
         && g_strcmp0 (x->at.outcome, pu_outcome_word (PU_NOT_RUN)) == 0;
}

/* The other entry's refusal of X goes to the caller with the outcome over all
   attempts.  */
static void
refusal_pass (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  json_t *root
      = json_loadb ((const char *)at->whole->data, at->whole->len, 0, NULL);
  const char *type = "refused";
  const char *message = "Another entry refused it.";
  pu_refusal_t r = { .status = at->status, .outcome = PU_UNKNOWN };

  json_unpack (root, "{s:{s:s, s:s}}", "error", "type", &type, "message",
               &message);
  r.type = type;
  if (at->retry_after != NULL)
    {
      guint64 seconds = g_ascii_strtoull (at->retry_after, NULL, 10);

      r.retry_after_ms = (guint)MIN (seconds, RETRY_AFTER_MAX_S) * 1000;
    }
  pu_exchange_fail (x, &r, message);
  json_decref (root);
}

/* The backend server says that the request did not run.  */
static bool
says_not_run (const pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  bool refused
      = at->status == STATUS_TOO_MANY || at->status == STATUS_UNAVAILABLE;

  if (at->server == NULL)
    return false;
  if (g_strcmp0 (at->outcome, "not-run") == 0)
    return refused || at->status == STATUS_NOT_FOUND;
  return refused && !x->plain && at->outcome == NULL;
}

static void
answer_complete (pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  bool engine = at->server != NULL && !x->plain;
  bool stray = x->head_sent && !at->streaming;
  bool refused = !at->foreign && says_not_run (x);
  bool broken = at->foreign || (at->streaming && !at->done)
                || (engine && at->status >= STATUS_ERROR);

  if (refused)
    {
      pu_exchange_again (x, PU_ROUTER_FAIL_NOT_RUN);
    }
  else if (stray && !at->foreign)
    {
      rest_refused (x);
    }
  else if (broken)
    {
      attempt_broke (x, PU_ROUTER_FAIL_TRUNCATED);
    }
  else if (denies_earlier_run (x))
    {
      refusal_pass (x);
    }
  else
    {
      attempt_succeed (x);
    }
}

static void
not_connected (pu_exchange_t *x)
{
  if (x->at.server != NULL)
    pu_server_doubt (x->at.server);
  pu_exchange_again (x, PU_ROUTER_FAIL_CONNECT);
}

static void
on_end (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  pu_exchange_t *x = data;

  (void)call;
  x->at.call = NULL;
  /* After its end mark a stream is whole, however the connection ends.  */
  if (x->at.done)
    {
      attempt_succeed (x);
      return;
    }
  switch (result->kind)
    {
    case PU_HTTP_END_COMPLETE:
      answer_complete (x);
      break;
    case PU_HTTP_END_CONNECT_FAILED:
    case PU_HTTP_END_CONNECT_TIMEOUT:
      not_connected (x);
      break;
    case PU_HTTP_END_FIRST_BYTE_TIMEOUT:
    case PU_HTTP_END_PROGRESS_TIMEOUT:
      attempt_broke (x, PU_ROUTER_FAIL_SILENT);
      break;
    case PU_HTTP_END_STALE:
    case PU_HTTP_END_CLOSED:
      attempt_broke (x, PU_ROUTER_FAIL_DIED);
      break;
    case PU_HTTP_END_UNTIL_CLOSE:
    case PU_HTTP_END_TRUNCATED:
    case PU_HTTP_END_MALFORMED:
    case PU_HTTP_END_TOO_LARGE:
      attempt_broke (x, PU_ROUTER_FAIL_TRUNCATED);
      break;
    }
}

/* --- sending --- */

enum
{
  NUMBER_TEXT = 24,
};

typedef struct
{
  GArray *headers; /* of pu_http_header_t */
  char priority[NUMBER_TEXT];
  char timeout[NUMBER_TEXT];
  char tokens[NUMBER_TEXT];
} request_head_t;

static void
header_add (request_head_t *h, const char *name, const char *value)
{
  pu_http_header_t one = { name, value };

  g_array_append_val (h->headers, one);
}

static void
head_fill (request_head_t *h, const pu_exchange_t *x)
{
  guint64 now = now_of (x);
  guint64 left = x->deadline > now ? x->deadline - now : 1;

  h->headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));
  for (guint i = 0; i + 1 < x->headers->len; i += 2)
    {
      header_add (h, g_ptr_array_index (x->headers, i),
                  g_ptr_array_index (x->headers, i + 1));
    }
  g_snprintf (h->priority, sizeof h->priority, "%u", x->priority);
  g_snprintf (h->timeout, sizeof h->timeout, "%" G_GUINT64_FORMAT, left);
  header_add (h, "X-Request-Id", x->id);
  if (x->plain)
    return;
  header_add (h, "X-Priority", h->priority);
  header_add (h, "X-Timeout-Ms", h->timeout);
  if (x->key != NULL)
    header_add (h, "Idempotency-Key", x->key);
  if (x->sent.tokens == 0)
    return;
  g_snprintf (h->tokens, sizeof h->tokens, "%u", x->sent.tokens);
  header_add (h, "X-Resume-Tokens", h->tokens);
}

static guint
first_byte_timeout (const pu_exchange_t *x)
{
  guint64 now = now_of (x);
  guint64 left = x->deadline > now ? x->deadline - now : 1;
  guint64 limit = MAX (x->en->o.progress_ms,
                       (guint64)x->predicted_ms * PREDICTED_FACTOR);

  /* Where it can't be tried again, there is nothing to gain by doubt.  */
  if (!x->repeatable || x->plain)
    limit = left;
  return (guint)MIN (limit, left);
}

static bool
call_start (pu_exchange_t *x, const char *address, const char *target,
            const request_head_t *h)
{
  bool has_body = g_bytes_get_size (x->body) > 0;
  GBytes *body = x->sent.tokens > 0 ? pu_exchange_resume_body (x)
                                    : g_bytes_ref (x->body);
  pu_http_call_options_t o
      = { .address = address,
          .method = x->method,
          .target = target,
          .headers = (const pu_http_header_t *)(void *)h->headers->data,
          .header_count = h->headers->len,
          .body = has_body ? body : NULL,
          .has_body = strcmp (x->method, "POST") == 0,
          .fresh = !x->repeatable,
          .first_byte_timeout_ms = first_byte_timeout (x),
          .progress_timeout_ms = x->en->o.progress_ms,
          .events = { on_head, on_body, on_end },
          .data = x };

  x->at.call = pu_http_client_start (x->en->client, &o, NULL);
  g_bytes_unref (body);
  if (x->at.call == NULL)
    return false;
  x->at.sent_at = now_of (x);
  x->phase = PU_X_RUNNING;
  x->attempts++;
  return true;
}

static void
suspects_note (pu_exchange_t *x, pu_server_t *s)
{
  pu_suspects_t *suspects = x->en->suspects;

  if (x->plain)
    return;
  if (pu_suspects_is_suspect (suspects, x->fingerprint, now_of (x)))
    {
      x->at.apart = true;
      pu_server_apart (x->en, s, true);
    }
  pu_suspects_started (suspects, x->number, x->fingerprint, s->number,
                       s->incarnation, now_of (x));
  x->at.noted = true;
}

bool
pu_attempt_start (pu_exchange_t *x, pu_server_t *s)
{
  request_head_t h;
  bool good;

  head_fill (&h, x);
  x->at.server = s;
  x->at.incarnation = s->incarnation;
  good = call_start (x, s->address, x->target, &h);
  g_array_free (h.headers, TRUE);
  if (!good)
    return false;
  suspects_note (x, s);
  pu_router_sent (x->en->router, x->ticket, now_of (x));
  return true;
}

bool
pu_attempt_relay (pu_exchange_t *x, const pu_directory_entry_t *to)
{
  char *target = x->plain
                     ? g_strconcat ("/services/", x->service, x->target, NULL)
                     : g_strdup (x->target);
  request_head_t h;
  bool good;

  head_fill (&h, x);
  header_add (&h, "X-Relay-Hop", x->hops == 0 ? "1" : "2");
  header_add (&h, "X-Relay-Key", x->en->peer_key);
  if (!x->plain)
    header_add (&h, "X-Service", x->service);
  x->at.entry = g_strdup (to->name);
  good = call_start (x, to->address, target, &h);
  g_array_free (h.headers, TRUE);
  g_free (target);
  if (!good)
    pu_attempt_clear (x);
  return good;
}
