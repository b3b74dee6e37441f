/* The parts of a daemon, made from its settings.  */

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"
#include "daemon/parts.h"
#include "operator/mount.h"
#include "rpc/rpc.h"

#define PART "daemon"
#define MS_PER_US 1000
#define MS_PER_S 1000
#define LOG_FOLDER "log"
#define VIEW_FOLDER "view"
/* Threads of libuv's pool where origins are kept: one more than its default of
   4.  Writes of the log, of a snapshot and of the view may be waiting for a
   slow disk at once, as may that of the file with origins; documents are
   parsed on the pool, too.  */
#define POOL_THREADS "5"

/* A seed that differs between daemons and between starts.  */
static guint32
seed_of (const pu_settings_t *s)
{
  return g_str_hash (s->name) ^ g_random_int ();
}

static bool
make_folder (const char *path, pu_error_t *e)
{
  if (g_mkdir_with_parents (path, 0700) == 0)
    return true;
  return pu_error_set (e, PU_ERROR_IO, "Folder %s cannot be made: %s.", path,
                       g_strerror (errno));
}

static bool
has_folder (const pu_settings_t *s)
{
  return s->data_folder[0] != '\0';
}

static bool
build_peers (pu_daemon_t *d, pu_error_t *e)
{
  const pu_settings_t *s = d->settings;
  pu_rpc_server_options_t o = { 0 };

  o.loop = d->loop;
  o.address = pu_settings_peer_listen_address (s);
  o.key = s->keys.peers;
  o.counters = d->counters;
  o.max_record = s->limits.max_peer_message_bytes;
  d->peers = pu_rpc_server_new (&o, e);
  return d->peers != NULL;
}

/* Addresses where a voter may be asked: those to join, the seeds and the first
   voters.  */
GPtrArray *
pu_daemon_join_addresses (const pu_settings_t *s)
{
  const pu_settings_voter_t *rows = s->voters.items;
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  char **seeds = pu_settings_seeds (s);

  for (guint i = 0; i < s->join.n; i++)
    g_ptr_array_add (list, g_strdup (s->join.items[i]));
  for (char **seed = seeds; *seed != NULL; seed++)
    g_ptr_array_add (list, g_strdup (*seed));
  for (guint i = 0; i < s->voters.n; i++)
    g_ptr_array_add (list, g_strdup (rows[i].peers));
  /* The settings' addresses may be of others that do not vote.  */
  if (s->control && s->seeds.n > 0)
    g_ptr_array_add (list, g_strdup (s->addresses.peers));
  g_strfreev (seeds);
  return list;
}

static bool
is_first_voter (const pu_settings_t *s)
{
  const pu_settings_voter_t *rows = s->voters.items;

  for (guint i = 0; i < s->voters.n; i++)
    {
      if (strcmp (rows[i].name, s->name) == 0)
        return true;
    }
  return false;
}

static void
peer_add (GArray *peers, const char *name, const char *address)
{
  pu_log_peer p = { .name = g_strdup (name), .address = g_strdup (address) };

  g_array_append_val (peers, p);
}

static void
peer_clear (gpointer peer)
{
  pu_log_peer *p = peer;

  g_free (p->name);
  g_free (p->address);
}

/* Whom the log greets while it is fresh: the settings' voters or seeds, who
   start it together, or for an instance that joins later whoever stands at the
   addresses to join, by no name.  Free the array.  */
static GArray *
first_peers (const pu_settings_t *s)
{
  const pu_settings_voter_t *rows = s->voters.items;
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (pu_log_peer));
  GPtrArray *join = pu_daemon_join_addresses (s);
  bool founds = pu_settings_is_initial_voter (s);

  g_array_set_clear_func (peers, peer_clear);
  if (is_first_voter (s))
    {
      for (guint i = 0; i < s->voters.n; i++)
        peer_add (peers, rows[i].name, rows[i].peers);
    }
  else
    {
      for (guint i = 0; i < join->len; i++)
        {
          const char *address = join->pdata[i];

          if (founds || strcmp (address, s->addresses.peers) != 0)
            peer_add (peers, "", address);
        }
    }
  g_ptr_array_free (join, TRUE);
  return peers;
}

