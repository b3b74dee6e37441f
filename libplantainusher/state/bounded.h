#ifndef PU_STATE_BOUNDED_H
#define PU_STATE_BOUNDED_H

#include <rpc/rpc.h>

/*
 * bounded - XDR decoding whose memory use is limited by the message size.
 *
 * XDR's own functions allocate the declared number of elements or bytes before
 * they read the first one.  The functions here first check that so many can
 * still be in the message, so that decoding a short message cannot allocate
 * more than a small multiple of its size.  They work on streams in memory
 * (xdrmem_create).  The files that rpcgen generates include this header, and
 * its macros replace XDR's functions in them.
 */

/* The encoded size of the smallest array element.  */
#define PU_XDR_MIN_ELEMENT_BYTES 4

/* Whether the rest of X has room for as many elements of ELEMENT_BYTES bytes
   as the count that is next in X says.  Leaves the position of X unchanged.
   Always true when X encodes or frees.  */
static inline bool_t
pu_xdr_count_fits (XDR *x, u_int element_bytes)
{
  u_int at;
  u_int n = 0;

  if (x->x_op != XDR_DECODE)
    return TRUE;
  at = xdr_getpos (x);
  if (!xdr_u_int (x, &n) || n > x->x_handy / element_bytes)
    return FALSE;
  return xdr_setpos (x, at);
}

static inline bool_t
pu_xdr_array (XDR *x, char **items, u_int *n, u_int max, u_int size,
              xdrproc_t proc)
{
  return pu_xdr_count_fits (x, PU_XDR_MIN_ELEMENT_BYTES)
         && xdr_array (x, items, n, max, size, proc);
}

static inline bool_t
pu_xdr_bytes (XDR *x, char **bytes, u_int *n, u_int max)
{
  return pu_xdr_count_fits (x, 1) && xdr_bytes (x, bytes, n, max);
}

static inline bool_t
pu_xdr_string (XDR *x, char **text, u_int max)
{
  return pu_xdr_count_fits (x, 1) && xdr_string (x, text, max);
}

#define xdr_array pu_xdr_array
#define xdr_bytes pu_xdr_bytes
#define xdr_string pu_xdr_string

#endif
