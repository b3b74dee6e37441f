#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"
#include "state/software.h"

enum
{
  PROBES_UNTIL_DOWN = 2, /* a backend server is marked as down after this many
                            failed probes in a row */
  PROBE_RETRY_MS = 100,
  /* A backend server that this entry found dead, by failed probes or because
     another one has its address, stays down at this entry for this time, even
     if the replicated state says that it is up.  After this time the
     replicated state must have it as down.  */
  LOCAL_DOWN_MS = 5000,
  /* Most lines on changes of state when all backend servers are applied at
     once, as after a start.  */
  CHANGES_LOGGED_MAX = 200,
};

/* An override: whether a backend server has a ready copy of a model, for the
   time in which its reports are out of date.  */
typedef struct
{
  char *version;
  bool present;
  guint64 expires_at; /* loop time; after it the backend server's reports show
                         the actual state of the copy */
} copy_override_t;

static void
override_free (gpointer value)
{
  copy_override_t *x = value;

  g_free (x->version);
  g_free (x);
}

pu_server_t *
pu_server_find (const pu_entry_t *en, const char *name)
{
  return g_hash_table_lookup (en->servers, name);
}

void
pu_server_free (gpointer server)
{
  pu_server_t *s = server;

  if (s->inquiry != 0)
    g_hash_table_remove (s->en->inquiries, &s->inquiry);
  pu_lost_remove (s->en->lost, s);
  pu_http_call_cancel (s->probe);
  pu_brittle_free (s->brittle);
  pu_crowded_free (s->crowded);
  g_ptr_array_free (s->held_exchanges, TRUE);
  g_hash_table_destroy (s->copy_overrides);
  g_free (s->name);
  g_free (s->address);
  g_free (s->software);
  g_free (s->counted_service);
  g_free (s->counted_software);
  g_free (s);
}

static pu_server_t *
server_get_or_add (pu_entry_t *en, const char *name)
{
  pu_server_t *s = pu_server_find (en, name);

  if (s != NULL)
    return s;
  s = g_new0 (pu_server_t, 1);
  s->en = en;
  s->name = g_strdup (name);
  s->software = g_strdup ("");
  s->handle = PU_ROUTER_NONE;
  s->number = ++en->last_server_number;
  s->held_exchanges = g_ptr_array_new ();
  s->copy_overrides
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, override_free);
  g_hash_table_insert (en->servers, s->name, s);
  return s;
}

/* The tick does not visit all servers, because nearly all of several thousand
   have no timer pending.  */
void
pu_server_watch (pu_server_t *s)
{
  g_hash_table_add (s->en->ticking_servers, s);
}

static bool
has_timer (const pu_server_t *s)
{
  return s->probe_at != 0 || s->inquiry != 0 || s->aborted_suspects > 0
         || s->local_down_until != 0
         || g_hash_table_size (s->copy_overrides) > 0;
}

/* --- strikes for crashes of backend servers --- */

/* A strike is a record in the replicated log that blames a request for a
   crash.  */
void
pu_server_propose_strikes (pu_server_t *s, guint64 incarnation)
{
  pu_entry_t *en = s->en;
  GArray *strikes = g_array_new (FALSE, FALSE, sizeof (pu_suspects_strike_t));

  pu_suspects_backend_died (en->suspects, s->number, incarnation, strikes,
                            uv_now (en->o.loop));
  if (pu_server_may_have_fallen (s))
    g_array_set_size (strikes, 0);
  for (guint i = 0; i < strikes->len; i++)
    {
      const pu_suspects_strike_t *one
          = &g_array_index (strikes, pu_suspects_strike_t, i);

      pu_strike_begin (en, s, one);
    }
  g_array_free (strikes, TRUE);
  pu_part_accuse (s, incarnation);
}

/* --- updating the router's table of backend servers --- */

