#include "placement/placement.h"

#include <string.h>

/* When a load could not be queued, the planner does not plan it again on that
   engine for at least this time.  */
#define REFUSED_RETRY_MS 2000

typedef struct
{
  bool known;
  guint32 item;
  guint32 version;
} copy_id_t;

/* A backend server's state as set by the last pu_placement_update_backend.  */
typedef struct
{
  bool known;
  bool down;
  pu_ledger_report_t report; /* report.held points to the data of `held` */
  GArray *held;
  guint32 zone;
  double streams;
} server_t;

struct pu_placement
{
  pu_placement_options_t o;
  pu_planner_t *planner;
  pu_orders_t *orders;
  GArray *copy_ids;          /* of copy_id_t, by copy */
  GHashTable *copies;        /* item and version -> copy + 1 */
  GArray *servers;           /* of server_t, by backend */
  GPtrArray *backend_orders; /* scratch: the orders to the backend server being
                                processed */
  GArray *next;        /* scratch, of guint: linked lists of orders, one list
                          for each backend server */
  GArray *moves;       /* scratch, of pu_move_t */
  GArray *plan_copies; /* scratch, of pu_plan_copy_t */
  GString *reason;     /* scratch */
};

static void
clear_server (gpointer data)
{
  server_t *s = data;

  if (s->held != NULL)
    g_array_unref (s->held);
}

pu_placement_t *
pu_placement_new (const pu_placement_options_t *o, guint64 now)
{
  pu_placement_t *pl = g_new0 (pu_placement_t, 1);

  pl->o = *o;
  pl->planner = pu_planner_new (&o->planner);
  pl->orders = pu_orders_new (&o->orders, now);
  pl->copy_ids = g_array_new (FALSE, TRUE, sizeof (copy_id_t));
  pl->copies
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  pl->servers = g_array_new (FALSE, TRUE, sizeof (server_t));
  g_array_set_clear_func (pl->servers, clear_server);
  pl->backend_orders = g_ptr_array_new ();
  pl->next = g_array_new (FALSE, FALSE, sizeof (guint));
  pl->moves = g_array_new (FALSE, FALSE, sizeof (pu_move_t));
  pl->plan_copies = g_array_new (FALSE, FALSE, sizeof (pu_plan_copy_t));
  pl->reason = g_string_new (NULL);
  return pl;
}

void
pu_placement_free (pu_placement_t *pl)
{
  if (pl == NULL)
    return;
  pu_planner_free (pl->planner);
  pu_orders_free (pl->orders);
  g_array_unref (pl->copy_ids);
  g_hash_table_unref (pl->copies);
  g_array_unref (pl->servers);
  g_ptr_array_unref (pl->backend_orders);
  g_array_unref (pl->next);
  g_array_unref (pl->moves);
  g_array_unref (pl->plan_copies);
  g_string_free (pl->reason, TRUE);
  g_free (pl);
}

pu_planner_t *
pu_placement_planner (pu_placement_t *pl)
{
  return pl->planner;
}

pu_orders_t *
pu_placement_orders (pu_placement_t *pl)
{
  return pl->orders;
}

static guint64
copy_key (guint32 item, guint32 version)
{
  return (guint64)item << 32 | version;
}

void
pu_placement_map_copy (pu_placement_t *pl, guint32 copy, guint32 item,
                       guint32 version)
{
  guint64 key = copy_key (item, version);
  copy_id_t *n;

  if (pl->copy_ids->len <= copy)
    g_array_set_size (pl->copy_ids, copy + 1);
  n = &g_array_index (pl->copy_ids, copy_id_t, copy);
  n->known = true;
  n->item = item;
  n->version = version;
  g_hash_table_insert (pl->copies, g_memdup2 (&key, sizeof key),
                       GUINT_TO_POINTER (copy + 1));
}

static bool
find_copy_id (const pu_placement_t *pl, guint32 copy, copy_id_t *n)
{
  if (copy >= pl->copy_ids->len)
    return false;
  *n = g_array_index (pl->copy_ids, copy_id_t, copy);
  return n->known;
}

static bool
find_copy (const pu_placement_t *pl, guint32 item, guint32 version,
           guint32 *copy)
{
  guint64 key = copy_key (item, version);
  gpointer v = g_hash_table_lookup (pl->copies, &key);

  *copy = GPOINTER_TO_UINT (v) - 1;
  return v != NULL;
}

