#ifndef PU_STATE_CHANGE_INDEX_H
#define PU_STATE_CHANGE_INDEX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * change_index - an index of names, ordered by the number of their last
 * change.
 *
 * Each daemon follows the records of all backend servers.  With this index,
 * the cost of reading changes grows with the number of changed records, not
 * with the number of all records.
 */

typedef struct pu_change_index pu_change_index_t;

typedef void pu_change_index_fn (const char *name, void *data);

pu_change_index_t *pu_change_index_new (void);
void pu_change_index_free (pu_change_index_t *c);

/* pu_change_index_record - records that change number CHANGE changed NAME,
   which is added when it is new.  CHANGE must not be below that of an earlier
   call.  */
void pu_change_index_record (pu_change_index_t *c, const char *name,
                             uint64_t change);

/* pu_change_index_remove - removes NAME.  Does nothing when NAME is unknown.
 */
void pu_change_index_remove (pu_change_index_t *c, const char *name);

/* pu_change_index_find_oldest - returns the name whose last change is the
   oldest among those for which MATCHES returns true, or NULL.  It belongs to
   C.  MATCHES must not modify C.  */
typedef bool pu_change_index_match_fn (const char *name, void *data);
const char *pu_change_index_find_oldest (const pu_change_index_t *c,
                                         pu_change_index_match_fn *matches,
                                         void *data);

/* pu_change_index_each_since - calls FN with each name whose last change has a
   number above SINCE, the latest change first.  FN must not modify C.  */
void pu_change_index_each_since (const pu_change_index_t *c, uint64_t since,
                                 pu_change_index_fn *fn, void *data);

G_END_DECLS

#endif
