#include "entry/entry_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

/* Retries for each first attempt.  */
#define RETRY_RATIO 0.1

enum
{
  TICK_MS = 50,
  PERCENT = 100,
  LOADS_CHECK_MS = 200,     /* interval of pu_load_forward_tick */
  PREFIX_BLOCK_TOKENS = 64, /* tokens of a hashed block of the prompt; stands
                               for 256 bytes, see parse.c */
  HEADER_MAX_BYTES = 32768,
  BODY_MAX_BYTES = 8 * 1024 * 1024,
  ANNOUNCEMENT_MAX_BYTES = 1024 * 1024,
  CONNECTIONS_MAX = 4096,
  REQUESTS_MAX = 4096,
  CONNECT_TIMEOUT_MS = 1000,
  PROGRESS_TIMEOUT_MS = 10000,
  PROBE_TIMEOUT_MS = 1000,
  STRIKE_SETTLE_MS = 1000,
  ISOLATE_STRIKES = 1,
  IDLE_CONNECTION_MS = 4000,
  REPORT_INTERVAL_MS = 1000,
  PROPOSE_TIMEOUT_MS = 2000,
  ENTRIES_TTL_S = 10,
  STARTING_RETRY_AFTER_MS = 1000,
};

void
pu_entry_options_init (pu_entry_options_t *o)
{
  *o = (pu_entry_options_t){
    .header_max = HEADER_MAX_BYTES,
    .body_max = BODY_MAX_BYTES,
    .announcement_max = ANNOUNCEMENT_MAX_BYTES,
    .connections_max = CONNECTIONS_MAX,
    .requests_max = REQUESTS_MAX,
    .connect_ms = CONNECT_TIMEOUT_MS,
    .stream_progress_timeout_ms = PROGRESS_TIMEOUT_MS,
    .health_probe_timeout_ms = PROBE_TIMEOUT_MS,
    .strike_settle_ms = STRIKE_SETTLE_MS,
    .isolate_strikes = ISOLATE_STRIKES,
    .retry_ratio = RETRY_RATIO,
    .retry_slack = -1,
    .callers_share = 1,
    .idle_ms = IDLE_CONNECTION_MS,
    .report_ms = REPORT_INTERVAL_MS,
    .log_proposal_timeout_ms = PROPOSE_TIMEOUT_MS,
    .loads_ms = PU_ENTRY_LOADS_INTERVAL_MIN_MS,
    .ttl_s = ENTRIES_TTL_S,
  };
}

/* --- dispatch of HTTP requests by path --- */

/* Returns whether HTTP has METHOD.  If not, HTTP is refused.  */
static bool
require_method (pu_http_request_t *http, const char *method)
{
  static const pu_refusal_t refusal
      = { 405, "method", PU_RUN_OUTCOME_NOT_RUN, 0 };

  if (strcmp (pu_http_request_method (http), method) == 0)
    return true;
  pu_respond_error (http, pu_http_request_header (http, "x-request-id"),
                    &refusal, "The method is not allowed on this path.");
  return false;
}

/* Returns whether requests can be served from the view and, if NEEDS_DOCUMENT,
   whether there is a document.  If not, HTTP is refused.  */
static bool
require_ready (pu_entry_t *en, pu_http_request_t *http, bool needs_document)
{
  static const pu_refusal_t refusal
      = { 503, "starting", PU_RUN_OUTCOME_NOT_RUN, STARTING_RETRY_AFTER_MS };

  if (en->o.hooks.ready (en->o.hooks.data)
      && (en->document != NULL || !needs_document))
    return true;
  pu_respond_error (http, pu_http_request_header (http, "x-request-id"),
                    &refusal, "This entry has no document yet.");
  return false;
}

static void
handle_completion (pu_entry_t *en, pu_http_request_t *http, bool chat)
{
  if (require_method (http, "POST") && require_ready (en, http, true))
    pu_exchange_begin_model (en, http, chat);
}

static void
respond_not_found (pu_http_request_t *http)
{
  static const pu_refusal_t refusal
      = { 404, "not_found", PU_RUN_OUTCOME_NOT_RUN, 0 };

  pu_respond_error (http, pu_http_request_header (http, "x-request-id"),
                    &refusal, "No such path.");
}

