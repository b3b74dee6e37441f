#ifndef PU_BASE_HISTOGRAM_H
#define PU_BASE_HISTOGRAM_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * histogram - log-bucketed counters of whole numbers.
 *
 * Values below 64 are kept exactly; above, each power of two is split into 32
 * buckets, so that a quantile is at most 1/32 above the true value.  Any
 * guint64 fits.  The unit is the caller's; use microseconds for durations.
 * The size is fixed: about 15 KB.
 */

typedef struct pu_histogram pu_histogram_t;

/* pu_histogram_new - an empty histogram.  Free it with pu_histogram_free.  */
pu_histogram_t *pu_histogram_new (void);
void pu_histogram_free (pu_histogram_t *h);

void pu_histogram_add (pu_histogram_t *h, guint64 value);

/* pu_histogram_merge - adds all that FROM counted to H.  */
void pu_histogram_merge (pu_histogram_t *h, const pu_histogram_t *from);

guint64 pu_histogram_count (const pu_histogram_t *h);
guint64 pu_histogram_max (const pu_histogram_t *h);

/* pu_histogram_mean - the exact mean; 0 when empty.  */
double pu_histogram_mean (const pu_histogram_t *h);

/* pu_histogram_quantile - the least bucket bound that a share Q (0 to 1) of
   the values does not exceed, never above the maximum; 0 when empty.  */
guint64 pu_histogram_quantile (const pu_histogram_t *h, double q);

G_END_DECLS

#endif
