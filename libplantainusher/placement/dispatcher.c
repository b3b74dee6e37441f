#include "placement/dispatcher_private.h"

#define REPORT_LAG_MS 500
#define ANSWER_TIMEOUT_MS 300
#define CONFLICT_TIMEOUT_MS 4000
#define RETRY_BACKOFF_MS 200
#define POLL_INTERVAL_MS 1000
/* The interval between two reports of an engine is at least this times the
   number of engines.  This limits polling to 500 reports per second; at 100 us
   per report that is 5 % of a core.  Engines that are executing an order are
   polled every BUSY_POLL_INTERVAL_MS regardless of this limit.  */
#define POLL_PER_ENGINE_MS 2
#define BUSY_POLL_INTERVAL_MS 200
/* Interval at which the next order is sent to an engine that has accepted an
   unload.  The unload of an unused model completes immediately, but a report
   shows this only half a second later.  While the engine is still unloading,
   it refuses the order.  */
#define UNLOAD_PROBE_MS 60
/* An adapter is taken as ready this long after the engine accepted its load.
   Adapters of 12 MB and 66 MB load from the weights store in 5 ms and 14
   ms.  */
#define ADAPTER_LOAD_MS 18

void
pu_dispatcher_options_init (pu_dispatcher_options_t *o)
{
  *o = (pu_dispatcher_options_t){ .report_lag_ms = REPORT_LAG_MS,
                                  .answer_timeout_ms = ANSWER_TIMEOUT_MS,
                                  .conflict_timeout_ms = CONFLICT_TIMEOUT_MS,
                                  .retry_backoff_ms = RETRY_BACKOFF_MS,
                                  .poll_interval_ms = POLL_INTERVAL_MS,
                                  .poll_per_engine_ms = POLL_PER_ENGINE_MS,
                                  .busy_poll_interval_ms
                                  = BUSY_POLL_INTERVAL_MS,
                                  .adapter_load_ms = ADAPTER_LOAD_MS,
                                  .unload_probe_ms = UNLOAD_PROBE_MS };
}

static void
engine_clear (gpointer data)
{
  pu_dispatcher_engine_t *e = data;

  if (e->items != NULL)
    g_array_unref (e->items);
  g_queue_clear_full (&e->queue, g_free);
  *e = (pu_dispatcher_engine_t){ 0 };
}

pu_dispatcher_t *
pu_dispatcher_new (const pu_dispatcher_options_t *o)
{
  pu_dispatcher_t *d = g_new0 (pu_dispatcher_t, 1);

  d->options = *o;
  d->engines = g_array_new (FALSE, TRUE, sizeof (pu_dispatcher_engine_t));
  g_array_set_clear_func (d->engines, engine_clear);
  d->item_infos
      = g_array_new (FALSE, TRUE, sizeof (pu_dispatcher_item_info_t));
  d->finished = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  return d;
}

void
pu_dispatcher_free (pu_dispatcher_t *d)
{
  if (d == NULL)
    return;
  g_array_unref (d->engines);
  g_array_unref (d->item_infos);
  g_array_unref (d->finished);
  g_free (d);
}

pu_dispatcher_engine_t *
pu_dispatcher_engine_at (const pu_dispatcher_t *d, guint32 engine)
{
  pu_dispatcher_engine_t *e;

  if (engine >= d->engines->len)
    return NULL;
  e = &g_array_index (d->engines, pu_dispatcher_engine_t, engine);
  return e->present ? e : NULL;
}

/* --- items of an engine --- */

static pu_dispatcher_item_t *
item_find (const pu_dispatcher_engine_t *e, guint32 item)
{
  for (guint i = 0; i < e->items->len; i++)
    {
      pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->item == item)
        return t;
    }
  return NULL;
}

static pu_dispatcher_item_t *
item_set_phase (pu_dispatcher_engine_t *e, guint32 item,
                pu_dispatcher_phase_t phase)
{
  pu_dispatcher_item_t *t = item_find (e, item);
  pu_dispatcher_item_t added = { .item = item, .phase = phase };

  if (t == NULL)
    {
      g_array_append_val (e->items, added);
      return item_find (e, item);
    }
  t->phase = phase;
  return t;
}

