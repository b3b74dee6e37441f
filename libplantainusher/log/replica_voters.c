#include "log/replica_private.h"

#include <string.h>

/*
 * Membership changes.
 *
 * The configuration holds the target number of voters and the role of each
 * member.  The leader moves the number of voters towards the target by one
 * configuration entry at a time, each committed before the next is appended.
 * A responsive voter is removed after its caught-up replacement was added, an
 * unresponsive one before.  A voter counts towards the quorum until it is
 * removed, even if its disk is lost.
 */

enum
{
  /* For this many election timeouts, a seed's report that it never held a log
     is valid.  */
  EMPTY_REPORT_ELECTIONS = 5,
  /* After this many election timeouts without messages from a leader, a
     member sends hello messages to the other members and the seeds.  */
  DISCOVERY_ELECTIONS = 3,
  /* After this many election timeouts without a reply, a voter may be
     removed in favour of a learner that has the same name or that an
     operator chose.  */
  UNRESPONSIVE_ELECTIONS = 2,
  /* A member is confirmed if it has answered a message that was sent within
     this many heartbeat intervals.  */
  CONFIRM_HEARTBEATS = 2,
  /* A learner is caught up if its log lags by at most this many entries.  */
  CAUGHT_UP_LAG_ENTRIES = 128,
};

static bool
is_uninitialized (const pu_replica_t *r)
{
  return pu_r_config (r)->members.members_len == 0;
}

/* Hello messages, with which a voter looks for a leader.  */

static void
send_hello (pu_replica_t *r, const pu_log_peer *to)
{
  pu_log_body b = { .kind = PU_LOG_HELLO };
  pu_log_peer any = *to;

  any.id = 0;
  b.pu_log_body_u.hello.fresh = is_uninitialized (r);
  b.pu_log_body_u.hello.first = is_uninitialized (r) && r->initial;
  pu_r_send (r, &any, &b);
}

void
pu_r_send_hellos (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  bool fresh = is_uninitialized (r);

  if (now < r->next_hello_at)
    return;
  if (!fresh
      && now < r->last_leader_contact
                   + DISCOVERY_ELECTIONS * (uint64_t)r->o.election_ms)
    return;
  r->next_hello_at = now + r->o.election_ms / 2;
  for (guint i = 0; i < r->seeds->len; i++)
    send_hello (r, &g_array_index (r->seeds, pu_seed_t, i).peer);
  for (guint i = 0; i < c->members.members_len; i++)
    {
      if (c->members.members_val[i].peer.id != r->self.id)
        send_hello (r, &c->members.members_val[i].peer);
    }
}

/* Returns whether FROM is the seed S.  The seed is identified by its name, or
   by its address until its name is known.  */
static bool
matches_seed (const pu_seed_t *s, const pu_log_peer *from)
{
  if (*s->peer.name == '\0')
    return strcmp (s->peer.address, from->address) == 0;
  return strcmp (s->peer.name, from->name) == 0;
}

static bool
is_known_address (const pu_replica_t *r, const char *address)
{
  for (guint i = 0; i < r->seeds->len; i++)
    {
      const pu_seed_t *s = &g_array_index (r->seeds, pu_seed_t, i);

      if (strcmp (s->peer.address, address) == 0)
        return true;
    }
  return strcmp (r->self.address, address) == 0;
}

void
pu_replica_add_seed (pu_replica_t *r, const char *address)
{
  const pu_log_peer peer = { .name = (char *)"", .address = (char *)address };
  pu_seed_t s = { 0 };

  /* An initial voter bootstraps the log with exactly its configured seeds, so
     no seed is added.  */
  if (r->initial || is_known_address (r, address))
    return;
  pu_log_peer_copy (&s.peer, &peer);
  g_array_append_val (r->seeds, s);
}

