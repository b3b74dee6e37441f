#include "base/json.h"

#include <string.h>

/* Names longer than this are never near.  */
#define LENGTH_MAX ((size_t)128)

/* A name is near when at most one in this many characters differs, and one
   may always differ.  */
#define SHARE 3

typedef struct
{
  const char *name;
  guint distance;
} near_t;

/* Number of inserted, removed, changed or swapped bytes between A and B, both
   at most LENGTH_MAX long.  */
static guint
distance (const char *a, size_t la, const char *b, size_t lb)
{
  guint rows[3][LENGTH_MAX + 1];
  guint *before = rows[0];
  guint *last = rows[1];
  guint *row = rows[2];

  for (size_t j = 0; j <= lb; j++)
    last[j] = (guint)j;
  memset (before, 0, sizeof rows[0]);
  for (size_t i = 1; i <= la; i++)
    {
      guint *reuse = before;

      row[0] = (guint)i;
      for (size_t j = 1; j <= lb; j++)
        {
          guint change = last[j - 1] + (a[i - 1] != b[j - 1] ? 1 : 0);
          guint gap = MIN (last[j], row[j - 1]) + 1;

          row[j] = MIN (change, gap);
          if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
            row[j] = MIN (row[j], before[j - 2] + 1);
        }
      before = last;
      last = row;
      row = reuse;
    }
  return last[lb];
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const near_t *x = a;
  const near_t *y = b;

  if (x->distance != y->distance)
    return x->distance < y->distance ? -1 : 1;
  return strcmp (x->name, y->name);
}

static size_t
gap (size_t a, size_t b)
{
  return a > b ? a - b : b - a;
}

char *
pu_json_nearest (const char *name, const char *const *names, size_t n,
                 size_t max)
{
  size_t length = strnlen (name, LENGTH_MAX + 1);
  size_t most = MAX (1, length / SHARE);
  GArray *near = g_array_new (FALSE, FALSE, sizeof (near_t));
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < n && length <= LENGTH_MAX; i++)
    {
      size_t other = strnlen (names[i], LENGTH_MAX + 1);
      near_t one = { .name = names[i] };

      if (other > LENGTH_MAX || gap (length, other) > most)
        continue;
      one.distance = distance (name, length, names[i], other);
      if (one.distance <= most)
        g_array_append_val (near, one);
    }
  g_array_sort (near, compare);
  for (guint i = 0; i < near->len && i < max; i++)
    {
      if (i > 0)
        g_string_append (out, ", ");
      g_string_append (out, g_array_index (near, near_t, i).name);
    }
  g_array_free (near, TRUE);
  return g_string_free (out, FALSE);
}
