#include "rpc/link.h"

#include <netinet/in.h>
#include <signal.h>
#include <string.h>

#include "base/log.h"

#define PART "rpc"
#define READ_SIZE 16384
#define LOG_PERIOD_MS 60000

struct pu_rpc_link
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_shutdown_t shutdown;
  pu_rpc_reader_t reader;
  pu_rpc_counters_t *counters;
  pu_rpc_link_events_t events;
  void (*on_connected) (void *data);
  size_t max_queue;
  guint64 last_in;
  bool closing;
};

typedef struct
{
  uv_write_t req;
  GByteArray *record;
} pu_rpc_write_t;

void
pu_rpc_counters_init (pu_rpc_counters_t *c, pu_counters_t *table)
{
  memset (c, 0, sizeof *c);
  c->table = table;
  if (table == NULL)
    return;
  c->bytes_in = pu_counters_get (table, "rpc_bytes_in_total");
  c->bytes_out = pu_counters_get (table, "rpc_bytes_out_total");
  c->messages_in = pu_counters_get (table, "rpc_messages_in_total");
  c->messages_out = pu_counters_get (table, "rpc_messages_out_total");
  c->malformed = pu_counters_get (table, "rpc_malformed_total");
  c->denied = pu_counters_get (table, "rpc_denied_total");
  c->overrun = pu_counters_get (table, "rpc_queue_full_total");
  c->abandoned = pu_counters_get (table, "rpc_silent_connections_total");
}

void
pu_rpc_counters_add (const pu_rpc_counters_t *c, pu_counter_t h, gint64 n)
{
  if (c->table != NULL)
    pu_counters_add (c->table, h, n);
}

static void
link_released (uv_handle_t *h)
{
  pu_rpc_link_t *l = h->data;

  pu_rpc_reader_clear (&l->reader);
  g_free (l);
}

void
pu_rpc_link_close (pu_rpc_link_t *l)
{
  if (l->closing)
    return;
  l->closing = true;
  memset (&l->events, 0, sizeof l->events);
  uv_close ((uv_handle_t *)&l->tcp, link_released);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  pu_rpc_link_t *l = req->data;

  (void)status;
  pu_rpc_link_close (l);
}

void
pu_rpc_link_finish (pu_rpc_link_t *l)
{
  if (l->closing)
    return;
  memset (&l->events, 0, sizeof l->events);
  uv_read_stop ((uv_stream_t *)&l->tcp);
  l->shutdown.data = l;
  if (uv_shutdown (&l->shutdown, (uv_stream_t *)&l->tcp, on_shutdown) != 0)
    pu_rpc_link_close (l);
}

/* link_end - the connection ended by itself: tells the owner and closes.  */
static void
link_end (pu_rpc_link_t *l, const pu_error_t *e)
{
  pu_rpc_link_events_t events = l->events;

  if (l->closing)
    return;
  pu_rpc_link_close (l);
  if (events.on_closed != NULL)
    events.on_closed (events.data, e);
}

static void
link_end_uv (pu_rpc_link_t *l, int status)
{
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_IO, "The connection ended: %s.",
                uv_strerror (status));
  link_end (l, &e);
}

static void
link_malformed (pu_rpc_link_t *l, const pu_error_t *e)
{
  pu_rpc_counters_add (l->counters, l->counters->malformed, 1);
  if (pu_log_limited (&l->counters->last_log, uv_now (l->tcp.loop) + 1,
                      LOG_PERIOD_MS))
    pu_log_warn (PART, "Closed a connection: %s", e->message);
  link_end (l, e);
}

/* record_take - decodes one record and hands it to the owner.  */
static void
record_take (pu_rpc_link_t *l, const GByteArray *record)
{
  pu_rpc_message_t m;
  pu_error_t e;
  bool sensible;

  if (!pu_rpc_message_decode (&m, record->data, record->len, &e))
    {
      link_malformed (l, &e);
      return;
    }
  pu_rpc_counters_add (l->counters, l->counters->messages_in, 1);
  if (l->events.on_message == NULL)
    return;
  sensible = l->events.on_message (l->events.data, &m);
  if (sensible || l->closing)
    return;
  pu_error_set (&e, PU_ERROR_CORRUPT, "A message came out of place.");
  link_malformed (l, &e);
}

static void
records_take (pu_rpc_link_t *l)
{
  GByteArray *record;
  pu_error_t e = { .kind = PU_OK };

  while (!l->closing)
    {
      record = pu_rpc_reader_next (&l->reader, &e);
      if (record == NULL)
        break;
      record_take (l, record);
      g_byte_array_unref (record);
    }
  if (!l->closing && e.kind != PU_OK)
    link_malformed (l, &e);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  (void)h;
  (void)suggested;
  buf->base = g_malloc (READ_SIZE);
  buf->len = READ_SIZE;
}

static void
bytes_take (pu_rpc_link_t *l, const char *bytes, size_t n)
{
  l->last_in = uv_now (l->tcp.loop);
  pu_rpc_counters_add (l->counters, l->counters->bytes_in, (gint64)n);
  pu_rpc_reader_feed (&l->reader, bytes, n);
  records_take (l);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  pu_rpc_link_t *l = stream->data;

  if (!l->closing && n < 0)
    {
      link_end_uv (l, (int)n);
    }
  else if (!l->closing && n > 0)
    {
      bytes_take (l, buf->base, (size_t)n);
    }
  g_free (buf->base);
}

/* ignore_sigpipe - a write to a connection that the peer has closed must be an
   error, not the end of the process; libuv leaves that to its users.  A
   handler of the process's own stays.  */
