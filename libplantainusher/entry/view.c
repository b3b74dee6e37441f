#include "entry/entry_private.h"

#include "base/log.h"

#include "base/breaks.h"

#include <string.h>

/* Part of the retries of all entries that those have that callers are told
   of.  */
#define NAMED_RETRIES 0.9

typedef struct
{
  const pu_entry_t *en;
  GArray *found;   /* of pu_directory_member_t */
  guint n_entries; /* those that serve callers */
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
  members->n_entries += m->caller_address[0] != '\0' ? 1 : 0;
  g_array_append_val (members->found, one);
}

/* Gives the router this entry's share of the retries that all entries together
   may send beyond the ratio.  Where callers are told of some entries only,
   these have nine tenths of it among them, and the others, which serve callers
   that have not asked again yet, the rest.  */
static void
retry_budget_sync (pu_entry_t *en, guint n_entries)
{
  double burst = en->retry_burst;
  double slack = en->o.retry_slack;
  guint n = n_entries;
  bool shared = true;

  if (en->o.callers_share < 1)
    {
      guint named = pu_directory_shared_entries (en->directory, &shared);

      if (named < n_entries)
        {
          slack *= shared ? NAMED_RETRIES : 1 - NAMED_RETRIES;
          n = shared ? named : n_entries - named;
        }
    }
  if (n == en->retry_entries && shared == en->retry_shared)
    return;
  en->retry_entries = n;
  en->retry_shared = shared;
  if (en->o.retry_slack >= 0)
    burst = MIN (burst, slack / MAX (n, 1));
  pu_router_set_service_retries (en->router, en->retry_pct, burst);
}

static void
members_sync (pu_entry_t *en, const pu_state_t *view)
{
  members_sync_t members
      = { en, g_array_new (FALSE, FALSE, sizeof (pu_directory_member_t)), 0 };

  pu_state_each_member (view, member_append, &members);
  pu_directory_set_members (
      en->directory, pu_state_membership_version (view),
      (const pu_directory_member_t *)(void *)members.found->data,
      members.found->len);
  retry_budget_sync (en, members.found->len);
  pu_allowances_set_entries (en, members.n_entries);
  g_array_free (members.found, TRUE);
}

/* How a request that ran where a backend server crashed is treated.  */
typedef enum
{
  STANDING_CLEARED, /* as any other */
  STANDING_SUSPECTED,
  STANDING_ISOLATED, /* runs on a backend server of its own */
  STANDING_CONVICTED /* is refused */
} standing_t;

typedef struct
{
  pu_entry_t *en;
  GHashTable *standings; /* &fingerprint -> standing_t */
  GHashTable *parts;     /* set of &fingerprint: records of parts */
} suspects_sync_t;

static standing_t
standing_of (const pu_entry_t *en, const pu_suspect_record *s)
{
  if (s->convicted)
    return STANDING_CONVICTED;
  return s->strikes >= en->o.isolate_strikes ? STANDING_ISOLATED
                                             : STANDING_SUSPECTED;
}

static void
standing_log (guint64 fingerprint, standing_t before, standing_t now,
              guint strikes)
{
  static const char *const names[] = {
    [STANDING_CLEARED] = "cleared",
    [STANDING_SUSPECTED] = "suspected",
    [STANDING_ISOLATED] = "isolated",
    [STANDING_CONVICTED] = "convicted",
  };
  char hex[sizeof "0123456789abcdef"];

  if (before == now)
    return;
  g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", fingerprint);
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "A request changed its standing.",
      PU_LOG_TEXT ("fingerprint", hex), PU_LOG_TEXT ("before", names[before]),
      PU_LOG_TEXT ("now", names[now]), PU_LOG_NUMBER ("strikes", strikes));
}

static void
suspect_apply (const pu_suspect_record *s, void *data)
{
  suspects_sync_t *all = data;
  pu_entry_t *en = all->en;
  guint64 fingerprint = s->fingerprint;
  standing_t before = (standing_t)GPOINTER_TO_INT (
      g_hash_table_lookup (en->suspect_standings, &fingerprint));
  standing_t now = standing_of (en, s);

  if (pu_part_is_record (s))
    {
      pu_part_apply (en, s);
      g_hash_table_add (all->parts,
                        g_memdup2 (&fingerprint, sizeof fingerprint));
      return;
    }
  pu_suspects_put (en->suspects, s->fingerprint, s->strikes, s->convicted);
  standing_log (fingerprint, before, now, s->strikes);
  g_hash_table_insert (all->standings,
                       g_memdup2 (&fingerprint, sizeof fingerprint),
                       GINT_TO_POINTER (now));
}

/* Applies the suspects of the view.  A suspect that the view no longer
   contains was cleared in the log, and is removed from the entry's suspects
   table too.  */
static void
suspects_sync (pu_entry_t *en, const pu_state_t *view)
{
  suspects_sync_t all
      = { en,
          g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
          g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL) };
  GHashTableIter it;
  gpointer key;
  gpointer before;

  pu_state_each_suspect (view, suspect_apply, &all);
  g_hash_table_iter_init (&it, en->suspect_standings);
  while (g_hash_table_iter_next (&it, &key, &before))
    {
      guint64 fingerprint = *(const guint64 *)key;

      if (g_hash_table_contains (all.standings, key))
        continue;
      pu_suspects_remove (en->suspects, fingerprint);
      standing_log (fingerprint, (standing_t)GPOINTER_TO_INT (before),
                    STANDING_CLEARED, 0);
    }
  g_hash_table_destroy (en->suspect_standings);
  en->suspect_standings = all.standings;
  g_hash_table_iter_init (&it, en->logged_parts);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      if (!g_hash_table_contains (all.parts, key))
        pu_part_remove (en, *(const guint64 *)key);
    }
  g_hash_table_destroy (en->logged_parts);
  en->logged_parts = all.parts;
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
  pu_entry_sync_served (en, view);
  pu_servers_sync (en, since);
  pu_leaves_tick (en, uv_now (en->o.loop));
  pu_entry_schedule_router (en);
  pu_startup_admit (en);
}