static void
record_uninitialized (pu_replica_t *r, uint64_t now, const pu_log_peer *from)
{
  for (guint i = 0; i < r->seeds->len; i++)
    {
      pu_seed_t *s = &g_array_index (r->seeds, pu_seed_t, i);

      if (!matches_seed (s, from))
        continue;
      pu_log_peer_clear (&s->peer);
      pu_log_peer_copy (&s->peer, from);
      s->fresh_at = now;
    }
}

/* Bootstrap: the initial voter with the lowest name starts the log, once,
   when every other initial voter has reported that it never held a log.  */

static bool
may_bootstrap (const pu_replica_t *r, uint64_t now)
{
  if (!is_uninitialized (r) || r->cluster != 0 || !r->initial)
    return false;
  for (guint i = 0; i < r->seeds->len; i++)
    {
      const pu_seed_t *s = &g_array_index (r->seeds, pu_seed_t, i);

      if (s->fresh_at == 0
          || now > s->fresh_at
                       + EMPTY_REPORT_ELECTIONS * (uint64_t)r->o.election_ms
          || strcmp (s->peer.name, r->self.name) < 0)
        return false;
    }
  return true;
}

static void
append_config (pu_replica_t *r, const pu_log_config *c)
{
  GBytes *b = pu_xdr_encode ((xdrproc_t)xdr_pu_log_config, c);
  gsize len;
  const void *p;

  if (b == NULL)
    return;
  p = g_bytes_get_data (b, &len);
  pu_r_append_as_leader (r, PU_LOG_CONFIG, p, len);
  g_bytes_unref (b);
}

static uint64_t
random_cluster_id (GRand *rand)
{
  uint64_t high = g_rand_int (rand);

  return (high << 32 | g_rand_int (rand)) | 1;
}

void
pu_r_bootstrap_log (pu_replica_t *r, uint64_t now)
{
  pu_log_member members[PU_LOG_MEMBERS_MAX] = { 0 };
  pu_log_config c = { 0 };
  guint n = MIN (r->seeds->len, PU_LOG_MEMBERS_MAX - 1);

  if (!may_bootstrap (r, now))
    return;
  members[0].peer = r->self;
  members[0].role = PU_LOG_VOTER;
  for (guint i = 0; i < n; i++)
    {
      members[i + 1].peer = g_array_index (r->seeds, pu_seed_t, i).peer;
      members[i + 1].role = PU_LOG_VOTER;
    }
  c.cluster = random_cluster_id (r->rand);
  c.target = n + 1;
  c.members.members_len = n + 1;
  c.members.members_val = members;
  r->term = MAX (r->term, 1);
  r->vote = r->self.id;
  append_config (r, &c);
}

/* Automatic configuration changes, on the leader.  */

static bool
may_change_config (const pu_replica_t *r)
{
  return r->role == PU_ROLE_LEADER && r->transfer_deadline == 0
         && pu_r_config_index (r) <= r->commit
         && r->commit >= r->term_first_index;
}

/* Returns whether M has lost synced entries or has not replied for
   UNRESPONSIVE_ELECTIONS election timeouts, so that a learner of the same
   name, or one that an operator chose, may replace it.  */
static bool
is_unresponsive (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  return p != NULL
         && (p->lost_entries
             || now > p->last_reply_at
                          + UNRESPONSIVE_ELECTIONS
                                * (uint64_t)r->o.election_ms);
}

/* Returns whether M has lost synced entries or has not replied for
   replace_after_ms milliseconds, so that any learner may replace it.  */
static bool
is_lost (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  if (m->peer.id == r->self.id)
    return false;
  return p != NULL
         && (p->lost_entries
             || now > p->last_reply_at + r->o.replace_after_ms);
}

/* Returns whether M has answered a message that was sent after the
   configuration in force was committed and within the last CONFIRM_HEARTBEATS
   heartbeats.  */
static bool
is_confirmed (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  if (m->peer.id == r->self.id)
    return true;
  return p != NULL && !p->lost_entries
         && p->acked_send_time > r->config_committed_at
         && now <= p->acked_send_time
                       + CONFIRM_HEARTBEATS * (uint64_t)r->o.heartbeat_ms;
}

