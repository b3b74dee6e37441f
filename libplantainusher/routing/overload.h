#ifndef PU_ROUTING_OVERLOAD_H
#define PU_ROUTING_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * overload - whether more requests come than start, and have for a while.
 *
 * Load pattern: for seconds more requests of a model come than its backend
 * servers do.  Requests that can still meet their target go before late ones,
 * and as long as there are enough of them no late one starts: it waits until
 * its deadline and is refused then.  A burst is no such load, as the late ones
 * start when it is over.
 *
 * Does no I/O and reads no clock.  Times are monotonic milliseconds.
 */

#define PU_OVERLOAD_SPANS 4

typedef struct
{
  guint came;
  guint started;
} pu_overload_span_t;

/* Counts of the present span and of those before it; begins zeroed.  */
typedef struct
{
  guint64 number; /* of the present span */
  pu_overload_span_t spans[PU_OVERLOAD_SPANS + 1];
} pu_overload_t;

/* pu_overload_came, pu_overload_started - a request came that waits, starts or
   is refused because of the overload; one has started.  */
void pu_overload_came (pu_overload_t *o, guint64 now);
void pu_overload_started (pu_overload_t *o, guint64 now);

/* pu_overload_lasts - whether more came than started in the spans before the
   present one, two seconds together, and fewer in none of them.  */
bool pu_overload_lasts (pu_overload_t *o, guint64 now);

/* pu_overload_starts_per_ms - returns the rate at which requests started in
   these spans.  */
double pu_overload_starts_per_ms (pu_overload_t *o, guint64 now);

/* pu_overload_ratio - returns how many times as many requests came as
   started in these spans, at least 1.  */
double pu_overload_ratio (pu_overload_t *o, guint64 now);

G_END_DECLS

#endif
