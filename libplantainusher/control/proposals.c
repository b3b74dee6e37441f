#include "control/control_private.h"

#include <string.h>

#include "base/log.h"
#include "control/packed.h"

/* Upper limit of the timeout of a proposal or a query that is forwarded to the
   leader, whatever the caller asks for.  */
#define FORWARD_TIMEOUT_MAX_MS 60000

/* While proposals are in flight, replies of this many log positions back are
   retained for on_proposal_done; older ones may be evicted.  */
#define REPLY_RETENTION_POSITIONS 16384

/* What the leader knows about a proposer.  Its proposals with a sequence
   number below min_active_seq have ended.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t min_active_seq;
} proposer_t;

typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call; /* of another daemon; NULL if proposed locally */
  pu_control_done_fn *fn;
  void *data;
} proposal_t;

typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call; /* NULL after it was dropped */
  pu_control_fail_fn *fail;
} forward_t;

/* --- replies --- */

size_t
pu_control_reply_xdr (pu_rpc_call_t *call, xdrproc_t proc, const void *record)
{
  GBytes *bytes = pu_codec_encode (proc, record);
  gsize size;
  gconstpointer data = g_bytes_get_data (bytes, &size);

  pu_rpc_call_reply (call, data, size);
  g_bytes_unref (bytes);
  return size;
}

static void
propose_fail (pu_control_t *c, pu_rpc_call_t *call, pu_error_kind_t kind,
              const char *message)
{
  pu_propose_reply r = { .kind = kind,
                         .message = (char *)message,
                         .leader = (char *)pu_control_leader_address (c) };

  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_propose_reply, &r);
}

static void
propose_answer (pu_control_t *c, pu_rpc_call_t *call, GBytes *reply)
{
  pu_propose_reply r
      = { .message = "", .leader = (char *)pu_control_leader_address (c) };
  gsize size;

  r.reply.reply_val = (char *)g_bytes_get_data (reply, &size);
  r.reply.reply_len = (u_int)size;
  pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_propose_reply, &r);
}

/* --- calls forwarded to the leader --- */

static void
on_forwarded (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  forward_t *f = data;

  g_hash_table_steal (f->control->forwards, f);
  if (f->call == NULL)
    {
      /* The call was dropped; discard the answer.  */
    }
  else if (e->kind == PU_OK)
    {
      pu_rpc_call_reply (f->call, body, n);
    }
  else if (e->kind == PU_ERROR_TIMEOUT)
    {
      f->fail (f->control, f->call, PU_ERROR_TIMEOUT,
               "The leader did not answer; the outcome is not known.");
    }
  else
    {
      f->fail (f->control, f->call, PU_ERROR_UNAVAILABLE,
               "The leader cannot be reached.");
    }
  g_free (f);
}

void
pu_control_forward (pu_control_t *c, pu_rpc_call_t *call, guint32 proc,
                    xdrproc_t args_proc, const void *args, guint timeout_ms,
                    pu_control_fail_fn *fail)
{
  GBytes *bytes = pu_codec_encode (args_proc, args);
  gsize size;
  gconstpointer data = g_bytes_get_data (bytes, &size);
  const char *leader = pu_control_leader_address (c);
  pu_rpc_client_t *client = size > PU_LOG_BULK_BYTES
                                ? pu_control_bulk_client (c, leader)
                                : pu_rpc_pool_get (c->pool, leader);
  forward_t *f;

  if (client == NULL)
    {
      g_bytes_unref (bytes);
      fail (c, call, PU_ERROR_UNAVAILABLE, "No leader is known.");
      return;
    }
  f = g_new0 (forward_t, 1);
  f->control = c;
  f->call = call;
  f->fail = fail;
  g_hash_table_add (c->forwards, f);
  pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION, proc,
                      data, size, MIN (timeout_ms, FORWARD_TIMEOUT_MAX_MS),
                      on_forwarded, f);
  g_bytes_unref (bytes);
}

void
pu_control_drop_forwards (pu_control_t *c)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, c->forwards);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      forward_t *f = key;

      /* The leader may still answer: F is freed by on_forwarded, or by
         pu_control_proposals_clear if no answer comes.  */
      if (f->call != NULL)
        pu_rpc_call_drop (f->call);
      f->call = NULL;
    }
}

/* --- proposals to the log --- */

void
pu_control_proposals_init (pu_control_t *c)
{
  c->replies = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      (GDestroyNotify)g_bytes_unref);
  c->forwards = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  c->proposers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
