#include "operator/mount.h"

/* A request on its way; outlives it when the caller goes first.  */
typedef struct
{
  pu_http_request_t *request; /* NULL when the caller has gone */
} mounted_t;

static void
on_gone (void *data)
{
  ((mounted_t *)data)->request = NULL;
}

static void
respond (const pu_operator_response_t *r, void *data)
{
  mounted_t *m = data;
  pu_http_header_t headers[PU_OPERATOR_HEADERS_MAX + 1];
  size_t n = 0;

  if (m->request != NULL)
    {
      headers[n].name = "Content-Type";
      headers[n++].value = r->content_type;
      for (size_t i = 0; i < r->n_headers; i++, n++)
        {
          headers[n].name = r->headers[i].name;
          headers[n].value = r->headers[i].value;
        }
      pu_http_respond (m->request, r->status, headers, n, r->body,
                       r->body_len);
    }
  g_free (m);
}

void
pu_operator_on_request (void *data, pu_http_request_t *r)
{
  static const pu_http_request_events_t events = { .on_gone = on_gone };
  pu_operator_request_t q = { 0 };
  mounted_t *m = g_new0 (mounted_t, 1);

  m->request = r;
  pu_http_request_watch (r, &events, m);
  q.method = pu_http_request_method (r);
  q.path = pu_http_request_path (r);
  q.query = pu_http_request_query (r);
  q.authorization = pu_http_request_header (r, "authorization");
  q.body = pu_http_request_body (r, &q.body_len);
  pu_operator_handle (data, &q, respond, m);
}
