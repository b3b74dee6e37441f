#ifndef PU_STATE_DELTA_H
#define PU_STATE_DELTA_H

#include "state/state.h"

G_BEGIN_DECLS

/*
 * delta - a document encoded as its difference from the document in force.
 *
 * A delta holds the lengths of the common prefix and the common suffix of the
 * base text and the new text, and what stands between them in the new text:
 * its bytes, or hunks (state/hunks.h) where these are shorter, as when a
 * change touches several places.  A route can occur in two places of the
 * document: in a deployment of 93 daemons, a change of one route without hunks
 * sent the 36 KB between them to each daemon, two thirds of all bytes between
 * the daemons.  The hash of the new text shows that a delta was applied to the
 * right base.
 */

/* Flag in pu_submit.suffix: the text is hunks, to be applied to what stands
   between the prefix and the suffix of the base text.  */
#define PU_DELTA_SUFFIX_HUNKS_FLAG 0x80000000u

/* pu_delta_apply - returns the full text that C submits, as a new string.  A
   delta is applied to the document in force in S.  NULL when C is a delta that
   does not fit this document.  */
char *pu_delta_apply (const pu_state_t *s, const pu_submit *c);

/* pu_delta_target_hash - returns the XXH3 hash of the full text that C
 * submits.  */
uint64_t pu_delta_target_hash (const pu_submit *c);

G_END_DECLS

#endif
