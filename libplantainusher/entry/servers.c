#include "entry/entry_private.h"

#include <string.h>

#include "base/log.h"

enum
{
  REFUSED_DEAD = 2,     /* probes that nobody listened to */
  PROBE_AGAIN_MS = 100, /* between them */
  DEAD_KEPT_MS = 5000,  /* until the view must have it */
};

/* A copy that S has, or lacks, against its last report.  */
typedef struct
{
  char *version;
  bool has;
  guint64 until; /* loop time: a report knows by then */
} copy_override_t;

static void
extra_free (gpointer extra)
{
  copy_override_t *x = extra;

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

  pu_http_call_cancel (s->probe);
  g_ptr_array_free (s->held, TRUE);
  g_hash_table_destroy (s->copy_overrides);
  g_free (s->name);
  g_free (s->address);
  g_free (s);
}

static pu_server_t *
server_get (pu_entry_t *en, const char *name)
{
  pu_server_t *s = pu_server_find (en, name);

  if (s != NULL)
    return s;
  s = g_new0 (pu_server_t, 1);
  s->en = en;
  s->name = g_strdup (name);
  s->handle = PU_ROUTER_NONE;
  s->number = ++en->last_server_number;
  s->held = g_ptr_array_new ();
  s->copy_overrides
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, extra_free);
  g_hash_table_insert (en->servers, s->name, s);
  return s;
}

/* server_wait - something of S ends with time: the tick looks at it.  Of some
   thousand backend servers nearly all wait for nothing.  */
static void
server_wait (pu_server_t *s)
{
  g_hash_table_add (s->en->waiting, s);
}

static bool
is_waiting (const pu_server_t *s)
{
  return s->probe_at != 0 || s->aborted_suspects > 0
         || s->local_down_until != 0
         || g_hash_table_size (s->copy_overrides) > 0;
}

/* --- strikes --- */

/* INCARNATION of S is dead: what ran there, or was cut there shortly before,
   gets a strike.  */
static void
incarnation_died (pu_server_t *s, guint64 incarnation)
{
  pu_entry_t *en = s->en;
  GArray *strikes = g_array_new (FALSE, FALSE, sizeof (pu_suspects_strike_t));

  pu_suspects_backend_died (en->suspects, s->number, incarnation, strikes,
                            uv_now (en->o.loop));
  for (guint i = 0; i < strikes->len; i++)
    {
      const pu_suspects_strike_t *one
          = &g_array_index (strikes, pu_suspects_strike_t, i);

      pu_strike_begin (en, s, one);
    }
  g_array_free (strikes, TRUE);
}

/* --- the router's table --- */

static pu_router_phase_t
phase_of (pu_copy_phase phase)
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

/* Whether S is known to lack MODEL.  */
static bool
is_lacking (const pu_server_t *s, const char *model)
{
  const copy_override_t *x = g_hash_table_lookup (s->copy_overrides, model);

  return x != NULL && !x->has;
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
extras_add (const pu_server_t *s, const pu_backend_record *b, GArray *copies)
{
  GHashTableIter it;
  gpointer model;
  gpointer value;

  g_hash_table_iter_init (&it, s->copy_overrides);
  while (g_hash_table_iter_next (&it, &model, &value))
    {
      const copy_override_t *x = value;
      pu_router_copy_t one = { model, x->version, PU_ROUTER_COPY_READY };

      if (x->has && !is_reported (b, model))
        g_array_append_val (copies, one);
    }
}

static void
copies_add (const pu_server_t *s, const pu_backend_record *b,
            const char *plain, GArray *copies)
{
  for (guint i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      pu_router_copy_t one
          = { c->model, c->model_version, phase_of (c->phase) };

      if (!is_lacking (s, c->model))
        g_array_append_val (copies, one);
    }
  extras_add (s, b, copies);
  if (b->kind == PU_BACKEND_PLAIN)
    {
      pu_router_copy_t one = { plain, "", PU_ROUTER_COPY_READY };

      g_array_append_val (copies, one);
    }
}

static void
router_set (pu_server_t *s, const pu_backend_record *b)
{
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (pu_router_copy_t));
  char *plain = g_strconcat ("service:", b->service, NULL);
  pu_router_backend_options_t o = {
    .name = b->name,
    .incarnation = b->incarnation,
    .kind = s->plain ? PU_ROUTER_PLAIN : PU_ROUTER_ENGINE,
    .region = b->region,
    .zone = b->zone,
    .leaving = s->leaving || s->suspects > 0,
  };

  copies_add (s, b, plain, copies);
  o.copies = (const pu_router_copy_t *)(void *)copies->data;
  o.n_copies = copies->len;
  s->handle = pu_router_set_backend (s->en->router, &o);
  g_array_free (copies, TRUE);
  g_free (plain);
}