/* How much of an order's life a backend server may be silent: less than the
   third after which the placer trusts that its reports are in the log.  */
#define SILENT_SHARE 4

/* How many times as long an instance may be silent while the voter that it
   polls is silent itself: it needs that long to find another.  */
#define ROUTE_SHARE 2

static void
set_membership (const pu_settings_t *s, pu_membership_options_t *m)
{
  m->min_timeout_ms[PU_SUBJECT_MEMBER] = s->timing.session_ms;
  m->max_timeout_ms[PU_SUBJECT_MEMBER] = ROUTE_SHARE * s->timing.session_ms;
  m->min_timeout_ms[PU_SUBJECT_BACKEND] = s->timing.backend_lease_ms;
  m->max_timeout_ms[PU_SUBJECT_BACKEND]
      = s->timing.order_life_ms / SILENT_SHARE;
}

static void
build_placer (pu_daemon_t *d)
{
  const pu_settings_t *s = d->settings;
  pu_placer_options_t o;

  pu_placer_options_init (&o);
  o.loop = d->loop;
  o.control = d->control;
  o.counters = d->counters;
  /* The lease of a leader is shorter than the least silence before another is
     elected.  */
  o.lease_ms = s->timing.election_ms;
  o.order_life_ms = s->timing.order_life_ms;
  o.connect_ms = s->timing.connect_timeout_ms;
  o.report_interval_ms = s->timing.report_interval_ms;
  d->placer = pu_placer_new (&o);
}

/* What the leader has read of an engine's load goes to all entries.  */
static void
on_load (void *data, const char *engine, const pu_router_report_t *load)
{
  pu_daemon_t *d = data;

  if (d->entry != NULL)
    pu_entry_add_load (d->entry, engine, load);
}

static double
slowness (void *data, const char *engine)
{
  const pu_daemon_t *d = data;

  return d->entry != NULL ? pu_entry_slowness (d->entry, engine) : 0;
}

static void
on_unload (void *data, const char *engine, const char *model)
{
  pu_daemon_t *d = data;

  if (d->entry != NULL)
    pu_entry_withdraw_copy (d->entry, engine, model);
}

/* The platform's engines count their orders.  */
static void
build_sequenced (pu_daemon_t *d)
{
  pu_sequenced_options_t o;

  pu_sequenced_options_init (&o);
  o.loop = d->loop;
  o.control = d->control;
  o.name = d->settings->name;
  o.counters = d->counters;
  o.wire = pu_platform_get_order_protocol ();
  o.lease_ms = d->settings->platform.lease_ms;
  o.checks_tokens = d->settings->platform.fenced;
  o.store_share = MIN (d->settings->platform.store_overage, 1);
  o.restore_by_gain = d->settings->platform.restore_by_gain;
  o.place_by_urgency = d->settings->platform.place_by_urgency;
  o.place_by_speed = d->settings->platform.place_by_speed;
  o.slowness = slowness;
  o.on_load_report = on_load;
  o.on_unload = on_unload;
  o.data = d;
  d->sequenced = pu_sequenced_new (&o);
}

static const pu_state_t *
kept_state (void *data)
{
  const pu_daemon_t *d = data;

  return d->agent != NULL && pu_agent_has_view (d->agent)
             ? pu_agent_view (d->agent)
             : NULL;
}

/* On the platform one crash breaks off the requests of many callers, which are
   sent again at once, and the requests of many callers may be identical.  They
   are not isolated for a single crash, one that runs to its end acquits all,
   and a death convicts only a request that was isolated.  */
enum
{
  PLATFORM_TOGETHER_STRIKES = 1,
  PLATFORM_ISOLATE_STRIKES = 2,
  PLATFORM_CONVICT_STRIKES = 3,
};

static void
set_state (const pu_settings_t *s, pu_state_options_t *o)
{
  if (!pu_settings_on_platform (s))
    return;
  o->convict_strikes = PLATFORM_CONVICT_STRIKES;
  o->convict_isolated = true;
}

