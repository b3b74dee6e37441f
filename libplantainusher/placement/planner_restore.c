#include "placement/planner_round.h"

/*
 * planner_restore - the order of loads after many copies were lost at once.
 *
 * Load pattern: the weights store starts fewer loads a second than copies are
 * missing, so that some models wait for ten seconds.  First copies, copies
 * below the minimum and copies for demand compete by the late streams that
 * they save, see planner.h.
 *
 * Each model without a copy has a deadline for the order of its load.  When
 * the loads that remain until the deadlines are as many as the store starts
 * for them, FORCED_SHARE of its loads, the next load is one of those for the
 * earliest deadlines; the one of them that saves most is chosen.  So a
 * requested model without a copy waits for RESTORE_WAIT_MS at most while no
 * more than FORCED_SHARE * RESTORE_WAIT_MS * (loads a second) models wait, and
 * the rest of the store is left to the loads that save most also while more
 * models wait.
 */

/* Longest time for which a model that is requested and has no copy waits for
   the order of its load; callers wait for 12 s.  A new leader counts from the
   first report of its demand.  */
#define RESTORE_WAIT_MS 8000
/* The same for a model that is not requested, unless the fleet is
   overcommitted.  */
#define IDLE_WAIT_MS 60000
/* Part of these times for the memory to be freed, once the load is planned. */
#define FREE_MS 2000
/* Time for which a model that is not requested waits while an engine is hot:
   its load would take an engine that copies for demand need next.  With 2 s,
   items waited for five seconds at a store that had capacity.  */
#define IDLE_HOLD_MS 1000
/* Of FORCED_RUN + 1 loads in succession, at most FORCED_RUN are ordered for
   their deadline while another load saves more.  */
#define FORCED_RUN 3
#define FORCED_SHARE (FORCED_RUN / (FORCED_RUN + 1.0))
/* Time that a load from the weights store takes: the number of loads in flight
   limits the rate of loads, too.  */
#define STORE_LOAD_S 4.0
/* Memory is freed in advance for the loads that the store starts within this
   time: streams of evicted copies must drain first.  An engine with a deferred
   load takes no other, so that a longer time delays loads that save more.  */
#define FREE_AHEAD_S 0.25
/* Part of a model's demand that one more copy saves, by the risk that the
   only copy is lost.  */
#define MINIMUM_GAIN 0.05
/* Time after the first step of a planner during which models without demand
   are not loaded: entries report demand to a new leader within this time.  */
#define FIRST_REPORTS_MS 1000
/* Number of hot engines whose models are candidates for another copy.  */
#define HOT_ENGINES 8
#define MS_PER_S 1000.0
#define NO_DEADLINE G_MAXUINT64

/* A load that may be planned next.  */
typedef struct
{
  guint32 item;
  guint32 engine; /* with a deferred load of ITEM, which may start now;
                     PU_PLAN_NONE: no deferred load */
  bool first;     /* ITEM has no ready copy */
  bool in_demand;
  bool held;        /* planned only for its deadline */
  double saves;     /* late streams, as in planner.h */
  guint64 deadline; /* for the order; NO_DEADLINE: none */
} pu_restore_load_t;

static const pu_restore_load_t *
load_at (const GArray *loads, guint i)
{
  return &g_array_index (loads, pu_restore_load_t, i);
}

static bool
may_load (const pu_round_t *r, const pu_planned_item_t *t)
{
  return pu_round_may_place (r, t) && pu_round_base_is_ready (r, t);
}

static bool
is_below_minimum (const pu_planned_item_t *t)
{
  return t->ready + t->pending_loads < MAX (1, t->i.min_copies);
}

bool
pu_round_needs_restore (const pu_round_t *r)
{
  if (!r->p->o.restore_by_gain || r->until_stable)
    return false;
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);

      if (may_load (r, t)
          && (is_below_minimum (t)
              || (t->ready == 0 && !pu_planned_load_is_ordered (r->p, t))))
        return true;
    }
  return false;
}

/* Returns the loads a second that the weights store starts.  */
static double
store_loads_per_s (const pu_planner_t *p)
{
  double rate = p->o.max_concurrent_loads / STORE_LOAD_S;

  return p->o.loads_per_s > 0 ? MIN (rate, p->o.loads_per_s) : rate;
}

/* Records since when ITEM has been requested without the order of a load.  A
   model counts as requested for RESTORE_WAIT_MS after its last demand.  */
