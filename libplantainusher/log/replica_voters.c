#include "log/replica_private.h"

#include <string.h>

/*
 * Who votes.
 *
 * The configuration says how many voters are wanted and what each member is.
 * The leader moves towards that one entry at a time, each committed before the
 * next.  A living voter goes after its caught-up substitute was added, a dead
 * one before.  A voter counts until it is removed, also when its disk is
 * gone.
 */

enum
{
  FRESH_ELECTIONS = 5, /* how long a seed's word that it is fresh holds */
  LOST_ELECTIONS = 3,  /* without a leader that long: ask around */
  GONE_ELECTIONS = 2,  /* silent that long: its successor may take over */
  CONFIRM_BEATS = 2,   /* an answer that old shows that it lives */
  CATCH_UP_GAP = 128,  /* entries behind that still count as caught up */
};

static bool
is_fresh (const pu_replica_t *r)
{
  return pu_r_config (r)->members.members_len == 0;
}

/* Greetings.  */

static void
send_hello (pu_replica_t *r, const pu_log_peer *to)
{
  pu_log_body b = { .kind = PU_LOG_HELLO };
  pu_log_peer any = *to;

  any.id = 0;
  b.pu_log_body_u.hello.fresh = is_fresh (r);
  b.pu_log_body_u.hello.first = is_fresh (r) && r->initial;
  pu_r_send (r, &any, &b);
}

void
pu_r_send_hellos (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  bool fresh = is_fresh (r);

  if (now < r->next_hello_at)
    return;
  if (!fresh
      && now < r->last_leader_contact
                   + LOST_ELECTIONS * (uint64_t)r->o.election_ms)
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

/* Whether FROM is the initial voter S, which has a name or is known by its
   address until it has said it.  */
static bool
is_seed (const pu_seed_t *s, const pu_log_peer *from)
{
  if (*s->peer.name == '\0')
    return strcmp (s->peer.address, from->address) == 0;
  return strcmp (s->peer.name, from->name) == 0;
}

static bool
is_known (const pu_replica_t *r, const char *address)
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

  /* Those who start a log wait for just the initial ones.  */
  if (r->initial || is_known (r, address))
    return;
  pu_log_peer_copy (&s.peer, &peer);
  g_array_append_val (r->seeds, s);
}

static void
note_fresh (pu_replica_t *r, uint64_t now, const pu_log_peer *from)
{
  for (guint i = 0; i < r->seeds->len; i++)
    {
      pu_seed_t *s = &g_array_index (r->seeds, pu_seed_t, i);

      if (!is_seed (s, from))
        continue;
      pu_log_peer_clear (&s->peer);
      pu_log_peer_copy (&s->peer, from);
      s->fresh_at = now;
    }
}

/* Starting a log: the initial voter with the least name does it, once, when
   every other initial voter has said that it never held a log either.  */

