#include "http/retry_after.h"

#include <math.h>

enum
{
  MS_PER_S = 1000,
  LONGEST_S = 3600,
};

guint
pu_http_retry_after_ms (const char *text)
{
  char *end;
  double seconds;

  if (text == NULL || !g_ascii_isdigit (*text))
    return 0;
  seconds = g_ascii_strtod (text, &end);
  if (*end != '\0' || !isfinite (seconds))
    return 0;
  return (guint)ceil (MIN (seconds, LONGEST_S) * MS_PER_S);
}
