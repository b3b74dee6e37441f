#ifndef FAKES_BATCH_H
#define FAKES_BATCH_H

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "answer.h"
#include "faults.h"
#include "kv_cache.h"
#include "ledger.h"
#include "web.h"

G_BEGIN_DECLS

/*
 * batch - continuous batching of a fake engine.
 *
 * Requests wait by priority, then by arrival.  Each step reads a part of the
 * prompts not read yet and gives one token to each other request; its time
 * grows mildly with the batch.
 */

typedef struct fake_batch fake_batch_t;

typedef struct
{
  uv_loop_t *loop;
  double prefill_ms_per_ktoken;
  double decode_ms; /* of a step with one request */
  guint max_batch;
  guint max_waiting;
  bool replay;    /* does not skip tokens when asked to resume */
  bool event_ids; /* each token's event has its index as `id` */
  fake_ledger_t *ledger;
  fake_faults_t *faults;
  fake_kv_cache_t *cache;
} fake_batch_options_t;

fake_batch_t *fake_batch_new (const fake_batch_options_t *o);

/* fake_batch_add - takes a request over: the request R and what Q holds.  The
   first SKIP tokens are not sent, and the answer's head says so.  Returns
   false, and takes nothing, when too many wait.  */
bool fake_batch_add (fake_batch_t *b, pu_http_request_t *r, fake_question_t *q,
                     const char *id, guint priority, guint skip);

guint fake_batch_running (const fake_batch_t *b);
guint fake_batch_waiting (const fake_batch_t *b);

/* fake_batch_busy - requests of MODEL, waiting or running.  */
guint fake_batch_busy (const fake_batch_t *b, const char *model);

/* fake_batch_tokens - tokens given out so far.  */
guint64 fake_batch_tokens (const fake_batch_t *b);

/* fake_batch_add_state - adds counts to an object of /fake/state.  */
void fake_batch_add_state (const fake_batch_t *b, json_t *out);

G_END_DECLS

#endif
