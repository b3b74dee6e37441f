#include "placement/dispatcher_private.h"

#define LAG_MS 500
#define ANSWER_MS 300
#define GIVE_UP_MS 4000
#define REFUSED_MS 200
#define POLL_MS 1000
/* 500 reports a second at most: 100 us each, a twentieth of a core.  Engines
   that carry out an order are asked every WATCH_MS all the same.  */
#define POLL_EACH_MS 2
#define WATCH_MS 200
/* An unload of what nothing runs on ends at once; a report says so half a
   second later.  */
#define TRY_MS 60
/* Adapters of 12 and 66 MB take 5 and 14 ms from the store.  */
#define ADAPTER_MS 18

void
pu_dispatcher_options_init (pu_dispatcher_options_t *o)
{
  *o = (pu_dispatcher_options_t){ .lag_ms = LAG_MS,
                                  .answer_ms = ANSWER_MS,
                                  .give_up_ms = GIVE_UP_MS,
                                  .refused_ms = REFUSED_MS,
                                  .poll_ms = POLL_MS,
                                  .poll_each_ms = POLL_EACH_MS,
                                  .watch_ms = WATCH_MS,
                                  .adapter_ms = ADAPTER_MS,
                                  .try_ms = TRY_MS };
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

  d->o = *o;
  d->engines = g_array_new (FALSE, TRUE, sizeof (pu_dispatcher_engine_t));
  g_array_set_clear_func (d->engines, engine_clear);
  d->kinds = g_array_new (FALSE, TRUE, sizeof (pu_dispatcher_kind_t));
  d->ends = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_action_t));
  return d;
}

void
pu_dispatcher_free (pu_dispatcher_t *d)
{
  if (d == NULL)
    return;
  g_array_unref (d->engines);
  g_array_unref (d->kinds);
  g_array_unref (d->ends);
  g_free (d);
}

pu_dispatcher_engine_t *
pu_dispatcher_engine_at (const pu_dispatcher_t *d, guint32 engine)
{
  pu_dispatcher_engine_t *e;

  if (engine >= d->engines->len)
    return NULL;
  e = &g_array_index (d->engines, pu_dispatcher_engine_t, engine);
  return e->used ? e : NULL;
}

/* --- items --- */

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
item_set (pu_dispatcher_engine_t *e, guint32 item, pu_dispatcher_phase_t phase)
{
  pu_dispatcher_item_t *t = item_find (e, item);
  pu_dispatcher_item_t fresh = { .item = item, .phase = phase };

  if (t == NULL)
    {
      g_array_append_val (e->items, fresh);
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

/* --- the queue --- */

static pu_dispatcher_queued_t *
order_first (const pu_dispatcher_engine_t *e)
{
  return g_queue_peek_head ((GQueue *)&e->queue);
}

pu_dispatcher_queued_t *
pu_dispatcher_order_for (const pu_dispatcher_engine_t *e, guint32 item)
{
  for (GList *l = e->queue.head; l != NULL; l = l->next)
    {
      pu_dispatcher_queued_t *o = l->data;

      if (o->o.item == item)
        return o;
    }
  return NULL;
}

/* --- what becomes of orders --- */

static void
end_tell (pu_dispatcher_t *d, guint32 engine, const pu_dispatcher_queued_t *o,
          pu_dispatcher_do_t what)
{
  pu_dispatcher_action_t a = { .what = what, .engine = engine, .order = o->o };

  g_array_append_val (d->ends, a);
}

/* The first order leaves the queue.  */
static void
order_end (pu_dispatcher_t *d, guint32 engine, pu_dispatcher_do_t what)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *o = g_queue_pop_head (&e->queue);

  e->first = NULL;
  e->sent = false;
  e->doubt = false;
  end_tell (d, engine, o, what);
  g_free (o);
}

/* What an order that will not be carried out leaves of its item: what a report
   has shown since stays.  */
static void
order_undo (pu_dispatcher_engine_t *e, const pu_dispatcher_order_t *o)
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

  order_undo (e, &order_first (e)->o);
  order_end (d, engine, PU_DISPATCHER_ACTION_FAILED);
}

/* The engine takes a model's order, so the unloads of models that it had
   accepted are over.  Those of adapters wait for their runs beside it: only a
   report shows that their places are free.  */
static void
unloads_over (pu_dispatcher_engine_t *e)
{
  e->unloads = false;
  for (guint i = e->items->len; i-- > 0;)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->phase == PU_DISPATCHER_UNLOADING && !t->adapter
          && pu_dispatcher_order_for (e, t->item) == NULL)
        g_array_remove_index_fast (e->items, i);
    }
}

