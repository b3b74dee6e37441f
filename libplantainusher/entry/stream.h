#ifndef PU_ENTRY_STREAM_H
#define PU_ENTRY_STREAM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * stream - the events of one attempt at a completion, and what a caller has
 * got of the answer over all attempts.  No I/O.
 *
 * A stream is resumed by asking for it from token N on.  The attempt's events
 * go to the caller only where they follow what the caller has:
 *   - events with an `id` field: the id is the token's index from 0; an index
 *     seen before is dropped, one that skips is a broken stream;
 *   - else, when the answer's head confirmed the resume (X-Resume-Tokens: N):
 *     from the first event on;
 *   - else the events are a replay: the first N must have the text that the
 *     caller has, and are dropped.
 */

/* What the caller has got.  */
typedef struct
{
  GString *text; /* of all tokens */
  guint tokens;  /* events with text */
  bool finished; /* the event with the finish reason was passed on */
} pu_delivered_t;

void pu_delivered_init (pu_delivered_t *s);
void pu_delivered_clear (pu_delivered_t *s);

typedef enum
{
  PU_STREAM_MORE,       /* the stream goes on */
  PU_STREAM_DONE,       /* the end mark came */
  PU_STREAM_MISMATCH,   /* an event of another answer, or a replay that
                          differs */
  PU_STREAM_BROKEN,     /* a gap, no event, or an event over the limit */
  PU_STREAM_DUPLICATES, /* the caller has got more tokens than the usage at the
                        end tells: the answer can't be mended */
} pu_stream_result_t;

typedef struct pu_stream pu_stream_t;

/* pu_stream_cb - BYTES are to go to the caller; TOKENS (0 or 1) are in
   them.  */
typedef void (*pu_stream_cb) (void *data, const char *bytes, gsize len,
                              guint tokens);

/* pu_stream_new - the events of an attempt that was asked to resume after
   SENT, which it keeps up to date.  CONFIRMED: the head said so.  */
pu_stream_t *pu_stream_new (pu_delivered_t *sent, bool confirmed,
                            pu_stream_cb cb, void *data);
void pu_stream_free (pu_stream_t *s);

/* pu_stream_feed - takes bytes; after another result than PU_STREAM_MORE it
   must not be called again.  */
pu_stream_result_t pu_stream_feed (pu_stream_t *s, const char *bytes,
                                   gsize len);

/* pu_stream_tokens - tokens passed on by this attempt.  */
guint pu_stream_tokens (const pu_stream_t *s);

/* pu_stream_events - events seen by this attempt, dropped ones included.  */
guint pu_stream_events (const pu_stream_t *s);

G_END_DECLS

#endif
