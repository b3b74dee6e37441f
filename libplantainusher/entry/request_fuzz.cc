/* Any request of a caller is either accepted or rejected, before any attempt
   has run, with exactly one JSON error.  The fields of an accepted request are
   within their limits, and the body that resumes it at another entry, which
   holds the text sent so far, parses to the same request at that entry.

   Each input goes to an entry whose document has no teams and to one whose
   document has some: there an accepted request has a team or was relayed, and
   forwards neither its key nor a header of a relay.

   The input is "METHOD TARGET", lines "name: value", an empty line, the
   body.  */
#include <stdint.h>
#include <string.h>

#include <string>
#include <vector>

#include "entry/entry_private.h"
#include "entry/team.h"
#include "http/query.h"

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

/* --- stub of the HTTP server (http/server.h) --- */

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

/* --- stubs of parts of the entry that need a whole one --- */

const pu_refusal_t *
pu_entry_undeclared (const pu_entry_t *, const pu_refusal_t *r)
{
  return r;
}

char *
pu_software_decode (const char *value)
{
  return value != nullptr ? g_uri_unescape_string (value, nullptr) : nullptr;
}

/* --- a minimal entry and its exchanges --- */

static const char document[]
    = "{\"services\":{"
      "\"chat\":{\"kind\":\"model\",\"models\":[\"m\",\"m-en\"]},"
      "\"board\":{\"kind\":\"plain\",\"not_repeatable\":[\"POST /assign\"]}},"
      "\"models\":{\"m\":{\"version\":\"1\",\"memory_mb\":100,"
      "\"kv_cache_mb\":10}},"
      "\"adapters\":{\"m-en\":{\"base\":\"m\",\"version\":\"1\","
      "\"memory_mb\":1}}";
static const char teams[]
    = ",\"teams\":{\"blue\":{\"keys\":[\"kb\"],\"unit\":\"tokens\","
      "\"priority\":9},\"red\":{\"keys\":[\"kr\"]}}";

static pu_entry_t *
entry_new (const char *more)
{
  const std::string text = std::string (document) + more + "}";
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
  en->document = pu_document_parse (text.c_str (), text.size (), f);
  require (en->document != nullptr);
  pu_findings_free (f);
  return en;
}

static pu_exchange_t *
exchange_new (pu_entry_t *en, pu_http_request_t *http)
{
  pu_exchange_t *x = g_new0 (pu_exchange_t, 1);

  x->en = en;
  x->http = http;
  pu_request_init (&x->q);
  pu_delivered_init (&x->delivered);
  return x;
}

static void
exchange_free (pu_exchange_t *x)
{
  pu_request_clear (&x->q);
  g_free (x->key);
  pu_delivered_clear (&x->delivered);
  g_free (x);
}

/* --- checks of an accepted and of a rejected request --- */

static void
check_rejected (const pu_entry_t *en, const pu_http_request_t &http)
{
  const bool has_teams = pu_document_teams (en->document) > 0;

  require (http.answers == 1);
  require (http.status == 400 || http.status == 404
           || (has_teams && http.status == 401));
}

static void
check_team (const pu_exchange_t *x)
{
  const pu_request_t *q = &x->q;

  require (q->team == nullptr || pu_json_check_name (q->team) == nullptr);
  require (q->team_cost <= G_MAXUINT32);
  require (!q->team_charged || (x->relayed && q->team_cost == 0));
  if (pu_document_teams (x->en->document) > 0)
    require (q->team_checked && (q->team != nullptr || x->relayed));
  for (guint i = 0; i < q->headers->len; i += 2)
    {
      const char *name
          = static_cast<const char *> (g_ptr_array_index (q->headers, i));

      require (!pu_header_is_of_relay (name));
      require (!q->team_checked
               || (g_ascii_strcasecmp (name, "authorization") != 0
                   && g_ascii_strcasecmp (name, "x-team") != 0));
    }
}

static void
check_accepted (const pu_exchange_t *x, const pu_http_request_t &http)
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
  check_team (x);
}

static void
check_resume_body (pu_exchange_t *x)
{
  pu_http_request_t http;
  pu_exchange_t *y;
  gsize len;

  g_string_append (x->delivered.text, "got \"so\" far");
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
  char *team = pu_team_relay_value (&x->q);
  if (team != nullptr)
    http.headers.push_back ({ PU_TEAM_RELAY_HEADER, team });
  g_free (team);
  y = exchange_new (x->en, &http);
  require (pu_exchange_parse_model (y, x->chat));
  check_accepted (y, http);
  require (strcmp (x->q.model, y->q.model) == 0);
  require (strcmp (x->q.service, y->q.service) == 0);
  require (x->q.fingerprint == y->q.fingerprint);
  require (x->q.prompt_tokens == y->q.prompt_tokens);
  require (x->q.max_tokens == y->q.max_tokens && x->q.stream == y->q.stream);
  require (g_strcmp0 (x->q.team, y->q.team) == 0 && y->q.team_cost == 0);
  require (y->relayed && y->resumed == 3 && y->delivered.tokens == 3);
  require (strcmp (x->delivered.text->str, y->delivered.text->str) == 0);
  exchange_free (y);
}

static void
check_exchange (pu_entry_t *en, pu_http_request_t *http, bool plain, bool chat)
{
  pu_exchange_t *x = exchange_new (en, http);

  if (plain ? !pu_exchange_parse_plain (x)
            : !pu_exchange_parse_model (x, chat))
    {
      check_rejected (en, *http);
    }
  else
    {
      check_accepted (x, *http);
      if (!plain)
        check_resume_body (x);
    }
  exchange_free (x);
}

static void
check_entries (pu_entry_t *en, pu_http_request_t *http)
{
  pu_entry_serve_entries (en, http);
  require (http->answers == 1);
  require (http->status == 200 || http->status == 404);
}

/* --- parsing the input --- */

/* Removes the first line and its newline from REST and returns it, cut at the
   first zero byte: a header cannot contain a zero byte.  */
static std::string
take_line (std::string *rest)
{
  const size_t end = rest->find ('\n');
  std::string line = rest->substr (0, end);

  rest->erase (0, end == std::string::npos ? end : end + 1);
  return line.c_str ();
}

static pu_http_request_t
parse_request (std::string rest)
{
  pu_http_request_t http;
  std::string line = take_line (&rest);
  size_t mark = line.find (' ');

  http.method = line.substr (0, mark);
  http.target = mark == std::string::npos ? "/" : line.substr (mark + 1);
  while (!(line = take_line (&rest)).empty ())
    {
      mark = line.find (": ");
      if (mark != std::string::npos)
        http.headers.push_back (
            { line.substr (0, mark), line.substr (mark + 2) });
    }
  http.body = rest;
  return http;
}

static void
check_input (pu_entry_t *en, const std::string &input)
{
  pu_http_request_t http = parse_request (input);

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
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static pu_entry_t *const entries[] = { entry_new (""), entry_new (teams) };

  for (pu_entry_t *en : entries)
    check_input (en, { reinterpret_cast<const char *> (data), size });
  return 0;
}
