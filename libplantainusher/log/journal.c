#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>

#include "base/log.h"

enum
{
  DEFAULT_SEGMENT_BYTES = 8 * 1048576,
  DISK_FULL_RETRY_MS = 100,
  SLOW_WRITE_MS = 500,
  US_PER_MS = 1000,
};

/* A job that writes the queued entries and metadata on the thread pool: first
   the frames with entries, then the metadata.  */
typedef struct pu_batch_job
{
  pu_journal_job_t base;
  GPtrArray *frames;      /* GBytes */
  guint frames_written;   /* number of frames written and synced; a retry
                             continues after them */
  GBytes *meta_frame;     /* NULL: the metadata is not written */
  char *new_segment_path; /* path of the segment to create, or NULL: the
                             current segment is continued */
  bool segment_created;
  int64_t offset; /* offset of the next frame in the segment */
  uint64_t ticket;
  uint64_t bytes;
  uint32_t entries;
  uint64_t last_index; /* last entry's index; 0: the batch has no entries */
  gint64 queued_at;    /* monotonic time in us */
  uint64_t waiting_us; /* from then until a thread of the pool was free */
  uint64_t elapsed_us;
  uint32_t syncs;
  const char *operation; /* the current operation, for the error message */
} pu_batch_job_t;

void
pu_journal_options_init (pu_journal_options_t *o)
{
  memset (o, 0, sizeof *o);
  o->segment_bytes = DEFAULT_SEGMENT_BYTES;
}

void
pu_journal_fail (pu_journal_t *j, const char *operation, int rc)
{
  if (j->failed || j->stopped)
    return;
  j->failed = true;
  pu_error_set (&j->error, PU_ERROR_IO, "cannot %s: %s", operation,
                g_strerror (-rc));
  pu_log_warn ("journal",
               "The journal failed and takes no more writes; this voter "
               "neither acknowledges nor votes until it is restarted: %s.",
               j->error.message);
  if (j->o.failed != NULL)
    j->o.failed (&j->error, j->o.data);
}

/* Queueing of entries and metadata for the next batch.  */

void
pu_journal_queue_entries (pu_journal_t *j, uint64_t ticket,
                          const GPtrArray *entries, uint64_t commit)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const pu_record_t *n = g_ptr_array_index (entries, i);

      g_ptr_array_add (j->queued_entries, pu_record_ref (n));
      j->last_index = n->index;
    }
  j->commit_index = MAX (j->commit_index, commit);
  j->pending_ticket = ticket;
}

void
pu_journal_queue_meta (pu_journal_t *j, uint64_t ticket, const pu_log_meta *m)
{
  j->meta.cluster = m->cluster;
  j->meta.term = m->term;
  j->meta.vote = m->vote;
  j->meta_pending = true;
  j->pending_ticket = ticket;
}

static pu_segment_t *
current_segment (const pu_journal_t *j)
{
  if (j->segments->len == 0 || j->rotate)
    return NULL;
  return &g_array_index (j->segments, pu_segment_t, j->segments->len - 1);
}

/* Building, running and finishing of batch jobs.  */

static GBytes *
encode_batch (pu_journal_t *j, guint first, guint n)
{
  pu_log_batch b = { 0 };
  pu_log_entry *x = g_new (pu_log_entry, MAX (n, 1));
  GBytes *payload;
  GBytes *frame;
  gsize len;
  const void *p;

  for (guint i = 0; i < n; i++)
    {
      pu_record_to_xdr (g_ptr_array_index (j->queued_entries, first + i),
                        &x[i]);
    }
  b.commit = j->commit_index;
  b.entries.entries_len = n;
  b.entries.entries_val = x;
  payload = pu_xdr_encode ((xdrproc_t)xdr_pu_log_batch, &b);
  g_free (x);
  p = g_bytes_get_data (payload, &len);
  frame = pu_frame_encode (PU_FRAME_BATCH, j->next_batch++, j->id, p, len);
  g_bytes_unref (payload);
  return frame;
}

