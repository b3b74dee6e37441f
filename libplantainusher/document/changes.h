#ifndef PU_DOCUMENT_CHANGES_H
#define PU_DOCUMENT_CHANGES_H

#include "document/document.h"

G_BEGIN_DECLS

/*
 * changes - what a document changes in the one before it, by item, and whom
 * that affects.
 *
 * Unlike pu_document_diff, values are compared with their defaults, an item
 * that is added or removed is one change, and each change has its effect.
 *
 * Pure: no I/O, no clock.
 */

/* What a team is granted now, of all instances together.  */
typedef struct
{
  const char *name;
  guint64 units_per_s;
} pu_team_use_t;

/* What is known besides the documents.  */
typedef struct
{
  const pu_team_use_t *uses;
  size_t n_uses; /* 0: not known */
} pu_change_options_t;

/* pu_document_changes - the changes from OLDER (NULL: no document) to NEWER,
   as a new array of {"path","kind","old","new","effect"}, with the kind added,
   removed or changed.  A list of keys is shown as how many there are, a source
   text as its length.  Neither document may be from pu_document_load.  The
   calling function owns the result.  */
json_t *pu_document_changes (const pu_document_t *older,
                             const pu_document_t *newer,
                             const pu_change_options_t *o);

G_END_DECLS

#endif
