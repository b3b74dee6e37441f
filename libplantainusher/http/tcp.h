#ifndef PU_HTTP_TCP_H
#define PU_HTTP_TCP_H

#include <uv.h>

/*
 * tcp - options of a connection: no delay, and limits after which the kernel
 * gives up a peer that can't be reached any more.  Without them a connection
 * that something between the two ends has lost track of stays open for good.
 */

/* pu_http_tcp_tune - to be called once TCP is connected.  A peer that does not
   acknowledge anything for a few seconds counts as gone.  */
void pu_http_tcp_tune (uv_tcp_t *tcp);

#endif