static void
router_remove (pu_server_t *s)
{
  if (s->handle != PU_ROUTER_NONE)
    pu_router_remove_backend (s->en->router, s->handle);
  s->handle = PU_ROUTER_NONE;
}

static void
incarnation_take (pu_server_t *s, const pu_backend_record *b)
{
  if (s->incarnation != 0)
    incarnation_died (s, s->incarnation);
  g_hash_table_remove (s->en->load_ids, &s->load_id);
  s->incarnation = b->incarnation;
  s->load_id = pu_entry_load_id (s->name, s->incarnation);
  g_hash_table_insert (s->en->load_ids, &s->load_id, s);
  s->leaving = false;
  s->local_down_until = 0;
  s->refused = 0;
}

/* How S stands with this entry, in a word.  */
static const char *
health_of (const pu_server_t *s)
{
  if (s->incarnation == 0)
    return "unknown";
  if (s->down)
    return "down";
  return s->leaving ? "leaving" : "ready";
}

static void
health_tell (const pu_server_t *s, const char *before)
{
  if (strcmp (before, health_of (s)) == 0)
    return;
  pu_log_event (
      PU_ENTRY_LOG_SLICE, "Backend server changed state.",
      PU_LOG_TEXT ("server", s->name), PU_LOG_TEXT ("address", s->address),
      PU_LOG_TEXT ("before", before), PU_LOG_TEXT ("now", health_of (s)),
      PU_LOG_NUMBER ("incarnation", s->incarnation),
      PU_LOG_NUMBER ("changes", s->en->changes));
}

pu_server_t *
pu_server_apply (pu_entry_t *en, const pu_backend_record *b)
{
  pu_server_t *s = server_get (en, b->name);
  const char *before = health_of (s);

  if (b->incarnation < s->incarnation)
    return s;
  if (b->incarnation > s->incarnation)
    incarnation_take (s, b);
  g_free (s->address);
  s->address = g_strdup (b->address);
  s->plain = b->kind == PU_BACKEND_PLAIN;
  s->leaving = s->leaving || b->leaving;
  s->down = b->down || uv_now (en->o.loop) < s->local_down_until;
  if (s->down)
    {
      router_remove (s);
    }
  else
    {
      router_set (s, b);
    }
  health_tell (s, before);
  return s;
}

static void
backend_take (const pu_backend_record *b, void *data)
{
  pu_server_apply (data, b);
}

/* A backend server that the view has forgotten.  */
static void
forgotten_remove (pu_entry_t *en, const pu_state_t *view)
{
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      pu_server_t *s = value;

      const char *before = health_of (s);

      if (pu_state_backend (view, s->name) != NULL)
        continue;
      router_remove (s);
      s->down = true;
      health_tell (s, before);
    }
}

void
pu_servers_sync (pu_entry_t *en, guint64 since)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);

  if (pu_state_each_changed_backend (view, since, backend_take, en))
    return;
  pu_state_each_backend (view, backend_take, en);
  forgotten_remove (en, view);
}

