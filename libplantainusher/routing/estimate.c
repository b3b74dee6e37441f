#include "routing/estimate.h"

#include <math.h>

#define WEIGHT_FIRST 1.0 /* of the prior, in samples */
#define DEVIATION_SHARE 0.05
#define WEIGHT_MAX 50.0 /* samples that are remembered */

/* Weight of a sample below what is known, and growth with one above: where one
   sample in ten is undisturbed it settles a half above these.  */
#define LEAST_DOWN 0.3
#define LEAST_UP 1.01

void
linear_fit_init (linear_fit_t *l, double at_zero, double slope, double ridge)
{
  *l = (linear_fit_t){
    .weight = WEIGHT_FIRST,
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
  l->deviation += DEVIATION_SHARE
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
      *least += LEAST_DOWN * (y - *least);
    }
  else
    {
      *least = MIN (y, *least * LEAST_UP);
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
