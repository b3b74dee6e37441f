/* Lines and columns of the values that findings name by JSON pointer.  */

#include "base/json.h"

#include <string.h>

typedef struct
{
  int line; /* 0: not met yet */
  int column;
} place_t;

/* The position in the text and the path of the value there.  */
typedef struct
{
  const char *text;
  size_t len;
  size_t at;
  int line;
  int column;
  GString *path;
  GHashTable *wanted; /* path -> place_t, with the paths of all values that
                         hold a wanted one */
} walker_t;

/* --- paths --- */

static void
want (GHashTable *wanted, const char *path)
{
  char *own = g_strdup (path);
  char *slash;

  while (!g_hash_table_contains (wanted, own))
    {
      g_hash_table_insert (wanted, g_strdup (own), g_new0 (place_t, 1));
      slash = strrchr (own, '/');
      if (slash == NULL)
        break;
      *slash = '\0';
    }
  g_free (own);
}

/* The place of the value at PATH, or of the nearest one that holds it.  */
static const place_t *
place_of (GHashTable *wanted, const char *path)
{
  char *own = g_strdup (path);
  const place_t *place = g_hash_table_lookup (wanted, own);
  char *slash = strrchr (own, '/');

  while (place->line == 0 && slash != NULL)
    {
      *slash = '\0';
      place = g_hash_table_lookup (wanted, own);
      slash = strrchr (own, '/');
    }
  g_free (own);
  return place;
}

/* --- steps over the text --- */

static char
peek (const walker_t *w)
{
  return w->at < w->len ? w->text[w->at] : '\0';
}

static void
step (walker_t *w)
{
  char c = w->text[w->at++];

  if (c == '\n')
    {
      w->line++;
      w->column = 1;
    }
  else if (((guchar)c & 0xc0) != 0x80)
    {
      w->column++;
    }
}

static bool
take (walker_t *w, char c)
{
  if (peek (w) != c)
    return false;
  step (w);
  return true;
}

static void
skip_space (walker_t *w)
{
  while (w->at < w->len && g_ascii_isspace (w->text[w->at]))
    step (w);
}

static void
skip_string (walker_t *w)
{
  step (w);
  while (w->at < w->len && w->text[w->at] != '"')
    {
      if (w->text[w->at] == '\\' && w->at + 1 < w->len)
        step (w);
      step (w);
    }
  if (w->at < w->len)
    step (w);
}

/* Skips a value with all that it holds.  */
static void
skip_value (walker_t *w)
{
  guint depth = 0;

  while (w->at < w->len)
    {
      char c = w->text[w->at];

      if (depth == 0 && strchr (",]}", c) != NULL)
        return;
      if (c == '"')
        {
          skip_string (w);
          continue;
        }
      if (c == '{' || c == '[')
        depth++;
      if (c == '}' || c == ']')
        depth--;
      step (w);
    }
}

/* The key at the position, unescaped; freed by g_free ().  NULL when there is
   none.  */
static char *
read_key (walker_t *w)
{
  size_t start = w->at;
  json_t *value;
  char *key;

  if (peek (w) != '"')
    return NULL;
  skip_string (w);
  value = json_loadb (w->text + start, w->at - start, JSON_DECODE_ANY, NULL);
  key = g_strdup (json_string_value (value));
  json_decref (value);
  return key;
}

/* --- the walk --- */

static bool walk_value (walker_t *w);

static bool
walk_member (walker_t *w)
{
  gsize length = w->path->len;
  char *key = read_key (w);
  bool good;

  if (key == NULL)
    return false;
  pu_json_path_append (w->path, key);
  g_free (key);
  skip_space (w);
  good = take (w, ':') && walk_value (w);
  g_string_truncate (w->path, length);
  return good;
}

static bool
walk_entry (walker_t *w, size_t i)
{
  gsize length = w->path->len;
  bool good;

  g_string_append_printf (w->path, "/%zu", i);
  good = walk_value (w);
  g_string_truncate (w->path, length);
  return good;
}

/* Walks the entries of an object or array that ends with END.  */
static bool
walk_entries (walker_t *w, char end)
{
  size_t i = 0;

  step (w);
  skip_space (w);
  if (take (w, end))
    return true;
  for (;;)
    {
      skip_space (w);
      if (!(end == '}' ? walk_member (w) : walk_entry (w, i++)))
        return false;
      skip_space (w);
      if (take (w, end))
        return true;
      if (!take (w, ','))
        return false;
    }
}

/* Descends only into values that hold a wanted one, so that the depth of calls
   is that of the longest path.  Returns false for text that is no JSON.  */
static bool
walk_value (walker_t *w)
{
  place_t *place = g_hash_table_lookup (w->wanted, w->path->str);

  skip_space (w);
  if (place == NULL || place->line > 0)
    {
      skip_value (w);
      return true;
    }
  place->line = w->line;
  place->column = w->column;
  switch (peek (w))
    {
    case '{':
      return walk_entries (w, '}');
    case '[':
      return walk_entries (w, ']');
    default:
      skip_value (w);
      return true;
    }
}

void
pu_json_locate (const char *text, size_t len, pu_findings_t *f)
{
  walker_t w = { .text = text, .len = len, .line = 1, .column = 1 };

  w.wanted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w.path = g_string_new (NULL);
  for (size_t i = 0; i < pu_findings_count (f); i++)
    {
      if (pu_findings_get (f, i)->line == 0)
        want (w.wanted, pu_findings_get (f, i)->path);
    }
  if (g_hash_table_size (w.wanted) > 0)
    walk_value (&w);
  for (size_t i = 0; i < pu_findings_count (f); i++)
    {
      const place_t *place;

      if (pu_findings_get (f, i)->line != 0)
        continue;
      place = place_of (w.wanted, pu_findings_get (f, i)->path);
      pu_findings_set_place (f, i, place->line, place->column);
    }
  g_string_free (w.path, TRUE);
  g_hash_table_destroy (w.wanted);
}
