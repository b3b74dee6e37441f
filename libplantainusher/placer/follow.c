#include "placer/follow.h"

#include <string.h>
#include <xxhash.h>

#include "base/log.h"

#define PART "placer"
#define IMPORTANCE_LEAST 1

/* Failures are keys of a table of 64-bit numbers.  */
G_STATIC_ASSERT (sizeof (pu_followed_failure_t) == sizeof (gint64));

/* --- names of copies --- */

guint32
pu_follow_copy (pu_follow_t *f, const char *model, const char *version)
{
  char *name = g_strconcat (model, "\n", version, NULL);
  guint32 handle = pu_names_intern (&f->copies, name);

  g_free (name);
  if (handle == f->copy_items->len)
    {
      pu_followed_copy_t c;

      c.item = pu_names_intern (&f->items, model);
      c.version = pu_names_intern (&f->versions, version);
      g_array_append_val (f->copy_items, c);
      pu_placement_map_copy (f->placement, handle, c.item, c.version);
    }
  return handle;
}

static const pu_followed_copy_t *
copy_at (const pu_follow_t *f, guint32 copy)
{
  return &g_array_index (f->copy_items, pu_followed_copy_t, copy);
}

const char *
pu_follow_model_of (const pu_follow_t *f, guint32 copy)
{
  return pu_names_name (&f->items, copy_at (f, copy)->item);
}

const char *
pu_follow_version_of (const pu_follow_t *f, guint32 copy)
{
  return pu_names_name (&f->versions, copy_at (f, copy)->version);
}

/* --- the document --- */

/* The greatest importance of the services that list each model, by handle.  */
static guint32 *
importances (const pu_document_t *d)
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
item_of (pu_follow_t *f, const pu_model_t *m, guint32 importance)
{
  pu_plan_item_t t = { 0 };
  guint32 copy = pu_follow_copy (f, m->name, m->version);

  t.name = pu_names_name (&f->items, copy_at (f, copy)->item);
  t.base = PU_PLAN_NONE;
  t.version = copy_at (f, copy)->version;
  t.previous_version = PU_PLAN_NONE;
  t.memory_mb = pu_model_load_mb (m);
  t.accelerators = m->accelerators;
  t.min_copies = m->min_copies;
  t.max_copies = m->max_copies;
  t.importance = MAX (importance, IMPORTANCE_LEAST);
  if (m->kind == PU_MODEL_ADAPTER)
    t.base = pu_names_intern (&f->items, m->base_name);
  if (m->previous_version[0] != '\0')
    {
      copy = pu_follow_copy (f, m->name, m->previous_version);
      t.previous_version = copy_at (f, copy)->version;
    }
  return t;
}

GArray *
pu_follow_items (pu_follow_t *f, const pu_document_t *d)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (pu_plan_item_t));
  guint32 *importance = importances (d);

  for (pu_model_handle_t h = 0; h < pu_document_models (d); h++)
    {
      const pu_model_t *m = pu_document_model (d, h);
      pu_plan_item_t t = item_of (f, m, importance[h]);
      guint32 item = pu_names_intern (&f->items, m->name);

      g_array_set_size (items, MAX (items->len, pu_names_count (&f->items)));
      g_array_index (items, pu_plan_item_t, item) = t;
    }
  g_array_set_size (items, pu_names_count (&f->items));
  g_free (importance);
  return items;
}

static void
declare_items (pu_follow_t *f)
{
  GArray *items = pu_follow_items (f, f->document);
  pu_planner_t *p = pu_placement_planner (f->placement);

  for (guint32 i = 0; i < items->len; i++)
    {
      const pu_plan_item_t *t = &g_array_index (items, pu_plan_item_t, i);

      pu_planner_set_item (p, i, t->name != NULL ? t : NULL);
    }
  g_array_unref (items);
}

static void
tell_unread (const pu_doc_record *r, const pu_findings_t *findings)
{
  const pu_finding_t *first = pu_findings_get (findings, 0);

  pu_log_warn (PART, "Can't read document %" G_GUINT64_FORMAT ": %s: %s",
               (guint64)r->doc_version, first->path, first->message);
}

/* The document in force, parsed; NULL before the first.  */
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
    tell_unread (r, findings);
  pu_findings_free (findings);
  return d;
}

void
pu_follow_options (const pu_document_t *d, pu_placement_options_t *o)
{
  const pu_placement_settings_t *s = pu_document_placement (d);
  const pu_version_change_t *v = pu_document_version_change (d);

  o->planner.moves_weight = s->moves_weight;
  o->planner.payback_s = s->payback_s;
  o->planner.min_stay_s = s->min_stay_s;
  o->planner.zone_spread = s->zone_spread;
  o->planner.max_concurrent_loads = s->store_full_speed;
  o->planner.watch_s = v->watch_s;
  o->planner.max_failures = v->max_failures;
  o->orders.loads_per_s = s->store_loads_per_s;
  o->orders.max_store_loads = s->store_full_speed;
}

