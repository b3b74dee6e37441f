#ifndef PU_STATE_APPLY_H
#define PU_STATE_APPLY_H

#include "state/tables.h"

G_BEGIN_DECLS

/*
 * apply - one function for each command, grouped by duty in apply_*.c.
 *
 * Each changes the tables and fills the reply; it counts a change in
 * state->changes when entries see it.
 */

typedef struct
{
  pu_state_t *state;
  uint64_t position; /* of the command in the log */
  pu_reply *reply;   /* PU_OUTCOME_DONE until said otherwise */
} pu_apply_t;

/* pu_apply_answer - sets the outcome and its printf-style detail.  */
void pu_apply_answer (pu_apply_t *a, pu_outcome outcome, const char *format,
                      ...) G_GNUC_PRINTF (3, 4);

/* pu_apply_broken - whether a test broke RULE on purpose.  */
bool pu_apply_broken (const pu_state_t *s, pu_state_break_t rule);

/* pu_apply_doc_version - of the document in force; 0 before the first.  */
uint64_t pu_apply_doc_version (const pu_state_t *s);

/* pu_apply_close_claims - what OWNER, at INCARNATION or an older one, left
   open may have run: nobody may run it again.  */
void pu_apply_close_claims (pu_state_t *s, const char *owner,
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
