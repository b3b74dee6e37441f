#ifndef PU_ENTRY_EVENTS_H
#define PU_ENTRY_EVENTS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * events - forwards a stream of server-sent events with numeric ids byte for
 * byte, complete events only.  No I/O.
 *
 * An event that the stream leaves incomplete is not forwarded, so that another
 * backend server can resume the stream after the last complete event.  Events
 * whose id the caller has already received are dropped.
 */

typedef struct pu_event_filter pu_event_filter_t;

/* pu_event_filter_cb - BYTES are to be forwarded to the caller; they hold N
   events with an id.  */
typedef void (*pu_event_filter_cb) (void *data, const char *bytes, gsize len,
                                    guint n);

/* pu_event_filter_new - creates a filter that drops events with the id AFTER
   or a lower one.  An event longer than MAX_BYTES breaks the stream.  */
pu_event_filter_t *pu_event_filter_new (guint64 after, gsize max_bytes,
                                        pu_event_filter_cb cb, void *data);
void pu_event_filter_free (pu_event_filter_t *s);

/* pu_event_filter_feed - takes LEN BYTES; the events that they complete are
   given to the callback in one call.  Returns false when an event is too long,
   or after 64 KB without an event that brings something new, such as
   comments.  */
bool pu_event_filter_feed (pu_event_filter_t *s, const char *bytes, gsize len);

/* pu_event_filter_last_id - id of the last event forwarded; if there is none,
   the AFTER given to pu_event_filter_new.  */
guint64 pu_event_filter_last_id (const pu_event_filter_t *s);

/* pu_event_filter_count - number of events with an id that were forwarded.  */
guint pu_event_filter_count (const pu_event_filter_t *s);

/* pu_event_filter_has_partial - whether an incomplete event is buffered.  */
bool pu_event_filter_has_partial (const pu_event_filter_t *s);

G_END_DECLS

#endif
