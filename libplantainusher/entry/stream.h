#ifndef PU_ENTRY_STREAM_H
#define PU_ENTRY_STREAM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * stream - filters the events of one attempt at a completion, so that the
 * client gets one uninterrupted stream over all attempts.  No I/O.
 *
 * A stream is resumed by requesting it from token N on.  The events of the
 * attempt are forwarded only where they continue what the client has received:
 *   - events with an `id` field: the id is the token's index from 0; an event
 *     whose index was seen before is dropped, a skipped index breaks the
 *     stream;
 *   - otherwise, when the response head confirmed the resume
 *     (X-Resume-Tokens: N): from the first event on;
 *   - otherwise the events are a replay: the first N must have the text that
 *     the client has received, and are dropped.
 */

/* What the client has received.  */
typedef struct
{
  GString *text; /* of all tokens */
  guint tokens;  /* events with text */
  bool finished; /* the event with the finish reason was forwarded */
} pu_delivered_t;

void pu_delivered_init (pu_delivered_t *s);
void pu_delivered_clear (pu_delivered_t *s);

typedef enum
{
  PU_STREAM_MORE,       /* the stream continues */
  PU_STREAM_DONE,       /* the end mark has arrived */
  PU_STREAM_MISMATCH,   /* an event of another completion, or a replay with
                          another text */
  PU_STREAM_BROKEN,     /* a skipped index, an error, or an event that can't
                           be read or is too large */
  PU_STREAM_DUPLICATES, /* the client has received more tokens than the usage
                        at the end reports: no retry can correct that */
} pu_stream_result_t;

typedef struct pu_stream pu_stream_t;

/* pu_stream_cb - BYTES are to be forwarded to the client; they hold TOKENS (0
   or 1) tokens.  */
typedef void (*pu_stream_cb) (void *data, const char *bytes, gsize len,
                              guint tokens);

/* pu_stream_new - a filter for an attempt that was to resume after SENT, which
   the filter updates.  CONFIRMED: the response head confirmed the resume.  */
pu_stream_t *pu_stream_new (pu_delivered_t *sent, bool confirmed,
                            pu_stream_cb cb, void *data);
void pu_stream_free (pu_stream_t *s);

/* pu_stream_feed - takes LEN BYTES.  Must not be called again after a result
   other than PU_STREAM_MORE.  */
pu_stream_result_t pu_stream_feed (pu_stream_t *s, const char *bytes,
                                   gsize len);

/* pu_stream_tokens - number of tokens forwarded in this attempt.  */
guint pu_stream_tokens (const pu_stream_t *s);

/* pu_stream_events - number of events seen in this attempt, dropped ones
   included.  */
guint pu_stream_events (const pu_stream_t *s);

G_END_DECLS

#endif
