#include "state/hunks.h"

#include <string.h>
#include <xxhash.h>

/* Bytes of a piece that is looked for: a hunk for it takes about twelve.  */
#define BLOCK 32

/* --- making --- */

typedef struct
{
  const char *old;
  gsize old_n;
  const char *next;
  gsize next_n;
  GHashTable *blocks; /* hash -> where in OLD, of each BLOCK of it, plus one */
  GString *out;
  gsize done; /* bytes of NEXT that are in OUT */
} make_t;

static gpointer
block_hash (const char *at)
{
  return GSIZE_TO_POINTER (XXH3_64bits (at, BLOCK));
}

static void
blocks_index (make_t *m)
{
  for (gsize at = 0; at + BLOCK <= m->old_n; at += BLOCK)
    {
      g_hash_table_insert (m->blocks, block_hash (m->old + at),
                           GSIZE_TO_POINTER (at + 1));
    }
}

static void
put_new (make_t *m, gsize to)
{
  if (to == m->done)
    return;
  g_string_append_printf (m->out, "+%zu\n", to - m->done);
  g_string_append_len (m->out, m->next + m->done, (gssize)(to - m->done));
  m->done = to;
}

/* Puts the whole piece around AT of NEXT and FROM of OLD, which are alike for
   a block.  */
static void
put_copy (make_t *m, gsize at, gsize from)
{
  gsize n = BLOCK;

  while (at > m->done && from > 0 && m->next[at - 1] == m->old[from - 1])
    {
      at--;
      from--;
      n++;
    }
  while (at + n < m->next_n && from + n < m->old_n
         && m->next[at + n] == m->old[from + n])
    n++;
  put_new (m, at);
  g_string_append_printf (m->out, "=%zu,%zu\n", from, n);
  m->done = at + n;
}

/* Where in OLD the block at AT of NEXT stands; false: nowhere known.  */
static bool
block_find (const make_t *m, gsize at, gsize *from)
{
  gpointer found = g_hash_table_lookup (m->blocks, block_hash (m->next + at));

  if (found == NULL)
    return false;
  *from = GPOINTER_TO_SIZE (found) - 1;
  return memcmp (m->old + *from, m->next + at, BLOCK) == 0;
}

char *
pu_hunks_make (const char *old, gsize old_n, const char *next, gsize n)
{
  make_t m = { .old = old, .old_n = old_n, .next = next, .next_n = n };
  gsize at = 0;

  m.out = g_string_new (NULL);
  m.blocks = g_hash_table_new (NULL, NULL);
  blocks_index (&m);
  while (at + BLOCK <= n)
    {
      gsize from;

      if (!block_find (&m, at, &from))
        {
          at++;
          continue;
        }
      put_copy (&m, at, from);
      at = m.done;
    }
  put_new (&m, n);
  g_hash_table_unref (m.blocks);
  return g_string_free (m.out, FALSE);
}

/* --- applying --- */

/* Reads a number that END follows, and steps over both.  */
static bool
read_number (const char **at, char end, gsize *value)
{
  guint64 v;
  char *stop;

  if (!g_ascii_isdigit (**at))
    return false;
  v = g_ascii_strtoull (*at, &stop, 10);
  if (*stop != end || v > G_MAXUINT32)
    return false;
  *value = v;
  *at = stop + 1;
  return true;
}

static bool
apply_copy (const char **at, const char *old, gsize old_n, GString *out)
{
  gsize from;
  gsize n;

  if (!read_number (at, ',', &from) || !read_number (at, '\n', &n)
      || from > old_n || n > old_n - from)
    return false;
  g_string_append_len (out, old + from, (gssize)n);
  return true;
}

static bool
apply_new (const char **at, const char *end, GString *out)
{
  gsize n;

  if (!read_number (at, '\n', &n) || n > (gsize)(end - *at))
    return false;
  g_string_append_len (out, *at, (gssize)n);
  *at += n;
  return true;
}

bool
pu_hunks_apply (const char *hunks, const char *old, gsize old_n, gsize most,
                GString *out)
{
  const char *end = hunks + strlen (hunks);
  gsize before = out->len;
  bool good = true;

  while (good && hunks < end)
    {
      char kind = *hunks++;

      if (kind == '=')
        {
          good = apply_copy (&hunks, old, old_n, out);
        }
      else
        {
          good = kind == '+' && apply_new (&hunks, end, out);
        }
      good = good && out->len - before <= most;
    }
  return good;
}
