#ifndef PU_STATE_APPLY_H
#define PU_STATE_APPLY_H

#include "state/tables.h"

G_BEGIN_DECLS

/*
 * apply - one function for each command, grouped by subject in apply_*.c.
 *
 * Each function changes the tables and sets the reply.  It increments
 * state->changes when it changes what the public copies hold.
 */

typedef struct
{
  pu_state_t *state;
  uint64_t position; /* of the command in the log */
  pu_reply *reply;   /* its outcome is PU_OUTCOME_DONE until set */
} pu_apply_t;

/* pu_apply_set_outcome - sets the outcome of the reply and its detail, which
   is formatted as by printf.  */
void pu_apply_set_outcome (pu_apply_t *a, pu_outcome outcome,
                           const char *format, ...) G_GNUC_PRINTF (3, 4);

/* pu_apply_has_break - returns whether a test injects the fault RULE.  */
bool pu_apply_has_break (const pu_state_t *s, pu_state_break_t rule);

/* pu_apply_doc_version - returns the version of the document in force; 0
   before the first.  */
uint64_t pu_apply_doc_version (const pu_state_t *s);

/* pu_apply_abandon_claims - closes the open claims of OWNER, at INCARNATION or
   an older one, with PU_CLAIM_UNKNOWN.  Their requests may have run, so they
   must not run again.  */
void pu_apply_abandon_claims (pu_state_t *s, const char *owner,
                              uint64_t incarnation);

void pu_apply_submit (pu_apply_t *a, const pu_submit *c);
void pu_apply_member_up (pu_apply_t *a, const pu_member_record *c);
void pu_apply_member_down (pu_apply_t *a, const pu_down *c);
void pu_apply_member_leaving (pu_apply_t *a, const pu_down *c);
void pu_apply_backend_up (pu_apply_t *a, const pu_backend_record *c);
void pu_apply_backend_delta (pu_apply_t *a, const pu_backend_delta *c);
void pu_apply_backend_down (pu_apply_t *a, const pu_down *c);
void pu_apply_backend_leaving (pu_apply_t *a, const pu_down *c);
void pu_apply_reserve (pu_apply_t *a, const pu_order_record *c);
void pu_apply_release (pu_apply_t *a, const pu_release *c);
void pu_apply_claim (pu_apply_t *a, const pu_claim_request *c);
void pu_apply_claim_done (pu_apply_t *a, const pu_claim_done *c);
void pu_apply_strike (pu_apply_t *a, const pu_strike *c);
void pu_apply_lift (pu_apply_t *a, uint64_t fingerprint);

G_END_DECLS

#endif
