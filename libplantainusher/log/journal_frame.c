#include "log/journal_private.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Offsets of the fields in the frame header, in bytes.  */
  OFFSET_MAGIC = 0,
  OFFSET_LEN = 4,
  OFFSET_CHECKSUM = 8,
  OFFSET_NUMBER = 16,
  OFFSET_ID = 24,
  FRAME_ALIGN_BYTES = 8,
};

static size_t
padded_len (size_t n)
{
  return (n + FRAME_ALIGN_BYTES - 1) / FRAME_ALIGN_BYTES * FRAME_ALIGN_BYTES;
}

static void
put_le32 (uint8_t *p, uint32_t v)
{
  v = GUINT32_TO_LE (v);
  memcpy (p, &v, sizeof v);
}

static void
put_le64 (uint8_t *p, uint64_t v)
{
  v = GUINT64_TO_LE (v);
  memcpy (p, &v, sizeof v);
}

static uint32_t
get_le32 (const uint8_t *p)
{
  uint32_t v;

  memcpy (&v, p, sizeof v);
  return GUINT32_FROM_LE (v);
}

static uint64_t
get_le64 (const uint8_t *p)
{
  uint64_t v;

  memcpy (&v, p, sizeof v);
  return GUINT64_FROM_LE (v);
}

/* The checksum covers the length, as its seed, and all bytes after the
   checksum field except the padding.  */
static uint64_t
frame_checksum (const uint8_t *p, uint32_t len)
{
  return XXH3_64bits_withSeed (
      p + OFFSET_NUMBER, PU_FRAME_HEADER_BYTES - OFFSET_NUMBER + (size_t)len,
      len);
}

GBytes *
pu_frame_encode (pu_frame_magic_t magic, uint64_t number, uint64_t id,
                 const void *payload, size_t len)
{
  size_t size = PU_FRAME_HEADER_BYTES + padded_len (len);
  uint8_t *p = g_malloc0 (size);

  put_le32 (p + OFFSET_MAGIC, magic);
  put_le32 (p + OFFSET_LEN, (uint32_t)len);
  put_le64 (p + OFFSET_NUMBER, number);
  put_le64 (p + OFFSET_ID, id);
  if (len > 0)
    memcpy (p + PU_FRAME_HEADER_BYTES, payload, len);
  put_le64 (p + OFFSET_CHECKSUM, frame_checksum (p, (uint32_t)len));
  return g_bytes_new_take (p, size);
}

bool
pu_frame_decode (pu_frame_magic_t magic, const uint8_t *p, size_t n,
                 pu_frame_t *f)
{
  if (n < PU_FRAME_HEADER_BYTES || get_le32 (p + OFFSET_MAGIC) != magic)
    return false;
  f->len = get_le32 (p + OFFSET_LEN);
  f->size = PU_FRAME_HEADER_BYTES + padded_len (f->len);
  if (f->size > n
      || get_le64 (p + OFFSET_CHECKSUM) != frame_checksum (p, f->len))
    return false;
  f->number = get_le64 (p + OFFSET_NUMBER);
  f->id = get_le64 (p + OFFSET_ID);
  f->payload = p + PU_FRAME_HEADER_BYTES;
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
pu_journal_is_disk_full (int rc)
{
  return rc == -ENOSPC || rc == -EDQUOT;
}

int
pu_journal_map_sync_error (int rc)
{
  return pu_journal_is_disk_full (rc) ? -EIO : rc;
}

int
pu_journal_write_meta_slots (const pu_journal_fs_t *fs, int fd, GBytes *frame)
{
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);

  for (int slot = 0; slot < PU_META_SLOTS; slot++)
    {
      int64_t at = (int64_t)slot * PU_META_SLOT_BYTES;
      int rc = pu_journal_write_all (fs, fd, p, n, at);

      if (rc == 0)
        rc = pu_journal_map_sync_error (fs->sync (fs->data, fd));
      if (rc < 0)
        return rc;
    }
  return 0;
}
