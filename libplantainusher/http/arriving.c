#include "http/arriving.h"

#include <h2o/http2.h>
#include <h2o/http2_internal.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  STALL_MS = 1000,   /* a request that waits so long for a byte is slow */
  SLOW_RATE = 65536, /* bytes a second, below which one is slow */
  MS_PER_S = 1000,
  MEASURE_INTERVAL_MS = 20, /* between two countings */
  LINGER_MS = 1000,         /* a refused peer may go on sending so long */
};

/* --- the order of refusals --- */

static bool
is_slow (gsize held, guint64 age, guint64 quiet)
{
  return quiet >= STALL_MS
         || (age >= STALL_MS && held * MS_PER_S / age < SLOW_RATE);
}

void
pu_arriving_choice_add (pu_arriving_choice_t *choice, void *conn, gsize held,
                        guint64 begun, guint64 since)
{
  if (held > choice->slow_held
      && is_slow (held, choice->now - begun, choice->now - since))
    {
      choice->slow = conn;
      choice->slow_held = held;
    }
  if (held > choice->newest_over && begun >= choice->newest_begun)
    {
      choice->newest = conn;
      choice->newest_begun = begun;
    }
}

void *
pu_arriving_choice_first (const pu_arriving_choice_t *choice)
{
  return choice->slow != NULL ? choice->slow : choice->newest;
}

/* --- what h2o holds --- */

static void on_socket_read (h2o_socket_t *sock, const char *err);

static void
count (pu_server_conn_t *conn, gsize n)
{
  pu_memory_arriving_move (conn->server->o.memory, conn->held, n);
  conn->held = n;
}

void
pu_arriving_end (pu_server_conn_t *conn)
{
  if (!conn->h2)
    count (conn, 0);
}

static bool
is_queued_for_intercept (const pu_server_conn_t *conn)
{
  return conn->not_intercepted.prev != NULL
         || conn->not_intercepted.next != NULL
         || conn->server->not_intercepted.head == &conn->not_intercepted;
}

void
pu_arriving_watch (pu_server_conn_t *conn)
{
  if (conn->server->measures && !is_queued_for_intercept (conn))
    {
      g_queue_push_tail_link (&conn->server->not_intercepted,
                              &conn->not_intercepted);
    }
}

void
pu_arriving_forget (pu_server_conn_t *conn)
{
  if (is_queued_for_intercept (conn))
    g_queue_unlink (&conn->server->not_intercepted, &conn->not_intercepted);
  count (conn, 0);
}

/* Replaces the read callback that h2o has set by on_socket_read, which calls
   it.  */
static void
intercept_reads (pu_server_conn_t *conn)
{
  h2o_socket_cb *set = &conn->sock->_cb.read;

  if (*set == NULL || *set == on_socket_read)
    return;
  conn->read = *set;
  *set = on_socket_read;
}

/* A request of CONN counts from when bytes of it were first seen; in HTTP/2, a
   connection with many, from when one of them was whole last.  HTTP/1 drops
   the framing of chunks from what it holds.  */
static void
record_held (pu_server_conn_t *conn, guint64 now)
{
  if (conn->refused)
    return;
  if (conn->held == 0 || (conn->h2 && conn->found < conn->held))
    conn->begun = now;
  if (conn->held == 0 || conn->found > conn->held)
    conn->since = now;
  count (conn, conn->found);
}

/* HTTP/2: the body of a stream that is not whole.  */
static int
measure_stream (h2o_req_t *req, void *data)
{
  h2o_http2_stream_t *stream
      = H2O_STRUCT_FROM_MEMBER (h2o_http2_stream_t, req, req);
  pu_server_conn_t *conn
      = req->conn->callbacks->get_socket (req->conn)->on_close.data;

  (void)data;
  if (stream->state != H2O_HTTP2_STREAM_STATE_RECV_BODY
      || stream->_req_body == NULL)
    return 0;
  conn->h2 = true;
  conn->found += stream->_req_body->size;
  if (conn->largest == NULL
      || stream->_req_body->size > conn->largest->_req_body->size)
    conn->largest = stream;
  return 0;
}

/* HTTP/1: before a request is whole, all of it is in the socket's input.  */
static gsize
input_held (const pu_server_conn_t *conn)
{
  return conn->h2 || conn->refused || conn->active > 0
             ? 0
             : conn->sock->input->size;
}

static void
measure (pu_http_server_t *s)
{
  for (GList *l = s->conns.head; l != NULL; l = l->next)
    {
      pu_server_conn_t *conn = l->data;

      intercept_reads (conn);
      conn->largest = NULL;
      conn->found = input_held (conn);
    }
  H2O_HTTP2_CALLBACKS.foreach_request (&s->ctx, measure_stream, NULL);
  for (GList *l = s->conns.head; l != NULL; l = l->next)
    record_held (l->data, uv_now (s->o.loop));
}

/* --- refusals --- */

/* REFUSED_STREAM says that nothing of the request was processed.  */
static void
stream_refuse (h2o_http2_stream_t *stream)
{
  h2o_http2_conn_t *h2
      = H2O_STRUCT_FROM_MEMBER (h2o_http2_conn_t, super, stream->req.conn);

  h2o_http2_encode_rst_stream_frame (&h2->_write.buf, stream->stream_id,
                                     -H2O_HTTP2_ERROR_REFUSED_STREAM);
  h2o_http2_conn_request_write (h2);
  h2o_http2_stream_close (h2, stream);
}

