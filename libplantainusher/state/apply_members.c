/* Commands about instances that run a daemon.  */

#include "state/apply.h"

void
pu_apply_member_up (pu_apply_t *a, const pu_member_record *c)
{
  pu_state_t *s = a->state;
  const pu_member_record *old = pu_state_member (s, c->name);
  pu_member_record n = *c;

  if (old != NULL && old->incarnation > c->incarnation)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "Newer incarnation %lu of %s is known.",
                            (unsigned long)old->incarnation, c->name);
      return;
    }
  /* A member that is leaving stays so until its next incarnation.  */
  if (old != NULL && old->incarnation == c->incarnation)
    n.leaving = n.leaving || old->leaving;
  if (old != NULL && pu_codec_equal ((xdrproc_t)xdr_pu_member_record, old, &n))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN,
                            "The member record is unchanged.");
      return;
    }
  if (old != NULL && old->incarnation < c->incarnation)
    pu_apply_abandon_claims (s, c->name, c->incarnation - 1);
  pu_tables_put_member (
      s, pu_codec_clone ((xdrproc_t)xdr_pu_member_record, &n, sizeof n));
  s->membership_version++;
  s->changes++;
}

/* Returns the member that C names, when it has the incarnation in C; else
   NULL, with the reply set.  */
static pu_member_record *
current_member (pu_apply_t *a, const pu_down *c)
{
  pu_member_record *m = g_tree_lookup (a->state->members, c->name);

  if (m != NULL && m->incarnation == c->incarnation)
    return m;
  pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                        "No member %s with incarnation %lu.", c->name,
                        (unsigned long)c->incarnation);
  return NULL;
}

void
pu_apply_member_down (pu_apply_t *a, const pu_down *c)
{
  if (current_member (a, c) == NULL)
    return;
  pu_apply_abandon_claims (a->state, c->name, c->incarnation);
  g_tree_remove (a->state->members, c->name);
  a->state->membership_version++;
  a->state->changes++;
}

void
pu_apply_member_leaving (pu_apply_t *a, const pu_down *c)
{
  pu_member_record *m = current_member (a, c);

  if (m == NULL)
    return;
  m->leaving = TRUE;
  a->state->membership_version++;
  a->state->changes++;
}
