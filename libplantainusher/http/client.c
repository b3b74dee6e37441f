#include "http/client_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/breaks.h"

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  FIRST_BYTE_TIMEOUT_MS = 60000,
  PROGRESS_TIMEOUT_MS = 30000,
  IDLE_MS = 4000,
  IDLE_MAX = 32,
  HEAD_MAX = 65536,
  /* A connection is closed before the server closes it, as a request that
     meets the server's close may have to be sent again.  */
  IDLE_STATED_PCT = 80,
  MS_PER_S = 1000,
  PORT_MAX = 65535,
};

static const char *const end_names[] = {
  [PU_HTTP_END_COMPLETE] = "complete",
  [PU_HTTP_END_UNTIL_CLOSE] = "until-close",
  [PU_HTTP_END_CONNECT_FAILED] = "connect-failed",
  [PU_HTTP_END_STALE] = "stale",
  [PU_HTTP_END_CLOSED] = "closed",
  [PU_HTTP_END_TRUNCATED] = "truncated",
  [PU_HTTP_END_CONNECT_TIMEOUT] = "connect-timeout",
  [PU_HTTP_END_FIRST_BYTE_TIMEOUT] = "first-byte-timeout",
  [PU_HTTP_END_PROGRESS_TIMEOUT] = "progress-timeout",
  [PU_HTTP_END_MALFORMED] = "malformed",
  [PU_HTTP_END_TOO_LARGE] = "too-large",
};

const char *
pu_http_end_name (pu_http_end_t kind)
{
  return end_names[kind];
}

static guint
or_default (guint value, guint otherwise)
{
  return value != 0 ? value : otherwise;
}

static void
queue_free (gpointer q)
{
  g_queue_free (q);
}

pu_http_client_t *
pu_http_client_new (const pu_http_client_options_t *o)
{
  pu_http_client_t *c = g_new0 (pu_http_client_t, 1);

  c->o = *o;
  c->o.connect_timeout_ms
      = or_default (o->connect_timeout_ms, CONNECT_TIMEOUT_MS);
  c->o.first_byte_timeout_ms
      = or_default (o->first_byte_timeout_ms, FIRST_BYTE_TIMEOUT_MS);
  c->o.progress_timeout_ms
      = or_default (o->progress_timeout_ms, PROGRESS_TIMEOUT_MS);
  c->o.idle_ms = or_default (o->idle_ms, IDLE_MS);
  c->o.idle_max = or_default (o->idle_max, IDLE_MAX);
  c->o.head_max = o->head_max != 0 ? o->head_max : HEAD_MAX;
  c->idle
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, queue_free);
  c->all = g_hash_table_new (NULL, NULL);
  return c;
}

static void
client_release (pu_http_client_t *c)
{
  if (!c->freed || c->closing_count > 0)
    return;
  g_hash_table_destroy (c->idle);
  g_hash_table_destroy (c->all);
  g_free (c->buffer);
  g_free (c);
}

void
pu_client_closed (pu_http_client_t *c)
{
  c->closing_count--;
  client_release (c);
}

void
pu_http_client_free (pu_http_client_t *c)
{
  GList *conns;

  if (c == NULL)
    return;
  c->freed = true;
  c->closing_count++;
  conns = g_hash_table_get_keys (c->all);
  for (GList *l = conns; l != NULL; l = l->next)
    {
      pu_conn_t *conn = l->data;

      if (conn->call != NULL)
        {
          pu_call_end (conn->call, PU_HTTP_END_CLOSED);
        }
      else
        {
          pu_conn_close (conn);
        }
    }
  g_list_free (conns);
  pu_client_closed (c);
}

guint
pu_http_client_open (const pu_http_client_t *c)
{
  return g_hash_table_size (c->all);
}

guint
pu_http_client_idle (const pu_http_client_t *c)
{
  return c->idle_count;
}

void
pu_client_unkeep (pu_conn_t *conn)
{
  pu_http_client_t *c = conn->client;
  GQueue *q = g_hash_table_lookup (c->idle, conn->address);

  g_queue_remove (q, conn);
  c->idle_count--;
  if (g_queue_is_empty (q))
    g_hash_table_remove (c->idle, conn->address);
}

/* How long a connection whose server states a time-out of STATED_S seconds for
   idle connections is kept; STATED_S is 0 when it states none.  */
