#include "daemon/origin_file.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>

#include "base/log.h"
#include "routing/origin_records.h"
#include "routing/origins.h"

#define PART "origins"
#define FILE_NAME "origins"

enum
{
  /* No file of this release is larger.  */
  LOAD_MAX_BYTES = 8 * 1048576,
  US_PER_MS = 1000,
};

/* One write; it goes on without its file.  */
typedef struct
{
  uv_work_t req;
  pu_origin_file_t *file; /* NULL once the file was freed */
  const pu_journal_fs_t *fs;
  char *folder;
  char *path;
  char *new_path; /* of the contents that replace the file */
  int fd;         /* open for writing; -1: none */
  gint64 offset;
  GBytes *bytes;
  bool whole; /* BYTES replace the file */
  int rc;
  int unlink_rc;         /* of the file, after a failure */
  const char *operation; /* the current one, for the log line */
} write_t;

struct pu_origin_file
{
  uv_loop_t *loop;
  uv_timer_t *timer; /* until the next write */
  const pu_journal_fs_t *fs;
  pu_counters_t *counters;
  char *folder;
  char *path;
  pu_origin_records_t *records;
  write_t *write; /* under way, or NULL */
  int fd;         /* of the file, for the next write; -1: none */
  gint64 size;
  bool failed;
};

static guint64
wall_ms (void)
{
  return (guint64)(g_get_real_time () / US_PER_MS);
}

static void
count (const pu_origin_file_t *f, const char *name, guint64 n)
{
  if (f->counters != NULL)
    {
      pu_counters_add (f->counters, pu_counters_get (f->counters, name),
                       (gint64)n);
    }
}

static void
file_fail (pu_origin_file_t *f, const char *operation, int rc)
{
  f->failed = true;
  pu_log_warn (PART,
               "The file with origins of streams is no longer used, as it is "
               "not possible to %s: %s.",
               operation, g_strerror (-rc));
}

/* --- writing, on the thread pool --- */

static int
write_bytes (write_t *w)
{
  gsize n;
  const guint8 *p = g_bytes_get_data (w->bytes, &n);

  w->operation = "write to it";
  while (n > 0)
    {
      gint64 done = w->fs->write (w->fs->data, w->fd, p, n, w->offset);

      if (done <= 0)
        return done < 0 ? (int)done : -EIO;
      p += done;
      n -= (gsize)done;
      w->offset += done;
    }
  w->operation = "sync it";
  return w->fs->sync (w->fs->data, w->fd);
}

/* Replaces the file by one with the bytes of W.  */
static int
write_whole (write_t *w)
{
  int rc;

  if (w->fd >= 0)
    w->fs->close (w->fs->data, w->fd);
  w->offset = 0;
  w->operation = "create it";
  w->fd = w->fs->open (w->fs->data, w->new_path, O_RDWR | O_CREAT | O_TRUNC);
  if (w->fd < 0)
    return w->fd;
  rc = write_bytes (w);
  if (rc < 0)
    return rc;
  w->operation = "rename it";
  rc = w->fs->rename (w->fs->data, w->new_path, w->path);
  return rc < 0 ? rc : w->fs->sync_folder (w->fs->data, w->folder);
}

static void
on_write (uv_work_t *req)
{
  write_t *w = req->data;

  w->rc = w->whole ? write_whole (w) : write_bytes (w);
  if (w->rc >= 0)
    return;
  /* The records that the file lacks could be those that make an origin
     unknown.  */
  w->unlink_rc = w->fs->unlink (w->fs->data, w->path);
  w->fs->unlink (w->fs->data, w->new_path);
  /* An open file keeps its place on a disk that may be full.  */
  if (w->fd >= 0)
    w->fs->close (w->fs->data, w->fd);
  w->fd = -1;
}

/* --- on the loop --- */

static void
write_free (write_t *w)
{
  g_bytes_unref (w->bytes);
  g_free (w->folder);
  g_free (w->path);
  g_free (w->new_path);
  g_free (w);
}

static void on_written (uv_work_t *req, int status);

static void
on_flush (uv_timer_t *timer)
{
  pu_origin_file_t *f = timer->data;
  bool whole = false;
  GBytes *bytes = pu_origin_records_take (f->records, wall_ms (), &whole);
  write_t *w;

  if (bytes == NULL)
    return;
  w = g_new0 (write_t, 1);
  w->req.data = w;
  w->file = f;
  w->fs = f->fs;
  w->folder = g_strdup (f->folder);
  w->path = g_strdup (f->path);
  w->new_path = g_strconcat (f->path, ".new", NULL);
  w->fd = f->fd;
  w->offset = f->size;
  w->bytes = bytes;
  w->whole = whole;
  f->write = w;
  uv_queue_work (f->loop, &w->req, on_write, on_written);
}

/* Starts the timer of the next write, after one with SYNCS syncs: the disk
   gets at most one sync each PU_ORIGIN_FILE_FLUSH_MS.  */
static void
flush_later (pu_origin_file_t *f, guint syncs)
{
  uv_timer_start (f->timer, on_flush,
                  (guint64)MAX (syncs, 1) * PU_ORIGIN_FILE_FLUSH_MS, 0);
}