static void
on_builtin_request (pu_entry_t *en, pu_http_request_t *http)
{
  const char *path = pu_http_request_path (http);

  if (strcmp (path, "/v1/chat/completions") == 0)
    {
      handle_completion (en, http, true);
    }
  else if (strcmp (path, "/v1/completions") == 0)
    {
      handle_completion (en, http, false);
    }
  else if (g_str_has_prefix (path, "/services/"))
    {
      if (require_ready (en, http, true))
        pu_exchange_begin_plain (en, http);
    }
  else if (strcmp (path, "/v1/entries") == 0)
    {
      if (require_method (http, "GET") && require_ready (en, http, false))
        pu_entry_serve_entries (en, http);
    }
  else if (strcmp (path, "/v1/backends/announce") == 0)
    {
      if (require_method (http, "POST") && require_ready (en, http, false))
        pu_entry_serve_announce (en, http);
    }
  else if (strcmp (path, "/v1/models") == 0)
    {
      if (require_method (http, "GET") && require_ready (en, http, true))
        pu_entry_serve_models (en, http);
    }
  else if (strcmp (path, "/healthz") == 0)
    {
      pu_entry_serve_health (en, http);
    }
  else
    {
      respond_not_found (http);
    }
}

static void
on_request (void *data, pu_http_request_t *http)
{
  pu_entry_t *en = data;

  if (pu_entry_uses_builtin_frontend (en))
    {
      on_builtin_request (en, http);
    }
  else
    {
      pu_exchange_begin_frontend (en, http);
    }
}

/* --- timers of the router and of the periodic tick --- */

static void
decisions_apply (pu_entry_t *en, const GArray *decisions)
{
  for (guint i = 0; i < decisions->len; i++)
    {
      const pu_router_decision_t *d
          = &g_array_index (decisions, pu_router_decision_t, i);
      pu_exchange_t *x = g_hash_table_lookup (en->tickets, &d->ticket);

      if (x != NULL)
        pu_exchange_apply_decision (x, d);
    }
}

static void
on_router_timer (uv_timer_t *t)
{
  pu_entry_t *en = t->data;
  GArray *decisions
      = g_array_new (FALSE, FALSE, sizeof (pu_router_decision_t));
  guint64 now = uv_now (t->loop);
  guint64 at;

  pu_router_schedule (en->router, now, decisions);
  decisions_apply (en, decisions);
  g_array_free (decisions, TRUE);
  at = pu_router_next_timeout_at (en->router);
  if (at != G_MAXUINT64 && !uv_is_active ((uv_handle_t *)t))
    uv_timer_start (t, on_router_timer, at > now ? at - now : 1, 0);
}

void
pu_entry_schedule_router (pu_entry_t *en)
{
  if (!en->freed)
    uv_timer_start (&en->router_timer, on_router_timer, 0, 0);
}

static void
on_tick (uv_timer_t *t)
{
  pu_entry_t *en = t->data;
  guint64 now = uv_now (t->loop);

  pu_servers_tick (en, now);
  pu_entry_brittle_tick (en);
  pu_entry_crowded_tick (en);
  pu_entry_delay_tick (en, now);
  pu_statements_tick (en, now);
  pu_entry_reach_tick (en, now);
  pu_strikes_tick (en, now);
  pu_parts_entry_tick (en, now);
  pu_leaves_tick (en, now);
  pu_once_tick (en->once, now);
  pu_claim_run_actions (en);
  pu_exchanges_tick (en, now);
  pu_startup_tick (en, now);
  pu_rates_tick (en, now);
  pu_allowances_tick (en, now);
  pu_load_exchange_tick (en, now);
  if (now - en->load_forward_ticked_at >= LOADS_CHECK_MS)
    {
      en->load_forward_ticked_at = now;
      pu_load_forward_tick (en, now);
    }
  pu_entry_check_stopped (en);
}

/* --- construction and release of the entry --- */

static void
components_init (pu_entry_t *en)
{
  pu_router_options_t router;
  pu_directory_options_t directory;
  pu_once_options_t once;
  pu_suspects_options_t suspects;
  pu_parts_options_t parts;

  pu_router_options_init (&router);
  router.seed = en->o.seed;
  router.region = en->region;
  router.zone = en->zone;
  router.block_tokens = PREFIX_BLOCK_TOKENS;
  if (pu_break_active (PU_BREAK_DRAINING_USED))
    router.test_break = PU_ROUTER_BREAK_DRAINING;
  en->router = pu_router_new (&router);
  en->retry_pct = MIN (router.retry_pct, en->o.retry_ratio * PERCENT);
  en->retry_burst = router.retry_burst;
  pu_directory_options_init (&directory);
  directory.self = en->name;
  directory.ttl_s = en->o.ttl_s;
  directory.zone_share = en->o.callers_share;
  en->directory = pu_directory_new (&directory);
  pu_once_options_init (&once);
  once.retry_ms = MIN (once.retry_ms, en->o.log_proposal_timeout_ms);
  en->once = pu_once_new (&once);
  pu_suspects_options_init (&suspects);
  suspects.isolate_strikes = en->o.isolate_strikes;
  suspects.together_strikes = en->o.together_strikes;
  en->suspects = pu_suspects_new (&suspects);
  pu_parts_options_init (&parts);
  parts.seed = en->o.seed;
  en->parts = pu_parts_new (&parts);
}