pu_control_proposals_clear (pu_control_t *c)
{
  g_hash_table_unref (c->replies);
  g_hash_table_unref (c->forwards);
  g_hash_table_unref (c->proposers);
}

static gboolean
is_expired_reply (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  return *(uint64_t *)key + REPLY_RETENTION_POSITIONS < *(uint64_t *)data;
}

void
pu_control_store_reply (pu_control_t *c, uint64_t position, const pu_reply *r)
{
  uint64_t *key;

  if (c->proposals == 0)
    {
      g_hash_table_remove_all (c->replies);
      return;
    }
  if (g_hash_table_size (c->replies) >= 2 * REPLY_RETENTION_POSITIONS)
    g_hash_table_foreach_remove (c->replies, is_expired_reply, &position);
  key = g_new (uint64_t, 1);
  *key = position;
  g_hash_table_insert (c->replies, key, pu_reply_encode (r));
}

static void
complete_local (proposal_t *p, GBytes *reply, const pu_error_t *e)
{
  pu_reply r;
  gsize size;
  gconstpointer data;

  if (reply == NULL)
    {
      p->fn (p->data, NULL, e);
      return;
    }
  data = g_bytes_get_data (reply, &size);
  if (!pu_reply_decode (&r, data, size, NULL))
    g_error ("Cannot decode a reply that this voter encoded.");
  p->fn (p->data, &r, e);
  pu_reply_clear (&r);
}

static void
on_proposal_done (uint64_t index, pu_error_kind_t kind, void *data)
{
  proposal_t *p = data;
  pu_control_t *c = p->control;
  GBytes *reply
      = kind == PU_OK ? g_hash_table_lookup (c->replies, &index) : NULL;
  pu_error_t e = { .kind = kind };

  c->proposals--;
  if (kind == PU_OK && reply == NULL)
    e.kind = PU_ERROR_TIMEOUT;
  if (e.kind != PU_OK)
    {
      pu_error_set (&e, e.kind,
                    e.kind == PU_ERROR_TIMEOUT
                        ? "Leadership was lost; the outcome is not known."
                        : "Leadership was lost; the command was not run.");
    }
  if (p->call == NULL)
    {
      complete_local (p, reply, &e);
    }
  else if (reply != NULL)
    {
      propose_answer (c, p->call, reply);
    }
  else
    {
      propose_fail (c, p->call, e.kind, e.message);
    }
  if (reply != NULL)
    g_hash_table_remove (c->replies, &index);
  g_free (p);
}

/* group_propose - appends the LEN bytes of a command to the log.  Returns
   false with E if it was not appended; P is freed then.  */
static bool
group_propose (pu_control_t *c, proposal_t *p, const void *bytes, size_t len,
               pu_error_t *e)
{
  p->control = c;
  if (c->closing || !pu_group_holds_lease (c->group))
    {
      pu_error_set (e, PU_ERROR_UNAVAILABLE,
                    "There is no quorum; the command was not run.");
      g_free (p);
      return false;
    }
  if (!pu_group_propose (c->group, bytes, len, on_proposal_done, p, e))
    {
      g_free (p);
      return false;
    }
  c->proposals++;
  return true;
}

void
pu_control_propose (pu_control_t *c, const pu_command *command,
                    pu_control_done_fn *fn, void *data)
{
  GBytes *bytes = pu_command_encode (command);
  proposal_t *p = g_new0 (proposal_t, 1);
  pu_error_t e;
  gsize size;
  gconstpointer content = g_bytes_get_data (bytes, &size);

  p->fn = fn;
  p->data = data;
  if (!group_propose (c, p, content, size, &e))
    fn (data, NULL, &e);
  g_bytes_unref (bytes);
}

/* --- proposals of other daemons --- */

/* is_stale_duplicate - whether A is a delayed copy of a proposal that has
   ended at its proposer.  It must not run after the proposals made since.  */
static bool
is_stale_duplicate (pu_control_t *c, const pu_propose *a)
{
  proposer_t *p = g_hash_table_lookup (c->proposers, a->proposer);

  if (p == NULL)
    {
      p = g_new0 (proposer_t, 1);
      g_hash_table_insert (c->proposers, g_strdup (a->proposer), p);
    }
  if (a->incarnation < p->incarnation)
    return true;
  if (a->incarnation > p->incarnation)
    p->min_active_seq = 0;
  p->incarnation = a->incarnation;
  p->min_active_seq = MAX (p->min_active_seq, a->floor);
  return a->seq < p->min_active_seq;
}

/* encode_for_log - encodes COMMAND as a log entry; a document becomes a delta
   if that is shorter.  Returns NULL with E for a command that must not be
   proposed, or if the limit of at-most-once keys is reached.  */