static bool
build_control (pu_daemon_t *d, pu_error_t *e)
{
  const pu_settings_t *s = d->settings;
  char *folder = g_build_filename (s->data_folder, LOG_FOLDER, NULL);
  GArray *peers = first_peers (s);
  pu_control_options_t o;

  pu_control_options_init (&o);
  o.loop = d->loop;
  o.server = d->peers;
  o.name = s->name;
  o.address = s->addresses.peers;
  o.source = pu_settings_peer_listen_address (s);
  o.key = s->keys.peers;
  o.folder = folder;
  o.voters = (const pu_log_peer *)(const void *)peers->data;
  o.n_voters = peers->len;
  o.memory = pu_memory_watch_budget (d->memory);
  o.counters = d->counters;
  o.seed = seed_of (s);
  o.heartbeat_ms = s->timing.heartbeat_ms;
  o.election_ms = s->timing.election_ms;
  o.gather_ms = s->timing.gather_ms;
  o.sessions_ms = s->timing.sessions_ms;
  o.replace_after_ms = s->timing.replace_after_ms;
  o.voters_wanted = s->limits.voters;
  o.claims_max = s->limits.max_claims;
  o.snapshot_entries = s->limits.snapshot_entries;
  o.connect_ms = s->timing.connect_timeout_ms;
  o.history = pu_operator_history_json;
  o.placement = pu_daemon_placement;
  o.placement_data = d;
  o.granted = pu_daemon_allowances;
  o.granted_data = d;
  o.allowances = (pu_allowance_tolerance_t){
    .window_ms = (guint)(s->limits.allowance_window_s * MS_PER_S),
    .overage = s->limits.allowance_overage,
    .slack = s->limits.allowance_slack,
  };
  o.load_exchange_ms = s->timing.load_exchange_ms;
  o.public_state = kept_state;
  o.public_state_data = d;
  set_membership (s, &o.membership);
  set_state (s, &o.state);
  if (make_folder (folder, e))
    d->control = pu_control_new (&o, e);
  g_free (folder);
  g_array_unref (peers);
  if (d->control == NULL)
    return false;
  if (pu_settings_on_platform (s))
    {
      build_sequenced (d);
    }
  else
    {
      build_placer (d);
    }
  pu_daemon_allowances_begin (d);
  return true;
}

static void
on_change (void *data)
{
  pu_daemon_t *d = data;

  if (d->entry != NULL)
    pu_entry_view_changed (d->entry);
  if (d->platform != NULL)
    pu_platform_view_changed (d->platform);
}

static void
on_superseded (void *data)
{
  pu_daemon_t *d = data;

  g_log ("daemon", G_LOG_LEVEL_WARNING,
         "A newer daemon named %s has taken this one's place.",
         d->settings->name);
  pu_daemon_stop (d, d->stopped, d->stopped_data);
}

static void
fill_self (const pu_settings_t *s, pu_member_record *m)
{
  m->name = (char *)s->name;
  m->incarnation = (uint64_t)(g_get_real_time () / MS_PER_US);
  m->region = (char *)s->region;
  m->zone = (char *)s->zone;
  m->caller_address = (char *)(s->entry ? s->addresses.callers : "");
  m->operator_address = (char *)s->addresses.operators;
  m->peer_address = (char *)s->addresses.peers;
  m->leaving = FALSE;
}

static void
on_voters (void *data, const char *const *addresses, size_t n)
{
  pu_daemon_t *d = data;

  for (size_t i = 0; d->control != NULL && i < n; i++)
    pu_control_add_seed (d->control, addresses[i]);
}

