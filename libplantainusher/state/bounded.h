#ifndef PU_STATE_BOUNDED_H
#define PU_STATE_BOUNDED_H

#include <rpc/rpc.h>

/*
 * bounded - decoding that takes memory only for what can be there.
 *
 * XDR's own functions make room for the declared number of elements or bytes
 * before they read one.  These look first whether so many can still be in the
 * message, so that a short one cannot take more than a small multiple of its
 * own size.  For streams in memory (xdrmem_create); the files that rpcgen
 * makes are compiled with these in place of XDR's.
 */

/* The least that an element of an array takes in a message.  */
#define PU_XDR_UNIT 4

/* Whether a count that is next in X fits what is left of it with elements of
   UNIT bytes; reads nothing away.  True when X does not decode.  */
static inline bool_t
pu_xdr_fits (XDR *x, u_int unit)
{
  u_int at;
  u_int n = 0;

  if (x->x_op != XDR_DECODE)
    return TRUE;
  at = xdr_getpos (x);
  if (!xdr_u_int (x, &n) || n > x->x_handy / unit)
    return FALSE;
  return xdr_setpos (x, at);
}

static inline bool_t
pu_xdr_array (XDR *x, char **items, u_int *n, u_int max, u_int size,
              xdrproc_t proc)
{
  return pu_xdr_fits (x, PU_XDR_UNIT)
         && xdr_array (x, items, n, max, size, proc);
}

static inline bool_t
pu_xdr_bytes (XDR *x, char **bytes, u_int *n, u_int max)
{
  return pu_xdr_fits (x, 1) && xdr_bytes (x, bytes, n, max);
}

static inline bool_t
pu_xdr_string (XDR *x, char **text, u_int max)
{
  return pu_xdr_fits (x, 1) && xdr_string (x, text, max);
}

#define xdr_array pu_xdr_array
#define xdr_bytes pu_xdr_bytes
#define xdr_string pu_xdr_string

#endif
