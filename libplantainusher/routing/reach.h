#ifndef PU_ROUTING_REACH_H
#define PU_ROUTING_REACH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * reach - whether this instance reaches the backend servers at all.
 *
 * Load pattern: an instance loses its way to all backend servers, while
 * callers and the other instances still reach it.  It then sees each backend
 * server refuse connections or not answer, as if all had crashed.  One that
 * does so may have crashed; with two or more in a row, and no connection made
 * in between, the instance itself is in doubt, and probes of other backend
 * servers decide.  A cut off instance goes on probing, and reaches the backend
 * servers again when all probes of a round succeed.  The loss of a part of
 * them is another load (routing/lost.h): rounds are large enough that it is
 * not taken for this one now and then.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

typedef enum
{
  PU_REACH_GOOD,
  PU_REACH_IN_DOUBT, /* probes decide */
  PU_REACH_CUT_OFF
} pu_reach_state_t;

/* Backend servers that are kept in mind as failed.  */
#define PU_REACH_FAILED_MAX 2

typedef struct
{
  pu_reach_state_t state;
  guint failed[PU_REACH_FAILED_MAX]; /* numbers of backend servers to which no
                                        connection was made lately */
  guint n_failed;
  guint64 failed_at;     /* latest of these failures */
  guint64 next_round_at; /* of probes */
  bool round_counts;     /* its probes were begun in this doubt */
  guint probes_open;
  guint probes_good; /* of the round */
  guint probes_bad;  /* of the round */
} pu_reach_t;

/* pu_reach_init - all backend servers are reached as far as is known.  */
void pu_reach_init (pu_reach_t *r);

/* pu_reach_failed - no connection to the backend server numbered SERVER was
   made.  */
void pu_reach_failed (pu_reach_t *r, guint server, guint64 now);

/* pu_reach_connected - a new connection to a backend server was made.  */
void pu_reach_connected (pu_reach_t *r);

/* pu_reach_probes_due - returns how many backend servers to probe now; these
   probes count as begun.  */
guint pu_reach_probes_due (pu_reach_t *r, guint64 now);

/* pu_reach_probe_ended - a probe ended; GOOD: a connection was made.  */
void pu_reach_probe_ended (pu_reach_t *r, bool good);

G_END_DECLS

#endif
