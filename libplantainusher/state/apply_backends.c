/* Commands about backend servers and the orders to them.  */

#include "state/apply.h"
#include "state/backend_delta.h"
#include "state/software.h"

#include <string.h>

/* Removes the orders that the ledger closed from the table.  CLOSED holds
   their tokens.  */
static void
remove_closed_orders (pu_state_t *s, const GArray *closed)
{
  for (guint i = 0; i < closed->len; i++)
    g_tree_remove (s->orders, &g_array_index (closed, guint64, i));
}

/* Whether the software version of OLD, which was up, is one that N, the record
   in its place, does not state.  One that a process states later than its
   first report is the version of the whole incarnation.  */
static bool
is_version_replaced (const pu_backend_record *old, const pu_backend_record *n)
{
  const char *before = pu_backend_software (old);

  if (strcmp (old->service, n->service) != 0)
    return true;
  if (old->incarnation == n->incarnation && *before == '\0')
    return false;
  return strcmp (before, pu_backend_software (n)) != 0;
}

/* Keeps the software version of OLD, which N replaces or which goes down (N is
   NULL).  Services without a name have no callers that resume streams.  */
static void
keep_version (pu_apply_t *a, const pu_backend_record *old,
              const pu_backend_record *n)
{
  if (old == NULL || old->down || *old->service == '\0'
      || (n != NULL && !is_version_replaced (old, n)))
    return;
  pu_served_add (a->state->served, old->service, pu_backend_software (old),
                 a->position);
}

/* The most records of backend servers that are down; above it, each
   BACKEND_DOWN evicts one that has no open orders.  */
#define DOWN_BACKENDS_MAX 1024

static guint
count_down_backends (const pu_state_t *s)
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

static bool
is_removable_backend (const char *name, void *data)
{
  const pu_state_t *s = data;

  return pu_state_backend (s, name)->down
         && !pu_memory_has_orders (s->memory, name);
}

/* Removes the record of one backend server that is down and has no open
   orders: the one that has not changed for longest, as late reports of the
   others are more likely.  Returns false when there is none.  */
static bool
evict_down_backend (pu_state_t *s)
{
  const char *oldest = pu_change_index_find_oldest (s->recent_backends,
                                                    is_removable_backend, s);
  char *name;

  if (oldest == NULL)
    return false;
  name = g_strdup (oldest);
  pu_memory_remove_backend (s->memory, name);
  pu_tables_remove_backend (s, name);
  g_free (name);
  return true;
}

static void
limit_down_backends (pu_state_t *s)
{
  if (count_down_backends (s) > DOWN_BACKENDS_MAX)
    evict_down_backend (s);
}

/* Whether the record of NAME can be stored beside the others: an image has no
   room for more.  */
static bool
fits_backend (const pu_state_t *s, const char *name)
{
  return pu_state_backend (s, name) != NULL
         || g_tree_nnodes (s->backends) < PU_LIST_MAX;
}

bool
pu_state_has_room_for_backend (const pu_state_t *s, const char *name)
{
  return fits_backend (s, name)
         || pu_change_index_find_oldest (s->recent_backends,
                                         is_removable_backend, (void *)s)
                != NULL;
}

/* Makes room for the record of NAME; returns false when no record can be
   evicted.  */
static bool
make_room (pu_state_t *s, const char *name)
{
  return fits_backend (s, name) || evict_down_backend (s);
}

/* Counts the report N in the ledger and stores N in the table; refuses a stale
   report, and a new one without room.  Takes ownership of N.  */
static void
store_report (pu_apply_t *a, pu_backend_record *n)
{
  GArray *closed = g_array_new (FALSE, FALSE, sizeof (guint64));

  if (!make_room (a->state, n->name))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "There is no room for another backend server.");
      pu_codec_free ((xdrproc_t)xdr_pu_backend_record, n);
    }
  else if (pu_memory_backend_up (a->state->memory, n, closed))
    {
      remove_closed_orders (a->state, closed);
      keep_version (a, pu_state_backend (a->state, n->name), n);
      pu_tables_put_backend (a->state, n);
      a->state->changes++;
    }
  else
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "The report of %s is stale.", n->name);
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
  /* A report that differs in nothing but its sequence number changes
     nothing.  */
  if (old != NULL && old->incarnation == c->incarnation && old->seq <= c->seq)
    n.seq = old->seq;
  if (old != NULL && old->incarnation > c->incarnation)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "Newer incarnation %lu of %s is known.",
                            (unsigned long)old->incarnation, c->name);
      return;
    }
  if (old != NULL && old->incarnation == c->incarnation)
    n.leaving = n.leaving || old->leaving;
  if (old != NULL
      && pu_codec_equal ((xdrproc_t)xdr_pu_backend_record, old, &n))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN, "The report changes nothing.");
      return;
    }
  n.seq = c->seq;
  store_report (
      a, pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, &n, sizeof n));
}

