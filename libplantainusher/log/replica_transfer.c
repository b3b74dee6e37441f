#include "log/replica_private.h"

/*
 * Leadership transfer, and the planned stop of a member.
 *
 * A member that is about to stop says so to the other members with each
 * heartbeat interval until its process ends.  It gives up leadership, and it
 * stands for election only if no other voter has done so in time: the other
 * voters may lack committed entries.  Its messages are lost when an older
 * build receives them; that build treats it as any other member.
 */

enum
{
  /* The target of a leadership transfer must have replied within this many
     heartbeat intervals.  */
  TRANSFER_SILENCE_HEARTBEATS = 3,
  /* A member counts as stopping for this many heartbeat intervals after it
     last said so; after that its process has ended.  */
  STOPPING_HEARTBEATS = 4,
  /* A leader that stops tries the next transfer this many election timeouts
     after it began one that failed: proposals are refused during a
     transfer.  */
  TRANSFER_RETRY_ELECTIONS = 3,
};

bool
pu_r_is_stopping (const pu_replica_t *r, uint64_t id, uint64_t now)
{
  const uint64_t *heard = g_hash_table_lookup (r->stopping_members, &id);

  return heard != NULL
         && now <= *heard + STOPPING_HEARTBEATS * (uint64_t)r->o.heartbeat_ms;
}

/* Returns whether M can lead within an election timeout: it answers, and has
   all committed entries.  */
static bool
can_take_over (const pu_replica_t *r, const pu_log_member *m,
               const pu_progress_t *p, uint64_t now)
{
  return m->role == PU_LOG_VOTER && p != NULL && !p->lost_entries
         && p->acked_send_time != 0 && p->match >= r->commit
         && now <= p->last_reply_at
                       + TRANSFER_SILENCE_HEARTBEATS
                             * (uint64_t)r->o.heartbeat_ms;
}

/* Returns the voter that is to lead next, or NULL: the one with the highest
   match index among those that can take over and stay or, if ANY and there is
   none, among those that can take over and are stopping.  */
static const pu_progress_t *
choose_target (const pu_replica_t *r, uint64_t now, bool any)
{
  const pu_log_config *c = pu_r_config (r);
  const pu_progress_t *best = NULL;
  bool best_stays = false;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];
      const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);
      bool stays = !pu_r_is_stopping (r, m->peer.id, now);

      if (!can_take_over (r, m, p, now) || (!stays && !any))
        continue;
      if (best == NULL || stays > best_stays
          || (stays == best_stays && p->match > best->match))
        {
          best = p;
          best_stays = stays;
        }
    }
  return best;
}

/* Cancels the leadership transfer at its deadline or if its target was
   removed; completes it once the target holds the whole log.  */
static void
advance_transfer (pu_replica_t *r, uint64_t now)
{
  const pu_log_member *to
      = pu_log_config_find_member (pu_r_config (r), r->transfer_target);
  const pu_progress_t *p = pu_r_find_progress (r, r->transfer_target);
  pu_log_body b = { .kind = PU_LOG_TIMEOUT_NOW };
  pu_log_peer peer;

  if (now >= r->transfer_deadline || to == NULL || p == NULL)
    {
      r->transfer_deadline = 0;
      return;
    }
  if (p->match < pu_r_last_index (r))
    return;
  pu_log_peer_copy (&peer, &to->peer);
  /* Step down before the target is asked to start an election, so that the
     lease ends before the target can be elected.  */
  pu_r_step_down (r, now, PU_ROLE_TRANSFERRED);
  pu_r_send (r, &peer, &b);
  pu_log_peer_clear (&peer);
}

static void
begin_transfer (pu_replica_t *r, uint64_t now, bool any)
{
  const pu_progress_t *to;

  if (r->role != PU_ROLE_LEADER || r->transfer_deadline != 0)
    return;
  r->transfer_any = any;
  to = choose_target (r, now, any);
  if (to == NULL)
    return;
  r->transfer_target = to->id;
  r->transfer_deadline = now + r->o.election_ms;
  r->transfer_retry_at
      = now + TRANSFER_RETRY_ELECTIONS * (uint64_t)r->o.election_ms;
  advance_transfer (r, now);
}

void
pu_r_transfer_tick (pu_replica_t *r, uint64_t now)
{
  if (r->transfer_deadline != 0)
    {
      advance_transfer (r, now);
    }
  else if ((r->stopping || now < r->transfer_wanted_until)
           && now >= r->transfer_retry_at)
    {
      begin_transfer (r, now, r->transfer_any);
    }
}

void
pu_r_announce_stop (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  pu_log_body b = { .kind = PU_LOG_STOPPING };

  if (!r->stopping || now < r->next_stopping_at)
    return;
  r->next_stopping_at = now + r->o.heartbeat_ms;
  for (guint i = 0; i < c->members.members_len; i++)
    {
      if (c->members.members_val[i].peer.id != r->self.id)
        pu_r_send (r, &c->members.members_val[i].peer, &b);
    }
}

void
pu_r_on_stopping (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  uint64_t id = m->from.id;

  if (pu_log_config_find_member (pu_r_config (r), id) != NULL)
    {
      g_hash_table_insert (r->stopping_members, g_memdup2 (&id, sizeof id),
                           g_memdup2 (&now, sizeof now));
    }
}

void
pu_replica_begin_stop (pu_replica_t *r, uint64_t now)
{
  if (r->stopping || r->stopped)
    return;
  r->stopping = true;
  pu_r_announce_stop (r, now);
  if (r->role == PU_ROLE_FOLLOWER)
    pu_r_reset_timeout (r, now);
  begin_transfer (r, now, false);
}

void
pu_replica_transfer_leadership (pu_replica_t *r, uint64_t now)
{
  /* Ends a transfer that waits for its target.  A leader that was elected just
     now has no target until other voters have answered.  */
  r->transfer_deadline = 0;
  r->transfer_wanted_until = now + r->o.election_ms;
  begin_transfer (r, now, true);
}
