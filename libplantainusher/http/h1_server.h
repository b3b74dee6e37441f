#ifndef PU_HTTP_H1_SERVER_H
#define PU_HTTP_H1_SERVER_H

#include "http/h1_reader.h"
#include "http/server_private.h"

/*
 * h1_server - connections of callers that are read strictly (h1_reader.h),
 * for server.c; h2o has no part in them.
 *
 * A connection is read on while its request is answered, so that a caller that
 * goes is seen at once.
 */

/* pu_h1_alloc - gives the server's buffer for one read.  */
void pu_h1_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf);

/* pu_h1_accept - takes the next connection of LISTENER.  */
void pu_h1_accept (pu_http_server_t *s, uv_stream_t *listener);

/* pu_h1_sweep - ends what has taken too long.  */
void pu_h1_sweep (pu_http_server_t *s);

/* pu_h1_stop_idle - closes the connections without a request.  */
void pu_h1_stop_idle (pu_http_server_t *s);

/* pu_h1_abort - closes all connections.  */
void pu_h1_abort (pu_http_server_t *s);

/* pu_h1_reader_of - the request R as it was read.  */
const pu_h1_reader_t *pu_h1_reader_of (const pu_http_request_t *r);

/* pu_h1_remote - fills R's remote address.  */
void pu_h1_remote (pu_http_request_t *r);

guint64 pu_h1_number (const pu_http_request_t *r);

/* The same as their namesakes of server.h.  */
void pu_h1_respond (pu_http_request_t *r, int status,
                    const pu_http_header_t *headers, gsize n, const char *body,
                    gsize len);
void pu_h1_respond_start (pu_http_request_t *r, int status,
                          const pu_http_header_t *headers, gsize n);
gsize pu_h1_respond_write (pu_http_request_t *r, const char *bytes, gsize len);
void pu_h1_respond_finish (pu_http_request_t *r);
void pu_h1_respond_abort (pu_http_request_t *r);

#endif