static server_t *
find_server (const pu_placement_t *pl, guint32 backend)
{
  server_t *s;

  if (backend >= pl->servers->len)
    return NULL;
  s = &g_array_index (pl->servers, server_t, backend);
  return s->known ? s : NULL;
}

/* Whether pl->backend_orders has an unload of COPY that is queued or in
   flight, or that failed and may still reach the engine.  An unload that the
   ledger has closed does not count.  */
static bool
may_be_unloaded (const pu_placement_t *pl, guint32 copy)
{
  for (guint i = 0; i < pl->backend_orders->len; i++)
    {
      const pu_orders_order_t *r = g_ptr_array_index (pl->backend_orders, i);

      if (r->spec.copy == copy && r->spec.kind == PU_LEDGER_UNLOAD
          && r->state != PU_ORDERS_DONE && r->next_release_at != G_MAXUINT64)
        return true;
    }
  return false;
}

static pu_plan_phase_t
plan_phase (const pu_placement_t *pl, const pu_ledger_copy_t *h)
{
  if (h->phase == PU_LEDGER_DRAINING || h->phase == PU_LEDGER_UNLOADING
      || may_be_unloaded (pl, h->copy))
    return PU_PLAN_UNLOADING;
  return h->phase == PU_LEDGER_LOADING ? PU_PLAN_LOADING : PU_PLAN_READY;
}

static void
add_plan_copy (pu_placement_t *pl, guint32 copy, guint32 memory_mb,
               pu_plan_phase_t phase)
{
  pu_plan_copy_t c;
  copy_id_t n;

  if (!find_copy_id (pl, copy, &n))
    return;
  c.item = n.item;
  c.version = n.version;
  c.memory_mb = memory_mb;
  c.phase = phase;
  g_array_append_val (pl->plan_copies, c);
}

static bool
holds_copy (const server_t *s, guint32 copy)
{
  for (guint i = 0; i < s->held->len; i++)
    {
      if (g_array_index (s->held, pu_ledger_copy_t, i).copy == copy)
        return true;
    }
  return false;
}

/* Whether an order in pl->backend_orders before the one at INDEX loads the
   same copy.  Several orders may load the same copy after a change of
   leader.  */
static bool
has_earlier_load (const pu_placement_t *pl, guint index)
{
  const pu_orders_order_t *r = g_ptr_array_index (pl->backend_orders, index);

  for (guint i = 0; i < index; i++)
    {
      const pu_orders_order_t *o = g_ptr_array_index (pl->backend_orders, i);

      if (o->spec.kind == PU_LEDGER_LOAD && o->state <= PU_ORDERS_ACKED
          && o->spec.copy == r->spec.copy)
        return true;
    }
  return false;
}

/* Adds the copies that are ordered but not reported yet to pl->plan_copies.
   Returns the MB of the added copies that the ledger does not count yet.  */
static guint32
add_ordered_copies (pu_placement_t *pl, const server_t *s)
{
  guint32 unreserved = 0;

  for (guint i = 0; i < pl->backend_orders->len; i++)
    {
      const pu_orders_order_t *r = g_ptr_array_index (pl->backend_orders, i);

      if (r->spec.kind != PU_LEDGER_LOAD || r->state > PU_ORDERS_ACKED
          || holds_copy (s, r->spec.copy) || has_earlier_load (pl, i))
        continue;
      if (r->state < PU_ORDERS_RESERVED)
        unreserved += r->spec.memory_mb;
      add_plan_copy (pl, r->spec.copy, r->spec.memory_mb, PU_PLAN_ORDERED);
    }
  return unreserved;
}

/* Updates the planner's state of BACKEND, whose orders must be in
   pl->backend_orders.  */
