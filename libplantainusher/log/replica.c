#include "log/replica_private.h"

#include <string.h>

enum
{
  /* A voter that is about to stop waits this many election timeouts longer
     before it stands for election.  */
  STOPPING_DELAY_ELECTIONS = 2,
  ELECTION_MS = 1000,
  HEARTBEAT_MS = 250,
  DRIFT_PERMILLE = 10,
  REPLACE_AFTER_MS = 60000,
  SNAPSHOT_ENTRIES = 4096,
  SNAPSHOT_BYTES = 16 * 1048576,
  KEEP_ENTRIES = 1024,
  BATCH_BYTES = PU_LOG_BULK_BYTES,
  WINDOW_MESSAGES = 8,
  UNCOMMITTED_ENTRIES = 8192,
  UNCOMMITTED_BYTES = 64 * 1048576,
};

void
pu_replica_options_init (pu_replica_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->seed = 1;
  o->election_ms = ELECTION_MS;
  o->heartbeat_ms = HEARTBEAT_MS;
  o->drift_permille = DRIFT_PERMILLE;
  o->replace_after_ms = REPLACE_AFTER_MS;
  o->snapshot_entries = SNAPSHOT_ENTRIES;
  o->snapshot_bytes = SNAPSHOT_BYTES;
  o->keep_entries = KEEP_ENTRIES;
  o->batch_bytes = BATCH_BYTES;
  o->bulk_bytes = PU_LOG_BULK_BYTES;
  o->window = WINDOW_MESSAGES;
  o->uncommitted_entries = UNCOMMITTED_ENTRIES;
  o->uncommitted_bytes = UNCOMMITTED_BYTES;
}

void
pu_disk_image_init (pu_disk_image_t *d)
{
  memset (d, 0, sizeof *d);
  d->entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
}

void
pu_disk_image_clear (pu_disk_image_t *d)
{
  pu_snapshot_clear (&d->snapshot);
  g_clear_pointer (&d->entries, g_ptr_array_unref);
}

/* Actions, and messages deferred until a write is durable.  */

void
pu_action_clear (pu_action_t *a)
{
  switch (a->kind)
    {
    case PU_ACTION_SEND:
      pu_log_peer_clear (&a->send.to);
      g_clear_pointer (&a->send.msg, g_bytes_unref);
      break;
    case PU_ACTION_WRITE:
      g_clear_pointer (&a->write.entries, g_ptr_array_unref);
      break;
    case PU_ACTION_SAVE_SNAPSHOT:
      pu_snapshot_clear (&a->save.snapshot);
      break;
    case PU_ACTION_WRITE_META:
    case PU_ACTION_TAKE_SNAPSHOT:
    case PU_ACTION_APPLY:
    case PU_ACTION_ROLE_CHANGED:
    case PU_ACTION_REJOIN:
      break;
    }
}

static void
free_action (pu_action_t *a)
{
  pu_action_clear (a);
  g_free (a);
}

static void
free_deferred_send (pu_deferred_send_t *h)
{
  pu_log_peer_clear (&h->to);
  g_clear_pointer (&h->msg, g_bytes_unref);
  g_free (h);
}

pu_action_t *
pu_r_push_action (pu_replica_t *r, pu_action_kind_t kind)
{
  pu_action_t *a = g_new0 (pu_action_t, 1);

  a->kind = kind;
  g_queue_push_tail (&r->actions, a);
  return a;
}

/* Sends the deferred messages whose writes are durable.  */
static void
send_deferred (pu_replica_t *r)
{
  pu_deferred_send_t *h;

  while ((h = g_queue_peek_head (&r->deferred_sends)) != NULL
         && h->after_ticket <= r->synced_ticket)
    {
      pu_action_t *a = pu_r_push_action (r, PU_ACTION_SEND);

      a->send.to = h->to;
      a->send.msg = h->msg;
      g_free (g_queue_pop_head (&r->deferred_sends));
    }
}

bool
pu_r_drop_deferred_sends (pu_replica_t *r)
{
  bool any = r->deferred_sends.length > 0;

  g_queue_clear_full (&r->deferred_sends, (GDestroyNotify)free_deferred_send);
  return any;
}