static void
item_remove (pu_dispatcher_engine_t *e, guint32 item)
{
  for (guint i = 0; i < e->items->len; i++)
    {
      if (g_array_index (e->items, pu_dispatcher_item_t, i).item != item)
        continue;
      g_array_remove_index_fast (e->items, i);
      return;
    }
}

/* --- an engine's queue of orders --- */

static pu_dispatcher_queued_t *
queue_head (const pu_dispatcher_engine_t *e)
{
  return g_queue_peek_head ((GQueue *)&e->queue);
}

pu_dispatcher_queued_t *
pu_dispatcher_find_order (const pu_dispatcher_engine_t *e, guint32 item)
{
  for (GList *l = e->queue.head; l != NULL; l = l->next)
    {
      pu_dispatcher_queued_t *o = l->data;

      if (o->order.item == item)
        return o;
    }
  return NULL;
}

/* --- results of the order at the head of the queue --- */

static void
finished_append (pu_dispatcher_t *d, guint32 engine,
                 const pu_dispatcher_queued_t *o,
                 pu_dispatcher_action_kind_t kind)
{
  pu_dispatcher_action_t a
      = { .kind = kind, .engine = engine, .order = o->order };

  g_array_append_val (d->finished, a);
}

/* Removes the order at the head of the queue and records its result.  */
static void
order_finish (pu_dispatcher_t *d, guint32 engine,
              pu_dispatcher_action_kind_t kind)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *o = g_queue_pop_head (&e->queue);

  e->first_sent_order = NULL;
  e->head_sent = false;
  e->outcome_unknown = false;
  finished_append (d, engine, o, kind);
  g_free (o);
}

/* Restores the phase of the item of an order that will not be executed.  A
   phase that a report has set since the order was queued is not changed.  */
static void
order_roll_back (pu_dispatcher_engine_t *e, const pu_dispatcher_order_t *o)
{
  pu_dispatcher_item_t *t = item_find (e, o->item);

  if (t != NULL && t->phase == PU_DISPATCHER_UNLOADING)
    t->phase = PU_DISPATCHER_READY;
  if (t != NULL && t->phase == PU_DISPATCHER_QUEUED)
    item_remove (e, o->item);
}

static void
order_fail (pu_dispatcher_t *d, guint32 engine)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  order_roll_back (e, &queue_head (e)->order);
  order_finish (d, engine, PU_DISPATCHER_ACTION_FAILED);
}

/* Called when the engine has accepted the load of a model.  All unloads of
   models that it accepted earlier are then complete, so their models are
   removed from the items of E.  An adapter's unload waits for running requests
   while the engine executes other orders, so only a report shows that the
   adapter's slot is free.  */
static void
model_unloads_end (pu_dispatcher_engine_t *e)
{
  e->busy_unloading = false;
  for (guint i = e->items->len; i-- > 0;)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->phase == PU_DISPATCHER_UNLOADING && !t->adapter
          && pu_dispatcher_find_order (e, t->item) == NULL)
        g_array_remove_index_fast (e->items, i);
    }
}

/* Records that the engine is executing the order at the head of its queue.
   CERTAIN: the engine answered that it accepted the order; otherwise the
   acceptance is inferred from a report.  */
static void
order_accepted (pu_dispatcher_t *d, guint32 engine, bool certain, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_order_t o = queue_head (e)->order;

  e->changed_at = now;
  if (o.op == PU_DISPATCHER_LOAD)
    item_set_phase (e, o.item, PU_DISPATCHER_LOADING)->load_accepted_at = now;
  /* An unload waits for the requests that use the model or adapter.  The
     unload of an unused adapter is handled in order_completed instead: the
     engine completes it before it answers.  */
  e->busy = e->busy || !o.adapter || o.op == PU_DISPATCHER_UNLOAD;
  if (o.op == PU_DISPATCHER_UNLOAD)
    {
      e->busy_unloading = certain;
      e->probe_at = now + d->options.unload_probe_ms;
    }
  else if (!o.adapter && e->busy_unloading)
    {
      model_unloads_end (e);
    }
  e->fetch_at = MIN (e->fetch_at, now + d->options.busy_poll_interval_ms);
  order_finish (d, engine, PU_DISPATCHER_ACTION_ACCEPTED);
}

