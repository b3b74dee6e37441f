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

/* The names found so far, the nearest first.  */
typedef struct
{
  const char *names[NEAR_MAX];
  guint distances[NEAR_MAX];
  guint n;
} nearest_t;

static void
insert (nearest_t *t, const char *name, guint distance)
{
  guint at = t->n;

  while (at > 0 && t->distances[at - 1] > distance)
    at--;
  if (at == NEAR_MAX)
    return;
  t->n = MIN (t->n + 1, NEAR_MAX);
  for (guint i = t->n - 1; i > at; i--)
    {
      t->names[i] = t->names[i - 1];
      t->distances[i] = t->distances[i - 1];
    }
  t->names[at] = name;
  t->distances[at] = distance;
}

char *
pu_operator_near (const GPtrArray *names, const char *name)
{
  GString *out = g_string_new ("");
  size_t len = strlen (name);
  nearest_t t = { 0 };

  for (guint i = 0; i < names->len && len <= NEAR_NAME_MAX; i++)
    {
      const char *other = g_ptr_array_index (names, i);
      guint distance;

      if (strlen (other) > NEAR_NAME_MAX)
        continue;
      distance = edit_distance (name, other);
      if (distance <= 1 + len / 4)
        insert (&t, other, distance);
    }
  for (guint i = 0; i < t.n; i++)
    g_string_append_printf (out, "%s%s", i == 0 ? "" : ", ", t.names[i]);
  return g_string_free (out, FALSE);
}
