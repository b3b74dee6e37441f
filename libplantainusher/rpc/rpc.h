#ifndef PU_RPC_RPC_H
#define PU_RPC_RPC_H

#include <glib.h>
#include <uv.h>

#include "base/counters.h"
#include "base/error.h"

G_BEGIN_DECLS

/*
 * rpc - what the server and the client of ONC RPC over TCP share.
 *
 * Each connection begins with a handshake in the link program: HELLO carries
 * the client's nonce, its answer the server's nonce and a proof of the peer
 * key (HMAC-SHA-256 over both nonces), PROVE the client's proof.  The key
 * itself never travels, and neither side serves the other before it.
 */

/* Program numbers, from the range that is free for users.  */
#define PU_RPC_PROGRAM_LINK 0x20706c00
#define PU_RPC_PROGRAM_CONTROL 0x20706c01

/* Procedures of the link program, version 1.  */
#define PU_RPC_LINK_VERSION 1
#define PU_RPC_LINK_PING 0
#define PU_RPC_LINK_HELLO 1
#define PU_RPC_LINK_PROVE 2

/* Defaults of the options; 0 in an option means the default.  */
#define PU_RPC_MAX_RECORD ((size_t)32 << 20)
#define PU_RPC_MAX_QUEUE ((size_t)64 << 20)
#define PU_RPC_MAX_CALLS 4096
#define PU_RPC_MAX_CONNECTIONS 1024
#define PU_RPC_CONNECT_MS 1000
#define PU_RPC_BACKOFF_MIN_MS 50
#define PU_RPC_BACKOFF_MAX_MS 2000
#define PU_RPC_PING_MS 1000
#define PU_RPC_SILENT_MS 2000
#define PU_RPC_IDLE_MS 30000

/* pu_rpc_address_parse - reads "host:port" with a numeric host (IPv4, or IPv6
   in brackets) into OUT.  Returns false with PU_ERROR_INVALID.  */
bool pu_rpc_address_parse (const char *address, struct sockaddr_storage *out,
                           pu_error_t *e);

/* pu_rpc_timer_new - a timer with DATA; pu_rpc_timer_free stops it at once and
   frees it on the loop's next turn.  */
uv_timer_t *pu_rpc_timer_new (uv_loop_t *loop, void *data);
void pu_rpc_timer_free (uv_timer_t *t);

G_END_DECLS

#endif
