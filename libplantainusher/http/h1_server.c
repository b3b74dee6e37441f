#include "http/h1_server.h"

#include <string.h>

#include "base/log.h"
#include "http/arriving.h"
#include "http/tcp.h"

enum
{
  PIPELINE_MAX = 65536, /* bytes kept behind the request in progress */
  LINGER_MS = 1000,     /* a refused peer may go on sending so long */
  STATUS_TIMEOUT = 408,
  STATUS_NO_BODY_END = 200, /* answers below have no body */
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
};

struct pu_h1_conn
{
  uv_tcp_t tcp;
  uv_shutdown_t shutdown;
  pu_http_server_t *server;
  GList link; /* in the server's conns */
  guint64 number;
  pu_h1_reader_t *reader;
  pu_http_request_t *request; /* in progress; NULL: none */
  GString *out;               /* of the answer, not yet written */
  gsize unsent;               /* bytes that the connection has not taken */
  gsize unread;               /* bytes of it in the server's unread */
  gsize counted;              /* bytes of it in the budget for what arrives */
  guint64 since;              /* loop time of the last progress */
  guint64 begun;   /* loop time of the first byte of the request that is being
                      read */
  guint64 sent_ms; /* loop time of the last byte that was taken */
  bool chunked;    /* the answer in progress is */
  bool head_only;  /* the answer has no body */
  bool last;       /* no request comes after this one */
  bool admitted;   /* the request that is being read had room for its stated
                      length */
  bool lingers;    /* only what was sent is to be read by the peer */
  bool closing;
};

typedef struct
{
  uv_write_t write;
  pu_h1_conn_t *conn;
  char *bytes;
  gsize len;
  gsize unread; /* bytes in the server's unread */
} write_t;

static void request_take (pu_h1_conn_t *c);
static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

static guint64
now_of (const pu_h1_conn_t *c)
{
  return uv_now (c->server->o.loop);
}

/* The reader of C holds N bytes of requests that are not whole.  */
static void
count (pu_h1_conn_t *c, gsize n)
{
  pu_memory_arriving_move (c->server->o.memory, c->counted, n);
  c->counted = n;
}

/* What C holds of large answers changes from BEFORE to AFTER bytes.  */
static void
unread_move (pu_h1_conn_t *c, gsize before, gsize after)
{
  c->unread = c->unread - before + after;
  c->server->unread = c->server->unread - before + after;
}

/* --- the end of a connection --- */

static void
on_closed (uv_handle_t *h)
{
  pu_h1_conn_t *c = h->data;

  g_queue_unlink (&c->server->conns, &c->link);
  pu_h1_reader_free (c->reader);
  g_string_free (c->out, TRUE);
  g_free (c);
}

static void
request_free (pu_http_request_t *r)
{
  g_queue_unlink (&r->server->open, &r->link);
  g_free (r->decoded);
  g_free (r);
}

/* The request in progress ends without an answer: its caller has gone.  */
static void
request_drop (pu_h1_conn_t *c)
{
  pu_http_request_t *r = c->request;

  if (r == NULL)
    return;
  c->request = NULL;
  if (!r->released)
    {
      r->released = true;
      if (r->events.on_gone != NULL)
        r->events.on_gone (r->data);
    }
  request_free (r);
}

