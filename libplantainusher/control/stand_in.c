/* Who grants allowances while the leader is silent.

   The voters agree on one without messages: the first by address that is not
   the last leader and has not just failed.  Two that disagree both grant, each
   to entries that it hears; routing/allowance_pool.h keeps that within the
   tolerance.  */

#include "control/control_private.h"

#include <string.h>

enum
{
  SILENT_HALF_HEARTBEATS = 5, /* until a leader is silent */
  /* The same where another voter says so by passing a question on: heartbeats
     reach voters at different times.  */
  TOLD_HALF_HEARTBEATS = 3,
  SILENT_MIN_MS = 100,
  HEARTBEAT_DEFAULT_MS = 100,
  LEVELS_MS = 250, /* between questions for the leader's levels */
  LEVELS_TIMEOUT_MS = 400,
  FAILED_MS = 3000, /* how long a voter that did not answer is passed over */
  LEFT_MIN_MS = 20, /* of a question's time, to ask another voter */
};

/* A question that waits for the answer of another voter.  */
typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call; /* NULL after it was answered or dropped */
  GBytes *body;
  char *address;
  bool to_leader;
  uint64_t end; /* ms */
} ask_t;

static void route (pu_control_t *c, pu_rpc_call_t *call, GBytes *body,
                   uint64_t end);

static void
ask_free (gpointer data)
{
  ask_t *ask = data;

  g_bytes_unref (ask->body);
  g_free (ask->address);
  g_free (ask);
}

void
pu_control_stand_in_init (pu_control_t *c)
{
  c->allowance_asks = g_hash_table_new_full (NULL, NULL, ask_free, NULL);
  c->stand_ins_failed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
pu_control_stand_in_drop (pu_control_t *c)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, c->allowance_asks);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      ask_t *ask = key;

      if (ask->call != NULL)
        pu_rpc_call_drop (ask->call);
      ask->call = NULL;
    }
}

void
pu_control_stand_in_clear (pu_control_t *c)
{
  g_hash_table_unref (c->allowance_asks);
  g_hash_table_unref (c->stand_ins_failed);
  g_free (c->leader_before);
}

/* --- who answers --- */

static bool
silent_for (pu_control_t *c, guint half_heartbeats)
{
  guint32 heartbeat_ms = c->options.heartbeat_ms > 0 ? c->options.heartbeat_ms
                                                     : HEARTBEAT_DEFAULT_MS;
  uint64_t bound = MAX (half_heartbeats * heartbeat_ms / 2, SILENT_MIN_MS);

  return pu_control_leader_address (c)[0] == '\0'
         || pu_group_leader_silent_ms (c->group) >= bound;
}

static bool
leader_silent (pu_control_t *c)
{
  return silent_for (c, SILENT_HALF_HEARTBEATS);
}

static bool
has_failed (const pu_control_t *c, const char *address, uint64_t now)
{
  const uint64_t *at = g_hash_table_lookup (c->stand_ins_failed, address);

  return at != NULL && now < *at + FAILED_MS;
}

static void
set_failed (pu_control_t *c, const char *address, uint64_t now)
{
  uint64_t *at = g_new (uint64_t, 1);

  *at = now;
  g_hash_table_replace (c->stand_ins_failed, g_strdup (address), at);
}

/* Returns the address of the voter that stands in for the leader, or NULL.  */
static const char *
stand_in_address (const pu_control_t *c, uint64_t now)
{
  const pu_log_config *config = pu_group_config (c->group);
  const char *first = NULL;

  for (u_int i = 0; i < config->members.members_len; i++)
    {
      const pu_log_member *m = &config->members.members_val[i];
      const char *address = m->peer.address;

      if (m->role != PU_LOG_VOTER || has_failed (c, address, now)
          || g_strcmp0 (address, c->leader_before) == 0)
        continue;
      if (first == NULL || strcmp (address, first) < 0)
        first = address;
    }
  return first;
}

/* --- questions of entries --- */