/* Records that the engine is in the state that the order at the head of its
   queue asks for: it was already, or it reached the state immediately.  */
static void
order_completed (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_order_t o = queue_head (e)->order;

  /* The engine unloads an unused adapter immediately and counts that unload as
     an accepted order.  It does not count an order that changes nothing.  */
  if (o.op == PU_DISPATCHER_UNLOAD && o.adapter)
    {
      e->accepted++;
      e->changed_at = now;
    }
  if (o.op == PU_DISPATCHER_LOAD)
    {
      item_set_phase (e, o.item, PU_DISPATCHER_READY);
    }
  else
    {
      item_remove (e, o.item);
    }
  order_finish (d, engine, PU_DISPATCHER_ACTION_ACCEPTED);
}

/* --- adding and removing engines, queueing orders, answers --- */

void
pu_dispatcher_add_engine (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e;

  if (d->engines->len <= engine)
    g_array_set_size (d->engines, engine + 1);
  e = &g_array_index (d->engines, pu_dispatcher_engine_t, engine);
  if (e->present)
    return;
  /* A new leader adds all engines at once; to ask them all at once would take
     it too long to keep the lead.  */
  d->first_fetch_at = MAX (now, d->first_fetch_at);
  *e = (pu_dispatcher_engine_t){ .present = true,
                                 .fetch_at = d->first_fetch_at };
  d->first_fetch_at += d->options.poll_per_engine_ms;
  d->n_present++;
  e->items = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_item_t));
  g_queue_init (&e->queue);
}

void
pu_dispatcher_remove_engine (pu_dispatcher_t *d, guint32 engine)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e == NULL)
    return;
  while (queue_head (e) != NULL)
    order_finish (d, engine, PU_DISPATCHER_ACTION_FAILED);
  engine_clear (e);
  d->n_present--;
}

/* The queued order before which a new order for an adapter is inserted; NULL:
   the end of the queue.  The new order comes after the head if that may have
   been sent, and after the adapter orders that follow, but ahead of orders for
   models, because an adapter loads quickly and a request is waiting for
   it.  */
static GList *
adapter_queue_end (const pu_dispatcher_engine_t *e)
{
  GList *l = e->queue.head;

  if (l != NULL && (e->head_sent || e->outcome_unknown))
    l = l->next;
  while (l != NULL && ((const pu_dispatcher_queued_t *)l->data)->order.adapter)
    l = l->next;
  return l;
}

/* Whether O would change the set of items of E.  */
static bool
order_changes_engine (const pu_dispatcher_engine_t *e,
                      const pu_dispatcher_order_t *o)
{
  return (item_find (e, o->item) == NULL) == (o->op == PU_DISPATCHER_LOAD);
}

bool
pu_dispatcher_enqueue (pu_dispatcher_t *d, guint32 engine,
                       const pu_dispatcher_order_t *o, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *queued;

  if (e == NULL || !e->reported || e->fenced
      || pu_dispatcher_find_order (e, o->item) != NULL
      || !order_changes_engine (e, o))
    return false;
  queued = g_new0 (pu_dispatcher_queued_t, 1);
  queued->order = *o;
  queued->queued_at = now;
  g_queue_insert_before (&e->queue, o->adapter ? adapter_queue_end (e) : NULL,
                         queued);
  item_set_phase (e, o->item,
                  o->op == PU_DISPATCHER_LOAD ? PU_DISPATCHER_QUEUED
                                              : PU_DISPATCHER_UNLOADING)
      ->adapter
      = o->adapter;
  return true;
}

/* Handles the answer that the engine is executing another order, or that its
   count of accepted orders differs from the expected count.  */
