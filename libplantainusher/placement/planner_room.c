#include "placement/planner_round.h"

/* Opens room for an unreachable item where only last copies stand: some of
   them, with their adapters, are loaded elsewhere first and may go then.  */

#define OPENING_MS 60000
#define OPENING_RETRY_MS 1000
/* Engines that are tried, those that lack least first.  */
#define OPENING_TRIES 16

/* An engine that lacks MB for an item, or a copy, with its adapters, of MB. */
typedef struct
{
  guint32 id;
  guint32 memory_mb;
} pu_sized_t;

static gint
compare_sized (gconstpointer a, gconstpointer b)
{
  const pu_sized_t *x = a;
  const pu_sized_t *y = b;

  if (x->memory_mb != y->memory_mb)
    return x->memory_mb < y->memory_mb ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

static bool
goes_with (const pu_planner_t *p, const pu_planned_copy_t *c, guint32 root)
{
  return c->c.item == root || pu_planned_item (p, c->c.item)->i.base == root;
}

/* Memory of the copy of ROOT on E with its adapters; 0 when one of them is
   not ready, or not declared.  */
static guint32
unit_mb (const pu_planner_t *p, const pu_planned_engine_t *e, guint32 root)
{
  guint32 memory_mb = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);

      if (!goes_with (p, c, root))
        continue;
      if (c->c.phase != PU_PLAN_READY
          || !pu_planned_item (p, c->c.item)->declared)
        return 0;
      memory_mb += c->c.memory_mb;
    }
  return memory_mb;
}

/* MB that ENGINE lacks for ITEM once all that may go is gone.  */
static guint32
lacks (pu_round_t *r, guint32 engine, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 need = pu_planned_item (r->p, item)->i.memory_mb;
  guint32 have = pu_planned_free_mb (e);

  for (guint s = 0; s < e->copies->len; s++)
    {
      if (pu_planner_bundle (r->p, engine, s, item, PU_EVICT_TO_LAST,
                             r->v.slots))
        have += pu_planned_copy (e, s)->c.memory_mb;
    }
  return need - MIN (need, have);
}

/* What on ENGINE may not go, but could once it is elsewhere too: the smallest
   that makes up for LACK, then the larger ones, then the smaller ones.  */
static GArray *
find_units (pu_round_t *r, guint32 engine, guint32 item, guint32 lack)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 base = pu_planned_item (r->p, item)->i.base;
  GArray *units = g_array_new (FALSE, FALSE, sizeof (pu_sized_t));
  guint small = 0;

  for (guint s = 0; s < e->copies->len; s++)
    {
      pu_sized_t u = { pu_planned_copy (e, s)->c.item, 0 };

      if (u.id == base
          || pu_planner_bundle (r->p, engine, s, item, PU_EVICT_TO_LAST,
                                r->v.slots))
        continue;
      u.memory_mb = unit_mb (r->p, e, u.id);
      if (u.memory_mb > 0)
        g_array_append_val (units, u);
    }
  g_array_sort (units, compare_sized);
  while (small < units->len
         && g_array_index (units, pu_sized_t, small).memory_mb < lack)
    small++;
  for (guint i = small; i-- > 0;)
    {
      pu_sized_t u = g_array_index (units, pu_sized_t, i);

      g_array_append_val (units, u);
    }
  g_array_remove_range (units, 0, small);
  return units;
}

/* Loads ITEM on another engine; false when none has room.  */
static bool
load_beside (pu_round_t *r, guint32 item, guint32 for_item)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  guint32 engine = pu_planner_choose (r->p, item, pu_planned_version (t),
                                      PU_EVICT_TO_LAST, r->now, &r->v);

  if (engine == PU_PLAN_NONE)
    return false;
  r->for_item = for_item;
  pu_round_load (r, engine, item, PU_REASON_MAKE_ROOM, 0, 0);
  r->for_item = PU_PLAN_NONE;
  return true;
}

/* Whether a last copy on E has another under way.  */
static bool
is_moving (const pu_planner_t *p, const pu_planned_engine_t *e)
{
  for (guint s = 0; s < e->copies->len; s++)
    {
      const pu_planned_copy_t *c = pu_planned_copy (e, s);
      const pu_planned_item_t *t = pu_planned_item (p, c->c.item);

      if (c->c.phase == PU_PLAN_READY && t->ready == 1 && t->coming > 0)
        return true;
    }
  return false;
}

/* Loads ROOT, which is on ENGINE, elsewhere; then the adapters beside it that
   have no other copy.  False when neither can be done.  */
static bool
move_unit (pu_round_t *r, guint32 engine, guint32 root, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  bool moved = false;

  if (pu_planned_item (r->p, root)->ready == 1)
    return load_beside (r, root, item);
  for (guint s = 0; s < e->copies->len; s++)
    {
      guint32 i = pu_planned_copy (e, s)->c.item;

      if (pu_planned_item (r->p, i)->i.base == root
          && pu_planned_item (r->p, i)->ready == 1)
        moved = load_beside (r, i, item) || moved;
    }
  return moved;
}

/* The next step of making room for ITEM on ENGINE; false when there is none.
 */
static bool
go_on (pu_round_t *r, guint32 engine, guint32 item)
{
  const pu_planned_engine_t *e = pu_planned_engine (r->p, engine);
  guint32 lack = lacks (r, engine, item);
  GArray *units;
  bool moved = false;

  if (!e->usable || lack == 0)
    return false;
  if (is_moving (r->p, e))
    return true;
  units = find_units (r, engine, item, lack);
  for (guint i = 0; i < units->len && !moved; i++)
    {
      moved = move_unit (r, engine, g_array_index (units, pu_sized_t, i).id,
                         item);
    }
  g_array_unref (units);
  return moved;
}

static bool
begin (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  GArray *engines = g_array_new (FALSE, FALSE, sizeof (pu_sized_t));
  bool begun = false;

  pu_planner_mark_item (r->p, item, pu_planned_version (t));
  r->p->ignore_adapters = true;
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      pu_sized_t e = { i, 0 };

      if (!pu_planner_can_hold (r->p, i, item))
        continue;
      e.memory_mb = lacks (r, i, item);
      if (e.memory_mb > 0)
        g_array_append_val (engines, e);
    }
  r->p->ignore_adapters = false;
  g_array_sort (engines, compare_sized);
  for (guint i = 0; i < engines->len && i < OPENING_TRIES && !begun; i++)
    {
      t->evacuated_engine = g_array_index (engines, pu_sized_t, i).id;
      begun = go_on (r, t->evacuated_engine, item);
    }
  t->evacuated_until = begun ? r->now + OPENING_MS : 0;
  g_array_unref (engines);
  return begun;
}

void
pu_round_evacuate (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);
  bool goes_on
      = r->now < t->evacuated_until && go_on (r, t->evacuated_engine, item);

  if (!goes_on && !begin (r, item))
    return;
  t->no_room = false;
  t->not_before = r->now + OPENING_RETRY_MS;
}
