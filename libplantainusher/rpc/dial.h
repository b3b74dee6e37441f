#ifndef PU_RPC_DIAL_H
#define PU_RPC_DIAL_H

#include "rpc/link.h"

G_BEGIN_DECLS

/*
 * dial - one try to connect to a peer, handshake included; inner part.
 */

typedef struct pu_rpc_dial pu_rpc_dial_t;

typedef struct
{
  pu_rpc_link_options_t link;
  struct sockaddr_storage to;
  struct sockaddr_storage from; /* its host is the source; zeroed: any */
  const char *key;              /* must outlive the dial */
  guint timeout_ms;
  /* The end: LINK after a good handshake (its events are the caller's to set
     now), or NULL with why.  The dial is freed after it.  */
  void (*on_done) (void *data, pu_rpc_dial_t *d, pu_rpc_link_t *link,
                   const pu_error_t *e);
  void *data;
} pu_rpc_dial_options_t;

/* pu_rpc_dial_new - starts; on_done is never called from within.  */
pu_rpc_dial_t *pu_rpc_dial_new (const pu_rpc_dial_options_t *o);

/* pu_rpc_dial_free - gives up; on_done is not called.  */
void pu_rpc_dial_free (pu_rpc_dial_t *d);

G_END_DECLS

#endif
