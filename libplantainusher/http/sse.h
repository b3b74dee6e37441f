#ifndef PU_HTTP_SSE_H
#define PU_HTTP_SSE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * sse - an incremental parser of server-sent events.
 *
 * Bytes come in any pieces; the events that come out depend only on the bytes.
 * Lines may end in LF, CR or CRLF.  An event that the input leaves unfinished
 * is never given out.
 */

typedef struct
{
  const char *raw; /* the event's lines, each ended by LF, and the empty one */
  gsize raw_len;   /* bytes */
  const char *data; /* its data lines joined by LF */
  gsize data_len;   /* bytes */
  bool has_data;    /* false: comments or other fields only */
  const char *name; /* of its field "event"; "" when it has none */
  const char *id;   /* of its field "id"; "" when it has none */
} pu_sse_event_t;

typedef struct pu_sse pu_sse_t;

/* pu_sse_cb - called for each event; the event is valid during the call only.
   Returns false to stop the parser: what is left of the bytes is dropped.  */
typedef bool (*pu_sse_cb) (void *data, const pu_sse_event_t *ev);

typedef enum
{
  PU_SSE_OK,        /* all bytes were taken */
  PU_SSE_STOPPED,   /* the callback returned false */
  PU_SSE_TOO_LARGE, /* an event is longer than the limit */
} pu_sse_result_t;

/* pu_sse_new - a parser that gives events of at most MAX raw bytes to CB.  */
pu_sse_t *pu_sse_new (gsize max, pu_sse_cb cb, void *data);
void pu_sse_free (pu_sse_t *s);

/* pu_sse_feed - takes LEN BYTES.  After another result than PU_SSE_OK the
   parser must not be fed again before pu_sse_reset.  */
pu_sse_result_t pu_sse_feed (pu_sse_t *s, const char *bytes, gsize len);

/* pu_sse_reset - forgets an unfinished event, as for a new connection.  */
void pu_sse_reset (pu_sse_t *s);

/* pu_sse_is_done - whether EV is the end mark of a completion, `[DONE]`.  */
bool pu_sse_is_done (const pu_sse_event_t *ev);

G_END_DECLS

#endif
