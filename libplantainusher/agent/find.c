#include "agent/agent_private.h"

#include "base/log.h"

/*
 * Who votes, from daemon to daemon.
 *
 * The addresses in the settings may be of daemons that do not vote, or no
 * longer: so every daemon that is asked tells the voters that it knows, and
 * learns them from who asks.  A daemon that no voter answers asks around; one
 * that votes also tells the addresses in its settings by itself, since others
 * may have nobody else to ask.
 */

enum
{
  TICK_MS = 250,     /* between two looks */
  TELL_MS = 2000,    /* between two times that a voter tells */
  ASK_MS = 500,      /* a daemon that answers does so in a few ms */
  MEMBERS_ASKED = 3, /* of the view, beside the settings' addresses */
};

static void
find_fill (const pu_agent_t *a, pu_find *m, pu_voter *voters)
{
  m->voters_at = a->voters_at;
  m->voters.voters_val = voters;
  for (guint i = 0; i < a->learnt->len && i < PU_CONTROL_VOTERS_MAX; i++)
    {
      voters[i].name = (char *)"";
      voters[i].address = a->learnt->pdata[i];
      m->voters.voters_len++;
    }
}

static GBytes *
find_encode (const pu_agent_t *a)
{
  pu_voter voters[PU_CONTROL_VOTERS_MAX];
  pu_find m = { 0 };

  find_fill (a, &m, voters);
  return pu_codec_encode ((xdrproc_t)xdr_pu_find, &m);
}

/* Takes what another daemon knows.  */
static bool
find_take (pu_agent_t *a, const guint8 *body, size_t n)
{
  pu_find m;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_find, &m, sizeof m, body, n, NULL))
    return false;
  if (pu_agent_voters_take (a, m.voters_at, m.voters.voters_val,
                            m.voters.voters_len))
    {
      pu_log_info (PU_AGENT_PART, "Heard of %u voters from another daemon.",
                   m.voters.voters_len);
    }
  xdr_free ((xdrproc_t)xdr_pu_find, (char *)&m);
  return true;
}

static void
on_asked (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n)
{
  pu_agent_t *a = data;
  GBytes *bytes;
  gsize size;
  gconstpointer answer;

  if (!find_take (a, body, n))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  bytes = find_encode (a);
  answer = g_bytes_get_data (bytes, &size);
  pu_rpc_call_reply (call, answer, size);
  g_bytes_unref (bytes);
}

static void
on_answered (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  if (e->kind == PU_OK)
    find_take (data, body, n);
}

static void
ask (pu_agent_t *a, const char *address)
{
  pu_rpc_client_t *client;
  GBytes *bytes;
  gsize size;
  gconstpointer body;

  if (strcmp (address, a->self->peer_address) == 0)
    return;
  client = pu_rpc_pool_get (a->peers, address);
  if (client == NULL)
    return;
  bytes = find_encode (a);
  body = g_bytes_get_data (bytes, &size);
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                      PU_CONTROL_FIND, body, size, ASK_MS, on_answered, a);
  g_bytes_unref (bytes);
}

static void
address_add (const pu_member_record *m, void *data)
{
  g_ptr_array_add (data, m->peer_address);
}

/* A few of the daemons that the view knows, drawn by lot.  */
static void
ask_members (pu_agent_t *a)
{
  GPtrArray *all = g_ptr_array_new ();

  pu_state_each_member (a->view, address_add, all);
  for (guint i = 0; i < MEMBERS_ASKED && all->len > 0; i++)
    {
      guint at = (guint)g_rand_int_range (a->rand, 0, (gint32)all->len);

      ask (a, all->pdata[at]);
      g_ptr_array_remove_index_fast (all, at);
    }
  g_ptr_array_free (all, TRUE);
}

static void
on_tick (uv_timer_t *t)
{
  pu_agent_t *a = t->data;
  uint64_t now = uv_now (a->options.loop);
  bool lost = !pu_agent_connected (a);
  uint64_t due = a->found_at + (lost ? ASK_MS : TELL_MS);

  if ((!lost && !a->options.votes) || now < due)
    return;
  a->found_at = now;
  for (guint i = 0; i < a->join->len; i++)
    ask (a, a->join->pdata[i]);
  if (lost)
    ask_members (a);
}

void
pu_agent_find_init (pu_agent_t *a)
{
  if (a->options.server == NULL)
    return;
  pu_rpc_server_add (a->options.server, PU_RPC_PROGRAM_CONTROL,
                     PU_CONTROL_VERSION, PU_CONTROL_FIND, on_asked, a);
  a->find_timer = pu_rpc_timer_new (a->options.loop, a);
  uv_timer_start (a->find_timer, on_tick, TICK_MS, TICK_MS);
}

void
pu_agent_find_clear (pu_agent_t *a)
{
  if (a->options.server == NULL)
    return;
  pu_rpc_server_remove (a->options.server, PU_RPC_PROGRAM_CONTROL,
                        PU_CONTROL_VERSION, PU_CONTROL_FIND);
  pu_rpc_timer_free (a->find_timer);
}