/* The first order is being carried out: the engine said so, or (not CERTAIN)
   nothing speaks against it.  */
static void
order_accepted (pu_dispatcher_t *d, guint32 engine, bool certain, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_order_t o = order_first (e)->o;

  e->changed = now;
  if (o.op == PU_DISPATCHER_LOAD)
    item_set (e, o.item, PU_DISPATCHER_LOADING)->since = now;
  /* An unload waits for the requests that use what goes: an adapter's, too,
     unless it goes at once.  */
  e->busy = e->busy || !o.adapter || o.op == PU_DISPATCHER_UNLOAD;
  if (o.op == PU_DISPATCHER_UNLOAD)
    {
      e->unloads = certain;
      e->try_at = now + d->o.try_ms;
    }
  else if (!o.adapter && e->unloads)
    {
      unloads_over (e);
    }
  e->fetch_at = MIN (e->fetch_at, now + d->o.watch_ms);
  order_end (d, engine, PU_DISPATCHER_ACTION_ACCEPTED);
}

/* What the first order asks for is so already, or without delay.  */
static void
order_holds (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_order_t o = order_first (e)->o;

  /* An adapter that nothing uses goes at once, which counts; what was so
     before does not.  */
  if (o.op == PU_DISPATCHER_UNLOAD && o.adapter)
    {
      e->accepted++;
      e->changed = now;
    }
  if (o.op == PU_DISPATCHER_LOAD)
    {
      item_set (e, o.item, PU_DISPATCHER_READY);
    }
  else
    {
      item_remove (e, o.item);
    }
  order_end (d, engine, PU_DISPATCHER_ACTION_ACCEPTED);
}

/* --- engines --- */

void
pu_dispatcher_add_engine (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e;

  if (d->engines->len <= engine)
    g_array_set_size (d->engines, engine + 1);
  e = &g_array_index (d->engines, pu_dispatcher_engine_t, engine);
  if (e->used)
    return;
  *e = (pu_dispatcher_engine_t){ .used = true, .fetch_at = now };
  d->used++;
  e->items = g_array_new (FALSE, FALSE, sizeof (pu_dispatcher_item_t));
  g_queue_init (&e->queue);
}

void
pu_dispatcher_remove_engine (pu_dispatcher_t *d, guint32 engine)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e == NULL)
    return;
  while (order_first (e) != NULL)
    order_end (d, engine, PU_DISPATCHER_ACTION_FAILED);
  engine_clear (e);
  d->used--;
}

/* The first order behind those for adapters that is not sent yet: adapters are
   quick, and a request waits for each.  NULL: none.  */
static GList *
adapters_end (const pu_dispatcher_engine_t *e)
{
  GList *l = e->queue.head;

  if (l != NULL && (e->sent || e->doubt))
    l = l->next;
  while (l != NULL && ((const pu_dispatcher_queued_t *)l->data)->o.adapter)
    l = l->next;
  return l;
}

/* Whether O would change what E holds.  */
static bool
order_is_due (const pu_dispatcher_engine_t *e, const pu_dispatcher_order_t *o)
{
  return (item_find (e, o->item) == NULL) == (o->op == PU_DISPATCHER_LOAD);
}

bool
pu_dispatcher_enqueue (pu_dispatcher_t *d, guint32 engine,
                       const pu_dispatcher_order_t *o, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *mine;

  if (e == NULL || !e->known || e->fenced_out
      || pu_dispatcher_order_for (e, o->item) != NULL || !order_is_due (e, o))
    return false;
  mine = g_new0 (pu_dispatcher_queued_t, 1);
  mine->o = *o;
  mine->wanted = now;
  g_queue_insert_before (&e->queue, o->adapter ? adapters_end (e) : NULL,
                         mine);
  item_set (e, o->item,
            o->op == PU_DISPATCHER_LOAD ? PU_DISPATCHER_QUEUED
                                        : PU_DISPATCHER_UNLOADING)
      ->adapter
      = o->adapter;
  return true;
}

void
pu_dispatcher_drop (pu_dispatcher_t *d, guint32 engine, guint32 item)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *o
      = e != NULL ? pu_dispatcher_order_for (e, item) : NULL;

  if (o == NULL || (e->sent && o == order_first (e)))
    return;
  g_queue_remove (&e->queue, o);
  order_undo (e, &o->o);
  g_free (o);
}

/* The engine carries another order out, or has accepted more or fewer than we
   know of.  */
