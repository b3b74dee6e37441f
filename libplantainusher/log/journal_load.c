#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>

#include "base/log.h"

/*
 * Reading a folder back.
 *
 * A batch is written only after the one before it is synced.  So a batch that
 * does not check is a torn tail when no later batch stands anywhere behind it,
 * and damage to what was synced when one does.
 */

static bool
io_error (pu_error_t *e, const char *what, const char *path, int rc)
{
  return pu_error_set (e, PU_ERROR_IO, "cannot %s %s: %s", what, path,
                       g_strerror (-rc));
}

/* The voter's own record: the newest of two slots.  */

static void
read_slot (const uint8_t *p, size_t n, pu_log_meta *best)
{
  pu_log_meta m = { 0 };
  pu_frame_t f;

  if (!pu_frame_check (PU_FRAME_META, p, n, &f)
      || !pu_xdr_decode ((xdrproc_t)xdr_pu_log_meta, &m, f.payload, f.len))
    return;
  if (m.saves > best->saves)
    *best = m;
}

static bool
load_meta (pu_journal_t *j, bool others, pu_error_t *e)
{
  char *path = pu_journal_path (j, "meta");
  GBytes *b = NULL;
  int rc = j->fs->read (j->fs->data, path, &b);
  bool ok = true;

  if (rc < 0)
    {
      ok = io_error (e, "read", path, rc);
    }
  else
    {
      gsize n;
      const uint8_t *p = g_bytes_get_data (b, &n);

      for (size_t at = 0; at < n; at += PU_META_SLOT_BYTES)
        read_slot (p + at, MIN (n - at, PU_META_SLOT_BYTES), &j->meta);
      g_bytes_unref (b);
      if (j->meta.id == 0 && others)
        ok = pu_error_set (e, PU_ERROR_CORRUPT, "%s is damaged", path);
    }
  j->id = j->meta.id;
  g_free (path);
  return ok;
}

/* The snapshot: the newest there is, whole or the folder is damaged.  */
static bool
load_snapshot (pu_journal_t *j, uint64_t index, pu_snapshot_t *s,
               uint64_t *first_batch, pu_error_t *e)
{
  char *path = pu_snapshot_path (j, index);
  pu_log_snapshot x = { 0 };
  pu_frame_t f;
  GBytes *b = NULL;
  int rc = j->fs->read (j->fs->data, path, &b);
  gsize n = 0;
  const uint8_t *p = rc == 0 ? g_bytes_get_data (b, &n) : NULL;
  bool ok = rc == 0 && pu_frame_check (PU_FRAME_SNAPSHOT, p, n, &f)
            && f.id == j->id && f.number == index
            && pu_xdr_decode ((xdrproc_t)xdr_pu_log_snapshot, &x, f.payload,
                              f.len);

  if (ok)
    {
      s->index = x.index;
      s->term = x.term;
      s->config = x.config;
      s->data = g_bytes_new (x.data.data_val, x.data.data_len);
      *first_batch = x.first_batch;
      j->snapshot_index = index;
      j->snapshot_bytes = n;
      free (x.data.data_val);
    }
  else if (rc < 0)
    {
      io_error (e, "read", path, rc);
    }
  else
    {
      pu_error_set (e, PU_ERROR_CORRUPT, "%s is damaged", path);
    }
  if (b != NULL)
    g_bytes_unref (b);
  g_free (path);
  return ok;
}

/* Where a segment's whole batches end, and where the last of them starts.  */
typedef struct
{
  size_t valid;
  size_t last;
} pu_tail_t;

/* Entries.  */

static bool
take_entry (const pu_log_entry *x, pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t base = image->snapshot.index;
  uint64_t last = base + image->entries->len;

  if (x->index > last + 1)
    {
      return pu_error_set (e, PU_ERROR_CORRUPT,
                           "the log has a gap before entry %" G_GUINT64_FORMAT,
                           (guint64)x->index);
    }
  if (x->index <= last)
    {
      uint64_t keep = MAX (x->index - 1, base) - base;

      g_ptr_array_set_size (image->entries, (gint)keep);
    }
  if (x->index > base)
    g_ptr_array_add (image->entries, pu_record_from_xdr (x));
  return true;
}

