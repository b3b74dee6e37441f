#include "control/control_private.h"

#include <string.h>

#include "base/log.h"

/* PU_AGENT_URGENCY_SUFFIX of agent/agent.h.  */
#define URGENCY_SUFFIX "\n"

#define NS_PER_MS 1000000

/* The leader tells the time for versions that serve no more (state/served.h)
   this long after the last time, sooner if one has none yet: each is a log
   entry that goes to all daemons.  Versions count longer by these times.  */
#define SERVED_TIME_MS 300000
#define SERVED_TIME_SOON_MS 10000

/* A tick of a leader task is logged from this time on.  */
#define TICK_LOGGED_MIN_MS 100

/* The session of a daemon, as reported to the leader.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t position;
  uint64_t last_heard; /* ms */
  char *voter;         /* the voter that the daemon polls */
} daemon_session_t;

static void
daemon_session_free (gpointer p)
{
  daemon_session_t *h = p;

  g_free (h->voter);
  g_free (h);
}

void
pu_control_leadership_init (pu_control_t *c)
{
  c->membership = pu_membership_new (&c->options.membership);
  c->daemon_sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              daemon_session_free);
  c->leader_tasks
      = g_array_new (FALSE, FALSE, sizeof (pu_control_leader_task_t));
}

void
pu_control_leadership_clear (pu_control_t *c)
{
  pu_membership_free (c->membership);
  g_hash_table_unref (c->daemon_sessions);
  g_array_unref (c->leader_tasks);
}

/* --- sessions --- */

static void
daemon_session_update (pu_control_t *c, const pu_session *s, const char *voter,
                       uint64_t at)
{
  daemon_session_t *h = g_hash_table_lookup (c->daemon_sessions, s->name);

  if (h == NULL)
    {
      h = g_new0 (daemon_session_t, 1);
      g_hash_table_insert (c->daemon_sessions, g_strdup (s->name), h);
    }
  if (s->incarnation < h->incarnation || at < h->last_heard)
    return;
  h->incarnation = s->incarnation;
  h->position = s->position;
  h->last_heard = at;
  g_free (h->voter);
  h->voter = g_strdup (voter);
}

/* time_at_age - returns the time AGE ms before NOW, at least 0.  */
static uint64_t
time_at_age (uint64_t now, uint64_t age)
{
  return now > age ? now - age : 0;
}

/* Passes on the demand for a model, or the urgency of requests for it, see
   pu_agent_urgency.  */
static void
demand_apply (pu_control_t *c, const pu_demand *d)
{
  char *model;

  if (!g_str_has_suffix (d->model, URGENCY_SUFFIX))
    {
      if (c->demand != NULL)
        c->demand (c->demand_data, d->model, d->requests, d->stream_ms);
      return;
    }
  if (c->urgency == NULL)
    return;
  model = g_strndup (d->model, strlen (d->model) - strlen (URGENCY_SUFFIX));
  c->urgency (c->urgency_data, model, d->requests, d->stream_ms);
  g_free (model);
}

static void
session_apply (pu_control_t *c, const pu_session *s, const char *voter,
               uint64_t now)
{
  daemon_session_update (c, s, voter, time_at_age (now, s->age_ms));
  pu_membership_record_heartbeat (c->membership, PU_SUBJECT_MEMBER, s->name,
                                  s->incarnation, voter,
                                  time_at_age (now, s->age_ms));
  for (u_int i = 0; i < s->renewals.renewals_len; i++)
    {
      const pu_renewal *r = &s->renewals.renewals_val[i];

      pu_membership_record_heartbeat (c->membership, PU_SUBJECT_BACKEND,
                                      r->backend, r->incarnation, s->name,
                                      time_at_age (now, r->age_ms));
    }
  for (u_int i = 0; i < s->demand.demand_len; i++)
    demand_apply (c, &s->demand.demand_val[i]);
}

static void
sessions_apply (pu_control_t *c, const pu_sessions *m, uint64_t now)
{
  pu_membership_record_route_heartbeat (c->membership, m->voter, now);
  for (u_int i = 0; i < m->sessions.sessions_len; i++)
    {
      session_apply (c, &m->sessions.sessions_val[i], m->voter, now);
    }
}

