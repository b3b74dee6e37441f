#include "log/replica_private.h"

#include <string.h>

/*
 * Elections and the leader's lease.
 *
 * A voter grants no vote for a minimum election timeout T, measured by its
 * clock, after it received a message from a leader.  It also grants none for
 * T after its start, because it does not store when it last received one.  A
 * leader's lease starts at the send time of the messages that a quorum has
 * answered; it is shorter than T by the drift of two clocks and the rounding
 * to milliseconds.  Every quorum that could elect another leader shares a
 * voter with the quorum that answered, so no other leader is elected before
 * the lease has expired.  Votes for a leadership transfer are granted before
 * T has passed, because the old leader steps down before it requests the
 * election.
 */

enum
{
  CLOCK_ROUNDING_MS = 2, /* rounding error of two clock readings, each rounded
                            down to milliseconds */
  PERMILLE = 1000,
  /* Number of times that a candidate sends its vote requests within one
     minimum election timeout.  They are repeated because after a power
     failure the first ones are lost, as connections to peers that start
     later must be retried, and because a voter grants no vote just after
     its start.  */
  VOTE_REQUESTS_PER_ELECTION = 6,
  /* A voter that granted a pre-vote waits for this part of the minimum
     election timeout before it campaigns itself.  */
  YIELDS_PER_ELECTION = 2,
};

uint64_t
pu_r_floor (const pu_replica_t *r, uint64_t id)
{
  const uint64_t *index = g_hash_table_lookup (r->floors, &id);

  if (r->o.breaks & PU_BREAK_NO_FLOORS)
    return 0;
  return index != NULL ? *index : 0;
}

void
pu_r_raise_floor (pu_replica_t *r, uint64_t id, uint64_t index)
{
  if (pu_log_config_find_member (pu_r_config (r), id) != NULL
      && index > pu_r_floor (r, id))
    {
      g_hash_table_insert (r->floors, g_memdup2 (&id, sizeof id),
                           g_memdup2 (&index, sizeof index));
    }
}

bool
pu_r_may_campaign (const pu_replica_t *r)
{
  const pu_log_member *m
      = pu_log_config_find_member (pu_r_config (r), r->self.id);

  return m != NULL && pu_log_role_is_voting (m->role) && r->installing == 0;
}

static uint32_t
quorum (const pu_replica_t *r)
{
  return pu_log_config_count_voters (pu_r_config (r)) / 2 + 1;
}

static void
send_vote_requests (pu_replica_t *r, bool pre, bool transfer)
{
  const pu_log_config *c = pu_r_config (r);
  pu_log_body b = { .kind = PU_LOG_VOTE };

  b.pu_log_body_u.vote.pre = pre;
  b.pu_log_body_u.vote.transfer = transfer;
  b.pu_log_body_u.vote.last_index = pu_r_last_index (r);
  b.pu_log_body_u.vote.last_term = pu_r_last_term (r);
  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      if (m->peer.id != r->self.id && pu_log_role_is_voting (m->role))
        pu_r_send (r, &m->peer, &b);
    }
}

static void
request_votes (pu_replica_t *r, uint64_t now)
{
  r->vote_retry_at
      = now + MAX (1, r->o.election_ms / VOTE_REQUESTS_PER_ELECTION);
  send_vote_requests (r, r->role == PU_ROLE_PRE_CANDIDATE,
                      r->transfer_campaign);
}

static void
add_vote (pu_replica_t *r, uint64_t id)
{
  g_hash_table_add (r->votes_granted, g_memdup2 (&id, sizeof id));
}

void
pu_r_campaign (pu_replica_t *r, uint64_t now, bool pre, bool transfer)
{
  g_hash_table_remove_all (r->votes_granted);
  add_vote (r, r->self.id);
  pu_r_become_follower (r, now, r->term, NULL);
  if (pre)
    {
      r->role = PU_ROLE_PRE_CANDIDATE;
    }
  else
    {
      pu_r_become_follower (r, now, r->term + 1, NULL);
      r->role = PU_ROLE_CANDIDATE;
      r->vote = r->self.id;
      pu_r_save_meta (r);
    }
  r->transfer_campaign = transfer;
  request_votes (r, now);
  pu_r_count_votes (r, now);
}

