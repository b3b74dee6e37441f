#include "control/control_private.h"

#include <string.h>

#define DEFAULT_TICK_MS 100
#define DEFAULT_SESSIONS_MS 1000
#define DEFAULT_RING_ENTRIES 4096
#define DEFAULT_GATHER_MS 250
#define DEFAULT_STARTUP_GRACE_MS 3000
#define DEFAULT_ALLOWANCE_WINDOW_MS 8000
#define DEFAULT_RING_BYTES ((size_t)16 << 20)
#define DROP_LOG_INTERVAL_MS 60000

/* Time for bulk data to arrive.  Pings wait behind them.  */
#define BULK_TIMEOUT_MS 15000

void
pu_control_options_init (pu_control_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->tick_ms = DEFAULT_TICK_MS;
  o->sessions_ms = DEFAULT_SESSIONS_MS;
  o->gather_ms = DEFAULT_GATHER_MS;
  o->startup_grace_ms = DEFAULT_STARTUP_GRACE_MS;
  o->ring_entries = DEFAULT_RING_ENTRIES;
  o->ring_bytes = DEFAULT_RING_BYTES;
  o->allowances.window_ms = DEFAULT_ALLOWANCE_WINDOW_MS;
  pu_state_options_init (&o->state);
  pu_membership_options_init (&o->membership);
}

uint64_t
pu_control_now (const pu_control_t *c)
{
  (void)c;
  return (uint64_t)g_get_monotonic_time () / 1000;
}

const char *
pu_control_leader_address (const pu_control_t *c)
{
  const pu_log_peer *leader = pu_group_leader (c->group);

  return leader == NULL ? "" : leader->address;
}

pu_rpc_client_t *
pu_control_bulk_client (pu_control_t *c, const char *address)
{
  return pu_rpc_pool_get (c->bulk_pool, address);
}

/* --- callbacks of the group --- */

static void
on_bulk_sent (void *data, const guint8 *body, size_t n, const pu_error_t *e)
{
  (void)data;
  (void)body;
  (void)n;
  (void)e;
}

/* A call, which is never answered, waits for the connection to be made; a
   one-way message would be lost.  */
static void
send_bulk (pu_control_t *c, const pu_log_peer *to, GBytes *msg)
{
  pu_rpc_client_t *client = pu_control_bulk_client (c, to->address);
  gsize size;
  gconstpointer bytes = g_bytes_get_data (msg, &size);

  if (client != NULL)
    {
      pu_rpc_client_call (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                          PU_CONTROL_REPLICA, bytes, size, BULK_TIMEOUT_MS,
                          on_bulk_sent, NULL);
    }
}

static void
on_send (const pu_log_peer *to, GBytes *msg, void *data)
{
  pu_control_t *c = data;
  pu_rpc_client_t *client;
  gsize size;
  gconstpointer bytes = g_bytes_get_data (msg, &size);

  if (pu_log_msg_is_bulk (msg))
    {
      send_bulk (c, to, msg);
      return;
    }
  client = pu_rpc_pool_get (c->pool, to->address);
  if (client != NULL)
    {
      pu_rpc_client_send (client, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                          PU_CONTROL_REPLICA, bytes, size);
    }
}

/* apply_command - applies COMMAND to the state.  *PUBLISH is set to whether
   COMMAND goes into the feed for public copies, *DELTA to a shorter form for
   readers that take deltas, or to NULL.  Returns whether REPLY was filled.  */
static bool
apply_command (pu_control_t *c, uint64_t index, const pu_command *command,
               pu_reply *reply, GBytes **delta, bool *publish)
{
  if (command->type == PU_COMMAND_BACKEND_UP)
    {
      return pu_state_apply_report (c->state, index, command, reply, delta,
                                    publish);
    }
  *delta = NULL;
  *publish = pu_command_is_public (command);
  return pu_state_apply (c->state, index, command, reply);
}

static pu_pace_urgency_t
urgency_of (const pu_command *command, const GBytes *delta)
{
  if (delta != NULL)
    return PU_PACE_BATCHED;
  return command->type == PU_COMMAND_SUBMIT ? PU_PACE_IMMEDIATE
                                            : PU_PACE_RATE_LIMITED;
}

