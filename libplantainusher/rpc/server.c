#include "rpc/server.h"

#include <netinet/in.h>
#include <string.h>

#include "base/log.h"
#include "rpc/link.h"

#define PART "rpc"
/* All daemons of a deployment may connect at the same moment.  */
#define BACKLOG PU_RPC_MAX_CONNECTIONS

/* Before the handshake a peer may send this much and take this long.  */
#define GREETING_RECORD_MAX 1024
#define GREETING_MS 5000
#define SWEEP_MS 1000

typedef enum
{
  CONN_NEW,
  CONN_GREETED,
  CONN_PROVED
} conn_phase_t;

typedef struct
{
  pu_rpc_server_t *server;
  pu_rpc_link_t *link;
  conn_phase_t phase;
  guint64 opened;
  pu_rpc_nonces_t nonces;
  GQueue calls; /* unanswered */
} conn_t;

struct pu_rpc_call
{
  conn_t *conn; /* NULL once it has gone */
  guint32 xid;
  GList node; /* in conn->calls */
  void (*on_close) (void *data, pu_rpc_call_t *call);
  void *data;
};

typedef struct
{
  guint32 program;
  guint32 version;
  guint32 proc;
  pu_rpc_handler_t *handler;
  void *data;
} route_t;

struct pu_rpc_server
{
  pu_rpc_server_options_t options;
  char *key;
  pu_rpc_counters_t counters;
  uv_tcp_t *listener;
  uv_timer_t *sweep;
  GHashTable *conns; /* set of conn_t */
  GArray *routes;    /* route_t */
  guint16 port;
};

/* conn_release - tells the calls that the connection has gone, and frees it;
   its link is closed already.  */
static void
conn_release (conn_t *conn)
{
  GList *node;

  while ((node = g_queue_pop_head_link (&conn->calls)) != NULL)
    {
      pu_rpc_call_t *call = node->data;

      call->conn = NULL;
      if (call->on_close != NULL)
        call->on_close (call->data, call);
    }
  g_free (conn);
}

static void
conn_close (conn_t *conn)
{
  g_hash_table_remove (conn->server->conns, conn);
  pu_rpc_link_close (conn->link);
  conn_release (conn);
}

static void
conn_on_closed (void *data, const pu_error_t *e)
{
  conn_t *conn = data;

  pu_log_debug (PART, "A peer's connection closed: %s", e->message);
  g_hash_table_remove (conn->server->conns, conn);
  conn_release (conn);
}

static void
conn_send (conn_t *conn, const pu_rpc_message_t *m)
{
  if (!pu_rpc_link_send (conn->link, pu_rpc_message_encode_reply (m)))
    conn_close (conn);
}

static void
conn_deny (conn_t *conn, guint32 xid)
{
  pu_rpc_server_t *s = conn->server;
  pu_rpc_message_t m = { .xid = xid, .reply = true, .kind = PU_ERROR_DENIED };

  pu_rpc_counters_add (&s->counters, s->counters.denied, 1);
  pu_rpc_link_send (conn->link, pu_rpc_message_encode_reply (&m));
  g_hash_table_remove (s->conns, conn);
  pu_rpc_link_finish (conn->link);
  conn_release (conn);
}

static bool
conn_hello (conn_t *conn, const pu_rpc_message_t *m)
{
  pu_rpc_message_t reply
      = { .xid = m->xid,
          .reply = true,
          .flavor = PU_RPC_AUTH_FLAVOR,
          .auth_size = PU_RPC_NONCE_SIZE + PU_RPC_PROOF_SIZE };

  if (m->auth_size != PU_RPC_NONCE_SIZE || !pu_rpc_nonce (conn->nonces.server))
    return false;
  memcpy (conn->nonces.client, m->auth, PU_RPC_NONCE_SIZE);
  memcpy (reply.auth, conn->nonces.server, PU_RPC_NONCE_SIZE);
  pu_rpc_proof (conn->server->key, "server", &conn->nonces,
                reply.auth + PU_RPC_NONCE_SIZE);
  conn->phase = CONN_GREETED;
  conn_send (conn, &reply);
  return true;
}

static bool
conn_prove (conn_t *conn, const pu_rpc_message_t *m)
{
  pu_rpc_message_t reply = { .xid = m->xid, .reply = true };
  guint8 proof[PU_RPC_PROOF_SIZE];

  pu_rpc_proof (conn->server->key, "client", &conn->nonces, proof);
  if (m->auth_size != sizeof proof
      || !pu_rpc_proof_equal (proof, m->auth, sizeof proof))
    {
      conn_deny (conn, m->xid);
      return true;
    }
  conn->phase = CONN_PROVED;
  pu_rpc_link_set_max_record (conn->link, conn->server->options.max_record);
  conn_send (conn, &reply);
  return true;
}

