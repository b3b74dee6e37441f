#include "operator/internal.h"

#include <stdarg.h>
#include <string.h>

/* A stopped or leaderless control set is asked again after that long.  */
#define RETRY_AFTER_S "2"

static void
exchange_free (pu_operator_exchange_t *x)
{
  pu_operator_unref (x->op);
  json_decref (x->document);
  json_decref (x->warnings);
  json_decref (x->answer);
  g_free (x->author);
  g_free (x->query);
  g_free (x);
}

static void
add_header (pu_operator_response_t *r, const char *name, const char *value)
{
  g_assert (r->n_headers < PU_OPERATOR_HEADERS_MAX);
  r->headers[r->n_headers].name = name;
  r->headers[r->n_headers].value = value;
  r->n_headers++;
}

static void
add_headers (pu_operator_response_t *r)
{
  add_header (r, "Cache-Control", "no-store");
  add_header (r, "X-Content-Type-Options", "nosniff");
  if (strncmp (r->content_type, "text/html", strlen ("text/html")) == 0)
    {
      add_header (r, "Content-Security-Policy",
                  "default-src 'none'; script-src 'self'; style-src 'self'; "
                  "connect-src 'self'; img-src 'self' data:; base-uri 'none'; "
                  "form-action 'none'; frame-ancestors 'none'");
      add_header (r, "Referrer-Policy", "no-referrer");
    }
  if (r->status == 401)
    add_header (r, "WWW-Authenticate", "Bearer");
  if (r->status == 503)
    add_header (r, "Retry-After", RETRY_AFTER_S);
}

void
pu_operator_exchange_send (pu_operator_exchange_t *x, int status,
                           const char *content_type, const char *body,
                           size_t len)
{
  pu_operator_response_t r = { 0 };

  r.status = status;
  r.content_type = content_type;
  r.body = body;
  r.body_len = len;
  add_headers (&r);
  x->respond (&r, x->data);
  exchange_free (x);
}

void
pu_operator_exchange_json (pu_operator_exchange_t *x, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  g_assert (text != NULL);
  json_decref (body);
  pu_operator_exchange_send (x, status, "application/json", text,
                             strlen (text));
  free (text);
}

static int
status_of (pu_error_kind_t kind)
{
  switch (kind)
    {
    case PU_OK:
      return 200;
    case PU_ERROR_INVALID:
      return 400;
    case PU_ERROR_DENIED:
      return 403;
    case PU_ERROR_NOT_FOUND:
      return 404;
    case PU_ERROR_CONFLICT:
      return 409;
    case PU_ERROR_TOO_LARGE:
      return 413;
    case PU_ERROR_UNAVAILABLE:
      return 503;
    case PU_ERROR_TIMEOUT:
      return 504;
    case PU_ERROR_IO:
    case PU_ERROR_CORRUPT:
      return 500;
    }
  return 500;
}

static json_t *
error_json (const pu_error_t *e)
{
  char *message = g_utf8_make_valid (e->message, -1);
  json_t *body = json_pack (
      "{s:s, s:s, s:s}", "error", pu_error_kind_name (e->kind), "message",
      message, "outcome", e->kind == PU_ERROR_TIMEOUT ? "unknown" : "not-run");

  g_free (message);
  return body;
}

void
pu_operator_exchange_error (pu_operator_exchange_t *x, const pu_error_t *e)
{
  pu_operator_exchange_json (x, status_of (e->kind), error_json (e));
}

void
pu_operator_exchange_fail (pu_operator_exchange_t *x, pu_error_kind_t kind,
                           const char *format, ...)
{
  pu_error_t e = { .kind = kind };
  va_list ap;

  va_start (ap, format);
  g_vsnprintf (e.message, sizeof e.message, format, ap);
  va_end (ap);
  pu_operator_exchange_error (x, &e);
}

void
pu_operator_exchange_deny (pu_operator_exchange_t *x, int status,
                           const char *message)
{
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_DENIED, "%s", message);
  pu_operator_exchange_json (x, status, error_json (&e));
}

void
pu_operator_exchange_findings (pu_operator_exchange_t *x, pu_findings_t *f)
{
  size_t n = pu_findings_count (f);
  json_t *body = json_object ();
  char *message = g_strdup_printf (
      "There %s %zu finding%s.", n == 1 ? "is" : "are", n, n == 1 ? "" : "s");

  json_object_set_new (body, "error", json_string ("invalid"));
  json_object_set_new (body, "message", json_string (message));
  json_object_set_new (body, "outcome", json_string ("not-run"));
  json_object_set_new (body, "findings", pu_findings_to_json (f));
  g_free (message);
  pu_findings_free (f);
  pu_operator_exchange_json (x, 400, body);
}

void
pu_operator_exchange_done_json (json_t *result, const pu_error_t *e,
                                void *data)
{
  if (result != NULL)
    {
      pu_operator_exchange_json (data, 200, result);
    }
  else
    {
      pu_operator_exchange_error (data, e);
    }
}

char *
pu_operator_exchange_argument (const pu_operator_exchange_t *x,
                               const char *name)
{
  char **pairs = g_strsplit (x->query, "&", -1);
  size_t len = strlen (name);
  char *value = NULL;

  for (size_t i = 0; pairs[i] != NULL && value == NULL; i++)
    {
      if (strncmp (pairs[i], name, len) == 0 && pairs[i][len] == '=')
        value = g_uri_unescape_string (pairs[i] + len + 1, NULL);
    }
  g_strfreev (pairs);
  return value;
}

json_t *
pu_operator_exchange_object (pu_operator_exchange_t *x)
{
  pu_findings_t *f;
  json_error_t e;
  json_t *o;

  o = json_loadb (x->body, x->body_len, JSON_REJECT_DUPLICATES, &e);
  if (json_is_object (o))
    return o;
  f = pu_findings_new ();
  if (o == NULL)
    {
      pu_findings_add_at (f, e.line, e.column, "The body is no JSON: %s.",
                          e.text);
    }
  else
    {
      pu_findings_add (f, "", "The body must be a JSON object.");
    }
  json_decref (o);
  pu_operator_exchange_findings (x, f);
  return NULL;
}

const pu_state_t *
pu_operator_exchange_view (const pu_operator_exchange_t *x)
{
  return x->op->hooks.view (x->op->hooks.data);
}