static void
on_apply (uint64_t index, const void *bytes, size_t len, void *data)
{
  pu_control_t *c = data;
  pu_command command;
  pu_reply reply;
  pu_error_t e;
  GBytes *delta;
  bool publish;

  if (!pu_command_decode (&command, bytes, len, &e))
    {
      /* All voters skip the same entries, so their states stay equal.  */
      pu_log_warn (
          PU_CONTROL_PART,
          "Skipped the malformed log entry at position %" G_GUINT64_FORMAT
          ": %s",
          index, e.message);
      pu_state_skip_to (c->state, index);
      return;
    }
  if (apply_command (c, index, &command, &reply, &delta, &publish))
    {
      pu_control_store_reply (c, index, &reply);
      pu_reply_clear (&reply);
    }
  if (publish)
    {
      pu_feed_add (c->feed, index, bytes, len, delta);
      pu_control_polls_notify (c, urgency_of (&command, delta));
    }
  pu_command_clear (&command);
}

static GBytes *
on_snapshot (uint64_t index, void *data)
{
  const pu_control_t *c = data;

  (void)index;
  return pu_state_encode (c->state, false);
}

static bool
on_restore (uint64_t index, const void *bytes, size_t len, void *data,
            pu_error_t *e)
{
  pu_control_t *c = data;

  if (!pu_state_decode (c->state, bytes, len, e))
    return false;
  pu_state_skip_to (c->state, index);
  pu_feed_reset (c->feed, index);
  pu_control_polls_notify (c, PU_PACE_IMMEDIATE);
  return true;
}

static void
on_role (bool leader, uint64_t term, void *data)
{
  pu_control_t *c = data;

  (void)term;
  if (!leader)
    pu_control_leadership_end (c);
}

/* --- procedures and timer --- */

static void
on_replica_message (void *data, pu_rpc_call_t *call, const guint8 *body,
                    size_t n)
{
  pu_control_t *c = data;
  pu_error_t e;

  pu_rpc_call_drop (call);
  if (!pu_group_receive (c->group, body, n, &e)
      && pu_log_limited (&c->drop_logged, pu_control_now (c),
                         DROP_LOG_INTERVAL_MS))
    {
      pu_log_warn (PU_CONTROL_PART,
                   "Dropped an invalid message from a voter: %s", e.message);
    }
}

static void
on_tick (uv_timer_t *t)
{
  pu_control_t *c = t->data;
  uint64_t now = pu_control_now (c);

  c->heard_leader
      = c->heard_leader || pu_control_leader_address (c)[0] != '\0';
  pu_control_polls_tick (c, now);
  pu_control_chunks_tick (c, now);
  pu_control_leadership_tick (c, now);
  pu_control_queries_tick (c, now);
  pu_control_stand_in_tick (c, now);
  pu_control_send_sessions (c, now);
}

static const struct
{
  guint32 proc;
  pu_rpc_handler_t *handler;
} procs[] = {
  { PU_CONTROL_POLL, pu_control_on_poll },
  { PU_CONTROL_POLL_DELTAS, pu_control_on_poll_deltas },
  { PU_CONTROL_POLL_BLOBS, pu_control_on_poll_blobs },
  { PU_CONTROL_CHUNK, pu_control_on_chunk },
  { PU_CONTROL_PROPOSE, pu_control_on_propose },
  { PU_CONTROL_PROPOSE_PACKED, pu_control_on_propose_packed },
  { PU_CONTROL_SESSIONS, pu_control_on_sessions },
  { PU_CONTROL_REPLICA, on_replica_message },
  { PU_CONTROL_QUERY, pu_control_on_query },
  { PU_CONTROL_ALLOWANCE, pu_control_on_allowance },
  { PU_CONTROL_LOAD_EXCHANGE, pu_control_on_load_exchange },
};

/* --- construction and options --- */

