#ifndef PU_PLACEMENT_PLANNER_H
#define PU_PLACEMENT_PLANNER_H

#include "placement/forecast.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * planner - decides which engines hold copies of which models.
 *
 * The planner does no I/O: the caller passes in engines, models, demand and
 * the time, and receives moves, each with its reason.  An item is a model or
 * an adapter.  The caller chooses the handles of engines, items and versions;
 * they should be small integers, as the tables grow to the highest one.
 *
 * A step handles the following in order, within the weights store's limit on
 * loads in flight:
 *   1. items without a ready copy,
 *   2. items below their minimum of copies,
 *   3. version changes: load the new version, observe it, unload the old one,
 *   4. copies of undeclared items, and copies above an item's maximum: unload
 * them,
 *   5. demand: one more copy where the forecast gain exceeds the price,
 *   6. spare memory: second copies in other zones, with their adapters.
 * A ready copy of a declared item is unloaded only while another copy of the
 * item is ready; in case 5 the price is higher before its minimum stay is
 * over.  A load that needs memory of other copies is deferred: their
 * unloads are issued first, and the load once the memory is free.
 *
 * A late stream is a stream (see forecast.h) that is served late or rejected,
 * weighted by the importance of its item.  Gain and price are in late
 * stream-seconds.
 */

#define PU_PLAN_NONE G_MAXUINT32

typedef struct pu_planner pu_planner_t;

typedef enum
{
  PU_PLAN_ORDERED, /* load ordered, not yet reported by the engine */
  PU_PLAN_LOADING,
  PU_PLAN_READY,
  PU_PLAN_UNLOADING /* draining, unloading, or subject to an unload order that
                     may still arrive */
} pu_plan_phase_t;

typedef struct
{
  guint32 item;
  guint32 version;
  guint32 memory_mb; /* on each accelerator */
  pu_plan_phase_t phase;
} pu_plan_copy_t;

typedef struct
{
  guint32 zone;
  guint32 accelerators;
  guint32 memory_mb; /* size of each accelerator */
  /* Memory on each accelerator that copies take or have reserved, plus that of
     requested loads without a reservation yet.  */
  guint32 committed_mb;
  double streams;       /* concurrent requests that run at full speed */
  bool usable;          /* up and not draining */
  bool loads_suspended; /* accepts no loads at present */
  const pu_plan_copy_t *copies;
  guint n_copies;
} pu_plan_engine_t;

typedef struct
{
  const char *name;
  guint32 base; /* the item of an adapter's base model, or PU_PLAN_NONE */
  guint32 version;
  guint32 previous_version; /* roll-back target; PU_PLAN_NONE when unknown */
  guint32 memory_mb;        /* weights and KV-cache reserve */
  guint32 accelerators;     /* minimum that an engine must have */
  guint32 min_copies;
  guint32 max_copies;
  guint32 importance; /* 1..10 */
} pu_plan_item_t;

typedef enum
{
  PU_REASON_UNREACHABLE, /* no ready copy */
  PU_REASON_MINIMUM,     /* fewer copies than declared */
  PU_REASON_VERSION,     /* the declared version differs */
  PU_REASON_ROLL_BACK,   /* the new version failed */
  PU_REASON_UNDECLARED,
  PU_REASON_MAXIMUM,   /* more copies than declared */
  PU_REASON_DEMAND,    /* the forecast gain exceeds the price */
  PU_REASON_SPARE,     /* extra copy in free memory, for a burst or the loss of
                          another copy */
  PU_REASON_MAKE_ROOM, /* unloaded, or loaded elsewhere, to free memory for
                     another item */
  PU_REASON_PREEXISTING /* present when the planner started */
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
  guint32 for_item; /* PU_REASON_MAKE_ROOM: the item that needs the memory */
  double gain;      /* late stream-seconds saved over the pay-back time */
  double price;     /* late stream-seconds */
} pu_move_t;

/* Faults that tests inject to show that the checks detect them.  */
typedef enum
{
  PU_PLANNER_BREAK_NONE = 0,
  PU_PLANNER_BREAK_LAST_COPY = 1 /* may unload the last ready copy */
} pu_planner_break_t;

typedef struct
{
  double moves_weight; /* 0: most requests served on time, 1: fewest moves */
  double payback_s;    /* the gain of a move within this time must exceed its
                          price */
  double move_price;   /* late stream-seconds per move at moves_weight 0 */
  double min_stay_s;   /* evicting a copy that was loaded more recently raises
                          the price */
  double watch_s;      /* the new version is ready this long before the old
                          one is unloaded */
  guint max_failures; /* failed loads after which the item is in backoff on all
                         engines and a new version is rolled back */
  guint forecast_period_ms; /* period at which the forecast takes in demand */
  guint max_concurrent_loads; /* loads from the store in flight: as many as it
                       serves at full speed */
  /* Utilization above which an engine's items are candidates for another copy.
   */
  double hot_utilization;
  bool zone_spread;  /* prefer zones without a copy of the item */
  bool serial_loads; /* an engine runs one load at a time: no load is
                    ordered on an engine that is still loading */
  pu_forecast_options_t forecast;
  guint test_breaks; /* pu_planner_break_t; 0 outside tests */
} pu_planner_options_t;

