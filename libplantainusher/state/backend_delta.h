#ifndef PU_STATE_BACKEND_DELTA_H
#define PU_STATE_BACKEND_DELTA_H

#include "state/state.h"

G_BEGIN_DECLS

/*
 * backend_delta - the record of a backend server as what differs from the one
 * before.
 *
 * Most reports that reach the log change one copy of some.  A delta names the
 * copies that changed, went and came; the hash of the record before proves
 * that it is applied to the right one.
 */

/* pu_backend_delta_make - the command that turns OLD into NEXT, encoded; NULL
   when they differ in more than copies, report and token.  */
GBytes *pu_backend_delta_make (const pu_backend_record *old,
                               const pu_backend_record *next);

/* pu_backend_delta_fits - whether D was made from OLD.  */
bool pu_backend_delta_fits (const pu_backend_delta *d,
                            const pu_backend_record *old);

/* pu_backend_delta_apply - the record that D makes of OLD, to be freed with
   pu_codec_free; NULL when D names a copy that OLD does not have.  */
pu_backend_record *pu_backend_delta_apply (const pu_backend_delta *d,
                                           const pu_backend_record *old);

G_END_DECLS

#endif
