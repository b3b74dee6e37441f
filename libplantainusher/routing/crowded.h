#ifndef PU_ROUTING_CROWDED_H
#define PU_ROUTING_CROWDED_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * crowded - when a plain backend server has no room for what all entries send
 * it, and how many requests at once the entry that then sends them all may
 * send.
 *
 * Load pattern: many entries with a few requests each share a backend server
 * that reports no load and bears any number of rejections.  After a burst it
 * rejects some requests though it can serve all that come afterwards; under a
 * lasting overload most attempts of each entry are rejections.  One rejection
 * says that the server was full at that moment, of the requests of all
 * entries.  Only a share of them over a time says that it is crowded.
 *
 * The limit is what the server itself has accepted: a request that was sent
 * as the n-th at once and rejected shows that n - 1 fit.  Above that the limit
 * is probed upwards, in steps that double as long as nothing is rejected,
 * because a limit that is too low keeps callers waiting before a server with
 * room, while one that is too high costs a rejection.  It is kept when the
 * server is no longer crowded.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

typedef struct pu_crowded pu_crowded_t;

/* pu_crowded_new - returns the state of a server of which nothing is known.
   Free it with pu_crowded_free.  */
pu_crowded_t *pu_crowded_new (void);
void pu_crowded_free (pu_crowded_t *c);

/* pu_crowded_sent - this entry sends a request to the server at NOW.  */
void pu_crowded_sent (pu_crowded_t *c, guint64 now);

/* pu_crowded_ended - the request that was sent at SENT_AT has ended in another
   way than by a rejection.  */
void pu_crowded_ended (pu_crowded_t *c, guint64 sent_at, guint64 now);

/* pu_crowded_rejected - the server rejected the request that was sent at
   SENT_AT, for want of room.  */
void pu_crowded_rejected (pu_crowded_t *c, guint64 sent_at, guint64 now);

/* pu_crowded_is_found - whether so many of the last requests of this entry
   were rejected that the server is crowded.  */
bool pu_crowded_is_found (pu_crowded_t *c, guint64 now);

/* pu_crowded_limit - returns the most requests at once that this entry may
   send if it sends those of all; G_MAXUINT: not known, any number.  */
guint pu_crowded_limit (const pu_crowded_t *c);

G_END_DECLS

#endif
