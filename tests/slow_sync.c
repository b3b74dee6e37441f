/* slow_sync - loaded before the C library by a test: fsync takes SLOW_SYNC_MS
   milliseconds longer, and fdatasync SLOW_DATASYNC_MS, as on a busy disk.
   Neither ends while the file SYNC_STALL exists.  */

#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

enum
{
  MS_PER_SECOND = 1000,
  NS_PER_MS = 1000000,
  LOOK_MS = 10,
};

static void
pause_ms (long ms)
{
  struct timespec pause
      = { ms / MS_PER_SECOND, ms % MS_PER_SECOND * NS_PER_MS };

  nanosleep (&pause, NULL);
}

static void
pause_as_told (const char *variable)
{
  const char *text = getenv (variable);
  const char *stall = getenv ("SYNC_STALL");

  pause_ms (text == NULL ? 0 : strtol (text, NULL, 10));
  while (stall != NULL && access (stall, F_OK) == 0)
    pause_ms (LOOK_MS);
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