static void
order_conflict (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e->busy)
    {
      /* An unload that was accepted earlier still waits for running requests.
         The order at the head of the queue has not failed, so its conflict
         time-out starts again.  */
      e->probe_at = now + d->options.unload_probe_ms;
      e->first_sent_order = NULL;
      e->head_sent = e->outcome_unknown;
      return;
    }
  e->send_after = now + d->options.retry_backoff_ms;
  e->fetch_at = MIN (e->fetch_at, now + d->options.retry_backoff_ms);
  if (now >= e->first_sent_at + d->options.conflict_timeout_ms)
    {
      order_fail (d, engine);
    }
  else if (!e->outcome_unknown)
    {
      e->head_sent = false;
    }
}

void
pu_dispatcher_handle_answer (pu_dispatcher_t *d, guint32 engine,
                             pu_dispatcher_answer_t a, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e == NULL || !e->head_sent || e->head_answered)
    return;
  e->head_answered = true;
  switch (a)
    {
    case PU_DISPATCHER_ACCEPTED:
      e->accepted++;
      order_accepted (d, engine, true, now);
      return;
    case PU_DISPATCHER_COMPLETED:
      order_completed (d, engine, now);
      return;
    case PU_DISPATCHER_CONFLICT:
      order_conflict (d, engine, now);
      return;
    case PU_DISPATCHER_FENCED:
      e->fenced = true;
      order_fail (d, engine);
      return;
    case PU_DISPATCHER_REFUSED:
    case PU_DISPATCHER_MISDIRECTED:
      order_fail (d, engine);
      e->fetch_at = now;
      return;
    case PU_DISPATCHER_UNDELIVERED:
      if (!e->outcome_unknown)
        {
          order_fail (d, engine);
          e->fetch_at = MIN (e->fetch_at, now);
          return;
        }
      /* An earlier send may have arrived.  */
      G_GNUC_FALLTHROUGH;
    case PU_DISPATCHER_NO_ANSWER:
      e->outcome_unknown = true;
      e->send_after = now + d->options.retry_backoff_ms;
      e->fetch_at = MIN (e->fetch_at, now);
      return;
    }
}

/* --- reports of engines --- */

static bool
list_contains (const guint32 *list, guint n, guint32 item)
{
  for (guint i = 0; i < n; i++)
    {
      if (list[i] == item)
        return true;
    }
  return false;
}

static bool
report_lists (const pu_dispatcher_report_t *r, guint32 item)
{
  return list_contains (r->loaded, r->n_loaded, item)
         || list_contains (r->loading, r->n_loading, item);
}

/* Whether R, whose count of accepted orders is one higher than the count that
   O was sent with, is consistent with O being the order accepted last.  */
static bool
report_confirms_order (const pu_dispatcher_report_t *r,
                       const pu_dispatcher_order_t *o)
{
  if (o->op == PU_DISPATCHER_UNLOAD)
    return !list_contains (r->loaded, r->n_loaded, o->item) || r->busy;
  return report_lists (r, o->item) || (r->busy && !o->adapter);
}

/* Removes the items that R does not list, except items with a queued order and
   items whose load the engine may be executing.  */
static void
unlisted_items_remove (pu_dispatcher_engine_t *e,
                       const pu_dispatcher_report_t *r)
{
  for (guint i = e->items->len; i-- > 0;)
    {
      pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);
      bool queued = pu_dispatcher_find_order (e, t->item) != NULL;
      bool loading = t->phase == PU_DISPATCHER_LOADING && r->busy;

      if (report_lists (r, t->item) || queued || loading)
        continue;
      g_array_remove_index_fast (e->items, i);
    }
}

static void
reported_items_apply (pu_dispatcher_engine_t *e,
                      const pu_dispatcher_report_t *r)
{
  unlisted_items_remove (e, r);
  for (guint i = 0; i < r->n_loading; i++)
    {
      if (item_find (e, r->loading[i]) == NULL)
        item_set_phase (e, r->loading[i], PU_DISPATCHER_LOADING);
    }
  for (guint i = 0; i < r->n_loaded; i++)
    {
      const pu_dispatcher_item_t *t = item_find (e, r->loaded[i]);
      bool leaving
          = t != NULL && t->phase == PU_DISPATCHER_UNLOADING
            && (r->busy || pu_dispatcher_find_order (e, t->item) != NULL);

      if (!leaving)
        item_set_phase (e, r->loaded[i], PU_DISPATCHER_READY);
    }
}

