/* Questions to the leader, by way of the voter that is polled, for units of
   teams' allowances.  When that voter does not answer soon, which may be the
   leader itself, another one is asked as well, and for some seconds first.  */

#include "agent/agent_private.h"

#include <string.h>

enum
{
  SECOND_MS = 150, /* after which another voter is asked */
  AVOIDED_MS = 3000,
  LEGS = 2,
};

typedef struct call call_t;

/* A call of one voter.  */
typedef struct
{
  call_t *call;
  char *voter;
  guint32 handle; /* 0: not open */
} leg_t;

struct call
{
  pu_agent_t *agent;
  GList node;        /* in agent->allowance_calls */
  uv_timer_t *timer; /* ends a question that no voter can be asked, or begins
                        the second leg */
  leg_t legs[LEGS];
  GBytes *second; /* the question of the second leg, or NULL */
  uint64_t end;   /* loop time */
  pu_agent_grants_fn *fn;
  void *data;
};

static void
leg_end (leg_t *leg)
{
  pu_rpc_client_t *client = NULL;

  if (leg->handle != 0)
    client = pu_rpc_pool_get (leg->call->agent->pool, leg->voter);
  if (client != NULL)
    pu_rpc_client_cancel (client, leg->handle);
  g_free (leg->voter);
}

static void
call_end (call_t *call, const GArray *grants, const pu_error_t *e)
{
  pu_agent_grants_fn *fn = call->fn;
  void *data = call->data;

  g_queue_unlink (&call->agent->allowance_calls, &call->node);
  for (guint i = 0; i < LEGS; i++)
    leg_end (&call->legs[i]);
  pu_rpc_timer_free (call->timer);
  if (call->second != NULL)
    g_bytes_unref (call->second);
  g_free (call);
  fn (data, grants, e);
}

/* S belongs to the last one of GRANTS.  */
static void
add_turns (GArray *grants, const pu_allowance_share *s)
{
  pu_allowance_grant_t *g;

  if (grants->len == 0)
    return;
  g = &g_array_index (grants, pu_allowance_grant_t, grants->len - 1);
  g->wait_ms = s->next_ms;
  g->left_per_s = s->granted;
}

static void
call_answered (call_t *call, const pu_allowance_result *r)
{
  GArray *grants = pu_allowance_grants_new ();
  pu_error_t e = { .kind = PU_OK };

  for (u_int i = 0; i < r->shares.shares_len; i++)
    {
      const pu_allowance_share *s = &r->shares.shares_val[i];
      pu_allowance_grant_t grant
          = { .granted = s->granted, .next_ms = s->next_ms };

      if (s->team[0] == '\0')
        {
          add_turns (grants, s);
          continue;
        }
      grant.team = g_strdup (s->team);
      g_array_append_val (grants, grant);
    }
  if (r->kind != PU_OK)
    pu_error_set (&e, (pu_error_kind_t)r->kind, "%s", r->message);
  call_end (call, r->kind == PU_OK ? grants : NULL, &e);
  g_array_unref (grants);
}

/* The voter that is polled did not answer in time, but another one did.  */
static void
avoid_first (const call_t *call)
{
  pu_agent_t *a = call->agent;

  g_free (a->allowance_avoided);
  a->allowance_avoided = g_strdup (call->legs[0].voter);
  a->allowance_avoided_at = uv_now (a->options.loop);
}

static void
on_answered (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  leg_t *leg = data;
  call_t *call = leg->call;
  leg_t *first = &call->legs[0];
  leg_t *other = leg == first ? &call->legs[1] : first;
  pu_allowance_result r;
  pu_error_t why = *e;
  bool decoded = e->kind == PU_OK
                 && pu_codec_decode ((xdrproc_t)xdr_pu_allowance_result, &r,
                                     sizeof r, body, n, &why);

  leg->handle = 0;
  if (decoded && r.kind == PU_OK && leg != first)
    avoid_first (call);
  if (other->handle != 0 && (!decoded || r.kind != PU_OK))
    {
      /* The other leg may be answered.  */
    }
  else if (decoded)
    {
      call_answered (call, &r);
    }
  else
    {
      call_end (call, NULL, &why);
    }
  if (decoded)
    xdr_free ((xdrproc_t)xdr_pu_allowance_result, &r);
}

static void
on_no_voter (uv_timer_t *t)
{
  call_t *call = t->data;
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "No voter is known.");
  call_end (call, NULL, &e);
}

/* Appends what was refused of the last team in Q, if the list has room for it
   and for N more teams.  */
static void
append_refused (pu_allowance_call *q, guint64 refused, guint n)
{
  pu_allowance_want *w;

  if (refused == 0 || q->wants.wants_len + n >= PU_CONTROL_LIST_MAX)
    return;
  w = &q->wants.wants_val[q->wants.wants_len++];
  w->team = (char *)"";
  w->wanted = refused;
}

