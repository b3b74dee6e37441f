#include "base/json.h"

static void
report (json_t *out, const char *path, const char *kind, const json_t *older,
        const json_t *newer)
{
  json_t *o = json_object ();

  json_object_set_new (o, "path", json_string (path));
  json_object_set_new (o, "kind", json_string (kind));
  if (older != NULL)
    json_object_set_new (o, "old", json_deep_copy (older));
  if (newer != NULL)
    json_object_set_new (o, "new", json_deep_copy (newer));
  json_array_append_new (out, o);
}

static void compare (json_t *out, GString *path, const json_t *older,
                     const json_t *newer);

static void
compare_key (json_t *out, GString *path, const char *key, const json_t *older,
             const json_t *newer)
{
  gsize length = path->len;

  pu_json_path_append (path, key);
  compare (out, path, json_object_get (older, key),
           json_object_get (newer, key));
  g_string_truncate (path, length);
}

static gint
compare_strings (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (*(const char *const *)a, *(const char *const *)b);
}

static void
collect_keys (GPtrArray *keys, const json_t *object, const json_t *except)
{
  /* The iterator takes a pointer to changeable data, and changes none.  */
  json_t *o = (json_t *)object;
  const char *key;
  json_t *value;

  json_object_foreach (o, key, value)
  {
    if (json_object_get (except, key) == NULL)
      g_ptr_array_add (keys, (gpointer)key);
  }
}

static void
compare_objects (json_t *out, GString *path, const json_t *older,
                 const json_t *newer)
{
  GPtrArray *keys = g_ptr_array_new ();

  collect_keys (keys, older, NULL);
  collect_keys (keys, newer, older);
  g_ptr_array_sort (keys, compare_strings);
  for (guint i = 0; i < keys->len; i++)
    compare_key (out, path, g_ptr_array_index (keys, i), older, newer);
  g_ptr_array_free (keys, TRUE);
}

/* The strings of ARRAY as a set, or NULL when it holds something else or one
   string twice.  */
static GHashTable *
string_set (const json_t *array)
{
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  bool good = true;

  for (size_t i = 0; good && i < json_array_size (array); i++)
    {
      const char *s = json_string_value (json_array_get (array, i));

      good = s != NULL && g_hash_table_add (set, (gpointer)s);
    }
  if (good)
    return set;
  g_hash_table_destroy (set);
  return NULL;
}

/* Reports each string of ARRAY that is not in SET; returns how many.  */
static guint
report_missing (json_t *out, const char *path, const json_t *array,
                GHashTable *set, bool added)
{
  guint n = 0;

  for (size_t i = 0; i < json_array_size (array); i++)
    {
      json_t *value = json_array_get (array, i);

      if (g_hash_table_contains (set, json_string_value (value)))
        continue;
      if (added)
        {
          report (out, path, "added", NULL, value);
        }
      else
        {
          report (out, path, "removed", value, NULL);
        }
      n++;
    }
  return n;
}

static void
compare_arrays (json_t *out, GString *path, const json_t *older,
                const json_t *newer)
{
  GHashTable *old_set = string_set (older);
  GHashTable *new_set = string_set (newer);
  guint n = 0;

  if (old_set != NULL && new_set != NULL)
    {
      n += report_missing (out, path->str, older, new_set, false);
      n += report_missing (out, path->str, newer, old_set, true);
    }
  if (n == 0)
    report (out, path->str, "changed", older, newer);
  g_clear_pointer (&old_set, g_hash_table_destroy);
  g_clear_pointer (&new_set, g_hash_table_destroy);
}

static bool
has_leaves (const json_t *value)
{
  return json_is_object (value) && json_object_size (value) > 0;
}

static void
compare (json_t *out, GString *path, const json_t *older, const json_t *newer)
{
  if (older == NULL && newer == NULL)
    return;
  if (older != NULL && newer != NULL && json_equal (older, newer))
    return;
  if ((older == NULL || json_is_object (older))
      && (newer == NULL || json_is_object (newer))
      && (has_leaves (older) || has_leaves (newer)))
    {
      compare_objects (out, path, older, newer);
    }
  else if (older == NULL)
    {
      report (out, path->str, "added", NULL, newer);
    }
  else if (newer == NULL)
    {
      report (out, path->str, "removed", older, NULL);
    }
  else if (json_is_array (older) && json_is_array (newer))
    {
      compare_arrays (out, path, older, newer);
    }
  else
    {
      report (out, path->str, "changed", older, newer);
    }
}

json_t *
pu_json_diff (const json_t *older, const json_t *newer)
{
  json_t *out = json_array ();
  GString *path = g_string_new (NULL);

  compare (out, path, older, newer);
  g_string_free (path, TRUE);
  return out;
}