/* Returns whether the learner M may become a voter: its log is up to date, and
   it is not about to stop.  */
static bool
is_caught_up (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  return p != NULL && is_confirmed (r, m, now)
         && !pu_r_is_stopping (r, m->peer.id, now)
         && p->match + CAUGHT_UP_LAG_ENTRIES >= pu_r_last_index (r)
         && p->match >= r->term_first_index;
}

/* Returns whether the confirmed voters would be a quorum after ADDED
   confirmed voters join and REMOVED voters leave.  REMOVED_CONFIRMED of the
   leaving voters are confirmed.  */
static bool
has_quorum_after (const pu_replica_t *r, uint64_t now, int added, int removed,
                  int removed_confirmed)
{
  const pu_log_config *c = pu_r_config (r);
  int voters = (int)pu_log_config_count_voters (c) + added - removed;
  int live = added - removed_confirmed;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      live += pu_log_role_is_voting (m->role) && is_confirmed (r, m, now);
    }
  return voters > 0 && live >= voters / 2 + 1;
}

/* Appends a copy of the configuration in which member I has ROLE, or is
   removed if REMOVE, and the target number of voters is changed by
   TARGET_DELTA.  */
static void
change_member (pu_replica_t *r, uint64_t now, guint i, pu_log_role role,
               bool remove, int target_delta)
{
  pu_log_config c;
  guint n;

  pu_log_config_copy (&c, pu_r_config (r));
  n = c.members.members_len;
  c.target += (u_int)target_delta;
  c.members.members_val[i].role = role;
  if (remove)
    {
      pu_log_peer_clear (&c.members.members_val[i].peer);
      memmove (&c.members.members_val[i], &c.members.members_val[i + 1],
               (n - i - 1) * sizeof (pu_log_member));
      c.members.members_len = n - 1;
    }
  append_config (r, &c);
  pu_log_config_clear (&c);
  pu_r_reconcile_progress (r, now);
}

/* Appends a copy of the configuration with the target number of voters raised
   by STEP.  */
static void
raise_target (pu_replica_t *r, uint64_t now, int step)
{
  pu_log_config c;

  pu_log_config_copy (&c, pu_r_config (r));
  c.target += (u_int)step;
  append_config (r, &c);
  pu_log_config_clear (&c);
  pu_r_reconcile_progress (r, now);
}

/* Returns whether a voter that was added later than member I has the same
   name.  */
static bool
has_successor (const pu_log_config *c, guint i)
{
  for (guint k = i + 1; k < c->members.members_len; k++)
    {
      if (c->members.members_val[k].role == PU_LOG_VOTER
          && strcmp (c->members.members_val[k].peer.name,
                     c->members.members_val[i].peer.name)
                 == 0)
        return true;
    }
  return false;
}

enum
{
  NO_MEMBER = -1
};

/* Returns the priority of removing member I; the highest is removed first,
   and 0 means that the member stays.  */
static int
removal_rank (const pu_replica_t *r, const pu_log_config *c, guint i,
              uint64_t now)
{
  const pu_log_member *m = &c->members.members_val[i];

  if (m->role == PU_LOG_LEAVING)
    return 3;
  if (m->role != PU_LOG_VOTER)
    return 0;
  if (has_successor (c, i) && is_unresponsive (r, m, now))
    return 2;
  return is_lost (r, m, now) ? 1 : 0;
}

/* Returns the position of the member to remove first, or NO_MEMBER.  Only
   members whose removal leaves a quorum of confirmed voters are considered.  A
   voter is confirmed if it has lost no entries and has recently answered a
   message that was sent after the configuration in force was committed; this
   replica itself is always confirmed (see is_confirmed).  */