static bool
build_agent (pu_daemon_t *d, pu_error_t *e)
{
  const pu_settings_t *s = d->settings;
  GPtrArray *join = pu_daemon_join_addresses (s);
  char *folder = NULL;
  pu_member_record self;
  pu_agent_options_t o;

  pu_agent_options_init (&o);
  fill_self (s, &self);
  if (has_folder (s))
    folder = g_build_filename (s->data_folder, VIEW_FOLDER, NULL);
  o.loop = d->loop;
  o.source = pu_settings_peer_listen_address (s);
  o.key = s->keys.peers;
  o.self = &self;
  o.join = (const char *const *)join->pdata;
  o.n_join = join->len;
  o.server = d->peers;
  o.votes = s->control;
  o.on_voters = on_voters;
  o.folder = folder;
  o.counters = d->counters;
  o.seed = seed_of (s);
  o.poll_wait_ms = s->timing.poll_wait_ms;
  o.connect_ms = s->timing.connect_timeout_ms;
  o.on_change = on_change;
  o.on_superseded = on_superseded;
  o.data = d;
  set_state (s, &o.state);
  if (folder == NULL || make_folder (folder, e))
    d->agent = pu_agent_new (&o, e);
  g_free (folder);
  g_ptr_array_free (join, TRUE);
  return d->agent != NULL;
}

void
pu_daemon_entry_reloadable (const pu_settings_t *s, pu_entry_options_t *o)
{
  o->backend_keys = s->keys.backends.items;
  o->n_backend_keys = s->keys.backends.n;
  o->header_max = s->limits.max_header_bytes;
  o->body_max = s->limits.max_body_bytes;
  o->announcement_max = s->limits.max_announcement_bytes;
  o->connections_max = s->limits.max_connections;
  o->requests_max = s->limits.max_open_streams;
}

static void
set_entry_times (const pu_settings_t *s, pu_entry_options_t *o)
{
  o->connect_ms = s->timing.connect_timeout_ms;
  o->stream_progress_timeout_ms = s->timing.progress_timeout_ms;
  o->health_probe_timeout_ms = s->timing.probe_timeout_ms;
  o->idle_ms = s->timing.idle_connection_ms;
  o->idle_stated_max_ms = s->timing.idle_stated_max_ms;
  o->report_ms = s->timing.report_interval_ms;
  o->log_proposal_timeout_ms = s->timing.rpc_timeout_ms;
  o->ttl_s = s->timing.entries_ttl_s;
  o->loads_ms = s->timing.loads_ms;
  o->load_exchange_ms = s->timing.load_exchange_ms;
  o->load_exchange_entries = s->limits.load_exchange_entries;
  o->loads_to_all_entries = pu_settings_on_platform (s);
}

static void
set_callers (const pu_settings_t *s, pu_entry_options_t *o)
{
  if (!pu_settings_on_platform (s))
    return;
  o->retry_ratio = s->platform.retry_ratio;
  o->retry_slack = s->platform.retry_slack;
  o->callers_share = s->platform.callers_share;
  o->place_by_urgency = s->platform.place_by_urgency;
}

/* For tests alone: nothing in a usual build.  */
static void
set_entry_breaks (pu_entry_options_t *o)
{
  o->test_breaks
      = pu_break_bit (PU_BREAK_NOT_RUN_TOLD, PU_ENTRY_BREAK_REPORT_NOT_RUN)
        | pu_break_bit (PU_BREAK_ONCE_REPEATED,
                        PU_ENTRY_BREAK_RETRY_NON_REPEATABLE)
        | pu_break_bit (PU_BREAK_REPLAY_PASSED, PU_ENTRY_BREAK_FORWARD_REPLAY)
        | pu_break_bit (PU_BREAK_TRUNCATED_WHOLE,
                        PU_ENTRY_BREAK_END_TRUNCATED);
  if (pu_break_active (PU_BREAK_SILENCE_IGNORED))
    o->stream_progress_timeout_ms = G_MAXINT;
}