static void
note_wait (pu_round_t *r, guint32 item)
{
  pu_planned_item_t *t = pu_planned_item (r->p, item);

  if (pu_planner_lost_streams (r->p, item) > PU_DEMAND_MIN_STREAMS)
    t->in_demand_at = r->now;
  if (!t->declared || t->ready > 0 || pu_planned_load_is_ordered (r->p, t)
      || t->in_demand_at == 0 || r->now > t->in_demand_at + RESTORE_WAIT_MS)
    {
      t->waits_since = 0;
    }
  else if (t->waits_since == 0)
    {
      t->waits_since = r->now;
    }
}

static guint64
deadline_of (const pu_round_t *r, const pu_planned_item_t *t)
{
  if (t->ready > 0 || pu_planned_load_is_ordered (r->p, t))
    return NO_DEADLINE;
  if (t->waits_since != 0)
    return t->waits_since + RESTORE_WAIT_MS - FREE_MS;
  return r->p->overcommitted ? NO_DEADLINE
                             : t->unreachable_since + IDLE_WAIT_MS - FREE_MS;
}

/* Appends a load of ITEM to LOADS; ENGINE is as in pu_restore_load_t.  While
   an engine is hot (ANY_HOT), loads of models without demand are held: they
   would take engines and memory that copies for demand need next.  */
static void
add_load (pu_round_t *r, GArray *loads, guint32 item, guint32 engine,
          bool any_hot)
{
  const pu_planned_item_t *t = pu_planned_item (r->p, item);
  pu_restore_load_t l
      = { .item = item,
          .engine = engine,
          .first = engine != PU_PLAN_NONE ? t->ready == 0
                                          : pu_planned_needs_first (t),
          .deadline = deadline_of (r, t) };

  l.saves = pu_planner_lost_streams (r->p, item);
  l.in_demand = l.saves > PU_DEMAND_MIN_STREAMS;
  l.held = !l.in_demand && any_hot
           && r->now < t->unreachable_since + IDLE_HOLD_MS;
  if (!l.first && engine != PU_PLAN_NONE)
    {
      l.saves = pu_planner_copy_gain (r->p, item, engine);
    }
  else if (!l.first)
    {
      l.saves *= MINIMUM_GAIN;
    }
  g_array_append_val (loads, l);
}

/* Returns the deferred loads that may start, the first copies, and the copies
   below the minimum.  */
static GArray *
find_loads (pu_round_t *r)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (pu_restore_load_t));
  bool any_hot = pu_round_any_engine_hot (r);

  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      pu_round_note_unreachable (r, pu_planned_item (r->p, i));
      note_wait (r, i);
    }
  for (guint32 i = 0; i < r->p->engines->len; i++)
    {
      if (pu_round_keep_deferred (r, i) && pu_round_deferred_fits (r, i))
        {
          add_load (r, loads,
                    pu_planned_engine (r->p, i)->deferred_load.c.item, i,
                    any_hot);
        }
    }
  for (guint32 i = 0; i < r->p->items->len; i++)
    {
      const pu_planned_item_t *t = pu_planned_item (r->p, i);
      bool needed = pu_planned_needs_first (t) || is_below_minimum (t);
      bool awaits_reports
          = r->now < r->p->first_step_ms + FIRST_REPORTS_MS
            && pu_planner_lost_streams (r->p, i) <= PU_DEMAND_MIN_STREAMS;

      if (needed && may_load (r, t) && !awaits_reports)
        add_load (r, loads, i, PU_PLAN_NONE, any_hot);
    }
  return loads;
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b)
{
  const pu_restore_load_t *x = a;
  const pu_restore_load_t *y = b;

  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->item < y->item ? -1 : x->item > y->item;
}

/* Whether the load X is ordered before Y: it saves more, or it is a first
   copy, or that of a larger model, which is harder to place.  */
static bool
precedes (const pu_planner_t *p, const pu_restore_load_t *x,
          const pu_restore_load_t *y)
{
  guint32 x_mb = pu_planned_item (p, x->item)->i.memory_mb;
  guint32 y_mb = pu_planned_item (p, y->item)->i.memory_mb;

  if (x->saves != y->saves)
    return x->saves > y->saves;
  if (x->first != y->first)
    return x->first;
  if (x_mb != y_mb)
    return x_mb > y_mb;
  return x->item < y->item;
}

/* Returns the index of that one of the first N of LOADS that saves most, or
   PU_PLAN_NONE.  Loads that are held count only FOR_DEADLINE.  */
static guint
find_best (const pu_planner_t *p, const GArray *loads, guint n,
           bool for_deadline)
{
  guint best = PU_PLAN_NONE;

  for (guint i = 0; i < n; i++)
    {
      const pu_restore_load_t *l = load_at (loads, i);

      if (l->held && !for_deadline)
        continue;
      if (best == PU_PLAN_NONE || precedes (p, l, load_at (loads, best)))
        best = i;
    }
  return best;
}

