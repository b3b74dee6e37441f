#include "http/message.h"

static void
header_clear (gpointer data)
{
  pu_http_header_t *h = data;

  g_free ((char *)h->name);
  g_free ((char *)h->value);
}

GArray *
pu_http_headers_new (void)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (pu_http_header_t));

  g_array_set_clear_func (headers, header_clear);
  return headers;
}

bool
pu_http_list_has (const char *value, const char *word)
{
  char **words = g_strsplit (value != NULL ? value : "", ",", -1);
  bool found = false;

  for (char **w = words; *w != NULL && !found; w++)
    found = g_ascii_strcasecmp (g_strstrip (*w), word) == 0;
  g_strfreev (words);
  return found;
}

guint
pu_http_list_number (const char *value, const char *name)
{
  char **words = g_strsplit (value != NULL ? value : "", ",", -1);
  guint64 found = 0;

  for (char **w = words; *w != NULL && found == 0; w++)
    {
      char *number = strchr (*w, '=');

      if (number == NULL)
        continue;
      *number++ = '\0';
      if (g_ascii_strcasecmp (g_strstrip (*w), name) != 0
          || !g_ascii_string_to_unsigned (g_strstrip (number), 10, 1,
                                          G_MAXINT32, &found, NULL))
        found = 0;
    }
  g_strfreev (words);
  return (guint)found;
}

static bool
is_one_of (const char *name, const char *const *names, gsize n)
{
  for (gsize i = 0; i < n; i++)
    {
      if (g_ascii_strcasecmp (name, names[i]) == 0)
        return true;
    }
  return false;
}

bool
pu_http_header_is_passed (const char *name)
{
  static const char *const kept_back[]
      = { "connection",          "keep-alive",    "te",     "upgrade",
          "transfer-encoding",   "trailer",       "expect", "proxy-connection",
          "proxy-authorization", "content-length" };

  return !is_one_of (name, kept_back, G_N_ELEMENTS (kept_back));
}

bool
pu_http_header_is_ours (const char *name)
{
  static const char *const ours[] = { "server", "date" };

  return is_one_of (name, ours, G_N_ELEMENTS (ours));
}
