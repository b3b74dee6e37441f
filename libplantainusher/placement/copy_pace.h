#ifndef PU_PLACEMENT_COPY_PACE_H
#define PU_PLACEMENT_COPY_PACE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * copy_pace - how long a daemon waits before it asks the leader again for a
 * copy that is not ready.
 *
 * Load pattern: many models lose their copies at once, as when a rack of
 * engines fails, and each of hundreds of daemons has requests that wait for
 * each of these models.  Asking every tenth of a second, they would take all
 * of the leader's time, and it would lose its leadership to them.  The
 * interval therefore grows with the number of askers, so that the leader gets
 * at most a fixed number of questions a second, and shrinks again when they
 * become fewer.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

typedef struct
{
  guint64 window_started_at;
  guint asked; /* questions in the current window */
  guint32 interval_ms;
} pu_copy_pace_t;

/* pu_copy_pace_init - no daemon has asked yet.  */
void pu_copy_pace_init (pu_copy_pace_t *p, guint64 now);

/* pu_copy_pace_add - counts a question; returns the milliseconds after which
   its daemon may ask again.  */
guint32 pu_copy_pace_add (pu_copy_pace_t *p, guint64 now);

G_END_DECLS

#endif