static void
assign_segment (pu_journal_t *j, pu_batch_job_t *job, uint64_t number)
{
  pu_segment_t *seg = current_segment (j);
  pu_segment_t fresh = { .start_batch = number };

  if (seg == NULL || seg->bytes >= j->o.segment_bytes)
    {
      job->new_segment_path = pu_segment_path (j, number);
      g_array_append_val (j->segments, fresh);
      j->rotate = false;
      seg = current_segment (j);
      j->meta.segment = number;
      j->meta_pending = true;
    }
  job->offset = (int64_t)seg->bytes;
  seg->last_index = MAX (seg->last_index, j->last_index);
  for (guint i = 0; i < j->queued_entries->len; i++)
    {
      const pu_record_t *n = g_ptr_array_index (j->queued_entries, i);

      seg->last_index = MAX (seg->last_index, n->index);
    }
}

static GBytes *
encode_meta (pu_journal_t *j)
{
  GBytes *payload;
  GBytes *frame;
  gsize len;
  const void *p;

  j->meta.saves++;
  /* The floor, up to which entries must exist after a restart, covers only
     committed entries, because any other entry may still be dropped from the
     log.  */
  j->meta.floor = MAX (j->meta.floor, MIN (j->commit_index, j->durable_index));
  payload = pu_xdr_encode ((xdrproc_t)xdr_pu_log_meta, &j->meta);
  p = g_bytes_get_data (payload, &len);
  frame = pu_frame_encode (PU_FRAME_META, j->meta.saves, j->id, p, len);
  g_bytes_unref (payload);
  return frame;
}

static pu_batch_job_t *
new_batch_job (pu_journal_t *j)
{
  pu_batch_job_t *job = g_new0 (pu_batch_job_t, 1);
  guint n = j->queued_entries->len;
  guint step = j->o.sync_each_entry ? 1 : MAX (n, 1);

  pu_journal_job_init (&job->base, j, PU_JOURNAL_JOB_BATCH);
  job->queued_at = g_get_monotonic_time ();
  job->ticket = j->pending_ticket;
  job->entries = n;
  job->frames = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (n > 0)
    {
      job->last_index = j->last_index;
      assign_segment (j, job, j->next_batch);
    }
  for (guint i = 0; i < n; i += step)
    {
      GBytes *f = encode_batch (j, i, step);

      job->bytes += g_bytes_get_size (f);
      g_ptr_array_add (job->frames, f);
    }
  if (n > 0)
    current_segment (j)->bytes += job->bytes;
  if (j->meta_pending)
    job->meta_frame = encode_meta (j);
  j->meta_pending = false;
  g_ptr_array_set_size (j->queued_entries, 0);
  return job;
}

static int
create_segment (pu_batch_job_t *job)
{
  pu_journal_t *j = job->base.j;
  int rc;

  if (j->segment_fd >= 0)
    j->fs->close (j->fs->data, j->segment_fd);
  j->segment_fd
      = j->fs->open (j->fs->data, job->new_segment_path, O_RDWR | O_CREAT);
  if (j->segment_fd < 0)
    return j->segment_fd;
  rc = j->fs->truncate (j->fs->data, j->segment_fd, 0);
  if (rc < 0)
    return rc;
  return pu_journal_map_sync_error (
      j->fs->sync_folder (j->fs->data, j->folder));
}

static int
write_frame (pu_batch_job_t *job, GBytes *frame)
{
  pu_journal_t *j = job->base.j;
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);
  int rc = pu_journal_write_all (j->fs, j->segment_fd, p, n, job->offset);

  if (rc >= 0)
    rc = pu_journal_map_sync_error (j->fs->sync (j->fs->data, j->segment_fd));
  if (rc < 0)
    return rc;
  job->offset += (int64_t)n;
  job->syncs++;
  job->frames_written++;
  return 0;
}

/* Writes the frames and metadata of JOB, on the thread pool or, in
   pu_journal_flush, on the calling thread.  A retry after a full disk
   continues with the frame that failed.  */
static void
run_batch_job (pu_batch_job_t *job)
{
  gint64 start = g_get_monotonic_time ();

  if (!job->base.retry)
    job->waiting_us = (uint64_t)(start - job->queued_at);
  job->base.rc = 0;
  if (job->new_segment_path != NULL && !job->segment_created)
    {
      job->operation = "create a log segment";
      job->base.rc = create_segment (job);
      job->segment_created = job->base.rc >= 0;
    }
  while (job->base.rc >= 0 && job->frames_written < job->frames->len)
    {
      job->operation = "write to the log segment";
      job->base.rc = write_frame (
          job, g_ptr_array_index (job->frames, job->frames_written));
    }
  if (job->base.rc >= 0 && job->meta_frame != NULL)
    {
      job->operation = "write the metadata with term and vote";
      job->base.rc = pu_journal_write_meta_slots (
          job->base.j->fs, job->base.j->meta_fd, job->meta_frame);
      job->syncs += PU_META_SLOTS;
    }
  job->elapsed_us += (uint64_t)(g_get_monotonic_time () - start);
}

