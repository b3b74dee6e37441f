#ifndef PU_ROUTING_BRITTLE_H
#define PU_ROUTING_BRITTLE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * brittle - how many requests at once one entry sends to a backend server that
 * falls over if it has to reject more requests in a second than it states.
 *
 * Load pattern: many requests wait for a backend server that reports no load
 * and that may have fewer places from one moment to the next.  Each request
 * that is not known to have a place yet may be rejected.  Those requests and
 * the rejections of the last second together stay within the bound, so that
 * the server never rejects more than that, whenever its places change.
 *
 * One entry alone should send requests to such a server.  It uses three
 * quarters of the bound, which leaves room for a few requests of entries that
 * do not know that the server is brittle.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

typedef struct pu_brittle pu_brittle_t;

/* pu_brittle_new - returns the state of a server that bears PER_S rejections a
   second, of which nothing else is known.  Free it with pu_brittle_free.  */
pu_brittle_t *pu_brittle_new (double per_s);
void pu_brittle_free (pu_brittle_t *b);

/* pu_brittle_set_bound - the server now bears PER_S rejections a second.  */
void pu_brittle_set_bound (pu_brittle_t *b, double per_s);

/* pu_brittle_sent - a request is sent to the server at NOW.  */
void pu_brittle_sent (pu_brittle_t *b, guint64 now);

/* pu_brittle_ended - the request that was sent at SENT_AT has ended in another
   way than by a rejection.  */
void pu_brittle_ended (pu_brittle_t *b, guint64 sent_at, guint64 now);

/* pu_brittle_rejected - the server rejected the request that was sent at
   SENT_AT, for want of room.  */
void pu_brittle_rejected (pu_brittle_t *b, guint64 sent_at, guint64 now);

/* pu_brittle_limit - returns the most requests at once for the server, those
   included that were sent and have not ended.  0: none until
   pu_brittle_free_at.  An entry that is not the OWNER, and sends requests in
   its place for a while, tries one at a time.  */
guint pu_brittle_limit (pu_brittle_t *b, bool owner, guint64 now);

/* pu_brittle_free_at - returns the time when the oldest rejection that counts
   at NOW no longer does, 0 if there is none.  */
guint64 pu_brittle_free_at (const pu_brittle_t *b, guint64 now);

/* pu_brittle_may_have_fallen - whether the server has rejected so many
   requests of this entry lately that a crash may be a fall under them.  An
   entry that is not the OWNER knows few of the rejections.  */
bool pu_brittle_may_have_fallen (const pu_brittle_t *b, bool owner,
                                 guint64 now);

G_END_DECLS

#endif
