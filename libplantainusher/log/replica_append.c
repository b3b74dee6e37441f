#include "log/replica_private.h"

#include <string.h>

/*
 * Replication.  The leader sends messages with entries without waiting for
 * replies, up to a window of unanswered messages for each member.  A follower
 * acknowledges the entries that it has synced to its disk.  A heartbeat
 * carries the index and the term of the entry before the next one to send; a
 * follower that missed a message rejects the heartbeat and the leader resends
 * the entries, so lost messages need no retransmission timer.
 *
 * A bulk entry takes longer than a heartbeat interval on a slow link, so it
 * is sent apart from other messages, which may overtake it.  While it is
 * unanswered, no other entries are sent to the member, and heartbeats carry
 * the entry before it.
 */

enum
{
  /* A leader steps down after this many election timeouts without replies
     from a quorum.  */
  QUORUM_LOSS_ELECTIONS = 2,
  /* A bulk entry counts as lost when it is unanswered for this many election
     timeouts and the time that it takes at this rate.  */
  BULK_LOSS_ELECTIONS = 2,
  BULK_BYTES_PER_MS = 1024,
};

pu_progress_t *
pu_r_find_progress (const pu_replica_t *r, uint64_t id)
{
  for (guint i = 0; i < r->progress->len; i++)
    {
      pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      if (p->id == id)
        return p;
    }
  return NULL;
}

static void
add_progress (pu_replica_t *r, uint64_t id, uint64_t now)
{
  pu_progress_t p = { 0 };

  p.id = id;
  p.next = pu_r_last_index (r) + 1;
  p.probing = true;
  p.floor = pu_r_floor (r, id);
  p.last_reply_at = now;
  p.next_heartbeat_at = now;
  g_queue_init (&p.in_flight_appends);
  g_array_append_val (r->progress, p);
}

/* Adds a progress record for each new member of the configuration and removes
   those of former members.  */
void
pu_r_reconcile_progress (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);

  for (guint i = r->progress->len; i-- > 0;)
    {
      pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      if (pu_log_config_find_member (c, p->id) != NULL)
        continue;
      g_queue_clear (&p->in_flight_appends);
      g_array_remove_index (r->progress, i);
    }
  for (guint i = 0; i < c->members.members_len; i++)
    {
      uint64_t id = c->members.members_val[i].peer.id;

      if (id != r->self.id && pu_r_find_progress (r, id) == NULL)
        add_progress (r, id, now);
    }
}

uint64_t
pu_r_append_as_leader (pu_replica_t *r, pu_log_type type, const void *data,
                       size_t len)
{
  uint64_t index = pu_r_last_index (r) + 1;

  pu_r_append (r, pu_record_new (index, r->term, type, data, len));
  r->uncommitted_bytes += len;
  return index;
}

void
pu_r_become_leader (pu_replica_t *r, uint64_t now)
{
  r->role = PU_ROLE_LEADER;
  pu_r_fetch_stop (r);
  pu_log_peer_clear (&r->leader);
  pu_log_peer_copy (&r->leader, &r->self);
  r->leader_since = now;
  r->uncommitted_bytes = 0;
  r->committed_config_index = 0;
  r->transfer_deadline = 0;
  r->transfer_retry_at = 0;
  r->transfer_wanted_until = 0;
  for (guint i = 0; i < r->progress->len; i++)
    {
      g_queue_clear (
          &g_array_index (r->progress, pu_progress_t, i).in_flight_appends);
    }
  g_array_set_size (r->progress, 0);
  pu_r_reconcile_progress (r, now);
  r->term_first_index = pu_r_append_as_leader (r, PU_LOG_NOOP, "", 0);
  pu_r_push_role_action (
      r, true, r->transfer_campaign ? PU_ROLE_TRANSFERRED : PU_ROLE_ELECTED);
  pu_r_leader_tick (r, now);
}

bool
pu_replica_propose (pu_replica_t *r, uint64_t now, const void *bytes,
                    size_t len, uint64_t *index, pu_error_t *e)
{
  (void)now;
  if (r->role != PU_ROLE_LEADER || r->stopped)
    return pu_error_set (e, PU_ERROR_UNAVAILABLE, "not the leader");
  if (r->transfer_deadline != 0)
    {
      return pu_error_set (e, PU_ERROR_UNAVAILABLE,
                           "a leadership transfer is in progress");
    }
  if (len > PU_LOG_ENTRY_MAX)
    {
      return pu_error_set (e, PU_ERROR_TOO_LARGE,
                           "an entry of %zu bytes exceeds the size limit",
                           len);
    }
  if (pu_r_last_index (r) - r->commit >= r->o.uncommitted_entries
      || r->uncommitted_bytes + len > r->o.uncommitted_bytes)
    {
      return pu_error_set (e, PU_ERROR_UNAVAILABLE,
                           "too many entries are uncommitted");
    }
  *index = pu_r_append_as_leader (r, PU_LOG_DATA, bytes, len);
  return true;
}

