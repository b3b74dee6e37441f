#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>

#include "base/log.h"

enum
{
  SEGMENT_BYTES = 8 * 1048576,
  FULL_PAUSE_MS = 100, /* until a full disk is tried again */
};

/* What one run of the thread pool writes: frames, then the record.  */
typedef struct pu_batch_job
{
  pu_journal_job_t base;
  GPtrArray *frames; /* GBytes */
  guint written;     /* frames that are on the disk */
  GBytes *meta;      /* or NULL */
  char *new_segment; /* or NULL: path of the segment to start */
  bool started;      /* that was done */
  int64_t at;
  uint64_t ticket;
  uint64_t bytes;
  uint32_t entries;
  uint64_t last; /* of the entries; 0: none */
  uint64_t took_us;
  uint32_t syncs;
  const char *failed_at;
} pu_batch_job_t;

void
pu_journal_options_init (pu_journal_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->segment_bytes = SEGMENT_BYTES;
}

void
pu_journal_fail (pu_journal_t *j, const char *what, int rc)
{
  if (j->failed || j->stopped)
    return;
  j->failed = true;
  pu_error_set (&j->error, PU_ERROR_IO, "cannot %s: %s", what,
                g_strerror (-rc));
  pu_log_warn ("journal",
               "The journal failed and takes no more writes; this voter "
               "neither acknowledges nor votes until it is restarted: %s.",
               j->error.message);
  if (j->o.failed != NULL)
    j->o.failed (&j->error, j->o.data);
}

/* Gathering.  */

void
pu_journal_queue_entries (pu_journal_t *j, uint64_t ticket,
                          const GPtrArray *entries, uint64_t commit)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const pu_record_t *n = g_ptr_array_index (entries, i);

      g_ptr_array_add (j->gathered, pu_record_ref (n));
      j->last_index = n->index;
    }
  j->commit = MAX (j->commit, commit);
  j->ticket = ticket;
}

void
pu_journal_queue_meta (pu_journal_t *j, uint64_t ticket, const pu_log_meta *m)
{
  j->meta.cluster = m->cluster;
  j->meta.term = m->term;
  j->meta.vote = m->vote;
  j->meta_gathered = true;
  j->ticket = ticket;
}

static pu_segment_t *
open_segment (const pu_journal_t *j)
{
  if (j->segments->len == 0 || j->rotate)
    return NULL;
  return &g_array_index (j->segments, pu_segment_t, j->segments->len - 1);
}

/* A batch.  */

static GBytes *
frame_of (pu_journal_t *j, guint first, guint n)
{
  pu_log_batch b = { 0 };
  pu_log_entry *x = g_new (pu_log_entry, MAX (n, 1));
  GBytes *payload;
  GBytes *frame;
  gsize len;
  const void *p;

  for (guint i = 0; i < n; i++)
    pu_record_to_xdr (g_ptr_array_index (j->gathered, first + i), &x[i]);
  b.commit = j->commit;
  b.entries.entries_len = n;
  b.entries.entries_val = x;
  payload = pu_xdr_encode ((xdrproc_t)xdr_pu_log_batch, &b);
  g_free (x);
  p = g_bytes_get_data (payload, &len);
  frame = pu_frame_new (PU_FRAME_BATCH, j->next_batch++, j->id, p, len);
  g_bytes_unref (payload);
  return frame;
}

static void
choose_segment (pu_journal_t *j, pu_batch_job_t *job, uint64_t number)
{
  pu_segment_t *seg = open_segment (j);
  pu_segment_t fresh = { .number = number };

  if (seg == NULL || seg->bytes >= j->o.segment_bytes)
    {
      job->new_segment = pu_segment_path (j, number);
      g_array_append_val (j->segments, fresh);
      j->rotate = false;
      seg = open_segment (j);
      j->meta.segment = number;
      j->meta_gathered = true;
    }
  job->at = (int64_t)seg->bytes;
  seg->last = MAX (seg->last, j->last_index);
  for (guint i = 0; i < j->gathered->len; i++)
    {
      const pu_record_t *n = g_ptr_array_index (j->gathered, i);

      seg->last = MAX (seg->last, n->index);
    }
}

