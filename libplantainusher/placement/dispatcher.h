#ifndef PU_PLACEMENT_DISPATCHER_H
#define PU_PLACEMENT_DISPATCHER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * dispatcher - orders to engines that count the orders they accept, and refuse
 * one that expects another count: compare-and-set on what an engine holds.
 *
 * Pure: no I/O, no clock.  `now` is monotonic milliseconds.
 *
 * An engine's report says what it holds and how many orders it had accepted
 * when it held that.  An order that expects this number is carried out only if
 * no other was accepted since.  So whoever knows one report can't order more
 * than fits, whatever became of orders that were lost, doubled or late, and
 * whoever sent them; no order has to be kept in the log.  An order without an
 * answer is sent again with the same number: one of the two is carried out at
 * most.  Orders to one engine go one at a time.
 *
 * Items are models and adapters, by small handles of the caller's; so are
 * engines.  An engine handle stands for one start of an engine.
 */

typedef struct pu_dispatcher pu_dispatcher_t;

typedef struct
{
  guint64 lag_ms;       /* a report may be as old as this when it comes */
  guint64 answer_ms;    /* an order without an answer is sent again */
  guint64 give_up_ms;   /* and given up this long after the first time */
  guint64 refused_ms;   /* after a refusal, before the next order */
  guint64 poll_ms;      /* between two reports */
  guint64 poll_each_ms; /* the same at least, for each engine there is: one
                           leader asks them all */
  guint64 watch_ms;     /* the same while something is under way */
  guint64 adapter_ms;   /* an adapter that was accepted is ready after this */
  guint64 try_ms;       /* after an unload was accepted, and again, the next
                           order is tried */
} pu_dispatcher_options_t;

void pu_dispatcher_options_init (pu_dispatcher_options_t *o);

pu_dispatcher_t *pu_dispatcher_new (const pu_dispatcher_options_t *o);
void pu_dispatcher_free (pu_dispatcher_t *d);

typedef enum
{
  PU_DISPATCHER_LOAD,
  PU_DISPATCHER_UNLOAD
} pu_dispatcher_op_t;

typedef struct
{
  pu_dispatcher_op_t op;
  guint32 item;
  bool adapter; /* loads and unloads beside other orders */
} pu_dispatcher_order_t;

/* pu_dispatcher_add_engine - ENGINE is there; nothing is known of it yet.  */
void pu_dispatcher_add_engine (pu_dispatcher_t *d, guint32 engine,
                               guint64 now);