static bool
take_batch (const pu_frame_t *f, pu_segment_t *seg, pu_disk_image_t *image,
            pu_error_t *e)
{
  pu_log_batch b = { 0 };
  bool ok = true;

  if (!pu_xdr_decode ((xdrproc_t)xdr_pu_log_batch, &b, f->payload, f->len))
    return pu_error_set (e, PU_ERROR_CORRUPT, "a batch is malformed");
  for (guint i = 0; ok && i < b.entries.entries_len; i++)
    {
      seg->last = MAX (seg->last, b.entries.entries_val[i].index);
      ok = take_entry (&b.entries.entries_val[i], image, e);
    }
  image->commit = MAX (image->commit, b.commit);
  xdr_free ((xdrproc_t)xdr_pu_log_batch, (char *)&b);
  return ok;
}

/* Whether any batch later than NUMBER stands in P.  */
static bool
later_batch (const uint8_t *p, size_t n, uint64_t number)
{
  pu_frame_t f;

  for (size_t at = 0; at + PU_FRAME_HEADER <= n; at += sizeof (uint64_t))
    {
      if (pu_frame_check (PU_FRAME_BATCH, p + at, n - at, &f)
          && f.number > number)
        return true;
    }
  return false;
}

/* Cuts what is torn off the newest segment, and writes its last batch again:
   it may stand in the page cache alone, and only a write after which a sync
   succeeds proves that it is on the disk.  */
static bool
settle_tail (pu_journal_t *j, const char *path, const uint8_t *p, size_t n,
             const pu_tail_t *t, pu_error_t *e)
{
  int fd = j->fs->open (j->fs->data, path, O_RDWR);
  int rc = fd;

  if (rc >= 0 && t->valid < n)
    rc = j->fs->truncate (j->fs->data, fd, (int64_t)t->valid);
  if (rc >= 0 && t->valid > t->last)
    {
      rc = pu_journal_write_all (j->fs, fd, p + t->last, t->valid - t->last,
                                 (int64_t)t->last);
    }
  if (rc >= 0)
    rc = j->fs->sync (j->fs->data, fd);
  if (fd >= 0)
    j->fs->close (j->fs->data, fd);
  if (rc < 0)
    return io_error (e, "settle", path, rc);
  if (t->valid == n)
    return true;
  j->stats.cut += n - t->valid;
  pu_log_note ("journal", "Cut a torn tail of %zu bytes.", n - t->valid);
  return true;
}

/* Reads segment I.  Only the last may end in a torn batch.  */
static bool
read_segment (pu_journal_t *j, guint i, const uint8_t *p, size_t n,
              uint64_t first_batch, pu_disk_image_t *image, pu_tail_t *t,
              pu_error_t *e)
{
  pu_segment_t *seg = &g_array_index (j->segments, pu_segment_t, i);
  size_t at = 0;
  pu_frame_t f;

  if (i > 0 && seg->number != j->next_batch && seg->number != first_batch)
    return pu_error_set (e, PU_ERROR_CORRUPT, "a segment is missing");
  j->next_batch = seg->number;
  while (at < n && pu_frame_check (PU_FRAME_BATCH, p + at, n - at, &f)
         && f.number == j->next_batch && f.id == j->id)
    {
      seg->spent = f.number < first_batch;
      if (!seg->spent && !take_batch (&f, seg, image, e))
        return false;
      t->last = at;
      at += f.size;
      j->next_batch++;
    }
  t->valid = at;
  seg->bytes = at;
  if (at < n
      && (i + 1 < j->segments->len
          || later_batch (p + at, n - at, j->next_batch)))
    {
      return pu_error_set (e, PU_ERROR_CORRUPT,
                           "batch %" G_GUINT64_FORMAT " is damaged",
                           j->next_batch);
    }
  return true;
}

