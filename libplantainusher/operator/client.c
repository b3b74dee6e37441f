#include "operator/client.h"

#include <string.h>
#include <uv.h>

#include "http/fetch.h"

#define TIMEOUT_MS 15000
/* A repeatable call waits that share of its time for one server, at least
   ATTEMPT_MIN_MS, so that a silent server leaves time for another.  */
#define ATTEMPTS 3
#define ATTEMPT_MIN_MS 1000
#define PAUSE_MS 200
#define ANSWER_MAX ((gsize)64 << 20)

struct pu_operator_client
{
  char **servers; /* ended by NULL */
  guint n_servers;
  guint first; /* the server that answered last */
  char *authorization;
  guint32 timeout_ms;
};

/* One exchange with one server.  */
typedef struct
{
  uv_timer_t timer;
  pu_http_fetch_t *fetch; /* NULL when it has ended */
  bool answered;          /* A is filled */
  bool sent;              /* the server may have got the request */
  pu_http_end_t end;
  pu_operator_answer_t *answer;
} attempt_t;

static char *
read_address (const char *address, pu_error_t *e)
{
  static const char local[] = "localhost:";
  struct sockaddr_storage addr;
  char *result;

  if (g_str_has_prefix (address, local))
    {
      result = g_strconcat ("127.0.0.1:", address + strlen (local), NULL);
    }
  else
    {
      result = g_strdup (address);
    }
  if (pu_http_address_parse (result, &addr, e))
    return result;
  g_free (result);
  return NULL;
}

pu_operator_client_t *
pu_operator_client_new (const pu_operator_client_options_t *o, pu_error_t *e)
{
  guint n = g_strv_length ((char **)o->servers);
  pu_operator_client_t *c = g_new0 (pu_operator_client_t, 1);

  c->servers = g_new0 (char *, n + 1);
  c->n_servers = n;
  c->timeout_ms = o->timeout_ms != 0 ? o->timeout_ms : TIMEOUT_MS;
  c->authorization = g_strconcat ("Bearer ", o->key, NULL);
  for (guint i = 0; i < n; i++)
    {
      c->servers[i] = read_address (o->servers[i], e);
      if (c->servers[i] == NULL)
        {
          pu_operator_client_free (c);
          return NULL;
        }
    }
  if (n > 0)
    return c;
  pu_error_set (e, PU_ERROR_INVALID, "No server is given.");
  pu_operator_client_free (c);
  return NULL;
}

void
pu_operator_client_free (pu_operator_client_t *c)
{
  if (c == NULL)
    return;
  g_strfreev (c->servers);
  g_free (c->authorization);
  g_free (c);
}

void
pu_operator_answer_clear (pu_operator_answer_t *a)
{
  json_decref (a->body);
  g_free (a->text);
  memset (a, 0, sizeof *a);
}

static void
on_fetched (void *data, const pu_http_fetched_t *f)
{
  attempt_t *t = data;

  t->fetch = NULL;
  t->sent = f->result.written;
  t->end = f->result.kind;
  t->answered = f->result.kind == PU_HTTP_END_COMPLETE && f->response != NULL;
  if (t->answered)
    {
      t->answer->status = f->response->status;
      t->answer->text = g_strndup (f->body, f->body_len);
      t->answer->body = json_loadb (f->body, f->body_len, 0, NULL);
    }
  uv_close ((uv_handle_t *)&t->timer, NULL);
}

static void
on_time (uv_timer_t *timer)
{
  attempt_t *t = timer->data;

  if (t->fetch == NULL)
    return;
  pu_http_fetch_cancel (t->fetch);
  t->fetch = NULL;
  t->sent = true;
  t->end = PU_HTTP_END_FIRST_BYTE_TIMEOUT;
  uv_close ((uv_handle_t *)timer, NULL);
}