/* Handles a report R in which the engine has accepted more orders than this
   dispatcher has counted: an order of this dispatcher whose answer was lost,
   or orders of another leader.  */
static void
accepted_count_apply (pu_dispatcher_t *d, guint32 engine,
                      const pu_dispatcher_report_t *r, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  bool own = e->head_sent && r->accepted == e->expected + 1
             && report_confirms_order (r, &queue_head (e)->order);

  e->accepted = r->accepted;
  e->changed_at = now;
  if (own)
    {
      order_accepted (d, engine, false, now);
    }
  else
    {
      /* The engine can no longer accept the order at the head of the queue
         with the count of accepted orders that it was sent with, because the
         engine's own count differs now.  The order is sent again with the new
         count.  */
      e->head_sent = false;
      e->outcome_unknown = false;
    }
}

void
pu_dispatcher_handle_report (pu_dispatcher_t *d, guint32 engine,
                             const pu_dispatcher_report_t *r,
                             guint64 requested_at, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  bool current;

  if (e == NULL)
    return;
  e->fetching = false;
  e->fetch_at = now
                + MAX (d->options.poll_interval_ms,
                       d->n_present * d->options.poll_per_engine_ms);
  if (r == NULL)
    {
      e->fetch_failed = true;
      e->fetch_at = now + d->options.busy_poll_interval_ms;
      return;
    }
  current = !e->reported
            || requested_at >= e->changed_at + d->options.report_lag_ms;
  /* A report that was requested less than report_lag_ms after the last change
     may describe the engine before that change.  */
  if (!current && r->accepted <= e->accepted)
    return;
  if (r->accepted < e->accepted && e->outcome_unknown)
    return;
  if (!e->reported || r->accepted < e->accepted)
    {
      e->accepted = r->accepted;
      e->changed_at = now;
    }
  else if (r->accepted > e->accepted)
    {
      accepted_count_apply (d, engine, r, now);
    }
  e->reported = true;
  e->busy = r->busy;
  e->busy_unloading = e->busy_unloading && e->busy;
  reported_items_apply (e, r);
  if (e->busy)
    e->fetch_at = now + d->options.busy_poll_interval_ms;
}

void
pu_dispatcher_request_report (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e != NULL)
    e->fetch_at = MIN (e->fetch_at, now);
}

void
pu_dispatcher_mark_loaded (pu_dispatcher_t *d, guint32 engine, guint32 item,
                           guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_item_t *t = e != NULL ? item_find (e, item) : NULL;

  if (t == NULL || t->phase != PU_DISPATCHER_LOADING)
    return;
  t->phase = PU_DISPATCHER_READY;
  e->changed_at = now;
  e->busy = false;
  e->fetch_at = MIN (e->fetch_at, now + d->options.report_lag_ms);
}

/* --- the actions that are due --- */

static void
head_send (pu_dispatcher_t *d, guint32 engine, pu_dispatcher_admit_fn *admit,
           void *data, guint64 now, GArray *actions)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *o = queue_head (e);
  pu_dispatcher_action_t a
      = { .kind = PU_DISPATCHER_ACTION_SEND, .engine = engine };
  pu_dispatcher_fit_t fit;

  if (o == NULL || !e->reported || e->fenced || now < e->send_after)
    return;
  if (e->busy && (!e->busy_unloading || now < e->probe_at))
    return;
  if (e->head_sent && !e->head_answered
      && now < e->last_sent_at + d->options.answer_timeout_ms)
    return;
  fit = e->head_sent ? PU_DISPATCHER_FIT_NOW
                     : pu_dispatcher_fit (d, e, &o->order);
  if (fit == PU_DISPATCHER_FIT_NONE)
    order_fail (d, engine);
  if (fit != PU_DISPATCHER_FIT_NOW)
    return;
  if (!e->head_sent && !o->admitted && admit != NULL
      && !admit (data, engine, &o->order))
    return;
  o->admitted = true;
  if (!e->head_sent)
    {
      e->expected = e->accepted;
      if (e->first_sent_order != o)
        e->first_sent_at = now;
      e->first_sent_order = o;
    }
  e->head_sent = true;
  e->head_answered = false;
  e->last_sent_at = now;
  a.order = o->order;
  a.expected = e->expected;
  g_array_append_val (actions, a);
}

