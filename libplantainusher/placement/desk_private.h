#ifndef PU_PLACEMENT_DESK_PRIVATE_H
#define PU_PLACEMENT_DESK_PRIVATE_H

#include "placement/desk.h"

G_BEGIN_DECLS

/* What the files of the desk share: desk.c has orders and reports,
   desk_room.c what fits beside what is there.  */

typedef struct
{
  pu_desk_order_t o;
  guint64 wanted; /* ms */
  bool granted;   /* it may begin */
} pu_desk_queued_t;

typedef struct
{
  bool used;
  bool known;       /* a report has come */
  bool fenced_out;  /* it has orders of a later leader */
  guint64 accepted; /* orders, as far as we know */
  guint64 changed;  /* when that last changed, ms */
  bool busy;
  bool unloads;    /* with an unload of ours, as it said itself */
  guint64 try_at;  /* whether it has ended is tried by the next order, ms */
  guint32 room_mb; /* 0: no limit */
  guint places;    /* for adapters; 0: no limit */
  GArray *items;   /* of pu_desk_item_t */
  GQueue queue;    /* of pu_desk_queued_t *, the first may be sent */
  bool sent;       /* the first order of the queue was */
  const pu_desk_queued_t *first; /* whose first_sent is */
  guint64 first_sent;            /* ms */
  guint64 last_sent;             /* ms */
  bool answered;                 /* what was sent last: it is not waited for */
  bool doubt;         /* a sending of the first order had no answer: it may
                         be carried out yet */
  guint64 expected;   /* of what was sent */
  guint64 not_before; /* nothing is sent before, ms */
  bool fetching;
  guint64 fetch_at; /* the next report is due, ms */
} pu_desk_engine_t;

typedef struct
{
  guint32 memory_mb;
  bool adapter;
} pu_desk_kind_t;

struct pu_desk
{
  pu_desk_options_t o;
  GArray *engines; /* of pu_desk_engine_t, by handle */
  guint used;      /* of these, engines that are there */
  GArray *kinds;   /* of pu_desk_kind_t, by item */
  GArray *ends;    /* of pu_desk_action_t: DONE and FAILED to be told */
};

/* Whether a load may be sent.  */
typedef enum
{
  PU_DESK_FIT_NOW,
  PU_DESK_FIT_SOON, /* when an unload that was accepted has ended */
  PU_DESK_FIT_NEVER
} pu_desk_fit_t;

/* desk.c */

/* pu_desk_engine_at - NULL when ENGINE is not known.  */
pu_desk_engine_t *pu_desk_engine_at (const pu_desk_t *d, guint32 engine);

/* pu_desk_order_for - the first queued order for ITEM; NULL: none.  */
pu_desk_queued_t *pu_desk_order_for (const pu_desk_engine_t *e, guint32 item);

/* desk_room.c */

/* pu_desk_fit - whether E has room, or a place, for what O loads.  */
pu_desk_fit_t pu_desk_fit (pu_desk_t *d, const pu_desk_engine_t *e,
                           const pu_desk_order_t *o);

G_END_DECLS

#endif