static pu_router_phase_t
router_phase (pu_copy_phase phase)
{
  switch (phase)
    {
    case PU_COPY_LOADING:
      return PU_ROUTER_COPY_LOADING;
    case PU_COPY_READY:
      return PU_ROUTER_COPY_READY;
    case PU_COPY_DRAINING:
    case PU_COPY_UNLOADING:
      return PU_ROUTER_COPY_DRAINING;
    }
  return PU_ROUTER_COPY_DRAINING;
}

/* Whether an override says that S has no copy of MODEL.  */
static bool
is_marked_absent (const pu_server_t *s, const char *model)
{
  const copy_override_t *x = g_hash_table_lookup (s->copy_overrides, model);

  return x != NULL && !x->present;
}

static bool
is_reported (const pu_backend_record *b, const char *model)
{
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      if (strcmp (b->copies.copies_val[i].model, model) == 0)
        return true;
    }
  return false;
}

static void
overrides_append (const pu_server_t *s, const pu_backend_record *b,
                  GArray *copies)
{
  GHashTableIter it;
  gpointer model;
  gpointer value;

  g_hash_table_iter_init (&it, s->copy_overrides);
  while (g_hash_table_iter_next (&it, &model, &value))
    {
      const copy_override_t *x = value;
      pu_router_copy_t one = { model, x->version, PU_ROUTER_COPY_READY };

      if (x->present && !is_reported (b, model))
        g_array_append_val (copies, one);
    }
}

static void
copies_append (const pu_server_t *s, const pu_backend_record *b,
               const char *plain, GArray *copies)
{
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      pu_router_copy_t one
          = { c->model, c->model_version, router_phase (c->phase) };

      if (!pu_copy_is_fact (c) && !is_marked_absent (s, c->model))
        g_array_append_val (copies, one);
    }
  overrides_append (s, b, copies);
  if (b->kind == PU_BACKEND_PLAIN)
    {
      pu_router_copy_t one = { plain, "", PU_ROUTER_COPY_READY };

      g_array_append_val (copies, one);
    }
}

static void
router_update (pu_server_t *s, const pu_backend_record *b)
{
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (pu_router_copy_t));
  char *plain = g_strconcat ("service:", b->service, NULL);
  pu_router_backend_options_t o = {
    .name = b->name,
    .incarnation = b->incarnation,
    .kind = s->plain ? PU_ROUTER_PLAIN : PU_ROUTER_ENGINE,
    .region = b->region,
    .zone = b->zone,
    .software = pu_server_software (s),
    .leaving = s->leaving || s->running_suspects > 0,
  };

  copies_append (s, b, plain, copies);
  o.copies = (const pu_router_copy_t *)(void *)copies->data;
  o.n_copies = copies->len;
  s->handle = pu_router_set_backend (s->en->router, &o);
  if (s->handle != PU_ROUTER_NONE)
    {
      pu_router_set_back_off (s->en->router, s->handle, s->back_off_until);
      pu_server_brittle_apply (s);
      pu_server_lost_reapply (s);
    }
  g_array_free (copies, TRUE);
  g_free (plain);
}

static void
router_remove (pu_server_t *s)
{
  pu_server_set_reached (s);
  if (s->handle != PU_ROUTER_NONE)
    pu_router_remove_backend (s->en->router, s->handle);
  s->handle = PU_ROUTER_NONE;
}

static void
incarnation_set (pu_server_t *s, const pu_backend_record *b)
{
  if (s->incarnation != 0)
    {
      pu_server_propose_strikes (s, s->incarnation);
      s->replaced_at = uv_now (s->en->o.loop);
    }
  g_hash_table_remove (s->en->load_ids, &s->load_id);
  s->incarnation = b->incarnation;
  s->load_id = pu_entry_load_id (s->name, s->incarnation);
  g_hash_table_insert (s->en->load_ids, &s->load_id, s);
  s->leaving = false;
  s->back_off_until = 0;
  s->limit_per_s = 0;
  pu_server_brittle_forget (s);
  s->grants = 0;
  s->local_down_until = 0;
  s->failed_probes = 0;
  s->refusal_report_at = 0;
  s->next_inquiry_at = 0;
  s->unconfirmed_until = 0;
  pu_server_set_reached (s);
  pu_server_uncount_version (s);
  g_free (s->software);
  s->software = g_strdup ("");
  s->software_disputed = false;
}

