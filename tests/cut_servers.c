/* cut_servers - loaded before the C library by a test: while the file
   CUT_SERVERS exists, this process reaches no backend server, that is, nothing
   that listens on port CUT_PORT.  If the file says "refuse", new connections
   are refused and open ones live on; if it says "break", open ones are reset,
   too; if it says "hang", new connections hang, and what is written to open
   ones is lost.  Hosts that follow in the file, each after a space, are the
   only ones that are out of reach.  */

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

static ssize_t
real_read (int fd, void *bytes, size_t n)
{
  return ((ssize_t (*) (int, void *, size_t))real ("read")) (fd, bytes, n);
}

static bool
is_server (const struct sockaddr_in *a)
{
  const char *port = getenv ("CUT_PORT");

  return port != NULL && a->sin_family == AF_INET
         && ntohs (a->sin_port) == atoi (port);
}

/* Whether HOST is one of the words of TEXT after the first, or there is only
   one.  */
static bool
is_named (char *text, const char *host)
{
  char *kept;
  const char *word;

  strtok_r (text, " ", &kept);
  word = strtok_r (NULL, " ", &kept);
  if (word == NULL)
    return true;
  for (; word != NULL; word = strtok_r (NULL, " ", &kept))
    {
      if (strcmp (word, host) == 0)
        return true;
    }
  return false;
}

/* How connections to A are cut: the first letter of what the file says, or
   0.  */
static char
mode (const struct sockaddr_in *a)
{
  int kept = errno;
  const char *path = getenv ("CUT_SERVERS");
  int fd = -1;
  char text[4096] = "";
  char host[INET_ADDRSTRLEN] = "";
  char how = 0;

  if (is_server (a) && path != NULL)
    fd = open (path, O_RDONLY | O_CLOEXEC);
  if (fd >= 0)
    {
      if (real_read (fd, text, sizeof text - 1) > 0
          && inet_ntop (AF_INET, &a->sin_addr, host, sizeof host) != NULL)
        {
          how = text[0];
          if (!is_named (text, host))
            how = 0;
        }
      close (fd);
    }
  errno = kept;
  return how;
}

/* How the connection FD is cut, as mode.  */
static char
mode_of (int fd)
{
  int kept = errno;
  struct sockaddr_in peer = { 0 };
  socklen_t n = sizeof peer;
  char how = 0;

  if (getpeername (fd, (struct sockaddr *)&peer, &n) == 0)
    how = mode (&peer);
  errno = kept;
  return how;
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
  char how = address->sa_family == AF_INET
                 ? mode ((const struct sockaddr_in *)address)
                 : 0;
  struct sockaddr_in full;

  if (how == 'r' || how == 'b')
    {
      errno = ECONNREFUSED;
      return -1;
    }
  if (how != 'h')
    return fn (fd, address, n);
  full_listener (&full);
  return fn (fd, (const struct sockaddr *)&full, sizeof full);
}

ssize_t
read (int fd, void *bytes, size_t n)
{
  if (mode_of (fd) != 'b')
    return real_read (fd, bytes, n);
  errno = ECONNRESET;
  return -1;
}

ssize_t
write (int fd, const void *bytes, size_t n)
{
  ssize_t (*fn) (int, const void *, size_t)
      = (ssize_t (*) (int, const void *, size_t))real ("write");

  switch (mode_of (fd))
    {
    case 'h':
      return (ssize_t)n;
    case 'b':
      errno = ECONNRESET;
      return -1;
    default:
      return fn (fd, bytes, n);
    }
}

ssize_t
writev (int fd, const struct iovec *v, int n)
{
  ssize_t (*fn) (int, const struct iovec *, int)
      = (ssize_t (*) (int, const struct iovec *, int))real ("writev");
  ssize_t sum = 0;

  switch (mode_of (fd))
    {
    case 'h':
      for (int i = 0; i < n; i++)
        sum += (ssize_t)v[i].iov_len;
      return sum;
    case 'b':
      errno = ECONNRESET;
      return -1;
    default:
      return fn (fd, v, n);
    }
}
