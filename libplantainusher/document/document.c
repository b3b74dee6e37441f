#include "document/internal.h"

#include <string.h>

/* Default latency targets of a service, in milliseconds.  */
#define DEFAULT_FIRST_TOKEN_MS 1000
#define DEFAULT_PER_TOKEN_MS 100
#define DEFAULT_ANSWER_MS 500

static gint
compare_models (gconstpointer a, gconstpointer b)
{
  const pu_model_t *x = a;
  const pu_model_t *y = b;
  int order = strcmp (x->name, y->name);

  return order != 0 ? order : (int)x->kind - (int)y->kind;
}

static void
copy_models (pu_model_t *to, const pu_json_rows_t *rows, pu_model_kind_t kind)
{
  const pu_model_t *from = rows->items;

  for (guint i = 0; i < rows->n; i++)
    {
      to[i] = from[i];
      to[i].kind = kind;
      to[i].base = PU_HANDLE_NONE;
      if (kind == PU_MODEL_BASE)
        to[i].base_name = "";
    }
}

static void
build_model_table (pu_document_t *d)
{
  d->n_models = d->bases.n + d->adapters.n;
  d->models = g_new0 (pu_model_t, d->n_models + 1);
  copy_models (d->models, &d->bases, PU_MODEL_BASE);
  copy_models (d->models + d->bases.n, &d->adapters, PU_MODEL_ADAPTER);
  if (d->n_models > 0)
    qsort (d->models, d->n_models, sizeof (pu_model_t), compare_models);
}

static guint32
find_handle (GHashTable *names, const char *name)
{
  gpointer value = g_hash_table_lookup (names, name);

  return value == NULL ? PU_HANDLE_NONE : GPOINTER_TO_UINT (value) - 1;
}

static void
add_name (GHashTable *names, const char *name, guint32 h)
{
  /* If two rows have the same name, the first is used; pu_document_check
     reports the duplicate.  */
  if (!g_hash_table_contains (names, name))
    g_hash_table_insert (names, (gpointer)name, GUINT_TO_POINTER (h + 1));
}

static void
build_name_tables (pu_document_t *d)
{
  const pu_service_t *services = d->services.items;

  d->service_names = g_hash_table_new (g_str_hash, g_str_equal);
  d->model_names = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < d->services.n; i++)
    add_name (d->service_names, services[i].name, i);
  for (guint i = 0; i < d->n_models; i++)
    add_name (d->model_names, d->models[i].name, i);
}

/* Resolves the names of the models that service S lists to handles.  S becomes
   the default service of the listed models that have no default service
   yet.  */
static void
resolve_service_models (pu_document_t *d, pu_service_handle_t s)
{
  pu_service_t *service = (pu_service_t *)d->services.items + s;
  guint n = service->model_names.n;
  pu_model_handle_t *models
      = pu_json_arena_alloc (d->arena, n * sizeof *models);

  for (guint i = 0; i < n; i++)
    {
      models[i] = find_handle (d->model_names, service->model_names.items[i]);
      if (models[i] != PU_HANDLE_NONE
          && d->default_service[models[i]] == PU_HANDLE_NONE)
        d->default_service[models[i]] = s;
    }
  service->models = models;
}

static void
resolve_bases (pu_document_t *d)
{
  for (guint h = 0; h < d->n_models; h++)
    {
      pu_model_t *m = &d->models[h];

      if (m->kind == PU_MODEL_BASE)
        continue;
      m->base = find_handle (d->model_names, m->base_name);
      if (m->base != PU_HANDLE_NONE)
        m->accelerators = d->models[m->base].accelerators;
    }
}

/* Groups the adapters by their base with a counting sort.  */
static void
group_adapters (pu_document_t *d)
{
  guint *next = g_new0 (guint, d->n_models + 1);

  d->first_adapter = g_new0 (guint, d->n_models + 1);
  d->adapters_by_base = g_new0 (pu_model_handle_t, d->n_models + 1);
  for (guint h = 0; h < d->n_models; h++)
    {
      if (d->models[h].base != PU_HANDLE_NONE)
        d->first_adapter[d->models[h].base + 1]++;
    }
  for (guint h = 0; h < d->n_models; h++)
    d->first_adapter[h + 1] += d->first_adapter[h];
  memcpy (next, d->first_adapter, (d->n_models + 1) * sizeof *next);
  for (guint h = 0; h < d->n_models; h++)
    {
      if (d->models[h].base != PU_HANDLE_NONE)
        d->adapters_by_base[next[d->models[h].base]++] = h;
    }
  g_free (next);
}

