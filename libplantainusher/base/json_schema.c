#include "base/json.h"

#include <math.h>
#include <string.h>

/* Longest quoted value in a message, in characters.  */
#define QUOTE_MAX 64

typedef struct
{
  pu_json_arena_t *arena;
  pu_findings_t *findings;
  GString *path;
  guint found;
} reader_t;

/* Adds a finding at the reader's place; says once that there are more.  */
static void G_GNUC_PRINTF (2, 3) find (reader_t *r, const char *format, ...)
{
  va_list ap;
  char *message;

  r->found++;
  if (r->found > PU_JSON_FINDINGS_MAX)
    return;
  if (r->found == PU_JSON_FINDINGS_MAX)
    {
      pu_findings_add (r->findings, r->path->str,
                       "has a fault; this and all later ones are left out");
      return;
    }
  va_start (ap, format);
  message = g_strdup_vprintf (format, ap);
  va_end (ap);
  pu_findings_add (r->findings, r->path->str, "%s", message);
  g_free (message);
}

static bool
is_full (const reader_t *r)
{
  return r->found >= PU_JSON_FINDINGS_MAX;
}

static char *
quote (const char *s)
{
  char *cut;
  char *quoted;

  if (g_utf8_strlen (s, -1) <= QUOTE_MAX)
    return g_strdup_printf ("\"%s\"", s);
  cut = g_utf8_substring (s, 0, QUOTE_MAX);
  quoted = g_strdup_printf ("\"%s...\"", cut);
  g_free (cut);
  return quoted;
}

static const char *
type_name (const json_t *value)
{
  static const char *const names[] = {
    [JSON_OBJECT] = "an object", [JSON_ARRAY] = "a list",
    [JSON_STRING] = "a string",  [JSON_INTEGER] = "a whole number",
    [JSON_REAL] = "a number",    [JSON_TRUE] = "true",
    [JSON_FALSE] = "false",      [JSON_NULL] = "null",
  };

  return names[json_typeof (value)];
}

static bool
is_type (reader_t *r, bool good, const json_t *value, const char *wanted)
{
  if (!good)
    find (r, "must be %s, not %s", wanted, type_name (value));
  return good;
}

static const char *
unit_space (const pu_field_t *field)
{
  return field->unit == NULL ? "" : " ";
}

static const char *
unit_name (const pu_field_t *field)
{
  return field->unit == NULL ? "" : field->unit;
}

static bool
in_range (reader_t *r, const pu_field_t *field, double value)
{
  if (value >= field->min && value <= field->max)
    return true;
  find (r, "is %.15g; it must be between %.15g and %.15g%s%s", value,
        field->min, field->max, unit_space (field), unit_name (field));
  return false;
}

static bool
in_length (reader_t *r, const pu_field_t *field, size_t length,
           const char *what)
{
  if (length < field->min)
    {
      find (r, "has %zu %s; at least %.0f are needed", length, what,
            field->min);
    }
  else if (length > field->max)
    {
      find (r, "has %zu %s; at most %.0f are allowed", length, what,
            field->max);
    }
  else
    {
      return true;
    }
  return false;
}

/* A secret is never quoted.  */
static void
find_bad_string (reader_t *r, const pu_field_t *field, const char *s,
                 const char *fault)
{
  char *quoted;

  if ((field->flags & PU_FIELD_SECRET) != 0)
    {
      find (r, "%s", fault);
      return;
    }
  quoted = quote (s);
  find (r, "%s %s", quoted, fault);
  g_free (quoted);
}

static const char *
read_one_string (reader_t *r, const pu_field_t *field, const json_t *value)
{
  const char *s = json_string_value (value);
  const char *fault = field->check == NULL ? NULL : field->check (s);

  if (fault != NULL)
    find_bad_string (r, field, s, fault);
  return pu_json_arena_string (r->arena, s);
}

static void
read_string (reader_t *r, const pu_field_t *field, const json_t *value,
             const char **out)
{
  if (!is_type (r, json_is_string (value), value, "a string"))
    return;
  if (in_length (r, field, json_string_length (value), "bytes"))
    *out = read_one_string (r, field, value);
}

static void
read_word (reader_t *r, const pu_field_t *field, const json_t *value,
           guint32 *out)
{
  const char *s = json_string_value (value);
  char *quoted;
  char *all;

  if (!is_type (r, s != NULL, value, "a string"))
    return;
  for (guint32 i = 0; field->words[i] != NULL; i++)
    {
      if (strcmp (field->words[i], s) == 0)
        {
          *out = i;
          return;
        }
    }
  quoted = quote (s);
  all = g_strjoinv (", ", (char **)field->words);
  find (r, "%s is not one of: %s", quoted, all);
  g_free (all);
  g_free (quoted);
}

