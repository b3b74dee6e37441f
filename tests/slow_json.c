/* slow_json - loaded before the JSON library by a test: loading a text of
   64 KB or more takes SLOW_JSON_MS milliseconds longer, as on an instance with
   a small share of a processor.  */

#include <dlfcn.h>
#include <jansson.h>
#include <stdlib.h>
#include <time.h>

#define LONG_BYTES 65536

json_t *
json_loadb (const char *text, size_t len, size_t flags, json_error_t *e)
{
  json_t *(*real) (const char *, size_t, size_t, json_error_t *)
      = (json_t * (*)(const char *, size_t, size_t, json_error_t *))
          dlsym (RTLD_NEXT, "json_loadb");
  const char *told = getenv ("SLOW_JSON_MS");
  long ms = told == NULL || len < LONG_BYTES ? 0 : strtol (told, NULL, 10);
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
  return real (text, len, flags, e);
}
