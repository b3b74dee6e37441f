#ifndef PU_STATE_SOFTWARE_H
#define PU_STATE_SOFTWARE_H

#include <glib.h>
#include <stdbool.h>

#include "state/generated/state_msg.h"

G_BEGIN_DECLS

/*
 * software - the version of a backend server's own software, in its record.
 *
 * It belongs to one incarnation.  It is a text without an order, and has
 * nothing to do with the versions of models.
 *
 * The record holds it as the version of a copy with a reserved model name.  A
 * member of its own would change the encoding of records, which instances of
 * an earlier release could not decode; they ignore a copy that drains and
 * whose model no document declares.
 */

/* pu_backend_software - returns the software version of B, or "" if it is not
   known.  The string belongs to B.  */
const char *pu_backend_software (const pu_backend_record *b);

/* pu_backend_set_software - sets the software version of B to a copy of
   VERSION, at most PU_NAME_MAX bytes; "": not known.  */
void pu_backend_set_software (pu_backend_record *b, const char *version);

/* pu_copy_is_fact - whether C is not a copy of a model, but states something
   else of its backend server.  */
bool pu_copy_is_fact (const pu_copy_record *c);

/* pu_backend_fact, pu_backend_set_fact - the text that the record of B states
   under the reserved model name NAME, "" if there is none; sets it to a copy
   of VALUE, at most PU_NAME_MAX bytes, "": none.  The string belongs to B.  */
const char *pu_backend_fact (const pu_backend_record *b, const char *name);
void pu_backend_set_fact (pu_backend_record *b, const char *name,
                          const char *value);

G_END_DECLS

#endif
