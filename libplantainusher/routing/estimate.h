#ifndef PU_ROUTING_ESTIMATE_H
#define PU_ROUTING_ESTIMATE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * line_t - linear regression with exponential forgetting.
 *
 * Weighted least squares over samples (x, y), in which older samples count
 * less.  While the samples do not determine the slope (all at one x), it stays
 * near the prior slope.
 */

typedef struct
{
  double weight; /* sum of the samples' weights */
  double x;      /* weighted means */
  double y;
  double var;       /* of x */
  double cov;       /* of x and y */
  double deviation; /* mean absolute residual */
  double prior;     /* prior slope */
  double ridge;     /* variance of x at which samples and prior slope have
                       equal weight */
} line_t;

/* line_init - initialises L without samples to the line through (0, AT_ZERO)
   with the prior slope SLOPE.  RIDGE is in units of x squared.  */
void line_init (line_t *l, double at_zero, double slope, double ridge);

/* line_add - adds the sample (X, Y).  Ignores values that are not finite and a
   negative Y.  */
void line_add (line_t *l, double x, double y);

/* line_slope - returns the slope of L, at least 0.  */
double line_slope (const line_t *l);

/* line_at - returns the expected y at X, at least 0.  */
double line_at (const line_t *l, double x);

/*
 * Minimum filter - estimates the value of samples without disturbance, near
 * the lowest of them.  The estimate rises again when all samples grow.
 */

/* least_add - updates the estimate *LEAST (0: no sample yet) with the sample
   Y.  Ignores a Y that is not finite or not positive.  */
void least_add (double *least, double y);

G_END_DECLS

#endif