static void
ignore_sigpipe (void)
{
  struct sigaction action;

  if (sigaction (SIGPIPE, NULL, &action) == 0 && action.sa_handler == SIG_DFL)
    signal (SIGPIPE, SIG_IGN);
}

static pu_rpc_link_t *
link_new (const pu_rpc_link_options_t *o)
{
  pu_rpc_link_t *l = g_new0 (pu_rpc_link_t, 1);

  ignore_sigpipe ();
  l->counters = o->counters;
  l->max_queue = o->max_queue;
  l->last_in = uv_now (o->loop);
  pu_rpc_reader_init (&l->reader, o->max_record);
  uv_tcp_init (o->loop, &l->tcp);
  l->tcp.data = l;
  return l;
}

static void
link_start (pu_rpc_link_t *l)
{
  uv_tcp_nodelay (&l->tcp, 1);
  uv_read_start ((uv_stream_t *)&l->tcp, on_alloc, on_read);
}

pu_rpc_link_t *
pu_rpc_link_accept (const pu_rpc_link_options_t *o, uv_stream_t *listener)
{
  pu_rpc_link_t *l = link_new (o);

  if (uv_accept (listener, (uv_stream_t *)&l->tcp) != 0)
    {
      pu_rpc_link_close (l);
      return NULL;
    }
  link_start (l);
  return l;
}

static void
on_connect (uv_connect_t *req, int status)
{
  pu_rpc_link_t *l = req->data;

  if (l->closing)
    return;
  if (status != 0)
    {
      link_end_uv (l, status);
      return;
    }
  l->last_in = uv_now (l->tcp.loop);
  link_start (l);
  l->on_connected (l->events.data);
}

/* link_bind - makes the host of FROM the source of L's connection to TO.  */
static int
link_bind (pu_rpc_link_t *l, const struct sockaddr_storage *to,
           const struct sockaddr_storage *from)
{
  struct sockaddr_storage at = *from;
  struct sockaddr_in *v4 = (struct sockaddr_in *)&at;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&at;

  if (from->ss_family != to->ss_family)
    return 0;
  if (at.ss_family == AF_INET6)
    {
      if (IN6_IS_ADDR_UNSPECIFIED (&v6->sin6_addr))
        return 0;
      v6->sin6_port = 0;
    }
  else
    {
      if (v4->sin_addr.s_addr == INADDR_ANY)
        return 0;
      v4->sin_port = 0;
    }
  return uv_tcp_bind (&l->tcp, (const struct sockaddr *)&at, 0);
}

pu_rpc_link_t *
pu_rpc_link_connect (const pu_rpc_link_options_t *o,
                     const struct sockaddr_storage *to,
                     const struct sockaddr_storage *from,
                     void (*on_connected) (void *data),
                     const pu_rpc_link_events_t *events)
{
  pu_rpc_link_t *l = link_new (o);
  int status;

  l->events = *events;
  l->on_connected = on_connected;
  l->connect.data = l;
  status = link_bind (l, to, from);
  if (status == 0)
    {
      status = uv_tcp_connect (&l->connect, &l->tcp,
                               (const struct sockaddr *)to, on_connect);
    }
  if (status != 0)
    {
      pu_rpc_link_close (l);
      return NULL;
    }
  return l;
}

void
pu_rpc_link_set_events (pu_rpc_link_t *l, const pu_rpc_link_events_t *events)
{
  l->events = *events;
}

void
pu_rpc_link_set_max_record (pu_rpc_link_t *l, size_t max_record)
{
  l->reader.max_record = max_record;
}

static void
on_write (uv_write_t *req, int status)
{
  pu_rpc_write_t *w = req->data;

  /* A failed write shows as a read error too, which ends the link.  */
  (void)status;
  g_byte_array_unref (w->record);
  g_free (w);
}

bool
pu_rpc_link_send (pu_rpc_link_t *l, GByteArray *record)
{
  uv_stream_t *stream = (uv_stream_t *)&l->tcp;
  pu_rpc_write_t *w;
  uv_buf_t buf;

  if (l->closing)
    {
      g_byte_array_unref (record);
      return false;
    }
  if (uv_stream_get_write_queue_size (stream) + record->len > l->max_queue)
    {
      pu_rpc_counters_add (l->counters, l->counters->overrun, 1);
      g_byte_array_unref (record);
      return false;
    }
  w = g_new0 (pu_rpc_write_t, 1);
  w->record = record;
  w->req.data = w;
  buf = uv_buf_init ((char *)record->data, record->len);
  pu_rpc_counters_add (l->counters, l->counters->bytes_out, record->len);
  pu_rpc_counters_add (l->counters, l->counters->messages_out, 1);
  if (uv_write (&w->req, stream, &buf, 1, on_write) != 0)
    {
      g_byte_array_unref (record);
      g_free (w);
      return false;
    }
  return true;
}

guint64
pu_rpc_link_last_in (const pu_rpc_link_t *l)
{
  return l->last_in;
}

uv_timer_t *
pu_rpc_timer_new (uv_loop_t *loop, void *data)
{
  uv_timer_t *t = g_new0 (uv_timer_t, 1);

  uv_timer_init (loop, t);
  t->data = data;
  return t;
}

static void
timer_released (uv_handle_t *h)
{
  g_free (h);
}

void
pu_rpc_timer_free (uv_timer_t *t)
{
  uv_timer_stop (t);
  uv_close ((uv_handle_t *)t, timer_released);
}
