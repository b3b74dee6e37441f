#include "operator/internal.h"

#include <string.h>

#define NEAR_MAX 3
#define NEAR_NAME_MAX 64

/* Edit distance (Levenshtein) of two short names.  */
static guint
edit_distance (const char *a, const char *b)
{
  guint row[NEAR_NAME_MAX + 1];
  guint n = strlen (b);

  for (guint j = 0; j <= n; j++)
    row[j] = j;
  for (guint i = 1; a[i - 1] != '\0'; i++)
    {
      guint diagonal = row[0];

      row[0] = i;
      for (guint j = 1; j <= n; j++)
        {
          guint above = row[j];
          guint change = diagonal + (a[i - 1] != b[j - 1]);

          row[j] = MIN (MIN (above, row[j - 1]) + 1, change);
          diagonal = above;
        }
    }
  return row[n];
}

static bool
is_near (const char *name, const char *other)
{
  size_t len = strlen (name);

  if (len > NEAR_NAME_MAX || strlen (other) > NEAR_NAME_MAX)
    return false;
  return edit_distance (name, other) <= 1 + len / 4;
}

char *
pu_operator_near (const GPtrArray *names, const char *name)
{
  GString *out = g_string_new ("");
  guint n = 0;

  for (guint i = 0; i < names->len && n < NEAR_MAX; i++)
    {
      const char *other = g_ptr_array_index (names, i);

      if (!is_near (name, other))
        continue;
      g_string_append_printf (out, "%s%s", n == 0 ? "" : ", ", other);
      n++;
    }
  return g_string_free (out, FALSE);
}
