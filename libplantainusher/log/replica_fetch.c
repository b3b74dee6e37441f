#include "log/replica_private.h"

#include <string.h>
#include <xxhash.h>

/*
 * Snapshot transfer.  The leader names a seeder in its heartbeats: another
 * member that has a snapshot new enough, in turn; itself only when there is
 * none.  The one that lags pulls chunk after chunk from there.
 */

enum
{
  STALL_BEATS = 8, /* no byte for so many beats: the next seeder */
  ASK_BEATS = 2,   /* a chunk not answered is asked for again */
};

static bool
can_seed (const pu_replica_t *r, const pu_progress_t *p,
          const pu_progress_t *target, uint64_t now)
{
  return p != target && !p->refused && p->snapshot >= r->base
         && p->snapshot > 0
         && now <= p->heard + STALL_BEATS * (uint64_t)r->o.heartbeat_ms;
}

/* The seeder at TURN, counting those that can; the leader comes last.  */
static uint64_t
seeder_at (const pu_replica_t *r, const pu_progress_t *target, uint32_t turn,
           uint64_t now)
{
  uint64_t can[PU_LOG_MEMBERS_MAX + 1];
  uint32_t n = 0;

  for (guint i = 0; i < r->progress->len && n < PU_LOG_MEMBERS_MAX; i++)
    {
      const pu_progress_t *p = &g_array_index (r->progress, pu_progress_t, i);

      if (can_seed (r, p, target, now))
        can[n++] = p->id;
    }
  can[n++] = r->self.id;
  return can[turn % n];
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
  else if (now
           > p->fetch_progress_at + STALL_BEATS * (uint64_t)r->o.heartbeat_ms)
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

/* The side that lags.  */

void
pu_r_fetch_stop (pu_replica_t *r)
{
  pu_log_peer_clear (&r->fetching.from);
  g_clear_pointer (&r->fetching.data, g_byte_array_unref);
  memset (&r->fetching, 0, sizeof r->fetching);
}

static void
ask (pu_replica_t *r, uint64_t now)
{
  pu_log_body b = { .kind = PU_LOG_FETCH };

  b.pu_log_body_u.fetch.index = r->fetching.index;
  b.pu_log_body_u.fetch.offset = r->fetching.data->len;
  r->fetching.asked_at = now;
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
  ask (r, now);
}

void
pu_r_fetch_tick (pu_replica_t *r, uint64_t now)
{
  if (r->fetching.from.id != 0
      && now > r->fetching.asked_at + ASK_BEATS * (uint64_t)r->o.heartbeat_ms)
    ask (r, now);
}

static void
start_snapshot (pu_replica_t *r, const pu_log_chunk *c)
{
  g_byte_array_set_size (r->fetching.data, 0);
  r->fetching.index = c->index;
  r->fetching.term = c->index_term;
  r->fetching.total = c->total;
  r->fetching.hash = c->hash;
}

static void
finish_snapshot (pu_replica_t *r, uint64_t now, const pu_log_chunk *c)
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
    start_snapshot (r, c);
  if (c->offset != f->data->len || c->offset + c->data.data_len > c->total)
    return;
  g_byte_array_append (f->data, (const guint8 *)c->data.data_val,
                       c->data.data_len);
  if (f->data->len == f->total)
    {
      finish_snapshot (r, now, c);
    }
  else if (c->data.data_len > 0)
    {
      ask (r, now);
    }
}

/* The seeder.  */

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