static GBytes *
meta_frame (pu_journal_t *j)
{
  GBytes *payload;
  GBytes *frame;
  gsize len;
  const void *p;

  j->meta.saves++;
  /* Only what is committed cannot be dropped again.  */
  j->meta.floor = MAX (j->meta.floor, MIN (j->commit, j->durable));
  payload = pu_xdr_encode ((xdrproc_t)xdr_pu_log_meta, &j->meta);
  p = g_bytes_get_data (payload, &len);
  frame = pu_frame_new (PU_FRAME_META, j->meta.saves, j->id, p, len);
  g_bytes_unref (payload);
  return frame;
}

static pu_batch_job_t *
build_batch (pu_journal_t *j)
{
  pu_batch_job_t *job = g_new0 (pu_batch_job_t, 1);
  guint n = j->gathered->len;
  guint step = j->o.sync_each_entry ? 1 : MAX (n, 1);

  pu_journal_job_init (&job->base, j, PU_JOURNAL_BATCH);
  job->ticket = j->ticket;
  job->entries = n;
  job->frames = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (n > 0)
    {
      job->last = j->last_index;
      choose_segment (j, job, j->next_batch);
    }
  for (guint i = 0; i < n; i += step)
    {
      GBytes *f = frame_of (j, i, step);

      job->bytes += g_bytes_get_size (f);
      g_ptr_array_add (job->frames, f);
    }
  if (n > 0)
    open_segment (j)->bytes += job->bytes;
  if (j->meta_gathered)
    job->meta = meta_frame (j);
  j->meta_gathered = false;
  g_ptr_array_set_size (j->gathered, 0);
  return job;
}

static int
start_segment (pu_batch_job_t *job)
{
  pu_journal_t *j = job->base.j;
  int rc;

  if (j->segment_fd >= 0)
    j->fs->close (j->fs->data, j->segment_fd);
  j->segment_fd
      = j->fs->open (j->fs->data, job->new_segment, O_RDWR | O_CREAT);
  if (j->segment_fd < 0)
    return j->segment_fd;
  rc = j->fs->truncate (j->fs->data, j->segment_fd, 0);
  if (rc < 0)
    return rc;
  return pu_journal_sync_result (j->fs->sync_folder (j->fs->data, j->folder));
}

static int
write_frame (pu_batch_job_t *job, GBytes *frame)
{
  pu_journal_t *j = job->base.j;
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);
  int rc = pu_journal_write_all (j->fs, j->segment_fd, p, n, job->at);

  if (rc >= 0)
    rc = pu_journal_sync_result (j->fs->sync (j->fs->data, j->segment_fd));
  if (rc < 0)
    return rc;
  job->at += (int64_t)n;
  job->syncs++;
  job->written++;
  return 0;
}

/* Runs on the thread pool.  Goes on where the disk was full.  */
static void
run_batch (pu_batch_job_t *job)
{
  gint64 start = g_get_monotonic_time ();

  job->base.rc = 0;
  if (job->new_segment != NULL && !job->started)
    {
      job->failed_at = "start a segment of the log";
      job->base.rc = start_segment (job);
      job->started = job->base.rc >= 0;
    }
  while (job->base.rc >= 0 && job->written < job->frames->len)
    {
      job->failed_at = "write the log";
      job->base.rc
          = write_frame (job, g_ptr_array_index (job->frames, job->written));
    }
  if (job->base.rc >= 0 && job->meta != NULL)
    {
      job->failed_at = "write the term and the vote";
      job->base.rc = pu_journal_write_meta (job->base.j->fs,
                                            job->base.j->meta_fd, job->meta);
      job->syncs += PU_META_SLOTS;
    }
  job->took_us += (uint64_t)(g_get_monotonic_time () - start);
}

