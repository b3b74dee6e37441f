#include "control/control_private.h"

#include <string.h>
#include <xxhash.h>

/* Longest wait of a poll, whatever it asks for.  */
#define WAIT_MAX_MS 30000

/* A voter that has not got committed entries for so long, as one whose disk is
   full, has no news for those who poll it: another voter has.  Entries are in
   force within two seconds on the platform; a slow sync is over earlier.  */
#define BEHIND_MAX_MS 500

/* Most bytes of entries in one answer.  */
#define ANSWER_BYTES_MAX ((size_t)4 << 20)

typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call;
  GList node; /* in control->polls */
  uint64_t position;
  uint64_t voters_hash;
  bool fresh;
  bool deltas;
  uint64_t due;
} poll_t;

/* --- what an answer holds --- */

static uint64_t
voters_hash (const pu_log_config *config)
{
  XXH64_state_t *h = XXH64_createState ();
  uint64_t hash;

  XXH64_reset (h, config->cluster);
  for (u_int i = 0; i < config->members.members_len; i++)
    {
      const pu_log_member *m = &config->members.members_val[i];

      if (!pu_log_role_is_voting (m->role))
        continue;
      XXH64_update (h, m->peer.name, strlen (m->peer.name) + 1);
      XXH64_update (h, m->peer.address, strlen (m->peer.address) + 1);
    }
  hash = XXH64_digest (h);
  XXH64_freeState (h);
  return hash;
}

/* put_voters - fills in the voters, unless the reader KNOWS them.  */
static void
put_voters (pu_poll_reply *r, const pu_group_t *group, uint64_t knows,
            pu_voter *voters)
{
  const pu_log_config *config = pu_group_config (group);
  u_int n = 0;

  r->cluster = config->cluster;
  r->voters_at = pu_group_config_index (group);
  r->voters_hash = voters_hash (config);
  if (r->voters_hash == knows)
    return;
  for (u_int i = 0; i < config->members.members_len; i++)
    {
      const pu_log_member *m = &config->members.members_val[i];

      if (!pu_log_role_is_voting (m->role) || n == PU_CONTROL_VOTERS_MAX)
        continue;
      voters[n].name = m->peer.name;
      voters[n].address = m->peer.address;
      n++;
    }
  r->voters.voters_val = voters;
  r->voters.voters_len = n;
}

/* is_electing - whether this voter has just started and heard of no leader
   yet.  One that has lost its leader may be cut off.  */
static bool
is_electing (const pu_control_t *c)
{
  return !c->heard_leader
         && pu_control_now (c) < c->started + c->options.startup_grace_ms;
}

/* image_state - the state that a daemon without one may be given; NULL when
   there is none worth having: a voter without a leader that may be cut off,
   or has nothing yet, must not make a daemon ready.  Until a leader tells what
   is committed, the log is applied up to its snapshot alone, and the daemon
   has kept a newer state.  */
static const pu_state_t *
image_state (const pu_control_t *c)
{
  const pu_state_t *kept = NULL;

  if (pu_control_leader_address (c)[0] != '\0')
    return c->state;
  if (is_electing (c) && c->options.kept != NULL)
    kept = c->options.kept (c->options.kept_data);
  return kept;
}

static GBytes *
public_image (pu_control_t *c, const pu_state_t *state)
{
  uint64_t position = pu_state_position (state);

  if (c->image != NULL && c->image_position == position)
    return c->image;
  if (c->image != NULL)
    g_bytes_unref (c->image);
  c->image = pu_state_encode (state, true);
  c->image_position = position;
  return c->image;
}

/* put_image - false when there is none.  */
static bool
put_image (pu_control_t *c, pu_poll_reply *r)
{
  const pu_state_t *state = image_state (c);
  gsize size;

  if (state == NULL || pu_state_position (state) == 0)
    return false;
  r->position = pu_state_position (state);
  r->image.image_val
      = (char *)g_bytes_get_data (public_image (c, state), &size);
  r->image.image_len = (u_int)size;
  return true;
}

/* needs_image - whether entries alone don't bring P up to date.  */
static bool
needs_image (const pu_control_t *c, const poll_t *p)
{
  return p->fresh || !pu_feed_covers (c->feed, p->position);
}

/* put_news - fills in what P does not have.  False when there is nothing.  The
   position says up to where the daemon has everything with this answer. */
static bool
put_news (pu_control_t *c, const poll_t *p, pu_poll_reply *r)
{
  guint n;

  r->position = pu_state_position (c->state);
  if (needs_image (c, p))
    {
      if (put_image (c, r))
        return true;
      r->position = p->position;
      return false;
    }
  n = pu_feed_read (c->feed, p->position, c->news, PU_CONTROL_LIST_MAX,
                    ANSWER_BYTES_MAX, p->deltas);
  r->entries.entries_val = c->news;
  r->entries.entries_len = n;
  /* The rest of a full answer comes with the next.  */
  if (n > 0 && c->news[n - 1].position != pu_feed_newest (c->feed))
    r->position = c->news[n - 1].position;
  return n > 0;
}

/* is_served - whether P is answered now: it lacks what others were told, or
   needs an image.  */
