#include "control/packed.h"

#include <zstd.h>

/* Compresses JSON and XDR to a tenth or less in about a millisecond for each
   megabyte; higher levels cost more time than the bytes they save.  */
#define LEVEL 1

GBytes *
pu_packed_new (GBytes *content)
{
  gsize n;
  gconstpointer data = g_bytes_get_data (content, &n);
  size_t max = ZSTD_compressBound (n);
  guint8 *packed = g_malloc (max);
  size_t size = ZSTD_compress (packed, max, data, n, LEVEL);

  /* The output has room for the worst case.  */
  if (ZSTD_isError (size))
    g_error ("Compression failed: %s.", ZSTD_getErrorName (size));
  return g_bytes_new_take (g_realloc (packed, size), size);
}

size_t
pu_packed_size_max (size_t n)
{
  return ZSTD_compressBound (n);
}

size_t
pu_packed_size (const void *packed, size_t n)
{
  unsigned long long size = ZSTD_getFrameContentSize (packed, n);

  return size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR
             ? G_MAXSIZE
             : (size_t)size;
}

GBytes *
pu_packed_content (const void *packed, size_t n, size_t size, size_t max,
                   pu_error_t *e)
{
  guint8 *content;
  size_t got;

  if (size > max)
    {
      pu_error_set (e, PU_ERROR_TOO_LARGE,
                    "Compressed content of %zu bytes is over the limit of "
                    "%zu.",
                    size, max);
      return NULL;
    }
  if (ZSTD_getFrameContentSize (packed, n) != size)
    {
      pu_error_set (e, PU_ERROR_CORRUPT,
                    "Compressed content does not state its size of %zu "
                    "bytes.",
                    size);
      return NULL;
    }
  content = g_malloc (MAX (size, 1));
  got = ZSTD_decompress (content, size, packed, n);
  if (got == size)
    return g_bytes_new_take (content, size);
  g_free (content);
  pu_error_set (e, PU_ERROR_CORRUPT, "Compressed content is damaged: %s.",
                ZSTD_isError (got) ? ZSTD_getErrorName (got) : "too short");
  return NULL;
}