static void
init_group_options (const pu_control_options_t *o, pu_control_t *c,
                    pu_group_options_t *g)
{
  pu_group_options_init (g);
  g->loop = o->loop;
  g->folder = o->folder;
  g->fs = o->fs;
  g->send = on_send;
  g->apply = on_apply;
  g->take_snapshot = on_snapshot;
  g->restore = on_restore;
  g->role = on_role;
  g->data = c;
  g->replica.self.name = (char *)o->name;
  g->replica.self.address = (char *)o->address;
  g->replica.initial = o->voters;
  g->replica.n_initial = o->n_voters;
  g->replica.seed = o->seed;
  if (o->heartbeat_ms != 0)
    g->replica.heartbeat_ms = o->heartbeat_ms;
  if (o->election_ms != 0)
    g->replica.election_ms = o->election_ms;
  g->replica.voters_wanted = o->voters_wanted;
  if (o->replace_after_ms != 0)
    g->replica.replace_after_ms = o->replace_after_ms;
  if (o->snapshot_entries != 0)
    g->replica.snapshot_entries = o->snapshot_entries;
}

static pu_rpc_pool_t *
pool_new (const pu_control_options_t *o, guint silent_ms)
{
  pu_rpc_pool_options_t p = { .client = { .loop = o->loop,
                                          .source = o->source,
                                          .key = o->key,
                                          .counters = o->counters,
                                          .seed = (guint32)o->seed,
                                          .connect_ms = o->connect_ms,
                                          .silent_ms = silent_ms } };

  return pu_rpc_pool_new (&p);
}

static void
control_free (pu_control_t *c)
{
  pu_control_leadership_clear (c);
  pu_control_proposals_clear (c);
  pu_control_stand_in_clear (c);
  pu_sessions_free (c->sessions);
  pu_grants_free (c->grants);
  pu_allowance_pool_free (c->allowances);
  pu_load_hub_free (c->load_hub);
  pu_feed_free (c->feed);
  pu_state_free (c->state);
  pu_rpc_pool_free (c->pool);
  pu_rpc_pool_free (c->bulk_pool);
  g_free (c->name);
  g_free (c->address);
  g_free (c);
}

pu_control_t *
pu_control_new (const pu_control_options_t *o, pu_error_t *e)
{
  pu_control_t *c = g_new0 (pu_control_t, 1);
  pu_group_options_t g;

  c->options = *o;
  c->started = pu_control_now (c);
  c->name = g_strdup (o->name);
  c->address = g_strdup (o->address);
  c->state = pu_state_new (&o->state);
  c->feed = pu_feed_new (o->ring_entries, o->ring_bytes);
  c->sessions = pu_sessions_new ();
  c->grants = pu_grants_new ();
  c->allowances = pu_allowance_pool_new (&o->allowances, c->started);
  pu_control_load_exchange_init (c);
  c->pool = pool_new (o, 0);
  c->bulk_pool = pool_new (o, BULK_TIMEOUT_MS);
  pu_control_proposals_init (c);
  pu_control_stand_in_init (c);
  pu_control_leadership_init (c);
  pu_control_polls_init (c);
  pu_control_chunks_init (c);
  init_group_options (o, c, &g);
  c->group = pu_group_new (&g, e);
  if (c->group == NULL)
    {
      pu_control_polls_clear (c);
      pu_control_chunks_clear (c);
      control_free (c);
      return NULL;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (procs); i++)
    {
      pu_rpc_server_add (o->server, PU_RPC_PROGRAM_CONTROL, PU_CONTROL_VERSION,
                         procs[i].proc, procs[i].handler, c);
    }
  c->tick_timer = pu_rpc_timer_new (o->loop, c);
  uv_timer_start (c->tick_timer, on_tick, o->tick_ms, o->tick_ms);
  return c;
}

void
pu_control_begin_stop (pu_control_t *c)
{
  pu_group_begin_stop (c->group);
}

void
pu_control_step_down (pu_control_t *c)
{
  pu_group_transfer_leadership (c->group);
}

static void
on_group_closed (void *data)
{
  pu_control_t *c = data;
  void (*closed) (void *) = c->closed;
  void *closed_data = c->closed_data;

  control_free (c);
  if (closed != NULL)
    closed (closed_data);
}

