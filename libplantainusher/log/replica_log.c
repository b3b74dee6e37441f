#include "log/replica_private.h"

#include <string.h>

void
pu_snapshot_clear (pu_snapshot_t *s)
{
  pu_log_config_clear (&s->config);
  if (s->data != NULL)
    g_bytes_unref (s->data);
  memset (s, 0, sizeof *s);
}

void
pu_snapshot_copy (pu_snapshot_t *to, const pu_snapshot_t *from)
{
  to->index = from->index;
  to->term = from->term;
  to->data = from->data != NULL ? g_bytes_ref (from->data) : NULL;
  pu_log_config_copy (&to->config, &from->config);
}

uint64_t
pu_r_last_index (const pu_replica_t *r)
{
  return r->base + r->entries->len;
}

const pu_record_t *
pu_replica_entry (const pu_replica_t *r, uint64_t index)
{
  if (index <= r->base || index > pu_r_last_index (r))
    return NULL;
  return g_ptr_array_index (r->entries, index - r->base - 1);
}

uint64_t
pu_r_term_at (const pu_replica_t *r, uint64_t index, bool *known)
{
  const pu_record_t *n = pu_replica_entry (r, index);

  *known = true;
  if (n != NULL)
    return n->term;
  if (index == r->base)
    return r->base_term;
  *known = false;
  return 0;
}

uint64_t
pu_r_last_term (const pu_replica_t *r)
{
  bool known;

  return pu_r_term_at (r, pu_r_last_index (r), &known);
}

/* Configurations.  The newest configuration in the log is in force, whether
   or not it is committed.  */

static pu_config_entry_t *
newest_config (const pu_replica_t *r)
{
  return &g_array_index (r->configs, pu_config_entry_t, r->configs->len - 1);
}

const pu_log_config *
pu_r_config (const pu_replica_t *r)
{
  return &newest_config (r)->config;
}

uint64_t
pu_r_config_index (const pu_replica_t *r)
{
  return newest_config (r)->index;
}

const pu_log_config *
pu_r_config_at (const pu_replica_t *r, uint64_t index)
{
  guint i = r->configs->len;

  while (i > 1
         && g_array_index (r->configs, pu_config_entry_t, i - 1).index > index)
    i--;
  return &g_array_index (r->configs, pu_config_entry_t, i - 1).config;
}

void
pu_r_push_config (pu_replica_t *r, uint64_t index, const pu_log_config *c)
{
  pu_config_entry_t at = { .index = index };

  pu_log_config_copy (&at.config, c);
  g_array_append_val (r->configs, at);
  if (r->cluster == 0)
    r->cluster = c->cluster;
}

static void
drop_configs_from (pu_replica_t *r, uint64_t first)
{
  while (r->configs->len > 1 && newest_config (r)->index >= first)
    {
      pu_log_config_clear (&newest_config (r)->config);
      g_array_set_size (r->configs, r->configs->len - 1);
    }
}

static void
drop_configs_before (pu_replica_t *r, uint64_t index)
{
  while (r->configs->len > 1
         && g_array_index (r->configs, pu_config_entry_t, 1).index <= index)
    {
      pu_log_config_clear (
          &g_array_index (r->configs, pu_config_entry_t, 0).config);
      g_array_remove_index (r->configs, 0);
    }
}

static void
push_decoded_config (pu_replica_t *r, const pu_record_t *n)
{
  pu_log_config c = { 0 };

  if (n->type != PU_LOG_CONFIG
      || !pu_xdr_decode ((xdrproc_t)xdr_pu_log_config, &c, n->data, n->len))
    return;
  pu_r_push_config (r, n->index, &c);
  pu_log_config_clear (&c);
}

void
pu_r_append (pu_replica_t *r, pu_record_t *n)
{
  uint64_t cluster = r->cluster;

  g_ptr_array_add (r->entries, n);
  r->bytes_since_snapshot += sizeof *n + n->len;
  push_decoded_config (r, n);
  if (r->cluster != cluster)
    pu_r_save_meta (r);
}