/* Sends BODY to TO as soon as the current metadata (term and vote) is
   durable.  */
void
pu_r_send (pu_replica_t *r, const pu_log_peer *to, pu_log_body *body)
{
  pu_log_msg m = { 0 };
  pu_deferred_send_t *h;
  GBytes *bytes;

  if (r->stopped)
    return;
  m.protocol = PU_LOG_PROTOCOL_VERSION;
  m.group = r->o.group;
  m.cluster = r->cluster;
  m.term = r->term;
  m.to = to->id;
  m.from = r->self;
  m.body = *body;
  bytes = pu_log_msg_encode (&m);
  if (bytes == NULL)
    return;
  h = g_new0 (pu_deferred_send_t, 1);
  h->after_ticket = r->meta_ticket;
  if (r->o.breaks & PU_BREAK_VOTE_BEFORE_SYNC)
    h->after_ticket = 0;
  h->msg = bytes;
  pu_log_peer_copy (&h->to, to);
  g_queue_push_tail (&r->deferred_sends, h);
  send_deferred (r);
}

void
pu_r_save_meta (pu_replica_t *r)
{
  pu_action_t *a;

  /* The journal keeps the order of writes; the entries appended so far must
     come before the metadata.  */
  pu_r_flush_writes (r);
  a = pu_r_push_action (r, PU_ACTION_WRITE_META);
  a->ticket = ++r->last_ticket;
  a->meta.meta.id = r->self.id;
  a->meta.meta.cluster = r->cluster;
  a->meta.meta.term = r->term;
  a->meta.meta.vote = r->vote;
  r->meta_ticket = a->ticket;
}

/* Changes of role: follower, leader or stopped.  */

void
pu_r_reset_timeout (pu_replica_t *r, uint64_t now)
{
  uint32_t extra
      = (uint32_t)g_rand_int_range (r->rand, 0, (gint32)r->o.election_ms);

  r->election_deadline = now + r->o.election_ms + extra;
  if (r->stopping)
    {
      r->election_deadline
          += STOPPING_DELAY_ELECTIONS * (uint64_t)r->o.election_ms;
    }
}

const char *
pu_role_cause_name (pu_role_cause_t cause)
{
  static const char *const names[] = {
    [PU_ROLE_ELECTED] = "election",
    [PU_ROLE_TRANSFERRED] = "leadership transfer",
    [PU_ROLE_QUORUM_LOST] = "no replies from a quorum",
    [PU_ROLE_LATER_TERM] = "a later term",
    [PU_ROLE_FAILED] = "failed or retired",
  };

  return names[cause];
}

void
pu_r_push_role_action (pu_replica_t *r, bool leader, pu_role_cause_t cause)
{
  pu_action_t *a = pu_r_push_action (r, PU_ACTION_ROLE_CHANGED);

  a->role.leader = leader;
  a->role.term = r->term;
  a->role.cause = cause;
}

void
pu_r_become_follower (pu_replica_t *r, uint64_t now, uint64_t term,
                      const pu_log_peer *leader)
{
  if (r->role == PU_ROLE_LEADER)
    pu_r_push_role_action (r, false, PU_ROLE_LATER_TERM);
  r->role = PU_ROLE_FOLLOWER;
  pu_log_peer_clear (&r->leader);
  if (leader != NULL)
    pu_log_peer_copy (&r->leader, leader);
  r->transfer_deadline = 0;
  if (term > r->term)
    {
      r->term = term;
      r->vote = 0;
      r->matched_leader_index = 0;
      r->reply_pending = false;
      r->echo_seq = 0;
      pu_r_save_meta (r);
    }
  pu_r_reset_timeout (r, now);
}

void
pu_r_step_down (pu_replica_t *r, uint64_t now, pu_role_cause_t cause)
{
  pu_r_push_role_action (r, false, cause);
  r->role = PU_ROLE_FOLLOWER;
  pu_r_become_follower (r, now, r->term, NULL);
}

