#include "log/journal.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  FILE_MODE = 0640,
  FOLDER_MODE = 0750,
};

static int
rc_or_errno (int rc)
{
  return rc < 0 ? -errno : rc;
}

static int
fs_open (void *data, const char *path, int flags)
{
  (void)data;
  return rc_or_errno (open (path, flags | O_CLOEXEC, FILE_MODE));
}

static int64_t
fs_write (void *data, int fd, const void *p, size_t n, int64_t at)
{
  ssize_t rc;

  (void)data;
  do
    {
      rc = pwrite (fd, p, n, at);
    }
  while (rc < 0 && errno == EINTR);
  return rc < 0 ? -errno : rc;
}

static int
fs_sync (void *data, int fd)
{
  (void)data;
  return rc_or_errno (fdatasync (fd));
}

static int
fs_truncate (void *data, int fd, int64_t size)
{
  (void)data;
  return rc_or_errno (ftruncate (fd, size));
}

static int
fs_lock (void *data, int fd)
{
  (void)data;
  return rc_or_errno (flock (fd, LOCK_EX | LOCK_NB));
}

static int
fs_close (void *data, int fd)
{
  (void)data;
  return rc_or_errno (close (fd));
}

static int
fs_rename (void *data, const char *from, const char *to)
{
  (void)data;
  return rc_or_errno (rename (from, to));
}

static int
fs_unlink (void *data, const char *path)
{
  (void)data;
  return rc_or_errno (unlink (path));
}

static int
fs_mkdir (void *data, const char *path)
{
  (void)data;
  return g_mkdir_with_parents (path, FOLDER_MODE) < 0 ? -errno : 0;
}

static int
fs_sync_folder (void *data, const char *path)
{
  int fd = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  int rc;

  (void)data;
  if (fd < 0)
    return -errno;
  rc = rc_or_errno (fsync (fd));
  close (fd);
  return rc;
}

static int
read_all (int fd, GBytes **out)
{
  struct stat st;
  size_t done = 0;
  char *buf;

  if (fstat (fd, &st) < 0)
    return -errno;
  buf = g_malloc ((gsize)st.st_size + 1);
  while (done < (size_t)st.st_size)
    {
      ssize_t n = read (fd, buf + done, (size_t)st.st_size - done);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        {
          int rc = -errno;

          g_free (buf);
          return rc;
        }
      if (n == 0)
        break;
      done += (size_t)n;
    }
  *out = g_bytes_new_take (buf, done);
  return 0;
}

static int
fs_read (void *data, const char *path, GBytes **out)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  int rc;

  (void)data;
  if (fd < 0)
    return -errno;
  rc = read_all (fd, out);
  close (fd);
  return rc;
}

static int
fs_list (void *data, const char *path, GPtrArray *names)
{
  DIR *d = opendir (path);
  struct dirent *f;

  (void)data;
  if (d == NULL)
    return -errno;
  while ((f = readdir (d)) != NULL)
    {
      if (f->d_name[0] != '.')
        g_ptr_array_add (names, g_strdup (f->d_name));
    }
  closedir (d);
  return 0;
}

const pu_journal_fs_t *
pu_journal_fs_system (void)
{
  static const pu_journal_fs_t fs = {
    .open = fs_open,
    .write = fs_write,
    .sync = fs_sync,
    .truncate = fs_truncate,
    .lock = fs_lock,
    .close = fs_close,
    .rename = fs_rename,
    .unlink = fs_unlink,
    .mkdir = fs_mkdir,
    .sync_folder = fs_sync_folder,
    .read = fs_read,
    .list = fs_list,
  };

  return &fs;
}