/* Returns the number of LOADS, which are sorted by deadline, of which the next
   load must be one, so that all of them meet their deadlines; 0: any load may
   be next.  */
static guint
count_forced (const pu_round_t *r, const GArray *loads)
{
  double interval_ms = MS_PER_S / (FORCED_SHARE * store_loads_per_s (r->p));

  for (guint i = 0; i < loads->len; i++)
    {
      guint64 deadline = load_at (loads, i)->deadline;

      if (deadline == NO_DEADLINE)
        return 0;
      if (r->now + (i + 1) * interval_ms > deadline)
        return i + 1;
    }
  return 0;
}

/* Whether a load may be planned that does not start now, as it waits for the
   store or for memory.  */
static bool
may_defer (const pu_round_t *r)
{
  double ahead = FREE_AHEAD_S * store_loads_per_s (r->p);

  if (pu_round_may_start_urgent_load (r))
    {
      ahead += MIN (r->p->load_slots,
                    r->p->o.max_concurrent_loads - r->p->store_loads);
    }
  return r->p->deferred_loads < MAX (1.0, ahead);
}

/* Plans the load L.  */
static void
plan_load (pu_round_t *r, const pu_restore_load_t *l)
{
  if (l->engine != PU_PLAN_NONE)
    {
      /* An earlier load of this round, for the same item, may have cancelled
         this deferred load.  */
      if (pu_planned_engine (r->p, l->engine)->deferred)
        pu_round_start_deferred_on (r, l->engine);
    }
  else if (pu_planned_needs_first (pu_planned_item (r->p, l->item)))
    {
      pu_round_load_first (r, l->item);
    }
  else
    {
      pu_round_try_load (r, l->item, PU_EVICT_ABOVE_MINIMUM,
                         PU_REASON_MINIMUM);
    }
}

/* Whether the store, or for a load from cached weights the engine, may take
   the load L now.  Sets cached_only and free_only for the choice of the
   engine.  */
static bool
prepare (pu_round_t *r, const pu_restore_load_t *l)
{
  bool may_start = pu_round_may_start_urgent_load (r);

  r->p->cached_only = false;
  r->p->free_only = false;
  if (l->engine != PU_PLAN_NONE)
    {
      return may_start
             || pu_planned_is_cached (pu_planned_engine (r->p, l->engine),
                                      l->item);
    }
  r->only_deferred = !may_start;
  r->p->free_only = !may_defer (r);
  r->p->cached_only
      = !may_start && (r->p->free_only || !(l->first && l->in_demand));
  return !r->p->cached_only || r->p->any_cached;
}

/* Plans the best copy for demand, BEST, if it saves more than SAVES late
   streams.  Returns false when there is none.  KNOWN: BEST was computed and
   nothing was planned since.  */
static bool
plan_scale_up (pu_round_t *r, pu_scale_up_t *best, bool *known, double saves)
{
  r->p->cached_only = !pu_round_may_start_urgent_load (r);
  r->p->free_only = !may_defer (r);
  if (r->p->cached_only && !r->p->any_cached)
    return false;
  if (!*known)
    *best = pu_round_best_scale_up (r, HOT_ENGINES);
  *known = true;
  if (best->engine == PU_PLAN_NONE || best->rank <= saves * r->p->o.payback_s)
    return false;
  *known = !pu_round_load_scale_up (r, best);
  return !*known;
}

void
pu_round_restore (pu_round_t *r)
{
  GArray *loads = find_loads (r);
  pu_scale_up_t scale_up;
  bool known = false; /* scale_up is the best one now */

  g_array_sort (loads, compare_deadlines);
  for (;;)
    {
      guint forced = count_forced (r, loads);
      guint loads_before = r->loads;
      guint deferred_before = r->p->deferred_loads;
      bool for_deadline = forced > 0 && r->p->forced_loads < FORCED_RUN;
      guint n = for_deadline ? forced : loads->len;
      guint next = find_best (r->p, loads, n, for_deadline);
      double saves = next != PU_PLAN_NONE ? load_at (loads, next)->saves : 0;
      pu_restore_load_t l;

      if (!for_deadline && plan_scale_up (r, &scale_up, &known, saves))
        {
          r->p->forced_loads = 0;
          continue;
        }
      if (next == PU_PLAN_NONE)
        break;
      l = *load_at (loads, next);
      g_array_remove_index (loads, next);
      if (prepare (r, &l))
        plan_load (r, &l);
      if (r->loads == loads_before && r->p->deferred_loads == deferred_before)
        continue;
      known = false;
      r->p->forced_loads = for_deadline ? r->p->forced_loads + 1 : 0;
    }
  r->p->cached_only = false;
  r->p->free_only = false;
  r->only_deferred = false;
  g_array_unref (loads);
}
