#ifndef FAKES_WEB_H
#define FAKES_WEB_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

G_BEGIN_DECLS

/*
 * web - a small HTTP server for the fakes, on h2o and libuv.
 *
 * It gives what a product server does not: how old the connection of a
 * request is, so that old connections can be held silent for ever.
 */

typedef struct web_server web_server_t;
typedef struct web_exchange web_exchange_t; /* one request and its answer */

typedef void (*web_request_cb) (void *data, web_exchange_t *x);
typedef void (*web_gone_cb) (void *data, web_exchange_t *x);

/* web_server_new - listens on ADDRESS ("host:port", by IP number) and calls CB
   for each request.  Returns NULL when the address can't be had.  */
web_server_t *web_server_new (uv_loop_t *loop, const char *address,
                              web_request_cb cb, void *data);

/* The request.  Strings live as long as the exchange; web_path is without
   the query.  web_header returns NULL when NAME (lower case) is absent.  */
const char *web_method (web_exchange_t *x);
const char *web_path (web_exchange_t *x);
const char *web_header (web_exchange_t *x, const char *name);
const char *web_body (web_exchange_t *x, size_t *len);

/* web_connected_ms - when the connection was accepted, on the wall clock.  */
gint64 web_connected_ms (web_exchange_t *x);

/* web_on_gone - calls CB when the peer leaves before the answer has ended.
   The exchange must not be used afterwards.  */
void web_on_gone (web_exchange_t *x, web_gone_cb cb, void *data);

/* web_add_header - for the answer; call it before web_start.  */
void web_add_header (web_exchange_t *x, const char *name, const char *value);

/* The answer.  After web_end or web_cut the exchange must not be used.
   web_cut closes the connection without an end mark.  */
void web_start (web_exchange_t *x, int status, const char *content_type);
void web_send (web_exchange_t *x, const char *text, size_t len);
void web_end (web_exchange_t *x);
void web_cut (web_exchange_t *x);

/* web_answer - a whole answer at once.  */
void web_answer (web_exchange_t *x, int status, const char *content_type,
                 const char *text);

G_END_DECLS

#endif
