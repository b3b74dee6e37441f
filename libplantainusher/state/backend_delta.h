#ifndef PU_STATE_BACKEND_DELTA_H
#define PU_STATE_BACKEND_DELTA_H

#include "state/state.h"

G_BEGIN_DECLS

/*
 * backend_delta - a backend server's record encoded as its difference from the
 * previous record.
 *
 * Most reports that reach the log change one of several model copies.  A delta
 * lists the copies that were changed, removed and added.  The hash of the
 * previous record shows that the delta is applied to the right base.
 */

/* pu_backend_delta_encode - returns the encoded PU_COMMAND_BACKEND_DELTA that
   turns OLD into NEXT.  NULL when a delta cannot express the difference: it
   covers changed, removed and appended copies, seq and token only.  */
GBytes *pu_backend_delta_encode (const pu_backend_record *old,
                                 const pu_backend_record *next);

/* pu_backend_delta_matches - whether OLD is the record that D was made from.
 */
bool pu_backend_delta_matches (const pu_backend_delta *d,
                               const pu_backend_record *old);

/* pu_backend_delta_apply - returns the record that D makes of OLD; free it
   with pu_codec_free.  NULL when D refers to a copy that OLD does not have, or
   the result has more than PU_LIST_MAX copies.  Does not check that OLD is the
   base of D: see pu_backend_delta_matches.  */
pu_backend_record *pu_backend_delta_apply (const pu_backend_delta *d,
                                           const pu_backend_record *old);

G_END_DECLS

#endif
