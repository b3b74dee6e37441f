#include "document/changes.h"

#include "document/internal.h"

#include <string.h>

/* Maximum number of names that one effect lists.  */
#define NAMES_MAX 3
/* Maximum number of lookups of routes for one comparison.  */
#define LOOKUPS_MAX 1000

typedef struct
{
  const pu_document_t *older; /* NULL: no document */
  const pu_document_t *newer;
  json_t *old_text; /* as submitted */
  json_t *new_text;
  json_t *old_full; /* with all defaults */
  json_t *new_full;
  const pu_change_options_t *o;
  guint *lookups; /* so far, of routes that take other routes' requests */
  json_t *out;
} changer_t;

/* One item of a table before and after; NULL where it is not declared.  */
typedef struct
{
  const void *older;
  const void *newer;
} pair_t;

/* --- names --- */

/* Names joined by commas, at most NAMES_MAX of them.  */
typedef struct
{
  GString *out;
  guint n;
} names_t;

static void
names_add (names_t *names, const char *name)
{
  if (names->n++ < NAMES_MAX)
    {
      g_string_append_printf (names->out, "%s\"%s\"", names->n > 1 ? ", " : "",
                              name);
    }
}

static void
names_end (const names_t *names)
{
  if (names->n > NAMES_MAX)
    g_string_append_printf (names->out, " and %u more", names->n - NAMES_MAX);
}

/* Appends BEFORE and the routes of D that lead to SERVICE, if there are
   any.  */
static void
append_routes (GString *out, const char *before, const pu_document_t *d,
               const char *service)
{
  names_t names = { .out = g_string_new (NULL) };

  for (guint h = 0; h < pu_document_routes (d); h++)
    {
      const pu_route_t *r = pu_document_route (d, h);
      const pu_route_part_t *parts = r->parts.items;

      for (guint i = 0; i < r->parts.n; i++)
        {
          if (!g_str_equal (parts[i].service_name, service))
            continue;
          names_add (&names, r->name);
          break;
        }
    }
  names_end (&names);
  if (names.n > 0)
    g_string_append_printf (out, "%s%s", before, names.out->str);
  g_string_free (names.out, TRUE);
}

/* Appends the services of D that list MODEL.  */
static void
append_services (GString *out, const pu_document_t *d, const char *model)
{
  pu_model_handle_t h = pu_document_find_model (d, model);
  names_t names = { .out = out };

  g_string_append (out, "; affects callers of ");
  for (guint s = 0; s < pu_document_services (d); s++)
    {
      if (pu_document_service_lists_model (d, s, h))
        names_add (&names, pu_document_service (d, s)->name);
    }
  names_end (&names);
}

static void
append_parts (GString *out, const pu_route_t *r)
{
  const pu_route_part_t *parts = r->parts.items;

  for (guint i = 0; i < MIN (r->parts.n, NAMES_MAX); i++)
    {
      g_string_append_printf (out, "%s\"%s\" (weight %u)", i > 0 ? ", " : "",
                              parts[i].service_name, parts[i].weight);
    }
  if (r->parts.n > NAMES_MAX)
    g_string_append_printf (out, " and %u more", r->parts.n - NAMES_MAX);
}

/* --- effects on routes --- */

/* Whether one more route may be looked up.  Each lookup goes through all
   routes of a host: 16,384 of them took 5 s on the loop of a daemon.  */
static bool
may_look_up (const changer_t *c)
{
  return (*c->lookups)++ < LOOKUPS_MAX;
}

/* Returns the route of D that takes the requests of R, or NULL.  */
static const pu_route_t *
find_taker (const pu_document_t *d, const pu_route_t *r)
{
  pu_route_handle_t h
      = d != NULL ? pu_document_find_route (d, r->host, r->path_prefix)
                  : PU_HANDLE_NONE;

  return h != PU_HANDLE_NONE ? pu_document_route (d, h) : NULL;
}

static void
route_added (GString *out, const changer_t *c, const void *row)
{
  const pu_route_t *r = row;
  const pu_route_t *before = may_look_up (c) ? find_taker (c->older, r) : NULL;

  g_string_append_printf (out, "requests for %s%s go to ", r->host,
                          r->path_prefix);
  append_parts (out, r);
  if (before != NULL)
    g_string_append_printf (out, "; the route \"%s\" had them", before->name);
}

