#include "control/control_private.h"

/* Upper limit of the wait that a chunk request asks for.  */
#define CHUNK_WAIT_MAX_MS 30000

/* Bytes of bulk data in flight: those of a tenth of a second on a link of
   20 Mbit/s, so that a heartbeat behind them is still in time.  */
#define FLIGHT_MAX_BYTES ((size_t)256 << 10)

/* A daemon that has made no call for this long after bulk data was sent to it
   is taken for lost.  */
#define FLIGHT_EXPIRY_MS 1000

/* Blobs that can be fetched: some images and documents, as daemons still fetch
   an older one when the next is there.  */
#define BLOBS_MAX 8
#define BLOBS_MAX_BYTES ((size_t)16 << 20)

typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call;
  GList node; /* in control->chunk_calls */
  char *reader;
  uint64_t id;
  u_int offset;
  uint64_t deadline; /* latest time of the reply, ms */
} chunk_call_t;

static void
chunk_call_free (chunk_call_t *x)
{
  g_queue_unlink (&x->control->chunk_calls, &x->node);
  g_free (x->reader);
  g_free (x);
}

static void
chunk_call_reply (chunk_call_t *x, const pu_chunk *chunk)
{
  pu_rpc_call_t *call = x->call;

  chunk_call_free (x);
  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_chunk, chunk);
}

bool
pu_control_bulk_admit (pu_control_t *c, const char *reader, size_t n,
                       uint64_t now)
{
  if (pu_memory_budget_reached (c->options.memory, PU_MEMORY_HOLD_BULK)
      || !pu_flight_admit (c->flight, reader, n, now))
    return false;
  if (c->options.counters != NULL)
    {
      pu_counters_add (c->options.counters,
                       pu_counters_get (c->options.counters,
                                        "control_bulk_bytes_out_total"),
                       (gint64)n);
    }
  return true;
}

/* chunk_call_serve - answers X with the bytes that it asks for, unless they
   have to wait.  Returns whether X was answered.  */
static bool
chunk_call_serve (chunk_call_t *x, uint64_t now)
{
  pu_control_t *c = x->control;
  pu_chunk chunk = { .known = TRUE };
  GBytes *packed;
  const pu_blob *blob = pu_blobs_find (c->blobs, x->id, &packed);

  if (blob == NULL || x->offset >= blob->size)
    {
      chunk.known = FALSE;
      chunk_call_reply (x, &chunk);
      return true;
    }
  chunk.bytes.bytes_len
      = MIN (blob->size - x->offset, (u_int)PU_CONTROL_CHUNK_MAX);
  chunk.bytes.bytes_val = (char *)g_bytes_get_data (packed, NULL) + x->offset;
  if (!pu_control_bulk_admit (c, x->reader, chunk.bytes.bytes_len, now))
    return false;
  chunk_call_reply (x, &chunk);
  return true;
}

static void
serve_waiting (pu_control_t *c, uint64_t now)
{
  chunk_call_t *x;

  while ((x = g_queue_peek_head (&c->chunk_calls)) != NULL)
    {
      if (!chunk_call_serve (x, now))
        return;
    }
  pu_control_polls_serve_bulk (c);
}

void
pu_control_chunks_init (pu_control_t *c)
{
  g_queue_init (&c->chunk_calls);
  c->blobs = pu_blobs_new (BLOBS_MAX, BLOBS_MAX_BYTES);
  c->flight = pu_flight_new (FLIGHT_MAX_BYTES, FLIGHT_EXPIRY_MS);
}

void
pu_control_chunks_clear (pu_control_t *c)
{
  chunk_call_t *x;

  while ((x = g_queue_peek_head (&c->chunk_calls)) != NULL)
    {
      pu_rpc_call_t *call = x->call;

      chunk_call_free (x);
      pu_rpc_call_refuse (call);
    }
  pu_blobs_free (c->blobs);
  pu_flight_free (c->flight);
}

void
pu_control_chunks_tick (pu_control_t *c, uint64_t now)
{
  const pu_chunk wait_over = { .known = TRUE };
  GList *next;

  if (pu_flight_expire (c->flight, now))
    {
      pu_log_info (PU_CONTROL_PART,
                   "A daemon has not taken what it was sent for %d ms.",
                   FLIGHT_EXPIRY_MS);
    }
  /* Also what waited for memory goes on.  */
  serve_waiting (c, now);
  for (GList *l = c->chunk_calls.head; l != NULL; l = next)
    {
      chunk_call_t *x = l->data;

      next = l->next;
      if (now >= x->deadline)
        chunk_call_reply (x, &wait_over);
    }
}

void
pu_control_chunks_received (pu_control_t *c, const char *reader)
{
  if (pu_flight_receive (c->flight, reader))
    serve_waiting (c, pu_control_now (c));
}

/* request_add_heartbeat - a chunk request takes the place of a poll as the
   daemon's heartbeat.  */
static void
request_add_heartbeat (pu_control_t *c, const pu_chunk_request *r,
                       uint64_t now)
{
  pu_poll heartbeat = { .name = r->name,
                        .incarnation = r->incarnation,
                        .position = r->position };

  pu_sessions_add_poll (c->sessions, &heartbeat, now);
}

static void
on_chunk_closed (void *data, pu_rpc_call_t *call)
{
  chunk_call_free (data);
  pu_rpc_call_drop (call);
}

void
pu_control_on_chunk (void *data, pu_rpc_call_t *call, const guint8 *body,
                     size_t n)
{
  pu_control_t *c = data;
  uint64_t now = pu_control_now (c);
  pu_chunk_request args;
  chunk_call_t *x;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_chunk_request, &args, sizeof args,
                        body, n, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  request_add_heartbeat (c, &args, now);
  x = g_new0 (chunk_call_t, 1);
  x->control = c;
  x->call = call;
  x->reader = g_strdup (args.name);
  x->id = args.id;
  x->offset = args.offset;
  x->deadline = now + MIN (args.wait_ms, CHUNK_WAIT_MAX_MS);
  x->node.data = x;
  xdr_free ((xdrproc_t)xdr_pu_chunk_request, &args);
  pu_rpc_call_on_close (call, on_chunk_closed, x);
  /* A transfer under way goes before those that have not begun: the first
     daemons are complete while the last ones still wait.  */
  if (x->offset > 0)
    {
      g_queue_push_head_link (&c->chunk_calls, &x->node);
    }
  else
    {
      g_queue_push_tail_link (&c->chunk_calls, &x->node);
    }
  pu_flight_receive (c->flight, x->reader);
  serve_waiting (c, now);
}
