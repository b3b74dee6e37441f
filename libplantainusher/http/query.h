#ifndef PU_HTTP_QUERY_H
#define PU_HTTP_QUERY_H

#include <glib.h>

G_BEGIN_DECLS

/* pu_http_query_value - the decoded value of KEY in QUERY ("k=v&k=v"), or NULL
   when there is none or it does not decode.  It need not be UTF-8.  Free it
   with g_free.  */
char *pu_http_query_value (const char *query, const char *key);

G_END_DECLS

#endif
