#include "log/group.h"

#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base/breaks.h"
#include "base/log.h"
#include "log/commit_watch.h"

enum
{
  TICKS_PER_HEARTBEAT = 5,
  CLOSE_POLL_MS = 2,
  MS_PER_SECOND = 1000,
  NS_PER_MS = 1000000,
};

/* A proposal whose outcome is not known yet.  */
typedef struct
{
  uint64_t index;
  uint64_t term;
  pu_group_done_fn *done;
  void *data;
} pu_proposal_t;

struct pu_group
{
  pu_group_options_t o;
  char *folder;
  pu_log_peer self;
  GArray *initial; /* pu_log_peer */
  pu_journal_t *journal;
  pu_replica_t *replica;
  GQueue proposals; /* pu_proposal_t *, in order of index */
  /* last index applied by the state machine; never decreases */
  uint64_t applied;
  bool rejoin_pending; /* replace this voter's identity once the journal is
                          idle */
  bool had_log;        /* the folder holds files of an earlier identity */
  pu_commit_watch_t commit_watch;
  uv_timer_t timer;
  uv_idle_t idle; /* active while actions may be pending */
  bool closing;
  int open_handles;
  void (*closed) (void *data);
  void *closed_data;
};

void
pu_group_options_init (pu_group_options_t *o)
{
  memset (o, 0, sizeof *o);
  pu_replica_options_init (&o->replica);
}

/* CLOCK_BOOTTIME advances while the instance is suspended, so that a lease
   expires during a suspension.  */
static uint64_t
boot_time_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (uint64_t)t.tv_sec * MS_PER_SECOND + (uint64_t)t.tv_nsec / NS_PER_MS;
}

static uint64_t
now_ms (const pu_group_t *g)
{
  return g->o.now != NULL ? g->o.now (g->o.data) : boot_time_ms ();
}

/* Completion of proposals.  */

static void
complete_proposal (pu_proposal_t *p, pu_error_kind_t kind)
{
  p->done (p->index, kind, p->data);
  g_free (p);
}

static void
complete_all_proposals (pu_group_t *g, pu_error_kind_t kind)
{
  GQueue all = g->proposals;
  pu_proposal_t *p;

  g_queue_init (&g->proposals);
  while ((p = g_queue_pop_head (&all)) != NULL)
    complete_proposal (p, kind);
}

/* Completes the proposals up to INDEX, where an entry of TERM was committed.
   The proposal at INDEX succeeded if it was proposed in TERM; any other
   proposal was replaced by another entry.  */
static void
complete_proposals_through (pu_group_t *g, uint64_t index, uint64_t term)
{
  pu_proposal_t *p;

  while ((p = g_queue_peek_head (&g->proposals)) != NULL && p->index <= index)
    {
      g_queue_pop_head (&g->proposals);
      complete_proposal (p, p->index == index && p->term == term
                                ? PU_OK
                                : PU_ERROR_UNAVAILABLE);
    }
}

/* Execution of the replica's actions.  */

static void
apply_entries (pu_group_t *g, uint64_t first, uint64_t last)
{
  for (uint64_t i = first; i <= last; i++)
    {
      const pu_record_t *n = pu_replica_entry (g->replica, i);

      if (n == NULL)
        return;
      if (i > g->applied)
        {
          if (n->type == PU_LOG_DATA)
            g->o.apply (i, n->data, n->len, g->o.data);
          g->applied = i;
        }
      complete_proposals_through (g, i, n->term);
    }
}

/* Takes a snapshot of the state machine at INDEX, if possible.  After a
   rejoin the replica replays entries that the state machine has applied
   before.  Until the replica has caught up, a snapshot of the state machine
   would be ahead of INDEX, so none is taken.  */
static void
take_snapshot (pu_group_t *g, uint64_t index)
{
  GBytes *b = NULL;

  if (index == g->applied)
    b = g->o.take_snapshot (index, g->o.data);
  pu_replica_snapshot_taken (g->replica, index, b);
  if (b != NULL)
    g_bytes_unref (b);
}

