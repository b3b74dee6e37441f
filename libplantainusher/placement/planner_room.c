#include "placement/planner_round.h"

/* Frees memory for an item without a ready copy on an engine that holds only
   last copies of other items: some of these items, with their adapters, are
   loaded on another engine first, after which their copies on this engine can
   be unloaded.  */

/* Time for which copies are moved away from the engine chosen for an item;
   after this time, an engine is chosen again.  */
#define RELOCATION_MS 60000
#define RELOCATION_RETRY_MS 1000
/* Limit on the engines that are tried for an item, those that lack the least
   memory for the item first.  */
#define RELOCATION_TRIES 16

/* An engine and the memory that it lacks for an item, or an item and the
   memory that its copy takes together with the copy's adapters, in MB.  */
typedef struct
{
  guint32 id;
  guint32 memory_mb;
} pu_handle_memory_t;

static gint
compare_memory (gconstpointer a, gconstpointer b)
{
  const pu_handle_memory_t *x = a;
  const pu_handle_memory_t *y = b;

  if (x->memory_mb != y->memory_mb)
    return x->memory_mb < y->memory_mb ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

static bool
is_in_bundle (const pu_planner_t *p, const pu_planned_copy_t *c, guint32 root)
{
  return c->c.item == root || pu_planned_item (p, c->c.item)->i.base == root;
}

/* Returns the memory, in MB, of the copy of ROOT on E and its adapters on E.
   Returns 0 when one of these copies is not ready, or its item not declared,
   so that the bundle cannot be relocated.  */
static guint32
bundle_mb (const pu_planner_t *p, const pu_planned_engine_t *e, guint32 root)
{
  guint32 memory_mb = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (!is_in_bundle (p, c, root))
        continue;
      if (c->c.phase != PU_PLAN_READY
          || !pu_planned_item (p, c->c.item)->declared)
        return 0;
      memory_mb += c->c.memory_mb;
    }
  return memory_mb;
}

/* Returns the memory, in MB, that ENGINE still lacks for ITEM after all copies
   that may be evicted are evicted.  */
static guint32
compute_missing_mb (pu_round_t *r, guint32 engine, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 need = pu_planned_item (r->p, item)->i.memory_mb;
  guint32 have = pu_planned_free_mb (e);

  for (guint s = 0; s < e->copies->len; s++)
    {
      if (pu_planner_bundle (r->p, engine, s, item, PU_EVICT_TO_LAST,
                             r->victims.slots))
        have += pu_planned_copy (e, s)->c.memory_mb;
    }
  return need - MIN (need, have);
}

/* Returns the bundles (a copy and its adapters) on ENGINE that can be evicted
   for ITEM only once their items have another copy.  The smallest bundle that
   frees MISSING_MB comes first, then the larger ones in ascending order, then
   the smaller ones in descending order.  */
static GArray *
find_relocatable (pu_round_t *r, guint32 engine, guint32 item,
                  guint32 missing_mb)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 base = pu_planned_item (r->p, item)->i.base;
  GArray *bundles = g_array_new (FALSE, FALSE, sizeof (pu_handle_memory_t));
  guint n_smaller = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      pu_handle_memory_t u = { pu_planned_copy (e, s)->c.item, 0 };

      if (u.id == base
          || pu_planner_bundle (r->p, engine, s, item, PU_EVICT_TO_LAST,
                                r->victims.slots))
        continue;
      u.memory_mb = bundle_mb (r->p, e, u.id);
      if (u.memory_mb > 0)
        g_array_append_val (bundles, u);
    }
  g_array_sort (bundles, compare_memory);
  while (n_smaller < bundles->len
         && g_array_index (bundles, pu_handle_memory_t, n_smaller).memory_mb
                < missing_mb)
    n_smaller++;
  for (guint i = n_smaller; i-- > 0;)
    {
      pu_handle_memory_t u = g_array_index (bundles, pu_handle_memory_t, i);

      g_array_append_val (bundles, u);
    }
  g_array_remove_range (bundles, 0, n_smaller);
  return bundles;
}

