/* The built-in frontend: the completions interface, and plain services by
   their names.  Requests are read by parse.c.  */

#include "entry/entry_private.h"
#include "http/retry_after.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_TOO_MANY = 429,
  STATUS_ERROR = 500,
  STATUS_UNAVAILABLE = 503,
};

/* --- headers of requests to backend servers --- */

void
pu_header_list_init (pu_header_list_t *h)
{
  h->headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));
  h->owned = g_ptr_array_new_with_free_func (g_free);
}

void
pu_header_list_clear (pu_header_list_t *h)
{
  g_array_free (h->headers, TRUE);
  g_ptr_array_free (h->owned, TRUE);
}

void
pu_header_list_add (pu_header_list_t *h, const char *name, const char *value)
{
  pu_http_header_t one = { name, value };

  g_array_append_val (h->headers, one);
}

void
pu_header_list_add_number (pu_header_list_t *h, const char *name,
                           guint64 value)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, value);

  g_ptr_array_add (h->owned, text);
  pu_header_list_add (h, name, text);
}

void
pu_builtin_request_headers (const pu_exchange_t *x, pu_header_list_t *h)
{
  guint64 now = uv_now (x->en->o.loop);
  guint64 left = x->q.deadline > now ? x->q.deadline - now : 1;

  pu_header_list_add (h, "X-Request-Id", x->q.id);
  if (x->q.team != NULL)
    pu_header_list_add (h, PU_BUILTIN_TEAM_HEADER, x->q.team);
  if (x->q.plain)
    return;
  pu_header_list_add_number (h, "X-Priority", x->q.priority);
  pu_header_list_add_number (h, "X-Timeout-Ms", left);
  if (x->key != NULL)
    pu_header_list_add (h, "Idempotency-Key", x->key);
  if (x->delivered.tokens > 0)
    pu_header_list_add_number (h, "X-Resume-Tokens", x->delivered.tokens);
}

/* --- classification of responses --- */

/* Whether R is a response to X.  A successful response of an engine must state
   the request id.  */
static bool
is_response_to (const pu_exchange_t *x, const pu_http_response_t *r)
{
  const char *id = pu_http_response_header (r, "x-request-id");

  if (id == NULL)
    return x->q.plain || x->at.server == NULL || r->status != STATUS_OK;
  return strcmp (id, x->q.id) == 0;
}

static bool
is_event_stream (const char *content_type)
{
  static const char type[] = "text/event-stream";

  return content_type != NULL
         && g_ascii_strncasecmp (content_type, type, sizeof type - 1) == 0;
}

static bool
is_refusal_status (int status)
{
  return status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

/* Whether the response of a backend server says that the request did not
   run.  */
static bool
says_not_run (const pu_exchange_t *x)
{
  const pu_attempt_t *at = &x->at;
  bool refused = is_refusal_status (at->status);

  if (at->server == NULL)
    return false;
  if (g_strcmp0 (at->outcome, "not-run") == 0)
    return refused || at->status == STATUS_NOT_FOUND;
  return refused && !x->q.plain && at->outcome == NULL;
}

static char *
header_copy (const pu_http_response_t *r, const char *name)
{
  return g_strdup (pu_http_response_header (r, name));
}

void
pu_builtin_classify_response (pu_exchange_t *x, const pu_http_response_t *r)
{
  pu_attempt_t *at = &x->at;

  at->content_type = header_copy (r, "content-type");
  at->outcome = header_copy (r, "x-outcome");
  at->retry_after = header_copy (r, "retry-after");
  at->answer = (pu_response_class_t){
    .foreign = !is_response_to (x, r),
    .not_run = says_not_run (x),
    .stream = !x->q.plain && r->status == STATUS_OK
              && is_event_stream (at->content_type),
    .failed = at->server != NULL && !x->q.plain && r->status >= STATUS_ERROR,
  };
  if (at->server != NULL && is_refusal_status (at->status))
    at->answer.retry_after_ms = pu_http_retry_after_ms (at->retry_after);
}

static const char *
builtin_request_id (void *data, pu_http_request_t *http)
{
  (void)data;
  return pu_http_request_header (http, "x-request-id");
}

static void
builtin_refuse (void *data, pu_http_request_t *http, const char *id,
                const pu_refusal_t *r, const char *message)
{
  if (id == NULL)
    id = builtin_request_id (data, http);
  pu_respond_error (http, id, r, message);
}

void
pu_entry_builtin_frontend (pu_frontend_t *f)
{
  *f = (pu_frontend_t){ .id = builtin_request_id, .refuse = builtin_refuse };
}
