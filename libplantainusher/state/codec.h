#ifndef PU_STATE_CODEC_H
#define PU_STATE_CODEC_H

#include <rpc/rpc.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * codec - encodes and decodes XDR records of any type that rpcgen generates.
 *
 * PROC is the generated function of the type, such as (xdrproc_t)
 * xdr_pu_command.  A decoded record owns its memory; xdr_free releases it.
 */

/* pu_codec_encode - returns the XDR bytes of RECORD.  Aborts the program when
   RECORD cannot be encoded, as with a NULL string: that is a programming
   error.  */
GBytes *pu_codec_encode (xdrproc_t proc, const void *record);

/* pu_codec_decode - decodes the LEN bytes at DATA into RECORD, which has SIZE
   bytes.  Fails with PU_ERROR_CORRUPT when DATA is malformed or has bytes
   after the record, and with PU_ERROR_TOO_LARGE when LEN is above G_MAXINT.
   After a failure RECORD is zeroed and owns no memory.  */
bool pu_codec_decode (xdrproc_t proc, void *record, size_t size,
                      const void *data, size_t len, pu_error_t *e);

/* pu_codec_clone - returns a deep copy of RECORD, which has SIZE bytes; free
   it with pu_codec_free.  */
void *pu_codec_clone (xdrproc_t proc, const void *record, size_t size);

/* pu_codec_free - frees RECORD, made by pu_codec_clone, and all that it
   owns.  NULL is allowed.  */
void pu_codec_free (xdrproc_t proc, void *record);

/* pu_codec_equal - whether A and B have the same encoding.  */
bool pu_codec_equal (xdrproc_t proc, const void *a, const void *b);

G_END_DECLS

#endif