static void
read_int (reader_t *r, const pu_field_t *field, const json_t *value,
          guint32 *out)
{
  bool rounds = (field->flags & PU_FIELD_ROUND_DOWN) != 0;
  double number;

  if (rounds ? !is_type (r, json_is_number (value), value, "a number")
             : !is_type (r, json_is_integer (value), value, "a whole number"))
    return;
  number = floor (json_number_value (value));
  if (in_range (r, field, number))
    *out = (guint32)number;
}

/* Keeps as many digits as pu_json_text writes, so that the text of the value
   gives the value again.  */
static double
round_real (double value)
{
  char digits[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (digits, sizeof digits, "%.15g", value);
  return g_ascii_strtod (digits, NULL);
}

static void
read_number (reader_t *r, const pu_field_t *field, const json_t *value,
             double *out)
{
  double number;

  if (!is_type (r, json_is_number (value), value, "a number"))
    return;
  number = round_real (json_number_value (value));
  if (in_range (r, field, number))
    *out = number;
}

static void
read_bool (reader_t *r, const json_t *value, bool *out)
{
  if (is_type (r, json_is_boolean (value), value, "true or false"))
    *out = json_is_true (value);
}

/* Calls for each entry of a list: enters its place in the path.  */
static gsize
enter_index (reader_t *r, size_t i)
{
  gsize length = r->path->len;

  g_string_append_printf (r->path, "/%zu", i);
  return length;
}

static void
leave (reader_t *r, gsize length)
{
  g_string_truncate (r->path, length);
}

static void
read_entry (reader_t *r, const pu_field_t *field, const json_t *value,
            GHashTable *seen, pu_json_strings_t *out)
{
  const char *s;

  if (!is_type (r, json_is_string (value), value, "a string"))
    return;
  s = read_one_string (r, field, value);
  if (g_hash_table_add (seen, (gpointer)s))
    {
      out->items[out->n++] = s;
    }
  else
    {
      find_bad_string (r, field, s, "is listed twice");
    }
}

static void
read_strings (reader_t *r, const pu_field_t *field, const json_t *value,
              pu_json_strings_t *out)
{
  size_t n = json_array_size (value);
  GHashTable *seen;

  if (!is_type (r, json_is_array (value), value, "a list of strings"))
    return;
  if (!in_length (r, field, n, "entries"))
    return;
  seen = g_hash_table_new (g_str_hash, g_str_equal);
  out->items = pu_json_arena_alloc (r->arena, n * sizeof (char *));
  for (size_t i = 0; i < n && !is_full (r); i++)
    {
      gsize length = enter_index (r, i);

      read_entry (r, field, json_array_get (value, i), seen, out);
      leave (r, length);
    }
  g_hash_table_destroy (seen);
}

static void read_object (reader_t *r, const json_t *value,
                         const pu_schema_t *schema, char *out);

static void
read_list (reader_t *r, const pu_field_t *field, const json_t *value,
           pu_json_rows_t *out)
{
  size_t n = json_array_size (value);
  char *rows;

  if (!is_type (r, json_is_array (value), value, "a list of objects"))
    return;
  if (!in_length (r, field, n, "entries"))
    return;
  rows = pu_json_arena_alloc (r->arena, n * field->schema->size);
  for (size_t i = 0; i < n; i++)
    {
      gsize length = enter_index (r, i);

      read_object (r, json_array_get (value, i), field->schema,
                   rows + i * field->schema->size);
      leave (r, length);
    }
  out->items = rows;
  out->n = (guint)n;
}

static gint
compare_strings (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
sorted_keys (const json_t *object)
{
  GPtrArray *keys = g_ptr_array_new ();
  json_t *o = (json_t *)object; /* the iterator changes nothing */
  const char *key;
  json_t *value;

  json_object_foreach (o, key, value) g_ptr_array_add (keys, (gpointer)key);
  g_ptr_array_sort (keys, compare_strings);
  return keys;
}

static void
read_row (reader_t *r, const pu_schema_t *schema, const char *key,
          const json_t *value, char *row)
{
  const char *fault;
  gsize length = r->path->len;
  char *quoted;

  pu_json_path_append (r->path, key);
  fault = schema->key_check == NULL ? NULL : schema->key_check (key);
  if (fault != NULL)
    {
      quoted = quote (key);
      find (r, "the name %s %s", quoted, fault);
      g_free (quoted);
    }
  read_object (r, value, schema, row);
  *(const char **)(row + schema->key_offset)
      = pu_json_arena_string (r->arena, key);
  leave (r, length);
}

static void
read_map (reader_t *r, const pu_field_t *field, const json_t *value,
          pu_json_rows_t *out)
{
  const pu_schema_t *schema = field->schema;
  GPtrArray *keys;
  char *rows;

  if (!is_type (r, json_is_object (value), value, "an object"))
    return;
  if (!in_length (r, field, json_object_size (value), "entries"))
    return;
  keys = sorted_keys (value);
  rows = pu_json_arena_alloc (r->arena, keys->len * schema->size);
  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);

      read_row (r, schema, key, json_object_get (value, key),
                rows + i * schema->size);
    }
  out->items = rows;
  out->n = keys->len;
  g_ptr_array_free (keys, TRUE);
}

