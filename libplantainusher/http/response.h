#ifndef PU_HTTP_RESPONSE_H
#define PU_HTTP_RESPONSE_H

#include <glib.h>
#include <stdbool.h>

#include "http/message.h"
#include "http/picohttp.h"

G_BEGIN_DECLS

/*
 * response - an HTTP/1.1 answer, read as it arrives.  No I/O.
 *
 * The reader knows whether the answer is whole: its stated length was met, or
 * its last chunk was read.  An answer that states neither ends with the
 * connection, and whether it is whole can't be known from HTTP alone.
 */

#define PU_HTTP_HEADERS_MAX 100

typedef enum
{
  PU_HTTP_BODY_NONE,    /* no body by the rules of the status or method */
  PU_HTTP_BODY_LENGTH,  /* of a stated length */
  PU_HTTP_BODY_CHUNKED, /* in chunks */
  PU_HTTP_BODY_CLOSE,   /* up to the end of the connection */
} pu_http_body_kind_t;

typedef enum
{
  PU_HTTP_READ_MORE,      /* the answer goes on */
  PU_HTTP_READ_DONE,      /* the answer is whole */
  PU_HTTP_READ_STOPPED,   /* a callback returned false */
  PU_HTTP_READ_MALFORMED, /* not HTTP, or contradictory lengths */
  PU_HTTP_READ_TOO_LARGE, /* the heads, or what is neither head nor body, are
                             over their limit */
} pu_http_read_t;

typedef struct
{
  int status;
  GArray *headers; /* of pu_http_header_t */
  pu_http_body_kind_t body_kind;
  guint64 length; /* with PU_HTTP_BODY_LENGTH: bytes of the body */
} pu_http_response_t;

/* What the reader calls; each returns false to stop reading at once, after
   which the reader may already be freed.  */
typedef struct
{
  bool (*on_head) (void *data, const pu_http_response_t *r);
  bool (*on_body) (void *data, const char *bytes, gsize len);
} pu_http_response_calls_t;

typedef struct pu_http_reader pu_http_reader_t;

/* pu_http_reader_new - a reader for one answer whose heads, the informational
   ones included, have at most HEAD_MAX bytes together.  NO_BODY: the request's
   method is HEAD.  */
pu_http_reader_t *pu_http_reader_new (gsize head_max, bool no_body);
void pu_http_reader_free (pu_http_reader_t *rd);

/* pu_http_reader_feed - takes LEN BYTES, which it may change.  Informational
   answers (1xx) are skipped.  */
pu_http_read_t pu_http_reader_feed (pu_http_reader_t *rd, char *bytes,
                                    gsize len,
                                    const pu_http_response_calls_t *calls,
                                    void *data);

/* pu_http_reader_keep_alive - after PU_HTTP_READ_DONE: whether the connection
   can carry another exchange.  False when bytes followed the answer.  */
bool pu_http_reader_keep_alive (const pu_http_reader_t *rd);

/* pu_http_reader_idle_s - after PU_HTTP_READ_DONE: for how many seconds the
   server keeps the connection open while it is idle, as its Keep-Alive header
   states; 0 when it states nothing.  */
guint pu_http_reader_idle_s (const pu_http_reader_t *rd);

/* pu_http_reader_has_head - whether the head was read.  */
bool pu_http_reader_has_head (const pu_http_reader_t *rd);

/* pu_http_reader_is_within - whether a head, the line before a chunk or a
   trailer has begun and is not whole.  */
bool pu_http_reader_is_within (const pu_http_reader_t *rd);

/* pu_http_reader_response - the answer's head, valid after on_head.  */
const pu_http_response_t *pu_http_reader_response (const pu_http_reader_t *rd);

/* pu_http_response_header - the first value of NAME, or NULL.  */
const char *pu_http_response_header (const pu_http_response_t *r,
                                     const char *name);

G_END_DECLS

#endif
