#ifndef PU_PLACEMENT_PLANNER_H
#define PU_PLACEMENT_PLANNER_H

#include "placement/forecast.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * planner - decides which engines hold copies of which models.
 *
 * The planner does no I/O: the calling code passes in engines, models, demand
 * and the time, and receives moves, each with its reason.  The calling code
 * chooses the handles of engines, items and versions; they should be small
 * integers, as the tables grow to the highest one.
 *
 * Terms:
 *   item         a model, or an adapter, which is loaded beside its base model
 *   copy         a version of an item on one engine; also one being loaded
 *   move         a load or an unload of one copy
 *   unreachable  (item) without a ready copy
 *   stream       a request that runs at full speed, see forecast.h; the unit
 *                of demand, of an engine's load and of its capacity
 *   utilization  an engine's expected demand divided by its streams
 *   hot          (engine) with a utilization above hot_utilization
 *   late stream  a stream that is served late or rejected, weighted by the
 *                importance of its item
 *   gain, price  what a move saves and costs, in late stream-seconds
 *   backoff      time during which no load of an item is planned, on one
 *                engine or on all engines
 *   deferred     (load) planned, but ordered only later: a load that needs
 *                memory of other copies is deferred until their unloads, which
 *                are ordered first, have freed it; a load may also be deferred
 *                until the store accepts it
 *   store        the weights store, from which engines load weights
 *
 * A step handles the following in order, within the weights store's limit on
 * loads in flight:
 *   1. items without a ready copy,
 *   2. items below their minimum of copies,
 *   3. version changes: load the new version, observe it, unload the old one,
 *   4. unload copies of undeclared items, and copies above an item's maximum,
 *   5. demand: one more copy where the forecast gain exceeds the price,
 *   6. spare memory: second copies in other zones, with their adapters.
 *
 * With the option restore_by_gain, while an item needs a first copy or is
 * below its minimum, cases 1, 2 and 5 are one: each next load is the one that
 * saves most late streams.  An item without a ready copy has a deadline for
 * the order of its load: 8 s after this planner first saw it requested, or
 * 60 s if it is not requested and the fleet is not overcommitted.  The
 * deadlines are met while no more items wait than three quarters of the loads
 * that the store starts until then, and engines take these loads.
 *
 * A ready copy of a declared item is unloaded only while another
 * copy of the item is ready, unless the fleet is overcommitted: it has more
 * models than its engines can hold.  Then the last copy of an item without
 * demand, or with a fraction of the demand of the item that needs the memory,
 * gives way, and an item without demand is only loaded into free memory.  In
 * case 5, the price is higher for the eviction of a copy whose minimum stay
 * (min_stay_s) is not over.
 */

#define PU_PLAN_NONE G_MAXUINT32

typedef struct pu_planner pu_planner_t;

typedef enum
{
  PU_PLAN_ORDERED, /* the load is ordered; the engine has not reported it
                      yet */
  PU_PLAN_LOADING,
  PU_PLAN_READY,
  PU_PLAN_UNLOADING /* the copy is draining or unloading, or an unload order
                       was sent that may still reach the engine */
} pu_plan_phase_t;

typedef struct
{
  guint32 item;
  guint32 version;
  guint32 memory_mb; /* memory that the copy takes on each accelerator */
  pu_plan_phase_t phase;
} pu_plan_copy_t;

typedef struct
{
  guint32 zone;
  guint32 accelerators;
  guint32 memory_mb; /* memory of each accelerator */
  /* Memory on each accelerator, in MB, that copies take or that is reserved
     for them, plus the memory of requested loads that have no reservation
     yet.  */
  guint32 committed_mb;
  double streams;   /* requests that the engine can run at once at full
                       speed */
  double slowness;  /* time that the engine takes for a given amount of work,
                       relative to the mean; 0: not known */
  bool usable;      /* the engine is up and not draining */
  bool unreachable; /* no order reaches it: room that is being made there is
                       made elsewhere; set loads_suspended too */
  bool loads_suspended; /* the engine accepts no loads now */
  const pu_plan_copy_t *copies;
  guint n_copies;
} pu_plan_engine_t;

