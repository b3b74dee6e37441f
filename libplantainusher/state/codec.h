#ifndef PU_STATE_CODEC_H
#define PU_STATE_CODEC_H

#include <rpc/rpc.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * codec - XDR records to bytes and back, for any type of rpcgen.
 *
 * PROC is the generated function of the type, such as (xdrproc_t)
 * xdr_pu_command.  Decoded records own their memory; xdr_free gives it back.
 */

/* pu_codec_encode - the bytes of RECORD.  Ends the program on a NULL string,
   which is a fault of ours.  */
GBytes *pu_codec_encode (xdrproc_t proc, const void *record);

/* pu_codec_decode - fills RECORD, of SIZE bytes, from DATA.  All LEN bytes
   must be used.  On PU_ERROR_CORRUPT nothing is left to free.  */
bool pu_codec_decode (xdrproc_t proc, void *record, size_t size,
                      const void *data, size_t len, pu_error_t *e);

/* pu_codec_clone - a copy of RECORD, of SIZE bytes, made by g_malloc0; free
   it with pu_codec_free.  */
void *pu_codec_clone (xdrproc_t proc, const void *record, size_t size);
void pu_codec_free (xdrproc_t proc, void *record);

/* pu_codec_equal - whether A and B have the same bytes.  */
bool pu_codec_equal (xdrproc_t proc, const void *a, const void *b);

G_END_DECLS

#endif
