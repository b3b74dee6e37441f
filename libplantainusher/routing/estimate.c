#include "routing/estimate.h"

#include <math.h>

#define PRIOR_WEIGHT 1.0      /* weight of the prior estimate, in samples */
#define DEVIATION_WEIGHT 0.05 /* weight of a new sample in the residual */
/* Highest total weight, in samples; the weight of older samples decays.  */
#define WEIGHT_MAX 50.0

/* Weight of a sample below the estimate, and growth factor of the estimate for
   a sample above it.  With these values, if one sample in ten is measured
   without contention, the estimate converges to one and a half times the value
   of those samples.  */
#define MIN_FILTER_WEIGHT_BELOW 0.3
#define MIN_FILTER_GROWTH_ABOVE 1.01

void
linear_fit_init (linear_fit_t *l, double at_zero, double slope, double ridge)
{
  *l = (linear_fit_t){
    .weight = PRIOR_WEIGHT,
    .y = at_zero,
    .prior = slope,
    .ridge = ridge,
  };
}

void
linear_fit_add (linear_fit_t *l, double x, double y)
{
  double share;
  double dx;
  double dy;

  if (!isfinite (x) || !isfinite (y) || y < 0)
    return;
  l->deviation += DEVIATION_WEIGHT
                  * (fabs (y - linear_fit_predict (l, x)) - l->deviation);
  l->weight = MIN (l->weight + 1, WEIGHT_MAX);
  share = 1 / l->weight;
  dx = x - l->x;
  dy = y - l->y;
  l->x += share * dx;
  l->y += share * dy;
  l->var = (1 - share) * (l->var + share * dx * dx);
  l->cov = (1 - share) * (l->cov + share * dx * dy);
}

void
min_filter_add (double *least, double y)
{
  if (!isfinite (y) || y <= 0)
    return;
  if (*least <= 0)
    *least = y;
  if (y < *least)
    {
      *least += MIN_FILTER_WEIGHT_BELOW * (y - *least);
    }
  else
    {
      *least = MIN (y, *least * MIN_FILTER_GROWTH_ABOVE);
    }
}

double
linear_fit_slope (const linear_fit_t *l)
{
  double slope = (l->cov + l->ridge * l->prior) / (l->var + l->ridge);

  return MAX (slope, 0);
}

double
linear_fit_predict (const linear_fit_t *l, double x)
{
  double y = l->y + linear_fit_slope (l) * (x - l->x);

  return MAX (y, 0);
}