static void
answer_write (pu_server_conn_t *conn)
{
  const pu_http_server_t *s = conn->server;
  const char *body = s->busy_body != NULL ? s->busy_body : "";
  bool named = s->refusal_header != NULL;
  char *text;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)conn->tcp, &fd) != 0)
    return;
  text = g_strdup_printf (
      "HTTP/1.1 %d Refused\r\nConnection: close\r\n" PU_ARRIVING_RETRY
      "Content-Length: %" G_GSIZE_FORMAT "\r\n%s%s%s%s\r\n%s",
      PU_ARRIVING_STATUS, strlen (body), named ? s->refusal_header : "",
      named ? ": " : "", named ? s->refusal_value : "", named ? "\r\n" : "",
      body);
  if (conn->sock->ssl == NULL)
    send (fd, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown (fd, SHUT_WR);
  g_free (text);
}

static void
input_drop (pu_server_conn_t *conn)
{
  h2o_buffer_dispose (&conn->sock->input);
  h2o_buffer_init (&conn->sock->input, &h2o_socket_buffer_prototype);
}

/* Before a request is whole h2o writes nothing, so the answer can be written
   beside it; with TLS there is none.  From now on h2o hears of the connection
   only that it ends.  */
static void
input_refuse (pu_server_conn_t *conn)
{
  conn->refused = true;
  conn->since = uv_now (conn->server->o.loop);
  count (conn, 0);
  answer_write (conn);
  input_drop (conn);
}

static void
refuse (pu_server_conn_t *conn)
{
  pu_http_server_t *s = conn->server;

  s->o.memory->refused++;
  if (conn->largest != NULL)
    {
      stream_refuse (conn->largest);
    }
  else
    {
      input_refuse (conn);
    }
  measure (s);
}

static pu_server_conn_t *
choose_refused (const pu_http_server_t *s, gsize newest_over)
{
  pu_arriving_choice_t choice
      = { .now = uv_now (s->o.loop), .newest_over = newest_over };

  for (GList *l = s->conns.head; l != NULL; l = l->next)
    {
      pu_server_conn_t *conn = l->data;

      if (!conn->refused)
        {
          pu_arriving_choice_add (&choice, conn, conn->held, conn->begun,
                                  conn->since);
        }
    }
  return pu_arriving_choice_first (&choice);
}

/* While the process is short of memory, large requests do not grow.  */
static pu_server_conn_t *
find_growing_large (const pu_http_server_t *s)
{
  guint64 now = uv_now (s->o.loop);

  for (GList *l = s->conns.head; l != NULL; l = l->next)
    {
      pu_server_conn_t *conn = l->data;

      if (conn->since == now && conn->held > PU_MEMORY_SMALL_REQUEST)
        return conn;
    }
  return NULL;
}

static pu_server_conn_t *
next_refused (const pu_http_server_t *s)
{
  const pu_memory_budget_t *m = s->o.memory;
  pu_server_conn_t *first = NULL;

  if (pu_memory_budget_reached (m, PU_MEMORY_REFUSE_REQUESTS))
    first = find_growing_large (s);
  if (first == NULL && m->arriving > pu_memory_arriving_max (m))
    first = choose_refused (s, PU_MEMORY_SMALL_REQUEST);
  if (first == NULL && !pu_memory_arriving_fits (m, 0, 0))
    first = choose_refused (s, 0);
  return first;
}

static void
enforce_bound (pu_http_server_t *s)
{
  pu_server_conn_t *refused;

  measure (s);
  while ((refused = next_refused (s)) != NULL)
    refuse (refused);
}

static bool
is_h2_preface (const h2o_buffer_t *input)
{
  static const char begin[] = "PRI * HTTP/2.0";

  return input->size >= strlen (begin)
         && memcmp (input->bytes, begin, strlen (begin)) == 0;
}

/* Before h2o reads what has come.  HTTP/1 leaves it in the input until the
   request is whole; HTTP/2 takes it away, and the next measurement finds what
   became of it.  */
static void
on_socket_read (h2o_socket_t *sock, const char *err)
{
  pu_server_conn_t *conn = sock->on_close.data;
  const pu_memory_budget_t *m = conn->server->o.memory;

  if (!conn->refused && err == NULL)
    {
      conn->h2 = conn->h2 || is_h2_preface (sock->input);
      conn->found = (conn->h2 ? conn->held : 0) + sock->input->size;
      record_held (conn, uv_now (conn->server->o.loop));
      if (m->arriving > pu_memory_arriving_max (m)
          || (conn->held > PU_MEMORY_SMALL_REQUEST
              && pu_memory_budget_reached (m, PU_MEMORY_REFUSE_REQUESTS)))
        enforce_bound (conn->server);
    }
  if (!conn->refused || err != NULL)
    {
      conn->read (sock, err);
    }
  else
    {
      input_drop (conn);
    }
}

static void
on_check (uv_check_t *check)
{
  pu_http_server_t *s = check->data;
  guint64 now = uv_now (s->o.loop);
  GList *l;

  while ((l = g_queue_pop_head_link (&s->not_intercepted)) != NULL)
    intercept_reads (l->data);
  if (now - s->measured_ms < MEASURE_INTERVAL_MS)
    return;
  s->measured_ms = now;
  enforce_bound (s);
}

void
pu_arriving_sweep (pu_http_server_t *s)
{
  guint64 now = uv_now (s->o.loop);
  GList *next;

  for (GList *l = s->measures ? s->conns.head : NULL; l != NULL; l = next)
    {
      pu_server_conn_t *conn = l->data;

      next = l->next;
      if (conn->refused && now - conn->since > LINGER_MS)
        conn->read (conn->sock, h2o_socket_error_closed);
    }
}

void
pu_arriving_start (pu_http_server_t *s)
{
  if (s->o.strict || pu_memory_arriving_max (s->o.memory) == UINT64_MAX)
    return;
  uv_check_init (s->o.loop, &s->measure_check);
  s->measure_check.data = s;
  s->measures = true;
  uv_check_start (&s->measure_check, on_check);
}
