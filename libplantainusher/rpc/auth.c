#include "rpc/link.h"

#include <netinet/in.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <string.h>

bool
pu_rpc_nonce (guint8 *out)
{
  return RAND_bytes (out, PU_RPC_NONCE_SIZE) == 1;
}

void
pu_rpc_proof (const char *key, const char *role, const pu_rpc_nonces_t *nonces,
              guint8 out[PU_RPC_PROOF_SIZE])
{
  GByteArray *text = g_byte_array_new ();
  unsigned int size = 0;

  g_byte_array_append (text, (const guint8 *)role, (guint)strlen (role) + 1);
  g_byte_array_append (text, nonces->client, sizeof nonces->client);
  g_byte_array_append (text, nonces->server, sizeof nonces->server);
  HMAC (EVP_sha256 (), key, (int)strlen (key), text->data, text->len, out,
        &size);
  g_assert (size == PU_RPC_PROOF_SIZE);
  g_byte_array_unref (text);
}

bool
pu_rpc_proof_equal (const guint8 *a, const guint8 *b, size_t n)
{
  return CRYPTO_memcmp (a, b, n) == 0;
}

static bool
address_fill (const char *host, int port, struct sockaddr_storage *out)
{
  memset (out, 0, sizeof *out);
  if (strchr (host, ':') != NULL)
    return uv_ip6_addr (host, port, (struct sockaddr_in6 *)out) == 0;
  return uv_ip4_addr (host, port, (struct sockaddr_in *)out) == 0;
}

bool
pu_rpc_address_parse (const char *address, struct sockaddr_storage *out,
                      pu_error_t *e)
{
  const char *colon = address == NULL ? NULL : strrchr (address, ':');
  size_t size = colon == NULL ? 0 : (size_t)(colon - address);
  guint64 port;
  char *host;
  bool good;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port,
                                      NULL))
    {
      return pu_error_set (e, PU_ERROR_INVALID, "\"%s\" is not host:port.",
                           address == NULL ? "" : address);
    }
  if (size >= 2 && address[0] == '[' && address[size - 1] == ']')
    {
      host = g_strndup (address + 1, size - 2);
    }
  else
    {
      host = g_strndup (address, size);
    }
  good = address_fill (host, (int)port, out);
  g_free (host);
  if (!good)
    {
      return pu_error_set (e, PU_ERROR_INVALID,
                           "\"%s\" has no numeric IP address.", address);
    }
  return true;
}
