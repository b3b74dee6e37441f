/* The entry's statements of its load to a voter, and the order of the voters
   (routing/load_hub.h).  */

#include "agent/agent_private.h"

#include <string.h>
#include <xxhash.h>

#define RANK_TEXT "load-exchange"

/* --- the order of the voters --- */

static uint64_t
rank_of (const char *address)
{
  char *text = g_strconcat (RANK_TEXT, address, NULL);
  uint64_t rank = XXH3_64bits (text, strlen (text));

  g_free (text);
  return rank;
}

static gint
compare_rank (gconstpointer a, gconstpointer b)
{
  uint64_t x = rank_of (*(char *const *)a);
  uint64_t y = rank_of (*(char *const *)b);

  return x == y ? 0 : x > y ? -1 : 1;
}

void
pu_agent_load_voters_set (pu_agent_t *a)
{
  g_ptr_array_set_size (a->load_voters, 0);
  for (guint i = 0; i < a->learnt->len; i++)
    g_ptr_array_add (a->load_voters, g_strdup (a->learnt->pdata[i]));
  g_ptr_array_sort (a->load_voters, compare_rank);
}

const char *const *
pu_agent_load_voters (const pu_agent_t *a, guint *n)
{
  *n = a->load_voters->len;
  return (const char *const *)a->load_voters->pdata;
}

/* --- calls --- */

typedef struct
{
  pu_agent_t *agent;
  GList node;        /* in agent->load_calls */
  uv_timer_t *timer; /* ends a call to an address that can't be read; NULL */
  gsize sent;        /* bytes */
  pu_agent_loads_fn *fn;
  void *data;
} call_t;

static void
call_end (call_t *call, const pu_load_reply_t *r, gsize bytes,
          const pu_error_t *e)
{
  pu_agent_loads_fn *fn = call->fn;
  void *data = call->data;

  g_queue_unlink (&call->agent->load_calls, &call->node);
  if (call->timer != NULL)
    pu_rpc_timer_free (call->timer);
  g_free (call);
  fn (data, r, bytes, e);
}

static void
call_answered (call_t *call, const pu_load_exchange_result *m, gsize bytes)
{
  pu_load_reply_t r = { .hub = m->hub,
                        .version = m->at,
                        .next_ms = m->next_ms,
                        .whole_wanted = m->whole_wanted,
                        .all = m->all };
  pu_error_t e = { .kind = PU_OK };

  r.totals = g_array_sized_new (FALSE, FALSE, sizeof (pu_load_total_t),
                                m->totals.totals_len);
  for (u_int i = 0; i < m->totals.totals_len; i++)
    {
      const pu_load_total *t = &m->totals.totals_val[i];
      pu_load_total_t one = { .id = t->id,
                              .running = t->running,
                              .prefilling = t->prefilling,
                              .streams = t->streams,
                              .prefill_tokens = t->prefill_tokens,
                              .slowness = t->slowness };

      g_array_append_val (r.totals, one);
    }
  if (m->kind != PU_OK)
    pu_error_set (&e, (pu_error_kind_t)m->kind, "The statement is refused.");
  call_end (call, m->kind == PU_OK ? &r : NULL, bytes, &e);
  g_array_unref (r.totals);
}

static void
on_answered (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  call_t *call = data;
  pu_load_exchange_result m;
  pu_error_t why = *e;

  if (e->kind == PU_OK
      && pu_codec_decode ((xdrproc_t)xdr_pu_load_exchange_result, &m, sizeof m,
                          body, n, &why))
    {
      call_answered (call, &m, call->sent + n);
      xdr_free ((xdrproc_t)xdr_pu_load_exchange_result, &m);
      return;
    }
  call_end (call, NULL, call->sent, &why);
}

static void
on_no_client (uv_timer_t *t)
{
  call_t *call = t->data;
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "The address cannot be read.");
  call_end (call, NULL, 0, &e);
}

static call_t *
call_new (pu_agent_t *a, pu_agent_loads_fn *fn, void *data)
{
  call_t *call = g_new0 (call_t, 1);

  call->agent = a;
  call->node.data = call;
  call->fn = fn;
  call->data = data;
  g_queue_push_tail_link (&a->load_calls, &call->node);
  return call;
}

static GBytes *
encode (const pu_agent_t *a, const pu_load_statement_t *s,
        const pu_load_since_t *since)
{
  pu_load_exchange_call m = { .entry = a->self->name,
                              .incarnation = s->incarnation,
                              .seq = s->seq,
                              .base = s->base,
                              .hub = since->hub,
                              .since = since->version };
  guint n = MIN (s->n, (guint)PU_CONTROL_LIST_MAX);
  GBytes *bytes;

  m.uses.uses_val = g_new0 (pu_load_use, MAX (n, 1));
  m.uses.uses_len = n;
  for (guint i = 0; i < n; i++)
    {
      const pu_load_use_t *u = &s->uses[i];

      m.uses.uses_val[i] = (pu_load_use){ .id = u->id,
                                          .running = u->running,
                                          .prefilling = u->prefilling,
                                          .streams = u->streams,
                                          .prefill_tokens = u->prefill_tokens,
                                          .ratio_sum = u->ratio_sum,
                                          .ratio_count = u->ratio_count };
    }
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_load_exchange_call, &m);
  g_free (m.uses.uses_val);
  return bytes;
}

void
pu_agent_exchange_loads (pu_agent_t *a, const char *voter,
                         const pu_load_statement_t *s,
                         const pu_load_since_t *since, guint timeout_ms,
                         pu_agent_loads_fn *fn, void *data)
{
  call_t *call = call_new (a, fn, data);
  pu_rpc_client_t *client = pu_rpc_pool_get (a->pool, voter);
  GBytes *bytes;
  gsize size;
  gconstpointer body;

  if (client == NULL)
    {
      call->timer = pu_rpc_timer_new (a->options.loop, call);
      uv_timer_start (call->timer, on_no_client, 0, 0);
      return;
    }
  bytes = encode (a, s, since);
  body = g_bytes_get_data (bytes, &size);
  call->sent = size;
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      PU_CONTROL_LOAD_EXCHANGE, body, size, timeout_ms,
                      on_answered, call);
  g_bytes_unref (bytes);
}

void
pu_agent_load_calls_clear (pu_agent_t *a)
{
  call_t *call;
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "The daemon stops.");
  while ((call = g_queue_peek_head (&a->load_calls)) != NULL)
    call_end (call, NULL, 0, &e);
}