static void
answer_in_place (pu_control_t *c, pu_rpc_call_t *call,
                 const pu_allowance_call *q)
{
  bool asks_levels = q->entry[0] == '\0';

  if (!silent_for (c, TOLD_HALF_HEARTBEATS)
      || c->allowance_membership_version == 0
      || !pu_allowance_pool_has_teams (c->allowances)
      || (asks_levels && !pu_allowance_pool_stands_in (c->allowances)))
    {
      pu_control_allowances_fail (call, PU_ERROR_UNAVAILABLE,
                                  "This voter does not stand in.");
      return;
    }
  if (!pu_allowance_pool_stands_in (c->allowances))
    {
      pu_log_note (PU_CONTROL_PART,
                   "Grants allowances while the leader is silent.");
      c->stand_in_term = pu_group_term (c->group);
      pu_allowance_pool_stand_in (c->allowances, pu_control_now (c));
    }
  pu_control_allowances_answer (c, call, q);
}

static void
on_answered (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  ask_t *ask = data;
  pu_control_t *c = ask->control;
  uint64_t now = pu_control_now (c);

  g_hash_table_steal (c->allowance_asks, ask);
  if (e->kind != PU_OK && !ask->to_leader)
    set_failed (c, ask->address, now);
  if (ask->call == NULL)
    {
      /* It was dropped, or passed on to another voter.  */
    }
  else if (e->kind == PU_OK)
    {
      pu_rpc_call_reply (ask->call, body, n);
    }
  else if (now + LEFT_MIN_MS < ask->end
           && (!ask->to_leader || leader_silent (c)))
    {
      route (c, ask->call, ask->body, ask->end);
    }
  else
    {
      pu_control_allowances_fail (ask->call, PU_ERROR_UNAVAILABLE,
                                  "The leader cannot be reached.");
    }
  ask_free (ask);
}

static void
pass_on (pu_control_t *c, pu_rpc_call_t *call, GBytes *body,
         const char *address, uint64_t end)
{
  uint64_t now = pu_control_now (c);
  pu_rpc_client_t *client = pu_rpc_pool_get (c->pool, address);
  gsize size;
  gconstpointer data = g_bytes_get_data (body, &size);
  ask_t *ask;

  if (client == NULL)
    {
      pu_control_allowances_fail (call, PU_ERROR_UNAVAILABLE,
                                  "No leader is known.");
      return;
    }
  ask = g_new0 (ask_t, 1);
  ask->control = c;
  ask->call = call;
  ask->body = g_bytes_ref (body);
  ask->address = g_strdup (address);
  ask->to_leader = strcmp (address, pu_control_leader_address (c)) == 0;
  ask->end = end;
  g_hash_table_add (c->allowance_asks, ask);
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      PU_CONTROL_ALLOWANCE, data, size,
                      end > now ? (guint)(end - now) : 1, on_answered, ask);
}

static void
answer_body (pu_control_t *c, pu_rpc_call_t *call, GBytes *body)
{
  pu_allowance_call q;
  gsize size;
  gconstpointer data = g_bytes_get_data (body, &size);

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_allowance_call, &q, sizeof q, data,
                        size, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  answer_in_place (c, call, &q);
  xdr_free ((xdrproc_t)xdr_pu_allowance_call, &q);
}

static void
route (pu_control_t *c, pu_rpc_call_t *call, GBytes *body, uint64_t end)
{
  const char *address = pu_control_leader_address (c);

  if (leader_silent (c))
    address = stand_in_address (c, pu_control_now (c));
  if (address == NULL)
    {
      pu_control_allowances_fail (call, PU_ERROR_UNAVAILABLE,
                                  "No leader is known.");
    }
  else if (strcmp (address, c->address) == 0)
    {
      answer_body (c, call, body);
    }
  else
    {
      pass_on (c, call, body, address, end);
    }
}

void
pu_control_stand_in_route (pu_control_t *c, pu_rpc_call_t *call,
                           pu_allowance_call *q)
{
  GBytes *body;

  if (q->forwarded)
    {
      answer_in_place (c, call, q);
      return;
    }
  q->forwarded = TRUE;
  body = pu_codec_encode ((xdrproc_t)xdr_pu_allowance_call, q);
  route (c, call, body, pu_control_now (c) + q->timeout_ms);
  g_bytes_unref (body);
}

/* Passes the questions that wait for a silent leader on to the stand-in.  */
static void
reroute (pu_control_t *c)
{
  GList *asks = g_hash_table_get_keys (c->allowance_asks);

  for (const GList *l = asks; l != NULL; l = l->next)
    {
      ask_t *ask = l->data;
      pu_rpc_call_t *call = ask->call;

      if (call == NULL || !ask->to_leader)
        continue;
      ask->call = NULL;
      route (c, call, ask->body, ask->end);
    }
  g_list_free (asks);
}

