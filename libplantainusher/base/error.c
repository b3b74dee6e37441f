#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const kind_names[] = {
  [PU_OK] = "ok",
  [PU_ERROR_INVALID] = "invalid",
  [PU_ERROR_NOT_FOUND] = "not-found",
  [PU_ERROR_CONFLICT] = "conflict",
  [PU_ERROR_UNAVAILABLE] = "unavailable",
  [PU_ERROR_TIMEOUT] = "timeout",
  [PU_ERROR_TOO_LARGE] = "too-large",
  [PU_ERROR_DENIED] = "denied",
  [PU_ERROR_IO] = "io",
  [PU_ERROR_CORRUPT] = "corrupt",
};

bool
pu_error_set (pu_error_t *e, pu_error_kind_t kind, const char *format, ...)
{
  va_list ap;

  if (e == NULL)
    return false;
  e->kind = kind;
  va_start (ap, format);
  vsnprintf (e->message, sizeof e->message, format, ap);
  va_end (ap);
  return false;
}

const char *
pu_error_kind_name (pu_error_kind_t kind)
{
  if ((size_t)kind >= G_N_ELEMENTS (kind_names))
    return "unknown";
  return kind_names[kind];
}
