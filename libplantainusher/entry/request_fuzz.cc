/* Any request of a caller is either refused, once, as not run and in JSON, or
   taken; what is taken is within its bounds, and its body with what the caller
   has got is read by another entry as the same request.

   The input is "METHOD TARGET", lines "name: value", an empty line, the
   body.  */
#include <stdint.h>
#include <string.h>

#include <string>
#include <vector>

#include "entry/entry_private.h"
#include "http/query.h"

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

/* --- the HTTP server's side, as http/server.h says it --- */

struct header
{
  std::string name;
  std::string value;
};

struct pu_http_request
{
  std::string method;
  std::string target;
  std::string body;
  std::vector<header> headers;
  int answers = 0;
  int status = 0;
};

const char *
pu_http_request_method (const pu_http_request_t *r)
{
  return r->method.c_str ();
}

const char *
pu_http_request_target (const pu_http_request_t *r)
{
  return r->target.c_str ();
}

const char *
pu_http_request_body (const pu_http_request_t *r, gsize *len)
{
  *len = r->body.size ();
  return r->body.data ();
}

const char *
pu_http_request_header (const pu_http_request_t *r, const char *name)
{
  for (const header &h : r->headers)
    {
      if (g_ascii_strcasecmp (h.name.c_str (), name) == 0)
        return h.value.c_str ();
    }
  return nullptr;
}

gsize
pu_http_request_header_count (const pu_http_request_t *r)
{
  return r->headers.size ();
}

pu_http_header_t
pu_http_request_header_at (const pu_http_request_t *r, gsize i)
{
  return { r->headers[i].name.c_str (), r->headers[i].value.c_str () };
}

char *
pu_http_request_query_value (const pu_http_request_t *r, const char *key)
{
  const char *mark = strchr (r->target.c_str (), '?');

  return pu_http_query_value (mark != nullptr ? mark + 1 : "", key);
}

void
pu_http_respond (pu_http_request_t *r, int status,
                 const pu_http_header_t *headers, gsize n, const char *body,
                 gsize len)
{
  json_t *root = json_loadb (body, len, 0, nullptr);

  require (json_is_object (root));
  json_decref (root);
  for (gsize i = 0; i < n; i++)
    {
      const std::string value = headers[i].value;

      require (value.find_first_of ("\r\n") == std::string::npos);
    }
  r->answers++;
  r->status = status;
}

/* --- the entry --- */

static const char document[]
    = "{\"services\":{"
      "\"chat\":{\"kind\":\"model\",\"models\":[\"m\",\"m-en\"]},"
      "\"board\":{\"kind\":\"plain\",\"not_repeatable\":[\"POST /assign\"]}},"
      "\"models\":{\"m\":{\"version\":\"1\",\"memory_mb\":100,"
      "\"kv_cache_mb\":10}},"
      "\"adapters\":{\"m-en\":{\"base\":\"m\",\"version\":\"1\","
      "\"memory_mb\":1}}}";

static pu_entry_t *
entry_make ()
{
  static char key[] = "fuzz-peer-key";
  pu_entry_t *en = g_new0 (pu_entry_t, 1);
  pu_findings_t *f = pu_findings_new ();
  pu_directory_options_t o;
  const pu_directory_member_t self = { "n1", "127.0.0.1:1", "r", "z", false };

  pu_directory_options_init (&o);
  o.self = self.name;
  en->o.loop = uv_default_loop ();
  en->peer_key = key;
  en->random = g_rand_new_with_seed (1);
  en->directory = pu_directory_new (&o);
  pu_directory_set_members (en->directory, 1, &self, 1);
  en->rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  en->document = pu_document_parse (document, sizeof document - 1, f);
  require (en->document != nullptr);
  pu_findings_free (f);
  return en;
}

static pu_exchange_t *
exchange_make (pu_entry_t *en, pu_http_request_t *http)
{
  pu_exchange_t *x = g_new0 (pu_exchange_t, 1);

  x->en = en;
  x->http = http;
  pu_request_init (&x->q);
  pu_delivered_init (&x->sent);
  return x;
}

static void
exchange_drop (pu_exchange_t *x)
{
  pu_request_clear (&x->q);
  g_free (x->key);
  pu_delivered_clear (&x->sent);
  g_free (x);
}

/* --- the checks --- */

