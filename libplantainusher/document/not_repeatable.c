#include "document/internal.h"

#include <string.h>

#define METHOD_MAX ((size_t)32)

const char *
pu_document_check_not_repeatable (const char *s)
{
  static const char fault[]
      = "is not a method and a path prefix, such as \"POST /rooms\"";
  size_t n = strspn (s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");

  if (n == 0 && *s == '*')
    n = 1;
  if (n == 0 || n > METHOD_MAX || s[n] != ' ' || s[n + 1] != '/')
    return fault;
  for (const char *c = s + n + 1; *c != '\0'; c++)
    {
      if (!g_ascii_isgraph (*c) || strchr ("?#;%", *c) != NULL)
        return fault;
    }
  return NULL;
}

/* Returns PATH up to its query or fragment, with percent escapes decoded and
   NUL bytes dropped.  */
static char *
percent_decode (const char *path)
{
  size_t n = strcspn (path, "?#");
  GString *out = g_string_sized_new (n);

  for (size_t i = 0; i < n; i++)
    {
      char c = path[i];

      if (c == '%' && i + 2 < n && g_ascii_isxdigit (path[i + 1])
          && g_ascii_isxdigit (path[i + 2]))
        {
          c = (char)(g_ascii_xdigit_value (path[i + 1]) * 16
                     + g_ascii_xdigit_value (path[i + 2]));
          i += 2;
        }
      if (c != '\0')
        g_string_append_c (out, c);
    }
  return g_string_free (out, FALSE);
}

static void
drop_last_segment (GString *out)
{
  const char *slash = strrchr (out->str, '/');

  if (slash != NULL)
    g_string_truncate (out, (gsize)(slash - out->str));
}

/* Returns PATH in the form "/a/b", without empty segments, `.` segments and
   segment parameters.  With RESOLVE, each `..` removes the segment before
   it.  */
static char *
normalize_path (const char *path, bool resolve)
{
  char *plain = percent_decode (path);
  char **segments = g_strsplit (plain, "/", -1);
  GString *out = g_string_new (NULL);

  for (char **s = segments; *s != NULL; s++)
    {
      (*s)[strcspn (*s, ";")] = '\0';
      if (**s == '\0' || strcmp (*s, ".") == 0)
        continue;
      if (resolve && strcmp (*s, "..") == 0)
        {
          drop_last_segment (out);
        }
      else
        {
          g_string_append_printf (out, "/%s", *s);
        }
    }
  g_strfreev (segments);
  g_free (plain);
  return g_string_free (out, FALSE);
}

/* Whether PREFIX matches whole leading segments of PATH.  */
static bool
has_path_prefix (const char *path, const char *prefix)
{
  size_t n = strlen (prefix);

  return strncmp (path, prefix, n) == 0 && (path[n] == '\0' || path[n] == '/');
}

static bool
entry_matches (const char *entry, const char *method, const char *literal,
               const char *resolved)
{
  const char *space = strchr (entry, ' ');
  size_t n = (size_t)(space - entry);
  bool any = n == 1 && *entry == '*';
  bool found;
  char *prefix;

  if (!any
      && (strlen (method) != n || g_ascii_strncasecmp (entry, method, n) != 0))
    return false;
  prefix = normalize_path (space + 1, true);
  found = has_path_prefix (literal, prefix)
          || has_path_prefix (resolved, prefix);
  g_free (prefix);
  return found;
}

bool
pu_service_not_repeatable (const pu_service_t *s, const char *method,
                           const char *path)
{
  char *literal;
  char *resolved;
  bool found = false;

  if (s->not_repeatable.n == 0)
    return false;
  literal = normalize_path (path, false);
  resolved = normalize_path (path, true);
  for (guint i = 0; i < s->not_repeatable.n && !found; i++)
    {
      const char *entry = s->not_repeatable.items[i];

      found = entry_matches (entry, method, literal, resolved);
    }
  g_free (resolved);
  g_free (literal);
  return found;
}