static guint
idle_life_ms (const pu_http_client_t *c, guint stated_s)
{
  guint64 stated_ms = (guint64)stated_s * MS_PER_S * IDLE_STATED_PCT / 100;

  if (stated_s == 0 || c->o.idle_stated_max_ms == 0)
    return c->o.idle_ms;
  return (guint)MIN (stated_ms, c->o.idle_stated_max_ms);
}

void
pu_client_keep (pu_conn_t *conn, guint stated_s)
{
  pu_http_client_t *c = conn->client;
  GQueue *q = g_hash_table_lookup (c->idle, conn->address);

  if (q == NULL)
    {
      q = g_queue_new ();
      g_hash_table_insert (c->idle, g_strdup (conn->address), q);
    }
  g_queue_push_head (q, conn);
  c->idle_count++;
  conn->phase = CONN_IDLE;
  conn->call = NULL;
  conn->reused = true;
  pu_conn_timer (conn, idle_life_ms (c, stated_s));
  for (guint n = q->length; n > conn->idle_max; n--)
    pu_conn_close (g_queue_peek_tail (q));
}

void
pu_http_client_close_idle (pu_http_client_t *c, const char *address)
{
  GList *conns = g_hash_table_get_keys (c->all);

  for (GList *l = conns; l != NULL; l = l->next)
    {
      pu_conn_t *conn = l->data;

      if (conn->phase != CONN_IDLE)
        continue;
      if (address == NULL || strcmp (address, conn->address) == 0)
        pu_conn_close (conn);
    }
  g_list_free (conns);
}