/* Sending of append messages, on the leader.  */

static uint32_t
collect_entries (const pu_replica_t *r, uint64_t first, pu_log_entry *out)
{
  uint64_t last = pu_r_last_index (r);
  uint64_t bytes = 0;
  uint32_t n = 0;

  for (uint64_t i = first; i <= last && n < PU_LOG_ENTRIES_MAX; i++)
    {
      const pu_record_t *e = pu_replica_entry (r, i);

      bytes += e->len;
      if (n > 0 && bytes > r->o.batch_bytes)
        break;
      pu_record_to_xdr (e, &out[n++]);
    }
  return n;
}

static uint32_t
collect_floors (const pu_replica_t *r, pu_log_floor *out)
{
  uint32_t n = 0;

  for (guint i = 0; i < r->progress->len && n < PU_LOG_MEMBERS_MAX; i++)
    {
      const pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      out[n].id = p->id;
      out[n].index = MAX (MIN (p->match, r->commit), p->floor);
      n++;
    }
  if (n < PU_LOG_MEMBERS_MAX)
    {
      out[n].id = r->self.id;
      out[n].index = MIN (r->durable, r->commit);
      n++;
    }
  return n;
}

static void
set_seeder (pu_replica_t *r, pu_progress_t *p, uint64_t now, pu_log_append *a)
{
  const pu_log_member *m;

  if (p->next > r->base)
    {
      p->seeder = 0;
      return;
    }
  pu_r_choose_seeder (r, p, now);
  m = pu_log_config_find_member (pu_r_config (r), p->seeder);
  if (m != NULL)
    a->seeder = m->peer;
}

/* Whether this leader is sure enough to lead to tell its followers so.
   Otherwise they would call their state current for as long as they hear a
   leader that is cut off with them.  */
static bool
leads_surely (const pu_replica_t *r, uint64_t now)
{
  return now <= pu_r_leadership_confirmed_at (r, now) + r->o.election_ms;
}

static bool
is_bulk (const pu_replica_t *r, const pu_record_t *e)
{
  return e->len > r->o.bulk_bytes;
}

static bool
bulk_pending (const pu_progress_t *p, uint64_t now)
{
  return p->bulk > p->match && now < p->bulk_until;
}

/* Records the entry at the next index as sent, if it is a bulk entry.  */
static void
note_bulk (const pu_replica_t *r, pu_progress_t *p, uint64_t now)
{
  const pu_record_t *e = pu_replica_entry (r, p->next);

  if (!is_bulk (r, e))
    return;
  p->bulk = p->next;
  p->bulk_until = now + BULK_LOSS_ELECTIONS * (uint64_t)r->o.election_ms
                  + e->len / BULK_BYTES_PER_MS;
}

/* Sends an append message: entries if WITH_ENTRIES, else a heartbeat.  */
static void
send_append (pu_replica_t *r, pu_progress_t *p, uint64_t now,
             bool with_entries)
{
  const pu_log_member *to = pu_log_config_find_member (pu_r_config (r), p->id);
  pu_log_body b = { .kind = PU_LOG_APPEND };
  pu_log_append *a = &b.pu_log_body_u.append;
  pu_log_floor floors[PU_LOG_MEMBERS_MAX];
  pu_log_entry *entries = NULL;
  uint64_t next = bulk_pending (p, now) ? p->bulk : p->next;
  uint64_t prev = MAX (next - 1, r->base);
  bool known;

  if (to == NULL)
    return;
  a->seeder.name = "";
  a->seeder.address = "";
  a->seq = ++p->seq;
  a->sent = now;
  a->commit = leads_surely (r, now) ? r->commit : 0;
  set_seeder (r, p, now, a);
  a->prev_index = prev;
  a->prev_term = pu_r_term_at (r, prev, &known);
  if (with_entries)
    {
      entries = g_new (pu_log_entry, PU_LOG_ENTRIES_MAX);
      a->entries.entries_val = entries;
      a->entries.entries_len = collect_entries (r, p->next, entries);
      note_bulk (r, p, now);
      p->next += a->entries.entries_len;
      g_queue_push_tail (&p->in_flight_appends,
                         GSIZE_TO_POINTER (p->next - 1));
    }
  else
    {
      a->floors.floors_val = floors;
      a->floors.floors_len = collect_floors (r, floors);
    }
  pu_r_send (r, &to->peer, &b);
  g_free (entries);
}