static pu_http_fetch_t *
start_fetch (const pu_operator_client_t *c, const pu_operator_call_t *q,
             const char *server, pu_http_client_t *http, attempt_t *t,
             pu_error_t *e)
{
  const pu_http_header_t headers[]
      = { { "Authorization", c->authorization },
          { "Content-Type", "application/json" } };
  pu_http_call_options_t o = { 0 };
  pu_http_fetch_t *fetch;

  o.address = server;
  o.method = q->method;
  o.target = q->target;
  o.headers = headers;
  o.header_count = G_N_ELEMENTS (headers);
  o.has_body = strcmp (q->method, "POST") == 0;
  if (q->body != NULL)
    o.body = g_bytes_new_static (q->body, q->body_len);
  fetch = pu_http_fetch (http, &o, ANSWER_MAX, on_fetched, t, e);
  if (o.body != NULL)
    g_bytes_unref (o.body);
  return fetch;
}

/* Makes Q at SERVER within LIMIT_MS, on a loop of its own.  */
static void
try_server (const pu_operator_client_t *c, const pu_operator_call_t *q,
            const char *server, guint64 limit_ms, attempt_t *t)
{
  pu_http_client_options_t ho = { 0 };
  pu_http_client_t *http;
  uv_loop_t loop;

  uv_loop_init (&loop);
  ho.loop = &loop;
  ho.first_byte_timeout_ms = (guint)limit_ms;
  ho.progress_timeout_ms = (guint)limit_ms;
  http = pu_http_client_new (&ho);
  uv_timer_init (&loop, &t->timer);
  t->timer.data = t;
  uv_timer_start (&t->timer, on_time, limit_ms, 0);
  t->fetch = start_fetch (c, q, server, http, t, NULL);
  if (t->fetch == NULL)
    uv_close ((uv_handle_t *)&t->timer, NULL);
  while (t->fetch != NULL)
    uv_run (&loop, UV_RUN_ONCE);
  pu_http_client_free (http);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

static guint64
now_ms (void)
{
  return (guint64)g_get_monotonic_time () / 1000;
}

static guint64
attempt_limit (const pu_operator_client_t *c, const pu_operator_call_t *q,
               guint64 left)
{
  guint64 share = MAX (c->timeout_ms / ATTEMPTS, ATTEMPT_MIN_MS);

  return q->repeatable ? MIN (share, left) : left;
}

/* What came of a round over all servers.  */
typedef struct
{
  bool unknown;     /* a request was sent and not answered */
  const char *what; /* how the last attempt ended */
} round_t;

static bool
is_final (const pu_operator_call_t *q, const pu_operator_answer_t *a)
{
  return !q->repeatable || (a->status != 503 && a->status != 504);
}

/* Tries each server once.  True when A holds an answer to give back: a final
   one, or the last 503.  */
static bool
try_round (pu_operator_client_t *c, const pu_operator_call_t *q,
           guint64 deadline, pu_operator_answer_t *a, round_t *r)
{
  for (guint i = 0; i < c->n_servers && now_ms () < deadline; i++)
    {
      guint at = (c->first + i) % c->n_servers;
      pu_operator_answer_t one = { 0 };
      attempt_t t = { .answer = &one };

      try_server (c, q, c->servers[at],
                  attempt_limit (c, q, deadline - now_ms ()), &t);
      if (t.answered)
        {
          pu_operator_answer_clear (a);
          *a = one;
          a->server = c->servers[at];
          r->unknown = r->unknown || one.status == 504;
          if (!is_final (q, a))
            continue;
          c->first = at;
          return true;
        }
      r->what = pu_http_end_name (t.end);
      r->unknown = r->unknown || t.sent;
      if (t.sent && !q->repeatable)
        return false;
    }
  return a->status != 0 && !r->unknown;
}

bool
pu_operator_client_call (pu_operator_client_t *c, const pu_operator_call_t *q,
                         pu_operator_answer_t *a, pu_error_t *e)
{
  guint64 deadline = now_ms () + c->timeout_ms;
  round_t r = { .what = "" };

  memset (a, 0, sizeof *a);
  for (;;)
    {
      if (try_round (c, q, deadline, a, &r))
        return true;
      if (!r.unknown || !q->repeatable || now_ms () + PAUSE_MS >= deadline)
        break;
      g_usleep (PAUSE_MS * 1000UL);
    }
  pu_operator_answer_clear (a);
  if (r.unknown)
    {
      return pu_error_set (e, PU_ERROR_TIMEOUT,
                           "No answer in time (%s); the outcome is not known.",
                           r.what);
    }
  return pu_error_set (e, PU_ERROR_IO, "No server could be reached (%s).",
                       r.what);
}