/* Loads ITEM on another engine, to free memory for FOR_ITEM later.  Returns
   false when no engine has memory for ITEM.  */
static bool
load_elsewhere (pu_round_t *r, guint32 item, guint32 for_item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint32 engine = pu_planner_choose (r->p, item, pu_planned_version (t),
                                      PU_EVICT_TO_LAST, r->now, &r->victims);

  if (engine == PU_PLAN_NONE)
    return false;
  r->for_item = for_item;
  pu_round_load (r, engine, item, PU_REASON_MAKE_ROOM, 0, 0);
  r->for_item = PU_PLAN_NONE;
  return true;
}

/* Whether a load is pending for an item whose only ready copy is on E.  */
static bool
is_relocating (const pu_planner_t *p, const pu_planned_engine_t *e)
{
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);
      const pu_planned_item_t *t = pu_planned_item (p, c->c.item);

      if (c->c.phase == PU_PLAN_READY && t->ready == 1 && t->pending_loads > 0)
        return true;
    }
  return false;
}

/* Starts loads on other engines so that the copy of ROOT on ENGINE, and its
   adapters on ENGINE, can be unloaded for ITEM.  While ROOT has no other ready
   copy, ROOT is loaded; after that, each of these adapters that has no other
   ready copy.  Returns false when no load could be started.  */
static bool
relocate_bundle (pu_round_t *r, guint32 engine, guint32 root, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  bool started = false;

  if (pu_planned_item (r->p, root)->ready == 1)
    return load_elsewhere (r, root, item);
  for (guint s = 0; s < e->copies->len; s++)
    {
      guint32 i = pu_planned_copy (e, s)->c.item;

      if (pu_planned_item (r->p, i)->i.base == root
          && pu_planned_item (r->p, i)->ready == 1)
        started = load_elsewhere (r, i, item) || started;
    }
  return started;
}

/* Starts the next loads on other engines that free memory for ITEM on ENGINE,
   unless such a load is under way.  Returns false when no load is under way
   and none was started.  */
static bool
continue_relocation (pu_round_t *r, guint32 engine, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 missing_mb = compute_missing_mb (r, engine, item);
  GArray *bundles;
  bool started = false;

  if (!e->usable || missing_mb == 0)
    return false;
  if (is_relocating (r->p, e))
    return true;
  bundles = find_relocatable (r, engine, item, missing_mb);
  for (guint i = 0; i < bundles->len && !started; i++)
    {
      started = relocate_bundle (
          r, engine, g_array_index (bundles, pu_handle_memory_t, i).id, item);
    }
  g_array_unref (bundles);
  return started;
}

/* Chooses the engine on which memory is freed for ITEM and starts the first
   loads on other engines.  Returns false when no load could be started for any
   engine.  */
static bool
begin_relocation (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_handle_memory_t));
  bool started = false;

  pu_planner_mark_item (r->p, item, pu_planned_version (t));
  r->p->ignore_adapters = true;
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_handle_memory_t e = { i, 0 };

      if (!pu_planner_can_hold (r->p, i, item))
        continue;
      e.memory_mb = compute_missing_mb (r, i, item);
      if (e.memory_mb > 0)
        g_array_append_val (engines, e);
    }
  r->p->ignore_adapters = false;
  g_array_sort (engines, compare_memory);
  for (guint i = 0; i < engines->len && i < RELOCATION_TRIES && !started; i++)
    {
      t->evacuated_engine = g_array_index (engines, pu_handle_memory_t, i).id;
      started = continue_relocation (r, t->evacuated_engine, item);
    }
  t->evacuated_until = started ? r->now + RELOCATION_MS : 0;
  g_array_unref (engines);
  return started;
}

void
pu_round_evacuate (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  bool continued = r->now < t->evacuated_until
                   && continue_relocation (r, t->evacuated_engine, item);

  if (!continued && !begin_relocation (r, item))
    return;
  t->no_room = false;
  t->not_before = r->now + RELOCATION_RETRY_MS;
}
