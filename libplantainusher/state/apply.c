#include "state/apply.h"
#include "state/delta.h"

#include <stdlib.h>
#include <string.h>

void
pu_apply_set_outcome (pu_apply_t *a, pu_outcome outcome, const char *format,
                      ...)
{
  char text[PU_DETAIL_MAX];
  va_list ap;

  va_start (ap, format);
  g_vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  a->reply->outcome = outcome;
  free (a->reply->detail);
  a->reply->detail = strdup (text);
}

bool
pu_apply_has_break (const pu_state_t *s, pu_state_break_t rule)
{
  return (s->options.test_breaks & rule) != 0;
}

uint64_t
pu_apply_doc_version (const pu_state_t *s)
{
  const pu_doc_record *d = pu_state_document (s);

  return d == NULL ? 0 : d->doc_version;
}

/* Repeats the first reply when the change id of C was accepted before, or sets
   a conflict when it was used for another document.  Returns whether it set
   the reply.  */
static bool
reply_if_duplicate_change (pu_apply_t *a, const pu_submit *c)
{
  const pu_doc_record *first
      = pu_state_document_of_change (a->state, c->change_id);

  if (first == NULL
      || pu_apply_has_break (a->state, PU_STATE_BREAK_NO_CHANGE_ID_CHECK))
    return false;
  a->reply->doc_version = first->doc_version;
  a->reply->position = first->position;
  if (first->hash == pu_delta_target_hash (c))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN,
                            "The change was already accepted.");
    }
  else
    {
      pu_apply_set_outcome (a, PU_OUTCOME_CONFLICT,
                            "The change id was used for another document.");
    }
  return true;
}

/* Acknowledges C, which has a rank, without effect when its rank is not above
   that of the document in force, so that C changes nothing when it is sent
   again either.  Returns whether it set the reply.  */
static bool
reply_if_outranked (pu_apply_t *a, const pu_submit *c)
{
  const pu_doc_record *d = pu_state_document (a->state);

  if (d == NULL || c->rank > d->rank
      || pu_apply_has_break (a->state, PU_STATE_BREAK_NO_RANK_CHECK))
    return false;
  pu_apply_set_outcome (a, PU_OUTCOME_SEEN, "Rank %lu is in force.",
                        (unsigned long)d->rank);
  return true;
}

/* Sets a conflict when C is not based on the version CURRENT, which is in
   force.  Returns whether it set the reply.  */
static bool
reply_if_stale_base (pu_apply_t *a, const pu_submit *c, uint64_t current)
{
  if (c->base_version == current
      || pu_apply_has_break (a->state, PU_STATE_BREAK_NO_BASE_CHECK))
    return false;
  pu_apply_set_outcome (a, PU_OUTCOME_CONFLICT,
                        "The document is at version %lu.",
                        (unsigned long)current);
  return true;
}

void
pu_apply_submit (pu_apply_t *a, const pu_submit *c)
{
  pu_state_t *s = a->state;
  const pu_doc_record *old = pu_state_document (s);
  uint64_t current = pu_apply_doc_version (s);
  pu_doc_record d = { 0 };
  char *text;

  a->reply->doc_version = current;
  if (reply_if_duplicate_change (a, c))
    return;
  if (c->rank > 0 ? reply_if_outranked (a, c)
                  : reply_if_stale_base (a, c, current))
    return;
  text = pu_delta_apply (s, c);
  if (text == NULL)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "The delta does not match the document in force.");
      return;
    }
  d.doc_version = current + 1;
  d.position = a->position;
  d.wall = c->wall;
  d.hash = pu_delta_target_hash (c);
  d.change_id = c->change_id;
  d.author = c->author;
  d.rank = c->rank > 0 || old == NULL ? c->rank : old->rank;
  d.text = text;
  pu_tables_put_document (
      s, pu_codec_clone ((xdrproc_t)xdr_pu_doc_record, &d, sizeof d));
  g_free (text);
  s->changes++;
  a->reply->doc_version = d.doc_version;
}

static void
dispatch (pu_apply_t *a, const pu_command *c)
{
  switch (c->type)
    {
    case PU_COMMAND_NOOP:
      return;
    case PU_COMMAND_SUBMIT:
      pu_apply_submit (a, &c->pu_command_u.submit);
      return;
    case PU_COMMAND_MEMBER_UP:
      pu_apply_member_up (a, &c->pu_command_u.member_up);
      return;
    case PU_COMMAND_MEMBER_DOWN:
      pu_apply_member_down (a, &c->pu_command_u.member_down);
      return;
    case PU_COMMAND_MEMBER_LEAVING:
      pu_apply_member_leaving (a, &c->pu_command_u.member_leaving);
      return;
    case PU_COMMAND_BACKEND_UP:
      pu_apply_backend_up (a, &c->pu_command_u.backend_up);
      return;
    case PU_COMMAND_BACKEND_DOWN:
      pu_apply_backend_down (a, &c->pu_command_u.backend_down);
      return;
    case PU_COMMAND_BACKEND_LEAVING:
      pu_apply_backend_leaving (a, &c->pu_command_u.backend_leaving);
      return;
    case PU_COMMAND_RESERVE:
      pu_apply_reserve (a, &c->pu_command_u.reserve);
      return;
    case PU_COMMAND_RELEASE:
      pu_apply_release (a, &c->pu_command_u.release);
      return;
    case PU_COMMAND_CLAIM:
      pu_apply_claim (a, &c->pu_command_u.claim);
      return;
    case PU_COMMAND_CLAIM_DONE:
      pu_apply_claim_done (a, &c->pu_command_u.claim_done);
      return;
    case PU_COMMAND_STRIKE:
      pu_apply_strike (a, &c->pu_command_u.strike);
      return;
    case PU_COMMAND_LIFT:
      pu_apply_lift (a, c->pu_command_u.lift);
      return;
    case PU_COMMAND_BACKEND_DELTA:
      pu_apply_backend_delta (a, &c->pu_command_u.backend_delta);
      return;
    case PU_COMMAND_SERVED_TIME:
      pu_served_set_time (a->state->served, c->pu_command_u.served_time);
      return;
    }
}

bool
pu_state_apply (pu_state_t *s, uint64_t position, const pu_command *c,
                pu_reply *r)
{
  pu_reply local = { 0 };
  pu_apply_t a = { .state = s, .position = position, .reply = &local };

  if (position <= s->position)
    return false;
  s->position = position;
  local.outcome = PU_OUTCOME_DONE;
  local.position = position;
  local.doc_version = pu_apply_doc_version (s);
  local.detail = strdup ("");
  dispatch (&a, c);
  if (r != NULL)
    {
      *r = local;
    }
  else
    {
      pu_reply_clear (&local);
    }
  return true;
}
