#include "http/server_private.h"

#include <string.h>

typedef struct
{
  h2o_filter_t super;
  pu_http_server_t *server;
} refusal_filter_t;

typedef struct
{
  h2o_ostream_t super;
  pu_http_server_t *server;
  bool sent;
} refusal_stream_t;

/* Sends our body in place of h2o's.  */
static void
body_send (h2o_ostream_t *o, h2o_req_t *req, h2o_iovec_t *bufs, size_t n,
           h2o_send_state_t state)
{
  refusal_stream_t *st = (refusal_stream_t *)o;
  h2o_iovec_t body;

  (void)bufs;
  (void)n;
  if (st->sent)
    {
      h2o_ostream_send_next (o, req, NULL, 0, state);
      return;
    }
  st->sent = true;
  body = h2o_iovec_init (st->server->refusal_body,
                         strlen (st->server->refusal_body));
  h2o_ostream_send_next (o, req, &body, 1, state);
}

static void
stream_setup (h2o_filter_t *f, h2o_req_t *req, h2o_ostream_t **slot)
{
  pu_http_server_t *s = ((refusal_filter_t *)f)->server;
  refusal_stream_t *st
      = (refusal_stream_t *)h2o_add_ostream (req, sizeof *st, slot);

  st->super.do_send = body_send;
  st->server = s;
  st->sent = false;
  req->res.content_length = strlen (s->refusal_body);
  h2o_set_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                  H2O_STRLIT ("application/json"), 1);
  h2o_add_header_by_str (&req->pool, &req->res.headers, s->refusal_header,
                         strlen (s->refusal_header), 1, NULL, s->refusal_value,
                         strlen (s->refusal_value));
}

void
pu_refusal_add (pu_http_server_t *s, h2o_hostconf_t *host)
{
  refusal_filter_t *f;

  if (s->refusal_body == NULL)
    return;
  f = (refusal_filter_t *)h2o_create_filter (&host->fallback_path, sizeof *f);
  f->super.on_setup_ostream = stream_setup;
  f->server = s;
}