/* pu_dispatcher_remove_engine - ENGINE is gone; its orders end.  */
void pu_dispatcher_remove_engine (pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_set_item_memory - ITEM takes MEMORY_MB of an engine's memory:
   0 where that is not known, or not counted.  */
void pu_dispatcher_set_item_memory (pu_dispatcher_t *d, guint32 item,
                                    guint32 memory_mb);

/* pu_dispatcher_set_adapter - ITEM is an adapter: it takes one of an engine's
   places for adapters, and has its memory there.  */
void pu_dispatcher_set_adapter (pu_dispatcher_t *d, guint32 item);

/* pu_dispatcher_set_capacity - ENGINE has ROOM_MB of memory for items; 0: no
 * limit.  */
void pu_dispatcher_set_capacity (pu_dispatcher_t *d, guint32 engine,
                                 guint32 room_mb);

/* pu_dispatcher_set_adapter_slots - ENGINE has PLACES for adapters; 0: no
 * limit.  */
void pu_dispatcher_set_adapter_slots (pu_dispatcher_t *d, guint32 engine,
                                      guint places);

/* pu_dispatcher_enqueue - queues O for ENGINE.  False when an order for the
   same item is under way there, or it is there (or not) already, or ENGINE is
   not known or refuses us.  */
bool pu_dispatcher_enqueue (pu_dispatcher_t *d, guint32 engine,
                            const pu_dispatcher_order_t *o, guint64 now);

/* pu_dispatcher_drop - takes a queued order for ITEM back that was not sent
 * yet.  */
void pu_dispatcher_drop (pu_dispatcher_t *d, guint32 engine, guint32 item);

typedef enum
{
  PU_DISPATCHER_ACCEPTED,    /* it is being carried out */
  PU_DISPATCHER_COMPLETED,   /* what it asks for is so already */
  PU_DISPATCHER_CONFLICT,    /* another count, or another order is under way */
  PU_DISPATCHER_FENCED,      /* a later leader has given orders */
  PU_DISPATCHER_REFUSED,     /* it can't be carried out */
  PU_DISPATCHER_MISDIRECTED, /* another engine answers */
  PU_DISPATCHER_NO_ANSWER    /* no answer: nothing is known */
} pu_dispatcher_answer_t;

/* pu_dispatcher_answer - how the order that ENGINE was sent was answered.  */
void pu_dispatcher_answer (pu_dispatcher_t *d, guint32 engine,
                           pu_dispatcher_answer_t a, guint64 now);

/* What an engine says of itself; the lists are borrowed.  */
typedef struct
{
  guint64 accepted; /* orders */
  bool busy;        /* it carries one out */
  const guint32 *held;
  guint n_held;
  const guint32 *coming; /* adapters on their way to it */
  guint n_coming;
} pu_dispatcher_report_t;

/* pu_dispatcher_report - the answer to a FETCH that was asked at ASKED; R
   NULL: it failed.  */
void pu_dispatcher_report (pu_dispatcher_t *d, guint32 engine,
                           const pu_dispatcher_report_t *r, guint64 asked,
                           guint64 now);

/* pu_dispatcher_mark_loaded - ENGINE was heard to hold ITEM, by another way
   than a report that was fetched.  */
void pu_dispatcher_mark_loaded (pu_dispatcher_t *d, guint32 engine,
                                guint32 item, guint64 now);

typedef enum
{
  PU_DISPATCHER_ACTION_SEND,     /* send the order to the engine; answer by
                          pu_dispatcher_answer */
  PU_DISPATCHER_ACTION_FETCH,    /* fetch the engine's report; answer by
                                pu_dispatcher_report */
  PU_DISPATCHER_ACTION_ACCEPTED, /* the order was carried out, or is being */
  PU_DISPATCHER_ACTION_FAILED    /* it never will be */
} pu_dispatcher_do_t;

typedef struct
{
  pu_dispatcher_do_t what;
  guint32 engine;
  pu_dispatcher_order_t order; /* not of a FETCH */
  guint64 expected;            /* of a SEND */
} pu_dispatcher_action_t;

/* pu_dispatcher_may_fn - whether the load O may begin now.  */
typedef bool pu_dispatcher_may_fn (void *data, guint32 engine,
                                   const pu_dispatcher_order_t *o);

/* pu_dispatcher_step - appends what is to be done now
   (pu_dispatcher_action_t).  MAY is asked before an order is sent for the
   first time; NULL: all may.  A load that doesn't fit beside what the engine
   holds, or may hold yet, into the memory or the places, fails then, at each
   sending anew: what an engine holds may have come since it was wanted, by an
   order of the leader before.  An adapter whose place is being given up waits
   for it.  */
void pu_dispatcher_step (pu_dispatcher_t *d, pu_dispatcher_may_fn *may,
                         void *data, guint64 now, GArray *actions);

/* pu_dispatcher_step_engine - the same for ENGINE alone, after word from it:
   with thousands of engines a look at all of them for each report is most of
   what a leader does.  */
void pu_dispatcher_step_engine (pu_dispatcher_t *d, guint32 engine,
                                pu_dispatcher_may_fn *may, void *data,
                                guint64 now, GArray *actions);

typedef enum
{
  PU_DISPATCHER_ABSENT,
  PU_DISPATCHER_QUEUED,  /* a load is queued or sent */
  PU_DISPATCHER_LOADING, /* a load was accepted */
  PU_DISPATCHER_READY,
  PU_DISPATCHER_UNLOADING /* an unload is queued, sent or accepted */
} pu_dispatcher_phase_t;

/* One item at an engine.  */
typedef struct
{
  guint32 item;
  pu_dispatcher_phase_t phase;
  bool adapter;
  guint64 since; /* of LOADING: when an order of ours was accepted, ms */
} pu_dispatcher_item_t;

/* pu_dispatcher_items - what ENGINE holds, or may come to hold: borrowed until
   the next call; N is set.  */
const pu_dispatcher_item_t *pu_dispatcher_items (const pu_dispatcher_t *d,
                                                 guint32 engine, guint *n);
pu_dispatcher_phase_t pu_dispatcher_phase (const pu_dispatcher_t *d,
                                           guint32 engine, guint32 item);

/* pu_dispatcher_accepts_orders - whether a report of ENGINE has come and it
   takes our orders.  */
bool pu_dispatcher_accepts_orders (const pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_is_busy - whether ENGINE is carrying a model's order out.  */
bool pu_dispatcher_is_busy (const pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_has_unknown_order - whether ENGINE is carrying an order out
   that we don't know: it may come to hold anything.  */
bool pu_dispatcher_has_unknown_order (const pu_dispatcher_t *d,
                                      guint32 engine);

G_END_DECLS

#endif