static void
on_written (uv_work_t *req, int status)
{
  write_t *w = req->data;
  pu_origin_file_t *f = w->file;

  (void)status;
  if (f == NULL)
    {
      if (w->fd >= 0)
        w->fs->close (w->fs->data, w->fd);
      write_free (w);
      return;
    }
  f->write = NULL;
  f->fd = w->fd;
  f->size = w->offset;
  if (w->rc < 0)
    {
      file_fail (f, w->operation, w->rc);
      if (w->unlink_rc < 0 && w->unlink_rc != -ENOENT)
        {
          pu_log_warn (PART,
                       "The file with origins of streams can't be removed, "
                       "and may be read at the next start: %s.",
                       g_strerror (-w->unlink_rc));
        }
    }
  else
    {
      count (f, "origins_written_bytes_total", g_bytes_get_size (w->bytes));
      count (f, "origins_file_writes_total", 1);
      /* The file and its folder, or the file.  */
      flush_later (f, w->whole ? 2 : 1);
    }
  write_free (w);
}

void
pu_origin_file_add (pu_origin_file_t *f, guint64 key, const char *version,
                    guint life_ms)
{
  guint64 now = wall_ms ();

  if (f->failed)
    return;
  pu_origin_records_add (f->records, key, version,
                         now + MIN (life_ms, PU_ORIGIN_LIFE_MAX_MS), now);
  if (f->write == NULL && !uv_is_active ((uv_handle_t *)f->timer))
    flush_later (f, 1);
}

bool
pu_origin_file_is_usable (const pu_origin_file_t *f)
{
  return !f->failed;
}

/* --- loading --- */

static bool
is_too_large (const char *path)
{
  struct stat st;

  return stat (path, &st) == 0 && st.st_size > LOAD_MAX_BYTES;
}

static void
set_aside (pu_origin_file_t *f)
{
  char *to = g_build_filename (f->folder, "lost-" FILE_NAME, NULL);
  int rc = f->fs->rename (f->fs->data, f->path, to);

  pu_log_warn (PART,
               "The file with origins of streams has another format; it is "
               "set aside as lost-" FILE_NAME ".");
  if (rc < 0)
    file_fail (f, "rename it", rc);
  g_free (to);
}

static void
contents_load (pu_origin_file_t *f, GBytes *bytes)
{
  gsize n;
  const void *p = g_bytes_get_data (bytes, &n);

  switch (pu_origin_records_load (f->records, p, n, wall_ms ()))
    {
    case PU_ORIGIN_CONTENTS_WHOLE:
      break;
    case PU_ORIGIN_CONTENTS_TORN:
      pu_log_note (PART,
                   "The file with origins of streams is torn; the records "
                   "before the first bad one are used.");
      break;
    case PU_ORIGIN_CONTENTS_FOREIGN:
      set_aside (f);
      break;
    }
}

static void
file_load (pu_origin_file_t *f)
{
  GBytes *bytes = NULL;
  int rc;

  if (is_too_large (f->path))
    {
      set_aside (f);
      return;
    }
  rc = f->fs->read (f->fs->data, f->path, &bytes);
  if (rc == -ENOENT)
    return;
  if (rc < 0)
    {
      file_fail (f, "read it", rc);
      /* It must not be read at the next start, as it lacks what is added until
         then.  */
      f->fs->unlink (f->fs->data, f->path);
      return;
    }
  contents_load (f, bytes);
  g_bytes_unref (bytes);
}

typedef struct
{
  const pu_origin_file_options_t *o;
  guint64 now;
  guint n;
} loaded_args_t;

static void
record_tell (guint64 key, const char *version, guint64 until, void *data)
{
  loaded_args_t *x = data;

  x->n++;
  x->o->loaded (key, version, (guint)(until - x->now), x->o->data);
}

pu_origin_file_t *
pu_origin_file_new (const pu_origin_file_options_t *o)
{
  pu_origin_file_t *f = g_new0 (pu_origin_file_t, 1);
  loaded_args_t x = { o, wall_ms (), 0 };

  f->loop = o->loop;
  f->fs = o->fs != NULL ? o->fs : pu_journal_fs_system ();
  f->counters = o->counters;
  f->folder = g_strdup (o->folder);
  f->path = g_build_filename (o->folder, FILE_NAME, NULL);
  f->records = pu_origin_records_new ();
  f->fd = -1;
  f->timer = g_new0 (uv_timer_t, 1);
  uv_timer_init (f->loop, f->timer);
  f->timer->data = f;
  file_load (f);
  pu_origin_records_each (f->records, x.now, record_tell, &x);
  if (x.n > 0)
    pu_log_note (PART, "Loaded %u origins of streams.", x.n);
  return f;
}

static void
on_timer_closed (uv_handle_t *timer)
{
  g_free (timer);
}

void
pu_origin_file_free (pu_origin_file_t *f)
{
  if (f == NULL)
    return;
  uv_close ((uv_handle_t *)f->timer, on_timer_closed);
  if (f->write != NULL)
    {
      f->write->file = NULL;
    }
  else if (f->fd >= 0)
    {
      f->fs->close (f->fs->data, f->fd);
    }
  pu_origin_records_free (f->records);
  g_free (f->folder);
  g_free (f->path);
  g_free (f);
}
