#include "http/message.h"

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