static bool
restore_snapshot (pu_group_t *g, const pu_snapshot_t *s)
{
  pu_error_t e = { 0 };
  gsize n;
  const void *p;

  if (s->index <= g->applied)
    return true;
  p = g_bytes_get_data (s->data, &n);
  if (!g->o.restore (s->index, p, n, g->o.data, &e))
    {
      pu_log_warn ("log", "The state machine rejected a snapshot: %s.",
                   e.message);
      return false;
    }
  g->applied = s->index;
  return true;
}

static void
save_snapshot (pu_group_t *g, const pu_action_t *a)
{
  if (a->save.installed && !restore_snapshot (g, &a->save.snapshot))
    {
      pu_replica_fail (g->replica);
      return;
    }
  pu_journal_queue_snapshot (g->journal, &a->save.snapshot, a->save.installed);
}

static void
on_role_change (pu_group_t *g, const pu_action_t *a)
{
  pu_log_note ("log", "%s %s in term %" G_GUINT64_FORMAT " (%s).",
               g->self.name, a->role.leader ? "leads" : "leads no more",
               a->role.term, pu_role_cause_name (a->role.cause));
  if (!a->role.leader)
    complete_all_proposals (g, PU_ERROR_TIMEOUT);
  if (g->o.role != NULL)
    g->o.role (a->role.leader, a->role.term, g->o.data);
}

static void
execute_action (pu_group_t *g, const pu_action_t *a)
{
  switch (a->kind)
    {
    case PU_ACTION_SEND:
      g->o.send (&a->send.to, a->send.msg, g->o.data);
      break;
    case PU_ACTION_WRITE:
      pu_journal_queue_entries (g->journal, a->ticket, a->write.entries,
                                a->write.commit);
      break;
    case PU_ACTION_WRITE_META:
      pu_journal_queue_meta (g->journal, a->ticket, &a->meta.meta);
      break;
    case PU_ACTION_SAVE_SNAPSHOT:
      save_snapshot (g, a);
      break;
    case PU_ACTION_TAKE_SNAPSHOT:
      take_snapshot (g, a->take.index);
      break;
    case PU_ACTION_APPLY:
      apply_entries (g, a->apply.first, a->apply.last);
      break;
    case PU_ACTION_ROLE_CHANGED:
      on_role_change (g, a);
      break;
    case PU_ACTION_REJOIN:
      g->rejoin_pending = true;
      break;
    }
}

static void
execute_pending_actions (pu_group_t *g)
{
  pu_action_t a;

  while (!g->closing && pu_replica_next_action (g->replica, now_ms (g), &a))
    {
      execute_action (g, &a);
      pu_action_clear (&a);
    }
  if (!g->closing)
    pu_journal_start (g->journal);
}

static void
on_idle (uv_idle_t *h)
{
  uv_idle_stop (h);
  execute_pending_actions (h->data);
}

/* Schedules the pending actions for the loop's idle phase, so that all
   messages and proposals of one iteration are handled in one batch.  */
static void
schedule_actions (pu_group_t *g)
{
  if (!g->closing)
    uv_idle_start (&g->idle, on_idle);
}

/* Journal callbacks.  */

static void
on_journal_synced (uint64_t ticket, void *data)
{
  pu_group_t *g = data;

  pu_replica_synced (g->replica, now_ms (g), ticket);
  schedule_actions (g);
}

static void
on_journal_saved (uint64_t index, void *data)
{
  pu_group_t *g = data;

  pu_replica_snapshot_saved (g->replica, now_ms (g), index);
  schedule_actions (g);
}

static void
on_journal_failed (const pu_error_t *e, void *data)
{
  pu_group_t *g = data;

  (void)e;
  pu_replica_fail (g->replica);
  schedule_actions (g);
}