void
pu_server_count_suspect (pu_entry_t *en, pu_server_t *s, bool begins)
{
  const pu_backend_record *b;

  s->suspects += begins ? 1 : -1;
  if (s->handle == PU_ROUTER_NONE)
    return;
  if (begins)
    {
      pu_router_set_leaving (en->router, s->handle);
      return;
    }
  b = pu_state_backend (en->o.hooks.view (en->o.hooks.data), s->name);
  if (b != NULL && b->incarnation == s->incarnation)
    router_set (s, b);
  pu_entry_schedule_router (en);
}

void
pu_server_suspect_aborted (pu_server_t *s)
{
  server_wait (s);
  s->aborted_suspects++;
  s->aborted_until = uv_now (s->en->o.loop) + s->en->o.strike_settle_ms;
}

bool
pu_servers_copy_isolated (const pu_entry_t *en, const char *model)
{
  const pu_state_t *view = en->o.hooks.view (en->o.hooks.data);
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, en->servers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const pu_server_t *s = value;
      const pu_backend_record *b;

      if (s->suspects == 0 || s->down)
        continue;
      b = pu_state_backend (view, s->name);
      if (b != NULL && is_reported (b, model))
        return true;
    }
  return false;
}

/* --- copies against the reports --- */

/* extra_note - the router is told by the caller.  */
static void
extra_note (pu_server_t *s, const char *model, bool has, guint64 until)
{
  const pu_document_t *d = s->en->document;
  pu_model_handle_t m = pu_document_find_model (d, model);
  copy_override_t *x;

  if (m == PU_HANDLE_NONE)
    return;
  x = g_new0 (copy_override_t, 1);
  x->version = g_strdup (pu_document_model (d, m)->version);
  x->has = has;
  x->until = until;
  server_wait (s);
  g_hash_table_replace (s->copy_overrides, g_strdup (model), x);
}

/* The record of S, where the router has S; else NULL.  */
static const pu_backend_record *
routed_record (const pu_server_t *s)
{
  const pu_entry_t *en = s->en;

  return s->handle != PU_ROUTER_NONE
             ? pu_state_backend (en->o.hooks.view (en->o.hooks.data), s->name)
             : NULL;
}

static void
extra_put (pu_server_t *s, const char *model, bool has, guint64 until)
{
  const pu_backend_record *b = routed_record (s);

  if (b == NULL
      || pu_document_find_model (s->en->document, model) == PU_HANDLE_NONE)
    return;
  extra_note (s, model, has, until);
  router_set (s, b);
}

void
pu_server_mark_present (pu_server_t *s, const char *model, guint64 until)
{
  extra_put (s, model, true, until);
}

void
pu_server_mark_absent (pu_server_t *s, const char *model, guint64 until)
{
  extra_put (s, model, false, until);
}

/* Whether MODEL is BASE or an adapter of it.  */
static bool
is_of_base (const pu_document_t *d, const char *model, const char *base)
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

  return x != NULL && !x->has && x->until >= until;
}

void
pu_server_withdraw (pu_server_t *s, const char *model, guint64 until)
{
  const pu_document_t *d = s->en->document;
  const pu_backend_record *b = routed_record (s);
  GHashTableIter it;
  gpointer told;
  gpointer extra;

  if (b == NULL)
    return;
  g_hash_table_iter_init (&it, s->copy_overrides);
  while (g_hash_table_iter_next (&it, &told, &extra))
    {
      copy_override_t *x = extra;

      if (!is_of_base (d, told, model))
        continue;
      x->has = false;
      x->until = until;
    }
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const char *own = b->copies.copies_val[i].model;

      if (is_of_base (d, own, model))
        extra_note (s, own, false, until);
    }
  router_set (s, b);
}

static gboolean
is_over (gpointer model, gpointer extra, gpointer now)
{
  (void)model;
  return ((copy_override_t *)extra)->until <= *(guint64 *)now;
}

