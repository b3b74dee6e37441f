#include "http/server_private.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "http/arriving.h"
#include "http/h1_server.h"
#include "http/query.h"

enum
{
  STATUS_CLIENT_CLOSED = 499,
  STATUS_HEADERS_TOO_LARGE = 431,
  HTTP2 = 0x200,
};

static const char *
pool_string (h2o_req_t *req, h2o_iovec_t v)
{
  return h2o_strdup (&req->pool, v.base, v.len).base;
}

const char *
pu_http_request_method (const pu_http_request_t *r)
{
  if (r->h1 != NULL)
    return pu_h1_reader_method (pu_h1_reader_of (r));
  return pool_string (r->req, r->req->method);
}

/* Decoded; NUL bytes end it.  */
static char *
path_decode (const char *target)
{
  char *raw = g_strndup (target, strcspn (target, "?"));
  char *path = g_uri_unescape_string (raw, NULL);

  if (path == NULL)
    return raw;
  g_free (raw);
  return path;
}

const char *
pu_http_request_path (const pu_http_request_t *r)
{
  pu_http_request_t *mine = (pu_http_request_t *)r;

  if (r->h1 != NULL && r->decoded == NULL)
    {
      mine->decoded = path_decode (r->target);
      mine->path = mine->decoded;
    }
  return r->path;
}

const char *
pu_http_request_target (const pu_http_request_t *r)
{
  return r->target;
}

const char *
pu_http_request_query (const pu_http_request_t *r)
{
  const char *mark = strchr (r->target, '?');

  return mark != NULL ? mark + 1 : "";
}

const char *
pu_http_request_host (const pu_http_request_t *r)
{
  if (r->h1 != NULL)
    return pu_h1_reader_host (pu_h1_reader_of (r));
  return pool_string (r->req, r->req->input.authority);
}

const char *
pu_http_request_remote (const pu_http_request_t *r)
{
  if (r->h1 != NULL && r->remote[0] == '\0')
    pu_h1_remote ((pu_http_request_t *)r);
  return r->remote;
}

guint64
pu_http_request_connection (const pu_http_request_t *r)
{
  return r->h1 != NULL ? pu_h1_number (r) : r->req->conn->id;
}

const char *
pu_http_request_body (const pu_http_request_t *r, gsize *len)
{
  if (r->h1 != NULL)
    return pu_h1_reader_body (pu_h1_reader_of (r), len);
  *len = r->req->entity.len;
  return r->req->entity.base != NULL ? r->req->entity.base : "";
}

gsize
pu_http_request_header_count (const pu_http_request_t *r)
{
  if (r->h1 != NULL)
    return pu_h1_reader_headers (pu_h1_reader_of (r))->len;
  return r->req->headers.size;
}

pu_http_header_t
pu_http_request_header_at (const pu_http_request_t *r, gsize i)
{
  const h2o_header_t *h;

  if (r->h1 != NULL)
    {
      return g_array_index (pu_h1_reader_headers (pu_h1_reader_of (r)),
                            pu_http_header_t, i);
    }
  h = &r->req->headers.entries[i];
  return (pu_http_header_t){ pool_string (r->req, *h->name),
                             pool_string (r->req, h->value) };
}

static const char *
h1_header (const pu_http_request_t *r, const char *name)
{
  const GArray *headers = pu_h1_reader_headers (pu_h1_reader_of (r));

  for (guint i = 0; i < headers->len; i++)
    {
      const pu_http_header_t *h
          = &g_array_index (headers, pu_http_header_t, i);

      if (g_ascii_strcasecmp (h->name, name) == 0)
        return h->value;
    }
  return NULL;
}

const char *
pu_http_request_header (const pu_http_request_t *r, const char *name)
{
  gsize len = strlen (name);

  if (r->h1 != NULL)
    return h1_header (r, name);
  for (gsize i = 0; i < r->req->headers.size; i++)
    {
      const h2o_header_t *h = &r->req->headers.entries[i];

      if (h->name->len == len
          && g_ascii_strncasecmp (h->name->base, name, len) == 0)
        return pool_string (r->req, h->value);
    }
  return NULL;
}

char *
pu_http_request_query_value (const pu_http_request_t *r, const char *key)
{
  return pu_http_query_value (pu_http_request_query (r), key);
}

void
pu_http_request_watch (pu_http_request_t *r,
                       const pu_http_request_events_t *events, void *data)
{
  r->events = *events;
  r->data = data;
}

static void
gone_report (pu_http_request_t *r)
{
  void (*cb) (void *data) = r->events.on_gone;

  if (r->released)
    return;
  r->released = true;
  if (cb != NULL)
    cb (r->data);
}

static void
on_stop (h2o_generator_t *g, h2o_req_t *req)
{
  pu_http_request_t *r = (pu_http_request_t *)g;

  (void)req;
  r->ended = true;
  gone_report (r);
}

