#include "agent/agent_private.h"

#include "base/log.h"

/* A poll's answer may come this much after its wait.  */
#define ANSWER_MS 1000

/* For the answer of a voter that is asked for news at once.  The leases of
   backend servers that report here end while it is awaited in vain.  */
#define ANSWER_AT_ONCE_MS 600

/* Pauses after polls that failed: they double up to the most, and up to the
   wait of a poll, so that daemons whose polls all fail make about as many of
   them as others.  */
#define PAUSE_MIN_MS 20
#define PAUSE_MAX_MS 1000
#define PAUSE_DOUBLINGS 6

/* Answers in a row of a voter that knows no leader, until another voter is
   asked.  */
#define LEADERLESS_MAX 2

/* Bytes of the entries in a reply that may have ended early; a voter fills
   32 KB, or ends with an entry of more than 4 KB.  */
#define FULL_REPLY_MIN_BYTES ((size_t)4 << 10)

/* How long a renewal may be of use after the report that it is for.  */
#define RENEWAL_KEPT_MS 5000

typedef struct
{
  uint64_t incarnation;
  uint64_t heard;
} renewal_t;

typedef struct
{
  guint32 requests;
  guint32 stream_ms;
} demand_t;

static void poll_start (pu_agent_t *a);

static void
count (const pu_agent_t *a, const char *name)
{
  if (a->options.counters != NULL)
    {
      pu_counters_add (a->options.counters,
                       pu_counters_get (a->options.counters, name), 1);
    }
}

/* --- what a poll carries --- */

void
pu_agent_renew (pu_agent_t *a, const char *name, uint64_t incarnation)
{
  renewal_t *r = g_hash_table_lookup (a->renewals, name);

  if (r == NULL)
    {
      r = g_new0 (renewal_t, 1);
      g_hash_table_insert (a->renewals, g_strdup (name), r);
    }
  r->incarnation = incarnation;
  r->heard = uv_now (a->options.loop);
}

void
pu_agent_demand (pu_agent_t *a, const char *model, guint32 requests,
                 guint32 stream_ms)
{
  demand_t *d = g_hash_table_lookup (a->demand, model);

  if (d == NULL)
    {
      d = g_new0 (demand_t, 1);
      g_hash_table_insert (a->demand, g_strdup (model), d);
    }
  d->requests += requests;
  d->stream_ms += stream_ms;
}

void
pu_agent_urgency (pu_agent_t *a, const char *model, guint32 stream_ms,
                  guint32 weighted_ms)
{
  char *name = g_strconcat (model, PU_AGENT_URGENCY_SUFFIX, NULL);

  pu_agent_demand (a, name, stream_ms, weighted_ms);
  g_free (name);
}

/* Copies the renewals of FROM that TO lacks to TO.  */
static void
copy_renewals (GHashTable *from, GHashTable *to)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (!g_hash_table_contains (to, key))
        {
          g_hash_table_insert (to, g_strdup (key),
                               g_memdup2 (value, sizeof (renewal_t)));
        }
    }
}

/* A GHRFunc: whether the renewal VALUE is too old to matter to a lease.  */
static gboolean
is_old_renewal (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return *(const uint64_t *)now
         >= ((const renewal_t *)value)->heard + RENEWAL_KEPT_MS;
}

/* Records that the renewals go out with a poll.  They are kept for a while:
   the voter may not get them, or not pass them on to the leader.  */
static void
note_renewals_sent (pu_agent_t *a)
{
  GHashTable *sent = a->sent_renewals;
  uint64_t now = uv_now (a->options.loop);

  copy_renewals (sent, a->renewals);
  a->sent_renewals = a->renewals;
  a->renewals = sent;
  g_hash_table_remove_all (a->renewals);
  g_hash_table_foreach_remove (a->sent_renewals, is_old_renewal, &now);
}