/* --- the levels of the leader --- */

static void
take_levels (pu_control_t *c, const pu_allowance_result *r)
{
  GArray *levels = pu_allowance_grants_new ();

  for (u_int i = 0; r->kind == PU_OK && i < r->shares.shares_len; i++)
    {
      const pu_allowance_share *s = &r->shares.shares_val[i];
      pu_allowance_grant_t g = { .granted = s->granted };

      if (s->team[0] == '\0')
        continue;
      g.team = g_strdup (s->team);
      g_array_append_val (levels, g);
    }
  pu_allowance_pool_set_levels (c->allowances, levels, c->levels_at);
  g_array_unref (levels);
}

static void
on_levels (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_control_t *c = data;
  pu_allowance_result r;

  c->levels_open = false;
  if (e->kind != PU_OK
      || !pu_codec_decode ((xdrproc_t)xdr_pu_allowance_result, &r, sizeof r,
                           body, n, NULL))
    return;
  take_levels (c, &r);
  xdr_free ((xdrproc_t)xdr_pu_allowance_result, &r);
}

/* Returns the question for levels, which tells the leader what this voter
   granted in its term.  */
static GBytes *
levels_question (pu_control_t *c, bool tell)
{
  GArray *asks = pu_allowance_pool_stood_in (c->allowances);
  guint n = MIN (asks->len, (guint)PU_CONTROL_LIST_MAX);
  pu_allowance_call q = { .entry = (char *)"",
                          .forwarded = TRUE,
                          .timeout_ms = LEVELS_TIMEOUT_MS };
  GBytes *bytes;

  q.wants.wants_val = g_new0 (pu_allowance_want, MAX (n, 1));
  q.wants.wants_len = tell ? n : 0;
  for (guint i = 0; i < n; i++)
    {
      const pu_allowance_ask_t *ask
          = &g_array_index (asks, pu_allowance_ask_t, i);

      q.wants.wants_val[i].team = ask->team;
      q.wants.wants_val[i].overdrawn = ask->overdrawn;
    }
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_allowance_call, &q);
  g_free (q.wants.wants_val);
  g_array_unref (asks);
  return bytes;
}

static void
ask_levels (pu_control_t *c, const char *address, bool tell, uint64_t now)
{
  pu_rpc_client_t *client = pu_rpc_pool_get (c->pool, address);
  GBytes *bytes;
  gsize size;
  gconstpointer body;

  c->levels_at = now;
  if (client == NULL)
    return;
  bytes = levels_question (c, tell);
  body = g_bytes_get_data (bytes, &size);
  c->levels_open = true;
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      PU_CONTROL_ALLOWANCE, body, size, LEVELS_TIMEOUT_MS,
                      on_levels, c);
  g_bytes_unref (bytes);
}

static void
set_leader_before (pu_control_t *c)
{
  const char *leader = pu_control_leader_address (c);

  if (leader[0] == '\0' || g_strcmp0 (leader, c->leader_before) == 0)
    return;
  /* One that was replaced is likely frozen or down.  */
  if (c->leader_before != NULL)
    set_failed (c, c->leader_before, pu_control_now (c));
  g_free (c->leader_before);
  c->leader_before = g_strdup (leader);
}

void
pu_control_stand_in_tick (pu_control_t *c, uint64_t now)
{
  bool silent;
  const char *address;

  set_leader_before (c);
  if (c->leading || pu_group_is_leader (c->group))
    return;
  if (c->teams_tick != NULL)
    c->teams_tick (c->teams_tick_data, now);
  pu_control_allowances_tick (c, now);
  silent = leader_silent (c);
  if (silent)
    reroute (c);
  address = silent ? stand_in_address (c, now) : c->leader_before;
  if (!pu_allowance_pool_has_teams (c->allowances) || c->levels_open
      || now < c->levels_at + LEVELS_MS || address == NULL
      || strcmp (address, c->address) == 0)
    return;
  ask_levels (c, address,
              !silent && c->stand_in_term == pu_group_term (c->group), now);
  if (!silent)
    pu_allowance_pool_end_stand_in (c->allowances);
}