/* conn_greet - a message before the handshake is complete.  */
static bool
conn_greet (conn_t *conn, const pu_rpc_message_t *m)
{
  bool ours = m->program == PU_RPC_PROGRAM_LINK
              && m->version == PU_RPC_LINK_VERSION
              && m->flavor == PU_RPC_AUTH_FLAVOR;

  if (ours && conn->phase == CONN_NEW && m->proc == PU_RPC_LINK_HELLO)
    return conn_hello (conn, m);
  if (ours && conn->phase == CONN_GREETED && m->proc == PU_RPC_LINK_PROVE)
    return conn_prove (conn, m);
  conn_deny (conn, m->xid);
  return true;
}

static const route_t *
route_find (const pu_rpc_server_t *s, guint32 program, guint32 version,
            guint32 proc)
{
  for (guint i = 0; i < s->routes->len; i++)
    {
      const route_t *r = &g_array_index (s->routes, route_t, i);

      if (r->program == program && r->version == version && r->proc == proc)
        return r;
    }
  return NULL;
}

static pu_error_kind_t
conn_check (const conn_t *conn, const route_t *route)
{
  if (route == NULL)
    return PU_ERROR_NOT_FOUND;
  if (conn->calls.length >= conn->server->options.max_calls)
    return PU_ERROR_UNAVAILABLE;
  return PU_OK;
}

static bool
conn_on_message (void *data, const pu_rpc_message_t *m)
{
  conn_t *conn = data;
  const route_t *route;
  pu_rpc_call_t *call;
  pu_rpc_message_t reply = { .xid = m->xid, .reply = true };

  if (m->reply)
    return false;
  if (conn->phase != CONN_PROVED)
    return conn_greet (conn, m);
  if (m->program == PU_RPC_PROGRAM_LINK && m->proc == PU_RPC_LINK_PING)
    {
      conn_send (conn, &reply);
      return true;
    }
  route = route_find (conn->server, m->program, m->version, m->proc);
  reply.kind = conn_check (conn, route);
  if (reply.kind != PU_OK || route == NULL)
    {
      conn_send (conn, &reply);
      return true;
    }
  call = g_new0 (pu_rpc_call_t, 1);
  call->conn = conn;
  call->xid = m->xid;
  call->node.data = call;
  g_queue_push_tail_link (&conn->calls, &call->node);
  route->handler (route->data, call, m->body, m->body_size);
  return true;
}

static void
call_free (pu_rpc_call_t *call)
{
  if (call->conn != NULL)
    g_queue_unlink (&call->conn->calls, &call->node);
  g_free (call);
}

static void
call_answer (pu_rpc_call_t *call, const pu_rpc_message_t *m)
{
  conn_t *conn = call->conn;

  call_free (call);
  if (conn != NULL)
    conn_send (conn, m);
}

void
pu_rpc_call_reply (pu_rpc_call_t *call, const void *body, size_t n)
{
  pu_rpc_message_t m
      = { .xid = call->xid, .reply = true, .body = body, .body_size = n };

  if (call->conn != NULL && n > call->conn->server->options.max_record)
    {
      pu_log_warn (PART, "An answer of %zu bytes is over the limit.", n);
      pu_rpc_call_refuse (call);
      return;
    }
  call_answer (call, &m);
}

void
pu_rpc_call_refuse (pu_rpc_call_t *call)
{
  pu_rpc_message_t m
      = { .xid = call->xid, .reply = true, .kind = PU_ERROR_UNAVAILABLE };

  call_answer (call, &m);
}

void
pu_rpc_call_garbage (pu_rpc_call_t *call)
{
  pu_rpc_message_t m
      = { .xid = call->xid, .reply = true, .kind = PU_ERROR_INVALID };

  call_answer (call, &m);
}

void
pu_rpc_call_drop (pu_rpc_call_t *call)
{
  call_free (call);
}

void
pu_rpc_call_on_close (pu_rpc_call_t *call,
                      void (*fn) (void *data, pu_rpc_call_t *call), void *data)
{
  call->on_close = fn;
  call->data = data;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  pu_rpc_server_t *s = listener->data;
  pu_rpc_link_options_t o = { .loop = s->options.loop,
                              .counters = &s->counters,
                              .max_record = GREETING_RECORD_MAX,
                              .max_queue = s->options.max_queue };
  pu_rpc_link_events_t events
      = { .on_message = conn_on_message, .on_closed = conn_on_closed };
  pu_rpc_link_t *link;
  conn_t *conn;

  if (status != 0)
    return;
  link = pu_rpc_link_accept (&o, listener);
  if (link == NULL)
    return;
  if (g_hash_table_size (s->conns) >= s->options.max_connections)
    {
      pu_rpc_link_close (link);
      return;
    }
  conn = g_new0 (conn_t, 1);
  conn->server = s;
  conn->link = link;
  conn->opened = uv_now (s->options.loop);
  g_queue_init (&conn->calls);
  events.data = conn;
  pu_rpc_link_set_events (link, &events);
  g_hash_table_add (s->conns, conn);
}

