#include "control/control_private.h"

#include <string.h>
#include <xxhash.h>

/* Upper limit of the wait that a poll asks for.  */
#define POLL_WAIT_MAX_MS 30000

/* A voter that has lacked committed entries for longer than this, for example
   because its disk is full, or may lack them because it has heard of no leader
   for so long, refuses polls, so that the daemons poll another voter.  Entries
   are in force within two seconds on the platform, so the limit is well below
   that; a slow disk sync and lost heartbeats end within the limit.  */
#define VOTER_LAG_MAX_MS 500

/* Upper limit of the bytes of entries in one reply.  */
#define REPLY_ENTRIES_MAX_BYTES ((size_t)4 << 20)

/* The same for a daemon that fetches larger entries and images in chunks.  */
#define REPLY_INLINE_MAX_BYTES ((size_t)32 << 10)

/* An entry or image over this size is bulk data: it is fetched in chunks, or
   sent whole to a daemon that does not fetch, and waits while too much is in
   flight.  */
#define BULK_MIN_BYTES ((size_t)4 << 10)

/* Replies between two notifications that are logged: those of a twentieth of a
   second on a link of 100 Mbit/s.  */
#define ROUND_LOGGED_MIN_BYTES ((size_t)512 << 10)

typedef enum
{
  POLL_WHOLE,  /* entries and images are sent whole */
  POLL_DELTAS, /* entries may be sent as deltas */
  POLL_BLOBS   /* the same, and bulk data is fetched in chunks */
} poll_kind_t;

typedef struct
{
  pu_control_t *control;
  pu_rpc_call_t *call;
  GList node; /* in control->polls */
  poll_kind_t kind;
  char *reader; /* name of the daemon */
  uint64_t position;
  uint64_t voters_hash;
  bool needs_state;  /* the daemon has no usable state */
  bool bulk_waits;   /* its reply waits until bulk data may be sent */
  uint64_t deadline; /* latest time of the reply, ms */
} poll_t;

/* --- content of a reply --- */

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

/* reply_set_voters - fills in the voters, unless their hash is KNOWN_HASH,
   that of the voters that the daemon knows.  */