static GBytes *
encode_for_log (pu_control_t *c, pu_command *command, pu_error_t *e)
{
  if (command->type == PU_COMMAND_BACKEND_DELTA)
    {
      pu_error_set (e, PU_ERROR_INVALID,
                    "A BACKEND_DELTA command cannot be proposed.");
      return NULL;
    }
  if (command->type == PU_COMMAND_SUBMIT)
    pu_state_delta_encode_submit (c->state, &command->pu_command_u.submit);
  if (command->type == PU_COMMAND_CLAIM && c->options.claims_max > 0
      && pu_state_claim_count (c->state) >= c->options.claims_max)
    {
      pu_error_set (e, PU_ERROR_UNAVAILABLE,
                    "The limit of %u at-most-once keys is reached; the call "
                    "was not run.",
                    c->options.claims_max);
      return NULL;
    }
  return pu_command_encode (command);
}

static void
propose_as_leader (pu_control_t *c, pu_rpc_call_t *call, const pu_propose *a)
{
  proposal_t *p;
  pu_command command;
  GBytes *bytes;
  pu_error_t e;

  if (is_stale_duplicate (c, a))
    {
      propose_fail (c, call, PU_ERROR_UNAVAILABLE,
                    "A delayed copy of an ended proposal is not run.");
      return;
    }
  if (!pu_command_decode (&command, a->command.command_val,
                          a->command.command_len, &e))
    {
      propose_fail (c, call, PU_ERROR_INVALID, e.message);
      return;
    }
  bytes = encode_for_log (c, &command, &e);
  pu_command_clear (&command);
  if (bytes == NULL)
    {
      propose_fail (c, call, e.kind, e.message);
      return;
    }
  p = g_new0 (proposal_t, 1);
  p->call = call;
  if (!group_propose (c, p, g_bytes_get_data (bytes, NULL),
                      g_bytes_get_size (bytes), &e))
    propose_fail (c, call, e.kind, e.message);
  g_bytes_unref (bytes);
}

/* propose_packed_as_leader - as propose_as_leader, for a compressed command.
 */
static void
propose_packed_as_leader (pu_control_t *c, pu_rpc_call_t *call,
                          const pu_propose *a)
{
  const char *packed = a->command.command_val;
  size_t n = a->command.command_len;
  pu_error_t e;
  GBytes *content = pu_packed_content (packed, n, pu_packed_size (packed, n),
                                       PU_CONTROL_COMMAND_MAX, &e);
  pu_propose whole = *a;
  gsize size;

  if (content == NULL)
    {
      propose_fail (c, call, PU_ERROR_INVALID, e.message);
      return;
    }
  whole.command.command_val = (char *)g_bytes_get_data (content, &size);
  whole.command.command_len = (u_int)size;
  propose_as_leader (c, call, &whole);
  g_bytes_unref (content);
}

/* propose_or_forward - handles the proposal A to procedure PROC: as the
   leader, or by forwarding it.  */
static void
propose_or_forward (pu_control_t *c, pu_rpc_call_t *call, pu_propose *a,
                    guint32 proc)
{
  if (pu_group_is_leader (c->group) && proc == PU_CONTROL_PROPOSE_PACKED)
    {
      propose_packed_as_leader (c, call, a);
    }
  else if (pu_group_is_leader (c->group))
    {
      propose_as_leader (c, call, a);
    }
  else if (a->forwarded || pu_control_leader_address (c)[0] == '\0')
    {
      propose_fail (c, call, PU_ERROR_UNAVAILABLE, "No leader is known.");
    }
  else
    {
      a->forwarded = TRUE;
      pu_control_forward (c, call, proc, (xdrproc_t)xdr_pu_propose, a,
                          a->timeout_ms, propose_fail);
    }
}

static void
on_propose (pu_control_t *c, pu_rpc_call_t *call, const guint8 *body, size_t n,
            guint32 proc)
{
  pu_propose a;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_propose, &a, sizeof a, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  propose_or_forward (c, call, &a, proc);
  xdr_free ((xdrproc_t)xdr_pu_propose, &a);
}

void
pu_control_on_propose (void *data, pu_rpc_call_t *call, const guint8 *body,
                       size_t n)
{
  on_propose (data, call, body, n, PU_CONTROL_PROPOSE);
}

void
pu_control_on_propose_packed (void *data, pu_rpc_call_t *call,
                              const guint8 *body, size_t n)
{
  on_propose (data, call, body, n, PU_CONTROL_PROPOSE_PACKED);
}
