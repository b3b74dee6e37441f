#ifndef PU_BASE_COUNTERS_H
#define PU_BASE_COUNTERS_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * counters - named numbers of a process, printed in the common text format.
 *
 * A counter is a handle into the table; adding is one array access.  The name
 * may carry labels: `requests_total{outcome="ran"}`.  Each name is printed
 * with the prefix `plantainusher_`.
 */

typedef struct pu_counters pu_counters_t;
typedef guint pu_counter_t;

pu_counters_t *pu_counters_new (void);
void pu_counters_free (pu_counters_t *c);

/* pu_counters_get - the handle of NAME, made at 0 when new.  */
pu_counter_t pu_counters_get (pu_counters_t *c, const char *name);

void pu_counters_add (pu_counters_t *c, pu_counter_t h, gint64 n);
void pu_counters_set (pu_counters_t *c, pu_counter_t h, gint64 value);
gint64 pu_counters_value (const pu_counters_t *c, pu_counter_t h);

/* A histogram of durations; its buckets are the same for all.  */
typedef guint pu_latency_t;

/* pu_counters_latency - the handle of the histogram NAME, made when new.  */
pu_latency_t pu_counters_latency (pu_counters_t *c, const char *name);

/* pu_counters_observe - one more duration, in milliseconds.  */
void pu_counters_observe (pu_counters_t *c, pu_latency_t h, guint64 ms);

/* pu_counters_print - appends one line for each counter to OUT, by name, then
   the histograms: cumulative buckets, sum and count of each.  */
void pu_counters_print (const pu_counters_t *c, GString *out);

G_END_DECLS

#endif
