#ifndef PU_ROUTING_LOST_H
#define PU_ROUTING_LOST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * lost - the backend servers that this instance does not reach, though they
 * run.
 *
 * Load pattern: an instance loses its way to a part of the backend servers for
 * seconds, while the others accept its connections and other instances reach
 * them all.  Reach is a matter of an instance and a backend server then: one
 * answer for the instance would change with each connection.  A lost backend
 * server gets no requests until a probe reaches it.  Probes go in rounds, few
 * while one of them fails, twice as many after each round in which all
 * succeed, so that hundreds of backend servers are back within some rounds.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.  Backend
 * servers are opaque handles.
 */

typedef struct pu_lost pu_lost_t;

pu_lost_t *pu_lost_new (void);
void pu_lost_free (pu_lost_t *l);

/* pu_lost_add - SERVER is lost.  Returns false if it was before.  */
bool pu_lost_add (pu_lost_t *l, gpointer server);

/* pu_lost_remove - SERVER is reached, or gone.  Returns false if it was not
   lost.  */
bool pu_lost_remove (pu_lost_t *l, gpointer server);

bool pu_lost_contains (const pu_lost_t *l, gconstpointer server);
guint pu_lost_count (const pu_lost_t *l);

/* pu_lost_probes_due - appends the backend servers to probe now to SERVERS;
   these probes count as begun.  */
void pu_lost_probes_due (pu_lost_t *l, guint64 now, GPtrArray *servers);

/* pu_lost_probe_ended - a probe ended; GOOD: a connection was made, or the
   backend server is gone.  It stays lost until it is removed.  */
void pu_lost_probe_ended (pu_lost_t *l, bool good);

G_END_DECLS

#endif
