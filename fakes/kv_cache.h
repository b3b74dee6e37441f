#ifndef FAKES_KV_CACHE_H
#define FAKES_KV_CACHE_H

#include <glib.h>
#include <jansson.h>

#include "answer.h"
#include "faults.h"

G_BEGIN_DECLS

/*
 * kv_cache - which prompt blocks a fake engine still holds, oldest out first,
 * and the numbered events about them, which come late and can have gaps.
 */

typedef struct fake_kv_cache fake_kv_cache_t;

/* fake_kv_cache_new - holds BLOCKS; an event is told DELAY_MS late.  */
fake_kv_cache_t *fake_kv_cache_new (guint blocks, guint delay_ms,
                                    fake_faults_t *faults);
void fake_kv_cache_free (fake_kv_cache_t *c);

/* fake_kv_cache_use - puts the blocks of Q's prompt in; returns how many bytes
   of the prompt were there already.  */
guint fake_kv_cache_use (fake_kv_cache_t *c, const fake_question_t *q,
                         guint64 now);

guint fake_kv_cache_blocks (const fake_kv_cache_t *c);

/* fake_kv_cache_events - the due events as a new object, or NULL for none;
   they are not told again.  */
json_t *fake_kv_cache_events (fake_kv_cache_t *c, guint64 now);

G_END_DECLS

#endif
