#include "placement/dispatcher_private.h"

/* Memory and places for adapters, and what fits beside what may be there.  */

static pu_dispatcher_kind_t *
kind_of (pu_dispatcher_t *d, guint32 item)
{
  if (d->kinds->len <= item)
    g_array_set_size (d->kinds, item + 1);
  return &g_array_index (d->kinds, pu_dispatcher_kind_t, item);
}

void
pu_dispatcher_set_item_memory (pu_dispatcher_t *d, guint32 item,
                               guint32 memory_mb)
{
  kind_of (d, item)->memory_mb = memory_mb;
}

void
pu_dispatcher_set_adapter (pu_dispatcher_t *d, guint32 item)
{
  *kind_of (d, item) = (pu_dispatcher_kind_t){ .adapter = true };
}

void
pu_dispatcher_set_capacity (pu_dispatcher_t *d, guint32 engine,
                            guint32 room_mb)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e != NULL)
    e->room_mb = room_mb;
}

void
pu_dispatcher_set_adapter_slots (pu_dispatcher_t *d, guint32 engine,
                                 guint places)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e != NULL)
    e->places = places;
}

/* Whether the model ITEM fits into E beside all that may be there.  */
static pu_dispatcher_fit_t
memory_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e, guint32 item)
{
  guint64 taken = kind_of (d, item)->memory_mb;

  if (e->room_mb == 0)
    return PU_DISPATCHER_FIT_NOW;
  for (guint i = 0; i < e->items->len; i++)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      /* One whose unload was accepted is gone when the engine takes another
         order: it refuses one while it still waits for the runs to end.  */
      bool goes = e->unloads && t->phase == PU_DISPATCHER_UNLOADING
                  && pu_dispatcher_order_for (e, t->item) == NULL;

      if (t->item != item && t->phase != PU_DISPATCHER_QUEUED && !goes)
        taken += kind_of (d, t->item)->memory_mb;
    }
  return taken <= e->room_mb ? PU_DISPATCHER_FIT_NOW : PU_DISPATCHER_FIT_NEVER;
}

/* Whether E has a place for the adapter ITEM.  One that no unload under way
   will free is not waited for: all orders behind would wait, too.  */
static pu_dispatcher_fit_t
place_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e, guint32 item)
{
  guint taken = 0;
  bool comes = false;

  for (guint i = 0; i < e->items->len; i++)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (!kind_of (d, t->item)->adapter || t->item == item
          || t->phase == PU_DISPATCHER_QUEUED)
        continue;
      taken++;
      comes = comes
              || (t->phase == PU_DISPATCHER_UNLOADING
                  && pu_dispatcher_order_for (e, t->item) == NULL);
    }
  if (e->places == 0 || taken < e->places)
    return PU_DISPATCHER_FIT_NOW;
  return comes ? PU_DISPATCHER_FIT_SOON : PU_DISPATCHER_FIT_NEVER;
}

pu_dispatcher_fit_t
pu_dispatcher_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e,
                   const pu_dispatcher_order_t *o)
{
  if (o->op != PU_DISPATCHER_LOAD)
    return PU_DISPATCHER_FIT_NOW;
  return kind_of (d, o->item)->adapter ? place_fit (d, e, o->item)
                                       : memory_fit (d, e, o->item);
}
