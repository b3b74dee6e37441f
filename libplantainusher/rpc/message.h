#ifndef PU_RPC_MESSAGE_H
#define PU_RPC_MESSAGE_H

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>

#include "base/error.h"

G_BEGIN_DECLS

/*
 * message - ONC RPC records and message headers over a byte stream (RFC 5531).
 *
 * Pure: bytes in, records and headers out.  The headers are coded by
 * libtirpc's XDR; only the record marking is done here.
 */

/* Bytes of a record mark: the last-fragment bit and a length.  */
#define PU_RPC_MARK_SIZE 4

/* Our own credential flavour; its body depends on the procedure.  */
#define PU_RPC_AUTH_FLAVOR 0x70750001

/* The most fragments of one record.  */
#define PU_RPC_FRAGMENTS_MAX 1024

/* A stream of records under way.  Feed it with pu_rpc_reader_feed.  */
typedef struct
{
  size_t max_record; /* bytes; may be changed between records */
  GByteArray *bytes; /* received */
  guint consumed;    /* of them, from the start */
  GByteArray *parts; /* fragments of a record whose last one is to come */
  guint fragments;
} pu_rpc_reader_t;

void pu_rpc_reader_init (pu_rpc_reader_t *r, size_t max_record);
void pu_rpc_reader_clear (pu_rpc_reader_t *r);

/* pu_rpc_reader_feed - adds N bytes that arrived.  */
void pu_rpc_reader_feed (pu_rpc_reader_t *r, const void *bytes, size_t n);

/* pu_rpc_reader_next - takes the next whole record.  Returns a new array that
   the caller unrefs, or NULL: with E->kind PU_OK when more bytes are needed,
   else PU_ERROR_TOO_LARGE or PU_ERROR_CORRUPT and the stream is of no more
   use.  */
GByteArray *pu_rpc_reader_next (pu_rpc_reader_t *r, pu_error_t *e);

/* What a decoded header says.  BODY points into the record.  */
typedef struct
{
  guint32 xid;
  bool reply;      /* else a call */
  guint32 program; /* of a call */
  guint32 version; /* of a call */
  guint32 proc;    /* of a call */
  guint32 flavor;  /* of a call's credential or a reply's verifier */
  guint8 auth[MAX_AUTH_BYTES];
  guint auth_size;
  pu_error_kind_t kind; /* of a reply: PU_OK or what it refuses with */
  const guint8 *body;
  size_t body_size;
} pu_rpc_message_t;

/* pu_rpc_message_decode - reads the header of RECORD into M.  Returns false
   with PU_ERROR_CORRUPT when it is none.  */
bool pu_rpc_message_decode (pu_rpc_message_t *m, const guint8 *record,
                            size_t n, pu_error_t *e);

/* pu_rpc_message_encode_call - a new record, mark included, for the call in M
   (xid, program, version, proc, flavor, auth, body).  */
GByteArray *pu_rpc_message_encode_call (const pu_rpc_message_t *m);

/* pu_rpc_message_encode_reply - the same for the reply in M (xid, kind,
   flavor, auth, body).  Kinds without an ONC RPC code become SYSTEM_ERR.  */
GByteArray *pu_rpc_message_encode_reply (const pu_rpc_message_t *m);

G_END_DECLS

#endif
