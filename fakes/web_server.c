#include "web.h"

#include <errno.h>
#include <h2o.h>
#include <string.h>
#include <sys/socket.h>

#include "address.h"

#define BACKLOG 1024
#define LOOK_MS 20 /* how often peers that left are looked for */
#define IDLE_MS 120000
#define BODY_MAX (16 * 1024 * 1024)

struct web_server
{
  uv_tcp_t listener;
  uv_timer_t look;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  GHashTable *open; /* set of web_exchange_t not yet ended */
  web_request_cb cb;
  void *data;
};

typedef struct
{
  h2o_handler_t super;
  web_server_t *server;
} handler_t;

struct web_exchange
{
  h2o_generator_t super;
  web_server_t *server;
  h2o_req_t *req;
  GString *pending; /* not yet given to h2o */
  GString *flying;  /* given to h2o, not yet written */
  bool sending;
  bool ending;
  bool cutting;
  web_gone_cb gone;
  void *gone_data;
};

static void
exchange_dispose (void *p)
{
  web_exchange_t *x = p;

  if (g_hash_table_remove (x->server->open, x) && x->gone != NULL)
    x->gone (x->gone_data, x);
  g_string_free (x->pending, TRUE);
  g_string_free (x->flying, TRUE);
}

static h2o_send_state_t
state_after_pending (const web_exchange_t *x)
{
  if (x->ending)
    return H2O_SEND_STATE_FINAL;
  return H2O_SEND_STATE_IN_PROGRESS;
}

static void
flush (web_exchange_t *x)
{
  GString *swap = x->pending;
  h2o_iovec_t buf;

  if (x->sending)
    return;
  if (x->pending->len == 0 && x->cutting)
    {
      x->sending = true;
      h2o_send (x->req, NULL, 0, H2O_SEND_STATE_ERROR);
      return;
    }
  if (x->pending->len == 0 && !x->ending)
    return;
  x->pending = x->flying;
  x->flying = swap;
  g_string_truncate (x->pending, 0);
  buf = h2o_iovec_init (x->flying->str, x->flying->len);
  x->sending = true;
  h2o_send (x->req, &buf, buf.len == 0 ? 0 : 1, state_after_pending (x));
}

static void
on_proceed (h2o_generator_t *g, h2o_req_t *req)
{
  web_exchange_t *x = (web_exchange_t *)g;

  (void)req;
  x->sending = false;
  flush (x);
}

static int
on_request (h2o_handler_t *h, h2o_req_t *req)
{
  web_server_t *s = ((handler_t *)h)->server;
  web_exchange_t *x
      = h2o_mem_alloc_shared (&req->pool, sizeof (*x), exchange_dispose);

  memset (x, 0, sizeof (*x));
  x->super.proceed = on_proceed;
  x->server = s;
  x->req = req;
  x->pending = g_string_new (NULL);
  x->flying = g_string_new (NULL);
  g_hash_table_add (s->open, x);
  s->cb (s->data, x);
  return 0;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  web_server_t *s = listener->data;
  uv_tcp_t *tcp;

  if (status != 0)
    return;
  tcp = h2o_mem_alloc (sizeof (*tcp));
  uv_tcp_init (listener->loop, tcp);
  if (uv_accept (listener, (uv_stream_t *)tcp) != 0)
    {
      uv_close ((uv_handle_t *)tcp, (uv_close_cb)free);
      return;
    }
  uv_tcp_nodelay (tcp, 1);
  h2o_accept (&s->accept,
              h2o_uv_socket_create ((uv_stream_t *)tcp, (uv_close_cb)free));
}