/* Whether nothing came on an idle connection, not even its end.  */
static bool
is_silent (const pu_conn_t *conn)
{
  uv_os_fd_t fd;
  char byte;

  if (uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static pu_conn_t *
idle_take (pu_http_client_t *c, const char *address)
{
  for (;;)
    {
      GQueue *q = g_hash_table_lookup (c->idle, address);
      pu_conn_t *conn;

      if (q == NULL)
        return NULL;
      conn = g_queue_peek_head (q);
      if (!is_silent (conn))
        {
          pu_conn_close (conn);
          continue;
        }
      pu_client_unkeep (conn);
      return conn;
    }
}

bool
pu_http_address_parse (const char *address, struct sockaddr_storage *addr,
                       pu_error_t *e)
{
  const char *colon = strrchr (address, ':');
  char *host;
  guint64 port = 0;
  int rc;

  memset (addr, 0, sizeof *addr);
  if (colon == NULL || colon == address
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &port, NULL))
    return pu_error_set (e, PU_ERROR_INVALID, "'%s' is not IP:port.", address);
  if (address[0] == '[' && colon[-1] == ']')
    {
      host = g_strndup (address + 1, (gsize)(colon - address - 2));
      rc = uv_ip6_addr (host, (int)port, (struct sockaddr_in6 *)addr);
    }
  else
    {
      host = g_strndup (address, (gsize)(colon - address));
      rc = uv_ip4_addr (host, (int)port, (struct sockaddr_in *)addr);
    }
  g_free (host);
  if (rc != 0)
    return pu_error_set (e, PU_ERROR_INVALID, "'%s' is not IP:port.", address);
  return true;
}

/* A line end in a header would begin another header or the body.  */
static bool
is_one_line (const char *s)
{
  return strpbrk (s, "\r\n") == NULL;
}

static bool
has_host (const pu_http_call_options_t *o)
{
  for (gsize i = 0; i < o->header_count; i++)
    {
      if (g_ascii_strcasecmp (o->headers[i].name, "host") == 0)
        return true;
    }
  return false;
}

static GString *
head_build (const pu_http_call_options_t *o, pu_error_t *e)
{
  GString *head = g_string_sized_new (512);

  if (!is_one_line (o->target) || strchr (o->target, ' ') != NULL)
    {
      pu_error_set (e, PU_ERROR_INVALID, "The target holds white space.");
      g_string_free (head, TRUE);
      return NULL;
    }
  g_string_printf (head, "%s %s HTTP/1.1\r\n", o->method, o->target);
  if (!has_host (o))
    g_string_append_printf (head, "Host: %s\r\n", o->address);
  for (gsize i = 0; i < o->header_count; i++)
    {
      const pu_http_header_t *h = &o->headers[i];

      if (is_one_line (h->name) && is_one_line (h->value))
        g_string_append_printf (head, "%s: %s\r\n", h->name, h->value);
    }
  if (o->body != NULL || o->has_body)
    {
      g_string_append_printf (head, "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                              o->body != NULL ? g_bytes_get_size (o->body)
                                              : 0);
    }
  g_string_append (head, "\r\n");
  return head;
}

static void
request_set (pu_conn_t *conn, GString *head, GBytes *body)
{
  if (conn->head != NULL)
    g_string_free (conn->head, TRUE);
  g_clear_pointer (&conn->body, g_bytes_unref);
  conn->head = head;
  if (body != NULL && g_bytes_get_size (body) > 0)
    conn->body = g_bytes_ref (body);
}

static pu_http_call_t *
call_new (pu_http_client_t *c, const pu_http_call_options_t *o)
{
  pu_http_call_t *call = g_new0 (pu_http_call_t, 1);

  call->client = c;
  call->reader
      = pu_http_reader_new (c->o.head_max, strcmp (o->method, "HEAD") == 0);
  call->events = o->events;
  call->data = o->data;
  call->connect_only = o->connect_only;
  call->first_byte_timeout_ms
      = or_default (o->first_byte_timeout_ms, c->o.first_byte_timeout_ms);
  call->progress_timeout_ms
      = or_default (o->progress_timeout_ms, c->o.progress_timeout_ms);
  return call;
}

static void
call_free (pu_http_call_t *call)
{
  pu_http_reader_free (call->reader);
  g_free (call);
}

pu_http_call_t *
pu_http_client_start (pu_http_client_t *c, const pu_http_call_options_t *o,
                      pu_error_t *e)
{
  struct sockaddr_storage sockaddr;
  pu_http_call_t *call;
  pu_conn_t *conn = NULL;
  GString *head;

  if (c->freed)
    {
      pu_error_set (e, PU_ERROR_UNAVAILABLE, "The client is closing.");
      return NULL;
    }
  if (!pu_http_address_parse (o->address, &sockaddr, e))
    return NULL;
  head = head_build (o, e);
  if (head == NULL)
    return NULL;
  call = call_new (c, o);
  if (!o->fresh && !o->connect_only)
    conn = idle_take (c, o->address);
  if (conn == NULL)
    conn = pu_conn_new (c, o->address, &sockaddr);
  request_set (conn, head, o->body);
  conn->call = call;
  conn->reset = o->reset;
  conn->idle_max = or_default (o->idle_max, c->o.idle_max);
  call->conn = conn;
  if (conn->reused)
    {
      pu_conn_send (conn);
    }
  else
    {
      pu_conn_connect (conn);
    }
  return call;
}

void
pu_http_call_cancel (pu_http_call_t *call)
{
  if (call == NULL || call->ended)
    return;
  if (pu_break_active (PU_BREAK_CONNECTION_REUSED) && !call->conn->writing
      && call->written)
    {
      pu_client_keep (call->conn, 0);
    }
  else
    {
      pu_conn_close (call->conn);
    }
  call_free (call);
}

void
pu_http_call_pause (pu_http_call_t *call)
{
  if (call->ended || call->conn->paused)
    return;
  call->conn->paused = true;
  pu_conn_read (call->conn, false);
}

void
pu_http_call_resume (pu_http_call_t *call)
{
  if (call->ended || !call->conn->paused)
    return;
  call->conn->paused = false;
  call->conn->last_ms = uv_now (call->client->o.loop);
  pu_conn_read (call->conn, true);
}

static bool
can_keep (const pu_http_call_t *call, pu_http_end_t kind)
{
  return kind == PU_HTTP_END_COMPLETE && !call->connect_only
         && !call->conn->writing && pu_http_reader_keep_alive (call->reader);
}

void
pu_call_end (pu_http_call_t *call, pu_http_end_t kind)
{
  pu_conn_t *conn = call->conn;
  pu_http_result_t result = {
    .kind = kind,
    .written = call->written,
    .reused = conn->reused,
    .head = pu_http_reader_has_head (call->reader),
    .refused = conn->refused,
  };

  bool keep = can_keep (call, kind);
  guint idle_s = keep ? pu_http_reader_idle_s (call->reader) : 0;

  call->ended = true;
  call->conn = NULL;
  if (keep)
    {
      if (conn->paused)
        pu_conn_read (conn, true);
      conn->paused = false;
      pu_client_keep (conn, idle_s);
    }
  else
    pu_conn_close (conn);
  if (call->events.on_end != NULL)
    call->events.on_end (call->data, call, &result);
  call_free (call);
}
