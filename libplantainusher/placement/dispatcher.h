#ifndef PU_PLACEMENT_DISPATCHER_H
#define PU_PLACEMENT_DISPATCHER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * dispatcher - sends load and unload orders to engines by compare-and-set.
 *
 * Each engine counts the orders that it accepts, and refuses an order that was
 * sent with another count.
 *
 * The dispatcher does no I/O and reads no clock.  `now` is monotonic
 * milliseconds.
 *
 * An engine's report lists the items it holds and the number of orders it had
 * accepted by then.  An order that expects this number is executed only if no
 * other order was accepted since.  A sender that knows one report therefore
 * cannot order more than fits, even if earlier orders of any sender were lost,
 * duplicated or delayed.  No order has to be written to the replicated log.
 *
 * An order without an answer is sent again with the same number, so the engine
 * executes it at most once.  Orders to one engine are sent one at a time.
 *
 * Items are models and adapters.  Items and engines are identified by small
 * integer handles that the caller assigns.  An engine handle identifies one
 * incarnation of an engine: it changes when the engine restarts.
 */

typedef struct pu_dispatcher pu_dispatcher_t;

typedef struct
{
  guint64 report_lag_ms;         /* a report requested within this time of a
                                    change may not show the change */
  guint64 answer_timeout_ms;     /* an order without an answer for this time is
                                    sent again */
  guint64 conflict_timeout_ms;   /* an order fails when the engine answers it
                                    with a conflict this time or more after it
                                    was first sent */
  guint64 retry_backoff_ms;      /* time from a conflict or a lost answer until
                                    the order may be sent again */
  guint64 poll_interval_ms;      /* interval between reports of an engine */
  guint64 poll_per_engine_ms;    /* poll_interval_ms is raised to at least this
                                    times the number of engines, as one leader
                                    polls all of them */
  guint64 busy_poll_interval_ms; /* interval between reports of an engine while
                                    it executes an order, and after a failed
                                    fetch */
  guint64 adapter_load_ms;       /* time from the acceptance of an adapter's
                                    load until it is ready */
  guint64 unload_probe_ms;       /* interval of the attempts to send the next
                                    order after an unload was accepted */
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
  bool adapter; /* ITEM is an adapter, which engines load and unload
                   concurrently with orders for models */
} pu_dispatcher_order_t;

/* pu_dispatcher_add_engine - adds ENGINE, which takes no orders until its
   first report.  No effect when ENGINE was added already.  */
void pu_dispatcher_add_engine (pu_dispatcher_t *d, guint32 engine,
                               guint64 now);

