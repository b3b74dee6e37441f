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
} line_t;

/* line_init - a line through (0, AT_ZERO) with SLOPE and no samples.  RIDGE
   is in units of x squared.  */
void line_init (line_t *l, double at_zero, double slope, double ridge);

/* line_add - a sample.  Not finite or negative Y are ignored.  */
void line_add (line_t *l, double x, double y);

/* line_slope - never negative.  */
double line_slope (const line_t *l);

/* line_at - the expected y at X, never negative.  */
double line_at (const line_t *l, double x);

/*
 * least - what samples come down to when nothing disturbs them: near the least
 * of them, yet it rises again when all become larger.
 */

/* least_add - moves *LEAST (0: no sample yet) towards Y.  */
void least_add (double *least, double y);

G_END_DECLS

#endif
