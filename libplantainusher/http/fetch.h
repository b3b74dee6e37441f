#ifndef PU_HTTP_FETCH_H
#define PU_HTTP_FETCH_H

#include "http/client.h"

G_BEGIN_DECLS

/*
 * fetch - an exchange whose answer is gathered whole, for small answers.
 */

typedef struct pu_http_fetch pu_http_fetch_t;

typedef struct
{
  pu_http_result_t result; /* PU_HTTP_END_TOO_LARGE: also a body over MAX */
  const pu_http_response_t *response; /* NULL when there was no head */
  const char *body;                   /* ends in NUL */
  gsize body_len;                     /* bytes */
} pu_http_fetched_t;

typedef void (*pu_http_fetch_cb) (void *data, const pu_http_fetched_t *f);

/* pu_http_fetch - begins the exchange O (its events and data are not looked
   at) and calls CB once, with at most MAX bytes of body.  A body that takes
   longer than four times progress_timeout_ms ends as
   PU_HTTP_END_PROGRESS_TIMEOUT, however its bytes come.  NULL and E as
   pu_http_client_start.  The handle serves pu_http_fetch_cancel until CB is
   called; most callers drop it.  */
pu_http_fetch_t *pu_http_fetch (pu_http_client_t *c,
                                const pu_http_call_options_t *o, gsize max,
                                pu_http_fetch_cb cb, void *data,
                                pu_error_t *e);
void pu_http_fetch_cancel (pu_http_fetch_t *f);

/* pu_http_fetched_in_order - whether F is an answer that has ended in order.
   One without a length may lack a part of its body all the same, so that
   whoever reads the body must be able to tell.  */
bool pu_http_fetched_in_order (const pu_http_fetched_t *f);

G_END_DECLS

#endif
