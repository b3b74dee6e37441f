/* Backend servers that have said that they leave: the log is told until it has
   that, and only then is it acknowledged, as all other entries learn of it
   from the log.  */

#include "entry/entry_private.h"

#include "base/log.h"

enum
{
  /* Time within which a leave is acknowledged or refused.  A backend server
     waits for a second, and reports to another entry then.  */
  ACKNOWLEDGE_MS = 800,
  RETRY_MS = 100,
  GIVE_UP_MS = 20000, /* by then the lease of a backend server that is gone has
                         ended */
};

typedef struct
{
  pu_entry_leave_fn *fn;
  void *data;
  guint64 due; /* loop time */
} waiter_t;

/* The leave of a backend server that the view does not show yet.  */
typedef struct
{
  GArray *waiters; /* of waiter_t */
  bool proposing;
  guint64 propose_at; /* loop time of the next proposal */
  guint64 started_at; /* loop time */
} leave_t;

/* A proposal that has no reply yet.  */
typedef struct
{
  pu_entry_t *en;
  char *name;
} proposal_t;

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

void
pu_leave_free (gpointer leave)
{
  leave_t *l = leave;

  g_array_free (l->waiters, TRUE);
  g_free (l);
}

static const pu_backend_record *
view_record (const pu_entry_t *en, const char *name)
{
  return pu_state_backend (en->o.hooks.view (en->o.hooks.data), name);
}

/* Whether the view shows that NAME gets no new requests.  */
static bool
is_known (const pu_entry_t *en, const char *name)
{
  const pu_backend_record *b = view_record (en, name);

  return b != NULL && (b->leaving || b->down);
}

/* Calls the waiters of L that are due by NOW, or all of them.  */
static void
waiters_call (leave_t *l, bool known, guint64 now)
{
  for (guint i = l->waiters->len; i-- > 0;)
    {
      waiter_t w = g_array_index (l->waiters, waiter_t, i);

      if (w.due > now)
        continue;
      g_array_remove_index (l->waiters, i);
      w.fn (w.data, known);
    }
}

static void
leave_end (pu_entry_t *en, const char *name, bool known)
{
  leave_t *l = g_hash_table_lookup (en->leaves, name);

  if (l == NULL)
    return;
  pu_log_event (PU_ENTRY_LOG_SLICE, "A backend server leaves.",
                PU_LOG_TEXT ("server", name),
                PU_LOG_TEXT ("outcome", known ? "in the log" : "given up"),
                PU_LOG_NUMBER ("waited_ms", loop_now (en) - l->started_at));
  waiters_call (l, known, G_MAXUINT64);
  g_hash_table_remove (en->leaves, name);
}

static void
on_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *p = data;
  pu_entry_t *en = p->en;
  leave_t *l = g_hash_table_lookup (en->leaves, p->name);

  en->pending--;
  if (r != NULL
      && (r->outcome == PU_OUTCOME_DONE || r->outcome == PU_OUTCOME_SEEN))
    {
      leave_end (en, p->name, true);
    }
  else if (l != NULL)
    {
      pu_log_info (PU_ENTRY_LOG_SLICE,
                   "The log does not have yet that %s leaves: %s", p->name,
                   r != NULL ? r->detail : e->message);
      l->proposing = false;
      l->propose_at = loop_now (en) + RETRY_MS;
    }
  g_free (p->name);
  g_free (p);
  pu_entry_check_stopped (en);
}

static void
leave_propose (pu_entry_t *en, const char *name, leave_t *l)
{
  const pu_backend_record *b = view_record (en, name);
  pu_command c = { .type = PU_COMMAND_BACKEND_LEAVING };
  proposal_t *p;

  /* Without a record, the proposal of the report that adds it is under way. */
  if (b == NULL || l->proposing || loop_now (en) < l->propose_at)
    return;
  p = g_new0 (proposal_t, 1);
  p->en = en;
  p->name = g_strdup (name);
  l->proposing = true;
  en->pending++;
  c.pu_command_u.backend_leaving.name = p->name;
  c.pu_command_u.backend_leaving.incarnation = b->incarnation;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_proposed, p);
}

void
pu_entry_mark_leaving (pu_entry_t *en, const char *name, pu_entry_leave_fn *fn,
                       void *data)
{
  const pu_backend_record *b = view_record (en, name);
  guint64 now = loop_now (en);
  waiter_t w = { fn, data, now + ACKNOWLEDGE_MS };
  leave_t *l = g_hash_table_lookup (en->leaves, name);

  if (b != NULL)
    pu_server_set_leaving (en, name, b->incarnation);
  /* What no report and no record has named gets no requests.  */
  if (is_known (en, name)
      || (b == NULL && !g_hash_table_contains (en->reporters, name)))
    {
      if (fn != NULL)
        fn (data, true);
      return;
    }
  if (l == NULL)
    {
      l = g_new0 (leave_t, 1);
      l->waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
      l->started_at = now;
      g_hash_table_insert (en->leaves, g_strdup (name), l);
    }
  if (fn != NULL)
    g_array_append_val (l->waiters, w);
  leave_propose (en, name, l);
}

void
pu_leaves_tick (pu_entry_t *en, guint64 now)
{
  GList *names = g_hash_table_get_keys (en->leaves);

  for (const GList *n = names; n != NULL; n = n->next)
    {
      const char *name = n->data;
      leave_t *l = g_hash_table_lookup (en->leaves, name);

      if (is_known (en, name) || now >= l->started_at + GIVE_UP_MS)
        {
          leave_end (en, name, is_known (en, name));
          continue;
        }
      waiters_call (l, false, now);
      leave_propose (en, name, l);
    }
  g_list_free (names);
}

void
pu_leaves_give_up (pu_entry_t *en)
{
  GHashTableIter it;
  gpointer l;

  g_hash_table_iter_init (&it, en->leaves);
  while (g_hash_table_iter_next (&it, NULL, &l))
    waiters_call (l, false, G_MAXUINT64);
}
