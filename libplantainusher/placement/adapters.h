#ifndef PU_PLACEMENT_ADAPTERS_H
#define PU_PLACEMENT_ADAPTERS_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * adapters - chooses the engine on which a requested adapter is loaded.
 *
 * The functions do no I/O and read no clock.  `now` is monotonic milliseconds.
 *
 * An adapter is a small set of weights that an engine adds to a base model.
 * Adapters are numerous, and an engine has few slots for them.  An adapter is
 * loaded on demand, on an engine where its base model is ready.  When that
 * engine has no free slot, the least recently used adapter of that engine is
 * evicted.  The design is for a workload in which each adapter of a model is
 * requested every few seconds, and the engines that hold the model have about
 * as many slots in total as the model has adapters.
 */

typedef struct pu_adapters pu_adapters_t;

pu_adapters_t *pu_adapters_new (pu_dispatcher_t *dispatcher);
void pu_adapters_free (pu_adapters_t *a);

/* pu_adapters_add - declares ITEM as an adapter of BASE.  */
void pu_adapters_add (pu_adapters_t *a, guint32 item, guint32 base);

/* pu_adapters_contains - whether ITEM was declared as an adapter.  */
bool pu_adapters_contains (const pu_adapters_t *a, guint32 item);

/* pu_adapters_base - returns the base model of ITEM, which must be an
   adapter.  */
guint32 pu_adapters_base (const pu_adapters_t *a, guint32 item);

/* pu_adapters_set_engine - replaces the state of ENGINE: it has SLOTS adapter
   slots (0: no limit); LOAD is the number of requests on the engine; USABLE:
   the engine accepts orders and new requests; MAY_LOAD: no load has to wait
   for orders of an earlier leadership (placement/order_turns.h).  */
void pu_adapters_set_engine (pu_adapters_t *a, guint32 engine, guint slots,
                             guint load, bool usable, bool may_load);

/* pu_adapters_mark_used - records that ITEM was requested at NOW.  */
void pu_adapters_mark_used (pu_adapters_t *a, guint32 item, guint64 now);

/* pu_adapters_count_active - returns the number of adapters of BASE that were
   requested within the last 8 s.  */
guint pu_adapters_count_active (const pu_adapters_t *a, guint32 base,
                                guint64 now);

/* pu_adapters_replicate - queues loads of additional copies of the adapters
   that were requested within the last 8 s.  A copy is loaded on an engine that
   has far fewer requests than every engine that holds the adapter.  Loading a
   copy takes a few milliseconds; a request that queues behind fifty others
   takes a second.  */
void pu_adapters_replicate (pu_adapters_t *a, guint64 now);

#define PU_ADAPTERS_NONE G_MAXUINT32

/* pu_adapters_ensure_loaded - records that ITEM was requested, and returns the
   engine that holds or is loading it.  When there is none, chooses an engine,
   queues the load of ITEM for it at the dispatcher and returns it.  Returns
   PU_ADAPTERS_NONE when ITEM is no adapter or no engine can take it.  */
guint32 pu_adapters_ensure_loaded (pu_adapters_t *a, guint32 item,
                                   guint64 now);

G_END_DECLS

#endif