static void
report_fetch (pu_dispatcher_t *d, guint32 engine, guint64 now, GArray *actions)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_action_t a
      = { .kind = PU_DISPATCHER_ACTION_FETCH, .engine = engine };

  if (e->fetching || now < e->fetch_at)
    return;
  e->fetching = true;
  g_array_append_val (actions, a);
}

/* Marks an adapter as ready once the usual load time has passed since the
   engine accepted the adapter's load.  */
static void
adapters_mark_ready (const pu_dispatcher_t *d, pu_dispatcher_engine_t *e,
                     guint64 now)
{
  for (guint i = 0; i < e->items->len; i++)
    {
      pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->adapter && t->phase == PU_DISPATCHER_LOADING
          && now >= t->load_accepted_at + d->options.adapter_load_ms)
        t->phase = PU_DISPATCHER_READY;
    }
}

static void
engine_step (pu_dispatcher_t *d, guint32 engine, pu_dispatcher_admit_fn *admit,
             void *data, guint64 now, GArray *actions)
{
  if (pu_dispatcher_engine_at (d, engine) == NULL)
    return;
  adapters_mark_ready (d, pu_dispatcher_engine_at (d, engine), now);
  head_send (d, engine, admit, data, now, actions);
  report_fetch (d, engine, now, actions);
}

/* Moves the results of finished orders of all engines to ACTIONS.  */
static void
finished_flush (pu_dispatcher_t *d, GArray *actions)
{
  if (d->finished->len > 0)
    g_array_append_vals (actions, d->finished->data, d->finished->len);
  g_array_set_size (d->finished, 0);
}

void
pu_dispatcher_step_engine (pu_dispatcher_t *d, guint32 engine,
                           pu_dispatcher_admit_fn *admit, void *data,
                           guint64 now, GArray *actions)
{
  engine_step (d, engine, admit, data, now, actions);
  finished_flush (d, actions);
}

void
pu_dispatcher_step (pu_dispatcher_t *d, pu_dispatcher_admit_fn *admit,
                    void *data, guint64 now, GArray *actions)
{
  for (guint32 i = 0; i < d->engines->len; i++)
    engine_step (d, i, admit, data, now, actions);
  finished_flush (d, actions);
}

/* --- queries of the known state --- */

const pu_dispatcher_item_t *
pu_dispatcher_items (const pu_dispatcher_t *d, guint32 engine, guint *n)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  *n = e != NULL ? e->items->len : 0;
  return e != NULL ? (const pu_dispatcher_item_t *)(void *)e->items->data
                   : NULL;
}

pu_dispatcher_phase_t
pu_dispatcher_phase (const pu_dispatcher_t *d, guint32 engine, guint32 item)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  const pu_dispatcher_item_t *t = e != NULL ? item_find (e, item) : NULL;

  return t != NULL ? t->phase : PU_DISPATCHER_ABSENT;
}

bool
pu_dispatcher_accepts_orders (const pu_dispatcher_t *d, guint32 engine)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  return e != NULL && e->reported && !e->fenced;
}

bool
pu_dispatcher_awaits_first_report (const pu_dispatcher_t *d, guint32 engine)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  return e != NULL && !e->reported && !e->fetch_failed;
}

bool
pu_dispatcher_is_busy (const pu_dispatcher_t *d, guint32 engine)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  return e != NULL && e->busy;
}

bool
pu_dispatcher_has_unknown_order (const pu_dispatcher_t *d, guint32 engine)
{
  const pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e == NULL || !e->busy)
    return false;
  for (guint i = 0; i < e->items->len; i++)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->phase == PU_DISPATCHER_UNLOADING
          || (t->phase == PU_DISPATCHER_LOADING && !t->adapter))
        return false;
    }
  return true;
}
