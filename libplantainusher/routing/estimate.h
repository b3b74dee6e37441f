#ifndef PU_ROUTING_ESTIMATE_H
#define PU_ROUTING_ESTIMATE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * estimate - a line fitted to samples, of which older ones count less.
 *
 * Weighted least squares over (x, y) with exponential forgetting.  Where the
 * samples don't tell the slope (all at one x), it stays near the prior's.
 */

typedef struct
{
  double weight; /* sum of the samples' weights */
  double x;      /* means */
  double y;
  double var;       /* of x */
  double cov;       /* of x and y */
  double deviation; /* mean distance of the samples from the line */
  double prior;     /* slope without samples */
  double ridge;     /* how much variance of x it takes to leave the prior */
} linear_fit_t;

/* linear_fit_init - a line through (0, AT_ZERO) with SLOPE and no samples.
   RIDGE is in units of x squared.  */
void linear_fit_init (linear_fit_t *l, double at_zero, double slope,
                      double ridge);

/* linear_fit_add - a sample.  Not finite or negative Y are ignored.  */
void linear_fit_add (linear_fit_t *l, double x, double y);

/* linear_fit_slope - never negative.  */
double linear_fit_slope (const linear_fit_t *l);

/* linear_fit_predict - the expected y at X, never negative.  */
double linear_fit_predict (const linear_fit_t *l, double x);

/*
 * least - what samples come down to when nothing disturbs them: near the least
 * of them, yet it rises again when all become larger.
 */

/* min_filter_add - moves *LEAST (0: no sample yet) towards Y.  */
void min_filter_add (double *least, double y);

G_END_DECLS

#endif