void
pu_control_on_sessions (void *data, pu_rpc_call_t *call, const guint8 *body,
                        size_t n)
{
  pu_control_t *c = data;
  pu_sessions m;

  pu_rpc_call_drop (call);
  if (!c->leading
      || !pu_codec_decode ((xdrproc_t)xdr_pu_sessions, &m, sizeof m, body, n,
                           NULL))
    return;
  sessions_apply (c, &m, pu_control_now (c));
  xdr_free ((xdrproc_t)xdr_pu_sessions, &m);
}

static bool
sessions_send (pu_control_t *c, const pu_sessions *m)
{
  pu_rpc_client_t *client
      = pu_rpc_pool_get (c->pool, pu_control_leader_address (c));
  GBytes *bytes;
  gsize size;
  gconstpointer data;
  bool sent;

  if (client == NULL)
    return false;
  bytes = pu_codec_encode ((xdrproc_t)xdr_pu_sessions, m);
  data = g_bytes_get_data (bytes, &size);
  sent
      = pu_rpc_client_send (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                            PU_CONTROL_SESSIONS, data, size);
  g_bytes_unref (bytes);
  return sent;
}

static bool
sessions_take (void *data, const pu_sessions *m)
{
  pu_control_t *c = data;

  if (!c->leading)
    return !pu_group_is_leader (c->group) && sessions_send (c, m);
  sessions_apply (c, m, c->sessions_sent);
  return true;
}

void
pu_control_send_sessions (pu_control_t *c, uint64_t now)
{
  if (now - c->sessions_sent < c->options.sessions_ms)
    return;
  c->sessions_sent = now;
  pu_sessions_send (c->sessions, c->name, now, sessions_take, c);
}

/* --- failure detection by the leader --- */

typedef struct
{
  pu_control_t *control;
  uint64_t now;
} expect_args_t;

static void
expect_member (const pu_member_record *m, void *data)
{
  const expect_args_t *x = data;

  pu_membership_expect (x->control->membership, PU_SUBJECT_MEMBER, m->name,
                        m->incarnation, x->now);
}

static void
expect_backend (const pu_backend_record *b, void *data)
{
  const expect_args_t *x = data;

  if (!b->down)
    {
      pu_membership_expect (x->control->membership, PU_SUBJECT_BACKEND,
                            b->name, b->incarnation, x->now);
    }
}

static void
on_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  (void)data;
  (void)r;
  (void)e;
}

static void
propose_down (pu_control_t *c, const pu_membership_failure_t *v)
{
  pu_down down = { .name = (char *)v->name, .incarnation = v->incarnation };
  pu_command command = { 0 };

  if (v->kind == PU_SUBJECT_MEMBER)
    {
      command.type = PU_COMMAND_MEMBER_DOWN;
      command.pu_command_u.member_down = down;
    }
  else
    {
      command.type = PU_COMMAND_BACKEND_DOWN;
      command.pu_command_u.backend_down = down;
    }
  pu_log_note (PU_CONTROL_PART,
               "%s %s was silent for %" G_GUINT64_FORMAT " ms: it is down.",
               v->kind == PU_SUBJECT_MEMBER ? "Instance" : "Backend server",
               v->name, v->silent_ms);
  pu_control_propose (c, &command, on_proposed, NULL);
}

static void
membership_tick (pu_control_t *c, uint64_t now)
{
  GArray *verdicts
      = g_array_new (FALSE, FALSE, sizeof (pu_membership_failure_t));
  expect_args_t x = { c, now };

  pu_state_each_member (c->state, expect_member, &x);
  pu_state_each_backend (c->state, expect_backend, &x);
  pu_membership_tick (c->membership, now, verdicts);
  for (guint i = 0; i < verdicts->len; i++)
    {
      propose_down (c, &g_array_index (verdicts, pu_membership_failure_t, i));
    }
  g_array_unref (verdicts);
}

