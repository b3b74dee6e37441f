#include "agent/agent_private.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/breaks.h"
#include "base/log.h"

#define MAGIC "puview1\n"
#define MAGIC_SIZE 8
#define FILE_MODE 0600
#define FOLDER_MODE 0700

typedef struct
{
  char magic[MAGIC_SIZE];
  uint64_t cluster; /* little-endian, as the next */
  uint64_t hash;    /* of the cluster as written and the image */
} header_t;

struct pu_keep
{
  uv_loop_t *loop;
  char *folder;
  char *path;
  struct work *work; /* under way, or NULL */
  GBytes *next;      /* to be written after it, or NULL */
  uint64_t next_cluster;
  pu_keep_done_fn *next_done;
  void *next_data;
};

/* One write; it goes on without its keeper.  */
typedef struct work
{
  uv_work_t req;
  pu_keep_t *keep; /* NULL once the keeper is gone */
  char *folder;
  char *path;
  uint64_t cluster;
  GBytes *image;
  int error; /* errno, or 0 */
  pu_keep_done_fn *done;
  void *data;
} work_t;

pu_keep_t *
pu_keep_new (uv_loop_t *loop, const char *folder)
{
  pu_keep_t *k = g_new0 (pu_keep_t, 1);

  k->loop = loop;
  k->folder = g_strdup (folder);
  k->path = g_build_filename (folder, "view", NULL);
  return k;
}

void
pu_keep_free (pu_keep_t *k)
{
  if (k == NULL)
    return;
  if (k->work != NULL)
    k->work->keep = NULL;
  if (k->next != NULL)
    g_bytes_unref (k->next);
  g_free (k->folder);
  g_free (k->path);
  g_free (k);
}

static uint64_t
hash_of (uint64_t cluster_le, const void *image, size_t n)
{
  return XXH64 (image, n, cluster_le);
}

bool
pu_keep_load (pu_keep_t *k, pu_kept_t *out, pu_error_t *e)
{
  char *text;
  gsize size;
  header_t h;

  if (!g_file_get_contents (k->path, &text, &size, NULL))
    return pu_error_set (e, PU_ERROR_NOT_FOUND, "No image is kept.");
  memset (&h, 0, sizeof h);
  memcpy (&h, text, MIN (size, sizeof h));
  if (size < sizeof h || memcmp (h.magic, MAGIC, MAGIC_SIZE) != 0
      || GUINT64_FROM_LE (h.hash)
             != hash_of (h.cluster, text + sizeof h, size - sizeof h))
    {
      g_free (text);
      return pu_error_set (e, PU_ERROR_CORRUPT, "The kept image is damaged.");
    }
  out->cluster = GUINT64_FROM_LE (h.cluster);
  out->image = g_bytes_new (text + sizeof h, size - sizeof h);
  g_free (text);
  return true;
}

static bool
write_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t done = write (fd, p, n);

      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0)
        return false;
      p += done;
      n -= (size_t)done;
    }
  return true;
}

static bool
write_file (int fd, const work_t *w)
{
  gsize size;
  const char *image = g_bytes_get_data (w->image, &size);
  header_t h = { .magic = MAGIC, .cluster = GUINT64_TO_LE (w->cluster) };

  h.hash = GUINT64_TO_LE (hash_of (h.cluster, image, size));
  return write_all (fd, (const char *)&h, sizeof h)
         && write_all (fd, image, size) && fsync (fd) == 0;
}

static bool
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool good;

  if (fd < 0)
    return false;
  good = fsync (fd) == 0;
  close (fd);
  return good;
}

/* save - written aside, synced, renamed, folder synced.  */
static bool
save (const work_t *w)
{
  char *aside = g_strconcat (w->path, ".new", NULL);
  bool good = false;
  int fd;

  g_mkdir_with_parents (w->folder, FOLDER_MODE);
  fd = open (aside, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd >= 0)
    {
      good = write_file (fd, w);
      good = close (fd) == 0 && good;
    }
  good = good && rename (aside, w->path) == 0 && sync_folder (w->folder);
  g_free (aside);
  return good;
}

static work_t *
work_new (pu_keep_t *k, uint64_t cluster, GBytes *image)
{
  work_t *w = g_new0 (work_t, 1);

  w->req.data = w;
  w->keep = k;
  w->folder = g_strdup (k->folder);
  w->path = g_strdup (k->path);
  w->cluster = cluster;
  w->image = image;
  return w;
}

static void
work_free (work_t *w)
{
  if (w->error != 0)
    {
      pu_log_warn (PU_AGENT_PART, "The image cannot be kept: %s.",
                   g_strerror (w->error));
    }
  g_free (w->folder);
  g_free (w->path);
  g_bytes_unref (w->image);
  g_free (w);
}

static void
on_work (uv_work_t *req)
{
  work_t *w = req->data;

  if (pu_break_active (PU_BREAK_VIEW_KEPT_ONCE)
      && g_file_test (w->path, G_FILE_TEST_EXISTS))
    return;
  w->error = save (w) ? 0 : errno;
}

static void
on_worked (uv_work_t *req, int status)
{
  work_t *w = req->data;
  pu_keep_t *k = w->keep;
  pu_keep_done_fn *done = w->done;
  void *data = w->data;
  GBytes *next;

  (void)status;
  work_free (w);
  if (k == NULL)
    return;
  k->work = NULL;
  next = k->next;
  k->next = NULL;
  if (next != NULL)
    pu_keep_save (k, k->next_cluster, next, k->next_done, k->next_data);
  if (done != NULL)
    done (data);
}

void
pu_keep_save (pu_keep_t *k, uint64_t cluster, GBytes *image,
              pu_keep_done_fn *done, void *data)
{
  if (k->work != NULL)
    {
      if (k->next != NULL)
        g_bytes_unref (k->next);
      k->next = image;
      k->next_cluster = cluster;
      k->next_done = done;
      k->next_data = data;
      return;
    }
  k->work = work_new (k, cluster, image);
  k->work->done = done;
  k->work->data = data;
  uv_queue_work (k->loop, &k->work->req, on_work, on_worked);
}
