#include "placement/forecast.h"

#include <math.h>

#define DEFAULT_FAST_S 15.0
#define DEFAULT_MID_S 45.0
#define DEFAULT_SLOW_S 60.0
#define DEFAULT_HELD_S 200.0
#define DEFAULT_LEAD_S 10.0
#define DEFAULT_SIGMAS 4.0
#define MOST_GROWTH 1.5 /* of the trend, over the fast average */
#define MS_PER_S 1000.0

void
pu_forecast_options_init (pu_forecast_options_t *o)
{
  o->fast_s = DEFAULT_FAST_S;
  o->mid_s = DEFAULT_MID_S;
  o->slow_s = DEFAULT_SLOW_S;
  o->held_s = DEFAULT_HELD_S;
  o->lead_s = DEFAULT_LEAD_S;
  o->sigmas = DEFAULT_SIGMAS;
}

void
pu_forecast_add (pu_forecast_t *f, guint32 requests, double stream_ms)
{
  f->requests += requests;
  f->stream_s += stream_ms / MS_PER_S;
}

static double
weight (double period_s, double constant_s)
{
  return 1.0 - exp (-period_s / constant_s);
}

pu_forecast_period_t
pu_forecast_period (const pu_forecast_options_t *o, double period_s)
{
  pu_forecast_period_t p;

  p.period_s = period_s;
  p.fast = weight (period_s, o->fast_s);
  p.mid = weight (period_s, o->mid_s);
  p.slow = weight (period_s, o->slow_s);
  p.held = weight (period_s, o->held_s);
  return p;
}

static void
start (pu_forecast_t *f, double sample)
{
  f->started = true;
  f->fast = sample;
  f->mid = sample;
  f->slow = sample;
  f->held = sample;
}

/* Standard deviation of the fast average for Poisson arrivals at the slow
   average's rate.  */
static double
deviation (const pu_forecast_t *f, const pu_forecast_options_t *o)
{
  return sqrt (f->slow * f->request_s / (2.0 * o->fast_s));
}

void
pu_forecast_advance (pu_forecast_t *f, const pu_forecast_options_t *o,
                     const pu_forecast_period_t *p)
{
  double sample = f->stream_s / p->period_s;
  double slope;

  if (f->requests > 0)
    {
      double mean = f->stream_s / f->requests;

      f->request_s
          = f->started ? f->request_s + p->slow * (mean - f->request_s) : mean;
    }
  if (!f->started && f->requests > 0)
    start (f, sample);
  f->requests = 0;
  f->stream_s = 0;
  if (!f->started)
    return;

  f->fast += p->fast * (sample - f->fast);
  f->mid += p->mid * (sample - f->mid);
  f->slow += p->slow * (sample - f->slow);
  slope = (f->fast - f->mid) / (o->mid_s - o->fast_s);
  f->burst = f->fast > f->slow + o->sigmas * deviation (f, o);
  f->expected = MAX (f->slow, f->fast - deviation (f, o));
  if (f->burst)
    {
      double ahead = f->fast + MAX (0.0, slope) * o->lead_s;

      f->expected = MIN (ahead, MOST_GROWTH * f->fast);
    }
  f->held += p->held * (f->expected - f->held);
  f->held = MAX (f->held, f->expected);
}
