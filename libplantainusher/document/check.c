#include "document/internal.h"

/* Maximum number of similar names that are suggested for an undeclared
   name.  */
#define NEAR_MAX 3

typedef struct
{
  const pu_document_t *d;
  pu_findings_t *f;
  guint n_findings;
} checker_t;

/* Adds a finding at the JSON pointer PATH and frees PATH.  Findings beyond
   PU_DOCUMENT_FINDINGS_MAX are counted but not added.  */
static void G_GNUC_PRINTF (3, 4)
    add_finding (checker_t *c, char *path, const char *format, ...)
{
  va_list ap;
  char *message;

  if (c->n_findings < PU_DOCUMENT_FINDINGS_MAX)
    {
      va_start (ap, format);
      message = g_strdup_vprintf (format, ap);
      va_end (ap);
      pu_findings_add (c->f, path, "%s", message);
      g_free (message);
    }
  c->n_findings++;
  g_free (path);
}

/* Returns the JSON pointer "/TABLE/NAME" followed by REST.  NAME is escaped,
   since it may be invalid; the schema check reports an invalid name.  */
static char *
row_pointer (const char *table, const char *name, const char *rest)
{
  GString *path = g_string_new (NULL);

  pu_json_path_append (path, table);
  pu_json_path_append (path, name);
  g_string_append (path, rest);
  return g_string_free (path, FALSE);
}

static void
add_undeclared (checker_t *c, char *path, const char *what, const char *name)
{
  char *near;

  if (c->n_findings >= PU_DOCUMENT_FINDINGS_MAX)
    {
      g_free (path);
      return;
    }
  near = pu_document_near_models (c->d, name);
  if (*near == '\0')
    {
      add_finding (c, path, "%s \"%s\" is not declared", what, name);
    }
  else
    {
      add_finding (c, path, "%s \"%s\" is not declared; near it: %s", what,
                   name, near);
    }
  g_free (near);
}

static void
check_listed_models (checker_t *c, const pu_service_t *s)
{
  for (guint i = 0; i < s->model_names.n; i++)
    {
      char rest[32];

      if (s->models[i] != PU_HANDLE_NONE)
        continue;
      g_snprintf (rest, sizeof rest, "/models/%u", i);
      add_undeclared (c, row_pointer ("services", s->name, rest), "the model",
                      s->model_names.items[i]);
    }
}

static void
check_model_service (checker_t *c, const pu_service_t *s)
{
  if (s->model_names.n == 0)
    {
      add_finding (c, row_pointer ("services", s->name, "/models"),
                   "is required for kind model: at least one");
    }
  if (s->targets.answer_ms != 0)
    {
      add_finding (c, row_pointer ("services", s->name, "/targets/answer_ms"),
                   "is for kind plain only");
    }
  if (s->not_repeatable.n != 0)
    {
      add_finding (c, row_pointer ("services", s->name, "/not_repeatable"),
                   "is for kind plain only");
    }
}

static void
check_plain_service (checker_t *c, const pu_service_t *s)
{
  if (s->model_names.n != 0)
    {
      add_finding (c, row_pointer ("services", s->name, "/models"),
                   "is for kind model only");
    }
  if (s->targets.first_token_ms != 0)
    {
      add_finding (
          c, row_pointer ("services", s->name, "/targets/first_token_ms"),
          "is for kind model only; plain has answer_ms");
    }
  if (s->targets.per_token_ms != 0)
    {
      add_finding (c,
                   row_pointer ("services", s->name, "/targets/per_token_ms"),
                   "is for kind model only; plain has answer_ms");
    }
}

static void
check_service (checker_t *c, const pu_service_t *s)
{
  switch ((pu_service_kind_t)s->kind)
    {
    case PU_SERVICE_MODEL:
      check_model_service (c, s);
      break;
    case PU_SERVICE_PLAIN:
      check_plain_service (c, s);
      break;
    }
  check_listed_models (c, s);
}

static void
check_base (checker_t *c, const pu_model_t *m)
{
  const pu_model_t *base;

  if (*m->base_name == '\0')
    return;
  if (m->base == PU_HANDLE_NONE)
    {
      add_undeclared (c, row_pointer ("adapters", m->name, "/base"),
                      "the base", m->base_name);
      return;
    }
  base = &c->d->models[m->base];
  if (base->kind == PU_MODEL_ADAPTER)
    {
      add_finding (c, row_pointer ("adapters", m->name, "/base"),
                   "\"%s\" is an adapter; a base is a model", m->base_name);
    }
  else if (m->min_copies > base->max_copies)
    {
      add_finding (c, row_pointer ("adapters", m->name, "/min_copies"),
                   "is %u; its base \"%s\" has at most %u copies",
                   m->min_copies, m->base_name, base->max_copies);
    }
}

