#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>

#include "base/log.h"

/*
 * Recovery: reads the files of a folder when the journal is opened.
 *
 * A batch is written only after the batch before it is synced.  So an invalid
 * batch is a torn write when no later batch follows it anywhere in the
 * segment; if a later batch follows it, synced data is damaged.
 */

static bool
io_error (pu_error_t *e, const char *operation, const char *path, int rc)
{
  return pu_error_set (e, PU_ERROR_IO, "cannot %s %s: %s", operation, path,
                       g_strerror (-rc));
}

/* Decodes a slot of the metadata and stores it in BEST if it is valid and
   newer than BEST.  */
static void
load_meta_slot (const uint8_t *p, size_t n, pu_log_meta *best)
{
  pu_log_meta m = { 0 };
  pu_frame_t f;

  if (!pu_frame_decode (PU_FRAME_META, p, n, &f)
      || !pu_xdr_decode ((xdrproc_t)xdr_pu_log_meta, &m, f.payload, f.len))
    return;
  if (m.saves > best->saves)
    *best = m;
}

static bool
load_meta (pu_journal_t *j, bool has_log_files, pu_error_t *e)
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
        load_meta_slot (p + at, MIN (n - at, PU_META_SLOT_BYTES), &j->meta);
      g_bytes_unref (b);
      if (j->meta.id == 0 && has_log_files)
        ok = pu_error_set (e, PU_ERROR_CORRUPT, "%s is damaged", path);
    }
  j->id = j->meta.id;
  g_free (path);
  return ok;
}

/* Loads the newest snapshot.  The file was synced before its rename, so an
   invalid file means that the folder is damaged.  */
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
  bool ok = rc == 0 && pu_frame_decode (PU_FRAME_SNAPSHOT, p, n, &f)
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

/* The valid part of a segment.  */
typedef struct
{
  size_t valid_bytes;       /* bytes up to the end of the last valid batch */
  size_t last_batch_offset; /* offset of the last valid batch */
} pu_segment_extent_t;

/* Replay of entries.  */

/* Appends X to the entries of IMAGE.  If IMAGE already has an entry at the
   index of X, X replaces it and all entries after it are dropped.  */
static bool
replay_entry (const pu_log_entry *x, pu_disk_image_t *image, pu_error_t *e)
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
replay_batch (const pu_frame_t *f, pu_segment_t *seg, pu_disk_image_t *image,
              pu_error_t *e)
{
  pu_log_batch b = { 0 };
  bool ok = true;

  if (!pu_xdr_decode ((xdrproc_t)xdr_pu_log_batch, &b, f->payload, f->len))
    return pu_error_set (e, PU_ERROR_CORRUPT, "a batch is malformed");
  for (guint i = 0; ok && i < b.entries.entries_len; i++)
    {
      seg->last_index = MAX (seg->last_index, b.entries.entries_val[i].index);
      ok = replay_entry (&b.entries.entries_val[i], image, e);
    }
  image->commit = MAX (image->commit, b.commit);
  xdr_free ((xdrproc_t)xdr_pu_log_batch, (char *)&b);
  return ok;
}

/* Returns whether the N bytes at P hold a valid batch with a number above
   NUMBER, at any aligned offset.  */
static bool
has_later_batch (const uint8_t *p, size_t n, uint64_t number)
{
  pu_frame_t f;

  for (size_t at = 0; at + PU_FRAME_HEADER_BYTES <= n; at += sizeof (uint64_t))
    {
      if (pu_frame_decode (PU_FRAME_BATCH, p + at, n - at, &f)
          && f.number > number)
        return true;
    }
  return false;
}

/* Truncates the newest segment after its last valid batch and writes that
   batch again, because the batch may exist in the page cache only: a sync
   proves that the batch is on the disk only if the sync follows a write.  */
static bool
rewrite_tail (pu_journal_t *j, const char *path, const uint8_t *p, size_t n,
              const pu_segment_extent_t *t, pu_error_t *e)
{
  int fd = j->fs->open (j->fs->data, path, O_RDWR);
  int rc = fd;

  if (rc >= 0 && t->valid_bytes < n)
    rc = j->fs->truncate (j->fs->data, fd, (int64_t)t->valid_bytes);
  if (rc >= 0 && t->valid_bytes > t->last_batch_offset)
    {
      rc = pu_journal_write_all (j->fs, fd, p + t->last_batch_offset,
                                 t->valid_bytes - t->last_batch_offset,
                                 (int64_t)t->last_batch_offset);
    }
  if (rc >= 0)
    rc = j->fs->sync (j->fs->data, fd);
  if (fd >= 0)
    j->fs->close (j->fs->data, fd);
  if (rc < 0)
    return io_error (e, "settle", path, rc);
  if (t->valid_bytes == n)
    return true;
  j->stats.torn_bytes += n - t->valid_bytes;
  pu_log_note ("journal", "Truncated a torn tail of %zu bytes.",
               n - t->valid_bytes);
  return true;
}