static void
build_tables (pu_document_t *d)
{
  build_model_table (d);
  build_name_tables (d);
  d->default_service = g_new (pu_service_handle_t, d->n_models + 1);
  for (guint h = 0; h < d->n_models; h++)
    d->default_service[h] = PU_HANDLE_NONE;
  for (guint s = 0; s < d->services.n; s++)
    resolve_service_models (d, s);
  resolve_bases (d);
  group_adapters (d);
  pu_routes_build (d);
  pu_teams_build (d);
}

static void
set_default (guint32 *value, guint32 fallback)
{
  if (*value == 0)
    *value = fallback;
}

/* Fills in omitted latency targets.  Must run after the checks, which
   recognize an omitted target by the value 0.  */
static void
set_default_targets (pu_document_t *d)
{
  pu_service_t *services = d->services.items;

  for (guint i = 0; i < d->services.n; i++)
    {
      pu_targets_t *t = &services[i].targets;

      switch ((pu_service_kind_t)services[i].kind)
        {
        case PU_SERVICE_MODEL:
          set_default (&t->first_token_ms, DEFAULT_FIRST_TOKEN_MS);
          set_default (&t->per_token_ms, DEFAULT_PER_TOKEN_MS);
          break;
        case PU_SERVICE_PLAIN:
          set_default (&t->answer_ms, DEFAULT_ANSWER_MS);
          break;
        }
    }
}

/* Whether the tables (services, models, adapters and routes) in VALUE are JSON
   objects.  If a table is not an object, its names cannot be read, and the
   checks would report each use of such a name as undeclared.  */
static bool
tables_are_objects (const json_t *value)
{
  static const char *const tables[]
      = { "services", "models", "adapters", "routes", "teams" };

  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      const json_t *table = json_object_get (value, tables[i]);

      if (table != NULL && !json_is_object (table))
        return false;
    }
  return json_is_object (value);
}

static void
store_text (pu_document_t *d, const json_t *value, pu_findings_t *f)
{
  d->text = pu_json_text (value);
  if (strlen (d->text) > PU_DOCUMENT_TEXT_MAX)
    {
      pu_findings_add (f, "",
                       "the text with sorted keys has %zu bytes; at most %zu "
                       "are allowed",
                       strlen (d->text), PU_DOCUMENT_TEXT_MAX);
    }
}

static void
read_value (pu_document_t *d, const json_t *value, pu_findings_t *f)
{
  pu_json_read (value, &pu_document_schema, d, d->arena, f);
  build_tables (d);
  if (!tables_are_objects (value))
    return;
  pu_document_check (d, f);
  set_default_targets (d);
}

/* Creates the document of VALUE and stores its canonical text when WITH_TEXT
   is true.  Returns NULL when there is a finding.  */
static pu_document_t *
document_new (const json_t *value, bool with_text, pu_findings_t *f)
{
  size_t before = pu_findings_count (f);
  pu_document_t *d = g_new0 (pu_document_t, 1);

  d->refs = 1;
  d->arena = pu_json_arena_new ();
  read_value (d, value, f);
  if (with_text && pu_findings_count (f) == before)
    store_text (d, value, f);
  if (pu_findings_count (f) == before)
    return d;
  pu_document_unref (d);
  return NULL;
}

static pu_document_t *
document_read (const char *text, size_t len, bool with_text, pu_findings_t *f)
{
  json_t *value
      = pu_json_load_keyed (text, len, PU_DOCUMENT_TEXT_MAX, "\"teams\"", f);
  pu_document_t *d;

  if (value == NULL)
    return NULL;
  d = document_new (value, with_text, f);
  json_decref (value);
  return d;
}

pu_document_t *
pu_document_parse (const char *text, size_t len, pu_findings_t *f)
{
  return document_read (text, len, true, f);
}

pu_document_t *
pu_document_load (const char *text, size_t len, pu_findings_t *f)
{
  return document_read (text, len, false, f);
}

pu_document_t *
pu_document_from_json (const json_t *value, pu_findings_t *f)
{
  return document_new (value, true, f);
}

pu_document_t *
pu_document_ref (pu_document_t *d)
{
  d->refs++;
  return d;
}

