/* Questions of entries for units of teams' allowances, which the leader
   answers (routing/allowance_pool.h).  */

#include "control/control_private.h"

#include <string.h>

void
pu_control_allowances_fail (pu_rpc_call_t *call, pu_error_kind_t kind,
                            const char *message)
{
  pu_allowance_result r = { .kind = kind, .message = (char *)message };

  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_allowance_result, &r);
}

/* W belongs to the last one of ASKS.  */
static void
add_refused (GArray *asks, const pu_allowance_want *w)
{
  if (asks->len == 0)
    return;
  g_array_index (asks, pu_allowance_ask_t, asks->len - 1).refused = w->wanted;
}

/* Returns the asks of Q, whose names are copied.  */
static GArray *
read_asks (const pu_allowance_call *q)
{
  GArray *asks = pu_allowance_asks_new ();

  for (u_int i = 0; i < q->wants.wants_len; i++)
    {
      const pu_allowance_want *w = &q->wants.wants_val[i];
      pu_allowance_ask_t ask = { .wanted = w->wanted,
                                 .first = w->first,
                                 .stock = w->stock,
                                 .returned = w->returned,
                                 .overdrawn = w->overdrawn };

      if (w->team[0] == '\0')
        {
          add_refused (asks, w);
          continue;
        }
      ask.team = g_strdup (w->team);
      g_array_append_val (asks, ask);
    }
  return asks;
}

static void
answer_grants (pu_rpc_call_t *call, const GArray *grants)
{
  guint n = MIN (grants->len, (guint)PU_CONTROL_LIST_MAX);
  pu_allowance_share *shares = g_new0 (pu_allowance_share, 2 * MAX (n, 1));
  guint len = 0;
  pu_allowance_result r = { .kind = PU_OK, .message = "" };

  for (guint i = 0; i < n; i++)
    {
      const pu_allowance_grant_t *g
          = &g_array_index (grants, pu_allowance_grant_t, i);

      shares[len++] = (pu_allowance_share){ .team = g->team,
                                            .granted = g->granted,
                                            .next_ms = g->next_ms };
      /* With room for the teams that follow.  */
      if (g->wait_ms > 0 && len + (n - i - 1) < PU_CONTROL_LIST_MAX)
        {
          shares[len++] = (pu_allowance_share){ .team = (char *)"",
                                                .granted = g->left_per_s,
                                                .next_ms = g->wait_ms };
        }
    }
  r.shares.shares_val = shares;
  r.shares.shares_len = len;
  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_allowance_result, &r);
  g_free (shares);
}

void
pu_control_allowances_answer (pu_control_t *c, pu_rpc_call_t *call,
                              const pu_allowance_call *q)
{
  uint64_t now = pu_control_now (c);
  GArray *asks = read_asks (q);
  GArray *grants
      = pu_allowance_pool_answer (c->allowances, q->entry, asks, now);

  /* Another voter, which may have to stand in, asks for the levels.  */
  if (q->entry[0] == '\0')
    {
      g_array_unref (grants);
      grants = pu_allowance_pool_levels (c->allowances, now);
    }
  answer_grants (call, grants);
  g_array_unref (grants);
  g_array_unref (asks);
}

void
pu_control_on_allowance (void *data, pu_rpc_call_t *call, const guint8 *body,
                         size_t n)
{
  pu_control_t *c = data;
  pu_allowance_call q;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_allowance_call, &q, sizeof q, body,
                        n, NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  /* Without the lease another voter may lead and grant the same units.  */
  if (pu_control_is_leader (c))
    {
      pu_control_allowances_answer (c, call, &q);
    }
  else if (!pu_group_is_leader (c->group))
    {
      pu_control_stand_in_route (c, call, &q);
    }
  else
    {
      pu_control_allowances_fail (call, PU_ERROR_UNAVAILABLE,
                                  "No leader is known.");
    }
  xdr_free ((xdrproc_t)xdr_pu_allowance_call, &q);
}

/* --- the entries that may ask --- */

static void
append_entry (const pu_member_record *m, void *data)
{
  GPtrArray *names = data;

  if (m->caller_address[0] != '\0')
    g_ptr_array_add (names, m->name);
}

static void
set_entries (pu_control_t *c, uint64_t now)
{
  GPtrArray *names = g_ptr_array_new ();

  pu_state_each_member (c->state, append_entry, names);
  pu_allowance_pool_set_entries (
      c->allowances, (const char *const *)names->pdata, names->len, now);
  c->allowance_membership_version = pu_state_membership_version (c->state);
  g_ptr_array_free (names, TRUE);
}

void
pu_control_allowances_begin (pu_control_t *c, uint64_t now)
{
  set_entries (c, now);
  pu_allowance_pool_restart (c->allowances, now);
}

void
pu_control_allowances_tick (pu_control_t *c, uint64_t now)
{
  if (c->allowance_membership_version
      != pu_state_membership_version (c->state))
    set_entries (c, now);
}
