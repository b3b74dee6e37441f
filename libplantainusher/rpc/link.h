#ifndef PU_RPC_LINK_H
#define PU_RPC_LINK_H

#include "rpc/message.h"
#include "rpc/rpc.h"

G_BEGIN_DECLS

/*
 * link - one TCP connection that carries records; inner part of the slice.
 *
 * A link frees itself after pu_rpc_link_close or after `on_closed`, which is
 * called once when the connection ends by itself; the owner then forgets it.
 */

typedef struct pu_rpc_link pu_rpc_link_t;

typedef struct
{
  /* Gets each message; false says that it makes no sense here.  */
  bool (*on_message) (void *data, const pu_rpc_message_t *m);
  void (*on_closed) (void *data, const pu_error_t *e);
  void *data;
} pu_rpc_link_events_t;

/* Counters of a server or client, with their handles.  */
typedef struct
{
  pu_counters_t *table; /* NULL: nothing is counted */
  pu_counter_t bytes_in;
  pu_counter_t bytes_out;
  pu_counter_t messages_in;
  pu_counter_t messages_out;
  pu_counter_t malformed;
  pu_counter_t denied;
  pu_counter_t overrun;
  pu_counter_t abandoned;
  guint64 last_log; /* of a malformed record */
} pu_rpc_counters_t;

void pu_rpc_counters_init (pu_rpc_counters_t *c, pu_counters_t *table);
void pu_rpc_counters_add (const pu_rpc_counters_t *c, pu_counter_t h,
                          gint64 n);

typedef struct
{
  uv_loop_t *loop;
  pu_rpc_counters_t *counters; /* kept; used while the link is open */
  size_t max_record;
  size_t max_queue;
} pu_rpc_link_options_t;

/* pu_rpc_link_accept - takes the next connection of LISTENER; NULL when there
   is none.  */
pu_rpc_link_t *pu_rpc_link_accept (const pu_rpc_link_options_t *o,
                                   uv_stream_t *listener);

/* pu_rpc_link_connect - connects to TO, from the host of FROM if that is one
   of TO's family and not the unspecified one; ON_CONNECTED gets the status,
   with an error instead of on_closed.  */
pu_rpc_link_t *pu_rpc_link_connect (const pu_rpc_link_options_t *o,
                                    const struct sockaddr_storage *to,
                                    const struct sockaddr_storage *from,
                                    void (*on_connected) (void *data),
                                    const pu_rpc_link_events_t *events);

void pu_rpc_link_set_events (pu_rpc_link_t *l,
                             const pu_rpc_link_events_t *events);
void pu_rpc_link_set_max_record (pu_rpc_link_t *l, size_t max_record);

/* pu_rpc_link_send - queues RECORD, which it takes over.  False: the queue is
   full and nothing was sent.  */
bool pu_rpc_link_send (pu_rpc_link_t *l, GByteArray *record);

/* pu_rpc_link_close - closes without on_closed, unsent records included.  */
void pu_rpc_link_close (pu_rpc_link_t *l);

/* pu_rpc_link_finish - the same after what is queued is sent.  */
void pu_rpc_link_finish (pu_rpc_link_t *l);

/* pu_rpc_link_last_in - loop time (ms) of the last byte received.  */
guint64 pu_rpc_link_last_in (const pu_rpc_link_t *l);

/* The handshake's proofs, see rpc.h.  */
#define PU_RPC_NONCE_SIZE 16
#define PU_RPC_PROOF_SIZE 32

typedef struct
{
  guint8 client[PU_RPC_NONCE_SIZE];
  guint8 server[PU_RPC_NONCE_SIZE];
} pu_rpc_nonces_t;

/* pu_rpc_nonce - PU_RPC_NONCE_SIZE random bytes; false when there are none. */
bool pu_rpc_nonce (guint8 *out);

/* pu_rpc_proof - HMAC-SHA-256 by KEY over ROLE and the nonces.  */
void pu_rpc_proof (const char *key, const char *role,
                   const pu_rpc_nonces_t *nonces,
                   guint8 out[PU_RPC_PROOF_SIZE]);

/* pu_rpc_proof_equal - compares in constant time.  */
bool pu_rpc_proof_equal (const guint8 *a, const guint8 *b, size_t n);

G_END_DECLS

#endif
