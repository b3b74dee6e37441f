#include "agent/agent_private.h"

#include <string.h>

typedef struct
{
  pu_agent_t *agent;
  GList node; /* in agent->queries */
  pu_agent_json_fn *fn;
  void *data;
} query_t;

static void
query_end (query_t *q, json_t *result, const pu_error_t *e)
{
  pu_agent_json_fn *fn = q->fn;
  void *data = q->data;

  g_queue_unlink (&q->agent->queries, &q->node);
  g_free (q);
  fn (data, result, e);
}

static void
query_answered (query_t *q, const pu_query_reply *r)
{
  json_t *result = NULL;
  pu_error_t e = { .kind = PU_OK };

  if (r->kind != PU_OK)
    {
      pu_error_set (&e, (pu_error_kind_t)r->kind, "%s", r->message);
    }
  else
    {
      result = json_loads (r->json, 0, NULL);
    }
  if (result == NULL && e.kind == PU_OK)
    pu_error_set (&e, PU_ERROR_CORRUPT, "The answer is no JSON.");
  query_end (q, result, &e);
  json_decref (result);
}

static void
on_queried (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  query_t *q = data;
  pu_query_reply r;
  pu_error_t why = *e;

  if (e->kind == PU_OK
      && pu_codec_decode ((xdrproc_t)xdr_pu_query_reply, &r, sizeof r, body, n,
                          &why))
    {
      query_answered (q, &r);
      xdr_free ((xdrproc_t)xdr_pu_query_reply, &r);
      return;
    }
  query_end (q, NULL, &why);
}

static void
on_no_voter (uv_timer_t *t)
{
  query_t *q = t->data;
  pu_error_t e;

  pu_rpc_timer_free (t);
  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "No voter is known.");
  query_end (q, NULL, &e);
}

static void
query_send (pu_agent_t *a, pu_query *x, guint timeout_ms, pu_agent_json_fn *fn,
            void *data)
{
  query_t *q = g_new0 (query_t, 1);
  const char *voter = pu_agent_voter (a);
  pu_rpc_client_t *client
      = voter == NULL ? NULL : pu_rpc_pool_get (a->pool, voter);
  GBytes *bytes;
  gsize size;
  gconstpointer body;

  q->agent = a;
  q->node.data = q;
  q->fn = fn;
  q->data = data;
  g_queue_push_tail_link (&a->queries, &q->node);
  if (client == NULL)
    {
      uv_timer_start (pu_rpc_timer_new (a->options.loop, q), on_no_voter, 0,
                      0);
      return;
    }
  x->timeout_ms = timeout_ms;
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_query, x);
  body = g_bytes_get_data (bytes, &size);
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      PU_CONTROL_QUERY, body, size, timeout_ms, on_queried, q);
  g_bytes_unref (bytes);
}

void
pu_agent_status (pu_agent_t *a, guint timeout_ms, pu_agent_json_fn *fn,
                 void *data)
{
  pu_query x
      = { .kind = PU_QUERY_STATUS, .action = "", .name = "", .other = "" };

  query_send (a, &x, timeout_ms, fn, data);
}

void
pu_agent_history (pu_agent_t *a, guint timeout_ms, pu_agent_json_fn *fn,
                  void *data)
{
  pu_query x
      = { .kind = PU_QUERY_HISTORY, .action = "", .name = "", .other = "" };

  query_send (a, &x, timeout_ms, fn, data);
}

void
pu_agent_want (pu_agent_t *a, const char *model, guint timeout_ms,
               pu_agent_json_fn *fn, void *data)
{
  pu_query x = {
    .kind = PU_QUERY_WANT, .action = "", .name = (char *)model, .other = ""
  };

  query_send (a, &x, timeout_ms, fn, data);
}

void
pu_agent_request_grant (pu_agent_t *a, const pu_grant_request_t *q,
                        guint timeout_ms, pu_agent_json_fn *fn, void *data)
{
  char *incarnation = g_strdup_printf ("%" G_GUINT64_FORMAT, q->incarnation);
  char *terms = pu_grant_terms_write (q);
  pu_query x = { .kind = PU_QUERY_GRANT,
                 .action = incarnation,
                 .name = (char *)q->server,
                 .other = terms };

  query_send (a, &x, timeout_ms, fn, data);
  g_free (terms);
  g_free (incarnation);
}

void
pu_agent_report_refusal (pu_agent_t *a, const char *backend,
                         uint64_t incarnation, guint timeout_ms,
                         pu_agent_json_fn *fn, void *data)
{
  char *number = g_strdup_printf ("%" G_GUINT64_FORMAT, incarnation);
  pu_query x = { .kind = PU_QUERY_REFUSAL,
                 .action = number,
                 .name = (char *)backend,
                 .other = (char *)a->self->name };

  query_send (a, &x, timeout_ms, fn, data);
  g_free (number);
}

void
pu_agent_voters (pu_agent_t *a, const char *action, const char *name,
                 const char *other, guint timeout_ms, pu_agent_json_fn *fn,
                 void *data)
{
  pu_query x = { .kind = PU_QUERY_VOTERS,
                 .action = (char *)action,
                 .name = (char *)name,
                 .other = (char *)other };

  query_send (a, &x, timeout_ms, fn, data);
}

void
pu_agent_queries_clear (pu_agent_t *a)
{
  query_t *q;
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "The daemon stops.");
  while ((q = g_queue_peek_head (&a->queries)) != NULL)
    {
      query_end (q, NULL, &e);
    }
}
