#ifndef PU_STATE_DELTA_H
#define PU_STATE_DELTA_H

#include "state/state.h"

G_BEGIN_DECLS

/*
 * delta - a document as what differs from the one before.
 *
 * A delta is the lengths that both texts share at the start and at the end,
 * and what stands between: the new bytes, or hunks (state/hunks.h) where these
 * are shorter, as where a change touches several places.  A changed route of
 * the users' platform stands in the document twice, and the 36 KB between went
 * to each of 93 daemons, as two thirds of all bytes between them.  The hash of
 * the whole proves that a delta was applied to the right text.
 */

/* In the suffix: the text is hunks of what the old text has in its place.  */
#define PU_DELTA_HUNKS 0x80000000u

/* pu_delta_text - the text that C submits, as a new string, given the
   document in force in S; NULL when C is a delta that does not fit it.  */
char *pu_delta_text (const pu_state_t *s, const pu_submit *c);

/* pu_delta_hash - the hash of the whole text that C submits.  */
uint64_t pu_delta_hash (const pu_submit *c);

G_END_DECLS

#endif