typedef struct
{
  const char *name;
  guint32 base; /* handle of an adapter's base model; PU_PLAN_NONE for a
                   model */
  guint32 version;
  guint32 previous_version; /* version to roll back to; PU_PLAN_NONE when
                               unknown */
  guint32 memory_mb;        /* for the weights and the KV-cache reserve, on
                               each accelerator */
  guint32 accelerators;     /* number that an engine must have at least */
  guint32 min_copies;
  guint32 max_copies;
  guint32 importance; /* weight of the item's late streams, 1 to 10 */
} pu_plan_item_t;

typedef enum
{
  PU_REASON_UNREACHABLE, /* the item had no ready copy */
  PU_REASON_MINIMUM,     /* the item had fewer copies than its minimum */
  PU_REASON_VERSION,     /* change to the declared version */
  PU_REASON_ROLL_BACK,   /* return to the previous version, as the new one
                            failed */
  PU_REASON_UNDECLARED,
  PU_REASON_MAXIMUM,   /* the item had more copies than its maximum */
  PU_REASON_DEMAND,    /* the gain of one more copy exceeds its price */
  PU_REASON_SPARE,     /* extra copy in free memory, for a burst of demand or
                          the loss of another copy */
  PU_REASON_MAKE_ROOM, /* the copy is unloaded, or loaded on another engine, to
                          free memory for another item */
  PU_REASON_PREEXISTING /* the planner did not order the copy; it was present
                           when the planner started, for example */
} pu_plan_reason_t;

typedef enum
{
  PU_MOVE_LOAD,
  PU_MOVE_UNLOAD
} pu_move_kind_t;

typedef struct
{
  pu_move_kind_t kind;
  guint32 engine;
  guint32 item;
  guint32 version;
  guint32 memory_mb;
  pu_plan_reason_t reason;
  guint32 for_item; /* with PU_REASON_MAKE_ROOM: the item that needs the
                       memory */
  double gain;      /* late stream-seconds that the load saves within
                       payback_s */
  double price;     /* late stream-seconds that the load costs */
} pu_move_t;

/* Faults that tests inject into the planner, to show that the tests detect
   them.  */
typedef enum
{
  PU_PLANNER_BREAK_NONE = 0,
  PU_PLANNER_BREAK_LAST_COPY = 1,    /* the planner may unload an item's last
                                        ready copy */
  PU_PLANNER_BREAK_LATE_CAPACITY = 2 /* the planner notices only at its next
                                        step that all models fit again */
} pu_planner_break_t;

typedef struct
{
  double moves_weight; /* from 0 (most requests served on time) to 1 (fewest
                          moves) */
  double payback_s;    /* time over which the gain of a move is counted; the
                          gain must exceed the price */
  double move_price;   /* price of one move at moves_weight 0, in late
                          stream-seconds */
  double min_stay_s;   /* a load that evicts a copy that has been ready for
                          less than this time has a higher price, in late
                          stream-seconds */
  double watch_s;      /* time for which a new version must be ready before the
                          old one is unloaded */
  /* Number of failed loads after which the item is in backoff on all engines
     and a new version is rolled back.  */
  guint max_failures;
  guint forecast_period_ms; /* interval between updates of the forecasts */
  /* Limit on loads from the weights store in flight: the number that the store
     serves at full speed.  */
  guint max_concurrent_loads;
  /* An engine with a higher utilization is hot: its items are candidates for
     another copy.  */
  double hot_utilization;
  bool zone_spread;  /* prefer engines in zones without a copy of the item */
  bool serial_loads; /* an engine runs one load at a time, so no load is
                        ordered on an engine that is still loading */
  /* Loads that repair the placement are ordered by what they save callers, see
     planner_restore.c.  */
  bool restore_by_gain;
  /* Rate at which the store starts loads, with restore_by_gain; 0: not
     known.  */
  double loads_per_s;
  /* Late streams are weighted by the urgency of their requests, see
     pu_planner_add_urgency.  */
  bool place_by_urgency;
  /* An engine of a known slowness counts as 1 / slowness engines of slowness
     1.  */
  bool place_by_speed;
  pu_forecast_options_t forecast;
  guint test_breaks; /* flags of pu_planner_break_t; 0 outside tests */
} pu_planner_options_t;