static void
put_renewals (const pu_agent_t *a, pu_poll *p)
{
  guint n = MIN (g_hash_table_size (a->renewals), PU_CONTROL_LIST_MAX);
  uint64_t now = uv_now (a->options.loop);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  p->renewals.renewals_val = g_new0 (pu_renewal, n);
  g_hash_table_iter_init (&iter, a->renewals);
  while (p->renewals.renewals_len < n
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      pu_renewal *r = &p->renewals.renewals_val[p->renewals.renewals_len++];

      r->backend = key;
      r->incarnation = ((renewal_t *)value)->incarnation;
      r->age_ms = (u_int)(now - ((renewal_t *)value)->heard);
    }
}

static void
put_demand (const pu_agent_t *a, pu_poll *p)
{
  guint n = MIN (g_hash_table_size (a->demand), PU_CONTROL_LIST_MAX);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  p->demand.demand_val = g_new0 (pu_demand, n);
  g_hash_table_iter_init (&iter, a->demand);
  while (p->demand.demand_len < n
         && g_hash_table_iter_next (&iter, &key, &value))
    {
      pu_demand *d = &p->demand.demand_val[p->demand.demand_len++];

      d->model = key;
      d->requests = ((demand_t *)value)->requests;
      d->stream_ms = ((demand_t *)value)->stream_ms;
    }
}

/* Forgets the demand that put_demand has put into a poll; what it had no room
   for waits for the next one.  Demand that is lost with a poll is a hint.  */
static void
remove_sent_demand (pu_agent_t *a)
{
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, a->demand);
  for (guint n = 0;
       n < PU_CONTROL_LIST_MAX && g_hash_table_iter_next (&iter, NULL, NULL);
       n++)
    g_hash_table_iter_remove (&iter);
}

/* wait_ms - for how long the voter may wait for news.  Another voter than
   before answers at once, so that its answer tells how old the view is; so
   does the same one after an answer that waited for the disk.  */
static guint32
wait_ms (const pu_agent_t *a)
{
  return a->failures > 0 || a->at_once ? 0 : a->options.poll_wait_ms;
}

static GBytes *
poll_encode (const pu_agent_t *a, guint32 wait, bool with_demand)
{
  pu_poll p = { .name = a->self->name,
                .incarnation = a->self->incarnation,
                .position = pu_state_position (a->view),
                .voters_hash = a->voters_hash,
                .wait_ms = wait,
                .fresh = !a->ready || a->gap };
  GBytes *bytes;

  put_renewals (a, &p);
  if (with_demand)
    put_demand (a, &p);
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_poll, &p);
  g_free (p.renewals.renewals_val);
  g_free (p.demand.demand_val);
  return bytes;
}

GBytes *
pu_agent_poll_hedge (pu_agent_t *a)
{
  GBytes *bytes;

  count (a, "agent_polls_hedged_total");
  copy_renewals (a->sent_renewals, a->renewals);
  bytes = poll_encode (a, 0, false);
  note_renewals_sent (a);
  return bytes;
}

/* --- the cycle --- */

static void
on_poll_timer (uv_timer_t *t)
{
  poll_start (t->data);
}

static void
poll_later (pu_agent_t *a, guint ms)
{
  if (!a->closing && !a->superseded)
    uv_timer_start (a->poll_timer, on_poll_timer, ms, 0);
}

void
pu_agent_poll_again (pu_agent_t *a)
{
  poll_later (a, PAUSE_MIN_MS);
}

static guint
pause_max_ms (const pu_agent_t *a)
{
  return CLAMP (a->options.poll_wait_ms, (guint)PAUSE_MIN_MS,
                (guint)PAUSE_MAX_MS);
}

void
pu_agent_poll_failed (pu_agent_t *a, const char *why)
{
  guint doublings = MIN (a->failures, PAUSE_DOUBLINGS);
  guint most = MIN (PAUSE_MIN_MS << doublings, pause_max_ms (a));

  count (a, "agent_polls_failed_total");
  if (a->failures++ == 0)
    {
      pu_log_info (PU_AGENT_PART, "Voter %s does not answer: %s",
                   pu_agent_voter (a), why);
    }
  /* Backend servers repeat them with their next report only, and that may be
     too late for their leases.  */
  copy_renewals (a->sent_renewals, a->renewals);
  pu_agent_voters_next (a);
  poll_later (
      a, (guint)g_rand_int_range (a->rand, (gint)most / 2, (gint)most + 1));
}

