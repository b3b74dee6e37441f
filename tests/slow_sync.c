/* slow_sync - loaded before the C library by a test: fsync takes SLOW_SYNC_MS
   milliseconds longer, as on a busy disk.  */

#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>

int
fsync (int fd)
{
  int (*real) (int) = (int (*) (int))dlsym (RTLD_NEXT, "fsync");
  const char *text = getenv ("SLOW_SYNC_MS");
  long ms = text == NULL ? 0 : strtol (text, NULL, 10);
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
  return real (fd);
}