void pu_planner_options_init (pu_planner_options_t *o);

pu_planner_t *pu_planner_new (const pu_planner_options_t *o);
void pu_planner_free (pu_planner_t *p);

/* pu_planner_set_options - replaces the options of P, for example when the
   declared settings change.  Loads and unloads in progress are not
   affected.  */
void pu_planner_set_options (pu_planner_t *p, const pu_planner_options_t *o);

/* pu_planner_clone - returns an independent copy of P, for planning that must
   not change P.  Free with pu_planner_free.  */
pu_planner_t *pu_planner_clone (const pu_planner_t *p);

/* pu_planner_set_engine - replaces the state of ENGINE; E is NULL when the
   engine is gone.  NOW, and UNTIL in pu_planner_block, are times of the
   calling code's clock in milliseconds.  */
void pu_planner_set_engine (pu_planner_t *p, guint32 engine,
                            const pu_plan_engine_t *e, guint64 now);

/* pu_planner_set_cached - records whether (CACHED) the weights of ITEM are
   cached on the disk of ENGINE or in the memory of its host.  A load of cached
   weights does not use the weights store.  The function may be called before
   pu_planner_set_engine; the value is valid until the next call for the same
   engine and item.  */
void pu_planner_set_cached (pu_planner_t *p, guint32 engine, guint32 item,
                            bool cached);

/* pu_planner_set_load_slots - until the next call, lets the planner order at
   most N loads from the weights store.  The items that need a load most get
   one first, and no load is ordered that would only wait in the store's queue.
   Before the first call, only max_concurrent_loads limits the loads.  */
void pu_planner_set_load_slots (pu_planner_t *p, guint n);

/* pu_planner_set_item - declares ITEM as I; if I is NULL, removes the
   declaration of ITEM.  */
void pu_planner_set_item (pu_planner_t *p, guint32 item,
                          const pu_plan_item_t *i);

/* pu_planner_set_min_copies - sets the minimum of copies of ITEM to
   MIN_COPIES, or to the maximum of ITEM if that is lower, until the item is
   declared again.  */
void pu_planner_set_min_copies (pu_planner_t *p, guint32 item,
                                guint32 min_copies);

/* pu_planner_add_demand - adds REQUESTS for ITEM that arrived since the last
   call.  STREAM_MS is the time in milliseconds that these requests need in
   total on engines that are not overloaded.  */
void pu_planner_add_demand (pu_planner_t *p, guint32 item, guint32 requests,
                            double stream_ms);

/* pu_planner_add_urgency - records how urgent requests for ITEM were: they
   need STREAM_MS on engines that are not overloaded, and WEIGHTED_MS is the
   same with each request multiplied by its weight (entry/demand.c).  With the
   option place_by_urgency, the late streams of an item weigh as much more or
   less than those of all items as its requests do: so the copies of an item
   whose callers are refused at once are loaded before, and evicted after,
   those of an item whose callers can wait.  */
void pu_planner_add_urgency (pu_planner_t *p, guint32 item, double stream_ms,
                             double weighted_ms);

/* pu_planner_load_failed - records that a load of VERSION of ITEM on ENGINE
   failed, or that a ready copy was lost while the engine kept running.  No
   load of ITEM is planned on ENGINE for a backoff period.  After max_failures
   such failures of the version that ITEM should have, the item is in backoff
   on all engines, and a new version is rolled back.  */
void pu_planner_load_failed (pu_planner_t *p, guint32 engine, guint32 item,
                             guint32 version, guint64 now);

/* pu_planner_block - excludes loads of ITEM on ENGINE until the time UNTIL,
   because a load failed on ENGINE or cannot be ordered.  */
void pu_planner_block (pu_planner_t *p, guint32 engine, guint32 item,
                       guint64 until);