static bool
build_entry (pu_daemon_t *d, pu_error_t *e)
{
  const pu_settings_t *s = d->settings;
  char host[PU_SETTINGS_HOST_MAX];
  guint16 port = 0;
  pu_entry_options_t o;

  pu_entry_options_init (&o);
  if (!pu_settings_split_address (s->addresses.callers, host, &port))
    {
      return pu_error_set (e, PU_ERROR_INVALID, "Address %s cannot be read.",
                           s->addresses.callers);
    }
  o.loop = d->loop;
  o.name = s->name;
  o.region = s->region;
  o.zone = s->zone;
  o.host = host;
  o.port = port;
  o.peer_key = s->keys.peers;
  o.memory = pu_memory_watch_budget (d->memory);
  o.counters = d->counters;
  o.seed = seed_of (s);
  pu_daemon_entry_reloadable (s, &o);
  set_callers (s, &o);
  set_entry_times (s, &o);
  set_entry_breaks (&o);
  pu_daemon_entry_hooks (d, &o.hooks);
  if (pu_settings_on_platform (s))
    {
      d->platform
          = pu_platform_new (d->loop, s, pu_memory_watch_budget (d->memory));
      o.front = pu_platform_frontend (d->platform);
      o.isolate_strikes = PLATFORM_ISOLATE_STRIKES;
      o.together_strikes = PLATFORM_TOGETHER_STRIKES;
      o.acquit = true;
    }
  d->entry = pu_entry_new (&o, e);
  return d->entry != NULL
         && (d->platform == NULL
             || pu_platform_listen (d->platform, d->agent, d->entry, e));
}

pu_operator_key_t *
pu_daemon_operator_keys (const pu_settings_t *s)
{
  const pu_settings_operator_t *rows = s->keys.operators.items;
  guint n = s->keys.operators.n;
  pu_operator_key_t *keys = g_new0 (pu_operator_key_t, MAX (n, 1));

  for (guint i = 0; i < n; i++)
    {
      keys[i].name = rows[i].name;
      keys[i].key = rows[i].key;
    }
  return keys;
}

static bool
build_operators (pu_daemon_t *d, pu_error_t *e)
{
  const pu_settings_t *s = d->settings;
  char host[PU_SETTINGS_HOST_MAX];
  guint16 port = 0;
  pu_operator_key_t *keys;
  pu_operator_options_t po;
  pu_http_server_options_t o = { 0 };

  if (!pu_settings_split_address (s->addresses.operators, host, &port))
    {
      return pu_error_set (e, PU_ERROR_INVALID, "Address %s cannot be read.",
                           s->addresses.operators);
    }
  pu_operator_options_init (&po);
  keys = pu_daemon_operator_keys (s);
  po.keys = keys;
  po.n_keys = s->keys.operators.n;
  po.loop = d->loop;
  pu_daemon_operator_hooks (d, &po.hooks);
  d->operator= pu_operator_new (&po);
  g_free (keys);
  o.loop = d->loop;
  o.host = host;
  o.port = port;
  o.body_max = PU_OPERATOR_BODY_MAX;
  o.memory = pu_memory_watch_budget (d->memory);
  o.handler = pu_operator_on_request;
  o.data = d->operator;
  d->operators = pu_http_server_new (&o, e);
  return d->operators != NULL;
}

/* Nothing that callers need hangs on it: without it, the daemon serves.  */
static void
build_metrics (pu_daemon_t *d)
{
  const char *address = d->settings->addresses.metrics;
  pu_error_t e = { PU_OK, "" };

  if (*address == '\0')
    return;
  d->metrics = pu_metrics_new (d->loop, address, pu_daemon_metrics, d, &e);
  if (d->metrics == NULL)
    pu_log_warn (PART, "No metrics at %s: %s", address, e.message);
}

bool
pu_daemon_build (pu_daemon_t *d, pu_error_t *e)
{
  /* libuv reads it once, when its pool is first used.  */
  if (d->settings->keep_origins)
    g_setenv ("UV_THREADPOOL_SIZE", POOL_THREADS, FALSE);
  if (!build_peers (d, e))
    return false;
  pu_daemon_loads_listen (d);
  pu_daemon_origins_listen (d);
  pu_daemon_witnesses_listen (d);
  if (d->settings->control && !build_control (d, e))
    return false;
  if (!build_agent (d, e))
    return false;
  if (d->settings->entry && !build_entry (d, e))
    return false;
  if (d->settings->entry && d->settings->control && d->settings->keep_origins)
    pu_daemon_origins_load (d);
  build_metrics (d);
  return build_operators (d, e);
}
