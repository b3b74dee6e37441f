#include "entry/entry_private.h"

#include "base/breaks.h"

#include <string.h>

typedef struct
{
  const pu_entry_t *en;
  GArray *found; /* of pu_directory_member_t */
} members_sync_t;

static void
member_append (const pu_member_record *m, void *data)
{
  members_sync_t *members = data;
  bool self = strcmp (m->name, members->en->name) == 0;
  pu_directory_member_t one
      = { .name = m->name,
          .address = m->caller_address,
          .region = m->region,
          .zone = m->zone,
          .leaving = m->leaving || (self && members->en->leaving) };

  if (pu_break_active (PU_BREAK_LEAVING_NAMED))
    one.leaving = false;
  g_array_append_val (members->found, one);
}

static void
members_sync (pu_entry_t *en, const pu_state_t *view)
{
  members_sync_t members
      = { en, g_array_new (FALSE, FALSE, sizeof (pu_directory_member_t)) };

  pu_state_each_member (view, member_append, &members);
  pu_directory_set_members (
      en->directory, pu_state_membership_version (view),
      (const pu_directory_member_t *)(void *)members.found->data,
      members.found->len);
  g_array_free (members.found, TRUE);
}

typedef struct
{
  pu_entry_t *en;
  GHashTable *suspect_fingerprints; /* set of &fingerprint */
} suspects_sync_t;

static void
suspect_apply (const pu_suspect_record *s, void *data)
{
  suspects_sync_t *all = data;
  guint64 fingerprint = s->fingerprint;

  pu_suspects_put (all->en->suspects, s->fingerprint, s->strikes,
                   s->convicted);
  g_hash_table_add (all->suspect_fingerprints,
                    g_memdup2 (&fingerprint, sizeof fingerprint));
}

/* Applies the suspects of the view.  A suspect that the view no longer
   contains was cleared in the log, and is removed from the entry's suspects
   table too.  */
static void
suspects_sync (pu_entry_t *en, const pu_state_t *view)
{
  suspects_sync_t all
      = { en,
          g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL) };
  GHashTableIter it;
  gpointer fingerprint;

  pu_state_each_suspect (view, suspect_apply, &all);
  g_hash_table_iter_init (&it, en->suspect_fingerprints);
  while (g_hash_table_iter_next (&it, &fingerprint, NULL))
    {
      if (!g_hash_table_contains (all.suspect_fingerprints, fingerprint))
        pu_suspects_remove (en->suspects, *(const guint64 *)fingerprint);
    }
  g_hash_table_destroy (en->suspect_fingerprints);
  en->suspect_fingerprints = all.suspect_fingerprints;
}

void
pu_view_sync (pu_entry_t *en)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  const pu_doc_record *record = pu_state_document (view);
  guint64 since = en->changes;

  if (!en->o.hooks.ready (en->o.hooks.data)
      || (en->changes == pu_state_change_count (view) && en->changes != 0))
    return;
  en->changes = pu_state_change_count (view);
  if (record != NULL && pu_entry_document_sync (en, record))
    since = 0;
  members_sync (en, view);
  suspects_sync (en, view);
  pu_strikes_tick (en, uv_now (en->o.loop));
  pu_servers_sync (en, since);
  pu_entry_schedule_router (en);
  pu_startup_admit (en);
}
