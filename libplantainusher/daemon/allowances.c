/* Gives the teams of the document in force to the control, which grants from
   their allowances while this voter leads.  */

#include "base/log.h"
#include "daemon/parts.h"

/* Returns the document that a part of this daemon has read, and its version;
   NULL before the first one.  */
static const pu_document_t *
document_read (const pu_daemon_t *d, guint64 *version)
{
  if (d->entry != NULL)
    {
      *version = pu_entry_document_version (d->entry);
      return pu_entry_document (d->entry);
    }
  return d->placer != NULL ? pu_placer_document (d->placer, version) : NULL;
}

static bool
has_limit (const pu_document_t *document, const char *team)
{
  pu_team_handle_t h = pu_document_find_team (document, team);

  return h != PU_HANDLE_NONE && pu_document_team (document, h)->rate_per_s > 0;
}

static void
teams_remove_stale (pu_daemon_t *d, const pu_document_t *document)
{
  pu_allowance_pool_t *pool = pu_control_allowances (d->control);
  GHashTableIter it;
  gpointer name;

  g_hash_table_iter_init (&it, d->limited_teams);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      if (has_limit (document, name))
        continue;
      pu_allowance_pool_remove_team (pool, name);
      g_hash_table_iter_remove (&it);
    }
}

static void
teams_set (pu_daemon_t *d, const pu_document_t *document, uint64_t now)
{
  for (guint i = 0; i < pu_document_teams (document); i++)
    {
      const pu_team_t *t = pu_document_team (document, i);

      if (t->rate_per_s == 0)
        continue;
      pu_allowance_pool_set_team (pu_control_allowances (d->control), t->name,
                                  t->rate_per_s, t->burst, now);
      g_hash_table_add (d->limited_teams, g_strdup (t->name));
    }
}

static void
on_tick (void *data, uint64_t now)
{
  pu_daemon_t *d = data;
  guint64 version = 0;
  const pu_document_t *document = document_read (d, &version);

  if (document == NULL || version == d->limited_teams_version)
    return;
  d->limited_teams_version = version;
  teams_remove_stale (d, document);
  teams_set (d, document, now);
}

static void
on_begin (void *data, uint64_t now, uint64_t term)
{
  (void)term;
  on_tick (data, now);
}

void
pu_daemon_allowances_begin (pu_daemon_t *d)
{
  const pu_control_leader_task_t task = {
    .name = "allowances", .begin = on_begin, .tick = on_tick, .data = d
  };

  d->limited_teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pu_control_add_leader_task (d->control, &task);
  /* A voter may stand in for the leader.  */
  pu_control_on_teams_tick (d->control, on_tick, d);
}

void
pu_daemon_allowances_end (pu_daemon_t *d)
{
  g_clear_pointer (&d->limited_teams, g_hash_table_destroy);
}

/* --- what operators see --- */

static json_t *
pool_state_json (const pu_allowance_pool_state_t *s)
{
  return json_pack ("{s:I, s:I, s:I, s:I, s:I}", "rate_per_s",
                    (json_int_t)s->rate, "burst", (json_int_t)s->burst,
                    "level", (json_int_t)s->level, "granted_per_s",
                    (json_int_t)(s->use_per_s + 0.5), "absent_entries",
                    (json_int_t)s->absent);
}

json_t *
pu_daemon_allowances (void *daemon)
{
  const pu_daemon_t *d = daemon;
  json_t *out = json_object ();
  GHashTableIter it;
  gpointer name;

  if (d->limited_teams == NULL)
    return out;
  g_hash_table_iter_init (&it, d->limited_teams);
  while (g_hash_table_iter_next (&it, &name, NULL))
    {
      pu_allowance_pool_state_t s;

      if (pu_allowance_pool_state (pu_control_allowances (d->control), name,
                                   pu_control_now (d->control), &s))
        json_object_set_new (out, name, pool_state_json (&s));
    }
  return out;
}

json_t *
pu_daemon_teams (pu_daemon_t *d, const json_t *control)
{
  const json_t *all = json_object_get (control, "allowances");
  json_t *teams = d->entry != NULL ? pu_entry_teams (d->entry) : json_array ();
  json_t *team;
  size_t i;

  json_array_foreach (teams, i, team)
  {
    json_t *leader = json_object_get (
        all, json_string_value (json_object_get (team, "name")));

    json_object_set (team, "level", json_object_get (leader, "level"));
    json_object_set (team, "granted_per_s",
                     json_object_get (leader, "granted_per_s"));
    json_object_set (team, "absent_entries",
                     json_object_get (leader, "absent_entries"));
  }
  return teams;
}

/* Appends the value of the counter NAME of TEAM.  The names that a document
   allows need no escapes in a label.  */
static void
print_value (GString *out, const char *name, const json_t *team,
             const char *key)
{
  g_string_append_printf (
      out, "plantainusher_%s{team=\"%s\"} %" JSON_INTEGER_FORMAT "\n", name,
      json_string_value (json_object_get (team, "name")),
      json_integer_value (json_object_get (team, key)));
}

void
pu_daemon_print_teams (const pu_daemon_t *d, GString *out)
{
  json_t *teams = d->entry != NULL ? pu_entry_teams (d->entry) : NULL;
  json_t *team;
  size_t i;

  json_array_foreach (teams, i, team)
  {
    print_value (out, "team_rate_per_s", team, "rate_per_s");
    print_value (out, "team_units_total", team, "units");
    print_value (out, "team_requests_total", team, "requests");
    print_value (out, "team_refused_total", team, "refused");
    print_value (out, "team_waiting", team, "waiting");
  }
  json_decref (teams);
}