static void
check_refused (const pu_http_request_t &http)
{
  require (http.answers == 1);
  require (http.status == 400 || http.status == 404);
}

static void
check_taken (const pu_exchange_t *x, const pu_http_request_t &http)
{
  require (http.answers == 0 && x->http == &http);
  require (x->q.deadline > x->q.arrived && x->window_ms > 0);
  require (x->q.priority <= PU_ROUTER_PRIORITY_MAX);
  require (x->q.n_prefix <= PU_ROUTER_PREFIX_MAX);
  require (strlen (x->q.id) <= 128 && *x->q.id != 0);
  require (x->q.target[0] == '/' || x->q.target[0] == '?');
  require (x->hops <= PU_RELAY_HOPS_MAX && (x->hops == 0 || x->relayed));
  require (!x->once || x->key != nullptr);
  require (pu_document_find_service (x->en->document, x->q.service)
           != PU_HANDLE_NONE);
  require (x->q.headers->len % 2 == 0);
}

static void
check_resumed (pu_exchange_t *x)
{
  pu_http_request_t http;
  pu_exchange_t *y;
  gsize len;

  g_string_append (x->sent.text, "got \"so\" far");
  GBytes *body = pu_exchange_resume_body (x);
  const void *bytes = g_bytes_get_data (body, &len);
  http.method = "POST";
  http.target = x->q.target;
  http.body.assign (static_cast<const char *> (bytes), len);
  http.headers = { { "x-relay-hop", "1" },
                   { "x-relay-key", x->en->peer_key },
                   { "x-resume-tokens", "3" },
                   { "x-service", x->q.service } };
  g_bytes_unref (body);
  y = exchange_make (x->en, &http);
  require (pu_exchange_parse_model (y, x->chat));
  check_taken (y, http);
  require (strcmp (x->q.model, y->q.model) == 0);
  require (strcmp (x->q.service, y->q.service) == 0);
  require (x->q.fingerprint == y->q.fingerprint);
  require (x->q.prompt_tokens == y->q.prompt_tokens);
  require (x->q.max_tokens == y->q.max_tokens && x->q.stream == y->q.stream);
  require (y->relayed && y->resumed == 3 && y->sent.tokens == 3);
  require (strcmp (x->sent.text->str, y->sent.text->str) == 0);
  exchange_drop (y);
}

static void
check_exchange (pu_entry_t *en, pu_http_request_t *http, bool plain, bool chat)
{
  pu_exchange_t *x = exchange_make (en, http);

  if (plain ? !pu_exchange_parse_plain (x)
            : !pu_exchange_parse_model (x, chat))
    {
      check_refused (*http);
    }
  else
    {
      check_taken (x, *http);
      if (!plain)
        check_resumed (x);
    }
  exchange_drop (x);
}

static void
check_entries (pu_entry_t *en, pu_http_request_t *http)
{
  pu_entry_serve_entries (en, http);
  require (http->answers == 1);
  require (http->status == 200 || http->status == 404);
}

/* --- the input --- */

/* The text up to the next line's end, which is taken off with it.  A header
   holds no zero byte.  */
static std::string
line_take (std::string *rest)
{
  const size_t end = rest->find ('\n');
  std::string line = rest->substr (0, end);

  rest->erase (0, end == std::string::npos ? end : end + 1);
  return line.c_str ();
}

static pu_http_request_t
request_read (std::string rest)
{
  pu_http_request_t http;
  std::string line = line_take (&rest);
  size_t mark = line.find (' ');

  http.method = line.substr (0, mark);
  http.target = mark == std::string::npos ? "/" : line.substr (mark + 1);
  while (!(line = line_take (&rest)).empty ())
    {
      mark = line.find (": ");
      if (mark != std::string::npos)
        http.headers.push_back (
            { line.substr (0, mark), line.substr (mark + 2) });
    }
  http.body = rest;
  return http;
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static pu_entry_t *const en = entry_make ();
  pu_http_request_t http
      = request_read ({ reinterpret_cast<const char *> (data), size });

  if (g_str_has_prefix (http.target.c_str (), "/v1/entries"))
    {
      check_entries (en, &http);
    }
  else
    {
      check_exchange (en, &http,
                      g_str_has_prefix (http.target.c_str (), "/services/"),
                      http.target == "/v1/chat/completions");
    }
  return 0;
}
