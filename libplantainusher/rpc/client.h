#ifndef PU_RPC_CLIENT_H
#define PU_RPC_CLIENT_H

#include "rpc/rpc.h"

G_BEGIN_DECLS

/*
 * client - calls one peer over one connection that it keeps up.
 *
 * Calls are pipelined and may be answered in any order.  The connection is
 * made at the first call or by pu_rpc_client_connect, and made again with
 * jittered back-off.  A connection without a byte for `ping_ms` is pinged; one
 * without a byte for `silent_ms` after that is doubted: a fresh connection is
 * tried.  When that one works it takes over; else the peer counts as down.
 * In both cases the calls that were sent on the old one end with
 * PU_ERROR_TIMEOUT: their outcome is not known.
 */

typedef struct pu_rpc_client pu_rpc_client_t;

typedef struct
{
  uv_loop_t *loop;
  const char *address;     /* "host:port" of the peer, numeric */
  const char *source;      /* connects from the host of this "host:port"; NULL,
                              an unspecified host or one of another family:
                              the system's choice */
  const char *key;         /* peer key; not empty */
  pu_counters_t *counters; /* may be NULL */
  guint32 seed;            /* of the back-off's jitter */
  size_t max_record;       /* bytes of one record */
  size_t max_queue;        /* bytes unsent */
  guint max_calls;         /* unanswered */
  guint connect_ms;        /* TCP connection and handshake together */
  guint backoff_min_ms;
  guint backoff_max_ms;
  guint ping_ms;
  guint silent_ms;
  /* Told of each change: UP is true after a handshake.  May be NULL.  It must
     not free the client.  */
  void (*on_state) (void *data, bool up);
  void *data;
} pu_rpc_client_options_t;

/* The answer to a call.  E->kind is PU_OK with the reply's BODY, or:
   PU_ERROR_UNAVAILABLE - surely not run: never sent, or refused by the peer;
   PU_ERROR_TIMEOUT - sent, no answer in time or the connection went: outcome
   not known; PU_ERROR_DENIED - wrong key, not run; PU_ERROR_NOT_FOUND - no
   such procedure; PU_ERROR_INVALID - the body does not decode there;
   PU_ERROR_TOO_LARGE - over the record limit, not sent.  BODY is valid during
   the call-back only.  */
typedef void pu_rpc_answer_t (void *data, const guint8 *body, size_t n,
                              const pu_error_t *e);

/* pu_rpc_client_new - no connection yet.  Returns NULL with PU_ERROR_INVALID.
 */
pu_rpc_client_t *pu_rpc_client_new (const pu_rpc_client_options_t *o,
                                    pu_error_t *e);

/* pu_rpc_client_free - closes the connection; open calls end without their
   call-back.  May be called from an answer.  */
void pu_rpc_client_free (pu_rpc_client_t *c);

/* pu_rpc_client_connect - connects before the first call.  */
void pu_rpc_client_connect (pu_rpc_client_t *c);

/* pu_rpc_client_call - calls PROC with N bytes of XDR; FN is called exactly
   once, never from within this function, at the latest after TIMEOUT_MS.
   Returns a handle for pu_rpc_client_cancel.  */
guint32 pu_rpc_client_call (pu_rpc_client_t *c, guint32 program,
                            guint32 version, guint32 proc, const void *body,
                            size_t n, guint timeout_ms, pu_rpc_answer_t *fn,
                            void *data);

/* pu_rpc_client_cancel - FN of the call HANDLE will not be called.  */
void pu_rpc_client_cancel (pu_rpc_client_t *c, guint32 handle);

/* pu_rpc_client_send - one-way call.  Returns false and sends nothing without
   a connection, over the record limit or with a full queue.  */
bool pu_rpc_client_send (pu_rpc_client_t *c, guint32 program, guint32 version,
                         guint32 proc, const void *body, size_t n);

/* pu_rpc_client_up - true while there is a connection after its handshake.  */
bool pu_rpc_client_up (const pu_rpc_client_t *c);

/* pu_rpc_client_busy - true while a call waits for its answer.  */
bool pu_rpc_client_busy (const pu_rpc_client_t *c);

/* pu_rpc_client_address - "host:port" of the peer.  */
const char *pu_rpc_client_address (const pu_rpc_client_t *c);

G_END_DECLS

#endif