/* Sets the software version of S from its record B.  An entry of an earlier
   release leaves the version out of a record.  Two versions of one incarnation
   come from two processes, so that neither can be relied on.  */
static void
software_update (pu_server_t *s, const pu_backend_record *b)
{
  const char *stated = pu_backend_software (b);

  if (*stated == '\0' || s->software_disputed
      || strcmp (stated, s->software) == 0)
    return;
  s->software_disputed = *s->software != '\0';
  if (s->software_disputed)
    {
      pu_log_warn (PU_ENTRY_LOG_SLICE,
                   "Backend server %s states software versions %s and %s; its "
                   "streams are not resumed elsewhere.",
                   s->name, s->software, stated);
    }
  g_free (s->software);
  s->software = g_strdup (s->software_disputed ? "" : stated);
}

/* Returns the name of the state that S has at this entry, for the log.  */
static const char *
health_name (const pu_server_t *s)
{
  if (s->incarnation == 0)
    return "unknown";
  if (s->down)
    return "down";
  return s->leaving ? "leaving" : "ready";
}

static void
health_log_change (pu_server_t *s, const char *before)
{
  pu_entry_t *en = s->en;

  if (strcmp (before, health_name (s)) == 0)
    return;
  if (en->applying_all && en->changes_logged++ >= CHANGES_LOGGED_MAX)
    return;
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Backend server changed state.",
      PU_LOG_TEXT ("server", s->name), PU_LOG_TEXT ("address", s->address),
      PU_LOG_TEXT ("before", before), PU_LOG_TEXT ("now", health_name (s)),
      PU_LOG_TEXT ("software", s->software),
      PU_LOG_NUMBER ("incarnation", s->incarnation),
      PU_LOG_NUMBER ("changes", en->changes));
}

pu_server_t *
pu_server_apply (pu_entry_t *en, const pu_backend_record *b)
{
  pu_server_t *s = server_get_or_add (en, b->name);
  const char *before = health_name (s);

  if (b->incarnation < s->incarnation)
    return s;
  if (b->incarnation > s->incarnation)
    incarnation_set (s, b);
  g_free (s->address);
  s->address = g_strdup (b->address);
  s->plain = b->kind == PU_BACKEND_PLAIN;
  software_update (s, b);
  pu_server_count_version (s, b->service, !b->down);
  s->leaving = s->leaving || b->leaving;
  if (b->down && !s->down)
    pu_server_crash_logged (s);
  s->down = b->down || uv_now (en->o.loop) < s->local_down_until;
  if (s->down)
    {
      router_remove (s);
    }
  else
    {
      pu_server_brittle_inherit (s);
      router_update (s, b);
    }
  health_log_change (s, before);
  return s;
}

static void
backend_apply (const pu_backend_record *b, void *data)
{
  pu_server_apply (data, b);
}

/* Removes from the router the backend servers that are no longer in VIEW, this
   instance's copy of the replicated state.  */
static void
unlisted_remove (pu_entry_t *en, const pu_state_t *view)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      pu_server_t *s = value;

      const char *before = health_name (s);

      if (pu_state_backend (view, s->name) != NULL)
        continue;
      router_remove (s);
      pu_server_uncount_version (s);
      pu_server_brittle_forget (s);
      pu_server_statement_forget (s);
      s->down = true;
      health_log_change (s, before);
    }
}

void
pu_server_set_leaving (pu_entry_t *en, const char *name, guint64 incarnation)
{
  pu_server_t *s = pu_server_find (en, name);

  if (s == NULL || s->incarnation != incarnation)
    return;
  s->leaving = true;
  if (s->handle != PU_ROUTER_NONE)
    pu_router_set_leaving (en->router, s->handle);
}

guint64
pu_server_replaced_ms (const pu_entry_t *en, const char *name,
                       guint64 incarnation)
{
  const pu_server_t *s = pu_server_find (en, name);

  if (s == NULL || s->incarnation == 0)
    return G_MAXUINT64;
  /* A report has named it, and the view has the one before.  */
  if (s->incarnation < incarnation)
    return 0;
  return s->replaced_at == 0 ? G_MAXUINT64
                             : uv_now (en->o.loop) - s->replaced_at;
}