static int
removal_candidate (const pu_replica_t *r, const pu_log_config *c, uint64_t now)
{
  int best = NO_MEMBER;
  int best_rank = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      int rank = removal_rank (r, c, i, now);
      int live = is_confirmed (r, &c->members.members_val[i], now);

      if (rank > best_rank && has_quorum_after (r, now, 0, 1, live))
        {
          best = (int)i;
          best_rank = rank;
        }
    }
  return best;
}

static bool
remove_surplus_voter (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  int i = removal_candidate (r, c, now);

  if (pu_log_config_count_voters (c) <= c->target || i == NO_MEMBER)
    return false;
  if (c->members.members_val[i].peer.id == r->self.id)
    {
      pu_replica_transfer_leadership (r, now);
      return true;
    }
  change_member (r, now, (guint)i, PU_LOG_LEARNER, true, 0);
  return true;
}

/* Returns whether a caught-up learner may replace voter I.  The learner must
   have been chosen by an operator or have the name of the voter, unless ANY
   is true.  */
static bool
has_replacement (const pu_replica_t *r, const pu_log_config *c, guint i,
                 bool any, uint64_t now)
{
  const char *name = c->members.members_val[i].peer.name;

  for (guint k = 0; k < c->members.members_len; k++)
    {
      const pu_log_member *m = &c->members.members_val[k];

      if (pu_log_role_is_voting (m->role) || !is_caught_up (r, m, now))
        continue;
      if (any || m->role == PU_LOG_CHOSEN || strcmp (m->peer.name, name) == 0)
        return true;
    }
  return false;
}

/* Removes an unresponsive voter for which a replacement is ready, before the
   replacement is added.  In this order the live voters never need a larger
   quorum than before, and losing the replacement in between does no harm.  */
static bool
remove_unresponsive_voter (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);

  if (pu_log_config_count_voters (c) > c->target)
    return false;
  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      if (!pu_log_role_is_voting (m->role) || !is_unresponsive (r, m, now)
          || !has_replacement (r, c, i, is_lost (r, m, now), now)
          || !has_quorum_after (r, now, 0, 1, 0))
        continue;
      change_member (r, now, i, m->role, true, 0);
      return true;
    }
  return false;
}

static bool
has_role (const pu_log_config *c, pu_log_role role)
{
  for (guint i = 0; i < c->members.members_len; i++)
    {
      if (c->members.members_val[i].role == role)
        return true;
    }
  return false;
}

/* Returns the priority of promoting member I to a voter; the highest is
   promoted first, and 0 means that the member stays as it is.  */
static int
promotion_rank (const pu_replica_t *r, const pu_log_config *c, guint i,
                uint64_t now)
{
  const pu_log_member *m = &c->members.members_val[i];
  uint32_t voters = pu_log_config_count_voters (c);

  if (pu_log_role_is_voting (m->role) || !is_caught_up (r, m, now))
    return 0;
  if (voters >= c->target && !has_role (c, PU_LOG_LEAVING))
    return 0;
  if (m->role == PU_LOG_CHOSEN)
    return 2;
  return has_role (c, PU_LOG_CHOSEN) ? 0 : 1;
}

static bool
promote_learner (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  int best = NO_MEMBER;
  int best_rank = 0;

  if (pu_log_config_count_voters (c) > c->target)
    return false;
  for (guint i = 0; i < c->members.members_len; i++)
    {
      int rank = promotion_rank (r, c, i, now);

      if (rank > best_rank)
        {
          best = (int)i;
          best_rank = rank;
        }
    }
  if (best == NO_MEMBER || !has_quorum_after (r, now, 1, 0, 0))
    return false;
  change_member (r, now, (guint)best, PU_LOG_VOTER, false, 0);
  return true;
}

/* Returns the number of caught-up learners.  */
static uint32_t
count_caught_up_learners (const pu_replica_t *r, const pu_log_config *c,
                          uint64_t now)
{
  uint32_t n = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      n += !pu_log_role_is_voting (m->role) && is_caught_up (r, m, now);
    }
  return n;
}

