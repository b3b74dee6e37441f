#include "operator/internal.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

G_STATIC_ASSERT (PU_OPERATOR_DIGEST_LEN == SHA256_DIGEST_LENGTH);

static const char *
bearer_token (const char *authorization)
{
  static const char scheme[] = "Bearer ";

  if (authorization == NULL)
    return NULL;
  if (g_ascii_strncasecmp (authorization, scheme, strlen (scheme)) != 0)
    return NULL;
  return authorization + strlen (scheme);
}

static void
clear_key (gpointer data)
{
  g_free (((pu_operator_stored_key_t *)data)->name);
}

void
pu_operator_keys_set (GArray *keys, const pu_operator_key_t *from, size_t n)
{
  g_array_set_clear_func (keys, clear_key);
  g_array_set_size (keys, 0);
  for (size_t i = 0; i < n; i++)
    {
      pu_operator_stored_key_t k;

      k.name = g_strdup (from[i].name);
      SHA256 ((const unsigned char *)from[i].key, strlen (from[i].key),
              k.digest);
      g_array_append_val (keys, k);
    }
}

/* Digests of equal length are compared, each of them to its end, so that the
   time tells neither the length of a key nor a matching prefix.  */
const char *
pu_operator_keys_find (const GArray *keys, const char *authorization)
{
  const char *token = bearer_token (authorization);
  guint8 digest[PU_OPERATOR_DIGEST_LEN];
  const char *found = NULL;

  if (token == NULL)
    return NULL;
  SHA256 ((const unsigned char *)token, strlen (token), digest);
  for (guint i = 0; i < keys->len; i++)
    {
      const pu_operator_stored_key_t *k
          = &g_array_index (keys, pu_operator_stored_key_t, i);

      if (CRYPTO_memcmp (k->digest, digest, sizeof digest) == 0)
        found = k->name;
    }
  return found;
}