/* pu_dispatcher_remove_engine - removes ENGINE; its orders fail.  */
void pu_dispatcher_remove_engine (pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_set_item_memory - records that the model ITEM takes MEMORY_MB
   of an engine's memory; 0: unknown or not counted.  */
void pu_dispatcher_set_item_memory (pu_dispatcher_t *d, guint32 item,
                                    guint32 memory_mb);

/* pu_dispatcher_set_adapter - records that ITEM is an adapter: it takes one of
   an engine's adapter slots, whose memory is reserved, and no other
   memory.  */
void pu_dispatcher_set_adapter (pu_dispatcher_t *d, guint32 item);

/* pu_dispatcher_set_capacity - records that ENGINE has CAPACITY_MB of memory
   for models; 0: no limit.  */
void pu_dispatcher_set_capacity (pu_dispatcher_t *d, guint32 engine,
                                 guint32 capacity_mb);

/* pu_dispatcher_set_adapter_slots - records that ENGINE has SLOTS adapter
   slots; 0: no limit.  */
void pu_dispatcher_set_adapter_slots (pu_dispatcher_t *d, guint32 engine,
                                      guint slots);

/* pu_dispatcher_enqueue - queues O for ENGINE.  False when an order for the
   same item is queued or sent, when O loads an item that ENGINE holds already
   or unloads one that it does not hold, or when ENGINE takes no orders
   (pu_dispatcher_accepts_orders).  */
bool pu_dispatcher_enqueue (pu_dispatcher_t *d, guint32 engine,
                            const pu_dispatcher_order_t *o, guint64 now);

typedef enum
{
  PU_DISPATCHER_ACCEPTED,    /* the engine is executing the order */
  PU_DISPATCHER_COMPLETED,   /* the engine is in the state that the order asks
                                for */
  PU_DISPATCHER_CONFLICT,    /* the engine's count of accepted orders differs
                                from the expected count, or the engine is
                                executing another order */
  PU_DISPATCHER_FENCED,      /* a later leader has sent orders to the engine */
  PU_DISPATCHER_REFUSED,     /* the engine can't execute the order */
  PU_DISPATCHER_MISDIRECTED, /* another engine answered at this address */
  PU_DISPATCHER_NO_ANSWER,   /* no answer: the outcome is unknown */
  PU_DISPATCHER_UNDELIVERED  /* no connection: the engine did not get it */
} pu_dispatcher_answer_t;

/* pu_dispatcher_handle_answer - handles A, the answer of ENGINE to the order
   that was sent to ENGINE last.  */
void pu_dispatcher_handle_answer (pu_dispatcher_t *d, guint32 engine,
                                  pu_dispatcher_answer_t a, guint64 now);

/* An engine's report; the lists belong to the caller.  */
typedef struct
{
  guint64 accepted;      /* number of orders accepted so far */
  bool busy;             /* an order is being executed */
  const guint32 *loaded; /* models and adapters that the engine holds */
  guint n_loaded;
  const guint32 *loading; /* adapters being loaded */
  guint n_loading;
} pu_dispatcher_report_t;

/* pu_dispatcher_handle_report - handles R, the report that ENGINE sent in
   response to a fetch requested at REQUESTED_AT.  R is NULL when the fetch
   failed.  */
void pu_dispatcher_handle_report (pu_dispatcher_t *d, guint32 engine,
                                  const pu_dispatcher_report_t *r,
                                  guint64 requested_at, guint64 now);

/* pu_dispatcher_request_report - makes the report of ENGINE due now.  */
void pu_dispatcher_request_report (pu_dispatcher_t *d, guint32 engine,
                                   guint64 now);

/* pu_dispatcher_mark_loaded - records that ENGINE holds ITEM, as known from
   another source than a fetched report, and ends the load of ITEM.  */
void pu_dispatcher_mark_loaded (pu_dispatcher_t *d, guint32 engine,
                                guint32 item, guint64 now);

typedef enum
{
  PU_DISPATCHER_ACTION_SEND,     /* send the order to the engine; the answer
                                    goes to pu_dispatcher_handle_answer */
  PU_DISPATCHER_ACTION_FETCH,    /* fetch the engine's report and pass it
                                    to pu_dispatcher_handle_report */
  PU_DISPATCHER_ACTION_ACCEPTED, /* the engine is executing the order or
                                    has executed it */
  PU_DISPATCHER_ACTION_FAILED    /* the order failed and is not sent again; if
                                    an earlier send had no answer, the engine
                                    may still execute it, and its report shows
                                    that */
} pu_dispatcher_action_kind_t;

typedef struct
{
  pu_dispatcher_action_kind_t kind;
  guint32 engine;
  pu_dispatcher_order_t order; /* unset for PU_DISPATCHER_ACTION_FETCH */
  guint64 expected;            /* for PU_DISPATCHER_ACTION_SEND: the number of
                                  accepted orders that the order expects */
} pu_dispatcher_action_t;

/* pu_dispatcher_admit_fn - whether the order O may be sent to ENGINE now.  An
   order for which this returned true is not asked about again.  */
typedef bool pu_dispatcher_admit_fn (void *data, guint32 engine,
                                     const pu_dispatcher_order_t *o);

/* pu_dispatcher_step - appends the actions that are due now to ACTIONS
   (pu_dispatcher_action_t).  ADMIT is called before an order is sent for the
   first time; NULL admits all orders.

   A load fails when it does not fit into the engine's memory or adapter slots
   together with the items that the engine holds or may still come to hold.
   The fit is checked before each send with a new expected count, because an
   order of the previous leader may have loaded an item since the load was
   queued.  An adapter's load waits for a slot that an accepted unload will
   free.  */
void pu_dispatcher_step (pu_dispatcher_t *d, pu_dispatcher_admit_fn *admit,
                         void *data, guint64 now, GArray *actions);

/* pu_dispatcher_step_engine - does the same as pu_dispatcher_step for ENGINE
   alone.  Called after a report or an answer from ENGINE: with thousands of
   engines, scanning all of them for each report would be most of the leader's
   work.  */
void pu_dispatcher_step_engine (pu_dispatcher_t *d, guint32 engine,
                                pu_dispatcher_admit_fn *admit, void *data,
                                guint64 now, GArray *actions);

typedef enum
{
  PU_DISPATCHER_ABSENT,
  PU_DISPATCHER_QUEUED,  /* a load is queued or sent */
  PU_DISPATCHER_LOADING, /* a load was accepted */
  PU_DISPATCHER_READY,
  PU_DISPATCHER_UNLOADING /* an unload is queued, sent or accepted */
} pu_dispatcher_phase_t;

/* An item at an engine.  */
typedef struct
{
  guint32 item;
  pu_dispatcher_phase_t phase;
  bool adapter;
  guint64 load_accepted_at; /* ms; when the engine accepted a load of this
                               dispatcher; 0: never */
} pu_dispatcher_item_t;

/* pu_dispatcher_items - returns the items that ENGINE holds or may come to
   hold, with their number in N; valid until the next call that changes D.  */
const pu_dispatcher_item_t *pu_dispatcher_items (const pu_dispatcher_t *d,
                                                 guint32 engine, guint *n);

/* pu_dispatcher_phase - returns the phase of ITEM at ENGINE;
   PU_DISPATCHER_ABSENT when either is unknown.  */
pu_dispatcher_phase_t pu_dispatcher_phase (const pu_dispatcher_t *d,
                                           guint32 engine, guint32 item);

/* pu_dispatcher_accepts_orders - whether ENGINE takes orders of this
   dispatcher: a report of it has arrived, and no later leader has sent it an
   order.  */
bool pu_dispatcher_accepts_orders (const pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_awaits_first_report - whether nothing is known of ENGINE yet:
   its report has not been fetched, nor has a fetch failed.  */
bool pu_dispatcher_awaits_first_report (const pu_dispatcher_t *d,
                                        guint32 engine);

/* pu_dispatcher_is_busy - whether ENGINE is executing an order for a model or
   the unload of an adapter.  */
bool pu_dispatcher_is_busy (const pu_dispatcher_t *d, guint32 engine);

/* pu_dispatcher_has_unknown_order - whether ENGINE is executing an order that
   this dispatcher does not know, so that any item may appear on ENGINE.  */
bool pu_dispatcher_has_unknown_order (const pu_dispatcher_t *d,
                                      guint32 engine);

G_END_DECLS

#endif