/* Opening of the folder, and the replica created from it.  */

static pu_journal_t *
open_journal (pu_group_t *g, pu_disk_image_t *image, pu_error_t *e)
{
  pu_journal_options_t o;

  pu_journal_options_init (&o);
  o.loop = g->o.loop;
  o.folder = g->folder;
  o.fs = g->o.fs;
  o.sync_each_entry = g->o.sync_each_entry;
  o.synced = on_journal_synced;
  o.saved = on_journal_saved;
  o.failed = on_journal_failed;
  o.data = g;
  pu_disk_image_init (image);
  return pu_journal_open (&o, image, e);
}

static uint64_t
random_identity (void)
{
  uint64_t id = 0;

  while (id == 0)
    {
      if (getrandom (&id, sizeof id, 0) != (ssize_t)sizeof id)
        id = 0;
    }
  return id;
}

/* Opens the journal in the folder.  A damaged journal is set aside and
   replaced by a new one with a new identity.  */
static bool
open_folder (pu_group_t *g, pu_disk_image_t *image, pu_error_t *e)
{
  pu_error_t open_error = { 0 };

  g->journal = open_journal (g, image, &open_error);
  if (g->journal == NULL && open_error.kind == PU_ERROR_CORRUPT)
    {
      pu_log_warn ("log",
                   "The journal is damaged (%s); it is set aside and %s "
                   "joins as a new voter.",
                   open_error.message, g->self.name);
      pu_disk_image_clear (image);
      if (!pu_journal_set_aside (g->folder, g->o.fs, e))
        return false;
      g->journal = open_journal (g, image, &open_error);
    }
  if (g->journal == NULL)
    {
      if (e != NULL)
        *e = open_error;
      return false;
    }
  g->had_log = pu_journal_had_identity (g->folder, g->o.fs);
  if (image->meta.id == 0)
    {
      image->meta.id = random_identity ();
      return pu_journal_create (g->journal, image->meta.id, e);
    }
  return true;
}

static pu_replica_t *
create_replica (pu_group_t *g, const pu_disk_image_t *image)
{
  pu_replica_options_t o = g->o.replica;

  o.self = g->self;
  o.initial = (const pu_log_peer *)(const void *)g->initial->data;
  o.n_initial = g->initial->len;
  o.seed ^= image->meta.id;
  o.had_log = g->had_log;
  return pu_replica_new (&o, image, now_ms (g));
}

/* Creates the journal and the replica from the folder.  The state machine is
   not reset, because its state never includes uncommitted entries.  */
static bool
open_replica (pu_group_t *g, pu_error_t *e)
{
  pu_disk_image_t image = { 0 };
  bool ok = open_folder (g, &image, e);

  if (ok && image.snapshot.index > 0 && !restore_snapshot (g, &image.snapshot))
    {
      ok = pu_error_set (e, PU_ERROR_CORRUPT,
                         "the state machine rejected its snapshot");
    }
  if (ok)
    g->replica = create_replica (g, &image);
  pu_disk_image_clear (&image);
  return ok;
}

/* Replaces a retired identity by a new one once the journal is idle.  */
static void
rejoin_as_new_voter (pu_group_t *g)
{
  pu_error_t e = { 0 };

  if (pu_journal_busy (g->journal))
    return;
  pu_log_warn ("log",
               "The other voters have no place for this disk; it is set aside "
               "and %s joins as a new voter.",
               g->self.name);
  g->rejoin_pending = false;
  g_clear_pointer (&g->journal, pu_journal_free);
  if (pu_journal_set_aside (g->folder, g->o.fs, &e))
    {
      pu_replica_t *retired = g_steal_pointer (&g->replica);

      if (open_replica (g, &e))
        {
          pu_replica_free (retired);
          return;
        }
      g->replica = retired;
    }
  pu_log_warn ("log", "Rejoining as a new voter failed: %s.", e.message);
}

