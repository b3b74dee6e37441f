/* Backend servers that have said that they leave: the log is told until it has
   that, and only then is it acknowledged, as all other entries learn of it
   from the log.  A leave is of one incarnation, since a message or a proposal
   may outlast the process that it is about.  */

#include "entry/entry_private.h"

#include <string.h>

#include "base/breaks.h"
#include "base/log.h"

enum
{
  /* Time within which a leave is acknowledged or refused.  A backend server
     waits for a second, and reports to another entry then.  */
  ACKNOWLEDGE_MS = 800,
  RETRY_MS = 100,
  GIVE_UP_MS = 20000, /* by then the lease of a backend server that is gone has
                         ended */
  LATE_MS = 10000,    /* the longest that a removal is on its way */
};

typedef struct
{
  pu_entry_leave_fn *fn;
  void *data;
  guint64 due;            /* loop time */
  bool names_incarnation; /* else the message may have been about a later one,
                             if there is one */
} waiter_t;

/* The leave of an incarnation that the view does not show yet.  It is its own
   key in the table of leaves, by name and incarnation.  */
typedef struct
{
  char *name;
  guint64 incarnation;
  GArray *waiters; /* of waiter_t */
  bool proposing;
  guint64 propose_at; /* loop time of the next proposal */
  guint64 started_at; /* loop time */
} leave_t;

/* What the view shows of a leave.  */
typedef enum
{
  LEAVE_OPEN,      /* nothing */
  LEAVE_RECORDED,  /* the incarnation leaves */
  LEAVE_SUPERSEDED /* a later incarnation has taken its place */
} leave_status_t;

/* A proposal that has no reply yet.  */
typedef struct
{
  pu_entry_t *en;
  char *name;
  guint64 incarnation;
} proposal_t;

static guint64
loop_now (const pu_entry_t *en)
{
  return uv_now (en->o.loop);
}

guint
pu_leave_hash (gconstpointer leave)
{
  const leave_t *l = leave;

  return g_str_hash (l->name) ^ g_int64_hash (&l->incarnation);
}

gboolean
pu_leave_equal (gconstpointer a, gconstpointer b)
{
  const leave_t *l = a;
  const leave_t *m = b;

  return l->incarnation == m->incarnation && strcmp (l->name, m->name) == 0;
}

void
pu_leave_free (gpointer leave)
{
  leave_t *l = leave;

  g_array_free (l->waiters, TRUE);
  g_free (l->name);
  g_free (l);
}

static leave_t *
leave_find (const pu_entry_t *en, const char *name, guint64 incarnation)
{
  const leave_t key = { .name = (char *)name, .incarnation = incarnation };

  return g_hash_table_lookup (en->leaves, &key);
}

static leave_t *
leave_get_or_add (pu_entry_t *en, const char *name, guint64 incarnation)
{
  leave_t *l = leave_find (en, name, incarnation);

  if (l != NULL)
    return l;
  l = g_new0 (leave_t, 1);
  l->name = g_strdup (name);
  l->incarnation = incarnation;
  l->waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
  l->started_at = loop_now (en);
  g_hash_table_add (en->leaves, l);
  return l;
}

static const pu_backend_record *
view_record (const pu_entry_t *en, const char *name)
{
  return pu_state_backend (en->o.hooks.view (en->o.hooks.data), name);
}

static leave_status_t
leave_status (const pu_entry_t *en, const char *name, guint64 incarnation)
{
  const pu_backend_record *b = view_record (en, name);

  if (b == NULL || b->incarnation < incarnation)
    return LEAVE_OPEN;
  if (b->incarnation > incarnation)
    return LEAVE_SUPERSEDED;
  if (b->down && pu_break_active (PU_BREAK_LEAVE_UNRECORDED))
    return LEAVE_RECORDED;
  return b->leaving ? LEAVE_RECORDED : LEAVE_OPEN;
}

/* Whether the leave that W waits for may be acknowledged.  */
static bool
is_known (const waiter_t *w, leave_status_t status)
{
  return status == LEAVE_RECORDED
         || (status == LEAVE_SUPERSEDED && w->names_incarnation);
}

/* Calls the waiters of L that are due by NOW, or all of them.  */
static void
waiters_call (leave_t *l, leave_status_t status, guint64 now)
{
  for (guint i = l->waiters->len; i-- > 0;)
    {
      waiter_t w = g_array_index (l->waiters, waiter_t, i);

      if (w.due > now)
        continue;
      g_array_remove_index (l->waiters, i);
      w.fn (w.data, is_known (&w, status));
    }
}

static void
leave_end (pu_entry_t *en, leave_t *l, leave_status_t status)
{
  static const char *const outcomes[] = {
    [LEAVE_OPEN] = "given up",
    [LEAVE_RECORDED] = "in the log",
    [LEAVE_SUPERSEDED] = "a later incarnation has registered",
  };

  pu_log_event (PU_ENTRY_LOG_SLICE, "A backend server leaves.",
                PU_LOG_TEXT ("server", l->name),
                PU_LOG_NUMBER ("incarnation", l->incarnation),
                PU_LOG_TEXT ("outcome", outcomes[status]),
                PU_LOG_NUMBER ("waited_ms", loop_now (en) - l->started_at));
  waiters_call (l, status, G_MAXUINT64);
  g_hash_table_remove (en->leaves, l);
}