void pu_planner_options_init (pu_planner_options_t *o);

pu_planner_t *pu_planner_new (const pu_planner_options_t *o);
void pu_planner_free (pu_planner_t *p);

/* pu_planner_set_options - replaces the options, as when the settings of the
   document change.  Loads and unloads in progress are not affected.  */
void pu_planner_set_options (pu_planner_t *p, const pu_planner_options_t *o);

/* pu_planner_clone - returns an independent copy of P, for planning that must
   not change P.  Free with pu_planner_free.  */
pu_planner_t *pu_planner_clone (const pu_planner_t *p);

/* pu_planner_set_engine - replaces the state of ENGINE; E is NULL when the
   engine is gone.  NOW and UNTIL are in milliseconds, here and below.  */
void pu_planner_set_engine (pu_planner_t *p, guint32 engine,
                            const pu_plan_engine_t *e, guint64 now);

/* pu_planner_set_cached - sets whether the weights of ITEM are cached for
   ENGINE (CACHED), on its disk or in its host's memory, so that a load does
   not use the weights store.  May be called before pu_planner_set_engine;
   holds until the next call for the same engine and item.  */
void pu_planner_set_cached (pu_planner_t *p, guint32 engine, guint32 item,
                            bool cached);

/* pu_planner_set_load_slots - limits to N the loads from the weights store
   that are ordered until the next call.  They go to the items that need them
   most, and no load is ordered only to queue at the store.  Without this call
   only max_concurrent_loads limits loads.  */
void pu_planner_set_load_slots (pu_planner_t *p, guint n);

/* pu_planner_set_item - declares ITEM; with I NULL, removes its declaration.
 */
void pu_planner_set_item (pu_planner_t *p, guint32 item,
                          const pu_plan_item_t *i);

/* pu_planner_set_min_copies - sets the minimum of copies of ITEM to
   MIN_COPIES, or to its maximum if that is lower, until the item is declared
   again.  */
void pu_planner_set_min_copies (pu_planner_t *p, guint32 item,
                                guint32 min_copies);

/* pu_planner_add_demand - adds REQUESTS for ITEM that arrived since the last
   call.  STREAM_MS is the time that they need in total on engines that are not
   overloaded.  */
void pu_planner_add_demand (pu_planner_t *p, guint32 item, guint32 requests,
                            double stream_ms);

/* pu_planner_load_failed - records that a load of VERSION of ITEM on ENGINE
   failed, or that a ready copy was lost while the engine kept running.  ENGINE
   is not tried again for a backoff period.  After max_failures of them the
   item is in backoff on all engines, and a new version is rolled back.  */
void pu_planner_load_failed (pu_planner_t *p, guint32 engine, guint32 item,
                             guint32 version, guint64 now);

/* pu_planner_block - plans no load of ITEM on ENGINE before UNTIL, because one
   failed there or cannot be ordered.  */
void pu_planner_block (pu_planner_t *p, guint32 engine, guint32 item,
                       guint64 until);

/* pu_planner_step - appends the next moves (pu_move_t) to MOVES, in order of
   urgency.  Call it about once a second, and after the loss of a copy or an
   engine.  Before the next step, the caller reports the effect of each move
   with pu_planner_set_engine.  */
void pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves);

/* pu_planner_plan_until_stable - appends all moves up to a stable placement,
   without the store's limits.  P is not changed.  */
void pu_planner_plan_until_stable (const pu_planner_t *p, guint64 now,
                                   GArray *moves);

/* pu_planner_what_if - like pu_planner_plan_until_stable, with the N
   declarations ITEMS in place of those of P.  ITEMS[i] replaces item i; NULL,
   and any item from N on, is undeclared.  */
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
  PU_ITEM_STATE_WAIT_STORE, /* waits for the store to accept another load */
  PU_ITEM_STATE_WAIT_BASE,  /* waits for its base model to be ready */
  PU_ITEM_STATE_WAIT_RETRY, /* in backoff: a load failed or no engine had
                               memory for it */
  PU_ITEM_STATE_UNDECLARED
} pu_item_state_t;

/* pu_planner_item_state - returns the state of ITEM as of the last step.  */
pu_item_state_t pu_planner_item_state (const pu_planner_t *p, guint32 item,
                                       guint64 now);
const char *pu_item_state_name (pu_item_state_t s);

/* pu_planner_needs_version - returns whether VERSION is the version that ITEM
   should have and no copy of ITEM is ready.  */
bool pu_planner_needs_version (const pu_planner_t *p, guint32 item,
                               guint32 version);

/* pu_planner_may_unload - returns whether the copy of VERSION of ITEM on
   ENGINE may be unloaded: the copy is not ready, or another copy is, or the
   item is not declared.  Call it again whenever an unload order is sent.  */
bool pu_planner_may_unload (const pu_planner_t *p, guint32 engine,
                            guint32 item, guint32 version);

/* pu_planner_expected_streams - returns the demand for ITEM that the forecast
   expects, in streams.  */
double pu_planner_expected_streams (const pu_planner_t *p, guint32 item);

/* pu_planner_rolled_back - returns whether the declared version was rolled
   back after failed loads.  */
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
