#include "log/journal_private.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum
{
  AT_MAGIC = 0,
  AT_LEN = 4,
  AT_HASH = 8,
  AT_NUMBER = 16,
  AT_ID = 24,
  ALIGN = 8,
};

static size_t
padded (size_t n)
{
  return (n + ALIGN - 1) / ALIGN * ALIGN;
}

static void
put32 (uint8_t *p, uint32_t v)
{
  v = GUINT32_TO_LE (v);
  memcpy (p, &v, sizeof v);
}

static void
put64 (uint8_t *p, uint64_t v)
{
  v = GUINT64_TO_LE (v);
  memcpy (p, &v, sizeof v);
}

static uint32_t
get32 (const uint8_t *p)
{
  uint32_t v;

  memcpy (&v, p, sizeof v);
  return GUINT32_FROM_LE (v);
}

static uint64_t
get64 (const uint8_t *p)
{
  uint64_t v;

  memcpy (&v, p, sizeof v);
  return GUINT64_FROM_LE (v);
}

/* The checksum covers the length and all that follows the checksum.  */
static uint64_t
hash_frame (const uint8_t *p, uint32_t len)
{
  return XXH3_64bits_withSeed (p + AT_NUMBER,
                               PU_FRAME_HEADER - AT_NUMBER + (size_t)len, len);
}

GBytes *
pu_frame_new (pu_frame_magic_t magic, uint64_t number, uint64_t id,
              const void *payload, size_t len)
{
  size_t size = PU_FRAME_HEADER + padded (len);
  uint8_t *p = g_malloc0 (size);

  put32 (p + AT_MAGIC, magic);
  put32 (p + AT_LEN, (uint32_t)len);
  put64 (p + AT_NUMBER, number);
  put64 (p + AT_ID, id);
  if (len > 0)
    memcpy (p + PU_FRAME_HEADER, payload, len);
  put64 (p + AT_HASH, hash_frame (p, (uint32_t)len));
  return g_bytes_new_take (p, size);
}

bool
pu_frame_check (pu_frame_magic_t magic, const uint8_t *p, size_t n,
                pu_frame_t *f)
{
  if (n < PU_FRAME_HEADER || get32 (p + AT_MAGIC) != magic)
    return false;
  f->len = get32 (p + AT_LEN);
  f->size = PU_FRAME_HEADER + padded (f->len);
  if (f->size > n || get64 (p + AT_HASH) != hash_frame (p, f->len))
    return false;
  f->number = get64 (p + AT_NUMBER);
  f->id = get64 (p + AT_ID);
  f->payload = p + PU_FRAME_HEADER;
  return true;
}

char *
pu_journal_path (const pu_journal_t *j, const char *name)
{
  return g_build_filename (j->folder, name, NULL);
}

char *
pu_segment_path (const pu_journal_t *j, uint64_t number)
{
  return g_strdup_printf ("%s/log-%020" G_GUINT64_FORMAT, j->folder, number);
}

char *
pu_snapshot_path (const pu_journal_t *j, uint64_t index)
{
  return g_strdup_printf ("%s/snap-%020" G_GUINT64_FORMAT, j->folder, index);
}

int
pu_journal_write_all (const pu_journal_fs_t *fs, int fd, const void *p,
                      size_t n, int64_t at)
{
  const uint8_t *b = p;

  while (n > 0)
    {
      int64_t done = fs->write (fs->data, fd, b, n, at);

      if (done < 0)
        return (int)done;
      if (done == 0)
        return -EIO;
      b += done;
      n -= (size_t)done;
      at += done;
    }
  return 0;
}

bool
pu_journal_is_full (int rc)
{
  return rc == -ENOSPC || rc == -EDQUOT;
}

int
pu_journal_sync_result (int rc)
{
  return pu_journal_is_full (rc) ? -EIO : rc;
}

int
pu_journal_write_meta (const pu_journal_fs_t *fs, int fd, GBytes *frame)
{
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);

  for (int slot = 0; slot < PU_META_SLOTS; slot++)
    {
      int64_t at = (int64_t)slot * PU_META_SLOT_BYTES;
      int rc = pu_journal_write_all (fs, fd, p, n, at);

      if (rc == 0)
        rc = pu_journal_sync_result (fs->sync (fs->data, fd));
      if (rc < 0)
        return rc;
    }
  return 0;
}
