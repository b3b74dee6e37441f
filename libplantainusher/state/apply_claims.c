/* Commands about at-most-once calls.  */

#include "state/apply.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *owner;
  uint64_t incarnation; /* this one and older ones */
  GPtrArray *found;     /* of pu_claim_record * */
} owner_claims_t;

static gboolean
collect_owner_claim (gpointer key, gpointer value, gpointer data)
{
  pu_claim_record *c = value;
  owner_claims_t *o = data;

  (void)key;
  if (strcmp (c->owner, o->owner) == 0
      && c->owner_incarnation <= o->incarnation)
    g_ptr_array_add (o->found, c);
  return FALSE;
}

void
pu_apply_abandon_claims (pu_state_t *s, const char *owner,
                         uint64_t incarnation)
{
  owner_claims_t o = { owner, incarnation, g_ptr_array_new () };

  g_tree_foreach (s->open_claims, collect_owner_claim, &o);
  for (guint i = 0; i < o.found->len; i++)
    {
      pu_tables_set_claim_phase (s, g_ptr_array_index (o.found, i),
                                 PU_CLAIM_UNKNOWN);
    }
  g_ptr_array_free (o.found, TRUE);
}

static void
replace_string (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* The most expired claims, still open, that one eviction passes over; it
   bounds the time that a claim takes to apply.  */
#define EXPIRED_OPEN_CLAIMS_MAX 1000

/* Removes the claims whose retention window has ended at WALL, or at the
   latest time of an earlier claim, the first to expire first.  Open claims
   stay.  */
static void
evict_expired_claims (pu_state_t *s, uint64_t wall)
{
  GPtrArray *old = g_ptr_array_new ();
  guint open = 0;

  s->latest_claim_wall = MAX (s->latest_claim_wall, wall);
  for (GTreeNode *n = g_tree_node_first (s->claims_by_expiry);
       n != NULL && open < EXPIRED_OPEN_CLAIMS_MAX; n = g_tree_node_next (n))
    {
      pu_claim_record *c = g_tree_node_value (n);

      if (c->wall + c->window_ms >= s->latest_claim_wall)
        break;
      if (c->phase == PU_CLAIM_OPEN)
        {
          open++;
        }
      else
        {
          g_ptr_array_add (old, c);
        }
    }
  for (guint i = 0; i < old->len; i++)
    pu_tables_remove_claim (s, g_ptr_array_index (old, i));
  g_ptr_array_free (old, TRUE);
}

/* Sets the position and the claim of the reply to those of C.  */
static void
set_reply_claim (pu_apply_t *a, const pu_claim_record *c)
{
  a->reply->position = c->position;
  /* xdr_free frees the optional record with free.  */
  a->reply->claim = calloc (1, sizeof *a->reply->claim);
  pu_claim_record *copy
      = pu_codec_clone ((xdrproc_t)xdr_pu_claim_record, c, sizeof *c);
  *a->reply->claim = *copy;
  g_free (copy);
}

/* Returns the identifier of an attempt in a claim's list of closed attempts;
   to be freed with g_free.  */
static char *
attempt_id (const char *owner, uint64_t incarnation, uint64_t attempt)
{
  return g_strdup_printf ("%s@%lu/%lu", owner, (unsigned long)incarnation,
                          (unsigned long)attempt);
}

/* Fills LIST, of PU_CLOSED_MAX elements, with the closed attempts that a claim
   which replaces OLD must keep: OLD's own attempt, then the newest of OLD's
   list.  Returns their number.  The caller frees the first element only.  */
static u_int
collect_closed_attempts (const pu_claim_record *old, pu_detail *list)
{
  u_int n = 0;

  if (old == NULL)
    return 0;
  list[n++] = attempt_id (old->owner, old->owner_incarnation, old->attempt);
  for (u_int i = 0; i < old->closed.closed_len && n < PU_CLOSED_MAX; i++)
    list[n++] = old->closed.closed_val[i];
  return n;
}

static bool
is_closed_attempt (const pu_claim_record *old, const pu_claim_request *c)
{
  char *name = attempt_id (c->owner, c->owner_incarnation, c->attempt);
  bool found = false;

  for (u_int i = 0; i < old->closed.closed_len; i++)
    found = found || strcmp (old->closed.closed_val[i], name) == 0;
  g_free (name);
  return found;
}

static void
open_claim (pu_apply_t *a, const pu_claim_request *c,
            const pu_claim_record *old)
{
  pu_detail closed[PU_CLOSED_MAX];
  pu_claim_record n = { 0 };

  n.service = c->service;
  n.key = c->key;
  n.fingerprint = c->fingerprint;
  n.owner = c->owner;
  n.owner_incarnation = c->owner_incarnation;
  n.attempt = c->attempt;
  n.position = a->position;
  n.wall = c->wall;
  n.window_ms
      = c->window_ms > 0 ? c->window_ms : a->state->options.claim_window_ms;
  n.phase = PU_CLAIM_OPEN;
  n.content_type = "";
  n.closed.closed_len = collect_closed_attempts (old, closed);
  n.closed.closed_val = closed;
  pu_tables_put_claim (
      a->state, pu_codec_clone ((xdrproc_t)xdr_pu_claim_record, &n, sizeof n));
  if (n.closed.closed_len > 0)
    g_free (closed[0]);
}

static bool
is_same_attempt (const pu_claim_record *old, const pu_claim_request *c)
{
  return old->owner_incarnation == c->owner_incarnation
         && old->attempt == c->attempt && strcmp (old->owner, c->owner) == 0;
}

/* Returns whether the owner in C is a member with the incarnation in C.  The
   claim of any other owner would never be closed.  */
static bool
is_owner_member (const pu_state_t *s, const pu_claim_request *c)
{
  const pu_member_record *m = pu_state_member (s, c->owner);

  return m != NULL && m->incarnation == c->owner_incarnation;
}

/* Returns whether a claim may be granted in place of OLD, which may be
   NULL.  */
static bool
may_grant (const pu_state_t *s, const pu_claim_record *old)
{
  if (old == NULL || old->phase == PU_CLAIM_NOT_RUN)
    return true;
  return old->phase == PU_CLAIM_UNKNOWN
         && pu_apply_has_break (s, PU_STATE_BREAK_REGRANT_UNKNOWN);
}

/* Sets the reply when C is a duplicate of OLD's own attempt or of one in its
   list of closed attempts.  Returns whether it did.  */
static bool
reply_if_duplicate_attempt (pu_apply_t *a, const pu_claim_record *old,
                            const pu_claim_request *c)
{
  bool same = is_same_attempt (old, c);

  if (pu_apply_has_break (a->state, PU_STATE_BREAK_REOPEN_CLAIM))
    return false;
  if (!same && !is_closed_attempt (old, c))
    return false;
  set_reply_claim (a, old);
  pu_apply_set_outcome (a,
                        same && old->phase == PU_CLAIM_OPEN ? PU_OUTCOME_DONE
                                                            : PU_OUTCOME_SEEN,
                        "The attempt is a duplicate.");
  return true;
}

void
pu_apply_claim (pu_apply_t *a, const pu_claim_request *c)
{
  const pu_claim_record *old;

  evict_expired_claims (a->state, c->wall);
  old = pu_tables_find_claim (a->state, c->service, c->key);
  if (old != NULL && reply_if_duplicate_attempt (a, old, c))
    return;
  if (!is_owner_member (a->state, c))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "Entry %s is not a member with this incarnation.",
                            c->owner);
      return;
    }
  if (may_grant (a->state, old))
    {
      open_claim (a, c, old);
      return;
    }
  set_reply_claim (a, old);
  if (old->fingerprint != c->fingerprint)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_CONFLICT,
                            "The key was used for another request.");
    }
  else if (old->phase == PU_CLAIM_OPEN)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_BUSY, "The request is running.");
    }
  else
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN,
                            "The request has run or may have run.");
    }
}

static void
set_result (pu_claim_record *r, const pu_claim_done *c)
{
  r->status = c->status;
  replace_string (&r->content_type, c->content_type);
  free (r->result.result_val);
  r->result.result_len = c->result.result_len;
  r->result.result_val = malloc (MAX (c->result.result_len, 1));
  if (c->result.result_len > 0)
    memcpy (r->result.result_val, c->result.result_val, c->result.result_len);
}

void
pu_apply_claim_done (pu_apply_t *a, const pu_claim_done *c)
{
  pu_claim_record *r = pu_tables_find_claim (a->state, c->service, c->key);

  if (r == NULL || r->position != c->position || c->phase == PU_CLAIM_OPEN)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED, "No such claim is open.");
      return;
    }
  /* The owner may have been removed as a member while it was still running;
     the outcome that it records replaces PU_CLAIM_UNKNOWN.  */
  if (r->phase != PU_CLAIM_OPEN && r->phase != PU_CLAIM_UNKNOWN)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN,
                            "The claim is already closed.");
      return;
    }
  set_result (r, c);
  pu_tables_set_claim_phase (a->state, r, c->phase);
}
