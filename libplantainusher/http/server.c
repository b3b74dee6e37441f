#include "http/server_private.h"

#include <h2o/http1.h>
#include <h2o/http2.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "http/arriving.h"
#include "http/client.h"
#include "http/h1_server.h"
#include "http/tcp.h"

enum
{
  HEADER_MAX = 32768,
  BODY_MAX = 8 * 1024 * 1024,
  CONNECTIONS_MAX = 4096,
  IDLE_MS = 30000,
  HEADER_MS = 10000,
  WRITE_TIMEOUT_MS = 30000,
  LINGER_MS = 1500,
  SWEEP_MS = 200,
  STREAMS_MAX = 256, /* of one HTTP/2 connection */
  BACKLOG = 1024,
  DEFAULT_PORT = 65535,
};

static void
socket_closed (void *data)
{
  pu_server_conn_t *conn = data;

  pu_arriving_forget (conn);
  g_queue_unlink (&conn->server->conns, &conn->link);
  g_free (conn);
}

static void
tcp_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
connection_accept (pu_http_server_t *s, uv_tcp_t *tcp)
{
  pu_server_conn_t *conn = g_new0 (pu_server_conn_t, 1);
  h2o_socket_t *sock;

  pu_http_tcp_tune (tcp);
  sock = h2o_uv_socket_create ((uv_stream_t *)tcp, tcp_closed);
  conn->server = s;
  conn->tcp = tcp;
  conn->sock = sock;
  conn->link.data = conn;
  g_queue_push_tail_link (&s->conns, &conn->link);
  sock->on_close.cb = socket_closed;
  sock->on_close.data = conn;
  conn->not_intercepted.data = conn;
  pu_arriving_watch (conn);
  h2o_accept (&s->accept, sock);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  pu_http_server_t *s = listener->data;
  uv_tcp_t *tcp;

  if (status != 0)
    return;
  if (s->o.strict)
    {
      pu_h1_accept (s, listener);
      return;
    }
  tcp = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (listener->loop, tcp);
  if (uv_accept (listener, (uv_stream_t *)tcp) != 0
      || s->conns.length >= s->o.connections_max)
    {
      uv_close ((uv_handle_t *)tcp, tcp_closed);
    }
  else
    {
      connection_accept (s, tcp);
    }
}

static void
conns_shutdown (pu_http_server_t *s, bool idle_only, int how)
{
  if (s->o.strict)
    {
      if (idle_only)
        {
          pu_h1_stop_idle (s);
        }
      else
        {
          pu_h1_abort (s);
        }
      return;
    }
  for (GList *l = s->conns.head; l != NULL; l = l->next)
    {
      const pu_server_conn_t *conn = l->data;
      uv_os_fd_t fd;

      if (idle_only && conn->active > 0)
        continue;
      if (uv_fileno ((const uv_handle_t *)conn->tcp, &fd) == 0)
        shutdown (fd, how);
    }
}

static void
stop_check (pu_http_server_t *s)
{
  if (!s->stopping || s->stopped)
    return;
  if (s->conns.length > 0)
    {
      if (uv_now (s->o.loop) - s->stop_ms >= s->o.linger_ms)
        conns_shutdown (s, true, SHUT_RD);
      return;
    }
  s->stopped = true;
  if (s->stop_cb != NULL)
    s->stop_cb (s->stop_data);
}

static void
on_sweep (uv_timer_t *t)
{
  pu_http_server_t *s = t->data;

  if (s->o.strict)
    {
      pu_h1_sweep (s);
    }
  else
    {
      pu_request_sweep (s);
      pu_arriving_sweep (s);
    }
  stop_check (s);
}

static void
server_release (pu_http_server_t *s)
{
  if (--s->open_handles > 0)
    return;
  if (s->accept.ssl_ctx != NULL)
    SSL_CTX_free (s->accept.ssl_ctx);
  g_array_free (s->polls, TRUE);
  g_ptr_array_free (s->polled, TRUE);
  g_free (s->buffer);
  g_free (s->refusal_header);
  g_free (s->refusal_value);
  g_free (s->refusal_body);
  g_free (s->busy_body);
  g_free (s);
}