static void
reply_set_voters (pu_poll_reply *r, const pu_group_t *group,
                  uint64_t known_hash, pu_voter *voters)
{
  const pu_log_config *config = pu_group_config (group);
  u_int n = 0;

  r->cluster = config->cluster;
  r->voters_at = pu_group_config_index (group);
  r->voters_hash = voters_hash (config);
  if (r->voters_hash == known_hash)
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

/* is_first_election - whether this voter started less than startup_grace_ms
   ago and has not known a leader since.  A voter that has lost its leader may
   be partitioned and does not count.  */
static bool
is_first_election (const pu_control_t *c)
{
  return !c->heard_leader
         && pu_control_now (c) < c->started + c->options.startup_grace_ms;
}

/* select_image_state - returns the state to send to a daemon that has no
   usable one, or NULL.  An image makes a daemon ready.  A voter without a
   leader may be partitioned or have no state yet, so it must not send its own.
   In its first election a voter sends the state that its daemon has saved:
   until a leader announces the commit index, the log is applied only up to its
   snapshot, and the saved state is newer.  */
static const pu_state_t *
select_image_state (const pu_control_t *c)
{
  const pu_state_t *saved = NULL;

  if (pu_control_leader_address (c)[0] != '\0')
    return c->state;
  if (is_first_election (c) && c->options.public_state != NULL)
    saved = c->options.public_state (c->options.public_state_data);
  return saved;
}

/* read_entries - reads the entries after POSITION that a reply to a poll of
   KIND may carry inline, into c->answer_entries.  */
static guint
read_entries (const pu_control_t *c, poll_kind_t kind, uint64_t position)
{
  pu_feed_limits_t limits = { .entries_max = PU_CONTROL_LIST_MAX,
                              .bytes_max = REPLY_ENTRIES_MAX_BYTES,
                              .deltas = kind != POLL_WHOLE };

  if (kind == POLL_BLOBS)
    {
      limits.bytes_max = REPLY_INLINE_MAX_BYTES;
      limits.entry_bytes_max = BULK_MIN_BYTES;
    }
  return pu_feed_read (c->feed, position, c->answer_entries, &limits);
}

/* is_newest - whether the last of the N entries read after POSITION is the
   newest that there is.  */
static bool
is_newest (const pu_control_t *c, guint n, uint64_t position)
{
  uint64_t last = n > 0 ? c->answer_entries[n - 1].position : position;

  return last >= pu_feed_newest (c->feed);
}

/* image_fits - whether the cached image may be sent to a daemon that polls
   with KIND and lacks STATE: it is STATE's, or the entries after it, which
   bring it up to date, are few enough to be sent along.  */
static bool
image_fits (const pu_control_t *c, const pu_state_t *state, poll_kind_t kind)
{
  if (c->image == NULL || c->image_of != state)
    return false;
  if (c->image_position == pu_state_position (state))
    return true;
  return kind == POLL_BLOBS && state == c->state
         && g_bytes_get_size (c->image) > BULK_MIN_BYTES
         && pu_feed_covers (c->feed, c->image_position)
         && is_newest (c, read_entries (c, kind, c->image_position),
                       c->image_position);
}

/* get_public_image - encodes the public part of STATE, or returns the cached
   image.  The bytes belong to C.  */
static GBytes *
get_public_image (pu_control_t *c, const pu_state_t *state, poll_kind_t kind)
{
  if (image_fits (c, state, kind))
    return c->image;
  if (c->image != NULL)
    g_bytes_unref (c->image);
  c->image = pu_state_encode (state, true);
  c->image_position = pu_state_position (state);
  c->image_of = state;
  return c->image;
}

/* reply_set_blob - fills in a blob of CONTENT, see pu_blobs_get.  */
static void
reply_set_blob (pu_control_t *c, pu_blob_reply *r, bool image,
                uint64_t position, GBytes *content)
{
  r->blobs.blobs_val
      = (pu_blob *)pu_blobs_get (c->blobs, image, position, content);
  r->blobs.blobs_len = 1;
}

/* reply_set_image - fills in an image, and the entries after it.  Returns
   false if this voter has no state to send.  */
static bool
reply_set_image (pu_control_t *c, const poll_t *p, pu_blob_reply *r)
{
  const pu_state_t *state = select_image_state (c);
  GBytes *image;
  gsize size;

  if (state == NULL || pu_state_position (state) == 0)
    return false;
  image = get_public_image (c, state, p->kind);
  r->reply.position = pu_state_position (state);
  if (p->kind != POLL_BLOBS || g_bytes_get_size (image) <= BULK_MIN_BYTES)
    {
      r->reply.image.image_val = (char *)g_bytes_get_data (image, &size);
      r->reply.image.image_len = (u_int)size;
      return true;
    }
  reply_set_blob (c, r, true, c->image_position, image);
  if (c->image_position < pu_state_position (state))
    {
      r->reply.entries.entries_val = c->answer_entries;
      r->reply.entries.entries_len
          = read_entries (c, p->kind, c->image_position);
    }
  return true;
}

/* needs_image - whether P needs an image because entries alone cannot bring
   the daemon up to date.  */
static bool
needs_image (const pu_control_t *c, const poll_t *p)
{
  return p->needs_state || !pu_feed_covers (c->feed, p->position);
}

/* reply_set_bulk_entry - fills in the entry after POSITION as a blob, if it is
   too large for the reply.  */
static bool
reply_set_bulk_entry (pu_control_t *c, uint64_t position, pu_blob_reply *r)
{
  pu_feed_limits_t first = { .entries_max = 1, .deltas = true };
  pu_public_entry entry;
  GBytes *content;

  if (pu_feed_read (c->feed, position, &entry, &first) == 0
      || entry.command.command_len <= BULK_MIN_BYTES)
    return false;
  content = g_bytes_new_static (entry.command.command_val,
                                entry.command.command_len);
  reply_set_blob (c, r, false, entry.position, content);
  g_bytes_unref (content);
  r->reply.position = entry.position;
  return true;
}

/* reply_set_updates - fills in the entries or the image that P lacks, and the
   position up to which the daemon is up to date after this reply.  Returns
   false if there is nothing to send.  */
static bool
reply_set_updates (pu_control_t *c, const poll_t *p, pu_blob_reply *r)
{
  uint64_t last = p->position;
  guint n;

  r->reply.position = pu_state_position (c->state);
  if (needs_image (c, p))
    {
      if (reply_set_image (c, p, r))
        return true;
      r->reply.position = p->position;
      return false;
    }
  n = read_entries (c, p->kind, p->position);
  r->reply.entries.entries_val = c->answer_entries;
  r->reply.entries.entries_len = n;
  if (n > 0)
    last = c->answer_entries[n - 1].position;
  if (is_newest (c, n, p->position))
    return n > 0;
  /* A full reply ends early; the next reply has the remaining entries.  */
  if (p->kind == POLL_BLOBS && reply_set_bulk_entry (c, last, r))
    return true;
  r->reply.position = last;
  return n > 0;
}

/* reply_bulk_bytes - returns the bytes of R that are sent whole although they
   are bulk data; 0: none.  */
static size_t
reply_bulk_bytes (const pu_poll_reply *r)
{
  size_t bytes = r->image.image_len;

  for (u_int i = 0; i < r->entries.entries_len; i++)
    bytes += r->entries.entries_val[i].command.command_len;
  return bytes > REPLY_INLINE_MAX_BYTES ? bytes : 0;
}

/* must_reply_now - whether P must not wait for the next notification: it needs
   an image or lacks entries that other daemons were already sent.  */
static bool
must_reply_now (const pu_control_t *c, const poll_t *p)
{
  return needs_image (c, p) || pu_pace_is_stale (&c->pace, p->position);
}

static void
poll_free (poll_t *p)
{
  g_queue_unlink (&p->control->polls, &p->node);
  g_free (p->reader);
  g_free (p);
}

/* poll_refuse - refuses P, so that the daemon polls the next voter
   after a short pause instead of waiting for the end of P.  */
static void
poll_refuse (poll_t *p)
{
  pu_rpc_call_t *call = p->call;

  poll_free (p);
  pu_rpc_call_refuse (call);
}

/* leader_is_lost - whether this voter has heard of no leader for too long to
   know what is committed.  One that has just started is given time.  */
static bool
leader_is_lost (const pu_control_t *c)
{
  uint64_t ms = pu_group_leader_silent_ms (c->group);

  if (ms == G_MAXUINT64)
    return pu_control_now (c) >= c->started + c->options.startup_grace_ms;
  return ms > VOTER_LAG_MAX_MS;
}

/* voter_lags - whether this voter lacks committed entries, or may lack them,
   for too long to answer P.  No lag is tolerated for an image, because an
   image of an old state would make the daemon ready with that state.  */
static bool
voter_lags (const pu_control_t *c, const poll_t *p)
{
  uint64_t ms = pu_group_commit_lag_ms (c->group);

  if (leader_is_lost (c))
    return true;
  return needs_image (c, p) ? ms > 0 : ms > VOTER_LAG_MAX_MS;
}

/* reply_may_go - whether R may be sent to P now.  Bulk data waits while too
   much is in flight.  */
static bool
reply_may_go (poll_t *p, const pu_blob_reply *r)
{
  pu_control_t *c = p->control;
  size_t bytes = reply_bulk_bytes (&r->reply);

  p->bulk_waits
      = bytes > 0
        && !pu_control_bulk_admit (c, p->reader, bytes, pu_control_now (c));
  c->bulk_waits = c->bulk_waits || p->bulk_waits;
  return !p->bulk_waits;
}

static void
poll_reply (poll_t *p, pu_blob_reply *r)
{
  pu_control_t *c = p->control;
  pu_rpc_call_t *call = p->call;
  bool blobs = p->kind == POLL_BLOBS;
  pu_voter voters[PU_CONTROL_VOTERS_MAX];

  r->reply.leader = g_strdup (pu_control_leader_address (c));
  reply_set_voters (&r->reply, c->group, p->voters_hash, voters);
  poll_free (p);
  c->round_replies++;
  if (blobs)
    {
      c->round_bytes
          += pu_control_reply_xdr (call, (xdrproc_t)xdr_pu_blob_reply, r);
    }
  else
    {
      c->round_bytes += pu_control_reply_xdr (
          call, (xdrproc_t)xdr_pu_poll_reply, &r->reply);
    }
  g_free (r->reply.leader);
}

/* poll_process - answers P if there are updates or if FORCE is set; otherwise
   P stays pending.  Refuses P if this voter lags.  */
static void
poll_process (poll_t *p, bool force)
{
  pu_control_t *c = p->control;
  pu_blob_reply updates = { 0 };
  /* A position below the daemon's says that there is more to come.  */
  pu_blob_reply not_yet = { 0 };

  if (voter_lags (c, p))
    {
      poll_refuse (p);
      return;
    }
  if (reply_set_updates (c, p, &updates) && !reply_may_go (p, &updates))
    {
      if (force)
        poll_reply (p, &not_yet);
      return;
    }
  if (force || updates.blobs.blobs_len > 0
      || updates.reply.entries.entries_len > 0
      || updates.reply.image.image_len > 0)
    poll_reply (p, &updates);
}

/* --- pending polls --- */

static void
polls_process_all (pu_control_t *c, uint64_t now)
{
  GList *next;

  for (GList *l = c->polls.head; l != NULL; l = next)
    {
      poll_t *p = l->data;

      next = l->next;
      poll_process (p, now >= p->deadline);
    }
}

void
pu_control_polls_serve_bulk (pu_control_t *c)
{
  GList *next;

  if (!c->bulk_waits)
    return;
  c->bulk_waits = false;
  for (GList *l = c->polls.head; l != NULL; l = next)
    {
      poll_t *p = l->data;

      next = l->next;
      if (p->bulk_waits)
        poll_process (p, false);
    }
}

/* round_log - logs what was sent to daemons since the last notification, if
   that is much.  */
static void
round_log (pu_control_t *c)
{
  if (c->round_bytes >= ROUND_LOGGED_MIN_BYTES)
    {
      pu_log_event (PU_CONTROL_PART, "Sent many bytes to daemons.",
                    PU_LOG_NUMBER ("replies", c->round_replies),
                    PU_LOG_NUMBER ("bytes", c->round_bytes),
                    PU_LOG_NUMBER ("polls_waiting", c->polls.length));
    }
  c->round_replies = 0;
  c->round_bytes = 0;
}

static void
on_notify_timer (uv_timer_t *t)
{
  pu_control_t *c = t->data;
  uint64_t now = pu_control_now (c);

  pu_pace_mark_sent (&c->pace, pu_feed_newest (c->feed), now);
  polls_process_all (c, now);
  round_log (c);
}

void
pu_control_polls_init (pu_control_t *c)
{
  g_queue_init (&c->polls);
  c->answer_entries = g_new0 (pu_public_entry, PU_CONTROL_LIST_MAX);
  c->pace.gather_ms = c->options.gather_ms;
  c->answer_timer = pu_rpc_timer_new (c->options.loop, c);
}

void
pu_control_polls_clear (pu_control_t *c)
{
  poll_t *p;

  while ((p = g_queue_peek_head (&c->polls)) != NULL)
    poll_refuse (p);
  pu_rpc_timer_free (c->answer_timer);
  c->answer_timer = NULL;
  if (c->image != NULL)
    g_bytes_unref (c->image);
  c->image = NULL;
  g_clear_pointer (&c->answer_entries, g_free);
}

void
pu_control_polls_notify (pu_control_t *c, pu_pace_urgency_t urgency)
{
  uint64_t wait_ms;

  if (c->answer_timer == NULL)
    return;
  wait_ms = pu_pace_schedule (&c->pace, urgency, pu_control_now (c));
  /* Even without a delay the reply is left to the timer, so that entries that
     are applied together share one reply.  */
  uv_timer_start (c->answer_timer, on_notify_timer, wait_ms, 0);
}

/* log_lost_leader - logs when this voter begins or ceases to refuse all polls
   for want of a leader.  */
static void
log_lost_leader (pu_control_t *c)
{
  bool lost = leader_is_lost (c);

  if (lost && !c->leader_lost)
    {
      pu_log_event (
          PU_CONTROL_PART, "Refuses polls: no leader is heard.",
          PU_LOG_NUMBER ("term", pu_group_term (c->group)),
          PU_LOG_NUMBER ("silent_ms", pu_group_leader_silent_ms (c->group)),
          PU_LOG_NUMBER ("polls_waiting", c->polls.length));
    }
  else if (!lost && c->leader_lost)
    {
      pu_log_event (PU_CONTROL_PART, "Answers polls: a leader is heard.",
                    PU_LOG_NUMBER ("term", pu_group_term (c->group)),
                    PU_LOG_TEXT ("leader", pu_control_leader_address (c)));
    }
  c->leader_lost = lost;
}

void
pu_control_polls_tick (pu_control_t *c, uint64_t now)
{
  GList *next;

  log_lost_leader (c);
  for (GList *l = c->polls.head; l != NULL; l = next)
    {
      poll_t *p = l->data;

      next = l->next;
      if (now >= p->deadline || c->leader_lost)
        poll_process (p, now >= p->deadline);
    }
}

static void
on_poll_closed (void *data, pu_rpc_call_t *call)
{
  poll_free (data);
  pu_rpc_call_drop (call);
}

static void
handle_poll (pu_control_t *c, pu_rpc_call_t *call, const guint8 *body,
             size_t n, poll_kind_t kind)
{
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
  pu_control_chunks_received (c, args.name);
  p = g_new0 (poll_t, 1);
  p->control = c;
  p->call = call;
  p->kind = kind;
  p->reader = g_strdup (args.name);
  p->position = args.position;
  p->voters_hash = args.voters_hash;
  p->needs_state = args.fresh;
  p->deadline = now + MIN (args.wait_ms, POLL_WAIT_MAX_MS);
  p->node.data = p;
  xdr_free ((xdrproc_t)xdr_pu_poll, &args);
  g_queue_push_tail_link (&c->polls, &p->node);
  pu_rpc_call_on_close (call, on_poll_closed, p);
  if (p->deadline == now || voter_lags (c, p) || must_reply_now (c, p))
    poll_process (p, p->deadline == now);
}

void
pu_control_on_poll (void *data, pu_rpc_call_t *call, const guint8 *body,
                    size_t n)
{
  handle_poll (data, call, body, n, POLL_WHOLE);
}

void
pu_control_on_poll_deltas (void *data, pu_rpc_call_t *call, const guint8 *body,
                           size_t n)
{
  handle_poll (data, call, body, n, POLL_DELTAS);
}

void
pu_control_on_poll_blobs (void *data, pu_rpc_call_t *call, const guint8 *body,
                          size_t n)
{
  handle_poll (data, call, body, n, POLL_BLOBS);
}
