#include "placement/due.h"

/* The entry of ITEM among what ENGINE holds or may come to hold; NULL: none.
 */
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

/* What is left of a load of TAKES ms that stands as X says.  */
static guint32
left_of (const pu_dispatcher_item_t *x, guint32 takes, guint64 now)
{
  guint64 ran = x->phase == PU_DISPATCHER_LOADING ? now - x->since : 0;

  return takes - (guint32)MIN (ran, takes);
}

guint32
pu_due_ms (const pu_dispatcher_t *d, const pu_due_engine_t *engines, guint n,
           guint32 item, const pu_due_times_t *t, guint64 now)
{
  guint32 coming = G_MAXUINT32;
  guint32 begun_now = t->store_ms;

  if (t->store_ms == 0)
    return 0;
  for (guint i = 0; i < n; i++)
    {
      const pu_due_engine_t *e = &engines[i];
      bool quick = e->quick && t->cached_load_ms > 0;
      guint32 takes = quick ? t->cached_load_ms : t->store_ms;
      const pu_dispatcher_item_t *x = find_item (d, e->engine, item);

      if (!pu_dispatcher_accepts_orders (d, e->engine))
        return 0;
      begun_now = MIN (begun_now, takes);
      if (x == NULL || x->phase == PU_DISPATCHER_ABSENT
          || x->phase == PU_DISPATCHER_UNLOADING)
        continue;
      if (x->phase == PU_DISPATCHER_READY)
        return 0;
      coming = MIN (coming, left_of (x, takes, now));
    }
  return coming != G_MAXUINT32 ? coming : begun_now;
}