static void
free_batch (pu_batch_job_t *job)
{
  g_ptr_array_unref (job->frames);
  if (job->meta != NULL)
    g_bytes_unref (job->meta);
  g_free (job->new_segment);
  g_free (job);
}

static void
finish_batch (pu_batch_job_t *job)
{
  pu_journal_t *j = job->base.j;
  uint64_t ticket = job->ticket;
  int rc = job->base.rc;
  const char *failed_at = job->failed_at;

  j->running = NULL;
  j->stats.batches++;
  j->stats.syncs += job->syncs;
  j->stats.entries += job->entries;
  j->sync_us_total += job->took_us;
  if (rc >= 0 && job->last != 0)
    j->durable = job->last;
  free_batch (job);
  if (rc < 0)
    {
      pu_journal_fail (j, failed_at, rc);
    }
  else if (!j->failed && !j->stopped && j->o.synced != NULL)
    {
      j->o.synced (ticket, j->o.data);
    }
}

/* Running.  */

static bool
has_batch (const pu_journal_t *j)
{
  return j->gathered->len > 0 || j->meta_gathered;
}

static void
run_job (pu_journal_job_t *job)
{
  switch (job->kind)
    {
    case PU_JOURNAL_BATCH:
      run_batch ((pu_batch_job_t *)job);
      break;
    case PU_JOURNAL_SAVE:
      pu_journal_save_run (job);
      break;
    }
}

static void
finish_job (pu_journal_job_t *job)
{
  switch (job->kind)
    {
    case PU_JOURNAL_BATCH:
      finish_batch ((pu_batch_job_t *)job);
      break;
    case PU_JOURNAL_SAVE:
      pu_journal_save_finish (job);
      break;
    }
}

/* Whether JOB, which has run, is to be run again, as the disk had no room for
   it.  A voter that fell silent for good then would be lost for as long as its
   process runs, and three that were full one after the other would be the end
   of the log.  */
static bool
runs_again (pu_journal_job_t *job)
{
  bool full = pu_journal_is_full (job->rc);

  if (full && !job->again)
    {
      pu_log_warn ("journal", "The disk is full; this voter acknowledges "
                              "nothing until there is room.");
    }
  else if (job->rc >= 0 && job->again)
    {
      pu_log_note ("journal", "The disk has room again.");
    }
  job->again = full && !job->j->stopped;
  return job->again;
}

/* A job that found the disk full pauses here: its thread of the pool has
   nothing else to write.  */
static void
on_work (uv_work_t *w)
{
  pu_journal_job_t *job = w->data;

  if (job->again)
    uv_sleep (FULL_PAUSE_MS);
  run_job (job);
}

static void on_done (uv_work_t *w, int status);

static void
queue_job (pu_journal_job_t *job)
{
  uv_queue_work (job->j->o.loop, &job->work, on_work, on_done);
}

static void
on_done (uv_work_t *w, int status)
{
  pu_journal_job_t *job = w->data;
  pu_journal_t *j = job->j;

  (void)status;
  if (runs_again (job))
    {
      queue_job (job);
      return;
    }
  finish_job (job);
  pu_journal_start (j);
}

/* Makes the next save ready to run, and the next batch, where there is one and
   none is under way; true when it did.  */
static bool
next_save (pu_journal_t *j)
{
  if (j->saving != NULL || j->saves.length == 0)
    return false;
  j->saving = g_queue_pop_head (&j->saves);
  pu_journal_save_prepare (j->saving);
  return true;
}

static bool
next_batch (pu_journal_t *j)
{
  if (j->running != NULL || !has_batch (j))
    return false;
  j->running = &build_batch (j)->base;
  return true;
}