void
pu_r_repeat_vote_requests (pu_replica_t *r, uint64_t now)
{
  bool campaigning
      = r->role == PU_ROLE_PRE_CANDIDATE || r->role == PU_ROLE_CANDIDATE;

  if (campaigning && now >= r->vote_retry_at)
    request_votes (r, now);
}

static bool
own_vote_durable (const pu_replica_t *r)
{
  return r->synced_ticket >= r->meta_ticket
         || (r->o.breaks & PU_BREAK_VOTE_BEFORE_SYNC) != 0;
}

void
pu_r_count_votes (pu_replica_t *r, uint64_t now)
{
  if (g_hash_table_size (r->votes_granted) < quorum (r))
    return;
  if (r->role == PU_ROLE_PRE_CANDIDATE)
    {
      pu_r_campaign (r, now, false, false);
    }
  else if (r->role == PU_ROLE_CANDIDATE && own_vote_durable (r))
    {
      pu_r_become_leader (r, now);
    }
}

static bool
candidate_up_to_date (const pu_replica_t *r, const pu_log_vote *v)
{
  uint64_t term = pu_r_last_term (r);

  if (v->last_term != term)
    return v->last_term > term;
  return v->last_index >= pu_r_last_index (r);
}

static bool
leader_lease_may_hold (const pu_replica_t *r, uint64_t now)
{
  if (r->o.breaks & PU_BREAK_VOTE_IN_LEASE)
    return false;
  return r->role == PU_ROLE_LEADER
         || now < r->last_leader_contact + r->o.election_ms;
}

/* Stores the known durable floors of the members in OUT and returns their
   number.  A candidate adopts the floors in the votes that it receives, so
   that a new leader knows them.  */
static uint32_t
collect_floors (const pu_replica_t *r, pu_log_floor *out)
{
  const pu_log_config *c = pu_r_config (r);
  uint32_t n = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      uint64_t id = c->members.members_val[i].peer.id;

      out[n].id = id;
      out[n].index = pu_r_floor (r, id);
      n += out[n].index > 0;
    }
  return n;
}

static void
send_vote_reply (pu_replica_t *r, const pu_log_msg *m, bool granted)
{
  pu_log_body b = { .kind = PU_LOG_VOTE_REPLY };
  pu_log_floor floors[PU_LOG_MEMBERS_MAX + 1];

  b.pu_log_body_u.vote_reply.floors.floors_val = floors;
  b.pu_log_body_u.vote_reply.floors.floors_len = collect_floors (r, floors);

  b.pu_log_body_u.vote_reply.pre = m->body.pu_log_body_u.vote.pre;
  b.pu_log_body_u.vote_reply.granted = granted;
  b.pu_log_body_u.vote_reply.last_index = pu_r_last_index (r);
  pu_r_send (r, &m->from, &b);
}

/* Whether the campaign of M's sender goes before this voter's own: that of the
   longer log, or of the lower identity.  */
static bool
goes_first (const pu_replica_t *r, const pu_log_msg *m)
{
  const pu_log_vote *v = &m->body.pu_log_body_u.vote;
  uint64_t term = pu_r_last_term (r);
  uint64_t index = pu_r_last_index (r);

  if (v->last_term != term || v->last_index != index)
    return candidate_up_to_date (r, v);
  return m->from.id < r->self.id;
}

/* Puts off this voter's own campaign, so that the sender of the pre-vote
   request M, which it granted, can be elected.  Two candidates at once split
   the votes, and each split costs an election timeout.  Once a term is enough,
   and a sender that others don't hear can't hold this voter up for longer.  */
static void
yield_to_candidate (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  if (r->yielded_term == r->term || r->role == PU_ROLE_CANDIDATE
      || (r->role == PU_ROLE_PRE_CANDIDATE && !goes_first (r, m)))
    return;
  if (r->role == PU_ROLE_PRE_CANDIDATE)
    r->role = PU_ROLE_FOLLOWER;
  r->yielded_term = r->term;
  r->election_deadline = MAX (r->election_deadline,
                              now + r->o.election_ms / YIELDS_PER_ELECTION);
}

static void
on_pre_vote (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_vote *v = &m->body.pu_log_body_u.vote;
  bool granted = m->term >= r->term && candidate_up_to_date (r, v)
                 && !leader_lease_may_hold (r, now)
                 && v->last_index >= pu_r_floor (r, m->from.id);

  if (granted)
    yield_to_candidate (r, now, m);
  send_vote_reply (r, m, granted);
}

