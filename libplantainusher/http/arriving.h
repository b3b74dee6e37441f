#ifndef PU_HTTP_ARRIVING_H
#define PU_HTTP_ARRIVING_H

#include <glib.h>

#include "http/server_private.h"

/*
 * arriving - which requests are refused before they are whole, when they hold
 * more together than the process has room for; and the counting of those that
 * h2o reads.
 *
 * h2o reports a request when it is whole, not before.  What it holds meanwhile
 * is measured every few turns of the loop, and again before h2o reads bytes
 * that would pass the bound: the read callback that h2o sets on a socket is
 * replaced by one that measures first and then calls h2o's.
 */

#define PU_ARRIVING_STATUS 503
#define PU_ARRIVING_RETRY "Retry-After: 1\r\n"

/* Collects connections; begins zeroed but for NOW and NEWEST_OVER.  */
typedef struct
{
  guint64 now;
  gsize newest_over; /* the newest is one that holds more bytes */
  void *slow;        /* the slow one that holds most */
  gsize slow_held;
  void *newest;
  guint64 newest_begun;
} pu_arriving_choice_t;

/* pu_arriving_choice_add - a request of CONN that holds HELD bytes, came since
   BEGUN and had its last byte at SINCE.  Older connections come first.  */
void pu_arriving_choice_add (pu_arriving_choice_t *choice, void *conn,
                             gsize held, guint64 begun, guint64 since);

/* pu_arriving_choice_first - the connection whose request is refused first, or
   NULL.  Slow ones give way to others, else they could hold the room for ever;
   the one that holds most, so that few are refused.  Else it is the newest of
   the large ones, so that those that came before become whole.  */
void *pu_arriving_choice_first (const pu_arriving_choice_t *choice);

/* pu_arriving_start - counts from now on what the server S of h2o holds, if
   the process has a limit.  */
void pu_arriving_start (pu_http_server_t *s);

/* pu_arriving_watch - CONN is new, or a request on it has ended.  */
void pu_arriving_watch (pu_server_conn_t *conn);

/* pu_arriving_end - a request on CONN is whole.  */
void pu_arriving_end (pu_server_conn_t *conn);

/* pu_arriving_sweep - closes the connections that were refused.  */
void pu_arriving_sweep (pu_http_server_t *s);

/* pu_arriving_forget - the connection CONN of h2o ends.  */
void pu_arriving_forget (pu_server_conn_t *conn);

#endif
