#ifndef PU_ROUTING_GOSSIP_H
#define PU_ROUTING_GOSSIP_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * gossip - what backend servers state about themselves to one entry, brought
 * to all entries.
 *
 * Load pattern: hundreds of entries share a backend server that states in its
 * answers how much it bears, and most of them are asked so seldom that they
 * have had no answer since.  What all of them together send to it can be
 * bounded only if each knows of the statement.
 *
 * The entries stand in a ring.  Each tells its neighbours, those 1, 2, 4, 8...
 * places ahead, what is new to it, so that a statement is everywhere after at
 * most log2 (N) steps, in N * log2 (N) messages however many entries hear it
 * from the backend server, and by other ways where some entries are dead or
 * cut off.  Besides, some statements are repeated to one neighbour at
 * a time (anti-entropy), which reaches those that have restarted.  The
 * statement of the latest answer counts.  It is known by its age, as entries
 * share no clock.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

/* What a backend server states; all zero: nothing.  */
typedef struct
{
  const char *server;
  guint64 incarnation;
  double rejections_per_s; /* that it bears before it falls over; 0: any
                              number */
  double limit_per_s;      /* requests that it takes from all entries; 0: any
                              number */
  guint64 crowded_until;   /* it rejects requests for want of room; 0: not */
  guint64 stated_at;
} pu_statement_t;

typedef struct pu_gossip pu_gossip_t;

pu_gossip_t *pu_gossip_new (void);
void pu_gossip_free (pu_gossip_t *g);

/* pu_gossip_set_entries - the entry with the address SELF has OTHERS, of
   char *, in any order.  */
void pu_gossip_set_entries (pu_gossip_t *g, const char *self,
                            const GPtrArray *others);

/* pu_gossip_put - records the statement ST of an answer that this entry got,
   or that another entry told of.  Returns whether it is the latest of its
   server, and says something.  */
bool pu_gossip_put (pu_gossip_t *g, const pu_statement_t *st);

/* pu_gossip_remove - SERVER is gone.  */
void pu_gossip_remove (pu_gossip_t *g, const char *server);

/* pu_gossip_neighbours - returns the number of neighbours.  */
guint pu_gossip_neighbours (const pu_gossip_t *g);

/* pu_gossip_due - appends to OUT, of pu_statement_t, what neighbour I is to be
   told at NOW, and returns its address.  The strings live until the next call
   of another function.  */
const char *pu_gossip_due (pu_gossip_t *g, guint i, guint64 now, GArray *out);

/* pu_gossip_told - what was due to neighbour I has been sent.  */
void pu_gossip_told (pu_gossip_t *g, guint i);

G_END_DECLS

#endif
