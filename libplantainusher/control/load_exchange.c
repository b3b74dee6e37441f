/* Statements of entries of the load that they have at engines, which any voter
   answers as a hub (routing/load_hub.h).  */

#include "control/control_private.h"

#define REFUSED_LOG_INTERVAL_MS 60000

static void
log_refused (pu_control_t *c, const pu_load_exchange_call *m, uint64_t now)
{
  if (c->load_refused_logged != 0
      && now - c->load_refused_logged < REFUSED_LOG_INTERVAL_MS)
    return;
  c->load_refused_logged = now;
  pu_log_warn (PU_CONTROL_PART,
               "A statement of load of %s about %u engines is refused: beyond "
               "the bounds.",
               m->entry, m->uses.uses_len);
}

static void
reply (pu_rpc_call_t *call, const pu_load_reply_t *r)
{
  guint n = MIN (r->totals->len, (guint)PU_CONTROL_LIST_MAX);
  pu_load_exchange_result m = { .kind = PU_OK,
                                .hub = r->hub,
                                .at = r->version,
                                .next_ms = r->next_ms,
                                .whole_wanted = r->whole_wanted,
                                .all = r->all };

  m.totals.totals_val = g_new0 (pu_load_total, MAX (n, 1));
  m.totals.totals_len = n;
  for (guint i = 0; i < n; i++)
    {
      const pu_load_total_t *t
          = &g_array_index (r->totals, pu_load_total_t, i);

      m.totals.totals_val[i]
          = (pu_load_total){ .id = t->id,
                             .running = t->running,
                             .prefilling = t->prefilling,
                             .streams = t->streams,
                             .prefill_tokens = t->prefill_tokens,
                             .slowness = t->slowness };
    }
  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_load_exchange_result, &m);
  g_free (m.totals.totals_val);
}

/* Returns the uses of M as an array of pu_load_use_t.  */
static pu_load_use_t *
read_uses (const pu_load_exchange_call *m)
{
  pu_load_use_t *uses = g_new0 (pu_load_use_t, MAX (m->uses.uses_len, 1));

  for (u_int i = 0; i < m->uses.uses_len; i++)
    {
      const pu_load_use *u = &m->uses.uses_val[i];

      uses[i] = (pu_load_use_t){ .id = u->id,
                                 .running = u->running,
                                 .prefilling = u->prefilling,
                                 .streams = u->streams,
                                 .prefill_tokens = u->prefill_tokens,
                                 .ratio_sum = u->ratio_sum,
                                 .ratio_count = u->ratio_count };
    }
  return uses;
}

static void
answer (pu_control_t *c, pu_rpc_call_t *call, const pu_load_exchange_call *m)
{
  pu_load_use_t *uses = read_uses (m);
  const pu_load_statement_t s = { .incarnation = m->incarnation,
                                  .seq = m->seq,
                                  .base = m->base,
                                  .uses = uses,
                                  .n = m->uses.uses_len };
  const pu_load_since_t since = { .hub = m->hub, .version = m->since };
  uint64_t now = pu_control_now (c);
  pu_load_exchange_result refused = { .kind = PU_ERROR_TOO_LARGE };
  pu_load_reply_t r = { 0 };

  r.totals = g_array_new (FALSE, FALSE, sizeof (pu_load_total_t));
  if (pu_load_hub_answer (c->load_hub, m->entry, &s, &since, now, &r))
    {
      reply (call, &r);
    }
  else
    {
      log_refused (c, m, now);
      pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_load_exchange_result,
                            &refused);
    }
  g_array_unref (r.totals);
  g_free (uses);
}

void
pu_control_on_load_exchange (void *data, pu_rpc_call_t *call,
                             const guint8 *body, size_t n)
{
  pu_control_t *c = data;
  pu_load_exchange_call m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_load_exchange_call, &m, sizeof m,
                        body, n, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  answer (c, call, &m);
  xdr_free ((xdrproc_t)xdr_pu_load_exchange_call, &m);
}

void
pu_control_load_exchange_init (pu_control_t *c)
{
  const pu_load_hub_options_t o
      = { .id = ((guint64)g_random_int () << 32 | g_random_int ()) | 1,
          .interval_ms = c->options.load_exchange_ms };

  c->load_hub = pu_load_hub_new (&o);
}