void
pu_server_back_off (pu_server_t *s, guint64 until)
{
  s->back_off_until = MAX (s->back_off_until, until);
  if (s->handle != PU_ROUTER_NONE)
    {
      pu_router_set_back_off (s->en->router, s->handle, s->back_off_until);
      pu_entry_schedule_router (s->en);
    }
}

void
pu_servers_sync (pu_entry_t *en, guint64 since)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);

  if (pu_state_each_changed_backend (view, since, backend_apply, en))
    return;
  en->applying_all = true;
  en->changes_logged = 0;
  pu_state_each_backend (view, backend_apply, en);
  unlisted_remove (en, view);
  en->applying_all = false;
  if (en->changes_logged > CHANGES_LOGGED_MAX)
    {
      pu_log_event (
          PU_ENTRY_LOG_SLICE, "More backend servers changed state at once.",
          PU_LOG_NUMBER ("more", en->changes_logged - CHANGES_LOGGED_MAX));
    }
}

void
pu_server_count_suspect (pu_entry_t *en, pu_server_t *s, bool begins)
{
  const pu_backend_record *b;

  s->running_suspects += begins ? 1 : -1;
  if (s->handle == PU_ROUTER_NONE)
    return;
  if (begins)
    {
      pu_router_set_leaving (en->router, s->handle);
      return;
    }
  b = pu_state_backend (en->o.hooks.view (en->o.hooks.data), s->name);
  if (b != NULL && b->incarnation == s->incarnation)
    router_update (s, b);
  pu_entry_schedule_router (en);
}

void
pu_server_suspect_aborted (pu_server_t *s)
{
  pu_server_watch (s);
  s->aborted_suspects++;
  s->aborted_until = uv_now (s->en->o.loop) + s->en->o.strike_settle_ms;
}

bool
pu_servers_copy_isolated (const pu_entry_t *en, const pu_request_t *q)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_server_t *s = value;
      const pu_backend_record *b;

      if (s->running_suspects == 0 || s->down)
        continue;
      b = pu_state_backend (view, s->name);
      if (b != NULL
          && (q->plain ? strcmp (b->service, q->service) == 0
                       : is_reported (b, q->model)))
        return true;
    }
  return false;
}

/* --- overrides of reported copies --- */

/* override_set - records that S has, or lacks, a ready copy of MODEL until
   loop time UNTIL, whatever the reports of S say.  The calling function must
   update the router afterwards.  */
static void
override_set (pu_server_t *s, const char *model, bool present, guint64 until)
{
  const pu_document_t *d = s->en->document;
  pu_model_handle_t m = pu_document_find_model (d, model);
  copy_override_t *x;

  if (m == PU_HANDLE_NONE)
    return;
  x = g_new0 (copy_override_t, 1);
  x->version = g_strdup (pu_document_model (d, m)->version);
  x->present = present;
  x->expires_at = until;
  pu_server_watch (s);
  g_hash_table_replace (s->copy_overrides, g_strdup (model), x);
}

/* Returns the record of S in the replicated state, or NULL when S is not in
   the router.  */
static const pu_backend_record *
routed_record (const pu_server_t *s)
{
  const pu_entry_t *en = s->en;

  return s->handle != PU_ROUTER_NONE
             ? pu_state_backend (en->o.hooks.view (en->o.hooks.data), s->name)
             : NULL;
}

static void
override_apply (pu_server_t *s, const char *model, bool present, guint64 until)
{
  const pu_backend_record *b = routed_record (s);

  if (b == NULL
      || pu_document_find_model (s->en->document, model) == PU_HANDLE_NONE)
    return;
  override_set (s, model, present, until);
  router_update (s, b);
}

void
pu_server_mark_present (pu_server_t *s, const char *model, guint64 until)
{
  override_apply (s, model, true, until);
}