static bool
may_start (const pu_replica_t *r, uint64_t now)
{
  if (!is_fresh (r) || r->cluster != 0 || !r->initial)
    return false;
  for (guint i = 0; i < r->seeds->len; i++)
    {
      const pu_seed_t *s = &g_array_index (r->seeds, pu_seed_t, i);

      if (s->fresh_at == 0
          || now > s->fresh_at + FRESH_ELECTIONS * (uint64_t)r->o.election_ms
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
random_id (GRand *rand)
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

  if (!may_start (r, now))
    return;
  members[0].peer = r->self;
  members[0].role = PU_LOG_VOTER;
  for (guint i = 0; i < n; i++)
    {
      members[i + 1].peer = g_array_index (r->seeds, pu_seed_t, i).peer;
      members[i + 1].role = PU_LOG_VOTER;
    }
  c.cluster = random_id (r->rand);
  c.target = n + 1;
  c.members.members_len = n + 1;
  c.members.members_val = members;
  r->term = MAX (r->term, 1);
  r->vote = r->self.id;
  append_config (r, &c);
}

/* Changes.  */

static bool
may_change (const pu_replica_t *r)
{
  return r->role == PU_ROLE_LEADER && r->transfer_deadline == 0
         && pu_r_config_index (r) <= r->commit
         && r->commit >= r->term_first_index;
}

/* Silent for so long that a new identity of the same name is believed.  */
static bool
gone (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  return p != NULL
         && (p->refused
             || now > p->heard + GONE_ELECTIONS * (uint64_t)r->o.election_ms);
}

static bool
lost (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  if (m->peer.id == r->self.id)
    return false;
  return p != NULL && (p->refused || now > p->heard + r->o.replace_after_ms);
}

/* Whether M has answered since the configuration in force was committed, and
   lately.  */
static bool
confirmed (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  if (m->peer.id == r->self.id)
    return true;
  return p != NULL && !p->refused && p->acked_send_time > r->settled_at
         && now <= p->acked_send_time
                       + CONFIRM_BEATS * (uint64_t)r->o.heartbeat_ms;
}

static bool
caught_up (const pu_replica_t *r, const pu_log_member *m, uint64_t now)
{
  const pu_progress_t *p = pu_r_find_progress (r, m->peer.id);

  return p != NULL && confirmed (r, m, now)
         && p->match + CATCH_UP_GAP >= pu_r_last_index (r)
         && p->match >= r->term_first_index;
}

/* Whether the confirmed voters are a quorum when EXTRA confirmed ones join
   and LESS (of whom LIVING are confirmed) go.  */
static bool
quorum_after (const pu_replica_t *r, uint64_t now, int extra, int less,
              int living)
{
  const pu_log_config *c = pu_r_config (r);
  int voters = (int)pu_log_config_count_voters (c) + extra - less;
  int live = extra - living;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      live += pu_log_role_is_voting (m->role) && confirmed (r, m, now);
    }
  return voters > 0 && live >= voters / 2 + 1;
}

/* Appends a copy of the configuration in which member I has ROLE, or is gone
   when REMOVE.  */
static void
change_member (pu_replica_t *r, uint64_t now, guint i, pu_log_role role,
               bool remove, int target_step)
{
  pu_log_config c;
  guint n;

  pu_log_config_copy (&c, pu_r_config (r));
  n = c.members.members_len;
  c.target += (u_int)target_step;
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

/* Appends a copy of the configuration that wants STEP voters more.  */
static void
change_target (pu_replica_t *r, uint64_t now, int step)
{
  pu_log_config c;

  pu_log_config_copy (&c, pu_r_config (r));
  c.target += (u_int)step;
  append_config (r, &c);
  pu_log_config_clear (&c);
  pu_r_reconcile_progress (r, now);
}

/* A newer voter with the name of member I.  */
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
  NOBODY = -1
};

/* How much member I ought to go; 0 is not at all.  */
static int
surplus_rank (const pu_replica_t *r, const pu_log_config *c, guint i,
              uint64_t now)
{
  const pu_log_member *m = &c->members.members_val[i];

  if (m->role == PU_LOG_LEAVING)
    return 3;
  if (m->role != PU_LOG_VOTER)
    return 0;
  if (has_successor (c, i) && gone (r, m, now))
    return 2;
  return lost (r, m, now) ? 1 : 0;
}

/* Who ought to go first, of those without whom a living quorum is left.  */
static int
surplus_voter (const pu_replica_t *r, const pu_log_config *c, uint64_t now)
{
  int best = NOBODY;
  int best_rank = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      int rank = surplus_rank (r, c, i, now);
      int living = confirmed (r, &c->members.members_val[i], now);

      if (rank > best_rank && quorum_after (r, now, 0, 1, living))
        {
          best = (int)i;
          best_rank = rank;
        }
    }
  return best;
}

static bool
remove_surplus (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  int i = surplus_voter (r, c, now);

  if (pu_log_config_count_voters (c) <= c->target || i == NOBODY)
    return false;
  if (c->members.members_val[i].peer.id == r->self.id)
    {
      pu_replica_transfer_leadership (r, now);
      return true;
    }

  change_member (r, now, (guint)i, PU_LOG_LEARNER, true, 0);
  return true;
}

/* Whether a learner is ready to take the place of voter I: one that an
   operator chose, or one of the same name, or any when I is LOST.  */
static bool
has_substitute (const pu_replica_t *r, const pu_log_config *c, guint i,
                bool any, uint64_t now)
{
  const char *name = c->members.members_val[i].peer.name;

  for (guint k = 0; k < c->members.members_len; k++)
    {
      const pu_log_member *m = &c->members.members_val[k];

      if (pu_log_role_is_voting (m->role) || !caught_up (r, m, now))
        continue;
      if (any || m->role == PU_LOG_CHOSEN || strcmp (m->peer.name, name) == 0)
        return true;
    }
  return false;
}

/* Removes a dead voter for whom a substitute is ready, before that one is
   added: the quorum of those that live is no larger meanwhile than it was, and
   the loss of the substitute itself does no harm.  */
static bool
remove_dead (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);

  if (pu_log_config_count_voters (c) > c->target)
    return false;
  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      if (!pu_log_role_is_voting (m->role) || !gone (r, m, now)
          || !has_substitute (r, c, i, lost (r, m, now), now)
          || !quorum_after (r, now, 0, 1, 0))
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

