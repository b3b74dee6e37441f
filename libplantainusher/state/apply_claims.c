/* Commands about at-most-once calls.  */

#include "state/apply.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *owner;
  uint64_t incarnation; /* claims of this one and older ones */
  GPtrArray *found;     /* of pu_claim_record * */
} owned_t;

static gboolean
collect_owned (gpointer key, gpointer value, gpointer data)
{
  pu_claim_record *c = value;
  owned_t *o = data;

  (void)key;
  if (strcmp (c->owner, o->owner) == 0
      && c->owner_incarnation <= o->incarnation)
    g_ptr_array_add (o->found, c);
  return FALSE;
}

/* What an owner that is gone left open may have run: nobody may run it
   again.  */
void
pu_apply_close_claims (pu_state_t *s, const char *owner, uint64_t incarnation)
{
  owned_t o = { owner, incarnation, g_ptr_array_new () };

  g_tree_foreach (s->open_claims, collect_owned, &o);
  for (guint i = 0; i < o.found->len; i++)
    {
      pu_tables_claim_phase (s, g_ptr_array_index (o.found, i),
                             PU_CLAIM_UNKNOWN);
    }
  g_ptr_array_free (o.found, TRUE);
}

static void
replace_text (char **field, const char *text)
{
  free (*field);
  *field = strdup (text);
}

/* How many open claims may stand before the ones that are dropped.  */
#define OPEN_CLAIMS_PASSED_MAX 1000

/* Drops the claims that are out of the window, the oldest first; those still
   open stay.  */
static void
drop_old_claims (pu_state_t *s, uint64_t wall)
{
  GPtrArray *old = g_ptr_array_new ();
  guint open = 0;

  s->claim_wall = MAX (s->claim_wall, wall);
  for (GTreeNode *n = g_tree_node_first (s->claim_ages);
       n != NULL && open < OPEN_CLAIMS_PASSED_MAX; n = g_tree_node_next (n))
    {
      pu_claim_record *c = g_tree_node_value (n);

      if (c->wall + c->window_ms >= s->claim_wall)
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

static void
show_claim (pu_apply_t *a, const pu_claim_record *c)
{
  a->reply->position = c->position;
  /* rpcgen frees the optional record with free.  */
  a->reply->claim = calloc (1, sizeof *a->reply->claim);
  pu_claim_record *copy
      = pu_codec_clone ((xdrproc_t)xdr_pu_claim_record, c, sizeof *c);
  *a->reply->claim = *copy;
  g_free (copy);
}

/* An attempt, as a claim's list of closed ones names it; free it.  */
static char *
attempt_name (const char *owner, uint64_t incarnation, uint64_t attempt)
{
  return g_strdup_printf ("%s@%lu/%lu", owner, (unsigned long)incarnation,
                          (unsigned long)attempt);
}

/* Fills LIST, of PU_CLOSED_MAX, with the attempts that a claim over OLD must
   remember: OLD's own and the newest of OLD's list.  Returns how many; the
   first is to be freed.  */
static u_int
closed_attempts (const pu_claim_record *old, pu_detail *list)
{
  u_int n = 0;

  if (old == NULL)
    return 0;
  list[n++] = attempt_name (old->owner, old->owner_incarnation, old->attempt);
  for (u_int i = 0; i < old->closed.closed_len && n < PU_CLOSED_MAX; i++)
    list[n++] = old->closed.closed_val[i];
  return n;
}

static bool
is_closed_attempt (const pu_claim_record *old, const pu_claim_request *c)
{
  char *name = attempt_name (c->owner, c->owner_incarnation, c->attempt);
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
  n.closed.closed_len = closed_attempts (old, closed);
  n.closed.closed_val = closed;
  pu_tables_put_claim (
      a->state, pu_codec_clone ((xdrproc_t)xdr_pu_claim_record, &n, sizeof n));
  if (n.closed.closed_len > 0)
    g_free (closed[0]);
}

static bool
same_attempt (const pu_claim_record *old, const pu_claim_request *c)
{
  return old->owner_incarnation == c->owner_incarnation
         && old->attempt == c->attempt && strcmp (old->owner, c->owner) == 0;
}

/* An entry that is no member any more, or under a newer incarnation, may not
   claim: nobody would close its claim.  */
static bool
owner_in_force (const pu_state_t *s, const pu_claim_request *c)
{
  const pu_member_record *m = pu_state_member (s, c->owner);

  return m != NULL && m->incarnation == c->owner_incarnation;
}

/* Whether a claim may be granted over OLD, which may be NULL.  */
static bool
may_open (const pu_state_t *s, const pu_claim_record *old)
{
  if (old == NULL || old->phase == PU_CLAIM_NOT_RUN)
    return true;
  return old->phase == PU_CLAIM_UNKNOWN
         && pu_apply_broken (s, PU_STATE_BREAK_REGRANT_UNKNOWN);
}

/* Whether C is a copy of an attempt that OLD knows; it is answered then.  */
static bool
came_before (pu_apply_t *a, const pu_claim_record *old,
             const pu_claim_request *c)
{
  bool same = same_attempt (old, c);

  if (pu_apply_broken (a->state, PU_STATE_BREAK_REOPEN_CLAIM))
    return false;
  if (!same && !is_closed_attempt (old, c))
    return false;
  show_claim (a, old);
  pu_apply_answer (a,
                   same && old->phase == PU_CLAIM_OPEN ? PU_OUTCOME_DONE
                                                       : PU_OUTCOME_SEEN,
                   "The same attempt came before.");
  return true;
}

void
pu_apply_claim (pu_apply_t *a, const pu_claim_request *c)
{
  const pu_claim_record *old;

  drop_old_claims (a->state, c->wall);
  old = pu_tables_find_claim (a->state, c->service, c->key);
  if (old != NULL && came_before (a, old, c))
    return;
  if (!owner_in_force (a->state, c))
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED, "Entry %s is no member.",
                       c->owner);
      return;
    }
  if (may_open (a->state, old))
    {
      open_claim (a, c, old);
      return;
    }
  show_claim (a, old);
  if (old->fingerprint != c->fingerprint)
    {
      pu_apply_answer (a, PU_OUTCOME_CONFLICT,
                       "The key was used for another request.");
    }
  else if (old->phase == PU_CLAIM_OPEN)
    {
      pu_apply_answer (a, PU_OUTCOME_BUSY, "The request is running.");
    }
  else
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "The request came before.");
    }
}

static void
keep_result (pu_claim_record *r, const pu_claim_done *c)
{
  r->status = c->status;
  replace_text (&r->content_type, c->content_type);
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
      pu_apply_answer (a, PU_OUTCOME_REFUSED, "No such claim is open.");
      return;
    }
  /* The owner may still know better than those who took it for dead.  */
  if (r->phase != PU_CLAIM_OPEN && r->phase != PU_CLAIM_UNKNOWN)
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "The claim is closed.");
      return;
    }
  keep_result (r, c);
  pu_tables_claim_phase (a->state, r, c->phase);
}
