/* Commands about backend servers and the orders to them.  */

#include "state/apply.h"
#include "state/backend_delta.h"

#include <string.h>

/* The orders that a report proves to be over leave the table too.  */
static void
drop_closed_orders (pu_state_t *s, const GArray *closed)
{
  for (guint i = 0; i < closed->len; i++)
    g_tree_remove (s->orders, &g_array_index (closed, guint64, i));
}

/* Takes N, which becomes the state's, into the memory and the table.  */
static void
take_backend (pu_apply_t *a, pu_backend_record *n)
{
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (guint64));

  if (pu_memory_backend_up (a->state->memory, n, closed))
    {
      drop_closed_orders (a->state, closed);
      pu_tables_put_backend (a->state, n);
      a->state->changes++;
    }
  else
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED, "An old report of %s.", n->name);
      pu_codec_free ((xdrproc_t)xdr_pu_backend_record, n);
    }
  g_array_free (closed, TRUE);
}

void
pu_apply_backend_up (pu_apply_t *a, const pu_backend_record *c)
{
  pu_state_t *s = a->state;
  const pu_backend_record *old = pu_state_backend (s, c->name);
  pu_backend_record n = *c;

  n.down = FALSE;
  /* The number of the report alone is no change.  */
  if (old != NULL && old->incarnation == c->incarnation && old->seq <= c->seq)
    n.seq = old->seq;
  if (old != NULL && old->incarnation > c->incarnation)
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED,
                       "Incarnation %lu of %s is known.",
                       (unsigned long)old->incarnation, c->name);
      return;
    }
  if (old != NULL && old->incarnation == c->incarnation)
    n.leaving = n.leaving || old->leaving;
  if (old != NULL
      && pu_codec_equal ((xdrproc_t)xdr_pu_backend_record, old, &n))
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "The backend server is known.");
      return;
    }
  n.seq = c->seq;
  take_backend (
      a, pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, &n, sizeof n));
}

void
pu_apply_backend_delta (pu_apply_t *a, const pu_backend_delta *c)
{
  pu_state_t *s = a->state;
  const pu_backend_record *old = pu_state_backend (s, c->name);
  pu_backend_record *n = NULL;

  if (old != NULL
      && (pu_backend_delta_fits (c, old)
          || pu_apply_broken (s, PU_STATE_BREAK_NO_DELTA_CHECK)))
    n = pu_backend_delta_apply (c, old);
  if (n == NULL)
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED,
                       "The delta of %s does not fit its record.", c->name);
      return;
    }
  pu_memory_restore_backend (s->memory, n);
  pu_tables_put_backend (s, n);
  s->changes++;
}

bool
pu_state_apply_report (pu_state_t *s, uint64_t position, const pu_command *c,
                       pu_reply *r, GBytes **delta, bool *changed)
{
  const char *name = c->pu_command_u.backend_up.name;
  const pu_backend_record *old = pu_state_backend (s, name);
  pu_backend_record *before
      = old == NULL ? NULL
                    : pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, old,
                                      sizeof *old);
  bool applied = pu_state_apply (s, position, c, r);

  *delta = NULL;
  *changed = applied && r->outcome == PU_OUTCOME_DONE;
  if (*changed && before != NULL)
    *delta = pu_backend_delta_make (before, pu_state_backend (s, name));
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, before);
  return applied;
}

static pu_backend_record *
backend_in_force (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = g_tree_lookup (a->state->backends, c->name);

  if (b != NULL && b->incarnation == c->incarnation && !b->down)
    return b;
  pu_apply_answer (a, PU_OUTCOME_REFUSED,
                   "No backend server %s of incarnation %lu.", c->name,
                   (unsigned long)c->incarnation);
  return NULL;
}

/* How many backend servers that are down are remembered.  */
#define DOWN_BACKENDS_MAX 1024

static guint
count_down (const pu_state_t *s)
{
  guint down = 0;

  for (GTreeNode *n = g_tree_node_first (s->backends); n != NULL;
       n = g_tree_node_next (n))
    {
      const pu_backend_record *b = g_tree_node_value (n);

      down += b->down ? 1 : 0;
    }
  return down;
}

/* The first backend server that is down and whose orders are all over, or
   NULL.  */
static const pu_backend_record *
find_forgettable (const pu_state_t *s)
{
  for (GTreeNode *n = g_tree_node_first (s->backends); n != NULL;
       n = g_tree_node_next (n))
    {
      const pu_backend_record *b = g_tree_node_value (n);

      if (b->down && !pu_memory_has_orders (s->memory, b->name))
        return b;
    }
  return NULL;
}

/* Forgets one that is down, when too many are remembered.  */
static void
forget_one_down (pu_state_t *s)
{
  const pu_backend_record *found;

  if (count_down (s) <= DOWN_BACKENDS_MAX)
    return;
  found = find_forgettable (s);
  if (found == NULL)
    return;
  pu_memory_forget (s->memory, found->name);
  pu_tables_remove_backend (s, found->name);
}

void
pu_apply_backend_down (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = backend_in_force (a, c);

  if (b == NULL)
    return;
  b->down = TRUE;
  pu_tables_note_backend (a->state, b->name);
  pu_memory_backend_down (a->state->memory, b);
  forget_one_down (a->state);
  a->state->changes++;
}

void
pu_apply_backend_leaving (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = backend_in_force (a, c);

  if (b == NULL)
    return;
  b->leaving = TRUE;
  pu_tables_note_backend (a->state, b->name);
  pu_memory_backend_leaving (a->state->memory, b);
  a->state->changes++;
}

void
pu_apply_reserve (pu_apply_t *a, const pu_order_record *c)
{
  pu_state_t *s = a->state;
  pu_order_record *o;
  pu_error_t e;

  o = pu_codec_clone ((xdrproc_t)xdr_pu_order_record, c, sizeof *c);
  o->token = a->position;
  if (pu_memory_reserve (s->memory, o, &e))
    {
      pu_tables_put_order (s, o);
      return;
    }
  pu_apply_answer (a,
                   e.kind == PU_ERROR_CONFLICT ? PU_OUTCOME_CONFLICT
                                               : PU_OUTCOME_REFUSED,
                   "%s", e.message);
  pu_codec_free ((xdrproc_t)xdr_pu_order_record, o);
}

void
pu_apply_release (pu_apply_t *a, const pu_release *c)
{
  uint64_t token = c->token;

  if (g_tree_lookup (a->state->orders, &token) == NULL)
    {
      pu_apply_answer (a, PU_OUTCOME_SEEN, "No reservation %lu.",
                       (unsigned long)token);
      return;
    }
  /* The record stays while the ledger counts the order, so that an image
     gives the same ledger.  */
  if (!pu_memory_release (a->state->memory, token))
    {
      pu_apply_answer (a, PU_OUTCOME_REFUSED,
                       "Order %lu may still be carried out.",
                       (unsigned long)token);
      return;
    }
  g_tree_remove (a->state->orders, &token);
}