static bool
peer_left (const web_exchange_t *x)
{
  h2o_socket_t *sock = x->req->conn->callbacks->get_socket (x->req->conn);
  char byte;
  ssize_t n;

  if (sock == NULL)
    return false;
  n = recv (h2o_socket_get_fd (sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* h2o does not read while it waits for an answer, so a peer that left is
   looked for here.  */
static void
on_look (uv_timer_t *timer)
{
  web_server_t *s = timer->data;
  GPtrArray *left = g_ptr_array_new ();
  GHashTableIter i;
  gpointer x;

  g_hash_table_iter_init (&i, s->open);
  while (g_hash_table_iter_next (&i, &x, NULL))
    if (peer_left (x))
      g_ptr_array_add (left, x);
  for (guint n = 0; n < left->len; n++)
    {
      web_exchange_t *one = g_ptr_array_index (left, n);

      if (!g_hash_table_contains (s->open, one))
        continue;
      if (one->gone != NULL)
        one->gone (one->gone_data, one);
      if (one->req->res.status == 0)
        web_start (one, 499, "text/plain");
      web_cut (one);
    }
  g_ptr_array_free (left, TRUE);
}

static void
setup_h2o (web_server_t *s, uv_loop_t *loop)
{
  h2o_hostconf_t *host;
  handler_t *h;

  h2o_config_init (&s->config);
  s->config.max_request_entity_size = BODY_MAX;
  s->config.http1.req_timeout = IDLE_MS;
  host = h2o_config_register_host (
      &s->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h = (handler_t *)h2o_create_handler (h2o_config_register_path (host, "/", 0),
                                       sizeof (*h));
  h->super.on_req = on_request;
  h->server = s;
  h2o_context_init (&s->context, loop, &s->config);
  s->accept.ctx = &s->context;
  s->accept.hosts = s->config.hosts;
}

web_server_t *
web_server_new (uv_loop_t *loop, const char *address, web_request_cb cb,
                void *data)
{
  web_server_t *s = g_new0 (web_server_t, 1);
  struct sockaddr_in sin;

  s->cb = cb;
  s->data = data;
  s->open = g_hash_table_new (NULL, NULL);
  setup_h2o (s, loop);
  uv_tcp_init (loop, &s->listener);
  s->listener.data = s;
  if (!fake_address_parse (address, &sin)
      || uv_tcp_bind (&s->listener, (struct sockaddr *)&sin, 0) != 0
      || uv_listen ((uv_stream_t *)&s->listener, BACKLOG, on_connection) != 0)
    return NULL;
  uv_timer_init (loop, &s->look);
  s->look.data = s;
  uv_timer_start (&s->look, on_look, LOOK_MS, LOOK_MS);
  return s;
}

static const char *
pool_text (web_exchange_t *x, h2o_iovec_t v)
{
  return h2o_strdup (&x->req->pool, v.base, v.len).base;
}

const char *
web_method (web_exchange_t *x)
{
  return pool_text (x, x->req->method);
}

const char *
web_path (web_exchange_t *x)
{
  return pool_text (x, x->req->path_normalized);
}

const char *
web_header (web_exchange_t *x, const char *name)
{
  ssize_t i
      = h2o_find_header_by_str (&x->req->headers, name, strlen (name), -1);

  return i < 0 ? NULL : pool_text (x, x->req->headers.entries[i].value);
}

const char *
web_body (web_exchange_t *x, size_t *len)
{
  *len = x->req->entity.len;
  return x->req->entity.base;
}

gint64
web_connected_ms (web_exchange_t *x)
{
  const struct timeval *at = &x->req->conn->connected_at;

  return (gint64)at->tv_sec * 1000 + at->tv_usec / 1000;
}

void
web_on_gone (web_exchange_t *x, web_gone_cb cb, void *data)
{
  x->gone = cb;
  x->gone_data = data;
}

void
web_add_header (web_exchange_t *x, const char *name, const char *value)
{
  h2o_iovec_t n = h2o_strdup (&x->req->pool, name, SIZE_MAX);
  h2o_iovec_t v = h2o_strdup (&x->req->pool, value, SIZE_MAX);

  h2o_add_header_by_str (&x->req->pool, &x->req->res.headers, n.base, n.len, 1,
                         NULL, v.base, v.len);
}

void
web_start (web_exchange_t *x, int status, const char *content_type)
{
  x->req->res.status = status;
  x->req->res.reason = "-";
  web_add_header (x, "content-type", content_type);
  h2o_start_response (x->req, &x->super);
}

void
web_send (web_exchange_t *x, const char *text, size_t len)
{
  g_string_append_len (x->pending, text, (gssize)len);
  flush (x);
}

void
web_end (web_exchange_t *x)
{
  g_hash_table_remove (x->server->open, x);
  x->ending = true;
  flush (x);
}

void
web_cut (web_exchange_t *x)
{
  g_hash_table_remove (x->server->open, x);
  x->cutting = true;
  flush (x);
}

void
web_answer (web_exchange_t *x, int status, const char *content_type,
            const char *text)
{
  size_t len = strlen (text);

  x->req->res.content_length = len;
  web_start (x, status, content_type);
  g_string_append_len (x->pending, text, (gssize)len);
  web_end (x);
}
