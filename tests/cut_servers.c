/* cut_servers - loaded before the C library by a test: while the file
   CUT_SERVERS exists, this process reaches no backend server, that is, nothing
   that listens on port CUT_PORT.  If the file says "refuse", new connections
   are refused and open ones live on; if it says "hang", new connections hang,
   and what is written to open ones is lost.  */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

typedef int connect_fn (int, const struct sockaddr *, socklen_t);

static void *
real (const char *name)
{
  return dlsym (RTLD_NEXT, name);
}

/* The first letter of what the file says, or 0 without a file.  */
static char
mode (void)
{
  int kept = errno;
  const char *path = getenv ("CUT_SERVERS");
  int fd = path != NULL ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  char c = 0;

  if (fd >= 0 && read (fd, &c, 1) != 1)
    c = 0;
  if (fd >= 0)
    close (fd);
  errno = kept;
  return c;
}

static bool
is_server (const struct sockaddr *address)
{
  const char *port = getenv ("CUT_PORT");

  return port != NULL && address->sa_family == AF_INET
         && ntohs (((const struct sockaddr_in *)address)->sin_port)
                == atoi (port);
}

/* Fills A with the address of a listener that is full, so that connections to
   it hang.  */
static void
full_listener (struct sockaddr_in *a)
{
  static struct sockaddr_in full;
  socklen_t n = sizeof full;

  if (full.sin_family == 0)
    {
      int l = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      full.sin_family = AF_INET;
      full.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      if (bind (l, (struct sockaddr *)&full, sizeof full) != 0
          || listen (l, 0) != 0
          || getsockname (l, (struct sockaddr *)&full, &n) != 0)
        abort ();
      for (int i = 0; i < 4; i++)
        {
          int s = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                          0);

          if (((connect_fn *)real ("connect")) (s, (struct sockaddr *)&full,
                                                sizeof full)
                  != 0
              && errno != EINPROGRESS)
            abort ();
        }
    }
  *a = full;
}

int
connect (int fd, const struct sockaddr *address, socklen_t n)
{
  connect_fn *fn = (connect_fn *)real ("connect");
  char how = is_server (address) ? mode () : 0;
  struct sockaddr_in full;

  if (how == 'r')
    {
      errno = ECONNREFUSED;
      return -1;
    }
  if (how != 'h')
    return fn (fd, address, n);
  full_listener (&full);
  return fn (fd, (const struct sockaddr *)&full, sizeof full);
}

static bool
is_lost (int fd)
{
  int kept = errno;
  struct sockaddr_in peer = { 0 };
  socklen_t n = sizeof peer;
  bool lost = getpeername (fd, (struct sockaddr *)&peer, &n) == 0
              && is_server ((const struct sockaddr *)&peer) && mode () == 'h';

  errno = kept;
  return lost;
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
  ssize_t sum = 0;

  if (!is_lost (fd))
    return fn (fd, v, n);
  for (int i = 0; i < n; i++)
    sum += (ssize_t)v[i].iov_len;
  return sum;
}
