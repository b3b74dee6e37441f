#include "agent/agent_private.h"

#include <string.h>

#include "base/log.h"

#define POLL_WAIT_MS 2000
#define ATTEMPT_MS 2000
#define HOME_MS 30000
#define KEEP_MS 5000
#define TRUST_MS 3000
/* Load reports are worth nothing after 5 s, and nobody waits for an answer: a
   silent connection may be found later than one to a voter.  */
#define PEER_PING_MS 5000

void
pu_agent_options_init (pu_agent_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->poll_wait_ms = POLL_WAIT_MS;
  o->connect_ms = PU_RPC_CONNECT_MS;
  o->attempt_ms = ATTEMPT_MS;
  o->home_ms = HOME_MS;
  o->keep_ms = KEEP_MS;
  o->trust_ms = TRUST_MS;
  pu_state_options_init (&o->state);
}

static bool
addresses_check (const pu_agent_options_t *o, pu_error_t *e)
{
  struct sockaddr_storage at;

  if (o->key == NULL || o->key[0] == '\0')
    return pu_error_set (e, PU_ERROR_INVALID, "The peer key is empty.");
  for (size_t i = 0; i < o->n_join; i++)
    {
      if (!pu_rpc_address_parse (o->join[i], &at, e))
        return false;
    }
  return true;
}

/* on_trust - no voter has answered: the kept image must do.  */
static void
on_trust (uv_timer_t *t)
{
  pu_agent_t *a = t->data;

  if (a->confirmed)
    return;
  pu_log_note (PU_AGENT_PART, "No voter answers; serves the kept image.");
  a->confirmed = true;
  pu_agent_tell (a);
}

static void
kept_load (pu_agent_t *a)
{
  pu_kept_t kept;
  pu_error_t e;
  gsize size;
  gconstpointer data;

  if (!pu_keep_load (a->keep, &kept, &e))
    {
      if (e.kind == PU_ERROR_CORRUPT)
        pu_log_warn (PU_AGENT_PART, "%s", e.message);
      return;
    }
  data = g_bytes_get_data (kept.image, &size);
  if (pu_state_decode (a->view, data, size, &e))
    {
      a->ready = true;
      a->may_show = true;
      a->cluster = kept.cluster;
      uv_timer_start (a->trust_timer, on_trust, a->options.trust_ms, 0);
      pu_log_info (PU_AGENT_PART,
                   "Starts from the kept image at %" G_GUINT64_FORMAT ".",
                   pu_state_position (a->view));
    }
  else
    {
      pu_log_warn (PU_AGENT_PART, "The kept image is not used: %s", e.message);
    }
  g_bytes_unref (kept.image);
}

/* PING_MS: see pu_rpc_client_options_t; 0 is the default.  */
static pu_rpc_pool_t *
pool_new (const pu_agent_options_t *o, guint ping_ms)
{
  pu_rpc_pool_options_t p = { .client = { .loop = o->loop,
                                          .source = o->source,
                                          .ping_ms = ping_ms,
                                          .key = o->key,
                                          .counters = o->counters,
                                          .seed = o->seed,
                                          .connect_ms = o->connect_ms } };

  return pu_rpc_pool_new (&p);
}

pu_agent_t *
pu_agent_new (const pu_agent_options_t *o, pu_error_t *e)
{
  pu_agent_t *a;

  if (!addresses_check (o, e))
    return NULL;
  a = g_new0 (pu_agent_t, 1);
  a->options = *o;
  a->self = pu_codec_clone ((xdrproc_t)xdr_pu_member_record, o->self,
                            sizeof *o->self);
  a->view = pu_state_new (&o->state);
  a->pool = pool_new (o, 0);
  a->peers = pool_new (o, PEER_PING_MS);
  a->rand = g_rand_new_with_seed (o->seed);
  /* Above those of an earlier process under the same incarnation.  */
  a->next_seq = (uint64_t)g_get_real_time ();
  g_queue_init (&a->proposals);
  g_queue_init (&a->queries);
  g_queue_init (&a->allowance_calls);
  g_queue_init (&a->load_calls);
  pu_agent_voters_init (a);
  a->trust_timer = pu_rpc_timer_new (o->loop, a);
  a->keep_timer = pu_rpc_timer_new (o->loop, a);
  if (o->folder != NULL)
    {
      a->keep = pu_keep_new (o->loop, o->folder);
      kept_load (a);
    }
  pu_agent_poll_init (a);
  pu_agent_find_init (a);
  return a;
}

