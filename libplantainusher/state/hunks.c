#include "state/hunks.h"

#include <string.h>
#include <xxhash.h>

/* Length of the blocks by which common runs are found.  The hunk that copies
   one takes about twelve bytes.  */
#define BLOCK_BYTES 32

/* Where no block is found for long, the target is looked at in longer steps,
   so that a new text costs little.  Steps are odd: 32 of them meet each offset
   in a block, so that a common run of 16 blocks and more is found.  */
#define MISSES_PER_STEP 256
#define STEP_MAX 15

/* --- diff --- */

typedef struct
{
  const char *base;
  gsize base_len;
  const char *target;
  gsize target_len;
  GHashTable *blocks; /* hash of each block of BASE -> its offset, plus one */
  GString *out;
  gsize encoded; /* bytes of TARGET whose hunks are in OUT */
} diff_t;

static gpointer
block_hash (const char *at)
{
  return GSIZE_TO_POINTER (XXH3_64bits (at, BLOCK_BYTES));
}

static void
blocks_index (diff_t *d)
{
  for (gsize at = 0; at + BLOCK_BYTES <= d->base_len; at += BLOCK_BYTES)
    {
      g_hash_table_insert (d->blocks, block_hash (d->base + at),
                           GSIZE_TO_POINTER (at + 1));
    }
}

/* Emits a hunk that inserts the bytes of the target before END that are not
   encoded yet, if any.  */
static void
insert_emit (diff_t *d, gsize end)
{
  if (end == d->encoded)
    return;
  g_string_append_printf (d->out, "+%zu\n", end - d->encoded);
  g_string_append_len (d->out, d->target + d->encoded,
                       (gssize)(end - d->encoded));
  d->encoded = end;
}

/* Emits a copy of the longest common run around the equal blocks at AT in the
   target and FROM in the base.  First emits an insert of the bytes of the
   target before the run that are not encoded yet.  */
static void
copy_emit (diff_t *d, gsize at, gsize from)
{
  gsize n = BLOCK_BYTES;

  while (at > d->encoded && from > 0 && d->target[at - 1] == d->base[from - 1])
    {
      at--;
      from--;
      n++;
    }
  while (at + n < d->target_len && from + n < d->base_len
         && d->target[at + n] == d->base[from + n])
    n++;
  insert_emit (d, at);
  g_string_append_printf (d->out, "=%zu,%zu\n", from, n);
  d->encoded = at + n;
}

/* Looks up the block at AT of the target among the blocks of the base, and
   sets *FROM to its offset there.  False when it is not found.  */
static bool
block_find (const diff_t *d, gsize at, gsize *from)
{
  gpointer found
      = g_hash_table_lookup (d->blocks, block_hash (d->target + at));

  if (found == NULL)
    return false;
  *from = GPOINTER_TO_SIZE (found) - 1;
  return memcmp (d->base + *from, d->target + at, BLOCK_BYTES) == 0;
}

static gsize
step_after (gsize misses)
{
  return MIN (1 + 2 * (misses / MISSES_PER_STEP), STEP_MAX);
}

char *
pu_hunks_diff (const char *base, gsize base_len, const char *target,
               gsize target_len)
{
  diff_t d = { .base = base,
               .base_len = base_len,
               .target = target,
               .target_len = target_len };
  gsize at = 0;
  gsize misses = 0;

  d.out = g_string_new (NULL);
  d.blocks = g_hash_table_new (NULL, NULL);
  blocks_index (&d);
  while (base_len >= BLOCK_BYTES && at + BLOCK_BYTES <= target_len)
    {
      gsize from;

      if (!block_find (&d, at, &from))
        {
          at += step_after (misses++);
          continue;
        }
      misses = 0;
      copy_emit (&d, at, from);
      at = d.encoded;
    }
  insert_emit (&d, target_len);
  g_hash_table_unref (d.blocks);
  return g_string_free (d.out, FALSE);
}

/* --- apply --- */

/* Parses the number at *AT, which END must follow, and moves *AT past
   END.  */
static bool
number_parse (const char **at, char end, gsize *value)
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
copy_apply (const char **at, const char *base, gsize base_len, GString *out)
{
  gsize from;
  gsize n;

  if (!number_parse (at, ',', &from) || !number_parse (at, '\n', &n)
      || from > base_len || n > base_len - from)
    return false;
  g_string_append_len (out, base + from, (gssize)n);
  return true;
}

static bool
insert_apply (const char **at, const char *end, GString *out)
{
  gsize n;

  if (!number_parse (at, '\n', &n) || n > (gsize)(end - *at))
    return false;
  g_string_append_len (out, *at, (gssize)n);
  *at += n;
  return true;
}

bool
pu_hunks_apply (const char *hunks, const char *base, gsize base_len,
                gsize max_len, GString *out)
{
  const char *end = hunks + strlen (hunks);
  gsize before = out->len;
  bool ok = true;

  while (ok && hunks < end)
    {
      char kind = *hunks++;

      if (kind == '=')
        {
          ok = copy_apply (&hunks, base, base_len, out);
        }
      else
        {
          ok = kind == '+' && insert_apply (&hunks, end, out);
        }
      ok = ok && out->len - before <= max_len;
    }
  return ok;
}
