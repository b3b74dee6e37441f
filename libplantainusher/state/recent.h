#ifndef PU_STATE_RECENT_H
#define PU_STATE_RECENT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * recent - an index of names, ordered by the number of their last change.
 *
 * Each daemon follows the records of all backend servers.  With this index,
 * the cost of reading changes grows with the number of changed records, not
 * with the number of all records.
 */

typedef struct pu_recent pu_recent_t;

typedef void pu_recent_fn (const char *name, void *data);

pu_recent_t *pu_recent_new (void);
void pu_recent_free (pu_recent_t *r);

/* pu_recent_note - records that change number CHANGE changed NAME, which is
   added when it is new.  CHANGE must not be below that of an earlier call.  */
void pu_recent_note (pu_recent_t *r, const char *name, uint64_t change);

/* pu_recent_drop - removes NAME.  Does nothing when NAME is unknown.  */
void pu_recent_drop (pu_recent_t *r, const char *name);

/* pu_recent_each - calls FN with each name whose last change has a number
   above SINCE, the latest change first.  FN must not modify R.  */
void pu_recent_each (const pu_recent_t *r, uint64_t since, pu_recent_fn *fn,
                     void *data);

G_END_DECLS

#endif
