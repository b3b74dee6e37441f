#ifndef PU_HTTP_PICOHTTP_H
#define PU_HTTP_PICOHTTP_H

#include <glib.h>
#include <sys/types.h>

G_BEGIN_DECLS

/*
 * picohttp - the parser that libh2o carries and exports.
 *
 * Debian's libh2o-dev ships no header for it, so its functions are
 * declared here; response_test.cc would fail at a change of their layout.
 */

struct phr_header
{
  const char *name; /* NULL: the line continues the header before */
  size_t name_len;
  const char *value;
  size_t value_len;
};

struct phr_chunked_decoder
{
  size_t bytes_left_in_chunk;
  char consume_trailer; /* set to 1: trailers are read and dropped */
  char _hex_count;
  char _state;
};

/* The number of bytes of the head, -1 when malformed, -2 when unfinished.  */
int phr_parse_response (const char *buf, size_t len, int *minor_version,
                        int *status, const char **msg, size_t *msg_len,
                        struct phr_header *headers, size_t *num_headers,
                        size_t last_len);

int phr_parse_request (const char *buf, size_t len, const char **method,
                       size_t *method_len, const char **path, size_t *path_len,
                       int *minor_version, struct phr_header *headers,
                       size_t *num_headers, size_t last_len);

/* Decodes in place and sets *SIZE to the bytes decoded.  The number of bytes
   after the end, -1 when malformed, -2 when unfinished.  */
ssize_t phr_decode_chunked (struct phr_chunked_decoder *decoder, char *buf,
                            size_t *size);

G_END_DECLS

#endif