void
pu_server_mark_absent (pu_server_t *s, const char *model, guint64 until)
{
  override_apply (s, model, false, until);
}

/* Whether MODEL is BASE or an adapter of BASE.  */
static bool
is_base_or_adapter (const pu_document_t *d, const char *model,
                    const char *base)
{
  pu_model_handle_t h = pu_document_find_model (d, model);
  const char *own
      = h != PU_HANDLE_NONE ? pu_document_model (d, h)->base_name : NULL;

  return strcmp (model, base) == 0 || g_strcmp0 (own, base) == 0;
}

bool
pu_server_is_withdrawn (const pu_server_t *s, const char *model, guint64 until)
{
  const copy_override_t *x = g_hash_table_lookup (s->copy_overrides, model);

  return x != NULL && !x->present && x->expires_at >= until;
}

void
pu_server_withdraw (pu_server_t *s, const char *model, guint64 until)
{
  const pu_document_t *d = s->en->document;
  const pu_backend_record *b = routed_record (s);
  GHashTableIter it;
  gpointer overridden;
  gpointer value;

  if (b == NULL)
    return;
  g_hash_table_iter_init (&it, s->copy_overrides);
  while (g_hash_table_iter_next (&it, &overridden, &value))
    {
      copy_override_t *x = value;

      if (!is_base_or_adapter (d, overridden, model))
        continue;
      x->present = false;
      x->expires_at = until;
    }
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const char *own = b->copies.copies_val[i].model;

      if (is_base_or_adapter (d, own, model))
        override_set (s, own, false, until);
    }
  router_update (s, b);
}

static gboolean
override_is_expired (gpointer model, gpointer value, gpointer now)
{
  (void)model;
  return ((copy_override_t *)value)->expires_at <= *(guint64 *)now;
}

static void
overrides_tick (pu_server_t *s, guint64 now)
{
  const pu_backend_record *b;

  if (g_hash_table_foreach_remove (s->copy_overrides, override_is_expired,
                                   &now)
          == 0
      || s->handle == PU_ROUTER_NONE)
    return;
  b = pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);
  if (b != NULL)
    router_update (s, b);
}

/* --- health probes of backend servers --- */

void
pu_server_release_held (pu_server_t *s)
{
  GPtrArray *held = s->held_exchanges;

  s->held_exchanges = g_ptr_array_new ();
  s->failed_probes = 0;
  s->probe_at = 0;
  for (guint i = 0; i < held->len; i++)
    {
      pu_exchange_t *x = g_ptr_array_index (held, i);

      pu_exchange_retry (x, x->at.failure);
    }
  g_ptr_array_free (held, TRUE);
}

static void
ignore_reply (void *data, const pu_reply *r, const pu_error_t *e)
{
  (void)data;
  (void)r;
  (void)e;
}

static void
down_propose (pu_server_t *s)
{
  pu_entry_t *en = s->en;
  pu_command c = { .type = PU_COMMAND_BACKEND_DOWN };

  c.pu_command_u.backend_down.name = s->name;
  c.pu_command_u.backend_down.incarnation = s->incarnation;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       ignore_reply, NULL);
}

static void
server_mark_dead (pu_server_t *s)
{
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Backend server %s is down: probes were refused or closed.",
               s->name);
  pu_server_propose_strikes (s, s->incarnation);
  router_remove (s);
  s->down = true;
  pu_server_watch (s);
  s->local_down_until = uv_now (s->en->o.loop) + LOCAL_DOWN_MS;
  pu_http_client_close_idle (s->en->client, s->address);
  down_propose (s);
  pu_server_release_held (s);
}

static bool
is_refused_or_closed (pu_http_end_t kind)
{
  return kind == PU_HTTP_END_CONNECT_FAILED || kind == PU_HTTP_END_CLOSED
         || kind == PU_HTTP_END_STALE;
}

