#include "placement/dispatcher_private.h"

/* Records the memory and the adapter slots of engines, and checks whether a
   load fits an engine.  */

static pu_dispatcher_item_info_t *
item_info (pu_dispatcher_t *d, guint32 item)
{
  if (d->item_infos->len <= item)
    g_array_set_size (d->item_infos, item + 1);
  return &g_array_index (d->item_infos, pu_dispatcher_item_info_t, item);
}

void
pu_dispatcher_set_item_memory (pu_dispatcher_t *d, guint32 item,
                               guint32 memory_mb)
{
  item_info (d, item)->memory_mb = memory_mb;
}

void
pu_dispatcher_set_adapter (pu_dispatcher_t *d, guint32 item)
{
  *item_info (d, item) = (pu_dispatcher_item_info_t){ .adapter = true };
}

void
pu_dispatcher_set_capacity (pu_dispatcher_t *d, guint32 engine,
                            guint32 capacity_mb)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e != NULL)
    e->capacity_mb = capacity_mb;
}

void
pu_dispatcher_set_adapter_slots (pu_dispatcher_t *d, guint32 engine,
                                 guint slots)
{
  pu_dispatcher_engine_t *e = pu_dispatcher_engine_at (d, engine);

  if (e != NULL)
    e->adapter_slots = slots;
}

/* Whether the model ITEM fits into the memory of E together with the models
   that E holds or is loading.  */
static pu_dispatcher_fit_t
memory_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e, guint32 item)
{
  guint64 used_mb = item_info (d, item)->memory_mb;

  if (e->capacity_mb == 0)
    return PU_DISPATCHER_FIT_NOW;
  for (guint i = 0; i < e->items->len; i++)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      /* The engine refuses orders while an accepted unload still waits for
         running requests.  The memory of the model that is being unloaded is
         therefore free when the engine accepts the load of ITEM.  */
      bool unloaded = e->busy_unloading && t->phase == PU_DISPATCHER_UNLOADING
                      && pu_dispatcher_find_order (e, t->item) == NULL;

      if (t->item != item && t->phase != PU_DISPATCHER_QUEUED && !unloaded)
        used_mb += item_info (d, t->item)->memory_mb;
    }
  return used_mb <= e->capacity_mb ? PU_DISPATCHER_FIT_NOW
                                   : PU_DISPATCHER_FIT_NONE;
}

/* Whether E has a free slot for the adapter ITEM.  Without one, the load waits
   only if an accepted unload will free a slot.  Otherwise it fails, because a
   waiting load blocks all orders queued behind it.  */
static pu_dispatcher_fit_t
slot_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e, guint32 item)
{
  guint used_slots = 0;
  bool slot_freeing = false;

  for (guint i = 0; i < e->items->len; i++)
    {
      const pu_dispatcher_item_t *t
          = &g_array_index (e->items, pu_dispatcher_item_t, i);

      if (!item_info (d, t->item)->adapter || t->item == item
          || t->phase == PU_DISPATCHER_QUEUED)
        continue;
      used_slots++;
      slot_freeing = slot_freeing
                     || (t->phase == PU_DISPATCHER_UNLOADING
                         && pu_dispatcher_find_order (e, t->item) == NULL);
    }
  if (e->adapter_slots == 0 || used_slots < e->adapter_slots)
    return PU_DISPATCHER_FIT_NOW;
  return slot_freeing ? PU_DISPATCHER_FIT_AFTER_UNLOAD
                      : PU_DISPATCHER_FIT_NONE;
}

pu_dispatcher_fit_t
pu_dispatcher_fit (pu_dispatcher_t *d, const pu_dispatcher_engine_t *e,
                   const pu_dispatcher_order_t *o)
{
  if (o->op != PU_DISPATCHER_LOAD)
    return PU_DISPATCHER_FIT_NOW;
  return item_info (d, o->item)->adapter ? slot_fit (d, e, o->item)
                                         : memory_fit (d, e, o->item);
}
