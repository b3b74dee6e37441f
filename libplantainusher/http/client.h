#ifndef PU_HTTP_CLIENT_H
#define PU_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "base/error.h"
#include "http/message.h"
#include "http/response.h"

G_BEGIN_DECLS

/*
 * client - HTTP/1.1 exchanges with IP addresses, on libuv.
 *
 * The client retries nothing.  A connection is used again only after a whole
 * exchange; an abandoned or failed one is closed.  Each exchange ends by
 * exactly one call of on_end, unless it is cancelled: then nothing is called
 * any more.  No callback comes from within pu_http_client_start.
 *
 * The process must ignore SIGPIPE.
 */

typedef struct pu_http_client pu_http_client_t;
typedef struct pu_http_call pu_http_call_t;

typedef struct
{
  uv_loop_t *loop;
  guint connect_timeout_ms;    /* 0: 2000 */
  guint first_byte_timeout_ms; /* request written -> head; 0: 60000 */
  guint progress_timeout_ms;   /* between bytes of the body; 0: 30000 */
  guint idle_ms;               /* life of an idle connection; 0: 4000 */
  guint idle_stated_max_ms;    /* the longest life of an idle connection for
                                  which the server has stated a time-out
                                  (Keep-Alive); 0: idle_ms */
  guint idle_max;              /* idle connections of one address; 0: 32 */
  gsize head_max;              /* bytes; 0: 65536 */
} pu_http_client_options_t;

typedef enum
{
  PU_HTTP_END_COMPLETE,       /* the answer is whole */
  PU_HTTP_END_UNTIL_CLOSE,    /* it ended with the connection: not proved */
  PU_HTTP_END_CONNECT_FAILED, /* no connection: nothing was sent */
  PU_HTTP_END_STALE,          /* a reused connection closed before a byte of
                                 the answer: the peer had likely closed it */
  PU_HTTP_END_CLOSED,         /* a new connection closed before the head */
  PU_HTTP_END_TRUNCATED,      /* closed within the answer */
  PU_HTTP_END_CONNECT_TIMEOUT,
  PU_HTTP_END_FIRST_BYTE_TIMEOUT,
  PU_HTTP_END_PROGRESS_TIMEOUT,
  PU_HTTP_END_MALFORMED,
  PU_HTTP_END_TOO_LARGE, /* the head is over its limit */
} pu_http_end_t;

typedef struct
{
  pu_http_end_t kind;
  bool written; /* a byte of the request may have reached the peer */
  bool reused;  /* the connection had carried an exchange before */
  bool head;    /* on_head was called */
  bool refused; /* PU_HTTP_END_CONNECT_FAILED: nothing listens there */
} pu_http_result_t;

typedef struct
{
  /* Each may cancel the call.  on_head and on_body may pause it.  */
  void (*on_head) (void *data, pu_http_call_t *call,
                   const pu_http_response_t *r);
  void (*on_body) (void *data, pu_http_call_t *call, const char *bytes,
                   gsize len);
  void (*on_end) (void *data, pu_http_call_t *call,
                  const pu_http_result_t *result);
} pu_http_call_events_t;

typedef struct
{
  const char *address; /* IP:port, or [IPv6]:port */
  const char *method;
  const char *target;              /* path and query */
  const pu_http_header_t *headers; /* "Host" is the address without one */
  gsize header_count;
  GBytes *body;      /* NULL: none.  The call takes a reference.  */
  bool has_body;     /* send Content-Length: 0 for an absent body */
  bool fresh;        /* never on a connection that was used before */
  bool reset;        /* an early end resets the connection, so that
                        nothing of the request arrives later */
  bool connect_only; /* send nothing: the call is complete once a new
                        connection is open, which is then closed */
  guint idle_max;    /* idle connections of the address that are kept after it;
                        0: as the client */
  guint first_byte_timeout_ms; /* 0: as the client */
  guint progress_timeout_ms;   /* 0: as the client */
  pu_http_call_events_t events;
  void *data;
} pu_http_call_options_t;

pu_http_client_t *pu_http_client_new (const pu_http_client_options_t *o);

/* pu_http_client_free - ends all calls (PU_HTTP_END_CLOSED) and closes all
   connections.  The loop must run until its handles are closed; C itself is
   gone at once for the caller.  */
void pu_http_client_free (pu_http_client_t *c);

/* pu_http_client_start - begins an exchange.  NULL and E when the address
   can't be read.  */
pu_http_call_t *pu_http_client_start (pu_http_client_t *c,
                                      const pu_http_call_options_t *o,
                                      pu_error_t *e);

/* pu_http_call_cancel - closes the connection of CALL, which is freed.  */
void pu_http_call_cancel (pu_http_call_t *call);

/* pu_http_call_pause, pu_http_call_resume - stop and go on reading.  The
   progress timeout rests meanwhile.  on_end can come while paused.  */
void pu_http_call_pause (pu_http_call_t *call);
void pu_http_call_resume (pu_http_call_t *call);

/* pu_http_client_close_idle - closes the idle connections to ADDRESS, or all
   of them when NULL.  */
void pu_http_client_close_idle (pu_http_client_t *c, const char *address);

/* Numbers for the dump.  */
guint pu_http_client_open (const pu_http_client_t *c);
guint pu_http_client_idle (const pu_http_client_t *c);

/* pu_http_end_name - a short word for KIND, for logs and answers.  */
const char *pu_http_end_name (pu_http_end_t kind);

/* pu_http_address_parse - reads IP:port into ADDR.  */
bool pu_http_address_parse (const char *address, struct sockaddr_storage *addr,
                            pu_error_t *e);

G_END_DECLS

#endif