static void
probe_end (void *data, pu_http_call_t *call, const pu_http_result_t *result)
{
  pu_server_t *s = data;

  (void)call;
  s->probe = NULL;
  if (!pu_entry_uses_builtin_frontend (s->en))
    {
      pu_server_crash_probed (s, result);
      return;
    }
  /* A dying process may still accept a connection and close it, so S counts as
     alive only if it sends a response or keeps the connection open.  */
  if (result->head || !is_refused_or_closed (result->kind))
    {
      pu_server_release_held (s);
      return;
    }
  if (++s->failed_probes >= PROBES_UNTIL_DOWN)
    {
      server_mark_dead (s);
    }
  else
    {
      pu_server_watch (s);
      s->probe_at = uv_now (s->en->o.loop) + PROBE_RETRY_MS;
    }
}

void
pu_server_probe_start (pu_server_t *s)
{
  pu_http_call_options_t o
      = { .address = s->address,
          .method = "GET",
          .target = "/health",
          .fresh = true,
          .connect_only = !pu_entry_uses_builtin_frontend (s->en),
          .first_byte_timeout_ms = s->en->o.health_probe_timeout_ms,
          .progress_timeout_ms = s->en->o.health_probe_timeout_ms,
          .events = { .on_end = probe_end },
          .data = s };

  s->probe_at = 0;
  s->probe_again = false;
  s->probe_began_at = uv_now (s->en->o.loop);
  s->probe = pu_http_client_start (s->en->client, &o, NULL);
  if (s->probe == NULL)
    pu_server_release_held (s);
}

void
pu_server_probe (pu_server_t *s)
{
  if (!pu_server_is_checked (s) && !s->down)
    pu_server_probe_start (s);
}

void
pu_server_check_crash (pu_server_t *s)
{
  if (s->probe == NULL && s->inquiry == 0)
    {
      pu_server_probe_start (s);
    }
  else
    {
      s->probe_again = true;
    }
}

void
pu_server_mark_replaced (pu_server_t *s)
{
  if (s->down)
    return;
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Backend server %s is down: another one has its address.",
               s->name);
  router_remove (s);
  s->down = true;
  pu_server_watch (s);
  s->local_down_until = uv_now (s->en->o.loop) + LOCAL_DOWN_MS;
  down_propose (s);
}

void
pu_server_hold (pu_server_t *s, pu_exchange_t *x)
{
  x->phase = PU_EXCHANGE_PROBING;
  s->probe_again = s->probe != NULL;
  if (x->at.suspect_tracked)
    pu_suspects_connection_lost (s->en->suspects, x->number);
  g_ptr_array_add (s->held_exchanges, x);
  if (!pu_server_is_checked (s))
    {
      pu_server_probe_start (s);
    }
  else
    {
      s->probe_again = true;
    }
}

void
pu_server_remove_held (pu_exchange_t *x)
{
  if (x->at.server != NULL)
    g_ptr_array_remove (x->at.server->held_exchanges, x);
}

/* Ends the down state that this entry alone has set for S, once LOCAL_DOWN_MS
   have passed: the record in the replicated state applies again.  */
static void
local_down_tick (pu_server_t *s, guint64 now)
{
  const pu_backend_record *b;

  if (s->local_down_until == 0 || now < s->local_down_until)
    return;
  s->local_down_until = 0;
  b = pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);
  if (b != NULL)
    pu_server_apply (s->en, b);
}

static void
server_tick (pu_server_t *s, guint64 now)
{
  overrides_tick (s, now);
  local_down_tick (s, now);
  pu_server_inquiry_tick (s, now);
  if (s->probe_at != 0 && s->probe_at <= now)
    pu_server_probe_start (s);
  for (; s->aborted_suspects > 0 && s->aborted_until <= now;
       s->aborted_suspects--)
    pu_server_count_suspect (s->en, s, false);
}

void
pu_servers_tick (pu_entry_t *en, guint64 now)
{
  GList *all = g_hash_table_get_keys (en->ticking_servers);

  for (const GList *l = all; l != NULL; l = l->next)
    {
      pu_server_t *s = l->data;

      server_tick (s, now);
      if (!has_timer (s))
        g_hash_table_remove (en->ticking_servers, s);
    }
  g_list_free (all);
}
