#ifndef PU_HTTP_CLIENT_PRIVATE_H
#define PU_HTTP_CLIENT_PRIVATE_H

#include "http/client.h"

/*
 * client_private - the connection and the exchange, for client.c (pool and
 * public calls) and connection.c (reading, writing and time).
 */

typedef enum
{
  CONN_CONNECTING,
  CONN_WAITING, /* for the head of the answer */
  CONN_BODY,
  CONN_IDLE,
  CONN_CLOSING,
} pu_conn_phase_t;

typedef struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uv_write_t write;
  pu_http_client_t *client;
  char *address;
  struct sockaddr_storage sockaddr;
  pu_http_call_t *call; /* NULL when idle or closing */
  GString *head;        /* of the request in flight */
  GBytes *body;         /* of the request in flight */
  pu_conn_phase_t phase;
  guint64 last_ms; /* last progress, by the loop's clock */
  guint limit_ms;  /* from last_ms: until the phase times out */
  guint idle_max;  /* idle connections of `address` that are kept */
  guint open_handles;
  bool reused;
  bool writing;
  guint64 within_since; /* loop time at which it was first seen within what
                           pu_http_reader_is_within tells; 0: it is not */
  bool received;        /* a byte of the answer */
  bool refused;         /* nothing listens at the address */
  bool failed;          /* connecting failed at once: reported by the timer */
  bool cut;             /* it was reset, or timed out, while the request was
                           being written */
  bool reset;           /* as the call wants it */
  bool paused;
  bool late; /* the limit passed while the loop was blocked */
} pu_conn_t;

struct pu_http_client
{
  pu_http_client_options_t o;
  GHashTable *idle; /* address -> GQueue of pu_conn_t, newest first */
  GHashTable *all;  /* set of pu_conn_t that are not closing */
  guint idle_count;
  guint closing_count;
  bool freed;
  char *buffer; /* what uv reads into; used within one callback only */
};

struct pu_http_call
{
  pu_http_client_t *client;
  pu_conn_t *conn;
  pu_http_reader_t *reader;
  pu_http_call_events_t events;
  void *data;
  guint first_byte_timeout_ms;
  guint progress_timeout_ms;
  bool connect_only;
  bool written;
  bool ended; /* on_end is running */
};

/* pu_conn_new - a connection to ADDRESS; connects for CALL.  */
pu_conn_t *pu_conn_new (pu_http_client_t *c, const char *address,
                        const struct sockaddr_storage *sockaddr);
void pu_conn_connect (pu_conn_t *conn);

/* pu_conn_send - writes the request that CONN holds.  */
void pu_conn_send (pu_conn_t *conn);

void pu_conn_close (pu_conn_t *conn);
void pu_conn_read (pu_conn_t *conn, bool on);

/* pu_conn_timer - sets the limit of the present phase, from now on.  */
void pu_conn_timer (pu_conn_t *conn, guint limit_ms);

/* pu_call_end - takes CALL off its connection, which is kept or closed, and
   reports.  */
void pu_call_end (pu_http_call_t *call, pu_http_end_t kind);

/* pu_client_keep - puts CONN among the idle ones.  The server has stated a
   time-out of STATED_S seconds for idle connections; 0: none.  */
void pu_client_keep (pu_conn_t *conn, guint stated_s);
void pu_client_unkeep (pu_conn_t *conn);

/* pu_client_closed - CONN's handles are closed.  */
void pu_client_closed (pu_http_client_t *c);

#endif
