#include "http/auth.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

bool
pu_http_key_equal (const char *given, const char *wanted)
{
  unsigned char a[SHA256_DIGEST_LENGTH];
  unsigned char b[SHA256_DIGEST_LENGTH];

  if (given == NULL || wanted == NULL || *given == 0 || *wanted == 0)
    return false;
  /* Digests have one length, so that the length of the key stays hidden.  */
  SHA256 ((const unsigned char *)given, strlen (given), a);
  SHA256 ((const unsigned char *)wanted, strlen (wanted), b);
  return CRYPTO_memcmp (a, b, sizeof a) == 0;
}

const char *
pu_http_bearer (const char *value)
{
  static const char scheme[] = "Bearer ";

  if (value == NULL)
    return NULL;
  if (g_ascii_strncasecmp (value, scheme, sizeof scheme - 1) != 0)
    return NULL;
  value += sizeof scheme - 1;
  while (*value == ' ')
    value++;
  if (*value == 0 || strpbrk (value, " \t") != NULL)
    return NULL;
  return value;
}

bool
pu_http_bearer_equal (const char *value, const char *wanted)
{
  return pu_http_key_equal (pu_http_bearer (value), wanted);
}
