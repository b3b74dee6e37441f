#ifndef PU_PLACEMENT_DUE_H
#define PU_PLACEMENT_DUE_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * due - how long it takes at the least until a copy of an item is ready.
 *
 * Callers of a model that no engine has are told when to come back, or wait,
 * by this: so it may be too short, where a load takes longer than told or has
 * not been planned yet, but not too long.
 */

/* What a load takes, in milliseconds; 0: not told.  */
typedef struct
{
  guint32 store_ms;       /* from the weights store */
  guint32 cached_load_ms; /* from what an engine has at hand */
} pu_due_times_t;

/* An engine in use.  */
typedef struct
{
  guint32 engine;
  bool quick; /* it has the item at hand */
} pu_due_engine_t;

/* pu_due_ms - milliseconds from NOW until ITEM can be ready on one of the N
   ENGINES: by the load that ends first, or by one that begins now.  0 when a
   copy is ready, when the times are not told, or when no report of an engine,
   which may hold one, has come yet.  */
guint32 pu_due_ms (const pu_dispatcher_t *d, const pu_due_engine_t *engines,
                   guint n, guint32 item, const pu_due_times_t *t,
                   guint64 now);

G_END_DECLS

#endif