static bool
load_segment (pu_journal_t *j, guint i, uint64_t first_batch,
              pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t number = g_array_index (j->segments, pu_segment_t, i).number;
  char *path = pu_segment_path (j, number);
  GBytes *b = NULL;
  int rc = j->fs->read (j->fs->data, path, &b);
  const uint8_t *p;
  pu_tail_t t = { 0 };
  gsize n;
  bool ok;

  if (rc < 0)
    {
      io_error (e, "read", path, rc);
      g_free (path);
      return false;
    }
  p = g_bytes_get_data (b, &n);
  ok = read_segment (j, i, p, n, first_batch, image, &t, e);
  if (ok && i + 1 == j->segments->len)
    ok = settle_tail (j, path, p, n, &t, e);
  g_bytes_unref (b);
  g_free (path);
  return ok;
}

/* The folder.  */

static gint
by_number (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const pu_segment_t *)a)->number;
  uint64_t y = ((const pu_segment_t *)b)->number;

  return x < y ? -1 : x > y;
}

/* Snapshots that a crash kept from being removed.  */
static void
remove_older (pu_journal_t *j, uint64_t index)
{
  char *path;

  if (index == 0)
    return;
  path = pu_snapshot_path (j, index);
  j->fs->unlink (j->fs->data, path);
  g_free (path);
}

static bool
list_folder (pu_journal_t *j, uint64_t *snapshot, bool *others, pu_error_t *e)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  int rc = j->fs->list (j->fs->data, j->folder, names);

  for (guint i = 0; rc >= 0 && i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      pu_segment_t seg = { 0 };

      if (g_str_has_prefix (name, "log-"))
        {
          seg.number = g_ascii_strtoull (name + strlen ("log-"), NULL, 10);
          g_array_append_val (j->segments, seg);
          *others = true;
        }
      if (g_str_has_prefix (name, "snap-"))
        {
          uint64_t index
              = g_ascii_strtoull (name + strlen ("snap-"), NULL, 10);

          remove_older (j, MIN (*snapshot, index));
          *snapshot = MAX (*snapshot, index);
          *others = true;
        }
    }
  g_ptr_array_unref (names);
  g_array_sort (j->segments, by_number);
  return rc < 0 ? io_error (e, "list", j->folder, rc) : true;
}

static bool
check_reach (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t last = image->snapshot.index + image->entries->len;

  image->commit = MIN (MAX (image->commit, image->snapshot.index), last);
  if (last < j->meta.floor)
    {
      return pu_error_set (e, PU_ERROR_CORRUPT,
                           "the log ends at %" G_GUINT64_FORMAT
                           ", but reached %" G_GUINT64_FORMAT,
                           last, (guint64)j->meta.floor);
    }
  if (j->meta.segment >= j->next_batch)
    return pu_error_set (e, PU_ERROR_CORRUPT, "the newest segment is missing");
  j->last_index = last;
  j->commit = image->commit;
  j->durable = last;
  image->meta = j->meta;
  return true;
}

bool
pu_journal_load (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t snapshot = 0;
  uint64_t first_batch = 0;
  bool others = false;

  if (!list_folder (j, &snapshot, &others, e) || !load_meta (j, others, e))
    return false;
  if (snapshot != 0
      && !load_snapshot (j, snapshot, &image->snapshot, &first_batch, e))
    return false;
  image->commit = image->snapshot.index;
  j->next_batch = MAX (first_batch, 1);
  for (guint i = 0; i < j->segments->len; i++)
    {
      if (!load_segment (j, i, first_batch, image, e))
        return false;
    }
  /* A batch voided by a snapshot may be missing at the end: start anew.  */
  j->rotate = j->next_batch < first_batch;
  j->next_batch = MAX (j->next_batch, first_batch);
  return check_reach (j, image, e);
}