static char **
backend_keys_copy (const pu_entry_options_t *o)
{
  GPtrArray *keys = g_ptr_array_new ();

  for (guint i = 0; i < o->n_backend_keys; i++)
    g_ptr_array_add (keys, g_strdup (o->backend_keys[i]));
  g_ptr_array_add (keys, NULL);
  return (char **)g_ptr_array_free (keys, FALSE);
}

static void
tables_init (pu_entry_t *en)
{
  en->servers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pu_server_free);
  en->ticking_servers = g_hash_table_new (NULL, NULL);
  en->brittle_servers = g_hash_table_new (NULL, NULL);
  en->crowded_servers = g_hash_table_new (NULL, NULL);
  en->heard_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  en->asked_services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  en->inquiries = g_hash_table_new (g_int64_hash, g_int64_equal);
  en->statements = pu_gossip_new ();
  en->statement_entries_version = G_MAXUINT64;
  en->other_addresses = g_ptr_array_new_with_free_func (g_free);
  en->other_addresses_version = G_MAXUINT64;
  en->reporters = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         pu_reporter_free);
  pu_reach_init (&en->reach);
  en->lost = pu_lost_new ();
  pu_entry_origins_init (en);
  pu_allowances_init (en);
  en->request_sizes = pu_request_sizes_new ();
  pu_load_exchange_init (en);
  en->peers = g_ptr_array_new_with_free_func (pu_entry_peer_free);
  en->peers_version = G_MAXUINT64;
  en->cut_off_peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  en->leaves = g_hash_table_new_full (pu_leave_hash, pu_leave_equal,
                                      pu_leave_free, NULL);
  en->suspect_standings
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  en->logged_parts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  en->part_standings
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  en->strikes = g_ptr_array_new_with_free_func (pu_strike_free);
  en->acquittals
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  en->rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  en->mean_run_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  en->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  en->claims = g_hash_table_new (NULL, NULL);
  en->tickets = g_hash_table_new (g_int64_hash, g_int64_equal);
  en->numbers = g_hash_table_new (g_int64_hash, g_int64_equal);
  en->load_receivers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              pu_load_receiver_free);
  en->load_ids = g_hash_table_new (g_int64_hash, g_int64_equal);
  en->model_waits = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           pu_model_wait_free);
}

static pu_http_server_t *
http_server_start (pu_entry_t *en, pu_error_t *e)
{
  const pu_entry_options_t *o = &en->o;
  pu_http_server_options_t server = {
    .loop = o->loop,
    .host = o->host,
    .port = o->port,
    .certificate = o->certificate,
    .key = o->key,
    .header_max = o->header_max,
    .body_max = o->body_max,
    .connections_max = o->connections_max,
    .memory = o->memory,
    .strict = o->front != NULL,
    .refusal_header = "x-outcome",
    .refusal_value = "not-run",
    .refusal_body
    = "{\"error\":{\"message\":\"The request is malformed or exceeds a size "
      "limit.\",\"type\":\"invalid_request\",\"outcome\":"
      "\"not-run\"}}",
    .busy_body = "{\"error\":{\"message\":\"This entry is short of memory."
                 "\",\"type\":\"memory\",\"outcome\":\"not-run\"}}",
    .handler = on_request,
    .data = en
  };

  return pu_http_server_new (&server, e);
}

static void
timers_start (pu_entry_t *en)
{
  uv_timer_init (en->o.loop, &en->tick_timer);
  uv_timer_init (en->o.loop, &en->router_timer);
  en->tick_timer.data = en;
  en->router_timer.data = en;
  uv_timer_init (en->o.loop, &en->origins_timer);
  en->origins_timer.data = en;
  uv_timer_init (en->o.loop, &en->allowance_timer);
  en->allowance_timer.data = en;
  uv_timer_init (en->o.loop, &en->load_exchange_timer);
  en->load_exchange_timer.data = en;
  en->open_handles = 5;
  uv_timer_start (&en->tick_timer, on_tick, TICK_MS, TICK_MS);
}