static void
conn_close (pu_h1_conn_t *c)
{
  if (c->closing)
    return;
  c->closing = true;
  count (c, 0);
  unread_move (c, c->unread, 0);
  request_drop (c);
  uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
on_shutdown (uv_shutdown_t *s, int status)
{
  pu_h1_conn_t *c = s->data;

  if (status < 0)
    conn_close (c);
}

/* What was written goes out, and the peer is let finish: closing with bytes
   unread would reset the connection under the answer.  */
static void
conn_linger (pu_h1_conn_t *c)
{
  if (c->closing || c->lingers)
    return;
  c->lingers = true;
  count (c, 0);
  pu_h1_reader_drop (c->reader);
  c->since = now_of (c);
  c->shutdown.data = c;
  if (uv_shutdown (&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown) != 0)
    conn_close (c);
}

/* --- writing --- */

static void
on_written (uv_write_t *w, int status)
{
  write_t *mine = (write_t *)w;
  pu_h1_conn_t *c = mine->conn;
  pu_http_request_t *r = c->request;

  c->unsent -= mine->len;
  if (!c->closing)
    unread_move (c, mine->unread, 0);
  c->sent_ms = now_of (c);
  g_free (mine->bytes);
  g_free (mine);
  if (status < 0)
    {
      conn_close (c);
    }
  else if (c->unsent == 0 && r != NULL && !r->released
           && r->events.on_drain != NULL)
    {
      r->events.on_drain (r->data);
    }
}

/* Load pattern: many callers read large answers slowly, or not at all.  Closes
   the connections that have had the most time for what they were sent until
   the rest is within its share of the memory.  Streams need no bound here, as
   what is not sent of each is bounded by the entry.  */
static void
unread_bound (pu_http_server_t *s)
{
  uint64_t most = pu_memory_unread_max (s->o.memory);

  while (s->unread > most)
    {
      pu_h1_conn_t *slowest = NULL;

      for (const GList *l = s->conns.head; l != NULL; l = l->next)
        {
          pu_h1_conn_t *c = l->data;

          /* A request in progress on the connection may not end inside another
             one's answer.  */
          if (c->unread > 0 && c->request == NULL
              && (slowest == NULL || c->sent_ms < slowest->sent_ms))
            slowest = c;
        }
      if (slowest == NULL)
        return;
      pu_log_note ("http",
                   "Closes a connection whose caller has not read %zu bytes "
                   "for %" G_GUINT64_FORMAT " ms: all such answers take more "
                   "memory than they may.",
                   slowest->unread, now_of (slowest) - slowest->sent_ms);
      conn_close (slowest);
    }
}

/* Writes what is gathered.  */
static void
flush (pu_h1_conn_t *c)
{
  write_t *w;
  uv_buf_t buf;

  if (c->out->len == 0 || c->closing)
    return;
  w = g_new0 (write_t, 1);
  w->conn = c;
  w->len = c->out->len;
  w->unread = c->request == NULL && w->len > PU_MEMORY_SMALL_REQUEST
                  ? c->out->allocated_len
                  : 0;
  w->bytes = g_string_free (c->out, FALSE);
  c->out = g_string_new (NULL);
  buf = uv_buf_init (w->bytes, (unsigned)w->len);
  if (c->unsent == 0)
    c->sent_ms = now_of (c);
  c->unsent += w->len;
  unread_move (c, 0, w->unread);
  if (uv_write (&w->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) == 0)
    {
      if (w->unread > 0)
        unread_bound (c->server);
      return;
    }
  c->unsent -= w->len;
  unread_move (c, w->unread, 0);
  g_free (w->bytes);
  g_free (w);
  conn_close (c);
}

static const char *
reason_of (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 503:
      return "Service Unavailable";
    default:
      return "-";
    }
}

/* The head of an answer; LENGTH: of its body, or -1 when it is not known.  */
static void
head_write (pu_http_request_t *r, int status, const pu_http_header_t *headers,
            gsize n, gssize length)
{
  pu_h1_conn_t *c = r->h1;
  bool old = pu_h1_reader_old (c->reader);

  c->head_only = status < STATUS_NO_BODY_END || status == STATUS_NO_CONTENT
                 || status == STATUS_NOT_MODIFIED
                 || strcmp (pu_h1_reader_method (c->reader), "HEAD") == 0;
  c->chunked = length < 0 && !old && !c->head_only;
  c->last = c->last || !pu_h1_reader_keep_alive (c->reader)
            || c->server->stopping || (length < 0 && old);
  g_string_append_printf (c->out, "HTTP/1.1 %d %s\r\n", status,
                          reason_of (status));
  for (gsize i = 0; i < n; i++)
    {
      g_string_append_printf (c->out, "%s: %s\r\n", headers[i].name,
                              headers[i].value);
    }
  if (length >= 0 && status != STATUS_NO_CONTENT
      && status >= STATUS_NO_BODY_END)
    {
      g_string_append_printf (
          c->out, "Content-Length: %" G_GSSIZE_FORMAT "\r\n", length);
    }
  if (c->chunked)
    g_string_append (c->out, "Transfer-Encoding: chunked\r\n");
  if (c->last)
    {
      g_string_append (c->out, "Connection: close\r\n");
    }
  else if (old)
    {
      g_string_append (c->out, "Connection: keep-alive\r\n");
    }
  g_string_append (c->out, "\r\n");
}