void
pu_journal_start (pu_journal_t *j)
{
  if (j->failed || j->stopped || j->o.loop == NULL)
    return;
  if (next_save (j))
    queue_job (j->saving);
  if (next_batch (j))
    queue_job (j->running);
}

/* Runs the job in SLOT here; false when the disk is full, and it stays there.
 */
static bool
flush_job (pu_journal_job_t **slot)
{
  pu_journal_job_t *job = g_steal_pointer (slot);

  run_job (job);
  if (runs_again (job))
    {
      *slot = job;
      return false;
    }
  finish_job (job);
  return true;
}

bool
pu_journal_flush (pu_journal_t *j, pu_error_t *e)
{
  bool room = true;
  bool more = true;

  while (room && more && !j->failed)
    {
      next_save (j);
      if (j->saving != NULL)
        room = flush_job (&j->saving);
      if (room && !j->failed)
        next_batch (j);
      if (room && !j->failed && j->running != NULL)
        room = flush_job (&j->running);
      more = j->saves.length > 0 || has_batch (j);
    }
  if (j->failed && e != NULL)
    *e = j->error;
  if (!room)
    return pu_error_set (e, PU_ERROR_IO, "the disk is full");
  return !j->failed;
}

void
pu_journal_stop (pu_journal_t *j)
{
  j->stopped = true;
}

bool
pu_journal_busy (const pu_journal_t *j)
{
  return j->running != NULL || j->saving != NULL;
}

bool
pu_journal_failed (const pu_journal_t *j)
{
  return j->failed;
}

/* Opening.  */

/* Opens the record, whose lock is the folder's.  */
static bool
open_meta (pu_journal_t *j, pu_error_t *e)
{
  char *path = pu_journal_path (j, "meta");
  int rc;

  j->meta_fd = j->fs->open (j->fs->data, path, O_RDWR | O_CREAT);
  rc = j->meta_fd;
  if (rc >= 0)
    rc = j->fs->lock (j->fs->data, j->meta_fd);
  if (rc == -EWOULDBLOCK)
    {
      pu_error_set (e, PU_ERROR_IO, "%s is in use by another process", path);
    }
  else if (rc < 0)
    {
      pu_error_set (e, PU_ERROR_IO, "cannot open %s: %s", path,
                    g_strerror (-rc));
    }
  g_free (path);
  return rc >= 0;
}

/* Writes the record again, see settle_tail, and opens the newest segment.  */
static bool
settle (pu_journal_t *j, pu_error_t *e)
{
  char *path;

  if (j->id != 0 && !pu_journal_create (j, j->id, e))
    return false;
  if (open_segment (j) == NULL)
    return true;
  path = pu_segment_path (j, open_segment (j)->number);
  j->segment_fd = j->fs->open (j->fs->data, path, O_RDWR);
  if (j->segment_fd < 0)
    {
      pu_error_set (e, PU_ERROR_IO, "cannot open %s: %s", path,
                    g_strerror (-j->segment_fd));
    }
  g_free (path);
  return j->segment_fd >= 0;
}

pu_journal_t *
pu_journal_open (const pu_journal_options_t *o, pu_disk_image_t *image,
                 pu_error_t *e)
{
  pu_journal_t *j = g_new0 (pu_journal_t, 1);
  int rc;

  j->o = *o;
  j->o.folder = NULL;
  j->folder = g_strdup (o->folder);
  j->fs = o->fs != NULL ? o->fs : pu_journal_fs_system ();
  j->meta_fd = -1;
  j->segment_fd = -1;
  j->segments = g_array_new (FALSE, TRUE, sizeof (pu_segment_t));
  j->gathered
      = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
  g_queue_init (&j->saves);
  rc = j->fs->mkdir (j->fs->data, j->folder);
  if (rc < 0)
    {
      pu_error_set (e, PU_ERROR_IO, "cannot make %s: %s", j->folder,
                    g_strerror (-rc));
    }
  if (rc < 0 || !open_meta (j, e) || !pu_journal_load (j, image, e)
      || !settle (j, e))
    {
      pu_journal_free (j);
      return NULL;
    }
  return j;
}

