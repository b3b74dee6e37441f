#include "state/backend_delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state/codec.h"

#define RECORD_PROC ((xdrproc_t)xdr_pu_backend_record)

static uint64_t
record_hash (const pu_backend_record *b)
{
  GBytes *bytes = pu_codec_encode (RECORD_PROC, b);
  gsize size;
  gconstpointer data = g_bytes_get_data (bytes, &size);
  uint64_t hash = XXH3_64bits (data, size);

  g_bytes_unref (bytes);
  return hash;
}

bool
pu_backend_delta_matches (const pu_backend_delta *d,
                          const pu_backend_record *old)
{
  return d->base == record_hash (old);
}

/* --- applying a delta --- */

static bool
is_removed (const pu_backend_delta *d, u_int copy_index)
{
  for (u_int i = 0; i < d->gone.gone_len; i++)
    {
      if (d->gone.gone_val[i] == copy_index)
        return true;
    }
  return false;
}

static bool
indexes_are_valid (const pu_backend_delta *d, u_int n_copies)
{
  for (u_int i = 0; i < d->changed.changed_len; i++)
    {
      if (d->changed.changed_val[i].number >= n_copies)
        return false;
    }
  for (u_int i = 0; i < d->gone.gone_len; i++)
    {
      if (d->gone.gone_val[i] >= n_copies)
        return false;
    }
  return true;
}

/* Returns the list of copies that D makes of OLD's, and sets *LEN.  Only the
   list is new: its strings belong to OLD and D.  */
static pu_copy_record *
copies_apply (const pu_backend_delta *d, const pu_backend_record *old,
              u_int *len)
{
  u_int n = old->copies.copies_len;
  pu_copy_record *before = g_new0 (pu_copy_record, n + 1);
  pu_copy_record *after = g_new0 (pu_copy_record, n + d->added.added_len + 1);

  if (n > 0)
    memcpy (before, old->copies.copies_val, n * sizeof *before);
  for (u_int i = 0; i < d->changed.changed_len; i++)
    {
      const pu_copy_change *c = &d->changed.changed_val[i];

      before[c->number].memory_mb = c->memory_mb;
      before[c->number].phase = c->phase;
    }
  *len = 0;
  for (u_int i = 0; i < n; i++)
    {
      if (!is_removed (d, i))
        after[(*len)++] = before[i];
    }
  for (u_int i = 0; i < d->added.added_len; i++)
    after[(*len)++] = d->added.added_val[i];
  g_free (before);
  return after;
}

pu_backend_record *
pu_backend_delta_apply (const pu_backend_delta *d,
                        const pu_backend_record *old)
{
  pu_backend_record n = *old;
  pu_backend_record *result = NULL;

  if (!indexes_are_valid (d, old->copies.copies_len))
    return NULL;
  n.seq = d->seq;
  n.token = d->token;
  n.copies.copies_val = copies_apply (d, old, &n.copies.copies_len);
  if (n.copies.copies_len <= PU_LIST_MAX)
    result = pu_codec_clone (RECORD_PROC, &n, sizeof n);
  g_free (n.copies.copies_val);
  return result;
}

/* --- making a delta --- */

static bool
is_same_copy (const pu_copy_record *a, const pu_copy_record *b)
{
  return strcmp (a->model, b->model) == 0
         && strcmp (a->model_version, b->model_version) == 0;
}

static const pu_copy_record *
find_copy (const pu_backend_record *b, const pu_copy_record *c)
{
  for (u_int i = 0; i < b->copies.copies_len; i++)
    {
      if (is_same_copy (&b->copies.copies_val[i], c))
        return &b->copies.copies_val[i];
    }
  return NULL;
}

/* Fills D with the copies that differ between OLD and NEXT.  The caller must
   check that D gives NEXT: other differences are not in D.  */
static void
copies_diff (pu_backend_delta *d, const pu_backend_record *old,
             const pu_backend_record *next)
{
  for (u_int i = 0; i < old->copies.copies_len; i++)
    {
      const pu_copy_record *was = &old->copies.copies_val[i];
      const pu_copy_record *is = find_copy (next, was);

      if (is == NULL)
        {
          d->gone.gone_val[d->gone.gone_len++] = i;
        }
      else if (is->memory_mb != was->memory_mb || is->phase != was->phase)
        {
          d->changed.changed_val[d->changed.changed_len++]
              = (pu_copy_change){ i, is->memory_mb, is->phase };
        }
    }
  for (u_int i = 0; i < next->copies.copies_len; i++)
    {
      if (find_copy (old, &next->copies.copies_val[i]) == NULL)
        d->added.added_val[d->added.added_len++] = next->copies.copies_val[i];
    }
}

static bool
delta_gives (const pu_backend_delta *d, const pu_backend_record *old,
             const pu_backend_record *next)
{
  pu_backend_record *result = pu_backend_delta_apply (d, old);
  bool same = result != NULL && pu_codec_equal (RECORD_PROC, result, next);

  pu_codec_free (RECORD_PROC, result);
  return same;
}

GBytes *
pu_backend_delta_encode (const pu_backend_record *old,
                         const pu_backend_record *next)
{
  pu_command c = { .type = PU_COMMAND_BACKEND_DELTA };
  pu_backend_delta *d = &c.pu_command_u.backend_delta;
  u_int n = old->copies.copies_len;
  GBytes *bytes = NULL;

  d->name = next->name;
  d->base = record_hash (old);
  d->seq = next->seq;
  d->token = next->token;
  d->changed.changed_val = g_new0 (pu_copy_change, n + 1);
  d->gone.gone_val = g_new0 (u_int, n + 1);
  d->added.added_val = g_new0 (pu_copy_record, next->copies.copies_len + 1);
  copies_diff (d, old, next);
  /* A delta cannot express another order of the copies, or another address:
     the caller then sends the whole record.  */
  if (delta_gives (d, old, next))
    bytes = pu_command_encode (&c);
  g_free (d->changed.changed_val);
  g_free (d->gone.gone_val);
  g_free (d->added.added_val);
  return bytes;
}
