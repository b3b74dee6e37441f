#include "operator/internal.h"

#include <string.h>

#include "base/json.h"

#define PROPOSE_TIMEOUT_MS 10000

typedef struct
{
  const char *method;
  const char *path;
  pu_operator_exchange_handler_fn *handle;
  bool needs_view; /* an answer from an empty view would be false */
} route_t;

static void
get_metrics (pu_operator_exchange_t *x)
{
  GString *out = g_string_new ("");

  if (x->op->hooks.metrics != NULL)
    x->op->hooks.metrics (out, x->op->hooks.data);
  pu_operator_exchange_send (x, 200, "text/plain; version=0.0.4", out->str,
                             out->len);
  g_string_free (out, TRUE);
}

static const route_t routes[] = {
  { "GET", "/operator/document", pu_operator_get_document, true },
  { "POST", "/operator/check", pu_operator_check, false },
  { "POST", "/operator/submit", pu_operator_submit, true },
  { "POST", "/operator/diff", pu_operator_diff, true },
  { "POST", "/operator/plan", pu_operator_plan, true },
  { "GET", "/operator/history", pu_operator_get_history, false },
  { "GET", "/operator/status", pu_operator_get_status, false },
  { "GET", "/operator/dump", pu_operator_get_dump, false },
  { "POST", "/operator/drain", pu_operator_drain, true },
  { "POST", "/operator/voters", pu_operator_voters, false },
  { "POST", "/operator/log-level", pu_operator_log_level, false },
  { "GET", "/operator/convictions", pu_operator_get_convictions, true },
  { "POST", "/operator/convictions/lift", pu_operator_lift, true },
  { "GET", "/metrics", get_metrics, false },
};

void
pu_operator_options_init (pu_operator_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->propose_timeout_ms = PROPOSE_TIMEOUT_MS;
}

pu_operator_t *
pu_operator_new (const pu_operator_options_t *o)
{
  pu_operator_t *op = g_new0 (pu_operator_t, 1);

  op->refs = 1;
  g_queue_init (&op->checks_waiting);
  g_queue_init (&op->outlines_waiting);
  op->keys = g_array_new (FALSE, FALSE, sizeof (pu_operator_stored_key_t));
  op->propose_timeout_ms = o->propose_timeout_ms;
  op->loop = o->loop;
  op->hooks = o->hooks;
  pu_operator_set_keys (op, o->keys, o->n_keys);
  return op;
}

void
pu_operator_unref (pu_operator_t *op)
{
  if (--op->refs > 0)
    return;
  g_array_free (op->keys, TRUE);
  pu_operator_outline_clear (&op->outline);
  g_free (op);
}

void
pu_operator_free (pu_operator_t *op)
{
  if (op == NULL)
    return;
  op->closed = true;
  pu_operator_unref (op);
}

void
pu_operator_set_keys (pu_operator_t *op, const pu_operator_key_t *keys,
                      size_t n_keys)
{
  pu_operator_keys_set (op->keys, keys, n_keys);
}

bool
pu_operator_serves (const char *path)
{
  return g_str_has_prefix (path, "/operator/")
         || g_str_has_prefix (path, "/console")
         || strcmp (path, "/metrics") == 0;
}

static pu_operator_exchange_t *
exchange_new (pu_operator_t *op, const pu_operator_request_t *r,
              pu_operator_respond_fn *respond, void *data)
{
  pu_operator_exchange_t *x = g_new0 (pu_operator_exchange_t, 1);

  op->refs++;
  x->op = op;
  x->respond = respond;
  x->data = data;
  x->query = g_strdup (r->query != NULL ? r->query : "");
  x->body = r->body;
  x->body_len = r->body_len;
  return x;
}

static const pu_console_file_t *
find_console (const pu_operator_request_t *r)
{
  if (strcmp (r->method, "GET") != 0)
    return NULL;
  for (size_t i = 0; i < pu_console_n_files; i++)
    {
      if (strcmp (pu_console_files[i].path, r->path) == 0)
        return &pu_console_files[i];
    }
  return NULL;
}

/* The route of METHOD and PATH; sets OTHER when PATH has another method.  */
static const route_t *
find_route (const pu_operator_request_t *r, const route_t **other)
{
  *other = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (strcmp (routes[i].path, r->path) != 0)
        continue;
      if (strcmp (routes[i].method, r->method) == 0)
        return &routes[i];
      *other = &routes[i];
    }
  return NULL;
}

static void
refuse_path (pu_operator_exchange_t *x, const char *path)
{
  const char *names[G_N_ELEMENTS (routes)];
  char *near;

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    names[i] = routes[i].path;
  near = pu_json_nearest (path, names, G_N_ELEMENTS (routes),
                          PU_OPERATOR_NEAR_MAX);
  pu_operator_exchange_fail (x, PU_ERROR_NOT_FOUND,
                             "There is no path %.64s%s%s.", path,
                             *near != '\0' ? "; near it: " : "", near);
  g_free (near);
}

static void
refuse_method (pu_operator_exchange_t *x, const route_t *route)
{
  char *message
      = g_strdup_printf ("%s takes %s only.", route->path, route->method);
  json_t *body = json_pack ("{s:s, s:s, s:s}", "error", "invalid", "message",
                            message, "outcome", "not-run");

  g_free (message);
  pu_operator_exchange_json (x, 405, body);
}

static bool
authorize (pu_operator_exchange_t *x, const char *authorization)
{
  const char *holder;

  if (authorization == NULL)
    {
      pu_operator_exchange_deny (x, 401, "An operator's key is needed.");
      return false;
    }
  holder = pu_operator_keys_find (x->op->keys, authorization);
  if (holder == NULL)
    {
      pu_operator_exchange_deny (x, 403,
                                 "The operator's key is not known here.");
      return false;
    }
  x->author = g_strdup (holder);
  return true;
}

bool
pu_operator_is_ready (const pu_operator_t *op)
{
  return op->hooks.ready == NULL || op->hooks.ready (op->hooks.data);
}

void
pu_operator_handle (pu_operator_t *op, const pu_operator_request_t *r,
                    pu_operator_respond_fn *respond, void *data)
{
  pu_operator_exchange_t *x = exchange_new (op, r, respond, data);
  const pu_console_file_t *file = find_console (r);
  const route_t *other;
  const route_t *route;

  if (file != NULL)
    {
      pu_operator_exchange_send (x, 200, file->content_type,
                                 (const char *)file->data, file->len);
      return;
    }
  if (!authorize (x, r->authorization))
    return;
  route = find_route (r, &other);
  if (route == NULL && other != NULL)
    {
      refuse_method (x, other);
    }
  else if (route == NULL)
    {
      refuse_path (x, r->path);
    }
  else if (r->body_len > PU_OPERATOR_BODY_MAX)
    {
      pu_operator_exchange_fail (x, PU_ERROR_TOO_LARGE,
                                 "The body is over its limit of %zu bytes.",
                                 (size_t)PU_OPERATOR_BODY_MAX);
    }
  else if (route->needs_view && !pu_operator_is_ready (op))
    {
      pu_operator_exchange_fail (
          x, PU_ERROR_UNAVAILABLE,
          "This daemon has no state yet, or none that it may show: it waits "
          "for voters with a leader. Ask again soon, or ask another daemon.");
    }
  else
    {
      route->handle (x);
    }
}
