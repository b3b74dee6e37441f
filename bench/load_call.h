#ifndef BENCH_LOAD_CALL_H
#define BENCH_LOAD_CALL_H

#include <glib.h>
#include <stdbool.h>

#include "answer.h"
#include "base/histogram.h"
#include "http/client.h"

G_BEGIN_DECLS

/*
 * load_call - one attempt at a request, and the check of its answer: whole,
 * its own id, and exactly the text that a fake engine gives.
 */

typedef enum
{
  LOAD_OK,
  LOAD_REFUSED,  /* 429 or 503, said to be not run */
  LOAD_NOT_SENT, /* no connection */
  LOAD_CUT,      /* no whole answer came after its head */
  LOAD_WRONG,    /* another id or another text: never acceptable */
  LOAD_UNKNOWN,  /* nothing tells whether it ran */
  LOAD_FAILED,   /* another status */
  LOAD_OUTCOMES
} load_outcome_t;

typedef struct
{
  load_outcome_t outcome;
  int status;           /* 0: no head came */
  guint retry_after_ms; /* 0: not told */
  gint64 first_us;      /* first token, g_get_monotonic_time; 0: none */
  gint64 end_us;
  char *answer; /* plain services: the body; owned by the call */
} load_result_t;

typedef void (*load_call_cb) (void *data, const load_result_t *r);

typedef struct
{
  const char *address;
  const char *id;
  const char *service;             /* NULL: not told */
  const fake_question_t *question; /* NULL: a call of a plain service */
  const char *body;
  const char *key; /* its idempotency key */
  guint priority;
  guint timeout_ms;
  pu_histogram_t *gaps; /* microseconds between tokens */
  load_call_cb cb;      /* called once */
  void *data;
} load_call_options_t;

/* load_call_start - begins the attempt.  What O points to must stay until CB
   is called.  Returns false when the address can't be read.  */
bool load_call_start (pu_http_client_t *client, const load_call_options_t *o);

G_END_DECLS

#endif
