#include "placer/sync.h"

#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "state/software.h"

#define PART "placer"
#define MIN_IMPORTANCE 1

/* The hash table of failures hashes and compares each failure as one 64-bit
   number.  */
G_STATIC_ASSERT (sizeof (pu_placer_sync_failure_t) == sizeof (gint64));

/* --- names of copies --- */

guint32
pu_placer_sync_intern_copy (pu_placer_sync_t *sync, const char *model,
                            const char *version)
{
  char *name = g_strconcat (model, "\n", version, NULL);
  guint32 handle = pu_names_intern (&sync->copies, name);

  g_free (name);
  if (handle == sync->copy_info->len)
    {
      pu_placer_sync_copy_t c;

      c.item = pu_names_intern (&sync->items, model);
      c.version = pu_names_intern (&sync->versions, version);
      g_array_append_val (sync->copy_info, c);
      pu_placement_map_copy (sync->placement, handle, c.item, c.version);
    }
  return handle;
}

static const pu_placer_sync_copy_t *
copy_at (const pu_placer_sync_t *sync, guint32 copy)
{
  return &g_array_index (sync->copy_info, pu_placer_sync_copy_t, copy);
}

const char *
pu_placer_sync_copy_model (const pu_placer_sync_t *sync, guint32 copy)
{
  return pu_names_name (&sync->items, copy_at (sync, copy)->item);
}

const char *
pu_placer_sync_copy_version (const pu_placer_sync_t *sync, guint32 copy)
{
  return pu_names_name (&sync->versions, copy_at (sync, copy)->version);
}

/* --- the document --- */

/* Returns a new array, indexed by model handle, of the greatest importance of
   the services that list the model.  */
static guint32 *
model_importances (const pu_document_t *d)
{
  guint32 *found = g_new0 (guint32, MAX (pu_document_models (d), 1));

  for (pu_service_handle_t s = 0; s < pu_document_services (d); s++)
    {
      const pu_service_t *v = pu_document_service (d, s);

      for (guint i = 0; i < v->model_names.n; i++)
        {
          guint32 *best = &found[v->models[i]];

          *best = MAX (*best, v->importance);
        }
    }
  return found;
}

static pu_plan_item_t
plan_item_of_model (pu_placer_sync_t *sync, const pu_model_t *m,
                    guint32 importance)
{
  pu_plan_item_t t = { 0 };
  guint32 copy = pu_placer_sync_intern_copy (sync, m->name, m->version);

  t.name = pu_names_name (&sync->items, copy_at (sync, copy)->item);
  t.base = PU_PLAN_NONE;
  t.version = copy_at (sync, copy)->version;
  t.previous_version = PU_PLAN_NONE;
  t.memory_mb = pu_model_load_mb (m);
  t.accelerators = m->accelerators;
  t.min_copies = m->min_copies;
  t.max_copies = m->max_copies;
  t.importance = MAX (importance, MIN_IMPORTANCE);
  if (m->kind == PU_MODEL_ADAPTER)
    t.base = pu_names_intern (&sync->items, m->base_name);
  if (m->previous_version[0] != '\0')
    {
      copy = pu_placer_sync_intern_copy (sync, m->name, m->previous_version);
      t.previous_version = copy_at (sync, copy)->version;
    }
  return t;
}

GArray *
pu_placer_sync_declared_items (pu_placer_sync_t *sync, const pu_document_t *d)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (pu_plan_item_t));
  guint32 *importance = model_importances (d);

  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    {
      const pu_model_t *m = pu_document_model (d, h);
      pu_plan_item_t t = plan_item_of_model (sync, m, importance[h]);
      guint32 item = pu_names_intern (&sync->items, m->name);

      g_array_set_size (items,
                        MAX (items->len, pu_names_count (&sync->items)));
      g_array_index (items, pu_plan_item_t, item) = t;
    }
  g_array_set_size (items, pu_names_count (&sync->items));
  g_free (importance);
  return items;
}

static void
declare_items (pu_placer_sync_t *sync)
{
  GArray *items = pu_placer_sync_declared_items (sync, sync->document);
  pu_planner_t *p = pu_placement_planner (sync->placement);

  for (guint32 i = 0; i < items->len; i++)
    {
      const pu_plan_item_t *t = &g_array_index (items, pu_plan_item_t, i);

      pu_planner_set_item (p, i, t->name != NULL ? t : NULL);
    }
  g_array_unref (items);
}