static void
on_handle_closed (uv_handle_t *h)
{
  server_release (h->data);
}

void
pu_http_server_stop (pu_http_server_t *s, void (*cb) (void *data), void *data)
{
  if (s->stopping)
    return;
  s->stopping = true;
  s->stop_ms = uv_now (s->o.loop);
  s->stop_cb = cb;
  s->stop_data = data;
  uv_close ((uv_handle_t *)&s->listener, on_handle_closed);
  if (!s->o.strict)
    h2o_context_request_shutdown (&s->ctx);
}

void
pu_http_server_abort (pu_http_server_t *s)
{
  conns_shutdown (s, false, SHUT_RDWR);
}

void
pu_http_server_free (pu_http_server_t *s)
{
  if (s == NULL)
    return;
  /* Handles are reported closed last in, first out: the first to be closed
     here may free the memory of those of h2o.  */
  uv_close ((uv_handle_t *)&s->sweep, on_handle_closed);
  if (s->measures)
    uv_close ((uv_handle_t *)&s->measure_check, on_handle_closed);
  if (s->o.strict)
    return;
  /* The second GOAWAY may still be due; there is no one left to get it.  */
  if (h2o_timeout_is_linked (&s->ctx.http2._graceful_shutdown_timeout))
    h2o_timeout_unlink (&s->ctx.http2._graceful_shutdown_timeout);
  h2o_context_dispose (&s->ctx);
  h2o_config_dispose (&s->conf);
}

int
pu_http_server_port (const pu_http_server_t *s)
{
  return s->port;
}

guint
pu_http_server_connections (const pu_http_server_t *s)
{
  return s->conns.length;
}

guint
pu_http_server_requests (const pu_http_server_t *s)
{
  return s->open.length;
}

static guint
or_default (guint value, guint otherwise)
{
  return value != 0 ? value : otherwise;
}

void
pu_http_server_set_limits (pu_http_server_t *s, gsize header_max,
                           gsize body_max, guint connections_max)
{
  s->o.header_max = header_max != 0 ? header_max : HEADER_MAX;
  s->o.body_max = MIN (body_max != 0 ? body_max : BODY_MAX,
                       pu_memory_arriving_max (s->o.memory));
  s->o.connections_max = or_default (connections_max, CONNECTIONS_MAX);
  /* h2o looks at it with each request.  A strict connection keeps those of its
     beginning.  */
  s->conf.max_request_entity_size = s->o.body_max;
}

void
pu_http_server_set_times (pu_http_server_t *s, guint header_ms, guint idle_ms)
{
  s->o.header_ms = or_default (header_ms, HEADER_MS);
  s->o.idle_ms = or_default (idle_ms, IDLE_MS);
}

static void
options_take (pu_http_server_t *s, const pu_http_server_options_t *o)
{
  s->o = *o;
  pu_http_server_set_limits (s, o->header_max, o->body_max,
                             o->connections_max);
  pu_http_server_set_times (s, o->header_ms, o->idle_ms);
  s->o.write_timeout_ms = or_default (o->write_timeout_ms, WRITE_TIMEOUT_MS);
  s->o.linger_ms = or_default (o->linger_ms, LINGER_MS);
  s->busy_body = g_strdup (o->busy_body);
  if (o->refusal_header != NULL && o->refusal_body != NULL)
    {
      s->refusal_header = g_ascii_strdown (o->refusal_header, -1);
      s->refusal_value = g_strdup (o->refusal_value);
      s->refusal_body = g_strdup (o->refusal_body);
    }
}