/* The request's memory pool is cleared: h2o is done with it.  */
static void
on_dispose (void *slot)
{
  pu_http_request_t *r = *(pu_http_request_t **)slot;

  r->ended = true;
  gone_report (r);
  r->conn->active--;
  pu_arriving_watch (r->conn);
  g_queue_unlink (&r->server->open, &r->link);
  g_byte_array_free (r->pending, TRUE);
  g_byte_array_free (r->inflight, TRUE);
  g_free (r);
}

/* Gives h2o the end of the answer.  R may be freed on return.  */
static void
end_send (pu_http_request_t *r, h2o_send_state_t state)
{
  r->ended = true;
  if (state == H2O_SEND_STATE_ERROR)
    r->req->http1_is_persistent = 0;
  h2o_send (r->req, NULL, 0, state);
}

static void
pending_send (pu_http_request_t *r)
{
  GByteArray *bytes = r->pending;
  bool last = r->finishing && !r->aborting;
  h2o_iovec_t buf;

  r->pending = r->inflight;
  r->inflight = bytes;
  r->sending = true;
  r->ended = last;
  r->sent_ms = uv_now (r->server->o.loop);
  buf = h2o_iovec_init (bytes->data, bytes->len);
  h2o_send (r->req, &buf, 1,
            last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static int
request_fd (const pu_http_request_t *r)
{
  uv_os_fd_t fd = -1;

  if (uv_fileno ((const uv_handle_t *)r->conn->tcp, &fd) != 0)
    return -1;
  return fd;
}

static void
connection_cut (pu_http_request_t *r)
{
  int fd = request_fd (r);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
}

/* Ends the answer as unfinished.  h2o would mark that by a chunk whose size
   can't be read, which is no HTTP: the connection is shut before it can.  */
static void
answer_break (pu_http_request_t *r)
{
  if (r->req->version < HTTP2)
    connection_cut (r);
  end_send (r, H2O_SEND_STATE_ERROR);
}

/* Goes on with what is to be sent.  R may be freed on return.  */
static void
request_pump (pu_http_request_t *r)
{
  if (r->sending || r->ended)
    return;
  if (r->pending->len > 0)
    {
      pending_send (r);
    }
  else if (r->aborting)
    {
      answer_break (r);
    }
  else if (r->finishing)
    {
      end_send (r, H2O_SEND_STATE_FINAL);
    }
}

static void
on_proceed (h2o_generator_t *g, h2o_req_t *req)
{
  pu_http_request_t *r = (pu_http_request_t *)g;

  (void)req;
  r->sending = false;
  g_byte_array_set_size (r->inflight, 0);
  if (r->pending->len > 0 || r->finishing || r->aborting)
    {
      request_pump (r);
    }
  else if (!r->released && r->events.on_drain != NULL)
    {
      r->events.on_drain (r->data);
    }
}

static void
head_set (pu_http_request_t *r, int status, const pu_http_header_t *headers,
          gsize n)
{
  h2o_req_t *req = r->req;

  req->res.status = status;
  req->res.reason = "-";
  for (gsize i = 0; i < n; i++)
    {
      h2o_iovec_t name = h2o_strdup (&req->pool, headers[i].name, SIZE_MAX);
      h2o_iovec_t value = h2o_strdup (&req->pool, headers[i].value, SIZE_MAX);

      h2o_strtolower (name.base, name.len);
      h2o_add_header_by_str (&req->pool, &req->res.headers, name.base,
                             name.len, 1, NULL, value.base, value.len);
    }
}

static void
head_start (pu_http_request_t *r)
{
  r->started = true;
  r->generator.proceed = on_proceed;
  r->generator.stop = on_stop;
  h2o_start_response (r->req, &r->generator);
}

void
pu_http_respond_start (pu_http_request_t *r, int status,
                       const pu_http_header_t *headers, gsize n)
{
  if (r->h1 != NULL)
    {
      pu_h1_respond_start (r, status, headers, n);
      return;
    }
  head_set (r, status, headers, n);
  head_start (r);
}

void
pu_http_respond (pu_http_request_t *r, int status,
                 const pu_http_header_t *headers, gsize n, const char *body,
                 gsize len)
{
  if (r->h1 != NULL)
    {
      pu_h1_respond (r, status, headers, n, body, len);
      return;
    }
  if (r->started)
    {
      pu_http_respond_abort (r);
      return;
    }
  head_set (r, status, headers, n);
  r->req->res.content_length = len;
  head_start (r);
  g_byte_array_append (r->pending, (const guint8 *)body, (guint)len);
  pu_http_respond_finish (r);
}

gsize
pu_http_respond_write (pu_http_request_t *r, const char *bytes, gsize len)
{
  if (r->h1 != NULL)
    return pu_h1_respond_write (r, bytes, len);
  g_byte_array_append (r->pending, (const guint8 *)bytes, (guint)len);
  if (!r->sending && !r->ended && len > 0)
    pending_send (r);
  return r->pending->len + r->inflight->len;
}

void
pu_http_respond_finish (pu_http_request_t *r)
{
  if (r->h1 != NULL)
    {
      pu_h1_respond_finish (r);
      return;
    }
  r->released = true;
  r->finishing = true;
  request_pump (r);
}

void
pu_http_respond_abort (pu_http_request_t *r)
{
  if (r->h1 != NULL)
    {
      pu_h1_respond_abort (r);
      return;
    }
  r->released = true;
  r->aborting = true;
  request_pump (r);
}

void
pu_request_gone (pu_http_request_t *r)
{
  gone_report (r);
  r->req->http1_is_persistent = 0;
  if (r->sending || r->ended)
    {
      connection_cut (r);
    }
  else if (r->started)
    {
      end_send (r, H2O_SEND_STATE_ERROR);
    }
  else
    {
      pu_http_respond (r, STATUS_CLIENT_CLOSED, NULL, 0, "", 0);
    }
}

/* HTTP/2 reads on and sees by itself that a caller has gone; HTTP/1 does not
   read during a request.  */
static bool
needs_poll (const pu_http_request_t *r)
{
  return r->req->version < HTTP2 && !r->released;
}

static void
open_poll (pu_http_server_t *s)
{
  g_array_set_size (s->polls, 0);
  g_ptr_array_set_size (s->polled, 0);
  for (GList *l = s->open.head; l != NULL; l = l->next)
    {
      struct pollfd one = { .events = POLLRDHUP };

      if (!needs_poll (l->data))
        continue;
      one.fd = request_fd (l->data);
      g_array_append_val (s->polls, one);
      g_ptr_array_add (s->polled, l->data);
    }
  if (s->polls->len > 0)
    poll ((struct pollfd *)(void *)s->polls->data, s->polls->len, 0);
}

void
pu_request_sweep (pu_http_server_t *s)
{
  guint64 now = uv_now (s->o.loop);

  for (GList *l = s->open.head; l != NULL; l = l->next)
    {
      pu_http_request_t *r = l->data;

      if (r->sending && now - r->sent_ms > s->o.write_timeout_ms)
        connection_cut (r);
    }
  open_poll (s);
  for (guint i = 0; i < s->polls->len; i++)
    {
      pu_http_request_t *r = g_ptr_array_index (s->polled, i);

      if (g_array_index (s->polls, struct pollfd, i).revents != 0
          && g_queue_link_index (&s->open, &r->link) >= 0)
        pu_request_gone (r);
    }
}

static gsize
headers_size (const h2o_req_t *req)
{
  gsize n = req->path.len;

  for (gsize i = 0; i < req->headers.size; i++)
    n += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  return n;
}

static void
remote_set (pu_http_request_t *r)
{
  struct sockaddr_storage sa;
  char host[NI_MAXHOST];
  size_t n;

  if (r->req->conn->callbacks->get_peername (r->req->conn,
                                             (struct sockaddr *)&sa)
      == 0)
    return;
  n = h2o_socket_getnumerichost ((struct sockaddr *)&sa, sizeof sa, host);
  if (n != SIZE_MAX)
    g_strlcpy (r->remote, host, sizeof r->remote);
}

static pu_http_request_t *
request_new (pu_http_server_t *s, h2o_req_t *req)
{
  pu_http_request_t *r = g_new0 (pu_http_request_t, 1);
  pu_http_request_t **slot
      = h2o_mem_alloc_shared (&req->pool, sizeof (void *), on_dispose);

  *slot = r;
  r->server = s;
  r->req = req;
  r->conn = req->conn->callbacks->get_socket (req->conn)->on_close.data;
  r->conn->active++;
  pu_arriving_end (r->conn);
  r->pending = g_byte_array_new ();
  r->inflight = g_byte_array_new ();
  r->path = pool_string (req, req->path_normalized);
  r->target = pool_string (req, req->path);
  r->link.data = r;
  g_queue_push_tail_link (&s->open, &r->link);
  remote_set (r);
  return r;
}

int
pu_request_accept (h2o_handler_t *h, h2o_req_t *req)
{
  pu_http_server_t *s = ((pu_handler_t *)h)->server;
  pu_http_request_t *r = request_new (s, req);
  pu_http_header_t refusal[] = { { s->refusal_header, s->refusal_value },
                                 { "content-type", "application/json" } };
  const char *body = s->refusal_body != NULL ? s->refusal_body : "";

  if (headers_size (req) > s->o.header_max)
    {
      pu_http_respond (r, STATUS_HEADERS_TOO_LARGE, refusal,
                       s->refusal_body != NULL ? G_N_ELEMENTS (refusal) : 0,
                       body, strlen (body));
    }
  else
    {
      s->o.handler (s->o.data, r);
    }
  return 0;
}