static void
route_removed (GString *out, const changer_t *c, const void *row)
{
  const pu_route_t *r = row;
  bool known = may_look_up (c);
  const pu_route_t *after = known ? find_taker (c->newer, r) : NULL;

  g_string_append_printf (out, "requests for %s%s ", r->host, r->path_prefix);
  if (!known)
    {
      g_string_append (out, "go to another route or are refused; too many "
                            "routes changed to look each of them up");
    }
  else if (after != NULL)
    {
      g_string_append_printf (out, "go to the route \"%s\"", after->name);
    }
  else
    {
      g_string_append (out, "are refused: no route takes them");
    }
}

static void
route_changed (GString *out, const changer_t *c, pair_t pair,
               const char *field)
{
  const pu_route_t *r = pair.newer;
  const pu_route_t *old = pair.older;

  if (g_str_equal (field, "host") || g_str_equal (field, "path_prefix"))
    {
      g_string_append (out, "this route gets other requests: ");
      route_removed (out, c, old);
      g_string_append (out, ", ");
      route_added (out, c, r);
    }
  else if (g_str_equal (field, "to"))
    {
      g_string_append_printf (out, "requests for %s%s go to ", r->host,
                              r->path_prefix);
      append_parts (out, r);
    }
  else if (g_str_equal (field, "public"))
    {
      g_string_append_printf (out, "requests for %s%s need %s", r->host,
                              r->path_prefix,
                              r->public_access ? "no key" : "a key of a team");
    }
  else if (g_str_equal (field, "timeout_ms")
           && r->timeout_ms < old->timeout_ms)
    {
      g_string_append_printf (
          out, "requests for %s%s that take longer than %u ms are ended",
          r->host, r->path_prefix, r->timeout_ms);
    }
  else
    {
      g_string_append_printf (out, "applies to requests for %s%s", r->host,
                              r->path_prefix);
    }
}

/* --- effects on services --- */

static void
service_added (GString *out, const changer_t *c, const void *row)
{
  const pu_service_t *s = row;

  g_string_append (out, "backend servers that announce it get requests");
  append_routes (out, " of the routes ", c->newer, s->name);
}

static void
service_removed (GString *out, const changer_t *c, const void *row)
{
  const pu_service_t *s = row;

  g_string_append (out, "backend servers that announce it get no requests");
  append_routes (out, " of the routes ", c->older, s->name);
}

static void
append_missing_models (GString *out, const char *before, const pu_service_t *a,
                       const pu_service_t *b)
{
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  names_t names = { .out = g_string_new (NULL) };

  for (guint i = 0; i < b->model_names.n; i++)
    g_hash_table_add (set, (gpointer)b->model_names.items[i]);
  for (guint i = 0; i < a->model_names.n; i++)
    {
      if (!g_hash_table_contains (set, a->model_names.items[i]))
        names_add (&names, a->model_names.items[i]);
    }
  names_end (&names);
  if (names.n > 0)
    {
      g_string_append_printf (out, "%s%s%s", out->len > 0 ? "; " : "", before,
                              names.out->str);
    }
  g_string_free (names.out, TRUE);
  g_hash_table_destroy (set);
}

static void
service_changed (GString *out, const changer_t *c, pair_t pair,
                 const char *field)
{
  const pu_service_t *s = pair.newer;
  const pu_service_t *old = pair.older;

  if (g_str_equal (field, "models"))
    {
      append_missing_models (out, "callers are refused ", old, s);
      append_missing_models (out, "callers are offered ", s, old);
    }
  if (out->len == 0)
    g_string_append (out, "applies to requests to this service");
  append_routes (out, "; affects the routes ", c->newer, s->name);
}

/* --- effects on models and adapters --- */

static void
model_added (GString *out, const changer_t *c, const void *row)
{
  const pu_model_t *m = row;

  if (m->on_demand)
    {
      g_string_append (out, "is loaded when a request needs it");
    }
  else
    {
      g_string_append_printf (
          out, "is loaded: %u %s of %u MB at least", m->min_copies,
          m->min_copies == 1 ? "copy" : "copies", pu_model_load_mb (m));
    }
  append_services (out, c->newer, m->name);
}

static void
model_removed (GString *out, const changer_t *c, const void *row)
{
  const pu_model_t *m = row;

  g_string_append (out, "is unloaded; requests for it are refused");
  append_services (out, c->older, m->name);
}

