#ifndef PU_PLACEMENT_DUE_H
#define PU_PLACEMENT_DUE_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * due - the shortest time until a copy of an item, which is a model or an
 * adapter, can be ready.
 *
 * A caller of a model that no engine holds waits for this time, or is told to
 * retry after it.  The time is a lower bound: a load may take longer than
 * expected, or may not be planned yet.
 */

/* Expected times of a load in milliseconds; 0: unknown.  */
typedef struct
{
  guint32 store_ms;       /* time of a load from the weights store */
  guint32 cached_load_ms; /* time of a load from the engine's disk or its
                             host's memory */
} pu_due_times_t;

/* An engine on which the item may be loaded.  */
typedef struct
{
  guint32 engine;
  bool cached;     /* the engine's disk or its host's memory has the item's
                      weights */
  guint32 wait_ms; /* time until the engine may be ordered */
} pu_due_engine_t;

/* pu_due_ms - returns the milliseconds from NOW until ITEM can be ready on one
   of the N ENGINES: by the load under way that ends first or, when no load is
   under way, by the fastest load, counted from when its engine may be
   ordered.  Returns 0 when a copy
   is ready, when the time of a load from the store is unknown, or when one of
   ENGINES has not reported yet and so may hold a copy.  */
guint32 pu_due_ms (const pu_dispatcher_t *d, const pu_due_engine_t *engines,
                   guint n, guint32 item, const pu_due_times_t *t,
                   guint64 now);

G_END_DECLS

#endif
