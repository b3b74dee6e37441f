/* What other entries see of a backend server that seems to have crashed.  */

#include "control/generated/control_msg.h"
#include "daemon/parts.h"
#include "rpc/rpc.h"
#include "state/codec.h"

/* --- asking --- */

static void
on_answer (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_daemon_t *d = data;
  pu_witness_reply m;

  /* An entry of an earlier release has no such procedure.  */
  if (e->kind != PU_OK || d->entry == NULL
      || !pu_codec_decode ((xdrproc_t)xdr_pu_witness_reply, &m, sizeof m, body,
                           n, NULL))
    return;
  pu_entry_receive_sight (d->entry, m.inquiry, (pu_sight_t)m.sight);
}

void
pu_daemon_witness_ask (void *daemon, const char *address, const char *backend,
                       guint64 incarnation, guint64 inquiry, guint timeout_ms)
{
  pu_witness_query m = { .backend = (char *)backend,
                         .incarnation = incarnation,
                         .inquiry = inquiry };

  pu_daemon_peer_call (daemon, address, PU_CONTROL_WITNESS,
                       (xdrproc_t)xdr_pu_witness_query, &m, timeout_ms,
                       on_answer);
}

/* --- answering --- */

typedef struct
{
  pu_rpc_call_t *call;
  guint64 inquiry;
} question_t;

static void
on_sight (void *data, pu_sight_t sight)
{
  question_t *q = data;
  pu_witness_reply reply = { .inquiry = q->inquiry, .sight = sight };
  GBytes *bytes = pu_codec_encode ((xdrproc_t)xdr_pu_witness_reply, &reply);

  pu_rpc_call_reply (q->call, g_bytes_get_data (bytes, NULL),
                     g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  g_free (q);
}

static void
on_query (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  const pu_daemon_t *d = data;
  pu_witness_query m;
  question_t *q;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_witness_query, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  q = g_new0 (question_t, 1);
  q->call = call;
  q->inquiry = m.inquiry;
  if (d->entry != NULL)
    {
      pu_entry_see_backend (d->entry, m.backend, m.incarnation, on_sight, q);
    }
  else
    {
      on_sight (q, PU_SIGHT_NONE);
    }
  xdr_free ((xdrproc_t)xdr_pu_witness_query, (char *)&m);
}

void
pu_daemon_witnesses_listen (pu_daemon_t *d)
{
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_WITNESS, on_query, d);
}
