#ifndef PU_ENTRY_STREAM_H
#define PU_ENTRY_STREAM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * stream - filters the events of one attempt at a completion, so that the
 * caller gets one uninterrupted stream over all attempts.  No I/O.
 *
 * A stream is resumed by requesting it from token N on, where N is the number
 * of tokens that the caller has received.  The events of the attempt are
 * forwarded only where they continue these tokens:
 *   - events with an `id` field: the id is the token's index from 0; an event
 *     whose index was seen before is dropped, a skipped index breaks the
 *     stream;
 *   - otherwise, when the response head confirmed the resume
 *     (X-Resume-Tokens: N): all events with text are forwarded;
 *   - otherwise the events are a replay from token 0: the first N events with
 *     text must have the text that the caller has received, and are dropped.
 */

/* The part of a completion that the caller has received, over all
   attempts.  */
typedef struct
{
  GString *text; /* concatenated text of all tokens */
  guint tokens;  /* number of events with text */
  bool finished; /* the event with the finish reason was forwarded */
} pu_delivered_t;

void pu_delivered_init (pu_delivered_t *s);
void pu_delivered_clear (pu_delivered_t *s);

typedef enum
{
  PU_STREAM_MORE,       /* the stream continues */
  PU_STREAM_DONE,       /* the [DONE] event has arrived */
  PU_STREAM_MISMATCH,   /* an event belongs to another completion, or the text
                           of a replay differs */
  PU_STREAM_BROKEN,     /* a token index was skipped, the backend server
                           reported an error, or an event is invalid or too
                           large */
  PU_STREAM_DUPLICATES, /* the caller has received more tokens than the usage
                           data of the last chunk reports; no retry can correct
                           that */
} pu_stream_result_t;

typedef struct pu_stream pu_stream_t;

/* pu_stream_cb - BYTES are to be forwarded to the caller; they hold TOKENS (0
   or 1) tokens.  */
typedef void (*pu_stream_cb) (void *data, const char *bytes, gsize len,
                              guint tokens);

/* pu_stream_new - creates the filter of an attempt that continues after the
   tokens in SENT.  The filter adds the tokens that it forwards to SENT.
   CONFIRMED: the response head confirmed the resume.  */
pu_stream_t *pu_stream_new (pu_delivered_t *sent, bool confirmed,
                            pu_stream_cb cb, void *data);
void pu_stream_free (pu_stream_t *s);

/* pu_stream_feed - takes LEN BYTES.  Must not be called again after a result
   other than PU_STREAM_MORE.  */
pu_stream_result_t pu_stream_feed (pu_stream_t *s, const char *bytes,
                                   gsize len);

/* pu_stream_token_count - number of tokens forwarded in this attempt.  */
guint pu_stream_token_count (const pu_stream_t *s);

/* pu_stream_event_count - number of events seen in this attempt, dropped ones
   included.  */
guint pu_stream_event_count (const pu_stream_t *s);

G_END_DECLS

#endif