/* Raises the target number of voters, up to voters_wanted, if enough learners
   are caught up.  The target stays odd, since one more voter than an odd
   number tolerates no further failure.  */
static bool
grow_target (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  uint32_t step = c->target % 2 == 0 ? 1 : 2;

  if (c->target + step > r->o.voters_wanted
      || pu_log_config_count_voters (c) < c->target
      || count_caught_up_learners (r, c, now) < step)
    return false;
  raise_target (r, now, (int)step);
  return true;
}

static bool
remove_lost_learner (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      if (pu_log_role_is_voting (m->role) || !is_lost (r, m, now))
        continue;
      change_member (r, now, i, m->role, true, 0);
      return true;
    }
  return false;
}

void
pu_r_adjust_voters (pu_replica_t *r, uint64_t now)
{
  if (!may_change_config (r))
    return;
  if (r->committed_config_index != pu_r_config_index (r))
    {
      r->committed_config_index = pu_r_config_index (r);
      r->config_committed_at = now;
    }
  if (remove_surplus_voter (r, now))
    return;
  if (remove_unresponsive_voter (r, now))
    return;
  if (promote_learner (r, now))
    return;
  if (grow_target (r, now))
    return;
  remove_lost_learner (r, now);
}

/* Adding of learners, on the leader, and hello messages.  */

static void
remove_learners_named (pu_log_config *c, const char *name)
{
  for (guint i = c->members.members_len; i-- > 0;)
    {
      pu_log_member *m = &c->members.members_val[i];

      if (pu_log_role_is_voting (m->role) || strcmp (m->peer.name, name) != 0)
        continue;
      pu_log_peer_clear (&m->peer);
      memmove (m, m + 1,
               (c->members.members_len - i - 1) * sizeof (pu_log_member));
      c->members.members_len--;
    }
}

static void
add_learner (pu_replica_t *r, uint64_t now, const pu_log_peer *peer)
{
  pu_log_config c;
  guint n;

  if (!may_change_config (r))
    return;
  pu_log_config_copy (&c, pu_r_config (r));
  remove_learners_named (&c, peer->name);
  n = c.members.members_len;
  if (n < PU_LOG_MEMBERS_MAX)
    {
      c.members.members_val
          = realloc (c.members.members_val, (n + 1) * sizeof (pu_log_member));
      c.members.members_val[n].role = PU_LOG_LEARNER;
      pu_log_peer_copy (&c.members.members_val[n].peer, peer);
      c.members.members_len = n + 1;
      append_config (r, &c);
      pu_r_reconcile_progress (r, now);
    }
  pu_log_config_clear (&c);
}

void
pu_r_send_rejoin (pu_replica_t *r, const pu_log_peer *to)
{
  pu_log_body b = { .kind = PU_LOG_REJOIN };

  pu_r_send (r, to, &b);
}

static void
leader_on_hello (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  if (pu_log_config_find_member (pu_r_config (r), m->from.id) != NULL)
    return;
  if (m->body.pu_log_body_u.hello.fresh)
    {
      add_learner (r, now, &m->from);
    }
  else if (!may_change_config (r) || !pu_replica_holds_lease (r, now)
           || m->cluster != r->cluster)
    {
      return;
    }
  else if (m->term > r->term)
    {
      /* Step down and adopt the sender's higher term, to be elected again in
         a term above it.  */
      pu_r_become_follower (r, now, m->term, NULL);
    }
  else
    {
      pu_r_send_rejoin (r, &m->from);
    }
}

void
pu_r_on_hello (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  pu_log_body b = { .kind = PU_LOG_WELCOME };
  pu_log_peer no_leader = { .name = "", .address = "" };

  if (m->body.pu_log_body_u.hello.first && is_uninitialized (r))
    record_uninitialized (r, now, &m->from);
  if (r->role == PU_ROLE_LEADER)
    {
      leader_on_hello (r, now, m);
      return;
    }
  b.pu_log_body_u.welcome.first = is_uninitialized (r) && r->initial;
  b.pu_log_body_u.welcome.leader = r->leader.id != 0 ? r->leader : no_leader;
  pu_r_send (r, &m->from, &b);
}