/* Frees EN if pu_entry_free was called and no handle or callback is left.  */
static void
entry_destroy_if_idle (pu_entry_t *en)
{
  if (!en->freed || en->open_handles > 0 || en->pending > 0)
    return;
  pu_router_free (en->router);
  pu_directory_free (en->directory);
  pu_once_free (en->once);
  pu_suspects_free (en->suspects);
  pu_parts_free (en->parts);
  pu_document_unref (en->document);
  g_hash_table_destroy (en->load_receivers);
  g_hash_table_destroy (en->load_ids);
  g_hash_table_destroy (en->model_waits);
  g_hash_table_destroy (en->ticking_servers);
  g_hash_table_destroy (en->brittle_servers);
  g_hash_table_destroy (en->crowded_servers);
  g_hash_table_destroy (en->heard_services);
  g_hash_table_destroy (en->asked_services);
  pu_gossip_free (en->statements);
  g_ptr_array_free (en->other_addresses, TRUE);
  g_hash_table_destroy (en->servers);
  g_hash_table_destroy (en->inquiries);
  pu_lost_free (en->lost);
  g_hash_table_destroy (en->reporters);
  g_hash_table_destroy (en->leaves);
  g_ptr_array_free (en->peers, TRUE);
  g_hash_table_destroy (en->cut_off_peers);
  pu_entry_origins_clear (en);
  pu_allowances_clear (en);
  pu_request_sizes_free (en->request_sizes);
  pu_load_exchange_clear (en);
  g_ptr_array_free (en->strikes, TRUE);
  g_hash_table_destroy (en->acquittals);
  g_hash_table_destroy (en->suspect_standings);
  g_hash_table_destroy (en->part_standings);
  g_hash_table_destroy (en->logged_parts);
  g_hash_table_destroy (en->rates);
  g_hash_table_destroy (en->mean_run_ms);
  g_hash_table_destroy (en->counts);
  g_hash_table_destroy (en->claims);
  g_hash_table_destroy (en->tickets);
  g_hash_table_destroy (en->numbers);
  g_rand_free (en->random);
  g_strfreev (en->backend_keys);
  g_free (en->peer_key);
  g_free (en->name);
  g_free (en->region);
  g_free (en->zone);
  g_free (en);
}

pu_entry_t *
pu_entry_new (const pu_entry_options_t *o, pu_error_t *e)
{
  pu_entry_t *en = g_new0 (pu_entry_t, 1);
  pu_http_client_options_t client
      = { .loop = o->loop,
          .connect_timeout_ms = o->connect_ms,
          .progress_timeout_ms = o->stream_progress_timeout_ms,
          .idle_ms = o->idle_ms,
          .idle_stated_max_ms = o->idle_stated_max_ms };

  en->o = *o;
  if (o->front != NULL)
    {
      en->front = *o->front;
    }
  else
    {
      pu_entry_builtin_frontend (&en->front);
    }
  en->name = g_strdup (o->name);
  en->region = g_strdup (o->region);
  en->zone = g_strdup (o->zone);
  en->peer_key = g_strdup (o->peer_key);
  en->backend_keys = backend_keys_copy (o);
  en->random = g_rand_new_with_seed (o->seed);
  tables_init (en);
  components_init (en);
  en->server = http_server_start (en, e);
  if (en->server == NULL)
    {
      en->freed = true;
      entry_destroy_if_idle (en);
      return NULL;
    }
  en->client = pu_http_client_new (&client);
  en->rates_updated_at = uv_now (o->loop);
  timers_start (en);
  pu_view_sync (en);
  return en;
}

void
pu_entry_reload (pu_entry_t *en, const pu_entry_options_t *o)
{
  g_strfreev (en->backend_keys);
  en->backend_keys = backend_keys_copy (o);
  en->o.header_max = o->header_max;
  en->o.body_max = o->body_max;
  en->o.announcement_max = o->announcement_max;
  en->o.connections_max = o->connections_max;
  en->o.requests_max = o->requests_max;
  pu_entry_limits_set (en);
}

static gsize
limit_min (gsize own, guint32 declared)
{
  return declared == 0 ? own : MIN (own, declared);
}

void
pu_entry_limits_set (pu_entry_t *en)
{
  static const pu_caller_limits_t none = { 0, 0, 0, 0 };
  const pu_caller_limits_t *l = en->document != NULL
                                    ? pu_document_caller_limits (en->document)
                                    : &none;

  pu_http_server_set_limits (
      en->server, limit_min (en->o.header_max, l->max_header_bytes),
      limit_min (en->o.body_max, l->max_body_bytes), en->o.connections_max);
  pu_http_server_set_times (en->server, l->header_timeout_ms,
                            l->idle_timeout_ms);
}

