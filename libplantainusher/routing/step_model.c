#include "routing/step_model.h"

#include <math.h>

/* Ridge of the line over concurrent requests, in requests squared.  */
#define LOAD_RIDGE 10.0
/* Weight of a new sample in a moving average.  */
#define SAMPLE_WEIGHT 0.05
/* Spread before there are samples, and its bounds.  */
#define SPREAD_INITIAL 0.3
#define SPREAD_MIN 0.1
#define SPREAD_MAX 1.0
/* Standard deviation of a normal distribution over its mean absolute
   deviation.  */
#define DEVIATION_RATIO 1.2533

void
pu_step_model_init (pu_step_model_t *m, double step_ms)
{
  *m = (pu_step_model_t){ .spread = SPREAD_INITIAL };
  linear_fit_init (&m->idle, step_ms, 0, LOAD_RIDGE);
}

static void
add_spread (pu_step_model_t *m, double expected, double ms)
{
  double error;

  if (expected <= 0 || ms <= 0)
    return;
  error = MIN (fabs (log (ms / expected)), SPREAD_MAX);
  m->spread += SAMPLE_WEIGHT * (error - m->spread);
}

void
pu_step_model_add (pu_step_model_t *m, double load, double unread_before_ms,
                   double unread_ms, double ms)
{
  if (!isfinite (ms) || ms < 0)
    return;
  if (unread_before_ms <= 0 && unread_ms <= 0)
    {
      add_spread (m, pu_step_model_gap_ms (m, load, 0), ms);
      linear_fit_add (&m->idle, load, ms);
      m->idle_count++;
    }
  else if (unread_before_ms >= ms && m->reading_ms <= 0)
    {
      m->reading_ms = ms;
    }
  else if (unread_before_ms >= ms)
    {
      m->reading_ms += SAMPLE_WEIGHT * (ms - m->reading_ms);
    }
}

double
pu_step_model_gap_ms (const pu_step_model_t *m, double load, double unread_ms)
{
  double idle = linear_fit_predict (&m->idle, load);
  double gap = idle + unread_ms;

  return m->reading_ms > 0 ? MIN (gap, MAX (m->reading_ms, idle)) : gap;
}

double
pu_step_model_over (double expected_ms, double target_ms, double spread)
{
  double deviation = CLAMP (spread, SPREAD_MIN, SPREAD_MAX) * DEVIATION_RATIO;

  if (expected_ms <= 0)
    return 0;
  if (target_ms <= 0)
    return 1;
  return erfc (log (target_ms / expected_ms) / (deviation * M_SQRT2)) / 2;
}
