#ifndef PU_PLACEMENT_ADAPTERS_H
#define PU_PLACEMENT_ADAPTERS_H

#include "placement/dispatcher.h"

G_BEGIN_DECLS

/*
 * adapters - where an adapter is loaded that a request asks for.
 *
 * Pure.  Adapters are small and many, their places on an engine few: each is
 * loaded when it is asked for, beside a ready copy of its base, in place of
 * the one there that was not asked for for the longest time.  The load that
 * this answers: each of a model's adapters is asked for every few seconds, and
 * all engines that hold the model together have about as many places as it has
 * adapters.
 */

typedef struct pu_adapters pu_adapters_t;

pu_adapters_t *pu_adapters_new (pu_dispatcher_t *dispatcher);
void pu_adapters_free (pu_adapters_t *a);

/* pu_adapters_add - ITEM is an adapter of BASE.  */
void pu_adapters_add (pu_adapters_t *a, guint32 item, guint32 base);
bool pu_adapters_contains (const pu_adapters_t *a, guint32 item);
guint32 pu_adapters_base (const pu_adapters_t *a, guint32 item);

/* pu_adapters_set_engine - ENGINE has PLACES for adapters (0: no limit) and
   LOAD requests; USABLE: it takes orders and new work.  */
void pu_adapters_set_engine (pu_adapters_t *a, guint32 engine, guint places,
                             guint load, bool usable);

/* pu_adapters_mark_used - ITEM was asked for.  */
void pu_adapters_mark_used (pu_adapters_t *a, guint32 item, guint64 now);

/* pu_adapters_count_active - adapters of BASE that were asked for lately.  */
guint pu_adapters_count_active (const pu_adapters_t *a, guint32 base,
                                guint64 now);

/* pu_adapters_replicate - queues second copies of adapters in use, on engines
   that have much less to do than all that hold them.  Loading one takes a few
   milliseconds; a request that queues behind fifty takes a second.  */
void pu_adapters_replicate (pu_adapters_t *a, guint64 now);

#define PU_ADAPTERS_NONE G_MAXUINT32

/* pu_adapters_ensure_loaded - the engine that has ITEM, or is getting it by an
   order that this queues at the dispatcher; PU_ADAPTERS_NONE when no engine
   can.  */
guint32 pu_adapters_ensure_loaded (pu_adapters_t *a, guint32 item,
                                   guint64 now);

G_END_DECLS

#endif
