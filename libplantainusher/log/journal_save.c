#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>

/* Snapshot jobs: write a snapshot to a temporary file, rename it, and remove
   the files that it makes obsolete.  */

typedef struct
{
  pu_journal_job_t base;
  pu_snapshot_t snapshot;
  uint64_t first_batch; /* batches with a lower number are void; 0: no batch is
                           void */
  uint64_t bytes;
  char *temporary_path;
  char *path;
  GPtrArray *obsolete_paths; /* char *, removed after the snapshot is synced */
} pu_snapshot_job_t;

/* Removes from J->segments, starting with the oldest, the segments that a
   snapshot at INDEX covers, and adds their paths to PATHS.  The newest segment
   stays, because it may be open.  */
static void
detach_obsolete_segments (pu_journal_t *j, uint64_t index, GPtrArray *paths)
{
  while (j->segments->len > 1)
    {
      pu_segment_t *s = &g_array_index (j->segments, pu_segment_t, 0);

      if (!s->superseded && s->last_index > index)
        return;
      g_ptr_array_add (paths, pu_segment_path (j, s->start_batch));
      g_array_remove_index (j->segments, 0);
    }
}

void
pu_journal_queue_snapshot (pu_journal_t *j, const pu_snapshot_t *s,
                           bool installed)
{
  pu_snapshot_job_t *job = g_new0 (pu_snapshot_job_t, 1);

  pu_journal_job_init (&job->base, j, PU_JOURNAL_JOB_SNAPSHOT);
  job->snapshot.index = s->index;
  job->snapshot.term = s->term;
  job->snapshot.data = g_bytes_ref (s->data);
  pu_log_config_copy (&job->snapshot.config, &s->config);
  if (installed)
    {
      g_ptr_array_set_size (j->queued_entries, 0);
      job->first_batch = j->next_batch;
      j->last_index = s->index;
      j->rotate = true;
      for (guint i = 0; i < j->segments->len; i++)
        g_array_index (j->segments, pu_segment_t, i).superseded = true;
    }
  g_queue_push_tail (&j->snapshot_queue, job);
}

static GBytes *
encode_snapshot (const pu_snapshot_job_t *job)
{
  pu_log_snapshot x = { 0 };
  gsize n;
  GBytes *payload;
  GBytes *frame;
  const void *p = g_bytes_get_data (job->snapshot.data, &n);

  x.index = job->snapshot.index;
  x.term = job->snapshot.term;
  x.first_batch = job->first_batch;
  x.config = job->snapshot.config;
  x.data.data_val = (char *)p;
  x.data.data_len = (u_int)n;
  payload = pu_xdr_encode ((xdrproc_t)xdr_pu_log_snapshot, &x);
  if (payload == NULL)
    return NULL;
  p = g_bytes_get_data (payload, &n);
  frame = pu_frame_encode (PU_FRAME_SNAPSHOT, x.index, job->base.j->id, p, n);
  g_bytes_unref (payload);
  return frame;
}

static int
write_snapshot (pu_snapshot_job_t *job, GBytes *frame)
{
  const pu_journal_fs_t *fs = job->base.j->fs;
  int fd = fs->open (fs->data, job->temporary_path, O_RDWR | O_CREAT);
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);
  int rc = fd;

  job->bytes = n;
  if (rc >= 0)
    rc = fs->truncate (fs->data, fd, 0);
  if (rc >= 0)
    rc = pu_journal_write_all (fs, fd, p, n, 0);
  if (rc >= 0)
    rc = pu_journal_map_sync_error (fs->sync (fs->data, fd));
  if (fd >= 0)
    fs->close (fs->data, fd);
  if (rc >= 0)
    rc = fs->rename (fs->data, job->temporary_path, job->path);
  if (rc >= 0)
    {
      rc = pu_journal_map_sync_error (
          fs->sync_folder (fs->data, job->base.j->folder));
    }
  return rc;
}

void
pu_snapshot_job_run (pu_journal_job_t *base)
{
  pu_snapshot_job_t *job = (pu_snapshot_job_t *)base;
  const pu_journal_fs_t *fs = job->base.j->fs;
  GBytes *frame = encode_snapshot (job);

  job->base.rc = frame != NULL ? write_snapshot (job, frame) : -EFBIG;
  if (frame != NULL)
    g_bytes_unref (frame);
  for (guint i = 0; job->base.rc >= 0 && i < job->obsolete_paths->len; i++)
    fs->unlink (fs->data, g_ptr_array_index (job->obsolete_paths, i));
}

void
pu_snapshot_job_free (pu_journal_job_t *base)
{
  pu_snapshot_job_t *job = (pu_snapshot_job_t *)base;

  g_bytes_unref (job->snapshot.data);
  pu_log_config_clear (&job->snapshot.config);
  g_free (job->temporary_path);
  g_free (job->path);
  if (job->obsolete_paths != NULL)
    g_ptr_array_unref (job->obsolete_paths);
  g_free (job);
}

void
pu_snapshot_job_prepare (pu_journal_job_t *base)
{
  pu_snapshot_job_t *job = (pu_snapshot_job_t *)base;
  pu_journal_t *j = job->base.j;

  job->temporary_path = pu_journal_path (j, "new-snapshot");
  job->path = pu_snapshot_path (j, job->snapshot.index);
  job->obsolete_paths = g_ptr_array_new_with_free_func (g_free);
  detach_obsolete_segments (j, job->snapshot.index, job->obsolete_paths);
  if (j->snapshot_index != 0 && j->snapshot_index != job->snapshot.index)
    {
      g_ptr_array_add (job->obsolete_paths,
                       pu_snapshot_path (j, j->snapshot_index));
    }
}

void
pu_snapshot_job_finish (pu_journal_job_t *base)
{
  pu_snapshot_job_t *job = (pu_snapshot_job_t *)base;
  pu_journal_t *j = job->base.j;
  uint64_t index = job->snapshot.index;
  int rc = job->base.rc;

  j->snapshot_job = NULL;
  if (rc >= 0)
    {
      j->snapshot_index = index;
      j->snapshot_bytes = job->bytes;
    }
  pu_snapshot_job_free (base);
  if (rc < 0)
    {
      pu_journal_fail (j, "save a snapshot", rc);
    }
  else if (!j->failed && !j->stopped && j->o.saved != NULL)
    {
      j->o.saved (index, j->o.data);
    }
}
