/* What backend servers state in their answers to requests of any entry, for
   all entries (routing/gossip.h).  */

#include "entry/entry_private.h"

#include "base/breaks.h"

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

/* Brings what all entries are told up to date with the members.  */
static void
entries_update (pu_entry_t *en)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  const pu_member_record *self;

  if (en->statement_entries_version == pu_state_membership_version (view))
    return;
  self = pu_state_member (view, en->name);
  if (self == NULL)
    return;
  pu_gossip_set_entries (en->statements, self->peer_address,
                         pu_load_forward_entries (en));
  en->statement_entries_version = pu_state_membership_version (view);
}

static void
neighbour_tell (pu_entry_t *en, guint i, guint64 now)
{
  GArray *due = g_array_new (FALSE, FALSE, sizeof (pu_statement_t));
  const char *address = pu_gossip_due (en->statements, i, now, due);
  bool sent = true;

  for (guint at = 0; at < due->len && sent; at += PU_ENTRY_STATEMENTS_MAX)
    {
      sent = en->o.hooks.tell_statements (
          en->o.hooks.data, address, &g_array_index (due, pu_statement_t, at),
          MIN (due->len - at, PU_ENTRY_STATEMENTS_MAX), now);
    }
  if (sent)
    pu_gossip_told (en->statements, i);
  g_array_free (due, TRUE);
}

void
pu_statements_tick (pu_entry_t *en, guint64 now)
{
  if (en->o.hooks.tell_statements == NULL)
    return;
  entries_update (en);
  for (guint i = 0; i < pu_gossip_neighbours (en->statements); i++)
    neighbour_tell (en, i, now);
}

void
pu_server_statement_note (pu_server_t *s, double rejections_per_s,
                          double limit_per_s)
{
  pu_statement_t st
      = { .server = s->name,
          .incarnation = s->incarnation,
          .rejections_per_s = rejections_per_s,
          .limit_per_s = limit_per_s,
          .crowded_until = pu_server_is_crowded (s) ? s->crowded_until : 0,
          .stated_at = loop_now (s->en) };

  pu_gossip_put (s->en->statements, &st);
}

void
pu_server_statement_forget (const pu_server_t *s)
{
  pu_gossip_remove (s->en->statements, s->name);
}

static void
statement_apply (pu_server_t *s, const pu_statement_t *st)
{
  /* An entry that found S crowded may not know what S states.  */
  bool crowded = st->crowded_until > 0;

  if (st->rejections_per_s > 0 || !crowded)
    pu_server_brittle_stated (s, st->rejections_per_s);
  if (st->limit_per_s > 0 || !crowded)
    pu_server_limit_told (s, st->limit_per_s, st->stated_at);
  pu_server_crowded_told (s, st->crowded_until);
}

void
pu_entry_receive_statements (pu_entry_t *en, const pu_statement_t *list,
                             guint n)
{
  if (pu_break_active (PU_BREAK_STATEMENTS_IGNORED))
    return;
  for (guint i = 0; i < n; i++)
    {
      const pu_statement_t *st = &list[i];
      pu_server_t *s = pu_server_find (en, st->server);

      if (s != NULL && s->incarnation == st->incarnation
          && pu_gossip_put (en->statements, st))
        statement_apply (s, st);
    }
}