static void
update_planner_engine (pu_placement_t *pl, guint32 backend, guint64 now)
{
  const server_t *s = find_server (pl, backend);
  pu_plan_engine_t e = { 0 };

  if (s == NULL)
    return;
  g_array_set_size (pl->plan_copies, 0);
  for (guint i = 0; i < s->held->len; i++)
    {
      const pu_ledger_copy_t *h
          = &g_array_index (s->held, pu_ledger_copy_t, i);

      add_plan_copy (pl, h->copy, h->memory_mb, plan_phase (pl, h));
    }
  e.committed_mb
      = pl->o.committed (pl->o.data, backend) + add_ordered_copies (pl, s);
  e.zone = s->zone;
  e.accelerators = s->report.accelerators;
  e.memory_mb = s->report.memory_mb;
  e.streams = s->streams;
  e.usable = !s->down && !s->report.leaving;
  e.loads_suspended
      = !pu_orders_may_load (pl->orders, backend, s->report.fenced, now);
  e.copies = (const pu_plan_copy_t *)(void *)pl->plan_copies->data;
  e.n_copies = pl->plan_copies->len;
  pu_planner_set_engine (pl->planner, backend, &e, now);
}

static void
find_backend_orders (pu_placement_t *pl, guint32 backend)
{
  g_ptr_array_set_size (pl->backend_orders, 0);
  for (guint i = 0; i < pu_orders_count (pl->orders); i++)
    {
      const pu_orders_order_t *r = pu_orders_get (pl->orders, i);

      if (r->spec.backend == backend)
        g_ptr_array_add (pl->backend_orders, (gpointer)r);
    }
}

static void
refresh_engine (pu_placement_t *pl, guint32 backend, guint64 now)
{
  find_backend_orders (pl, backend);
  update_planner_engine (pl, backend, now);
}

/* Does what refresh_engine does, for all backend servers, with one pass over
   the orders.  */
static void
refresh_all_engines (pu_placement_t *pl, guint64 now)
{
  guint n = pu_orders_count (pl->orders);
  guint *next;

  if (pl->servers->len == 0)
    return;
  /* next[n + b] is the index of the first order to backend server b, and
     next[i] is the index of the order that follows order i to the same backend
     server.  0xffffffff ends a list.  */
  g_array_set_size (pl->next, n + pl->servers->len);
  next = (guint *)(void *)pl->next->data;
  memset (next, 0xff, pl->next->len * sizeof *next);
  for (guint i = n; i-- > 0;)
    {
      guint32 b = pu_orders_get (pl->orders, i)->spec.backend;

      if (b >= pl->servers->len)
        continue;
      next[i] = next[n + b];
      next[n + b] = i;
    }
  for (guint32 b = 0; b < pl->servers->len; b++)
    {
      g_ptr_array_set_size (pl->backend_orders, 0);
      for (guint i = next[n + b]; i < n; i = next[i])
        {
          g_ptr_array_add (pl->backend_orders,
                           (gpointer)pu_orders_get (pl->orders, i));
        }
      update_planner_engine (pl, b, now);
    }
}

static bool
reports_loading_or_ready (const pu_ledger_report_t *r, guint32 copy)
{
  for (guint i = 0; i < r->n_held; i++)
    {
      if (r->held[i].copy == copy && r->held[i].phase <= PU_LEDGER_READY)
        return true;
    }
  return false;
}

/* Reports a load failure to the planner for each copy that was ready and is
   neither loading nor ready in R, although no unload was ordered and the
   backend server has not restarted.  */
static void
note_lost_copies (pu_placement_t *pl, const server_t *s,
                  const pu_ledger_report_t *r, guint64 now)
{
  if (!s->known || s->report.incarnation != r->incarnation)
    return;
  find_backend_orders (pl, r->backend);
  for (guint i = 0; i < s->held->len; i++)
    {
      const pu_ledger_copy_t *h
          = &g_array_index (s->held, pu_ledger_copy_t, i);
      copy_id_t n;

      if (h->phase == PU_LEDGER_READY && find_copy_id (pl, h->copy, &n)
          && !reports_loading_or_ready (r, h->copy)
          && !may_be_unloaded (pl, h->copy))
        {
          pu_planner_load_failed (pl->planner, r->backend, n.item, n.version,
                                  now);
        }
    }
}

