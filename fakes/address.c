#include "address.h"

#include <string.h>
#include <uv.h>

#define PORT_MAX 65535

bool
fake_address_parse (const char *address, struct sockaddr_in *sin)
{
  const char *colon = strrchr (address, ':');
  guint64 port;
  char *host;
  bool good;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &port, NULL))
    return false;
  host = g_strndup (address, (gsize)(colon - address));
  good = uv_ip4_addr (host, (int)port, sin) == 0;
  g_free (host);
  return good;
}
