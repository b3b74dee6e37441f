#ifndef PU_PLACEMENT_DUE_H
#define PU_PLACEMENT_DUE_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * due - the shortest time until a copy of an item can be ready.
 *
 * Callers of a model that no engine holds wait this long, or are told to retry
 * after it.  It is a lower bound: a load may take longer than expected, or may
 * not be planned yet.
 */

/* Expected times of a load in milliseconds; 0: unknown.  */
typedef struct
{
  guint32 store_ms;       /* from the weights store */
  guint32 cached_load_ms; /* from the engine's disk or its host's memory */
} pu_due_times_t;

/* An engine on which the item may be loaded.  */
typedef struct
{
  guint32 engine;
  bool cached; /* its disk or its host's memory has the item */
} pu_due_engine_t;

/* pu_due_ms - milliseconds from NOW until ITEM can be ready on one of the N
   ENGINES: by the load under way that ends first or, when there is none, by
   the fastest load that could start now.  0 when a copy is ready, when the
   time of a load from the store is unknown, or when an engine, which may hold
   a copy, has not reported yet.  */
guint32 pu_due_ms (const pu_dispatcher_t *d, const pu_due_engine_t *engines,
                   guint n, guint32 item, const pu_due_times_t *t,
                   guint64 now);

G_END_DECLS

#endif
