/* What operators see of the daemon.  */

#include <string.h>

#include "base/log.h"
#include "daemon/parts.h"

#define ASK_TIMEOUT_MS 2000

/* A status under way to the leader and back.  */
typedef struct
{
  pu_daemon_t *daemon;
  json_t *status;
  pu_operator_json_fn *done;
  void *data;
  char *instance;
} asked_t;

/* The leader's word on the daemon NAME, or NULL.  */
static const json_t *
session_of (const json_t *sessions, const char *name)
{
  size_t i;
  json_t *one;

  json_array_foreach (sessions, i, one)
  {
    const char *n = json_string_value (json_object_get (one, "name"));

    if (n != NULL && strcmp (n, name) == 0)
      return one;
  }
  return NULL;
}

static void
add_positions (json_t *status, const json_t *sessions)
{
  size_t i;
  json_t *m;

  json_array_foreach (json_object_get (status, "members"), i, m)
  {
    const char *name = json_string_value (json_object_get (m, "name"));
    const json_t *session = name == NULL ? NULL : session_of (sessions, name);

    if (session == NULL)
      continue;
    json_object_set (m, "position", json_object_get (session, "position"));
    json_object_set (m, "silent_ms", json_object_get (session, "silent_ms"));
  }
}

static void
add_voters (json_t *status, const json_t *control)
{
  json_t *list = json_array ();
  size_t i;
  json_t *v;

  json_array_foreach (json_object_get (control, "voters"), i, v)
  {
    json_t *o = json_object ();

    json_object_set (o, "name", json_object_get (v, "name"));
    json_object_set (o, "address", json_object_get (v, "address"));
    json_object_set (o, "role", json_object_get (v, "role"));
    json_object_set (o, "position", json_object_get (v, "match"));
    json_array_append_new (list, o);
  }
  json_object_set_new (status, "voters", list);
}

/* What the entry knows by the exchange of loads, if it takes part.  */
static void
add_load_exchange (json_t *status, const pu_daemon_t *d)
{
  pu_load_client_state_t s;
  json_t *o;

  if (d->entry == NULL || !pu_entry_load_exchange (d->entry, &s))
    return;
  o = json_pack ("{s:s, s:i}", "hub", s.hub, "engines", (int)s.engines);
  if (s.age_ms != G_MAXUINT64)
    json_object_set_new (o, "age_ms", json_integer ((json_int_t)s.age_ms));
  json_object_set_new (status, "load_exchange", o);
}

static void
on_status (void *data, json_t *control, const pu_error_t *e)
{
  asked_t *a = data;

  (void)e;
  json_object_set_new (a->status, "instance", json_string (a->instance));
  json_object_set_new (a->status, "quorum", json_boolean (control != NULL));
  json_object_set_new (a->status, "teams",
                       pu_daemon_teams (a->daemon, control));
  add_load_exchange (a->status, a->daemon);
  if (control != NULL)
    {
      json_object_set (a->status, "leader",
                       json_object_get (control, "leader"));
      add_voters (a->status, control);
      json_object_set (a->status, "placement",
                       json_object_get (control, "placement"));
      add_positions (a->status, json_object_get (control, "sessions"));
    }
  a->done (a->status, NULL, a->data);
  g_free (a->instance);
  g_free (a);
}

void
pu_daemon_status (json_t *status, pu_operator_json_fn *done, void *done_data,
                  void *daemon)
{
  pu_daemon_t *d = daemon;
  asked_t *a = g_new0 (asked_t, 1);

  a->daemon = d;
  a->status = status;
  a->done = done;
  a->data = done_data;
  a->instance = g_strdup (d->settings->name);
  pu_agent_status (d->agent, ASK_TIMEOUT_MS, on_status, a);
}

/* Called before the placer is there, too.  */
json_t *
pu_daemon_placement (void *daemon)
{
  pu_daemon_t *d = daemon;

  if (d->sequenced != NULL)
    return pu_sequenced_status (d->sequenced);
  return d->placer == NULL ? json_object () : pu_placer_status (d->placer);
}

static const char *const phase_names[] = {
  [PU_DAEMON_RUNNING] = "running",      [PU_DAEMON_LEAVING] = "leaving",
  [PU_DAEMON_FINISHING] = "finishing",  [PU_DAEMON_DEPARTING] = "departing",
  [PU_DAEMON_HANDING] = "handing over", [PU_DAEMON_CLOSING] = "closing",
  [PU_DAEMON_STOPPED] = "stopped",
};

json_t *
pu_daemon_dump (void *daemon)
{
  pu_daemon_t *d = daemon;
  json_t *o = json_object ();

  json_object_set_new (o, "program_version", json_string (PU_VERSION));
  json_object_set_new (o, "phase", json_string (phase_names[d->phase]));
  json_object_set_new (o, "log_level", json_string (pu_log_level ()));
  json_object_set_new (o, "settings", pu_settings_to_json (d->settings));
  json_object_set_new (o, "agent", pu_agent_dump (d->agent));
  if (d->control != NULL)
    json_object_set_new (o, "control", pu_control_status (d->control));
  if (d->placer != NULL)
    json_object_set_new (o, "placer", pu_placer_dump (d->placer));
  if (d->sequenced != NULL)
    json_object_set_new (o, "placer", pu_sequenced_status (d->sequenced));
  if (d->entry != NULL)
    json_object_set_new (o, "entry", pu_entry_dump (d->entry));
  return o;
}
