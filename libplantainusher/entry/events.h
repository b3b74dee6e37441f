#ifndef PU_ENTRY_EVENTS_H
#define PU_ENTRY_EVENTS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * events - a stream of numbered server-sent events, passed on byte by byte as
 * it came, whole events only.  No I/O.
 *
 * An event that the stream leaves unfinished is not given out, so that another
 * backend server can go on behind the last whole one.  Events whose number the
 * caller has already had are dropped.
 */

typedef struct pu_events pu_events_t;

/* pu_events_cb - BYTES, N whole events, are to go to the caller.  */
typedef void (*pu_events_cb) (void *data, const char *bytes, gsize len,
                              guint n);

/* pu_events_new - events numbered AFTER or lower are dropped; an event longer
   than MAX bytes breaks the stream.  */
pu_events_t *pu_events_new (guint64 after, gsize max, pu_events_cb cb,
                            void *data);
void pu_events_free (pu_events_t *s);

/* pu_events_feed - takes bytes; the events that become whole come in one call
   of the callback.  False: an event is too long.  */
bool pu_events_feed (pu_events_t *s, const char *bytes, gsize len);

/* pu_events_flush - gives out what is held of an unfinished event: the stream
   is whole by its length.  */
void pu_events_flush (pu_events_t *s);

/* pu_events_last - number of the last event given out, or AFTER.  */
guint64 pu_events_last (const pu_events_t *s);

/* pu_events_count - events given out.  */
guint pu_events_count (const pu_events_t *s);

/* pu_events_unfinished - whether bytes of an unfinished event are held.  */
bool pu_events_unfinished (const pu_events_t *s);

G_END_DECLS

#endif