void
pu_agent_free (pu_agent_t *a)
{
  if (a == NULL)
    return;
  a->closing = true;
  pu_agent_proposals_clear (a);
  pu_agent_queries_clear (a);
  pu_agent_allowances_clear (a);
  pu_agent_load_calls_clear (a);
  pu_agent_find_clear (a);
  pu_agent_poll_clear (a);
  pu_agent_fetch_clear (a);
  pu_rpc_timer_free (a->trust_timer);
  pu_rpc_timer_free (a->keep_timer);
  pu_rpc_pool_free (a->pool);
  pu_rpc_pool_free (a->peers);
  pu_agent_voters_clear (a);
  pu_agent_hold_clear (a);
  pu_keep_free (a->keep);
  pu_state_free (a->view);
  pu_codec_free ((xdrproc_t)xdr_pu_member_record, a->self);
  g_rand_free (a->rand);
  g_free (a);
}

const pu_state_t *
pu_agent_view (const pu_agent_t *a)
{
  return a->view;
}

bool
pu_agent_has_view (const pu_agent_t *a)
{
  return a->ready;
}

bool
pu_agent_ready (const pu_agent_t *a)
{
  return a->ready && a->confirmed;
}

uint64_t
pu_agent_incarnation (const pu_agent_t *a)
{
  return a->self->incarnation;
}

bool
pu_agent_joined (const pu_agent_t *a)
{
  return a->joined;
}

uint64_t
pu_agent_silent_ms (const pu_agent_t *a)
{
  if (a->answered_at == 0)
    return G_MAXUINT64;
  return uv_now (a->options.loop) - a->answered_at;
}

bool
pu_agent_caught_up (const pu_agent_t *a)
{
  return a->caught_up;
}

bool
pu_agent_may_show (const pu_agent_t *a)
{
  return a->ready && a->may_show;
}

uint64_t
pu_agent_view_age_ms (const pu_agent_t *a)
{
  if (a->current_at == 0)
    return G_MAXUINT64;
  return uv_now (a->options.loop) - a->current_at;
}

const char *
pu_agent_leader (const pu_agent_t *a)
{
  return a->leader;
}

const char *
pu_agent_polled_voter (const pu_agent_t *a)
{
  const char *voter = pu_agent_voter (a);

  return voter != NULL ? voter : "";
}

bool
pu_agent_connected (const pu_agent_t *a)
{
  return a->failures == 0 && a->leaderless == 0 && a->leader[0] != '\0';
}

pu_rpc_client_t *
pu_agent_peer (pu_agent_t *a, const char *address)
{
  return pu_rpc_pool_get (a->peers, address);
}

json_t *
pu_agent_dump (const pu_agent_t *a)
{
  json_t *voters = json_array ();
  const char *voter = pu_agent_voter (a);

  for (guint i = 0; i < a->ranked->len; i++)
    json_array_append_new (voters, json_string (a->ranked->pdata[i]));
  return json_pack (
      "{s:s, s:I, s:I, s:b, s:b, s:b, s:b, s:s, s:s, s:o, s:I, s:I, s:I, s:I}",
      "name", a->self->name, "incarnation", (json_int_t)a->self->incarnation,
      "position", (json_int_t)pu_state_position (a->view), "ready",
      pu_agent_ready (a), "joined", a->joined, "connected",
      pu_agent_connected (a), "leaving", (int)a->self->leaving, "leader",
      a->leader, "voter", voter == NULL ? "" : voter, "voters", voters,
      "failures", (json_int_t)a->failures, "proposals",
      (json_int_t)a->proposals.length, "renewals",
      (json_int_t)g_hash_table_size (a->renewals), "peers",
      (json_int_t)pu_rpc_pool_size (a->peers));
}