/* Replays the batches of segment I from the N bytes at P into IMAGE, except
   those that an installed snapshot replaced (numbers below FIRST_BATCH).  Only
   the last segment may end in a torn batch.  */
static bool
read_segment (pu_journal_t *j, guint i, const uint8_t *p, size_t n,
              uint64_t first_batch, pu_disk_image_t *image,
              pu_segment_extent_t *t, pu_error_t *e)
{
  pu_segment_t *seg = &g_array_index (j->segments, pu_segment_t, i);
  size_t at = 0;
  pu_frame_t f;

  if (i > 0 && seg->start_batch != j->next_batch
      && seg->start_batch != first_batch)
    return pu_error_set (e, PU_ERROR_CORRUPT, "a segment is missing");
  j->next_batch = seg->start_batch;
  while (at < n && pu_frame_decode (PU_FRAME_BATCH, p + at, n - at, &f)
         && f.number == j->next_batch && f.id == j->id)
    {
      seg->superseded = f.number < first_batch;
      if (!seg->superseded && !replay_batch (&f, seg, image, e))
        return false;
      t->last_batch_offset = at;
      at += f.size;
      j->next_batch++;
    }
  t->valid_bytes = at;
  seg->bytes = at;
  if (at < n
      && (i + 1 < j->segments->len
          || has_later_batch (p + at, n - at, j->next_batch)))
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
  uint64_t number = g_array_index (j->segments, pu_segment_t, i).start_batch;
  char *path = pu_segment_path (j, number);
  GBytes *b = NULL;
  int rc = j->fs->read (j->fs->data, path, &b);
  const uint8_t *p;
  pu_segment_extent_t t = { 0 };
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
    ok = rewrite_tail (j, path, p, n, &t, e);
  g_bytes_unref (b);
  g_free (path);
  return ok;
}

/* Listing and loading of the whole folder.  */

static gint
compare_segments (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const pu_segment_t *)a)->start_batch;
  uint64_t y = ((const pu_segment_t *)b)->start_batch;

  return x < y ? -1 : x > y;
}

/* Removes the snapshot at INDEX, which is older than another one and was left
   behind by a crash.  Does nothing if INDEX is 0.  */
static void
remove_snapshot (pu_journal_t *j, uint64_t index)
{
  char *path;

  if (index == 0)
    return;
  path = pu_snapshot_path (j, index);
  j->fs->unlink (j->fs->data, path);
  g_free (path);
}

static bool
list_folder (pu_journal_t *j, uint64_t *snapshot, bool *has_log_files,
             pu_error_t *e)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  int rc = j->fs->list (j->fs->data, j->folder, names);

  for (guint i = 0; rc >= 0 && i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      pu_segment_t seg = { 0 };

      if (g_str_has_prefix (name, "log-"))
        {
          seg.start_batch
              = g_ascii_strtoull (name + strlen ("log-"), NULL, 10);
          g_array_append_val (j->segments, seg);
          *has_log_files = true;
        }
      if (g_str_has_prefix (name, "snap-"))
        {
          uint64_t index
              = g_ascii_strtoull (name + strlen ("snap-"), NULL, 10);

          remove_snapshot (j, MIN (*snapshot, index));
          *snapshot = MAX (*snapshot, index);
          *has_log_files = true;
        }
    }
  g_ptr_array_unref (names);
  g_array_sort (j->segments, compare_segments);
  return rc < 0 ? io_error (e, "list", j->folder, rc) : true;
}

/* Checks that the log reaches at least the durable floor and the newest
   segment that the metadata names.  */
static bool
check_log_end (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t last = image->snapshot.index + image->entries->len;

  image->commit = MIN (MAX (image->commit, image->snapshot.index), last);
  if (last < j->meta.floor)
    {
      return pu_error_set (e, PU_ERROR_CORRUPT,
                           "the log ends at entry %" G_GUINT64_FORMAT
                           ", but had committed entry %" G_GUINT64_FORMAT,
                           last, (guint64)j->meta.floor);
    }
  if (j->meta.segment >= j->next_batch)
    return pu_error_set (e, PU_ERROR_CORRUPT, "the newest segment is missing");
  j->last_index = last;
  j->commit_index = image->commit;
  j->durable_index = last;
  image->meta = j->meta;
  return true;
}

bool
pu_journal_load (pu_journal_t *j, pu_disk_image_t *image, pu_error_t *e)
{
  uint64_t snapshot = 0;
  uint64_t first_batch = 0;
  bool has_log_files = false;

  if (!list_folder (j, &snapshot, &has_log_files, e)
      || !load_meta (j, has_log_files, e))
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
  /* Batches that an installed snapshot replaced may be missing at the end of
     the log: in that case the next batch starts a new segment.  */
  j->rotate = j->next_batch < first_batch;
  j->next_batch = MAX (j->next_batch, first_batch);
  return check_log_end (j, image, e);
}
