#ifndef PU_PLACEMENT_DISPATCHER_PRIVATE_H
#define PU_PLACEMENT_DISPATCHER_PRIVATE_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/* Declarations shared by the dispatcher's files: dispatcher.c handles orders
   and reports, dispatcher_capacity.c checks whether a load fits an engine.  */

typedef struct
{
  pu_dispatcher_order_t order;
  guint64 queued_at; /* ms */
  bool admitted;     /* the callback of pu_dispatcher_step has admitted the
                        order */
} pu_dispatcher_queued_t;

typedef struct
{
  bool present;
  bool reported;       /* a report has arrived */
  bool fetch_failed;   /* a fetch of its report has failed */
  bool fenced;         /* a later leader has sent orders to the engine */
  guint64 accepted;    /* number of orders that the engine has accepted, as
                          last known */
  guint64 changed_at;  /* when the known state last changed, ms */
  bool busy;           /* executing an order, other than an adapter's load */
  bool busy_unloading; /* busy with an unload of this dispatcher that the
                          engine answered with ACCEPTED; false when the
                          acceptance was inferred from a report */
  guint64 probe_at;    /* ms; when to send the next order during an unload, to
                          find out whether the unload has completed */
  guint32 capacity_mb; /* 0: no limit */
  guint adapter_slots; /* 0: no limit */
  GArray *items;       /* of pu_dispatcher_item_t */
  GQueue queue;        /* of pu_dispatcher_queued_t *; only the head is sent */
  bool head_sent;      /* the head of the queue was sent, with the count
                          `expected` */
  const pu_dispatcher_queued_t
      *first_sent_order; /* the order that was first sent at
                            first_sent_at; NULL: none */
  guint64 first_sent_at; /* ms */
  guint64 last_sent_at;  /* ms */
  bool head_answered;    /* the last send of the head was answered, or timed
                            out */
  bool outcome_unknown;  /* the head was sent without an answer and may still
                            be executed */
  guint64 expected;   /* count of accepted orders that was sent with the head:
                         the engine refuses the head if its own count
                         differs */
  guint64 send_after; /* ms; no order is sent earlier (back-off) */
  bool fetching;
  guint64 fetch_at; /* ms; when to fetch the next report */
} pu_dispatcher_engine_t;

typedef struct
{
  guint32 memory_mb;
  bool adapter;
} pu_dispatcher_item_info_t;

struct pu_dispatcher
{
  pu_dispatcher_options_t options;
  GArray *engines;        /* of pu_dispatcher_engine_t, by handle */
  guint n_present;        /* number of engines that are present */
  guint64 first_fetch_at; /* ms; of the next engine that is added */
  GArray *item_infos;     /* of pu_dispatcher_item_info_t, by item handle */
  GArray *finished; /* of pu_dispatcher_action_t: results of orders, which
                       the next pu_dispatcher_step returns */
};

/* Whether an engine has room for a load, so that the load may be sent.  */
typedef enum
{
  PU_DISPATCHER_FIT_NOW,
  PU_DISPATCHER_FIT_AFTER_UNLOAD, /* when an accepted unload has completed */
  PU_DISPATCHER_FIT_NONE          /* no unload in progress will make it fit */
} pu_dispatcher_fit_t;

/* dispatcher.c */

/* pu_dispatcher_engine_at - the engine with handle ENGINE; NULL when it is not
   present.  */
pu_dispatcher_engine_t *pu_dispatcher_engine_at (const pu_dispatcher_t *d,
                                                 guint32 engine);

/* pu_dispatcher_find_order - the first queued order for ITEM; NULL: none.  */
pu_dispatcher_queued_t *
pu_dispatcher_find_order (const pu_dispatcher_engine_t *e, guint32 item);

/* dispatcher_capacity.c */

/* pu_dispatcher_fit - whether E has the memory, or the adapter slot, that O
   needs; an unload needs none.  */
pu_dispatcher_fit_t pu_dispatcher_fit (pu_dispatcher_t *d,
                                       const pu_dispatcher_engine_t *e,
                                       const pu_dispatcher_order_t *o);

G_END_DECLS

#endif