void
pu_apply_backend_delta (pu_apply_t *a, const pu_backend_delta *c)
{
  pu_state_t *s = a->state;
  const pu_backend_record *old = pu_state_backend (s, c->name);
  pu_backend_record *n = NULL;

  if (old != NULL
      && (pu_backend_delta_matches (c, old)
          || pu_apply_has_break (s, PU_STATE_BREAK_NO_DELTA_CHECK)))
    n = pu_backend_delta_apply (c, old);
  if (n == NULL)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "The delta of %s does not match its record.",
                            c->name);
      return;
    }
  pu_memory_restore_backend (s->memory, n);
  keep_version (a, old, n);
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
    *delta = pu_backend_delta_encode (before, pu_state_backend (s, name));
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, before);
  return applied;
}

/* Returns the backend server that C names, when it is up and has the
   incarnation in C; else NULL, with the reply set.  */
static pu_backend_record *
current_backend (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = g_tree_lookup (a->state->backends, c->name);

  if (b != NULL && b->incarnation == c->incarnation && !b->down)
    return b;
  pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                        "Backend server %s with incarnation %lu is not up.",
                        c->name, (unsigned long)c->incarnation);
  return NULL;
}

void
pu_apply_backend_down (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = current_backend (a, c);

  if (b == NULL)
    return;
  keep_version (a, b, NULL);
  b->down = TRUE;
  pu_tables_mark_backend_changed (a->state, b->name);
  pu_memory_backend_down (a->state->memory, b);
  limit_down_backends (a->state);
  a->state->changes++;
}

/* Adds a record that says no more than that the incarnation in C leaves, for a
   report of it that comes later.  */
static void
add_leaving_backend (pu_apply_t *a, const pu_down *c)
{
  const pu_backend_record n = { .name = c->name,
                                .incarnation = c->incarnation,
                                .kind = PU_BACKEND_PLAIN,
                                .service = (char *)"",
                                .address = (char *)"",
                                .region = (char *)"",
                                .zone = (char *)"",
                                .leaving = TRUE };
  pu_backend_record *b;

  store_report (
      a, pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, &n, sizeof n));
  b = current_backend (a, c);
  if (b == NULL)
    return;
  b->down = TRUE;
  pu_memory_backend_down (a->state->memory, b);
  limit_down_backends (a->state);
}

/* A server that is down, or of which no report has come yet, is marked as
   well: a report that is late may bring it up.  */
void
pu_apply_backend_leaving (pu_apply_t *a, const pu_down *c)
{
  pu_backend_record *b = g_tree_lookup (a->state->backends, c->name);

  if (b == NULL || b->incarnation < c->incarnation)
    {
      add_leaving_backend (a, c);
      return;
    }
  if (b->incarnation > c->incarnation)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_CONFLICT,
                            "Newer incarnation %lu of %s is known.",
                            (unsigned long)b->incarnation, c->name);
      return;
    }
  if (b->leaving)
    {
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN, "%s leaves already.", c->name);
      return;
    }
  b->leaving = TRUE;
  pu_tables_mark_backend_changed (a->state, b->name);
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
  pu_apply_set_outcome (a,
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
      pu_apply_set_outcome (a, PU_OUTCOME_SEEN, "No order %lu is open.",
                            (unsigned long)token);
      return;
    }
  /* The record stays as long as the order is open in the ledger, so that a
     ledger restored from a snapshot is the same.  */
  if (!pu_memory_release (a->state->memory, token))
    {
      pu_apply_set_outcome (a, PU_OUTCOME_REFUSED,
                            "Order %lu may still take effect.",
                            (unsigned long)token);
      return;
    }
  g_tree_remove (a->state->orders, &token);
}