void
pu_placement_update_backend (pu_placement_t *pl, const pu_ledger_report_t *r,
                             bool down, guint32 zone, double streams,
                             guint64 now)
{
  server_t *s;

  if (pl->servers->len <= r->backend)
    g_array_set_size (pl->servers, r->backend + 1);
  s = &g_array_index (pl->servers, server_t, r->backend);
  if (s->held == NULL)
    s->held = g_array_new (FALSE, FALSE, sizeof (pu_ledger_copy_t));
  if (!down)
    note_lost_copies (pl, s, r, now);
  g_array_set_size (s->held, 0);
  if (r->n_held > 0)
    g_array_append_vals (s->held, r->held, r->n_held);
  s->report = *r;
  s->report.held = (const pu_ledger_copy_t *)(void *)s->held->data;
  s->known = true;
  s->down = down;
  s->zone = zone;
  s->streams = streams;
  if (down)
    {
      pu_orders_backend_down (pl->orders, r->backend, now);
    }
  else
    {
      pu_orders_handle_report (pl->orders, &s->report, now);
    }
  refresh_engine (pl, r->backend, now);
}

void
pu_placement_adopt (pu_placement_t *pl, const pu_ledger_order_t *open,
                    guint64 now)
{
  const server_t *s = find_server (pl, open->backend);

  pu_orders_adopt (pl->orders, open, s != NULL && s->report.fenced, now);
  refresh_engine (pl, open->backend, now);
}

static guint32
backend_of (const pu_placement_t *pl, guint32 id, guint64 token)
{
  for (guint i = 0; i < pu_orders_count (pl->orders); i++)
    {
      const pu_orders_order_t *r = pu_orders_get (pl->orders, i);

      if ((id != 0 && r->id == id) || (token != 0 && r->token == token))
        return r->spec.backend;
    }
  return PU_PLAN_NONE;
}

void
pu_placement_handle_reserved (pu_placement_t *pl, guint32 id, bool accepted,
                              guint64 token, guint64 now)
{
  guint32 backend = backend_of (pl, id, 0);

  pu_orders_handle_reserved (pl->orders, id, accepted, token, now);
  refresh_engine (pl, backend, now);
}

static void
note_failed_load (pu_placement_t *pl, const pu_orders_order_t *r, guint64 now)
{
  copy_id_t n;

  if (r->spec.kind == PU_LEDGER_LOAD && find_copy_id (pl, r->spec.copy, &n))
    {
      pu_planner_load_failed (pl->planner, r->spec.backend, n.item, n.version,
                              now);
    }
}

void
pu_placement_handle_unsent (pu_placement_t *pl, guint64 token, guint64 now)
{
  guint32 backend = backend_of (pl, 0, token);

  pu_orders_handle_unsent (pl->orders, token, now);
  refresh_engine (pl, backend, now);
}

void
pu_placement_handle_answer (pu_placement_t *pl, guint64 token,
                            pu_orders_answer_t a, guint64 now)
{
  guint32 backend = backend_of (pl, 0, token);

  pu_orders_handle_answer (pl->orders, token, a, now);
  for (guint i = 0; i < pu_orders_count (pl->orders); i++)
    {
      const pu_orders_order_t *r = pu_orders_get (pl->orders, i);

      if (r->token == token && r->state == PU_ORDERS_FAILED
          && a == PU_ORDERS_REFUSED)
        note_failed_load (pl, r, now);
    }
  refresh_engine (pl, backend, now);
}

void
pu_placement_handle_closed (pu_placement_t *pl, guint64 token, guint64 now)
{
  guint32 backend = backend_of (pl, 0, token);

  pu_orders_handle_closed (pl->orders, token);
  refresh_engine (pl, backend, now);
}

static bool
queue_order (pu_placement_t *pl, pu_ledger_kind_t kind, guint32 backend,
             guint32 copy, guint32 memory_mb, const char *reason, guint64 now)
{
  const server_t *s = find_server (pl, backend);
  pu_orders_spec_t w = { 0 };

  if (s == NULL || s->down)
    return false;
  w.kind = kind;
  w.backend = backend;
  w.incarnation = s->report.incarnation;
  w.fenced = s->report.fenced;
  w.copy = copy;
  w.memory_mb = kind == PU_LEDGER_LOAD ? memory_mb : 0;
  w.reason = reason;
  return pu_orders_enqueue (pl->orders, &w, now) != 0;
}

