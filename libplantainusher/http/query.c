#include "http/query.h"

#include <string.h>

char *
pu_http_query_value (const char *query, const char *key)
{
  char **pairs = g_strsplit (query, "&", -1);
  gsize len = strlen (key);
  char *value = NULL;

  for (char **p = pairs; *p != NULL && value == NULL; p++)
    {
      if (strncmp (*p, key, len) == 0 && (*p)[len] == '=')
        {
          g_strdelimit (*p, "+", ' ');
          value = g_uri_unescape_string (*p + len + 1, NULL);
        }
    }
  g_strfreev (pairs);
  return value;
}
