#include "http/client_private.h"
#include "http/tcp.h"

#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum
{
  READ_BUFFER_SIZE = 65536,
  /* A timer that fires so late says that the loop was blocked: what has
     arrived meanwhile is read before the server is taken for silent.  */
  LATE_MS = 10,
  /* How long a head, the line before a chunk or a trailer may take from its
     first byte to its last.  */
  WITHIN_MAX_MS = 1000,
};

static void
handle_closed (uv_handle_t *h)
{
  pu_conn_t *conn = h->data;
  pu_http_client_t *c = conn->client;

  if (--conn->open_handles > 0)
    return;
  if (conn->head != NULL)
    g_string_free (conn->head, TRUE);
  g_clear_pointer (&conn->body, g_bytes_unref);
  g_free (conn->address);
  g_free (conn);
  pu_client_closed (c);
}

/* Whether the peer has not acknowledged all that was written.  Closed in
   order, the kernel would send it again, for many seconds.  */
static bool
has_unacknowledged (const pu_conn_t *conn)
{
  uv_os_fd_t fd;
  int bytes = 0;

  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
         && ioctl (fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

static void
tcp_close (pu_conn_t *conn, bool reset)
{
  if (!reset || uv_tcp_close_reset (&conn->tcp, handle_closed) != 0)
    uv_close ((uv_handle_t *)&conn->tcp, handle_closed);
}

void
pu_conn_close (pu_conn_t *conn)
{
  bool reset = conn->call != NULL
               && (conn->reset || conn->writing || has_unacknowledged (conn));

  if (conn->phase == CONN_CLOSING)
    return;
  if (conn->phase == CONN_IDLE)
    pu_client_unkeep (conn);
  conn->phase = CONN_CLOSING;
  conn->call = NULL;
  g_hash_table_remove (conn->client->all, conn);
  conn->client->closing_count++;
  tcp_close (conn, reset);
  uv_close ((uv_handle_t *)&conn->timer, handle_closed);
}

static pu_http_end_t
timeout_kind (const pu_conn_t *conn)
{
  switch (conn->phase)
    {
    case CONN_CONNECTING:
      return conn->failed ? PU_HTTP_END_CONNECT_FAILED
                          : PU_HTTP_END_CONNECT_TIMEOUT;
    case CONN_WAITING:
      return PU_HTTP_END_FIRST_BYTE_TIMEOUT;
    default:
      return PU_HTTP_END_PROGRESS_TIMEOUT;
    }
}

static void
on_timer (uv_timer_t *t)
{
  pu_conn_t *conn = t->data;
  guint64 now = uv_now (t->loop);
  guint64 passed;

  if (conn->paused)
    conn->last_ms = now;
  passed = now - conn->last_ms;
  if (!conn->failed && passed < conn->limit_ms)
    {
      uv_timer_start (t, on_timer, conn->limit_ms - passed, 0);
    }
  else if (!conn->late && !conn->failed && passed - conn->limit_ms >= LATE_MS)
    {
      conn->late = true;
      uv_timer_start (t, on_timer, 1, 0);
    }
  else if (conn->call != NULL)
    {
      pu_call_end (conn->call, timeout_kind (conn));
    }
  else
    {
      pu_conn_close (conn);
    }
}

void
pu_conn_timer (pu_conn_t *conn, guint limit_ms)
{
  conn->last_ms = uv_now (conn->timer.loop);
  conn->limit_ms = limit_ms;
  conn->late = false;
  uv_timer_start (&conn->timer, on_timer, limit_ms, 0);
}

pu_conn_t *
pu_conn_new (pu_http_client_t *c, const char *address,
             const struct sockaddr_storage *sockaddr)
{
  pu_conn_t *conn = g_new0 (pu_conn_t, 1);

  conn->client = c;
  conn->address = g_strdup (address);
  conn->sockaddr = *sockaddr;
  uv_tcp_init (c->o.loop, &conn->tcp);
  uv_timer_init (c->o.loop, &conn->timer);
  conn->tcp.data = conn;
  conn->timer.data = conn;
  conn->open_handles = 2;
  g_hash_table_add (c->all, conn);
  if (c->buffer == NULL)
    c->buffer = g_malloc (READ_BUFFER_SIZE);
  return conn;
}

static bool
head_event (void *data, const pu_http_response_t *r)
{
  pu_conn_t *conn = data;
  pu_http_call_t *call = conn->call;

  conn->phase = CONN_BODY;
  pu_conn_timer (conn, call->progress_timeout_ms);
  if (call->events.on_head != NULL)
    call->events.on_head (call->data, call, r);
  return conn->call != NULL;
}

static bool
body_event (void *data, const char *bytes, gsize len)
{
  pu_conn_t *conn = data;
  pu_http_call_t *call = conn->call;

  if (call->events.on_body != NULL)
    call->events.on_body (call->data, call, bytes, len);
  return conn->call != NULL;
}

/* Whether what is neither body nor silence has gone on for too long.  */
static bool
is_dribbling (pu_conn_t *conn)
{
  guint64 now = uv_now (conn->tcp.loop);

  if (!pu_http_reader_is_within (conn->call->reader))
    {
      conn->within_since = 0;
    }
  else if (conn->within_since == 0)
    {
      conn->within_since = now;
    }
  return conn->within_since != 0 && now > conn->within_since + WITHIN_MAX_MS;
}

static void
data_read (pu_conn_t *conn, char *bytes, gsize len)
{
  static const pu_http_response_calls_t calls = { head_event, body_event };

  conn->received = true;
  conn->last_ms = uv_now (conn->tcp.loop);
  switch (pu_http_reader_feed (conn->call->reader, bytes, len, &calls, conn))
    {
    case PU_HTTP_READ_DONE:
      pu_call_end (conn->call, PU_HTTP_END_COMPLETE);
      break;
    case PU_HTTP_READ_MALFORMED:
      pu_call_end (conn->call, PU_HTTP_END_MALFORMED);
      break;
    case PU_HTTP_READ_TOO_LARGE:
      pu_call_end (conn->call, PU_HTTP_END_TOO_LARGE);
      break;
    case PU_HTTP_READ_MORE:
      if (is_dribbling (conn))
        pu_call_end (conn->call, PU_HTTP_END_MALFORMED);
      break;
    case PU_HTTP_READ_STOPPED:
      break;
    }
}

/* Whether the peer has closed its side in order.  libuv tells of an end where
   bytes and a reset have come together, so the socket itself is asked.  It
   tells an error once, and a write may have got it.  */
static bool
ended_in_order (const pu_conn_t *conn)
{
  uv_os_fd_t fd;
  char byte;

  return !conn->cut && uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static pu_http_end_t
closed_kind (const pu_conn_t *conn, ssize_t why)
{
  const pu_http_reader_t *rd = conn->call->reader;

  if (!pu_http_reader_has_head (rd))
    {
      return conn->reused && !conn->received ? PU_HTTP_END_STALE
                                             : PU_HTTP_END_CLOSED;
    }
  if (why == UV_EOF
      && pu_http_reader_response (rd)->body_kind == PU_HTTP_BODY_CLOSE
      && ended_in_order (conn))
    return PU_HTTP_END_UNTIL_CLOSE;
  return PU_HTTP_END_TRUNCATED;
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  pu_conn_t *conn = h->data;

  (void)suggested;
  *buf = uv_buf_init (conn->client->buffer, READ_BUFFER_SIZE);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  pu_conn_t *conn = stream->data;

  if (n == 0)
    return;
  /* An idle connection must stay silent: what comes is nobody's answer.  */
  if (conn->call == NULL)
    {
      pu_conn_close (conn);
    }
  else if (n < 0)
    {
      pu_call_end (conn->call, closed_kind (conn, n));
    }
  else
    {
      data_read (conn, buf->base, (gsize)n);
    }
}

void
pu_conn_read (pu_conn_t *conn, bool on)
{
  if (on)
    {
      uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    }
  else
    {
      uv_read_stop ((uv_stream_t *)&conn->tcp);
    }
}

static void
on_write (uv_write_t *w, int status)
{
  pu_conn_t *conn = w->data;

  conn->writing = false;
  /* What came before a failure is still read.  With EPIPE the peer had closed
     its side in order before it reset the connection.  */
  if (status < 0 && status != UV_EPIPE)
    conn->cut = true;
}

void
pu_conn_send (pu_conn_t *conn)
{
  uv_buf_t bufs[2];
  gsize len = 0;
  char *body = NULL;
  unsigned n = 1;

  conn->phase = CONN_WAITING;
  conn->received = false;
  conn->within_since = 0;
  bufs[0] = uv_buf_init (conn->head->str, (unsigned)conn->head->len);
  if (conn->body != NULL)
    {
      body = (char *)g_bytes_get_data (conn->body, &len);
      bufs[n++] = uv_buf_init (body, (unsigned)len);
    }
  pu_conn_timer (conn, conn->call->first_byte_timeout_ms);
  conn->call->written = true;
  conn->writing = true;
  conn->write.data = conn;
  /* The request may be gone in part even when this fails.  */
  if (uv_write (&conn->write, (uv_stream_t *)&conn->tcp, bufs, n, on_write)
      != 0)
    conn->writing = false;
  pu_conn_read (conn, true);
}

static void
on_connect (uv_connect_t *req, int status)
{
  pu_conn_t *conn = req->data;

  if (conn->phase != CONN_CONNECTING)
    return;
  if (status < 0)
    {
      conn->refused = status == UV_ECONNREFUSED;
      pu_call_end (conn->call, PU_HTTP_END_CONNECT_FAILED);
      return;
    }
  /* After a pause of the process this comes before the timer: the request
     must not be sent so late.  */
  if (uv_now (conn->tcp.loop) - conn->last_ms > conn->limit_ms)
    {
      pu_call_end (conn->call, PU_HTTP_END_CONNECT_TIMEOUT);
      return;
    }
  if (conn->call->connect_only)
    {
      pu_call_end (conn->call, PU_HTTP_END_COMPLETE);
      return;
    }
  pu_http_tcp_tune (&conn->tcp);
  pu_conn_send (conn);
}

void
pu_conn_connect (pu_conn_t *conn)
{
  conn->phase = CONN_CONNECTING;
  conn->connect.data = conn;
  conn->failed
      = uv_tcp_connect (&conn->connect, &conn->tcp,
                        (const struct sockaddr *)&conn->sockaddr, on_connect)
        != 0;
  pu_conn_timer (conn, conn->failed ? 0 : conn->client->o.connect_timeout_ms);
}