/* The answer in progress is whole.  */
static void
answer_end (pu_http_request_t *r)
{
  pu_h1_conn_t *c = r->h1;

  c->request = NULL;
  request_free (r);
  flush (c);
  if (c->closing)
    return;
  c->since = now_of (c);
  c->begun = c->since;
  if (c->last)
    {
      conn_linger (c);
    }
  else
    {
      request_take (c);
    }
}

void
pu_h1_respond (pu_http_request_t *r, int status,
               const pu_http_header_t *headers, gsize n, const char *body,
               gsize len)
{
  pu_h1_conn_t *c = r->h1;

  r->released = true;
  r->started = true;
  head_write (r, status, headers, n, (gssize)len);
  if (!c->head_only)
    g_string_append_len (c->out, body, (gssize)len);
  answer_end (r);
}

void
pu_h1_respond_start (pu_http_request_t *r, int status,
                     const pu_http_header_t *headers, gsize n)
{
  r->started = true;
  head_write (r, status, headers, n, -1);
}

gsize
pu_h1_respond_write (pu_http_request_t *r, const char *bytes, gsize len)
{
  pu_h1_conn_t *c = r->h1;

  if (len > 0 && c->chunked)
    {
      g_string_append_printf (c->out, "%" G_GSIZE_MODIFIER "x\r\n", len);
      g_string_append_len (c->out, bytes, (gssize)len);
      g_string_append (c->out, "\r\n");
    }
  else if (len > 0 && !c->head_only)
    {
      g_string_append_len (c->out, bytes, (gssize)len);
    }
  flush (c);
  return c->unsent;
}

void
pu_h1_respond_finish (pu_http_request_t *r)
{
  r->released = true;
  if (r->h1->chunked)
    g_string_append (r->h1->out, "0\r\n\r\n");
  answer_end (r);
}

/* The connection ends between two chunks, or short of the length: what the
   caller has got can't look whole.  An answer that ends with its connection is
   reset.  */
void
pu_h1_respond_abort (pu_http_request_t *r)
{
  pu_h1_conn_t *c = r->h1;
  bool framed = c->chunked || !r->started;

  r->released = true;
  c->request = NULL;
  request_free (r);
  flush (c);
  if (c->closing)
    return;
  if (framed)
    {
      conn_linger (c);
    }
  else
    {
      c->closing = true;
      count (c, 0);
      if (uv_tcp_close_reset (&c->tcp, on_closed) != 0)
        uv_close ((uv_handle_t *)&c->tcp, on_closed);
    }
}

/* --- reading --- */

static void
refuse_with (pu_h1_conn_t *c, int status, const char *headers,
             const char *text)
{
  const pu_http_server_t *s = c->server;
  const char *body = text != NULL ? text : "";

  g_string_append_printf (c->out,
                          "HTTP/1.1 %d Refused\r\nConnection: close\r\n%s"
                          "Content-Length: %" G_GSIZE_FORMAT "\r\n",
                          status, headers, strlen (body));
  if (s->refusal_header != NULL)
    {
      g_string_append_printf (c->out, "%s: %s\r\n", s->refusal_header,
                              s->refusal_value);
    }
  g_string_append_printf (c->out, "\r\n%s", body);
  flush (c);
  conn_linger (c);
}

static void
refuse (pu_h1_conn_t *c, int status)
{
  refuse_with (c, status, "", c->server->refusal_body);
}

/* --- room for what arrives --- */

static bool
is_arriving (const pu_h1_conn_t *c)
{
  return c->request == NULL && !c->lingers && !c->closing;
}

/* The connection whose request is refused first so that C can go on to hold
   TOTAL bytes: C in the end.  */
