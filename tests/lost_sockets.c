/* lost_sockets - loaded before the C library by a test: from the moment at
   which the file LOST_SOCKETS appears, what is written to a socket that was
   opened before then is lost without an error, as when something between the
   two ends has lost track of the connection.  New sockets work.  */

#include <dlfcn.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum
{
  SOCKETS_MAX = 65536,
};

/* Sockets that were opened since the file was first seen.  */
static bool fresh[SOCKETS_MAX];
static bool began;

static void *
real (const char *name)
{
  return dlsym (RTLD_NEXT, name);
}

/* Looks for the file at each socket opened and each write: the tests have few
   of them.  */
static void
look (void)
{
  const char *path = getenv ("LOST_SOCKETS");

  if (!began && path != NULL && access (path, F_OK) == 0)
    {
      memset (fresh, 0, sizeof fresh);
      began = true;
    }
}

static int
note (int fd)
{
  int kept = errno;

  look ();
  if (fd >= 0 && fd < SOCKETS_MAX)
    fresh[fd] = true;
  errno = kept;
  return fd;
}

static bool
is_lost (int fd)
{
  int kept = errno;
  struct stat s;
  bool lost;

  look ();
  lost = began && fd >= 0 && fd < SOCKETS_MAX && !fresh[fd]
         && fstat (fd, &s) == 0 && S_ISSOCK (s.st_mode);
  errno = kept;
  return lost;
}

static ssize_t
length (const struct iovec *v, size_t n)
{
  ssize_t sum = 0;

  for (size_t i = 0; i < n; i++)
    sum += (ssize_t)v[i].iov_len;
  return sum;
}

int
socket (int domain, int type, int protocol)
{
  int (*fn) (int, int, int) = (int (*) (int, int, int))real ("socket");

  return note (fn (domain, type, protocol));
}

int
accept4 (int fd, struct sockaddr *address, socklen_t *n, int flags)
{
  int (*fn) (int, struct sockaddr *, socklen_t *, int)
      = (int (*) (int, struct sockaddr *, socklen_t *, int))real ("accept4");

  return note (fn (fd, address, n, flags));
}

ssize_t
write (int fd, const void *bytes, size_t n)
{
  ssize_t (*fn) (int, const void *, size_t)
      = (ssize_t (*) (int, const void *, size_t))real ("write");

  return is_lost (fd) ? (ssize_t)n : fn (fd, bytes, n);
}

ssize_t
writev (int fd, const struct iovec *v, int n)
{
  ssize_t (*fn) (int, const struct iovec *, int)
      = (ssize_t (*) (int, const struct iovec *, int))real ("writev");

  return is_lost (fd) ? length (v, (size_t)n) : fn (fd, v, n);
}

ssize_t
sendmsg (int fd, const struct msghdr *m, int flags)
{
  ssize_t (*fn) (int, const struct msghdr *, int)
      = (ssize_t (*) (int, const struct msghdr *, int))real ("sendmsg");

  return is_lost (fd) ? length (m->msg_iov, m->msg_iovlen) : fn (fd, m, flags);
}
