#include "rpc/dial.h"

#include <string.h>

/* The handshake uses these xids; calls begin after them.  */
#define XID_HELLO 1
#define XID_PROVE 2

struct pu_rpc_dial
{
  pu_rpc_dial_options_t options;
  pu_rpc_link_t *link;
  uv_timer_t *timer;
  pu_rpc_nonces_t nonces;
  bool proved; /* the server has proved the key, and we answered */
};

void
pu_rpc_dial_free (pu_rpc_dial_t *d)
{
  if (d == NULL)
    return;
  if (d->link != NULL)
    pu_rpc_link_close (d->link);
  pu_rpc_timer_free (d->timer);
  g_free (d);
}

static void
dial_fail (pu_rpc_dial_t *d, const pu_error_t *e)
{
  d->options.on_done (d->options.data, d, NULL, e);
  pu_rpc_dial_free (d);
}

static void
dial_succeed (pu_rpc_dial_t *d)
{
  pu_rpc_link_t *link = d->link;
  pu_error_t e = { .kind = PU_OK };

  d->link = NULL;
  d->options.on_done (d->options.data, d, link, &e);
  pu_rpc_dial_free (d);
}

static void
dial_send (pu_rpc_dial_t *d, guint32 xid, guint32 proc, const guint8 *auth,
           guint n)
{
  pu_rpc_message_t m = { .xid = xid,
                         .program = PU_RPC_PROGRAM_LINK,
                         .version = PU_RPC_LINK_VERSION,
                         .proc = proc,
                         .flavor = PU_RPC_AUTH_FLAVOR,
                         .auth_size = n };

  memcpy (m.auth, auth, n);
  pu_rpc_link_send (d->link, pu_rpc_message_encode_call (&m));
}

static void
dial_on_connected (void *data)
{
  pu_rpc_dial_t *d = data;

  dial_send (d, XID_HELLO, PU_RPC_LINK_HELLO, d->nonces.client,
             PU_RPC_NONCE_SIZE);
}

/* dial_check_server - the server knows the key: proves ours.  */
static bool
dial_check_server (pu_rpc_dial_t *d, const pu_rpc_message_t *m)
{
  guint8 proof[PU_RPC_PROOF_SIZE];

  if (m->auth_size != PU_RPC_NONCE_SIZE + PU_RPC_PROOF_SIZE)
    return false;
  memcpy (d->nonces.server, m->auth, PU_RPC_NONCE_SIZE);
  pu_rpc_proof (d->options.key, "server", &d->nonces, proof);
  if (!pu_rpc_proof_equal (proof, m->auth + PU_RPC_NONCE_SIZE, sizeof proof))
    return false;
  pu_rpc_proof (d->options.key, "client", &d->nonces, proof);
  d->proved = true;
  dial_send (d, XID_PROVE, PU_RPC_LINK_PROVE, proof, sizeof proof);
  return true;
}

static bool
dial_on_message (void *data, const pu_rpc_message_t *m)
{
  pu_rpc_dial_t *d = data;
  pu_error_t e;

  if (!m->reply)
    return false;
  if (m->xid == XID_PROVE && m->kind == PU_OK && d->proved)
    {
      dial_succeed (d);
      return true;
    }
  if (m->xid == XID_HELLO && m->kind == PU_OK && dial_check_server (d, m))
    return true;
  pu_error_set (&e, PU_ERROR_DENIED, "The peer's key is not ours.");
  dial_fail (d, &e);
  return true;
}

static void
dial_on_closed (void *data, const pu_error_t *e)
{
  pu_rpc_dial_t *d = data;

  d->link = NULL;
  dial_fail (d, e);
}

static void
dial_on_timeout (uv_timer_t *t)
{
  pu_rpc_dial_t *d = t->data;
  pu_error_t e;

  if (d->link == NULL)
    {
      pu_error_set (&e, PU_ERROR_IO, "The connection cannot be made.");
    }
  else
    {
      pu_error_set (&e, PU_ERROR_TIMEOUT, "The peer does not answer.");
    }
  dial_fail (d, &e);
}

pu_rpc_dial_t *
pu_rpc_dial_new (const pu_rpc_dial_options_t *o)
{
  pu_rpc_dial_t *d = g_new0 (pu_rpc_dial_t, 1);
  pu_rpc_link_events_t events = { .on_message = dial_on_message,
                                  .on_closed = dial_on_closed,
                                  .data = d };

  d->options = *o;
  d->timer = pu_rpc_timer_new (o->link.loop, d);
  if (pu_rpc_nonce (d->nonces.client))
    {
      d->link = pu_rpc_link_connect (&o->link, &o->to, &o->from,
                                     dial_on_connected, &events);
    }
  uv_timer_start (d->timer, dial_on_timeout,
                  d->link != NULL ? o->timeout_ms : 1, 0);
  return d;
}