static bool
tls_init (pu_http_server_t *s, pu_error_t *e)
{
  SSL_CTX *ctx;

  if (s->o.certificate == NULL)
    return true;
  ctx = SSL_CTX_new (TLS_server_method ());
  s->accept.ssl_ctx = ctx;
  SSL_CTX_set_min_proto_version (ctx, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (ctx, s->o.certificate) != 1)
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "The certificate file '%s' can't be used.",
                           s->o.certificate);
    }
  if (s->o.key == NULL
      || SSL_CTX_use_PrivateKey_file (ctx, s->o.key, SSL_FILETYPE_PEM) != 1
      || SSL_CTX_check_private_key (ctx) != 1)
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "The key file '%s' can't be used.",
                           s->o.key != NULL ? s->o.key : "");
    }
  h2o_ssl_register_alpn_protocols (ctx, h2o_http2_alpn_protocols);
  return true;
}

static void
h2o_setup (pu_http_server_t *s)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  pu_handler_t *handler;

  h2o_config_init (&s->conf);
  s->conf.server_name
      = h2o_iovec_init (H2O_STRLIT ("plantainusher/" PU_VERSION));
  s->conf.max_request_entity_size = s->o.body_max;
  s->conf.http1.req_timeout = s->o.idle_ms;
  s->conf.http2.idle_timeout = s->o.idle_ms;
  s->conf.http2.max_concurrent_requests_per_connection = STREAMS_MAX;
  host = h2o_config_register_host (
      &s->conf, h2o_iovec_init (H2O_STRLIT ("default")), DEFAULT_PORT);
  path = h2o_config_register_path (host, "/", 0);
  handler = (pu_handler_t *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = pu_request_accept;
  handler->server = s;
  pu_refusal_add (s, host);
  h2o_context_init (&s->ctx, s->o.loop, &s->conf);
  s->accept.ctx = &s->ctx;
  s->accept.hosts = s->conf.hosts;
}

static bool
address_make (const pu_http_server_options_t *o, struct sockaddr_storage *addr,
              pu_error_t *e)
{
  memset (addr, 0, sizeof *addr);
  if (o->port >= 0 && o->port <= G_MAXUINT16
      && (uv_ip4_addr (o->host, o->port, (struct sockaddr_in *)addr) == 0
          || uv_ip6_addr (o->host, o->port, (struct sockaddr_in6 *)addr) == 0))
    return true;
  return pu_error_set (e, PU_ERROR_INVALID, "'%s' port %d is no address.",
                       o->host, o->port);
}

static int
port_of (const uv_tcp_t *tcp)
{
  struct sockaddr_storage addr;
  int len = sizeof addr;

  if (uv_tcp_getsockname (tcp, (struct sockaddr *)&addr, &len) != 0)
    return 0;
  return h2o_socket_getport ((struct sockaddr *)&addr);
}

static bool
listen_start (pu_http_server_t *s, pu_error_t *e)
{
  struct sockaddr_storage addr;
  int rc;

  if (!address_make (&s->o, &addr, e))
    return false;
  rc = uv_tcp_bind (&s->listener, (const struct sockaddr *)&addr, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&s->listener, BACKLOG, on_connection);
  if (rc != 0)
    {
      return pu_error_set (e, PU_ERROR_IO, "Can't listen on %s port %d: %s.",
                           s->o.host, s->o.port, uv_strerror (rc));
    }
  s->port = port_of (&s->listener);
  return true;
}

pu_http_server_t *
pu_http_server_new (const pu_http_server_options_t *o, pu_error_t *e)
{
  pu_http_server_t *s = g_new0 (pu_http_server_t, 1);

  options_take (s, o);
  s->polls = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  s->polled = g_ptr_array_new ();
  uv_timer_init (o->loop, &s->sweep);
  s->sweep.data = s;
  uv_tcp_init (o->loop, &s->listener);
  s->listener.data = s;
  s->open_handles = 2;
  if (s->o.strict)
    {
      s->buffer = g_malloc (PU_SERVER_BUFFER);
    }
  else
    {
      h2o_setup (s);
    }
  if (tls_init (s, e) && listen_start (s, e))
    {
      pu_arriving_start (s);
      s->open_handles += s->measures ? 1 : 0;
      uv_timer_start (&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
      return s;
    }
  pu_http_server_stop (s, NULL, NULL);
  pu_http_server_free (s);
  return NULL;
}
