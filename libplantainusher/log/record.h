#ifndef PU_LOG_RECORD_H
#define PU_LOG_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "log/generated/log_msg.h"

G_BEGIN_DECLS

/*
 * record - the entries of a replicated log in memory, and the XDR codecs of
 * log_msg.x.
 */

/* A log entry; reference counted and immutable.  */
typedef struct
{
  uint64_t index;
  uint64_t term;
  pu_log_type type;
  uint32_t len;
  uint8_t data[];
} pu_record_t;

pu_record_t *pu_record_new (uint64_t index, uint64_t term, pu_log_type type,
                            const void *data, size_t len);
pu_record_t *pu_record_ref (const pu_record_t *n);
void pu_record_unref (pu_record_t *n);

/* pu_record_to_xdr - fills X with the fields of N, to be encoded.  X borrows
   the data of N, which must outlive it.  */
void pu_record_to_xdr (const pu_record_t *n, pu_log_entry *x);

/* pu_record_from_xdr - returns a new entry with a copy of X.  */
pu_record_t *pu_record_from_xdr (const pu_log_entry *x);

/* pu_xdr_encode - returns the XDR encoding of the value at P, or NULL when the
   value exceeds a bound of its type.  */
GBytes *pu_xdr_encode (xdrproc_t proc, const void *p);

/* pu_xdr_decode - fills the zeroed value at P from the LEN bytes at BYTES.
   Returns false when BYTES is malformed or more bytes follow the value; in
   that case the members decoded so far are freed.  */
bool pu_xdr_decode (xdrproc_t proc, void *p, const void *bytes, size_t len);

/* pu_log_msg_encode, pu_log_msg_decode - encode and decode a message
   between voters.  Decoding refuses messages larger than
   PU_LOG_MSG_MAX_BYTES (PU_ERROR_TOO_LARGE), and messages that are
   malformed or of another protocol version (PU_ERROR_INVALID).  Free a
   decoded message with xdr_free.  */
#define PU_LOG_PROTOCOL_VERSION 1
#define PU_LOG_MSG_MAX_BYTES (PU_LOG_ENTRY_MAX + 2 * 1048576)
GBytes *pu_log_msg_encode (const pu_log_msg *m);
bool pu_log_msg_decode (pu_log_msg *m, const void *bytes, size_t len,
                        pu_error_t *e);

/* PU_LOG_BULK_BYTES - an entry of more bytes is bulk data.  It is sent alone
   in a message, and its receiver is sent no other entries until it is
   acknowledged, so that other messages may overtake it.
   pu_log_msg_is_bulk - whether MSG, an encoded message, contains such an
   entry.  Small parts of messages may add some bytes before it says so.  */
#define PU_LOG_BULK_BYTES 1048576
bool pu_log_msg_is_bulk (GBytes *msg);

/* Functions that make deep copies, which are freed with the _clear functions.
   A string that is NULL is copied as an empty string.  */
void pu_log_peer_copy (pu_log_peer *to, const pu_log_peer *from);
void pu_log_peer_clear (pu_log_peer *p);
void pu_log_config_copy (pu_log_config *to, const pu_log_config *from);
void pu_log_config_clear (pu_log_config *c);

/* pu_log_config_find_member - returns the member with identity ID, or NULL. */
pu_log_member *pu_log_config_find_member (const pu_log_config *c, uint64_t id);

/* pu_log_config_count_voters - returns the number of voting members (see
   pu_log_role_is_voting).  */
uint32_t pu_log_config_count_voters (const pu_log_config *c);

/* pu_log_role_is_voting - returns whether members with ROLE count towards a
   quorum.  */
bool pu_log_role_is_voting (pu_log_role role);

G_END_DECLS

#endif
