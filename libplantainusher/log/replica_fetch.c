#include "log/replica_private.h"

#include <string.h>
#include <xxhash.h>

/*
 * Snapshot transfer.  When a member needs entries that the leader has
 * compacted, the leader's heartbeats to it name a seeder: another member that
 * has a recent enough snapshot.  When the transfer stalls, the leader names
 * the next seeder; the leader itself comes last in that rotation.  The
 * lagging member requests the snapshot from the seeder chunk by chunk.
 */

enum
{
  /* The leader names the next seeder after this many heartbeat intervals
     without progress of the transfer, and considers only members that have
     replied within this many heartbeat intervals.  */
  STALL_HEARTBEATS = 8,
  /* An unanswered chunk request is repeated after this many heartbeat
     intervals.  */
  RETRY_HEARTBEATS = 2,
};

static bool
can_seed (const pu_replica_t *r, const pu_progress_t *p,
          const pu_progress_t *target, uint64_t now)
{
  return p != target && !p->lost_entries && p->snapshot >= r->base
         && p->snapshot > 0 && !pu_r_is_stopping (r, p->id, now)
         && now <= p->last_reply_at
                       + STALL_HEARTBEATS * (uint64_t)r->o.heartbeat_ms;
}

/* Returns the seeder at position TURN in the rotation over all possible
   seeders.  The leader is the last of them.  */
static uint64_t
seeder_at (const pu_replica_t *r, const pu_progress_t *target, uint32_t turn,
           uint64_t now)
{
  uint64_t candidates[PU_LOG_MEMBERS_MAX + 1];
  uint32_t n = 0;

  for (guint i = 0; i < r->progress->len && n < PU_LOG_MEMBERS_MAX; i++)
    {
      const pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      if (can_seed (r, p, target, now))
        candidates[n++] = p->id;
    }
  candidates[n++] = r->self.id;
  return candidates[turn % n];
}

void
pu_r_choose_seeder (pu_replica_t *r, pu_progress_t *p, uint64_t now)
{
  if (p->seeder == 0)
    {
      p->fetched = 0;
      p->fetch_progress_at = now;
      p->seeder_turn = 0;
    }
  else if (now > p->fetch_progress_at
                     + STALL_HEARTBEATS * (uint64_t)r->o.heartbeat_ms)
    {
      p->fetch_progress_at = now;
      p->seeder_turn++;
    }
  else
    {
      return;
    }
  p->seeder = seeder_at (r, p, p->seeder_turn, now);
}

/* Fetching of a snapshot, on the lagging member.  */

void
pu_r_fetch_stop (pu_replica_t *r)
{
  pu_log_peer_clear (&r->fetching.from);
  g_clear_pointer (&r->fetching.data, g_byte_array_unref);
  memset (&r->fetching, 0, sizeof r->fetching);
}

static void
request_chunk (pu_replica_t *r, uint64_t now)
{
  pu_log_body b = { .kind = PU_LOG_FETCH };

  b.pu_log_body_u.fetch.index = r->fetching.index;
  b.pu_log_body_u.fetch.offset = r->fetching.data->len;
  r->fetching.requested_at = now;
  pu_r_send (r, &r->fetching.from, &b);
}

void
pu_r_fetch_start (pu_replica_t *r, uint64_t now, const pu_log_peer *seeder)
{
  if (seeder->id == 0 || seeder->id == r->self.id
      || seeder->id == r->fetching.from.id)
    return;
  pu_r_fetch_stop (r);
  pu_log_peer_copy (&r->fetching.from, seeder);
  r->fetching.data = g_byte_array_new ();
  request_chunk (r, now);
}

void
pu_r_fetch_tick (pu_replica_t *r, uint64_t now)
{
  if (r->fetching.from.id != 0
      && now > r->fetching.requested_at
                   + RETRY_HEARTBEATS * (uint64_t)r->o.heartbeat_ms)
    request_chunk (r, now);
}

static void
reset_download (pu_replica_t *r, const pu_log_chunk *c)
{
  g_byte_array_set_size (r->fetching.data, 0);
  r->fetching.index = c->index;
  r->fetching.term = c->index_term;
  r->fetching.total = c->total;
  r->fetching.hash = c->hash;
}

static void
install_download (pu_replica_t *r, uint64_t now, const pu_log_chunk *c)
{
  pu_snapshot_t s = { 0 };
  GByteArray *data = g_steal_pointer (&r->fetching.data);

  pu_r_fetch_stop (r);
  if (XXH3_64bits (data->data, data->len) != c->hash)
    {
      g_byte_array_unref (data);
      return;
    }
  s.index = c->index;
  s.term = c->index_term;
  s.data = g_byte_array_free_to_bytes (data);
  pu_log_config_copy (&s.config, &c->config);
  if (r->role != PU_ROLE_FOLLOWER)
    pu_r_become_follower (r, now, r->term, NULL);
  pu_r_install_snapshot (r, &s);
  pu_r_reset_timeout (r, now);
}

void
pu_r_on_chunk (pu_replica_t *r, uint64_t now, const pu_log_msg *m)
{
  const pu_log_chunk *c = &m->body.pu_log_body_u.chunk;
  pu_snapshot_fetch_t *f = &r->fetching;

  if (f->from.id == 0 || f->from.id != m->from.id || r->installing != 0
      || r->role == PU_ROLE_LEADER)
    return;
  if (c->index <= r->commit || c->index_term > r->term)
    {
      pu_r_fetch_stop (r);
      return;
    }
  if (c->index != f->index || c->hash != f->hash || c->total != f->total)
    reset_download (r, c);
  if (c->offset != f->data->len || c->offset + c->data.data_len > c->total)
    return;
  g_byte_array_append (f->data, (const guint8 *)c->data.data_val,
                       c->data.data_len);
  if (f->data->len == f->total)
    {
      install_download (r, now, c);
    }
  else if (c->data.data_len > 0)
    {
      request_chunk (r, now);
    }
}

/* Sending of snapshot chunks, on the seeder.  */

static uint64_t
snapshot_hash (pu_replica_t *r, const char *data, gsize total)
{
  if (r->hash_index != r->snapshot.index)
    {
      r->hash = XXH3_64bits (data, total);
      r->hash_index = r->snapshot.index;
    }
  return r->hash;
}

void
pu_r_on_fetch (pu_replica_t *r, const pu_log_msg *m)
{
  const pu_log_fetch *f = &m->body.pu_log_body_u.fetch;
  pu_log_body b = { .kind = PU_LOG_CHUNK };
  pu_log_chunk *c = &b.pu_log_body_u.chunk;
  const char *data;
  gsize total;

  if (r->snapshot.index == 0 || r->installing != 0)
    return;
  data = g_bytes_get_data (r->snapshot.data, &total);
  c->index = r->snapshot.index;
  c->index_term = r->snapshot.term;
  c->offset = f->index == c->index && f->offset <= total ? f->offset : 0;
  c->total = total;
  c->hash = snapshot_hash (r, data, total);
  c->config = r->snapshot.config;
  c->data.data_val = (char *)data + c->offset;
  c->data.data_len = MIN (total - c->offset, PU_LOG_CHUNK_MAX);
  pu_r_send (r, &m->from, &b);
}