static void
model_changed (GString *out, const changer_t *c, pair_t pair,
               const char *field)
{
  const pu_model_t *m = pair.newer;
  const pu_model_t *old = pair.older;

  if (g_str_equal (field, "version"))
    {
      g_string_append_printf (
          out,
          "version %s is loaded; version %s is unloaded after %u s beside it",
          m->version, old->version, c->newer->version_change.watch_s);
    }
  else if (g_str_equal (field, "min_copies")
           && m->min_copies > old->min_copies)
    {
      g_string_append_printf (out, "is loaded until there are %u copies",
                              m->min_copies);
    }
  else if (g_str_equal (field, "min_copies"))
    {
      g_string_append_printf (out, "may be unloaded down to %u copies",
                              m->min_copies);
    }
  else if (g_str_equal (field, "max_copies")
           && m->max_copies < old->max_copies)
    {
      g_string_append_printf (out, "copies beyond %u are unloaded",
                              m->max_copies);
    }
  else
    {
      g_string_append (out, "applies to the copies of it");
    }
  append_services (out, c->newer, m->name);
}

/* --- effects on teams --- */

/* What becomes of the keys of a team in another document.  */
typedef struct
{
  guint kept;
  guint moved;
  guint gone;
} key_counts_t;

static key_counts_t
count_keys (const pu_team_t *team, const pu_document_t *other)
{
  key_counts_t n = { .kept = 0 };

  for (guint i = 0; i < team->keys.n; i++)
    {
      const char *key = team->keys.items[i];
      pu_team_handle_t h
          = other != NULL ? pu_document_find_key (other, key, strlen (key))
                          : PU_HANDLE_NONE;

      if (h == PU_HANDLE_NONE)
        {
          n.gone++;
        }
      else if (g_str_equal (pu_document_team (other, h)->name, team->name))
        {
          n.kept++;
        }
      else
        n.moved++;
    }
  return n;
}

static void
append_keys (GString *out, guint n, const char *what)
{
  if (n > 0)
    {
      g_string_append_printf (out, "%s%u %s %s", out->len > 0 ? "; " : "", n,
                              n == 1 ? "key is" : "keys are", what);
    }
}

static void
append_keys_lost (GString *out, const changer_t *c, const pu_team_t *team)
{
  key_counts_t n = count_keys (team, c->newer);

  if (c->newer->teams.n == 0)
    {
      g_string_append (out, "no request needs a key: there are no teams");
      return;
    }
  append_keys (out, n.gone, "revoked: requests with it are refused");
  append_keys (out, n.moved, "of another team: its callers change team");
}

static void
append_keys_won (GString *out, const changer_t *c, const pu_team_t *team)
{
  key_counts_t n = count_keys (team, c->older);

  append_keys (out, n.gone, "new: requests with it are of this team");
  append_keys (out, n.moved, "taken from another team");
}

static void
team_added (GString *out, const changer_t *c, const void *row)
{
  append_keys_won (out, c, row);
  if (c->older == NULL || c->older->teams.n == 0)
    {
      g_string_append_printf (out,
                              "%sis of the first teams: requests on "
                              "routes that are not public need a key",
                              out->len > 0 ? "; " : "");
    }
  if (out->len == 0)
    g_string_append (out, "no request is of it: it has no keys");
}

static void
team_removed (GString *out, const changer_t *c, const void *row)
{
  append_keys_lost (out, c, row);
  if (out->len == 0)
    g_string_append (out, "affects no request: it had no keys");
}

/* Returns what TEAM is granted a second now, or 0 when it is not known.  */
static guint64
use_of (const pu_change_options_t *o, const char *team)
{
  for (size_t i = 0; i < o->n_uses; i++)
    {
      if (g_str_equal (o->uses[i].name, team))
        return o->uses[i].units_per_s;
    }
  return 0;
}

static void
append_rate (GString *out, const changer_t *c, const pu_team_t *team)
{
  const char *unit = team->unit == PU_TEAM_TOKENS ? "tokens" : "requests";
  guint64 use = use_of (c->o, team->name);

  if (team->rate_per_s == 0)
    {
      g_string_append (out, "the team has no allowance: nothing of it is "
                            "refused for its rate");
      return;
    }
  g_string_append_printf (out, "callers of the team may send %u %s a second",
                          team->rate_per_s, unit);
  if (use > team->rate_per_s)
    {
      g_string_append_printf (
          out, "; it uses %" G_GUINT64_FORMAT " now: what is above is refused",
          use);
    }
}

