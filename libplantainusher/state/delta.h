#ifndef PU_STATE_DELTA_H
#define PU_STATE_DELTA_H

#include "state/state.h"

G_BEGIN_DECLS

/*
 * delta - a document as what differs from the one before.
 *
 * Most changes touch one place of the canonical text, so a delta is the
 * lengths that both texts share at the start and at the end, and the new bytes
 * between.  The hash of the whole proves that it was applied to the right
 * text.
 */

/* pu_delta_text - the text that C submits, as a new string, given the
   document in force in S; NULL when C is a delta that does not fit it.  */
char *pu_delta_text (const pu_state_t *s, const pu_submit *c);

/* pu_delta_hash - the hash of the whole text that C submits.  */
uint64_t pu_delta_hash (const pu_submit *c);

G_END_DECLS

#endif