static pu_h1_conn_t *
choose_refused (pu_h1_conn_t *c, gsize total)
{
  pu_arriving_choice_t choice
      = { .now = now_of (c), .newest_over = PU_MEMORY_SMALL_REQUEST };
  pu_h1_conn_t *first;

  for (GList *l = c->server->conns.head; l != NULL; l = l->next)
    {
      pu_h1_conn_t *one = l->data;
      gsize held = one == c ? total : one->counted;

      if (is_arriving (one))
        pu_arriving_choice_add (&choice, one, held, one->begun, one->since);
    }
  first = pu_arriving_choice_first (&choice);
  return first != NULL ? first : c;
}

static void
refuse_busy (pu_h1_conn_t *c)
{
  c->server->o.memory->refused++;
  refuse_with (c, PU_ARRIVING_STATUS, PU_ARRIVING_RETRY, c->server->busy_body);
}

/* Counts what C holds of a request that is not whole, for which others may be
   refused; false when C's own was refused.  */
static bool
room_take (pu_h1_conn_t *c)
{
  const pu_memory_budget_t *m = c->server->o.memory;
  gsize held = pu_h1_reader_held (c->reader);
  gsize more = held - MIN (held, c->counted);
  pu_h1_conn_t *refused;

  if (pu_h1_reader_has_head (c->reader) && !c->admitted)
    {
      c->admitted = true;
      more += pu_h1_reader_left (c->reader);
    }
  if (c->counted + more > PU_MEMORY_SMALL_REQUEST
      && pu_memory_budget_reached (m, PU_MEMORY_REFUSE_REQUESTS))
    {
      refuse_busy (c);
      return false;
    }
  while (more > 0 && !pu_memory_arriving_fits (m, c->counted, more))
    {
      refused = choose_refused (c, c->counted + more);
      refuse_busy (refused);
      if (refused == c)
        return false;
    }
  count (c, held);
  return true;
}

/* Counts what C holds behind its request in progress.  Without room for it, C
   ends after the answer, as if it had not been read.  */
static void
behind_take (pu_h1_conn_t *c)
{
  const pu_memory_budget_t *m = c->server->o.memory;
  gsize held = pu_h1_reader_held (c->reader);
  gsize more = held - MIN (held, c->counted);

  if (!pu_memory_arriving_fits (m, c->counted, more))
    {
      c->last = true;
      pu_h1_reader_drop_behind (c->reader);
      held = 0;
    }
  count (c, held);
}

static void
request_begin (pu_h1_conn_t *c)
{
  pu_http_server_t *s = c->server;
  pu_http_request_t *r = g_new0 (pu_http_request_t, 1);

  r->server = s;
  r->h1 = c;
  r->link.data = r;
  r->target = pu_h1_reader_target (c->reader);
  g_queue_push_tail_link (&s->open, &r->link);
  c->request = r;
  s->o.handler (s->o.data, r);
}

static void
read_result (pu_h1_conn_t *c, pu_h1_read_t read)
{
  switch (read)
    {
    case PU_H1_MORE:
      room_take (c);
      break;
    case PU_H1_EXPECTS:
      if (!room_take (c))
        break;
      g_string_append (c->out, "HTTP/1.1 100 Continue\r\n\r\n");
      flush (c);
      break;
    case PU_H1_DONE:
      c->admitted = false;
      behind_take (c);
      request_begin (c);
      break;
    case PU_H1_BAD:
      refuse (c, pu_h1_reader_status (c->reader));
      break;
    }
}

/* Goes on with what the peer has sent behind the request before.  */
static void
request_take (pu_h1_conn_t *c)
{
  uv_read_start ((uv_stream_t *)&c->tcp, pu_h1_alloc, on_read);
  read_result (c, pu_h1_reader_next (c->reader));
}

void
pu_h1_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  pu_h1_conn_t *c = h->data;

  (void)size;
  *buf = uv_buf_init (c->server->buffer, PU_SERVER_BUFFER);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  pu_h1_conn_t *c = stream->data;
  pu_h1_read_t read;

  if (n == 0)
    return;
  if (n < 0)
    {
      conn_close (c);
      return;
    }
  if (c->lingers || (c->request != NULL && c->last))
    return;
  if (c->request == NULL)
    c->since = now_of (c);
  if (!pu_h1_reader_begun (c->reader))
    c->begun = now_of (c);
  read = pu_h1_reader_feed (c->reader, buf->base, (gsize)n);
  if (c->request == NULL)
    {
      read_result (c, read);
    }
  else
    {
      behind_take (c);
      if (pu_h1_reader_held (c->reader) > PIPELINE_MAX)
        uv_read_stop (stream);
    }
}