static void
set_default (const pu_field_t *field, char *at)
{
  switch (field->type)
    {
    case PU_FIELD_STRING:
      *(const char **)at
          = field->text_fallback == NULL ? "" : field->text_fallback;
      break;
    case PU_FIELD_WORD:
    case PU_FIELD_INT:
      *(guint32 *)at = (guint32)field->fallback;
      break;
    case PU_FIELD_NUMBER:
      *(double *)at = field->fallback;
      break;
    case PU_FIELD_BOOL:
      *(bool *)at = field->fallback != 0;
      break;
    case PU_FIELD_STRINGS:
    case PU_FIELD_OBJECT:
    case PU_FIELD_MAP:
    case PU_FIELD_LIST:
      break;
    }
}

static void
read_value (reader_t *r, const pu_field_t *field, const json_t *value,
            char *at)
{
  switch (field->type)
    {
    case PU_FIELD_STRING:
      read_string (r, field, value, (const char **)at);
      break;
    case PU_FIELD_WORD:
      read_word (r, field, value, (guint32 *)at);
      break;
    case PU_FIELD_INT:
      read_int (r, field, value, (guint32 *)at);
      break;
    case PU_FIELD_NUMBER:
      read_number (r, field, value, (double *)at);
      break;
    case PU_FIELD_BOOL:
      read_bool (r, value, (bool *)at);
      break;
    case PU_FIELD_STRINGS:
      read_strings (r, field, value, (pu_json_strings_t *)at);
      break;
    case PU_FIELD_OBJECT:
      read_object (r, value, field->schema, at);
      break;
    case PU_FIELD_MAP:
      read_map (r, field, value, (pu_json_rows_t *)at);
      break;
    case PU_FIELD_LIST:
      read_list (r, field, value, (pu_json_rows_t *)at);
      break;
    }
}

static void
read_field (reader_t *r, const pu_field_t *field, const json_t *value,
            char *at)
{
  gsize length = r->path->len;

  set_default (field, at);
  pu_json_path_append (r->path, field->name);
  if (value != NULL)
    {
      read_value (r, field, value, at);
    }
  else if ((field->flags & PU_FIELD_REQUIRED) != 0)
    {
      find (r, "is required");
    }
  leave (r, length);
  /* An object that is left out still gets its defaults.  */
  if (field->type == PU_FIELD_OBJECT && value == NULL)
    read_object (r, NULL, field->schema, at);
}

static bool
is_known (const pu_schema_t *schema, const char *key)
{
  for (size_t i = 0; i < schema->n; i++)
    {
      if (strcmp (schema->fields[i].name, key) == 0)
        return true;
    }
  return false;
}

static void
find_unknown (reader_t *r, const pu_schema_t *schema, const char *key)
{
  const char **names = g_new (const char *, schema->n);
  gsize length = r->path->len;
  char *near;

  for (size_t i = 0; i < schema->n; i++)
    names[i] = schema->fields[i].name;
  near = pu_json_nearest (key, names, schema->n, 1);
  pu_json_path_append (r->path, key);
  if (*near == '\0')
    {
      find (r, "is not a known key");
    }
  else
    {
      find (r, "is not a known key; did you mean \"%s\"?", near);
    }
  leave (r, length);
  g_free (near);
  g_free (names);
}

static void
find_unknown_keys (reader_t *r, const pu_schema_t *schema,
                   const json_t *object)
{
  json_t *o = (json_t *)object; /* the iterator changes nothing */
  const char *key;
  json_t *value;

  json_object_foreach (o, key, value)
  {
    if (is_full (r))
      return;
    if (!is_known (schema, key))
      find_unknown (r, schema, key);
  }
}

/* VALUE may be NULL: then each field gets its default, without findings.  */
static void
read_object (reader_t *r, const json_t *value, const pu_schema_t *schema,
             char *out)
{
  bool is_object = json_is_object (value);

  if (value != NULL && is_type (r, is_object, value, "an object"))
    find_unknown_keys (r, schema, value);
  for (size_t i = 0; i < schema->n; i++)
    {
      const pu_field_t *field = &schema->fields[i];
      char *at = out + field->offset;

      if (is_object)
        {
          read_field (r, field, json_object_get (value, field->name), at);
        }
      else if (field->type == PU_FIELD_OBJECT)
        {
          read_object (r, NULL, field->schema, at);
        }
      else
        {
          set_default (field, at);
        }
    }
}

bool
pu_json_read (const json_t *value, const pu_schema_t *schema, void *out,
              pu_json_arena_t *a, pu_findings_t *f)
{
  reader_t r = { .arena = a, .findings = f };

  r.path = g_string_new (NULL);
  read_object (&r, value, schema, out);
  g_string_free (r.path, TRUE);
  return r.found == 0;
}