static void
on_timer (uv_timer_t *h)
{
  pu_group_t *g = h->data;

  if (g->rejoin_pending)
    rejoin_as_new_voter (g);
  if (g->journal == NULL)
    return;
  pu_replica_tick (g->replica, now_ms (g));
  execute_pending_actions (g);
  pu_commit_watch_update (&g->commit_watch, g->replica, now_ms (g));
}

static void
copy_options (pu_group_t *g, const pu_group_options_t *o)
{
  g->o = *o;
  g->folder = g_strdup (o->folder);
  g->o.folder = g->folder;
  pu_log_peer_copy (&g->self, &o->replica.self);
  g->initial = g_array_new (FALSE, TRUE, sizeof (pu_log_peer));
  for (size_t i = 0; i < o->replica.n_initial; i++)
    {
      pu_log_peer p;

      pu_log_peer_copy (&p, &o->replica.initial[i]);
      g_array_append_val (g->initial, p);
    }
}

static void
free_group (pu_group_t *g)
{
  pu_replica_free (g->replica);
  pu_journal_free (g->journal);
  for (guint i = 0; i < g->initial->len; i++)
    pu_log_peer_clear (&g_array_index (g->initial, pu_log_peer, i));
  g_array_unref (g->initial);
  pu_log_peer_clear (&g->self);
  g_free (g->folder);
  g_free (g);
}

pu_group_t *
pu_group_new (const pu_group_options_t *o, pu_error_t *e)
{
  pu_group_t *g = g_new0 (pu_group_t, 1);
  uint64_t period = MAX (o->replica.heartbeat_ms / TICKS_PER_HEARTBEAT, 1);

  copy_options (g, o);
  g_queue_init (&g->proposals);
  if (!open_replica (g, e))
    {
      free_group (g);
      return NULL;
    }
  uv_timer_init (o->loop, &g->timer);
  uv_idle_init (o->loop, &g->idle);
  g->timer.data = g;
  g->idle.data = g;
  g->open_handles = 2;
  uv_timer_start (&g->timer, on_timer, period, period);
  execute_pending_actions (g);
  return g;
}

/* Closing of the group.  */

static void
on_handle_closed (uv_handle_t *h)
{
  pu_group_t *g = h->data;
  void (*closed) (void *) = g->closed;
  void *data = g->closed_data;

  if (--g->open_handles > 0)
    return;
  free_group (g);
  if (closed != NULL)
    closed (data);
}

static void
on_close_timer (uv_timer_t *h)
{
  pu_group_t *g = h->data;

  if (g->journal != NULL && pu_journal_busy (g->journal))
    return;
  uv_close ((uv_handle_t *)&g->timer, on_handle_closed);
  uv_close ((uv_handle_t *)&g->idle, on_handle_closed);
}

void
pu_group_close (pu_group_t *g, void (*closed) (void *data), void *data)
{
  if (g->closing)
    return;
  g->closing = true;
  g->closed = closed;
  g->closed_data = data;
  complete_all_proposals (g, PU_ERROR_TIMEOUT);
  if (g->journal != NULL)
    pu_journal_stop (g->journal);
  uv_idle_stop (&g->idle);
  uv_timer_start (&g->timer, on_close_timer, 0, CLOSE_POLL_MS);
}

/* Received messages, proposals and requests of operators.  */

bool
pu_group_receive (pu_group_t *g, const void *bytes, size_t len, pu_error_t *e)
{
  pu_log_msg m;

  if (g->closing)
    return true;
  if (!pu_log_msg_decode (&m, bytes, len, e))
    return false;
  pu_replica_receive (g->replica, now_ms (g), &m);
  xdr_free ((xdrproc_t)xdr_pu_log_msg, (char *)&m);
  schedule_actions (g);
  return true;
}

