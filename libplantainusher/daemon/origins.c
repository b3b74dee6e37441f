/* The software versions that began streams, from entry to entry.  */

#include "base/log.h"
#include "control/generated/control_msg.h"
#include "daemon/parts.h"
#include "rpc/rpc.h"
#include "state/codec.h"

enum
{
  TELL_TIMEOUT_MS = 2000,
};

void
pu_daemon_peer_call (pu_daemon_t *d, const char *address, guint32 proc,
                     xdrproc_t type, const void *m, guint timeout_ms,
                     pu_rpc_answer_t *fn)
{
  pu_rpc_client_t *peer = pu_agent_peer (d->agent, address);
  GBytes *bytes;

  if (peer == NULL)
    return;
  bytes = pu_codec_encode (type, m);
  pu_rpc_client_call (peer, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, proc,
                      g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes),
                      timeout_ms, fn, d);
  g_bytes_unref (bytes);
}

/* --- telling --- */

static void
on_told (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  (void)data;
  (void)body;
  (void)n;
  /* An entry of an earlier release has no such procedure.  */
  if (e->kind != PU_OK && e->kind != PU_ERROR_NOT_FOUND)
    {
      pu_log_debug ("origins", "Origins of streams were not sent: %s",
                    e->message);
    }
}

void
pu_daemon_origins_tell (void *daemon, const char *address,
                        const pu_entry_origin_t *origins, guint n)
{
  for (guint sent = 0; sent < n;)
    {
      guint part = MIN (n - sent, PU_CONTROL_LIST_MAX);
      pu_origin_record *list = g_new0 (pu_origin_record, part);
      pu_origin_list m = { .origins = { part, list } };

      for (guint i = 0; i < part; i++)
        {
          list[i].key = origins[sent + i].key;
          list[i].software = origins[sent + i].software;
          list[i].life_ms = origins[sent + i].life_ms;
        }
      pu_daemon_peer_call (daemon, address, PU_CONTROL_ORIGINS,
                           (xdrproc_t)xdr_pu_origin_list, &m, TELL_TIMEOUT_MS,
                           on_told);
      g_free (list);
      sent += part;
    }
}

static void
on_origins (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  pu_daemon_t *d = data;
  pu_origin_list m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_origin_list, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  for (guint i = 0; d->entry != NULL && i < m.origins.origins_len; i++)
    {
      const pu_origin_record *r = &m.origins.origins_val[i];
      const pu_entry_origin_t one = { r->key, r->software, r->life_ms };

      pu_entry_receive_origins (d->entry, &one, 1);
    }
  xdr_free ((xdrproc_t)xdr_pu_origin_list, (char *)&m);
  pu_rpc_call_reply (call, "", 0);
}

/* --- keeping --- */

void
pu_daemon_origins_keep (void *daemon, const pu_entry_origin_t *origins,
                        guint n)
{
  const pu_daemon_t *d = daemon;

  for (guint i = 0; d->origin_file != NULL && i < n; i++)
    {
      pu_origin_file_add (d->origin_file, origins[i].key, origins[i].software,
                          origins[i].life_ms);
    }
}

static void
on_loaded (guint64 key, const char *version, guint life_ms, void *data)
{
  const pu_daemon_t *d = data;
  const pu_entry_origin_t one = { key, (char *)version, life_ms };

  pu_entry_load_origin (d->entry, &one);
}

void
pu_daemon_origins_load (pu_daemon_t *d)
{
  const pu_origin_file_options_t o = {
    .loop = d->loop,
    .folder = d->settings->data_folder,
    .counters = d->counters,
    .loaded = on_loaded,
    .data = d,
  };

  d->origin_file = pu_origin_file_new (&o);
}

/* --- asking --- */

static void
on_answer (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_daemon_t *d = data;
  pu_origin_reply m;

  if (e->kind != PU_OK || d->entry == NULL
      || !pu_codec_decode ((xdrproc_t)xdr_pu_origin_reply, &m, sizeof m, body,
                           n, NULL))
    return;
  pu_entry_receive_origin (d->entry, m.key, m.known ? m.software : NULL);
  xdr_free ((xdrproc_t)xdr_pu_origin_reply, (char *)&m);
}

void
pu_daemon_origin_ask (void *daemon, const char *address, guint64 key,
                      guint timeout_ms)
{
  pu_origin_query m = { key };

  pu_daemon_peer_call (daemon, address, PU_CONTROL_FIND_ORIGIN,
                       (xdrproc_t)xdr_pu_origin_query, &m, timeout_ms,
                       on_answer);
}

static void
on_query (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  const pu_daemon_t *d = data;
  pu_origin_query m;
  pu_origin_reply reply = { 0 };
  const char *software;
  GBytes *bytes;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_origin_query, &m, sizeof m, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  software = d->entry != NULL ? pu_entry_find_origin (d->entry, m.key) : NULL;
  reply.key = m.key;
  reply.known = software != NULL;
  reply.software = (char *)(software != NULL ? software : "");
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_origin_reply, &reply);
  pu_rpc_call_reply (call, g_bytes_get_data (bytes, NULL),
                     g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
}

void
pu_daemon_origins_listen (pu_daemon_t *d)
{
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_ORIGINS, on_origins, d);
  pu_rpc_server_add (d->peers, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                     PU_CONTROL_FIND_ORIGIN, on_query, d);
}
