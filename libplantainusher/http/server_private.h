#ifndef PU_HTTP_SERVER_PRIVATE_H
#define PU_HTTP_SERVER_PRIVATE_H

#include <h2o.h>

#include "http/server.h"

/*
 * server_private - the listener and its requests, for server.c (listening,
 * connections, stop), request.c (one exchange) and refusal.c.
 */

/* Bytes that a strict connection reads at once.  */
#define PU_SERVER_BUFFER 65536

/* A strict connection of a caller: h1_server.c.  */
typedef struct pu_h1_conn pu_h1_conn_t;

/* A connection of a caller; lives until h2o closes its socket.  */
typedef struct
{
  pu_http_server_t *server;
  GList link; /* in the server's conns */
  uv_tcp_t *tcp;
  h2o_socket_t *sock;
  guint active; /* requests in progress */
  /* What arrives on it, for arriving.c.  */
  gsize held;    /* bytes in the budget */
  guint64 begun; /* loop time at which the present ones were first seen */
  guint64 since; /* loop time of the last growth */
  bool refused;  /* HTTP/1: nothing of it is a request any more */
  bool h2;
  h2o_socket_cb read;    /* what h2o has set for reading */
  GList not_intercepted; /* in the server's; h2o may have set it anew */
  /* During a measurement: what it holds by now, and of HTTP/2 the stream that
     holds most.  */
  gsize found;
  struct st_h2o_http2_stream_t *largest;
} pu_server_conn_t;

struct pu_http_server
{
  pu_http_server_options_t o;
  h2o_globalconf_t conf;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t sweep;
  uv_check_t measure_check; /* arriving.c; when LOOKS */
  bool measures;
  GQueue not_intercepted; /* of pu_server_conn_t */
  guint64 measured_ms;
  GQueue conns;  /* of pu_server_conn_t, or of pu_h1_conn_t */
  GQueue open;   /* of pu_http_request_t */
  GArray *polls; /* of struct pollfd, for the sweep */
  GPtrArray *polled;
  char *buffer;      /* strict: what is read into */
  guint64 unread;    /* strict: bytes of large answers that callers read */
  guint64 last_conn; /* strict: number of the newest connection */
  char *refusal_header;
  char *refusal_value;
  char *refusal_body;
  char *busy_body;
  int port;
  guint open_handles; /* listener and sweep */
  bool stopping;
  bool stopped; /* the callback was called */
  guint64 stop_ms;
  void (*stop_cb) (void *data);
  void *stop_data;
};

struct pu_http_request
{
  h2o_generator_t generator; /* first: h2o hands it back */
  pu_http_server_t *server;
  pu_h1_conn_t *h1;       /* strict: its connection; NULL: h2o's */
  pu_server_conn_t *conn; /* h2o's; here and below, but for the strings */
  h2o_req_t *req;
  GList link; /* in the server's open */
  pu_http_request_events_t events;
  void *data;
  GByteArray *pending;  /* written, not yet given to h2o */
  GByteArray *inflight; /* given to h2o */
  guint64 sent_ms;      /* when inflight was given */
  bool started;
  bool sending;   /* inflight is not yet taken */
  bool finishing; /* nothing more is written */
  bool aborting;  /* end as unfinished */
  bool released;  /* the handler's side is done with it */
  bool ended;     /* h2o has got the end */
  const char *path;
  const char *target;
  char *decoded; /* strict: owns the path */
  char remote[INET6_ADDRSTRLEN + 1];
};

/* pu_request_accept - h2o's handler: makes the request and calls ours.  */
int pu_request_accept (h2o_handler_t *h, h2o_req_t *req);

/* pu_request_gone - the caller is known to have gone.  */
void pu_request_gone (pu_http_request_t *r);

/* pu_request_sweep - looks for callers that have gone or take nothing.  */
void pu_request_sweep (pu_http_server_t *s);

/* pu_refusal_add - answers of h2o's own on HOST get the refusal's form.  */
void pu_refusal_add (pu_http_server_t *s, h2o_hostconf_t *host);

/* The handler as registered with h2o, with its server.  */
typedef struct
{
  h2o_handler_t super;
  pu_http_server_t *server;
} pu_handler_t;

#endif
