/* Load reports of backend servers and other news, from entry to entry, one
   way.  */

#include <math.h>

#include "control/generated/control_msg.h"
#include "daemon/parts.h"
#include "rpc/rpc.h"
#include "state/codec.h"

/* send_one_way - consumes BYTES.  Returns whether there is a connection to
   ADDRESS.  */
static bool
send_one_way (const pu_daemon_t *d, const char *address, guint32 proc,
              GBytes *bytes)
{
  pu_rpc_client_t *peer = pu_agent_peer (d->agent, address);
  bool sent = false;

  if (peer != NULL)
    {
      pu_rpc_client_connect (peer);
      sent = pu_rpc_client_send (
          peer, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, proc,
          g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
    }
  g_bytes_unref (bytes);
  return sent;
}

void
pu_daemon_loads_out (void *daemon, const char *address,
                     const pu_entry_load_t *loads, guint n, guint life_ms)
{
  pu_daemon_t *d = daemon;
  pu_load *list = g_new0 (pu_load, MAX (n, 1));
  pu_loads m = { 0 };
  GBytes *bytes;

  for (guint i = 0; i < n; i++)
    {
      list[i].id = loads[i].id;
      list[i].seq = loads[i].seq;
      list[i].running = loads[i].running;
      list[i].waiting = loads[i].waiting;
      list[i].age_ms = loads[i].age_ms;
    }
  m.life_ms = life_ms;
  m.loads.loads_len = n;
  m.loads.loads_val = list;
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_loads, &m);
  send_one_way (d, address, PU_CONTROL_LOADS, bytes);
  g_free (list);
}

void
pu_daemon_withdraw_out (void *daemon, const char *address, guint64 id,
                        const char *model, guint life_ms)
{
  pu_withdrawal m = { id, (char *)model, life_ms };

  send_one_way (daemon, address, PU_CONTROL_WITHDRAW,
                pu_codec_encode ((xdrproc_t)xdr_pu_withdrawal, &m));
}

void
pu_daemon_accusations_tell (void *daemon, const char *address,
                            const pu_entry_accusation_t *accusations, guint n)
{
  pu_accusation list[PU_CONTROL_ACCUSATIONS_MAX];
  pu_accusations m = { { MIN (n, PU_CONTROL_ACCUSATIONS_MAX), list } };

  for (guint i = 0; i < m.accusations.accusations_len; i++)
    {
      list[i] = (pu_accusation){ accusations[i].part, accusations[i].backend,
                                 accusations[i].request };
    }
  send_one_way (daemon, address, PU_CONTROL_ACCUSE,
                pu_codec_encode ((xdrproc_t)xdr_pu_accusations, &m));
}

static void
on_accused (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  const pu_daemon_t *d = data;
  pu_entry_accusation_t list[PU_CONTROL_ACCUSATIONS_MAX];
  pu_accusations m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_accusations, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  for (guint i = 0; i < m.accusations.accusations_len; i++)
    {
      const pu_accusation *a = &m.accusations.accusations_val[i];

      list[i] = (pu_entry_accusation_t){ a->part, a->backend, a->request };
    }
  if (d->entry != NULL)
    {
      pu_entry_receive_accusations (d->entry, list,
                                    m.accusations.accusations_len);
    }
  xdr_free ((xdrproc_t)xdr_pu_accusations, (char *)&m);
  pu_rpc_call_drop (call);
}

bool
pu_daemon_statements_tell (void *daemon, const char *address,
                           const pu_statement_t *statements, guint n,
                           guint64 now)
{
  pu_stated list[PU_CONTROL_STATEMENTS_MAX];
  pu_statements m = { { MIN (n, PU_CONTROL_STATEMENTS_MAX), list } };

  for (guint i = 0; i < m.statements.statements_len; i++)
    {
      const pu_statement_t *st = &statements[i];

      list[i] = (pu_stated){ .backend = (char *)st->server,
                             .incarnation = st->incarnation,
                             .rejections_per_s = st->rejections_per_s,
                             .limit_per_s = st->limit_per_s,
                             .crowded_ms
                             = (guint32)(MAX (st->crowded_until, now) - now),
                             .age_ms = (guint32)(now - st->stated_at) };
    }
  return send_one_way (daemon, address, PU_CONTROL_STATEMENTS,
                       pu_codec_encode ((xdrproc_t)xdr_pu_statements, &m));
}

/* Whether V can be a number of requests per second.  */
static bool
is_rate (double v)
{
  return isfinite (v) && v >= 0;
}

static void
on_stated (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  const pu_daemon_t *d = data;
  pu_statement_t list[PU_CONTROL_STATEMENTS_MAX];
  guint64 now = uv_now (d->loop);
  guint count = 0;
  pu_statements m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_statements, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  for (guint i = 0; i < m.statements.statements_len; i++)
    {
      const pu_stated *st = &m.statements.statements_val[i];

      if (!is_rate (st->rejections_per_s) || !is_rate (st->limit_per_s))
        continue;
      list[count++]
          = (pu_statement_t){ .server = st->backend,
                              .incarnation = st->incarnation,
                              .rejections_per_s = st->rejections_per_s,
                              .limit_per_s = st->limit_per_s,
                              .crowded_until
                              = st->crowded_ms > 0 ? now + st->crowded_ms : 0,
                              .stated_at = now - MIN (now, st->age_ms) };
    }
  if (d->entry != NULL)
    pu_entry_receive_statements (d->entry, list, count);
  xdr_free ((xdrproc_t)xdr_pu_statements, (char *)&m);
  pu_rpc_call_drop (call);
}

static void
on_withdrawn (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  const pu_daemon_t *d = data;
  pu_withdrawal m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_withdrawal, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  if (d->entry != NULL)
    pu_entry_receive_withdrawal (d->entry, m.id, m.model, m.life_ms);
  xdr_free ((xdrproc_t)xdr_pu_withdrawal, (char *)&m);
  pu_rpc_call_drop (call);
}

static void
take_loads (pu_entry_t *entry, const pu_loads *m)
{
  guint n = m->loads.loads_len;
  pu_entry_load_t *list = g_new0 (pu_entry_load_t, MAX (n, 1));

  for (guint i = 0; i < n; i++)
    {
      const pu_load *l = &m->loads.loads_val[i];

      list[i].id = l->id;
      list[i].seq = l->seq;
      list[i].running = l->running;
      list[i].waiting = l->waiting;
      list[i].age_ms = l->age_ms;
    }
  pu_entry_receive_loads (entry, list, n, m->life_ms);
  g_free (list);
}

static void
on_loads (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  pu_daemon_t *d = data;
  pu_loads m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_loads, &m, sizeof m, body, n, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  if (d->entry != NULL)
    take_loads (d->entry, &m);
  xdr_free ((xdrproc_t)xdr_pu_loads, (char *)&m);
  pu_rpc_call_drop (call);
}

void
pu_daemon_loads_listen (pu_daemon_t *d)
{
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_LOADS, on_loads, d);
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_WITHDRAW, on_withdrawn, d);
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_ACCUSE, on_accused, d);
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_STATEMENTS, on_stated, d);
}