static void
stop_participating (pu_replica_t *r)
{
  if (r->role == PU_ROLE_LEADER)
    pu_r_push_role_action (r, false, PU_ROLE_FAILED);
  r->role = PU_ROLE_FOLLOWER;
  pu_log_peer_clear (&r->leader);
  pu_r_drop_deferred_sends (r);
  r->stopped = true;
}

void
pu_r_retire_identity (pu_replica_t *r)
{
  stop_participating (r);
  pu_r_push_action (r, PU_ACTION_REJOIN);
}

void
pu_replica_fail (pu_replica_t *r)
{
  if (r->failed)
    return;
  r->failed = true;
  stop_participating (r);
}

/* Creating and freeing a replica.  */

/* An initial voter without a name is identified by its address.  */
static bool
is_self (const pu_replica_options_t *o, const pu_log_peer *initial)
{
  if (*initial->name == '\0')
    return g_strcmp0 (initial->address, o->self.address) == 0;
  return g_strcmp0 (initial->name, o->self.name) == 0;
}

static void
copy_seeds (pu_replica_t *r, const pu_replica_options_t *o)
{
  for (size_t i = 0; i < o->n_initial; i++)
    {
      pu_seed_t s = { 0 };

      if (is_self (o, &o->initial[i]))
        {
          r->initial = !o->had_log;
          continue;
        }
      pu_log_peer_copy (&s.peer, &o->initial[i]);
      s.peer.id = 0;
      g_array_append_val (r->seeds, s);
    }
}

static void
load_disk (pu_replica_t *r, const pu_disk_image_t *d)
{
  uint64_t last_term;

  r->cluster = d->meta.cluster;
  r->term = d->meta.term;
  r->vote = d->meta.vote;
  pu_snapshot_copy (&r->snapshot, &d->snapshot);
  r->base = d->snapshot.index;
  r->base_term = d->snapshot.term;
  pu_r_push_config (r, r->base, &d->snapshot.config);
  r->written = G_MAXUINT64; /* keeps pu_r_append from writing entries that are
                               on the disk already */
  for (guint i = 0; i < d->entries->len; i++)
    pu_r_append (r, pu_record_ref (g_ptr_array_index (d->entries, i)));
  r->written = pu_r_last_index (r);
  r->durable = r->written;
  last_term = pu_r_last_term (r);
  if (last_term > r->term)
    {
      r->term = last_term;
      r->vote = 0;
    }
  r->commit = MIN (MAX (d->commit, r->base), r->durable);
  r->applied = r->base;
}

pu_replica_t *
pu_replica_new (const pu_replica_options_t *o, const pu_disk_image_t *disk,
                uint64_t now)
{
  pu_replica_t *r = g_new0 (pu_replica_t, 1);

  r->o = *o;
  r->o.initial = NULL;
  memset (&r->o.self, 0, sizeof r->o.self);
  pu_log_peer_copy (&r->self, &o->self);
  r->self.id = disk->meta.id;
  r->seeds = g_array_new (FALSE, TRUE, sizeof (pu_seed_t));
  copy_seeds (r, o);
  r->rand = g_rand_new_with_seed ((guint32)(o->seed ^ (o->seed >> 32)));
  r->votes_granted
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  r->floors
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  r->stopping_members
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  r->entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
  r->configs = g_array_new (FALSE, TRUE, sizeof (pu_config_entry_t));
  r->progress = g_array_new (FALSE, TRUE, sizeof (pu_progress_t));
  g_queue_init (&r->pending_writes);
  g_queue_init (&r->actions);
  g_queue_init (&r->deferred_sends);
  load_disk (r, disk);
  r->last_leader_contact = now;
  pu_r_reset_timeout (r, now);
  return r;
}

