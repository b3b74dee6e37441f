#include "placement/due.h"

/* Returns the dispatcher's record of ITEM on ENGINE, whatever its phase, or
   NULL when there is none.  */
static const pu_dispatcher_item_t *
find_item (const pu_dispatcher_t *d, guint32 engine, guint32 item)
{
  guint n;
  const pu_dispatcher_item_t *items = pu_dispatcher_items (d, engine, &n);

  for (guint i = 0; i < n; i++)
    {
      if (items[i].item == item)
        return &items[i];
    }
  return NULL;
}

/* Returns the remaining milliseconds of the load of X, which takes LOAD_MS in
   all.  A load that the engine has not accepted yet still takes LOAD_MS, the
   wait until its engine may be ordered included.  */
static guint32
remaining_ms (const pu_dispatcher_item_t *x, guint32 load_ms, guint64 now)
{
  guint64 elapsed_ms
      = x->phase == PU_DISPATCHER_LOADING ? now - x->load_accepted_at : 0;

  return load_ms - (guint32)MIN (elapsed_ms, load_ms);
}

guint32
pu_due_ms (const pu_dispatcher_t *d, const pu_due_engine_t *engines, guint n,
           guint32 item, const pu_due_times_t *t, guint64 now)
{
  guint32 ordered_load_ms = G_MAXUINT32;
  guint32 new_load_ms = n > 0 ? G_MAXUINT32 : t->store_ms;

  if (t->store_ms == 0)
    return 0;
  for (guint i = 0; i < n; i++)
    {
      const pu_due_engine_t *e = &engines[i];
      bool cached = e->cached && t->cached_load_ms > 0;
      guint32 load_ms = cached ? t->cached_load_ms : t->store_ms;
      const pu_dispatcher_item_t *x = find_item (d, e->engine, item);

      if (!pu_dispatcher_accepts_orders (d, e->engine))
        return 0;
      new_load_ms = MIN (new_load_ms, e->wait_ms + load_ms);
      if (x == NULL || x->phase == PU_DISPATCHER_ABSENT
          || x->phase == PU_DISPATCHER_UNLOADING)
        continue;
      if (x->phase == PU_DISPATCHER_READY)
        return 0;
      ordered_load_ms
          = MIN (ordered_load_ms, remaining_ms (x, e->wait_ms + load_ms, now));
    }
  return ordered_load_ms != G_MAXUINT32 ? ordered_load_ms : new_load_ms;
}