static void
free_batch_job (pu_batch_job_t *job)
{
  g_ptr_array_unref (job->frames);
  if (job->meta_frame != NULL)
    g_bytes_unref (job->meta_frame);
  g_free (job->new_segment_path);
  g_free (job);
}

/* Nothing is acknowledged during a write, so a slow one delays commits.  At
   most one batch is in flight, which bounds the lines.  */
static void
log_slow_write (const pu_batch_job_t *job)
{
  uint64_t waiting_ms = job->waiting_us / US_PER_MS;
  uint64_t elapsed_ms = job->elapsed_us / US_PER_MS;

  if (waiting_ms + elapsed_ms < SLOW_WRITE_MS)
    return;
  pu_log_note ("journal",
               "Writing a batch of %u entries took %" G_GUINT64_FORMAT
               " ms, after %" G_GUINT64_FORMAT
               " ms of waiting for a thread of the pool.",
               job->entries, elapsed_ms, waiting_ms);
}

static void
finish_batch_job (pu_batch_job_t *job)
{
  pu_journal_t *j = job->base.j;
  uint64_t ticket = job->ticket;
  int rc = job->base.rc;
  const char *operation = job->operation;

  log_slow_write (job);
  j->batch_job = NULL;
  j->stats.batches++;
  j->stats.syncs += job->syncs;
  j->stats.entries += job->entries;
  j->sync_us_total += job->elapsed_us;
  if (rc >= 0 && job->last_index != 0)
    j->durable_index = job->last_index;
  free_batch_job (job);
  if (rc < 0)
    {
      pu_journal_fail (j, operation, rc);
    }
  else if (!j->failed && !j->stopped && j->o.synced != NULL)
    {
      j->o.synced (ticket, j->o.data);
    }
}

/* Running of batch and snapshot jobs.  */

static bool
has_pending_batch (const pu_journal_t *j)
{
  return j->queued_entries->len > 0 || j->meta_pending;
}

static void
run_job (pu_journal_job_t *job)
{
  switch (job->kind)
    {
    case PU_JOURNAL_JOB_BATCH:
      run_batch_job ((pu_batch_job_t *)job);
      break;
    case PU_JOURNAL_JOB_SNAPSHOT:
      pu_snapshot_job_run (job);
      break;
    }
}

static void
finish_job (pu_journal_job_t *job)
{
  switch (job->kind)
    {
    case PU_JOURNAL_JOB_BATCH:
      finish_batch_job ((pu_batch_job_t *)job);
      break;
    case PU_JOURNAL_JOB_SNAPSHOT:
      pu_snapshot_job_finish (job);
      break;
    }
}

/* Returns whether JOB, which has run, must run again because the disk was
   full.  If a full disk failed the journal permanently, the voter would be
   lost for as long as its process runs, and three voters whose disks were
   full one after the other would leave the log without a leader.  */
static bool
needs_retry (pu_journal_job_t *job)
{
  bool full = pu_journal_is_disk_full (job->rc);

  if (full && !job->retry)
    {
      pu_log_warn ("journal", "The disk is full; this voter acknowledges "
                              "nothing until there is room.");
    }
  else if (job->rc >= 0 && job->retry)
    {
      pu_log_note ("journal",
                   "The disk has free space again; writes have resumed.");
    }
  job->retry = full && !job->j->stopped;
  return job->retry;
}

/* Runs a job on a thread of the pool.  The wait before a retry may block this
   thread, which has nothing else to write.  */
static void
on_work (uv_work_t *w)
{
  pu_journal_job_t *job = w->data;

  if (job->retry)
    uv_sleep (DISK_FULL_RETRY_MS);
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
  if (needs_retry (job))
    {
      queue_job (job);
      return;
    }
  finish_job (job);
  pu_journal_start (j);
}

/* take_snapshot_job and take_batch_job make the next job of their kind
   ready to run.  They return false when no such job is queued or one is
   in flight.  */
