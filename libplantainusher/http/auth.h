#ifndef PU_HTTP_AUTH_H
#define PU_HTTP_AUTH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * auth - keys in headers, compared in constant time.
 */

/* pu_http_key_equal - whether the key GIVEN is WANTED.  The time taken does
   not depend on where, or whether, they differ.  NULL or empty on either
   side is never equal.  */
bool pu_http_key_equal (const char *given, const char *wanted);

/* pu_http_bearer - the token of an Authorization header VALUE of the scheme
   Bearer (any case), or NULL when it is none.  Points into VALUE; white space
   around the token is not allowed but for the one run after the scheme.  */
const char *pu_http_bearer (const char *value);

/* pu_http_bearer_equal - whether VALUE is a Bearer header with key WANTED.  */
bool pu_http_bearer_equal (const char *value, const char *wanted);

G_END_DECLS

#endif
