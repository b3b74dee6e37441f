#ifndef PU_HTTP_H1_READER_H
#define PU_HTTP_H1_READER_H

#include <glib.h>
#include <stdbool.h>

#include "http/message.h"

G_BEGIN_DECLS

/*
 * h1_reader - an HTTP/1 request, read as it arrives.  No I/O.
 *
 * It reads strictly: whatever another peer could take for the end of a message
 * at another place (two lengths, a coding that is not plain "chunked", a chunk
 * line with more than its size) is refused, never repaired, so that no request
 * can hide within another.
 */

typedef enum
{
  PU_H1_MORE,    /* the request goes on */
  PU_H1_EXPECTS, /* the head is whole, and the peer waits for a word to send
                    the body: then as PU_H1_MORE */
  PU_H1_DONE,    /* the request is whole */
  PU_H1_BAD      /* it is refused with pu_h1_reader_status */
} pu_h1_read_t;

typedef struct pu_h1_reader pu_h1_reader_t;

/* pu_h1_reader_new - heads of at most HEAD_MAX bytes, bodies of at most
   BODY_MAX.  */
pu_h1_reader_t *pu_h1_reader_new (gsize head_max, gsize body_max);
void pu_h1_reader_free (pu_h1_reader_t *r);

/* pu_h1_reader_feed - takes LEN BYTES, which are kept as far as they belong to
   the request or to those behind it.  After PU_H1_DONE it must not be called
   before pu_h1_reader_next.  */
pu_h1_read_t pu_h1_reader_feed (pu_h1_reader_t *r, const char *bytes,
                                gsize len);

/* pu_h1_reader_next - forgets the request that was read, and goes on with what
   came behind it.  */
pu_h1_read_t pu_h1_reader_next (pu_h1_reader_t *r);

/* pu_h1_reader_begun - whether a byte of an unfinished request has come.  */
bool pu_h1_reader_begun (const pu_h1_reader_t *r);

/* pu_h1_reader_has_head - whether its head is whole.  */
bool pu_h1_reader_has_head (const pu_h1_reader_t *r);

/* pu_h1_reader_held - bytes that are kept of requests that are not whole.  */
gsize pu_h1_reader_held (const pu_h1_reader_t *r);

/* pu_h1_reader_left - bytes that are still to come of the body, or of its
   present chunk, by what the peer has said.  */
gsize pu_h1_reader_left (const pu_h1_reader_t *r);

/* pu_h1_reader_drop_behind - forgets what came behind a whole request.  */
void pu_h1_reader_drop_behind (pu_h1_reader_t *r);

/* pu_h1_reader_drop - forgets all; the reader is of no use any more.  */
void pu_h1_reader_drop (pu_h1_reader_t *r);

/* pu_h1_reader_status - of a refusal: 400, 413 or 431.  */
int pu_h1_reader_status (const pu_h1_reader_t *r);

/* What the request says, from PU_H1_DONE on; the strings live until
   pu_h1_reader_next.  */
const char *pu_h1_reader_method (const pu_h1_reader_t *r);
const char *pu_h1_reader_target (const pu_h1_reader_t *r);
const char *pu_h1_reader_host (const pu_h1_reader_t *r);
const GArray *pu_h1_reader_headers (const pu_h1_reader_t *r);
const char *pu_h1_reader_body (const pu_h1_reader_t *r, gsize *len);

/* pu_h1_reader_keep_alive - whether the peer keeps the connection.  */
bool pu_h1_reader_keep_alive (const pu_h1_reader_t *r);

/* pu_h1_reader_old - whether the peer speaks HTTP/1.0, which knows no
   chunks.  */
bool pu_h1_reader_old (const pu_h1_reader_t *r);

G_END_DECLS

#endif