static bool
take_snapshot_job (pu_journal_t *j)
{
  if (j->snapshot_job != NULL || j->snapshot_queue.length == 0)
    return false;
  j->snapshot_job = g_queue_pop_head (&j->snapshot_queue);
  pu_snapshot_job_prepare (j->snapshot_job);
  return true;
}

static bool
take_batch_job (pu_journal_t *j)
{
  if (j->batch_job != NULL || !has_pending_batch (j))
    return false;
  j->batch_job = &new_batch_job (j)->base;
  return true;
}

void
pu_journal_start (pu_journal_t *j)
{
  if (j->failed || j->stopped || j->o.loop == NULL)
    return;
  if (take_snapshot_job (j))
    queue_job (j->snapshot_job);
  if (take_batch_job (j))
    queue_job (j->batch_job);
}

/* Runs the job in SLOT on the calling thread.  Returns false when the disk is
   full; the job then stays in SLOT.  */
static bool
run_job_now (pu_journal_job_t **slot)
{
  pu_journal_job_t *job = g_steal_pointer (slot);

  run_job (job);
  if (needs_retry (job))
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
      take_snapshot_job (j);
      if (j->snapshot_job != NULL)
        room = run_job_now (&j->snapshot_job);
      if (room && !j->failed)
        take_batch_job (j);
      if (room && !j->failed && j->batch_job != NULL)
        room = run_job_now (&j->batch_job);
      more = j->snapshot_queue.length > 0 || has_pending_batch (j);
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
  return j->batch_job != NULL || j->snapshot_job != NULL;
}

bool
pu_journal_failed (const pu_journal_t *j)
{
  return j->failed;
}

/* Opening, creating, setting aside and freeing of a journal.  */

/* Opens the metadata file and locks it.  The lock keeps other processes from
   using the folder.  */
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

/* Opens the newest segment for writing, and writes the metadata again: it may
   exist in the page cache only, and a sync proves that it is on the disk only
   if it follows a write (see rewrite_tail in journal_load.c).  */
static bool
reopen_for_writing (pu_journal_t *j, pu_error_t *e)
{
  char *path;

  if (j->id != 0 && !pu_journal_create (j, j->id, e))
    return false;
  if (current_segment (j) == NULL)
    return true;
  path = pu_segment_path (j, current_segment (j)->start_batch);
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
  j->queued_entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);
  g_queue_init (&j->snapshot_queue);
  rc = j->fs->mkdir (j->fs->data, j->folder);
  if (rc < 0)
    {
      pu_error_set (e, PU_ERROR_IO, "cannot create folder %s: %s", j->folder,
                    g_strerror (-rc));
    }
  if (rc < 0 || !open_meta (j, e) || !pu_journal_load (j, image, e)
      || !reopen_for_writing (j, e))
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
  frame = encode_meta (j);
  rc = pu_journal_write_meta_slots (j->fs, j->meta_fd, frame);
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
  /* Set the metadata aside first: without it, the other files are never taken
     for the log of a voter.  */
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
      return pu_error_set (e, PU_ERROR_IO,
                           "cannot set aside the files of %s: %s", folder,
                           g_strerror (-rc));
    }
  return true;
}

bool
pu_journal_had_identity (const char *folder, const pu_journal_fs_t *fs)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  bool found = false;

  if (fs == NULL)
    fs = pu_journal_fs_system ();
  if (fs->list (fs->data, folder, names) >= 0)
    {
      for (guint i = 0; i < names->len; i++)
        {
          found = found
                  || g_str_has_prefix (g_ptr_array_index (names, i), "lost-");
        }
    }
  g_ptr_array_unref (names);
  return found;
}

void
pu_journal_free (pu_journal_t *j)
{
  if (j == NULL)
    return;
  /* Without a loop, a flush that found the disk full leaves its job in
     batch_job or snapshot_job.  */
  g_assert (j->o.loop == NULL || !pu_journal_busy (j));
  if (j->batch_job != NULL)
    free_batch_job ((pu_batch_job_t *)j->batch_job);
  if (j->snapshot_job != NULL)
    pu_snapshot_job_free (j->snapshot_job);
  if (j->meta_fd >= 0)
    j->fs->close (j->fs->data, j->meta_fd);
  if (j->segment_fd >= 0)
    j->fs->close (j->fs->data, j->segment_fd);
  g_queue_clear_full (&j->snapshot_queue,
                      (GDestroyNotify)pu_snapshot_job_free);
  g_ptr_array_unref (j->queued_entries);
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