bool
pu_group_propose (pu_group_t *g, const void *bytes, size_t len,
                  pu_group_done_fn *done, void *data, pu_error_t *e)
{
  pu_proposal_t *p;
  uint64_t index;

  if (g->closing)
    {
      return pu_error_set (e, PU_ERROR_UNAVAILABLE,
                           "this voter is shutting down");
    }
  if (!pu_replica_propose (g->replica, now_ms (g), bytes, len, &index, e))
    return false;
  p = g_new (pu_proposal_t, 1);
  p->index = index;
  p->term = pu_replica_term (g->replica);
  p->done = done;
  p->data = data;
  g_queue_push_tail (&g->proposals, p);
  schedule_actions (g);
  return true;
}

void
pu_group_begin_stop (pu_group_t *g)
{
  pu_replica_begin_stop (g->replica, now_ms (g));
  schedule_actions (g);
}

void
pu_group_transfer_leadership (pu_group_t *g)
{
  pu_replica_transfer_leadership (g->replica, now_ms (g));
  schedule_actions (g);
}

static bool
change_voters (pu_group_t *g, pu_voters_change_t change, const char *name,
               const char *with, pu_error_t *e)
{
  bool ok = pu_replica_change_voters (g->replica, now_ms (g), change, name,
                                      with, e);

  schedule_actions (g);
  return ok;
}

bool
pu_group_voters_add (pu_group_t *g, const char *name, pu_error_t *e)
{
  return change_voters (g, PU_VOTERS_ADD, name, "", e);
}

bool
pu_group_voters_remove (pu_group_t *g, const char *name, pu_error_t *e)
{
  return change_voters (g, PU_VOTERS_REMOVE, name, "", e);
}

bool
pu_group_voters_replace (pu_group_t *g, const char *name, const char *with,
                         pu_error_t *e)
{
  return change_voters (g, PU_VOTERS_REPLACE, name, with, e);
}

/* Functions that return the state of the group.  */

uint64_t
pu_group_read_from (pu_group_t *g, uint64_t after, size_t bytes_max,
                    pu_group_apply_fn *fn, void *data)
{
  uint64_t last = MIN (pu_replica_commit_index (g->replica), g->applied);
  size_t given = 0;

  if (after >= last)
    return after;
  if (after + 1 < pu_replica_first_index (g->replica))
    return 0;
  while (after < last)
    {
      const pu_record_t *n = pu_replica_entry (g->replica, after + 1);

      if (given > 0 && given + n->len > bytes_max)
        break;
      if (n->type == PU_LOG_DATA)
        {
          fn (n->index, n->data, n->len, data);
          given += n->len;
        }
      after++;
    }
  return after;
}

bool
pu_group_holds_lease (pu_group_t *g)
{
  if (pu_break_active (PU_BREAK_LEASE_IGNORED))
    return pu_group_is_leader (g);
  return !g->closing && pu_replica_holds_lease (g->replica, now_ms (g));
}

uint64_t
pu_group_quorum_silent_ms (pu_group_t *g)
{
  return pu_replica_quorum_silent_ms (g->replica, now_ms (g));
}

uint64_t
pu_group_leader_silent_ms (pu_group_t *g)
{
  return pu_replica_leader_silent_ms (g->replica, now_ms (g));
}

bool
pu_group_is_leader (const pu_group_t *g)
{
  return !g->closing && pu_replica_is_leader (g->replica);
}

uint64_t
pu_group_term (const pu_group_t *g)
{
  return pu_replica_term (g->replica);
}

const pu_log_peer *
pu_group_leader (const pu_group_t *g)
{
  return pu_replica_leader (g->replica);
}

const pu_log_config *
pu_group_config (const pu_group_t *g)
{
  return pu_replica_config (g->replica);
}

uint64_t
pu_group_config_index (const pu_group_t *g)
{
  return pu_replica_config_index (g->replica);
}

void
pu_group_add_seed (pu_group_t *g, const char *address)
{
  pu_replica_add_seed (g->replica, address);
}

