#include "agent/agent_private.h"

/*
 * A poll is also the heartbeat of the daemon and renews the leases of the
 * backend servers that report here.  Neither may wait for something slow: a
 * voter that hangs or is cut off, or a disk on which a new document is saved.
 * So, when the next poll is overdue, a hedge is sent: a poll that waits for no
 * news and carries all renewals that may not have arrived.  A voter that hangs
 * is replaced by the first one that answers a hedge.
 */

/* The next poll is overdue this much after the wait of the last one.  It
   covers a voter's timers and a busy machine, and is a fraction of the time
   after which a daemon counts itself as cut off.  */
#define OVERDUE_MS 200

/* For the answer to a hedge, unless another one is sent before.  */
#define ANSWER_MS 600

static void hedge_send (pu_agent_t *a);

static void
on_hedge_timer (uv_timer_t *t)
{
  hedge_send (t->data);
}

static void
hedge_later (pu_agent_t *a, guint ms)
{
  uv_timer_start (a->hedge_timer, on_hedge_timer, ms, 0);
}

static void
hedge_cancel (pu_agent_t *a)
{
  pu_rpc_client_t *client;

  if (a->hedge_handle == 0)
    return;
  client = pu_rpc_pool_get (a->pool, a->hedge_voter);
  if (client != NULL)
    pu_rpc_client_cancel (client, a->hedge_handle);
  a->hedge_handle = 0;
}

static void
hedge_answered (pu_agent_t *a, const pu_blob_reply *r)
{
  a->answered_at = MAX (uv_now (a->options.loop), 1);
  if (a->held != NULL)
    {
      a->hedges = 0;
      hedge_later (a, a->options.poll_wait_ms);
    }
  else if (a->fetching == NULL)
    {
      pu_agent_poll_replace (a, a->hedge_voter, a->hedge_sent_at, r);
    }
}

static void
on_hedged (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_agent_t *a = data;
  pu_blob_reply r;

  a->hedge_handle = 0;
  if (e->kind != PU_OK
      || !pu_codec_decode ((xdrproc_t)xdr_pu_blob_reply, &r, sizeof r, body, n,
                           NULL))
    return;
  /* One that knows no leader cannot pass the renewals on.  */
  if (r.reply.leader[0] != '\0')
    hedge_answered (a, &r);
  xdr_free ((xdrproc_t)xdr_pu_blob_reply, &r);
}

/* next_voter - the voter for the next hedge: while an answer is held the one
   that gave it, and then, or for a poll that is overdue, those after it. NULL:
   none but the one that is being polled.  */
static const char *
next_voter (pu_agent_t *a)
{
  guint at = a->at + a->hedges + (a->held == NULL ? 1 : 0);
  const char *voter;

  if (a->ranked->len == 0)
    return NULL;
  a->hedges++;
  voter = a->ranked->pdata[at % a->ranked->len];
  return a->held == NULL && g_strcmp0 (voter, a->poll_voter) == 0 ? NULL
                                                                  : voter;
}

static void
hedge_call (pu_agent_t *a, const char *voter, pu_rpc_client_t *client)
{
  GBytes *bytes = pu_agent_poll_hedge (a);
  gsize size;
  gconstpointer data = g_bytes_get_data (bytes, &size);

  g_free (a->hedge_voter);
  a->hedge_voter = g_strdup (voter);
  a->hedge_sent_at = MAX (uv_now (a->options.loop), 1);
  a->hedge_handle = pu_rpc_client_call (
      client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
      PU_CONTROL_POLL_BLOBS, data, size, ANSWER_MS, on_hedged, a);
  g_bytes_unref (bytes);
}

static void
hedge_send (pu_agent_t *a)
{
  pu_rpc_client_t *client;
  const char *voter;

  if (a->poll_handle == 0 && a->held == NULL)
    return;
  hedge_cancel (a);
  hedge_later (a, OVERDUE_MS);
  /* Calls for chunks are heartbeats themselves, and what is under way would
     seem to have arrived.  */
  if (a->fetching != NULL || !a->joined)
    return;
  voter = next_voter (a);
  client = voter == NULL ? NULL : pu_rpc_pool_get (a->pool, voter);
  if (client != NULL)
    hedge_call (a, voter, client);
}

void
pu_agent_hedge_begin (pu_agent_t *a, guint wait_ms)
{
  hedge_cancel (a);
  a->hedges = 0;
  hedge_later (a, wait_ms + OVERDUE_MS);
}

void
pu_agent_hedge_init (pu_agent_t *a)
{
  a->hedge_timer = pu_rpc_timer_new (a->options.loop, a);
}

void
pu_agent_hedge_clear (pu_agent_t *a)
{
  pu_rpc_timer_free (a->hedge_timer);
  g_free (a->hedge_voter);
}
