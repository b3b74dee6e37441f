#include "entry/entry_private.h"

#include <string.h>
#include <xxhash.h>

#include "entry/team.h"
#include "http/auth.h"

enum
{
  PREFIX_BLOCK_BYTES = 256, /* prompt bytes per block of the prefix cache */
  BYTES_PER_TOKEN = 4,      /* assumed to estimate the tokens of a prompt */
  DEFAULT_PRIORITY = 5,
  DEFAULT_MAX_TOKENS = 256,
  REQUEST_ID_BYTES_MAX = 128,
  TIMEOUT_MAX_MS = 3600 * 1000,
};

static const pu_refusal_t bad_request
    = { 400, "invalid_request", PU_RUN_OUTCOME_NOT_RUN, 0 };
static const pu_refusal_t not_found
    = { 404, "not_found", PU_RUN_OUTCOME_NOT_RUN, 0 };

static bool refuse (pu_exchange_t *x, const pu_refusal_t *r,
                    const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Responds to X with the error R.  Always returns false, so that a function
   that refuses X can return this result.  */
static bool
refuse (pu_exchange_t *x, const pu_refusal_t *r, const char *format, ...)
{
  va_list args;
  char *message;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  pu_respond_error (x->http, x->q.id, r, message);
  x->http = NULL;
  g_free (message);
  return false;
}

/* --- reading headers --- */

static bool
is_visible_ascii (const char *s, gsize max)
{
  gsize n = strlen (s);

  if (n == 0 || n > max)
    return false;
  for (; *s != 0; s++)
    {
      if (!g_ascii_isgraph (*s))
        return false;
    }
  return true;
}

static char *
id_generate (pu_entry_t *en)
{
  return g_strdup_printf ("%08x%08x%08x%08x", g_rand_int (en->random),
                          g_rand_int (en->random), g_rand_int (en->random),
                          g_rand_int (en->random));
}

static bool
number_header (pu_exchange_t *x, const char *name, guint64 min, guint64 max,
               guint64 absent, guint64 *value)
{
  const char *text = pu_http_request_header (x->http, name);

  *value = absent;
  if (text == NULL)
    return true;
  if (g_ascii_string_to_unsigned (text, 10, min, max, value, NULL))
    return true;
  return refuse (x, &bad_request, "%s must be an integer from %u to %u.", name,
                 (guint)min, (guint)max);
}

static void
id_read (pu_exchange_t *x)
{
  const char *id = pu_http_request_header (x->http, "x-request-id");

  x->q.id = id != NULL && is_visible_ascii (id, REQUEST_ID_BYTES_MAX)
                ? g_strdup (id)
                : id_generate (x->en);
}

static bool
flag_header (const pu_exchange_t *x, const char *name)
{
  return g_strcmp0 (pu_http_request_header (x->http, name), "1") == 0;
}

/* Reads the parts that all kinds of requests have: id, method, body, relay
   headers, priority, timeout and Idempotency-Key.  The deadline is 0 when the
   caller gave no timeout.  */
static bool
common_read (pu_exchange_t *x)
{
  const char *hop = pu_http_request_header (x->http, "x-relay-hop");
  const char *key = pu_http_request_header (x->http, "idempotency-key");
  gsize len = 0;
  const char *body = pu_http_request_body (x->http, &len);
  guint64 priority = 0;
  guint64 timeout = 0;

  id_read (x);
  x->q.arrived = uv_now (x->en->o.loop);
  x->q.method = g_strdup (pu_http_request_method (x->http));
  x->q.body = g_bytes_new (body, len);
  x->relayed
      = hop != NULL
        && pu_http_key_equal (pu_http_request_header (x->http, "x-relay-key"),
                              x->en->peer_key);
  if (x->relayed)
    {
      pu_team_read_relay (&x->q, x->http);
      x->hops = g_strcmp0 (hop, "1") == 0 ? 1 : PU_RELAY_HOPS_MAX;
      x->software = pu_software_decode (
          pu_http_request_header (x->http, PU_SOFTWARE_RELAY_HEADER));
    }
  if (!number_header (x, "x-priority", 0, PU_ROUTER_PRIORITY_MAX,
                      DEFAULT_PRIORITY, &priority)
      || !number_header (x, "x-timeout-ms", 1, TIMEOUT_MAX_MS, 0, &timeout))
    return false;
  x->q.priority = (guint)priority;
  x->q.deadline = timeout == 0 ? 0 : x->q.arrived + timeout;
  if (key != NULL && !is_visible_ascii (key, PU_ONCE_NAME_MAX))
    {
      return refuse (x, &bad_request,
                     "Idempotency-Key must be 1 to %d visible characters.",
                     PU_ONCE_NAME_MAX);
    }
  x->key = g_strdup (key);
  return true;
}

static void
service_set (pu_exchange_t *x, const pu_service_t *s)
{
  x->q.service = g_strdup (s->name);
  x->window_ms = s->claim_window_s * (guint64)1000;
  if (x->q.deadline == 0)
    x->q.deadline = x->q.arrived + s->timeout_ms;
}

/* Finds the team of X, whose priority precedes what the caller asks for.  */
static bool
team_find (pu_exchange_t *x)
{
  const pu_document_t *d = x->en->document;
  pu_team_handle_t h;

  if (!pu_team_identify (&x->q, d, x->http, "Bearer", false))
    {
      return refuse (x, pu_entry_undeclared (x->en, &pu_refusal_denied),
                     "A key of a team is needed.");
    }
  h = pu_team_of (&x->q, d);
  if (h != PU_HANDLE_NONE
      && pu_document_team (d, h)->priority != PU_TEAM_PRIORITY_NONE)
    x->q.priority = pu_document_team (d, h)->priority;
  return true;
}

/* --- reading completion requests --- */

static void
content_append (GString *out, const json_t *content)
{
  const json_t *part;
  size_t i;

  if (json_is_string (content))
    g_string_append (out, json_string_value (content));
  json_array_foreach (content, i, part)
  {
    const char *text = json_string_value (json_object_get (part, "text"));

    if (text != NULL)
      g_string_append (out, text);
  }
}

static char *
messages_text (const json_t *messages)
{
  GString *out = g_string_new (NULL);
  const json_t *one;
  size_t i;

  json_array_foreach (messages, i, one)
  {
    const char *role = json_string_value (json_object_get (one, "role"));

    g_string_append_printf (out, "%s: ", role != NULL ? role : "");
    content_append (out, json_object_get (one, "content"));
    g_string_append_c (out, '\n');
  }
  return g_string_free (out, FALSE);
}

/* Computes the hashes of the complete blocks of PROMPT, each chained to the
   one before it, in the way in which engines compute the hashes that they
   report.  */
static void
prefix_hash (pu_exchange_t *x, const char *prompt, gsize len)
{
  guint64 hash = XXH64 (x->q.model, strlen (x->q.model), 0);
  guint n = (guint)MIN (len / PREFIX_BLOCK_BYTES, PU_ROUTER_PREFIX_MAX);

  for (guint i = 0; i < n; i++)
    {
      hash = XXH64 (prompt + (gsize)i * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES,
                    hash);
      x->q.prefix[i] = hash;
    }
  x->q.n_prefix = n;
}

static void
prompt_set (pu_exchange_t *x, const char *prompt)
{
  gsize len = strlen (prompt);

  x->q.prompt_tokens = (guint)(len / BYTES_PER_TOKEN);
  x->q.fingerprint = pu_suspects_fingerprint (x->q.model, prompt, len);
  x->q.crash_tracked = true;
  prefix_hash (x, prompt, len);
}

static void
max_tokens_set (pu_exchange_t *x, const json_t *root)
{
  const json_t *n = json_object_get (root, "max_completion_tokens");

  if (n == NULL)
    n = json_object_get (root, "max_tokens");
  x->q.max_tokens = json_is_integer (n) && json_integer_value (n) > 0
                        ? (guint)MIN (json_integer_value (n), G_MAXINT32)
                        : DEFAULT_MAX_TOKENS;
}

static bool
model_refuse (pu_exchange_t *x)
{
  char *similar = pu_document_near_models (x->en->document, x->q.model);

  refuse (x, pu_entry_undeclared (x->en, &not_found),
          "Model '%s' is not declared%s%s.", x->q.model,
          *similar != 0 ? "; similar names: " : "", similar);
  g_free (similar);
  return false;
}

/* Finds the service that the X-Service header names or, without that header,
   the default service of the model.  */
static bool
service_find (pu_exchange_t *x)
{
  const pu_document_t *d = x->en->document;
  pu_model_handle_t m = pu_document_find_model (d, x->q.model);
  const char *name = pu_http_request_header (x->http, "x-service");
  pu_service_handle_t s;

  if (m == PU_HANDLE_NONE)
    return model_refuse (x);
  s = name != NULL ? pu_document_find_service (d, name)
                   : pu_document_default_service (d, m);
  if (s == PU_HANDLE_NONE || !pu_document_service_lists_model (d, s, m))
    {
      return refuse (x, pu_entry_undeclared (x->en, &not_found),
                     "No service%s%s offers model '%s'.",
                     name != NULL ? " named " : "", name != NULL ? name : "",
                     x->q.model);
    }
  service_set (x, pu_document_service (d, s));
  return true;
}

static bool
root_read (pu_exchange_t *x, const json_t *root)
{
  const char *model = json_string_value (json_object_get (root, "model"));
  const json_t *messages = json_object_get (root, "messages");
  const json_t *prompt = json_object_get (root, "prompt");
  char *text;

  if (model == NULL || *model == 0)
    return refuse (x, &bad_request, "'model' must be a non-empty string.");
  if (x->chat ? !json_is_array (messages) : !json_is_string (prompt))
    {
      return refuse (x, &bad_request, "'%s' must be %s.",
                     x->chat ? "messages" : "prompt",
                     x->chat ? "an array" : "a string");
    }
  x->q.model = g_strdup (model);
  x->q.stream = json_is_true (json_object_get (root, "stream"));
  max_tokens_set (x, root);
  if (!service_find (x) || !team_find (x))
    return false;
  text = x->chat ? messages_text (messages)
                 : g_strdup (json_string_value (prompt));
  prompt_set (x, text);
  pu_team_set_cost (&x->q, x->en->document,
                    (guint64)x->q.prompt_tokens + x->q.max_tokens);
  g_free (text);
  return true;
}

/* For a stream that another entry relayed to this entry to be resumed: reads
   the text and the number of tokens that the caller has already received.  */
static bool
resume_read (pu_exchange_t *x, const json_t *root)
{
  const char *text = json_string_value (json_object_get (root, "resume_text"));
  guint64 tokens = 0;

  if (!x->relayed || text == NULL)
    return true;
  if (!number_header (x, "x-resume-tokens", 0, G_MAXINT32, 0, &tokens))
    return false;
  g_string_assign (x->delivered.text, text);
  x->delivered.tokens = (guint)tokens;
  x->resumed = (guint)tokens;
  return true;
}

bool
pu_exchange_parse_model (pu_exchange_t *x, bool chat)
{
  json_error_t error;
  json_t *root;
  gsize len = 0;
  const char *body;
  bool good;

  if (!common_read (x))
    return false;
  body = g_bytes_get_data (x->q.body, &len);
  x->chat = chat;
  x->q.target = g_strdup (chat ? "/v1/chat/completions" : "/v1/completions");
  x->q.repeatable = !flag_header (x, "x-not-repeatable");
  x->once = !x->q.repeatable && x->key != NULL;
  root = json_loadb (body != NULL ? body : "", len, JSON_REJECT_DUPLICATES,
                     &error);
  if (root == NULL)
    {
      return refuse (x, &bad_request, "Invalid JSON at line %d, column %d: %s",
                     error.line, error.column, error.text);
    }
  good = root_read (x, root) && resume_read (x, root);
  json_decref (root);
  pu_request_add_header (&x->q, "content-type", "application/json");
  return good;
}

GBytes *
pu_exchange_resume_body (const pu_exchange_t *x)
{
  gsize len = 0;
  const char *body = g_bytes_get_data (x->q.body, &len);
  json_t *root = json_loadb (body, len, 0, NULL);
  char *text;

  json_object_set_new (root, "resume_text",
                       json_string (x->delivered.text->str));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

/* --- reading requests to plain services --- */

/* Whether the entry sets the header NAME itself, so that the value from the
   caller is not forwarded.  */
static bool
is_set_by_entry (const pu_request_t *q, const char *name)
{
  return g_ascii_strcasecmp (name, "x-request-id") == 0
         || pu_header_is_of_relay (name)
         || pu_team_is_own_header (q, name, PU_BUILTIN_TEAM_HEADER);
}

static void
headers_copy (pu_exchange_t *x)
{
  for (gsize i = 0; i < pu_http_request_header_count (x->http); i++)
    {
      pu_http_header_t h = pu_http_request_header_at (x->http, i);

      if (pu_http_header_is_passed (h.name) && !is_set_by_entry (&x->q, h.name)
          && g_ascii_strcasecmp (h.name, "host") != 0)
        pu_request_add_header (&x->q, h.name, h.value);
    }
}

/* Whether HTTP defines METHOD as idempotent.  */
static bool
is_idempotent (const char *method)
{
  return strcmp (method, "POST") != 0 && strcmp (method, "PATCH") != 0;
}

static bool
plain_read (pu_exchange_t *x, const char *name, const char *rest)
{
  const pu_document_t *d = x->en->document;
  pu_service_handle_t h = pu_document_find_service (d, name);
  const pu_service_t *s
      = h != PU_HANDLE_NONE ? pu_document_service (d, h) : NULL;
  bool not_repeatable;

  if (s == NULL || s->kind != PU_SERVICE_PLAIN)
    {
      return refuse (x, pu_entry_undeclared (x->en, &not_found),
                     "Plain service '%s' is not declared.", name);
    }
  if (!team_find (x))
    return false;
  pu_team_set_cost (&x->q, d, 0);
  not_repeatable = flag_header (x, "x-not-repeatable")
                   || pu_service_not_repeatable (s, x->q.method, rest);
  service_set (x, s);
  x->q.target = g_strdup (rest);
  x->q.repeatable = !not_repeatable && is_idempotent (x->q.method);
  x->once = not_repeatable && x->key != NULL;
  return true;
}

bool
pu_exchange_parse_plain (pu_exchange_t *x)
{
  static const char prefix[] = "/services/";
  const char *target = pu_http_request_target (x->http);
  const char *name = target + sizeof prefix - 1;
  const char *end;
  char *service;
  bool good;

  if (!common_read (x))
    return false;
  if (!g_str_has_prefix (target, prefix))
    return refuse (x, &not_found, "No such path.");
  end = name + strcspn (name, "/?");
  service = g_strndup (name, (gsize)(end - name));
  x->q.plain = true;
  x->q.model = g_strdup ("");
  good = plain_read (x, service, *end == '/' ? end : "/");
  g_free (service);
  if (good)
    headers_copy (x);
  return good;
}