/* Whether R brings all that its voter has, for a view at POSITION.  A voter
   ends a long reply early, with the position of its last entry; one that is
   cut off for its length has more bytes than FULL_REPLY_MIN_BYTES.  */
static bool
is_complete (const pu_poll_reply *r, uint64_t position)
{
  u_int n = r->entries.entries_len;
  size_t bytes = 0;

  if (r->position < position)
    return false;
  if (n == 0 || r->position > r->entries.entries_val[n - 1].position)
    return true;
  for (u_int i = 0; i < n; i++)
    bytes += r->entries.entries_val[i].command.command_len;
  return bytes < FULL_REPLY_MIN_BYTES && n < PU_CONTROL_LIST_MAX;
}

/* Notes what the reply R, which was taken, says about a view that was at
   POSITION before.  */
static void
note_caught_up (pu_agent_t *a, const pu_poll_reply *r, uint64_t position)
{
  if (!a->ready || a->gap)
    {
      a->caught_up = false;
    }
  else if (r->leader[0] != '\0' && is_complete (r, position))
    {
      a->caught_up = true;
    }
}

/* Notes whether the view may be shown: it has what this process announced, and
   so all that was committed before.  It does not suffice that the voter knows
   a leader: until a leader has committed an entry of its own term, its commit
   index may be lower than that of the leader before.  */
static void
note_may_show (pu_agent_t *a)
{
  uint64_t position = pu_state_position (a->view);

  if (a->may_show || !a->ready)
    return;
  a->may_show
      = a->joined || (a->announced_at != 0 && position >= a->announced_at);
  if (a->may_show)
    {
      pu_log_event (PU_AGENT_PART, "The state may be shown.",
                    PU_LOG_NUMBER ("position", position),
                    PU_LOG_NUMBER ("announced_at", a->announced_at),
                    PU_LOG_TEXT ("voter", pu_agent_polled_voter (a)),
                    PU_LOG_TEXT ("leader", a->leader));
    }
}

void
pu_agent_poll_answered (pu_agent_t *a, const pu_poll_reply *r)
{
  uint64_t position;

  if (a->failures > 0)
    {
      pu_log_info (PU_AGENT_PART, "Voter %s answers, after %u that did not.",
                   pu_agent_voter (a), a->failures);
    }
  a->failures = 0;
  pu_agent_voters_learn (a, r);
  a->leaderless = r->leader[0] == '\0' ? a->leaderless + 1 : 0;
  if (a->leaderless == 0)
    a->answered_at = MAX (uv_now (a->options.loop), 1);
  if (a->leaderless >= LEADERLESS_MAX)
    {
      a->leaderless = 0;
      pu_agent_voters_next (a);
    }
  position = pu_state_position (a->view);
  if (!pu_agent_take (a, r))
    {
      pu_agent_poll_failed (a, "its state is not taken.");
      return;
    }
  note_caught_up (a, r, position);
  if (r->leader[0] != '\0')
    a->current_at = a->poll_sent_at;
  pu_agent_announce (a);
  note_may_show (a);
  pu_agent_tell (a);
  poll_later (a, 0);
}

void
pu_agent_poll_received (pu_agent_t *a, const pu_poll_reply *r)
{
  if (!pu_agent_hold (a, r))
    pu_agent_poll_answered (a, r);
}

static void
on_polled_old (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_agent_t *a = data;
  pu_poll_reply r;

  a->poll_handle = 0;
  if (e->kind != PU_OK)
    {
      g_clear_pointer (&a->old_voter, g_free);
      pu_agent_poll_failed (a, e->message);
      return;
    }
  if (!pu_codec_decode ((xdrproc_t)xdr_pu_poll_reply, &r, sizeof r, body, n,
                        NULL))
    {
      pu_agent_poll_failed (a, "its answer does not decode.");
      return;
    }
  pu_agent_poll_received (a, &r);
  xdr_free ((xdrproc_t)xdr_pu_poll_reply, &r);
}