void
pu_r_on_welcome (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_welcome *w = &m->body.pu_log_body_u.welcome;

  if (w->first && is_uninitialized (r))
    record_uninitialized (r, now, &m->from);
  if (w->leader.id != 0 && w->leader.id != r->self.id
      && r->role != PU_ROLE_LEADER)
    send_hello (r, &w->leader);
}

/* Configuration changes by an operator.  */

static int
find_member (const pu_log_config *c, const char *name, bool voting)
{
  for (guint i = c->members.members_len; i-- > 0;)
    {
      if (pu_log_role_is_voting (c->members.members_val[i].role) == voting
          && strcmp (c->members.members_val[i].peer.name, name) == 0)
        return (int)i;
    }
  return NO_MEMBER;
}

static bool
add_voter (pu_replica_t *r, uint64_t now, const char *name, pu_error_t *e)
{
  int i = find_member (pu_r_config (r), name, false);

  if (i == NO_MEMBER)
    {
      return pu_error_set (e, PU_ERROR_NOT_FOUND,
                           "no learner is called \"%s\"", name);
    }
  if (pu_r_config (r)->target + 1 >= PU_LOG_MEMBERS_MAX)
    return pu_error_set (e, PU_ERROR_INVALID, "too many voters");
  change_member (r, now, (guint)i, PU_LOG_CHOSEN, false, 1);
  return true;
}

static bool
remove_voter (pu_replica_t *r, uint64_t now, const char *name, pu_error_t *e)
{
  int i = find_member (pu_r_config (r), name, true);

  if (i == NO_MEMBER)
    {
      return pu_error_set (e, PU_ERROR_NOT_FOUND, "no voter is called \"%s\"",
                           name);
    }
  if (pu_r_config (r)->target <= 1)
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "the last voter cannot be removed");
    }
  change_member (r, now, (guint)i, PU_LOG_LEAVING, false, -1);
  return true;
}

static bool
replace_voter (pu_replica_t *r, uint64_t now, const char *name,
               const char *with, pu_error_t *e)
{
  const pu_log_config *old = pu_r_config (r);
  int i = find_member (old, name, true);
  int k = find_member (old, with, false);
  pu_log_config c;

  if (i == NO_MEMBER || k == NO_MEMBER)
    {
      return pu_error_set (e, PU_ERROR_NOT_FOUND, "no %s is called \"%s\"",
                           i == NO_MEMBER ? "voter" : "learner",
                           i == NO_MEMBER ? name : with);
    }
  pu_log_config_copy (&c, old);
  c.members.members_val[i].role = PU_LOG_LEAVING;
  c.members.members_val[k].role = PU_LOG_CHOSEN;
  append_config (r, &c);
  pu_log_config_clear (&c);
  pu_r_reconcile_progress (r, now);
  return true;
}

bool
pu_replica_change_voters (pu_replica_t *r, uint64_t now,
                          pu_voters_change_t change, const char *name,
                          const char *with, pu_error_t *e)
{
  if (r->role != PU_ROLE_LEADER)
    return pu_error_set (e, PU_ERROR_UNAVAILABLE, "not the leader");
  if (!may_change_config (r))
    {
      return pu_error_set (e, PU_ERROR_UNAVAILABLE,
                           "another membership change is in progress");
    }
  switch (change)
    {
    case PU_VOTERS_ADD:
      return add_voter (r, now, name, e);
    case PU_VOTERS_REMOVE:
      return remove_voter (r, now, name, e);
    case PU_VOTERS_REPLACE:
      return replace_voter (r, now, name, with, e);
    }
  return false;
}