static void
team_changed (GString *out, const changer_t *c, pair_t pair, const char *field)
{
  const pu_team_t *team = pair.newer;

  if (g_str_equal (field, "keys"))
    {
      append_keys_lost (out, c, pair.older);
      append_keys_won (out, c, team);
    }
  else if (g_str_equal (field, "rate_per_s"))
    {
      append_rate (out, c, team);
    }
  if (out->len == 0)
    g_string_append (out, "applies to all callers of the team");
}

/* --- tables --- */

typedef struct
{
  const char *name;
  size_t offset;   /* of the rows in pu_document_t */
  size_t row_size; /* of a row, which begins with the name */
  void (*added) (GString *out, const changer_t *c, const void *row);
  void (*removed) (GString *out, const changer_t *c, const void *row);
  void (*changed) (GString *out, const changer_t *c, pair_t pair,
                   const char *field);
} table_t;

static const table_t tables[] = {
  { "services", offsetof (pu_document_t, services), sizeof (pu_service_t),
    service_added, service_removed, service_changed },
  { "models", offsetof (pu_document_t, bases), sizeof (pu_model_t),
    model_added, model_removed, model_changed },
  { "adapters", offsetof (pu_document_t, adapters), sizeof (pu_model_t),
    model_added, model_removed, model_changed },
  { "routes", offsetof (pu_document_t, routes), sizeof (pu_route_t),
    route_added, route_removed, route_changed },
  { "teams", offsetof (pu_document_t, teams), sizeof (pu_team_t), team_added,
    team_removed, team_changed },
};

static const char *
row_name (const void *row)
{
  return *(const char *const *)row;
}

/* Returns the row I of the table T, or NULL beyond the last.  */
static const void *
row_at (const pu_document_t *d, const table_t *t, guint i)
{
  const pu_json_rows_t *rows;

  if (d == NULL)
    return NULL;
  rows = (const pu_json_rows_t *)(const void *)((const char *)d + t->offset);
  return i < rows->n ? (const char *)rows->items + i * t->row_size : NULL;
}

/* Replaces how many keys there are for KEYS.  */
static json_t *
keys_shown (const json_t *keys)
{
  size_t n = json_array_size (keys);

  return json_sprintf ("%zu %s", n, n == 1 ? "key" : "keys");
}

/* Returns a copy of VALUE, of the member FIELD of an item of TABLE or, when
   FIELD is NULL, of the item, without keys.  */
static json_t *
value_shown (const char *table, const char *field, const json_t *value)
{
  json_t *copy;

  if (!g_str_equal (table, "teams"))
    return json_deep_copy (value);
  if (field == NULL)
    {
      copy = json_deep_copy (value);
      if (json_object_get (copy, "keys") != NULL)
        {
          json_object_set_new (copy, "keys",
                               keys_shown (json_object_get (copy, "keys")));
        }
      return copy;
    }
  if (g_str_equal (field, "keys"))
    return keys_shown (value);
  if (g_str_equal (field, "priority")
      && json_integer_value (value) == PU_TEAM_PRIORITY_NONE)
    return json_string ("none");
  return json_deep_copy (value);
}

/* Adds a change and frees EFFECT; OLDER and NEWER, whose references it takes,
   are NULL where there is none.  */
static void
change_add (const changer_t *c, const char *path, json_t *older, json_t *newer,
            GString *effect)
{
  json_t *o = json_object ();

  json_object_set_new (o, "path", json_string (path));
  json_object_set_new (o, "kind",
                       json_string (older == NULL   ? "added"
                                    : newer == NULL ? "removed"
                                                    : "changed"));
  if (older != NULL)
    json_object_set_new (o, "old", older);
  if (newer != NULL)
    json_object_set_new (o, "new", newer);
  json_object_set_new (o, "effect", json_string (effect->str));
  g_string_free (effect, TRUE);
  json_array_append_new (c->out, o);
}

static const json_t *
item_of (const json_t *document, const char *table, const char *name)
{
  return json_object_get (json_object_get (document, table), name);
}

static char *
item_path (const char *table, const char *name, const char *field)
{
  return g_strconcat ("/", table, "/", name, field != NULL ? "/" : NULL, field,
                      NULL);
}