/* Returns whether the next entries may be sent to a member.  A bulk entry
   must not overtake the entries before it.  */
static bool
may_send_entries (const pu_replica_t *r, const pu_progress_t *p, uint64_t now)
{
  guint in_flight = p->in_flight_appends.length;

  if (p->probing || p->lost_entries || p->next <= r->base
      || p->next > pu_r_last_index (r) || in_flight >= r->o.window
      || bulk_pending (p, now))
    return false;
  return in_flight == 0 || !is_bulk (r, pu_replica_entry (r, p->next));
}

void
pu_r_flush_sends (pu_replica_t *r, uint64_t now)
{
  for (guint i = 0; i < r->progress->len; i++)
    {
      pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      while (may_send_entries (r, p, now))
        send_append (r, p, now, true);
    }
}

/* Sends a heartbeat if one is due.  A member that has lost synced entries is
   told to rejoin instead.  */
static void
send_heartbeat (pu_replica_t *r, pu_progress_t *p, uint64_t now)
{
  const pu_log_member *m = pu_log_config_find_member (pu_r_config (r), p->id);

  if (now < p->next_heartbeat_at)
    return;
  p->next_heartbeat_at = now + r->o.heartbeat_ms;
  if (p->lost_entries && m != NULL)
    {
      pu_r_send_rejoin (r, &m->peer);
    }
  else
    {
      send_append (r, p, now, false);
    }
}

void
pu_r_leader_tick (pu_replica_t *r, uint64_t now)
{
  uint64_t sent = pu_r_leadership_confirmed_at (r, now);

  r->leader_heard_at = MAX (r->leader_heard_at, MIN (sent, now));
  if (now > sent + QUORUM_LOSS_ELECTIONS * (uint64_t)r->o.election_ms)
    {
      pu_r_step_down (r, now, PU_ROLE_QUORUM_LOST);
      return;
    }
  pu_r_reconcile_progress (r, now);
  for (guint i = 0; i < r->progress->len; i++)
    send_heartbeat (r, &g_array_index (r->progress, pu_progress_t, i), now);
  pu_r_update_commit (r);
  pu_r_transfer_tick (r, now);
  if (r->role == PU_ROLE_LEADER)
    pu_r_adjust_voters (r, now);
}

/* Computing the commit index, on the leader.  */

static gint
descending (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? 1 : (x > y ? -1 : 0);
}

static uint64_t
own_match_index (const pu_replica_t *r)
{
  if (r->o.breaks & PU_BREAK_ACK_BEFORE_SYNC)
    return pu_r_last_index (r);
  return r->durable;
}

void
pu_r_update_commit (pu_replica_t *r)
{
  const pu_log_config *c = pu_r_config (r);
  uint64_t match[PU_LOG_MEMBERS_MAX] = { 0 };
  uint32_t n = 0;
  uint64_t commit;
  bool known;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];
      const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

      if (!pu_log_role_is_voting (m->role))
        continue;
      if (m->peer.id == r->self.id)
        {
          match[n++] = own_match_index (r);
        }
      else
        {
          match[n++] = p != NULL && !p->lost_entries ? p->match : 0;
        }
    }
  if (n == 0)
    return;
  qsort (match, n, sizeof *match, descending);
  commit = match[n / 2];
  if (commit <= r->commit)
    return;
  /* An entry of an earlier term may still be overwritten even if a quorum
     holds it.  Such an entry is committed together with a later entry of the
     current term.  */
  if (pu_r_term_at (r, commit, &known) == r->term
      || (r->o.breaks & PU_BREAK_COMMIT_OLD_TERM))
    pu_r_advance_commit (r, commit);
}

/* Handling of replies to append messages, on the leader.  */

/* Returns whether reply A shows that the member's disk lost synced entries:
   the synced log ends below the member's durable floor, or below an index
   that the member acknowledged before the message that A answers was sent.  */
static bool
has_lost_entries (const pu_replica_t *r, const pu_progress_t *p,
                  const pu_log_append_reply *a)
{
  if (r->o.breaks & PU_BREAK_NO_FLOORS)
    return false;
  if (a->synced < p->floor)
    return true;
  return a->seq >= p->match_check_from_seq && a->synced < p->match;
}

