#ifndef PU_STATE_RECENT_H
#define PU_STATE_RECENT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * recent - names in the order of their last change.
 *
 * A core.  The load that it answers: each daemon follows the records of all
 * backend servers, and a change of one must not cost a look at the others.
 */

typedef struct pu_recent pu_recent_t;

typedef void pu_recent_fn (const char *name, void *data);

pu_recent_t *pu_recent_new (void);
void pu_recent_free (pu_recent_t *r);

/* pu_recent_note - NAME changed, as number CHANGE; numbers never fall.  */
void pu_recent_note (pu_recent_t *r, const char *name, uint64_t change);

/* pu_recent_drop - NAME is not there any more.  */
void pu_recent_drop (pu_recent_t *r, const char *name);

/* pu_recent_each - calls FN for each name whose last change has a number above
   SINCE, the newest first.  FN changes nothing in R.  */
void pu_recent_each (const pu_recent_t *r, uint64_t since, pu_recent_fn *fn,
                     void *data);

G_END_DECLS

#endif
