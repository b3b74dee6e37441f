#ifndef PU_HTTP_RETRY_AFTER_H
#define PU_HTTP_RETRY_AFTER_H

#include <glib.h>

G_BEGIN_DECLS

/* pu_http_retry_after_ms - returns the value TEXT of a Retry-After header, a
   decimal number of seconds, in milliseconds rounded up, at most an hour.
   Returns 0 if TEXT is NULL, a date or malformed.  */
guint pu_http_retry_after_ms (const char *text);

G_END_DECLS

#endif