static void
advance_match (pu_progress_t *p, uint64_t match)
{
  if (match > p->match)
    {
      p->match = match;
      p->match_check_from_seq = p->seq + 1;
    }
  p->next = MAX (p->next, p->match + 1);
  while (p->in_flight_appends.length > 0
         && GPOINTER_TO_SIZE (g_queue_peek_head (&p->in_flight_appends))
                <= p->match)
    g_queue_pop_head (&p->in_flight_appends);
}

static void
on_reject (pu_replica_t *r, pu_progress_t *p, uint64_t now,
           const pu_log_append_reply *a)
{
  uint64_t next = MIN (p->next - 1, a->last + 1);
  bool probe;

  if (a->seq <= p->reject_seq)
    return;
  p->reject_seq = p->seq; /* ignores rejections of all messages sent so far:
                             they add nothing */
  next = MAX (next, p->match + 1);
  /* Probe again immediately if the next index moved back.  A member that
     needs a snapshot gets only one such probe, which names the member's
     seeder.  */
  probe = next < p->next && (next > r->base || p->seeder == 0);
  p->next = next;
  p->probing = true;
  p->bulk = 0;
  g_queue_clear (&p->in_flight_appends);
  if (probe)
    send_append (r, p, now, false);
}

static void
update_fetch_progress (pu_progress_t *p, uint64_t now,
                       const pu_log_append_reply *a)
{
  p->snapshot = MAX (p->snapshot, a->snapshot);
  if (a->fetched != p->fetched)
    {
      p->fetched = a->fetched;
      p->fetch_progress_at = now;
    }
}

void
pu_r_on_append_reply (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_append_reply *a = &m->body.pu_log_body_u.append_reply;
  pu_progress_t *p = pu_r_find_progress (r, m->from.id);

  if (r->role != PU_ROLE_LEADER || m->term != r->term || p == NULL
      || p->lost_entries || a->seq > p->seq || a->sent > now)
    return;
  if (a->match > pu_r_last_index (r))
    return;
  if (has_lost_entries (r, p, a))
    {
      p->lost_entries = true;
      return;
    }
  p->last_reply_at = now;
  p->acked_send_time = MAX (p->acked_send_time, a->sent);
  update_fetch_progress (p, now, a);
  if (!a->ok)
    {
      on_reject (r, p, now, a);
      return;
    }
  if (a->seq > p->reject_seq)
    p->probing = false;
  advance_match (p, a->match);
  pu_r_update_commit (r);
  if (p->id == r->transfer_target)
    pu_r_transfer_tick (r, now);
}

/* Handling of append messages, on a follower.  */

void
pu_r_reply_append (pu_replica_t *r, bool ok, uint64_t last)
{
  pu_log_body b = { .kind = PU_LOG_APPEND_REPLY };
  pu_log_append_reply *a = &b.pu_log_body_u.append_reply;
  uint64_t durable = r->durable;

  if (r->leader.id == 0)
    return;
  if (r->o.breaks & PU_BREAK_ACK_BEFORE_SYNC)
    durable = pu_r_last_index (r);
  a->seq = r->echo_seq;
  a->sent = r->echo_sent;
  a->ok = ok;
  a->match
      = ok && r->installing == 0 ? MIN (r->matched_leader_index, durable) : 0;
  a->last = last;
  a->synced = durable;
  a->snapshot = r->snapshot.index;
  a->fetched = r->fetching.data != NULL ? r->fetching.data->len : 0;
  if (ok)
    r->reply_pending = r->matched_leader_index > durable;
  pu_r_send (r, &r->leader, &b);
}

/* Returns the last index at which this log may match the log of a leader
   whose entry at PREV is missing in this log or has another term.  All
   entries of the conflicting term are skipped, down to the commit index.  */
static uint64_t
last_before_conflict (const pu_replica_t *r, uint64_t prev)
{
  bool known;
  uint64_t term;

  if (prev > pu_r_last_index (r))
    return pu_r_last_index (r);
  term = pu_r_term_at (r, prev, &known);
  while (prev > r->commit && pu_r_term_at (r, prev, &known) == term && known)
    prev--;
  return MAX (prev, r->commit);
}

static bool
well_formed (const pu_log_append *a)
{
  for (guint i = 0; i < a->entries.entries_len; i++)
    {
      const pu_log_entry *x = &a->entries.entries_val[i];

      if (x->index != a->prev_index + 1 + i)
        return false;
    }
  return true;
}

/* Appends the entries of A and truncates the log at the first entry whose
   term differs.  Returns false if the truncation would remove a committed
   entry, which no correct leader requests.  */
