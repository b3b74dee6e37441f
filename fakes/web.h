#ifndef FAKES_WEB_H
#define FAKES_WEB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "faults.h"
#include "http/server.h"

G_BEGIN_DECLS

/*
 * web - what the fakes share of serving HTTP.
 */

typedef void (*web_handler_t) (void *data, pu_http_request_t *r);

/* web_listen - serves on ADDRESS, "host:port" by IP number; ends the process
   when it can't be had.  */
void web_listen (uv_loop_t *loop, const char *address, web_handler_t handler,
                 void *data);

/* web_answer - answers whole with ROOT, which is taken; OUTCOME (may be NULL)
   goes into X-Outcome, and the request's id back into X-Request-Id.  */
void web_answer (pu_http_request_t *r, int status, const char *outcome,
                 json_t *root);

/* web_on_fault - carries out POST /fake/fault.  */
void web_on_fault (pu_http_request_t *r, fake_faults_t *f);

/* web_is_silent - whether R's connection is held silent by a switch.  */
bool web_is_silent (const pu_http_request_t *r, const fake_faults_t *f);

/* web_on_gone - calls CB when the peer leaves before the answer has ended;
   a NULL CB stops that.  */
void web_on_gone (pu_http_request_t *r, void (*cb) (void *data), void *data);

G_END_DECLS

#endif