/* Whether the row H of models and adapters has the same name as the row before
   it.  Rows are sorted by name, and a model precedes an adapter of the same
   name.  */
static bool
is_duplicate (const pu_document_t *d, pu_model_handle_t h)
{
  return h > 0 && g_str_equal (d->models[h - 1].name, d->models[h].name);
}

static void
check_model (checker_t *c, pu_model_handle_t h)
{
  const pu_model_t *m = &c->d->models[h];
  const char *table = m->kind == PU_MODEL_BASE ? "models" : "adapters";

  if (is_duplicate (c->d, h))
    {
      add_finding (c, row_pointer (table, m->name, ""),
                   "is a model too; models and adapters share their names");
      return;
    }
  if (m->min_copies > m->max_copies)
    {
      add_finding (c, row_pointer (table, m->name, "/min_copies"),
                   "is %u; max_copies is %u copies", m->min_copies,
                   m->max_copies);
    }
  if (*m->version != '\0' && g_str_equal (m->version, m->previous_version))
    {
      add_finding (c, row_pointer (table, m->name, "/previous_version"),
                   "is the same as version");
    }
  if (m->kind == PU_MODEL_ADAPTER)
    check_base (c, m);
  if (c->d->default_service[h] == PU_HANDLE_NONE)
    {
      add_finding (c, row_pointer (table, m->name, ""),
                   "is in no service, so that no caller can reach it");
    }
  /* The row before H has the same name.  Rows are sorted by name, and a model
     precedes an adapter of the same name.  */
  if (h > 0 && g_str_equal (c->d->models[h - 1].name, m->name))
    {
      add_finding (c, row_pointer (table, m->name, ""),
                   "is a model too; models and adapters share their names");
    }
}

static void
check_parts (checker_t *c, const pu_route_t *r)
{
  const pu_route_part_t *parts = r->parts.items;

  for (guint i = 0; i < r->parts.n; i++)
    {
      char rest[32];

      if (parts[i].service != PU_HANDLE_NONE)
        continue;
      g_snprintf (rest, sizeof rest, "/to/%u/service", i);
      add_finding (c, row_pointer ("routes", r->name, rest),
                   "the service \"%s\" is not declared",
                   parts[i].service_name);
    }
  if (r->parts.n > 0 && r->weight_sum == 0)
    {
      add_finding (c, row_pointer ("routes", r->name, "/to"),
                   "has weights that add up to 0");
    }
}

static void
check_route (checker_t *c, const pu_route_t *r, GHashTable *by_prefix)
{
  char *key = g_strconcat (r->host, r->path_prefix, NULL);
  const char *first = g_hash_table_lookup (by_prefix, key);

  check_parts (c, r);
  if (first != NULL)
    {
      add_finding (c, row_pointer ("routes", r->name, ""),
                   "has the same host and path_prefix as \"%s\"", first);
      g_free (key);
      return;
    }
  g_hash_table_insert (by_prefix, key, (gpointer)r->name);
}

static void
check_routes (checker_t *c)
{
  GHashTable *by_prefix
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint h = 0; h < pu_document_routes (c->d); h++)
    check_route (c, pu_document_route (c->d, h), by_prefix);
  g_hash_table_destroy (by_prefix);
}

static void
add_repeated_key (void *data, const pu_team_t *team, guint index,
                  const pu_team_t *first)
{
  char rest[32];

  g_snprintf (rest, sizeof rest, "/keys/%u", index);
  add_finding (data, row_pointer ("teams", team->name, rest),
               "is a key of the team \"%s\" too", first->name);
}

void
pu_document_check (const pu_document_t *d, pu_findings_t *f)
{
  checker_t c = { .d = d, .f = f };
  const pu_service_t *services = d->services.items;

  for (guint i = 0; i < d->services.n; i++)
    check_service (&c, &services[i]);
  for (pu_model_handle_t h = 0; h < d->n_models; h++)
    check_model (&c, h);
  check_routes (&c);
  pu_teams_check_keys (d, add_repeated_key, &c);
}

static char *
near_names (GHashTable *table, const char *name)
{
  guint n;
  gpointer *names = g_hash_table_get_keys_as_array (table, &n);
  char *near = pu_json_nearest (name, (const char *const *)names, n, NEAR_MAX);

  g_free (names);
  return near;
}

char *
pu_document_near_services (const pu_document_t *d, const char *name)
{
  return near_names (d->service_names, name);
}

char *
pu_document_near_models (const pu_document_t *d, const char *name)
{
  return near_names (d->model_names, name);
}
