#include "state/codec.h"

#include <string.h>

GBytes *
pu_codec_encode (xdrproc_t proc, const void *record)
{
  u_long len = xdr_sizeof (proc, (void *)record);
  char *data = g_malloc (len > 0 ? len : 1);
  XDR x;

  xdrmem_create (&x, data, (u_int)len, XDR_ENCODE);
  if (len == 0 || !proc (&x, (void *)record))
    {
      g_error ("An XDR record cannot be encoded: a string is NULL, a string "
               "or list is over its limit or a union has an unknown type.");
    }
  xdr_destroy (&x);
  return g_bytes_new_take (data, len);
}

bool
pu_codec_decode (xdrproc_t proc, void *record, size_t size, const void *data,
                 size_t len, pu_error_t *e)
{
  XDR x;
  bool complete;

  memset (record, 0, size);
  if (len > G_MAXINT)
    {
      return pu_error_set (e, PU_ERROR_TOO_LARGE,
                           "An XDR record is over 2147483647 bytes.");
    }
  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  complete = proc (&x, record) && xdr_getpos (&x) == len;
  xdr_destroy (&x);
  if (complete)
    return true;
  xdr_free (proc, record);
  memset (record, 0, size);
  return pu_error_set (e, PU_ERROR_CORRUPT,
                       "An XDR record is malformed or has trailing bytes.");
}

void *
pu_codec_clone (xdrproc_t proc, const void *record, size_t size)
{
  GBytes *bytes = pu_codec_encode (proc, record);
  void *copy = g_malloc0 (size);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  if (!pu_codec_decode (proc, copy, size, data, len, NULL))
    g_error ("An XDR record does not decode from its own encoding.");
  g_bytes_unref (bytes);
  return copy;
}

void
pu_codec_free (xdrproc_t proc, void *record)
{
  if (record == NULL)
    return;
  xdr_free (proc, record);
  g_free (record);
}

bool
pu_codec_equal (xdrproc_t proc, const void *a, const void *b)
{
  GBytes *x = pu_codec_encode (proc, a);
  GBytes *y = pu_codec_encode (proc, b);
  bool same = g_bytes_equal (x, y);

  g_bytes_unref (x);
  g_bytes_unref (y);
  return same;
}