static void
log_parse_error (const pu_doc_record *r, const pu_findings_t *findings)
{
  const pu_finding_t *first = pu_findings_get (findings, 0);

  pu_log_warn (PART, "Can't read document %" G_GUINT64_FORMAT ": %s: %s",
               (guint64)r->doc_version, first->path, first->message);
}

/* Returns the document in force, or NULL when there is none or it cannot be
   parsed.  */
static pu_document_t *
parse_document (const pu_state_t *s)
{
  const pu_doc_record *r = pu_state_document (s);
  pu_findings_t *findings;
  pu_document_t *d;

  if (r == NULL)
    return NULL;
  findings = pu_findings_new ();
  d = pu_document_load (r->text, strlen (r->text), findings);
  if (d == NULL)
    log_parse_error (r, findings);
  pu_findings_free (findings);
  return d;
}

void
pu_placer_sync_document_options (const pu_document_t *d,
                                 pu_placement_options_t *o)
{
  const pu_placement_settings_t *s = pu_document_placement (d);
  const pu_version_change_t *v = pu_document_version_change (d);

  o->planner.moves_weight = s->moves_weight;
  o->planner.payback_s = s->payback_s;
  o->planner.min_stay_s = s->min_stay_s;
  o->planner.zone_spread = s->zone_spread;
  o->planner.restore_by_gain = s->restore_by_gain;
  o->planner.place_by_urgency = s->place_by_urgency;
  o->planner.place_by_speed = s->place_by_speed;
  o->planner.loads_per_s = s->store_loads_per_s;
  o->planner.max_concurrent_loads = s->store_full_speed;
  o->planner.watch_s = v->watch_s;
  o->planner.max_failures = v->max_failures;
  o->orders.loads_per_s = s->store_loads_per_s;
  o->orders.max_store_loads = s->store_full_speed;
}

/* Passes the settings of the document in force to the planner and the
   orders.  */
static void
apply_document_options (pu_placer_sync_t *sync)
{
  pu_placer_sync_document_options (sync->document, &sync->options);
  pu_planner_set_options (pu_placement_planner (sync->placement),
                          &sync->options.planner);
  pu_orders_set_store_limits (pu_placement_orders (sync->placement),
                              sync->options.orders.loads_per_s,
                              sync->options.orders.max_store_loads);
}

static bool
update_document (pu_placer_sync_t *sync)
{
  const pu_doc_record *r = pu_state_document (sync->state);
  pu_document_t *d;

  if (r == NULL || r->doc_version == sync->document_version)
    return false;
  sync->document_version = r->doc_version;
  d = parse_document (sync->state);
  if (d == NULL)
    return false;
  pu_document_unref (sync->document);
  sync->document = d;
  apply_document_options (sync);
  declare_items (sync);
  return true;
}

/* --- backend servers --- */

static void
hash_add_string (GByteArray *a, const char *text)
{
  g_byte_array_append (a, (const guint8 *)text, (guint)strlen (text) + 1);
}

static void
hash_add_number (GByteArray *a, guint64 n)
{
  g_byte_array_append (a, (const guint8 *)&n, sizeof n);
}

static void
hash_add_copy (GByteArray *a, const pu_copy_record *c)
{
  hash_add_string (a, c->model);
  hash_add_string (a, c->model_version);
  hash_add_number (a, c->memory_mb);
  hash_add_number (a, c->phase);
}

/* Returns a hash of the fields of B that the placement uses; never 0, which
   marks a backend server that is not an engine.  */
static guint64
hash_backend (GByteArray *a, const pu_backend_record *b)
{
  g_byte_array_set_size (a, 0);
  hash_add_string (a, b->region);
  hash_add_string (a, b->zone);
  hash_add_number (a, b->incarnation);
  hash_add_number (a, b->accelerators);
  hash_add_number (a, b->memory_mb);
  hash_add_number (a, b->token);
  hash_add_number (a, (guint64)(b->fenced << 2 | b->leaving << 1 | b->down));
  for (u_int i = 0; i < b->copies.copies_len; i++)
    hash_add_copy (a, &b->copies.copies_val[i]);
  return MAX (XXH3_64bits (a->data, a->len), 1);
}