/* How much learner I ought to become a voter; 0 is not at all.  */
static int
promotion_rank (const pu_replica_t *r, const pu_log_config *c, guint i,
                uint64_t now)
{
  const pu_log_member *m = &c->members.members_val[i];
  uint32_t voters = pu_log_config_count_voters (c);

  if (pu_log_role_is_voting (m->role) || !caught_up (r, m, now))
    return 0;
  if (voters >= c->target && !has_role (c, PU_LOG_LEAVING))
    return 0;
  if (m->role == PU_LOG_CHOSEN)
    return 2;
  return has_role (c, PU_LOG_CHOSEN) ? 0 : 1;
}

static bool
promote (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  int best = NOBODY;
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
  if (best == NOBODY || !quorum_after (r, now, 1, 0, 0))
    return false;
  change_member (r, now, (guint)best, PU_LOG_VOTER, false, 0);
  return true;
}

/* Learners that could vote now.  */
static uint32_t
spares (const pu_replica_t *r, const pu_log_config *c, uint64_t now)
{
  uint32_t n = 0;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      n += !pu_log_role_is_voting (m->role) && caught_up (r, m, now);
    }
  return n;
}

/* Wants more voters where learners are ready: as many as keep their number
   odd, since one more than that bears no loss more.  */
static bool
want_more (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);
  uint32_t step = c->target % 2 == 0 ? 1 : 2;

  if (c->target + step > r->o.voters_wanted
      || pu_log_config_count_voters (c) < c->target
      || spares (r, c, now) < step)
    return false;
  change_target (r, now, (int)step);
  return true;
}

static bool
drop_lost_learner (pu_replica_t *r, uint64_t now)
{
  const pu_log_config *c = pu_r_config (r);

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];

      if (pu_log_role_is_voting (m->role) || !lost (r, m, now))
        continue;
      change_member (r, now, i, m->role, true, 0);
      return true;
    }
  return false;
}

void
pu_r_adjust_voters (pu_replica_t *r, uint64_t now)
{
  if (!may_change (r))
    return;
  if (r->committed_config_index != pu_r_config_index (r))
    {
      r->committed_config_index = pu_r_config_index (r);
      r->settled_at = now;
    }
  if (remove_surplus (r, now))
    return;
  if (remove_dead (r, now))
    return;
  if (promote (r, now))
    return;
  if (want_more (r, now))
    return;
  drop_lost_learner (r, now);
}

/* Joining.  */

static void
drop_namesakes (pu_log_config *c, const char *name)
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

  if (!may_change (r))
    return;
  pu_log_config_copy (&c, pu_r_config (r));
  drop_namesakes (&c, peer->name);
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
  else if (!may_change (r) || !pu_replica_holds_lease (r, now)
           || m->cluster != r->cluster)
    {
      return;
    }
  else if (m->term > r->term)
    {
      pu_r_become_follower (r, now, m->term,
                            NULL); /* lead again above that term */
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
  pu_log_peer nobody = { .name = "", .address = "" };

  if (m->body.pu_log_body_u.hello.first && is_fresh (r))
    note_fresh (r, now, &m->from);
  if (r->role == PU_ROLE_LEADER)
    {
      leader_on_hello (r, now, m);
      return;
    }
  b.pu_log_body_u.welcome.first = is_fresh (r) && r->initial;
  b.pu_log_body_u.welcome.leader = r->leader.id != 0 ? r->leader : nobody;
  pu_r_send (r, &m->from, &b);
}

void
pu_r_on_welcome (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_welcome *w = &m->body.pu_log_body_u.welcome;

  if (w->first && is_fresh (r))
    note_fresh (r, now, &m->from);
  if (w->leader.id != 0 && w->leader.id != r->self.id
      && r->role != PU_ROLE_LEADER)
    send_hello (r, &w->leader);
}

/* An operator's change.  */

static int
find_name (const pu_log_config *c, const char *name, bool counts)
{
  for (guint i = c->members.members_len; i-- > 0;)
    {
      if (pu_log_role_is_voting (c->members.members_val[i].role) == counts
          && strcmp (c->members.members_val[i].peer.name, name) == 0)
        return (int)i;
    }
  return NOBODY;
}

static bool
add_voter (pu_replica_t *r, uint64_t now, const char *name, pu_error_t *e)
{
  int i = find_name (pu_r_config (r), name, false);

  if (i == NOBODY)
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
  int i = find_name (pu_r_config (r), name, true);

  if (i == NOBODY)
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
  int i = find_name (old, name, true);
  int k = find_name (old, with, false);
  pu_log_config c;

  if (i == NOBODY || k == NOBODY)
    {
      return pu_error_set (e, PU_ERROR_NOT_FOUND, "no %s is called \"%s\"",
                           i == NOBODY ? "voter" : "learner",
                           i == NOBODY ? name : with);
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
  if (!may_change (r))
    {
      return pu_error_set (e, PU_ERROR_UNAVAILABLE,
                           "another change of voters is under way");
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