static void
limit_pending_writes (pu_replica_t *r, uint64_t last)
{
  for (GList *l = r->pending_writes.head; l != NULL; l = l->next)
    {
      pu_pending_write_t *w = l->data;

      w->last_index = MIN (w->last_index, last);
    }
}

void
pu_r_truncate (pu_replica_t *r, uint64_t first)
{
  uint64_t keep = first - 1;

  for (uint64_t i = first; i <= pu_r_last_index (r); i++)
    {
      r->bytes_since_snapshot
          -= MIN (r->bytes_since_snapshot,
                  sizeof (pu_record_t) + pu_replica_entry (r, i)->len);
    }
  g_ptr_array_set_size (r->entries, (gint)(keep - r->base));
  r->written = MIN (r->written, keep);
  r->durable = MIN (r->durable, keep);
  r->matched_leader_index = MIN (r->matched_leader_index, keep);
  limit_pending_writes (r, keep);
  drop_configs_from (r, first);
}

/* Passes all entries that were not passed on yet to the journal as one
   write.  */
void
pu_r_flush_writes (pu_replica_t *r)
{
  uint64_t last = pu_r_last_index (r);
  pu_action_t *a;
  pu_pending_write_t *w;

  if (r->stopped || r->installing != 0 || r->written >= last)
    return;
  a = pu_r_push_action (r, PU_ACTION_WRITE);
  a->ticket = ++r->last_ticket;
  a->write.commit = r->commit;
  a->write.entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
  for (uint64_t i = r->written + 1; i <= last; i++)
    {
      g_ptr_array_add (a->write.entries,
                       pu_record_ref (pu_replica_entry (r, i)));
    }
  r->written = last;
  w = g_new (pu_pending_write_t, 1);
  w->ticket = a->ticket;
  w->last_index = last;
  g_queue_push_tail (&r->pending_writes, w);
}

void
pu_r_advance_commit (pu_replica_t *r, uint64_t commit)
{
  commit = MIN (commit, pu_r_last_index (r));
  if (commit <= r->commit)
    return;
  for (uint64_t i = r->commit + 1; i <= commit; i++)
    {
      r->uncommitted_bytes
          -= MIN (r->uncommitted_bytes, pu_replica_entry (r, i)->len);
    }
  r->commit = commit;
}

/* Snapshots.  All members take snapshots with the same period, at indexes
   that are staggered by the member's position in the configuration.  */

static uint32_t
own_position (const pu_replica_t *r, const pu_log_config *c)
{
  for (guint i = 0; i < c->members.members_len; i++)
    {
      if (c->members.members_val[i].peer.id == r->self.id)
        return i;
    }
  return 0;
}

static bool
snapshot_due (const pu_replica_t *r)
{
  const pu_log_config *c = pu_r_config (r);
  uint32_t members = MAX (c->members.members_len, 1);
  uint32_t rank = r->o.snapshot_unstaggered ? 0 : own_position (r, c);
  uint64_t period = r->o.snapshot_entries;
  uint64_t phase = period * rank / members;
  uint64_t limit = r->o.snapshot_bytes
                   + r->o.snapshot_bytes * rank / (2 * (uint64_t)members);

  if (r->snapshot_requested || r->installing != 0
      || r->applied == r->snapshot.index || r->applied <= r->no_snapshot_up_to)
    return false;
  if (r->bytes_since_snapshot >= limit)
    return true;
  return (r->applied + period - phase) / period
         > (r->snapshot.index + period - phase) / period;
}

void
pu_r_flush_applies (pu_replica_t *r)
{
  pu_action_t *a;

  if (r->stopped)
    return;
  if (r->applied < r->commit)
    {
      a = pu_r_push_action (r, PU_ACTION_APPLY);
      a->apply.first = r->applied + 1;
      a->apply.last = r->commit;
      r->applied = r->commit;
    }
  if (snapshot_due (r))
    {
      r->snapshot_requested = true;
      a = pu_r_push_action (r, PU_ACTION_TAKE_SNAPSHOT);
      a->take.index = r->applied;
    }
}