static void
free_arrays (pu_replica_t *r)
{
  for (guint i = 0; i < r->seeds->len; i++)
    pu_log_peer_clear (&g_array_index (r->seeds, pu_seed_t, i).peer);
  for (guint i = 0; i < r->configs->len; i++)
    {
      pu_log_config_clear (
          &g_array_index (r->configs, pu_config_entry_t, i).config);
    }
  for (guint i = 0; i < r->progress->len; i++)
    {
      g_queue_clear (
          &g_array_index (r->progress, pu_progress_t, i).in_flight_appends);
    }
  g_array_unref (r->seeds);
  g_array_unref (r->configs);
  g_array_unref (r->progress);
  g_ptr_array_unref (r->entries);
}

void
pu_replica_free (pu_replica_t *r)
{
  if (r == NULL)
    return;
  pu_r_fetch_stop (r);
  free_arrays (r);
  g_queue_clear_full (&r->pending_writes, g_free);
  g_queue_clear_full (&r->actions, (GDestroyNotify)free_action);
  g_queue_clear_full (&r->deferred_sends, (GDestroyNotify)free_deferred_send);
  g_hash_table_unref (r->votes_granted);
  g_hash_table_unref (r->floors);
  g_hash_table_unref (r->stopping_members);
  g_rand_free (r->rand);
  pu_snapshot_clear (&r->snapshot);
  pu_snapshot_clear (&r->unsaved_snapshot);
  pu_log_peer_clear (&r->leader);
  pu_log_peer_clear (&r->self);
  g_free (r);
}

/* Timer ticks, received messages and reports of durable writes.  */

void
pu_replica_tick (pu_replica_t *r, uint64_t now)
{
  if (r->stopped)
    return;
  pu_r_announce_stop (r, now);
  if (r->role == PU_ROLE_LEADER)
    {
      pu_r_leader_tick (r, now);
      return;
    }
  pu_r_bootstrap_log (r, now);
  pu_r_send_hellos (r, now);
  pu_r_fetch_tick (r, now);
  if (!pu_r_may_campaign (r))
    return;
  if (now >= r->election_deadline
      || pu_log_config_count_voters (pu_r_config (r)) == 1)
    {
      pu_r_campaign (r, now, true, false);
    }
  else
    {
      pu_r_repeat_vote_requests (r, now);
    }
}

static void
on_timeout_now (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  if (m->term == r->term && r->role == PU_ROLE_FOLLOWER
      && r->leader.id == m->from.id && pu_r_may_campaign (r))
    pu_r_campaign (r, now, false, true);
}

/* Handles a rejoin message.  A leader sends it, while it holds the lease, to
   an identity that is not in the committed configuration, and to an identity
   that has lost entries that it had synced.  */
static void
on_rejoin (pu_replica_t *r, const pu_log_msg *m)
{
  if (m->to == r->self.id && m->term >= r->term && m->cluster == r->cluster
      && r->role != PU_ROLE_LEADER && r->cluster != 0)
    pu_r_retire_identity (r);
}

static bool
accepts_message (const pu_replica_t *r, const pu_log_msg *m)
{
  if (r->stopped || m->group != r->o.group || m->from.id == r->self.id
      || m->from.id == 0)
    return false;
  if (m->cluster != 0 && r->cluster != 0 && m->cluster != r->cluster)
    return false;
  return m->to == r->self.id || (m->to == 0 && m->body.kind == PU_LOG_HELLO);
}

/* Returns whether a higher term in M is adopted before M is handled.  The
   handler of vote requests decides on their term itself.  */
static bool
adopts_term (const pu_replica_t *r, const pu_log_msg *m)
{
  if (m->term <= r->term)
    return false;
  switch (m->body.kind)
    {
    case PU_LOG_APPEND:
    case PU_LOG_TIMEOUT_NOW:
      return true;
    case PU_LOG_APPEND_REPLY:
    case PU_LOG_VOTE_REPLY:
      return pu_log_config_find_member (pu_r_config (r), m->from.id) != NULL;
    default:
      return false;
    }
}