static void
row_compare (const changer_t *c, const table_t *t, pair_t pair)
{
  const char *name = row_name (pair.newer);
  json_t *newer = (json_t *)item_of (c->new_full, t->name, name);
  const json_t *older = item_of (c->old_full, t->name, name);
  const char *field;
  json_t *value;

  if (json_equal (older, newer))
    return;
  json_object_foreach (newer, field, value)
  {
    const json_t *before = json_object_get (older, field);
    GString *effect;
    char *path;

    if (json_equal (before, value))
      continue;
    effect = g_string_new (NULL);
    path = item_path (t->name, name, field);
    t->changed (effect, c, pair, field);
    change_add (c, path, value_shown (t->name, field, before),
                value_shown (t->name, field, value), effect);
    g_free (path);
  }
}

static void
row_report (const changer_t *c, const table_t *t, const void *row, bool added)
{
  const char *name = row_name (row);
  json_t *shown = value_shown (
      t->name, NULL,
      item_of (added ? c->new_text : c->old_text, t->name, name));
  GString *effect = g_string_new (NULL);
  char *path = item_path (t->name, name, NULL);

  if (added)
    {
      t->added (effect, c, row);
      change_add (c, path, NULL, shown, effect);
    }
  else
    {
      t->removed (effect, c, row);
      change_add (c, path, shown, NULL, effect);
    }
  g_free (path);
}

/* Merges the rows of both documents, which are sorted by name.  */
static void
table_compare (const changer_t *c, const table_t *t)
{
  guint i = 0;
  guint j = 0;

  for (;;)
    {
      pair_t pair = { row_at (c->older, t, i), row_at (c->newer, t, j) };
      int order;

      if (pair.older == NULL && pair.newer == NULL)
        return;
      if (pair.older == NULL || pair.newer == NULL)
        {
          order = pair.older == NULL ? 1 : -1;
        }
      else
        {
          order = strcmp (row_name (pair.older), row_name (pair.newer));
        }
      if (order < 0)
        {
          row_report (c, t, pair.older, false);
        }
      else if (order > 0)
        {
          row_report (c, t, pair.newer, true);
        }
      else
        {
          row_compare (c, t, pair);
        }
      i += order <= 0;
      j += order >= 0;
    }
}

/* --- the rest of a document --- */

static void
settings_compare (const changer_t *c, const char *object, const char *effect)
{
  json_t *newer = json_object_get (c->new_full, object);
  const json_t *older = json_object_get (c->old_full, object);
  const char *field;
  json_t *value;

  json_object_foreach (newer, field, value)
  {
    json_t *before = json_object_get (older, field);
    char *path;

    if (before == NULL || json_equal (before, value))
      continue;
    path = g_strconcat ("/", object, "/", field, NULL);
    change_add (c, path, json_incref (before), json_incref (value),
                g_string_new (effect));
    g_free (path);
  }
}

/* A source text can hold keys of teams, so that only its length is shown.  */
static void
source_compare (const changer_t *c)
{
  const char *older = c->older != NULL ? c->older->source : "";

  if (g_str_equal (older, c->newer->source))
    return;
  change_add (c, "/source", json_sprintf ("%zu bytes", strlen (older)),
              json_sprintf ("%zu bytes", strlen (c->newer->source)),
              g_string_new ("affects no request: it is given back to whoever "
                            "reads the document"));
}

json_t *
pu_document_changes (const pu_document_t *older, const pu_document_t *newer,
                     const pu_change_options_t *o)
{
  guint lookups = 0;
  changer_t c
      = { .older = older, .newer = newer, .o = o, .lookups = &lookups };

  c.out = json_array ();
  c.new_text = json_loads (pu_document_text (newer), 0, NULL);
  c.new_full = pu_document_effective (newer);
  if (older != NULL)
    {
      c.old_text = json_loads (pu_document_text (older), 0, NULL);
      c.old_full = pu_document_effective (older);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    table_compare (&c, &tables[i]);
  settings_compare (&c, "callers", "applies to all callers");
  settings_compare (&c, "placement", "applies to the placement of all models");
  settings_compare (&c, "version_change",
                    "applies to all later changes of a version");
  source_compare (&c);
  json_decref (c.old_text);
  json_decref (c.new_text);
  json_decref (c.old_full);
  json_decref (c.new_full);
  return c.out;
}
