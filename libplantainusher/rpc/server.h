#ifndef PU_RPC_SERVER_H
#define PU_RPC_SERVER_H

#include "rpc/rpc.h"

G_BEGIN_DECLS

/*
 * server - answers ONC RPC calls on one listening address.
 *
 * A handler gets the bytes of the call's body and a pu_rpc_call_t that it
 * answers at once or later; each call is answered exactly once by one of
 * pu_rpc_call_reply, _refuse, _garbage or _drop, also after its connection has
 * gone.  All calls must be answered before the server is freed, or are
 * answered into nothing after.
 */

typedef struct pu_rpc_server pu_rpc_server_t;
typedef struct pu_rpc_call pu_rpc_call_t;

typedef struct
{
  uv_loop_t *loop;
  const char *address;     /* "host:port"; port 0 takes a free one */
  const char *key;         /* peer key; not empty */
  pu_counters_t *counters; /* may be NULL */
  size_t max_record;       /* bytes of one record, of authenticated peers */
  size_t max_queue;        /* bytes unsent on one connection */
  guint max_calls;         /* unanswered on one connection */
  guint max_connections;
  guint idle_ms; /* a connection without a byte is closed */
} pu_rpc_server_options_t;

typedef void pu_rpc_handler_t (void *data, pu_rpc_call_t *call,
                               const guint8 *body, size_t n);

/* pu_rpc_server_new - listens.  Returns NULL with PU_ERROR_INVALID for an
   option or PU_ERROR_IO when the address can't be had.  */
pu_rpc_server_t *pu_rpc_server_new (const pu_rpc_server_options_t *o,
                                    pu_error_t *e);

/* pu_rpc_server_free - closes the listener and all connections.  The loop has
   to run once more to release the handles.  */
void pu_rpc_server_free (pu_rpc_server_t *s);

/* pu_rpc_server_add - HANDLER answers PROC of PROGRAM at VERSION.  */
void pu_rpc_server_add (pu_rpc_server_t *s, guint32 program, guint32 version,
                        guint32 proc, pu_rpc_handler_t *handler, void *data);

/* pu_rpc_server_remove - takes the handler away; calls get PU_ERROR_NOT_FOUND
   from then on.  */
void pu_rpc_server_remove (pu_rpc_server_t *s, guint32 program,
                           guint32 version, guint32 proc);

/* pu_rpc_server_port - the port that it listens on.  */
guint16 pu_rpc_server_port (const pu_rpc_server_t *s);

/* pu_rpc_server_connections - open connections.  */
guint pu_rpc_server_connections (const pu_rpc_server_t *s);

/* pu_rpc_call_reply - answers CALL with N bytes of XDR and frees it.  */
void pu_rpc_call_reply (pu_rpc_call_t *call, const void *body, size_t n);

/* pu_rpc_call_refuse - says that the call was not run (the client gets
   PU_ERROR_UNAVAILABLE) and frees it.  */
void pu_rpc_call_refuse (pu_rpc_call_t *call);

/* pu_rpc_call_garbage - the body does not decode (PU_ERROR_INVALID).  */
void pu_rpc_call_garbage (pu_rpc_call_t *call);

/* pu_rpc_call_drop - frees CALL without an answer, for one-way calls.  */
void pu_rpc_call_drop (pu_rpc_call_t *call);

/* pu_rpc_call_on_close - FN is called once if the connection goes before the
   answer; CALL is still to be answered or dropped, there or later.  */
void pu_rpc_call_on_close (pu_rpc_call_t *call,
                           void (*fn) (void *data, pu_rpc_call_t *call),
                           void *data);

G_END_DECLS

#endif