void
pu_control_close (pu_control_t *c, void (*closed) (void *data), void *data)
{
  c->closing = true;
  c->closed = closed;
  c->closed_data = data;
  for (size_t i = 0; i < G_N_ELEMENTS (procs); i++)
    {
      pu_rpc_server_remove (c->options.server, PU_RPC_PROGRAM_CONTROL,
                            PU_CONTROL_VERSION, procs[i].proc);
    }
  pu_control_leadership_end (c);
  pu_rpc_timer_free (c->tick_timer);
  pu_control_polls_clear (c);
  pu_control_chunks_clear (c);
  pu_control_drop_forwards (c);
  pu_control_stand_in_drop (c);
  pu_group_close (c->group, on_group_closed, c);
}

static void
set_gauge (pu_counters_t *counters, const char *name, size_t value)
{
  pu_counters_set (counters, pu_counters_get (counters, name), (gint64)value);
}

void
pu_control_count (const pu_control_t *c)
{
  pu_counters_t *counters = c->options.counters;

  if (counters == NULL || c->closing)
    return;
  set_gauge (counters, "control_polls_waiting", c->polls.length);
  set_gauge (counters, "control_chunks_waiting", c->chunk_calls.length);
  set_gauge (counters, "control_bulk_in_flight_bytes",
             pu_flight_bytes (c->flight));
  set_gauge (counters, "control_blob_bytes", pu_blobs_bytes (c->blobs));
  set_gauge (counters, "control_feed_bytes", pu_feed_bytes (c->feed));
}

void
pu_control_set_claims_max (pu_control_t *c, guint32 claims_max)
{
  c->options.claims_max = claims_max;
}

const pu_state_t *
pu_control_state (const pu_control_t *c)
{
  return c->state;
}

pu_group_t *
pu_control_group (const pu_control_t *c)
{
  return c->group;
}

bool
pu_control_is_leader (pu_control_t *c)
{
  return c->leading && pu_group_holds_lease (c->group);
}

pu_allowance_pool_t *
pu_control_allowances (pu_control_t *c)
{
  return c->allowances;
}

void
pu_control_on_teams_tick (pu_control_t *c,
                          void (*fn) (void *data, uint64_t now), void *data)
{
  c->teams_tick = fn;
  c->teams_tick_data = data;
}

void
pu_control_add_leader_task (pu_control_t *c,
                            const pu_control_leader_task_t *task)
{
  g_array_append_val (c->leader_tasks, *task);
}

void
pu_control_add_seed (pu_control_t *c, const char *address)
{
  pu_group_add_seed (c->group, address);
}

void
pu_control_on_copy_request (pu_control_t *c, pu_control_copy_request_fn *fn,
                            void *data)
{
  c->copy_request = fn;
  c->copy_request_data = data;
}

void
pu_control_on_refusal (pu_control_t *c, pu_control_refusal_fn *fn, void *data)
{
  c->refusal = fn;
  c->refusal_data = data;
}

void
pu_control_on_demand (pu_control_t *c, pu_control_demand_fn *fn, void *data)
{
  c->demand = fn;
  c->demand_data = data;
}

void
pu_control_on_urgency (pu_control_t *c, pu_control_urgency_fn *fn, void *data)
{
  c->urgency = fn;
  c->urgency_data = data;
}

json_t *
pu_control_status (pu_control_t *c)
{
  json_t *o = pu_group_status (c->group);
  const pu_doc_record *d = pu_state_document (c->state);

  json_object_set_new (o, "leader_address",
                       json_string (pu_control_leader_address (c)));
  json_object_set_new (
      o, "quorum", json_boolean (pu_control_leader_address (c)[0] != '\0'));
  json_object_set_new (
      o, "state",
      json_pack ("{s:I, s:I, s:I}", "position",
                 (json_int_t)pu_state_position (c->state), "view",
                 (json_int_t)pu_state_membership_version (c->state),
                 "document_version",
                 (json_int_t)(d == NULL ? 0 : d->doc_version)));
  if (!c->leading)
    return o;
  json_object_set_new (o, "sessions", pu_control_sessions_json (c));
  if (c->options.granted != NULL)
    {
      json_object_set_new (o, "allowances",
                           c->options.granted (c->options.granted_data));
    }
  if (c->options.placement != NULL)
    {
      json_object_set_new (o, "placement",
                           c->options.placement (c->options.placement_data));
    }
  return o;
}