static void
extras_tick (pu_server_t *s, guint64 now)
{
  const pu_backend_record *b;

  if (g_hash_table_foreach_remove (s->copy_overrides, is_over, &now) == 0
      || s->handle == PU_ROUTER_NONE)
    return;
  b = pu_state_backend (s->en->o.hooks.view (s->en->o.hooks.data), s->name);
  if (b != NULL)
    router_set (s, b);
}

/* --- probes --- */

static void
held_release (pu_server_t *s)
{
  GPtrArray *held = s->held;

  s->held = g_ptr_array_new ();
  s->refused = 0;
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
server_dead (pu_server_t *s)
{
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Backend server %s is dead: nobody listens.", s->name);
  incarnation_died (s, s->incarnation);
  router_remove (s);
  s->down = true;
  server_wait (s);
  s->local_down_until = uv_now (s->en->o.loop) + DEAD_KEPT_MS;
  pu_http_client_close_idle (s->en->client, s->address);
  down_propose (s);
  held_release (s);
}

static bool
was_closed (pu_http_end_t kind)
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
  /* A dying process may still take a connection and close it: alive is who
     answers, or at least keeps the connection.  */
  if (result->head || !was_closed (result->kind))
    {
      held_release (s);
      return;
    }
  if (++s->refused >= REFUSED_DEAD)
    {
      server_dead (s);
    }
  else
    {
      server_wait (s);
      s->probe_at = uv_now (s->en->o.loop) + PROBE_AGAIN_MS;
    }
}

static void
probe_start (pu_server_t *s)
{
  pu_http_call_options_t o
      = { .address = s->address,
          .method = "GET",
          .target = "/health",
          .fresh = true,
          .first_byte_timeout_ms = s->en->o.health_probe_timeout_ms,
          .progress_timeout_ms = s->en->o.health_probe_timeout_ms,
          .events = { .on_end = probe_end },
          .data = s };

  s->probe_at = 0;
  s->probe = pu_http_client_start (s->en->client, &o, NULL);
  if (s->probe == NULL)
    held_release (s);
}

void
pu_server_probe (pu_server_t *s)
{
  if (s->probe == NULL && s->probe_at == 0 && !s->down)
    probe_start (s);
}

void
pu_server_mark_replaced (pu_server_t *s)
{
  if (s->down)
    return;
  pu_log_note (PU_ENTRY_LOG_SLICE,
               "Backend server %s is gone: another has its address.", s->name);
  router_remove (s);
  s->down = true;
  server_wait (s);
  s->local_down_until = uv_now (s->en->o.loop) + DEAD_KEPT_MS;
  down_propose (s);
}

void
pu_server_hold (pu_server_t *s, pu_exchange_t *x)
{
  x->phase = PU_EXCHANGE_PROBING;
  if (x->at.suspect_tracked)
    pu_suspects_connection_lost (s->en->suspects, x->number);
  g_ptr_array_add (s->held, x);
  if (s->probe == NULL && s->probe_at == 0)
    probe_start (s);
}

void
pu_server_remove_held (pu_exchange_t *x)
{
  if (x->at.server != NULL)
    g_ptr_array_remove (x->at.server->held, x);
}

/* What was found dead here is what the view says again.  */
static void
dead_tick (pu_server_t *s, guint64 now)
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
  extras_tick (s, now);
  dead_tick (s, now);
  if (s->probe_at != 0 && s->probe_at <= now)
    probe_start (s);
  for (; s->aborted_suspects > 0 && s->aborted_until <= now;
       s->aborted_suspects--)
    pu_server_count_suspect (s->en, s, false);
}

void
pu_servers_tick (pu_entry_t *en, guint64 now)
{
  GList *all = g_hash_table_get_keys (en->waiting);

  for (const GList *l = all; l != NULL; l = l->next)
    {
      pu_server_t *s = l->data;

      server_tick (s, now);
      if (!is_waiting (s))
        g_hash_table_remove (en->waiting, s);
    }
  g_list_free (all);
}
