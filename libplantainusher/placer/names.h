#ifndef PU_PLACER_NAMES_H
#define PU_PLACER_NAMES_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * names - interns names as integer handles and maps both ways.
 *
 * Handles are consecutive numbers from 0; they are never removed or reused.
 */

typedef struct
{
  GHashTable *handles; /* name -> handle + 1 */
  GPtrArray *names;    /* by handle */
} pu_names_t;

void pu_names_init (pu_names_t *n);
void pu_names_clear (pu_names_t *n);

/* pu_names_intern - returns the handle of NAME and creates the handle when
   NAME is new.  */
guint32 pu_names_intern (pu_names_t *n, const char *name);

/* pu_names_intern_incarnation - as pu_names_intern, for one incarnation of
   NAME.  Each incarnation has its own handle, so that the result of a request
   to an earlier incarnation is never applied to a later one.  */
guint32 pu_names_intern_incarnation (pu_names_t *n, const char *name,
                                     guint64 incarnation);

/* pu_names_find - sets HANDLE to the handle of NAME.  Returns false when NAME
   has none.  */
bool pu_names_find (const pu_names_t *n, const char *name, guint32 *handle);

/* pu_names_name - returns the name of HANDLE, "?" when HANDLE is unknown.  */
const char *pu_names_name (const pu_names_t *n, guint32 handle);

guint32 pu_names_count (const pu_names_t *n);

G_END_DECLS

#endif
