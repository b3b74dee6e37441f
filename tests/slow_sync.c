/* slow_sync - loaded before the C library by a test: fsync takes SLOW_SYNC_MS
   milliseconds longer, and fdatasync SLOW_DATASYNC_MS, as on a busy disk.  */

#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>

static void
pause_as_told (const char *variable)
{
  const char *text = getenv (variable);
  long ms = text == NULL ? 0 : strtol (text, NULL, 10);
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

int
fsync (int fd)
{
  int (*real) (int) = (int (*) (int))dlsym (RTLD_NEXT, "fsync");

  pause_as_told ("SLOW_SYNC_MS");
  return real (fd);
}

int
fdatasync (int fd)
{
  int (*real) (int) = (int (*) (int))dlsym (RTLD_NEXT, "fdatasync");

  pause_as_told ("SLOW_DATASYNC_MS");
  return real (fd);
}