static pu_ledger_report_t
ledger_report_of (pu_placer_sync_t *sync, guint32 handle,
                  const pu_backend_record *b)
{
  pu_ledger_report_t r = { 0 };

  g_array_set_size (sync->held_copies, 0);
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      pu_ledger_copy_t h = { .memory_mb = c->memory_mb,
                             .phase = (pu_ledger_phase_t)c->phase };

      if (pu_copy_is_fact (c))
        continue;
      h.copy = pu_placer_sync_intern_copy (sync, c->model, c->model_version);
      g_array_append_val (sync->held_copies, h);
    }
  r.backend = handle;
  r.incarnation = b->incarnation;
  r.token = b->token;
  r.accelerators = b->accelerators;
  r.memory_mb = b->memory_mb;
  r.fenced = b->fenced;
  r.leaving = b->leaving;
  r.held = (const pu_ledger_copy_t *)(void *)sync->held_copies->data;
  r.n_held = sync->held_copies->len;
  return r;
}

static guint32
intern_zone (pu_placer_sync_t *sync, const pu_backend_record *b)
{
  char *name = g_strconcat (b->region, "/", b->zone, NULL);
  guint32 zone = pu_names_intern (&sync->zones, name);

  g_free (name);
  return zone;
}

static void
set_placement_backend (pu_placer_sync_t *sync, guint32 handle,
                       const pu_backend_record *b, guint64 now)
{
  pu_ledger_report_t r = ledger_report_of (sync, handle, b);
  bool down = b->down || b->kind != PU_BACKEND_ENGINE;

  pu_placement_update_backend (
      sync->placement, &r, down, intern_zone (sync, b),
      sync->streams_per_accelerator * MAX (b->accelerators, 1), now);
}

static pu_placer_sync_backend_t *
known_backend_at (pu_placer_sync_t *sync, guint32 handle)
{
  if (sync->known_backends->len <= handle)
    g_array_set_size (sync->known_backends, handle + 1);
  return &g_array_index (sync->known_backends, pu_placer_sync_backend_t,
                         handle);
}

typedef struct
{
  pu_placer_sync_t *sync;
  guint64 now;
  bool engine_lost;
} backend_update_t;

static void
update_backend (const pu_backend_record *b, void *data)
{
  backend_update_t *u = data;
  bool engine = b->kind == PU_BACKEND_ENGINE;
  bool usable = engine && !b->down && !b->leaving;
  guint64 hash = engine ? hash_backend (u->sync->hash_input, b) : 0;
  guint32 handle;
  pu_placer_sync_backend_t *v;

  if (!engine && !pu_names_find (&u->sync->backends, b->name, &handle))
    return;
  handle = pu_names_intern (&u->sync->backends, b->name);
  v = known_backend_at (u->sync, handle);
  if (v->record_hash == hash)
    return;
  if (v->usable && (!usable || v->incarnation != b->incarnation))
    u->engine_lost = true;
  v->record_hash = hash;
  v->incarnation = b->incarnation;
  v->usable = usable;
  set_placement_backend (u->sync, handle, b, u->now);
}

/* --- adoption and closing of orders --- */

typedef struct
{
  pu_placer_sync_t *sync;
  pu_placer_sync_pending_fn *is_pending;
  void *data;
  guint64 now;
} order_adoption_t;

static void
mark_order (const pu_order_record *o, void *data)
{
  pu_placer_sync_t *sync = data;
  guint64 token = o->token;

  if (g_hash_table_contains (sync->known_orders, &token))
    {
      g_hash_table_insert (sync->known_orders,
                           g_memdup2 (&token, sizeof token),
                           GUINT_TO_POINTER (sync->generation));
    }
}

/* Closes the known orders that are no longer in the state.  */
static void
close_removed_orders (pu_placer_sync_t *sync, guint64 now)
{
  GHashTableIter i;
  gpointer key;
  gpointer generation;

  sync->generation++;
  pu_state_each_order (sync->state, mark_order, sync);
  g_hash_table_iter_init (&i, sync->known_orders);
  while (g_hash_table_iter_next (&i, &key, &generation))
    {
      if (GPOINTER_TO_UINT (generation) == sync->generation)
        continue;
      pu_placement_handle_closed (sync->placement, *(guint64 *)key, now);
      g_hash_table_iter_remove (&i);
    }
}

