#ifndef PU_PLACEMENT_PLANNER_H
#define PU_PLACEMENT_PLANNER_H

#include "placement/forecast.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * planner - decides which copies of which models the engines should hold.
 *
 * Pure: engines, models, demand and time come in, moves come out, each with
 * its reason.  An `item` is a model or an adapter.  Handles of engines, items
 * and versions are small integers of the caller; tables grow to the highest.
 *
 * One step looks at these, in this order, and stops at the store's limit on
 * loads under way:
 *   1. items without any ready copy,
 *   2. items below their minimum of copies,
 *   3. version changes: load beside, watch, unload the old one,
 *   4. copies of items that are no longer declared,
 *   5. demand: one more copy where the forecast gain exceeds the price,
 *   6. spare memory: second copies in other zones, and with their adapters.
 * A copy is unloaded only while another copy of its item is ready; in case 5
 * only after its minimum stay.  A load that needs memory of others is a
 * promise: their unloads come out first, the load when the memory is free.
 */

#define PU_PLAN_NONE G_MAXUINT32

typedef struct pu_planner pu_planner_t;

typedef enum
{
  PU_PLAN_ORDERED, /* a load is on its way, nothing is seen of it yet */
  PU_PLAN_LOADING,
  PU_PLAN_READY,
  PU_PLAN_LEAVING /* draining, unloading, or an unload order may arrive */
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
  guint32 memory_mb;    /* size of each accelerator */
  guint32 committed_mb; /* what the ledger counts, and loads asked for that
                           are not reserved yet */
  double streams;       /* requests that it runs at once at full speed */
  bool usable;          /* up, not leaving */
  bool closed;          /* takes no loads for now */
  const pu_plan_copy_t *copies;
  guint n_copies;
} pu_plan_engine_t;

typedef struct
{
  const char *name;
  guint32 base; /* the item of an adapter's base model, or PU_PLAN_NONE */
  guint32 version;
  guint32 previous_version; /* to fall back to; PU_PLAN_NONE when unknown */
  guint32 memory_mb;        /* weights and KV-cache reserve */
  guint32 accelerators;     /* an engine needs at least as many */
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
  PU_REASON_MAXIMUM,    /* more copies than declared */
  PU_REASON_DEMAND,     /* the forecast gain exceeds the price */
  PU_REASON_SPARE,      /* free memory, one more copy for a burst or a loss */
  PU_REASON_MAKE_ROOM,  /* unloaded to make room for another item */
  PU_REASON_PREEXISTING /* it was there when this planner began */
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
  guint32 for_item; /* PU_REASON_MAKE_ROOM: what the room is for */
  double gain;      /* late stream-seconds saved over the pay-back time */
  double price;     /* in the same unit */
} pu_move_t;

/* Deliberate faults for the tests that show the checks can fail.  */
typedef enum
{
  PU_PLANNER_BREAK_NONE = 0,
  PU_PLANNER_BREAK_LAST_COPY = 1 /* may unload the last ready copy */
} pu_planner_break_t;

typedef struct
{
  double moves_weight; /* 0: attainment only, 1: fewest moves */
  double payback_s;    /* a move must pay within this time */
  double move_price;   /* late stream-seconds that a move is worth, at 0 */
  double min_stay_s;
  double watch_s;           /* version change: ready until the old one goes */
  guint max_failures;       /* of loading a new version, until the roll-back */
  guint forecast_period_ms; /* the forecast takes the demand in so often */
  guint max_concurrent_loads; /* loads under way at once: the store's full
                                 speed */
  double hot;                 /* engines above this use are looked at */
  bool zone_spread;
  bool serial_loads; /* an engine carries out one load after the other: none is
                    ordered only to wait there for another's end */
  pu_forecast_options_t forecast;
  guint test_breaks; /* pu_planner_break_t; 0 outside tests */
} pu_planner_options_t;

void pu_planner_options_init (pu_planner_options_t *o);

pu_planner_t *pu_planner_new (const pu_planner_options_t *o);
void pu_planner_free (pu_planner_t *p);

/* pu_planner_set_options - replaces the options, when the settings of the
   document change; what is under way goes on.  */
void pu_planner_set_options (pu_planner_t *p, const pu_planner_options_t *o);

/* pu_planner_clone - a copy to try things on.  */
pu_planner_t *pu_planner_clone (const pu_planner_t *p);

/* pu_planner_set_engine - replaces what is known of ENGINE; E NULL: it is
   gone.  NOW in milliseconds, here and below.  */
void pu_planner_set_engine (pu_planner_t *p, guint32 engine,
                            const pu_plan_engine_t *e, guint64 now);

/* pu_planner_set_cached - a copy of ITEM on ENGINE would not come from the
   weights store (QUICK): its disk or its host's memory has it.  Said of an
   engine before pu_planner_set_engine too; stands until it is said anew.  */
void pu_planner_set_cached (pu_planner_t *p, guint32 engine, guint32 item,
                            bool quick);