void
pu_r_on_vote (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_vote *v = &m->body.pu_log_body_u.vote;
  bool granted;

  if (r->installing != 0)
    return;
  if (v->pre)
    {
      on_pre_vote (r, now, m);
      return;
    }
  if (m->term < r->term)
    {
      send_vote_reply (r, m, false);
      return;
    }
  if (leader_lease_may_hold (r, now) && !v->transfer)
    return;
  if (m->term > r->term)
    pu_r_become_follower (r, now, m->term, NULL);
  granted = (r->vote == 0 || r->vote == m->from.id)
            && r->role != PU_ROLE_LEADER && candidate_up_to_date (r, v)
            && v->last_index >= pu_r_floor (r, m->from.id);
  if (granted && r->vote == 0)
    {
      r->vote = m->from.id;
      pu_r_save_meta (r);
      pu_r_reset_timeout (r, now);
    }
  send_vote_reply (r, m, granted);
}

void
pu_r_on_vote_reply (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_vote_reply *v = &m->body.pu_log_body_u.vote_reply;
  pu_role_t asked = v->pre ? PU_ROLE_PRE_CANDIDATE : PU_ROLE_CANDIDATE;
  pu_log_member *from
      = pu_log_config_find_member (pu_r_config (r), m->from.id);

  if (!v->granted || r->role != asked || m->term > r->term)
    return;
  if (!v->pre && m->term != r->term)
    return;
  if (from == NULL || !pu_log_role_is_voting (from->role))
    return;
  for (guint i = 0; i < v->floors.floors_len; i++)
    {
      pu_r_raise_floor (r, v->floors.floors_val[i].id,
                        v->floors.floors_val[i].index);
    }
  /* The voter that sent this reply has lost entries that it had synced.  Its
     vote does not show that the candidate's log has all committed entries.  */
  if (v->last_index < pu_r_floor (r, m->from.id))
    return;
  add_vote (r, from->peer.id);
  pu_r_count_votes (r, now);
}

/* The leader's lease.  */

static gint
descending (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? 1 : (x > y ? -1 : 0);
}

/* Returns the latest time T for which each member of a quorum, including this
   leader, has answered a message sent at T or later; 0 if there is none.  */
uint64_t
pu_r_quorum_acked_send_time (const pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  uint64_t sent[PU_LOG_MEMBERS_MAX] = { 0 };
  uint32_t n = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];
      const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

      if (!pu_log_role_is_voting (m->role))
        continue;
      if (m->peer.id == r->self.id)
        {
          sent[n++] = now;
        }
      else
        {
          sent[n++] = p != NULL && !p->lost_entries ? p->acked_send_time : 0;
        }
    }
  if (n == 0)
    return 0;
  qsort (sent, n, sizeof *sent, descending);
  return sent[n / 2];
}

/* Returns the latest time at which this leader is known to have led: that of
   its election, or of sending a message that a quorum answered.  */
uint64_t
pu_r_leadership_confirmed_at (const pu_replica_t *r, uint64_t now)
{
  return MAX (pu_r_quorum_acked_send_time (r, now), r->leader_since);
}

bool
pu_replica_holds_lease (const pu_replica_t *r, uint64_t now)
{
  uint64_t t = r->o.election_ms;
  uint64_t drift = r->o.drift_permille;
  uint64_t lease = t * (PERMILLE - drift) / (PERMILLE + drift);
  uint64_t sent;

  if (r->role != PU_ROLE_LEADER || r->commit < r->term_first_index
      || lease <= CLOCK_ROUNDING_MS)
    return false;
  sent = pu_r_quorum_acked_send_time (r, now);
  return sent != 0 && now < sent + lease - CLOCK_ROUNDING_MS;
}

uint64_t
pu_replica_quorum_silent_ms (const pu_replica_t *r, uint64_t now)
{
  uint64_t sent
      = r->role == PU_ROLE_LEADER ? pu_r_quorum_acked_send_time (r, now) : 0;

  return sent != 0 && sent < now ? now - sent : 0;
}

uint64_t
pu_replica_leader_silent_ms (const pu_replica_t *r, uint64_t now)
{
  uint64_t heard = r->role == PU_ROLE_LEADER
                       ? pu_r_leadership_confirmed_at (r, now)
                       : r->leader_heard_at;

  return heard != 0 ? now - MIN (now, heard) : G_MAXUINT64;
}
