#include "log/journal_private.h"

#include <errno.h>
#include <fcntl.h>

/* Snapshots: written aside, and what they make useless removed.  */

typedef struct
{
  pu_journal_job_t base;
  pu_snapshot_t snapshot;
  uint64_t first_batch;
  uint64_t bytes;
  char *temporary;
  char *path;
  GPtrArray *old; /* paths to remove after */
} pu_save_job_t;

/* Segments that a snapshot at INDEX makes useless, from the oldest on.  The
   newest one stays: it may be open.  */
static void
drop_segments (pu_journal_t *j, uint64_t index, GPtrArray *old)
{
  while (j->segments->len > 1)
    {
      pu_segment_t *s = &g_array_index (j->segments, pu_segment_t, 0);

      if (!s->spent && s->last > index)
        return;
      g_ptr_array_add (old, pu_segment_path (j, s->number));
      g_array_remove_index (j->segments, 0);
    }
}

void
pu_journal_queue_snapshot (pu_journal_t *j, const pu_snapshot_t *s,
                           bool installed)
{
  pu_save_job_t *job = g_new0 (pu_save_job_t, 1);

  pu_journal_job_init (&job->base, j, PU_JOURNAL_SAVE);
  job->snapshot.index = s->index;
  job->snapshot.term = s->term;
  job->snapshot.data = g_bytes_ref (s->data);
  pu_log_config_copy (&job->snapshot.config, &s->config);
  if (installed)
    {
      g_ptr_array_set_size (j->gathered, 0);
      job->first_batch = j->next_batch;
      j->last_index = s->index;
      j->rotate = true;
      for (guint i = 0; i < j->segments->len; i++)
        g_array_index (j->segments, pu_segment_t, i).spent = true;
    }
  g_queue_push_tail (&j->saves, job);
}

static GBytes *
encode_snapshot (const pu_save_job_t *job)
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
  frame = pu_frame_new (PU_FRAME_SNAPSHOT, x.index, job->base.j->id, p, n);
  g_bytes_unref (payload);
  return frame;
}

static int
write_snapshot (pu_save_job_t *job, GBytes *frame)
{
  const pu_journal_fs_t *fs = job->base.j->fs;
  int fd = fs->open (fs->data, job->temporary, O_RDWR | O_CREAT);
  gsize n;
  const void *p = g_bytes_get_data (frame, &n);
  int rc = fd;

  job->bytes = n;
  if (rc >= 0)
    rc = fs->truncate (fs->data, fd, 0);
  if (rc >= 0)
    rc = pu_journal_write_all (fs, fd, p, n, 0);
  if (rc >= 0)
    rc = pu_journal_sync_result (fs->sync (fs->data, fd));
  if (fd >= 0)
    fs->close (fs->data, fd);
  if (rc >= 0)
    rc = fs->rename (fs->data, job->temporary, job->path);
  if (rc >= 0)
    {
      rc = pu_journal_sync_result (
          fs->sync_folder (fs->data, job->base.j->folder));
    }
  return rc;
}

void
pu_journal_save_run (pu_journal_job_t *base)
{
  pu_save_job_t *job = (pu_save_job_t *)base;
  const pu_journal_fs_t *fs = job->base.j->fs;
  GBytes *frame = encode_snapshot (job);

  job->base.rc = frame != NULL ? write_snapshot (job, frame) : -EFBIG;
  if (frame != NULL)
    g_bytes_unref (frame);
  for (guint i = 0; job->base.rc >= 0 && i < job->old->len; i++)
    fs->unlink (fs->data, g_ptr_array_index (job->old, i));
}

void
pu_journal_save_free (pu_journal_job_t *base)
{
  pu_save_job_t *job = (pu_save_job_t *)base;

  g_bytes_unref (job->snapshot.data);
  pu_log_config_clear (&job->snapshot.config);
  g_free (job->temporary);
  g_free (job->path);
  if (job->old != NULL)
    g_ptr_array_unref (job->old);
  g_free (job);
}

void
pu_journal_save_prepare (pu_journal_job_t *base)
{
  pu_save_job_t *job = (pu_save_job_t *)base;
  pu_journal_t *j = job->base.j;

  job->temporary = pu_journal_path (j, "new-snapshot");
  job->path = pu_snapshot_path (j, job->snapshot.index);
  job->old = g_ptr_array_new_with_free_func (g_free);
  drop_segments (j, job->snapshot.index, job->old);
  if (j->snapshot_index != 0 && j->snapshot_index != job->snapshot.index)
    g_ptr_array_add (job->old, pu_snapshot_path (j, j->snapshot_index));
}

void
pu_journal_save_finish (pu_journal_job_t *base)
{
  pu_save_job_t *job = (pu_save_job_t *)base;
  pu_journal_t *j = job->base.j;
  uint64_t index = job->snapshot.index;
  int rc = job->base.rc;

  j->saving = NULL;
  if (rc >= 0)
    {
      j->snapshot_index = index;
      j->snapshot_bytes = job->bytes;
    }
  pu_journal_save_free (base);
  if (rc < 0)
    {
      pu_journal_fail (j, "save a snapshot", rc);
    }
  else if (!j->failed && !j->stopped && j->o.saved != NULL)
    {
      j->o.saved (index, j->o.data);
    }
}