/* pu_planner_step - appends the next moves (pu_move_t) to MOVES, in order of
   urgency.  Call it about once a second, and after the loss of a copy or an
   engine.  Before the next step, the calling code reports the effect of each
   move with pu_planner_set_engine.  */
void pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves);

/* pu_planner_plan_until_stable - appends to MOVES all moves that lead to a
   stable placement, which is one for which a step plans no move.  The limits
   of the weights store do not apply.  P is not changed.  */
void pu_planner_plan_until_stable (const pu_planner_t *p, guint64 now,
                                   GArray *moves);

/* pu_planner_what_if - does the same as pu_planner_plan_until_stable, with the
   N declarations ITEMS in place of those of P.  ITEMS[i] declares the item
   with handle i.  An item is undeclared if its entry is NULL or its handle is
   N or higher.  */
void pu_planner_what_if (const pu_planner_t *p,
                         const pu_plan_item_t *const *items, guint n,
                         guint64 now, GArray *moves);

/* pu_planner_ready_copies - returns the number of ready copies of ITEM on
   usable engines.  */
guint pu_planner_ready_copies (const pu_planner_t *p, guint32 item);

/* Availability of an item to its callers.  */
typedef enum
{
  PU_ITEM_STATE_READY,
  PU_ITEM_STATE_LOADING,    /* no copy is ready, a load is in progress */
  PU_ITEM_STATE_WAIT_STORE, /* no copy is ready; waits until the weights store
                               accepts another load */
  PU_ITEM_STATE_WAIT_BASE,  /* an adapter that waits until its base model is
                               ready */
  PU_ITEM_STATE_WAIT_RETRY, /* in backoff: a load failed or no engine had
                               memory for it */
  PU_ITEM_STATE_UNDECLARED
} pu_item_state_t;

/* pu_planner_item_state - returns the state of ITEM as of the last step.  */
pu_item_state_t pu_planner_item_state (const pu_planner_t *p, guint32 item,
                                       guint64 now);
const char *pu_item_state_name (pu_item_state_t s);

/* pu_planner_needs_version - returns whether ITEM has no ready copy and
   VERSION is the version that it should have: the declared one, or the
   previous one after a roll-back.  */
bool pu_planner_needs_version (const pu_planner_t *p, guint32 item,
                               guint32 version);

/* pu_planner_may_unload - returns whether the copy of VERSION of ITEM on
   ENGINE may be unloaded.  It may be if it is not ready, if another copy of
   ITEM is ready, if ITEM is not declared, or if the planner unloads the last
   copy for an item with more demand and the engines still cannot hold a copy
   of each model.  Check this again each time an unload order is sent.  */
bool pu_planner_may_unload (const pu_planner_t *p, guint32 engine,
                            guint32 item, guint32 version);

/* pu_planner_is_overcommitted - returns whether the engines could not hold a
   copy of each declared model at the last step, and have not been able to
   since.  */
bool pu_planner_is_overcommitted (const pu_planner_t *p);

/* pu_planner_expected_streams - returns the demand for ITEM that the forecast
   expects, in streams.  */
double pu_planner_expected_streams (const pu_planner_t *p, guint32 item);

/* pu_planner_rolled_back - returns whether the declared version of ITEM was
   rolled back after failed loads.  */
bool pu_planner_rolled_back (const pu_planner_t *p, guint32 item);

/* pu_planner_explain_item - appends the reasons for the placement of ITEM to
   OUT: one line for the item and one for each copy.  */
void pu_planner_explain_item (const pu_planner_t *p, guint32 item, guint64 now,
                              GString *out);

/* pu_planner_copy_reason - returns why VERSION of ITEM was loaded on ENGINE;
   PU_REASON_PREEXISTING when the reason is not known.  */
pu_plan_reason_t pu_planner_copy_reason (const pu_planner_t *p, guint32 engine,
                                         guint32 item, guint32 version);

/* pu_planner_explain_move - appends one line to OUT with the action and the
   reason of M.  */
void pu_planner_explain_move (const pu_planner_t *p, const pu_move_t *m,
                              GString *out);

const char *pu_plan_reason_name (pu_plan_reason_t reason);

G_END_DECLS

#endif