/* Proposes the time for versions that serve no more, if it is due.  */
static void
served_time_tick (pu_control_t *c, uint64_t now)
{
  uint64_t interval = pu_state_served_lacks_time (c->state)
                          ? SERVED_TIME_SOON_MS
                          : SERVED_TIME_MS;
  pu_command command = { .type = PU_COMMAND_SERVED_TIME };

  if (now < c->served_timed + interval)
    return;
  c->served_timed = now;
  command.pu_command_u.served_time
      = (uint64_t)(g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  pu_control_propose (c, &command, on_proposed, NULL);
}

/* --- leadership --- */

/* has_applied_committed - whether this voter has applied all entries that it
   knows to be committed.  */
static bool
has_applied_committed (const pu_control_t *c)
{
  json_t *status = pu_group_status (c->group);
  json_int_t applied
      = json_integer_value (json_object_get (status, "applied"));

  json_decref (status);
  return (uint64_t)applied >= pu_group_commit_index (c->group);
}

static void
leadership_begin (pu_control_t *c, uint64_t now)
{
  c->leading = true;
  c->term = pu_group_term (c->group);
  pu_log_note (PU_CONTROL_PART, "Leads in term %" G_GUINT64_FORMAT ".",
               c->term);
  c->served_timed = now;
  pu_membership_reset (c->membership, now);
  g_hash_table_remove_all (c->daemon_sessions);
  g_hash_table_remove_all (c->proposers);
  pu_control_allowances_begin (c, now);
  for (guint i = 0; i < c->leader_tasks->len; i++)
    {
      const pu_control_leader_task_t *d
          = &g_array_index (c->leader_tasks, pu_control_leader_task_t, i);

      if (d->begin != NULL)
        d->begin (d->data, now, c->term);
    }
}

void
pu_control_leadership_end (pu_control_t *c)
{
  if (!c->leading)
    return;
  c->leading = false;
  pu_log_note (PU_CONTROL_PART,
               "Leads no more; a quorum has acknowledged nothing sent in the "
               "last %" G_GUINT64_FORMAT " ms.",
               pu_group_quorum_silent_ms (c->group));
  for (guint i = 0; i < c->leader_tasks->len; i++)
    {
      const pu_control_leader_task_t *d
          = &g_array_index (c->leader_tasks, pu_control_leader_task_t, i);

      if (d->end != NULL)
        d->end (d->data);
    }
}

/* Calls the tick of D and logs one that takes long.  */
static void
task_tick (const pu_control_leader_task_t *d, uint64_t now)
{
  guint64 started_ns = uv_hrtime ();
  guint64 ms;

  d->tick (d->data, now);
  ms = (uv_hrtime () - started_ns) / NS_PER_MS;
  if (ms >= TICK_LOGGED_MIN_MS)
    {
      pu_log_event (PU_CONTROL_PART, "A leader task took long.",
                    PU_LOG_TEXT ("task", d->name), PU_LOG_NUMBER ("ms", ms));
    }
}

void
pu_control_leadership_tick (pu_control_t *c, uint64_t now)
{
  bool holds = pu_group_holds_lease (c->group);

  if (c->leading && (!holds || pu_group_term (c->group) != c->term))
    pu_control_leadership_end (c);
  if (!holds)
    return;
  if (!c->leading && !has_applied_committed (c))
    return;
  if (!c->leading)
    leadership_begin (c, now);
  membership_tick (c, now);
  pu_control_allowances_tick (c, now);
  served_time_tick (c, now);
  for (guint i = 0; i < c->leader_tasks->len; i++)
    {
      const pu_control_leader_task_t *d
          = &g_array_index (c->leader_tasks, pu_control_leader_task_t, i);

      if (d->tick != NULL && pu_group_holds_lease (c->group))
        task_tick (d, now);
    }
}

/* --- status --- */

json_t *
pu_control_sessions_json (pu_control_t *c)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t now = pu_control_now (c);

  g_hash_table_iter_init (&iter, c->daemon_sessions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const daemon_session_t *h = value;
      uint64_t silent = now - h->last_heard;
      uint64_t allowed = 0;

      pu_membership_get_silence (c->membership, PU_SUBJECT_MEMBER, key, now,
                                 &silent, &allowed);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:I, s:I, s:I, s:s}", "name", key,
                     "incarnation", (json_int_t)h->incarnation, "position",
                     (json_int_t)h->position, "silent_ms", (json_int_t)silent,
                     "allowed_ms", (json_int_t)allowed, "voter", h->voter));
    }
  return list;
}

uint64_t
pu_control_backend_silent_ms (pu_control_t *c, const char *name)
{
  uint64_t silent;
  uint64_t allowed;

  if (!c->leading
      || !pu_membership_get_silence (c->membership, PU_SUBJECT_BACKEND, name,
                                     pu_control_now (c), &silent, &allowed))
    return G_MAXUINT64;
  return silent;
}