bool
pu_journal_create (pu_journal_t *j, uint64_t id, pu_error_t *e)
{
  GBytes *frame;
  int rc;

  j->id = id;
  j->meta.id = id;
  frame = meta_frame (j);
  rc = pu_journal_write_meta (j->fs, j->meta_fd, frame);
  g_bytes_unref (frame);
  if (rc >= 0)
    rc = j->fs->sync_folder (j->fs->data, j->folder);
  if (rc < 0)
    {
      return pu_error_set (e, PU_ERROR_IO, "cannot write to %s: %s", j->folder,
                           g_strerror (-rc));
    }
  return true;
}

static int
set_aside (const char *folder, const pu_journal_fs_t *fs, const char *name)
{
  char *from = g_build_filename (folder, name, NULL);
  char *to = g_strdup_printf ("%s/lost-%s", folder, name);
  int rc = fs->rename (fs->data, from, to);

  g_free (from);
  g_free (to);
  return rc;
}

bool
pu_journal_set_aside (const char *folder, const pu_journal_fs_t *fs,
                      pu_error_t *e)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  int rc;

  if (fs == NULL)
    fs = pu_journal_fs_system ();
  rc = fs->list (fs->data, folder, names);
  /* The record first: without it the rest is never taken for a voter.  */
  for (guint i = 0; rc >= 0 && i < names->len; i++)
    {
      if (strcmp (g_ptr_array_index (names, i), "meta") == 0)
        rc = set_aside (folder, fs, "meta");
    }
  for (guint i = 0; rc >= 0 && i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (strcmp (name, "meta") != 0 && !g_str_has_prefix (name, "lost-"))
        rc = set_aside (folder, fs, name);
    }
  g_ptr_array_unref (names);
  if (rc >= 0)
    rc = fs->sync_folder (fs->data, folder);
  if (rc < 0)
    {
      return pu_error_set (e, PU_ERROR_IO, "cannot set %s aside: %s", folder,
                           g_strerror (-rc));
    }
  return true;
}

bool
pu_journal_had_identity (const char *folder, const pu_journal_fs_t *fs)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  bool held = false;

  if (fs == NULL)
    fs = pu_journal_fs_system ();
  if (fs->list (fs->data, folder, names) >= 0)
    {
      for (guint i = 0; i < names->len; i++)
        {
          held = held
                 || g_str_has_prefix (g_ptr_array_index (names, i), "lost-");
        }
    }
  g_ptr_array_unref (names);
  return held;
}

void
pu_journal_free (pu_journal_t *j)
{
  if (j == NULL)
    return;
  /* Without a loop, a flush that found the disk full leaves its job.  */
  g_assert (j->o.loop == NULL || !pu_journal_busy (j));
  if (j->running != NULL)
    free_batch ((pu_batch_job_t *)j->running);
  if (j->saving != NULL)
    pu_journal_save_free (j->saving);
  if (j->meta_fd >= 0)
    j->fs->close (j->fs->data, j->meta_fd);
  if (j->segment_fd >= 0)
    j->fs->close (j->fs->data, j->segment_fd);
  g_queue_clear_full (&j->saves, (GDestroyNotify)pu_journal_save_free);
  g_ptr_array_unref (j->gathered);
  g_array_unref (j->segments);
  g_free (j->folder);
  g_free (j);
}

void
pu_journal_stats (const pu_journal_t *j, pu_journal_stats_t *s)
{
  *s = j->stats;
  s->segments = j->segments->len;
  s->bytes = j->snapshot_bytes;
  for (guint i = 0; i < j->segments->len; i++)
    s->bytes += g_array_index (j->segments, pu_segment_t, i).bytes;
  s->sync_us = j->stats.batches > 0 ? j->sync_us_total / j->stats.batches : 0;
}