static void
queue_move (pu_placement_t *pl, const pu_move_t *m, guint64 now)
{
  pu_ledger_kind_t kind
      = m->kind == PU_MOVE_LOAD ? PU_LEDGER_LOAD : PU_LEDGER_UNLOAD;
  guint64 until;
  guint32 copy;

  if (!find_copy (pl, m->item, m->version, &copy))
    return;
  g_string_truncate (pl->reason, 0);
  pu_planner_explain_move (pl->planner, m, pl->reason);
  g_string_truncate (pl->reason, pl->reason->len - 1);
  if (queue_order (pl, kind, m->engine, copy, m->memory_mb, pl->reason->str,
                   now)
      || kind == PU_LEDGER_UNLOAD)
    return;
  pu_orders_failures (pl->orders, m->engine, copy, &until);
  pu_planner_block (pl->planner, m->engine, m->item,
                    MAX (until, now + REFUSED_RETRY_MS));
}

static void
plan_moves (pu_placement_t *pl, guint64 now)
{
  refresh_all_engines (pl, now);
  g_array_set_size (pl->moves, 0);
  pu_planner_step (pl->planner, now, pl->moves);
  for (guint i = 0; i < pl->moves->len; i++)
    queue_move (pl, &g_array_index (pl->moves, pu_move_t, i), now);
  for (guint i = 0; i < pl->moves->len; i++)
    refresh_engine (pl, g_array_index (pl->moves, pu_move_t, i).engine, now);
}

/* Whether the planner allows the unload R: another copy of the item is ready,
   the copy of R is not ready, or the item is not declared.  */
static bool
may_send_unload (const pu_placement_t *pl, const pu_orders_order_t *r)
{
  copy_id_t n;

  return !find_copy_id (pl, r->spec.copy, &n)
         || pu_planner_may_unload (pl->planner, r->spec.backend, n.item,
                                   n.version);
}

/* Queues another order for the copy of R, whose later token fences R off.  The
   new order is a load when R is an unload that failed (the engine still holds
   the copy, so the load changes nothing), or when no copy of the item is ready
   and R loads the version that the item should have.  Otherwise it is an
   unload.  */
static void
queue_fence (pu_placement_t *pl, const pu_orders_order_t *r, guint64 now)
{
  copy_id_t n;
  bool load
      = r->spec.kind == PU_LEDGER_UNLOAD
        || (find_copy_id (pl, r->spec.copy, &n)
            && pu_planner_needs_version (pl->planner, n.item, n.version));
  guint32 memory_mb = r->spec.memory_mb;
  const server_t *s = find_server (pl, r->spec.backend);

  for (guint i = 0; s != NULL && i < s->held->len; i++)
    {
      const pu_ledger_copy_t *h
          = &g_array_index (s->held, pu_ledger_copy_t, i);

      if (h->copy == r->spec.copy)
        memory_mb = MAX (memory_mb, h->memory_mb);
    }
  queue_order (pl, load ? PU_LEDGER_LOAD : PU_LEDGER_UNLOAD, r->spec.backend,
               r->spec.copy, memory_mb, "to fence off an earlier order", now);
}

/* Handles the action A: queues the order that a fence action asks for, cancels
   an unload that the planner no longer allows, and records a failed load.
   Returns whether A stays in the list that pu_placement_step returns.  */
static bool
handle_action (pu_placement_t *pl, const pu_orders_action_t *a, guint64 now)
{
  bool unload = a->order.spec.kind == PU_LEDGER_UNLOAD;

  switch (a->kind)
    {
    case PU_ORDERS_ACTION_SEND:
      if (!unload || may_send_unload (pl, &a->order))
        return true;
      pu_orders_cancel (pl->orders, a->order.id, now);
      return false;
    case PU_ORDERS_ACTION_FENCE:
      queue_fence (pl, &a->order, now);
      return false;
    case PU_ORDERS_ACTION_FAIL:
      /* A load of the previous leader that no engine is known to have begun
         tells nothing about its item: a later order may have replaced it.  */
      if (!a->order.inherited || a->order.acknowledged)
        note_failed_load (pl, &a->order, now);
      return true;
    default:
      return true;
    }
}

void
pu_placement_step (pu_placement_t *pl, bool plan, guint64 now, GArray *actions)
{
  guint from = actions->len;

  if (plan)
    plan_moves (pl, now);
  pu_orders_step (pl->orders, now, actions);
  for (guint i = from; i < actions->len;)
    {
      pu_orders_action_t a = g_array_index (actions, pu_orders_action_t, i);

      if (handle_action (pl, &a, now))
        {
          i++;
        }
      else
        {
          g_array_remove_index (actions, i);
        }
    }
}