void
pu_entry_view_changed (pu_entry_t *en)
{
  pu_view_sync (en);
}

const pu_document_t *
pu_entry_document (const pu_entry_t *en)
{
  return en->document;
}

guint64
pu_entry_document_version (const pu_entry_t *en)
{
  return en->document_version;
}

void
pu_entry_zone_entries (const pu_entry_t *en, const char *zone, GArray *out)
{
  pu_directory_zone_entries (en->directory, zone, out);
}

bool
pu_entry_leaving (const pu_entry_t *en)
{
  return en->leaving;
}

void
pu_entry_leave (pu_entry_t *en)
{
  en->leaving = true;
  en->changes = 0;
  pu_view_sync (en);
}

void
pu_entry_check_stopped (pu_entry_t *en)
{
  void (*cb) (void *data) = en->stop_cb;

  if (en->freed)
    {
      entry_destroy_if_idle (en);
      return;
    }
  if (!en->stopping || !en->server_stopped || cb == NULL
      || pu_entry_in_flight (en) > 0)
    return;
  en->stop_cb = NULL;
  cb (en->stop_data);
}

static void
on_server_stopped (void *data)
{
  ((pu_entry_t *)data)->server_stopped = true;
}

void
pu_entry_stop (pu_entry_t *en, void (*cb) (void *data), void *data)
{
  en->stopping = true;
  en->leaving = true;
  en->stop_cb = cb;
  en->stop_data = data;
  pu_startup_tick (en, uv_now (en->o.loop));
  pu_http_server_stop (en->server, on_server_stopped, en);
}

void
pu_entry_abort (pu_entry_t *en)
{
  pu_exchanges_abort (en);
  pu_http_server_abort (en->server);
}

static void
on_handle_closed (uv_handle_t *h)
{
  pu_entry_t *en = h->data;

  en->open_handles--;
  entry_destroy_if_idle (en);
}

void
pu_entry_free (pu_entry_t *en)
{
  if (en == NULL)
    return;
  pu_exchanges_abort (en);
  pu_leaves_give_up (en);
  en->stopping = true;
  pu_startup_tick (en, uv_now (en->o.loop));
  en->freed = true;
  pu_http_client_free (en->client);
  pu_http_server_free (en->server);
  uv_close ((uv_handle_t *)&en->tick_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&en->router_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&en->origins_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&en->allowance_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&en->load_exchange_timer, on_handle_closed);
}

int
pu_entry_port (const pu_entry_t *en)
{
  return pu_http_server_port (en->server);
}

guint
pu_entry_in_flight (const pu_entry_t *en)
{
  return en->open.length + pu_once_count_active (en->once);
}

void
pu_entry_each_request_size (const pu_entry_t *en, pu_request_sizes_fn *fn,
                            void *data)
{
  pu_request_sizes_each (en->request_sizes, uv_now (en->o.loop), fn, data);
}

static json_t *
reporters_json (const pu_entry_t *en)
{
  json_t *out = json_object ();
  GHashTableIter it;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&it, en->reporters);
  while (g_hash_table_iter_next (&it, &name, &value))
    {
      const pu_reporter_t *p = value;

      json_object_set_new (out, name,
                           json_pack ("{s:I, s:I, s:b}", "incarnation",
                                      (json_int_t)p->record->incarnation,
                                      "seq", (json_int_t)p->seq, "leaving",
                                      p->record->leaving));
    }
  return out;
}

json_t *
pu_entry_dump (const pu_entry_t *en)
{
  json_t *dump = json_pack (
      "{s:b, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:I, s:I, s:o, s:o}",
      "leaving", en->leaving, "requests", (int)en->open.length,
      "before_document", (int)en->startup_queue.length, "caller_connections",
      (int)pu_http_server_connections (en->server), "backend_connections",
      (int)pu_http_client_open (en->client), "idle_connections",
      (int)pu_http_client_idle (en->client), "claims_at_work",
      (int)pu_once_count_active (en->once), "suspects_running",
      (int)pu_suspects_in_flight (en->suspects), "bad_announcements",
      (json_int_t)en->invalid_reports, "document_version",
      (json_int_t)en->document_version, "reporters", reporters_json (en),
      "router", pu_router_dump (en->router));

  pu_load_exchange_dump (en, dump);
  return dump;
}