void
pu_h1_accept (pu_http_server_t *s, uv_stream_t *listener)
{
  pu_h1_conn_t *c = g_new0 (pu_h1_conn_t, 1);

  c->server = s;
  c->tcp.data = c;
  c->link.data = c;
  c->number = ++s->last_conn;
  c->out = g_string_new (NULL);
  c->reader = pu_h1_reader_new (s->o.header_max, s->o.body_max);
  c->since = uv_now (s->o.loop);
  uv_tcp_init (s->o.loop, &c->tcp);
  c->tcp.data = c;
  g_queue_push_tail_link (&s->conns, &c->link);
  if (uv_accept (listener, (uv_stream_t *)&c->tcp) != 0
      || s->conns.length > s->o.connections_max)
    {
      conn_close (c);
      return;
    }
  pu_http_tcp_tune (&c->tcp);
  uv_read_start ((uv_stream_t *)&c->tcp, pu_h1_alloc, on_read);
}

/* --- time --- */

static bool
is_idle (const pu_h1_conn_t *c)
{
  return c->request == NULL && !pu_h1_reader_begun (c->reader);
}

/* Whether a head, from its first byte, or the next bytes of a body take too
   long.  */
static bool
is_slow (const pu_h1_conn_t *c, guint64 now)
{
  const pu_http_server_options_t *o = &c->server->o;

  if (is_idle (c))
    return false;
  if (!pu_h1_reader_has_head (c->reader))
    return now - c->begun > o->header_ms;
  return now - c->since > o->idle_ms;
}

/* Whether nothing more is to be expected of C.  */
static bool
is_over (const pu_h1_conn_t *c, guint64 now)
{
  const pu_http_server_options_t *o = &c->server->o;
  guint64 quiet = now - c->since;

  if (c->unsent > 0 && now - c->sent_ms > o->write_timeout_ms)
    return true;
  if (c->lingers)
    return quiet > LINGER_MS && c->unsent == 0;
  return c->request == NULL && is_idle (c) && quiet > o->idle_ms;
}

static void
conn_sweep (pu_h1_conn_t *c, guint64 now)
{
  if (is_over (c, now))
    {
      conn_close (c);
    }
  else if (c->request == NULL && !c->lingers && is_slow (c, now))
    {
      refuse (c, STATUS_TIMEOUT);
    }
}

void
pu_h1_sweep (pu_http_server_t *s)
{
  guint64 now = uv_now (s->o.loop);
  GList *next;

  for (GList *l = s->conns.head; l != NULL; l = next)
    {
      pu_h1_conn_t *c = l->data;

      next = l->next;
      if (!c->closing)
        conn_sweep (c, now);
    }
}

void
pu_h1_stop_idle (pu_http_server_t *s)
{
  GList *next;

  for (GList *l = s->conns.head; l != NULL; l = next)
    {
      pu_h1_conn_t *c = l->data;

      next = l->next;
      if (is_idle (c) && c->unsent == 0)
        conn_close (c);
    }
}

void
pu_h1_abort (pu_http_server_t *s)
{
  GList *next;

  for (GList *l = s->conns.head; l != NULL; l = next)
    {
      next = l->next;
      conn_close (l->data);
    }
}

/* --- what a request says --- */

const pu_h1_reader_t *
pu_h1_reader_of (const pu_http_request_t *r)
{
  return r->h1->reader;
}

guint64
pu_h1_number (const pu_http_request_t *r)
{
  return r->h1->number;
}

void
pu_h1_remote (pu_http_request_t *r)
{
  struct sockaddr_storage sa;
  int len = sizeof sa;

  if (uv_tcp_getpeername (&r->h1->tcp, (struct sockaddr *)&sa, &len) == 0)
    uv_ip_name ((struct sockaddr *)&sa, r->remote, sizeof r->remote);
}
