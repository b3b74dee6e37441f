#ifndef PU_STATE_SLOTS_H
#define PU_STATE_SLOTS_H

#include <glib.h>

#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * slots - how many requests a plain backend server runs at once, as it states,
 * in its record.
 *
 * The record holds the number as the version of a copy with a reserved model
 * name (state/software.h says why).  The slots of engines are in the document.
 */

/* pu_backend_slots - returns the slots of B, or 0 if they are not known.  */
guint pu_backend_slots (const pu_backend_record *b);

/* pu_backend_set_slots - sets the slots of B; 0: not known.  */
void pu_backend_set_slots (pu_backend_record *b, guint slots);

G_END_DECLS

#endif