/* pu_planner_set_load_slots - the store lets N loads begin now: those most
   needed are to get them, and none is ordered only to wait for the store.
   Without this call max_concurrent_loads alone bounds them.  */
void pu_planner_set_load_slots (pu_planner_t *p, guint n);

/* pu_planner_set_item - declares ITEM; I NULL: it is no longer declared.  */
void pu_planner_set_item (pu_planner_t *p, guint32 item,
                          const pu_plan_item_t *i);

/* pu_planner_set_min_copies - ITEM is to have at least LEAST copies from now
   on, until it is declared anew.  */
void pu_planner_set_min_copies (pu_planner_t *p, guint32 item, guint32 least);

/* pu_planner_add_demand - REQUESTS for ITEM arrived since the last call, which
   need STREAM_MS in all on engines that are not crowded.  */
void pu_planner_add_demand (pu_planner_t *p, guint32 item, guint32 requests,
                            double stream_ms);

/* pu_planner_load_failed - a load of VERSION of ITEM on ENGINE was given up,
   or a ready copy was lost while the engine went on.  ENGINE is not tried
   again for a while; enough failures hold back the item everywhere, and roll
   a new version back.  */
void pu_planner_load_failed (pu_planner_t *p, guint32 engine, guint32 item,
                             guint32 version, guint64 now);

/* pu_planner_block - no load of ITEM on ENGINE before UNTIL: one failed there,
   or cannot be ordered.  */
void pu_planner_block (pu_planner_t *p, guint32 engine, guint32 item,
                       guint64 until);

/* pu_planner_step - appends the next moves (pu_move_t) to MOVES, first things
   first.  Call it about once a second, and after a loss.  The caller shows
   by pu_planner_set_engine, before the next step, what became of each.  */
void pu_planner_step (pu_planner_t *p, guint64 now, GArray *moves);

/* pu_planner_plan_until_stable - all moves from here to where steps would end,
   were the store without limits.  P itself is not changed.  */
void pu_planner_plan_until_stable (const pu_planner_t *p, guint64 now,
                                   GArray *moves);

/* pu_planner_what_if - the same with other items: ITEMS[i] replaces item i of
   N; NULL stands for one that is not declared.  */
void pu_planner_what_if (const pu_planner_t *p,
                         const pu_plan_item_t *const *items, guint n,
                         guint64 now, GArray *moves);

/* pu_planner_ready_copies - ready copies of ITEM on usable engines.  */
guint pu_planner_ready_copies (const pu_planner_t *p, guint32 item);

/* How an item stands with its callers.  */
typedef enum
{
  PU_ITEM_STATE_READY,
  PU_ITEM_STATE_LOADING,    /* no copy is ready, a load is under way */
  PU_ITEM_STATE_WAIT_STORE, /* next, when the store takes another load */
  PU_ITEM_STATE_WAIT_BASE,  /* next, when its base model is ready */
  PU_ITEM_STATE_WAIT_RETRY, /* a load failed, or found no room; tried again */
  PU_ITEM_STATE_UNDECLARED
} pu_item_state_t;

/* pu_planner_item_state - as of the last step.  */
pu_item_state_t pu_planner_item_state (const pu_planner_t *p, guint32 item,
                                       guint64 now);
const char *pu_item_state_name (pu_item_state_t s);

/* pu_planner_needs_version - whether ITEM should have VERSION and no copy is
 * ready. */
bool pu_planner_needs_version (const pu_planner_t *p, guint32 item,
                               guint32 version);

/* pu_planner_may_unload - whether another copy of ITEM is ready, so that the
   one on ENGINE may go, or that one is not ready.  Asked again whenever an
   unload order is sent.  */
bool pu_planner_may_unload (const pu_planner_t *p, guint32 engine,
                            guint32 item, guint32 version);

/* pu_planner_expected - streams of ITEM that the forecast expects.  */
double pu_planner_expected (const pu_planner_t *p, guint32 item);

/* pu_planner_rolled_back - whether the declared version was given up.  */
bool pu_planner_rolled_back (const pu_planner_t *p, guint32 item);

/* pu_planner_explain_item - appends why ITEM is where it is, one line for
   the item and one for each copy.  */
void pu_planner_explain_item (const pu_planner_t *p, guint32 item, guint64 now,
                              GString *out);

/* pu_planner_copy_reason - why VERSION of ITEM came to ENGINE;
   PU_REASON_PREEXISTING when that is not known.  */
pu_plan_reason_t pu_planner_copy_reason (const pu_planner_t *p, guint32 engine,
                                         guint32 item, guint32 version);

/* pu_planner_explain_move - appends one line: what M does, and why.  */
void pu_planner_explain_move (const pu_planner_t *p, const pu_move_t *m,
                              GString *out);

const char *pu_plan_reason_name (pu_plan_reason_t reason);

G_END_DECLS

#endif