static void
order_conflict (pu_dispatcher_t *d, guint32 engine, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e->busy)
    {
      /* It still waits for runs to end: no failure of this order.  */
      e->try_at = now + d->o.try_ms;
      e->first = NULL;
      e->sent = e->doubt;
      return;
    }
  e->not_before = now + d->o.refused_ms;
  e->fetch_at = MIN (e->fetch_at, now + d->o.refused_ms);
  if (now >= e->first_sent + d->o.give_up_ms)
    {
      order_fail (d, engine);
    }
  else if (!e->doubt)
    {
      e->sent = false;
    }
}

void
pu_dispatcher_answer (pu_dispatcher_t *d, guint32 engine,
                      pu_dispatcher_answer_t a, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e == NULL || !e->sent || e->answered)
    return;
  e->answered = true;
  switch (a)
    {
    case PU_DISPATCHER_ACCEPTED:
      e->accepted++;
      order_accepted (d, engine, true, now);
      return;
    case PU_DISPATCHER_COMPLETED:
      order_holds (d, engine, now);
      return;
    case PU_DISPATCHER_CONFLICT:
      order_conflict (d, engine, now);
      return;
    case PU_DISPATCHER_FENCED:
      e->fenced_out = true;
      order_fail (d, engine);
      return;
    case PU_DISPATCHER_REFUSED:
    case PU_DISPATCHER_MISDIRECTED:
      order_fail (d, engine);
      e->fetch_at = now;
      return;
    case PU_DISPATCHER_NO_ANSWER:
      e->doubt = true;
      e->not_before = now + d->o.refused_ms;
      e->fetch_at = MIN (e->fetch_at, now);
      return;
    }
}

/* --- reports --- */

static bool
lists (const guint32 *list, guint n, guint32 item)
{
  for (guint i = 0; i < n; i++)
    {
      if (list[i] == item)
        return true;
    }
  return false;
}

static bool
shows (const pu_dispatcher_report_t *r, guint32 item)
{
  return lists (r->held, r->n_held, item)
         || lists (r->coming, r->n_coming, item);
}

/* Whether R, which has one order more, shows that the order O was it.  */
static bool
shows_order (const pu_dispatcher_report_t *r, const pu_dispatcher_order_t *o)
{
  if (o->op == PU_DISPATCHER_UNLOAD)
    return !lists (r->held, r->n_held, o->item) || r->busy;
  return shows (r, o->item) || (r->busy && !o->adapter);
}

/* Phases of items that R says nothing of: gone, unless on the way, or come
   since.  */
static void
absent_sweep (pu_dispatcher_engine_t *e, const pu_dispatcher_report_t *r)
{
  for (guint i = e->items->len; i-- > 0;)
    {
      pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);
      bool queued = pu_dispatcher_order_for (e, t->item) != NULL;
      bool loading = t->phase == PU_DISPATCHER_LOADING && r->busy;

      if (shows (r, t->item) || queued || loading)
        continue;
      g_array_remove_index_fast (e->items, i);
    }
}

static void
items_take (pu_dispatcher_engine_t *e, const pu_dispatcher_report_t *r)
{
  absent_sweep (e, r);
  for (guint i = 0; i < r->n_coming; i++)
    {
      if (item_find (e, r->coming[i]) == NULL)
        item_set (e, r->coming[i], PU_DISPATCHER_LOADING);
    }
  for (guint i = 0; i < r->n_held; i++)
    {
      const pu_dispatcher_item_t *t = item_find (e, r->held[i]);
      bool leaving
          = t != NULL && t->phase == PU_DISPATCHER_UNLOADING
            && (r->busy || pu_dispatcher_order_for (e, t->item) != NULL);

      if (!leaving)
        item_set (e, r->held[i], PU_DISPATCHER_READY);
    }
}

/* The engine has accepted orders that we did not know of: our own, whose
   answer was lost, or another's.  */
static void
others_take (pu_dispatcher_t *d, guint32 engine,
             const pu_dispatcher_report_t *r, guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  bool own = e->sent && r->accepted == e->expected + 1
             && shows_order (r, &order_first (e)->o);

  e->accepted = r->accepted;
  e->changed = now;
  if (own)
    {
      order_accepted (d, engine, false, now);
    }
  else
    {
      /* What was sent expects a number that is spent: send it anew.  */
      e->sent = false;
      e->doubt = false;
    }
}

