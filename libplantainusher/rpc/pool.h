#ifndef PU_RPC_POOL_H
#define PU_RPC_POOL_H

#include "rpc/client.h"

G_BEGIN_DECLS

/*
 * pool - one client for each peer address, made when it is first asked for.
 */

typedef struct pu_rpc_pool pu_rpc_pool_t;

typedef struct
{
  pu_rpc_client_options_t client; /* address, on_state and data are unused */
  guint idle_ms;                  /* 60000: closed after that without a use */
} pu_rpc_pool_options_t;

pu_rpc_pool_t *pu_rpc_pool_new (const pu_rpc_pool_options_t *o);

/* pu_rpc_pool_free - frees all clients; open calls end without their
   call-back.  */
void pu_rpc_pool_free (pu_rpc_pool_t *p);

/* pu_rpc_pool_get - the client of ADDRESS, or NULL when that can't be read.
   Ask again for each call: it may be freed when it was not used for a time. */
pu_rpc_client_t *pu_rpc_pool_get (pu_rpc_pool_t *p, const char *address);

guint pu_rpc_pool_size (const pu_rpc_pool_t *p);

G_END_DECLS

#endif
