#ifndef PU_PLACER_NAMES_H
#define PU_PLACER_NAMES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * names - names with small handles, both ways.  Handles count from 0 and are
 * never given back.
 */

typedef struct
{
  GHashTable *handles; /* name -> handle + 1 */
  GPtrArray *names;    /* by handle */
} pu_names_t;

void pu_names_init (pu_names_t *n);
void pu_names_clear (pu_names_t *n);

/* pu_names_intern - the handle of NAME, made when new.  */
guint32 pu_names_intern (pu_names_t *n, const char *name);

/* pu_names_intern_incarnation - the handle of one incarnation of NAME: what
   was asked of an earlier one never counts for a later one.  */
guint32 pu_names_intern_incarnation (pu_names_t *n, const char *name,
                                     guint64 incarnation);

/* pu_names_find - false when NAME has no handle.  */
bool pu_names_find (const pu_names_t *n, const char *name, guint32 *handle);

/* pu_names_name - the name of HANDLE, or "?" for a handle that is none.  */
const char *pu_names_name (const pu_names_t *n, guint32 handle);

guint32 pu_names_count (const pu_names_t *n);

G_END_DECLS

#endif