static bool
merge_entries (pu_replica_t *r, const pu_log_append *a)
{
  for (guint i = 0; i < a->entries.entries_len; i++)
    {
      const pu_log_entry *x = &a->entries.entries_val[i];
      bool known;

      if (x->index <= r->base)
        continue;
      if (x->index <= pu_r_last_index (r))
        {
          if (pu_r_term_at (r, x->index, &known) == x->term)
            continue;
          if (x->index <= r->commit)
            return false;
          pu_r_truncate (r, x->index);
        }
      pu_r_append (r, pu_record_from_xdr (x));
    }
  return true;
}

static void
on_leader_contact (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_append *a = &m->body.pu_log_body_u.append;

  if (r->role != PU_ROLE_FOLLOWER || r->leader.id != m->from.id)
    pu_r_become_follower (r, now, m->term, &m->from);
  r->last_leader_contact = MAX (r->last_leader_contact, now);
  pu_r_reset_timeout (r, now);
  if (a->seq > r->echo_seq)
    {
      r->echo_seq = a->seq;
      r->echo_sent = a->sent;
    }
  for (guint i = 0; i < a->floors.floors_len; i++)
    {
      const pu_log_floor *f = &a->floors.floors_val[i];

      pu_r_raise_floor (r, f->id, f->index);
    }
}

static bool
prev_entry_matches (const pu_replica_t *r, const pu_log_append *a)
{
  bool known;

  if (a->prev_index > pu_r_last_index (r))
    return false;
  if (a->prev_index < r->base)
    return true; /* the entry was compacted, so it was committed and equals the
                    leader's */
  return pu_r_term_at (r, a->prev_index, &known) == a->prev_term;
}

/* Records since when the leader's commit index has been ahead of this
   voter's.  A follower with a full or slow disk acknowledges nothing, so the
   leader's window of unanswered messages to it fills and later entries are
   not sent; the commit index in heartbeats still shows the lag.  */
static void
update_commit_lag (pu_replica_t *r, uint64_t now, uint64_t leader_commit)
{
  r->max_leader_commit = MAX (r->max_leader_commit, leader_commit);
  if (r->commit >= r->max_leader_commit)
    {
      r->commit_lag_since = 0;
    }
  else if (r->commit_lag_since == 0)
    {
      r->commit_lag_since = MAX (now, 1);
    }
}

/* Appends the entries of A, advances the commit index and replies; the reply
   is deferred until the entries are synced.  */
static void
process_append (pu_replica_t *r, uint64_t now, const pu_log_append *a)
{
  guint n = a->entries.entries_len;

  if (r->installing != 0)
    {
      pu_r_reply_append (r, true, 0);
      return;
    }
  if (!prev_entry_matches (r, a))
    {
      pu_r_reply_append (r, false, last_before_conflict (r, a->prev_index));
      pu_r_fetch_start (r, now, &a->seeder);
      return;
    }
  if (!merge_entries (r, a))
    return;
  r->matched_leader_index = MAX (r->matched_leader_index, a->prev_index + n);
  pu_r_advance_commit (r, MIN (a->commit, a->prev_index + n));
  if (n == 0 || r->durable >= r->matched_leader_index)
    {
      pu_r_reply_append (r, true, 0);
    }
  else
    {
      r->reply_pending = true;
    }
  if (r->o.breaks & PU_BREAK_ACK_BEFORE_SYNC)
    pu_r_reply_append (r, true, 0);
}

void
pu_r_on_append (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_append *a = &m->body.pu_log_body_u.append;

  if (m->term < r->term)
    {
      pu_log_peer old = r->leader;

      /* The reply tells the old leader the current term, so that it steps
         down; the other fields do not matter.  */
      r->leader = m->from;
      pu_r_reply_append (r, false, 0);
      r->leader = old;
      return;
    }
  if (r->role == PU_ROLE_LEADER || !well_formed (a))
    return;
  on_leader_contact (r, now, m);
  if (a->commit > 0)
    r->leader_heard_at = MAX (r->leader_heard_at, now);
  process_append (r, now, a);
  update_commit_lag (r, now, a->commit);
}

bool
pu_replica_peer_state (const pu_replica_t *r, uint64_t id, uint64_t now,
                       uint64_t *match, uint64_t *silent_ms)
{
  const pu_progress_t *p = pu_r_find_progress (r, id);

  if (r->role != PU_ROLE_LEADER || p == NULL)
    return false;
  *match = p->match;
  *silent_ms = now - MIN (now, p->last_reply_at);
  return true;
}
