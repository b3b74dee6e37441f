#ifndef PU_ROUTING_ESTIMATE_H
#define PU_ROUTING_ESTIMATE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * linear_fit_t - linear regression with exponential forgetting.
 *
 * Weighted least squares over samples (x, y), in which older samples count
 * less.  While the samples do not determine the slope (all at one x), the
 * slope stays near the prior slope.
 */

typedef struct
{
  double weight;    /* sum of the samples' weights */
  double x;         /* weighted mean of x */
  double y;         /* weighted mean of y */
  double var;       /* weighted variance of x */
  double cov;       /* weighted covariance of x and y */
  double deviation; /* moving average of the absolute residual */
  double prior;     /* prior slope */
  double ridge;     /* variance of x at which samples and prior slope have
                       equal weight */
} linear_fit_t;

/* linear_fit_init - initialises L without samples to the line through (0,
   AT_ZERO) with the prior slope SLOPE.  RIDGE is the field `ridge`, in units
   of x squared.  */
void linear_fit_init (linear_fit_t *l, double at_zero, double slope,
                      double ridge);

/* linear_fit_add - adds the sample (X, Y).  Ignores values that are not finite
   and a negative Y.  */
void linear_fit_add (linear_fit_t *l, double x, double y);

/* linear_fit_slope - returns the slope of L, at least 0.  */
double linear_fit_slope (const linear_fit_t *l);

/* linear_fit_predict - returns the expected y at X, at least 0.  */
double linear_fit_predict (const linear_fit_t *l, double x);

/*
 * Minimum filter - estimates the lowest value of noisy samples, such as a
 * duration without contention.  The estimate rises again when all samples
 * grow.
 */

/* min_filter_add - updates the estimate *LEAST (0: no sample yet) with the
   sample Y.  Ignores a Y that is not finite or not positive.  */
void min_filter_add (double *least, double y);

G_END_DECLS

#endif
