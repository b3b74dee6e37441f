#include "routing/origin_records.h"

#include <string.h>
#include <xxhash.h>

#include "routing/origins.h"

#define MAGIC "puorig1\n"

enum
{
  MAGIC_BYTES = 8,
  /* Offsets of the fields of a record, in bytes.  */
  OFFSET_CHECKSUM = 0,
  OFFSET_KEY = 8,
  OFFSET_UNTIL = 16,
  OFFSET_LENGTH = 24, /* of the version, one byte */
  OFFSET_VERSION = 25,
  /* Size below which the file is not replaced, however few of its records are
     valid.  */
  REPLACE_MIN_BYTES = 65536,
  /* Bytes that wait for a slow disk.  Beyond them, the whole file is written
     from the table, which is bounded.  */
  PENDING_MAX_BYTES = 1048576,
};

struct pu_origin_records
{
  pu_origins_t *table;
  GByteArray *pending; /* to be written at the end of the file */
  bool changed;        /* since the last take */
  bool replace;        /* the next bytes are those of the whole file */
  size_t size;         /* of the file, as it was taken */
  size_t replace_at;   /* size at which the valid records are counted */
};

pu_origin_records_t *
pu_origin_records_new (void)
{
  pu_origin_records_t *r = g_new0 (pu_origin_records_t, 1);

  r->table = pu_origins_new (PU_ORIGIN_RECORDS_MAX);
  r->pending = g_byte_array_new ();
  r->replace = true;
  return r;
}

void
pu_origin_records_free (pu_origin_records_t *r)
{
  if (r == NULL)
    return;
  pu_origins_free (r->table);
  g_byte_array_unref (r->pending);
  g_free (r);
}

/* --- one record --- */

static void
put_le64 (guint8 *p, guint64 v)
{
  v = GUINT64_TO_LE (v);
  memcpy (p, &v, sizeof v);
}

static guint64
get_le64 (const guint8 *p)
{
  guint64 v;

  memcpy (&v, p, sizeof v);
  return GUINT64_FROM_LE (v);
}

static guint64
checksum (const guint8 *p, size_t n)
{
  return XXH3_64bits (p + OFFSET_KEY, n - OFFSET_KEY);
}

static void
record_append (GByteArray *out, guint64 key, const char *version,
               guint64 until)
{
  guint8 head[OFFSET_VERSION] = { 0 };
  size_t length = strlen (version);
  guint start = out->len;

  if (length > PU_ORIGIN_RECORD_VERSION_MAX)
    return;
  put_le64 (head + OFFSET_KEY, key);
  put_le64 (head + OFFSET_UNTIL, until);
  head[OFFSET_LENGTH] = (guint8)length;
  g_byte_array_append (out, head, OFFSET_VERSION);
  g_byte_array_append (out, (const guint8 *)version, (guint)length);
  put_le64 (out->data + start + OFFSET_CHECKSUM,
            checksum (out->data + start, OFFSET_VERSION + length));
}

/* Adds the record at the start of the N bytes at P.  Returns its size, or 0 if
   there is no whole record.  */
static size_t
record_load (pu_origin_records_t *r, const guint8 *p, size_t n, guint64 now)
{
  char version[PU_ORIGIN_RECORD_VERSION_MAX + 1];
  size_t length;

  if (n < OFFSET_VERSION)
    return 0;
  length = p[OFFSET_LENGTH];
  if (length > PU_ORIGIN_RECORD_VERSION_MAX || n < OFFSET_VERSION + length
      || get_le64 (p + OFFSET_CHECKSUM)
             != checksum (p, OFFSET_VERSION + length))
    return 0;
  memcpy (version, p + OFFSET_VERSION, length);
  version[length] = '\0';
  /* At time 0 no record of the table has ended: a key with two versions stays
     unknown even if the first record of it has ended.  A clock that was set
     back does not lengthen the life of a record.  */
  pu_origins_add (
      r->table, get_le64 (p + OFFSET_KEY), version,
      MIN (get_le64 (p + OFFSET_UNTIL), now + PU_ORIGIN_LIFE_MAX_MS), 0);
  return OFFSET_VERSION + length;
}

/* --- the file --- */

pu_origin_contents_t
pu_origin_records_load (pu_origin_records_t *r, const void *p, size_t n,
                        guint64 now)
{
  const guint8 *at = p;
  const guint8 *end = at + n;

  if (n == 0)
    return PU_ORIGIN_CONTENTS_WHOLE;
  if (memcmp (at, MAGIC, MIN (n, MAGIC_BYTES)) != 0)
    return PU_ORIGIN_CONTENTS_FOREIGN;
  if (n < MAGIC_BYTES)
    return PU_ORIGIN_CONTENTS_TORN;
  at += MAGIC_BYTES;
  while (at < end)
    {
      size_t size = record_load (r, at, (size_t)(end - at), now);

      if (size == 0)
        return PU_ORIGIN_CONTENTS_TORN;
      at += size;
    }
  return PU_ORIGIN_CONTENTS_WHOLE;
}

void
pu_origin_records_add (pu_origin_records_t *r, guint64 key,
                       const char *version, guint64 until, guint64 now)
{
  const char *known;

  pu_origins_add (r->table, key, version, until, now);
  known = pu_origins_find (r->table, key, now);
  if (known == NULL)
    return;
  r->changed = true;
  if (r->replace)
    return;
  record_append (r->pending, key, known, until);
  if (r->pending->len <= PENDING_MAX_BYTES)
    return;
  g_byte_array_set_size (r->pending, 0);
  r->replace = true;
}

static void
whole_append (guint64 key, const char *version, guint64 until, void *data)
{
  record_append (data, key, version, until);
}

static GBytes *
take_whole (pu_origin_records_t *r, GByteArray *all)
{
  g_byte_array_set_size (r->pending, 0);
  r->replace = false;
  r->size = all->len;
  r->replace_at = MAX (2 * r->size, REPLACE_MIN_BYTES);
  return g_byte_array_free_to_bytes (all);
}

static GByteArray *
encode_whole (const pu_origin_records_t *r, guint64 now)
{
  GByteArray *all = g_byte_array_new ();

  g_byte_array_append (all, (const guint8 *)MAGIC, MAGIC_BYTES);
  pu_origin_records_each (r, now, whole_append, all);
  return all;
}

GBytes *
pu_origin_records_take (pu_origin_records_t *r, guint64 now, bool *whole)
{
  GByteArray *all;
  GBytes *bytes;

  if (!r->changed)
    return NULL;
  r->changed = false;
  *whole = true;
  if (r->replace)
    return take_whole (r, encode_whole (r, now));
  if (r->size + r->pending->len >= r->replace_at)
    {
      all = encode_whole (r, now);
      if (r->size + r->pending->len >= 2 * (size_t)all->len)
        return take_whole (r, all);
      r->replace_at = 2 * (size_t)all->len;
      g_byte_array_unref (all);
    }
  *whole = false;
  if (r->pending->len == 0)
    return NULL;
  r->size += r->pending->len;
  bytes = g_byte_array_free_to_bytes (r->pending);
  r->pending = g_byte_array_new ();
  return bytes;
}

void
pu_origin_records_each (const pu_origin_records_t *r, guint64 now,
                        pu_origin_record_fn *fn, void *data)
{
  pu_origins_each (r->table, now, fn, data);
}