void
pu_replica_receive (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  if (!accepts_message (r, m))
    return;
  if (adopts_term (r, m))
    pu_r_become_follower (r, now, m->term, NULL);
  switch (m->body.kind)
    {
    case PU_LOG_HELLO:
      pu_r_on_hello (r, now, m);
      break;
    case PU_LOG_WELCOME:
      pu_r_on_welcome (r, now, m);
      break;
    case PU_LOG_VOTE:
      pu_r_on_vote (r, now, m);
      break;
    case PU_LOG_VOTE_REPLY:
      pu_r_on_vote_reply (r, now, m);
      break;
    case PU_LOG_APPEND:
      pu_r_on_append (r, now, m);
      break;
    case PU_LOG_APPEND_REPLY:
      pu_r_on_append_reply (r, now, m);
      break;
    case PU_LOG_FETCH:
      pu_r_on_fetch (r, m);
      break;
    case PU_LOG_CHUNK:
      pu_r_on_chunk (r, now, m);
      break;
    case PU_LOG_TIMEOUT_NOW:
      on_timeout_now (r, now, m);
      break;
    case PU_LOG_REJOIN:
      on_rejoin (r, m);
      break;
    case PU_LOG_STOPPING:
      pu_r_on_stopping (r, now, m);
      break;
    }
}

void
pu_replica_synced (pu_replica_t *r, uint64_t now, uint64_t ticket)
{
  uint64_t durable = r->durable;
  pu_pending_write_t *w;

  if (r->stopped || ticket <= r->synced_ticket)
    return;
  r->synced_ticket = ticket;
  while ((w = g_queue_peek_head (&r->pending_writes)) != NULL
         && w->ticket <= ticket)
    {
      r->durable = MAX (r->durable, w->last_index);
      g_free (g_queue_pop_head (&r->pending_writes));
    }
  send_deferred (r);
  if (r->role == PU_ROLE_CANDIDATE)
    pu_r_count_votes (r, now);
  if (r->durable == durable)
    return;
  if (r->role == PU_ROLE_LEADER)
    {
      pu_r_update_commit (r);
    }
  else if (r->reply_pending)
    {
      pu_r_reply_append (r, true, 0);
    }
}

bool
pu_replica_next_action (pu_replica_t *r, uint64_t now, pu_action_t *a)
{
  pu_action_t *head;

  if (r->actions.length == 0 && !r->stopped)
    {
      pu_r_flush_writes (r);
      if (r->role == PU_ROLE_LEADER)
        pu_r_flush_sends (r, now);
      pu_r_flush_applies (r);
    }
  head = g_queue_pop_head (&r->actions);
  if (head == NULL)
    return false;
  *a = *head;
  g_free (head);
  return true;
}

/* Functions that return the state of the replica.  */

bool
pu_replica_is_leader (const pu_replica_t *r)
{
  return r->role == PU_ROLE_LEADER;
}

bool
pu_replica_failed (const pu_replica_t *r)
{
  return r->failed;
}

uint64_t
pu_replica_term (const pu_replica_t *r)
{
  return r->term;
}

uint64_t
pu_replica_first_index (const pu_replica_t *r)
{
  return r->base + 1;
}

uint64_t
pu_replica_last_index (const pu_replica_t *r)
{
  return pu_r_last_index (r);
}

uint64_t
pu_replica_commit_index (const pu_replica_t *r)
{
  return r->commit;
}

uint64_t
pu_replica_commit_lag_ms (const pu_replica_t *r, uint64_t now)
{
  if (r->commit_lag_since == 0 || r->commit >= r->max_leader_commit)
    return 0;
  return now - MIN (now, r->commit_lag_since);
}

uint64_t
pu_replica_durable_index (const pu_replica_t *r)
{
  return r->durable;
}

uint64_t
pu_replica_snapshot_index (const pu_replica_t *r)
{
  return r->snapshot.index;
}

const pu_log_peer *
pu_replica_self (const pu_replica_t *r)
{
  return &r->self;
}

const pu_log_peer *
pu_replica_leader (const pu_replica_t *r)
{
  return r->leader.id != 0 ? &r->leader : NULL;
}

const pu_log_config *
pu_replica_config (const pu_replica_t *r)
{
  return pu_r_config (r);
}

uint64_t
pu_replica_config_index (const pu_replica_t *r)
{
  return pu_r_config_index (r);
}