uint64_t
pu_group_commit_lag_ms (const pu_group_t *g)
{
  return pu_replica_commit_lag_ms (g->replica, now_ms (g));
}

uint64_t
pu_group_commit_index (const pu_group_t *g)
{
  return pu_replica_commit_index (g->replica);
}

static const char *
role_name (pu_log_role role)
{
  switch (role)
    {
    case PU_LOG_LEARNER:
      return "learner";
    case PU_LOG_CHOSEN:
      return "chosen";
    case PU_LOG_VOTER:
      return "voter";
    case PU_LOG_LEAVING:
      return "leaving";
    }
  return "unknown";
}

static json_t *
hex_id (uint64_t id)
{
  return json_sprintf ("%016" G_GINT64_MODIFIER "x", (guint64)id);
}

static json_t *
voters_status (pu_group_t *g)
{
  const pu_log_config *c = pu_replica_config (g->replica);
  json_t *all = json_array ();

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_member *m = &c->members.members_val[i];
      uint64_t match = 0;
      uint64_t silent = 0;
      json_t *one = json_pack ("{s:s, s:o, s:s, s:s}", "name", m->peer.name,
                               "id", hex_id (m->peer.id), "address",
                               m->peer.address, "role", role_name (m->role));

      if (pu_replica_peer_state (g->replica, m->peer.id, now_ms (g), &match,
                                 &silent))
        {
          json_object_set_new (one, "match", json_integer ((json_int_t)match));
          json_object_set_new (one, "silent_ms",
                               json_integer ((json_int_t)silent));
        }
      json_array_append_new (all, one);
    }
  return all;
}

static json_t *
journal_status (const pu_group_t *g)
{
  pu_journal_stats_t s = { 0 };

  if (g->journal != NULL)
    pu_journal_stats (g->journal, &s);
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I}", "segments",
                    (json_int_t)s.segments, "bytes", (json_int_t)s.bytes,
                    "syncs", (json_int_t)s.syncs, "batches",
                    (json_int_t)s.batches, "entries", (json_int_t)s.entries,
                    "sync_us", (json_int_t)s.sync_us);
}

static const char *
own_role (const pu_group_t *g)
{
  const pu_log_member *m = pu_log_config_find_member (
      pu_replica_config (g->replica), pu_replica_self (g->replica)->id);

  if (pu_replica_is_leader (g->replica))
    return "leader";
  return m != NULL ? role_name (m->role) : "joining";
}

json_t *
pu_group_status (pu_group_t *g)
{
  const pu_replica_t *r = g->replica;
  const pu_log_peer *leader = pu_replica_leader (r);
  json_t *s = json_pack ("{s:i, s:s, s:o, s:s, s:I, s:s, s:b, s:b}", "group",
                         (int)g->o.replica.group, "name", g->self.name, "id",
                         hex_id (pu_replica_self (r)->id), "role",
                         own_role (g), "term", (json_int_t)pu_replica_term (r),
                         "leader", leader != NULL ? leader->name : "", "lease",
                         pu_group_holds_lease (g), "failed",
                         pu_replica_failed (r) || g->journal == NULL
                             || pu_journal_failed (g->journal));

  json_object_set_new (s, "commit",
                       json_integer ((json_int_t)pu_replica_commit_index (r)));
  json_object_set_new (s, "applied", json_integer ((json_int_t)g->applied));
  json_object_set_new (s, "first",
                       json_integer ((json_int_t)pu_replica_first_index (r)));
  json_object_set_new (s, "last",
                       json_integer ((json_int_t)pu_replica_last_index (r)));
  json_object_set_new (
      s, "synced", json_integer ((json_int_t)pu_replica_durable_index (r)));
  json_object_set_new (
      s, "snapshot", json_integer ((json_int_t)pu_replica_snapshot_index (r)));
  json_object_set_new (s, "voters", voters_status (g));
  json_object_set_new (s, "journal", journal_status (g));
  return s;
}
