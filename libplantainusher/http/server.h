#ifndef PU_HTTP_SERVER_H
#define PU_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "base/error.h"
#include "base/memory_budget.h"
#include "http/message.h"

G_BEGIN_DECLS

/*
 * server - HTTP/1.1 and HTTP/2 (prior knowledge, or by TLS) on h2o and libuv.
 *
 * One handler gets each request once its body is whole.  It answers at once
 * or later, whole (pu_http_respond) or as a stream (start, write, finish or
 * abort).  A caller that closes its side, or takes nothing of an answer for
 * the write timeout, has gone: on_gone is called once and the request must
 * not be used any more.
 *
 * The process must ignore SIGPIPE.
 */

typedef struct pu_http_server pu_http_server_t;
typedef struct pu_http_request pu_http_request_t;

typedef struct
{
  uv_loop_t *loop;
  const char *host;        /* IP number */
  int port;                /* 0: any, see pu_http_server_port */
  const char *certificate; /* PEM files; NULL: no TLS */
  const char *key;
  gsize header_max;       /* bytes of all headers; 0: 32768; over it 431 */
  gsize body_max;         /* bytes; 0: 8 MiB; over it, or over what MEMORY
                             could ever let arrive, 413 */
  guint connections_max;  /* 0: 4096; one more is closed at once */
  bool strict;            /* HTTP/1 only, without TLS, read by h1_reader.h:
                             for callers that must not hide one request in
                             another */
  guint header_ms;        /* strict: from the first byte of a head to its end;
                             0: 10000 */
  guint idle_ms;          /* 0: 30000; rounded up to whole seconds */
  guint write_timeout_ms; /* 0: 30000 */
  guint linger_ms;        /* graceful stop: idle connections are closed after
                             this; 0: 500 */
  /* What the HTTP layer itself refuses (malformed, over a size limit) is
     answered with this header and JSON body; NULL: h2o's own text.  */
  const char *refusal_header;
  const char *refusal_value;
  const char *refusal_body;
  /* A request that is not whole yet is refused when MEMORY has no room for it:
     503 with Retry-After, refusal_header and this JSON body; NULL: none.  */
  const char *busy_body;
  pu_memory_budget_t *memory; /* of the process; must outlive the server; NULL:
                                 no bound */
  void (*handler) (void *data, pu_http_request_t *r);
  void *data;
} pu_http_server_options_t;

/* pu_http_server_new - listens.  NULL and E (PU_ERROR_IO, PU_ERROR_INVALID)
   when the address or the TLS files can't be used.  */
pu_http_server_t *pu_http_server_new (const pu_http_server_options_t *o,
                                      pu_error_t *e);

/* pu_http_server_stop - accepts no more, tells each connection that it is the
   last request (Connection: close, GOAWAY) and lets open exchanges finish.
   CB is called once when all connections are closed.  */
void pu_http_server_stop (pu_http_server_t *s, void (*cb) (void *data),
                          void *data);

/* pu_http_server_abort - closes all connections now; for a stop that takes
   too long.  CB of pu_http_server_stop still comes.  */
void pu_http_server_abort (pu_http_server_t *s);

/* pu_http_server_free - after the callback of stop.  The loop must run until
   its handles are closed.  */
void pu_http_server_free (pu_http_server_t *s);

/* pu_http_server_set_times - header_ms and idle_ms of a strict server, from
   now on; 0 as in the options.  */
void pu_http_server_set_times (pu_http_server_t *s, guint header_ms,
                               guint idle_ms);

/* pu_http_server_set_limits - for what comes from now on; 0 as in the
   options.  Connections over a lower CONNECTIONS_MAX stay.  */
void pu_http_server_set_limits (pu_http_server_t *s, gsize header_max,
                                gsize body_max, guint connections_max);

int pu_http_server_port (const pu_http_server_t *s);
guint pu_http_server_connections (const pu_http_server_t *s);
guint pu_http_server_requests (const pu_http_server_t *s); /* open now */

/* What a request says.  Strings end in NUL and live as long as R.  */
const char *pu_http_request_method (const pu_http_request_t *r);
/* decoded, without dot segments and query */
const char *pu_http_request_path (const pu_http_request_t *r);
/* path and query as sent */
const char *pu_http_request_target (const pu_http_request_t *r);
/* what follows '?', as sent; "" when there is none */
const char *pu_http_request_query (const pu_http_request_t *r);
/* the authority that it is for, as sent: host, maybe with a port */
const char *pu_http_request_host (const pu_http_request_t *r);
const char *pu_http_request_remote (const pu_http_request_t *r); /* IP */
/* number of its connection in this process; a later one's is greater */
guint64 pu_http_request_connection (const pu_http_request_t *r);
const char *pu_http_request_body (const pu_http_request_t *r, gsize *len);

/* pu_http_request_header - the first value of NAME, or NULL.  */
const char *pu_http_request_header (const pu_http_request_t *r,
                                    const char *name);
gsize pu_http_request_header_count (const pu_http_request_t *r);
pu_http_header_t pu_http_request_header_at (const pu_http_request_t *r,
                                            gsize i);

/* pu_http_request_query_value - the decoded value of KEY in the query, or
   NULL.  Free it with g_free.  */
char *pu_http_request_query_value (const pu_http_request_t *r,
                                   const char *key);

typedef struct
{
  void (*on_gone) (void *data);  /* the caller has gone; R is no more */
  void (*on_drain) (void *data); /* all that was written has been taken */
} pu_http_request_events_t;

/* pu_http_request_watch - sets what is called for R, with DATA.  */
void pu_http_request_watch (pu_http_request_t *r,
                            const pu_http_request_events_t *events,
                            void *data);

/* pu_http_respond - answers whole; after pu_http_respond_start it can only
   abort.  R must not be used any more.  */
void pu_http_respond (pu_http_request_t *r, int status,
                      const pu_http_header_t *headers, gsize n,
                      const char *body, gsize len);

/* pu_http_respond_start - begins a streamed answer.  The head goes out with
   the first bytes.  */
void pu_http_respond_start (pu_http_request_t *r, int status,
                            const pu_http_header_t *headers, gsize n);
/* pu_http_respond_write - adds bytes; returns what is not yet taken by the
   connection, in bytes.  Writing more before on_drain only takes memory.  */
gsize pu_http_respond_write (pu_http_request_t *r, const char *bytes,
                             gsize len);
/* pu_http_respond_finish - the answer is whole.  R must not be used any more.
 */
void pu_http_respond_finish (pu_http_request_t *r);
/* pu_http_respond_abort - the answer stays unfinished, and the caller sees it:
   the connection is closed or the stream is reset.  What was written before
   goes out first.  R must not be used any more.  */
void pu_http_respond_abort (pu_http_request_t *r);

G_END_DECLS

#endif