void
pu_replica_snapshot_taken (pu_replica_t *r, uint64_t index, GBytes *data)
{
  bool known;
  pu_action_t *a;

  if (!r->snapshot_requested || r->installing != 0
      || index <= r->snapshot.index || data == NULL)
    {
      r->snapshot_requested = false;
      r->no_snapshot_up_to = MAX (r->no_snapshot_up_to, index);
      return;
    }
  pu_snapshot_clear (&r->unsaved_snapshot);
  r->unsaved_snapshot.index = index;
  r->unsaved_snapshot.term = pu_r_term_at (r, index, &known);
  r->unsaved_snapshot.data = g_bytes_ref (data);
  pu_log_config_copy (&r->unsaved_snapshot.config, pu_r_config_at (r, index));
  a = pu_r_push_action (r, PU_ACTION_SAVE_SNAPSHOT);
  pu_snapshot_copy (&a->save.snapshot, &r->unsaved_snapshot);
}

/* Discards the entries that the snapshot covers, except the last
   keep_entries of them.  */
static void
compact_log (pu_replica_t *r)
{
  uint64_t index = r->snapshot.index;
  uint64_t base = index - MIN (index, r->o.keep_entries);
  bool known;

  r->bytes_since_snapshot = 0;
  for (uint64_t i = index + 1; i <= pu_r_last_index (r); i++)
    {
      r->bytes_since_snapshot
          += sizeof (pu_record_t) + pu_replica_entry (r, i)->len;
    }
  if (base <= r->base)
    return;
  r->base_term = pu_r_term_at (r, base, &known);
  g_ptr_array_remove_range (r->entries, 0, (guint)(base - r->base));
  r->base = base;
  drop_configs_before (r, base);
}

void
pu_replica_snapshot_saved (pu_replica_t *r, uint64_t now, uint64_t index)
{
  (void)now;
  if (r->stopped)
    return;
  if (r->installing != 0 && r->installing == index)
    {
      r->installing = 0;
      r->durable = index;
      pu_r_reply_append (r, true, 0);
      return;
    }
  if (index == 0 || r->unsaved_snapshot.index != index)
    return;
  r->snapshot_requested = false;
  pu_snapshot_clear (&r->snapshot);
  r->snapshot = r->unsaved_snapshot;
  memset (&r->unsaved_snapshot, 0, sizeof r->unsaved_snapshot);
  compact_log (r);
}

static void
replace_configs (pu_replica_t *r, uint64_t index, const pu_log_config *c)
{
  drop_configs_from (r, 0);
  pu_log_config_clear (&newest_config (r)->config);
  g_array_set_size (r->configs, 0);
  pu_r_push_config (r, index, c);
}

/* Replaces the log by the snapshot S, which must be newer than the commit
   index.  Takes over the contents of S.  */
void
pu_r_install_snapshot (pu_replica_t *r, pu_snapshot_t *s)
{
  pu_action_t *a;

  g_queue_clear_full (&r->pending_writes, g_free);
  pu_r_drop_deferred_sends (r);
  pu_snapshot_clear (&r->unsaved_snapshot);
  pu_snapshot_clear (&r->snapshot);
  r->snapshot_requested = false;
  r->snapshot = *s;
  g_ptr_array_set_size (r->entries, 0);
  r->base = s->index;
  r->base_term = s->term;
  r->bytes_since_snapshot = 0;
  r->commit = s->index;
  r->applied = s->index;
  r->written = s->index;
  r->matched_leader_index = s->index;
  r->installing = s->index;
  replace_configs (r, s->index, &s->config);
  a = pu_r_push_action (r, PU_ACTION_SAVE_SNAPSHOT);
  a->save.installed = true;
  pu_snapshot_copy (&a->save.snapshot, &r->snapshot);
}