static bool
conn_is_stale (const conn_t *conn, guint64 now)
{
  if (conn->phase != CONN_PROVED)
    return now - conn->opened >= GREETING_MS;
  return now - pu_rpc_link_last_in (conn->link)
         >= conn->server->options.idle_ms;
}

static void
on_sweep (uv_timer_t *t)
{
  pu_rpc_server_t *s = t->data;
  guint64 now = uv_now (s->options.loop);
  GList *conns = g_hash_table_get_keys (s->conns);

  /* Closing one can close another through a call's on_close.  */
  for (GList *i = conns; i != NULL; i = i->next)
    {
      if (g_hash_table_contains (s->conns, i->data)
          && conn_is_stale (i->data, now))
        conn_close (i->data);
    }
  g_list_free (conns);
}

static void
listener_released (uv_handle_t *h)
{
  g_free (h);
}

static bool
server_listen (pu_rpc_server_t *s, const struct sockaddr_storage *at,
               pu_error_t *e)
{
  struct sockaddr_storage name;
  int size = sizeof name;
  int status;

  status = uv_tcp_bind (s->listener, (const struct sockaddr *)at, 0);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)s->listener, BACKLOG, on_connection);
  if (status == 0)
    status = uv_tcp_getsockname (s->listener, (struct sockaddr *)&name, &size);
  if (status != 0)
    {
      return pu_error_set (e, PU_ERROR_IO, "Cannot listen on %s: %s.",
                           s->options.address, uv_strerror (status));
    }
  s->port = g_ntohs (name.ss_family == AF_INET6
                         ? ((struct sockaddr_in6 *)&name)->sin6_port
                         : ((struct sockaddr_in *)&name)->sin_port);
  return true;
}

static void
options_fill (pu_rpc_server_options_t *o)
{
  o->max_record = o->max_record != 0 ? o->max_record : PU_RPC_MAX_RECORD;
  o->max_queue = o->max_queue != 0 ? o->max_queue : PU_RPC_MAX_QUEUE;
  o->max_calls = o->max_calls != 0 ? o->max_calls : PU_RPC_MAX_CALLS;
  o->max_connections
      = o->max_connections != 0 ? o->max_connections : PU_RPC_MAX_CONNECTIONS;
  o->idle_ms = o->idle_ms != 0 ? o->idle_ms : PU_RPC_IDLE_MS;
}

pu_rpc_server_t *
pu_rpc_server_new (const pu_rpc_server_options_t *o, pu_error_t *e)
{
  struct sockaddr_storage at;
  pu_rpc_server_t *s;

  if (o->key == NULL || o->key[0] == '\0')
    {
      pu_error_set (e, PU_ERROR_INVALID, "The peer key is empty.");
      return NULL;
    }
  if (!pu_rpc_address_parse (o->address, &at, e))
    return NULL;
  s = g_new0 (pu_rpc_server_t, 1);
  s->options = *o;
  options_fill (&s->options);
  s->key = g_strdup (o->key);
  pu_rpc_counters_init (&s->counters, o->counters);
  s->conns = g_hash_table_new (NULL, NULL);
  s->routes = g_array_new (FALSE, FALSE, sizeof (route_t));
  s->listener = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (o->loop, s->listener);
  s->listener->data = s;
  s->sweep = pu_rpc_timer_new (o->loop, s);
  uv_timer_start (s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  if (!server_listen (s, &at, e))
    {
      pu_rpc_server_free (s);
      return NULL;
    }
  s->options.address = NULL;
  return s;
}

void
pu_rpc_server_free (pu_rpc_server_t *s)
{
  GHashTableIter iter;
  gpointer conn;

  if (s == NULL)
    return;
  uv_close ((uv_handle_t *)s->listener, listener_released);
  pu_rpc_timer_free (s->sweep);
  g_hash_table_iter_init (&iter, s->conns);
  while (g_hash_table_iter_next (&iter, &conn, NULL))
    {
      g_hash_table_iter_remove (&iter);
      pu_rpc_link_close (((conn_t *)conn)->link);
      conn_release (conn);
      g_hash_table_iter_init (&iter, s->conns);
    }
  g_hash_table_unref (s->conns);
  g_array_unref (s->routes);
  g_free (s->key);
  g_free (s);
}

void
pu_rpc_server_add (pu_rpc_server_t *s, guint32 program, guint32 version,
                   guint32 proc, pu_rpc_handler_t *handler, void *data)
{
  route_t r = { program, version, proc, handler, data };

  g_array_append_val (s->routes, r);
}

void
pu_rpc_server_remove (pu_rpc_server_t *s, guint32 program, guint32 version,
                      guint32 proc)
{
  const route_t *r = route_find (s, program, version, proc);

  if (r != NULL)
    {
      g_array_remove_index_fast (
          s->routes, (guint)(r - (const route_t *)(void *)s->routes->data));
    }
}

guint16
pu_rpc_server_port (const pu_rpc_server_t *s)
{
  return s->port;
}

guint
pu_rpc_server_connections (const pu_rpc_server_t *s)
{
  return g_hash_table_size (s->conns);
}