void
pu_document_unref (pu_document_t *d)
{
  if (d == NULL || --d->refs > 0)
    return;
  pu_routes_clear (d);
  pu_teams_clear (d);
  g_hash_table_destroy (d->service_names);
  g_hash_table_destroy (d->model_names);
  g_free (d->models);
  g_free (d->default_service);
  g_free (d->adapters_by_base);
  g_free (d->first_adapter);
  g_free (d->text);
  pu_json_arena_free (d->arena);
  g_free (d);
}

const char *
pu_document_text (const pu_document_t *d)
{
  return d->text;
}

json_t *
pu_document_effective (const pu_document_t *d)
{
  return pu_json_write (&pu_document_schema, d, false);
}

guint
pu_document_services (const pu_document_t *d)
{
  return d->services.n;
}

guint
pu_document_models (const pu_document_t *d)
{
  return d->n_models;
}

const pu_service_t *
pu_document_service (const pu_document_t *d, pu_service_handle_t h)
{
  g_assert (h < d->services.n);
  return (const pu_service_t *)d->services.items + h;
}

const pu_model_t *
pu_document_model (const pu_document_t *d, pu_model_handle_t h)
{
  g_assert (h < d->n_models);
  return &d->models[h];
}

const pu_placement_settings_t *
pu_document_placement (const pu_document_t *d)
{
  return &d->placement;
}

const pu_version_change_t *
pu_document_version_change (const pu_document_t *d)
{
  return &d->version_change;
}

pu_service_handle_t
pu_document_find_service (const pu_document_t *d, const char *name)
{
  return find_handle (d->service_names, name);
}

pu_model_handle_t
pu_document_find_model (const pu_document_t *d, const char *name)
{
  return find_handle (d->model_names, name);
}

const pu_engine_class_t *
pu_document_engine_class (const pu_document_t *d, const char *service)
{
  pu_service_handle_t h = pu_document_find_service (d, service);

  return h != PU_HANDLE_NONE ? &pu_document_service (d, h)->engine : NULL;
}

pu_service_handle_t
pu_document_default_service (const pu_document_t *d, pu_model_handle_t h)
{
  g_assert (h < d->n_models);
  return d->default_service[h];
}

bool
pu_document_service_lists_model (const pu_document_t *d, pu_service_handle_t s,
                                 pu_model_handle_t m)
{
  const pu_service_t *service = pu_document_service (d, s);

  for (guint i = 0; i < service->model_names.n; i++)
    {
      if (service->models[i] == m)
        return true;
    }
  return false;
}

const pu_model_handle_t *
pu_document_adapters (const pu_document_t *d, pu_model_handle_t h, guint *n)
{
  g_assert (h < d->n_models);
  *n = d->first_adapter[h + 1] - d->first_adapter[h];
  return *n == 0 ? NULL : &d->adapters_by_base[d->first_adapter[h]];
}

guint32
pu_model_load_mb (const pu_model_t *m)
{
  return m->memory_mb + m->kv_cache_mb;
}

/* Replaces each string in VALUE, a key or a list of keys.  */
static json_t *
keys_hide (const json_t *value)
{
  json_t *out;

  if (json_is_string (value))
    return json_string (PU_DOCUMENT_HIDDEN_KEY);
  if (!json_is_array (value))
    return json_deep_copy (value);
  out = json_array ();
  for (size_t i = 0; i < json_array_size (value); i++)
    json_array_append_new (out, keys_hide (json_array_get (value, i)));
  return out;
}

static void
change_hide (json_t *change, const char *member)
{
  const json_t *value = json_object_get (change, member);

  if (value != NULL)
    json_object_set_new (change, member, keys_hide (value));
}

/* Whether the value at PATH is secret: the keys of a team, or the source text,
   which holds the keys too if the document HAS_TEAMS.  */
static bool
is_secret (const char *path, bool has_teams)
{
  return (g_str_has_prefix (path, "/teams/")
          && g_str_has_suffix (path, "/keys"))
         || (has_teams && strcmp (path, "/source") == 0);
}

json_t *
pu_document_diff (const json_t *older, const json_t *newer)
{
  json_t *diff = pu_json_diff (older, newer);
  bool has_teams = json_object_get (older, "teams") != NULL
                   || json_object_get (newer, "teams") != NULL;
  json_t *change;
  size_t i;

  json_array_foreach (diff, i, change)
  {
    const char *path = json_string_value (json_object_get (change, "path"));

    if (!is_secret (path, has_teams))
      continue;
    change_hide (change, "old");
    change_hide (change, "new");
  }
  return diff;
}