static void
adopt_order (const pu_order_record *o, void *data)
{
  const order_adoption_t *a = data;
  pu_placer_sync_t *sync = a->sync;
  pu_ledger_order_t open = { 0 };
  guint64 token = o->token;

  if (g_hash_table_contains (sync->known_orders, &token))
    return;
  open.token = token;
  open.kind = (pu_ledger_kind_t)o->kind;
  open.backend = pu_names_intern (&sync->backends, o->backend);
  open.incarnation = o->incarnation;
  open.copy = pu_placer_sync_intern_copy (sync, o->model, o->model_version);
  open.memory_mb = o->memory_mb;
  if (a->is_pending != NULL
      && a->is_pending (a->data, open.backend, open.copy))
    return;
  pu_placer_sync_add_order (sync, token);
  pu_placement_adopt (sync->placement, &open, a->now);
}

void
pu_placer_sync_add_order (pu_placer_sync_t *sync, guint64 token)
{
  g_hash_table_insert (sync->known_orders, g_memdup2 (&token, sizeof token),
                       GUINT_TO_POINTER (sync->generation));
}

void
pu_placer_sync_add_failure (pu_placer_sync_t *sync, guint32 backend,
                            guint32 copy)
{
  pu_placer_sync_failure_t x = { backend, copy };

  g_hash_table_add (sync->failures, g_memdup2 (&x, sizeof x));
}

/* --- update from the state --- */

bool
pu_placer_sync_is_current (const pu_placer_sync_t *sync)
{
  return pu_state_position (sync->state) == sync->state_position;
}

bool
pu_placer_sync_update (pu_placer_sync_t *sync,
                       pu_placer_sync_pending_fn *is_pending, void *data,
                       guint64 now)
{
  backend_update_t u = { sync, now, false };
  order_adoption_t a = { sync, is_pending, data, now };
  bool declared;

  if (pu_placer_sync_is_current (sync))
    return false;
  sync->state_position = pu_state_position (sync->state);
  close_removed_orders (sync, now);
  declared = update_document (sync);
  if (pu_state_change_count (sync->state) != sync->state_changes)
    pu_state_each_backend (sync->state, update_backend, &u);
  sync->state_changes = pu_state_change_count (sync->state);
  pu_state_each_order (sync->state, adopt_order, &a);
  return declared || u.engine_lost;
}

static guint64
committed_mb (void *data, guint32 backend)
{
  const pu_placer_sync_t *sync = data;

  return pu_state_planned_mb (sync->state,
                              pu_names_name (&sync->backends, backend));
}

pu_placer_sync_t *
pu_placer_sync_new (const pu_state_t *s, const pu_placement_options_t *o,
                    double streams_per_accelerator, guint64 now)
{
  pu_placer_sync_t *sync = g_new0 (pu_placer_sync_t, 1);

  sync->state = s;
  sync->streams_per_accelerator = streams_per_accelerator;
  sync->state_changes = G_MAXUINT64;
  sync->state_position = G_MAXUINT64;
  pu_names_init (&sync->backends);
  pu_names_init (&sync->zones);
  pu_names_init (&sync->items);
  pu_names_init (&sync->versions);
  pu_names_init (&sync->copies);
  sync->copy_info = g_array_new (FALSE, FALSE, sizeof (pu_placer_sync_copy_t));
  sync->known_backends
      = g_array_new (FALSE, TRUE, sizeof (pu_placer_sync_backend_t));
  sync->held_copies = g_array_new (FALSE, FALSE, sizeof (pu_ledger_copy_t));
  sync->hash_input = g_byte_array_new ();
  sync->failures
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sync->known_orders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sync->options = *o;
  sync->options.committed = committed_mb;
  sync->options.data = sync;
  sync->placement = pu_placement_new (&sync->options, now);
  pu_placer_sync_update (sync, NULL, NULL, now);
  return sync;
}

void
pu_placer_sync_free (pu_placer_sync_t *sync)
{
  if (sync == NULL)
    return;
  pu_placement_free (sync->placement);
  pu_document_unref (sync->document);
  pu_names_clear (&sync->backends);
  pu_names_clear (&sync->zones);
  pu_names_clear (&sync->items);
  pu_names_clear (&sync->versions);
  pu_names_clear (&sync->copies);
  g_array_unref (sync->copy_info);
  g_array_unref (sync->known_backends);
  g_array_unref (sync->held_copies);
  g_byte_array_unref (sync->hash_input);
  g_hash_table_unref (sync->failures);
  g_hash_table_unref (sync->known_orders);
  g_free (sync);
}
