#ifndef BENCH_LOAD_REQUEST_H
#define BENCH_LOAD_REQUEST_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "load_call.h"

G_BEGIN_DECLS

/*
 * load_request - a request as a caller makes it: asks which entries to use,
 * keeps the answer for its time to live, tries again where that is safe.
 *
 * Tried again: a connection that failed, at once while addresses are left; a
 * refusal, after its Retry-After; a plain call with an idempotency key whose
 * fate is unknown.
 */

typedef struct load_requests load_requests_t;

typedef struct
{
  uv_loop_t *loop;
  guint32 seed;        /* of the choice among addresses */
  char **entries;      /* asked for addresses; NULL: go to `direct` */
  char **direct;       /* addresses used as they are */
  const char *service; /* NULL: none */
  guint priority;
  guint timeout_ms;
  guint retries;   /* attempts after the first */
  guint target_ms; /* to the first token, or to the whole plain answer */
} load_requests_options_t;

typedef struct
{
  guint64 started;
  guint64 outcomes[LOAD_OUTCOMES];
  guint64 in_target;
  guint64 attempts;
  guint64 resends;       /* of plain calls */
  pu_histogram_t *first; /* microseconds from the arrival */
  pu_histogram_t *gaps;
  pu_histogram_t *total;
} load_stats_t;

typedef void (*load_done_cb) (void *data);

load_requests_t *load_requests_new (const load_requests_options_t *o);
void load_requests_free (load_requests_t *l);

/* load_requests_ready - whether an address is known.  */
bool load_requests_ready (const load_requests_t *l);

/* load_requests_start - makes a request that arrived at ARRIVED_US.  BODY,
   from fake_question_body, is taken; NULL makes a plain call.  CB is called at
   its end.  */
void load_requests_start (load_requests_t *l, char *body, gint64 arrived_us,
                          load_done_cb cb, void *data);

guint load_requests_open (const load_requests_t *l);
const load_stats_t *load_requests_stats (const load_requests_t *l);

/* load_stats_json - the figures of SECONDS as a new object.  */
json_t *load_stats_json (const load_stats_t *s, double seconds);

G_END_DECLS

#endif