static void
on_proposed (void *data, const pu_reply *r, const pu_error_t *e)
{
  proposal_t *p = data;
  pu_entry_t *en = p->en;
  leave_t *l = leave_find (en, p->name, p->incarnation);

  en->pending--;
  if (l != NULL && r != NULL
      && (r->outcome == PU_OUTCOME_DONE || r->outcome == PU_OUTCOME_SEEN))
    {
      leave_end (en, l, LEAVE_RECORDED);
    }
  else if (l != NULL && r != NULL && r->outcome == PU_OUTCOME_CONFLICT)
    {
      leave_end (en, l, LEAVE_SUPERSEDED);
    }
  else if (l != NULL)
    {
      pu_log_info (PU_ENTRY_LOG_SLICE,
                   "The log does not have yet that incarnation "
                   "%" G_GUINT64_FORMAT " of %s leaves: %s",
                   p->incarnation, p->name,
                   r != NULL ? r->detail : e->message);
      l->proposing = false;
      l->propose_at = loop_now (en) + RETRY_MS;
    }
  g_free (p->name);
  g_free (p);
  pu_entry_check_stopped (en);
}

static void
leave_propose (pu_entry_t *en, leave_t *l)
{
  pu_command c = { .type = PU_COMMAND_BACKEND_LEAVING };
  proposal_t *p;

  if (l->proposing || loop_now (en) < l->propose_at)
    return;
  p = g_new0 (proposal_t, 1);
  p->en = en;
  p->name = g_strdup (l->name);
  p->incarnation = l->incarnation;
  l->proposing = true;
  en->pending++;
  c.pu_command_u.backend_leaving.name = p->name;
  c.pu_command_u.backend_leaving.incarnation = p->incarnation;
  en->o.hooks.propose (en->o.hooks.data, &c, en->o.log_proposal_timeout_ms,
                       on_proposed, p);
}

/* Records the leave of INCARNATION of NAME, for which W waits if it has a
   function.  */
static void
leave_begin (pu_entry_t *en, const char *name, guint64 incarnation, waiter_t w)
{
  leave_status_t status = leave_status (en, name, incarnation);
  leave_t *l;

  pu_server_set_leaving (en, name, incarnation);
  if (status != LEAVE_OPEN)
    {
      if (w.fn != NULL)
        w.fn (w.data, is_known (&w, status));
      return;
    }
  l = leave_get_or_add (en, name, incarnation);
  w.due = loop_now (en) + ACKNOWLEDGE_MS;
  if (w.fn != NULL)
    g_array_append_val (l->waiters, w);
  leave_propose (en, l);
}

void
pu_entry_mark_leaving (pu_entry_t *en, const char *name, guint64 incarnation,
                       pu_entry_leave_fn *fn, void *data)
{
  leave_begin (
      en, name, incarnation,
      (waiter_t){ .fn = fn, .data = data, .names_incarnation = true });
}

static void
note_incarnation (const pu_backend_record *b, void *data)
{
  guint64 *latest = data;

  *latest = MAX (*latest, b->incarnation);
}

/* Whether backend servers are known, and none states its incarnation: a name
   then has a single one.  */
static bool
names_have_one_incarnation (const pu_entry_t *en)
{
  guint64 latest = 0;

  pu_state_each_backend (en->o.hooks.view (en->o.hooks.data), note_incarnation,
                         &latest);
  return latest == PU_INCARNATION_UNREPORTED;
}

/* Returns why a removal of INCARNATION of NAME, which it does not name, may be
   about another one, or NULL.  INCARNATION 0: none is known.  */
static const char *
removal_doubt (const pu_entry_t *en, const char *name, guint64 incarnation)
{
  const pu_entry_hooks_t *h = &en->o.hooks;

  if (*name == '\0' || strlen (name) > PU_NAME_MAX)
    return "its name is invalid";
  if (incarnation == 0 && !names_have_one_incarnation (en))
    return "which incarnation is meant is not known";
  if (h->view_current != NULL && !h->view_current (h->data))
    return "this instance's view is old";
  if (pu_server_replaced_ms (en, name, incarnation) < LATE_MS
      && !pu_break_active (PU_BREAK_LATE_REMOVAL_TAKEN))
    return "it may be late, of the incarnation before";
  return NULL;
}

void
pu_entry_mark_removed (pu_entry_t *en, const char *name, pu_entry_leave_fn *fn,
                       void *data)
{
  guint64 incarnation = pu_entry_latest_incarnation (en, name);
  const char *doubt = removal_doubt (en, name, incarnation);

  if (doubt != NULL)
    {
      pu_log_event (PU_ENTRY_LOG_SLICE, "A removal was refused.",
                    PU_LOG_TEXT ("server", name),
                    PU_LOG_NUMBER ("incarnation", incarnation),
                    PU_LOG_TEXT ("reason", doubt));
      fn (data, false);
      return;
    }
  if (incarnation == 0)
    incarnation = PU_INCARNATION_UNREPORTED;
  leave_begin (en, name, incarnation, (waiter_t){ .fn = fn, .data = data });
}

void
pu_leaves_tick (pu_entry_t *en, guint64 now)
{
  GList *leaves = g_hash_table_get_keys (en->leaves);

  for (const GList *n = leaves; n != NULL; n = n->next)
    {
      leave_t *l = n->data;
      leave_status_t status = leave_status (en, l->name, l->incarnation);

      if (status != LEAVE_OPEN || now >= l->started_at + GIVE_UP_MS)
        {
          leave_end (en, l, status);
          continue;
        }
      waiters_call (l, LEAVE_OPEN, now);
      leave_propose (en, l);
    }
  g_list_free (leaves);
}

void
pu_leaves_give_up (pu_entry_t *en)
{
  GHashTableIter it;
  gpointer l;

  g_hash_table_iter_init (&it, en->leaves);
  while (g_hash_table_iter_next (&it, &l, NULL))
    waiters_call (l, LEAVE_OPEN, G_MAXUINT64);
}