static void
poll_take (pu_agent_t *a, const pu_blob_reply *r)
{
  if (r->blobs.blobs_len > 0)
    {
      pu_agent_fetch (a, r);
    }
  else
    {
      pu_agent_poll_received (a, &r->reply);
    }
}

static void
poll_cancel (pu_agent_t *a)
{
  pu_rpc_client_t *client;

  if (a->poll_handle == 0)
    return;
  client = pu_rpc_pool_get (a->pool, a->poll_voter);
  if (client != NULL)
    pu_rpc_client_cancel (client, a->poll_handle);
  a->poll_handle = 0;
}

void
pu_agent_poll_replace (pu_agent_t *a, const char *voter, uint64_t sent_at,
                       const pu_blob_reply *r)
{
  pu_log_info (PU_AGENT_PART, "Voter %s does not answer in time, %s does.",
               a->poll_voter, voter);
  poll_cancel (a);
  uv_timer_stop (a->poll_timer);
  pu_agent_voters_use (a, voter);
  a->poll_sent_at = sent_at;
  poll_take (a, r);
}

static void
on_polled (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  pu_agent_t *a = data;
  pu_blob_reply r;

  a->poll_handle = 0;
  if (e->kind == PU_ERROR_NOT_FOUND)
    {
      g_free (a->old_voter);
      a->old_voter = g_strdup (pu_agent_voter (a));
      pu_agent_poll_again (a);
      return;
    }
  if (e->kind != PU_OK)
    {
      pu_agent_poll_failed (a, e->message);
      return;
    }
  if (!pu_codec_decode ((xdrproc_t)xdr_pu_blob_reply, &r, sizeof r, body, n,
                        NULL))
    {
      pu_agent_poll_failed (a, "its answer does not decode.");
      return;
    }
  poll_take (a, &r);
  xdr_free ((xdrproc_t)xdr_pu_blob_reply, &r);
}

void
pu_agent_call_voter (pu_agent_t *a, guint32 proc, GBytes *body,
                     pu_rpc_answer_t *fn)
{
  const char *voter = pu_agent_voter (a);
  pu_rpc_client_t *client
      = voter == NULL ? NULL : pu_rpc_pool_get (a->pool, voter);
  gsize size;
  gconstpointer data = g_bytes_get_data (body, &size);

  if (client == NULL)
    {
      pu_agent_poll_failed (a, "no address.");
      return;
    }
  g_free (a->poll_voter);
  a->poll_voter = g_strdup (voter);
  a->poll_handle = pu_rpc_client_call (
      client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, proc, data, size,
      wait_ms (a) > 0 ? wait_ms (a) + ANSWER_MS : ANSWER_AT_ONCE_MS, fn, a);
}

static void
poll_start (pu_agent_t *a)
{
  GBytes *bytes = poll_encode (a, wait_ms (a), true);
  bool old;

  pu_agent_voters_home (a);
  a->poll_sent_at = MAX (uv_now (a->options.loop), 1);
  count (a, "agent_polls_total");
  old = a->old_voter != NULL
        && g_strcmp0 (a->old_voter, pu_agent_voter (a)) == 0;
  note_renewals_sent (a);
  remove_sent_demand (a);
  pu_agent_hedge_begin (a, wait_ms (a));
  pu_agent_call_voter (a, old ? PU_CONTROL_POLL_DELTAS : PU_CONTROL_POLL_BLOBS,
                       bytes, old ? on_polled_old : on_polled);
  a->at_once = false;
  g_bytes_unref (bytes);
}

void
pu_agent_poll_init (pu_agent_t *a)
{
  a->renewals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  a->sent_renewals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  a->demand = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  a->poll_timer = pu_rpc_timer_new (a->options.loop, a);
  pu_agent_hedge_init (a);
  poll_later (a, 0);
}

void
pu_agent_poll_clear (pu_agent_t *a)
{
  pu_rpc_timer_free (a->poll_timer);
  pu_agent_hedge_clear (a);
  g_hash_table_unref (a->renewals);
  g_hash_table_unref (a->sent_renewals);
  g_hash_table_unref (a->demand);
  g_free (a->old_voter);
  g_free (a->poll_voter);
}