static bool
is_served (const pu_control_t *c, const poll_t *p)
{
  return needs_image (c, p) || pu_pace_is_late (&c->pace, p->position);
}

static void
poll_free (poll_t *p)
{
  g_queue_unlink (&p->control->polls, &p->node);
  g_free (p);
}

/* poll_refuse - the daemon polls the next voter at once.  */
static void
poll_refuse (poll_t *p)
{
  pu_rpc_call_t *call = p->call;

  poll_free (p);
  pu_rpc_call_refuse (call);
}

/* is_behind - whether others know more than this voter.  An image of an old
   state would make a daemon ready with it: there a moment is too long.  */
static bool
is_behind (const pu_control_t *c, const poll_t *p)
{
  uint64_t ms = pu_group_commit_lag_ms (c->group);

  return needs_image (c, p) ? ms > 0 : ms > BEHIND_MAX_MS;
}

/* poll_answer - answers P when there is news, or ANYWAY.  */
static void
poll_answer (poll_t *p, bool anyway)
{
  pu_control_t *c = p->control;
  pu_voter voters[PU_CONTROL_VOTERS_MAX];
  pu_rpc_call_t *call = p->call;
  pu_poll_reply r = { 0 };

  if (is_behind (c, p))
    {
      poll_refuse (p);
      return;
    }
  if (put_news (c, p, &r) || anyway)
    {
      r.leader = g_strdup (pu_control_leader_address (c));
      put_voters (&r, c->group, p->voters_hash, voters);
      poll_free (p);
      pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_poll_reply, &r);
      g_free (r.leader);
    }
}

/* --- those who wait --- */

static void
polls_answer (pu_control_t *c, uint64_t now)
{
  GList *next;

  for (GList *l = c->polls.head; l != NULL; l = next)
    {
      poll_t *p = l->data;

      next = l->next;
      poll_answer (p, now >= p->due);
    }
}

static void
on_answer (uv_timer_t *t)
{
  pu_control_t *c = t->data;
  uint64_t now = pu_control_now (c);

  pu_pace_tell (&c->pace, pu_feed_newest (c->feed), now);
  polls_answer (c, now);
}

void
pu_control_polls_init (pu_control_t *c)
{
  g_queue_init (&c->polls);
  c->news = g_new0 (pu_public_entry, PU_CONTROL_LIST_MAX);
  c->pace.gather_ms = c->options.gather_ms;
  c->answer = pu_rpc_timer_new (c->options.loop, c);
}

void
pu_control_polls_clear (pu_control_t *c)
{
  poll_t *p;

  while ((p = g_queue_peek_head (&c->polls)) != NULL)
    poll_refuse (p);
  pu_rpc_timer_free (c->answer);
  c->answer = NULL;
  if (c->image != NULL)
    g_bytes_unref (c->image);
  c->image = NULL;
  g_clear_pointer (&c->news, g_free);
}

void
pu_control_polls_notify (pu_control_t *c, pu_pace_urgency_t news)
{
  uint64_t wait_ms;

  if (c->answer == NULL)
    return;
  wait_ms = pu_pace_news (&c->pace, news, pu_control_now (c));
  /* Entries that are applied together are answered together.  */
  uv_timer_start (c->answer, on_answer, wait_ms, 0);
}

void
pu_control_polls_tick (pu_control_t *c, uint64_t now)
{
  GList *next;

  for (GList *l = c->polls.head; l != NULL; l = next)
    {
      poll_t *p = l->data;

      next = l->next;
      if (now >= p->due)
        poll_answer (p, true);
    }
}

static void
on_poll_closed (void *data, pu_rpc_call_t *call)
{
  poll_free (data);
  pu_rpc_call_drop (call);
}

static void
poll_begin (void *data, pu_rpc_call_t *call, const guint8 *body, size_t n,
            bool deltas)
{
  pu_control_t *c = data;
  uint64_t now = pu_control_now (c);
  pu_poll args;
  poll_t *p;

  if (!pu_codec_decode ((xdrproc_t)xdr_pu_poll, &args, sizeof args, body, n,
                        NULL))
    {
      pu_rpc_call_garbage (call);
      return;
    }
  pu_sessions_add_poll (c->sessions, &args, now);
  p = g_new0 (poll_t, 1);
  p->control = c;
  p->call = call;
  p->position = args.position;
  p->voters_hash = args.voters_hash;
  p->fresh = args.fresh;
  p->deltas = deltas;
  p->due = now + MIN (args.wait_ms, WAIT_MAX_MS);
  p->node.data = p;
  xdr_free ((xdrproc_t)xdr_pu_poll, &args);
  g_queue_push_tail_link (&c->polls, &p->node);
  pu_rpc_call_on_close (call, on_poll_closed, p);
  if (p->due == now || is_behind (c, p) || is_served (c, p))
    poll_answer (p, p->due == now);
}

void
pu_control_on_poll (void *data, pu_rpc_call_t *call, const guint8 *body,
                    size_t n)
{
  poll_begin (data, call, body, n, false);
}

void
pu_control_on_poll_deltas (void *data, pu_rpc_call_t *call, const guint8 *body,
                           size_t n)
{
  poll_begin (data, call, body, n, true);
}