/* Makes the settings of the document in force those of the placement.  */
static void
set_options (pu_follow_t *f)
{
  pu_follow_options (f->document, &f->options);
  pu_planner_set_options (pu_placement_planner (f->placement),
                          &f->options.planner);
  pu_orders_set_store_limits (pu_placement_orders (f->placement),
                              f->options.orders.loads_per_s,
                              f->options.orders.max_store_loads);
}

static bool
update_document (pu_follow_t *f)
{
  const pu_doc_record *r = pu_state_document (f->state);
  pu_document_t *d;

  if (r == NULL || r->doc_version == f->document_version)
    return false;
  f->document_version = r->doc_version;
  d = parse_document (f->state);
  if (d == NULL)
    return false;
  pu_document_unref (f->document);
  f->document = d;
  set_options (f);
  declare_items (f);
  return true;
}

/* --- backend servers --- */

static void
add_text (GByteArray *a, const char *text)
{
  g_byte_array_append (a, (const guint8 *)text, (guint)strlen (text) + 1);
}

static void
add_number (GByteArray *a, guint64 n)
{
  g_byte_array_append (a, (const guint8 *)&n, sizeof n);
}

static void
add_copy (GByteArray *a, const pu_copy_record *c)
{
  add_text (a, c->model);
  add_text (a, c->model_version);
  add_number (a, c->memory_mb);
  add_number (a, c->phase);
}

/* A hash of all that the placement sees of B; never 0.  */
static guint64
hash_backend (GByteArray *a, const pu_backend_record *b)
{
  g_byte_array_set_size (a, 0);
  add_text (a, b->region);
  add_text (a, b->zone);
  add_number (a, b->incarnation);
  add_number (a, b->accelerators);
  add_number (a, b->memory_mb);
  add_number (a, b->token);
  add_number (a, (guint64)(b->fenced << 2 | b->leaving << 1 | b->down));
  for (u_int i = 0; i < b->copies.copies_len; i++)
    add_copy (a, &b->copies.copies_val[i]);
  return MAX (XXH3_64bits (a->data, a->len), 1);
}

static pu_ledger_report_t
report_of (pu_follow_t *f, guint32 handle, const pu_backend_record *b)
{
  pu_ledger_report_t r = { 0 };

  g_array_set_size (f->held, b->copies.copies_len);
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      const pu_copy_record *c = &b->copies.copies_val[i];
      pu_ledger_copy_t *h = &g_array_index (f->held, pu_ledger_copy_t, i);

      h->copy = pu_follow_copy (f, c->model, c->model_version);
      h->memory_mb = c->memory_mb;
      h->phase = (pu_ledger_phase_t)c->phase;
    }
  r.backend = handle;
  r.incarnation = b->incarnation;
  r.token = b->token;
  r.accelerators = b->accelerators;
  r.memory_mb = b->memory_mb;
  r.fenced = b->fenced;
  r.leaving = b->leaving;
  r.held = (const pu_ledger_copy_t *)(void *)f->held->data;
  r.n_held = f->held->len;
  return r;
}

static guint32
zone_of (pu_follow_t *f, const pu_backend_record *b)
{
  char *name = g_strconcat (b->region, "/", b->zone, NULL);
  guint32 zone = pu_names_intern (&f->zones, name);

  g_free (name);
  return zone;
}

static void
tell_backend (pu_follow_t *f, guint32 handle, const pu_backend_record *b,
              guint64 now)
{
  pu_ledger_report_t r = report_of (f, handle, b);
  bool down = b->down || b->kind != PU_BACKEND_ENGINE;

  pu_placement_update_backend (f->placement, &r, down, zone_of (f, b),
                               f->streams * MAX (b->accelerators, 1), now);
}

static pu_followed_backend_t *
seen_at (pu_follow_t *f, guint32 handle)
{
  if (f->seen->len <= handle)
    g_array_set_size (f->seen, handle + 1);
  return &g_array_index (f->seen, pu_followed_backend_t, handle);
}

typedef struct
{
  pu_follow_t *f;
  guint64 now;
  bool lost;
} update_t;

static void
update_backend (const pu_backend_record *b, void *data)
{
  update_t *u = data;
  bool engine = b->kind == PU_BACKEND_ENGINE;
  bool usable = engine && !b->down && !b->leaving;
  guint64 hash = engine ? hash_backend (u->f->bytes, b) : 0;
  guint32 handle;
  pu_followed_backend_t *v;

  if (!engine && !pu_names_find (&u->f->backends, b->name, &handle))
    return;
  handle = pu_names_intern (&u->f->backends, b->name);
  v = seen_at (u->f, handle);
  if (v->hash == hash)
    return;
  if (v->usable && (!usable || v->incarnation != b->incarnation))
    u->lost = true;
  v->hash = hash;
  v->incarnation = b->incarnation;
  v->usable = usable;
  tell_backend (u->f, handle, b, u->now);
}

/* --- orders --- */

typedef struct
{
  pu_follow_t *f;
  pu_follow_awaits_fn *awaits;
  void *data;
  guint64 now;
} adopt_t;