void
pu_dispatcher_report (pu_dispatcher_t *d, guint32 engine,
                      const pu_dispatcher_report_t *r, guint64 asked,
                      guint64 now)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  bool fresh;

  if (e == NULL)
    return;
  e->fetching = false;
  e->fetch_at = now + MAX (d->o.poll_ms, d->used * d->o.poll_each_ms);
  if (r == NULL)
    {
      e->fetch_at = now + d->o.watch_ms;
      return;
    }
  fresh = !e->known || asked >= e->changed + d->o.lag_ms;
  /* An older one may speak of the time before the last change.  */
  if (!fresh && r->accepted <= e->accepted)
    return;
  if (r->accepted < e->accepted && e->doubt)
    return;
  if (!e->known || r->accepted < e->accepted)
    {
      e->accepted = r->accepted;
      e->changed = now;
    }
  else if (r->accepted > e->accepted)
    {
      others_take (d, engine, r, now);
    }
  e->known = true;
  e->busy = r->busy;
  e->unloads = e->unloads && e->busy;
  items_take (e, r);
  if (e->busy)
    e->fetch_at = now + d->o.watch_ms;
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
  e->changed = now;
  e->busy = false;
  e->fetch_at = MIN (e->fetch_at, now + d->o.lag_ms);
}

/* --- steps --- */

static void
send_first (pu_dispatcher_t *d, guint32 engine, pu_dispatcher_may_fn *may,
            void *data, guint64 now, GArray *actions)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_queued_t *o = order_first (e);
  pu_dispatcher_action_t a
      = { .what = PU_DISPATCHER_ACTION_SEND, .engine = engine };
  pu_dispatcher_fit_t fit;

  if (o == NULL || !e->known || e->fenced_out || now < e->not_before)
    return;
  if (e->busy && (!e->unloads || now < e->try_at))
    return;
  if (e->sent && !e->answered && now < e->last_sent + d->o.answer_ms)
    return;
  fit = e->sent ? PU_DISPATCHER_FIT_NOW : pu_dispatcher_fit (d, e, &o->o);
  if (fit == PU_DISPATCHER_FIT_NEVER)
    order_fail (d, engine);
  if (fit != PU_DISPATCHER_FIT_NOW)
    return;
  if (!e->sent && !o->granted && may != NULL && !may (data, engine, &o->o))
    return;
  o->granted = true;
  if (!e->sent)
    {
      e->expected = e->accepted;
      if (e->first != o)
        e->first_sent = now;
      e->first = o;
    }
  e->sent = true;
  e->answered = false;
  e->last_sent = now;
  a.order = o->o;
  a.expected = e->expected;
  g_array_append_val (actions, a);
}

static void
fetch (pu_dispatcher_t *d, guint32 engine, guint64 now, GArray *actions)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);
  pu_dispatcher_action_t a
      = { .what = PU_DISPATCHER_ACTION_FETCH, .engine = engine };

  if (e->fetching || now < e->fetch_at)
    return;
  e->fetching = true;
  g_array_append_val (actions, a);
}

/* Adapters that were accepted are there after a moment.  */
static void
adapters_ready (const pu_dispatcher_t *d, pu_dispatcher_engine_t *e,
                guint64 now)
{
  for (guint i = 0; i < e->items->len; i++)
    {
      pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (t->adapter && t->phase == PU_DISPATCHER_LOADING
          && now >= t->since + d->o.adapter_ms)
        t->phase = PU_DISPATCHER_READY;
    }
}

static void
step_one (pu_dispatcher_t *d, guint32 engine, pu_dispatcher_may_fn *may,
          void *data, guint64 now, GArray *actions)
{
  if (pu_dispatcher_engine_at (d, engine) == NULL)
    return;
  adapters_ready (d, pu_dispatcher_engine_at (d, engine), now);
  send_first (d, engine, may, data, now, actions);
  fetch (d, engine, now, actions);
}

/* Those that were done or failed meanwhile, whichever engine's.  */
static void
tell_ends (pu_dispatcher_t *d, GArray *actions)
{
  if (d->ends->len > 0)
    g_array_append_vals (actions, d->ends->data, d->ends->len);
  g_array_set_size (d->ends, 0);
}

void
pu_dispatcher_step_engine (pu_dispatcher_t *d, guint32 engine,
                           pu_dispatcher_may_fn *may, void *data, guint64 now,
                           GArray *actions)
{
  step_one (d, engine, may, data, now, actions);
  tell_ends (d, actions);
}

void
pu_dispatcher_step (pu_dispatcher_t *d, pu_dispatcher_may_fn *may, void *data,
                    guint64 now, GArray *actions)
{
  for (guint32 i = 0; i < d->engines->len; i++)
    step_one (d, i, may, data, now, actions);
  tell_ends (d, actions);
}

/* --- looking in --- */

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

  return e != NULL && e->known && !e->fenced_out;
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