/* Returns the question with ASKS, whose names it borrows.  Free the wants.  */
static pu_allowance_call
call_record (const pu_agent_t *a, const GArray *asks, guint timeout_ms)
{
  guint n = MIN (asks->len, (guint)PU_CONTROL_LIST_MAX);
  pu_allowance_call q = { .entry = a->self->name, .timeout_ms = timeout_ms };

  q.wants.wants_val = g_new0 (pu_allowance_want, 2 * MAX (n, 1));
  for (guint i = 0; i < n; i++)
    {
      const pu_allowance_ask_t *ask
          = &g_array_index (asks, pu_allowance_ask_t, i);
      pu_allowance_want *w = &q.wants.wants_val[q.wants.wants_len++];

      w->team = ask->team;
      w->wanted = ask->wanted;
      w->first = ask->first;
      w->stock = ask->stock;
      w->returned = ask->returned;
      w->overdrawn = ask->overdrawn;
      append_refused (&q, ask->refused, n - i - 1);
    }
  return q;
}

/* Returns the question of the second leg: the leader may get both, and units
   that are returned twice would be granted twice.  */
static GBytes *
second_record (const pu_allowance_call *q)
{
  for (u_int i = 0; i < q->wants.wants_len; i++)
    q->wants.wants_val[i].returned = 0;
  return pu_codec_encode ((xdrproc_t)xdr_pu_allowance_call, q);
}

static bool
is_avoided (const pu_agent_t *a, const char *voter)
{
  return g_strcmp0 (voter, a->allowance_avoided) == 0
         && uv_now (a->options.loop) < a->allowance_avoided_at + AVOIDED_MS;
}

/* Returns a voter other than VOTER, or NULL.  */
static const char *
other_voter (const pu_agent_t *a, const char *voter)
{
  for (guint i = 0; i < a->ranked->len; i++)
    {
      const char *other = a->ranked->pdata[(a->at + i) % a->ranked->len];

      if (strcmp (other, voter) != 0)
        return other;
    }
  return NULL;
}

static bool
leg_begin (call_t *call, leg_t *leg, const char *voter, GBytes *question)
{
  pu_agent_t *a = call->agent;
  pu_rpc_client_t *client
      = voter == NULL ? NULL : pu_rpc_pool_get (a->pool, voter);
  uint64_t now = uv_now (a->options.loop);
  gsize size;
  gconstpointer body = g_bytes_get_data (question, &size);

  if (client == NULL)
    return false;
  leg->voter = g_strdup (voter);
  leg->handle = pu_rpc_client_call (
      client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, PU_CONTROL_ALLOWANCE,
      body, size, call->end > now ? (guint)(call->end - now) : 1, on_answered,
      leg);
  return true;
}

static void
on_second (uv_timer_t *t)
{
  call_t *call = t->data;

  leg_begin (call, &call->legs[1],
             other_voter (call->agent, call->legs[0].voter), call->second);
}

static call_t *
call_new (pu_agent_t *a, pu_agent_grants_fn *fn, void *data)
{
  call_t *call = g_new0 (call_t, 1);

  call->agent = a;
  call->node.data = call;
  call->timer = pu_rpc_timer_new (a->options.loop, call);
  for (guint i = 0; i < LEGS; i++)
    call->legs[i].call = call;
  call->fn = fn;
  call->data = data;
  g_queue_push_tail_link (&a->allowance_calls, &call->node);
  return call;
}

void
pu_agent_ask_allowance (pu_agent_t *a, const GArray *asks, guint timeout_ms,
                        pu_agent_grants_fn *fn, void *data)
{
  call_t *call = call_new (a, fn, data);
  const char *voter = pu_agent_voter (a);
  const char *other = voter == NULL ? NULL : other_voter (a, voter);
  pu_allowance_call q = call_record (a, asks, timeout_ms);
  GBytes *question = pu_codec_encode ((xdrproc_t)xdr_pu_allowance_call, &q);

  call->end = uv_now (a->options.loop) + timeout_ms;
  if (other != NULL && is_avoided (a, voter))
    voter = other;
  if (!leg_begin (call, &call->legs[0], voter, question))
    {
      uv_timer_start (call->timer, on_no_voter, 0, 0);
    }
  else if (other != NULL && timeout_ms > SECOND_MS)
    {
      q.timeout_ms = timeout_ms - SECOND_MS;
      call->second = second_record (&q);
      uv_timer_start (call->timer, on_second, SECOND_MS, 0);
    }
  g_bytes_unref (question);
  g_free (q.wants.wants_val);
}

void
pu_agent_allowances_clear (pu_agent_t *a)
{
  call_t *call;
  pu_error_t e;

  pu_error_set (&e, PU_ERROR_UNAVAILABLE, "The daemon stops.");
  while ((call = g_queue_peek_head (&a->allowance_calls)) != NULL)
    call_end (call, NULL, &e);
  g_clear_pointer (&a->allowance_avoided, g_free);
}