static void
stamp_order (const pu_order_record *o, void *data)
{
  pu_follow_t *f = data;
  guint64 token = o->token;

  if (g_hash_table_contains (f->tokens, &token))
    {
      g_hash_table_insert (f->tokens, g_memdup2 (&token, sizeof token),
                           GUINT_TO_POINTER (f->stamp));
    }
}

/* Tells of the orders that are not in the state any more.  */
static void
update_closed (pu_follow_t *f, guint64 now)
{
  GHashTableIter i;
  gpointer key;
  gpointer stamp;

  f->stamp++;
  pu_state_each_order (f->state, stamp_order, f);
  g_hash_table_iter_init (&i, f->tokens);
  while (g_hash_table_iter_next (&i, &key, &stamp))
    {
      if (GPOINTER_TO_UINT (stamp) == f->stamp)
        continue;
      pu_placement_handle_closed (f->placement, *(guint64 *)key, now);
      g_hash_table_iter_remove (&i);
    }
}

static void
adopt_order (const pu_order_record *o, void *data)
{
  const adopt_t *a = data;
  pu_follow_t *f = a->f;
  pu_ledger_order_t open = { 0 };
  guint64 token = o->token;

  if (g_hash_table_contains (f->tokens, &token))
    return;
  open.token = token;
  open.kind = (pu_ledger_kind_t)o->kind;
  open.backend = pu_names_intern (&f->backends, o->backend);
  open.incarnation = o->incarnation;
  open.copy = pu_follow_copy (f, o->model, o->model_version);
  open.memory_mb = o->memory_mb;
  if (a->awaits != NULL && a->awaits (a->data, open.backend, open.copy))
    return;
  pu_follow_know (f, token);
  pu_placement_adopt (f->placement, &open, a->now);
}

void
pu_follow_know (pu_follow_t *f, guint64 token)
{
  g_hash_table_insert (f->tokens, g_memdup2 (&token, sizeof token),
                       GUINT_TO_POINTER (f->stamp));
}

void
pu_follow_failed (pu_follow_t *f, guint32 backend, guint32 copy)
{
  pu_followed_failure_t x = { backend, copy };

  g_hash_table_add (f->failed, g_memdup2 (&x, sizeof x));
}

/* --- the whole --- */

bool
pu_follow_is_current (const pu_follow_t *f)
{
  return pu_state_position (f->state) == f->position;
}

bool
pu_follow_update (pu_follow_t *f, pu_follow_awaits_fn *awaits, void *data,
                  guint64 now)
{
  update_t u = { f, now, false };
  adopt_t a = { f, awaits, data, now };
  bool declared;

  if (pu_follow_is_current (f))
    return false;
  f->position = pu_state_position (f->state);
  update_closed (f, now);
  declared = update_document (f);
  if (pu_state_change_count (f->state) != f->changes)
    pu_state_each_backend (f->state, update_backend, &u);
  f->changes = pu_state_change_count (f->state);
  pu_state_each_order (f->state, adopt_order, &a);
  return declared || u.lost;
}

static guint64
committed (void *data, guint32 backend)
{
  const pu_follow_t *f = data;

  return pu_state_committed_mb (f->state,
                                pu_names_name (&f->backends, backend));
}

pu_follow_t *
pu_follow_new (const pu_state_t *s, const pu_placement_options_t *o,
               double streams, guint64 now)
{
  pu_follow_t *f = g_new0 (pu_follow_t, 1);

  f->state = s;
  f->streams = streams;
  f->changes = G_MAXUINT64;
  f->position = G_MAXUINT64;
  pu_names_init (&f->backends);
  pu_names_init (&f->zones);
  pu_names_init (&f->items);
  pu_names_init (&f->versions);
  pu_names_init (&f->copies);
  f->copy_items = g_array_new (FALSE, FALSE, sizeof (pu_followed_copy_t));
  f->seen = g_array_new (FALSE, TRUE, sizeof (pu_followed_backend_t));
  f->held = g_array_new (FALSE, FALSE, sizeof (pu_ledger_copy_t));
  f->bytes = g_byte_array_new ();
  f->failed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  f->tokens
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  f->options = *o;
  f->options.committed = committed;
  f->options.data = f;
  f->placement = pu_placement_new (&f->options, now);
  pu_follow_update (f, NULL, NULL, now);
  return f;
}

void
pu_follow_free (pu_follow_t *f)
{
  if (f == NULL)
    return;
  pu_placement_free (f->placement);
  pu_document_unref (f->document);
  pu_names_clear (&f->backends);
  pu_names_clear (&f->zones);
  pu_names_clear (&f->items);
  pu_names_clear (&f->versions);
  pu_names_clear (&f->copies);
  g_array_unref (f->copy_items);
  g_array_unref (f->seen);
  g_array_unref (f->held);
  g_byte_array_unref (f->bytes);
  g_hash_table_unref (f->failed);
  g_hash_table_unref (f->tokens);
  g_free (f);
}
